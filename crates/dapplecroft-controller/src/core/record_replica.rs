//! The replica of the state service's records, and the consequences of each change to it.

use super::{CommitTarget, Core};
use crate::jobs::{AwayJob, Job, OpenJob, Placement, StopReason, TaskId};
use crate::legacy;
use crate::records::{
    CompletedTasksRecord, JobRecord, JobStage, Key, LayoutRecord, LeaderRecord, LivenessRecord, SegmentId,
    SegmentRecord, ShardRecord,
};
use dapplecroft_wire::cloud::{Catalog, MachineType};
use dapplecroft_wire::state::{Item, WatchResponse};
use dapplecroft_wire::users::Priority;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Instant;

/// One page of the machine types. The catalog is stored in several records, since it may exceed the
/// size limit of one value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct CatalogPage {
    /// Number of pages of the whole catalog.
    #[serde(rename = "of")]
    pub total: u32,
    /// Machine types on this page.
    #[serde(rename = "hulls")]
    pub machine_types: Vec<MachineType>,
}

/// At most this many unreadable records are logged one by one.
const MAX_LOGGED_UNREADABLE: u64 = 50;

impl Core {
    /// Replaces the replica with a complete listing of the records at a revision. Changes known to
    /// be newer than that revision are kept.
    pub fn load_snapshot(&mut self, items: Vec<Item>, revision: u64, now: Instant) {
        let present: HashSet<&str> = items.iter().map(|i| i.key.as_str()).collect();
        let deleted: Vec<String> = self
            .record_versions
            .iter()
            .filter(|(key, version)| **version <= revision && !present.contains(key.as_str()))
            .map(|(key, _)| key.clone())
            .collect();
        for key in deleted {
            self.apply(&key, None, revision, now);
        }
        // The listing is sorted by key, and the keys of jobs and machine groups come before those
        // of placements, which refer to them.
        for item in items {
            self.apply(&item.key, Some(item.value), item.version, now);
        }
        self.loaded = true;
        self.advance_applied_revision(revision);
    }

    /// Notes that all changes up to a revision have been applied, and takes the decisions that
    /// waited for that.
    pub fn advance_applied_revision(&mut self, revision: u64) {
        self.applied_revision = self.applied_revision.max(revision);
        let applied_revision = self.applied_revision;
        self.deleted_versions.retain(|_, at| *at > applied_revision);
        self.set_credit_revision(applied_revision);
        while let Some(&(sent, at)) = self.role.unapplied_confirmations.front() {
            if at > applied_revision {
                break;
            }
            self.role.last_confirmation_sent = self.role.last_confirmation_sent.max(Some(sent));
            self.role.unapplied_confirmations.pop_front();
        }
        let settled: Vec<Arc<str>> = self
            .unsettled_jobs
            .iter()
            .filter(|id| self.open_job(id).is_none_or(|j| j.usage_known_at_revision() <= applied_revision))
            .cloned()
            .collect();
        for id in settled {
            self.unsettled_jobs.remove(&id);
            self.refresh_job(&id);
            self.commit_if_finished(&id);
        }
        self.remove_departed_machines(Instant::now());
        // The replica may now be complete enough for a shard that was leased to this process, or
        // for the work as leader, to begin.
        let is_applied = |version: u64| version <= applied_revision;
        let leased = self.shards.iter().any(|(number, (record, version))| {
            record.identity == self.identity
                && is_applied(*version)
                && !self.role.leased_shards.contains_key(number)
        });
        if leased || self.role.leader_key_version.is_some_and(is_applied) && !self.fleet.has_started() {
            self.wakeups.role = true;
        }
    }

    /// Returns the known version of a key, or 0 if the key is not known to exist.
    pub fn version(&self, key: &str) -> u64 {
        self.record_versions.get(key).copied().unwrap_or(0)
    }

