//! What of a job has to be committed, as units that are made whole or not at all.

use super::Core;
use crate::jobs::{Job, OpenJob, Placed, TaskId};
use crate::ranges::Ranges;
use crate::records::{self, ChunkRecord, JobStage};
use dapplecroft_state::Unit;
use dapplecroft_wire::state::{Change, Condition};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Ends of tasks that leave their job unfinished wait this long for others to
/// share a change with, while changes are scarce.
const LAZY: Duration = Duration::from_secs(2);
/// They wait longer for admissions and placements, but not for ever: a worker
/// lists its tasks until their ends are committed.
const LAZIEST: Duration = Duration::from_secs(8);

/// A unit of a job's changes.
#[derive(Debug, Clone)]
pub struct JobUnit {
    /// The job.
    pub job: Arc<str>,
    /// The unit.
    pub unit: Unit,
    number: u64,
    proposals: Vec<(TaskId, Placed)>,
}

/// How a unit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitEnd {
    /// Made, at this revision.
    Committed(u64),
    /// Not made, and never will be.
    NotMade,
}

fn to_value<T: Serialize>(record: &T) -> serde_json::Value {
    serde_json::to_value(record).unwrap_or_default()
}

/// A chunk's record after a unit, and what is proposed with it.
struct NewChunk {
    record: ChunkRecord,
    proposals: Vec<(u32, Placed)>,
}

impl Core {
    /// The next unit to commit, of any job that has none on its way. What ends
    /// jobs goes first, then admissions and placements. Ends of other tasks
    /// wait for company, unless changes are plenty (`relaxed`).
    pub fn next_unit(&mut self, relaxed: bool, now: Instant) -> Option<JobUnit> {
        if !self.has_role() {
            return None;
        }
        loop {
            let age = self.lazy.front().map(|(since, _)| now.saturating_duration_since(*since));
            let due = |least: Duration| age.is_some_and(|a| a >= least);
            let id = if let Some(id) = self.first.pop() {
                id
            } else if due(LAZIEST) {
                self.lazy.pop_front()?.1
            } else if let Some(id) = self.dirty.pop() {
                id
            } else if due(if relaxed { Duration::ZERO } else { LAZY }) {
                self.lazy.pop_front()?.1
            } else {
                return None;
            };
            // One that is on its way is looked at again when it has ended.
            if self.open_job(&id).is_none_or(|j| j.committing.is_some()) {
                continue;
            }
            if let Some(unit) = self.build_unit(&id) {
                if let Some(job) = self.open_job_mut(&id) {
                    job.committing = Some(unit.number);
                }
                return Some(unit);
            }
        }
    }

    /// Whether ends of tasks wait for company.
    pub fn has_lazy(&self) -> bool {
        !self.lazy.is_empty()
    }

    /// Whether a job's ends, once committed, would end the job.
    pub(super) fn ends_job(&self, job: &OpenJob) -> bool {
        let more = job.exits.values().filter(|e| e.done).count() as u32;
        job.done.len() + more >= job.record.tasks
    }

    /// Notes that ends of a job's tasks have to be committed.
    pub(super) fn note_ends(&mut self, id: &Arc<str>, now: Instant) {
        let Some(job) = self.open_job(id) else { return };
        if !job.is_open() || self.ends_job(job) {
            self.mark_dirty(id);
        } else {
            self.lazy.push_back((now, id.clone()));
            self.wakes.flush = true;
        }
    }

    /// A chunk's record with the ends and proposals of this holder.
    fn new_chunk(&self, job: &OpenJob, chunk: u32, block: u32) -> NewChunk {
        let mut record = job.chunks.get(&(chunk, block)).map(|(c, _)| c.clone()).unwrap_or_default();
        let range = job.indices(chunk);
        for (index, exit) in job.exits.range(range.clone()) {
            if record.at.get(index).is_none_or(|(attempt, _, _)| *attempt != exit.attempt) {
                continue;
            }
            record.at.remove(index);
            if exit.done {
                record.done.insert(*index);
                record.tries.remove(index);
            } else {
                record.tries.insert(*index, exit.attempt);
            }
        }
        let mut proposals = Vec::new();
        if job.is_open() {
            let most = self.settings.params.state.value_kb * 1024.0 - 256.0;
            let mut size: usize = record.at.values().map(|(_, m, _)| m.len() + 34).sum();
            for (index, placed) in job.placed.range(range) {
                if placed.committed || placed.block != block || job.exits.contains_key(index) {
                    continue;
                }
                // The leader may have taken it back since it was proposed.
                if !job.admits(block, *index) {
                    continue;
                }
                // A value has a limit: what does not fit waits for its turn.
                size += placed.machine.len() + 34;
                if size as f64 > most {
                    break;
                }
                record.tries.remove(index);
                record.at.insert(*index, (placed.attempt, placed.machine.to_string(), placed.session));
                proposals.push((*index, placed.clone()));
            }
        }
        NewChunk { record, proposals }
    }

