//! Builds the updates to commit: the next version of a segment's or a job's record, and
//! the deletion of obsolete keys.

use super::Core;
use super::layout::to_value;
use super::segments::WeightBudget;
use crate::jobs::{OpenJob, Placement, TaskId};
use crate::machines::Machine;
use crate::ranges::Ranges;
use crate::records::{
    self, CompletedTasksRecord, JobRecord, JobStage, SegmentId, SegmentRecord, TaskSpan, stored_size,
};
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::state::{Change, Condition};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

/// No more tasks are placed in a shard whose layout 1 record has reached this fraction
/// of the value size limit. The rest is a reserve for recording the exits of its tasks.
const LEGACY_PLACEMENT_SIZE_FRACTION: f64 = 0.7;
/// Maximum size of the ranges in one [`CompletedTasksRecord`].
const COMPLETED_RECORD_BYTES: usize = 900;

impl Core {
    /// Starts the next version of a segment's record: the completed tasks and last attempts
    /// that are still needed, including those that the segment inherits from another
    /// record, and the machines that it must list even without tasks.
    fn carried_history(&self, id: SegmentId) -> SegmentRecord {
        let mut record = SegmentRecord::default();
        let old = self.segments.get(&id).map(|segment| (&segment.record.done, &segment.record.last_attempts));
        let inherited = self.inherited_history.get(&id).map(|i| (&i.done, &i.last_attempts));
        for (done, last_attempts) in old.into_iter().chain(inherited) {
            for (job_id, ranges) in done {
                let Some(job) = self.open_job(job_id).filter(|j| j.is_open()) else { continue };
                let left = ranges.difference(&job.recorded_done());
                if !left.is_empty() {
                    let all = record.done.entry(job_id.clone()).or_default();
                    *all = all.union(&left);
                }
            }
            for (job_id, own) in last_attempts {
                let Some(job) = self.open_job(job_id).filter(|j| j.is_open()) else { continue };
                for (index, attempt) in own {
                    if !job.done.contains(*index) && !job.has_later_attempt(id, *index, *attempt) {
                        let all = record.last_attempts.entry(job_id.clone()).or_default();
                        let last = all.entry(*index).or_default();
                        *last = (*last).max(*attempt);
                    }
                }
            }
        }
        for machine in self.machines_to_cover(id) {
            record.machines.insert(machine.to_string(), Vec::new());
        }
        record
    }

    /// The next version of a segment's record, with the task exits and proposed placements
    /// that its holder knows, and the list of the proposals that it contains.
    ///
    /// A record written under larger size limits can have more tasks on one machine than
    /// fit the present limit when exits split their ranges. Then only as many exits are
    /// recorded at a time as fit; the ranges join again when neighbouring tasks exit.
    fn next_segment_record(&self, id: SegmentId) -> (SegmentRecord, Vec<(TaskId, Placement)>) {
        let (mut max_exits, mut max_proposals) = (usize::MAX, usize::MAX);
        loop {
            let (record, proposals, exits) = self.bounded_segment_record(id, max_exits, max_proposals);
            let fits = stored_size(&self.segment_value(id, &record)) <= self.limits().value;
            if fits || (exits == 0 && proposals.is_empty()) {
                return (record, proposals);
            }
            if proposals.is_empty() {
                max_exits = exits / 2;
            } else {
                max_proposals = proposals.len() / 2;
            }
        }
    }

