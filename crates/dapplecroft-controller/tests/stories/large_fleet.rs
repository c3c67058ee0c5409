//! A fleet of 4,000 machines: no limit of the program may stand below it.

use crate::cluster::{Cluster, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Limits, WorkerTiming};
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

const MACHINES: usize = 4000;
/// Tasks of the job that takes every machine.
const TASKS: u32 = MACHINES as u32;

async fn running() -> Cluster {
    let adjust = |t: &mut WorkerTiming| {
        t.runs.insert("run-1".into(), Duration::from_secs(300));
    };
    let c = Cluster::with_options(MACHINES, adjust, Options::default()).await;
    c.submit("run-1", "free", TASKS, 16.0, "normal").await;
    c.until_running(MACHINES).await;
    c
}

/// Every machine is in exactly one live controller's shards and takes work there.
fn all_machines_are_open(c: &Cluster) -> bool {
    let now = Instant::now().into_std();
    let open = |n: usize| c.node(n).with(|core| core.summary(now).schedulable_machines);
    (0..c.nodes).filter(|n| c.is_up(*n)).map(open).sum::<usize>() == MACHINES
}

async fn assert_all_done_once(c: &Cluster) {
    c.until_stage("run-1", "done").await;
    let again = (0..TASKS).filter(|i| c.checker.starts(&format!("run-1/{i}")) != 1).count();
    assert_eq!(again, 0, "tasks that did not run exactly once");
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn all_of_4000_machines_are_rented_run_a_job_and_outlive_a_change_of_leader() {
    let c = running().await;
    assert!(c.state.largest_value() <= 8 * 1024, "a value of {}", c.state.largest_value());
    let leader = c.leader().unwrap();
    let other = (leader + 1) % c.nodes;
    // A fresh process has to read every record, which takes several pages.
    c.kill_node(other);
    c.start_node(other);
    c.until("the fresh controller knows all", || {
        c.node(other).with(|core| core.loaded && core.machines.len() == MACHINES)
    })
    .await;
    c.kill_node(leader);
    let begun = Instant::now();
    c.until("another leader", || c.leader().is_some_and(|n| n != leader)).await;
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
    c.until("all machines are held", || all_machines_are_open(&c)).await;
    assert!(begun.elapsed() < Duration::from_secs(25), "{:?}", begun.elapsed());
    c.start_node(leader);
    assert_all_done_once(&c).await;
}

#[tokio::test(start_paused = true)]
async fn one_controller_alone_holds_4000_machines() {
    let c = running().await;
    let leader = c.leader().unwrap();
    for n in (0..c.nodes).filter(|n| *n != leader) {
        c.kill_node(n);
    }
    c.until("all machines are held", || all_machines_are_open(&c)).await;
    let holders: BTreeSet<String> = c.shard_holders().into_values().collect();
    assert_eq!(holders, BTreeSet::from([host(leader)]));
    assert_all_done_once(&c).await;
}

const SMALL: Limits = Limits { value: 2048, changes: 4, rate: 18.0 };

async fn with_small_limits(jobs: &[&str], tasks: u32) -> Cluster {
    let adjust = |t: &mut WorkerTiming| {
        for id in jobs {
            t.runs.insert(id.to_string(), Duration::from_secs(300));
        }
    };
    let next = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0});
    let c = Cluster::with_overrides(MACHINES, adjust, Options::default(), next, |_| {}).await;
    c.until("the switch", || c.is_switched()).await;
    c.state.limit(SMALL);
    for id in jobs {
        c.submit(id, "free", tasks, 16.0, "normal").await;
    }
    c
}

#[tokio::test(start_paused = true)]
async fn jobs_fill_4000_machines_within_the_smallest_limits_of_the_state_service() {
    let jobs = ["run-1", "run-2", "run-3", "run-4"];
    let c = with_small_limits(&jobs, TASKS / 4).await;
    c.until_running(MACHINES).await;
    let refused = c.state.refused();
    assert_eq!((refused.values, refused.transactions), (0, 0), "{refused:?}");
    c.assert_invariants_hold();
}

// A job's record names each shard that runs some of it, so with values of 2 KiB one
// job does not run on all machines at once. Its tasks are allocated to each shard in
// one range; by turns, as they came, it ran 2,880 of them.
#[tokio::test(start_paused = true)]
async fn one_job_runs_on_most_of_4000_machines_within_the_smallest_limits() {
    let c = with_small_limits(&["run-1"], TASKS).await;
    c.until("most of its tasks run", || c.checker.on().len() >= 3300).await;
    // The others begin when those end.
    pause(420.0).await;
    c.until_stage("run-1", "done").await;
    let again = (0..TASKS).filter(|i| c.checker.starts(&format!("run-1/{i}")) != 1).count();
    assert_eq!(again, 0, "tasks that did not run exactly once");
    c.assert_invariants_hold();
}
