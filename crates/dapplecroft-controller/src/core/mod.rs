//! What a controller knows and decides, without input or output: the copy of
//! the records, the workers' sessions, and the difference between what is
//! wanted and what is. The loops around it carry out what it asks for.

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

pub use capacity_usage::CapacityUsage;
pub use commit::{CommitOutcome, CommitTarget, PendingCommit};
pub use credit::{Ruling, SubmissionPlan};
pub use federation::{IncomingTransfer, NotAway, OfferUpdate, OutgoingTransfer, TransferPlan};
pub use fleet::{FleetActions, MAX_CONSULTED};
pub use groups::GroupUpdate;
pub use session::{CommandEnd, HeartbeatOutcome};
pub use shards::{LeaseGrant, ShardLease};

use crate::jobs::{Job, OpenJob, Placed, TaskId};
use crate::machines::Machine;
use crate::options::Options;
use crate::ranges::Ranges;
use crate::records::{
    DrainRecord, GroupRecord, LeaderRecord, LiveRecord, SegmentId, SegmentRecord, ShardRecord,
};
use commit_queue::CommitQueue;
use dapplecroft_sched::{Demand, Resources, Teams};
use dapplecroft_wire::cloud::Catalog;
use dapplecroft_wire::settings::Settings;
use foldhash::fast::RandomState;
use indexmap::IndexMap;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

/// What this process is entitled to.
#[derive(Debug, Default)]
pub struct Role {
    /// The lease on which its keys hang.
    pub lease: Option<u64>,
    /// Version of the leader's key, if this process wrote it.
    pub leadership: Option<u64>,
    /// The shards that this process holds.
    pub leased_shards: BTreeMap<u32, ShardLease>,
    /// When a request was sent that confirmed its role, once the copy of the
    /// records had caught up with that confirmation.
    pub contact: Option<Instant>,
    /// Takes no role before: it was cut off from its workers.
    pub abstains: Option<Instant>,
    /// Counts how often it was given up: a confirmation that was asked for
    /// before says nothing of what was taken up since.
    generation: u64,
    pending: VecDeque<(Instant, u64)>,
}

/// What loops have to be woken for.
#[derive(Debug, Default)]
pub struct Wakeups {
    /// Something may be placed now.
    pub place: bool,
    /// Jobs have changes to commit.
    pub flush: bool,
    /// Machines have direct commands to receive.
    pub command: BTreeSet<Arc<str>>,
    /// The leader's key or a shard changed.
    pub role: bool,
    /// The fleet may need a change.
    pub fleet: bool,
    /// A job is away, or its user wants it cancelled there.
    pub federation: bool,
    /// This process must end.
    pub end: bool,
}

/// A group of machines, as recorded.
#[derive(Debug, Clone)]
pub struct Group {
    /// The record.
    pub record: GroupRecord,
    /// Its version; 0 while it is not committed.
    pub version: u64,
    /// Whether a write of it is on its way.
    pub writing: bool,
    /// Whether a member's address is known and not in the record.
    pub addresses_unrecorded: bool,
}

/// How things stand on a node.
#[derive(Debug, Default, Clone)]
pub struct Summary {
    /// Whether it leads.
    pub leads: bool,
    /// Shards that it holds.
    pub shards: usize,
    /// Machines in them.
    pub machines: usize,
    /// Those that take work.
    pub open_machines: usize,
    /// Tasks booked on them.
    pub placed: usize,
    /// Tasks that wait in them.
    pub waiting: u32,
    /// Jobs that are not over, anywhere.
    pub jobs: usize,
    /// Tasks that no shard has.
    pub unallocated: u32,
    /// Records of what runs in its shards, and their bytes.
    pub segments: usize,
    /// How many bytes they take together.
    pub bytes: usize,
    /// Processors that are free on machines that take work, in percent.
    pub free_percent: i64,
    /// What the processors of all its machines are used for.
    pub usage: CapacityUsage,
    /// The layout of the records in force.
    pub layout: u32,
}

/// What runs in a shard, as recorded.
#[derive(Debug, Clone, Default)]
pub struct Segment {
    /// The record.
    pub record: SegmentRecord,
    /// Its version.
    pub version: u64,
    /// How many bytes it takes.
    pub size: usize,
    /// How many it may come to take by ends of what it has.
    pub weight: usize,
}

