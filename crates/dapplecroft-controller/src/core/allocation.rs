//! The leader's allocation of waiting tasks to shards, within team limits.

use super::Core;
use super::placing::Round;
use crate::jobs::OpenJob;
use crate::ranges::Ranges;
use crate::records::{SegmentId, stored_size};
use dapplecroft_sched::{Candidate, ImagePresence, Resources, best_fit};
use dapplecroft_wire::peer::{BlockRoom, FreedRoom, RoomReply};
use dapplecroft_wire::users::Priority;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A job with so many tasks for each shard has a part for each, where there are so many
/// shards that its record could not name several ranges of each.
const LARGE_PART: usize = 16;
const MANY_SHARDS: usize = 16;

/// Tasks that a shard could not start for so long are taken back, if another
/// shard can start some.
const STALLED: Duration = Duration::from_secs(8);
/// Part of a shard's processors for which work may wait there, so that its
/// holder fills what becomes free without asking; more for urgent work, for
/// which other work gives way there.
const BACKLOG: i64 = 8;
const URGENT_BACKLOG: i64 = 4;

/// How long a hint on free room counts.
const HINT_LASTS: Duration = Duration::from_millis(1500);

/// Room that another holder has told of.
#[derive(Debug, Clone)]
pub(super) struct Hint {
    version: u64,
    at: Instant,
    pub(super) freed: HashMap<Arc<str>, Resources>,
}

/// What a shard could start of a job.
struct ShardFit {
    shard: u32,
    /// Tasks that may start.
    total: i64,
    /// Those on machines that are in use already.
    tight: i64,
    /// Those on machines with the image.
    with_image: i64,
    /// Whether tasks of the job were allocated there before.
    used: bool,
}

/// How well a shard suits `wanted` tasks of a job; the greatest is the best.
/// Fields are compared in the order in which they stand here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ShardScore {
    /// Whether all may start there.
    all: bool,
    with_image: i64,
    tight: i64,
    used: bool,
    /// Of shards that take all, the one with the least room; of others, the one
    /// with the most.
    room: i64,
    /// Of equal ones the first.
    shard: Reverse<u32>,
}

impl ShardFit {
    fn score(&self, wanted: i64) -> ShardScore {
        let all = self.total >= wanted;
        ShardScore {
            all,
            with_image: self.with_image.min(wanted),
            tight: self.tight.min(wanted),
            used: self.used,
            room: if all { -self.total } else { self.total },
            shard: Reverse(self.shard),
        }
    }
}

/// The shard that a job is bound to whose zones depend on each other: its
/// constraints hold across all its tasks, so one holder has to see all of them.
fn bound_shard(job: &OpenJob) -> Option<u32> {
    // What was taken back from a shard may be on a machine there all the same,
    // placed just before. What is done binds nothing any more, though the record
    // still says where it was allocated.
    let placed = job.placed.values().map(|placed| placed.segment.shard);
    let waiting = job.waiting.keys().chain(job.revoking.keys());
    placed.chain(waiting.copied()).next()
}

