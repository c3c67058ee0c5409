//! Demand is counted as distinct jobs, in bounded memory.

use dapplecroft_admission::demand::{DemandBook, KEPT, Sketch, WINDOW, job_hash};
use dapplecroft_admission::{Bucket, BucketDemand};
use std::time::{Duration, Instant};

fn bucket() -> Bucket {
    Bucket::new("vision", "train", false)
}

fn demand_of(book: &mut DemandBook, now: Instant) -> BucketDemand {
    book.demand(now).remove(&bucket()).unwrap_or_default()
}

#[test]
fn asking_again_adds_nothing_here_or_elsewhere() {
    let now = Instant::now();
    let (mut here, mut there) = (DemandBook::default(), DemandBook::default());
    for _ in 0..50 {
        for job in 0..10 {
            here.refused(&format!("run-{job}"), &bucket(), 7, now);
            there.refused(&format!("run-{job}"), &bucket(), 7, now);
        }
    }
    let mut all = demand_of(&mut here, now);
    all.merge(&demand_of(&mut there, now));
    assert_eq!((all.sketch.count(), all.sketch.work()), (10, 70));
}

#[test]
fn many_jobs_are_estimated_from_a_few() {
    let now = Instant::now();
    let mut book = DemandBook::default();
    (0..20_000).for_each(|job| book.refused(&format!("run-{job}"), &bucket(), 5, now));
    let demand = demand_of(&mut book, now);
    assert!(demand.sketch.parts().0.len() <= KEPT);
    let count = demand.sketch.count();
    assert!((12_000..30_000).contains(&count), "{count}");
}

#[test]
fn a_sketch_of_two_halves_is_that_of_the_whole() {
    let sketch = |jobs: std::ops::Range<u32>| {
        let mut sketch = Sketch::default();
        jobs.for_each(|job| sketch.add(job_hash(&format!("run-{job}")), 3));
        sketch
    };
    let (mut left, right, whole) = (sketch(0..500), sketch(400..1000), sketch(0..1000));
    left.merge(&right);
    assert_eq!(left, whole);
}

#[test]
fn what_is_accepted_or_no_longer_asked_for_is_not_wanted() {
    let now = Instant::now();
    let mut book = DemandBook::default();
    book.refused("run-1", &bucket(), 5, now);
    book.refused("run-2", &bucket(), 9, now);
    assert_eq!(demand_of(&mut book, now).largest.map(|job| job.id), Some("run-2".into()));
    book.accepted("run-2", &bucket());
    assert_eq!(demand_of(&mut book, now).sketch.work(), 5);
    assert!(book.demand(now + 2 * WINDOW + Duration::from_secs(1)).is_empty());
}
