//! Users that ask for more than can be done, and come back as they are told.

use crate::cluster::{Cluster, job};
use crate::credit_checker::{self, Verdict};
use dapplecroft_admission::RawAdmission;
use dapplecroft_controller::Options;
use http::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// What each task is charged, in processor-seconds: 4 processors for 10 s.
pub const TASK: u64 = 40;
/// How long a user tries.
const PATIENCE: Duration = Duration::from_secs(60);
/// How long a user waits for an answer.
const ANSWER: Duration = Duration::from_secs(5);

/// What users were told.
#[derive(Debug, Default)]
pub struct Told {
    /// When each job was accepted, by id.
    pub accepted: BTreeMap<String, Instant>,
    /// How often each status was answered.
    pub statuses: BTreeMap<u16, usize>,
    /// The hints of refusals, in seconds.
    pub hints: Vec<u32>,
    /// The longest time that an answer took.
    pub slowest: Duration,
}

pub struct Overload {
    pub cluster: Arc<Cluster>,
    pub told: Arc<Mutex<Told>>,
    users: Mutex<Vec<JoinHandle<()>>>,
    /// The name of a team.
    team: String,
}

/// Operators' settings with a limit of so many processor-seconds.
pub fn options(limit: u64) -> Options {
    let admission = RawAdmission { limit_cpu_s: Some(limit), ..RawAdmission::default() };
    Options { admission: Some(admission), ..Options::default() }
}

/// A job of the shape that the stories' users submit.
pub fn body(id: &str, team: &str, tasks: u32) -> Value {
    job(id, team, tasks, 4.0, "normal")
}

/// Whom users find when they connect: each time another controller that is up.
async fn submit_once(cluster: &Cluster, body: &Value, turn: usize) -> Option<(u16, Option<u32>)> {
    let up: Vec<usize> = (0..cluster.nodes).filter(|n| cluster.is_up(*n)).collect();
    let n = *up.get(turn % up.len().max(1))?;
    let node = cluster.node(n);
    let request = body.to_string().into_bytes();
    let answer = node.handle(&Method::POST, "/v2/runs", request.into());
    let reply = tokio::time::timeout(ANSWER, answer).await.ok()?;
    Some((reply.status, reply.retry_after))
}

/// One user's attempts at one job.
async fn persist(cluster: Arc<Cluster>, told: Arc<Mutex<Told>>, body: Value, first: usize) {
    let id = body["id"].as_str().unwrap().to_string();
    let begun = Instant::now();
    let mut turn = first;
    while begun.elapsed() < PATIENCE {
        let asked = Instant::now();
        let answer = submit_once(&cluster, &body, turn).await;
        let mut pause = Duration::from_secs(1);
        if let Some((status, hint)) = answer {
            let mut told = told.lock().unwrap();
            told.slowest = told.slowest.max(asked.elapsed());
            *told.statuses.entry(status).or_default() += 1;
            if status == 200 || status == 201 {
                told.accepted.insert(id.clone(), Instant::now());
                cluster.checker.accepted(&id);
                return;
            }
            assert!([429, 503].contains(&status), "{status}");
            told.hints.extend(hint);
            pause = pause.max(Duration::from_secs(u64::from(hint.unwrap_or(1).min(30))));
        }
        sleep(pause).await;
        turn += 1;
    }
}

impl Overload {
    /// So many controllers and machines, four teams of equal weight, and a limit.
    pub async fn start(nodes: usize, machines: usize, options: Options) -> Overload {
        Overload::with(nodes, machines, options, |_| {}).await
    }

    pub async fn with(
        nodes: usize,
        machines: usize,
        options: Options,
        prepare: impl FnOnce(&Cluster),
    ) -> Overload {
        let teams: Vec<Value> =
            ["a", "b", "c", "d"].iter().map(|name| json!({"name": name, "cpus": 4.0})).collect();
        Overload::of_teams(nodes, machines, options, teams, prepare).await
    }

