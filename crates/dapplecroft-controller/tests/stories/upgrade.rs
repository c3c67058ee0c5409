//! Rolling upgrade from the first version: controllers are replaced one by one, then the records
//! are migrated to the second layout.

use crate::cluster::{Cluster, LAYOUT_MARK_PREFIX, STATE, host, job, pause, service};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Limits, Rule, WorkerTiming};
use http::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

const SMALL_LIMITS: Limits = Limits { value: 2048, changes: 4, rate: 18.0 };

/// Records written by the first version; see `fixtures/README.md`.
const FIRST_LAYOUT_RECORDS: &str = include_str!("../../fixtures/first-layout.json");

fn set_run_times(timing: &mut WorkerTiming) {
    timing.runs.insert("run-1".into(), Duration::from_secs(120));
    timing.runs.insert("run-5".into(), Duration::from_secs(1_000_000));
}

/// Starts a cluster whose controllers all run the first version, with six busy machines in shards
/// of two.
async fn start_first_version() -> Cluster {
    let options = Options { shard_machines: Some(2), ..Options::default() };
    let cluster = Cluster::before_upgrade(6, set_run_times, options).await;
    cluster.submit("run-1", "free", 18, 4.0, "normal").await;
    cluster.until_running(18).await;
    cluster
}

async fn assert_migrated_and_jobs_done(cluster: &Cluster, others: &[&str]) {
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    cluster.until("no record of the first layout is left", || cluster.state.keys("dc/p/").is_empty()).await;
    cluster.until_stage("run-1", "done").await;
    cluster.submit("run-7", "free", 20, 2.0, "urgent").await;
    cluster.until_stage("run-7", "done").await;
    for i in 0..18 {
        assert_eq!(cluster.checker.starts(&format!("run-1/{i}")), 1, "task {i}");
    }
    cluster.assert_recovers(&[&["run-1", "run-7"], others].concat()).await;
}

