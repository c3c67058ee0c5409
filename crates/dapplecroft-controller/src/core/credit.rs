//! Admission control, as far as records go: what follows from them for this controller's
//! submissions, and what the leader has to commit. What is granted and what may be spent
//! is decided in `dapplecroft-admission`.

mod leader;
mod status;
mod submission;

pub use submission::{Ruling, SubmissionPlan};

use super::Core;
use crate::admission::{known_classes, resolve_admission};
use crate::jobs::Job;
use crate::options::Options;
use crate::records::{self, JobRecord, JobStage, Key};
use dapplecroft_admission::{
    Admission, Bucket, CreditTag, DemandBook, EpochRecord, Footprint, GrantPage, JobCharge, Ledger,
    MachineShape, Planner, PolicyRecord, ReservationsRecord, Spender, charge,
};
use dapplecroft_wire::settings::Settings;
use dapplecroft_wire::state::Condition;
use dapplecroft_wire::users::{JobSpec, Priority};
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Instant;

/// What is known of admission; kept only where the operators' settings ask for it.
#[derive(Debug)]
pub(crate) struct CreditState {
    ledger: Ledger,
    spender: Spender,
    demand: DemandBook,
    planner: Planner,
    /// The classes that the users' aims name; others are counted as one.
    classes: BTreeSet<String>,
    /// What operators set, as it is in force on this platform.
    admission: Admission,
    accepted: u64,
    refused: u64,
}

impl CreditState {
    pub(super) fn for_settings(
        settings: &Settings,
        options: &Options,
        identity: &str,
    ) -> Option<CreditState> {
        let admission = resolve_admission(settings, options).unwrap_or_else(|error| {
            // The program checks before it starts; a program that embeds this may not.
            tracing::error!(%error, "admission is off");
            None
        })?;
        let host = settings.host_name.as_str();
        let classes = known_classes(&settings.params);
        Some(CreditState {
            admission,
            ledger: Ledger::default(),
            spender: Spender::new(host, identity),
            demand: DemandBook::default(),
            planner: Planner::default(),
            classes,
            accepted: 0,
            refused: 0,
        })
    }

    /// The bucket that a job's credit comes from.
    fn bucket(&self, spec: &JobSpec) -> Bucket {
        let known = self.classes.contains(&spec.class);
        let class = if known { spec.class.as_str() } else { dapplecroft_admission::records::OTHER_CLASS };
        Bucket::new(&spec.team, class, spec.priority < Priority::Normal)
    }

    fn policy(&self) -> Option<&PolicyRecord> {
        self.ledger.policy().map(|(policy, _)| policy)
    }
}

impl Core {
    /// Takes over a record of admission. One that can't be read changes nothing of what
    /// is known; credit that it may grant counts as spent.
    pub(super) fn apply_credit_record(&mut self, key: &str, parsed: Key, value: Option<Value>, version: u64) {
        match parsed {
            Key::AdmissionPolicy => self.apply_policy(key, value, version),
            Key::AdmissionEpoch(host) => self.apply_epoch(key, host, value, version),
            Key::Grants(page) => self.apply_grants(key, page, value, version),
            Key::Reservations => {
                let record = self.read::<ReservationsRecord>(key, value);
                self.with_credit(|credit| credit.ledger.apply_reservations(record, version));
            }
            _ => {}
        }
    }

    fn apply_policy(&mut self, key: &str, value: Option<Value>, version: u64) {
        let Some(policy) = self.read::<PolicyRecord>(key, value) else { return };
        // Known also where admission is off.
        self.admission_in_force = policy.in_force;
        self.wakeups.role = true;
        self.with_credit(|credit| credit.ledger.apply_policy(Some(policy), version));
    }

    fn apply_epoch(&mut self, key: &str, host: &str, value: Option<Value>, version: u64) {
        let Some(record) = self.read::<EpochRecord>(key, value) else { return };
        let own = host == self.settings.host_name;
        self.with_credit(|credit| {
            if own {
                credit.spender.apply_epoch(Some(&record), version);
            }
            credit.ledger.apply_epoch(host, Some(record), version);
        });
        self.take_own_grant();
    }

    fn apply_grants(&mut self, key: &str, page: u32, value: Option<Value>, version: u64) {
        let record = self.read::<GrantPage>(key, value);
        self.with_credit(|credit| match record {
            Some(record) => credit.ledger.apply_page(page, Some(record), version),
            None => credit.ledger.note_unreadable_page(version),
        });
        self.take_own_grant();
    }

