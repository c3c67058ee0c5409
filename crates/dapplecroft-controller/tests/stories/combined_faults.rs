//! Two faults at the same time, for example a lost message while the leader is replaced.

use crate::cluster::{CANCEL_DEADLINE, CLOUD, Cluster, STATE, address, host, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Limits, Rule, WorkerTiming};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Worker timing in which the tasks of these jobs run for 300 s.
fn long_runtimes(jobs: &'static [&'static str]) -> impl FnOnce(&mut WorkerTiming) {
    move |timing| {
        for job in jobs {
            timing.runs.insert(job.to_string(), Duration::from_secs(300));
        }
    }
}

// Guards against delayed start commands that become valid again. A controller that is alone loses its
// lease and leases its own shards again under the same epoch. The token counters of its workers
// restarted then, so that start commands from before passed for current ones.
#[tokio::test(start_paused = true)]
async fn starts_sent_before_a_lease_expired_are_rejected_when_the_same_process_leads_again() {
    let cluster = Cluster::with_options(1, long_runtimes(&["run-1", "run-2"]), Options::default()).await;
    let alone = cluster.leader().unwrap();
    (0..3).filter(|n| *n != alone).for_each(|n| cluster.kill_node(n));
    cluster.submit_at(alone, "run-1", "tight", 1, 4.0).await;
    cluster.until_running(1).await;
    pause(4.0).await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    let epoch = cluster.state.value("dc/b/0").unwrap()["epoch"].clone();
    // The machine's heartbeats arrive; answers and start commands do not reach it.
    cluster.net.rule(Rule::all("", &format!("w:{machine}"), Action::Hold).path("/do").body("start"));
    cluster.net.rule(Rule::all(&machine, "", Action::LoseAnswer));
    cluster.submit_at(alone, "run-2", "tight", 1, 4.0).await;
    cluster.until("some starts are held", || cluster.net.held() >= 3).await;
    cluster.state.bar(&host(alone), true);
    pause(5.0).await;
    cluster.state.bar(&host(alone), false);
    cluster.until("the lone controller leads again", || cluster.leader() == Some(alone)).await;
    assert_eq!(
        cluster.state.value("dc/b/0").unwrap()["epoch"],
        epoch,
        "the shard was leased under another epoch"
    );
    cluster.cancel(alone, "run-2").await;
    cluster
        .until("run-2 is proven to have ended", || {
            cluster.state.value("dc/j/run-2").is_some_and(|v| v.get("spec").is_none())
        })
        .await;
    let codes = cluster.net.deliver().await;
    assert!(codes.len() >= 3 && codes.iter().all(|code| *code == 409), "{codes:?}");
    pause(5.0).await;
    assert_eq!(cluster.checker.late_starts(), Vec::<String>::new());
    cluster.assert_invariants_hold();
}

// Guards against a job with a zone constraint (`same_place` or `apart`) that stays allocated to its
// shard after its only machine was lost, although another shard has an idle machine.
#[tokio::test(start_paused = true)]
async fn a_zone_constrained_job_that_lost_its_machine_moves_to_another_shard() {
    for constraint in ["same_place", "apart"] {
        let options = Options { shard_machines: Some(1), ..Options::default() };
        let cluster = Cluster::with_options(2, long_runtimes(&["run-1"]), options).await;
        let mut body = job("run-1", "free", 1, 16.0, "normal");
        body[constraint] = true.into();
        cluster.submit_body("run-1", &body).await;
        cluster.until_running(1).await;
        let machine = cluster.checker.on()["run-1/0"].clone();
        // A second machine comes up and is idle afterwards; the cloud has no third.
        cluster.submit("run-2", "free", 1, 16.0, "normal").await;
        cluster.until_stage("run-2", "done").await;
        cluster.cloud.shrink(1);
        cluster.cloud.take(&machine);
        cluster
            .until("the machine is proven gone", || {
                !cluster.state.keys("dc/m/").is_empty() && cluster.machine_records_naming(&machine) == 0
            })
            .await;
        pause(25.0).await;
        assert_eq!(cluster.checker.starts("run-1/0"), 2, "{constraint}");
        cluster.assert_invariants_hold();
    }
}

