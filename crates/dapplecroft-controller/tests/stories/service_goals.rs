//! Service goals that must hold after every kind of failure: no job is forgotten, every controller
//! answers, and no task runs twice without need.

use crate::cluster::{CLOUD, Cluster, STATE, host, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use http::Method;
use serde_json::Value;
use std::time::Duration;

fn run_times(jobs: &'static [(&'static str, u64)]) -> impl FnOnce(&mut dapplecroft_fakes::WorkerTiming) {
    move |timing| {
        for (job, seconds) in jobs {
            timing.runs.insert(job.to_string(), Duration::from_secs(*seconds));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn jobs_survive_simultaneous_failures_of_state_service_cloud_and_controllers() {
    let cluster =
        Cluster::with_options(3, run_times(&[("run-2", 60), ("run-3", 400)]), Options::default()).await;
    cluster.submit("run-1", "free", 2, 4.0, "normal").await;
    cluster.until_stage("run-1", "done").await;
    cluster.submit("run-2", "free", 4, 4.0, "normal").await;
    cluster.submit("run-3", "free", 2, 4.0, "normal").await;
    cluster.until_running(6).await;
    cluster.submit("run-4", "tight", 40, 8.0, "low").await;
    cluster.cancel(1, "run-3").await;
    // The state service, the cloud and all controllers fail together, and the controllers restart
    // during the outage.
    cluster.state.outage(true);
    cluster.cloud.outage(true);
    (0..3).for_each(|n| cluster.kill_node(n));
    pause(2.0).await;
    (0..3).for_each(|n| cluster.start_node(n));
    pause(10.0).await;
    cluster.kill_node(0);
    cluster.start_node(0);
    pause(8.0).await;
    cluster.state.outage(false);
    cluster.cloud.outage(false);
    cluster.assert_recovers(&["run-1", "run-2", "run-3", "run-4"]).await;
    assert_eq!(cluster.job_status(2, "run-1").await.1["stage"], "done");
    assert_eq!(cluster.job_status(2, "run-3").await.1["stage"], "withdrawn");
    cluster.until_stage("run-2", "done").await;
    cluster.until_stage("run-4", "done").await;
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_worker_that_sends_heartbeats_but_receives_nothing_is_replaced() {
    let cluster = Cluster::with_options(4, run_times(&[("run-1", 20)]), Options::default()).await;
    cluster.submit("run-1", "free", 2, 16.0, "normal").await;
    cluster.until_running(2).await;
    let unreachable = cluster.checker.on()["run-1/0"].clone();
    // The worker's heartbeats arrive, but neither answers nor commands reach the worker.
    cluster.net.rule(Rule::all(&unreachable, "", Action::LoseAnswer).path("/hello"));
    cluster.net.rule(Rule::all("", &format!("w:{unreachable}"), Action::Drop));
    cluster.submit("run-2", "free", 6, 8.0, "normal").await;
    cluster.until_stage("run-2", "done").await;
    cluster.until_stage("run-1", "done").await;
    cluster.until("the machine is released", || !cluster.cloud.machines().contains(&unreachable)).await;
    let starts: usize = (0..2).map(|i| cluster.checker.starts(&format!("run-1/{i}"))).sum();
    assert!(starts <= 3, "only the task on the unreachable machine may be restarted");
    cluster.assert_recovers(&["run-1", "run-2"]).await;
}

#[tokio::test(start_paused = true)]
async fn tasks_of_an_unreachable_worker_restart_only_after_its_lease_ended() {
    let cluster = Cluster::with_options(4, run_times(&[("run-1", 100)]), Options::default()).await;
    cluster.submit("run-1", "tight", 1, 16.0, "normal").await;
    cluster.until_running(1).await;
    let unreachable = cluster.checker.on()["run-1/0"].clone();
    cluster.net.rule(Rule::all(&unreachable, "", Action::LoseAnswer).path("/hello"));
    cluster.net.rule(Rule::all("", &format!("w:{unreachable}"), Action::Drop));
    // The machine cannot be released either, so only the end of the worker's lease proves that the
    // task has stopped.
    cluster.net.rule(Rule::all("", CLOUD, Action::Refuse).path("/rentals/release"));
    pause(20.0).await;
    assert_eq!(cluster.checker.starts("run-1/0"), 1, "restarted while the first attempt may still run");
    cluster
        .until("the task is restarted on another machine", || cluster.checker.starts("run-1/0") == 2)
        .await;
    cluster.until_stage("run-1", "done").await;
    cluster.assert_recovers(&["run-1"]).await;
}

#[tokio::test(start_paused = true)]
async fn replayed_heartbeats_are_answered_without_commands_by_every_controller() {
    let cluster =
        Cluster::with_options(3, run_times(&[("run-1", 150), ("run-2", 3)]), Options::default()).await;
    cluster.submit("run-2", "free", 1, 4.0, "normal").await;
    cluster.until_running(1).await;
    let machine = cluster.checker.on()["run-2/0"].clone();
    let worker = cluster.cloud.worker(&machine);
    let mut replayed = vec![worker.report()];
    cluster.until_stage("run-2", "done").await;
    replayed.push(worker.report());
    cluster.submit("run-1", "free", 3, 4.0, "normal").await;
    pause(0.2).await;
    replayed.push(worker.report());
    cluster.until_running(3).await;
    replayed.push(worker.report());
    for round in 0..4 {
        // The copies are sent to the holder, to a new holder before it has received any other
        // heartbeat, and after more than a lease period.
        for copy in &replayed {
            let body = serde_json::to_value(copy).unwrap();
            for n in 0..3 {
                let (_, answer) = cluster.call(n, Method::POST, "/hello", &body).await;
                let orders = answer["orders"].as_array().map_or(0, Vec::len);
                assert_eq!(orders, 0, "{answer}");
            }
        }
        if round < 3 {
            let leader = cluster.leader().unwrap();
            cluster.kill_node(leader);
            pause([0.0, 0.3, 31.0][round]).await;
            cluster.start_node(leader);
            cluster.until("a leader", || cluster.leader().is_some()).await;
        }
    }
    cluster.until_stage("run-1", "done").await;
    assert!((0..3).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    assert_eq!(cluster.checker.starts("run-2/0"), 1);
    cluster.assert_recovers(&["run-1", "run-2"]).await;
}

#[tokio::test(start_paused = true)]
async fn repeated_requests_whose_answers_were_lost_change_nothing() {
    let cluster = Cluster::with_options(3, run_times(&[("run-1", 20)]), Options::default()).await;
    // The first answers to requests of every kind are lost, so that the requests are repeated.
    for (to, path, times) in [(STATE, "/multi", 6), (CLOUD, "/rentals", 2), (CLOUD, "/rentals/release", 2)] {
        cluster.net.rule(Rule::all("", to, Action::LoseAnswer).path(path).times(times));
    }
    cluster.net.rule(Rule::all("", "", Action::LoseAnswer).path("/do").times(3));
    cluster.submit("run-1", "tight", 2, 8.0, "normal").await;
    cluster.submit("run-2", "free", 2, 8.0, "normal").await;
    cluster.until("two tasks run", || cluster.checker.on().len() >= 2).await;
    cluster.cancel(0, "run-2").await;
    for n in 0..3 {
        let repeated =
            cluster.call(n, Method::POST, "/v2/runs", &job("run-2", "free", 2, 8.0, "normal")).await;
        assert_eq!((repeated.0, repeated.1["stage"].as_str()), (200, Some("withdrawn")));
        let repeated = cluster.call(n, Method::POST, "/v2/runs/run-2/withdraw", &Value::Null).await;
        assert_eq!((repeated.0, repeated.1["stage"].as_str()), (200, Some("withdrawn")));
    }
    cluster.until_stage("run-1", "done").await;
    let repeated = cluster.call(1, Method::POST, "/v2/runs/run-1/withdraw", &Value::Null).await;
    assert_eq!((repeated.0, repeated.1["stage"].as_str()), (200, Some("done")));
    cluster.until("all machines are released", || cluster.cloud.machines().is_empty()).await;
    cluster.assert_recovers(&["run-1", "run-2"]).await;
    assert!((0..2).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
}

#[tokio::test(start_paused = true)]
async fn a_restarted_worker_rejects_commands_sent_before_its_restart() {
    let cluster = Cluster::with_options(2, run_times(&[("run-1", 30)]), Options::default()).await;
    cluster.submit("run-0", "free", 1, 4.0, "normal").await;
    cluster.until_running(1).await;
    let machine = cluster.checker.on()["run-0/0"].clone();
    cluster.until_stage("run-0", "done").await;
    cluster.net.rule(Rule::all("", &format!("w:{machine}"), Action::Hold).path("/do").body("start"));
    cluster.submit("run-1", "free", 2, 4.0, "normal").await;
    cluster.until("a start command is delayed", || cluster.net.held() > 0).await;
    cluster.cloud.worker(&machine).blink();
    cluster.net.clear_rules();
    cluster.until_running(2).await;
    let codes = cluster.net.deliver().await;
    assert!(codes.iter().all(|code| *code == 409), "{codes:?}");
    // The worker restarts once more while the tasks run.
    cluster.cloud.worker(&machine).blink();
    cluster.until_stage("run-1", "done").await;
    cluster.assert_recovers(&["run-0", "run-1"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_leader_cut_off_from_state_service_and_cloud_hands_over_its_workers_in_time() {
    let options = Options { shard_machines: Some(1), ..Options::default() };
    let cluster = Cluster::with_options(4, run_times(&[("run-1", 90), ("run-2", 300)]), options).await;
    cluster.submit("run-1", "free", 4, 8.0, "normal").await;
    cluster.submit("run-2", "free", 2, 8.0, "normal").await;
    cluster.until_running(6).await;
    let isolated = cluster.leader().unwrap();
    cluster.net.rule(Rule::all(&host(isolated), STATE, Action::Drop));
    cluster.net.rule(Rule::all(&host(isolated), CLOUD, Action::Drop));
    pause(1.0).await;
    cluster.cancel((isolated + 1) % 3, "run-2").await;
    pause(60.0).await;
    assert!(!cluster.checker.on().keys().any(|t| t.starts_with("run-2/")));
    assert!(
        (0..4).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1),
        "tasks must keep running when their shards change holders"
    );
    cluster.until_stage("run-1", "done").await;
    cluster.assert_recovers(&["run-1", "run-2"]).await;
}

#[tokio::test(start_paused = true)]
async fn large_jobs_start_in_time_while_small_jobs_overload_the_cluster() {
    let cluster =
        Cluster::with_options(2, |timing| timing.fetch = Duration::from_millis(100), Options::default())
            .await;
    let mut ids: Vec<String> = Vec::new();
    // Small jobs, some of them urgent, arrive faster than two machines can run them.
    for n in 0..170 {
        if n == 20 {
            cluster.submit("run-9000", "free", 3, 16.0, "normal").await;
            cluster.submit("run-9001", "tight", 2, 16.0, "normal").await;
            ids.extend(["run-9000".to_string(), "run-9001".to_string()]);
        }
        let id = format!("run-{n}");
        let (team, rank) = if n % 3 == 0 { ("tight", "normal") } else { ("free", "normal") };
        let rank = if n % 5 == 0 { "urgent" } else { rank };
        cluster.submit(&id, team, 1, 4.0, rank).await;
        ids.push(id);
        pause(1.0).await;
    }
    pause(100.0).await;
    for id in ["run-9000", "run-9001"] {
        assert!(cluster.checker.starts(&format!("{id}/0")) > 0, "{id} has not started");
    }
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    cluster.assert_recovers(&ids).await;
}

#[tokio::test(start_paused = true)]
async fn controllers_restarted_during_an_election_lead_or_serve_again() {
    let cluster = Cluster::with_options(3, run_times(&[("run-1", 60)]), Options::default()).await;
    cluster.submit("run-1", "free", 6, 4.0, "normal").await;
    cluster.until_running(6).await;
    for gap in [0.05, 0.1, 0.4] {
        let leader = cluster.leader().unwrap();
        cluster.state.end_leases();
        // The leader and one candidate crash during the election, twice in a row.
        for _ in 0..2 {
            for n in [leader, (leader + 1) % 3] {
                cluster.kill_node(n);
            }
            pause(gap).await;
            for n in [leader, (leader + 1) % 3] {
                cluster.start_node(n);
            }
            pause(0.1).await;
        }
        cluster.until("a leader", || cluster.leader().is_some()).await;
    }
    cluster.until_stage("run-1", "done").await;
    assert!((0..6).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    cluster.assert_recovers(&["run-1"]).await;
}
