//! The visited cell's part: what is known of a transfer, what is committed before it is
//! answered, what is given back, and what may be forgotten.

use crate::core::{CommitTarget, Core};
use crate::jobs::{Job, OpenJob};
use crate::records::{self, JobRecord, JobStage, stored_size};
use dapplecroft_admission::Spending;
use dapplecroft_cloud::MAX_MACHINES_PER_RENTAL;
use dapplecroft_federation::summary::{Room, Summary};
use dapplecroft_federation::visitor::{Known, is_prunable, on_request};
use dapplecroft_federation::{
    CellId, Epoch, Origin, RefusalRecord, TransferRequest, TransferState, Visit, VisitorStep,
};
use dapplecroft_sched::Resources;
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::state::{Change, Condition};
use dapplecroft_wire::users::JobSpec;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes of a value that are kept for what is noted of a job later on.
const NOTES: usize = 300;

/// For so long nothing is allocated of a job that is to be given back.
const RETURN_HOLD: Duration = Duration::from_secs(5);

/// What follows from a request of another cell.
#[derive(Debug, Clone)]
pub enum VisitPlan {
    /// It is answered.
    Answer(TransferState),
    /// This is committed first; then the request is looked at again. Credit that it
    /// spends has to be settled.
    Commit(AtomicUpdate, Option<Spending>),
    /// It is an incarnation that has been replaced.
    OutdatedSender,
    /// Nothing can be said now.
    NotNow,
}

/// A request of another cell about one job.
#[derive(Debug, Clone)]
pub struct VisitRequest<'a> {
    /// The job's home cell.
    pub from: &'a CellId,
    /// The job.
    pub job: &'a str,
    /// The transfer.
    pub epoch: Epoch,
    /// What is asked.
    pub request: TransferRequest,
    /// The specification, with an offer.
    pub spec: Option<&'a JobSpec>,
    /// Seconds since 1970 at its submission, with an offer.
    pub submitted: f64,
}

/// How many bytes of a value are left for a visiting job's own fields.
fn fits_value(value: &serde_json::Value, limit: usize) -> bool {
    stored_size(value) + NOTES <= limit
}

fn visiting_record(request: &VisitRequest, spec: JobSpec) -> JobRecord {
    JobRecord {
        stage: JobStage::Hosted,
        tasks: spec.tasks,
        allocated: BTreeMap::new(),
        legacy_done: Default::default(),
        done: None,
        submitted_at: request.submitted,
        spec: Some(spec),
        away: None,
        origin: Some(Origin { cell: request.from.clone(), epoch: request.epoch }),
        credit: None,
    }
}

impl OpenJob {
    fn visit_state(&self) -> TransferState {
        let running = self.placed.values().filter(|p| p.committed).count();
        let done = self.done.len();
        match self.record.stage {
            // Its cancellation is committed: nothing of it will start.
            JobStage::Cancelled => TransferState::Withdrawn { done },
            _ => TransferState::Accepted { done, running: u32::try_from(running).unwrap_or(u32::MAX) },
        }
    }
}

impl Core {
    fn visit(&self, job: &str) -> Visit {
        let origin = self.federation.visits.get(job).cloned();
        match (self.jobs.get(job), origin) {
            (None, _) => Visit::Absent,
            (Some(_), None) | (Some(Job::Away(_)), _) => Visit::Foreign,
            (Some(Job::Open(open)), Some(origin)) => Visit::Present { origin, state: open.visit_state() },
            (Some(Job::Final { stage: JobStage::Done, done }), Some(origin)) => {
                Visit::Present { origin, state: TransferState::Done { done: *done } }
            }
            (Some(Job::Final { done, .. }), Some(origin)) => {
                Visit::Present { origin, state: TransferState::Withdrawn { done: *done } }
            }
        }
    }

