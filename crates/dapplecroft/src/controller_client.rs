//! Client with which the operators' commands query a controller, over the gRPC protocol that controllers use
//! among themselves.

use dapplecroft_wire::peer::peer_client::PeerClient;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};

/// How long to wait for the connection, and for the controller's reply.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a query got no reply.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The connection to the controller failed.
    #[error("{0} can't be reached: {1}")]
    Unreachable(SocketAddr, tonic::transport::Error),
    /// The controller did not reply in time, or runs a version that does not support the request.
    #[error("{0} does not answer: {1}")]
    NoAnswer(SocketAddr, Box<tonic::Status>),
}

impl QueryError {
    /// The error for a request that the controller answered with a gRPC error status.
    pub fn no_answer(controller: SocketAddr, status: tonic::Status) -> QueryError {
        QueryError::NoAnswer(controller, Box::new(status))
    }
}

/// Connects to a controller.
pub async fn connect(controller: SocketAddr) -> Result<PeerClient<Channel>, QueryError> {
    let unreachable = |error| QueryError::Unreachable(controller, error);
    let endpoint = Endpoint::from_shared(format!("http://{controller}")).map_err(unreachable)?;
    let channel = endpoint
        .connect_timeout(QUERY_TIMEOUT)
        .timeout(QUERY_TIMEOUT)
        .connect()
        .await
        .map_err(unreachable)?;
    Ok(PeerClient::new(channel))
}
