//! Admission control under overload, while controllers, the state service and machines fail.

use crate::cluster::{STATE, host, pause};
use crate::overload::{OverloadTest, TASK_CPU_S, job_body, options_with_limit};
use crate::overload_hour;
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Limits, Rule};
use http::Method;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// Limit of 40 tasks, in CPU-seconds.
const LIMIT_CPU_S: u64 = 40 * TASK_CPU_S;
const MINUTE: Duration = Duration::from_secs(60);

fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[tokio::test(start_paused = true)]
async fn load_below_the_limit_is_accepted_with_few_grant_writes() {
    let test = OverloadTest::start(3, 8, options_with_limit(LIMIT_CPU_S * 10)).await;
    test.until_credit_required().await;
    pause(5.0).await;
    let before = test.cluster.state.history("dc/a/").len();
    let ids = test.flood(1, "a", millis(1000), MINUTE).await;
    assert_eq!(test.accepted_count(&ids), ids.len());
    let status_counts = test.answers.lock().unwrap().status_counts.clone();
    assert_eq!(status_counts.keys().collect::<Vec<_>>(), vec![&201], "{status_counts:?}");
    let grants = test.cluster.state.history("dc/a/").len() - before;
    assert!(grants <= 6, "{grants} changes for {} submissions", ids.len());
    test.assert_limit_recovered().await;
}

// The leader must not write grants periodically when the demand does not change.
#[tokio::test(start_paused = true)]
async fn idle_cluster_writes_no_grants() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    pause(5.0).await;
    let before = test.cluster.state.history("dc/a/").len();
    pause(120.0).await;
    assert_eq!(test.cluster.state.history("dc/a/").len(), before);
}

