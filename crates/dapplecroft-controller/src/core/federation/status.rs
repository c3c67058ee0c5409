//! Status of hand-overs, for operators.

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
    /// Jobs of this cell that are away: offered to another cell, which may have accepted
    /// them. Sorted by job id.
    pub fn away_job_statuses(&self) -> Vec<AwayJob> {
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

    /// Number of jobs of another cell that are hosted here and have not ended.
    pub fn hosted_job_count(&self, cell: &str) -> usize {
        let hosted = self.federation.hosted_jobs.iter().filter(|(_, origin)| origin.cell.name == cell);
        hosted.filter(|(id, _)| !self.is_final(id)).count()
    }

    /// Number of records of a home cell's finished transfers: refusals and final jobs. They
    /// are kept until the home cell's watermark has passed them.
    pub fn retained_record_count(&self, cell: &str) -> usize {
        let refusals = self.federation.refusals.keys().filter(|(name, _, _)| name == cell).count();
        let hosted = self.federation.hosted_jobs.iter().filter(|(_, origin)| origin.cell.name == cell);
        refusals + hosted.filter(|(id, _)| self.is_final(id)).count()
    }
}
