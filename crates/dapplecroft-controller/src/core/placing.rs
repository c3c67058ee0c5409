//! A round of placement: jobs in the order in which they are served, each by
//! best fit decreasing on the dominant share inside this holder's shards.

use super::Core;
use super::serving_order::STARTER_TASKS;
use crate::jobs::{Job, OpenJob, Placement, TaskId};
use crate::machines::Machine;
use crate::records::DrainMove;
use dapplecroft_sched::{
    Candidate, Demand, ImagePresence, Resources, TaskRequirements, TeamQuota, best_fit_capped,
};
use dapplecroft_wire::users::Priority;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most placements of one round, so that a round never holds up reports.
const MAX_PER_ROUND: usize = 200;
/// Other work has so long to give way to replicas before machines are rented.
const GIVE_WAY: Duration = Duration::from_secs(2);

/// What a round has decided so far.
#[derive(Debug, Default)]
pub(super) struct Round {
    /// Placements that may still be made.
    pub left: usize,
    /// Room that the leader counts on in other holders' shards.
    pub reserved: HashMap<Arc<str>, Resources>,
    /// Processors of work that other holders have waiting, by shard.
    pub backlog: BTreeMap<u32, i64>,
    /// What found too little room in a shard, or (`None`) in all shards: room
    /// only shrinks within a round, so what needs no less finds none either.
    pub full: Vec<(Option<u32>, Arc<TaskRequirements>)>,
    /// Processors of the machines that are up, by shard.
    pub sizes: BTreeMap<u32, i64>,
    /// The same of the ordinary ones alone.
    pub ordinary: BTreeMap<u32, i64>,
    /// No other holder takes ahead what needs as many processors.
    pub ahead_full: Option<i64>,
    /// Whether changes of records are scarce.
    pub scarce: bool,
    /// Most tasks of the job whose turn it is.
    pub most: usize,
    /// What teams will use once the work found no place for has one.
    pub books: HashMap<String, TeamQuota>,
}

impl Round {
    /// Whether it is known that a need finds no room any more.
    pub fn is_full(&self, shard: Option<u32>, requirements: &TaskRequirements) -> bool {
        self.full.iter().any(|(b, full)| {
            (*b == shard || b.is_none())
                && full.resources.fits(&requirements.resources)
                && (full.types.is_none() || full.types == requirements.types)
                && (full.zone.is_none() || full.zone == requirements.zone)
                && (full.spot || !requirements.spot)
        })
    }
}

/// Work that found no place: the job, and how much of it.
pub(super) struct Unplaced {
    pub job: Arc<str>,
    pub requirements: Arc<TaskRequirements>,
    /// Tasks that wait in each own shard, and (`None`) those that the leader may
    /// still allocate to any.
    pub here: BTreeMap<Option<u32>, i64>,
    /// All tasks for which machines are wanted.
    pub count: i64,
}

impl Core {
    /// What a machine of a type has.
    pub(super) fn capacity(&self, machine_type: &str) -> Option<Resources> {
        let catalog = self.catalog.as_ref()?;
        let machine_type = catalog.machine_types.iter().find(|t| t.name == machine_type)?;
        Some(Resources::new(machine_type.cpus, machine_type.gpus, machine_type.memory_gb))
    }

    /// How quickly machines of a type fetch images, in megabytes a second.
    pub(super) fn fetch_rate(&self, machine_type: &str) -> u32 {
        let machine_types = self.catalog.iter().flat_map(|c| &c.machine_types);
        let rate = machine_types.filter(|h| h.name == machine_type).map(|h| h.fetch_gb_per_s).next();
        (rate.unwrap_or(0.0) * 1000.0) as u32
    }

