//! Messages between cells as typed values.

use super::{ExchangeError, PROTOCOL};
use crate::core::AwayRequest;
use dapplecroft_federation::summary::{MachinePool, Summary};
use dapplecroft_federation::{CellId, Epoch, TransferRequest, TransferState};
use dapplecroft_sched::Resources;
use dapplecroft_wire::cells::{
    Cell, ExchangeReply, ExchangeRequest, MachineRoom, Transfer, TransferAnswer, TransferKind,
    TransferStateKind,
};
use dapplecroft_wire::users::{JobSpec, valid_id};

/// What of a message can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// No cell is named.
    #[error("no cell")]
    NoCell,
    /// A transfer is of no known kind.
    #[error("unknown kind of transfer")]
    Kind,
    /// An id is none.
    #[error("no job id")]
    Id,
    /// An offered job can't be read.
    #[error("unreadable job: {0}")]
    Spec(String),
    /// An answer is of no known kind.
    #[error("unknown state of a transfer")]
    State,
}

impl From<MalformedMessage> for ExchangeError {
    fn from(error: MalformedMessage) -> Self {
        ExchangeError::Malformed(error.to_string())
    }
}

/// A request about one transfer, as it was received.
#[derive(Debug, Clone)]
pub struct ReceivedTransfer {
    /// The job.
    pub job: String,
    /// The transfer.
    pub epoch: Epoch,
    /// What is asked.
    pub request: TransferRequest,
    /// The specification, with an offer.
    pub spec: Option<JobSpec>,
    /// Seconds since 1970 at its submission.
    pub submitted: f64,
}

pub(super) fn to_cell(cell: &CellId) -> Cell {
    Cell { name: cell.name.clone(), incarnation: cell.incarnation }
}

/// The cell that a message names.
pub fn from_cell(cell: Option<&Cell>) -> Result<CellId, MalformedMessage> {
    let cell = cell.ok_or(MalformedMessage::NoCell)?;
    Ok(CellId::new(&cell.name, cell.incarnation))
}

/// A request to another cell; without a known incarnation only its summary is asked for.
pub fn to_transfers(
    from: &CellId,
    to: Option<&CellId>,
    watermark: Epoch,
    requests: Vec<AwayRequest>,
) -> ExchangeRequest {
    let transfer = |request: AwayRequest| Transfer {
        job: request.job.to_string(),
        epoch: request.epoch.0,
        kind: match request.request {
            TransferRequest::Offer => TransferKind::Offer,
            TransferRequest::Poll => TransferKind::Poll,
            TransferRequest::Cancel => TransferKind::Cancel,
        } as i32,
        spec: request.spec.and_then(|spec| serde_json::to_vec(&spec).ok()).unwrap_or_default(),
        submitted_s: request.submitted,
    };
    ExchangeRequest {
        version: PROTOCOL,
        from: Some(to_cell(from)),
        to: to.map(to_cell),
        watermark: watermark.0,
        transfers: requests.into_iter().map(transfer).collect(),
    }
}

/// One transfer of a request.
pub(super) fn from_transfer(transfer: &Transfer) -> Result<ReceivedTransfer, MalformedMessage> {
    if !valid_id(&transfer.job) {
        return Err(MalformedMessage::Id);
    }
    let request = match TransferKind::try_from(transfer.kind) {
        Ok(TransferKind::Offer) => TransferRequest::Offer,
        Ok(TransferKind::Poll) => TransferRequest::Poll,
        Ok(TransferKind::Cancel) => TransferRequest::Cancel,
        Ok(TransferKind::Unspecified) | Err(_) => return Err(MalformedMessage::Kind),
    };
    let spec = match request {
        TransferRequest::Offer => {
            let spec = JobSpec::parse(&transfer.spec).map_err(MalformedMessage::Spec)?;
            if spec.id != transfer.job {
                return Err(MalformedMessage::Id);
            }
            Some(spec)
        }
        TransferRequest::Poll | TransferRequest::Cancel => None,
    };
    let submitted = if transfer.submitted_s.is_finite() { transfer.submitted_s } else { 0.0 };
    Ok(ReceivedTransfer { job: transfer.job.clone(), epoch: Epoch(transfer.epoch), request, spec, submitted })
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

/// What a cell has answered about a transfer.
pub fn from_answer(answer: &TransferAnswer) -> Result<(Epoch, TransferState), MalformedMessage> {
    let (done, running) = (answer.done, answer.running);
    let state = match TransferStateKind::try_from(answer.state) {
        Ok(TransferStateKind::Accepted) => TransferState::Accepted { done, running },
        Ok(TransferStateKind::Refused) => TransferState::Refused,
        Ok(TransferStateKind::Done) => TransferState::Done { done },
        Ok(TransferStateKind::Withdrawn) => TransferState::Withdrawn { done },
        Ok(TransferStateKind::Unknown) => TransferState::Unknown,
        Ok(TransferStateKind::Unspecified) | Err(_) => return Err(MalformedMessage::State),
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

/// A reply with a cell's summary.
pub fn to_reply(summary: &Summary, answers: Vec<TransferAnswer>) -> ExchangeReply {
    ExchangeReply {
        cell: Some(to_cell(&summary.cell)),
        answers,
        up: summary.up.iter().map(to_room).collect(),
        rentable: summary.rentable.iter().map(to_room).collect(),
        backlog_cpus: summary.backlog_cpus,
        welcome_cpus: summary.hosting_headroom_cpus,
    }
}

/// The summary of a reply.
pub fn from_reply(reply: &ExchangeReply) -> Result<Summary, MalformedMessage> {
    Ok(Summary {
        cell: from_cell(reply.cell.as_ref())?,
        up: reply.up.iter().map(from_room).collect(),
        rentable: reply.rentable.iter().map(from_room).collect(),
        backlog_cpus: reply.backlog_cpus,
        hosting_headroom_cpus: reply.welcome_cpus,
    })
}
