use super::*;

// Regression test: jobs with time left until their deadline were served after jobs that
// had to start soon. Under overload, nearly all jobs missed their deadlines that way.
#[test]
fn deadline_slack_does_not_change_the_order_until_missed() {
    assert_eq!(deadline_state(500.0, 40.0), deadline_state(41.0, 40.0));
    assert_eq!(deadline_state(32.0, 40.0), DeadlineState::InTime);
    assert_eq!(deadline_state(28.0, 40.0), DeadlineState::Missed);
    assert!(DeadlineState::InTime < DeadlineState::Missed);
}

// Regression test: low-priority jobs within their team's guaranteed quota waited for
// minutes behind normal-priority jobs that other teams ran beyond their guarantees
// (incidents eef6 and 2905 of mekong-cold-chain).
#[test]
fn guaranteed_work_precedes_ordinary_work_of_any_rank() {
    let levels = [
        ServingLevel::of(0, false),
        ServingLevel::of(1, false),
        ServingLevel::of(3, true),
        ServingLevel::of(2, false),
        ServingLevel::of(3, false),
    ];
    assert!(levels.is_sorted(), "{levels:?}");
    assert_eq!(ServingLevel::of(2, true), ServingLevel::of(3, true));
    assert_eq!(ServingLevel::of(1, true), ServingLevel::of(1, false));
}
