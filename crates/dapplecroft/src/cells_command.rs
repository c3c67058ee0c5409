//! `dapplecroft cells`: how things stand between cells, for operators.

use crate::peer_client::{self, PeerError};
use dapplecroft_wire::peer::{CellsReply, CellsRequest};
use std::fmt::Write;
use std::net::SocketAddr;

/// Why nothing can be said.
#[derive(Debug, thiserror::Error)]
pub enum CellsError {
    /// There is no answer.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The controller's cell stands alone.
    #[error("{0} belongs to no federation")]
    NoFederation(SocketAddr),
}

/// Asks a controller.
pub async fn ask(controller: SocketAddr) -> Result<CellsReply, CellsError> {
    let mut client = peer_client::connect(controller).await?;
    let reply = client.cells(CellsRequest {}).await;
    let reply = reply.map_err(|status| PeerError::no_answer(controller, status))?.into_inner();
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
