//! Many machines: 1.5 times the largest deployment, waves of lost machines, and more silent
//! machines than can be probed at a time.

use crate::cluster::{Cluster, address, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

async fn start_with_all_machines_busy(machines: usize, seconds: u64, options: Options) -> Cluster {
    let adjust = |timing: &mut dapplecroft_fakes::WorkerTiming| {
        timing.runs.insert("run-1".into(), Duration::from_secs(seconds));
    };
    let cluster = Cluster::with_options(machines, adjust, options).await;
    cluster.submit("run-1", "free", machines as u32, 16.0, "normal").await;
    cluster.until_running(machines).await;
    cluster
}

#[tokio::test(start_paused = true)]
async fn a_job_on_1850_machines_stays_within_the_state_service_write_rate() {
    let started_at = Instant::now();
    let cluster = start_with_all_machines_busy(1850, 30, Options::default()).await;
    cluster.until_stage("run-1", "done").await;
    // The state service's limit of changes per second, plus one second's worth of burst.
    let max_changes = 25.0 * (started_at.elapsed().as_secs_f64() + 1.0);
    let changes_made = cluster.state.changes() as f64;
    assert!(
        changes_made <= max_changes,
        "{changes_made} changes to the state service in {:?}",
        started_at.elapsed()
    );
    assert!(
        cluster.state.largest_value() <= 8 * 1024,
        "largest value: {} bytes",
        cluster.state.largest_value()
    );
    cluster.assert_invariants_hold();
}

// A controller that loses the connection to all of its workers must give up its shards, not release
// the machines. Only 64 silent machines used to be probed through peers; the others counted as
// unreachable for everyone, so that they would have been released.
#[tokio::test(start_paused = true)]
async fn a_controller_cut_off_from_more_workers_than_one_probe_covers_restarts_no_task() {
    let cluster = start_with_all_machines_busy(450, 60, Options::default()).await;
    let leader = cluster.leader().unwrap();
    let isolated = (0..3).find(|n| *n != leader).unwrap();
    let own_machines = cluster.node(isolated).with(|core| core.booted_machine_count());
    assert!(own_machines > 128, "the isolated controller holds only {own_machines} machines");
    for machine in cluster.cloud.machines() {
        cluster.net.rule(Rule::all(&machine, &address(isolated), Action::Drop));
        cluster.net.rule(Rule::all(&host(isolated), &format!("w:{machine}"), Action::Drop));
    }
    cluster
        .until("the isolated controller gives up its shards", || {
            cluster.node(isolated).with(|core| core.role.leased_shards.is_empty())
        })
        .await;
    cluster.net.clear_rules();
    cluster.until_stage("run-1", "done").await;
    let restarted_tasks = (0..450).filter(|i| cluster.checker.starts(&format!("run-1/{i}")) > 1).count();
    assert_eq!(restarted_tasks, 0, "restarted tasks");
    cluster.assert_invariants_hold();
}

// Machines are lost in a wave while jobs arrive. The writes of machine records used to delay the
// commits of allocations by 25 s.
#[tokio::test(start_paused = true)]
async fn a_wave_of_lost_machines_does_not_delay_allocations() {
    let options = Options { shard_machines: Some(1), ..Options::default() };
    let cluster = start_with_all_machines_busy(40, 300, options).await;
    // 30 of the 40 machines are lost; the jobs fit on the others.
    let lost: BTreeSet<String> = cluster.cloud.machines().into_iter().take(30).collect();
    cluster.cancel(0, "run-1").await;
    cluster.until("all tasks have stopped", || cluster.checker.on().is_empty()).await;
    lost.iter().for_each(|id| cluster.cloud.take(id));
    let mut max_in_flight = 0;
    for step in 0..60 {
        if step % 10 == 5 {
            let id = format!("run-2{step}");
            cluster.submit(&id, "free", 2, 4.0, "urgent").await;
            let started_at = Instant::now();
            cluster.until_stage(&id, "done").await;
            // Each job runs for 10 s, and a second time if it was placed on a machine whose loss is
            // not detected yet.
            assert!(started_at.elapsed() < Duration::from_secs(30), "{id} took {:?}", started_at.elapsed());
        }
        let in_flight = |n: usize| cluster.node(n).with(|core| core.group_writes_in_flight());
        max_in_flight = (0..3).map(in_flight).max().unwrap_or(0).max(max_in_flight);
        pause(0.2).await;
    }
    assert!(max_in_flight <= 6, "{max_in_flight} writes of machine records in flight");
    cluster.assert_invariants_hold();
}