    /// Applies the changes that a watch returned and advances the applied revision.
    pub fn apply_watch(&mut self, followed: WatchResponse, now: Instant) {
        // The changes are in no particular order and may include only the last one of each key.
        // Records that others refer to are applied first, so that no record refers to a job or a
        // machine that is not known yet.
        let mut log = followed.log;
        log.sort_by_key(|l| {
            let key = l.set.as_deref().or(l.drop.as_deref()).unwrap_or_default();
            let class = match Key::parse(key) {
                Some(Key::LayoutInForce | Key::Job(_) | Key::CompletedTasks(..)) => 0,
                Some(Key::MachineGroup(_)) => 1,
                _ => 2,
            };
            (class, l.version)
        });
        for change in log {
            match (change.set, change.drop) {
                (Some(key), _) => self.apply(&key, change.data, change.version, now),
                (None, Some(key)) => self.apply(&key, None, change.version, now),
                (None, None) => {}
            }
        }
        self.advance_applied_revision(followed.revision);
    }

    /// Applies one change to the replica. A change can arrive from the watch, from this process's
    /// own commits and from single reads, so one that is not newer than the known version is
    /// ignored.
    pub fn apply(&mut self, key: &str, value: Option<Value>, version: u64, now: Instant) {
        if !self.advance_version(key, value.is_some(), version) {
            return;
        }
        match Key::parse(key) {
            Some(Key::LayoutInForce) => {
                if let Some(record) = self.parse_record::<LayoutRecord>(key, value) {
                    self.apply_layout(record.layout, now);
                }
            }
            Some(Key::KnownLayout(host)) => {
                if let Some(record) = self.parse_record::<LayoutRecord>(key, value) {
                    self.apply_known_layout(host, record);
                }
            }
            Some(parsed @ (Key::Refusal(..) | Key::Watermark(_))) => self.apply_transfer(key, parsed, value),
            Some(
                parsed @ (Key::AdmissionPolicy | Key::AdmissionEpoch(_) | Key::Grants(_) | Key::Reservations),
            ) => self.apply_credit_record(key, parsed, value, version),
            Some(Key::Job(id)) => self.apply_job_value(key, id, value, version, now),
            Some(Key::CompletedTasks(id, part)) => {
                let record = self.parse_record::<CompletedTasksRecord>(key, value);
                self.apply_completed_tasks(id, part, record);
            }
            Some(Key::Segment(id)) => {
                let size = value.as_ref().map_or(0, |v| v.to_string().len());
                if let Some(record) = self.read_segment(id, key, value) {
                    self.apply_segment(id, record, size, version, now);
                }
            }
            Some(Key::MachineGroup(name)) => {
                let deleted = value.is_none();
                let record = value.and_then(|v| self.log_if_unreadable(key, legacy::read_group(v)));
                if deleted || record.is_some() {
                    self.apply_group(name, record, version, now);
                }
            }
            Some(Key::Leader) => {
                let record = self.parse_record(key, value);
                self.apply_leader(record, version, now);
            }
            Some(Key::Shard(shard)) => {
                let record = self.parse_record(key, value);
                self.apply_shard(shard, record, version, now);
            }
            Some(Key::Liveness(host)) => {
                let record = self.parse_record(key, value);
                self.apply_live_controller(host, record, now);
            }
            Some(Key::Catalog(None)) => {
                if let Some(catalog) = self.parse_record::<Catalog>(key, value)
                    && self.catalog_pages.is_empty()
                {
                    self.set_machine_types(catalog);
                }
            }
            Some(Key::Catalog(Some(number))) => {
                let record = self.parse_record(key, value);
                self.apply_catalog_page(number, record);
            }
            Some(Key::Drain(shard)) => {
                match self.parse_record(key, value) {
                    Some(record) => self.drains.insert(shard, (record, version)),
                    None => self.drains.remove(&shard),
                };
            }
            None => tracing::debug!(key, "ignoring a key that this version of the program does not know"),
        }
    }

    /// Sets the known version of a key. Returns false, without a change, if the same or a newer
    /// version is known already.
    fn advance_version(&mut self, key: &str, exists: bool, version: u64) -> bool {
        let known = self.version(key).max(self.deleted_versions.get(key).copied().unwrap_or(0));
        if version <= known {
            return false;
        }
        if exists {
            self.deleted_versions.remove(key);
            self.record_versions.insert(key.to_string(), version);
        } else {
            self.record_versions.remove(key);
            if version > self.applied_revision {
                self.deleted_versions.insert(key.to_string(), version);
            }
        }
        true
    }

