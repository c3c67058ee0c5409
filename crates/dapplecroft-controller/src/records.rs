//! Keys and records in the state service, which is the only storage that
//! survives the restart of a controller.
//!
//! The types here are those of the second layout. [`crate::legacy`] converts
//! the records of the first layout from and to these types, so that no other
//! code needs to know how the first layout is encoded.

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

/// Number of the newest record layout that this program can read and write.
pub const NEWEST_LAYOUT: u32 = 2;
/// Prefix of all keys, so that a single watch reports every change.
pub const KEY_PREFIX: &str = "dc/";
/// Key of the leader's record. The version of the record is the leader's term.
pub const LEADER_KEY: &str = "dc/leader";
/// Key of the layout in force; written once every member can read that layout.
pub const LAYOUT_KEY: &str = "dc/format";
/// Key under which the first version of the program stored all machine types.
pub const CATALOG_KEY: &str = "dc/catalog";

/// Key of the policy of admission control.
pub const ADMISSION_POLICY_KEY: &str = "dc/a/p";
/// Key of the admission credit that is reserved for single jobs.
pub const RESERVATIONS_KEY: &str = "dc/a/s";

/// Key of a controller's epoch in admission control.
pub fn admission_epoch_key(host: &str) -> String {
    format!("dc/a/e/{host}")
}

/// Key of a page of admission grants.
pub fn grants_key(page: u32) -> String {
    format!("dc/a/g/{page}")
}

/// Key of one page of the catalog of machine types.
pub fn catalog_key(part: u32) -> String {
    format!("dc/c/{part}")
}

/// Key of a shard's lease record.
pub fn shard_key(shard: u32) -> String {
    format!("dc/b/{shard}")
}

/// Key of the drain in progress in a shard.
pub fn drain_key(shard: u32) -> String {
    format!("dc/d/{shard}")
}

/// Key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("dc/j/{id}")
}

/// Key of one part of the tasks that a job had completed when its record was
/// migrated to the second layout.
pub fn completed_tasks_key(id: &str, part: u32) -> String {
    format!("dc/f/{id}/{part}")
}

/// Key of the record of a group of machines.
pub fn group_key(name: &str) -> String {
    format!("dc/m/{name}")
}

/// Key of the record that exists while a controller is alive.
pub fn liveness_key(host: &str) -> String {
    format!("dc/n/{host}")
}

/// Key of the newest layout that a controller has been seen to support.
pub fn known_layout_key(host: &str) -> String {
    format!("dc/v/{host}")
}

/// Key of a transfer from another cell that this cell refused or returned.
pub fn refusal_key(cell: &str, incarnation: u64, job: &str) -> String {
    format!("dc/x/r/{cell}/{incarnation}/{job}")
}

/// Key of the watermark up to which another cell has finished its transfers to
/// this cell.
pub fn watermark_key(cell: &str) -> String {
    format!("dc/x/w/{cell}")
}

/// Identifies a segment: a record of bounded size with the task placements on
/// some of a shard's machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId {
    /// Number of the shard.
    pub shard: u32,
    /// Number of the segment within the shard. `None` stands for the single record
    /// that holds the whole shard in the first layout.
    pub segment: Option<u32>,
}

impl SegmentId {
    /// Identifies a numbered segment of a shard.
    pub fn new(shard: u32, segment: u32) -> SegmentId {
        SegmentId { shard, segment: Some(segment) }
    }

    /// Identifies a shard's single record in the first layout.
    pub fn whole(shard: u32) -> SegmentId {
        SegmentId { shard, segment: None }
    }

    /// Key of the segment's record.
    pub fn key(&self) -> String {
        match self.segment {
            Some(segment) => format!("dc/q/{}/{segment}", self.shard),
            None => format!("dc/p/{}", self.shard),
        }
    }
}

