//! The users' interface.

use crate::admission::OpenSpending;
use crate::core::{Ruling, SubmissionPlan};
use crate::jobs::Job;
use crate::node::{Answered, Node, Question, Reply, lock, now};
use crate::records::{self, JobRecord, JobStage, stored_size};
use bytes::Bytes;
use dapplecroft_sched::Resources;
use dapplecroft_state::{AtomicUpdate, UpdateResult};
use dapplecroft_wire::MAX_BODY_BYTES;
use dapplecroft_wire::peer::ForwardRequest;
use dapplecroft_wire::state::{Change, Condition};
use dapplecroft_wire::users::{JobSpec, JobStatus, Stage, valid_id};
use http::Method;
use rand::RngExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;

/// Users wait 5 s for a submission and 2 s for a poll; after that an answer is
/// of no use to them.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(4500);
const READ_TIMEOUT: Duration = Duration::from_millis(1800);

/// Bytes of a value that are kept for what is noted of a job later on.
const NOTES: usize = 200;

/// Seconds after which to ask again about a job that another cell answers for.
const OTHER_CELL_RETRY: u32 = 5;

/// Bytes of a tag of admission control beside its names: two numbers and what separates
/// them.
const TAG_NUMBERS: usize = 64;

/// How often a submission is looked at again when what it was bound to has changed.
const MAX_RULINGS: usize = 3;

/// Questions waiting for the state service beyond which reads are refused.
const MAX_QUESTIONS: usize = 1000;

/// What is known of a job's id, for certain.
enum Known {
    /// Its status, fresh.
    Job(JobStatus),
    /// There is no such job.
    Nothing,
    /// It is here for another cell, which alone answers for it.
    OtherCell,
    /// It can't be told now.
    Unavailable,
}

impl Node {
    /// Answers a user, through a peer while this node alone has lost the state
    /// service.
    pub(crate) async fn user_request(self: &Arc<Self>, method: &Method, path: &str, body: Bytes) -> Reply {
        let helper = *lock(&self.helper);
        if let Some(peer) = helper.and_then(|n| self.settings.peers.get(n)) {
            let request =
                ForwardRequest { method: method.to_string(), path: path.to_string(), body: body.to_vec() };
            if let Some(reply) = self.peers.forward(peer, request).await {
                return reply;
            }
        }
        self.answer_user(method, path, body).await
    }

    pub(crate) async fn answer_user(self: &Arc<Self>, method: &Method, path: &str, body: Bytes) -> Reply {
        let Some(rest) = path.strip_prefix("/v2/runs") else {
            return Reply::problem(404, "no such path");
        };
        let parts: Vec<&str> = rest.split('/').skip(1).collect();
        if body.len() > MAX_BODY_BYTES {
            return Reply::problem(400, "over 64 KiB");
        }
        // A bounded number of requests at a time: what is more is told to come
        // back at once instead of waiting for nothing.
        let slot = self.requests.fetch_add(1, Ordering::Relaxed);
        let reply = if slot >= self.options.max_requests {
            Reply::busy("overloaded", 2)
        } else {
            match (method, parts.as_slice()) {
                (&Method::POST, []) => limited(CHANGE_TIMEOUT, self.submit(&body)).await,
                (&Method::GET, [id]) => limited(READ_TIMEOUT, self.show(id)).await,
                (&Method::POST, [id, "withdraw"]) => limited(CHANGE_TIMEOUT, self.withdraw(id)).await,
                (_, [] | [_] | [_, "withdraw"]) => Reply::problem(405, "no such method"),
                _ => Reply::problem(404, "no such path"),
            }
        };
        self.requests.fetch_sub(1, Ordering::Relaxed);
        reply
    }

    /// What is committed about a job. Done and withdrawn never change, so they are
    /// answered from memory, also in an outage; anything else, "no such job" included, is
    /// confirmed with the state service first.
    async fn known(self: &Arc<Self>, id: &str) -> Known {
        let key = records::job_key(id);
        let version = self.with(|core| match core.jobs.get(id) {
            _ if core.is_visiting(id) => Err(Known::OtherCell),
            Some(Job::Open(job)) if job.is_open() => Ok(job.version),
            Some(Job::Away(job)) => Ok(job.version),
            Some(job) => Err(Known::Job(job.status(id))),
            None => Ok(0),
        });
        let version = match version {
            Ok(version) => version,
            Err(known) => return known,
        };
        if self.ask(key, version).await == Answered::Unavailable {
            return Known::Unavailable;
        }
        self.with(|core| match core.jobs.get(id) {
            _ if core.is_visiting(id) => Known::OtherCell,
            Some(job) => Known::Job(job.status(id)),
            None => Known::Nothing,
        })
    }

