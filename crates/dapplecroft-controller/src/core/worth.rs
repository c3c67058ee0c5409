//! Which change goes first while changes are scarce.

use super::{Core, Subject};
use crate::jobs::{Job, OpenJob};
use crate::ranges::Ranges;
use crate::records::PartId;
use dapplecroft_wire::users::Rank;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// While changes are scarce, a job or block without urgent work has its turn
/// at most so often.
const TURN: Duration = Duration::from_millis(1500);
/// Each admission outdates what holders are about to commit of the same job, so
/// while changes are scarce a job has its turn less often than a block.
const JOB_TURN: Duration = Duration::from_secs(3);
const URGENT_TURN: Duration = Duration::from_millis(700);
/// What is waiting in each part is counted anew so often.
const WORTH_LASTS: Duration = Duration::from_millis(150);
/// How much more urgent work counts among what waits.
const URGENT: f64 = 8.0;

impl Core {
    /// While changes are scarce, the one for which the most processors have
    /// waited the longest goes first: one change more or less is as many
    /// processors idle.
    ///
    /// It is told with whether it is urgent: the others leave a part of each burst
    /// for that.
    pub(super) fn take_worthiest(&mut self, only_urgent: bool, now: Instant) -> Option<(Subject, bool)> {
        if self.worth.0.is_none_or(|at| now.saturating_duration_since(at) >= WORTH_LASTS) {
            self.worth = (Some(now), self.worth_of_parts(now));
        }
        let worth = &self.worth.1;
        let (jobs, sent_at) = (&self.jobs, &self.sent_at);
        let score = |subject: &Subject, urgent: bool| {
            let sent =
                sent_at.get(subject).map_or(10.0, |at| now.saturating_duration_since(*at).as_secs_f64());
            let turn = match subject {
                _ if urgent => Duration::ZERO,
                Subject::Part(_) | Subject::Litter(_) => TURN,
                Subject::Job(id) => match jobs.get(id) {
                    Some(Job::Open(job)) if job.spec.priority < Rank::Normal => URGENT_TURN,
                    _ => JOB_TURN,
                },
            };
            if sent < turn.as_secs_f64() {
                return -1.0;
            }
            match subject {
                Subject::Part(id) => worth.get(id).copied().unwrap_or(0.0),
                Subject::Job(id) => match jobs.get(id) {
                    Some(Job::Open(job)) => job_worth(job) * sent.clamp(0.2, 10.0),
                    _ => 0.0,
                },
                Subject::Litter(_) => 0.0,
            }
        };
        // Work that is not urgent counts less, but a large admission of it still
        // goes before a few urgent tasks: they would keep it back for ever.
        let soon = self.soon.best(|s| score(s, true) * URGENT);
        let dirty = self.dirty.best(|s| score(s, false));
        if !only_urgent && dirty.is_some_and(|(_, d)| soon.is_none_or(|(_, s)| d > s)) {
            Some((self.dirty.take(dirty?.0)?, false))
        } else {
            Some((self.soon.take(soon?.0)?, true))
        }
    }

    /// Processors that are proposed in each part, by how long they have waited.
    fn worth_of_parts(&self, now: Instant) -> HashMap<PartId, f64> {
        let mut worth: HashMap<PartId, f64> = HashMap::new();
        for machine in self.machines.values().filter(|m| self.is_holder(m.block)) {
            for task in &machine.tasks {
                let Some(job) = self.open_job(&task.job) else { continue };
                let Some(p) = job.placed.get(&task.index).filter(|p| !p.committed) else { continue };
                let waited = now.saturating_duration_since(p.since).as_secs_f64();
                *worth.entry(p.home).or_default() += weight_of_rank(job) * waited.max(0.2);
            }
        }
        worth
    }
}

/// What a task of a job counts among what waits: its processors, and replicas
/// before all else.
fn weight_of_rank(job: &OpenJob) -> f64 {
    let cpus = job.need.amounts.cpus.max(1) as f64;
    if job.is_service() { cpus * 1000.0 } else { cpus }
}

fn job_worth(job: &OpenJob) -> f64 {
    let admitting: u32 = job.admitting.values().map(Ranges::len).sum();
    // Its end frees quota, and somebody waits for it.
    let over = job.done.len() == job.record.tasks;
    weight_of_rank(job) * f64::from(admitting + if over { job.record.tasks } else { 0 })
}
