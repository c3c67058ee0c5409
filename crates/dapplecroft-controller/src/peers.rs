//! What controllers ask of each other.

use crate::node::{Node, lock, now};
use async_trait::async_trait;
use dapplecroft_net::Request;
use dapplecroft_wire::peer::peer_server::Peer as PeerProtocol;
use dapplecroft_wire::peer::{ProbeReply, ProbeRequest, SightReply, SightRequest};
use dapplecroft_wire::settings::Peer;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// How long a worker has to answer a probe.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Asks other controllers. No answer is `None`, and proves nothing.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Which of these workers the peer gets an answer from.
    async fn probe(&self, peer: &Peer, addresses: Vec<String>) -> Option<Vec<String>>;
    /// How the peer sees the world.
    async fn sight(&self, peer: &Peer) -> Option<SightReply>;
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
}

/// Answers what other controllers ask.
pub struct PeerService(pub Arc<Node>);

impl PeerService {
    /// How this node sees the world.
    pub fn own_sight(&self) -> SightReply {
        let age = lock(&self.0.touched).map_or(u64::MAX, |at| {
            u64::try_from(now().saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX)
        });
        SightReply {
            host: self.0.settings.host_name.clone(),
            state_age_ms: age,
            ready: self.0.with(|core| core.loaded),
        }
    }

    /// Which of these workers this node gets an answer from.
    pub async fn own_probe(&self, addresses: Vec<String>) -> Vec<String> {
        let mut probes = JoinSet::new();
        for address in addresses.into_iter().take(64) {
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
}

impl Node {
    /// Asks a worker for its report.
    pub(crate) async fn ask_status(&self, address: &str) -> Option<dapplecroft_wire::workers::Report> {
        let request = Request {
            address: address.to_string(),
            method: http::Method::GET,
            path: "/status".into(),
            body: Default::default(),
            timeout: PROBE_TIMEOUT,
        };
        let response = self.transport.send(request).await.ok().filter(|r| r.status == 200)?;
        serde_json::from_slice(&response.body).ok()
    }
}
