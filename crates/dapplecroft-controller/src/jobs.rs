//! Jobs as the records say, with what a block holder knows besides.

use crate::records::{ChunkRecord, JobRecord, JobStage};
use dapplecroft_sched::{Amounts, Need};
use dapplecroft_wire::users::{JobSpec, JobStatus, Rank, Stage};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A task: its job and index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: Arc<str>,
    /// Its index within the job.
    pub index: u32,
}

impl TaskId {
    /// Reads the form used on the wire, `run-000412/3`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId { job: job.into(), index: index.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Why a task is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// Its user withdrew the job.
    Withdrawn,
    /// It gives way to other work.
    Preempted,
    /// Its machine is being emptied.
    Drained,
    /// The cloud takes its machine back soon.
    Notice,
}

/// A task on a machine, or proposed for one.
#[derive(Debug, Clone, PartialEq)]
pub struct Placed {
    /// The attempt.
    pub attempt: u64,
    /// The machine.
    pub machine: String,
    /// The worker's session that it was placed in.
    pub session: u64,
    /// Whether the record is committed; nothing is commanded before.
    pub committed: bool,
    /// When this process learned of it.
    pub since: Instant,
    /// When it was first seen running.
    pub running: Option<Instant>,
    /// The highest token under which a start was sent; 0 for none.
    pub sent: u64,
    /// Whether it is to be stopped.
    pub stop: Option<Stop>,
}

/// How a task's stay on a machine ended, by proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exit {
    /// The attempt that ended.
    pub attempt: u64,
    /// Whether the task is complete.
    pub done: bool,
}

/// A job that is not over, or still has tasks on machines.
#[derive(Debug, Clone)]
pub struct OpenJob {
    /// The record.
    pub record: JobRecord,
    /// Its version.
    pub version: u64,
    /// The specification.
    pub spec: JobSpec,
    /// What each task needs.
    pub need: Need,
    /// Chunks with their versions.
    pub chunks: BTreeMap<u32, (ChunkRecord, u64)>,
    /// Tasks on machines or proposed.
    pub placed: BTreeMap<u32, Placed>,
    /// Tasks that never ran start here.
    pub fresh: u32,
    /// Tasks below `fresh` that wait.
    pub requeued: BTreeSet<u32>,
    /// Ends that are not committed yet.
    pub exits: BTreeMap<u32, Exit>,
    /// Whether a unit of this job is on its way.
    pub committing: bool,
    /// Machines on which its tasks failed since one last completed.
    pub failed_on: BTreeSet<String>,
    /// Failures since a task last completed.
    pub failures: u32,
    /// No task is placed before.
    pub not_before: Option<Instant>,
    /// When this process learned of the job.
    pub learned: Instant,
}

/// A job.
#[derive(Debug, Clone)]
pub enum Job {
    /// Over, and nothing of it is left on machines.
    Final {
        /// Done or withdrawn.
        stage: JobStage,
        /// Completed tasks.
        done: u32,
    },
    /// All others.
    Open(Box<OpenJob>),
}

impl OpenJob {
    /// A job from its record; `None` if the record holds no specification.
    pub fn new(record: JobRecord, version: u64, now: Instant) -> Option<OpenJob> {
        let spec = record.spec.clone()?;
        let need = Need {
            amounts: Amounts::new(spec.cpus, spec.gpus, spec.memory_gb),
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
            image: spec.image.clone(),
        };
        let mut job = OpenJob {
            record,
            version,
            spec,
            need,
            chunks: BTreeMap::new(),
            placed: BTreeMap::new(),
            fresh: 0,
            requeued: BTreeSet::new(),
            exits: BTreeMap::new(),
            committing: false,
            failed_on: BTreeSet::new(),
            failures: 0,
            not_before: None,
            learned: now,
        };
        job.take_full_chunks();
        Some(job)
    }

    /// Marks the tasks of full chunks as taken.
    pub fn take_full_chunks(&mut self) {
        for chunk in self.record.full.iter().collect::<Vec<_>>() {
            for index in self.indices(chunk) {
                self.take(index);
            }
        }
    }

    /// The indices that belong to a chunk.
    pub fn indices(&self, chunk: u32) -> std::ops::Range<u32> {
        let size = self.record.chunk.max(1);
        let first = chunk.saturating_mul(size).min(self.record.tasks);
        first..first.saturating_add(size).min(self.record.tasks)
    }

    /// The chunk that an index belongs to.
    pub fn chunk_of(&self, index: u32) -> u32 {
        index / self.record.chunk.max(1)
    }

    /// Takes a task out of the waiting ones.
    pub fn take(&mut self, index: u32) {
        if index >= self.fresh {
            self.requeued.extend(self.fresh..index);
            self.fresh = index + 1;
        } else {
            self.requeued.remove(&index);
        }
    }

    /// The next waiting task.
    pub fn next_waiting(&self) -> Option<u32> {
        self.requeued.first().copied().or((self.fresh < self.record.tasks).then_some(self.fresh))
    }

    /// How many tasks wait.
    pub fn waiting(&self) -> u32 {
        self.requeued.len() as u32 + (self.record.tasks - self.fresh)
    }

    /// Whether tasks may be placed.
    pub fn is_open(&self) -> bool {
        self.record.stage == JobStage::Open
    }

    /// Completed tasks.
    pub fn done(&self) -> u32 {
        let full: u32 = self.record.full.iter().map(|c| self.indices(c).len() as u32).sum();
        full + self.chunks.values().map(|(c, _)| c.done.len()).sum::<u32>()
    }

    /// The next attempt of a task.
    pub fn next_attempt(&self, index: u32) -> u64 {
        let chunk = self.chunks.get(&self.chunk_of(index));
        chunk.and_then(|(c, _)| c.tries.get(&index)).copied().unwrap_or(0) + 1
    }

    /// The number by which ranks are ordered.
    pub fn rank(&self) -> u8 {
        match self.spec.priority {
            Rank::Critical => 0,
            Rank::Urgent => 1,
            Rank::Normal => 2,
            Rank::Low => 3,
        }
    }

    /// Counts a failure and puts the job off if it fails on several machines:
    /// then it is the job rather than a machine.
    pub fn failed(&mut self, machine: &str, now: Instant) {
        self.failed_on.insert(machine.to_string());
        self.failures += 1;
        if self.failed_on.len() >= 2 {
            let pause = Duration::from_secs(1u64 << self.failures.min(6));
            self.not_before = Some(now + pause);
        }
    }

    /// The answer to its user.
    pub fn status(&self, id: &str) -> JobStatus {
        let running = self.placed.values().filter(|p| p.committed).count() as u32;
        let stage = match self.record.stage {
            JobStage::Withdrawn => Stage::Withdrawn,
            JobStage::Done => Stage::Done,
            JobStage::Open if running > 0 => Stage::Running,
            JobStage::Open => Stage::Queued,
        };
        JobStatus { id: id.to_string(), stage, done: Some(self.done()), running: Some(running) }
    }
}

impl Job {
    /// The answer to its user.
    pub fn status(&self, id: &str) -> JobStatus {
        match self {
            Job::Open(job) => job.status(id),
            Job::Final { stage, done } => JobStatus {
                id: id.to_string(),
                stage: if *stage == JobStage::Done { Stage::Done } else { Stage::Withdrawn },
                done: Some(*done),
                running: Some(0),
            },
        }
    }
}
