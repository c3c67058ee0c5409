//! Jobs and their tasks: the state from the records, and what this controller knows
//! beyond that as the leader or as a shard's holder.

use crate::ranges::Ranges;
use crate::records::{JobRecord, JobStage, SegmentId};
use dapplecroft_federation::TransferState;
use dapplecroft_sched::{CheckpointPolicy, Resources, TaskProgress, TaskRequirements};
use dapplecroft_wire::users::{JobSpec, JobStatus, Priority, Stage};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Identifies a task by its job and index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Id of the job.
    pub job: Arc<str>,
    /// Index of the task within the job.
    pub index: u32,
}

impl TaskId {
    /// Parses the form used on the wire, such as `run-000412/3`.
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
    /// The user cancelled the job.
    JobCancelled,
    /// The task is preempted by another task.
    Preempted,
    /// A drain moves the task to another machine.
    Drained,
    /// The cloud has announced that it will reclaim the machine.
    ReclaimNotice,
}

/// Placement of a task on a machine, committed to the shard's record or only proposed.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Attempt number of the task.
    pub attempt: u64,
    /// Machine that the task is placed on.
    pub machine: Arc<str>,
    /// Segment of the shard whose record lists the placement, or will list it.
    pub segment: SegmentId,
    /// Session of the worker in which the task was placed.
    pub session: u64,
    /// Whether the placement is committed to the record. No command for the task is sent
    /// before that.
    pub committed: bool,
    /// When this process proposed the placement or learned of it.
    pub learned_at: Instant,
    /// When a heartbeat first showed the task running.
    pub running_since: Option<Instant>,
    /// Highest fencing token with which a start command was sent; 0 if none was sent.
    pub start_token: u64,
    /// Why the task is being stopped; `None` if it is not.
    pub stop_reason: Option<StopReason>,
    /// Time that the stopped task has to save its progress. It is set together with
    /// `stop_reason`, and must not change while the task saves.
    pub grace: Duration,
    /// Whether the task's resources have been freed, because it is proven to have left its
    /// machine. The commit that records this is still outstanding.
    pub resources_freed: bool,
}

/// Proven end of a task's attempt on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskExit {
    /// Attempt number that ended.
    pub attempt: u64,
    /// Whether the task has completed.
    pub completed: bool,
}

/// A job that is open, or has ended but still has tasks on machines.
#[derive(Debug, Clone)]
pub struct OpenJob {
    /// The job's record in the state service.
    pub record: JobRecord,
    /// Version of the job's record.
    pub version: u64,
    /// The job's specification.
    pub spec: JobSpec,
    /// Resources and placement constraints of each task.
    pub requirements: Arc<TaskRequirements>,
    /// Completed tasks by the segment whose record lists them.
    pub done_by_segment: BTreeMap<SegmentId, Ranges>,
    /// Completed tasks that [`Key::CompletedTasks`] records list, by part.
    ///
    /// [`Key::CompletedTasks`]: crate::records::Key::CompletedTasks
    pub done_by_part: BTreeMap<u32, Ranges>,
    /// Last attempt numbers of tasks that ended without completing, by the segment whose
    /// record lists them, and by task index.
    pub last_attempts: BTreeMap<SegmentId, BTreeMap<u32, u64>>,
    /// Committed and proposed placements by task index.
    pub placed: BTreeMap<u32, Placement>,
    /// All completed tasks.
    pub done: Ranges,
    /// Unfinished tasks that are neither placed, nor allocated or being allocated to a
    /// shard.
    pub unallocated: Ranges,
    /// Tasks that wait for placement, by the shard that they are allocated to or being
    /// allocated to.
    pub waiting: BTreeMap<u32, Ranges>,
    /// Uncommitted allocations by this leader, by shard.
    pub allocating: BTreeMap<u32, Ranges>,
    /// Waiting tasks that this leader is taking back from shards, by shard. Not committed
    /// yet.
    pub revoking: BTreeMap<u32, Ranges>,
    /// Version of the job's record with which tasks were last taken back from shards.
    pub last_revocation_version: u64,
    /// First waiting task of each shard, and since when it has been the first.
    pub first_waiting: BTreeMap<u32, (Instant, u32)>,
    /// Number of tasks that are currently counted against the team's quota.
    pub counted_against_team: i64,
    /// When a task was last placed; at first, when this process learned of the job.
    pub last_placed_at: Instant,
    /// Proven ends of tasks that are not committed yet, by task index.
    pub uncommitted_exits: BTreeMap<u32, TaskExit>,
    /// Machines on which tasks failed since a task last completed.
    pub failed_machines: BTreeSet<String>,
    /// Number of failures since a task last completed.
    pub failures: u32,
    /// No task is placed before this time.
    pub backoff_until: Option<Instant>,
    /// When this process learned of the job.
    pub learned_at: Instant,
}

