//! The loops of a cell's leader towards other cells: one for each cell, so that a slow one
//! holds up no other, and one that offers jobs and gives back those of others.

use crate::cells::convert::{from_answer, from_reply};
use crate::cells::{ExchangeError, MAX_TRANSFERS, MalformedMessage, to_transfers};
use crate::jobs::Job;
use crate::node::{Node, Reply, lock, now};
use crate::records;
use dapplecroft_federation::{CellId, Epoch, Federation, PeerCell, TransferState};
use dapplecroft_state::UpdateResult;
use dapplecroft_wire::cells::ExchangeReply;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// How often another cell is asked while jobs are away there.
const ASK_EVERY: Duration = Duration::from_secs(1);
/// How often it is asked for its summary alone.
const SUMMARY_EVERY: Duration = Duration::from_secs(2);
/// How long an answer of another cell may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// How often jobs that wait are looked at.
const OFFER_EVERY: Duration = Duration::from_secs(1);
/// The most jobs that are offered, and given back, at a time: each costs a change.
const MAX_OFFERS: usize = 4;
/// The most keys of finished hand-overs that are dropped at a time.
const MAX_PRUNED: usize = 4;
/// Finished hand-overs are dropped while at least this part of a burst of changes is left.
const PRUNE_ABOVE: f64 = 0.7;
/// How long a user's cancellation waits for the other cell before the user is asked to
/// come back, and how often it is looked at.
const CANCEL_WAIT: Duration = Duration::from_millis(3500);
const CANCEL_CHECK: Duration = Duration::from_millis(100);

/// Where a cell's loop stands.
#[derive(Default)]
struct PeerLoop {
    /// The cell, as it last told of itself.
    cell: Option<CellId>,
    /// The last job that was asked about.
    last: Option<Arc<str>>,
    /// Whether the last exchange failed, so that only changes are logged.
    failing: bool,
}

impl Node {
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

    async fn peer_cell_loop(self: Arc<Self>, peer: PeerCell) {
        let mut state = PeerLoop::default();
        loop {
            let away = self.with(|core| core.away_at(&peer.name));
            let pause = if away > 0 { ASK_EVERY } else { SUMMARY_EVERY };
            let _ = timeout(pause, self.wake_federation.notified()).await;
            if self.with(|core| core.leads_federation(now())) {
                self.ask_cell(&peer, &mut state).await;
            }
        }
    }

    async fn ask_cell(&self, peer: &PeerCell, state: &mut PeerLoop) {
        let Some(federation) = &self.options.federation else { return };
        let asked = now();
        let prepared = self.with(|core| {
            // Not more than what was agreed with the incarnation that answers now: what
            // is away at an earlier one stays away.
            let mut requests = core.away_requests(&peer.name, state.last.as_deref(), MAX_TRANSFERS);
            let meant = |request: &crate::core::AwayRequest| core.away_cell(&request.job) == state.cell;
            requests.retain(meant);
            Some((core.watermark_for(&peer.name)?, requests))
        });
        let Some((watermark, requests)) = prepared else { return };
        if let Some(last) = requests.last() {
            state.last = Some(last.job.clone());
        }
        let request = to_transfers(&federation.cell, state.cell.as_ref(), watermark, requests);
        let exchange = self.cells.exchange(peer, request);
        let reply = timeout(EXCHANGE_TIMEOUT, exchange).await.unwrap_or(Err(ExchangeError::Unreachable));
        let taken = match reply {
            Ok(reply) => self.take_reply(peer, state, reply, asked).await.map_err(ExchangeError::from),
            Err(error) => Err(error),
        };
        self.note_exchange(peer, state, taken);
    }

    fn note_exchange(&self, peer: &PeerCell, state: &mut PeerLoop, taken: Result<(), ExchangeError>) {
        match taken {
            Ok(()) if state.failing => {
                tracing::info!(cell = peer.name, "a cell answers again");
                state.failing = false;
            }
            Ok(()) => {}
            Err(error) => {
                if error == ExchangeError::OtherCell {
                    // It has another incarnation now: its summary says which.
                    state.cell = None;
                }
                if !state.failing {
                    tracing::info!(cell = peer.name, %error, "a cell does not answer");
                    state.failing = true;
                }
            }
        }
    }

