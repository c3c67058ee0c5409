//! What cells ask of each other, and how it is answered.

mod answer;
pub(crate) mod convert;
mod status;

pub use convert::{MalformedMessage, to_exchange_reply, to_exchange_request};

use async_trait::async_trait;
use dapplecroft_federation::PeerCell;
use dapplecroft_wire::cells::{ExchangeReply, ExchangeRequest};

/// The version of the cells' protocol that this program speaks.
pub const PROTOCOL_VERSION: u32 = 1;
/// The most transfers of one request.
pub const MAX_TRANSFERS_PER_REQUEST: usize = 64;
/// The largest message between cells: as many specifications as one request holds.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Why another cell gave no answer. None of these proves anything about a transfer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// None of its controllers could be reached, or answered in time.
    #[error("not reached")]
    Unreachable,
    /// The asked controller does not lead its cell; another one may.
    #[error("not the leader")]
    NotLeader,
    /// The asked cell does not take part, or speaks another version.
    #[error("speaks no version of ours")]
    UnsupportedVersion,
    /// The sender is not a listed cell, or connects from elsewhere.
    #[error("not a listed cell")]
    UnknownSender,
    /// It is another cell, or another incarnation of it, than the one that was meant.
    #[error("another cell or incarnation")]
    WrongReceiver,
    /// The sender's incarnation has been replaced.
    #[error("the sender's incarnation is outdated")]
    OutdatedSender,
    /// The message can't be understood, or is too large.
    #[error("malformed: {0}")]
    Malformed(String),
    /// Too much is asked at a time.
    #[error("busy")]
    Busy,
}

/// Asks other cells.
#[async_trait]
pub trait CellClient: Send + Sync {
    /// Asks a cell's leader.
    async fn exchange(
        &self,
        peer: &PeerCell,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, ExchangeError>;
}

/// No other cells.
#[derive(Debug, Default)]
pub struct NoCellClient;

#[async_trait]
impl CellClient for NoCellClient {
    async fn exchange(&self, _: &PeerCell, _: ExchangeRequest) -> Result<ExchangeReply, ExchangeError> {
        Err(ExchangeError::Unreachable)
    }
}
