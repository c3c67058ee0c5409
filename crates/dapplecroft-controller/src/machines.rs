//! Machines as their workers report them.

use crate::jobs::TaskId;
use dapplecroft_sched::Resources;
use dapplecroft_wire::workers::TaskStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bits of a fencing token below the shard's epoch. A holder raises them for
/// one worker without a write to the state service.
const COUNTER_BITS: u32 = 20;

/// What is to become of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// It takes work.
    Active,
    /// It takes no more work, and is returned once it is empty.
    Returning,
    /// It is released whatever is on it.
    Lost,
}

/// A machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub id: Arc<str>,
    /// The shard that it belongs to.
    pub shard: u32,
    /// The segment of the shard in whose record it is, or will be; none yet.
    pub segment: Option<u32>,
    /// The group whose record has it; none once it was released.
    pub group: Option<Arc<str>>,
    /// What it has; nothing while its type is unknown.
    pub capacity: Resources,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Where its worker listens.
    pub address: Option<String>,
    /// When this process learned of it, or last became holder.
    pub known_since: Instant,
    /// When its worker was last heard.
    pub last_heartbeat: Option<Instant>,
    /// Since when its reports show that it has not taken the present token.
    pub unsynced_since: Option<Instant>,
    /// The worker's session.
    pub session: u64,
    /// Number of its newest message.
    pub sequence: u64,
    /// The highest token that it says to have seen.
    pub seen_token: u64,
    /// Raised when an outcome is unknown, and when all that was known of the
    /// worker is forgotten: what was sent before is void then, also if the same
    /// process goes on under the same epoch.
    pub token_counter: u64,
    /// The counter when that was last forgotten: outcomes of commands under a
    /// lower one say nothing any more.
    counter_at_reset: u64,
    /// When the cloud takes it away.
    pub reclaim_at: Option<Instant>,
    /// Tasks in its newest message.
    pub reported: BTreeMap<TaskId, TaskStatus>,
    /// Tasks booked on it.
    pub tasks: BTreeSet<TaskId>,
    /// What they take.
    pub booked: Resources,
    /// Images that it has or fetches; `true` once a task ran with it.
    images: BTreeMap<String, bool>,
    /// Whether direct commands are on their way.
    pub command_in_flight: bool,
    /// No direct commands before.
    pub commands_paused_until: Option<Instant>,
    /// Whether a probe is on its way, and how many in a row failed.
    pub probe_in_flight: bool,
    /// Probes in a row without an answer.
    pub missed_probes: u32,
    /// What is to become of it.
    pub phase: MachinePhase,
    /// Whether its record says that its holder has given it up.
    pub given_up: bool,
    /// Whether a release is on its way.
    pub release_in_flight: bool,
    /// Jobs that failed on it without failing elsewhere.
    pub failed_jobs: BTreeSet<Arc<str>>,
    /// Since when nothing is booked on it.
    pub idle_since: Option<Instant>,
}

impl Machine {
    /// A machine that has not been heard.
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
            token_counter: 0,
            counter_at_reset: 0,
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

    /// The fencing token under which it is commanded in an epoch.
    pub fn token(&self, epoch: u64) -> u64 {
        (epoch << COUNTER_BITS) | self.token_counter.min((1 << COUNTER_BITS) - 1)
    }

    /// Whether its newest message came under the current token, so that what it
    /// says of tasks is proof.
    pub fn is_synced(&self, epoch: u64) -> bool {
        self.session > 0 && self.seen_token == self.token(epoch)
    }

    /// Makes every command sent so far void, once the worker has seen the new
    /// token.
    pub fn raise_token(&mut self) {
        self.token_counter += 1;
    }

    /// Whether a token was chosen since this process last forgot what it knew of
    /// the worker.
    pub fn is_token_since_reset(&self, token: u64, epoch: u64) -> bool {
        token >= (epoch << COUNTER_BITS) | self.counter_at_reset && token <= self.token(epoch)
    }

    /// Notes that it fetches an image, or (`there`) has it.
    pub fn record_image(&mut self, image: String, there: bool) {
        *self.images.entry(image).or_insert(there) |= there;
    }

    /// Whether it has an image; `None` if nothing is known of that.
    pub fn has_image(&self, image: &str) -> Option<bool> {
        self.images.get(image).copied()
    }

    /// What is left on it.
    pub fn free_resources(&self) -> Resources {
        self.capacity - self.booked
    }

    /// Whether it takes tasks: its worker has accepted the present token, and
    /// is heard.
    pub fn accepts_tasks(&self, epoch: u64, silence: Duration, now: Instant) -> bool {
        self.last_heartbeat.is_some_and(|at| now.saturating_duration_since(at) <= silence)
            && self.is_synced(epoch)
            && self.phase == MachinePhase::Active
            && !self.given_up
            && !self.release_in_flight
            && self.reclaim_at.is_none()
            && self.failed_jobs.len() < 2
    }

    /// Whether it takes tasks as far as anyone but its holder knows: it has come
    /// up, and has not been given up.
    pub fn likely_accepts_tasks(&self) -> bool {
        self.group.is_some() && self.address.is_some() && !self.given_up && self.capacity.cpus > 0
    }

    /// Forgets what an earlier holder knew: sessions, tokens and lists are
    /// believed only when told to this holder.
    pub fn forget_worker_state(&mut self, now: Instant) {
        self.known_since = now;
        self.last_heartbeat = None;
        self.unsynced_since = None;
        self.session = 0;
        self.sequence = 0;
        self.seen_token = 0;
        self.raise_token();
        self.counter_at_reset = self.token_counter;
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
