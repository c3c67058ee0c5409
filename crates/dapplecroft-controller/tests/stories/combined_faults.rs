//! Two troubles at a time.

use crate::cluster::{CANCEL_DEADLINE, CLOUD, Cluster, STATE, address, host, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Limits, Rule, WorkerTiming};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

fn long_runtimes(jobs: &'static [&'static str]) -> impl FnOnce(&mut WorkerTiming) {
    move |timing| {
        for job in jobs {
            timing.runs.insert(job.to_string(), Duration::from_secs(300));
        }
    }
}

// A controller that is alone takes up its own shards again after its lease has
// ended, under the epoch that they had. The counters of its workers' tokens began
// anew then, and starts from before were valid under them.
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
    // The machine's reports are heard; answers and starts do not reach it.
    cluster.net.rule(Rule::all("", &format!("w:{machine}"), Action::Hold).path("/do").body("start"));
    cluster.net.rule(Rule::all(&machine, "", Action::LoseAnswer));
    cluster.submit_at(alone, "run-2", "tight", 1, 4.0).await;
    cluster.until("some starts are held", || cluster.net.held() >= 3).await;
    cluster.state.bar(&host(alone), true);
    pause(5.0).await;
    cluster.state.bar(&host(alone), false);
    cluster.until("it leads again", || cluster.leader() == Some(alone)).await;
    assert_eq!(cluster.state.value("dc/b/0").unwrap()["epoch"], epoch, "the block was not leased anew");
    cluster.cancel(alone, "run-2").await;
    cluster
        .until("nothing of it is left, by proof", || {
            cluster.state.value("dc/j/run-2").is_some_and(|v| v.get("spec").is_none())
        })
        .await;
    let codes = cluster.net.deliver().await;
    assert!(codes.len() >= 3 && codes.iter().all(|code| *code == 409), "{codes:?}");
    pause(5.0).await;
    assert_eq!(cluster.checker.late_starts(), Vec::<String>::new());
    cluster.assert_invariants_hold();
}

// A job whose tasks have to be in one zone, or apart, stayed with the shard that
// it was allocated to although nothing of it ran any more and other machines idled.
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
        // Another machine comes up and idles; no third is to be had.
        cluster.submit("run-2", "free", 1, 16.0, "normal").await;
        cluster.until_stage("run-2", "done").await;
        cluster.cloud.shrink(1);
        cluster.cloud.take(&machine);
        cluster
            .until("it is proven gone", || {
                !cluster.state.keys("dc/m/").is_empty() && cluster.machine_records_naming(&machine) == 0
            })
            .await;
        pause(25.0).await;
        assert_eq!(cluster.checker.starts("run-1/0"), 2, "{constraint}");
        cluster.assert_invariants_hold();
    }
}

// Its team's limit lets one task run at a time. The first has ended, and what the
// record says of it bound the second to the shard, which has no machine any more.
#[tokio::test(start_paused = true)]
async fn a_zone_constrained_job_continues_in_another_shard_after_its_first_task_ended() {
    let options = Options { shard_machines: Some(1), ..Options::default() };
    let cluster = Cluster::with_options(2, |_| {}, options).await;
    let mut body = job("run-1", "tight", 2, 16.0, "normal");
    body["same_place"] = true.into();
    cluster.submit_body("run-1", &body).await;
    cluster.until_running(1).await;
    let machine = cluster.checker.on().into_values().next().unwrap();
    // Another of the team's jobs goes before its second task.
    cluster.submit("run-2", "free", 1, 16.0, "normal").await;
    cluster.submit("run-3", "tight", 1, 16.0, "urgent").await;
    cluster.until("the first has ended", || !cluster.checker.on().contains_key("run-1/0")).await;
    cluster.cloud.shrink(1);
    cluster.until("run-3 runs", || cluster.checker.starts("run-3/0") == 1).await;
    assert_eq!(cluster.checker.starts("run-1/0") + cluster.checker.starts("run-1/1"), 1);
    cluster.cloud.take(&machine);
    pause(70.0).await;
    assert_eq!(cluster.checker.starts("run-1/0") + cluster.checker.starts("run-1/1"), 2);
    cluster.until_stage("run-1", "done").await;
    cluster.assert_invariants_hold();
}

