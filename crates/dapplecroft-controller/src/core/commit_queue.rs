//! What waits to be committed and what is being committed. The queue decides no
//! more than the order; what a unit contains is worked out when it is taken.

use super::Subject;
use super::commit_priority::SegmentPriorities;
use crate::records::SegmentId;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Ends of tasks that leave their job unfinished wait this long for others to
/// share a change with, while changes are scarce.
const DEFERRED_ENDS_DELAY: Duration = Duration::from_secs(3);
/// They wait longer for allocations and placements, but not for ever: a worker
/// lists its tasks until their ends are committed.
const DEFERRED_ENDS_MAX_DELAY: Duration = Duration::from_secs(8);

/// Subjects without duplicates, first in, first out.
#[derive(Debug, Default)]
struct SubjectQueue {
    order: VecDeque<Subject>,
    members: HashSet<Subject>,
}

impl SubjectQueue {
    fn push(&mut self, subject: Subject) {
        if self.members.insert(subject.clone()) {
            self.order.push_back(subject);
        }
    }

    fn len(&self) -> usize {
        self.order.len()
    }

    /// The position and score of the subject with the highest score, of equal
    /// ones the first; none whose score is below 0.
    fn best(&self, score: impl Fn(&Subject) -> f64) -> Option<(usize, f64)> {
        let mut best: Option<(usize, f64)> = None;
        for (position, subject) in self.order.iter().enumerate() {
            let own = score(subject);
            if own >= 0.0 && best.is_none_or(|(_, highest)| own > highest) {
                best = Some((position, own));
            }
        }
        best
    }

    fn take(&mut self, position: usize) -> Option<Subject> {
        let subject = self.order.remove(position)?;
        self.members.remove(&subject);
        Some(subject)
    }

    fn pop(&mut self) -> Option<Subject> {
        let subject = self.order.pop_front()?;
        self.members.remove(&subject);
        Some(subject)
    }
}

/// What is to be committed next.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct NextSubject {
    /// Whose records change.
    pub subject: Subject,
    /// Whether urgent work or the end of a job waits for it.
    pub urgent: bool,
}

impl NextSubject {
    fn urgent(subject: Subject) -> NextSubject {
        NextSubject { subject, urgent: true }
    }

    fn normal(subject: Subject) -> NextSubject {
        NextSubject { subject, urgent: false }
    }
}

/// The commit queue of one controller. Each subject has at most one unit in
/// flight; what comes up meanwhile is looked at again when that has ended.
#[derive(Debug, Default)]
pub(super) struct CommitQueue {
    /// What ends jobs.
    job_ends: SubjectQueue,
    /// Jobs with allocations, and segments with placements, of urgent work.
    urgent: SubjectQueue,
    /// Those of other work.
    normal: SubjectQueue,
    /// Segments with nothing but ends of tasks to commit, since when.
    deferred_ends: VecDeque<(Instant, SegmentId)>,
    /// When something of a subject was last sent to be committed.
    sent_at: HashMap<Subject, Instant>,
    /// Units in flight, by number.
    in_flight: HashMap<Subject, u64>,
    /// Subjects that have more to commit once their unit has ended.
    recheck: HashSet<Subject>,
    /// Subjects that wait for the end of another one's unit.
    blocked: HashMap<Subject, HashSet<Subject>>,
    /// Number of the last unit.
    last_unit: u64,
    /// How much each segment has waiting to be committed.
    pub priorities: SegmentPriorities,
}

impl CommitQueue {
    /// Queues what ends a job: it goes before all else.
    pub fn push_job_end(&mut self, subject: Subject) {
        self.job_ends.push(subject);
    }

    /// Queues allocations or placements.
    pub fn push(&mut self, subject: Subject, urgent: bool) {
        if urgent { self.urgent.push(subject) } else { self.normal.push(subject) }
    }

    /// Queues ends of tasks, which wait for others to share a change with.
    pub fn defer_end(&mut self, segment: SegmentId, now: Instant) {
        if !self.deferred_ends.iter().any(|(_, s)| *s == segment) {
            self.deferred_ends.push_back((now, segment));
        }
    }

    /// Deferred ends of one segment are recorded in another from now on.
    pub fn move_deferred_ends(&mut self, from: SegmentId, to: SegmentId, now: Instant) {
        self.deferred_ends.retain(|(_, segment)| *segment != from);
        self.deferred_ends.push_back((now, to));
    }

    /// Drops the deferred ends of a shard that is no longer leased.
    pub fn drop_deferred_ends_of(&mut self, shard: u32) {
        self.deferred_ends.retain(|(_, segment)| segment.shard != shard);
    }

    /// How many subjects have allocations or placements that wait.
    pub fn backlog(&self) -> usize {
        self.urgent.len() + self.normal.len()
    }

    /// Whether anything waits that is not urgent.
    pub fn has_deferrable(&self) -> bool {
        !self.deferred_ends.is_empty() || self.normal.len() > 0
    }

    /// When something of a subject was last sent.
    pub fn sent_at(&self, subject: &Subject) -> Option<Instant> {
        self.sent_at.get(subject).copied()
    }

