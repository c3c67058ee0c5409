//! The state and decisions of a controller, without input or output: the replica of the state
//! service's records, the workers' sessions, and the plans that bring the cluster to the wanted
//! state. The loops of the node carry out what this module decides.

mod allocation;
mod capacity_usage;
mod catalog;
mod commit;
mod commit_priority;
mod commit_queue;
mod credit;
mod drain;
mod federation;
mod fleet;
mod groups;
mod idle_reserve;
mod layout;
mod machine_phase;
mod migration;
mod placing;
mod preemption;
mod record_replica;
mod roles;
mod segment_sync;
mod segments;
mod serving_order;
mod session;
mod shards;
#[cfg(test)]
mod testing;
mod updates;
mod worker_commands;

pub use capacity_usage::CapacityUsage;
pub use commit::{CommitOutcome, CommitTarget, PendingCommit};
pub use credit::{AdmissionDecision, SubmissionPlan};
pub use federation::{IncomingTransfer, NotAway, OfferUpdate, OutgoingTransfer, TransferPlan};
pub use fleet::{FleetActions, MAX_CONSULTED_MACHINES};
pub use groups::GroupUpdate;
pub use session::HeartbeatOutcome;
pub use shards::{LeaseGrant, ShardLease};
pub use worker_commands::CommandOutcome;

use crate::jobs::{Job, OpenJob, Placement, TaskId};
use crate::machines::Machine;
use crate::options::Options;
use crate::ranges::Ranges;
use crate::records::{
    DrainRecord, GroupRecord, LeaderRecord, LivenessRecord, SegmentId, SegmentRecord, ShardRecord,
};
use commit_queue::CommitQueue;
use dapplecroft_sched::{Demand, Resources, TeamQuotas};
use dapplecroft_wire::cloud::Catalog;
use dapplecroft_wire::settings::Settings;
use foldhash::fast::RandomState;
use indexmap::IndexMap;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

/// Role of this process: the leadership and the shard leases that it holds.
#[derive(Debug, Default)]
pub struct Role {
    /// Lease in the state service to which this process's keys are attached.
    pub lease_id: Option<u64>,
    /// Version of the leader's key in the state service, if this process is the leader and wrote
    /// it.
    pub leader_key_version: Option<u64>,
    /// Shards that this process leases from the leader, by shard number.
    pub leased_shards: BTreeMap<u32, ShardLease>,
    /// When the last request that confirmed this process's role was sent. A confirmation counts
    /// only once the replica of the records has applied all changes up to the confirmation's
    /// revision.
    pub last_confirmation_sent: Option<Instant>,
    /// This process takes no role before this time, because it was cut off from the workers that
    /// other controllers could reach.
    pub abstains_until: Option<Instant>,
    /// How often this process has given up its role. A confirmation that was requested in an
    /// earlier generation says nothing about a role taken since.
    generation: u64,
    /// Confirmations of the role whose revision is not applied yet: when each was requested, and its
    /// revision.
    unapplied_confirmations: VecDeque<(Instant, u64)>,
}

/// Which of the node's loops have to be woken.
#[derive(Debug, Default)]
pub struct Wakeups {
    /// Tasks may have become placeable.
    pub place: bool,
    /// Jobs or segments have changes to commit.
    pub commit: bool,
    /// Machines to whose workers a command has to be sent directly.
    pub command: BTreeSet<Arc<str>>,
    /// The leader's key, a shard's lease or the list of live controllers changed.
    pub role: bool,
    /// Machines may have to be rented or released.
    pub fleet: bool,
    /// A job has been handed over to another cell, or its user wants it cancelled there.
    pub federation: bool,
    /// This process must shut down.
    pub shutdown: bool,
}

/// A group of machines and its record in the state service.
#[derive(Debug, Clone)]
pub struct Group {
    /// The record.
    pub record: GroupRecord,
    /// Version of the group's record in the state service; 0 while the record is not committed.
    pub version: u64,
    /// Whether a write of the group's record is in flight.
    pub write_in_flight: bool,
    /// Whether the address of a member machine is known but not in the record yet.
    pub addresses_unrecorded: bool,
}

