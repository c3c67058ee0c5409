//! The admission control loop: the leader asks each controller which submissions it refused
//! for lack of credit, and grants credit accordingly.

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

/// Time between two rounds of granting credit when nothing wakes the loop earlier.
const GRANT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum pause between two rounds, however often the loop is woken.
const MIN_GRANT_PAUSE: Duration = Duration::from_millis(250);
/// Timeout for a controller's reply to a demand request.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a transaction that was refused or whose outcome is unknown.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

impl Node {
    /// As leader, grants credit once per round. On any controller, suspends the requirement for
    /// credit while a live controller does not support admission control.
    pub(crate) async fn admission_loop(self: Arc<Self>) {
        loop {
            let _ = timeout(GRANT_INTERVAL, self.wake_admission.notified()).await;
            if self.with(|core| core.grants_credit(now())) {
                let replies = self.collect_demand().await;
                let wall_clock_s = self.wall_seconds();
                if let Some(update) = self.with(|core| core.credit_update(&replies, wall_clock_s, now())) {
                    self.commit_credit_update(update).await;
                }
            }
            if let Some(update) = self.with(|core| core.suspension_update()) {
                tracing::warn!(
                    "a live controller does not support admission control: submissions no longer need credit"
                );
                self.commit_credit_update(update).await;
            }
            sleep(MIN_GRANT_PAUSE).await;
        }
    }

    /// Collects each controller's recently refused demand, this one's included. Controllers
    /// that do not reply in time are left out.
    pub(crate) async fn collect_demand(&self) -> BTreeMap<String, DemandReply> {
        let mut requests = JoinSet::new();
        for peer in self.settings.peers.clone() {
            let peers = self.peers.clone();
            requests.spawn(async move {
                let reply = timeout(DEMAND_TIMEOUT, peers.demand(&peer)).await.ok().flatten();
                reply.map(|reply| (peer.host_name, reply))
            });
        }
        let mut replies: BTreeMap<String, DemandReply> =
            requests.join_all().await.into_iter().flatten().collect();
        replies.insert(self.settings.host_name.clone(), self.with(|core| core.own_demand(now())));
        replies
    }

    /// Commits an update of credit records. A transaction with an unknown outcome is repeated
    /// until it commits or its conditions fail, since at most one of the attempts can find the
    /// conditions true. No other grant is made until then: a delayed attempt could still change
    /// records that a newer plan assumes to be unchanged.
    async fn commit_credit_update(&self, update: AtomicUpdate) {
        let transaction = Transaction { conditions: update.conditions, changes: update.changes };
        let mut outcome_unknown = false;
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
                Outcome::Refused(error) if !outcome_unknown => {
                    tracing::debug!(error, "the state service refused a credit update");
                    sleep(RETRY_PAUSE).await;
                    return;
                }
                Outcome::Refused(error) | Outcome::Unknown(error) => {
                    outcome_unknown = true;
                    tracing::debug!(error, "the outcome of a credit update is unknown; retrying");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Waits until this controller's replica of the records contains everything that was
    /// committed before the call; returns whether it does. Concurrent callers share one request
    /// to the state service. Returns false at once if [`MAX_CATCH_UP_WAITERS`] callers wait
    /// already.
    pub(crate) async fn catch_up_replica(&self) -> bool {
        let called_at = now();
        let Some(_permit) = CatchUpPermit::acquire(self) else { return false };
        let mut caught_up_since = self.caught_up_as_of.lock().await;
        if caught_up_since.is_some_and(|at| at >= called_at) {
            return true;
        }
        if let Some(at) = *caught_up_since {
            let elapsed = now().saturating_duration_since(at);
            sleep(MIN_CATCH_UP_INTERVAL.saturating_sub(elapsed)).await;
        }
        let sent_at = now();
        let conditions = self.with(|core| core.freshness_conditions());
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
        let followed = timeout(CATCH_UP_TIMEOUT, async {
            while self.with(|core| core.applied_revision) < revision {
                sleep(CATCH_UP_POLL_INTERVAL).await;
            }
        });
        if followed.await.is_err() {
            return false;
        }
        *caught_up_since = Some(sent_at);
        true
    }
}

/// Minimum time between two requests that [`Node::catch_up_replica`] sends.
const MIN_CATCH_UP_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for the watch to deliver a revision that is known to be committed.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);
/// How often the applied revision is checked while waiting for the watch.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Limit on callers that wait for the replica to catch up, so that these requests do not keep
/// other work from being served.
const MAX_CATCH_UP_WAITERS: usize = 64;

/// Permit to wait in [`Node::catch_up_replica`]; dropping it frees the slot.
struct CatchUpPermit<'a>(&'a Node);

impl<'a> CatchUpPermit<'a> {
    fn acquire(node: &'a Node) -> Option<CatchUpPermit<'a>> {
        let mut waiters = lock(&node.refusals_awaiting_catch_up);
        (*waiters < MAX_CATCH_UP_WAITERS).then(|| {
            *waiters += 1;
            CatchUpPermit(node)
        })
    }
}

impl Drop for CatchUpPermit<'_> {
    fn drop(&mut self) {
        *lock(&self.0.refusals_awaiting_catch_up) -= 1;
    }
}
