//! The shards of what runs in a block: each machine is in one, and each is a
//! record of its own that no value's limit is too small for.
//!
//! A shard's *weight* is what its record takes and what ends of what it has may
//! add, as far as they come in any usual order; nothing is placed beyond the
//! limit less a reserve. Should ends come so scattered that they would not fit,
//! those that do are recorded first, and the others as neighbours join
//! ([`Core::next_shard_record`]). So no order of ends can make a record outgrow a value.

use super::{Core, Subject};
use crate::jobs::{Placed, TaskId};
use crate::machines::Machine;
use crate::records::{ShardId, ShardRecord, stored_size};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

/// The part of a value's limit that a record's weight may reach.
const FULL: f64 = 0.92;
/// The same for the size of a record of the first layout.
const FULL_WHOLE: f64 = 0.85;
/// Machines join a shard up to this weight, each counted with what one usually
/// has: the fewer shards, the fewer changes, but one that has no room left keeps
/// its machines from taking work.
const JOIN: f64 = 0.8;
/// Two shards become one if they weigh no more than this together.
const MERGE: f64 = 0.55;
/// What a machine is taken to weigh while none has anything.
const USUAL: usize = 60;
/// What a group of neighbours takes, and what its ends may add.
const GROUP: usize = 10;
const ENDS: usize = 4;
/// The same for a job's name among others.
const NAMED: usize = 5;

fn machine_weight(id: &str) -> usize {
    // Most have the beginning of their names in common.
    id.len() / 2 + 4
}

/// A task that joins its neighbour, or begins a group.
fn task_weight(joins: bool) -> usize {
    if joins { 1 } else { GROUP + ENDS }
}

/// The weight of a record.
pub(super) fn weight(record: &ShardRecord) -> usize {
    let groups = record.group_sizes().into_iter();
    let ends = groups.map(|n| if n > 1 { ENDS + n as usize / 4 } else { 0 });
    stored_size(&serde_json::to_value(record).unwrap_or_default())
        + ends.sum::<usize>()
        + record.jobs.len() * NAMED
}

/// How a record's weight grows with what is placed.
pub(super) struct Scale {
    total: usize,
    most: usize,
    /// Whether it is one of the first layout.
    whole: bool,
    last: Option<(TaskId, Arc<str>, u64)>,
    names: BTreeSet<String>,
    machines: BTreeSet<String>,
}

impl Scale {
    /// What a record weighs so far.
    pub fn new(record: &ShardRecord, limit: usize, whole: bool) -> Scale {
        let names = record.jobs.iter().chain(record.done.keys()).chain(record.tries.keys());
        let (total, part) = if whole {
            (stored_size(&crate::legacy::write_shard(record)), FULL_WHOLE)
        } else {
            (weight(record), FULL)
        };
        Scale {
            total,
            most: (limit as f64 * part) as usize,
            whole,
            last: None,
            names: names.cloned().collect(),
            machines: record.machines.keys().cloned().collect(),
        }
    }

    /// Takes a placement in, if its weight lets it.
    pub fn take(&mut self, task: &TaskId, p: &Placed) -> bool {
        let joins = self.last.as_ref().is_some_and(|(t, m, n)| {
            t.job == task.job && t.index + 1 == task.index && *m == p.machine && *n == p.attempt
        });
        let mut own = if self.whole && !joins { GROUP } else { task_weight(joins) };
        let (named, there) = (self.names.contains(&*task.job), self.machines.contains(&*p.machine));
        own += if named { 0 } else { task.job.len() + NAMED };
        own += if there { 0 } else { machine_weight(&p.machine) };
        if self.total + own > self.most {
            return false;
        }
        self.total += own;
        self.last = Some((task.clone(), p.machine.clone(), p.attempt));
        if !named {
            self.names.insert(task.job.to_string());
        }
        if !there {
            self.machines.insert(p.machine.to_string());
        }
        true
    }
}

