//! Repacking: drains one underused machine by moving its recently placed tasks onto
//! other machines (graceful eviction), so that a waiting task that fits on no machine
//! can start on the drained one.

use crate::{MachineSnapshot, TaskRequirements};
use std::sync::Arc;
use std::time::Duration;

/// Tolerance on the maximum target share, so that a machine filled exactly to that
/// share is not rejected because of a floating-point rounding error.
const SHARE_CAP_TOLERANCE: f64 = 1e-9;

/// A task that is placed on a machine, as used by preemption and repacking.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedTask {
    /// Index of the task's machine in the `machines` given to [`plan_repack`].
    pub machine: usize,
    /// Requirements of the task.
    pub requirements: Arc<TaskRequirements>,
    /// Time since the task was placed on the machine.
    pub age: Duration,
    /// Machine time that is lost if the task is stopped now.
    pub lost_if_stopped: Duration,
    /// Time that a stopped task spends saving its checkpoint before its resources are
    /// free.
    pub save_time: Duration,
    /// Whether repacking may move the task.
    pub movable: bool,
    /// Whether the task is already being stopped.
    pub stopping: bool,
    /// Rank of the task's job; lower numbers have precedence.
    pub rank: u8,
    /// Whether a waiting task within its own guaranteed quota may preempt this task
    /// because this task's team uses more than its guaranteed quota.
    pub over_quota: bool,
}

/// Limits on which machines and tasks a repack may touch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepackLimits {
    /// Only machines whose dominant share of booked resources is at most this
    /// fraction may be drained.
    pub max_source_share: f64,
    /// No machine is filled beyond this dominant share. The caller passes the smaller
    /// of the highest share that machines reached recently and the whole machine, 1.0.
    pub max_target_share: f64,
    /// Tasks that have been on their machine longer than this are not moved.
    pub max_task_age: Duration,
}

/// The move of one task onto another machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskMove {
    /// Index of the task in the `placed_tasks` given to [`plan_repack`].
    pub task: usize,
    /// Index of the task's new machine in `machines`.
    pub to: usize,
}

/// A machine to drain by graceful eviction, and where its tasks move.
#[derive(Debug, Clone, PartialEq)]
pub struct RepackPlan {
    /// Index of the drained machine in the `machines` given to [`plan_repack`].
    pub machine: usize,
    /// Index in `waiting` of the task that will start on the drained machine.
    pub waiting_task: usize,
    /// New machine of each of the drained machine's tasks.
    pub moves: Vec<TaskMove>,
}

/// Looks for a machine to drain for the first waiting task that can start on a
/// drained machine. `waiting` holds tasks that fit on no machine now, in the order in
/// which they should start. Returns `None` if no machine can be drained for any of
/// them within `limits`.
pub fn plan_repack(
    waiting: &[TaskRequirements],
    machines: &[MachineSnapshot],
    placed_tasks: &[PlacedTask],
    limits: RepackLimits,
) -> Option<RepackPlan> {
    // Machines whose tasks lose the least machine time are tried first. Without
    // checkpoints, these are the machines whose tasks were placed most recently.
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

/// Assigns every task of machine `from`, largest first, to the fullest other machine
/// that has room for the task and stays within `max_share`. Returns `None` if one of
/// the tasks fits on no other machine.
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
            // Empty machines are not considered as targets: one on which the waiting task
            // is allowed would have taken that task already.
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
