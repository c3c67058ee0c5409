//! The parts of what runs in a block: each machine is in one, and each is a
//! record of its own that no value's limit is too small for.
//!
//! A part's *weight* is the most bytes that its record may come to take by ends
//! of what it has: every task is counted as if it stood alone, every job as if
//! it had completed tasks and last attempts there. A part of which a piece
//! ends never weighs more than before, so only placements have to be kept
//! within the limit, and an end always fits.

use super::Core;
use crate::jobs::{Placed, TaskId};
use crate::machines::Machine;
use crate::records::{LoadRecord, PartId, stored_size};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The part of a value's limit that a record's weight may reach.
const FULL: f64 = 0.92;
/// The same for the size of a record of the first layout.
const FULL_WHOLE: f64 = 0.85;
/// Machines that have nothing yet join a part up to this weight, so that the
/// part has room for what will run on them.
const JOIN: f64 = 0.5;
/// What a record takes with nothing in it.
const HEAD: usize = 40;

fn digits(n: u64) -> usize {
    n.checked_ilog10().unwrap_or(0) as usize + 1
}

/// A job's name, with its places among completed tasks and last attempts.
fn name_weight(id: &str) -> usize {
    id.len() + 3 + 2 * 9
}

fn machine_weight(id: &str) -> usize {
    id.len() + 6
}

/// A task that stands alone: `123:45678*2@3 `.
fn task_weight(index: u32, attempt: u64, session: u64) -> usize {
    let mark = |n: u64| if n == 1 { 0 } else { 1 + digits(n) };
    // While it runs, or its attempt once it has ended.
    (5 + digits(index.into()) + mark(attempt) + mark(session)).max(digits(index.into()) + digits(attempt) + 2)
}

/// The weight of a record.
pub(super) fn weight(record: &LoadRecord) -> usize {
    let mut names: BTreeSet<&str> = record.jobs.iter().map(String::as_str).collect();
    let mut sum = HEAD;
    for (machine, spans) in &record.machines {
        sum += machine_weight(machine);
        for s in spans {
            sum += (s.first..=s.last).map(|i| task_weight(i, s.attempt, s.session)).sum::<usize>();
        }
    }
    for (id, done) in &record.done {
        names.insert(id);
        sum +=
            done.pieces().iter().map(|(a, b)| digits((*a).into()) + digits((*b).into()) + 2).sum::<usize>();
    }
    for (id, tries) in &record.tries {
        names.insert(id);
        sum += tries.iter().map(|(i, n)| digits((*i).into()) + digits(*n) + 2).sum::<usize>();
    }
    sum + names.into_iter().map(name_weight).sum::<usize>()
}

/// How a record's weight grows with what is placed.
pub(super) struct Scale {
    total: usize,
    most: usize,
    /// Whether it is one of the first layout, in which neighbours are counted
    /// as one and a margin stands for what ends may add.
    whole: bool,
    last: Option<(TaskId, u64)>,
    names: BTreeSet<String>,
    machines: BTreeSet<String>,
}

impl Scale {
    /// What a record weighs so far.
    pub fn new(record: &LoadRecord, limit: usize) -> Scale {
        let names = record.jobs.iter().chain(record.done.keys()).chain(record.tries.keys());
        Scale {
            total: weight(record),
            most: (limit as f64 * FULL) as usize,
            whole: false,
            last: None,
            names: names.cloned().collect(),
            machines: record.machines.keys().cloned().collect(),
        }
    }

    /// The same for a record of the first layout.
    pub fn whole(record: &LoadRecord, limit: usize) -> Scale {
        let scale = Scale::new(record, limit);
        let total = stored_size(&crate::legacy::write_load(record));
        Scale { total, most: (limit as f64 * FULL_WHOLE) as usize, whole: true, ..scale }
    }

