//! Rate budgets towards services that refuse what exceeds their limits.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A token bucket: `rate` units a second, with bursts worth one second.
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
    /// A budget of `rate` units a second.
    pub fn new(rate: f64) -> Self {
        TokenBucket { state: Mutex::new(BucketState { rate, tokens: rate.max(1.0), refilled_at: now() }) }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&self, rate: f64) {
        let mut state = self.lock();
        state.refill();
        state.rate = rate;
        state.tokens = state.tokens.min(rate.max(1.0));
    }

    /// Takes `units` now and returns how long to wait before using them. The
    /// level may go below zero, so that callers are served in order.
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

    /// Gives back `units` that were taken and not used.
    pub fn refund(&self, units: f64) {
        let mut state = self.lock();
        state.refill();
        state.tokens = (state.tokens + units).min(state.rate.max(1.0));
    }

    /// Units a second.
    pub fn rate(&self) -> f64 {
        self.lock().rate
    }

    /// How long until `units` can be taken without waiting.
    pub fn time_until_available(&self, units: f64) -> Duration {
        let mut state = self.lock();
        state.refill();
        let lacking = units.min(state.rate.max(1.0)) - state.tokens;
        Duration::from_secs_f64((lacking / state.rate).clamp(0.0, 60.0))
    }

    /// What is left of a burst: 1 all of it, 0 or less none.
    pub fn burst_left(&self) -> f64 {
        let mut state = self.lock();
        state.refill();
        state.tokens / state.rate.max(1.0)
    }

    /// Takes `units`, waiting for them if need be.
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
