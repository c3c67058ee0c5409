//! What a controller knows and decides, without input or output: the copy of
//! the records, the workers' sessions, and the difference between what is
//! wanted and what is. The loops around it carry out what it asks for.

mod commit;
mod drain;
mod fleet;
mod placing;
mod session;

pub use commit::{JobUnit, UnitEnd};
pub use fleet::FleetActions;
pub use session::{CommandEnd, HelloAnswer};

use crate::jobs::{Job, OpenJob, Placed, Stop, TaskId};
use crate::machines::Machine;
use crate::options::Options;
use crate::records::{
    BlockRecord, ChunkRecord, DrainRecord, JobRecord, JobStage, Key, LeaderRecord, LiveRecord, MachineRecord,
};
use dapplecroft_sched::{Amounts, Demand, Teams};
use dapplecroft_wire::cloud::Catalog;
use dapplecroft_wire::settings::Settings;
use dapplecroft_wire::state::{Followed, Item};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A lease of the block of machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// Its epoch.
    pub epoch: u64,
    /// Version of the block's record.
    pub version: u64,
}

/// What this process is entitled to.
#[derive(Debug, Default)]
pub struct Role {
    /// The lease on which its keys hang.
    pub lease: Option<u64>,
    /// Version of the leader's key, if this process wrote it.
    pub leadership: Option<u64>,
    /// The block, if this process holds it.
    pub holding: Option<Holding>,
    /// When a request was sent that confirmed leadership and holding, once the
    /// copy of the records had caught up with that confirmation.
    pub contact: Option<Instant>,
    pending: VecDeque<(Instant, u64)>,
}

/// What loops have to be woken for.
#[derive(Debug, Default)]
pub struct Wakes {
    /// Something may be placed now.
    pub place: bool,
    /// Jobs have changes to commit.
    pub flush: bool,
    /// Machines have direct commands to receive.
    pub command: BTreeSet<String>,
    /// The leader's key or the block changed.
    pub role: bool,
    /// The fleet may need a change.
    pub fleet: bool,
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
    /// Revision up to which changes are known.
    pub followed: u64,
    versions: HashMap<String, u64>,
    dropped: HashMap<String, u64>,
    /// Jobs.
    pub jobs: HashMap<Arc<str>, Job>,
    /// Jobs that are not final.
    pub open: BTreeSet<Arc<str>>,
    /// Jobs that have waiting tasks.
    pub waiting: BTreeSet<Arc<str>>,
    /// Jobs with something to commit.
    pub dirty: BTreeSet<Arc<str>>,
    /// Machines.
    pub machines: BTreeMap<String, Machine>,
    /// Teams.
    pub teams: Teams,
    /// The leader's record and version.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The block's record and version.
    pub block: Option<(BlockRecord, u64)>,
    /// Live controllers.
    pub live: BTreeMap<String, LiveRecord>,
    /// Machine types.
    pub catalog: Option<Catalog>,
    /// The drain under way.
    pub drain: Option<(DrainRecord, u64)>,
    /// What this process is entitled to.
    pub role: Role,
    /// Tasks seen on machines where no record has them.
    pub ghosts: HashMap<TaskId, String>,
    /// Machines whose release was answered, and when.
    pub gone: HashMap<String, Instant>,
    /// Tasks that found no place in the last round.
    pub unplaced: Vec<Demand>,
    /// Loops to wake.
    pub wakes: Wakes,
    fleet: fleet::FleetState,
    drains: drain::DrainState,
}

impl Core {
    /// A core that knows nothing yet.
    pub fn new(settings: Arc<Settings>, options: Options, identity: String) -> Self {
        let teams = Teams::new(settings.params.teams.iter().map(|t| {
            (t.name.clone(), Amounts::new(t.cpus, t.gpus, 0.0), Amounts::new(t.cpus_max, t.gpus_max, 0.0))
        }));
        Core {
            settings,
            options,
            identity,
            loaded: false,
            followed: 0,
            versions: HashMap::new(),
            dropped: HashMap::new(),
            jobs: HashMap::new(),
            open: BTreeSet::new(),
            waiting: BTreeSet::new(),
            dirty: BTreeSet::new(),
            machines: BTreeMap::new(),
            teams,
            leader: None,
            block: None,
            live: BTreeMap::new(),
            catalog: None,
            drain: None,
            role: Role::default(),
            ghosts: HashMap::new(),
            gone: HashMap::new(),
            unplaced: Vec::new(),
            wakes: Wakes::default(),
            fleet: fleet::FleetState::default(),
            drains: drain::DrainState::default(),
        }
    }

