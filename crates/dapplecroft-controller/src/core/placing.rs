//! A round of placement: best fit decreasing on the dominant share, and the
//! displacement of work that has to give way.

use super::Core;
use crate::jobs::{OpenJob, Placed, Stop, TaskId};
use crate::machines::{Fate, Machine};
use dapplecroft_sched::{Amounts, Claim, Demand, Need, Resident, Slot, best_fit, pick_victims};
use dapplecroft_wire::users::Rank;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most placements of one round, so that a round never holds up reports.
const MAX_PER_ROUND: usize = 200;
/// Most displacements of one round.
const MAX_DISPLACED: usize = 20;

/// In which order jobs are served: rank, then work within a guarantee, then how
/// pressing it is, then the larger tasks, then the jobs with the least left to
/// do, then what is due first.
type Order = (u8, bool, Pressing, Reverse<i64>, u64, u64, u64);

/// How pressing a job is. Best fit is decreasing within each of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Pressing {
    /// It must start soon to be in time.
    Now,
    /// There is time.
    Later,
    /// It is too late already: others can still be in time.
    Missed,
}

fn pressing(left: f64, estimate: f64) -> Pressing {
    let slack = left - estimate;
    if slack < -0.25 * estimate {
        Pressing::Missed
    } else if slack < (0.5 * estimate).max(15.0) {
        Pressing::Now
    } else {
        Pressing::Later
    }
}

impl Core {
    /// Machines as placement sees them. Only those whose worker has accepted
    /// the present token, and is heard, are open.
    pub(super) fn slots(&self, now: Instant) -> Vec<Slot> {
        let Some(holding) = self.role.holding else { return Vec::new() };
        let silence = self.settings.report_every().mul_f64(1.5);
        self.machines
            .values()
            .filter_map(|m| {
                let heard = m.heard.is_some_and(|at| now.saturating_duration_since(at) <= silence);
                let open = heard
                    && m.synced(holding.epoch)
                    && m.fate == Fate::Keep
                    && !m.releasing
                    && m.taken_at.is_none()
                    && m.failed_jobs.len() < 2;
                self.slot(m, open)
            })
            .collect()
    }

    /// A machine as placement sees it; `None` if its type is unknown.
    pub(super) fn slot(&self, machine: &Machine, open: bool) -> Option<Slot> {
        Some(Slot {
            machine: machine.id.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            capacity: self.capacity(&machine.machine_type)?,
            booked: machine.booked,
            images: machine.images.clone(),
            open,
            doubtful: !machine.failed_jobs.is_empty(),
        })
    }

    /// What a machine of a type has.
    pub(super) fn capacity(&self, machine_type: &str) -> Option<Amounts> {
        let catalog = self.catalog.as_ref()?;
        let hull = catalog.hulls.iter().find(|t| t.name == machine_type)?;
        Some(Amounts::new(hull.cpus, hull.gpus, hull.memory_gb))
    }

    /// Jobs that lie within their team's guarantee together with the team's
    /// earlier unfinished ones.
    fn guaranteed(&self) -> HashMap<Arc<str>, bool> {
        let mut by_age: Vec<(&Arc<str>, &OpenJob)> = self
            .open
            .iter()
            .filter_map(|id| self.open_job(id).map(|j| (id, j)))
            .filter(|(_, j)| j.is_open())
            .collect();
        by_age.sort_by(|a, b| a.1.record.at.total_cmp(&b.1.record.at).then(a.0.cmp(b.0)));
        let mut totals: HashMap<&str, Amounts> = HashMap::new();
        let mut result = HashMap::new();
        for (id, job) in by_age {
            let total = totals.entry(job.spec.team.as_str()).or_default();
            let left = i64::from(job.record.tasks - job.done().min(job.record.tasks));
            *total += job.need.amounts.times(left);
            let within = self.teams.get(&job.spec.team).is_some_and(|b| b.guarantees(total));
            result.insert(id.clone(), within);
        }
        result
    }

    /// When a job should be complete, in seconds since 1970.
    fn due(&self, job: &OpenJob) -> f64 {
        let within = [job.spec.deadline_s, self.settings.finished_within(&job.spec.class)];
        let within = within.into_iter().flatten().min_by(f64::total_cmp);
        job.record.at + within.unwrap_or(job.spec.estimate_s * 4.0)
    }

    /// Waiting jobs in the order in which they are served.
    fn serving_order(&self, wall: f64, now: Instant) -> Vec<(Order, Arc<str>)> {
        let guaranteed = self.guaranteed();
        let mut order: Vec<(Order, Arc<str>)> = self
            .waiting
            .iter()
            .filter_map(|id| {
                let job = self.open_job(id)?;
                if job.not_before.is_some_and(|at| at > now) {
                    return None;
                }
                let within = guaranteed.get(id).copied().unwrap_or(false);
                let due = self.due(job);
                let tasks = job.record.tasks - job.done().min(job.record.tasks);
                let key = (
                    job.rank(),
                    !within,
                    pressing(due - wall, job.spec.estimate_s),
                    Reverse(job.need.amounts.cpus),
                    (f64::from(tasks) * job.spec.estimate_s) as u64,
                    (due.max(0.0) * 1000.0) as u64,
                    (job.record.at.max(0.0) * 1000.0) as u64,
                );
                Some((key, id.clone()))
            })
            .collect();
        order.sort();
        order
    }

