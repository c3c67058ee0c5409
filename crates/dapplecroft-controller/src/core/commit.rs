//! What has to be committed, as units that are made whole or not at all: of a
//! job by the leader, of a block by its holder.

use super::Core;
use super::layout::to_value;
use super::parts::Scale;
use crate::jobs::{Job, OpenJob, Placed, TaskId};
use crate::machines::Machine;
use crate::records::{self, FoldRecord, JobRecord, JobStage, LoadRecord, PartId, Span, stored_size};
use dapplecroft_state::Unit;
use dapplecroft_wire::state::{Change, Condition};
use dapplecroft_wire::users::Rank;
use std::collections::{BTreeSet, HashMap};
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
/// Nothing more is placed in a block whose record of the first layout has so
/// much of a value's limit: what is left is for the ends of what is placed.
const SPARE: f64 = 0.7;
/// How much more urgent work counts among what waits.
const URGENT: f64 = 20.0;
/// What is waiting in each part is counted anew so often.
const WORTH_LASTS: Duration = Duration::from_millis(150);
/// Bytes of a record of completed tasks.
const FOLD: usize = 900;

/// Whose records a unit changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Subject {
    /// A job's.
    Job(Arc<str>),
    /// A block's, or a part's of it.
    Part(PartId),
    /// A record that says nothing any more.
    Litter(String),
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
    /// A part that is dropped with it, since another takes it in.
    absorbed: Option<PartId>,
}