    // ---- The copy of the records -------------------------------------------

    /// Takes over a full reading of the records.
    pub fn load(&mut self, items: Vec<Item>, revision: u64, now: Instant) {
        let present: HashSet<&str> = items.iter().map(|i| i.key.as_str()).collect();
        let vanished: Vec<String> = self
            .versions
            .iter()
            .filter(|(key, version)| **version <= revision && !present.contains(key.as_str()))
            .map(|(key, _)| key.clone())
            .collect();
        for key in vanished {
            self.apply(&key, None, revision, now);
        }
        // Jobs come before placements in the order of keys.
        for item in items {
            self.apply(&item.key, Some(item.value), item.version, now);
        }
        self.loaded = true;
        self.caught_up(revision);
    }

    /// Notes that all changes up to a revision are known.
    pub fn caught_up(&mut self, revision: u64) {
        self.followed = self.followed.max(revision);
        let followed = self.followed;
        if self.role.holding.is_none() && self.role.leadership.is_some_and(|l| l <= followed) {
            // A new leader knows all that was committed before it: it can go on.
            self.wakes.role = true;
        }
        self.dropped.retain(|_, at| *at > followed);
        while let Some(&(sent, at)) = self.role.pending.front() {
            if at > followed {
                break;
            }
            self.role.contact = self.role.contact.max(Some(sent));
            self.role.pending.pop_front();
        }
    }

    /// The known version of a key; 0 if it is not known to exist.
    pub fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// Takes over what a watch brought, up to a revision.
    pub fn follow(&mut self, followed: Followed, now: Instant) {
        let mut log = followed.log;
        // Within a transaction a job's record comes first: it says what the end
        // of its chunks means.
        log.sort_by_key(|l| (l.version, !l.set.as_deref().is_some_and(|k| k.starts_with("dc/j/"))));
        for change in log {
            match (change.set, change.drop) {
                (Some(key), _) => self.apply(&key, change.data, change.version, now),
                (None, Some(key)) => self.apply(&key, None, change.version, now),
                (None, None) => {}
            }
        }
        self.caught_up(followed.revision);
    }

    /// Takes over one change. Changes arrive from the watch, from own commits
    /// and from single readings, so one that is not newer is ignored.
    pub fn apply(&mut self, key: &str, value: Option<Value>, version: u64, now: Instant) {
        let known = self.version(key).max(self.dropped.get(key).copied().unwrap_or(0));
        if version <= known {
            return;
        }
        match &value {
            Some(_) => {
                self.dropped.remove(key);
                self.versions.insert(key.to_string(), version);
            }
            None => {
                self.versions.remove(key);
                if version > self.followed {
                    self.dropped.insert(key.to_string(), version);
                }
            }
        }
        match Key::parse(key) {
            Some(Key::Job(id)) => {
                if let Some(record) = read::<JobRecord>(key, value) {
                    self.apply_job(id, record, version, now);
                }
            }
            Some(Key::Chunk(id, chunk)) => {
                let record = value.and_then(|v| read::<ChunkRecord>(key, Some(v)));
                self.apply_chunk(id, chunk, record, version, now);
            }
            Some(Key::Machine(id)) => match value {
                Some(v) => {
                    if let Some(record) = read::<MachineRecord>(key, Some(v)) {
                        self.apply_machine(id, record, version, now);
                    }
                }
                None => {
                    // One that placements still name is kept: if this node comes
                    // to hold the block, it has to find proof that they are gone.
                    if let Some(machine) = self.machines.get_mut(id) {
                        machine.recorded = None;
                        if self.role.holding.is_none() && machine.tasks.is_empty() {
                            self.machines.remove(id);
                        }
                    }
                }
            },
            Some(Key::Leader) => {
                self.leader = value.and_then(|v| read(key, Some(v))).map(|r| (r, version));
                self.wakes.role = true;
                if self.role.leadership.is_some_and(|own| own != version) {
                    self.resign("the leader's key changed");
                }
            }
            Some(Key::Block) => {
                self.block = value.and_then(|v| read(key, Some(v))).map(|r| (r, version));
                self.wakes.role = true;
                if self.role.holding.is_some_and(|own| own.version != version) {
                    self.resign("the block was leased anew");
                }
            }
            Some(Key::Live(host)) => {
                match value.and_then(|v| read(key, Some(v))) {
                    Some(record) => self.live.insert(host.to_string(), record),
                    None => self.live.remove(host),
                };
                self.wakes.role = true;
            }
            Some(Key::Catalog) => {
                // A leader has it from the cloud, with the present prices.
                if let Some(catalog) = read::<Catalog>(key, value)
                    && (self.role.leadership.is_none() || self.catalog.is_none())
                {
                    self.catalog = Some(catalog);
                }
            }
            Some(Key::Drain) => self.drain = value.and_then(|v| read(key, Some(v))).map(|r| (r, version)),
            None => tracing::debug!(key, "a key of another version of the program"),
        }
    }

