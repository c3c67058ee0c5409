use super::*;
use crate::place::tests::{machine, requirements};
use crate::repack::tests::placed_task;

fn ranked(machine: usize, cpus: f64, rank: u8, age: u64) -> PlacedTask {
    PlacedTask { rank, ..placed_task(machine, cpus, age) }
}

#[test]
fn only_lower_ranks_are_preempted_and_least_work_is_lost() {
    let machine = machine("b", 16.0, 16.0);
    let placed_tasks = [ranked(0, 8.0, 2, 10), ranked(0, 8.0, 2, 5)];
    let claim = Claim { rank: 1, within_quota: false };
    let hour = Duration::from_secs(3600);
    let found = pick_victims(&machine, &placed_tasks, &requirements(4.0), claim, hour).unwrap();
    assert_eq!((found.tasks, found.lost_time), (vec![1], Duration::from_secs(5)));
    let same = Claim { rank: 2, within_quota: false };
    assert_eq!(pick_victims(&machine, &placed_tasks, &requirements(4.0), same, hour), None);
    let young = Duration::from_secs(4);
    assert_eq!(pick_victims(&machine, &placed_tasks, &requirements(4.0), claim, young), None);
}

#[test]
fn no_task_is_preempted_when_stopping_tasks_free_enough_room() {
    let mut stopping_task = ranked(0, 8.0, 2, 10);
    stopping_task.stopping = true;
    let placed_tasks = [stopping_task, ranked(0, 8.0, 2, 5)];
    let claim = Claim { rank: 1, within_quota: false };
    let hour = Duration::from_secs(3600);
    assert_eq!(pick_victims(&machine("b", 16.0, 16.0), &placed_tasks, &requirements(4.0), claim, hour), None);
}

#[test]
fn a_task_within_quota_preempts_one_over_quota() {
    let machine = machine("a", 16.0, 16.0);
    let mut over_quota_task = ranked(0, 16.0, 0, 50);
    let claim = Claim { rank: 3, within_quota: true };
    let hour = Duration::from_secs(3600);
    let find =
        |r: &PlacedTask| pick_victims(&machine, std::slice::from_ref(r), &requirements(4.0), claim, hour);
    assert_eq!(find(&over_quota_task), None);
    over_quota_task.over_quota = true;
    assert!(find(&over_quota_task).is_some());
}

// Regression test: the lost time was taken to be the time since the task's start. A
// task that saves a checkpoint every 20 s could then no longer be preempted after a
// minute, and younger tasks without checkpoints were stopped instead and lost all of
// their work.
#[test]
fn a_task_with_checkpoints_is_preempted_before_a_younger_one_without() {
    let machine = machine("b", 16.0, 16.0);
    let mut placed_tasks = [ranked(0, 8.0, 2, 300), ranked(0, 8.0, 2, 12)];
    let claim = Claim { rank: 1, within_quota: false };
    let limit = Duration::from_secs(60);
    let find = |placed_tasks: &[PlacedTask]| {
        pick_victims(&machine, placed_tasks, &requirements(4.0), claim, limit).unwrap()
    };
    assert_eq!(find(&placed_tasks).tasks, [1]);
    placed_tasks[0].lost_if_stopped = Duration::from_secs(5);
    placed_tasks[0].save_time = Duration::from_secs(2);
    let found = find(&placed_tasks);
    assert_eq!((found.tasks, found.lost_time), (vec![0], Duration::from_secs(5)));
    assert_eq!(found.eviction_delay, Duration::from_secs(2));
    // The save time of 2 s, during which the waiting task has to wait, counts too:
    // 5 s lost plus 2 s saving is worse than 6 s lost.
    placed_tasks[1].lost_if_stopped = Duration::from_secs(6);
    assert_eq!(find(&placed_tasks).tasks, [1]);
}
