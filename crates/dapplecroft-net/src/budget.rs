//! Rate budgets towards services that refuse what exceeds their limits.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A token bucket: `rate` units a second, with bursts worth one second.
#[derive(Debug)]
pub struct Budget {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    rate: f64,
    level: f64,
    at: Instant,
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

impl Budget {
    /// A budget of `rate` units a second.
    pub fn new(rate: f64) -> Self {
        Budget { inner: Mutex::new(Inner { rate, level: rate.max(1.0), at: now() }) }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&self, rate: f64) {
        let mut inner = self.lock();
        inner.refill();
        inner.rate = rate;
        inner.level = inner.level.min(rate.max(1.0));
    }

    /// Takes `units` now and returns how long to wait before using them. The
    /// level may go below zero, so that callers are served in order.
    pub fn take(&self, units: f64) -> Duration {
        let mut inner = self.lock();
        inner.refill();
        inner.level -= units;
        if inner.level >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64((-inner.level / inner.rate).min(60.0))
        }
    }

    /// Gives back `units` that were taken and not used.
    pub fn give_back(&self, units: f64) {
        let mut inner = self.lock();
        inner.refill();
        inner.level = (inner.level + units).min(inner.rate.max(1.0));
    }

    /// Units a second.
    pub fn rate(&self) -> f64 {
        self.lock().rate
    }

    /// How long until `units` can be taken without waiting.
    pub fn wait_for(&self, units: f64) -> Duration {
        let mut inner = self.lock();
        inner.refill();
        let lacking = units.min(inner.rate.max(1.0)) - inner.level;
        Duration::from_secs_f64((lacking / inner.rate).clamp(0.0, 60.0))
    }

    /// What is left of a burst: 1 all of it, 0 or less none.
    pub fn room(&self) -> f64 {
        let mut inner = self.lock();
        inner.refill();
        inner.level / inner.rate.max(1.0)
    }

    /// Takes `units`, waiting for them if need be.
    pub async fn acquire(&self, units: f64) {
        let wait = self.take(units);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Inner {
    fn refill(&mut self) {
        let now = now();
        let gained = now.saturating_duration_since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.rate.max(1.0));
        self.at = now;
    }
}
