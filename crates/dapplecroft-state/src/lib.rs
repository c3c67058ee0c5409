//! Client of the state service. It keeps to this node's share of the service's rate limits, and each request
//! is reported as executed, refused or unknown (see [`Outcome`]).

mod committer;

pub use committer::{AtomicUpdate, Committer, UpdateResult};

use dapplecroft_net::{Outcome, Request, Response, TokenBucket, Transport, TransportError};
use dapplecroft_wire::state::{
    GrantResponse, Item, Listing, Transaction, TransactionResponse, WatchResponse,
};
use http::Method;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Timeout of ordinary requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Error text for a request that the service did not execute because of an outage.
const STATUS_UNAVAILABLE: &str = "status 503";
/// Error text for a request that exceeded the service's rate limits and was not executed.
const STATUS_RATE_LIMITED: &str = "status 429";

/// Start of the error text for a transaction that the service rejects as invalid, for example because it
/// exceeds the size limits.
pub(crate) const STATUS_BAD_REQUEST: &str = "status 400";

/// Result of a transaction that the service evaluated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionResult {
    /// All conditions held; the changes were made at this revision.
    Committed(u64),
    /// The conditions on these keys failed, and nothing was changed.
    Conflict(Vec<String>),
}

/// Result of a watch request.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchResult {
    /// The changes after the requested revision.
    Changes(WatchResponse),
    /// The service no longer has all changes since the requested revision, or they exceed the size limit of a
    /// response. The caller must list the keys again.
    RelistRequired,
}

/// A client of the state service.
pub struct StateClient {
    transport: Arc<dyn Transport>,
    address: String,
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    /// Whether the service may lower its limits without notice.
    expect_lower_limits: AtomicBool,
    /// Whether a rejected transaction has shown that the service lowered its limits.
    lower_limits_detected: AtomicBool,
}

impl StateClient {
    /// Creates a client that makes at most `rps` requests and `write_rps` changes per second: this node's
    /// share of the service's limits.
    pub fn new(transport: Arc<dyn Transport>, address: String, rps: f64, write_rps: f64) -> Self {
        StateClient {
            transport,
            address,
            request_budget: TokenBucket::new(rps),
            write_budget: TokenBucket::new(write_rps),
            expect_lower_limits: AtomicBool::new(false),
            lower_limits_detected: AtomicBool::new(false),
        }
    }

    /// Sets whether a rejected transaction is taken as a sign that the service lowered its limits.
    pub fn set_expect_lower_limits(&self, expect_lower_limits: bool) {
        self.expect_lower_limits.store(expect_lower_limits, Ordering::Relaxed);
    }

    /// Whether a rejected transaction has shown that the service lowered its limits.
    pub fn lower_limits_detected(&self) -> bool {
        self.lower_limits_detected.load(Ordering::Relaxed)
    }

    /// Records that the service lowered its limits if a refused transaction's `error` indicates it: a rate
    /// limit, or a rejection as invalid that does not concern a lease.
    fn detect_lower_limits(&self, error: &str) {
        let indicates_lower_limits = error == STATUS_RATE_LIMITED
            || (error.starts_with(STATUS_BAD_REQUEST) && !error.contains("lease"));
        if indicates_lower_limits
            && self.expect_lower_limits.load(Ordering::Relaxed)
            && !self.lower_limits_detected.swap(true, Ordering::Relaxed)
        {
            tracing::info!(error, "the state service lowered its limits");
        }
    }

    /// Sets this node's share of the service's rate limits.
    pub fn set_rates(&self, rps: f64, write_rps: f64) {
        self.request_budget.set_rate(rps);
        self.write_budget.set_rate(write_rps);
    }

    /// Fraction of the write burst that is left: 1 for all of it, 0 or less if nothing is left.
    pub fn write_burst_left(&self) -> f64 {
        self.write_budget.burst_left()
    }

    /// Number of changes that this node may make per second.
    pub(crate) fn write_rate(&self) -> f64 {
        self.write_budget.rate()
    }

