//! What is checked at the end of a day, after every kind of trouble.

use crate::cluster::{CLOUD, Cluster, STATE, host, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use http::Method;
use serde_json::Value;
use std::time::Duration;

fn lasting(jobs: &'static [(&'static str, u64)]) -> impl FnOnce(&mut dapplecroft_fakes::WorkerTiming) {
    move |timing| {
        for (job, seconds) in jobs {
            timing.runs.insert(job.to_string(), Duration::from_secs(*seconds));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn after_all_troubles_at_once_every_job_is_known_and_goes_on() {
    let c = Cluster::with_options(3, lasting(&[("run-2", 60), ("run-3", 400)]), Options::default()).await;
    c.submit("run-1", "free", 2, 4.0, "normal").await;
    c.until_stage("run-1", "done").await;
    c.submit("run-2", "free", 4, 4.0, "normal").await;
    c.submit("run-3", "free", 2, 4.0, "normal").await;
    c.until_running(6).await;
    c.submit("run-4", "tight", 40, 8.0, "low").await;
    c.cancel(1, "run-3").await;
    // Everything fails together, and controllers come back into the failure.
    c.state.outage(true);
    c.cloud.outage(true);
    (0..3).for_each(|n| c.kill_node(n));
    pause(2.0).await;
    (0..3).for_each(|n| c.start_node(n));
    pause(10.0).await;
    c.kill_node(0);
    c.start_node(0);
    pause(8.0).await;
    c.state.outage(false);
    c.cloud.outage(false);
    c.assert_recovers(&["run-1", "run-2", "run-3", "run-4"]).await;
    assert_eq!(c.job_status(2, "run-1").await.1["stage"], "done");
    assert_eq!(c.job_status(2, "run-3").await.1["stage"], "withdrawn");
    c.until_stage("run-2", "done").await;
    c.until_stage("run-4", "done").await;
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_reports_and_hears_nothing_gets_no_more_work_and_is_replaced() {
    let c = Cluster::with_options(4, lasting(&[("run-1", 20)]), Options::default()).await;
    c.submit("run-1", "free", 2, 16.0, "normal").await;
    c.until_running(2).await;
    let deaf = c.checker.on()["run-1/0"].clone();
    // Its reports arrive; neither answers nor commands reach it.
    c.net.rule(Rule::all(&deaf, "", Action::LoseAnswer).path("/hello"));
    c.net.rule(Rule::all("", &format!("w:{deaf}"), Action::Drop));
    c.submit("run-2", "free", 6, 8.0, "normal").await;
    c.until_stage("run-2", "done").await;
    c.until_stage("run-1", "done").await;
    c.until("it is released", || !c.cloud.machines().contains(&deaf)).await;
    let starts: usize = (0..2).map(|i| c.checker.starts(&format!("run-1/{i}"))).sum();
    assert!(starts <= 3, "only what was on it can have been started again");
    c.assert_recovers(&["run-1", "run-2"]).await;
}

#[tokio::test(start_paused = true)]
async fn tasks_of_a_machine_that_hears_nothing_restart_only_on_proof() {
    let c = Cluster::with_options(4, lasting(&[("run-1", 100)]), Options::default()).await;
    c.submit("run-1", "tight", 1, 16.0, "normal").await;
    c.until_running(1).await;
    let deaf = c.checker.on()["run-1/0"].clone();
    c.net.rule(Rule::all(&deaf, "", Action::LoseAnswer).path("/hello"));
    c.net.rule(Rule::all("", &format!("w:{deaf}"), Action::Drop));
    // Nor can it be released: that its worker's lease has ended is the proof.
    c.net.rule(Rule::all("", CLOUD, Action::Refuse).path("/rentals/release"));
    pause(20.0).await;
    assert_eq!(c.checker.starts("run-1/0"), 1, "it may still be running");
    c.until("it runs elsewhere", || c.checker.starts("run-1/0") == 2).await;
    c.until_stage("run-1", "done").await;
    c.assert_recovers(&["run-1"]).await;
}

#[tokio::test(start_paused = true)]
async fn late_copies_of_reports_prove_nothing_to_any_holder() {
    let c = Cluster::with_options(3, lasting(&[("run-1", 150), ("run-2", 3)]), Options::default()).await;
    c.submit("run-2", "free", 1, 4.0, "normal").await;
    c.until_running(1).await;
    let machine = c.checker.on()["run-2/0"].clone();
    let worker = c.cloud.worker(&machine);
    let mut copies = vec![worker.report()];
    c.until_stage("run-2", "done").await;
    copies.push(worker.report());
    c.submit("run-1", "free", 3, 4.0, "normal").await;
    pause(0.2).await;
    copies.push(worker.report());
    c.until_running(3).await;
    copies.push(worker.report());
    for round in 0..4 {
        // To the holder, to a new one before it has heard anything else, and
        // after longer than a lease.
        for copy in &copies {
            let body = serde_json::to_value(copy).unwrap();
            for n in 0..3 {
                let (_, answer) = c.call(n, Method::POST, "/hello", &body).await;
                let orders = answer["orders"].as_array().map_or(0, Vec::len);
                assert_eq!(orders, 0, "{answer}");
            }
        }
        if round < 3 {
            let leader = c.leader().unwrap();
            c.kill_node(leader);
            pause([0.0, 0.3, 31.0][round]).await;
            c.start_node(leader);
            c.until("a leader", || c.leader().is_some()).await;
        }
    }
    c.until_stage("run-1", "done").await;
    assert!((0..3).all(|i| c.checker.starts(&format!("run-1/{i}")) == 1));
    assert_eq!(c.checker.starts("run-2/0"), 1);
    c.assert_recovers(&["run-1", "run-2"]).await;
}

#[tokio::test(start_paused = true)]
async fn requests_that_were_carried_out_and_come_again_change_nothing() {
    let c = Cluster::with_options(3, lasting(&[("run-1", 20)]), Options::default()).await;
    // The first few answers of everything are lost, so that all is repeated.
    for (to, path, times) in [(STATE, "/multi", 6), (CLOUD, "/rentals", 2), (CLOUD, "/rentals/release", 2)] {
        c.net.rule(Rule::all("", to, Action::LoseAnswer).path(path).times(times));
    }
    c.net.rule(Rule::all("", "", Action::LoseAnswer).path("/do").times(3));
    c.submit("run-1", "tight", 2, 8.0, "normal").await;
    c.submit("run-2", "free", 2, 8.0, "normal").await;
    c.until("some run", || c.checker.on().len() >= 2).await;
    c.cancel(0, "run-2").await;
    for n in 0..3 {
        let again = c.call(n, Method::POST, "/v2/runs", &job("run-2", "free", 2, 8.0, "normal")).await;
        assert_eq!((again.0, again.1["stage"].as_str()), (200, Some("withdrawn")));
        let again = c.call(n, Method::POST, "/v2/runs/run-2/withdraw", &Value::Null).await;
        assert_eq!((again.0, again.1["stage"].as_str()), (200, Some("withdrawn")));
    }
    c.until_stage("run-1", "done").await;
    let again = c.call(1, Method::POST, "/v2/runs/run-1/withdraw", &Value::Null).await;
    assert_eq!((again.0, again.1["stage"].as_str()), (200, Some("done")));
    c.until("all are returned", || c.cloud.machines().is_empty()).await;
    c.assert_recovers(&["run-1", "run-2"]).await;
    assert!((0..2).all(|i| c.checker.starts(&format!("run-1/{i}")) == 1));
}

#[tokio::test(start_paused = true)]
async fn a_machine_back_in_a_moment_runs_nothing_that_was_on_its_way() {
    let c = Cluster::with_options(2, lasting(&[("run-1", 30)]), Options::default()).await;
    c.submit("run-0", "free", 1, 4.0, "normal").await;
    c.until_running(1).await;
    let machine = c.checker.on()["run-0/0"].clone();
    c.until_stage("run-0", "done").await;
    c.net.rule(Rule::all("", &format!("w:{machine}"), Action::Hold).path("/do").body("start"));
    c.submit("run-1", "free", 2, 4.0, "normal").await;
    c.until("a start is on its way", || c.net.held() > 0).await;
    c.cloud.worker(&machine).blink();
    c.net.clear_rules();
    c.until_running(2).await;
    let codes = c.net.deliver().await;
    assert!(codes.iter().all(|code| *code == 409), "{codes:?}");
    // And once more while they run.
    c.cloud.worker(&machine).blink();
    c.until_stage("run-1", "done").await;
    c.assert_recovers(&["run-0", "run-1"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_controller_that_has_only_its_workers_left_gives_way_in_time() {
    let options = Options { shard_machines: Some(1), ..Options::default() };
    let c = Cluster::with_options(4, lasting(&[("run-1", 90), ("run-2", 300)]), options).await;
    c.submit("run-1", "free", 4, 8.0, "normal").await;
    c.submit("run-2", "free", 2, 8.0, "normal").await;
    c.until_running(6).await;
    let alone = c.leader().unwrap();
    c.net.rule(Rule::all(&host(alone), STATE, Action::Drop));
    c.net.rule(Rule::all(&host(alone), CLOUD, Action::Drop));
    pause(1.0).await;
    c.cancel((alone + 1) % 3, "run-2").await;
    pause(60.0).await;
    assert!(!c.checker.on().keys().any(|t| t.starts_with("run-2/")));
    assert!((0..4).all(|i| c.checker.starts(&format!("run-1/{i}")) == 1), "workers moved on, tasks too");
    c.until_stage("run-1", "done").await;
    c.assert_recovers(&["run-1", "run-2"]).await;
}

#[tokio::test(start_paused = true)]
async fn in_overload_the_largest_begin_in_time_and_nobody_is_starved() {
    let c = Cluster::with_options(2, |t| t.fetch = Duration::from_millis(100), Options::default()).await;
    let mut ids: Vec<String> = Vec::new();
    // Small jobs come faster than two machines serve them, some of them urgent.
    for n in 0..170 {
        if n == 20 {
            c.submit("run-9000", "free", 3, 16.0, "normal").await;
            c.submit("run-9001", "tight", 2, 16.0, "normal").await;
            ids.extend(["run-9000".to_string(), "run-9001".to_string()]);
        }
        let id = format!("run-{n}");
        let (team, rank) = if n % 3 == 0 { ("tight", "normal") } else { ("free", "normal") };
        let rank = if n % 5 == 0 { "urgent" } else { rank };
        c.submit(&id, team, 1, 4.0, rank).await;
        ids.push(id);
        pause(1.0).await;
    }
    pause(100.0).await;
    for id in ["run-9000", "run-9001"] {
        assert!(c.checker.starts(&format!("{id}/0")) > 0, "{id} has not begun");
    }
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    c.assert_recovers(&ids).await;
}

#[tokio::test(start_paused = true)]
async fn a_controller_back_in_a_moment_in_mid_election_leads_or_serves_again() {
    let c = Cluster::with_options(3, lasting(&[("run-1", 60)]), Options::default()).await;
    c.submit("run-1", "free", 6, 4.0, "normal").await;
    c.until_running(6).await;
    for gap in [0.05, 0.1, 0.4] {
        let leader = c.leader().unwrap();
        c.state.end_leases();
        // The leader and a candidate end while the others stand for election,
        // twice in a row.
        for _ in 0..2 {
            for n in [leader, (leader + 1) % 3] {
                c.kill_node(n);
            }
            pause(gap).await;
            for n in [leader, (leader + 1) % 3] {
                c.start_node(n);
            }
            pause(0.1).await;
        }
        c.until("a leader", || c.leader().is_some()).await;
    }
    c.until_stage("run-1", "done").await;
    assert!((0..6).all(|i| c.checker.starts(&format!("run-1/{i}")) == 1));
    c.assert_recovers(&["run-1"]).await;
}
