//! Client of the state service, with rate budgets and three-valued outcomes.

mod committer;

pub use committer::{AtomicUpdate, Committer, UpdateResult};

use dapplecroft_net::{Budget, Failure, Outcome, Request, Response, Transport};
use dapplecroft_wire::state::{Followed, Grant, Item, Listing, Transaction, Verdict};
use http::Method;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long ordinary requests wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// What is told of a request that an outage kept from being executed.
const OUTAGE: &str = "status 503";
/// The same of one beyond the rates.
const RATE: &str = "status 429";

/// What is told of a transaction that the service does not take as it is.
pub(crate) const TOO_LARGE: &str = "status 400";

/// What a transaction that was carried out came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdicts {
    /// All conditions held, and the changes have this revision.
    Committed(u64),
    /// These keys' conditions failed, and nothing was changed.
    Conflict(Vec<String>),
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq)]
pub enum Watched {
    /// Changes after the given revision.
    Changes(Followed),
    /// The revision is too old, or too much has changed since for one answer: read
    /// the keys again.
    TooOld,
}

/// A client of the state service.
pub struct StateClient {
    transport: Arc<dyn Transport>,
    address: String,
    requests: Budget,
    writes: Budget,
    /// Whether the limits may become smaller without notice.
    expecting: AtomicBool,
    /// Whether a refusal has told that they have.
    less: AtomicBool,
}

impl StateClient {
    /// A client with its own part of the service's limits.
    pub fn new(transport: Arc<dyn Transport>, address: String, rps: f64, write_rps: f64) -> Self {
        StateClient {
            transport,
            address,
            requests: Budget::new(rps),
            writes: Budget::new(write_rps),
            expecting: AtomicBool::new(false),
            less: AtomicBool::new(false),
        }
    }

    /// Whether refusals are to be taken as the sign that limits have become
    /// smaller.
    pub fn expect_less(&self, expecting: bool) {
        self.expecting.store(expecting, Ordering::Relaxed);
    }

    /// Whether a refusal has told that limits have become smaller.
    pub fn has_less(&self) -> bool {
        self.less.load(Ordering::Relaxed)
    }

    fn refused_changes(&self, error: &str) {
        let telling = error == RATE || (error.starts_with(TOO_LARGE) && !error.contains("lease"));
        if telling && self.expecting.load(Ordering::Relaxed) && !self.less.swap(true, Ordering::Relaxed) {
            tracing::info!(error, "the state service takes less from now on");
        }
    }

    /// Changes this node's part of the limits.
    pub fn set_rates(&self, rps: f64, write_rps: f64) {
        self.requests.set_rate(rps);
        self.writes.set_rate(write_rps);
    }

    /// What is left of this node's burst of writes: 1 all of it, 0 or less none.
    pub fn write_room(&self) -> f64 {
        self.writes.room()
    }

    /// Changes that this node may make a second.
    pub(crate) fn write_rate(&self) -> f64 {
        self.writes.rate()
    }