/// A parsed key of the state service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key<'a> {
    /// The leader's record.
    Leader,
    /// The record of the layout in force.
    LayoutInForce,
    /// The machine types: a numbered part of them, or (`None`) all of them in the
    /// first layout.
    Catalog(Option<u32>),
    /// The drain in progress in the shard of this number.
    Drain(u32),
    /// The lease record of the shard of this number.
    Shard(u32),
    /// The record of the job with this id.
    Job(&'a str),
    /// Completed tasks of a job whose record was migrated to the second layout: the
    /// job's id and the number of the part.
    CompletedTasks(&'a str, u32),
    /// Task placements in a segment of a shard or, in the first layout, in a whole shard.
    Segment(SegmentId),
    /// The group of machines with this name.
    MachineGroup(&'a str),
    /// The liveness record of the controller with this host name.
    Liveness(&'a str),
    /// The newest layout that the controller with this host name has been seen to
    /// support.
    KnownLayout(&'a str),
    /// A refused or returned transfer: the other cell, its incarnation, and the job.
    Refusal(&'a str, u64, &'a str),
    /// The watermark up to which the named cell has finished its transfers to this
    /// cell.
    Watermark(&'a str),
    /// The policy of admission control.
    AdmissionPolicy,
    /// The epoch in admission control of the controller with this host name.
    AdmissionEpoch(&'a str),
    /// The page of admission grants of this number.
    Grants(u32),
    /// Admission credit that is reserved for single jobs.
    Reservations,
}

impl<'a> Key<'a> {
    /// Parses a key. Returns `None` for keys that this version of the program does
    /// not know.
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

/// Upper bound of the bytes that a value takes in the state service, however the
/// service escapes characters outside ASCII.
pub fn stored_size(value: &Value) -> usize {
    value.to_string().chars().map(|c| if c.is_ascii() { 1 } else { 6 * c.len_utf16() }).sum()
}

/// Stage of a job's life. Versions of the program without federation can read
/// neither `Away` nor `Hosted`: they leave such records unchanged and ignore the jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStage {
    /// Accepted, and neither completed nor cancelled.
    Open,
    /// All tasks completed.
    Done,
    /// Cancelled by its user.
    #[serde(rename = "withdrawn")]
    Cancelled,
    /// Offered to another cell, which may have accepted the job: no task of the job
    /// starts in this cell.
    Away,
    /// Accepted on behalf of another cell, the home cell, which answers the user's
    /// requests about the job.
    #[serde(rename = "visiting")]
    Hosted,
}

/// Record of a job. Once the job has completed or been cancelled and none of its
/// tasks is left on a machine, the specification is dropped and the rest is kept
/// forever.
///
/// Its stored field names differ from the names that the first layout requires. A
/// process of the first version that still runs therefore rejects the record,
/// instead of misreading a service as a kind of job that it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Stage of the job.
    #[serde(rename = "s")]
    pub stage: JobStage,
    /// Number of tasks of the job.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Tasks that the leader has allocated to each shard; only the shard's holder
    /// places them. The ranges may include completed tasks between the others.
    #[serde(rename = "to", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub allocated: BTreeMap<u32, Ranges>,
    /// Completed tasks that were listed in a job record of the first layout. The
    /// second layout keeps them in separate records ([`Key::CompletedTasks`]).
    #[serde(skip)]
    pub legacy_done: Ranges,
    /// Number of completed tasks, once the job has completed or been cancelled.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Time of submission in seconds since 1970, by the clock of the accepting
    /// controller.
    #[serde(rename = "at", default)]
    pub submitted_at: f64,
    /// The job's specification, as submitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// State of the transfer to another cell, while the job is `Away`.
    #[serde(rename = "aw", default, skip_serializing_if = "Option::is_none")]
    pub away: Option<AwayRecord>,
    /// Where the job comes from, if another cell is its home cell.
    #[serde(rename = "or", default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
    /// Credit that admission control charged for the job, and the grant that was charged; kept
    /// forever.
    #[serde(rename = "cr", default, skip_serializing_if = "Option::is_none")]
    pub credit: Option<CreditTag>,
}

impl JobRecord {
    /// Returns the compact record of a job that has completed or been cancelled.
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

/// One part of the completed tasks of a job, see [`Key::CompletedTasks`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedTasksRecord {
    /// Indices of the completed tasks.
    #[serde(rename = "d")]
    pub done: Ranges,
}

/// Record of the current leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Host name of the leader.
    pub host: String,
    /// Identity of the leader's process.
    pub identity: String,
}

/// Record of a live controller process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessRecord {
    /// Identity of the process; a restarted controller gets a new one.
    pub identity: String,
    /// Lease in the state service that the controller's keys are attached to.
    pub lease: u64,
    /// Newest layout that the controller supports. The first version does not write
    /// this field.
    #[serde(default = "first_layout")]
    pub layout: u32,
    /// Whether the controller takes part in admission control.
    #[serde(default, skip_serializing_if = "is_false")]
    pub admission: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

fn first_layout() -> u32 {
    1
}

/// Record of a layout number: that of the layout in force, or of the newest layout
/// that a controller supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayoutRecord {
    /// Number of the layout.
    pub layout: u32,
}

/// Lease of a shard of machines, which the leader grants to a controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Host name of the shard's holder.
    pub host: String,
    /// Identity of the holder's process.
    pub identity: String,
    /// Epoch of the lease, which grows with every new lease of the shard. It forms
    /// the high bits of the fencing tokens.
    pub epoch: u64,
}

/// A drain in progress: tasks move off a machine to make room for a waiting task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// Machine that is emptied.
    pub machine: String,
    /// Job whose waiting task will use the emptied machine.
    pub for_job: String,
    /// Tasks to move, with the machines that they move to.
    pub moves: Vec<DrainMove>,
}

/// A task that a drain moves. Stored as a JSON array of its fields, in this order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredDrainMove", into = "StoredDrainMove")]
pub struct DrainMove {
    /// Job of the task.
    pub job: String,
    /// Index of the task within its job.
    pub index: u32,
    /// Attempt of the task that is stopped.
    pub attempt: u64,
    /// Machine that the task moves to.
    pub destination: String,
}

type StoredDrainMove = (String, u32, u64, String);

impl From<StoredDrainMove> for DrainMove {
    fn from((job, index, attempt, to): StoredDrainMove) -> Self {
        DrainMove { job, index, attempt, destination: to }
    }
}

impl From<DrainMove> for StoredDrainMove {
    fn from(task_move: DrainMove) -> Self {
        (task_move.job, task_move.index, task_move.attempt, task_move.destination)
    }
}

#[cfg(test)]
mod tests;