/// How a unit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitEnd {
    /// Made, at this revision.
    Committed(u64),
    /// Not made, and never will be.
    NotMade,
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
            // While changes are scarce all that goes is what is worth most: none of
            // it stands back behind what comes later.
            let mut urgent = !relaxed;
            let age = self.lazy.front().map(|(since, _)| now.saturating_duration_since(*since));
            let due = |least: Duration| age.is_some_and(|a| a >= least);
            let subject = if let Some(subject) = self.first.pop() {
                urgent = true;
                subject
            } else if let Some(subject) = self.next_soon(relaxed, now) {
                urgent = true;
                subject
            } else if due(LAZIEST) {
                Subject::Part(self.lazy.pop_front()?.1)
            } else if let Some(subject) = self.next_dirty(relaxed, now) {
                subject
            } else if due(if relaxed { Duration::ZERO } else { LAZY }) {
                Subject::Part(self.lazy.pop_front()?.1)
            } else if let Some(key) = self.next_litter(relaxed) {
                Subject::Litter(key)
            } else {
                return None;
            };
            // One that is on its way is looked at again when it has ended. What
            // a record of the first layout has may be moved over only once no
            // write of that is on its way, which could come after it.
            let before = match &subject {
                Subject::Part(id) if id.part.is_some() => {
                    let whole = Subject::Part(PartId::whole(id.block));
                    self.on_way.contains_key(&whole).then_some(whole)
                }
                _ => None,
            };
            if let Some(whole) = before {
                self.behind.entry(whole).or_default().insert(subject);
                continue;
            }
            if self.on_way.contains_key(&subject) {
                self.again.insert(subject);
                continue;
            }
            let mut absorbed = None;
            if let Subject::Part(id) = &subject {
                if self.loads.contains_key(&PartId::whole(id.block)) {
                    self.relieve(*id);
                } else {
                    absorbed = self.absorb(*id);
                }
            }
            let unit = match &subject {
                Subject::Job(id) => self.job_unit(id),
                Subject::Part(id) => self.part_unit(*id),
                Subject::Litter(key) => self.litter_unit(key),
            };
            if let Some((mut unit, proposals)) = unit {
                self.units += 1;
                let number = self.units;
                if let Some(other) = absorbed {
                    let version = self.loads.get(&other).map_or(0, |l| l.version);
                    unit.conditions.push(Condition { key: other.key(), version });
                    unit.changes.push(Change::Drop { key: other.key() });
                    self.on_way.insert(Subject::Part(other), number);
                }
                self.on_way.insert(subject.clone(), number);
                self.sent_at.insert(subject.clone(), now);
                return Some(WorkUnit { subject, unit, urgent, number, proposals, absorbed });
            } else if let (Some(other), Subject::Part(by)) = (absorbed, subject) {
                self.restore(other, by);
            }
        }
    }

    /// The next job or part without urgent work. While changes are scarce, each
    /// has its turn at most once in a while, and more to commit then.
    fn next_dirty(&mut self, relaxed: bool, now: Instant) -> Option<Subject> {
        if relaxed { self.dirty.pop() } else { self.take_worthiest(now) }
    }

    fn next_soon(&mut self, relaxed: bool, now: Instant) -> Option<Subject> {
        if relaxed { self.soon.pop() } else { self.take_worthiest(now) }
    }

    /// While changes are scarce, the one for which the most processors have
    /// waited the longest goes first: one change more or less is as many
    /// processors idle.
    fn take_worthiest(&mut self, now: Instant) -> Option<Subject> {
        if self.worth.0.is_none_or(|at| now.saturating_duration_since(at) >= WORTH_LASTS) {
            self.worth = (Some(now), self.worth_of_parts(now));
        }
        let worth = &self.worth.1;
        let (jobs, sent_at) = (&self.jobs, &self.sent_at);
        let score = |subject: &Subject, urgent: bool| {
            let sent =
                sent_at.get(subject).map_or(10.0, |at| now.saturating_duration_since(*at).as_secs_f64());
            let turn = match subject {
                _ if urgent => Duration::ZERO,
                Subject::Part(_) | Subject::Litter(_) => TURN,
                Subject::Job(id) => match jobs.get(id) {
                    Some(Job::Open(job)) if job.spec.priority < Rank::Normal => URGENT_TURN,
                    _ => JOB_TURN,
                },
            };
            if sent < turn.as_secs_f64() {
                return -1.0;
            }
            match subject {
                Subject::Part(id) => worth.get(id).copied().unwrap_or(0.0),
                Subject::Job(id) => match jobs.get(id) {
                    Some(Job::Open(job)) => job_worth(job) * sent.clamp(0.2, 10.0),
                    _ => 0.0,
                },
                Subject::Litter(_) => 0.0,
            }
        };
        // Work that is not urgent counts less, but a large admission of it still
        // goes before a few urgent tasks: they would keep it back for ever.
        let soon = self.soon.best(|s| score(s, true) * URGENT);
        let dirty = self.dirty.best(|s| score(s, false));
        if dirty.is_some_and(|(_, d)| soon.is_none_or(|(_, s)| d > s)) {
            self.dirty.take(dirty?.0)
        } else {
            self.soon.take(soon?.0)
        }
    }

    /// Processors that are proposed in each part, by how long they have waited.
    fn worth_of_parts(&self, now: Instant) -> HashMap<PartId, f64> {
        let mut worth: HashMap<PartId, f64> = HashMap::new();
        for machine in self.machines.values().filter(|m| self.is_holder(m.block)) {
            for task in &machine.tasks {
                let Some(job) = self.open_job(&task.job) else { continue };
                let Some(p) = job.placed.get(&task.index).filter(|p| !p.committed) else { continue };
                let waited = now.saturating_duration_since(p.since).as_secs_f64();
                *worth.entry(p.home).or_default() += weight_of_rank(job) * waited.max(0.2);
            }
        }
        worth
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

    /// Asks for a commit of what is proposed in a part, for urgent work or not.
    pub(super) fn mark_part(&mut self, part: PartId, urgent: bool) {
        if urgent {
            self.soon.push(Subject::Part(part));
        } else {
            self.dirty.push(Subject::Part(part));
        }
        self.wakes.flush = true;
    }

    fn next_litter(&mut self, relaxed: bool) -> Option<String> {
        if !relaxed || self.role.leadership.is_none() {
            return None;
        }
        self.litter.pop_first()
    }

    fn litter_unit(&self, key: &str) -> Option<(Unit, Vec<(TaskId, Placed)>)> {
        let version = self.version(key);
        let conditions = vec![
            Condition { key: records::LEADER.into(), version: self.role.leadership? },
            Condition { key: key.into(), version },
        ];
        let changes = vec![Change::Drop { key: key.into() }];
        (version > 0).then_some((Unit { conditions, changes }, Vec::new()))
    }

    /// Notes that an end of one of a job's tasks has to be committed in a block.
    pub(super) fn note_end(&mut self, id: &Arc<str>, part: PartId, now: Instant) {
        let Some(job) = self.open_job(id) else { return };
        let more = job.exits.values().filter(|e| e.done).count() as u32;
        // A replica is wanted again as soon as its end is committed.
        if !job.is_open() || job.is_service() || job.done.len() + more >= job.record.tasks {
            self.first.push(Subject::Part(part));
        } else if !self.lazy.iter().any(|(_, p)| *p == part) {
            self.lazy.push_back((now, part));
        }
        self.wakes.flush = true;
    }

    /// What of a part's completed tasks and last attempts is still of use, with
    /// what it takes over from a record of the first layout.
    fn carried(&self, id: PartId) -> LoadRecord {
        let mut record = LoadRecord::default();
        let old = self.loads.get(&id).map(|l| (&l.record.done, &l.record.tries));
        let inherited = self.inherited.get(&id).map(|i| (&i.done, &i.tries));
        for (done, tries) in old.into_iter().chain(inherited) {
            for (job_id, ranges) in done {
                let Some(job) = self.open_job(job_id).filter(|j| j.is_open()) else { continue };
                let left = ranges.without(&job.folded());
                if !left.is_empty() {
                    let all = record.done.entry(job_id.clone()).or_default();
                    *all = all.union(&left);
                }
            }
            for (job_id, own) in tries {
                let Some(job) = self.open_job(job_id).filter(|j| j.is_open()) else { continue };
                for (index, attempt) in own {
                    if !job.done.contains(*index) && !job.outdates(id, *index, *attempt) {
                        let all = record.tries.entry(job_id.clone()).or_default();
                        let last = all.entry(*index).or_default();
                        *last = (*last).max(*attempt);
                    }
                }
            }
        }
        for machine in self.to_cover(id) {
            record.machines.insert(machine.to_string(), Vec::new());
        }
        record
    }

    /// The record of what runs in a part, with the ends and proposals of its
    /// holder; and the proposals in it.
    ///
    /// A record that was written before limits were as they are can have more on
    /// one machine than could be cut into pieces within them. Then as many ends
    /// are taken in at a time as fit; neighbours that have ended join again.
    fn new_load(&self, id: PartId) -> (LoadRecord, Vec<(TaskId, Placed)>) {
        let (mut ends, mut most) = (usize::MAX, usize::MAX);
        loop {
            let (record, proposals, taken) = self.load_with(id, ends, most);
            let fits = stored_size(&self.load_value(id, &record)) <= self.limits().value;
            if fits || (taken == 0 && proposals.is_empty()) {
                return (record, proposals);
            }
            if proposals.is_empty() {
                ends = taken / 2;
            } else {
                most = proposals.len() / 2;
            }
        }
    }

    /// The same with the first so many ends and proposals; and how many ends
    /// there were.
    pub(super) fn load_with(
        &self,
        id: PartId,
        ends: usize,
        most: usize,
    ) -> (LoadRecord, Vec<(TaskId, Placed)>, usize) {
        let limits = self.limits();
        let mut taken = 0;
        let most_jobs = limits.changes * 3;
        let mut record = self.carried(id);
        let mut proposals = Vec::new();
        let mut names: HashMap<Arc<str>, u32> = HashMap::new();
        let mut waiting: Vec<(u8, Instant, TaskId, Placed)> = Vec::new();
        let whole = id.part.is_none();
        let here = |m: &&Machine| m.block == id.block && (whole || m.part == id.part) && !m.tasks.is_empty();
        for machine in self.machines.values().filter(here) {
            for task in &machine.tasks {
                let Some(job) = self.open_job(&task.job) else { continue };
                let Some(p) = job.placed.get(&task.index).filter(|p| p.home.block == id.block) else {
                    continue;
                };
                if !p.committed {
                    waiting.push((job.rank(), p.since, task.clone(), p.clone()));
                    continue;
                }
                let exit = job.exits.get(&task.index).filter(|e| e.attempt == p.attempt && taken < ends);
                taken += usize::from(exit.is_some());
                match exit {
                    None => add_task(&mut record, &mut names, task, p),
                    Some(_) if !job.is_open() => {}
                    Some(exit) if exit.done => {
                        record.done.entry(task.job.to_string()).or_default().insert(task.index);
                    }
                    Some(exit) => {
                        let tries = record.tries.entry(task.job.to_string()).or_default();
                        tries.insert(task.index, exit.attempt);
                    }
                }
            }
        }
        // What is most urgent goes into the record first, then what has waited.
        waiting.sort_by(|a, b| (a.0, a.1, &a.2).cmp(&(b.0, b.1, &b.2)));
        let mut asked: BTreeSet<Arc<str>> = BTreeSet::new();
        let mut scale = Scale::new(&record, limits.value, whole);
        for (_, _, task, p) in waiting {
            // A task is placed only while its job is open and the record of the
            // job, to whose version the unit is bound, admits it to the block.
            let Some(job) = self.open_job(&task.job) else { continue };
            let admitted = job.record.admitted.get(&id.block).is_some_and(|r| r.contains(task.index));
            if !job.is_open() || !admitted {
                continue;
            }
            // A value and a transaction have limits: the rest waits.
            let bound = !asked.contains(&task.job) && asked.len() >= most_jobs;
            if bound || proposals.len() >= most || !scale.take(&task, &p) {
                continue;
            }
            asked.insert(task.job.clone());
            if let Some(tries) = record.tries.get_mut(&*task.job) {
                tries.remove(&task.index);
            }
            add_task(&mut record, &mut names, &task, &p);
            proposals.push((task, p));
        }
        record.tries.retain(|_, t| !t.is_empty());
        (record, proposals, taken)
    }

    /// What is to be committed of a part, with what is proposed in it.
    fn part_unit(&self, id: PartId) -> Option<(Unit, Vec<(TaskId, Placed)>)> {
        // A stale holder can commit nothing, hence start nothing.
        let holding = self.role.holdings.get(&id.block)?;
        let mut conditions = vec![Condition { key: records::block_key(id.block), version: holding.version }];
        let key = id.key();
        let old = self.loads.get(&id);
        conditions.push(Condition { key: key.clone(), version: old.map_or(0, |o| o.version) });
        if !self.is_mixed() && id.part.is_none() {
            // Never written again: dropped once parts have all of it.
            let moved = old.is_some() && self.is_moved(id.block);
            let changes = vec![Change::Drop { key }];
            return moved.then_some((Unit { conditions, changes }, Vec::new()));
        }
        let (record, proposals) = self.new_load(id);
        if old.is_some_and(|o| o.record == record) || (old.is_none() && record == LoadRecord::default()) {
            return None;
        }
        if let Some(whole) = self.loads.get(&PartId::whole(id.block)).filter(|_| id.part.is_some()) {
            // No late write of it may come between this part and its being dropped.
            conditions.push(Condition { key: PartId::whole(id.block).key(), version: whole.version });
        }
        let jobs: BTreeSet<&Arc<str>> = proposals.iter().map(|(t, _)| &t.job).collect();
        for id in jobs {
            conditions.push(Condition { key: records::job_key(id), version: self.open_job(id)?.version });
        }
        let changes = vec![Change::Set { key, value: self.load_value(id, &record), lease: None }];
        Some((Unit { conditions, changes }, proposals))
    }

    /// What is to be committed of a job: admissions, what is taken back, its end.
    fn job_unit(&self, id: &Arc<str>) -> Option<(Unit, Vec<(TaskId, Placed)>)> {
        let leadership = self.role.leadership.filter(|_| self.fleet.ready());
        let job = self.open_job(id)?;
        let mut conditions = vec![Condition { key: records::job_key(id), version: job.version }];
        let mut record = if job.is_open() && job.done.len() == job.record.tasks {
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
        let mut changes = Vec::new();
        if !self.is_mixed() && record.spec.is_some() && !record.folded.is_empty() {
            // A record of the second layout has no completed tasks: they get
            // records of their own first, or with it if one transaction will do.
            let folds = self.missing_folds(id, job);
            let most = self.limits().changes;
            let all = folds.len() < most;
            for (key, fold) in folds.into_iter().take(if all { most } else { most.min(8) }) {
                conditions.push(Condition { key: key.clone(), version: self.version(&key) });
                changes.push(Change::Set { key, value: to_value(&fold), lease: None });
            }
            if !all {
                return Some((Unit { conditions, changes }, Vec::new()));
            }
            record.folded = Default::default();
        }
        changes.push(Change::Set { key: records::job_key(id), value: self.job_value(&record), lease: None });
        Some((Unit { conditions, changes }, Vec::new()))
    }

    /// Records of completed tasks that a job's record of the first layout names
    /// and no record of its own has yet.
    fn missing_folds(&self, id: &str, job: &OpenJob) -> Vec<(String, FoldRecord)> {
        let have = job.folds.values().fold(Default::default(), |all: crate::ranges::Ranges, f| all.union(f));
        let left = job.record.folded.without(&have);
        let numbers = (0..).filter(|n| !job.folds.contains_key(n));
        let parts = left.chunks(FOLD);
        numbers.zip(parts).map(|(n, done)| (records::fold_key(id, n), FoldRecord { done })).collect()
    }

    /// A job's record with this leader's decisions. While the first layout is in
    /// force, what is done is noted in it as well, so that blocks need not.
    pub(super) fn admissions(&self, job: &OpenJob) -> JobRecord {
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
        if self.is_mixed() {
            record.folded = record.folded.union(&job.done);
        }
        for admitted in record.admitted.values_mut() {
            *admitted = admitted.without(&job.done);
            if !self.is_mixed() {
                *admitted = admitted.bridge(&job.done);
            }
        }
        record.admitted.retain(|_, r| !r.is_empty());
        record
    }

    /// Takes over the end of a unit.
    pub fn unit_ended(&mut self, unit: &WorkUnit, end: UnitEnd, now: Instant) {
        if self.on_way.get(&unit.subject) == Some(&unit.number) {
            self.on_way.remove(&unit.subject);
        }
        if let Some(other) = unit.absorbed {
            self.on_way.remove(&Subject::Part(other));
            self.again.remove(&Subject::Part(other));
        }
        let part = if let Subject::Part(id) = &unit.subject { Some(*id) } else { None };
        match end {
            UnitEnd::Committed(revision) => {
                self.apply_changes(&unit.unit.changes, revision, now);
                if let (Some(other), Some(by)) = (unit.absorbed, part) {
                    self.absorbed(other, by, now);
                }
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
                if let (Some(other), Some(by)) = (unit.absorbed, part)
                    && self.is_holder(by.block)
                {
                    self.restore(other, by);
                }
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
            Subject::Part(id) => {
                if !self.role.holdings.contains_key(&id.block) {
                    self.drop_proposals_in(id.block);
                } else if end == UnitEnd::NotMade {
                    self.mark_part(*id, false);
                } else {
                    self.inherited.remove(id);
                    self.drop_stuck(*id, now);
                }
                self.reweigh(*id);
                self.continue_move(id.block, now);
            }
            Subject::Litter(_) => {}
        }
        for next in self.behind.remove(&unit.subject).unwrap_or_default() {
            self.soon.push(next);
            self.wakes.flush = true;
        }
        if self.again.remove(&unit.subject) {
            self.soon.push(unit.subject.clone());
            self.wakes.flush = true;
        }
        self.wakes.place = true;
    }

    /// Whether a block's one record of the first layout has no room for more.
    pub(super) fn is_record_full(&self, block: u32) -> bool {
        let limit = self.limits().value as f64 * SPARE;
        self.is_mixed() && self.loads.get(&PartId::whole(block)).is_some_and(|l| l.size as f64 > limit)
    }

    /// Takes back proposals that found no room in their part's record.
    fn drop_stuck(&mut self, part: PartId, now: Instant) {
        let old = |p: &Placed| now.saturating_duration_since(p.since) > STUCK;
        self.drop_placed(part.block, |p| p.home == part && old(p));
    }

    /// Takes back all that is proposed in a block and not on its way.
    pub(super) fn drop_proposals_in(&mut self, block: u32) {
        self.drop_placed(block, |_| true);
    }

    fn drop_placed(&mut self, block: u32, void: impl Fn(&Placed) -> bool) {
        let proposed: Vec<(TaskId, Placed)> = self
            .machines
            .values()
            .filter(|m| m.block == block)
            .flat_map(|m| &m.tasks)
            .filter_map(|t| Some((t.clone(), self.open_job(&t.job)?.placed.get(&t.index)?.clone())))
            .filter(|(_, p)| !p.committed && p.home.block == block && void(p))
            .filter(|(_, p)| !self.on_way.contains_key(&Subject::Part(p.home)))
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

/// What a task of a job counts among what waits: its processors, and replicas
/// before all else.
fn weight_of_rank(job: &OpenJob) -> f64 {
    let cpus = job.need.amounts.cpus.max(1) as f64;
    if job.is_service() { cpus * 1000.0 } else { cpus }
}

fn job_worth(job: &OpenJob) -> f64 {
    let admitting: u32 = job.admitting.values().map(crate::ranges::Ranges::len).sum();
    // Its end frees quota, and somebody waits for it.
    let over = job.done.len() == job.record.tasks;
    weight_of_rank(job) * f64::from(admitting + if over { job.record.tasks } else { 0 })
}

/// Adds a task to a record of what runs.
fn add_task(record: &mut LoadRecord, names: &mut HashMap<Arc<str>, u32>, task: &TaskId, p: &Placed) {
    let jobs = &mut record.jobs;
    let job = *names.entry(task.job.clone()).or_insert_with(|| {
        jobs.push(task.job.to_string());
        jobs.len() as u32 - 1
    });
    let spans = record.machines.entry(p.machine.to_string()).or_default();
    let joins = |s: &&mut Span| {
        s.job == job && s.last + 1 == task.index && s.attempt == p.attempt && s.session == p.session
    };
    match spans.last_mut().filter(joins) {
        Some(span) => span.last = task.index,
        None => spans.push(Span {
            job,
            first: task.index,
            last: task.index,
            attempt: p.attempt,
            session: p.session,
        }),
    }
}
