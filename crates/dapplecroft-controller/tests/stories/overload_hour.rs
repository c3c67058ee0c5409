//! A long overload of eight teams with unequal weights, while controllers end and the
//! leader is cut off; what each team got of it.

use crate::credit_checker::Verdict;
use crate::overload::{Overload, TASK, body, options};
use dapplecroft_controller::Options;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Weights, as guaranteed processors.
const WEIGHTS: [f64; 8] = [4.0, 4.0, 4.0, 4.0, 8.0, 8.0, 16.0, 16.0];
/// How much of its fair share each team offers: the first floods, the last is modest.
const OFFERS: [f64; 8] = [10.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0, 0.5];
const TASKS: u32 = 2;
const MACHINES: usize = 16;
/// Jobs that the machines do a second: four tasks a machine, for 10 s each.
const CAPACITY: f64 = MACHINES as f64 * 4.0 / 10.0 / TASKS as f64;
/// The limit is worked off in so many seconds.
const WORK_OFF: f64 = 60.0;
const WINDOW: Duration = Duration::from_secs(300);
const CONTROLLERS: usize = 3;

/// What one team got.
#[derive(Debug, Clone)]
pub struct TeamReport {
    pub team: String,
    pub offered: usize,
    pub fair: f64,
    pub accepted: usize,
    /// The longest time without an accepted job.
    pub longest_gap: Duration,
    /// The least part of its fair share that it got in any five minutes.
    pub worst_window: f64,
}

#[derive(Debug)]
pub struct Report {
    pub teams: Vec<TeamReport>,
    pub verdict: Verdict,
    pub requests: usize,
    pub refused: usize,
    pub changes: u64,
    pub credit_changes: usize,
    pub ends: usize,
    pub cuts: usize,
}

fn team(n: usize) -> String {
    format!("team-{n}")
}

/// Fair shares of a total by progressive filling in small steps; shares no code with the
/// crate that is measured.
fn fair_shares(total: f64, offered: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; offered.len()];
    let step = total / 100_000.0;
    let mut left = total;
    while left > step {
        let open: Vec<usize> = (0..offered.len()).filter(|n| shares[*n] < offered[*n]).collect();
        let weights: f64 = open.iter().map(|n| WEIGHTS[*n]).sum();
        if open.is_empty() {
            break;
        }
        for n in &open {
            shares[*n] += step * WEIGHTS[*n] / weights;
        }
        left -= step;
    }
    shares
}

/// One team's users, each with a job of its own, at about even intervals.
async fn offer(o: &Overload, n: usize, time: Duration, seed: u64) -> Vec<String> {
    let fair = CAPACITY * WEIGHTS[n] / WEIGHTS.iter().sum::<f64>();
    let mean = 1.0 / (fair * OFFERS[n]);
    let mut random = StdRng::seed_from_u64(seed * 100 + n as u64);
    let begun = Instant::now();
    let mut ids = Vec::new();
    while begun.elapsed() < time {
        let id = format!("run-{}", (n as u64 + 1) * 1_000_000 + ids.len() as u64);
        o.user_with(body(&id, &team(n), TASKS));
        ids.push(id);
        sleep(Duration::from_secs_f64(mean * random.random_range(0.5..1.5))).await;
    }
    ids
}

/// Ends controllers, and cuts the leader off from the state service, again and again.
async fn trouble(o: &Overload, time: Duration, seed: u64) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let begun = Instant::now();
    let (mut ends, mut cuts) = (0, 0);
    while begun.elapsed() < time {
        sleep(Duration::from_secs(random.random_range(20..60))).await;
        if random.random_range(0..3) > 0 {
            let n = random.random_range(0..CONTROLLERS);
            o.cluster.kill_node(n);
            sleep(Duration::from_millis(random.random_range(0..8000))).await;
            o.cluster.start_node(n);
            ends += 1;
        } else if let Some(leader) = o.cluster.leader() {
            let host = crate::cluster::host(leader);
            o.cluster.state.bar(&host, true);
            sleep(Duration::from_secs(random.random_range(3..15))).await;
            o.cluster.state.bar(&host, false);
            cuts += 1;
        }
    }
    (ends, cuts)
}