    fn build_unit(&mut self, id: &Arc<str>) -> Option<JobUnit> {
        let leadership = self.role.leadership.filter(|_| self.fleet.ready());
        let most = self.settings.params.state.txn_ops;
        let job = self.open_job(id)?;
        let open = job.is_open();
        let mut record = job.record.clone();
        let mut conditions: Vec<Condition> = Vec::new();
        let mut blocks: BTreeSet<u32> = BTreeSet::new();
        let mut writes: BTreeMap<(u32, u32), Option<ChunkRecord>> = BTreeMap::new();
        let mut proposals: Vec<(TaskId, Placed)> = Vec::new();
        let mut left_over = false;
        if open && leadership.is_some() {
            for (block, ranges) in &job.admitting {
                let admitted = record.admitted.entry(*block).or_default();
                *admitted = admitted.union(ranges);
            }
            for (block, ranges) in &job.revoking {
                if let Some(admitted) = record.admitted.get_mut(block) {
                    *admitted = admitted.without(ranges);
                }
                // The block's holder may be placing them right now.
                for chunk in ranges.iter().map(|i| job.chunk_of(i)).collect::<BTreeSet<u32>>() {
                    let version = job.chunks.get(&(chunk, *block)).map_or(0, |(_, v)| *v);
                    conditions.push(Condition { key: records::chunk_key(*block, id, chunk), version });
                }
            }
            record.admitted.retain(|_, r| !r.is_empty());
        }
        let held = |index: &u32| {
            let placed = job.placed.get(index)?;
            let own = self.role.holdings.contains_key(&placed.block);
            own.then_some((job.chunk_of(*index), placed.block))
        };
        let proposed = job.placed.iter().filter(|(_, p)| !p.committed && open).map(|(i, _)| i);
        let touched: BTreeSet<(u32, u32)> = job.exits.keys().chain(proposed).filter_map(held).collect();
        let many = job.chunks.len() + touched.len() + 1 > most;
        for (chunk, block) in touched {
            // One change is kept for the job itself.
            if writes.len() + 1 >= most {
                left_over = true;
                break;
            }
            let new = self.new_chunk(job, chunk, block);
            if job.chunks.get(&(chunk, block)).is_some_and(|(c, _)| *c == new.record) {
                continue;
            }
            let idle = new.record.at.is_empty() && new.record.tries.is_empty();
            let dropped = if open { many && idle } else { new.record.at.is_empty() };
            if dropped {
                record.folded = record.folded.union(&new.record.done);
            }
            proposals
                .extend(new.proposals.into_iter().map(|(index, p)| (TaskId { job: id.clone(), index }, p)));
            writes.insert((chunk, block), (!dropped).then_some(new.record));
        }
        let mut done = record.folded.clone();
        for (key, (chunk, _)) in &job.chunks {
            if !writes.contains_key(key) {
                done = done.union(&chunk.done);
            }
        }
        for chunk in writes.values().flatten() {
            done = done.union(&chunk.done);
        }
        let rest = |writes: &BTreeMap<(u32, u32), Option<ChunkRecord>>| -> Vec<(u32, u32)> {
            job.chunks.keys().filter(|k| !writes.contains_key(*k)).copied().collect()
        };
        if open && done.len() == record.tasks {
            // The job's end and the end of its placements are one transaction,
            // if they fit; else its chunks are folded into its record first.
            let others = rest(&writes);
            if writes.len() + others.len() < most {
                writes.values_mut().for_each(|w| *w = None);
                writes.extend(others.into_iter().map(|key| (key, None)));
                record = record.compact(JobStage::Done, done.len());
            } else {
                for (key, write) in &mut writes {
                    let chunk = write.take().or_else(|| job.chunks.get(key).map(|(c, _)| c.clone()));
                    record.folded = record.folded.union(&chunk.unwrap_or_default().done);
                }
                for key in others {
                    if writes.len() + 1 >= most {
                        break;
                    }
                    if let Some((chunk, _)) = job.chunks.get(&key) {
                        record.folded = record.folded.union(&chunk.done);
                        writes.insert(key, None);
                    }
                }
                left_over = true;
            }
        } else if !open && !left_over {
            // Nothing of a withdrawn job is kept once nothing of it is left on
            // machines, and then its record takes its final, compact form.
            for key in rest(&writes) {
                if job.chunks.get(&key).is_none_or(|(c, _)| !c.at.is_empty()) {
                    continue;
                }
                if writes.len() + 1 >= most {
                    left_over = true;
                    break;
                }
                writes.insert(key, None);
            }
            // A placement made before the withdrawal may not be known yet.
            let unsettled = job.version > self.followed;
            let remains =
                left_over || unsettled || writes.values().any(Option::is_some) || !rest(&writes).is_empty();
            record.folded = Ranges::default();
            if !remains {
                record = record.compact(record.stage, record.done.unwrap_or(0).max(done.len()));
            } else {
                record = job.record.clone();
            }
        }
        let mut changes = Vec::new();
        for ((chunk, block), write) in writes {
            let key = records::chunk_key(block, id, chunk);
            let version = job.chunks.get(&(chunk, block)).map_or(0, |(_, v)| *v);
            conditions.push(Condition { key: key.clone(), version });
            blocks.insert(block);
            match write {
                Some(chunk) => changes.push(Change::Set { key, value: to_value(&chunk), lease: None }),
                None if version > 0 => changes.push(Change::Drop { key }),
                None => {}
            }
        }
        let job_changes = record != job.record;
        if job_changes || !proposals.is_empty() {
            // A task is placed only while its job is open and the task admitted
            // to the block: both are in the job's record.
            conditions.push(Condition { key: records::job_key(id), version: job.version });
        }
        if job_changes {
            changes.push(Change::Set { key: records::job_key(id), value: to_value(&record), lease: None });
        }
        if let Some(version) = leadership.filter(|_| !(job.admitting.is_empty() && job.revoking.is_empty())) {
            conditions.push(Condition { key: records::LEADER.into(), version });
        }
        // A stale holder can commit nothing, hence start nothing; and what
        // concerns the records of several holders is bound to all their leases.
        for block in blocks {
            let version = match self.role.holdings.get(&block) {
                Some(holding) => holding.version,
                None => self.blocks.get(&block).map_or(0, |(_, v)| *v),
            };
            conditions.push(Condition { key: records::block_key(block), version });
        }
        if left_over {
            self.mark_dirty(id);
        }
        if changes.is_empty() {
            return None;
        }
        self.units += 1;
        let number = self.units;
        Some(JobUnit { job: id.clone(), unit: Unit { conditions, changes }, number, proposals })
    }

