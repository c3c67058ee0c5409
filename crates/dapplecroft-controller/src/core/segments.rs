//! The segments of what runs in a shard: each machine is in one, and each is a
//! record of its own that no value's limit is too small for.
//!
//! A segment's *weight* is what its record takes and what ends of what it has may
//! add, as far as they come in any usual order; nothing is placed beyond the
//! limit less a reserve. Should ends come so scattered that they would not fit,
//! those that do are recorded first, and the others as neighbours join
//! ([`Core::next_segment_record`]). So no order of ends can make a record outgrow a value.

use super::{CommitTarget, Core};
use crate::jobs::{Placed, TaskId};
use crate::machines::Machine;
use crate::records::{SegmentId, SegmentRecord, stored_size};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

/// The part of a value's limit that a record's weight may reach.
const SEGMENT_WEIGHT_FRACTION: f64 = 0.92;
/// The same for the size of a record of the first layout.
const LEGACY_RECORD_SIZE_FRACTION: f64 = 0.85;
/// Machines join a segment up to this weight, each counted with what one usually
/// has: the fewer segments, the fewer changes, but one that has no room left keeps
/// its machines from taking work.
const MACHINE_ASSIGNMENT_FRACTION: f64 = 0.8;
/// Two segments become one if they weigh no more than this together.
const SEGMENT_MERGE_FRACTION: f64 = 0.55;
/// What a machine is taken to weigh while none has anything.
const DEFAULT_MACHINE_WEIGHT_BYTES: usize = 60;
/// What a group of neighbours takes, and what its ends may add.
const SPAN_BYTES: usize = 10;
const SPAN_COMPLETIONS_BYTES: usize = 4;
/// The same for a job's name among others.
const JOB_REFERENCE_BYTES: usize = 5;

fn machine_weight(id: &str) -> usize {
    // Most have the beginning of their names in common.
    id.len() / 2 + 4
}

/// A task that joins its neighbour, or begins a group.
fn task_weight(extends_span: bool) -> usize {
    if extends_span { 1 } else { SPAN_BYTES + SPAN_COMPLETIONS_BYTES }
}

/// The weight of a record.
pub(super) fn record_weight(record: &SegmentRecord) -> usize {
    let spans = record.group_sizes().into_iter();
    let completions = spans.map(|n| if n > 1 { SPAN_COMPLETIONS_BYTES + n as usize / 4 } else { 0 });
    stored_size(&serde_json::to_value(record).unwrap_or_default())
        + completions.sum::<usize>()
        + record.jobs.len() * JOB_REFERENCE_BYTES
}

/// How a record's weight grows with what is placed.
pub(super) struct WeightBudget {
    weight: usize,
    max_weight: usize,
    /// Whether it is one of the first layout.
    is_legacy: bool,
    last_added: Option<(TaskId, Arc<str>, u64)>,
    jobs: BTreeSet<String>,
    machines: BTreeSet<String>,
}

impl WeightBudget {
    /// What a record weighs so far.
    pub fn new(record: &SegmentRecord, limit: usize, is_legacy: bool) -> WeightBudget {
        let jobs = record.jobs.iter().chain(record.done.keys()).chain(record.tries.keys());
        let (weight, part) = if is_legacy {
            (stored_size(&crate::legacy::write_segment(record)), LEGACY_RECORD_SIZE_FRACTION)
        } else {
            (record_weight(record), SEGMENT_WEIGHT_FRACTION)
        };
        WeightBudget {
            weight,
            max_weight: (limit as f64 * part) as usize,
            is_legacy,
            last_added: None,
            jobs: jobs.cloned().collect(),
            machines: record.machines.keys().cloned().collect(),
        }
    }

