//! Hand-over of jobs between cells while leaders are killed, messages are lost, delayed and
//! duplicated, and state services fail.

use crate::cells::{CELL_NAMES, ThreeCells, source_address};
use crate::cluster::{Cluster, host, job, pause};
use dapplecroft_controller::{ExchangeError, Options};
use dapplecroft_federation::FederationSettings;
use dapplecroft_federation::settings::RawFederationSettings;
use dapplecroft_wire::cells::{Cell, ExchangeRequest, Transfer, TransferKind};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;

/// Starts a full home cell and two idle cells, and submits run-2, which has no room at home: it is
/// handed over to one of the idle cells. Tasks of run-2 take `run_time_s` seconds.
async fn start_with_spilling_job(run_time_s: u64) -> ThreeCells {
    let cells = ThreeCells::start([2, 6, 6], &[("run-1", 150), ("run-2", run_time_s)]).await;
    cells.fill(0, "run-1", 2, 16.0).await;
    cells.submit(0, "run-2", 4, 16.0).await;
    cells
}

#[tokio::test(start_paused = true)]
async fn job_without_room_runs_in_another_cell_and_its_home_cell_reports_its_end() {
    let cells = start_with_spilling_job(10).await;
    cells.until("another cell takes run-2", || cells.host_cell(0, "run-2").is_some()).await;
    let host_cell = cells.host_cell(0, "run-2").unwrap();
    cells
        .until("all tasks of run-2 run in the host cell", || {
            cells.clusters[host_cell].checker.on().len() == 4
        })
        .await;
    pause(2.0).await;
    let (status, answer) = cells.clusters[0].job_status(cells.clusters[0].leader().unwrap(), "run-2").await;
    assert_eq!((status, answer["stage"].as_str()), (200, Some("running")));
    // Only the home cell answers queries about the job.
    let (status, _) = cells.clusters[host_cell].job_status(0, "run-2").await;
    assert_eq!(status, 503);
    cells.clusters[0].until_stage("run-2", "done").await;
    assert!((0..4).all(|i| cells.start_count(&format!("run-2/{i}")) == 1));
    // The host cell deletes its record of the job once the home cell has recorded the end.
    cells
        .until("the host cell deletes its record of run-2", || {
            cells.recorded_stage(host_cell, "run-2").is_none()
        })
        .await;
    cells.assert_rules_kept();
}

/// Cells whose leaders a test kills.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeadersOf {
    HomeCell,
    HostCells,
    AllCells,
}

impl LeadersOf {
    fn cells(self) -> &'static [usize] {
        match self {
            LeadersOf::HomeCell => &[0],
            LeadersOf::HostCells => &[1, 2],
            LeadersOf::AllCells => &[0, 1, 2],
        }
    }
}

/// Times of the injected fault, in seconds after the submission. The job may first be offered after
/// 4 s and a hand-over takes about a second, so that the faults hit each of its steps.
fn fault_times_s() -> impl Iterator<Item = f64> {
    (0..26).map(|step| 4.0 + f64::from(step) * 0.11)
}

/// Waits for the end of all jobs and checks that every task of run-2 was started exactly once, in
/// all cells.
async fn assert_tasks_run_once(cells: &ThreeCells, what: &str) {
    cells.until_all_jobs_ended().await;
    cells.assert_rules_kept();
    let not_once = (0..4).filter(|i| cells.start_count(&format!("run-2/{i}")) != 1).count();
    assert_eq!(not_once, 0, "{what}: tasks that did not run exactly once");
}

/// Kills the leaders of the given cells at each of the fault times and restarts them 3 s later.
async fn kill_leaders_during_hand_over(leaders: LeadersOf) {
    for fault_time_s in fault_times_s() {
        let cells = start_with_spilling_job(10).await;
        pause(fault_time_s).await;
        let killed: Vec<_> = leaders.cells().iter().map(|cell| (*cell, cells.kill_leader(*cell))).collect();
        pause(3.0).await;
        for (cell, node) in killed {
            cells.clusters[cell].start_node(node);
        }
        assert_tasks_run_once(&cells, &format!("{leaders:?} at {fault_time_s}")).await;
    }
}

// The home cell's leader is killed while one of its requests is open in the host cell. Guards also
// against a leak: if the host cell never stops counting such requests as open, it refuses all
// others as overloaded.
#[tokio::test(start_paused = true)]
async fn home_cell_leader_killed_during_hand_over_loses_and_repeats_no_task() {
    kill_leaders_during_hand_over(LeadersOf::HomeCell).await;
}