    fn with_credit(&mut self, work: impl FnOnce(&mut CreditState)) {
        if let Some(credit) = &mut self.credit {
            work(credit);
        }
    }

    fn take_own_grant(&mut self) {
        let host = self.settings.host_name.clone();
        self.with_credit(|credit| {
            if let Some((_, grant)) = credit.ledger.grant(&host) {
                credit.spender.apply_grant(grant);
            }
        });
    }

    /// Takes over what a job's record says of its charge. Of one that is known to be over
    /// everything is noted already.
    pub(super) fn note_job_charge(&mut self, id: &str, record: &JobRecord) {
        if self.credit.is_none() || matches!(self.jobs.get(id), Some(Job::Final { .. })) {
            return;
        }
        let charge = self.job_charge(record);
        self.with_credit(|credit| {
            credit.ledger.apply_job(id, &charge);
            credit.demand.accepted(id, &charge.bucket);
            credit.spender.observe_job(id, charge.tag.as_ref());
        });
    }

    /// Notes that there is no record of a job any more: it was given back to its home cell.
    pub(super) fn note_dropped_job(&mut self, id: &str) {
        self.with_credit(|credit| credit.ledger.drop_job(id));
    }

    pub(super) fn note_applied_revision(&mut self, revision: u64) {
        self.with_credit(|credit| credit.ledger.followed(revision));
    }

    /// What a job is charged: what its tag says, or what its specification comes to, if
    /// it was accepted while no credit was demanded.
    fn job_charge(&self, record: &JobRecord) -> JobCharge {
        let own = record.spec.as_ref().zip(self.credit.as_ref());
        let bucket = own.map(|(spec, credit)| credit.bucket(spec));
        let tag = record.credit.clone();
        let bucket = bucket.or_else(|| tag.as_ref().map(|tag| tag.bucket.clone()));
        let reckoned = || record.spec.as_ref().map_or(0, |spec| self.reckoned_charge(spec, 1));
        JobCharge {
            bucket: bucket.unwrap_or_else(Bucket::shared),
            charge: tag.as_ref().map_or_else(reckoned, |tag: &CreditTag| tag.charge),
            tag,
            over: record.spec.is_none() && record.stage != JobStage::Away,
            accepted_at: record.at,
        }
    }

    /// What a specification is charged under the policy in force.
    fn reckoned_charge(&self, spec: &JobSpec, least: u64) -> u64 {
        let policy = self.credit.as_ref().and_then(|credit| credit.policy());
        let (largest, limit) = policy.map_or((u64::MAX, 0), |policy| (policy.largest, policy.limit));
        let types = self.catalog.iter().flat_map(|catalog| &catalog.machine_types);
        let allowed = types.filter(|t| spec.types.as_ref().is_none_or(|names| names.contains(&t.name)));
        let shapes: Vec<MachineShape> =
            allowed.map(|t| MachineShape { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb }).collect();
        let each = MachineShape { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb };
        // A service keeps its processors busy for as long as the limit looks ahead.
        let cpus = self.credit.as_ref().map_or(1.0, |credit| credit.admission.cpus_of(limit));
        let ahead = limit as f64 / cpus.max(1.0);
        let estimate_s = if spec.is_service() { ahead } else { spec.estimate_s };
        charge(&Footprint { tasks: spec.tasks, each, estimate_s }, shapes.iter(), least, largest)
    }

    /// Whether this process can take users' submissions as far as credit goes; a new
    /// process has none until the leader has given it an epoch, which takes a moment.
    pub fn may_accept(&self) -> bool {
        let credit = self.credit.as_ref().filter(|_| self.admission_in_force && self.leader.is_some());
        credit.is_none_or(|credit| credit.spender.has_epoch())
    }

    /// Work that waits in a bucket for credit, and what it was lately accepted a second.
    fn bucket_outlook(&mut self, bucket: &Bucket, wall: f64, now: Instant) -> (u64, f64) {
        let Some(credit) = &mut self.credit else { return (0, 0.0) };
        let waiting = credit.demand.waiting(bucket, now);
        let recent = credit.ledger.recent_of(bucket, wall);
        (waiting, recent / dapplecroft_admission::ledger::RECENT.as_secs_f64())
    }

    /// What proves that the copy is new: any condition that holds will do.
    pub fn credit_conditions(&self) -> Vec<Condition> {
        vec![self.unchanged_condition(records::ADMISSION_POLICY.into())]
    }
}
