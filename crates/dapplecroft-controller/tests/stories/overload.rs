//! Users that ask for more than can be done, and come back as they are told.

use crate::cluster::{Cluster, job};
use crate::credit_checker::{self, CheckResult};
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
pub const TASK_CPU_S: u64 = 40;
/// How long a user tries.
const USER_RETRY_PERIOD: Duration = Duration::from_secs(60);
/// How long a user waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// What users were told.
#[derive(Debug, Default)]
pub struct UserAnswers {
    /// When each job was accepted, by id.
    pub accepted: BTreeMap<String, Instant>,
    /// How often each status was answered.
    pub status_counts: BTreeMap<u16, usize>,
    /// The hints of refusals, in seconds.
    pub retry_after_s: Vec<u32>,
    /// The longest time that an answer took.
    pub slowest_answer: Duration,
}

pub struct OverloadTest {
    pub cluster: Arc<Cluster>,
    pub answers: Arc<Mutex<UserAnswers>>,
    users: Mutex<Vec<JoinHandle<()>>>,
    /// The name of a team.
    first_team: String,
}

/// Operators' settings with a limit of so many processor-seconds.
pub fn options_with_limit(limit: u64) -> Options {
    let admission = RawAdmission { limit_cpu_s: Some(limit), ..RawAdmission::default() };
    Options { admission: Some(admission), ..Options::default() }
}

/// A job of the shape that the stories' users submit.
pub fn job_body(id: &str, team: &str, tasks: u32) -> Value {
    job(id, team, tasks, 4.0, "normal")
}

/// Whom users find when they connect: each time another controller that is up.
async fn submit_once(cluster: &Cluster, body: &Value, attempt: usize) -> Option<(u16, Option<u32>)> {
    let up: Vec<usize> = (0..cluster.nodes).filter(|n| cluster.is_up(*n)).collect();
    let n = *up.get(attempt % up.len().max(1))?;
    let node = cluster.node(n);
    let request = body.to_string().into_bytes();
    let response = node.handle(&Method::POST, "/v2/runs", request.into());
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, response).await.ok()?;
    Some((reply.status, reply.retry_after))
}

/// One user's attempts at one job.
async fn submit_until_accepted(
    cluster: Arc<Cluster>,
    answers: Arc<Mutex<UserAnswers>>,
    body: Value,
    first_attempt: usize,
) {
    let id = body["id"].as_str().unwrap().to_string();
    let started = Instant::now();
    let mut attempt = first_attempt;
    while started.elapsed() < USER_RETRY_PERIOD {
        let sent = Instant::now();
        let answer = submit_once(&cluster, &body, attempt).await;
        let mut delay = Duration::from_secs(1);
        if let Some((status, retry_after)) = answer {
            let mut answers = answers.lock().unwrap();
            answers.slowest_answer = answers.slowest_answer.max(sent.elapsed());
            *answers.status_counts.entry(status).or_default() += 1;
            if status == 200 || status == 201 {
                answers.accepted.insert(id.clone(), Instant::now());
                cluster.referee.accepted(&id);
                return;
            }
            assert!([429, 503].contains(&status), "{status}");
            answers.retry_after_s.extend(retry_after);
            delay = delay.max(Duration::from_secs(u64::from(retry_after.unwrap_or(1).min(30))));
        }
        sleep(delay).await;
        attempt += 1;
    }
}

impl OverloadTest {
    /// So many controllers and machines, four teams of equal weight, and a limit.
    pub async fn start(nodes: usize, machines: usize, options: Options) -> OverloadTest {
        OverloadTest::start_prepared(nodes, machines, options, |_| {}).await
    }

    pub async fn start_prepared(
        nodes: usize,
        machines: usize,
        options: Options,
        prepare: impl FnOnce(&Cluster),
    ) -> OverloadTest {
        let teams: Vec<Value> =
            ["a", "b", "c", "d"].iter().map(|name| json!({"name": name, "cpus": 4.0})).collect();
        OverloadTest::start_with_teams(nodes, machines, options, teams, prepare).await
    }

    pub async fn start_with_teams(
        nodes: usize,
        machines: usize,
        options: Options,
        teams: Vec<Value>,
        prepare: impl FnOnce(&Cluster),
    ) -> OverloadTest {
        OverloadTest::start_with_platform(nodes, machines, options, json!({"teams": teams}), prepare).await
    }

