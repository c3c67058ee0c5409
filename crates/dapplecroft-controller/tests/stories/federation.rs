//! Cells that pass jobs to each other while leaders end, messages are lost, late and
//! repeated, and state services refuse.

use crate::cells::{NAMES, ThreeCells, network_address};
use crate::cluster::{Cluster, host, job, pause};
use dapplecroft_controller::{ExchangeError, Options};
use dapplecroft_federation::Federation;
use dapplecroft_federation::settings::RawFederation;
use dapplecroft_wire::cells::{Cell, ExchangeRequest, Transfer, TransferKind};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;

/// A cell that is full, and the others idle: the job that waits goes to one of them.
async fn spilled(runs: u64) -> ThreeCells {
    let c = ThreeCells::start([2, 6, 6], &[("run-1", 150), ("run-2", runs)]).await;
    c.fill(0, "run-1", 2, 16.0).await;
    c.submit(0, "run-2", 4, 16.0).await;
    c
}

#[tokio::test(start_paused = true)]
async fn a_job_that_has_no_room_runs_in_another_cell_and_its_user_hears_of_its_end_at_home() {
    let c = spilled(10).await;
    c.until("it visits", || c.visited(0, "run-2").is_some()).await;
    let away = c.visited(0, "run-2").unwrap();
    c.until("it runs there", || c.cells[away].checker.on().len() == 4).await;
    pause(2.0).await;
    let (status, answer) = c.cells[0].job_status(c.cells[0].leader().unwrap(), "run-2").await;
    assert_eq!((status, answer["stage"].as_str()), (200, Some("running")));
    // Only its home cell tells how it stands.
    let (status, _) = c.cells[away].job_status(0, "run-2").await;
    assert_eq!(status, 503);
    c.cells[0].until_stage("run-2", "done").await;
    assert!((0..4).all(|i| c.starts(&format!("run-2/{i}")) == 1));
    // What the visited cell kept of it is dropped in the end.
    c.until("nothing is left there", || c.recorded(away, "run-2").is_none()).await;
    c.assert_rules_kept();
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Home,
    Visitors,
    Both,
}

impl Side {
    fn cells(self) -> &'static [usize] {
        match self {
            Side::Home => &[0],
            Side::Visitors => &[1, 2],
            Side::Both => &[0, 1, 2],
        }
    }
}

/// A hand-over takes about a second from the first moment at which the job may be
/// offered; the leaders end at one of these moments after the job was submitted.
fn moments() -> impl Iterator<Item = f64> {
    (0..26).map(|step| 4.0 + f64::from(step) * 0.11)
}

async fn assert_ends_once(c: &ThreeCells, what: &str) {
    c.until_all_over().await;
    c.assert_rules_kept();
    let again = (0..4).filter(|i| c.starts(&format!("run-2/{i}")) != 1).count();
    assert_eq!(again, 0, "{what}: tasks that did not run exactly once");
}

async fn leaders_end(side: Side) {
    for moment in moments() {
        let c = spilled(10).await;
        pause(moment).await;
        let ended: Vec<_> = side.cells().iter().map(|cell| (*cell, c.kill_leader(*cell))).collect();
        pause(3.0).await;
        for (cell, node) in ended {
            c.cells[cell].start_node(node);
        }
        assert_ends_once(&c, &format!("{side:?} at {moment}")).await;
    }
}

// A request whose sender ended was once counted for ever, until the visited cell passed
// for busy.
#[tokio::test(start_paused = true)]
async fn a_home_leader_that_ends_at_any_moment_of_a_hand_over_loses_and_doubles_nothing() {
    leaders_end(Side::Home).await;
}

#[tokio::test(start_paused = true)]
async fn visited_leaders_that_end_at_any_moment_of_a_hand_over_lose_and_double_nothing() {
    leaders_end(Side::Visitors).await;
}

#[tokio::test(start_paused = true)]
async fn all_leaders_that_end_at_any_moment_of_a_hand_over_lose_and_double_nothing() {
    leaders_end(Side::Both).await;
}

