//! Preemption: stops running tasks to make room for waiting jobs of a higher rank.

use super::Core;
use super::placing::{UnplacedTasks, image_presence};
use crate::jobs::{OpenJob, StopReason, TaskId};
use crate::machines::Machine;
use dapplecroft_sched::{
    Claim, ImagePresence, MachineSnapshot, PlacedTask, Resources, TaskRequirements, pick_victims,
};
use dapplecroft_wire::users::Priority;
use std::time::{Duration, Instant};

/// Maximum number of tasks preempted in one pass.
const MAX_PREEMPTED_TASKS: usize = 40;
/// Grace time that a preempted task gets on top of the expected time to save its checkpoint.
const CHECKPOINT_SAVE_MARGIN: Duration = Duration::from_secs(1);
/// Minimum time between two preemption passes; each pass scans all machines.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(250);

/// A machine that runs tasks which may be preempted.
struct OccupiedMachine {
    shard: u32,
    snapshot: MachineSnapshot,
    /// The tasks booked on the machine, in the order of `placed_tasks`.
    tasks: Vec<TaskId>,
    placed_tasks: Vec<PlacedTask>,
}

impl OccupiedMachine {
    /// Number of tasks that fit once the tasks that are already being stopped have ended.
    fn tasks_that_fit(&self, requirements: &TaskRequirements) -> i64 {
        let leaving: Resources =
            self.placed_tasks.iter().filter(|r| r.stopping).map(|r| r.requirements.resources).sum();
        requirements.resources.copies_that_fit(&(self.snapshot.room() + leaving))
    }
}

/// The waiting tasks to make room for, and the limits on what may be stopped for them.
struct PreemptionRequest<'a> {
    /// Requirements of each waiting task.
    requirements: &'a TaskRequirements,
    /// Rank of the waiting job and whether it is within quota, which decide what it may preempt.
    claim: Claim,
    /// Number of waiting tasks.
    wanted_tasks: i64,
    /// Maximum number of tasks to stop.
    max_preempted: usize,
    /// Tasks that would lose more machine time than this are not stopped.
    max_loss: Duration,
}

/// The tasks to stop so that waiting tasks fit.
#[derive(Default)]
struct PreemptionPlan {
    tasks: Vec<TaskId>,
    /// Machine time that the stopped tasks lose in total.
    lost_time: Duration,
}

/// A machine on which a waiting task fits if some tasks are stopped. Options are
/// ordered by cost first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionOption {
    /// Sum of the machine time lost, the wait until the stopped tasks have saved
    /// their checkpoints, and the time to fetch the waiting task's image.
    cost: Duration,
    /// Index into the list of candidate machines.
    machine: usize,
    /// Machine time that the stopped tasks lose.
    lost_time: Duration,
    /// Indices of the tasks to stop in the machine's `placed_tasks`.
    victims: Vec<usize>,
}

/// Chooses the tasks to stop so that the wanted tasks fit, taking the cheapest
/// machines first; the cost includes the delay until a waiting task can run. Room
/// held by tasks that are already being stopped counts as free and is used first.
fn plan_preemption(
    machines: &mut [&mut OccupiedMachine],
    request: &PreemptionRequest<'_>,
    image_fetch_time: impl Fn(&OccupiedMachine) -> Duration,
) -> PreemptionPlan {
    let requirements = request.requirements;
    let mut wanted_tasks = request.wanted_tasks;
    for machine in machines.iter_mut() {
        let allowed = requirements.allows(
            &machine.snapshot.machine_type,
            &machine.snapshot.zone,
            machine.snapshot.spot,
        );
        if wanted_tasks > 0 && machine.snapshot.schedulable && allowed {
            let fitting = machine.tasks_that_fit(requirements).min(wanted_tasks);
            machine.snapshot.booked += requirements.resources.times(fitting);
            wanted_tasks -= fitting;
        }
    }
    let option_for = |(index, machine): (usize, &&mut OccupiedMachine)| {
        let found = pick_victims(
            &machine.snapshot,
            &machine.placed_tasks,
            requirements,
            request.claim,
            request.max_loss,
        )?;
        let cost = found.lost_time + found.eviction_delay + image_fetch_time(machine);
        Some(PreemptionOption { cost, machine: index, lost_time: found.lost_time, victims: found.tasks })
    };
    let mut options: Vec<PreemptionOption> = machines.iter().enumerate().filter_map(option_for).collect();
    options.sort();
    let mut preemption = PreemptionPlan::default();
    for option in options {
        if wanted_tasks <= 0 || preemption.tasks.len() + option.victims.len() > request.max_preempted {
            break;
        }
        let machine = &mut machines[option.machine];
        for victim in option.victims {
            machine.placed_tasks[victim].stopping = true;
            preemption.tasks.push(machine.tasks[victim].clone());
        }
        preemption.lost_time += option.lost_time;
        let fitting = machine.tasks_that_fit(requirements).clamp(1, wanted_tasks);
        machine.snapshot.booked += requirements.resources.times(fitting);
        wanted_tasks -= fitting;
    }
    preemption
}

