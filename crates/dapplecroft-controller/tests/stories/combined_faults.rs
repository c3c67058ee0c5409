//! Two troubles at a time.

use crate::cluster::{CANCEL, CLOUD, Cluster, STATE, address, host, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Limits, Rule, WorkerTiming};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

fn long(jobs: &'static [&'static str]) -> impl FnOnce(&mut WorkerTiming) {
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
async fn starts_from_before_a_lease_ended_are_void_when_the_same_process_goes_on() {
    let c = Cluster::with(1, long(&["run-1", "run-2"]), Options::default()).await;
    let alone = c.leader().unwrap();
    (0..3).filter(|n| *n != alone).for_each(|n| c.kill_node(n));
    c.submit_at(alone, "run-1", "tight", 1, 4.0).await;
    c.until_running(1).await;
    pause(4.0).await;
    let machine = c.referee.on()["run-1/0"].clone();
    let epoch = c.state.value("dc/b/0").unwrap()["epoch"].clone();
    // The machine's reports are heard; answers and starts do not reach it.
    c.net.rule(Rule::all("", &format!("w:{machine}"), Action::Hold).path("/do").body("start"));
    c.net.rule(Rule::all(&machine, "", Action::LoseAnswer));
    c.submit_at(alone, "run-2", "tight", 1, 4.0).await;
    c.until("some starts are held", || c.net.held() >= 3).await;
    c.state.bar(&host(alone), true);
    pause(5.0).await;
    c.state.bar(&host(alone), false);
    c.until("it leads again", || c.leader() == Some(alone)).await;
    assert_eq!(c.state.value("dc/b/0").unwrap()["epoch"], epoch, "the block was not leased anew");
    c.withdraw(alone, "run-2").await;
    c.until("nothing of it is left, by proof", || {
        c.state.value("dc/j/run-2").is_some_and(|v| v.get("spec").is_none())
    })
    .await;
    let codes = c.net.deliver().await;
    assert!(codes.len() >= 3 && codes.iter().all(|code| *code == 409), "{codes:?}");
    pause(5.0).await;
    assert_eq!(c.referee.late_starts(), Vec::<String>::new());
    c.assert_rules_kept();
}

// A job whose tasks have to be in one zone, or apart, stayed with the shard that
// it was allocated to although nothing of it ran any more and other machines idled.
#[tokio::test(start_paused = true)]
async fn a_job_bound_to_zones_that_lost_its_machine_goes_where_there_is_room() {
    for constraint in ["same_place", "apart"] {
        let options = Options { shard_machines: Some(1), ..Options::default() };
        let c = Cluster::with(2, long(&["run-1"]), options).await;
        let mut body = job("run-1", "free", 1, 16.0, "normal");
        body[constraint] = true.into();
        c.hand_in("run-1", &body).await;
        c.until_running(1).await;
        let machine = c.referee.on()["run-1/0"].clone();
        // Another machine comes up and idles; no third is to be had.
        c.submit("run-2", "free", 1, 16.0, "normal").await;
        c.until_stage("run-2", "done").await;
        c.cloud.shrink(1);
        c.cloud.take(&machine);
        c.until("it is proven gone", || !c.state.keys("dc/m/").is_empty() && c.groups_with(&machine) == 0)
            .await;
        pause(25.0).await;
        assert_eq!(c.referee.starts("run-1/0"), 2, "{constraint}");
        c.assert_rules_kept();
    }
}

// Its team's limit lets one task run at a time. The first has ended, and what the
// record says of it bound the second to the shard, which has no machine any more.
#[tokio::test(start_paused = true)]
async fn a_job_bound_to_zones_goes_on_elsewhere_once_what_ran_has_ended() {
    let options = Options { shard_machines: Some(1), ..Options::default() };
    let c = Cluster::with(2, |_| {}, options).await;
    let mut body = job("run-1", "tight", 2, 16.0, "normal");
    body["same_place"] = true.into();
    c.hand_in("run-1", &body).await;
    c.until_running(1).await;
    let machine = c.referee.on().into_values().next().unwrap();
    // Another of the team's jobs goes before its second task.
    c.submit("run-2", "free", 1, 16.0, "normal").await;
    c.submit("run-3", "tight", 1, 16.0, "urgent").await;
    c.until("the first has ended", || !c.referee.on().contains_key("run-1/0")).await;
    c.cloud.shrink(1);
    c.until("run-3 runs", || c.referee.starts("run-3/0") == 1).await;
    assert_eq!(c.referee.starts("run-1/0") + c.referee.starts("run-1/1"), 1);
    c.cloud.take(&machine);
    pause(70.0).await;
    assert_eq!(c.referee.starts("run-1/0") + c.referee.starts("run-1/1"), 2);
    c.until_stage("run-1", "done").await;
    c.assert_rules_kept();
}

// Every kind of record: carried out at once, only the answer is lost, and the other
// nodes read it meanwhile. Whoever wrote it must neither undo nor repeat it.
#[tokio::test(start_paused = true)]
async fn what_was_carried_out_and_not_answered_is_taken_for_what_it_is() {
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
        let lose = |c: &Cluster| {
            for n in 0..3 {
                c.net.rule(Rule::all(&host(n), STATE, Action::LoseAnswer).path("/multi").body(kind).times(3));
            }
        };
        let options = Options { idle_release_after: Some(Duration::from_secs(5)), ..Options::default() };
        let c = Cluster::custom(4, long(&["run-3"]), options, serde_json::Value::Null, lose).await;
        c.submit("run-1", "tight", 4, 4.0, "normal").await;
        c.submit("run-2", "free", 3, 8.0, "urgent").await;
        c.submit("run-3", "free", 2, 4.0, "normal").await;
        c.until("run-3 runs", || c.referee.starts("run-3/1") > 0).await;
        c.withdraw(1, "run-3").await;
        for id in ["run-1", "run-2"] {
            c.until_stage(id, "done").await;
        }
        c.until("machines are returned", || c.cloud.machines().is_empty()).await;
        c.until("no record names one", || c.state.keys("dc/m/").is_empty()).await;
        assert!(c.net.matched(Action::LoseAnswer) > 0, "{kind} happened");
        for task in ["run-1/0", "run-1/3", "run-2/0", "run-2/2", "run-3/0"] {
            assert_eq!(c.referee.starts(task), 1, "{kind}: {task}");
        }
        let look = c.look("run-3").await;
        assert!(look.iter().all(|(s, a)| *s == 200 && a["stage"] == "withdrawn"), "{kind}: {look:?}");
        c.assert_rules_kept();
    }
}

