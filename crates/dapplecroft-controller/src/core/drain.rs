//! Adaptive repacking: at most one drain at a time, each with a record.

use super::Core;
use crate::jobs::{Stop, TaskId};
use crate::records::{self, DrainRecord};
use dapplecroft_sched::{DrainRules, Need, Resident, Slot, plan_drain};
use dapplecroft_state::Unit;
use dapplecroft_wire::state::{Change, Condition};
use std::collections::VecDeque;
use std::time::Instant;

/// What a holder remembers of drains and of how full machines were.
#[derive(Debug, Default)]
pub(super) struct DrainState {
    last: Option<Instant>,
    seen: Option<(u64, Instant)>,
    shares: VecDeque<(Instant, f64)>,
}

impl Core {
    /// The next step of repacking: a change of the drain's record, if any.
    pub fn drain_step(&mut self, now: Instant) -> Option<Unit> {
        self.holding(now)?;
        let slots = self.slots(now);
        self.note_shares(&slots, now);
        if let Some((record, version)) = self.drain.clone() {
            return self.continue_drain(&record, version, now);
        }
        if self.drains.last.is_some_and(|at| now.saturating_duration_since(at) < self.options.drain_every) {
            return None;
        }
        let record = self.new_drain(&slots, now)?;
        self.drains.last = Some(now);
        tracing::info!(
            machine = record.machine,
            for_job = record.for_job,
            moves = record.moves.len(),
            "draining a machine so that a waiting task can start"
        );
        let mut conditions = self.role_conditions()?;
        conditions.push(Condition { key: records::DRAIN.into(), version: 0 });
        let value = serde_json::to_value(&record).ok()?;
        let changes = vec![Change::Set { key: records::DRAIN.into(), value, lease: None }];
        Some(Unit { conditions, changes })
    }

    /// The cap on what a drain fills: the highest share within the window, and
    /// the whole machine until anything was seen.
    fn note_shares(&mut self, slots: &[Slot], now: Instant) {
        let highest = slots.iter().filter(|s| s.open).map(Slot::share).fold(0.0, f64::max);
        let window = self.options.drain_window;
        let shares = &mut self.drains.shares;
        shares.retain(|(at, _)| now.saturating_duration_since(*at) <= window);
        shares.push_back((now, highest));
    }

    fn cap(&self, now: Instant) -> f64 {
        let whole = self
            .drains
            .shares
            .front()
            .is_none_or(|(at, _)| now.saturating_duration_since(*at) < self.options.drain_window / 2);
        if whole {
            return 1.0;
        }
        self.drains.shares.iter().map(|(_, s)| *s).fold(0.0, f64::max).min(1.0)
    }

    fn new_drain(&self, slots: &[Slot], now: Instant) -> Option<DrainRecord> {
        // Tasks that are put off after failures are not among these.
        let waiting: Vec<(&str, Need)> = self
            .waiting
            .iter()
            .filter_map(|id| {
                let job = self.open_job(id)?;
                let ready = job.is_open() && job.not_before.is_none_or(|at| at <= now);
                let admitted = self.teams.get(&job.spec.team)?.admits(&job.need.amounts);
                let fits = slots.iter().any(|s| s.open && job.need.fits(s));
                (ready && admitted && !fits && job.failures == 0).then(|| (&**id, job.need.clone()))
            })
            .collect();
        if waiting.is_empty() {
            return None;
        }
        let needs: Vec<Need> = waiting.iter().map(|(_, n)| n.clone()).collect();
        let (tasks, residents): (Vec<TaskId>, Vec<Resident>) =
            self.residents(slots, self.options.drain_every, now).into_iter().unzip();
        let rules = DrainRules {
            trigger: self.options.drain_trigger,
            cap: self.cap(now),
            oldest: self.options.drain_every,
        };
        let plan = plan_drain(&needs, slots, &residents, rules)?;
        let moves = plan
            .moves
            .iter()
            .filter_map(|m| {
                let task = &tasks[m.resident];
                let attempt = self.open_job(&task.job)?.placed.get(&task.index)?.attempt;
                Some((task.job.to_string(), task.index, attempt, slots[m.to].machine.clone()))
            })
            .collect();
        Some(DrainRecord {
            machine: slots[plan.slot].machine.clone(),
            for_job: waiting[plan.waiting].0.to_string(),
            moves,
        })
    }

    /// Stops the tasks of the drained machine, and ends the drain when they are
    /// elsewhere, or when it has taken too long.
    fn continue_drain(&mut self, record: &DrainRecord, version: u64, now: Instant) -> Option<Unit> {
        let begun = match self.drains.seen {
            Some((seen, at)) if seen == version => at,
            _ => {
                self.drains.seen = Some((version, now));
                now
            }
        };
        let mut left = false;
        for (job, index, attempt, _) in &record.moves {
            let task = TaskId { job: job.as_str().into(), index: *index };
            let Some(placed) = self.open_job(job).and_then(|j| j.placed.get(index)) else {
                // Done, or waiting to be placed where the record says.
                left |= self.open_job(job).is_some_and(|j| j.is_open() && j.requeued.contains(index));
                continue;
            };
            if placed.machine == record.machine && placed.attempt == *attempt {
                left = true;
                self.stop(&task, Stop::Drained);
            }
        }
        let emptied = self.machines.get(&record.machine).is_none_or(|m| m.booked == Default::default());
        let waits = self.waiting.contains(record.for_job.as_str());
        let long = now.saturating_duration_since(begun) > self.options.drain_every * 2;
        if (left || (emptied && waits)) && !long {
            return None;
        }
        let mut conditions = self.role_conditions()?;
        conditions.push(Condition { key: records::DRAIN.into(), version });
        Some(Unit { conditions, changes: vec![Change::Drop { key: records::DRAIN.into() }] })
    }
}
