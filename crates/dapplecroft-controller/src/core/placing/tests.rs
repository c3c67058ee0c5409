use super::*;

// Jobs with time left once waited behind those that had to start soon: in
// overload nearly all became late that way.
#[test]
fn what_has_time_left_ranks_with_what_must_start_soon() {
    assert_eq!(pressing(500.0, 40.0), pressing(41.0, 40.0));
    assert_eq!(pressing(32.0, 40.0), Pressing::InTime);
    assert_eq!(pressing(28.0, 40.0), Pressing::Missed);
    assert!(Pressing::InTime < Pressing::Missed);
}