#[tokio::test(start_paused = true)]
async fn host_cell_leaders_killed_during_hand_over_lose_and_repeat_no_task() {
    kill_leaders_during_hand_over(LeadersOf::HostCells).await;
}

#[tokio::test(start_paused = true)]
async fn all_leaders_killed_during_hand_over_lose_and_repeat_no_task() {
    kill_leaders_during_hand_over(LeadersOf::AllCells).await;
}

#[tokio::test(start_paused = true)]
async fn host_cell_without_controllers_keeps_its_job() {
    // Outages shorter and longer than every lease; workers stop their tasks 27 s after the last
    // heartbeat reply.
    for (fault_time_s, outage_s) in [(4.3, 3.0), (4.9, 3.0), (7.0, 15.0), (7.0, 60.0), (4.6, 60.0)] {
        let cells = start_with_spilling_job(40).await;
        pause(fault_time_s).await;
        [1, 2].into_iter().for_each(|cell| cells.kill_controllers(cell));
        pause(outage_s).await;
        [1, 2].into_iter().for_each(|cell| cells.start_missing_controllers(cell));
        cells.until_all_jobs_ended().await;
        cells.assert_rules_kept();
    }
}

// The home cell's state service fails during the hand-over. The home cell can't record the result
// of its offer, but must not run the job itself, as the other cell may have taken it.
#[tokio::test(start_paused = true)]
async fn home_cell_does_not_reclaim_an_offered_job_after_a_state_service_outage() {
    for fault_time_s in fault_times_s().step_by(2) {
        let cells = start_with_spilling_job(10).await;
        pause(fault_time_s).await;
        cells.clusters[0].state.outage(true);
        pause(40.0).await;
        cells.clusters[0].state.outage(false);
        assert_tasks_run_once(&cells, &format!("at {fault_time_s}")).await;
    }
}

// The other cells commit what a request asks for, but the replies are lost. The retries must not
// start tasks again.
#[tokio::test(start_paused = true)]
async fn requests_whose_replies_are_lost_are_retried() {
    for count in 1..6 {
        let cells = ThreeCells::start([2, 6, 6], &[("run-1", 150)]).await;
        [1, 2].into_iter().for_each(|cell| cells.links.lose_answers(0, cell, count));
        cells.fill(0, "run-1", 2, 16.0).await;
        cells.submit(0, "run-2", 4, 16.0).await;
        assert_tasks_run_once(&cells, &format!("{count} lost")).await;
    }
}

// Every request arrives twice, and again minutes after the job has ended, in reverse order. A late
// offer must not be taken for a new job.
#[tokio::test(start_paused = true)]
async fn duplicated_and_delayed_requests_start_no_task_again() {
    let cells = ThreeCells::start([2, 6, 6], &[("run-1", 150)]).await;
    cells.links.duplicate_requests();
    cells.fill(0, "run-1", 2, 16.0).await;
    cells.submit(0, "run-2", 4, 16.0).await;
    cells.clusters[0].until_stage("run-2", "done").await;
    let host_cell = cells.host_cell(0, "run-2");
    if let Some(host_cell) = host_cell {
        cells
            .until("the host cell deletes its record of run-2", || {
                cells.recorded_stage(host_cell, "run-2").is_none()
            })
            .await;
    }
    pause(200.0).await;
    assert!(cells.links.redeliver_recorded().await > 10);
    pause(60.0).await;
    assert_tasks_run_once(&cells, "offers delivered late").await;
    assert!(
        [1, 2].iter().all(|cell| cells.recorded_stage(*cell, "run-2").is_none()),
        "a cell accepted an offer delivered late"
    );
}

#[tokio::test(start_paused = true)]
async fn cells_partitioned_in_one_or_both_directions_keep_their_jobs() {
    for (requests_cut, replies_cut) in [(true, false), (false, true), (true, true)] {
        for fault_time_s in fault_times_s().step_by(3) {
            let cells = start_with_spilling_job(10).await;
            pause(fault_time_s).await;
            for cell in [1, 2] {
                if requests_cut {
                    cells.links.cut(0, cell);
                }
                if replies_cut {
                    cells.links.cut(cell, 0);
                }
            }
            pause(90.0).await;
            // The home cell doesn't run a job that another cell may have taken, however long the
            // partition lasts.
            cells.assert_rules_kept();
            cells.links.heal();
            assert_tasks_run_once(&cells, &format!("cut {requests_cut} {replies_cut} at {fault_time_s}"))
                .await;
        }
    }
}

