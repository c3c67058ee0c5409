//! Repacking: the young tasks of one underfilled machine are moved onto fuller
//! machines by graceful eviction, so that a waiting task that fits nowhere can
//! start there.

use crate::{MachineSnapshot, TaskRequirements};
use std::sync::Arc;
use std::time::Duration;

/// Slack on the share cap, so that a machine filled exactly to the cap is not
/// refused for a rounding error of the float division.
const SHARE_CAP_TOLERANCE: f64 = 1e-9;

/// A task running on a machine, as preemption and repacking see it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedTask {
    /// Index of its machine in the machines.
    pub machine: usize,
    /// What it needs.
    pub requirements: Arc<TaskRequirements>,
    /// How long it has been there.
    pub age: Duration,
    /// Machine time that is lost if it is stopped now.
    pub lost_if_stopped: Duration,
    /// How long it then saves before its room is free.
    pub save_time: Duration,
    /// Whether it may be moved at all.
    pub movable: bool,
    /// Whether it is being stopped already.
    pub stopping: bool,
    /// Its job's rank; lower numbers go first.
    pub rank: u8,
    /// Whether its team uses more than its guaranteed quota.
    pub over_quota: bool,
}

/// The bounds of a repack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepackLimits {
    /// Machines whose dominant booked share is at most this fraction may be
    /// emptied.
    pub max_source_share: f64,
    /// No machine is filled beyond this dominant share: min{theta, Umax}.
    pub max_target_share: f64,
    /// No task that has been on its machine longer than this is moved.
    pub max_task_age: Duration,
}

/// One task's move onto another machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskMove {
    /// Index into the placed_tasks.
    pub task: usize,
    /// Index of the machine in the machines that it goes to.
    pub to: usize,
}

/// A machine to empty by graceful eviction, and where its tasks go.
#[derive(Debug, Clone, PartialEq)]
pub struct RepackPlan {
    /// Index of the machine in the machines that is emptied.
    pub machine: usize,
    /// Index into the waiting tasks of the one that takes it.
    pub waiting_task: usize,
    /// Where its tasks go.
    pub moves: Vec<TaskMove>,
}

/// Looks for a machine to empty for the first of the waiting tasks that one can
/// help. Waiting tasks are given in the order in which they should start; all
/// of them fit nowhere now. Returns `None` if no machine can be emptied for any
/// of them within `limits`.
pub fn plan_repack(
    waiting: &[TaskRequirements],
    machines: &[MachineSnapshot],
    placed_tasks: &[PlacedTask],
    limits: RepackLimits,
) -> Option<RepackPlan> {
    // The machine whose tasks lose least goes first: without checkpoints, the one
    // whose tasks have run least.
    let mut candidate_machines: Vec<(Duration, usize)> = machines
        .iter()
        .enumerate()
        .filter(|(_, machine)| {
            machine.schedulable
                && machine.booked != Default::default()
                && machine.dominant_share() <= limits.max_source_share
        })
        .filter_map(|(index, _)| {
            let mut total = Duration::ZERO;
            for placed_task in placed_tasks.iter().filter(|placed_task| placed_task.machine == index) {
                if !placed_task.movable || placed_task.stopping || placed_task.age > limits.max_task_age {
                    return None;
                }
                total += placed_task.lost_if_stopped;
            }
            Some((total, index))
        })
        .collect();
    candidate_machines.sort();
    for (waiting_index, requirements) in waiting.iter().enumerate() {
        for &(_, index) in &candidate_machines {
            let machine = &machines[index];
            let helps = requirements.allows(&machine.machine_type, &machine.zone, machine.spot)
                && requirements.resources.fits(&machine.capacity)
                && !requirements.fits(machine);
            if !helps {
                continue;
            }
            if let Some(moves) =
                pack_onto_other_machines(index, machines, placed_tasks, limits.max_target_share)
            {
                return Some(RepackPlan { machine: index, waiting_task: waiting_index, moves });
            }
        }
    }
    None
}

/// Moves all tasks of a machine, largest first, each onto the fullest other machine
/// that takes it within the cap.
fn pack_onto_other_machines(
    from: usize,
    machines: &[MachineSnapshot],
    placed_tasks: &[PlacedTask],
    max_share: f64,
) -> Option<Vec<TaskMove>> {
    let mut booked: Vec<_> = machines.iter().map(|machine| machine.booked).collect();
    let mut tasks: Vec<usize> =
        (0..placed_tasks.len()).filter(|&task| placed_tasks[task].machine == from).collect();
    let size =
        |task: usize| placed_tasks[task].requirements.resources.dominant_share_of(&machines[from].capacity);
    tasks.sort_by(|&a, &b| size(b).total_cmp(&size(a)).then(a.cmp(&b)));
    let mut moves = Vec::new();
    for task in tasks {
        let requirements = &placed_tasks[task].requirements;
        let mut best: Option<(f64, usize)> = None;
        for (index, machine) in machines.iter().enumerate() {
            let allowed = requirements.allows(&machine.machine_type, &machine.zone, machine.spot);
            // An empty machine would have taken the waiting task itself.
            if index == from || !machine.schedulable || !allowed || booked[index] == Default::default() {
                continue;
            }
            let after = booked[index] + requirements.resources;
            let share = after.dominant_share_of(&machine.capacity);
            if !after.fits(&machine.capacity) || share > max_share + SHARE_CAP_TOLERANCE {
                continue;
            }
            let fullness = booked[index].dominant_share_of(&machine.capacity);
            if best.is_none_or(|(best_fullness, _)| fullness > best_fullness) {
                best = Some((fullness, index));
            }
        }
        let (_, to) = best?;
        booked[to] += requirements.resources;
        moves.push(TaskMove { task, to });
    }
    Some(moves)
}

#[cfg(test)]
pub(crate) mod tests;
