//! The order in which waiting jobs are served: by rank, guaranteed quota, starvation,
//! deadline, and task size (largest first, for best fit decreasing).

use super::Core;
use crate::jobs::OpenJob;
use dapplecroft_sched::Resources;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// Seconds after its submission at which a job that has not started counts as
/// starved: it goes before all jobs of its serving level that are not starved, and its
/// rank is raised by one. Users expect even the largest jobs to start within minutes.
const MAX_START_WAIT_S: f64 = 150.0;
/// Number of tasks that a starved job places at its raised rank. These are enough for
/// the job to count as started.
pub(super) const MAX_BOOSTED_TASKS: usize = 2;
/// Seconds after its submission at which a job that has started but is not complete
/// counts as starved: it goes before all jobs of its serving level that are not
/// starved, but this alone does not raise its rank.
const MAX_COMPLETION_WAIT_S: f64 = 400.0;

/// The first criterion of the serving order. A team's guaranteed quota holds for its
/// ordinary work of any rank: work that another team runs beyond its own guarantee
/// must not delay it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServingLevel {
    /// Critical and urgent jobs, by effective rank.
    Urgent(u8),
    /// Ordinary jobs that lie within their team's guaranteed quota or are starved.
    GuaranteedOrStarved,
    /// All other jobs, by effective rank.
    Ordinary(u8),
}

impl ServingLevel {
    pub(super) fn of(rank: u8, guaranteed_or_starved: bool) -> ServingLevel {
        match rank {
            0 | 1 => ServingLevel::Urgent(rank),
            _ if guaranteed_or_starved => ServingLevel::GuaranteedOrStarved,
            _ => ServingLevel::Ordinary(rank),
        }
    }
}

/// Sort key of the serving order: the job with the smallest key is served first.
/// Fields are compared in the order of their declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServingKey {
    /// Serving level of the job.
    pub level: ServingLevel,
    /// Submission time of a starved job, in milliseconds since the Unix epoch;
    /// `u64::MAX` for all other jobs.
    pub starved_submitted_ms: u64,
    /// Whether the job exceeds its team's guaranteed quota; jobs within it go first.
    pub over_quota: bool,
    /// Effective rank of the job; lower numbers have precedence.
    pub rank: u8,
    /// Whether the job can still meet its deadline.
    pub deadline: DeadlineState,
    /// CPUs of each task, in thousandths. Jobs with larger tasks go first, as best fit
    /// decreasing requires.
    pub task_cpus: Reverse<i64>,
    /// Estimated run time of all unfinished tasks of the job, in seconds.
    pub remaining_run_time_s: u64,
    /// Time by which the job should be complete, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Submission time of the job, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
}

/// Whether a job can still meet its deadline. Within each state, jobs with larger
/// tasks go first (best fit decreasing). Jobs with much time left are not put behind
/// jobs that must start soon: under overload, every job would wait until it is nearly
/// late, and then most would miss their deadlines together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DeadlineState {
    /// The job can still meet its deadline.
    InTime,
    /// The job can no longer meet its deadline, so it goes after jobs that still can.
    Missed,
}

pub(super) fn deadline_state(time_left_s: f64, estimate_s: f64) -> DeadlineState {
    // A service has neither a deadline nor an estimated run time.
    if estimate_s <= 0.0 {
        return DeadlineState::InTime;
    }
    // Estimates are often off by a quarter, so a deadline counts as missed only if less
    // than three quarters of the estimated run time are left.
    if time_left_s < 0.75 * estimate_s { DeadlineState::Missed } else { DeadlineState::InTime }
}