    /// What to do about a request of another cell. `taken_cpus` are those of jobs that
    /// were accepted and are not in the copy yet.
    pub fn visit_plan(&mut self, request: &VisitRequest, taken_cpus: i64, now: Instant) -> VisitPlan {
        let (from, job) = (request.from, request.job);
        let known = Known {
            job: self.visit(job),
            refused: self
                .federation
                .refusals
                .get(&(from.name.clone(), from.incarnation, job.to_string()))
                .copied(),
            watermark: self.federation.watermark(&from.name),
        };
        let room = request.spec.is_some_and(|spec| self.has_room_for_visitor(spec, taken_cpus, now));
        let update = match on_request(&known, from, request.epoch, request.request, room) {
            VisitorStep::Answer(state) => return VisitPlan::Answer(state),
            VisitorStep::OutdatedSender => return VisitPlan::OutdatedSender,
            VisitorStep::Accept => return self.accept_plan(request),
            VisitorStep::Refuse => self.refuse_update(request),
            VisitorStep::Withdraw => self.withdraw_visit_update(request),
        };
        update.map_or(VisitPlan::NotNow, |update| VisitPlan::Commit(update, None))
    }

    /// The conditions of any change that a request brings: everything that the decision
    /// rests on is as it was.
    fn visit_conditions(&self, from: &CellId, job: &str) -> Option<Vec<Condition>> {
        Some(vec![
            self.leader_condition()?,
            self.unchanged(records::job_key(job)),
            self.unchanged(records::refusal_key(&from.name, from.incarnation, job)),
            self.unchanged(records::watermark_key(&from.name)),
        ])
    }

