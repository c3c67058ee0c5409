//! The home cell's side of a hand-over.
//!
//! The home cell answers for a job for ever. Its record of the job is in its own state
//! service and names the transfer that is under way, if any:
//!
//! ```text
//!            offer (committed, then sent)
//!   open ---------------------------------> away
//!     ^                                    |  |  |
//!     |   refused under this epoch         |  |  |  done, or withdrawn, there
//!     +------------------------------------+  |  +-------------------------> over
//!                                             |
//!                      cancelled by its user: away, to be cancelled
//! ```
//!
//! - Nothing of a job starts here while it is away, and it is offered to nobody else.
//! - It comes back only by a refusal that the other cell has *committed* under the very
//!   epoch of the offer. Silence, a lost answer or a closed connection proves nothing.
//! - It is over once the other cell's committed end is committed here.

use crate::messages::{CellId, Epoch, Outcome, TransferRequest, TransferState};
use serde::{Deserialize, Serialize};

/// The transfer under way of a job, as the home cell's record of it says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AwayRecord {
    /// The cell that it was offered to.
    #[serde(flatten)]
    pub cell: CellId,
    /// The number of the transfer.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Whether its user has asked to cancel it.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelling: bool,
}

/// What the home cell commits next, on condition that its record is unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HomeStep {
    /// Nothing: it goes on asking.
    Wait,
    /// The job is open here again.
    Reopen,
    /// The job is over.
    End {
        /// How.
        outcome: Outcome,
        /// Completed tasks.
        done: u32,
    },
}

impl AwayRecord {
    /// The record of a job that is offered to a cell.
    pub fn for_offer(cell: CellId, epoch: Epoch) -> AwayRecord {
        AwayRecord { cell, epoch, cancelling: false }
    }

    /// The record once its user has asked to cancel the job.
    pub fn with_cancellation_requested(&self) -> AwayRecord {
        AwayRecord { cancelling: true, ..self.clone() }
    }

    /// What to ask the other cell; `offer_unknown` says that it has answered that it has not
    /// heard of the offer yet, or has not answered at all so far.
    pub fn next_request(&self, offer_unknown: bool) -> TransferRequest {
        match (self.cancelling, offer_unknown) {
            (true, _) => TransferRequest::Cancel,
            (false, true) => TransferRequest::Offer,
            (false, false) => TransferRequest::Poll,
        }
    }

    /// What follows from an answer of a cell about a transfer.
    pub fn on_answer(&self, from: &CellId, epoch: Epoch, state: TransferState) -> HomeStep {
        // An answer about an earlier transfer says nothing about this one, and an
        // incarnation that never heard of it can't have refused it.
        if epoch != self.epoch || *from != self.cell {
            return HomeStep::Wait;
        }
        match state {
            TransferState::Accepted { .. } | TransferState::Unknown => HomeStep::Wait,
            TransferState::Refused if self.cancelling => {
                HomeStep::End { outcome: Outcome::Cancelled, done: 0 }
            }
            TransferState::Refused => HomeStep::Reopen,
            TransferState::Done { done } => HomeStep::End { outcome: Outcome::Done, done },
            TransferState::Withdrawn { done } => HomeStep::End { outcome: Outcome::Cancelled, done },
        }
    }
}

/// The watermark to tell a cell: every transfer to it with a lower epoch is over here,
/// and none with a lower one will ever begin. `outstanding` are the epochs of all jobs
/// that are away at that cell, by a copy of the records that has caught up with the
/// leader's own term, and of all offers whose transaction may still be carried out; `next_epoch`
/// is the lowest epoch that this leader may still use.
pub fn compute_watermark(outstanding: impl IntoIterator<Item = Epoch>, next_epoch: Epoch) -> Epoch {
    outstanding.into_iter().fold(next_epoch, Epoch::min)
}
