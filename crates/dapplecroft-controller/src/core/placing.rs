//! The placement round: places the waiting jobs, in serving order, on machines of the
//! shards that this controller holds, by best fit decreasing on the dominant share.

use super::Core;
use super::serving_order::MAX_BOOSTED_TASKS;
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

/// Maximum number of placements per round, so that a round does not delay the
/// processing of heartbeats.
const MAX_PLACEMENTS_PER_ROUND: usize = 200;
/// How long waiting service replicas try to preempt other tasks before machines are
/// rented for them.
const SERVICE_SCALE_OUT_DELAY: Duration = Duration::from_secs(2);

/// State of a placement round: its limits, and what it has decided so far.
#[derive(Debug, Default)]
pub(super) struct PlacementRound {
    /// Number of placements that this round may still make.
    pub placements_left: usize,
    /// On machines of other holders' shards: resources that the leader reserves for
    /// tasks that are allocated there but not placed yet.
    pub reserved_by_machine: HashMap<Arc<str>, Resources>,
    /// CPUs of the tasks that are allocated to a shard and wait there, by shard, in
    /// thousandths.
    pub backlog_cpus_by_shard: BTreeMap<u32, i64>,
    /// Requirements of tasks that did not fit in a shard, or (`None`) in any shard. Free
    /// room only shrinks within a round, so tasks with equal or stricter requirements do
    /// not fit there either and are skipped.
    pub without_room: Vec<(Option<u32>, Arc<TaskRequirements>)>,
    /// CPUs of the machines that are up, by shard, in thousandths.
    pub cpus_by_shard: BTreeMap<u32, i64>,
    /// CPUs of the on-demand (not spot) machines that are up, by shard, in thousandths.
    pub on_demand_cpus_by_shard: BTreeMap<u32, i64>,
    /// Smallest CPU requirement, in thousandths, that was found too large for the
    /// backlog of every shard. The leader does not try to allocate tasks that need as
    /// many CPUs or more in advance.
    pub min_cpus_exceeding_backlog: Option<i64>,
    /// Whether few writes to the state service are possible just now.
    pub writes_scarce: bool,
    /// Maximum number of tasks that may be placed of the job that is being served.
    pub max_tasks_of_job: usize,
    /// Quotas of the teams with unplaced tasks; their usage includes the unplaced tasks
    /// for which machines are wanted.
    pub team_quotas: HashMap<String, TeamQuota>,
}

impl PlacementRound {
    /// Whether tasks with these requirements are known not to fit in the shard (`None`:
    /// in any shard), because tasks with equal or looser requirements did not fit.
    pub fn lacks_room_for(&self, shard: Option<u32>, requirements: &TaskRequirements) -> bool {
        self.without_room.iter().any(|(full_shard, unplaced)| {
            (*full_shard == shard || full_shard.is_none())
                && unplaced.resources.fits(&requirements.resources)
                && (unplaced.machine_types.is_none() || unplaced.machine_types == requirements.machine_types)
                && (unplaced.zone.is_none() || unplaced.zone == requirements.zone)
                && (unplaced.spot_allowed || !requirements.spot_allowed)
        })
    }
}

/// The tasks of one job that a placement round could not place.
pub(super) struct UnplacedTasks {
    pub job: Arc<str>,
    pub requirements: Arc<TaskRequirements>,
    /// Number of tasks that wait in each shard that this controller holds, and (`None`)
    /// number of tasks that the leader may still allocate to any shard.
    pub waiting_by_shard: BTreeMap<Option<u32>, i64>,
    /// Number of tasks for which machines are wanted, in all shards.
    pub count: i64,
}

impl Core {
    /// Resources of a machine of this type; `None` if the type is unknown.
    pub(super) fn machine_type_capacity(&self, machine_type: &str) -> Option<Resources> {
        let catalog = self.catalog.as_ref()?;
        let machine_type = catalog.machine_types.iter().find(|t| t.name == machine_type)?;
        Some(Resources::new(machine_type.cpus, machine_type.gpus, machine_type.memory_gb))
    }

    /// Rate at which machines of this type fetch images, in megabytes per second; 0 if
    /// the type is unknown.
    pub(super) fn image_fetch_mb_per_s(&self, machine_type: &str) -> u32 {
        let machine_types = self.catalog.iter().flat_map(|c| &c.machine_types);
        let rate = machine_types.filter(|t| t.name == machine_type).map(|t| t.fetch_gb_per_s).next();
        (rate.unwrap_or(0.0) * 1000.0) as u32
    }

