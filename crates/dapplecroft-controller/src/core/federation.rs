//! Hand-overs of whole jobs to and from other cells, as far as records go. What may be
//! answered and committed is decided in `dapplecroft-federation`; here it becomes units
//! that are bound to the leader's key and to all records that the decision rests on.

mod home;
mod host;
mod status;

pub use home::{NotAway, OfferUpdate, OutgoingTransfer};
pub use host::{IncomingTransfer, TransferPlan};

use crate::records;
use dapplecroft_federation::{CellId, Epoch, Origin, RefusalRecord, WatermarkRecord};
use dapplecroft_wire::state::Condition;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is known of hand-overs.
#[derive(Debug, Default)]
pub(crate) struct FederationState {
    /// Jobs here that other cells answer for.
    pub hosted_jobs: BTreeMap<Arc<str>, Origin>,
    /// Transfers from other cells that were refused or given back, by cell, incarnation
    /// and job.
    refusals: BTreeMap<(String, u64, String), RefusalRecord>,
    /// What other cells have finished.
    watermarks: BTreeMap<String, WatermarkRecord>,
    /// How many offers this leader has made.
    offer_count: u64,
    /// Offers of this leader whose transaction may still be carried out: the version of
    /// the job's record that they are bound to, and the epoch.
    pending_offers: BTreeMap<Arc<str>, (u64, Epoch)>,
}

impl FederationState {
    pub(super) fn apply_refusal(
        &mut self,
        cell: &str,
        incarnation: u64,
        job: &str,
        record: Option<RefusalRecord>,
    ) {
        let key = (cell.to_string(), incarnation, job.to_string());
        match record {
            Some(record) => self.refusals.insert(key, record),
            None => self.refusals.remove(&key),
        };
    }

    pub(super) fn apply_watermark(&mut self, cell: &str, record: Option<WatermarkRecord>) {
        match record {
            Some(record) => self.watermarks.insert(cell.to_string(), record),
            None => self.watermarks.remove(cell),
        };
    }

    /// A new leader: transactions of earlier ones fail on the leader's key.
    pub(super) fn begin_term(&mut self) {
        self.offer_count = 0;
        self.pending_offers.clear();
    }

    fn watermark(&self, cell: &str) -> WatermarkRecord {
        self.watermarks.get(cell).copied().unwrap_or_default()
    }
}

impl super::Core {
    /// Whether this process may act for its cell towards others: as leader whose copy
    /// has caught up, once every member can read the records of hand-overs.
    pub fn may_act_for_cell(&self, now: std::time::Instant) -> bool {
        self.options.federation.is_some() && !self.uses_legacy_layout() && self.leads(now)
    }

    /// Whether another cell answers for a job that is here.
    pub fn is_hosted(&self, id: &str) -> bool {
        self.federation.hosted_jobs.contains_key(id)
    }

    pub(in crate::core) fn leader_condition(&self) -> Option<Condition> {
        let version = self.role.leadership?;
        Some(Condition { key: records::LEADER.into(), version })
    }

    pub(in crate::core) fn unchanged_condition(&self, key: String) -> Condition {
        let version = self.version(&key);
        Condition { key, version }
    }

    fn own_cell(&self) -> Option<&CellId> {
        self.options.federation.as_ref().map(|federation| &federation.cell)
    }
}

#[cfg(test)]
mod tests;
