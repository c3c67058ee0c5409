//! Jobs as the records say, with what a shard holder knows besides.

use crate::ranges::Ranges;
use crate::records::{JobRecord, JobStage, SegmentId};
use dapplecroft_federation::TransferState;
use dapplecroft_sched::{Checkpoints, Progress, Resources, TaskRequirements};
use dapplecroft_wire::users::{JobSpec, JobStatus, Priority, Stage};
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
pub enum StopReason {
    /// Its user withdrew the job.
    JobCancelled,
    /// It gives way to other work.
    Preempted,
    /// Its machine is being emptied.
    Drained,
    /// The cloud takes its machine back soon.
    ReclaimNotice,
}

/// A task on a machine, or proposed for one.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The attempt.
    pub attempt: u64,
    /// The machine.
    pub machine: Arc<str>,
    /// The segment of its shard in whose record it is, or will be.
    pub segment: SegmentId,
    /// The worker's session that it was placed in.
    pub session: u64,
    /// Whether the record is committed; nothing is commanded before.
    pub committed: bool,
    /// When this process learned of it.
    pub learned_at: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// The highest token under which a start was sent; 0 for none.
    pub start_token: u64,
    /// Whether it is to be stopped.
    pub stop_reason: Option<StopReason>,
    /// Time that it is given to save then, decided with the stop: it must not
    /// change while the task saves.
    pub grace: Duration,
    /// Whether its room is free already: it has left its machine by proof, and
    /// the record of that is on its way.
    pub resources_freed: bool,
}

/// How a task's stay on a machine ended, by proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskExit {
    /// The attempt that ended.
    pub attempt: u64,
    /// Whether the task is complete.
    pub completed: bool,
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
    pub requirements: Arc<TaskRequirements>,
    /// Completed tasks by the record of a shard in which they are.
    pub done_by_segment: BTreeMap<SegmentId, Ranges>,
    /// Completed tasks that records of their own have.
    pub done_by_part: BTreeMap<u32, Ranges>,
    /// Last attempts of tasks that ended unfinished, by the record they are in.
    pub last_attempts: BTreeMap<SegmentId, BTreeMap<u32, u64>>,
    /// Tasks on machines or proposed.
    pub placed: BTreeMap<u32, Placement>,
    /// Completed tasks.
    pub done: Ranges,
    /// Tasks that no shard has, nor is being given.
    pub unallocated: Ranges,
    /// Tasks that wait in each shard that they are allocated to, or will be.
    pub waiting: BTreeMap<u32, Ranges>,
    /// Allocations by this leader that are not committed yet.
    pub allocating: BTreeMap<u32, Ranges>,
    /// Waiting tasks that this leader takes back, not committed yet.
    pub revoking: BTreeMap<u32, Ranges>,
    /// Version of the record with which tasks were last taken back from shards.
    pub last_revocation_version: u64,
    /// Since when which task has been the first to wait in a shard.
    pub first_waiting: BTreeMap<u32, (Instant, u32)>,
    /// How many tasks are counted against the team.
    pub counted_against_team: i64,
    /// When a task was last placed, or the job learned of.
    pub last_placed_at: Instant,
    /// Ends that are not committed yet.
    pub uncommitted_exits: BTreeMap<u32, TaskExit>,
    /// Machines on which its tasks failed since one last completed.
    pub failed_machines: BTreeSet<String>,
    /// Failures since a task last completed.
    pub failures: u32,
    /// No task is placed before.
    pub backoff_until: Option<Instant>,
    /// When this process learned of the job.
    pub learned_at: Instant,
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
    /// Offered to another cell: nothing of it is here.
    Away(Box<AwayJob>),
    /// All others.
    Open(Box<OpenJob>),
}

/// A job that another cell was offered and may have.
#[derive(Debug, Clone)]
pub struct AwayJob {
    /// The record.
    pub record: JobRecord,
    /// Its version.
    pub version: u64,
    /// What the other cell last answered to this process.
    pub last_answer: Option<TransferState>,
}

