//! Group commit: independent atomic updates are combined into shared transactions. The more updates are
//! queued while a transaction is in flight, the larger the next one.

use crate::{STATUS_BAD_REQUEST, StateClient, TransactionResult};
use dapplecroft_net::Outcome;
use dapplecroft_wire::state::{Change, Condition, Transaction};
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Maximum size of a shared transaction, well below the service's limit.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// A group contains at most the changes that this node may make in this number of seconds.
const GROUP_WRITE_SECONDS: f64 = 0.5;
/// Fraction of one second's changes that deferrable updates leave in the write budget, for updates that users
/// or urgent work wait for.
const URGENT_WRITE_RESERVE: f64 = 0.3;
/// A deferrable update that has been queued for this long becomes urgent.
const MAX_DEFERRAL: Duration = Duration::from_secs(2);
/// Pause before the next group while the request budget is scarce, so that the group becomes larger.
const GROUP_GATHER_DELAY: Duration = Duration::from_millis(50);

/// Changes that are made together or not at all.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AtomicUpdate {
    /// Conditions that must all hold for the changes to be made.
    pub conditions: Vec<Condition>,
    /// Changes to make.
    pub changes: Vec<Change>,
}

/// Result of an [`AtomicUpdate`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateResult {
    /// The changes were made at this revision.
    Committed(u64),
    /// The changes were not made, because the conditions on these keys failed.
    Conflict(Vec<String>),
    /// The changes were not made and never will be; holds the reason.
    Refused(String),
    /// It is not known whether the changes were made, and they may still be made later; holds the reason.
    Unknown(String),
}

/// An update that waits to be committed.
struct QueuedUpdate {
    update: AtomicUpdate,
    /// Estimated size of the update in a transaction.
    bytes: usize,
    reply: oneshot::Sender<UpdateResult>,
    priority: CommitPriority,
    /// Whether the update must be committed in a transaction of its own, because the service rejected the
    /// shared transaction that it was part of.
    send_alone: bool,
    queued_at: Instant,
}

/// Order in which queued updates are committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CommitPriority {
    /// A user waits for the update: committed without waiting for the write budget.
    User,
    /// Urgent work waits for the update.
    Urgent,
    /// Everything else.
    Deferrable,
}

/// Queues atomic updates and commits them in groups.
pub struct Committer {
    queue: Mutex<VecDeque<QueuedUpdate>>,
    /// Notified when any update is queued.
    update_queued: Notify,
    /// Notified when a group has been taken from the queue.
    group_taken: Notify,
    /// Notified when an update is queued that is not deferrable.
    urgent_queued: Notify,
    /// Maximum number of changes in a transaction.
    max_changes: AtomicUsize,
    /// Maximum number of queued updates.
    max_queued: usize,
}

impl Committer {
    /// Creates a committer whose transactions have at most `max_changes` changes. It refuses new updates
    /// while `max_queued` updates are queued.
    pub fn new(max_changes: usize, max_queued: usize) -> Self {
        Committer {
            queue: Mutex::default(),
            update_queued: Notify::new(),
            group_taken: Notify::new(),
            urgent_queued: Notify::new(),
            max_changes: AtomicUsize::new(max_changes),
            max_queued,
        }
    }

    /// Sets the maximum number of changes in a transaction.
    pub fn set_max_changes(&self, max_changes: usize) {
        self.max_changes.store(max_changes.max(1), Ordering::Relaxed);
    }

    fn max_changes(&self) -> usize {
        self.max_changes.load(Ordering::Relaxed)
    }

    /// Number of queued updates.
    pub fn queued(&self) -> usize {
        self.lock().len()
    }

    /// Number of queued updates that are not deferrable.
    pub fn queued_urgent(&self) -> usize {
        self.lock().iter().filter(|w| w.priority < CommitPriority::Deferrable).count()
    }

    /// Waits until a group has been taken from the queue.
    pub async fn group_taken(&self) {
        self.group_taken.notified().await;
    }

    /// Queue length from which callers should postpone building further updates, so that these reflect the
    /// latest state when they are built.
    pub fn backlog_target(&self) -> usize {
        (self.max_changes() / 4).max(2)
    }

    /// Queues a deferrable update and waits for its result.
    pub async fn commit(&self, update: AtomicUpdate) -> UpdateResult {
        self.enqueue(update, CommitPriority::Deferrable).await
    }

