//! Invariant checker: records where tasks run and what users were told, and
//! reports each violation of the protocol's rules.

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
    placements: BTreeMap<String, String>,
    jobs: HashMap<String, JobDemand>,
    quotas: HashMap<String, f64>,
    cancelled_at: HashMap<String, Instant>,
    attempts: HashMap<(String, u64), String>,
    start_counts: HashMap<String, usize>,
    violations: Vec<String>,
    accepted_at: BTreeMap<String, Instant>,
    answered_at: HashMap<String, Instant>,
    first_started_at: HashMap<String, Instant>,
    faults_over_at: Option<Instant>,
    service_replicas: BTreeMap<String, u32>,
    missing_since: HashMap<String, Instant>,
    late_starts: Vec<String>,
    told_status: HashMap<String, Told>,
    machine_cpus: BTreeMap<String, f64>,
    machine_zones: HashMap<String, String>,
    constraints: HashMap<String, PlacementConstraint>,
    neglected_since: HashMap<String, Instant>,
    placement_history: Vec<Stay>,
}

/// A task on a machine, from when it starts until it has left.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stay {
    /// The task.
    pub task: String,
    /// The machine.
    pub machine: String,
    /// When it started.
    pub from: Instant,
    /// When it left; `None`: it is there.
    pub until: Option<Instant>,
}

/// Placement constraint of a job's tasks.
#[derive(Debug, Clone, Default)]
pub struct PlacementConstraint {
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All in one zone.
    pub same_place: bool,
    /// Of so many tasks at most half, rounded up, in one zone.
    pub apart: Option<usize>,
}

/// The most advanced status users have been told of a job; a later answer
/// must not report an earlier one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Told {
    /// Nothing yet.
    #[default]
    Nothing,
    /// That it is accepted.
    Accepted,
    /// That it is done, or withdrawn.
    Final(String),
}

/// Slack for rounding when sums of CPUs are compared with a quota.
const CPU_TOLERANCE: f64 = 1e-9;

/// Checks the protocol's invariants over the events that tests report.
#[derive(Default)]
pub struct InvariantChecker {
    inner: Mutex<Inner>,
    cancellation_grace: Mutex<Duration>,
}

mod answers;
mod placement;
mod quota;
mod services;

fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |(job, _)| job)
}

impl InvariantChecker {
    /// A checker that allows tasks of a cancelled job to run this long after
    /// the cancellation.
    pub fn new(cancel_after: Duration) -> Arc<InvariantChecker> {
        let checker = InvariantChecker::default();
        *checker.cancellation_grace.lock().unwrap() = cancel_after;
        Arc::new(checker)
    }

    /// Records a violation found elsewhere.
    pub fn note(&self, what: String) {
        self.inner.lock().unwrap().violations.push(what);
    }

    /// A task starts on a machine.
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

    /// Tasks that started after their user was told that the job is cancelled. No
    /// rule is broken by one whose command was on its way, if it is gone in time.
    pub fn late_starts(&self) -> Vec<String> {
        self.inner.lock().unwrap().late_starts.clone()
    }

    /// A task has left its machine.
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

    /// Every stay of a task on a machine, in the order of their starts.
    pub fn history(&self) -> Vec<Stay> {
        self.inner.lock().unwrap().placement_history.clone()
    }

    /// Where tasks are now.
    pub fn on(&self) -> BTreeMap<String, String> {
        self.inner.lock().unwrap().placements.clone()
    }

    /// How often a task was started.
    pub fn starts(&self, task: &str) -> usize {
        self.inner.lock().unwrap().start_counts.get(task).copied().unwrap_or(0)
    }

    /// Rules broken so far, cancelled tasks that are still there included.
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