    /// One round. Proposals become commands only once they are committed.
    /// `wall_clock_s` is the time of day in seconds since 1970; `scarce` says that few
    /// changes of records can be made just now.
    pub fn place(&mut self, wall_clock_s: f64, scarce: bool, now: Instant) {
        if !self.loaded || !self.has_role() || !self.in_contact(now) || self.catalog.is_none() {
            return;
        }
        self.wall_clock_s = wall_clock_s;
        let leads = self.leads(now);
        let order = self.serving_order(wall_clock_s, now);
        let mut round = Round { left: MAX_PER_ROUND, scarce, ..Round::default() };
        if leads {
            self.measure_shards(&mut round);
            self.reserve_backlog(&mut round, now);
        }
        let mut unplaced = Vec::new();
        for (_, id) in &order {
            let Some(job) = self.open_job(id) else { continue };
            round.most =
                if self.effective_rank(job) < job.priority_rank() { STARTER_TASKS } else { usize::MAX };
            let here: Vec<u32> = job.waiting.keys().copied().filter(|b| self.is_holder(*b)).collect();
            for shard in here {
                self.place_in(id, shard, &mut round, now);
            }
            if leads {
                self.take_back_stalled(id, &round, now);
                self.allocate(id, &mut round, now);
            }
            unplaced.extend(self.left_unplaced(id, &mut round, leads));
        }
        if round.left == 0 {
            self.wakeups.place = true;
        }
        if self.options.preempt {
            self.preempt(&unplaced, now);
        }
        if leads {
            if !unplaced.is_empty() {
                self.wakeups.fleet = true;
            }
            self.unplaced = unplaced
                .into_iter()
                .filter(|u| u.count > 0)
                .filter_map(|u| {
                    let job = self.open_job(&u.job)?;
                    // Other work gives way to replicas at once; machines are rented
                    // for them only where none does.
                    let waits = now.saturating_duration_since(job.last_placed_at) >= GIVE_WAY;
                    (!job.is_service() || waits).then(|| Demand {
                        requirements: (*u.requirements).clone(),
                        count: u.count,
                        fastest: job.is_service(),
                    })
                })
                .collect();
        }
    }

    /// What of a job found no place; machines are wanted only for what its
    /// team's limit lets start.
    fn left_unplaced(&self, id: &Arc<str>, round: &mut Round, leads: bool) -> Option<Unplaced> {
        let job = self.open_job(id)?;
        let requirements = &job.requirements;
        let mut here = BTreeMap::new();
        let mut waiting = 0;
        for (shard, ranges) in &job.waiting {
            waiting += i64::from(ranges.len());
            if self.is_holder(*shard) {
                here.insert(Some(*shard), i64::from(ranges.len()));
            }
        }
        if leads && !job.unallocated.is_empty() {
            let book = round
                .books
                .entry(job.spec.team.clone())
                .or_insert_with(|| self.teams.get(&job.spec.team).cloned().unwrap_or_default());
            let room = book.headroom(&requirements.resources).min(i64::from(job.unallocated.len()));
            book.used += requirements.resources.times(room);
            if room > 0 {
                here.insert(None, room);
            }
            waiting += room;
        }
        (waiting > 0).then(|| Unplaced {
            job: id.clone(),
            requirements: requirements.clone(),
            here,
            count: waiting,
        })
    }

