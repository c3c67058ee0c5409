//! Order of commits while the state service's write budget is scarce: the commit with the highest
//! score goes first. The score is the number of CPUs that wait for the commit times how long they
//! have waited, since those CPUs stay idle for as long as the commit is delayed.

use super::commit_queue::{CommitQueue, NextTarget};
use super::{CommitTarget, Core};
use crate::jobs::{Job, OpenJob};
use crate::ranges::Ranges;
use crate::records::SegmentId;
use dapplecroft_wire::users::Priority;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// While the write budget is scarce, a segment without urgent work is committed at most once in
/// this interval.
const SEGMENT_COMMIT_INTERVAL: Duration = Duration::from_millis(1500);
/// While the write budget is scarce, a job is committed at most once in this interval. It is longer
/// than that of segments because each allocation changes the job's record and so invalidates the
/// commits of that job that shard holders are preparing.
const JOB_COMMIT_INTERVAL: Duration = Duration::from_secs(3);
/// Like `JOB_COMMIT_INTERVAL`, for a job that is more urgent than normal.
const URGENT_JOB_COMMIT_INTERVAL: Duration = Duration::from_millis(700);
/// How long the computed priorities of segments are used before they are computed again.
const SEGMENT_PRIORITIES_TTL: Duration = Duration::from_millis(150);
/// Factor on the score of urgent commits. It is finite so that a large allocation that is not
/// urgent still goes before a few urgent tasks; otherwise a steady flow of urgent tasks would delay
/// the allocation for ever.
const URGENT_SCORE_FACTOR: f64 = 8.0;
/// Factor on the score of service replicas, which go before other tasks.
const SERVICE_SCORE_FACTOR: f64 = 1000.0;
/// Lower and upper bound on the waiting time that counts in a job's score, in seconds.
const JOB_WAIT_RANGE_S: (f64, f64) = (0.2, 10.0);
/// A job or segment that was never committed counts as last committed this long ago, in seconds.
const NEVER_SENT_AGE_S: f64 = 10.0;
/// Lower bound on the waiting time that counts for a proposed task, in seconds.
const MIN_TASK_WAIT_S: f64 = 0.2;
/// Score of a job or segment whose commit interval has not passed.
const SCORE_NOT_DUE: f64 = -1.0;

/// Cached priority of each segment: the CPUs proposed in it, weighted by their waiting time.
#[derive(Debug, Default)]
pub(super) struct SegmentPriorities {
    computed_at: Option<Instant>,
    by_segment: HashMap<SegmentId, f64>,
}

impl SegmentPriorities {
    fn is_outdated(&self, now: Instant) -> bool {
        self.computed_at.is_none_or(|at| now.saturating_duration_since(at) >= SEGMENT_PRIORITIES_TTL)
    }

    fn get(&self, segment: &SegmentId) -> f64 {
        self.by_segment.get(segment).copied().unwrap_or(0.0)
    }
}

impl Core {
    /// Takes the job or segment with the highest priority from the commit queue. Used while the
    /// write budget is scarce.
    pub(super) fn take_highest_priority(&mut self, only_urgent: bool, now: Instant) -> Option<NextTarget> {
        if self.commit_queue.priorities.is_outdated(now) {
            let by_segment = self.compute_segment_priorities(now);
            self.commit_queue.priorities = SegmentPriorities { computed_at: Some(now), by_segment };
        }
        let jobs = &self.jobs;
        let score = |queue: &CommitQueue, target: &CommitTarget, urgent: bool| {
            let factor = if urgent { URGENT_SCORE_FACTOR } else { 1.0 };
            let job = match target {
                CommitTarget::Job(id) => match jobs.get(id) {
                    Some(Job::Open(job)) => Some(&**job),
                    _ => None,
                },
                _ => None,
            };
            priority(queue, target, job, urgent, now) * factor
        };
        self.commit_queue.next_by_score(only_urgent, score, now)
    }

    /// Computes the priority of each held segment: the sum over its uncommitted proposals of the
    /// task's priority times how long the proposal has waited.
    fn compute_segment_priorities(&self, now: Instant) -> HashMap<SegmentId, f64> {
        let mut priorities: HashMap<SegmentId, f64> = HashMap::new();
        for machine in self.machines.values().filter(|m| self.is_holder(m.shard)) {
            for task in &machine.tasks {
                let Some(job) = self.open_job(&task.job) else { continue };
                let Some(placed) = job.placed.get(&task.index).filter(|p| !p.committed) else { continue };
                let waited = now.saturating_duration_since(placed.learned_at).as_secs_f64();
                *priorities.entry(placed.segment).or_default() +=
                    task_priority(job) * waited.max(MIN_TASK_WAIT_S);
            }
        }
        priorities
    }
}

/// Returns the priority of a commit target, or `SCORE_NOT_DUE` if its commit interval has not
/// passed. `job` is the open job to which the target refers, if it is one.
fn priority(
    queue: &CommitQueue,
    target: &CommitTarget,
    job: Option<&OpenJob>,
    urgent: bool,
    now: Instant,
) -> f64 {
    let sent = queue.sent_at(target).map(|at| now.saturating_duration_since(at).as_secs_f64());
    let since_sent = sent.unwrap_or(NEVER_SENT_AGE_S);
    if !urgent && since_sent < min_commit_interval(target, job).as_secs_f64() {
        return SCORE_NOT_DUE;
    }
    match target {
        CommitTarget::Segment(segment) => queue.priorities.get(segment),
        CommitTarget::Job(_) => {
            let (min_wait, max_wait) = JOB_WAIT_RANGE_S;
            job.map_or(0.0, |job| job_priority(job) * since_sent.clamp(min_wait, max_wait))
        }
        CommitTarget::ObsoleteKey(_) => 0.0,
    }
}

/// Returns the shortest interval between two commits of a target that is not urgent.
fn min_commit_interval(target: &CommitTarget, job: Option<&OpenJob>) -> Duration {
    match target {
        CommitTarget::Segment(_) | CommitTarget::ObsoleteKey(_) => SEGMENT_COMMIT_INTERVAL,
        CommitTarget::Job(_) => match job {
            Some(job) if job.spec.priority < Priority::Normal => URGENT_JOB_COMMIT_INTERVAL,
            _ => JOB_COMMIT_INTERVAL,
        },
    }
}

/// Returns the priority of one task of a job: its CPUs, multiplied for service replicas so that
/// they go before all other tasks.
fn task_priority(job: &OpenJob) -> f64 {
    let cpus = job.requirements.resources.cpus.max(1) as f64;
    if job.is_service() { cpus * SERVICE_SCORE_FACTOR } else { cpus }
}

/// Returns the priority of a job's commit: that of the tasks that it allocates or completes.
fn job_priority(job: &OpenJob) -> f64 {
    let allocating: u32 = job.allocating.values().map(Ranges::len).sum();
    // A finished job counts with all its tasks: committing its completion frees the team's quota,
    // and the user waits for it.
    let finished = job.done.len() == job.record.tasks;
    task_priority(job) * f64::from(allocating + if finished { job.record.tasks } else { 0 })
}
