//! How many sockets a process has open, and how many more it may open.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What is kept for the few connections that are not counted: to the state
/// service, the cloud and the other controllers.
const RESERVED_SOCKETS: usize = 48;
/// Parts of the limit: beyond the first, connections that come in end after
/// each answer instead of idling until the next report; beyond the second, so
/// do those to workers. A node that alone serves a whole fleet stays under its
/// limit so, at the price of making connections anew.
const INBOUND_SCARCE_FRACTION: f64 = 0.8;
const OUTBOUND_SCARCE_FRACTION: f64 = 0.4;

/// The sockets of a process. Once the platform's limit is exceeded every new
/// connection fails, those to the state service too; so the limit is kept by
/// shedding before.
#[derive(Debug)]
pub struct SocketLimiter {
    limit: usize,
    open: AtomicUsize,
    shed: AtomicUsize,
}

/// An open connection that came in; it is counted until dropped.
#[derive(Debug)]
pub struct SocketPermit(Arc<SocketLimiter>);

impl SocketLimiter {
    /// Sockets of a process that may have `limit` of them.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(SocketLimiter { limit, open: AtomicUsize::new(0), shed: AtomicUsize::new(0) })
    }

    /// Counts a connection that came in; `None` if there is no room for it.
    pub fn try_accept(self: &Arc<Self>) -> Option<SocketPermit> {
        // The rest is for the connections that this process makes.
        let max_inbound = self.limit.saturating_sub(self.max_worker_requests() + RESERVED_SOCKETS);
        if self.open.load(Ordering::Relaxed) >= max_inbound.max(1) {
            self.shed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(SocketPermit(self.clone()))
    }

    /// Connections that came in and are open.
    pub fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Connections that there was no room for, since the last time of asking.
    pub fn take_shed_count(&self) -> usize {
        self.shed.swap(0, Ordering::Relaxed)
    }

    /// Whether connections that came in should end after each answer.
    pub fn inbound_scarce(&self) -> bool {
        self.open_count() as f64 > self.limit as f64 * INBOUND_SCARCE_FRACTION
    }

    /// Whether connections to workers should end after each answer: idle ones
    /// could be as many as those that came in.
    pub fn outbound_scarce(&self) -> bool {
        self.open_count() as f64 > self.limit as f64 * OUTBOUND_SCARCE_FRACTION
    }

    /// How many requests to workers may be on their way at a time.
    pub fn max_worker_requests(&self) -> usize {
        (self.limit / 8).clamp(16, 1000)
    }
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