    /// Queues an update that a user waits for, ahead of all urgent and deferrable updates, and waits for its
    /// result.
    pub async fn commit_for_user(&self, update: AtomicUpdate) -> UpdateResult {
        self.enqueue(update, CommitPriority::User).await
    }

    /// Queues an update that urgent work waits for, behind those that users wait for, and waits for its
    /// result.
    pub async fn commit_urgent(&self, update: AtomicUpdate) -> UpdateResult {
        self.enqueue(update, CommitPriority::Urgent).await
    }

    async fn enqueue(&self, update: AtomicUpdate, priority: CommitPriority) -> UpdateResult {
        let (reply, result) = oneshot::channel();
        let bytes = serde_json::to_vec(&update.changes).map_or(MAX_TRANSACTION_BYTES, |v| v.len())
            + 80 * update.conditions.len();
        {
            let mut queue = self.lock();
            if queue.len() >= self.max_queued {
                return UpdateResult::Refused("commit queue is full".into());
            }
            if priority < CommitPriority::Deferrable {
                self.urgent_queued.notify_one();
            }
            let position = queue.iter().position(|w| w.priority > priority).unwrap_or(queue.len());
            queue.insert(
                position,
                QueuedUpdate { update, bytes, reply, priority, send_alone: false, queued_at: Instant::now() },
            );
        }
        self.update_queued.notify_one();
        result
            .await
            .unwrap_or_else(|_| UpdateResult::Unknown("committer stopped before it reported a result".into()))
    }

    /// Commits queued updates; never returns.
    pub async fn run(&self, client: Arc<StateClient>) {
        loop {
            if self.queued() == 0 {
                self.update_queued.notified().await;
                continue;
            }
            // Updates that are queued during the wait for the write budget join the group. Groups are small
            // and frequent: a large one waits longer for the budget, is more likely to be refused since all
            // nodes share the service's burst, and one outdated condition in it delays more updates.
            let max_group_changes =
                ((client.write_rate() * GROUP_WRITE_SECONDS) as usize).clamp(2, self.max_changes().max(2));
            let rate = client.write_rate();
            match self.next_priority() {
                Some(CommitPriority::User) => {}
                // Urgent updates may overdraw the write budget, but only by about a fifth of a second's
                // changes, since all nodes share the service's burst.
                Some(CommitPriority::Urgent) => {
                    tokio::select! {
                        () = client.wait_for_write_budget(1.0 - rate * 0.2) => {}
                        () = self.urgent_queued.notified() => continue,
                    }
                }
                // Deferrable updates leave part of the burst for updates that cannot wait.
                _ => {
                    let changes = max_group_changes.min(self.queued()) as f64 + rate * URGENT_WRITE_RESERVE;
                    tokio::select! {
                        () = client.wait_for_write_budget(changes) => {}
                        () = self.urgent_queued.notified() => continue,
                    }
                }
            }
            let group = self.next_group(max_group_changes);
            self.group_taken.notify_one();
            self.commit_group(&client, group).await;
            // The request budget is scarce: wait for more updates to join the next group.
            if client.request_burst_left() < 0.5 {
                tokio::time::sleep(GROUP_GATHER_DELAY).await;
            }
        }
    }

