//! Records of machine groups. A group's record says which shard its machines belong to,
//! the addresses of their workers, and which machines the shard's holder has given up.
//! Machines that the leader has released are removed from it.

use super::layout::to_value;
use super::{Core, Group, update_free_cpu_index};
use crate::machines::Machine;
use crate::records::{self, GroupRecord, MachineRecord, stored_size};
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::state::{Change, Condition};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Minimum time between two writes of a group's record only for addresses of its
/// workers. Hundreds of machines that start together must not use up the write rate of
/// the state service.
const ADDRESS_WRITE_INTERVAL: Duration = Duration::from_millis(1500);

/// Maximum number of machines in a shard per kilobyte of the value size limit. The tasks
/// on so many machines take less than a kilobyte in the shard's record, with a wide
/// margin for many small tasks.
const SHARD_MACHINES_PER_RECORD_KB: f64 = 6.0;

/// A write of a group's record that is to be committed.
#[derive(Debug, Clone)]
pub struct GroupUpdate {
    /// Name of the group.
    pub name: Arc<str>,
    /// Conditions and changes of the commit.
    pub update: AtomicUpdate,
}

/// Reasons to write a group's record, the most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum GroupWritePriority {
    /// Machines of the group were released.
    Released,
    /// The group has no record yet.
    New,
    /// The shard's holder has given up machines of the group.
    GivenUp,
    /// The group has to be split into smaller ones.
    NeedsSplit,
    /// Addresses of the group's workers are known but not recorded.
    Addresses,
}

/// A machine that was removed from a group's record.
#[derive(Debug, Clone)]
pub(super) struct DepartedMachine {
    /// Revision at which the machine was removed.
    revision: u64,
    /// Id of the machine.
    machine: Arc<str>,
    /// Name of the group that it was in.
    group: Arc<str>,
}

/// How this process has to write a group's record.
enum GroupWrite {
    /// Commit this update, which writes or deletes the record.
    Update(AtomicUpdate),
    /// Drop the group from memory: it was never recorded and needs no record.
    Forget,
    /// Do nothing: only another process may write the record.
    NotAllowed,
}

