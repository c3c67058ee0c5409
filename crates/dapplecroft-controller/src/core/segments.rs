//! Splits the placements of a shard into segments. Every machine belongs to one
//! segment, and every segment is a separate record that stays within the state
//! service's value size limit.
//!
//! A segment's *weight* is an estimate in bytes: the size of its record plus the
//! growth to expect when its tasks exit in a usual order. Placement stops at a
//! fraction of the size limit, which leaves a reserve. If tasks exit in so scattered
//! an order that the record would not fit, only as many exits are recorded as fit,
//! and the rest follow when neighbouring tasks have exited and their ranges join
//! ([`Core::next_segment_record`]). So no order of exits can exceed the limit.

use super::{CommitTarget, Core};
use crate::jobs::{Placement, TaskId};
use crate::machines::Machine;
use crate::records::{SegmentId, SegmentRecord, stored_size};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

/// Fraction of the value size limit up to which tasks are placed in a segment.
const SEGMENT_WEIGHT_FRACTION: f64 = 0.92;
/// Fraction of the value size limit up to which tasks are added to the layout 1 record
/// of a whole shard.
const LEGACY_RECORD_SIZE_FRACTION: f64 = 0.85;
/// Fraction of the value size limit up to which machines are assigned to a segment,
/// each counted with a machine's average weight. Fewer segments need fewer changes
/// per transaction, but machines of a full segment cannot take more tasks.
const MACHINE_ASSIGNMENT_FRACTION: f64 = 0.8;
/// Two segments are merged if their total weight is at most this fraction of the
/// value size limit.
const SEGMENT_MERGE_FRACTION: f64 = 0.55;
/// Weight assumed for a machine while no machine of the shard has tasks.
const DEFAULT_MACHINE_WEIGHT_BYTES: usize = 60;
/// Size of a written span, that is, of neighbouring tasks of one job on a machine.
const SPAN_BYTES: usize = 10;
/// Expected growth of a span when some of its tasks have completed.
const SPAN_COMPLETIONS_BYTES: usize = 4;
/// Size that a job takes in a record besides its name, with the entry that its
/// completed tasks may add.
const JOB_OVERHEAD_BYTES: usize = 5;

fn machine_weight(id: &str) -> usize {
    // Most machine ids share a prefix, which is written only once.
    id.len() / 2 + 4
}

/// Weight of a task: small if it extends the preceding span, larger if it begins a new one.
fn task_weight(extends_span: bool) -> usize {
    if extends_span { 1 } else { SPAN_BYTES + SPAN_COMPLETIONS_BYTES }
}

/// Size of a record plus its expected growth by task exits.
pub(super) fn record_weight(record: &SegmentRecord) -> usize {
    let spans = record.group_sizes().into_iter();
    let completions = spans.map(|n| if n > 1 { SPAN_COMPLETIONS_BYTES + n as usize / 4 } else { 0 });
    stored_size(&serde_json::to_value(record).unwrap_or_default())
        + completions.sum::<usize>()
        + record.jobs.len() * JOB_OVERHEAD_BYTES
}

/// Tracks the weight of a record while proposed placements are added to it.
pub(super) struct WeightBudget {
    weight: usize,
    max_weight: usize,
    /// Whether the record is a whole shard's record of layout 1.
    is_legacy: bool,
    last_added: Option<(TaskId, Arc<str>, u64)>,
    jobs: BTreeSet<String>,
    machines: BTreeSet<String>,
}

