//! What has to be committed, as units that are made whole or not at all: of a
//! job by the leader, of a block by its holder.

use super::Core;
use crate::jobs::{OpenJob, Placed, TaskId};
use crate::records::{self, JobStage, LoadRecord, Span};
use dapplecroft_state::Unit;
use dapplecroft_wire::state::{Change, Condition};
use dapplecroft_wire::users::Rank;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Ends of tasks that leave their job unfinished wait this long for others to
/// share a change with, while changes are scarce.
const LAZY: Duration = Duration::from_secs(3);
/// They wait longer for admissions and placements, but not for ever: a worker
/// lists its tasks until their ends are committed.
const LAZIEST: Duration = Duration::from_secs(8);
/// A proposal that found no room in its block's record for so long is decided
/// again.
const STUCK: Duration = Duration::from_secs(4);
/// While changes are scarce, a job or block without urgent work has its turn
/// at most so often.
const TURN: Duration = Duration::from_millis(1500);
/// Each admission outdates what holders are about to commit of the same job, so
/// while changes are scarce a job has its turn less often than a block.
const JOB_TURN: Duration = Duration::from_secs(3);
const URGENT_TURN: Duration = Duration::from_millis(700);
/// Nothing more is placed in a block whose record has so much of a value's
/// limit: what is left is for the ends of what is placed.
const SPARE: f64 = 0.7;
/// Nothing that is proposed goes into a record beyond this part.
const FULL: f64 = 0.85;

/// Whose records a unit changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Subject {
    /// A job's.
    Job(Arc<str>),
    /// A block's.
    Block(u32),
}

/// A unit of changes.
#[derive(Debug, Clone)]
pub struct WorkUnit {
    /// What it is about.
    pub subject: Subject,
    /// The unit.
    pub unit: Unit,
    /// Whether urgent work or the end of a job waits for it.
    pub urgent: bool,
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

impl Core {
    /// The next unit to commit, of anything that has none on its way. What ends
    /// jobs goes first, then admissions and placements. Ends of other tasks
    /// wait for company, unless changes are plenty (`relaxed`).
    pub fn next_unit(&mut self, relaxed: bool, now: Instant) -> Option<WorkUnit> {
        if !self.has_role() {
            return None;
        }
        loop {
            let urgent = self.first.len() + self.soon.len() > 0;
            let age = self.lazy.front().map(|(since, _)| now.saturating_duration_since(*since));
            let due = |least: Duration| age.is_some_and(|a| a >= least);
            let subject = if let Some(subject) = self.first.pop().or_else(|| self.soon.pop()) {
                subject
            } else if due(LAZIEST) {
                Subject::Block(self.lazy.pop_front()?.1)
            } else if let Some(subject) = self.next_dirty(relaxed, now) {
                subject
            } else if due(if relaxed { Duration::ZERO } else { LAZY }) {
                Subject::Block(self.lazy.pop_front()?.1)
            } else {
                return None;
            };
            // One that is on its way is looked at again when it has ended.
            if self.on_way.contains_key(&subject) {
                self.again.insert(subject);
                continue;
            }
            let unit = match &subject {
                Subject::Job(id) => self.job_unit(id),
                Subject::Block(block) => self.block_unit(*block),
            };
            if let Some((unit, proposals)) = unit {
                self.units += 1;
                let number = self.units;
                self.on_way.insert(subject.clone(), number);
                self.sent_at.insert(subject.clone(), now);
                return Some(WorkUnit { subject, unit, urgent, number, proposals });
            }
        }
    }

    /// The next job or block without urgent work. While changes are scarce, each
    /// has its turn at most once in a while, and more to commit then.
    fn next_dirty(&mut self, relaxed: bool, now: Instant) -> Option<Subject> {
        for _ in 0..self.dirty.len() {
            let subject = self.dirty.pop()?;
            let turn = match &subject {
                Subject::Block(_) => TURN,
                Subject::Job(id) => match self.open_job(id) {
                    Some(job) if job.spec.priority < Rank::Normal => URGENT_TURN,
                    _ => JOB_TURN,
                },
            };
            let sent = self.sent_at.get(&subject);
            let recent = sent.is_some_and(|at| now.saturating_duration_since(*at) < turn);
            if relaxed || !recent {
                return Some(subject);
            }
            self.dirty.push(subject);
        }
        None
    }

    /// Whether something waits for its turn, or for company.
    pub fn has_lazy(&self) -> bool {
        !self.lazy.is_empty() || self.dirty.len() > 0
    }