// The team's machines can't be reached, or hang, when its work is withdrawn and the
// leader ends: the next one counts what is not proven gone.
#[tokio::test(start_paused = true)]
async fn a_team_at_its_limit_gets_nothing_for_what_is_withdrawn_and_not_proven_gone() {
    for (trouble, step) in [("cut", 0.0), ("cut", 1.5), ("hang", 0.0), ("hang", 2.0), ("deaf", 0.5)] {
        let c = Cluster::with(4, long(&["run-1", "run-2"]), Options::default()).await;
        c.submit("run-1", "tight", 2, 8.0, "normal").await;
        c.until_running(2).await;
        c.submit("run-2", "tight", 2, 8.0, "urgent").await;
        pause(4.0).await;
        let machines: Vec<String> = c.cloud.machines();
        c.net.rule(Rule::all("", CLOUD, Action::Refuse).path("/rentals/release"));
        for machine in &machines {
            match trouble {
                "hang" => c.cloud.worker(machine).hang(Duration::from_secs(20)),
                "cut" => c.net.rule(Rule::all(machine, "", Action::Drop)),
                _ => c.net.rule(Rule::all(machine, "", Action::LoseAnswer)),
            }
            if trouble != "hang" {
                c.net.rule(Rule::all("", &format!("w:{machine}"), Action::Drop));
            }
        }
        let old = c.leader().unwrap();
        c.withdraw((old + 1) % 3, "run-1").await;
        pause(step).await;
        c.kill_node(old);
        pause(0.5).await;
        c.start_node(old);
        c.until("another leader", || c.leader().is_some()).await;
        pause(12.0).await;
        assert_eq!(c.referee.on().len(), 2, "{trouble}: they are still there");
        assert_eq!(c.referee.starts("run-2/0"), 0, "{trouble}: not proven gone");
        pause(CANCEL.as_secs_f64() - 13.0).await;
        assert!(!c.referee.on().keys().any(|t| t.starts_with("run-1/")), "{trouble}");
        c.net.clear_rules();
        c.until("run-2 runs", || c.referee.starts("run-2/1") > 0).await;
        c.assert_rules_kept();
    }
}

