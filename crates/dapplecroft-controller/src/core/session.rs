//! Worker sessions: what heartbeats prove about tasks, and how they are answered.

use super::Core;
use super::worker_commands::CommandChannel;
use crate::jobs::{Job, StopReason, TaskExit, TaskId};
use crate::machines::Machine;
use dapplecroft_wire::workers::{ExitReason, Heartbeat, HeartbeatHead, HeartbeatReply, TaskState};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A service replica that ran at least this long counts as started successfully: its exit resets the
/// job's failure count.
const STABLE_REPLICA_RUN: Duration = Duration::from_secs(30);
/// How long before the cloud reclaims a machine its service replicas are stopped. Replacements start
/// elsewhere as soon as the stop is known.
const REPLICA_STOP_LEAD_TIME: Duration = Duration::from_secs(3);

/// How a worker's heartbeat is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatOutcome {
    /// The worker keeps reporting to this controller and carries out these commands.
    Reply(HeartbeatReply),
    /// The worker should report to another controller: its host, if known.
    Redirect(Option<String>),
    /// This controller cannot answer now; the worker should try again.
    Unavailable,
}

impl Core {
    /// Answers a heartbeat that this process must not apply, because another controller is responsible for
    /// the machine or nobody is known to be. Returns `None` if the whole heartbeat must be read.
    pub fn reject_or_redirect(&self, head: &HeartbeatHead, now: Instant) -> Option<HeartbeatOutcome> {
        let id = head.machine.as_str();
        if !self.loaded || self.released_machines.contains_key(id) {
            // Once the machine's release was confirmed, this can only be a delayed copy of a message.
            return Some(HeartbeatOutcome::Unavailable);
        }
        let Some(machine) = self.machines.get(id).filter(|m| m.group.is_some()) else {
            // Every machine is recorded before it is used. One without a record is handled by the
            // leader, which adds the record.
            let unexpected = self.leads(now) && !self.is_in_uncommitted_group(id);
            return (!unexpected).then(|| self.redirect_to_leader());
        };
        let shard = machine.shard;
        let Some(shard_lease) = self.active_lease(shard, now) else {
            // A shard holder that has lost the state service stops answering its workers, so that
            // their leases expire within the time allowed for a cancellation.
            return Some(match self.remote_holder_host(shard) {
                _ if self.is_holder(shard) => HeartbeatOutcome::Unavailable,
                Some(host) => HeartbeatOutcome::Redirect(Some(host.to_string())),
                None => HeartbeatOutcome::Unavailable,
            });
        };
        if head.token > machine.token(shard_lease.epoch) {
            // A controller with a newer lease commands this worker.
            tracing::info!(machine = id, "worker has seen a newer fencing token than this shard holder has");
            return Some(HeartbeatOutcome::Redirect(None));
        }
        None
    }

    fn redirect_to_leader(&self) -> HeartbeatOutcome {
        match self.leader_host() {
            Some(host) => HeartbeatOutcome::Redirect(Some(host.to_string())),
            None => HeartbeatOutcome::Unavailable,
        }
    }

