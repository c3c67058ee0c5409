//! Placement rounds, commits of jobs, and direct commands to workers.

use crate::core::{CommandEnd, CommitOutcome, PendingCommit};
use crate::node::{Node, lock, now};
use dapplecroft_net::{Failure, Request};
use dapplecroft_state::UpdateResult;
use dapplecroft_wire::workers::{DirectCommands, Heartbeat};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Shortest pause between rounds.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(30);
/// Longest pause between rounds.
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Longest time that a round waits for what earlier ones decided to be recorded.
const MAX_BACKLOG_WAIT: Duration = Duration::from_millis(1500);
/// A round is due at least this often: pauses end, machines fall silent.
const MAX_IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// How often ends of tasks that wait for company are looked at.
const DEFERRED_COMMIT_INTERVAL: Duration = Duration::from_millis(100);
/// How often a line says how things stand.
const STATUS_LOG_INTERVAL: Duration = Duration::from_secs(30);
/// Commands that are sent before other work has its turn.
const COMMANDS_PER_YIELD: usize = 12;
/// How long a worker has to answer direct commands.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);

impl Node {
    /// Rounds of placement. What comes up during a round or the pause after it
    /// is decided together in the next; the pause grows with the time that a
    /// round takes, so batches widen with the load.
    pub(crate) async fn placement_loop(self: Arc<Self>) {
        let mut last_round = now();
        loop {
            let _ = timeout(MAX_IDLE_INTERVAL, self.wake_place.notified()).await;
            let started_at = now();
            let wall = self.wall_seconds();
            // While decisions wait to be recorded, the next round waits too, and
            // decides more at a time; but not for ever, since what waits may be
            // this node's alone, and other holders have nothing to do.
            let writes_scarce = self.state.write_room() < 0.3;
            let round_recent = started_at.saturating_duration_since(last_round) < MAX_BACKLOG_WAIT;
            if writes_scarce
                && round_recent
                && self.with(|core| core.backed_up()) > 4 * self.committer.enough()
            {
                sleep(MAX_ROUND_PAUSE / 4).await;
                self.wake_place.notify_one();
                continue;
            }
            last_round = started_at;
            let update = self.with(|core| {
                core.place(wall, writes_scarce, now());
                core.drain_step(now())
            });
            if let Some(update) = update {
                let node = self.clone();
                self.spawn(async move {
                    if let UpdateResult::Committed(revision) = node.committer.commit(update.clone()).await {
                        node.with(|core| core.apply_changes(&update.changes, revision, now()));
                    }
                    // Else a later round sees what became of it.
                    node.with(|core| core.drain_written());
                });
            }
            let took = now().saturating_duration_since(started_at);
            sleep((took * 4).clamp(MIN_ROUND_PAUSE, MAX_ROUND_PAUSE)).await;
        }
    }

    /// Starts a commit for each job that has something to commit.
    pub(crate) async fn flush_loop(self: Arc<Self>) {
        loop {
            let writes_plentiful = self.state.write_room() > 0.5;
            // Units are put together when they can go, so that each has all that
            // its job has to commit by then.
            // Records of machines wait there as well; they must not keep these out.
            let group_writes = self.with(|core| core.group_writes_in_flight());
            let batch_size = self.committer.enough();
            loop {
                // What can wait leaves room for what can't, in the queue as well.
                let queue_full = self.committer.waiting() >= batch_size + group_writes;
                if queue_full && self.committer.waiting_soon() >= batch_size {
                    break;
                }
                let Some(update) = self.with(|core| core.next_commit(writes_plentiful, queue_full, now()))
                else {
                    break;
                };
                let node = self.clone();
                // It joins the queue at its first poll.
                let (queued, joined) = tokio::sync::oneshot::channel();
                self.spawn(async move {
                    let _ = queued.send(());
                    node.commit_update(update).await;
                });
                let _ = joined.await;
            }
            let has_deferrable = self.with(|core| core.has_deferrable());
            let pause = if has_deferrable { DEFERRED_COMMIT_INTERVAL } else { MAX_IDLE_INTERVAL };
            tokio::select! {
                () = self.wake_flush.notified() => {}
                () = self.committer.taken() => {}
                () = sleep(pause) => {}
            }
        }
    }

