//! Admission control: applies the credit records to this controller's submissions and builds the
//! updates that the leader commits. How much credit is granted and what may be spent is decided
//! in the crate `dapplecroft-admission`.

mod leader;
mod status;
mod submission;

pub use submission::{AdmissionDecision, SubmissionPlan};

use super::Core;
use crate::admission::{objective_classes, resolve_admission};
use crate::jobs::Job;
use crate::options::Options;
use crate::records::{self, JobRecord, JobStage, Key};
use dapplecroft_admission::{
    AdmissionConfig, Bucket, CreditTag, DemandTracker, EpochRecord, GrantPage, JobCharge, JobResources,
    Ledger, Planner, PolicyRecord, ReservationsRecord, ResourceAmounts, Spender, compute_charge,
};
use dapplecroft_wire::settings::Settings;
use dapplecroft_wire::state::Condition;
use dapplecroft_wire::users::{JobSpec, Priority};
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Instant;

/// State of admission control. Present only if the operators' settings enable it.
#[derive(Debug)]
pub(crate) struct CreditState {
    /// Outstanding work and granted credit of the whole cluster, from the records.
    ledger: Ledger,
    /// This controller's own credit.
    spender: Spender,
    /// Submissions that this controller refused for lack of credit.
    demand: DemandTracker,
    /// Plans grants; used by the leader.
    planner: Planner,
    /// Job classes that the objectives name. All other classes are counted as one.
    classes: BTreeSet<String>,
    /// The operators' settings, resolved for this platform.
    admission: AdmissionConfig,
    /// Number of committed submissions that spent this process's credit.
    accepted: u64,
    /// Number of submissions that this process has refused for lack of credit.
    refused: u64,
}

impl CreditState {
    /// Builds the state from the settings; `None` if admission control is not enabled.
    pub(super) fn for_settings(
        settings: &Settings,
        options: &Options,
        identity: &str,
    ) -> Option<CreditState> {
        let admission = resolve_admission(settings, options).unwrap_or_else(|error| {
            // The main program validates these settings before it starts, but a program that
            // embeds this crate may not.
            tracing::error!(%error, "invalid admission settings; admission control is disabled");
            None
        })?;
        let host = settings.host_name.as_str();
        let classes = objective_classes(&settings.params);
        Some(CreditState {
            admission,
            ledger: Ledger::default(),
            spender: Spender::new(host, identity),
            demand: DemandTracker::default(),
            planner: Planner::default(),
            classes,
            accepted: 0,
            refused: 0,
        })
    }

    /// The credit bucket that a job draws on.
    fn bucket(&self, spec: &JobSpec) -> Bucket {
        let known = self.classes.contains(&spec.class);
        let class = if known { spec.class.as_str() } else { dapplecroft_admission::records::UNLISTED_CLASS };
        Bucket::new(&spec.team, class, spec.priority < Priority::Normal)
    }

    fn policy(&self) -> Option<&PolicyRecord> {
        self.ledger.policy().map(|(policy, _)| policy)
    }
}

impl Core {
    /// Applies a record of admission control. A record that cannot be parsed leaves the known
    /// state unchanged, and credit that the record may grant counts as spent.
    pub(super) fn apply_credit_record(&mut self, key: &str, parsed: Key, value: Option<Value>, version: u64) {
        match parsed {
            Key::AdmissionPolicy => self.apply_policy(key, value, version),
            Key::AdmissionEpoch(host) => self.apply_epoch(key, host, value, version),
            Key::Grants(page) => self.apply_grants(key, page, value, version),
            Key::Reservations => {
                let record = self.parse_record::<ReservationsRecord>(key, value);
                self.with_credit(|credit| credit.ledger.apply_reservations(record, version));
            }
            _ => {}
        }
    }

    fn apply_policy(&mut self, key: &str, value: Option<Value>, version: u64) {
        let Some(policy) = self.parse_record::<PolicyRecord>(key, value) else { return };
        // Applied even if this controller's settings do not enable admission control.
        self.admission_in_force = policy.in_force;
        self.wakeups.role = true;
        self.with_credit(|credit| credit.ledger.apply_policy(Some(policy), version));
    }

    fn apply_epoch(&mut self, key: &str, host: &str, value: Option<Value>, version: u64) {
        let Some(record) = self.parse_record::<EpochRecord>(key, value) else { return };
        let own = host == self.settings.host_name;
        self.with_credit(|credit| {
            if own {
                credit.spender.apply_epoch(Some(&record), version);
            }
            credit.ledger.apply_epoch(host, Some(record), version);
        });
        self.apply_own_grant();
    }

    fn apply_grants(&mut self, key: &str, page: u32, value: Option<Value>, version: u64) {
        let record = self.parse_record::<GrantPage>(key, value);
        self.with_credit(|credit| match record {
            Some(record) => credit.ledger.apply_page(page, Some(record), version),
            None => credit.ledger.record_unreadable_page(version),
        });
        self.apply_own_grant();
    }

