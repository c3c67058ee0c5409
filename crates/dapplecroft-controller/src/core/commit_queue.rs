//! What waits to be committed and what is being committed. The queue decides no
//! more than the order; what a unit contains is worked out when it is taken.

use super::CommitTarget;
use super::commit_priority::SegmentPriorities;
use crate::records::SegmentId;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Ends of tasks that leave their job unfinished wait this long for others to
/// share a change with, while changes are scarce.
const DEFERRED_EXITS_DELAY: Duration = Duration::from_secs(3);
/// They wait longer for allocations and placements, but not for ever: a worker
/// lists its tasks until their ends are committed.
const DEFERRED_EXITS_MAX_DELAY: Duration = Duration::from_secs(8);

/// Subjects without duplicates, first in, first out.
#[derive(Debug, Default)]
struct TargetQueue {
    order: VecDeque<CommitTarget>,
    members: HashSet<CommitTarget>,
}

impl TargetQueue {
    fn push(&mut self, target: CommitTarget) {
        if self.members.insert(target.clone()) {
            self.order.push_back(target);
        }
    }

    fn len(&self) -> usize {
        self.order.len()
    }

    /// The position and score of the subject with the highest score, of equal
    /// ones the first; none whose score is below 0.
    fn highest_score(&self, score: impl Fn(&CommitTarget) -> f64) -> Option<(usize, f64)> {
        let mut best: Option<(usize, f64)> = None;
        for (position, target) in self.order.iter().enumerate() {
            let value = score(target);
            if value >= 0.0 && best.is_none_or(|(_, highest)| value > highest) {
                best = Some((position, value));
            }
        }
        best
    }

    fn remove_at(&mut self, position: usize) -> Option<CommitTarget> {
        let target = self.order.remove(position)?;
        self.members.remove(&target);
        Some(target)
    }

    fn pop(&mut self) -> Option<CommitTarget> {
        let target = self.order.pop_front()?;
        self.members.remove(&target);
        Some(target)
    }
}

/// What is to be committed next.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct NextTarget {
    /// Whose records change.
    pub target: CommitTarget,
    /// Whether urgent work or the end of a job waits for it.
    pub urgent: bool,
}

impl NextTarget {
    fn urgent(target: CommitTarget) -> NextTarget {
        NextTarget { target, urgent: true }
    }

    fn normal(target: CommitTarget) -> NextTarget {
        NextTarget { target, urgent: false }
    }
}

/// The commit queue of one controller. Each subject has at most one unit in
/// flight; what comes up meanwhile is looked at again when that has ended.
#[derive(Debug, Default)]
pub(super) struct CommitQueue {
    /// What ends jobs.
    job_completions: TargetQueue,
    /// Jobs with allocations, and segments with placements, of urgent work.
    urgent: TargetQueue,
    /// Those of other work.
    normal: TargetQueue,
    /// Segments with nothing but ends of tasks to commit, since when.
    deferred_exits: VecDeque<(Instant, SegmentId)>,
    /// When something of a subject was last sent to be committed.
    sent_at: HashMap<CommitTarget, Instant>,
    /// Units in flight, by number.
    in_flight: HashMap<CommitTarget, u64>,
    /// Subjects that have more to commit once their unit has ended.
    requeue: HashSet<CommitTarget>,
    /// Subjects that wait for the end of another one's unit.
    blocked: HashMap<CommitTarget, HashSet<CommitTarget>>,
    /// Number of the last unit.
    last_sequence_number: u64,
    /// How much each segment has waiting to be committed.
    pub priorities: SegmentPriorities,
}

impl CommitQueue {
    /// Queues what ends a job: it goes before all else.
    pub fn push_job_completion(&mut self, target: CommitTarget) {
        self.job_completions.push(target);
    }

    /// Queues allocations or placements.
    pub fn push(&mut self, target: CommitTarget, urgent: bool) {
        if urgent { self.urgent.push(target) } else { self.normal.push(target) }
    }

    /// Queues ends of tasks, which wait for others to share a change with.
    pub fn defer_exit(&mut self, segment: SegmentId, now: Instant) {
        if !self.deferred_exits.iter().any(|(_, s)| *s == segment) {
            self.deferred_exits.push_back((now, segment));
        }
    }

    /// Deferred ends of one segment are recorded in another from now on.
    pub fn move_deferred_exits(&mut self, from: SegmentId, to: SegmentId, now: Instant) {
        self.deferred_exits.retain(|(_, segment)| *segment != from);
        self.deferred_exits.push_back((now, to));
    }

    /// Drops the deferred ends of a shard that is no longer leased.
    pub fn drop_deferred_exits(&mut self, shard: u32) {
        self.deferred_exits.retain(|(_, segment)| segment.shard != shard);
    }

    /// How many subjects have allocations or placements that wait.
    pub fn backlog(&self) -> usize {
        self.urgent.len() + self.normal.len()
    }

    /// Whether anything waits that is not urgent.
    pub fn has_non_urgent(&self) -> bool {
        !self.deferred_exits.is_empty() || self.normal.len() > 0
    }

    /// When something of a subject was last sent.
    pub fn sent_at(&self, target: &CommitTarget) -> Option<Instant> {
        self.sent_at.get(target).copied()
    }

