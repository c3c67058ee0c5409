//! An in-memory stand-in for the state service, a consensus-backed key-value
//! store: versioned keys, compare-and-swap transactions, leases and watches. Tests
//! can inject outages, refuse single hosts, add delays and set limits.

use crate::net::Handler;
use async_trait::async_trait;
use dapplecroft_net::Response;
use http::Method;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

mod leases;
mod reads;
mod transaction;

/// A stored key's value.
struct Entry {
    value: Value,
    /// Revision of the store at which the key was last written.
    version: u64,
    /// ID of the lease whose expiry deletes the key.
    lease: Option<u64>,
}

#[derive(Default)]
struct Inner {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    /// All changes since the start: revision, key, and the new value or `None` if the
    /// key was deleted.
    changelog: Vec<(u64, String, Option<Value>)>,
    /// Time to live and expiry of each lease, by lease ID.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    outage: bool,
    /// Hosts whose requests are rejected although there is no outage.
    refused_hosts: BTreeSet<String>,
    /// How long the store takes to answer a request, by sending host.
    delays: BTreeMap<String, Duration>,
    /// Requests rejected because of an outage or of `refused_hosts`.
    rejected_requests: usize,
    largest_transaction: usize,
    changes_requested: u64,
    largest_value: usize,
    limits: Option<Limits>,
    /// Token bucket of `Limits::rate`: how many changes may be made at once right now.
    rate_budget: f64,
    rate_budget_updated_at: Option<Instant>,
    /// Transactions rejected because of `limits`.
    rejections: Refusals,
}

/// Limits of the store; a transaction that exceeds one is rejected.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of a value, in bytes of its JSON text.
    pub value: usize,
    /// Maximum number of changes in a transaction. A transaction may have four times
    /// as many conditions.
    pub changes: usize,
    /// Maximum number of changes per second; a burst may use up one second's worth at once.
    pub rate: f64,
}

/// Number of transactions rejected by each limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Transactions with a value larger than [`Limits::value`].
    pub values: usize,
    /// Transactions with more changes than [`Limits::changes`], or too many conditions.
    pub transactions: usize,
    /// Transactions beyond [`Limits::rate`].
    pub rate: usize,
}

/// An in-memory stand-in for the state service.
#[derive(Default)]
pub struct FakeState {
    inner: Mutex<Inner>,
}

fn json_response(status: u16, body: Value) -> Response {
    Response { status, body: body.to_string().into_bytes().into() }
}

/// Sleeps, but does not even yield to other tasks if `time` is zero.
async fn sleep_unless_zero(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

fn outage_response() -> Response {
    json_response(503, json!({"error": "outage"}))
}

impl FakeState {
    /// Creates an empty store.
    pub fn new() -> Arc<FakeState> {
        Arc::default()
    }

    /// Returns how many puts and deletes have been requested so far. Changes of
    /// transactions whose conditions failed are counted too, but not those of
    /// transactions that exceeded a limit.
    pub fn changes(&self) -> u64 {
        self.inner.lock().unwrap().changes_requested
    }

    /// Begins or ends an outage, during which requests are answered with status 503 and
    /// watches stay silent. No lease expires meanwhile, and all leases are renewed for
    /// their full time when it ends.
    pub fn outage(&self, on: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.expire_leases();
        inner.outage = on;
        for (ttl, expires_at) in inner.leases.values_mut() {
            *expires_at = Instant::now() + *ttl;
        }
    }

    /// Starts or stops rejecting the requests of one host: they are answered with
    /// status 503, and the host's open watches stay silent as during an outage.
    pub fn bar(&self, host: &str, on: bool) {
        let mut inner = self.inner.lock().unwrap();
        if on {
            inner.refused_hosts.insert(host.into());
        } else {
            inner.refused_hosts.remove(host);
        }
    }

    /// Delays a host's requests from now on: half of the delay passes before a
    /// request is executed, the other half before its response is sent.
    pub fn slow(&self, host: &str, by: Duration) {
        self.inner.lock().unwrap().delays.insert(host.into(), by);
    }

    /// Returns how many requests were rejected because of an outage or because their
    /// host is barred. Watches are not counted.
    pub fn turned_away(&self) -> usize {
        self.inner.lock().unwrap().rejected_requests
    }

    /// Returns all changes of keys with a prefix, in order: revision, key, and the new
    /// value or `None` if the key was deleted.
    pub fn history(&self, prefix: &str) -> Vec<(u64, String, Option<Value>)> {
        let inner = self.inner.lock().unwrap();
        inner.changelog.iter().filter(|(_, key, _)| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.inner.lock().unwrap().entries.get(key).map(|e| e.value.clone())
    }

    /// Returns all keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        inner.entries.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Expires every lease now, as if none had been renewed in time.
    pub fn end_leases(&self) {
        let mut inner = self.inner.lock().unwrap();
        for (_, expires_at) in inner.leases.values_mut() {
            *expires_at = Instant::now();
        }
        inner.expire_leases();
    }

    /// Sets the limits from now on. Values that are already stored are not affected.
    pub fn limit(&self, limits: Limits) {
        let mut inner = self.inner.lock().unwrap();
        inner.limits = Some(limits);
        inner.rate_budget = limits.rate;
        inner.rate_budget_updated_at = Some(Instant::now());
    }

    /// Returns how many transactions each limit has rejected.
    pub fn refused(&self) -> Refusals {
        self.inner.lock().unwrap().rejections
    }

    /// Writes a key directly, without a transaction and regardless of the limits.
    pub fn put(&self, key: &str, data: Value) {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        inner.changelog.push((revision, key.into(), Some(data.clone())));
        inner.entries.insert(key.into(), Entry { value: data, version: revision, lease: None });
    }

    /// Returns the largest number of changes in any committed transaction.
    pub fn largest(&self) -> usize {
        self.inner.lock().unwrap().largest_transaction
    }

    /// Returns the size in bytes of the largest value in any transaction so far; only
    /// transactions that exceeded a limit are not counted.
    pub fn largest_value(&self) -> usize {
        self.inner.lock().unwrap().largest_value
    }
}

#[async_trait]
impl Handler for FakeState {
    async fn handle(&self, from: &str, method: Method, path: &str, body: &[u8]) -> Response {
        if path.starts_with("/follow") {
            return self.watch(from, path).await;
        }
        let half_delay = self.inner.lock().unwrap().delays.get(from).copied().unwrap_or_default() / 2;
        sleep_unless_zero(half_delay).await;
        let answer = {
            let mut inner = self.inner.lock().unwrap();
            inner.expire_leases();
            let rejected = inner.outage || inner.refused_hosts.contains(from);
            inner.rejected_requests += usize::from(rejected);
            rejected.then(outage_response)
        };
        let answer = answer.unwrap_or_else(|| match path {
            "/multi" => self.transact(body),
            p if p.starts_with("/grants") => self.serve_lease(&method, p, body),
            p => self.read(p),
        });
        sleep_unless_zero(half_delay).await;
        answer
    }
}

#[cfg(test)]
mod tests;
