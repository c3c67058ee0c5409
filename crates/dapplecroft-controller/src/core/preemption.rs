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
const SAVE_MARGIN: Duration = Duration::from_secs(1);
/// Pause between two looks for work to displace, which go over all machines.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(250);

/// A machine with work that may have to give way.
struct Host {
    shard: u32,
    slot: Slot,
    tasks: Vec<TaskId>,
    residents: Vec<Resident>,
}

impl Host {
    /// How many tasks fit once all that is leaving has left.
    fn fits(&self, requirements: &TaskRequirements) -> i64 {
        let leaving: Resources =
            self.residents.iter().filter(|r| r.leaving).map(|r| r.requirements.resources).sum();
        requirements.resources.times_in(&(self.slot.room() + leaving))
    }
}

/// What room is to be made for.
struct RoomRequest<'a> {
    /// What each waiting task needs.
    requirements: &'a TaskRequirements,
    /// What entitles it to displace others.
    claim: Claim,
    /// How many tasks wait.
    wanted: i64,
    /// Most tasks that may be stopped.
    most: usize,
    /// No task that loses more is stopped.
    limit: Duration,
}

/// What is stopped to make room.
#[derive(Default)]
struct Preemption {
    tasks: Vec<TaskId>,
    /// Machine time that is lost.
    lost: Duration,
}

/// A machine on which room can be made.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Choice {
    /// Machine time that is lost, how long the waiting task has to wait for its
    /// room, and how long its image takes there.
    cost: Duration,
    /// Index of the host.
    host: usize,
    /// Machine time that is lost.
    lost: Duration,
    /// Indices of its residents that are stopped.
    victims: Vec<usize>,
}

