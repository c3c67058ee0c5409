//! The home cell's side of a hand-over.
//!
//! The home cell is the cell that a job was submitted to, and it stays responsible for the
//! job until the job ends. Its job record, in its own state service, names the transfer
//! in progress, if there is one:
//!
//! ```text
//!         offer (committed, then sent)
//!   open -----------------------------> away
//!     ^                                |  |  |
//!     |  refused under this epoch      |  |  |  done or cancelled in the host cell
//!     +--------------------------------+  |  +-----------------------------------> ended
//!                                         |
//!                  cancelled by its user: away, with cancellation requested
//! ```
//!
//! - While a job is away, the home cell starts none of its tasks and offers it to no other
//!   cell.
//! - A job becomes open again only by a refusal that the host cell has *committed* under
//!   exactly the epoch of the offer. A timeout, a lost answer or a closed connection does
//!   not show that the host cell has not accepted the job.
//! - A job has ended once the home cell has committed the end that the host cell committed
//!   before.

use crate::messages::{CellId, Epoch, Outcome, TransferRequest, TransferState};
use serde::{Deserialize, Serialize};

/// The transfer in progress of a job that is away, stored in the home cell's job record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AwayRecord {
    /// The host cell that the job was offered to.
    #[serde(flatten)]
    pub cell: CellId,
    /// Epoch of the transfer.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Whether the job's user has asked to cancel it.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelling: bool,
}

/// The home cell's next step after an answer. What it commits is conditional on its job
/// record being unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HomeStep {
    /// Commit nothing; send further requests to the host cell.
    Wait,
    /// Make the job open again: it may run in the home cell or be offered again.
    Reopen,
    /// End the job.
    End {
        /// How the job ended.
        outcome: Outcome,
        /// Number of completed tasks.
        done: u32,
    },
}

impl AwayRecord {
    /// The record of a job that is about to be offered to `cell` under `epoch`.
    pub fn for_offer(cell: CellId, epoch: Epoch) -> AwayRecord {
        AwayRecord { cell, epoch, cancelling: false }
    }

    /// A copy of this record that requests cancellation of the job.
    pub fn with_cancellation_requested(&self) -> AwayRecord {
        AwayRecord { cancelling: true, ..self.clone() }
    }

    /// The request to send to the host cell next. `offer_unknown` says that the host cell
    /// has not answered so far, or last answered [`TransferState::Unknown`].
    pub fn next_request(&self, offer_unknown: bool) -> TransferRequest {
        match (self.cancelling, offer_unknown) {
            (true, _) => TransferRequest::Cancel,
            (false, true) => TransferRequest::Offer,
            (false, false) => TransferRequest::Poll,
        }
    }

    /// Decides what to commit after cell `from` answered `state` about transfer `epoch`.
    pub fn on_answer(&self, from: &CellId, epoch: Epoch, state: TransferState) -> HomeStep {
        // An answer about an earlier transfer does not apply to this one. Nor does an
        // answer of another incarnation: one that has no record of the offer cannot have
        // refused it.
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

/// Computes the watermark to send to a host cell: every transfer to that cell with a lower
/// epoch has ended in the home cell's records, and no transfer with a lower epoch will
/// start.
///
/// `outstanding` must hold the epochs of all jobs that are away at that cell, read from a
/// record replica that has caught up with the start of this leader's term, and of all
/// offers whose transaction may still commit. `next_epoch` is the lowest epoch that this
/// leader may still assign.
pub fn compute_watermark(outstanding: impl IntoIterator<Item = Epoch>, next_epoch: Epoch) -> Epoch {
    outstanding.into_iter().fold(next_epoch, Epoch::min)
}
