//! Requests and answers that a home cell and a host cell exchange about one job.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A cell's name and the incarnation of its records. A cell that loses its records
/// returns with a higher incarnation, because it no longer knows what it agreed to before.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// Name of the cell, the same in the settings of all cells.
    #[serde(rename = "c")]
    pub name: String,
    /// Incarnation of the cell's records: raised each time they were lost.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

impl CellId {
    /// Creates the id of a cell from its name and incarnation.
    pub fn new(name: &str, incarnation: u64) -> CellId {
        CellId { name: name.to_string(), incarnation }
    }
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

/// Low bits of an epoch, which count the offers made in one leader's term.
const OFFER_COUNTER_BITS: u32 = 20;

/// Identifies one transfer, that is, one offer of a job to a host cell. A home cell uses
/// each epoch once and in increasing order. The high bits hold the term of the home cell's
/// leader (a revision of its state service), the low bits count that leader's offers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of offer number `counter` in the leader's term `term`. `None` if either
    /// number does not fit into its bits.
    pub fn from_parts(term: u64, counter: u64) -> Option<Epoch> {
        let fits = counter < 1 << OFFER_COUNTER_BITS && term < 1 << (u64::BITS - OFFER_COUNTER_BITS);
        if fits { Some(Epoch(term << OFFER_COUNTER_BITS | counter)) } else { None }
    }
}

/// How a job ended; final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// All tasks of the job completed.
    Done,
    /// The job's user cancelled it.
    Cancelled,
}

/// Request of the home cell to the host cell about one transfer. A request may be sent
/// repeatedly and may arrive more than once, late or out of order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TransferRequest {
    /// Asks the host cell to take the job. The job's specification is sent along.
    Offer,
    /// Asks for the state of the transfer.
    Poll,
    /// Asks the host cell to cancel the job, because the job's user cancelled it.
    Cancel,
}

/// State of a transfer, as the host cell answers it. Every state but `Unknown` is read
/// from records that the host cell has committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TransferState {
    /// The host cell has accepted the job and is responsible for running it.
    Accepted {
        /// Completed tasks.
        done: u32,
        /// Running tasks.
        running: u32,
    },
    /// The host cell does not have the job and will never accept it under this epoch or
    /// an earlier one.
    Refused,
    /// The job is done: all its tasks completed.
    Done {
        /// Completed tasks.
        done: u32,
    },
    /// The job is cancelled in the host cell: none of its tasks will start any more.
    Withdrawn {
        /// Tasks that had completed before the cancellation.
        done: u32,
    },
    /// The host cell has no record of this transfer. This is not a refusal: an offer may
    /// still be in flight.
    Unknown,
}
