//! Which layout of the records is in force, how values are written in it, and
//! the one switch from the first layout to the second.
//!
//! The switch is a record. The leader writes it once every configured member
//! has a mark that says that it was once seen to know the new layout; nothing
//! else tells that it was made. Until a process has read that record it writes
//! what the first version can read.

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
    /// Whether some member may still be of the first version.
    pub fn is_mixed(&self) -> bool {
        self.format < NEWEST_LAYOUT
    }

    /// What the state service takes. Once the layout allows it, all is kept
    /// within what it will take some day, since it does not say when.
    pub fn limits(&self) -> SizeLimits {
        let state = &self.settings.params.state;
        if self.is_mixed() { state.present() } else { state.lasting() }
    }

    /// A job's record as it is written now.
    pub fn job_value(&self, record: &JobRecord) -> Value {
        if self.is_mixed() { legacy::write_job(record) } else { to_value(record) }
    }

    /// A record of what runs as it is written now.
    pub(super) fn segment_value(&self, id: SegmentId, record: &SegmentRecord) -> Value {
        if id.segment.is_none() { legacy::write_segment(record) } else { to_value(record) }
    }

    /// A group of machines as it is written now.
    pub(super) fn group_value(&self, record: &GroupRecord) -> Value {
        if self.is_mixed() { legacy::write_group(record) } else { to_value(record) }
    }

    /// Takes over the record of the layout in force.
    pub(super) fn apply_format(&mut self, layout: u32, now: Instant) {
        if layout > NEWEST_LAYOUT {
            // Nothing that this process would do now could be right.
            self.ended =
                Some(format!("the records have layout {layout}, this program knows {NEWEST_LAYOUT}"));
            self.wakeups.end = true;
            return;
        }
        if layout <= self.format {
            return;
        }
        self.format = layout;
        tracing::info!(layout, "all members know the new layout of the records: it is in force");
        let held: Vec<u32> = self.role.leased_shards.keys().copied().collect();
        held.into_iter().for_each(|shard| self.plan_migration(shard, now));
        self.wakeups.role = true;
        self.wakeups.flush = true;
        self.wakeups.fleet = true;
    }

    /// The transaction by which this process leaves its mark, if it is missing.
    pub fn mark_transaction(&self) -> Option<Transaction> {
        let host = &self.settings.host_name;
        if self.known_layouts.get(host).is_some_and(|known| *known >= NEWEST_LAYOUT) {
            return None;
        }
        let key = records::known_layout_key(host);
        let conditions = vec![Condition { key: key.clone(), version: self.version(&key) }];
        let value = to_value(&LayoutRecord { layout: NEWEST_LAYOUT });
        Some(Transaction { conditions, changes: vec![Change::Set { key, value, lease: None }] })
    }

    /// The transaction of the switch, once this leader may make it.
    pub fn switch_transaction(&self) -> Option<Transaction> {
        let leadership = self.role.leadership.filter(|l| *l <= self.applied_revision)?;
        let members = self.settings.peers.iter().map(|p| &p.host_name);
        let mut members = members.chain([&self.settings.host_name]);
        let all =
            members.all(|host| self.known_layouts.get(host).is_some_and(|known| *known >= NEWEST_LAYOUT));
        if !self.is_mixed() || !all || self.version(records::LAYOUT_KEY) > 0 {
            return None;
        }
        let conditions = vec![
            Condition { key: records::LEADER_KEY.into(), version: leadership },
            Condition { key: records::LAYOUT_KEY.into(), version: 0 },
        ];
        let value = to_value(&LayoutRecord { layout: NEWEST_LAYOUT });
        let change = Change::Set { key: records::LAYOUT_KEY.into(), value, lease: None };
        Some(Transaction { conditions, changes: vec![change] })
    }
}
