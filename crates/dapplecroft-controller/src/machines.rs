//! Machines as their workers report them.

use crate::jobs::TaskId;
use dapplecroft_sched::Amounts;
use dapplecroft_wire::workers::TaskReport;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Bits of a fencing token below the block's epoch. A holder raises them for
/// one worker without a write to the state service.
const COUNTER_BITS: u32 = 20;

/// What is to become of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It takes work.
    Keep,
    /// It takes no more work, and is returned once it is empty.
    Returning,
    /// It is released whatever is on it.
    Lost,
}

/// A machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub id: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Where its worker listens.
    pub address: Option<String>,
    /// Version of its record, and whether the record has the address.
    pub recorded: Option<(u64, bool)>,
    /// Whether a write of its record is on its way.
    pub recording: bool,
    /// When this process learned of it, or last became holder.
    pub since: Instant,
    /// When its worker was last heard.
    pub heard: Option<Instant>,
    /// The worker's session.
    pub session: u64,
    /// Number of its newest message.
    pub sequence: u64,
    /// The highest token that it says to have seen.
    pub seen_token: u64,
    /// Raised when an outcome is unknown.
    pub counter: u64,
    /// When the cloud takes it away.
    pub taken_at: Option<Instant>,
    /// Tasks in its newest message.
    pub reported: BTreeMap<TaskId, TaskReport>,
    /// Tasks booked on it.
    pub tasks: BTreeSet<TaskId>,
    /// What they take.
    pub booked: Amounts,
    /// Images that it has or fetches; `true` once a task ran with it.
    pub images: BTreeMap<String, bool>,
    /// Whether direct commands are on their way.
    pub commanding: bool,
    /// No direct commands before.
    pub command_after: Option<Instant>,
    /// Whether a probe is on its way, and how many in a row failed.
    pub probing: bool,
    /// Probes in a row without an answer.
    pub missed_probes: u32,
    /// What is to become of it.
    pub fate: Fate,
    /// Whether a release is on its way.
    pub releasing: bool,
    /// Jobs that failed on it without failing elsewhere.
    pub failed_jobs: BTreeSet<std::sync::Arc<str>>,
    /// Since when nothing is booked on it.
    pub idle_since: Option<Instant>,
}

impl Machine {
    /// A machine that has not been heard.
    pub fn new(id: &str, machine_type: &str, zone: &str, spot: bool, now: Instant) -> Self {
        Machine {
            id: id.to_string(),
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
            address: None,
            recorded: None,
            recording: false,
            since: now,
            heard: None,
            session: 0,
            sequence: 0,
            seen_token: 0,
            counter: 0,
            taken_at: None,
            reported: BTreeMap::new(),
            tasks: BTreeSet::new(),
            booked: Amounts::default(),
            images: BTreeMap::new(),
            commanding: false,
            command_after: None,
            probing: false,
            missed_probes: 0,
            fate: Fate::Keep,
            releasing: false,
            failed_jobs: BTreeSet::new(),
            idle_since: Some(now),
        }
    }

    /// The fencing token under which it is commanded in an epoch.
    pub fn token(&self, epoch: u64) -> u64 {
        (epoch << COUNTER_BITS) | self.counter.min((1 << COUNTER_BITS) - 1)
    }

    /// Whether its newest message came under the current token, so that what it
    /// says of tasks is proof.
    pub fn synced(&self, epoch: u64) -> bool {
        self.session > 0 && self.seen_token == self.token(epoch)
    }

    /// Makes every command sent so far void, once the worker has seen the new
    /// token.
    pub fn raise_token(&mut self) {
        self.counter += 1;
    }

    /// Forgets what an earlier holder knew: sessions, tokens and lists are
    /// believed only when told to this holder.
    pub fn reset(&mut self, now: Instant) {
        self.since = now;
        self.heard = None;
        self.session = 0;
        self.sequence = 0;
        self.seen_token = 0;
        self.counter = 0;
        self.reported.clear();
        self.commanding = false;
        self.command_after = None;
        self.probing = false;
        self.missed_probes = 0;
        self.releasing = false;
        self.fate = Fate::Keep;
        self.taken_at = None;
        if self.tasks.is_empty() {
            self.idle_since = Some(now);
        }
    }
}
