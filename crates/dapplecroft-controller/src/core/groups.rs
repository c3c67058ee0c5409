//! The records of machines, a group at a time: who belongs to which shard,
//! where workers listen, what its holder has given up, what the leader has
//! released.

use super::layout::to_value;
use super::{Core, Group, reindex};
use crate::machines::Machine;
use crate::records::{self, GroupRecord, MemberRecord, stored_size};
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::state::{Change, Condition};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Addresses are written for one group at a time, this far apart: hundreds of
/// machines that come up together must not use up the writes.
const ADDRESSES_EVERY: Duration = Duration::from_millis(1500);

/// Machines whose tasks take about a kilobyte of their shard's record, with a
/// wide margin for many small tasks.
const MACHINES_PER_KB: f64 = 6.0;

/// A change of a group's record.
#[derive(Debug, Clone)]
pub struct GroupUpdate {
    /// The group.
    pub name: Arc<str>,
    /// The unit.
    pub update: AtomicUpdate,
}

/// In which order groups' records are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum GroupOrder {
    /// Machines of it were released.
    Released,
    /// It is not recorded yet.
    New,
    /// Its holder has given machines up.
    GivenUp,
    /// It has to move into smaller ones.
    Outgrown,
    /// Addresses of its machines are known and not recorded.
    Addresses,
}

/// A machine that left a group's record.
#[derive(Debug, Clone)]
pub(super) struct Departed {
    /// The revision with which it left.
    revision: u64,
    machine: Arc<str>,
    group: Arc<str>,
}

/// What becomes of a group's record.
enum GroupWrite {
    /// It is written or dropped.
    Update(AtomicUpdate),
    /// Nothing was ever recorded of it, and nothing needs to be.
    Forget,
    /// Another process has to write it.
    NotAllowed,
}

/// Takes as many newly given up machines out of a record as it takes to fit a
/// value of `limit` bytes; they are given up later.
fn limit_given_up(record: &mut GroupRecord, old: &GroupRecord, limit: usize) {
    let fresh: Vec<String> = record
        .machines
        .iter()
        .filter(|(id, member)| member.given_up && !old.machines.get(*id).is_some_and(|m| m.given_up))
        .map(|(id, _)| id.clone())
        .collect();
    for id in fresh.iter().rev() {
        if stored_size(&to_value(record)) <= limit {
            break;
        }
        if let Some(member) = record.machines.get_mut(id) {
            member.given_up = false;
        }
    }
}

impl Core {
    /// Begins a group of machines that this leader rented or takes in, or as
    /// many as their records need to fit a value each.
    pub(super) fn new_group(&mut self, name: &str, record: GroupRecord) {
        let records = if self.is_mixed() { vec![record] } else { record.split(self.limits().value) };
        for (n, record) in records.into_iter().enumerate() {
            let name = if n == 0 { name.to_string() } else { format!("{name}.{n}") };
            let group = Group { record, version: 0, writing: false, addresses_unrecorded: false };
            self.groups.insert(name.into(), group);
        }
        self.wakeups.fleet = true;
    }

    /// Whether a group's record is too large to be written again, or some of
    /// its machines are in others already that take its place.
    fn is_outgrown(&self, name: &str, group: &Group) -> bool {
        let left = |id: &String| {
            let own = self.machines.get(id.as_str()).and_then(|m| m.group.as_deref());
            own.is_some_and(|g| g != name)
        };
        let most = self.limits().value * 7 / 8;
        !self.is_mixed()
            && group.version > 0
            && (group.record.bytes() > most || group.record.machines.keys().any(left))
    }

    /// The next step of a group's move into smaller ones: some of its machines
    /// get a record that is newer and so has them from then on; when none is
    /// left, the outgrown one is dropped without ever being written again.
    fn move_update(&self, name: &Arc<str>, group: &Group) -> Option<AtomicUpdate> {
        let key = records::group_key(name);
        let mut conditions = vec![
            Condition { key: records::LEADER.into(), version: self.role.leadership? },
            Condition { key: key.clone(), version: group.version },
        ];
        let mut left = group.record.clone();
        left.machines.retain(|id, member| {
            let machine = self.machines.get(id.as_str());
            if let Some(machine) = machine {
                member.address = machine.address.clone().or(member.address.take());
            }
            machine.is_none_or(|m| m.group.as_ref().is_none_or(|g| g == name))
        });
        if left.machines.is_empty() {
            return Some(AtomicUpdate { conditions, changes: vec![Change::Drop { key }] });
        }
        let part = left.split(self.limits().value).into_iter().next()?;
        let fresh = |n: &u32| !self.groups.contains_key(format!("{name}.{n}").as_str());
        let key = records::group_key(&format!("{name}.{}", (1..).find(fresh)?));
        conditions.push(Condition { key: key.clone(), version: 0 });
        let change = Change::Set { key, value: self.group_value(&part), lease: None };
        Some(AtomicUpdate { conditions, changes: vec![change] })
    }