/// Summary of a controller's state, for the log.
#[derive(Debug, Default, Clone)]
pub struct NodeSummary {
    /// Whether this controller is the leader.
    pub leads: bool,
    /// Number of shards that this controller holds.
    pub shards: usize,
    /// Number of machines in the held shards.
    pub machines: usize,
    /// Number of machines in the held shards that accept tasks.
    pub schedulable_machines: usize,
    /// Number of tasks placed on machines of the held shards, including placements that are not
    /// committed yet.
    pub placed_tasks: usize,
    /// Number of tasks that are allocated to the held shards and wait for a machine.
    pub waiting_tasks: u32,
    /// Number of jobs in the whole cell that are neither final nor handed over to another cell.
    pub open_jobs: usize,
    /// Number of tasks that are not allocated to any shard.
    pub unallocated_tasks: u32,
    /// Number of non-empty segment records of the held shards.
    pub segments: usize,
    /// Size of these segment records together, in bytes.
    pub segment_bytes: usize,
    /// Share of the CPUs of machines that accept tasks which is free, in percent.
    pub free_cpu_percent: i64,
    /// Numbers of CPUs in the held shards by what they are used for.
    pub usage: CapacityUsage,
    /// Layout of the records that is in force.
    pub layout: u32,
}

/// A segment: one bounded record of the tasks placed in a shard.
#[derive(Debug, Clone, Default)]
pub struct Segment {
    /// The record.
    pub record: SegmentRecord,
    /// Version of the segment's record in the state service.
    pub version: u64,
    /// Size of the record as stored, in bytes.
    pub size_bytes: usize,
    /// Estimate of the size in bytes to which the record may grow when its tasks exit, since exits
    /// split task ranges and add completed ranges.
    pub max_size_bytes: usize,
}

impl Segment {
    /// Whether the record is empty, because its content was merged into another segment.
    fn is_empty(&self) -> bool {
        self.record == SegmentRecord::default()
    }
}

/// The state of one controller, with the functions that decide on it.
pub struct Core {
    /// Settings of the platform.
    pub settings: Arc<Settings>,
    /// Settings of the operators.
    pub options: Options,
    /// Identity of this process, unique to each start.
    pub identity: String,
    /// Whether the records have been read completely once.
    pub loaded: bool,
    /// Layout of the records that is in force, according to the layout record in the state service.
    pub active_layout: u32,
    /// Highest layout that each controller is known to support, by host name.
    pub known_layouts: BTreeMap<String, u32>,
    /// Why this process must shut down, if it must.
    pub shutdown_reason: Option<String>,
    /// How many records could not be parsed.
    pub unreadable_records: u64,
    /// Applied revision: all changes up to it have been applied to the replica.
    pub applied_revision: u64,
    /// Version of each key that exists.
    record_versions: HashMap<String, u64, RandomState>,
    /// Versions at which keys were deleted, as far as they are beyond the applied revision.
    deleted_versions: HashMap<String, u64>,
    /// All jobs that the records name, by id.
    pub jobs: HashMap<Arc<str>, Job, RandomState>,
    /// Ids of the jobs that are in `Job::Open`.
    pub open_jobs: BTreeSet<Arc<str>>,
    /// Ids of the open jobs that have tasks to allocate to a shard or to place on a machine.
    pub waiting_jobs: BTreeSet<Arc<str>>,
    /// Jobs, segments and keys that have something to commit, and commits in flight.
    commit_queue: CommitQueue,
    /// Work that was submitted recently, from which the idle reserve is derived.
    arrivals: idle_reserve::RecentArrivals,
    /// Jobs that were cancelled, or whose allocation was partly revoked, by a change beyond the
    /// applied revision. Placements committed before that change may not be in the replica yet.
    unsettled_jobs: BTreeSet<Arc<str>>,
    /// Machines by id. The map iterates in an order that does not depend on its hash seed, so that
    /// decisions can be reproduced.
    pub machines: IndexMap<Arc<str>, Machine, RandomState>,
    /// Machines of each shard, ordered by their free CPUs, so that a task is compared only with
    /// machines on which it may fit.
    machines_by_free_cpus: BTreeMap<u32, BTreeSet<(i64, Arc<str>)>>,
    /// Free capacity that other shard holders have reported, ahead of their records.
    capacity_hints: BTreeMap<SegmentId, allocation::RoomHint>,
    /// Segment records of all shards: which tasks are placed on which machine.
    pub segments: BTreeMap<SegmentId, Segment>,
    /// Bytes that proposals not committed yet may add to each segment's record.
    proposed_bytes: BTreeMap<SegmentId, usize>,
    /// Segments that are being merged into another one by a commit that has not finished.
    merging_segments: BTreeSet<SegmentId>,
    /// The last proposal whose size was added to `proposed_bytes`, and its segment. The next task
    /// of the same job may extend its span and then takes fewer bytes.
    last_sized_proposal: Option<(SegmentId, TaskId)>,
    /// Completed ranges and attempt numbers that the next commit of a segment adds to it, from a
    /// shard's record of the first layout or from a segment that is merged into it.
    inherited_history: BTreeMap<SegmentId, migration::InheritedHistory>,
    /// Completed tasks that are kept in records of their own, by job and record number.
    completed_records: HashMap<Arc<str>, BTreeMap<u32, Ranges>>,
    /// Keys whose records are obsolete and can be deleted.
    obsolete_keys: BTreeSet<String>,
    /// Machines that left a group's record by a change beyond the applied revision.
    departed_machines: Vec<groups::DepartedMachine>,
    /// Records that hold the machine types in pages, by page number.
    catalog_pages: BTreeMap<u32, record_replica::CatalogPage>,
    /// Groups of machines, by name.
    pub groups: BTreeMap<Arc<str>, Group>,
    /// Teams with their guaranteed quota, quota limit and usage.
    pub teams: TeamQuotas,
    /// The leader's record and its version, if there is a leader.
    pub leader: Option<(LeaderRecord, u64)>,
    /// Each shard's record and its version.
    pub shards: BTreeMap<u32, (ShardRecord, u64)>,
    /// Records of the live controllers, by host name.
    pub live_controllers: BTreeMap<String, LivenessRecord>,
    /// Since when this process has known each live controller's present identity.
    pub controller_live_since: BTreeMap<String, Instant>,
    /// Machine types that the cloud offers, once known.
    pub catalog: Option<Catalog>,
    /// Record and version of the drain under way in each shard.
    pub drains: BTreeMap<u32, (DrainRecord, u64)>,
    /// Leadership and shard leases of this process.
    pub role: Role,
    /// Tasks that a worker reports although no record places them on its machine. They must end
    /// before the same task may be started on another machine.
    pub unexpected_tasks: HashMap<TaskId, Arc<str>>,
    /// When the cloud confirmed the release of each machine.
    pub released_machines: HashMap<Arc<str>, Instant>,
    /// Tasks that found no machine in the last placement round, from which scale-out is planned.
    pub unplaced_demand: Vec<Demand>,
    /// Loops to wake since the last call of `take_wakeups`.
    pub wakeups: Wakeups,
    /// State of renting and releasing machines.
    fleet: fleet::FleetState,
    /// State of the drains that this controller starts.
    drain_state: drain::DrainState,
    /// When this controller last preempted tasks.
    last_preemption: Option<Instant>,
    /// State of the hand-overs of jobs to and from other cells.
    pub(crate) federation: federation::FederationState,
    /// State of admission control, if it is configured.
    credit: Option<credit::CreditState>,
    /// Whether the admission policy in force requires credit for submissions.
    admission_in_force: bool,
    /// Wall-clock time of the last placement round, in seconds since 1970.
    wall_clock_s: f64,
}