fn report_of(
    o: &Overload,
    n: usize,
    offered: &[String],
    fair: f64,
    time: Duration,
    begun: Instant,
) -> TeamReport {
    let told = o.told.lock().unwrap();
    let mut times: Vec<Duration> =
        offered.iter().filter_map(|id| told.accepted.get(id)).map(|at| *at - begun).collect();
    times.retain(|at| *at <= time);
    times.sort();
    let ends = [Duration::ZERO].into_iter().chain(times.iter().copied());
    let gaps = ends.zip(times.iter().copied().chain([time])).map(|(from, to)| to.saturating_sub(from));
    let longest_gap = gaps.max().unwrap_or(time);
    let in_window = |from: Duration| times.iter().filter(|at| **at >= from && **at < from + WINDOW).count();
    let fair_window = fair * WINDOW.as_secs_f64() / time.as_secs_f64();
    let starts = (0..).map(|k| Duration::from_secs(10 * k)).take_while(|from| *from + WINDOW <= time);
    let worst = starts.map(in_window).min().unwrap_or(0);
    TeamReport {
        team: team(n),
        offered: offered.len(),
        fair,
        accepted: times.len(),
        longest_gap,
        worst_window: worst as f64 / fair_window,
    }
}

/// So long an overload, with admission control or without.
pub async fn overload(seed: u64, time: Duration, with_admission: bool) -> Report {
    let limit = (CAPACITY * WORK_OFF) as u64 * TASK * u64::from(TASKS);
    let options = if with_admission { options(limit) } else { Options::default() };
    let teams: Vec<Value> =
        (0..WEIGHTS.len()).map(|n| json!({"name": team(n), "cpus": WEIGHTS[n]})).collect();
    let o = Overload::of_teams(CONTROLLERS, MACHINES, options, teams, |_| {}).await;
    if with_admission {
        o.until_in_force().await;
    }
    let begun = Instant::now();
    let before = (o.cluster.state.changes(), o.cluster.state.history("dc/a/").len());
    let offers = |n| offer(&o, n, time, seed);
    let (a, b, c, d, e, f, g, h, (ends, cuts)) = tokio::join!(
        offers(0),
        offers(1),
        offers(2),
        offers(3),
        offers(4),
        offers(5),
        offers(6),
        offers(7),
        trouble(&o, time, seed)
    );
    let changes = o.cluster.state.changes() - before.0;
    let credit_changes = o.cluster.state.history("dc/a/").len() - before.1;
    let offered = [a, b, c, d, e, f, g, h];
    let counts: Vec<f64> = offered.iter().map(|ids| ids.len() as f64).collect();
    let total: usize = offered.iter().map(|ids| o.accepted(ids)).sum();
    let fair = fair_shares(total as f64, &counts);
    let teams = (0..WEIGHTS.len()).map(|n| report_of(&o, n, &offered[n], fair[n], time, begun)).collect();
    let verdict = o.check();
    let told = o.told.lock().unwrap();
    let refused = told.statuses.get(&429).copied().unwrap_or(0);
    let requests = told.statuses.values().sum();
    Report { teams, verdict, requests, refused, changes, credit_changes, ends, cuts }
}

/// One line for each team, and one for the whole.
pub fn print(report: &Report) {
    for team in &report.teams {
        println!(
            "{}: offered {}, fair share {:.0}, accepted {} ({:.2} of it), longest without {:.0} s, worst five \
             minutes {:.2}",
            team.team,
            team.offered,
            team.fair,
            team.accepted,
            team.accepted as f64 / team.fair,
            team.longest_gap.as_secs_f64(),
            team.worst_window
        );
    }
    println!(
        "{} requests, {} refused with 429; {} changes tried, {} of them of credit; {} ends, {} cuts; at most {:.3} \
         of the limit; {} accepted, {} outstanding at the end",
        report.requests,
        report.refused,
        report.changes,
        report.credit_changes,
        report.ends,
        report.cuts,
        report.verdict.fullest,
        report.verdict.accepted,
        report.verdict.outstanding
    );
}
