//! Requests between the controllers of a cell.

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

/// How often the leader asks the shard holders for freed capacity that is not in the records yet.
const FREED_ROOM_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long the borrower uses a lent write rate. It is shorter than [`LENT_RATE_LIFETIME`], so that the
/// borrower stops before the lender uses the rate again, however long the reply took.
const BORROWED_RATE_LIFETIME: Duration = Duration::from_millis(700);
/// How long the lender leaves a lent write rate unused.
const LENT_RATE_LIFETIME: Duration = Duration::from_millis(1500);
/// The fraction of its write rate that an idle controller lends; it keeps the rest for new work.
const LENDABLE_RATE_SHARE: f64 = 0.6;
/// How long a worker may take to answer a probe.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Client for requests to other controllers. `None` means that no answer came, which proves nothing.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Has the peer probe workers; returns the addresses of those that answered it.
    async fn probe(&self, peer: &Peer, addresses: Vec<String>) -> Option<Vec<String>>;
    /// The peer's host, whether it has loaded the records, and when it last reached the state service.
    async fn controller_status(&self, peer: &Peer) -> Option<SightReply>;
    /// Capacity that has become free in the peer's shards and is not in the records yet.
    async fn freed_room(&self, peer: &Peer) -> Option<RoomReply>;
    /// Forwards a user's request to the peer, which answers it.
    async fn forward(&self, peer: &Peer, request: ForwardRequest) -> Option<Reply>;
    /// The submissions that the peer recently refused for lack of credit.
    async fn demand(&self, peer: &Peer) -> Option<DemandReply>;
}

/// A client for a controller without peers: no request is answered.
#[derive(Debug, Default)]
pub struct NoPeers;

#[async_trait]
impl Peers for NoPeers {
    async fn probe(&self, _: &Peer, _: Vec<String>) -> Option<Vec<String>> {
        None
    }
    async fn controller_status(&self, _: &Peer) -> Option<SightReply> {
        None
    }
    async fn freed_room(&self, _: &Peer) -> Option<RoomReply> {
        None
    }
    async fn forward(&self, _: &Peer, _: ForwardRequest) -> Option<Reply> {
        None
    }
    async fn demand(&self, _: &Peer) -> Option<DemandReply> {
        None
    }
}

/// Answers requests of other controllers.
pub struct PeerService(pub Arc<Node>);

