//! What a large fleet costs a controller: processor time and memory for reading all
//! records, and for one step of each fleet loop. Not a part of CI.
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
const PAGE: usize = 4096;

/// Resident memory of this process.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * PAGE
}

async fn busy_cluster(machines: usize) -> Cluster {
    let adjust = |t: &mut WorkerTiming| {
        t.runs.insert("run-1".into(), Duration::from_secs(3600));
    };
    let c = Cluster::with_options(machines, adjust, Options::default()).await;
    c.submit("run-1", "free", machines as u32, 16.0, "normal").await;
    c.until_running(machines).await;
    c
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let machines = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(4000);
    tokio::time::pause();
    let c = busy_cluster(machines).await;
    let leader = c.node(c.leader().unwrap());
    let client = StateClient::new(c.net.port("measure"), STATE.into(), 1e6, 1e6);
    let Outcome::Done((items, revision)) = client.list("dc/").await else { panic!("no records") };
    let bytes: usize = items.iter().map(|item| item.value.to_string().len()).sum();
    println!("{machines} machines: {} records, {} KiB", items.len(), bytes / KIB);

    let settings = leader.with(|core| core.settings.clone());
    let before = resident_bytes();
    let begun = Instant::now();
    let mut fresh = Core::new(settings, Options::default(), "fresh".into());
    fresh.load_snapshot(items, revision, begun);
    println!("a fresh controller reads them in {:?}", begun.elapsed());
    println!("and holds them in about {} KiB", resident_bytes().saturating_sub(before) / KIB);

    for n in 0..3 {
        let node = c.node(n);
        let now = tokio::time::Instant::now().into_std();
        let (shards, open) = node.with(|core| {
            let summary = core.summary(now);
            (summary.shards, summary.schedulable_machines)
        });
        let begun = Instant::now();
        node.with(|core| core.fleet_step(now));
        println!("{}: {shards} blocks, {open} machines, a fleet step takes {:?}", host(n), begun.elapsed());
    }
}
