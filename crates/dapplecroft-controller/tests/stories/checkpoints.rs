//! Tasks that save their progress are stopped: displaced, drained, on a machine
//! that the cloud takes back, lost with it, cancelled.

use crate::cluster::{Cluster, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Saves, WorkerTiming};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// What of each task is saved, outside of all machines.
type Saved = Arc<Mutex<BTreeMap<String, Duration>>>;

const INTERVAL: f64 = 20.0;
const SAVE_TIME: f64 = 2.0;

/// A cluster in which `run-1` saves, and how long jobs run there.
async fn cluster(machines: usize, save_time: f64, runs: &[(&str, f64)]) -> (Cluster, Saved) {
    let saved = Saved::default();
    let adjust = |timing: &mut WorkerTiming| {
        timing.saved = saved.clone();
        let saves =
            Saves { interval: Duration::from_secs_f64(INTERVAL), time: Duration::from_secs_f64(save_time) };
        timing.saves.insert("run-1".into(), saves);
        for (job, seconds) in runs {
            timing.runs.insert((*job).into(), Duration::from_secs_f64(*seconds));
        }
    };
    let cluster = Cluster::with_options(machines, adjust, Options::default()).await;
    (cluster, saved)
}

fn saving_job(save_time: f64, cpus: f64, rank: &str) -> Value {
    let mut body = job("run-1", "free", 1, cpus, rank);
    body["mark_s"] = json!(INTERVAL);
    body["stow_s"] = json!(save_time);
    body["reckon_s"] = json!(100.0);
    body
}

async fn begin(c: &Cluster, save_time: f64, cpus: f64, rank: &str) -> Instant {
    c.checker.job("run-1", "free", cpus);
    c.submit_body("run-1", &saving_job(save_time, cpus, rank)).await;
    c.until_running(1).await;
    Instant::now()
}

fn progress(saved: &Saved) -> f64 {
    saved.lock().unwrap().get("run-1/0").map_or(0.0, Duration::as_secs_f64)
}

fn runs(c: &Cluster, task: &str) -> bool {
    c.checker.on().contains_key(task)
}

