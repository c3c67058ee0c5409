//! Work that has to give way to waiting work of a higher rank.

use super::Core;
use super::placing::{Unplaced, has_image};
use crate::jobs::{OpenJob, Stop, TaskId};
use crate::machines::Machine;
use dapplecroft_sched::{Claim, ImagePresence, Resident, Resources, Slot, TaskRequirements, pick_victims};
use dapplecroft_wire::users::Priority;
use std::time::{Duration, Instant};

/// Most tasks stopped at a time.
const MAX_PREEMPTED_TASKS: usize = 40;
/// What a task that saves is given beyond the time that it needs.
const CHECKPOINT_SAVE_MARGIN: Duration = Duration::from_secs(1);
/// Pause between two looks for work to displace, which go over all machines.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(250);

/// A machine with work that may have to give way.
struct OccupiedMachine {
    shard: u32,
    slot: Slot,
    tasks: Vec<TaskId>,
    residents: Vec<Resident>,
}

impl OccupiedMachine {
    /// How many tasks fit once all that is leaving has left.
    fn tasks_that_fit(&self, requirements: &TaskRequirements) -> i64 {
        let leaving: Resources =
            self.residents.iter().filter(|r| r.leaving).map(|r| r.requirements.resources).sum();
        requirements.resources.times_in(&(self.slot.room() + leaving))
    }
}

/// What room is to be made for.
struct PreemptionRequest<'a> {
    /// What each waiting task needs.
    requirements: &'a TaskRequirements,
    /// What entitles it to displace others.
    claim: Claim,
    /// How many tasks wait.
    wanted_tasks: i64,
    /// Most tasks that may be stopped.
    max_preempted: usize,
    /// No task that loses more is stopped.
    max_loss: Duration,
}

/// What is stopped to make room.
#[derive(Default)]
struct PreemptionPlan {
    tasks: Vec<TaskId>,
    /// Machine time that is lost.
    lost_time: Duration,
}

/// A machine on which room can be made.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionOption {
    /// Machine time that is lost, how long the waiting task has to wait for its
    /// room, and how long its image takes there.
    cost: Duration,
    /// Index of the machine.
    machine: usize,
    /// Machine time that is lost.
    lost_time: Duration,
    /// Indices of its residents that are stopped.
    victims: Vec<usize>,
}

/// Chooses what is stopped on some machines so that the wanted tasks fit, where
/// the least time is lost, theirs until they run included. What is leaving anyway counts as room that will be there.
fn plan_preemption(
    machines: &mut [&mut OccupiedMachine],
    request: &PreemptionRequest<'_>,
    image_fetch_time: impl Fn(&OccupiedMachine) -> Duration,
) -> PreemptionPlan {
    let requirements = request.requirements;
    let mut wanted_tasks = request.wanted_tasks;
    for machine in machines.iter_mut() {
        let allowed = requirements.allows(&machine.slot.machine_type, &machine.slot.zone, machine.slot.spot);
        if wanted_tasks > 0 && machine.slot.open && allowed {
            let fitting = machine.tasks_that_fit(requirements).min(wanted_tasks);
            machine.slot.booked += requirements.resources.times(fitting);
            wanted_tasks -= fitting;
        }
    }
    let option_for = |(index, machine): (usize, &&mut OccupiedMachine)| {
        let found =
            pick_victims(&machine.slot, &machine.residents, requirements, request.claim, request.max_loss)?;
        let cost = found.lost + found.delay + image_fetch_time(machine);
        Some(PreemptionOption { cost, machine: index, lost_time: found.lost, victims: found.residents })
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
            machine.residents[victim].leaving = true;
            preemption.tasks.push(machine.tasks[victim].clone());
        }
        preemption.lost_time += option.lost_time;
        let fitting = machine.tasks_that_fit(requirements).clamp(1, wanted_tasks);
        machine.slot.booked += requirements.resources.times(fitting);
        wanted_tasks -= fitting;
    }
    preemption
}

