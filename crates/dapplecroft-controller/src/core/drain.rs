//! Adaptive repacking: empties a lightly used machine so that a waiting task fits on
//! it. A controller runs at most one drain at a time across the shards it holds, and
//! keeps a record of the drain in the state service.

use super::Core;
use crate::jobs::{OpenJob, StopReason, TaskId};
use crate::records::{self, DrainMove, DrainRecord, stored_size};
use dapplecroft_sched::{MachineSnapshot, PlacedTask, RepackLimits, TaskRequirements, plan_repack};
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::state::{Change, Condition};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Minimum time between two checks for a new drain; a check scans a shard's machines.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A shard holder's in-memory state of drains and of how full its machines were.
#[derive(Debug, Default)]
pub(super) struct DrainState {
    /// When this controller last checked whether a drain would help.
    last_check: Option<Instant>,
    /// When this controller last started a drain.
    last_drain: Option<Instant>,
    /// Version of the current drain's record, and when this controller first saw it.
    current_seen: Option<(u64, Instant)>,
    /// Highest booked share of any open machine at each check within the drain window.
    highest_shares: VecDeque<(Instant, f64)>,
    /// Shard to check next; shards are checked in rotation.
    next_shard: u32,
    /// Whether a write of a drain's record is in flight.
    write_pending: bool,
}