impl Core {
    /// Returns a core whose replica of the records is still empty.
    pub fn new(settings: Arc<Settings>, options: Options, identity: String) -> Self {
        let teams = TeamQuotas::new(settings.params.teams.iter().map(|t| {
            (t.name.clone(), Resources::new(t.cpus, t.gpus, 0.0), Resources::new(t.cpus_max, t.gpus_max, 0.0))
        }));
        let credit = credit::CreditState::for_settings(&settings, &options, &identity);
        Core {
            settings,
            options,
            identity,
            loaded: false,
            active_layout: 1,
            known_layouts: BTreeMap::new(),
            shutdown_reason: None,
            unreadable_records: 0,
            applied_revision: 0,
            record_versions: HashMap::default(),
            deleted_versions: HashMap::new(),
            jobs: HashMap::default(),
            open_jobs: BTreeSet::new(),
            waiting_jobs: BTreeSet::new(),
            commit_queue: CommitQueue::default(),
            arrivals: idle_reserve::RecentArrivals::default(),
            segments: BTreeMap::new(),
            proposed_bytes: BTreeMap::new(),
            merging_segments: BTreeSet::new(),
            last_sized_proposal: None,
            inherited_history: BTreeMap::new(),
            completed_records: HashMap::new(),
            obsolete_keys: BTreeSet::new(),
            departed_machines: Vec::new(),
            catalog_pages: BTreeMap::new(),
            unsettled_jobs: BTreeSet::new(),
            machines: IndexMap::default(),
            machines_by_free_cpus: BTreeMap::new(),
            capacity_hints: BTreeMap::new(),
            groups: BTreeMap::new(),
            teams,
            leader: None,
            shards: BTreeMap::new(),
            live_controllers: BTreeMap::new(),
            controller_live_since: BTreeMap::new(),
            catalog: None,
            drains: BTreeMap::new(),
            role: Role::default(),
            unexpected_tasks: HashMap::new(),
            released_machines: HashMap::new(),
            unplaced_demand: Vec::new(),
            wakeups: Wakeups::default(),
            fleet: fleet::FleetState::default(),
            drain_state: drain::DrainState::default(),
            last_preemption: None,
            federation: federation::FederationState::default(),
            credit,
            admission_in_force: false,
            wall_clock_s: 0.0,
        }
    }

