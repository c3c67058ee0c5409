//! Failures in a deployment of five controllers, as one that spans three zones has.

use crate::cluster::{CANCEL_DEADLINE, CLOUD, Cluster, STATE, address, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use std::collections::BTreeSet;
use std::time::Duration;

const NODES: usize = 5;

async fn start_five_controllers(shard_machines: Option<usize>) -> Cluster {
    let adjust = |timing: &mut WorkerTiming| {
        for (id, seconds) in [("run-1", 300), ("run-2", 300), ("run-3", 5)] {
            timing.runs.insert(id.into(), Duration::from_secs(seconds));
        }
    };
    let options = Options { shard_machines, ..Options::default() };
    let cluster = Cluster::with_nodes(NODES, 10, adjust, options, serde_json::Value::Null, |_| {}).await;
    cluster.submit("run-1", "free", 10, 8.0, "normal").await;
    cluster.submit("run-2", "tight", 2, 8.0, "normal").await;
    cluster.until_running(12).await;
    cluster
}

async fn assert_rules_kept_for(cluster: &Cluster, seconds: u64) {
    for _ in 0..seconds {
        pause(1.0).await;
        assert_eq!(cluster.checker.broken(), Vec::<String>::new());
    }
}

/// Partitions the isolated controllers and the given machines, if any, from the other controllers
/// and machines. The isolated controllers also lose the state service and the cloud.
fn partition(cluster: &Cluster, isolated: &BTreeSet<usize>, machines: &[String]) {
    for n in isolated {
        cluster.isolated.lock().unwrap().insert(host(*n));
        cluster.net.rule(Rule::all(&host(*n), STATE, Action::Drop));
        cluster.net.rule(Rule::all(&host(*n), CLOUD, Action::Drop));
    }
    for machine in cluster.cloud.machines() {
        for n in 0..NODES {
            if machines.contains(&machine) != isolated.contains(&n) {
                cluster.net.rule(Rule::all(&machine, &address(n), Action::Drop));
                cluster.net.rule(Rule::all(&host(n), &format!("w:{machine}"), Action::Drop));
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn two_of_five_controllers_are_partitioned_with_half_the_workers_and_recover() {
    for (leader_isolated, shard) in [(true, Some(2)), (false, Some(2)), (true, None)] {
        let cluster = start_five_controllers(shard).await;
        let leader = cluster.leader().unwrap();
        // Isolate two of the five controllers, with or without the leader.
        let first = if leader_isolated { leader } else { (leader + 1) % NODES };
        let isolated: BTreeSet<usize> = [first, (first + 1) % NODES].into();
        assert_eq!(isolated.contains(&leader), leader_isolated);
        let isolated_machines: Vec<String> = cluster.cloud.machines().into_iter().step_by(2).collect();
        partition(&cluster, &isolated, &isolated_machines);
        let reachable = (first + 2) % NODES;
        cluster.cancel(reachable, "run-1").await;
        assert_rules_kept_for(&cluster, CANCEL_DEADLINE.as_secs() + 5).await;
        assert!(cluster.net.matched(Action::Drop) > 20);
        assert!(!cluster.checker.on().keys().any(|t| t.starts_with("run-1/")));
        let new_leader = cluster.leader().unwrap();
        assert!(!isolated.contains(&new_leader), "{new_leader}");
        cluster.net.clear_rules();
        cluster.isolated.lock().unwrap().clear();
        assert_rules_kept_for(&cluster, 30).await;
        assert_eq!(cluster.checker.late_starts(), Vec::<String>::new());
        cluster.until("run-2 runs", || cluster.checker.on().len() == 2).await;
        cluster.assert_invariants_hold();
    }
}

#[tokio::test(start_paused = true)]
async fn four_of_five_controllers_crash_at_once_and_recover() {
    for restart_after in [0.2, 8.0, 40.0] {
        let cluster = start_five_controllers(Some(2)).await;
        let leader = cluster.leader().unwrap();
        let crashed: Vec<usize> = (0..NODES).map(|k| (leader + k) % NODES).take(4).collect();
        crashed.iter().for_each(|n| cluster.kill_node(*n));
        let survivor = (leader + 4) % NODES;
        pause(restart_after).await;
        cluster
            .until("the surviving controller leads", || cluster.leader().is_some() || restart_after < 1.0)
            .await;
        crashed.iter().for_each(|n| cluster.start_node(*n));
        cluster.cancel(survivor, "run-1").await;
        assert_rules_kept_for(&cluster, CANCEL_DEADLINE.as_secs()).await;
        cluster.submit("run-3", "free", 2, 4.0, "urgent").await;
        cluster.until_stage("run-3", "done").await;
        assert!(
            (0..2).all(|i| cluster.checker.starts(&format!("run-2/{i}")) == 1),
            "no task of run-2 may be restarted"
        );
        cluster.assert_recovers(&["run-1", "run-2", "run-3"]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn the_cluster_works_while_controllers_cannot_reach_each_other() {
    let cluster = start_five_controllers(Some(2)).await;
    cluster.isolated.lock().unwrap().extend((0..NODES).map(host));
    let lost_machine = cluster.checker.on()["run-1/0"].clone();
    cluster.cloud.take(&lost_machine);
    cluster.submit("run-3", "free", 4, 4.0, "urgent").await;
    cluster.until_stage("run-3", "done").await;
    cluster.until("the lost task runs on another machine", || cluster.checker.starts("run-1/0") == 2).await;
    cluster.cancel(1, "run-1").await;
    assert_rules_kept_for(&cluster, CANCEL_DEADLINE.as_secs()).await;
    assert_eq!(cluster.checker.on().len(), 2);
    cluster.isolated.lock().unwrap().clear();
    cluster.assert_recovers(&["run-1", "run-2", "run-3"]).await;
}

// A worker hangs, for shorter or longer than the controllers take to detect it. If its tasks are
// restarted elsewhere meanwhile, the worker must not run them when it resumes.
#[tokio::test(start_paused = true)]
async fn a_worker_that_hangs_and_resumes_runs_no_task_that_was_replaced() {
    for hang in [6.0, 14.0, 22.0, 35.0] {
        let cluster = start_five_controllers(Some(2)).await;
        let machine = cluster.checker.on()["run-1/0"].clone();
        cluster.cloud.worker(&machine).hang(Duration::from_secs_f64(hang));
        assert_rules_kept_for(&cluster, 40).await;
        let placements = cluster.checker.on();
        assert_eq!(placements.len(), 12, "{hang}");
        let restarted = cluster.checker.starts("run-1/0") == 2;
        assert_eq!(restarted, hang > 10.0, "{hang}: tasks restart only after a hang of more than 10 s");
        cluster.assert_invariants_hold();
    }
}
