//! Measures what a large fleet costs a controller: time and memory to load all records of
//! the state service, and the time of one fleet step on each controller. The argument is the
//! number of machines (default: 4000). CI does not run it.
//!
//!     cargo run --release -p dapplecroft-controller --example fleet_cost -- 4000

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
#[path = "../tests/stories/cluster.rs"]
mod cluster;

use cluster::{Cluster, STATE, host};
use dapplecroft_controller::Options;
use dapplecroft_controller::core::Core;
use dapplecroft_fakes::WorkerTiming;
use dapplecroft_net::Outcome;
use dapplecroft_state::StateClient;
use std::time::{Duration, Instant};

const KIB: usize = 1024;
/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: usize = 4096;

/// Resident memory of this process, or 0 if it cannot be read.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Starts a cluster and one job whose tasks occupy every machine for an hour.
async fn busy_cluster(machines: usize) -> Cluster {
    let adjust = |timing: &mut WorkerTiming| {
        timing.runs.insert("run-1".into(), Duration::from_secs(3600));
    };
    let cluster = Cluster::with_options(machines, adjust, Options::default()).await;
    cluster.submit("run-1", "free", machines as u32, 16.0, "normal").await;
    cluster.until_running(machines).await;
    cluster
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let machines = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(4000);
    tokio::time::pause();
    let cluster = busy_cluster(machines).await;
    let leader = cluster.node(cluster.leader().unwrap());
    let client = StateClient::new(cluster.net.port("measure"), STATE.into(), 1e6, 1e6);
    let Outcome::Done((items, revision)) = client.list("dc/").await else {
        panic!("cannot list the records")
    };
    let record_bytes: usize = items.iter().map(|item| item.value.to_string().len()).sum();
    println!("{machines} machines: {} records, {} KiB", items.len(), record_bytes / KIB);

    let settings = leader.with(|core| core.settings.clone());
    let resident_before = resident_bytes();
    let started_at = Instant::now();
    let mut fresh_core = Core::new(settings, Options::default(), "fresh".into());
    fresh_core.load_snapshot(items, revision, started_at);
    println!("a new controller loads them in {:?}", started_at.elapsed());
    println!(
        "and its replica of the records takes about {} KiB",
        resident_bytes().saturating_sub(resident_before) / KIB
    );

    for n in 0..3 {
        let node = cluster.node(n);
        let now = tokio::time::Instant::now().into_std();
        let (shards, schedulable) = node.with(|core| {
            let summary = core.summary(now);
            (summary.shards, summary.schedulable_machines)
        });
        let started_at = Instant::now();
        node.with(|core| core.fleet_step(now));
        println!(
            "{}: {shards} shards, {schedulable} schedulable machines, a fleet step takes {:?}",
            host(n),
            started_at.elapsed()
        );
    }
}