    /// Machines of a shard on which a task of a job may start now, as far as
    /// this process knows: in its own shards exactly, in others by what their
    /// holders have committed.
    pub(super) fn candidates(
        &self,
        id: &Arc<str>,
        job: &OpenJob,
        shard: u32,
        reserved: &HashMap<Arc<str>, Resources>,
        now: Instant,
    ) -> Vec<(Arc<str>, Candidate)> {
        let requirements = &job.requirements;
        let Some(machines_by_free_cpus) =
            self.machines_by_free_cpus.get(&shard).filter(|_| !self.is_record_full(shard))
        else {
            return Vec::new();
        };
        let epoch = self.role.leased_shards.get(&shard).map(|h| h.epoch);
        let silence = self.silence();
        let kept = self.drains.get(&shard).map(|(d, _)| d).filter(|d| *d.for_job != **id);
        let service = job.is_service();
        // Where it failed, unless it fails everywhere.
        let avoid = job.failed_machines.len() < 2;
        let hints = if epoch.is_none() { self.hinted(shard, now) } else { Vec::new() };
        let consider = |name: &Arc<str>| {
            let machine = self.machines.get(name)?;
            let open = match epoch {
                Some(epoch) => machine.accepts_tasks(epoch, silence, now),
                None => machine.likely_accepts_tasks(),
            };
            let barred = kept.is_some_and(|d| *d.machine == **name)
                || (avoid && job.failed_machines.contains(&**name));
            if !open
                || barred
                || self.is_recordless(machine)
                || !requirements.allows(&machine.machine_type, &machine.zone, machine.spot)
            {
                return None;
            }
            let mut booked = machine.booked + reserved.get(name).copied().unwrap_or_default();
            if let Some(freed) = hints.iter().find_map(|h| h.freed.get(name)) {
                booked -= *freed;
            }
            requirements.resources.fits(&(machine.capacity - booked)).then(|| {
                let candidate = Candidate {
                    capacity: machine.capacity,
                    booked,
                    image: has_image(machine, requirements),
                    doubtful: !machine.failed_jobs.is_empty(),
                    sibling: service && machine.tasks.iter().any(|t| t.job == *id),
                    fetch: if service { self.fetch_rate(&machine.machine_type) } else { 0 },
                };
                (name.clone(), candidate)
            })
        };
        let least: (i64, Arc<str>) = (requirements.resources.cpus, "".into());
        let mut found: Vec<(Arc<str>, Candidate)> =
            machines_by_free_cpus.range(least..).filter_map(|(_, name)| consider(name)).collect();
        if !hints.is_empty() {
            // Those that have room only by what was told besides their record.
            let mut more: Vec<&Arc<str>> = hints
                .iter()
                .flat_map(|h| h.freed.keys())
                .filter(|name| {
                    self.machines
                        .get(*name)
                        .is_some_and(|m| m.free_resources().cpus < requirements.resources.cpus)
                })
                .collect();
            more.sort_unstable();
            found.extend(more.into_iter().filter_map(consider));
        }
        found
    }

    /// How long a worker may be silent before it takes no more work.
    pub(super) fn silence(&self) -> std::time::Duration {
        self.settings.heartbeat_interval().mul_f64(1.5)
    }

    /// Places what waits in a shard of this holder.
    pub(super) fn place_in(&mut self, id: &Arc<str>, shard: u32, round: &mut Round, now: Instant) {
        let Some(job) = self.open_job(id).filter(|j| j.is_open()) else { return };
        let requirements = job.requirements.clone();
        let mut waiting = self.placeable(id, job, shard, round);
        if waiting.is_empty() || round.is_full(Some(shard), &requirements) {
            return;
        }
        let before = waiting.len();
        self.place_drained(id, shard, &mut waiting, now);
        let Some(job) = self.open_job(id) else { return };
        let (constrained, service) = (job.has_zone_constraint(), job.is_service());
        while !waiting.is_empty() {
            let placed = self.place_some(id, shard, &waiting, now);
            waiting.drain(..placed);
            // With constraints on zones each task may change what the next may do;
            // replicas go to one machine each while there is a choice.
            if placed == 0 || !(constrained || service) {
                break;
            }
        }
        let never_failed = self.open_job(id).is_some_and(|j| j.failed_machines.is_empty());
        if !waiting.is_empty() && !constrained && !service && never_failed {
            round.full.push((Some(shard), requirements));
        }
        let placed = before - waiting.len();
        if placed > 0 {
            round.left = round.left.saturating_sub(placed);
            self.rederive(id);
        }
    }

    /// Tasks of a job that wait in a shard and may be placed in this round. One
    /// that is still on a machine, against all records, waits.
    fn placeable(&self, id: &Arc<str>, job: &OpenJob, shard: u32, round: &Round) -> Vec<u32> {
        let most = round.left.min(round.most);
        let is_elsewhere = |index: u32| {
            let task = TaskId { job: id.clone(), index };
            !self.unexpected_tasks.is_empty() && self.unexpected_tasks.contains_key(&task)
        };
        let waiting = job.waiting.get(&shard).into_iter().flat_map(|ranges| ranges.iter());
        waiting.take(most).filter(|index| !is_elsewhere(*index)).collect()
    }