    /// Takes a placement in, if its weight lets it.
    pub fn take(&mut self, task: &TaskId, p: &Placed) -> bool {
        let mut own = task_weight(task.index, p.attempt, p.session);
        if self.whole {
            let joins =
                |(t, n): &(TaskId, u64)| t.job == task.job && t.index + 1 == task.index && *n == p.attempt;
            own = if self.last.as_ref().is_some_and(joins) { 0 } else { 14 };
            self.last = Some((task.clone(), p.attempt));
        }
        let (named, there) = (self.names.contains(&*task.job), self.machines.contains(&*p.machine));
        own += if named { 0 } else { name_weight(&task.job) };
        own += if there { 0 } else { machine_weight(&p.machine) };
        if self.total + own > self.most {
            return false;
        }
        self.total += own;
        if !named {
            self.names.insert(task.job.to_string());
        }
        if !there {
            self.machines.insert(p.machine.to_string());
        }
        true
    }
}

impl Core {
    /// The records of a block: the whole one of the first layout, then parts.
    pub(super) fn loads_of(&self, block: u32) -> impl Iterator<Item = (&PartId, &super::Load)> {
        self.loads.range(PartId::whole(block)..=PartId::new(block, u32::MAX))
    }

    /// The part whose record speaks for a machine, if any does.
    pub(super) fn recorded_part(&self, block: u32, machine: &str) -> Option<u32> {
        let in_it =
            |id: &PartId, l: &super::Load| id.part.filter(|_| l.record.machines.contains_key(machine));
        self.loads_of(block).find_map(|(id, l)| in_it(id, l))
    }

    /// What a part weighs with all that is proposed in it.
    fn part_weight(&self, id: &PartId) -> usize {
        let pending = self.pending.get(id).copied().unwrap_or(0);
        self.loads.get(id).map_or(HEAD, |l| l.weight) + pending
    }

    /// Whether a part has no room for another task of a job.
    pub(super) fn is_part_full(&self, id: &PartId) -> bool {
        self.part_weight(id) + 64 > (self.limits().value as f64 * FULL) as usize
    }

    /// Whether a machine's part has no room for more, and it can't change it.
    pub(super) fn is_recordless(&self, machine: &Machine) -> bool {
        let Some(part) = machine.part.filter(|_| !machine.tasks.is_empty()) else { return false };
        self.is_part_full(&PartId::new(machine.block, part))
    }

    /// The part that a machine is in from now on. One on which nothing is and
    /// which no record names may change it; no other.
    pub(super) fn settle_part(&mut self, id: &str) -> Option<PartId> {
        let machine = self.machines.get(id)?;
        let block = machine.block;
        if self.is_mixed() {
            return Some(PartId::whole(block));
        }
        if let Some(part) = machine.part.map(|part| PartId::new(block, part)) {
            let fixed = !machine.tasks.is_empty() || self.recorded_part(block, id).is_some();
            if fixed || !self.is_part_full(&part) {
                return Some(part);
            }
        }
        let most = (self.limits().value as f64 * JOIN) as usize;
        let own = self.weight_of(machine);
        let known = self.part_numbers(block);
        let open = known.iter().copied().find(|n| self.part_weight(&PartId::new(block, *n)) + own <= most);
        let number = open.or_else(|| (0..).find(|n| !known.contains(n)))?;
        let part = PartId::new(block, number);
        *self.pending.entry(part).or_default() += own;
        self.machines.get_mut(id)?.part = Some(number);
        Some(part)
    }

