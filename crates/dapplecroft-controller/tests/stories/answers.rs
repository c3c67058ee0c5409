//! Consistency of answers to users: all controllers are queried repeatedly right after a job
//! changes its stage.

use crate::cluster::{Cluster, STATE, host, job, pause, rejection_reason};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use serde_json::Value;
use std::time::Duration;

fn set_run_times(timing: &mut WorkerTiming) {
    for k in 0..10 {
        timing.runs.insert(format!("run-1{k}"), Duration::from_secs(100));
        timing.runs.insert(format!("run-2{k}"), Duration::from_millis(700));
    }
}

/// Queries the job at all controllers and resubmits it, a few times within milliseconds. Every
/// answer must be a 503 or have one of the expected stages.
async fn assert_answers_have_stage(cluster: &Cluster, id: &str, body: &Value, expected: &[&str]) {
    for round in 0..4 {
        for (status, answer) in cluster.job_status_everywhere(id).await {
            let stage = answer["stage"].as_str().unwrap_or_default();
            assert!(status == 503 || (status == 200 && expected.contains(&stage)), "{id}: {status} {answer}");
        }
        let (status, stage) = cluster.submit_once(round % 3, id, body).await;
        assert!(
            status == 503 || (status == 200 && expected.contains(&stage.as_str())),
            "{id}: {status} {stage}"
        );
        pause(0.003).await;
    }
}

/// Submits one job that is cancelled at once and one that completes, and queries all controllers
/// after each change of their stages.
async fn submit_and_query_two_jobs(cluster: &Cluster, round: usize) {
    const OPEN_STAGES: &[&str] = &["queued", "running"];
    let node_at = |n: usize| (round + n) % 3;
    // Cancelled at once, at another controller than the one that accepted the job.
    let (id, body) = (format!("run-1{round}"), job(&format!("run-1{round}"), "free", 2, 4.0, "normal"));
    cluster.checker.job(&id, "free", 4.0);
    while !matches!(cluster.submit_once(node_at(0), &id, &body).await.0, 200 | 201) {
        pause(0.2).await;
    }
    while cluster.cancel_once(node_at(1), &id).await.0 != 200 {
        pause(0.2).await;
    }
    assert_answers_have_stage(cluster, &id, &body, &["withdrawn"]).await;
    // Queried while it runs, and left to complete.
    let (id, body) = (format!("run-2{round}"), job(&format!("run-2{round}"), "free", 2, 4.0, "normal"));
    cluster.checker.job(&id, "free", 4.0);
    while !matches!(cluster.submit_once(node_at(2), &id, &body).await.0, 200 | 201) {
        pause(0.2).await;
    }
    assert_answers_have_stage(cluster, &id, &body, &["queued", "running", "done"]).await;
    let mut done = false;
    for _ in 0..600 {
        done = cluster.job_status_everywhere(&id).await.iter().any(|(_, answer)| answer["stage"] == "done");
        if done {
            break;
        }
        pause(0.05).await;
    }
    assert!(done, "{id} is not done");
    assert_answers_have_stage(cluster, &id, &body, &["done"]).await;
    assert_eq!(cluster.cancel_once(node_at(1), &id).await.1, "done");
    assert!(!OPEN_STAGES.contains(&cluster.reported_stage(&id).as_str()));
}

/// A controller whose record replica lags behind must not answer with an earlier stage than another
/// controller has already told the user.
#[tokio::test(start_paused = true)]
async fn no_controller_answers_with_an_older_stage_than_another_did() {
    let cluster = Cluster::with_options(4, set_run_times, Options::default()).await;
    for round in 0..3 {
        submit_and_query_two_jobs(&cluster, round).await;
    }
    cluster.assert_invariants_hold();
}

/// A transaction on a job was carried out, or is carried out later, but its controller never
/// receives the answer. The controllers must still agree on the job's stage.
#[tokio::test(start_paused = true)]
async fn no_controller_answers_with_an_older_stage_after_a_state_service_answer_was_lost() {
    for action in [Action::LoseAnswer, Action::Hold] {
        let cluster = Cluster::with_options(4, set_run_times, Options::default()).await;
        for round in 0..3 {
            // One transaction on job records of each controller gets no answer: it is carried out
            // at once (`LoseAnswer`) or later (`Hold`).
            for n in 0..3 {
                cluster
                    .net
                    .rule(Rule::all(&host(n), STATE, action).path("/multi").body("\"set\":\"dc/j/").times(1));
            }
            submit_and_query_two_jobs(&cluster, round).await;
            cluster.net.deliver().await;
            for id in [format!("run-1{round}"), format!("run-2{round}")] {
                cluster.job_status_everywhere(&id).await;
            }
        }
        assert!(cluster.net.matched(action) >= 6, "{}", cluster.net.matched(action));
        cluster.assert_invariants_hold();
    }
}

