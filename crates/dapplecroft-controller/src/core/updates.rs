//! What records become: a segment of what runs, a job, and what is to be dropped.

use super::Core;
use super::layout::to_value;
use super::segments::Scale;
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

/// Nothing more is placed in a shard whose record of the first layout has so
/// much of a value's limit: what is left is for the ends of what is placed.
const SPARE: f64 = 0.7;
/// Bytes of a record of completed tasks.
const COMPLETED_RECORD_BYTES: usize = 900;

impl Core {
    /// What of a segment's completed tasks and last attempts is still of use, with
    /// what it takes over from a record of the first layout.
    fn carried(&self, id: SegmentId) -> SegmentRecord {
        let mut record = SegmentRecord::default();
        let old = self.segments.get(&id).map(|l| (&l.record.done, &l.record.last_attempts));
        let inherited = self.inherited.get(&id).map(|i| (&i.done, &i.tries));
        for (done, tries) in old.into_iter().chain(inherited) {
            for (job_id, ranges) in done {
                let Some(job) = self.open_job(job_id).filter(|j| j.is_open()) else { continue };
                let left = ranges.difference(&job.recorded_done());
                if !left.is_empty() {
                    let all = record.done.entry(job_id.clone()).or_default();
                    *all = all.union(&left);
                }
            }
            for (job_id, own) in tries {
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
        for machine in self.to_cover(id) {
            record.machines.insert(machine.to_string(), Vec::new());
        }
        record
    }

    /// The record of what runs in a segment, with the ends and proposals of its
    /// holder; and the proposals in it.
    ///
    /// A record that was written before limits were as they are can have more on
    /// one machine than could be cut into pieces within them. Then as many ends
    /// are taken in at a time as fit; neighbours that have ended join again.
    fn next_segment_record(&self, id: SegmentId) -> (SegmentRecord, Vec<(TaskId, Placement)>) {
        let (mut ends, mut most) = (usize::MAX, usize::MAX);
        loop {
            let (record, proposals, taken) = self.segment_record_with(id, ends, most);
            let fits = stored_size(&self.segment_value(id, &record)) <= self.limits().value;
            if fits || (taken == 0 && proposals.is_empty()) {
                return (record, proposals);
            }
            if proposals.is_empty() {
                ends = taken / 2;
            } else {
                most = proposals.len() / 2;
            }
        }
    }

    /// The same with the first so many ends and proposals; and how many ends
    /// there were.
    pub(super) fn segment_record_with(
        &self,
        id: SegmentId,
        ends: usize,
        most: usize,
    ) -> (SegmentRecord, Vec<(TaskId, Placement)>, usize) {
        let limits = self.limits();
        let mut taken = 0;
        let most_jobs = limits.changes * 3;
        let mut record = self.carried(id);
        let mut proposals = Vec::new();
        let mut names: HashMap<Arc<str>, u32> = HashMap::new();
        let mut waiting: Vec<(u8, Instant, TaskId, Placement)> = Vec::new();
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
                    waiting.push((job.priority_rank(), p.learned_at, task.clone(), p.clone()));
                    continue;
                }
                let exit =
                    job.uncommitted_exits.get(&task.index).filter(|e| e.attempt == p.attempt && taken < ends);
                taken += usize::from(exit.is_some());
                match exit {
                    None => add_task(&mut record, &mut names, task, p),
                    Some(_) if !job.is_open() => {}
                    Some(exit) if exit.completed => {
                        record.done.entry(task.job.to_string()).or_default().insert(task.index);
                    }
                    Some(exit) => {
                        let tries = record.last_attempts.entry(task.job.to_string()).or_default();
                        tries.insert(task.index, exit.attempt);
                    }
                }
            }
        }
        // What is most urgent goes into the record first, then what has waited.
        waiting.sort_by(|a, b| (a.0, a.1, &a.2).cmp(&(b.0, b.1, &b.2)));
        let mut asked: BTreeSet<Arc<str>> = BTreeSet::new();
        let mut scale = Scale::new(&record, limits.value, whole);
        for (_, _, task, p) in waiting {
            // A task is placed only while its job is open and the record of the
            // job, to whose version the unit is bound, allocates it to the shard.
            let Some(job) = self.open_job(&task.job) else { continue };
            let allocated = job.record.allocated.get(&id.shard).is_some_and(|r| r.contains(task.index));
            if !job.is_open() || !allocated {
                continue;
            }
            // A value and a transaction have limits: the rest waits.
            let bound = !asked.contains(&task.job) && asked.len() >= most_jobs;
            if bound || proposals.len() >= most || !scale.take(&task, &p) {
                continue;
            }
            asked.insert(task.job.clone());
            if let Some(tries) = record.last_attempts.get_mut(&*task.job) {
                tries.remove(&task.index);
            }
            add_task(&mut record, &mut names, &task, &p);
            proposals.push((task, p));
        }
        record.last_attempts.retain(|_, t| !t.is_empty());
        (record, proposals, taken)
    }

    /// What is to be committed of a segment, with what is proposed in it.
    pub(super) fn segment_update(&self, id: SegmentId) -> Option<(AtomicUpdate, Vec<(TaskId, Placement)>)> {
        // A stale holder can commit nothing, hence start nothing.
        let shard_lease = self.role.leased_shards.get(&id.shard)?;
        let mut conditions =
            vec![Condition { key: records::shard_key(id.shard), version: shard_lease.version }];
        let key = id.key();
        let old = self.segments.get(&id);
        conditions.push(Condition { key: key.clone(), version: old.map_or(0, |o| o.version) });
        if !self.is_mixed() && id.segment.is_none() {
            // Never written again: dropped once segments have all of it.
            let moved = old.is_some() && self.is_moved(id.shard);
            let changes = vec![Change::Drop { key }];
            return moved.then_some((AtomicUpdate { conditions, changes }, Vec::new()));
        }
        let (record, proposals) = self.next_segment_record(id);
        if old.is_some_and(|o| o.record == record) || (old.is_none() && record == SegmentRecord::default()) {
            return None;
        }
        if let Some(whole) = self.segments.get(&SegmentId::whole(id.shard)).filter(|_| id.segment.is_some()) {
            // No late write of it may come between this segment and its being dropped.
            conditions.push(Condition { key: SegmentId::whole(id.shard).key(), version: whole.version });
        }
        let jobs: BTreeSet<&Arc<str>> = proposals.iter().map(|(t, _)| &t.job).collect();
        for id in jobs {
            conditions.push(Condition { key: records::job_key(id), version: self.open_job(id)?.version });
        }
        let changes = vec![Change::Set { key, value: self.segment_value(id, &record), lease: None }];
        Some((AtomicUpdate { conditions, changes }, proposals))
    }

    /// The record of a job once its user has withdrawn it, and the version that it
    /// replaces. If none of its tasks was allocated to a shard, none was placed,
    /// and none ever will be, since every placement is bound to the record: then
    /// this is its final form already. That none was placed is certain only once
    /// the copy has caught up with the record, which may have been read by itself:
    /// what the leader took back from a shard may have been placed there before.
    pub fn withdrawal(&self, id: &str) -> Option<(JobRecord, u64)> {
        let job = self.open_job(id)?;
        let done = job.done.len();
        let untouched = job.record.allocated.is_empty() && job.placed.is_empty();
        let record = if untouched && job.version <= self.applied_revision {
            job.record.compact(JobStage::Cancelled, done)
        } else {
            // What was allocated where is of no use any more, and may be long.
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

    /// What is to be committed of a job: allocations, what is taken back, its end.
    pub(super) fn job_update(&self, id: &Arc<str>) -> Option<(AtomicUpdate, Vec<(TaskId, Placement)>)> {
        let leadership = self.role.leadership.filter(|_| self.fleet.ready());
        let job = self.open_job(id)?;
        let mut conditions = vec![Condition { key: records::job_key(id), version: job.version }];
        let mut record = if job.is_open() && job.done.len() == job.record.tasks {
            // All that it rests on is committed, so anyone may end it.
            job.record.compact(JobStage::Done, job.done.len())
        } else if !job.is_open() {
            // A placement made before the withdrawal may not be known yet; once
            // it would be, and none is, there will never be one.
            let left = job.placed.values().any(|p| p.committed);
            if left || job.version > self.applied_revision {
                return None;
            }
            let done = job.record.done.unwrap_or(0).max(job.done.len());
            job.record.compact(job.record.stage, done)
        } else {
            self.allocations(job)
        };
        if record.spec.is_some() {
            conditions.push(Condition { key: records::LEADER_KEY.into(), version: leadership? });
        }
        if record == job.record {
            return None;
        }
        let mut changes = Vec::new();
        if !self.is_mixed() && record.spec.is_some() && !record.legacy_done.is_empty() {
            // A record of the second layout has no completed tasks: they get
            // records of their own first, or with it if one transaction will do.
            let completed_records = self.missing_completed_records(id, job);
            let most = self.limits().changes;
            let all = completed_records.len() < most;
            for (key, fold) in completed_records.into_iter().take(if all { most } else { most.min(8) }) {
                conditions.push(Condition { key: key.clone(), version: self.version(&key) });
                changes.push(Change::Set { key, value: to_value(&fold), lease: None });
            }
            if !all {
                return Some((AtomicUpdate { conditions, changes }, Vec::new()));
            }
            record.legacy_done = Default::default();
        }
        changes.push(Change::Set { key: records::job_key(id), value: self.job_value(&record), lease: None });
        Some((AtomicUpdate { conditions, changes }, Vec::new()))
    }

    /// Records of completed tasks that a job's record of the first layout names
    /// and no record of its own has yet.
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

    /// A job's record with this leader's decisions. While the first layout is in
    /// force, what is done is noted in it as well, so that shards need not.
    pub(super) fn allocations(&self, job: &OpenJob) -> JobRecord {
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
        if self.is_mixed() {
            record.legacy_done = record.legacy_done.union(&job.done);
        }
        for allocated in record.allocated.values_mut() {
            *allocated = allocated.difference(&job.done);
            if !self.is_mixed() {
                *allocated = allocated.bridge_gaps(&job.done);
            }
        }
        record.allocated.retain(|_, r| !r.is_empty());
        record
    }

    pub(super) fn obsolete_key_update(&self, key: &str) -> Option<(AtomicUpdate, Vec<(TaskId, Placement)>)> {
        let version = self.version(key);
        let conditions = vec![
            Condition { key: records::LEADER_KEY.into(), version: self.role.leadership? },
            Condition { key: key.into(), version },
        ];
        let changes = vec![Change::Drop { key: key.into() }];
        (version > 0).then_some((AtomicUpdate { conditions, changes }, Vec::new()))
    }

    /// Whether a shard's one record of the first layout has no room for more.
    pub(super) fn is_record_full(&self, shard: u32) -> bool {
        let limit = self.limits().value as f64 * SPARE;
        self.is_mixed() && self.segments.get(&SegmentId::whole(shard)).is_some_and(|l| l.size as f64 > limit)
    }
}

/// Adds a task to a record of what runs.
fn add_task(record: &mut SegmentRecord, names: &mut HashMap<Arc<str>, u32>, task: &TaskId, p: &Placement) {
    let jobs = &mut record.jobs;
    let job = *names.entry(task.job.clone()).or_insert_with(|| {
        jobs.push(task.job.to_string());
        jobs.len() as u32 - 1
    });
    let spans = record.machines.entry(p.machine.to_string()).or_default();
    let joins = |s: &&mut TaskSpan| {
        s.job == job && s.last + 1 == task.index && s.attempt == p.attempt && s.session == p.session
    };
    match spans.last_mut().filter(joins) {
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