    /// The next version of a segment's record with at most `max_exits` exits and
    /// `max_proposals` proposals. Returns the record, the proposals in it, and the number
    /// of exits that were taken into account.
    pub(super) fn bounded_segment_record(
        &self,
        id: SegmentId,
        max_exits: usize,
        max_proposals: usize,
    ) -> (SegmentRecord, Vec<(TaskId, Placement)>, usize) {
        let limits = self.limits();
        let mut exits = 0;
        let max_jobs = limits.changes * 3;
        let mut record = self.carried_history(id);
        let mut proposals = Vec::new();
        let mut job_indices: HashMap<Arc<str>, u32> = HashMap::new();
        let mut proposed: Vec<(u8, Instant, TaskId, Placement)> = Vec::new();
        let whole = id.segment.is_none();
        let here =
            |m: &&Machine| m.shard == id.shard && (whole || m.segment == id.segment) && !m.tasks.is_empty();
        for machine in self.machines.values().filter(here) {
            for task in &machine.tasks {
                let Some(job) = self.open_job(&task.job) else { continue };
                let Some(p) = job.placed.get(&task.index).filter(|p| p.segment.shard == id.shard) else {
                    continue;
                };
                if !p.committed {
                    proposed.push((job.priority_rank(), p.learned_at, task.clone(), p.clone()));
                    continue;
                }
                let exit = job
                    .uncommitted_exits
                    .get(&task.index)
                    .filter(|e| e.attempt == p.attempt && exits < max_exits);
                exits += usize::from(exit.is_some());
                match exit {
                    None => add_task_span(&mut record, &mut job_indices, task, p),
                    Some(_) if !job.is_open() => {}
                    Some(exit) if exit.completed => {
                        record.done.entry(task.job.to_string()).or_default().insert(task.index);
                    }
                    Some(exit) => {
                        let last_attempts = record.last_attempts.entry(task.job.to_string()).or_default();
                        last_attempts.insert(task.index, exit.attempt);
                    }
                }
            }
        }
        // Add proposals by priority, and within a priority the oldest first.
        proposed.sort_by(|a, b| (a.0, a.1, &a.2).cmp(&(b.0, b.1, &b.2)));
        let mut proposed_jobs: BTreeSet<Arc<str>> = BTreeSet::new();
        let mut budget = WeightBudget::new(&record, limits.value, whole);
        for (_, _, task, p) in proposed {
            // Place a task only while its job is open and the job's record allocates the
            // task to this shard. The commit is conditional on the version of that record.
            let Some(job) = self.open_job(&task.job) else { continue };
            let allocated = job.record.allocated.get(&id.shard).is_some_and(|r| r.contains(task.index));
            if !job.is_open() || !allocated {
                continue;
            }
            // Proposals that exceed the size limits of the value or the transaction wait
            // for a later commit.
            let job_limit_reached = !proposed_jobs.contains(&task.job) && proposed_jobs.len() >= max_jobs;
            if job_limit_reached || proposals.len() >= max_proposals || !budget.try_add(&task, &p) {
                continue;
            }
            proposed_jobs.insert(task.job.clone());
            if let Some(last_attempts) = record.last_attempts.get_mut(&*task.job) {
                last_attempts.remove(&task.index);
            }
            add_task_span(&mut record, &mut job_indices, &task, &p);
            proposals.push((task, p));
        }
        record.last_attempts.retain(|_, t| !t.is_empty());
        (record, proposals, exits)
    }

    /// The update that commits the next version of a segment's record, with the proposals
    /// in it. `None` if nothing has changed or this process does not hold the shard.
    pub(super) fn segment_update(&self, id: SegmentId) -> Option<(AtomicUpdate, Vec<(TaskId, Placement)>)> {
        // Conditional on the version of the shard's record, so that a former holder can
        // commit no placement, and therefore start no task.
        let shard_lease = self.role.leased_shards.get(&id.shard)?;
        let mut conditions =
            vec![Condition { key: records::shard_key(id.shard), version: shard_lease.version }];
        let key = id.key();
        let old = self.segments.get(&id);
        conditions.push(Condition { key: key.clone(), version: old.map_or(0, |o| o.version) });
        if !self.uses_legacy_layout() && id.segment.is_none() {
            // After the layout switch the record of the whole shard is never written
            // again, only deleted when segment records contain all that is still needed of it.
            let moved = old.is_some() && self.is_migration_complete(id.shard);
            let changes = vec![Change::Drop { key }];
            return moved.then_some((AtomicUpdate { conditions, changes }, Vec::new()));
        }
        let (record, proposals) = self.next_segment_record(id);
        if old.is_some_and(|o| o.record == record) || (old.is_none() && record == SegmentRecord::default()) {
            return None;
        }
        if let Some(whole) = self.segments.get(&SegmentId::whole(id.shard)).filter(|_| id.segment.is_some()) {
            // A delayed write of the layout 1 record must not take effect between this
            // commit and the deletion of that record.
            conditions.push(Condition { key: SegmentId::whole(id.shard).key(), version: whole.version });
        }
        let jobs: BTreeSet<&Arc<str>> = proposals.iter().map(|(t, _)| &t.job).collect();
        for id in jobs {
            conditions.push(Condition { key: records::job_key(id), version: self.open_job(id)?.version });
        }
        let changes = vec![Change::Set { key, value: self.segment_value(id, &record), lease: None }];
        Some((AtomicUpdate { conditions, changes }, proposals))
    }

