//! Accumulates credit for large jobs, one job per team at a time, so that thousands of small jobs do
//! not starve a large one. The accumulated credit is headroom that the leader does not grant. Once it
//! covers the job's charge, it becomes a reservation that any controller may spend for that job.

use super::{PlannerInput, floor_to_cpu_seconds};
use crate::demand::{BucketDemand, WaitingJob};
use crate::ledger::Ledger;
use crate::records::{Bucket, PolicyRecord, Reservation, ReservationsRecord};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A job is large if its charge is at least this many times the average charge in its bucket, or
/// exceeds the limit divided by [`LARGE_JOB_LIMIT_DIVISOR`].
const LARGE_JOB_FACTOR: u64 = 4;
/// See [`LARGE_JOB_FACTOR`].
const LARGE_JOB_LIMIT_DIVISOR: u64 = 32;
/// Accumulation for a job stops after this time, and an unspent reservation expires after it,
/// because the job's user has given up by then.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(90);
/// Fraction of a team's share that is accumulated for its pending reservation.
const ACCUMULATED_FRACTION: f64 = 0.5;
/// The charges of all jobs with a pending reservation, and likewise all reservations, total at most
/// the limit divided by this.
const MAX_RESERVED_DIVISOR: u64 = 2;

/// A job for which credit is being accumulated.
#[derive(Debug, Clone)]
struct PendingReservation {
    job: WaitingJob,
    bucket: Bucket,
    accumulated: f64,
    since: Instant,
}

/// The pending reservations, and the age of those that were granted.
#[derive(Debug, Default)]
pub(super) struct PendingReservations {
    /// The pending reservation of each team that has one.
    teams: BTreeMap<String, PendingReservation>,
    /// When this leader first saw each granted reservation, by job id.
    reserved_since: BTreeMap<String, Instant>,
    /// Jobs whose pending reservation was dropped, and when; they are not selected again until
    /// [`RESERVATION_TIMEOUT`] has passed.
    given_up: BTreeMap<String, Instant>,
}

fn is_large(job: &WaitingJob, demand: &BucketDemand, policy: &PolicyRecord) -> bool {
    let mean = demand.sketch.work() / demand.sketch.count().max(1);
    job.charge >= mean.saturating_mul(LARGE_JOB_FACTOR) || job.charge > policy.limit / LARGE_JOB_LIMIT_DIVISOR
}

impl PendingReservations {
    /// Drops pending reservations that timed out or whose job was accepted, and selects a large
    /// waiting job for each team without a pending reservation.
    pub(super) fn select_jobs(
        &mut self,
        ledger: &Ledger,
        demand: &BTreeMap<Bucket, BucketDemand>,
        policy: &PolicyRecord,
        now: Instant,
    ) {
        let within_timeout = |at: &Instant| now.saturating_duration_since(*at) < RESERVATION_TIMEOUT;
        self.given_up.retain(|_, at| within_timeout(at));
        let ended = |pending: &PendingReservation| {
            !within_timeout(&pending.since) || ledger.is_accepted(&pending.job.id)
        };
        let ended_teams: Vec<String> =
            self.teams.iter().filter(|(_, pending)| ended(pending)).map(|(team, _)| team.clone()).collect();
        for team in ended_teams {
            if let Some(pending) = self.teams.remove(&team) {
                self.given_up.insert(pending.job.id, now);
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
            let planned: u64 = self.teams.values().map(|pending| pending.job.charge).sum();
            if !known && planned + job.charge <= policy.limit / MAX_RESERVED_DIVISOR {
                let pending = PendingReservation {
                    job: job.clone(),
                    bucket: bucket.clone(),
                    accumulated: 0.0,
                    since: now,
                };
                self.teams.insert(bucket.team().to_string(), pending);
            }
        }
    }

    /// Drops all pending reservations; called when no submission is refused.
    pub(super) fn clear(&mut self) {
        self.teams.clear();
    }

    /// Total headroom that is withheld for pending reservations.
    pub(super) fn accumulated_total(&self) -> u64 {
        self.teams.values().map(|pending| floor_to_cpu_seconds(pending.accumulated)).sum()
    }

    /// What each pending reservation still lacks, by bucket.
    pub(super) fn shortfalls(&self) -> BTreeMap<Bucket, u64> {
        let shortfall = |pending: &PendingReservation| {
            floor_to_cpu_seconds(pending.job.charge as f64 - pending.accumulated + 1.0)
        };
        self.teams.values().map(|pending| (pending.bucket.clone(), shortfall(pending))).collect()
    }

    /// Accumulates a fraction of a team's share for its pending reservation; returns the amount.
    pub(super) fn accumulate(&mut self, team: &str, granted: f64) -> f64 {
        let Some(pending) = self.teams.get_mut(team) else { return 0.0 };
        let part =
            (granted * ACCUMULATED_FRACTION).min((pending.job.charge as f64 - pending.accumulated).max(0.0));
        pending.accumulated += part;
        part
    }

    /// Converts pending reservations that cover their job's charge into reservations. Returns the
    /// reservations record if it changes.
    pub(super) fn convert_to_reservations(
        &mut self,
        ledger: &Ledger,
        policy: &PolicyRecord,
        input: &PlannerInput,
    ) -> Option<ReservationsRecord> {
        let covered =
            |pending: &PendingReservation| floor_to_cpu_seconds(pending.accumulated) >= pending.job.charge;
        let covered_teams: Vec<String> =
            self.teams.iter().filter(|(_, pending)| covered(pending)).map(|(team, _)| team.clone()).collect();
        let mut record = ledger.reservations().0.clone();
        let reserved_total: u64 = record.jobs.values().map(|reservation| reservation.charge).sum();
        let mut spare = (policy.limit / MAX_RESERVED_DIVISOR).saturating_sub(reserved_total);
        let mut changed = false;
        for team in covered_teams {
            let Some(pending) = self.teams.get(&team).filter(|pending| pending.job.charge <= spare) else {
                continue;
            };
            spare -= pending.job.charge;
            let reservation = Reservation { bucket: pending.bucket.clone(), charge: pending.job.charge };
            record.jobs.insert(pending.job.id.clone(), reservation);
            self.reserved_since.insert(pending.job.id.clone(), input.now);
            self.teams.remove(&team);
            changed = true;
        }
        changed.then(|| self.drop_expired(record, ledger, input.now))
    }

    /// The reservations record without spent and expired reservations, if there are any to remove.
    pub(super) fn without_expired(&mut self, ledger: &Ledger, now: Instant) -> Option<ReservationsRecord> {
        let record = ledger.reservations().0.clone();
        let left = self.drop_expired(record.clone(), ledger, now);
        (left != record).then_some(left)
    }

    fn drop_expired(
        &mut self,
        mut record: ReservationsRecord,
        ledger: &Ledger,
        now: Instant,
    ) -> ReservationsRecord {
        self.reserved_since.retain(|id, _| record.jobs.contains_key(id));
        record.jobs.retain(|id, _| {
            let since = *self.reserved_since.entry(id.clone()).or_insert(now);
            !ledger.is_accepted(id) && now.saturating_duration_since(since) < RESERVATION_TIMEOUT
        });
        record
    }
}
