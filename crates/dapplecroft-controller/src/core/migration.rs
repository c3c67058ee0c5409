//! Moving over from the first layout, in which all that runs in a shard is one
//! value, however large, to bounded segments. That value may be too large to be
//! written again, so it never is: segments take its place machine by machine, and
//! it is dropped when they have taken all of it. Every step leaves a true
//! state, from which whoever holds the shard then goes on.
//!
//! To be deleted with [`crate::legacy`].

use super::Core;
use crate::ranges::Ranges;
use crate::records::{SegmentId, SegmentRecord};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Bytes of completed tasks that one segment is given to take over.
const CHUNK: usize = 400;

/// What a segment takes over besides its machines.
#[derive(Debug, Clone, Default)]
pub(super) struct Inherited {
    pub done: BTreeMap<String, Ranges>,
    pub tries: BTreeMap<String, BTreeMap<u32, u64>>,
}

impl Core {
    /// As holder, decides which segment takes what of a shard's old record, and
    /// asks for their commits behind all that is urgent.
    pub(super) fn plan_migration(&mut self, shard: u32, _now: Instant) {
        let whole = SegmentId::whole(shard);
        if self.is_mixed() || !self.segments.contains_key(&whole) {
            return;
        }
        self.inherited.retain(|id, _| id.shard != shard);
        let Some(old) = self.segments.get(&whole).map(|l| l.record.clone()) else { return };
        let (done, tries) = self.unmoved(shard, &old);
        let mut segments: Vec<SegmentId> = Vec::new();
        for machine in old.machines.keys() {
            segments.extend(self.assign_segment(machine).filter(|p| p.segment.is_some()));
        }
        // In pieces, each for whichever segment has room.
        let mut pieces: Vec<Inherited> = Vec::new();
        for (id, done) in done {
            for chunk in done.chunks(CHUNK) {
                pieces
                    .push(Inherited { done: BTreeMap::from([(id.clone(), chunk)]), ..Inherited::default() });
            }
        }
        for (id, tries) in tries {
            let tries: Vec<(u32, u64)> = tries.into_iter().collect();
            for chunk in tries.chunks(CHUNK / 16) {
                let own = BTreeMap::from([(id.clone(), chunk.iter().copied().collect())]);
                pieces.push(Inherited { tries: own, ..Inherited::default() });
            }
        }
        let limit = self.limits().value;
        for piece in pieces {
            let own = SegmentRecord {
                done: piece.done.clone(),
                last_attempts: piece.tries.clone(),
                ..Default::default()
            };
            let weight = super::segments::weight(&own);
            let known = self.segment_numbers(shard);
            let fits = |n: &u32| {
                let id = SegmentId::new(shard, *n);
                let has = self.segments.get(&id).map_or(0, |l| l.weight);
                has + self.pending.get(&id).copied().unwrap_or(0) + weight <= limit * 3 / 4
            };
            let number = known.iter().copied().find(fits).or_else(|| (0..).find(|n| !known.contains(n)));
            let Some(number) = number else { return };
            let id = SegmentId::new(shard, number);
            *self.pending.entry(id).or_default() += weight;
            let segment = self.inherited.entry(id).or_default();
            for (job, done) in piece.done {
                let all = segment.done.entry(job).or_default();
                *all = all.union(&done);
            }
            for (job, tries) in piece.tries {
                segment.tries.entry(job).or_default().extend(tries);
            }
            segments.push(id);
        }
        segments.sort_unstable();
        segments.dedup();
        tracing::info!(
            block = shard,
            segments = segments.len(),
            "what runs in a block moves over to segments"
        );
        segments.into_iter().for_each(|segment| self.mark_segment(segment, false));
        self.mark_segment(whole, false);
    }

    /// What of an old record's completed tasks and last attempts no segment has yet.
    fn unmoved(&self, shard: u32, old: &SegmentRecord) -> (BTreeMap<String, Ranges>, Tries) {
        let mut done = BTreeMap::new();
        let mut tries: Tries = BTreeMap::new();
        for (id, ranges) in &old.done {
            let Some(job) = self.open_job(id).filter(|j| j.is_open()) else { continue };
            let mut left = ranges.difference(&job.recorded_done());
            for (_, load) in self.segments_of(shard).filter(|(id, _)| id.segment.is_some()) {
                if let Some(have) = load.record.done.get(id) {
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
                tries.insert(id.clone(), left);
            }
        }
        (done, tries)
    }

    /// Whether segments have taken over all of a shard's old record.
    pub(super) fn is_moved(&self, shard: u32) -> bool {
        let Some(old) = self.segments.get(&SegmentId::whole(shard)) else { return false };
        let open = |span: &crate::records::TaskSpan| {
            old.record.jobs.get(span.job as usize).is_some_and(|id| self.open_job(id).is_some())
        };
        let all = old
            .record
            .machines
            .iter()
            .all(|(m, spans)| !spans.iter().any(open) || self.recorded_segment(shard, m).is_some());
        let (done, tries) = self.unmoved(shard, &old.record);
        all && done.is_empty() && tries.is_empty()
    }

    /// Asks for what is left of a move.
    pub(super) fn continue_move(&mut self, shard: u32, now: Instant) {
        let whole = SegmentId::whole(shard);
        if self.is_mixed() || !self.segments.contains_key(&whole) || !self.is_holder(shard) {
            return;
        }
        if self.is_moved(shard) {
            self.mark_segment(whole, false);
        } else if !self.commits.is_shard_in_flight(shard) {
            let planned = self.inherited.keys().any(|id| id.shard == shard);
            if !planned && self.machines.values().all(|m| m.shard != shard || m.segment.is_some()) {
                self.plan_migration(shard, now);
            }
        }
    }

    /// Names of machines that a segment has to speak for with nothing on them,
    /// since an old record would speak for them otherwise.
    pub(super) fn to_cover(&self, id: SegmentId) -> Vec<Arc<str>> {
        let Some(old) = self.segments.get(&SegmentId::whole(id.shard)).filter(|_| id.segment.is_some())
        else {
            return Vec::new();
        };
        let here = |m: &&String| self.machines.get(m.as_str()).is_some_and(|m| m.segment == id.segment);
        let recorded = |m: &&String| self.recorded_segment(id.shard, m) == id.segment;
        old.record.machines.keys().filter(|m| here(m) || recorded(m)).map(|m| m.as_str().into()).collect()
    }
}

type Tries = BTreeMap<String, BTreeMap<u32, u64>>;
