//! Limits the number of sockets that a process has open.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Sockets reserved for connections that the limiter does not count: those to the state service, the cloud
/// and the other controllers.
const RESERVED_SOCKETS: usize = 48;
/// Fraction of the socket limit above which inbound connections are closed after each response instead of
/// idling until the worker's next heartbeat. This and [`OUTBOUND_SCARCE_FRACTION`] keep a node that serves a
/// whole fleet alone below its limit, at the cost of reconnecting.
const INBOUND_SCARCE_FRACTION: f64 = 0.8;
/// Fraction of the socket limit that inbound connections may use before connections to workers are closed
/// after each response.
const OUTBOUND_SCARCE_FRACTION: f64 = 0.4;

/// Counts the inbound connections of a process and sheds new ones before the platform's socket limit is
/// reached: beyond that limit every new connection fails, including those to the state service.
#[derive(Debug)]
pub struct SocketLimiter {
    limit: usize,
    open: AtomicUsize,
    shed: AtomicUsize,
}

/// Permit for one inbound connection, which counts as open until the permit is dropped.
#[derive(Debug)]
pub struct SocketPermit(Arc<SocketLimiter>);

impl SocketLimiter {
    /// Creates a limiter for a process that may have `limit` sockets open.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(SocketLimiter { limit, open: AtomicUsize::new(0), shed: AtomicUsize::new(0) })
    }

    /// Counts a new inbound connection, or returns `None` if it must be closed because the limit is reached.
    pub fn try_accept(self: &Arc<Self>) -> Option<SocketPermit> {
        // The remaining sockets are for the connections that this process opens itself.
        let max_inbound = self.limit.saturating_sub(self.max_worker_requests() + RESERVED_SOCKETS);
        if self.open.load(Ordering::Relaxed) >= max_inbound.max(1) {
            self.shed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(SocketPermit(self.clone()))
    }

    /// Number of open inbound connections.
    pub fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of inbound connections shed since the last call.
    pub fn take_shed_count(&self) -> usize {
        self.shed.swap(0, Ordering::Relaxed)
    }

    /// Whether inbound connections should be closed after each response.
    pub fn inbound_scarce(&self) -> bool {
        self.open_count() as f64 > self.limit as f64 * INBOUND_SCARCE_FRACTION
    }

    /// Whether connections to workers should be closed after each response. Kept alive, they could become as
    /// many as the inbound connections.
    pub fn outbound_scarce(&self) -> bool {
        self.open_count() as f64 > self.limit as f64 * OUTBOUND_SCARCE_FRACTION
    }

    /// Maximum number of concurrent requests to workers.
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
