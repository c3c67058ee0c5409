//! Preemption: which running tasks of one machine give way so that a waiting
//! task fits there.

use crate::{Amounts, Need, Resident, Slot};
use std::time::Duration;

/// What entitles a waiting task to preempt running ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The waiting job's rank; lower numbers go first.
    pub rank: u8,
    /// Whether it lies within its team's guaranteed quota.
    pub within_guarantee: bool,
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
    need: &Need,
    claim: Claim,
    limit: Duration,
) -> Option<Victims> {
    let allowed = need.allows(&slot.machine_type, &slot.zone, slot.spot);
    if !slot.open || !allowed || !need.amounts.fits(&slot.capacity) {
        return None;
    }
    let mut candidates: Vec<usize> = (0..residents.len())
        .filter(|&r| {
            let resident = &residents[r];
            !resident.leaving
                && resident.loss <= limit
                && (claim.rank < resident.rank || (claim.within_guarantee && resident.beyond_guarantee))
        })
        .collect();
    // The waiting task has to wait while one that gives way saves.
    candidates.sort_by_key(|&r| (residents[r].loss + residents[r].save_time, r));
    let leaving: Amounts = residents.iter().filter(|r| r.leaving).map(|r| r.need.amounts).sum();
    let mut room = slot.room() + leaving;
    let mut chosen = Vec::new();
    let mut lost = Duration::ZERO;
    for r in candidates {
        if need.amounts.fits(&room) {
            break;
        }
        room += residents[r].need.amounts;
        lost += residents[r].loss;
        chosen.push(r);
    }
    if chosen.is_empty() || !need.amounts.fits(&room) {
        return None;
    }
    // What turned out not to be needed stays.
    let mut kept = Vec::new();
    for &r in chosen.iter().rev() {
        let without: Amounts = room - residents[r].need.amounts;
        if need.amounts.fits(&without) {
            room = without;
            lost = lost.saturating_sub(residents[r].loss);
        } else {
            kept.push(r);
        }
    }
    let delay = kept.iter().map(|&r| residents[r].save_time).max().unwrap_or_default();
    Some(Victims { residents: kept, lost, delay })
}

#[cfg(test)]
mod tests;
