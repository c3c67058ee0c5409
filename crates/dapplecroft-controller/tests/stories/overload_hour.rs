//! A long overload by eight teams of unequal weights, while controllers are killed and the leader
//! is cut off from the state service. Measures how much of its fair share each team gets.

use crate::credit_checker::CheckResult;
use crate::overload::{OverloadTest, TASK_CPU_S, job_body, options_with_limit};
use dapplecroft_controller::Options;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Weights of the teams, set as their guaranteed CPUs.
const TEAM_WEIGHTS: [f64; 8] = [4.0, 4.0, 4.0, 4.0, 8.0, 8.0, 16.0, 16.0];
/// Work that each team submits, as a multiple of its weighted share of the capacity. The first team
/// floods the cluster, the last submits less than its share.
const OFFERED_FAIR_SHARES: [f64; 8] = [10.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0, 0.5];
const TASKS_PER_JOB: u32 = 2;
const MACHINES: usize = 16;
/// Jobs that the machines complete per second: each machine runs four tasks at a time, for 10 s each.
const CAPACITY_JOBS_PER_S: f64 = MACHINES as f64 * 4.0 / 10.0 / TASKS_PER_JOB as f64;
/// Time in which the machines complete as much work as the limit allows.
const LIMIT_WORK_OFF_S: f64 = 60.0;
/// Length of the windows in which the least share of a team is measured.
const FAIRNESS_WINDOW: Duration = Duration::from_secs(300);
const CONTROLLERS: usize = 3;

/// Acceptances of one team.
#[derive(Debug, Clone)]
pub struct TeamReport {
    pub team: String,
    /// Number of jobs submitted.
    pub offered: usize,
    /// Number of jobs that would be accepted with max-min fairness by weight.
    pub fair_share: f64,
    /// Number of jobs accepted.
    pub accepted: usize,
    /// Longest time without an accepted job.
    pub longest_gap: Duration,
    /// Smallest fraction of its fair share that the team got in any [`FAIRNESS_WINDOW`].
    pub worst_window_share: f64,
}

/// Outcome of one run.
#[derive(Debug)]
pub struct Report {
    pub teams: Vec<TeamReport>,
    pub result: CheckResult,
    /// Number of replies that users received.
    pub requests: usize,
    /// Number of replies with status 429.
    pub refused: usize,
    /// Number of puts and deletes requested from the state service, including those that failed.
    pub state_changes: u64,
    /// Number of committed changes of admission control records.
    pub credit_changes: usize,
    /// How often a controller was killed.
    pub controller_kills: usize,
    /// How often the leader was cut off from the state service.
    pub leader_cuts: usize,
}

fn team_name(n: usize) -> String {
    format!("team-{n}")
}

/// Max-min fair shares of a total by weight, by progressive filling in small steps. Shares no code
/// with the crate under test.
fn fair_shares(total: f64, offered: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; offered.len()];
    let step = total / 100_000.0;
    let mut left = total;
    while left > step {
        let open: Vec<usize> = (0..offered.len()).filter(|n| shares[*n] < offered[*n]).collect();
        let weights: f64 = open.iter().map(|n| TEAM_WEIGHTS[*n]).sum();
        if open.is_empty() {
            break;
        }
        for n in &open {
            shares[*n] += step * TEAM_WEIGHTS[*n] / weights;
        }
        left -= step;
    }
    shares
}

/// Starts users of one team for `duration`, each with its own job, at random intervals around the
/// mean that [`OFFERED_FAIR_SHARES`] gives.
async fn submit_for_team(test: &OverloadTest, n: usize, duration: Duration, seed: u64) -> Vec<String> {
    let fair = CAPACITY_JOBS_PER_S * TEAM_WEIGHTS[n] / TEAM_WEIGHTS.iter().sum::<f64>();
    let mean_interval_s = 1.0 / (fair * OFFERED_FAIR_SHARES[n]);
    let mut random = StdRng::seed_from_u64(seed * 100 + n as u64);
    let started = Instant::now();
    let mut ids = Vec::new();
    while started.elapsed() < duration {
        let id = format!("run-{}", (n as u64 + 1) * 1_000_000 + ids.len() as u64);
        test.spawn_user_with_body(job_body(&id, &team_name(n), TASKS_PER_JOB));
        ids.push(id);
        sleep(Duration::from_secs_f64(mean_interval_s * random.random_range(0.5..1.5))).await;
    }
    ids
}

/// Repeatedly kills a random controller or cuts the leader off from the state service. Returns how
/// often it did each.
async fn inject_faults(test: &OverloadTest, duration: Duration, seed: u64) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let started = Instant::now();
    let (mut controller_kills, mut leader_cuts) = (0, 0);
    while started.elapsed() < duration {
        sleep(Duration::from_secs(random.random_range(20..60))).await;
        if random.random_range(0..3) > 0 {
            let n = random.random_range(0..CONTROLLERS);
            test.cluster.kill_node(n);
            sleep(Duration::from_millis(random.random_range(0..8000))).await;
            test.cluster.start_node(n);
            controller_kills += 1;
        } else if let Some(leader) = test.cluster.leader() {
            let host = crate::cluster::host(leader);
            test.cluster.state.bar(&host, true);
            sleep(Duration::from_secs(random.random_range(3..15))).await;
            test.cluster.state.bar(&host, false);
            leader_cuts += 1;
        }
    }
    (controller_kills, leader_cuts)
}

