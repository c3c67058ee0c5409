//! Builds commits and applies their outcomes. Each commit is one atomic update: of a job's record
//! by the leader, or of a segment's record by the shard's holder.

use super::Core;
use super::commit_queue::NextTarget;
use crate::jobs::{OpenJob, Placement, TaskId};
use crate::records::{SegmentId, SegmentRecord};
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::state::{Change, Condition};
use dapplecroft_wire::users::Priority;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A proposed placement that did not fit into its segment's record for this long is withdrawn, so
/// that the task can be placed elsewhere.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(4);

/// Job, segment or key whose records a commit changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum CommitTarget {
    /// The record of a job.
    Job(Arc<str>),
    /// The record of one segment of a shard, or the shard's single record of the first layout.
    Segment(SegmentId),
    /// An obsolete record, which the commit deletes.
    ObsoleteKey(String),
}

/// A commit that has been built and not finished.
#[derive(Debug, Clone)]
pub struct PendingCommit {
    /// Job, segment or key whose records the commit changes.
    pub target: CommitTarget,
    /// Conditions and changes of the commit.
    pub update: AtomicUpdate,
    /// Whether urgent work or the completion of a job waits for this commit.
    pub urgent: bool,
    /// Number of the commit, which distinguishes it from later commits of the same target.
    sequence_number: u64,
    /// Proposed placements that the commit contains.
    proposals: Vec<(TaskId, Placement)>,
    /// Segment that this commit merges into its target: its record is emptied by the same update.
    merged_segment: Option<SegmentId>,
}

/// Outcome of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The update was committed at this revision.
    Committed(u64),
    /// The update was not committed and never will be.
    NotCommitted,
}

impl Core {
    /// Builds the next commit, for a target that has no commit in flight. Commits that complete
    /// jobs go first, then allocations and placements. While the write budget is scarce
    /// (`ample_budget` is false), these are ordered by priority, and exits of tasks that do not
    /// complete their job wait for others, so that one commit covers several.
    pub fn next_commit(
        &mut self,
        ample_budget: bool,
        only_urgent: bool,
        now: Instant,
    ) -> Option<PendingCommit> {
        if !self.has_role() {
            return None;
        }
        loop {
            let next = self.next_target(ample_budget, only_urgent, now)?;
            if self.must_wait(&next.target) {
                continue;
            }
            if let Some(commit) = self.build_commit(next, now) {
                return Some(commit);
            }
        }
    }

    fn next_target(&mut self, ample_budget: bool, only_urgent: bool, now: Instant) -> Option<NextTarget> {
        let next = if ample_budget {
            self.commit_queue.next_in_order(only_urgent, now)
        } else {
            self.take_highest_priority(only_urgent, now)
        };
        if next.is_some() || only_urgent {
            return next;
        }
        let key = self.next_obsolete_key(ample_budget)?;
        Some(NextTarget { target: CommitTarget::ObsoleteKey(key), urgent: false })
    }

    /// Whether a target has to wait for a commit in flight; if so, it is queued again when that
    /// commit has finished. A segment also waits for commits of the shard's single record of the
    /// first layout: tasks may be moved from that record to segments only when no write of it is in
    /// flight, since such a write could take effect after the move.
    fn must_wait(&mut self, target: &CommitTarget) -> bool {
        if let CommitTarget::Segment(id) = target
            && id.segment.is_some()
        {
            let whole = CommitTarget::Segment(SegmentId::whole(id.shard));
            if self.commit_queue.is_in_flight(&whole) {
                self.commit_queue.block_on(whole, target.clone());
                return true;
            }
        }
        let in_flight = self.commit_queue.is_in_flight(target);
        if in_flight {
            self.commit_queue.requeue_after_commit(target.clone());
        }
        in_flight
    }

    /// Builds the commit of a target, if the target has anything to commit.
    fn build_commit(&mut self, next: NextTarget, now: Instant) -> Option<PendingCommit> {
        let NextTarget { target, urgent } = next;
        let merged_segment = match &target {
            // Segments of a shard that is no longer leased are not merged: nothing can be
            // committed there, so the merge would be undone, and undoing it queues the other
            // segment, which would attempt the same merge without end.
            CommitTarget::Segment(id) if self.is_holder(id.shard) => self.split_or_merge_segment(*id),
            _ => None,
        };
        let update = match &target {
            CommitTarget::Job(id) => self.job_update(id),
            CommitTarget::Segment(id) => self.segment_update(*id),
            CommitTarget::ObsoleteKey(key) => self.obsolete_key_update(key),
        };
        let Some((mut update, proposals)) = update else {
            if let (Some(other), CommitTarget::Segment(into)) = (merged_segment, target) {
                self.undo_segment_merge(other, into);
            }
            return None;
        };
        let sequence_number = self.commit_queue.next_sequence_number();
        if let Some(other) = merged_segment {
            self.empty_merged_segment(other, &mut update);
            self.commit_queue.mark_in_flight(CommitTarget::Segment(other), sequence_number);
        }
        self.commit_queue.mark_in_flight(target.clone(), sequence_number);
        self.commit_queue.record_sent(target.clone(), now);
        Some(PendingCommit { target, update, urgent, sequence_number, proposals, merged_segment })
    }

