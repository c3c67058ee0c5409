//! The federation loops of a cell's leader: one loop per peer cell, so that a slow cell does not
//! delay the exchange with the others, and one loop that offers jobs to peer cells and returns
//! jobs to their home cells.

use crate::cells::convert::{from_answer, summary_from_reply};
use crate::cells::{ExchangeError, MAX_TRANSFERS_PER_REQUEST, MalformedMessage, to_exchange_request};
use crate::jobs::Job;
use crate::node::{Node, Reply, lock, now};
use crate::records;
use dapplecroft_federation::{CellId, Epoch, FederationSettings, PeerCell, TransferState};
use dapplecroft_state::UpdateResult;
use dapplecroft_wire::cells::ExchangeReply;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time between two exchanges with a peer cell that hosts jobs of this cell.
const AWAY_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two exchanges with a peer cell that hosts no job of this cell: only its
/// summary is needed.
const SUMMARY_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout for a peer cell's reply.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two rounds of offering waiting jobs and returning hosted ones.
const OFFER_INTERVAL: Duration = Duration::from_secs(1);
/// Limit on jobs offered, and on jobs returned, per round: each costs a record change.
const MAX_OFFERS_PER_ROUND: usize = 4;
/// Limit on records of finished hand-overs that are deleted per round.
const MAX_PRUNED_PER_ROUND: usize = 4;
/// Records of finished hand-overs are deleted only while more than this fraction of the write
/// budget's burst is unused.
const PRUNE_MIN_WRITE_ROOM: f64 = 0.7;
/// How long a user's cancellation waits for the host cell before the user is asked to retry.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(3500);
/// How often a waiting cancellation is checked.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// State of the loop for one peer cell.
#[derive(Default)]
struct PeerCellProgress {
    /// Name and incarnation of the cell from its last summary; `None` while unknown.
    cell: Option<CellId>,
    /// The last job that the previous exchange asked about; the next one continues after it.
    last_polled_job: Option<Arc<str>>,
    /// Whether the last exchange failed. Only changes are logged.
    exchange_failing: bool,
}

impl Node {
    /// Starts the federation loops if peer cells are configured.
    pub(crate) fn spawn_federation_loops(self: &Arc<Self>, loops: &mut JoinSet<()>) {
        let Some(federation) = &self.options.federation else { return };
        if federation.peers.is_empty() {
            return;
        }
        for peer in &federation.peers {
            loops.spawn(self.clone().peer_cell_loop(peer.clone()));
        }
        loops.spawn(self.clone().offer_loop(federation.clone()));
    }

    /// As leader, exchanges messages with one peer cell periodically.
    async fn peer_cell_loop(self: Arc<Self>, peer: PeerCell) {
        let mut state = PeerCellProgress::default();
        loop {
            let away = self.with(|core| core.away_job_count(&peer.name));
            let pause = if away > 0 { AWAY_POLL_INTERVAL } else { SUMMARY_POLL_INTERVAL };
            let _ = timeout(pause, self.wake_federation.notified()).await;
            if self.with(|core| core.may_act_for_cell(now())) {
                self.poll_cell(&peer, &mut state).await;
            }
        }
    }

    /// Sends the peer cell this cell's requests about jobs that it hosts, and applies its reply.
    async fn poll_cell(&self, peer: &PeerCell, state: &mut PeerCellProgress) {
        let Some(federation) = &self.options.federation else { return };
        let asked_at = now();
        let prepared = self.with(|core| {
            // Sends only requests about jobs that the cell's current incarnation hosts. Jobs at
            // an earlier incarnation stay marked as away.
            let mut requests = core.outgoing_transfers(
                &peer.name,
                state.last_polled_job.as_deref(),
                MAX_TRANSFERS_PER_REQUEST,
            );
            let for_current_cell =
                |request: &crate::core::OutgoingTransfer| core.host_cell_of(&request.job) == state.cell;
            requests.retain(for_current_cell);
            Some((core.watermark_for(&peer.name)?, requests))
        });
        let Some((watermark, requests)) = prepared else { return };
        if let Some(last) = requests.last() {
            state.last_polled_job = Some(last.job.clone());
        }
        let request = to_exchange_request(&federation.cell, state.cell.as_ref(), watermark, requests);
        let exchange = self.cells.exchange(peer, request);
        let reply = timeout(EXCHANGE_TIMEOUT, exchange).await.unwrap_or(Err(ExchangeError::Unreachable));
        let result = match reply {
            Ok(reply) => self.apply_reply(peer, state, reply, asked_at).await.map_err(ExchangeError::from),
            Err(error) => Err(error),
        };
        self.handle_exchange_result(peer, state, result);
    }

    /// Logs when exchanges with a cell start to fail or succeed again, and forgets the cell's
    /// incarnation if another one has replaced it.
    fn handle_exchange_result(
        &self,
        peer: &PeerCell,
        state: &mut PeerCellProgress,
        result: Result<(), ExchangeError>,
    ) {
        match result {
            Ok(()) if state.exchange_failing => {
                tracing::info!(cell = peer.name, "exchanges with a peer cell succeed again");
                state.exchange_failing = false;
            }
            Ok(()) => {}
            Err(error) => {
                if error == ExchangeError::WrongReceiver {
                    // Another incarnation answers now; its next summary names it.
                    state.cell = None;
                }
                if !state.exchange_failing {
                    tracing::info!(cell = peer.name, %error, "the exchange with a peer cell failed");
                    state.exchange_failing = true;
                }
            }
        }
    }

