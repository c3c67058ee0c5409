//! How many idle machines are worth keeping: as many as work would keep busy if it
//! goes on coming as it did lately. What is idle beyond that is surplus and returned
//! soon, the dearest first.

use super::Core;
use crate::machines::{Machine, MachinePhase};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A machine is surplus only after it has been idle for so long: room that is free
/// between two rounds of placement is none.
const SURPLUS_AFTER: Duration = Duration::from_secs(10);
/// Work that came within so many boot times tells how much is to be expected.
const BOOT_TIMES: u32 = 2;

/// A job that came lately.
#[derive(Debug)]
struct Arrival {
    at: Instant,
    /// Thousandths of processors that it asks for.
    cpus: i64,
    /// How long each task is expected to run.
    run_time: Duration,
}

/// Work that came lately.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    jobs: VecDeque<Arrival>,
}

impl Arrivals {
    /// Notes a job that asks for processors for so long.
    pub fn note(&mut self, cpus: i64, run_time: Duration, now: Instant) {
        self.jobs.push_back(Arrival { at: now, cpus, run_time });
    }

    /// How many processors what came within a window keeps busy, on the average
    /// over that window; forgets what came before.
    pub fn keep_busy(&mut self, window: Duration, now: Instant) -> i64 {
        while self.jobs.front().is_some_and(|job| now.saturating_duration_since(job.at) > window) {
            self.jobs.pop_front();
        }
        let part = |time: Duration| time.min(window).as_secs_f64() / window.as_secs_f64().max(0.001);
        self.jobs.iter().map(|job| (job.cpus as f64 * part(job.run_time)) as i64).sum()
    }
}

/// An idle machine.
struct Idle {
    id: Arc<str>,
    cpus: i64,
    price_per_cpu: f64,
    since: Instant,
}

/// The idle machines that are more than `reserve` processors: the dearest, and of
/// equal ones those that have been idle the longest.
fn surplus_of(mut idle: Vec<Idle>, reserve: i64) -> BTreeSet<Arc<str>> {
    idle.sort_by(|a, b| {
        let dearest = b.price_per_cpu.total_cmp(&a.price_per_cpu);
        dearest.then(a.since.cmp(&b.since)).then(a.id.cmp(&b.id))
    });
    let mut left: i64 = idle.iter().map(|machine| machine.cpus).sum();
    let mut surplus = BTreeSet::new();
    for machine in idle {
        // What is left without it must still be the reserve.
        if left - machine.cpus >= reserve {
            left -= machine.cpus;
            surplus.insert(machine.id);
        }
    }
    surplus
}

impl Core {
    /// Machines of own shards that are idle beyond this holder's part of the
    /// reserve. None, if operators have set how long idle machines are kept.
    pub(super) fn surplus_machines(&mut self, now: Instant) -> BTreeSet<Arc<str>> {
        if self.options.idle_release_after.is_some() {
            return BTreeSet::new();
        }
        let window = self.longest_boot_time() * BOOT_TIMES;
        let expected = self.arrivals.keep_busy(window, now);
        let keeps = |m: &&Machine| m.group.is_some() && m.phase == MachinePhase::Active && !m.given_up;
        let capacity = |own: bool| -> i64 {
            let counted = self.machines.values().filter(keeps).filter(|m| !own || self.is_holder(m.shard));
            counted.map(|m| m.capacity.cpus).sum()
        };
        let (own, all) = (capacity(true), capacity(false).max(1));
        let reserve = (expected as f64 * own as f64 / all as f64) as i64;
        let is_idle = |m: &&Machine| {
            let since = m.idle_since.is_some_and(|at| now.saturating_duration_since(at) > SURPLUS_AFTER);
            self.is_holder(m.shard) && m.tasks.is_empty() && m.heard.is_some() && since
        };
        let idle = self.machines.values().filter(keeps).filter(is_idle).map(|m| Idle {
            id: m.id.clone(),
            cpus: m.capacity.cpus,
            price_per_cpu: self.price_per_cpu(m),
            since: m.idle_since.unwrap_or(now),
        });
        surplus_of(idle.collect(), reserve)
    }

    /// Notes that a job has come that asks for this.
    pub(super) fn note_arrival(&mut self, id: &str, now: Instant) {
        let Some(job) = self.open_job(id) else { return };
        // No more of it runs at a time than its team's limit lets.
        let tasks = i64::from(job.record.tasks);
        let limit = self.teams.get(&job.spec.team).map_or(0, |team| team.limit.cpus);
        let cpus = job.requirements.resources.cpus * tasks;
        let cpus = if limit > 0 { cpus.min(limit) } else { cpus };
        let run_time = Duration::try_from_secs_f64(job.spec.estimate_s).unwrap_or_default();
        self.arrivals.note(cpus, run_time, now);
    }

    fn longest_boot_time(&self) -> Duration {
        let types = self.catalog.iter().flat_map(|catalog| &catalog.machine_types);
        types.map(|m| self.boot_time(&m.name)).max().unwrap_or_default()
    }

    /// What one processor of a machine costs, as prices are now.
    fn price_per_cpu(&self, machine: &Machine) -> f64 {
        let types = self.catalog.iter().flat_map(|catalog| &catalog.machine_types);
        let Some(machine_type) = types.into_iter().find(|m| m.name == machine.machine_type) else {
            return 0.0;
        };
        let price = if machine.spot { machine_type.spot_price } else { machine_type.price };
        price / machine_type.cpus.max(1.0)
    }
}

#[cfg(test)]
mod tests;
