//! The reserve of idle machines: as many as new jobs would keep busy if they keep
//! arriving at the recent rate. Idle machines beyond the reserve are surplus and are
//! returned to the cloud early, the most expensive ones first.

use super::Core;
use crate::machines::{Machine, MachinePhase};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Idle time after which a machine may count as surplus. A machine that is free only
/// between two placement rounds is not idle.
const MIN_SURPLUS_IDLE_TIME: Duration = Duration::from_secs(10);
/// Length, in multiples of the longest boot time, of the window of recent arrivals
/// from which the expected load is estimated.
const ARRIVAL_WINDOW_BOOT_TIMES: u32 = 2;

/// A recently submitted job.
#[derive(Debug)]
struct JobArrival {
    at: Instant,
    /// Thousandths of CPUs that the job's tasks request in total.
    cpus: i64,
    /// Estimated run time of each task.
    run_time: Duration,
}

/// Recently submitted jobs, oldest first.
#[derive(Debug, Default)]
pub(super) struct RecentArrivals {
    jobs: VecDeque<JobArrival>,
}

impl RecentArrivals {
    /// Records the arrival of a job that requests `cpus` for `run_time`.
    pub fn record(&mut self, cpus: i64, run_time: Duration, now: Instant) {
        self.jobs.push_back(JobArrival { at: now, cpus, run_time });
    }

    /// Average over the window of the CPUs that the jobs which arrived within it keep
    /// busy, in thousandths. Drops older arrivals.
    pub fn average_busy_cpus(&mut self, window: Duration, now: Instant) -> i64 {
        while self.jobs.front().is_some_and(|job| now.saturating_duration_since(job.at) > window) {
            self.jobs.pop_front();
        }
        let part = |time: Duration| time.min(window).as_secs_f64() / window.as_secs_f64().max(0.001);
        self.jobs.iter().map(|job| (job.cpus as f64 * part(job.run_time)) as i64).sum()
    }
}

struct IdleMachine {
    id: Arc<str>,
    cpus: i64,
    price_per_cpu: f64,
    since: Instant,
}

/// Selects the machines that can go so that the idle machines left still have at least
/// `reserve` CPUs: the most expensive per CPU first, and among equals the longest idle.
fn select_surplus(mut idle: Vec<IdleMachine>, reserve: i64) -> BTreeSet<Arc<str>> {
    idle.sort_by(|a, b| {
        let by_price = b.price_per_cpu.total_cmp(&a.price_per_cpu);
        by_price.then(a.since.cmp(&b.since)).then(a.id.cmp(&b.id))
    });
    let mut left: i64 = idle.iter().map(|machine| machine.cpus).sum();
    let mut surplus = BTreeSet::new();
    for machine in idle {
        // Skips machines without which the rest would be less than the reserve.
        if left - machine.cpus >= reserve {
            left -= machine.cpus;
            surplus.insert(machine.id);
        }
    }
    surplus
}

impl Core {
    /// Idle machines in the leased shards beyond this controller's part of the reserve,
    /// which is in proportion to the capacity that it holds. Empty if the operator has
    /// set how long idle machines are kept.
    pub(super) fn surplus_machines(&mut self, now: Instant) -> BTreeSet<Arc<str>> {
        if self.options.idle_release_after.is_some() {
            return BTreeSet::new();
        }
        let window = self.longest_boot_time() * ARRIVAL_WINDOW_BOOT_TIMES;
        let expected = self.arrivals.average_busy_cpus(window, now);
        let keeps = |m: &&Machine| m.group.is_some() && m.phase == MachinePhase::Active && !m.given_up;
        let capacity = |own: bool| -> i64 {
            let counted = self.machines.values().filter(keeps).filter(|m| !own || self.is_holder(m.shard));
            counted.map(|m| m.capacity.cpus).sum()
        };
        let (own, all) = (capacity(true), capacity(false).max(1));
        let reserve = (expected as f64 * own as f64 / all as f64) as i64;
        let is_idle = |m: &&Machine| {
            let since =
                m.idle_since.is_some_and(|at| now.saturating_duration_since(at) > MIN_SURPLUS_IDLE_TIME);
            self.is_holder(m.shard) && m.tasks.is_empty() && m.last_heartbeat.is_some() && since
        };
        let idle = self.machines.values().filter(keeps).filter(is_idle).map(|m| IdleMachine {
            id: m.id.clone(),
            cpus: m.capacity.cpus,
            price_per_cpu: self.price_per_cpu(m),
            since: m.idle_since.unwrap_or(now),
        });
        select_surplus(idle.collect(), reserve)
    }

    /// Records the arrival of a job for the estimate of the expected load.
    pub(super) fn record_job_arrival(&mut self, id: &str, now: Instant) {
        let Some(job) = self.open_job(id) else { return };
        // The team's quota limit bounds how much of the job runs at a time.
        let tasks = i64::from(job.record.tasks);
        let limit = self.teams.get(&job.spec.team).map_or(0, |team| team.limit.cpus);
        let cpus = job.requirements.resources.cpus * tasks;
        let cpus = if limit > 0 { cpus.min(limit) } else { cpus };
        let run_time = Duration::try_from_secs_f64(job.spec.estimate_s).unwrap_or_default();
        self.arrivals.record(cpus, run_time, now);
    }

    /// Longest boot time of any machine type in the catalog.
    fn longest_boot_time(&self) -> Duration {
        let types = self.catalog.iter().flat_map(|catalog| &catalog.machine_types);
        types.map(|m| self.boot_time(&m.name)).max().unwrap_or_default()
    }

    /// Current price of one CPU of a machine; zero if its type is not in the catalog.
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
