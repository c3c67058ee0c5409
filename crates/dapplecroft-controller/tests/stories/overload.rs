//! A cluster with admission control, and users that submit more work than its limit allows and retry
//! as the Retry-After header tells them.

use crate::cluster::{Cluster, job};
use crate::credit_checker::{self, CheckResult};
use dapplecroft_admission::RawAdmissionConfig;
use dapplecroft_controller::Options;
use http::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Charge of each task in CPU-seconds: 4 CPUs for 10 s.
pub const TASK_CPU_S: u64 = 40;
/// How long a user retries one submission before giving up.
const USER_RETRY_PERIOD: Duration = Duration::from_secs(60);
/// How long a user waits for the reply to one request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Replies that the users of one test received.
#[derive(Debug, Default)]
pub struct UserAnswers {
    /// When the user of each accepted job received the acceptance, by job id.
    pub accepted: BTreeMap<String, Instant>,
    /// Number of replies by HTTP status.
    pub status_counts: BTreeMap<u16, usize>,
    /// Values of the Retry-After header, in seconds.
    pub retry_after_s: Vec<u32>,
    /// Longest time between a request and its reply.
    pub slowest_answer: Duration,
}

/// A cluster under test and the simulated users that submit jobs to it.
pub struct OverloadTest {
    pub cluster: Arc<Cluster>,
    pub answers: Arc<Mutex<UserAnswers>>,
    users: Mutex<Vec<JoinHandle<()>>>,
    /// Name of the first configured team; [`OverloadTest::assert_limit_recovered`] submits as this team.
    first_team: String,
}

/// Controller options that switch on admission control with a limit in CPU-seconds.
pub fn options_with_limit(limit: u64) -> Options {
    let admission = RawAdmissionConfig { limit_cpu_s: Some(limit), ..RawAdmissionConfig::default() };
    Options { admission: Some(admission), ..Options::default() }
}

/// Body of a submission: tasks of 4 CPUs at normal rank.
pub fn job_body(id: &str, team: &str, tasks: u32) -> Value {
    job(id, team, tasks, 4.0, "normal")
}

/// Sends one submission. Each attempt goes to the next of the running controllers. Returns the HTTP
/// status and the Retry-After value, or `None` if no controller is running or none replies in time.
async fn submit_once(cluster: &Cluster, body: &Value, attempt: usize) -> Option<(u16, Option<u32>)> {
    let up: Vec<usize> = (0..cluster.nodes).filter(|n| cluster.is_up(*n)).collect();
    let n = *up.get(attempt % up.len().max(1))?;
    let node = cluster.node(n);
    let request = body.to_string().into_bytes();
    let response = node.handle(&Method::POST, "/v2/runs", request.into());
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, response).await.ok()?;
    Some((reply.status, reply.retry_after))
}

