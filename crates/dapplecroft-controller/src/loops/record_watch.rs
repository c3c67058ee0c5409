//! Keeps this controller's replica of the records up to date, and checks record versions with
//! the state service before users are answered.

use crate::node::{Node, VersionCheck, VersionCheckResult, lock, now};
use crate::records::KEY_PREFIX;
use dapplecroft_net::Outcome;
use dapplecroft_state::{TransactionResult, WatchResult};
use dapplecroft_wire::state::{Condition, Transaction};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a watch request stays open. Short, so that a watch lost in the network is soon
/// replaced: a shard holder's contact with the state service depends on the watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a failed request to the state service is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

impl Node {
    /// Loads all records, then follows their changes. Loads them again when the revision that
    /// was followed last is too old to continue from.
    pub(crate) async fn watch_loop(self: Arc<Self>) {
        loop {
            while !self.load_all_records().await {
                sleep(RETRY_PAUSE).await;
            }
            loop {
                let from = self.with(|core| core.applied_revision);
                match self.state.watch(KEY_PREFIX, from, WATCH_TIMEOUT).await {
                    Outcome::Done(WatchResult::Changes(followed)) => {
                        let has_changes = !followed.log.is_empty();
                        self.with(|core| core.apply_watch(followed, now()));
                        if has_changes {
                            sleep(self.watch_pause()).await;
                        }
                    }
                    Outcome::Done(WatchResult::RelistRequired) => break,
                    Outcome::Refused(_) | Outcome::Unknown(_) => sleep(RETRY_PAUSE).await,
                }
            }
        }
    }

    /// Pause after a watch reply that contained changes, so that frequent small changes arrive
    /// in few replies. Limits watches to 30 % of this controller's share of requests.
    fn watch_pause(&self) -> Duration {
        let params = &self.settings.params;
        let share = params.state.rps / f64::from(params.nodes.max(1)) * 0.3;
        Duration::from_secs_f64(1.0 / share.max(1.0))
    }

    /// Replaces the replica by a full listing of the records; returns whether that succeeded.
    async fn load_all_records(&self) -> bool {
        match self.state.list(KEY_PREFIX).await {
            Outcome::Done((items, revision)) => {
                let count = items.len();
                self.with(|core| core.load_snapshot(items, revision, now()));
                tracing::info!(records = count, revision, "loaded all records from the state service");
                self.wake_role.notify_one();
                self.wake_heartbeat.notify_one();
                true
            }
            Outcome::Refused(error) | Outcome::Unknown(error) => {
                tracing::debug!(error, "the records could not be loaded; retrying");
                false
            }
        }
    }

    /// Reads a record from the state service into the replica. Retries until that succeeds or
    /// `still_needed` returns false; returns whether the record was read.
    pub(crate) async fn refresh(&self, key: &str, still_needed: impl Fn() -> bool) -> bool {
        while still_needed() {
            match self.state.get(key).await {
                Outcome::Done((item, revision)) => {
                    self.with(|core| core.apply(key, item.map(|i| i.value), revision, now()));
                    return true;
                }
                Outcome::Refused(_) | Outcome::Unknown(_) => sleep(RETRY_PAUSE).await,
            }
        }
        false
    }

    /// Answers questions whether a record still has a given version. Waiting questions share one
    /// transaction, which has conditions but no changes.
    pub(crate) async fn version_check_loop(self: Arc<Self>) {
        loop {
            let max_conditions = 4 * self.with(|core| core.limits().changes);
            let batch: Vec<VersionCheck> = {
                let mut questions = lock(&self.version_checks);
                questions.retain(|q| !q.reply.is_closed());
                let n = questions.len().min(max_conditions);
                questions.drain(..n).collect()
            };
            if batch.is_empty() {
                self.wake_version_checks.notified().await;
                continue;
            }
            self.check_versions(batch).await;
            // Few requests are left in the budget: waits so that more questions share the next one.
            if self.state.request_burst_left() < 0.5 {
                sleep(RETRY_PAUSE / 2).await;
            }
        }
    }

    /// Checks the versions of a batch of questions with the state service and answers them.
    /// Reads again each record whose version differs.
    async fn check_versions(&self, batch: Vec<VersionCheck>) {
        let mut versions: HashMap<&str, u64> = HashMap::new();
        for question in &batch {
            // Two questions may name different versions of a record. Only the newer one is
            // checked, since the older one is outdated in any case.
            let entry = versions.entry(&question.key).or_insert(question.version);
            *entry = (*entry).max(question.version);
        }
        let conditions =
            versions.iter().map(|(key, version)| Condition { key: key.to_string(), version: *version });
        let transaction = Transaction { conditions: conditions.collect(), changes: Vec::new() };
        let failed = match self.state.transact(&transaction, true).await {
            Outcome::Done(TransactionResult::Committed(_)) => Some(Vec::new()),
            Outcome::Done(TransactionResult::Conflict(failed)) => Some(failed),
            Outcome::Refused(_) | Outcome::Unknown(_) => None,
        };
        let Some(failed) = failed else {
            // The state service is unavailable, briefly or for long: limits the rate of retries.
            sleep(RETRY_PAUSE / 4).await;
            for question in batch {
                let _ = question.reply.send(VersionCheckResult::Unavailable);
            }
            return;
        };
        let mut renewed: HashMap<String, bool> = HashMap::new();
        for key in failed {
            let read = match self.state.get(&key).await {
                Outcome::Done((item, revision)) => {
                    self.with(|core| core.apply(&key, item.map(|i| i.value), revision, now()));
                    true
                }
                Outcome::Refused(_) | Outcome::Unknown(_) => false,
            };
            renewed.insert(key, read);
        }
        for question in batch {
            let answer = match renewed.get(&question.key) {
                Some(true) => VersionCheckResult::Refreshed,
                Some(false) => VersionCheckResult::Unavailable,
                None => VersionCheckResult::Confirmed,
            };
            let _ = question.reply.send(answer);
        }
    }
}
