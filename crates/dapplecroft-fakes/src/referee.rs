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
}

/// Watches over the rules.
#[derive(Default)]
pub struct Referee {
    inner: Mutex<Inner>,
    cancel_after: Mutex<Duration>,
}

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

    /// Makes a team's limit known.
    pub fn limit(&self, team: &str, cpus: f64) {
        self.inner.lock().unwrap().limits.insert(team.into(), cpus);
    }

    /// Makes a job known.
    pub fn job(&self, id: &str, team: &str, cpus: f64) {
        self.inner.lock().unwrap().jobs.insert(id.into(), (team.into(), cpus));
    }

    /// A user was told that a job is cancelled.
    pub fn cancelled(&self, id: &str) {
        self.inner.lock().unwrap().cancelled.insert(id.into(), Instant::now());
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
        let key = (task.to_string(), attempt);
        if let Some(other) = inner.attempts.insert(key, machine.into()) {
            inner.broken.push(format!("attempt {attempt} of {task} ran on {other} and on {machine}"));
        }
        inner.on.insert(task.into(), machine.into());
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

    /// A task has left its machine.
    pub fn ended(&self, task: &str, machine: &str) {
        let mut inner = self.inner.lock().unwrap();
        if inner.on.get(task).is_some_and(|m| m == machine) {
            inner.on.remove(task);
        }
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
