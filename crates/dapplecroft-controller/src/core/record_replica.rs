//! The copy of the records, and what follows from each change of it.

use super::{CommitTarget, Core};
use crate::jobs::{AwayJob, Job, OpenJob, Placed, Stop, TaskId};
use crate::legacy;
use crate::records::{
    CompletedTasksRecord, JobRecord, JobStage, Key, LayoutRecord, LeaderRecord, LiveRecord, SegmentId,
    SegmentRecord, ShardRecord,
};
use dapplecroft_wire::cloud::{Catalog, MachineType};
use dapplecroft_wire::state::{Followed, Item};
use dapplecroft_wire::users::Priority;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Instant;

/// Some of the machine types, and in how many records all of them are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct CatalogSegment {
    /// How many records there are.
    #[serde(rename = "of")]
    pub total: u32,
    /// The types in this one.
    #[serde(rename = "hulls")]
    pub machine_types: Vec<MachineType>,
}

/// Unreadable records are told of one by one up to so many.
const TOLD: u64 = 50;

impl Core {
    /// Takes over a full reading of the records.
    pub fn load(&mut self, items: Vec<Item>, revision: u64, now: Instant) {
        let present: HashSet<&str> = items.iter().map(|i| i.key.as_str()).collect();
        let vanished: Vec<String> = self
            .versions
            .iter()
            .filter(|(key, version)| **version <= revision && !present.contains(key.as_str()))
            .map(|(key, _)| key.clone())
            .collect();
        for key in vanished {
            self.apply(&key, None, revision, now);
        }
        // In the order of keys, jobs and machines come before placements.
        for item in items {
            self.apply(&item.key, Some(item.value), item.version, now);
        }
        self.loaded = true;
        self.caught_up(revision);
    }

    /// Notes that all changes up to a revision are known.
    pub fn caught_up(&mut self, revision: u64) {
        self.applied_revision = self.applied_revision.max(revision);
        let applied_revision = self.applied_revision;
        self.dropped.retain(|_, at| *at > applied_revision);
        self.note_applied_revision(applied_revision);
        while let Some(&(sent, at)) = self.role.pending.front() {
            if at > applied_revision {
                break;
            }
            self.role.contact = self.role.contact.max(Some(sent));
            self.role.pending.pop_front();
        }
        let settled: Vec<Arc<str>> = self
            .unsettled
            .iter()
            .filter(|id| self.open_job(id).is_none_or(|j| j.settles_at() <= applied_revision))
            .cloned()
            .collect();
        for id in settled {
            self.unsettled.remove(&id);
            self.rederive(&id);
            self.finish_if_over(&id);
        }
        self.remove_departed_machines(Instant::now());
        // What was leased to this process may be known well enough by now.
        let waits = |version: u64| version <= applied_revision;
        let leased = self.shards.iter().any(|(n, (b, version))| {
            b.identity == self.identity && waits(*version) && !self.role.leased_shards.contains_key(n)
        });
        if leased || self.role.leadership.is_some_and(waits) && !self.fleet.ready() {
            self.wakeups.role = true;
        }
    }

