//! The layout of the stored records: which one is in force, how values are written in
//! it, and the one-time switch from layout 1 to layout 2.
//!
//! Every controller writes a record that says which layout it supports. When those of
//! all configured members support layout 2, the leader writes the record of the layout
//! in force, and only that record means that the switch has been made. Until a process
//! has read it, it writes values that programs of the first version can read.

use super::Core;
use crate::legacy;
use crate::records::{self, GroupRecord, JobRecord, LayoutRecord, NEWEST_LAYOUT, SegmentId, SegmentRecord};
use dapplecroft_wire::settings::SizeLimits;
use dapplecroft_wire::state::{Change, Condition, Transaction};
use serde::Serialize;
use serde_json::Value;
use std::time::Instant;

pub(super) fn to_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}

impl Core {
    /// Whether records are still written in layout 1, because a member may still run
    /// the first version of the program.
    pub fn uses_legacy_layout(&self) -> bool {
        self.active_layout < NEWEST_LAYOUT
    }

    /// Size limits of the state service that records and transactions must respect. In
    /// layout 2 they include the announced future limits, since the state service does
    /// not announce when those will apply.
    pub fn limits(&self) -> SizeLimits {
        let state = &self.settings.params.state;
        if self.uses_legacy_layout() { state.current_limits() } else { state.lowest_limits() }
    }

    /// Encodes a job's record in the layout in force.
    pub fn job_value(&self, record: &JobRecord) -> Value {
        if self.uses_legacy_layout() { legacy::write_job(record) } else { to_value(record) }
    }

    /// Encodes a segment's record; that of a whole shard always in layout 1.
    pub(super) fn segment_value(&self, id: SegmentId, record: &SegmentRecord) -> Value {
        if id.segment.is_none() { legacy::write_segment(record) } else { to_value(record) }
    }

    /// Encodes a machine group's record in the layout in force.
    pub(super) fn group_value(&self, record: &GroupRecord) -> Value {
        if self.uses_legacy_layout() { legacy::write_group(record) } else { to_value(record) }
    }

    /// Applies the record of the layout in force. If this program does not support that
    /// layout, the process ends.
    pub(super) fn apply_layout(&mut self, layout: u32, now: Instant) {
        if layout > NEWEST_LAYOUT {
            // This process could neither read the records nor write valid ones.
            self.shutdown_reason = Some(format!(
                "records use layout {layout}, but this program supports layouts up to {NEWEST_LAYOUT}"
            ));
            self.wakeups.shutdown = true;
            return;
        }
        if layout <= self.active_layout {
            return;
        }
        self.active_layout = layout;
        tracing::info!(layout, "all members support the new record layout; it is now in force");
        let held: Vec<u32> = self.role.leased_shards.keys().copied().collect();
        held.into_iter().for_each(|shard| self.plan_migration(shard, now));
        self.wakeups.role = true;
        self.wakeups.commit = true;
        self.wakeups.fleet = true;
    }

    /// The transaction that records which layout this process supports, if that is not
    /// recorded yet.
    pub fn supported_layout_transaction(&self) -> Option<Transaction> {
        let host = &self.settings.host_name;
        if self.known_layouts.get(host).is_some_and(|known| *known >= NEWEST_LAYOUT) {
            return None;
        }
        let key = records::known_layout_key(host);
        let conditions = vec![Condition { key: key.clone(), version: self.version(&key) }];
        let value = to_value(&LayoutRecord { layout: NEWEST_LAYOUT });
        Some(Transaction { conditions, changes: vec![Change::Set { key, value, lease: None }] })
    }

    /// The transaction that switches the layout, if this process leads, its replica has
    /// caught up with the start of its term, and all members support the new layout.
    pub fn layout_switch_transaction(&self) -> Option<Transaction> {
        let leader_term = self.role.leader_key_version.filter(|l| *l <= self.applied_revision)?;
        let members = self.settings.peers.iter().map(|p| &p.host_name);
        let mut members = members.chain([&self.settings.host_name]);
        let all =
            members.all(|host| self.known_layouts.get(host).is_some_and(|known| *known >= NEWEST_LAYOUT));
        if !self.uses_legacy_layout() || !all || self.version(records::LAYOUT_KEY) > 0 {
            return None;
        }
        let conditions = vec![
            Condition { key: records::LEADER_KEY.into(), version: leader_term },
            Condition { key: records::LAYOUT_KEY.into(), version: 0 },
        ];
        let value = to_value(&LayoutRecord { layout: NEWEST_LAYOUT });
        let change = Change::Set { key: records::LAYOUT_KEY.into(), value, lease: None };
        Some(Transaction { conditions, changes: vec![change] })
    }
}
