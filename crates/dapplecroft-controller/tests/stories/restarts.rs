//! Restarts of all controllers, with many shards: every machine is one here.

use crate::cluster::{Cluster, STATE, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use std::collections::BTreeMap;
use std::time::Duration;

const MACHINES: usize = 12;

/// A cluster with as many tasks running as it has machines.
async fn busy(seconds: u64) -> Cluster {
    let options = Options { shard_machines: Some(1), ..Options::default() };
    let adjust = |t: &mut dapplecroft_fakes::WorkerTiming| {
        t.runs.insert("run-1".into(), Duration::from_secs(seconds));
    };
    let c = Cluster::with(MACHINES, adjust, options).await;
    c.submit("run-1", "free", MACHINES as u32, 16.0, "normal").await;
    c.until_running(MACHINES).await;
    c
}

fn kill_all(c: &Cluster) {
    (0..3).for_each(|n| c.kill_node(n));
}

async fn assert_nothing_ran_twice(c: &Cluster) {
    c.until_stage("run-1", "done").await;
    for i in 0..MACHINES {
        assert_eq!(c.referee.starts(&format!("run-1/{i}")), 1, "task {i}");
    }
    c.assert_day_ends(&["run-1"]).await;
}

/// How many shards each controller that is up holds, by its own belief.
fn held(c: &Cluster, nodes: &[usize]) -> BTreeMap<usize, usize> {
    nodes.iter().map(|n| (*n, c.node(*n).with(|core| core.role.leased_shards.len()))).collect()
}

// The first that is back once took all shards of a large fleet, drowned in the
// workers' reports, and lost its lease and all of them again.
#[tokio::test(start_paused = true)]
async fn the_first_back_after_the_end_of_all_leaves_the_others_their_part() {
    let c = busy(60).await;
    let shards = c.holders().len();
    kill_all(&c);
    pause(6.0).await;
    c.start_node(1);
    c.until("a leader", || c.leader() == Some(1)).await;
    pause(1.5).await;
    assert!(held(&c, &[1])[&1] <= shards.div_ceil(3), "{:?} of {shards}", held(&c, &[1]));
    c.start_node(0);
    c.start_node(2);
    c.until("all blocks held", || held(&c, &[0, 1, 2]).values().sum::<usize>() == shards).await;
    let epochs = |c: &Cluster| -> Vec<u64> {
        c.state.keys("dc/b/").iter().filter_map(|k| c.state.value(k)?["epoch"].as_u64()).collect()
    };
    // Each shard was leased once: all epochs are the new leader's term.
    let term = epochs(&c).into_iter().max().unwrap();
    assert!(epochs(&c).iter().all(|e| *e == term), "{:?}", epochs(&c));
    assert_nothing_ran_twice(&c).await;
}

#[tokio::test(start_paused = true)]
async fn one_that_stays_alone_takes_everything_well_before_the_workers_leases_end() {
    let c = busy(60).await;
    let shards = c.holders().len();
    kill_all(&c);
    pause(6.0).await;
    c.start_node(2);
    pause(12.0).await;
    assert_eq!(held(&c, &[2])[&2], shards);
    c.until_stage("run-1", "done").await;
    c.start_node(0);
    c.start_node(1);
    assert_nothing_ran_twice(&c).await;
}

#[tokio::test(start_paused = true)]
async fn all_end_in_the_last_seconds_of_an_outage_and_again_in_mid_recovery() {
    for gap in [0.05, 0.3, 1.0, 2.5] {
        let c = busy(90).await;
        c.net.rule(Rule::all("", STATE, Action::Refuse));
        c.net.rule(Rule::all("", STATE, Action::Drop).path("/follow"));
        pause(8.0).await;
        kill_all(&c);
        pause(1.0).await;
        (0..3).for_each(|n| c.start_node(n));
        pause(0.5).await;
        c.net.clear_rules();
        // They have begun to read, to stand for election, or to lease.
        pause(gap).await;
        kill_all(&c);
        pause(0.2).await;
        (0..3).for_each(|n| c.start_node(n));
        c.until("a leader", || c.leader().is_some()).await;
        assert_nothing_ran_twice(&c).await;
    }
}

#[tokio::test(start_paused = true)]
async fn controllers_are_restarted_one_after_the_other_under_a_burst() {
    let c = busy(40).await;
    let mut jobs = vec!["run-1".to_string()];
    for n in 0..3 {
        c.kill_node(n);
        pause(3.0).await;
        c.start_node(n);
        for k in 0..4 {
            let id = format!("run-1{n}{k}");
            c.submit(&id, "free", 3, 4.0, "urgent").await;
            jobs.push(id);
        }
        pause(6.0).await;
    }
    for id in &jobs {
        c.until_stage(id, "done").await;
    }
    let jobs: Vec<&str> = jobs.iter().map(String::as_str).collect();
    c.assert_day_ends(&jobs).await;
}

#[tokio::test(start_paused = true)]
async fn a_report_before_the_records_are_known_is_refused_unread() {
    let c = busy(60).await;
    kill_all(&c);
    // The records can't be read yet.
    c.net.rule(Rule::all("", STATE, Action::Refuse));
    c.start_node(0);
    pause(0.2).await;
    let refused = c.node(0).reject_without_reading("/hello").unwrap();
    assert_eq!((refused.status, refused.retry_after), (503, Some(1)));
    assert!(c.node(0).reject_without_reading("/v2/runs/run-1").is_none(), "users get an answer of their own");
    c.net.clear_rules();
    c.until("records read", || c.node(0).reject_without_reading("/hello").is_none()).await;
    c.start_node(1);
    c.start_node(2);
    assert_nothing_ran_twice(&c).await;
}

#[tokio::test(start_paused = true)]
async fn late_reports_of_machines_that_were_cut_prove_nothing_to_their_next_holder() {
    let c = busy(60).await;
    let leader = c.leader().unwrap();
    let lost = c.holders().values().map(|h| c.number(h)).find(|n| *n != leader).unwrap();
    // Half of all machines are cut off with their packets held, and their
    // busiest holder ends meanwhile.
    let cut: Vec<String> = c.cloud.machines().into_iter().take(MACHINES / 2).collect();
    for machine in &cut {
        c.net.rule(Rule::all(machine, "", Action::Hold));
        c.net.rule(Rule::all("", &format!("w:{machine}"), Action::Hold));
    }
    pause(1.0).await;
    c.kill_node(lost);
    pause(3.0).await;
    c.start_node(lost);
    pause(8.0).await;
    c.net.clear_rules();
    c.net.deliver().await;
    c.until_stage("run-1", "done").await;
    c.assert_day_ends(&["run-1"]).await;
}
