use super::*;
use crate::place::tests::{machine, requirements};

pub(crate) fn placed_task(machine: usize, cpus: f64, age: u64) -> PlacedTask {
    PlacedTask {
        machine,
        requirements: requirements(cpus).into(),
        age: Duration::from_secs(age),
        lost_if_stopped: Duration::from_secs(age),
        save_time: Duration::ZERO,
        movable: true,
        stopping: false,
        rank: 2,
        over_quota: false,
    }
}

const LIMITS: RepackLimits =
    RepackLimits { max_source_share: 0.5, max_target_share: 1.0, max_task_age: Duration::from_secs(10) };

#[test]
fn underfilled_machine_losing_least_is_drained_into_the_fullest() {
    let machines = [machine("a", 16.0, 6.0), machine("b", 16.0, 8.0), machine("c", 16.0, 10.0)];
    let placed_tasks =
        [placed_task(0, 2.0, 3), placed_task(0, 4.0, 1), placed_task(1, 8.0, 9), placed_task(2, 10.0, 30)];
    let plan = plan_repack(&[requirements(16.0)], &machines, &placed_tasks, LIMITS).unwrap();
    assert_eq!((plan.machine, plan.waiting_task), (0, 0));
    // The largest task is moved first; both go to "c", the fullest machine.
    assert_eq!(plan.moves, [TaskMove { task: 1, to: 2 }, TaskMove { task: 0, to: 2 }]);
}

#[test]
fn no_machine_is_drained_without_benefit_or_beyond_limits() {
    let machines = [machine("a", 16.0, 6.0), machine("b", 16.0, 12.0)];
    let young = [placed_task(0, 6.0, 3), placed_task(1, 12.0, 3)];
    // The task on "a" fits on no other machine.
    assert_eq!(plan_repack(&[requirements(16.0)], &machines, &young, LIMITS), None);
    let fits = [machine("a", 16.0, 4.0), machine("b", 16.0, 12.0)];
    let mut small = [placed_task(0, 4.0, 3), placed_task(1, 12.0, 3)];
    assert!(plan_repack(&[requirements(16.0)], &fits, &small, LIMITS).is_some());
    // Moving the task would fill "b" beyond the maximum target share.
    assert_eq!(
        plan_repack(&[requirements(16.0)], &fits, &small, RepackLimits { max_target_share: 0.9, ..LIMITS }),
        None
    );
    // The placed task is too old, then the machine too full to be drained, then the
    // waiting task too large for the drained machine.
    small[0].age = Duration::from_secs(11);
    assert_eq!(plan_repack(&[requirements(16.0)], &fits, &small, LIMITS), None);
    small[0].age = Duration::from_secs(1);
    assert_eq!(
        plan_repack(&[requirements(16.0)], &fits, &small, RepackLimits { max_source_share: 0.2, ..LIMITS }),
        None
    );
    assert_eq!(plan_repack(&[requirements(17.0)], &fits, &small, LIMITS), None);
}

// Regression test: the age of the tasks decided instead of the time that they lose. A
// machine whose tasks had just saved a checkpoint was spared, and one whose tasks lost
// all of their work was drained.
#[test]
fn drains_the_machine_whose_tasks_lose_least() {
    let machines = [machine("a", 16.0, 4.0), machine("b", 16.0, 4.0), machine("c", 16.0, 8.0)];
    let mut placed_tasks = [placed_task(0, 4.0, 6), placed_task(1, 4.0, 9), placed_task(2, 8.0, 30)];
    assert_eq!(plan_repack(&[requirements(16.0)], &machines, &placed_tasks, LIMITS).unwrap().machine, 0);
    placed_tasks[1].lost_if_stopped = Duration::from_secs(2);
    assert_eq!(plan_repack(&[requirements(16.0)], &machines, &placed_tasks, LIMITS).unwrap().machine, 1);
}
