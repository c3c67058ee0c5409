//! Watches over the rules: what runs where, and whether it may.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Default)]
struct Inner {
    on: BTreeMap<String, String>,
    jobs: HashMap<String, (String, f64)>,
    limits: HashMap<String, f64>,
    cancelled: HashMap<String, Instant>,
    attempts: HashMap<(String, u64), String>,
    starts: HashMap<String, usize>,
    broken: Vec<String>,
    accepted: BTreeMap<String, Instant>,
    answered: HashMap<String, Instant>,
    began: HashMap<String, Instant>,
    calm: Option<Instant>,
    services: BTreeMap<String, u32>,
    missing: HashMap<String, Instant>,
    late_starts: Vec<String>,
    told: HashMap<String, Told>,
    machines: BTreeMap<String, f64>,
    zones: HashMap<String, String>,
    bounds: HashMap<String, Bound>,
    neglected: HashMap<String, Instant>,
    history: Vec<Stay>,
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

/// Where the tasks of a job may be.
#[derive(Debug, Clone, Default)]
pub struct Bound {
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All in one zone.
    pub same_place: bool,
    /// Of so many tasks at most half, rounded up, in one zone.
    pub apart: Option<usize>,
}

/// What users have been told of a job at most; later answers may not be older.
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

/// Watches over the rules.
#[derive(Default)]
pub struct Referee {
    inner: Mutex<Inner>,
    cancel_after: Mutex<Duration>,
}

mod answers;
mod placement;
mod quota;
mod services;

fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |(job, _)| job)
}

impl Referee {
    /// A referee that lets cancelled tasks stay this long.
    pub fn new(cancel_after: Duration) -> Arc<Referee> {
        let referee = Referee::default();
        *referee.cancel_after.lock().unwrap() = cancel_after;
        Arc::new(referee)
    }

    /// Something went wrong.
    pub fn note(&self, what: String) {
        self.inner.lock().unwrap().broken.push(what);
    }

    /// A task starts on a machine.
    pub fn started(&self, task: &str, attempt: u64, machine: &str) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(other) = inner.on.get(task) {
            let note = format!("ran_twice: {task} starts on {machine} while on {other}");
            inner.broken.push(note);
        }
        if let Some(at) = inner.cancelled.get(job_of(task))
            && at.elapsed() > *self.cancel_after.lock().unwrap()
        {
            inner.broken.push(format!("ran_cancelled: {task} starts on {machine}"));
        }
        if inner.cancelled.contains_key(job_of(task)) {
            inner.late_starts.push(format!("{task} starts on {machine}"));
        }
        if let Some(note) = inner.misplaced(task, machine) {
            inner.broken.push(note);
        }
        let key = (task.to_string(), attempt);
        if let Some(other) = inner.attempts.insert(key, machine.into()) {
            inner.broken.push(format!("attempt {attempt} of {task} ran on {other} and on {machine}"));
        }
        inner.on.insert(task.into(), machine.into());
        let (task_name, machine_name) = (task.to_string(), machine.to_string());
        inner.history.push(Stay {
            task: task_name,
            machine: machine_name,
            from: Instant::now(),
            until: None,
        });
        inner.began.entry(job_of(task).into()).or_insert_with(Instant::now);
        *inner.starts.entry(task.into()).or_default() += 1;
        let team = inner.jobs.get(job_of(task)).map(|(team, _)| team.clone());
        if let Some(team) = team {
            let jobs = &inner.jobs;
            let used: f64 = inner
                .on
                .keys()
                .filter_map(|t| jobs.get(job_of(t)))
                .filter(|j| j.0 == team)
                .map(|j| j.1)
                .sum();
            if inner.limits.get(&team).is_some_and(|limit| used > limit + 1e-9) {
                inner.broken.push(format!("quota: {team} uses {used}"));
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
        if inner.on.get(task).is_some_and(|m| m == machine) {
            inner.on.remove(task);
        }
        let stays = inner.history.iter_mut().rev();
        let mut open = stays.filter(|s| s.until.is_none() && s.task == task && s.machine == machine);
        if let Some(stay) = open.next() {
            stay.until = Some(Instant::now());
        }
    }

    /// Every stay of a task on a machine, in the order of their starts.
    pub fn history(&self) -> Vec<Stay> {
        self.inner.lock().unwrap().history.clone()
    }

    /// Where tasks are now.
    pub fn on(&self) -> BTreeMap<String, String> {
        self.inner.lock().unwrap().on.clone()
    }

    /// How often a task was started.
    pub fn starts(&self, task: &str) -> usize {
        self.inner.lock().unwrap().starts.get(task).copied().unwrap_or(0)
    }

    /// Rules broken so far, cancelled tasks that are still there included.
    pub fn broken(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let mut broken = inner.broken.clone();
        let limit = *self.cancel_after.lock().unwrap();
        for (task, machine) in &inner.on {
            if inner.cancelled.get(job_of(task)).is_some_and(|at| at.elapsed() > limit) {
                broken.push(format!("ran_cancelled: {task} is on {machine}"));
            }
        }
        broken
    }
}

#[cfg(test)]
mod tests;
