//! Compare-and-swap transactions conditional on key versions, and the store's limits.

use super::{Entry, FakeState, Inner, json_response};
use dapplecroft_net::Response;
use dapplecroft_wire::state::{Change, Transaction};
use serde_json::json;
use tokio::time::Instant;

/// Maximum number of conditions in a transaction, per change that the limits allow.
const CONDITIONS_PER_CHANGE: usize = 4;

impl FakeState {
    /// Applies all changes of a transaction at one revision if every key that it has a
    /// condition on still has the expected version (0: the key does not exist).
    /// Otherwise answers 409 with the keys that differ.
    pub(super) fn transact(&self, body: &[u8]) -> Response {
        let mut inner = self.inner.lock().unwrap();
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return json_response(400, json!({"error": "malformed"}));
        };
        if let Some(refusal) = inner.check_limits(&transaction) {
            return refusal;
        }
        inner.changes_requested += transaction.changes.len() as u64;
        for change in &transaction.changes {
            if let Change::Set { value, .. } = change {
                inner.largest_value = inner.largest_value.max(value.to_string().len());
            }
            if let Change::Set { lease: Some(lease), .. } = change
                && !inner.leases.contains_key(lease)
            {
                return json_response(400, json!({"error": "no such lease"}));
            }
        }
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|c| inner.entries.get(&c.key).map_or(0, |e| e.version) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return json_response(409, json!({"failed": failed, "ledger": inner.revision}));
        }
        inner.largest_transaction = inner.largest_transaction.max(transaction.changes.len());
        if !transaction.changes.is_empty() {
            inner.revision += 1;
        }
        let revision = inner.revision;
        for change in transaction.changes {
            match change {
                Change::Set { key, value, lease } => {
                    inner.changelog.push((revision, key.clone(), Some(value.clone())));
                    inner.entries.insert(key, Entry { value, version: revision, lease });
                }
                Change::Drop { key } => {
                    if inner.entries.remove(&key).is_some() {
                        inner.changelog.push((revision, key, None));
                    }
                }
            }
        }
        json_response(200, json!({"ledger": revision}))
    }
}

impl Inner {
    /// Returns the error response if the transaction exceeds a limit; otherwise takes
    /// its changes from the rate budget.
    fn check_limits(&mut self, transaction: &Transaction) -> Option<Response> {
        let limits = self.limits?;
        let too_large = |c: &Change| match c {
            Change::Set { value, .. } => value.to_string().len() > limits.value,
            Change::Drop { .. } => false,
        };
        if transaction.changes.iter().any(too_large) {
            self.rejections.values += 1;
            return Some(json_response(400, json!({"error": "the value is too large"})));
        }
        let (changes, conditions) = (transaction.changes.len(), transaction.conditions.len());
        if changes > limits.changes || conditions > CONDITIONS_PER_CHANGE * limits.changes {
            self.rejections.transactions += 1;
            return Some(json_response(400, json!({"error": "too many operations"})));
        }
        let now = Instant::now();
        let elapsed_s = self.rate_budget_updated_at.replace(now).map_or(0.0, |at| (now - at).as_secs_f64());
        self.rate_budget = (self.rate_budget + elapsed_s * limits.rate).min(limits.rate);
        if self.rate_budget < changes as f64 {
            self.rejections.rate += 1;
            return Some(json_response(429, json!({"error": "too many changes"})));
        }
        self.rate_budget -= changes as f64;
        None
    }
}