impl Core {
    /// Describes a machine for the planners of drains and preemption. The machine counts as
    /// schedulable only if this controller holds the lease of its shard.
    pub(super) fn machine_snapshot(&self, machine: &Machine, now: Instant) -> MachineSnapshot {
        let epoch = self.role.leased_shards.get(&machine.shard).map(|lease| lease.epoch);
        MachineSnapshot {
            name: machine.id.to_string(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            capacity: machine.capacity,
            booked: machine.booked,
            schedulable: epoch
                .is_some_and(|epoch| machine.accepts_tasks(epoch, self.max_heartbeat_age(), now)),
        }
    }

    /// The tasks booked on a machine, without those whose room is free already. `machine_index`
    /// is the machine's index in the caller's list; tasks older than `max_movable_age`
    /// are marked as not movable.
    pub(super) fn placed_tasks_on(
        &self,
        machine: &Machine,
        machine_index: usize,
        max_movable_age: Duration,
        now: Instant,
    ) -> Vec<(TaskId, PlacedTask)> {
        let mut placed_tasks = Vec::new();
        for task in &machine.tasks {
            let Some(job) = self.open_job(&task.job) else { continue };
            let Some(placed) = job.placed.get(&task.index).filter(|p| !p.resources_freed) else { continue };
            let progress = job.progress(placed, now);
            let placed_task = PlacedTask {
                machine: machine_index,
                requirements: job.requirements.clone(),
                age: progress.age,
                lost_if_stopped: progress.lost_if_stopped(),
                save_time: progress.checkpoint_grace().unwrap_or_default(),
                movable: placed.committed && progress.age <= max_movable_age && !job.is_service(),
                stopping: placed.stop_reason.is_some(),
                rank: self.effective_rank(job),
                // A service replica is preempted only by a higher rank, not because
                // its team is over quota.
                over_quota: !job.is_service()
                    && self.teams.get(&job.spec.team).is_some_and(|team| team.over_quota()),
            };
            placed_tasks.push((task.clone(), placed_task));
        }
        placed_tasks
    }

    /// Preempts tasks in the leased shards for waiting jobs of a priority above normal,
    /// choosing those that lose the least machine time.
    pub(super) fn preempt(&mut self, unplaced: &[UnplacedTasks], now: Instant) {
        let is_urgent = |u: &UnplacedTasks| {
            !u.waiting_by_shard.is_empty()
                && self.open_job(&u.job).is_some_and(|j| j.spec.priority < Priority::Normal)
        };
        // Among jobs of normal or lower priority, a guaranteed quota decides the order
        // but preempts nothing: the preempted job would wait and preempt others in turn.
        let claimants: Vec<&UnplacedTasks> = unplaced.iter().filter(|u| is_urgent(u)).collect();
        let checked_recently =
            self.last_preemption.is_some_and(|at| now.saturating_duration_since(at) < PREEMPTION_INTERVAL);
        if claimants.is_empty() || checked_recently || self.role.leased_shards.is_empty() {
            return;
        }
        self.last_preemption = Some(now);
        let ranks = claimants.iter().filter_map(|u| self.open_job(&u.job)).map(|j| j.priority_rank());
        let highest_rank = ranks.min().unwrap_or(0);
        let guaranteed = self.jobs_within_guarantee();
        let mut machines: Vec<OccupiedMachine> = self
            .machines
            .values()
            .filter(|m| {
                let outranked =
                    |t: &TaskId| self.open_job(&t.job).is_some_and(|j| j.priority_rank() > highest_rank);
                self.is_holder(m.shard) && m.tasks.iter().any(outranked)
            })
            .map(|m| {
                let (tasks, placed_tasks) =
                    self.placed_tasks_on(m, 0, Duration::MAX, now).into_iter().unzip();
                let snapshot = self.machine_snapshot(m, now);
                OccupiedMachine { shard: m.shard, snapshot, tasks, placed_tasks }
            })
            .collect();
        let mut remaining = MAX_PREEMPTED_TASKS;
        for unplaced in claimants {
            let Some(job) = self.open_job(&unplaced.job) else { continue };
            let within_quota = guaranteed.get(&unplaced.job).copied().unwrap_or(false);
            let claim = Claim { rank: job.priority_rank(), within_quota };
            // Service replicas run for long, so tasks are preempted for them however
            // much work those tasks lose.
            let max_loss = if job.is_service() { Duration::MAX } else { self.options.max_preempted_loss };
            let image_fetch_time =
                |machine: &OccupiedMachine| self.image_fetch_time(&machine.snapshot.name, job);
            let mut stopped: Vec<TaskId> = Vec::new();
            let mut lost = Duration::ZERO;
            for (&shard, &wanted_tasks) in &unplaced.waiting_by_shard {
                // A task allocated to a shard can only use room in that shard. Room made
                // in another shard would go to other tasks, so that each pass would preempt
                // again for the same task.
                let mut shard_machines: Vec<&mut OccupiedMachine> =
                    machines.iter_mut().filter(|m| shard.is_none_or(|s| s == m.shard)).collect();
                let request = PreemptionRequest {
                    requirements: &unplaced.requirements,
                    claim,
                    wanted_tasks,
                    max_preempted: remaining,
                    max_loss,
                };
                let preemption = plan_preemption(&mut shard_machines, &request, image_fetch_time);
                remaining -= preemption.tasks.len();
                lost += preemption.lost_time;
                stopped.extend(preemption.tasks);
            }
            if !stopped.is_empty() {
                tracing::info!(
                    for_job = %unplaced.job, ?claim, tasks = stopped.len(), ?lost,
                    "preempting tasks for a waiting job"
                );
            }
            for task in stopped {
                self.stop_committed_task(&task, StopReason::Preempted, now);
            }
        }
    }

    /// Estimated time to fetch the job's image onto a machine; zero if the machine has
    /// or is fetching the image, or the fetch rate is unknown.
    fn image_fetch_time(&self, machine: &str, job: &OpenJob) -> Duration {
        let Some(machine) = self.machines.get(machine) else { return Duration::ZERO };
        if image_presence(machine, &job.requirements) != ImagePresence::No {
            return Duration::ZERO;
        }
        let rate = f64::from(self.image_fetch_mb_per_s(&machine.machine_type)) / 1000.0;
        let seconds = if rate > 0.0 { job.spec.image_gb / rate } else { 0.0 };
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Requests the stop of a task whose placement is committed. A placement that is
    /// not committed yet is left alone.
    pub(super) fn stop_committed_task(&mut self, task: &TaskId, why: StopReason, now: Instant) {
        let placed = self.open_job(&task.job).and_then(|job| job.placed.get(&task.index));
        if placed.is_some_and(|p| p.committed) {
            self.request_task_stop(task, why, Duration::MAX, now);
        }
    }

    /// Requests the stop of a task. The task gets time to save a checkpoint if that is
    /// worthwhile and takes no longer than `time_left`.
    pub(super) fn request_task_stop(
        &mut self,
        task: &TaskId,
        why: StopReason,
        time_left: Duration,
        now: Instant,
    ) {
        let Some(job) = self.open_job_mut(&task.job) else { return };
        let Some(placed) = job.placed.get(&task.index).filter(|p| p.stop_reason.is_none()) else { return };
        let time_to_save = job.progress(placed, now).checkpoint_grace().filter(|time| *time <= time_left);
        let machine = placed.machine.clone();
        if let Some(placed) = job.placed.get_mut(&task.index) {
            placed.stop_reason = Some(why);
            placed.grace = time_to_save.map_or(Duration::ZERO, |time| time + CHECKPOINT_SAVE_MARGIN);
        }
        self.wakeups.command.insert(machine);
    }
}
