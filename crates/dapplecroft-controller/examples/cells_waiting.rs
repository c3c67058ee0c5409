//! What spilling is worth: a full cell beside two idle ones, on stand-ins and their
//! stopped clock, with hand-overs and without. Not a part of CI.
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
const TASKS: u32 = 4;
const CPUS: f64 = 8.0;
const RUN_S: u64 = 60;
const EVERY: Duration = Duration::from_secs(5);

fn name(job: usize) -> String {
    format!("run-{}", 1000 + job)
}

async fn measure(offers: bool) {
    let names: Vec<String> = (0..JOBS).map(name).collect();
    let runs: Vec<(&str, u64)> = names.iter().map(|id| (id.as_str(), RUN_S)).collect();
    let adjust = |_: usize, raw: &mut dapplecroft_federation::settings::RawFederation| {
        raw.offers = Some(offers);
        raw.spill_after_s = Some(10.0);
    };
    let c = ThreeCells::start_adjusted([4, 12, 12], &runs, &adjust).await;
    let begun = Instant::now();
    let before: Vec<u64> = c.clusters.iter().map(|cell| cell.state.changes()).collect();
    let mut submitted = BTreeMap::new();
    for id in &names {
        submitted.insert(id.clone(), Instant::now());
        c.submit(0, id, TASKS, CPUS).await;
        sleep(EVERY).await;
    }
    while c.clusters.iter().any(|cell| !cell.referee.on().is_empty()) || !all_started(&c, &names) {
        sleep(Duration::from_secs(1)).await;
    }
    report(&c, offers, begun, &submitted, &before);
    assert_eq!(c.overlapping_stays(), Vec::<String>::new());
}

fn all_started(c: &ThreeCells, names: &[String]) -> bool {
    names.iter().all(|id| (0..TASKS).all(|i| c.start_count(&format!("{id}/{i}")) > 0))
}

fn report(
    c: &ThreeCells,
    offers: bool,
    begun: Instant,
    submitted: &BTreeMap<String, Instant>,
    before: &[u64],
) {
    let took = begun.elapsed().as_secs_f64();
    let mut waits: Vec<f64> = Vec::new();
    let mut busy = [0.0; 3];
    for (cell, cluster) in c.clusters.iter().enumerate() {
        for stay in cluster.referee.history() {
            let job = stay.task.split('/').next().unwrap();
            waits.push((stay.from - submitted[job]).as_secs_f64());
            busy[cell] += (stay.until.unwrap_or_else(Instant::now) - stay.from).as_secs_f64();
        }
    }
    waits.sort_by(f64::total_cmp);
    let at = |part: f64| waits[((waits.len() - 1) as f64 * part) as usize];
    let mean = waits.iter().sum::<f64>() / waits.len() as f64;
    println!("hand-overs {}: all done after {took:.0} s", if offers { "on" } else { "off" });
    println!(
        "  a task waits {mean:.0} s on the average, {:.0} s median, {:.0} s (95%), {:.0} s at most",
        at(0.5),
        at(0.95),
        at(1.0)
    );
    for (cell, cluster) in c.clusters.iter().enumerate() {
        let changes = (cluster.state.changes() - before[cell]) as f64;
        let visited = cluster.referee.history().len();
        println!(
            "  cell {cell}: {visited} tasks, {:.0} task-seconds, {:.2} changes a second of 25",
            busy[cell],
            changes / took
        );
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    measure(false).await;
    measure(true).await;
}