    /// A job of another cell is admitted as a user's is, by the leader's own credit.
    fn accept_plan(&mut self, request: &VisitRequest) -> VisitPlan {
        let Some(spec) = request.spec else { return VisitPlan::NotNow };
        let record = visiting_record(request, spec.clone());
        if !fits_value(&self.job_value(&record), self.limits().value) {
            return self.refuse_plan(request);
        }
        let Some(mut conditions) = self.visit_conditions(request.from, request.job) else {
            return VisitPlan::NotNow;
        };
        let Ok(admitted) = self.admit(spec) else {
            tracing::debug!(job = request.job, from = %request.from, "no credit for a job of another cell");
            return self.refuse_plan(request);
        };
        conditions.extend(admitted.conditions);
        let key = records::job_key(request.job);
        let value = self.job_value(&JobRecord { credit: admitted.tag, ..record });
        let update = AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] };
        VisitPlan::Commit(update, admitted.spending)
    }

    fn refuse_plan(&self, request: &VisitRequest) -> VisitPlan {
        self.refuse_update(request).map_or(VisitPlan::NotNow, |update| VisitPlan::Commit(update, None))
    }

    fn refuse_update(&self, request: &VisitRequest) -> Option<AtomicUpdate> {
        let conditions = self.visit_conditions(request.from, request.job)?;
        let change = refusal(request.from, request.job, request.epoch);
        Some(AtomicUpdate { conditions, changes: vec![change] })
    }

    fn withdraw_visit_update(&self, request: &VisitRequest) -> Option<AtomicUpdate> {
        let conditions = self.visit_conditions(request.from, request.job)?;
        let (record, _) = self.cancelled_job_record(request.job)?;
        let key = records::job_key(request.job);
        let value = self.job_value(&record);
        Some(AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] })
    }

    /// Processors of other cells' jobs that are not over.
    fn visiting_cpus(&self) -> i64 {
        let open = self.federation.visits.keys().filter_map(|id| self.open_job(id));
        open.filter(|job| job.is_open())
            .map(|job| job.requirements.resources.cpus * i64::from(job.unfinished_tasks()))
            .sum()
    }

    /// Processors that other cells' jobs may still ask for: a share of what is up and of
    /// what one more rental would bring, as far as is known.
    fn welcome_cpus(&self, now: Instant) -> i64 {
        let share = self.options.federation.as_ref().map_or(0.0, |f| f.visitors_share);
        let up: i64 =
            self.machines.values().filter(|m| m.likely_accepts_tasks()).map(|m| m.capacity.cpus).sum();
        let rentable = self.offers(now).iter().map(|offer| offer.capacity.cpus).max().unwrap_or(0);
        let all = up + rentable * i64::from(MAX_MACHINES_PER_RENTAL);
        (all as f64 * share) as i64 - self.visiting_cpus()
    }

    fn backlog_cpus(&self) -> i64 {
        self.unplaced_demand.iter().map(|demand| demand.requirements.resources.cpus * demand.count).sum()
    }

    /// Whether this cell wants to take a job of another one: it could run here, nothing
    /// of this cell's own work waits for room, and the part for visitors is not used up.
    fn has_room_for_visitor(&self, spec: &JobSpec, taken_cpus: i64, now: Instant) -> bool {
        let Some(book) = self.teams.get(&spec.team) else { return false };
        let resources = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let cpus = resources.cpus * i64::from(spec.tasks);
        if spec.is_service() || spec.one_zone || spec.spread || book.headroom(&resources) == 0 {
            return false;
        }
        if self.backlog_cpus() > 0 || self.welcome_cpus(now) - taken_cpus < cpus {
            return false;
        }
        let summary_rooms = self.rooms_up();
        let rentable = self.rooms_rentable(now);
        let allowed = |room: &Room| {
            spec.types.as_ref().is_none_or(|names| names.contains(&room.machine_type))
                && spec.zone.as_ref().is_none_or(|zone| *zone == room.zone)
                && (spec.spot || !room.spot)
        };
        let mut rooms = summary_rooms.iter().chain(&rentable).filter(|room| allowed(room));
        rooms.any(|room| resources.fits(&room.free))
    }

    fn rooms_up(&self) -> Vec<Room> {
        type Kind<'a> = (&'a str, &'a str, bool, i64, i64, i64);
        let mut kinds: BTreeMap<Kind, Room> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.likely_accepts_tasks()) {
            let free = machine.free_resources();
            let kind =
                (&*machine.machine_type, &*machine.zone, machine.spot, free.cpus, free.gpus, free.memory);
            let room = kinds.entry(kind).or_insert_with(|| Room {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                free,
                capacity: machine.capacity,
                count: 0,
            });
            room.count += 1;
        }
        kinds.into_values().collect()
    }

    fn rooms_rentable(&self, now: Instant) -> Vec<Room> {
        let offers = self.offers(now).into_iter();
        let room = |offer: dapplecroft_sched::MachineOffer| Room {
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            free: offer.capacity,
            capacity: offer.capacity,
            count: 1,
        };
        offers.map(room).collect()
    }

    /// What this cell tells others of itself.
    pub fn cell_summary(&self, now: Instant) -> Option<Summary> {
        Some(Summary {
            cell: self.own_cell()?.clone(),
            up: self.rooms_up(),
            rentable: self.rooms_rentable(now),
            backlog_cpus: self.backlog_cpus(),
            welcome_cpus: self.welcome_cpus(now),
        })
    }

    /// Jobs of other cells that have waited here too long and of which, as far as the copy
    /// shows, nothing was ever started.
    fn overdue_visits(&self, now: Instant) -> Vec<Arc<str>> {
        let Some(federation) = &self.options.federation else { return Vec::new() };
        let overdue = |job: &OpenJob| {
            job.record.stage == JobStage::Hosted
                && now.saturating_duration_since(job.learned_at) >= federation.return_after
                && job.has_not_started()
        };
        let visits = self.federation.visits.keys();
        visits.filter(|id| self.open_job(id).is_some_and(overdue)).cloned().collect()
    }

    /// Takes back what is allocated of jobs that are to be given back, and allocates nothing
    /// of them for a while. A placement rests on an allocation and does not change the
    /// job's record: only once none is left, and the copy has caught up with that, is it
    /// known that nothing was placed.
    pub fn prepare_returns(&mut self, now: Instant) {
        for id in self.overdue_visits(now) {
            let in_flight = self.commit_queue.is_in_flight(&CommitTarget::Job(id.clone()));
            let Some(job) = self.open_job_mut(&id) else { continue };
            job.backoff_until = job.backoff_until.max(Some(now + RETURN_HOLD));
            if in_flight || !job.allocating.is_empty() || job.record.allocated.is_empty() {
                continue;
            }
            job.revoking = job.record.allocated.clone();
            self.refresh_job(&id);
            self.queue_job_commit(&id);
        }
    }

    /// Units that give back jobs of other cells of which nothing was ever started or is
    /// allocated. Each is bound to the job's record, as every allocation is.
    pub fn return_updates(&self, most: usize, now: Instant) -> Vec<AtomicUpdate> {
        let untouched =
            |id: &Arc<str>| self.open_job(id).is_some_and(|job| job.is_untouched(self.applied_revision));
        let due = self.overdue_visits(now).into_iter().filter(untouched).take(most);
        due.filter_map(|id| {
            let origin = self.federation.visits.get(&id)?;
            let conditions = self.visit_conditions(&origin.cell, &id)?;
            let drop = Change::Drop { key: records::job_key(&id) };
            let changes = vec![refusal(&origin.cell, &id, origin.epoch), drop];
            Some(AtomicUpdate { conditions, changes })
        })
        .collect()
    }

    /// The unit by which another cell's watermark is raised, if it tells anything new.
    pub fn watermark_update(&self, from: &CellId, epoch: Epoch) -> Option<AtomicUpdate> {
        let record = self.federation.watermark(&from.name).raised(from.incarnation, epoch)?;
        let key = records::watermark_key(&from.name);
        let conditions = vec![self.leader_condition()?, self.unchanged(key.clone())];
        let value = serde_json::to_value(record).ok()?;
        Some(AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] })
    }

    /// Whether anything would be dropped if a watermark were raised.
    pub fn watermark_frees(&self, from: &CellId, epoch: Epoch) -> bool {
        let Some(raised) = self.federation.watermark(&from.name).raised(from.incarnation, epoch) else {
            return false;
        };
        let refusals = self.federation.refusals.iter().filter(|((cell, _, _), _)| *cell == from.name);
        let mut refusals = refusals.map(|((_, incarnation, _), r)| (*incarnation, r.epoch));
        let visits = self.federation.visits.iter().filter(|(id, _)| self.is_over(id));
        let mut visits = visits
            .filter(|(_, origin)| origin.cell.name == from.name)
            .map(|(_, origin)| (origin.cell.incarnation, origin.epoch));
        refusals.any(|(i, e)| is_prunable(e, i, &raised)) || visits.any(|(i, e)| is_prunable(e, i, &raised))
    }

    pub(super) fn is_over(&self, id: &Arc<str>) -> bool {
        matches!(self.jobs.get(id), Some(Job::Final { .. }))
    }

    /// Units that drop what home cells have finished with, a few keys each.
    pub fn prune_updates(&self, most: usize) -> Vec<AtomicUpdate> {
        let Some(leader) = self.leader_condition() else { return Vec::new() };
        let refusals = self.federation.refusals.iter().filter_map(|((cell, incarnation, job), refusal)| {
            let watermark = self.federation.watermark(cell);
            let prunable = is_prunable(refusal.epoch, *incarnation, &watermark);
            prunable.then(|| records::refusal_key(cell, *incarnation, job))
        });
        let visits = self.federation.visits.iter().filter_map(|(id, origin)| {
            let watermark = self.federation.watermark(&origin.cell.name);
            let prunable = is_prunable(origin.epoch, origin.cell.incarnation, &watermark);
            (prunable && self.is_over(id)).then(|| records::job_key(id))
        });
        let drop = |key: String| AtomicUpdate {
            conditions: vec![leader.clone(), self.unchanged(key.clone())],
            changes: vec![Change::Drop { key }],
        };
        refusals.chain(visits).take(most).map(drop).collect()
    }
}

fn refusal(from: &CellId, job: &str, epoch: Epoch) -> Change {
    let key = records::refusal_key(&from.name, from.incarnation, job);
    let value = serde_json::json!(RefusalRecord { epoch });
    Change::Set { key, value, lease: None }
}
