//! What the state service holds. Nothing else survives a process.
//!
//! This is the second layout. That of the first version is in [`crate::legacy`],
//! which alone knows how it was written; all other code knows only these types.

use crate::ranges::Ranges;
use dapplecroft_admission::CreditTag;
use dapplecroft_federation::{AwayRecord, Origin};
use dapplecroft_wire::users::JobSpec;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

mod group;
mod segment;

pub use group::{GroupRecord, MachineRecord};
pub use segment::{SegmentRecord, TaskSpan};

/// The newest layout that this program reads and writes.
pub const NEWEST_LAYOUT: u32 = 2;
/// Prefix of all keys, so that one watch sees every change.
pub const KEY_PREFIX: &str = "dc/";
/// The leader's key; its version is the leader's term.
pub const LEADER_KEY: &str = "dc/leader";
/// The layout that is in force, once every member can read it.
pub const LAYOUT_KEY: &str = "dc/format";
/// The machine types, as the first version wrote them.
pub const CATALOG_KEY: &str = "dc/catalog";

/// The policy of admission control.
pub const ADMISSION_POLICY_KEY: &str = "dc/a/p";
/// Credit that is kept for single jobs.
pub const RESERVATIONS_KEY: &str = "dc/a/s";

/// The key of a controller's epoch in admission control.
pub fn admission_epoch_key(host: &str) -> String {
    format!("dc/a/e/{host}")
}

/// The key of a page of grants.
pub fn grants_key(page: u32) -> String {
    format!("dc/a/g/{page}")
}

/// A part of the machine types.
pub fn catalog_key(part: u32) -> String {
    format!("dc/c/{part}")
}

/// A shard's key.
pub fn shard_key(shard: u32) -> String {
    format!("dc/b/{shard}")
}

/// The key of the drain under way in a shard.
pub fn drain_key(shard: u32) -> String {
    format!("dc/d/{shard}")
}

/// A job's key.
pub fn job_key(id: &str) -> String {
    format!("dc/j/{id}")
}

/// The key of tasks that a job had completed when its record was moved over.
pub fn completed_tasks_key(id: &str, part: u32) -> String {
    format!("dc/f/{id}/{part}")
}

/// The key of a group of machines.
pub fn group_key(name: &str) -> String {
    format!("dc/m/{name}")
}

/// A controller's liveness key.
pub fn liveness_key(host: &str) -> String {
    format!("dc/n/{host}")
}

/// The key of the layout that a controller was once seen to know.
pub fn known_layout_key(host: &str) -> String {
    format!("dc/v/{host}")
}

/// The key of a transfer from another cell that was refused or given back.
pub fn refusal_key(cell: &str, incarnation: u64, job: &str) -> String {
    format!("dc/x/r/{cell}/{incarnation}/{job}")
}

/// The key of what another cell has finished of its transfers to this one.
pub fn watermark_key(cell: &str) -> String {
    format!("dc/x/w/{cell}")
}

/// A segment of what runs in a shard: a bounded record of some of its machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId {
    /// The shard.
    pub shard: u32,
    /// The segment; none: the whole shard's record, as the first version has it.
    pub segment: Option<u32>,
}

impl SegmentId {
    /// A segment of a shard.
    pub fn new(shard: u32, segment: u32) -> SegmentId {
        SegmentId { shard, segment: Some(segment) }
    }

    /// A shard's one record of the first layout.
    pub fn whole(shard: u32) -> SegmentId {
        SegmentId { shard, segment: None }
    }

    /// The key.
    pub fn key(&self) -> String {
        match self.segment {
            Some(segment) => format!("dc/q/{}/{segment}", self.shard),
            None => format!("dc/p/{}", self.shard),
        }
    }
}

