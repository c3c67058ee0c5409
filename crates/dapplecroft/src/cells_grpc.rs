//! Client and server of the gRPC protocol between the cells of a federation.

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

/// How long to wait for the reply of one controller of another cell. An exchange may have to try several
/// controllers until it finds that cell's leader.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long to wait for a connection to a controller of another cell.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of concurrent requests on one connection from another cell's controller. Such connections
/// stay open and carry few requests.
const MAX_STREAMS_PER_CONNECTION: u32 = 4;
/// Message of the `ABORTED` status for a sender whose incarnation has been replaced. The client compares it,
/// because [`ExchangeError::WrongReceiver`] is sent with the same status code.
const OUTDATED_SENDER_MESSAGE: &str = "the sender's incarnation is outdated";
/// Message of the `ABORTED` status for a request addressed to another cell or incarnation.
const OTHER_CELL_MESSAGE: &str = "another cell or incarnation";

/// What the client remembers about the controllers of other cells.
#[derive(Default)]
struct ConnectionCache {
    channels: HashMap<SocketAddr, Channel>,
    /// For each cell name, the endpoint that last answered as the cell's leader.
    leader_endpoints: HashMap<String, SocketAddr>,
}

/// Client for the controllers of other cells; opens each connection at its first use.
#[derive(Default)]
pub struct GrpcCells {
    connections: Mutex<ConnectionCache>,
}

impl GrpcCells {
    fn client(&self, endpoint: SocketAddr) -> Option<CellsClient<Channel>> {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = connections.channels.get(&endpoint) {
            return Some(client_on_channel(channel.clone()));
        }
        let address = Endpoint::from_shared(format!("http://{endpoint}")).ok()?;
        let channel = address.connect_timeout(CONNECT_TIMEOUT).timeout(EXCHANGE_TIMEOUT).connect_lazy();
        connections.channels.insert(endpoint, channel.clone());
        Some(client_on_channel(channel))
    }

    /// The endpoints of a cell's controllers, with the one that last answered as leader first.
    fn endpoints(&self, peer: &PeerCell) -> Vec<SocketAddr> {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let leader = connections.leader_endpoints.get(&peer.name).copied();
        let mut endpoints = peer.endpoints.clone();
        endpoints.sort_by_key(|endpoint| Some(*endpoint) != leader);
        endpoints
    }

    fn remember_leader(&self, peer: &PeerCell, endpoint: SocketAddr) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.leader_endpoints.insert(peer.name.clone(), endpoint);
    }
}

fn client_on_channel(channel: Channel) -> CellsClient<Channel> {
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
        let mut last_error = ExchangeError::Unreachable;
        for endpoint in self.endpoints(peer) {
            let Some(mut client) = self.client(endpoint) else { continue };
            match tokio::time::timeout(EXCHANGE_TIMEOUT, client.exchange(request.clone())).await {
                Ok(Ok(reply)) => {
                    self.remember_leader(peer, endpoint);
                    return Ok(reply.into_inner());
                }
                Ok(Err(status)) => match from_status(&status) {
                    error @ (ExchangeError::NotLeader | ExchangeError::Unreachable) => last_error = error,
                    error => return Err(error),
                },
                Err(_) => last_error = ExchangeError::Unreachable,
            }
        }
        Err(last_error)
    }
}

fn to_status(error: &ExchangeError) -> Status {
    let text = error.to_string();
    match error {
        ExchangeError::NotLeader => Status::failed_precondition(text),
        ExchangeError::UnsupportedVersion => Status::unimplemented(text),
        ExchangeError::UnknownSender => Status::permission_denied(text),
        ExchangeError::WrongReceiver => Status::aborted(OTHER_CELL_MESSAGE),
        ExchangeError::OutdatedSender => Status::aborted(OUTDATED_SENDER_MESSAGE),
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
        Code::Aborted if status.message() == OUTDATED_SENDER_MESSAGE => ExchangeError::OutdatedSender,
        Code::Aborted => ExchangeError::WrongReceiver,
        Code::InvalidArgument | Code::OutOfRange => ExchangeError::Malformed(status.message().to_string()),
        Code::ResourceExhausted => ExchangeError::Busy,
        _ => ExchangeError::Unreachable,
    }
}

/// Handles the requests of other cells.
struct CellService(Arc<Node>);

#[tonic::async_trait]
impl CellsProtocol for CellService {
    async fn exchange(&self, request: Request<ExchangeRequest>) -> Result<Response<ExchangeReply>, Status> {
        let sender = request.remote_addr().ok_or_else(|| Status::permission_denied("no address"))?;
        let reply = self.0.answer_exchange(sender.ip(), request.into_inner()).await;
        reply.map(Response::new).map_err(|error| to_status(&error))
    }
}

/// Serves other cells until the process ends. Without a federation there is no address to listen on, and this
/// never returns.
pub async fn serve(node: Arc<Node>, listen: Option<SocketAddr>) -> Result<(), tonic::transport::Error> {
    let Some(listen) = listen else { return std::future::pending().await };
    let service = CellsServer::new(CellService(node))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let mut server =
        Server::builder().timeout(EXCHANGE_TIMEOUT * 2).max_concurrent_streams(MAX_STREAMS_PER_CONNECTION);
    server.add_service(service).serve(listen).await
}

#[cfg(test)]
mod tests;
