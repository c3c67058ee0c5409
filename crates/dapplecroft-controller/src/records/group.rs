//! Records of groups of machines.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Record of machines that were rented, or adopted from the cloud's list, together.
/// They share one record because a record for each machine would exhaust the state
/// service's write rate. A machine is removed from the record only after the cloud
/// has confirmed its release, so its absence proves to every controller that
/// nothing runs on it any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredGroup", into = "StoredGroup")]
pub struct GroupRecord {
    /// Number of the shard that the machines belong to; never changes.
    pub shard: u32,
    /// Type of the machines.
    pub machine_type: String,
    /// Zone of the machines.
    pub zone: String,
    /// Whether the machines are spot machines.
    pub spot: bool,
    /// Machines of the group by name.
    pub machines: BTreeMap<String, MachineRecord>,
}

/// A machine in a group's record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MachineRecord {
    /// Address on which the machine's worker listens, known after its first heartbeat.
    pub address: Option<String>,
    /// Whether the shard's holder has given the machine up, so that the leader
    /// releases it.
    pub given_up: bool,
}

/// Stored form of a [`GroupRecord`]: the address of each machine (empty if not known
/// yet), and the names of the machines that are given up.
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
    fn from(stored: StoredGroup) -> Self {
        let machine = |id: &String, address: String| MachineRecord {
            address: (!address.is_empty()).then_some(address),
            given_up: stored.given_up.contains(id),
        };
        let machines = stored.machines.into_iter().map(|(id, address)| {
            let machine = machine(&id, address);
            (id, machine)
        });
        GroupRecord {
            shard: stored.shard,
            machine_type: stored.machine_type,
            zone: stored.zone,
            spot: stored.spot,
            machines: machines.collect(),
        }
    }
}

impl From<GroupRecord> for StoredGroup {
    fn from(group: GroupRecord) -> Self {
        StoredGroup {
            shard: group.shard,
            machine_type: group.machine_type,
            zone: group.zone,
            spot: group.spot,
            given_up: group.machines.iter().filter(|(_, m)| m.given_up).map(|(id, _)| id.clone()).collect(),
            machines: group.machines.into_iter().map(|(id, m)| (id, m.address.unwrap_or_default())).collect(),
        }
    }
}

/// Largest number of bytes that an address usually takes in a group's record: an
/// IPv4 address with its port, in quotes.
const MAX_ADDRESS_BYTES: usize = 24;

impl GroupRecord {
    /// Upper bound of the bytes that the record takes at any time, with all addresses
    /// known and all machines given up. The bound must stay within the state service's
    /// value size limit, because addresses and given-up names are added after the group
    /// was formed.
    pub fn max_stored_bytes(&self) -> usize {
        let header = 60 + self.machine_type.len() * 6 + self.zone.len() * 6;
        let machine_bytes = |(id, m): (&String, &MachineRecord)| {
            2 * (id.len() + 3)
                + 1
                + m.address.as_ref().map_or(MAX_ADDRESS_BYTES, |a| a.len().max(MAX_ADDRESS_BYTES))
        };
        header + self.machines.iter().map(machine_bytes).sum::<usize>()
    }

    /// Number of bytes that the record takes with all addresses known and no machine
    /// given up.
    pub fn stored_bytes(&self) -> usize {
        let address = |m: &MachineRecord| m.address.as_ref().map_or(MAX_ADDRESS_BYTES, |a| a.len() + 2);
        let machines = self.machines.iter().map(|(id, m)| id.len() + 4 + address(m));
        60 + self.machine_type.len() * 6 + self.zone.len() * 6 + machines.sum::<usize>()
    }

    /// Splits the group into as many groups as needed for each record to take at most
    /// `value_limit` bytes.
    pub fn split_to_fit(self, value_limit: usize) -> Vec<GroupRecord> {
        let empty = GroupRecord { machines: BTreeMap::new(), ..self.clone() };
        let mut groups = vec![empty.clone()];
        for (id, machine) in self.machines {
            let mut group = groups.pop().unwrap_or_else(|| empty.clone());
            group.machines.insert(id.clone(), machine);
            if group.max_stored_bytes() > value_limit && group.machines.len() > 1 {
                let machine = group.machines.remove(&id).unwrap_or_default();
                groups.push(group);
                group = empty.clone();
                group.machines.insert(id, machine);
            }
            groups.push(group);
        }
        groups
    }
}

#[cfg(test)]
mod tests;
