//! What one controller may still accept: its ceilings less all that it has spent, in
//! flight, or that may yet turn out to be spent.

use crate::records::{Bucket, CreditTag, EpochRecord, HostGrant};
use std::collections::BTreeMap;

/// Why nothing can be spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// This process has no epoch yet, or has none any more.
    NoEpoch,
    /// What is left does not cover the job.
    NoCredit,
}

/// What a submission spends, and what it is bound to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spending {
    /// Goes into the job's record.
    pub tag: CreditTag,
    /// The version of the epoch's record that must be unchanged.
    pub epoch_version: u64,
}

/// How a submission ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
    /// Its record is committed.
    Committed,
    /// It was not carried out, and never will be.
    NotCommitted,
    /// Nobody knows; it may yet be carried out.
    Unknown,
}

/// A spending that is not settled.
#[derive(Debug, Clone)]
struct Pending {
    spending: Spending,
    /// Submissions of the job that are under way: a user may ask again before the first
    /// answer, and only the last one to end tells whether none was made.
    in_flight: u32,
    /// Whether an earlier submission may yet be carried out.
    unknown: bool,
}

/// One controller process's credit.
#[derive(Debug, Clone)]
pub struct Spender {
    host: String,
    identity: String,
    epoch: Option<(u64, u64)>,
    ceilings: BTreeMap<Bucket, u64>,
    /// By bucket, all that was spent in this epoch or may have been.
    spent: BTreeMap<Bucket, u64>,
    pending: BTreeMap<String, Pending>,
}

impl Spender {
    /// A process that has no credit yet.
    pub fn new(host: &str, identity: &str) -> Spender {
        Spender {
            host: host.to_string(),
            identity: identity.to_string(),
            epoch: None,
            ceilings: BTreeMap::new(),
            spent: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Takes over the record of this controller's epoch. What an earlier epoch left
    /// unspent is gone, and so is what an earlier process had.
    pub fn apply_epoch(&mut self, record: Option<&EpochRecord>, version: u64) {
        let own = record.filter(|record| record.identity == self.identity);
        let epoch = own.map(|record| (record.epoch, version));
        if epoch != self.epoch {
            self.epoch = epoch;
            self.ceilings.clear();
            self.spent.clear();
            // Those in flight are bound to the earlier epoch: they fail, or were made
            // before it ended.
            self.pending.clear();
        }
    }

    /// Takes over a grant. A ceiling never falls within an epoch, so an older copy of
    /// the record does no harm.
    pub fn apply_grant(&mut self, grant: &HostGrant) {
        if self.epoch.is_none_or(|(epoch, _)| epoch != grant.epoch) {
            return;
        }
        for (bucket, ceiling) in &grant.ceilings {
            let known = self.ceilings.entry(bucket.clone()).or_default();
            *known = (*known).max(*ceiling);
        }
    }

    fn unspent(&self, bucket: &Bucket) -> u64 {
        let amount_of = |amounts: &BTreeMap<Bucket, u64>| amounts.get(bucket).copied().unwrap_or(0);
        amount_of(&self.ceilings).saturating_sub(amount_of(&self.spent))
    }

    /// Whether this process has an epoch.
    pub fn has_epoch(&self) -> bool {
        self.epoch.is_some()
    }

    /// What is left for a bucket's jobs.
    pub fn available(&self, bucket: &Bucket) -> u64 {
        self.unspent(bucket).max(self.unspent(&Bucket::shared()))
    }

    /// Sets credit aside for a job: of its own bucket, or of what any job may draw on. A
    /// job whose last submission is not settled spends the same again, since only one of
    /// both can create its record.
    pub fn spend(&mut self, job: &str, bucket: &Bucket, charge: u64) -> Result<Spending, Refusal> {
        let Some((epoch, epoch_version)) = self.epoch else { return Err(Refusal::NoEpoch) };
        if let Some(pending) = self.pending.get_mut(job) {
            pending.in_flight += 1;
            return Ok(pending.spending.clone());
        }
        let shared = Bucket::shared();
        let from = [bucket, &shared].into_iter().find(|bucket| self.unspent(bucket) >= charge);
        let Some(from) = from else { return Err(Refusal::NoCredit) };
        *self.spent.entry(from.clone()).or_default() += charge;
        let tag = CreditTag { host: self.host.clone(), epoch, bucket: from.clone(), charge };
        let spending = Spending { tag, epoch_version };
        self.pending
            .insert(job.to_string(), Pending { spending: spending.clone(), in_flight: 1, unknown: false });
        Ok(spending)
    }

    /// Notes how a submission ended. What is unknown counts as spent until the job's
    /// record tells, or the epoch ends.
    pub fn settle(&mut self, job: &str, spending: &Spending, settlement: Settlement) {
        let Some(pending) = self.pending.get_mut(job).filter(|pending| pending.spending == *spending) else {
            return;
        };
        pending.in_flight = pending.in_flight.saturating_sub(1);
        pending.unknown |= settlement == Settlement::Unknown;
        let committed = settlement == Settlement::Committed;
        let never_committed = pending.in_flight == 0 && !pending.unknown;
        if committed || never_committed {
            self.pending.remove(job);
        }
        if !committed && never_committed {
            self.refund(&spending.tag);
        }
    }

    /// Takes over a job's record: it settles a submission of which nothing was known. A
    /// record with another tag proves that this one was not and never will be made.
    pub fn observe_job(&mut self, job: &str, tag: Option<&CreditTag>) {
        let Some(pending) = self.pending.get(job).filter(|pending| pending.in_flight == 0) else { return };
        let own = pending.spending.tag.clone();
        self.pending.remove(job);
        if tag != Some(&own) {
            self.refund(&own);
        }
    }

    fn refund(&mut self, tag: &CreditTag) {
        if self.epoch.is_some_and(|(epoch, _)| epoch == tag.epoch)
            && let Some(spent) = self.spent.get_mut(&tag.bucket)
        {
            *spent = spent.saturating_sub(tag.charge);
        }
    }

    /// Credit that is set aside for submissions of which nothing is known.
    pub fn unsettled_credit(&self) -> u64 {
        let unknown = self.pending.values().filter(|pending| pending.in_flight == 0);
        unknown.map(|pending| pending.spending.tag.charge).sum()
    }
}
