//! `dapplecroft cells`: how things stand between cells, for operators.

use dapplecroft_wire::peer::peer_client::PeerClient;
use dapplecroft_wire::peer::{CellsReply, CellsRequest};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::Endpoint;

/// How long the controller has to answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Why nothing can be said.
#[derive(Debug, thiserror::Error)]
pub enum CellsError {
    /// The controller can't be reached.
    #[error("{0} can't be reached: {1}")]
    Unreachable(SocketAddr, tonic::transport::Error),
    /// The controller does not answer, or is of a version that knows no cells.
    #[error("{0} does not answer: {1}")]
    NoAnswer(SocketAddr, Box<tonic::Status>),
    /// The controller's cell stands alone.
    #[error("{0} belongs to no federation")]
    NoFederation(SocketAddr),
}

/// Asks a controller.
pub async fn ask(controller: SocketAddr) -> Result<CellsReply, CellsError> {
    let unreachable = |error| CellsError::Unreachable(controller, error);
    let endpoint = Endpoint::from_shared(format!("http://{controller}")).map_err(unreachable)?;
    let channel = endpoint.connect_timeout(TIMEOUT).timeout(TIMEOUT).connect().await.map_err(unreachable)?;
    let reply = PeerClient::new(channel).cells(CellsRequest {}).await;
    let reply = reply.map_err(|status| CellsError::NoAnswer(controller, Box::new(status)))?.into_inner();
    if reply.cell.is_empty() { Err(CellsError::NoFederation(controller)) } else { Ok(reply) }
}

/// One line for this cell, and one for each other.
pub fn summary_lines(reply: &CellsReply) -> String {
    let mut text = String::new();
    let role = if reply.leads { "leads" } else { "does not lead: its leader knows more" };
    let offers = if reply.offers { "offers jobs" } else { "offers no jobs" };
    let _ = writeln!(text, "{}#{}: this controller {role}; it {offers}", reply.cell, reply.incarnation);
    for other in &reply.others {
        let heard = match other.incarnation {
            0 => "not heard".to_string(),
            incarnation => format!("#{incarnation}, heard {:.1} s ago", other.heard_ms_ago as f64 / 1000.0),
        };
        let _ = writeln!(
            text,
            "{}: {heard}; {} of our jobs are away there, {} of its jobs are here, {} records are kept for it",
            other.name, other.away_jobs, other.visiting_jobs, other.kept_records
        );
    }
    text
}

/// One line for each job that is away.
pub fn away_lines(reply: &CellsReply) -> String {
    let mut text = String::new();
    for job in &reply.away {
        let heard = if job.heard.is_empty() { "not heard of" } else { job.heard.as_str() };
        let cancelling = if job.cancelling { ", to be cancelled" } else { "" };
        let _ = writeln!(
            text,
            "{} at {}#{} by transfer {}: {heard}{cancelling}",
            job.job, job.cell, job.incarnation, job.epoch
        );
    }
    text
}

#[cfg(test)]
mod tests;
