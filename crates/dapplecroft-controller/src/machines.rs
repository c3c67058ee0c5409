//! A controller's view of the machines: what the records and the workers'
//! heartbeats say of them.

use crate::fencing::WorkerFencing;
use crate::jobs::TaskId;
use dapplecroft_sched::Resources;
use dapplecroft_wire::workers::TaskStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Whether a machine takes tasks or is to be released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// The machine takes tasks.
    Active,
    /// The machine takes no more tasks, and is released once it is empty.
    Returning,
    /// The machine is unusable: it did not come up, fell silent, no longer accepts commands or
    /// failed. It is released whatever runs on it.
    Lost,
}

/// A machine as this controller knows it.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name of the machine.
    pub id: Arc<str>,
    /// Shard that the machine belongs to.
    pub shard: u32,
    /// Segment of the shard whose record lists the machine, or will list it. `None`
    /// until one is assigned.
    pub segment: Option<u32>,
    /// Group whose record lists the machine; `None` once the machine was released.
    pub group: Option<Arc<str>>,
    /// Resources of the machine; zero while its type is unknown.
    pub capacity: Resources,
    /// Type of the machine.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Address on which the machine's worker listens.
    pub address: Option<String>,
    /// When this process learned of the machine, or last became the holder of its shard.
    pub known_since: Instant,
    /// When this process last received a heartbeat from the worker.
    pub last_heartbeat: Option<Instant>,
    /// Since when the worker's heartbeats have shown a fencing token too old for them to be proof.
    pub unsynced_since: Option<Instant>,
    /// Session of the worker, 0 while none is known.
    pub session: u64,
    /// Sequence number of the worker's newest heartbeat.
    pub sequence: u64,
    /// Highest fencing token that the worker reports to have seen.
    pub seen_token: u64,
    /// Fencing token of the worker, except for the shard's epoch.
    pub fencing: WorkerFencing,
    /// When the cloud reclaims the machine, if it has announced that.
    pub reclaim_at: Option<Instant>,
    /// Tasks in the worker's newest heartbeat, with their status.
    pub reported: BTreeMap<TaskId, TaskStatus>,
    /// Tasks for which resources of the machine are booked.
    pub tasks: BTreeSet<TaskId>,
    /// Resources that the booked tasks take.
    pub booked: Resources,
    /// Images that the machine has (`true`, once a task ran with the image) or is
    /// fetching (`false`).
    images: BTreeMap<String, bool>,
    /// Whether a request with direct commands to the worker is in flight.
    pub command_in_flight: bool,
    /// No direct commands are sent before this time.
    pub commands_paused_until: Option<Instant>,
    /// Whether a probe of the worker is in flight.
    pub probe_in_flight: bool,
    /// Number of consecutive probes without an answer.
    pub missed_probes: u32,
    /// Whether the machine takes tasks or is to be released.
    pub phase: MachinePhase,
    /// Whether the group's record says that the shard's holder has given the machine up.
    pub given_up: bool,
    /// Whether a request to release the machine is in flight.
    pub release_in_flight: bool,
    /// Jobs whose tasks failed on this machine and on no other.
    pub failed_jobs: BTreeSet<Arc<str>>,
    /// Since when no task is booked on the machine.
    pub idle_since: Option<Instant>,
}

impl Machine {
    /// Returns a machine from which no heartbeat has been received.
    pub fn new(id: &str, shard: u32, now: Instant) -> Self {
        Machine {
            id: id.into(),
            shard,
            segment: None,
            group: None,
            capacity: Resources::default(),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            address: None,
            known_since: now,
            last_heartbeat: None,
            unsynced_since: None,
            session: 0,
            sequence: 0,
            seen_token: 0,
            fencing: WorkerFencing::default(),
            reclaim_at: None,
            reported: BTreeMap::new(),
            tasks: BTreeSet::new(),
            booked: Resources::default(),
            images: BTreeMap::new(),
            command_in_flight: false,
            commands_paused_until: None,
            probe_in_flight: false,
            missed_probes: 0,
            phase: MachinePhase::Active,
            given_up: false,
            release_in_flight: false,
            failed_jobs: BTreeSet::new(),
            idle_since: Some(now),
        }
    }

    /// Current fencing token for commands to the machine's worker, in a given epoch of
    /// the shard's lease.
    pub fn token(&self, epoch: u64) -> u64 {
        self.fencing.token(epoch)
    }

    /// Whether the worker's newest heartbeat proves which tasks run on the machine: the worker
    /// had seen a fencing token that voids all commands of unknown outcome.
    pub fn is_synced(&self, epoch: u64) -> bool {
        self.session > 0 && self.fencing.is_synced(self.seen_token, epoch)
    }

    /// Records that the machine has an image (`fetched`) or is fetching it.
    pub fn record_image(&mut self, image: String, fetched: bool) {
        *self.images.entry(image).or_insert(fetched) |= fetched;
    }

    /// Whether the machine has an image (`true`) or is fetching it (`false`); `None` if
    /// neither is known.
    pub fn has_image(&self, image: &str) -> Option<bool> {
        self.images.get(image).copied()
    }

    /// Resources of the machine that no task is booked for.
    pub fn free_resources(&self) -> Resources {
        self.capacity - self.booked
    }

    /// Whether tasks may be placed on the machine, as its shard's holder sees it. Its
    /// worker must be synced and have sent a heartbeat within `heartbeat_timeout`, and the machine must be neither reclaimed, released nor given
    /// up, nor be the only one on which two or more jobs failed.
    pub fn accepts_tasks(&self, epoch: u64, heartbeat_timeout: Duration, now: Instant) -> bool {
        self.last_heartbeat.is_some_and(|at| now.saturating_duration_since(at) <= heartbeat_timeout)
            && self.is_synced(epoch)
            && self.phase == MachinePhase::Active
            && !self.given_up
            && !self.release_in_flight
            && self.reclaim_at.is_none()
            && self.failed_jobs.len() < 2
    }

    /// Whether the machine takes tasks as far as controllers other than its shard's holder
    /// can tell from the records: its worker has registered an address, and the machine
    /// has not been given up.
    pub fn likely_accepts_tasks(&self) -> bool {
        self.group.is_some() && self.address.is_some() && !self.given_up && self.capacity.cpus > 0
    }

    /// Forgets the state of the worker from an earlier lease of the shard. Sessions, tokens
    /// and task lists count only if the worker reported them under the present lease.
    pub fn forget_worker_state(&mut self, now: Instant) {
        self.known_since = now;
        self.last_heartbeat = None;
        self.unsynced_since = None;
        self.session = 0;
        self.sequence = 0;
        self.seen_token = 0;
        self.fencing.reset();
        self.reported.clear();
        self.command_in_flight = false;
        self.commands_paused_until = None;
        self.probe_in_flight = false;
        self.missed_probes = 0;
        self.release_in_flight = false;
        self.phase = MachinePhase::Active;
        self.reclaim_at = None;
        if self.tasks.is_empty() {
            self.idle_since = Some(now);
        }
    }
}
