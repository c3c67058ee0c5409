//! Invariant checker: records where tasks run and what users were told about
//! their jobs, and reports each violation of the scheduler's guarantees.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// The team that owns a job and the CPUs each of its tasks takes.
struct JobDemand {
    team: String,
    cpus: f64,
}

#[derive(Default)]
struct Inner {
    /// Machine that each running task is on.
    placements: BTreeMap<String, String>,
    jobs: HashMap<String, JobDemand>,
    /// Quota limit of each team, in CPUs.
    quotas: HashMap<String, f64>,
    cancelled_at: HashMap<String, Instant>,
    /// Machine that each attempt (task and attempt number) started on.
    attempts: HashMap<(String, u64), String>,
    /// Number of starts of each task.
    start_counts: HashMap<String, usize>,
    violations: Vec<String>,
    accepted_at: BTreeMap<String, Instant>,
    /// When a user's query of each job was last answered.
    answered_at: HashMap<String, Instant>,
    /// When the first task of each job started.
    first_started_at: HashMap<String, Instant>,
    /// When the test stopped injecting faults.
    faults_over_at: Option<Instant>,
    /// Number of replicas of each service.
    service_replicas: BTreeMap<String, u32>,
    /// Since when each missing service replica has been missing.
    missing_since: HashMap<String, Instant>,
    /// Task starts after the job's cancellation was confirmed to the user.
    late_starts: Vec<String>,
    /// The most advanced status that users have been told of each job.
    told_status: HashMap<String, Told>,
    /// CPUs of each machine that is up.
    machine_cpus: BTreeMap<String, f64>,
    machine_zones: HashMap<String, String>,
    constraints: HashMap<String, PlacementConstraint>,
    /// Since when each waiting job could have been started.
    neglected_since: HashMap<String, Instant>,
    placement_history: Vec<Stay>,
}

/// One run of a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stay {
    /// Name of the task, `JOB/INDEX`.
    pub task: String,
    /// Name of the machine.
    pub machine: String,
    /// When the task started on the machine.
    pub from: Instant,
    /// When the task ended; `None` while it is running.
    pub until: Option<Instant>,
}

/// Placement constraint of a job's tasks.
#[derive(Debug, Clone, Default)]
pub struct PlacementConstraint {
    /// Zone that all tasks must run in.
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    pub same_place: bool,
    /// Number of tasks of a job that must be spread out: no zone may have more than half
    /// of them, rounded up.
    pub apart: Option<usize>,
}

/// The most advanced status that users have been told of a job. A later answer
/// must not go back behind it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Told {
    /// Users have not been told that the job exists.
    #[default]
    Nothing,
    /// Users have been told that the job is accepted, waiting or running.
    Accepted,
    /// Users have been told this final stage: `done` or `withdrawn` (cancelled).
    Final(String),
}

/// Tolerance for rounding errors when a sum of CPUs is compared with a quota limit.
const CPU_TOLERANCE: f64 = 1e-9;

/// Checks the scheduler's guarantees against the events reported by the worker
/// agents, the cloud and the tests.
#[derive(Default)]
pub struct InvariantChecker {
    inner: Mutex<Inner>,
    /// How long tasks may still run after the cancellation of their job is confirmed.
    cancellation_grace: Mutex<Duration>,
}

mod answers;
mod placement;
mod quota;
mod services;

/// The job of a task named `JOB/INDEX`.
fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |(job, _)| job)
}

impl InvariantChecker {
    /// Creates a checker that allows tasks to run for `cancel_after` after the
    /// cancellation of their job is confirmed to the user.
    pub fn new(cancel_after: Duration) -> Arc<InvariantChecker> {
        let checker = InvariantChecker::default();
        *checker.cancellation_grace.lock().unwrap() = cancel_after;
        Arc::new(checker)
    }

    /// Records a violation that the caller detected.
    pub fn note(&self, what: String) {
        self.inner.lock().unwrap().violations.push(what);
    }

