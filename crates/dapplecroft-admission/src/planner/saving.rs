//! Saving up for large jobs: one a team at a time, by its id, so that thousands of small
//! ones do not starve it. What is saved is room that the leader does not grant; once it
//! covers the job, it becomes a reservation that any controller may spend for that job.

use super::{PlannerInput, as_units};
use crate::demand::{BucketDemand, WaitingJob};
use crate::ledger::Ledger;
use crate::records::{Bucket, PolicyRecord, Reservation, ReservationsRecord};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A job is large if it is charged so many times what others of its bucket are on the
/// average, or more than this part of the limit.
const LARGE: u64 = 4;
const LARGE_PART: u64 = 32;
/// Saving for a job ends after so long, and so does a reservation that is not used: its
/// user has given up by then.
const PATIENCE: Duration = Duration::from_secs(90);
/// The part of what its team gets that is saved up.
const SAVED_PART: f64 = 0.5;
/// All that is saved and reserved is at most this part of the limit.
const MOST: u64 = 2;

/// A job that is saved up for.
#[derive(Debug, Clone)]
struct Saving {
    job: WaitingJob,
    bucket: Bucket,
    saved: f64,
    since: Instant,
}

/// What is saved up, by team.
#[derive(Debug, Default)]
pub(super) struct Savings {
    teams: BTreeMap<String, Saving>,
    reserved: BTreeMap<String, Instant>,
    /// Jobs that were saved up for in vain, not to be chosen again at once.
    given_up: BTreeMap<String, Instant>,
}

fn is_large(job: &WaitingJob, demand: &BucketDemand, policy: &PolicyRecord) -> bool {
    let mean = demand.sketch.work() / demand.sketch.count().max(1);
    job.charge >= mean.saturating_mul(LARGE) || job.charge > policy.limit / LARGE_PART
}

impl Savings {
    /// Chooses a large job for each team that has one waiting and none chosen.
    pub(super) fn choose(
        &mut self,
        ledger: &Ledger,
        demand: &BTreeMap<Bucket, BucketDemand>,
        policy: &PolicyRecord,
        now: Instant,
    ) {
        let young = |at: &Instant| now.saturating_duration_since(*at) < PATIENCE;
        self.given_up.retain(|_, at| young(at));
        let ended = |saving: &Saving| !young(&saving.since) || ledger.is_accepted(&saving.job.id);
        let over: Vec<String> =
            self.teams.iter().filter(|(_, saving)| ended(saving)).map(|(team, _)| team.clone()).collect();
        for team in over {
            if let Some(saving) = self.teams.remove(&team) {
                self.given_up.insert(saving.job.id, now);
            }
        }
        let mut urgent_first: Vec<(&Bucket, &BucketDemand)> = demand.iter().collect();
        urgent_first.sort_by_key(|(bucket, _)| !bucket.is_urgent());
        for (bucket, wanted) in urgent_first {
            let Some(job) = wanted.largest.as_ref().filter(|job| is_large(job, wanted, policy)) else {
                continue;
            };
            let known = self.teams.contains_key(bucket.team())
                || self.given_up.contains_key(&job.id)
                || ledger.reservations().0.jobs.contains_key(&job.id);
            let planned: u64 = self.teams.values().map(|saving| saving.job.charge).sum();
            if !known && planned + job.charge <= policy.limit / MOST {
                let saving = Saving { job: job.clone(), bucket: bucket.clone(), saved: 0.0, since: now };
                self.teams.insert(bucket.team().to_string(), saving);
            }
        }
    }

    /// Nothing is refused: nothing need be saved.
    pub(super) fn clear(&mut self) {
        self.teams.clear();
    }

    /// Room that is kept back.
    pub(super) fn saved(&self) -> u64 {
        self.teams.values().map(|saving| as_units(saving.saved)).sum()
    }

    /// What is still missing for the jobs that are saved up for.
    pub(super) fn missing(&self) -> BTreeMap<Bucket, u64> {
        let missing = |saving: &Saving| as_units(saving.job.charge as f64 - saving.saved + 1.0);
        self.teams.values().map(|saving| (saving.bucket.clone(), missing(saving))).collect()
    }

    /// Saves a part of what a team gets; returns how much.
    pub(super) fn save(&mut self, team: &str, granted: f64) -> f64 {
        let Some(saving) = self.teams.get_mut(team) else { return 0.0 };
        let part = (granted * SAVED_PART).min((saving.job.charge as f64 - saving.saved).max(0.0));
        saving.saved += part;
        part
    }

    /// Turns what is saved into reservations, where it covers the job.
    pub(super) fn reserve(
        &mut self,
        ledger: &Ledger,
        policy: &PolicyRecord,
        input: &PlannerInput,
    ) -> Option<ReservationsRecord> {
        let covered = |saving: &Saving| as_units(saving.saved) >= saving.job.charge;
        let ready: Vec<String> =
            self.teams.iter().filter(|(_, saving)| covered(saving)).map(|(team, _)| team.clone()).collect();
        let mut record = ledger.reservations().0.clone();
        let reserved: u64 = record.jobs.values().map(|reservation| reservation.charge).sum();
        let mut spare = (policy.limit / MOST).saturating_sub(reserved);
        let mut changed = false;
        for team in ready {
            let Some(saving) = self.teams.get(&team).filter(|saving| saving.job.charge <= spare) else {
                continue;
            };
            spare -= saving.job.charge;
            let reservation = Reservation { bucket: saving.bucket.clone(), charge: saving.job.charge };
            record.jobs.insert(saving.job.id.clone(), reservation);
            self.reserved.insert(saving.job.id.clone(), input.now);
            self.teams.remove(&team);
            changed = true;
        }
        changed.then(|| self.retained(record, ledger, input.now))
    }

    /// The reservations without those that were spent or never will be, if there are any.
    pub(super) fn without_expired(&mut self, ledger: &Ledger, now: Instant) -> Option<ReservationsRecord> {
        let record = ledger.reservations().0.clone();
        let left = self.retained(record.clone(), ledger, now);
        (left != record).then_some(left)
    }

    fn retained(
        &mut self,
        mut record: ReservationsRecord,
        ledger: &Ledger,
        now: Instant,
    ) -> ReservationsRecord {
        self.reserved.retain(|id, _| record.jobs.contains_key(id));
        record.jobs.retain(|id, _| {
            let since = *self.reserved.entry(id.clone()).or_insert(now);
            !ledger.is_accepted(id) && now.saturating_duration_since(since) < PATIENCE
        });
        record
    }
}
