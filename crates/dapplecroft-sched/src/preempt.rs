//! Which running work gives way to work that may displace it.

use crate::{Amounts, Need, Resident, Slot};
use std::time::Duration;

/// What entitles a waiting task to displace others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The waiting job's rank; lower numbers go first.
    pub rank: u8,
    /// Whether it lies within its team's guarantee.
    pub within_guarantee: bool,
}

/// Tasks to stop on one machine so that a waiting task fits there.
#[derive(Debug, Clone, PartialEq)]
pub struct Victims {
    /// Index of the slot.
    pub slot: usize,
    /// Indices into the residents.
    pub residents: Vec<usize>,
    /// Run time that is lost.
    pub lost: Duration,
}

/// Finds the machine where the least work is lost. A resident may be displaced
/// by a higher rank, or if its team is beyond its guarantee and the waiting
/// task within its own.
pub fn pick_victims(
    slots: &[Slot],
    residents: &[Resident],
    need: &Need,
    claim: Claim,
    zone_ok: impl Fn(&str) -> bool,
    limit: Duration,
) -> Option<Victims> {
    let mut best: Option<Victims> = None;
    for (index, slot) in slots.iter().enumerate() {
        let allowed = need.allows(&slot.machine_type, &slot.zone, slot.spot) && zone_ok(&slot.zone);
        if !slot.open || !allowed || !need.amounts.fits(&slot.capacity) {
            continue;
        }
        let mut candidates: Vec<usize> = (0..residents.len())
            .filter(|&r| {
                let resident = &residents[r];
                resident.slot == index
                    && !resident.leaving
                    && resident.ran <= limit
                    && (claim.rank < resident.rank || (claim.within_guarantee && resident.beyond_guarantee))
            })
            .collect();
        candidates.sort_by_key(|&r| (residents[r].ran, r));
        let mut room = slot.room();
        let mut chosen = Vec::new();
        let mut lost = Duration::ZERO;
        for r in candidates {
            if need.amounts.fits(&room) {
                break;
            }
            room += residents[r].need.amounts;
            lost += residents[r].ran;
            chosen.push(r);
        }
        if chosen.is_empty() || !need.amounts.fits(&room) {
            continue;
        }
        // What turned out not to be needed stays.
        let mut kept = Vec::new();
        for &r in chosen.iter().rev() {
            let without: Amounts = room - residents[r].need.amounts;
            if need.amounts.fits(&without) {
                room = without;
                lost -= residents[r].ran;
            } else {
                kept.push(r);
            }
        }
        if best.as_ref().is_none_or(|b| lost < b.lost) {
            best = Some(Victims { slot: index, residents: kept, lost });
        }
    }
    best
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::place::tests::{need, slot};
    use crate::repack::tests::resident;

    fn ranked(slot: usize, cpus: f64, rank: u8, ran: u64) -> Resident {
        Resident { rank, ..resident(slot, cpus, ran) }
    }

    #[test]
    fn only_lower_ranks_give_way_and_the_least_work_is_lost() {
        let slots = [slot("a", 16.0, 16.0), slot("b", 16.0, 16.0)];
        let residents = [ranked(0, 16.0, 2, 50), ranked(1, 8.0, 2, 10), ranked(1, 8.0, 2, 5)];
        let claim = Claim { rank: 1, within_guarantee: false };
        let hour = Duration::from_secs(3600);
        let found = pick_victims(&slots, &residents, &need(4.0), claim, |_| true, hour).unwrap();
        assert_eq!((found.slot, found.residents), (1, vec![2]));
        let same = Claim { rank: 2, within_guarantee: false };
        assert_eq!(pick_victims(&slots, &residents, &need(4.0), same, |_| true, hour), None);
    }

    #[test]
    fn a_guarantee_displaces_what_another_team_borrowed() {
        let slots = [slot("a", 16.0, 16.0)];
        let mut borrowed = ranked(0, 16.0, 0, 50);
        let claim = Claim { rank: 3, within_guarantee: true };
        let hour = Duration::from_secs(3600);
        let find =
            |r: &Resident| pick_victims(&slots, std::slice::from_ref(r), &need(4.0), claim, |_| true, hour);
        assert_eq!(find(&borrowed), None);
        borrowed.beyond_guarantee = true;
        assert!(find(&borrowed).is_some());
    }
}
