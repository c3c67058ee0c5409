//! Admission control under overload, with several controllers that fail.

use crate::cluster::{STATE, host, pause};
use crate::overload::{Overload, TASK, body, options};
use crate::overload_hour;
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Limits, Rule};
use http::Method;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// A limit of so many tasks.
const LIMIT: u64 = 40 * TASK;
const MINUTE: Duration = Duration::from_secs(60);

fn every(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[tokio::test(start_paused = true)]
async fn below_the_limit_nothing_is_refused_and_hardly_a_change_is_added() {
    let o = Overload::start(3, 8, options(LIMIT * 10)).await;
    o.until_in_force().await;
    pause(5.0).await;
    let before = o.cluster.state.history("dc/a/").len();
    let ids = o.flood(1, "a", every(1000), MINUTE).await;
    assert_eq!(o.accepted(&ids), ids.len());
    let statuses = o.told.lock().unwrap().statuses.clone();
    assert_eq!(statuses.keys().collect::<Vec<_>>(), vec![&201], "{statuses:?}");
    let grants = o.cluster.state.history("dc/a/").len() - before;
    assert!(grants <= 6, "{grants} changes for {} submissions", ids.len());
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn nothing_is_granted_while_nothing_changes() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    pause(5.0).await;
    let before = o.cluster.state.history("dc/a/").len();
    pause(120.0).await;
    assert_eq!(o.cluster.state.history("dc/a/").len(), before);
}

#[tokio::test(start_paused = true)]
async fn a_flood_is_refused_beyond_the_limit_without_a_change() {
    let o = Overload::start(3, 2, options(LIMIT)).await;
    o.until_in_force().await;
    let ids = o.flood(1, "a", every(100), MINUTE).await;
    o.until_users_are_gone().await;
    let (refused, slowest) = {
        let told = o.told.lock().unwrap();
        (told.statuses.get(&429).copied().unwrap_or(0), told.slowest)
    };
    assert!(refused > 200, "{refused} refused");
    assert!(slowest < Duration::from_secs(2), "{slowest:?}");
    let hints = o.told.lock().unwrap().hints.clone();
    assert!(hints.iter().all(|hint| (1..=30).contains(hint)), "{hints:?}");
    let distinct: std::collections::BTreeSet<&u32> = hints.iter().collect();
    assert!(distinct.len() > 3, "hints are spread: {distinct:?}");
    let verdict = o.check_recovered().await;
    assert!(verdict.fullest <= 1.0 && verdict.fullest > 0.8, "{}", verdict.fullest);
    assert!(o.accepted(&ids) < ids.len());
    // Submissions, allocations and ends; what is refused costs nothing.
    let changes = o.cluster.state.history("dc/a/").len();
    assert!(changes < 300, "{changes} changes of credit");
}

#[tokio::test(start_paused = true)]
async fn an_accepted_job_gets_200_whatever_the_load() {
    let o = Overload::start(3, 2, options(LIMIT)).await;
    o.until_in_force().await;
    let first = o.flood(1, "a", every(50), Duration::from_secs(5)).await;
    let (flooding, repeats) = tokio::join!(o.flood(2, "b", every(50), Duration::from_secs(20)), async {
        let mut statuses = Vec::new();
        for _ in 0..10 {
            pause(1.5).await;
            for n in 0..3 {
                let (status, _) = o.cluster.call(n, Method::POST, "/v2/runs", &body(&first[0], "a", 1)).await;
                statuses.push(status);
            }
        }
        statuses
    });
    assert!(repeats.iter().all(|status| *status == 200), "{repeats:?}");
    assert!(o.accepted(&flooding) < flooding.len());
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn ten_times_its_share_gains_a_team_nothing() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    let time = Duration::from_secs(300);
    // 4 machines do 1.6 tasks a second; each team's share is 0.4.
    let (flood, b, c, d) = tokio::join!(
        o.flood(1, "a", every(125), time),
        o.flood(2, "b", every(1250), time),
        o.flood(3, "c", every(1250), time),
        o.flood(4, "d", every(1250), time),
    );
    o.until_users_are_gone().await;
    let accepted: Vec<usize> = [&flood, &b, &c, &d].iter().map(|ids| o.accepted(ids)).collect();
    let others = accepted[1].min(accepted[2]).min(accepted[3]);
    assert!(accepted[0] as f64 <= 1.4 * others as f64, "{accepted:?}");
    assert!(others > 60, "{accepted:?}");
    o.check();
}

#[tokio::test(start_paused = true)]
async fn a_process_that_ends_takes_its_credit_with_it_and_the_next_one_has_its_own() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    let ends = async {
        for round in 0..8 {
            pause(5.0).await;
            let n = round % 3;
            o.cluster.kill_node(n);
            pause([0.0, 0.3, 6.0][round / 3]).await;
            o.cluster.start_node(n);
        }
    };
    let (ids, ()) = tokio::join!(o.flood(1, "a", every(150), MINUTE), ends);
    assert!(o.accepted(&ids) > 40, "{}", o.accepted(&ids));
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn submissions_that_are_carried_out_late_are_counted_or_void() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    let trouble = async {
        for n in 0..3 {
            pause(4.0).await;
            // What it asks the state service is held back, and carried out when it is gone.
            o.cluster.net.rule(Rule::all(&host(n), STATE, Action::Hold).path("/multi").body("dc/j/"));
            pause(3.0).await;
            o.cluster.kill_node(n);
            o.cluster.start_node(n);
            pause(8.0).await;
            o.cluster.net.clear_rules();
            o.cluster.net.deliver().await;
        }
    };
    let (ids, ()) = tokio::join!(o.flood(1, "a", every(200), MINUTE), trouble);
    assert!(o.cluster.net.matched(Action::Hold) > 0);
    assert!(o.accepted(&ids) > 20);
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn lost_answers_to_submissions_count_as_spent_until_their_records_show() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    o.cluster.net.rule(Rule::all(&host(1), STATE, Action::LoseAnswer).path("/multi").body("dc/j/").times(12));
    let ids = o.flood(1, "a", every(200), MINUTE).await;
    assert!(o.cluster.net.matched(Action::LoseAnswer) > 0);
    assert!(o.accepted(&ids) > 40);
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn a_leader_may_end_at_each_step_of_a_grant() {
    for action in [Action::LoseAnswer, Action::Drop, Action::Hold] {
        let o = Overload::start(3, 4, options(LIMIT)).await;
        o.until_in_force().await;
        let trouble = async {
            for _ in 0..4 {
                pause(5.0).await;
                let Some(leader) = o.cluster.leader() else { continue };
                o.cluster.net.rule(Rule::all(&host(leader), STATE, action).path("/multi").body("dc/a/g/"));
                pause(2.5).await;
                o.cluster.kill_node(leader);
                pause(1.0).await;
                o.cluster.start_node(leader);
                o.cluster.until("a leader", || o.cluster.leader().is_some()).await;
                pause(5.0).await;
                o.cluster.net.clear_rules();
                o.cluster.net.deliver().await;
            }
        };
        let (ids, ()) = tokio::join!(o.flood(1, "a", every(200), MINUTE), trouble);
        assert!(o.cluster.net.matched(action) > 0, "{action:?}");
        assert!(o.accepted(&ids) > 30, "{action:?}");
        o.check_recovered().await;
    }
}

#[tokio::test(start_paused = true)]
async fn of_two_leaders_the_old_one_grants_nothing_when_it_comes_back() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    let trouble = async {
        for _ in 0..3 {
            pause(4.0).await;
            let Some(old) = o.cluster.leader() else { continue };
            // Its grants are held back until another one leads.
            o.cluster.net.rule(Rule::all(&host(old), STATE, Action::Hold).path("/multi").body("dc/a/"));
            pause(1.0).await;
            o.cluster.state.bar(&host(old), true);
            pause(7.0).await;
            o.cluster.net.clear_rules();
            o.cluster.net.deliver().await;
            o.cluster.state.bar(&host(old), false);
            o.cluster.net.deliver().await;
            pause(6.0).await;
        }
    };
    let (ids, ()) = tokio::join!(o.flood(1, "a", every(200), MINUTE), trouble);
    assert!(o.cluster.net.matched(Action::Hold) > 0);
    assert!(o.accepted(&ids) > 40);
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn an_outage_for_all_at_full_overload_costs_no_credit() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    let trouble = async {
        pause(15.0).await;
        o.cluster.state.outage(true);
        pause(20.0).await;
        o.cluster.state.outage(false);
    };
    let (ids, ()) = tokio::join!(o.flood(1, "a", every(200), MINUTE), trouble);
    assert!(o.accepted(&ids) > 40);
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn a_controller_cut_off_with_credit_in_hand_does_not_spend_it_when_it_is_back() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    let trouble = async {
        pause(2.0).await;
        let n = (0..3).find(|n| o.cluster.leader() != Some(*n)).unwrap();
        o.cluster.state.bar(&host(n), true);
        // Longer than every lease.
        pause(45.0).await;
        o.cluster.state.bar(&host(n), false);
    };
    let (ids, ()) = tokio::join!(o.flood(1, "a", every(200), Duration::from_secs(80)), trouble);
    assert!(o.accepted(&ids) > 60);
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn credit_of_a_controller_that_nobody_asks_is_granted_elsewhere() {
    let o = Overload::start(3, 8, options(LIMIT)).await;
    o.until_in_force().await;
    // All users ask one controller.
    let begun = tokio::time::Instant::now();
    let mut accepted = 0;
    for job in 0..600 {
        let id = format!("run-{job}");
        o.cluster.checker.job(&id, "a", 4.0);
        let (status, _) = o.cluster.call(0, Method::POST, "/v2/runs", &body(&id, "a", 1)).await;
        accepted += usize::from(status == 201);
        pause(0.2).await;
    }
    // 8 machines do 3.2 tasks a second; an eighth of the limit may lie idle.
    let rate = accepted as f64 / begun.elapsed().as_secs_f64();
    assert!(rate > 1.5, "{accepted} accepted, {rate:.2} a second");
    let verdict = o.check();
    assert!(verdict.fullest <= 1.0);
}

#[tokio::test(start_paused = true)]
async fn a_team_that_falls_silent_leaves_its_share_and_has_it_when_it_returns() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    let time = Duration::from_secs(100);
    let (a, _) = tokio::join!(o.flood(1, "a", every(400), time), o.flood(2, "b", every(400), time));
    o.until_users_are_gone().await;
    let together = o.accepted(&a);
    let alone = o.flood(3, "a", every(400), time).await;
    o.until_users_are_gone().await;
    assert!(o.accepted(&alone) as f64 > 1.3 * together as f64, "{together} {}", o.accepted(&alone));
    let (a, b) = tokio::join!(o.flood(4, "a", every(400), time), o.flood(5, "b", every(400), time));
    o.until_users_are_gone().await;
    let (a, b) = (o.accepted(&a), o.accepted(&b));
    assert!(b * 3 > a * 2, "{a} {b}");
    o.check();
}

