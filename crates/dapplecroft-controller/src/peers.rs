//! What controllers ask of each other.

use crate::core::MAX_CONSULTED_MACHINES;
use crate::node::{Node, Reply, lock, now};
use async_trait::async_trait;
use dapplecroft_net::Request;
use dapplecroft_wire::peer::peer_server::Peer as PeerProtocol;
use dapplecroft_wire::peer::{
    AdmissionReply, AdmissionRequest, CellsReply, CellsRequest, DemandReply, DemandRequest, ForwardReply,
    ForwardRequest, ProbeReply, ProbeRequest, RoomReply, RoomRequest, SightReply, SightRequest,
};
use dapplecroft_wire::settings::Peer;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// How often the leader asks for room that is not recorded yet.
const ROOM_EVERY: Duration = Duration::from_millis(500);
/// How long changes are left to another node, counted by the one that leaves
/// them; the other counts on them for less, whatever the answer took.
const LENT: Duration = Duration::from_millis(700);
const LENDS: Duration = Duration::from_millis(1500);
/// The part of what a node has that it leaves to another while it has no use for
/// it; the rest is for what comes up.
const LEAVES: f64 = 0.6;
/// How long a worker has to answer a probe.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Asks other controllers. No answer is `None`, and proves nothing.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Which of these workers the peer gets an answer from.
    async fn probe(&self, peer: &Peer, addresses: Vec<String>) -> Option<Vec<String>>;
    /// How the peer sees the world.
    async fn sight(&self, peer: &Peer) -> Option<SightReply>;
    /// Room that has become free in the peer's shards and is not recorded yet.
    async fn room(&self, peer: &Peer) -> Option<RoomReply>;
    /// Has a user's request answered by the peer.
    async fn forward(&self, peer: &Peer, request: ForwardRequest) -> Option<Reply>;
    /// What the peer refused lately for want of credit.
    async fn demand(&self, peer: &Peer) -> Option<DemandReply>;
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
    async fn demand(&self, _: &Peer) -> Option<DemandReply> {
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

    /// Room that has become free in this node's shards and is not recorded yet.
    /// What of this node's changes nobody here needs is left to the asking one
    /// for as long as that may count on it.
    pub fn own_room(&self) -> RoomReply {
        let room = self.0.with(|core| core.freed_room_reply());
        RoomReply { spare_changes: self.0.lend(), ..room }
    }

    /// What this node refused lately for want of credit.
    pub fn own_demand(&self) -> DemandReply {
        self.0.with(|core| core.own_demand(now()))
    }

    /// Answers another node's user, from what this node knows and reaches.
    pub async fn own_forward(&self, request: ForwardRequest) -> Option<Reply> {
        let method = http::Method::from_bytes(request.method.as_bytes()).ok()?;
        Some(self.0.answer_user(&method, &request.path, request.body.into()).await)
    }

    /// Which of these workers this node gets an answer from.
    pub async fn own_probe(&self, addresses: Vec<String>) -> Vec<String> {
        let mut probes = JoinSet::new();
        for address in addresses.into_iter().take(MAX_CONSULTED_MACHINES) {
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

    async fn demand(
        &self,
        _: tonic::Request<DemandRequest>,
    ) -> Result<tonic::Response<DemandReply>, tonic::Status> {
        Ok(tonic::Response::new(self.own_demand()))
    }

    async fn admission(
        &self,
        _: tonic::Request<AdmissionRequest>,
    ) -> Result<tonic::Response<AdmissionReply>, tonic::Status> {
        Ok(tonic::Response::new(self.0.admission_status().await))
    }

    async fn cells(
        &self,
        _: tonic::Request<CellsRequest>,
    ) -> Result<tonic::Response<CellsReply>, tonic::Status> {
        Ok(tonic::Response::new(self.0.cells_status()))
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
            let ask =
                self.with(|core| core.leads(now()) && core.shards.len() > core.role.leased_shards.len());
            if !ask {
                continue;
            }
            let mut asked = JoinSet::new();
            for peer in &self.settings.peers {
                let (peers, peer) = (self.peers.clone(), peer.clone());
                asked.spawn(async move { peers.room(&peer).await });
            }
            let mut spare = 0.0;
            for reply in asked.join_all().await.into_iter().flatten() {
                self.with(|core| core.apply_room_reply(&reply, now()));
                spare += reply.spare_changes.clamp(0.0, self.settings.params.state.write_rps);
            }
            *lock(&self.borrowed) = Some((spare, now() + LENT));
            self.set_rates();
        }
    }

    /// Leaves most of this node's changes to the asking one if nothing here waits
    /// for any; returns how many a second.
    fn lend(&self) -> f64 {
        let idle = self.state.write_burst_left() > 0.9 && self.committer.queued() == 0;
        let share = if idle { self.own_write_rate() * LEAVES } else { 0.0 };
        let mut lent = lock(&self.lent);
        if share > 0.0 {
            *lent = Some((share, now() + LENDS));
        }
        drop(lent);
        self.set_rates();
        share
    }

    /// Changes a second that this node has lent and borrowed.
    pub(crate) fn loans(&self) -> (f64, f64) {
        let open = |loan: &Option<(f64, std::time::Instant)>| {
            loan.filter(|(_, until)| *until > now()).map_or(0.0, |(rate, _)| rate)
        };
        (open(&lock(&self.lent)), open(&lock(&self.borrowed)))
    }

    /// How long ago the state service last answered this node's renewal.
    pub(crate) fn state_age(&self) -> Option<Duration> {
        lock(&self.touched).map(|at| now().saturating_duration_since(at))
    }

    /// Asks a worker for its report.
    pub(crate) async fn ask_status(&self, address: &str) -> Option<dapplecroft_wire::workers::Heartbeat> {
        let request = Request {
            address: address.to_string(),
            method: http::Method::GET,
            path: "/status".into(),
            body: Default::default(),
            timeout: PROBE_TIMEOUT,
            to_worker: true,
        };
        let response = self.transport.send(request).await.ok().filter(|r| r.status == 200)?;
        serde_json::from_slice(&response.body).ok()
    }
}