    /// Commits a unit until its outcome is certain. One whose outcome is
    /// unknown may be made much later; trying the same again settles it, since
    /// only one of the two can find its conditions true.
    async fn commit_update(&self, update: PendingCommit) {
        let mut retry_pause = Duration::from_millis(100);
        loop {
            let result = if update.urgent {
                self.committer.commit_soon(update.update.clone()).await
            } else {
                self.committer.commit(update.update.clone()).await
            };
            match result {
                UpdateResult::Committed(revision) => {
                    self.with(|core| core.commit_ended(&update, CommitOutcome::Committed(revision), now()));
                    return;
                }
                UpdateResult::Conflict(failed) => {
                    tracing::debug!(subject = ?update.target, ?failed, "a change finds other records");
                    for key in failed {
                        self.refresh(&key, || true).await;
                    }
                    break;
                }
                UpdateResult::Refused(error) if error.starts_with("status 400") => {
                    // It was not made and, being too large, never will be as it is:
                    // what is in it is put together anew.
                    tracing::warn!(error, subject = ?update.target, "the state service refuses a change for good");
                    sleep(Duration::from_secs(1)).await;
                    break;
                }
                UpdateResult::Refused(error) | UpdateResult::Unknown(error) => {
                    tracing::debug!(error, subject = ?update.target, "a change is not committed yet");
                }
            }
            sleep(retry_pause).await;
            retry_pause = (retry_pause * 2).min(Duration::from_secs(1));
        }
        self.with(|core| core.commit_ended(&update, CommitOutcome::NotCommitted, now()));
    }

    /// Says every half minute how things stand on this node.
    pub(crate) async fn status_log_loop(self: Arc<Self>) {
        loop {
            sleep(STATUS_LOG_INTERVAL).await;
            let status = self.with(|core| core.summary(now()));
            tracing::info!(
                leads = status.leads,
                blocks = status.shards,
                machines = status.machines,
                open = status.open_machines,
                jobs = status.jobs,
                unallocated = status.unallocated,
                waiting = status.waiting,
                placed = status.placed,
                free_percent = status.free_percent,
                usage = ?status.usage,
                segments = status.segments,
                bytes = status.bytes,
                layout = status.layout,
                changes_waiting = self.committer.waiting(),
                write_room = format!("{:.2}", self.state.write_room()),
                request_room = format!("{:.2}", self.state.request_room()),
                users = self.requests.load(std::sync::atomic::Ordering::Relaxed),
                "how things stand"
            );
        }
    }

    /// Sends direct commands to the machines that have some to receive.
    pub(crate) async fn command_loop(self: Arc<Self>) {
        loop {
            let ids = std::mem::take(&mut *lock(&self.to_command));
            for (n, id) in ids.into_iter().enumerate() {
                if n % COMMANDS_PER_YIELD == COMMANDS_PER_YIELD - 1 {
                    // Hundreds at once must not go before renewals of leases.
                    yield_now().await;
                }
                if let Some((address, commands)) = self.with(|core| core.next_command(&id, now())) {
                    let node = self.clone();
                    self.spawn(async move { node.send_commands(&id, address, commands).await });
                }
            }
            self.wake_command.notified().await;
        }
    }

    async fn send_commands(self: &Arc<Self>, id: &str, address: String, commands: DirectCommands) {
        let Ok(body) = serde_json::to_vec(&commands) else { return };
        let request = Request {
            address,
            method: http::Method::POST,
            path: "/do".into(),
            body: body.into(),
            timeout: COMMAND_TIMEOUT,
            one_of_many: true,
        };
        let result = self.transport.send(request).await;
        let report: Option<Heartbeat> = match &result {
            Ok(response) if response.status == 200 || response.status == 409 => {
                serde_json::from_slice(&response.body).ok()
            }
            _ => None,
        };
        if let (Ok(response), None) = (&result, &report) {
            tracing::warn!(
                machine = id,
                status = response.status,
                "a worker's answer to commands cannot be read"
            );
        }
        let end = match (&result, &report) {
            (Ok(_), Some(report)) => CommandEnd::Answered(report),
            (Err(Failure::NotSent(_)), _) => CommandEnd::NotDelivered,
            (Ok(response), None) if response.status == 400 => CommandEnd::NotDelivered,
            _ => CommandEnd::Unknown,
        };
        self.with(|core| core.command_ended(id, &commands, end, now()));
        if !matches!(end, CommandEnd::Answered(_)) {
            // Its next try is due after a pause, unless a report comes first.
            sleep(Duration::from_secs(1)).await;
            self.with(|core| core.wakeups.command.insert(id.into()));
        }
    }
}