    /// Asks for a commit of what a job has to commit.
    pub(super) fn mark_job(&mut self, id: &Arc<str>) {
        let Some(job) = self.open_job(id) else { return };
        let over = !job.is_open() || job.done.len() == job.record.tasks;
        let subject = Subject::Job(id.clone());
        if over {
            self.first.push(subject);
        } else if job.spec.priority < Rank::Normal && !self.sent_at.contains_key(&subject) {
            // The first admission of an urgent job goes at once.
            self.soon.push(subject);
        } else {
            self.dirty.push(subject);
        }
        self.wakes.flush = true;
    }

    /// Asks for a commit of what is proposed in a block, for urgent work or not.
    pub(super) fn mark_block(&mut self, block: u32, urgent: bool) {
        if urgent {
            self.soon.push(Subject::Block(block));
        } else {
            self.dirty.push(Subject::Block(block));
        }
        self.wakes.flush = true;
    }

    /// Notes that an end of one of a job's tasks has to be committed in a block.
    pub(super) fn note_end(&mut self, id: &Arc<str>, block: u32, now: Instant) {
        let Some(job) = self.open_job(id) else { return };
        let more = job.exits.values().filter(|e| e.done).count() as u32;
        if !job.is_open() || job.done.len() + more >= job.record.tasks {
            self.first.push(Subject::Block(block));
        } else if !self.lazy.iter().any(|(_, b)| *b == block) {
            self.lazy.push_back((now, block));
        }
        self.wakes.flush = true;
    }

    /// The record of what runs in a block, with the ends and proposals of its
    /// holder; and the proposals in it.
    fn new_load(&self, block: u32) -> (LoadRecord, Vec<(TaskId, Placed)>) {
        let params = &self.settings.params.state;
        let most = (params.value_kb * 1024.0 * FULL) as usize;
        let most_jobs = params.txn_ops * 3;
        let mut record = LoadRecord::default();
        let mut proposals = Vec::new();
        let mut jobs: HashMap<Arc<str>, u32> = HashMap::new();
        let mut asked: BTreeSet<Arc<str>> = BTreeSet::new();
        let mut size = 64;
        if let Some(old) = self.loads.get(&block) {
            for (id, done) in &old.record.done {
                let Some(job) = self.open_job(id).filter(|j| j.is_open()) else { continue };
                let left = done.without(&job.record.folded);
                if !left.is_empty() {
                    size += id.len() + 6 + left.pieces().len() * 12;
                    record.done.insert(id.clone(), left);
                }
            }
            for (id, tries) in &old.record.tries {
                let Some(job) = self.open_job(id).filter(|j| j.is_open()) else { continue };
                let left: BTreeMap<u32, u64> =
                    tries.iter().filter(|(i, _)| !job.done.contains(**i)).map(|(i, n)| (*i, *n)).collect();
                if !left.is_empty() {
                    size += id.len() + 6 + left.len() * 10;
                    record.tries.insert(id.clone(), left);
                }
            }
        }
        let mut waiting: Vec<(TaskId, Placed)> = Vec::new();
        let mut add = |record: &mut LoadRecord, task: &TaskId, p: &Placed, size: &mut usize| {
            let names = &mut record.jobs;
            let job = *jobs.entry(task.job.clone()).or_insert_with(|| {
                *size += task.job.len() + 3;
                names.push(task.job.to_string());
                names.len() as u32 - 1
            });
            if !record.machines.contains_key(&*p.machine) {
                *size += p.machine.len() + 6;
            }
            let spans = record.machines.entry(p.machine.to_string()).or_default();
            let joins = |s: &&mut Span| {
                s.job == job && s.last + 1 == task.index && s.attempt == p.attempt && s.session == p.session
            };
            match spans.last_mut().filter(joins) {
                Some(span) => span.last = task.index,
                None => {
                    *size += 14;
                    spans.push(Span {
                        job,
                        first: task.index,
                        last: task.index,
                        attempt: p.attempt,
                        session: p.session,
                    });
                }
            }
        };
        for machine in self.machines.values().filter(|m| m.block == block && !m.tasks.is_empty()) {
            for task in &machine.tasks {
                let Some(job) = self.open_job(&task.job) else { continue };
                let Some(p) = job.placed.get(&task.index).filter(|p| p.block == block) else { continue };
                if !p.committed {
                    waiting.push((task.clone(), p.clone()));
                    continue;
                }
                match job.exits.get(&task.index).filter(|e| e.attempt == p.attempt) {
                    None => add(&mut record, task, p, &mut size),
                    Some(_) if !job.is_open() => {}
                    Some(exit) if exit.done => {
                        record.done.entry(task.job.to_string()).or_default().insert(task.index);
                        size += 8;
                    }
                    Some(exit) => {
                        let tries = record.tries.entry(task.job.to_string()).or_default();
                        tries.insert(task.index, exit.attempt);
                        size += 10;
                    }
                }
            }
        }
        for (task, p) in waiting {
            // A task is placed only while its job is open and the record of the
            // job, to whose version the unit is bound, admits it to the block.
            let Some(job) = self.open_job(&task.job) else { continue };
            let admitted = job.record.admitted.get(&block).is_some_and(|r| r.contains(task.index));
            if !job.is_open() || !admitted {
                continue;
            }
            // A value and a transaction have limits: the rest waits.
            if size > most || (!asked.contains(&task.job) && asked.len() >= most_jobs) {
                continue;
            }
            asked.insert(task.job.clone());
            if let Some(tries) = record.tries.get_mut(&*task.job) {
                tries.remove(&task.index);
            }
            add(&mut record, &task, &p, &mut size);
            proposals.push((task, p));
        }
        record.tries.retain(|_, t| !t.is_empty());
        (record, proposals)
    }

