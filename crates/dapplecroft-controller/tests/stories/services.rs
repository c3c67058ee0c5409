//! Services: replicas that run until they are withdrawn.

use crate::cluster::{Cluster, STATE, job, pause, service};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use http::Method;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// Replicas of these services run for ever.
fn for_ever(ids: &[&str]) -> impl FnOnce(&mut WorkerTiming) {
    let ids: Vec<String> = ids.iter().map(|id| id.to_string()).collect();
    move |t| {
        for id in ids {
            t.runs.insert(id, Duration::from_secs(1_000_000));
        }
    }
}

async fn serving(capacity: usize, replicas: u32, cpus: f64) -> Cluster {
    let c = Cluster::with_options(capacity, for_ever(&["run-1"]), Options::default()).await;
    c.submit_service("run-1", "free", replicas, cpus).await;
    c.until_all_replicas_run().await;
    c
}

/// No replica is missing for longer than so many seconds from now on.
async fn assert_serves_on(c: &Cluster, longest: f64, seconds: u32) {
    c.checker.calm();
    for _ in 0..seconds * 2 {
        pause(0.5).await;
        assert_eq!(c.checker.lost(Duration::from_secs_f64(longest)), Vec::<String>::new());
    }
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_service_runs_until_it_is_withdrawn_and_is_never_done() {
    let c = serving(4, 3, 2.0).await;
    let (status, answer) = c.job_status(1, "run-1").await;
    assert_eq!((status, &answer["stage"], &answer["running"]), (200, &json!("running"), &json!(3)));
    assert_eq!(answer["done"].as_u64().unwrap_or(0), 0);
    let machines: BTreeSet<String> = c.checker.on().into_values().collect();
    assert_eq!(machines.len(), 1, "there is no second machine to spread over");
    pause(600.0).await;
    assert!((0..3).all(|i| c.checker.starts(&format!("run-1/{i}")) == 1));
    c.cancel(2, "run-1").await;
    pause(10.0).await;
    assert!(c.checker.on().is_empty());
    assert_eq!(c.job_status(0, "run-1").await.1["stage"], "withdrawn");
    c.until("its record is final", || c.state.value("dc/j/run-1").is_some_and(|v| v.get("spec").is_none()))
        .await;
    let again = c.call(0, Method::POST, "/v2/runs", &service("run-1", "free", 3, 2.0)).await;
    assert_eq!((again.0, &again.1["stage"]), (200, &json!("withdrawn")));
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn what_a_service_must_not_be_is_told_at_once() {
    let c = Cluster::start(2).await;
    c.until("the switch", || c.is_switched()).await;
    c.until("machine types known", || {
        c.state.value("dc/catalog").is_some() || c.state.value("dc/c/0").is_some()
    })
    .await;
    pause(1.0).await;
    for (field, value, status) in [
        ("shares", json!(0), 400),
        ("shares", json!(100_001), 400),
        ("reckon_s", json!(-1), 400),
        ("reckon_s", Value::Null, 400),
        ("form", json!("server"), 400),
        ("crew", json!("nobody"), 422),
        ("cpus", json!(17.0), 422),
        // Five replicas of 4 CPUs are beyond a limit of 16.
        ("shares", json!(5), 422),
    ] {
        let mut body = service("run-9", "tight", 4, 4.0);
        body[field] = value;
        let (got, answer) = c.call(1, Method::POST, "/v2/runs", &body).await;
        assert_eq!(got, status, "{field}: {answer}");
    }
    // As many tasks of an array run one after the other.
    assert_eq!(c.call(1, Method::POST, "/v2/runs", &job("run-8", "tight", 5, 4.0, "low")).await.0, 201);
    assert_eq!(c.job_status(0, "run-9").await.0, 404);
}

#[tokio::test(start_paused = true)]
async fn replicas_are_spread_over_machines_and_come_back_when_their_machine_is_lost() {
    let c = Cluster::with_options(6, for_ever(&["run-1", "run-2"]), Options::default()).await;
    // Two machines are in use already, about equally full.
    c.submit("run-2", "free", 2, 9.0, "normal").await;
    c.until_running(2).await;
    let mut body = service("run-1", "free", 2, 2.0);
    body["loaners"] = json!(true);
    c.checker.service("run-1", "free", 2.0, 2);
    assert_eq!(c.call(0, Method::POST, "/v2/runs", &body).await.0, 201);
    c.until_all_replicas_run().await;
    let on = c.checker.on();
    assert_ne!(on["run-1/0"], on["run-1/1"]);
    let begun = tokio::time::Instant::now();
    c.cloud.take(&on["run-1/0"]);
    c.until_all_replicas_run().await;
    assert!(begun.elapsed() < Duration::from_secs(8), "{:?}", begun.elapsed());
    assert_eq!(c.checker.starts("run-1/1"), 1);
    assert_serves_on(&c, 5.0, 30).await;
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_ends_by_itself_is_wanted_again_whatever_it_ended_by() {
    let adjust = |t: &mut WorkerTiming| {
        t.runs.insert("run-1".into(), Duration::from_secs(40));
    };
    let c = Cluster::with_options(2, adjust, Options::default()).await;
    c.submit_service("run-1", "free", 2, 2.0).await;
    // Each of them completes again and again.
    for _ in 0..20 {
        pause(45.0).await;
        c.until_all_replicas_run().await;
        assert_eq!(c.job_status(0, "run-1").await.1["stage"], "running");
    }
    assert!(c.checker.starts("run-1/0") >= 20);
    let sizes: usize =
        c.state.keys("dc/q/").iter().map(|k| c.state.value(k).unwrap().to_string().len()).sum();
    assert!(sizes < 400, "{sizes} bytes after so many attempts");
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_service_that_fails_everywhere_backs_off_and_harms_nothing_else() {
    let c = Cluster::with_options(4, |t| t.fails.push("run-1".into()), Options::default()).await;
    c.submit("run-2", "free", 2, 16.0, "normal").await;
    c.submit_service("run-1", "free", 2, 2.0).await;
    c.until_stage("run-2", "done").await;
    pause(300.0).await;
    let starts: usize = (0..2).map(|i| c.checker.starts(&format!("run-1/{i}"))).sum();
    assert!((6..40).contains(&starts), "{starts} starts in 300 s");
    assert_ne!(c.job_status(0, "run-1").await.1["stage"], "done");
    // Its machine takes other work.
    c.submit("run-3", "free", 4, 4.0, "normal").await;
    c.until_stage("run-3", "done").await;
    c.cancel(0, "run-1").await;
    pause(70.0).await;
    assert!(c.checker.on().is_empty());
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_replica_serves_until_its_machine_is_about_to_go() {
    let c = serving(3, 2, 2.0).await;
    let machine = c.checker.on()["run-1/0"].clone();
    c.cloud.worker(&machine).notice(12.0);
    pause(8.0).await;
    assert_eq!(c.checker.on()["run-1/0"], machine, "it is not stopped long before");
    c.until("it serves elsewhere", || c.checker.on().get("run-1/0").is_some_and(|m| *m != machine)).await;
    c.cloud.take(&machine);
    assert_serves_on(&c, 3.0, 20).await;
}

#[tokio::test(start_paused = true)]
async fn work_of_lower_rank_gives_way_to_replicas_at_once_and_comes_back() {
    let adjust = |t: &mut WorkerTiming| {
        for_ever(&["run-1"])(t);
        t.runs.insert("run-2".into(), Duration::from_secs(200));
    };
    let c = Cluster::with_options(1, adjust, Options::default()).await;
    let mut body = job("run-2", "free", 4, 4.0, "urgent");
    body["loaners"] = json!(false);
    c.checker.job("run-2", "free", 4.0);
    assert_eq!(c.call(0, Method::POST, "/v2/runs", &body).await.0, 201);
    c.until_running(4).await;
    // It is older than what else may be displaced.
    pause(100.0).await;
    let begun = tokio::time::Instant::now();
    c.submit_service("run-1", "free", 2, 2.0).await;
    c.until_all_replicas_run().await;
    assert!(begun.elapsed() < Duration::from_secs(4), "{:?}", begun.elapsed());
    assert_eq!(c.checker.on().len(), 5, "one task gave way");
    c.cancel(0, "run-1").await;
    c.until("what gave way runs again", || c.checker.on().len() == 4).await;
    c.until_stage("run-2", "done").await;
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_service_at_its_teams_limit_is_restored_within_it() {
    let c = Cluster::with_options(4, for_ever(&["run-1"]), Options::default()).await;
    c.submit_service("run-1", "tight", 4, 4.0).await;
    c.until_all_replicas_run().await;
    let machine = c.checker.on()["run-1/0"].clone();
    // Cut off, it still runs: nothing may start in its place before it is proven gone.
    c.net.rule(Rule::all(&machine, "", Action::Hold));
    c.net.rule(Rule::all("", &format!("w:{machine}"), Action::Hold));
    c.until("it is released", || !c.cloud.machines().contains(&machine)).await;
    c.until_all_replicas_run().await;
    c.net.clear_rules();
    c.net.deliver().await;
    assert_serves_on(&c, 2.0, 30).await;
}

#[tokio::test(start_paused = true)]
async fn a_withdrawal_in_the_middle_of_a_restart_wins() {
    for delay in [0.0, 0.5, 2.0, 4.0, 5.0, 5.5, 6.0, 7.0] {
        let c = serving(3, 2, 2.0).await;
        let machine = c.checker.on()["run-1/0"].clone();
        c.cloud.take(&machine);
        pause(delay).await;
        c.cancel(0, "run-1").await;
        pause(47.0).await;
        assert!(c.checker.on().is_empty());
        c.until("its record is final", || {
            c.state.value("dc/j/run-1").is_some_and(|v| v.get("spec").is_none())
        })
        .await;
        c.assert_invariants_hold();
    }
}

#[tokio::test(start_paused = true)]
async fn all_controllers_end_and_every_replica_runs_on() {
    for back_after in [0.1, 6.0] {
        let options = Options { shard_machines: Some(1), ..Options::default() };
        let c = Cluster::with_options(6, for_ever(&["run-1"]), options).await;
        c.submit_service("run-1", "free", 6, 16.0).await;
        c.until_all_replicas_run().await;
        (0..3).for_each(|n| c.kill_node(n));
        pause(back_after).await;
        (0..3).for_each(|n| c.start_node(n));
        c.until("a leader", || c.leader().is_some()).await;
        assert_serves_on(&c, 0.0, 40).await;
        assert!((0..6).all(|i| c.checker.starts(&format!("run-1/{i}")) == 1));
    }
}

#[tokio::test(start_paused = true)]
async fn a_replica_lost_while_its_holder_ends_and_the_state_service_is_out_comes_back() {
    let c = serving(4, 2, 9.0).await;
    let machine = c.checker.on()["run-1/0"].clone();
    c.net.rule(Rule::all("", STATE, Action::Refuse));
    c.cloud.take(&machine);
    c.kill_node(c.leader().unwrap_or(0));
    pause(5.0).await;
    c.net.clear_rules();
    (0..3).for_each(|n| {
        c.kill_node(n);
        c.start_node(n);
    });
    c.until_all_replicas_run().await;
    assert_serves_on(&c, 2.0, 30).await;
}