    /// Takes note of machines that have left their group's record, once all that
    /// came before that is known: those that are in no other were released, and
    /// the release was answered.
    pub(super) fn settle_departed(&mut self, now: Instant) {
        let applied_revision = self.applied_revision;
        let departed = std::mem::take(&mut self.departed);
        let (known, later): (Vec<Departed>, Vec<Departed>) =
            departed.into_iter().partition(|departed| departed.revision <= applied_revision);
        self.departed = later;
        for Departed { machine: id, group, .. } in known {
            let named = self.groups.get(&group).is_some_and(|g| g.record.machines.contains_key(&*id));
            let here = self.machines.get(&id).is_some_and(|m| m.group.as_ref() == Some(&group));
            if here && !named {
                self.machine_released(&id, now);
                self.forget_machine(&id);
            }
        }
    }

    /// Whether a machine is in a group that is not committed yet.
    pub(super) fn is_expected(&self, machine: &str) -> bool {
        self.groups.values().any(|g| g.version == 0 && g.record.machines.contains_key(machine))
    }

    /// Whether a machine belongs to a group, committed or about to be. No
    /// machine may join two: its shard would change under the tasks on it. A
    /// machine can report, or be listed, before the answer to its rental is
    /// known, and is then taken in; the answer must not bring it a second time.
    pub(super) fn is_grouped(&self, machine: &str) -> bool {
        self.machines.get(machine).is_some_and(|m| m.group.is_some()) || self.is_expected(machine)
    }

    /// How many machines a shard has at most: what runs on them is one record,
    /// and the fewer records, the fewer changes.
    pub(super) fn shard_machines(&self) -> usize {
        let by_value = (self.settings.params.state.value_kb * MACHINES_PER_KB) as usize;
        self.options.shard_machines.unwrap_or(by_value.clamp(10, 200))
    }

    /// The shard that further machines join, and how many: the fullest with
    /// room left, else a new one.
    pub(super) fn shard_with_room(&self, taken: &BTreeMap<u32, usize>) -> (u32, usize) {
        let most = self.shard_machines();
        let sizes = self.shard_sizes();
        let size = |b: u32| sizes.get(&b).copied().unwrap_or(0) + taken.get(&b).copied().unwrap_or(0);
        let mut numbers = self.shard_numbers();
        numbers.extend(taken.keys());
        numbers.sort_unstable();
        numbers.dedup();
        let open = numbers.iter().copied().filter(|b| size(*b) < most);
        let shard = open.max_by_key(|b| (size(*b), std::cmp::Reverse(*b)));
        // The lowest number that is not in use.
        let fresh = (0..).find(|n| !numbers.contains(n)).unwrap_or(0);
        let shard = shard.unwrap_or(fresh);
        (shard, most - size(shard))
    }

    /// Group records that differ from what is known, as far as this process may
    /// write them.
    pub(super) fn group_updates(
        &mut self,
        give_up: &BTreeSet<Arc<str>>,
        released: &BTreeSet<Arc<str>>,
        now: Instant,
    ) -> Vec<GroupUpdate> {
        let mut updates = Vec::new();
        let mut addresses =
            self.fleet.addresses_at.is_none_or(|at| now.saturating_duration_since(at) >= ADDRESSES_EVERY);
        self.split_large_groups();
        let released_groups = self.groups_of(released);
        let given_up_groups = self.groups_of(give_up);
        let touched = |name: &str| released_groups.contains(name) || given_up_groups.contains(name);
        // A wave of lost machines touches nearly all groups, again and again.
        // Few are written at a time, or allocations and placements would wait
        // behind them until the wave is over.
        let most = (self.limits().changes / 2).max(2);
        let left = most.saturating_sub(self.groups_on_way());
        for name in self.group_order(&released_groups, &given_up_groups, addresses) {
            if updates.len() >= left {
                break;
            }
            let Some(group) = self.groups.get(&name) else { continue };
            if self.is_outgrown(&name, group) {
                let update = self.move_update(&name, group);
                updates.extend(update.map(|update| self.begin_group_write(&name, update)));
                continue;
            }
            if !addresses && group.version > 0 && !touched(&name) {
                continue;
            }
            let record = self.updated_group(group, give_up, released);
            let unchanged = record == group.record && group.version > 0;
            let held = self.is_holder(group.record.shard);
            if !unchanged && group.addresses_unrecorded && held {
                addresses = false;
                self.fleet.addresses_at = Some(now);
            }
            let Some(group) = self.groups.get_mut(&name) else { continue };
            group.addresses_unrecorded &= !(unchanged || held);
            if unchanged {
                continue;
            }
            match self.group_write(&name, &record) {
                GroupWrite::Update(update) => updates.push(self.begin_group_write(&name, update)),
                GroupWrite::Forget => {
                    self.groups.remove(&name);
                }
                GroupWrite::NotAllowed => {}
            }
        }
        updates
    }

