//! The segments of what runs in a shard: each machine is in one, and each is a
//! record of its own that no value's limit is too small for.
//!
//! A segment's *weight* is what its record takes and what ends of what it has may
//! add, as far as they come in any usual order; nothing is placed beyond the
//! limit less a reserve. Should ends come so scattered that they would not fit,
//! those that do are recorded first, and the others as neighbours join
//! ([`Core::next_segment_record`]). So no order of ends can make a record outgrow a value.

use super::{CommitTarget, Core};
use crate::jobs::{Placement, TaskId};
use crate::machines::Machine;
use crate::records::{SegmentId, SegmentRecord, stored_size};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

/// The part of a value's limit that a record's weight may reach.
const FULL: f64 = 0.92;
/// The same for the size of a record of the first layout.
const FULL_WHOLE: f64 = 0.85;
/// Machines join a segment up to this weight, each counted with what one usually
/// has: the fewer segments, the fewer changes, but one that has no room left keeps
/// its machines from taking work.
const JOIN: f64 = 0.8;
/// Two segments become one if they weigh no more than this together.
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
pub(super) fn weight(record: &SegmentRecord) -> usize {
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
    pub fn new(record: &SegmentRecord, limit: usize, whole: bool) -> Scale {
        let names = record.jobs.iter().chain(record.done.keys()).chain(record.last_attempts.keys());
        let (total, part) = if whole {
            (stored_size(&crate::legacy::write_segment(record)), FULL_WHOLE)
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
    pub fn take(&mut self, task: &TaskId, p: &Placement) -> bool {
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
    /// The records of a shard: the whole one of the first layout, then segments.
    pub(super) fn segments_of(&self, shard: u32) -> impl Iterator<Item = (&SegmentId, &super::Segment)> {
        self.segments.range(SegmentId::whole(shard)..=SegmentId::new(shard, u32::MAX))
    }

    /// The segment whose record speaks for a machine, if any does.
    pub(super) fn recorded_segment(&self, shard: u32, machine: &str) -> Option<u32> {
        let in_it = |id: &SegmentId, l: &super::Segment| {
            id.segment.filter(|_| l.record.machines.contains_key(machine))
        };
        self.segments_of(shard).find_map(|(id, l)| in_it(id, l))
    }

    /// What a segment weighs with all that is proposed in it.
    fn segment_weight(&self, id: &SegmentId) -> usize {
        let pending = self.pending.get(id).copied().unwrap_or(0);
        self.segments.get(id).map_or(0, |l| l.weight) + pending
    }

    /// Whether a segment has no room for another task of a job.
    pub(super) fn is_segment_full(&self, id: &SegmentId) -> bool {
        self.segment_weight(id) + 64 > (self.limits().value as f64 * FULL) as usize
    }

    /// Whether a machine's segment has no room for more, and it can't change it.
    pub(super) fn is_recordless(&self, machine: &Machine) -> bool {
        let Some(segment) = machine.segment.filter(|_| !machine.tasks.is_empty()) else { return false };
        self.is_segment_full(&SegmentId::new(machine.shard, segment))
    }

    /// The segment that a machine is in from now on. One on which nothing is and
    /// which no record names may change it; no other.
    pub(super) fn assign_segment(&mut self, id: &str) -> Option<SegmentId> {
        let machine = self.machines.get(id)?;
        let shard = machine.shard;
        if self.is_mixed() {
            return Some(SegmentId::whole(shard));
        }
        if let Some(segment) = machine.segment.map(|segment| SegmentId::new(shard, segment)) {
            let fixed = !machine.tasks.is_empty() || self.recorded_segment(shard, id).is_some();
            if fixed || !self.is_segment_full(&segment) {
                return Some(segment);
            }
        }
        let most = (self.limits().value as f64 * JOIN) as usize;
        let own = machine_weight(id) + self.weight_of(machine, |_| true).max(self.usual_weight(shard));
        let known = self.segment_numbers(shard);
        let open =
            known.iter().copied().find(|n| self.segment_weight(&SegmentId::new(shard, *n)) + own <= most);
        let number = open.or_else(|| (0..).find(|n| !known.contains(n)))?;
        let segment = SegmentId::new(shard, number);
        *self.pending.entry(segment).or_default() += own;
        self.machines.get_mut(id)?.segment = Some(number);
        Some(segment)
    }

    /// What machines of a shard usually weigh.
    fn usual_weight(&self, shard: u32) -> usize {
        let segments = self.segments_of(shard).filter(|(id, _)| id.segment.is_some());
        let used =
            segments.map(|(_, l)| (l.weight, l.record.machines.values().filter(|s| !s.is_empty()).count()));
        let (weight, machines) = used.fold((0, 0), |(w, m), (own, n)| (w + own, m + n));
        weight.checked_div(machines).unwrap_or(USUAL).max(USUAL / 3)
    }

    /// What tasks of a machine weigh with the names of their jobs.
    fn weight_of(&self, machine: &Machine, counts: impl Fn(&Placement) -> bool) -> usize {
        let mut last: Option<(&TaskId, u64)> = None;
        let mut sum = 0;
        for task in &machine.tasks {
            let Some(p) = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index)) else { continue };
            if counts(p) {
                let same = last.filter(|(t, _)| t.job == task.job);
                let joins = same.is_some_and(|(t, n)| t.index + 1 == task.index && n == p.attempt);
                // Other machines of the segment may have tasks of the job, too.
                // Those that move here from a whole shard's record bring names.
                let named = if p.segment.segment.is_some() { NAMED } else { task.job.len() + NAMED };
                sum += task_weight(joins) + if same.is_some() { 0 } else { named };
                last = Some((task, p.attempt));
            }
        }
        sum
    }

    /// Takes another segment of the shard into this one if both together leave
    /// enough room: the fewer segments, the fewer changes. The other one is emptied
    /// in the transaction that writes this one.
    pub(super) fn absorb(&mut self, id: SegmentId) -> Option<SegmentId> {
        let segment = id.segment?;
        let (own, most) = (self.segment_weight(&id), (self.limits().value as f64 * MERGE) as usize);
        let of = SegmentId::new(id.shard, 0)..=SegmentId::new(id.shard, u32::MAX);
        let lightest = self
            .segments
            .range(of)
            .filter(|(_, load)| !load.is_empty())
            .map(|(other, _)| *other)
            .filter(|other| *other != id && !self.commits.is_in_flight(&CommitTarget::Segment(*other)))
            .min_by_key(|other| self.segment_weight(other))?;
        if self.limits().changes < 2 || own + self.segment_weight(&lightest) > most {
            return None;
        }
        let record = self.segments.get(&lightest).map(|l| l.record.clone())?;
        self.inherited
            .insert(id, super::migration::Inherited { done: record.done, tries: record.last_attempts });
        let moved = |m: &&mut Machine| m.shard == id.shard && m.segment == lightest.segment;
        for machine in self.machines.values_mut().filter(moved) {
            machine.segment = Some(segment);
        }
        self.rehome(id.shard);
        self.pending.remove(&lightest);
        self.absorbing.insert(lightest);
        Some(lightest)
    }

    /// Whether a segment is being taken in by another just now.
    pub(super) fn absorbs(&self, id: SegmentId) -> bool {
        self.absorbing.contains(&id)
    }

    /// Ends of a segment that another has taken in are recorded there.
    pub(super) fn absorbed(&mut self, other: SegmentId, by: SegmentId, now: Instant) {
        self.absorbing.remove(&other);
        self.commits.move_deferred_ends(other, by, now);
        self.wakeups.flush = true;
    }

    /// The same if it was not made after all: what a record says of its machines
    /// counts.
    pub(super) fn restore(&mut self, other: SegmentId, by: SegmentId) {
        self.inherited.remove(&by);
        self.absorbing.remove(&other);
        let Some(record) = self.segments.get(&other).map(|l| l.record.machines.clone()) else { return };
        for name in record.keys() {
            if let Some(machine) = self.machines.get_mut(name.as_str()) {
                machine.segment = other.segment;
            }
        }
        self.rehome(other.shard);
        self.mark_segment(other, false);
    }

    /// As holder, puts machines into the segment whose record has just been found to
    /// have them. No two may speak for one machine.
    pub(super) fn follow_segment(&mut self, id: SegmentId) {
        let Some(record) = self.segments.get(&id).map(|l| &l.record.machines) else { return };
        let mut moved = false;
        for name in record.keys() {
            if let Some(machine) = self.machines.get_mut(name.as_str())
                && machine.shard == id.shard
                && machine.segment != id.segment
            {
                machine.segment = id.segment;
                moved = true;
            }
        }
        if moved {
            self.rehome(id.shard);
        }
    }

    /// What is proposed on a machine is recorded in the segment that it is in.
    fn rehome(&mut self, shard: u32) {
        let proposed: Vec<(TaskId, Option<u32>)> = self
            .machines
            .values()
            .filter(|m| m.shard == shard)
            .flat_map(|m| m.tasks.iter().map(|t| (t.clone(), m.segment)))
            .collect();
        for (task, segment) in proposed {
            let Some(job) = self.open_job_mut(&task.job) else { continue };
            let Some(p) = job.placed.get_mut(&task.index).filter(|p| !p.committed) else { continue };
            let segment_id = SegmentId { shard, segment };
            if p.segment != segment_id && segment.is_some() {
                p.segment = segment_id;
                self.mark_segment(segment_id, false);
            }
        }
    }

    /// Sends machines that no record of a segment has yet to other segments until what
    /// runs on the rest fits a value: what is committed must always fit, and only
    /// what moves here from a record of the first layout may turn out not to.
    pub(super) fn relieve(&mut self, id: SegmentId) {
        let Some(segment) = id.segment else { return };
        let limit = self.limits().value;
        loop {
            let (record, _, _) = self.segment_record_with(id, 0, 0);
            if stored_size(&self.segment_value(id, &record)) <= limit {
                return;
            }
            let known = self.segments.get(&id).map(|l| &l.record.machines);
            let new = |m: &&Machine| {
                let here = m.shard == id.shard && m.segment == Some(segment) && !m.tasks.is_empty();
                here && !known.is_some_and(|k| k.contains_key(&*m.id))
            };
            let Some(machine) = self.machines.values().rfind(new).map(|m| m.id.clone()) else {
                return;
            };
            let full = self.segment_weight(&id);
            self.pending.insert(id, full.max(limit));
            if let Some(machine) = self.machines.get_mut(&machine) {
                machine.segment = None;
            }
            let Some(other) = self.assign_segment(&machine) else { return };
            let tasks: Vec<TaskId> =
                self.machines.get(&machine).map(|m| m.tasks.iter().cloned().collect()).unwrap_or_default();
            for task in tasks {
                if let Some(job) = self.open_job_mut(&task.job)
                    && let Some(p) =
                        job.placed.get_mut(&task.index).filter(|p| !p.committed && p.segment == id)
                {
                    p.segment = other;
                }
            }
            self.mark_segment(other, false);
        }
    }

    /// Works out anew what is to come in a segment besides what its record has.
    pub(super) fn reweigh(&mut self, id: SegmentId) {
        let Some(segment) = id.segment else { return };
        let record = self.segments.get(&id).map(|l| &l.record);
        let mut sum = 0;
        for machine in self.machines.values().filter(|m| m.shard == id.shard && m.segment == Some(segment)) {
            if record.is_some_and(|r| r.machines.contains_key(&*machine.id)) {
                sum += self.weight_of(machine, |p| !p.committed);
            } else {
                sum += machine_weight(&machine.id) + self.weight_of(machine, |_| true);
            }
        }
        if let Some(more) = self.inherited.get(&id) {
            let own = SegmentRecord {
                done: more.done.clone(),
                last_attempts: more.tries.clone(),
                ..SegmentRecord::default()
            };
            sum += weight(&own);
        }
        if sum > 0 {
            self.pending.insert(id, sum);
        } else {
            self.pending.remove(&id);
        }
    }

    /// Numbers of segments that are in use, recorded or not.
    pub(super) fn segment_numbers(&self, shard: u32) -> BTreeSet<u32> {
        let of = SegmentId::new(shard, 0)..=SegmentId::new(shard, u32::MAX);
        let used = self.segments.range(of.clone()).filter(|(_, load)| !load.is_empty());
        let recorded = used.filter_map(|(id, _)| id.segment);
        recorded.chain(self.pending.range(of).filter_map(|(id, _)| id.segment)).collect()
    }

    /// Counts a proposal in; returns whether its segment has room for it.
    pub(super) fn weigh(&mut self, task: &TaskId, segment: SegmentId) -> bool {
        if segment.segment.is_none() {
            return true;
        }
        let joins = |t: &TaskId| t.job == task.job && t.index + 1 == task.index;
        let own = task_weight(self.weighed.as_ref().is_some_and(|(p, t)| *p == segment && joins(t)));
        if self.segment_weight(&segment) + own > (self.limits().value as f64 * FULL) as usize {
            return false;
        }
        *self.pending.entry(segment).or_default() += own;
        self.weighed = Some((segment, task.clone()));
        true
    }

    /// As holder, learns from the records which machine is in which segment.
    pub(super) fn learn_parts(&mut self, shard: u32) {
        let mut segments: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for (id, load) in self.segments_of(shard) {
            let Some(segment) = id.segment else { continue };
            segments.extend(load.record.machines.keys().map(|m| (Arc::from(m.as_str()), segment)));
        }
        for machine in self.machines.values_mut().filter(|m| m.shard == shard) {
            machine.segment = segments.get(&machine.id).copied();
        }
        self.pending.retain(|id, _| id.shard != shard);
        self.absorbing.retain(|id| id.shard != shard);
    }
}