// Every kind of record: carried out at once, only the answer is lost, and the other
// nodes read it meanwhile. Whoever wrote it must neither undo nor repeat it.
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
        cluster.until("no record names one", || cluster.state.keys("dc/m/").is_empty()).await;
        assert!(cluster.net.matched(Action::LoseAnswer) > 0, "{kind} happened");
        for task in ["run-1/0", "run-1/3", "run-2/0", "run-2/2", "run-3/0"] {
            assert_eq!(cluster.checker.starts(task), 1, "{kind}: {task}");
        }
        let answers = cluster.job_status_everywhere("run-3").await;
        assert!(answers.iter().all(|(s, a)| *s == 200 && a["stage"] == "withdrawn"), "{kind}: {answers:?}");
        cluster.assert_invariants_hold();
    }
}

// The team's machines can't be reached, or hang, when its work is withdrawn and the
// leader ends: the next one counts what is not proven gone.
#[tokio::test(start_paused = true)]
async fn cancelled_tasks_count_against_the_team_limit_until_proven_gone() {
    for (trouble, step) in [("cut", 0.0), ("cut", 1.5), ("hang", 0.0), ("hang", 2.0), ("deaf", 0.5)] {
        let cluster = Cluster::with_options(4, long_runtimes(&["run-1", "run-2"]), Options::default()).await;
        cluster.submit("run-1", "tight", 2, 8.0, "normal").await;
        cluster.until_running(2).await;
        cluster.submit("run-2", "tight", 2, 8.0, "urgent").await;
        pause(4.0).await;
        let machines: Vec<String> = cluster.cloud.machines();
        cluster.net.rule(Rule::all("", CLOUD, Action::Refuse).path("/rentals/release"));
        for machine in &machines {
            match trouble {
                "hang" => cluster.cloud.worker(machine).hang(Duration::from_secs(20)),
                "cut" => cluster.net.rule(Rule::all(machine, "", Action::Drop)),
                _ => cluster.net.rule(Rule::all(machine, "", Action::LoseAnswer)),
            }
            if trouble != "hang" {
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
        assert_eq!(cluster.checker.on().len(), 2, "{trouble}: they are still there");
        assert_eq!(cluster.checker.starts("run-2/0"), 0, "{trouble}: not proven gone");
        pause(CANCEL_DEADLINE.as_secs_f64() - 13.0).await;
        assert!(!cluster.checker.on().keys().any(|t| t.starts_with("run-1/")), "{trouble}");
        cluster.net.clear_rules();
        cluster.until("run-2 runs", || cluster.checker.starts("run-2/1") > 0).await;
        cluster.assert_invariants_hold();
    }
}

// Shards change hands while jobs in them are cancelled by all nodes.
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
        // A holder, or the leader itself, ends; it is back soon or late.
        let gone = if step % 2 == 0 { holder } else { leader };
        cluster.kill_node(gone);
        let up = (gone + 1) % 3;
        for (k, id) in ["run-1", "run-2", "run-3"].into_iter().enumerate() {
            pause(0.35 * f64::from(step) * k as f64).await;
            cluster.cancel((up + k % 2) % 3, id).await;
            if k == step as usize % 3 {
                cluster.start_node(gone);
            }
        }
        for _ in 0..CANCEL_DEADLINE.as_secs() + 1 {
            pause(1.0).await;
            assert_eq!(cluster.checker.broken(), Vec::<String>::new());
        }
        assert!(cluster.shard_holders() != before, "blocks changed hands");
        assert_eq!(cluster.checker.on().len(), 6);
        cluster.assert_invariants_hold();
    }
}

// Machines are up at once and report before the rental's answer, or its record,
// while writes lag and the leader ends.
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
        // Every machine is in one group, hence one shard, or returned.
        for machine in cluster.cloud.machines() {
            assert_eq!(cluster.machine_records_naming(&machine), 1, "{machine}");
        }
        assert!((0..6).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 1));
        cluster.until("all are returned", || cluster.cloud.machines().is_empty()).await;
        cluster.assert_invariants_hold();
    }
}