impl Segment {
    /// Whether it says nothing: another segment has taken in what it had.
    fn is_empty(&self) -> bool {
        self.record == SegmentRecord::default()
    }
}

/// A controller's knowledge and decisions.
pub struct Core {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The operators' settings.
    pub options: Options,
    /// The identity of this process.
    pub identity: String,
    /// Whether the records have been read.
    pub loaded: bool,
    /// The layout of the records that is in force, as their record says.
    pub format: u32,
    /// The layouts that controllers were once seen to know.
    pub known_layouts: BTreeMap<String, u32>,
    /// Why this process must end.
    pub ended: Option<String>,
    /// Records that could not be read.
    pub unreadable: u64,
    /// Revision up to which changes are known.
    pub applied_revision: u64,
    versions: HashMap<String, u64, RandomState>,
    dropped: HashMap<String, u64>,
    /// Jobs.
    pub jobs: HashMap<Arc<str>, Job, RandomState>,
    /// Jobs that are not final.
    pub open: BTreeSet<Arc<str>>,
    /// Jobs that have waiting tasks.
    pub waiting: BTreeSet<Arc<str>>,
    /// What waits to be committed.
    commits: CommitQueue,
    /// Work that came lately.
    arrivals: idle_reserve::Arrivals,
    /// Jobs that were withdrawn, or of which something was taken back, and about
    /// which something earlier may not be known yet.
    unsettled: BTreeSet<Arc<str>>,
    /// Machines, in an order that does not hang on chance.
    pub machines: IndexMap<Arc<str>, Machine, RandomState>,
    /// Machines of each shard by what is free of their processors, so that a
    /// task looks only at those where it may fit.
    machines_by_free_cpus: BTreeMap<u32, BTreeSet<(i64, Arc<str>)>>,
    /// Room that other holders have told of.
    hints: BTreeMap<SegmentId, allocation::Hint>,
    /// What runs in each shard, by its records.
    pub segments: BTreeMap<SegmentId, Segment>,
    /// What proposals add to the weight of segments.
    pending: BTreeMap<SegmentId, usize>,
    /// Segments that others are about to take in.
    absorbing: BTreeSet<SegmentId>,
    /// What was proposed last, and where.
    weighed: Option<(SegmentId, TaskId)>,
    /// What segments take over from records of the first layout.
    inherited: BTreeMap<SegmentId, migration::Inherited>,
    /// Completed tasks in records of their own, by job.
    completed_records: HashMap<Arc<str>, BTreeMap<u32, Ranges>>,
    /// Keys that say nothing any more.
    obsolete_keys: BTreeSet<String>,
    /// Machines that left a group's record, until the copy has caught up with that.
    departed: Vec<groups::DepartedMachine>,
    /// Segments of the machine types: of how many, and which.
    catalog_segments: BTreeMap<u32, record_replica::CatalogSegment>,
    /// Groups of machines.
    pub groups: BTreeMap<Arc<str>, Group>,
    /// Teams.
    pub teams: Teams,
    /// The leader's record and version.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The shards' records and versions.
    pub shards: BTreeMap<u32, (ShardRecord, u64)>,
    /// Live controllers.
    pub live_controllers: BTreeMap<String, LiveRecord>,
    /// Since when this process knows each of them.
    pub controller_live_since: BTreeMap<String, Instant>,
    /// Machine types.
    pub catalog: Option<Catalog>,
    /// The drains under way, by shard.
    pub drains: BTreeMap<u32, (DrainRecord, u64)>,
    /// What this process is entitled to.
    pub role: Role,
    /// Tasks seen on machines where no record has them.
    pub unexpected_tasks: HashMap<TaskId, Arc<str>>,
    /// Machines whose release was answered, and when.
    pub released_machines: HashMap<Arc<str>, Instant>,
    /// Tasks that found no place in the last round.
    pub unplaced: Vec<Demand>,
    /// Loops to wake.
    pub wakeups: Wakeups,
    fleet: fleet::FleetState,
    draining: drain::DrainState,
    last_preemption: Option<Instant>,
    /// What is known of hand-overs to and from other cells.
    pub(crate) federation: federation::FederationState,
    /// What is known of admission control, where it is on.
    credit: Option<credit::CreditState>,
    /// Whether the policy of admission control demands credit.
    admission_in_force: bool,
    /// The time of day at the last round, in seconds since 1970.
    wall_clock_s: f64,
}

