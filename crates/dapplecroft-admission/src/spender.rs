//! How much credit one controller process may still spend: its ceilings less the credit of
//! committed submissions, of submissions in flight, and of submissions with an unknown outcome.

use crate::records::{Bucket, CreditTag, EpochRecord, HostGrant};
use std::collections::BTreeMap;

/// Why credit for a job can't be spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// This process has not been assigned an epoch yet, or its epoch has ended.
    NoEpoch,
    /// The unspent credit does not cover the job's charge.
    NoCredit,
}

/// The credit that a submission spends, and the condition of its transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spending {
    /// Credit tag to be written into the job's record.
    pub tag: CreditTag,
    /// Version of the epoch record; the transaction must be conditional on it.
    pub epoch_version: u64,
}

/// The outcome of a submission's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
    /// The job's record is committed.
    Committed,
    /// The transaction was not committed and never will be.
    NotCommitted,
    /// The outcome is unknown; the transaction may still commit later.
    Unknown,
}

/// Credit set aside for a job whose submission is not settled.
#[derive(Debug, Clone)]
struct Pending {
    spending: Spending,
    /// Number of submissions of the job in flight. A user may submit the job again before the
    /// first answer, and only after the last of them is settled is it certain that none committed.
    in_flight: u32,
    /// Whether a submission with an unknown outcome may still commit.
    unknown: bool,
}

/// The credit of one controller process.
#[derive(Debug, Clone)]
pub struct Spender {
    host: String,
    identity: String,
    /// Epoch of this process, and the version of the epoch record.
    epoch: Option<(u64, u64)>,
    ceilings: BTreeMap<Bucket, u64>,
    /// Credit that was or may have been spent in this epoch, by bucket.
    spent: BTreeMap<Bucket, u64>,
    /// Unsettled submissions, by job id.
    pending: BTreeMap<String, Pending>,
}

impl Spender {
    /// Creates the spender of a process that has no credit yet.
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

    /// Applies this controller's epoch record. When the epoch changes, credit left unspent in the
    /// earlier epoch, or granted to an earlier process, is lost.
    pub fn apply_epoch(&mut self, record: Option<&EpochRecord>, version: u64) {
        let own = record.filter(|record| record.identity == self.identity);
        let epoch = own.map(|record| (record.epoch, version));
        if epoch != self.epoch {
            self.epoch = epoch;
            self.ceilings.clear();
            self.spent.clear();
            // Submissions in flight are conditional on the earlier epoch record: either they
            // committed before the epoch ended, or they fail.
            self.pending.clear();
        }
    }

    /// Applies a grant. A ceiling never falls within an epoch, so applying a stale copy of the
    /// record is harmless.
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

    /// Whether this process has been assigned an epoch.
    pub fn has_epoch(&self) -> bool {
        self.epoch.is_some()
    }

    /// The largest charge that a job of this bucket can be accepted with: a job is charged either
    /// to its own bucket or to the shared one, never to both.
    pub fn available(&self, bucket: &Bucket) -> u64 {
        self.unspent(bucket).max(self.unspent(&Bucket::shared()))
    }

    /// Sets credit aside for a job, from its own bucket or else from the shared bucket. If an
    /// earlier submission of the job is not settled, the same credit is used for both, because only
    /// one of them can create the job's record.
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

    /// Records the outcome of a submission. Credit of a submission with an unknown outcome counts as
    /// spent until the job's record shows the outcome or the epoch ends.
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

    /// Applies a job's record, which settles a submission with an unknown outcome. A record with
    /// another tag proves that this controller's submission did not commit and never will.
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

    /// Credit that is set aside for submissions with an unknown outcome.
    pub fn unsettled_credit(&self) -> u64 {
        let unknown = self.pending.values().filter(|pending| pending.in_flight == 0);
        unknown.map(|pending| pending.spending.tag.charge).sum()
    }
}
