//! Many machines: half as many again as any site has, waves of lost ones, and
//! more silent ones than others can be asked about at a time.

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
    let cluster = Cluster::with(machines, adjust, options).await;
    cluster.submit("run-1", "free", machines as u32, 16.0, "normal").await;
    cluster.until_running(machines).await;
    cluster
}

#[tokio::test(start_paused = true)]
async fn a_job_on_1850_machines_stays_within_the_state_service_write_rate() {
    let started_at = Instant::now();
    let cluster = start_with_all_machines_busy(1850, 30, Options::default()).await;
    cluster.until_stage("run-1", "done").await;
    // The state service's limit, of which bursts are part.
    let max_changes = 25.0 * (started_at.elapsed().as_secs_f64() + 1.0);
    let changes_made = cluster.state.changes() as f64;
    assert!(changes_made <= max_changes, "{changes_made} changes in {:?}", started_at.elapsed());
    assert!(cluster.state.largest_value() <= 8 * 1024, "a value of {}", cluster.state.largest_value());
    cluster.assert_rules_kept();
}

// Of what was silent, 64 machines were asked about and the others passed for
// unreached: a controller that lost its workers would have released them.
#[tokio::test(start_paused = true)]
async fn a_controller_cut_off_from_more_workers_than_one_probe_covers_restarts_no_task() {
    let cluster = start_with_all_machines_busy(450, 60, Options::default()).await;
    let leader = cluster.leader().unwrap();
    let isolated = (0..3).find(|n| *n != leader).unwrap();
    let own_machines = cluster.node(isolated).with(|core| core.booted_machine_count());
    assert!(own_machines > 128, "{own_machines} machines");
    for machine in cluster.cloud.machines() {
        cluster.net.rule(Rule::all(&machine, &address(isolated), Action::Drop));
        cluster.net.rule(Rule::all(&host(isolated), &format!("w:{machine}"), Action::Drop));
    }
    cluster
        .until("it steps back", || cluster.node(isolated).with(|core| core.role.leased_shards.is_empty()))
        .await;
    cluster.net.clear_rules();
    cluster.until_stage("run-1", "done").await;
    let restarted_tasks = (0..450).filter(|i| cluster.referee.starts(&format!("run-1/{i}")) > 1).count();
    assert_eq!(restarted_tasks, 0, "tasks that ran again");
    cluster.assert_rules_kept();
}

// Records of machines once kept allocations from being committed for 25 s.
#[tokio::test(start_paused = true)]
async fn a_wave_of_lost_machines_does_not_delay_allocations() {
    let options = Options { shard_machines: Some(1), ..Options::default() };
    let cluster = start_with_all_machines_busy(40, 300, options).await;
    // Half of what runs can't end; room is on the other machines.
    let lost: BTreeSet<String> = cluster.cloud.machines().into_iter().take(30).collect();
    cluster.withdraw(0, "run-1").await;
    cluster.until("all stopped", || cluster.referee.on().is_empty()).await;
    lost.iter().for_each(|id| cluster.cloud.take(id));
    let mut max_in_flight = 0;
    for step in 0..60 {
        if step % 10 == 5 {
            let id = format!("run-2{step}");
            cluster.submit(&id, "free", 2, 4.0, "urgent").await;
            let started_at = Instant::now();
            cluster.until_stage(&id, "done").await;
            // It runs for 10 s, twice if its machine is one whose loss is not
            // known yet.
            assert!(started_at.elapsed() < Duration::from_secs(30), "{id} took {:?}", started_at.elapsed());
        }
        let in_flight = |n: usize| cluster.node(n).with(|core| core.group_writes_in_flight());
        max_in_flight = (0..3).map(in_flight).max().unwrap_or(0).max(max_in_flight);
        pause(0.2).await;
    }
    assert!(max_in_flight <= 6, "{max_in_flight} records of machines at a time");
    cluster.assert_rules_kept();
}
