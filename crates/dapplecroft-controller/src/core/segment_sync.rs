//! Applies segment records to this controller's replica of the placements.

use super::{Core, Segment};
use crate::jobs::{Job, Placement, StopReason, TaskId};
use crate::ranges::Ranges;
use crate::records::{SegmentId, SegmentRecord, TaskSpan};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A task that a segment's record places on a machine.
struct RecordedTask {
    task: TaskId,
    machine: Arc<str>,
    attempt: u64,
    session: u64,
}

/// Differences between a segment's new record and the placements in the replica.
#[derive(Default)]
struct SegmentDifference {
    /// Placements that the record no longer contains.
    removed: Vec<(TaskId, Placement)>,
    /// All tasks that the record has on the machines whose spans have changed.
    recorded: Vec<RecordedTask>,
}

impl Core {
    /// Updates the replica from a new version of a segment's record. Only machines whose
    /// spans changed are compared. A `size` of 0 means that the record was deleted.
    pub(super) fn apply_segment(
        &mut self,
        id: SegmentId,
        record: SegmentRecord,
        size: usize,
        version: u64,
        now: Instant,
    ) {
        let old = self.segments.remove(&id).unwrap_or_default();
        let difference = self.segment_difference(id, &old.record, &record);
        // Remove tasks before adding others: a task may have moved between machines.
        let mut jobs = self.remove_tasks(difference.removed);
        jobs.extend(self.add_recorded_tasks(id, version, difference.recorded, now));
        jobs.extend(self.jobs_with_changed_history(&old.record, &record));
        for job in &jobs {
            self.apply_history(job, id, &record);
        }
        if size > 0 {
            let weight = super::segments::record_weight(&record);
            self.segments.insert(id, Segment { record, version, size_bytes: size, max_size_bytes: weight });
        }
        if self.is_holder(id.shard) && id.segment.is_some() && !self.is_being_merged(id) {
            self.assign_recorded_machines(id);
        }
        for job in &jobs {
            self.refresh_job(job);
            self.commit_if_finished(job);
        }
        self.wakeups.place = true;
    }

    fn segment_difference(
        &self,
        id: SegmentId,
        old: &SegmentRecord,
        new: &SegmentRecord,
    ) -> SegmentDifference {
        let (before, mut after) = (spans_by_machine(old), spans_by_machine(new));
        // For a machine that a segment's record lists, the layout 1 record of the whole
        // shard is out of date.
        let elsewhere =
            |machine: &str| id.segment.is_none() && self.recorded_segment(id.shard, machine).is_some();
        after.retain(|machine, _| !elsewhere(machine));
        let names: BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
        let mut difference = SegmentDifference::default();
        for name in names {
            let spans = after.get(name).map(Vec::as_slice).unwrap_or_default();
            let unchanged = before.get(name).is_some_and(|old| same_tasks(old, spans));
            if unchanged || elsewhere(name) {
                continue;
            }
            self.compare_machine(id, name, spans, &mut difference);
        }
        difference
    }

