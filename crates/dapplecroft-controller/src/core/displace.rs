//! Work that has to give way to waiting work of a higher rank.

use super::Core;
use super::placing::Unplaced;
use crate::jobs::{Stop, TaskId};
use crate::machines::Machine;
use dapplecroft_sched::{Amounts, Claim, Need, Resident, Slot, pick_victims};
use dapplecroft_wire::users::Rank;
use std::time::{Duration, Instant};

/// Most tasks stopped at a time.
const MAX_DISPLACED: usize = 40;
/// What a task that saves is given beyond the time that it needs.
const SAVE_MARGIN: Duration = Duration::from_secs(1);
/// Pause between two looks for work to displace, which go over all machines.
const DISPLACEMENT_INTERVAL: Duration = Duration::from_millis(250);

/// A machine with work that may have to give way.
struct Host {
    block: u32,
    slot: Slot,
    tasks: Vec<TaskId>,
    residents: Vec<Resident>,
}

impl Host {
    /// How many tasks fit once all that is leaving has left.
    fn fits(&self, need: &Need) -> i64 {
        let leaving: Amounts = self.residents.iter().filter(|r| r.leaving).map(|r| r.need.amounts).sum();
        need.amounts.times_in(&(self.slot.room() + leaving))
    }
}

/// Chooses what is stopped on some machines so that up to `wanted` tasks fit,
/// where the least machine time is lost. What is leaving anyway counts as room that
/// will be there. Returns the tasks and the time that is lost.
fn make_room(
    hosts: &mut [&mut Host],
    need: &Need,
    claim: Claim,
    mut wanted: i64,
    most: usize,
    limit: Duration,
) -> (Vec<TaskId>, Duration) {
    for host in hosts.iter_mut() {
        let allowed = need.allows(&host.slot.machine_type, &host.slot.zone, host.slot.spot);
        if wanted > 0 && host.slot.open && allowed {
            let n = host.fits(need).min(wanted);
            host.slot.booked += need.amounts.times(n);
            wanted -= n;
        }
    }
    let mut choices: Vec<(Duration, usize, Vec<usize>)> = hosts
        .iter()
        .enumerate()
        .filter_map(|(index, host)| {
            let found = pick_victims(&host.slot, &host.residents, need, claim, limit)?;
            Some((found.lost, index, found.residents))
        })
        .collect();
    choices.sort();
    let (mut stopped, mut lost) = (Vec::new(), Duration::ZERO);
    for (ran, index, victims) in choices {
        if wanted <= 0 || stopped.len() + victims.len() > most {
            break;
        }
        let host = &mut hosts[index];
        for victim in victims {
            host.residents[victim].leaving = true;
            stopped.push(host.tasks[victim].clone());
        }
        lost += ran;
        let n = host.fits(need).clamp(1, wanted);
        host.slot.booked += need.amounts.times(n);
        wanted -= n;
    }
    (stopped, lost)
}

impl Core {
    /// A machine of an own block as drains and displacement see it.
    pub(super) fn slot(&self, machine: &Machine, now: Instant) -> Slot {
        let epoch = self.role.leased_blocks.get(&machine.block).map(|h| h.epoch);
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
                need: job.need.clone(),
                age: progress.age,
                loss: progress.loss(),
                movable: placed.committed && progress.age <= oldest && !job.is_service(),
                leaving: placed.stop.is_some(),
                rank: self.effective_rank(job),
                // A replica gives way to a higher rank alone.
                beyond_guarantee: !job.is_service()
                    && self.teams.get(&job.spec.team).is_some_and(|b| b.beyond_guarantee()),
            };
            residents.push((task.clone(), resident));
        }
        residents
    }

    /// Stops work that has to give way to waiting work, where the least
    /// machine time is lost. What is leaving anyway counts as room that will be there.
    pub(super) fn displace(&mut self, unplaced: &[Unplaced], now: Instant) {
        let urgent = |u: &Unplaced| {
            !u.here.is_empty() && self.open_job(&u.job).is_some_and(|j| j.spec.priority < Rank::Normal)
        };
        // Among ordinary work a guarantee is served first, but stops nothing:
        // work that is stopped for it waits in its turn, and so on.
        let claimants: Vec<&Unplaced> = unplaced.iter().filter(|u| urgent(u)).collect();
        let recent =
            self.displaced.is_some_and(|at| now.saturating_duration_since(at) < DISPLACEMENT_INTERVAL);
        if claimants.is_empty() || recent || self.role.leased_blocks.is_empty() {
            return;
        }
        self.displaced = Some(now);
        let ranks = claimants.iter().filter_map(|u| self.open_job(&u.job)).map(|j| j.rank());
        let best = ranks.min().unwrap_or(0);
        let guaranteed = self.guaranteed();
        let mut hosts: Vec<Host> = self
            .machines
            .values()
            .filter(|m| {
                let lower = |t: &TaskId| self.open_job(&t.job).is_some_and(|j| j.rank() > best);
                self.is_holder(m.block) && m.tasks.iter().any(lower)
            })
            .map(|m| {
                let (tasks, residents) = self.residents(m, 0, Duration::MAX, now).into_iter().unzip();
                Host { block: m.block, slot: self.slot(m, now), tasks, residents }
            })
            .collect();
        let mut left = MAX_DISPLACED;
        for unplaced in claimants {
            let Some(job) = self.open_job(&unplaced.job) else { continue };
            let within = guaranteed.get(&unplaced.job).copied().unwrap_or(false);
            let claim = Claim { rank: job.rank(), within_guarantee: within };
            let mut stopped: Vec<TaskId> = Vec::new();
            let mut lost = Duration::ZERO;
            for (&block, &wanted) in &unplaced.here {
                // What waits in a block can use room in that block alone: room
                // made elsewhere would be filled by others and made again.
                let mut own: Vec<&mut Host> =
                    hosts.iter_mut().filter(|h| block.is_none_or(|b| b == h.block)).collect();
                // Replicas serve for long: what they need gives way however old.
                let limit = if job.is_service() { Duration::MAX } else { self.options.preempt_limit };
                let (tasks, ran) = make_room(&mut own, &unplaced.need, claim, wanted, left, limit);
                left -= tasks.len();
                lost += ran;
                stopped.extend(tasks);
            }
            if !stopped.is_empty() {
                tracing::info!(for_job = %unplaced.job, ?claim, tasks = stopped.len(), ?lost, "tasks give way");
            }
            for task in stopped {
                self.stop(&task, Stop::Preempted, now);
            }
        }
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
