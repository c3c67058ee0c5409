//! An in-memory consensus-backed key-value store: versioned keys, compare-and-
//! swap transactions, leases and watches, with outages, refused hosts, delays
//! and limits on demand.

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

struct Entry {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

#[derive(Default)]
struct Inner {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    changelog: Vec<(u64, String, Option<Value>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    outage: bool,
    /// Hosts that alone are refused.
    refused_hosts: BTreeSet<String>,
    /// How long an answer takes, by host.
    delays: BTreeMap<String, Duration>,
    rejected_requests: usize,
    largest_transaction: usize,
    changes_requested: u64,
    largest_value: usize,
    limits: Option<Limits>,
    rate_budget: f64,
    rate_budget_updated_at: Option<Instant>,
    rejections: Refusals,
}

/// Limits of the store; a transaction beyond them is rejected.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes of a value.
    pub value: usize,
    /// Changes of a transaction; four times as many conditions.
    pub changes: usize,
    /// Changes a second, with bursts of one second's worth.
    pub rate: f64,
}

/// How many transactions were rejected, by limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refusals {
    /// For the size of a value.
    pub values: usize,
    /// For the number of changes or conditions.
    pub transactions: usize,
    /// For the rate of changes.
    pub rate: usize,
}

/// An in-memory consensus-backed key-value store.
#[derive(Default)]
pub struct FakeState {
    inner: Mutex<Inner>,
}

fn json_response(status: u16, body: Value) -> Response {
    Response { status, body: body.to_string().into_bytes().into() }
}

async fn sleep_unless_zero(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

fn outage_response() -> Response {
    json_response(503, json!({"error": "outage"}))
}

impl FakeState {
    /// An empty store.
    pub fn new() -> Arc<FakeState> {
        Arc::default()
    }

    /// How many puts and deletes were asked for so far; what fails counts too.
    pub fn changes(&self) -> u64 {
        self.inner.lock().unwrap().changes_requested
    }

    /// Begins or ends an outage; afterwards every lease has its full time.
    pub fn outage(&self, on: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.expire_leases();
        inner.outage = on;
        for (ttl, expires_at) in inner.leases.values_mut() {
            *expires_at = Instant::now() + *ttl;
        }
    }

    /// Refuses one host alone from now on, or no longer: requests get 503, and
    /// its open watches wait as they would in an outage.
    pub fn bar(&self, host: &str, on: bool) {
        let mut inner = self.inner.lock().unwrap();
        if on {
            inner.refused_hosts.insert(host.into());
        } else {
            inner.refused_hosts.remove(host);
        }
    }

    /// Lets a host's requests take so long from now on: half of it until they
    /// are carried out, half until they are answered.
    pub fn slow(&self, host: &str, by: Duration) {
        self.inner.lock().unwrap().delays.insert(host.into(), by);
    }

    /// How many requests were refused in an outage, or to a host that alone is.
    pub fn turned_away(&self) -> usize {
        self.inner.lock().unwrap().rejected_requests
    }

    /// Every change of keys with a prefix, in order: revision, key, and value or none.
    pub fn history(&self, prefix: &str) -> Vec<(u64, String, Option<Value>)> {
        let inner = self.inner.lock().unwrap();
        inner.changelog.iter().filter(|(_, key, _)| key.starts_with(prefix)).cloned().collect()
    }

    /// A key's value.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.inner.lock().unwrap().entries.get(key).map(|e| e.value.clone())
    }

    /// All keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        inner.entries.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Ends every lease at once, as if none had been renewed in time.
    pub fn end_leases(&self) {
        let mut inner = self.inner.lock().unwrap();
        for (_, expires_at) in inner.leases.values_mut() {
            *expires_at = Instant::now();
        }
        inner.expire_leases();
    }

    /// From now on more than this is refused; what is stored stays.
    pub fn limit(&self, limits: Limits) {
        let mut inner = self.inner.lock().unwrap();
        inner.limits = Some(limits);
        inner.rate_budget = limits.rate;
        inner.rate_budget_updated_at = Some(Instant::now());
    }

    /// How often something was refused.
    pub fn refused(&self) -> Refusals {
        self.inner.lock().unwrap().rejections
    }

    /// Puts a key there, as if it had been written before.
    pub fn put(&self, key: &str, data: Value) {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        inner.changelog.push((revision, key.into(), Some(data.clone())));
        inner.entries.insert(key.into(), Entry { value: data, version: revision, lease: None });
    }

    /// The most changes that a transaction has had.
    pub fn largest(&self) -> usize {
        self.inner.lock().unwrap().largest_transaction
    }

    /// The most bytes that a value has had.
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
