//! The leader's allocation of waiting tasks to shards, within the teams' quota limits.

use super::Core;
use super::placing::PlacementRound;
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

/// A job is split into one contiguous part per shard if it has at least this many tasks
/// per shard and there are at least `PARTITION_MIN_SHARDS` shards. With that many shards,
/// the job's record has no space for several ranges of each.
const PARTITION_MIN_TASKS_PER_SHARD: usize = 16;
/// Number of shards from which on large jobs are split into one part per shard.
const PARTITION_MIN_SHARDS: usize = 16;

/// Tasks that their shard could not start for this long are revoked from it, if another
/// shard can start some of them.
const STALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Waiting tasks may be allocated to a shard in advance for one eighth of its CPUs, so
/// that the shard's holder can fill freed room without asking the leader.
const BACKLOG_DIVISOR: i64 = 8;
/// Like [`BACKLOG_DIVISOR`], for urgent jobs: a quarter, since the holder preempts other tasks for them.
const URGENT_BACKLOG_DIVISOR: i64 = 4;

/// How long another holder's report of freed room is used.
const ROOM_HINT_LIFETIME: Duration = Duration::from_millis(1500);

/// Room that another shard holder reported as freed since it last wrote the segment's record.
#[derive(Debug, Clone)]
pub(super) struct RoomHint {
    /// Version of the segment's record that the freed room adds to.
    version: u64,
    at: Instant,
    /// Freed resources by machine.
    pub(super) freed: HashMap<Arc<str>, Resources>,
}

/// How many tasks of a job a shard could start now.
struct ShardFit {
    shard: u32,
    /// Tasks that fit in the shard's free room.
    startable: i64,
    /// Of these, tasks that fit on machines that already run something.
    on_used_machines: i64,
    /// Of these, tasks that fit on machines which have or are fetching the image.
    with_image: i64,
    /// Whether the job's record already allocates tasks to the shard.
    has_allocation: bool,
}

/// How well a shard suits a number of tasks of a job; the greatest score is the best.
/// The derived ordering compares the fields in the order of their declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ShardScore {
    /// Whether all the tasks can start in the shard.
    fits_all: bool,
    with_image: i64,
    on_used_machines: i64,
    has_allocation: bool,
    /// Among shards that fit all the tasks, prefers the one with the least room; among
    /// the others, the one with the most.
    room: i64,
    /// Among otherwise equal shards, prefers the lowest number.
    shard: Reverse<u32>,
}

impl ShardFit {
    fn score(&self, wanted: i64) -> ShardScore {
        let fits_all = self.startable >= wanted;
        ShardScore {
            fits_all,
            with_image: self.with_image.min(wanted),
            on_used_machines: self.on_used_machines.min(wanted),
            has_allocation: self.has_allocation,
            room: if fits_all { -self.startable } else { self.startable },
            shard: Reverse(self.shard),
        }
    }
}

/// The shard to which a job with zone constraints is bound, if any of its tasks is placed
/// or waits in one. The constraints span all the job's tasks, so one shard holder has to
/// see all of them.
fn constrained_job_shard(job: &OpenJob) -> Option<u32> {
    // A task that was revoked from a shard may still run there, if it was placed just
    // before. Completed tasks bind the job no longer, though the job's record still
    // says where they were allocated.
    let placed = job.placed.values().map(|placed| placed.segment.shard);
    let waiting = job.waiting.keys().chain(job.revoking.keys());
    placed.chain(waiting.copied()).next()
}