// The team's limit lets one task of the job run at a time. After the first task ended and its machine
// was lost, the job's record still bound the second task to that shard, which had no machine left.
#[tokio::test(start_paused = true)]
async fn a_zone_constrained_job_continues_in_another_shard_after_its_first_task_ended() {
    let options = Options { shard_machines: Some(1), ..Options::default() };
    let cluster = Cluster::with_options(2, |_| {}, options).await;
    let mut body = job("run-1", "tight", 2, 16.0, "normal");
    body["same_place"] = true.into();
    cluster.submit_body("run-1", &body).await;
    cluster.until_running(1).await;
    let machine = cluster.checker.on().into_values().next().unwrap();
    // A more urgent job of the same team starts before the second task of run-1.
    cluster.submit("run-2", "free", 1, 16.0, "normal").await;
    cluster.submit("run-3", "tight", 1, 16.0, "urgent").await;
    cluster.until("the first task has ended", || !cluster.checker.on().contains_key("run-1/0")).await;
    cluster.cloud.shrink(1);
    cluster.until("run-3 runs", || cluster.checker.starts("run-3/0") == 1).await;
    assert_eq!(cluster.checker.starts("run-1/0") + cluster.checker.starts("run-1/1"), 1);
    cluster.cloud.take(&machine);
    pause(70.0).await;
    assert_eq!(cluster.checker.starts("run-1/0") + cluster.checker.starts("run-1/1"), 2);
    cluster.until_stage("run-1", "done").await;
    cluster.assert_invariants_hold();
}

// For each kind of record, the state service carries out the write but its answer is lost, and the other
// controllers read the record meanwhile. The writer must neither undo nor repeat the write.
#[tokio::test(start_paused = true)]
async fn a_commit_whose_answer_is_lost_is_neither_undone_nor_repeated() {
    for kind in [
        "\"set\":\"dc/leader",
        "\"set\":\"dc/n/",
        "\"set\":\"dc/v/",
        "\"set\":\"dc/format",
        "\"set\":\"dc/b/",
        "\"set\":\"dc/m/",
        "\"set\":\"dc/c",
        "\"set\":\"dc/q/",
        "\"set\":\"dc/j/",
        "\"withdrawn\"",
        "\"drop\":\"dc/m/",
    ] {
        let lose = |cluster: &Cluster| {
            for n in 0..3 {
                cluster
                    .net
                    .rule(Rule::all(&host(n), STATE, Action::LoseAnswer).path("/multi").body(kind).times(3));
            }
        };
        let options = Options { idle_release_after: Some(Duration::from_secs(5)), ..Options::default() };
        let cluster =
            Cluster::with_overrides(4, long_runtimes(&["run-3"]), options, serde_json::Value::Null, lose)
                .await;
        cluster.submit("run-1", "tight", 4, 4.0, "normal").await;
        cluster.submit("run-2", "free", 3, 8.0, "urgent").await;
        cluster.submit("run-3", "free", 2, 4.0, "normal").await;
        cluster.until("run-3 runs", || cluster.checker.starts("run-3/1") > 0).await;
        cluster.cancel(1, "run-3").await;
        for id in ["run-1", "run-2"] {
            cluster.until_stage(id, "done").await;
        }
        cluster.until("machines are returned", || cluster.cloud.machines().is_empty()).await;
        cluster.until("no machine group record is left", || cluster.state.keys("dc/m/").is_empty()).await;
        assert!(cluster.net.matched(Action::LoseAnswer) > 0, "{kind} happened");
        for task in ["run-1/0", "run-1/3", "run-2/0", "run-2/2", "run-3/0"] {
            assert_eq!(cluster.checker.starts(task), 1, "{kind}: {task}");
        }
        let answers = cluster.job_status_everywhere("run-3").await;
        assert!(answers.iter().all(|(s, a)| *s == 200 && a["stage"] == "withdrawn"), "{kind}: {answers:?}");
        cluster.assert_invariants_hold();
    }
}

