//! Hand-overs of whole jobs between cells: the records, and the updates that change them.
//!
//! `dapplecroft-federation` decides how a request or an answer is handled. This module turns
//! each decision into a transaction that is conditional on the leader's key and on every
//! record that the decision was based on.

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

/// Replica of the hand-over records, and the offers of this leader that are not yet settled.
#[derive(Debug, Default)]
pub(crate) struct FederationState {
    /// Jobs in this cell that belong to another cell (their home cell), by job id.
    pub hosted_jobs: BTreeMap<Arc<str>, Origin>,
    /// Transfers from other cells that this cell refused or returned, by home cell,
    /// incarnation of the home cell and job id.
    refusals: BTreeMap<(String, u64, String), RefusalRecord>,
    /// Watermark of each home cell: the epoch below which all its transfers to this cell
    /// are over. By cell name.
    watermarks: BTreeMap<String, WatermarkRecord>,
    /// Number of offers made in this leader's term; part of the epoch of the next offer.
    offer_count: u64,
    /// Offers of this leader whose transaction may still take effect, by job id: the version
    /// of the job's record that the transaction is conditional on, and the offer's epoch.
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

    /// Resets the state of this leader's offers at the start of a new term. Pending offers
    /// of an earlier term can be dropped, because their condition on the leader's key fails.
    pub(super) fn begin_term(&mut self) {
        self.offer_count = 0;
        self.pending_offers.clear();
    }

    fn watermark(&self, cell: &str) -> WatermarkRecord {
        self.watermarks.get(cell).copied().unwrap_or_default()
    }
}

impl super::Core {
    /// Whether this controller may exchange jobs with other cells on behalf of its own cell.
    /// It must be the leader with an up-to-date replica, and the current record layout must
    /// be in force, so that every member of the cell can read the hand-over records.
    pub fn may_act_for_cell(&self, now: std::time::Instant) -> bool {
        self.options.federation.is_some() && !self.uses_legacy_layout() && self.leads(now)
    }

    /// Whether a job in this cell belongs to another cell.
    pub fn is_hosted(&self, id: &str) -> bool {
        self.federation.hosted_jobs.contains_key(id)
    }

    /// Transaction condition that this controller is still the leader, in the same term.
    pub(in crate::core) fn leader_condition(&self) -> Option<Condition> {
        let version = self.role.leader_key_version?;
        Some(Condition { key: records::LEADER_KEY.into(), version })
    }

    /// Transaction condition that a record still has the version known to the replica.
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