/// A controller that is still loading its records, or that forwards requests to a peer because the
/// state service refuses it, must not answer with an earlier stage.
#[tokio::test(start_paused = true)]
async fn restarted_and_forwarding_controllers_do_not_answer_with_an_older_stage() {
    let cluster = Cluster::with_options(4, set_run_times, Options::default()).await;
    for round in 0..6 {
        let leader = cluster.leader().unwrap();
        let other = (leader + 1) % 3;
        if round % 2 == 0 {
            // The restarted controller is queried while it loads the records.
            cluster.kill_node(other);
            cluster.start_node(other);
        } else {
            // The state service refuses this controller, which forwards requests to a peer until it
            // is let in again.
            cluster.state.bar(&host(other), true);
            pause(3.0).await;
        }
        submit_and_query_two_jobs(&cluster, round).await;
        cluster.state.bar(&host(other), false);
        for k in 0..=round {
            for id in [format!("run-1{k}"), format!("run-2{k}")] {
                cluster.job_status_everywhere(&id).await;
            }
        }
    }
    assert!(cluster.state.turned_away() > 0);
    cluster.assert_invariants_hold();
}

// A cancellation arrives at about the time the last task completes. The job must end as either done
// or cancelled, with the same answer at every controller from then on, also after the leader
// restarts.
#[tokio::test(start_paused = true)]
async fn a_cancellation_racing_with_completion_has_one_permanent_outcome() {
    let (mut done, mut cancelled) = (0, 0);
    for step in 0..24 {
        let cluster = Cluster::with_options(2, set_run_times, Options::default()).await;
        let body = job("run-21", "free", 2, 4.0, "normal");
        cluster.submit_body("run-21", &body).await;
        cluster.until_running(2).await;
        pause(0.55 + f64::from(step) * 0.02).await;
        let (a, b) = tokio::join!(cluster.cancel_once(0, "run-21"), cluster.cancel_once(1, "run-21"));
        for (status, stage) in [a, b] {
            assert_eq!(status, 200);
            done += usize::from(stage == "done");
            cancelled += usize::from(stage == "withdrawn");
        }
        pause(5.0).await;
        let (leader, stage) = (cluster.leader().unwrap(), cluster.reported_stage("run-21"));
        cluster.kill_node(leader);
        cluster.start_node(leader);
        pause(8.0).await;
        let answers = cluster.job_status_everywhere("run-21").await;
        assert!(
            answers.iter().all(|(status, answer)| *status == 200 && answer["stage"] == stage.as_str()),
            "{answers:?}"
        );
        cluster.assert_invariants_hold();
    }
    assert!(done >= 4 && cancelled >= 4, "each outcome must occur: {done} done, {cancelled} withdrawn");
}

#[test]
fn unacceptable_detects_missing_fields_and_jobs_that_can_never_run() {
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

// Requests at every controller with missing fields, for jobs that fit on no machine, repeated
// submissions, and cancellations of completed and of unknown jobs.
#[tokio::test(start_paused = true)]
async fn invalid_and_repeated_requests_get_the_right_status() {
    let cluster = Cluster::with_options(4, set_run_times, Options::default()).await;
    let good = job("run-20", "free", 2, 4.0, "normal");
    cluster.submit_body("run-20", &good).await;
    for n in 0..3 {
        for field in good.as_object().unwrap().keys() {
            if ["hulls", "yard", "due_s", "id"].contains(&field.as_str()) {
                continue;
            }
            let mut body = good.clone();
            body["id"] = format!("run-9{n}").into();
            body[field] = Value::Null;
            assert_eq!(cluster.submit_once(n, "run-9", &body).await.0, 400, "{field}");
        }
        for (field, value) in [("cpus", 17.0.into()), ("memory_gb", 65.0.into()), ("crew", Value::from("x"))]
        {
            let mut body = good.clone();
            body["id"] = format!("run-9{n}").into();
            body[field] = value;
            assert_eq!(cluster.submit_once(n, "run-9", &body).await.0, 422, "{field}");
        }
        assert_eq!(cluster.submit_once(n, "run-20", &good).await.0, 200, "repeated submission");
        assert_eq!(cluster.cancel_once(n, "run-404").await.0, 404);
        assert_eq!(cluster.job_status(n, "run-404").await.0, 404);
    }
    cluster.until_stage("run-20", "done").await;
    for n in 0..3 {
        assert_eq!(cluster.cancel_once(n, "run-20").await, (200, "done".to_string()));
        assert_eq!(cluster.submit_once(n, "run-20", &good).await, (200, "done".to_string()));
    }
    cluster.assert_invariants_hold();
}