impl Core {
    /// Room that has become free in the shards held by this controller since it last
    /// wrote their records.
    pub fn freed_room_reply(&self) -> RoomReply {
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
                let version = self.segments.get(&segment_id).map_or(0, |segment| segment.version);
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

    /// Stores another shard holder's report of freed room. A report is valid only for
    /// the version of the segment's record that it names, and for a short time.
    pub fn apply_room_reply(&mut self, reply: &RoomReply, now: Instant) {
        for segment_room in &reply.blocks {
            let segment_id = SegmentId { shard: segment_room.block, segment: segment_room.part };
            let current = self.segments.get(&segment_id).map_or(0, |segment| segment.version);
            if current != segment_room.version || self.is_holder(segment_room.block) {
                continue;
            }
            let freed = segment_room
                .freed
                .iter()
                .map(|f| {
                    let resources = Resources { cpus: f.cpus, gpus: f.gpus, memory: f.memory };
                    (f.machine.as_str().into(), resources)
                })
                .collect();
            self.capacity_hints.insert(segment_id, RoomHint { version: current, at: now, freed });
            self.wakeups.place = true;
        }
    }

    /// The valid reports of freed room in a shard that another controller holds.
    pub(super) fn current_room_hints(&self, shard: u32, now: Instant) -> Vec<&RoomHint> {
        let shard_segments = SegmentId::whole(shard)..=SegmentId::new(shard, u32::MAX);
        let fresh = |id: &SegmentId, hint: &RoomHint| {
            let current = self.segments.get(id).map_or(0, |segment| segment.version);
            now.saturating_duration_since(hint.at) < ROOM_HINT_LIFETIME && hint.version == current
        };
        self.capacity_hints
            .range(shard_segments)
            .filter(|(id, hint)| fresh(id, hint))
            .map(|(_, hint)| hint)
            .collect()
    }

    /// Whether a running controller holds the shard's lease.
    fn has_live_holder(&self, shard: u32) -> bool {
        self.is_holder(shard) || self.remote_holder_host(shard).is_some()
    }

    /// Reserves room in other holders' shards for the tasks that are allocated to them
    /// but not placed yet. Also adds up the backlog of waiting tasks per shard.
    pub(super) fn reserve_remote_backlog(&self, round: &mut PlacementRound, now: Instant) {
        for id in &self.waiting_jobs {
            let Some(job) = self.open_job(id) else { continue };
            for (shard, waiting) in &job.waiting {
                let count = i64::from(waiting.len());
                *round.backlog_cpus_by_shard.entry(*shard).or_default() +=
                    job.requirements.resources.cpus * count;
                if self.is_holder(*shard) {
                    continue;
                }
                self.reserve_room(id, job, *shard, count, round, now);
            }
        }
    }

    /// Reserves room for `count` tasks of a job on the machines of a shard.
    fn reserve_room(
        &self,
        id: &Arc<str>,
        job: &OpenJob,
        shard: u32,
        count: i64,
        round: &mut PlacementRound,
        now: Instant,
    ) {
        let machines = self.candidate_machines(id, job, shard, &round.reserved_by_machine, now);
        let candidates: Vec<Candidate> = machines.iter().map(|(_, c)| *c).collect();
        for (index, n) in best_fit(&candidates, &job.requirements.resources, count) {
            *round.reserved_by_machine.entry(machines[index].0.clone()).or_default() +=
                job.requirements.resources.times(n);
        }
    }

    /// Counts the tasks of a job that could start in a shard now.
    fn shard_fit(
        &self,
        id: &Arc<str>,
        job: &OpenJob,
        shard: u32,
        round: &PlacementRound,
        now: Instant,
    ) -> ShardFit {
        let mut shard_fit = ShardFit {
            shard,
            startable: 0,
            on_used_machines: 0,
            with_image: 0,
            has_allocation: job.record.allocated.contains_key(&shard),
        };
        for (_, machine) in self.candidate_machines(id, job, shard, &round.reserved_by_machine, now) {
            let free = machine.capacity - machine.booked;
            let count = job.requirements.resources.copies_that_fit(&free).max(1);
            shard_fit.startable += count;
            if machine.booked != Resources::default() {
                shard_fit.on_used_machines += count;
            }
            if machine.image != ImagePresence::No {
                shard_fit.with_image += count;
            }
        }
        shard_fit
    }

    /// Allocates the tasks of a job that can start now, to as few shards as possible
    /// since each shard needs records of its own. Of the tasks that cannot start yet, a
    /// few are allocated in advance.
    pub(super) fn allocate(&mut self, id: &Arc<str>, round: &mut PlacementRound, now: Instant) {
        let Some(job) = self.open_job(id).filter(|j| j.is_open() && !j.unallocated.is_empty()) else {
            return;
        };
        if job.last_revocation_version > self.applied_revision {
            // A task that was revoked from a shard may have been placed there just
            // before. That is certain only once the record replica has caught up with
            // the revocation.
            return;
        }
        let Some(team) = self.teams.get(&job.spec.team) else { return };
        let headroom = team.headroom(&job.requirements.resources);
        let max_tasks = i64::try_from(round.max_tasks_of_job).unwrap_or(i64::MAX);
        let mut left = i64::from(job.unallocated.len()).min(headroom).min(max_tasks);
        if left <= 0 {
            return;
        }
        let requirements = job.requirements.clone();
        let never_failed = job.failed_machines.is_empty();
        if round.lacks_room_for(None, &requirements) {
            return self.allocate_ahead(id, left, round, now);
        }
        let constrained = job.has_zone_constraint();
        let mut fits = self.shard_fits(id, job, left, round, now);
        if constrained {
            fits.truncate(1);
            if let Some(shard_fit) = fits.first_mut() {
                shard_fit.startable = left;
            }
        }
        let (wanted, several, service) = (left, fits.len() > 1, job.is_service());
        for shard_fit in fits {
            if left <= 0 {
                break;
            }
            let own = self.is_holder(shard_fit.shard);
            let most =
                if own { shard_fit.startable.min(round.placements_left as i64) } else { shard_fit.startable };
            // A service's replicas are spread over at least two shards if several fit.
            let most = if service && several { most.min((wanted + 1) / 2) } else { most };
            let count = left.min(most);
            if count > 0 {
                if !self.allocate_to(id, shard_fit.shard, count as u32, round, now) {
                    return;
                }
                left -= count;
                if own {
                    self.place_in_shard(id, shard_fit.shard, round, now);
                }
            }
        }
        if left > 0 && !constrained && round.placements_left > 0 {
            if never_failed {
                round.without_room.push((None, requirements));
            }
            self.allocate_ahead(id, left, round, now);
        }
    }

    /// The shards in which tasks of a job can start now, the best for `wanted` tasks
    /// first. This is best fit among shards, as within them: small tasks fill machines
    /// that are in use and leave whole machines to large tasks.
    fn shard_fits(
        &self,
        id: &Arc<str>,
        job: &OpenJob,
        wanted: i64,
        round: &PlacementRound,
        now: Instant,
    ) -> Vec<ShardFit> {
        let may_fit = |shard: u32, machines: &BTreeSet<(i64, Arc<str>)>| {
            let most = machines.last().map_or(-1, |(free, _)| *free);
            most >= job.requirements.resources.cpus || !self.current_room_hints(shard, now).is_empty()
        };
        let mut fits: Vec<ShardFit> = self
            .machines_by_free_cpus
            .iter()
            .filter(|(shard, machines)| may_fit(**shard, machines) && self.has_live_holder(**shard))
            .map(|(shard, _)| self.shard_fit(id, job, *shard, round, now))
            .filter(|shard_fit| shard_fit.startable > 0)
            .collect();
        if job.has_zone_constraint()
            && let Some(bound) = constrained_job_shard(job)
        {
            fits.retain(|shard_fit| shard_fit.shard == bound);
        }
        fits.sort_by_key(|shard_fit| Reverse(shard_fit.score(wanted)));
        fits
    }

    /// Allocates up to `count` unallocated tasks of a job to a shard. Returns `false`
    /// without allocating if the job is no longer open, or if its record would exceed the
    /// state service's limit on the size of a value; the record shrinks again as
    /// allocated tasks complete.
    fn allocate_to(
        &mut self,
        id: &Arc<str>,
        shard: u32,
        count: u32,
        round: &mut PlacementRound,
        now: Instant,
    ) -> bool {
        let Some(job) = self.open_job(id) else { return false };
        let ranges = job.unallocated.first_n_from(self.allocation_start_index(job, shard), count);
        let Some(job) = self.open_job_mut(id) else { return false };
        let before = job.allocating.clone();
        let own = job.allocating.entry(shard).or_default();
        *own = own.union(&ranges);
        let Some(job) = self.open_job(id) else { return false };
        let allocated = self.record_with_allocations(job);
        if !self.uses_legacy_layout() && stored_size(&self.job_value(&allocated)) > self.limits().value {
            if let Some(job) = self.open_job_mut(id) {
                job.allocating = before;
            }
            return false;
        }
        self.refresh_job(id);
        self.queue_job_commit(id);
        let Some(job) = self.open_job(id) else { return false };
        if !self.is_holder(shard) {
            self.reserve_room(id, job, shard, i64::from(count), round, now);
        }
        if !self.is_holder(shard) || round.writes_scarce {
            *round.backlog_cpus_by_shard.entry(shard).or_default() +=
                job.requirements.resources.cpus * i64::from(count);
        }
        true
    }

    /// Index of the task from which on a job's next tasks are allocated to a shard. In a
    /// large job each shard has its own part and continues where it left off. If tasks
    /// were handed to many shards in turn, the job's record would hold so many ranges
    /// that it reached its size limit long before the fleet was full.
    fn allocation_start_index(&self, job: &OpenJob, shard: u32) -> u32 {
        let shards = self.shards.len();
        if shards < PARTITION_MIN_SHARDS
            || (job.record.tasks as usize) < PARTITION_MIN_TASKS_PER_SHARD * shards
        {
            return 0;
        }
        let last = |ranges: &BTreeMap<u32, Ranges>| ranges.get(&shard).and_then(Ranges::last);
        if let Some(last) = last(&job.record.allocated).max(last(&job.allocating)) {
            return last + 1;
        }
        // Each shard's part has as many tasks as fit in a full shard of the allowed machine type
        // that holds most of them: this number does not change while the fleet grows.
        let types = self.catalog.iter().flat_map(|catalog| &catalog.machine_types);
        let allowed = types
            .filter(|t| job.requirements.machine_types.as_ref().is_none_or(|names| names.contains(&t.name)));
        let tasks_per_machine = allowed.map(|t| {
            let capacity = Resources::new(t.cpus, t.gpus, t.memory_gb);
            job.requirements.resources.copies_that_fit(&capacity)
        });
        let tasks_per_shard =
            tasks_per_machine.max().unwrap_or(1).max(1) as u64 * self.max_shard_machines() as u64;
        (u64::from(shard) * tasks_per_shard % u64::from(job.record.tasks)) as u32
    }

    /// Sums up the CPUs of the running machines of each shard, in total and without spot
    /// machines.
    pub(super) fn sum_shard_cpus(&self, round: &mut PlacementRound) {
        for machine in self.machines.values().filter(|m| m.likely_accepts_tasks()) {
            *round.cpus_by_shard.entry(machine.shard).or_default() += machine.capacity.cpus;
            if !machine.spot {
                *round.on_demand_cpus_by_shard.entry(machine.shard).or_default() += machine.capacity.cpus;
            }
        }
    }

    /// Allocates a few of the tasks that fit nowhere now to a shard, whose holder starts
    /// them as soon as room there becomes free. The leader needs no such backlog in its
    /// own shards, except for services, and while updates of records are scarce:
    /// allocating larger ranges of a job takes fewer updates.
    fn allocate_ahead(&mut self, id: &Arc<str>, left: i64, round: &mut PlacementRound, now: Instant) {
        let Some(job) = self.open_job(id) else { return };
        let requirements = job.requirements.clone();
        let cpus = requirements.resources.cpus;
        let urgent = job.spec.priority < Priority::Normal;
        let limited =
            job.has_zone_constraint() || requirements.machine_types.is_some() || requirements.zone.is_some();
        let service = job.is_service();
        // Tasks that cannot run on spot machines are allocated in advance only if they
        // are urgent, since room may have to be made for those by preemption.
        if cpus <= 0
            || limited
            || (!requirements.spot_allowed && !urgent)
            || round.min_cpus_exceeding_backlog.is_some_and(|too_many| cpus >= too_many)
        {
            return;
        }
        let Some(team) = self.teams.get(&job.spec.team) else { return };
        // Tasks that wait in a shard count against the team's limit, so only half of
        // the headroom is used for them.
        let unlimited = team.limit.cpus == 0 && team.limit.gpus == 0;
        let left = if unlimited { left } else { left.min(team.headroom(&requirements.resources) / 2) };
        let divisor = if urgent { URGENT_BACKLOG_DIVISOR } else { BACKLOG_DIVISOR };
        let sizes =
            if requirements.spot_allowed { &round.cpus_by_shard } else { &round.on_demand_cpus_by_shard };
        let best = sizes
            .iter()
            .filter(|(shard, _)| {
                self.has_live_holder(**shard) && (round.writes_scarce || service || !self.is_holder(**shard))
            })
            .map(|(shard, size)| {
                let free = size / divisor - round.backlog_cpus_by_shard.get(shard).copied().unwrap_or(0);
                (job.record.allocated.contains_key(shard), free / cpus, Reverse(*shard))
            })
            .filter(|(_, count, _)| *count > 0)
            .max();
        match best {
            Some((_, most, Reverse(shard))) if left > 0 => {
                self.allocate_to(id, shard, left.min(most) as u32, round, now);
            }
            None if !urgent => round.min_cpus_exceeding_backlog = Some(cpus),
            _ => {}
        }
    }

    /// Revokes waiting tasks that their shard could not start within the stall timeout,
    /// if another shard could start them or the shard has no running holder.
    pub(super) fn revoke_stalled_allocations(&mut self, id: &Arc<str>, round: &PlacementRound, now: Instant) {
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
            .filter(|(_, (since, _))| now.saturating_duration_since(*since) >= STALL_TIMEOUT)
            .map(|(shard, _)| *shard)
            .collect();
        for shard in stalled {
            let Some(job) = self.open_job(id) else { return };
            let elsewhere = self
                .machines_by_free_cpus
                .iter()
                .filter(|(other, machines)| {
                    let enough = |free: i64| free >= job.requirements.resources.cpus;
                    **other != shard && machines.last().is_some_and(|(free, _)| enough(*free))
                })
                .any(|(other, _)| {
                    self.has_live_holder(*other) && self.shard_fit(id, job, *other, round, now).startable > 0
                });
            let served = self.has_live_holder(shard);
            // Zone constraints span all tasks of a job: as long as one task is placed, the
            // others stay with the shard holder that sees it.
            let constrained = job.has_zone_constraint();
            if !elsewhere && served || constrained && !job.placed.is_empty() {
                continue;
            }
            let most = if constrained { job.record.tasks } else { 1000 };
            let ranges: Ranges = job.waiting.get(&shard).cloned().unwrap_or_default().first_n(most);
            let allocated = job.record.allocated.get(&shard).cloned().unwrap_or_default();
            // Allocations that are not committed yet cannot be revoked yet.
            let ranges = ranges.difference(&ranges.difference(&allocated));
            if ranges.is_empty() {
                continue;
            }
            tracing::debug!(
                job = %id, block = shard, tasks = ranges.len(),
                "revoking tasks that their shard could not start"
            );
            if let Some(job) = self.open_job_mut(id) {
                job.first_waiting.remove(&shard);
                let own = job.revoking.entry(shard).or_default();
                *own = own.union(&ranges);
            }
            self.refresh_job(id);
            self.queue_job_commit(id);
        }
    }
}