// Copies of reports, kept from before, reach every controller at the moment at which
// a new leader begins; of an earlier attempt, token and session, and before the first
// true one.
#[tokio::test(start_paused = true)]
async fn old_heartbeats_replayed_to_all_controllers_at_a_leader_change_end_no_task() {
    let everywhere: Vec<String> = (0..3).map(address).collect();
    for step in 0..8 {
        let options = Options { shard_machines: Some(2), ..Options::default() };
        let cluster = Cluster::with_options(4, long_runtimes(&["run-1", "run-2"]), options).await;
        // These are from before the tasks are there.
        cluster.net.rule(Rule::all("", "", Action::Copy).path("/hello").times(60));
        cluster.submit("run-1", "tight", 4, 4.0, "normal").await;
        cluster.submit("run-2", "free", 4, 8.0, "normal").await;
        cluster.until("all run", || cluster.checker.on().len() >= 8).await;
        if step % 2 == 1 {
            // An earlier session of some.
            let machine = cluster.checker.on()["run-2/0"].clone();
            cluster.cloud.worker(&machine).blink();
            cluster.until("it runs again", || cluster.checker.starts("run-2/0") == 2).await;
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
        assert_eq!(started, again, "nothing was taken for ended");
        assert_eq!(cluster.checker.on().len(), 4);
        cluster.assert_invariants_hold();
    }
}

// Rounds of a few tasks against few changes a second: what users wait for goes
// first, and nothing gathers.
#[tokio::test(start_paused = true)]
async fn four_one_task_jobs_a_second_with_a_quarter_cancelled_build_no_backlog() {
    let cluster = Cluster::start(12).await;
    cluster.until("the switch", || cluster.is_switched()).await;
    cluster.state.limit(Limits { value: 8192, changes: 12, rate: 25.0 });
    let (mut slowest, mut most) = (Duration::ZERO, 0);
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
            // One that was handed in a few seconds ago, or has ended by now.
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
        most =
            (0..3).map(|n| cluster.node(n).with(|core| core.commit_backlog())).max().max(Some(most)).unwrap();
        pause(0.25 - began.elapsed().as_secs_f64().min(0.24)).await;
    }
    assert!(slowest < Duration::from_secs(3), "{slowest:?}");
    assert!(most < 60, "{most} gathered");
    assert!(cluster.checker.late_starts().len() < 12, "{:?}", cluster.checker.late_starts());
    let all: Vec<String> = (0..480).map(|k| format!("run-{k}")).collect();
    cluster.until("all have ended", || cluster.checker.on().is_empty()).await;
    for id in &all {
        cluster
            .until("it is final", || {
                cluster.state.value(&format!("dc/j/{id}")).is_some_and(|v| v.get("spec").is_none())
            })
            .await;
        assert!(cluster.checker.starts(&format!("{id}/0")) <= 1, "{id}");
    }
    cluster.assert_invariants_hold();
}

// Leaders change ten times in two minutes, four of them while the state service is out.
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
    assert!(cluster.state.turned_away() > 0, "four ended in the outage");
    for id in ["run-1", "run-3", "run-4"] {
        cluster.until_stage(id, "done").await;
    }
    assert_eq!(cluster.checker.late_starts(), Vec::<String>::new());
    cluster.assert_recovers(&["run-1", "run-2", "run-3", "run-4"]).await;
}

// Jobs of two or three tasks end far apart, with other leaders in between.
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

// All controllers are away for longer than the workers' leases.
#[tokio::test(start_paused = true)]
async fn tasks_restart_after_all_controllers_were_down_longer_than_a_lease() {
    let cluster = Cluster::with_options(4, long_runtimes(&["run-1", "run-2"]), Options::default()).await;
    cluster.submit("run-1", "tight", 2, 8.0, "normal").await;
    cluster.submit("run-2", "free", 4, 8.0, "normal").await;
    cluster.until_running(6).await;
    cluster.cancel(0, "run-2").await;
    (0..3).for_each(|n| cluster.kill_node(n));
    pause(32.0).await;
    assert!(cluster.checker.on().is_empty(), "their leases have ended");
    (0..3).for_each(|n| cluster.start_node(n));
    cluster.until("it runs again", || cluster.checker.on().len() == 2).await;
    assert!((0..2).all(|i| cluster.checker.starts(&format!("run-1/{i}")) == 2));
    pause(CANCEL_DEADLINE.as_secs_f64()).await;
    assert_eq!(cluster.checker.on().len(), 2);
    cluster.assert_invariants_hold();
}

// A leader is cut from the state service and the other controllers; workers and users
// still reach it. Jobs are cancelled through the new one.
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
            // Users who are at the old one hear nothing that is out of date.
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

// Connections from workers to all controllers are refused, while commands reach them.
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
