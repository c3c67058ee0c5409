//! Checks of services: their replicas must keep running, and users must never be
//! told that a service is done.

use super::InvariantChecker;
use std::time::Duration;
use tokio::time::Instant;

impl InvariantChecker {
    /// Records a service, its team, the CPUs of each replica and the number of replicas.
    pub fn service(&self, id: &str, team: &str, cpus: f64, replicas: u32) {
        self.job(id, team, cpus);
        self.inner.lock().unwrap().service_replicas.insert(id.into(), replicas);
    }

    /// Records that a user was told a job's stage and how many of its tasks are done.
    /// For a service, a stage of `done` or a task that is done is a violation (`not_done`).
    pub fn told(&self, id: &str, stage: &str, done: u64) {
        let mut inner = self.inner.lock().unwrap();
        if inner.service_replicas.contains_key(id) && (stage == "done" || done > 0) {
            inner.violations.push(format!("not_done: the service {id} is told to be {stage}, {done} done"));
        }
    }

    /// Returns the replicas that are not running now, of services that are not cancelled.
    pub fn missing(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let active = inner.service_replicas.iter().filter(|(id, _)| !inner.cancelled_at.contains_key(*id));
        let all = active.flat_map(|(id, n)| (0..*n).map(move |i| format!("{id}/{i}")));
        all.filter(|task| !inner.placements.contains_key(task)).collect()
    }

    /// Returns the replicas that have been missing for longer than this since the end of
    /// the injected faults. The check samples the state at each call, so it must be called
    /// repeatedly.
    pub fn lost(&self, longer_than: Duration) -> Vec<String> {
        let missing = self.missing();
        let mut inner = self.inner.lock().unwrap();
        let faults_over_at = inner.faults_over_at.unwrap_or_else(Instant::now);
        inner.missing_since.retain(|task, _| missing.contains(task));
        for task in &missing {
            inner.missing_since.entry(task.clone()).or_insert_with(Instant::now);
        }
        let is_lost = |at: &Instant| (*at).max(faults_over_at).elapsed() > longer_than;
        inner.missing_since.iter().filter(|(_, at)| is_lost(at)).map(|(task, _)| task.clone()).collect()
    }
}
