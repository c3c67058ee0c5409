//! The operators' commands ask one controller over the controllers' own protocol.

use dapplecroft_wire::peer::peer_client::PeerClient;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};

/// How long the controller has to answer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The controller can't be reached.
    #[error("{0} can't be reached: {1}")]
    Unreachable(SocketAddr, tonic::transport::Error),
    /// The controller does not answer, or is of a version that does not know the question.
    #[error("{0} does not answer: {1}")]
    NoAnswer(SocketAddr, Box<tonic::Status>),
}

impl QueryError {
    /// A controller's refusal to answer.
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
