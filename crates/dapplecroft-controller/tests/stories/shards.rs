//! Several shards on several controllers: every machine is a shard here.

use crate::cluster::{Cluster, STATE, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use std::collections::BTreeSet;
use std::time::Duration;

async fn spread(capacity: usize, runs: &'static [(&'static str, u64)]) -> Cluster {
    let options = Options { shard_machines: Some(1), ..Options::default() };
    let adjust = |t: &mut dapplecroft_fakes::WorkerTiming| {
        for (job, seconds) in runs {
            t.runs.insert(job.to_string(), Duration::from_secs(*seconds));
        }
    };
    Cluster::with_options(capacity, adjust, options).await
}

#[tokio::test(start_paused = true)]
async fn shards_are_spread_over_all_controllers_and_each_commands_its_own() {
    let c = spread(6, &[("run-1", 30)]).await;
    c.submit("run-1", "free", 6, 16.0, "normal").await;
    c.until_running(6).await;
    let holders: BTreeSet<String> = c.shard_holders().into_values().collect();
    assert_eq!(holders.len(), 3, "{holders:?}");
    let records = c.state.keys("dc/q/");
    assert!(records.len() >= 6, "{records:?}");
    c.until_stage("run-1", "done").await;
    assert!((0..6).all(|i| c.checker.starts(&format!("run-1/{i}")) == 1));
    c.assert_recovers(&["run-1"]).await;
}