    /// Adds a task to a machine and reserves the task's resources there.
    fn add_task_to_machine(&mut self, task: &TaskId, machine: &Arc<str>, shard: u32, now: Instant) {
        let Some(job) = self.open_job(&task.job) else { return };
        let (resources, image) = (job.requirements.resources, job.requirements.image.clone());
        // A placement can name a machine that has been released since.
        let machine =
            self.machines.entry(machine.clone()).or_insert_with(|| Machine::new(machine, shard, now));
        if machine.tasks.insert(task.clone()) {
            let free_cpus_before = machine.free_resources().cpus;
            machine.booked += resources;
            machine.idle_since = None;
            if let Some(image) = image {
                machine.record_image(image, false);
            }
            update_free_cpu_index(&mut self.machines_by_free_cpus, machine, free_cpus_before);
        }
    }

    /// Removes a task from its machine and frees the task's resources, unless `free_exited_task`
    /// has freed them already.
    fn remove_task_from_machine(&mut self, task: &TaskId, placed: &Placement, resources: Resources) {
        if let Some(machine) = self.machines.get_mut(&placed.machine)
            && machine.tasks.remove(task)
            && !placed.resources_freed
        {
            let free_cpus_before = machine.free_resources().cpus;
            machine.booked -= resources;
            update_free_cpu_index(&mut self.machines_by_free_cpus, machine, free_cpus_before);
        }
        self.wakeups.place = true;
    }

    /// Frees the resources of a task that provably no longer runs on its machine, before the exit of
    /// the task is committed. A new placement in the freed room is committed together with that exit
    /// or after it, since both are in the same segment record.
    fn free_exited_task(&mut self, task: &TaskId) {
        let Some(Job::Open(job)) = self.jobs.get_mut(&task.job) else { return };
        let resources = job.requirements.resources;
        let Some(placed) = job.placed.get_mut(&task.index).filter(|p| !p.resources_freed) else { return };
        placed.resources_freed = true;
        if let Some(machine) = self.machines.get_mut(&placed.machine) {
            let free_cpus_before = machine.free_resources().cpus;
            machine.booked -= resources;
            update_free_cpu_index(&mut self.machines_by_free_cpus, machine, free_cpus_before);
        }
        self.wakeups.place = true;
    }

    /// Recomputes what is derived from a job's records: the state of its tasks, the team's quota
    /// usage and whether the job has waiting tasks.
    fn refresh_job(&mut self, id: &Arc<str>) {
        let Some(Job::Open(job)) = self.jobs.get_mut(id) else { return };
        job.recompute_task_sets();
        // A cancellation or a revoked allocation can be in the replica before a placement that was
        // committed earlier. Until the replica has applied that placement, the team's usage is not
        // reduced.
        let settled = job.usage_known_at_revision() <= self.applied_revision;
        let counted = match (settled, job.is_open()) {
            (true, _) => job.tasks_against_team(),
            (false, true) => job.tasks_against_team().max(job.counted_against_team),
            (false, false) => job.counted_against_team,
        };
        let change = counted - job.counted_against_team;
        job.counted_against_team = counted;
        let (team, resources) = (job.spec.team.clone(), job.requirements.resources);
        self.teams.add_usage(&team, resources.times(change));
        self.refresh_waiting_job(id);
    }

    fn refresh_waiting_job(&mut self, id: &Arc<str>) {
        let waits = matches!(self.jobs.get(id), Some(Job::Open(j)) if j.is_open() && j.has_waiting_tasks());
        if waits {
            self.waiting_jobs.insert(id.clone());
        } else {
            self.waiting_jobs.remove(id);
        }
    }

    /// How many jobs and segments have allocations or placements waiting to be committed.
    pub fn commit_backlog(&self) -> usize {
        self.commit_queue.backlog()
    }

    /// Returns a job if it is in `Job::Open`.
    pub fn open_job(&self, id: &str) -> Option<&OpenJob> {
        match self.jobs.get(id) {
            Some(Job::Open(job)) => Some(job),
            _ => None,
        }
    }

    fn open_job_mut(&mut self, id: &str) -> Option<&mut OpenJob> {
        match self.jobs.get_mut(id) {
            Some(Job::Open(job)) => Some(job),
            _ => None,
        }
    }

