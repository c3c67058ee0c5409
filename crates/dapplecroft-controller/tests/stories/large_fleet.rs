//! A fleet of 4,000 machines, which no built-in limit of the controller may prevent.

use crate::cluster::{Cluster, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Limits, WorkerTiming};
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

const MACHINES: usize = 4000;
/// Number of tasks of a job that fills every machine with one task.
const TASKS: u32 = MACHINES as u32;

async fn start_with_all_machines_busy() -> Cluster {
    let adjust = |timing: &mut WorkerTiming| {
        timing.runs.insert("run-1".into(), Duration::from_secs(300));
    };
    let cluster = Cluster::with_options(MACHINES, adjust, Options::default()).await;
    cluster.submit("run-1", "free", TASKS, 16.0, "normal").await;
    cluster.until_running(MACHINES).await;
    cluster
}

/// Whether the schedulable machines of all running controllers add up to the whole fleet, so that
/// every machine is in a running controller's shard.
fn all_machines_are_schedulable(cluster: &Cluster) -> bool {
    let now = Instant::now().into_std();
    let schedulable = |n: usize| cluster.node(n).with(|core| core.summary(now).schedulable_machines);
    (0..cluster.nodes).filter(|n| cluster.is_up(*n)).map(schedulable).sum::<usize>() == MACHINES
}

async fn assert_all_tasks_ran_once(cluster: &Cluster) {
    cluster.until_stage("run-1", "done").await;
    let not_run_once = (0..TASKS).filter(|i| cluster.checker.starts(&format!("run-1/{i}")) != 1).count();
    assert_eq!(not_run_once, 0, "tasks that did not run exactly once");
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_job_on_4000_machines_survives_a_controller_restart_and_a_leader_change() {
    let cluster = start_with_all_machines_busy().await;
    assert!(
        cluster.state.largest_value() <= 8 * 1024,
        "largest value: {} bytes",
        cluster.state.largest_value()
    );
    let leader = cluster.leader().unwrap();
    let other = (leader + 1) % cluster.nodes;
    // A restarted process reads all records, which takes several pages.
    cluster.kill_node(other);
    cluster.start_node(other);
    cluster
        .until("the restarted controller has loaded all machines", || {
            cluster.node(other).with(|core| core.loaded && core.machines.len() == MACHINES)
        })
        .await;
    cluster.kill_node(leader);
    let started_at = Instant::now();
    cluster.until("another leader", || cluster.leader().is_some_and(|n| n != leader)).await;
    assert!(started_at.elapsed() < Duration::from_secs(10), "{:?}", started_at.elapsed());
    cluster.until("all machines are schedulable", || all_machines_are_schedulable(&cluster)).await;
    assert!(started_at.elapsed() < Duration::from_secs(25), "{:?}", started_at.elapsed());
    cluster.start_node(leader);
    assert_all_tasks_ran_once(&cluster).await;
}

#[tokio::test(start_paused = true)]
async fn one_controller_alone_holds_4000_machines() {
    let cluster = start_with_all_machines_busy().await;
    let leader = cluster.leader().unwrap();
    for n in (0..cluster.nodes).filter(|n| *n != leader) {
        cluster.kill_node(n);
    }
    cluster.until("all machines are schedulable", || all_machines_are_schedulable(&cluster)).await;
    let holders: BTreeSet<String> = cluster.shard_holders().into_values().collect();
    assert_eq!(holders, BTreeSet::from([host(leader)]));
    assert_all_tasks_ran_once(&cluster).await;
}

const SMALL_LIMITS: Limits = Limits { value: 2048, changes: 4, rate: 18.0 };

async fn start_with_small_limits(jobs: &[&str], tasks: u32) -> Cluster {
    let adjust = |timing: &mut WorkerTiming| {
        for id in jobs {
            timing.runs.insert(id.to_string(), Duration::from_secs(300));
        }
    };
    let lower_limits = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0});
    let cluster = Cluster::with_overrides(MACHINES, adjust, Options::default(), lower_limits, |_| {}).await;
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    cluster.state.limit(SMALL_LIMITS);
    for id in jobs {
        cluster.submit(id, "free", tasks, 16.0, "normal").await;
    }
    cluster
}

#[tokio::test(start_paused = true)]
async fn jobs_fill_4000_machines_within_the_smallest_limits_of_the_state_service() {
    let jobs = ["run-1", "run-2", "run-3", "run-4"];
    let cluster = start_with_small_limits(&jobs, TASKS / 4).await;
    cluster.until_running(MACHINES).await;
    let refused = cluster.state.refused();
    assert_eq!((refused.values, refused.transactions), (0, 0), "{refused:?}");
    cluster.assert_invariants_hold();
}

// A job's record lists the tasks allocated to each shard, so with values of 2 KiB one job cannot
// run on all machines at once. Each shard gets one contiguous range of tasks, which keeps the
// record small: with tasks allocated to the shards in turn, only 2,880 tasks ran.
#[tokio::test(start_paused = true)]
async fn one_job_runs_on_most_of_4000_machines_within_the_smallest_limits() {
    let cluster = start_with_small_limits(&["run-1"], TASKS).await;
    cluster.until("most tasks of the job run", || cluster.checker.on().len() >= 3300).await;
    // The remaining tasks start when these complete.
    pause(420.0).await;
    cluster.until_stage("run-1", "done").await;
    let not_run_once = (0..TASKS).filter(|i| cluster.checker.starts(&format!("run-1/{i}")) != 1).count();
    assert_eq!(not_run_once, 0, "tasks that did not run exactly once");
    cluster.assert_invariants_hold();
}
