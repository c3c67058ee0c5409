//! What the state service holds. Nothing else survives a process.

use crate::ranges::Ranges;
use dapplecroft_wire::users::JobSpec;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;

/// Prefix of all keys, so that one watch sees every change.
pub const PREFIX: &str = "dc/";
/// The leader's key; its version is the leader's term.
pub const LEADER: &str = "dc/leader";
/// The machine types.
pub const CATALOG: &str = "dc/catalog";

/// A block's key.
pub fn block_key(block: u32) -> String {
    format!("dc/b/{block}")
}

/// The key of the drain under way in a block.
pub fn drain_key(block: u32) -> String {
    format!("dc/d/{block}")
}

/// A job's key.
pub fn job_key(id: &str) -> String {
    format!("dc/j/{id}")
}

/// The key of what runs in a block.
pub fn load_key(block: u32) -> String {
    format!("dc/p/{block}")
}

/// The key of a group of machines.
pub fn group_key(name: &str) -> String {
    format!("dc/m/{name}")
}

/// A controller's liveness key.
pub fn live_key(host: &str) -> String {
    format!("dc/n/{host}")
}

/// A key, taken apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key<'a> {
    /// The leader.
    Leader,
    /// The machine types.
    Catalog,
    /// The drain in a block.
    Drain(u32),
    /// A block.
    Block(u32),
    /// A job.
    Job(&'a str),
    /// What runs in a block.
    Load(u32),
    /// A group of machines.
    Group(&'a str),
    /// A controller.
    Live(&'a str),
}

impl<'a> Key<'a> {
    /// Takes a key apart; `None` for keys of other versions of the program.
    pub fn parse(key: &'a str) -> Option<Key<'a>> {
        Some(match key.strip_prefix(PREFIX)? {
            "leader" => Key::Leader,
            "catalog" => Key::Catalog,
            rest => match rest.split_once('/')? {
                ("j", id) => Key::Job(id),
                ("m", name) => Key::Group(name),
                ("b", block) => Key::Block(block.parse().ok()?),
                ("d", block) => Key::Drain(block.parse().ok()?),
                ("n", host) => Key::Live(host),
                ("p", block) => Key::Load(block.parse().ok()?),
                _ => return None,
            },
        })
    }
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStage {
    /// Accepted and not over.
    Open,
    /// All tasks completed.
    Done,
    /// Cancelled by its user.
    Withdrawn,
}

/// A job. Once it is over and none of its tasks is left on a machine, the
/// specification is dropped and the rest is kept for ever.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Where it stands.
    pub stage: JobStage,
    /// Number of tasks.
    pub tasks: u32,
    /// Tasks that the leader has admitted to each block. Only the holder of
    /// that block places them.
    #[serde(rename = "to", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub admitted: BTreeMap<u32, Ranges>,
    /// Completed tasks, as far as the leader has noted them here.
    #[serde(default, skip_serializing_if = "Ranges::is_empty")]
    pub folded: Ranges,
    /// Completed tasks, once the job is over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Seconds since 1970 at its submission, by the accepting node's clock.
    #[serde(default)]
    pub at: f64,
    /// The specification.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
}

/// What runs in a block; written by its holder alone. One record for all jobs,
/// so that what its holder writes follows the machines and the time between two
/// writes, and not the number of jobs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadRecord {
    /// Names of jobs, to which spans refer by position.
    #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
    pub jobs: Vec<String>,
    /// Tasks on each machine.
    #[serde(rename = "m", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub machines: BTreeMap<String, Vec<Span>>,
    /// Completed tasks of jobs that are not over, unless their records have them.
    #[serde(rename = "d", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub done: BTreeMap<String, Ranges>,
    /// Last attempts of tasks that are neither done nor on a machine.
    #[serde(rename = "t", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tries: BTreeMap<String, BTreeMap<u32, u64>>,
}

/// Neighbouring tasks of a job on a machine. A list of numbers in the record,
/// the shorter the more of them have their usual values, since a value has a
/// limit and a block may have a thousand tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// The job's position among the record's names.
    pub job: u32,
    /// The first task.
    pub first: u32,
    /// The last task; usually the first.
    pub last: u32,
    /// Their attempt; usually 1.
    pub attempt: u64,
    /// The worker's session that they were placed in; usually 1.
    pub session: u64,
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let all =
            [u64::from(self.job), u64::from(self.first), u64::from(self.last), self.attempt, self.session];
        let length = match (self.last == self.first, self.attempt, self.session) {
            (_, _, session) if session != 1 => 5,
            (_, attempt, _) if attempt != 1 => 4,
            (false, _, _) => 3,
            _ => 2,
        };
        serializer.collect_seq(&all[..length])
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let all = Vec::<u64>::deserialize(deserializer)?;
        let small = |n: u64| u32::try_from(n).map_err(|_| D::Error::custom("a position beyond all"));
        let (Some(job), Some(first)) = (all.first(), all.get(1)) else {
            return Err(D::Error::custom("neither job nor task"));
        };
        Ok(Span {
            job: small(*job)?,
            first: small(*first)?,
            last: small(*all.get(2).unwrap_or(first))?,
            attempt: all.get(3).copied().unwrap_or(1),
            session: all.get(4).copied().unwrap_or(1),
        })
    }
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
pub struct LiveRecord {
    /// The identity of the process; a restart is another process.
    pub identity: String,
    /// The lease on which its keys hang.
    pub lease: u64,
}

/// A block of machines, leased by the leader to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockRecord {
    /// The holder's name.
    pub host: String,
    /// The identity of the holder's process.
    pub identity: String,
    /// Grows with every lease; the high part of the fencing tokens.
    pub epoch: u64,
}

