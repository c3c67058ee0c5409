//! What has to be committed, as units that are made whole or not at all: of a
//! job by the leader, of a shard by its holder.

use super::Core;
use super::commit_queue::NextTarget;
use crate::jobs::{OpenJob, Placed, TaskId};
use crate::records::{SegmentId, SegmentRecord};
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::state::{Change, Condition};
use dapplecroft_wire::users::Priority;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A proposal that found no room in its shard's record for so long is decided
/// again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(4);

/// Whose records a unit changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum CommitTarget {
    /// A job's.
    Job(Arc<str>),
    /// A shard's, or a segment's of it.
    Segment(SegmentId),
    /// A record that says nothing any more.
    ObsoleteKey(String),
}

/// A unit of changes.
#[derive(Debug, Clone)]
pub struct PendingCommit {
    /// What it is about.
    pub target: CommitTarget,
    /// The unit.
    pub update: AtomicUpdate,
    /// Whether urgent work or the end of a job waits for it.
    pub urgent: bool,
    sequence_number: u64,
    proposals: Vec<(TaskId, Placed)>,
    /// A segment that is emptied with it, since another takes it in.
    merged_segment: Option<SegmentId>,
}

/// How a unit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Made, at this revision.
    Committed(u64),
    /// Not made, and never will be.
    NotCommitted,
}

impl Core {
    /// The next unit to commit, of anything that has none in flight. What ends
    /// jobs goes first, then allocations and placements. Ends of other tasks wait
    /// for company, unless changes are plenty (`ample_budget`). While they are scarce,
    /// what has the highest priority goes first.
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

    /// Whether a subject has to wait for the end of a unit in flight; it is
    /// looked at again then. What a record of the first layout has may be moved
    /// over only once no write of that is in flight, which could come after it.
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