// Guards against exceeding a team's limit. The team's machines are unreachable or hang when its job is
// cancelled and the leader is killed; the next leader must count the tasks until they are proven gone.
#[tokio::test(start_paused = true)]
async fn cancelled_tasks_count_against_the_team_limit_until_proven_gone() {
    for (fault, step) in [("cut", 0.0), ("cut", 1.5), ("hang", 0.0), ("hang", 2.0), ("deaf", 0.5)] {
        let cluster = Cluster::with_options(4, long_runtimes(&["run-1", "run-2"]), Options::default()).await;
        cluster.submit("run-1", "tight", 2, 8.0, "normal").await;
        cluster.until_running(2).await;
        cluster.submit("run-2", "tight", 2, 8.0, "urgent").await;
        pause(4.0).await;
        let machines: Vec<String> = cluster.cloud.machines();
        cluster.net.rule(Rule::all("", CLOUD, Action::Refuse).path("/rentals/release"));
        for machine in &machines {
            match fault {
                "hang" => cluster.cloud.worker(machine).hang(Duration::from_secs(20)),
                "cut" => cluster.net.rule(Rule::all(machine, "", Action::Drop)),
                _ => cluster.net.rule(Rule::all(machine, "", Action::LoseAnswer)),
            }
            if fault != "hang" {
                cluster.net.rule(Rule::all("", &format!("w:{machine}"), Action::Drop));
            }
        }
        let old = cluster.leader().unwrap();
        cluster.cancel((old + 1) % 3, "run-1").await;
        pause(step).await;
        cluster.kill_node(old);
        pause(0.5).await;
        cluster.start_node(old);
        cluster.until("another leader", || cluster.leader().is_some()).await;
        pause(12.0).await;
        assert_eq!(cluster.checker.on().len(), 2, "{fault}: a task of run-1 ended too early");
        assert_eq!(
            cluster.checker.starts("run-2/0"),
            0,
            "{fault}: run-2 started before run-1 was proven gone"
        );
        pause(CANCEL_DEADLINE.as_secs_f64() - 13.0).await;
        assert!(!cluster.checker.on().keys().any(|t| t.starts_with("run-1/")), "{fault}");
        cluster.net.clear_rules();
        cluster.until("run-2 runs", || cluster.checker.starts("run-2/1") > 0).await;
        cluster.assert_invariants_hold();
    }
}

// Guards against cancellations that are lost when shards change holder: a controller is killed and
// restarted while jobs with tasks in its shards are cancelled through different controllers.
#[tokio::test(start_paused = true)]
async fn jobs_cancelled_while_shards_change_holder_are_gone_in_time() {
    for step in 0..10 {
        let options = Options { shard_machines: Some(1), ..Options::default() };
        let cluster =
            Cluster::with_options(6, long_runtimes(&["run-1", "run-2", "run-3", "run-4"]), options).await;
        for id in ["run-1", "run-2", "run-3", "run-4"] {
            cluster.submit(id, "free", 6, 3.0, "normal").await;
        }
        cluster.until_running(24).await;
        let before = cluster.shard_holders();
        let leader = cluster.leader().unwrap();
        let holder = before.values().map(|h| cluster.node_number(h)).find(|n| *n != leader).unwrap();
        // Kill a shard holder or the leader, and restart it after a varying time.
        let killed_node = if step % 2 == 0 { holder } else { leader };
        cluster.kill_node(killed_node);
        let running_node = (killed_node + 1) % 3;
        for (k, id) in ["run-1", "run-2", "run-3"].into_iter().enumerate() {
            pause(0.35 * f64::from(step) * k as f64).await;
            cluster.cancel((running_node + k % 2) % 3, id).await;
            if k == step as usize % 3 {
                cluster.start_node(killed_node);
            }
        }
        for _ in 0..CANCEL_DEADLINE.as_secs() + 1 {
            pause(1.0).await;
            assert_eq!(cluster.checker.broken(), Vec::<String>::new());
        }
        assert!(cluster.shard_holders() != before, "no shard changed its holder");
        assert_eq!(cluster.checker.on().len(), 6);
        cluster.assert_invariants_hold();
    }
}

