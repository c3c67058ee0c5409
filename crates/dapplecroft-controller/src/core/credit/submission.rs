//! What a submission spends, and what is noted of how it ended.

use crate::core::Core;
use crate::records;
use dapplecroft_admission::retry::retry_after;
use dapplecroft_admission::{Bucket, CreditTag, Refusal, Settlement, Spending};
use dapplecroft_wire::state::Condition;
use dapplecroft_wire::users::JobSpec;
use std::time::{Duration, Instant};

/// A controller without an epoch has one within about this time.
const EPOCH_SOON: Duration = Duration::from_secs(1);

/// What admission control says of a submission.
#[derive(Debug, Clone, PartialEq)]
pub enum Ruling {
    /// It may be committed.
    Admitted(SubmissionPlan),
    /// There is no credit for it: come back after so long.
    Refused(Duration),
}

/// What a submission is bound to, and what it spends.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SubmissionPlan {
    /// Beside that there is no such job yet.
    pub conditions: Vec<Condition>,
    /// Goes into the job's record.
    pub tag: Option<CreditTag>,
    /// What has to be settled; a reservation need not be.
    pub spending: Option<Spending>,
}

impl Core {
    /// Sets credit aside for a submission.
    pub fn rule(&mut self, spec: &JobSpec, random: f64, wall: f64, now: Instant) -> Ruling {
        match self.admit(spec) {
            Ok(plan) => Ruling::Admitted(plan),
            Err(Refusal::NoEpoch) => Ruling::Refused(EPOCH_SOON),
            Err(Refusal::NoCredit) => Ruling::Refused(self.refuse(spec, random, wall, now)),
        }
    }

    /// Sets credit aside for a job of a user or of another cell.
    pub(in crate::core) fn admit(&mut self, spec: &JobSpec) -> Result<SubmissionPlan, Refusal> {
        if self.credit.is_none() {
            return Ok(SubmissionPlan::default());
        }
        if !self.admission_in_force {
            // Once credit is demanded, nothing is accepted without.
            let policy = self.unchanged_condition(records::ADMISSION_POLICY.into());
            return Ok(SubmissionPlan { conditions: vec![policy], ..SubmissionPlan::default() });
        }
        if let Some(plan) = self.reserved_plan(&spec.id) {
            return Ok(plan);
        }
        let charge = self.reckoned_charge(spec, self.least_charge());
        self.spend(spec, charge)
    }

    /// The least that a job is charged in this controller's epoch.
    fn least_charge(&self) -> u64 {
        let credit = self.credit.as_ref();
        let epoch = credit.and_then(|credit| credit.ledger.epoch(&self.settings.host_name));
        epoch.map_or(1, |(record, _)| record.least.max(1))
    }

    fn spend(&mut self, spec: &JobSpec, charge: u64) -> Result<SubmissionPlan, Refusal> {
        let Some(credit) = &mut self.credit else { return Ok(SubmissionPlan::default()) };
        let bucket = credit.bucket(spec);
        let spending = credit.spender.spend(&spec.id, &bucket, charge)?;
        let key = records::epoch_key(&self.settings.host_name);
        let conditions = vec![Condition { key, version: spending.epoch_version }];
        Ok(SubmissionPlan { conditions, tag: Some(spending.tag.clone()), spending: Some(spending) })
    }

    /// A job that room was saved up for spends that, at any controller.
    fn reserved_plan(&self, id: &str) -> Option<SubmissionPlan> {
        let credit = self.credit.as_ref()?;
        let reservation = credit.ledger.reservation(id)?;
        let tag = CreditTag {
            host: String::new(),
            epoch: 0,
            bucket: reservation.bucket.clone(),
            charge: reservation.charge,
        };
        let conditions = vec![self.unchanged_condition(records::RESERVATIONS.into())];
        Some(SubmissionPlan { conditions, tag: Some(tag), spending: None })
    }

    fn refuse(&mut self, spec: &JobSpec, random: f64, wall: f64, now: Instant) -> Duration {
        let charge = self.reckoned_charge(spec, self.least_charge());
        let bucket = self.bucket_of(spec);
        if let Some(credit) = &mut self.credit {
            credit.demand.refused(&spec.id, &bucket, charge, now);
            credit.refused += 1;
        }
        let (waiting, rate) = self.bucket_outlook(&bucket, wall, now);
        retry_after(waiting, rate, random)
    }

    fn bucket_of(&self, spec: &JobSpec) -> Bucket {
        self.credit.as_ref().map_or_else(Bucket::shared, |credit| credit.bucket(spec))
    }

    /// Notes how a submission ended that had spent something.
    pub fn settle_spending(&mut self, id: &str, spending: &Spending, settlement: Settlement) {
        let tag = self.accepted_tag(id);
        let Some(credit) = &mut self.credit else { return };
        credit.accepted += u64::from(settlement == Settlement::Committed);
        credit.spender.settle(id, spending, settlement);
        // Its record may have been seen before the answer.
        if let Some(tag) = tag {
            credit.spender.observe_job(id, tag.as_ref());
        }
    }

    /// The tag of a job whose record is known.
    fn accepted_tag(&self, id: &str) -> Option<Option<CreditTag>> {
        match self.jobs.get(id)? {
            crate::jobs::Job::Open(job) => Some(job.record.credit.clone()),
            crate::jobs::Job::Away(job) => Some(job.record.credit.clone()),
            // Its tag was taken over with its record.
            crate::jobs::Job::Final { .. } => None,
        }
    }
}
