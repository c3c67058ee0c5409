//! The exchange protocol between cells: message conversion, the client trait and the answers
//! to other cells.

mod answer;
pub(crate) mod convert;
mod status;

pub use convert::{MalformedMessage, to_exchange_reply, to_exchange_request};

use async_trait::async_trait;
use dapplecroft_federation::PeerCell;
use dapplecroft_wire::cells::{ExchangeReply, ExchangeRequest};

/// Version of the exchange protocol that this program uses; requests of other versions are
/// rejected.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum number of transfers in one request.
pub const MAX_TRANSFERS_PER_REQUEST: usize = 64;
/// Maximum size of a message between cells. It must hold the job specifications of
/// [`MAX_TRANSFERS_PER_REQUEST`] offers.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Reasons why an exchange with another cell failed. None of them tells whether that cell has
/// accepted or refused a transfer. The texts are sent to the other cell.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No controller of the cell could be reached or answered in time.
    #[error("not reached")]
    Unreachable,
    /// The controller that received the request does not lead its cell; another one may.
    #[error("not the leader")]
    NotLeader,
    /// The receiving cell belongs to no federation, or uses another version of the protocol.
    #[error("speaks no version of ours")]
    UnsupportedVersion,
    /// The sender is not configured as a peer, or connects from an address outside the peer's
    /// networks.
    #[error("not a listed cell")]
    UnknownSender,
    /// The request is addressed to another cell, or to another incarnation of this cell.
    #[error("another cell or incarnation")]
    WrongReceiver,
    /// A newer incarnation of the sending cell is known.
    #[error("the sender's incarnation is outdated")]
    OutdatedSender,
    /// The message is invalid or too large.
    #[error("malformed: {0}")]
    Malformed(String),
    /// Too many requests of other cells are in progress.
    #[error("busy")]
    Busy,
}

/// Client for requests to other cells.
#[async_trait]
pub trait CellClient: Send + Sync {
    /// Sends a request to the leader of a cell and returns its reply.
    async fn exchange(
        &self,
        peer: &PeerCell,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, ExchangeError>;
}

/// A client for a cell without a federation: every other cell is unreachable.
#[derive(Debug, Default)]
pub struct NoCellClient;

#[async_trait]
impl CellClient for NoCellClient {
    async fn exchange(&self, _: &PeerCell, _: ExchangeRequest) -> Result<ExchangeReply, ExchangeError> {
        Err(ExchangeError::Unreachable)
    }
}
