//! The HTTP API for users: submitting, showing and cancelling jobs.

use crate::admission::PendingSpending;
use crate::core::{AdmissionDecision, SubmissionPlan};
use crate::jobs::Job;
use crate::node::{Node, Reply, VersionCheck, VersionCheckResult, lock, now};
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

/// Time limit of a request that changes something. Users wait 5 s for it (2 s for a poll); a later answer
/// is of no use to them.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(4500);
/// Time limit of a request that only reads.
const READ_TIMEOUT: Duration = Duration::from_millis(1800);

/// Bytes of a job's record that are kept free for fields that are added to it later.
const LATER_FIELDS_BYTES: usize = 200;

/// `Retry-After` for a job about which another cell must be asked.
const OTHER_CELL_RETRY_S: u32 = 5;

/// Bytes of admission control's credit tag in addition to the names in it: two numbers and separators.
const CREDIT_TAG_NUMBERS_BYTES: usize = 64;

/// Maximum number of attempts to commit a submission whose credit conditions keep changing.
const MAX_SUBMISSION_ATTEMPTS: usize = 3;

/// Maximum number of version checks that wait for the state service; further ones are refused.
const MAX_PENDING_VERSION_CHECKS: usize = 1000;

/// What is certain about a job's id.
enum JobLookup {
    /// The job's current status.
    Job(JobStatus),
    /// There is no such job.
    NotFound,
    /// The job runs here on behalf of its home cell, which alone answers its user.
    OtherCell,
    /// The state service could not confirm what is known.
    Unavailable,
}

