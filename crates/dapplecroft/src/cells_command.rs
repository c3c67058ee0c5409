//! `dapplecroft cells`: prints the state of the federation (peer cells and handed-over jobs) for operators.

use crate::controller_client::{self, QueryError};
use dapplecroft_wire::peer::{CellsReply, CellsRequest};
use std::fmt::Write;
use std::net::SocketAddr;

/// Why the command failed.
#[derive(Debug, thiserror::Error)]
pub enum CellsCommandError {
    /// The controller could not be queried.
    #[error(transparent)]
    Query(#[from] QueryError),
    /// The controller's cell belongs to no federation.
    #[error("{0} belongs to no federation")]
    NoFederation(SocketAddr),
}

/// Asks a controller for its view of the federation.
pub async fn query_controller(controller: SocketAddr) -> Result<CellsReply, CellsCommandError> {
    let mut client = controller_client::connect(controller).await?;
    let reply = client.cells(CellsRequest {}).await;
    let reply = reply.map_err(|status| QueryError::no_answer(controller, status))?.into_inner();
    if reply.cell.is_empty() { Err(CellsCommandError::NoFederation(controller)) } else { Ok(reply) }
}

/// Formats one line for this cell and one for each peer cell.
pub fn format_summary(reply: &CellsReply) -> String {
    let mut lines = String::new();
    let role = if reply.leads { "leads" } else { "does not lead: its leader knows more" };
    let offers = if reply.offers { "offers jobs" } else { "offers no jobs" };
    let _ = writeln!(lines, "{}#{}: this controller {role}; it {offers}", reply.cell, reply.incarnation);
    for other in &reply.others {
        let heard = match other.incarnation {
            0 => "not heard".to_string(),
            incarnation => format!("#{incarnation}, heard {:.1} s ago", other.heard_ms_ago as f64 / 1000.0),
        };
        let _ = writeln!(
            lines,
            "{}: {heard}; {} of our jobs are away there, {} of its jobs are here, {} records are kept for it",
            other.name, other.away_jobs, other.visiting_jobs, other.kept_records
        );
    }
    lines
}

/// Formats one line for each job that this cell has handed over to another cell.
pub fn format_away_jobs(reply: &CellsReply) -> String {
    let mut lines = String::new();
    for job in &reply.away {
        let heard = if job.heard.is_empty() { "not heard of" } else { job.heard.as_str() };
        let cancelling = if job.cancelling { ", to be cancelled" } else { "" };
        let _ = writeln!(
            lines,
            "{} at {}#{} by transfer {}: {heard}{cancelling}",
            job.job, job.cell, job.incarnation, job.epoch
        );
    }
    lines
}

#[cfg(test)]
mod tests;