    /// Forgets when a subject was last sent.
    pub fn forget_sent(&mut self, target: &CommitTarget) {
        self.sent_at.remove(target);
    }

    /// Takes the next subject while changes are plenty: first come, first served.
    pub fn next_in_order(&mut self, only_urgent: bool, now: Instant) -> Option<NextTarget> {
        if let Some(target) = self.job_completions.pop().or_else(|| self.urgent.pop()) {
            return Some(NextTarget::urgent(target));
        }
        if only_urgent {
            return None;
        }
        let target = self
            .take_deferred_exit(DEFERRED_EXITS_MAX_DELAY, now)
            .or_else(|| self.normal.pop())
            .or_else(|| self.take_deferred_exit(Duration::ZERO, now));
        target.map(NextTarget::normal)
    }

    /// Takes the next subject while changes are scarce: the one with the highest
    /// score. The score is told whether the subject is queued as urgent.
    pub fn next_by_score(
        &mut self,
        only_urgent: bool,
        score: impl Fn(&CommitQueue, &CommitTarget, bool) -> f64,
        now: Instant,
    ) -> Option<NextTarget> {
        if let Some(target) = self.job_completions.pop() {
            return Some(NextTarget::urgent(target));
        }
        if !only_urgent && let Some(target) = self.take_deferred_exit(DEFERRED_EXITS_MAX_DELAY, now) {
            return Some(NextTarget::normal(target));
        }
        let highest = self.take_highest(only_urgent, score);
        if highest.is_some() || only_urgent {
            return highest;
        }
        self.take_deferred_exit(DEFERRED_EXITS_DELAY, now).map(NextTarget::normal)
    }

    fn take_highest(
        &mut self,
        only_urgent: bool,
        score: impl Fn(&CommitQueue, &CommitTarget, bool) -> f64,
    ) -> Option<NextTarget> {
        let urgent = self.urgent.highest_score(|target| score(self, target, true));
        let normal = self.normal.highest_score(|target| score(self, target, false)).filter(|_| !only_urgent);
        match (urgent, normal) {
            (Some((position, highest)), other) if other.is_none_or(|(_, score)| score <= highest) => {
                self.urgent.remove_at(position).map(NextTarget::urgent)
            }
            (_, Some((position, _))) => self.normal.remove_at(position).map(NextTarget::normal),
            (_, None) => None,
        }
    }

    fn take_deferred_exit(&mut self, min_delay: Duration, now: Instant) -> Option<CommitTarget> {
        let (since, segment) = *self.deferred_exits.front()?;
        if now.saturating_duration_since(since) < min_delay {
            return None;
        }
        self.deferred_exits.pop_front();
        Some(CommitTarget::Segment(segment))
    }

    /// Whether a unit of a subject is in flight.
    pub fn is_in_flight(&self, target: &CommitTarget) -> bool {
        self.in_flight.contains_key(target)
    }

    /// Whether a unit of any segment of a shard is in flight.
    pub fn is_shard_in_flight(&self, shard: u32) -> bool {
        self.in_flight
            .keys()
            .any(|target| matches!(target, CommitTarget::Segment(segment) if segment.shard == shard))
    }

    /// A number for a new unit.
    pub fn next_sequence_number(&mut self) -> u64 {
        self.last_sequence_number += 1;
        self.last_sequence_number
    }

    /// Notes that a unit is in flight that changes a subject.
    pub fn mark_in_flight(&mut self, target: CommitTarget, sequence_number: u64) {
        self.in_flight.insert(target, sequence_number);
    }

    /// Notes when a subject's own unit was sent.
    pub fn record_sent(&mut self, target: CommitTarget, now: Instant) {
        self.sent_at.insert(target, now);
    }

    /// Notes the end of a unit, unless a later one of the subject is in flight.
    pub fn clear_in_flight(&mut self, target: &CommitTarget, sequence_number: u64) {
        if self.in_flight.get(target) == Some(&sequence_number) {
            self.in_flight.remove(target);
        }
    }

    /// Notes that a subject that another unit changed too is free again.
    pub fn clear_merged_in_flight(&mut self, target: &CommitTarget) {
        self.in_flight.remove(target);
    }

    /// Looks at a subject again once its unit in flight has ended.
    pub fn requeue_after_commit(&mut self, target: CommitTarget) {
        self.requeue.insert(target);
    }

    /// Whether a subject was to be looked at again; it no longer is.
    pub fn take_requeue(&mut self, target: &CommitTarget) -> bool {
        self.requeue.remove(target)
    }

    /// Holds a subject back until another one's unit has ended.
    pub fn block_on(&mut self, blocker: CommitTarget, target: CommitTarget) {
        self.blocked.entry(blocker).or_default().insert(target);
    }

    /// Queues what waited for the end of a subject's unit; returns whether
    /// anything did.
    pub fn release_blocked(&mut self, blocker: &CommitTarget) -> bool {
        let mut released = false;
        for target in self.blocked.remove(blocker).unwrap_or_default() {
            self.urgent.push(target);
            released = true;
        }
        if self.requeue.remove(blocker) {
            self.urgent.push(blocker.clone());
            released = true;
        }
        released
    }
}

#[cfg(test)]
mod tests;
