//! Restarts of all controllers in a cluster with many shards: each machine is a shard of its own.

use crate::cluster::{Cluster, STATE, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use std::collections::BTreeMap;
use std::time::Duration;

const MACHINES: usize = 12;

/// Starts a cluster in which each machine runs one task of run-1, for so many seconds.
async fn fully_loaded_cluster(seconds: u64) -> Cluster {
    let options = Options { shard_machines: Some(1), ..Options::default() };
    let adjust = |timing: &mut dapplecroft_fakes::WorkerTiming| {
        timing.runs.insert("run-1".into(), Duration::from_secs(seconds));
    };
    let cluster = Cluster::with_options(MACHINES, adjust, options).await;
    cluster.submit("run-1", "free", MACHINES as u32, 16.0, "normal").await;
    cluster.until_running(MACHINES).await;
    cluster
}

fn kill_all(cluster: &Cluster) {
    (0..3).for_each(|n| cluster.kill_node(n));
}

/// Waits until run-1 is done and asserts that each of its tasks was started once.
async fn assert_each_task_started_once(cluster: &Cluster) {
    cluster.until_stage("run-1", "done").await;
    for i in 0..MACHINES {
        assert_eq!(cluster.checker.starts(&format!("run-1/{i}")), 1, "task {i}");
    }
    cluster.assert_recovers(&["run-1"]).await;
}

/// Number of shards that each of these controllers holds by its own view.
fn held_shards(cluster: &Cluster, nodes: &[usize]) -> BTreeMap<usize, usize> {
    nodes.iter().map(|n| (*n, cluster.node(*n).with(|core| core.role.leased_shards.len()))).collect()
}

// After all controllers were killed, the first one to restart leased all shards of a large fleet. The
// workers' heartbeats overloaded it, so that it lost its lease and all shards again.
#[tokio::test(start_paused = true)]
async fn the_first_controller_restarted_leases_only_its_share_of_shards() {
    let cluster = fully_loaded_cluster(60).await;
    let shards = cluster.shard_holders().len();
    kill_all(&cluster);
    pause(6.0).await;
    cluster.start_node(1);
    cluster.until("a leader", || cluster.leader() == Some(1)).await;
    pause(1.5).await;
    assert!(
        held_shards(&cluster, &[1])[&1] <= shards.div_ceil(3),
        "{:?} of {shards}",
        held_shards(&cluster, &[1])
    );
    cluster.start_node(0);
    cluster.start_node(2);
    cluster
        .until("all shards are held", || held_shards(&cluster, &[0, 1, 2]).values().sum::<usize>() == shards)
        .await;
    let epochs = |cluster: &Cluster| -> Vec<u64> {
        cluster.state.keys("dc/b/").iter().filter_map(|k| cluster.state.value(k)?["epoch"].as_u64()).collect()
    };
    // No shard was leased a second time: the epoch of each is the new leader's term.
    let term = epochs(&cluster).into_iter().max().unwrap();
    assert!(epochs(&cluster).iter().all(|e| *e == term), "{:?}", epochs(&cluster));
    assert_each_task_started_once(&cluster).await;
}

// A controller that restarts must not leave shards to the others for too long: they may stay down, and
// the workers end their tasks when their leases expire.
#[tokio::test(start_paused = true)]
async fn a_lone_controller_leases_all_shards_before_worker_leases_expire() {
    let cluster = fully_loaded_cluster(60).await;
    let shards = cluster.shard_holders().len();
    kill_all(&cluster);
    pause(6.0).await;
    cluster.start_node(2);
    pause(12.0).await;
    assert_eq!(held_shards(&cluster, &[2])[&2], shards);
    cluster.until_stage("run-1", "done").await;
    cluster.start_node(0);
    cluster.start_node(1);
    assert_each_task_started_once(&cluster).await;
}

// All controllers are killed near the end of an outage of the state service, and again while they
// recover. No task may be started twice.
#[tokio::test(start_paused = true)]
async fn all_controllers_restart_at_the_end_of_an_outage_and_again_during_recovery() {
    for delay_before_kill in [0.05, 0.3, 1.0, 2.5] {
        let cluster = fully_loaded_cluster(90).await;
        cluster.net.rule(Rule::all("", STATE, Action::Refuse));
        cluster.net.rule(Rule::all("", STATE, Action::Drop).path("/follow"));
        pause(8.0).await;
        kill_all(&cluster);
        pause(1.0).await;
        (0..3).for_each(|n| cluster.start_node(n));
        pause(0.5).await;
        cluster.net.clear_rules();
        // By now the controllers are reading the records, electing a leader or leasing shards.
        pause(delay_before_kill).await;
        kill_all(&cluster);
        pause(0.2).await;
        (0..3).for_each(|n| cluster.start_node(n));
        cluster.until("a leader", || cluster.leader().is_some()).await;
        assert_each_task_started_once(&cluster).await;
    }
}

// Guards against jobs that are lost when the controllers are restarted one after the other while urgent
// jobs are submitted.
#[tokio::test(start_paused = true)]
async fn controllers_restarted_one_by_one_under_a_burst_complete_all_jobs() {
    let cluster = fully_loaded_cluster(40).await;
    let mut jobs = vec!["run-1".to_string()];
    for n in 0..3 {
        cluster.kill_node(n);
        pause(3.0).await;
        cluster.start_node(n);
        for k in 0..4 {
            let id = format!("run-1{n}{k}");
            cluster.submit(&id, "free", 3, 4.0, "urgent").await;
            jobs.push(id);
        }
        pause(6.0).await;
    }
    for id in &jobs {
        cluster.until_stage(id, "done").await;
    }
    let jobs: Vec<&str> = jobs.iter().map(String::as_str).collect();
    cluster.assert_recovers(&jobs).await;
}

// Until a restarted controller has read the records it can only reject heartbeats. It must do so without
// reading their bodies, since all workers report at once.
#[tokio::test(start_paused = true)]
async fn a_heartbeat_before_the_records_are_read_is_rejected_without_reading() {
    let cluster = fully_loaded_cluster(60).await;
    kill_all(&cluster);
    // The state service refuses requests, so that the records cannot be read yet.
    cluster.net.rule(Rule::all("", STATE, Action::Refuse));
    cluster.start_node(0);
    pause(0.2).await;
    let refused = cluster.node(0).reject_without_reading("/hello").unwrap();
    assert_eq!((refused.status, refused.retry_after), (503, Some(1)));
    assert!(
        cluster.node(0).reject_without_reading("/v2/runs/run-1").is_none(),
        "a request of a user was rejected without being read"
    );
    cluster.net.clear_rules();
    cluster
        .until("the records are read", || cluster.node(0).reject_without_reading("/hello").is_none())
        .await;
    cluster.start_node(1);
    cluster.start_node(2);
    assert_each_task_started_once(&cluster).await;
}

// Heartbeats that were held during a network fault arrive after the shards may have changed their
// holder. They must not count as proof of the present state of the machines.
#[tokio::test(start_paused = true)]
async fn delayed_heartbeats_of_cut_off_machines_are_not_trusted_by_the_next_holder() {
    let cluster = fully_loaded_cluster(60).await;
    let leader = cluster.leader().unwrap();
    let killed_holder =
        cluster.shard_holders().values().map(|h| cluster.node_number(h)).find(|n| *n != leader).unwrap();
    // Messages to and from half of the machines are held, and a shard holder other than the leader is killed
    // and restarted meanwhile.
    let cut: Vec<String> = cluster.cloud.machines().into_iter().take(MACHINES / 2).collect();
    for machine in &cut {
        cluster.net.rule(Rule::all(machine, "", Action::Hold));
        cluster.net.rule(Rule::all("", &format!("w:{machine}"), Action::Hold));
    }
    pause(1.0).await;
    cluster.kill_node(killed_holder);
    pause(3.0).await;
    cluster.start_node(killed_holder);
    pause(8.0).await;
    cluster.net.clear_rules();
    cluster.net.deliver().await;
    cluster.until_stage("run-1", "done").await;
    cluster.assert_recovers(&["run-1"]).await;
}