impl Core {
    /// For each open job, whether it lies within its team's guaranteed quota: whether
    /// its unfinished tasks, together with those of the team's jobs that were submitted
    /// earlier, use no more than the guarantee.
    pub(super) fn jobs_within_guarantee(&self) -> HashMap<Arc<str>, bool> {
        let mut by_age: Vec<(&Arc<str>, &OpenJob)> = self
            .open_jobs
            .iter()
            .filter_map(|id| self.open_job(id).map(|j| (id, j)))
            .filter(|(_, j)| j.is_open())
            .collect();
        by_age.sort_by(|a, b| a.1.record.submitted_at.total_cmp(&b.1.record.submitted_at).then(a.0.cmp(b.0)));
        let mut total_by_team: HashMap<&str, Resources> = HashMap::new();
        let mut within_guarantee = HashMap::new();
        for (id, job) in by_age {
            let total = total_by_team.entry(job.spec.team.as_str()).or_default();
            *total += job.requirements.resources.times(i64::from(job.unfinished_tasks()));
            let within = self.teams.get(&job.spec.team).is_some_and(|quota| quota.guarantee_covers(total));
            within_guarantee.insert(id.clone(), within);
        }
        within_guarantee
    }

    /// Time by which a job should be complete, in seconds since the Unix epoch: the
    /// earlier of its own deadline and its class's objective, or, if it has neither,
    /// four times its estimated run time after its submission.
    fn due_time_s(&self, job: &OpenJob) -> f64 {
        let limits_s = [job.spec.deadline_s, self.settings.finished_within(&job.spec.class)];
        let limit_s = limits_s.into_iter().flatten().min_by(f64::total_cmp);
        job.record.submitted_at + limit_s.unwrap_or(job.spec.estimate_s * 4.0)
    }

    /// Whether a job has waited so long that it goes before others of its serving level.
    /// The other criteria serve jobs with little remaining run time first and jobs that
    /// missed their deadline last; without this rule, they could starve a job.
    fn is_starved(&self, job: &OpenJob) -> bool {
        let started = !job.placed.is_empty() || !job.done.is_empty();
        self.wall_clock_s - job.record.submitted_at
            > if started { MAX_COMPLETION_WAIT_S } else { MAX_START_WAIT_S }
    }

    /// A job's rank, raised by one if the job waits to start for longer than
    /// [`MAX_START_WAIT_S`]. Its first placed tasks keep the raised rank; otherwise
    /// jobs of a higher rank would preempt them again and again.
    pub(super) fn effective_rank(&self, job: &OpenJob) -> u8 {
        let waited_long = self.wall_clock_s - job.record.submitted_at > MAX_START_WAIT_S;
        // A few tasks are enough for a start: a large job must not preempt all work of
        // the higher rank.
        let few_started = job.placed.len() <= MAX_BOOSTED_TASKS && job.done.is_empty();
        if waited_long && few_started { job.priority_rank().saturating_sub(1) } else { job.priority_rank() }
    }

    /// The waiting jobs in the order in which they are served, without jobs that must not
    /// start yet, for example during the backoff after failures.
    pub(super) fn serving_order(&self, wall_clock_s: f64, now: Instant) -> Vec<(ServingKey, Arc<str>)> {
        let guaranteed = self.jobs_within_guarantee();
        let mut order: Vec<(ServingKey, Arc<str>)> = self
            .waiting_jobs
            .iter()
            .filter_map(|id| {
                let job = self.open_job(id)?;
                if job.backoff_until.is_some_and(|at| at > now) {
                    return None;
                }
                let within_guarantee = guaranteed.get(id).copied().unwrap_or(false);
                let due = self.due_time_s(job);
                let submitted_ms = (job.record.submitted_at.max(0.0) * 1000.0) as u64;
                let rank = self.effective_rank(job);
                let starved = rank < job.priority_rank() || self.is_starved(job);
                let key = ServingKey {
                    level: ServingLevel::of(rank, within_guarantee || starved),
                    starved_submitted_ms: if starved { submitted_ms } else { u64::MAX },
                    over_quota: !within_guarantee,
                    rank,
                    deadline: deadline_state(due - wall_clock_s, job.spec.estimate_s),
                    task_cpus: Reverse(job.requirements.resources.cpus),
                    remaining_run_time_s: (f64::from(job.unfinished_tasks()) * job.spec.estimate_s) as u64,
                    due_ms: (due.max(0.0) * 1000.0) as u64,
                    submitted_ms,
                };
                Some((key, id.clone()))
            })
            .collect();
        order.sort();
        order
    }
}

#[cfg(test)]
mod tests;
