//! Preemption: chooses which tasks of one machine are stopped so that a waiting
//! task fits there.

use crate::{MachineSnapshot, PlacedTask, Resources, TaskRequirements};
use std::time::Duration;

/// The properties of a waiting task that entitle it to preempt other tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Rank of the waiting task's job; lower numbers have precedence.
    pub rank: u8,
    /// Whether the waiting job lies within its team's guaranteed quota.
    pub within_quota: bool,
}

/// The tasks to preempt on one machine so that a waiting task fits there.
#[derive(Debug, Clone, PartialEq)]
pub struct Victims {
    /// Indices of the preempted tasks in the `placed_tasks` given to
    /// [`pick_victims`].
    pub tasks: Vec<usize>,
    /// Total machine time that is lost by stopping these tasks.
    pub lost_time: Duration,
    /// Time until the resources of all these tasks are free: the longest time that
    /// any of them takes to save its checkpoint.
    pub eviction_delay: Duration,
}

/// Chooses the tasks to preempt on one machine so that a waiting task fits there,
/// preferring tasks that lose little machine time; no task that would lose more than
/// `max_lost_time` is chosen. A task may be preempted by one of higher rank, or, if its team
/// is over its guaranteed quota, by one within its own team's guaranteed quota. The
/// resources of tasks that are already being stopped count as free.
///
/// Returns `None` if the machine is not schedulable, the waiting task is not allowed
/// on it or exceeds its capacity, the waiting task fits without preempting any task,
/// or it does not fit even if all tasks that may be preempted are stopped.
pub fn pick_victims(
    machine: &MachineSnapshot,
    placed_tasks: &[PlacedTask],
    requirements: &TaskRequirements,
    claim: Claim,
    max_lost_time: Duration,
) -> Option<Victims> {
    let allowed = requirements.allows(&machine.machine_type, &machine.zone, machine.spot);
    if !machine.schedulable || !allowed || !requirements.resources.fits(&machine.capacity) {
        return None;
    }
    let mut candidates: Vec<usize> = (0..placed_tasks.len())
        .filter(|&index| {
            let placed_task = &placed_tasks[index];
            !placed_task.stopping
                && placed_task.lost_if_stopped <= max_lost_time
                && (claim.rank < placed_task.rank || (claim.within_quota && placed_task.over_quota))
        })
        .collect();
    // A preempted task saves its checkpoint before its resources are free, and the
    // waiting task waits for that, so the save time is added to the lost time.
    candidates
        .sort_by_key(|&index| (placed_tasks[index].lost_if_stopped + placed_tasks[index].save_time, index));
    let freed_by_stopping: Resources = placed_tasks
        .iter()
        .filter(|placed_task| placed_task.stopping)
        .map(|placed_task| placed_task.requirements.resources)
        .sum();
    let mut room = machine.room() + freed_by_stopping;
    let mut chosen = Vec::new();
    let mut lost_time = Duration::ZERO;
    for index in candidates {
        if requirements.resources.fits(&room) {
            break;
        }
        room += placed_tasks[index].requirements.resources;
        lost_time += placed_tasks[index].lost_if_stopped;
        chosen.push(index);
    }
    if chosen.is_empty() || !requirements.resources.fits(&room) {
        return None;
    }
    // A task that was chosen early may be unnecessary once larger tasks were added.
    // Such a task keeps running, so that no work is lost needlessly.
    let mut needed = Vec::new();
    for &index in chosen.iter().rev() {
        let room_if_spared: Resources = room - placed_tasks[index].requirements.resources;
        if requirements.resources.fits(&room_if_spared) {
            room = room_if_spared;
            lost_time = lost_time.saturating_sub(placed_tasks[index].lost_if_stopped);
        } else {
            needed.push(index);
        }
    }
    let eviction_delay = needed.iter().map(|&index| placed_tasks[index].save_time).max().unwrap_or_default();
    Some(Victims { tasks: needed, lost_time, eviction_delay })
}

#[cfg(test)]
mod tests;
