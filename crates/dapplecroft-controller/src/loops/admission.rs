//! The loop of admission control: the leader asks the controllers what they had to
//! refuse, and grants credit.

use crate::node::{Node, lock, now};
use dapplecroft_net::Outcome;
use dapplecroft_state::{AtomicUpdate, TransactionResult};
use dapplecroft_wire::peer::DemandReply;
use dapplecroft_wire::state::Transaction;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// How often credit is granted.
const ROUND: Duration = Duration::from_secs(1);
/// Shortest pause between rounds, when something wakes the loop earlier.
const SHORTEST_ROUND: Duration = Duration::from_millis(250);
/// How long a controller has to tell its demand.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before a transaction with an unknown outcome is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

impl Node {
    pub(crate) async fn admission_loop(self: Arc<Self>) {
        loop {
            let _ = timeout(ROUND, self.wake_admission.notified()).await;
            if self.with(|core| core.grants_credit(now())) {
                let replies = self.ask_demand().await;
                let wall = self.wall_seconds();
                if let Some(update) = self.with(|core| core.credit_update(&replies, wall, now())) {
                    self.commit_credit(update).await;
                }
            }
            if let Some(update) = self.with(|core| core.lift_update()) {
                tracing::warn!("a live controller knows nothing of admission: no credit is demanded");
                self.commit_credit(update).await;
            }
            sleep(SHORTEST_ROUND).await;
        }
    }

    /// What each controller refused lately; those that do not answer are left out.
    pub(crate) async fn ask_demand(&self) -> BTreeMap<String, DemandReply> {
        let mut asked = JoinSet::new();
        for peer in self.settings.peers.clone() {
            let peers = self.peers.clone();
            asked.spawn(async move {
                let reply = timeout(DEMAND_TIMEOUT, peers.demand(&peer)).await.ok().flatten();
                reply.map(|reply| (peer.host_name, reply))
            });
        }
        let mut replies: BTreeMap<String, DemandReply> =
            asked.join_all().await.into_iter().flatten().collect();
        replies.insert(self.settings.host_name.clone(), self.with(|core| core.own_demand(now())));
        replies
    }

    /// Commits a unit. One with an unknown outcome is tried again until it is made or
    /// its conditions fail: only one of the copies can find them true. Until then nothing
    /// else is granted, since a late copy may change records that another plan leaves
    /// alone.
    async fn commit_credit(&self, update: AtomicUpdate) {
        let transaction = Transaction { conditions: update.conditions, changes: update.changes };
        let mut unknown = false;
        loop {
            match self.state.transact(&transaction, true).await {
                Outcome::Done(TransactionResult::Committed(revision)) => {
                    self.with(|core| core.apply_changes(&transaction.changes, revision, now()));
                    return;
                }
                Outcome::Done(TransactionResult::Conflict(failed)) => {
                    for key in failed {
                        self.refresh(&key, || true).await;
                    }
                    return;
                }
                Outcome::Refused(error) if !unknown => {
                    tracing::debug!(error, "credit not granted");
                    sleep(RETRY_PAUSE).await;
                    return;
                }
                Outcome::Refused(error) | Outcome::Unknown(error) => {
                    unknown = true;
                    tracing::debug!(error, "credit perhaps granted");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Waits until this node's copy of the records shows all that was committed before
    /// the call. Whoever waits meanwhile shares one request; no more than a few may.
    pub(crate) async fn catch_up(&self) -> bool {
        let begun = now();
        let Some(_place) = CatchUpPlace::take(self) else { return false };
        let mut last = self.caught_up_since.lock().await;
        if last.is_some_and(|at| at >= begun) {
            return true;
        }
        if let Some(at) = *last {
            let passed = now().saturating_duration_since(at);
            sleep(CATCH_UP_PAUSE.saturating_sub(passed)).await;
        }
        let sent = now();
        let conditions = self.with(|core| core.credit_conditions());
        let transaction = Transaction { conditions, changes: Vec::new() };
        let revision = match self.state.transact(&transaction, true).await {
            Outcome::Done(TransactionResult::Committed(revision)) => revision,
            Outcome::Done(TransactionResult::Conflict(failed)) => {
                for key in failed {
                    self.refresh(&key, || true).await;
                }
                return false;
            }
            Outcome::Refused(_) | Outcome::Unknown(_) => return false,
        };
        let known = timeout(CATCH_UP_TIMEOUT, async {
            while self.with(|core| core.applied_revision) < revision {
                sleep(CATCH_UP_CHECK).await;
            }
        });
        if known.await.is_err() {
            return false;
        }
        *last = Some(sent);
        true
    }
}

/// Shortest time between two requests of [`Node::catch_up`].
const CATCH_UP_PAUSE: Duration = Duration::from_millis(200);
/// How long the watch may take to bring what is known to be committed.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);
const CATCH_UP_CHECK: Duration = Duration::from_millis(10);
/// The most that wait for the copy at a time: others need their turn too.
const MAX_CATCHING_UP: usize = 64;

/// One of those that may wait for the copy.
struct CatchUpPlace<'a>(&'a Node);

impl<'a> CatchUpPlace<'a> {
    fn take(node: &'a Node) -> Option<CatchUpPlace<'a>> {
        let mut waiting = lock(&node.catching_up);
        (*waiting < MAX_CATCHING_UP).then(|| {
            *waiting += 1;
            CatchUpPlace(node)
        })
    }
}

impl Drop for CatchUpPlace<'_> {
    fn drop(&mut self) {
        *lock(&self.0.catching_up) -= 1;
    }
}