    /// The same with whatever the platform says.
    pub async fn start_with_platform(
        nodes: usize,
        machines: usize,
        options: Options,
        platform: Value,
        prepare: impl FnOnce(&Cluster),
    ) -> OverloadTest {
        let first_team = platform["teams"][0]["name"].as_str().unwrap().to_string();
        let cluster = Cluster::of(nodes, machines, |_| {}, options, platform, prepare).await;
        OverloadTest {
            cluster: Arc::new(cluster),
            answers: Arc::default(),
            users: Mutex::default(),
            first_team,
        }
    }

    /// Waits until credit is demanded.
    pub async fn until_credit_required(&self) {
        self.cluster.until("credit is demanded", || self.is_credit_required()).await;
    }

    pub fn is_credit_required(&self) -> bool {
        self.cluster.state.value("dc/a/p").is_some_and(|policy| policy["on"] == true)
    }

    /// A user begins to submit a job.
    pub fn spawn_user(&self, id: &str, team: &str, tasks: u32) {
        self.spawn_user_with_body(job_body(id, team, tasks));
    }

    /// A user begins to submit what is given.
    pub fn spawn_user_with_body(&self, body: Value) {
        let id = body["id"].as_str().unwrap();
        self.cluster.referee.job(id, body["crew"].as_str().unwrap(), 4.0);
        let first_attempt = id.bytes().map(usize::from).sum();
        let work = submit_until_accepted(self.cluster.clone(), self.answers.clone(), body, first_attempt);
        self.users.lock().unwrap().push(tokio::spawn(work));
    }

    /// A team's users submit jobs of one task at even intervals for some time; ids begin
    /// with `run-` and the number.
    pub async fn flood(
        &self,
        id_base: u64,
        team: &str,
        interval: Duration,
        duration: Duration,
    ) -> Vec<String> {
        let started = Instant::now();
        let mut ids = Vec::new();
        while started.elapsed() < duration {
            let id = format!("run-{}", id_base * 1_000_000 + ids.len() as u64);
            self.spawn_user(&id, team, 1);
            ids.push(id);
            sleep(interval).await;
        }
        ids
    }

    /// How many of these jobs were accepted.
    pub fn accepted_count(&self, ids: &[String]) -> usize {
        let answers = self.answers.lock().unwrap();
        ids.iter().filter(|id| answers.accepted.contains_key(*id)).count()
    }

    /// All users have given up or were accepted.
    pub async fn until_users_finished(&self) {
        let users: Vec<JoinHandle<()>> = self.users.lock().unwrap().drain(..).collect();
        for user in users {
            user.await.unwrap();
        }
    }

    /// The history is as it has to be, and every job that a user was told to be accepted
    /// has a record.
    pub fn assert_rules_kept(&self) -> CheckResult {
        let result = credit_checker::check_history(&self.cluster.state);
        assert_eq!(result.violations, Vec::<String>::new());
        for id in self.answers.lock().unwrap().accepted.keys() {
            assert!(self.cluster.state.value(&format!("dc/j/{id}")).is_some(), "{id} is missing");
        }
        self.cluster.assert_rules_kept();
        result
    }

    /// All accepted work ends; then nearly all of the limit can be accepted again.
    pub async fn assert_limit_recovered(&self) -> CheckResult {
        self.until_users_finished().await;
        let jobs: Vec<String> = self.answers.lock().unwrap().accepted.keys().cloned().collect();
        for id in &jobs {
            self.cluster.until_stage(id, "done").await;
        }
        let all_ended = || credit_checker::check_history(&self.cluster.state).outstanding == 0;
        self.cluster.until("all work is over", all_ended).await;
        let recovered = credit_checker::check_history(&self.cluster.state);
        let submission_period =
            Duration::from_millis(20) * u32::try_from(2 * recovered.limit / TASK_CPU_S).unwrap();
        self.flood(900, &self.first_team, Duration::from_millis(20), submission_period).await;
        let limit_in_use = || {
            credit_checker::check_history(&self.cluster.state).last_full_revision > recovered.last_revision
        };
        self.cluster.until("nearly all of the limit is in use again", limit_in_use).await;
        self.assert_rules_kept()
    }
}
