//! Adaptive repacking: at most one drain at a time in a holder's shards, each
//! with a record.

use super::Core;
use crate::jobs::{OpenJob, Stop, TaskId};
use crate::records::{self, DrainMove, DrainRecord, stored_size};
use dapplecroft_sched::{RepackRules, Resident, Slot, TaskRequirements, plan_repack};
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::state::{Change, Condition};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Pause between two looks, which go over a shard's machines.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What a holder remembers of drains and of how full machines were.
#[derive(Debug, Default)]
pub(super) struct DrainState {
    looked: Option<Instant>,
    last: Option<Instant>,
    seen: Option<(u64, Instant)>,
    shares: VecDeque<(Instant, f64)>,
    turn: u32,
    /// Whether a write of a drain's record is on its way.
    writing: bool,
}

impl Core {
    /// The next step of repacking: a change of a drain's record, if any.
    pub fn drain_step(&mut self, now: Instant) -> Option<AtomicUpdate> {
        if self.role.leased_shards.is_empty() || !self.in_contact(now) || self.draining.writing {
            return None;
        }
        let begun = self.drains.iter().find(|(shard, _)| self.is_holder(**shard));
        if let Some((&shard, (record, version))) = begun {
            let (record, version) = (record.clone(), *version);
            return self.continue_drain(shard, &record, version, now);
        }
        if self.draining.looked.is_some_and(|at| now.saturating_duration_since(at) < DRAIN_CHECK_INTERVAL) {
            return None;
        }
        self.draining.looked = Some(now);
        self.note_shares(now);
        let recent = |at: Instant| now.saturating_duration_since(at) < self.options.drain_interval;
        if self.draining.last.is_some_and(recent) {
            return None;
        }
        // One shard at a look, in turn, beginning with the first.
        let turn = self.draining.turn;
        let held = &self.role.leased_shards;
        let shard = held.range(turn..).next().or_else(|| held.iter().next()).map(|(b, _)| *b)?;
        self.draining.turn = shard + 1;
        let record = self.new_drain(shard, now)?;
        let value = serde_json::to_value(&record).ok()?;
        if stored_size(&value) > self.limits().value {
            // So many tasks are not moved at a time.
            return None;
        }
        self.draining.last = Some(now);
        tracing::info!(
            machine = record.machine,
            for_job = record.for_job,
            moves = record.moves.len(),
            "draining a machine so that a waiting task can start"
        );
        let key = records::drain_key(shard);
        let conditions = vec![self.shard_condition(shard)?, Condition { key: key.clone(), version: 0 }];
        self.draining.writing = true;
        Some(AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] })
    }

    /// Notes the end of a write of a drain's record.
    pub fn drain_written(&mut self) {
        self.draining.writing = false;
    }

    fn shard_condition(&self, shard: u32) -> Option<Condition> {
        let shard_lease = self.role.leased_shards.get(&shard)?;
        Some(Condition { key: records::shard_key(shard), version: shard_lease.version })
    }

    /// The cap on what a drain fills: the highest share within the window, and
    /// the whole machine until anything was seen.
    fn note_shares(&mut self, now: Instant) {
        let silence = self.silence();
        let highest = self
            .machines
            .values()
            .filter(|m| self.role.leased_shards.get(&m.shard).is_some_and(|h| m.open(h.epoch, silence, now)))
            .map(|m| m.booked.share_of(&m.capacity))
            .fold(0.0, f64::max);
        let window = self.options.drain_window;
        let shares = &mut self.draining.shares;
        shares.retain(|(at, _)| now.saturating_duration_since(*at) <= window);
        shares.push_back((now, highest));
    }

    fn cap(&self, now: Instant) -> f64 {
        let whole = self
            .draining
            .shares
            .front()
            .is_none_or(|(at, _)| now.saturating_duration_since(*at) < self.options.drain_window / 2);
        if whole {
            return 1.0;
        }
        self.draining.shares.iter().map(|(_, s)| *s).fold(0.0, f64::max).min(1.0)
    }

    /// Jobs with a waiting task that fits nowhere in a shard, and what it needs. Jobs
    /// that are put off after failures are not among them.
    fn without_room_in(&self, shard: u32, now: Instant) -> Vec<(&str, TaskRequirements)> {
        let leads = self.leads(now);
        let may_start = |job: &OpenJob| {
            let ready = job.is_open() && job.not_before.is_none_or(|at| at <= now) && job.failures == 0;
            let team = self.teams.get(&job.spec.team);
            let may_be_allocated = leads
                && !job.unallocated.is_empty()
                && team.is_some_and(|t| t.allocates(&job.requirements.resources));
            ready && (job.waiting_in(shard) > 0 || may_be_allocated)
        };
        let waiting = self.waiting.iter().filter_map(|id| Some((id, self.open_job(id)?)));
        waiting
            .filter(|(_, job)| may_start(job))
            .filter(|(id, job)| self.candidates(id, job, shard, &Default::default(), now).is_empty())
            .map(|(id, job)| (&**id, (*job.requirements).clone()))
            .collect()
    }

    fn new_drain(&self, shard: u32, now: Instant) -> Option<DrainRecord> {
        let waiting = self.without_room_in(shard, now);
        if waiting.is_empty() {
            return None;
        }
        let task_requirements: Vec<TaskRequirements> = waiting.iter().map(|(_, n)| n.clone()).collect();
        let mut slots: Vec<Slot> = Vec::new();
        let mut tasks: Vec<TaskId> = Vec::new();
        let mut residents: Vec<Resident> = Vec::new();
        for machine in self.machines.values().filter(|m| m.shard == shard) {
            for (task, resident) in self.residents(machine, slots.len(), self.options.drain_interval, now) {
                tasks.push(task);
                residents.push(resident);
            }
            slots.push(self.slot(machine, now));
        }
        let rules = RepackRules {
            trigger: self.options.drain_max_share,
            cap: self.cap(now),
            oldest: self.options.drain_interval,
        };
        let plan = plan_repack(&task_requirements, &slots, &residents, rules)?;
        let moves = plan
            .moves
            .iter()
            .filter_map(|m| {
                let task = &tasks[m.resident];
                let attempt = self.open_job(&task.job)?.placed.get(&task.index)?.attempt;
                let to = slots[m.to].machine.clone();
                Some(DrainMove { job: task.job.to_string(), index: task.index, attempt, to })
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
    fn continue_drain(
        &mut self,
        shard: u32,
        record: &DrainRecord,
        version: u64,
        now: Instant,
    ) -> Option<AtomicUpdate> {
        let begun = match self.draining.seen {
            Some((seen, at)) if seen == version => at,
            _ => {
                self.draining.seen = Some((version, now));
                now
            }
        };
        let mut left = false;
        for DrainMove { job, index, attempt, .. } in &record.moves {
            let task = TaskId { job: job.as_str().into(), index: *index };
            let Some(placed) = self.open_job(job).and_then(|j| j.placed.get(index)) else {
                // Done, or waiting to be placed where the record says.
                let waits = |j: &OpenJob| j.waiting.get(&shard).is_some_and(|r| r.contains(*index));
                left |= self.open_job(job).is_some_and(waits);
                continue;
            };
            if *placed.machine == *record.machine && placed.attempt == *attempt {
                left = true;
                self.stop(&task, Stop::Drained, now);
            }
        }
        let machine = self.machines.get(record.machine.as_str());
        let emptied = machine.is_none_or(|m| m.booked == Default::default());
        let waits = self.waiting.contains(record.for_job.as_str());
        let long = now.saturating_duration_since(begun) > self.options.drain_interval * 2;
        if (left || (emptied && waits)) && !long {
            return None;
        }
        let key = records::drain_key(shard);
        let conditions = vec![self.shard_condition(shard)?, Condition { key: key.clone(), version }];
        self.draining.writing = true;
        Some(AtomicUpdate { conditions, changes: vec![Change::Drop { key }] })
    }
}
