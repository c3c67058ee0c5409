//! Conversion between the messages of the exchange protocol and typed values.

use super::{ExchangeError, PROTOCOL_VERSION};
use crate::core::OutgoingTransfer;
use dapplecroft_federation::summary::{MachinePool, Summary};
use dapplecroft_federation::{CellId, Epoch, TransferRequest, TransferState};
use dapplecroft_sched::Resources;
use dapplecroft_wire::cells::{
    Cell, ExchangeReply, ExchangeRequest, MachineRoom, Transfer, TransferAnswer, TransferKind,
    TransferStateKind,
};
use dapplecroft_wire::users::{JobSpec, valid_id};

/// Why a message of another cell is invalid. The texts are sent to the other cell.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// The message does not name its cell, or comes from another cell than the one that was asked.
    #[error("no cell")]
    MissingCell,
    /// The kind of a transfer is unknown.
    #[error("unknown kind of transfer")]
    UnknownTransferKind,
    /// A job id is invalid, or differs from the id in the job's specification.
    #[error("no job id")]
    InvalidJobId,
    /// The specification of an offered job can't be parsed.
    #[error("unreadable job: {0}")]
    UnreadableSpec(String),
    /// The state in an answer is unknown.
    #[error("unknown state of a transfer")]
    UnknownTransferState,
}

impl From<MalformedMessage> for ExchangeError {
    fn from(error: MalformedMessage) -> Self {
        ExchangeError::Malformed(error.to_string())
    }
}

/// One transfer of a received request, decoded and checked.
#[derive(Debug, Clone)]
pub struct DecodedTransfer {
    /// Job id.
    pub job: String,
    /// Epoch of the transfer.
    pub epoch: Epoch,
    /// Kind of the request.
    pub request: TransferRequest,
    /// Job specification; only present with an offer.
    pub spec: Option<JobSpec>,
    /// Time at which the user submitted the job, in seconds since the Unix epoch; 0 if the
    /// received value is not finite.
    pub submitted_s: f64,
}

pub(super) fn to_cell(cell: &CellId) -> Cell {
    Cell { name: cell.name.clone(), incarnation: cell.incarnation }
}

/// Decodes the cell named in a message.
pub fn from_cell(cell: Option<&Cell>) -> Result<CellId, MalformedMessage> {
    let cell = cell.ok_or(MalformedMessage::MissingCell)?;
    Ok(CellId::new(&cell.name, cell.incarnation))
}

/// Encodes a request to another cell. Without `to`, while the other cell's incarnation is not
/// known, the request asks only for that cell's summary.
pub fn to_exchange_request(
    from: &CellId,
    to: Option<&CellId>,
    watermark: Epoch,
    requests: Vec<OutgoingTransfer>,
) -> ExchangeRequest {
    let transfer = |request: OutgoingTransfer| Transfer {
        job: request.job.to_string(),
        epoch: request.epoch.0,
        kind: match request.request {
            TransferRequest::Offer => TransferKind::Offer,
            TransferRequest::Poll => TransferKind::Poll,
            TransferRequest::Cancel => TransferKind::Cancel,
        } as i32,
        spec: request.spec.and_then(|spec| serde_json::to_vec(&spec).ok()).unwrap_or_default(),
        submitted_s: request.submitted_s,
    };
    ExchangeRequest {
        version: PROTOCOL_VERSION,
        from: Some(to_cell(from)),
        to: to.map(to_cell),
        watermark: watermark.0,
        transfers: requests.into_iter().map(transfer).collect(),
    }
}