#[tokio::test(start_paused = true)]
async fn refusals_beyond_the_limit_write_nothing() {
    let test = OverloadTest::start(3, 2, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let ids = test.flood(1, "a", millis(100), MINUTE).await;
    test.until_users_finished().await;
    let (refused, slowest_answer) = {
        let answers = test.answers.lock().unwrap();
        (answers.status_counts.get(&429).copied().unwrap_or(0), answers.slowest_answer)
    };
    assert!(refused > 200, "{refused} refused");
    assert!(slowest_answer < Duration::from_secs(2), "{slowest_answer:?}");
    let hints_s = test.answers.lock().unwrap().retry_after_s.clone();
    assert!(hints_s.iter().all(|hint| (1..=30).contains(hint)), "{hints_s:?}");
    let distinct: std::collections::BTreeSet<&u32> = hints_s.iter().collect();
    assert!(distinct.len() > 3, "Retry-After values must vary: {distinct:?}");
    let result = test.assert_limit_recovered().await;
    assert!(result.peak_use <= 1.0 && result.peak_use > 0.8, "{}", result.peak_use);
    assert!(test.accepted_count(&ids) < ids.len());
    // Accepted submissions, grants and completions write records; refusals must not.
    let changes = test.cluster.state.history("dc/a/").len();
    assert!(changes < 300, "{changes} changes of credit");
}

#[tokio::test(start_paused = true)]
async fn resubmitting_an_accepted_job_returns_200_under_overload() {
    let test = OverloadTest::start(3, 2, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let first = test.flood(1, "a", millis(50), Duration::from_secs(5)).await;
    let (flooding, repeats) = tokio::join!(test.flood(2, "b", millis(50), Duration::from_secs(20)), async {
        let mut statuses = Vec::new();
        for _ in 0..10 {
            pause(1.5).await;
            for n in 0..3 {
                let (status, _) =
                    test.cluster.call(n, Method::POST, "/v2/runs", &job_body(&first[0], "a", 1)).await;
                statuses.push(status);
            }
        }
        statuses
    });
    assert!(repeats.iter().all(|status| *status == 200), "{repeats:?}");
    assert!(test.accepted_count(&flooding) < flooding.len());
    test.assert_limit_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn team_submitting_ten_times_its_share_gains_nothing() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let time = Duration::from_secs(300);
    // 4 machines complete 1.6 tasks per second; each team's share is 0.4.
    let (flood, b, c, d) = tokio::join!(
        test.flood(1, "a", millis(125), time),
        test.flood(2, "b", millis(1250), time),
        test.flood(3, "c", millis(1250), time),
        test.flood(4, "d", millis(1250), time),
    );
    test.until_users_finished().await;
    let accepted: Vec<usize> = [&flood, &b, &c, &d].iter().map(|ids| test.accepted_count(ids)).collect();
    let others = accepted[1].min(accepted[2]).min(accepted[3]);
    assert!(accepted[0] as f64 <= 1.4 * others as f64, "{accepted:?}");
    assert!(others > 60, "{accepted:?}");
    test.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn credit_of_a_killed_controller_expires_and_its_successor_gets_new_credit() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let kills = async {
        for round in 0..8 {
            pause(5.0).await;
            let n = round % 3;
            test.cluster.kill_node(n);
            pause([0.0, 0.3, 6.0][round / 3]).await;
            test.cluster.start_node(n);
        }
    };
    let (ids, ()) = tokio::join!(test.flood(1, "a", millis(150), MINUTE), kills);
    assert!(test.accepted_count(&ids) > 40, "{}", test.accepted_count(&ids));
    test.assert_limit_recovered().await;
}

// A submission is delayed on its way to the state service and arrives after its controller was
// killed. The submission must be charged, or fail because the credit's epoch has ended.
#[tokio::test(start_paused = true)]
async fn submissions_committed_after_their_controller_ended_are_charged_or_rejected() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let faults = async {
        for n in 0..3 {
            pause(4.0).await;
            // Holds the controller's job transactions back and delivers them after it was killed.
            test.cluster.net.rule(Rule::all(&host(n), STATE, Action::Hold).path("/multi").body("dc/j/"));
            pause(3.0).await;
            test.cluster.kill_node(n);
            test.cluster.start_node(n);
            pause(8.0).await;
            test.cluster.net.clear_rules();
            test.cluster.net.deliver().await;
        }
    };
    let (ids, ()) = tokio::join!(test.flood(1, "a", millis(200), MINUTE), faults);
    assert!(test.cluster.net.matched(Action::Hold) > 0);
    assert!(test.accepted_count(&ids) > 20);
    test.assert_limit_recovered().await;
}

// A controller that gets no reply to a submission doesn't know whether it was committed. If it
// didn't count the credit as spent, it could spend the same credit again.
#[tokio::test(start_paused = true)]
async fn submissions_with_lost_replies_count_as_spent_until_their_records_appear() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    test.cluster
        .net
        .rule(Rule::all(&host(1), STATE, Action::LoseAnswer).path("/multi").body("dc/j/").times(12));
    let ids = test.flood(1, "a", millis(200), MINUTE).await;
    assert!(test.cluster.net.matched(Action::LoseAnswer) > 0);
    assert!(test.accepted_count(&ids) > 40);
    test.assert_limit_recovered().await;
}

// The leader is killed while its grants are lost, delayed, or committed without a reply. Its
// successor must not grant the same credit a second time.
#[tokio::test(start_paused = true)]
async fn leader_killed_during_a_grant_breaks_no_limit() {
    for action in [Action::LoseAnswer, Action::Drop, Action::Hold] {
        let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
        test.until_credit_required().await;
        let faults = async {
            for _ in 0..4 {
                pause(5.0).await;
                let Some(leader) = test.cluster.leader() else { continue };
                test.cluster.net.rule(Rule::all(&host(leader), STATE, action).path("/multi").body("dc/a/g/"));
                pause(2.5).await;
                test.cluster.kill_node(leader);
                pause(1.0).await;
                test.cluster.start_node(leader);
                test.cluster.until("a leader", || test.cluster.leader().is_some()).await;
                pause(5.0).await;
                test.cluster.net.clear_rules();
                test.cluster.net.deliver().await;
            }
        };
        let (ids, ()) = tokio::join!(test.flood(1, "a", millis(200), MINUTE), faults);
        assert!(test.cluster.net.matched(action) > 0, "{action:?}");
        assert!(test.accepted_count(&ids) > 30, "{action:?}");
        test.assert_limit_recovered().await;
    }
}

