//! The host cell's side of a hand-over.
//!
//! The host cell keeps three kinds of records in its own state service: the job record
//! with its [`Origin`], a [`RefusalRecord`] for each transfer that it refused or returned,
//! and one [`WatermarkRecord`] per home cell. It answers a request from these records, and
//! where necessary commits a change to them first. Each change is conditional on all three
//! being unchanged, so only one of two concurrent requests takes effect.
//!
//! A committed refusal rejects its epoch and all earlier ones, also when a copy of the
//! offer arrives later. It may be deleted once the home cell's watermark has passed its
//! epoch: all epochs below the watermark are rejected anyway, and the watermark never
//! decreases. The final records of hosted jobs may be deleted by the same rule.

use crate::messages::{CellId, Epoch, TransferRequest, TransferState};
use serde::{Deserialize, Serialize};

/// The transfer that brought a job to this cell, stored in the host cell's job record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The job's home cell.
    #[serde(flatten)]
    pub cell: CellId,
    /// Epoch of the transfer.
    #[serde(rename = "e")]
    pub epoch: Epoch,
}

/// Record of a transfer that this cell refused, or of a job that it returned to the home
/// cell before any task had started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// Transfers of the same job with this epoch or a lower one are rejected.
    #[serde(rename = "e")]
    pub epoch: Epoch,
}

/// Watermark of a home cell: the transfers that the home cell has finished with.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WatermarkRecord {
    /// Incarnation of the home cell.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// All transfers with a lower epoch have ended in the home cell and are rejected here.
    #[serde(rename = "e")]
    pub epoch: Epoch,
}

impl WatermarkRecord {
    /// The record to store after the home cell sent a watermark. `None` if the watermark
    /// is not higher than the stored one.
    pub fn advanced_to(&self, incarnation: u64, epoch: Epoch) -> Option<WatermarkRecord> {
        let newer = (incarnation, epoch) > (self.incarnation, self.epoch);
        newer.then_some(WatermarkRecord { incarnation, epoch })
    }

    /// Whether a transfer is below the watermark.
    fn covers(&self, epoch: Epoch) -> bool {
        epoch < self.epoch
    }
}

/// What this cell's job record says about a transferred job.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HostedJob {
    /// There is no job record with this id.
    Absent,
    /// The id belongs to a job of this cell's own users, or to one of another home cell.
    Unrelated,
    /// The job arrived by a transfer.
    Present {
        /// The transfer by which the job arrived.
        origin: Origin,
        /// State of the job, from committed records only.
        state: TransferState,
    },
}

/// The host cell's committed records that concern one transfer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HostRecords {
    /// The job record.
    pub job: HostedJob,
    /// The refusal of the job, if a transfer of it was refused or returned.
    pub refusal: Option<RefusalRecord>,
    /// Watermark of the job's home cell.
    pub watermark: WatermarkRecord,
}

/// The host cell's next step after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostStep {
    /// Answer with this state.
    Answer(TransferState),
    /// Commit a job record with its origin, then answer.
    Accept,
    /// Commit a refusal, then answer.
    Refuse,
    /// Commit the cancellation of the job, then answer.
    Cancel,
    /// Reject the request: a higher incarnation has replaced the sender.
    OutdatedSender,
}

/// Decides what to do about `request` of home cell `from`. `can_accept` says whether this
/// cell is willing to accept the job now.
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
        // The job id is taken: by a job of this cell's users, by a job of another home
        // cell, or by the record of another transfer of the same job.
        HostedJob::Present { .. } | HostedJob::Unrelated => HostStep::Refuse,
        HostedJob::Absent => match request {
            TransferRequest::Offer if can_accept => HostStep::Accept,
            TransferRequest::Offer | TransferRequest::Cancel => HostStep::Refuse,
            TransferRequest::Poll => HostStep::Answer(TransferState::Unknown),
        },
    }
}

/// Whether a refusal record, or the record of a hosted job that has ended, may be deleted
/// under its home cell's `watermark`. `epoch` and `incarnation` are those of its transfer.
pub fn is_prunable(epoch: Epoch, incarnation: u64, watermark: &WatermarkRecord) -> bool {
    let replaced = incarnation < watermark.incarnation;
    replaced || (incarnation == watermark.incarnation && watermark.covers(epoch))
}
