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