impl Core {
    /// The records of a block: the whole one of the first layout, then shards.
    pub(super) fn shards_of(&self, block: u32) -> impl Iterator<Item = (&ShardId, &super::Shard)> {
        self.shards.range(ShardId::whole(block)..=ShardId::new(block, u32::MAX))
    }

    /// The shard whose record speaks for a machine, if any does.
    pub(super) fn recorded_shard(&self, block: u32, machine: &str) -> Option<u32> {
        let in_it =
            |id: &ShardId, l: &super::Shard| id.shard.filter(|_| l.record.machines.contains_key(machine));
        self.shards_of(block).find_map(|(id, l)| in_it(id, l))
    }

    /// What a shard weighs with all that is proposed in it.
    fn shard_weight(&self, id: &ShardId) -> usize {
        let pending = self.pending.get(id).copied().unwrap_or(0);
        self.shards.get(id).map_or(0, |l| l.weight) + pending
    }

    /// Whether a shard has no room for another task of a job.
    pub(super) fn is_shard_full(&self, id: &ShardId) -> bool {
        self.shard_weight(id) + 64 > (self.limits().value as f64 * FULL) as usize
    }

    /// Whether a machine's shard has no room for more, and it can't change it.
    pub(super) fn is_recordless(&self, machine: &Machine) -> bool {
        let Some(shard) = machine.shard.filter(|_| !machine.tasks.is_empty()) else { return false };
        self.is_shard_full(&ShardId::new(machine.block, shard))
    }

    /// The shard that a machine is in from now on. One on which nothing is and
    /// which no record names may change it; no other.
    pub(super) fn assign_shard(&mut self, id: &str) -> Option<ShardId> {
        let machine = self.machines.get(id)?;
        let block = machine.block;
        if self.is_mixed() {
            return Some(ShardId::whole(block));
        }
        if let Some(shard) = machine.shard.map(|shard| ShardId::new(block, shard)) {
            let fixed = !machine.tasks.is_empty() || self.recorded_shard(block, id).is_some();
            if fixed || !self.is_shard_full(&shard) {
                return Some(shard);
            }
        }
        let most = (self.limits().value as f64 * JOIN) as usize;
        let own = machine_weight(id) + self.weight_of(machine, |_| true).max(self.usual_weight(block));
        let known = self.shard_numbers(block);
        let open = known.iter().copied().find(|n| self.shard_weight(&ShardId::new(block, *n)) + own <= most);
        let number = open.or_else(|| (0..).find(|n| !known.contains(n)))?;
        let shard = ShardId::new(block, number);
        *self.pending.entry(shard).or_default() += own;
        self.machines.get_mut(id)?.shard = Some(number);
        Some(shard)
    }

    /// What machines of a block usually weigh.
    fn usual_weight(&self, block: u32) -> usize {
        let shards = self.shards_of(block).filter(|(id, _)| id.shard.is_some());
        let used =
            shards.map(|(_, l)| (l.weight, l.record.machines.values().filter(|s| !s.is_empty()).count()));
        let (weight, machines) = used.fold((0, 0), |(w, m), (own, n)| (w + own, m + n));
        weight.checked_div(machines).unwrap_or(USUAL).max(USUAL / 3)
    }