impl Node {
    /// Answers a user's request, forwarding it to a peer while only this controller has lost the state
    /// service.
    pub(crate) async fn handle_user_request(
        self: &Arc<Self>,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Reply {
        let forwarding_peer = *lock(&self.forwarding_peer);
        if let Some(peer) = forwarding_peer.and_then(|n| self.settings.peers.get(n)) {
            let request =
                ForwardRequest { method: method.to_string(), path: path.to_string(), body: body.to_vec() };
            if let Some(reply) = self.peers.forward(peer, request).await {
                return reply;
            }
        }
        self.answer_user_locally(method, path, body).await
    }

    pub(crate) async fn answer_user_locally(
        self: &Arc<Self>,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Reply {
        let Some(rest) = path.strip_prefix("/v2/runs") else {
            return Reply::problem(404, "no such path");
        };
        let parts: Vec<&str> = rest.split('/').skip(1).collect();
        if body.len() > MAX_BODY_BYTES {
            return Reply::problem(400, "over 64 KiB");
        }
        // Requests beyond the limit are refused at once with a time to retry, rather than left to wait
        // until they time out.
        let slot = self.active_user_requests.fetch_add(1, Ordering::Relaxed);
        let reply = if slot >= self.options.max_requests {
            Reply::unavailable("overloaded", 2)
        } else {
            match (method, parts.as_slice()) {
                (&Method::POST, []) => with_timeout(CHANGE_TIMEOUT, self.submit(&body)).await,
                (&Method::GET, [id]) => with_timeout(READ_TIMEOUT, self.get_job(id)).await,
                (&Method::POST, [id, "withdraw"]) => with_timeout(CHANGE_TIMEOUT, self.cancel_job(id)).await,
                (_, [] | [_] | [_, "withdraw"]) => Reply::problem(405, "no such method"),
                _ => Reply::problem(404, "no such path"),
            }
        };
        self.active_user_requests.fetch_sub(1, Ordering::Relaxed);
        reply
    }

    /// What is committed about a job. The final stages (done and cancelled) never change, so they are
    /// answered from memory, even in an outage. Anything else, including that there is no such job, is
    /// first confirmed with the state service.
    async fn look_up_job(self: &Arc<Self>, id: &str) -> JobLookup {
        let key = records::job_key(id);
        let version = self.with(|core| match core.jobs.get(id) {
            _ if core.is_hosted(id) => Err(JobLookup::OtherCell),
            Some(Job::Open(job)) if job.is_open() => Ok(job.version),
            Some(Job::Away(job)) => Ok(job.version),
            Some(job) => Err(JobLookup::Job(job.status(id))),
            None => Ok(0),
        });
        let version = match version {
            Ok(version) => version,
            Err(known) => return known,
        };
        if self.check_version(key, version).await == VersionCheckResult::Unavailable {
            return JobLookup::Unavailable;
        }
        self.with(|core| match core.jobs.get(id) {
            _ if core.is_hosted(id) => JobLookup::OtherCell,
            Some(job) => JobLookup::Job(job.status(id)),
            None => JobLookup::NotFound,
        })
    }

    /// Checks with the state service whether a key still has a version; if not, its record is read again.
    async fn check_version(&self, key: String, version: u64) -> VersionCheckResult {
        let (reply, answer) = oneshot::channel();
        {
            let mut version_checks = lock(&self.version_checks);
            if version_checks.len() >= MAX_PENDING_VERSION_CHECKS {
                return VersionCheckResult::Unavailable;
            }
            version_checks.push(VersionCheck { key, version, reply });
        }
        self.wake_version_checks.notify_one();
        answer.await.unwrap_or(VersionCheckResult::Unavailable)
    }

    async fn get_job(self: &Arc<Self>, id: &str) -> Reply {
        if !valid_id(id) {
            return Reply::problem(404, "no such job");
        }
        match self.look_up_job(id).await {
            JobLookup::Job(status) => Reply::json(200, &status),
            JobLookup::NotFound => Reply::problem(404, "no such job"),
            JobLookup::OtherCell => other_cell_reply(),
            JobLookup::Unavailable => Reply::unavailable("state service out of reach", 1),
        }
    }

    async fn submit(self: &Arc<Self>, body: &[u8]) -> Reply {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(error) => return Reply::problem(400, &error),
        };
        let id = spec.id.clone();
        if self.with(|core| core.jobs.contains_key(id.as_str())) {
            return self.reply_for_existing(&id).await;
        }
        match self.check_feasibility(&spec) {
            Feasibility::Feasible => {}
            Feasibility::Unknown => return Reply::unavailable("machine types not known yet", 2),
            Feasibility::Infeasible(error) => {
                return self.refuse_unless_accepted(&id, 422, &error).await;
            }
        }
        if spec.is_service() && self.with(|core| core.uses_legacy_layout()) {
            // A controller that runs the first version would misread it as a job of another kind.
            return Reply::unavailable("services are not taken before all controllers know them", 5);
        }
        self.accept(spec).await
    }

    /// Commits a job's acceptance if admission control has credit for it.
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
        let reserved_bytes = LATER_FIELDS_BYTES + self.max_credit_tag_bytes(&spec);
        if stored_size(&value) + reserved_bytes > self.settings.params.state.lowest_limits().value {
            return self.refuse_unless_accepted(&id, 400, "too long to be stored").await;
        }
        // A conflict on a credit record means that the leader has granted or revoked credit meanwhile.
        for _ in 0..MAX_SUBMISSION_ATTEMPTS {
            let plan = match self.decide_admission(&spec) {
                AdmissionDecision::Admitted(plan) => plan,
                AdmissionDecision::Refused(pause) => return self.reply_without_credit(&id, pause).await,
            };
            record.credit.clone_from(&plan.tag);
            match self.commit_submission(&id, &record, plan).await {
                UpdateResult::Committed(_) => {
                    let status = JobStatus { id, stage: Stage::Queued, done: None, running: None };
                    return Reply::json(201, &status);
                }
                UpdateResult::Conflict(keys) if keys.contains(&records::job_key(&id)) => {
                    return self.reply_for_existing(&id).await;
                }
                UpdateResult::Conflict(keys) => {
                    for key in keys {
                        self.refresh(&key, || true).await;
                    }
                }
                UpdateResult::Refused(_) | UpdateResult::Unknown(_) => {
                    return Reply::unavailable("not stored", 1);
                }
            }
        }
        Reply::unavailable("credit changes too quickly", 1)
    }

    /// Maximum size in bytes of admission control's credit tag in the job's record.
    fn max_credit_tag_bytes(&self, spec: &JobSpec) -> usize {
        let names = self.settings.host_name.len() + spec.team.len() + spec.class.len();
        if self.options.admission.is_some() { CREDIT_TAG_NUMBERS_BYTES + names } else { 0 }
    }

    fn decide_admission(&self, spec: &JobSpec) -> AdmissionDecision {
        let random = lock(&self.rng).random();
        let wall_clock_s = self.wall_seconds();
        self.with(|core| core.decide_admission(spec, random, wall_clock_s, now()))
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
        let spending = plan.spending.map(|spending| PendingSpending::new(self, id, spending));
        let result = self.committer.commit_for_user(update.clone()).await;
        if let UpdateResult::Committed(revision) = &result {
            self.with(|core| core.apply_changes(&update.changes, *revision, now()));
        }
        if let Some(spending) = spending {
            spending.settle(&result);
        }
        result
    }