/// Decodes and checks one transfer of a request.
pub(super) fn from_transfer(transfer: &Transfer) -> Result<DecodedTransfer, MalformedMessage> {
    if !valid_id(&transfer.job) {
        return Err(MalformedMessage::InvalidJobId);
    }
    let request = match TransferKind::try_from(transfer.kind) {
        Ok(TransferKind::Offer) => TransferRequest::Offer,
        Ok(TransferKind::Poll) => TransferRequest::Poll,
        Ok(TransferKind::Cancel) => TransferRequest::Cancel,
        Ok(TransferKind::Unspecified) | Err(_) => return Err(MalformedMessage::UnknownTransferKind),
    };
    let spec = match request {
        TransferRequest::Offer => {
            let spec = JobSpec::parse(&transfer.spec).map_err(MalformedMessage::UnreadableSpec)?;
            if spec.id != transfer.job {
                return Err(MalformedMessage::InvalidJobId);
            }
            Some(spec)
        }
        TransferRequest::Poll | TransferRequest::Cancel => None,
    };
    let submitted_s = if transfer.submitted_s.is_finite() { transfer.submitted_s } else { 0.0 };
    Ok(DecodedTransfer {
        job: transfer.job.clone(),
        epoch: Epoch(transfer.epoch),
        request,
        spec,
        submitted_s,
    })
}

pub(super) fn to_answer(job: &str, epoch: Epoch, state: TransferState) -> TransferAnswer {
    let (kind, done, running) = match state {
        TransferState::Accepted { done, running } => (TransferStateKind::Accepted, done, running),
        TransferState::Refused => (TransferStateKind::Refused, 0, 0),
        TransferState::Done { done } => (TransferStateKind::Done, done, 0),
        TransferState::Withdrawn { done } => (TransferStateKind::Withdrawn, done, 0),
        TransferState::Unknown => (TransferStateKind::Unknown, 0, 0),
    };
    TransferAnswer { job: job.to_string(), epoch: epoch.0, state: kind as i32, done, running }
}

/// Decodes another cell's answer about a transfer.
pub fn from_answer(answer: &TransferAnswer) -> Result<(Epoch, TransferState), MalformedMessage> {
    let (done, running) = (answer.done, answer.running);
    let state = match TransferStateKind::try_from(answer.state) {
        Ok(TransferStateKind::Accepted) => TransferState::Accepted { done, running },
        Ok(TransferStateKind::Refused) => TransferState::Refused,
        Ok(TransferStateKind::Done) => TransferState::Done { done },
        Ok(TransferStateKind::Withdrawn) => TransferState::Withdrawn { done },
        Ok(TransferStateKind::Unknown) => TransferState::Unknown,
        Ok(TransferStateKind::Unspecified) | Err(_) => return Err(MalformedMessage::UnknownTransferState),
    };
    Ok((Epoch(answer.epoch), state))
}

fn to_room(room: &MachinePool) -> MachineRoom {
    MachineRoom {
        machine_type: room.machine_type.clone(),
        zone: room.zone.clone(),
        spot: room.spot,
        free_cpus: room.free.cpus,
        free_gpus: room.free.gpus,
        free_memory: room.free.memory,
        cpus: room.capacity.cpus,
        gpus: room.capacity.gpus,
        memory: room.capacity.memory,
        count: room.count,
    }
}

fn from_room(room: &MachineRoom) -> MachinePool {
    MachinePool {
        machine_type: room.machine_type.clone(),
        zone: room.zone.clone(),
        spot: room.spot,
        free: Resources { cpus: room.free_cpus, gpus: room.free_gpus, memory: room.free_memory },
        capacity: Resources { cpus: room.cpus, gpus: room.gpus, memory: room.memory },
        count: room.count.max(0),
    }
}

/// Encodes a reply: the summary of this cell and the answers to the request's transfers.
pub fn to_exchange_reply(summary: &Summary, answers: Vec<TransferAnswer>) -> ExchangeReply {
    ExchangeReply {
        cell: Some(to_cell(&summary.cell)),
        answers,
        up: summary.up.iter().map(to_room).collect(),
        rentable: summary.rentable.iter().map(to_room).collect(),
        backlog_cpus: summary.backlog_cpus,
        welcome_cpus: summary.hosting_headroom_cpus,
    }
}

/// Decodes the summary in another cell's reply.
pub fn summary_from_reply(reply: &ExchangeReply) -> Result<Summary, MalformedMessage> {
    Ok(Summary {
        cell: from_cell(reply.cell.as_ref())?,
        up: reply.up.iter().map(from_room).collect(),
        rentable: reply.rentable.iter().map(from_room).collect(),
        backlog_cpus: reply.backlog_cpus,
        hosting_headroom_cpus: reply.welcome_cpus,
    })
}
