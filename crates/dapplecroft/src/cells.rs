//! The gRPC protocol between cells over TCP.

use dapplecroft_controller::cells::MAX_MESSAGE_BYTES;
use dapplecroft_controller::{CellClient, ExchangeError, Node};
use dapplecroft_federation::PeerCell;
use dapplecroft_wire::cells::cells_client::CellsClient;
use dapplecroft_wire::cells::cells_server::{Cells as CellsProtocol, CellsServer};
use dapplecroft_wire::cells::{ExchangeReply, ExchangeRequest};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Code, Request, Response, Status};

/// How long one controller of another cell may take. Several may have to be asked until
/// the leader is found.
const TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections of other cells' controllers that are kept open, each with few requests.
const MAX_STREAMS: u32 = 4;
/// What a refusal says of an incarnation that has been replaced, since no status code
/// tells it from others.
const OUTDATED: &str = "the sender's incarnation is outdated";
const OTHER_CELL: &str = "another cell or incarnation";

#[derive(Default)]
struct Known {
    channels: HashMap<SocketAddr, Channel>,
    /// Which endpoint last answered as its cell's leader.
    leaders: HashMap<String, SocketAddr>,
}

/// Asks other cells; connections are made when first needed.
#[derive(Default)]
pub struct GrpcCells {
    known: Mutex<Known>,
}

impl GrpcCells {
    fn client(&self, endpoint: SocketAddr) -> Option<CellsClient<Channel>> {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = known.channels.get(&endpoint) {
            return Some(client_of(channel.clone()));
        }
        let address = Endpoint::from_shared(format!("http://{endpoint}")).ok()?;
        let channel = address.connect_timeout(CONNECT_TIMEOUT).timeout(TIMEOUT).connect_lazy();
        known.channels.insert(endpoint, channel.clone());
        Some(client_of(channel))
    }

    /// A cell's endpoints, the one first that last answered as leader.
    fn endpoints(&self, peer: &PeerCell) -> Vec<SocketAddr> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let leader = known.leaders.get(&peer.name).copied();
        let mut endpoints = peer.endpoints.clone();
        endpoints.sort_by_key(|endpoint| Some(*endpoint) != leader);
        endpoints
    }

    fn note_leader(&self, peer: &PeerCell, endpoint: SocketAddr) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.leaders.insert(peer.name.clone(), endpoint);
    }
}

fn client_of(channel: Channel) -> CellsClient<Channel> {
    CellsClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

#[tonic::async_trait]
impl CellClient for GrpcCells {
    async fn exchange(
        &self,
        peer: &PeerCell,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, ExchangeError> {
        let mut last = ExchangeError::Unreachable;
        for endpoint in self.endpoints(peer) {
            let Some(mut client) = self.client(endpoint) else { continue };
            match tokio::time::timeout(TIMEOUT, client.exchange(request.clone())).await {
                Ok(Ok(reply)) => {
                    self.note_leader(peer, endpoint);
                    return Ok(reply.into_inner());
                }
                Ok(Err(status)) => match from_status(&status) {
                    error @ (ExchangeError::NotLeader | ExchangeError::Unreachable) => last = error,
                    error => return Err(error),
                },
                Err(_) => last = ExchangeError::Unreachable,
            }
        }
        Err(last)
    }
}

fn to_status(error: &ExchangeError) -> Status {
    let text = error.to_string();
    match error {
        ExchangeError::NotLeader => Status::failed_precondition(text),
        ExchangeError::UnsupportedVersion => Status::unimplemented(text),
        ExchangeError::UnknownSender => Status::permission_denied(text),
        ExchangeError::WrongReceiver => Status::aborted(OTHER_CELL),
        ExchangeError::OutdatedSender => Status::aborted(OUTDATED),
        ExchangeError::Malformed(_) => Status::invalid_argument(text),
        ExchangeError::Busy => Status::resource_exhausted(text),
        ExchangeError::Unreachable => Status::unavailable(text),
    }
}

fn from_status(status: &Status) -> ExchangeError {
    match status.code() {
        Code::FailedPrecondition => ExchangeError::NotLeader,
        Code::Unimplemented => ExchangeError::UnsupportedVersion,
        Code::PermissionDenied => ExchangeError::UnknownSender,
        Code::Aborted if status.message() == OUTDATED => ExchangeError::OutdatedSender,
        Code::Aborted => ExchangeError::WrongReceiver,
        Code::InvalidArgument | Code::OutOfRange => ExchangeError::Malformed(status.message().to_string()),
        Code::ResourceExhausted => ExchangeError::Busy,
        _ => ExchangeError::Unreachable,
    }
}

/// Answers other cells.
struct CellService(Arc<Node>);

#[tonic::async_trait]
impl CellsProtocol for CellService {
    async fn exchange(&self, request: Request<ExchangeRequest>) -> Result<Response<ExchangeReply>, Status> {
        let from = request.remote_addr().ok_or_else(|| Status::permission_denied("no address"))?;
        let reply = self.0.answer_exchange(from.ip(), request.into_inner()).await;
        reply.map(Response::new).map_err(|error| to_status(&error))
    }
}

/// Serves other cells until the process ends; a controller without a federation has
/// nothing to serve.
pub async fn serve(node: Arc<Node>, listen: Option<SocketAddr>) -> Result<(), tonic::transport::Error> {
    let Some(listen) = listen else { return std::future::pending().await };
    let service = CellsServer::new(CellService(node))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let mut server = Server::builder().timeout(TIMEOUT * 2).max_concurrent_streams(MAX_STREAMS);
    server.add_service(service).serve(listen).await
}

#[cfg(test)]
mod tests;
