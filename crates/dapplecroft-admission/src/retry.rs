//! When a refused user should come back.

use std::time::Duration;

/// Users follow a hint of up to this long.
const LONGEST: f64 = 30.0;
/// They give up a minute after they first asked: a hint leaves them another two tries.
const PATIENCE: f64 = 60.0;
const TRIES: f64 = 3.0;
/// The part of a hint by which it is spread, so that clients do not come back together.
const SPREAD: f64 = 0.5;

/// Whole seconds after which to come back, if `waiting` processor-seconds wait in a
/// bucket that has lately been granted `rate` a second. `random` lies in [0, 1).
pub fn retry_after(waiting: u64, rate: f64, random: f64) -> Duration {
    let longest = LONGEST.min(PATIENCE / TRIES);
    let expected = if rate > 0.0 { waiting as f64 / rate } else { longest };
    let expected = expected.clamp(1.0, longest);
    let spread = expected * (1.0 - SPREAD + 2.0 * SPREAD * random);
    Duration::from_secs_f64(spread.round().clamp(1.0, longest))
}
