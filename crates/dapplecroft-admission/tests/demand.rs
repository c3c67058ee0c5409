//! Demand is counted as distinct jobs, not as submission attempts, and in bounded memory.

use dapplecroft_admission::demand::{DEMAND_WINDOW, DemandTracker, SKETCH_CAPACITY, Sketch, job_hash};
use dapplecroft_admission::{Bucket, BucketDemand};
use std::time::{Duration, Instant};

fn bucket() -> Bucket {
    Bucket::new("vision", "train", false)
}

fn demand_of(tracker: &mut DemandTracker, now: Instant) -> BucketDemand {
    tracker.current_demand(now).remove(&bucket()).unwrap_or_default()
}

/// Guards against demand that grows with every retry of the same jobs, at the same controller or at
/// another one.
#[test]
fn repeated_refusals_count_once_across_controllers() {
    let now = Instant::now();
    let (mut here, mut there) = (DemandTracker::default(), DemandTracker::default());
    for _ in 0..50 {
        for job in 0..10 {
            here.record_refusal(&format!("run-{job}"), &bucket(), 7, now);
            there.record_refusal(&format!("run-{job}"), &bucket(), 7, now);
        }
    }
    let mut all = demand_of(&mut here, now);
    all.merge(&demand_of(&mut there, now));
    assert_eq!((all.sketch.count(), all.sketch.work()), (10, 70));
}

/// Guards against memory that grows with the number of refused jobs, and against an estimate that is
/// far from the true number (20,000 here) once most jobs have been left out.
#[test]
fn large_demand_is_estimated_from_a_bounded_sketch() {
    let now = Instant::now();
    let mut tracker = DemandTracker::default();
    (0..20_000).for_each(|job| tracker.record_refusal(&format!("run-{job}"), &bucket(), 5, now));
    let demand = demand_of(&mut tracker, now);
    assert!(demand.sketch.to_parts().0.len() <= SKETCH_CAPACITY);
    let count = demand.sketch.count();
    assert!((12_000..30_000).contains(&count), "{count}");
}

/// Guards against jobs that are counted twice or lost when the leader merges the sketches of
/// controllers that refused some of the same jobs.
#[test]
fn merged_overlapping_sketches_equal_the_sketch_of_all_jobs() {
    let sketch = |jobs: std::ops::Range<u32>| {
        let mut sketch = Sketch::default();
        jobs.for_each(|job| sketch.add(job_hash(&format!("run-{job}")), 3));
        sketch
    };
    let (mut left, right, whole) = (sketch(0..500), sketch(400..1000), sketch(0..1000));
    left.merge(&right);
    assert_eq!(left, whole);
}

/// Guards against credit being granted for jobs that were accepted in the meantime, or whose users
/// stopped submitting them.
#[test]
fn accepted_and_expired_jobs_leave_the_demand() {
    let now = Instant::now();
    let mut tracker = DemandTracker::default();
    tracker.record_refusal("run-1", &bucket(), 5, now);
    tracker.record_refusal("run-2", &bucket(), 9, now);
    assert_eq!(demand_of(&mut tracker, now).largest.map(|job| job.id), Some("run-2".into()));
    tracker.record_acceptance("run-2", &bucket());
    assert_eq!(demand_of(&mut tracker, now).sketch.work(), 5);
    assert!(tracker.current_demand(now + 2 * DEMAND_WINDOW + Duration::from_secs(1)).is_empty());
}
