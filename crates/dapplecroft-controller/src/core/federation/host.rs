//! The host cell's side of a hand-over: plans the response to transfer requests of home
//! cells, returns hosted jobs that have waited too long, and prunes records of finished
//! transfers.

use crate::core::{CommitTarget, Core};
use crate::jobs::{Job, OpenJob};
use crate::records::{self, JobRecord, JobStage, stored_size};
use dapplecroft_admission::Spending;
use dapplecroft_cloud::MAX_MACHINES_PER_RENTAL;
use dapplecroft_federation::host::{HostRecords, is_prunable, on_request};
use dapplecroft_federation::summary::{MachinePool, Summary};
use dapplecroft_federation::{
    CellId, Epoch, HostStep, HostedJob, Origin, RefusalRecord, TransferRequest, TransferState,
};
use dapplecroft_sched::Resources;
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::state::{Change, Condition};
use dapplecroft_wire::users::JobSpec;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes that a new hosted job's record must leave free below the size limit of a value, for
/// fields that are added later, such as allocations.
const RECORD_GROWTH_BYTES: usize = 300;

/// How long no task of an overdue hosted job is allocated or placed after its allocations
/// are revoked, so that the return to its home cell can be committed.
const RETURN_ALLOCATION_PAUSE: Duration = Duration::from_secs(5);

/// How this cell responds to a transfer request of a home cell.
#[derive(Debug, Clone)]
pub enum TransferPlan {
    /// Answer with this state; the committed records suffice.
    Answer(TransferState),
    /// Commit this update, then plan the request again. The caller must settle the admission
    /// credit, if any, that the update spends.
    Commit(AtomicUpdate, Option<Spending>),
    /// The sender is an incarnation of the home cell that has been replaced.
    OutdatedSender,
    /// Send no answer now; the home cell asks again.
    NoAnswer,
}

/// A request of a home cell about one job.
#[derive(Debug, Clone)]
pub struct IncomingTransfer<'a> {
    /// The job's home cell.
    pub from: &'a CellId,
    /// Job id.
    pub job: &'a str,
    /// Epoch of the transfer.
    pub epoch: Epoch,
    /// Kind of the request.
    pub request: TransferRequest,
    /// Job specification; only present with an offer.
    pub spec: Option<&'a JobSpec>,
    /// Time at which the user submitted the job, in seconds since the Unix epoch by the home
    /// cell's clock; only meaningful with an offer.
    pub submitted_s: f64,
}

/// Whether a new hosted job's record fits into a value of `limit` bytes and leaves
/// [`RECORD_GROWTH_BYTES`] free.
fn fits_record_limit(value: &serde_json::Value, limit: usize) -> bool {
    stored_size(value) + RECORD_GROWTH_BYTES <= limit
}

fn hosted_job_record(request: &IncomingTransfer, spec: JobSpec) -> JobRecord {
    JobRecord {
        stage: JobStage::Hosted,
        tasks: spec.tasks,
        allocated: BTreeMap::new(),
        legacy_done: Default::default(),
        done: None,
        submitted_at: request.submitted_s,
        spec: Some(spec),
        away: None,
        origin: Some(Origin { cell: request.from.clone(), epoch: request.epoch }),
        credit: None,
    }
}

impl OpenJob {
    fn hosted_job_state(&self) -> TransferState {
        let running = self.placed.values().filter(|p| p.committed).count();
        let done = self.done.len();
        match self.record.stage {
            // The cancellation is committed, so none of the job's tasks will start any more.
            JobStage::Cancelled => TransferState::Withdrawn { done },
            _ => TransferState::Accepted { done, running: u32::try_from(running).unwrap_or(u32::MAX) },
        }
    }
}

impl Core {
    fn hosted_job(&self, job: &str) -> HostedJob {
        let origin = self.federation.hosted_jobs.get(job).cloned();
        match (self.jobs.get(job), origin) {
            (None, _) => HostedJob::Absent,
            (Some(_), None) | (Some(Job::Away(_)), _) => HostedJob::Unrelated,
            (Some(Job::Open(open)), Some(origin)) => {
                HostedJob::Present { origin, state: open.hosted_job_state() }
            }
            (Some(Job::Final { stage: JobStage::Done, done }), Some(origin)) => {
                HostedJob::Present { origin, state: TransferState::Done { done: *done } }
            }
            (Some(Job::Final { done, .. }), Some(origin)) => {
                HostedJob::Present { origin, state: TransferState::Withdrawn { done: *done } }
            }
        }
    }

