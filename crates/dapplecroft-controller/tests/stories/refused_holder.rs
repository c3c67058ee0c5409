//! Cancellations that a shard holder cannot see. The state service refuses this holder alone while another
//! controller confirms a cancellation; then it is unavailable to all controllers for longer than the
//! cancellation deadline, while the workers go on reporting to the old holder.

use crate::cluster::{CANCEL_DEADLINE, Cluster, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use std::time::Duration;
use tokio::time::Instant;

/// Duration of the outage, longer than the cancellation deadline.
const OUTAGE_SECONDS: f64 = 59.0;

/// Lets the tasks of both jobs run for 300 s.
fn long_runtimes(long_runtimes: &mut WorkerTiming) {
    for job in ["run-1", "run-2"] {
        long_runtimes.runs.insert(job.into(), Duration::from_secs(300));
    }
}

/// Starts a cluster that runs run-1, which the tests cancel, and run-2, which stays.
async fn cluster_with_two_jobs(shard_machines: Option<usize>) -> Cluster {
    let options = Options { shard_machines, ..Options::default() };
    let cluster = Cluster::with_options(6, long_runtimes, options).await;
    cluster.submit("run-1", "free", 18, 4.0, "normal").await;
    cluster.submit("run-2", "free", 6, 4.0, "normal").await;
    cluster.until_running(24).await;
    cluster
}

/// Number of tasks of a job that run now.
fn running_tasks(cluster: &Cluster, job: &str) -> usize {
    cluster.checker.on().keys().filter(|t| t.starts_with(job)).count()
}

/// Whether the state service has confirmed the leases of controller `n` recently enough for the controller to
/// answer workers.
fn in_contact(cluster: &Cluster, n: usize) -> bool {
    cluster.node(n).with(|core| core.in_contact(Instant::now().into_std()))
}

/// Lets time pass and checks the invariants every 0.1 s.
async fn advance_checking_invariants(cluster: &Cluster, seconds: f64) {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        pause(0.1).await;
        assert_eq!(cluster.checker.broken(), Vec::<String>::new());
    }
}

/// Called when run-1 has just been cancelled while the state service refuses only `old`. Keeps refusing it
/// for `refused_for` seconds, then goes through the outage. Asserts that the tasks of run-1 end in time and
/// do not return, and that run-2 runs in the end.
async fn check_cancellation_through_outage(cluster: &Cluster, refused_for: f64, old: usize) {
    let cancelled_at = Instant::now();
    assert!(running_tasks(cluster, "run-1") > 0, "the old holder has learned of the cancellation too early");
    advance_checking_invariants(cluster, refused_for).await;
    cluster.state.outage(true);
    advance_checking_invariants(cluster, 1.0).await;
    cluster.state.bar(&host(old), false);
    let before = cluster.state.turned_away();
    advance_checking_invariants(cluster, OUTAGE_SECONDS - 1.0).await;
    assert!(cluster.state.turned_away() > before, "no request was refused in the outage");
    assert!(cancelled_at.elapsed() > CANCEL_DEADLINE && running_tasks(cluster, "run-1") == 0);
    cluster.state.outage(false);
    advance_checking_invariants(cluster, 20.0).await;
    assert_eq!(cluster.checker.late_starts(), Vec::<String>::new());
    cluster.until_running(6).await;
    cluster.assert_invariants_hold();
}

// Guards against a leader that keeps answering its workers, and so keeps their tasks running, although
// it cannot learn which jobs were cancelled.
#[tokio::test(start_paused = true)]
async fn a_job_cancelled_while_the_leader_is_refused_ends_in_time_despite_an_outage() {
    // Offset of the refusal within the leader's cycle of one second, and the time between the refusal and the
    // outage.
    for (phase, refused_for) in [(0.0, 0.5), (0.3, 2.0), (0.6, 2.0), (0.9, 1.0), (0.2, 3.4), (0.5, 10.0)] {
        let cluster = cluster_with_two_jobs(None).await;
        let old = cluster.leader().unwrap();
        pause(phase).await;
        cluster.state.bar(&host(old), true);
        cluster.cancel((old + 1) % 3, "run-1").await;
        assert!(in_contact(&cluster, old), "the old leader no longer answers workers");
        check_cancellation_through_outage(&cluster, refused_for, old).await;
        assert!(cluster.checker.starts("run-2/0") >= 1);
    }
}

// Guards against a shard holder other than the leader that keeps tasks of cancelled jobs running while the
// state service refuses its requests.
#[tokio::test(start_paused = true)]
async fn a_refused_holder_that_is_not_leader_stops_cancelled_tasks_in_time() {
    for (phase, refused_for) in [(0.0, 0.5), (0.4, 2.0), (0.8, 3.4)] {
        let cluster = cluster_with_two_jobs(Some(2)).await;
        let leader = cluster.leader().unwrap();
        let holders = cluster.shard_holders().into_values().map(|h| cluster.node_number(&h));
        let old = holders.into_iter().find(|n| *n != leader).expect("a holder that does not lead");
        pause(phase).await;
        cluster.state.bar(&host(old), true);
        cluster.cancel(leader, "run-1").await;
        check_cancellation_through_outage(&cluster, refused_for, old).await;
    }
}