    /// Records that a task starts on a machine, and checks that it does not already run
    /// elsewhere, its job is not cancelled, its placement constraint holds, the attempt is
    /// new, and its team stays within the quota limit.
    pub fn started(&self, task: &str, attempt: u64, machine: &str) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(other) = inner.placements.get(task) {
            let violation = format!("ran_twice: {task} starts on {machine} while on {other}");
            inner.violations.push(violation);
        }
        if let Some(at) = inner.cancelled_at.get(job_of(task))
            && at.elapsed() > *self.cancellation_grace.lock().unwrap()
        {
            inner.violations.push(format!("ran_cancelled: {task} starts on {machine}"));
        }
        if inner.cancelled_at.contains_key(job_of(task)) {
            inner.late_starts.push(format!("{task} starts on {machine}"));
        }
        if let Some(violation) = inner.placement_violation(task, machine) {
            inner.violations.push(violation);
        }
        let key = (task.to_string(), attempt);
        if let Some(other) = inner.attempts.insert(key, machine.into()) {
            inner.violations.push(format!("attempt {attempt} of {task} ran on {other} and on {machine}"));
        }
        inner.placements.insert(task.into(), machine.into());
        let (task_name, machine_name) = (task.to_string(), machine.to_string());
        inner.placement_history.push(Stay {
            task: task_name,
            machine: machine_name,
            from: Instant::now(),
            until: None,
        });
        inner.first_started_at.entry(job_of(task).into()).or_insert_with(Instant::now);
        *inner.start_counts.entry(task.into()).or_default() += 1;
        let team = inner.jobs.get(job_of(task)).map(|job| job.team.clone());
        if let Some(team) = team {
            let jobs = &inner.jobs;
            let used: f64 = inner
                .placements
                .keys()
                .filter_map(|t| jobs.get(job_of(t)))
                .filter(|job| job.team == team)
                .map(|job| job.cpus)
                .sum();
            if inner.quotas.get(&team).is_some_and(|limit| used > limit + CPU_TOLERANCE) {
                inner.violations.push(format!("quota: {team} uses {used}"));
            }
        }
    }

    /// Returns the tasks that started after a user was told that their job is cancelled.
    /// Such a start is not a violation in itself, since the start command may have been in
    /// flight; the task must only be gone within the cancellation grace period.
    pub fn late_starts(&self) -> Vec<String> {
        self.inner.lock().unwrap().late_starts.clone()
    }

    /// Records that a task has ended on a machine.
    pub fn ended(&self, task: &str, machine: &str) {
        let mut inner = self.inner.lock().unwrap();
        if inner.placements.get(task).is_some_and(|m| m == machine) {
            inner.placements.remove(task);
        }
        let newest_first = inner.placement_history.iter_mut().rev();
        let mut ongoing =
            newest_first.filter(|s| s.until.is_none() && s.task == task && s.machine == machine);
        if let Some(stay) = ongoing.next() {
            stay.until = Some(Instant::now());
        }
    }

    /// Returns every run of a task on a machine, in the order of the starts.
    pub fn history(&self) -> Vec<Stay> {
        self.inner.lock().unwrap().placement_history.clone()
    }

    /// Returns the machine of each task that is running now.
    pub fn on(&self) -> BTreeMap<String, String> {
        self.inner.lock().unwrap().placements.clone()
    }

    /// Returns how often a task has been started.
    pub fn starts(&self, task: &str) -> usize {
        self.inner.lock().unwrap().start_counts.get(task).copied().unwrap_or(0)
    }

    /// Returns all violations so far, including tasks that are still running although
    /// the grace period after their job's cancellation is over.
    pub fn broken(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let mut broken = inner.violations.clone();
        let grace = *self.cancellation_grace.lock().unwrap();
        for (task, machine) in &inner.placements {
            if inner.cancelled_at.get(job_of(task)).is_some_and(|at| at.elapsed() > grace) {
                broken.push(format!("ran_cancelled: {task} is on {machine}"));
            }
        }
        broken
    }
}

#[cfg(test)]
mod tests;