    fn apply_job(&mut self, id: &str, record: JobRecord, version: u64, now: Instant) {
        let id: Arc<str> = id.into();
        if record.spec.is_none() {
            // Final for good: everything about it can be forgotten but this.
            self.forget_job(&id);
            let done = record.done.unwrap_or(0);
            self.jobs.insert(id, Job::Final { stage: record.stage, done });
            return;
        }
        match self.jobs.get_mut(&id) {
            Some(Job::Final { .. }) => return,
            Some(Job::Open(job)) => {
                job.record = record;
                job.version = version;
                job.take_full_chunks();
            }
            None => {
                let Some(job) = OpenJob::new(record, version, now) else { return };
                self.open.insert(id.clone());
                self.jobs.insert(id.clone(), Job::Open(Box::new(job)));
            }
        }
        self.wakes.place = true;
        self.stop_withdrawn(&id);
        self.refresh_waiting(&id);
    }

    /// Asks for the end of all tasks of a withdrawn job.
    fn stop_withdrawn(&mut self, id: &Arc<str>) {
        let Some(Job::Open(job)) = self.jobs.get_mut(id) else { return };
        if job.is_open() {
            return;
        }
        for placed in job.placed.values_mut() {
            placed.stop = Some(Stop::Withdrawn);
            self.wakes.command.insert(placed.machine.clone());
        }
        if !job.committing {
            self.drop_proposals(id);
        }
        // The holder puts the record into its final, compact form.
        self.dirty.insert(id.clone());
        self.wakes.flush = true;
    }

    fn forget_job(&mut self, id: &Arc<str>) {
        if let Some(Job::Open(job)) = self.jobs.remove(id) {
            for (index, placed) in &job.placed {
                self.unbook(
                    &TaskId { job: id.clone(), index: *index },
                    placed,
                    &job.spec.team,
                    job.need.amounts,
                );
            }
        }
        self.open.remove(id);
        self.waiting.remove(id);
        self.dirty.remove(id);
    }

    /// Brings a chunk's placements up to its record.
    fn apply_chunk(&mut self, id: &str, chunk: u32, record: Option<ChunkRecord>, version: u64, now: Instant) {
        let Some((id, _)) = self.jobs.get_key_value(id) else { return };
        let id = id.clone();
        let Some(Job::Open(job)) = self.jobs.get_mut(&id) else { return };
        let record = match record {
            Some(record) => record,
            None => {
                // Dropped when full, or with the job: only a job's record says
                // which, and it was applied before.
                job.chunks.remove(&chunk);
                ChunkRecord::default()
            }
        };
        let range = job.indices(chunk);
        let mut unbooked = Vec::new();
        let stale: Vec<u32> = job
            .placed
            .range(range.clone())
            .filter(|(index, p)| match record.at.get(index) {
                Some((attempt, machine, _)) => *attempt != p.attempt || *machine != p.machine,
                None => p.committed,
            })
            .map(|(index, _)| *index)
            .collect();
        for index in stale {
            if let Some(placed) = job.placed.remove(&index) {
                unbooked.push((index, placed));
            }
            job.exits.remove(&index);
            let full = job.record.full.contains(chunk);
            if !full && !record.done.contains(index) && !record.at.contains_key(&index) {
                job.requeued.insert(index);
            }
        }
        let mut booked = Vec::new();
        let withdrawn = !job.is_open();
        for (&index, (attempt, machine, session)) in &record.at {
            if index >= job.record.tasks {
                continue;
            }
            job.take(index);
            let placed = job.placed.entry(index).or_insert_with(|| {
                booked.push((index, machine.clone()));
                Placed {
                    attempt: *attempt,
                    machine: machine.clone(),
                    session: *session,
                    committed: true,
                    since: now,
                    running: None,
                    sent: 0,
                    stop: None,
                }
            });
            if !placed.committed {
                placed.committed = true;
                placed.since = now;
            }
            if withdrawn {
                placed.stop = Some(Stop::Withdrawn);
            }
            self.wakes.command.insert(machine.clone());
        }
        for index in record.done.iter().collect::<Vec<_>>() {
            job.take(index);
        }
        for &index in record.tries.keys() {
            if index >= job.fresh {
                job.take(index);
                job.requeued.insert(index);
            }
        }
        if version > 0 && (!record.at.is_empty() || !record.done.is_empty() || !record.tries.is_empty()) {
            job.chunks.insert(chunk, (record, version));
        }
        let size = job.record.chunk.max(1);
        let placed = &job.placed;
        job.exits.retain(|i, e| i / size != chunk || placed.get(i).is_some_and(|p| p.attempt == e.attempt));
        let (team, amounts) = (job.spec.team.clone(), job.need.amounts);
        for (index, placed) in unbooked {
            self.unbook(&TaskId { job: id.clone(), index }, &placed, &team, amounts);
        }
        for (index, machine) in booked {
            self.book(&TaskId { job: id.clone(), index }, &machine, &team, amounts, now);
        }
        self.wakes.place = true;
        self.refresh_waiting(&id);
    }