    /// While a shard still has its record of the first layout, moves machines out of a segment
    /// whose record would exceed the size limit of a value. Otherwise merges another segment into
    /// this one if both are small; returns the other segment.
    fn split_or_merge_segment(&mut self, id: SegmentId) -> Option<SegmentId> {
        if self.segments.contains_key(&SegmentId::whole(id.shard)) {
            self.move_excess_machines(id);
            return None;
        }
        self.merge_lightest_segment(id)
    }

    /// Adds to an update that the record of the merged segment becomes empty.
    fn empty_merged_segment(&self, other: SegmentId, update: &mut AtomicUpdate) {
        let version = self.segments.get(&other).map_or(0, |segment| segment.version);
        update.conditions.push(Condition { key: other.key(), version });
        // The record is emptied instead of deleted: a delayed copy of the update that created it
        // has the condition that the key does not exist, and must not find that true again.
        let value = self.segment_value(other, &SegmentRecord::default());
        update.changes.push(Change::Set { key: other.key(), value, lease: None });
    }

    /// Whether any commit is queued that is not urgent.
    pub fn has_non_urgent(&self) -> bool {
        self.commit_queue.has_non_urgent()
    }

    /// Queues a commit of a job's allocations, revocations or completion.
    pub(super) fn queue_job_commit(&mut self, id: &Arc<str>) {
        let Some(job) = self.open_job(id) else { return };
        let finished = !job.is_open() || job.done.len() == job.record.tasks;
        let target = CommitTarget::Job(id.clone());
        if finished {
            self.commit_queue.push_job_completion(target);
        } else {
            // The first allocation of an urgent job does not wait for its turn by priority.
            let urgent = job.spec.priority < Priority::Normal && self.commit_queue.sent_at(&target).is_none();
            self.commit_queue.push(target, urgent);
        }
        self.wakeups.commit = true;
    }

    /// Queues a commit of the placements proposed in a segment. `urgent`: whether any of them is of
    /// urgent work.
    pub(super) fn queue_segment_commit(&mut self, segment: SegmentId, urgent: bool) {
        self.commit_queue.push(CommitTarget::Segment(segment), urgent);
        self.wakeups.commit = true;
    }

    fn next_obsolete_key(&mut self, ample_budget: bool) -> Option<String> {
        if !ample_budget || self.role.leader_key_version.is_none() {
            return None;
        }
        self.obsolete_keys.pop_first()
    }

    /// Queues a commit of the exit of one of a job's tasks, recorded in a segment.
    pub(super) fn queue_exit_commit(&mut self, id: &Arc<str>, segment: SegmentId, now: Instant) {
        let Some(job) = self.open_job(id) else { return };
        let uncommitted_done = job.uncommitted_exits.values().filter(|e| e.completed).count() as u32;
        // An exited service replica is replaced as soon as its exit is committed, so this does not
        // wait.
        if !job.is_open() || job.is_service() || job.done.len() + uncommitted_done >= job.record.tasks {
            // When the last task of a job exits, the job's deferred exits are committed as well.
            let ended = job.uncommitted_exits.keys().filter_map(|i| job.placed.get(i)).map(|p| p.segment);
            let segments: BTreeSet<SegmentId> = ended.chain([segment]).collect();
            segments
                .into_iter()
                .for_each(|segment| self.commit_queue.push_job_completion(CommitTarget::Segment(segment)));
        } else {
            self.commit_queue.defer_exit(segment, now);
        }
        self.wakeups.commit = true;
    }

    /// Applies the outcome of a commit and queues what waited for it.
    pub fn finish_commit(&mut self, commit: &PendingCommit, outcome: CommitOutcome, now: Instant) {
        self.commit_queue.clear_in_flight(&commit.target, commit.sequence_number);
        if let Some(other) = commit.merged_segment {
            let other = CommitTarget::Segment(other);
            self.commit_queue.clear_merged_in_flight(&other);
            if self.commit_queue.take_requeue(&other) {
                // Something was queued for the merged segment meanwhile; it is now part of the
                // target.
                self.commit_queue.requeue_after_commit(commit.target.clone());
            }
        }
        match outcome {
            CommitOutcome::Committed(revision) => self.apply_committed(commit, revision, now),
            CommitOutcome::NotCommitted => self.revert_uncommitted(commit),
        }
        match &commit.target {
            CommitTarget::Job(id) => self.after_job_commit(id),
            CommitTarget::Segment(id) => self.after_segment_commit(*id, outcome, now),
            CommitTarget::ObsoleteKey(_) => {}
        }
        if self.commit_queue.release_blocked(&commit.target) {
            self.wakeups.commit = true;
        }
        self.wakeups.place = true;
    }