impl AwayJob {
    /// The answer to its user: what runs is told by the other cell, if it has been
    /// heard.
    fn status(&self, id: &str) -> JobStatus {
        let (done, running) = match self.last_answer {
            Some(TransferState::Accepted { done, running }) => (done, running),
            _ => (0, 0),
        };
        let stage = if running > 0 { Stage::Running } else { Stage::Queued };
        JobStatus { id: id.to_string(), stage, done: Some(done), running: Some(running) }
    }
}

impl OpenJob {
    /// A job from its record; `None` if the record holds no specification.
    pub fn new(record: JobRecord, version: u64, now: Instant) -> Option<OpenJob> {
        let spec = record.spec.clone()?;
        let requirements = TaskRequirements {
            resources: Resources::new(spec.cpus, spec.gpus, spec.memory_gb),
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
            image: spec.image.clone(),
        };
        let mut job = OpenJob {
            record,
            version,
            spec,
            requirements: Arc::new(requirements),
            done_by_segment: BTreeMap::new(),
            done_by_part: BTreeMap::new(),
            last_attempts: BTreeMap::new(),
            placed: BTreeMap::new(),
            done: Ranges::default(),
            unallocated: Ranges::default(),
            waiting: BTreeMap::new(),
            allocating: BTreeMap::new(),
            revoking: BTreeMap::new(),
            last_revocation_version: 0,
            first_waiting: BTreeMap::new(),
            counted_against_team: 0,
            last_placed_at: now,
            uncommitted_exits: BTreeMap::new(),
            failed_machines: BTreeSet::new(),
            failures: 0,
            backoff_until: None,
            learned_at: now,
        };
        job.recompute_task_sets();
        Some(job)
    }

    /// Works out, from records and proposals, which tasks are done and which
    /// wait where.
    pub fn recompute_task_sets(&mut self) {
        let mut done = self.recorded_done();
        for own in self.done_by_segment.values() {
            done = done.union(own);
        }
        self.done = done;
        self.waiting.clear();
        self.unallocated = Ranges::default();
        if !self.is_open() {
            return;
        }
        let taken = self.done.union(&Ranges::from_ascending(self.placed.keys().copied()));
        // One that was taken back from a shard while it was being placed there
        // is on its machine all the same.
        let mut allocated = taken.clone();
        let shards: BTreeSet<u32> =
            self.record.allocated.keys().chain(self.allocating.keys()).copied().collect();
        for shard in shards {
            let mut own = self.record.allocated.get(&shard).cloned().unwrap_or_default();
            if let Some(more) = self.allocating.get(&shard) {
                own = own.union(more);
            }
            allocated = allocated.union(&own);
            let mut waiting = own.difference(&taken);
            if let Some(less) = self.revoking.get(&shard) {
                waiting = waiting.difference(less);
            }
            if !waiting.is_empty() {
                self.waiting.insert(shard, waiting);
            }
        }
        self.unallocated = Ranges::below(self.record.tasks).difference(&allocated);
    }

    /// Completed tasks that no shard's record needs to have.
    pub fn recorded_done(&self) -> Ranges {
        self.done_by_part.values().fold(self.record.legacy_done.clone(), |all, own| all.union(own))
    }

    /// Whether a last attempt in a record says nothing any more, since another
    /// record has a later one. Replicas run again for ever: what they have been
    /// through must not gather.
    pub fn has_later_attempt(&self, segment_id: SegmentId, index: u32, attempt: u64) -> bool {
        let later = |p: &Placement| p.committed && p.attempt > attempt;
        self.placed.get(&index).is_some_and(later)
            || self
                .last_attempts
                .iter()
                .any(|(id, t)| *id != segment_id && t.get(&index).is_some_and(|n| *n > attempt))
    }

    /// Whether its tasks are replicas that run until it is withdrawn.
    pub fn is_service(&self) -> bool {
        self.spec.is_service()
    }

    /// How far one of its tasks has come on its machine.
    pub fn progress(&self, placed: &Placement, now: Instant) -> Progress {
        Progress {
            age: now.saturating_duration_since(placed.learned_at),
            running: placed.running_since.map(|at| now.saturating_duration_since(at)),
            checkpoints: self.checkpoints(),
            first_attempt: placed.attempt == 1,
        }
    }