    /// The known version of a key; 0 if it is not known to exist.
    pub fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// Takes over what a watch brought, up to a revision.
    pub fn follow(&mut self, followed: Followed, now: Instant) {
        // Changes come in no order, and perhaps only the last one of each key:
        // what others refer to goes first, so that nothing refers to a job or a
        // machine that is not known yet.
        let mut log = followed.log;
        log.sort_by_key(|l| {
            let key = l.set.as_deref().or(l.drop.as_deref()).unwrap_or_default();
            let class = match Key::parse(key) {
                Some(Key::Format | Key::Job(_) | Key::CompletedTasks(..)) => 0,
                Some(Key::Group(_)) => 1,
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
        self.caught_up(followed.revision);
    }

    /// Takes over one change. Changes arrive from the watch, from own commits
    /// and from single readings, so one that is not newer is ignored.
    pub fn apply(&mut self, key: &str, value: Option<Value>, version: u64, now: Instant) {
        if !self.note_version(key, value.is_some(), version) {
            return;
        }
        match Key::parse(key) {
            Some(Key::Format) => {
                if let Some(record) = self.read::<LayoutRecord>(key, value) {
                    self.apply_layout(record.layout, now);
                }
            }
            Some(Key::Mark(host)) => {
                if let Some(record) = self.read::<LayoutRecord>(key, value) {
                    self.apply_mark(host, record);
                }
            }
            Some(parsed @ (Key::Refusal(..) | Key::Watermark(_))) => self.apply_transfer(key, parsed, value),
            Some(
                parsed @ (Key::AdmissionPolicy | Key::AdmissionEpoch(_) | Key::Grants(_) | Key::Reservations),
            ) => self.apply_credit_record(key, parsed, value, version),
            Some(Key::Job(id)) => self.apply_job_value(key, id, value, version, now),
            Some(Key::CompletedTasks(id, part)) => {
                let record = self.read::<CompletedTasksRecord>(key, value);
                self.apply_completed_tasks(id, part, record);
            }
            Some(Key::Segment(id)) => {
                let size = value.as_ref().map_or(0, |v| v.to_string().len());
                if let Some(record) = self.read_segment(id, key, value) {
                    self.apply_segment(id, record, size, version, now);
                }
            }
            Some(Key::Group(name)) => {
                let dropped = value.is_none();
                let record = value.and_then(|v| self.readable(key, legacy::read_group(v)));
                if dropped || record.is_some() {
                    self.apply_group(name, record, version, now);
                }
            }
            Some(Key::Leader) => {
                let record = self.read(key, value);
                self.apply_leader(record, version, now);
            }
            Some(Key::Shard(shard)) => {
                let record = self.read(key, value);
                self.apply_shard(shard, record, version, now);
            }
            Some(Key::Live(host)) => {
                let record = self.read(key, value);
                self.apply_live(host, record, now);
            }
            Some(Key::Catalog(None)) => {
                if let Some(catalog) = self.read::<Catalog>(key, value)
                    && self.catalog_segments.is_empty()
                {
                    self.know_types(catalog);
                }
            }
            Some(Key::Catalog(Some(number))) => {
                let record = self.read(key, value);
                self.apply_catalog_segment(number, record);
            }
            Some(Key::Drain(shard)) => {
                match self.read(key, value) {
                    Some(record) => self.drains.insert(shard, (record, version)),
                    None => self.drains.remove(&shard),
                };
            }
            None => tracing::debug!(key, "a key of another version of the program"),
        }
    }

    /// Notes the version of a key; `false`: as much or more is known already.
    fn note_version(&mut self, key: &str, exists: bool, version: u64) -> bool {
        let known = self.version(key).max(self.dropped.get(key).copied().unwrap_or(0));
        if version <= known {
            return false;
        }
        if exists {
            self.dropped.remove(key);
            self.versions.insert(key.to_string(), version);
        } else {
            self.versions.remove(key);
            if version > self.applied_revision {
                self.dropped.insert(key.to_string(), version);
            }
        }
        true
    }

    fn apply_mark(&mut self, host: &str, record: LayoutRecord) {
        let known = self.known_layouts.entry(host.to_string()).or_default();
        *known = record.layout.max(*known);
        self.wakeups.role = true;
    }

    /// The record of what runs in a segment; empty if it was dropped.
    fn read_segment(&mut self, id: SegmentId, key: &str, value: Option<Value>) -> Option<SegmentRecord> {
        match value {
            None => Some(SegmentRecord::default()),
            Some(value) if id.segment.is_none() => self.readable(key, legacy::read_segment(value)),
            Some(value) => self.read(key, Some(value)),
        }
    }

    fn apply_leader(&mut self, record: Option<LeaderRecord>, version: u64, now: Instant) {
        self.leader = record.map(|r| (r, version));
        self.wakeups.role = true;
        if self.role.leadership.is_some_and(|own| own != version) {
            self.resign("the leader's key changed", now);
        }
    }

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

    fn apply_live(&mut self, host: &str, record: Option<LiveRecord>, now: Instant) {
        self.wakeups.role = true;
        let Some(record) = record else {
            self.live_controllers.remove(host);
            self.controller_live_since.remove(host);
            return;
        };
        let same = self.live_controllers.get(host).is_some_and(|live| live.identity == record.identity);
        if !same {
            self.controller_live_since.insert(host.to_string(), now);
        }
        self.live_controllers.insert(host.to_string(), record);
    }

    fn apply_catalog_segment(&mut self, number: u32, record: Option<CatalogSegment>) {
        match record {
            Some(record) => self.catalog_segments.insert(number, record),
            None => self.catalog_segments.remove(&number),
        };
        if let Some(catalog) = self.recorded_types() {
            self.know_types(catalog);
        }
    }

    /// A leader has the types from the cloud, with the present prices.
    fn know_types(&mut self, catalog: Catalog) {
        if self.role.leadership.is_none() || self.catalog.is_none() {
            self.catalog = Some(catalog);
            self.set_machine_capacities();
        }
    }

    /// The machine types as their records say, once all of those are known.
    pub(super) fn recorded_types(&self) -> Option<Catalog> {
        let total = self.catalog_segments.get(&0)?.total;
        let mut machine_types = Vec::new();
        for number in 0..total {
            let segment = self.catalog_segments.get(&number).filter(|segment| segment.total == total)?;
            machine_types.extend(segment.machine_types.iter().cloned());
        }
        Some(Catalog { machine_types })
    }

    /// Completed tasks in a record of their own.
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
                if let Some(own) = self.completed_records.get_mut(&id) {
                    own.remove(&part);
                }
            }
        }
        let known = self.completed_records.get(&id).cloned().unwrap_or_default();
        if let Some(job) = self.open_job_mut(&id) {
            job.completed_records = known;
            self.rederive(&id);
        }
    }

