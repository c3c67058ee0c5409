//! Crashed controllers, network partitions and lost machines.

use crate::cluster::{CANCEL_DEADLINE, CLOUD, Cluster, STATE, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use std::time::Duration;

/// Worker timing in which the tasks of each named job run for so many seconds.
fn runtimes(jobs: &'static [(&'static str, u64)]) -> impl FnOnce(&mut dapplecroft_fakes::WorkerTiming) {
    move |timing| {
        for (job, seconds) in jobs {
            timing.runs.insert(job.to_string(), Duration::from_secs(*seconds));
        }
    }
}

// Guards against restarting tasks that kept running on their workers while all controllers were down for
// 5 s.
#[tokio::test(start_paused = true)]
async fn work_goes_on_when_all_controllers_are_killed_and_restarted() {
    let cluster = Cluster::with_options(4, runtimes(&[("run-1", 30)]), Options::default()).await;
    cluster.submit("run-1", "free", 8, 4.0, "normal").await;
    cluster.until_running(8).await;
    (0..3).for_each(|n| cluster.kill_node(n));
    pause(5.0).await;
    (0..3).for_each(|n| cluster.start_node(n));
    cluster.until_stage("run-1", "done").await;
    assert!((0..8).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1), "a task was started again");
    cluster.assert_invariants_hold();
}

// A leader that restarts before its lease expires, and again during the election, must not act under the
// lease of its earlier process. No task may be started twice.
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
        // Restart it again during the election that follows.
        pause(0.1).await;
        cluster.kill_node(leader);
        cluster.start_node(leader);
        cluster.until("a leader", || cluster.leader().is_some()).await;
    }
    cluster.until_stage("run-1", "done").await;
    assert!((0..8).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    cluster.assert_invariants_hold();
}

// Guards against a shard holder that keeps the tasks of a cancelled job: it cannot learn of the
// cancellation, because it is cut off from the state service, but it is the only controller that its
// workers reach.
#[tokio::test(start_paused = true)]
async fn a_holder_cut_off_from_the_state_service_stops_cancelled_tasks_in_time() {
    let cluster =
        Cluster::with_options(4, runtimes(&[("run-1", 200), ("run-2", 60)]), Options::default()).await;
    cluster.submit("run-1", "free", 4, 4.0, "normal").await;
    cluster.submit("run-2", "free", 2, 4.0, "normal").await;
    cluster.until_running(6).await;
    let old = cluster.leader().unwrap();
    // The state service refuses the leader's requests and its watch receives nothing. Workers reach the
    // leader and no other controller.
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

// A job is cancelled at different times while its tasks are placed and started. No task may run after
// the cancellation deadline.
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

// Guards against exceeding a team's limit: a machine that cannot be reached may still run its task, so
// the task's quota must not be given to another task yet.
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
    assert_eq!(
        cluster.checker.starts("run-2/0"),
        0,
        "run-2 started although the silent machine is not proven gone"
    );
    assert_eq!(cluster.checker.starts("run-1/0"), 1);
    cluster.net.clear_rules();
    cluster.until_stage("run-1", "done").await;
    cluster.until_stage("run-2", "done").await;
    cluster.assert_invariants_hold();
}

// The cloud takes a machine away without notice. Its task must run on another machine, and its record
// must be removed.
#[tokio::test(start_paused = true)]
async fn tasks_of_a_machine_that_died_run_elsewhere() {
    let cluster = Cluster::with_options(4, runtimes(&[("run-1", 20)]), Options::default()).await;
    cluster.submit("run-1", "free", 4, 8.0, "normal").await;
    cluster.until_running(4).await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    cluster.cloud.take(&machine);
    cluster.until_stage("run-1", "done").await;
    assert_eq!(cluster.checker.starts("run-1/0"), 2);
    cluster
        .until("the machine's record is gone", || cluster.state.value(&format!("dc/m/{machine}")).is_none())
        .await;
    cluster.assert_invariants_hold();
}

// Guards against a leader that takes its own network fault for dead machines and replaces them. The
// other controllers still reach the workers.
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

// A rented machine does not boot: another one must be rented and the first one released.
#[tokio::test(start_paused = true)]
async fn a_machine_that_never_comes_up_is_replaced() {
    let cluster = Cluster::start(2).await;
    cluster.cloud.never_up(1);
    cluster.submit("run-1", "free", 1, 16.0, "normal").await;
    cluster.until_stage("run-1", "done").await;
    cluster
        .until("the machine that did not boot is released", || {
            !cluster.cloud.machines().contains(&"i-000001".to_string())
        })
        .await;
    cluster.assert_invariants_hold();
}