    /// One round. Proposals become commands only once they are committed.
    /// `wall` is the time of day in seconds since 1970.
    pub fn place(&mut self, wall: f64, now: Instant) {
        if self.holding(now).is_none() || self.catalog.is_none() {
            return;
        }
        let mut slots = self.slots(now);
        let order = self.serving_order(wall, now);
        let mut left = MAX_PER_ROUND;
        self.unplaced.clear();
        let mut unplaced = Vec::new();
        for (_, id) in &order {
            left -= self.place_job(id, &mut slots, left, now);
            let Some(job) = self.open_job(id) else { continue };
            let book = self.teams.get(&job.spec.team);
            let room = book.map_or(0, |b| b.headroom(&job.need.amounts));
            let count = i64::from(job.waiting()).min(room);
            if count > 0 {
                unplaced.push((id.clone(), Demand { need: job.need.clone(), count }));
            }
        }
        if self.options.preempt {
            self.displace(&unplaced, &slots, now);
        }
        if !unplaced.is_empty() {
            self.wakes.fleet = true;
        }
        self.unplaced = unplaced.into_iter().map(|(_, demand)| demand).collect();
    }

    /// How many of a job's tasks each zone has.
    fn zones_of(&self, job: &OpenJob) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        for placed in job.placed.values() {
            if let Some(machine) = self.machines.get(&placed.machine) {
                *zones.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    fn place_job(&mut self, id: &Arc<str>, slots: &mut [Slot], most: usize, now: Instant) -> usize {
        let Some(job) = self.open_job(id) else { return 0 };
        if !job.is_open() {
            return 0;
        }
        let (need, team) = (job.need.clone(), job.spec.team.clone());
        let (one_zone, spread, tasks) = (job.spec.one_zone, job.spec.spread, job.record.tasks);
        let constrained = one_zone || spread;
        let mut zones = if constrained { self.zones_of(job) } else { BTreeMap::new() };
        let avoid = if job.failed_on.len() < 2 { job.failed_on.clone() } else { Default::default() };
        // Kept for another job by a drain, or this job failed there.
        let reserved = self.drain.as_ref().map(|(d, _)| d.clone());
        let mut closed = Vec::new();
        for (index, slot) in slots.iter_mut().enumerate().filter(|(_, s)| s.open) {
            let kept = reserved.as_ref().is_some_and(|d| d.machine == slot.machine && *d.for_job != **id);
            if kept || avoid.contains(&slot.machine) {
                slot.open = false;
                closed.push(index);
            }
        }
        let mut placed = 0;
        let mut skipped = Vec::new();
        while placed < most {
            let Some(index) = self.open_job(id).and_then(OpenJob::next_waiting) else { break };
            if !self.teams.get(&team).is_some_and(|b| b.admits(&need.amounts)) {
                break;
            }
            let task = TaskId { job: id.clone(), index };
            if self.ghosts.contains_key(&task) {
                // It is still somewhere, against all records: it waits.
                if let Some(job) = self.open_job_mut(id) {
                    job.take(index);
                }
                skipped.push(index);
                continue;
            }
            let zone_ok = |zone: &str| {
                let here = zones.get(zone).copied().unwrap_or(0);
                (!one_zone || zones.is_empty() || here > 0) && (!spread || here < tasks.div_ceil(2))
            };
            let pinned = reserved.as_ref().and_then(|d| {
                let (_, _, _, to) = d.moves.iter().find(|(j, i, _, _)| **j == **id && *i == index)?;
                let found = slots.iter().position(|s| s.machine == *to)?;
                (slots[found].open && need.fits(&slots[found]) && zone_ok(&slots[found].zone))
                    .then_some(found)
            });
            let Some(found) = pinned.or_else(|| best_fit(slots, &need, zone_ok)) else { break };
            let slot = &mut slots[found];
            slot.booked += need.amounts;
            if let Some(image) = &need.image {
                slot.images.entry(image.clone()).or_insert(false);
            }
            if constrained {
                *zones.entry(slot.zone.clone()).or_default() += 1;
            }
            let machine = slot.machine.clone();
            self.propose(&task, &machine, now);
            placed += 1;
        }
        closed.into_iter().for_each(|index| slots[index].open = true);
        if let Some(job) = self.open_job_mut(id) {
            job.requeued.extend(skipped);
        }
        self.refresh_waiting(id);
        placed
    }

    /// Books a task on a machine until its record is committed or refused.
    fn propose(&mut self, task: &TaskId, machine: &str, now: Instant) {
        let Some(session) = self.machines.get(machine).map(|m| m.session) else { return };
        let Some(job) = self.open_job_mut(&task.job) else { return };
        let attempt = job.next_attempt(task.index);
        let waited = now.saturating_duration_since(job.learned);
        tracing::debug!(%task, class = job.spec.class, machine, attempt, ?waited, "placing");
        job.take(task.index);
        job.placed.insert(
            task.index,
            Placed {
                attempt,
                machine: machine.to_string(),
                session,
                committed: false,
                since: now,
                running: None,
                sent: 0,
                stop: None,
            },
        );
        let (team, amounts) = (job.spec.team.clone(), job.need.amounts);
        self.book(task, machine, &team, amounts, now);
        self.dirty.insert(task.job.clone());
        self.wakes.flush = true;
    }

    /// The committed tasks on the given slots.
    pub(super) fn residents(
        &self,
        slots: &[Slot],
        oldest: Duration,
        now: Instant,
    ) -> Vec<(TaskId, Resident)> {
        let mut residents = Vec::new();
        for (index, slot) in slots.iter().enumerate() {
            let Some(machine) = self.machines.get(&slot.machine) else { continue };
            for task in &machine.tasks {
                let Some(job) = self.open_job(&task.job) else { continue };
                let Some(placed) = job.placed.get(&task.index) else { continue };
                // Time spent on fetching an image is lost with the task too.
                let ran = now.saturating_duration_since(placed.since);
                let ended = job.exits.contains_key(&task.index);
                let young = ran <= oldest;
                residents.push((
                    task.clone(),
                    Resident {
                        slot: index,
                        need: job.need.clone(),
                        ran,
                        movable: placed.committed && !ended && young && job.spec.kind == "sweep",
                        leaving: placed.stop.is_some() || ended || !placed.committed,
                        rank: job.rank(),
                        beyond_guarantee: self
                            .teams
                            .get(&job.spec.team)
                            .is_some_and(|b| b.beyond_guarantee()),
                    },
                ));
            }
        }
        residents
    }

    /// Stops work that has to give way to waiting work.
    fn displace(&mut self, unplaced: &[(Arc<str>, Demand)], slots: &[Slot], now: Instant) {
        if unplaced.is_empty() {
            return;
        }
        let guaranteed = self.guaranteed();
        let mut residents = self.residents(slots, Duration::MAX, now);
        if residents.is_empty() {
            return;
        }
        // What is on its way out counts as free already, so that nothing more
        // is stopped for a task that will fit there.
        let mut future: Vec<Slot> = slots.to_vec();
        for (task, resident) in &residents {
            let committed =
                self.open_job(&task.job).and_then(|j| j.placed.get(&task.index)).is_some_and(|p| p.committed);
            if resident.leaving && committed {
                future[resident.slot].booked -= resident.need.amounts;
            }
        }
        let mut left = MAX_DISPLACED;
        for (id, demand) in unplaced {
            let Some(job) = self.open_job(id) else { continue };
            let within = guaranteed.get(id).copied().unwrap_or(false);
            // Among ordinary work a guarantee is served first, but stops nothing:
            // work that is stopped for it waits in its turn, and so on.
            let urgent = job.spec.priority < Rank::Normal;
            let claim = Claim { rank: job.rank(), within_guarantee: within && urgent };
            let need: Need = demand.need.clone();
            for _ in 0..demand.count {
                if left == 0 {
                    return;
                }
                if let Some(found) = best_fit(&future, &need, |_| true) {
                    future[found].booked += need.amounts;
                    continue;
                }
                let pool: Vec<Resident> = residents.iter().map(|(_, r)| r.clone()).collect();
                let limit = self.options.preempt_limit;
                let Some(found) = pick_victims(&future, &pool, &need, claim, |_| true, limit) else { break };
                for &victim in &found.residents {
                    let (task, resident) = &mut residents[victim];
                    resident.leaving = true;
                    future[found.slot].booked -= resident.need.amounts;
                    left = left.saturating_sub(1);
                    tracing::info!(task = %task, for_job = %id, ?claim, ran = ?resident.ran, "a task gives way");
                    let task = task.clone();
                    self.stop(&task, Stop::Preempted);
                }
                future[found.slot].booked += need.amounts;
            }
        }
    }

    /// Asks for a task's end.
    pub(super) fn stop(&mut self, task: &TaskId, why: Stop) {
        let Some(job) = self.open_job_mut(&task.job) else { return };
        let Some(placed) = job.placed.get_mut(&task.index).filter(|p| p.committed) else { return };
        if placed.stop.is_none() {
            placed.stop = Some(why);
            let machine = placed.machine.clone();
            self.wakes.command.insert(machine);
        }
    }
}