impl Core {
    /// A core that knows nothing yet.
    pub fn new(settings: Arc<Settings>, options: Options, identity: String) -> Self {
        let teams = Teams::new(settings.params.teams.iter().map(|t| {
            (t.name.clone(), Resources::new(t.cpus, t.gpus, 0.0), Resources::new(t.cpus_max, t.gpus_max, 0.0))
        }));
        let credit = credit::CreditState::for_settings(&settings, &options, &identity);
        Core {
            settings,
            options,
            identity,
            loaded: false,
            format: 1,
            known_layouts: BTreeMap::new(),
            ended: None,
            unreadable: 0,
            applied_revision: 0,
            versions: HashMap::default(),
            dropped: HashMap::new(),
            jobs: HashMap::default(),
            open: BTreeSet::new(),
            waiting: BTreeSet::new(),
            commits: CommitQueue::default(),
            arrivals: idle_reserve::Arrivals::default(),
            segments: BTreeMap::new(),
            pending: BTreeMap::new(),
            absorbing: BTreeSet::new(),
            weighed: None,
            inherited: BTreeMap::new(),
            completed_records: HashMap::new(),
            obsolete_keys: BTreeSet::new(),
            departed: Vec::new(),
            catalog_segments: BTreeMap::new(),
            unsettled: BTreeSet::new(),
            machines: IndexMap::default(),
            machines_by_free_cpus: BTreeMap::new(),
            hints: BTreeMap::new(),
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
            unplaced: Vec::new(),
            wakeups: Wakeups::default(),
            fleet: fleet::FleetState::default(),
            draining: drain::DrainState::default(),
            last_preemption: None,
            federation: federation::FederationState::default(),
            credit,
            admission_in_force: false,
            wall_clock_s: 0.0,
        }
    }

    /// Counts a task on a machine.
    fn book(&mut self, task: &TaskId, machine: &Arc<str>, shard: u32, now: Instant) {
        let Some(job) = self.open_job(&task.job) else { return };
        let (resources, image) = (job.requirements.resources, job.requirements.image.clone());
        // A placement can name a machine that was released since.
        let machine =
            self.machines.entry(machine.clone()).or_insert_with(|| Machine::new(machine, shard, now));
        if machine.tasks.insert(task.clone()) {
            let before = machine.room().cpus;
            machine.booked += resources;
            machine.idle_since = None;
            if let Some(image) = image {
                machine.note_image(image, false);
            }
            reindex(&mut self.machines_by_free_cpus, machine, before);
        }
    }

    /// Counts a task out again.
    fn unbook(&mut self, task: &TaskId, placed: &Placed, resources: Resources) {
        if let Some(machine) = self.machines.get_mut(&placed.machine)
            && machine.tasks.remove(task)
            && !placed.freed
        {
            let before = machine.room().cpus;
            machine.booked -= resources;
            reindex(&mut self.machines_by_free_cpus, machine, before);
        }
        self.wakeups.place = true;
    }

    /// Frees the room of a task that has left its machine by proof. The record
    /// of its end is on its way; what is placed in that room is committed with
    /// it or after it, since both are in the same record.
    fn free(&mut self, task: &TaskId) {
        let Some(Job::Open(job)) = self.jobs.get_mut(&task.job) else { return };
        let resources = job.requirements.resources;
        let Some(placed) = job.placed.get_mut(&task.index).filter(|p| !p.freed) else { return };
        placed.freed = true;
        if let Some(machine) = self.machines.get_mut(&placed.machine) {
            let before = machine.room().cpus;
            machine.booked -= resources;
            reindex(&mut self.machines_by_free_cpus, machine, before);
        }
        self.wakeups.place = true;
    }

    /// Brings what is derived from a job's records up to date.
    fn rederive(&mut self, id: &Arc<str>) {
        let Some(Job::Open(job)) = self.jobs.get_mut(id) else { return };
        job.derive();
        // A withdrawal, or what was taken back from a shard, can be known before
        // a placement that came before it: what was counted stays counted until
        // the copy has caught up.
        let settled = job.settles_at() <= self.applied_revision;
        let counts = match (settled, job.is_open()) {
            (true, _) => job.counts(),
            (false, true) => job.counts().max(job.counted),
            (false, false) => job.counted,
        };
        let change = counts - job.counted;
        job.counted = counts;
        let (team, resources) = (job.spec.team.clone(), job.requirements.resources);
        self.teams.book(&team, resources.times(change));
        self.refresh_waiting(id);
    }