    fn apply_committed(&mut self, commit: &PendingCommit, revision: u64, now: Instant) {
        self.apply_changes(&commit.update.changes, revision, now);
        if let (Some(other), CommitTarget::Segment(into)) = (commit.merged_segment, &commit.target) {
            self.finish_segment_merge(other, *into, now);
        }
        // A machine can be released while a placement on it is being committed.
        let machines = commit.proposals.iter().map(|(_, placed)| placed.machine.clone());
        let released: BTreeSet<Arc<str>> =
            machines.filter(|id| self.released_machines.contains_key(id)).collect();
        for id in released {
            self.machine_released(&id, now);
        }
    }

    fn revert_uncommitted(&mut self, commit: &PendingCommit) {
        if let (Some(other), CommitTarget::Segment(into)) = (commit.merged_segment, &commit.target)
            && self.is_holder(into.shard)
        {
            self.undo_segment_merge(other, *into);
        }
        let mut jobs: BTreeSet<Arc<str>> = BTreeSet::new();
        for (task, placed) in &commit.proposals {
            self.remove_proposal(task, placed);
            jobs.insert(task.job.clone());
        }
        if let CommitTarget::Job(id) = &commit.target {
            if let Some(job) = self.open_job_mut(id) {
                job.allocating.clear();
                job.revoking.clear();
            }
            jobs.insert(id.clone());
        }
        for id in jobs {
            self.refresh_job(&id);
            self.withdraw_unallocated_proposals(&id);
        }
    }

    fn after_job_commit(&mut self, id: &Arc<str>) {
        if self.role.leader_key_version.is_none()
            && let Some(job) = self.open_job_mut(id)
            && !(job.allocating.is_empty() && job.revoking.is_empty())
        {
            // These allocations and revocations were decided while the commit was in flight, and
            // are void since this process is no longer leader.
            job.allocating.clear();
            job.revoking.clear();
            self.refresh_job(id);
        }
        self.withdraw_unallocated_proposals(id);
        let has_more = self.open_job(id).is_some_and(|job| {
            let decided = !(job.allocating.is_empty() && job.revoking.is_empty());
            decided || job.done.len() == job.record.tasks
        });
        if has_more {
            self.queue_job_commit(id);
        }
    }

    fn after_segment_commit(&mut self, id: SegmentId, outcome: CommitOutcome, now: Instant) {
        if !self.role.leased_shards.contains_key(&id.shard) {
            self.withdraw_shard_proposals(id.shard);
        } else {
            self.withdraw_stale_proposals(id, now);
            if outcome == CommitOutcome::NotCommitted {
                self.queue_segment_commit(id, false);
            } else {
                self.inherited_history.remove(&id);
            }
        }
        self.recompute_pending_weight(id);
        self.continue_migration(id.shard, now);
    }

    /// Withdraws a segment's proposals that did not fit into its record for `PROPOSAL_TIMEOUT`, and
    /// those whose allocation was revoked. While a commit of the segment was in flight, these
    /// proposals may have been part of it and had to stay; no later event would withdraw them.
    fn withdraw_stale_proposals(&mut self, segment: SegmentId, now: Instant) {
        let timed_out = |p: &Placement| now.saturating_duration_since(p.learned_at) > PROPOSAL_TIMEOUT;
        self.withdraw_shard_proposals_if(segment.shard, |job, index, p| {
            p.segment == segment && (timed_out(p) || !job.is_allocated_to(segment.shard, index))
        });
    }

    /// Withdraws all proposals in a shard that are not in a commit in flight.
    pub(super) fn withdraw_shard_proposals(&mut self, shard: u32) {
        self.withdraw_shard_proposals_if(shard, |_, _, _| true);
    }

    fn withdraw_shard_proposals_if(
        &mut self,
        shard: u32,
        should_withdraw: impl Fn(&OpenJob, u32, &Placement) -> bool,
    ) {
        let mut proposed: Vec<(TaskId, Placement)> = Vec::new();
        for task in self.machines.values().filter(|m| m.shard == shard).flat_map(|m| &m.tasks) {
            let Some(job) = self.open_job(&task.job) else { continue };
            let Some(p) = job.placed.get(&task.index) else { continue };
            let is_proposed = !p.committed && p.segment.shard == shard;
            if is_proposed
                && should_withdraw(job, task.index, p)
                && !self.commit_queue.is_in_flight(&CommitTarget::Segment(p.segment))
            {
                proposed.push((task.clone(), p.clone()));
            }
        }
        let jobs: BTreeSet<Arc<str>> = proposed.iter().map(|(t, _)| t.job.clone()).collect();
        for (task, placed) in proposed {
            self.remove_proposal(&task, &placed);
        }
        for id in jobs {
            self.refresh_job(&id);
        }
    }

    /// Applies changes that this process has committed to the replica of the records.
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
