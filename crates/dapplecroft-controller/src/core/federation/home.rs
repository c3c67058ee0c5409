//! The home cell's side of a hand-over: selects the jobs to offer to other cells, follows
//! the jobs that are away, and applies the answers of other cells to the jobs' records.

use crate::core::{CommitTarget, Core};
use crate::jobs::{AwayJob, Job, OpenJob};
use crate::records::{self, JobRecord, JobStage};
use dapplecroft_federation::home::compute_watermark;
use dapplecroft_federation::summary::JobDemand;
use dapplecroft_federation::{AwayRecord, CellId, Epoch, HomeStep, Outcome, TransferRequest, TransferState};
use dapplecroft_sched::PendingCapacity;
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::state::Change;
use dapplecroft_wire::users::JobSpec;
use std::sync::Arc;
use std::time::Instant;

/// An offer of a job to another cell. It must be committed before it is sent.
#[derive(Debug, Clone)]
pub struct OfferUpdate {
    /// Id of the offered job.
    pub job: Arc<str>,
    /// Transaction that marks the job as away.
    pub update: AtomicUpdate,
}

/// A request to another cell about one job that is away there.
#[derive(Debug, Clone)]
pub struct OutgoingTransfer {
    /// Job id.
    pub job: Arc<str>,
    /// Epoch of the transfer.
    pub epoch: Epoch,
    /// Kind of the request.
    pub request: TransferRequest,
    /// Job specification; only sent with an offer.
    pub spec: Option<JobSpec>,
    /// Time at which the user submitted the job, in seconds since the Unix epoch.
    pub submitted_s: f64,
}

impl OpenJob {
    /// Whether the replica shows no sign that any of the job's tasks was ever placed: no
    /// placement, completed task, exit, attempt or failure.
    pub(super) fn has_not_started(&self) -> bool {
        let no_tasks_recorded =
            self.placed.is_empty() && self.done.is_empty() && self.uncommitted_exits.is_empty();
        no_tasks_recorded
            && self.last_attempts.is_empty()
            && self.done_by_part.is_empty()
            && self.failures == 0
    }

    /// Whether none of the job's tasks has started or can start while its record is
    /// unchanged, so that another cell can safely run it. A placement requires an allocation
    /// in the record: there must be no allocation, and the replica must have applied all
    /// changes up to the last revocation, which a placement may have preceded.
    pub(super) fn is_safe_to_transfer(&self, applied_revision: u64) -> bool {
        let not_allocated = self.record.allocated.is_empty() && self.allocating.is_empty();
        let revocations_applied = self.revoking.is_empty()
            && self.last_revocation_version <= applied_revision
            && self.version <= applied_revision;
        self.has_not_started() && not_allocated && revocations_applied
    }

    fn resource_request(&self) -> JobDemand {
        JobDemand { requirements: (*self.requirements).clone(), tasks: self.record.tasks }
    }
}

/// Reserves capacity for as many tasks of a job as fit into `capacities`, and returns their
/// number.
fn reserve_pending_capacity(capacities: &mut Vec<PendingCapacity>, request: &JobDemand) -> i64 {
    let requirements = &request.requirements;
    let mut remaining = i64::from(request.tasks);
    let mut reserved: Vec<PendingCapacity> = Vec::new();
    for capacity in capacities.iter_mut().filter(|c| requirements.allows(&c.machine_type, &c.zone, c.spot)) {
        let tasks_per_machine = requirements.resources.copies_that_fit(&capacity.room);
        if tasks_per_machine == 0 || remaining == 0 {
            continue;
        }
        let machines = ((remaining + tasks_per_machine - 1) / tasks_per_machine).min(capacity.count);
        let reserved_tasks = (machines * tasks_per_machine).min(remaining);
        remaining -= reserved_tasks;
        capacity.count -= machines;
        reserved.push(PendingCapacity {
            room: capacity.room - requirements.resources.times(tasks_per_machine),
            count: machines,
            ..capacity.clone()
        });
    }
    capacities.extend(reserved);
    i64::from(request.tasks) - remaining
}

