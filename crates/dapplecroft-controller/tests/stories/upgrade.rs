//! The first version is replaced node by node, and the records with it.

use crate::cluster::{Cluster, LAYOUT_MARK_PREFIX, STATE, host, job, pause, service};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Limits, Rule, WorkerTiming};
use http::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

const SMALL: Limits = Limits { value: 2048, changes: 4, rate: 18.0 };

/// What the first version wrote; see `fixtures/README.md`.
const WRITTEN: &str = include_str!("../../fixtures/first-layout.json");

fn long(t: &mut WorkerTiming) {
    t.runs.insert("run-1".into(), Duration::from_secs(120));
    t.runs.insert("run-5".into(), Duration::from_secs(1_000_000));
}

/// Six machines in shards of two, in use, with all controllers of the first
/// version.
async fn old() -> Cluster {
    let options = Options { shard_machines: Some(2), ..Options::default() };
    let c = Cluster::before_upgrade(6, long, options).await;
    c.submit("run-1", "free", 18, 4.0, "normal").await;
    c.until_running(18).await;
    c
}

async fn assert_moved_and_over(c: &Cluster, others: &[&str]) {
    c.until("the switch", || c.is_switched()).await;
    c.until("no record of the first layout is left", || c.state.keys("dc/p/").is_empty()).await;
    c.until_stage("run-1", "done").await;
    c.submit("run-7", "free", 20, 2.0, "urgent").await;
    c.until_stage("run-7", "done").await;
    for i in 0..18 {
        assert_eq!(c.checker.starts(&format!("run-1/{i}")), 1, "task {i}");
    }
    c.assert_recovers(&[&["run-1", "run-7"], others].concat()).await;
}