    /// The record of a job that its user cancels, and the version that it replaces.
    ///
    /// If no task is allocated to a shard or placed, the result is the final, compact
    /// record, since placements are conditional on the job's record and none can follow.
    /// This is certain only when the replica has caught up with that record, which may
    /// have been read ahead of the watch: a task may have been placed in a shard before
    /// the leader revoked its allocation to that shard.
    pub fn cancelled_job_record(&self, id: &str) -> Option<(JobRecord, u64)> {
        let job = self.open_job(id)?;
        let done = job.done.len();
        let untouched = job.record.allocated.is_empty() && job.placed.is_empty();
        let record = if untouched && job.version <= self.applied_revision {
            job.record.compact(JobStage::Cancelled, done)
        } else {
            // The allocations are no longer needed and may be long.
            let (allocated, legacy_done) = Default::default();
            JobRecord {
                stage: JobStage::Cancelled,
                done: Some(done),
                allocated,
                legacy_done,
                ..job.record.clone()
            }
        };
        Some((record, job.version))
    }

    /// The update that commits the next version of a job's record: new and revoked
    /// allocations, or the final record of a job that is over. `None` if nothing is to be
    /// written or this process may not write it.
    pub(super) fn job_update(&self, id: &Arc<str>) -> Option<(AtomicUpdate, Vec<(TaskId, Placement)>)> {
        let leader_term = self.role.leader_key_version.filter(|_| self.fleet.has_started());
        let job = self.open_job(id)?;
        let mut conditions = vec![Condition { key: records::job_key(id), version: job.version }];
        let mut record = if job.is_open() && job.done.len() == job.record.tasks {
            // All tasks are recorded as completed, so every controller may write this.
            job.record.compact(JobStage::Done, job.done.len())
        } else if !job.is_open() {
            // A placement committed before the cancellation may not be known yet. When
            // the replica has caught up with the cancellation, none can follow.
            let left = job.placed.values().any(|p| p.committed);
            if left || job.version > self.applied_revision {
                return None;
            }
            let done = job.record.done.unwrap_or(0).max(job.done.len());
            job.record.compact(job.record.stage, done)
        } else {
            self.record_with_allocations(job)
        };
        if record.spec.is_some() {
            conditions.push(Condition { key: records::LEADER_KEY.into(), version: leader_term? });
        }
        if record == job.record {
            return None;
        }
        let mut changes = Vec::new();
        if !self.uses_legacy_layout() && record.spec.is_some() && !record.legacy_done.is_empty() {
            // A job's layout 2 record does not list completed tasks. They are written to
            // separate records, in the same transaction if that has room for all of
            // them, or else in earlier ones.
            let completed_records = self.missing_completed_records(id, job);
            let max_changes = self.limits().changes;
            let fits = completed_records.len() < max_changes;
            for (key, completed) in
                completed_records.into_iter().take(if fits { max_changes } else { max_changes.min(8) })
            {
                conditions.push(Condition { key: key.clone(), version: self.version(&key) });
                changes.push(Change::Set { key, value: to_value(&completed), lease: None });
            }
            if !fits {
                return Some((AtomicUpdate { conditions, changes }, Vec::new()));
            }
            record.legacy_done = Default::default();
        }
        changes.push(Change::Set { key: records::job_key(id), value: self.job_value(&record), lease: None });
        Some((AtomicUpdate { conditions, changes }, Vec::new()))
    }

