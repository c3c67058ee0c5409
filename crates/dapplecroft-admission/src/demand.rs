//! Demand for credit: the jobs that were refused, by bucket.
//!
//! Demand is counted as distinct jobs and their work over a time window, not as submission
//! attempts. A job is identified by the hash of its id, so a retry at the same or at another
//! controller adds nothing.
//!
//! Memory is bounded: for each bucket, only the jobs with the smallest hashes are kept (a bottom-k
//! sketch, which can be merged). Up to [`SKETCH_CAPACITY`] jobs the demand is exact; beyond that it
//! is estimated from the density of the kept hashes, with a relative error of about
//! `1 / sqrt(SKETCH_CAPACITY)`. A controller tracks at most [`MAX_BUCKETS`] buckets. Jobs of further
//! buckets are refused like others, but no credit is requested for them: they can only be accepted
//! from shared credit.

use crate::records::Bucket;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of jobs that are kept per bucket.
pub const SKETCH_CAPACITY: usize = 48;
/// Maximum number of buckets that a controller tracks per window.
pub const MAX_BUCKETS: usize = 512;
/// A refused job counts as demand for at least one window and at most two. Users who still want the
/// job have submitted it again by then, because no retry hint is longer (see [`crate::retry`]).
pub const DEMAND_WINDOW: Duration = Duration::from_secs(15);

/// The hash of a job's id, which is the same on all controllers.
pub fn job_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// A bottom-k sketch of a bucket's refused jobs: the jobs with the smallest hashes, and the charge
/// of each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sketch {
    jobs: BTreeMap<u64, u64>,
    /// Whether jobs with greater hashes were left out.
    truncated: bool,
}

impl Sketch {
    /// Adds a job. Adding the same job again changes nothing.
    pub fn add(&mut self, hash: u64, charge: u64) {
        if self.truncated && self.jobs.last_key_value().is_some_and(|(last, _)| hash > *last) {
            return;
        }
        self.jobs.insert(hash, charge);
        if self.jobs.len() > SKETCH_CAPACITY {
            self.jobs.pop_last();
            self.truncated = true;
        }
    }

    /// Removes the job with the given hash, if it is kept.
    pub fn remove(&mut self, hash: u64) {
        self.jobs.remove(&hash);
    }

    /// Adds all jobs of another sketch of the same bucket. A truncated sketch has no information
    /// above its largest kept hash, so the result is cut at the lower bound of the two sketches.
    pub fn merge(&mut self, other: &Sketch) {
        let hash_bound = [&*self, other].into_iter().filter_map(Sketch::hash_bound).min();
        other.jobs.iter().for_each(|(hash, charge)| {
            self.jobs.insert(*hash, *charge);
        });
        if let Some(hash_bound) = hash_bound {
            self.jobs.split_off(&(hash_bound.saturating_add(1)));
            self.truncated = true;
        }
        while self.jobs.len() > SKETCH_CAPACITY {
            self.jobs.pop_last();
            self.truncated = true;
        }
    }

    /// The hash above which jobs were left out; `None` if the sketch holds all jobs.
    fn hash_bound(&self) -> Option<u64> {
        self.truncated.then(|| self.jobs.last_key_value().map_or(0, |(last, _)| *last))
    }

    /// The factor by which counts and sums over the kept jobs are extrapolated to all jobs.
    fn scale_factor(&self) -> f64 {
        let Some(hash_bound) = self.hash_bound() else { return 1.0 };
        // The greatest kept hash is the bound from which the density is estimated, so it does not
        // count as one of the jobs below the bound.
        let others = self.jobs.len().saturating_sub(1) as f64;
        let density = (hash_bound as f64 / u64::MAX as f64).max(f64::MIN_POSITIVE);
        others / density / (self.jobs.len() as f64).max(1.0)
    }

    /// Estimated number of distinct jobs.
    pub fn count(&self) -> u64 {
        (self.jobs.len() as f64 * self.scale_factor()).round() as u64
    }

    /// Estimated total charge of the jobs, in processor-seconds.
    pub fn work(&self) -> u64 {
        let kept: f64 = self.jobs.values().map(|charge| *charge as f64).sum();
        (kept * self.scale_factor()).round() as u64
    }