    /// What is to be committed of a block, with what is proposed in it.
    fn block_unit(&self, block: u32) -> Option<(Unit, Vec<(TaskId, Placed)>)> {
        // A stale holder can commit nothing, hence start nothing.
        let holding = self.role.holdings.get(&block)?;
        let (record, proposals) = self.new_load(block);
        let old = self.loads.get(&block);
        if old.is_some_and(|o| o.record == record) || (old.is_none() && record == LoadRecord::default()) {
            return None;
        }
        let key = records::load_key(block);
        let mut conditions = vec![
            Condition { key: records::block_key(block), version: holding.version },
            Condition { key: key.clone(), version: old.map_or(0, |o| o.version) },
        ];
        let jobs: BTreeSet<&Arc<str>> = proposals.iter().map(|(t, _)| &t.job).collect();
        for id in jobs {
            conditions.push(Condition { key: records::job_key(id), version: self.open_job(id)?.version });
        }
        let changes = vec![Change::Set { key, value: to_value(&record), lease: None }];
        Some((Unit { conditions, changes }, proposals))
    }

    /// What is to be committed of a job: admissions, what is taken back, its end.
    fn job_unit(&self, id: &Arc<str>) -> Option<(Unit, Vec<(TaskId, Placed)>)> {
        let leadership = self.role.leadership.filter(|_| self.fleet.ready());
        let job = self.open_job(id)?;
        let mut conditions = vec![Condition { key: records::job_key(id), version: job.version }];
        let record = if job.is_open() && job.done.len() == job.record.tasks {
            // All that it rests on is committed, so anyone may end it.
            job.record.compact(JobStage::Done, job.done.len())
        } else if !job.is_open() {
            // A placement made before the withdrawal may not be known yet; once
            // it would be, and none is, there will never be one.
            let left = job.placed.values().any(|p| p.committed);
            if left || job.version > self.followed {
                return None;
            }
            let done = job.record.done.unwrap_or(0).max(job.done.len());
            job.record.compact(job.record.stage, done)
        } else {
            self.admissions(job)
        };
        if record.spec.is_some() {
            conditions.push(Condition { key: records::LEADER.into(), version: leadership? });
        }
        if record == job.record {
            return None;
        }
        let change = Change::Set { key: records::job_key(id), value: to_value(&record), lease: None };
        Some((Unit { conditions, changes: vec![change] }, Vec::new()))
    }

    /// A job's record with this leader's decisions. What is done is noted in it
    /// as well, so that it stays short.
    fn admissions(&self, job: &OpenJob) -> records::JobRecord {
        let mut record = job.record.clone();
        if job.admitting.is_empty() && job.revoking.is_empty() {
            return record;
        }
        for (block, ranges) in &job.admitting {
            let admitted = record.admitted.entry(*block).or_default();
            *admitted = admitted.union(ranges);
        }
        for (block, ranges) in &job.revoking {
            if let Some(admitted) = record.admitted.get_mut(block) {
                *admitted = admitted.without(ranges);
            }
        }
        record.folded = record.folded.union(&job.done);
        for admitted in record.admitted.values_mut() {
            *admitted = admitted.without(&record.folded);
        }
        record.admitted.retain(|_, r| !r.is_empty());
        record
    }

