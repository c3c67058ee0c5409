//! Checks of what users are told about their jobs, and of how jobs and teams were
//! served at the end of a test run.

use super::{InvariantChecker, JobDemand, Told};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A job counts as forgotten if no query about it has been answered since the end of
/// all injected faults, and this much time has passed since then.
const FORGOTTEN_JOB_TIMEOUT: Duration = Duration::from_secs(75);
/// Every job, even the largest, must start within this time after its acceptance.
const JOB_START_DEADLINE: Duration = Duration::from_secs(240);

impl InvariantChecker {
    /// Returns what users have been told of a job so far. Call it before a query is sent,
    /// and pass the result to [`InvariantChecker::heard`] with the query's response.
    pub fn known(&self, id: &str) -> Told {
        self.inner.lock().unwrap().told_status.get(id).cloned().unwrap_or_default()
    }

    /// Records the response (status code and stage) to a user's query of a job. `before` is
    /// what users had been told when the query was sent. It is a violation (`went_back`) if
    /// the response says less than that, or contradicts a final stage.
    pub fn heard(&self, id: &str, before: &Told, status: u16, stage: &str) {
        let now = match (status, stage) {
            (200 | 201, "done" | "withdrawn") => Told::Final(stage.into()),
            (200 | 201, _) => Told::Accepted,
            (404, _) => Told::Nothing,
            _ => return,
        };
        let mut inner = self.inner.lock().unwrap();
        let went_back = match before {
            Told::Nothing => false,
            Told::Accepted => now == Told::Nothing,
            Told::Final(_) => now != *before,
        };
        if went_back {
            inner.violations.push(format!("went_back: {id} is told to be {now:?} after {before:?}"));
        }
        let told = inner.told_status.entry(id.into()).or_default();
        match (&told, &now) {
            (Told::Final(old), Told::Final(new)) if old != new => {
                let what = format!("went_back: {id} is told to be {new} and {old}");
                inner.violations.push(what);
            }
            (Told::Final(_), _) | (Told::Accepted, Told::Nothing) => {}
            _ => *told = now,
        }
    }

    /// Records that a user was told that a job is cancelled.
    pub fn cancelled(&self, id: &str) {
        self.inner.lock().unwrap().cancelled_at.insert(id.into(), Instant::now());
    }

    /// Records that a user was told that a job is accepted.
    pub fn accepted(&self, id: &str) {
        self.inner.lock().unwrap().accepted_at.entry(id.into()).or_insert_with(Instant::now);
    }

    /// Records that a user's query of a job was answered with the job's status.
    pub fn answered(&self, id: &str) {
        self.inner.lock().unwrap().answered_at.insert(id.into(), Instant::now());
    }

    /// Records that the test has stopped injecting faults.
    pub fn calm(&self) {
        self.inner.lock().unwrap().faults_over_at = Some(Instant::now());
    }

    /// Returns the violations found by the checks at the end of a test run: jobs whose
    /// queries have all failed since the end of the injected faults (`forgotten`), jobs that
    /// started too late or not at all (`late`), and teams that had less than half of their
    /// jobs started (`unserved`). Cancelled jobs only count for the first check.
    pub fn day_ends(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let mut broken = Vec::new();
        // Number of started jobs and of all jobs, by team.
        let mut teams: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (id, at) in &inner.accepted_at {
            if let Some(faults_over_at) = inner.faults_over_at
                && faults_over_at.elapsed() > FORGOTTEN_JOB_TIMEOUT
                && inner.answered_at.get(id).is_none_or(|at| *at < faults_over_at)
            {
                broken.push(format!("forgotten: {id}"));
            }
            if inner.cancelled_at.contains_key(id) {
                continue;
            }
            let started_at = inner.first_started_at.get(id);
            if started_at.map_or(at.elapsed(), |b| *b - *at) > JOB_START_DEADLINE {
                broken.push(format!("late: {id} did not begin in time"));
            }
            if let Some(JobDemand { team, .. }) = inner.jobs.get(id) {
                let counts = teams.entry(team).or_default();
                counts.0 += usize::from(started_at.is_some());
                counts.1 += 1;
            }
        }
        for (team, (started_jobs, all)) in teams {
            if started_jobs * 2 < all {
                broken.push(format!("unserved: {started_jobs} of {all} jobs of {team}"));
            }
        }
        broken
    }
}