impl Core {
    /// Continues the current drain, or starts a new one if a waiting task needs it and
    /// the drain interval has passed. Returns the update of the drain's record to
    /// commit, if any.
    pub fn drain_step(&mut self, now: Instant) -> Option<AtomicUpdate> {
        if self.role.leased_shards.is_empty() || !self.in_contact(now) || self.drain_state.write_pending {
            return None;
        }
        let current = self.drains.iter().find(|(shard, _)| self.is_holder(**shard));
        if let Some((&shard, (record, version))) = current {
            let (record, version) = (record.clone(), *version);
            return self.continue_drain(shard, &record, version, now);
        }
        if self
            .drain_state
            .last_check
            .is_some_and(|at| now.saturating_duration_since(at) < DRAIN_CHECK_INTERVAL)
        {
            return None;
        }
        self.drain_state.last_check = Some(now);
        self.record_highest_booked_share(now);
        let recent = |at: Instant| now.saturating_duration_since(at) < self.options.drain_interval;
        if self.drain_state.last_drain.is_some_and(recent) {
            return None;
        }
        // Each check looks at one shard, in rotation.
        let next_shard = self.drain_state.next_shard;
        let held = &self.role.leased_shards;
        let shard =
            held.range(next_shard..).next().or_else(|| held.iter().next()).map(|(shard, _)| *shard)?;
        self.drain_state.next_shard = shard + 1;
        let record = self.plan_drain(shard, now)?;
        let value = serde_json::to_value(&record).ok()?;
        if stored_size(&value) > self.limits().value {
            // The drain moves so many tasks that its record would exceed the state
            // service's limit on the size of a value.
            return None;
        }
        self.drain_state.last_drain = Some(now);
        tracing::info!(
            machine = record.machine,
            for_job = record.for_job,
            moves = record.moves.len(),
            "draining a machine so that a waiting task can start"
        );
        let key = records::drain_key(shard);
        let conditions = vec![self.shard_condition(shard)?, Condition { key: key.clone(), version: 0 }];
        self.drain_state.write_pending = true;
        Some(AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] })
    }

    /// Called when a write of a drain's record has finished, with whatever result.
    pub fn drain_write_finished(&mut self) {
        self.drain_state.write_pending = false;
    }

    /// Condition that this controller still holds the shard's lease.
    fn shard_condition(&self, shard: u32) -> Option<Condition> {
        let shard_lease = self.role.leased_shards.get(&shard)?;
        Some(Condition { key: records::shard_key(shard), version: shard_lease.version })
    }

    /// Samples the highest booked share among the open machines of the leased shards,
    /// and drops samples older than the drain window.
    fn record_highest_booked_share(&mut self, now: Instant) {
        let max_heartbeat_age = self.max_heartbeat_age();
        let highest = self
            .machines
            .values()
            .filter(|m| {
                self.role
                    .leased_shards
                    .get(&m.shard)
                    .is_some_and(|h| m.accepts_tasks(h.epoch, max_heartbeat_age, now))
            })
            .map(|m| m.booked.dominant_share_of(&m.capacity))
            .fold(0.0, f64::max);
        let window = self.options.drain_window;
        let shares = &mut self.drain_state.highest_shares;
        shares.retain(|(at, _)| now.saturating_duration_since(*at) <= window);
        shares.push_back((now, highest));
    }

    /// The booked share up to which a drain may fill other machines: the highest share
    /// seen within the drain window, or the whole machine while the samples cover less
    /// than half of the window.
    fn max_fill_share(&self, now: Instant) -> f64 {
        let history_too_short = self
            .drain_state
            .highest_shares
            .front()
            .is_none_or(|(at, _)| now.saturating_duration_since(*at) < self.options.drain_window / 2);
        if history_too_short {
            return 1.0;
        }
        self.drain_state.highest_shares.iter().map(|(_, s)| *s).fold(0.0, f64::max).min(1.0)
    }

    /// Jobs with a waiting task that fits on no machine of the shard, and the
    /// requirements of their tasks. Jobs that back off after failures are left out.
    fn jobs_without_room(&self, shard: u32, now: Instant) -> Vec<(&str, TaskRequirements)> {
        let leads = self.leads(now);
        let may_start = |job: &OpenJob| {
            let ready = job.is_open() && job.backoff_until.is_none_or(|at| at <= now) && job.failures == 0;
            let team = self.teams.get(&job.spec.team);
            let may_be_allocated = leads
                && !job.unallocated.is_empty()
                && team.is_some_and(|t| t.limit_allows(&job.requirements.resources));
            ready && (job.waiting_in(shard) > 0 || may_be_allocated)
        };
        let waiting = self.waiting_jobs.iter().filter_map(|id| Some((id, self.open_job(id)?)));
        waiting
            .filter(|(_, job)| may_start(job))
            .filter(|(id, job)| self.candidate_machines(id, job, shard, &Default::default(), now).is_empty())
            .map(|(id, job)| (&**id, (*job.requirements).clone()))
            .collect()
    }

    /// Plans a drain of one machine of the shard for a waiting task that fits on none.
    fn plan_drain(&self, shard: u32, now: Instant) -> Option<DrainRecord> {
        let waiting = self.jobs_without_room(shard, now);
        if waiting.is_empty() {
            return None;
        }
        let task_requirements: Vec<TaskRequirements> = waiting.iter().map(|(_, n)| n.clone()).collect();
        let mut snapshots: Vec<MachineSnapshot> = Vec::new();
        let mut tasks: Vec<TaskId> = Vec::new();
        let mut placed_tasks: Vec<PlacedTask> = Vec::new();
        for machine in self.machines.values().filter(|m| m.shard == shard) {
            for (task, placed_task) in
                self.placed_tasks_on(machine, snapshots.len(), self.options.drain_interval, now)
            {
                tasks.push(task);
                placed_tasks.push(placed_task);
            }
            snapshots.push(self.machine_snapshot(machine, now));
        }
        let limits = RepackLimits {
            max_source_share: self.options.drain_max_share,
            max_target_share: self.max_fill_share(now),
            max_task_age: self.options.drain_interval,
        };
        let plan = plan_repack(&task_requirements, &snapshots, &placed_tasks, limits)?;
        let moves = plan
            .moves
            .iter()
            .filter_map(|m| {
                let task = &tasks[m.task];
                let attempt = self.open_job(&task.job)?.placed.get(&task.index)?.attempt;
                let to = snapshots[m.to].name.clone();
                Some(DrainMove { job: task.job.to_string(), index: task.index, attempt, destination: to })
            })
            .collect();
        Some(DrainRecord {
            machine: snapshots[plan.machine].name.clone(),
            for_job: waiting[plan.waiting_task].0.to_string(),
            moves,
        })
    }

    /// Stops the tasks that still run on the drained machine. Returns the deletion of
    /// the drain's record once those tasks have finished or run elsewhere and the
    /// waiting job no longer waits for the empty machine, or once the drain has taken
    /// more than twice the drain interval.
    fn continue_drain(
        &mut self,
        shard: u32,
        record: &DrainRecord,
        version: u64,
        now: Instant,
    ) -> Option<AtomicUpdate> {
        let first_seen = match self.drain_state.current_seen {
            Some((seen, at)) if seen == version => at,
            _ => {
                self.drain_state.current_seen = Some((version, now));
                now
            }
        };
        let mut tasks_remain = false;
        for DrainMove { job, index, attempt, .. } in &record.moves {
            let task = TaskId { job: job.as_str().into(), index: *index };
            let Some(placed) = self.open_job(job).and_then(|j| j.placed.get(index)) else {
                // The task has finished, or waits to be placed on the machine that the
                // drain's record names.
                let is_waiting = |j: &OpenJob| j.waiting.get(&shard).is_some_and(|r| r.contains(*index));
                tasks_remain |= self.open_job(job).is_some_and(is_waiting);
                continue;
            };
            if *placed.machine == *record.machine && placed.attempt == *attempt {
                tasks_remain = true;
                self.stop_committed_task(&task, StopReason::Drained, now);
            }
        }
        let machine = self.machines.get(record.machine.as_str());
        let emptied = machine.is_none_or(|m| m.booked == Default::default());
        let waiting_job_remains = self.waiting_jobs.contains(record.for_job.as_str());
        let overdue = now.saturating_duration_since(first_seen) > self.options.drain_interval * 2;
        if (tasks_remain || (emptied && waiting_job_remains)) && !overdue {
            return None;
        }
        let key = records::drain_key(shard);
        let conditions = vec![self.shard_condition(shard)?, Condition { key: key.clone(), version }];
        self.drain_state.write_pending = true;
        Some(AtomicUpdate { conditions, changes: vec![Change::Drop { key }] })
    }
}
