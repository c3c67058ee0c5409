//! Group commit: units of change that are atomic by themselves are carried in
//! shared transactions, whose size grows with what has queued up meanwhile.

use crate::{StateClient, TOO_LARGE, Verdicts};
use dapplecroft_net::Outcome;
use dapplecroft_wire::state::{Change, Condition, Transaction};
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// The largest transaction that is put together, well under the service's limit.
const MAX_BYTES: usize = 48 * 1024;

/// A group has the changes that this node may make in about so many seconds.
const GROUP_SECONDS: f64 = 0.5;
/// The part of a second's changes that is kept for what users wait for.
const RESERVE: f64 = 0.3;
/// What can wait is no longer put behind what can't after so long.
const LATEST: Duration = Duration::from_secs(2);
/// How long a group gathers while requests are scarce.
const GATHER: Duration = Duration::from_millis(50);

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

struct Waiting {
    update: AtomicUpdate,
    bytes: usize,
    reply: oneshot::Sender<UpdateResult>,
    rank: Rank,
    /// Whether it goes without others: together they were refused.
    alone: bool,
    since: Instant,
}

/// What goes before what.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// A user waits for it: at once.
    User,
    /// Urgent work waits for it.
    Soon,
    /// All else.
    Later,
}

/// Collects units and commits them in groups.
pub struct Committer {
    queue: Mutex<VecDeque<Waiting>>,
    wake: Notify,
    taken: Notify,
    urgent: Notify,
    max_changes: AtomicUsize,
    bound: usize,
}

impl Committer {
    /// A committer for transactions of up to `max_changes`; it refuses units
    /// once `bound` are waiting.
    pub fn new(max_changes: usize, bound: usize) -> Self {
        Committer {
            queue: Mutex::default(),
            wake: Notify::new(),
            taken: Notify::new(),
            urgent: Notify::new(),
            max_changes: AtomicUsize::new(max_changes),
            bound,
        }
    }

    /// Changes the most that transactions have from now on.
    pub fn set_max_changes(&self, most: usize) {
        self.max_changes.store(most.max(1), Ordering::Relaxed);
    }

    fn max_changes(&self) -> usize {
        self.max_changes.load(Ordering::Relaxed)
    }

    /// How many units are waiting.
    pub fn waiting(&self) -> usize {
        self.lock().len()
    }

    /// How many of them go before what can wait.
    pub fn waiting_soon(&self) -> usize {
        self.lock().iter().filter(|w| w.rank < Rank::Later).count()
    }

    /// Waits until a group was taken from the queue.
    pub async fn taken(&self) {
        self.taken.notified().await;
    }

    /// How many units may wait before it is better to put none together yet.
    pub fn enough(&self) -> usize {
        (self.max_changes() / 4).max(2)
    }

    /// Queues a unit and waits for its result.
    pub async fn commit(&self, update: AtomicUpdate) -> UpdateResult {
        self.enqueue(update, Rank::Later).await
    }

    /// The same, ahead of what is queued already: a user waits for it.
    pub async fn commit_first(&self, update: AtomicUpdate) -> UpdateResult {
        self.enqueue(update, Rank::User).await
    }

    /// The same, behind what users wait for: urgent work waits for it.
    pub async fn commit_soon(&self, update: AtomicUpdate) -> UpdateResult {
        self.enqueue(update, Rank::Soon).await
    }

    async fn enqueue(&self, update: AtomicUpdate, rank: Rank) -> UpdateResult {
        let (reply, result) = oneshot::channel();
        let bytes =
            serde_json::to_vec(&update.changes).map_or(MAX_BYTES, |v| v.len()) + 80 * update.conditions.len();
        {
            let mut queue = self.lock();
            if queue.len() >= self.bound {
                return UpdateResult::Refused("too many changes waiting".into());
            }
            if rank < Rank::Later {
                self.urgent.notify_one();
            }
            let at = queue.iter().position(|w| w.rank > rank).unwrap_or(queue.len());
            queue.insert(at, Waiting { update, bytes, reply, rank, alone: false, since: Instant::now() });
        }
        self.wake.notify_one();
        result.await.unwrap_or_else(|_| UpdateResult::Unknown("committer ended".into()))
    }

    /// Commits what is queued, for ever.
    pub async fn run(&self, client: Arc<StateClient>) {
        loop {
            if self.waiting() == 0 {
                self.wake.notified().await;
                continue;
            }
            // What joins the queue while changes have to be waited for goes along.
            // Small groups, often: a large one waits longer, is refused sooner
            // since the service's bursts are shared, and one outdated condition
            // spoils it for more.
            let most = ((client.write_rate() * GROUP_SECONDS) as usize).clamp(2, self.max_changes().max(2));
            let rate = client.write_rate();
            match self.next_rank() {
                Some(Rank::User) => {}
                // Soon, unless what went soon has used up what comes next
                // already: the service's bursts are shared.
                Some(Rank::Soon) => {
                    tokio::select! {
                        () = client.wait_for_writes(1.0 - rate * 0.2) => {}
                        () = self.urgent.notified() => continue,
                    }
                }
                // A part of the burst is kept for what can't wait.
                _ => {
                    let changes = most.min(self.waiting()) as f64 + rate * RESERVE;
                    tokio::select! {
                        () = client.wait_for_writes(changes) => {}
                        () = self.urgent.notified() => continue,
                    }
                }
            }
            let group = self.next_group(most);
            self.taken.notify_one();
            self.commit_group(&client, group).await;
            // Requests are scarce: the next group waits for company.
            if client.request_room() < 0.5 {
                tokio::time::sleep(GATHER).await;
            }
        }
    }

