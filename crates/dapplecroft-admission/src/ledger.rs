//! Outstanding work and credit, derived from the records.
//!
//! The sum of outstanding work and credit that a ledger reports is never too low, even if its
//! records lag behind the state service, provided that only the leader that reads this ledger
//! grants credit: accepting a job turns credit into outstanding work, the end of a job reduces
//! outstanding work, and a stale ledger merely sees either change later. The unspent credit of an
//! ended epoch stays in the sum until the ledger has applied all changes up to the revision at
//! which the epoch ended. By then every job accepted under that epoch is known, and no further one
//! can be.

use crate::records::{
    Bucket, CreditTag, EpochRecord, GrantPage, HostGrant, PolicyRecord, Reservation, ReservationsRecord,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time constant of the exponential decay of recently accepted work.
pub const RECENT_WORK_DECAY: Duration = Duration::from_secs(60);

/// What a job's record says about its charge.
#[derive(Debug, Clone, PartialEq)]
pub struct JobCharge {
    /// Bucket of the job.
    pub bucket: Bucket,
    /// Charge in processor-seconds; taken from the credit tag if there is one.
    pub charge: u64,
    /// The grant or reservation that was spent; `None` if the job was accepted without credit.
    pub tag: Option<CreditTag>,
    /// Whether the job has ended, for whatever reason.
    pub finished: bool,
    /// Unix time at which the job was submitted, in seconds.
    pub accepted_at: f64,
}

/// Credit of an ended epoch or a removed reservation. It can't be spent any more, but jobs that the
/// ledger does not know yet may have spent it before `revision`.
#[derive(Debug, Clone, Copy)]
struct EndedCredit {
    revision: u64,
    unspent: u64,
}

/// Recently accepted work as an exponentially decaying sum, valid at `updated_at` (Unix seconds).
#[derive(Debug, Clone, Copy, Default)]
struct DecayingWork {
    work: f64,
    updated_at: f64,
}

impl DecayingWork {
    fn value_at(&self, now: f64) -> f64 {
        self.work * (-(now - self.updated_at).max(0.0) / RECENT_WORK_DECAY.as_secs_f64()).exp()
    }

    fn add(&mut self, work: f64, at: f64) {
        let (early, late) = if at < self.updated_at { (at, self.updated_at) } else { (self.updated_at, at) };
        let decayed = (-(late - early) / RECENT_WORK_DECAY.as_secs_f64()).exp();
        self.work =
            if at < self.updated_at { self.work + work * decayed } else { self.work * decayed + work };
        self.updated_at = late;
    }
}

/// Outstanding work and credit according to the records applied so far.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    policy: Option<(PolicyRecord, u64)>,
    epochs: BTreeMap<String, (EpochRecord, u64)>,
    pages: BTreeMap<u32, (GrantPage, u64)>,
    reservations: (ReservationsRecord, u64),
    /// Accepted jobs that have a reservation, which is thereby spent.
    spent_reservations: BTreeSet<String>,
    /// Credit spent in each epoch of each controller, by bucket.
    spent: BTreeMap<(String, u64), BTreeMap<Bucket, u64>>,
    /// Bucket and charge of each job that has not ended.
    open_jobs: BTreeMap<String, (Bucket, u64)>,
    outstanding: BTreeMap<Bucket, u64>,
    outstanding_total: u64,
    recent_work: BTreeMap<Bucket, DecayingWork>,
    ended_credit: Vec<EndedCredit>,
    applied_revision: u64,
    /// Version of the last grant page that could not be read or was deleted. That page may have
    /// granted any amount of credit to epochs whose record is older.
    unreadable_page_version: u64,
}

impl Ledger {
    /// Applies the policy record.
    pub fn apply_policy(&mut self, record: Option<PolicyRecord>, version: u64) {
        self.policy = record.map(|record| (record, version));
    }

    /// Applies a controller's epoch record, which names the process that may spend its credit.
    pub fn apply_epoch(&mut self, host: &str, record: Option<EpochRecord>, version: u64) {
        let unspent = self.unspent_total_of(host);
        let epoch_ended = self.epochs.get(host).is_some_and(|(old, _)| {
            record.as_ref().is_none_or(|new| new.epoch != old.epoch || new.identity != old.identity)
        });
        if epoch_ended && unspent > 0 && version > self.applied_revision {
            self.ended_credit.push(EndedCredit { revision: version, unspent });
        }
        match record {
            Some(record) => {
                let epoch = record.epoch;
                self.epochs.insert(host.to_string(), (record, version));
                self.spent.retain(|(other, spent), _| other != host || *spent >= epoch);
            }
            None => {
                self.epochs.remove(host);
            }
        }
    }