    /// Plans the response to a request of a home cell. `promised_cpus` are the CPUs, in
    /// thousandths, of jobs that may have been accepted but are not in the replica yet.
    pub fn plan_incoming_transfer(
        &mut self,
        request: &IncomingTransfer,
        promised_cpus: i64,
        now: Instant,
    ) -> TransferPlan {
        let (from, job) = (request.from, request.job);
        let known = HostRecords {
            job: self.hosted_job(job),
            refusal: self
                .federation
                .refusals
                .get(&(from.name.clone(), from.incarnation, job.to_string()))
                .copied(),
            watermark: self.federation.watermark(&from.name),
        };
        let can_host = request.spec.is_some_and(|spec| self.can_host(spec, promised_cpus, now));
        let update = match on_request(&known, from, request.epoch, request.request, can_host) {
            HostStep::Answer(state) => return TransferPlan::Answer(state),
            HostStep::OutdatedSender => return TransferPlan::OutdatedSender,
            HostStep::Accept => return self.accept_plan(request),
            HostStep::Refuse => self.refuse_update(request),
            HostStep::Cancel => self.cancel_hosted_job_update(request),
        };
        update.map_or(TransferPlan::NoAnswer, |update| TransferPlan::Commit(update, None))
    }

    /// Conditions of every update that responds to a request: this controller still leads the
    /// cell, and all records that the decision was based on are unchanged.
    fn transfer_conditions(&self, from: &CellId, job: &str) -> Option<Vec<Condition>> {
        Some(vec![
            self.leader_condition()?,
            self.unchanged_condition(records::job_key(job)),
            self.unchanged_condition(records::refusal_key(&from.name, from.incarnation, job)),
            self.unchanged_condition(records::watermark_key(&from.name)),
        ])
    }