    /// How its tasks save their progress, if they do.
    fn checkpoints(&self) -> Option<Checkpoints> {
        let saves = self.spec.checkpoint_s > 0.0 && !self.is_service();
        saves.then(|| Checkpoints {
            interval: duration_or_zero(self.spec.checkpoint_s),
            save_time: duration_or_zero(self.spec.save_s),
        })
    }

    /// Whether the zones of its tasks depend on each other.
    pub fn has_zone_constraint(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// How many tasks count against the team: all that are allocated and not
    /// done, since a holder may have them running; of a withdrawn job, those
    /// not proven to have left their machines.
    pub fn tasks_against_team(&self) -> i64 {
        if self.is_open() {
            let free = self.done.len() + self.unallocated.len();
            i64::from(self.record.tasks.saturating_sub(free))
        } else {
            self.placed.values().filter(|p| p.committed).count() as i64
        }
    }

    /// The revision up to which the copy must have caught up before what counts
    /// against the team can be told for certain.
    pub fn usage_known_at_revision(&self) -> u64 {
        if self.is_open() { self.last_revocation_version } else { self.version }
    }

    /// Whether a task is allocated to a shard, or is being allocated.
    pub fn is_allocated_to(&self, shard: u32, index: u32) -> bool {
        let within = |ranges: &BTreeMap<u32, Ranges>| ranges.get(&shard).is_some_and(|r| r.contains(index));
        within(&self.record.allocated) || within(&self.allocating)
    }

    /// How many tasks wait in a shard.
    pub fn waiting_in(&self, shard: u32) -> u32 {
        self.waiting.get(&shard).map_or(0, Ranges::len)
    }

    /// Whether any task waits anywhere.
    pub fn has_waiting_tasks(&self) -> bool {
        !self.unallocated.is_empty() || !self.waiting.is_empty()
    }

    /// Tasks that are not done.
    pub fn unfinished_tasks(&self) -> u32 {
        self.record.tasks.saturating_sub(self.done.len())
    }

    /// Whether tasks may be placed.
    pub fn is_open(&self) -> bool {
        matches!(self.record.stage, JobStage::Open | JobStage::Hosted)
    }

    /// The next attempt of a task.
    pub fn next_attempt(&self, index: u32) -> u64 {
        self.last_attempts.values().filter_map(|t| t.get(&index)).copied().max().unwrap_or(0) + 1
    }

    /// The number by which ranks are ordered.
    pub fn priority_rank(&self) -> u8 {
        match self.spec.priority {
            Priority::Critical => 0,
            Priority::Urgent => 1,
            Priority::Normal => 2,
            Priority::Low => 3,
        }
    }

    /// Counts a failure and puts the job off if it fails on several machines:
    /// then it is the job rather than a machine.
    pub fn record_failure(&mut self, machine: &str, now: Instant) {
        self.failed_machines.insert(machine.to_string());
        self.failures += 1;
        if self.failed_machines.len() >= 2 {
            // Replicas are missed while they wait: a shorter pause, as often bounded.
            let halved = u32::from(self.is_service());
            let pause = Duration::from_secs(1u64 << (self.failures - halved).min(6));
            self.backoff_until = Some(now + pause);
        }
    }

    /// The answer to its user.
    pub fn status(&self, id: &str) -> JobStatus {
        let running = self.placed.values().filter(|p| p.committed).count() as u32;
        let stage = match self.record.stage {
            JobStage::Cancelled => Stage::Withdrawn,
            JobStage::Done => Stage::Done,
            JobStage::Open | JobStage::Hosted | JobStage::Away if running > 0 => Stage::Running,
            JobStage::Open | JobStage::Hosted | JobStage::Away => Stage::Queued,
        };
        JobStatus { id: id.to_string(), stage, done: Some(self.done.len()), running: Some(running) }
    }
}

fn duration_or_zero(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

impl Job {
    /// The answer to its user.
    pub fn status(&self, id: &str) -> JobStatus {
        match self {
            Job::Open(job) => job.status(id),
            Job::Away(job) => job.status(id),
            Job::Final { stage, done } => JobStatus {
                id: id.to_string(),
                stage: if *stage == JobStage::Done { Stage::Done } else { Stage::Withdrawn },
                done: Some(*done),
                running: Some(0),
            },
        }
    }
}