/// Machines that were rented together, or taken in together. They are one
/// record, since a record each would use up the state service's writes. A
/// machine leaves it only once its release was answered: that is the proof, for
/// every controller, that nothing runs there any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The block that the machines belong to, for good.
    pub block: u32,
    /// Their type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Their zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// The machines by name.
    pub machines: BTreeMap<String, MemberRecord>,
}

/// A machine of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where its worker listens, once it has reported.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
    /// Whether the block's holder has given it up: the leader releases it.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub given_up: bool,
}

/// The drain under way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// The machine that is emptied.
    pub machine: String,
    /// The job whose waiting task takes it.
    pub for_job: String,
    /// What moves where: job, task, attempt and the machine that it goes to.
    pub moves: Vec<(String, u32, u64, String)>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_are_as_short_as_they_can_be_and_read_back_the_same() {
        for (text, first, last, attempt, session) in [
            ("[3,7]", 7, 7, 1, 1),
            ("[3,7,9]", 7, 9, 1, 1),
            ("[3,7,7,2]", 7, 7, 2, 1),
            ("[3,7,9,1,4]", 7, 9, 1, 4),
        ] {
            let span = Span { job: 3, first, last, attempt, session };
            assert_eq!(serde_json::to_string(&span).unwrap(), text);
            assert_eq!(serde_json::from_str::<Span>(text).unwrap(), span);
        }
        assert!(serde_json::from_str::<Span>("[3]").is_err());
        assert!(serde_json::from_str::<Span>("[3,4294967296]").is_err());
    }

    #[test]
    fn keys_are_taken_apart() {
        assert_eq!(Key::parse(&load_key(3)), Some(Key::Load(3)));
        assert_eq!(Key::parse(&job_key("run-1")), Some(Key::Job("run-1")));
        assert_eq!(Key::parse(&block_key(12)), Some(Key::Block(12)));
        assert_eq!(Key::parse(&drain_key(12)), Some(Key::Drain(12)));
        assert_eq!(Key::parse(&group_key("dc-7-1")), Some(Key::Group("dc-7-1")));
        assert_eq!(Key::parse("dc/x/1"), None);
        assert_eq!(Key::parse("dc/b/x"), None);
    }
}