impl Core {
    /// What has become free in this holder's shards since their records.
    pub fn freed_room(&self) -> RoomReply {
        let mut parts: BTreeMap<SegmentId, BlockRoom> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| self.is_holder(m.shard)) {
            let mut freed = Resources::default();
            let mut segment_id = None;
            for task in &machine.tasks {
                let Some(job) = self.open_job(&task.job) else { continue };
                if let Some(placed) = job.placed.get(&task.index).filter(|p| p.resources_freed) {
                    freed += job.requirements.resources;
                    segment_id = Some(placed.segment);
                }
            }
            if let Some(segment_id) = segment_id {
                let version = self.segments.get(&segment_id).map_or(0, |l| l.version);
                let entry = parts.entry(segment_id).or_insert_with(|| BlockRoom {
                    block: segment_id.shard,
                    version,
                    freed: Vec::new(),
                    part: segment_id.segment,
                });
                entry.freed.push(FreedRoom {
                    machine: machine.id.to_string(),
                    cpus: freed.cpus,
                    gpus: freed.gpus,
                    memory: freed.memory,
                });
            }
        }
        RoomReply { blocks: parts.into_values().collect(), spare_changes: 0.0 }
    }

    /// Takes over what has become free in another holder's shards. It counts
    /// only on top of the record that it was told with, and not for long.
    pub fn take_room(&mut self, reply: &RoomReply, now: Instant) {
        for shard in &reply.blocks {
            let segment_id = SegmentId { shard: shard.block, segment: shard.part };
            let current = self.segments.get(&segment_id).map_or(0, |l| l.version);
            if current != shard.version || self.is_holder(shard.block) {
                continue;
            }
            let freed = shard
                .freed
                .iter()
                .map(|f| {
                    let resources = Resources { cpus: f.cpus, gpus: f.gpus, memory: f.memory };
                    (f.machine.as_str().into(), resources)
                })
                .collect();
            self.hints.insert(segment_id, Hint { version: current, at: now, freed });
            self.wakeups.place = true;
        }
    }

    /// What another holder has told to be free on machines since their records.
    pub(super) fn hinted(&self, shard: u32, now: Instant) -> Vec<&Hint> {
        let of = SegmentId::whole(shard)..=SegmentId::new(shard, u32::MAX);
        let fresh = |id: &SegmentId, hint: &Hint| {
            let current = self.segments.get(id).map_or(0, |l| l.version);
            now.saturating_duration_since(hint.at) < HINT_LASTS && hint.version == current
        };
        self.hints.range(of).filter(|(id, hint)| fresh(id, hint)).map(|(_, hint)| hint).collect()
    }

    /// Whether a shard has a holder that is up.
    fn is_served(&self, shard: u32) -> bool {
        self.is_holder(shard) || self.holder_host(shard).is_some()
    }

    /// Sets room aside for what other holders have been given and have not
    /// placed yet.
    pub(super) fn reserve_backlog(&self, round: &mut Round, now: Instant) {
        for id in &self.waiting {
            let Some(job) = self.open_job(id) else { continue };
            for (shard, waiting) in &job.waiting {
                let count = i64::from(waiting.len());
                *round.backlog.entry(*shard).or_default() += job.requirements.resources.cpus * count;
                if self.is_holder(*shard) {
                    continue;
                }
                self.reserve(id, job, *shard, count, round, now);
            }
        }
    }

    fn reserve(&self, id: &Arc<str>, job: &OpenJob, shard: u32, count: i64, round: &mut Round, now: Instant) {
        let machines = self.candidates(id, job, shard, &round.reserved, now);
        let candidates: Vec<Candidate> = machines.iter().map(|(_, c)| *c).collect();
        for (index, n) in best_fit(&candidates, &job.requirements.resources, count) {
            *round.reserved.entry(machines[index].0.clone()).or_default() +=
                job.requirements.resources.times(n);
        }
    }

    fn fit(&self, id: &Arc<str>, job: &OpenJob, shard: u32, round: &Round, now: Instant) -> ShardFit {
        let mut fit = ShardFit {
            shard,
            total: 0,
            tight: 0,
            with_image: 0,
            used: job.record.allocated.contains_key(&shard),
        };
        for (_, c) in self.candidates(id, job, shard, &round.reserved, now) {
            let n = job.requirements.resources.times_in(&(c.capacity - c.booked)).max(1);
            fit.total += n;
            if c.booked != Resources::default() {
                fit.tight += n;
            }
            if c.image != ImagePresence::No {
                fit.with_image += n;
            }
        }
        fit
    }

    /// Allocates what of a job can start somewhere, to as few shards as will do,
    /// since each costs records of its own; and a little of what can't yet.
    pub(super) fn allocate(&mut self, id: &Arc<str>, round: &mut Round, now: Instant) {
        let Some(job) = self.open_job(id).filter(|j| j.is_open() && !j.unallocated.is_empty()) else {
            return;
        };
        if job.last_revocation_version > self.applied_revision {
            // What was taken back from a shard may have been placed there just
            // before: that is known once the copy has caught up.
            return;
        }
        let Some(book) = self.teams.get(&job.spec.team) else { return };
        let headroom = book.headroom(&job.requirements.resources);
        let most = i64::try_from(round.most).unwrap_or(i64::MAX);
        let mut left = i64::from(job.unallocated.len()).min(headroom).min(most);
        if left <= 0 {
            return;
        }
        let requirements = job.requirements.clone();
        let spare = job.failed_machines.is_empty();
        if round.is_full(None, &requirements) {
            return self.allocate_ahead(id, left, round, now);
        }
        let constrained = job.has_zone_constraint();
        let mut fits = self.shard_fits(id, job, left, round, now);
        if constrained {
            fits.truncate(1);
            if let Some(fit) = fits.first_mut() {
                fit.total = left;
            }
        }
        let (all, several, service) = (left, fits.len() > 1, job.is_service());
        for fit in fits {
            if left <= 0 {
                break;
            }
            let own = self.is_holder(fit.shard);
            let most = if own { fit.total.min(round.left as i64) } else { fit.total };
            // The replicas of a service are not all in one shard.
            let most = if service && several { most.min((all + 1) / 2) } else { most };
            let n = left.min(most);
            if n > 0 {
                if !self.allocate_to(id, fit.shard, n as u32, round, now) {
                    return;
                }
                left -= n;
                if own {
                    self.place_in(id, fit.shard, round, now);
                }
            }
        }
        if left > 0 && !constrained && round.left > 0 {
            if spare {
                round.full.push((None, requirements));
            }
            self.allocate_ahead(id, left, round, now);
        }
    }

    /// The shards in which a job's tasks may start now, the best for `wanted` tasks
    /// first. Best fit among shards as within them: small tasks fill what is in
    /// use, and leave whole machines to large ones.
    fn shard_fits(
        &self,
        id: &Arc<str>,
        job: &OpenJob,
        wanted: i64,
        round: &Round,
        now: Instant,
    ) -> Vec<ShardFit> {
        let may_fit = |shard: u32, machines: &BTreeSet<(i64, Arc<str>)>| {
            let most = machines.last().map_or(-1, |(free, _)| *free);
            most >= job.requirements.resources.cpus || !self.hinted(shard, now).is_empty()
        };
        let mut fits: Vec<ShardFit> = self
            .machines_by_free_cpus
            .iter()
            .filter(|(shard, machines)| may_fit(**shard, machines) && self.is_served(**shard))
            .map(|(shard, _)| self.fit(id, job, *shard, round, now))
            .filter(|fit| fit.total > 0)
            .collect();
        if job.has_zone_constraint()
            && let Some(bound) = bound_shard(job)
        {
            fits.retain(|fit| fit.shard == bound);
        }
        fits.sort_by_key(|fit| Reverse(fit.score(wanted)));
        fits
    }

    /// `false`: the job's record would outgrow a value. What is allocated has to
    /// end first; that makes it smaller again.
    fn allocate_to(
        &mut self,
        id: &Arc<str>,
        shard: u32,
        count: u32,
        round: &mut Round,
        now: Instant,
    ) -> bool {
        let Some(job) = self.open_job(id) else { return false };
        let ranges = job.unallocated.first_n_from(self.allocation_start(job, shard), count);
        let Some(job) = self.open_job_mut(id) else { return false };
        let before = job.allocating.clone();
        let own = job.allocating.entry(shard).or_default();
        *own = own.union(&ranges);
        let Some(job) = self.open_job(id) else { return false };
        let allocated = self.allocations(job);
        if !self.is_mixed() && stored_size(&self.job_value(&allocated)) > self.limits().value {
            if let Some(job) = self.open_job_mut(id) {
                job.allocating = before;
            }
            return false;
        }
        self.rederive(id);
        self.mark_job(id);
        let Some(job) = self.open_job(id) else { return false };
        if !self.is_holder(shard) {
            self.reserve(id, job, shard, i64::from(count), round, now);
        }
        if !self.is_holder(shard) || round.scarce {
            *round.backlog.entry(shard).or_default() += job.requirements.resources.cpus * i64::from(count);
        }
        true
    }

    /// The task from which on a job's next tasks are allocated to a shard. Each shard
    /// goes on where it left off in a part of a large job of its own: allocated as they
    /// come, to many shards by turns, its tasks would be in so many ranges that its
    /// record, which names them, is full long before the fleet is.
    fn allocation_start(&self, job: &OpenJob, shard: u32) -> u32 {
        let shards = self.shards.len();
        if shards < MANY_SHARDS || (job.record.tasks as usize) < LARGE_PART * shards {
            return 0;
        }
        let last = |ranges: &BTreeMap<u32, Ranges>| ranges.get(&shard).and_then(Ranges::last);
        if let Some(last) = last(&job.record.allocated).max(last(&job.allocating)) {
            return last + 1;
        }
        // As many as a shard full of the largest machines takes: this does not change
        // while the fleet grows.
        let types = self.catalog.iter().flat_map(|catalog| &catalog.machine_types);
        let allowed =
            types.filter(|t| job.requirements.types.as_ref().is_none_or(|names| names.contains(&t.name)));
        let on_one = allowed.map(|t| {
            let capacity = Resources::new(t.cpus, t.gpus, t.memory_gb);
            job.requirements.resources.times_in(&capacity)
        });
        let part = on_one.max().unwrap_or(1).max(1) as u64 * self.shard_machines() as u64;
        (u64::from(shard) * part % u64::from(job.record.tasks)) as u32
    }

    /// How many processors each shard has that are up.
    pub(super) fn measure_shards(&self, round: &mut Round) {
        for machine in self.machines.values().filter(|m| m.likely_accepts_tasks()) {
            *round.sizes.entry(machine.shard).or_default() += machine.capacity.cpus;
            if !machine.spot {
                *round.ordinary.entry(machine.shard).or_default() += machine.capacity.cpus;
            }
        }
    }

    /// Allocates a little of what fits nowhere now to a shard where it starts as
    /// soon as something there becomes free. The leader needs no such stock in
    /// its own shards, unless changes are scarce: then a job that is allocated
    /// in larger ranges takes fewer of them.
    fn allocate_ahead(&mut self, id: &Arc<str>, left: i64, round: &mut Round, now: Instant) {
        let Some(job) = self.open_job(id) else { return };
        let requirements = job.requirements.clone();
        let cpus = requirements.resources.cpus;
        let urgent = job.spec.priority < Priority::Normal;
        let limited =
            job.has_zone_constraint() || requirements.types.is_some() || requirements.zone.is_some();
        let service = job.is_service();
        // What can't run on spot machines is taken ahead only if it is urgent,
        // since it may have to be made room for.
        if cpus <= 0
            || limited
            || (!requirements.spot && !urgent)
            || round.ahead_full.is_some_and(|c| cpus >= c)
        {
            return;
        }
        let Some(book) = self.teams.get(&job.spec.team) else { return };
        // What waits in a shard is taken from the team's limit: not all of it.
        let unlimited = book.limit.cpus == 0 && book.limit.gpus == 0;
        let left = if unlimited { left } else { left.min(book.headroom(&requirements.resources) / 2) };
        let part = if urgent { URGENT_BACKLOG } else { BACKLOG };
        let sizes = if requirements.spot { &round.sizes } else { &round.ordinary };
        let best = sizes
            .iter()
            .filter(|(b, _)| self.is_served(**b) && (round.scarce || service || !self.is_holder(**b)))
            .map(|(b, size)| {
                let free = size / part - round.backlog.get(b).copied().unwrap_or(0);
                (job.record.allocated.contains_key(b), free / cpus, Reverse(*b))
            })
            .filter(|(_, n, _)| *n > 0)
            .max();
        match best {
            Some((_, most, Reverse(shard))) if left > 0 => {
                self.allocate_to(id, shard, left.min(most) as u32, round, now);
            }
            None if !urgent => round.ahead_full = Some(cpus),
            _ => {}
        }
    }

    /// Takes back what a shard could not start soon, if others could.
    pub(super) fn take_back_stalled(&mut self, id: &Arc<str>, round: &Round, now: Instant) {
        let Some(job) = self.open_job_mut(id) else { return };
        let (waiting, old) = (&job.waiting, &job.first_waiting);
        job.first_waiting = waiting
            .iter()
            .map(|(shard, ranges)| {
                let same = old.get(shard).filter(|(_, first)| Some(*first) == ranges.first());
                (*shard, same.copied().unwrap_or((now, ranges.first().unwrap_or(0))))
            })
            .collect();
        let stalled: Vec<u32> = job
            .first_waiting
            .iter()
            .filter(|(_, (since, _))| now.saturating_duration_since(*since) >= STALLED)
            .map(|(shard, _)| *shard)
            .collect();
        for shard in stalled {
            let Some(job) = self.open_job(id) else { return };
            let elsewhere = self
                .machines_by_free_cpus
                .iter()
                .filter(|(b, m)| {
                    **b != shard && m.last().is_some_and(|(free, _)| *free >= job.requirements.resources.cpus)
                })
                .any(|(b, _)| self.is_served(*b) && self.fit(id, job, *b, round, now).total > 0);
            let served = self.is_served(shard);
            // Constraints on zones hold across all tasks of a job: as long as one is
            // on a machine, the others stay with the holder that sees it.
            let constrained = job.has_zone_constraint();
            if !elsewhere && served || constrained && !job.placed.is_empty() {
                continue;
            }
            let most = if constrained { job.record.tasks } else { 1000 };
            let ranges: Ranges = job.waiting.get(&shard).cloned().unwrap_or_default().first_n(most);
            let allocated = job.record.allocated.get(&shard).cloned().unwrap_or_default();
            // What is not committed yet can't be taken back yet.
            let ranges = ranges.difference(&ranges.difference(&allocated));
            if ranges.is_empty() {
                continue;
            }
            tracing::debug!(job = %id, block = shard, tasks = ranges.len(), "taken back from a block");
            if let Some(job) = self.open_job_mut(id) {
                job.first_waiting.remove(&shard);
                let own = job.revoking.entry(shard).or_default();
                *own = own.union(&ranges);
            }
            self.rederive(id);
            self.mark_job(id);
        }
    }
}