    pub async fn of_teams(
        nodes: usize,
        machines: usize,
        options: Options,
        teams: Vec<Value>,
        prepare: impl FnOnce(&Cluster),
    ) -> Overload {
        Overload::on_platform(nodes, machines, options, json!({"teams": teams}), prepare).await
    }

    /// The same with whatever the platform says.
    pub async fn on_platform(
        nodes: usize,
        machines: usize,
        options: Options,
        next: Value,
        prepare: impl FnOnce(&Cluster),
    ) -> Overload {
        let team = next["teams"][0]["name"].as_str().unwrap().to_string();
        let cluster = Cluster::with_nodes(nodes, machines, |_| {}, options, next, prepare).await;
        Overload { cluster: Arc::new(cluster), told: Arc::default(), users: Mutex::default(), team }
    }

    /// Waits until credit is demanded.
    pub async fn until_in_force(&self) {
        self.cluster.until("credit is demanded", || self.is_in_force()).await;
    }

    pub fn is_in_force(&self) -> bool {
        self.cluster.state.value("dc/a/p").is_some_and(|policy| policy["on"] == true)
    }

    /// A user begins to submit a job.
    pub fn user(&self, id: &str, team: &str, tasks: u32) {
        self.user_with(body(id, team, tasks));
    }

    /// A user begins to submit what is given.
    pub fn user_with(&self, body: Value) {
        let id = body["id"].as_str().unwrap();
        self.cluster.checker.job(id, body["crew"].as_str().unwrap(), 4.0);
        let first = id.bytes().map(usize::from).sum();
        let work = persist(self.cluster.clone(), self.told.clone(), body, first);
        self.users.lock().unwrap().push(tokio::spawn(work));
    }

    /// A team's users submit jobs of one task at even intervals for some time; ids begin
    /// with `run-` and the number.
    pub async fn flood(&self, number: u64, team: &str, every: Duration, time: Duration) -> Vec<String> {
        let begun = Instant::now();
        let mut ids = Vec::new();
        while begun.elapsed() < time {
            let id = format!("run-{}", number * 1_000_000 + ids.len() as u64);
            self.user(&id, team, 1);
            ids.push(id);
            sleep(every).await;
        }
        ids
    }

    /// How many of these jobs were accepted.
    pub fn accepted(&self, ids: &[String]) -> usize {
        let told = self.told.lock().unwrap();
        ids.iter().filter(|id| told.accepted.contains_key(*id)).count()
    }

    /// All users have given up or were accepted.
    pub async fn until_users_are_gone(&self) {
        let users: Vec<JoinHandle<()>> = self.users.lock().unwrap().drain(..).collect();
        for user in users {
            user.await.unwrap();
        }
    }

    /// The history is as it has to be, and every job that a user was told to be accepted
    /// has a record.
    pub fn check(&self) -> Verdict {
        let verdict = credit_checker::check(&self.cluster.state);
        assert_eq!(verdict.faults, Vec::<String>::new());
        for id in self.told.lock().unwrap().accepted.keys() {
            assert!(self.cluster.state.value(&format!("dc/j/{id}")).is_some(), "{id} is missing");
        }
        self.cluster.assert_invariants_hold();
        verdict
    }

    /// All accepted work ends; then nearly all of the limit can be accepted again.
    pub async fn check_recovered(&self) -> Verdict {
        self.until_users_are_gone().await;
        let jobs: Vec<String> = self.told.lock().unwrap().accepted.keys().cloned().collect();
        for id in &jobs {
            self.cluster.until_stage(id, "done").await;
        }
        let rested = || credit_checker::check(&self.cluster.state).outstanding == 0;
        self.cluster.until("all work is over", rested).await;
        let before = credit_checker::check(&self.cluster.state);
        let enough = Duration::from_millis(20) * u32::try_from(2 * before.limit / TASK).unwrap();
        self.flood(900, &self.team, Duration::from_millis(20), enough).await;
        let full = || credit_checker::check(&self.cluster.state).last_full > before.revision;
        self.cluster.until("nearly all of the limit is in use again", full).await;
        self.check()
    }
}
