//! The order in which waiting jobs are served: by rank, guarantees, what has waited very
//! long, deadlines, and best fit decreasing.

use super::Core;
use crate::jobs::OpenJob;
use dapplecroft_sched::Resources;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// Users want even the largest jobs to begin within minutes: one of which
/// nothing has run for so long goes before all others of its rank, and ranks
/// one higher.
const BEGIN_WITHIN: f64 = 150.0;
/// So many tasks make a beginning.
pub(super) const STARTER_TASKS: usize = 2;
/// The same, but for the rank, for what has begun and does not get on.
const END_WITHIN: f64 = 400.0;

/// Which work goes before which, whatever else is known of it. A guarantee is a
/// promise to a team whatever the rank of its work: what another team runs beyond
/// its own must not keep it waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServiceLevel {
    /// Critical and urgent work, by effective rank.
    Urgent(u8),
    /// Ordinary work that lies within its team's guarantee, or has waited very
    /// long.
    Promised,
    /// Other ordinary work, by effective rank.
    Ordinary(u8),
}

impl ServiceLevel {
    pub(super) fn of(rank: u8, promised: bool) -> ServiceLevel {
        match rank {
            0 | 1 => ServiceLevel::Urgent(rank),
            _ if promised => ServiceLevel::Promised,
            _ => ServiceLevel::Ordinary(rank),
        }
    }
}

/// In which order jobs are served: the job with the smallest key goes first.
/// Fields are compared in the order in which they stand here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServingKey {
    /// Which of all work goes before which.
    pub level: ServiceLevel,
    /// For a job that has waited very long, its submission time in milliseconds
    /// since 1970; for all others, the largest number.
    pub starved_since: u64,
    /// Work within its team's guarantee goes before work beyond it.
    pub over_quota: bool,
    /// The effective rank; lower numbers go first.
    pub rank: u8,
    /// Whether the job can still meet its deadline.
    pub deadline: DeadlineState,
    /// Best fit *decreasing*: the larger tasks first.
    pub task_cpus: Reverse<i64>,
    /// Estimated seconds of run time that are left of the job.
    pub work_left_s: u64,
    /// When it is due, in milliseconds since 1970.
    pub due_ms: u64,
    /// When it was submitted, in milliseconds since 1970.
    pub submitted_ms: u64,
}

/// Whether a job can still meet its deadline. Best fit is decreasing within each
/// of these. Those that have time are not put behind those that must start soon:
/// in overload all would wait until they are nearly late, and then be late
/// together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DeadlineState {
    /// It can still be in time.
    InTime,
    /// It is too late already: others can still be in time.
    Missed,
}

pub(super) fn deadline_state(left: f64, estimate: f64) -> DeadlineState {
    // A service has neither.
    if estimate <= 0.0 {
        return DeadlineState::InTime;
    }
    // Estimates are often wrong by a quarter.
    if left < 0.75 * estimate { DeadlineState::Missed } else { DeadlineState::InTime }
}

impl Core {
    /// Jobs that lie within their team's guarantee together with the team's
    /// earlier unfinished ones.
    pub(super) fn guaranteed(&self) -> HashMap<Arc<str>, bool> {
        let mut by_age: Vec<(&Arc<str>, &OpenJob)> = self
            .open
            .iter()
            .filter_map(|id| self.open_job(id).map(|j| (id, j)))
            .filter(|(_, j)| j.is_open())
            .collect();
        by_age.sort_by(|a, b| a.1.record.submitted_at.total_cmp(&b.1.record.submitted_at).then(a.0.cmp(b.0)));
        let mut totals: HashMap<&str, Resources> = HashMap::new();
        let mut result = HashMap::new();
        for (id, job) in by_age {
            let total = totals.entry(job.spec.team.as_str()).or_default();
            *total += job.requirements.resources.times(i64::from(job.unfinished_tasks()));
            let within = self.teams.get(&job.spec.team).is_some_and(|b| b.guarantees(total));
            result.insert(id.clone(), within);
        }
        result
    }

    /// When a job should be complete, in seconds since 1970.
    fn due(&self, job: &OpenJob) -> f64 {
        let within = [job.spec.deadline_s, self.settings.finished_within(&job.spec.class)];
        let within = within.into_iter().flatten().min_by(f64::total_cmp);
        job.record.submitted_at + within.unwrap_or(job.spec.estimate_s * 4.0)
    }

    /// Whether a job has waited so long that it goes before others: least left
    /// first, and missed deadlines last, must starve nobody.
    fn is_starved(&self, job: &OpenJob) -> bool {
        let begun = !job.placed.is_empty() || !job.done.is_empty();
        self.wall_clock_s - job.record.submitted_at > if begun { END_WITHIN } else { BEGIN_WITHIN }
    }

    /// A job's rank, one higher once it has waited very long. What is placed of
    /// it keeps that rank while it is young, or the job would be undone again
    /// and again by more urgent ones.
    pub(super) fn effective_rank(&self, job: &OpenJob) -> u8 {
        let old = self.wall_clock_s - job.record.submitted_at > BEGIN_WITHIN;
        // A few tasks are enough to begin: a large job must not take the place
        // of all urgent work.
        let few = job.placed.len() <= STARTER_TASKS && job.done.is_empty();
        if old && few { job.priority_rank().saturating_sub(1) } else { job.priority_rank() }
    }

    /// Waiting jobs in the order in which they are served.
    pub(super) fn serving_order(&self, wall_clock_s: f64, now: Instant) -> Vec<(ServingKey, Arc<str>)> {
        let guaranteed = self.guaranteed();
        let mut order: Vec<(ServingKey, Arc<str>)> = self
            .waiting
            .iter()
            .filter_map(|id| {
                let job = self.open_job(id)?;
                if job.backoff_until.is_some_and(|at| at > now) {
                    return None;
                }
                let within = guaranteed.get(id).copied().unwrap_or(false);
                let due = self.due(job);
                let submitted_ms = (job.record.submitted_at.max(0.0) * 1000.0) as u64;
                let rank = self.effective_rank(job);
                let starved = rank < job.priority_rank() || self.is_starved(job);
                let key = ServingKey {
                    level: ServiceLevel::of(rank, within || starved),
                    starved_since: if starved { submitted_ms } else { u64::MAX },
                    over_quota: !within,
                    rank,
                    deadline: deadline_state(due - wall_clock_s, job.spec.estimate_s),
                    task_cpus: Reverse(job.requirements.resources.cpus),
                    work_left_s: (f64::from(job.unfinished_tasks()) * job.spec.estimate_s) as u64,
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