    /// Splits groups that are not committed and too large for a record: they were
    /// decided on before the layout was switched.
    fn split_large_groups(&mut self) {
        let limit = self.limits().value;
        let large: Vec<Arc<str>> = self
            .groups
            .iter()
            .filter(|(_, g)| !self.is_mixed() && g.version == 0 && !g.writing)
            .filter(|(_, g)| g.record.most_bytes() > limit && g.record.machines.len() > 1)
            .map(|(name, _)| name.clone())
            .collect();
        for name in large {
            if let Some(group) = self.groups.remove(&name) {
                self.new_group(&name, group.record);
            }
        }
    }

    /// The groups that have these machines.
    fn groups_of(&self, machines: &BTreeSet<Arc<str>>) -> BTreeSet<Arc<str>> {
        machines.iter().filter_map(|id| self.machines.get(id)?.group.clone()).collect()
    }

    /// Groups whose records may have to be written, the most important first.
    fn group_order(
        &self,
        released: &BTreeSet<Arc<str>>,
        given_up: &BTreeSet<Arc<str>>,
        addresses: bool,
    ) -> Vec<Arc<str>> {
        let leads = self.role.leadership.is_some();
        let order = |name: &Arc<str>, group: &Group| match () {
            () if group.writing => None,
            // What ran on released machines waits for it elsewhere.
            () if released.contains(name) => Some(GroupOrder::Released),
            () if group.version == 0 => Some(GroupOrder::New),
            () if given_up.contains(name) => Some(GroupOrder::GivenUp),
            () if leads && self.is_outgrown(name, group) => Some(GroupOrder::Outgrown),
            () if addresses && group.addresses_unrecorded => Some(GroupOrder::Addresses),
            () => None,
        };
        let mut names: Vec<(GroupOrder, &Arc<str>)> =
            self.groups.iter().filter_map(|(name, group)| Some((order(name, group)?, name))).collect();
        names.sort();
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// A group's record as this process would write it.
    fn updated_group(
        &self,
        group: &Group,
        give_up: &BTreeSet<Arc<str>>,
        released: &BTreeSet<Arc<str>>,
    ) -> GroupRecord {
        let mut record = group.record.clone();
        if self.is_holder(record.shard) {
            for (id, member) in &mut record.machines {
                member.given_up |= give_up.contains(id.as_str());
                let known = self.machines.get(id.as_str()).and_then(|m| m.address.as_ref());
                if member.address.is_none() || known.is_some() {
                    member.address = known.cloned();
                }
            }
        }
        if self.role.leadership.is_some() {
            record.machines.retain(|id, _| !released.contains(id.as_str()));
        }
        if !self.is_mixed() {
            limit_given_up(&mut record, &group.record, self.limits().value);
        }
        record
    }

    /// How a group's record is written, if this process may.
    fn group_write(&self, name: &str, record: &GroupRecord) -> GroupWrite {
        let Some(group) = self.groups.get(name) else { return GroupWrite::NotAllowed };
        let key = records::group_key(name);
        let mut conditions = vec![Condition { key: key.clone(), version: group.version }];
        let by_leader = group.version == 0 || record.machines.len() < group.record.machines.len();
        if by_leader {
            match self.role.leadership {
                Some(version) => conditions.push(Condition { key: records::LEADER.into(), version }),
                None if group.version == 0 => return GroupWrite::Forget,
                None => return GroupWrite::NotAllowed,
            }
        } else if let Some(lease) = self.role.leased_shards.get(&group.record.shard) {
            let key = records::shard_key(group.record.shard);
            conditions.push(Condition { key, version: lease.version });
        }
        let change = match record.machines.is_empty() {
            true if group.version == 0 => return GroupWrite::Forget,
            true => Change::Drop { key },
            false => Change::Set { key, value: self.group_value(record), lease: None },
        };
        GroupWrite::Update(AtomicUpdate { conditions, changes: vec![change] })
    }

    fn begin_group_write(&mut self, name: &Arc<str>, update: AtomicUpdate) -> GroupUpdate {
        if let Some(group) = self.groups.get_mut(name) {
            group.writing = true;
        }
        GroupUpdate { name: name.clone(), update }
    }

    /// How many records of groups are about to be committed.
    pub fn groups_on_way(&self) -> usize {
        self.groups.values().filter(|g| g.writing).count()
    }

    /// Notes the end of a write; what was not made is worked out again.
    pub fn group_written(&mut self, name: &str) {
        if let Some(group) = self.groups.get_mut(name) {
            group.writing = false;
            group.addresses_unrecorded = true;
        }
        self.wakeups.fleet = true;
    }

    /// Takes in machines that no record names, as leader.
    pub(super) fn adopt(&mut self, found: Vec<Machine>) {
        let Some(term) = self.role.leadership else { return };
        let mut taken: BTreeMap<u32, usize> = BTreeMap::new();
        let mut groups: BTreeMap<(u32, String, String, bool), Vec<Machine>> = BTreeMap::new();
        for machine in found {
            let (shard, _) = self.shard_with_room(&taken);
            *taken.entry(shard).or_default() += 1;
            let key = (shard, machine.machine_type.clone(), machine.zone.clone(), machine.spot);
            groups.entry(key).or_default().push(machine);
        }
        for ((shard, machine_type, zone, spot), members) in groups {
            let name = format!("dc-{term}-{}", self.fleet.next_number());
            let machines = members
                .into_iter()
                .map(|m| (m.id.to_string(), MemberRecord { address: m.address, given_up: false }))
                .collect();
            self.new_group(&name, GroupRecord { shard, machine_type, zone, spot, machines });
        }
    }

    /// Brings the machines of a group up to its record. A machine that is no
    /// longer in it was released, and the release was answered.
    pub(super) fn apply_group(
        &mut self,
        name: &str,
        record: Option<GroupRecord>,
        version: u64,
        now: Instant,
    ) {
        let name: Arc<str> = name.into();
        let old = self.groups.remove(&name);
        if let Some(old) = &old {
            let still = |id: &str| record.as_ref().is_some_and(|r| r.machines.contains_key(id));
            let left = old.record.machines.keys().filter(|id| !still(id));
            let departed = |id: &String| Departed {
                revision: version,
                machine: id.as_str().into(),
                group: name.clone(),
            };
            self.departed.extend(left.map(departed));
        }
        if let Some(record) = record {
            let mut addresses_unrecorded = false;
            for (id, member) in &record.machines {
                let id: Arc<str> = id.as_str().into();
                let machine =
                    self.machines.entry(id.clone()).or_insert_with(|| Machine::new(&id, record.shard, now));
                let fresh = machine.group.is_none();
                // A newer group that it has moved to keeps it.
                let other = machine.group.as_ref().filter(|g| **g != name).and_then(|g| self.groups.get(g));
                if other.is_some_and(|g| g.version > version && g.record.machines.contains_key(&*id)) {
                    continue;
                }
                machine.group = Some(name.clone());
                machine.shard = record.shard;
                if fresh {
                    machine.machine_type.clone_from(&record.machine_type);
                    machine.zone.clone_from(&record.zone);
                    machine.spot = record.spot;
                }
                machine.given_up = member.given_up;
                match (&machine.address, &member.address) {
                    (None, Some(address)) => machine.address = Some(address.clone()),
                    (Some(_), None) => addresses_unrecorded = true,
                    _ => {}
                }
            }
            let writing = old.is_some_and(|g| g.writing);
            self.groups.insert(name.clone(), Group { record, version, writing, addresses_unrecorded });
            self.size_machines();
        }
        self.settle_departed(now);
        self.wakeups.place = true;
        self.wakeups.fleet = true;
    }

    /// Forgets a released machine once no placement names it.
    pub(super) fn forget_machine(&mut self, id: &str) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.group = None;
        if machine.tasks.is_empty() {
            let (room, shard, id) = (machine.room().cpus, machine.shard, machine.id.clone());
            if let Some(shard) = self.machines_by_free_cpus.get_mut(&shard) {
                shard.remove(&(room, id.clone()));
            }
            self.machines.swap_remove(&id);
        }
    }

    /// Gives machines what their types have, once both are known.
    pub(super) fn size_machines(&mut self) {
        let Some(catalog) = &self.catalog else { return };
        let sizes: BTreeMap<&str, _> = catalog
            .machine_types
            .iter()
            .map(|h| (h.name.as_str(), dapplecroft_sched::Resources::new(h.cpus, h.gpus, h.memory_gb)))
            .collect();
        for machine in self.machines.values_mut() {
            let Some(size) = sizes.get(machine.machine_type.as_str()) else { continue };
            if machine.capacity != *size {
                let before = machine.room().cpus;
                machine.capacity = *size;
                reindex(&mut self.machines_by_free_cpus, machine, before);
            }
        }
    }
}