// Grants of a leader that lost its lease reach the state service after another controller leads.
// They must not be committed on top of the successor's grants.
#[tokio::test(start_paused = true)]
async fn deposed_leader_cannot_commit_delayed_grants() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let faults = async {
        for _ in 0..3 {
            pause(4.0).await;
            let Some(old) = test.cluster.leader() else { continue };
            // Holds the leader's grants back until another controller leads.
            test.cluster.net.rule(Rule::all(&host(old), STATE, Action::Hold).path("/multi").body("dc/a/"));
            pause(1.0).await;
            test.cluster.state.bar(&host(old), true);
            pause(7.0).await;
            test.cluster.net.clear_rules();
            test.cluster.net.deliver().await;
            test.cluster.state.bar(&host(old), false);
            test.cluster.net.deliver().await;
            pause(6.0).await;
        }
    };
    let (ids, ()) = tokio::join!(test.flood(1, "a", millis(200), MINUTE), faults);
    assert!(test.cluster.net.matched(Action::Hold) > 0);
    assert!(test.accepted_count(&ids) > 40);
    test.assert_limit_recovered().await;
}

// All controllers lose the state service at full use of the limit. Afterwards nearly all of the
// limit must be available again.
#[tokio::test(start_paused = true)]
async fn state_service_outage_under_overload_loses_no_credit() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let faults = async {
        pause(15.0).await;
        test.cluster.state.outage(true);
        pause(20.0).await;
        test.cluster.state.outage(false);
    };
    let (ids, ()) = tokio::join!(test.flood(1, "a", millis(200), MINUTE), faults);
    assert!(test.accepted_count(&ids) > 40);
    test.assert_limit_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn controller_cut_off_longer_than_its_leases_does_not_spend_old_credit() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let faults = async {
        pause(2.0).await;
        let n = (0..3).find(|n| test.cluster.leader() != Some(*n)).unwrap();
        test.cluster.state.bar(&host(n), true);
        // Longer than every lease, so that the credit of the controller has expired.
        pause(45.0).await;
        test.cluster.state.bar(&host(n), false);
    };
    let (ids, ()) = tokio::join!(test.flood(1, "a", millis(200), Duration::from_secs(80)), faults);
    assert!(test.accepted_count(&ids) > 60);
    test.assert_limit_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn unused_credit_of_idle_controllers_is_granted_to_a_busy_one() {
    let test = OverloadTest::start(3, 8, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    // All users submit to the same controller.
    let begun = tokio::time::Instant::now();
    let mut accepted = 0;
    for job in 0..600 {
        let id = format!("run-{job}");
        test.cluster.checker.job(&id, "a", 4.0);
        let (status, _) = test.cluster.call(0, Method::POST, "/v2/runs", &job_body(&id, "a", 1)).await;
        accepted += usize::from(status == 201);
        pause(0.2).await;
    }
    // 8 machines complete 3.2 tasks per second; an eighth of the limit may stay unused.
    let rate = accepted as f64 / begun.elapsed().as_secs_f64();
    assert!(rate > 1.5, "{accepted} accepted, {rate:.2} a second");
    let result = test.assert_rules_kept();
    assert!(result.peak_use <= 1.0);
}

#[tokio::test(start_paused = true)]
async fn share_of_an_idle_team_is_lent_out_and_returned() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let time = Duration::from_secs(100);
    let (a, _) = tokio::join!(test.flood(1, "a", millis(400), time), test.flood(2, "b", millis(400), time));
    test.until_users_finished().await;
    let together = test.accepted_count(&a);
    let alone = test.flood(3, "a", millis(400), time).await;
    test.until_users_finished().await;
    assert!(
        test.accepted_count(&alone) as f64 > 1.3 * together as f64,
        "{together} {}",
        test.accepted_count(&alone)
    );
    let (a, b) = tokio::join!(test.flood(4, "a", millis(400), time), test.flood(5, "b", millis(400), time));
    test.until_users_finished().await;
    let (a, b) = (test.accepted_count(&a), test.accepted_count(&b));
    assert!(b * 3 > a * 2, "{a} {b}");
    test.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn thousands_of_small_jobs_do_not_starve_a_large_one() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let large = async {
        pause(20.0).await;
        // A job that needs a quarter of the limit.
        test.spawn_user("run-77", "a", 10);
    };
    tokio::join!(test.flood(1, "a", millis(100), Duration::from_secs(80)), large);
    test.until_users_finished().await;
    assert!(test.answers.lock().unwrap().accepted.contains_key("run-77"));
    let reservation_changes = test.cluster.state.history("dc/a/s").len();
    assert!(reservation_changes > 0, "credit must be reserved for the large job");
    test.assert_limit_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn losing_all_machines_under_overload_breaks_no_limit() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let faults = async {
        pause(20.0).await;
        for machine in test.cluster.cloud.machines() {
            test.cluster.cloud.take(&machine);
        }
    };
    let (ids, ()) = tokio::join!(test.flood(1, "a", millis(200), MINUTE), faults);
    assert!(test.accepted_count(&ids) > 30);
    test.assert_limit_recovered().await;
}