// Shards change hands while jobs in them are cancelled by all nodes.
#[tokio::test(start_paused = true)]
async fn jobs_cancelled_while_a_controllers_work_changes_hands_are_gone_in_time() {
    for step in 0..10 {
        let options = Options { shard_machines: Some(1), ..Options::default() };
        let c = Cluster::with(6, long(&["run-1", "run-2", "run-3", "run-4"]), options).await;
        for id in ["run-1", "run-2", "run-3", "run-4"] {
            c.submit(id, "free", 6, 3.0, "normal").await;
        }
        c.until_running(24).await;
        let before = c.holders();
        let leader = c.leader().unwrap();
        let holder = before.values().map(|h| c.number(h)).find(|n| *n != leader).unwrap();
        // A holder, or the leader itself, ends; it is back soon or late.
        let gone = if step % 2 == 0 { holder } else { leader };
        c.kill_node(gone);
        let up = (gone + 1) % 3;
        for (k, id) in ["run-1", "run-2", "run-3"].into_iter().enumerate() {
            pause(0.35 * f64::from(step) * k as f64).await;
            c.withdraw((up + k % 2) % 3, id).await;
            if k == step as usize % 3 {
                c.start_node(gone);
            }
        }
        for _ in 0..CANCEL.as_secs() + 1 {
            pause(1.0).await;
            assert_eq!(c.referee.broken(), Vec::<String>::new());
        }
        assert!(c.holders() != before, "blocks changed hands");
        assert_eq!(c.referee.on().len(), 6);
        c.assert_rules_kept();
    }
}

// Machines are up at once and report before the rental's answer, or its record,
// while writes lag and the leader ends.
#[tokio::test(start_paused = true)]
async fn machines_that_are_up_at_once_are_neither_lost_nor_taken_in_twice() {
    for step in 0..8 {
        let c = Cluster::with(6, |_| {}, Options::default()).await;
        c.cloud.boots_within(Duration::from_millis(300));
        (0..3).for_each(|n| c.state.slow(&host(n), Duration::from_millis(700)));
        let action = if step % 2 == 0 { Action::Hold } else { Action::LoseAnswer };
        c.net.rule(Rule::all("", STATE, action).path("/multi").body("\"set\":\"dc/m/").times(2));
        c.net.rule(Rule::all("", CLOUD, Action::LoseAnswer).path("/rentals").body("charter").times(1));
        c.submit("run-1", "free", 6, 16.0, "normal").await;
        c.until("machines are up", || c.cloud.machines().len() >= 4).await;
        pause(0.4 * f64::from(step)).await;
        let old = c.leader();
        if let Some(old) = old {
            c.kill_node(old);
            pause(0.3).await;
            c.start_node(old);
        }
        pause(3.0).await;
        c.net.deliver().await;
        c.until_stage("run-1", "done").await;
        assert!(c.net.matched(Action::LoseAnswer) > 0 && old.is_some());
        // Every machine is in one group, hence one shard, or returned.
        for machine in c.cloud.machines() {
            assert_eq!(c.groups_with(&machine), 1, "{machine}");
        }
        assert!((0..6).all(|i| c.referee.starts(&format!("run-1/{i}")) == 1));
        c.until("all are returned", || c.cloud.machines().is_empty()).await;
        c.assert_rules_kept();
    }
}