impl Core {
    /// Selects up to `limit` jobs to offer to other cells, earliest submission first. Such a
    /// job has waited for at least `spill_after`, no task of it has ever started, and none
    /// fits on a machine that is running, has been requested or could be rented. Waiting jobs
    /// that were submitted earlier take their part of the capacity first.
    pub fn spill_candidates(&self, limit: usize, now: Instant) -> Vec<(Arc<str>, JobDemand)> {
        let Some(federation) = self.options.federation.as_ref().filter(|f| f.offers_jobs) else {
            return Vec::new();
        };
        let mut waiting: Vec<(&Arc<str>, &OpenJob)> =
            self.waiting_jobs.iter().filter_map(|id| Some((id, self.open_job(id)?))).collect();
        waiting
            .sort_by(|a, b| a.1.record.submitted_at.total_cmp(&b.1.record.submitted_at).then(a.0.cmp(b.0)));
        let mut capacities = self.pending_capacity();
        let offers = self.rental_offers(now);
        let mut candidates = Vec::new();
        for (id, job) in waiting {
            let request = job.resource_request();
            let has_capacity = reserve_pending_capacity(&mut capacities, &request) > 0;
            let requirements = &job.requirements;
            let rentable = offers.iter().any(|offer| {
                requirements.allows(&offer.machine_type, &offer.zone, offer.spot)
                    && requirements.resources.fits(&offer.capacity)
            });
            let waited = now.saturating_duration_since(job.learned_at) >= federation.spill_after;
            if waited && !has_capacity && !rentable && self.may_be_offered(id, job) {
                candidates.push((id.clone(), request));
            }
            if candidates.len() >= limit {
                break;
            }
        }
        candidates
    }

    /// Whether a job may be handed over to another cell. It must wait for machines rather
    /// than for its team's quota limit, and must be neither a service nor a job whose tasks
    /// depend on each other's zones. A hosted job is never passed on, so a job moves by at
    /// most one hop.
    fn may_be_offered(&self, id: &Arc<str>, job: &OpenJob) -> bool {
        let transferable_kind =
            job.record.stage == JobStage::Open && !job.is_service() && !job.has_zone_constraint();
        let below_team_limit =
            self.teams.get(&job.spec.team).is_some_and(|team| team.headroom(&job.requirements.resources) > 0);
        let in_flight = self.commit_queue.is_in_flight(&CommitTarget::Job(id.clone()));
        transferable_kind && below_team_limit && !in_flight && job.is_safe_to_transfer(self.applied_revision)
    }

