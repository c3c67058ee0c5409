use super::*;
use crate::core::testing::core;
use dapplecroft_wire::state::WatchResponse;

// After a network partition, the record replica of a replaced leader lagged behind and still showed its
// own leader key, so the process became leader again for a moment.
#[test]
fn a_replaced_leader_does_not_act_on_its_stale_leader_key() {
    let now = Instant::now();
    let mut core = core();
    core.applied_revision = 5;
    core.become_leader(5);
    core.start_leading_when_caught_up(now);
    core.confirm_role(now, 5);
    assert!(core.leads(now));
    core.role_lost(records::LEADER_KEY, now);
    // The record replica still shows this process's own key.
    core.become_leader(5);
    core.start_leading_when_caught_up(now);
    assert!(!core.leads(now));
}

// A confirmation that was requested before the role was lost and answered afterwards must not make the
// process act on its new role.
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

// Contact is measured from the time the request was sent, and a confirmation counts only once the record
// replica has applied its revision.
#[test]
fn contact_age_counts_from_the_sending_once_the_replica_has_caught_up() {
    let now = Instant::now();
    let limit = core().contact_limit();
    let mut core = core();
    core.apply_watch(WatchResponse { revision: 5, log: Vec::new() }, now);
    core.confirm_role(now, 9);
    assert!(!core.in_contact(now), "a cancellation at revision 9 may not be known yet");
    core.apply_watch(WatchResponse { revision: 8, log: Vec::new() }, now + limit / 2);
    assert!(!core.in_contact(now + limit / 2));
    core.apply_watch(WatchResponse { revision: 9, log: Vec::new() }, now + limit / 2);
    assert!(core.in_contact(now + limit) && !core.in_contact(now + limit + Duration::from_millis(1)));
    // An earlier request that is answered later changes nothing.
    core.confirm_role(now - Duration::from_secs(1), 9);
    assert_eq!(core.contact_age(now + limit), Some(limit));
}
