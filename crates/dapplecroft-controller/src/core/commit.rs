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
    number: u64,
    proposals: Vec<(TaskId, Placed)>,
    /// A segment that is emptied with it, since another takes it in.
    absorbed: Option<SegmentId>,
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
    /// for company, unless changes are plenty (`relaxed`). While they are scarce,
    /// what has the highest priority goes first.
    pub fn next_commit(&mut self, relaxed: bool, only_urgent: bool, now: Instant) -> Option<PendingCommit> {
        if !self.has_role() {
            return None;
        }
        loop {
            let next = self.next_target(relaxed, only_urgent, now)?;
            if self.is_held_back(&next.target) {
                continue;
            }
            if let Some(update) = self.pending_commit(next, now) {
                return Some(update);
            }
        }
    }

    fn next_target(&mut self, relaxed: bool, only_urgent: bool, now: Instant) -> Option<NextTarget> {
        let next = if relaxed {
            self.commits.next_relaxed(only_urgent, now)
        } else {
            self.take_highest_priority(only_urgent, now)
        };
        if next.is_some() || only_urgent {
            return next;
        }
        let key = self.next_obsolete_key(relaxed)?;
        Some(NextTarget { target: CommitTarget::ObsoleteKey(key), urgent: false })
    }

    /// Whether a subject has to wait for the end of a unit in flight; it is
    /// looked at again then. What a record of the first layout has may be moved
    /// over only once no write of that is in flight, which could come after it.
    fn is_held_back(&mut self, target: &CommitTarget) -> bool {
        if let CommitTarget::Segment(id) = target
            && id.segment.is_some()
        {
            let whole = CommitTarget::Segment(SegmentId::whole(id.shard));
            if self.commits.is_in_flight(&whole) {
                self.commits.block_on(whole, target.clone());
                return true;
            }
        }
        let in_flight = self.commits.is_in_flight(target);
        if in_flight {
            self.commits.recheck_later(target.clone());
        }
        in_flight
    }

    /// What a subject has to commit, if anything.
    fn pending_commit(&mut self, next: NextTarget, now: Instant) -> Option<PendingCommit> {
        let NextTarget { target, urgent } = next;
        let absorbed = match &target {
            // Nothing can be committed of a shard that is no longer leased. Taken in
            // and restored, its segments would queue each other without end.
            CommitTarget::Segment(id) if self.is_holder(id.shard) => self.make_segment_fit(*id),
            _ => None,
        };
        let update = match &target {
            CommitTarget::Job(id) => self.job_update(id),
            CommitTarget::Segment(id) => self.segment_update(*id),
            CommitTarget::ObsoleteKey(key) => self.obsolete_key_update(key),
        };
        let Some((mut update, proposals)) = update else {
            if let (Some(other), CommitTarget::Segment(by)) = (absorbed, target) {
                self.restore(other, by);
            }
            return None;
        };
        let number = self.commits.next_number();
        if let Some(other) = absorbed {
            self.empty_absorbed(other, &mut update);
            self.commits.begin(CommitTarget::Segment(other), number);
        }
        self.commits.begin(target.clone(), number);
        self.commits.note_sent(target.clone(), now);
        Some(PendingCommit { target, update, urgent, number, proposals, absorbed })
    }

    /// Sends machines elsewhere if a segment would outgrow a value, or takes in
    /// another segment, which it returns, if both are light.
    fn make_segment_fit(&mut self, id: SegmentId) -> Option<SegmentId> {
        if self.segments.contains_key(&SegmentId::whole(id.shard)) {
            self.relieve(id);
            return None;
        }
        self.absorb(id)
    }

    /// Adds to a unit that the segment which is taken in has nothing any more.
    fn empty_absorbed(&self, other: SegmentId, update: &mut AtomicUpdate) {
        let version = self.segments.get(&other).map_or(0, |segment| segment.version);
        update.conditions.push(Condition { key: other.key(), version });
        // Empty rather than gone: a late copy of what began it must not find it as
        // it was then.
        let value = self.segment_value(other, &SegmentRecord::default());
        update.changes.push(Change::Set { key: other.key(), value, lease: None });
    }

    /// Whether something waits for its turn, or for company.
    pub fn has_deferrable(&self) -> bool {
        self.commits.has_deferrable()
    }

    /// Asks for a commit of what a job has to commit.
    pub(super) fn mark_job(&mut self, id: &Arc<str>) {
        let Some(job) = self.open_job(id) else { return };
        let over = !job.is_open() || job.done.len() == job.record.tasks;
        let target = CommitTarget::Job(id.clone());
        if over {
            self.commits.push_job_end(target);
        } else {
            // The first allocation of an urgent job goes at once.
            let urgent = job.spec.priority < Priority::Normal && self.commits.sent_at(&target).is_none();
            self.commits.push(target, urgent);
        }
        self.wakeups.flush = true;
    }

    /// Asks for a commit of what is proposed in a segment, for urgent work or not.
    pub(super) fn mark_segment(&mut self, segment: SegmentId, urgent: bool) {
        self.commits.push(CommitTarget::Segment(segment), urgent);
        self.wakeups.flush = true;
    }

    fn next_obsolete_key(&mut self, relaxed: bool) -> Option<String> {
        if !relaxed || self.role.leadership.is_none() {
            return None;
        }
        self.obsolete_keys.pop_first()
    }

    /// Notes that an end of one of a job's tasks has to be committed in a shard.
    pub(super) fn note_end(&mut self, id: &Arc<str>, segment: SegmentId, now: Instant) {
        let Some(job) = self.open_job(id) else { return };
        let more = job.exits.values().filter(|e| e.done).count() as u32;
        // A replica is wanted again as soon as its end is committed.
        if !job.is_open() || job.is_service() || job.done.len() + more >= job.record.tasks {
            // With the last one, earlier ends that still wait for company.
            let ended = job.exits.keys().filter_map(|i| job.placed.get(i)).map(|p| p.segment);
            let segments: BTreeSet<SegmentId> = ended.chain([segment]).collect();
            segments
                .into_iter()
                .for_each(|segment| self.commits.push_job_end(CommitTarget::Segment(segment)));
        } else {
            self.commits.defer_end(segment, now);
        }
        self.wakeups.flush = true;
    }

    /// Takes over the end of a unit.
    pub fn commit_ended(&mut self, update: &PendingCommit, end: CommitOutcome, now: Instant) {
        self.commits.end(&update.target, update.number);
        if let Some(other) = update.absorbed {
            let other = CommitTarget::Segment(other);
            self.commits.end_absorbed(&other);
            if self.commits.take_recheck(&other) {
                // An end there that can't wait, or what is proposed: it is here now.
                self.commits.recheck_later(update.target.clone());
            }
        }
        match end {
            CommitOutcome::Committed(revision) => self.update_committed(update, revision, now),
            CommitOutcome::NotCommitted => self.update_not_committed(update),
        }
        match &update.target {
            CommitTarget::Job(id) => self.job_commit_ended(id),
            CommitTarget::Segment(id) => self.segment_commit_ended(*id, end, now),
            CommitTarget::ObsoleteKey(_) => {}
        }
        if self.commits.release_blocked(&update.target) {
            self.wakeups.flush = true;
        }
        self.wakeups.place = true;
    }

    fn update_committed(&mut self, update: &PendingCommit, revision: u64, now: Instant) {
        self.apply_changes(&update.update.changes, revision, now);
        if let (Some(other), CommitTarget::Segment(by)) = (update.absorbed, &update.target) {
            self.absorbed(other, *by, now);
        }
        // A machine can go while a placement on it is in flight.
        let machines = update.proposals.iter().map(|(_, placed)| placed.machine.clone());
        let lost: BTreeSet<Arc<str>> =
            machines.filter(|id| self.released_machines.contains_key(id)).collect();
        for id in lost {
            self.machine_released(&id, now);
        }
    }

    fn update_not_committed(&mut self, update: &PendingCommit) {
        if let (Some(other), CommitTarget::Segment(by)) = (update.absorbed, &update.target)
            && self.is_holder(by.shard)
        {
            self.restore(other, *by);
        }
        let mut jobs: BTreeSet<Arc<str>> = BTreeSet::new();
        for (task, placed) in &update.proposals {
            self.withdraw_proposal(task, placed);
            jobs.insert(task.job.clone());
        }
        if let CommitTarget::Job(id) = &update.target {
            if let Some(job) = self.open_job_mut(id) {
                job.allocating.clear();
                job.revoking.clear();
            }
            jobs.insert(id.clone());
        }
        for id in jobs {
            self.rederive(&id);
            self.drop_unallocated(&id);
        }
    }

    fn job_commit_ended(&mut self, id: &Arc<str>) {
        if self.role.leadership.is_none()
            && let Some(job) = self.open_job_mut(id)
            && !(job.allocating.is_empty() && job.revoking.is_empty())
        {
            // Decided while this unit was in flight, and gone with the leadership.
            job.allocating.clear();
            job.revoking.clear();
            self.rederive(id);
        }
        self.drop_unallocated(id);
        let more = self.open_job(id).is_some_and(|job| {
            let decided = !(job.allocating.is_empty() && job.revoking.is_empty());
            decided || job.done.len() == job.record.tasks
        });
        if more {
            self.mark_job(id);
        }
    }

    fn segment_commit_ended(&mut self, id: SegmentId, end: CommitOutcome, now: Instant) {
        if !self.role.leased_shards.contains_key(&id.shard) {
            self.drop_proposals_in(id.shard);
        } else {
            self.drop_void(id, now);
            if end == CommitOutcome::NotCommitted {
                self.mark_segment(id, false);
            } else {
                self.inherited.remove(&id);
            }
        }
        self.reweigh(id);
        self.continue_move(id.shard, now);
    }

    /// Takes back proposals that found no room in their segment's record, and those
    /// that are allocated no longer: while a unit of the segment was on its way they
    /// could not be told from what is in it, and nothing else would come to them.
    fn drop_void(&mut self, segment: SegmentId, now: Instant) {
        let old = |p: &Placed| now.saturating_duration_since(p.since) > PROPOSAL_TIMEOUT;
        self.drop_placed(segment.shard, |job, index, p| {
            p.segment == segment && (old(p) || !job.allocates(segment.shard, index))
        });
    }

    /// Takes back all that is proposed in a shard and not on its way.
    pub(super) fn drop_proposals_in(&mut self, shard: u32) {
        self.drop_placed(shard, |_, _, _| true);
    }

    fn drop_placed(&mut self, shard: u32, void: impl Fn(&OpenJob, u32, &Placed) -> bool) {
        let mut proposed: Vec<(TaskId, Placed)> = Vec::new();
        for task in self.machines.values().filter(|m| m.shard == shard).flat_map(|m| &m.tasks) {
            let Some(job) = self.open_job(&task.job) else { continue };
            let Some(p) = job.placed.get(&task.index) else { continue };
            let own = !p.committed && p.segment.shard == shard;
            if own
                && void(job, task.index, p)
                && !self.commits.is_in_flight(&CommitTarget::Segment(p.segment))
            {
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