    /// Withdraws all proposed placements of a job that are not in a commit in flight.
    fn withdraw_proposals(&mut self, id: &Arc<str>) {
        self.withdraw_proposals_if(id, |_, _, _| true);
    }

    /// Withdraws proposals for tasks whose allocation to the shard the leader has revoked. They
    /// could not be committed, since the job's record no longer allocates these tasks to the shard.
    fn withdraw_unallocated_proposals(&mut self, id: &Arc<str>) {
        self.withdraw_proposals_if(id, |job, index, p| !job.is_allocated_to(p.segment.shard, index));
    }

    /// Withdraws the proposed placements of a job for which `should_withdraw` returns true.
    /// Proposals in a segment with a commit in flight stay, since they may be part of that commit;
    /// its outcome settles them.
    fn withdraw_proposals_if(
        &mut self,
        id: &Arc<str>,
        should_withdraw: impl Fn(&OpenJob, u32, &Placement) -> bool,
    ) {
        let Some(job) = self.open_job(id) else { return };
        let withdrawn: Vec<(u32, Placement)> = job
            .placed
            .iter()
            .filter(|(index, p)| !p.committed && should_withdraw(job, **index, p))
            .filter(|(_, p)| !self.commit_queue.is_in_flight(&CommitTarget::Segment(p.segment)))
            .map(|(i, p)| (*i, p.clone()))
            .collect();
        if withdrawn.is_empty() {
            return;
        }
        for (index, placed) in withdrawn {
            self.remove_proposal(&TaskId { job: id.clone(), index }, &placed);
        }
        self.refresh_job(id);
    }

    /// Removes a proposed placement. The caller must call `refresh_job` afterwards.
    fn remove_proposal(&mut self, task: &TaskId, placed: &Placement) {
        let Some(job) = self.open_job_mut(&task.job) else { return };
        if job.placed.get(&task.index).is_none_or(|p| p.committed || p.attempt != placed.attempt) {
            return;
        }
        job.placed.remove(&task.index);
        let resources = job.requirements.resources;
        self.remove_task_from_machine(task, placed, resources);
    }

    /// Summarizes this controller's state for the log.
    pub fn summary(&self, now: Instant) -> NodeSummary {
        let max_heartbeat_age = self.max_heartbeat_age();
        let mut summary = NodeSummary {
            leads: self.leads(now),
            shards: self.role.leased_shards.len(),
            open_jobs: self.open_jobs.len(),
            ..NodeSummary::default()
        };
        summary.usage = self.capacity_usage(now);
        let (mut free_cpus, mut all_cpus) = (0, 0);
        for machine in self.machines.values() {
            let Some(shard_lease) = self.role.leased_shards.get(&machine.shard) else { continue };
            summary.machines += 1;
            summary.placed_tasks += machine.tasks.len();
            if machine.accepts_tasks(shard_lease.epoch, max_heartbeat_age, now) {
                summary.schedulable_machines += 1;
                free_cpus += machine.free_resources().cpus;
                all_cpus += machine.capacity.cpus;
            }
        }
        summary.free_cpu_percent = (free_cpus * 100).checked_div(all_cpus).unwrap_or(0);
        let held =
            self.segments.iter().filter(|(id, segment)| self.is_holder(id.shard) && !segment.is_empty());
        for (_, segment) in held {
            summary.segments += 1;
            summary.segment_bytes += segment.size_bytes;
        }
        summary.layout = self.active_layout;
        for job in self.open_jobs.iter().filter_map(|id| self.open_job(id)) {
            summary.unallocated_tasks += job.unallocated.len();
            let held = job.waiting.iter().filter(|(shard, _)| self.is_holder(**shard));
            summary.waiting_tasks += held.map(|(_, r)| r.len()).sum::<u32>();
        }
        summary
    }

    /// Returns which loops have to be woken and resets the list.
    pub fn take_wakeups(&mut self) -> Wakeups {
        std::mem::take(&mut self.wakeups)
    }
}

/// Moves a machine to its present position in the index of free CPUs. `free_cpus_before` is the
/// number of free CPUs under which the machine is indexed now.
fn update_free_cpu_index(
    machines_by_free_cpus: &mut BTreeMap<u32, BTreeSet<(i64, Arc<str>)>>,
    machine: &Machine,
    free_cpus_before: i64,
) {
    let shard = machines_by_free_cpus.entry(machine.shard).or_default();
    shard.remove(&(free_cpus_before, machine.id.clone()));
    shard.insert((machine.free_resources().cpus, machine.id.clone()));
}