// The weights change one controller at a time. While controllers differ, the policy that the leader
// records holds.
#[tokio::test(start_paused = true)]
async fn team_weights_follow_the_leader_in_a_rolling_restart() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    let mut new_options = options_with_limit(LIMIT_CPU_S);
    let admission = new_options.admission.as_mut().unwrap();
    admission.teams = vec![dapplecroft_admission::settings::RawTeam {
        name: "b".into(),
        weight: Some(16.0),
        ..Default::default()
    }];
    let rollout = async {
        for n in 0..3 {
            pause(10.0).await;
            test.cluster.options_by_node.lock().unwrap().insert(n, new_options.clone());
            test.cluster.kill_node(n);
            pause(1.0).await;
            test.cluster.start_node(n);
        }
    };
    tokio::join!(test.flood(1, "a", millis(300), MINUTE), test.flood(2, "b", millis(300), MINUTE), rollout);
    let policy = test.cluster.state.value("dc/a/p").unwrap();
    assert_eq!(policy["w"]["b"], 16.0, "{policy}");
    let time = Duration::from_secs(150);
    let (a, b) = tokio::join!(test.flood(3, "a", millis(400), time), test.flood(4, "b", millis(400), time));
    test.until_users_finished().await;
    let (a, b) = (test.accepted_count(&a), test.accepted_count(&b));
    assert!(b as f64 > 1.5 * a as f64, "{a} {b}");
    test.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn credit_is_not_required_while_a_controller_lacks_admission_control() {
    let without_admission = Options::default();
    let test = OverloadTest::start_prepared(3, 4, options_with_limit(LIMIT_CPU_S), |cluster| {
        cluster.options_by_node.lock().unwrap().insert(2, without_admission.clone());
    })
    .await;
    let ids = test.flood(1, "a", millis(200), Duration::from_secs(20)).await;
    test.until_users_finished().await;
    assert!(!test.is_credit_required());
    assert_eq!(
        test.accepted_count(&ids),
        ids.len(),
        "every job must be accepted as without admission control"
    );
    // The controller gets admission control; then another controller is restarted without it.
    test.cluster.options_by_node.lock().unwrap().clear();
    test.cluster.kill_node(2);
    test.cluster.start_node(2);
    test.until_credit_required().await;
    test.flood(2, "a", millis(200), Duration::from_secs(20)).await;
    test.cluster.options_by_node.lock().unwrap().insert(0, without_admission);
    test.cluster.kill_node(0);
    test.cluster.start_node(0);
    test.cluster.until("credit is no longer required", || !test.is_credit_required()).await;
    pause(2.0).await;
    let ids = test.flood(3, "a", millis(200), Duration::from_secs(10)).await;
    test.until_users_finished().await;
    assert_eq!(test.accepted_count(&ids), ids.len());
    test.assert_rules_kept();
}