    fn apply_machine(&mut self, id: &str, record: MachineRecord, version: u64, now: Instant) {
        let machine = self
            .machines
            .entry(id.to_string())
            .or_insert_with(|| Machine::new(id, &record.machine_type, &record.zone, record.spot, now));
        machine.machine_type = record.machine_type;
        machine.zone = record.zone;
        machine.spot = record.spot;
        machine.recorded = Some((version, record.address.is_some()));
        if machine.address.is_none() {
            machine.address = record.address;
        }
    }

    /// Counts a task on a machine and against its team.
    fn book(&mut self, task: &TaskId, machine: &str, team: &str, amounts: Amounts, now: Instant) {
        self.teams.book(team, amounts);
        // A placement can name a machine whose record is gone or not yet here.
        let machine = self
            .machines
            .entry(machine.to_string())
            .or_insert_with(|| Machine::new(machine, "", "", false, now));
        if machine.tasks.insert(task.clone()) {
            machine.booked += amounts;
            machine.idle_since = None;
        }
    }

    /// Counts a task out again.
    fn unbook(&mut self, task: &TaskId, placed: &Placed, team: &str, amounts: Amounts) {
        self.teams.unbook(team, amounts);
        if let Some(machine) = self.machines.get_mut(&placed.machine)
            && machine.tasks.remove(task)
        {
            machine.booked -= amounts;
        }
        self.wakes.place = true;
    }