#[tokio::test(start_paused = true)]
async fn a_visited_cell_without_controllers_keeps_its_job() {
    // For less and for more than every lease: its workers end their tasks after 27 s.
    for (moment, gone) in [(4.3, 3.0), (4.9, 3.0), (7.0, 15.0), (7.0, 60.0), (4.6, 60.0)] {
        let c = spilled(40).await;
        pause(moment).await;
        [1, 2].into_iter().for_each(|cell| c.kill_all(cell));
        pause(gone).await;
        [1, 2].into_iter().for_each(|cell| c.start_all(cell));
        c.until_all_over().await;
        c.assert_rules_kept();
    }
}

#[tokio::test(start_paused = true)]
async fn a_home_cell_whose_state_service_refuses_after_the_offer_takes_nothing_back() {
    for moment in moments().step_by(2) {
        let c = spilled(10).await;
        pause(moment).await;
        c.cells[0].state.outage(true);
        pause(40.0).await;
        c.cells[0].state.outage(false);
        assert_ends_once(&c, &format!("at {moment}")).await;
    }
}

#[tokio::test(start_paused = true)]
async fn answers_that_are_lost_after_the_commit_are_asked_for_again() {
    for count in 1..6 {
        let c = ThreeCells::start([2, 6, 6], &[("run-1", 150)]).await;
        [1, 2].into_iter().for_each(|cell| c.links.lose_answers(0, cell, count));
        c.fill(0, "run-1", 2, 16.0).await;
        c.submit(0, "run-2", 4, 16.0).await;
        assert_ends_once(&c, &format!("{count} lost")).await;
    }
}

#[tokio::test(start_paused = true)]
async fn requests_that_come_twice_or_minutes_late_in_any_order_start_nothing_again() {
    let c = ThreeCells::start([2, 6, 6], &[("run-1", 150)]).await;
    c.links.repeat();
    c.fill(0, "run-1", 2, 16.0).await;
    c.submit(0, "run-2", 4, 16.0).await;
    c.cells[0].until_stage("run-2", "done").await;
    let away = c.visited(0, "run-2");
    if let Some(away) = away {
        c.until("its records are dropped", || c.recorded(away, "run-2").is_none()).await;
    }
    pause(200.0).await;
    assert!(c.links.deliver_kept().await > 10);
    pause(60.0).await;
    assert_ends_once(&c, "late offers").await;
    assert!([1, 2].iter().all(|cell| c.recorded(*cell, "run-2").is_none()), "a late offer was taken");
}

#[tokio::test(start_paused = true)]
async fn cells_cut_off_from_each_other_in_one_or_both_directions_keep_their_jobs() {
    for (there, back) in [(true, false), (false, true), (true, true)] {
        for moment in moments().step_by(3) {
            let c = spilled(10).await;
            pause(moment).await;
            for cell in [1, 2] {
                if there {
                    c.links.cut(0, cell);
                }
                if back {
                    c.links.cut(cell, 0);
                }
            }
            pause(90.0).await;
            // What another cell may have is not run here, however long that takes.
            c.assert_rules_kept();
            c.links.heal();
            assert_ends_once(&c, &format!("cut {there} {back} at {moment}")).await;
        }
    }
}