#[tokio::test(start_paused = true)]
async fn the_loss_of_one_controller_moves_its_shards_and_ends_no_task() {
    for back_after in [0.1, 3.0, 30.0] {
        let c = spread(6, &[("run-1", 60)]).await;
        c.submit("run-1", "free", 12, 8.0, "normal").await;
        c.until_running(12).await;
        let before = c.shard_holders();
        let leader = c.leader().unwrap();
        let lost = before.values().map(|h| c.node_number(h)).find(|n| *n != leader).unwrap();
        c.kill_node(lost);
        pause(back_after).await;
        c.start_node(lost);
        c.submit("run-2", "free", 2, 8.0, "urgent").await;
        c.until_stage("run-2", "done").await;
        c.until_stage("run-1", "done").await;
        assert!((0..12).all(|i| c.checker.starts(&format!("run-1/{i}")) <= 2));
        let moved =
            c.shard_holders().iter().filter(|(b, h)| before.get(*b).is_some_and(|old| old != *h)).count();
        assert!(moved <= 4, "{moved} blocks moved");
        c.assert_recovers(&["run-1", "run-2"]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn holders_go_on_while_there_is_no_leader() {
    let c = spread(6, &[("run-1", 12)]).await;
    c.submit("run-1", "free", 6, 16.0, "normal").await;
    c.until_running(6).await;
    let leader = c.leader().unwrap();
    c.kill_node(leader);
    c.until_stage("run-1", "done").await;
    assert!((0..6).all(|i| c.checker.starts(&format!("run-1/{i}")) == 1));
    c.start_node(leader);
    c.assert_recovers(&["run-1"]).await;
}

#[tokio::test(start_paused = true)]
async fn quota_holds_across_shards_handovers_and_leaders() {
    let c = spread(5, &[("run-1", 25), ("run-2", 10), ("run-3", 10)]).await;
    c.submit("run-1", "tight", 3, 8.0, "normal").await;
    c.submit("run-2", "tight", 4, 4.0, "normal").await;
    c.submit("run-3", "free", 8, 8.0, "normal").await;
    for step in 0..12 {
        pause(2.3).await;
        let n = step % 3;
        c.kill_node(n);
        pause(f64::from(step as u32 % 4) * 0.3).await;
        c.start_node(n);
        if step == 5 {
            c.cancel((n + 1) % 3, "run-2").await;
        }
        c.assert_invariants_hold();
    }
    c.until_stage("run-1", "done").await;
    c.until_stage("run-3", "done").await;
    c.assert_recovers(&["run-1", "run-2", "run-3"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_withdrawal_during_a_handover_ends_all_tasks_in_time() {
    for delay in [0.0, 0.02, 0.1, 0.5, 2.0, 4.5] {
        let c = spread(4, &[("run-1", 300)]).await;
        c.submit("run-1", "free", 8, 8.0, "normal").await;
        pause(5.0 + delay).await;
        let leader = c.leader().unwrap();
        let lost = c
            .shard_holders()
            .into_values()
            .map(|h| c.node_number(&h))
            .find(|n| *n != leader)
            .unwrap_or(leader);
        c.kill_node(lost);
        pause(delay).await;
        c.cancel((lost + 1) % 3, "run-1").await;
        c.start_node(lost);
        pause(crate::cluster::CANCEL_DEADLINE.as_secs_f64()).await;
        assert!(c.checker.on().is_empty());
        c.until("its record is final", || {
            c.state.value("dc/j/run-1").is_some_and(|v| v.get("spec").is_none())
        })
        .await;
        c.assert_recovers(&["run-1"]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn allocations_of_a_leader_that_was_replaced_are_void() {
    let c = spread(3, &[]).await;
    c.submit("run-1", "tight", 1, 8.0, "normal").await;
    c.until_stage("run-1", "done").await;
    let old = c.leader().unwrap();
    c.net.rule(Rule::all(&host(old), STATE, Action::Hold).path("/multi").body("\"to\":{"));
    c.submit("run-2", "tight", 4, 8.0, "normal").await;
    c.until("the allocation is held", || c.net.held() > 0).await;
    c.state.end_leases();
    c.net.rule(Rule::all(&host(old), STATE, Action::Drop));
    c.until("another leader", || c.leader().is_some_and(|n| n != old)).await;
    c.until("it allocates too", || c.checker.starts("run-2/0") > 0).await;
    let codes = c.net.deliver().await;
    assert!(codes.iter().all(|code| *code == 409), "{codes:?}");
    c.net.clear_rules();
    c.until_stage("run-2", "done").await;
    assert!((0..4).all(|i| c.checker.starts(&format!("run-2/{i}")) == 1));
    c.assert_recovers(&["run-1", "run-2"]).await;
}

#[tokio::test(start_paused = true)]
async fn what_is_taken_back_from_a_shard_is_placed_only_elsewhere() {
    let c = spread(4, &[("run-1", 40), ("run-2", 40)]).await;
    c.submit("run-1", "free", 4, 16.0, "normal").await;
    c.until_running(4).await;
    // A holder's placements don't get through; the leader takes the tasks back
    // from its shards when another has room.
    let leader = c.leader().unwrap();
    let slow = (0..3).find(|n| *n != leader).unwrap();
    c.net.rule(Rule::all(&host(slow), STATE, Action::Hold).path("/multi").body("dc/q/").times(6));
    c.submit("run-2", "free", 8, 8.0, "normal").await;
    c.until("something is held", || c.net.held() > 0).await;
    pause(30.0).await;
    c.net.deliver().await;
    c.until_stage("run-1", "done").await;
    c.until_stage("run-2", "done").await;
    c.assert_recovers(&["run-1", "run-2"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_rental_answered_after_its_machine_has_reported_brings_it_no_second_time() {
    let c = spread(3, &[("run-1", 30)]).await;
    let leader = c.leader().unwrap();
    // The answer is lost; the machine is up, reports and is taken in; then the
    // request is answered when it is repeated.
    c.net.rule(Rule::all(&host(leader), crate::cluster::CLOUD, Action::LoseAnswer).path("/rentals").times(4));
    c.submit("run-1", "free", 2, 16.0, "normal").await;
    c.until_running(2).await;
    let mut names = Vec::new();
    for key in c.state.keys("dc/m/") {
        let record = c.state.value(&key).unwrap();
        names.extend(record["m"].as_object().unwrap().keys().cloned());
    }
    let unique: BTreeSet<&String> = names.iter().collect();
    assert_eq!(unique.len(), names.len(), "{names:?}");
    c.until_stage("run-1", "done").await;
    assert!((0..2).all(|i| c.checker.starts(&format!("run-1/{i}")) == 1));
    c.assert_recovers(&["run-1"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_controller_whose_copy_fell_behind_starts_nothing_a_second_time() {
    for behind in [2.0, 20.0] {
        let c = spread(6, &[("run-1", 80), ("run-2", 80)]).await;
        c.submit("run-1", "free", 6, 8.0, "normal").await;
        c.until_running(6).await;
        let leader = c.leader().unwrap();
        let last = (0..3).find(|n| *n != leader).unwrap();
        // It hears of no change for a while, reads single keys all the same, and
        // then comes to hold everything.
        c.net.rule(Rule::all(&host(last), STATE, Action::Drop).path("/follow"));
        c.submit("run-2", "free", 6, 8.0, "normal").await;
        c.until("more runs", || c.checker.on().len() >= 8).await;
        for _ in 0..4 {
            c.job_status(last, "run-1").await;
            pause(behind / 4.0).await;
        }
        c.net.clear_rules();
        (0..3).filter(|n| *n != last).for_each(|n| c.kill_node(n));
        c.until("it leads", || c.leader() == Some(last)).await;
        c.until_stage("run-1", "done").await;
        c.until_stage("run-2", "done").await;
        (0..3).filter(|n| *n != last).for_each(|n| c.start_node(n));
        for id in ["run-1", "run-2"] {
            assert!((0..6).all(|i| c.checker.starts(&format!("{id}/{i}")) == 1), "{id}");
        }
        c.assert_recovers(&["run-1", "run-2"]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn urgent_work_makes_room_only_where_it_waits() {
    let c = spread(4, &[("run-1", 60), ("run-2", 5)]).await;
    c.submit("run-1", "free", 16, 4.0, "normal").await;
    c.until_running(16).await;
    c.submit("run-2", "free", 2, 4.0, "urgent").await;
    c.until("the urgent tasks run", || (0..2).all(|i| c.checker.starts(&format!("run-2/{i}")) == 1)).await;
    c.until_stage("run-2", "done").await;
    c.until_stage("run-1", "done").await;
    let starts: usize = (0..16).map(|i| c.checker.starts(&format!("run-1/{i}"))).sum();
    assert!(starts <= 16 + 3, "{} tasks gave way to two", starts - 16);
    c.assert_recovers(&["run-1", "run-2"]).await;
}
