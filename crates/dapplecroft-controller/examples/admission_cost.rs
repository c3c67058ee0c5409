//! What admission control costs a controller: changes, bytes and processor time a
//! submission that is accepted, and processor time one that is refused. On stand-ins and
//! their stopped clock; the time is real. Not a part of CI.
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

const JOBS: usize = 2000;
/// Submissions at a time.
const BATCH: usize = 50;
/// The part of a core that a controller of the larger sites has.
const CORE_SHARE: f64 = 0.08;

/// Submits jobs at one controller; returns how many were accepted, and the seconds that
/// each took on the average.
async fn submit(o: &OverloadTest, from: usize) -> (usize, f64) {
    let begun = Instant::now();
    let mut accepted = 0;
    for batch in 0..JOBS / BATCH {
        let mut submissions = JoinSet::new();
        for n in 0..BATCH {
            let id = format!("run-{}", from + batch * BATCH + n);
            let node = o.cluster.node(0);
            let request = job_body(&id, "a", 1).to_string().into_bytes();
            submissions
                .spawn(async move { node.handle(&Method::POST, "/v2/runs", request.into()).await.status });
        }
        let statuses = submissions.join_all().await;
        accepted += statuses.iter().filter(|status| **status == 201).count();
    }
    (accepted, begun.elapsed().as_secs_f64() / JOBS as f64)
}

fn job_bytes(o: &OverloadTest) -> f64 {
    let sizes: Vec<usize> = o
        .cluster
        .state
        .keys("dc/j/")
        .iter()
        .map(|key| o.cluster.state.value(key).unwrap().to_string().len())
        .collect();
    sizes.iter().sum::<usize>() as f64 / sizes.len().max(1) as f64
}

async fn measure(name: &str, options: Options, in_force: bool) {
    let o = OverloadTest::start(3, 0, options).await;
    if in_force {
        o.until_credit_required().await;
        cluster::pause(5.0).await;
    }
    let before = o.cluster.state.changes();
    let (accepted, each) = submit(&o, 0).await;
    let changes = (o.cluster.state.changes() - before) as f64;
    println!(
        "{name}: {accepted} of {JOBS} accepted, {:.3} changes and {:.0} us for each submission, {:.0} bytes a record, \
         {:.0} submissions a second with {CORE_SHARE} of a core",
        changes / JOBS as f64,
        each * 1e6,
        job_bytes(&o),
        CORE_SHARE / each
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    measure("off", Options::default(), false).await;
    measure("below the limit", options_with_limit(JOBS as u64 * TASK_CPU_S * 20), true).await;
    measure("above the limit", options_with_limit(20 * TASK_CPU_S), true).await;
}