    /// Applies a page of grants.
    pub fn apply_page(&mut self, page: u32, record: Option<GrantPage>, version: u64) {
        match record {
            Some(record) => self.pages.insert(page, (record, version)),
            None => self.pages.remove(&page),
        };
    }

    /// Records that a grant page can't be read or was deleted.
    pub fn record_unreadable_page(&mut self, version: u64) {
        self.unreadable_page_version = self.unreadable_page_version.max(version);
    }

    /// Whether a controller may have been granted credit by a page that can't be read.
    pub fn may_have_unknown_credit(&self, host: &str) -> bool {
        self.epochs.get(host).is_some_and(|(_, version)| *version < self.unreadable_page_version)
    }

    /// Applies the reservations record.
    pub fn apply_reservations(&mut self, record: Option<ReservationsRecord>, version: u64) {
        let record = record.unwrap_or_default();
        let removed = |id: &String| !record.jobs.contains_key(id);
        let unspent = self
            .unspent_reservations()
            .filter(|(id, _)| removed(id))
            .map(|(_, reservation)| reservation.charge)
            .sum();
        if version > self.applied_revision && unspent > 0 {
            self.ended_credit.push(EndedCredit { revision: version, unspent });
        }
        self.spent_reservations.retain(|id| record.jobs.contains_key(id));
        let open_jobs = record.jobs.keys().filter(|id| self.open_jobs.contains_key(*id));
        self.spent_reservations.extend(open_jobs.cloned());
        self.reservations = (record, version);
    }

    /// Applies a job's record.
    pub fn apply_job(&mut self, id: &str, job: &JobCharge) {
        if self.reservations.0.jobs.contains_key(id) {
            self.spent_reservations.insert(id.to_string());
        }
        let known = self.open_jobs.remove(id);
        if let Some((bucket, charge)) = &known {
            self.remove_outstanding(bucket, *charge);
        }
        if known.is_none() {
            self.record_acceptance(job);
        }
        if !job.finished {
            self.open_jobs.insert(id.to_string(), (job.bucket.clone(), job.charge));
            *self.outstanding.entry(job.bucket.clone()).or_default() += job.charge;
            self.outstanding_total = self.outstanding_total.saturating_add(job.charge);
        }
    }

    /// Applies the deletion of a job's record.
    pub fn remove_job(&mut self, id: &str) {
        if let Some((bucket, charge)) = self.open_jobs.remove(id) {
            self.remove_outstanding(&bucket, charge);
        }
    }

    fn remove_outstanding(&mut self, bucket: &Bucket, charge: u64) {
        self.outstanding_total = self.outstanding_total.saturating_sub(charge);
        if let Some(work) = self.outstanding.get_mut(bucket) {
            *work = work.saturating_sub(charge);
            if *work == 0 {
                self.outstanding.remove(bucket);
            }
        }
    }

    fn record_acceptance(&mut self, job: &JobCharge) {
        let at = job.accepted_at;
        self.recent_work.entry(job.bucket.clone()).or_default().add(job.charge as f64, at);
        let Some(tag) = job.tag.as_ref().filter(|tag| !tag.host.is_empty()) else { return };
        let current = self.epochs.get(&tag.host).map_or(0, |(record, _)| record.epoch);
        if tag.epoch >= current {
            let spent = self.spent.entry((tag.host.clone(), tag.epoch)).or_default();
            *spent.entry(tag.bucket.clone()).or_default() += tag.charge;
        }
    }

    /// Sets the revision of the state service up to which all changes have been applied.
    pub fn set_applied_revision(&mut self, revision: u64) {
        self.applied_revision = revision;
        self.ended_credit.retain(|ended| ended.revision > revision);
    }

    /// The policy record and its version.
    pub fn policy(&self) -> Option<&(PolicyRecord, u64)> {
        self.policy.as_ref()
    }

    /// A controller's epoch record and its version.
    pub fn epoch(&self, host: &str) -> Option<&(EpochRecord, u64)> {
        self.epochs.get(host)
    }

    /// The epoch records of all controllers, by controller name.
    pub fn epochs(&self) -> impl Iterator<Item = (&String, &EpochRecord)> {
        self.epochs.iter().map(|(host, (record, _))| (host, record))
    }

    /// The grant pages and their versions, by page number.
    pub fn pages(&self) -> &BTreeMap<u32, (GrantPage, u64)> {
        &self.pages
    }

    /// The reservations record and its version.
    pub fn reservations(&self) -> &(ReservationsRecord, u64) {
        &self.reservations
    }

    /// The reservation for a job, if the job has not been accepted yet.
    pub fn unspent_reservation(&self, id: &str) -> Option<&Reservation> {
        self.reservations.0.jobs.get(id).filter(|_| !self.spent_reservations.contains(id))
    }

