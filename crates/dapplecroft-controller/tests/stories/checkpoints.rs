//! Tasks with checkpoints are stopped: preempted, moved by a drain, on a machine that the cloud
//! reclaims, lost with their machine, or cancelled.

use crate::cluster::{Cluster, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Saves, WorkerTiming};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Progress of each task as of its last checkpoint, by task; it outlives the machines.
type SavedProgress = Arc<Mutex<BTreeMap<String, Duration>>>;

const CHECKPOINT_INTERVAL_S: f64 = 20.0;
const SAVE_TIME_S: f64 = 2.0;

/// Starts a cluster in which `run-1` writes checkpoints and jobs take the given run times. Also
/// returns the progress saved by the checkpoints.
async fn start_cluster(
    machines: usize,
    save_time_s: f64,
    run_times_s: &[(&str, f64)],
) -> (Cluster, SavedProgress) {
    let saved = SavedProgress::default();
    let adjust = |timing: &mut WorkerTiming| {
        timing.saved = saved.clone();
        let saves = Saves {
            interval: Duration::from_secs_f64(CHECKPOINT_INTERVAL_S),
            time: Duration::from_secs_f64(save_time_s),
        };
        timing.saves.insert("run-1".into(), saves);
        for (job, seconds) in run_times_s {
            timing.runs.insert((*job).into(), Duration::from_secs_f64(*seconds));
        }
    };
    let cluster = Cluster::with_options(machines, adjust, Options::default()).await;
    (cluster, saved)
}

fn checkpointing_job(save_time_s: f64, cpus: f64, rank: &str) -> Value {
    let mut body = job("run-1", "free", 1, cpus, rank);
    body["mark_s"] = json!(CHECKPOINT_INTERVAL_S);
    body["stow_s"] = json!(save_time_s);
    body["reckon_s"] = json!(100.0);
    body
}

async fn submit_and_await_start(cluster: &Cluster, save_time_s: f64, cpus: f64, rank: &str) -> Instant {
    cluster.checker.job("run-1", "free", cpus);
    cluster.submit_body("run-1", &checkpointing_job(save_time_s, cpus, rank)).await;
    cluster.until_running(1).await;
    Instant::now()
}

fn saved_progress_s(saved: &SavedProgress) -> f64 {
    saved.lock().unwrap().get("run-1/0").map_or(0.0, Duration::as_secs_f64)
}

fn is_running(cluster: &Cluster, task: &str) -> bool {
    cluster.checker.on().contains_key(task)
}

