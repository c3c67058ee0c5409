//! Repacking: the young tasks of one underfilled machine are moved onto fuller
//! machines by graceful eviction, so that a waiting task that fits nowhere can
//! start there.

use crate::{Slot, TaskRequirements};
use std::sync::Arc;
use std::time::Duration;

/// Slack on the share cap, so that a machine filled exactly to the cap is not
/// refused for a rounding error of the float division.
const SHARE_CAP_TOLERANCE: f64 = 1e-9;

/// A task running on a machine, as preemption and repacking see it.
#[derive(Debug, Clone, PartialEq)]
pub struct Resident {
    /// Index of its machine in the slots.
    pub slot: usize,
    /// What it needs.
    pub requirements: Arc<TaskRequirements>,
    /// How long it has been there.
    pub age: Duration,
    /// Machine time that is lost if it is stopped now.
    pub loss: Duration,
    /// How long it then saves before its room is free.
    pub save_time: Duration,
    /// Whether it may be moved at all.
    pub movable: bool,
    /// Whether it is being stopped already.
    pub leaving: bool,
    /// Its job's rank; lower numbers go first.
    pub rank: u8,
    /// Whether its team uses more than its guaranteed quota.
    pub over_quota: bool,
}

/// The bounds of a repack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepackRules {
    /// Machines whose dominant booked share is at most this fraction may be
    /// emptied.
    pub trigger: f64,
    /// No machine is filled beyond this dominant share: min{theta, Umax}.
    pub cap: f64,
    /// No task that has been on its machine longer than this is moved.
    pub oldest: Duration,
}

/// One task's move onto another machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskMove {
    /// Index into the residents.
    pub resident: usize,
    /// Index of the machine in the slots that it goes to.
    pub to: usize,
}

/// A machine to empty by graceful eviction, and where its tasks go.
#[derive(Debug, Clone, PartialEq)]
pub struct RepackPlan {
    /// Index of the machine in the slots that is emptied.
    pub slot: usize,
    /// Index into the waiting tasks of the one that takes it.
    pub waiting: usize,
    /// Where its tasks go.
    pub moves: Vec<TaskMove>,
}

/// Looks for a machine to empty for the first of the waiting tasks that one can
/// help. Waiting tasks are given in the order in which they should start; all
/// of them fit nowhere now. Returns `None` if no machine can be emptied for any
/// of them within `rules`.
pub fn plan_repack(
    waiting: &[TaskRequirements],
    slots: &[Slot],
    residents: &[Resident],
    rules: RepackRules,
) -> Option<RepackPlan> {
    // The machine whose tasks lose least goes first: without checkpoints, the one
    // whose tasks have run least.
    let mut candidate_machines: Vec<(Duration, usize)> = slots
        .iter()
        .enumerate()
        .filter(|(_, slot)| slot.open && slot.booked != Default::default() && slot.share() <= rules.trigger)
        .filter_map(|(index, _)| {
            let mut total = Duration::ZERO;
            for resident in residents.iter().filter(|resident| resident.slot == index) {
                if !resident.movable || resident.leaving || resident.age > rules.oldest {
                    return None;
                }
                total += resident.loss;
            }
            Some((total, index))
        })
        .collect();
    candidate_machines.sort();
    for (position, requirements) in waiting.iter().enumerate() {
        for &(_, index) in &candidate_machines {
            let slot = &slots[index];
            let helps = requirements.allows(&slot.machine_type, &slot.zone, slot.spot)
                && requirements.resources.fits(&slot.capacity)
                && !requirements.fits(slot);
            if !helps {
                continue;
            }
            if let Some(moves) = pack_onto_other_machines(index, slots, residents, rules.cap) {
                return Some(RepackPlan { slot: index, waiting: position, moves });
            }
        }
    }
    None
}

/// Moves all tasks of a slot, largest first, each onto the fullest other slot
/// that takes it within the cap.
fn pack_onto_other_machines(
    from: usize,
    slots: &[Slot],
    residents: &[Resident],
    cap: f64,
) -> Option<Vec<TaskMove>> {
    let mut booked: Vec<_> = slots.iter().map(|slot| slot.booked).collect();
    let mut tasks: Vec<usize> = (0..residents.len()).filter(|&task| residents[task].slot == from).collect();
    let size = |task: usize| residents[task].requirements.resources.share_of(&slots[from].capacity);
    tasks.sort_by(|&a, &b| size(b).total_cmp(&size(a)).then(a.cmp(&b)));
    let mut moves = Vec::new();
    for task in tasks {
        let requirements = &residents[task].requirements;
        let mut best: Option<(f64, usize)> = None;
        for (index, slot) in slots.iter().enumerate() {
            let allowed = requirements.allows(&slot.machine_type, &slot.zone, slot.spot);
            // An empty machine would have taken the waiting task itself.
            if index == from || !slot.open || !allowed || booked[index] == Default::default() {
                continue;
            }
            let after = booked[index] + requirements.resources;
            let share = after.share_of(&slot.capacity);
            if !after.fits(&slot.capacity) || share > cap + SHARE_CAP_TOLERANCE {
                continue;
            }
            let fullness = booked[index].share_of(&slot.capacity);
            if best.is_none_or(|(best_fullness, _)| fullness > best_fullness) {
                best = Some((fullness, index));
            }
        }
        let (_, to) = best?;
        booked[to] += requirements.resources;
        moves.push(TaskMove { resident: task, to });
    }
    Some(moves)
}

#[cfg(test)]
pub(crate) mod tests;
