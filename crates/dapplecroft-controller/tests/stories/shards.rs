//! Several shards on several controllers: each shard has a single machine here.

use crate::cluster::{Cluster, STATE, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use std::collections::BTreeSet;
use std::time::Duration;

async fn start_with_single_machine_shards(
    capacity: usize,
    run_times_s: &'static [(&'static str, u64)],
) -> Cluster {
    let options = Options { shard_machines: Some(1), ..Options::default() };
    let adjust = |timing: &mut dapplecroft_fakes::WorkerTiming| {
        for (job, seconds) in run_times_s {
            timing.runs.insert(job.to_string(), Duration::from_secs(*seconds));
        }
    };
    Cluster::with_options(capacity, adjust, options).await
}

#[tokio::test(start_paused = true)]
async fn shards_are_spread_over_all_controllers_and_each_runs_its_own_tasks() {
    let cluster = start_with_single_machine_shards(6, &[("run-1", 30)]).await;
    cluster.submit("run-1", "free", 6, 16.0, "normal").await;
    cluster.until_running(6).await;
    let holders: BTreeSet<String> = cluster.shard_holders().into_values().collect();
    assert_eq!(holders.len(), 3, "{holders:?}");
    let records = cluster.state.keys("dc/q/");
    assert!(records.len() >= 6, "{records:?}");
    cluster.until_stage("run-1", "done").await;
    assert!((0..6).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    cluster.assert_recovers(&["run-1"]).await;
}

#[tokio::test(start_paused = true)]
async fn losing_one_controller_moves_few_shards_and_all_jobs_complete() {
    for back_after in [0.1, 3.0, 30.0] {
        let cluster = start_with_single_machine_shards(6, &[("run-1", 60)]).await;
        cluster.submit("run-1", "free", 12, 8.0, "normal").await;
        cluster.until_running(12).await;
        let before = cluster.shard_holders();
        let leader = cluster.leader().unwrap();
        let crashed = before.values().map(|h| cluster.node_number(h)).find(|n| *n != leader).unwrap();
        cluster.kill_node(crashed);
        pause(back_after).await;
        cluster.start_node(crashed);
        cluster.submit("run-2", "free", 2, 8.0, "urgent").await;
        cluster.until_stage("run-2", "done").await;
        cluster.until_stage("run-1", "done").await;
        assert!((0..12).all(|i| cluster.checker.starts(&format!("run-1/{i}")) <= 2));
        let moved = cluster
            .shard_holders()
            .iter()
            .filter(|(shard, holder)| before.get(*shard).is_some_and(|previous| previous != *holder))
            .count();
        assert!(moved <= 4, "{moved} shards moved");
        cluster.assert_recovers(&["run-1", "run-2"]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn shard_holders_complete_tasks_while_there_is_no_leader() {
    let cluster = start_with_single_machine_shards(6, &[("run-1", 12)]).await;
    cluster.submit("run-1", "free", 6, 16.0, "normal").await;
    cluster.until_running(6).await;
    let leader = cluster.leader().unwrap();
    cluster.kill_node(leader);
    cluster.until_stage("run-1", "done").await;
    assert!((0..6).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    cluster.start_node(leader);
    cluster.assert_recovers(&["run-1"]).await;
}

#[tokio::test(start_paused = true)]
async fn team_quota_holds_across_shard_handovers_and_leader_changes() {
    let cluster = start_with_single_machine_shards(5, &[("run-1", 25), ("run-2", 10), ("run-3", 10)]).await;
    cluster.submit("run-1", "tight", 3, 8.0, "normal").await;
    cluster.submit("run-2", "tight", 4, 4.0, "normal").await;
    cluster.submit("run-3", "free", 8, 8.0, "normal").await;
    for step in 0..12 {
        pause(2.3).await;
        let n = step % 3;
        cluster.kill_node(n);
        pause(f64::from(step as u32 % 4) * 0.3).await;
        cluster.start_node(n);
        if step == 5 {
            cluster.cancel((n + 1) % 3, "run-2").await;
        }
        cluster.assert_invariants_hold();
    }
    cluster.until_stage("run-1", "done").await;
    cluster.until_stage("run-3", "done").await;
    cluster.assert_recovers(&["run-1", "run-2", "run-3"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_job_cancelled_during_a_shard_handover_stops_in_time() {
    for delay in [0.0, 0.02, 0.1, 0.5, 2.0, 4.5] {
        let cluster = start_with_single_machine_shards(4, &[("run-1", 300)]).await;
        cluster.submit("run-1", "free", 8, 8.0, "normal").await;
        pause(5.0 + delay).await;
        let leader = cluster.leader().unwrap();
        let crashed = cluster
            .shard_holders()
            .into_values()
            .map(|h| cluster.node_number(&h))
            .find(|n| *n != leader)
            .unwrap_or(leader);
        cluster.kill_node(crashed);
        pause(delay).await;
        cluster.cancel((crashed + 1) % 3, "run-1").await;
        cluster.start_node(crashed);
        pause(crate::cluster::CANCEL_DEADLINE.as_secs_f64()).await;
        assert!(cluster.checker.on().is_empty());
        cluster
            .until("the cancelled job's record is compacted", || {
                cluster.state.value("dc/j/run-1").is_some_and(|v| v.get("spec").is_none())
            })
            .await;
        cluster.assert_recovers(&["run-1"]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn late_allocations_of_a_replaced_leader_are_rejected() {
    let cluster = start_with_single_machine_shards(3, &[]).await;
    cluster.submit("run-1", "tight", 1, 8.0, "normal").await;
    cluster.until_stage("run-1", "done").await;
    let old_leader = cluster.leader().unwrap();
    cluster.net.rule(Rule::all(&host(old_leader), STATE, Action::Hold).path("/multi").body("\"to\":{"));
    cluster.submit("run-2", "tight", 4, 8.0, "normal").await;
    cluster.until("an allocation is delayed", || cluster.net.held() > 0).await;
    cluster.state.end_leases();
    cluster.net.rule(Rule::all(&host(old_leader), STATE, Action::Drop));
    cluster.until("another leader", || cluster.leader().is_some_and(|n| n != old_leader)).await;
    cluster.until("the new leader has allocated the tasks", || cluster.checker.starts("run-2/0") > 0).await;
    let codes = cluster.net.deliver().await;
    assert!(codes.iter().all(|code| *code == 409), "{codes:?}");
    cluster.net.clear_rules();
    cluster.until_stage("run-2", "done").await;
    assert!((0..4).all(|i| cluster.checker.starts(&format!("run-2/{i}")) == 1));
    cluster.assert_recovers(&["run-1", "run-2"]).await;
}

/// A holder's placement commits are delayed, so the leader reclaims the tasks and allocates them to
/// another shard. The delayed commits arrive afterwards and must not start the tasks twice.
#[tokio::test(start_paused = true)]
async fn tasks_reclaimed_from_a_stalled_shard_run_only_on_another_shard() {
    let cluster = start_with_single_machine_shards(4, &[("run-1", 40), ("run-2", 40)]).await;
    cluster.submit("run-1", "free", 4, 16.0, "normal").await;
    cluster.until_running(4).await;
    // One holder's placement commits are delayed; the leader reclaims the tasks from its shards
    // when another shard has free resources.
    let leader = cluster.leader().unwrap();
    let stalled = (0..3).find(|n| *n != leader).unwrap();
    cluster.net.rule(Rule::all(&host(stalled), STATE, Action::Hold).path("/multi").body("dc/q/").times(6));
    cluster.submit("run-2", "free", 8, 8.0, "normal").await;
    cluster.until("a placement commit is delayed", || cluster.net.held() > 0).await;
    pause(30.0).await;
    cluster.net.deliver().await;
    cluster.until_stage("run-1", "done").await;
    cluster.until_stage("run-2", "done").await;
    cluster.assert_recovers(&["run-1", "run-2"]).await;
}

/// The cloud's answer to a rental is lost and the machine registers by its heartbeat. The repeated
/// request is answered later and must not record the machine a second time.
#[tokio::test(start_paused = true)]
async fn a_rental_answered_after_its_machine_reported_adds_the_machine_once() {
    let cluster = start_with_single_machine_shards(3, &[("run-1", 30)]).await;
    let leader = cluster.leader().unwrap();
    // The cloud's answer is lost; the machine boots, sends a heartbeat and is recorded; the
    // repeated request is answered only then.
    cluster
        .net
        .rule(Rule::all(&host(leader), crate::cluster::CLOUD, Action::LoseAnswer).path("/rentals").times(4));
    cluster.submit("run-1", "free", 2, 16.0, "normal").await;
    cluster.until_running(2).await;
    let mut names = Vec::new();
    for key in cluster.state.keys("dc/m/") {
        let record = cluster.state.value(&key).unwrap();
        names.extend(record["m"].as_object().unwrap().keys().cloned());
    }
    let unique: BTreeSet<&String> = names.iter().collect();
    assert_eq!(unique.len(), names.len(), "{names:?}");
    cluster.until_stage("run-1", "done").await;
    assert!((0..2).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    cluster.assert_recovers(&["run-1"]).await;
}

/// A controller whose record replica is outdated becomes the holder of all shards. It must catch up
/// before it places tasks.
#[tokio::test(start_paused = true)]
async fn a_controller_with_a_stale_record_replica_starts_no_task_twice() {
    for behind_s in [2.0, 20.0] {
        let cluster = start_with_single_machine_shards(6, &[("run-1", 80), ("run-2", 80)]).await;
        cluster.submit("run-1", "free", 6, 8.0, "normal").await;
        cluster.until_running(6).await;
        let leader = cluster.leader().unwrap();
        let stale = (0..3).find(|n| *n != leader).unwrap();
        // This controller receives no watch events for a while but still reads single keys; then it
        // becomes the holder of all shards.
        cluster.net.rule(Rule::all(&host(stale), STATE, Action::Drop).path("/follow"));
        cluster.submit("run-2", "free", 6, 8.0, "normal").await;
        cluster.until("some tasks of run-2 run", || cluster.checker.on().len() >= 8).await;
        for _ in 0..4 {
            cluster.job_status(stale, "run-1").await;
            pause(behind_s / 4.0).await;
        }
        cluster.net.clear_rules();
        (0..3).filter(|n| *n != stale).for_each(|n| cluster.kill_node(n));
        cluster.until("the stale controller leads", || cluster.leader() == Some(stale)).await;
        cluster.until_stage("run-1", "done").await;
        cluster.until_stage("run-2", "done").await;
        (0..3).filter(|n| *n != stale).for_each(|n| cluster.start_node(n));
        for id in ["run-1", "run-2"] {
            assert!((0..6).all(|i| cluster.checker.starts(&format!("{id}/{i}")) == 1), "{id}");
        }
        cluster.assert_recovers(&["run-1", "run-2"]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn urgent_tasks_preempt_few_tasks_beyond_what_they_need() {
    let cluster = start_with_single_machine_shards(4, &[("run-1", 60), ("run-2", 5)]).await;
    cluster.submit("run-1", "free", 16, 4.0, "normal").await;
    cluster.until_running(16).await;
    cluster.submit("run-2", "free", 2, 4.0, "urgent").await;
    cluster
        .until("the urgent tasks run", || (0..2).all(|i| cluster.checker.starts(&format!("run-2/{i}")) == 1))
        .await;
    cluster.until_stage("run-2", "done").await;
    cluster.until_stage("run-1", "done").await;
    let starts: usize = (0..16).map(|i| cluster.checker.starts(&format!("run-1/{i}"))).sum();
    assert!(starts <= 16 + 3, "{} tasks were preempted for two", starts - 16);
    cluster.assert_recovers(&["run-1", "run-2"]).await;
}