    /// Applies the record in which a controller states the highest layout that it supports.
    fn apply_known_layout(&mut self, host: &str, record: LayoutRecord) {
        let known = self.known_layouts.entry(host.to_string()).or_default();
        *known = record.layout.max(*known);
        self.wakeups.role = true;
    }

    /// Parses the record of a segment; returns an empty one if the record was deleted.
    fn read_segment(&mut self, id: SegmentId, key: &str, value: Option<Value>) -> Option<SegmentRecord> {
        match value {
            None => Some(SegmentRecord::default()),
            Some(value) if id.segment.is_none() => self.log_if_unreadable(key, legacy::read_segment(value)),
            Some(value) => self.parse_record(key, Some(value)),
        }
    }

    /// Applies the leader's record; resigns if another leader has replaced this process.
    fn apply_leader(&mut self, record: Option<LeaderRecord>, version: u64, now: Instant) {
        self.leader = record.map(|r| (r, version));
        self.wakeups.role = true;
        if self.role.leader_key_version.is_some_and(|own| own != version) {
            self.resign("the leader's key changed", now);
        }
    }

    /// Applies a shard's record; gives up the shard if it has been leased anew.
    fn apply_shard(&mut self, shard: u32, record: Option<ShardRecord>, version: u64, now: Instant) {
        match record {
            Some(record) => self.shards.insert(shard, (record, version)),
            None => self.shards.remove(&shard),
        };
        self.wakeups.role = true;
        if self.role.leased_shards.get(&shard).is_some_and(|own| own.version != version) {
            self.lose_shard(shard, "leased anew", now);
        }
    }

    fn apply_live_controller(&mut self, host: &str, record: Option<LivenessRecord>, now: Instant) {
        self.wakeups.role = true;
        let Some(record) = record else {
            self.live_controllers.remove(host);
            self.controller_live_since.remove(host);
            return;
        };
        let same_process =
            self.live_controllers.get(host).is_some_and(|live| live.identity == record.identity);
        if !same_process {
            self.controller_live_since.insert(host.to_string(), now);
        }
        self.live_controllers.insert(host.to_string(), record);
    }

    fn apply_catalog_page(&mut self, number: u32, record: Option<CatalogPage>) {
        match record {
            Some(record) => self.catalog_pages.insert(number, record),
            None => self.catalog_pages.remove(&number),
        };
        if let Some(catalog) = self.recorded_catalog() {
            self.set_machine_types(catalog);
        }
    }

    /// Sets the machine types from their records. The leader keeps those it has: it reads them from
    /// the cloud, with current prices.
    fn set_machine_types(&mut self, catalog: Catalog) {
        if self.role.leader_key_version.is_none() || self.catalog.is_none() {
            self.catalog = Some(catalog);
            self.set_machine_capacities();
        }
    }

    /// Assembles the machine types from their records. Returns `None` until all pages are known.
    pub(super) fn recorded_catalog(&self) -> Option<Catalog> {
        let total = self.catalog_pages.get(&0)?.total;
        let mut machine_types = Vec::new();
        for number in 0..total {
            let page = self.catalog_pages.get(&number).filter(|page| page.total == total)?;
            machine_types.extend(page.machine_types.iter().cloned());
        }
        Some(Catalog { machine_types })
    }

    /// Applies a record that holds completed tasks of a job outside the segments.
    fn apply_completed_tasks(&mut self, id: &str, part: u32, record: Option<CompletedTasksRecord>) {
        let id: Arc<str> = id.into();
        match record {
            Some(record) if !matches!(self.jobs.get(&id), Some(Job::Final { .. })) => {
                self.completed_records.entry(id.clone()).or_default().insert(part, record.done);
            }
            Some(_) => {
                self.obsolete_keys.insert(crate::records::completed_tasks_key(&id, part));
            }
            None => {
                if let Some(records) = self.completed_records.get_mut(&id) {
                    records.remove(&part);
                }
            }
        }
        let known = self.completed_records.get(&id).cloned().unwrap_or_default();
        if let Some(job) = self.open_job_mut(&id) {
            job.done_by_part = known;
            self.refresh_job(&id);
        }
    }

