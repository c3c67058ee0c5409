//! Placement rounds, commits of record updates, direct commands to workers, and the periodic
//! status line.

use crate::core::{CommandOutcome, CommitOutcome, PendingCommit};
use crate::node::{Node, lock, now};
use dapplecroft_net::{Request, TransportError};
use dapplecroft_state::UpdateResult;
use dapplecroft_wire::workers::{DirectCommands, Heartbeat};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Minimum pause between placement rounds.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(30);
/// Maximum pause between placement rounds.
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Limit on how long a placement round is delayed while decisions of earlier rounds wait to be
/// committed.
const MAX_BACKLOG_WAIT: Duration = Duration::from_millis(1500);
/// Maximum time between runs of a loop without a wake-up, since some events wake no loop: a
/// pause ends, or a machine stops sending heartbeats.
const MAX_IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// How often deferred updates, which wait to share a transaction with others, are reconsidered.
const DEFERRED_COMMIT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the status line in the log.
const STATUS_LOG_INTERVAL: Duration = Duration::from_secs(30);
/// Number of commands sent between two yields to other tasks of the runtime.
const COMMANDS_PER_YIELD: usize = 12;
/// Timeout for a worker's reply to direct commands.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);

impl Node {
    /// Runs placement rounds. Work that arrives during a round or the pause after it is placed
    /// together in the next round. The pause grows with the duration of the round, so batches
    /// grow with the load.
    pub(crate) async fn placement_loop(self: Arc<Self>) {
        let mut last_round = now();
        loop {
            let _ = timeout(MAX_IDLE_INTERVAL, self.wake_place.notified()).await;
            let started_at = now();
            let wall_clock_s = self.wall_seconds();
            // While writes are scarce and many decisions wait to be committed, the next round is
            // delayed so that it decides more at once. The delay is limited, because the backlog
            // may be this controller's alone while other shard holders are idle.
            let writes_scarce = self.state.write_burst_left() < 0.3;
            let round_recent = started_at.saturating_duration_since(last_round) < MAX_BACKLOG_WAIT;
            if writes_scarce
                && round_recent
                && self.with(|core| core.commit_backlog()) > 4 * self.committer.backlog_target()
            {
                sleep(MAX_ROUND_PAUSE / 4).await;
                self.wake_place.notify_one();
                continue;
            }
            last_round = started_at;
            let update = self.with(|core| {
                core.place(wall_clock_s, writes_scarce, now());
                core.drain_step(now())
            });
            if let Some(update) = update {
                let node = self.clone();
                self.spawn(async move {
                    if let UpdateResult::Committed(revision) = node.committer.commit(update.clone()).await {
                        node.with(|core| core.apply_changes(&update.changes, revision, now()));
                    }
                    // If the commit failed, a later round sees the record's actual state.
                    node.with(|core| core.drain_write_finished());
                });
            }
            let took = now().saturating_duration_since(started_at);
            sleep((took * 4).clamp(MIN_ROUND_PAUSE, MAX_ROUND_PAUSE)).await;
        }
    }

    /// Starts a commit for each pending update, as far as the commit queue has room.
    pub(crate) async fn flush_loop(self: Arc<Self>) {
        loop {
            let writes_plentiful = self.state.write_burst_left() > 0.5;
            // An update is assembled only when the queue has room for it, so that it contains
            // everything that is pending for its target by then. Updates of group records
            // (machines) share the queue and are not counted against this limit.
            let group_writes = self.with(|core| core.group_writes_in_flight());
            let queue_target = self.committer.backlog_target();
            loop {
                // Once the queue is full, only urgent updates are added, up to a limit of their own.
                let queue_full = self.committer.queued() >= queue_target + group_writes;
                if queue_full && self.committer.queued_urgent() >= queue_target {
                    break;
                }
                let Some(update) = self.with(|core| core.next_commit(writes_plentiful, queue_full, now()))
                else {
                    break;
                };
                let node = self.clone();
                // `commit_update` joins the queue at its first poll; waits for that, so that the
                // next iteration sees the new queue length.
                let (queued, joined) = tokio::sync::oneshot::channel();
                self.spawn(async move {
                    let _ = queued.send(());
                    node.commit_update(update).await;
                });
                let _ = joined.await;
            }
            let has_deferrable = self.with(|core| core.has_non_urgent());
            let pause = if has_deferrable { DEFERRED_COMMIT_INTERVAL } else { MAX_IDLE_INTERVAL };
            tokio::select! {
                () = self.wake_flush.notified() => {}
                () = self.committer.group_taken() => {}
                () = sleep(pause) => {}
            }
        }
    }

