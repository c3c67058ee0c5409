//! Client of the state service, with rate budgets and three-valued outcomes.

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

/// How long ordinary requests wait for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// What is told of a request that an outage kept from being executed.
const STATUS_UNAVAILABLE: &str = "status 503";
/// The same of one beyond the rates.
const STATUS_RATE_LIMITED: &str = "status 429";

/// What is told of a transaction that the service does not take as it is.
pub(crate) const STATUS_BAD_REQUEST: &str = "status 400";

/// What a transaction that was carried out came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionResult {
    /// All conditions held, and the changes have this revision.
    Committed(u64),
    /// These keys' conditions failed, and nothing was changed.
    Conflict(Vec<String>),
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchResult {
    /// Changes after the given revision.
    Changes(WatchResponse),
    /// The revision is too old, or too much has changed since for one answer: read
    /// the keys again.
    RelistRequired,
}

/// A client of the state service.
pub struct StateClient {
    transport: Arc<dyn Transport>,
    address: String,
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    /// Whether the limits may become smaller without notice.
    expect_lower_limits: AtomicBool,
    /// Whether a refusal has told that they have.
    lower_limits_detected: AtomicBool,
}

impl StateClient {
    /// A client with its own part of the service's limits.
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

    /// Whether refusals are to be taken as the sign that limits have become
    /// smaller.
    pub fn set_expect_lower_limits(&self, expect_lower_limits: bool) {
        self.expect_lower_limits.store(expect_lower_limits, Ordering::Relaxed);
    }

    /// Whether a refusal has told that limits have become smaller.
    pub fn lower_limits_detected(&self) -> bool {
        self.lower_limits_detected.load(Ordering::Relaxed)
    }

    fn detect_lower_limits(&self, error: &str) {
        let indicates_lower_limits = error == STATUS_RATE_LIMITED
            || (error.starts_with(STATUS_BAD_REQUEST) && !error.contains("lease"));
        if indicates_lower_limits
            && self.expect_lower_limits.load(Ordering::Relaxed)
            && !self.lower_limits_detected.swap(true, Ordering::Relaxed)
        {
            tracing::info!(error, "the state service takes less from now on");
        }
    }

    /// Changes this node's part of the limits.
    pub fn set_rates(&self, rps: f64, write_rps: f64) {
        self.request_budget.set_rate(rps);
        self.write_budget.set_rate(write_rps);
    }

    /// What is left of this node's burst of writes: 1 all of it, 0 or less none.
    pub fn write_burst_left(&self) -> f64 {
        self.write_budget.burst_left()
    }

    /// Changes that this node may make a second.
    pub(crate) fn write_rate(&self) -> f64 {
        self.write_budget.rate()
    }

    /// Waits until so many changes can be made.
    pub(crate) async fn wait_for_write_budget(&self, changes: f64) {
        let wait = self.write_budget.time_until_available(changes);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// The same for requests.
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

    /// Reads one key, with the revision at which it was so; no item if it does
    /// not exist.
    pub async fn get(&self, key: &str) -> Outcome<(Option<Item>, u64)> {
        self.request_budget.acquire(1.0).await;
        match self.call(Method::GET, format!("/store/{key}"), Vec::new(), REQUEST_TIMEOUT).await {
            Outcome::Done(r) if r.status == 404 => {
                match serde_json::from_slice::<TransactionResponse>(&r.body) {
                    Ok(verdict) => Outcome::Done((None, verdict.revision)),
                    Err(e) => Outcome::Unknown(format!("bad answer: {e}")),
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

    /// Reads all keys with a prefix, and the revision from which to follow them.
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
            // Pages are read one after the other: what changes in between is
            // in the watch that starts at the first page's revision.
            let first_revision = *first_revision.get_or_insert(page.revision);
            let has_more = page.truncated && !page.items.is_empty();
            items.extend(page.items);
            if !has_more {
                return Outcome::Done((items, first_revision));
            }
        }
    }

    /// Carries out a transaction. `skip_budget_wait` ones (what a role hangs on) do not
    /// wait for the budget, though they are counted in it.
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
            // It was not counted there. Tries during an outage would else leave
            // a debt, and all that has gathered would wait for it afterwards.
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

    /// Asks for a lease.
    pub async fn grant_lease(&self, ttl: Duration) -> Outcome<u64> {
        self.request_budget.reserve(1.0);
        let body = format!("{{\"life_ms\":{}}}", ttl.as_millis()).into_bytes();
        match self.call(Method::POST, "/grants".into(), body, REQUEST_TIMEOUT).await {
            Outcome::Done(r) => decode_ok::<GrantResponse>(&r).map(|g| g.lease),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// Renews a lease; `false` means that it has ended.
    pub async fn renew_lease(&self, lease: u64) -> Outcome<bool> {
        self.request_budget.reserve(1.0);
        let path = format!("/grants/{lease}/touch");
        self.call(Method::POST, path, b"{}".to_vec(), REQUEST_TIMEOUT / 2).await.map(|r| r.status != 404)
    }

    /// Ends a lease.
    pub async fn revoke_lease(&self, lease: u64) -> Outcome<()> {
        self.request_budget.reserve(1.0);
        self.call(Method::DELETE, format!("/grants/{lease}"), Vec::new(), REQUEST_TIMEOUT).await.map(|_| ())
    }

    /// Waits for changes of keys with a prefix after a revision.
    pub async fn watch(&self, prefix: &str, from: u64, wait: Duration) -> Outcome<WatchResult> {
        self.request_budget.acquire(1.0).await;
        let path = format!("/follow?starts={prefix}&from={from}&wait_ms={}", wait.as_millis());
        // An open watch remains open through an outage, but a connection can
        // also be dead without a word; what a late answer says is read again.
        match self.send(Method::GET, path, Vec::new(), wait + REQUEST_TIMEOUT).await {
            // All that has changed comes in one answer, however large: asked again
            // from the same revision it would only grow.
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

/// What came of a request by its status: 429 and 503 say that it was not executed.
fn status_outcome(result: Result<Response, TransportError>) -> Outcome<Response> {
    match result {
        Ok(r) if r.status == 503 => Outcome::Refused(STATUS_UNAVAILABLE.into()),
        Ok(r) if r.status == 429 => Outcome::Refused(STATUS_RATE_LIMITED.into()),
        Ok(r) => Outcome::Done(r),
        Err(failure) => failure.into(),
    }
}

/// Reads a body; a bad answer of the service is an unknown outcome.
fn decode_ok<T: DeserializeOwned>(response: &Response) -> Outcome<T> {
    if response.status != 200 {
        return Outcome::Unknown(format!("status {}", response.status));
    }
    decode(response)
}

fn decode<T: DeserializeOwned>(response: &Response) -> Outcome<T> {
    match serde_json::from_slice(&response.body) {
        Ok(value) => Outcome::Done(value),
        Err(error) => {
            tracing::warn!(%error, "the state service's answer cannot be read");
            Outcome::Unknown(format!("bad answer: {error}"))
        }
    }
}

#[cfg(test)]
mod tests;
