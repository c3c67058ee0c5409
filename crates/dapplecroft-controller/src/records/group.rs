//! Groups of machines.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Machines that were rented together, or taken in together. They are one
/// record, since a record each would use up the state service's writes. A
/// machine leaves it only once its release was answered: that is the proof, for
/// every controller, that nothing runs there any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredGroup", into = "StoredGroup")]
pub struct GroupRecord {
    /// The shard that the machines belong to, for good.
    pub shard: u32,
    /// Their type.
    pub machine_type: String,
    /// Their zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// The machines by name.
    pub machines: BTreeMap<String, MachineRecord>,
}

/// A machine of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MachineRecord {
    /// Where its worker listens, once it has reported.
    pub address: Option<String>,
    /// Whether the shard's holder has given it up: the leader releases it.
    pub given_up: bool,
}

/// How a group is written: each machine with its address, and the names of
/// those that are given up.
#[derive(Clone, Serialize, Deserialize)]
struct StoredGroup {
    #[serde(rename = "b")]
    shard: u32,
    #[serde(rename = "t")]
    machine_type: String,
    #[serde(rename = "z")]
    zone: String,
    #[serde(rename = "s")]
    spot: bool,
    #[serde(rename = "m")]
    machines: BTreeMap<String, String>,
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    given_up: Vec<String>,
}

impl From<StoredGroup> for GroupRecord {
    fn from(w: StoredGroup) -> Self {
        let member = |id: &String, address: String| MachineRecord {
            address: (!address.is_empty()).then_some(address),
            given_up: w.given_up.contains(id),
        };
        let machines = w.machines.into_iter().map(|(id, a)| {
            let member = member(&id, a);
            (id, member)
        });
        GroupRecord {
            shard: w.shard,
            machine_type: w.machine_type,
            zone: w.zone,
            spot: w.spot,
            machines: machines.collect(),
        }
    }
}

impl From<GroupRecord> for StoredGroup {
    fn from(g: GroupRecord) -> Self {
        StoredGroup {
            shard: g.shard,
            machine_type: g.machine_type,
            zone: g.zone,
            spot: g.spot,
            given_up: g.machines.iter().filter(|(_, m)| m.given_up).map(|(id, _)| id.clone()).collect(),
            machines: g.machines.into_iter().map(|(id, m)| (id, m.address.unwrap_or_default())).collect(),
        }
    }
}

/// Bytes that an address may take in a group's record: an IPv4 address with its
/// port, in quotes.
const MAX_ADDRESS_BYTES: usize = 24;

impl GroupRecord {
    /// The most bytes that the record may come to take while its machines come
    /// up and are given up; unlike their number, that must not outgrow a value.
    pub fn max_stored_bytes(&self) -> usize {
        let head = 60 + self.machine_type.len() * 6 + self.zone.len() * 6;
        let each = |(id, m): (&String, &MachineRecord)| {
            2 * (id.len() + 3)
                + 1
                + m.address.as_ref().map_or(MAX_ADDRESS_BYTES, |a| a.len().max(MAX_ADDRESS_BYTES))
        };
        head + self.machines.iter().map(each).sum::<usize>()
    }

    /// Bytes that the record takes with all addresses and none given up.
    pub fn stored_bytes(&self) -> usize {
        let address = |m: &MachineRecord| m.address.as_ref().map_or(MAX_ADDRESS_BYTES, |a| a.len() + 2);
        let machines = self.machines.iter().map(|(id, m)| id.len() + 4 + address(m));
        60 + self.machine_type.len() * 6 + self.zone.len() * 6 + machines.sum::<usize>()
    }

    /// The same machines in as many groups as it takes for each to fit a value.
    pub fn split_to_fit(self, value: usize) -> Vec<GroupRecord> {
        let empty = GroupRecord { machines: BTreeMap::new(), ..self.clone() };
        let mut groups = vec![empty.clone()];
        for (id, member) in self.machines {
            let mut with = groups.pop().unwrap_or_else(|| empty.clone());
            with.machines.insert(id.clone(), member);
            if with.max_stored_bytes() > value && with.machines.len() > 1 {
                let member = with.machines.remove(&id).unwrap_or_default();
                groups.push(with);
                with = empty.clone();
                with.machines.insert(id, member);
            }
            groups.push(with);
        }
        groups
    }
}

#[cfg(test)]
mod tests;