#[tokio::test(start_paused = true)]
async fn a_rolling_upgrade_in_any_order_migrates_records_and_runs_no_task_twice() {
    for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2]] {
        for back_after in [0.1, 3.0, 6.0] {
            let cluster = start_first_version().await;
            for (step, n) in order.into_iter().enumerate() {
                assert!(!cluster.is_switched());
                assert!(cluster.state.keys("dc/q/").is_empty());
                cluster.upgrade(n, back_after).await;
                cluster.submit(&format!("run-2{step}"), "tight", 3, 4.0, "normal").await;
                pause(4.0).await;
            }
            cluster.until("the switch to the second layout", || cluster.is_switched()).await;
            cluster.state.limit(SMALL_LIMITS);
            for step in 0..3 {
                cluster.until_stage(&format!("run-2{step}"), "done").await;
            }
            assert_migrated_and_jobs_done(&cluster, &["run-20", "run-21", "run-22"]).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_restart_of_the_last_old_controller_does_not_trigger_the_switch() {
    let cluster = start_first_version().await;
    cluster.upgrade(0, 1.0).await;
    cluster.upgrade(1, 1.0).await;
    for back_after in [0.05, 3.0] {
        cluster.kill_node(2);
        pause(back_after).await;
        cluster.start_node(2);
        pause(8.0).await;
        assert!(!cluster.is_switched() && cluster.state.keys("dc/q/").is_empty());
    }
    cluster.upgrade(2, 0.1).await;
    assert_migrated_and_jobs_done(&cluster, &[]).await;
}

/// The mark that a controller supports the second layout must outlive its process: controllers that
/// are down at the moment of the switch still count as upgraded.
#[tokio::test(start_paused = true)]
async fn layout_marks_survive_a_crash_of_all_controllers_during_a_rolling_upgrade() {
    let cluster = start_first_version().await;
    cluster.upgrade(0, 1.0).await;
    pause(3.0).await;
    (0..3).for_each(|n| cluster.kill_node(n));
    pause(2.0).await;
    (0..3).for_each(|n| cluster.start_node(n));
    pause(5.0).await;
    // The first controller is down when the last one is upgraded; its recorded mark counts all the
    // same.
    cluster.upgrade(1, 1.0).await;
    pause(2.0).await;
    cluster.kill_node(0);
    cluster.upgrade(2, 1.0).await;
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    cluster.start_node(0);
    assert_migrated_and_jobs_done(&cluster, &[]).await;
}

#[tokio::test(start_paused = true)]
async fn the_layout_switch_is_made_once_when_the_leader_crashes_during_it() {
    for crash_after_s in [0.0, 0.05, 0.2, 1.0, 2.0, 5.0] {
        let cluster = start_first_version().await;
        cluster.upgrade(0, 1.0).await;
        cluster.upgrade(1, 1.0).await;
        // The transaction that switches the layout is delayed and its leader crashes. Another
        // leader makes the switch, and the delayed transaction arrives afterwards.
        cluster
            .net
            .rule(Rule::all("", STATE, Action::Hold).path("/multi").body("\"set\":\"dc/format\"").times(1));
        cluster.upgrade(2, 0.1).await;
        cluster
            .until("the switch to the second layout is delayed or made", || {
                cluster.net.held() > 0 || cluster.is_switched()
            })
            .await;
        pause(crash_after_s).await;
        if let Some(leader) = cluster.leader() {
            cluster.kill_node(leader);
            pause(0.3).await;
            cluster.start_node(leader);
        }
        cluster.until("the switch to the second layout", || cluster.is_switched()).await;
        cluster.net.deliver().await;
        assert_migrated_and_jobs_done(&cluster, &[]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn late_transactions_of_an_old_process_are_rejected_after_the_migration() {
    let cluster = start_first_version().await;
    // Delays transactions of a shard holder and a leader of the first version, which are stopped
    // meanwhile.
    cluster.net.rule(Rule::all("", STATE, Action::Hold).path("/multi").body("dc/p/").times(4));
    cluster.net.rule(Rule::all("", STATE, Action::Hold).path("/multi").body("\"to\":{").times(2));
    cluster.submit("run-3", "tight", 4, 4.0, "normal").await;
    cluster.until("transactions of both kinds are delayed", || cluster.net.held() > 1).await;
    for n in 0..3 {
        cluster.upgrade(n, 0.1).await;
    }
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    cluster.until("no record of the first layout is left", || cluster.state.keys("dc/p/").is_empty()).await;
    let codes = cluster.net.deliver().await;
    assert!(codes.iter().all(|code| *code == 409), "{codes:?}");
    cluster.until_stage("run-3", "done").await;
    assert!((0..4).all(|i| cluster.checker.starts(&format!("run-3/{i}")) == 1));
    assert_migrated_and_jobs_done(&cluster, &["run-3"]).await;
}

#[tokio::test(start_paused = true)]
async fn crashes_during_the_migration_leave_consistent_records() {
    for crash_after_s in [0.05, 0.3, 0.6, 1.0, 1.5, 2.5] {
        let cluster = start_first_version().await;
        for n in 0..3 {
            cluster.upgrade(n, 0.1).await;
        }
        cluster.until("the switch to the second layout", || cluster.is_switched()).await;
        cluster.state.limit(SMALL_LIMITS);
        for step in 0..4 {
            pause(crash_after_s).await;
            cluster.kill_node(step % 3);
            pause(0.2).await;
            cluster.start_node(step % 3);
        }
        assert_migrated_and_jobs_done(&cluster, &[]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn services_are_refused_with_retry_after_until_the_layout_switch() {
    let cluster = start_first_version().await;
    let body = service("run-5", "free", 3, 1.0);
    for n in 0..3 {
        let reply = cluster.node(n).handle(&Method::POST, "/v2/runs", body.to_string().into()).await;
        assert_eq!((reply.status, reply.retry_after.is_some()), (503, true));
        assert_eq!(cluster.job_status(n, "run-5").await.0, 404, "the refused service must not be stored");
        cluster.upgrade(n, 0.5).await;
        pause(2.0).await;
    }
    assert!(cluster.state.value("dc/j/run-5").is_none_or(|v| v.get("stage").is_none()));
    cluster.submit_service("run-5", "free", 3, 1.0).await;
    cluster.until_all_replicas_run().await;
    // The first version must not mistake the service for a job of its own: the record lacks the
    // field `stage` of the first layout.
    assert!(cluster.state.value("dc/j/run-5").unwrap().get("stage").is_none());
    cluster.kill_node(0);
    pause(5.0).await;
    cluster.start_node(0);
    assert!((0..3).all(|i| cluster.checker.starts(&format!("run-5/{i}")) == 1));
    cluster.cancel(1, "run-5").await;
    assert_migrated_and_jobs_done(&cluster, &["run-5"]).await;
}

#[tokio::test(start_paused = true)]
async fn cancellations_and_lost_machines_are_handled_during_a_rolling_upgrade() {
    let cluster = start_first_version().await;
    cluster.submit("run-4", "free", 6, 2.0, "low").await;
    cluster.until_running(18 + 6).await;
    cluster.upgrade(0, 1.0).await;
    cluster.cancel(1, "run-4").await;
    cluster.upgrade(1, 1.0).await;
    let lost = cluster.checker.on()["run-1/0"].clone();
    cluster.cloud.take(&lost);
    cluster.upgrade(2, 1.0).await;
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    pause(47.0).await;
    assert!(!cluster.checker.on().keys().any(|t| t.starts_with("run-4/")));
    cluster.until("no record of the first layout is left", || cluster.state.keys("dc/p/").is_empty()).await;
    cluster.until_stage("run-1", "done").await;
    cluster.assert_recovers(&["run-1", "run-4"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_fresh_installation_switches_to_the_second_layout() {
    let cluster = Cluster::start(2).await;
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    assert_eq!(cluster.state.value("dc/format"), Some(json!({"layout": 2})));
    assert_eq!(cluster.state.keys("dc/v/").len(), 3);
    let live = cluster.state.value(&format!("dc/n/{}", host(0))).unwrap();
    assert_eq!(live["layout"], 2);
}

#[tokio::test(start_paused = true)]
async fn a_controller_that_finds_a_newer_layout_shuts_down_with_a_reason() {
    let cluster = Cluster::start(2).await;
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    let node = cluster.node(1);
    cluster.state.put("dc/format", json!({"layout": 3}));
    cluster.until("the controller shuts down", || node.shutdown_reason().is_some()).await;
    let why = node.shutdown_reason().unwrap();
    assert!(why.contains("layout 3") && !why.contains('\n'), "{why}");
}

/// Starts on records that a production cluster of the first version left behind: the jobs are still
/// open, but the machines no longer exist.
#[tokio::test(start_paused = true)]
async fn records_written_by_the_first_version_are_migrated_and_served() {
    let written: BTreeMap<String, Value> = serde_json::from_str(FIRST_LAYOUT_RECORDS).unwrap();
    let lower_limits = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0});
    let adjust = |timing: &mut WorkerTiming| timing.fails.push("run-3".into());
    let cluster = Cluster::with_overrides(6, adjust, Options::default(), lower_limits, |cluster| {
        for (key, value) in &written {
            // The old processes are gone, so the keys bound to their leases have expired.
            if !key.starts_with("dc/n/") && key != "dc/leader" {
                cluster.state.put(key, value.clone());
            }
        }
        for (id, team, cpus) in [("run-1", "free", 8.0), ("run-2", "free", 2.0), ("run-4", "tight", 4.0)] {
            cluster.checker.job(id, team, cpus);
        }
    })
    .await;
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    cluster.state.limit(SMALL_LIMITS);
    assert_eq!(cluster.job_status(0, "run-5").await.1["stage"], "done");
    assert_eq!(cluster.job_status(0, "run-7").await.1["stage"], "withdrawn");
    for id in ["run-1", "run-2", "run-4"] {
        cluster.until_stage(id, "done").await;
    }
    cluster.until("no record of the first layout is left", || cluster.state.keys("dc/p/").is_empty()).await;
    assert_ne!(cluster.job_status(0, "run-3").await.1["stage"], "done");
    cluster.assert_invariants_hold();
}

/// A leader and shard holder of the first version places and starts a task, played here with the
/// literal requests that the first version sends. Then it ends, and new controllers migrate its
/// records.
#[tokio::test(start_paused = true)]
async fn a_shard_passes_from_an_old_holder_to_a_new_one_with_its_running_tasks() {
    let cluster = Cluster::before_upgrade(2, set_run_times, Options::default()).await;
    cluster.submit("run-1", "free", 2, 4.0, "normal").await;
    cluster.until_running(2).await;
    (0..3).for_each(|n| cluster.kill_node(n));
    pause(5.0).await;
    let send = |method: Method, path: &'static str, body: Value| {
        let port = cluster.net.port("crofter-old");
        async move {
            let request = dapplecroft_net::Request {
                address: STATE.into(),
                method,
                path: path.into(),
                body: body.to_string().into_bytes().into(),
                timeout: Duration::from_secs(2),
                to_worker: false,
            };
            let answer = port.send(request).await.unwrap();
            (answer.status, serde_json::from_slice::<Value>(&answer.body).unwrap())
        }
    };
    // The old process leads, leases shard 0 and places a third task there.
    let lease = send(Method::POST, "/grants", json!({"life_ms": 4000})).await.1["tenancy"].clone();
    let set = |key: &str, data: Value| json!({"set": key, "data": data});
    let controller_record = json!({"host": "crofter-0", "identity": "old", "lease": lease});
    let keys = json!([{"set": "dc/n/crofter-0", "data": controller_record, "tenancy": lease},
        {"set": "dc/leader", "data": {"host": "crofter-0", "identity": "old"}, "tenancy": lease}]);
    assert_eq!(send(Method::POST, "/multi", json!({"when": [], "then": keys})).await.0, 200);
    let epoch = cluster.state.value("dc/b/0").unwrap()["epoch"].as_u64().unwrap() + 100;
    let shard = json!({"host": "crofter-0", "identity": "old", "epoch": epoch});
    let mut placements = cluster.state.value("dc/p/0").unwrap();
    let machine = placements["m"].as_object().unwrap().keys().next().unwrap().clone();
    let jobs = placements["j"].as_array_mut().unwrap();
    jobs.push(json!("run-8"));
    let position = jobs.len() - 1;
    placements["m"][&machine].as_array_mut().unwrap().push(json!([position, 0]));
    let mut spec = job("run-8", "free", 1, 2.0, "urgent");
    spec.as_object_mut().unwrap().retain(|_, v| !v.is_null());
    let record = json!({"stage": "open", "tasks": 1, "to": {"0": [[0, 0]]}, "at": 1.0, "spec": spec});
    let then = json!([set("dc/b/0", shard), set("dc/j/run-8", record), set("dc/p/0", placements)]);
    cluster.checker.job("run-8", "free", 2.0);
    cluster.checker.accepted("run-8");
    assert_eq!(send(Method::POST, "/multi", json!({"when": [], "then": then})).await.0, 200);
    let token = epoch << 20;
    let commands = json!({"warrant": token, "tenure": 1, "orders": [
        {"verb": "start", "share": "run-8/0", "try": 1}]});
    let late_command = dapplecroft_net::Request {
        address: format!("w:{machine}"),
        method: Method::POST,
        path: "/do".into(),
        body: commands.to_string().into_bytes().into(),
        timeout: Duration::from_secs(2),
        to_worker: true,
    };
    cluster.net.port("crofter-old").send(late_command.clone()).await.unwrap();
    cluster.until_running(3).await;
    // The old process has ended; upgraded controllers start and migrate its records.
    for n in 0..3 {
        cluster.net.remove_rules(&host(n), LAYOUT_MARK_PREFIX);
        cluster.start_node(n);
    }
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    cluster.until("no record of the first layout is left", || cluster.state.keys("dc/p/").is_empty()).await;
    assert_eq!(cluster.checker.on().len(), 3);
    // A late copy of the start command carries an outdated fencing token and is rejected.
    cluster.until("the worker has a newer token", || cluster.cloud.worker(&machine).token() > token).await;
    assert_eq!(cluster.net.port("crofter-old").send(late_command).await.unwrap().status, 409);
    cluster.until_stage("run-8", "done").await;
    cluster.until_stage("run-1", "done").await;
    assert!(["run-8/0", "run-1/0", "run-1/1"].iter().all(|t| cluster.checker.starts(t) == 1));
    cluster.assert_invariants_hold();
}