    /// Waits until the write budget allows this number of changes.
    pub(crate) async fn wait_for_write_budget(&self, changes: f64) {
        let wait = self.write_budget.time_until_available(changes);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Fraction of the request burst that is left: 1 for all of it, 0 or less if nothing is left.
    pub fn request_burst_left(&self) -> f64 {
        self.request_budget.burst_left()
    }

    async fn send(
        &self,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response, TransportError> {
        let request = Request {
            address: self.address.clone(),
            method,
            path,
            body: body.into(),
            timeout,
            to_worker: false,
        };
        self.transport.send(request).await
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Outcome<Response> {
        status_outcome(self.send(method, path, body, timeout).await)
    }

    /// Reads one key. Returns the item (`None` if the key does not exist) and a revision: the version of the
    /// item, or the service's revision if the key does not exist.
    pub async fn get(&self, key: &str) -> Outcome<(Option<Item>, u64)> {
        self.request_budget.acquire(1.0).await;
        match self.call(Method::GET, format!("/store/{key}"), Vec::new(), REQUEST_TIMEOUT).await {
            Outcome::Done(r) if r.status == 404 => {
                match serde_json::from_slice::<TransactionResponse>(&r.body) {
                    Ok(verdict) => Outcome::Done((None, verdict.revision)),
                    Err(e) => Outcome::Unknown(format!("invalid response body: {e}")),
                }
            }
            Outcome::Done(r) => decode_ok::<Item>(&r).map(|item| {
                let version = item.version;
                (Some(item), version)
            }),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// Reads all keys with a prefix. Also returns the revision from which to watch for later changes.
    pub async fn list(&self, prefix: &str) -> Outcome<(Vec<Item>, u64)> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_revision = None;
        loop {
            self.request_budget.acquire(1.0).await;
            let from = items.last().map(|i| format!("&from={}", i.key)).unwrap_or_default();
            let path = format!("/store?starts={prefix}{from}&limit=1000");
            let page: Listing = match self.call(Method::GET, path, Vec::new(), REQUEST_TIMEOUT * 2).await {
                Outcome::Done(r) => match decode_ok(&r) {
                    Outcome::Done(page) => page,
                    other => return other.map(|_: Listing| (Vec::new(), 0)),
                },
                Outcome::Refused(e) => return Outcome::Refused(e),
                Outcome::Unknown(e) => return Outcome::Unknown(e),
            };
            // Keys may change between two pages. A watch from the first page's revision reports these
            // changes.
            let first_revision = *first_revision.get_or_insert(page.revision);
            let has_more = page.truncated && !page.items.is_empty();
            items.extend(page.items);
            if !has_more {
                return Outcome::Done((items, first_revision));
            }
        }
    }

    /// Executes a transaction. With `skip_budget_wait` it is sent without waiting for the rate budgets,
    /// although it is charged to them: for transactions on which a role (such as the leader's) depends, and
    /// for callers that have already waited.
    pub async fn transact(
        &self,
        transaction: &Transaction,
        skip_budget_wait: bool,
    ) -> Outcome<TransactionResult> {
        let write_count = transaction.changes.len() as f64;
        let wait = self.request_budget.reserve(1.0).max(if write_count > 0.0 {
            self.write_budget.reserve(write_count)
        } else {
            Duration::ZERO
        });
        if !skip_budget_wait && !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let body = match serde_json::to_vec(transaction) {
            Ok(body) => body,
            Err(e) => return Outcome::Refused(e.to_string()),
        };
        let outcome = self.call(Method::POST, "/multi".into(), body, REQUEST_TIMEOUT).await;
        if matches!(&outcome, Outcome::Refused(error) if error == STATUS_UNAVAILABLE) {
            // The service did not count these changes. Without the refund, attempts during an outage would
            // use up the budget, and the transactions queued meanwhile would be delayed after the outage.
            self.write_budget.refund(write_count);
        }
        let outcome = match outcome {
            Outcome::Done(r) if r.status == 400 => {
                Outcome::Refused(format!("{STATUS_BAD_REQUEST}: {}", String::from_utf8_lossy(&r.body)))
            }
            other => other,
        };
        if let (Outcome::Refused(error), true) = (&outcome, write_count > 0.0) {
            self.detect_lower_limits(error);
        }
        match outcome {
            Outcome::Done(r) if r.status == 200 => {
                decode_ok::<TransactionResponse>(&r).map(|v| TransactionResult::Committed(v.revision))
            }
            Outcome::Done(r) if r.status == 409 => {
                decode::<TransactionResponse>(&r).map(|v| TransactionResult::Conflict(v.failed))
            }
            Outcome::Done(r) => Outcome::Unknown(format!("status {}", r.status)),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// Requests a lease with this time to live and returns its number.
    pub async fn grant_lease(&self, ttl: Duration) -> Outcome<u64> {
        self.request_budget.reserve(1.0);
        let body = format!("{{\"life_ms\":{}}}", ttl.as_millis()).into_bytes();
        match self.call(Method::POST, "/grants".into(), body, REQUEST_TIMEOUT).await {
            Outcome::Done(r) => decode_ok::<GrantResponse>(&r).map(|g| g.lease),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// Renews a lease; `false` means that the lease has expired or was revoked.
    pub async fn renew_lease(&self, lease: u64) -> Outcome<bool> {
        self.request_budget.reserve(1.0);
        let path = format!("/grants/{lease}/touch");
        self.call(Method::POST, path, b"{}".to_vec(), REQUEST_TIMEOUT / 2).await.map(|r| r.status != 404)
    }

    /// Revokes a lease.
    pub async fn revoke_lease(&self, lease: u64) -> Outcome<()> {
        self.request_budget.reserve(1.0);
        self.call(Method::DELETE, format!("/grants/{lease}"), Vec::new(), REQUEST_TIMEOUT).await.map(|_| ())
    }

    /// Waits for changes after revision `from` to keys with a prefix, for at most `wait`.
    pub async fn watch(&self, prefix: &str, from: u64, wait: Duration) -> Outcome<WatchResult> {
        self.request_budget.acquire(1.0).await;
        let path = format!("/follow?starts={prefix}&from={from}&wait_ms={}", wait.as_millis());
        // A watch stays open during an outage of the service, but its connection can also break unnoticed,
        // hence the timeout. Changes in a response that is missed are reported by the next watch.
        match self.send(Method::GET, path, Vec::new(), wait + REQUEST_TIMEOUT).await {
            // The service reports all changes in one response of any size. A repeated watch from the same
            // revision would only get a larger one.
            Err(TransportError::ResponseTooLarge) => Outcome::Done(WatchResult::RelistRequired),
            result => match status_outcome(result) {
                Outcome::Done(r) if r.status == 410 => Outcome::Done(WatchResult::RelistRequired),
                Outcome::Done(r) => decode_ok::<WatchResponse>(&r).map(WatchResult::Changes),
                Outcome::Refused(e) => Outcome::Refused(e),
                Outcome::Unknown(e) => Outcome::Unknown(e),
            },
        }
    }
}

/// Outcome of a request according to its status: 429 and 503 mean that it was not executed.
fn status_outcome(result: Result<Response, TransportError>) -> Outcome<Response> {
    match result {
        Ok(r) if r.status == 503 => Outcome::Refused(STATUS_UNAVAILABLE.into()),
        Ok(r) if r.status == 429 => Outcome::Refused(STATUS_RATE_LIMITED.into()),
        Ok(r) => Outcome::Done(r),
        Err(failure) => failure.into(),
    }
}

/// Decodes the body of a response with status 200. Any other status or an invalid body is an unknown outcome.
fn decode_ok<T: DeserializeOwned>(response: &Response) -> Outcome<T> {
    if response.status != 200 {
        return Outcome::Unknown(format!("status {}", response.status));
    }
    decode(response)
}

/// Decodes a response body, whatever the status; an invalid body is an unknown outcome.
fn decode<T: DeserializeOwned>(response: &Response) -> Outcome<T> {
    match serde_json::from_slice(&response.body) {
        Ok(value) => Outcome::Done(value),
        Err(error) => {
            tracing::warn!(%error, "cannot decode the state service's response");
            Outcome::Unknown(format!("invalid response body: {error}"))
        }
    }
}

#[cfg(test)]
mod tests;
