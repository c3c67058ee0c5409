//! Migration of a shard's placements from layout 1, where they are one value of any
//! size, to segments of bounded size.
//!
//! The old value may exceed the present size limit, so it is never written again.
//! Segments adopt its machines one by one, and the value is deleted when nothing is left that only
//! that value records. The records are consistent after every step, so that the next
//! holder of the shard can continue the migration.
//!
//! To be deleted together with [`crate::legacy`].

use super::Core;
use crate::ranges::Ranges;
use crate::records::{SegmentId, SegmentRecord};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Maximum size of a piece of a job's completed tasks that is assigned to one segment.
const HISTORY_CHUNK_BYTES: usize = 400;

/// History of tasks that a segment inherits from another record, in addition to machines.
#[derive(Debug, Clone, Default)]
pub(super) struct InheritedHistory {
    /// Completed tasks by job.
    pub done: BTreeMap<String, Ranges>,
    /// Last attempts of unfinished tasks, by job and task index.
    pub last_attempts: BTreeMap<String, BTreeMap<u32, u64>>,
}

impl Core {
    /// Decides, as the shard's holder, which segment inherits which part of the layout 1
    /// record, and queues the segments for commits with no urgency.
    pub(super) fn plan_migration(&mut self, shard: u32, _now: Instant) {
        let whole = SegmentId::whole(shard);
        if self.uses_legacy_layout() || !self.segments.contains_key(&whole) {
            return;
        }
        self.inherited_history.retain(|id, _| id.shard != shard);
        let Some(old) = self.segments.get(&whole).map(|segment| segment.record.clone()) else { return };
        let (done, last_attempts) = self.unmigrated_history(shard, &old);
        let mut segments: Vec<SegmentId> = Vec::new();
        for machine in old.machines.keys() {
            segments.extend(self.assign_segment(machine).filter(|p| p.segment.is_some()));
        }
        // Split the history into pieces, each for the first segment with room for it.
        let mut pieces: Vec<InheritedHistory> = Vec::new();
        for (id, done) in done {
            for chunk in done.chunks(HISTORY_CHUNK_BYTES) {
                pieces.push(InheritedHistory {
                    done: BTreeMap::from([(id.clone(), chunk)]),
                    ..InheritedHistory::default()
                });
            }
        }
        for (id, last_attempts) in last_attempts {
            let last_attempts: Vec<(u32, u64)> = last_attempts.into_iter().collect();
            for chunk in last_attempts.chunks(HISTORY_CHUNK_BYTES / 16) {
                let own = BTreeMap::from([(id.clone(), chunk.iter().copied().collect())]);
                pieces.push(InheritedHistory { last_attempts: own, ..InheritedHistory::default() });
            }
        }
        let limit = self.limits().value;
        for piece in pieces {
            let own = SegmentRecord {
                done: piece.done.clone(),
                last_attempts: piece.last_attempts.clone(),
                ..Default::default()
            };
            let weight = super::segments::record_weight(&own);
            let known = self.segment_numbers(shard);
            let fits = |n: &u32| {
                let id = SegmentId::new(shard, *n);
                let has = self.segments.get(&id).map_or(0, |segment| segment.max_size_bytes);
                has + self.proposed_bytes.get(&id).copied().unwrap_or(0) + weight <= limit * 3 / 4
            };
            let number = known.iter().copied().find(fits).or_else(|| (0..).find(|n| !known.contains(n)));
            let Some(number) = number else { return };
            let id = SegmentId::new(shard, number);
            *self.proposed_bytes.entry(id).or_default() += weight;
            let segment = self.inherited_history.entry(id).or_default();
            for (job, done) in piece.done {
                let all = segment.done.entry(job).or_default();
                *all = all.union(&done);
            }
            for (job, last_attempts) in piece.last_attempts {
                segment.last_attempts.entry(job).or_default().extend(last_attempts);
            }
            segments.push(id);
        }
        segments.sort_unstable();
        segments.dedup();
        tracing::info!(
            block = shard,
            segments = segments.len(),
            "migrating the shard's placements to segments"
        );
        segments.into_iter().for_each(|segment| self.queue_segment_commit(segment, false));
        self.queue_segment_commit(whole, false);
    }

