//! `dapplecroft admission`: prints the state of admission control for operators.

use crate::controller_client::{self, QueryError};
use dapplecroft_wire::peer::{AdmissionReply, AdmissionRequest};
use std::fmt::Write;
use std::net::SocketAddr;

/// Why the command failed.
#[derive(Debug, thiserror::Error)]
pub enum AdmissionCommandError {
    /// The controller could not be queried.
    #[error(transparent)]
    Query(#[from] QueryError),
    /// The controller's settings do not enable admission control.
    #[error("{0} takes no part in admission control: its settings have no `admission`")]
    Disabled(SocketAddr),
}

/// Asks a controller for its view of admission control.
pub async fn query_controller(controller: SocketAddr) -> Result<AdmissionReply, AdmissionCommandError> {
    let mut client = controller_client::connect(controller).await?;
    let reply = client.admission(AdmissionRequest {}).await;
    let reply = reply.map_err(|status| QueryError::no_answer(controller, status))?.into_inner();
    if reply.known { Ok(reply) } else { Err(AdmissionCommandError::Disabled(controller)) }
}

/// Formats up to three lines for the cell, then one for each controller and each team.
pub fn format_summary(reply: &AdmissionReply) -> String {
    let mut lines = String::new();
    let credit_status = if reply.in_force { "needs credit" } else { "needs no credit yet" };
    let role = if reply.leads { "leads" } else { "does not lead: its leader knows more" };
    let _ = writeln!(lines, "a submission {credit_status}; this controller {role}");
    let _ = writeln!(
        lines,
        "limit {} processor-seconds and {} jobs: {} outstanding in {} jobs, {} as credit",
        reply.limit, reply.max_jobs, reply.outstanding, reply.jobs, reply.credit
    );
    if reply.unreadable > 0 {
        let _ = writeln!(lines, "{} records can't be read by this controller", reply.unreadable);
    }
    for controller in &reply.controllers {
        let gone = if controller.live { "" } else { " (gone)" };
        let _ = writeln!(
            lines,
            "controller {}{gone}: epoch {}, credit {}, of which {} wait for an unknown outcome; since its start \
             {} submissions accepted, {} refused",
            controller.host,
            controller.epoch,
            controller.credit,
            controller.stuck,
            controller.accepted,
            controller.refused
        );
    }
    for team in &reply.teams {
        let _ = writeln!(
            lines,
            "team {}: weight {}, {} outstanding, about {} refused lately",
            team.team, team.weight, team.outstanding, team.waiting
        );
    }
    lines
}

#[cfg(test)]
mod tests;
