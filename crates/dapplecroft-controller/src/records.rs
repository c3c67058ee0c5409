//! What the state service holds. Nothing else survives a process.

use dapplecroft_wire::users::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Prefix of all keys, so that one watch sees every change.
pub const PREFIX: &str = "dc/";
/// The leader's key; its version is the leader's term.
pub const LEADER: &str = "dc/leader";
/// The machine types.
pub const CATALOG: &str = "dc/catalog";
/// The drain under way, if any.
pub const DRAIN: &str = "dc/drain";
/// The block that all machines belong to until blocks are spread.
pub const BLOCK: &str = "dc/b/0";

/// A job's key.
pub fn job_key(id: &str) -> String {
    format!("dc/j/{id}")
}

/// The key of a chunk of a job's placements in a block.
pub fn chunk_key(block: u32, id: &str, chunk: u32) -> String {
    format!("dc/p/{block}/{id}/{chunk}")
}

/// A machine's key.
pub fn machine_key(id: &str) -> String {
    format!("dc/m/{id}")
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
    /// The drain.
    Drain,
    /// A block.
    Block,
    /// A job.
    Job(&'a str),
    /// A chunk of placements: job and number.
    Chunk(&'a str, u32),
    /// A machine.
    Machine(&'a str),
    /// A controller.
    Live(&'a str),
}

impl<'a> Key<'a> {
    /// Takes a key apart; `None` for keys of other versions of the program.
    pub fn parse(key: &'a str) -> Option<Key<'a>> {
        Some(match key.strip_prefix(PREFIX)? {
            "leader" => Key::Leader,
            "catalog" => Key::Catalog,
            "drain" => Key::Drain,
            "b/0" => Key::Block,
            rest => match rest.split_once('/')? {
                ("j", id) => Key::Job(id),
                ("m", id) => Key::Machine(id),
                ("n", host) => Key::Live(host),
                ("p", rest) => {
                    let (job, chunk) = rest.strip_prefix("0/")?.rsplit_once('/')?;
                    Key::Chunk(job, chunk.parse().ok()?)
                }
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
    /// Tasks per chunk of placements.
    #[serde(default)]
    pub chunk: u32,
    /// Chunks all of whose tasks are done, as inclusive ranges.
    #[serde(default, skip_serializing_if = "Ranges::is_empty")]
    pub full: Ranges,
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

/// Placements of a chunk of a job's tasks; written by the block's holder alone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Completed tasks.
    #[serde(rename = "d", default, skip_serializing_if = "Ranges::is_empty")]
    pub done: Ranges,
    /// Tasks on machines: attempt, machine, and the worker's session.
    #[serde(rename = "a", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub at: BTreeMap<u32, (u64, String, u64)>,
    /// Last attempts of tasks that are neither done nor on a machine.
    #[serde(rename = "t", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tries: BTreeMap<u32, u64>,
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

/// A rented machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Its type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Where its worker listens, once it has reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
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

/// A set of whole numbers as sorted inclusive ranges.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many numbers are in it.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(a, b)| b - a + 1).sum()
    }

    /// Whether `n` is in it.
    pub fn contains(&self, n: u32) -> bool {
        let i = self.0.partition_point(|&(_, b)| b < n);
        self.0.get(i).is_some_and(|&(a, _)| a <= n)
    }

    /// Adds `n`.
    pub fn insert(&mut self, n: u32) {
        let i = self.0.partition_point(|&(_, b)| b < n);
        if self.0.get(i).is_some_and(|&(a, _)| a <= n) {
            return;
        }
        let joins_left = i > 0 && self.0[i - 1].1 + 1 == n;
        let joins_right = self.0.get(i).is_some_and(|&(a, _)| a == n + 1);
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[i - 1].1 = self.0[i].1;
                self.0.remove(i);
            }
            (true, false) => self.0[i - 1].1 = n,
            (false, true) => self.0[i].0 = n,
            (false, false) => self.0.insert(i, (n, n)),
        }
    }

    /// All numbers in it.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(a, b)| a..=b)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_join_and_count() {
        let mut r = Ranges::default();
        for n in [5, 1, 3, 2, 9, 3] {
            r.insert(n);
        }
        assert_eq!(r, Ranges(vec![(1, 3), (5, 5), (9, 9)]));
        r.insert(4);
        assert_eq!(r.len(), 6);
        assert_eq!(r.iter().collect::<Vec<_>>(), [1, 2, 3, 4, 5, 9]);
        assert!(r.contains(4) && !r.contains(6) && !r.contains(0));
    }

    #[test]
    fn keys_are_taken_apart() {
        assert_eq!(Key::parse(&chunk_key(0, "run-1", 7)), Some(Key::Chunk("run-1", 7)));
        assert_eq!(Key::parse(&job_key("run-1")), Some(Key::Job("run-1")));
        assert_eq!(Key::parse("dc/x/1"), None);
    }
}