    /// Stores the peer cell's summary and applies its answers about single jobs.
    async fn apply_reply(
        &self,
        peer: &PeerCell,
        state: &mut PeerCellProgress,
        reply: ExchangeReply,
        asked_at: Instant,
    ) -> Result<(), MalformedMessage> {
        let summary = summary_from_reply(&reply)?;
        if summary.cell.name != peer.name {
            return Err(MalformedMessage::MissingCell);
        }
        let cell = summary.cell.clone();
        state.cell = Some(cell.clone());
        lock(&self.summaries).record_summary(summary, asked_at);
        for answer in &reply.answers {
            let (epoch, transfer) = from_answer(answer)?;
            self.apply_answer(&answer.job, &cell, epoch, transfer).await;
        }
        Ok(())
    }

    /// Applies a peer cell's answer about one job. If the answer ends the hand-over, commits the
    /// resulting change of the job's record.
    async fn apply_answer(&self, job: &str, cell: &CellId, epoch: Epoch, state: TransferState) {
        if state == TransferState::Refused {
            lock(&self.summaries).record_refusal(&job.into(), &cell.name, now());
        }
        let update = self.with(|core| core.apply_transfer_answer(job, cell, epoch, state));
        if let Some(update) = update {
            let committed = self.try_commit_handover_update(update).await;
            tracing::info!(
                job, %cell, epoch = epoch.0, ?state, committed,
                "a hand-over of a job to a peer cell has ended"
            );
        }
    }

    /// As leader, offers waiting jobs to peer cells, returns hosted jobs to their home cells, and
    /// deletes records of finished hand-overs.
    async fn offer_loop(self: Arc<Self>, federation: FederationSettings) {
        loop {
            sleep(OFFER_INTERVAL).await;
            if !self.with(|core| core.may_act_for_cell(now())) {
                continue;
            }
            self.offer_jobs(&federation).await;
            self.with(|core| core.revoke_allocations_for_returns(now()));
            for update in self.with(|core| core.job_return_updates(MAX_OFFERS_PER_ROUND, now())) {
                let key = update.changes.last().map(|change| change.key().to_string());
                let committed = self.try_commit_handover_update(update).await;
                tracing::info!(key, committed, "a hosted job is returned to its home cell");
            }
            if self.state.write_burst_left() > PRUNE_MIN_WRITE_ROOM {
                for update in self.with(|core| core.prune_updates(MAX_PRUNED_PER_ROUND)) {
                    self.try_commit_handover_update(update).await;
                }
            }
        }
    }

    /// Offers each candidate job to the peer cell that fits it best, if any does.
    async fn offer_jobs(&self, federation: &FederationSettings) {
        let candidates = self.with(|core| core.spill_candidates(MAX_OFFERS_PER_ROUND, now()));
        lock(&self.summaries).expire_refusals(federation.refusal_pause, now());
        for (job, requirements) in candidates {
            let chosen = {
                let mut summaries = lock(&self.summaries);
                let (fresh, pause) = (federation.summary_max_age, federation.refusal_pause);
                let chosen = summaries.choose_cell(&job, &requirements, fresh, pause, now());
                if let Some(cell) = &chosen {
                    summaries.deduct_offer(&cell.name, &requirements);
                }
                chosen
            };
            let Some(cell) = chosen else { continue };
            self.offer_job(&job, cell).await;
        }
    }

    /// Commits the offer of a job to the job's record. The loop for that peer cell then sends
    /// the offer from the committed record.
    async fn offer_job(&self, job: &Arc<str>, cell: CellId) {
        let Some(offer) = self.with(|core| core.offer_update(job, cell.clone())) else { return };
        let result = self.committer.commit_urgent(offer.update.clone()).await;
        tracing::info!(%job, %cell, ?result, "a job is offered to a peer cell");
        match result {
            UpdateResult::Committed(revision) => {
                self.with(|core| {
                    core.apply_changes(&offer.update.changes, revision, now());
                    core.remove_pending_offer(job);
                });
            }
            UpdateResult::Conflict(keys) => {
                self.with(|core| core.remove_pending_offer(job));
                for key in keys {
                    self.refresh(&key, || true).await;
                }
            }
            UpdateResult::Refused(_) => self.with(|core| core.remove_pending_offer(job)),
            // The update may still be committed. Its epoch counts as used until the job's
            // record, on whose version the update is conditional, has changed.
            UpdateResult::Unknown(_) => {
                self.refresh(&records::job_key(job), || true).await;
            }
        }
    }

    /// Cancels a job that another cell hosts. The user gets the confirmation only after the host
    /// cell has committed that no task of the job starts any more, and this cell has committed
    /// that result. Otherwise the user is asked to retry.
    pub(crate) async fn cancel_away_job(&self, id: &str) -> Reply {
        let deadline = tokio::time::Instant::now() + CANCEL_TIMEOUT;
        loop {
            match self.with(|core| core.cancel_away_job_update(id)) {
                Ok(Some(update)) => {
                    self.try_commit_handover_update(update).await;
                }
                Ok(None) => sleep(CANCEL_POLL_INTERVAL).await,
                Err(_) => break,
            }
            if tokio::time::Instant::now() >= deadline {
                return Reply::unavailable("the cell that has the job has not confirmed yet", 2);
            }
        }
        self.with(|core| match core.jobs.get(id) {
            Some(job @ Job::Final { .. }) => Reply::json(200, &job.status(id)),
            _ => Reply::unavailable("the job came home meanwhile", 1),
        })
    }
}
