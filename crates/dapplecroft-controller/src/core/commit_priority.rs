//! Which change goes first while changes are scarce: the one for which the most
//! processors have waited the longest. One change more or less is as many
//! processors idle.

use super::commit_queue::{CommitQueue, NextTarget};
use super::{CommitTarget, Core};
use crate::jobs::{Job, OpenJob};
use crate::ranges::Ranges;
use crate::records::SegmentId;
use dapplecroft_wire::users::Priority;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// While changes are scarce, a segment without urgent work has its turn at most so
/// often.
const SEGMENT_TURN: Duration = Duration::from_millis(1500);
/// Each allocation outdates what holders are about to commit of the same job, so
/// while changes are scarce a job has its turn less often than a segment.
const JOB_TURN: Duration = Duration::from_secs(3);
/// The same for a job of urgent work.
const URGENT_JOB_TURN: Duration = Duration::from_millis(700);
/// What is waiting in each segment is counted anew so often.
const PRIORITIES_VALID_FOR: Duration = Duration::from_millis(150);
/// How much more urgent work counts among what waits. Work that is not urgent
/// counts less, but a large allocation of it still goes before a few urgent
/// tasks: they would keep it back for ever.
const URGENT_FACTOR: f64 = 8.0;
/// How much more replicas of services count than other tasks.
const REPLICA_FACTOR: f64 = 1000.0;
/// Bounds on how long a job counts as having waited, in seconds.
const JOB_WAIT_RANGE_S: (f64, f64) = (0.2, 10.0);
/// What was never sent counts as sent so many seconds ago.
const NEVER_SENT_S: f64 = 10.0;
/// Least time that a proposed task counts as having waited, in seconds.
const LEAST_TASK_WAIT_S: f64 = 0.2;
/// Score of a subject whose turn has not come.
const NOT_YET: f64 = -1.0;

/// How much each segment has waiting to be committed.
#[derive(Debug, Default)]
pub(super) struct SegmentPriorities {
    computed_at: Option<Instant>,
    by_segment: HashMap<SegmentId, f64>,
}

impl SegmentPriorities {
    fn is_outdated(&self, now: Instant) -> bool {
        self.computed_at.is_none_or(|at| now.saturating_duration_since(at) >= PRIORITIES_VALID_FOR)
    }

    fn of(&self, segment: &SegmentId) -> f64 {
        self.by_segment.get(segment).copied().unwrap_or(0.0)
    }
}

impl Core {
    /// Takes the next subject to commit while changes are scarce.
    pub(super) fn take_highest_priority(&mut self, only_urgent: bool, now: Instant) -> Option<NextTarget> {
        if self.commits.priorities.is_outdated(now) {
            let by_segment = self.compute_segment_priorities(now);
            self.commits.priorities = SegmentPriorities { computed_at: Some(now), by_segment };
        }
        let jobs = &self.jobs;
        let score = |queue: &CommitQueue, target: &CommitTarget, urgent: bool| {
            let factor = if urgent { URGENT_FACTOR } else { 1.0 };
            let job = match target {
                CommitTarget::Job(id) => match jobs.get(id) {
                    Some(Job::Open(job)) => Some(&**job),
                    _ => None,
                },
                _ => None,
            };
            priority(queue, target, job, urgent, now) * factor
        };
        self.commits.next_scarce(only_urgent, score, now)
    }

    /// Processors that are proposed in each segment, by how long they have waited.
    fn compute_segment_priorities(&self, now: Instant) -> HashMap<SegmentId, f64> {
        let mut priorities: HashMap<SegmentId, f64> = HashMap::new();
        for machine in self.machines.values().filter(|m| self.is_holder(m.shard)) {
            for task in &machine.tasks {
                let Some(job) = self.open_job(&task.job) else { continue };
                let Some(placed) = job.placed.get(&task.index).filter(|p| !p.committed) else { continue };
                let waited = now.saturating_duration_since(placed.learned_at).as_secs_f64();
                *priorities.entry(placed.segment).or_default() +=
                    task_priority(job) * waited.max(LEAST_TASK_WAIT_S);
            }
        }
        priorities
    }
}

/// The priority of a subject; negative if its turn has not come. `job` is the
/// open job that it is about, if it is about one.
fn priority(
    queue: &CommitQueue,
    target: &CommitTarget,
    job: Option<&OpenJob>,
    urgent: bool,
    now: Instant,
) -> f64 {
    let sent = queue.sent_at(target).map(|at| now.saturating_duration_since(at).as_secs_f64());
    let since_sent = sent.unwrap_or(NEVER_SENT_S);
    if !urgent && since_sent < turn(target, job).as_secs_f64() {
        return NOT_YET;
    }
    match target {
        CommitTarget::Segment(segment) => queue.priorities.of(segment),
        CommitTarget::Job(_) => {
            let (least, most) = JOB_WAIT_RANGE_S;
            job.map_or(0.0, |job| job_priority(job) * since_sent.clamp(least, most))
        }
        CommitTarget::ObsoleteKey(_) => 0.0,
    }
}

/// How long a subject that is not urgent waits for its next turn.
fn turn(target: &CommitTarget, job: Option<&OpenJob>) -> Duration {
    match target {
        CommitTarget::Segment(_) | CommitTarget::ObsoleteKey(_) => SEGMENT_TURN,
        CommitTarget::Job(_) => match job {
            Some(job) if job.spec.priority < Priority::Normal => URGENT_JOB_TURN,
            _ => JOB_TURN,
        },
    }
}

/// What a task of a job counts among what waits: its processors, and replicas
/// before all else.
fn task_priority(job: &OpenJob) -> f64 {
    let cpus = job.requirements.resources.cpus.max(1) as f64;
    if job.is_service() { cpus * REPLICA_FACTOR } else { cpus }
}

fn job_priority(job: &OpenJob) -> f64 {
    let allocating: u32 = job.allocating.values().map(Ranges::len).sum();
    // Its end frees quota, and somebody waits for it.
    let over = job.done.len() == job.record.tasks;
    task_priority(job) * f64::from(allocating + if over { job.record.tasks } else { 0 })
}
