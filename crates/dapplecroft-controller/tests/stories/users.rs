//! Answers that users get from the HTTP interface.

use crate::cluster::{CLOUD, Cluster, STATE, host, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use http::Method;
use serde_json::{Value, json};
use std::time::Duration;

/// Whether there are segment records and none of them lists a task on a machine.
fn no_placements_are_recorded(cluster: &Cluster) -> bool {
    let keys = cluster.state.keys("dc/q/");
    !keys.is_empty() && keys.iter().all(|k| cluster.state.value(k).is_none_or(|v| v.get("m").is_none()))
}

#[tokio::test(start_paused = true)]
async fn a_resubmission_after_completion_is_answered_with_the_final_stage() {
    let cluster = Cluster::start(4).await;
    cluster.submit("run-1", "free", 20, 4.0, "normal").await;
    cluster.until_stage("run-1", "done").await;
    for n in 0..3 {
        let (status, answer) =
            cluster.call(n, Method::POST, "/v2/runs", &job("run-1", "free", 20, 4.0, "normal")).await;
        assert_eq!((status, &answer["stage"], &answer["done"]), (200, &json!("done"), &json!(20)));
    }
    assert!((0..20).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    // The job's record is compacted and its placements are removed.
    assert!(cluster.state.value("dc/j/run-1").unwrap().get("spec").is_none());
    assert!(no_placements_are_recorded(&cluster));
    assert!(cluster.state.largest() <= 12);
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn jobs_of_1200_tasks_stay_within_the_limits_of_values_and_transactions() {
    let cluster = Cluster::with_options(
        8,
        |timing| {
            timing.runs.insert("run-2".into(), Duration::from_millis(100));
            timing.runs.insert("run-3".into(), Duration::from_secs(60));
        },
        Options::default(),
    )
    .await;
    cluster.submit("run-2", "free", 1200, 0.25, "normal").await;
    cluster.until_stage("run-2", "done").await;
    cluster.submit("run-3", "free", 1200, 0.1, "normal").await;
    cluster.until("most tasks of run-3 run", || cluster.checker.on().len() > 1000).await;
    cluster.cancel(1, "run-3").await;
    cluster
        .until("the cancelled job's record is compacted", || {
            cluster.state.value("dc/j/run-3").is_some_and(|v| v.get("spec").is_none())
        })
        .await;
    assert!(cluster.checker.on().is_empty() && no_placements_are_recorded(&cluster));
    assert!(cluster.state.largest() <= 12);
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn invalid_submissions_are_rejected_with_a_status_and_an_error_text() {
    let cluster = Cluster::start(1).await;
    cluster.until("the machine types are recorded", || cluster.state.value("dc/catalog").is_some()).await;
    pause(1.0).await;
    let submit = |body: Value| {
        let cluster = &cluster;
        async move { cluster.call(1, Method::POST, "/v2/runs", &body).await }
    };
    let good = job("run-5", "tight", 1, 4.0, "normal");
    for (field, value, status) in [
        ("shares", json!(0), 400),
        ("cpus", json!(-1), 400),
        ("form", json!("gang"), 400),
        ("id", json!("x"), 400),
        ("crew", json!("nobody"), 422),
        ("cpus", json!(64.0), 422),
        ("hulls", json!(["other"]), 422),
        ("yard", json!("other"), 422),
    ] {
        let mut body = good.clone();
        body[field] = value;
        let (got, answer) = submit(body).await;
        assert_eq!(got, status, "{field}: {answer}");
        assert!(answer["error"].is_string());
    }
    let node = cluster.node(0);
    let raw = |body: Vec<u8>| {
        let node = node.clone();
        async move { node.handle(&Method::POST, "/v2/runs", body.into()).await }
    };
    assert_eq!(raw(b"{".to_vec()).await.status, 400);
    assert_eq!(raw(b"[]".to_vec()).await.status, 400);
    assert_eq!(raw(vec![b' '; 65 * 1024]).await.status, 400);
    assert_eq!(cluster.job_status(2, "run-5").await.0, 404);
    assert_eq!(cluster.job_status(2, "nonsense").await.0, 404);
    assert_eq!(submit(good.clone()).await.0, 201);
    assert_eq!(cluster.job_status(2, "run-5").await.0, 200);
    // Accepted jobs are answered with 200 even if the settings would reject them now.
    assert_eq!(submit(good).await.0, 200);
}

#[tokio::test(start_paused = true)]
async fn machine_types_survive_a_restart_during_an_outage_of_the_cloud() {
    let cluster = Cluster::start(2).await;
    cluster.until("the machine types are recorded", || cluster.state.value("dc/catalog").is_some()).await;
    cluster.cloud.outage(true);
    (0..3).for_each(|n| cluster.kill_node(n));
    (0..3).for_each(|n| cluster.start_node(n));
    cluster.submit("run-6", "free", 1, 4.0, "normal").await;
    assert!(cluster.cloud.machines().is_empty());
    cluster.cloud.outage(false);
    cluster.until_stage("run-6", "done").await;
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn submissions_get_503_with_retry_after_while_machine_types_are_unknown() {
    let cluster = Cluster::start(2).await;
    cluster.net.rule(Rule::all("", CLOUD, Action::Refuse));
    // The first request for machine types may have been answered before the rule was added.
    if cluster.state.value("dc/catalog").is_none() {
        let reply = cluster
            .node(0)
            .handle(&Method::POST, "/v2/runs", job("run-7", "free", 1, 1.0, "low").to_string().into())
            .await;
        assert_eq!((reply.status, reply.retry_after.is_some()), (503, true));
    }
    cluster.net.clear_rules();
    cluster.submit("run-7", "free", 1, 1.0, "low").await;
    cluster.until_stage("run-7", "done").await;
}

#[tokio::test(start_paused = true)]
async fn a_job_that_completes_during_an_outage_is_answered_503_and_then_done() {
    let cluster = Cluster::start(2).await;
    cluster.submit("run-8", "free", 2, 4.0, "normal").await;
    cluster.until_running(2).await;
    cluster.state.outage(true);
    pause(14.0).await;
    assert!(cluster.checker.on().is_empty(), "running tasks must complete during the outage");
    for n in 0..3 {
        // A stage that is not final is answered only after confirmation by the state service.
        assert_eq!(cluster.job_status(n, "run-8").await.0, 503);
        assert_eq!(cluster.job_status(n, "run-404").await.0, 503);
        // An outage that affects all controllers does not take them out of service.
        assert_eq!(cluster.call(n, Method::GET, "/up", &Value::Null).await.0, 200);
    }
    let (status, _) = cluster.call(0, Method::POST, "/v2/runs", &job("run-9", "free", 1, 1.0, "low")).await;
    assert_eq!(status, 503);
    cluster.state.outage(false);
    cluster.until_stage("run-8", "done").await;
    assert!((0..2).all(|i| cluster.checker.starts(&format!("run-8/{i}")) == 1));
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_controller_that_alone_lost_the_state_service_has_a_peer_answer_its_users() {
    let cluster = Cluster::start(1).await;
    for (n, action) in [(0, Action::Drop), (1, Action::Refuse)] {
        cluster.net.rule(Rule::all(&host(n), STATE, action));
        pause(4.0).await;
        let id = format!("run-{n}1");
        let (status, _) = cluster.call(n, Method::POST, "/v2/runs", &job(&id, "free", 1, 1.0, "low")).await;
        assert_eq!(status, 201);
        assert_eq!(cluster.job_status(n, &id).await.0, 200);
        assert_eq!(cluster.job_status(n, "run-404").await.0, 404);
        assert_eq!(cluster.call(n, Method::GET, "/up", &Value::Null).await.0, 200);
        cluster.net.clear_rules();
        pause(10.0).await;
        cluster.until_stage(&id, "done").await;
    }
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn controllers_restarted_during_an_outage_serve_when_it_ends() {
    let cluster = Cluster::start(1).await;
    cluster.submit("run-1", "free", 1, 1.0, "low").await;
    cluster.state.outage(true);
    (0..3).for_each(|n| cluster.kill_node(n));
    (0..3).for_each(|n| cluster.start_node(n));
    pause(3.0).await;
    for n in 0..3 {
        assert_eq!(cluster.call(n, Method::GET, "/up", &Value::Null).await.0, 200);
        assert_eq!(cluster.job_status(n, "run-1").await.0, 503);
        assert_eq!(cluster.job_status(n, "run-404").await.0, 503);
    }
    cluster.state.outage(false);
    cluster.until_stage("run-1", "done").await;
    // A controller that has not loaded the records while others have is out of service.
    cluster.net.rule(Rule::all(&host(2), STATE, Action::Drop));
    cluster.kill_node(2);
    cluster.start_node(2);
    pause(3.0).await;
    assert_eq!(cluster.call(2, Method::GET, "/up", &Value::Null).await.0, 503);
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn requests_beyond_the_concurrency_limit_get_503_with_retry_after() {
    let options = Options { max_requests: 2, ..Options::default() };
    let cluster = Cluster::with_options(1, |_| {}, options).await;
    cluster.submit("run-10", "free", 1, 1.0, "low").await;
    let polls = (0..6).map(|_| {
        let node = cluster.node(0);
        tokio::spawn(async move { node.handle(&Method::GET, "/v2/runs/run-10", Default::default()).await })
    });
    let mut codes = Vec::new();
    for poll in polls.collect::<Vec<_>>() {
        let reply = poll.await.unwrap();
        assert!(reply.status == 200 || reply.retry_after.is_some());
        codes.push(reply.status);
    }
    codes.sort_unstable();
    assert_eq!(codes, [200, 200, 503, 503, 503, 503]);
}

// The stage of a cancelled job is final, so it can be answered without the state service. While the
// job's tasks were still running, the stage used to be confirmed there each time, which gave a 503 in
// an outage.
#[tokio::test(start_paused = true)]
async fn a_cancelled_job_whose_tasks_still_run_is_answered_during_an_outage() {
    let adjust = |timing: &mut dapplecroft_fakes::WorkerTiming| {
        timing.runs.insert("run-1".into(), Duration::from_secs(200));
    };
    let cluster = Cluster::with_options(1, adjust, Options::default()).await;
    cluster.submit("run-1", "free", 2, 4.0, "normal").await;
    cluster.until_running(2).await;
    let machine = cluster.cloud.machines()[0].clone();
    cluster.net.rule(Rule::all(&machine, "", Action::Drop));
    cluster.net.rule(Rule::all("", &format!("w:{machine}"), Action::Drop));
    cluster.cancel(0, "run-1").await;
    pause(1.0).await;
    cluster.state.outage(true);
    pause(1.0).await;
    for n in 0..3 {
        assert_eq!(cluster.job_status(n, "run-1").await.1["stage"], "withdrawn");
        let path = "/v2/runs/run-1/withdraw";
        assert_eq!(cluster.call(n, Method::POST, path, &Value::Null).await.1["stage"], "withdrawn");
        let resubmission =
            cluster.call(n, Method::POST, "/v2/runs", &job("run-1", "free", 2, 4.0, "normal")).await;
        assert_eq!((resubmission.0, &resubmission.1["stage"]), (200, &json!("withdrawn")));
    }
    assert_eq!(cluster.checker.on().len(), 2, "the tasks of the cancelled job must still run");
    cluster.state.outage(false);
    cluster.net.clear_rules();
    cluster.until("the tasks of the cancelled job have stopped", || cluster.checker.on().is_empty()).await;
    cluster.assert_invariants_hold();
}
