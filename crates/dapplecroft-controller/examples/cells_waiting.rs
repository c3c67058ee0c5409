//! Measures the benefit of handing jobs over to other cells: how long tasks wait in a full
//! cell beside two idle ones, without and with hand-overs. It runs on the in-memory
//! stand-ins and their paused clock. CI does not run it.
//!
//!     cargo run --release -p dapplecroft-controller --example cells_waiting

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
#[path = "../tests/stories/cells.rs"]
mod cells;
#[allow(dead_code)]
#[path = "../tests/stories/cluster.rs"]
mod cluster;

use cells::ThreeCells;
use std::collections::BTreeMap;
use tokio::time::{Duration, Instant, sleep};

const JOBS: usize = 60;
const TASKS_PER_JOB: u32 = 4;
const CPUS_PER_TASK: f64 = 8.0;
const TASK_RUNTIME_S: u64 = 60;
const SUBMISSION_INTERVAL: Duration = Duration::from_secs(5);

/// ID of the `job`-th job.
fn job_id(job: usize) -> String {
    format!("run-{}", 1000 + job)
}

/// Submits all jobs to the first cell, waits until every task has run, and prints the
/// result. `offers`: whether cells offer each other jobs.
async fn measure(offers: bool) {
    let job_ids: Vec<String> = (0..JOBS).map(job_id).collect();
    let runs: Vec<(&str, u64)> = job_ids.iter().map(|id| (id.as_str(), TASK_RUNTIME_S)).collect();
    let adjust = |_: usize, raw: &mut dapplecroft_federation::settings::RawFederationSettings| {
        raw.offers = Some(offers);
        raw.spill_after_s = Some(10.0);
    };
    let three_cells = ThreeCells::start_adjusted([4, 12, 12], &runs, &adjust).await;
    let started_at = Instant::now();
    let changes_before: Vec<u64> = three_cells.clusters.iter().map(|cell| cell.state.changes()).collect();
    let mut submitted = BTreeMap::new();
    for id in &job_ids {
        submitted.insert(id.clone(), Instant::now());
        three_cells.submit(0, id, TASKS_PER_JOB, CPUS_PER_TASK).await;
        sleep(SUBMISSION_INTERVAL).await;
    }
    while three_cells.clusters.iter().any(|cell| !cell.checker.on().is_empty())
        || !all_started(&three_cells, &job_ids)
    {
        sleep(Duration::from_secs(1)).await;
    }
    report(&three_cells, offers, started_at, &submitted, &changes_before);
    assert_eq!(three_cells.overlapping_stays(), Vec::<String>::new());
}

/// Whether every task of the jobs has started at least once, in any cell.
fn all_started(three_cells: &ThreeCells, job_ids: &[String]) -> bool {
    job_ids.iter().all(|id| (0..TASKS_PER_JOB).all(|i| three_cells.start_count(&format!("{id}/{i}")) > 0))
}

/// Prints the waiting times of the tasks, and the load and state service changes of each cell.
fn report(
    three_cells: &ThreeCells,
    offers: bool,
    started_at: Instant,
    submitted: &BTreeMap<String, Instant>,
    changes_before: &[u64],
) {
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let mut waits_s: Vec<f64> = Vec::new();
    let mut task_seconds = [0.0; 3];
    for (cell, cluster) in three_cells.clusters.iter().enumerate() {
        for stay in cluster.checker.history() {
            let job = stay.task.split('/').next().unwrap();
            waits_s.push((stay.from - submitted[job]).as_secs_f64());
            task_seconds[cell] += (stay.until.unwrap_or_else(Instant::now) - stay.from).as_secs_f64();
        }
    }
    waits_s.sort_by(f64::total_cmp);
    let quantile = |part: f64| waits_s[((waits_s.len() - 1) as f64 * part) as usize];
    let mean_wait_s = waits_s.iter().sum::<f64>() / waits_s.len() as f64;
    println!("hand-overs {}: all tasks done after {elapsed_s:.0} s", if offers { "on" } else { "off" });
    println!(
        "  wait per task: {mean_wait_s:.0} s mean, {:.0} s median, {:.0} s 95th percentile, {:.0} s maximum",
        quantile(0.5),
        quantile(0.95),
        quantile(1.0)
    );
    for (cell, cluster) in three_cells.clusters.iter().enumerate() {
        let changes = (cluster.state.changes() - changes_before[cell]) as f64;
        let tasks_run = cluster.checker.history().len();
        println!(
            "  cell {cell}: {tasks_run} tasks, {:.0} task-seconds, {:.2} changes per second of 25 allowed",
            task_seconds[cell],
            changes / elapsed_s
        );
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    measure(false).await;
    measure(true).await;
}