    /// Takes a placement in, if its weight lets it.
    pub fn try_add(&mut self, task: &TaskId, p: &Placed) -> bool {
        let extends_span = self.last_added.as_ref().is_some_and(|(t, m, n)| {
            t.job == task.job && t.index + 1 == task.index && *m == p.machine && *n == p.attempt
        });
        let mut added = if self.is_legacy && !extends_span { SPAN_BYTES } else { task_weight(extends_span) };
        let (has_job, has_machine) = (self.jobs.contains(&*task.job), self.machines.contains(&*p.machine));
        added += if has_job { 0 } else { task.job.len() + JOB_REFERENCE_BYTES };
        added += if has_machine { 0 } else { machine_weight(&p.machine) };
        if self.weight + added > self.max_weight {
            return false;
        }
        self.weight += added;
        self.last_added = Some((task.clone(), p.machine.clone(), p.attempt));
        if !has_job {
            self.jobs.insert(task.job.to_string());
        }
        if !has_machine {
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
        self.segment_weight(id) + 64 > (self.limits().value as f64 * SEGMENT_WEIGHT_FRACTION) as usize
    }

    /// Whether a machine's segment has no room for more, and it can't change it.
    pub(super) fn is_in_full_segment(&self, machine: &Machine) -> bool {
        let Some(segment) = machine.segment.filter(|_| !machine.tasks.is_empty()) else { return false };
        self.is_segment_full(&SegmentId::new(machine.shard, segment))
    }

    /// The segment that a machine is in from now on. One on which nothing is and
    /// which no record names may change it; no other.
    pub(super) fn assign_segment(&mut self, id: &str) -> Option<SegmentId> {
        let machine = self.machines.get(id)?;
        let shard = machine.shard;
        if self.uses_legacy_layout() {
            return Some(SegmentId::whole(shard));
        }
        if let Some(segment) = machine.segment.map(|segment| SegmentId::new(shard, segment)) {
            let is_fixed = !machine.tasks.is_empty() || self.recorded_segment(shard, id).is_some();
            if is_fixed || !self.is_segment_full(&segment) {
                return Some(segment);
            }
        }
        let max_weight = (self.limits().value as f64 * MACHINE_ASSIGNMENT_FRACTION) as usize;
        let added = machine_weight(id)
            + self.machine_tasks_weight(machine, |_| true).max(self.average_machine_weight(shard));
        let numbers = self.segment_numbers(shard);
        let with_room = numbers
            .iter()
            .copied()
            .find(|n| self.segment_weight(&SegmentId::new(shard, *n)) + added <= max_weight);
        let number = with_room.or_else(|| (0..).find(|n| !numbers.contains(n)))?;
        let segment = SegmentId::new(shard, number);
        *self.pending.entry(segment).or_default() += added;
        self.machines.get_mut(id)?.segment = Some(number);
        Some(segment)
    }

    /// What machines of a shard usually weigh.
    fn average_machine_weight(&self, shard: u32) -> usize {
        let segments = self.segments_of(shard).filter(|(id, _)| id.segment.is_some());
        let used =
            segments.map(|(_, l)| (l.weight, l.record.machines.values().filter(|s| !s.is_empty()).count()));
        let (weight, machines) = used.fold((0, 0), |(w, m), (own, n)| (w + own, m + n));
        weight
            .checked_div(machines)
            .unwrap_or(DEFAULT_MACHINE_WEIGHT_BYTES)
            .max(DEFAULT_MACHINE_WEIGHT_BYTES / 3)
    }

    /// What tasks of a machine weigh with the names of their jobs.
    fn machine_tasks_weight(&self, machine: &Machine, counts: impl Fn(&Placed) -> bool) -> usize {
        let mut previous: Option<(&TaskId, u64)> = None;
        let mut weight = 0;
        for task in &machine.tasks {
            let Some(p) = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index)) else { continue };
            if counts(p) {
                let same_job = previous.filter(|(t, _)| t.job == task.job);
                let extends_span = same_job.is_some_and(|(t, n)| t.index + 1 == task.index && n == p.attempt);
                // Other machines of the segment may have tasks of the job, too.
                // Those that move here from a whole shard's record bring names.
                let job_weight = if p.segment.segment.is_some() {
                    JOB_REFERENCE_BYTES
                } else {
                    task.job.len() + JOB_REFERENCE_BYTES
                };
                weight += task_weight(extends_span) + if same_job.is_some() { 0 } else { job_weight };
                previous = Some((task, p.attempt));
            }
        }
        weight
    }

    /// Takes another segment of the shard into this one if both together leave
    /// enough room: the fewer segments, the fewer changes. The other one is emptied
    /// in the transaction that writes this one.
    pub(super) fn merge_lightest_segment(&mut self, id: SegmentId) -> Option<SegmentId> {
        let segment = id.segment?;
        let (weight, max_weight) =
            (self.segment_weight(&id), (self.limits().value as f64 * SEGMENT_MERGE_FRACTION) as usize);
        let range = SegmentId::new(id.shard, 0)..=SegmentId::new(id.shard, u32::MAX);
        let lightest = self
            .segments
            .range(range)
            .filter(|(_, load)| !load.is_empty())
            .map(|(other, _)| *other)
            .filter(|other| *other != id && !self.commits.is_in_flight(&CommitTarget::Segment(*other)))
            .min_by_key(|other| self.segment_weight(other))?;
        if self.limits().changes < 2 || weight + self.segment_weight(&lightest) > max_weight {
            return None;
        }
        let record = self.segments.get(&lightest).map(|l| l.record.clone())?;
        self.inherited.insert(id, super::migration::Inherited { done: record.done, tries: record.tries });
        let moved = |m: &&mut Machine| m.shard == id.shard && m.segment == lightest.segment;
        for machine in self.machines.values_mut().filter(moved) {
            machine.segment = Some(segment);
        }
        self.retarget_proposals(id.shard);
        self.pending.remove(&lightest);
        self.absorbing.insert(lightest);
        Some(lightest)
    }

    /// Whether a segment is being taken in by another just now.
    pub(super) fn is_being_merged(&self, id: SegmentId) -> bool {
        self.absorbing.contains(&id)
    }

    /// Ends of a segment that another has taken in are recorded there.
    pub(super) fn finish_segment_merge(&mut self, other: SegmentId, by: SegmentId, now: Instant) {
        self.absorbing.remove(&other);
        self.commits.move_deferred_ends(other, by, now);
        self.wakeups.flush = true;
    }

    /// The same if it was not made after all: what a record says of its machines
    /// counts.
    pub(super) fn undo_segment_merge(&mut self, other: SegmentId, by: SegmentId) {
        self.inherited.remove(&by);
        self.absorbing.remove(&other);
        let Some(record) = self.segments.get(&other).map(|l| l.record.machines.clone()) else { return };
        for name in record.keys() {
            if let Some(machine) = self.machines.get_mut(name.as_str()) {
                machine.segment = other.segment;
            }
        }
        self.retarget_proposals(other.shard);
        self.mark_segment(other, false);
    }

    /// As holder, puts machines into the segment whose record has just been found to
    /// have them. No two may speak for one machine.
    pub(super) fn assign_recorded_machines(&mut self, id: SegmentId) {
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
            self.retarget_proposals(id.shard);
        }
    }

    /// What is proposed on a machine is recorded in the segment that it is in.
    fn retarget_proposals(&mut self, shard: u32) {
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
    pub(super) fn move_excess_machines(&mut self, id: SegmentId) {
        let Some(segment) = id.segment else { return };
        let limit = self.limits().value;
        loop {
            let (record, _, _) = self.bounded_segment_record(id, 0, 0);
            if stored_size(&self.segment_value(id, &record)) <= limit {
                return;
            }
            let recorded = self.segments.get(&id).map(|l| &l.record.machines);
            let unrecorded = |m: &&Machine| {
                let here = m.shard == id.shard && m.segment == Some(segment) && !m.tasks.is_empty();
                here && !recorded.is_some_and(|machines| machines.contains_key(&*m.id))
            };
            let Some(machine) = self.machines.values().rfind(unrecorded).map(|m| m.id.clone()) else {
                return;
            };
            let weight = self.segment_weight(&id);
            self.pending.insert(id, weight.max(limit));
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
    pub(super) fn recompute_pending_weight(&mut self, id: SegmentId) {
        let Some(segment) = id.segment else { return };
        let record = self.segments.get(&id).map(|l| &l.record);
        let mut weight = 0;
        for machine in self.machines.values().filter(|m| m.shard == id.shard && m.segment == Some(segment)) {
            if record.is_some_and(|r| r.machines.contains_key(&*machine.id)) {
                weight += self.machine_tasks_weight(machine, |p| !p.committed);
            } else {
                weight += machine_weight(&machine.id) + self.machine_tasks_weight(machine, |_| true);
            }
        }
        if let Some(inherited) = self.inherited.get(&id) {
            let history = SegmentRecord {
                done: inherited.done.clone(),
                tries: inherited.tries.clone(),
                ..SegmentRecord::default()
            };
            weight += record_weight(&history);
        }
        if weight > 0 {
            self.pending.insert(id, weight);
        } else {
            self.pending.remove(&id);
        }
    }

    /// Numbers of segments that are in use, recorded or not.
    pub(super) fn segment_numbers(&self, shard: u32) -> BTreeSet<u32> {
        let range = SegmentId::new(shard, 0)..=SegmentId::new(shard, u32::MAX);
        let used = self.segments.range(range.clone()).filter(|(_, load)| !load.is_empty());
        let recorded = used.filter_map(|(id, _)| id.segment);
        recorded.chain(self.pending.range(range).filter_map(|(id, _)| id.segment)).collect()
    }

    /// Counts a proposal in; returns whether its segment has room for it.
    pub(super) fn try_reserve_weight(&mut self, task: &TaskId, segment: SegmentId) -> bool {
        if segment.segment.is_none() {
            return true;
        }
        let is_next_index = |t: &TaskId| t.job == task.job && t.index + 1 == task.index;
        let added =
            task_weight(self.weighed.as_ref().is_some_and(|(p, t)| *p == segment && is_next_index(t)));
        if self.segment_weight(&segment) + added
            > (self.limits().value as f64 * SEGMENT_WEIGHT_FRACTION) as usize
        {
            return false;
        }
        *self.pending.entry(segment).or_default() += added;
        self.weighed = Some((segment, task.clone()));
        true
    }

    /// As holder, learns from the records which machine is in which segment.
    pub(super) fn load_machine_segments(&mut self, shard: u32) {
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
