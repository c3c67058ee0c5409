//! Messages that arrive late, twice or out of order.

use crate::cluster::{CLOUD, Cluster, STATE, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use http::Method;
use std::time::Duration;

// Guards against running a task twice: its start command is delayed by the network and arrives after the
// task was started through a heartbeat's answer and ended.
#[tokio::test(start_paused = true)]
async fn a_delayed_start_command_is_rejected_after_its_task_has_ended() {
    let cluster = Cluster::start(2).await;
    cluster.net.rule(Rule::all("", "", Action::Hold).path("/do").body("start"));
    cluster.submit("run-1", "free", 2, 4.0, "normal").await;
    // The workers receive the start commands in answers to heartbeats instead.
    cluster.until_stage("run-1", "done").await;
    cluster.net.clear_rules();
    pause(10.0).await;
    assert!(cluster.net.held() > 0);
    let codes = cluster.net.deliver().await;
    assert!(codes.iter().all(|code| *code == 409), "{codes:?}");
    pause(5.0).await;
    assert!((0..2).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    cluster.assert_invariants_hold();
}

// Guards against running a task on two machines: its start command is delayed by the network and arrives
// at its first machine after the task was preempted and restarted on another one.
#[tokio::test(start_paused = true)]
async fn a_delayed_start_command_is_rejected_after_its_task_has_moved() {
    let options = Options { max_preempted_loss: Duration::from_secs(600), ..Options::default() };
    let cluster = Cluster::with_options(
        2,
        |timing| {
            timing.runs.insert("run-1".into(), Duration::from_secs(90));
        },
        options,
    )
    .await;
    cluster.net.rule(Rule::all("", "", Action::Hold).path("/do").body("start"));
    cluster.submit("run-1", "free", 1, 16.0, "low").await;
    cluster.until_running(1).await;
    let first = cluster.checker.on()["run-1/0"].clone();
    cluster.net.clear_rules();
    // A more urgent task preempts it, and it moves to the other machine.
    cluster.submit("run-2", "free", 1, 16.0, "urgent").await;
    cluster.until("run-1 runs again", || cluster.checker.starts("run-1/0") == 2).await;
    assert_ne!(cluster.checker.on().get("run-1/0"), Some(&first));
    let codes = cluster.net.deliver().await;
    assert!(!codes.is_empty() && codes.iter().all(|code| *code == 409), "{codes:?}");
    cluster.until_stage("run-1", "done").await;
    assert_eq!(cluster.checker.starts("run-1/0"), 2);
    cluster.assert_invariants_hold();
}

/// Waits until a machine's worker no longer lists any task.
async fn until_cleared(cluster: &Cluster, machine: &str) {
    let worker = cluster.cloud.worker(machine);
    cluster.until("the worker has cleared its tasks", || worker.report().tasks.is_empty()).await;
}

/// Ends all controllers, so that none can stop what a worker starts, delivers the held copies and asserts that
/// the workers reject them.
async fn assert_copies_are_rejected(cluster: &Cluster) {
    (0..3).for_each(|n| cluster.kill_node(n));
    let codes = cluster.net.deliver().await;
    assert!(!codes.is_empty() && codes.iter().all(|code| *code == 409), "{codes:?}");
}

/// How a task comes to leave its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    Preempted,
    PreemptedUnderTheNextHolder,
    ReclaimNotice,
    SessionLost,
}

impl Departure {
    /// Makes the running task `run-1/0` leave its machine.
    async fn cause(self, cluster: &Cluster, machine: &str) {
        let worker = cluster.cloud.worker(machine);
        match self {
            Departure::Preempted => cluster.submit("run-2", "free", 1, 16.0, "urgent").await,
            Departure::PreemptedUnderTheNextHolder => {
                let holder = cluster.leader().unwrap();
                cluster.kill_node(holder);
                cluster.until("another leader", || cluster.leader().is_some_and(|n| n != holder)).await;
                cluster.submit("run-2", "free", 1, 16.0, "urgent").await;
                cluster.start_node(holder);
            }
            Departure::ReclaimNotice => worker.notice(5.0),
            Departure::SessionLost => worker.blink(),
        }
    }
}

// Guards against running a task twice: a copy of an answered start command arrives after its attempt has ended
// and was cleared, while the next attempt runs.
#[tokio::test(start_paused = true)]
async fn a_copy_of_an_answered_start_command_is_rejected_after_its_task_has_moved() {
    use Departure::{Preempted, PreemptedUnderTheNextHolder, ReclaimNotice, SessionLost};
    for departure in [Preempted, PreemptedUnderTheNextHolder, ReclaimNotice, SessionLost] {
        let options = Options { max_preempted_loss: Duration::from_secs(600), ..Options::default() };
        let runs = |timing: &mut WorkerTiming| {
            timing.runs.insert("run-1".into(), Duration::from_secs(90));
        };
        let cluster = Cluster::with_options(2, runs, options).await;
        cluster.net.rule(Rule::all("", "", Action::Copy).path("/do").body("run-1/0").times(1));
        cluster.submit("run-1", "free", 1, 16.0, "low").await;
        cluster.until_running(1).await;
        let first = cluster.checker.on()["run-1/0"].clone();
        departure.cause(&cluster, &first).await;
        cluster.until("run-1 runs again", || cluster.checker.starts("run-1/0") == 2).await;
        let elsewhere = cluster.checker.on().get("run-1/0") != Some(&first);
        assert!(elsewhere || departure == SessionLost, "{departure:?}");
        if elsewhere {
            until_cleared(&cluster, &first).await;
        }
        assert_copies_are_rejected(&cluster).await;
        pause(2.0).await;
        (0..3).for_each(|n| cluster.start_node(n));
        cluster.until_stage("run-1", "done").await;
        assert_eq!(cluster.checker.starts("run-1/0"), 2, "{departure:?}");
        cluster.assert_invariants_hold();
    }
}

// Guards against starting a completed, failed or cancelled attempt again: a copy of its answered start command
// arrives after it was cleared. The machine has run another task before.
#[tokio::test(start_paused = true)]
async fn a_copy_of_an_answered_start_command_is_rejected_after_its_task_has_ended() {
    const COMPLETES: &str = "run-1";
    const FAILS: &str = "run-2";
    const CANCELLED: &str = "run-3";
    for job in [COMPLETES, FAILS, CANCELLED] {
        let timing = |timing: &mut WorkerTiming| {
            timing.runs.insert(CANCELLED.into(), Duration::from_secs(90));
            timing.fails = vec![FAILS.into()];
        };
        let cluster = Cluster::with_options(1, timing, Options::default()).await;
        cluster.submit("run-4", "free", 1, 4.0, "normal").await;
        cluster.until_stage("run-4", "done").await;
        let machine = cluster.cloud.machines()[0].clone();
        until_cleared(&cluster, &machine).await;
        cluster.net.rule(Rule::all("", "", Action::Copy).path("/do").body("start").times(1));
        cluster.submit(job, "free", 1, 4.0, "normal").await;
        cluster.until_running(1).await;
        if job == CANCELLED {
            cluster.cancel(0, job).await;
        }
        until_cleared(&cluster, &machine).await;
        let starts = cluster.checker.starts(&format!("{job}/0"));
        assert_copies_are_rejected(&cluster).await;
        pause(2.0).await;
        assert_eq!(cluster.checker.starts(&format!("{job}/0")), starts, "{job}");
        cluster.assert_invariants_hold();
    }
}

// The transaction that places the tasks is delayed, and its sender repeats it. Only one of the two may
// be carried out.
#[tokio::test(start_paused = true)]
async fn a_delayed_transaction_places_no_task_twice() {
    let cluster = Cluster::start(3).await;
    let placement = "\",\"m\":\"a";
    cluster.net.rule(Rule::all("", STATE, Action::Hold).path("/multi").body(placement).times(2));
    cluster.submit("run-1", "tight", 2, 8.0, "normal").await;
    cluster.until("both transactions are held", || cluster.net.held() == 2).await;
    assert_eq!(
        cluster.net.deliver().await,
        [200, 409],
        "the second transaction did not conflict with the first"
    );
    cluster.until_stage("run-1", "done").await;
    assert!((0..2).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    cluster.assert_invariants_hold();
}

// A leader's placement is delayed until its lease has expired and another leader is elected. The state
// service must reject the placement, because it may contradict those of the new leader.
#[tokio::test(start_paused = true)]
async fn a_placement_by_a_leader_whose_lease_expired_is_rejected() {
    let cluster = Cluster::start(3).await;
    cluster.submit("run-1", "free", 1, 1.0, "normal").await;
    cluster.until_stage("run-1", "done").await;
    let old = cluster.leader().unwrap();
    cluster.net.rule(Rule::all(&host(old), STATE, Action::Hold).path("/multi").body("\",\"m\":\"a"));
    cluster.submit("run-2", "free", 1, 4.0, "normal").await;
    cluster.until("the placement is held", || cluster.net.held() > 0).await;
    // The leader's lease ends while the task is being placed.
    cluster.state.end_leases();
    cluster.net.rule(Rule::all(&host(old), STATE, Action::Drop));
    cluster.until("another leader", || cluster.leader().is_some_and(|n| n != old)).await;
    let codes = cluster.net.deliver().await;
    assert!(codes.iter().all(|code| *code == 409), "{codes:?}");
    cluster.net.clear_rules();
    cluster.until_stage("run-2", "done").await;
    assert_eq!(cluster.checker.starts("run-2/0"), 1);
    cluster.assert_invariants_hold();
}

// A heartbeat that does not list a task because it was sent before the task was started arrives
// afterwards. It must not be taken as proof that the task has ended.
#[tokio::test(start_paused = true)]
async fn a_delayed_copy_of_a_heartbeat_ends_no_task() {
    let cluster = Cluster::with_options(
        2,
        |timing| {
            timing.runs.insert("run-1".into(), Duration::from_secs(30));
        },
        Options::default(),
    )
    .await;
    cluster.submit("run-1", "free", 1, 4.0, "normal").await;
    cluster.until("a machine", || !cluster.cloud.machines().is_empty()).await;
    pause(5.2).await;
    let machine = cluster.cloud.machines()[0].clone();
    // A heartbeat from before the task was started.
    let early_heartbeat = cluster.cloud.worker(&machine).report();
    cluster.until_running(1).await;
    let leader = cluster.leader().unwrap();
    for _ in 0..3 {
        let body = serde_json::to_value(&early_heartbeat).unwrap();
        let (status, answer) = cluster.call(leader, Method::POST, "/hello", &body).await;
        assert_eq!(status, 200);
        assert_eq!(answer["orders"], serde_json::json!([]), "a delayed heartbeat was answered with commands");
        pause(2.0).await;
    }
    cluster.until_stage("run-1", "done").await;
    assert_eq!(cluster.checker.starts("run-1/0"), 1);
    cluster.assert_invariants_hold();
}

// A token newer than the receiver's own shows that another controller has become the worker's shard
// holder.
#[tokio::test(start_paused = true)]
async fn a_heartbeat_with_a_newer_token_is_redirected() {
    let cluster = Cluster::start(1).await;
    cluster.submit("run-1", "free", 1, 1.0, "normal").await;
    cluster.until_stage("run-1", "done").await;
    let leader = cluster.leader().unwrap();
    let machine = cluster.cloud.machines()[0].clone();
    let mut report = cluster.cloud.worker(&machine).report();
    report.token += 1 << 30;
    let body = serde_json::to_value(&report).unwrap();
    assert_eq!(cluster.call(leader, Method::POST, "/hello", &body).await.0, 421);
    // Any other controller names the shard holder.
    let (status, answer) = cluster.call((leader + 1) % 3, Method::POST, "/hello", &body).await;
    assert_eq!((status, answer["steward"].as_str()), (421, Some(host(leader).as_str())));
}

// Guards against machines that are rented and never used: the leader ends while its rental request is
// delayed, and its successor rents another machine for the same task.
#[tokio::test(start_paused = true)]
async fn a_machine_from_a_delayed_rental_request_is_used_or_returned() {
    let cluster = Cluster::start(4).await;
    cluster.net.rule(Rule::all("", CLOUD, Action::Hold).path("/rentals").body("charter").times(1));
    cluster.submit("run-1", "free", 1, 16.0, "normal").await;
    cluster.until("the rental request is held", || cluster.net.held() == 1).await;
    // The next leader rents under another request name before the old request arrives.
    let old = cluster.leader().unwrap();
    cluster.kill_node(old);
    cluster.start_node(old);
    cluster.until_stage("run-1", "done").await;
    cluster.net.deliver().await;
    assert_eq!(cluster.cloud.rented(), 2);
    cluster.until("all are returned", || cluster.cloud.machines().is_empty()).await;
    cluster.assert_invariants_hold();
}

// A machine dies and its release is carried out without an answer, and once more with a delay.
#[tokio::test(start_paused = true)]
async fn a_release_is_repeated_when_its_answer_is_lost_and_a_delayed_copy_does_no_harm() {
    let cluster = Cluster::with_options(
        3,
        |timing| {
            timing.runs.insert("run-1".into(), Duration::from_secs(40));
        },
        Options::default(),
    )
    .await;
    cluster.submit("run-1", "free", 2, 16.0, "normal").await;
    cluster.until_running(2).await;
    cluster.net.rule(Rule::all("", CLOUD, Action::LoseAnswer).path("/rentals/release").times(2));
    cluster.net.rule(Rule::all("", CLOUD, Action::Hold).path("/rentals/release").times(1));
    let machine = cluster.checker.on()["run-1/0"].clone();
    cluster.cloud.take(&machine);
    cluster.until("the task runs on another machine", || cluster.checker.starts("run-1/0") == 2).await;
    cluster.net.deliver().await;
    cluster.until_stage("run-1", "done").await;
    cluster.assert_invariants_hold();
}

// The cloud answers with a machine list that is older than one that the leader has seen before. It must
// neither bring back machines that were returned nor remove those that were rented since.
#[tokio::test(start_paused = true)]
async fn an_outdated_machine_list_adds_and_removes_no_machine() {
    let options = Options { idle_release_after: Some(Duration::from_secs(5)), ..Options::default() };
    let cluster = Cluster::with_options(
        3,
        |timing| {
            timing.runs.insert("run-2".into(), Duration::from_secs(40));
        },
        options,
    )
    .await;
    cluster.submit("run-1", "free", 2, 16.0, "normal").await;
    cluster.until_stage("run-1", "done").await;
    cluster.until("all are returned", || cluster.cloud.machines().is_empty()).await;
    cluster.submit("run-2", "free", 1, 16.0, "normal").await;
    cluster.until_running(1).await;
    let task_machine = cluster.checker.on()["run-2/0"].clone();
    // From now on the lists contain the returned machines and lack the present one.
    cluster.cloud.older_lists(Duration::from_secs(30));
    pause(10.0).await;
    let known: Vec<String> = cluster
        .node(cluster.leader().unwrap())
        .with(|core| core.machines.keys().map(|id| id.to_string()).collect());
    assert_eq!(known, [task_machine]);
    cluster.until_stage("run-2", "done").await;
    assert_eq!(cluster.checker.starts("run-2/0"), 1);
    cluster.assert_invariants_hold();
}
