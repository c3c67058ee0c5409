//! The queue of commits that wait and the set of commits in flight. The queue decides only the
//! order; the content of a commit is built when its target is taken from the queue.

use super::CommitTarget;
use super::commit_priority::SegmentPriorities;
use crate::records::SegmentId;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// While the write budget is scarce, task exits that do not finish their job wait this long, so
/// that one commit can cover several exits of a segment.
const DEFERRED_EXITS_DELAY: Duration = Duration::from_secs(3);
/// Allocations and placements are committed before deferred exits for at most this long: a worker
/// lists an exited task in its heartbeats until the exit is committed.
const DEFERRED_EXITS_MAX_DELAY: Duration = Duration::from_secs(8);

/// A first-in, first-out queue of commit targets without duplicates.
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

    /// Returns the position and score of the target with the highest score, the first one among
    /// equals. Targets with a negative score are skipped.
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

/// A target taken from the commit queue, to be committed next.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct NextTarget {
    /// Job, segment or key whose records the commit changes.
    pub target: CommitTarget,
    /// Whether urgent work or the completion of a job waits for this commit.
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

/// The commit queue of one controller. Each target has at most one commit in flight; a target that
/// is taken while its commit is in flight is queued again when that commit has finished.
#[derive(Debug, Default)]
pub(super) struct CommitQueue {
    /// Jobs and segments whose commit goes before all others: it completes a job, or contains exits
    /// of cancelled jobs or service replicas.
    job_completions: TargetQueue,
    /// Jobs with allocations and segments with placements of urgent work.
    urgent: TargetQueue,
    /// Jobs with allocations and segments with placements of other work.
    normal: TargetQueue,
    /// Segments that have only task exits to commit, and since when.
    deferred_exits: VecDeque<(Instant, SegmentId)>,
    /// When the last commit of each target was sent.
    sent_at: HashMap<CommitTarget, Instant>,
    /// Targets that a commit in flight changes, with the commit's sequence number.
    in_flight: HashMap<CommitTarget, u64>,
    /// Targets to queue again once their commit in flight has finished.
    requeue: HashSet<CommitTarget>,
    /// Targets that must wait until the commit of another target has finished, by that other
    /// target.
    blocked: HashMap<CommitTarget, HashSet<CommitTarget>>,
    /// Sequence number of the last commit.
    last_sequence_number: u64,
    /// Cached priorities of segments, used while the write budget is scarce.
    pub priorities: SegmentPriorities,
}

impl CommitQueue {
    /// Queues a target whose commit goes before all others, since it completes a job or contains
    /// exits of cancelled jobs or service replicas.
    pub fn push_job_completion(&mut self, target: CommitTarget) {
        self.job_completions.push(target);
    }

    /// Queues a target with allocations or placements.
    pub fn push(&mut self, target: CommitTarget, urgent: bool) {
        if urgent { self.urgent.push(target) } else { self.normal.push(target) }
    }

    /// Queues a segment whose task exits may wait, so that one commit can cover several of them.
    pub fn defer_exit(&mut self, segment: SegmentId, now: Instant) {
        if !self.deferred_exits.iter().any(|(_, s)| *s == segment) {
            self.deferred_exits.push_back((now, segment));
        }
    }

    /// Moves the deferred exits of segment `from` to segment `to`, into which `from` has been
    /// merged.
    pub fn move_deferred_exits(&mut self, from: SegmentId, to: SegmentId, now: Instant) {
        self.deferred_exits.retain(|(_, segment)| *segment != from);
        self.deferred_exits.push_back((now, to));
    }

    /// Drops the deferred exits of a shard that this controller no longer leases.
    pub fn drop_deferred_exits(&mut self, shard: u32) {
        self.deferred_exits.retain(|(_, segment)| segment.shard != shard);
    }

    /// Returns how many targets with allocations or placements are queued.
    pub fn backlog(&self) -> usize {
        self.urgent.len() + self.normal.len()
    }

    /// Whether any target is queued that is not urgent.
    pub fn has_non_urgent(&self) -> bool {
        !self.deferred_exits.is_empty() || self.normal.len() > 0
    }

    /// Returns when the last commit of a target was sent.
    pub fn sent_at(&self, target: &CommitTarget) -> Option<Instant> {
        self.sent_at.get(target).copied()
    }

    /// Forgets when the last commit of a target was sent.
    pub fn forget_sent(&mut self, target: &CommitTarget) {
        self.sent_at.remove(target);
    }

    /// Takes the next target while the write budget is ample: job completions first, then urgent
    /// targets, overdue exits, other allocations and placements, and all other exits, each in the
    /// order of arrival.
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

    /// Takes the next target while the write budget is scarce: job completions first, then overdue
    /// exits, then the target with the highest score. The third argument of `score` says whether
    /// the target is queued as urgent.
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

    /// Whether a commit that changes the target is in flight.
    pub fn is_in_flight(&self, target: &CommitTarget) -> bool {
        self.in_flight.contains_key(target)
    }

    /// Whether a commit of any segment of the shard is in flight.
    pub fn is_shard_in_flight(&self, shard: u32) -> bool {
        self.in_flight
            .keys()
            .any(|target| matches!(target, CommitTarget::Segment(segment) if segment.shard == shard))
    }

    /// Returns the sequence number for a new commit.
    pub fn next_sequence_number(&mut self) -> u64 {
        self.last_sequence_number += 1;
        self.last_sequence_number
    }

    /// Notes that the commit with this sequence number, which changes the target, is in flight.
    pub fn mark_in_flight(&mut self, target: CommitTarget, sequence_number: u64) {
        self.in_flight.insert(target, sequence_number);
    }

    /// Notes when a commit of the target was sent.
    pub fn record_sent(&mut self, target: CommitTarget, now: Instant) {
        self.sent_at.insert(target, now);
    }

    /// Notes that a commit of the target has finished. Does nothing if a later commit of the target
    /// is in flight.
    pub fn clear_in_flight(&mut self, target: &CommitTarget, sequence_number: u64) {
        if self.in_flight.get(target) == Some(&sequence_number) {
            self.in_flight.remove(target);
        }
    }

    /// Notes that the commit which merged the target, a segment, into another segment has finished.
    pub fn clear_merged_in_flight(&mut self, target: &CommitTarget) {
        self.in_flight.remove(target);
    }

    /// Queues the target again once its commit in flight has finished.
    pub fn requeue_after_commit(&mut self, target: CommitTarget) {
        self.requeue.insert(target);
    }

    /// Returns whether the target was to be queued again after its commit, and cancels that.
    pub fn take_requeue(&mut self, target: &CommitTarget) -> bool {
        self.requeue.remove(target)
    }

    /// Holds `target` back until the commit of `blocker` has finished.
    pub fn block_on(&mut self, blocker: CommitTarget, target: CommitTarget) {
        self.blocked.entry(blocker).or_default().insert(target);
    }

    /// Queues the targets that waited for the commit of `blocker` to finish, and `blocker` itself
    /// if it was to be queued again. Returns whether any target was queued.
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
