//! Messages that arrive late, twice, or out of order.

use crate::cluster::{CLOUD, Cluster, STATE, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use http::Method;
use std::time::Duration;

#[tokio::test(start_paused = true)]
async fn a_start_that_was_held_on_the_wire_is_void_once_its_task_has_ended() {
    let c = Cluster::start(2).await;
    c.net.rule(Rule::all("", "", Action::Hold).path("/do").body("start"));
    c.submit("run-1", "free", 2, 4.0, "normal").await;
    // The starts get through in answers to reports instead.
    c.until_stage("run-1", "done").await;
    c.net.clear_rules();
    pause(10.0).await;
    assert!(c.net.held() > 0);
    let codes = c.net.deliver().await;
    assert!(codes.iter().all(|code| *code == 409), "{codes:?}");
    pause(5.0).await;
    assert!((0..2).all(|i| c.referee.starts(&format!("run-1/{i}")) == 1));
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn a_start_held_on_the_wire_is_void_once_its_task_has_moved() {
    let options = Options { max_preempted_loss: Duration::from_secs(600), ..Options::default() };
    let c = Cluster::with(
        2,
        |t| {
            t.runs.insert("run-1".into(), Duration::from_secs(90));
        },
        options,
    )
    .await;
    c.net.rule(Rule::all("", "", Action::Hold).path("/do").body("start"));
    c.submit("run-1", "free", 1, 16.0, "low").await;
    c.until_running(1).await;
    let first = c.referee.on()["run-1/0"].clone();
    c.net.clear_rules();
    // Something more urgent displaces it, and it moves to the other machine.
    c.submit("run-2", "free", 1, 16.0, "urgent").await;
    c.until("it runs again", || c.referee.starts("run-1/0") == 2).await;
    assert_ne!(c.referee.on().get("run-1/0"), Some(&first));
    let codes = c.net.deliver().await;
    assert!(!codes.is_empty() && codes.iter().all(|code| *code == 409), "{codes:?}");
    c.until_stage("run-1", "done").await;
    assert_eq!(c.referee.starts("run-1/0"), 2);
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn a_late_transaction_places_nothing_twice() {
    let c = Cluster::start(3).await;
    let placement = "\",\"m\":\"a";
    c.net.rule(Rule::all("", STATE, Action::Hold).path("/multi").body(placement).times(2));
    c.submit("run-1", "tight", 2, 8.0, "normal").await;
    c.until("both are held", || c.net.held() == 2).await;
    assert_eq!(c.net.deliver().await, [200, 409], "the second copy finds the first");
    c.until_stage("run-1", "done").await;
    assert!((0..2).all(|i| c.referee.starts(&format!("run-1/{i}")) == 1));
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn a_placement_of_a_leader_whose_lease_ended_is_never_made() {
    let c = Cluster::start(3).await;
    c.submit("run-1", "free", 1, 1.0, "normal").await;
    c.until_stage("run-1", "done").await;
    let old = c.leader().unwrap();
    c.net.rule(Rule::all(&host(old), STATE, Action::Hold).path("/multi").body("\",\"m\":\"a"));
    c.submit("run-2", "free", 1, 4.0, "normal").await;
    c.until("the placement is held", || c.net.held() > 0).await;
    // Its lease ends while the task is being placed.
    c.state.end_leases();
    c.net.rule(Rule::all(&host(old), STATE, Action::Drop));
    c.until("another leader", || c.leader().is_some_and(|n| n != old)).await;
    let codes = c.net.deliver().await;
    assert!(codes.iter().all(|code| *code == 409), "{codes:?}");
    c.net.clear_rules();
    c.until_stage("run-2", "done").await;
    assert_eq!(c.referee.starts("run-2/0"), 1);
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn a_late_copy_of_a_report_proves_nothing() {
    let c = Cluster::with(
        2,
        |t| {
            t.runs.insert("run-1".into(), Duration::from_secs(30));
        },
        Options::default(),
    )
    .await;
    c.submit("run-1", "free", 1, 4.0, "normal").await;
    c.until("a machine", || !c.cloud.machines().is_empty()).await;
    pause(5.2).await;
    let machine = c.cloud.machines()[0].clone();
    // A report from before the task was there.
    let early = c.cloud.worker(&machine).report();
    c.until_running(1).await;
    let leader = c.leader().unwrap();
    for _ in 0..3 {
        let body = serde_json::to_value(&early).unwrap();
        let (status, answer) = c.call(leader, Method::POST, "/hello", &body).await;
        assert_eq!(status, 200);
        assert_eq!(answer["orders"], serde_json::json!([]), "late copies are given no commands");
        pause(2.0).await;
    }
    c.until_stage("run-1", "done").await;
    assert_eq!(c.referee.starts("run-1/0"), 1);
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn a_report_with_a_newer_token_is_sent_away() {
    let c = Cluster::start(1).await;
    c.submit("run-1", "free", 1, 1.0, "normal").await;
    c.until_stage("run-1", "done").await;
    let leader = c.leader().unwrap();
    let machine = c.cloud.machines()[0].clone();
    let mut report = c.cloud.worker(&machine).report();
    report.token += 1 << 30;
    let body = serde_json::to_value(&report).unwrap();
    assert_eq!(c.call(leader, Method::POST, "/hello", &body).await.0, 421);
    // Any other node names the holder.
    let (status, answer) = c.call((leader + 1) % 3, Method::POST, "/hello", &body).await;
    assert_eq!((status, answer["steward"].as_str()), (421, Some(host(leader).as_str())));
}

#[tokio::test(start_paused = true)]
async fn a_rental_that_is_carried_out_late_is_used_or_returned() {
    let c = Cluster::start(4).await;
    c.net.rule(Rule::all("", CLOUD, Action::Hold).path("/rentals").body("charter").times(1));
    c.submit("run-1", "free", 1, 16.0, "normal").await;
    c.until("it is held", || c.net.held() == 1).await;
    // Another leader rents under another name before the old request arrives.
    let old = c.leader().unwrap();
    c.kill_node(old);
    c.start_node(old);
    c.until_stage("run-1", "done").await;
    c.net.deliver().await;
    assert_eq!(c.cloud.rented(), 2);
    c.until("all are returned", || c.cloud.machines().is_empty()).await;
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn a_release_whose_answer_is_lost_is_repeated_and_a_late_one_harms_nothing() {
    let c = Cluster::with(
        3,
        |t| {
            t.runs.insert("run-1".into(), Duration::from_secs(40));
        },
        Options::default(),
    )
    .await;
    c.submit("run-1", "free", 2, 16.0, "normal").await;
    c.until_running(2).await;
    c.net.rule(Rule::all("", CLOUD, Action::LoseAnswer).path("/rentals/release").times(2));
    c.net.rule(Rule::all("", CLOUD, Action::Hold).path("/rentals/release").times(1));
    let machine = c.referee.on()["run-1/0"].clone();
    c.cloud.take(&machine);
    c.until("its task runs elsewhere", || c.referee.starts("run-1/0") == 2).await;
    c.net.deliver().await;
    c.until_stage("run-1", "done").await;
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn a_list_older_than_the_last_brings_no_machine_back_and_takes_none() {
    let options = Options { idle_release_after: Some(Duration::from_secs(5)), ..Options::default() };
    let c = Cluster::with(
        3,
        |t| {
            t.runs.insert("run-2".into(), Duration::from_secs(40));
        },
        options,
    )
    .await;
    c.submit("run-1", "free", 2, 16.0, "normal").await;
    c.until_stage("run-1", "done").await;
    c.until("all are returned", || c.cloud.machines().is_empty()).await;
    c.submit("run-2", "free", 1, 16.0, "normal").await;
    c.until_running(1).await;
    let mine = c.referee.on()["run-2/0"].clone();
    // From now on lists show what was returned, and not what is there.
    c.cloud.older_lists(Duration::from_secs(30));
    pause(10.0).await;
    let known: Vec<String> =
        c.node(c.leader().unwrap()).with(|core| core.machines.keys().map(|id| id.to_string()).collect());
    assert_eq!(known, [mine]);
    c.until_stage("run-2", "done").await;
    assert_eq!(c.referee.starts("run-2/0"), 1);
    c.assert_rules_kept();
}