// Copies of reports, kept from before, reach every controller at the moment at which
// a new leader begins; of an earlier attempt, token and session, and before the first
// true one.
#[tokio::test(start_paused = true)]
async fn old_reports_that_reach_every_controller_as_a_leader_begins_prove_nothing() {
    let everywhere: Vec<String> = (0..3).map(address).collect();
    for step in 0..8 {
        let options = Options { shard_machines: Some(2), ..Options::default() };
        let c = Cluster::with(4, long(&["run-1", "run-2"]), options).await;
        // These are from before the tasks are there.
        c.net.rule(Rule::all("", "", Action::Copy).path("/hello").times(60));
        c.submit("run-1", "tight", 4, 4.0, "normal").await;
        c.submit("run-2", "free", 4, 8.0, "normal").await;
        c.until("all run", || c.referee.on().len() >= 8).await;
        if step % 2 == 1 {
            // An earlier session of some.
            let machine = c.referee.on()["run-2/0"].clone();
            c.cloud.worker(&machine).blink();
            c.until("it runs again", || c.referee.starts("run-2/0") == 2).await;
        }
        pause(7.0).await;
        let started: Vec<usize> = (0..4).map(|i| c.referee.starts(&format!("run-1/{i}"))).collect();
        let old = c.leader().unwrap();
        c.kill_node(old);
        c.withdraw((old + 1) % 3, "run-2").await;
        if step < 4 {
            c.until("a leader", || c.leader().is_some_and(|n| n != old)).await;
        }
        pause(0.02 * f64::from(step)).await;
        let codes = c.net.deliver_to(&everywhere).await;
        assert!(codes.len() >= 30, "{}", codes.len());
        c.start_node(old);
        for _ in 0..CANCEL.as_secs() + 1 {
            pause(1.0).await;
            assert_eq!(c.referee.broken(), Vec::<String>::new());
        }
        let again: Vec<usize> = (0..4).map(|i| c.referee.starts(&format!("run-1/{i}"))).collect();
        assert_eq!(started, again, "nothing was taken for ended");
        assert_eq!(c.referee.on().len(), 4);
        c.assert_rules_kept();
    }
}

// Rounds of a few tasks against few changes a second: what users wait for goes
// first, and nothing gathers.
#[tokio::test(start_paused = true)]
async fn one_task_jobs_come_four_a_second_and_a_quarter_is_cancelled() {
    let c = Cluster::start(12).await;
    c.until("the switch", || c.is_switched()).await;
    c.state.limit(Limits { value: 8192, changes: 12, rate: 25.0 });
    let (mut slowest, mut most) = (Duration::ZERO, 0);
    for k in 0..480 {
        let (id, at) = (format!("run-{k}"), k % 3);
        let began = Instant::now();
        c.referee.job(&id, "free", 2.0);
        while !matches!(c.ask_submit(at, &id, &job(&id, "free", 1, 2.0, "normal")).await.0, 200 | 201) {
            pause(0.05).await;
        }
        slowest = slowest.max(began.elapsed());
        if k % 4 == 3 {
            // One that was handed in a few seconds ago, or has ended by now.
            let began = Instant::now();
            let id = format!("run-{}", k - (k / 4) % 20);
            while c.ask_withdraw((at + 1) % 3, &id).await.0 != 200 {
                pause(0.05).await;
            }
            slowest = slowest.max(began.elapsed());
        }
        if k == 240 {
            let leader = c.leader().unwrap();
            c.kill_node(leader);
            c.start_node(leader);
        }
        most = (0..3).map(|n| c.node(n).with(|core| core.commit_backlog())).max().max(Some(most)).unwrap();
        pause(0.25 - began.elapsed().as_secs_f64().min(0.24)).await;
    }
    assert!(slowest < Duration::from_secs(3), "{slowest:?}");
    assert!(most < 60, "{most} gathered");
    assert!(c.referee.late_starts().len() < 12, "{:?}", c.referee.late_starts());
    let all: Vec<String> = (0..480).map(|k| format!("run-{k}")).collect();
    c.until("all have ended", || c.referee.on().is_empty()).await;
    for id in &all {
        c.until("it is final", || {
            c.state.value(&format!("dc/j/{id}")).is_some_and(|v| v.get("spec").is_none())
        })
        .await;
        assert!(c.referee.starts(&format!("{id}/0")) <= 1, "{id}");
    }
    c.assert_rules_kept();
}