    async fn take_reply(
        &self,
        peer: &PeerCell,
        state: &mut PeerLoop,
        reply: ExchangeReply,
        asked: Instant,
    ) -> Result<(), MalformedMessage> {
        let summary = from_reply(&reply)?;
        if summary.cell.name != peer.name {
            return Err(MalformedMessage::NoCell);
        }
        let cell = summary.cell.clone();
        state.cell = Some(cell.clone());
        lock(&self.summaries).note(summary, asked);
        for answer in &reply.answers {
            let (epoch, transfer) = from_answer(answer)?;
            self.take_answer(&answer.job, &cell, epoch, transfer).await;
        }
        Ok(())
    }

    async fn take_answer(&self, job: &str, cell: &CellId, epoch: Epoch, state: TransferState) {
        if state == TransferState::Refused {
            lock(&self.summaries).note_refusal(&job.into(), &cell.name, now());
        }
        let update = self.with(|core| core.away_answer(job, cell, epoch, state));
        if let Some(update) = update {
            let committed = self.commit_for_cells(update).await;
            tracing::info!(job, %cell, epoch = epoch.0, ?state, committed, "a job comes home");
        }
    }

    async fn offer_loop(self: Arc<Self>, federation: Federation) {
        loop {
            sleep(OFFER_EVERY).await;
            if !self.with(|core| core.leads_federation(now())) {
                continue;
            }
            self.offer_jobs(&federation).await;
            self.with(|core| core.prepare_returns(now()));
            for update in self.with(|core| core.return_updates(MAX_OFFERS, now())) {
                let key = update.changes.last().map(|change| change.key().to_string());
                let committed = self.commit_for_cells(update).await;
                tracing::info!(key, committed, "a job of another cell is given back");
            }
            if self.state.write_burst_left() > PRUNE_ABOVE {
                for update in self.with(|core| core.prune_updates(MAX_PRUNED)) {
                    self.commit_for_cells(update).await;
                }
            }
        }
    }

    async fn offer_jobs(&self, federation: &Federation) {
        let candidates = self.with(|core| core.spill_candidates(MAX_OFFERS, now()));
        lock(&self.summaries).forget_refusals(federation.refusal_pause, now());
        for (job, wish) in candidates {
            let chosen = {
                let mut book = lock(&self.summaries);
                let (fresh, pause) = (federation.summary_fresh, federation.refusal_pause);
                let chosen = book.choose(&job, &wish, fresh, pause, now());
                if let Some(cell) = &chosen {
                    book.note_offer(&cell.name, &wish);
                }
                chosen
            };
            let Some(cell) = chosen else { continue };
            self.offer_job(&job, cell).await;
        }
    }

    /// Commits that a job is offered. Only the loop of the other cell sends the offer,
    /// from the record.
    async fn offer_job(&self, job: &Arc<str>, cell: CellId) {
        let Some(offer) = self.with(|core| core.offer_update(job, cell.clone())) else { return };
        let result = self.committer.commit_urgent(offer.update.clone()).await;
        tracing::info!(%job, %cell, ?result, "a job is offered to another cell");
        match result {
            UpdateResult::Committed(revision) => {
                self.with(|core| {
                    core.apply_changes(&offer.update.changes, revision, now());
                    core.offer_settled(job);
                });
            }
            UpdateResult::Conflict(keys) => {
                self.with(|core| core.offer_settled(job));
                for key in keys {
                    self.refresh(&key, || true).await;
                }
            }
            UpdateResult::Refused(_) => self.with(|core| core.offer_settled(job)),
            // It may yet be carried out: its epoch counts as used until the record that
            // it is bound to has changed.
            UpdateResult::Unknown(_) => {
                self.refresh(&records::job_key(job), || true).await;
            }
        }
    }

    /// Cancels a job that is away: its user is told so only once the other cell has
    /// committed that nothing of it starts any more, and this cell has committed that.
    pub(crate) async fn withdraw_away(&self, id: &str) -> Reply {
        let deadline = tokio::time::Instant::now() + CANCEL_WAIT;
        loop {
            match self.with(|core| core.away_cancellation(id)) {
                Ok(Some(update)) => {
                    self.commit_for_cells(update).await;
                }
                Ok(None) => sleep(CANCEL_CHECK).await,
                Err(_) => break,
            }
            if tokio::time::Instant::now() >= deadline {
                return Reply::busy("the cell that has the job has not confirmed yet", 2);
            }
        }
        self.with(|core| match core.jobs.get(id) {
            Some(job @ Job::Final { .. }) => Reply::json(200, &job.status(id)),
            _ => Reply::busy("the job came home meanwhile", 1),
        })
    }
}
