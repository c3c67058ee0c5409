//! Measures what admission control costs a controller: state service changes, bytes and
//! CPU time per accepted submission, and CPU time per refused one. It runs on the in-memory
//! stand-ins and their paused clock; the CPU time is real. CI does not run it.
//!
//!     cargo run --release -p dapplecroft-controller --example admission_cost

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
#[path = "../tests/stories/cluster.rs"]
mod cluster;
#[allow(dead_code)]
#[path = "../tests/stories/credit_checker.rs"]
mod credit_checker;
#[allow(dead_code)]
#[path = "../tests/stories/overload.rs"]
mod overload;

use dapplecroft_controller::Options;
use http::Method;
use overload::{OverloadTest, TASK_CPU_S, job_body, options_with_limit};
use std::time::Instant;
use tokio::task::JoinSet;

/// Number of submissions per measurement.
const SUBMISSIONS: usize = 2000;
/// Number of submissions in flight at the same time.
const BATCH_SIZE: usize = 50;
/// Fraction of a CPU core that a controller has on the larger sites.
const CORE_SHARE: f64 = 0.08;

/// Submits jobs to one controller. Returns how many were accepted, and the mean real time
/// per submission in seconds.
async fn submit_jobs(overload: &OverloadTest, first_job: usize) -> (usize, f64) {
    let started_at = Instant::now();
    let mut accepted = 0;
    for batch in 0..SUBMISSIONS / BATCH_SIZE {
        let mut submissions = JoinSet::new();
        for n in 0..BATCH_SIZE {
            let id = format!("run-{}", first_job + batch * BATCH_SIZE + n);
            let node = overload.cluster.node(0);
            let request = job_body(&id, "a", 1).to_string().into_bytes();
            submissions
                .spawn(async move { node.handle(&Method::POST, "/v2/runs", request.into()).await.status });
        }
        let statuses = submissions.join_all().await;
        accepted += statuses.iter().filter(|status| **status == 201).count();
    }
    (accepted, started_at.elapsed().as_secs_f64() / SUBMISSIONS as f64)
}

/// Mean size of the job records in the state service.
fn mean_job_record_bytes(overload: &OverloadTest) -> f64 {
    let sizes: Vec<usize> = overload
        .cluster
        .state
        .keys("dc/j/")
        .iter()
        .map(|key| overload.cluster.state.value(key).unwrap().to_string().len())
        .collect();
    sizes.iter().sum::<usize>() as f64 / sizes.len().max(1) as f64
}

/// Measures one configuration and prints the result. `in_force`: whether to wait until
/// the admission limit is in force.
async fn measure(name: &str, options: Options, in_force: bool) {
    let overload = OverloadTest::start(3, 0, options).await;
    if in_force {
        overload.until_credit_required().await;
        cluster::pause(5.0).await;
    }
    let changes_before = overload.cluster.state.changes();
    let (accepted, seconds_per_submission) = submit_jobs(&overload, 0).await;
    let changes = (overload.cluster.state.changes() - changes_before) as f64;
    println!(
        "{name}: {accepted} of {SUBMISSIONS} accepted, {:.3} changes and {:.0} us per submission, \
         {:.0} bytes per record, {:.0} submissions per second with {CORE_SHARE} of a core",
        changes / SUBMISSIONS as f64,
        seconds_per_submission * 1e6,
        mean_job_record_bytes(&overload),
        CORE_SHARE / seconds_per_submission
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    measure("off", Options::default(), false).await;
    measure("below the limit", options_with_limit(SUBMISSIONS as u64 * TASK_CPU_S * 20), true).await;
    measure("above the limit", options_with_limit(20 * TASK_CPU_S), true).await;
}