    /// Completed tasks and last attempts of a layout 1 record that are still needed and
    /// that no segment's record has yet.
    fn unmigrated_history(
        &self,
        shard: u32,
        old: &SegmentRecord,
    ) -> (BTreeMap<String, Ranges>, LastAttempts) {
        let mut done = BTreeMap::new();
        let mut last_attempts: LastAttempts = BTreeMap::new();
        for (id, ranges) in &old.done {
            let Some(job) = self.open_job(id).filter(|j| j.is_open()) else { continue };
            let mut left = ranges.difference(&job.recorded_done());
            for (_, segment) in self.segments_of(shard).filter(|(id, _)| id.segment.is_some()) {
                if let Some(have) = segment.record.done.get(id) {
                    left = left.difference(have);
                }
            }
            if !left.is_empty() {
                done.insert(id.clone(), left);
            }
        }
        for (id, own) in &old.last_attempts {
            let Some(job) = self.open_job(id).filter(|j| j.is_open()) else { continue };
            let whole = SegmentId::whole(shard);
            let left: BTreeMap<u32, u64> = own
                .iter()
                .filter(|(i, n)| !job.done.contains(**i) && !job.has_later_attempt(whole, **i, **n))
                .filter(|(i, n)| !job.last_attempts.iter().any(|(p, t)| *p != whole && t.get(i) >= Some(n)))
                .map(|(i, n)| (*i, *n))
                .collect();
            if !left.is_empty() {
                last_attempts.insert(id.clone(), left);
            }
        }
        (done, last_attempts)
    }

    /// Whether segment records contain everything that is still needed of a shard's layout 1 record.
    pub(super) fn is_migration_complete(&self, shard: u32) -> bool {
        let Some(old) = self.segments.get(&SegmentId::whole(shard)) else { return false };
        let open = |span: &crate::records::TaskSpan| {
            old.record.jobs.get(span.job as usize).is_some_and(|id| self.open_job(id).is_some())
        };
        let all = old
            .record
            .machines
            .iter()
            .all(|(m, spans)| !spans.iter().any(open) || self.recorded_segment(shard, m).is_some());
        let (done, last_attempts) = self.unmigrated_history(shard, &old.record);
        all && done.is_empty() && last_attempts.is_empty()
    }

    /// Queues the remaining steps of a shard's migration: deletes the layout 1 record if
    /// nothing is left in it, or else plans again if no step is planned or in flight.
    pub(super) fn continue_migration(&mut self, shard: u32, now: Instant) {
        let whole = SegmentId::whole(shard);
        if self.uses_legacy_layout() || !self.segments.contains_key(&whole) || !self.is_holder(shard) {
            return;
        }
        if self.is_migration_complete(shard) {
            self.queue_segment_commit(whole, false);
        } else if !self.commit_queue.is_shard_in_flight(shard) {
            let planned = self.inherited_history.keys().any(|id| id.shard == shard);
            if !planned && self.machines.values().all(|m| m.shard != shard || m.segment.is_some()) {
                self.plan_migration(shard, now);
            }
        }
    }

    /// Machines that a segment's record must list even if they have no tasks, because
    /// otherwise the entries of the layout 1 record would still count for them.
    pub(super) fn machines_to_cover(&self, id: SegmentId) -> Vec<Arc<str>> {
        let Some(old) = self.segments.get(&SegmentId::whole(id.shard)).filter(|_| id.segment.is_some())
        else {
            return Vec::new();
        };
        let here = |m: &&String| self.machines.get(m.as_str()).is_some_and(|m| m.segment == id.segment);
        let recorded = |m: &&String| self.recorded_segment(id.shard, m) == id.segment;
        old.record.machines.keys().filter(|m| here(m) || recorded(m)).map(|m| m.as_str().into()).collect()
    }
}

/// Last attempts of unfinished tasks, by job and task index.
type LastAttempts = BTreeMap<String, BTreeMap<u32, u64>>;
