//! A state service in memory.

use crate::net::{Handler, Query};
use async_trait::async_trait;
use dapplecroft_net::Response;
use dapplecroft_wire::state::{Change, Transaction};
use http::Method;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The most keys of one page of a listing.
const MAX_LISTED: usize = 1000;
/// The most bytes of one page of a listing.
const MAX_LISTED_BYTES: usize = 512 * 1024;

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

    fn multi(&self, body: &[u8]) -> Response {
        let mut inner = self.inner.lock().unwrap();
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return answer(400, json!({"error": "malformed"}));
        };
        if let Some(refusal) = inner.refuse(&transaction) {
            return refusal;
        }
        inner.changes += transaction.changes.len() as u64;
        for change in &transaction.changes {
            if let Change::Set { value, .. } = change {
                inner.largest_value = inner.largest_value.max(value.to_string().len());
            }
            if let Change::Set { lease: Some(lease), .. } = change
                && !inner.leases.contains_key(lease)
            {
                return answer(400, json!({"error": "no such lease"}));
            }
        }
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|c| inner.keys.get(&c.key).map_or(0, |e| e.stamp) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return answer(409, json!({"failed": failed, "ledger": inner.ledger}));
        }
        inner.largest = inner.largest.max(transaction.changes.len());
        if !transaction.changes.is_empty() {
            inner.ledger += 1;
        }
        let stamp = inner.ledger;
        for change in transaction.changes {
            match change {
                Change::Set { key, value, lease } => {
                    inner.log.push((stamp, key.clone(), Some(value.clone())));
                    inner.keys.insert(key, Entry { data: value, stamp, lease });
                }
                Change::Drop { key } => {
                    if inner.keys.remove(&key).is_some() {
                        inner.log.push((stamp, key, None));
                    }
                }
            }
        }
        answer(200, json!({"ledger": stamp}))
    }

    fn read(&self, path: &str) -> Response {
        let inner = self.inner.lock().unwrap();
        if let Some(key) = path.strip_prefix("/store/") {
            return match inner.keys.get(key) {
                Some(e) => {
                    answer(200, json!({"k": key, "data": e.data, "stamp": e.stamp, "tenancy": e.lease}))
                }
                None => answer(404, json!({"ledger": inner.ledger})),
            };
        }
        let query = Query::new(path);
        let (prefix, from) = (query.text("starts"), query.text("from"));
        let limit = usize::try_from(query.number("limit")).unwrap_or(MAX_LISTED).clamp(1, MAX_LISTED);
        let (mut items, mut bytes) = (Vec::new(), 0);
        let mut truncated = false;
        for (key, entry) in inner.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > from) {
            let item = json!({"k": key, "data": entry.data, "stamp": entry.stamp});
            bytes += item.to_string().len();
            if items.len() == limit || bytes > MAX_LISTED_BYTES {
                truncated = true;
                break;
            }
            items.push(item);
        }
        answer(200, json!({"items": items, "truncated": truncated, "ledger": inner.ledger}))
    }

    async fn follow(&self, from_host: &str, path: &str) -> Response {
        let query = Query::new(path);
        let (prefix, from) = (query.text("starts"), query.number("from"));
        let end = Instant::now() + Duration::from_millis(query.number("wait_ms"));
        loop {
            {
                let mut inner = self.inner.lock().unwrap();
                inner.expire();
                // In no useful order, and of each key only the last change: the
                // protocol promises no more.
                let mut last: BTreeMap<&String, &(u64, String, Option<Value>)> = BTreeMap::new();
                let begin = inner.log.partition_point(|(stamp, _, _)| *stamp <= from);
                for change in inner.log[begin..].iter().filter(|(_, key, _)| key.starts_with(&prefix)) {
                    last.insert(&change.1, change);
                }
                let log: Vec<Value> = last
                    .into_values()
                    .rev()
                    .map(|(stamp, key, data)| match data {
                        Some(data) => json!({"set": key, "data": data, "stamp": stamp}),
                        None => json!({"drop": key, "stamp": stamp}),
                    })
                    .collect();
                // An open watch remains open through an outage.
                let shut = inner.outage || inner.barred.contains(from_host);
                if !shut && (!log.is_empty() || Instant::now() >= end) {
                    return answer(200, json!({"ledger": inner.ledger, "log": log}));
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn lease(&self, method: &Method, path: &str, body: &[u8]) -> Response {
        let mut inner = self.inner.lock().unwrap();
        if path == "/grants" {
            let body: Value = serde_json::from_slice(body).unwrap();
            let life = Duration::from_millis(body["life_ms"].as_u64().unwrap());
            inner.next_lease += 1;
            let id = inner.next_lease;
            inner.leases.insert(id, (life, Instant::now() + life));
            return answer(200, json!({"tenancy": id}));
        }
        let rest = path.trim_start_matches("/grants/");
        let id: u64 = rest.split('/').next().unwrap().parse().unwrap();
        if *method == Method::DELETE {
            if let Some((_, end)) = inner.leases.get_mut(&id) {
                *end = Instant::now();
            }
            inner.expire();
            return answer(200, json!({}));
        }
        match inner.leases.get_mut(&id) {
            Some((life, end)) => {
                *end = Instant::now() + *life;
                answer(200, json!({}))
            }
            None => answer(404, json!({"error": "no such lease"})),
        }
    }
}

impl Inner {
    fn refuse(&mut self, transaction: &Transaction) -> Option<Response> {
        let limits = self.limits?;
        let large = |c: &Change| match c {
            Change::Set { value, .. } => value.to_string().len() > limits.value,
            Change::Drop { .. } => false,
        };
        if transaction.changes.iter().any(large) {
            self.refused.values += 1;
            return Some(answer(400, json!({"error": "the value is too large"})));
        }
        let (changes, conditions) = (transaction.changes.len(), transaction.conditions.len());
        if changes > limits.changes || conditions > 4 * limits.changes {
            self.refused.transactions += 1;
            return Some(answer(400, json!({"error": "too many operations"})));
        }
        let now = Instant::now();
        let passed = self.level_at.replace(now).map_or(0.0, |at| (now - at).as_secs_f64());
        self.level = (self.level + passed * limits.rate).min(limits.rate);
        if self.level < changes as f64 {
            self.refused.rate += 1;
            return Some(answer(429, json!({"error": "too many changes"})));
        }
        self.level -= changes as f64;
        None
    }

    fn expire(&mut self) {
        if self.outage {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.leases.remove(&id);
            let keys: Vec<String> =
                self.keys.iter().filter(|(_, e)| e.lease == Some(id)).map(|(k, _)| k.clone()).collect();
            for key in keys {
                self.ledger += 1;
                self.keys.remove(&key);
                let stamp = self.ledger;
                self.log.push((stamp, key, None));
            }
        }
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