#[tokio::test(start_paused = true)]
async fn thousands_of_small_jobs_do_not_starve_a_large_one() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    let large = async {
        pause(20.0).await;
        // A quarter of the limit.
        o.user("run-77", "a", 10);
    };
    tokio::join!(o.flood(1, "a", every(100), Duration::from_secs(80)), large);
    o.until_users_are_gone().await;
    assert!(o.told.lock().unwrap().accepted.contains_key("run-77"));
    let kept = o.cluster.state.history("dc/a/s").len();
    assert!(kept > 0, "it was saved up for");
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn all_machines_lost_at_the_peak_break_no_limit() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    let trouble = async {
        pause(20.0).await;
        for machine in o.cluster.cloud.machines() {
            o.cluster.cloud.take(&machine);
        }
    };
    let (ids, ()) = tokio::join!(o.flood(1, "a", every(200), MINUTE), trouble);
    assert!(o.accepted(&ids) > 30);
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn weights_changed_one_controller_at_a_time_are_those_of_the_leader() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    let mut other = options(LIMIT);
    let admission = other.admission.as_mut().unwrap();
    admission.teams = vec![dapplecroft_admission::settings::RawTeam {
        name: "b".into(),
        weight: Some(16.0),
        ..Default::default()
    }];
    let rollout = async {
        for n in 0..3 {
            pause(10.0).await;
            o.cluster.options_by_node.lock().unwrap().insert(n, other.clone());
            o.cluster.kill_node(n);
            pause(1.0).await;
            o.cluster.start_node(n);
        }
    };
    tokio::join!(o.flood(1, "a", every(300), MINUTE), o.flood(2, "b", every(300), MINUTE), rollout);
    let policy = o.cluster.state.value("dc/a/p").unwrap();
    assert_eq!(policy["w"]["b"], 16.0, "{policy}");
    let time = Duration::from_secs(150);
    let (a, b) = tokio::join!(o.flood(3, "a", every(400), time), o.flood(4, "b", every(400), time));
    o.until_users_are_gone().await;
    let (a, b) = (o.accepted(&a), o.accepted(&b));
    assert!(b as f64 > 1.5 * a as f64, "{a} {b}");
    o.check();
}

