//! What controllers ask of each other.

use crate::core::MAX_CONSULTED;
use crate::node::{Node, Reply, lock, now};
use async_trait::async_trait;
use dapplecroft_net::Request;
use dapplecroft_wire::peer::peer_server::Peer as PeerProtocol;
use dapplecroft_wire::peer::{
    ForwardReply, ForwardRequest, ProbeReply, ProbeRequest, RoomReply, RoomRequest, SightReply, SightRequest,
};
use dapplecroft_wire::settings::Peer;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// How often the leader asks for room that is not recorded yet.
const ROOM_EVERY: Duration = Duration::from_millis(500);
/// How long a worker has to answer a probe.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Asks other controllers. No answer is `None`, and proves nothing.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Which of these workers the peer gets an answer from.
    async fn probe(&self, peer: &Peer, addresses: Vec<String>) -> Option<Vec<String>>;
    /// How the peer sees the world.
    async fn sight(&self, peer: &Peer) -> Option<SightReply>;
    /// Room that has become free in the peer's blocks and is not recorded yet.
    async fn room(&self, peer: &Peer) -> Option<RoomReply>;
    /// Has a user's request answered by the peer.
    async fn forward(&self, peer: &Peer, request: ForwardRequest) -> Option<Reply>;
}

/// Nobody to ask.
#[derive(Debug, Default)]
pub struct NoPeers;

#[async_trait]
impl Peers for NoPeers {
    async fn probe(&self, _: &Peer, _: Vec<String>) -> Option<Vec<String>> {
        None
    }
    async fn sight(&self, _: &Peer) -> Option<SightReply> {
        None
    }
    async fn room(&self, _: &Peer) -> Option<RoomReply> {
        None
    }
    async fn forward(&self, _: &Peer, _: ForwardRequest) -> Option<Reply> {
        None
    }
}

/// Answers what other controllers ask.
pub struct PeerService(pub Arc<Node>);

impl PeerService {
    /// How this node sees the world.
    pub fn own_sight(&self) -> SightReply {
        let age =
            self.0.state_age().map_or(u64::MAX, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        SightReply {
            host: self.0.settings.host_name.clone(),
            state_age_ms: age,
            ready: self.0.with(|core| core.loaded),
        }
    }

    /// Room that has become free in this node's blocks and is not recorded yet.
    pub fn own_room(&self) -> RoomReply {
        self.0.with(|core| core.freed_room())
    }

    /// Answers another node's user, from what this node knows and reaches.
    pub async fn own_forward(&self, request: ForwardRequest) -> Option<Reply> {
        let method = http::Method::from_bytes(request.method.as_bytes()).ok()?;
        Some(self.0.answer_user(&method, &request.path, request.body.into()).await)
    }

    /// Which of these workers this node gets an answer from.
    pub async fn own_probe(&self, addresses: Vec<String>) -> Vec<String> {
        let mut probes = JoinSet::new();
        for address in addresses.into_iter().take(MAX_CONSULTED) {
            let node = self.0.clone();
            probes.spawn(async move { node.ask_status(&address).await.map(|_| address) });
        }
        probes.join_all().await.into_iter().flatten().collect()
    }
}

#[async_trait]
impl PeerProtocol for PeerService {
    async fn sight(
        &self,
        _: tonic::Request<SightRequest>,
    ) -> Result<tonic::Response<SightReply>, tonic::Status> {
        Ok(tonic::Response::new(self.own_sight()))
    }

    async fn probe(
        &self,
        request: tonic::Request<ProbeRequest>,
    ) -> Result<tonic::Response<ProbeReply>, tonic::Status> {
        let reached = self.own_probe(request.into_inner().addresses).await;
        Ok(tonic::Response::new(ProbeReply { reached }))
    }

    async fn room(
        &self,
        _: tonic::Request<RoomRequest>,
    ) -> Result<tonic::Response<RoomReply>, tonic::Status> {
        Ok(tonic::Response::new(self.own_room()))
    }

    async fn forward(
        &self,
        request: tonic::Request<ForwardRequest>,
    ) -> Result<tonic::Response<ForwardReply>, tonic::Status> {
        let Some(reply) = self.own_forward(request.into_inner()).await else {
            return Err(tonic::Status::invalid_argument("no such method"));
        };
        let Reply { status, body, retry_after } = reply;
        Ok(tonic::Response::new(ForwardReply { status: u32::from(status), body, retry_after }))
    }
}

impl Node {
    /// As leader, asks the holders again and again what has become free, since
    /// their records follow only when changes are to be had.
    pub(crate) async fn room_loop(self: Arc<Self>) {
        loop {
            tokio::time::sleep(ROOM_EVERY).await;
            let ask = self.with(|core| core.leads(now()) && core.blocks.len() > core.role.holdings.len());
            if !ask {
                continue;
            }
            let mut asked = JoinSet::new();
            for peer in &self.settings.peers {
                let (peers, peer) = (self.peers.clone(), peer.clone());
                asked.spawn(async move { peers.room(&peer).await });
            }
            for reply in asked.join_all().await.into_iter().flatten() {
                self.with(|core| core.take_room(&reply, now()));
            }
        }
    }

    /// How long ago the state service last answered this node's renewal.
    pub(crate) fn state_age(&self) -> Option<Duration> {
        lock(&self.touched).map(|at| now().saturating_duration_since(at))
    }

    /// Asks a worker for its report.
    pub(crate) async fn ask_status(&self, address: &str) -> Option<dapplecroft_wire::workers::Report> {
        let request = Request {
            address: address.to_string(),
            method: http::Method::GET,
            path: "/status".into(),
            body: Default::default(),
            timeout: PROBE_TIMEOUT,
            one_of_many: true,
        };
        let response = self.transport.send(request).await.ok().filter(|r| r.status == 200)?;
        serde_json::from_slice(&response.body).ok()
    }
}