    fn refresh_waiting(&mut self, id: &Arc<str>) {
        let waits = matches!(self.jobs.get(id), Some(Job::Open(j)) if j.is_open() && j.waits());
        if waits {
            self.waiting.insert(id.clone());
        } else {
            self.waiting.remove(id);
        }
    }

    /// How many jobs have allocations or placements that wait to be committed.
    pub fn backed_up(&self) -> usize {
        self.commits.backlog()
    }

    /// A job that is not over.
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

    /// Takes back all proposed placements of a job that are not on their way.
    fn drop_proposals(&mut self, id: &Arc<str>) {
        self.drop_if(id, |_, _, _| true);
    }

    /// Takes back proposals for tasks that the leader has taken back since from
    /// the shard: the record that they would be bound to no longer allows them.
    fn drop_unallocated(&mut self, id: &Arc<str>) {
        self.drop_if(id, |job, index, p| !job.allocates(p.segment.shard, index));
    }

    /// Takes back proposed placements. Those in a shard with a unit on its way
    /// may be in it: they are settled with it.
    fn drop_if(&mut self, id: &Arc<str>, void: impl Fn(&OpenJob, u32, &Placed) -> bool) {
        let Some(job) = self.open_job(id) else { return };
        let void: Vec<(u32, Placed)> = job
            .placed
            .iter()
            .filter(|(index, p)| !p.committed && void(job, **index, p))
            .filter(|(_, p)| !self.commits.is_in_flight(&CommitTarget::Segment(p.segment)))
            .map(|(i, p)| (*i, p.clone()))
            .collect();
        if void.is_empty() {
            return;
        }
        for (index, placed) in void {
            self.withdraw_proposal(&TaskId { job: id.clone(), index }, &placed);
        }
        self.rederive(id);
    }

    /// Takes back a proposed placement; the caller derives the job anew.
    fn withdraw_proposal(&mut self, task: &TaskId, placed: &Placed) {
        let Some(job) = self.open_job_mut(&task.job) else { return };
        if job.placed.get(&task.index).is_none_or(|p| p.committed || p.attempt != placed.attempt) {
            return;
        }
        job.placed.remove(&task.index);
        let resources = job.requirements.resources;
        self.unbook(task, placed, resources);
    }

    /// How things stand, for the log.
    pub fn summary(&self, now: Instant) -> Summary {
        let silence = self.silence();
        let mut summary = Summary {
            leads: self.leads(now),
            shards: self.role.leased_shards.len(),
            jobs: self.open.len(),
            ..Summary::default()
        };
        summary.usage = self.capacity_usage(now);
        let (mut free, mut all) = (0, 0);
        for machine in self.machines.values() {
            let Some(shard_lease) = self.role.leased_shards.get(&machine.shard) else { continue };
            summary.machines += 1;
            summary.placed += machine.tasks.len();
            if machine.open(shard_lease.epoch, silence, now) {
                summary.open_machines += 1;
                free += machine.room().cpus;
                all += machine.capacity.cpus;
            }
        }
        summary.free_percent = (free * 100).checked_div(all).unwrap_or(0);
        let own = self.segments.iter().filter(|(id, load)| self.is_holder(id.shard) && !load.is_empty());
        for (_, load) in own {
            summary.segments += 1;
            summary.bytes += load.size;
        }
        summary.layout = self.format;
        for job in self.open.iter().filter_map(|id| self.open_job(id)) {
            summary.unallocated += job.unallocated.len();
            let own = job.waiting.iter().filter(|(b, _)| self.is_holder(**b));
            summary.waiting += own.map(|(_, r)| r.len()).sum::<u32>();
        }
        summary
    }

    /// Takes what loops have to be woken for.
    pub fn take_wakeups(&mut self) -> Wakeups {
        std::mem::take(&mut self.wakeups)
    }
}

/// Moves a machine within the index of free processors.
fn reindex(
    machines_by_free_cpus: &mut BTreeMap<u32, BTreeSet<(i64, Arc<str>)>>,
    machine: &Machine,
    before: i64,
) {
    let shard = machines_by_free_cpus.entry(machine.shard).or_default();
    shard.remove(&(before, machine.id.clone()));
    shard.insert((machine.room().cpus, machine.id.clone()));
}