impl PeerService {
    /// This controller's host, whether it has loaded the records, and when it last reached the state
    /// service.
    pub fn local_status(&self) -> SightReply {
        let age = self
            .0
            .lease_renewal_age()
            .map_or(u64::MAX, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        SightReply {
            host: self.0.settings.host_name.clone(),
            state_age_ms: age,
            ready: self.0.with(|core| core.loaded),
        }
    }

    /// Capacity that has become free in this controller's shards and is not in the records yet. The reply
    /// also lends the part of this controller's write rate that it does not need to the controller that
    /// asks.
    pub fn local_freed_room(&self) -> RoomReply {
        let room = self.0.with(|core| core.freed_room_reply());
        RoomReply { spare_changes: self.0.lend_write_rate(), ..room }
    }

    /// The submissions that this controller recently refused for lack of credit.
    pub fn local_demand(&self) -> DemandReply {
        self.0.with(|core| core.own_demand(now()))
    }

    /// Answers a user's request that another controller forwarded.
    pub async fn answer_forwarded_request(&self, request: ForwardRequest) -> Option<Reply> {
        let method = http::Method::from_bytes(request.method.as_bytes()).ok()?;
        Some(self.0.answer_user_locally(&method, &request.path, request.body.into()).await)
    }

    /// Probes workers; returns the addresses of those that answered this controller.
    pub async fn probe_workers(&self, addresses: Vec<String>) -> Vec<String> {
        let mut probes = JoinSet::new();
        for address in addresses.into_iter().take(MAX_CONSULTED_MACHINES) {
            let node = self.0.clone();
            probes.spawn(async move { node.fetch_worker_status(&address).await.map(|_| address) });
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
        Ok(tonic::Response::new(self.local_status()))
    }

    async fn demand(
        &self,
        _: tonic::Request<DemandRequest>,
    ) -> Result<tonic::Response<DemandReply>, tonic::Status> {
        Ok(tonic::Response::new(self.local_demand()))
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
        let reached = self.probe_workers(request.into_inner().addresses).await;
        Ok(tonic::Response::new(ProbeReply { reached }))
    }

    async fn room(
        &self,
        _: tonic::Request<RoomRequest>,
    ) -> Result<tonic::Response<RoomReply>, tonic::Status> {
        Ok(tonic::Response::new(self.local_freed_room()))
    }

    async fn forward(
        &self,
        request: tonic::Request<ForwardRequest>,
    ) -> Result<tonic::Response<ForwardReply>, tonic::Status> {
        let Some(reply) = self.answer_forwarded_request(request.into_inner()).await else {
            return Err(tonic::Status::invalid_argument("no such method"));
        };
        let Reply { status, body, retry_after } = reply;
        Ok(tonic::Response::new(ForwardReply { status: u32::from(status), body, retry_after }))
    }
}

impl Node {
    /// As leader, regularly asks the shard holders what has become free, since their records are updated
    /// only as the write rate allows. The replies also carry the write rates that the holders lend.
    pub(crate) async fn freed_room_loop(self: Arc<Self>) {
        loop {
            tokio::time::sleep(FREED_ROOM_POLL_INTERVAL).await;
            let ask =
                self.with(|core| core.leads(now()) && core.shards.len() > core.role.leased_shards.len());
            if !ask {
                continue;
            }
            let mut asked = JoinSet::new();
            for peer in &self.settings.peers {
                let (peers, peer) = (self.peers.clone(), peer.clone());
                asked.spawn(async move { peers.freed_room(&peer).await });
            }
            let mut spare = 0.0;
            for reply in asked.join_all().await.into_iter().flatten() {
                self.with(|core| core.apply_room_reply(&reply, now()));
                spare += reply.spare_changes.clamp(0.0, self.settings.params.state.write_rps);
            }
            *lock(&self.borrowed_write_rate) = Some((spare, now() + BORROWED_RATE_LIFETIME));
            self.set_rates();
        }
    }

    /// Lends most of this controller's write rate to the one that asks if nothing here waits to be
    /// committed; returns the lent rate in writes per second.
    fn lend_write_rate(&self) -> f64 {
        let idle = self.state.write_burst_left() > 0.9 && self.committer.queued() == 0;
        let share = if idle { self.own_write_rate() * LENDABLE_RATE_SHARE } else { 0.0 };
        let mut lent_write_rate = lock(&self.lent_write_rate);
        if share > 0.0 {
            *lent_write_rate = Some((share, now() + LENT_RATE_LIFETIME));
        }
        drop(lent_write_rate);
        self.set_rates();
        share
    }

    /// Writes per second that this controller currently lends and borrows.
    pub(crate) fn lent_and_borrowed_rates(&self) -> (f64, f64) {
        let active_rate = |loan: &Option<(f64, std::time::Instant)>| {
            loan.filter(|(_, until)| *until > now()).map_or(0.0, |(rate, _)| rate)
        };
        (active_rate(&lock(&self.lent_write_rate)), active_rate(&lock(&self.borrowed_write_rate)))
    }

    /// Time since the last lease renewal was sent that the state service answered.
    pub(crate) fn lease_renewal_age(&self) -> Option<Duration> {
        lock(&self.lease_renewed_at).map(|at| now().saturating_duration_since(at))
    }

    /// Probes a worker: fetches its current report.
    pub(crate) async fn fetch_worker_status(
        &self,
        address: &str,
    ) -> Option<dapplecroft_wire::workers::Heartbeat> {
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
