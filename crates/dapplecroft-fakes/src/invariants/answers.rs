//! What users are told of their jobs, and the checks at the end of a day.

use super::{InvariantChecker, JobDemand, Told};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A job about which no question is answered for so long after the end of all
/// troubles is forgotten.
const FORGOTTEN_JOB_TIMEOUT: Duration = Duration::from_secs(75);
/// Even the largest jobs must begin within this time.
const JOB_START_DEADLINE: Duration = Duration::from_secs(240);

impl InvariantChecker {
    /// What users have been told of a job so far; to be asked before a question
    /// is sent, and handed to [`InvariantChecker::heard`] with its answer.
    pub fn known(&self, id: &str) -> Told {
        self.inner.lock().unwrap().told_status.get(id).cloned().unwrap_or_default()
    }

    /// A user heard this of a job, in answer to a question that was sent when so
    /// much was known: nobody may say less, and nothing else once it is final.
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

    /// A user was told that a job is cancelled.
    pub fn cancelled(&self, id: &str) {
        self.inner.lock().unwrap().cancelled_at.insert(id.into(), Instant::now());
    }

    /// A user was told that a job is accepted.
    pub fn accepted(&self, id: &str) {
        self.inner.lock().unwrap().accepted_at.entry(id.into()).or_insert_with(Instant::now);
    }

    /// A user's question about a job was answered with what is known of it.
    pub fn answered(&self, id: &str) {
        self.inner.lock().unwrap().answered_at.insert(id.into(), Instant::now());
    }

    /// All troubles are over.
    pub fn calm(&self) {
        self.inner.lock().unwrap().faults_over_at = Some(Instant::now());
    }

    /// What is checked at the end of a day: jobs about which nothing was
    /// answered since the troubles ended, jobs that began too late or not at
    /// all, and teams of which less than half was begun.
    pub fn day_ends(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let mut broken = Vec::new();
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