    /// What a machine weighs with all that is on it and proposed for it.
    fn weight_of(&self, machine: &Machine) -> usize {
        let mut names: BTreeSet<&str> = BTreeSet::new();
        let mut sum = machine_weight(&machine.id);
        for task in &machine.tasks {
            let Some(p) = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index)) else { continue };
            sum += task_weight(task.index, p.attempt, p.session);
            names.insert(&task.job);
        }
        sum + names.into_iter().map(name_weight).sum::<usize>()
    }

    /// Works out anew what is to come in a part besides what its record has.
    pub(super) fn reweigh(&mut self, id: PartId) {
        let Some(part) = id.part else { return };
        let record = self.loads.get(&id).map(|l| &l.record);
        let mut sum = 0;
        for machine in self.machines.values().filter(|m| m.block == id.block && m.part == Some(part)) {
            if !record.is_some_and(|r| r.machines.contains_key(&*machine.id)) {
                sum += self.weight_of(machine);
                continue;
            }
            for task in &machine.tasks {
                let Some(p) = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index)) else {
                    continue;
                };
                if !p.committed {
                    sum += task_weight(task.index, p.attempt, p.session) + name_weight(&task.job) / 4;
                }
            }
        }
        if let Some(more) = self.inherited.get(&id) {
            let own =
                LoadRecord { done: more.done.clone(), tries: more.tries.clone(), ..LoadRecord::default() };
            sum += weight(&own);
        }
        if sum > 0 {
            self.pending.insert(id, sum);
        } else {
            self.pending.remove(&id);
        }
    }

    /// Numbers of parts that are in use, recorded or not.
    pub(super) fn part_numbers(&self, block: u32) -> BTreeSet<u32> {
        let of = PartId::new(block, 0)..=PartId::new(block, u32::MAX);
        let recorded = self.loads.range(of.clone()).filter_map(|(id, _)| id.part);
        recorded.chain(self.pending.range(of).filter_map(|(id, _)| id.part)).collect()
    }

    /// Counts a proposal in; returns whether its part has room for it.
    pub(super) fn weigh(&mut self, task: &TaskId, attempt: u64, session: u64, part: PartId) -> bool {
        if part.part.is_none() {
            return true;
        }
        let known = self.loads.get(&part).is_some_and(|l| l.record.jobs.iter().any(|j| **j == *task.job));
        let own =
            task_weight(task.index, attempt, session) + if known { 0 } else { name_weight(&task.job) / 4 };
        if self.part_weight(&part) + own > (self.limits().value as f64 * FULL) as usize {
            return false;
        }
        *self.pending.entry(part).or_default() += own;
        true
    }

    /// As holder, learns from the records which machine is in which part.
    pub(super) fn learn_parts(&mut self, block: u32) {
        let mut parts: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for (id, load) in self.loads_of(block) {
            let Some(part) = id.part else { continue };
            parts.extend(load.record.machines.keys().map(|m| (Arc::from(m.as_str()), part)));
        }
        for machine in self.machines.values_mut().filter(|m| m.block == block) {
            machine.part = parts.get(&machine.id).copied();
        }
        self.pending.retain(|id, _| id.block != block);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ranges::Ranges;
    use crate::records::Span;

    // The weight must hold whatever ends in whatever order.
    #[test]
    fn no_order_of_ends_makes_a_record_outgrow_its_weight() {
        let name = |n: u32| format!("run-{:040}", n);
        let mut record = LoadRecord::default();
        for job in 0..3 {
            record.jobs.push(name(job));
        }
        for m in 0..6u32 {
            let span = |job, first, attempt, session| Span { job, first, last: first + 19, attempt, session };
            let spans = vec![span(m % 3, 99_000 + m * 100, 1, 1), span((m + 1) % 3, m * 1000, 7, 12)];
            record.machines.insert(format!("i-{m:06}"), spans);
        }
        let begun = weight(&record);
        let size = |r: &LoadRecord| stored_size(&serde_json::to_value(r).unwrap());
        assert!(size(&record) <= begun);
        // Every second task ends, then all others, done or not.
        for rest in [0, 1] {
            for spans in record.machines.values_mut() {
                let mut left = Vec::new();
                for s in spans.iter() {
                    for i in s.first..=s.last {
                        if i % 2 != rest {
                            left.push(Span { first: i, last: i, ..*s });
                        } else if i % 3 == 0 {
                            let tries = record.tries.entry(name(s.job)).or_default();
                            tries.insert(i, s.attempt);
                        } else {
                            record.done.entry(name(s.job)).or_default().insert(i);
                        }
                    }
                }
                *spans = left;
            }
            assert!(size(&record) <= begun, "{} of {begun}", size(&record));
            assert!(weight(&record) <= begun + 8 * record.done.len() * 40);
        }
        assert_eq!(record.done.values().map(Ranges::len).sum::<u32>() + 80, 240);
    }
}
