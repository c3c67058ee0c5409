//! Users ask at all nodes, again and again, right after something became a fact.

use crate::cluster::{Cluster, STATE, host, job, pause, rejection_reason};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use serde_json::Value;
use std::time::Duration;

fn runs(timing: &mut WorkerTiming) {
    for k in 0..10 {
        timing.runs.insert(format!("run-1{k}"), Duration::from_secs(100));
        timing.runs.insert(format!("run-2{k}"), Duration::from_millis(700));
    }
}

/// Asks at all nodes within milliseconds, a few times, and submits again.
async fn close_looks(c: &Cluster, id: &str, body: &Value, expected: &[&str]) {
    for round in 0..4 {
        for (status, answer) in c.job_status_everywhere(id).await {
            let stage = answer["stage"].as_str().unwrap_or_default();
            assert!(status == 503 || (status == 200 && expected.contains(&stage)), "{id}: {status} {answer}");
        }
        let (status, stage) = c.submit_once(round % 3, id, body).await;
        assert!(
            status == 503 || (status == 200 && expected.contains(&stage.as_str())),
            "{id}: {status} {stage}"
        );
        pause(0.003).await;
    }
}

/// Jobs are accepted, withdrawn at once or later, or end; after each fact all
/// nodes are asked. Returns how many answers were of use.
async fn a_spell_of_looks(c: &Cluster, round: usize) {
    const OPEN: &[&str] = &["queued", "running"];
    let at = |n: usize| (round + n) % 3;
    // Withdrawn at once, by another node than the one that accepted it.
    let (id, body) = (format!("run-1{round}"), job(&format!("run-1{round}"), "free", 2, 4.0, "normal"));
    c.checker.job(&id, "free", 4.0);
    while !matches!(c.submit_once(at(0), &id, &body).await.0, 200 | 201) {
        pause(0.2).await;
    }
    while c.cancel_once(at(1), &id).await.0 != 200 {
        pause(0.2).await;
    }
    close_looks(c, &id, &body, &["withdrawn"]).await;
    // Looked at, and left to end.
    let (id, body) = (format!("run-2{round}"), job(&format!("run-2{round}"), "free", 2, 4.0, "normal"));
    c.checker.job(&id, "free", 4.0);
    while !matches!(c.submit_once(at(2), &id, &body).await.0, 200 | 201) {
        pause(0.2).await;
    }
    close_looks(c, &id, &body, &["queued", "running", "done"]).await;
    let mut done = false;
    for _ in 0..600 {
        done = c.job_status_everywhere(&id).await.iter().any(|(_, answer)| answer["stage"] == "done");
        if done {
            break;
        }
        pause(0.05).await;
    }
    assert!(done, "{id} ends");
    close_looks(c, &id, &body, &["done"]).await;
    assert_eq!(c.cancel_once(at(1), &id).await.1, "done");
    assert!(!OPEN.contains(&c.reported_stage(&id).as_str()));
}