// Guards against counting a confirmation from the time at which its answer arrives: the state service
// answers slowly, so that the confirmed state is older than that.
#[tokio::test(start_paused = true)]
async fn contact_is_dated_from_the_request_however_slow_the_answer() {
    for answer_delay_s in [0.6, 0.9, 1.9] {
        let cluster = cluster_with_two_jobs(None).await;
        let old = cluster.leader().unwrap();
        cluster.state.slow(&host(old), Duration::from_secs_f64(answer_delay_s));
        advance_checking_invariants(&cluster, 3.0).await;
        // A request that the leader sent just before the refusal is answered just after it.
        cluster.state.bar(&host(old), true);
        cluster.cancel((old + 1) % 3, "run-1").await;
        check_cancellation_through_outage(&cluster, 1.0, old).await;
    }
}

// Guards against a leader that restarts during the outage and answers workers although the state service
// has not confirmed any lease of the new process.
#[tokio::test(start_paused = true)]
async fn a_leader_restarted_during_the_outage_answers_no_worker() {
    for (after, back) in [(0.2, 0.1), (1.5, 0.9), (6.0, 0.5)] {
        let cluster = cluster_with_two_jobs(None).await;
        let old = cluster.leader().unwrap();
        cluster.state.bar(&host(old), true);
        cluster.cancel((old + 1) % 3, "run-1").await;
        advance_checking_invariants(&cluster, 0.7).await;
        cluster.state.outage(true);
        advance_checking_invariants(&cluster, after).await;
        cluster.kill_node(old);
        advance_checking_invariants(&cluster, back).await;
        cluster.start_node(old);
        advance_checking_invariants(&cluster, 5.0).await;
        assert!(!in_contact(&cluster, old), "the restarted leader acts without a confirmed lease");
        cluster.state.bar(&host(old), false);
        advance_checking_invariants(&cluster, OUTAGE_SECONDS).await;
        assert_eq!(running_tasks(&cluster, "run-1"), 0);
        cluster.state.outage(false);
        advance_checking_invariants(&cluster, 20.0).await;
        assert_eq!(cluster.checker.late_starts(), Vec::<String>::new());
        cluster.until_running(6).await;
        cluster.assert_invariants_hold();
    }
}

// A worker hangs just before the outage and resumes during it. It must not continue the tasks of the
// cancelled job past the deadline.
#[tokio::test(start_paused = true)]
async fn a_machine_that_hangs_and_resumes_runs_no_cancelled_task() {
    for hang in [8.0, 15.0, 30.0] {
        let cluster = cluster_with_two_jobs(None).await;
        let old = cluster.leader().unwrap();
        cluster.state.bar(&host(old), true);
        cluster.cancel((old + 1) % 3, "run-1").await;
        let machine = cluster.checker.on()["run-1/0"].clone();
        advance_checking_invariants(&cluster, 2.0).await;
        cluster.cloud.worker(&machine).hang(Duration::from_secs_f64(hang));
        check_cancellation_through_outage(&cluster, 0.5, old).await;
    }
}

// Guards against a refused holder that goes on sending start commands for recorded tasks until its
// contact limit: a task whose start command was lost may have been cancelled since.
#[tokio::test(start_paused = true)]
async fn a_refused_holder_answers_workers_but_starts_no_task() {
    let cluster = cluster_with_two_jobs(None).await;
    let old = cluster.leader().unwrap();
    cluster.net.rule(Rule::all(&host(old), "", Action::Drop).path("/do").body("start"));
    let machines = cluster.cloud.machines();
    machines.iter().for_each(|m| cluster.net.rule(Rule::all(m, "", Action::LoseAnswer)));
    cluster.submit("run-3", "free", 2, 4.0, "normal").await;
    cluster.until("starts were lost", || cluster.net.matched(Action::Drop) > 0).await;
    cluster.state.bar(&host(old), true);
    for id in ["run-1", "run-3"] {
        cluster.cancel((old + 1) % 3, id).await;
    }
    advance_checking_invariants(&cluster, 2.0).await;
    cluster.state.outage(true);
    cluster.state.bar(&host(old), false);
    advance_checking_invariants(&cluster, 4.0).await;
    // The network recovers, and answers reach the workers again.
    cluster.net.clear_rules();
    advance_checking_invariants(&cluster, 4.0).await;
    assert!(in_contact(&cluster, old), "the old leader no longer answers workers");
    advance_checking_invariants(&cluster, OUTAGE_SECONDS).await;
    cluster.state.outage(false);
    cluster.until_running(6).await;
    assert_eq!(cluster.checker.late_starts(), Vec::<String>::new());
    cluster.assert_invariants_hold();
}
