//! Services: jobs whose replicas run until the job is cancelled.

use crate::cluster::{Cluster, STATE, job, pause, service};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use http::Method;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// Makes replicas of these services run until they are stopped.
fn run_forever(ids: &[&str]) -> impl FnOnce(&mut WorkerTiming) {
    let ids: Vec<String> = ids.iter().map(|id| id.to_string()).collect();
    move |timing| {
        for id in ids {
            timing.runs.insert(id, Duration::from_secs(1_000_000));
        }
    }
}

async fn start_with_service(capacity: usize, replicas: u32, cpus: f64) -> Cluster {
    let cluster = Cluster::with_options(capacity, run_forever(&["run-1"]), Options::default()).await;
    cluster.submit_service("run-1", "free", replicas, cpus).await;
    cluster.until_all_replicas_run().await;
    cluster
}

/// Asserts for `seconds` that no replica is missing for longer than `longest` seconds.
async fn assert_keeps_serving(cluster: &Cluster, longest: f64, seconds: u32) {
    cluster.checker.calm();
    for _ in 0..seconds * 2 {
        pause(0.5).await;
        assert_eq!(cluster.checker.lost(Duration::from_secs_f64(longest)), Vec::<String>::new());
    }
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_service_runs_until_it_is_cancelled_and_is_never_done() {
    let cluster = start_with_service(4, 3, 2.0).await;
    let (status, answer) = cluster.job_status(1, "run-1").await;
    assert_eq!((status, &answer["stage"], &answer["running"]), (200, &json!("running"), &json!(3)));
    assert_eq!(answer["done"].as_u64().unwrap_or(0), 0);
    let machines: BTreeSet<String> = cluster.checker.on().into_values().collect();
    assert_eq!(machines.len(), 1, "one machine has enough room, so no second one is rented");
    pause(600.0).await;
    assert!((0..3).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    cluster.cancel(2, "run-1").await;
    pause(10.0).await;
    assert!(cluster.checker.on().is_empty());
    assert_eq!(cluster.job_status(0, "run-1").await.1["stage"], "withdrawn");
    cluster
        .until("the cancelled service's record is compacted", || {
            cluster.state.value("dc/j/run-1").is_some_and(|v| v.get("spec").is_none())
        })
        .await;
    let resubmission = cluster.call(0, Method::POST, "/v2/runs", &service("run-1", "free", 3, 2.0)).await;
    assert_eq!((resubmission.0, &resubmission.1["stage"]), (200, &json!("withdrawn")));
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn invalid_services_are_rejected_at_submission() {
    let cluster = Cluster::start(2).await;
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    cluster
        .until("the machine types are recorded", || {
            cluster.state.value("dc/catalog").is_some() || cluster.state.value("dc/c/0").is_some()
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
        // Five replicas of 4 CPUs exceed the team's quota limit of 16 CPUs.
        ("shares", json!(5), 422),
    ] {
        let mut body = service("run-9", "tight", 4, 4.0);
        body[field] = value;
        let (got, answer) = cluster.call(1, Method::POST, "/v2/runs", &body).await;
        assert_eq!(got, status, "{field}: {answer}");
    }
    // The same number of tasks of a batch job is accepted, since they can run one after the other.
    assert_eq!(cluster.call(1, Method::POST, "/v2/runs", &job("run-8", "tight", 5, 4.0, "low")).await.0, 201);
    assert_eq!(cluster.job_status(0, "run-9").await.0, 404);
}

#[tokio::test(start_paused = true)]
async fn service_replicas_are_spread_over_machines_and_restart_when_theirs_is_lost() {
    let cluster = Cluster::with_options(6, run_forever(&["run-1", "run-2"]), Options::default()).await;
    // Two machines are already in use, with the same load.
    cluster.submit("run-2", "free", 2, 9.0, "normal").await;
    cluster.until_running(2).await;
    let mut body = service("run-1", "free", 2, 2.0);
    body["loaners"] = json!(true);
    cluster.checker.service("run-1", "free", 2.0, 2);
    assert_eq!(cluster.call(0, Method::POST, "/v2/runs", &body).await.0, 201);
    cluster.until_all_replicas_run().await;
    let placements = cluster.checker.on();
    assert_ne!(placements["run-1/0"], placements["run-1/1"]);
    let started_at = tokio::time::Instant::now();
    cluster.cloud.take(&placements["run-1/0"]);
    cluster.until_all_replicas_run().await;
    assert!(started_at.elapsed() < Duration::from_secs(8), "{:?}", started_at.elapsed());
    assert_eq!(cluster.checker.starts("run-1/1"), 1);
    assert_keeps_serving(&cluster, 5.0, 30).await;
}

#[tokio::test(start_paused = true)]
async fn a_service_replica_that_completes_is_started_again() {
    let adjust = |timing: &mut WorkerTiming| {
        timing.runs.insert("run-1".into(), Duration::from_secs(40));
    };
    let cluster = Cluster::with_options(2, adjust, Options::default()).await;
    cluster.submit_service("run-1", "free", 2, 2.0).await;
    // Each replica completes every 40 s.
    for _ in 0..20 {
        pause(45.0).await;
        cluster.until_all_replicas_run().await;
        assert_eq!(cluster.job_status(0, "run-1").await.1["stage"], "running");
    }
    assert!(cluster.checker.starts("run-1/0") >= 20);
    let sizes: usize =
        cluster.state.keys("dc/q/").iter().map(|k| cluster.state.value(k).unwrap().to_string().len()).sum();
    assert!(sizes < 400, "segment records grew to {sizes} bytes");
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_service_that_always_fails_backs_off_and_harms_no_other_job() {
    let cluster =
        Cluster::with_options(4, |timing| timing.fails.push("run-1".into()), Options::default()).await;
    cluster.submit("run-2", "free", 2, 16.0, "normal").await;
    cluster.submit_service("run-1", "free", 2, 2.0).await;
    cluster.until_stage("run-2", "done").await;
    pause(300.0).await;
    let starts: usize = (0..2).map(|i| cluster.checker.starts(&format!("run-1/{i}"))).sum();
    assert!((6..40).contains(&starts), "{starts} starts of replicas in 300 s");
    assert_ne!(cluster.job_status(0, "run-1").await.1["stage"], "done");
    // The machines where the replicas failed still run other jobs.
    cluster.submit("run-3", "free", 4, 4.0, "normal").await;
    cluster.until_stage("run-3", "done").await;
    cluster.cancel(0, "run-1").await;
    pause(70.0).await;
    assert!(cluster.checker.on().is_empty());
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_service_replica_runs_until_shortly_before_its_machine_is_reclaimed() {
    let cluster = start_with_service(3, 2, 2.0).await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    cluster.cloud.worker(&machine).notice(12.0);
    pause(8.0).await;
    assert_eq!(
        cluster.checker.on()["run-1/0"],
        machine,
        "the replica must not be stopped long before the machine is reclaimed"
    );
    cluster
        .until("the replica runs on another machine", || {
            cluster.checker.on().get("run-1/0").is_some_and(|m| *m != machine)
        })
        .await;
    cluster.cloud.take(&machine);
    assert_keeps_serving(&cluster, 3.0, 20).await;
}

#[tokio::test(start_paused = true)]
async fn service_replicas_preempt_a_lower_rank_at_once_and_its_task_restarts_later() {
    let adjust = |timing: &mut WorkerTiming| {
        run_forever(&["run-1"])(timing);
        timing.runs.insert("run-2".into(), Duration::from_secs(200));
    };
    let cluster = Cluster::with_options(1, adjust, Options::default()).await;
    let mut body = job("run-2", "free", 4, 4.0, "urgent");
    body["loaners"] = json!(false);
    cluster.checker.job("run-2", "free", 4.0);
    assert_eq!(cluster.call(0, Method::POST, "/v2/runs", &body).await.0, 201);
    cluster.until_running(4).await;
    // By now run-2 is too old to be preempted by anything but a service.
    pause(100.0).await;
    let started_at = tokio::time::Instant::now();
    cluster.submit_service("run-1", "free", 2, 2.0).await;
    cluster.until_all_replicas_run().await;
    assert!(started_at.elapsed() < Duration::from_secs(4), "{:?}", started_at.elapsed());
    assert_eq!(cluster.checker.on().len(), 5, "exactly one task must be preempted");
    cluster.cancel(0, "run-1").await;
    cluster.until("the preempted task runs again", || cluster.checker.on().len() == 4).await;
    cluster.until_stage("run-2", "done").await;
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_service_at_its_teams_quota_limit_recovers_without_exceeding_it() {
    let cluster = Cluster::with_options(4, run_forever(&["run-1"]), Options::default()).await;
    cluster.submit_service("run-1", "tight", 4, 4.0).await;
    cluster.until_all_replicas_run().await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    // The partitioned machine still runs its replica: a replacement may start only once the replica
    // is proven to be stopped.
    cluster.net.rule(Rule::all(&machine, "", Action::Hold));
    cluster.net.rule(Rule::all("", &format!("w:{machine}"), Action::Hold));
    cluster
        .until("the partitioned machine is released", || !cluster.cloud.machines().contains(&machine))
        .await;
    cluster.until_all_replicas_run().await;
    cluster.net.clear_rules();
    cluster.net.deliver().await;
    assert_keeps_serving(&cluster, 2.0, 30).await;
}

#[tokio::test(start_paused = true)]
async fn a_service_cancelled_while_a_replica_restarts_stays_cancelled() {
    for delay in [0.0, 0.5, 2.0, 4.0, 5.0, 5.5, 6.0, 7.0] {
        let cluster = start_with_service(3, 2, 2.0).await;
        let machine = cluster.checker.on()["run-1/0"].clone();
        cluster.cloud.take(&machine);
        pause(delay).await;
        cluster.cancel(0, "run-1").await;
        pause(47.0).await;
        assert!(cluster.checker.on().is_empty());
        cluster
            .until("the cancelled service's record is compacted", || {
                cluster.state.value("dc/j/run-1").is_some_and(|v| v.get("spec").is_none())
            })
            .await;
        cluster.assert_invariants_hold();
    }
}

#[tokio::test(start_paused = true)]
async fn service_replicas_keep_running_while_all_controllers_restart() {
    for back_after in [0.1, 6.0] {
        let options = Options { shard_machines: Some(1), ..Options::default() };
        let cluster = Cluster::with_options(6, run_forever(&["run-1"]), options).await;
        cluster.submit_service("run-1", "free", 6, 16.0).await;
        cluster.until_all_replicas_run().await;
        (0..3).for_each(|n| cluster.kill_node(n));
        pause(back_after).await;
        (0..3).for_each(|n| cluster.start_node(n));
        cluster.until("a leader", || cluster.leader().is_some()).await;
        assert_keeps_serving(&cluster, 0.0, 40).await;
        assert!((0..6).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    }
}

#[tokio::test(start_paused = true)]
async fn a_service_replica_lost_during_an_outage_and_a_leader_crash_restarts() {
    let cluster = start_with_service(4, 2, 9.0).await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    cluster.net.rule(Rule::all("", STATE, Action::Refuse));
    cluster.cloud.take(&machine);
    cluster.kill_node(cluster.leader().unwrap_or(0));
    pause(5.0).await;
    cluster.net.clear_rules();
    (0..3).for_each(|n| {
        cluster.kill_node(n);
        cluster.start_node(n);
    });
    cluster.until_all_replicas_run().await;
    assert_keeps_serving(&cluster, 2.0, 30).await;
}