    /// Runs one placement round. A proposed placement leads to a start command only once
    /// its record is committed. `wall_clock_s` is the time in seconds since the Unix
    /// epoch; `writes_scarce` says that few writes to the state service are possible
    /// just now.
    pub fn place(&mut self, wall_clock_s: f64, writes_scarce: bool, now: Instant) {
        if !self.loaded || !self.has_role() || !self.in_contact(now) || self.catalog.is_none() {
            return;
        }
        self.wall_clock_s = wall_clock_s;
        let leads = self.leads(now);
        let order = self.serving_order(wall_clock_s, now);
        let mut round = PlacementRound {
            placements_left: MAX_PLACEMENTS_PER_ROUND,
            writes_scarce,
            ..PlacementRound::default()
        };
        if leads {
            self.sum_shard_cpus(&mut round);
            self.reserve_remote_backlog(&mut round, now);
        }
        let mut unplaced = Vec::new();
        for (_, id) in &order {
            let Some(job) = self.open_job(id) else { continue };
            round.max_tasks_of_job =
                if self.effective_rank(job) < job.priority_rank() { MAX_BOOSTED_TASKS } else { usize::MAX };
            let held_shards: Vec<u32> =
                job.waiting.keys().copied().filter(|shard| self.is_holder(*shard)).collect();
            for shard in held_shards {
                self.place_in_shard(id, shard, &mut round, now);
            }
            if leads {
                self.revoke_stalled_allocations(id, &round, now);
                self.allocate(id, &mut round, now);
            }
            unplaced.extend(self.unplaced_tasks(id, &mut round, leads));
        }
        if round.placements_left == 0 {
            self.wakeups.place = true;
        }
        if self.options.preempt {
            self.preempt(&unplaced, now);
        }
        if leads {
            if !unplaced.is_empty() {
                self.wakeups.fleet = true;
            }
            self.unplaced_demand = unplaced
                .into_iter()
                .filter(|tasks| tasks.count > 0)
                .filter_map(|tasks| {
                    let job = self.open_job(&tasks.job)?;
                    // Service replicas preempt other tasks at once; machines are rented
                    // for them only if preemption does not make room.
                    let waited_for_preemption =
                        now.saturating_duration_since(job.last_placed_at) >= SERVICE_SCALE_OUT_DELAY;
                    (!job.is_service() || waited_for_preemption).then(|| Demand {
                        requirements: (*tasks.requirements).clone(),
                        count: tasks.count,
                        prefer_fastest_boot: job.is_service(),
                    })
                })
                .collect();
        }
    }

    /// The tasks of a job that were not placed in this round. Unallocated tasks count
    /// only as far as the team's quota limit lets them start.
    fn unplaced_tasks(
        &self,
        id: &Arc<str>,
        round: &mut PlacementRound,
        leads: bool,
    ) -> Option<UnplacedTasks> {
        let job = self.open_job(id)?;
        let requirements = &job.requirements;
        let mut waiting_by_shard = BTreeMap::new();
        let mut waiting = 0;
        for (shard, ranges) in &job.waiting {
            waiting += i64::from(ranges.len());
            if self.is_holder(*shard) {
                waiting_by_shard.insert(Some(*shard), i64::from(ranges.len()));
            }
        }
        if leads && !job.unallocated.is_empty() {
            let quota = round
                .team_quotas
                .entry(job.spec.team.clone())
                .or_insert_with(|| self.teams.get(&job.spec.team).cloned().unwrap_or_default());
            let room = quota.headroom(&requirements.resources).min(i64::from(job.unallocated.len()));
            quota.used += requirements.resources.times(room);
            if room > 0 {
                waiting_by_shard.insert(None, room);
            }
            waiting += room;
        }
        (waiting > 0).then(|| UnplacedTasks {
            job: id.clone(),
            requirements: requirements.clone(),
            waiting_by_shard,
            count: waiting,
        })
    }