// Machines boot and report before the rental request is answered or the machine's record is written,
// while writes are slow and the leader is killed.
#[tokio::test(start_paused = true)]
async fn machines_that_boot_before_the_rental_answer_are_neither_lost_nor_recorded_twice() {
    for step in 0..8 {
        let cluster = Cluster::with_options(6, |_| {}, Options::default()).await;
        cluster.cloud.boots_within(Duration::from_millis(300));
        (0..3).for_each(|n| cluster.state.slow(&host(n), Duration::from_millis(700)));
        let action = if step % 2 == 0 { Action::Hold } else { Action::LoseAnswer };
        cluster.net.rule(Rule::all("", STATE, action).path("/multi").body("\"set\":\"dc/m/").times(2));
        cluster.net.rule(Rule::all("", CLOUD, Action::LoseAnswer).path("/rentals").body("charter").times(1));
        cluster.submit("run-1", "free", 6, 16.0, "normal").await;
        cluster.until("machines are up", || cluster.cloud.machines().len() >= 4).await;
        pause(0.4 * f64::from(step)).await;
        let old = cluster.leader();
        if let Some(old) = old {
            cluster.kill_node(old);
            pause(0.3).await;
            cluster.start_node(old);
        }
        pause(3.0).await;
        cluster.net.deliver().await;
        cluster.until_stage("run-1", "done").await;
        assert!(cluster.net.matched(Action::LoseAnswer) > 0 && old.is_some());
        // Every machine that is rented is in exactly one group, and so in one shard.
        for machine in cluster.cloud.machines() {
            assert_eq!(cluster.machine_records_naming(&machine), 1, "{machine}");
        }
        assert!((0..6).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
        cluster.until("all are returned", || cluster.cloud.machines().is_empty()).await;
        cluster.assert_invariants_hold();
    }
}

// Old copies of heartbeats, with an earlier attempt, token and session, reach every controller when a
// new leader takes over, before the workers' first current heartbeats. No task may be taken for ended
// because of them.
#[tokio::test(start_paused = true)]
async fn old_heartbeats_replayed_to_all_controllers_at_a_leader_change_end_no_task() {
    let everywhere: Vec<String> = (0..3).map(address).collect();
    for step in 0..8 {
        let options = Options { shard_machines: Some(2), ..Options::default() };
        let cluster = Cluster::with_options(4, long_runtimes(&["run-1", "run-2"]), options).await;
        // Copies of heartbeats sent before the tasks were started.
        cluster.net.rule(Rule::all("", "", Action::Copy).path("/hello").times(60));
        cluster.submit("run-1", "tight", 4, 4.0, "normal").await;
        cluster.submit("run-2", "free", 4, 8.0, "normal").await;
        cluster.until("all run", || cluster.checker.on().len() >= 8).await;
        if step % 2 == 1 {
            // Restart a machine, so that some copies are from its earlier session.
            let machine = cluster.checker.on()["run-2/0"].clone();
            cluster.cloud.worker(&machine).blink();
            cluster.until("run-2/0 runs again", || cluster.checker.starts("run-2/0") == 2).await;
        }
        pause(7.0).await;
        let started: Vec<usize> = (0..4).map(|i| cluster.checker.starts(&format!("run-1/{i}"))).collect();
        let old = cluster.leader().unwrap();
        cluster.kill_node(old);
        cluster.cancel((old + 1) % 3, "run-2").await;
        if step < 4 {
            cluster.until("a leader", || cluster.leader().is_some_and(|n| n != old)).await;
        }
        pause(0.02 * f64::from(step)).await;
        let codes = cluster.net.deliver_to(&everywhere).await;
        assert!(codes.len() >= 30, "{}", codes.len());
        cluster.start_node(old);
        for _ in 0..CANCEL_DEADLINE.as_secs() + 1 {
            pause(1.0).await;
            assert_eq!(cluster.checker.broken(), Vec::<String>::new());
        }
        let again: Vec<usize> = (0..4).map(|i| cluster.checker.starts(&format!("run-1/{i}"))).collect();
        assert_eq!(started, again, "a task was taken for ended and started again");
        assert_eq!(cluster.checker.on().len(), 4);
        cluster.assert_invariants_hold();
    }
}

// Guards against a growing commit backlog. The state service allows few changes a second, so that each
// round commits few tasks; what users wait for must be committed first.
#[tokio::test(start_paused = true)]
async fn four_one_task_jobs_a_second_with_a_quarter_cancelled_build_no_backlog() {
    let cluster = Cluster::start(12).await;
    cluster.until("the switch", || cluster.is_switched()).await;
    cluster.state.limit(Limits { value: 8192, changes: 12, rate: 25.0 });
    let (mut slowest, mut largest_backlog) = (Duration::ZERO, 0);
    for k in 0..480 {
        let (id, at) = (format!("run-{k}"), k % 3);
        let began = Instant::now();
        cluster.checker.job(&id, "free", 2.0);
        while !matches!(cluster.submit_once(at, &id, &job(&id, "free", 1, 2.0, "normal")).await.0, 200 | 201)
        {
            pause(0.05).await;
        }
        slowest = slowest.max(began.elapsed());
        if k % 4 == 3 {
            // Cancel a job that was submitted up to some seconds ago and may have ended.
            let began = Instant::now();
            let id = format!("run-{}", k - (k / 4) % 20);
            while cluster.cancel_once((at + 1) % 3, &id).await.0 != 200 {
                pause(0.05).await;
            }
            slowest = slowest.max(began.elapsed());
        }
        if k == 240 {
            let leader = cluster.leader().unwrap();
            cluster.kill_node(leader);
            cluster.start_node(leader);
        }
        largest_backlog = (0..3)
            .map(|n| cluster.node(n).with(|core| core.commit_backlog()))
            .max()
            .max(Some(largest_backlog))
            .unwrap();
        pause(0.25 - began.elapsed().as_secs_f64().min(0.24)).await;
    }
    assert!(slowest < Duration::from_secs(3), "{slowest:?}");
    assert!(largest_backlog < 60, "{largest_backlog} changes were waiting to be committed");
    assert!(cluster.checker.late_starts().len() < 12, "{:?}", cluster.checker.late_starts());
    let all: Vec<String> = (0..480).map(|k| format!("run-{k}")).collect();
    cluster.until("all have ended", || cluster.checker.on().is_empty()).await;
    for id in &all {
        cluster
            .until("the job's record is final", || {
                cluster.state.value(&format!("dc/j/{id}")).is_some_and(|v| v.get("spec").is_none())
            })
            .await;
        assert!(cluster.checker.starts(&format!("{id}/0")) <= 1, "{id}");
    }
    cluster.assert_invariants_hold();
}

// The leader is killed ten times in two minutes, some of these while the state service is unavailable.
// No job may be lost or started late.
#[tokio::test(start_paused = true)]
async fn ten_leader_changes_in_two_minutes_lose_no_job() {
    let options = Options { shard_machines: Some(2), ..Options::default() };
    let runs = |timing: &mut WorkerTiming| {
        for (id, s) in [("run-1", 60), ("run-2", 170), ("run-3", 20), ("run-4", 5)] {
            timing.runs.insert(id.into(), Duration::from_secs(s));
        }
    };
    let cluster = Cluster::with_options(6, runs, options).await;
    cluster.submit("run-1", "free", 6, 4.0, "normal").await;
    cluster.submit("run-2", "tight", 2, 8.0, "normal").await;
    cluster.until_running(8).await;
    let mut leader_identities = BTreeSet::new();
    for k in 0..10_usize {
        let leader = cluster.leader().unwrap_or(k % 3);
        leader_identities.extend(cluster.state.value("dc/leader").map(|l| l["identity"].to_string()));
        if k == 4 {
            cluster.state.outage(true);
        }
        cluster.kill_node(leader);
        pause(0.2 + 0.6 * (k % 3) as f64).await;
        cluster.start_node(leader);
        if k == 8 {
            cluster.state.outage(false);
            cluster.submit("run-4", "free", 2, 4.0, "normal").await;
        }
        if k == 2 {
            cluster.submit("run-3", "tight", 2, 8.0, "urgent").await;
            cluster.cancel((leader + 1) % 3, "run-2").await;
        }
        pause(11.0 - 0.6 * (k % 3) as f64).await;
        assert_eq!(cluster.checker.broken(), Vec::<String>::new());
    }
    assert!(leader_identities.len() >= 6, "{leader_identities:?}");
    assert!(cluster.state.turned_away() > 0, "no request was refused in the outage");
    for id in ["run-1", "run-3", "run-4"] {
        cluster.until_stage(id, "done").await;
    }
    assert_eq!(cluster.checker.late_starts(), Vec::<String>::new());
    cluster.assert_recovers(&["run-1", "run-2", "run-3", "run-4"]).await;
}

// The two or three tasks of each job end far apart, and the leader is replaced in between. No task may
// be started twice, and every job must end.
#[tokio::test(start_paused = true)]
async fn jobs_whose_tasks_end_under_different_leaders_run_each_task_once() {
    for step in 0..6 {
        let options = Options { shard_machines: Some(1), ..Options::default() };
        let runs = |timing: &mut WorkerTiming| {
            timing.per_task = true;
            timing.runs.extend(["run-1", "run-2", "run-3"].map(|id| (id.into(), Duration::from_secs(10))));
        };
        let cluster = Cluster::with_options(6, runs, options).await;
        for id in ["run-1", "run-2", "run-3"] {
            cluster.submit(id, "free", 2 + step % 2, 12.0, "normal").await;
        }
        cluster.until("all run", || cluster.checker.on().len() >= 6).await;
        let mut leader_identities = BTreeSet::new();
        for _ in 0..3 {
            pause(7.0 + f64::from(step)).await;
            let leader = cluster.leader().unwrap();
            leader_identities.insert(cluster.state.value("dc/leader").unwrap()["identity"].to_string());
            cluster.kill_node(leader);
            pause(0.4).await;
            cluster.start_node(leader);
            cluster.until("a leader", || cluster.leader().is_some()).await;
        }
        assert_eq!(leader_identities.len(), 3);
        for id in ["run-1", "run-2", "run-3"] {
            cluster.until_stage(id, "done").await;
            assert!((0..2 + step % 2).all(|i| cluster.checker.starts(&format!("{id}/{i}")) == 1), "{id}");
        }
        cluster.assert_invariants_hold();
    }
}

// All controllers are down for longer than the workers' leases, so that the workers end their tasks. The
// tasks that were not cancelled must run again, once each.
#[tokio::test(start_paused = true)]
async fn tasks_restart_after_all_controllers_were_down_longer_than_a_lease() {
    let cluster = Cluster::with_options(4, long_runtimes(&["run-1", "run-2"]), Options::default()).await;
    cluster.submit("run-1", "tight", 2, 8.0, "normal").await;
    cluster.submit("run-2", "free", 4, 8.0, "normal").await;
    cluster.until_running(6).await;
    cluster.cancel(0, "run-2").await;
    (0..3).for_each(|n| cluster.kill_node(n));
    pause(32.0).await;
    assert!(cluster.checker.on().is_empty(), "tasks run although the workers' leases have expired");
    (0..3).for_each(|n| cluster.start_node(n));
    cluster.until("run-1 runs again", || cluster.checker.on().len() == 2).await;
    assert!((0..2).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 2));
    pause(CANCEL_DEADLINE.as_secs_f64()).await;
    assert_eq!(cluster.checker.on().len(), 2);
    cluster.assert_invariants_hold();
}

