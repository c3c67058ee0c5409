//! Preemption: which running tasks of one machine give way so that a waiting
//! task fits there.

use crate::{MachineSnapshot, PlacedTask, Resources, TaskRequirements};
use std::time::Duration;

/// What entitles a waiting task to preempt running ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The waiting job's rank; lower numbers go first.
    pub rank: u8,
    /// Whether it lies within its team's guaranteed quota.
    pub within_quota: bool,
}

/// The tasks to preempt on one machine so that a waiting task fits there.
#[derive(Debug, Clone, PartialEq)]
pub struct Victims {
    /// Indices into the placed_tasks given to [`pick_victims`].
    pub tasks: Vec<usize>,
    /// Machine time that is lost with them, summed.
    pub lost_time: Duration,
    /// How long until their room is free: the longest time that any of them
    /// takes to save a checkpoint.
    pub eviction_delay: Duration,
}

/// What has to give way on one machine so that a waiting task fits, losing as
/// little work as can be, and no more than `limit` with any one task. A placed_task
/// may be preempted by a higher rank, or if its team is beyond its guaranteed
/// quota and the waiting task within its own. What is leaving counts as room
/// already.
///
/// Returns `None` if the machine is not open, the task is not allowed there or
/// larger than its capacity, the task fits without preempting anything, or no
/// choice within these rules makes room.
pub fn pick_victims(
    machine: &MachineSnapshot,
    placed_tasks: &[PlacedTask],
    requirements: &TaskRequirements,
    claim: Claim,
    limit: Duration,
) -> Option<Victims> {
    let allowed = requirements.allows(&machine.machine_type, &machine.zone, machine.spot);
    if !machine.schedulable || !allowed || !requirements.resources.fits(&machine.capacity) {
        return None;
    }
    let mut candidates: Vec<usize> = (0..placed_tasks.len())
        .filter(|&index| {
            let placed_task = &placed_tasks[index];
            !placed_task.stopping
                && placed_task.lost_if_stopped <= limit
                && (claim.rank < placed_task.rank || (claim.within_quota && placed_task.over_quota))
        })
        .collect();
    // A preempted task saves its checkpoint before its room is free, and the
    // waiting task waits for that, so the save time counts with the loss.
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
    // A task chosen early may have become unneeded once larger ones were added;
    // it keeps running, so that no more work is lost than the fit requires.
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
