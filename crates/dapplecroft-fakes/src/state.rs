//! A state service in memory.

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
    data: Value,
    stamp: u64,
    lease: Option<u64>,
}

#[derive(Default)]
struct Inner {
    keys: BTreeMap<String, Entry>,
    ledger: u64,
    log: Vec<(u64, String, Option<Value>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    outage: bool,
    /// Hosts that alone are refused.
    barred: BTreeSet<String>,
    /// How long an answer takes, by host.
    slow: BTreeMap<String, Duration>,
    turned_away: usize,
    largest: usize,
    changes: u64,
    largest_value: usize,
    limits: Option<Limits>,
    level: f64,
    level_at: Option<Instant>,
    refused: Refusals,
}

/// What a state service takes; more is refused.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes of a value.
    pub value: usize,
    /// Changes of a transaction; four times as many conditions.
    pub changes: usize,
    /// Changes a second, with bursts of one second's worth.
    pub rate: f64,
}

/// How often something was refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refusals {
    /// For the size of a value.
    pub values: usize,
    /// For the number of changes or conditions.
    pub transactions: usize,
    /// For the rate of changes.
    pub rate: usize,
}

/// A state service.
#[derive(Default)]
pub struct FakeState {
    inner: Mutex<Inner>,
}

fn answer(status: u16, body: Value) -> Response {
    Response { status, body: body.to_string().into_bytes().into() }
}

async fn wait(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

fn refused() -> Response {
    answer(503, json!({"error": "outage"}))
}

impl FakeState {
    /// An empty state service.
    pub fn new() -> Arc<FakeState> {
        Arc::default()
    }

    /// How many puts and deletes were asked for so far; what fails counts too.
    pub fn changes(&self) -> u64 {
        self.inner.lock().unwrap().changes
    }

    /// Begins or ends an outage; afterwards every lease has its full time.
    pub fn outage(&self, on: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        inner.outage = on;
        for (life, end) in inner.leases.values_mut() {
            *end = Instant::now() + *life;
        }
    }

    /// Refuses one host alone from now on, or no longer: requests get 503, and
    /// its open watches wait as they would in an outage.
    pub fn bar(&self, host: &str, on: bool) {
        let mut inner = self.inner.lock().unwrap();
        if on {
            inner.barred.insert(host.into());
        } else {
            inner.barred.remove(host);
        }
    }

    /// Lets a host's requests take so long from now on: half of it until they
    /// are carried out, half until they are answered.
    pub fn slow(&self, host: &str, by: Duration) {
        self.inner.lock().unwrap().slow.insert(host.into(), by);
    }

    /// How many requests were refused in an outage, or to a host that alone is.
    pub fn turned_away(&self) -> usize {
        self.inner.lock().unwrap().turned_away
    }

    /// Every change of keys with a prefix, in order: revision, key, and value or none.
    pub fn history(&self, prefix: &str) -> Vec<(u64, String, Option<Value>)> {
        let inner = self.inner.lock().unwrap();
        inner.log.iter().filter(|(_, key, _)| key.starts_with(prefix)).cloned().collect()
    }

    /// A key's value.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.inner.lock().unwrap().keys.get(key).map(|e| e.data.clone())
    }

    /// All keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        inner.keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Ends every lease at once, as if none had been renewed in time.
    pub fn end_leases(&self) {
        let mut inner = self.inner.lock().unwrap();
        for (_, end) in inner.leases.values_mut() {
            *end = Instant::now();
        }
        inner.expire();
    }

    /// From now on more than this is refused; what is stored stays.
    pub fn limit(&self, limits: Limits) {
        let mut inner = self.inner.lock().unwrap();
        inner.limits = Some(limits);
        inner.level = limits.rate;
        inner.level_at = Some(Instant::now());
    }

    /// How often something was refused.
    pub fn refused(&self) -> Refusals {
        self.inner.lock().unwrap().refused
    }

    /// Puts a key there, as if it had been written before.
    pub fn put(&self, key: &str, data: Value) {
        let mut inner = self.inner.lock().unwrap();
        inner.ledger += 1;
        let stamp = inner.ledger;
        inner.log.push((stamp, key.into(), Some(data.clone())));
        inner.keys.insert(key.into(), Entry { data, stamp, lease: None });
    }

    /// The most changes that a transaction has had.
    pub fn largest(&self) -> usize {
        self.inner.lock().unwrap().largest
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
            return self.follow(from, path).await;
        }
        let half = self.inner.lock().unwrap().slow.get(from).copied().unwrap_or_default() / 2;
        wait(half).await;
        let answer = {
            let mut inner = self.inner.lock().unwrap();
            inner.expire();
            let shut = inner.outage || inner.barred.contains(from);
            inner.turned_away += usize::from(shut);
            shut.then(refused)
        };
        let answer = answer.unwrap_or_else(|| match path {
            "/multi" => self.multi(body),
            p if p.starts_with("/grants") => self.lease(&method, p, body),
            p => self.read(p),
        });
        wait(half).await;
        answer
    }
}

#[cfg(test)]
mod tests;