    /// What a drain moves goes where the drain says, if it still fits.
    fn place_drained(&mut self, id: &Arc<str>, shard: u32, waiting: &mut Vec<u32>, now: Instant) {
        let Some((drain, _)) = self.drains.get(&shard).cloned() else { return };
        for DrainMove { index, destination: to, .. } in drain.moves.iter().filter(|moved| moved.job == **id) {
            let Some(position) = waiting.iter().position(|waits| waits == index) else { continue };
            let to: Arc<str> = to.as_str().into();
            let Some(job) = self.open_job(id) else { return };
            let machines = self.candidates(id, job, shard, &HashMap::new(), now);
            if machines.iter().any(|(name, _)| *name == to) {
                waiting.remove(position);
                self.propose(&TaskId { job: id.clone(), index: *index }, &to, now);
            }
        }
    }

    /// Places the first of the waiting tasks by best fit, as many as find room at
    /// once; returns how many.
    fn place_some(&mut self, id: &Arc<str>, shard: u32, waiting: &[u32], now: Instant) -> usize {
        let Some(job) = self.open_job(id) else { return 0 };
        let mut machines = self.candidates(id, job, shard, &HashMap::new(), now);
        if job.has_zone_constraint() {
            let zones = self.zones_of(job);
            machines.retain(|(name, _)| {
                self.machines.get(name).is_some_and(|m| zone_allows(job, &zones, &m.zone))
            });
        }
        let count = if job.has_zone_constraint() { 1 } else { waiting.len() as i64 };
        let each = if job.is_service() { 1 } else { i64::MAX };
        let candidates: Vec<Candidate> = machines.iter().map(|(_, candidate)| *candidate).collect();
        let chosen = best_fit_capped(&candidates, &job.requirements.resources, count, each);
        let mut placed = 0;
        for (index, tasks) in chosen {
            let machine = machines[index].0.clone();
            for _ in 0..tasks {
                let Some(task) = waiting.get(placed).copied() else { break };
                // The machine may have room and its record none.
                if !self.propose(&TaskId { job: id.clone(), index: task }, &machine, now) {
                    break;
                }
                placed += 1;
            }
        }
        placed
    }

    /// How many of a job's tasks each zone has.
    fn zones_of(&self, job: &OpenJob) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        for placed in job.placed.values() {
            if let Some(machine) = self.machines.get(&placed.machine) {
                *zones.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// Books a task on a machine until its record is committed or refused; the
    /// caller derives the job anew. `false`: there is no room in the record.
    fn propose(&mut self, task: &TaskId, machine: &Arc<str>, now: Instant) -> bool {
        let Some(session) = self.machines.get(machine).map(|m| m.session) else { return false };
        let Some(attempt) = self.open_job(&task.job).map(|j| j.next_attempt(task.index)) else {
            return false;
        };
        let Some(segment_id) = self.assign_segment(machine) else { return false };
        if !self.weigh(task, segment_id) {
            return false;
        }
        let Some(Job::Open(job)) = self.jobs.get_mut(&task.job) else { return false };
        let waited = now.saturating_duration_since(job.learned_at);
        tracing::debug!(%task, class = job.spec.class, machine = &**machine, attempt, ?waited, "placing");
        let urgent = job.spec.priority < Priority::Normal;
        job.last_placed_at = now;
        job.placed.insert(
            task.index,
            Placement {
                attempt,
                machine: machine.clone(),
                segment: segment_id,
                session,
                committed: false,
                learned_at: now,
                running_since: None,
                start_token: 0,
                stop_reason: None,
                grace: Duration::ZERO,
                resources_freed: false,
            },
        );
        self.book(task, machine, segment_id.shard, now);
        self.mark_segment(segment_id, urgent);
        true
    }
}

/// Whether a job's constraints on zones let another of its tasks go to one.
fn zone_allows(job: &OpenJob, zones: &BTreeMap<String, u32>, zone: &str) -> bool {
    let here = zones.get(zone).copied().unwrap_or(0);
    (!job.spec.one_zone || zones.is_empty() || here > 0)
        && (!job.spec.spread || here < job.record.tasks.div_ceil(2))
}

pub(super) fn has_image(machine: &Machine, requirements: &TaskRequirements) -> ImagePresence {
    match requirements.image.as_ref().map(|image| machine.has_image(image)) {
        None | Some(Some(true)) => ImagePresence::Yes,
        Some(Some(false)) => ImagePresence::Fetching,
        Some(None) => ImagePresence::No,
    }
}