    /// Refuses a submission for lack of credit, with a time to retry. If the job was accepted before, its
    /// status is returned instead, whatever the load.
    async fn reply_without_credit(self: &Arc<Self>, id: &str, pause: Duration) -> Reply {
        if !self.catch_up_replica().await {
            return Reply::unavailable("overloaded", retry_after_seconds(pause));
        }
        if self.with(|core| core.jobs.contains_key(id)) {
            return self.reply_for_existing(id).await;
        }
        let reply = Reply::problem(429, "more is asked for than can be done: come back later");
        Reply { retry_after: Some(retry_after_seconds(pause)), ..reply }
    }

    /// Refuses a submission permanently, unless the job was accepted earlier, before the settings changed.
    async fn refuse_unless_accepted(self: &Arc<Self>, id: &str, status: u16, error: &str) -> Reply {
        match self.look_up_job(id).await {
            JobLookup::NotFound => Reply::problem(status, error),
            JobLookup::Job(status) => Reply::json(200, &status),
            JobLookup::OtherCell => other_cell_reply(),
            JobLookup::Unavailable => Reply::unavailable("state service out of reach", 1),
        }
    }

    async fn reply_for_existing(self: &Arc<Self>, id: &str) -> Reply {
        match self.look_up_job(id).await {
            JobLookup::Job(status) => Reply::json(200, &status),
            JobLookup::OtherCell => other_cell_reply(),
            JobLookup::NotFound | JobLookup::Unavailable => {
                Reply::unavailable("state service out of reach", 1)
            }
        }
    }

    /// Checks whether a job can ever run, given its team's quota limit and the machine types.
    fn check_feasibility(&self, spec: &JobSpec) -> Feasibility {
        let Some(team) = self.settings.params.teams.iter().find(|t| t.name == spec.team) else {
            return Feasibility::Infeasible("unknown team".into());
        };
        let over = |required: f64, limit: f64| limit > 0.0 && required > limit;
        // Tasks can run one after the other if necessary, but a service's replicas must all run at once.
        let at_once = if spec.is_service() { f64::from(spec.tasks) } else { 1.0 };
        if over(spec.cpus * at_once, team.cpus_max) || over(spec.gpus * at_once, team.gpus_max) {
            return Feasibility::Infeasible("needs more than the team's limit".into());
        }
        self.with(|core| {
            let Some(catalog) = &core.catalog else { return Feasibility::Unknown };
            let required = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
            let fits = catalog.machine_types.iter().any(|t| {
                spec.types.as_ref().is_none_or(|names| names.contains(&t.name))
                    && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
                    && required.fits(&Resources::new(t.cpus, t.gpus, t.memory_gb))
            });
            if fits {
                Feasibility::Feasible
            } else {
                Feasibility::Infeasible("fits no allowed machine type".into())
            }
        })
    }

    async fn cancel_job(self: &Arc<Self>, id: &str) -> Reply {
        if !valid_id(id) {
            return Reply::problem(404, "no such job");
        }
        // A conflict means that another change of the job was committed meanwhile: try again with the new
        // record.
        for _ in 0..10 {
            let status = match self.look_up_job(id).await {
                JobLookup::Job(status) => status,
                JobLookup::NotFound => return Reply::problem(404, "no such job"),
                JobLookup::OtherCell => return other_cell_reply(),
                JobLookup::Unavailable => return Reply::unavailable("state service out of reach", 1),
            };
            if matches!(status.stage, Stage::Done | Stage::Cancelled) {
                return Reply::json(200, &status);
            }
            if self.with(|core| core.host_cell_of(id).is_some()) {
                return self.cancel_away_job(id).await;
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
                        None => Reply::unavailable("not stored", 1),
                    };
                }
                UpdateResult::Conflict(_) => {}
                UpdateResult::Refused(_) | UpdateResult::Unknown(_) => {
                    return Reply::unavailable("not stored", 1);
                }
            }
        }
        Reply::unavailable("the job changes too quickly", 1)
    }
}

fn retry_after_seconds(pause: Duration) -> u32 {
    u32::try_from(pause.as_secs()).unwrap_or(u32::MAX).max(1)
}

/// The reply about a job that runs here for another cell: only its home cell reports its status to the
/// user.
fn other_cell_reply() -> Reply {
    Reply::unavailable("another cell answers for this job", OTHER_CELL_RETRY_S)
}

/// Whether a job can ever run.
enum Feasibility {
    Feasible,
    /// The machine types are not known yet.
    Unknown,
    /// The job can never run, for this reason.
    Infeasible(String),
}

async fn with_timeout(limit: Duration, work: impl Future<Output = Reply>) -> Reply {
    tokio::time::timeout(limit, work).await.unwrap_or_else(|_| Reply::unavailable("took too long", 1))
}