// Guards against blaming the machines for a job that always fails: the job must be retried with a backoff,
// and another job must finish on the same machines.
#[tokio::test(start_paused = true)]
async fn a_job_that_fails_on_every_machine_is_retried_with_backoff() {
    let fails = |timing: &mut dapplecroft_fakes::WorkerTiming| timing.fails = vec!["run-1".into()];
    let cluster = Cluster::with_options(3, fails, Options::default()).await;
    cluster.submit("run-1", "free", 3, 8.0, "normal").await;
    cluster.submit("run-2", "free", 6, 8.0, "normal").await;
    cluster.until_stage("run-2", "done").await;
    pause(60.0).await;
    let starts: usize = (0..3).map(|i| cluster.checker.starts(&format!("run-1/{i}"))).sum();
    assert!(starts < 40, "{starts} starts of a job that always fails");
    cluster.cancel(0, "run-1").await;
    pause(5.0).await;
    assert!(cluster.checker.on().is_empty());
    cluster.assert_invariants_hold();
}

/// Starts two machines that are partly used by small, recently started tasks, and submits a task that needs a
/// whole machine.
async fn two_half_empty_machines() -> Cluster {
    let options = Options { preempt: false, drain_interval: Duration::from_secs(20), ..Options::default() };
    let runs = runtimes(&[("run-1", 8), ("run-2", 8), ("run-3", 100), ("run-4", 100), ("run-5", 5)]);
    let cluster = Cluster::with_options(2, runs, options).await;
    // Two large tasks cause two machines to be rented, and a small task joins each of them. Then the large
    // tasks end.
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

// A drain moves small tasks off a machine to make room for a large one. The leader is restarted at
// varying times during the drain, which must still complete and remove its record.
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
            // In step 0 the drain runs undisturbed.
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
            assert_eq!(moved, 3, "not exactly one small task was moved once");
        }
        cluster.assert_invariants_hold();
    }
    assert_eq!(drained, 12, "a step had no drain");
}

// Guards against preemption among tasks of the same priority.
#[tokio::test(start_paused = true)]
async fn urgent_tasks_preempt_only_less_urgent_tasks() {
    let cluster =
        Cluster::with_options(1, runtimes(&[("run-1", 40), ("run-2", 5)]), Options::default()).await;
    cluster.submit("run-1", "free", 1, 16.0, "normal").await;
    cluster.until_running(1).await;
    cluster.submit("run-2", "free", 1, 4.0, "normal").await;
    pause(5.0).await;
    assert_eq!(cluster.checker.starts("run-2/0"), 0, "a task of the same priority preempted run-1");
    cluster.submit("run-3", "free", 1, 4.0, "urgent").await;
    cluster.until("the urgent task runs", || cluster.checker.starts("run-3/0") == 1).await;
    cluster.until_stage("run-1", "done").await;
    assert_eq!(cluster.checker.starts("run-1/0"), 2);
    cluster.assert_invariants_hold();
}

// Guards against a leader that has lost contact with the state service and then takes a silent worker
// for dead: by then another leader may be responsible for the machines.
#[tokio::test(start_paused = true)]
async fn a_leader_that_may_have_been_replaced_rents_and_releases_no_machine() {
    let cluster = Cluster::with_options(4, runtimes(&[("run-1", 60)]), Options::default()).await;
    cluster.submit("run-1", "free", 2, 16.0, "normal").await;
    cluster.until_running(2).await;
    let old = cluster.leader().unwrap();
    let machine = cluster.checker.on()["run-1/0"].clone();
    // The leader is cut off from the state service and one of its workers; the other controllers reach both.
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

// A machine dies and the leader releases it, which proves that its task has ended. The leader is killed
// before it can commit that; its successor must find out again and restart the task.
#[tokio::test(start_paused = true)]
async fn no_task_is_lost_when_the_leader_ends_between_a_release_and_its_commit() {
    let cluster = Cluster::with_options(4, runtimes(&[("run-1", 30)]), Options::default()).await;
    cluster.submit("run-1", "free", 1, 16.0, "normal").await;
    cluster.until_running(1).await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    cluster.cloud.take(&machine);
    // The commit that removes the task from the dead machine never reaches the state service.
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