    /// Applies a record about jobs that another cell handed over: a transfer that was refused, or
    /// that cell's watermark, up to which it has finished its transfers.
    fn apply_transfer(&mut self, key: &str, parsed: Key, value: Option<Value>) {
        match parsed {
            Key::Refusal(cell, incarnation, job) => {
                let record = self.parse_record(key, value);
                self.federation.apply_refusal(cell, incarnation, job, record);
            }
            Key::Watermark(cell) => {
                let record = self.parse_record(key, value);
                self.federation.apply_watermark(cell, record);
            }
            _ => {}
        }
    }

    fn apply_job_value(&mut self, key: &str, id: &str, value: Option<Value>, version: u64, now: Instant) {
        let Some(value) = value else {
            return self.apply_deleted_job(id);
        };
        if let Some(record) = self.log_if_unreadable(key, legacy::read_job(value)) {
            self.apply_job(id, record, version, now);
        }
    }

    /// Applies the deletion of a job's record. Only jobs of other cells are deleted: those given
    /// back to their home cell, and those finished long ago.
    fn apply_deleted_job(&mut self, id: &str) {
        let id: Arc<str> = id.into();
        self.forget_job(&id);
        self.jobs.remove(&id);
        self.federation.hosted_jobs.remove(&id);
        self.remove_job_charge(&id);
    }

    fn apply_job(&mut self, id: &str, record: JobRecord, version: u64, now: Instant) {
        let id: Arc<str> = id.into();
        match &record.origin {
            Some(origin) => self.federation.hosted_jobs.insert(id.clone(), origin.clone()),
            None => self.federation.hosted_jobs.remove(&id),
        };
        self.apply_job_charge(&id, &record);
        if record.spec.is_none() {
            // The job is final for good. Only its stage and its number of completed tasks are
            // kept.
            self.forget_job(&id);
            let done = record.done.unwrap_or(0);
            self.jobs.insert(id, Job::Final { stage: record.stage, done });
            return;
        }
        if record.stage == JobStage::Away {
            return self.apply_away_job(&id, record, version);
        }
        match self.jobs.get_mut(&id) {
            Some(Job::Final { .. }) => return,
            Some(Job::Open(job)) => {
                // The record now contains allocations and revocations that were waiting to be
                // committed.
                for (shard, allocated) in &record.allocated {
                    if let Some(allocating) = job.allocating.get_mut(shard) {
                        *allocating = allocating.difference(allocated);
                    }
                }
                if !job.revoking.is_empty() {
                    job.last_revocation_version = version;
                    self.unsettled_jobs.insert(id.clone());
                }
                for (shard, revoked) in &mut job.revoking {
                    let still = record.allocated.get(shard).cloned().unwrap_or_default();
                    *revoked = revoked.difference(&revoked.difference(&still));
                }
                job.allocating.retain(|_, r| !r.is_empty());
                job.revoking.retain(|_, r| !r.is_empty());
                job.record = record;
                job.version = version;
            }
            Some(Job::Away(_)) | None => {
                let Some(job) = OpenJob::new(record, version, now) else { return };
                let mut job = job;
                job.done_by_part = self.completed_records.get(&id).cloned().unwrap_or_default();
                self.open_jobs.insert(id.clone());
                self.jobs.insert(id.clone(), Job::Open(Box::new(job)));
                self.record_job_arrival(&id, now);
                self.reapply_segments_with_job(&id, now);
            }
        }
        self.wakeups.place = true;
        self.stop_cancelled_job(&id);
        self.refresh_job(&id);
        self.withdraw_unallocated_proposals(&id);
        // Proposals that waited for this allocation can be committed now.
        if let Some(job) = self.open_job(&id) {
            let urgent = job.spec.priority < Priority::Normal;
            let segments: BTreeSet<SegmentId> =
                job.placed.values().filter(|p| !p.committed).map(|p| p.segment).collect();
            segments.into_iter().for_each(|segment| self.queue_segment_commit(segment, urgent));
        }
        self.commit_if_finished(&id);
    }

