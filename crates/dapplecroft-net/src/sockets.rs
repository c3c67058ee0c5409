//! How many sockets a process has open, and how many more it may open.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What is kept for the few connections that are not counted: to the state
/// service, the cloud and the other controllers.
const KEPT: usize = 48;
/// Parts of the limit: beyond the first, connections that come in end after
/// each answer instead of idling until the next report; beyond the second, so
/// do those to workers. A node that alone serves a whole fleet stays under its
/// limit so, at the price of making connections anew.
const SCARCE_IN: f64 = 0.8;
const SCARCE_OUT: f64 = 0.4;

/// The sockets of a process. Once the platform's limit is exceeded every new
/// connection fails, those to the state service too; so the limit is kept by
/// shedding before.
#[derive(Debug)]
pub struct Sockets {
    limit: usize,
    open: AtomicUsize,
    shed: AtomicUsize,
}

/// An open connection that came in; it is counted until dropped.
#[derive(Debug)]
pub struct Socket(Arc<Sockets>);

impl Sockets {
    /// Sockets of a process that may have `limit` of them.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Sockets { limit, open: AtomicUsize::new(0), shed: AtomicUsize::new(0) })
    }

    /// Counts a connection that came in; `None` if there is no room for it.
    pub fn open(self: &Arc<Self>) -> Option<Socket> {
        // The rest is for the connections that this process makes.
        let most = self.limit.saturating_sub(self.most_out() + KEPT);
        if self.open.load(Ordering::Relaxed) >= most.max(1) {
            self.shed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(Socket(self.clone()))
    }

    /// Connections that came in and are open.
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Connections that there was no room for, since the last time of asking.
    pub fn take_shed(&self) -> usize {
        self.shed.swap(0, Ordering::Relaxed)
    }

    /// Whether connections that came in should end after each answer.
    pub fn scarce(&self) -> bool {
        self.count() as f64 > self.limit as f64 * SCARCE_IN
    }

    /// Whether connections to workers should end after each answer: idle ones
    /// could be as many as those that came in.
    pub fn scarce_out(&self) -> bool {
        self.count() as f64 > self.limit as f64 * SCARCE_OUT
    }

    /// How many requests to workers may be on their way at a time.
    pub fn most_out(&self) -> usize {
        (self.limit / 8).clamp(16, 1000)
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
