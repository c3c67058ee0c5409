//! The `Retry-After` hint for refused submissions.

use std::time::Duration;

/// The longest hint, in seconds. Users honour hints of up to 30 s and give up one minute after
/// their first try, so this bound leaves them at least three more tries. Granted credit is also
/// revoked when it stays unspent for about this long (see `IDLE_CREDIT_TIMEOUT` of the planner),
/// so a longer hint could outlive the credit.
const MAX_RETRY_AFTER_S: f64 = 15.0;
/// Random jitter as a fraction of the expected wait, in both directions, so that refused clients
/// do not all retry at the same time.
const JITTER_FRACTION: f64 = 0.5;

/// The time, in whole seconds, after which a refused client should retry.
///
/// `waiting_work` is the work in processor-seconds that waits for credit in the job's bucket, and
/// `accept_rate` the processor-seconds per second that were recently accepted there. `random`
/// lies in `[0, 1)`.
pub fn retry_after(waiting_work: u64, accept_rate: f64, random: f64) -> Duration {
    // With the full jitter added, the longest expected wait still respects `MAX_RETRY_AFTER_S`.
    let max_unjittered = MAX_RETRY_AFTER_S / (1.0 + JITTER_FRACTION);
    let expected_wait = if accept_rate > 0.0 { waiting_work as f64 / accept_rate } else { max_unjittered };
    let expected_wait = expected_wait.clamp(1.0, max_unjittered);
    let jittered = expected_wait * (1.0 - JITTER_FRACTION + 2.0 * JITTER_FRACTION * random);
    Duration::from_secs_f64(jittered.round().clamp(1.0, MAX_RETRY_AFTER_S))
}