/// A job as this controller knows it.
#[derive(Debug, Clone)]
pub enum Job {
    /// Completed or cancelled, and none of its tasks is left on a machine.
    Final {
        /// Either `Done` or `Cancelled`.
        stage: JobStage,
        /// Number of completed tasks.
        done: u32,
    },
    /// Offered to another cell; no task of the job is in this cell.
    Away(Box<AwayJob>),
    /// Any other job: one that is open, or still has tasks on machines.
    Open(Box<OpenJob>),
}

/// A job that was offered to another cell, which may have accepted it.
#[derive(Debug, Clone)]
pub struct AwayJob {
    /// The job's record in the state service.
    pub record: JobRecord,
    /// Version of the job's record.
    pub version: u64,
    /// State of the transfer that the other cell last reported to this process.
    pub last_answer: Option<TransferState>,
}

impl AwayJob {
    /// Status of the job for its user. The numbers of completed and running tasks are those
    /// that the other cell last reported, or 0 if it has reported none.
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
    /// Creates a job from its record. Returns `None` if the record has no specification.
    pub fn new(record: JobRecord, version: u64, now: Instant) -> Option<OpenJob> {
        let spec = record.spec.clone()?;
        let requirements = TaskRequirements {
            resources: Resources::new(spec.cpus, spec.gpus, spec.memory_gb),
            machine_types: spec.types.clone(),
            zone: spec.zone.clone(),
            spot_allowed: spec.spot,
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

    /// Recomputes from records and proposals which tasks are completed, unallocated, and
    /// waiting in each shard.
    pub fn recompute_task_sets(&mut self) {
        let mut done = self.recorded_done();
        for segment_done in self.done_by_segment.values() {
            done = done.union(segment_done);
        }
        self.done = done;
        self.waiting.clear();
        self.unallocated = Ranges::default();
        if !self.is_open() {
            return;
        }
        let taken = self.done.union(&Ranges::from_ascending(self.placed.keys().copied()));
        // Placed tasks count as allocated: a task that the leader took back from a shard
        // while the holder placed it there is on its machine nevertheless.
        let mut allocated = taken.clone();
        let shards: BTreeSet<u32> =
            self.record.allocated.keys().chain(self.allocating.keys()).copied().collect();
        for shard in shards {
            let mut shard_tasks = self.record.allocated.get(&shard).cloned().unwrap_or_default();
            if let Some(allocating) = self.allocating.get(&shard) {
                shard_tasks = shard_tasks.union(allocating);
            }
            allocated = allocated.union(&shard_tasks);
            let mut waiting = shard_tasks.difference(&taken);
            if let Some(revoking) = self.revoking.get(&shard) {
                waiting = waiting.difference(revoking);
            }
            if !waiting.is_empty() {
                self.waiting.insert(shard, waiting);
            }
        }
        self.unallocated = Ranges::below(self.record.tasks).difference(&allocated);
    }

    /// Completed tasks that are listed in the job's record or in separate records of
    /// completed tasks, so that no segment needs to list them.
    pub fn recorded_done(&self) -> Ranges {
        self.done_by_part.values().fold(self.record.legacy_done.clone(), |all, part| all.union(part))
    }

    /// Whether a segment's entry for the last attempt of a task is obsolete, because the
    /// task has a later attempt in a committed placement or in another segment. Such
    /// entries are dropped: service replicas restart without end, so that the entries
    /// would otherwise accumulate.
    pub fn has_later_attempt(&self, segment_id: SegmentId, index: u32, attempt: u64) -> bool {
        let later = |p: &Placement| p.committed && p.attempt > attempt;
        self.placed.get(&index).is_some_and(later)
            || self
                .last_attempts
                .iter()
                .any(|(id, attempts)| *id != segment_id && attempts.get(&index).is_some_and(|n| *n > attempt))
    }

    /// Whether the job is a service, whose tasks are replicas that run until the job is
    /// cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.is_service()
    }

    /// Progress of a placed task on its machine.
    pub fn progress(&self, placed: &Placement, now: Instant) -> TaskProgress {
        TaskProgress {
            age: now.saturating_duration_since(placed.learned_at),
            run_time: placed.running_since.map(|at| now.saturating_duration_since(at)),
            checkpoint_policy: self.checkpoints(),
            first_attempt: placed.attempt == 1,
        }
    }

    /// Checkpoint parameters of the job's tasks; `None` if they do not save progress.
    fn checkpoints(&self) -> Option<CheckpointPolicy> {
        let saves = self.spec.checkpoint_s > 0.0 && !self.is_service();
        saves.then(|| CheckpointPolicy {
            interval: duration_or_zero(self.spec.checkpoint_s),
            save_time: duration_or_zero(self.spec.save_s),
        })
    }

    /// Whether the tasks must run in the same zone or be spread over zones, so that the
    /// zone of one task depends on the zones of the others.
    pub fn has_zone_constraint(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Number of tasks to count against the team's quota. For an open job these are all
    /// allocated tasks that have not completed, since a shard's holder may be running
    /// them. For a cancelled job these are the tasks not proven to have left their machines.
    pub fn tasks_against_team(&self) -> i64 {
        if self.is_open() {
            let not_counted = self.done.len() + self.unallocated.len();
            i64::from(self.record.tasks.saturating_sub(not_counted))
        } else {
            self.placed.values().filter(|p| p.committed).count() as i64
        }
    }

    /// Revision that the record replica must have applied before
    /// [`tasks_against_team`](Self::tasks_against_team) is certain. Before that, a
    /// placement may be missing that was committed ahead of the cancellation or revocation.
    pub fn usage_known_at_revision(&self) -> u64 {
        if self.is_open() { self.last_revocation_version } else { self.version }
    }

    /// Whether a task is allocated, or being allocated, to a shard.
    pub fn is_allocated_to(&self, shard: u32, index: u32) -> bool {
        let within = |ranges: &BTreeMap<u32, Ranges>| ranges.get(&shard).is_some_and(|r| r.contains(index));
        within(&self.record.allocated) || within(&self.allocating)
    }

    /// Number of tasks that wait for placement in a shard.
    pub fn waiting_in(&self, shard: u32) -> u32 {
        self.waiting.get(&shard).map_or(0, Ranges::len)
    }

    /// Whether any task is unallocated or waits for placement in a shard.
    pub fn has_waiting_tasks(&self) -> bool {
        !self.unallocated.is_empty() || !self.waiting.is_empty()
    }

    /// Number of tasks that have not completed.
    pub fn unfinished_tasks(&self) -> u32 {
        self.record.tasks.saturating_sub(self.done.len())
    }

    /// Whether the job's tasks may be placed: it is open in this cell, for its own user or
    /// as the host of another cell's job.
    pub fn is_open(&self) -> bool {
        matches!(self.record.stage, JobStage::Open | JobStage::Hosted)
    }

    /// Number of the next attempt of a task.
    pub fn next_attempt(&self, index: u32) -> u64 {
        self.last_attempts.values().filter_map(|attempts| attempts.get(&index)).copied().max().unwrap_or(0)
            + 1
    }

    /// Number by which priorities are ordered; 0 is the highest priority.
    pub fn priority_rank(&self) -> u8 {
        match self.spec.priority {
            Priority::Critical => 0,
            Priority::Urgent => 1,
            Priority::Normal => 2,
            Priority::Low => 3,
        }
    }

    /// Records that a task failed on a machine. Once tasks have failed on at least two
    /// machines, the cause is probably the job rather than a machine, and the job backs off
    /// exponentially, for at most 64 s.
    pub fn record_failure(&mut self, machine: &str, now: Instant) {
        self.failed_machines.insert(machine.to_string());
        self.failures += 1;
        if self.failed_machines.len() >= 2 {
            // A service lacks capacity while a replica waits, so that its backoff is half as
            // long as that of other jobs, up to the same maximum.
            let halvings = u32::from(self.is_service());
            let backoff = Duration::from_secs(1u64 << (self.failures - halvings).min(6));
            self.backoff_until = Some(now + backoff);
        }
    }

    /// Status of the job for its user.
    pub fn status(&self, id: &str) -> JobStatus {
        let running = self.placed.values().filter(|p| p.committed).count() as u32;
        let stage = match self.record.stage {
            JobStage::Cancelled => Stage::Cancelled,
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
    /// Status of the job for its user.
    pub fn status(&self, id: &str) -> JobStatus {
        match self {
            Job::Open(job) => job.status(id),
            Job::Away(job) => job.status(id),
            Job::Final { stage, done } => JobStatus {
                id: id.to_string(),
                stage: if *stage == JobStage::Done { Stage::Done } else { Stage::Cancelled },
                done: Some(*done),
                running: Some(0),
            },
        }
    }
}