/// Submits one job again and again until a controller accepts it or [`USER_RETRY_PERIOD`] is over. Waits
/// between attempts as the Retry-After header says, for 1 to 30 s.
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
                cluster.checker.accepted(&id);
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
    /// Starts `nodes` controllers, with a cloud of up to `machines` machines and four teams of
    /// equal weight.
    pub async fn start(nodes: usize, machines: usize, options: Options) -> OverloadTest {
        OverloadTest::start_prepared(nodes, machines, options, |_| {}).await
    }

    /// Like [`OverloadTest::start`], but calls `prepare` before the controllers start.
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

    /// Like [`OverloadTest::start_prepared`], with the given teams.
    pub async fn start_with_teams(
        nodes: usize,
        machines: usize,
        options: Options,
        teams: Vec<Value>,
        prepare: impl FnOnce(&Cluster),
    ) -> OverloadTest {
        OverloadTest::start_with_platform(nodes, machines, options, json!({"teams": teams}), prepare).await
    }

    /// Like [`OverloadTest::start_with_teams`], with teams, objectives and state service limits
    /// from `platform`.
    pub async fn start_with_platform(
        nodes: usize,
        machines: usize,
        options: Options,
        platform: Value,
        prepare: impl FnOnce(&Cluster),
    ) -> OverloadTest {
        let first_team = platform["teams"][0]["name"].as_str().unwrap().to_string();
        let cluster = Cluster::with_nodes(nodes, machines, |_| {}, options, platform, prepare).await;
        OverloadTest {
            cluster: Arc::new(cluster),
            answers: Arc::default(),
            users: Mutex::default(),
            first_team,
        }
    }

    /// Waits until the leader requires credit for submissions.
    pub async fn until_credit_required(&self) {
        self.cluster.until("credit is required for submissions", || self.is_credit_required()).await;
    }

    /// Whether the policy record in the state service requires credit for submissions.
    pub fn is_credit_required(&self) -> bool {
        self.cluster.state.value("dc/a/p").is_some_and(|policy| policy["on"] == true)
    }

    /// Starts a user that submits a job with this number of tasks.
    pub fn spawn_user(&self, id: &str, team: &str, tasks: u32) {
        self.spawn_user_with_body(job_body(id, team, tasks));
    }

    /// Starts a user that submits the job in `body`.
    pub fn spawn_user_with_body(&self, body: Value) {
        let id = body["id"].as_str().unwrap();
        self.cluster.checker.job(id, body["crew"].as_str().unwrap(), 4.0);
        let first_attempt = id.bytes().map(usize::from).sum();
        let work = submit_until_accepted(self.cluster.clone(), self.answers.clone(), body, first_attempt);
        self.users.lock().unwrap().push(tokio::spawn(work));
    }

    /// Starts a user with a job of one task at every `interval` for `duration`. Returns the job
    /// ids: `run-` and a number, counted from a million times `id_base`.
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

    /// How many of these jobs were accepted according to their users.
    pub fn accepted_count(&self, ids: &[String]) -> usize {
        let answers = self.answers.lock().unwrap();
        ids.iter().filter(|id| answers.accepted.contains_key(*id)).count()
    }

    /// Waits until every user has had its job accepted or has given up.
    pub async fn until_users_finished(&self) {
        let users: Vec<JoinHandle<()>> = self.users.lock().unwrap().drain(..).collect();
        for user in users {
            user.await.unwrap();
        }
    }

    /// Checks that the history of the state service breaks no rule of admission control, that every job
    /// reported as accepted has a record, and that the invariants of the cluster hold.
    pub fn assert_rules_kept(&self) -> CheckResult {
        let result = credit_checker::check_history(&self.cluster.state);
        assert_eq!(result.violations, Vec::<String>::new());
        for id in self.answers.lock().unwrap().accepted.keys() {
            assert!(self.cluster.state.value(&format!("dc/j/{id}")).is_some(), "{id} is missing");
        }
        self.cluster.assert_invariants_hold();
        result
    }

    /// Waits until all accepted work has ended, then submits twice the limit and waits until nine
    /// tenths of the limit are in use: credit that a fault had leaked would be missing.
    pub async fn assert_limit_recovered(&self) -> CheckResult {
        self.until_users_finished().await;
        let jobs: Vec<String> = self.answers.lock().unwrap().accepted.keys().cloned().collect();
        for id in &jobs {
            self.cluster.until_stage(id, "done").await;
        }
        let all_ended = || credit_checker::check_history(&self.cluster.state).outstanding == 0;
        self.cluster.until("all accepted work has ended", all_ended).await;
        let recovered = credit_checker::check_history(&self.cluster.state);
        let submission_period =
            Duration::from_millis(20) * u32::try_from(2 * recovered.limit / TASK_CPU_S).unwrap();
        self.flood(900, &self.first_team, Duration::from_millis(20), submission_period).await;
        let limit_in_use = || {
            credit_checker::check_history(&self.cluster.state).last_full_revision > recovered.last_revision
        };
        self.cluster.until("nine tenths of the limit are in use again", limit_in_use).await;
        self.assert_rules_kept()
    }
}
