//! What runs in each block, as its record says, taken over into the copy.

use super::{Core, Load};
use crate::jobs::{Job, Placed, Stop, TaskId};
use crate::ranges::Ranges;
use crate::records::{LoadRecord, PartId, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

impl Core {
    /// Brings what runs in a block up to its record. Only machines whose spans
    /// changed are looked at.
    pub(super) fn apply_load(
        &mut self,
        id: PartId,
        record: LoadRecord,
        size: usize,
        version: u64,
        now: Instant,
    ) {
        let block = id.block;
        let old = self.loads.remove(&id).unwrap_or_default();
        let (before, mut after) = (tasks_of(&old.record), tasks_of(&record));
        if id.part.is_none() {
            // Parts speak for their machines, whatever a whole block's record says.
            after.retain(|m, _| self.recorded_part(block, m).is_none());
        }
        let same = |a: &[(&str, Span)], b: &[(&str, Span)]| {
            a.len() == b.len()
                && a.iter().zip(b).all(|((j, s), (k, t))| {
                    j == k
                        && (s.first, s.last, s.attempt, s.session) == (t.first, t.last, t.attempt, t.session)
                })
        };
        let mut jobs: BTreeSet<Arc<str>> = BTreeSet::new();
        let names: BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
        let changed: Vec<&str> = names
            .into_iter()
            .filter(|m| match (before.get(m), after.get(m)) {
                (Some(a), Some(b)) => !same(a, b),
                _ => true,
            })
            .filter(|m| id.part.is_some() || self.recorded_part(block, m).is_none())
            .collect();
        // First what has left, then what has come: a task may have moved.
        let mut come: Vec<(TaskId, Arc<str>, u64, u64)> = Vec::new();
        let mut left: Vec<(TaskId, Placed)> = Vec::new();
        for name in &changed {
            let machine: Arc<str> = (*name).into();
            let mut there: BTreeMap<TaskId, (u64, u64)> = BTreeMap::new();
            for (job_id, span) in after.get(name).into_iter().flatten() {
                let Some((job_id, job)) = self.jobs.get_key_value(*job_id) else { continue };
                let Job::Open(job) = job else { continue };
                for index in span.first..=span.last.min(job.record.tasks.saturating_sub(1)) {
                    there.insert(TaskId { job: job_id.clone(), index }, (span.attempt, span.session));
                }
            }
            if let Some(known) = self.machines.get(&machine) {
                for task in &known.tasks {
                    let Some(p) = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index)) else {
                        continue;
                    };
                    let stays = there.get(task).is_some_and(|(attempt, _)| *attempt == p.attempt);
                    // What another part has is for that one to say, unless this one
                    // takes over from a record of the first layout.
                    let own = p.home == id || (p.home == PartId::whole(block) && id.part.is_some());
                    if p.committed && own && !stays {
                        left.push((task.clone(), p.clone()));
                    }
                }
            }
            come.extend(
                there.into_iter().map(|(t, (attempt, session))| (t, machine.clone(), attempt, session)),
            );
        }
        for (task, placed) in left {
            let Some(job) = self.open_job_mut(&task.job) else { continue };
            job.placed.remove(&task.index);
            job.exits.remove(&task.index);
            let amounts = job.need.amounts;
            self.unbook(&task, &placed, amounts);
            jobs.insert(task.job);
        }
        let held = self.role.holdings.contains_key(&block);
        for (task, machine, attempt, session) in come {
            jobs.insert(task.job.clone());
            // Single keys are read ahead of the watch, and own commits are known
            // at once: another block's record that is newer may have the task by
            // now. At no time do two records have it, so the newer one is right.
            // Taken over, this one would hide the other's task until its own
            // next version drops it, and the task would seem to wait.
            let known = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index));
            let newer = known.filter(|p| p.committed && p.home != id);
            if newer.and_then(|p| self.loads.get(&p.home)).is_some_and(|l| l.version > version) {
                continue;
            }
            let Some(job) = self.open_job_mut(&task.job) else { continue };
            let stop = (!job.is_open()).then_some(Stop::Withdrawn);
            match job.placed.get_mut(&task.index) {
                Some(p) if p.attempt == attempt && p.machine == machine => {
                    if !p.committed {
                        p.committed = true;
                        p.since = now;
                    }
                    // The same may have been proposed here, in an earlier session
                    // of the worker, and committed by another holder since: a
                    // session older than the record's would later pass for proof
                    // that the task is gone.
                    p.session = session;
                    p.home = id;
                    p.stop = stop.or(p.stop);
                }
                other => {
                    // A proposal of this process that lost against the record.
                    let lost = other.map(|p| p.clone());
                    let placed = Placed {
                        attempt,
                        machine: machine.clone(),
                        home: id,
                        session,
                        committed: true,
                        since: now,
                        running: None,
                        sent: 0,
                        stop,
                        freed: false,
                    };
                    let amounts = job.need.amounts;
                    job.placed.insert(task.index, placed);
                    if let Some(lost) = lost {
                        self.unbook(&task, &lost, amounts);
                    }
                    self.book(&task, &machine, block, now);
                }
            }
            if held {
                self.wakes.command.insert(machine);
            }
        }
        for job in old.record.done.keys().chain(record.done.keys()) {
            let new = ranges_of(&record.done, job);
            if new == ranges_of(&old.record.done, job) {
                continue;
            }
            if let Some((job, Job::Open(_))) = self.jobs.get_key_value(job.as_str()) {
                jobs.insert(job.clone());
            }
        }
        for job in old.record.tries.keys().chain(record.tries.keys()) {
            if let Some((job, Job::Open(_))) = self.jobs.get_key_value(job.as_str()) {
                jobs.insert(job.clone());
            }
        }
        for job_id in &jobs {
            let Some(job) = self.open_job_mut(job_id) else { continue };
            let done = ranges_of(&record.done, job_id);
            if done.is_empty() {
                job.done_in.remove(&id);
            } else {
                job.done_in.insert(id, done);
            }
            match record.tries.get(&**job_id) {
                Some(tries) => job.tries.insert(id, tries.clone()),
                None => job.tries.remove(&id),
            };
            let placed = &job.placed;
            job.exits.retain(|i, e| placed.get(i).is_some_and(|p| p.attempt == e.attempt));
        }
        if size > 0 {
            let weight = super::parts::weight(&record);
            self.loads.insert(id, Load { record, version, size, weight });
        }
        if held && id.part.is_some() && !self.absorbs(id) {
            self.follow_part(id);
        }
        for id in &jobs {
            self.rederive(id);
            self.finish_if_over(id);
        }
        self.wakes.place = true;
    }

    /// A block's record can be known before a job that runs there, when it was
    /// read by itself or keys were read page by page: what it says of the job is
    /// taken over once the job is known. Else its tasks would seem to wait, and
    /// be started a second time.
    pub(super) fn reapply_loads(&mut self, id: &Arc<str>, now: Instant) {
        let known: Vec<PartId> = self
            .loads
            .iter()
            .filter(|(_, l)| {
                let r = &l.record;
                r.jobs.iter().any(|j| **j == **id)
                    || r.done.contains_key(&**id)
                    || r.tries.contains_key(&**id)
            })
            .map(|(part, _)| *part)
            .collect();
        for part in known {
            if let Some(load) = self.loads.remove(&part) {
                self.apply_load(part, load.record, load.size, load.version, now);
            }
        }
    }

    /// Tasks that two records have, and those that a record has on a machine and
    /// this copy does not: none, unless another's newer record has them. For tests, and for
    /// when a copy is in doubt; it goes over all that runs.
    pub fn copy_faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut seen: BTreeMap<(&str, u32), PartId> = BTreeMap::new();
        for (part, load) in &self.loads {
            for (machine, spans) in tasks_of(&load.record) {
                if part.part.is_none() && self.recorded_part(part.block, machine).is_some() {
                    continue;
                }
                for (id, span) in spans {
                    let Some(job) = self.open_job(id) else { continue };
                    for index in span.first..=span.last {
                        if let Some(other) = seen.insert((id, index), *part).filter(|o| o != part) {
                            faults.push(format!("{id}/{index} is in {other:?} and in {part:?}"));
                        }
                        let placed = job.placed.get(&index);
                        let here = |p: &Placed| p.attempt == span.attempt && *p.machine == *machine;
                        let moved = |p: &Placed| {
                            let other = self.loads.get(&p.home).filter(|_| p.home != *part);
                            other.is_some_and(|l| l.version > load.version)
                        };
                        if !placed.is_some_and(|p| here(p) || moved(p)) {
                            faults
                                .push(format!("{id}/{index} is on {machine} ({part:?}), known: {placed:?}"));
                        }
                    }
                }
            }
        }
        faults
    }
}

/// All tasks of a record's spans.
fn tasks_of(record: &LoadRecord) -> BTreeMap<&str, Vec<(&str, Span)>> {
    record
        .machines
        .iter()
        .map(|(machine, spans)| {
            let named =
                spans.iter().filter_map(|s| Some((record.jobs.get(s.job as usize)?.as_str(), *s))).collect();
            (machine.as_str(), named)
        })
        .collect()
}

/// Ranges of a record, or none.
fn ranges_of(map: &BTreeMap<String, Ranges>, id: &str) -> Ranges {
    map.get(id).cloned().unwrap_or_default()
}