/// A key, taken apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key<'a> {
    /// The leader.
    Leader,
    /// The layout in force.
    LayoutInForce,
    /// The machine types, all or (a number) a part.
    Catalog(Option<u32>),
    /// The drain in a shard.
    Drain(u32),
    /// A shard.
    Shard(u32),
    /// A job.
    Job(&'a str),
    /// Completed tasks of a job that was moved over.
    CompletedTasks(&'a str, u32),
    /// What runs in a shard, or a segment of it.
    Segment(SegmentId),
    /// A group of machines.
    MachineGroup(&'a str),
    /// A controller.
    Liveness(&'a str),
    /// The layout that a controller was once seen to know.
    KnownLayout(&'a str),
    /// A refused transfer: the other cell, its incarnation, and the job.
    Refusal(&'a str, u64, &'a str),
    /// What another cell has finished of its transfers.
    Watermark(&'a str),
    /// The policy of admission control.
    AdmissionPolicy,
    /// A controller's epoch in admission control.
    AdmissionEpoch(&'a str),
    /// A page of grants.
    Grants(u32),
    /// Credit that is kept for single jobs.
    Reservations,
}

impl<'a> Key<'a> {
    /// Takes a key apart; `None` for keys of other versions of the program.
    pub fn parse(key: &'a str) -> Option<Key<'a>> {
        Some(match key.strip_prefix(KEY_PREFIX)? {
            "leader" => Key::Leader,
            "catalog" => Key::Catalog(None),
            "format" => Key::LayoutInForce,
            rest => match rest.split_once('/')? {
                ("a", rest) => Key::parse_admission(rest)?,
                ("j", id) => Key::Job(id),
                ("m", name) => Key::MachineGroup(name),
                ("b", shard) => Key::Shard(shard.parse().ok()?),
                ("c", part) => Key::Catalog(Some(part.parse().ok()?)),
                ("d", shard) => Key::Drain(shard.parse().ok()?),
                ("f", rest) => {
                    let (id, part) = rest.split_once('/')?;
                    Key::CompletedTasks(id, part.parse().ok()?)
                }
                ("n", host) => Key::Liveness(host),
                ("p", shard) => Key::Segment(SegmentId::whole(shard.parse().ok()?)),
                ("q", rest) => {
                    let (shard, segment) = rest.split_once('/')?;
                    Key::Segment(SegmentId::new(shard.parse().ok()?, segment.parse().ok()?))
                }
                ("v", host) => Key::KnownLayout(host),
                ("x", rest) => Key::parse_transfer(rest)?,
                _ => return None,
            },
        })
    }

    fn parse_admission(rest: &'a str) -> Option<Key<'a>> {
        match (rest, rest.split_once('/')) {
            ("p", _) => Some(Key::AdmissionPolicy),
            ("s", _) => Some(Key::Reservations),
            (_, Some(("e", host))) => Some(Key::AdmissionEpoch(host)),
            (_, Some(("g", page))) => Some(Key::Grants(page.parse().ok()?)),
            _ => None,
        }
    }

    fn parse_transfer(rest: &'a str) -> Option<Key<'a>> {
        let (kind, rest) = rest.split_once('/')?;
        match kind {
            "w" => Some(Key::Watermark(rest)),
            "r" => {
                let (cell, rest) = rest.split_once('/')?;
                let (incarnation, job) = rest.split_once('/')?;
                Some(Key::Refusal(cell, incarnation.parse().ok()?, job))
            }
            _ => None,
        }
    }
}

/// How many bytes a value takes in the state service at most, however it writes
/// what is not ASCII.
pub fn stored_size(value: &Value) -> usize {
    value.to_string().chars().map(|c| if c.is_ascii() { 1 } else { 6 * c.len_utf16() }).sum()
}

/// Where a job stands. A version that knows nothing of other cells can read neither
/// `Away` nor `Hosted`: it leaves such records as they are, and acts on none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStage {
    /// Accepted and not over.
    Open,
    /// All tasks completed.
    Done,
    /// Cancelled by its user.
    #[serde(rename = "withdrawn")]
    Cancelled,
    /// Offered to another cell, which may have it: nothing of it starts here.
    Away,
    /// Accepted for another cell, which answers for it to its user.
    #[serde(rename = "visiting")]
    Hosted,
}

/// A job. Once it is over and none of its tasks is left on a machine, the
/// specification is dropped and the rest is kept for ever.
///
/// The names of its fields are none of the first version's: a late process of
/// that version could not read a service as something that it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Where it stands.
    #[serde(rename = "s")]
    pub stage: JobStage,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Tasks that the leader has allocated to each shard. Only the holder of
    /// that shard places them. Completed tasks between them may be named too.
    #[serde(rename = "to", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub allocated: BTreeMap<u32, Ranges>,
    /// Completed tasks that a record of the first layout named; in this one
    /// they have records of their own ([`Key::CompletedTasks`]).
    #[serde(skip)]
    pub legacy_done: Ranges,
    /// Completed tasks, once the job is over.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Seconds since 1970 at its submission, by the accepting node's clock.
    #[serde(rename = "at", default)]
    pub submitted_at: f64,
    /// The specification.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// The transfer under way, while it is away.
    #[serde(rename = "aw", default, skip_serializing_if = "Option::is_none")]
    pub away: Option<AwayRecord>,
    /// Where it comes from, if another cell answers for it.
    #[serde(rename = "or", default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
    /// What it was charged by admission control, and to which grant; kept for ever.
    #[serde(rename = "cr", default, skip_serializing_if = "Option::is_none")]
    pub credit: Option<CreditTag>,
}

impl JobRecord {
    /// The compact form of a job that is over.
    pub fn compact(&self, stage: JobStage, done: u32) -> JobRecord {
        JobRecord {
            stage,
            tasks: self.tasks,
            allocated: BTreeMap::new(),
            legacy_done: Ranges::default(),
            done: Some(done),
            submitted_at: self.submitted_at,
            spec: None,
            away: None,
            origin: self.origin.clone(),
            credit: self.credit.clone(),
        }
    }
}

/// Some completed tasks of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedTasksRecord {
    /// Which.
    #[serde(rename = "d")]
    pub done: Ranges,
}

/// The leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Its name.
    pub host: String,
    /// The identity of its process.
    pub identity: String,
}

/// A live controller process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessRecord {
    /// The identity of the process; a restart is another process.
    pub identity: String,
    /// The lease on which its keys hang.
    pub lease: u64,
    /// The newest layout that it knows; the first version does not say.
    #[serde(default = "first_layout")]
    pub layout: u32,
    /// Whether it takes part in admission control.
    #[serde(default, skip_serializing_if = "is_false")]
    pub admission: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

fn first_layout() -> u32 {
    1
}

/// The layout in force, or known to a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayoutRecord {
    /// Its number.
    pub layout: u32,
}

/// A shard of machines, leased by the leader to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The holder's name.
    pub host: String,
    /// The identity of the holder's process.
    pub identity: String,
    /// Grows with every lease; the high part of the fencing tokens.
    pub epoch: u64,
}

/// The drain under way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// The machine that is emptied.
    pub machine: String,
    /// The job whose waiting task takes it.
    pub for_job: String,
    /// What moves where.
    pub moves: Vec<DrainMove>,
}

/// A task that a drain moves; stored as a list of its fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredDrainMove", into = "StoredDrainMove")]
pub struct DrainMove {
    /// The job.
    pub job: String,
    /// The task's index within it.
    pub index: u32,
    /// The attempt that is stopped.
    pub attempt: u64,
    /// The machine that it goes to.
    pub destination: String,
}

type StoredDrainMove = (String, u32, u64, String);

impl From<StoredDrainMove> for DrainMove {
    fn from((job, index, attempt, to): StoredDrainMove) -> Self {
        DrainMove { job, index, attempt, destination: to }
    }
}

impl From<DrainMove> for StoredDrainMove {
    fn from(stored: DrainMove) -> Self {
        (stored.job, stored.index, stored.attempt, stored.destination)
    }
}

#[cfg(test)]
mod tests;