    /// Asks whether a key still has a version; if not, it is read again.
    async fn ask(&self, key: String, version: u64) -> Answered {
        let (reply, answer) = oneshot::channel();
        {
            let mut questions = lock(&self.questions);
            if questions.len() >= MAX_QUESTIONS {
                return Answered::Unavailable;
            }
            questions.push(Question { key, version, reply });
        }
        self.wake_questions.notify_one();
        answer.await.unwrap_or(Answered::Unavailable)
    }

    async fn show(self: &Arc<Self>, id: &str) -> Reply {
        if !valid_id(id) {
            return Reply::problem(404, "no such job");
        }
        match self.known(id).await {
            Known::Job(status) => Reply::json(200, &status),
            Known::Nothing => Reply::problem(404, "no such job"),
            Known::OtherCell => other_cell(),
            Known::Unavailable => Reply::busy("state service out of reach", 1),
        }
    }

    async fn submit(self: &Arc<Self>, body: &[u8]) -> Reply {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(error) => return Reply::problem(400, &error),
        };
        let id = spec.id.clone();
        if self.with(|core| core.jobs.contains_key(id.as_str())) {
            return self.repeated(&id).await;
        }
        match self.judge(&spec) {
            Judgement::Fits => {}
            Judgement::Unknown => return Reply::busy("machine types not known yet", 2),
            Judgement::Never(error) => {
                return self.unless_known(&id, 422, &error).await;
            }
        }
        if spec.is_service() && self.with(|core| core.uses_legacy_layout()) {
            // A controller of the first version would take it for something else.
            return Reply::busy("services are not taken before all controllers know them", 5);
        }
        self.accept(spec).await
    }

    /// Commits that a job is accepted, as far as admission control lets it.
    async fn accept(self: &Arc<Self>, spec: JobSpec) -> Reply {
        let id = spec.id.clone();
        let mut record = JobRecord {
            stage: JobStage::Open,
            tasks: spec.tasks,
            allocated: Default::default(),
            legacy_done: Default::default(),
            done: None,
            submitted_at: self.wall_seconds(),
            spec: Some(spec.clone()),
            away: None,
            origin: None,
            credit: None,
        };
        let value = self.with(|core| core.job_value(&record));
        let notes = NOTES + self.tag_size(&spec);
        if stored_size(&value) + notes > self.settings.params.state.lowest_limits().value {
            return self.unless_known(&id, 400, "too long to be stored").await;
        }
        // A conflict about credit means that the leader has granted or taken back some.
        for _ in 0..MAX_RULINGS {
            let plan = match self.rule(&spec) {
                Ruling::Admitted(plan) => plan,
                Ruling::Refused(pause) => return self.refused(&id, pause).await,
            };
            record.credit.clone_from(&plan.tag);
            match self.commit_submission(&id, &record, plan).await {
                UpdateResult::Committed(_) => {
                    let status = JobStatus { id, stage: Stage::Queued, done: None, running: None };
                    return Reply::json(201, &status);
                }
                UpdateResult::Conflict(keys) if keys.contains(&records::job_key(&id)) => {
                    return self.repeated(&id).await;
                }
                UpdateResult::Conflict(keys) => {
                    for key in keys {
                        self.refresh(&key, || true).await;
                    }
                }
                UpdateResult::Refused(_) | UpdateResult::Unknown(_) => return Reply::busy("not stored", 1),
            }
        }
        Reply::busy("credit changes too quickly", 1)
    }

    /// Bytes of a value that the tag of admission control takes at most.
    fn tag_size(&self, spec: &JobSpec) -> usize {
        let names = self.settings.host_name.len() + spec.team.len() + spec.class.len();
        if self.options.admission.is_some() { TAG_NUMBERS + names } else { 0 }
    }

    fn rule(&self, spec: &JobSpec) -> Ruling {
        let random = lock(&self.random).random();
        let wall = self.wall_seconds();
        self.with(|core| core.rule(spec, random, wall, now()))
    }

    async fn commit_submission(
        self: &Arc<Self>,
        id: &str,
        record: &JobRecord,
        plan: SubmissionPlan,
    ) -> UpdateResult {
        let key = records::job_key(id);
        let value = self.with(|core| core.job_value(record));
        let mut conditions = vec![Condition { key: key.clone(), version: 0 }];
        conditions.extend(plan.conditions);
        let update = AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] };
        let spending = plan.spending.map(|spending| OpenSpending::new(self, id, spending));
        let result = self.committer.commit_for_user(update.clone()).await;
        if let UpdateResult::Committed(revision) = &result {
            self.with(|core| core.apply_changes(&update.changes, *revision, now()));
        }
        if let Some(spending) = spending {
            spending.settle(&result);
        }
        result
    }

    /// Turns a submission away until there is credit; one that was accepted before gets
    /// its status, whatever the load.
    async fn refused(self: &Arc<Self>, id: &str, pause: Duration) -> Reply {
        if !self.catch_up().await {
            return Reply::busy("overloaded", seconds(pause));
        }
        if self.with(|core| core.jobs.contains_key(id)) {
            return self.repeated(id).await;
        }
        let reply = Reply::problem(429, "more is asked for than can be done: come back later");
        Reply { retry_after: Some(seconds(pause)), ..reply }
    }

    /// Refuses a submission for good, unless it was accepted before the settings
    /// changed.
    async fn unless_known(self: &Arc<Self>, id: &str, status: u16, error: &str) -> Reply {
        match self.known(id).await {
            Known::Nothing => Reply::problem(status, error),
            Known::Job(status) => Reply::json(200, &status),
            Known::OtherCell => other_cell(),
            Known::Unavailable => Reply::busy("state service out of reach", 1),
        }
    }

    async fn repeated(self: &Arc<Self>, id: &str) -> Reply {
        match self.known(id).await {
            Known::Job(status) => Reply::json(200, &status),
            Known::OtherCell => other_cell(),
            Known::Nothing | Known::Unavailable => Reply::busy("state service out of reach", 1),
        }
    }

    /// Whether a job can ever run.
    fn judge(&self, spec: &JobSpec) -> Judgement {
        let Some(team) = self.settings.params.teams.iter().find(|t| t.name == spec.team) else {
            return Judgement::Never("unknown team".into());
        };
        let over = |required: f64, limit: f64| limit > 0.0 && required > limit;
        // Tasks run one after the other if need be; replicas must all run.
        let at_once = if spec.is_service() { f64::from(spec.tasks) } else { 1.0 };
        if over(spec.cpus * at_once, team.cpus_max) || over(spec.gpus * at_once, team.gpus_max) {
            return Judgement::Never("needs more than the team's limit".into());
        }
        self.with(|core| {
            let Some(catalog) = &core.catalog else { return Judgement::Unknown };
            let required = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
            let fits = catalog.machine_types.iter().any(|t| {
                spec.types.as_ref().is_none_or(|names| names.contains(&t.name))
                    && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
                    && required.fits(&Resources::new(t.cpus, t.gpus, t.memory_gb))
            });
            if fits { Judgement::Fits } else { Judgement::Never("fits no allowed machine type".into()) }
        })
    }

    async fn withdraw(self: &Arc<Self>, id: &str) -> Reply {
        if !valid_id(id) {
            return Reply::problem(404, "no such job");
        }
        // A conflict means that something else about the job was committed
        // meanwhile: it is looked at again.
        for _ in 0..10 {
            let status = match self.known(id).await {
                Known::Job(status) => status,
                Known::Nothing => return Reply::problem(404, "no such job"),
                Known::OtherCell => return other_cell(),
                Known::Unavailable => return Reply::busy("state service out of reach", 1),
            };
            if matches!(status.stage, Stage::Done | Stage::Withdrawn) {
                return Reply::json(200, &status);
            }
            if self.with(|core| core.away_cell(id).is_some()) {
                return self.withdraw_away(id).await;
            }
            let key = records::job_key(id);
            let Some((record, version)) = self.with(|core| core.cancelled_job_record(id)) else {
                continue;
            };
            let value = self.with(|core| core.job_value(&record));
            let update = AtomicUpdate {
                conditions: vec![Condition { key: key.clone(), version }],
                changes: vec![Change::Set { key, value, lease: None }],
            };
            match self.committer.commit_for_user(update.clone()).await {
                UpdateResult::Committed(revision) => {
                    let status = self.with(|core| {
                        core.apply_changes(&update.changes, revision, now());
                        core.jobs.get(id).map(|job| job.status(id))
                    });
                    return match status {
                        Some(status) => Reply::json(200, &status),
                        None => Reply::busy("not stored", 1),
                    };
                }
                UpdateResult::Conflict(_) => {}
                UpdateResult::Refused(_) | UpdateResult::Unknown(_) => return Reply::busy("not stored", 1),
            }
        }
        Reply::busy("the job changes too quickly", 1)
    }
}

fn seconds(pause: Duration) -> u32 {
    u32::try_from(pause.as_secs()).unwrap_or(u32::MAX).max(1)
}

/// A job that is here for another cell: only that one tells its user how it stands.
fn other_cell() -> Reply {
    Reply::busy("another cell answers for this job", OTHER_CELL_RETRY)
}

enum Judgement {
    Fits,
    Unknown,
    Never(String),
}

async fn limited(limit: Duration, work: impl Future<Output = Reply>) -> Reply {
    tokio::time::timeout(limit, work).await.unwrap_or_else(|_| Reply::busy("took too long", 1))
}