    /// Applies a heartbeat and answers it.
    pub fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        let head = HeartbeatHead { machine: heartbeat.machine.clone(), token: heartbeat.token };
        if let Some(answer) = self.reject_or_redirect(&head, now) {
            return answer;
        }
        let id = heartbeat.machine.as_str();
        let shard = self.machines.get(id).filter(|m| m.group.is_some()).map(|m| m.shard);
        let Some(shard_lease) = shard.and_then(|shard| self.active_lease(shard, now)) else {
            self.handle_unrecorded_heartbeat(heartbeat, now);
            return self.redirect_to_leader();
        };
        self.apply_heartbeat(heartbeat, now);
        let Some(machine) = self.machines.get(id) else { return HeartbeatOutcome::Unavailable };
        // Only the worker's newest message gets commands; delayed or repeated ones get none.
        let newest = (machine.session, machine.sequence) == (heartbeat.session, heartbeat.sequence);
        let commands =
            if newest { self.pending_commands(id, CommandChannel::Reply, now) } else { Vec::new() };
        self.void_copies_before_clear(id, &commands);
        let Some(token) = self.machines.get(id).map(|m| m.token(shard_lease.epoch)) else {
            return HeartbeatOutcome::Unavailable;
        };
        self.record_sent_commands(id, &commands, token, CommandChannel::Reply);
        HeartbeatOutcome::Reply(HeartbeatReply { token, commands })
    }

    /// Updates the machine and its tasks from a worker's report, whether it came as a heartbeat or in
    /// answer to a probe or to commands. A report that is not newer than the last applied one is ignored.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let Some(machine) = self.machines.get_mut(heartbeat.machine.as_str()) else { return };
        let Some(shard_lease) = self.role.leased_shards.get(&machine.shard).copied() else { return };
        if self.released_machines.contains_key(&machine.id)
            || (heartbeat.session, heartbeat.sequence) <= (machine.session, machine.sequence)
        {
            return;
        }
        let first = machine.last_heartbeat.is_none();
        // `command_in_flight` is kept even if the session is new: a `clear` command must wait until no
        // direct command can still be in flight.
        machine.session = heartbeat.session;
        machine.sequence = heartbeat.sequence;
        machine.seen_token = heartbeat.token;
        machine.last_heartbeat = Some(now);
        machine.missed_probes = 0;
        machine.machine_type.clone_from(&heartbeat.machine_type);
        machine.zone.clone_from(&heartbeat.zone);
        machine.spot = heartbeat.spot;
        if machine.address.as_deref() != Some(heartbeat.address.as_str()) {
            machine.address = Some(heartbeat.address.clone());
            if let Some(group) = machine.group.as_ref().and_then(|g| self.groups.get_mut(g)) {
                group.addresses_unrecorded = true;
            }
        }
        let reclaim_at = heartbeat
            .notice_s
            .and_then(|s| Duration::try_from_secs_f64(s.clamp(0.0, 1e6)).ok())
            .map(|d| now + d);
        let noticed = reclaim_at.is_some() && machine.reclaim_at.is_none();
        machine.reclaim_at = reclaim_at;
        let mut tasks = BTreeMap::new();
        for task in &heartbeat.tasks {
            match TaskId::parse(&task.task) {
                Some(id) => {
                    tasks.insert(id, task.clone());
                }
                None => tracing::warn!(
                    machine = heartbeat.machine,
                    task = task.task,
                    "worker reported a task with an invalid id"
                ),
            }
        }
        machine.reported = tasks;
        let synced = machine.is_synced(shard_lease.epoch);
        machine.unsynced_since = if synced { None } else { machine.unsynced_since.or(Some(now)) };
        if first || synced {
            self.wakeups.place = true;
        }
        if first {
            self.wakeups.fleet = true;
        }
        let id = machine.id.clone();
        self.reconcile_reported_tasks(&id, synced, now);
        if noticed {
            self.handle_reclaim_notice(&id, now);
        }
        self.wakeups.command.insert(id);
    }

    /// Updates tasks from what the machine's newest report proves: which ones run, which have exited, and
    /// which are unexpected. `synced`: the worker had seen a fencing token that makes the report proof.
    fn reconcile_reported_tasks(&mut self, id: &Arc<str>, synced: bool, now: Instant) {
        let Some(machine) = self.machines.get(id) else { return };
        if !self.is_holder(machine.shard) {
            return;
        }
        let session = machine.session;
        let mut exits = Vec::new();
        let mut raise_token = false;
        for task in &machine.tasks {
            let Some(Job::Open(job)) = self.jobs.get_mut(&task.job) else { continue };
            let Some(placed) = job.placed.get_mut(&task.index).filter(|p| p.committed && p.machine == *id)
            else {
                continue;
            };
            if session > placed.session {
                // The worker's lease expired and a new session began: it killed and forgot the tasks of
                // the earlier session.
                exits.push((task.clone(), placed.attempt, None));
                continue;
            }
            if !synced {
                continue;
            }
            match machine.reported.get(task).filter(|r| r.attempt == placed.attempt) {
                Some(status) if status.state == TaskState::Exited => {
                    let why = status.why.unwrap_or(ExitReason::Other);
                    exits.push((task.clone(), placed.attempt, Some(why)));
                }
                Some(status) if status.state == TaskState::Running => {
                    if placed.running_since.is_none() {
                        let fetched = now.saturating_duration_since(placed.learned_at);
                        tracing::debug!(%task, class = job.spec.class, machine = &**id, ?fetched, "running");
                    }
                    placed.running_since.get_or_insert(now);
                }
                Some(_) => {}
                None if placed.stop_reason.is_some() && !machine.command_in_flight => {
                    // The worker does not list the task. While a start may still be in flight, that proves
                    // nothing. Once the worker has accepted a token above that of the last start, the
                    // start is void, so the task has ended.
                    if placed.start_token < machine.seen_token {
                        exits.push((task.clone(), placed.attempt, None));
                    } else {
                        raise_token = true;
                    }
                }
                None => {}
            }
        }
        let running_images: Vec<String> = machine
            .reported
            .iter()
            .filter(|(_, r)| r.state == TaskState::Running)
            .filter_map(|(t, _)| self.open_job(&t.job).and_then(|j| j.requirements.image.clone()))
            .collect();
        // A task that runs on this machine although no record places it there must end before it may be
        // started on another machine.
        self.unexpected_tasks.retain(|_, on| on != id);
        let Some(machine) = self.machines.get_mut(id) else { return };
        for image in running_images {
            machine.record_image(image, true);
        }
        for (task, status) in &machine.reported {
            if status.state != TaskState::Exited && !machine.tasks.contains(task) {
                self.unexpected_tasks.insert(task.clone(), id.clone());
            }
        }
        if raise_token {
            machine.fencing.void_commands();
            self.wakeups.command.insert(id.clone());
        }
        for (task, attempt, why) in exits {
            self.record_task_exit(&task, attempt, why, id, now);
        }
    }

    /// Records that a task's attempt on a machine has provably ended. `why` is the exit reason that the
    /// worker reported, or `None` if the worker's session ended or the machine was released.
    pub(super) fn record_task_exit(
        &mut self,
        task: &TaskId,
        attempt: u64,
        why: Option<ExitReason>,
        id: &str,
        now: Instant,
    ) {
        let Some(Job::Open(job)) = self.jobs.get_mut(&task.job) else { return };
        // A service replica is never done: it is started again whatever the exit reason.
        let service = job.is_service();
        let done = why == Some(ExitReason::Done) && !service;
        let Some(segment_id) = job.placed.get(&task.index).map(|p| p.segment) else { return };
        if job.uncommitted_exits.insert(task.index, TaskExit { attempt, completed: done }).is_some() {
            return;
        }
        match why {
            Some(ExitReason::Done | ExitReason::Error) if service => {
                // The replica is restarted at once, unless it keeps exiting soon after it starts: then
                // the job's backoff applies. The service is at fault, so no machine is marked.
                let ran = job.placed.get(&task.index).and_then(|p| p.running_since);
                if ran.is_some_and(|at| now.saturating_duration_since(at) >= STABLE_REPLICA_RUN) {
                    job.failed_machines.clear();
                    job.failures = 0;
                } else {
                    job.record_failure(id, now);
                }
                tracing::info!(task = %task, machine = id, ?why, failures = job.failures, "replica exited");
            }
            Some(ExitReason::Done) => {
                job.failed_machines.clear();
                job.failures = 0;
            }
            Some(ExitReason::Error) => {
                job.record_failure(id, now);
                tracing::info!(task = %task, machine = id, "task failed");
                let failed_on_one_machine = job.failed_machines.len() < 2;
                let machines: Vec<String> = job.failed_machines.iter().cloned().collect();
                for name in machines {
                    if let Some(machine) = self.machines.get_mut(name.as_str()) {
                        if failed_on_one_machine {
                            machine.failed_jobs.insert(task.job.clone());
                        } else {
                            // The job has failed on several machines: the job is at fault, not the
                            // machines.
                            machine.failed_jobs.remove(&task.job);
                        }
                    }
                }
                self.wakeups.fleet = true;
            }
            Some(ExitReason::Full | ExitReason::InUse | ExitReason::NoSuch) => {
                tracing::info!(task = %task, machine = id, ?why, "worker refused to start a task");
                if let Some(Job::Open(job)) = self.jobs.get_mut(&task.job) {
                    job.backoff_until = Some(now + Duration::from_secs(1));
                }
            }
            _ => {}
        }
        self.free_exited_task(task);
        // Exits are recorded in segments. A task that was placed by a record of the first layout has no
        // segment, so one is assigned here.
        let segment = if segment_id.segment.is_some() { Some(segment_id) } else { self.assign_segment(id) };
        self.queue_exit_commit(&task.job, segment.unwrap_or(segment_id), now);
    }

    /// Records the exit of every task on a machine whose release the cloud has confirmed.
    pub fn machine_released(&mut self, id: &Arc<str>, now: Instant) {
        self.released_machines.entry(id.clone()).or_insert(now);
        self.unexpected_tasks.retain(|_, on| on != id);
        let Some(machine) = self.machines.get(id) else { return };
        for task in machine.tasks.clone() {
            let placed = self.open_job(&task.job).and_then(|j| j.placed.get(&task.index));
            let own = placed.filter(|p| p.committed && p.machine == *id && self.is_holder(p.segment.shard));
            if let Some(attempt) = own.map(|p| p.attempt) {
                self.record_task_exit(&task, attempt, None, id, now);
            }
        }
        self.wakeups.fleet = true;
    }

    /// Handles the cloud's notice that it will reclaim a machine: tasks that cannot finish before then are
    /// asked to stop, so that they continue elsewhere.
    fn handle_reclaim_notice(&mut self, id: &Arc<str>, now: Instant) {
        let Some(machine) = self.machines.get(id) else { return };
        let Some(reclaim_at) = machine.reclaim_at else { return };
        let left = reclaim_at.saturating_duration_since(now);
        tracing::info!(
            machine = &**id,
            ?left,
            tasks = machine.tasks.len(),
            "the cloud will reclaim a machine"
        );
        for task in machine.tasks.clone() {
            let Some(job) = self.open_job(&task.job).filter(|j| !j.is_service()) else { continue };
            let Some(placed) = job.placed.get(&task.index) else { continue };
            let ran = placed.running_since.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
            if job.spec.estimate_s - ran > left.as_secs_f64() {
                self.request_task_stop(&task, StopReason::ReclaimNotice, left, now);
            }
        }
        self.wakeups.place = true;
        self.wakeups.fleet = true;
    }

    /// Stops service replicas shortly before the cloud reclaims their machine. They have no work to finish,
    /// so they serve as long as possible. If they were not stopped, replacements could start only after the
    /// machine had stopped reporting and was proven gone.
    pub(super) fn stop_replicas_before_reclaim(&mut self, now: Instant) {
        let soon = |m: &&Machine| m.reclaim_at.is_some_and(|at| at <= now + REPLICA_STOP_LEAD_TIME);
        let held = |m: &&Machine| self.is_holder(m.shard);
        let leaving: Vec<TaskId> =
            self.machines.values().filter(soon).filter(held).flat_map(|m| m.tasks.iter().cloned()).collect();
        for task in leaving {
            if self.open_job(&task.job).is_some_and(|j| j.is_service()) {
                self.stop_committed_task(&task, StopReason::ReclaimNotice, now);
            }
        }
    }
}
