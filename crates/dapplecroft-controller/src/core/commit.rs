//! What of a job has to be committed, as units that are made whole or not at all.

use super::Core;
use crate::jobs::{Job, Placed, TaskId};
use crate::records::{self, JobStage};
use dapplecroft_state::Unit;
use dapplecroft_wire::state::{Change, Condition};
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

/// A unit of a job's changes.
#[derive(Debug, Clone)]
pub struct JobUnit {
    /// The job.
    pub job: Arc<str>,
    /// The unit.
    pub unit: Unit,
    /// The term in which it was built.
    pub epoch: u64,
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

impl Core {
    /// Conditions that every act of a leader and holder is bound to: a stale
    /// one can commit nothing, hence start nothing.
    pub fn role_conditions(&self) -> Option<Vec<Condition>> {
        let leadership = self.role.leadership?;
        let holding = self.role.holding?;
        Some(vec![
            Condition { key: records::LEADER.into(), version: leadership },
            Condition { key: records::BLOCK.into(), version: holding.version },
        ])
    }

    /// The next unit to commit, of any job that has none on its way.
    pub fn next_unit(&mut self) -> Option<JobUnit> {
        self.role_conditions()?;
        let ready: Vec<Arc<str>> = self
            .dirty
            .iter()
            .filter(|id| matches!(self.jobs.get(*id), Some(Job::Open(j)) if !j.committing))
            .cloned()
            .collect();
        for id in ready {
            self.dirty.remove(&id);
            if let Some(unit) = self.build_unit(&id) {
                if let Some(job) = self.open_job_mut(&id) {
                    job.committing = true;
                }
                return Some(unit);
            }
        }
        None
    }

    fn build_unit(&mut self, id: &Arc<str>) -> Option<JobUnit> {
        let mut conditions = self.role_conditions()?;
        let epoch = self.role.holding?.epoch;
        let most = self.settings.params.state.txn_ops;
        let job = self.open_job(id)?;
        let open = job.is_open();
        let proposed = job.placed.iter().filter(|(_, p)| !p.committed && open).map(|(i, _)| *i);
        let chunks: BTreeSet<u32> =
            job.exits.keys().copied().chain(proposed).map(|index| job.chunk_of(index)).collect();
        conditions.push(Condition { key: records::job_key(id), version: job.version });
        let mut record = job.record.clone();
        let mut changes = Vec::new();
        let mut proposals = Vec::new();
        let mut left_over = false;
        let mut done_more = 0;
        for chunk in chunks {
            // One change is kept for the job itself.
            if changes.len() + 1 >= most {
                left_over = true;
                break;
            }
            let (old, version) = job.chunks.get(&chunk).cloned().unwrap_or_default();
            let key = records::chunk_key(0, id, chunk);
            let mut new = old.clone();
            for index in job.indices(chunk) {
                if let Some(exit) = job.exits.get(&index) {
                    match new.at.get(&index) {
                        Some((attempt, _, _)) if *attempt == exit.attempt => {}
                        _ => continue,
                    }
                    new.at.remove(&index);
                    if exit.done {
                        new.done.insert(index);
                        new.tries.remove(&index);
                        done_more += 1;
                    } else {
                        new.tries.insert(index, exit.attempt);
                    }
                } else if let Some(placed) = job.placed.get(&index).filter(|p| !p.committed && open) {
                    new.tries.remove(&index);
                    new.at.insert(index, (placed.attempt, placed.machine.clone(), placed.session));
                    proposals.push((TaskId { job: id.clone(), index }, placed.clone()));
                }
            }
            if new == old {
                continue;
            }
            conditions.push(Condition { key: key.clone(), version });
            if new.done.len() as usize == job.indices(chunk).len() {
                record.full.insert(chunk);
                changes.push(Change::Drop { key });
            } else {
                changes.push(Change::Set { key, value: to_value(&new), lease: None });
            }
        }
        // A withdrawn job's record keeps the count while its chunks are dropped.
        let done = (job.done() + done_more).max(job.record.done.unwrap_or(0));
        if open {
            if done == job.record.tasks {
                // All chunks are full, so none is left: the job's end and the
                // end of its placements are one transaction.
                record = record.compact(JobStage::Done, done);
            }
        } else if !left_over {
            // Nothing of a withdrawn job is kept once nothing of it is left on
            // machines; its chunks go with its last change, or before if many.
            let still = job.placed.iter().any(|(i, p)| p.committed && !job.exits.contains_key(i));
            if !still {
                let keys: Vec<(String, u64)> = job
                    .chunks
                    .iter()
                    .map(|(chunk, (_, version))| (records::chunk_key(0, id, *chunk), *version))
                    .collect();
                changes.clear();
                conditions.truncate(3);
                let all = keys.len() < most;
                for (key, version) in keys.into_iter().take(most - 1) {
                    conditions.push(Condition { key: key.clone(), version });
                    changes.push(Change::Drop { key });
                }
                left_over = !all;
                if all {
                    record = record.compact(record.stage, done);
                } else {
                    record.done = Some(done);
                }
            }
        }
        if record != job.record {
            changes.push(Change::Set { key: records::job_key(id), value: to_value(&record), lease: None });
        }
        if left_over {
            self.dirty.insert(id.clone());
        }
        if changes.is_empty() {
            return None;
        }
        Some(JobUnit { job: id.clone(), unit: Unit { conditions, changes }, epoch, proposals })
    }

    /// Takes over the end of a unit.
    pub fn unit_ended(&mut self, unit: &JobUnit, end: UnitEnd, now: Instant) {
        match end {
            UnitEnd::Committed(revision) => {
                self.apply_changes(&unit.unit.changes, revision, now);
                // A machine can go while a placement on it is on its way.
                let lost: Vec<String> = unit
                    .proposals
                    .iter()
                    .map(|(_, p)| p.machine.clone())
                    .filter(|m| self.gone.contains_key(m))
                    .collect();
                for id in lost {
                    self.machine_gone(&id, now);
                }
            }
            UnitEnd::NotMade => {
                for (task, placed) in &unit.proposals {
                    self.withdraw_proposal(task, placed);
                }
            }
        }
        if self.role.holding.is_none_or(|h| h.epoch != unit.epoch) {
            return;
        }
        if let Some(job) = self.open_job_mut(&unit.job) {
            job.committing = false;
            if !job.is_open() {
                self.drop_proposals(&unit.job);
            }
        }
        if let Some(job) = self.open_job_mut(&unit.job) {
            let more = !job.exits.is_empty() || job.placed.values().any(|p| !p.committed) || !job.is_open();
            if more {
                self.dirty.insert(unit.job.clone());
                self.wakes.flush = true;
            }
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