    /// Returns the update that records the offer of a job to a cell, under a new epoch. The
    /// offer counts as pending until [`Core::remove_pending_offer`] or a change of the job's
    /// record.
    pub fn offer_update(&mut self, id: &Arc<str>, cell: CellId) -> Option<OfferUpdate> {
        let job = self.open_job(id).filter(|job| self.may_be_offered(id, job))?;
        let (version, record) = (job.version, job.record.clone());
        let leader = self.leader_condition()?;
        let epoch = Epoch::from_parts(leader.version, self.federation.offer_count)?;
        let away = Some(AwayRecord::for_offer(cell, epoch));
        let key = records::job_key(id);
        let conditions = vec![leader, self.unchanged_condition(key.clone())];
        let value = self.job_value(&JobRecord { stage: JobStage::Away, away, ..record });
        self.federation.offer_count += 1;
        self.federation.pending_offers.insert(id.clone(), (version, epoch));
        let update = AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] };
        Some(OfferUpdate { job: id.clone(), update })
    }

    /// Removes an offer from the pending ones, once its transaction has either been committed
    /// or can no longer take effect.
    pub fn remove_pending_offer(&mut self, id: &Arc<str>) {
        self.federation.pending_offers.remove(id);
    }

    /// Jobs that have been offered to another cell and have not come back.
    pub(super) fn away_jobs(&self) -> impl Iterator<Item = (&Arc<str>, &AwayJob, &AwayRecord)> {
        self.jobs.iter().filter_map(|(id, job)| match job {
            Job::Away(job) => job.record.away.as_ref().map(|away| (id, job.as_ref(), away)),
            _ => None,
        })
    }

    /// Number of jobs that are away at a cell.
    pub fn away_job_count(&self, cell: &str) -> usize {
        self.away_jobs().filter(|(_, _, away)| away.cell.name == cell).count()
    }

    /// Returns up to `limit` requests to a cell about the jobs that are away there. They
    /// start with the job that follows `last` in the order of ids and wrap around, so that
    /// successive calls reach all jobs.
    pub fn outgoing_transfers(&self, cell: &str, last: Option<&str>, limit: usize) -> Vec<OutgoingTransfer> {
        let mut requests: Vec<OutgoingTransfer> = self
            .away_jobs()
            .filter(|(_, _, away)| away.cell.name == cell)
            .map(|(id, job, away)| {
                let offer_unconfirmed = matches!(job.last_answer, None | Some(TransferState::Unknown));
                let request = away.next_request(offer_unconfirmed);
                let is_offer = request == TransferRequest::Offer;
                let spec = if is_offer { job.record.spec.clone() } else { None };
                OutgoingTransfer {
                    job: id.clone(),
                    epoch: away.epoch,
                    request,
                    spec,
                    submitted_s: job.record.submitted_at,
                }
            })
            .collect();
        requests.sort_by(|a, b| a.job.cmp(&b.job));
        let start = last.map_or(0, |last| requests.partition_point(|r| &*r.job <= last));
        requests.rotate_left(start);
        // Cancellations go first in every request, because users wait for them.
        requests.sort_by_key(|r| r.request != TransferRequest::Cancel);
        requests.truncate(limit);
        requests
    }

    /// The cell, with its incarnation, to which a job has been offered; `None` if the job is
    /// not away.
    pub fn host_cell_of(&self, job: &str) -> Option<CellId> {
        match self.jobs.get(job)? {
            Job::Away(job) => job.record.away.as_ref().map(|away| away.cell.clone()),
            _ => None,
        }
    }

    /// Returns the watermark to send to a cell: all transfers to that cell with a lower epoch
    /// are over.
    pub fn watermark_for(&mut self, cell: &str) -> Option<Epoch> {
        let leader_term = self.role.leader_key_version?;
        // Once the version of the job's record differs from the one that the offer's
        // transaction is conditional on, the transaction has either been committed or will fail.
        let resolved: Vec<Arc<str>> = self
            .federation
            .pending_offers
            .iter()
            .filter(|(id, (version, _))| self.version(&records::job_key(id)) != *version)
            .map(|(id, _)| id.clone())
            .collect();
        for id in resolved {
            self.federation.pending_offers.remove(&id);
        }
        let next = Epoch::from_parts(leader_term, self.federation.offer_count)?;
        let away = self.away_jobs().filter(|(_, _, away)| away.cell.name == cell);
        let pending_offers = self.federation.pending_offers.values().map(|(_, epoch)| *epoch);
        Some(compute_watermark(away.map(|(_, _, away)| away.epoch).chain(pending_offers), next))
    }

    /// Processes a cell's answer about a job that is away. Returns the update to commit if
    /// the job is open in this cell again or has ended.
    pub fn apply_transfer_answer(
        &mut self,
        job: &str,
        from: &CellId,
        epoch: Epoch,
        state: TransferState,
    ) -> Option<AtomicUpdate> {
        let leader = self.leader_condition()?;
        let Some(Job::Away(away_job)) = self.jobs.get_mut(job) else { return None };
        let away = away_job.record.away.clone()?;
        if away.epoch == epoch && away.cell == *from {
            away_job.last_answer = Some(state);
        }
        let record = match away.on_answer(from, epoch, state) {
            HomeStep::Wait => return None,
            HomeStep::Reopen => JobRecord { stage: JobStage::Open, away: None, ..away_job.record.clone() },
            HomeStep::End { outcome: Outcome::Done, done } => away_job.record.compact(JobStage::Done, done),
            HomeStep::End { outcome: Outcome::Cancelled, done } => {
                away_job.record.compact(JobStage::Cancelled, done)
            }
        };
        let key = records::job_key(job);
        let conditions = vec![leader, self.unchanged_condition(key.clone())];
        let value = self.job_value(&record);
        Some(AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] })
    }

    /// Returns the update that marks a job which is away as being cancelled. Every controller
    /// of the cell may commit it, not only the leader. `Ok(None)` if the record is marked
    /// already.
    pub fn cancel_away_job_update(&self, id: &str) -> Result<Option<AtomicUpdate>, NotAway> {
        let Some(Job::Away(job)) = self.jobs.get(id) else { return Err(NotAway) };
        let Some(away) = job.record.away.as_ref().filter(|away| !away.cancelling) else { return Ok(None) };
        let key = records::job_key(id);
        let record = JobRecord { away: Some(away.with_cancellation_requested()), ..job.record.clone() };
        let conditions = vec![self.unchanged_condition(key.clone())];
        let value = self.job_value(&record);
        Ok(Some(AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] }))
    }
}

/// The job is not away at another cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAway;