    /// What tasks of a machine weigh with the names of their jobs.
    fn weight_of(&self, machine: &Machine, counts: impl Fn(&Placed) -> bool) -> usize {
        let mut last: Option<(&TaskId, u64)> = None;
        let mut sum = 0;
        for task in &machine.tasks {
            let Some(p) = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index)) else { continue };
            if counts(p) {
                let same = last.filter(|(t, _)| t.job == task.job);
                let joins = same.is_some_and(|(t, n)| t.index + 1 == task.index && n == p.attempt);
                // Other machines of the shard may have tasks of the job, too.
                // Those that move here from a whole block's record bring names.
                let named = if p.home.shard.is_some() { NAMED } else { task.job.len() + NAMED };
                sum += task_weight(joins) + if same.is_some() { 0 } else { named };
                last = Some((task, p.attempt));
            }
        }
        sum
    }

    /// Takes another shard of the block into this one if both together leave
    /// enough room: the fewer shards, the fewer changes. The other one is emptied
    /// in the transaction that writes this one.
    pub(super) fn absorb(&mut self, id: ShardId) -> Option<ShardId> {
        let shard = id.shard?;
        let (own, most) = (self.shard_weight(&id), (self.limits().value as f64 * MERGE) as usize);
        let of = ShardId::new(id.block, 0)..=ShardId::new(id.block, u32::MAX);
        let lightest = self
            .shards
            .range(of)
            .filter(|(_, load)| !load.is_empty())
            .map(|(other, _)| *other)
            .filter(|other| *other != id && !self.commits.is_in_flight(&Subject::Shard(*other)))
            .min_by_key(|other| self.shard_weight(other))?;
        if self.limits().changes < 2 || own + self.shard_weight(&lightest) > most {
            return None;
        }
        let record = self.shards.get(&lightest).map(|l| l.record.clone())?;
        self.inherited.insert(id, super::migration::Inherited { done: record.done, tries: record.tries });
        let moved = |m: &&mut Machine| m.block == id.block && m.shard == lightest.shard;
        for machine in self.machines.values_mut().filter(moved) {
            machine.shard = Some(shard);
        }
        self.rehome(id.block);
        self.pending.remove(&lightest);
        self.absorbing.insert(lightest);
        Some(lightest)
    }

    /// Whether a shard is being taken in by another just now.
    pub(super) fn absorbs(&self, id: ShardId) -> bool {
        self.absorbing.contains(&id)
    }

    /// Ends of a shard that another has taken in are recorded there.
    pub(super) fn absorbed(&mut self, other: ShardId, by: ShardId, now: Instant) {
        self.absorbing.remove(&other);
        self.commits.move_deferred_ends(other, by, now);
        self.wakeups.flush = true;
    }

    /// The same if it was not made after all: what a record says of its machines
    /// counts.
    pub(super) fn restore(&mut self, other: ShardId, by: ShardId) {
        self.inherited.remove(&by);
        self.absorbing.remove(&other);
        let Some(record) = self.shards.get(&other).map(|l| l.record.machines.clone()) else { return };
        for name in record.keys() {
            if let Some(machine) = self.machines.get_mut(name.as_str()) {
                machine.shard = other.shard;
            }
        }
        self.rehome(other.block);
        self.mark_shard(other, false);
    }

    /// As holder, puts machines into the shard whose record has just been found to
    /// have them. No two may speak for one machine.
    pub(super) fn follow_shard(&mut self, id: ShardId) {
        let Some(record) = self.shards.get(&id).map(|l| &l.record.machines) else { return };
        let mut moved = false;
        for name in record.keys() {
            if let Some(machine) = self.machines.get_mut(name.as_str())
                && machine.block == id.block
                && machine.shard != id.shard
            {
                machine.shard = id.shard;
                moved = true;
            }
        }
        if moved {
            self.rehome(id.block);
        }
    }

    /// What is proposed on a machine is recorded in the shard that it is in.
    fn rehome(&mut self, block: u32) {
        let proposed: Vec<(TaskId, Option<u32>)> = self
            .machines
            .values()
            .filter(|m| m.block == block)
            .flat_map(|m| m.tasks.iter().map(|t| (t.clone(), m.shard)))
            .collect();
        for (task, shard) in proposed {
            let Some(job) = self.open_job_mut(&task.job) else { continue };
            let Some(p) = job.placed.get_mut(&task.index).filter(|p| !p.committed) else { continue };
            let home = ShardId { block, shard };
            if p.home != home && shard.is_some() {
                p.home = home;
                self.mark_shard(home, false);
            }
        }
    }

    /// Sends machines that no record of a shard has yet to other shards until what
    /// runs on the rest fits a value: what is committed must always fit, and only
    /// what moves here from a record of the first layout may turn out not to.
    pub(super) fn relieve(&mut self, id: ShardId) {
        let Some(shard) = id.shard else { return };
        let limit = self.limits().value;
        loop {
            let (record, _, _) = self.shard_record_with(id, 0, 0);
            if stored_size(&self.shard_value(id, &record)) <= limit {
                return;
            }
            let known = self.shards.get(&id).map(|l| &l.record.machines);
            let new = |m: &&Machine| {
                let here = m.block == id.block && m.shard == Some(shard) && !m.tasks.is_empty();
                here && !known.is_some_and(|k| k.contains_key(&*m.id))
            };
            let Some(machine) = self.machines.values().rfind(new).map(|m| m.id.clone()) else {
                return;
            };
            let full = self.shard_weight(&id);
            self.pending.insert(id, full.max(limit));
            if let Some(machine) = self.machines.get_mut(&machine) {
                machine.shard = None;
            }
            let Some(other) = self.assign_shard(&machine) else { return };
            let tasks: Vec<TaskId> =
                self.machines.get(&machine).map(|m| m.tasks.iter().cloned().collect()).unwrap_or_default();
            for task in tasks {
                if let Some(job) = self.open_job_mut(&task.job)
                    && let Some(p) = job.placed.get_mut(&task.index).filter(|p| !p.committed && p.home == id)
                {
                    p.home = other;
                }
            }
            self.mark_shard(other, false);
        }
    }

    /// Works out anew what is to come in a shard besides what its record has.
    pub(super) fn reweigh(&mut self, id: ShardId) {
        let Some(shard) = id.shard else { return };
        let record = self.shards.get(&id).map(|l| &l.record);
        let mut sum = 0;
        for machine in self.machines.values().filter(|m| m.block == id.block && m.shard == Some(shard)) {
            if record.is_some_and(|r| r.machines.contains_key(&*machine.id)) {
                sum += self.weight_of(machine, |p| !p.committed);
            } else {
                sum += machine_weight(&machine.id) + self.weight_of(machine, |_| true);
            }
        }
        if let Some(more) = self.inherited.get(&id) {
            let own =
                ShardRecord { done: more.done.clone(), tries: more.tries.clone(), ..ShardRecord::default() };
            sum += weight(&own);
        }
        if sum > 0 {
            self.pending.insert(id, sum);
        } else {
            self.pending.remove(&id);
        }
    }

    /// Numbers of shards that are in use, recorded or not.
    pub(super) fn shard_numbers(&self, block: u32) -> BTreeSet<u32> {
        let of = ShardId::new(block, 0)..=ShardId::new(block, u32::MAX);
        let used = self.shards.range(of.clone()).filter(|(_, load)| !load.is_empty());
        let recorded = used.filter_map(|(id, _)| id.shard);
        recorded.chain(self.pending.range(of).filter_map(|(id, _)| id.shard)).collect()
    }

    /// Counts a proposal in; returns whether its shard has room for it.
    pub(super) fn weigh(&mut self, task: &TaskId, shard: ShardId) -> bool {
        if shard.shard.is_none() {
            return true;
        }
        let joins = |t: &TaskId| t.job == task.job && t.index + 1 == task.index;
        let own = task_weight(self.weighed.as_ref().is_some_and(|(p, t)| *p == shard && joins(t)));
        if self.shard_weight(&shard) + own > (self.limits().value as f64 * FULL) as usize {
            return false;
        }
        *self.pending.entry(shard).or_default() += own;
        self.weighed = Some((shard, task.clone()));
        true
    }

    /// As holder, learns from the records which machine is in which shard.
    pub(super) fn learn_parts(&mut self, block: u32) {
        let mut shards: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for (id, load) in self.shards_of(block) {
            let Some(shard) = id.shard else { continue };
            shards.extend(load.record.machines.keys().map(|m| (Arc::from(m.as_str()), shard)));
        }
        for machine in self.machines.values_mut().filter(|m| m.block == block) {
            machine.shard = shards.get(&machine.id).copied();
        }
        self.pending.retain(|id, _| id.block != block);
        self.absorbing.retain(|id| id.block != block);
    }
}