    /// Commits an update and retries until its outcome is certain. An update with an unknown
    /// outcome may still be committed much later. Repeating the same update settles it, since
    /// at most one of the attempts can find the conditions true.
    async fn commit_update(&self, update: PendingCommit) {
        let mut retry_pause = Duration::from_millis(100);
        loop {
            let result = if update.urgent {
                self.committer.commit_urgent(update.update.clone()).await
            } else {
                self.committer.commit(update.update.clone()).await
            };
            match result {
                UpdateResult::Committed(revision) => {
                    self.with(|core| core.finish_commit(&update, CommitOutcome::Committed(revision), now()));
                    return;
                }
                UpdateResult::Conflict(failed) => {
                    tracing::debug!(
                        subject = ?update.target, ?failed,
                        "an update's conditions failed: its records have changed"
                    );
                    for key in failed {
                        self.refresh(&key, || true).await;
                    }
                    break;
                }
                UpdateResult::Refused(error) if error.starts_with("status 400") => {
                    // The update is too large and will never be accepted as it is. Its contents
                    // are assembled into new updates.
                    tracing::warn!(
                        error, subject = ?update.target,
                        "the state service rejected an update as invalid; assembling it again"
                    );
                    sleep(Duration::from_secs(1)).await;
                    break;
                }
                UpdateResult::Refused(error) | UpdateResult::Unknown(error) => {
                    tracing::debug!(
                        error, subject = ?update.target,
                        "an update could not be committed; retrying"
                    );
                }
            }
            sleep(retry_pause).await;
            retry_pause = (retry_pause * 2).min(Duration::from_secs(1));
        }
        self.with(|core| core.finish_commit(&update, CommitOutcome::NotCommitted, now()));
    }

    /// Logs this controller's status periodically.
    pub(crate) async fn status_log_loop(self: Arc<Self>) {
        loop {
            sleep(STATUS_LOG_INTERVAL).await;
            let status = self.with(|core| core.summary(now()));
            tracing::info!(
                leads = status.leads,
                blocks = status.shards,
                machines = status.machines,
                open = status.schedulable_machines,
                jobs = status.open_jobs,
                unallocated = status.unallocated_tasks,
                waiting = status.waiting_tasks,
                placed = status.placed_tasks,
                free_percent = status.free_cpu_percent,
                usage = ?status.usage,
                segments = status.segments,
                bytes = status.segment_bytes,
                layout = status.layout,
                changes_waiting = self.committer.queued(),
                write_room = format!("{:.2}", self.state.write_burst_left()),
                request_room = format!("{:.2}", self.state.request_burst_left()),
                users = self.active_user_requests.load(std::sync::atomic::Ordering::Relaxed),
                "controller status"
            );
        }
    }

    /// Sends direct commands to the machines that have commands pending.
    pub(crate) async fn command_loop(self: Arc<Self>) {
        loop {
            let ids = std::mem::take(&mut *lock(&self.machines_to_command));
            for (n, id) in ids.into_iter().enumerate() {
                if n % COMMANDS_PER_YIELD == COMMANDS_PER_YIELD - 1 {
                    // Sending hundreds of commands in one go must not delay lease renewals.
                    yield_now().await;
                }
                if let Some((address, commands)) = self.with(|core| core.next_direct_commands(&id, now())) {
                    let node = self.clone();
                    self.spawn(async move { node.send_commands(&id, address, commands).await });
                }
            }
            self.wake_command.notified().await;
        }
    }

    /// Sends direct commands to one machine and records the result. Schedules a retry if there
    /// is no valid reply.
    async fn send_commands(self: &Arc<Self>, id: &str, address: String, commands: DirectCommands) {
        let Ok(body) = serde_json::to_vec(&commands) else { return };
        let request = Request {
            address,
            method: http::Method::POST,
            path: "/do".into(),
            body: body.into(),
            timeout: COMMAND_TIMEOUT,
            to_worker: true,
        };
        let result = self.transport.send(request).await;
        let heartbeat: Option<Heartbeat> = match &result {
            Ok(response) if response.status == 200 || response.status == 409 => {
                serde_json::from_slice(&response.body).ok()
            }
            _ => None,
        };
        if let (Ok(response), None) = (&result, &heartbeat) {
            tracing::warn!(
                machine = id,
                status = response.status,
                "a worker's reply to direct commands cannot be parsed"
            );
        }
        let outcome = match (&result, &heartbeat) {
            (Ok(_), Some(heartbeat)) => CommandOutcome::Answered(heartbeat),
            (Err(TransportError::NotSent(_)), _) => CommandOutcome::NotDelivered,
            (Ok(response), None) if response.status == 400 => CommandOutcome::NotDelivered,
            _ => CommandOutcome::Unknown,
        };
        self.with(|core| core.direct_commands_finished(id, &commands, outcome, now()));
        if !matches!(outcome, CommandOutcome::Answered(_)) {
            // Retries after a pause, unless a heartbeat of the worker arrives first.
            sleep(Duration::from_secs(1)).await;
            self.with(|core| core.wakeups.command.insert(id.into()));
        }
    }
}
