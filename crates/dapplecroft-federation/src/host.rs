//! The visited cell's side of a hand-over.
//!
//! It keeps three kinds of records in its own state service: the job itself with its
//! [`Origin`], a [`RefusalRecord`] for each transfer that it has refused or returned, and
//! one [`WatermarkRecord`] for each home cell. A request is answered from these, or
//! changes one of them first. Each change is committed on condition that all three are
//! as they were, so of two requests that meet only one takes effect.
//!
//! *Refusals.* One that was committed outlaws its epoch and all earlier ones, also for a
//! copy of the offer that arrives later. It may be dropped once the home cell's watermark
//! has passed it: everything below the watermark is outlawed as a whole, and the watermark
//! only grows. The same holds for the final records of jobs that were here.

use crate::messages::{CellId, Epoch, TransferRequest, TransferState};
use serde::{Deserialize, Serialize};

/// Where a visiting job comes from, in its record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Its home cell.
    #[serde(flatten)]
    pub cell: CellId,
    /// The transfer by which it came.
    #[serde(rename = "e")]
    pub epoch: Epoch,
}

/// A transfer that was refused, or given back before anything of it had started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// This epoch and all earlier ones of the same job are outlawed.
    #[serde(rename = "e")]
    pub epoch: Epoch,
}

/// What a home cell has finished.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WatermarkRecord {
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// All transfers with a lower epoch are over and outlawed.
    #[serde(rename = "e")]
    pub epoch: Epoch,
}

impl WatermarkRecord {
    /// The record after a home cell has told of a watermark; `None` if it says nothing
    /// new.
    pub fn advanced_to(&self, incarnation: u64, epoch: Epoch) -> Option<WatermarkRecord> {
        let newer = (incarnation, epoch) > (self.incarnation, self.epoch);
        newer.then_some(WatermarkRecord { incarnation, epoch })
    }

    /// Whether a transfer is below it.
    fn covers(&self, epoch: Epoch) -> bool {
        epoch < self.epoch
    }
}

/// A job's record here, as far as a hand-over goes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HostedJob {
    /// There is none.
    Absent,
    /// It is no visiting job, or another cell's.
    Unrelated,
    /// It came by a transfer.
    Present {
        /// Which.
        origin: Origin,
        /// How it stands, by committed records alone.
        state: TransferState,
    },
}

/// What is known here of a transfer, by committed records.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HostRecords {
    /// The job's record.
    pub job: HostedJob,
    /// What was refused of the job.
    pub refusal: Option<RefusalRecord>,
    /// What its home cell has finished.
    pub watermark: WatermarkRecord,
}

/// What follows from a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostStep {
    /// It is answered.
    Answer(TransferState),
    /// The job's record is committed, with its origin; then it is answered.
    Accept,
    /// A refusal is committed; then it is answered.
    Refuse,
    /// The job's cancellation is committed; then it is answered.
    Cancel,
    /// The sender is an incarnation that has been replaced.
    OutdatedSender,
}

/// What to do about a request of a home cell. `can_accept` says whether this cell wants to
/// take the job now.
pub fn on_request(
    records: &HostRecords,
    from: &CellId,
    epoch: Epoch,
    request: TransferRequest,
    can_accept: bool,
) -> HostStep {
    if from.incarnation < records.watermark.incarnation {
        return HostStep::OutdatedSender;
    }
    let covered = from.incarnation == records.watermark.incarnation && records.watermark.covers(epoch);
    if covered {
        return HostStep::Answer(TransferState::Refused);
    }
    if records.refusal.is_some_and(|refusal| epoch <= refusal.epoch) {
        return HostStep::Answer(TransferState::Refused);
    }
    match &records.job {
        HostedJob::Present { origin, state } if origin.cell == *from && origin.epoch == epoch => {
            match (request, state) {
                (TransferRequest::Cancel, TransferState::Accepted { .. }) => HostStep::Cancel,
                _ => HostStep::Answer(*state),
            }
        }
        // An id that is taken: by a user of this cell, by another cell's job, or by what
        // is left of an earlier transfer.
        HostedJob::Present { .. } | HostedJob::Unrelated => HostStep::Refuse,
        HostedJob::Absent => match request {
            TransferRequest::Offer if can_accept => HostStep::Accept,
            TransferRequest::Offer | TransferRequest::Cancel => HostStep::Refuse,
            TransferRequest::Poll => HostStep::Answer(TransferState::Unknown),
        },
    }
}

/// Whether the record of a refusal, or of a visiting job that is over, may be dropped.
pub fn is_prunable(epoch: Epoch, incarnation: u64, watermark: &WatermarkRecord) -> bool {
    let replaced = incarnation < watermark.incarnation;
    replaced || (incarnation == watermark.incarnation && watermark.covers(epoch))
}