// The home cell's leader is cut off from its state service, but still reaches the other cells. It
// continues to poll for the jobs that it believes handed over, while its successor may already
// offer them to another cell.
#[tokio::test(start_paused = true)]
async fn deposed_leader_that_reaches_other_cells_changes_nothing() {
    for fault_time_s in fault_times_s().step_by(3) {
        let cells = start_with_spilling_job(10).await;
        pause(fault_time_s).await;
        let old = cells.clusters[0].leader().unwrap();
        cells.clusters[0].state.bar(&host(old), true);
        pause(30.0).await;
        cells.clusters[0].state.bar(&host(old), false);
        assert_tasks_run_once(&cells, &format!("at {fault_time_s}")).await;
    }
}

#[tokio::test(start_paused = true)]
async fn cancellation_during_hand_over_is_final_and_stops_tasks_in_time() {
    for fault_time_s in fault_times_s().chain([8.0, 12.0, 16.0, 18.5]) {
        let cells = start_with_spilling_job(10).await;
        pause(fault_time_s).await;
        let stage = cells.cancel(0, "run-2").await;
        // All links of the home cell are cut right after the cancellation was confirmed.
        for cell in [1, 2] {
            cells.links.cut(0, cell);
            cells.links.cut(cell, 0);
        }
        pause(60.0).await;
        cells.assert_rules_kept();
        let running = cells.clusters.iter().flat_map(|cell| cell.checker.on().into_keys());
        let left = running.filter(|task| task.starts_with("run-2/")).count();
        assert_eq!(left, 0, "tasks still running; cancelled at {fault_time_s}");
        for n in 0..3 {
            let (status, answer) = cells.clusters[0].job_status(n, "run-2").await;
            assert_eq!((status, answer["stage"].as_str()), (200, Some(stage.as_str())));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn cancellation_is_not_confirmed_while_the_host_cell_is_unreachable() {
    let cells = start_with_spilling_job(200).await;
    cells.until("another cell takes run-2", || cells.host_cell(0, "run-2").is_some()).await;
    let host_cell = cells.host_cell(0, "run-2").unwrap();
    cells
        .until("all tasks of run-2 run in the host cell", || {
            cells.clusters[host_cell].checker.on().len() == 4
        })
        .await;
    cells.links.cut(0, host_cell);
    for _ in 0..5 {
        let (status, _) = cells.clusters[0].cancel_once(0, "run-2").await;
        assert_eq!(status, 503);
    }
    cells.links.heal();
    assert_eq!(cells.cancel(0, "run-2").await, "withdrawn");
    pause(50.0).await;
    cells.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn job_that_cannot_start_in_the_host_cell_is_returned_and_runs_elsewhere() {
    // The host cell expects to rent machines for the job, but the cloud has none left.
    let cells = ThreeCells::start([2, 0, 0], &[("run-1", 150)]).await;
    cells.fill(0, "run-1", 2, 16.0).await;
    cells.submit(0, "run-2", 4, 16.0).await;
    cells.until("another cell takes run-2", || cells.host_cell(0, "run-2").is_some()).await;
    let first_host = cells.host_cell(0, "run-2").unwrap();
    cells.until("the host cell returns run-2", || cells.recorded_stage(first_host, "run-2").is_none()).await;
    cells
        .until("run-2 is at home or in another host cell", || {
            cells.recorded_stage(0, "run-2").as_deref() == Some("open")
                || cells.host_cell(0, "run-2").is_some_and(|cell| cell != first_host)
        })
        .await;
    cells.clusters[3 - first_host].cloud.shrink(6);
    assert_tasks_run_once(&cells, "returned").await;
}

#[tokio::test(start_paused = true)]
async fn cells_that_refuse_jobs_of_other_cells_run_none() {
    let refuse_other_cells = |cell: usize, raw: &mut RawFederationSettings| {
        if cell > 0 {
            raw.visitors_share = Some(0.0);
        }
    };
    let cells = ThreeCells::start_adjusted([2, 6, 6], &[("run-1", 60)], &refuse_other_cells).await;
    cells.fill(0, "run-1", 2, 16.0).await;
    cells.submit(0, "run-2", 4, 16.0).await;
    cells.until_all_jobs_ended().await;
    assert!(cells.clusters[0].checker.starts("run-2/0") == 1, "run-2 did not run in its home cell");
    assert!([1, 2].iter().all(|cell| cells.clusters[*cell].checker.history().is_empty()));
    cells.assert_rules_kept();
}

// Users submitted different jobs with the same id to two cells. A hand-over of one must not change
// the other.
#[tokio::test(start_paused = true)]
async fn job_id_used_in_two_cells_is_not_handed_over() {
    let cells = ThreeCells::start([2, 6, 0], &[("run-1", 120), ("run-2", 60)]).await;
    cells.submit(1, "run-2", 1, 16.0).await;
    cells.fill(0, "run-1", 2, 16.0).await;
    cells.clusters[2].cloud.shrink(0);
    cells.clusters[0].submit_body("run-2", &job("run-2", "free", 1, 16.0, "normal")).await;
    pause(40.0).await;
    assert_eq!(
        cells.recorded_stage(1, "run-2").as_deref(),
        Some("open"),
        "the other cell's own job must not change"
    );
    for cell in &cells.clusters {
        cell.assert_invariants_hold();
    }
}

#[tokio::test(start_paused = true)]
async fn jobs_with_placement_constraints_and_services_are_not_handed_over() {
    let cells = ThreeCells::start([2, 6, 6], &[("run-1", 200)]).await;
    cells.fill(0, "run-1", 2, 16.0).await;
    for (id, field) in [("run-3", "same_place"), ("run-4", "apart")] {
        let mut body = job(id, "free", 2, 16.0, "normal");
        body[field] = json!(true);
        cells.clusters[0].checker.job(id, "free", 16.0);
        cells.clusters[0].submit_body(id, &body).await;
    }
    cells.clusters[0].submit_service("run-5", "free", 1, 16.0).await;
    pause(60.0).await;
    for id in ["run-3", "run-4", "run-5"] {
        assert_eq!(cells.host_cell(0, id), None, "{id}");
    }
    assert_eq!(cells.recorded_stage(0, "run-3").as_deref(), Some("open"));
}

// The host cell comes back with a new incarnation, that is, without its records, so that nobody
// knows what its machines still run. The job must not be started anywhere else, and its home cell
// must still report it.
#[tokio::test(start_paused = true)]
async fn jobs_of_a_host_cell_that_lost_its_records_are_not_started_again() {
    let mut cells = start_with_spilling_job(30).await;
    cells.until("another cell takes run-2", || cells.host_cell(0, "run-2").is_some()).await;
    let host_cell = cells.host_cell(0, "run-2").unwrap();
    cells
        .until("all tasks of run-2 run in the host cell", || {
            cells.clusters[host_cell].checker.on().len() == 4
        })
        .await;
    cells.kill_controllers(host_cell);
    if let Some(federation) = &mut cells.clusters[host_cell].options.federation {
        federation.cell.incarnation = 2;
    }
    cells.start_missing_controllers(host_cell);
    pause(120.0).await;
    let (status, answer) = cells.clusters[0].job_status(0, "run-2").await;
    assert_eq!((status, answer["stage"].as_str().is_some()), (200, true));
    assert_eq!(cells.recorded_stage(0, "run-2").as_deref(), Some("away"));
    assert!((0..4).all(|i| cells.start_count(&format!("run-2/{i}")) <= 1));
    // New jobs can be handed over to the new incarnation.
    cells.submit(0, "run-6", 1, 16.0).await;
    cells.clusters[0].until_stage("run-6", "done").await;
    cells.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn slow_cell_delays_neither_other_cells_nor_local_jobs() {
    let cells = ThreeCells::start([3, 6, 6], &[("run-1", 150), ("run-8", 150)]).await;
    cells.links.delay(0, 1, Duration::from_secs(10));
    cells.fill(0, "run-1", 2, 16.0).await;
    cells.fill(0, "run-8", 1, 12.0).await;
    cells.submit(0, "run-2", 4, 16.0).await;
    let started = Instant::now();
    cells.submit(0, "run-7", 1, 4.0).await;
    cells.clusters[0].until_stage("run-7", "done").await;
    assert!(started.elapsed() < Duration::from_secs(15), "{:?}", started.elapsed());
    cells.until("run-2 goes to the other cell", || cells.host_cell(0, "run-2") == Some(2)).await;
    cells.clusters[0].until_stage("run-2", "done").await;
    cells.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn jobs_of_a_cell_that_lost_its_machines_run_in_other_cells() {
    let cells = ThreeCells::start([8, 10, 10], &[]).await;
    cells.submit(0, "run-1", 8, 16.0).await;
    cells.until("all tasks of run-1 run", || cells.clusters[0].checker.on().len() == 8).await;
    cells.clusters[0].cloud.shrink(0);
    cells.clusters[0].cloud.machines().iter().for_each(|id| cells.clusters[0].cloud.take(id));
    for k in 0..24 {
        cells.submit(0, &format!("run-9{k}"), 2, 8.0).await;
    }
    pause(20.0).await;
    // A job whose tasks have started is not handed over; it needs the home cell's machines.
    cells.clusters[0].cloud.shrink(8);
    cells.until_all_jobs_ended().await;
    let spilled_jobs =
        (0..24).filter(|k| cells.clusters[0].checker.starts(&format!("run-9{k}/0")) == 0).count();
    assert!(spilled_jobs >= 12, "{spilled_jobs} of 24 jobs ran in other cells");
    cells.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn invalid_exchange_requests_are_refused_and_change_nothing() {
    let cells = start_with_spilling_job(200).await;
    cells.until("another cell takes run-2", || cells.host_cell(0, "run-2").is_some()).await;
    let host_cell = cells.host_cell(0, "run-2").unwrap();
    pause(5.0).await;
    let before =
        (cells.clusters[host_cell].state.keys("dc/j/"), cells.clusters[host_cell].state.keys("dc/x/"));
    let own = |name: &str, incarnation| Some(Cell { name: name.into(), incarnation });
    let offer = |job: &str, spec: &str| Transfer {
        job: job.into(),
        epoch: u64::MAX,
        kind: TransferKind::Offer as i32,
        spec: spec.as_bytes().to_vec(),
        submitted_s: f64::NAN,
    };
    let good = ExchangeRequest {
        version: 1,
        from: own(CELL_NAMES[0], 1),
        to: own(CELL_NAMES[host_cell], 1),
        watermark: 0,
        transfers: vec![],
    };
    let listed = source_address(0);
    let elsewhere = source_address(3 - host_cell);
    let changed = |change: &dyn Fn(&mut ExchangeRequest)| {
        let mut request = good.clone();
        change(&mut request);
        request
    };
    let unlisted = ExchangeError::UnknownSender;
    let malformed = |error: &ExchangeError| matches!(error, ExchangeError::Malformed(_));
    for (from, request, expected) in [
        (elsewhere, good.clone(), unlisted.clone()),
        (listed, changed(&|r| r.from = own("cell-x.example.org", 1)), unlisted.clone()),
        (listed, changed(&|r| r.from = own(CELL_NAMES[0], 0)), unlisted),
        (listed, changed(&|r| r.to = own(CELL_NAMES[host_cell], 2)), ExchangeError::WrongReceiver),
        (listed, changed(&|r| r.to = own(CELL_NAMES[0], 1)), ExchangeError::WrongReceiver),
        (listed, changed(&|r| r.version = 2), ExchangeError::UnsupportedVersion),
    ] {
        assert_eq!(cells.links.deliver_from(from, host_cell, request).await.unwrap_err(), expected);
    }
    for request in [
        changed(&|r| r.from = None),
        changed(&|r| r.transfers = vec![offer("walk-1", "{}")]),
        changed(&|r| r.transfers = vec![offer("run-77", "{}")]),
        changed(&|r| r.transfers = vec![offer("run-77", &job("run-78", "free", 1, 1.0, "low").to_string())]),
        changed(&|r| r.transfers = vec![Transfer { kind: 9, ..offer("run-77", "") }]),
        changed(&|r| r.transfers = vec![offer("run-77", ""); 65]),
        changed(&|r| (r.to, r.transfers) = (None, vec![offer("run-77", "")])),
    ] {
        let error = cells.links.deliver_from(listed, host_cell, request).await.unwrap_err();
        assert!(malformed(&error), "{error:?}");
    }
    assert_eq!(
        before,
        (cells.clusters[host_cell].state.keys("dc/j/"), cells.clusters[host_cell].state.keys("dc/x/"))
    );
    cells.assert_rules_kept();
}

// Only the link between home cell and host cell is cut. A home cell that reclaimed the job after a
// timeout would hand it over to the third cell, and the tasks would run twice.
#[tokio::test(start_paused = true)]
async fn host_cell_cut_off_from_its_home_cell_keeps_its_job() {
    for (requests_cut, replies_cut) in [(true, false), (false, true), (true, true)] {
        let cells = start_with_spilling_job(40).await;
        cells.until("another cell takes run-2", || cells.host_cell(0, "run-2").is_some()).await;
        let host_cell = cells.host_cell(0, "run-2").unwrap();
        cells
            .until("all tasks of run-2 run in the host cell", || {
                cells.clusters[host_cell].checker.on().len() == 4
            })
            .await;
        if requests_cut {
            cells.links.cut(0, host_cell);
        }
        if replies_cut {
            cells.links.cut(host_cell, 0);
        }
        pause(90.0).await;
        assert_eq!(cells.host_cell(0, "run-2"), Some(host_cell));
        cells.links.heal();
        assert_tasks_run_once(&cells, &format!("cut {requests_cut} {replies_cut}")).await;
    }
}

/// Hands over jobs while random faults occur: leaders of all cells are killed and restarted, links
/// are cut and healed, replies are lost, and every request is delivered twice.
async fn random_faults(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let cells = ThreeCells::start([3, 8, 8], &[]).await;
    cells.links.duplicate_requests();
    let mut killed: Vec<(usize, usize)> = Vec::new();
    let mut cancelled = Vec::new();
    for k in 0..30 {
        let id = format!("run-9{k}");
        cells.submit(0, &id, random.random_range(1..4), 16.0).await;
        if let Some((cell, node)) = killed.pop() {
            cells.clusters[cell].start_node(node);
        }
        let cell = random.random_range(0..3);
        if let Some(leader) = cells.clusters[cell].leader().filter(|_| random.random_bool(0.5)) {
            cells.clusters[cell].kill_node(leader);
            killed.push((cell, leader));
        }
        match random.random_range(0..6) {
            0 => cells.links.cut(0, random.random_range(1..3)),
            1 => cells.links.cut(random.random_range(1..3), 0),
            2 => cells.links.lose_answers(0, random.random_range(1..3), 2),
            3 => cells.links.heal(),
            4 => cancelled.push(id),
            _ => {}
        }
        pause(random.random_range(0.2..4.0)).await;
    }
    killed.into_iter().for_each(|(cell, node)| cells.clusters[cell].start_node(node));
    cells.links.heal();
    for id in &cancelled {
        cells.cancel(0, id).await;
    }
    cells.until_all_jobs_ended().await;
    cells.links.redeliver_recorded().await;
    pause(60.0).await;
    cells.assert_rules_kept();
    let spilled_jobs =
        (0..30).filter(|k| cells.clusters[0].checker.starts(&format!("run-9{k}/0")) == 0).count();
    assert!(spilled_jobs > 5, "{spilled_jobs} of 30 jobs ran in other cells");
}

#[tokio::test(start_paused = true)]
async fn random_faults_during_hand_overs_keep_the_rules() {
    for seed in 1..4 {
        random_faults(seed).await;
    }
}

// A cell with federation settings but no peers must write exactly what a cell without federation writes.
#[tokio::test(start_paused = true)]
async fn federation_without_peers_writes_the_same_records() {
    let alone = RawFederationSettings {
        cell: CELL_NAMES[0].into(),
        incarnation: 1,
        listen: "0.0.0.0:8090".into(),
        ..RawFederationSettings::default()
    };
    let mut written = Vec::new();
    for federation in [None, Some(FederationSettings::validate(&alone).unwrap())] {
        let cluster = Cluster::with_options(3, |_| {}, Options { federation, ..Options::default() }).await;
        for id in ["run-1", "run-2"] {
            cluster.submit(id, "free", 6, 8.0, "normal").await;
            cluster.until_stage(id, "done").await;
        }
        cluster.assert_invariants_hold();
        let records: Vec<_> =
            cluster.state.keys("dc/").into_iter().map(|key| cluster.state.value(&key)).collect();
        written.push((cluster.state.changes(), cluster.state.keys("dc/"), records));
    }
    assert_eq!(written[0], written[1]);
}
