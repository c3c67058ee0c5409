//! What users see.

use crate::cluster::{CLOUD, Cluster, STATE, host, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use http::Method;
use serde_json::{Value, json};
use std::time::Duration;

/// Whether the records of what runs have nothing on any machine.
fn nothing_runs(c: &Cluster) -> bool {
    let keys = c.state.keys("dc/q/");
    !keys.is_empty() && keys.iter().all(|k| c.state.value(k).is_none_or(|v| v.get("m").is_none()))
}

#[tokio::test(start_paused = true)]
async fn a_job_runs_and_a_submission_repeated_after_its_end_gets_its_end() {
    let c = Cluster::start(4).await;
    c.submit("run-1", "free", 20, 4.0, "normal").await;
    c.until_stage("run-1", "done").await;
    for n in 0..3 {
        let (status, answer) =
            c.call(n, Method::POST, "/v2/runs", &job("run-1", "free", 20, 4.0, "normal")).await;
        assert_eq!((status, &answer["stage"], &answer["done"]), (200, &json!("done"), &json!(20)));
    }
    assert!((0..20).all(|i| c.checker.starts(&format!("run-1/{i}")) == 1));
    // What is kept of it is small, and its placements are gone.
    assert!(c.state.value("dc/j/run-1").unwrap().get("spec").is_none());
    assert!(nothing_runs(&c));
    assert!(c.state.largest() <= 12);
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_job_of_very_many_tasks_ends_within_the_limits_of_values_and_transactions() {
    let c = Cluster::with_options(
        8,
        |t| {
            t.runs.insert("run-2".into(), Duration::from_millis(100));
            t.runs.insert("run-3".into(), Duration::from_secs(60));
        },
        Options::default(),
    )
    .await;
    c.submit("run-2", "free", 1200, 0.25, "normal").await;
    c.until_stage("run-2", "done").await;
    c.submit("run-3", "free", 1200, 0.1, "normal").await;
    c.until("most of it runs", || c.checker.on().len() > 1000).await;
    c.cancel(1, "run-3").await;
    c.until("its record is compact", || c.state.value("dc/j/run-3").is_some_and(|v| v.get("spec").is_none()))
        .await;
    assert!(c.checker.on().is_empty() && nothing_runs(&c));
    assert!(c.state.largest() <= 12);
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn what_cannot_be_taken_is_answered_in_so_many_words() {
    let c = Cluster::start(1).await;
    c.until("machine types known", || c.state.value("dc/catalog").is_some()).await;
    pause(1.0).await;
    let submit = |body: Value| {
        let c = &c;
        async move { c.call(1, Method::POST, "/v2/runs", &body).await }
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
    let node = c.node(0);
    let raw = |body: Vec<u8>| {
        let node = node.clone();
        async move { node.handle(&Method::POST, "/v2/runs", body.into()).await }
    };
    assert_eq!(raw(b"{".to_vec()).await.status, 400);
    assert_eq!(raw(b"[]".to_vec()).await.status, 400);
    assert_eq!(raw(vec![b' '; 65 * 1024]).await.status, 400);
    assert_eq!(c.job_status(2, "run-5").await.0, 404);
    assert_eq!(c.job_status(2, "nonsense").await.0, 404);
    assert_eq!(submit(good.clone()).await.0, 201);
    assert_eq!(c.job_status(2, "run-5").await.0, 200);
    // Known jobs keep their answer even if the settings would now refuse them.
    assert_eq!(submit(good).await.0, 200);
}

#[tokio::test(start_paused = true)]
async fn machine_types_survive_a_restart_during_an_outage_of_the_cloud() {
    let c = Cluster::start(2).await;
    c.until("machine types known", || c.state.value("dc/catalog").is_some()).await;
    c.cloud.outage(true);
    (0..3).for_each(|n| c.kill_node(n));
    (0..3).for_each(|n| c.start_node(n));
    c.submit("run-6", "free", 1, 4.0, "normal").await;
    assert!(c.cloud.machines().is_empty());
    c.cloud.outage(false);
    c.until_stage("run-6", "done").await;
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn submissions_are_put_off_while_machine_types_are_unknown() {
    let c = Cluster::start(2).await;
    c.net.rule(Rule::all("", CLOUD, Action::Refuse));
    // The first look at the types may have been answered before the rule.
    if c.state.value("dc/catalog").is_none() {
        let reply = c
            .node(0)
            .handle(&Method::POST, "/v2/runs", job("run-7", "free", 1, 1.0, "low").to_string().into())
            .await;
        assert_eq!((reply.status, reply.retry_after.is_some()), (503, true));
    }
    c.net.clear_rules();
    c.submit("run-7", "free", 1, 1.0, "low").await;
    c.until_stage("run-7", "done").await;
}

#[tokio::test(start_paused = true)]
async fn an_outage_across_a_completion_is_answered_503_and_then_done() {
    let c = Cluster::start(2).await;
    c.submit("run-8", "free", 2, 4.0, "normal").await;
    c.until_running(2).await;
    c.state.outage(true);
    pause(14.0).await;
    assert!(c.checker.on().is_empty(), "running tasks go on, and end");
    for n in 0..3 {
        // Nothing that is not final is told without being confirmed.
        assert_eq!(c.job_status(n, "run-8").await.0, 503);
        assert_eq!(c.job_status(n, "run-404").await.0, 503);
        // In an outage that all share, nodes stay in service.
        assert_eq!(c.call(n, Method::GET, "/up", &Value::Null).await.0, 200);
    }
    let (status, _) = c.call(0, Method::POST, "/v2/runs", &job("run-9", "free", 1, 1.0, "low")).await;
    assert_eq!(status, 503);
    c.state.outage(false);
    c.until_stage("run-8", "done").await;
    assert!((0..2).all(|i| c.checker.starts(&format!("run-8/{i}")) == 1));
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_node_that_alone_has_lost_the_state_service_has_its_users_answered_by_a_peer() {
    let c = Cluster::start(1).await;
    for (n, action) in [(0, Action::Drop), (1, Action::Refuse)] {
        c.net.rule(Rule::all(&host(n), STATE, action));
        pause(4.0).await;
        let id = format!("run-{n}1");
        let (status, _) = c.call(n, Method::POST, "/v2/runs", &job(&id, "free", 1, 1.0, "low")).await;
        assert_eq!(status, 201);
        assert_eq!(c.job_status(n, &id).await.0, 200);
        assert_eq!(c.job_status(n, "run-404").await.0, 404);
        assert_eq!(c.call(n, Method::GET, "/up", &Value::Null).await.0, 200);
        c.net.clear_rules();
        pause(10.0).await;
        c.until_stage(&id, "done").await;
    }
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn nodes_restarted_during_an_outage_are_in_service_when_it_ends() {
    let c = Cluster::start(1).await;
    c.submit("run-1", "free", 1, 1.0, "low").await;
    c.state.outage(true);
    (0..3).for_each(|n| c.kill_node(n));
    (0..3).for_each(|n| c.start_node(n));
    pause(3.0).await;
    for n in 0..3 {
        assert_eq!(c.call(n, Method::GET, "/up", &Value::Null).await.0, 200);
        assert_eq!(c.job_status(n, "run-1").await.0, 503);
        assert_eq!(c.job_status(n, "run-404").await.0, 503);
    }
    c.state.outage(false);
    c.until_stage("run-1", "done").await;
    // One that has not read the records while others have is of no use.
    c.net.rule(Rule::all(&host(2), STATE, Action::Drop));
    c.kill_node(2);
    c.start_node(2);
    pause(3.0).await;
    assert_eq!(c.call(2, Method::GET, "/up", &Value::Null).await.0, 503);
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn too_many_requests_are_told_to_come_back() {
    let options = Options { max_requests: 2, ..Options::default() };
    let c = Cluster::with_options(1, |_| {}, options).await;
    c.submit("run-10", "free", 1, 1.0, "low").await;
    let polls = (0..6).map(|_| {
        let node = c.node(0);
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

// Withdrawn is as final as done, but while tasks were still on machines it was
// confirmed with the state service each time, and refused in an outage.
#[tokio::test(start_paused = true)]
async fn what_is_withdrawn_is_told_in_an_outage_as_well_while_its_tasks_are_not_gone() {
    let runs = |t: &mut dapplecroft_fakes::WorkerTiming| {
        t.runs.insert("run-1".into(), Duration::from_secs(200));
    };
    let c = Cluster::with_options(1, runs, Options::default()).await;
    c.submit("run-1", "free", 2, 4.0, "normal").await;
    c.until_running(2).await;
    let machine = c.cloud.machines()[0].clone();
    c.net.rule(Rule::all(&machine, "", Action::Drop));
    c.net.rule(Rule::all("", &format!("w:{machine}"), Action::Drop));
    c.cancel(0, "run-1").await;
    pause(1.0).await;
    c.state.outage(true);
    pause(1.0).await;
    for n in 0..3 {
        assert_eq!(c.job_status(n, "run-1").await.1["stage"], "withdrawn");
        let path = "/v2/runs/run-1/withdraw";
        assert_eq!(c.call(n, Method::POST, path, &Value::Null).await.1["stage"], "withdrawn");
        let again = c.call(n, Method::POST, "/v2/runs", &job("run-1", "free", 2, 4.0, "normal")).await;
        assert_eq!((again.0, &again.1["stage"]), (200, &json!("withdrawn")));
    }
    assert_eq!(c.checker.on().len(), 2, "they are not gone");
    c.state.outage(false);
    c.net.clear_rules();
    c.until("they are gone", || c.checker.on().is_empty()).await;
    c.assert_invariants_hold();
}
