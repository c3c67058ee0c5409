//! What cells tell of their free room, and the choice of a cell for a job.
//!
//! A summary is a hint: nothing that must hold rests on it. A wrong one costs a refused
//! offer, which costs each side a change of its state service.

use crate::messages::CellId;
use dapplecroft_sched::{Resources, TaskRequirements};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Equal machines of a cell with equal room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachinePool {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// What is free on each.
    pub free: Resources,
    /// What each has.
    pub capacity: Resources,
    /// How many there are.
    pub count: i64,
}

/// What a cell's leader tells of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The cell.
    pub cell: CellId,
    /// Machines that are up and take work.
    pub up: Vec<MachinePool>,
    /// Kinds of machine that could still be rented, as far as is known.
    pub rentable: Vec<MachinePool>,
    /// CPUs of tasks that wait there for room, in thousandths.
    pub backlog_cpus: i64,
    /// CPUs that it would still take of other cells' jobs, in thousandths.
    pub hosting_headroom_cpus: i64,
}

/// What a job asks for, as far as the choice of a cell goes.
#[derive(Debug, Clone, PartialEq)]
pub struct JobDemand {
    /// What each task needs.
    pub requirements: TaskRequirements,
    /// How many tasks there are.
    pub tasks: u32,
}

impl JobDemand {
    fn allows(&self, pool: &MachinePool) -> bool {
        self.requirements.allows(&pool.machine_type, &pool.zone, pool.spot)
    }

    fn tasks_that_fit(&self, pools: &[MachinePool]) -> i64 {
        let allowed = pools.iter().filter(|pool| self.allows(pool));
        allowed.map(|pool| self.requirements.resources.times_in(&pool.free) * pool.count).sum()
    }

    fn total_resources(&self) -> Resources {
        self.requirements.resources.times(i64::from(self.tasks))
    }
}

/// How well a cell fits a job; the greatest is the best.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct CellFit {
    /// Whether all tasks can begin at once.
    starts_all_tasks: bool,
    /// Best fit on the dominant share: how full the machines that are up and may be
    /// used become. Where not all tasks begin at once, how many do.
    fraction: f64,
}

/// What is known of other cells.
#[derive(Debug, Default)]
pub struct PeerSummaries {
    summaries: BTreeMap<String, (Summary, Instant)>,
    /// When each cell last refused which job.
    refusals: HashMap<(Arc<str>, String), Instant>,
}

impl PeerSummaries {
    /// Takes note of a summary. It counts from when it was *asked* for.
    pub fn record_summary(&mut self, summary: Summary, asked: Instant) {
        let known = self.summaries.get(&summary.cell.name);
        let outdated =
            known.is_some_and(|(old, at)| (old.cell.incarnation, *at) > (summary.cell.incarnation, asked));
        if !outdated {
            self.summaries.insert(summary.cell.name.clone(), (summary, asked));
        }
    }

    /// A cell as it last told of itself, and how long ago it was asked for that.
    pub fn latest_cell_and_age(&self, cell: &str, now: Instant) -> Option<(&CellId, Duration)> {
        let (summary, asked) = self.summaries.get(cell)?;
        Some((&summary.cell, now.saturating_duration_since(*asked)))
    }

    /// Takes note that a cell has refused a job.
    pub fn record_refusal(&mut self, job: &Arc<str>, cell: &str, now: Instant) {
        self.refusals.insert((job.clone(), cell.to_string()), now);
    }

    /// Forgets refusals that count no more.
    pub fn expire_refusals(&mut self, refusal_pause: Duration, now: Instant) {
        self.refusals.retain(|_, at| now.saturating_duration_since(*at) < refusal_pause);
    }

    /// Takes off what has been offered to a cell since its summary: it does not know of
    /// it yet.
    pub fn deduct_offer(&mut self, cell: &str, demand: &JobDemand) {
        let Some((summary, _)) = self.summaries.get_mut(cell) else { return };
        summary.hosting_headroom_cpus -= demand.total_resources().cpus;
        let mut remaining_tasks = i64::from(demand.tasks);
        let mut occupied = Vec::new();
        for pool in summary.up.iter_mut().filter(|pool| demand.allows(pool)) {
            let per_machine = demand.requirements.resources.times_in(&pool.free);
            if per_machine == 0 || remaining_tasks <= 0 {
                continue;
            }
            let machines = ((remaining_tasks + per_machine - 1) / per_machine).min(pool.count);
            pool.count -= machines;
            remaining_tasks -= machines * per_machine;
            occupied.push(MachinePool { free: Resources::default(), count: machines, ..pool.clone() });
        }
        summary.up.extend(occupied);
    }

    /// The cell that a job is best offered to, if any: among those that have told of
    /// themselves within `max_age` and have not refused it within `refusal_pause`, the one that can
    /// begin all of it and becomes the fullest by it; else the one that can begin most.
    pub fn choose_cell(
        &self,
        job: &Arc<str>,
        demand: &JobDemand,
        max_age: Duration,
        refusal_pause: Duration,
        now: Instant,
    ) -> Option<CellId> {
        let recent = |at: &Instant, within| now.saturating_duration_since(*at) < within;
        let refused = |cell: &str| {
            let at = self.refusals.get(&(job.clone(), cell.to_string()));
            at.is_some_and(|at| recent(at, refusal_pause))
        };
        let fits = self
            .summaries
            .values()
            .filter(|(summary, asked)| recent(asked, max_age) && !refused(&summary.cell.name))
            .filter_map(|(summary, _)| Some((evaluate_fit(summary, demand)?, &summary.cell)));
        let best = fits.max_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
        best.map(|(_, cell)| cell.clone())
    }
}

/// How well a cell fits a job; `None`: it has no room, or work of its own that waits.
fn evaluate_fit(summary: &Summary, demand: &JobDemand) -> Option<CellFit> {
    if summary.backlog_cpus > 0 || summary.hosting_headroom_cpus < demand.total_resources().cpus {
        return None;
    }
    let tasks = i64::from(demand.tasks);
    let starting = demand.tasks_that_fit(&summary.up).min(tasks);
    if starting == 0 && demand.tasks_that_fit(&summary.rentable) == 0 {
        return None;
    }
    if starting < tasks {
        return Some(CellFit { starts_all_tasks: false, fraction: starting as f64 / tasks as f64 });
    }
    let mut capacity = Resources::default();
    let mut used = demand.total_resources();
    for pool in summary.up.iter().filter(|pool| demand.allows(pool)) {
        capacity += pool.capacity.times(pool.count);
        used += (pool.capacity - pool.free).times(pool.count);
    }
    Some(CellFit { starts_all_tasks: true, fraction: used.share_of(&capacity) })
}