/// Chooses what is stopped on some machines so that the wanted tasks fit, where
/// the least time is lost, theirs until they run included. What is leaving anyway counts as room that will be there.
fn make_room(
    hosts: &mut [&mut Host],
    request: &RoomRequest<'_>,
    fetch_time: impl Fn(&Host) -> Duration,
) -> Preemption {
    let requirements = request.requirements;
    let mut wanted = request.wanted;
    for host in hosts.iter_mut() {
        let allowed = requirements.allows(&host.slot.machine_type, &host.slot.zone, host.slot.spot);
        if wanted > 0 && host.slot.open && allowed {
            let fitting = host.fits(requirements).min(wanted);
            host.slot.booked += requirements.resources.times(fitting);
            wanted -= fitting;
        }
    }
    let choice = |(index, host): (usize, &&mut Host)| {
        let found = pick_victims(&host.slot, &host.residents, requirements, request.claim, request.limit)?;
        let cost = found.lost + found.delay + fetch_time(host);
        Some(Choice { cost, host: index, lost: found.lost, victims: found.residents })
    };
    let mut choices: Vec<Choice> = hosts.iter().enumerate().filter_map(choice).collect();
    choices.sort();
    let mut preemption = Preemption::default();
    for choice in choices {
        if wanted <= 0 || preemption.tasks.len() + choice.victims.len() > request.most {
            break;
        }
        let host = &mut hosts[choice.host];
        for victim in choice.victims {
            host.residents[victim].leaving = true;
            preemption.tasks.push(host.tasks[victim].clone());
        }
        preemption.lost += choice.lost;
        let fitting = host.fits(requirements).clamp(1, wanted);
        host.slot.booked += requirements.resources.times(fitting);
        wanted -= fitting;
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
        oldest: Duration,
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
                movable: placed.committed && progress.age <= oldest && !job.is_service(),
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
        let urgent = |u: &Unplaced| {
            !u.here.is_empty() && self.open_job(&u.job).is_some_and(|j| j.spec.priority < Priority::Normal)
        };
        // Among ordinary work a guarantee is served first, but stops nothing:
        // work that is stopped for it waits in its turn, and so on.
        let claimants: Vec<&Unplaced> = unplaced.iter().filter(|u| urgent(u)).collect();
        let recent =
            self.last_preemption.is_some_and(|at| now.saturating_duration_since(at) < PREEMPTION_INTERVAL);
        if claimants.is_empty() || recent || self.role.leased_shards.is_empty() {
            return;
        }
        self.last_preemption = Some(now);
        let ranks = claimants.iter().filter_map(|u| self.open_job(&u.job)).map(|j| j.rank());
        let best = ranks.min().unwrap_or(0);
        let guaranteed = self.guaranteed();
        let mut hosts: Vec<Host> = self
            .machines
            .values()
            .filter(|m| {
                let lower = |t: &TaskId| self.open_job(&t.job).is_some_and(|j| j.rank() > best);
                self.is_holder(m.shard) && m.tasks.iter().any(lower)
            })
            .map(|m| {
                let (tasks, residents) = self.residents(m, 0, Duration::MAX, now).into_iter().unzip();
                Host { shard: m.shard, slot: self.slot(m, now), tasks, residents }
            })
            .collect();
        let mut left = MAX_PREEMPTED_TASKS;
        for unplaced in claimants {
            let Some(job) = self.open_job(&unplaced.job) else { continue };
            let within = guaranteed.get(&unplaced.job).copied().unwrap_or(false);
            let claim = Claim { rank: job.rank(), within_quota: within };
            // Replicas serve for long: what they need gives way however old.
            let limit = if job.is_service() { Duration::MAX } else { self.options.max_preempted_loss };
            let fetch_time = |host: &Host| self.fetch_time(&host.slot.machine, job);
            let mut stopped: Vec<TaskId> = Vec::new();
            let mut lost = Duration::ZERO;
            for (&shard, &wanted) in &unplaced.here {
                // What waits in a shard can use room in that shard alone: room
                // made elsewhere would be filled by others and made again.
                let mut own: Vec<&mut Host> =
                    hosts.iter_mut().filter(|h| shard.is_none_or(|b| b == h.shard)).collect();
                let request =
                    RoomRequest { requirements: &unplaced.requirements, claim, wanted, most: left, limit };
                let preemption = make_room(&mut own, &request, fetch_time);
                left -= preemption.tasks.len();
                lost += preemption.lost;
                stopped.extend(preemption.tasks);
            }
            if !stopped.is_empty() {
                tracing::info!(for_job = %unplaced.job, ?claim, tasks = stopped.len(), ?lost, "tasks give way");
            }
            for task in stopped {
                self.stop(&task, Stop::Preempted, now);
            }
        }
    }

    /// How long the image of a job's tasks takes on a machine.
    fn fetch_time(&self, machine: &str, job: &OpenJob) -> Duration {
        let Some(machine) = self.machines.get(machine) else { return Duration::ZERO };
        if has_image(machine, &job.requirements) != ImagePresence::No {
            return Duration::ZERO;
        }
        let rate = f64::from(self.fetch_rate(&machine.machine_type)) / 1000.0;
        let seconds = if rate > 0.0 { job.spec.image_gb / rate } else { 0.0 };
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Asks for the end of a task that is recorded on a machine.
    pub(super) fn stop(&mut self, task: &TaskId, why: Stop, now: Instant) {
        let placed = self.open_job(&task.job).and_then(|job| job.placed.get(&task.index));
        if placed.is_some_and(|p| p.committed) {
            self.ask_for_end(task, why, Duration::MAX, now);
        }
    }

    /// Asks for a task's end, with time to save if that is worth it and takes no
    /// longer than `left`.
    pub(super) fn ask_for_end(&mut self, task: &TaskId, why: Stop, left: Duration, now: Instant) {
        let Some(job) = self.open_job_mut(&task.job) else { return };
        let Some(placed) = job.placed.get(&task.index).filter(|p| p.stop.is_none()) else { return };
        let time_to_save = job.progress(placed, now).time_to_save().filter(|time| *time <= left);
        let machine = placed.machine.clone();
        if let Some(placed) = job.placed.get_mut(&task.index) {
            placed.stop = Some(why);
            placed.grace = time_to_save.map_or(Duration::ZERO, |time| time + SAVE_MARGIN);
        }
        self.wakeups.command.insert(machine);
    }
}
