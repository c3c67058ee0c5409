//! Client-side rate limiting for services that reject requests above their rate limits.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A token bucket that gains `rate` tokens per second and holds at most one second's worth (but at least
/// one token). Each request or change costs a number of tokens, called units below.
#[derive(Debug)]
pub struct TokenBucket {
    state: Mutex<BucketState>,
}

#[derive(Debug)]
struct BucketState {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` units per second.
    pub fn new(rate: f64) -> Self {
        TokenBucket { state: Mutex::new(BucketState { rate, tokens: rate.max(1.0), refilled_at: now() }) }
    }

    /// Changes the rate; tokens beyond the new capacity are lost.
    pub fn set_rate(&self, rate: f64) {
        let mut state = self.lock();
        state.refill();
        state.rate = rate;
        state.tokens = state.tokens.min(rate.max(1.0));
    }

    /// Takes `units` immediately and returns how long the caller must wait before using them (at most 60 s).
    /// The number of tokens may become negative, so that callers are served in the order of their calls.
    pub fn reserve(&self, units: f64) -> Duration {
        let mut state = self.lock();
        state.refill();
        state.tokens -= units;
        if state.tokens >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64((-state.tokens / state.rate).min(60.0))
        }
    }

    /// Returns `units` that were reserved but not used.
    pub fn refund(&self, units: f64) {
        let mut state = self.lock();
        state.refill();
        state.tokens = (state.tokens + units).min(state.rate.max(1.0));
    }

    /// Units gained per second.
    pub fn rate(&self) -> f64 {
        self.lock().rate
    }

    /// Time until `units` can be reserved without waiting (at most 60 s). Units beyond the bucket's capacity
    /// are ignored, since the bucket never holds that many.
    pub fn time_until_available(&self, units: f64) -> Duration {
        let mut state = self.lock();
        state.refill();
        let lacking = units.min(state.rate.max(1.0)) - state.tokens;
        Duration::from_secs_f64((lacking / state.rate).clamp(0.0, 60.0))
    }

    /// Fraction of the burst capacity that is left: 1 for a full bucket, 0 or less if nothing is left.
    pub fn burst_left(&self) -> f64 {
        let mut state = self.lock();
        state.refill();
        state.tokens / state.rate.max(1.0)
    }

    /// Reserves `units` and waits until they may be used.
    pub async fn acquire(&self, units: f64) {
        let wait = self.reserve(units);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BucketState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl BucketState {
    fn refill(&mut self) {
        let now = now();
        let gained = now.saturating_duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate.max(1.0));
        self.refilled_at = now;
    }
}
