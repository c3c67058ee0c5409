use super::*;

const EPOCH: u64 = 7;

// Guards against copies of answered commands that stay valid: whatever is sent directly must be void after the
// next call, with one raise for all of it, and heartbeats under the former token must go on counting.
#[test]
fn answered_commands_are_voided_by_one_raise_that_keeps_earlier_heartbeats_as_proof() {
    let mut fencing = WorkerFencing::default();
    fencing.reset();
    assert!(!fencing.void_answered_commands(), "nothing was sent directly since the reset");
    let sent = fencing.token(EPOCH);
    fencing.record_direct_commands();
    fencing.record_direct_commands();
    assert!(fencing.void_answered_commands());
    assert!(!fencing.void_answered_commands(), "a second raise has nothing to void");
    assert_eq!(fencing.token(EPOCH), sent + 1);
    assert!(fencing.is_synced(sent, EPOCH) && fencing.is_synced(sent + 1, EPOCH));
    assert!(!fencing.is_synced(sent - 1, EPOCH) && !fencing.is_synced(sent + 2, EPOCH));
}

// Guards against heartbeats that count as proof while commands of unknown outcome may still arrive.
#[test]
fn commands_of_unknown_outcome_make_earlier_heartbeats_worthless() {
    let mut fencing = WorkerFencing::default();
    fencing.record_direct_commands();
    fencing.void_answered_commands();
    let sent = fencing.token(EPOCH);
    fencing.record_direct_commands();
    fencing.void_commands();
    assert!(!fencing.is_synced(sent, EPOCH));
    assert!(fencing.is_synced(fencing.token(EPOCH), EPOCH));
}

// Guards against commands that can no longer be voided because the counter is used up: before that, none is
// sent directly, and the last ones that were are void.
#[test]
fn no_command_is_sent_directly_once_the_counter_is_nearly_used_up() {
    let mut fencing = WorkerFencing::default();
    let mut raises = 0;
    while fencing.may_send_direct_commands() {
        fencing.record_direct_commands();
        assert!(fencing.void_answered_commands());
        raises += 1;
    }
    assert!(raises > 900_000, "{raises}");
    let token = fencing.token(EPOCH);
    assert!(!fencing.void_answered_commands());
    assert!((0..1_000).all(|_| {
        let before = fencing.token(EPOCH);
        fencing.void_commands();
        fencing.token(EPOCH) > before
    }));
    assert!(token < fencing.token(EPOCH) && fencing.token(EPOCH) < WorkerFencing::default().token(EPOCH + 1));
}
