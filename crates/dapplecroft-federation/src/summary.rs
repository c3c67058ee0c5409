//! Summaries in which cells report their free capacity, and the choice of the cell that a
//! job is offered to.
//!
//! A summary is only a hint; correctness does not depend on it. A wrong summary leads at
//! worst to a refused offer, which costs each of the two cells one write to its state
//! service.

use crate::messages::CellId;
use dapplecroft_sched::{Resources, TaskRequirements};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Machines of a cell that are alike and have the same free resources.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachinePool {
    /// Machine type, as named by the cloud.
    pub machine_type: String,
    /// Cloud zone of the machines.
    pub zone: String,
    /// Whether these are spot machines.
    pub spot: bool,
    /// Free resources of each machine.
    pub free: Resources,
    /// Total resources of each machine.
    pub capacity: Resources,
    /// Number of machines.
    pub count: i64,
}

/// Capacity of a cell, as reported by the cell's leader.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The cell that the summary describes.
    pub cell: CellId,
    /// Machines that are up and accept tasks.
    pub up: Vec<MachinePool>,
    /// Kinds of machines that the cell can probably still rent.
    pub rentable: Vec<MachinePool>,
    /// CPUs requested by tasks that wait in the cell for capacity, in thousandths of a CPU.
    pub backlog_cpus: i64,
    /// CPUs that further hosted jobs may request, in thousandths of a CPU.
    pub hosting_headroom_cpus: i64,
}

/// Resources that a job requests, as needed to choose a cell for it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobDemand {
    /// Requirements of each task.
    pub requirements: TaskRequirements,
    /// Number of tasks.
    pub tasks: u32,
}

impl JobDemand {
    fn allows(&self, pool: &MachinePool) -> bool {
        self.requirements.allows(&pool.machine_type, &pool.zone, pool.spot)
    }

    fn tasks_that_fit(&self, pools: &[MachinePool]) -> i64 {
        let allowed = pools.iter().filter(|pool| self.allows(pool));
        allowed.map(|pool| self.requirements.resources.copies_that_fit(&pool.free) * pool.count).sum()
    }

    fn total_resources(&self) -> Resources {
        self.requirements.resources.times(i64::from(self.tasks))
    }
}

/// How well a cell fits a job. The cell with the greatest value is chosen.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct CellFit {
    /// Whether all tasks can start at once on machines that are up.
    starts_all_tasks: bool,
    /// If all tasks can start at once: the dominant share of the allowed up machines that
    /// is used once the job is placed, so that the best-fitting cell wins. Otherwise: the
    /// fraction of the tasks that can start at once.
    fraction: f64,
}

/// Latest summaries of the other cells, and their recent refusals.
#[derive(Debug, Default)]
pub struct PeerSummaries {
    /// Latest summary and the time at which it was requested, by name of the cell.
    summaries: BTreeMap<String, (Summary, Instant)>,
    /// Time of the latest refusal, by job and name of the refusing cell.
    refusals: HashMap<(Arc<str>, String), Instant>,
}

impl PeerSummaries {
    /// Stores a summary. Its age counts from `asked`, the time at which it was *requested*.
    /// It is ignored if the stored summary is of a higher incarnation, or of the same
    /// incarnation and requested later.
    pub fn record_summary(&mut self, summary: Summary, asked: Instant) {
        let known = self.summaries.get(&summary.cell.name);
        let outdated =
            known.is_some_and(|(old, at)| (old.cell.incarnation, *at) > (summary.cell.incarnation, asked));
        if !outdated {
            self.summaries.insert(summary.cell.name.clone(), (summary, asked));
        }
    }

    /// Name and incarnation in the latest summary of `cell`, and the age of that summary.
    pub fn latest_cell_and_age(&self, cell: &str, now: Instant) -> Option<(&CellId, Duration)> {
        let (summary, asked) = self.summaries.get(cell)?;
        Some((&summary.cell, now.saturating_duration_since(*asked)))
    }

    /// Records that a cell refused a job.
    pub fn record_refusal(&mut self, job: &Arc<str>, cell: &str, now: Instant) {
        self.refusals.insert((job.clone(), cell.to_string()), now);
    }

    /// Removes refusals that are `refusal_pause` old or older.
    pub fn expire_refusals(&mut self, refusal_pause: Duration, now: Instant) {
        self.refusals.retain(|_, at| now.saturating_duration_since(*at) < refusal_pause);
    }

    /// Subtracts a job that is being offered to a cell from the cell's summary, which does
    /// not include the job yet. Machines that the job's tasks would use count as full.
    pub fn deduct_offer(&mut self, cell: &str, demand: &JobDemand) {
        let Some((summary, _)) = self.summaries.get_mut(cell) else { return };
        summary.hosting_headroom_cpus -= demand.total_resources().cpus;
        let mut remaining_tasks = i64::from(demand.tasks);
        let mut occupied = Vec::new();
        for pool in summary.up.iter_mut().filter(|pool| demand.allows(pool)) {
            let per_machine = demand.requirements.resources.copies_that_fit(&pool.free);
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

    /// Chooses the cell to offer a job to, if any. Candidates are cells whose summary is
    /// younger than `max_age` and which have not refused the job within `refusal_pause`.
    /// Among those that can start all tasks at once, the cell that the job fills up most is
    /// chosen; if there is none, the cell that can start the most tasks.
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

/// Evaluates how well a cell fits a job. `None` if the cell must not be offered the job:
/// its own tasks wait for capacity, it does not take as many CPUs of hosted jobs, or no
/// machine that is up or can be rented has room for a task.
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
    Some(CellFit { starts_all_tasks: true, fraction: used.dominant_share_of(&capacity) })
}
