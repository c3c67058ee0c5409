//! Keeping the copy of the records, and confirming what users are told.

use crate::node::{Answered, Node, Question, lock, now};
use crate::records::KEY_PREFIX;
use dapplecroft_net::Outcome;
use dapplecroft_state::{TransactionResult, WatchResult};
use dapplecroft_wire::state::{Condition, Transaction};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a watch stays open. Short, so that one that is lost in the network
/// is soon replaced: a holder's contact depends on it.
const WATCH: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(200);

impl Node {
    pub(crate) async fn follow_loop(self: Arc<Self>) {
        loop {
            while !self.read_all().await {
                sleep(PAUSE).await;
            }
            loop {
                let from = self.with(|core| core.applied_revision);
                match self.state.watch(KEY_PREFIX, from, WATCH).await {
                    Outcome::Done(WatchResult::Changes(followed)) => {
                        let some = !followed.log.is_empty();
                        self.with(|core| core.apply_watch(followed, now()));
                        if some {
                            sleep(self.follow_gap()).await;
                        }
                    }
                    Outcome::Done(WatchResult::RelistRequired) => break,
                    Outcome::Refused(_) | Outcome::Unknown(_) => sleep(PAUSE).await,
                }
            }
        }
    }

    /// Pause between watches that bring changes, so that many small changes
    /// come in few answers.
    fn follow_gap(&self) -> Duration {
        let params = &self.settings.params;
        let share = params.state.rps / f64::from(params.nodes.max(1)) * 0.3;
        Duration::from_secs_f64(1.0 / share.max(1.0))
    }

    async fn read_all(&self) -> bool {
        match self.state.list(KEY_PREFIX).await {
            Outcome::Done((items, revision)) => {
                let count = items.len();
                self.with(|core| core.load_snapshot(items, revision, now()));
                tracing::info!(records = count, revision, "records read");
                self.wake_role.notify_one();
                self.wake_heartbeat.notify_one();
                true
            }
            Outcome::Refused(error) | Outcome::Unknown(error) => {
                tracing::debug!(error, "records cannot be read yet");
                false
            }
        }
    }

    /// Reads a key again, until that succeeds or the caller's reason is gone.
    pub(crate) async fn refresh(&self, key: &str, still: impl Fn() -> bool) -> bool {
        while still() {
            match self.state.get(key).await {
                Outcome::Done((item, revision)) => {
                    self.with(|core| core.apply(key, item.map(|i| i.value), revision, now()));
                    return true;
                }
                Outcome::Refused(_) | Outcome::Unknown(_) => sleep(PAUSE).await,
            }
        }
        false
    }

    /// Answers questions about versions, all that wait in one transaction that
    /// only compares.
    pub(crate) async fn question_loop(self: Arc<Self>) {
        loop {
            let most = 4 * self.with(|core| core.limits().changes);
            let batch: Vec<Question> = {
                let mut questions = lock(&self.questions);
                questions.retain(|q| !q.reply.is_closed());
                let n = questions.len().min(most);
                questions.drain(..n).collect()
            };
            if batch.is_empty() {
                self.wake_questions.notified().await;
                continue;
            }
            self.answer(batch).await;
            // Requests are scarce: the next questions share one.
            if self.state.request_burst_left() < 0.5 {
                sleep(PAUSE / 2).await;
            }
        }
    }

    async fn answer(&self, batch: Vec<Question>) {
        let mut versions: HashMap<&str, u64> = HashMap::new();
        for question in &batch {
            // Two askers may have seen different versions; the older one is
            // then renewed without asking.
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
            // A refusal is soon over or lasts: either way, not at full speed.
            sleep(PAUSE / 4).await;
            for question in batch {
                let _ = question.reply.send(Answered::Unavailable);
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
                Some(true) => Answered::Renewed,
                Some(false) => Answered::Unavailable,
                None => Answered::Confirmed,
            };
            let _ = question.reply.send(answer);
        }
    }
}
