//! What operators are told of hand-overs.

use crate::core::Core;
use dapplecroft_federation::TransferState;
use dapplecroft_wire::peer::AwayJob;

fn state_name(state: TransferState) -> &'static str {
    match state {
        TransferState::Accepted { .. } => "accepted",
        TransferState::Refused => "refused",
        TransferState::Done { .. } => "done",
        TransferState::Withdrawn { .. } => "withdrawn",
        TransferState::Unknown => "unknown",
    }
}

impl Core {
    /// Jobs of this cell that others were offered and may have, by job.
    pub fn away_list(&self) -> Vec<AwayJob> {
        let mut list: Vec<AwayJob> = self
            .away_jobs()
            .map(|(id, job, away)| AwayJob {
                job: id.to_string(),
                cell: away.cell.name.clone(),
                incarnation: away.cell.incarnation,
                epoch: away.epoch.0,
                cancelling: away.cancelling,
                heard: job.last_answer.map(state_name).unwrap_or_default().to_string(),
            })
            .collect();
        list.sort_by(|a, b| a.job.cmp(&b.job));
        list
    }

    /// How many of a cell's jobs are here and not over.
    pub fn visiting_from(&self, cell: &str) -> usize {
        let own = self.federation.visits.iter().filter(|(_, origin)| origin.cell.name == cell);
        own.filter(|(id, _)| !self.is_over(id)).count()
    }

    /// How many records of a cell's hand-overs are kept until it has finished with them:
    /// refusals, and jobs that are over.
    pub fn kept_records_of(&self, cell: &str) -> usize {
        let refusals = self.federation.refusals.keys().filter(|(name, _, _)| name == cell).count();
        let visits = self.federation.visits.iter().filter(|(_, origin)| origin.cell.name == cell);
        refusals + visits.filter(|(id, _)| self.is_over(id)).count()
    }
}