/// Computes the report of team `n` from the acceptances within `duration`.
fn team_report(
    test: &OverloadTest,
    n: usize,
    offered: &[String],
    fair: f64,
    duration: Duration,
    started: Instant,
) -> TeamReport {
    let answers = test.answers.lock().unwrap();
    let mut times: Vec<Duration> =
        offered.iter().filter_map(|id| answers.accepted.get(id)).map(|at| *at - started).collect();
    times.retain(|at| *at <= duration);
    times.sort();
    let gap_starts = [Duration::ZERO].into_iter().chain(times.iter().copied());
    let gaps =
        gap_starts.zip(times.iter().copied().chain([duration])).map(|(from, to)| to.saturating_sub(from));
    let longest_gap = gaps.max().unwrap_or(duration);
    let in_window =
        |from: Duration| times.iter().filter(|at| **at >= from && **at < from + FAIRNESS_WINDOW).count();
    let fair_window = fair * FAIRNESS_WINDOW.as_secs_f64() / duration.as_secs_f64();
    let starts =
        (0..).map(|k| Duration::from_secs(10 * k)).take_while(|from| *from + FAIRNESS_WINDOW <= duration);
    let worst = starts.map(in_window).min().unwrap_or(0);
    TeamReport {
        team: team_name(n),
        offered: offered.len(),
        fair_share: fair,
        accepted: times.len(),
        longest_gap,
        worst_window_share: worst as f64 / fair_window,
    }
}

/// Runs an overload of the given duration, with admission control or without.
pub async fn run_overload(seed: u64, duration: Duration, with_admission: bool) -> Report {
    let limit = (CAPACITY_JOBS_PER_S * LIMIT_WORK_OFF_S) as u64 * TASK_CPU_S * u64::from(TASKS_PER_JOB);
    let options = if with_admission { options_with_limit(limit) } else { Options::default() };
    let teams: Vec<Value> =
        (0..TEAM_WEIGHTS.len()).map(|n| json!({"name": team_name(n), "cpus": TEAM_WEIGHTS[n]})).collect();
    let test = OverloadTest::start_with_teams(CONTROLLERS, MACHINES, options, teams, |_| {}).await;
    if with_admission {
        test.until_credit_required().await;
    }
    let started = Instant::now();
    let before = (test.cluster.state.changes(), test.cluster.state.history("dc/a/").len());
    let submissions = |n| submit_for_team(&test, n, duration, seed);
    let (a, b, c, d, e, f, g, h, (controller_kills, leader_cuts)) = tokio::join!(
        submissions(0),
        submissions(1),
        submissions(2),
        submissions(3),
        submissions(4),
        submissions(5),
        submissions(6),
        submissions(7),
        inject_faults(&test, duration, seed)
    );
    let state_changes = test.cluster.state.changes() - before.0;
    let credit_changes = test.cluster.state.history("dc/a/").len() - before.1;
    let offered = [a, b, c, d, e, f, g, h];
    let counts: Vec<f64> = offered.iter().map(|ids| ids.len() as f64).collect();
    let total: usize = offered.iter().map(|ids| test.accepted_count(ids)).sum();
    let fair = fair_shares(total as f64, &counts);
    let teams = (0..TEAM_WEIGHTS.len())
        .map(|n| team_report(&test, n, &offered[n], fair[n], duration, started))
        .collect();
    let result = test.assert_rules_kept();
    let answers = test.answers.lock().unwrap();
    let refused = answers.status_counts.get(&429).copied().unwrap_or(0);
    let requests = answers.status_counts.values().sum();
    Report { teams, result, requests, refused, state_changes, credit_changes, controller_kills, leader_cuts }
}

/// Prints one line per team and one for the whole run.
pub fn print_report(report: &Report) {
    for team in &report.teams {
        println!(
            "{}: offered {}, fair share {:.0}, accepted {} ({:.2} of it), longest gap {:.0} s, worst five \
             minutes {:.2} of the fair share",
            team.team,
            team.offered,
            team.fair_share,
            team.accepted,
            team.accepted as f64 / team.fair_share,
            team.longest_gap.as_secs_f64(),
            team.worst_window_share
        );
    }
    println!(
        "{} requests, {} refused with 429; {} changes requested, {} of admission control made; {} controllers \
         killed, {} leader cut-offs; at most {:.3} of the limit; {} accepted, {} outstanding at the end",
        report.requests,
        report.refused,
        report.state_changes,
        report.credit_changes,
        report.controller_kills,
        report.leader_cuts,
        report.result.peak_use,
        report.result.accepted,
        report.result.outstanding
    );
}