    /// Takes over the end of a unit.
    pub fn unit_ended(&mut self, unit: &WorkUnit, end: UnitEnd, now: Instant) {
        if self.on_way.get(&unit.subject) == Some(&unit.number) {
            self.on_way.remove(&unit.subject);
        }
        match end {
            UnitEnd::Committed(revision) => {
                self.apply_changes(&unit.unit.changes, revision, now);
                // A machine can go while a placement on it is on its way.
                let lost: BTreeSet<Arc<str>> = unit
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
                let mut jobs: BTreeSet<Arc<str>> = BTreeSet::new();
                for (task, placed) in &unit.proposals {
                    self.withdraw_proposal(task, placed);
                    jobs.insert(task.job.clone());
                }
                if let Subject::Job(id) = &unit.subject {
                    if let Some(job) = self.open_job_mut(id) {
                        job.admitting.clear();
                        job.revoking.clear();
                    }
                    jobs.insert(id.clone());
                }
                for id in jobs {
                    self.rederive(&id);
                    self.drop_unadmitted(&id);
                }
            }
        }
        match &unit.subject {
            Subject::Job(id) => {
                if self.role.leadership.is_none()
                    && let Some(job) = self.open_job_mut(id)
                    && !(job.admitting.is_empty() && job.revoking.is_empty())
                {
                    // Decided while this unit was on its way, and gone with the
                    // leadership.
                    job.admitting.clear();
                    job.revoking.clear();
                    self.rederive(id);
                }
                self.drop_unadmitted(id);
                let more = self.open_job(id).is_some_and(|j| {
                    !(j.admitting.is_empty() && j.revoking.is_empty()) || j.done.len() == j.record.tasks
                });
                if more {
                    self.mark_job(id);
                }
            }
            Subject::Block(block) => {
                if !self.role.holdings.contains_key(block) {
                    self.drop_proposals_in(*block);
                } else if end == UnitEnd::NotMade {
                    self.mark_block(*block, false);
                } else {
                    self.drop_stuck(*block, now);
                }
            }
        }
        if self.again.remove(&unit.subject) {
            self.soon.push(unit.subject.clone());
            self.wakes.flush = true;
        }
        self.wakes.place = true;
    }

    /// Whether a block's record has no room for more placements.
    pub(super) fn is_record_full(&self, block: u32) -> bool {
        let limit = self.settings.params.state.value_kb * 1024.0 * SPARE;
        self.loads.get(&block).is_some_and(|l| l.size as f64 > limit)
    }

    /// Takes back proposals that found no room in their block's record.
    fn drop_stuck(&mut self, block: u32, now: Instant) {
        let stuck: Vec<(TaskId, Placed)> = self
            .machines
            .values()
            .filter(|m| m.block == block)
            .flat_map(|m| &m.tasks)
            .filter_map(|t| Some((t.clone(), self.open_job(&t.job)?.placed.get(&t.index)?.clone())))
            .filter(|(_, p)| !p.committed && now.saturating_duration_since(p.since) > STUCK)
            .collect();
        let jobs: BTreeSet<Arc<str>> = stuck.iter().map(|(t, _)| t.job.clone()).collect();
        for (task, placed) in stuck {
            self.withdraw_proposal(&task, &placed);
        }
        for id in jobs {
            self.rederive(&id);
        }
    }

    /// Takes back all that is proposed in a block and not on its way.
    pub(super) fn drop_proposals_in(&mut self, block: u32) {
        let proposed: Vec<(TaskId, Placed)> = self
            .machines
            .values()
            .filter(|m| m.block == block)
            .flat_map(|m| &m.tasks)
            .filter_map(|t| Some((t.clone(), self.open_job(&t.job)?.placed.get(&t.index)?.clone())))
            .filter(|(_, p)| !p.committed && p.block == block)
            .collect();
        let jobs: BTreeSet<Arc<str>> = proposed.iter().map(|(t, _)| t.job.clone()).collect();
        for (task, placed) in proposed {
            self.withdraw_proposal(&task, &placed);
        }
        for id in jobs {
            self.rederive(&id);
        }
    }

    /// Takes over changes that this process has committed.
    pub fn apply_changes(&mut self, changes: &[Change], revision: u64, now: Instant) {
        for change in changes {
            match change {
                Change::Set { key, value, .. } => self.apply(key, Some(value.clone()), revision, now),
                Change::Drop { key } => self.apply(key, None, revision, now),
            }
        }
    }
}
