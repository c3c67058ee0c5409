//! The state service takes less from some moment on, without notice.

use crate::cluster::{Cluster, STATE, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Limits, Rule, WorkerTiming};
use http::Method;
use serde_json::{Value, json};
use std::time::Duration;

const SMALL: Limits = Limits { value: 2048, changes: 4, rate: 18.0 };

fn next() -> Value {
    json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0})
}

async fn cluster(machines: usize, runs: &[(&str, u64)]) -> Cluster {
    let adjust = |t: &mut WorkerTiming| {
        for (job, seconds) in runs {
            t.runs.insert(job.to_string(), Duration::from_secs(*seconds));
        }
    };
    Cluster::with_overrides(machines, adjust, Options::default(), next(), |_| {}).await
}

#[tokio::test(start_paused = true)]
async fn limits_that_fall_under_a_burst_lose_and_double_nothing() {
    for at in [0.0, 2.0, 5.5, 7.0] {
        let c = cluster(30, &[]).await;
        c.until("the switch", || c.is_switched()).await;
        let mut jobs = Vec::new();
        for k in 0..10 {
            let id = format!("run-1{k}");
            c.submit(&id, if k % 2 == 0 { "free" } else { "tight" }, 12, 2.0, "urgent").await;
            jobs.push(id);
        }
        pause(at).await;
        c.state.limit(SMALL);
        for id in &jobs {
            c.until_stage(id, "done").await;
            assert!((0..12).all(|i| c.checker.starts(&format!("{id}/{i}")) == 1), "{id}");
        }
        // Nothing larger than they will be was written since the switch.
        let refused = c.state.refused();
        assert_eq!((refused.values, refused.transactions), (0, 0), "{refused:?}");
        let jobs: Vec<&str> = jobs.iter().map(String::as_str).collect();
        c.assert_recovers(&jobs).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_value_of_16_kib_moves_over_within_small_transactions() {
    const JOBS: usize = 180;
    let name = |k: usize| format!("run-1{k:038}");
    let adjust = |t: &mut WorkerTiming| {
        for k in 0..JOBS {
            t.runs.insert(name(k), Duration::from_secs(150));
        }
        t.runs.insert("run-2".into(), Duration::from_millis(300));
    };
    let options = Options { shard_machines: Some(100), ..Options::default() };
    let mut limits = next();
    limits["now"] = json!({"value_kb": 16.0});
    let c = Cluster::with_overrides(60, adjust, options, limits, Cluster::simulate_first_version).await;
    // Many tasks that were done out of order, and many that run.
    c.submit("run-2", "free", 300, 4.0, "normal").await;
    for k in 0..JOBS {
        c.submit(&name(k), "free", 3, 1.5, "normal").await;
    }
    c.until("they run", || c.checker.on().keys().filter(|t| t.starts_with("run-1")).count() == 3 * JOBS)
        .await;
    let before = c.state.value("dc/p/0").unwrap().to_string().len();
    for n in 0..3 {
        c.upgrade(n, 0.1).await;
    }
    c.until("the switch", || c.is_switched()).await;
    // They fall while it is being moved.
    pause(0.3).await;
    c.state.limit(SMALL);
    c.until("no record of the first layout is left", || c.state.keys("dc/p/").is_empty()).await;
    let segments = c.state.keys("dc/q/").len();
    assert!(before > 9 * 1024 && segments > 5, "{before} bytes in {segments} segments");
    for k in 0..JOBS {
        let id = name(k);
        c.until_stage(&id, "done").await;
        assert!((0..3).all(|i| c.checker.starts(&format!("{id}/{i}")) == 1), "{id}");
    }
    c.until_stage("run-2", "done").await;
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_job_of_100_000_tasks_with_the_longest_names_outgrows_no_value() {
    let name = |c: &str| c.repeat(120);
    let id = format!("run-{}", "7".repeat(40));
    let c = cluster(40, &[(&id, 3)]).await;
    c.until("the switch", || c.is_switched()).await;
    pause(2.0).await;
    c.state.limit(SMALL);
    let mut body = job(&id, "free", 100_000, 0.4, "normal");
    body["lane"] = json!(name("l"));
    body["bundle"] = json!(name("b"));
    body["hulls"] = json!(["m", name("h"), name("i")]);
    body["yard"] = json!("z");
    assert_eq!(c.call(0, Method::POST, "/v2/runs", &body).await.0, 201);
    c.until("a part of it is done", || {
        let n = c.leader().unwrap_or(0);
        c.node(n).with(|core| core.open_job(&id).is_some_and(|j| j.done.len() > 3000))
    })
    .await;
    c.cancel(0, &id).await;
    c.until("its record is final", || {
        c.state.value(&format!("dc/j/{id}")).is_some_and(|v| v.get("spec").is_none())
    })
    .await;
    let refused = c.state.refused();
    assert_eq!((refused.values, refused.transactions), (0, 0), "{refused:?}");
    assert!(c.checker.on().is_empty());
    // One that leaves no room for what is noted of it is not taken.
    body["id"] = json!("run-1");
    body["hulls"] = json!(vec![name("h"); 13]);
    body["hulls"][0] = json!("m");
    assert_eq!(c.call(0, Method::POST, "/v2/runs", &body).await.0, 400);
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_whole_fleet_is_recovered_under_small_limits() {
    let c = cluster(600, &[("run-1", 150)]).await;
    c.until("the switch", || c.is_switched()).await;
    c.submit("run-1", "free", 1200, 8.0, "normal").await;
    c.until_running(1200).await;
    c.state.limit(SMALL);
    (0..3).for_each(|n| c.kill_node(n));
    pause(6.0).await;
    (0..3).for_each(|n| c.start_node(n));
    pause(10.0).await;
    let open: usize = (0..3)
        .map(|n| {
            c.node(n).with(|core| core.summary(tokio::time::Instant::now().into_std()).schedulable_machines)
        })
        .sum();
    assert!(open >= 590, "{open} machines take work after 10 s");
    c.until_stage("run-1", "done").await;
    let again = (0..1200).filter(|i| c.checker.starts(&format!("run-1/{i}")) > 1).count();
    assert_eq!(again, 0);
    c.assert_recovers(&["run-1"]).await;
}

#[tokio::test(start_paused = true)]
async fn limits_that_fall_before_the_switch_is_known_everywhere_are_borne() {
    let adjust = |t: &mut WorkerTiming| {
        t.runs.insert("run-1".into(), Duration::from_secs(60));
    };
    let c = Cluster::before_upgrade(20, adjust, Options::default()).await;
    c.submit("run-1", "free", 160, 2.0, "normal").await;
    c.until_running(160).await;
    c.upgrade(0, 0.1).await;
    c.upgrade(1, 0.1).await;
    // The third is up, but the switch is not made yet; old transactions meet
    // the new limits.
    c.net.rule(Rule::all("", STATE, Action::Refuse).path("/multi").body("\"set\":\"dc/format\"").times(15));
    c.upgrade(2, 0.1).await;
    c.state.limit(Limits { value: 700, ..SMALL });
    c.submit("run-2", "free", 4, 2.0, "normal").await;
    c.until("the switch", || c.is_switched()).await;
    c.state.limit(SMALL);
    c.until_stage("run-2", "done").await;
    c.until_stage("run-1", "done").await;
    assert!((0..160).all(|i| c.checker.starts(&format!("run-1/{i}")) == 1));
    c.assert_recovers(&["run-1", "run-2"]).await;
}

/// The fewer segments, the fewer changes: those that have become light join.
#[tokio::test(start_paused = true)]
async fn parts_that_have_become_light_join_and_nothing_on_them_is_lost() {
    for gap in [0.0, 0.7, 2.0] {
        let jobs: Vec<String> = (0..60).map(|k| format!("run-1{k:036}")).collect();
        let adjust = |t: &mut WorkerTiming| {
            for (k, id) in jobs.iter().enumerate() {
                t.runs.insert(id.clone(), Duration::from_secs(if k % 10 == 0 { 200 } else { 25 }));
            }
        };
        let options = Options { shard_machines: Some(60), ..Options::default() };
        let c = Cluster::with_overrides(40, adjust, options, next(), |_| {}).await;
        c.until("the switch", || c.is_switched()).await;
        c.state.limit(SMALL);
        for id in &jobs {
            c.submit(id, "free", 4, 2.0, "normal").await;
        }
        let says = |key: &String| c.state.value(key).is_some_and(|v| v != json!({}));
        let segments = || c.state.keys("dc/q/").iter().filter(|key| says(key)).count();
        let mut most = 0;
        for step in 0..120 {
            most = most.max(segments());
            pause(0.5).await;
            if gap > 0.0 && step % 20 == 10 {
                let n = step / 20 % 3;
                c.kill_node(n);
                pause(gap).await;
                c.start_node(n);
            }
            c.assert_invariants_hold();
        }
        c.submit("run-3", "free", 30, 2.0, "normal").await;
        c.until_stage("run-3", "done").await;
        assert!(most >= 3 && segments() * 2 <= most, "{} of {most} segments", segments());
        for id in &jobs {
            c.until_stage(id, "done").await;
            assert!((0..4).all(|i| c.checker.starts(&format!("{id}/{i}")) == 1), "{id}");
        }
        let refused = c.state.refused();
        assert_eq!((refused.values, refused.transactions), (0, 0), "{refused:?}");
        c.assert_invariants_hold();
    }
}

/// Groups of machines that are too large to be written again.
#[tokio::test(start_paused = true)]
async fn outgrown_groups_of_machines_move_into_smaller_ones_and_none_is_lost() {
    let adjust = |t: &mut WorkerTiming| {
        t.runs.insert("run-1".into(), Duration::from_secs(100));
    };
    let options = Options { shard_machines: Some(120), ..Options::default() };
    let c = Cluster::before_upgrade(100, adjust, options).await;
    c.submit("run-1", "free", 100, 16.0, "normal").await;
    c.until_running(100).await;
    // Not known at first, all of them are taken in as one group.
    let keys = c.state.keys("dc/m/");
    let mut all = json!({"block": 0, "type": "m", "zone": "z", "spot": true, "machines": {}});
    for key in &keys {
        let record = c.state.value(key).unwrap();
        for (id, member) in record["machines"].as_object().unwrap() {
            all["machines"][id] = member.clone();
        }
    }
    (0..3).for_each(|n| c.kill_node(n));
    let drops: Vec<Value> = keys.iter().map(|k| json!({"drop": k})).collect();
    let mut then = vec![json!({"set": "dc/m/dc-1-1", "data": all})];
    then.extend(drops.into_iter().filter(|d| d["drop"] != "dc/m/dc-1-1"));
    let request = dapplecroft_net::Request {
        address: STATE.into(),
        method: Method::POST,
        path: "/multi".into(),
        body: json!({"when": [], "then": then}).to_string().into_bytes().into(),
        timeout: Duration::from_secs(2),
        to_worker: false,
    };
    assert_eq!(c.net.port("setup").send(request).await.unwrap().status, 200);
    for n in 0..3 {
        c.net.remove_rules(&crate::cluster::host(n), crate::cluster::LAYOUT_MARK_PREFIX);
        c.start_node(n);
    }
    c.until("the switch", || c.is_switched()).await;
    c.state.limit(SMALL);
    c.until("it is gone", || c.state.value("dc/m/dc-1-1").is_none()).await;
    assert_eq!(c.cloud.machines().len(), 100);
    let lost: Vec<String> = c.cloud.machines().into_iter().take(70).collect();
    lost.iter().for_each(|id| c.cloud.take(id));
    c.until_stage("run-1", "done").await;
    let again = (0..100).filter(|i| c.checker.starts(&format!("run-1/{i}")) > 1).count();
    assert_eq!(again, 70, "what was on the lost machines, and nothing else");
    c.assert_recovers(&["run-1"]).await;
}