// Leaders change ten times in two minutes, four of them while the state service is out.
#[tokio::test(start_paused = true)]
async fn ten_leaders_in_two_minutes_lose_nothing() {
    let options = Options { shard_machines: Some(2), ..Options::default() };
    let runs = |t: &mut WorkerTiming| {
        for (id, s) in [("run-1", 60), ("run-2", 170), ("run-3", 20), ("run-4", 5)] {
            t.runs.insert(id.into(), Duration::from_secs(s));
        }
    };
    let c = Cluster::with(6, runs, options).await;
    c.submit("run-1", "free", 6, 4.0, "normal").await;
    c.submit("run-2", "tight", 2, 8.0, "normal").await;
    c.until_running(8).await;
    let mut led = BTreeSet::new();
    for k in 0..10_usize {
        let leader = c.leader().unwrap_or(k % 3);
        led.extend(c.state.value("dc/leader").map(|l| l["identity"].to_string()));
        if k == 4 {
            c.state.outage(true);
        }
        c.kill_node(leader);
        pause(0.2 + 0.6 * (k % 3) as f64).await;
        c.start_node(leader);
        if k == 8 {
            c.state.outage(false);
            c.submit("run-4", "free", 2, 4.0, "normal").await;
        }
        if k == 2 {
            c.submit("run-3", "tight", 2, 8.0, "urgent").await;
            c.withdraw((leader + 1) % 3, "run-2").await;
        }
        pause(11.0 - 0.6 * (k % 3) as f64).await;
        assert_eq!(c.referee.broken(), Vec::<String>::new());
    }
    assert!(led.len() >= 6, "{led:?}");
    assert!(c.state.turned_away() > 0, "four ended in the outage");
    for id in ["run-1", "run-3", "run-4"] {
        c.until_stage(id, "done").await;
    }
    assert_eq!(c.referee.late_starts(), Vec::<String>::new());
    c.assert_day_ends(&["run-1", "run-2", "run-3", "run-4"]).await;
}

// Jobs of two or three tasks end far apart, with other leaders in between.
#[tokio::test(start_paused = true)]
async fn jobs_whose_tasks_end_far_apart_across_leaders_are_done_once() {
    for step in 0..6 {
        let options = Options { shard_machines: Some(1), ..Options::default() };
        let runs = |t: &mut WorkerTiming| {
            t.per_task = true;
            t.runs.extend(["run-1", "run-2", "run-3"].map(|id| (id.into(), Duration::from_secs(10))));
        };
        let c = Cluster::with(6, runs, options).await;
        for id in ["run-1", "run-2", "run-3"] {
            c.submit(id, "free", 2 + step % 2, 12.0, "normal").await;
        }
        c.until("all run", || c.referee.on().len() >= 6).await;
        let mut led = BTreeSet::new();
        for _ in 0..3 {
            pause(7.0 + f64::from(step)).await;
            let leader = c.leader().unwrap();
            led.insert(c.state.value("dc/leader").unwrap()["identity"].to_string());
            c.kill_node(leader);
            pause(0.4).await;
            c.start_node(leader);
            c.until("a leader", || c.leader().is_some()).await;
        }
        assert_eq!(led.len(), 3);
        for id in ["run-1", "run-2", "run-3"] {
            c.until_stage(id, "done").await;
            assert!((0..2 + step % 2).all(|i| c.referee.starts(&format!("{id}/{i}")) == 1), "{id}");
        }
        c.assert_rules_kept();
    }
}