#[tokio::test(start_paused = true)]
async fn a_roll_in_any_order_moves_over_and_runs_nothing_twice() {
    for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2]] {
        for back_after in [0.1, 3.0, 6.0] {
            let c = old().await;
            for (step, n) in order.into_iter().enumerate() {
                assert!(!c.is_switched());
                assert!(c.state.keys("dc/q/").is_empty());
                c.upgrade(n, back_after).await;
                c.submit(&format!("run-2{step}"), "tight", 3, 4.0, "normal").await;
                pause(4.0).await;
            }
            c.until("the switch", || c.is_switched()).await;
            c.state.limit(SMALL);
            for step in 0..3 {
                c.until_stage(&format!("run-2{step}"), "done").await;
            }
            assert_moved_and_over(&c, &["run-20", "run-21", "run-22"]).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn one_that_dies_before_its_turn_comes_back_old_and_nothing_is_switched() {
    let c = old().await;
    c.upgrade(0, 1.0).await;
    c.upgrade(1, 1.0).await;
    for back_after in [0.05, 3.0] {
        c.kill_node(2);
        pause(back_after).await;
        c.start_node(2);
        pause(8.0).await;
        assert!(!c.is_switched() && c.state.keys("dc/q/").is_empty());
    }
    c.upgrade(2, 0.1).await;
    assert_moved_and_over(&c, &[]).await;
}

#[tokio::test(start_paused = true)]
async fn all_end_in_mid_roll_and_the_marks_are_remembered() {
    let c = old().await;
    c.upgrade(0, 1.0).await;
    pause(3.0).await;
    (0..3).for_each(|n| c.kill_node(n));
    pause(2.0).await;
    (0..3).for_each(|n| c.start_node(n));
    pause(5.0).await;
    // The first is not up when the last has its turn: it was seen all the same.
    c.upgrade(1, 1.0).await;
    pause(2.0).await;
    c.kill_node(0);
    c.upgrade(2, 1.0).await;
    c.until("the switch", || c.is_switched()).await;
    c.start_node(0);
    assert_moved_and_over(&c, &[]).await;
}

#[tokio::test(start_paused = true)]
async fn the_switch_is_made_once_whoever_ends_in_the_middle_of_it() {
    for gap in [0.0, 0.05, 0.2, 1.0, 2.0, 5.0] {
        let c = old().await;
        c.upgrade(0, 1.0).await;
        c.upgrade(1, 1.0).await;
        // The switch is held up, and its leader ends; a second one makes it, and
        // the first one's arrives late.
        c.net.rule(Rule::all("", STATE, Action::Hold).path("/multi").body("\"set\":\"dc/format\"").times(1));
        c.upgrade(2, 0.1).await;
        c.until("it is held, or was made", || c.net.held() > 0 || c.is_switched()).await;
        pause(gap).await;
        if let Some(leader) = c.leader() {
            c.kill_node(leader);
            pause(0.3).await;
            c.start_node(leader);
        }
        c.until("the switch", || c.is_switched()).await;
        c.net.deliver().await;
        assert_moved_and_over(&c, &[]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn late_transactions_of_an_old_process_change_nothing_that_was_moved() {
    let c = old().await;
    // What an old holder and an old leader were about to write when they ended.
    c.net.rule(Rule::all("", STATE, Action::Hold).path("/multi").body("dc/p/").times(4));
    c.net.rule(Rule::all("", STATE, Action::Hold).path("/multi").body("\"to\":{").times(2));
    c.submit("run-3", "tight", 4, 4.0, "normal").await;
    c.until("something is held", || c.net.held() > 1).await;
    for n in 0..3 {
        c.upgrade(n, 0.1).await;
    }
    c.until("the switch", || c.is_switched()).await;
    c.until("no record of the first layout is left", || c.state.keys("dc/p/").is_empty()).await;
    let codes = c.net.deliver().await;
    assert!(codes.iter().all(|code| *code == 409), "{codes:?}");
    c.until_stage("run-3", "done").await;
    assert!((0..4).all(|i| c.checker.starts(&format!("run-3/{i}")) == 1));
    assert_moved_and_over(&c, &["run-3"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_crash_between_any_two_steps_of_the_move_leaves_a_true_state() {
    for gap in [0.05, 0.3, 0.6, 1.0, 1.5, 2.5] {
        let c = old().await;
        for n in 0..3 {
            c.upgrade(n, 0.1).await;
        }
        c.until("the switch", || c.is_switched()).await;
        c.state.limit(SMALL);
        for step in 0..4 {
            pause(gap).await;
            c.kill_node(step % 3);
            pause(0.2).await;
            c.start_node(step % 3);
        }
        assert_moved_and_over(&c, &[]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_service_is_put_off_before_the_switch_and_taken_after_it() {
    let c = old().await;
    let body = service("run-5", "free", 3, 1.0);
    for n in 0..3 {
        let reply = c.node(n).handle(&Method::POST, "/v2/runs", body.to_string().into()).await;
        assert_eq!((reply.status, reply.retry_after.is_some()), (503, true));
        assert_eq!(c.job_status(n, "run-5").await.0, 404, "it is not stored");
        c.upgrade(n, 0.5).await;
        pause(2.0).await;
    }
    assert!(c.state.value("dc/j/run-5").is_none_or(|v| v.get("stage").is_none()));
    c.submit_service("run-5", "free", 3, 1.0).await;
    c.until_all_replicas_run().await;
    // The first version could not read it as anything that it knows.
    assert!(c.state.value("dc/j/run-5").unwrap().get("stage").is_none());
    c.kill_node(0);
    pause(5.0).await;
    c.start_node(0);
    assert!((0..3).all(|i| c.checker.starts(&format!("run-5/{i}")) == 1));
    c.cancel(1, "run-5").await;
    assert_moved_and_over(&c, &["run-5"]).await;
}

#[tokio::test(start_paused = true)]
async fn withdrawals_and_lost_machines_during_the_roll_are_dealt_with_by_either_version() {
    let c = old().await;
    c.submit("run-4", "free", 6, 2.0, "low").await;
    c.until_running(18 + 6).await;
    c.upgrade(0, 1.0).await;
    c.cancel(1, "run-4").await;
    c.upgrade(1, 1.0).await;
    let lost = c.checker.on()["run-1/0"].clone();
    c.cloud.take(&lost);
    c.upgrade(2, 1.0).await;
    c.until("the switch", || c.is_switched()).await;
    pause(47.0).await;
    assert!(!c.checker.on().keys().any(|t| t.starts_with("run-4/")));
    c.until("no record of the first layout is left", || c.state.keys("dc/p/").is_empty()).await;
    c.until_stage("run-1", "done").await;
    c.assert_recovers(&["run-1", "run-4"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_fresh_installation_switches_by_the_same_rule() {
    let c = Cluster::start(2).await;
    c.until("the switch", || c.is_switched()).await;
    assert_eq!(c.state.value("dc/format"), Some(json!({"layout": 2})));
    assert_eq!(c.state.keys("dc/v/").len(), 3);
    let live = c.state.value(&format!("dc/n/{}", host(0))).unwrap();
    assert_eq!(live["layout"], 2);
}

#[tokio::test(start_paused = true)]
async fn one_that_finds_a_newer_layout_ends_and_says_so() {
    let c = Cluster::start(2).await;
    c.until("the switch", || c.is_switched()).await;
    let node = c.node(1);
    c.state.put("dc/format", json!({"layout": 3}));
    c.until("it ends", || node.shutdown_reason().is_some()).await;
    let why = node.shutdown_reason().unwrap();
    assert!(why.contains("layout 3") && !why.contains('\n'), "{why}");
}

/// The state service as production left it: its machines are gone, its jobs are
/// not.
#[tokio::test(start_paused = true)]
async fn what_production_has_written_is_taken_over_and_served() {
    let written: BTreeMap<String, Value> = serde_json::from_str(WRITTEN).unwrap();
    let next = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0});
    let adjust = |t: &mut WorkerTiming| t.fails.push("run-3".into());
    let c = Cluster::with_overrides(6, adjust, Options::default(), next, |c| {
        for (key, value) in &written {
            // Of a process only its lease is left, and that ends.
            if !key.starts_with("dc/n/") && key != "dc/leader" {
                c.state.put(key, value.clone());
            }
        }
        for (id, team, cpus) in [("run-1", "free", 8.0), ("run-2", "free", 2.0), ("run-4", "tight", 4.0)] {
            c.checker.job(id, team, cpus);
        }
    })
    .await;
    c.until("the switch", || c.is_switched()).await;
    c.state.limit(SMALL);
    assert_eq!(c.job_status(0, "run-5").await.1["stage"], "done");
    assert_eq!(c.job_status(0, "run-7").await.1["stage"], "withdrawn");
    for id in ["run-1", "run-2", "run-4"] {
        c.until_stage(id, "done").await;
    }
    c.until("no record of the first layout is left", || c.state.keys("dc/p/").is_empty()).await;
    assert_ne!(c.job_status(0, "run-3").await.1["stage"], "done");
    c.assert_invariants_hold();
}

/// An old leader and holder that writes and commands by the frozen layout, with
/// requests as production made them, then ends.
#[tokio::test(start_paused = true)]
async fn a_shard_goes_from_an_old_holder_to_a_new_one_with_all_that_runs() {
    let c = Cluster::before_upgrade(2, long, Options::default()).await;
    c.submit("run-1", "free", 2, 4.0, "normal").await;
    c.until_running(2).await;
    (0..3).for_each(|n| c.kill_node(n));
    pause(5.0).await;
    let send = |method: Method, path: &'static str, body: Value| {
        let port = c.net.port("crofter-old");
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
    // It leads, leases itself shard 0, and places a third task there.
    let lease = send(Method::POST, "/grants", json!({"life_ms": 4000})).await.1["tenancy"].clone();
    let set = |key: &str, data: Value| json!({"set": key, "data": data});
    let own = json!({"host": "crofter-0", "identity": "old", "lease": lease});
    let keys = json!([{"set": "dc/n/crofter-0", "data": own, "tenancy": lease},
        {"set": "dc/leader", "data": {"host": "crofter-0", "identity": "old"}, "tenancy": lease}]);
    assert_eq!(send(Method::POST, "/multi", json!({"when": [], "then": keys})).await.0, 200);
    let epoch = c.state.value("dc/b/0").unwrap()["epoch"].as_u64().unwrap() + 100;
    let shard = json!({"host": "crofter-0", "identity": "old", "epoch": epoch});
    let mut load = c.state.value("dc/p/0").unwrap();
    let machine = load["m"].as_object().unwrap().keys().next().unwrap().clone();
    let jobs = load["j"].as_array_mut().unwrap();
    jobs.push(json!("run-8"));
    let position = jobs.len() - 1;
    load["m"][&machine].as_array_mut().unwrap().push(json!([position, 0]));
    let mut spec = job("run-8", "free", 1, 2.0, "urgent");
    spec.as_object_mut().unwrap().retain(|_, v| !v.is_null());
    let record = json!({"stage": "open", "tasks": 1, "to": {"0": [[0, 0]]}, "at": 1.0, "spec": spec});
    let then = json!([set("dc/b/0", shard), set("dc/j/run-8", record), set("dc/p/0", load)]);
    c.checker.job("run-8", "free", 2.0);
    c.checker.accepted("run-8");
    assert_eq!(send(Method::POST, "/multi", json!({"when": [], "then": then})).await.0, 200);
    let token = epoch << 20;
    let orders = json!({"warrant": token, "tenure": 1, "orders": [
        {"verb": "start", "share": "run-8/0", "try": 1}]});
    let late = dapplecroft_net::Request {
        address: format!("w:{machine}"),
        method: Method::POST,
        path: "/do".into(),
        body: orders.to_string().into_bytes().into(),
        timeout: Duration::from_secs(2),
        to_worker: true,
    };
    c.net.port("crofter-old").send(late.clone()).await.unwrap();
    c.until_running(3).await;
    // It ends; new ones take its place, and move what it wrote.
    for n in 0..3 {
        c.net.remove_rules(&host(n), LAYOUT_MARK_PREFIX);
        c.start_node(n);
    }
    c.until("the switch", || c.is_switched()).await;
    c.until("no record of the first layout is left", || c.state.keys("dc/p/").is_empty()).await;
    assert_eq!(c.checker.on().len(), 3);
    // A late copy of its command is void.
    c.until("the worker has a newer token", || c.cloud.worker(&machine).token() > token).await;
    assert_eq!(c.net.port("crofter-old").send(late).await.unwrap().status, 409);
    c.until_stage("run-8", "done").await;
    c.until_stage("run-1", "done").await;
    assert!(["run-8/0", "run-1/0", "run-1/1"].iter().all(|t| c.checker.starts(t) == 1));
    c.assert_invariants_hold();
}