// The leader can't tell how much credit a corrupt grant record had granted. It must treat that
// credit as spent.
#[tokio::test(start_paused = true)]
async fn unreadable_grant_record_counts_as_spent() {
    let test = OverloadTest::start(3, 4, options_with_limit(LIMIT_CPU_S)).await;
    test.until_credit_required().await;
    test.cluster.state.put("dc/a/g/0", json!("nonsense"));
    let ids = test.flood(1, "a", millis(200), MINUTE).await;
    assert!(test.accepted_count(&ids) > 40, "{}", test.accepted_count(&ids));
    let leader = test.cluster.leader().unwrap();
    assert!(test.cluster.node(leader).admission_status().await.unreadable > 0);
    test.assert_limit_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn grants_of_nine_controllers_and_32_buckets_fit_the_smallest_record_limit() {
    let teams: Vec<Value> =
        (0..8).map(|n| json!({"name": format!("harbour-team-{n}"), "cpus": 4.0})).collect();
    let classes: Vec<Value> =
        (0..4).map(|n| json!({"kind": "finished", "class": format!("night-class-{n}")})).collect();
    let limits = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0});
    let platform = json!({"teams": teams, "objectives": classes, "now": limits});
    let test =
        OverloadTest::start_with_platform(9, 8, options_with_limit(LIMIT_CPU_S * 3), platform, |cluster| {
            cluster.state.limit(Limits { value: 2048, changes: 4, rate: 18.0 });
        })
        .await;
    test.until_credit_required().await;
    for round in 0..300u64 {
        let bucket = round % 32;
        let mut body = job_body(&format!("run-{round}"), &format!("harbour-team-{}", bucket / 4), 1);
        body["lane"] = json!(format!("night-class-{}", bucket % 4));
        test.spawn_user_with_body(body);
        pause(0.1).await;
    }
    test.until_users_finished().await;
    let refused = test.cluster.state.refused();
    assert_eq!((refused.values, refused.transactions), (0, 0));
    assert!(test.answers.lock().unwrap().status_counts[&429] > 100);
    let buckets: BTreeSet<u64> = test
        .answers
        .lock()
        .unwrap()
        .accepted
        .keys()
        .map(|id| id.trim_start_matches("run-").parse::<u64>().unwrap() % 32)
        .collect();
    assert_eq!(buckets.len(), 32, "every class of every team must have an accepted job");
    let grant_records = test.cluster.state.keys("dc/a/g/").len();
    assert!(grant_records > 1, "the grants must not fit one record");
    test.assert_limit_recovered().await;
}

#[tokio::test(start_paused = true)]
async fn ten_minutes_of_overload_with_controller_kills_keep_fair_shares() {
    let report = overload_hour::run_overload(7, Duration::from_secs(600), true).await;
    overload_hour::print_report(&report);
    assert!(report.controller_kills > 3 && report.leader_cuts > 0);
    assert!(report.result.peak_use <= 1.0);
    for team in &report.teams {
        let share = team.accepted as f64 / team.fair_share;
        assert!((0.75..1.3).contains(&share), "{team:?}");
        assert!(team.longest_gap < MINUTE, "{team:?}");
        assert!(team.worst_window_share > 0.4, "{team:?}");
    }
}