    async fn commit_group(&self, client: &StateClient, group: Vec<QueuedUpdate>) {
        let mut transaction = Transaction::default();
        let mut seen = HashSet::new();
        for queued in &group {
            for condition in &queued.update.conditions {
                if seen.insert(condition.key.clone()) {
                    transaction.conditions.push(condition.clone());
                }
            }
            transaction.changes.extend(queued.update.changes.iter().cloned());
        }
        let started = tokio::time::Instant::now();
        let outcome = client.transact(&transaction, true).await;
        let verdict = match &outcome {
            Outcome::Done(TransactionResult::Committed(_)) => "made",
            Outcome::Done(TransactionResult::Conflict(_)) => "in conflict",
            Outcome::Refused(_) => "refused",
            Outcome::Unknown(_) => "unknown",
        };
        tracing::debug!(
            units = group.len(),
            changes = transaction.changes.len(),
            keys = ?transaction.changes.iter().map(Change::key).collect::<Vec<_>>(),
            conditions = transaction.conditions.len(),
            left = self.queued(),
            took = ?started.elapsed(),
            verdict,
            "group commit finished"
        );
        match outcome {
            Outcome::Done(TransactionResult::Committed(revision)) => {
                reply_to_all(group, |_| UpdateResult::Committed(revision));
            }
            Outcome::Done(TransactionResult::Conflict(failed)) => {
                let failed: HashSet<String> = failed.into_iter().collect();
                let mut unaffected = Vec::new();
                for queued in group {
                    let failed_keys: Vec<String> = queued
                        .update
                        .conditions
                        .iter()
                        .filter(|c| failed.contains(&c.key))
                        .map(|c| c.key.clone())
                        .collect();
                    if failed_keys.is_empty() && !failed.is_empty() {
                        unaffected.push(queued);
                    } else {
                        let _ = queued.reply.send(UpdateResult::Conflict(failed_keys));
                    }
                }
                // Updates whose own conditions did not fail are put back at the head of the queue.
                let mut queue = self.lock();
                for queued in unaffected.into_iter().rev() {
                    queue.push_front(queued);
                }
            }
            Outcome::Refused(e) if e.starts_with(STATUS_BAD_REQUEST) && group.len() > 1 => {
                // The service may have lowered its limits. Nothing was changed, so each update is committed
                // in a transaction of its own, and only one that is too large by itself is refused.
                tracing::info!(units = group.len(), error = e, "splitting a rejected transaction");
                let mut queue = self.lock();
                for queued in group.into_iter().rev() {
                    queue.push_front(QueuedUpdate { send_alone: true, ..queued });
                }
            }
            Outcome::Refused(e) => reply_to_all(group, |_| UpdateResult::Refused(e.clone())),
            Outcome::Unknown(e) => reply_to_all(group, |_| UpdateResult::Unknown(e.clone())),
        }
    }

    /// Takes the next group from the queue: updates of one priority that do not conflict with each other and
    /// have at most `max_group_changes` changes together. A single update may exceed the limits.
    fn next_group(&self, max_group_changes: usize) -> Vec<QueuedUpdate> {
        let mut queue = self.lock();
        let mut group: Vec<QueuedUpdate> = Vec::new();
        let (mut changes, mut bytes) = (0, 0);
        let mut conditions: HashMap<String, u64> = HashMap::new();
        let mut written: HashSet<String> = HashSet::new();
        while let Some(next) = queue.front() {
            let update = &next.update;
            let conflicting = update.changes.iter().any(|c| written.contains(c.key()))
                || update.conditions.iter().any(|c| {
                    written.contains(&c.key) || conditions.get(&c.key).is_some_and(|v| *v != c.version)
                });
            let new_conditions =
                update.conditions.iter().filter(|c| !conditions.contains_key(&c.key)).count();
            let full = changes + update.changes.len() > max_group_changes
                || conditions.len() + new_conditions > 4 * self.max_changes()
                || bytes + next.bytes > MAX_TRANSACTION_BYTES;
            // Updates of different priorities are not combined, so that deferrable ones cannot delay others.
            let other_priority = group.first().is_some_and(|w| w.priority != next.priority);
            // An update that is too large by itself is still sent; the service then rejects it.
            let send_alone = next.send_alone || group.first().is_some_and(|w| w.send_alone);
            if !group.is_empty() && (conflicting || full || other_priority || send_alone) {
                break;
            }
            changes += update.changes.len();
            bytes += next.bytes;
            conditions.extend(update.conditions.iter().map(|c| (c.key.clone(), c.version)));
            written.extend(update.changes.iter().map(|c| c.key().to_string()));
            let Some(next) = queue.pop_front() else { break };
            group.push(next);
        }
        group
    }

    /// Priority of the update at the head of the queue, after promoting an overdue deferrable update.
    fn next_priority(&self) -> Option<CommitPriority> {
        let mut queue = self.lock();
        // A steady stream of urgent updates must not starve the deferrable ones.
        let overdue = |w: &QueuedUpdate| {
            w.priority == CommitPriority::Deferrable && w.queued_at.elapsed() >= MAX_DEFERRAL
        };
        if let Some(mut queued) = queue.iter().position(overdue).and_then(|n| queue.remove(n)) {
            queued.priority = CommitPriority::Urgent;
            let position =
                queue.iter().position(|w| w.priority > CommitPriority::User).unwrap_or(queue.len());
            queue.insert(position, queued);
        }
        queue.front().map(|w| w.priority)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<QueuedUpdate>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends every update of a group its result.
fn reply_to_all(group: Vec<QueuedUpdate>, result: impl Fn(&AtomicUpdate) -> UpdateResult) {
    for queued in group {
        let outcome = result(&queued.update);
        let _ = queued.reply.send(outcome);
    }
}