    /// Runs `work` on the credit state if admission control is enabled.
    fn with_credit(&mut self, work: impl FnOnce(&mut CreditState)) {
        if let Some(credit) = &mut self.credit {
            work(credit);
        }
    }

    /// Passes this controller's current grant from the ledger to its spender.
    fn apply_own_grant(&mut self) {
        let host = self.settings.host_name.clone();
        self.with_credit(|credit| {
            if let Some((_, grant)) = credit.ledger.grant(&host) {
                credit.spender.apply_grant(grant);
            }
        });
    }

    /// Applies the charge in a job's record. Jobs already known to have ended are skipped: their
    /// charges have been applied.
    pub(super) fn apply_job_charge(&mut self, id: &str, record: &JobRecord) {
        if self.credit.is_none() || matches!(self.jobs.get(id), Some(Job::Final { .. })) {
            return;
        }
        let charge = self.job_charge(record);
        self.with_credit(|credit| {
            credit.ledger.apply_job(id, &charge);
            credit.demand.record_acceptance(id, &charge.bucket);
            credit.spender.observe_job(id, charge.tag.as_ref());
        });
    }

    /// Removes the charge of a job whose record was deleted. Only jobs of other cells are deleted,
    /// after they were returned to their home cell or long after they ended.
    pub(super) fn remove_job_charge(&mut self, id: &str) {
        self.with_credit(|credit| credit.ledger.remove_job(id));
    }

    /// Informs the ledger up to which revision all records have been applied.
    pub(super) fn set_credit_revision(&mut self, revision: u64) {
        self.with_credit(|credit| credit.ledger.set_applied_revision(revision));
    }

    /// The charge of a job: from the credit tag in its record, or computed from its specification
    /// if the job was accepted while submissions needed no credit.
    fn job_charge(&self, record: &JobRecord) -> JobCharge {
        let spec_and_credit = record.spec.as_ref().zip(self.credit.as_ref());
        let bucket = spec_and_credit.map(|(spec, credit)| credit.bucket(spec));
        let tag = record.credit.clone();
        let bucket = bucket.or_else(|| tag.as_ref().map(|tag| tag.bucket.clone()));
        let computed = || record.spec.as_ref().map_or(0, |spec| self.computed_charge(spec, 1));
        JobCharge {
            bucket: bucket.unwrap_or_else(Bucket::shared),
            charge: tag.as_ref().map_or_else(computed, |tag: &CreditTag| tag.charge),
            tag,
            finished: record.spec.is_none() && record.stage != JobStage::Away,
            accepted_at: record.submitted_at,
        }
    }

    /// The charge of a job specification under the current policy, at least `min_charge`.
    fn computed_charge(&self, spec: &JobSpec, min_charge: u64) -> u64 {
        let policy = self.credit.as_ref().and_then(|credit| credit.policy());
        let (largest, limit) = policy.map_or((u64::MAX, 0), |policy| (policy.max_charge, policy.limit));
        let types = self.catalog.iter().flat_map(|catalog| &catalog.machine_types);
        let allowed_types = types.filter(|t| spec.types.as_ref().is_none_or(|names| names.contains(&t.name)));
        let machine_shapes: Vec<ResourceAmounts> = allowed_types
            .map(|t| ResourceAmounts { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb })
            .collect();
        let per_task = ResourceAmounts { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb };
        // A service never completes, so it is charged for the whole time over which the policy limits
        // outstanding work.
        let cpus = self.credit.as_ref().map_or(1.0, |credit| credit.admission.cpus_for_limit(limit));
        let horizon_s = limit as f64 / cpus.max(1.0);
        let estimate_s = if spec.is_service() { horizon_s } else { spec.estimate_s };
        compute_charge(
            &JobResources { task_count: spec.tasks, per_task, estimate_s },
            machine_shapes.iter(),
            min_charge,
            largest,
        )
    }

    /// Whether admission control lets this process accept users' submissions. A new process cannot
    /// accept any until the leader has committed a credit epoch for it, which takes a moment.
    /// Without a leader this does not hold it back.
    pub fn can_accept_submissions(&self) -> bool {
        let credit = self.credit.as_ref().filter(|_| self.admission_in_force && self.leader.is_some());
        credit.is_none_or(|credit| credit.spender.has_epoch())
    }

    /// Refused work that waits for credit in a bucket, and work recently accepted per second.
    fn bucket_backlog_and_rate(&mut self, bucket: &Bucket, wall_clock_s: f64, now: Instant) -> (u64, f64) {
        let Some(credit) = &mut self.credit else { return (0, 0.0) };
        let waiting = credit.demand.waiting_work(bucket, now);
        let recent = credit.ledger.recent_work_of(bucket, wall_clock_s);
        (waiting, recent / dapplecroft_admission::ledger::RECENT_WORK_DECAY.as_secs_f64())
    }

    /// Conditions for the transaction that determines whether the replica is current. Any
    /// condition that is expected to hold serves this purpose.
    pub fn freshness_conditions(&self) -> Vec<Condition> {
        vec![self.unchanged_condition(records::ADMISSION_POLICY_KEY.into())]
    }
}
