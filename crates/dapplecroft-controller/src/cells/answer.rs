//! Answers to other cells: the visited cell's part of a hand-over.

use super::convert::{ReceivedTransfer, from_cell, from_transfer, to_answer, to_reply};
use super::{ExchangeError, MAX_TRANSFERS, PROTOCOL};
use crate::admission::OpenSpending;
use crate::core::{VisitPlan, VisitRequest};
use crate::node::{Node, now};
use dapplecroft_admission::Spending;
use dapplecroft_federation::{CellId, Epoch, Federation, TransferRequest, TransferState};
use dapplecroft_sched::Resources;
use dapplecroft_state::{AtomicUpdate, UpdateResult};
use dapplecroft_wire::cells::{ExchangeReply, ExchangeRequest, TransferAnswer};
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

/// Requests of other cells that are worked on at a time.
const MAX_EXCHANGES: usize = 4;
/// How often a request is looked at again after what it needed was committed, or was
/// not because something else had changed.
const MAX_STEPS: usize = 4;
/// How long an answer waits for commits; what is not committed by then is left out.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

impl Node {
    /// Answers another cell that connects from an address.
    pub async fn answer_exchange(
        self: &Arc<Self>,
        from: IpAddr,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, ExchangeError> {
        let cell = self.check_exchange(from, &request)?;
        if !self.with(|core| core.leads_federation(now())) {
            return Err(ExchangeError::NotLeader);
        }
        // The sender can end, and its request with it, at any moment.
        let slot = ExchangeSlot::take(&self.exchanging);
        if slot.position >= MAX_EXCHANGES {
            return Err(ExchangeError::Busy);
        }
        self.work_on_exchange(&cell, &request).await
    }

    /// Whether a request may be answered at all; returns the sender.
    fn check_exchange(&self, from: IpAddr, request: &ExchangeRequest) -> Result<CellId, ExchangeError> {
        let Some(federation) = &self.options.federation else { return Err(ExchangeError::OtherVersion) };
        if request.version != PROTOCOL {
            return Err(ExchangeError::OtherVersion);
        }
        let cell = from_cell(request.from.as_ref())?;
        let listed = federation.peer(&cell.name).is_some_and(|peer| peer.may_connect(from));
        if !listed || cell.incarnation == 0 {
            return Err(ExchangeError::Unlisted);
        }
        check_receiver(federation, request)?;
        if request.transfers.len() > MAX_TRANSFERS {
            return Err(ExchangeError::Malformed("too many transfers".into()));
        }
        Ok(cell)
    }

    async fn work_on_exchange(
        self: &Arc<Self>,
        cell: &CellId,
        request: &ExchangeRequest,
    ) -> Result<ExchangeReply, ExchangeError> {
        let transfers: Vec<ReceivedTransfer> =
            request.transfers.iter().map(from_transfer).collect::<Result<_, _>>()?;
        let watermark = Epoch(request.watermark);
        if let Some(update) = self.with(|core| {
            if core.watermark_frees(cell, watermark) { core.watermark_update(cell, watermark) } else { None }
        }) {
            self.commit_for_cells(update).await;
        }
        let answers = self.answer_transfers(cell, transfers).await?;
        let summary = self.with(|core| core.cell_summary(now())).ok_or(ExchangeError::OtherVersion)?;
        Ok(to_reply(&summary, answers))
    }

    /// All at once, so that they share transactions. What takes too long has no answer
    /// in this reply; it is asked about again.
    async fn answer_transfers(
        self: &Arc<Self>,
        cell: &CellId,
        transfers: Vec<ReceivedTransfer>,
    ) -> Result<Vec<TransferAnswer>, ExchangeError> {
        let mut work = JoinSet::new();
        let mut offered_cpus = 0;
        for transfer in transfers {
            let (node, cell, taken) = (self.clone(), cell.clone(), offered_cpus);
            offered_cpus += transfer.spec.as_ref().map_or(0, |spec| {
                Resources::new(spec.cpus, spec.gpus, spec.memory_gb).cpus * i64::from(spec.tasks)
            });
            work.spawn(async move {
                let answer = node.answer_transfer(&cell, &transfer, taken);
                match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
                    Ok(Ok(Some(state))) => Ok(Some(to_answer(&transfer.job, transfer.epoch, state))),
                    Ok(Err(error)) => Err(error),
                    Ok(Ok(None)) | Err(_) => Ok(None),
                }
            });
        }
        let mut answers = Vec::new();
        while let Some(answer) = work.join_next().await {
            answers.extend(answer.unwrap_or(Ok(None))?);
        }
        Ok(answers)
    }

    /// Commits what a request needs and looks at it again, until it can be answered from
    /// what is committed.
    async fn answer_transfer(
        &self,
        cell: &CellId,
        transfer: &ReceivedTransfer,
        taken_cpus: i64,
    ) -> Result<Option<TransferState>, ExchangeError> {
        for _ in 0..MAX_STEPS {
            let plan = self.with(|core| {
                let request = VisitRequest {
                    from: cell,
                    job: &transfer.job,
                    epoch: transfer.epoch,
                    request: transfer.request,
                    spec: transfer.spec.as_ref(),
                    submitted: transfer.submitted,
                };
                core.visit_plan(&request, taken_cpus, now())
            });
            match plan {
                VisitPlan::Answer(state) => return Ok(Some(state)),
                VisitPlan::OutdatedSender => return Err(ExchangeError::OutdatedSender),
                VisitPlan::NotNow => return Ok(None),
                VisitPlan::Commit(update, spending) => {
                    let wait = transfer.request == TransferRequest::Cancel;
                    if !self.commit_step(&transfer.job, update, spending).await && !wait {
                        return Ok(None);
                    }
                }
            }
        }
        Ok(None)
    }

    /// Commits a step of a hand-over, and settles what it spends.
    async fn commit_step(&self, job: &str, update: AtomicUpdate, spending: Option<Spending>) -> bool {
        let spending = spending.map(|spending| OpenSpending::new(self, job, spending));
        let result = self.commit_update_for_cells(update).await;
        if let Some(spending) = spending {
            spending.settle(&result);
        }
        matches!(result, UpdateResult::Committed(_))
    }

    /// Commits a unit of a hand-over; on a conflict the keys are read again. `false`: it
    /// is not made, or nobody knows.
    pub(crate) async fn commit_for_cells(&self, update: AtomicUpdate) -> bool {
        matches!(self.commit_update_for_cells(update).await, UpdateResult::Committed(_))
    }

    async fn commit_update_for_cells(&self, update: AtomicUpdate) -> UpdateResult {
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
                tracing::debug!(error, "a step of a hand-over is not committed yet");
            }
        }
        result
    }
}

/// A request that is being worked on, until it is dropped.
struct ExchangeSlot<'a> {
    running: &'a AtomicUsize,
    position: usize,
}

impl<'a> ExchangeSlot<'a> {
    fn take(running: &'a AtomicUsize) -> ExchangeSlot<'a> {
        ExchangeSlot { running, position: running.fetch_add(1, Ordering::Relaxed) }
    }
}

impl Drop for ExchangeSlot<'_> {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Whether a request is meant for this cell as it is. A request without a receiver asks
/// for the summary alone.
fn check_receiver(federation: &Federation, request: &ExchangeRequest) -> Result<(), ExchangeError> {
    match &request.to {
        None if request.transfers.is_empty() => Ok(()),
        None => Err(ExchangeError::Malformed("no receiver".into())),
        Some(to) if from_cell(Some(to)).is_ok_and(|to| to == federation.cell) => Ok(()),
        Some(_) => Err(ExchangeError::OtherCell),
    }
}