#[tokio::test(start_paused = true)]
async fn no_credit_is_demanded_while_a_controller_knows_nothing_of_it() {
    let former = Options::default();
    let o = Overload::with(3, 4, options(LIMIT), |cluster| {
        cluster.options_by_node.lock().unwrap().insert(2, former.clone());
    })
    .await;
    let ids = o.flood(1, "a", every(200), Duration::from_secs(20)).await;
    o.until_users_are_gone().await;
    assert!(!o.is_in_force());
    assert_eq!(o.accepted(&ids), ids.len(), "as before");
    // It is replaced; then another one goes back.
    o.cluster.options_by_node.lock().unwrap().clear();
    o.cluster.kill_node(2);
    o.cluster.start_node(2);
    o.until_in_force().await;
    o.flood(2, "a", every(200), Duration::from_secs(20)).await;
    o.cluster.options_by_node.lock().unwrap().insert(0, former);
    o.cluster.kill_node(0);
    o.cluster.start_node(0);
    o.cluster.until("credit is demanded no more", || !o.is_in_force()).await;
    pause(2.0).await;
    let ids = o.flood(3, "a", every(200), Duration::from_secs(10)).await;
    o.until_users_are_gone().await;
    assert_eq!(o.accepted(&ids), ids.len());
    o.check();
}

