use super::*;
use crate::core::testing::core;
use dapplecroft_wire::state::WatchResponse;

// After a cut, a replaced leader found its own key in its copy, which had
// not caught up, and took its role up again for a moment.
#[test]
fn a_replaced_leader_acts_by_its_own_old_key_no_more() {
    let now = Instant::now();
    let mut core = core();
    core.applied_revision = 5;
    core.lead(5);
    core.begin_to_lead(now);
    core.confirmed(now, 5);
    assert!(core.leads(now));
    core.role_lost(records::LEADER_KEY, now);
    // The copy says still that the key is its own.
    core.lead(5);
    core.begin_to_lead(now);
    assert!(!core.leads(now));
}

// One that was asked for before the role was lost, and answered after, would have
// brought it back.
#[test]
fn a_confirmation_of_a_role_that_was_lost_meanwhile_does_not_count() {
    let now = Instant::now();
    let mut core = core();
    core.applied_revision = 5;
    core.lead(5);
    core.begin_to_lead(now);
    let asked = core.generation();
    core.step_down("lease ended", now);
    core.lead(5);
    core.begin_to_lead(now);
    core.confirmed_for(asked, now, 5);
    assert!(!core.leads(now));
    let asked = core.generation();
    core.confirmed_for(asked, now, 5);
    assert!(core.leads(now));
}

// It counts from the sending, and only once the copy has caught up with it.
#[test]
fn contact_is_as_old_as_the_sending_of_what_the_copy_has_caught_up_with() {
    let now = Instant::now();
    let limit = core().contact_limit();
    let mut core = core();
    core.apply_watch(WatchResponse { revision: 5, log: Vec::new() }, now);
    core.confirmed(now, 9);
    assert!(!core.in_contact(now), "a withdrawal at 9 may not be known yet");
    core.apply_watch(WatchResponse { revision: 8, log: Vec::new() }, now + limit / 2);
    assert!(!core.in_contact(now + limit / 2));
    core.apply_watch(WatchResponse { revision: 9, log: Vec::new() }, now + limit / 2);
    assert!(core.in_contact(now + limit) && !core.in_contact(now + limit + Duration::from_millis(1)));
    // An older one that is answered later does not make it older, nor younger.
    core.confirmed(now - Duration::from_secs(1), 9);
    assert_eq!(core.contact_age(now + limit), Some(limit));
}
