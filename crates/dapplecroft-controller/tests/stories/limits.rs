//! The state service lowers its limits to the announced future values at some moment, without
//! further notice.

use crate::cluster::{Cluster, STATE, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Limits, Rule, WorkerTiming};
use http::Method;
use serde_json::{Value, json};
use std::time::Duration;

const SMALL_LIMITS: Limits = Limits { value: 2048, changes: 4, rate: 18.0 };

/// The announced future limits of the state service (`facts.state.next` of the settings), the same
/// as [`SMALL_LIMITS`].
fn lower_limits() -> Value {
    json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0})
}

async fn start_cluster(machines: usize, run_times_s: &[(&str, u64)]) -> Cluster {
    let adjust = |timing: &mut WorkerTiming| {
        for (job, seconds) in run_times_s {
            timing.runs.insert(job.to_string(), Duration::from_secs(*seconds));
        }
    };
    Cluster::with_overrides(machines, adjust, Options::default(), lower_limits(), |_| {}).await
}

#[tokio::test(start_paused = true)]
async fn limits_lowered_during_a_burst_of_jobs_lose_and_duplicate_no_task() {
    for lower_after_s in [0.0, 2.0, 5.5, 7.0] {
        let cluster = start_cluster(30, &[]).await;
        cluster.until("the switch to the second layout", || cluster.is_switched()).await;
        let mut jobs = Vec::new();
        for k in 0..10 {
            let id = format!("run-1{k}");
            cluster.submit(&id, if k % 2 == 0 { "free" } else { "tight" }, 12, 2.0, "urgent").await;
            jobs.push(id);
        }
        pause(lower_after_s).await;
        cluster.state.limit(SMALL_LIMITS);
        for id in &jobs {
            cluster.until_stage(id, "done").await;
            assert!((0..12).all(|i| cluster.checker.starts(&format!("{id}/{i}")) == 1), "{id}");
        }
        // Since the switch to the second layout, nothing is written that exceeds the lower limits.
        let refused = cluster.state.refused();
        assert_eq!((refused.values, refused.transactions), (0, 0), "{refused:?}");
        let jobs: Vec<&str> = jobs.iter().map(String::as_str).collect();
        cluster.assert_recovers(&jobs).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_16_kib_value_is_migrated_to_segments_within_small_transactions() {
    const JOBS: usize = 180;
    let name = |k: usize| format!("run-1{k:038}");
    let adjust = |timing: &mut WorkerTiming| {
        for k in 0..JOBS {
            timing.runs.insert(name(k), Duration::from_secs(150));
        }
        timing.runs.insert("run-2".into(), Duration::from_millis(300));
    };
    let options = Options { shard_machines: Some(100), ..Options::default() };
    let mut limits = lower_limits();
    limits["now"] = json!({"value_kb": 16.0});
    let cluster = Cluster::with_overrides(60, adjust, options, limits, Cluster::simulate_first_version).await;
    // Many tasks that completed out of order, and many that run.
    cluster.submit("run-2", "free", 300, 4.0, "normal").await;
    for k in 0..JOBS {
        cluster.submit(&name(k), "free", 3, 1.5, "normal").await;
    }
    cluster
        .until("all tasks of the run-1 jobs run", || {
            cluster.checker.on().keys().filter(|t| t.starts_with("run-1")).count() == 3 * JOBS
        })
        .await;
    let before = cluster.state.value("dc/p/0").unwrap().to_string().len();
    for n in 0..3 {
        cluster.upgrade(n, 0.1).await;
    }
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    // The limits are lowered during the migration.
    pause(0.3).await;
    cluster.state.limit(SMALL_LIMITS);
    cluster.until("no record of the first layout is left", || cluster.state.keys("dc/p/").is_empty()).await;
    let segments = cluster.state.keys("dc/q/").len();
    assert!(before > 9 * 1024 && segments > 5, "{before} bytes in {segments} segments");
    for k in 0..JOBS {
        let id = name(k);
        cluster.until_stage(&id, "done").await;
        assert!((0..3).all(|i| cluster.checker.starts(&format!("{id}/{i}")) == 1), "{id}");
    }
    cluster.until_stage("run-2", "done").await;
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_job_of_100_000_tasks_with_the_longest_names_stays_within_the_value_limit() {
    let name = |letter: &str| letter.repeat(120);
    let id = format!("run-{}", "7".repeat(40));
    let cluster = start_cluster(40, &[(&id, 3)]).await;
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    pause(2.0).await;
    cluster.state.limit(SMALL_LIMITS);
    let mut body = job(&id, "free", 100_000, 0.4, "normal");
    body["lane"] = json!(name("l"));
    body["bundle"] = json!(name("b"));
    body["hulls"] = json!(["m", name("h"), name("i")]);
    body["yard"] = json!("z");
    assert_eq!(cluster.call(0, Method::POST, "/v2/runs", &body).await.0, 201);
    cluster
        .until("more than 3000 tasks are done", || {
            let n = cluster.leader().unwrap_or(0);
            cluster.node(n).with(|core| core.open_job(&id).is_some_and(|j| j.done.len() > 3000))
        })
        .await;
    cluster.cancel(0, &id).await;
    cluster
        .until("the cancelled job's record is compacted", || {
            cluster.state.value(&format!("dc/j/{id}")).is_some_and(|v| v.get("spec").is_none())
        })
        .await;
    let refused = cluster.state.refused();
    assert_eq!((refused.values, refused.transactions), (0, 0), "{refused:?}");
    assert!(cluster.checker.on().is_empty());
    // A job whose specification leaves no space in the value for the job's progress is rejected.
    body["id"] = json!("run-1");
    body["hulls"] = json!(vec![name("h"); 13]);
    body["hulls"][0] = json!("m");
    assert_eq!(cluster.call(0, Method::POST, "/v2/runs", &body).await.0, 400);
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn restarted_controllers_recover_600_machines_under_small_limits() {
    let cluster = start_cluster(600, &[("run-1", 150)]).await;
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    cluster.submit("run-1", "free", 1200, 8.0, "normal").await;
    cluster.until_running(1200).await;
    cluster.state.limit(SMALL_LIMITS);
    (0..3).for_each(|n| cluster.kill_node(n));
    pause(6.0).await;
    (0..3).for_each(|n| cluster.start_node(n));
    pause(10.0).await;
    let schedulable: usize = (0..3)
        .map(|n| {
            cluster
                .node(n)
                .with(|core| core.summary(tokio::time::Instant::now().into_std()).schedulable_machines)
        })
        .sum();
    assert!(schedulable >= 590, "only {schedulable} machines are schedulable after 10 s");
    cluster.until_stage("run-1", "done").await;
    let restarted_tasks = (0..1200).filter(|i| cluster.checker.starts(&format!("run-1/{i}")) > 1).count();
    assert_eq!(restarted_tasks, 0);
    cluster.assert_recovers(&["run-1"]).await;
}

#[tokio::test(start_paused = true)]
async fn limits_lowered_before_the_layout_switch_are_tolerated() {
    let adjust = |timing: &mut WorkerTiming| {
        timing.runs.insert("run-1".into(), Duration::from_secs(60));
    };
    let cluster = Cluster::before_upgrade(20, adjust, Options::default()).await;
    cluster.submit("run-1", "free", 160, 2.0, "normal").await;
    cluster.until_running(160).await;
    cluster.upgrade(0, 0.1).await;
    cluster.upgrade(1, 0.1).await;
    // The last controller is upgraded, but the switch is refused for a while: transactions of the
    // first layout meet the lower limits.
    cluster
        .net
        .rule(Rule::all("", STATE, Action::Refuse).path("/multi").body("\"set\":\"dc/format\"").times(15));
    cluster.upgrade(2, 0.1).await;
    cluster.state.limit(Limits { value: 700, ..SMALL_LIMITS });
    cluster.submit("run-2", "free", 4, 2.0, "normal").await;
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    cluster.state.limit(SMALL_LIMITS);
    cluster.until_stage("run-2", "done").await;
    cluster.until_stage("run-1", "done").await;
    assert!((0..160).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
    cluster.assert_recovers(&["run-1", "run-2"]).await;
}

/// Segments that have become small are merged, since fewer segments need fewer changes. Controllers
/// are restarted meanwhile.
#[tokio::test(start_paused = true)]
async fn small_segments_are_merged_without_losing_tasks() {
    for downtime_s in [0.0, 0.7, 2.0] {
        let jobs: Vec<String> = (0..60).map(|k| format!("run-1{k:036}")).collect();
        let adjust = |timing: &mut WorkerTiming| {
            for (k, id) in jobs.iter().enumerate() {
                timing.runs.insert(id.clone(), Duration::from_secs(if k % 10 == 0 { 200 } else { 25 }));
            }
        };
        let options = Options { shard_machines: Some(60), ..Options::default() };
        let cluster = Cluster::with_overrides(40, adjust, options, lower_limits(), |_| {}).await;
        cluster.until("the switch to the second layout", || cluster.is_switched()).await;
        cluster.state.limit(SMALL_LIMITS);
        for id in &jobs {
            cluster.submit(id, "free", 4, 2.0, "normal").await;
        }
        let has_placements = |key: &String| cluster.state.value(key).is_some_and(|v| v != json!({}));
        let segments = || cluster.state.keys("dc/q/").iter().filter(|key| has_placements(key)).count();
        let mut max_segments = 0;
        for step in 0..120 {
            max_segments = max_segments.max(segments());
            pause(0.5).await;
            if downtime_s > 0.0 && step % 20 == 10 {
                let n = step / 20 % 3;
                cluster.kill_node(n);
                pause(downtime_s).await;
                cluster.start_node(n);
            }
            cluster.assert_invariants_hold();
        }
        cluster.submit("run-3", "free", 30, 2.0, "normal").await;
        cluster.until_stage("run-3", "done").await;
        assert!(
            max_segments >= 3 && segments() * 2 <= max_segments,
            "{} segments are left of at most {max_segments}",
            segments()
        );
        for id in &jobs {
            cluster.until_stage(id, "done").await;
            assert!((0..4).all(|i| cluster.checker.starts(&format!("{id}/{i}")) == 1), "{id}");
        }
        let refused = cluster.state.refused();
        assert_eq!((refused.values, refused.transactions), (0, 0), "{refused:?}");
        cluster.assert_invariants_hold();
    }
}

/// A machine group's record that exceeds the lower value limit cannot be rewritten; its machines
/// move to smaller groups.
#[tokio::test(start_paused = true)]
async fn oversized_machine_group_records_are_split_without_losing_machines() {
    let adjust = |timing: &mut WorkerTiming| {
        timing.runs.insert("run-1".into(), Duration::from_secs(100));
    };
    let options = Options { shard_machines: Some(120), ..Options::default() };
    let cluster = Cluster::before_upgrade(100, adjust, options).await;
    cluster.submit("run-1", "free", 100, 16.0, "normal").await;
    cluster.until_running(100).await;
    // Replaces all machine group records by a single oversized one while no controller runs.
    let keys = cluster.state.keys("dc/m/");
    let mut merged_group = json!({"block": 0, "type": "m", "zone": "z", "spot": true, "machines": {}});
    for key in &keys {
        let record = cluster.state.value(key).unwrap();
        for (id, member) in record["machines"].as_object().unwrap() {
            merged_group["machines"][id] = member.clone();
        }
    }
    (0..3).for_each(|n| cluster.kill_node(n));
    let deletes: Vec<Value> = keys.iter().map(|k| json!({"drop": k})).collect();
    let mut changes = vec![json!({"set": "dc/m/dc-1-1", "data": merged_group})];
    changes.extend(deletes.into_iter().filter(|d| d["drop"] != "dc/m/dc-1-1"));
    let request = dapplecroft_net::Request {
        address: STATE.into(),
        method: Method::POST,
        path: "/multi".into(),
        body: json!({"when": [], "then": changes}).to_string().into_bytes().into(),
        timeout: Duration::from_secs(2),
        to_worker: false,
    };
    assert_eq!(cluster.net.port("setup").send(request).await.unwrap().status, 200);
    for n in 0..3 {
        cluster.net.remove_rules(&crate::cluster::host(n), crate::cluster::LAYOUT_MARK_PREFIX);
        cluster.start_node(n);
    }
    cluster.until("the switch to the second layout", || cluster.is_switched()).await;
    cluster.state.limit(SMALL_LIMITS);
    cluster
        .until("the oversized machine group record is deleted", || {
            cluster.state.value("dc/m/dc-1-1").is_none()
        })
        .await;
    assert_eq!(cluster.cloud.machines().len(), 100);
    let lost: Vec<String> = cluster.cloud.machines().into_iter().take(70).collect();
    lost.iter().for_each(|id| cluster.cloud.take(id));
    cluster.until_stage("run-1", "done").await;
    let restarted_tasks = (0..100).filter(|i| cluster.checker.starts(&format!("run-1/{i}")) > 1).count();
    assert_eq!(restarted_tasks, 70, "exactly the tasks of the lost machines must restart");
    cluster.assert_recovers(&["run-1"]).await;
}
