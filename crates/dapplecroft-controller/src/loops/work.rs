//! Placement rounds, commits of jobs, and direct commands to workers.

use crate::core::{CommandEnd, CommitOutcome, PendingCommit};
use crate::node::{Node, lock, now};
use dapplecroft_net::{Request, TransportError};
use dapplecroft_state::UpdateResult;
use dapplecroft_wire::workers::{DirectCommands, Heartbeat};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Shortest pause between rounds.
const ROUND: Duration = Duration::from_millis(30);
/// Longest pause between rounds.
const LONGEST_ROUND: Duration = Duration::from_millis(500);
/// Longest time that a round waits for what earlier ones decided to be recorded.
const LONGEST_WAIT: Duration = Duration::from_millis(1500);
/// A round is due at least this often: pauses end, machines fall silent.
const TICK: Duration = Duration::from_secs(1);
/// How often ends of tasks that wait for company are looked at.
const LAZY_TICK: Duration = Duration::from_millis(100);
/// How often a line says how things stand.
const SUMMARY: Duration = Duration::from_secs(30);
/// Commands that are sent before other work has its turn.
const COMMANDS_AT_A_TIME: usize = 12;
/// How long a worker has to answer direct commands.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);

impl Node {
    /// Rounds of placement. What comes up during a round or the pause after it
    /// is decided together in the next; the pause grows with the time that a
    /// round takes, so batches widen with the load.
    pub(crate) async fn place_loop(self: Arc<Self>) {
        let mut last = now();
        loop {
            let _ = timeout(TICK, self.wake_place.notified()).await;
            let began = now();
            let wall = self.wall_seconds();
            // While decisions wait to be recorded, the next round waits too, and
            // decides more at a time; but not for ever, since what waits may be
            // this node's alone, and other holders have nothing to do.
            let scarce = self.state.write_burst_left() < 0.3;
            let recent = began.saturating_duration_since(last) < LONGEST_WAIT;
            if scarce
                && recent
                && self.with(|core| core.commit_backlog()) > 4 * self.committer.backlog_target()
            {
                sleep(LONGEST_ROUND / 4).await;
                self.wake_place.notify_one();
                continue;
            }
            last = began;
            let update = self.with(|core| {
                core.place(wall, scarce, now());
                core.drain_step(now())
            });
            if let Some(update) = update {
                let node = self.clone();
                self.spawn(async move {
                    if let UpdateResult::Committed(revision) = node.committer.commit(update.clone()).await {
                        node.with(|core| core.apply_changes(&update.changes, revision, now()));
                    }
                    // Else a later round sees what became of it.
                    node.with(|core| core.drain_write_finished());
                });
            }
            let took = now().saturating_duration_since(began);
            sleep((took * 4).clamp(ROUND, LONGEST_ROUND)).await;
        }
    }

    /// Starts a commit for each job that has something to commit.
    pub(crate) async fn flush_loop(self: Arc<Self>) {
        loop {
            let relaxed = self.state.write_burst_left() > 0.5;
            // Units are put together when they can go, so that each has all that
            // its job has to commit by then.
            // Records of machines wait there as well; they must not keep these out.
            let others = self.with(|core| core.group_writes_in_flight());
            let enough = self.committer.backlog_target();
            loop {
                // What can wait leaves room for what can't, in the queue as well.
                let full = self.committer.queued() >= enough + others;
                if full && self.committer.queued_urgent() >= enough {
                    break;
                }
                let Some(update) = self.with(|core| core.next_commit(relaxed, full, now())) else { break };
                let node = self.clone();
                // It joins the queue at its first poll.
                let (queued, joined) = tokio::sync::oneshot::channel();
                self.spawn(async move {
                    let _ = queued.send(());
                    node.commit_update(update).await;
                });
                let _ = joined.await;
            }
            let lazy = self.with(|core| core.has_non_urgent());
            let pause = if lazy { LAZY_TICK } else { TICK };
            tokio::select! {
                () = self.wake_flush.notified() => {}
                () = self.committer.group_taken() => {}
                () = sleep(pause) => {}
            }
        }
    }

    /// Commits a unit until its outcome is certain. One whose outcome is
    /// unknown may be made much later; trying the same again settles it, since
    /// only one of the two can find its conditions true.
    async fn commit_update(&self, update: PendingCommit) {
        let mut pause = Duration::from_millis(100);
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
            sleep(pause).await;
            pause = (pause * 2).min(Duration::from_secs(1));
        }
        self.with(|core| core.finish_commit(&update, CommitOutcome::NotCommitted, now()));
    }

    /// Says every half minute how things stand on this node.
    pub(crate) async fn summary_loop(self: Arc<Self>) {
        loop {
            sleep(SUMMARY).await;
            let s = self.with(|core| core.summary(now()));
            tracing::info!(
                leads = s.leads,
                blocks = s.shards,
                machines = s.machines,
                open = s.schedulable_machines,
                jobs = s.open_jobs,
                unallocated = s.unallocated_tasks,
                waiting = s.waiting_tasks,
                placed = s.placed_tasks,
                free_percent = s.free_cpu_percent,
                usage = ?s.usage,
                segments = s.segments,
                bytes = s.segment_bytes,
                layout = s.layout,
                changes_waiting = self.committer.queued(),
                write_room = format!("{:.2}", self.state.write_burst_left()),
                request_room = format!("{:.2}", self.state.request_burst_left()),
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
                if n % COMMANDS_AT_A_TIME == COMMANDS_AT_A_TIME - 1 {
                    // Hundreds at once must not go before renewals of leases.
                    yield_now().await;
                }
                if let Some((address, commands)) = self.with(|core| core.next_command(&id, now())) {
                    let node = self.clone();
                    self.spawn(async move { node.command(&id, address, commands).await });
                }
            }
            self.wake_command.notified().await;
        }
    }

    async fn command(self: &Arc<Self>, id: &str, address: String, commands: DirectCommands) {
        let Ok(body) = serde_json::to_vec(&commands) else { return };
        let request = Request {
            address,
            method: http::Method::POST,
            path: "/do".into(),
            body: body.into(),
            timeout: COMMAND_TIMEOUT,
            to_worker: true,
        };
        let answer = self.transport.send(request).await;
        let report: Option<Heartbeat> = match &answer {
            Ok(r) if r.status == 200 || r.status == 409 => serde_json::from_slice(&r.body).ok(),
            _ => None,
        };
        if let (Ok(r), None) = (&answer, &report) {
            tracing::warn!(machine = id, status = r.status, "a worker's answer to commands cannot be read");
        }
        let end = match (&answer, &report) {
            (Ok(_), Some(report)) => CommandEnd::Answered(report),
            (Err(TransportError::NotSent(_)), _) => CommandEnd::NotDelivered,
            (Ok(r), None) if r.status == 400 => CommandEnd::NotDelivered,
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
