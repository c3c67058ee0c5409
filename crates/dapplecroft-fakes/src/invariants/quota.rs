//! Quota limits and the capacity of machines, and the check that no job waits
//! although it could run.

use super::{CPU_TOLERANCE, InvariantChecker, JobDemand, job_of};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// A job that could run must not wait longer than this for its first start.
const NEGLECTED_JOB_TIMEOUT: Duration = Duration::from_secs(90);

impl InvariantChecker {
    /// Sets a team's quota limit in CPUs.
    pub fn limit(&self, team: &str, cpus: f64) {
        self.inner.lock().unwrap().quotas.insert(team.into(), cpus);
    }

    /// Records a job, its team and the CPUs that each of its tasks takes.
    pub fn job(&self, id: &str, team: &str, cpus: f64) {
        self.inner.lock().unwrap().jobs.insert(id.into(), JobDemand { team: team.into(), cpus });
    }

    /// Records that a machine with this many CPUs is up, or (`None`) that it is gone.
    pub fn machine(&self, id: &str, cpus: Option<f64>) {
        let mut inner = self.inner.lock().unwrap();
        match cpus {
            Some(cpus) => inner.machine_cpus.insert(id.into(), cpus),
            None => inner.machine_cpus.remove(id),
        };
    }

    /// Returns the jobs that have not started although, for too long since the end of the
    /// injected faults, some machine had room for one of their tasks and their team was
    /// below its quota limit. The check samples the state at each call, so it must be
    /// called repeatedly.
    pub fn neglected(&self) -> Vec<String> {
        let mut inner = self.inner.lock().unwrap();
        let mut free = inner.machine_cpus.clone();
        let mut used: HashMap<String, f64> = HashMap::new();
        for (task, machine) in &inner.placements {
            let Some(JobDemand { team, cpus }) = inner.jobs.get(job_of(task)) else { continue };
            *free.entry(machine.clone()).or_default() -= cpus;
            *used.entry(team.clone()).or_default() += cpus;
        }
        let largest_free_cpus = free.into_values().fold(0.0, f64::max);
        let is_waiting = |id: &&String| {
            let Some(JobDemand { team, cpus }) = inner.jobs.get(*id) else { return false };
            let below_limit = inner
                .quotas
                .get(team)
                .is_none_or(|limit| used.get(team).copied().unwrap_or(0.0) + cpus <= limit + CPU_TOLERANCE);
            !inner.first_started_at.contains_key(*id)
                && !inner.cancelled_at.contains_key(*id)
                && below_limit
                && *cpus <= largest_free_cpus
        };
        let waiting: Vec<String> = inner.accepted_at.keys().filter(is_waiting).cloned().collect();
        let Some(faults_over_at) = inner.faults_over_at else { return Vec::new() };
        inner.neglected_since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            inner.neglected_since.entry(id).or_insert_with(Instant::now);
        }
        let too_long = |at: &Instant| (*at).max(faults_over_at).elapsed() > NEGLECTED_JOB_TIMEOUT;
        inner.neglected_since.iter().filter(|(_, at)| too_long(at)).map(|(id, _)| id.clone()).collect()
    }
}
