//! Answers to requests of other cells: the host cell's side of a hand-over.

use super::convert::{DecodedTransfer, from_cell, from_transfer, to_answer, to_exchange_reply};
use super::{ExchangeError, MAX_TRANSFERS_PER_REQUEST, PROTOCOL_VERSION};
use crate::admission::PendingSpending;
use crate::core::{IncomingTransfer, TransferPlan};
use crate::node::{Node, now};
use dapplecroft_admission::Spending;
use dapplecroft_federation::{CellId, Epoch, FederationSettings, TransferRequest, TransferState};
use dapplecroft_sched::Resources;
use dapplecroft_state::{AtomicUpdate, UpdateResult};
use dapplecroft_wire::cells::{ExchangeReply, ExchangeRequest, TransferAnswer};
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

/// Maximum number of requests of other cells that are handled at the same time.
const MAX_CONCURRENT_EXCHANGES: usize = 4;
/// Maximum number of times that one transfer is planned. It is planned again after each commit
/// that it needs; a cancellation is also planned again after a failed commit.
const MAX_TRANSFER_STEPS: usize = 4;
/// How long a transfer's answer may wait for commits. A transfer that takes longer has no
/// answer in the reply.
const TRANSFER_ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

impl Node {
    /// Answers a request of another cell that was received from the address `from`.
    pub async fn answer_exchange(
        self: &Arc<Self>,
        from: IpAddr,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, ExchangeError> {
        let cell = self.validate_exchange(from, &request)?;
        if !self.with(|core| core.may_act_for_cell(now())) {
            return Err(ExchangeError::NotLeader);
        }
        // The slot is released on drop, because this future is dropped when the sender cancels
        // the request or disconnects.
        let slot = ExchangeSlot::take(&self.active_cell_requests);
        if slot.earlier >= MAX_CONCURRENT_EXCHANGES {
            return Err(ExchangeError::Busy);
        }
        self.handle_exchange(&cell, &request).await
    }

    /// Checks the sender, the receiver, the version and the size of a request; returns the
    /// sender.
    fn validate_exchange(&self, from: IpAddr, request: &ExchangeRequest) -> Result<CellId, ExchangeError> {
        let Some(federation) = &self.options.federation else {
            return Err(ExchangeError::UnsupportedVersion);
        };
        if request.version != PROTOCOL_VERSION {
            return Err(ExchangeError::UnsupportedVersion);
        }
        let cell = from_cell(request.from.as_ref())?;
        let listed = federation.peer(&cell.name).is_some_and(|peer| peer.may_connect(from));
        if !listed || cell.incarnation == 0 {
            return Err(ExchangeError::UnknownSender);
        }
        check_receiver(federation, request)?;
        if request.transfers.len() > MAX_TRANSFERS_PER_REQUEST {
            return Err(ExchangeError::Malformed("too many transfers".into()));
        }
        Ok(cell)
    }

    /// Raises the sender's watermark if that allows records to be pruned, and answers all
    /// transfers of the request.
    async fn handle_exchange(
        self: &Arc<Self>,
        cell: &CellId,
        request: &ExchangeRequest,
    ) -> Result<ExchangeReply, ExchangeError> {
        let transfers: Vec<DecodedTransfer> =
            request.transfers.iter().map(from_transfer).collect::<Result<_, _>>()?;
        let watermark = Epoch(request.watermark);
        if let Some(update) = self.with(|core| {
            if core.watermark_allows_pruning(cell, watermark) {
                core.raise_watermark_update(cell, watermark)
            } else {
                None
            }
        }) {
            self.try_commit_handover_update(update).await;
        }
        let answers = self.answer_transfers(cell, transfers).await?;
        let summary = self.with(|core| core.cell_summary(now())).ok_or(ExchangeError::UnsupportedVersion)?;
        Ok(to_exchange_reply(&summary, answers))
    }

    /// Answers all transfers of a request concurrently, so that their commits can share
    /// transactions. A transfer that takes too long has no answer in this reply; the home cell
    /// asks about it again.
    async fn answer_transfers(
        self: &Arc<Self>,
        cell: &CellId,
        transfers: Vec<DecodedTransfer>,
    ) -> Result<Vec<TransferAnswer>, ExchangeError> {
        let mut transfer_tasks = JoinSet::new();
        let mut offered_cpus = 0;
        for transfer in transfers {
            let (node, cell, promised_cpus) = (self.clone(), cell.clone(), offered_cpus);
            offered_cpus += transfer.spec.as_ref().map_or(0, |spec| {
                Resources::new(spec.cpus, spec.gpus, spec.memory_gb).cpus * i64::from(spec.tasks)
            });
            transfer_tasks.spawn(async move {
                let answer = node.answer_transfer(&cell, &transfer, promised_cpus);
                match tokio::time::timeout(TRANSFER_ANSWER_TIMEOUT, answer).await {
                    Ok(Ok(Some(state))) => Ok(Some(to_answer(&transfer.job, transfer.epoch, state))),
                    Ok(Err(error)) => Err(error),
                    Ok(Ok(None)) | Err(_) => Ok(None),
                }
            });
        }
        let mut answers = Vec::new();
        while let Some(answer) = transfer_tasks.join_next().await {
            answers.extend(answer.unwrap_or(Ok(None))?);
        }
        Ok(answers)
    }

    /// Plans a transfer request, commits what the plan needs and repeats this until the
    /// committed records suffice for an answer. `None` if the request can't be answered now.
    async fn answer_transfer(
        &self,
        cell: &CellId,
        transfer: &DecodedTransfer,
        promised_cpus: i64,
    ) -> Result<Option<TransferState>, ExchangeError> {
        for _ in 0..MAX_TRANSFER_STEPS {
            let plan = self.with(|core| {
                let request = IncomingTransfer {
                    from: cell,
                    job: &transfer.job,
                    epoch: transfer.epoch,
                    request: transfer.request,
                    spec: transfer.spec.as_ref(),
                    submitted_s: transfer.submitted_s,
                };
                core.plan_incoming_transfer(&request, promised_cpus, now())
            });
            match plan {
                TransferPlan::Answer(state) => return Ok(Some(state)),
                TransferPlan::OutdatedSender => return Err(ExchangeError::OutdatedSender),
                TransferPlan::NoAnswer => return Ok(None),
                TransferPlan::Commit(update, spending) => {
                    let is_cancel = transfer.request == TransferRequest::Cancel;
                    if !self.commit_with_spending(&transfer.job, update, spending).await && !is_cancel {
                        return Ok(None);
                    }
                }
            }
        }
        Ok(None)
    }

    /// Commits an update of a hand-over and settles the admission credit that it spends.
    /// Returns whether the update was committed.
    async fn commit_with_spending(
        &self,
        job: &str,
        update: AtomicUpdate,
        spending: Option<Spending>,
    ) -> bool {
        let spending = spending.map(|spending| PendingSpending::new(self, job, spending));
        let result = self.commit_handover_update(update).await;
        if let Some(spending) = spending {
            spending.settle(&result);
        }
        matches!(result, UpdateResult::Committed(_))
    }

    /// Commits an update of a hand-over. Returns `false` if it was not committed or its outcome
    /// is unknown.
    pub(crate) async fn try_commit_handover_update(&self, update: AtomicUpdate) -> bool {
        matches!(self.commit_handover_update(update).await, UpdateResult::Committed(_))
    }

    /// Commits an update of a hand-over and applies it to the replica. After a conflict, the
    /// conflicting keys are read again.
    async fn commit_handover_update(&self, update: AtomicUpdate) -> UpdateResult {
        let result = self.committer.commit_urgent(update.clone()).await;
        match &result {
            UpdateResult::Committed(revision) => {
                self.with(|core| core.apply_changes(&update.changes, *revision, now()));
            }
            UpdateResult::Conflict(keys) => {
                for key in keys {
                    self.refresh(key, || true).await;
                }
            }
            UpdateResult::Refused(error) | UpdateResult::Unknown(error) => {
                tracing::debug!(error, "commit of a hand-over update refused, or its outcome is unknown");
            }
        }
        result
    }
}

/// Counts a request as in progress until it is dropped.
struct ExchangeSlot<'a> {
    running: &'a AtomicUsize,
    /// Number of requests that were in progress when this one began.
    earlier: usize,
}

impl<'a> ExchangeSlot<'a> {
    fn take(running: &'a AtomicUsize) -> ExchangeSlot<'a> {
        ExchangeSlot { running, earlier: running.fetch_add(1, Ordering::Relaxed) }
    }
}

impl Drop for ExchangeSlot<'_> {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Checks that a request is addressed to the current incarnation of this cell. A request
/// without a receiver asks only for the summary, so it must not contain transfers.
fn check_receiver(federation: &FederationSettings, request: &ExchangeRequest) -> Result<(), ExchangeError> {
    match &request.to {
        None if request.transfers.is_empty() => Ok(()),
        None => Err(ExchangeError::Malformed("no receiver".into())),
        Some(to) if from_cell(Some(to)).is_ok_and(|to| to == federation.cell) => Ok(()),
        Some(_) => Err(ExchangeError::WrongReceiver),
    }
}
