//! Reads: single keys, paginated lists of keys, and watches for changes.

use super::{FakeState, json_response};
use crate::net::Query;
use dapplecroft_net::Response;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often an open watch checks for new changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of keys on one page of a list.
const MAX_LISTED: usize = 1000;
/// Maximum size of one page of a list, in bytes.
const MAX_LISTED_BYTES: usize = 512 * 1024;

impl FakeState {
    /// Answers a read of one key (`/store/KEY`) or one page of a list of keys by prefix.
    pub(super) fn read(&self, path: &str) -> Response {
        let inner = self.inner.lock().unwrap();
        if let Some(key) = path.strip_prefix("/store/") {
            return match inner.entries.get(key) {
                Some(e) => json_response(
                    200,
                    json!({"k": key, "data": e.value, "stamp": e.version, "tenancy": e.lease}),
                ),
                None => json_response(404, json!({"ledger": inner.revision})),
            };
        }
        let query = Query::new(path);
        let (prefix, from) = (query.text("starts"), query.text("from"));
        let limit = usize::try_from(query.number("limit")).unwrap_or(MAX_LISTED).clamp(1, MAX_LISTED);
        let (mut items, mut bytes) = (Vec::new(), 0);
        let mut truncated = false;
        for (key, entry) in inner.entries.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > from) {
            let item = json!({"k": key, "data": entry.value, "stamp": entry.version});
            bytes += item.to_string().len();
            if items.len() == limit || bytes > MAX_LISTED_BYTES {
                truncated = true;
                break;
            }
            items.push(item);
        }
        json_response(200, json!({"items": items, "truncated": truncated, "ledger": inner.revision}))
    }

    /// Answers a watch as soon as there is a change of a key with the prefix after the
    /// revision `from`, or without changes once the request's waiting time is over.
    pub(super) async fn watch(&self, from_host: &str, path: &str) -> Response {
        let query = Query::new(path);
        let (prefix, from) = (query.text("starts"), query.number("from"));
        let deadline = Instant::now() + Duration::from_millis(query.number("wait_ms"));
        loop {
            {
                let mut inner = self.inner.lock().unwrap();
                inner.expire_leases();
                // Only the last change of each key, in reverse order of keys: the protocol
                // guarantees neither an order nor the intermediate changes, and clients
                // must not rely on them.
                let mut last: BTreeMap<&String, &(u64, String, Option<Value>)> = BTreeMap::new();
                let begin = inner.changelog.partition_point(|(revision, _, _)| *revision <= from);
                for change in inner.changelog[begin..].iter().filter(|(_, key, _)| key.starts_with(&prefix)) {
                    last.insert(&change.1, change);
                }
                let log: Vec<Value> = last
                    .into_values()
                    .rev()
                    .map(|(revision, key, data)| match data {
                        Some(data) => json!({"set": key, "data": data, "stamp": revision}),
                        None => json!({"drop": key, "stamp": revision}),
                    })
                    .collect();
                // An open watch stays open during an outage but reports nothing.
                let rejected = inner.outage || inner.refused_hosts.contains(from_host);
                if !rejected && (!log.is_empty() || Instant::now() >= deadline) {
                    return json_response(200, json!({"ledger": inner.revision, "log": log}));
                }
            }
            sleep(WATCH_POLL_INTERVAL).await;
        }
    }
}
