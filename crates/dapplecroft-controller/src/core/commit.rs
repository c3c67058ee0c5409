//! What has to be committed, as units that are made whole or not at all: of a
//! job by the leader, of a block by its holder.

use super::Core;
use crate::jobs::{OpenJob, Placed, TaskId};
use crate::records::{LoadRecord, PartId};
use dapplecroft_state::Unit;
use dapplecroft_wire::state::{Change, Condition};
use dapplecroft_wire::users::Rank;
use std::collections::BTreeSet;
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
    /// A part that is emptied with it, since another takes it in.
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
    /// wait for company, unless changes are plenty (`relaxed`). While they are
    /// scarce, what is worth most goes before what is worth less.
    pub fn next_unit(&mut self, relaxed: bool, only_urgent: bool, now: Instant) -> Option<WorkUnit> {
        if !self.has_role() {
            return None;
        }
        loop {
            let mut urgent = true;
            let age = self.lazy.front().map(|(since, _)| now.saturating_duration_since(*since));
            let due = |least: Duration| age.is_some_and(|a| a >= least);
            let subject = if let Some(subject) = self.first.pop() {
                subject
            } else if !relaxed && !only_urgent && due(LAZIEST) {
                urgent = false;
                Subject::Part(self.lazy.pop_front()?.1)
            } else if relaxed && let Some(subject) = self.soon.pop() {
                subject
            } else if !relaxed && let Some((subject, soon)) = self.take_worthiest(only_urgent, now) {
                urgent = soon;
                subject
            } else if only_urgent {
                return None;
            } else if due(LAZIEST) {
                urgent = false;
                Subject::Part(self.lazy.pop_front()?.1)
            } else if relaxed && let Some(subject) = self.dirty.pop() {
                urgent = false;
                subject
            } else if due(if relaxed { Duration::ZERO } else { LAZY }) {
                urgent = false;
                Subject::Part(self.lazy.pop_front()?.1)
            } else if let Some(key) = self.next_litter(relaxed) {
                urgent = false;
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
                    // Empty rather than gone: a late copy of what began it must not
                    // find it as it was then.
                    let value = self.load_value(other, &LoadRecord::default());
                    unit.changes.push(Change::Set { key: other.key(), value, lease: None });
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

    /// Notes that an end of one of a job's tasks has to be committed in a block.
    pub(super) fn note_end(&mut self, id: &Arc<str>, part: PartId, now: Instant) {
        let Some(job) = self.open_job(id) else { return };
        let more = job.exits.values().filter(|e| e.done).count() as u32;
        // A replica is wanted again as soon as its end is committed.
        if !job.is_open() || job.is_service() || job.done.len() + more >= job.record.tasks {
            // With the last one, earlier ends that still wait for company.
            let ended = job.exits.keys().filter_map(|i| job.placed.get(i)).map(|p| p.home);
            let parts: BTreeSet<PartId> = ended.chain([part]).collect();
            parts.into_iter().for_each(|part| self.first.push(Subject::Part(part)));
        } else if !self.lazy.iter().any(|(_, p)| *p == part) {
            self.lazy.push_back((now, part));
        }
        self.wakes.flush = true;
    }

    /// Takes over the end of a unit.
    pub fn unit_ended(&mut self, unit: &WorkUnit, end: UnitEnd, now: Instant) {
        if self.on_way.get(&unit.subject) == Some(&unit.number) {
            self.on_way.remove(&unit.subject);
        }
        if let Some(other) = unit.absorbed {
            self.on_way.remove(&Subject::Part(other));
            if self.again.remove(&Subject::Part(other)) {
                // An end there that can't wait, or what is proposed: it is here now.
                self.again.insert(unit.subject.clone());
            }
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
                } else {
                    self.drop_void(*id, now);
                    if end == UnitEnd::NotMade {
                        self.mark_part(*id, false);
                    } else {
                        self.inherited.remove(id);
                    }
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

    /// Takes back proposals that found no room in their part's record, and those
    /// that are admitted no longer: while a unit of the part was on its way they
    /// could not be told from what is in it, and nothing else would come to them.
    fn drop_void(&mut self, part: PartId, now: Instant) {
        let old = |p: &Placed| now.saturating_duration_since(p.since) > STUCK;
        self.drop_placed(part.block, |job, index, p| {
            p.home == part && (old(p) || !job.admits(part.block, index))
        });
    }

    /// Takes back all that is proposed in a block and not on its way.
    pub(super) fn drop_proposals_in(&mut self, block: u32) {
        self.drop_placed(block, |_, _, _| true);
    }

    fn drop_placed(&mut self, block: u32, void: impl Fn(&OpenJob, u32, &Placed) -> bool) {
        let mut proposed: Vec<(TaskId, Placed)> = Vec::new();
        for task in self.machines.values().filter(|m| m.block == block).flat_map(|m| &m.tasks) {
            let Some(job) = self.open_job(&task.job) else { continue };
            let Some(p) = job.placed.get(&task.index) else { continue };
            let own = !p.committed && p.home.block == block;
            if own && void(job, task.index, p) && !self.on_way.contains_key(&Subject::Part(p.home)) {
                proposed.push((task.clone(), p.clone()));
            }
        }
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

#[cfg(test)]
mod tests;
