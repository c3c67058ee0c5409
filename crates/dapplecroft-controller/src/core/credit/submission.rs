//! Spending of credit for submissions, and settling it once their outcome is known.

use crate::core::Core;
use crate::records;
use dapplecroft_admission::retry::retry_after;
use dapplecroft_admission::{Bucket, CreditTag, Refusal, Settlement, Spending};
use dapplecroft_wire::state::Condition;
use dapplecroft_wire::users::JobSpec;
use std::time::{Duration, Instant};

/// Retry hint while this controller has no credit epoch; it usually gets one within this time.
const EPOCH_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decision of admission control on a submission.
#[derive(Debug, Clone, PartialEq)]
pub enum AdmissionDecision {
    /// The submission may be committed according to this plan.
    Admitted(SubmissionPlan),
    /// There is no credit for the submission. Holds the delay after which to retry.
    Refused(Duration),
}

/// The conditions under which a submission may be committed, and the credit that it spends.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SubmissionPlan {
    /// Conditions in addition to the one that no record of this job exists yet.
    pub conditions: Vec<Condition>,
    /// Credit tag that is stored in the job's record.
    pub tag: Option<CreditTag>,
    /// Spent credit that has to be settled once the outcome is known. `None` if no credit is
    /// needed or a reservation is used.
    pub spending: Option<Spending>,
}

impl Core {
    /// Decides on a user's submission, and sets credit aside for it if it is admitted.
    pub fn decide_admission(
        &mut self,
        spec: &JobSpec,
        random: f64,
        wall_clock_s: f64,
        now: Instant,
    ) -> AdmissionDecision {
        match self.admit(spec) {
            Ok(plan) => AdmissionDecision::Admitted(plan),
            Err(Refusal::NoEpoch) => AdmissionDecision::Refused(EPOCH_RETRY_AFTER),
            Err(Refusal::NoCredit) => {
                AdmissionDecision::Refused(self.record_refusal(spec, random, wall_clock_s, now))
            }
        }
    }

    /// Sets credit aside for a job of a user or of another cell, if credit is required.
    pub(in crate::core) fn admit(&mut self, spec: &JobSpec) -> Result<SubmissionPlan, Refusal> {
        if self.credit.is_none() {
            return Ok(SubmissionPlan::default());
        }
        if !self.admission_in_force {
            // Conditional on the unchanged policy: once the policy requires credit, no submission
            // is committed without it.
            let policy = self.unchanged_condition(records::ADMISSION_POLICY_KEY.into());
            return Ok(SubmissionPlan { conditions: vec![policy], ..SubmissionPlan::default() });
        }
        if let Some(plan) = self.plan_for_reservation(&spec.id) {
            return Ok(plan);
        }
        let charge = self.computed_charge(spec, self.min_charge());
        self.spend_credit(spec, charge)
    }

    /// The minimum charge of a job in this controller's current epoch.
    fn min_charge(&self) -> u64 {
        let credit = self.credit.as_ref();
        let epoch = credit.and_then(|credit| credit.ledger.epoch(&self.settings.host_name));
        epoch.map_or(1, |(record, _)| record.min_charge.max(1))
    }

    /// Spends this controller's own credit, conditional on its unchanged epoch record.
    fn spend_credit(&mut self, spec: &JobSpec, charge: u64) -> Result<SubmissionPlan, Refusal> {
        let Some(credit) = &mut self.credit else { return Ok(SubmissionPlan::default()) };
        let bucket = credit.bucket(spec);
        let spending = credit.spender.spend(&spec.id, &bucket, charge)?;
        let key = records::admission_epoch_key(&self.settings.host_name);
        let conditions = vec![Condition { key, version: spending.epoch_version }];
        Ok(SubmissionPlan { conditions, tag: Some(spending.tag.clone()), spending: Some(spending) })
    }

    /// The plan for a job that has a reservation: it spends the reservation, at any controller.
    fn plan_for_reservation(&self, id: &str) -> Option<SubmissionPlan> {
        let credit = self.credit.as_ref()?;
        let reservation = credit.ledger.unspent_reservation(id)?;
        let tag = CreditTag {
            host: String::new(),
            epoch: 0,
            bucket: reservation.bucket.clone(),
            charge: reservation.charge,
        };
        let conditions = vec![self.unchanged_condition(records::RESERVATIONS_KEY.into())];
        Some(SubmissionPlan { conditions, tag: Some(tag), spending: None })
    }

    /// Records the refused demand, for the leader's next grants, and returns the retry hint.
    fn record_refusal(&mut self, spec: &JobSpec, random: f64, wall_clock_s: f64, now: Instant) -> Duration {
        let charge = self.computed_charge(spec, self.min_charge());
        let bucket = self.bucket_of(spec);
        if let Some(credit) = &mut self.credit {
            credit.demand.record_refusal(&spec.id, &bucket, charge, now);
            credit.refused += 1;
        }
        let (waiting, rate) = self.bucket_backlog_and_rate(&bucket, wall_clock_s, now);
        retry_after(waiting, rate, random)
    }

    fn bucket_of(&self, spec: &JobSpec) -> Bucket {
        self.credit.as_ref().map_or_else(Bucket::shared, |credit| credit.bucket(spec))
    }

    /// Settles the credit that a submission has spent, according to the submission's outcome.
    pub fn settle_spending(&mut self, id: &str, spending: &Spending, settlement: Settlement) {
        let tag = self.known_credit_tag(id);
        let Some(credit) = &mut self.credit else { return };
        credit.accepted += u64::from(settlement == Settlement::Committed);
        credit.spender.settle(id, spending, settlement);
        // The watch may have delivered the job's record before the commit's reply arrived.
        if let Some(tag) = tag {
            credit.spender.observe_job(id, tag.as_ref());
        }
    }

    /// The credit tag in a job's record: `None` if the record is not known or the job has ended,
    /// `Some(None)` if the record has no tag.
    fn known_credit_tag(&self, id: &str) -> Option<Option<CreditTag>> {
        match self.jobs.get(id)? {
            crate::jobs::Job::Open(job) => Some(job.record.credit.clone()),
            crate::jobs::Job::Away(job) => Some(job.record.credit.clone()),
            // The tag was applied together with the job's record.
            crate::jobs::Job::Final { .. } => None,
        }
    }
}