    /// What was refused of another cell's transfers, or finished of them there.
    fn apply_transfer(&mut self, key: &str, parsed: Key, value: Option<Value>) {
        match parsed {
            Key::Refusal(cell, incarnation, job) => {
                let record = self.read(key, value);
                self.federation.apply_refusal(cell, incarnation, job, record);
            }
            Key::Watermark(cell) => {
                let record = self.read(key, value);
                self.federation.apply_watermark(cell, record);
            }
            _ => {}
        }
    }

    fn apply_job_value(&mut self, key: &str, id: &str, value: Option<Value>, version: u64, now: Instant) {
        let Some(value) = value else {
            return self.apply_dropped_job(id);
        };
        if let Some(record) = self.readable(key, legacy::read_job(value)) {
            self.apply_job(id, record, version, now);
        }
    }

    /// Only jobs of other cells are ever dropped: given back, or long over.
    fn apply_dropped_job(&mut self, id: &str) {
        let id: Arc<str> = id.into();
        self.forget_job(&id);
        self.jobs.remove(&id);
        self.federation.hosted_jobs.remove(&id);
        self.note_dropped_job(&id);
    }

    fn apply_job(&mut self, id: &str, record: JobRecord, version: u64, now: Instant) {
        let id: Arc<str> = id.into();
        match &record.origin {
            Some(origin) => self.federation.hosted_jobs.insert(id.clone(), origin.clone()),
            None => self.federation.hosted_jobs.remove(&id),
        };
        self.note_job_charge(&id, &record);
        if record.spec.is_none() {
            // Final for good: everything about it can be forgotten but this.
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
                // What was being allocated or taken back is in the record now.
                for (shard, allocated) in &record.allocated {
                    if let Some(own) = job.allocating.get_mut(shard) {
                        *own = own.without(allocated);
                    }
                }
                if !job.revoking.is_empty() {
                    job.revoked = version;
                    self.unsettled.insert(id.clone());
                }
                for (shard, revoked) in &mut job.revoking {
                    let still = record.allocated.get(shard).cloned().unwrap_or_default();
                    *revoked = revoked.without(&revoked.without(&still));
                }
                job.allocating.retain(|_, r| !r.is_empty());
                job.revoking.retain(|_, r| !r.is_empty());
                job.record = record;
                job.version = version;
            }
            Some(Job::Away(_)) | None => {
                let Some(job) = OpenJob::new(record, version, now) else { return };
                let mut job = job;
                job.completed_records = self.completed_records.get(&id).cloned().unwrap_or_default();
                self.open.insert(id.clone());
                self.jobs.insert(id.clone(), Job::Open(Box::new(job)));
                self.note_arrival(&id, now);
                self.reapply_segments_with_job(&id, now);
            }
        }
        self.wakeups.place = true;
        self.stop_withdrawn(&id);
        self.rederive(&id);
        self.drop_unallocated(&id);
        // What was proposed on this allocation can be committed now.
        if let Some(job) = self.open_job(&id) {
            let urgent = job.spec.priority < Priority::Normal;
            let own: BTreeSet<SegmentId> =
                job.placed.values().filter(|p| !p.committed).map(|p| p.segment).collect();
            own.into_iter().for_each(|segment| self.mark_segment(segment, urgent));
        }
        self.finish_if_over(&id);
    }

    /// A job that is away takes no part in anything here.
    fn apply_away_job(&mut self, id: &Arc<str>, record: JobRecord, version: u64) {
        let heard = match self.jobs.get(id) {
            Some(Job::Final { .. }) => return,
            Some(Job::Away(job))
                if job.record.away.as_ref().map(|a| a.epoch) == record.away.as_ref().map(|a| a.epoch) =>
            {
                job.heard
            }
            _ => None,
        };
        self.forget_job(id);
        self.jobs.insert(id.clone(), Job::Away(Box::new(AwayJob { record, version, heard })));
        self.wakeups.federation = true;
    }

    /// Asks for the end of all tasks of a withdrawn job.
    fn stop_withdrawn(&mut self, id: &Arc<str>) {
        let Some(Job::Open(job)) = self.jobs.get_mut(id) else { return };
        if job.is_open() {
            return;
        }
        for placed in job.placed.values_mut() {
            placed.stop = Some(Stop::Withdrawn);
            self.wakeups.command.insert(placed.machine.clone());
        }
        job.allocating.clear();
        job.revoking.clear();
        if job.version > self.applied_revision {
            self.unsettled.insert(id.clone());
        }
        self.drop_proposals(id);
    }

    /// The leader ends jobs; while there is none, whoever acts at all does.
    pub(super) fn finish_if_over(&mut self, id: &Arc<str>) {
        if self.role.leadership.is_none() && (self.leader.is_some() || !self.has_role()) {
            return;
        }
        let Some(job) = self.open_job(id) else { return };
        let over = if job.is_open() {
            job.done.len() == job.record.tasks
        } else {
            !job.placed.values().any(|p| p.committed)
        };
        if over {
            self.mark_job(id);
        }
    }

    fn forget_job(&mut self, id: &Arc<str>) {
        if let Some(Job::Open(job)) = self.jobs.get(id) {
            let resources = job.requirements.resources;
            let (team, counted) = (job.spec.team.clone(), job.counted);
            let placed: Vec<(u32, Placed)> = job.placed.iter().map(|(i, p)| (*i, p.clone())).collect();
            for (index, placed) in placed {
                self.unbook(&TaskId { job: id.clone(), index }, &placed, resources);
            }
            self.teams.book(&team, resources.times(-counted));
            self.jobs.remove(id);
        }
        let completed_records = self.completed_records.remove(id).unwrap_or_default();
        self.obsolete_keys
            .extend(completed_records.keys().map(|part| crate::records::completed_tasks_key(id, *part)));
        self.commits.forget_sent(&CommitTarget::Job(id.clone()));
        self.open.remove(id);
        self.waiting.remove(id);
    }

    pub(super) fn read<T: DeserializeOwned>(&mut self, key: &str, value: Option<Value>) -> Option<T> {
        self.readable(key, serde_json::from_value(value?))
    }

    /// A record that can't be read is left as it is, told of and counted.
    fn readable<T>(&mut self, key: &str, read: Result<T, serde_json::Error>) -> Option<T> {
        match read {
            Ok(record) => Some(record),
            Err(error) => {
                self.unreadable += 1;
                if self.unreadable <= TOLD {
                    tracing::error!(key, %error, all = self.unreadable, "a record cannot be read");
                }
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