// A leader is cut off from the state service and the other controllers, while workers and users still
// reach it. Jobs are cancelled through other controllers; the old leader must stop their tasks in time.
#[tokio::test(start_paused = true)]
async fn a_leader_reached_only_by_workers_and_users_keeps_no_cancelled_task() {
    for (action, several) in [(Action::Drop, false), (Action::Refuse, false), (Action::Drop, true)] {
        let options = Options { shard_machines: several.then_some(2), ..Options::default() };
        let cluster = Cluster::with_options(4, long_runtimes(&["run-1", "run-2", "run-3"]), options).await;
        for id in ["run-1", "run-2", "run-3"] {
            cluster.submit(id, "free", 4, 4.0, "normal").await;
        }
        cluster.until_running(12).await;
        let old = cluster.leader().unwrap();
        cluster.isolated.lock().unwrap().insert(host(old));
        cluster.net.rule(Rule::all(&host(old), STATE, action));
        cluster.cancel((old + 1) % 3, "run-1").await;
        cluster.until("another leader", || cluster.leader().is_some_and(|n| n != old)).await;
        cluster.cancel((old + 2) % 3, "run-2").await;
        for _ in 0..60 {
            // The old leader gives users no outdated answer.
            let (status, answer) = cluster.job_status(old, "run-2").await;
            assert!(status == 503 || answer["stage"] == "withdrawn", "{answer}");
            pause(1.0).await;
            assert_eq!(cluster.checker.broken(), Vec::<String>::new());
        }
        assert_eq!(cluster.checker.on().len(), 4);
        cluster.net.clear_rules();
        cluster.isolated.lock().unwrap().clear();
        pause(20.0).await;
        assert_eq!(cluster.checker.late_starts(), Vec::<String>::new());
        cluster.assert_invariants_hold();
    }
}

