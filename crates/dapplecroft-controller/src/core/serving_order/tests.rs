use super::*;

// Jobs with time left once waited behind those that had to start soon: in
// overload nearly all became late that way.
#[test]
fn what_has_time_left_ranks_with_what_must_start_soon() {
    assert_eq!(deadline_state(500.0, 40.0), deadline_state(41.0, 40.0));
    assert_eq!(deadline_state(32.0, 40.0), DeadlineState::InTime);
    assert_eq!(deadline_state(28.0, 40.0), DeadlineState::Missed);
    assert!(DeadlineState::InTime < DeadlineState::Missed);
}

// Low work within its team's guarantee waited for minutes behind normal work that
// other teams ran beyond theirs (incidents eef6 and 2905 of mekong-cold-chain).
#[test]
fn a_guarantee_goes_before_what_others_run_beyond_theirs_whatever_the_rank() {
    let levels = [
        ServiceLevel::of(0, false),
        ServiceLevel::of(1, false),
        ServiceLevel::of(3, true),
        ServiceLevel::of(2, false),
        ServiceLevel::of(3, false),
    ];
    assert!(levels.is_sorted(), "{levels:?}");
    assert_eq!(ServiceLevel::of(2, true), ServiceLevel::of(3, true));
    assert_eq!(ServiceLevel::of(1, true), ServiceLevel::of(1, false));
}