    /// Keys and values of the completed tasks records that are still missing: for tasks
    /// that the job's layout 1 record lists as completed and no separate record has yet.
    fn missing_completed_records(&self, id: &str, job: &OpenJob) -> Vec<(String, CompletedTasksRecord)> {
        let have = job.done_by_part.values().fold(Default::default(), |all: Ranges, f| all.union(f));
        let left = job.record.legacy_done.difference(&have);
        let numbers = (0..).filter(|n| !job.done_by_part.contains_key(n));
        let pieces = left.chunks(COMPLETED_RECORD_BYTES);
        numbers
            .zip(pieces)
            .map(|(n, done)| (records::completed_tasks_key(id, n), CompletedTasksRecord { done }))
            .collect()
    }

    /// A job's record with the allocations and revocations that this leader has decided.
    /// In layout 1 it also lists the completed tasks, so that the shards' records need
    /// not keep them.
    pub(super) fn record_with_allocations(&self, job: &OpenJob) -> JobRecord {
        let mut record = job.record.clone();
        if job.allocating.is_empty() && job.revoking.is_empty() {
            return record;
        }
        for (shard, ranges) in &job.allocating {
            let allocated = record.allocated.entry(*shard).or_default();
            *allocated = allocated.union(ranges);
        }
        for (shard, ranges) in &job.revoking {
            if let Some(allocated) = record.allocated.get_mut(shard) {
                *allocated = allocated.difference(ranges);
            }
        }
        if self.uses_legacy_layout() {
            record.legacy_done = record.legacy_done.union(&job.done);
        }
        for allocated in record.allocated.values_mut() {
            *allocated = allocated.difference(&job.done);
            if !self.uses_legacy_layout() {
                *allocated = allocated.bridge_gaps(&job.done);
            }
        }
        record.allocated.retain(|_, r| !r.is_empty());
        record
    }

    /// The update by which the leader deletes a key that is no longer needed.
    pub(super) fn obsolete_key_update(&self, key: &str) -> Option<(AtomicUpdate, Vec<(TaskId, Placement)>)> {
        let version = self.version(key);
        let conditions = vec![
            Condition { key: records::LEADER_KEY.into(), version: self.role.leader_key_version? },
            Condition { key: key.into(), version },
        ];
        let changes = vec![Change::Drop { key: key.into() }];
        (version > 0).then_some((AtomicUpdate { conditions, changes }, Vec::new()))
    }

    /// Whether layout 1 is in force and a shard's record has no room for more tasks.
    pub(super) fn is_legacy_record_full(&self, shard: u32) -> bool {
        let limit = self.limits().value as f64 * LEGACY_PLACEMENT_SIZE_FRACTION;
        self.uses_legacy_layout()
            && self
                .segments
                .get(&SegmentId::whole(shard))
                .is_some_and(|segment| segment.size_bytes as f64 > limit)
    }
}

/// Adds a placed task to a segment's record, as part of the machine's last span if it
/// directly follows that.
fn add_task_span(
    record: &mut SegmentRecord,
    job_indices: &mut HashMap<Arc<str>, u32>,
    task: &TaskId,
    p: &Placement,
) {
    let jobs = &mut record.jobs;
    let job = *job_indices.entry(task.job.clone()).or_insert_with(|| {
        jobs.push(task.job.to_string());
        jobs.len() as u32 - 1
    });
    let spans = record.machines.entry(p.machine.to_string()).or_default();
    let extends_span = |s: &&mut TaskSpan| {
        s.job == job && s.last + 1 == task.index && s.attempt == p.attempt && s.session == p.session
    };
    match spans.last_mut().filter(extends_span) {
        Some(span) => span.last = task.index,
        None => spans.push(TaskSpan {
            job,
            first: task.index,
            last: task.index,
            attempt: p.attempt,
            session: p.session,
        }),
    }
}