#[tokio::test(start_paused = true)]
async fn a_record_of_credit_that_can_not_be_read_counts_as_spent() {
    let o = Overload::start(3, 4, options(LIMIT)).await;
    o.until_in_force().await;
    o.cluster.state.put("dc/a/g/0", json!("nonsense"));
    let ids = o.flood(1, "a", every(200), MINUTE).await;
    assert!(o.accepted(&ids) > 40, "{}", o.accepted(&ids));
    let leader = o.cluster.leader().unwrap();
    assert!(o.cluster.node(leader).admission_status().await.unreadable > 0);
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn nine_controllers_and_eight_teams_of_four_classes_fit_the_smallest_records() {
    let teams: Vec<Value> =
        (0..8).map(|t| json!({"name": format!("harbour-team-{t}"), "cpus": 4.0})).collect();
    let classes: Vec<Value> =
        (0..4).map(|c| json!({"kind": "finished", "class": format!("night-class-{c}")})).collect();
    let limits = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0});
    let platform = json!({"teams": teams, "objectives": classes, "now": limits});
    let o = Overload::on_platform(9, 8, options(LIMIT * 3), platform, |cluster| {
        cluster.state.limit(Limits { value: 2048, changes: 4, rate: 18.0 });
    })
    .await;
    o.until_in_force().await;
    for round in 0..300u64 {
        let bucket = round % 32;
        let mut body = body(&format!("run-{round}"), &format!("harbour-team-{}", bucket / 4), 1);
        body["lane"] = json!(format!("night-class-{}", bucket % 4));
        o.user_with(body);
        pause(0.1).await;
    }
    o.until_users_are_gone().await;
    let refused = o.cluster.state.refused();
    assert_eq!((refused.values, refused.transactions), (0, 0));
    assert!(o.told.lock().unwrap().statuses[&429] > 100);
    let buckets: BTreeSet<u64> = o
        .told
        .lock()
        .unwrap()
        .accepted
        .keys()
        .map(|id| id.trim_start_matches("run-").parse::<u64>().unwrap() % 32)
        .collect();
    assert_eq!(buckets.len(), 32, "every class of every team has had some accepted");
    let pages = o.cluster.state.keys("dc/a/g/").len();
    assert!(pages > 1, "they are too many for one record");
    o.check_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn ten_minutes_of_overload_give_each_team_its_share_while_controllers_end() {
    let report = overload_hour::overload(7, Duration::from_secs(600), true).await;
    overload_hour::print(&report);
    assert!(report.ends > 3 && report.cuts > 0);
    assert!(report.verdict.fullest <= 1.0);
    for team in &report.teams {
        let part = team.accepted as f64 / team.fair;
        assert!((0.75..1.3).contains(&part), "{team:?}");
        assert!(team.longest_gap < MINUTE, "{team:?}");
        assert!(team.worst_window > 0.4, "{team:?}");
    }
}