    /// What a subject has to commit, if anything.
    fn build_commit(&mut self, next: NextTarget, now: Instant) -> Option<PendingCommit> {
        let NextTarget { target, urgent } = next;
        let merged_segment = match &target {
            // Nothing can be committed of a shard that is no longer leased. Taken in
            // and restored, its segments would queue each other without end.
            CommitTarget::Segment(id) if self.is_holder(id.shard) => self.split_or_merge_segment(*id),
            _ => None,
        };
        let update = match &target {
            CommitTarget::Job(id) => self.job_update(id),
            CommitTarget::Segment(id) => self.segment_update(*id),
            CommitTarget::ObsoleteKey(key) => self.obsolete_key_update(key),
        };
        let Some((mut update, proposals)) = update else {
            if let (Some(other), CommitTarget::Segment(by)) = (merged_segment, target) {
                self.restore(other, by);
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

    /// Sends machines elsewhere if a segment would outgrow a value, or takes in
    /// another segment, which it returns, if both are light.
    fn split_or_merge_segment(&mut self, id: SegmentId) -> Option<SegmentId> {
        if self.segments.contains_key(&SegmentId::whole(id.shard)) {
            self.relieve(id);
            return None;
        }
        self.absorb(id)
    }

    /// Adds to a unit that the segment which is taken in has nothing any more.
    fn empty_merged_segment(&self, other: SegmentId, update: &mut AtomicUpdate) {
        let version = self.segments.get(&other).map_or(0, |segment| segment.version);
        update.conditions.push(Condition { key: other.key(), version });
        // Empty rather than gone: a late copy of what began it must not find it as
        // it was then.
        let value = self.segment_value(other, &SegmentRecord::default());
        update.changes.push(Change::Set { key: other.key(), value, lease: None });
    }

    /// Whether something waits for its turn, or for company.
    pub fn has_non_urgent(&self) -> bool {
        self.commit_queue.has_non_urgent()
    }

    /// Asks for a commit of what a job has to commit.
    pub(super) fn queue_job_commit(&mut self, id: &Arc<str>) {
        let Some(job) = self.open_job(id) else { return };
        let over = !job.is_open() || job.done.len() == job.record.tasks;
        let target = CommitTarget::Job(id.clone());
        if over {
            self.commit_queue.push_job_completion(target);
        } else {
            // The first allocation of an urgent job goes at once.
            let urgent = job.spec.priority < Priority::Normal && self.commit_queue.sent_at(&target).is_none();
            self.commit_queue.push(target, urgent);
        }
        self.wakeups.commit = true;
    }

    /// Asks for a commit of what is proposed in a segment, for urgent work or not.
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

    /// Notes that an end of one of a job's tasks has to be committed in a shard.
    pub(super) fn queue_exit_commit(&mut self, id: &Arc<str>, segment: SegmentId, now: Instant) {
        let Some(job) = self.open_job(id) else { return };
        let more = job.exits.values().filter(|e| e.done).count() as u32;
        // A replica is wanted again as soon as its end is committed.
        if !job.is_open() || job.is_service() || job.done.len() + more >= job.record.tasks {
            // With the last one, earlier ends that still wait for company.
            let ended = job.exits.keys().filter_map(|i| job.placed.get(i)).map(|p| p.segment);
            let segments: BTreeSet<SegmentId> = ended.chain([segment]).collect();
            segments
                .into_iter()
                .for_each(|segment| self.commit_queue.push_job_completion(CommitTarget::Segment(segment)));
        } else {
            self.commit_queue.defer_exit(segment, now);
        }
        self.wakeups.commit = true;
    }

    /// Takes over the end of a unit.
    pub fn finish_commit(&mut self, commit: &PendingCommit, outcome: CommitOutcome, now: Instant) {
        self.commit_queue.clear_in_flight(&commit.target, commit.sequence_number);
        if let Some(other) = commit.merged_segment {
            let other = CommitTarget::Segment(other);
            self.commit_queue.clear_merged_in_flight(&other);
            if self.commit_queue.take_requeue(&other) {
                // An end there that can't wait, or what is proposed: it is here now.
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
        if let (Some(other), CommitTarget::Segment(by)) = (commit.merged_segment, &commit.target) {
            self.absorbed(other, *by, now);
        }
        // A machine can go while a placement on it is in flight.
        let machines = commit.proposals.iter().map(|(_, placed)| placed.machine.clone());
        let lost: BTreeSet<Arc<str>> =
            machines.filter(|id| self.released_machines.contains_key(id)).collect();
        for id in lost {
            self.machine_gone(&id, now);
        }
    }

    fn revert_uncommitted(&mut self, commit: &PendingCommit) {
        if let (Some(other), CommitTarget::Segment(by)) = (commit.merged_segment, &commit.target)
            && self.is_holder(by.shard)
        {
            self.restore(other, *by);
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
            // Decided while this unit was in flight, and gone with the leadership.
            job.allocating.clear();
            job.revoking.clear();
            self.refresh_job(id);
        }
        self.withdraw_unallocated_proposals(id);
        let more = self.open_job(id).is_some_and(|job| {
            let decided = !(job.allocating.is_empty() && job.revoking.is_empty());
            decided || job.done.len() == job.record.tasks
        });
        if more {
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
                self.inherited_results.remove(&id);
            }
        }
        self.reweigh(id);
        self.continue_move(id.shard, now);
    }

    /// Takes back proposals that found no room in their segment's record, and those
    /// that are allocated no longer: while a unit of the segment was on its way they
    /// could not be told from what is in it, and nothing else would come to them.
    fn withdraw_stale_proposals(&mut self, segment: SegmentId, now: Instant) {
        let old = |p: &Placed| now.saturating_duration_since(p.since) > PROPOSAL_TIMEOUT;
        self.withdraw_shard_proposals_if(segment.shard, |job, index, p| {
            p.segment == segment && (old(p) || !job.allocates(segment.shard, index))
        });
    }

    /// Takes back all that is proposed in a shard and not on its way.
    pub(super) fn withdraw_shard_proposals(&mut self, shard: u32) {
        self.withdraw_shard_proposals_if(shard, |_, _, _| true);
    }

    fn withdraw_shard_proposals_if(
        &mut self,
        shard: u32,
        should_withdraw: impl Fn(&OpenJob, u32, &Placed) -> bool,
    ) {
        let mut proposed: Vec<(TaskId, Placed)> = Vec::new();
        for task in self.machines.values().filter(|m| m.shard == shard).flat_map(|m| &m.tasks) {
            let Some(job) = self.open_job(&task.job) else { continue };
            let Some(p) = job.placed.get(&task.index) else { continue };
            let own = !p.committed && p.segment.shard == shard;
            if own
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