// Tasks older than a minute used to be exempt from preemption, even if a checkpoint kept almost all
// of their progress.
#[tokio::test(start_paused = true)]
async fn a_long_running_checkpointing_task_is_preempted_and_resumes() {
    let (cluster, saved) = start_cluster(1, SAVE_TIME_S, &[("run-1", 120.0), ("run-2", 10.0)]).await;
    let started_at = submit_and_await_start(&cluster, SAVE_TIME_S, 16.0, "low").await;
    pause(72.0).await;
    let requested_at = Instant::now();
    cluster.submit("run-2", "free", 1, 16.0, "urgent").await;
    cluster.until("the urgent task runs", || is_running(&cluster, "run-2/0")).await;
    assert!(requested_at.elapsed() < Duration::from_secs(6), "{:?}", requested_at.elapsed());
    assert!(saved_progress_s(&saved) > 71.0, "{}", saved_progress_s(&saved));
    cluster.until_stage("run-1", "done").await;
    // The run times of both tasks, the save, two image pulls, and commits.
    assert!(started_at.elapsed() < Duration::from_secs(140), "{:?}", started_at.elapsed());
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_task_with_a_fresh_checkpoint_is_preempted_without_another_save() {
    let (cluster, saved) = start_cluster(1, SAVE_TIME_S, &[("run-1", 120.0), ("run-2", 10.0)]).await;
    submit_and_await_start(&cluster, SAVE_TIME_S, 16.0, "low").await;
    pause(60.5).await;
    let requested_at = Instant::now();
    cluster.submit("run-2", "free", 1, 16.0, "urgent").await;
    cluster.until("run-1/0 has stopped", || !is_running(&cluster, "run-1/0")).await;
    assert!(requested_at.elapsed() < Duration::from_secs_f64(SAVE_TIME_S), "{:?}", requested_at.elapsed());
    assert_eq!(saved_progress_s(&saved).round(), 60.0);
    cluster.until_stage("run-1", "done").await;
    cluster.assert_invariants_hold();
}

// A preempted task that still saves uses its resources and its team's quota until it has exited.
#[tokio::test(start_paused = true)]
async fn no_task_starts_on_the_resources_of_a_task_that_is_still_saving() {
    let save_time_s = 6.0;
    let (cluster, _) = start_cluster(1, save_time_s, &[("run-1", 120.0), ("run-2", 10.0)]).await;
    submit_and_await_start(&cluster, save_time_s, 16.0, "low").await;
    pause(72.0).await;
    let requested_at = Instant::now();
    cluster.submit("run-2", "free", 1, 16.0, "urgent").await;
    while requested_at.elapsed() < Duration::from_secs_f64(save_time_s) {
        assert!(
            is_running(&cluster, "run-1/0") && !is_running(&cluster, "run-2/0"),
            "{:?}",
            cluster.checker.on()
        );
        pause(0.1).await;
    }
    cluster.until("the urgent task runs", || is_running(&cluster, "run-2/0")).await;
    assert!(!is_running(&cluster, "run-1/0"));
    cluster.assert_invariants_hold();
}

// The stop command is repeated while the task saves, each time with the remaining time of the spot
// notice. A repeated command without time left used to abort the save.
#[tokio::test(start_paused = true)]
async fn a_repeated_stop_command_does_not_abort_a_save_in_progress() {
    let save_time_s = 4.9;
    let (cluster, saved) = start_cluster(2, save_time_s, &[("run-1", 120.0)]).await;
    submit_and_await_start(&cluster, save_time_s, 16.0, "normal").await;
    pause(30.0).await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    cluster.cloud.worker(&machine).notice(5.0);
    cluster.until("run-1/0 has stopped", || !is_running(&cluster, "run-1/0")).await;
    assert!(saved_progress_s(&saved) > 29.0, "{}", saved_progress_s(&saved));
    cluster.until_stage("run-1", "done").await;
    assert_eq!(cluster.checker.starts("run-1/0"), 2);
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_reclaim_notice_too_short_for_a_save_loses_at_most_one_checkpoint_interval() {
    let (cluster, saved) = start_cluster(2, SAVE_TIME_S, &[("run-1", 100.0)]).await;
    let started_at = submit_and_await_start(&cluster, SAVE_TIME_S, 16.0, "normal").await;
    pause(50.0).await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    let worker = cluster.cloud.worker(&machine);
    worker.notice(1.0);
    let notice_given_at = Instant::now();
    cluster.until("run-1/0 has stopped", || !is_running(&cluster, "run-1/0")).await;
    // The task is stopped at once, since the machine would be lost during the save.
    assert!(notice_given_at.elapsed() < Duration::from_secs(1), "{:?}", notice_given_at.elapsed());
    assert_eq!(saved_progress_s(&saved).round(), 40.0);
    cluster.cloud.take(&machine);
    cluster.until_stage("run-1", "done").await;
    assert!(started_at.elapsed() < Duration::from_secs(150), "{:?}", started_at.elapsed());
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_task_lost_with_its_machine_resumes_from_its_last_checkpoint() {
    let (cluster, saved) = start_cluster(2, SAVE_TIME_S, &[("run-1", 100.0)]).await;
    let started_at = submit_and_await_start(&cluster, SAVE_TIME_S, 16.0, "normal").await;
    pause(50.0).await;
    let machine = cluster.checker.on()["run-1/0"].clone();
    cluster.cloud.take(&machine);
    assert_eq!(saved_progress_s(&saved).round(), 40.0);
    cluster.until_stage("run-1", "done").await;
    // 10 s of work are repeated, plus the time to detect the loss and to boot a machine.
    assert!(started_at.elapsed() < Duration::from_secs(160), "{:?}", started_at.elapsed());
    assert_eq!(cluster.checker.starts("run-1/0"), 2);
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_aborts_a_save_in_progress() {
    let save_time_s = 30.0;
    let (cluster, _) = start_cluster(1, save_time_s, &[("run-1", 120.0), ("run-2", 10.0)]).await;
    submit_and_await_start(&cluster, save_time_s, 16.0, "low").await;
    pause(35.0).await;
    // The last checkpoint is 15 s old, so run-1 saves before it is preempted.
    cluster.submit("run-2", "free", 1, 16.0, "urgent").await;
    pause(3.0).await;
    cluster.cancel(0, "run-1").await;
    let requested_at = Instant::now();
    cluster.until("run-1/0 has stopped", || !is_running(&cluster, "run-1/0")).await;
    assert!(requested_at.elapsed() < Duration::from_secs(5), "{:?}", requested_at.elapsed());
    cluster.until_stage("run-2", "done").await;
    cluster.assert_invariants_hold();
}

#[tokio::test(start_paused = true)]
async fn a_task_moved_by_a_drain_resumes_from_its_checkpoint() {
    let saved = SavedProgress::default();
    let adjust = |timing: &mut WorkerTiming| {
        timing.saved = saved.clone();
        let saves = Saves {
            interval: Duration::from_secs_f64(CHECKPOINT_INTERVAL_S),
            time: Duration::from_secs_f64(SAVE_TIME_S),
        };
        timing.saves.insert("run-1".into(), saves);
        for (job, seconds) in [("run-1", 100), ("run-2", 8), ("run-3", 8), ("run-4", 5)] {
            timing.runs.insert(job.into(), Duration::from_secs(seconds));
        }
    };
    let options = Options { preempt: false, drain_interval: Duration::from_secs(20), ..Options::default() };
    let cluster = Cluster::with_options(2, adjust, options).await;
    // Two large tasks make the leader rent two machines, and a small task with checkpoints fills
    // each of them. Then the large tasks complete, and a task arrives that needs a whole machine.
    cluster.submit("run-2", "free", 1, 12.0, "normal").await;
    cluster.submit("run-3", "free", 1, 12.0, "normal").await;
    cluster.until_running(2).await;
    cluster.checker.job("run-1", "free", 4.0);
    let mut body = checkpointing_job(SAVE_TIME_S, 4.0, "normal");
    body["shares"] = json!(2);
    cluster.submit_body("run-1", &body).await;
    cluster.until_running(4).await;
    cluster.until_stage("run-2", "done").await;
    cluster.until_stage("run-3", "done").await;
    cluster.submit("run-4", "free", 1, 16.0, "normal").await;
    cluster.until_stage("run-4", "done").await;
    let moved: Vec<&str> =
        ["run-1/0", "run-1/1"].into_iter().filter(|task| cluster.checker.starts(task) > 1).collect();
    assert_eq!(moved.len(), 1, "exactly one small task must be moved");
    assert!(saved.lock().unwrap()[moved[0]] > Duration::from_secs(2));
    cluster.until_stage("run-1", "done").await;
    cluster.assert_invariants_hold();
}
