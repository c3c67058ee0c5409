//! The gap: the state service refuses one holder alone, another controller
//! confirms cancellations, and then the state service is out for all for longer
//! than a cancellation may take, while workers go on reporting to the old holder.

use crate::cluster::{CANCEL, Cluster, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use std::time::Duration;
use tokio::time::Instant;

/// Longer than any task of a withdrawn job may stay.
const OUTAGE: f64 = 59.0;

fn timing(timing: &mut WorkerTiming) {
    for job in ["run-1", "run-2"] {
        timing.runs.insert(job.into(), Duration::from_secs(300));
    }
}

/// A cluster on which a job to be withdrawn runs, and one that stays.
async fn running(shard_machines: Option<usize>) -> Cluster {
    let options = Options { shard_machines, ..Options::default() };
    let c = Cluster::with(6, timing, options).await;
    c.submit("run-1", "free", 18, 4.0, "normal").await;
    c.submit("run-2", "free", 6, 4.0, "normal").await;
    c.until_running(24).await;
    c
}

fn on(c: &Cluster, job: &str) -> usize {
    c.referee.on().keys().filter(|t| t.starts_with(job)).count()
}

/// Whether a node has the state service's word that its role is its own, fresh
/// enough to answer workers.
fn in_contact(c: &Cluster, n: usize) -> bool {
    c.node(n).with(|core| core.in_contact(Instant::now().into_std()))
}

/// Lets time pass and looks at the rules all along, not only at the end.
async fn watch(c: &Cluster, seconds: f64) {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        pause(0.1).await;
        assert_eq!(c.referee.broken(), Vec::<String>::new());
    }
}

/// Of a gap, from the confirmation on: what was withdrawn is gone in time, does
/// not come back, and what was not withdrawn ends.
async fn through(c: &Cluster, refused_for: f64, old: usize) {
    let told = Instant::now();
    assert!(on(c, "run-1") > 0, "the holder has not heard of it");
    watch(c, refused_for).await;
    c.state.outage(true);
    watch(c, 1.0).await;
    c.state.bar(&host(old), false);
    let before = c.state.turned_away();
    watch(c, OUTAGE - 1.0).await;
    assert!(c.state.turned_away() > before, "the outage was noticed");
    assert!(told.elapsed() > CANCEL && on(c, "run-1") == 0);
    c.state.outage(false);
    watch(c, 20.0).await;
    assert_eq!(c.referee.late_starts(), Vec::<String>::new());
    c.until_running(6).await;
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn what_was_withdrawn_while_the_leader_alone_was_refused_ends_in_time_without_the_state_service() {
    // Where in the leader's beat of a second the refusal begins, and how long
    // it lasts before the outage.
    for (phase, refused_for) in [(0.0, 0.5), (0.3, 2.0), (0.6, 2.0), (0.9, 1.0), (0.2, 3.4), (0.5, 10.0)] {
        let c = running(None).await;
        let old = c.leader().unwrap();
        pause(phase).await;
        c.state.bar(&host(old), true);
        c.withdraw((old + 1) % 3, "run-1").await;
        assert!(in_contact(&c, old), "workers are still answered");
        through(&c, refused_for, old).await;
        assert!(c.referee.starts("run-2/0") >= 1);
    }
}

#[tokio::test(start_paused = true)]
async fn a_refused_holder_that_does_not_lead_lets_go_in_time() {
    for (phase, refused_for) in [(0.0, 0.5), (0.4, 2.0), (0.8, 3.4)] {
        let c = running(Some(2)).await;
        let leader = c.leader().unwrap();
        let held = c.holders().into_values().map(|h| c.number(&h));
        let old = held.into_iter().find(|n| *n != leader).expect("a holder that does not lead");
        pause(phase).await;
        c.state.bar(&host(old), true);
        c.withdraw(leader, "run-1").await;
        through(&c, refused_for, old).await;
    }
}

#[tokio::test(start_paused = true)]
async fn contact_counts_from_the_sending_however_slowly_the_state_service_answers() {
    for slow in [0.6, 0.9, 1.9] {
        let c = running(None).await;
        let old = c.leader().unwrap();
        c.state.slow(&host(old), Duration::from_secs_f64(slow));
        watch(&c, 3.0).await;
        // What it asked just before is answered just after.
        c.state.bar(&host(old), true);
        c.withdraw((old + 1) % 3, "run-1").await;
        through(&c, 1.0, old).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_ends_within_the_gap_and_is_back_within_a_second_answers_nobody() {
    for (after, back) in [(0.2, 0.1), (1.5, 0.9), (6.0, 0.5)] {
        let c = running(None).await;
        let old = c.leader().unwrap();
        c.state.bar(&host(old), true);
        c.withdraw((old + 1) % 3, "run-1").await;
        watch(&c, 0.7).await;
        c.state.outage(true);
        watch(&c, after).await;
        c.kill_node(old);
        watch(&c, back).await;
        c.start_node(old);
        watch(&c, 5.0).await;
        assert!(!in_contact(&c, old), "nothing can have confirmed it");
        c.state.bar(&host(old), false);
        watch(&c, OUTAGE).await;
        assert_eq!(on(&c, "run-1"), 0);
        c.state.outage(false);
        watch(&c, 20.0).await;
        assert_eq!(c.referee.late_starts(), Vec::<String>::new());
        c.until_running(6).await;
        c.assert_rules_kept();
    }
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_hangs_within_the_gap_and_goes_on_runs_nothing_withdrawn() {
    for hang in [8.0, 15.0, 30.0] {
        let c = running(None).await;
        let old = c.leader().unwrap();
        c.state.bar(&host(old), true);
        c.withdraw((old + 1) % 3, "run-1").await;
        let machine = c.referee.on()["run-1/0"].clone();
        watch(&c, 2.0).await;
        c.cloud.worker(&machine).hang(Duration::from_secs_f64(hang));
        through(&c, 0.5, old).await;
    }
}

// What is recorded and could not be commanded yet may have been withdrawn since: a
// holder that is refused went on sending its starts until the contact limit.
#[tokio::test(start_paused = true)]
async fn a_refused_holder_goes_on_answering_and_begins_nothing() {
    let c = running(None).await;
    let old = c.leader().unwrap();
    c.net.rule(Rule::all(&host(old), "", Action::Drop).path("/do").body("start"));
    let machines = c.cloud.machines();
    machines.iter().for_each(|m| c.net.rule(Rule::all(m, "", Action::LoseAnswer)));
    c.submit("run-3", "free", 2, 4.0, "normal").await;
    c.until("starts were lost", || c.net.matched(Action::Drop) > 0).await;
    c.state.bar(&host(old), true);
    for id in ["run-1", "run-3"] {
        c.withdraw((old + 1) % 3, id).await;
    }
    watch(&c, 2.0).await;
    c.state.outage(true);
    c.state.bar(&host(old), false);
    watch(&c, 4.0).await;
    // The network heals, and workers are answered again.
    c.net.clear_rules();
    watch(&c, 4.0).await;
    assert!(in_contact(&c, old), "it still answers");
    watch(&c, OUTAGE).await;
    c.state.outage(false);
    c.until_running(6).await;
    assert_eq!(c.referee.late_starts(), Vec::<String>::new());
    c.assert_rules_kept();
}