impl WeightBudget {
    /// Starts from the current content of a record.
    pub fn new(record: &SegmentRecord, limit: usize, is_legacy: bool) -> WeightBudget {
        let jobs = record.jobs.iter().chain(record.done.keys()).chain(record.last_attempts.keys());
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

    /// Adds a placement if the weight stays within the limit; returns whether it did.
    pub fn try_add(&mut self, task: &TaskId, p: &Placement) -> bool {
        let extends_span = self.last_added.as_ref().is_some_and(|(t, m, n)| {
            t.job == task.job && t.index + 1 == task.index && *m == p.machine && *n == p.attempt
        });
        let mut added = if self.is_legacy && !extends_span { SPAN_BYTES } else { task_weight(extends_span) };
        let (has_job, has_machine) = (self.jobs.contains(&*task.job), self.machines.contains(&*p.machine));
        added += if has_job { 0 } else { task.job.len() + JOB_OVERHEAD_BYTES };
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
    /// The records of a shard's placements: the layout 1 record of the whole shard,
    /// if it exists, then the segments.
    pub(super) fn segments_of(&self, shard: u32) -> impl Iterator<Item = (&SegmentId, &super::Segment)> {
        self.segments.range(SegmentId::whole(shard)..=SegmentId::new(shard, u32::MAX))
    }

    /// The segment whose committed record lists a machine, if there is one.
    pub(super) fn recorded_segment(&self, shard: u32, machine: &str) -> Option<u32> {
        let number_if_listed = |id: &SegmentId, segment: &super::Segment| {
            id.segment.filter(|_| segment.record.machines.contains_key(machine))
        };
        self.segments_of(shard).find_map(|(id, segment)| number_if_listed(id, segment))
    }

    /// Weight of a segment including proposed placements and newly assigned machines.
    fn segment_weight(&self, id: &SegmentId) -> usize {
        let pending = self.proposed_bytes.get(id).copied().unwrap_or(0);
        self.segments.get(id).map_or(0, |segment| segment.max_size_bytes) + pending
    }

    /// Whether a segment has no room left for another task.
    pub(super) fn is_segment_full(&self, id: &SegmentId) -> bool {
        self.segment_weight(id) + 64 > (self.limits().value as f64 * SEGMENT_WEIGHT_FRACTION) as usize
    }

    /// Whether a machine can take no tasks because its segment is full, and it cannot
    /// be assigned to another segment because it has tasks.
    pub(super) fn is_in_full_segment(&self, machine: &Machine) -> bool {
        let Some(segment) = machine.segment.filter(|_| !machine.tasks.is_empty()) else { return false };
        self.is_segment_full(&SegmentId::new(machine.shard, segment))
    }

    /// Returns the segment of a machine, after assigning it to one if it has none. Only
    /// a machine without tasks that no segment's record lists may move from a full
    /// segment to another.
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
        *self.proposed_bytes.entry(segment).or_default() += added;
        self.machines.get_mut(id)?.segment = Some(number);
        Some(segment)
    }

    /// Average weight of the shard's machines that have tasks, but at least a third of
    /// the default.
    fn average_machine_weight(&self, shard: u32) -> usize {
        let segments = self.segments_of(shard).filter(|(id, _)| id.segment.is_some());
        let used = segments.map(|(_, segment)| {
            (segment.max_size_bytes, segment.record.machines.values().filter(|s| !s.is_empty()).count())
        });
        let (weight, machines) = used.fold((0, 0), |(w, m), (own, n)| (w + own, m + n));
        weight
            .checked_div(machines)
            .unwrap_or(DEFAULT_MACHINE_WEIGHT_BYTES)
            .max(DEFAULT_MACHINE_WEIGHT_BYTES / 3)
    }

    /// Weight of those tasks of a machine that `counts` selects, with the references to
    /// their jobs.
    fn machine_tasks_weight(&self, machine: &Machine, counts: impl Fn(&Placement) -> bool) -> usize {
        let mut previous: Option<(&TaskId, u64)> = None;
        let mut weight = 0;
        for task in &machine.tasks {
            let Some(p) = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index)) else { continue };
            if counts(p) {
                let same_job = previous.filter(|(t, _)| t.job == task.job);
                let extends_span = same_job.is_some_and(|(t, n)| t.index + 1 == task.index && n == p.attempt);
                // The segment's record probably lists the job already, for other
                // machines. Tasks that migrate from a layout 1 record add its name.
                let job_weight = if p.segment.segment.is_some() {
                    JOB_OVERHEAD_BYTES
                } else {
                    task.job.len() + JOB_OVERHEAD_BYTES
                };
                weight += task_weight(extends_span) + if same_job.is_some() { 0 } else { job_weight };
                previous = Some((task, p.attempt));
            }
        }
        weight
    }

    /// Starts to merge the lightest other segment of the shard into this one if both
    /// fit together with room to spare, since fewer segments need fewer changes per
    /// transaction. The transaction that writes this segment empties the other one.
    /// Returns the other segment.
    pub(super) fn merge_lightest_segment(&mut self, id: SegmentId) -> Option<SegmentId> {
        let segment = id.segment?;
        let (weight, max_weight) =
            (self.segment_weight(&id), (self.limits().value as f64 * SEGMENT_MERGE_FRACTION) as usize);
        let range = SegmentId::new(id.shard, 0)..=SegmentId::new(id.shard, u32::MAX);
        let lightest = self
            .segments
            .range(range)
            .filter(|(_, segment)| !segment.is_empty())
            .map(|(other, _)| *other)
            .filter(|other| *other != id && !self.commit_queue.is_in_flight(&CommitTarget::Segment(*other)))
            .min_by_key(|other| self.segment_weight(other))?;
        if self.limits().changes < 2 || weight + self.segment_weight(&lightest) > max_weight {
            return None;
        }
        let record = self.segments.get(&lightest).map(|segment| segment.record.clone())?;
        self.inherited_history.insert(
            id,
            super::migration::InheritedHistory { done: record.done, last_attempts: record.last_attempts },
        );
        let moved = |m: &&mut Machine| m.shard == id.shard && m.segment == lightest.segment;
        for machine in self.machines.values_mut().filter(moved) {
            machine.segment = Some(segment);
        }
        self.retarget_proposals(id.shard);
        self.proposed_bytes.remove(&lightest);
        self.merging_segments.insert(lightest);
        Some(lightest)
    }

    /// Whether a merge of this segment into another one is in flight.
    pub(super) fn is_being_merged(&self, id: SegmentId) -> bool {
        self.merging_segments.contains(&id)
    }

    /// Completes a committed merge: exits of tasks of the segment `merged` are recorded in
    /// the segment `into` from now on.
    pub(super) fn finish_segment_merge(&mut self, merged: SegmentId, into: SegmentId, now: Instant) {
        self.merging_segments.remove(&merged);
        self.commit_queue.move_deferred_exits(merged, into, now);
        self.wakeups.commit = true;
    }

    /// Reverts a merge that was not committed: the machines that the record of the
    /// segment `merged` lists are assigned to that segment again.
    pub(super) fn undo_segment_merge(&mut self, merged: SegmentId, into: SegmentId) {
        self.inherited_history.remove(&into);
        self.merging_segments.remove(&merged);
        let Some(record) = self.segments.get(&merged).map(|segment| segment.record.machines.clone()) else {
            return;
        };
        for name in record.keys() {
            if let Some(machine) = self.machines.get_mut(name.as_str()) {
                machine.segment = merged.segment;
            }
        }
        self.retarget_proposals(merged.shard);
        self.queue_segment_commit(merged, false);
    }

    /// Called on the shard's holder after a segment's record was applied: assigns all
    /// machines that the record lists to the segment, since no two segments may have the
    /// same machine.
    pub(super) fn assign_recorded_machines(&mut self, id: SegmentId) {
        let Some(record) = self.segments.get(&id).map(|segment| &segment.record.machines) else { return };
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

    /// Moves proposed placements to the segments that their machines belong to now.
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
                self.queue_segment_commit(segment_id, false);
            }
        }
    }

    /// Assigns machines that the segment's record does not list yet to other segments
    /// until the tasks on the remaining ones fit a value. Committed tasks must always fit;
    /// they can exceed a value only when they migrate to this segment from a layout 1 record.
    pub(super) fn move_excess_machines(&mut self, id: SegmentId) {
        let Some(segment) = id.segment else { return };
        let limit = self.limits().value;
        loop {
            let (record, _, _) = self.bounded_segment_record(id, 0, 0);
            if stored_size(&self.segment_value(id, &record)) <= limit {
                return;
            }
            let recorded = self.segments.get(&id).map(|segment| &segment.record.machines);
            let unrecorded = |m: &&Machine| {
                let here = m.shard == id.shard && m.segment == Some(segment) && !m.tasks.is_empty();
                here && !recorded.is_some_and(|machines| machines.contains_key(&*m.id))
            };
            let Some(machine) = self.machines.values().rfind(unrecorded).map(|m| m.id.clone()) else {
                return;
            };
            let weight = self.segment_weight(&id);
            self.proposed_bytes.insert(id, weight.max(limit));
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
            self.queue_segment_commit(other, false);
        }
    }

    /// Recomputes the weight that proposed placements, newly assigned machines and
    /// inherited history will add to a segment's record.
    pub(super) fn recompute_pending_weight(&mut self, id: SegmentId) {
        let Some(segment) = id.segment else { return };
        let record = self.segments.get(&id).map(|segment| &segment.record);
        let mut weight = 0;
        for machine in self.machines.values().filter(|m| m.shard == id.shard && m.segment == Some(segment)) {
            if record.is_some_and(|r| r.machines.contains_key(&*machine.id)) {
                weight += self.machine_tasks_weight(machine, |p| !p.committed);
            } else {
                weight += machine_weight(&machine.id) + self.machine_tasks_weight(machine, |_| true);
            }
        }
        if let Some(inherited) = self.inherited_history.get(&id) {
            let history = SegmentRecord {
                done: inherited.done.clone(),
                last_attempts: inherited.last_attempts.clone(),
                ..SegmentRecord::default()
            };
            weight += record_weight(&history);
        }
        if weight > 0 {
            self.proposed_bytes.insert(id, weight);
        } else {
            self.proposed_bytes.remove(&id);
        }
    }

    /// Numbers of the shard's segments that are in use, whether committed yet or not.
    pub(super) fn segment_numbers(&self, shard: u32) -> BTreeSet<u32> {
        let range = SegmentId::new(shard, 0)..=SegmentId::new(shard, u32::MAX);
        let used = self.segments.range(range.clone()).filter(|(_, segment)| !segment.is_empty());
        let recorded = used.filter_map(|(id, _)| id.segment);
        recorded.chain(self.proposed_bytes.range(range).filter_map(|(id, _)| id.segment)).collect()
    }

    /// Adds the weight of a proposed placement to its segment; returns `false` and adds
    /// nothing if the segment has no room for it.
    pub(super) fn try_reserve_weight(&mut self, task: &TaskId, segment: SegmentId) -> bool {
        if segment.segment.is_none() {
            return true;
        }
        let is_next_index = |t: &TaskId| t.job == task.job && t.index + 1 == task.index;
        let added = task_weight(
            self.last_sized_proposal.as_ref().is_some_and(|(p, t)| *p == segment && is_next_index(t)),
        );
        if self.segment_weight(&segment) + added
            > (self.limits().value as f64 * SEGMENT_WEIGHT_FRACTION) as usize
        {
            return false;
        }
        *self.proposed_bytes.entry(segment).or_default() += added;
        self.last_sized_proposal = Some((segment, task.clone()));
        true
    }

    /// Assigns the machines of a newly leased shard to the segments whose records list
    /// them.
    pub(super) fn load_machine_segments(&mut self, shard: u32) {
        let mut segments: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for (id, segment) in self.segments_of(shard) {
            let Some(number) = id.segment else { continue };
            segments.extend(segment.record.machines.keys().map(|m| (Arc::from(m.as_str()), number)));
        }
        for machine in self.machines.values_mut().filter(|m| m.shard == shard) {
            machine.segment = segments.get(&machine.id).copied();
        }
        self.proposed_bytes.retain(|id, _| id.shard != shard);
        self.merging_segments.retain(|id| id.shard != shard);
    }
}