    /// Forgets when a subject was last sent.
    pub fn forget_sent(&mut self, subject: &Subject) {
        self.sent_at.remove(subject);
    }

    /// Takes the next subject while changes are plenty: first come, first served.
    pub fn next_relaxed(&mut self, only_urgent: bool, now: Instant) -> Option<NextSubject> {
        if let Some(subject) = self.job_ends.pop().or_else(|| self.urgent.pop()) {
            return Some(NextSubject::urgent(subject));
        }
        if only_urgent {
            return None;
        }
        let subject = self
            .take_deferred_end(DEFERRED_ENDS_MAX_DELAY, now)
            .or_else(|| self.normal.pop())
            .or_else(|| self.take_deferred_end(Duration::ZERO, now));
        subject.map(NextSubject::normal)
    }

    /// Takes the next subject while changes are scarce: the one with the highest
    /// score. The score is told whether the subject is queued as urgent.
    pub fn next_scarce(
        &mut self,
        only_urgent: bool,
        score: impl Fn(&CommitQueue, &Subject, bool) -> f64,
        now: Instant,
    ) -> Option<NextSubject> {
        if let Some(subject) = self.job_ends.pop() {
            return Some(NextSubject::urgent(subject));
        }
        if !only_urgent && let Some(subject) = self.take_deferred_end(DEFERRED_ENDS_MAX_DELAY, now) {
            return Some(NextSubject::normal(subject));
        }
        let highest = self.take_highest(only_urgent, score);
        if highest.is_some() || only_urgent {
            return highest;
        }
        self.take_deferred_end(DEFERRED_ENDS_DELAY, now).map(NextSubject::normal)
    }

    fn take_highest(
        &mut self,
        only_urgent: bool,
        score: impl Fn(&CommitQueue, &Subject, bool) -> f64,
    ) -> Option<NextSubject> {
        let urgent = self.urgent.best(|subject| score(self, subject, true));
        let normal = self.normal.best(|subject| score(self, subject, false)).filter(|_| !only_urgent);
        match (urgent, normal) {
            (Some((position, highest)), other) if other.is_none_or(|(_, score)| score <= highest) => {
                self.urgent.take(position).map(NextSubject::urgent)
            }
            (_, Some((position, _))) => self.normal.take(position).map(NextSubject::normal),
            (_, None) => None,
        }
    }

    fn take_deferred_end(&mut self, least: Duration, now: Instant) -> Option<Subject> {
        let (since, segment) = *self.deferred_ends.front()?;
        if now.saturating_duration_since(since) < least {
            return None;
        }
        self.deferred_ends.pop_front();
        Some(Subject::Segment(segment))
    }

    /// Whether a unit of a subject is in flight.
    pub fn is_in_flight(&self, subject: &Subject) -> bool {
        self.in_flight.contains_key(subject)
    }

    /// Whether a unit of any segment of a shard is in flight.
    pub fn is_shard_in_flight(&self, shard: u32) -> bool {
        self.in_flight
            .keys()
            .any(|subject| matches!(subject, Subject::Segment(segment) if segment.shard == shard))
    }

    /// A number for a new unit.
    pub fn next_number(&mut self) -> u64 {
        self.last_unit += 1;
        self.last_unit
    }

    /// Notes that a unit is in flight that changes a subject.
    pub fn begin(&mut self, subject: Subject, number: u64) {
        self.in_flight.insert(subject, number);
    }

    /// Notes when a subject's own unit was sent.
    pub fn note_sent(&mut self, subject: Subject, now: Instant) {
        self.sent_at.insert(subject, now);
    }

    /// Notes the end of a unit, unless a later one of the subject is in flight.
    pub fn end(&mut self, subject: &Subject, number: u64) {
        if self.in_flight.get(subject) == Some(&number) {
            self.in_flight.remove(subject);
        }
    }

    /// Notes that a subject that another unit changed too is free again.
    pub fn end_absorbed(&mut self, subject: &Subject) {
        self.in_flight.remove(subject);
    }

    /// Looks at a subject again once its unit in flight has ended.
    pub fn recheck_later(&mut self, subject: Subject) {
        self.recheck.insert(subject);
    }

    /// Whether a subject was to be looked at again; it no longer is.
    pub fn take_recheck(&mut self, subject: &Subject) -> bool {
        self.recheck.remove(subject)
    }

    /// Holds a subject back until another one's unit has ended.
    pub fn block_on(&mut self, blocker: Subject, subject: Subject) {
        self.blocked.entry(blocker).or_default().insert(subject);
    }

    /// Queues what waited for the end of a subject's unit; returns whether
    /// anything did.
    pub fn release_blocked(&mut self, blocker: &Subject) -> bool {
        let mut released = false;
        for subject in self.blocked.remove(blocker).unwrap_or_default() {
            self.urgent.push(subject);
            released = true;
        }
        if self.recheck.remove(blocker) {
            self.urgent.push(blocker.clone());
            released = true;
        }
        released
    }
}

#[cfg(test)]
mod tests;