// After a minute nothing could be displaced, however little it would have lost.
#[tokio::test(start_paused = true)]
async fn an_old_task_that_saves_gives_way_and_goes_on_where_it_was() {
    let (c, saved) = cluster(1, SAVE_TIME, &[("run-1", 120.0), ("run-2", 10.0)]).await;
    let began = begin(&c, SAVE_TIME, 16.0, "low").await;
    pause(72.0).await;
    let asked = Instant::now();
    c.submit("run-2", "free", 1, 16.0, "urgent").await;
    c.until("the urgent task runs", || runs(&c, "run-2/0")).await;
    assert!(asked.elapsed() < Duration::from_secs(6), "{:?}", asked.elapsed());
    assert!(progress(&saved) > 71.0, "{}", progress(&saved));
    c.until_stage("run-1", "done").await;
    // Its own time, that of the urgent task, the save, two images and commits.
    assert!(began.elapsed() < Duration::from_secs(140), "{:?}", began.elapsed());
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn what_has_just_been_saved_is_stopped_at_once() {
    let (c, saved) = cluster(1, SAVE_TIME, &[("run-1", 120.0), ("run-2", 10.0)]).await;
    begin(&c, SAVE_TIME, 16.0, "low").await;
    pause(60.5).await;
    let asked = Instant::now();
    c.submit("run-2", "free", 1, 16.0, "urgent").await;
    c.until("it stops", || !runs(&c, "run-1/0")).await;
    assert!(asked.elapsed() < Duration::from_secs_f64(SAVE_TIME), "{:?}", asked.elapsed());
    assert_eq!(progress(&saved).round(), 60.0);
    c.until_stage("run-1", "done").await;
    c.assert_invariants_hold();
}

// The room of a task that saves is taken until it has ended, and so is its team's.
#[tokio::test(start_paused = true)]
async fn nothing_starts_in_the_room_of_a_task_that_still_saves() {
    let save_time = 6.0;
    let (c, _) = cluster(1, save_time, &[("run-1", 120.0), ("run-2", 10.0)]).await;
    begin(&c, save_time, 16.0, "low").await;
    pause(72.0).await;
    let asked = Instant::now();
    c.submit("run-2", "free", 1, 16.0, "urgent").await;
    while asked.elapsed() < Duration::from_secs_f64(save_time) {
        assert!(runs(&c, "run-1/0") && !runs(&c, "run-2/0"), "{:?}", c.checker.on());
        pause(0.1).await;
    }
    c.until("the urgent task runs", || runs(&c, "run-2/0")).await;
    assert!(!runs(&c, "run-1/0"));
    c.assert_invariants_hold();
}

// What was left of a notice shrank while the task saved, until nothing was, and a
// second command ended the save.
#[tokio::test(start_paused = true)]
async fn a_second_command_never_ends_a_save_that_is_under_way() {
    let save_time = 4.9;
    let (c, saved) = cluster(2, save_time, &[("run-1", 120.0)]).await;
    begin(&c, save_time, 16.0, "normal").await;
    pause(30.0).await;
    let machine = c.checker.on()["run-1/0"].clone();
    c.cloud.worker(&machine).notice(5.0);
    c.until("it has ended", || !runs(&c, "run-1/0")).await;
    assert!(progress(&saved) > 29.0, "{}", progress(&saved));
    c.until_stage("run-1", "done").await;
    assert_eq!(c.checker.starts("run-1/0"), 2);
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_notice_too_short_to_save_in_costs_no_more_than_an_interval() {
    let (c, saved) = cluster(2, SAVE_TIME, &[("run-1", 100.0)]).await;
    let began = begin(&c, SAVE_TIME, 16.0, "normal").await;
    pause(50.0).await;
    let machine = c.checker.on()["run-1/0"].clone();
    let worker = c.cloud.worker(&machine);
    worker.notice(1.0);
    let noticed = Instant::now();
    c.until("it has ended", || !runs(&c, "run-1/0")).await;
    // It is stopped at once instead of being lost in the middle of a save.
    assert!(noticed.elapsed() < Duration::from_secs(1), "{:?}", noticed.elapsed());
    assert_eq!(progress(&saved).round(), 40.0);
    c.cloud.take(&machine);
    c.until_stage("run-1", "done").await;
    assert!(began.elapsed() < Duration::from_secs(150), "{:?}", began.elapsed());
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_task_lost_with_its_machine_goes_on_from_its_last_checkpoint() {
    let (c, saved) = cluster(2, SAVE_TIME, &[("run-1", 100.0)]).await;
    let began = begin(&c, SAVE_TIME, 16.0, "normal").await;
    pause(50.0).await;
    let machine = c.checker.on()["run-1/0"].clone();
    c.cloud.take(&machine);
    assert_eq!(progress(&saved).round(), 40.0);
    c.until_stage("run-1", "done").await;
    // Ten seconds are repeated; noticing the loss and a boot come on top.
    assert!(began.elapsed() < Duration::from_secs(160), "{:?}", began.elapsed());
    assert_eq!(c.checker.starts("run-1/0"), 2);
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_ends_a_save_that_is_under_way() {
    let save_time = 30.0;
    let (c, _) = cluster(1, save_time, &[("run-1", 120.0), ("run-2", 10.0)]).await;
    begin(&c, save_time, 16.0, "low").await;
    pause(35.0).await;
    // Its checkpoint is 15 s old: it has to save to keep that.
    c.submit("run-2", "free", 1, 16.0, "urgent").await;
    pause(3.0).await;
    c.cancel(0, "run-1").await;
    let asked = Instant::now();
    c.until("it has ended", || !runs(&c, "run-1/0")).await;
    assert!(asked.elapsed() < Duration::from_secs(5), "{:?}", asked.elapsed());
    c.until_stage("run-2", "done").await;
    c.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_drained_task_goes_on_where_it_was() {
    let saved = Saved::default();
    let adjust = |timing: &mut WorkerTiming| {
        timing.saved = saved.clone();
        let saves =
            Saves { interval: Duration::from_secs_f64(INTERVAL), time: Duration::from_secs_f64(SAVE_TIME) };
        timing.saves.insert("run-1".into(), saves);
        for (job, seconds) in [("run-1", 100), ("run-2", 8), ("run-3", 8), ("run-4", 5)] {
            timing.runs.insert(job.into(), Duration::from_secs(seconds));
        }
    };
    let options = Options { preempt: false, drain_interval: Duration::from_secs(20), ..Options::default() };
    let c = Cluster::with_options(2, adjust, options).await;
    // Two larger tasks bring both machines up, a small one that saves fills each;
    // then the larger ones end, and a task waits that needs a whole machine.
    c.submit("run-2", "free", 1, 12.0, "normal").await;
    c.submit("run-3", "free", 1, 12.0, "normal").await;
    c.until_running(2).await;
    c.checker.job("run-1", "free", 4.0);
    let mut body = saving_job(SAVE_TIME, 4.0, "normal");
    body["shares"] = json!(2);
    c.submit_body("run-1", &body).await;
    c.until_running(4).await;
    c.until_stage("run-2", "done").await;
    c.until_stage("run-3", "done").await;
    c.submit("run-4", "free", 1, 16.0, "normal").await;
    c.until_stage("run-4", "done").await;
    let moved: Vec<&str> =
        ["run-1/0", "run-1/1"].into_iter().filter(|task| c.checker.starts(task) > 1).collect();
    assert_eq!(moved.len(), 1, "one small task was moved, once");
    assert!(saved.lock().unwrap()[moved[0]] > Duration::from_secs(2));
    c.until_stage("run-1", "done").await;
    c.assert_invariants_hold();
}
