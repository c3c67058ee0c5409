//! Client and server of the gRPC protocol between the controllers of a cell.

use dapplecroft_controller::{PeerService, Peers, Reply};
use dapplecroft_wire::peer::peer_client::PeerClient;
use dapplecroft_wire::peer::peer_server::PeerServer;
use dapplecroft_wire::peer::{
    DemandReply, DemandRequest, ForwardRequest, ProbeRequest, RoomReply, RoomRequest, SightReply,
    SightRequest,
};
use dapplecroft_wire::settings::Peer;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tonic::transport::{Channel, Endpoint, Server};

/// How long to wait for a connection to another controller, and for its reply to a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// How long to wait for a reply that describes the other controller's current state; a later one would be out
/// of date.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Client for the other controllers of the cell; opens each connection at its first use.
#[derive(Default)]
pub struct GrpcPeers {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl GrpcPeers {
    fn client(&self, peer: &Peer) -> Option<PeerClient<Channel>> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&peer.endpoint) {
            return Some(PeerClient::new(channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{}", peer.endpoint)).ok()?;
        let channel = endpoint.connect_timeout(REQUEST_TIMEOUT).timeout(REQUEST_TIMEOUT).connect_lazy();
        channels.insert(peer.endpoint, channel.clone());
        Some(PeerClient::new(channel))
    }
}

#[tonic::async_trait]
impl Peers for GrpcPeers {
    async fn probe(&self, peer: &Peer, addresses: Vec<String>) -> Option<Vec<String>> {
        let mut client = self.client(peer)?;
        let request = client.probe(ProbeRequest { addresses });
        let reply = tokio::time::timeout(REQUEST_TIMEOUT, request).await.ok()?.ok()?;
        Some(reply.into_inner().reached)
    }

    async fn controller_status(&self, peer: &Peer) -> Option<SightReply> {
        let mut client = self.client(peer)?;
        let reply = tokio::time::timeout(STATUS_TIMEOUT, client.sight(SightRequest {})).await.ok()?.ok()?;
        Some(reply.into_inner())
    }

    async fn freed_room(&self, peer: &Peer) -> Option<RoomReply> {
        let mut client = self.client(peer)?;
        let reply = tokio::time::timeout(STATUS_TIMEOUT, client.room(RoomRequest {})).await.ok()?.ok()?;
        Some(reply.into_inner())
    }

    async fn forward(&self, peer: &Peer, request: ForwardRequest) -> Option<Reply> {
        let mut client = self.client(peer)?;
        let reply =
            tokio::time::timeout(REQUEST_TIMEOUT, client.forward(request)).await.ok()?.ok()?.into_inner();
        let status = u16::try_from(reply.status).ok()?;
        Some(Reply { status, body: reply.body, retry_after: reply.retry_after })
    }

    async fn demand(&self, peer: &Peer) -> Option<DemandReply> {
        let mut client = self.client(peer)?;
        let reply = tokio::time::timeout(STATUS_TIMEOUT, client.demand(DemandRequest {})).await.ok()?.ok()?;
        Some(reply.into_inner())
    }
}

/// Serves the other controllers until the process ends.
pub async fn serve(service: PeerService, address: SocketAddr) -> Result<(), tonic::transport::Error> {
    Server::builder().timeout(REQUEST_TIMEOUT * 2).add_service(PeerServer::new(service)).serve(address).await
}
