//! Group commit: units of change that are atomic by themselves are carried in
//! shared transactions, whose size grows with what has queued up meanwhile.

use crate::{STATUS_BAD_REQUEST, StateClient, TransactionResult};
use dapplecroft_net::Outcome;
use dapplecroft_wire::state::{Change, Condition, Transaction};
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// The largest transaction that is put together, well under the service's limit.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// A group has the changes that this node may make in about so many seconds.
const GROUP_WRITE_SECONDS: f64 = 0.5;
/// The part of a second's changes that is kept for what users wait for.
const URGENT_WRITE_RESERVE: f64 = 0.3;
/// What can wait is no longer put behind what can't after so long.
const MAX_DEFERRAL: Duration = Duration::from_secs(2);
/// How long a group gathers while requests are scarce.
const GROUP_GATHER_DELAY: Duration = Duration::from_millis(50);

/// A change that is made whole or not at all.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AtomicUpdate {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Changes.
    pub changes: Vec<Change>,
}

/// What became of a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateResult {
    /// Made, at this revision.
    Committed(u64),
    /// Not made: these keys were not as the conditions said.
    Conflict(Vec<String>),
    /// Not made, and never will be.
    Refused(String),
    /// Nobody knows; it may yet be made.
    Unknown(String),
}

struct QueuedUpdate {
    update: AtomicUpdate,
    bytes: usize,
    reply: oneshot::Sender<UpdateResult>,
    priority: CommitPriority,
    /// Whether it goes without others: together they were refused.
    send_alone: bool,
    queued_at: Instant,
}

/// What goes before what.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CommitPriority {
    /// A user waits for it: at once.
    User,
    /// Urgent work waits for it.
    Urgent,
    /// All else.
    Deferrable,
}

/// Collects units and commits them in groups.
pub struct Committer {
    queue: Mutex<VecDeque<QueuedUpdate>>,
    update_queued: Notify,
    group_taken: Notify,
    urgent_queued: Notify,
    max_changes: AtomicUsize,
    max_queued: usize,
}

impl Committer {
    /// A committer for transactions of up to `max_changes`; it refuses units
    /// once `max_queued` are waiting.
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

    /// Changes the most that transactions have from now on.
    pub fn set_max_changes(&self, max_changes: usize) {
        self.max_changes.store(max_changes.max(1), Ordering::Relaxed);
    }

    fn max_changes(&self) -> usize {
        self.max_changes.load(Ordering::Relaxed)
    }

    /// How many units are waiting.
    pub fn queued(&self) -> usize {
        self.lock().len()
    }

    /// How many of them go before what can wait.
    pub fn queued_urgent(&self) -> usize {
        self.lock().iter().filter(|w| w.priority < CommitPriority::Deferrable).count()
    }

    /// Waits until a group was taken from the queue.
    pub async fn group_taken(&self) {
        self.group_taken.notified().await;
    }

    /// How many units may wait before it is better to put none together yet.
    pub fn backlog_target(&self) -> usize {
        (self.max_changes() / 4).max(2)
    }

    /// Queues a unit and waits for its result.
    pub async fn commit(&self, update: AtomicUpdate) -> UpdateResult {
        self.enqueue(update, CommitPriority::Deferrable).await
    }

    /// The same, ahead of what is queued already: a user waits for it.
    pub async fn commit_for_user(&self, update: AtomicUpdate) -> UpdateResult {
        self.enqueue(update, CommitPriority::User).await
    }

    /// The same, behind what users wait for: urgent work waits for it.
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
                return UpdateResult::Refused("too many changes waiting".into());
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
        result.await.unwrap_or_else(|_| UpdateResult::Unknown("committer ended".into()))
    }

    /// Commits what is queued, for ever.
    pub async fn run(&self, client: Arc<StateClient>) {
        loop {
            if self.queued() == 0 {
                self.update_queued.notified().await;
                continue;
            }
            // What joins the queue while changes have to be waited for goes along.
            // Small groups, often: a large one waits longer, is refused sooner
            // since the service's bursts are shared, and one outdated condition
            // spoils it for more.
            let max_group_changes =
                ((client.write_rate() * GROUP_WRITE_SECONDS) as usize).clamp(2, self.max_changes().max(2));
            let rate = client.write_rate();
            match self.next_priority() {
                Some(CommitPriority::User) => {}
                // Soon, unless what went soon has used up what comes next
                // already: the service's bursts are shared.
                Some(CommitPriority::Urgent) => {
                    tokio::select! {
                        () = client.wait_for_write_budget(1.0 - rate * 0.2) => {}
                        () = self.urgent_queued.notified() => continue,
                    }
                }
                // A part of the burst is kept for what can't wait.
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
            // Requests are scarce: the next group waits for company.
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
            "changes committed together"
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
                // Units that only shared the transaction go first next time.
                let mut queue = self.lock();
                for queued in unaffected.into_iter().rev() {
                    queue.push_front(queued);
                }
            }
            Outcome::Refused(e) if e.starts_with(STATUS_BAD_REQUEST) && group.len() > 1 => {
                // Limits may have become smaller. Nothing was made: each goes by
                // itself, and only what is too large alone is refused.
                tracing::info!(units = group.len(), error = e, "a transaction is split");
                let mut queue = self.lock();
                for queued in group.into_iter().rev() {
                    queue.push_front(QueuedUpdate { send_alone: true, ..queued });
                }
            }
            Outcome::Refused(e) => reply_to_all(group, |_| UpdateResult::Refused(e.clone())),
            Outcome::Unknown(e) => reply_to_all(group, |_| UpdateResult::Unknown(e.clone())),
        }
    }

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
            // What can't wait goes without the others.
            let other_priority = group.first().is_some_and(|w| w.priority != next.priority);
            // A unit that is too large by itself still goes, and is refused there.
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

    fn next_priority(&self) -> Option<CommitPriority> {
        let mut queue = self.lock();
        // What can wait must not wait for ever behind what comes and comes.
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

fn reply_to_all(group: Vec<QueuedUpdate>, result: impl Fn(&AtomicUpdate) -> UpdateResult) {
    for queued in group {
        let outcome = result(&queued.update);
        let _ = queued.reply.send(outcome);
    }
}