    /// Machines of a shard on which a task of a job may start now. For shards that this
    /// controller holds the result is exact; for others it follows from the records
    /// that their holders have committed.
    pub(super) fn candidate_machines(
        &self,
        id: &Arc<str>,
        job: &OpenJob,
        shard: u32,
        reserved: &HashMap<Arc<str>, Resources>,
        now: Instant,
    ) -> Vec<(Arc<str>, Candidate)> {
        let requirements = &job.requirements;
        let Some(machines_by_free_cpus) =
            self.machines_by_free_cpus.get(&shard).filter(|_| !self.is_legacy_record_full(shard))
        else {
            return Vec::new();
        };
        let epoch = self.role.leased_shards.get(&shard).map(|lease| lease.epoch);
        let max_heartbeat_age = self.max_heartbeat_age();
        let other_drain = self.drains.get(&shard).map(|(d, _)| d).filter(|d| *d.for_job != **id);
        let service = job.is_service();
        // Machines on which the job failed are avoided. If it failed on several, the job
        // is at fault rather than the machines, and none is avoided.
        let avoid_failed_machines = job.failed_machines.len() < 2;
        let hints = if epoch.is_none() { self.current_room_hints(shard, now) } else { Vec::new() };
        let to_candidate = |name: &Arc<str>| {
            let machine = self.machines.get(name)?;
            let open = match epoch {
                Some(epoch) => machine.accepts_tasks(epoch, max_heartbeat_age, now),
                None => machine.likely_accepts_tasks(),
            };
            let excluded = other_drain.is_some_and(|d| *d.machine == **name)
                || (avoid_failed_machines && job.failed_machines.contains(&**name));
            if !open
                || excluded
                || self.is_in_full_segment(machine)
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
                    image: image_presence(machine, requirements),
                    unreliable: !machine.failed_jobs.is_empty(),
                    has_service_replica: service && machine.tasks.iter().any(|t| t.job == *id),
                    image_fetch_mb_per_s: if service {
                        self.image_fetch_mb_per_s(&machine.machine_type)
                    } else {
                        0
                    },
                };
                (name.clone(), candidate)
            })
        };
        let min_key: (i64, Arc<str>) = (requirements.resources.cpus, "".into());
        let mut candidates: Vec<(Arc<str>, Candidate)> =
            machines_by_free_cpus.range(min_key..).filter_map(|(_, name)| to_candidate(name)).collect();
        if !hints.is_empty() {
            // Machines that have room only according to the holder's hints on freed
            // resources, which are newer than the committed records.
            let mut hinted_machines: Vec<&Arc<str>> = hints
                .iter()
                .flat_map(|h| h.freed.keys())
                .filter(|name| {
                    self.machines
                        .get(*name)
                        .is_some_and(|m| m.free_resources().cpus < requirements.resources.cpus)
                })
                .collect();
            hinted_machines.sort_unstable();
            candidates.extend(hinted_machines.into_iter().filter_map(to_candidate));
        }
        candidates
    }

    /// Age of a worker's last heartbeat beyond which its machine gets no new tasks: 1.5
    /// heartbeat intervals.
    pub(super) fn max_heartbeat_age(&self) -> std::time::Duration {
        self.settings.heartbeat_interval().mul_f64(1.5)
    }

    /// Places the tasks of a job that wait in a shard which this controller holds.
    pub(super) fn place_in_shard(
        &mut self,
        id: &Arc<str>,
        shard: u32,
        round: &mut PlacementRound,
        now: Instant,
    ) {
        let Some(job) = self.open_job(id).filter(|j| j.is_open()) else { return };
        let requirements = job.requirements.clone();
        let mut waiting = self.placeable_tasks(id, job, shard, round);
        if waiting.is_empty() || round.lacks_room_for(Some(shard), &requirements) {
            return;
        }
        let before = waiting.len();
        self.place_drain_moves(id, shard, &mut waiting, now);
        let Some(job) = self.open_job(id) else { return };
        let (constrained, service) = (job.has_zone_constraint(), job.is_service());
        while !waiting.is_empty() {
            let placed = self.place_best_fit(id, shard, &waiting, now);
            waiting.drain(..placed);
            // With zone constraints, each placed task may change where the next one is
            // allowed. Service replicas go to different machines as long as there is a
            // choice, so each pass places at most one per machine.
            if placed == 0 || !(constrained || service) {
                break;
            }
        }
        let never_failed = self.open_job(id).is_some_and(|j| j.failed_machines.is_empty());
        if !waiting.is_empty() && !constrained && !service && never_failed {
            round.without_room.push((Some(shard), requirements));
        }
        let placed = before - waiting.len();
        if placed > 0 {
            round.placements_left = round.placements_left.saturating_sub(placed);
            self.refresh_job(id);
        }
    }

    /// Tasks of a job that wait in a shard and may be placed in this round. A task that
    /// a worker still reports although no record places it there has to wait.
    fn placeable_tasks(&self, id: &Arc<str>, job: &OpenJob, shard: u32, round: &PlacementRound) -> Vec<u32> {
        let max_tasks = round.placements_left.min(round.max_tasks_of_job);
        let is_running_unexpectedly = |index: u32| {
            let task = TaskId { job: id.clone(), index };
            !self.unexpected_tasks.is_empty() && self.unexpected_tasks.contains_key(&task)
        };
        let waiting = job.waiting.get(&shard).into_iter().flat_map(|ranges| ranges.iter());
        waiting.take(max_tasks).filter(|index| !is_running_unexpectedly(*index)).collect()
    }

    /// Places the waiting tasks that the shard's drain moves: each on the destination
    /// that the drain's record names, if the task still fits there.
    fn place_drain_moves(&mut self, id: &Arc<str>, shard: u32, waiting: &mut Vec<u32>, now: Instant) {
        let Some((drain, _)) = self.drains.get(&shard).cloned() else { return };
        for DrainMove { index, destination: to, .. } in
            drain.moves.iter().filter(|task_move| task_move.job == **id)
        {
            let Some(position) = waiting.iter().position(|waiting_index| waiting_index == index) else {
                continue;
            };
            let to: Arc<str> = to.as_str().into();
            let Some(job) = self.open_job(id) else { return };
            let machines = self.candidate_machines(id, job, shard, &HashMap::new(), now);
            if machines.iter().any(|(name, _)| *name == to) {
                waiting.remove(position);
                self.propose_placement(&TaskId { job: id.clone(), index: *index }, &to, now);
            }
        }
    }

    /// Places as many of the first waiting tasks as one best-fit pass can; returns how
    /// many were placed.
    fn place_best_fit(&mut self, id: &Arc<str>, shard: u32, waiting: &[u32], now: Instant) -> usize {
        let Some(job) = self.open_job(id) else { return 0 };
        let mut machines = self.candidate_machines(id, job, shard, &HashMap::new(), now);
        if job.has_zone_constraint() {
            let task_counts = self.task_count_by_zone(job);
            machines.retain(|(name, _)| {
                self.machines.get(name).is_some_and(|m| zone_constraints_allow(job, &task_counts, &m.zone))
            });
        }
        let count = if job.has_zone_constraint() { 1 } else { waiting.len() as i64 };
        let max_per_machine = if job.is_service() { 1 } else { i64::MAX };
        let candidates: Vec<Candidate> = machines.iter().map(|(_, candidate)| *candidate).collect();
        let chosen = best_fit_capped(&candidates, &job.requirements.resources, count, max_per_machine);
        let mut placed = 0;
        for (index, tasks) in chosen {
            let machine = machines[index].0.clone();
            for _ in 0..tasks {
                let Some(task) = waiting.get(placed).copied() else { break };
                // The machine may have room although its segment is full.
                if !self.propose_placement(&TaskId { job: id.clone(), index: task }, &machine, now) {
                    break;
                }
                placed += 1;
            }
        }
        placed
    }

    /// Number of a job's placed tasks in each zone.
    fn task_count_by_zone(&self, job: &OpenJob) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for placed in job.placed.values() {
            if let Some(machine) = self.machines.get(&placed.machine) {
                *counts.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Books a task on a machine and marks the machine's segment for a commit. The
    /// booking is provisional until the commit succeeds, and is undone if the commit is
    /// refused. The caller must call `refresh_job` afterwards. Returns `false` if the
    /// task can't be placed, for example because the segment is full.
    fn propose_placement(&mut self, task: &TaskId, machine: &Arc<str>, now: Instant) -> bool {
        let Some(session) = self.machines.get(machine).map(|m| m.session) else { return false };
        let Some(attempt) = self.open_job(&task.job).map(|j| j.next_attempt(task.index)) else {
            return false;
        };
        let Some(segment_id) = self.assign_segment(machine) else { return false };
        if !self.try_reserve_weight(task, segment_id) {
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
        self.add_task_to_machine(task, machine, segment_id.shard, now);
        self.queue_segment_commit(segment_id, urgent);
        true
    }
}

/// Whether a job's zone constraints allow another of its tasks in `zone`, given the
/// number of its tasks in each zone.
fn zone_constraints_allow(job: &OpenJob, task_counts: &BTreeMap<String, u32>, zone: &str) -> bool {
    let tasks_in_zone = task_counts.get(zone).copied().unwrap_or(0);
    (!job.spec.one_zone || task_counts.is_empty() || tasks_in_zone > 0)
        && (!job.spec.spread || tasks_in_zone < job.record.tasks.div_ceil(2))
}

/// Whether a machine has the image that a task requires.
pub(super) fn image_presence(machine: &Machine, requirements: &TaskRequirements) -> ImagePresence {
    match requirements.image.as_ref().map(|image| machine.has_image(image)) {
        None | Some(Some(true)) => ImagePresence::Yes,
        Some(Some(false)) => ImagePresence::Fetching,
        Some(None) => ImagePresence::No,
    }
}
