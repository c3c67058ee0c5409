//! Who asks for how much. Demand is counted as distinct jobs and their work over a
//! window, never as tries: a job is known by the hash of its id, so asking again, here or
//! at another controller, adds nothing.
//!
//! Memory is bounded: of each bucket only the jobs with the smallest hashes are kept (a
//! bottom-k sketch, which can be merged). Up to [`SKETCH_CAPACITY`] jobs the demand is exact; beyond
//! that it is estimated from how densely the kept hashes lie, with a relative error of
//! about one over the square root of that number. Buckets beyond [`MAX_BUCKETS`] are not
//! kept: their jobs are refused like others and can be accepted from shared credit.

use crate::records::Bucket;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// The most jobs that are kept of a bucket.
pub const SKETCH_CAPACITY: usize = 48;
/// The most buckets that are kept.
pub const MAX_BUCKETS: usize = 512;
/// For how long a refused job counts as wanted, at least; at most twice as long. Whoever
/// still wants it has come back by then (see [`crate::retry`]).
pub const DEMAND_WINDOW: Duration = Duration::from_secs(15);

/// The hash of a job's id, the same at all controllers.
pub fn job_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// The jobs of a bucket with the smallest hashes, and what each is charged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sketch {
    jobs: BTreeMap<u64, u64>,
    /// Whether jobs with greater hashes have been left out.
    truncated: bool,
}

impl Sketch {
    /// Adds a job; again changes nothing.
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

    /// Removes a job.
    pub fn remove(&mut self, hash: u64) {
        self.jobs.remove(&hash);
    }

    /// Adds all jobs of another sketch of the same bucket. Only hashes below the lesser
    /// of both bounds are known of both.
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

    fn hash_bound(&self) -> Option<u64> {
        self.truncated.then(|| self.jobs.last_key_value().map_or(0, |(last, _)| *last))
    }

    /// By how much the kept jobs have to be multiplied.
    fn scale_factor(&self) -> f64 {
        let Some(hash_bound) = self.hash_bound() else { return 1.0 };
        // The greatest kept hash says how densely the others lie; it is not one of them.
        let others = self.jobs.len().saturating_sub(1) as f64;
        let density = (hash_bound as f64 / u64::MAX as f64).max(f64::MIN_POSITIVE);
        others / density / (self.jobs.len() as f64).max(1.0)
    }

    /// How many distinct jobs there are, about.
    pub fn count(&self) -> u64 {
        (self.jobs.len() as f64 * self.scale_factor()).round() as u64
    }

    /// Their work, about, in processor-seconds.
    pub fn work(&self) -> u64 {
        let kept: f64 = self.jobs.values().map(|charge| *charge as f64).sum();
        (kept * self.scale_factor()).round() as u64
    }

    /// Hashes and charges of the kept jobs, and whether others were left out.
    pub fn to_parts(&self) -> (Vec<u64>, Vec<u64>, bool) {
        (self.jobs.keys().copied().collect(), self.jobs.values().copied().collect(), self.truncated)
    }

    /// A sketch from its parts; more than are ever kept are left out.
    pub fn from_parts(hashes: &[u64], charges: &[u64], truncated: bool) -> Sketch {
        let mut sketch = Sketch::default();
        hashes.iter().zip(charges).for_each(|(hash, charge)| sketch.add(*hash, *charge));
        sketch.truncated |= truncated;
        sketch
    }
}

/// A refused job, as a candidate for a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingJob {
    /// Its id.
    pub id: String,
    /// What it is charged.
    pub charge: u64,
}

/// What is wanted of one bucket.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BucketDemand {
    /// The jobs that were refused.
    pub sketch: Sketch,
    /// The largest of them.
    pub largest: Option<WaitingJob>,
}

impl BucketDemand {
    /// Adds what another controller has seen of the same bucket.
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

/// The demand that one controller has seen and could not accept.
#[derive(Debug, Default)]
pub struct DemandTracker {
    current_window: DemandByBucket,
    previous_window: DemandByBucket,
    window_started: Option<Instant>,
}

impl DemandTracker {
    /// Notes that a job was refused for want of credit.
    pub fn record_refusal(&mut self, id: &str, bucket: &Bucket, charge: u64, now: Instant) {
        self.rotate_windows(now);
        if self.current_window.contains_key(bucket) || self.current_window.len() < MAX_BUCKETS {
            self.current_window.entry(bucket.clone()).or_default().add_job(id, charge);
        }
    }

    /// Notes that a job was accepted, here or elsewhere.
    pub fn record_acceptance(&mut self, id: &str, bucket: &Bucket) {
        for buckets in [&mut self.current_window, &mut self.previous_window] {
            if let Some(demand) = buckets.get_mut(bucket) {
                demand.remove_job(id);
            }
        }
    }

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

    /// What is wanted now.
    pub fn current_demand(&mut self, now: Instant) -> DemandByBucket {
        self.rotate_windows(now);
        let mut all = self.current_window.clone();
        for (bucket, demand) in &self.previous_window {
            all.entry(bucket.clone()).or_default().merge(demand);
        }
        all.retain(|_, demand| demand.sketch.count() > 0);
        all
    }

    /// The work that waits in a bucket.
    pub fn waiting_work(&mut self, bucket: &Bucket, now: Instant) -> u64 {
        self.rotate_windows(now);
        let work_in = |buckets: &DemandByBucket| buckets.get(bucket).map_or(0, |demand| demand.sketch.work());
        work_in(&self.current_window).max(work_in(&self.previous_window))
    }
}
