//! Preemption: which running tasks of one machine give way so that a waiting
//! task fits there.

use crate::{Resident, Resources, Slot, TaskRequirements};
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
    /// Indices into the residents given to [`pick_victims`].
    pub residents: Vec<usize>,
    /// Machine time that is lost with them, summed.
    pub lost: Duration,
    /// How long until their room is free: the longest time that any of them
    /// takes to save a checkpoint.
    pub delay: Duration,
}

/// What has to give way on one machine so that a waiting task fits, losing as
/// little work as can be, and no more than `limit` with any one task. A resident
/// may be preempted by a higher rank, or if its team is beyond its guaranteed
/// quota and the waiting task within its own. What is leaving counts as room
/// already.
///
/// Returns `None` if the machine is not open, the task is not allowed there or
/// larger than its capacity, the task fits without preempting anything, or no
/// choice within these rules makes room.
pub fn pick_victims(
    slot: &Slot,
    residents: &[Resident],
    requirements: &TaskRequirements,
    claim: Claim,
    limit: Duration,
) -> Option<Victims> {
    let allowed = requirements.allows(&slot.machine_type, &slot.zone, slot.spot);
    if !slot.open || !allowed || !requirements.resources.fits(&slot.capacity) {
        return None;
    }
    let mut candidates: Vec<usize> = (0..residents.len())
        .filter(|&index| {
            let resident = &residents[index];
            !resident.leaving
                && resident.loss <= limit
                && (claim.rank < resident.rank || (claim.within_quota && resident.over_quota))
        })
        .collect();
    // A preempted task saves its checkpoint before its room is free, and the
    // waiting task waits for that, so the save time counts with the loss.
    candidates.sort_by_key(|&index| (residents[index].loss + residents[index].save_time, index));
    let leaving: Resources = residents
        .iter()
        .filter(|resident| resident.leaving)
        .map(|resident| resident.requirements.resources)
        .sum();
    let mut room = slot.room() + leaving;
    let mut chosen = Vec::new();
    let mut lost = Duration::ZERO;
    for index in candidates {
        if requirements.resources.fits(&room) {
            break;
        }
        room += residents[index].requirements.resources;
        lost += residents[index].loss;
        chosen.push(index);
    }
    if chosen.is_empty() || !requirements.resources.fits(&room) {
        return None;
    }
    // A task chosen early may have become unneeded once larger ones were added;
    // it keeps running, so that no more work is lost than the fit requires.
    let mut kept = Vec::new();
    for &index in chosen.iter().rev() {
        let without: Resources = room - residents[index].requirements.resources;
        if requirements.resources.fits(&without) {
            room = without;
            lost = lost.saturating_sub(residents[index].loss);
        } else {
            kept.push(index);
        }
    }
    let delay = kept.iter().map(|&index| residents[index].save_time).max().unwrap_or_default();
    Some(Victims { residents: kept, lost, delay })
}

#[cfg(test)]
mod tests;