    /// Hashes and charges of the kept jobs, and whether other jobs were left out.
    pub fn to_parts(&self) -> (Vec<u64>, Vec<u64>, bool) {
        (self.jobs.keys().copied().collect(), self.jobs.values().copied().collect(), self.truncated)
    }

    /// Builds a sketch from its parts. Jobs beyond [`SKETCH_CAPACITY`] are left out.
    pub fn from_parts(hashes: &[u64], charges: &[u64], truncated: bool) -> Sketch {
        let mut sketch = Sketch::default();
        hashes.iter().zip(charges).for_each(|(hash, charge)| sketch.add(*hash, *charge));
        sketch.truncated |= truncated;
        sketch
    }
}

/// A refused job that is a candidate for a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingJob {
    /// Id of the job.
    pub id: String,
    /// Charge of the job, in processor-seconds.
    pub charge: u64,
}

/// The demand for credit of one bucket.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BucketDemand {
    /// The refused jobs.
    pub sketch: Sketch,
    /// The refused job with the largest charge.
    pub largest: Option<WaitingJob>,
}

impl BucketDemand {
    /// Adds the demand that another controller has seen for the same bucket.
    pub fn merge(&mut self, other: &BucketDemand) {
        self.sketch.merge(&other.sketch);
        let charge = |job: &Option<WaitingJob>| job.as_ref().map_or(0, |job| job.charge);
        if charge(&other.largest) > charge(&self.largest) {
            self.largest.clone_from(&other.largest);
        }
    }

    fn add_job(&mut self, id: &str, charge: u64) {
        self.sketch.add(job_hash(id), charge);
        if self.largest.as_ref().is_none_or(|largest| charge > largest.charge) {
            self.largest = Some(WaitingJob { id: id.to_string(), charge });
        }
    }

    fn remove_job(&mut self, id: &str) {
        self.sketch.remove(job_hash(id));
        if self.largest.as_ref().is_some_and(|largest| largest.id == id) {
            self.largest = None;
        }
    }
}

type DemandByBucket = BTreeMap<Bucket, BucketDemand>;

/// Tracks the jobs that one controller refused for want of credit.
#[derive(Debug, Default)]
pub struct DemandTracker {
    current_window: DemandByBucket,
    previous_window: DemandByBucket,
    window_started: Option<Instant>,
}

impl DemandTracker {
    /// Records that a job was refused for want of credit.
    pub fn record_refusal(&mut self, id: &str, bucket: &Bucket, charge: u64, now: Instant) {
        self.rotate_windows(now);
        if self.current_window.contains_key(bucket) || self.current_window.len() < MAX_BUCKETS {
            self.current_window.entry(bucket.clone()).or_default().add_job(id, charge);
        }
    }

    /// Records that a job was accepted, by this or another controller.
    pub fn record_acceptance(&mut self, id: &str, bucket: &Bucket) {
        for buckets in [&mut self.current_window, &mut self.previous_window] {
            if let Some(demand) = buckets.get_mut(bucket) {
                demand.remove_job(id);
            }
        }
    }

    /// Starts a new window if the current one is over, and forgets jobs of windows before that.
    fn rotate_windows(&mut self, now: Instant) {
        let age = self.window_started.map(|at| now.saturating_duration_since(at));
        if age.is_none_or(|age| age >= DEMAND_WINDOW) {
            self.previous_window = std::mem::take(&mut self.current_window);
            if age.is_none_or(|age| age >= 2 * DEMAND_WINDOW) {
                self.previous_window.clear();
            }
            self.window_started = Some(now);
        }
    }

    /// The demand in the current and the previous window, by bucket.
    pub fn current_demand(&mut self, now: Instant) -> DemandByBucket {
        self.rotate_windows(now);
        let mut all = self.current_window.clone();
        for (bucket, demand) in &self.previous_window {
            all.entry(bucket.clone()).or_default().merge(demand);
        }
        all.retain(|_, demand| demand.sketch.count() > 0);
        all
    }

    /// The work that waits for credit in a bucket, in processor-seconds.
    pub fn waiting_work(&mut self, bucket: &Bucket, now: Instant) -> u64 {
        self.rotate_windows(now);
        let work_in = |buckets: &DemandByBucket| buckets.get(bucket).map_or(0, |demand| demand.sketch.work());
        work_in(&self.current_window).max(work_in(&self.previous_window))
    }
}