// All controllers are away for longer than the workers' leases.
#[tokio::test(start_paused = true)]
async fn all_controllers_are_away_for_longer_than_a_lease() {
    let c = Cluster::with(4, long(&["run-1", "run-2"]), Options::default()).await;
    c.submit("run-1", "tight", 2, 8.0, "normal").await;
    c.submit("run-2", "free", 4, 8.0, "normal").await;
    c.until_running(6).await;
    c.withdraw(0, "run-2").await;
    (0..3).for_each(|n| c.kill_node(n));
    pause(32.0).await;
    assert!(c.referee.on().is_empty(), "their leases have ended");
    (0..3).for_each(|n| c.start_node(n));
    c.until("it runs again", || c.referee.on().len() == 2).await;
    assert!((0..2).all(|i| c.referee.starts(&format!("run-1/{i}")) == 2));
    pause(CANCEL.as_secs_f64()).await;
    assert_eq!(c.referee.on().len(), 2);
    c.assert_rules_kept();
}

// A leader is cut from the state service and the other controllers; workers and users
// still reach it. Jobs are cancelled through the new one.
#[tokio::test(start_paused = true)]
async fn a_leader_that_only_workers_and_users_reach_keeps_no_cancelled_task() {
    for (action, several) in [(Action::Drop, false), (Action::Refuse, false), (Action::Drop, true)] {
        let options = Options { shard_machines: several.then_some(2), ..Options::default() };
        let c = Cluster::with(4, long(&["run-1", "run-2", "run-3"]), options).await;
        for id in ["run-1", "run-2", "run-3"] {
            c.submit(id, "free", 4, 4.0, "normal").await;
        }
        c.until_running(12).await;
        let old = c.leader().unwrap();
        c.apart.lock().unwrap().insert(host(old));
        c.net.rule(Rule::all(&host(old), STATE, action));
        c.withdraw((old + 1) % 3, "run-1").await;
        c.until("another leader", || c.leader().is_some_and(|n| n != old)).await;
        c.withdraw((old + 2) % 3, "run-2").await;
        for _ in 0..60 {
            // Users who are at the old one hear nothing that is out of date.
            let (status, answer) = c.show(old, "run-2").await;
            assert!(status == 503 || answer["stage"] == "withdrawn", "{answer}");
            pause(1.0).await;
            assert_eq!(c.referee.broken(), Vec::<String>::new());
        }
        assert_eq!(c.referee.on().len(), 4);
        c.net.clear_rules();
        c.apart.lock().unwrap().clear();
        pause(20.0).await;
        assert_eq!(c.referee.late_starts(), Vec::<String>::new());
        c.assert_rules_kept();
    }
}

// Connections from workers to all controllers are refused, while commands reach them.
#[tokio::test(start_paused = true)]
async fn machines_that_are_mute_and_take_commands_run_nothing_twice() {
    for mute_for in [10.0, 26.0, 70.0] {
        let c = Cluster::with(5, long(&["run-1", "run-2"]), Options::default()).await;
        c.submit("run-1", "tight", 2, 8.0, "normal").await;
        c.submit("run-2", "free", 4, 8.0, "normal").await;
        c.until_running(6).await;
        let mute = c.referee.on()["run-2/0"].clone();
        for n in 0..3 {
            c.net.rule(Rule::all(&mute, &address(n), Action::NoConnection));
        }
        c.submit("run-3", "free", 1, 1.0, "urgent").await;
        pause(mute_for / 2.0).await;
        c.withdraw(1, "run-2").await;
        pause(mute_for / 2.0).await;
        assert!(c.net.matched(Action::NoConnection) > 0);
        c.net.clear_rules();
        for _ in 0..CANCEL.as_secs() {
            pause(1.0).await;
            assert_eq!(c.referee.broken(), Vec::<String>::new());
        }
        c.until_stage("run-3", "done").await;
        assert_eq!(c.referee.on().len(), 2);
        c.assert_rules_kept();
    }
}
