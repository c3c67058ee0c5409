//! What runs in each shard, as its record says, taken over into the copy.

use super::{Core, Segment};
use crate::jobs::{Job, Placement, StopReason, TaskId};
use crate::ranges::Ranges;
use crate::records::{SegmentId, SegmentRecord, TaskSpan};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A task that a segment's record has on a machine.
struct Arrival {
    task: TaskId,
    machine: Arc<str>,
    attempt: u64,
    session: u64,
}

/// How a segment's new record differs from what is known of its machines.
#[derive(Default)]
struct SegmentDifference {
    /// Tasks that the record no longer has.
    departed: Vec<(TaskId, Placement)>,
    /// Tasks on machines whose spans have changed.
    arrived: Vec<Arrival>,
}

impl Core {
    /// Brings what runs in a shard up to a segment's record. Only machines whose
    /// spans changed are looked at.
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
        // First what has left, then what has come: a task may have moved.
        let mut jobs = self.remove_departed(difference.departed);
        jobs.extend(self.add_arrived(id, version, difference.arrived, now));
        jobs.extend(self.jobs_with_history(&old.record, &record));
        for job in &jobs {
            self.take_history(job, id, &record);
        }
        if size > 0 {
            let weight = super::segments::weight(&record);
            self.segments.insert(id, Segment { record, version, size, weight });
        }
        if self.is_holder(id.shard) && id.segment.is_some() && !self.absorbs(id) {
            self.follow_segment(id);
        }
        for job in &jobs {
            self.rederive(job);
            self.finish_if_over(job);
        }
        self.wakeups.place = true;
    }

    fn segment_difference(
        &self,
        id: SegmentId,
        old: &SegmentRecord,
        new: &SegmentRecord,
    ) -> SegmentDifference {
        let (before, mut after) = (tasks_of(old), tasks_of(new));
        // Segments speak for their machines, whatever a whole shard's record says.
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

    /// Adds to a difference what a record says of one machine.
    fn compare_machine(
        &self,
        id: SegmentId,
        name: &str,
        spans: &[(&str, TaskSpan)],
        difference: &mut SegmentDifference,
    ) {
        let machine: Arc<str> = name.into();
        let mut there: BTreeMap<TaskId, (u64, u64)> = BTreeMap::new();
        for (job_id, span) in spans {
            let Some((job_id, Job::Open(job))) = self.jobs.get_key_value(*job_id) else { continue };
            for index in span.first..=span.last.min(job.record.tasks.saturating_sub(1)) {
                there.insert(TaskId { job: job_id.clone(), index }, (span.attempt, span.session));
            }
        }
        for task in self.machines.get(&machine).iter().flat_map(|known| &known.tasks) {
            let Some(placed) = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index)) else {
                continue;
            };
            let stays = there.get(task).is_some_and(|(attempt, _)| *attempt == placed.attempt);
            // What another segment has is for that one to say, unless this one takes
            // over from a record of the first layout.
            let whole = SegmentId::whole(id.shard);
            let own = placed.segment == id || (placed.segment == whole && id.segment.is_some());
            if placed.committed && own && !stays {
                difference.departed.push((task.clone(), placed.clone()));
            }
        }
        difference.arrived.extend(there.into_iter().map(|(task, (attempt, session))| Arrival {
            task,
            machine: machine.clone(),
            attempt,
            session,
        }));
    }

    /// Takes tasks off their machines; returns their jobs.
    fn remove_departed(&mut self, departed: Vec<(TaskId, Placement)>) -> BTreeSet<Arc<str>> {
        let mut jobs = BTreeSet::new();
        for (task, placed) in departed {
            let Some(job) = self.open_job_mut(&task.job) else { continue };
            job.placed.remove(&task.index);
            job.uncommitted_exits.remove(&task.index);
            let resources = job.requirements.resources;
            self.unbook(&task, &placed, resources);
            jobs.insert(task.job);
        }
        jobs
    }

    /// Puts tasks on the machines on which a segment's record has them; returns
    /// their jobs.
    fn add_arrived(
        &mut self,
        id: SegmentId,
        version: u64,
        arrived: Vec<Arrival>,
        now: Instant,
    ) -> BTreeSet<Arc<str>> {
        let mut jobs = BTreeSet::new();
        for arrival in arrived {
            jobs.insert(arrival.task.job.clone());
            if self.is_newer_elsewhere(id, version, &arrival.task) {
                continue;
            }
            let machine = arrival.machine.clone();
            if self.add_task(id, arrival, now) && self.is_holder(id.shard) {
                self.wakeups.command.insert(machine);
            }
        }
        jobs
    }

    /// Whether another segment's newer record has a task. Single keys are read ahead
    /// of the watch, and own commits are known at once, so it may be known by now.
    /// At no time do two records have a task, so the newer one is right. Taken
    /// over, the older one would hide the other's task until its own next version
    /// drops it, and the task would seem to wait.
    fn is_newer_elsewhere(&self, id: SegmentId, version: u64, task: &TaskId) -> bool {
        let known = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index));
        let other = known.filter(|p| p.committed && p.segment != id);
        other.and_then(|p| self.segments.get(&p.segment)).is_some_and(|segment| segment.version > version)
    }

    /// Puts one task on its machine; `false`: its job is over.
    fn add_task(&mut self, id: SegmentId, arrival: Arrival, now: Instant) -> bool {
        let Arrival { task, machine, attempt, session } = arrival;
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
            // The same may have been proposed here, in an earlier session of the
            // worker, and committed by another holder since: a session older than
            // the record's would later pass for proof that the task is gone.
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
        // A proposal of this process may have lost against the record.
        if let Some(lost) = job.placed.insert(task.index, placed) {
            self.unbook(&task, &lost, resources);
        }
        self.book(&task, &machine, id.shard, now);
        true
    }

    /// Open jobs whose completed tasks or last attempts may differ between two
    /// records.
    fn jobs_with_history(&self, old: &SegmentRecord, new: &SegmentRecord) -> BTreeSet<Arc<str>> {
        let done = old.done.keys().chain(new.done.keys());
        let done = done.filter(|job| ranges_of(&new.done, job) != ranges_of(&old.done, job));
        let tries = old.last_attempts.keys().chain(new.last_attempts.keys());
        let known = |id: &String| match self.jobs.get_key_value(id.as_str()) {
            Some((id, Job::Open(_))) => Some(id.clone()),
            _ => None,
        };
        done.chain(tries).filter_map(known).collect()
    }

    /// Takes over what a segment's record says of a job's completed tasks and last
    /// attempts.
    fn take_history(&mut self, job_id: &str, id: SegmentId, record: &SegmentRecord) {
        let Some(job) = self.open_job_mut(job_id) else { return };
        let done = ranges_of(&record.done, job_id);
        if done.is_empty() {
            job.done_by_segment.remove(&id);
        } else {
            job.done_by_segment.insert(id, done);
        }
        match record.last_attempts.get(job_id) {
            Some(tries) => job.last_attempts.insert(id, tries.clone()),
            None => job.last_attempts.remove(&id),
        };
        let placed = &job.placed;
        job.uncommitted_exits
            .retain(|index, exit| placed.get(index).is_some_and(|p| p.attempt == exit.attempt));
    }

    /// A shard's record can be known before a job that runs there, when it was
    /// read by itself or keys were read page by page: what it says of the job is
    /// taken over once the job is known. Else its tasks would seem to wait, and
    /// be started a second time.
    pub(super) fn reapply_segments(&mut self, id: &Arc<str>, now: Instant) {
        let known: Vec<SegmentId> = self
            .segments
            .iter()
            .filter(|(_, segment)| {
                let r = &segment.record;
                r.jobs.iter().any(|j| **j == **id)
                    || r.done.contains_key(&**id)
                    || r.last_attempts.contains_key(&**id)
            })
            .map(|(segment, _)| *segment)
            .collect();
        for segment in known {
            if let Some(load) = self.segments.remove(&segment) {
                self.apply_segment(segment, load.record, load.size, load.version, now);
            }
        }
    }

    /// Tasks that two records have, and those that a record has on a machine and
    /// this copy does not: none, unless another's newer record has them. For tests, and for
    /// when a copy is in doubt; it goes over all that runs.
    pub fn copy_faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut seen: BTreeMap<(&str, u32), SegmentId> = BTreeMap::new();
        for (segment, load) in &self.segments {
            for (machine, spans) in tasks_of(&load.record) {
                if segment.segment.is_none() && self.recorded_segment(segment.shard, machine).is_some() {
                    continue;
                }
                for (id, span) in spans {
                    let Some(job) = self.open_job(id) else { continue };
                    for index in span.first..=span.last {
                        if let Some(other) = seen.insert((id, index), *segment).filter(|o| o != segment) {
                            faults.push(format!("{id}/{index} is in {other:?} and in {segment:?}"));
                        }
                        let placed = job.placed.get(&index);
                        let here = |p: &Placement| p.attempt == span.attempt && *p.machine == *machine;
                        let moved = |p: &Placement| {
                            let other = self.segments.get(&p.segment).filter(|_| p.segment != *segment);
                            other.is_some_and(|l| l.version > load.version)
                        };
                        if !placed.is_some_and(|p| here(p) || moved(p)) {
                            faults.push(format!(
                                "{id}/{index} is on {machine} ({segment:?}), known: {placed:?}"
                            ));
                        }
                    }
                }
            }
        }
        faults
    }
}

/// All tasks of a record's spans.
fn tasks_of(record: &SegmentRecord) -> BTreeMap<&str, Vec<(&str, TaskSpan)>> {
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

/// Whether spans name the same tasks; a job's position among the record's names
/// may differ.
fn same_tasks(old: &[(&str, TaskSpan)], new: &[(&str, TaskSpan)]) -> bool {
    let same = |((old_job, a), (new_job, b)): (&(&str, TaskSpan), &(&str, TaskSpan))| {
        let range = |span: &TaskSpan| (span.first, span.last, span.attempt, span.session);
        old_job == new_job && range(a) == range(b)
    };
    old.len() == new.len() && old.iter().zip(new).all(same)
}

/// Ranges of a record, or none.
fn ranges_of(map: &BTreeMap<String, Ranges>, id: &str) -> Ranges {
    map.get(id).cloned().unwrap_or_default()
}