#[tokio::test(start_paused = true)]
async fn no_node_answers_older_than_another_did() {
    let c = Cluster::with_options(4, runs, Options::default()).await;
    for round in 0..3 {
        a_spell_of_looks(&c, round).await;
    }
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn no_node_answers_older_than_another_did_whose_answer_from_the_state_service_was_lost() {
    for action in [Action::LoseAnswer, Action::Hold] {
        let c = Cluster::with_options(4, runs, Options::default()).await;
        for round in 0..3 {
            // Of every node's changes of jobs one has no answer: carried out, or late.
            for n in 0..3 {
                c.net
                    .rule(Rule::all(&host(n), STATE, action).path("/multi").body("\"set\":\"dc/j/").times(1));
            }
            a_spell_of_looks(&c, round).await;
            c.net.deliver().await;
            for id in [format!("run-1{round}"), format!("run-2{round}")] {
                c.job_status_everywhere(&id).await;
            }
        }
        assert!(c.net.matched(action) >= 6, "{}", c.net.matched(action));
        c.assert_invariants_hold();
    }
}

#[tokio::test(start_paused = true)]
async fn no_process_that_has_just_started_and_none_that_asks_a_peer_answers_older() {
    let c = Cluster::with_options(4, runs, Options::default()).await;
    for round in 0..6 {
        let leader = c.leader().unwrap();
        let other = (leader + 1) % 3;
        if round % 2 == 0 {
            // Its copy is loading while it is asked.
            c.kill_node(other);
            c.start_node(other);
        } else {
            // It has its users answered by a peer, and takes over again.
            c.state.bar(&host(other), true);
            pause(3.0).await;
        }
        a_spell_of_looks(&c, round).await;
        c.state.bar(&host(other), false);
        for k in 0..=round {
            for id in [format!("run-1{k}"), format!("run-2{k}")] {
                c.job_status_everywhere(&id).await;
            }
        }
    }
    assert!(c.state.turned_away() > 0);
    c.assert_invariants_hold();
}

// Done or withdrawn, one of both and for ever, at every node.
#[tokio::test(start_paused = true)]
async fn a_cancellation_that_meets_the_end_of_the_last_task_is_one_or_the_other_for_ever() {
    let (mut done, mut withdrawn) = (0, 0);
    for step in 0..24 {
        let c = Cluster::with_options(2, runs, Options::default()).await;
        let body = job("run-21", "free", 2, 4.0, "normal");
        c.submit_body("run-21", &body).await;
        c.until_running(2).await;
        pause(0.55 + f64::from(step) * 0.02).await;
        let (a, b) = tokio::join!(c.cancel_once(0, "run-21"), c.cancel_once(1, "run-21"));
        for (status, stage) in [a, b] {
            assert_eq!(status, 200);
            done += usize::from(stage == "done");
            withdrawn += usize::from(stage == "withdrawn");
        }
        pause(5.0).await;
        let (leader, stage) = (c.leader().unwrap(), c.reported_stage("run-21"));
        c.kill_node(leader);
        c.start_node(leader);
        pause(8.0).await;
        let answers = c.job_status_everywhere("run-21").await;
        assert!(answers.iter().all(|(s, a)| *s == 200 && a["stage"] == stage.as_str()), "{answers:?}");
        c.assert_invariants_hold();
    }
    assert!(done >= 4 && withdrawn >= 4, "both happen: {done}, {withdrawn}");
}

#[test]
fn a_job_that_must_not_be_accepted_is_caught() {
    let good = job("run-1", "free", 1, 4.0, "normal");
    assert_eq!(rejection_reason(&good), None);
    for (field, value) in
        [("mark_s", Value::Null), ("shares", Value::Null), ("cpus", 17.0.into()), ("crew", "x".into())]
    {
        let mut body = good.clone();
        body[field] = value;
        assert!(rejection_reason(&body).is_some(), "{field}");
    }
}

// Odd requests at every node: what is missing, what fits nowhere, what is repeated, and
// cancellations of what is done and of what nobody submitted.
#[tokio::test(start_paused = true)]
async fn odd_requests_are_answered_as_they_should_be_and_nothing_is_accepted_that_can_not_run() {
    let c = Cluster::with_options(4, runs, Options::default()).await;
    let good = job("run-20", "free", 2, 4.0, "normal");
    c.submit_body("run-20", &good).await;
    for n in 0..3 {
        for field in good.as_object().unwrap().keys() {
            if ["hulls", "yard", "due_s", "id"].contains(&field.as_str()) {
                continue;
            }
            let mut body = good.clone();
            body["id"] = format!("run-9{n}").into();
            body[field] = Value::Null;
            assert_eq!(c.submit_once(n, "run-9", &body).await.0, 400, "{field}");
        }
        for (field, value) in [("cpus", 17.0.into()), ("memory_gb", 65.0.into()), ("crew", Value::from("x"))]
        {
            let mut body = good.clone();
            body["id"] = format!("run-9{n}").into();
            body[field] = value;
            assert_eq!(c.submit_once(n, "run-9", &body).await.0, 422, "{field}");
        }
        assert_eq!(c.submit_once(n, "run-20", &good).await.0, 200, "a repeat");
        assert_eq!(c.cancel_once(n, "run-404").await.0, 404);
        assert_eq!(c.job_status(n, "run-404").await.0, 404);
    }
    c.until_stage("run-20", "done").await;
    for n in 0..3 {
        assert_eq!(c.cancel_once(n, "run-20").await, (200, "done".to_string()));
        assert_eq!(c.submit_once(n, "run-20", &good).await, (200, "done".to_string()));
    }
    c.assert_invariants_hold();
}