    async fn commit_group(&self, client: &StateClient, group: Vec<Waiting>) {
        let mut transaction = Transaction::default();
        let mut seen = HashSet::new();
        for waiting in &group {
            for condition in &waiting.update.conditions {
                if seen.insert(condition.key.clone()) {
                    transaction.conditions.push(condition.clone());
                }
            }
            transaction.changes.extend(waiting.update.changes.iter().cloned());
        }
        let began = tokio::time::Instant::now();
        let outcome = client.transact(&transaction, true).await;
        let verdict = match &outcome {
            Outcome::Done(Verdicts::Committed(_)) => "made",
            Outcome::Done(Verdicts::Conflict(_)) => "in conflict",
            Outcome::Refused(_) => "refused",
            Outcome::Unknown(_) => "unknown",
        };
        tracing::debug!(
            units = group.len(),
            changes = transaction.changes.len(),
            keys = ?transaction.changes.iter().map(Change::key).collect::<Vec<_>>(),
            conditions = transaction.conditions.len(),
            left = self.waiting(),
            took = ?began.elapsed(),
            verdict,
            "changes committed together"
        );
        match outcome {
            Outcome::Done(Verdicts::Committed(revision)) => {
                finish(group, |_| UpdateResult::Committed(revision));
            }
            Outcome::Done(Verdicts::Conflict(failed)) => {
                let failed: HashSet<String> = failed.into_iter().collect();
                let mut rest = Vec::new();
                for waiting in group {
                    let own: Vec<String> = waiting
                        .update
                        .conditions
                        .iter()
                        .filter(|c| failed.contains(&c.key))
                        .map(|c| c.key.clone())
                        .collect();
                    if own.is_empty() && !failed.is_empty() {
                        rest.push(waiting);
                    } else {
                        let _ = waiting.reply.send(UpdateResult::Conflict(own));
                    }
                }
                // Units that only shared the transaction go first next time.
                let mut queue = self.lock();
                for waiting in rest.into_iter().rev() {
                    queue.push_front(waiting);
                }
            }
            Outcome::Refused(e) if e.starts_with(TOO_LARGE) && group.len() > 1 => {
                // Limits may have become smaller. Nothing was made: each goes by
                // itself, and only what is too large alone is refused.
                tracing::info!(units = group.len(), error = e, "a transaction is split");
                let mut queue = self.lock();
                for waiting in group.into_iter().rev() {
                    queue.push_front(Waiting { alone: true, ..waiting });
                }
            }
            Outcome::Refused(e) => finish(group, |_| UpdateResult::Refused(e.clone())),
            Outcome::Unknown(e) => finish(group, |_| UpdateResult::Unknown(e.clone())),
        }
    }

    fn next_group(&self, most: usize) -> Vec<Waiting> {
        let mut queue = self.lock();
        let mut group: Vec<Waiting> = Vec::new();
        let (mut changes, mut bytes) = (0, 0);
        let mut conditions: HashMap<String, u64> = HashMap::new();
        let mut written: HashSet<String> = HashSet::new();
        while let Some(next) = queue.front() {
            let update = &next.update;
            let clash = update.changes.iter().any(|c| written.contains(c.key()))
                || update.conditions.iter().any(|c| {
                    written.contains(&c.key) || conditions.get(&c.key).is_some_and(|v| *v != c.version)
                });
            let fresh = update.conditions.iter().filter(|c| !conditions.contains_key(&c.key)).count();
            let full = changes + update.changes.len() > most
                || conditions.len() + fresh > 4 * self.max_changes()
                || bytes + next.bytes > MAX_BYTES;
            // What can't wait goes without the others.
            let other = group.first().is_some_and(|w| w.rank != next.rank);
            // A unit that is too large by itself still goes, and is refused there.
            let alone = next.alone || group.first().is_some_and(|w| w.alone);
            if !group.is_empty() && (clash || full || other || alone) {
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

    fn next_rank(&self) -> Option<Rank> {
        let mut queue = self.lock();
        // What can wait must not wait for ever behind what comes and comes.
        let old = |w: &Waiting| w.rank == Rank::Later && w.since.elapsed() >= LATEST;
        if let Some(mut waiting) = queue.iter().position(old).and_then(|n| queue.remove(n)) {
            waiting.rank = Rank::Soon;
            let at = queue.iter().position(|w| w.rank > Rank::User).unwrap_or(queue.len());
            queue.insert(at, waiting);
        }
        queue.front().map(|w| w.rank)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<Waiting>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn finish(group: Vec<Waiting>, result: impl Fn(&AtomicUpdate) -> UpdateResult) {
    for waiting in group {
        let outcome = result(&waiting.update);
        let _ = waiting.reply.send(outcome);
    }
}