/// Resets the given-up mark of newly given up machines, the last ones first, until the
/// record fits into `limit` bytes. These machines are marked by a later write.
fn limit_newly_given_up(record: &mut GroupRecord, old: &GroupRecord, limit: usize) {
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
    /// Creates a group of machines that this leader has rented or adopted. If its record
    /// would not fit a value, the machines are split among several groups.
    pub(super) fn new_group(&mut self, name: &str, record: GroupRecord) {
        let records =
            if self.uses_legacy_layout() { vec![record] } else { record.split_to_fit(self.limits().value) };
        for (n, record) in records.into_iter().enumerate() {
            let name = if n == 0 { name.to_string() } else { format!("{name}.{n}") };
            let group = Group { record, version: 0, write_in_flight: false, addresses_unrecorded: false };
            self.groups.insert(name.into(), group);
        }
        self.wakeups.fleet = true;
    }

    /// Whether a group has to be split: its record is too large to be written again, or
    /// a split has begun and some of its machines are in other groups already.
    fn needs_split(&self, name: &str, group: &Group) -> bool {
        let is_elsewhere = |id: &String| {
            let current_group = self.machines.get(id.as_str()).and_then(|m| m.group.as_deref());
            current_group.is_some_and(|g| g != name)
        };
        let max_bytes = self.limits().value * 7 / 8;
        !self.uses_legacy_layout()
            && group.version > 0
            && (group.record.stored_bytes() > max_bytes || group.record.machines.keys().any(is_elsewhere))
    }

    /// The next step of splitting a group. It writes some of the remaining machines into
    /// a new group's record; since that record is newer, the machines belong to the new
    /// group from then on. When no machine remains, the step deletes the old record,
    /// which is never written again.
    fn split_update(&self, name: &Arc<str>, group: &Group) -> Option<AtomicUpdate> {
        let key = records::group_key(name);
        let mut conditions = vec![
            Condition { key: records::LEADER_KEY.into(), version: self.role.leader_key_version? },
            Condition { key: key.clone(), version: group.version },
        ];
        let mut remaining = group.record.clone();
        remaining.machines.retain(|id, member| {
            let machine = self.machines.get(id.as_str());
            if let Some(machine) = machine {
                member.address = machine.address.clone().or(member.address.take());
            }
            machine.is_none_or(|m| m.group.as_ref().is_none_or(|g| g == name))
        });
        if remaining.machines.is_empty() {
            return Some(AtomicUpdate { conditions, changes: vec![Change::Drop { key }] });
        }
        let part = remaining.split_to_fit(self.limits().value).into_iter().next()?;
        let is_unused = |n: &u32| !self.groups.contains_key(format!("{name}.{n}").as_str());
        let key = records::group_key(&format!("{name}.{}", (1..).find(is_unused)?));
        conditions.push(Condition { key: key.clone(), version: 0 });
        let change = Change::Set { key, value: self.group_value(&part), lease: None };
        Some(AtomicUpdate { conditions, changes: vec![change] })
    }

    /// Removes machines that are no longer in their group's record, once the replica has
    /// caught up with the revision of that change. A machine that no other group has by
    /// then was released, and the cloud has confirmed the release.
    pub(super) fn remove_departed_machines(&mut self, now: Instant) {
        let applied_revision = self.applied_revision;
        let departed = std::mem::take(&mut self.departed_machines);
        let (applied, later): (Vec<DepartedMachine>, Vec<DepartedMachine>) =
            departed.into_iter().partition(|departed| departed.revision <= applied_revision);
        self.departed_machines = later;
        for DepartedMachine { machine: id, group, .. } in applied {
            let listed_again = self.groups.get(&group).is_some_and(|g| g.record.machines.contains_key(&*id));
            let still_member = self.machines.get(&id).is_some_and(|m| m.group.as_ref() == Some(&group));
            if still_member && !listed_again {
                self.machine_released(&id, now);
                self.forget_machine(&id);
            }
        }
    }

    /// Whether a machine is in a group whose record is not committed yet.
    pub(super) fn is_in_uncommitted_group(&self, machine: &str) -> bool {
        self.groups.values().any(|g| g.version == 0 && g.record.machines.contains_key(machine))
    }

    /// Whether a machine belongs to a group, committed or not. No machine may be in two
    /// groups, since its shard would change while it has tasks. A machine can send a
    /// heartbeat, or appear in the cloud's list, before the response to its rental has
    /// arrived. It is then adopted, and the late response must not add it a second time.
    pub(super) fn is_grouped(&self, machine: &str) -> bool {
        self.machines.get(machine).is_some_and(|m| m.group.is_some()) || self.is_in_uncommitted_group(machine)
    }

    /// Maximum number of machines in a shard. Without an option it follows from the value
    /// size limit, between 10 and 200: large shards need fewer records, and so fewer
    /// changes per transaction, but layout 1 stores all tasks of a shard in one record.
    pub(super) fn max_shard_machines(&self) -> usize {
        let by_value = (self.settings.params.state.value_kb * SHARD_MACHINES_PER_RECORD_KB) as usize;
        self.options.shard_machines.unwrap_or(by_value.clamp(10, 200))
    }

    /// The shard that new machines join, and how many more it may get: the fullest shard
    /// with room left, or else a new one. `taken` counts machines that were assigned to
    /// shards but are not in any group yet.
    pub(super) fn shard_with_room(&self, taken: &BTreeMap<u32, usize>) -> (u32, usize) {
        let max_machines = self.max_shard_machines();
        let sizes = self.shard_sizes();
        let size =
            |shard: u32| sizes.get(&shard).copied().unwrap_or(0) + taken.get(&shard).copied().unwrap_or(0);
        let mut numbers = self.shard_numbers();
        numbers.extend(taken.keys());
        numbers.sort_unstable();
        numbers.dedup();
        let with_room = numbers.iter().copied().filter(|shard| size(*shard) < max_machines);
        let shard = with_room.max_by_key(|shard| (size(*shard), std::cmp::Reverse(*shard)));
        // The lowest number that no shard has.
        let unused = (0..).find(|n| !numbers.contains(n)).unwrap_or(0);
        let shard = shard.unwrap_or(unused);
        (shard, max_machines - size(shard))
    }

    /// Writes of group records that are due and that this process may make. The caller
    /// passes the machines to be given up and the machines that were released.
    pub(super) fn group_updates(
        &mut self,
        give_up: &BTreeSet<Arc<str>>,
        released: &BTreeSet<Arc<str>>,
        now: Instant,
    ) -> Vec<GroupUpdate> {
        let mut updates = Vec::new();
        let mut write_addresses = self
            .fleet
            .addresses_updated_at
            .is_none_or(|at| now.saturating_duration_since(at) >= ADDRESS_WRITE_INTERVAL);
        self.split_large_uncommitted_groups();
        let released_groups = self.groups_containing(released);
        let given_up_groups = self.groups_containing(give_up);
        let must_write = |name: &str| released_groups.contains(name) || given_up_groups.contains(name);
        // When many machines are lost within a short time, nearly all groups have to be
        // written repeatedly. Only a few writes may be in flight, as allocations and
        // placements would otherwise wait behind them until the losses are over.
        let max_in_flight = (self.limits().changes / 2).max(2);
        let max_updates = max_in_flight.saturating_sub(self.group_writes_in_flight());
        for name in self.groups_to_write(&released_groups, &given_up_groups, write_addresses) {
            if updates.len() >= max_updates {
                break;
            }
            let Some(group) = self.groups.get(&name) else { continue };
            if self.needs_split(&name, group) {
                let update = self.split_update(&name, group);
                updates.extend(update.map(|update| self.begin_group_write(&name, update)));
                continue;
            }
            if !write_addresses && group.version > 0 && !must_write(&name) {
                continue;
            }
            let record = self.updated_group_record(group, give_up, released);
            let unchanged = record == group.record && group.version > 0;
            let held = self.is_holder(group.record.shard);
            if !unchanged && group.addresses_unrecorded && held {
                write_addresses = false;
                self.fleet.addresses_updated_at = Some(now);
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

    /// Splits groups that are not committed and whose records would be too large. They
    /// were created before the switch to layout 2.
    fn split_large_uncommitted_groups(&mut self) {
        let limit = self.limits().value;
        let large: Vec<Arc<str>> = self
            .groups
            .iter()
            .filter(|(_, g)| !self.uses_legacy_layout() && g.version == 0 && !g.write_in_flight)
            .filter(|(_, g)| g.record.max_stored_bytes() > limit && g.record.machines.len() > 1)
            .map(|(name, _)| name.clone())
            .collect();
        for name in large {
            if let Some(group) = self.groups.remove(&name) {
                self.new_group(&name, group.record);
            }
        }
    }

    /// Names of the groups that these machines belong to.
    fn groups_containing(&self, machines: &BTreeSet<Arc<str>>) -> BTreeSet<Arc<str>> {
        machines.iter().filter_map(|id| self.machines.get(id)?.group.clone()).collect()
    }

    /// Names of groups whose records may have to be written, the most important first.
    fn groups_to_write(
        &self,
        released: &BTreeSet<Arc<str>>,
        given_up: &BTreeSet<Arc<str>>,
        write_addresses: bool,
    ) -> Vec<Arc<str>> {
        let leads = self.role.leader_key_version.is_some();
        let priority = |name: &Arc<str>, group: &Group| match () {
            () if group.write_in_flight => None,
            // Tasks of released machines are placed elsewhere only after this write.
            () if released.contains(name) => Some(GroupWritePriority::Released),
            () if group.version == 0 => Some(GroupWritePriority::New),
            () if given_up.contains(name) => Some(GroupWritePriority::GivenUp),
            () if leads && self.needs_split(name, group) => Some(GroupWritePriority::NeedsSplit),
            () if write_addresses && group.addresses_unrecorded => Some(GroupWritePriority::Addresses),
            () => None,
        };
        let mut names: Vec<(GroupWritePriority, &Arc<str>)> =
            self.groups.iter().filter_map(|(name, group)| Some((priority(name, group)?, name))).collect();
        names.sort();
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// A group's record with the changes that this process may make: given up machines
    /// and addresses as the shard's holder, released machines as the leader.
    fn updated_group_record(
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
        if self.role.leader_key_version.is_some() {
            record.machines.retain(|id, _| !released.contains(id.as_str()));
        }
        if !self.uses_legacy_layout() {
            limit_newly_given_up(&mut record, &group.record, self.limits().value);
        }
        record
    }

    /// Decides how a group's record is written, and on which conditions. Only the leader
    /// may create a record or remove machines from it.
    fn group_write(&self, name: &str, record: &GroupRecord) -> GroupWrite {
        let Some(group) = self.groups.get(name) else { return GroupWrite::NotAllowed };
        let key = records::group_key(name);
        let mut conditions = vec![Condition { key: key.clone(), version: group.version }];
        let by_leader = group.version == 0 || record.machines.len() < group.record.machines.len();
        if by_leader {
            match self.role.leader_key_version {
                Some(version) => conditions.push(Condition { key: records::LEADER_KEY.into(), version }),
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

    /// Marks a group's record as being written.
    fn begin_group_write(&mut self, name: &Arc<str>, update: AtomicUpdate) -> GroupUpdate {
        if let Some(group) = self.groups.get_mut(name) {
            group.write_in_flight = true;
        }
        GroupUpdate { name: name.clone(), update }
    }

    /// Number of group records with a commit in flight.
    pub fn group_writes_in_flight(&self) -> usize {
        self.groups.values().filter(|g| g.write_in_flight).count()
    }

    /// Marks the write of a group's record as finished, whatever its outcome. Changes that
    /// were not committed are found again by the next call of `group_updates`.
    pub fn finish_group_write(&mut self, name: &str) {
        if let Some(group) = self.groups.get_mut(name) {
            group.write_in_flight = false;
            group.addresses_unrecorded = true;
        }
        self.wakeups.fleet = true;
    }

    /// Creates groups, as leader, for machines that a heartbeat or the cloud's list has
    /// shown and that are in no group's record.
    pub(super) fn adopt_machines(&mut self, found: Vec<Machine>) {
        let Some(term) = self.role.leader_key_version else { return };
        let mut taken: BTreeMap<u32, usize> = BTreeMap::new();
        let mut groups: BTreeMap<(u32, String, String, bool), Vec<Machine>> = BTreeMap::new();
        for machine in found {
            let (shard, _) = self.shard_with_room(&taken);
            *taken.entry(shard).or_default() += 1;
            let key = (shard, machine.machine_type.clone(), machine.zone.clone(), machine.spot);
            groups.entry(key).or_default().push(machine);
        }
        for ((shard, machine_type, zone, spot), members) in groups {
            let name = format!("dc-{term}-{}", self.fleet.next_request_number());
            let machines = members
                .into_iter()
                .map(|m| (m.id.to_string(), MachineRecord { address: m.address, given_up: false }))
                .collect();
            self.new_group(&name, GroupRecord { shard, machine_type, zone, spot, machines });
        }
    }

    /// Updates the machines of a group from a new version of its record; `None` means
    /// that the record was deleted. Machines that the record no longer has are removed
    /// by `remove_departed_machines`.
    pub(super) fn apply_group(
        &mut self,
        name: &str,
        record: Option<GroupRecord>,
        version: u64,
        now: Instant,
    ) {
        let name: Arc<str> = name.into();
        let previous = self.groups.remove(&name);
        if let Some(previous) = &previous {
            let still_member = |id: &str| record.as_ref().is_some_and(|r| r.machines.contains_key(id));
            let gone = previous.record.machines.keys().filter(|id| !still_member(id));
            let departed = |id: &String| DepartedMachine {
                revision: version,
                machine: id.as_str().into(),
                group: name.clone(),
            };
            self.departed_machines.extend(gone.map(departed));
        }
        if let Some(record) = record {
            let mut addresses_unrecorded = false;
            for (id, member) in &record.machines {
                let id: Arc<str> = id.as_str().into();
                let machine =
                    self.machines.entry(id.clone()).or_insert_with(|| Machine::new(&id, record.shard, now));
                let is_new = machine.group.is_none();
                // After a split the machine belongs to the group with the newer record.
                let other_group =
                    machine.group.as_ref().filter(|g| **g != name).and_then(|g| self.groups.get(g));
                if other_group.is_some_and(|g| g.version > version && g.record.machines.contains_key(&*id)) {
                    continue;
                }
                machine.group = Some(name.clone());
                machine.shard = record.shard;
                if is_new {
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
            let write_in_flight = previous.is_some_and(|g| g.write_in_flight);
            self.groups
                .insert(name.clone(), Group { record, version, write_in_flight, addresses_unrecorded });
            self.set_machine_capacities();
        }
        self.remove_departed_machines(now);
        self.wakeups.place = true;
        self.wakeups.fleet = true;
    }

    /// Takes a released machine out of its group, and removes it from memory if no
    /// placement refers to it any more.
    pub(super) fn forget_machine(&mut self, id: &str) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.group = None;
        if machine.tasks.is_empty() {
            let (room, shard, id) = (machine.free_resources().cpus, machine.shard, machine.id.clone());
            if let Some(shard) = self.machines_by_free_cpus.get_mut(&shard) {
                shard.remove(&(room, id.clone()));
            }
            self.machines.swap_remove(&id);
        }
    }

    /// Sets the capacity of machines from the catalog of machine types, as far as the
    /// catalog and the machines' types are known.
    pub(super) fn set_machine_capacities(&mut self) {
        let Some(catalog) = &self.catalog else { return };
        let sizes: BTreeMap<&str, _> = catalog
            .machine_types
            .iter()
            .map(|t| (t.name.as_str(), dapplecroft_sched::Resources::new(t.cpus, t.gpus, t.memory_gb)))
            .collect();
        for machine in self.machines.values_mut() {
            let Some(size) = sizes.get(machine.machine_type.as_str()) else { continue };
            if machine.capacity != *size {
                let before = machine.free_resources().cpus;
                machine.capacity = *size;
                update_free_cpu_index(&mut self.machines_by_free_cpus, machine, before);
            }
        }
    }
}