    /// Adds the differences of one machine.
    fn compare_machine(
        &self,
        id: SegmentId,
        name: &str,
        spans: &[(&str, TaskSpan)],
        difference: &mut SegmentDifference,
    ) {
        let machine: Arc<str> = name.into();
        let mut recorded: BTreeMap<TaskId, (u64, u64)> = BTreeMap::new();
        for (job_id, span) in spans {
            let Some((job_id, Job::Open(job))) = self.jobs.get_key_value(*job_id) else { continue };
            for index in span.first..=span.last.min(job.record.tasks.saturating_sub(1)) {
                recorded.insert(TaskId { job: job_id.clone(), index }, (span.attempt, span.session));
            }
        }
        for task in self.machines.get(&machine).iter().flat_map(|known| &known.tasks) {
            let Some(placed) = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index)) else {
                continue;
            };
            let stays = recorded.get(task).is_some_and(|(attempt, _)| *attempt == placed.attempt);
            // A task that is recorded in another segment is removed only by that
            // segment's record. This one also replaces the layout 1 record of the shard.
            let whole = SegmentId::whole(id.shard);
            let in_this_record = placed.segment == id || (placed.segment == whole && id.segment.is_some());
            if placed.committed && in_this_record && !stays {
                difference.removed.push((task.clone(), placed.clone()));
            }
        }
        difference.recorded.extend(recorded.into_iter().map(|(task, (attempt, session))| RecordedTask {
            task,
            machine: machine.clone(),
            attempt,
            session,
        }));
    }

    /// Removes tasks from their machines; returns their jobs.
    fn remove_tasks(&mut self, removed: Vec<(TaskId, Placement)>) -> BTreeSet<Arc<str>> {
        let mut jobs = BTreeSet::new();
        for (task, placed) in removed {
            let Some(job) = self.open_job_mut(&task.job) else { continue };
            job.placed.remove(&task.index);
            job.uncommitted_exits.remove(&task.index);
            let resources = job.requirements.resources;
            self.remove_task_from_machine(&task, &placed, resources);
            jobs.insert(task.job);
        }
        jobs
    }

    /// Places tasks on their machines as a segment's record has them; returns their
    /// jobs.
    fn add_recorded_tasks(
        &mut self,
        id: SegmentId,
        version: u64,
        recorded: Vec<RecordedTask>,
        now: Instant,
    ) -> BTreeSet<Arc<str>> {
        let mut jobs = BTreeSet::new();
        for recorded_task in recorded {
            jobs.insert(recorded_task.task.job.clone());
            if self.has_newer_record_elsewhere(id, version, &recorded_task.task) {
                continue;
            }
            let machine = recorded_task.machine.clone();
            if self.apply_recorded_task(id, recorded_task, now) && self.is_holder(id.shard) {
                self.wakeups.command.insert(machine);
            }
        }
        jobs
    }

    /// Whether a newer record of another segment has a task. Such a record can be known
    /// before an older one, since single keys are read ahead of the watch and this
    /// process's own commits are applied at once. At any revision at most one record
    /// has the task, so the newer one is right. If the older record were applied, its
    /// entry would replace the right one until its next version removes the task, and
    /// the task would then appear to be waiting.
    fn has_newer_record_elsewhere(&self, id: SegmentId, version: u64, task: &TaskId) -> bool {
        let known = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index));
        let other = known.filter(|p| p.committed && p.segment != id);
        other.and_then(|p| self.segments.get(&p.segment)).is_some_and(|segment| segment.version > version)
    }

    /// Places one task on its machine; returns `false` if its job is over.
    fn apply_recorded_task(&mut self, id: SegmentId, recorded_task: RecordedTask, now: Instant) -> bool {
        let RecordedTask { task, machine, attempt, session } = recorded_task;
        let Some(job) = self.open_job_mut(&task.job) else { return false };
        let stop = (!job.is_open()).then_some(StopReason::JobCancelled);
        if let Some(placed) = job.placed.get_mut(&task.index)
            && placed.attempt == attempt
            && placed.machine == machine
        {
            if !placed.committed {
                placed.committed = true;
                placed.learned_at = now;
            }
            // This process may have proposed the same placement in an earlier session of
            // the worker, and another holder may have committed it since. If the older
            // session were kept, it would later count as proof that the task is gone.
            placed.session = session;
            placed.segment = id;
            placed.stop_reason = stop.or(placed.stop_reason);
            return true;
        }
        let placed = Placement {
            attempt,
            machine: machine.clone(),
            segment: id,
            session,
            committed: true,
            learned_at: now,
            running_since: None,
            start_token: 0,
            stop_reason: stop,
            grace: Duration::ZERO,
            resources_freed: false,
        };
        let resources = job.requirements.resources;
        // The record overrides a different placement that this process proposed.
        if let Some(lost) = job.placed.insert(task.index, placed) {
            self.remove_task_from_machine(&task, &lost, resources);
        }
        self.add_task_to_machine(&task, &machine, id.shard, now);
        true
    }

    /// Open jobs whose completed tasks or last attempts may differ between two versions
    /// of a segment's record.
    fn jobs_with_changed_history(&self, old: &SegmentRecord, new: &SegmentRecord) -> BTreeSet<Arc<str>> {
        let done = old.done.keys().chain(new.done.keys());
        let done = done.filter(|job| ranges_of(&new.done, job) != ranges_of(&old.done, job));
        let last_attempts = old.last_attempts.keys().chain(new.last_attempts.keys());
        let known = |id: &String| match self.jobs.get_key_value(id.as_str()) {
            Some((id, Job::Open(_))) => Some(id.clone()),
            _ => None,
        };
        done.chain(last_attempts).filter_map(known).collect()
    }

    /// Replaces a job's completed tasks and last attempts in this segment by those in the segment's record.
    fn apply_history(&mut self, job_id: &str, id: SegmentId, record: &SegmentRecord) {
        let Some(job) = self.open_job_mut(job_id) else { return };
        let done = ranges_of(&record.done, job_id);
        if done.is_empty() {
            job.done_by_segment.remove(&id);
        } else {
            job.done_by_segment.insert(id, done);
        }
        match record.last_attempts.get(job_id) {
            Some(last_attempts) => job.last_attempts.insert(id, last_attempts.clone()),
            None => job.last_attempts.remove(&id),
        };
        let placed = &job.placed;
        job.uncommitted_exits
            .retain(|index, exit| placed.get(index).is_some_and(|p| p.attempt == exit.attempt));
    }

    /// Applies again, for a job that has just become known, all segment records that
    /// mention it. A segment's record can be read before the job's record, when it was
    /// read singly or keys were listed page by page. Without this, tasks that already
    /// run would appear to be waiting and be started a second time.
    pub(super) fn reapply_segments_with_job(&mut self, id: &Arc<str>, now: Instant) {
        let known: Vec<SegmentId> = self
            .segments
            .iter()
            .filter(|(_, segment)| {
                let record = &segment.record;
                record.jobs.iter().any(|j| **j == **id)
                    || record.done.contains_key(&**id)
                    || record.last_attempts.contains_key(&**id)
            })
            .map(|(segment_id, _)| *segment_id)
            .collect();
        for segment_id in known {
            if let Some(segment) = self.segments.remove(&segment_id) {
                self.apply_segment(segment_id, segment.record, segment.size_bytes, segment.version, now);
            }
        }
    }

    /// Describes each inconsistency between the segment records and this replica: tasks
    /// that two records have, and recorded placements that the replica lacks, unless a
    /// newer record of another segment has the task. Empty if all is well. Meant for
    /// tests and for debugging: it visits every placement.
    pub fn replica_inconsistencies(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut seen: BTreeMap<(&str, u32), SegmentId> = BTreeMap::new();
        for (segment_id, segment) in &self.segments {
            for (machine, spans) in spans_by_machine(&segment.record) {
                if segment_id.segment.is_none() && self.recorded_segment(segment_id.shard, machine).is_some()
                {
                    continue;
                }
                for (id, span) in spans {
                    let Some(job) = self.open_job(id) else { continue };
                    for index in span.first..=span.last {
                        if let Some(other) = seen.insert((id, index), *segment_id).filter(|o| o != segment_id)
                        {
                            faults.push(format!(
                                "task {id}/{index} is recorded in both {other:?} and {segment_id:?}"
                            ));
                        }
                        let placed = job.placed.get(&index);
                        let here = |p: &Placement| p.attempt == span.attempt && *p.machine == *machine;
                        let moved = |p: &Placement| {
                            let other = self.segments.get(&p.segment).filter(|_| p.segment != *segment_id);
                            other.is_some_and(|other| other.version > segment.version)
                        };
                        if !placed.is_some_and(|p| here(p) || moved(p)) {
                            faults.push(format!(
                                "{segment_id:?} has task {id}/{index} on {machine}, but the replica has {placed:?}"
                            ));
                        }
                    }
                }
            }
        }
        faults
    }
}

/// Spans of a record by machine, each with the id of its job.
fn spans_by_machine(record: &SegmentRecord) -> BTreeMap<&str, Vec<(&str, TaskSpan)>> {
    record
        .machines
        .iter()
        .map(|(machine, spans)| {
            let named =
                spans.iter().filter_map(|s| Some((record.jobs.get(s.job as usize)?.as_str(), *s))).collect();
            (machine.as_str(), named)
        })
        .collect()
}

/// Whether two lists of spans stand for the same tasks, attempts and sessions. The
/// positions of the jobs in the records' lists of names may differ.
fn same_tasks(old: &[(&str, TaskSpan)], new: &[(&str, TaskSpan)]) -> bool {
    let same = |((old_job, a), (new_job, b)): (&(&str, TaskSpan), &(&str, TaskSpan))| {
        let range = |span: &TaskSpan| (span.first, span.last, span.attempt, span.session);
        old_job == new_job && range(a) == range(b)
    };
    old.len() == new.len() && old.iter().zip(new).all(same)
}

/// A job's ranges, empty if the map has none.
fn ranges_of(map: &BTreeMap<String, Ranges>, id: &str) -> Ranges {
    map.get(id).cloned().unwrap_or_default()
}