// A worker's connections to all controllers are refused, while the controllers' commands still reach it.
// No task may run twice, and cancelled tasks must end in time.
#[tokio::test(start_paused = true)]
async fn machines_that_receive_commands_but_cannot_report_run_no_task_twice() {
    for mute_for in [10.0, 26.0, 70.0] {
        let cluster = Cluster::with_options(5, long_runtimes(&["run-1", "run-2"]), Options::default()).await;
        cluster.submit("run-1", "tight", 2, 8.0, "normal").await;
        cluster.submit("run-2", "free", 4, 8.0, "normal").await;
        cluster.until_running(6).await;
        let mute = cluster.checker.on()["run-2/0"].clone();
        for n in 0..3 {
            cluster.net.rule(Rule::all(&mute, &address(n), Action::NoConnection));
        }
        cluster.submit("run-3", "free", 1, 1.0, "urgent").await;
        pause(mute_for / 2.0).await;
        cluster.cancel(1, "run-2").await;
        pause(mute_for / 2.0).await;
        assert!(cluster.net.matched(Action::NoConnection) > 0);
        cluster.net.clear_rules();
        for _ in 0..CANCEL_DEADLINE.as_secs() {
            pause(1.0).await;
            assert_eq!(cluster.checker.broken(), Vec::<String>::new());
        }
        cluster.until_stage("run-3", "done").await;
        assert_eq!(cluster.checker.on().len(), 2);
        cluster.assert_invariants_hold();
    }
}
