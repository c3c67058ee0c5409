//! The copy of the records, and what follows from each change of it.

use super::{Core, Group, reindex};
use crate::jobs::{Job, OpenJob, Placed, Stop, TaskId};
use crate::machines::Machine;
use crate::records::{ChunkRecord, GroupRecord, JobRecord, Key};
use dapplecroft_wire::cloud::Catalog;
use dapplecroft_wire::state::{Followed, Item};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

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
        self.followed = self.followed.max(revision);
        let followed = self.followed;
        self.dropped.retain(|_, at| *at > followed);
        while let Some(&(sent, at)) = self.role.pending.front() {
            if at > followed {
                break;
            }
            self.role.contact = self.role.contact.max(Some(sent));
            self.role.pending.pop_front();
        }
        let settled: Vec<Arc<str>> = self
            .unsettled
            .iter()
            .filter(|id| self.open_job(id).is_none_or(|j| j.version <= followed))
            .cloned()
            .collect();
        for id in settled {
            self.unsettled.remove(&id);
            self.rederive(&id);
            if self.has_role() && self.open_job(&id).is_some() {
                self.mark_dirty(&id);
            }
        }
        // What was leased to this process may be known well enough by now.
        let waits = |version: u64| version <= followed;
        let leased = self.blocks.iter().any(|(n, (b, version))| {
            b.identity == self.identity && waits(*version) && !self.role.holdings.contains_key(n)
        });
        if leased || self.role.leadership.is_some_and(waits) && !self.fleet.ready() {
            self.wakes.role = true;
        }
    }

    /// The known version of a key; 0 if it is not known to exist.
    pub fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// Takes over what a watch brought, up to a revision.
    pub fn follow(&mut self, followed: Followed, now: Instant) {
        let mut log = followed.log;
        // Within a transaction a job's record comes first: it says what the end
        // of its chunks means.
        log.sort_by_key(|l| (l.version, !l.set.as_deref().is_some_and(|k| k.starts_with("dc/j/"))));
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
        let known = self.version(key).max(self.dropped.get(key).copied().unwrap_or(0));
        if version <= known {
            return;
        }
        match &value {
            Some(_) => {
                self.dropped.remove(key);
                self.versions.insert(key.to_string(), version);
            }
            None => {
                self.versions.remove(key);
                if version > self.followed {
                    self.dropped.insert(key.to_string(), version);
                }
            }
        }
        match Key::parse(key) {
            Some(Key::Job(id)) => {
                if let Some(record) = read::<JobRecord>(key, value) {
                    self.apply_job(id, record, version, now);
                }
            }
            Some(Key::Chunk(block, id, chunk)) => {
                let record = value.and_then(|v| read::<ChunkRecord>(key, Some(v)));
                self.apply_chunk(block, id, chunk, record, version, now);
            }
            Some(Key::Group(name)) => match value {
                Some(v) => {
                    if let Some(record) = read::<GroupRecord>(key, Some(v)) {
                        self.apply_group(name, Some(record), version, now);
                    }
                }
                None => self.apply_group(name, None, version, now),
            },
            Some(Key::Leader) => {
                self.leader = value.and_then(|v| read(key, Some(v))).map(|r| (r, version));
                self.wakes.role = true;
                if self.role.leadership.is_some_and(|own| own != version) {
                    self.resign("the leader's key changed", now);
                }
            }
            Some(Key::Block(block)) => {
                match value.and_then(|v| read(key, Some(v))) {
                    Some(record) => self.blocks.insert(block, (record, version)),
                    None => self.blocks.remove(&block),
                };
                self.wakes.role = true;
                if self.role.holdings.get(&block).is_some_and(|own| own.version != version) {
                    self.lose_block(block, "leased anew", now);
                }
            }
            Some(Key::Live(host)) => {
                match value.and_then(|v| read(key, Some(v))) {
                    Some(record) => self.live.insert(host.to_string(), record),
                    None => self.live.remove(host),
                };
                self.wakes.role = true;
            }
            Some(Key::Catalog) => {
                // A leader has it from the cloud, with the present prices.
                if let Some(catalog) = read::<Catalog>(key, value)
                    && (self.role.leadership.is_none() || self.catalog.is_none())
                {
                    self.catalog = Some(catalog);
                    self.size_machines();
                }
            }
            Some(Key::Drain(block)) => {
                match value.and_then(|v| read(key, Some(v))) {
                    Some(record) => self.drains.insert(block, (record, version)),
                    None => self.drains.remove(&block),
                };
            }
            None => tracing::debug!(key, "a key of another version of the program"),
        }
    }

    fn apply_job(&mut self, id: &str, record: JobRecord, version: u64, now: Instant) {
        let id: Arc<str> = id.into();
        if record.spec.is_none() {
            // Final for good: everything about it can be forgotten but this.
            self.forget_job(&id);
            let done = record.done.unwrap_or(0);
            self.jobs.insert(id, Job::Final { stage: record.stage, done });
            return;
        }
        match self.jobs.get_mut(&id) {
            Some(Job::Final { .. }) => return,
            Some(Job::Open(job)) => {
                // What was being admitted or taken back is in the record now.
                for (block, admitted) in &record.admitted {
                    if let Some(own) = job.admitting.get_mut(block) {
                        *own = own.without(admitted);
                    }
                }
                for (block, revoked) in &mut job.revoking {
                    let still = record.admitted.get(block).cloned().unwrap_or_default();
                    *revoked = revoked.without(&revoked.without(&still));
                }
                job.admitting.retain(|_, r| !r.is_empty());
                job.revoking.retain(|_, r| !r.is_empty());
                job.record = record;
                job.version = version;
            }
            None => {
                let Some(job) = OpenJob::new(record, version, now) else { return };
                self.open.insert(id.clone());
                self.jobs.insert(id.clone(), Job::Open(Box::new(job)));
            }
        }
        self.wakes.place = true;
        self.stop_withdrawn(&id);
        self.rederive(&id);
        if self.open_job(&id).is_some_and(|j| j.committing.is_none()) {
            self.drop_unadmitted(&id);
        }
        self.finish_if_over(&id);
    }

    /// Asks for the end of all tasks of a withdrawn job.
    fn stop_withdrawn(&mut self, id: &Arc<str>) {
        let Some(Job::Open(job)) = self.jobs.get_mut(id) else { return };
        if job.is_open() {
            return;
        }
        for placed in job.placed.values_mut() {
            placed.stop = Some(Stop::Withdrawn);
            self.wakes.command.insert(placed.machine.clone());
        }
        job.admitting.clear();
        job.revoking.clear();
        if job.version > self.followed {
            self.unsettled.insert(id.clone());
        }
        if self.open_job(id).is_some_and(|j| j.committing.is_none()) {
            self.drop_proposals(id, None);
        }
    }

    /// Whoever ends the last task of a job ends the job. If two holders do so at
    /// the same time, neither has seen the other's end: then the leader does it.
    pub(super) fn finish_if_over(&mut self, id: &Arc<str>) {
        if self.role.leadership.is_none() {
            return;
        }
        let Some(job) = self.open_job(id) else { return };
        let over = if job.is_open() {
            job.done.len() == job.record.tasks
        } else {
            job.chunks.values().all(|(c, _)| c.at.is_empty())
        };
        if over {
            self.mark_dirty(id);
        }
    }

    fn forget_job(&mut self, id: &Arc<str>) {
        if let Some(Job::Open(job)) = self.jobs.get(id) {
            let amounts = job.need.amounts;
            let (team, counted) = (job.spec.team.clone(), job.counted);
            let placed: Vec<(u32, Placed)> = job.placed.iter().map(|(i, p)| (*i, p.clone())).collect();
            for (index, placed) in placed {
                self.unbook(&TaskId { job: id.clone(), index }, &placed, amounts);
            }
            self.teams.book(&team, amounts.times(-counted));
            self.jobs.remove(id);
        }
        self.open.remove(id);
        self.waiting.remove(id);
        self.first.remove(id);
        self.dirty.remove(id);
    }

    /// Brings a chunk's placements in a block up to its record.
    fn apply_chunk(
        &mut self,
        block: u32,
        id: &str,
        chunk: u32,
        record: Option<ChunkRecord>,
        version: u64,
        now: Instant,
    ) {
        let Some((id, _)) = self.jobs.get_key_value(id) else { return };
        let id = id.clone();
        let Some(Job::Open(job)) = self.jobs.get_mut(&id) else { return };
        // Dropped when folded into the job's record, which was applied before.
        let record = record.unwrap_or_default();
        let amounts = job.need.amounts;
        let range = job.indices(chunk);
        let mut unbooked = Vec::new();
        let stale: Vec<u32> = job
            .placed
            .range(range.clone())
            .filter(|(index, p)| {
                p.block == block
                    && match record.at.get(index) {
                        Some((attempt, machine, _)) => *attempt != p.attempt || **machine != *p.machine,
                        None => p.committed,
                    }
            })
            .map(|(index, _)| *index)
            .collect();
        for index in stale {
            if let Some(placed) = job.placed.remove(&index) {
                unbooked.push((index, placed));
            }
            job.exits.remove(&index);
        }
        let mut booked = Vec::new();
        let withdrawn = !job.is_open();
        for (&index, (attempt, machine, session)) in &record.at {
            if index >= job.record.tasks {
                continue;
            }
            let placed = job.placed.entry(index).or_insert_with(|| {
                let machine: Arc<str> = machine.as_str().into();
                booked.push((index, machine.clone()));
                Placed {
                    attempt: *attempt,
                    machine,
                    block,
                    session: *session,
                    committed: true,
                    since: now,
                    running: None,
                    sent: 0,
                    stop: None,
                }
            });
            if !placed.committed && placed.block == block {
                placed.committed = true;
                placed.since = now;
            }
            if withdrawn {
                placed.stop = Some(Stop::Withdrawn);
            }
            if self.role.holdings.contains_key(&block) {
                self.wakes.command.insert(placed.machine.clone());
            }
        }
        if record == ChunkRecord::default() {
            job.chunks.remove(&(chunk, block));
        } else {
            job.chunks.insert((chunk, block), (record, version));
        }
        let placed = &job.placed;
        job.exits.retain(|i, e| !range.contains(i) || placed.get(i).is_some_and(|p| p.attempt == e.attempt));
        for (index, placed) in unbooked {
            self.unbook(&TaskId { job: id.clone(), index }, &placed, amounts);
        }
        for (index, machine) in booked {
            self.book(&TaskId { job: id.clone(), index }, &machine, block, now);
        }
        self.wakes.place = true;
        self.rederive(&id);
        self.finish_if_over(&id);
    }

    /// Brings the machines of a group up to its record. A machine that is no
    /// longer in it was released, and the release was answered.
    fn apply_group(&mut self, name: &str, record: Option<GroupRecord>, version: u64, now: Instant) {
        let name: Arc<str> = name.into();
        let old = self.groups.remove(&name);
        let mut removed: Vec<Arc<str>> = Vec::new();
        if let Some(old) = &old {
            let still = |id: &str| record.as_ref().is_some_and(|r| r.machines.contains_key(id));
            removed.extend(old.record.machines.keys().filter(|id| !still(id)).map(|id| id.as_str().into()));
        }
        if let Some(record) = record {
            let mut behind = false;
            for (id, member) in &record.machines {
                let id: Arc<str> = id.as_str().into();
                let machine =
                    self.machines.entry(id.clone()).or_insert_with(|| Machine::new(&id, record.block, now));
                let fresh = machine.group.is_none();
                machine.group = Some(name.clone());
                machine.block = record.block;
                if fresh {
                    machine.machine_type.clone_from(&record.machine_type);
                    machine.zone.clone_from(&record.zone);
                    machine.spot = record.spot;
                }
                machine.given_up = member.given_up;
                match (&machine.address, &member.address) {
                    (None, Some(address)) => machine.address = Some(address.clone()),
                    (Some(_), None) => behind = true,
                    _ => {}
                }
            }
            let writing = old.is_some_and(|g| g.writing);
            self.groups.insert(name.clone(), Group { record, version, writing, behind });
            self.size_machines();
        }
        for id in removed {
            self.machine_gone(&id, now);
            self.forget_machine(&id);
        }
        self.wakes.place = true;
        self.wakes.fleet = true;
    }

    /// Forgets a released machine once no placement names it.
    pub(super) fn forget_machine(&mut self, id: &str) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.group = None;
        if machine.tasks.is_empty() {
            let (room, block, id) = (machine.room().cpus, machine.block, machine.id.clone());
            if let Some(block) = self.roomy.get_mut(&block) {
                block.remove(&(room, id.clone()));
            }
            self.machines.swap_remove(&id);
        }
    }

    /// Gives machines what their types have, once both are known.
    pub(super) fn size_machines(&mut self) {
        let Some(catalog) = &self.catalog else { return };
        let sizes: BTreeMap<&str, _> = catalog
            .hulls
            .iter()
            .map(|h| (h.name.as_str(), dapplecroft_sched::Amounts::new(h.cpus, h.gpus, h.memory_gb)))
            .collect();
        for machine in self.machines.values_mut() {
            let Some(size) = sizes.get(machine.machine_type.as_str()) else { continue };
            if machine.capacity != *size {
                let before = machine.room().cpus;
                machine.capacity = *size;
                reindex(&mut self.roomy, machine, before);
            }
        }
    }
}

pub(super) fn read<T: DeserializeOwned>(key: &str, value: Option<Value>) -> Option<T> {
    match serde_json::from_value(value?) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "a record cannot be read");
            None
        }
    }
}