    /// Plans to accept an offered job. It is admitted like a user's submission and spends the
    /// leader's own admission credit; the offer is refused if that credit or the size limit of
    /// a value does not suffice.
    fn accept_plan(&mut self, request: &IncomingTransfer) -> TransferPlan {
        let Some(spec) = request.spec else { return TransferPlan::NoAnswer };
        let record = hosted_job_record(request, spec.clone());
        if !fits_record_limit(&self.job_value(&record), self.limits().value) {
            return self.refuse_plan(request);
        }
        let Some(mut conditions) = self.transfer_conditions(request.from, request.job) else {
            return TransferPlan::NoAnswer;
        };
        let Ok(admitted) = self.admit(spec) else {
            tracing::debug!(
                job = request.job,
                from = %request.from,
                "refusing a job offered by another cell: not enough admission credit"
            );
            return self.refuse_plan(request);
        };
        conditions.extend(admitted.conditions);
        let key = records::job_key(request.job);
        let value = self.job_value(&JobRecord { credit: admitted.tag, ..record });
        let update = AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] };
        TransferPlan::Commit(update, admitted.spending)
    }

    fn refuse_plan(&self, request: &IncomingTransfer) -> TransferPlan {
        self.refuse_update(request)
            .map_or(TransferPlan::NoAnswer, |update| TransferPlan::Commit(update, None))
    }

    fn refuse_update(&self, request: &IncomingTransfer) -> Option<AtomicUpdate> {
        let conditions = self.transfer_conditions(request.from, request.job)?;
        let change = refusal_change(request.from, request.job, request.epoch);
        Some(AtomicUpdate { conditions, changes: vec![change] })
    }

    fn cancel_hosted_job_update(&self, request: &IncomingTransfer) -> Option<AtomicUpdate> {
        let conditions = self.transfer_conditions(request.from, request.job)?;
        let (record, _) = self.cancelled_job_record(request.job)?;
        let key = records::job_key(request.job);
        let value = self.job_value(&record);
        Some(AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] })
    }

    /// CPUs, in thousandths, that the uncompleted tasks of open hosted jobs request.
    fn hosted_cpus(&self) -> i64 {
        let jobs = self.federation.hosted_jobs.keys().filter_map(|id| self.open_job(id));
        jobs.filter(|job| job.is_open())
            .map(|job| job.requirements.resources.cpus * i64::from(job.unfinished_tasks()))
            .sum()
    }

    /// CPUs, in thousandths, that further jobs of other cells may request. The limit for all
    /// hosted jobs together is the configured share of the CPUs of the active machines plus
    /// those that one more rental request of the largest machine type could add.
    fn hosting_headroom_cpus(&self, now: Instant) -> i64 {
        let share = self.options.federation.as_ref().map_or(0.0, |f| f.hosted_jobs_share);
        let active: i64 =
            self.machines.values().filter(|m| m.likely_accepts_tasks()).map(|m| m.capacity.cpus).sum();
        let rentable = self.rental_offers(now).iter().map(|offer| offer.capacity.cpus).max().unwrap_or(0);
        let total = active + rentable * i64::from(MAX_MACHINES_PER_RENTAL);
        (total as f64 * share) as i64 - self.hosted_cpus()
    }

    /// CPUs, in thousandths, requested by tasks that the last placement round could not place.
    fn backlog_cpus(&self) -> i64 {
        self.unplaced_demand.iter().map(|demand| demand.requirements.resources.cpus * demand.count).sum()
    }

    /// Whether this cell is willing to host a job of another cell: no tasks in this cell wait
    /// for capacity, the CPU share of hosted jobs suffices, the job's team exists here and is
    /// below its quota limit, and a task fits on an active machine or on one that could be
    /// rented. Services and jobs whose tasks depend on each other's zones are not hosted.
    fn can_host(&self, spec: &JobSpec, promised_cpus: i64, now: Instant) -> bool {
        let Some(team) = self.teams.get(&spec.team) else { return false };
        let resources = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let job_cpus = resources.cpus * i64::from(spec.tasks);
        if spec.is_service() || spec.one_zone || spec.spread || team.headroom(&resources) == 0 {
            return false;
        }
        if self.backlog_cpus() > 0 || self.hosting_headroom_cpus(now) - promised_cpus < job_cpus {
            return false;
        }
        let active = self.active_machine_pools();
        let rentable = self.rentable_machine_pools(now);
        let allowed = |pool: &MachinePool| {
            spec.types.as_ref().is_none_or(|names| names.contains(&pool.machine_type))
                && spec.zone.as_ref().is_none_or(|zone| *zone == pool.zone)
                && (spec.spot || !pool.spot)
        };
        let mut pools = active.iter().chain(&rentable).filter(|pool| allowed(pool));
        pools.any(|pool| resources.fits(&pool.free))
    }

    /// Free capacity of the machines that accept tasks, with equal machines grouped together.
    fn active_machine_pools(&self) -> Vec<MachinePool> {
        type PoolKey<'a> = (&'a str, &'a str, bool, i64, i64, i64);
        let mut pools: BTreeMap<PoolKey, MachinePool> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.likely_accepts_tasks()) {
            let free = machine.free_resources();
            let key =
                (&*machine.machine_type, &*machine.zone, machine.spot, free.cpus, free.gpus, free.memory);
            let pool = pools.entry(key).or_insert_with(|| MachinePool {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                free,
                capacity: machine.capacity,
                count: 0,
            });
            pool.count += 1;
        }
        pools.into_values().collect()
    }

    /// Capacity of one machine of each kind that could be rented now.
    fn rentable_machine_pools(&self, now: Instant) -> Vec<MachinePool> {
        let offers = self.rental_offers(now).into_iter();
        let pool = |offer: dapplecroft_sched::MachineOffer| MachinePool {
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            free: offer.capacity,
            capacity: offer.capacity,
            count: 1,
        };
        offers.map(pool).collect()
    }

    /// Summary of this cell's capacity and backlog, which is sent to other cells with every
    /// reply; `None` if this cell does not belong to a federation.
    pub fn cell_summary(&self, now: Instant) -> Option<Summary> {
        Some(Summary {
            cell: self.own_cell()?.clone(),
            up: self.active_machine_pools(),
            rentable: self.rentable_machine_pools(now),
            backlog_cpus: self.backlog_cpus(),
            hosting_headroom_cpus: self.hosting_headroom_cpus(now),
        })
    }

    /// Hosted jobs that have waited here for at least `return_after` and of which, according
    /// to the replica, no task has ever started.
    fn overdue_hosted_jobs(&self, now: Instant) -> Vec<Arc<str>> {
        let Some(federation) = &self.options.federation else { return Vec::new() };
        let overdue = |job: &OpenJob| {
            job.record.stage == JobStage::Hosted
                && now.saturating_duration_since(job.learned_at) >= federation.return_after
                && job.has_not_started()
        };
        let hosted = self.federation.hosted_jobs.keys();
        hosted.filter(|id| self.open_job(id).is_some_and(overdue)).cloned().collect()
    }

    /// Revokes the allocations of overdue hosted jobs and suspends new ones for a while, so
    /// that these jobs can be returned. A placement requires an allocation but does not change
    /// the job's record. It is therefore certain that no task was placed only after all
    /// allocations are revoked and the replica has applied the revocation.
    pub fn revoke_allocations_for_returns(&mut self, now: Instant) {
        for id in self.overdue_hosted_jobs(now) {
            let in_flight = self.commit_queue.is_in_flight(&CommitTarget::Job(id.clone()));
            let Some(job) = self.open_job_mut(&id) else { continue };
            job.backoff_until = job.backoff_until.max(Some(now + RETURN_ALLOCATION_PAUSE));
            if in_flight || !job.allocating.is_empty() || job.record.allocated.is_empty() {
                continue;
            }
            job.revoking = job.record.allocated.clone();
            self.refresh_job(&id);
            self.queue_job_commit(&id);
        }
    }

    /// Returns up to `limit` updates that return overdue hosted jobs, none of whose tasks has
    /// started or is allocated. Each update is conditional on the job's record, as every
    /// allocation is, so it conflicts with an allocation made at the same time.
    pub fn job_return_updates(&self, limit: usize, now: Instant) -> Vec<AtomicUpdate> {
        let safe_to_return = |id: &Arc<str>| {
            self.open_job(id).is_some_and(|job| job.is_safe_to_transfer(self.applied_revision))
        };
        let returned = self.overdue_hosted_jobs(now).into_iter().filter(safe_to_return).take(limit);
        returned
            .filter_map(|id| {
                let origin = self.federation.hosted_jobs.get(&id)?;
                let conditions = self.transfer_conditions(&origin.cell, &id)?;
                let drop_job = Change::Drop { key: records::job_key(&id) };
                let changes = vec![refusal_change(&origin.cell, &id, origin.epoch), drop_job];
                Some(AtomicUpdate { conditions, changes })
            })
            .collect()
    }

    /// Returns the update that raises a home cell's watermark; `None` if the stored watermark
    /// is not lower.
    pub fn raise_watermark_update(&self, from: &CellId, epoch: Epoch) -> Option<AtomicUpdate> {
        let record = self.federation.watermark(&from.name).advanced_to(from.incarnation, epoch)?;
        let key = records::watermark_key(&from.name);
        let conditions = vec![self.leader_condition()?, self.unchanged_condition(key.clone())];
        let value = serde_json::to_value(record).ok()?;
        Some(AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] })
    }

    /// Whether raising a home cell's watermark would allow any record to be pruned. Otherwise
    /// a commit of the new watermark is not worth its cost.
    pub fn watermark_allows_pruning(&self, from: &CellId, epoch: Epoch) -> bool {
        let Some(raised) = self.federation.watermark(&from.name).advanced_to(from.incarnation, epoch) else {
            return false;
        };
        let refusals = self.federation.refusals.iter().filter(|((cell, _, _), _)| *cell == from.name);
        let mut refusals = refusals.map(|((_, incarnation, _), refusal)| (*incarnation, refusal.epoch));
        let final_jobs = self.federation.hosted_jobs.iter().filter(|(id, _)| self.is_final(id));
        let mut final_jobs = final_jobs
            .filter(|(_, origin)| origin.cell.name == from.name)
            .map(|(_, origin)| (origin.cell.incarnation, origin.epoch));
        refusals.any(|(incarnation, epoch)| is_prunable(epoch, incarnation, &raised))
            || final_jobs.any(|(incarnation, epoch)| is_prunable(epoch, incarnation, &raised))
    }

    /// Whether a job has ended and none of its tasks is left on a machine.
    pub(super) fn is_final(&self, id: &Arc<str>) -> bool {
        matches!(self.jobs.get(id), Some(Job::Final { .. }))
    }

    /// Returns up to `limit` updates, each of which drops the record of a refusal or of a
    /// final hosted job that the home cell's watermark has passed.
    pub fn prune_updates(&self, limit: usize) -> Vec<AtomicUpdate> {
        let Some(leader) = self.leader_condition() else { return Vec::new() };
        let refusals = self.federation.refusals.iter().filter_map(|((cell, incarnation, job), refusal)| {
            let watermark = self.federation.watermark(cell);
            let prunable = is_prunable(refusal.epoch, *incarnation, &watermark);
            prunable.then(|| records::refusal_key(cell, *incarnation, job))
        });
        let final_jobs = self.federation.hosted_jobs.iter().filter_map(|(id, origin)| {
            let watermark = self.federation.watermark(&origin.cell.name);
            let prunable = is_prunable(origin.epoch, origin.cell.incarnation, &watermark);
            (prunable && self.is_final(id)).then(|| records::job_key(id))
        });
        let drop_key = |key: String| AtomicUpdate {
            conditions: vec![leader.clone(), self.unchanged_condition(key.clone())],
            changes: vec![Change::Drop { key }],
        };
        refusals.chain(final_jobs).take(limit).map(drop_key).collect()
    }
}

/// The change that records the refusal of a transfer.
fn refusal_change(from: &CellId, job: &str, epoch: Epoch) -> Change {
    let key = records::refusal_key(&from.name, from.incarnation, job);
    let value = serde_json::json!(RefusalRecord { epoch });
    Change::Set { key, value, lease: None }
}
