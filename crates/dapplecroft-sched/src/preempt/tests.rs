use super::*;
use crate::place::tests::{requirements, slot};
use crate::repack::tests::resident;

fn ranked(slot: usize, cpus: f64, rank: u8, ran: u64) -> Resident {
    Resident { rank, ..resident(slot, cpus, ran) }
}

#[test]
fn only_lower_ranks_give_way_and_the_least_work_is_lost() {
    let slot = slot("b", 16.0, 16.0);
    let residents = [ranked(0, 8.0, 2, 10), ranked(0, 8.0, 2, 5)];
    let claim = Claim { rank: 1, within_quota: false };
    let hour = Duration::from_secs(3600);
    let found = pick_victims(&slot, &residents, &requirements(4.0), claim, hour).unwrap();
    assert_eq!((found.residents, found.lost), (vec![1], Duration::from_secs(5)));
    let same = Claim { rank: 2, within_quota: false };
    assert_eq!(pick_victims(&slot, &residents, &requirements(4.0), same, hour), None);
    let young = Duration::from_secs(4);
    assert_eq!(pick_victims(&slot, &residents, &requirements(4.0), claim, young), None);
}

#[test]
fn nothing_more_is_preempted_where_enough_is_leaving() {
    let mut leaves = ranked(0, 8.0, 2, 10);
    leaves.leaving = true;
    let residents = [leaves, ranked(0, 8.0, 2, 5)];
    let claim = Claim { rank: 1, within_quota: false };
    let hour = Duration::from_secs(3600);
    assert_eq!(pick_victims(&slot("b", 16.0, 16.0), &residents, &requirements(4.0), claim, hour), None);
}

#[test]
fn a_task_within_quota_preempts_one_over_quota() {
    let slot = slot("a", 16.0, 16.0);
    let mut over_quota_task = ranked(0, 16.0, 0, 50);
    let claim = Claim { rank: 3, within_quota: true };
    let hour = Duration::from_secs(3600);
    let find = |r: &Resident| pick_victims(&slot, std::slice::from_ref(r), &requirements(4.0), claim, hour);
    assert_eq!(find(&over_quota_task), None);
    over_quota_task.over_quota = true;
    assert!(find(&over_quota_task).is_some());
}

// What a stop loses was taken for the time since the start: a task that saves every
// 20 s could not be preempted after a minute, and younger ones that lost all were.
#[test]
fn an_old_task_that_saves_gives_way_before_a_younger_one_that_does_not() {
    let slot = slot("b", 16.0, 16.0);
    let mut residents = [ranked(0, 8.0, 2, 300), ranked(0, 8.0, 2, 12)];
    let claim = Claim { rank: 1, within_quota: false };
    let limit = Duration::from_secs(60);
    let find =
        |residents: &[Resident]| pick_victims(&slot, residents, &requirements(4.0), claim, limit).unwrap();
    assert_eq!(find(&residents).residents, [1]);
    residents[0].loss = Duration::from_secs(5);
    residents[0].save_time = Duration::from_secs(2);
    let found = find(&residents);
    assert_eq!((found.residents, found.lost), (vec![0], Duration::from_secs(5)));
    assert_eq!(found.delay, Duration::from_secs(2));
    // The waiting task's time counts as well.
    residents[1].loss = Duration::from_secs(6);
    assert_eq!(find(&residents).residents, [1]);
}