// The old leader still reaches the other cells, but not its state service: it goes on
// asking about what it believes to be away, while its successor offers elsewhere.
#[tokio::test(start_paused = true)]
async fn an_old_leader_that_still_talks_to_other_cells_changes_nothing() {
    for moment in moments().step_by(3) {
        let c = spilled(10).await;
        pause(moment).await;
        let old = c.cells[0].leader().unwrap();
        c.cells[0].state.bar(&host(old), true);
        pause(30.0).await;
        c.cells[0].state.bar(&host(old), false);
        assert_ends_once(&c, &format!("at {moment}")).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_at_any_moment_is_final_and_in_time() {
    for moment in moments().chain([8.0, 12.0, 16.0, 18.5]) {
        let c = spilled(10).await;
        pause(moment).await;
        let stage = c.withdraw(0, "run-2").await;
        // The cells lose each other right afterwards.
        for cell in [1, 2] {
            c.links.cut(0, cell);
            c.links.cut(cell, 0);
        }
        pause(60.0).await;
        c.assert_rules_kept();
        let running = c.cells.iter().flat_map(|cell| cell.checker.on().into_keys());
        let left = running.filter(|task| task.starts_with("run-2/")).count();
        assert_eq!(left, 0, "tasks that run on after {moment}");
        for n in 0..3 {
            let (status, answer) = c.cells[0].job_status(n, "run-2").await;
            assert_eq!((status, answer["stage"].as_str()), (200, Some(stage.as_str())));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_is_not_confirmed_while_the_cell_that_may_have_the_job_is_cut_off() {
    let c = spilled(200).await;
    c.until("it visits", || c.visited(0, "run-2").is_some()).await;
    let away = c.visited(0, "run-2").unwrap();
    c.until("it runs there", || c.cells[away].checker.on().len() == 4).await;
    c.links.cut(0, away);
    for _ in 0..5 {
        let (status, _) = c.cells[0].cancel_once(0, "run-2").await;
        assert_eq!(status, 503);
    }
    c.links.heal();
    assert_eq!(c.withdraw(0, "run-2").await, "withdrawn");
    pause(50.0).await;
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn a_job_that_can_not_begin_after_all_is_given_back_and_goes_elsewhere() {
    // The second cell believes that it could rent machines, and gets none.
    let c = ThreeCells::start([2, 0, 0], &[("run-1", 150)]).await;
    c.fill(0, "run-1", 2, 16.0).await;
    c.submit(0, "run-2", 4, 16.0).await;
    c.until("it visits", || c.visited(0, "run-2").is_some()).await;
    let first = c.visited(0, "run-2").unwrap();
    c.until("it is given back", || c.recorded(first, "run-2").is_none()).await;
    c.until("it is home, or elsewhere", || {
        c.recorded(0, "run-2").as_deref() == Some("open") || c.visited(0, "run-2").is_some_and(|n| n != first)
    })
    .await;
    c.cells[3 - first].cloud.shrink(6);
    assert_ends_once(&c, "given back").await;
}

#[tokio::test(start_paused = true)]
async fn a_cell_that_takes_no_visitors_gets_none_and_its_refusal_is_forgotten() {
    let none = |cell: usize, raw: &mut RawFederation| {
        if cell > 0 {
            raw.visitors_share = Some(0.0);
        }
    };
    let c = ThreeCells::with([2, 6, 6], &[("run-1", 60)], &none).await;
    c.fill(0, "run-1", 2, 16.0).await;
    c.submit(0, "run-2", 4, 16.0).await;
    c.until_all_over().await;
    assert!(c.cells[0].checker.starts("run-2/0") == 1, "it waited for room at home");
    assert!([1, 2].iter().all(|cell| c.cells[*cell].checker.history().is_empty()));
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn an_id_that_a_user_gave_to_two_cells_is_not_passed_from_one_to_the_other() {
    let c = ThreeCells::start([2, 6, 0], &[("run-1", 120), ("run-2", 60)]).await;
    c.submit(1, "run-2", 1, 16.0).await;
    c.fill(0, "run-1", 2, 16.0).await;
    c.cells[2].cloud.shrink(0);
    c.cells[0].submit_body("run-2", &job("run-2", "free", 1, 16.0, "normal")).await;
    pause(40.0).await;
    assert_eq!(c.recorded(1, "run-2").as_deref(), Some("open"), "the other cell's own job is as it was");
    for cell in &c.cells {
        cell.assert_invariants_hold();
    }
}

#[tokio::test(start_paused = true)]
async fn what_may_not_be_passed_on_stays() {
    let c = ThreeCells::start([2, 6, 6], &[("run-1", 200)]).await;
    c.fill(0, "run-1", 2, 16.0).await;
    for (id, field) in [("run-3", "same_place"), ("run-4", "apart")] {
        let mut body = job(id, "free", 2, 16.0, "normal");
        body[field] = json!(true);
        c.cells[0].checker.job(id, "free", 16.0);
        c.cells[0].submit_body(id, &body).await;
    }
    c.cells[0].submit_service("run-5", "free", 1, 16.0).await;
    pause(60.0).await;
    for id in ["run-3", "run-4", "run-5"] {
        assert_eq!(c.visited(0, id), None, "{id}");
    }
    assert_eq!(c.recorded(0, "run-3").as_deref(), Some("open"));
}

// Its records are gone, so it can't know what its machines run: nothing that it took is
// started anywhere else, and nothing is lost sight of.
#[tokio::test(start_paused = true)]
async fn what_a_lost_cell_took_stays_known_and_is_not_started_again() {
    let mut c = spilled(30).await;
    c.until("it visits", || c.visited(0, "run-2").is_some()).await;
    let away = c.visited(0, "run-2").unwrap();
    c.until("it runs there", || c.cells[away].checker.on().len() == 4).await;
    c.kill_all(away);
    if let Some(federation) = &mut c.cells[away].options.federation {
        federation.cell.incarnation = 2;
    }
    c.start_all(away);
    pause(120.0).await;
    let (status, answer) = c.cells[0].job_status(0, "run-2").await;
    assert_eq!((status, answer["stage"].as_str().is_some()), (200, true));
    assert_eq!(c.recorded(0, "run-2").as_deref(), Some("away"));
    assert!((0..4).all(|i| c.starts(&format!("run-2/{i}")) <= 1));
    // New jobs go to the new incarnation.
    c.submit(0, "run-6", 1, 16.0).await;
    c.cells[0].until_stage("run-6", "done").await;
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn a_slow_cell_holds_up_neither_the_others_nor_work_at_home() {
    let c = ThreeCells::start([3, 6, 6], &[("run-1", 150), ("run-8", 150)]).await;
    c.links.slow(0, 1, Duration::from_secs(10));
    c.fill(0, "run-1", 2, 16.0).await;
    c.fill(0, "run-8", 1, 12.0).await;
    c.submit(0, "run-2", 4, 16.0).await;
    let begun = Instant::now();
    c.submit(0, "run-7", 1, 4.0).await;
    c.cells[0].until_stage("run-7", "done").await;
    assert!(begun.elapsed() < Duration::from_secs(15), "{:?}", begun.elapsed());
    c.until("it visits the other one", || c.visited(0, "run-2") == Some(2)).await;
    c.cells[0].until_stage("run-2", "done").await;
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn a_storm_of_jobs_from_a_cell_that_lost_its_machines_is_taken_in_by_the_others() {
    let c = ThreeCells::start([8, 10, 10], &[]).await;
    c.submit(0, "run-1", 8, 16.0).await;
    c.until("it runs", || c.cells[0].checker.on().len() == 8).await;
    c.cells[0].cloud.shrink(0);
    c.cells[0].cloud.machines().iter().for_each(|id| c.cells[0].cloud.take(id));
    for k in 0..24 {
        c.submit(0, &format!("run-9{k}"), 2, 8.0).await;
    }
    pause(20.0).await;
    // What had begun stays; machines come back for it.
    c.cells[0].cloud.shrink(8);
    c.until_all_over().await;
    let visited = (0..24).filter(|k| c.cells[0].checker.starts(&format!("run-9{k}/0")) == 0).count();
    assert!(visited >= 12, "{visited} of 24 jobs ran in other cells");
    c.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn messages_that_can_not_be_meant_are_refused_and_change_nothing() {
    let c = spilled(200).await;
    c.until("it visits", || c.visited(0, "run-2").is_some()).await;
    let away = c.visited(0, "run-2").unwrap();
    pause(5.0).await;
    let before = (c.cells[away].state.keys("dc/j/"), c.cells[away].state.keys("dc/x/"));
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
        from: own(NAMES[0], 1),
        to: own(NAMES[away], 1),
        watermark: 0,
        transfers: vec![],
    };
    let listed = network_address(0);
    let elsewhere = network_address(3 - away);
    let with = |change: &dyn Fn(&mut ExchangeRequest)| {
        let mut request = good.clone();
        change(&mut request);
        request
    };
    let unlisted = ExchangeError::Unlisted;
    let malformed = |error: &ExchangeError| matches!(error, ExchangeError::Malformed(_));
    for (from, request, expected) in [
        (elsewhere, good.clone(), unlisted.clone()),
        (listed, with(&|r| r.from = own("cell-x.example.org", 1)), unlisted.clone()),
        (listed, with(&|r| r.from = own(NAMES[0], 0)), unlisted),
        (listed, with(&|r| r.to = own(NAMES[away], 2)), ExchangeError::OtherCell),
        (listed, with(&|r| r.to = own(NAMES[0], 1)), ExchangeError::OtherCell),
        (listed, with(&|r| r.version = 2), ExchangeError::OtherVersion),
    ] {
        assert_eq!(c.links.deliver_from(from, away, request).await.unwrap_err(), expected);
    }
    for request in [
        with(&|r| r.from = None),
        with(&|r| r.transfers = vec![offer("walk-1", "{}")]),
        with(&|r| r.transfers = vec![offer("run-77", "{}")]),
        with(&|r| r.transfers = vec![offer("run-77", &job("run-78", "free", 1, 1.0, "low").to_string())]),
        with(&|r| r.transfers = vec![Transfer { kind: 9, ..offer("run-77", "") }]),
        with(&|r| r.transfers = vec![offer("run-77", ""); 65]),
        with(&|r| (r.to, r.transfers) = (None, vec![offer("run-77", "")])),
    ] {
        let error = c.links.deliver_from(listed, away, request).await.unwrap_err();
        assert!(malformed(&error), "{error:?}");
    }
    assert_eq!(before, (c.cells[away].state.keys("dc/j/"), c.cells[away].state.keys("dc/x/")));
    c.assert_rules_kept();
}

// With the other cell in reach, a job that was taken back after a silence would run there
// a second time.
#[tokio::test(start_paused = true)]
async fn a_cell_that_alone_is_cut_off_keeps_what_it_took() {
    for (there, back) in [(true, false), (false, true), (true, true)] {
        let c = spilled(40).await;
        c.until("it visits", || c.visited(0, "run-2").is_some()).await;
        let away = c.visited(0, "run-2").unwrap();
        c.until("it runs there", || c.cells[away].checker.on().len() == 4).await;
        if there {
            c.links.cut(0, away);
        }
        if back {
            c.links.cut(away, 0);
        }
        pause(90.0).await;
        assert_eq!(c.visited(0, "run-2"), Some(away));
        c.links.heal();
        assert_ends_once(&c, &format!("cut {there} {back}")).await;
    }
}

/// A small run of what real processes are to do: leaders of all cells end again and again,
/// links are cut and heal, and messages come twice, while jobs spill.
async fn storm(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let c = ThreeCells::start([3, 8, 8], &[]).await;
    c.links.repeat();
    let mut ended: Vec<(usize, usize)> = Vec::new();
    let mut cancelled = Vec::new();
    for k in 0..30 {
        let id = format!("run-9{k}");
        c.submit(0, &id, random.random_range(1..4), 16.0).await;
        if let Some((cell, node)) = ended.pop() {
            c.cells[cell].start_node(node);
        }
        let cell = random.random_range(0..3);
        if let Some(leader) = c.cells[cell].leader().filter(|_| random.random_bool(0.5)) {
            c.cells[cell].kill_node(leader);
            ended.push((cell, leader));
        }
        match random.random_range(0..6) {
            0 => c.links.cut(0, random.random_range(1..3)),
            1 => c.links.cut(random.random_range(1..3), 0),
            2 => c.links.lose_answers(0, random.random_range(1..3), 2),
            3 => c.links.heal(),
            4 => cancelled.push(id),
            _ => {}
        }
        pause(random.random_range(0.2..4.0)).await;
    }
    ended.into_iter().for_each(|(cell, node)| c.cells[cell].start_node(node));
    c.links.heal();
    for id in &cancelled {
        c.withdraw(0, id).await;
    }
    c.until_all_over().await;
    c.links.deliver_kept().await;
    pause(60.0).await;
    c.assert_rules_kept();
    let spilled = (0..30).filter(|k| c.cells[0].checker.starts(&format!("run-9{k}/0")) == 0).count();
    assert!(spilled > 5, "{spilled} of 30 jobs ran in other cells");
}

#[tokio::test(start_paused = true)]
async fn jobs_that_spill_in_a_storm_of_ends_cuts_and_repeats_keep_the_rules() {
    for seed in 1..4 {
        storm(seed).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_federation_without_peers_changes_nothing() {
    let alone = RawFederation {
        cell: NAMES[0].into(),
        incarnation: 1,
        listen: "0.0.0.0:8090".into(),
        ..RawFederation::default()
    };
    let mut written = Vec::new();
    for federation in [None, Some(Federation::check(&alone).unwrap())] {
        let c = Cluster::with_options(3, |_| {}, Options { federation, ..Options::default() }).await;
        for id in ["run-1", "run-2"] {
            c.submit(id, "free", 6, 8.0, "normal").await;
            c.until_stage(id, "done").await;
        }
        c.assert_invariants_hold();
        let records: Vec<_> = c.state.keys("dc/").into_iter().map(|key| c.state.value(&key)).collect();
        written.push((c.state.changes(), c.state.keys("dc/"), records));
    }
    assert_eq!(written[0], written[1]);
}