    fn unspent_reservations(&self) -> impl Iterator<Item = (&String, &Reservation)> {
        self.reservations.0.jobs.iter().filter(|(id, _)| !self.spent_reservations.contains(*id))
    }

    /// Whether a job has been accepted and has not ended, or has spent its reservation.
    pub fn is_accepted(&self, id: &str) -> bool {
        self.open_jobs.contains_key(id) || self.spent_reservations.contains(id)
    }

    /// A controller's grant in its current epoch, and the number of the page that holds it.
    pub fn grant(&self, host: &str) -> Option<(u32, &HostGrant)> {
        let (epoch, _) = self.epochs.get(host)?;
        let mut pages =
            self.pages.iter().filter_map(|(page, (record, _))| Some((*page, record.hosts.get(host)?)));
        pages.find(|(_, grant)| grant.epoch == epoch.epoch)
    }

    /// A controller's ceilings in its current epoch, by bucket.
    pub fn ceilings(&self, host: &str) -> BTreeMap<Bucket, u64> {
        self.grant(host).map(|(_, grant)| grant.ceilings.clone()).unwrap_or_default()
    }

    /// What a controller has spent in its current epoch, by bucket.
    pub fn spent_by(&self, host: &str) -> BTreeMap<Bucket, u64> {
        let epoch = self.epochs.get(host).map_or(0, |(record, _)| record.epoch);
        self.spent.get(&(host.to_string(), epoch)).cloned().unwrap_or_default()
    }

    /// Credit that a controller has been granted and has not spent, by bucket.
    pub fn unspent(&self, host: &str) -> BTreeMap<Bucket, u64> {
        let spent = self.spent_by(host);
        let unspent =
            |bucket: &Bucket, ceiling: u64| ceiling.saturating_sub(spent.get(bucket).copied().unwrap_or(0));
        let all =
            self.ceilings(host).into_iter().map(|(bucket, ceiling)| (unspent(&bucket, ceiling), bucket));
        all.filter(|(unspent, _)| *unspent > 0).map(|(unspent, bucket)| (bucket, unspent)).collect()
    }

    fn unspent_total_of(&self, host: &str) -> u64 {
        self.unspent(host).values().sum()
    }

    /// Recently accepted work in one bucket, decayed to `now` (Unix seconds).
    pub fn recent_work_of(&self, bucket: &Bucket, now: f64) -> f64 {
        self.recent_work.get(bucket).map_or(0.0, |recent| recent.value_at(now))
    }

    /// All credit that may still be spent, or may have been spent by jobs that the ledger does not
    /// know yet.
    pub fn outstanding_credit(&self) -> u64 {
        let unspent: u64 = self.epochs.keys().map(|host| self.unspent_total_of(host)).sum();
        let ended_credit: u64 = self.ended_credit.iter().map(|ended| ended.unspent).sum();
        unspent + ended_credit + self.reserved_total()
    }

    fn reserved_total(&self) -> u64 {
        self.unspent_reservations().map(|(_, reservation)| reservation.charge).sum()
    }

    /// Upper bound of the number of jobs that can be accepted with all outstanding credit.
    pub fn jobs_covered_by_credit(&self) -> u64 {
        let jobs_of = |host: &String| {
            let min_charge = self.epochs.get(host).map_or(1, |(record, _)| record.min_charge.max(1));
            self.unspent_total_of(host) / min_charge
        };
        let min_charge = self.epochs.values().map(|(record, _)| record.min_charge.max(1)).min().unwrap_or(1);
        let ended_jobs: u64 = self.ended_credit.iter().map(|ended| ended.unspent / min_charge).sum();
        let reserved_jobs = u64::try_from(self.unspent_reservations().count()).unwrap_or(u64::MAX);
        self.epochs.keys().map(jobs_of).sum::<u64>() + ended_jobs + reserved_jobs
    }

    /// Total charge of the accepted jobs that have not ended, in processor-seconds.
    pub fn outstanding_work(&self) -> u64 {
        self.outstanding_total
    }

    /// Number of accepted jobs that have not ended.
    pub fn outstanding_jobs(&self) -> u64 {
        u64::try_from(self.open_jobs.len()).unwrap_or(u64::MAX)
    }

    /// Total charge of the accepted jobs that have not ended, by bucket.
    pub fn outstanding_by_bucket(&self) -> &BTreeMap<Bucket, u64> {
        &self.outstanding
    }

    /// Recently accepted work by bucket, decayed to `now` (Unix seconds).
    pub fn recent_work(&self, now: f64) -> BTreeMap<Bucket, f64> {
        self.recent_work.iter().map(|(bucket, recent)| (bucket.clone(), recent.value_at(now))).collect()
    }
}
