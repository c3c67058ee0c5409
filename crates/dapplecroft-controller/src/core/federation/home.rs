//! The home cell's part: which jobs are offered, what is away, and what an answer makes
//! of a job's record.

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

/// An offer that is to be committed before it is sent.
#[derive(Debug, Clone)]
pub struct OfferUpdate {
    /// The job.
    pub job: Arc<str>,
    /// What is committed.
    pub update: AtomicUpdate,
}

/// What to ask another cell about one job.
#[derive(Debug, Clone)]
pub struct AwayRequest {
    /// The job.
    pub job: Arc<str>,
    /// The transfer.
    pub epoch: Epoch,
    /// What is asked.
    pub request: TransferRequest,
    /// The specification, if it is offered.
    pub spec: Option<JobSpec>,
    /// Seconds since 1970 at its submission.
    pub submitted: f64,
}

impl OpenJob {
    /// Whether the copy shows nothing of it on a machine, now or ever.
    pub(super) fn has_not_started(&self) -> bool {
        let nothing_placed = self.placed.is_empty() && self.done.is_empty() && self.exits.is_empty();
        nothing_placed && self.tries.is_empty() && self.completed_records.is_empty() && self.failures == 0
    }

    /// Whether nothing of it was ever started, and nothing can be under its record as it
    /// is: every placement rests on an allocation, and none is left that the copy has not
    /// caught up with.
    pub(super) fn is_untouched(&self, applied_revision: u64) -> bool {
        let not_allocated = self.record.allocated.is_empty() && self.allocating.is_empty();
        let settled =
            self.revoking.is_empty() && self.revoked <= applied_revision && self.version <= applied_revision;
        self.has_not_started() && not_allocated && settled
    }

    fn wish(&self) -> JobDemand {
        JobDemand { requirements: (*self.requirements).clone(), tasks: self.record.tasks }
    }
}

/// Takes room for as many of `count` tasks as there is; returns how many found some.
fn take_room(rooms: &mut Vec<PendingCapacity>, wish: &JobDemand) -> i64 {
    let requirements = &wish.requirements;
    let mut left = i64::from(wish.tasks);
    let mut used: Vec<PendingCapacity> = Vec::new();
    for room in rooms.iter_mut().filter(|r| requirements.allows(&r.machine_type, &r.zone, r.spot)) {
        let each = requirements.resources.times_in(&room.room);
        if each == 0 || left == 0 {
            continue;
        }
        let machines = ((left + each - 1) / each).min(room.count);
        let taken = (machines * each).min(left);
        left -= taken;
        room.count -= machines;
        used.push(PendingCapacity {
            room: room.room - requirements.resources.times(each),
            count: machines,
            ..room.clone()
        });
    }
    rooms.extend(used);
    i64::from(wish.tasks) - left
}

impl Core {
    /// Jobs that may be offered to other cells, those that have waited the longest
    /// first: nothing of them was ever started, and neither a machine that is up or
    /// ordered nor one that could be rented has room for any of their tasks.
    pub fn spill_candidates(&self, most: usize, now: Instant) -> Vec<(Arc<str>, JobDemand)> {
        let Some(federation) = self.options.federation.as_ref().filter(|f| f.offers_jobs) else {
            return Vec::new();
        };
        let mut waiting: Vec<(&Arc<str>, &OpenJob)> =
            self.waiting.iter().filter_map(|id| Some((id, self.open_job(id)?))).collect();
        waiting.sort_by(|a, b| a.1.record.at.total_cmp(&b.1.record.at).then(a.0.cmp(b.0)));
        let mut rooms = self.coming();
        let offers = self.offers(now);
        let mut candidates = Vec::new();
        for (id, job) in waiting {
            let wish = job.wish();
            let has_room = take_room(&mut rooms, &wish) > 0;
            let requirements = &job.requirements;
            let rentable = offers.iter().any(|offer| {
                requirements.allows(&offer.machine_type, &offer.zone, offer.spot)
                    && requirements.resources.fits(&offer.capacity)
            });
            let waited = now.saturating_duration_since(job.learned) >= federation.spill_after;
            if waited && !has_room && !rentable && self.may_leave(id, job) {
                candidates.push((id.clone(), wish));
            }
            if candidates.len() >= most {
                break;
            }
        }
        candidates
    }

    /// Whether a job is of a kind that may be passed on, and waits for room rather than
    /// for its team's limit. One that visits is not passed on: one hop at most.
    fn may_leave(&self, id: &Arc<str>, job: &OpenJob) -> bool {
        let plain = job.record.stage == JobStage::Open && !job.is_service() && !job.is_constrained();
        let headroom =
            self.teams.get(&job.spec.team).is_some_and(|b| b.headroom(&job.requirements.resources) > 0);
        let in_flight = self.commits.is_in_flight(&CommitTarget::Job(id.clone()));
        plain && headroom && !in_flight && job.is_untouched(self.applied_revision)
    }

