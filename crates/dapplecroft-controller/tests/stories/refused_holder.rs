//! The gap: the state service refuses one holder alone, another controller
//! confirms cancellations, and then the state service is out for all for longer
//! than a cancellation may take, while workers go on reporting to the old holder.

use crate::cluster::{CANCEL_DEADLINE, Cluster, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use std::time::Duration;
use tokio::time::Instant;

/// Longer than any task of a withdrawn job may stay.
const OUTAGE_SECONDS: f64 = 59.0;

fn long_runtimes(long_runtimes: &mut WorkerTiming) {
    for job in ["run-1", "run-2"] {
        long_runtimes.runs.insert(job.into(), Duration::from_secs(300));
    }
}

/// A cluster on which a job to be withdrawn runs, and one that stays.
async fn cluster_with_two_jobs(shard_machines: Option<usize>) -> Cluster {
    let options = Options { shard_machines, ..Options::default() };
    let cluster = Cluster::with_options(6, long_runtimes, options).await;
    cluster.submit("run-1", "free", 18, 4.0, "normal").await;
    cluster.submit("run-2", "free", 6, 4.0, "normal").await;
    cluster.until_running(24).await;
    cluster
}

fn running_tasks(cluster: &Cluster, job: &str) -> usize {
    cluster.checker.on().keys().filter(|t| t.starts_with(job)).count()
}

/// Whether a node has the state service's word that its role is its own, fresh
/// enough to answer workers.
fn in_contact(cluster: &Cluster, n: usize) -> bool {
    cluster.node(n).with(|core| core.in_contact(Instant::now().into_std()))
}

/// Lets time pass and looks at the rules all along, not only at the end.
async fn advance_checking_invariants(cluster: &Cluster, seconds: f64) {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        pause(0.1).await;
        assert_eq!(cluster.checker.broken(), Vec::<String>::new());
    }
}

/// Of a gap, from the confirmation on: what was withdrawn is gone in time, does
/// not come back, and what was not withdrawn ends.
async fn check_cancellation_through_outage(cluster: &Cluster, refused_for: f64, old: usize) {
    let cancelled_at = Instant::now();
    assert!(running_tasks(cluster, "run-1") > 0, "the holder has not heard of it");
    advance_checking_invariants(cluster, refused_for).await;
    cluster.state.outage(true);
    advance_checking_invariants(cluster, 1.0).await;
    cluster.state.bar(&host(old), false);
    let before = cluster.state.turned_away();
    advance_checking_invariants(cluster, OUTAGE_SECONDS - 1.0).await;
    assert!(cluster.state.turned_away() > before, "the outage was noticed");
    assert!(cancelled_at.elapsed() > CANCEL_DEADLINE && running_tasks(cluster, "run-1") == 0);
    cluster.state.outage(false);
    advance_checking_invariants(cluster, 20.0).await;
    assert_eq!(cluster.checker.late_starts(), Vec::<String>::new());
    cluster.until_running(6).await;
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_job_cancelled_while_the_leader_is_refused_ends_in_time_despite_an_outage() {
    // Where in the leader's beat of a second the refusal begins, and how long
    // it lasts before the outage.
    for (phase, refused_for) in [(0.0, 0.5), (0.3, 2.0), (0.6, 2.0), (0.9, 1.0), (0.2, 3.4), (0.5, 10.0)] {
        let cluster = cluster_with_two_jobs(None).await;
        let old = cluster.leader().unwrap();
        pause(phase).await;
        cluster.state.bar(&host(old), true);
        cluster.cancel((old + 1) % 3, "run-1").await;
        assert!(in_contact(&cluster, old), "workers are still answered");
        check_cancellation_through_outage(&cluster, refused_for, old).await;
        assert!(cluster.checker.starts("run-2/0") >= 1);
    }
}

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

#[tokio::test(start_paused = true)]
async fn contact_is_dated_from_the_request_however_slow_the_answer() {
    for answer_delay_s in [0.6, 0.9, 1.9] {
        let cluster = cluster_with_two_jobs(None).await;
        let old = cluster.leader().unwrap();
        cluster.state.slow(&host(old), Duration::from_secs_f64(answer_delay_s));
        advance_checking_invariants(&cluster, 3.0).await;
        // What it asked just before is answered just after.
        cluster.state.bar(&host(old), true);
        cluster.cancel((old + 1) % 3, "run-1").await;
        check_cancellation_through_outage(&cluster, 1.0, old).await;
    }
}

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
        assert!(!in_contact(&cluster, old), "nothing can have confirmed it");
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

// What is recorded and could not be commanded yet may have been withdrawn since: a
// holder that is refused went on sending its starts until the contact limit.
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
    // The network heals, and workers are answered again.
    cluster.net.clear_rules();
    advance_checking_invariants(&cluster, 4.0).await;
    assert!(in_contact(&cluster, old), "it still answers");
    advance_checking_invariants(&cluster, OUTAGE_SECONDS).await;
    cluster.state.outage(false);
    cluster.until_running(6).await;
    assert_eq!(cluster.checker.late_starts(), Vec::<String>::new());
    cluster.assert_invariants_hold();
}
