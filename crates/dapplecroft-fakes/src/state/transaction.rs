//! Transactions: compare-and-swap on key versions, and the store's limits.

use super::{Entry, FakeState, Inner, answer};
use dapplecroft_net::Response;
use dapplecroft_wire::state::{Change, Transaction};
use serde_json::json;
use tokio::time::Instant;

impl FakeState {
    pub(super) fn multi(&self, body: &[u8]) -> Response {
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
}