    /// The unit by which a job is offered to a cell.
    pub fn offer_update(&mut self, id: &Arc<str>, cell: CellId) -> Option<OfferUpdate> {
        let job = self.open_job(id).filter(|job| self.may_leave(id, job))?;
        let (version, record) = (job.version, job.record.clone());
        let leader = self.leader_condition()?;
        let epoch = Epoch::from_parts(leader.version, self.federation.offers)?;
        let away = Some(AwayRecord::for_offer(cell, epoch));
        let key = records::job_key(id);
        let conditions = vec![leader, self.unchanged(key.clone())];
        let value = self.job_value(&JobRecord { stage: JobStage::Away, away, ..record });
        self.federation.offers += 1;
        self.federation.unsettled.insert(id.clone(), (version, epoch));
        let update = AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] };
        Some(OfferUpdate { job: id.clone(), update })
    }

    /// Notes that the transaction of an offer will not be carried out any more, or was.
    pub fn offer_settled(&mut self, id: &Arc<str>) {
        self.federation.unsettled.remove(id);
    }

    pub(super) fn away_jobs(&self) -> impl Iterator<Item = (&Arc<str>, &AwayJob, &AwayRecord)> {
        self.jobs.iter().filter_map(|(id, job)| match job {
            Job::Away(job) => job.record.away.as_ref().map(|away| (id, job.as_ref(), away)),
            _ => None,
        })
    }

    /// How many jobs are away at a cell.
    pub fn away_at(&self, cell: &str) -> usize {
        self.away_jobs().filter(|(_, _, away)| away.cell.name == cell).count()
    }

    /// What to ask a cell about the jobs that are away there, up to `most`, those after
    /// `last` first.
    pub fn away_requests(&self, cell: &str, last: Option<&str>, most: usize) -> Vec<AwayRequest> {
        let mut requests: Vec<AwayRequest> = self
            .away_jobs()
            .filter(|(_, _, away)| away.cell.name == cell)
            .map(|(id, job, away)| {
                let unheard = matches!(job.heard, None | Some(TransferState::Unknown));
                let request = away.next_request(unheard);
                let offered = request == TransferRequest::Offer;
                let spec = if offered { job.record.spec.clone() } else { None };
                AwayRequest { job: id.clone(), epoch: away.epoch, request, spec, submitted: job.record.at }
            })
            .collect();
        requests.sort_by(|a, b| a.job.cmp(&b.job));
        let begin = last.map_or(0, |last| requests.partition_point(|r| &*r.job <= last));
        requests.rotate_left(begin);
        // Cancellations can't wait for their turn.
        requests.sort_by_key(|r| r.request != TransferRequest::Cancel);
        requests.truncate(most);
        requests
    }

    /// The incarnation of a cell at which a job is away.
    pub fn away_cell(&self, job: &str) -> Option<CellId> {
        match self.jobs.get(job)? {
            Job::Away(job) => job.record.away.as_ref().map(|away| away.cell.clone()),
            _ => None,
        }
    }

    /// The watermark for a cell: all transfers to it with a lower epoch are over.
    pub fn watermark_for(&mut self, cell: &str) -> Option<Epoch> {
        let term = self.role.leadership?;
        // An offer is settled once the record that it is bound to has changed.
        let versions: Vec<Arc<str>> = self
            .federation
            .unsettled
            .iter()
            .filter(|(id, (version, _))| self.version(&records::job_key(id)) != *version)
            .map(|(id, _)| id.clone())
            .collect();
        for id in versions {
            self.federation.unsettled.remove(&id);
        }
        let next = Epoch::from_parts(term, self.federation.offers)?;
        let away = self.away_jobs().filter(|(_, _, away)| away.cell.name == cell);
        let unsettled = self.federation.unsettled.values().map(|(_, epoch)| *epoch);
        Some(compute_watermark(away.map(|(_, _, away)| away.epoch).chain(unsettled), next))
    }

    /// Takes over a cell's answer about a job; returns what has to be committed.
    pub fn away_answer(
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
            away_job.heard = Some(state);
        }
        let record = match away.on_answer(from, epoch, state) {
            HomeStep::Wait => return None,
            HomeStep::Reopen => JobRecord { stage: JobStage::Open, away: None, ..away_job.record.clone() },
            HomeStep::End { outcome: Outcome::Done, done } => away_job.record.compact(JobStage::Done, done),
            HomeStep::End { outcome: Outcome::Cancelled, done } => {
                away_job.record.compact(JobStage::Withdrawn, done)
            }
        };
        let key = records::job_key(job);
        let conditions = vec![leader, self.unchanged(key.clone())];
        let value = self.job_value(&record);
        Some(AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] })
    }

    /// The unit by which any node notes that a job which is away is to be cancelled;
    /// `Ok(None)`: that is noted already. `Err`: it is not away.
    pub fn away_cancellation(&self, id: &str) -> Result<Option<AtomicUpdate>, NotAway> {
        let Some(Job::Away(job)) = self.jobs.get(id) else { return Err(NotAway) };
        let Some(away) = job.record.away.as_ref().filter(|away| !away.cancelling) else { return Ok(None) };
        let key = records::job_key(id);
        let record = JobRecord { away: Some(away.with_cancellation_requested()), ..job.record.clone() };
        let conditions = vec![self.unchanged(key.clone())];
        let value = self.job_value(&record);
        Ok(Some(AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] }))
    }
}

/// A job is not away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAway;
