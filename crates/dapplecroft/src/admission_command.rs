//! `dapplecroft admission`: how admission control stands, for operators.

use crate::peer_client::{self, PeerError};
use dapplecroft_wire::peer::{AdmissionReply, AdmissionRequest};
use std::fmt::Write;
use std::net::SocketAddr;

/// Why nothing can be said.
#[derive(Debug, thiserror::Error)]
pub enum AdmissionError {
    /// There is no answer.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// Admission control is off.
    #[error("{0} takes no part in admission control: its settings have no `admission`")]
    Off(SocketAddr),
}

/// Asks a controller.
pub async fn ask(controller: SocketAddr) -> Result<AdmissionReply, AdmissionError> {
    let mut client = peer_client::connect(controller).await?;
    let reply = client.admission(AdmissionRequest {}).await;
    let reply = reply.map_err(|status| PeerError::no_answer(controller, status))?.into_inner();
    if reply.known { Ok(reply) } else { Err(AdmissionError::Off(controller)) }
}

/// The cell in three lines, then one for each controller and each team.
pub fn summary_lines(reply: &AdmissionReply) -> String {
    let mut text = String::new();
    let demanded = if reply.in_force { "needs credit" } else { "needs no credit yet" };
    let role = if reply.leads { "leads" } else { "does not lead: its leader knows more" };
    let _ = writeln!(text, "a submission {demanded}; this controller {role}");
    let _ = writeln!(
        text,
        "limit {} processor-seconds and {} jobs: {} outstanding in {} jobs, {} as credit",
        reply.limit, reply.max_jobs, reply.outstanding, reply.jobs, reply.credit
    );
    if reply.unreadable > 0 {
        let _ = writeln!(text, "{} records can't be read by this controller", reply.unreadable);
    }
    for controller in &reply.controllers {
        let live = if controller.live { "" } else { " (gone)" };
        let _ = writeln!(
            text,
            "controller {}{live}: epoch {}, credit {}, of which {} wait for an unknown outcome; since its start \
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
            text,
            "team {}: weight {}, {} outstanding, about {} refused lately",
            team.team, team.weight, team.outstanding, team.waiting
        );
    }
    text
}

#[cfg(test)]
mod tests;