    /// Waits until so many changes can be made.
    pub(crate) async fn wait_for_writes(&self, changes: f64) {
        let wait = self.writes.wait_for(changes);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// The same for requests.
    pub fn request_room(&self) -> f64 {
        self.requests.room()
    }

    async fn send(
        &self,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response, Failure> {
        let request = Request {
            address: self.address.clone(),
            method,
            path,
            body: body.into(),
            timeout,
            one_of_many: false,
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
        self.requests.acquire(1.0).await;
        match self.call(Method::GET, format!("/store/{key}"), Vec::new(), TIMEOUT).await {
            Outcome::Done(r) if r.status == 404 => match serde_json::from_slice::<Verdict>(&r.body) {
                Ok(verdict) => Outcome::Done((None, verdict.revision)),
                Err(e) => Outcome::Unknown(format!("bad answer: {e}")),
            },
            Outcome::Done(r) => read::<Item>(&r).map(|item| {
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
        let mut first = None;
        loop {
            self.requests.acquire(1.0).await;
            let from = items.last().map(|i| format!("&from={}", i.key)).unwrap_or_default();
            let path = format!("/store?starts={prefix}{from}&limit=1000");
            let page: Listing = match self.call(Method::GET, path, Vec::new(), TIMEOUT * 2).await {
                Outcome::Done(r) => match read(&r) {
                    Outcome::Done(page) => page,
                    other => return other.map(|_: Listing| (Vec::new(), 0)),
                },
                Outcome::Refused(e) => return Outcome::Refused(e),
                Outcome::Unknown(e) => return Outcome::Unknown(e),
            };
            // Pages are read one after the other: what changes in between is
            // in the watch that starts at the first page's revision.
            let first = *first.get_or_insert(page.revision);
            let more = page.truncated && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                return Outcome::Done((items, first));
            }
        }
    }

    /// Carries out a transaction. `urgent` ones (what a role hangs on) do not
    /// wait for the budget, though they are counted in it.
    pub async fn transact(&self, transaction: &Transaction, urgent: bool) -> Outcome<Verdicts> {
        let writes = transaction.changes.len() as f64;
        let wait =
            self.requests.take(1.0).max(if writes > 0.0 { self.writes.take(writes) } else { Duration::ZERO });
        if !urgent && !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let body = match serde_json::to_vec(transaction) {
            Ok(body) => body,
            Err(e) => return Outcome::Refused(e.to_string()),
        };
        let outcome = self.call(Method::POST, "/multi".into(), body, TIMEOUT).await;
        if matches!(&outcome, Outcome::Refused(error) if error == OUTAGE) {
            // It was not counted there. Tries during an outage would else leave
            // a debt, and all that has gathered would wait for it afterwards.
            self.writes.give_back(writes);
        }
        let outcome = match outcome {
            Outcome::Done(r) if r.status == 400 => {
                Outcome::Refused(format!("{TOO_LARGE}: {}", String::from_utf8_lossy(&r.body)))
            }
            other => other,
        };
        if let (Outcome::Refused(error), true) = (&outcome, writes > 0.0) {
            self.refused_changes(error);
        }
        match outcome {
            Outcome::Done(r) if r.status == 200 => {
                read::<Verdict>(&r).map(|v| Verdicts::Committed(v.revision))
            }
            Outcome::Done(r) if r.status == 409 => parse::<Verdict>(&r).map(|v| Verdicts::Conflict(v.failed)),
            Outcome::Done(r) => Outcome::Unknown(format!("status {}", r.status)),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// Asks for a lease.
    pub async fn grant(&self, life: Duration) -> Outcome<u64> {
        self.requests.take(1.0);
        let body = format!("{{\"life_ms\":{}}}", life.as_millis()).into_bytes();
        match self.call(Method::POST, "/grants".into(), body, TIMEOUT).await {
            Outcome::Done(r) => read::<Grant>(&r).map(|g| g.lease),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// Renews a lease; `false` means that it has ended.
    pub async fn touch(&self, lease: u64) -> Outcome<bool> {
        self.requests.take(1.0);
        let path = format!("/grants/{lease}/touch");
        self.call(Method::POST, path, b"{}".to_vec(), TIMEOUT / 2).await.map(|r| r.status != 404)
    }

    /// Ends a lease.
    pub async fn revoke(&self, lease: u64) -> Outcome<()> {
        self.requests.take(1.0);
        self.call(Method::DELETE, format!("/grants/{lease}"), Vec::new(), TIMEOUT).await.map(|_| ())
    }

    /// Waits for changes of keys with a prefix after a revision.
    pub async fn follow(&self, prefix: &str, from: u64, wait: Duration) -> Outcome<Watched> {
        self.requests.acquire(1.0).await;
        let path = format!("/follow?starts={prefix}&from={from}&wait_ms={}", wait.as_millis());
        // An open watch remains open through an outage, but a connection can
        // also be dead without a word; what a late answer says is read again.
        match self.send(Method::GET, path, Vec::new(), wait + TIMEOUT).await {
            // All that has changed comes in one answer, however large: asked again
            // from the same revision it would only grow.
            Err(Failure::TooLarge) => Outcome::Done(Watched::TooOld),
            result => match status_outcome(result) {
                Outcome::Done(r) if r.status == 410 => Outcome::Done(Watched::TooOld),
                Outcome::Done(r) => read::<Followed>(&r).map(Watched::Changes),
                Outcome::Refused(e) => Outcome::Refused(e),
                Outcome::Unknown(e) => Outcome::Unknown(e),
            },
        }
    }
}

/// What came of a request by its status: 429 and 503 say that it was not executed.
fn status_outcome(result: Result<Response, Failure>) -> Outcome<Response> {
    match result {
        Ok(r) if r.status == 503 => Outcome::Refused(OUTAGE.into()),
        Ok(r) if r.status == 429 => Outcome::Refused(RATE.into()),
        Ok(r) => Outcome::Done(r),
        Err(failure) => failure.into(),
    }
}

/// Reads a body; a bad answer of the service is an unknown outcome.
fn read<T: DeserializeOwned>(response: &Response) -> Outcome<T> {
    if response.status != 200 {
        return Outcome::Unknown(format!("status {}", response.status));
    }
    parse(response)
}

fn parse<T: DeserializeOwned>(response: &Response) -> Outcome<T> {
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
