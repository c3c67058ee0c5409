use super::*;
use crate::core::testing::core;
use dapplecroft_wire::state::Followed;

// After a cut, a replaced leader found its own key in its copy, which had
// not caught up, and took its role up again for a moment.
#[test]
fn a_replaced_leader_does_not_act_on_its_stale_leader_key() {
    let now = Instant::now();
    let mut core = core();
    core.applied_revision = 5;
    core.become_leader(5);
    core.start_leading_when_caught_up(now);
    core.confirm_role(now, 5);
    assert!(core.leads(now));
    core.role_lost(records::LEADER, now);
    // The copy says still that the key is its own.
    core.become_leader(5);
    core.start_leading_when_caught_up(now);
    assert!(!core.leads(now));
}

// One that was asked for before the role was lost, and answered after, would have
// brought it back.
#[test]
fn a_confirmation_requested_before_the_role_was_lost_does_not_count() {
    let now = Instant::now();
    let mut core = core();
    core.applied_revision = 5;
    core.become_leader(5);
    core.start_leading_when_caught_up(now);
    let asked = core.role_generation();
    core.step_down("lease ended", now);
    core.become_leader(5);
    core.start_leading_when_caught_up(now);
    core.confirm_role_for_generation(asked, now, 5);
    assert!(!core.leads(now));
    let asked = core.role_generation();
    core.confirm_role_for_generation(asked, now, 5);
    assert!(core.leads(now));
}

// It counts from the sending, and only once the copy has caught up with it.
#[test]
fn contact_age_counts_from_the_sending_once_the_replica_has_caught_up() {
    let now = Instant::now();
    let limit = core().contact_limit();
    let mut core = core();
    core.follow(Followed { revision: 5, log: Vec::new() }, now);
    core.confirm_role(now, 9);
    assert!(!core.in_contact(now), "a withdrawal at 9 may not be known yet");
    core.follow(Followed { revision: 8, log: Vec::new() }, now + limit / 2);
    assert!(!core.in_contact(now + limit / 2));
    core.follow(Followed { revision: 9, log: Vec::new() }, now + limit / 2);
    assert!(core.in_contact(now + limit) && !core.in_contact(now + limit + Duration::from_millis(1)));
    // An older one that is answered later does not make it older, nor younger.
    core.confirm_role(now - Duration::from_secs(1), 9);
    assert_eq!(core.contact_age(now + limit), Some(limit));
}
