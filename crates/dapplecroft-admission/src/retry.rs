//! When a refused user should come back.

use std::time::Duration;

/// The longest hint, in seconds. Users follow one of up to 30 s and give up a minute after
/// they first asked: this leaves them another three tries at least. Credit that is granted
/// waits for them no longer either.
const LONGEST: f64 = 15.0;
/// The part of a hint by which it is spread, so that clients do not come back together.
const SPREAD: f64 = 0.5;

/// Whole seconds after which to come back, if `waiting` processor-seconds wait in a
/// bucket that has lately been granted `rate` a second. `random` lies in [0, 1).
pub fn retry_after(waiting: u64, rate: f64, random: f64) -> Duration {
    // Spread, even the longest is within the bound.
    let longest = LONGEST / (1.0 + SPREAD);
    let expected = if rate > 0.0 { waiting as f64 / rate } else { longest };
    let expected = expected.clamp(1.0, longest);
    let spread = expected * (1.0 - SPREAD + 2.0 * SPREAD * random);
    Duration::from_secs_f64(spread.round().clamp(1.0, LONGEST))
}
