use super::*;
use crate::place::tests::{requirements, slot};

pub(crate) fn resident(slot: usize, cpus: f64, age: u64) -> Resident {
    Resident {
        slot,
        requirements: requirements(cpus).into(),
        age: Duration::from_secs(age),
        loss: Duration::from_secs(age),
        save_time: Duration::ZERO,
        movable: true,
        leaving: false,
        rank: 2,
        over_quota: false,
    }
}

const RULES: RepackRules = RepackRules { trigger: 0.5, cap: 1.0, oldest: Duration::from_secs(10) };

#[test]
fn the_youngest_underfilled_machine_is_emptied_into_the_fullest() {
    let slots = [slot("a", 16.0, 6.0), slot("b", 16.0, 8.0), slot("c", 16.0, 10.0)];
    let residents = [resident(0, 2.0, 3), resident(0, 4.0, 1), resident(1, 8.0, 9), resident(2, 10.0, 30)];
    let plan = plan_repack(&[requirements(16.0)], &slots, &residents, RULES).unwrap();
    assert_eq!((plan.slot, plan.waiting), (0, 0));
    // Largest first onto the fullest, both onto "c".
    assert_eq!(plan.moves, [TaskMove { resident: 1, to: 2 }, TaskMove { resident: 0, to: 2 }]);
}

#[test]
fn no_machine_is_evicted_in_vain() {
    let slots = [slot("a", 16.0, 6.0), slot("b", 16.0, 12.0)];
    let young = [resident(0, 6.0, 3), resident(1, 12.0, 3)];
    // The task would not fit elsewhere.
    assert_eq!(plan_repack(&[requirements(16.0)], &slots, &young, RULES), None);
    let fits = [slot("a", 16.0, 4.0), slot("b", 16.0, 12.0)];
    let mut small = [resident(0, 4.0, 3), resident(1, 12.0, 3)];
    assert!(plan_repack(&[requirements(16.0)], &fits, &small, RULES).is_some());
    // The cap keeps machines from being filled further than lately.
    assert_eq!(plan_repack(&[requirements(16.0)], &fits, &small, RepackRules { cap: 0.9, ..RULES }), None);
    // Too old, too full, or no help to the waiting task.
    small[0].age = Duration::from_secs(11);
    assert_eq!(plan_repack(&[requirements(16.0)], &fits, &small, RULES), None);
    small[0].age = Duration::from_secs(1);
    assert_eq!(
        plan_repack(&[requirements(16.0)], &fits, &small, RepackRules { trigger: 0.2, ..RULES }),
        None
    );
    assert_eq!(plan_repack(&[requirements(17.0)], &fits, &small, RULES), None);
}

// A machine whose tasks had just saved was left alone, and one whose tasks lost
// all was emptied.
#[test]
fn of_young_machines_the_one_that_loses_least_is_emptied() {
    let slots = [slot("a", 16.0, 4.0), slot("b", 16.0, 4.0), slot("c", 16.0, 8.0)];
    let mut residents = [resident(0, 4.0, 6), resident(1, 4.0, 9), resident(2, 8.0, 30)];
    assert_eq!(plan_repack(&[requirements(16.0)], &slots, &residents, RULES).unwrap().slot, 0);
    residents[1].loss = Duration::from_secs(2);
    assert_eq!(plan_repack(&[requirements(16.0)], &slots, &residents, RULES).unwrap().slot, 1);
}