    /// Applies the record of a job that was handed over to another cell. The job takes no part in
    /// the scheduling of this cell.
    fn apply_away_job(&mut self, id: &Arc<str>, record: JobRecord, version: u64) {
        let last_answer = match self.jobs.get(id) {
            Some(Job::Final { .. }) => return,
            Some(Job::Away(job))
                if job.record.away.as_ref().map(|a| a.epoch) == record.away.as_ref().map(|a| a.epoch) =>
            {
                job.last_answer
            }
            _ => None,
        };
        self.forget_job(id);
        self.jobs.insert(id.clone(), Job::Away(Box::new(AwayJob { record, version, last_answer })));
        self.wakeups.federation = true;
    }

    /// Stops all tasks of a cancelled job and withdraws its proposals.
    fn stop_cancelled_job(&mut self, id: &Arc<str>) {
        let Some(Job::Open(job)) = self.jobs.get_mut(id) else { return };
        if job.is_open() {
            return;
        }
        for placed in job.placed.values_mut() {
            placed.stop_reason = Some(StopReason::JobCancelled);
            self.wakeups.command.insert(placed.machine.clone());
        }
        job.allocating.clear();
        job.revoking.clear();
        if job.version > self.applied_revision {
            self.unsettled_jobs.insert(id.clone());
        }
        self.withdraw_proposals(id);
    }

    /// Queues a commit that makes a job final if it is finished or cancelled. The leader does this;
    /// while there is no leader, any process that holds a shard may.
    pub(super) fn commit_if_finished(&mut self, id: &Arc<str>) {
        if self.role.leader_key_version.is_none() && (self.leader.is_some() || !self.has_role()) {
            return;
        }
        let Some(job) = self.open_job(id) else { return };
        let finished = if job.is_open() {
            job.done.len() == job.record.tasks
        } else {
            !job.placed.values().any(|p| p.committed)
        };
        if finished {
            self.queue_job_commit(id);
        }
    }

    /// Removes all that is derived from a job's records, and frees its machines and quota.
    fn forget_job(&mut self, id: &Arc<str>) {
        if let Some(Job::Open(job)) = self.jobs.get(id) {
            let resources = job.requirements.resources;
            let (team, counted) = (job.spec.team.clone(), job.counted_against_team);
            let placed: Vec<(u32, Placement)> = job.placed.iter().map(|(i, p)| (*i, p.clone())).collect();
            for (index, placed) in placed {
                self.remove_task_from_machine(&TaskId { job: id.clone(), index }, &placed, resources);
            }
            self.teams.add_usage(&team, resources.times(-counted));
            self.jobs.remove(id);
        }
        let completed_records = self.completed_records.remove(id).unwrap_or_default();
        self.obsolete_keys
            .extend(completed_records.keys().map(|part| crate::records::completed_tasks_key(id, *part)));
        self.commit_queue.forget_sent(&CommitTarget::Job(id.clone()));
        self.open_jobs.remove(id);
        self.waiting_jobs.remove(id);
    }

    /// Parses a record; returns `None` if the record was deleted or cannot be parsed.
    pub(super) fn parse_record<T: DeserializeOwned>(&mut self, key: &str, value: Option<Value>) -> Option<T> {
        self.log_if_unreadable(key, serde_json::from_value(value?))
    }

    /// Returns the parsed record. A record that cannot be parsed is left in the state service as it
    /// is, logged and counted.
    fn log_if_unreadable<T>(&mut self, key: &str, read: Result<T, serde_json::Error>) -> Option<T> {
        match read {
            Ok(record) => Some(record),
            Err(error) => {
                self.unreadable_records += 1;
                if self.unreadable_records <= MAX_LOGGED_UNREADABLE {
                    tracing::error!(
                        key,
                        %error,
                        all = self.unreadable_records,
                        "cannot parse a record of the state service; ignoring this change"
                    );
                }
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
