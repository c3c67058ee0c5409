use super::*;
use crate::place::tests::{need, slot};
use crate::repack::tests::resident;

fn ranked(slot: usize, cpus: f64, rank: u8, ran: u64) -> Resident {
    Resident { rank, ..resident(slot, cpus, ran) }
}

#[test]
fn only_lower_ranks_give_way_and_the_least_work_is_lost() {
    let slot = slot("b", 16.0, 16.0);
    let residents = [ranked(0, 8.0, 2, 10), ranked(0, 8.0, 2, 5)];
    let claim = Claim { rank: 1, within_guarantee: false };
    let hour = Duration::from_secs(3600);
    let found = pick_victims(&slot, &residents, &need(4.0), claim, hour).unwrap();
    assert_eq!((found.residents, found.lost), (vec![1], Duration::from_secs(5)));
    let same = Claim { rank: 2, within_guarantee: false };
    assert_eq!(pick_victims(&slot, &residents, &need(4.0), same, hour), None);
    let young = Duration::from_secs(4);
    assert_eq!(pick_victims(&slot, &residents, &need(4.0), claim, young), None);
}

#[test]
fn nothing_more_is_stopped_where_enough_is_leaving() {
    let mut leaves = ranked(0, 8.0, 2, 10);
    leaves.leaving = true;
    let residents = [leaves, ranked(0, 8.0, 2, 5)];
    let claim = Claim { rank: 1, within_guarantee: false };
    let hour = Duration::from_secs(3600);
    assert_eq!(pick_victims(&slot("b", 16.0, 16.0), &residents, &need(4.0), claim, hour), None);
}

#[test]
fn a_guarantee_displaces_what_another_team_borrowed() {
    let slot = slot("a", 16.0, 16.0);
    let mut borrowed = ranked(0, 16.0, 0, 50);
    let claim = Claim { rank: 3, within_guarantee: true };
    let hour = Duration::from_secs(3600);
    let find = |r: &Resident| pick_victims(&slot, std::slice::from_ref(r), &need(4.0), claim, hour);
    assert_eq!(find(&borrowed), None);
    borrowed.beyond_guarantee = true;
    assert!(find(&borrowed).is_some());
}
