//! Crashes, cuts, and machines that go.

use crate::cluster::{CANCEL_DEADLINE, CLOUD, Cluster, STATE, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use std::time::Duration;

fn runtimes(jobs: &'static [(&'static str, u64)]) -> impl FnOnce(&mut dapplecroft_fakes::WorkerTiming) {
    move |timing| {
        for (job, seconds) in jobs {
            timing.runs.insert(job.to_string(), Duration::from_secs(*seconds));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn work_goes_on_when_all_controllers_are_killed_and_restarted() {
    let cluster = Cluster::with_options(4, runtimes(&[("run-1", 30)]), Options::default()).await;
    cluster.submit("run-1", "free", 8, 4.0, "normal").await;
    cluster.until_running(8).await;
    (0..3).for_each(|n| cluster.kill_node(n));
    pause(5.0).await;
    (0..3).for_each(|n| cluster.start_node(n));
    cluster.until_stage("run-1", "done").await;
    assert!((0..8).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1), "nothing was started again");
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_leader_restarted_at_once_is_elected_as_a_new_process() {
    let cluster = Cluster::with_options(4, runtimes(&[("run-1", 20)]), Options::default()).await;
    cluster.submit("run-1", "free", 8, 4.0, "normal").await;
    cluster.until_running(8).await;
    for restart_delay in [0.0, 0.3, 1.0] {
        let leader = cluster.leader().unwrap();
        cluster.kill_node(leader);
        pause(restart_delay).await;
        cluster.start_node(leader);
        // Again in the middle of the election that this brings.
        pause(0.1).await;
        cluster.kill_node(leader);
        cluster.start_node(leader);
        cluster.until("a leader", || cluster.leader().is_some()).await;
    }
    cluster.until_stage("run-1", "done").await;
    assert!((0..8).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_holder_cut_off_from_the_state_service_stops_cancelled_tasks_in_time() {
    let cluster =
        Cluster::with_options(4, runtimes(&[("run-1", 200), ("run-2", 60)]), Options::default()).await;
    cluster.submit("run-1", "free", 4, 4.0, "normal").await;
    cluster.submit("run-2", "free", 2, 4.0, "normal").await;
    cluster.until_running(6).await;
    let old = cluster.leader().unwrap();
    // The state service refuses this node, its watch is silent, and its workers
    // still reach it and nobody else.
    cluster.net.rule(Rule::all(&host(old), STATE, Action::Refuse));
    cluster.net.rule(Rule::all(&host(old), STATE, Action::Drop).path("/follow"));
    for machine in cluster.cloud.machines() {
        for other in (0..3).filter(|n| *n != old) {
            cluster.net.rule(Rule::all(&machine, &crate::cluster::address(other), Action::Drop));
            cluster.net.rule(Rule::all(&host(other), &format!("w:{machine}"), Action::Drop));
        }
    }
    pause(0.5).await;
    cluster.cancel((old + 1) % 3, "run-1").await;
    pause(CANCEL_DEADLINE.as_secs_f64()).await;
    cluster.assert_invariants_hold();
    assert!(!cluster.checker.on().keys().any(|t| t.starts_with("run-1/")));
    cluster.net.clear_rules();
    cluster.until_stage("run-2", "done").await;
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_that_races_a_start_wins() {
    for delay in [0, 2, 4, 6, 8, 10, 20, 40, 80, 200, 600, 1200] {
        let cluster =
            Cluster::with_options(2, runtimes(&[("run-1", 1), ("run-2", 300)]), Options::default()).await;
        cluster.submit("run-1", "free", 1, 1.0, "normal").await;
        cluster.until_stage("run-1", "done").await;
        cluster.submit("run-2", "free", 3, 4.0, "normal").await;
        pause(f64::from(delay) / 1000.0).await;
        cluster.cancel(delay as usize % 3, "run-2").await;
        pause(CANCEL_DEADLINE.as_secs_f64()).await;
        assert!(cluster.checker.on().is_empty());
        assert!(cluster.state.value("dc/j/run-2").unwrap().get("spec").is_none(), "after {delay} ms");
        cluster.assert_invariants_hold();
    }
}

#[tokio::test(start_paused = true)]
async fn quota_stays_in_use_until_an_unreachable_machine_is_proven_gone() {
    let cluster = Cluster::with_options(4, runtimes(&[("run-1", 60)]), Options::default()).await;
    cluster.submit("run-1", "tight", 1, 16.0, "normal").await;
    cluster.until_running(1).await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    cluster.submit("run-2", "tight", 1, 8.0, "normal").await;
    cluster.net.rule(Rule::all(&machine, "", Action::Drop));
    cluster.net.rule(Rule::all("", &format!("w:{machine}"), Action::Drop));
    cluster.net.rule(Rule::all("", CLOUD, Action::Refuse).path("/rentals/release"));
    pause(25.0).await;
    assert_eq!(cluster.checker.starts("run-2/0"), 0, "silence proves nothing");
    assert_eq!(cluster.checker.starts("run-1/0"), 1);
    cluster.net.clear_rules();
    cluster.until_stage("run-1", "done").await;
    cluster.until_stage("run-2", "done").await;
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn tasks_of_a_machine_that_died_run_elsewhere() {
    let cluster = Cluster::with_options(4, runtimes(&[("run-1", 20)]), Options::default()).await;
    cluster.submit("run-1", "free", 4, 8.0, "normal").await;
    cluster.until_running(4).await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    cluster.cloud.take(&machine);
    cluster.until_stage("run-1", "done").await;
    assert_eq!(cluster.checker.starts("run-1/0"), 2);
    cluster.until("its record is gone", || cluster.state.value(&format!("dc/m/{machine}")).is_none()).await;
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_leader_cut_off_from_its_workers_resigns_and_releases_no_machine() {
    let cluster = Cluster::with_options(4, runtimes(&[("run-1", 90)]), Options::default()).await;
    cluster.submit("run-1", "free", 4, 16.0, "normal").await;
    cluster.until_running(4).await;
    let old = cluster.leader().unwrap();
    for machine in cluster.cloud.machines() {
        cluster.net.rule(Rule::all(&machine, &crate::cluster::address(old), Action::Drop));
        cluster.net.rule(Rule::all(&host(old), &format!("w:{machine}"), Action::Drop));
    }
    cluster.until("another leader", || cluster.leader().is_some_and(|n| n != old)).await;
    cluster.until_stage("run-1", "done").await;
    assert!((0..4).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    assert_eq!(cluster.cloud.rented(), 4);
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_never_comes_up_is_replaced() {
    let cluster = Cluster::start(2).await;
    cluster.cloud.never_up(1);
    cluster.submit("run-1", "free", 1, 16.0, "normal").await;
    cluster.until_stage("run-1", "done").await;
    cluster
        .until("the dud is released", || !cluster.cloud.machines().contains(&"i-000001".to_string()))
        .await;
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_job_that_fails_on_every_machine_is_retried_with_backoff() {
    let fails = |timing: &mut dapplecroft_fakes::WorkerTiming| timing.fails = vec!["run-1".into()];
    let cluster = Cluster::with_options(3, fails, Options::default()).await;
    cluster.submit("run-1", "free", 3, 8.0, "normal").await;
    cluster.submit("run-2", "free", 6, 8.0, "normal").await;
    cluster.until_stage("run-2", "done").await;
    pause(60.0).await;
    let starts: usize = (0..3).map(|i| cluster.checker.starts(&format!("run-1/{i}"))).sum();
    assert!(starts < 40, "{starts} starts of a job that can't succeed");
    cluster.cancel(0, "run-1").await;
    pause(5.0).await;
    assert!(cluster.checker.on().is_empty());
    cluster.assert_invariants_hold();
}

/// A waiting task of a whole machine's size, and two machines that young small
/// tasks keep half empty.
async fn two_half_empty_machines() -> Cluster {
    let options = Options { preempt: false, drain_interval: Duration::from_secs(20), ..Options::default() };
    let runs = runtimes(&[("run-1", 8), ("run-2", 8), ("run-3", 100), ("run-4", 100), ("run-5", 5)]);
    let cluster = Cluster::with_options(2, runs, options).await;
    // Two larger tasks bring both up, a small one fills each; then the larger
    // ones end.
    cluster.submit("run-1", "free", 1, 10.0, "normal").await;
    cluster.submit("run-2", "free", 1, 12.0, "normal").await;
    cluster.until_running(2).await;
    cluster.submit("run-3", "free", 1, 4.0, "normal").await;
    cluster.submit("run-4", "free", 1, 6.0, "normal").await;
    cluster.until_running(4).await;
    cluster.until_stage("run-1", "done").await;
    cluster.until_stage("run-2", "done").await;
    cluster.submit("run-5", "free", 1, 16.0, "normal").await;
    cluster
}

#[tokio::test(start_paused = true)]
async fn a_drain_completes_when_the_leader_restarts_at_any_step() {
    let mut drained = 0;
    for step in 0..12 {
        let cluster = two_half_empty_machines().await;
        for _ in 0..600 {
            if cluster.state.value("dc/d/0").is_some() || cluster.checker.starts("run-5/0") > 0 {
                break;
            }
            pause(0.05).await;
        }
        drained += usize::from(cluster.state.value("dc/d/0").is_some());
        pause(f64::from(step) * 0.15).await;
        if step > 0 {
            // Step 0 is the undisturbed drain.
            let leader = cluster.leader().unwrap();
            cluster.kill_node(leader);
            pause(1.0).await;
            cluster.start_node(leader);
        }
        cluster.until_stage("run-5", "done").await;
        cluster.until_stage("run-3", "done").await;
        cluster.until_stage("run-4", "done").await;
        cluster.until("the drain's record is gone", || cluster.state.value("dc/d/0").is_none()).await;
        if step == 0 {
            let moved = cluster.checker.starts("run-3/0") + cluster.checker.starts("run-4/0");
            assert_eq!(moved, 3, "one small task was moved, once");
        }
        cluster.assert_invariants_hold();
    }
    assert_eq!(drained, 12, "each of these stories has a drain");
}

#[tokio::test(start_paused = true)]
async fn urgent_tasks_preempt_only_less_urgent_tasks() {
    let cluster =
        Cluster::with_options(1, runtimes(&[("run-1", 40), ("run-2", 5)]), Options::default()).await;
    cluster.submit("run-1", "free", 1, 16.0, "normal").await;
    cluster.until_running(1).await;
    cluster.submit("run-2", "free", 1, 4.0, "normal").await;
    pause(5.0).await;
    assert_eq!(cluster.checker.starts("run-2/0"), 0, "the same rank waits");
    cluster.submit("run-3", "free", 1, 4.0, "urgent").await;
    cluster.until("the urgent one runs", || cluster.checker.starts("run-3/0") == 1).await;
    cluster.until_stage("run-1", "done").await;
    assert_eq!(cluster.checker.starts("run-1/0"), 2);
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_may_have_been_replaced_rents_and_releases_no_machine() {
    let cluster = Cluster::with_options(4, runtimes(&[("run-1", 60)]), Options::default()).await;
    cluster.submit("run-1", "free", 2, 16.0, "normal").await;
    cluster.until_running(2).await;
    let old = cluster.leader().unwrap();
    let machine = cluster.checker.on()["run-1/0"].clone();
    // It loses the state service and one of its workers; the others lose neither.
    cluster.net.rule(Rule::all(&host(old), STATE, Action::Drop));
    pause(4.5).await;
    cluster.net.rule(Rule::all(&machine, &crate::cluster::address(old), Action::Drop));
    cluster.net.rule(Rule::all(&host(old), &format!("w:{machine}"), Action::Drop));
    cluster.until("another leader", || cluster.leader().is_some_and(|n| n != old)).await;
    pause(20.0).await;
    assert!(cluster.cloud.machines().contains(&machine));
    assert_eq!(cluster.cloud.rented(), 2);
    cluster.net.clear_rules();
    cluster.until_stage("run-1", "done").await;
    assert!((0..2).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn no_task_is_lost_when_the_leader_ends_between_a_release_and_its_commit() {
    let cluster = Cluster::with_options(4, runtimes(&[("run-1", 30)]), Options::default()).await;
    cluster.submit("run-1", "free", 1, 16.0, "normal").await;
    cluster.until_running(1).await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    cluster.cloud.take(&machine);
    // The end of the task's stay on the dead machine never gets through.
    cluster.net.rule(Rule::all("", STATE, Action::Drop).path("/multi").body("\"t\":\"0:0*1\""));
    let leader = cluster.leader().unwrap();
    cluster
        .until("the release is answered", || {
            cluster.node(leader).with(|core| core.released_machines.contains_key(machine.as_str()))
        })
        .await;
    pause(3.0).await;
    cluster.kill_node(leader);
    cluster.net.clear_rules();
    cluster.until_stage("run-1", "done").await;
    assert_eq!(cluster.checker.starts("run-1/0"), 2);
    cluster.assert_invariants_hold();
}