    /// Takes over the end of a unit.
    pub fn unit_ended(&mut self, unit: &JobUnit, end: UnitEnd, now: Instant) {
        if let Some(job) = self.open_job_mut(&unit.job)
            && job.committing == Some(unit.number)
        {
            job.committing = None;
        }
        match end {
            UnitEnd::Committed(revision) => {
                self.apply_changes(&unit.unit.changes, revision, now);
                // A machine can go while a placement on it is on its way.
                let mut lost: Vec<Arc<str>> = unit
                    .proposals
                    .iter()
                    .map(|(_, p)| p.machine.clone())
                    .filter(|m| self.gone.contains_key(m))
                    .collect();
                lost.dedup();
                for id in lost {
                    self.machine_gone(&id, now);
                }
            }
            UnitEnd::NotMade => {
                // What was admitted with it may not be, so all that rests on it
                // is decided again.
                if let Some(job) = self.open_job_mut(&unit.job) {
                    job.admitting.clear();
                    job.revoking.clear();
                }
                self.drop_proposals(&unit.job, None);
            }
        }
        if self.role.leadership.is_none() {
            // Admissions decided while this unit was on its way went with the
            // leadership, and what was proposed on them too.
            if let Some(job) = self.open_job_mut(&unit.job)
                && !(job.admitting.is_empty() && job.revoking.is_empty())
            {
                job.admitting.clear();
                job.revoking.clear();
                self.drop_proposals(&unit.job, None);
            }
        }
        self.drop_unadmitted(&unit.job);
        let holdings = &self.role.holdings;
        let Some(Job::Open(job)) = self.jobs.get(&unit.job) else { return };
        let blocks: BTreeSet<u32> = job.placed.values().filter(|p| !p.committed).map(|p| p.block).collect();
        let lost: Vec<u32> = blocks.into_iter().filter(|b| !holdings.contains_key(b)).collect();
        for block in lost {
            self.drop_proposals(&unit.job, Some(block));
        }
        let Some(job) = self.open_job(&unit.job) else { return };
        if !job.is_open() {
            self.drop_proposals(&unit.job, None);
            self.mark_dirty(&unit.job);
        } else if job.placed.values().any(|p| !p.committed)
            || !(job.admitting.is_empty() && job.revoking.is_empty())
            || job.done.len() == job.record.tasks
        {
            self.mark_dirty(&unit.job);
        } else if !job.exits.is_empty() {
            self.note_ends(&unit.job.clone(), now);
        }
        self.wakes.place = true;
    }

    /// Takes over changes that this process has committed.
    pub fn apply_changes(&mut self, changes: &[Change], revision: u64, now: Instant) {
        // A job's record first: it says what the end of a chunk means.
        let (jobs, others): (Vec<_>, Vec<_>) =
            changes.iter().partition(|c| matches!(records::Key::parse(c.key()), Some(records::Key::Job(_))));
        for change in jobs.into_iter().chain(others) {
            match change {
                Change::Set { key, value, .. } => self.apply(key, Some(value.clone()), revision, now),
                Change::Drop { key } => self.apply(key, None, revision, now),
            }
        }
    }
}
