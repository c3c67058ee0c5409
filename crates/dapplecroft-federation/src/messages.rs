//! What two cells say to each other about one job.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A cell, in one life of its state service. A cell whose records were lost comes back
/// with a higher incarnation: it knows nothing of what the earlier one agreed to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// The name that all cells know it by.
    #[serde(rename = "c")]
    pub name: String,
    /// Which life of its records.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

impl CellId {
    /// A cell by name and incarnation.
    pub fn new(name: &str, incarnation: u64) -> CellId {
        CellId { name: name.to_string(), incarnation }
    }
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

/// Bits of an epoch that number the transfers of one leadership.
const OFFER_COUNTER_BITS: u32 = 20;

/// The number of a transfer. The home cell uses each once and in rising order: the high
/// part is the term of its leader, a revision of its state service, the low part counts
/// that leader's offers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The `counter`-th transfer of a leader's term; `None` if either is too large.
    pub fn from_parts(term: u64, counter: u64) -> Option<Epoch> {
        let fits = counter < 1 << OFFER_COUNTER_BITS && term < 1 << (u64::BITS - OFFER_COUNTER_BITS);
        if fits { Some(Epoch(term << OFFER_COUNTER_BITS | counter)) } else { None }
    }
}

/// How a job ended, for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// All its tasks completed.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// What the home cell asks about a transfer. Every request may be repeated, arrive
/// twice, late, or out of order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TransferRequest {
    /// Take the job: its specification comes along.
    Offer,
    /// How does it stand?
    Poll,
    /// Its user wants it cancelled.
    Cancel,
}

/// What the visited cell answers. All but `Unknown` tell of what it has committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TransferState {
    /// It has the job and answers for running it; so many tasks are complete and run.
    Accepted {
        /// Completed tasks.
        done: u32,
        /// Running tasks.
        running: u32,
    },
    /// It has not, and will never take the job under this epoch or an earlier one.
    Refused,
    /// All tasks are complete.
    Done {
        /// Completed tasks.
        done: u32,
    },
    /// The job is cancelled there: none of its tasks will start.
    Withdrawn {
        /// Tasks that were complete by then.
        done: u32,
    },
    /// It has not heard of this transfer yet. That proves nothing: an offer may be on
    /// its way.
    Unknown,
}