impl Core {
    /// A machine of an own shard as drains and displacement see it.
    pub(super) fn slot(&self, machine: &Machine, now: Instant) -> Slot {
        let epoch = self.role.leased_shards.get(&machine.shard).map(|h| h.epoch);
        Slot {
            machine: machine.id.to_string(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            capacity: machine.capacity,
            booked: machine.booked,
            open: epoch.is_some_and(|e| machine.open(e, self.silence(), now)),
        }
    }

    /// The tasks booked on a machine.
    pub(super) fn residents(
        &self,
        machine: &Machine,
        slot: usize,
        max_movable_age: Duration,
        now: Instant,
    ) -> Vec<(TaskId, Resident)> {
        let mut residents = Vec::new();
        for task in &machine.tasks {
            let Some(job) = self.open_job(&task.job) else { continue };
            let Some(placed) = job.placed.get(&task.index).filter(|p| !p.freed) else { continue };
            let progress = job.progress(placed, now);
            let resident = Resident {
                slot,
                requirements: job.requirements.clone(),
                age: progress.age,
                loss: progress.loss(),
                save_time: progress.time_to_save().unwrap_or_default(),
                movable: placed.committed && progress.age <= max_movable_age && !job.is_service(),
                leaving: placed.stop.is_some(),
                rank: self.effective_rank(job),
                // A replica gives way to a higher rank alone.
                over_quota: !job.is_service()
                    && self.teams.get(&job.spec.team).is_some_and(|b| b.over_quota()),
            };
            residents.push((task.clone(), resident));
        }
        residents
    }

    /// Stops work that has to give way to waiting work, where the least
    /// machine time is lost. What is leaving anyway counts as room that will be there.
    pub(super) fn preempt(&mut self, unplaced: &[Unplaced], now: Instant) {
        let is_urgent = |u: &Unplaced| {
            !u.here.is_empty() && self.open_job(&u.job).is_some_and(|j| j.spec.priority < Priority::Normal)
        };
        // Among ordinary work a guarantee is served first, but stops nothing:
        // work that is stopped for it waits in its turn, and so on.
        let claimants: Vec<&Unplaced> = unplaced.iter().filter(|u| is_urgent(u)).collect();
        let checked_recently =
            self.last_preemption.is_some_and(|at| now.saturating_duration_since(at) < PREEMPTION_INTERVAL);
        if claimants.is_empty() || checked_recently || self.role.leased_shards.is_empty() {
            return;
        }
        self.last_preemption = Some(now);
        let ranks = claimants.iter().filter_map(|u| self.open_job(&u.job)).map(|j| j.rank());
        let highest_rank = ranks.min().unwrap_or(0);
        let guaranteed = self.guaranteed();
        let mut machines: Vec<OccupiedMachine> = self
            .machines
            .values()
            .filter(|m| {
                let outranked = |t: &TaskId| self.open_job(&t.job).is_some_and(|j| j.rank() > highest_rank);
                self.is_holder(m.shard) && m.tasks.iter().any(outranked)
            })
            .map(|m| {
                let (tasks, residents) = self.residents(m, 0, Duration::MAX, now).into_iter().unzip();
                OccupiedMachine { shard: m.shard, slot: self.slot(m, now), tasks, residents }
            })
            .collect();
        let mut remaining = MAX_PREEMPTED_TASKS;
        for unplaced in claimants {
            let Some(job) = self.open_job(&unplaced.job) else { continue };
            let within_quota = guaranteed.get(&unplaced.job).copied().unwrap_or(false);
            let claim = Claim { rank: job.rank(), within_quota };
            // Replicas serve for long: what they need gives way however old.
            let max_loss = if job.is_service() { Duration::MAX } else { self.options.preempt_limit };
            let image_fetch_time =
                |machine: &OccupiedMachine| self.image_fetch_time(&machine.slot.machine, job);
            let mut stopped: Vec<TaskId> = Vec::new();
            let mut lost = Duration::ZERO;
            for (&shard, &wanted_tasks) in &unplaced.here {
                // What waits in a shard can use room in that shard alone: room
                // made elsewhere would be filled by others and made again.
                let mut shard_machines: Vec<&mut OccupiedMachine> =
                    machines.iter_mut().filter(|h| shard.is_none_or(|b| b == h.shard)).collect();
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
                tracing::info!(for_job = %unplaced.job, ?claim, tasks = stopped.len(), ?lost, "tasks give way");
            }
            for task in stopped {
                self.stop_committed_task(&task, Stop::Preempted, now);
            }
        }
    }

    /// How long the image of a job's tasks takes on a machine.
    fn image_fetch_time(&self, machine: &str, job: &OpenJob) -> Duration {
        let Some(machine) = self.machines.get(machine) else { return Duration::ZERO };
        if has_image(machine, &job.requirements) != ImagePresence::No {
            return Duration::ZERO;
        }
        let rate = f64::from(self.fetch_rate(&machine.machine_type)) / 1000.0;
        let seconds = if rate > 0.0 { job.spec.image_gb / rate } else { 0.0 };
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Asks for the end of a task that is recorded on a machine.
    pub(super) fn stop_committed_task(&mut self, task: &TaskId, why: Stop, now: Instant) {
        let placed = self.open_job(&task.job).and_then(|job| job.placed.get(&task.index));
        if placed.is_some_and(|p| p.committed) {
            self.request_task_stop(task, why, Duration::MAX, now);
        }
    }

    /// Asks for a task's end, with time to save if that is worth it and takes no
    /// longer than `time_left`.
    pub(super) fn request_task_stop(&mut self, task: &TaskId, why: Stop, time_left: Duration, now: Instant) {
        let Some(job) = self.open_job_mut(&task.job) else { return };
        let Some(placed) = job.placed.get(&task.index).filter(|p| p.stop.is_none()) else { return };
        let time_to_save = job.progress(placed, now).time_to_save().filter(|time| *time <= time_left);
        let machine = placed.machine.clone();
        if let Some(placed) = job.placed.get_mut(&task.index) {
            placed.stop = Some(why);
            placed.grace = time_to_save.map_or(Duration::ZERO, |time| time + CHECKPOINT_SAVE_MARGIN);
        }
        self.wakeups.command.insert(machine);
    }
}
