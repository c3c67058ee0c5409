//! Five controllers in three zones, as a further deployment has them.

use crate::cluster::{CANCEL_DEADLINE, CLOUD, Cluster, STATE, address, host, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use std::collections::BTreeSet;
use std::time::Duration;

const NODES: usize = 5;

async fn five(shard_machines: Option<usize>) -> Cluster {
    let runs = |t: &mut WorkerTiming| {
        for (id, seconds) in [("run-1", 300), ("run-2", 300), ("run-3", 5)] {
            t.runs.insert(id.into(), Duration::from_secs(seconds));
        }
    };
    let options = Options { shard_machines, ..Options::default() };
    let c = Cluster::with_nodes(NODES, 10, runs, options, serde_json::Value::Null, |_| {}).await;
    c.submit("run-1", "free", 10, 8.0, "normal").await;
    c.submit("run-2", "tight", 2, 8.0, "normal").await;
    c.until_running(12).await;
    c
}

async fn keeps_rules(c: &Cluster, seconds: u64) {
    for _ in 0..seconds {
        pause(1.0).await;
        assert_eq!(c.checker.broken(), Vec::<String>::new());
    }
}

/// Cuts controllers off, with the machines of a zone or with none.
fn cut(c: &Cluster, inside: &BTreeSet<usize>, machines: &[String]) {
    for n in inside {
        c.isolated.lock().unwrap().insert(host(*n));
        c.net.rule(Rule::all(&host(*n), STATE, Action::Drop));
        c.net.rule(Rule::all(&host(*n), CLOUD, Action::Drop));
    }
    for machine in c.cloud.machines() {
        for n in 0..NODES {
            if machines.contains(&machine) != inside.contains(&n) {
                c.net.rule(Rule::all(&machine, &address(n), Action::Drop));
                c.net.rule(Rule::all(&host(n), &format!("w:{machine}"), Action::Drop));
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_zone_of_five_controllers_is_cut_off_with_its_workers_and_comes_back() {
    for (leads, shard) in [(true, Some(2)), (false, Some(2)), (true, None)] {
        let c = five(shard).await;
        let leader = c.leader().unwrap();
        // Two of five: with the leader, or without it.
        let first = if leads { leader } else { (leader + 1) % NODES };
        let inside: BTreeSet<usize> = [first, (first + 1) % NODES].into();
        assert_eq!(inside.contains(&leader), leads);
        let there: Vec<String> = c.cloud.machines().into_iter().step_by(2).collect();
        cut(&c, &inside, &there);
        let outside = (first + 2) % NODES;
        c.cancel(outside, "run-1").await;
        keeps_rules(&c, CANCEL_DEADLINE.as_secs() + 5).await;
        assert!(c.net.matched(Action::Drop) > 20);
        assert!(!c.checker.on().keys().any(|t| t.starts_with("run-1/")));
        let led = c.leader().unwrap();
        assert!(!inside.contains(&led), "{led}");
        c.net.clear_rules();
        c.isolated.lock().unwrap().clear();
        keeps_rules(&c, 30).await;
        assert_eq!(c.checker.late_starts(), Vec::<String>::new());
        c.until("run-2 runs", || c.checker.on().len() == 2).await;
        c.assert_invariants_hold();
    }
}

#[tokio::test(start_paused = true)]
async fn the_controllers_of_two_zones_end_at_once() {
    for back in [0.2, 8.0, 40.0] {
        let c = five(Some(2)).await;
        let leader = c.leader().unwrap();
        let ended: Vec<usize> = (0..NODES).map(|k| (leader + k) % NODES).take(4).collect();
        ended.iter().for_each(|n| c.kill_node(*n));
        let left = (leader + 4) % NODES;
        pause(back).await;
        c.until("the one left leads, or one that is back", || c.leader().is_some() || back < 1.0).await;
        ended.iter().for_each(|n| c.start_node(*n));
        c.cancel(left, "run-1").await;
        keeps_rules(&c, CANCEL_DEADLINE.as_secs()).await;
        c.submit("run-3", "free", 2, 4.0, "urgent").await;
        c.until_stage("run-3", "done").await;
        assert!((0..2).all(|i| c.checker.starts(&format!("run-2/{i}")) == 1), "nothing was started again");
        c.assert_recovers(&["run-1", "run-2", "run-3"]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn connections_between_controllers_alone_are_refused() {
    let c = five(Some(2)).await;
    c.isolated.lock().unwrap().extend((0..NODES).map(host));
    let lost = c.checker.on()["run-1/0"].clone();
    c.cloud.take(&lost);
    c.submit("run-3", "free", 4, 4.0, "urgent").await;
    c.until_stage("run-3", "done").await;
    c.until("what was lost runs elsewhere", || c.checker.starts("run-1/0") == 2).await;
    c.cancel(1, "run-1").await;
    keeps_rules(&c, CANCEL_DEADLINE.as_secs()).await;
    assert_eq!(c.checker.on().len(), 2);
    c.isolated.lock().unwrap().clear();
    c.assert_recovers(&["run-1", "run-2", "run-3"]).await;
}

// Its tasks are wanted elsewhere before it goes on.
#[tokio::test(start_paused = true)]
async fn a_machine_that_hung_and_goes_on_runs_nothing_that_is_elsewhere() {
    for hang in [6.0, 14.0, 22.0, 35.0] {
        let c = five(Some(2)).await;
        let machine = c.checker.on()["run-1/0"].clone();
        c.cloud.worker(&machine).hang(Duration::from_secs_f64(hang));
        keeps_rules(&c, 40).await;
        let on = c.checker.on();
        assert_eq!(on.len(), 12, "{hang}");
        let again = c.checker.starts("run-1/0") == 2;
        assert_eq!(again, hang > 10.0, "{hang}: noticed in time, and no sooner");
        c.assert_invariants_hold();
    }
}