    fn refresh_waiting(&mut self, id: &Arc<str>) {
        let waits = matches!(self.jobs.get(id), Some(Job::Open(j)) if j.is_open() && j.waiting() > 0);
        if waits {
            self.waiting.insert(id.clone());
        } else {
            self.waiting.remove(id);
        }
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

    // ---- Roles -------------------------------------------------------------

    /// Notes a confirmation of this node's role: sent when, at which revision.
    /// It counts once all changes up to that revision are known, so that a
    /// holder in contact has heard of every cancellation before it.
    pub fn confirmed(&mut self, sent: Instant, revision: u64) {
        if revision <= self.followed {
            self.role.contact = self.role.contact.max(Some(sent));
        } else if self.role.pending.len() < 64 {
            self.role.pending.push_back((sent, revision));
        }
    }

    /// Takes note of having become leader.
    pub fn lead(&mut self, version: u64) {
        self.role.leadership = Some(version);
        self.role.holding = None;
        self.role.contact = None;
        self.role.pending.clear();
    }

    /// Takes note of holding the block, and forgets what was believed of
    /// machines: only what they tell this holder counts.
    pub fn hold(&mut self, holding: Holding, now: Instant) {
        self.role.holding = Some(holding);
        for machine in self.machines.values_mut() {
            machine.reset(now);
        }
        self.ghosts.clear();
        self.unplaced.clear();
        for (id, job) in &mut self.jobs {
            if let Job::Open(job) = job {
                job.exits.clear();
                job.committing = false;
                for placed in job.placed.values_mut() {
                    placed.sent = 0;
                    placed.running = None;
                    placed.since = now;
                }
                if !job.is_open() {
                    self.dirty.insert(id.clone());
                }
            }
        }
        self.fleet = fleet::FleetState::default();
        self.fleet.began = Some(now);
        self.drains = drain::DrainState::default();
        self.wakes.place = true;
        self.wakes.flush = true;
        self.wakes.fleet = true;
    }

    /// Gives up leadership and block.
    pub fn resign(&mut self, why: &str) {
        if self.role.leadership.is_some() || self.role.holding.is_some() {
            tracing::info!(why, "no longer leader");
        }
        self.role.leadership = None;
        self.role.holding = None;
        self.role.contact = None;
        self.role.pending.clear();
        self.wakes.role = true;
        // Proposals that are not committed by now are void: their commits name
        // the leader's key. If one was made in time, the records say so.
        let mut void = Vec::new();
        for (id, job) in &mut self.jobs {
            if let Job::Open(job) = job {
                job.exits.clear();
                job.committing = false;
                for (&index, placed) in job.placed.iter().filter(|(_, p)| !p.committed) {
                    void.push((TaskId { job: id.clone(), index }, placed.clone()));
                }
            }
        }
        for (task, placed) in void {
            self.withdraw_proposal(&task, &placed);
        }
        self.dirty.clear();
        self.ghosts.clear();
        self.gone.clear();
        self.unplaced.clear();
        self.machines.retain(|_, m| m.recorded.is_some() || !m.tasks.is_empty());
    }

    /// Takes back all proposed placements of a job.
    fn drop_proposals(&mut self, id: &Arc<str>) {
        let Some(job) = self.open_job(id) else { return };
        let proposed: Vec<(u32, Placed)> =
            job.placed.iter().filter(|(_, p)| !p.committed).map(|(i, p)| (*i, p.clone())).collect();
        for (index, placed) in proposed {
            self.withdraw_proposal(&TaskId { job: id.clone(), index }, &placed);
        }
    }

    /// Takes back a proposed placement.
    fn withdraw_proposal(&mut self, task: &TaskId, placed: &Placed) {
        let Some(job) = self.open_job_mut(&task.job) else { return };
        if job.placed.get(&task.index).is_none_or(|p| p.committed || p.attempt != placed.attempt) {
            return;
        }
        job.placed.remove(&task.index);
        job.requeued.insert(task.index);
        let (team, amounts) = (job.spec.team.clone(), job.need.amounts);
        self.unbook(task, placed, &team, amounts);
        self.refresh_waiting(&task.job);
    }

    /// The longest time that a holder acts without a confirmation: its lease's
    /// term, or less if a cancellation that it has not heard of asks for it.
    pub fn contact_limit(&self) -> Duration {
        self.settings.contact_limit().min(self.options.block_lease)
    }

    /// The block, if this process may act for it now.
    pub fn holding(&self, now: Instant) -> Option<Holding> {
        let contact = self.role.contact?;
        self.role.leadership?;
        let fresh = now.saturating_duration_since(contact) <= self.contact_limit();
        self.role.holding.filter(|_| fresh)
    }

    /// Whether this process holds the block, in contact or not.
    pub fn is_holder(&self) -> bool {
        self.role.holding.is_some()
    }

    /// The node that workers should report to.
    pub fn holder_host(&self) -> Option<&str> {
        let (block, _) = self.block.as_ref()?;
        let (leader, _) = self.leader.as_ref()?;
        let live = self.live.get(&block.host).is_some_and(|l| l.identity == block.identity);
        (live && leader.identity == block.identity && block.identity != self.identity)
            .then_some(block.host.as_str())
    }

    /// Takes what loops have to be woken for.
    pub fn take_wakes(&mut self) -> Wakes {
        std::mem::take(&mut self.wakes)
    }
}

impl JobRecord {
    /// The compact form of a job that is over.
    pub fn compact(&self, stage: JobStage, done: u32) -> JobRecord {
        JobRecord {
            stage,
            tasks: self.tasks,
            chunk: 0,
            full: Default::default(),
            done: Some(done),
            at: self.at,
            spec: None,
        }
    }
}

fn read<T: DeserializeOwned>(key: &str, value: Option<Value>) -> Option<T> {
    match serde_json::from_value(value?) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "a record cannot be read");
            None
        }
    }
}
