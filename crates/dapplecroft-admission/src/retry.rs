//! When a refused user should come back.

use std::time::Duration;

/// The longest hint, in seconds. Users follow one of up to 30 s and give up a minute after
/// they first asked: this leaves them another three tries at least. Credit that is granted
/// waits for them no longer either.
const MAX_RETRY_AFTER_S: f64 = 15.0;
/// The part of a hint by which it is spread, so that clients do not come back together.
const JITTER_FRACTION: f64 = 0.5;

/// Whole seconds after which to come back, if `waiting_work` processor-seconds wait in a
/// bucket that has lately been granted `accept_rate` a second. `random` lies in [0, 1).
pub fn retry_after(waiting_work: u64, accept_rate: f64, random: f64) -> Duration {
    // Spread, even the longest is within the bound.
    let max_unjittered = MAX_RETRY_AFTER_S / (1.0 + JITTER_FRACTION);
    let expected_wait = if accept_rate > 0.0 { waiting_work as f64 / accept_rate } else { max_unjittered };
    let expected_wait = expected_wait.clamp(1.0, max_unjittered);
    let jittered = expected_wait * (1.0 - JITTER_FRACTION + 2.0 * JITTER_FRACTION * random);
    Duration::from_secs_f64(jittered.round().clamp(1.0, MAX_RETRY_AFTER_S))
}
