//! Workers' sessions: what reports prove, and which commands follow.

use super::Core;
use crate::jobs::{Exit, Job, Stop, TaskId};
use crate::machines::Machine;
use dapplecroft_wire::workers::{
    Command, DirectCommands, ExitReason, Heartbeat, HeartbeatHead, HeartbeatReply, TaskState,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most commands in one message, far under the limit of a line.
const MAX_COMMANDS_PER_MESSAGE: usize = 200;

/// A replica that ran for so long had started well.
const STABLE_REPLICA_RUN: Duration = Duration::from_secs(30);
/// Replicas on a machine that the cloud takes back are stopped so long before:
/// they start elsewhere as soon as that is known.
const REPLICA_STOP_LEAD_TIME: Duration = Duration::from_secs(3);

/// What a worker's report is answered with.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatOutcome {
    /// Stay, and do this.
    Reply(HeartbeatReply),
    /// Another node is the right one, if known.
    Redirect(Option<String>),
    /// This node can't tell now.
    Unavailable,
}

impl Core {
    /// The answer to a report that this process does not take over: another one
    /// is the right one, or nobody is known to be. `None`: it must be read.
    pub fn reject_or_redirect(&self, head: &HeartbeatHead, now: Instant) -> Option<HeartbeatOutcome> {
        let id = head.machine.as_str();
        if !self.loaded || self.released_machines.contains_key(id) {
            // If its release was answered, this is a late copy of a message.
            return Some(HeartbeatOutcome::Unavailable);
        }
        let Some(machine) = self.machines.get(id).filter(|m| m.group.is_some()) else {
            // A record names every machine before it is used, so one without is
            // for the leader to take in.
            let unexpected = self.leads(now) && !self.is_expected(id);
            return (!unexpected).then(|| self.redirect_to_leader());
        };
        let shard = machine.shard;
        let Some(shard_lease) = self.active_lease(shard, now) else {
            // A holder that has lost the state service stops answering, so that
            // its workers' leases end before a cancellation's limit.
            return Some(match self.holder_host(shard) {
                _ if self.is_holder(shard) => HeartbeatOutcome::Unavailable,
                Some(host) => HeartbeatOutcome::Redirect(Some(host.to_string())),
                None => HeartbeatOutcome::Unavailable,
            });
        };
        if head.token > machine.token(shard_lease.epoch) {
            // Someone with a newer lease commands this worker.
            tracing::info!(machine = id, "a worker knows a newer token than this holder's");
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

    /// Answers a report.
    pub fn handle_heartbeat(&mut self, report: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        let head = HeartbeatHead { machine: report.machine.clone(), token: report.token };
        if let Some(answer) = self.reject_or_redirect(&head, now) {
            return answer;
        }
        let id = report.machine.as_str();
        let shard = self.machines.get(id).filter(|m| m.group.is_some()).map(|m| m.shard);
        let Some(shard_lease) = shard.and_then(|shard| self.active_lease(shard, now)) else {
            self.found(report, now);
            return self.redirect_to_leader();
        };
        self.apply_heartbeat(report, now);
        let Some(machine) = self.machines.get(id) else { return HeartbeatOutcome::Unavailable };
        let token = machine.token(shard_lease.epoch);
        // Only the worker's newest message is answered with commands.
        let newest = (machine.session, machine.sequence) == (report.session, report.sequence);
        let commands = if newest { self.pending_commands(id, true, now) } else { Vec::new() };
        self.record_sent_commands(id, &commands, token);
        HeartbeatOutcome::Reply(HeartbeatReply { token, commands })
    }

    /// Takes over a report, however it came. Late copies are ignored.
    pub fn apply_heartbeat(&mut self, report: &Heartbeat, now: Instant) {
        let Some(machine) = self.machines.get_mut(report.machine.as_str()) else { return };
        let Some(shard_lease) = self.role.leased_shards.get(&machine.shard).copied() else { return };
        if self.released_machines.contains_key(&machine.id)
            || (report.session, report.sequence) <= (machine.session, machine.sequence)
        {
            return;
        }
        let first = machine.heard.is_none();
        // Commands on their way stay counted as such even if the session is new:
        // `clear` must wait until none can be.
        machine.session = report.session;
        machine.sequence = report.sequence;
        machine.seen_token = report.token;
        machine.heard = Some(now);
        machine.missed_probes = 0;
        machine.machine_type.clone_from(&report.machine_type);
        machine.zone.clone_from(&report.zone);
        machine.spot = report.spot;
        if machine.address.as_deref() != Some(report.address.as_str()) {
            machine.address = Some(report.address.clone());
            if let Some(group) = machine.group.as_ref().and_then(|g| self.groups.get_mut(g)) {
                group.addresses_unrecorded = true;
            }
        }
        let taken_at = report
            .notice_s
            .and_then(|s| Duration::try_from_secs_f64(s.clamp(0.0, 1e6)).ok())
            .map(|d| now + d);
        let noticed = taken_at.is_some() && machine.taken_at.is_none();
        machine.taken_at = taken_at;
        let mut tasks = BTreeMap::new();
        for task in &report.tasks {
            match TaskId::parse(&task.task) {
                Some(id) => {
                    tasks.insert(id, task.clone());
                }
                None => tracing::warn!(machine = report.machine, task = task.task, "an unreadable task"),
            }
        }
        machine.reported = tasks;
        let synced = machine.synced(shard_lease.epoch);
        machine.deaf_since = if synced { None } else { machine.deaf_since.or(Some(now)) };
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

    /// Works out what a machine's newest message proves.
    fn reconcile_reported_tasks(&mut self, id: &Arc<str>, synced: bool, now: Instant) {
        let Some(machine) = self.machines.get(id) else { return };
        let Some(shard_lease) = self.role.leased_shards.get(&machine.shard).copied() else { return };
        let token = machine.token(shard_lease.epoch);
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
                // The worker's lease ended: it killed and forgot its tasks.
                exits.push((task.clone(), placed.attempt, None));
                continue;
            }
            if !synced {
                continue;
            }
            match machine.reported.get(task).filter(|r| r.attempt == placed.attempt) {
                Some(report) if report.state == TaskState::Exited => {
                    let why = report.why.unwrap_or(ExitReason::Other);
                    exits.push((task.clone(), placed.attempt, Some(why)));
                }
                Some(report) if report.state == TaskState::Running => {
                    if placed.running.is_none() {
                        let fetched = now.saturating_duration_since(placed.since);
                        tracing::debug!(%task, class = job.spec.class, machine = &**id, ?fetched, "running");
                    }
                    placed.running.get_or_insert(now);
                }
                Some(_) => {}
                None if placed.stop.is_some() && !machine.commanding => {
                    // It is not there. That proves nothing while a start can
                    // still be on its way under the present token, and all if
                    // the worker has since accepted a higher one.
                    if placed.sent < token {
                        exits.push((task.clone(), placed.attempt, None));
                    } else {
                        raise_token = true;
                    }
                }
                None => {}
            }
        }
        let ran: Vec<String> = machine
            .reported
            .iter()
            .filter(|(_, r)| r.state == TaskState::Running)
            .filter_map(|(t, _)| self.open_job(&t.job).and_then(|j| j.requirements.image.clone()))
            .collect();
        // What no record has on this machine must end before it runs elsewhere.
        self.unexpected_tasks.retain(|_, on| on != id);
        let Some(machine) = self.machines.get_mut(id) else { return };
        for image in ran {
            machine.note_image(image, true);
        }
        for (task, report) in &machine.reported {
            if report.state != TaskState::Exited && !machine.tasks.contains(task) {
                self.unexpected_tasks.insert(task.clone(), id.clone());
            }
        }
        if raise_token {
            machine.raise_token();
            self.wakeups.command.insert(id.clone());
        }
        for (task, attempt, why) in exits {
            self.record_task_exit(&task, attempt, why, id, now);
        }
    }

    /// Notes that a task's stay on a machine has ended, by proof, for whatever
    /// reason; `None`: the session, or the machine, is gone.
    pub(super) fn record_task_exit(
        &mut self,
        task: &TaskId,
        attempt: u64,
        why: Option<ExitReason>,
        id: &str,
        now: Instant,
    ) {
        let Some(Job::Open(job)) = self.jobs.get_mut(&task.job) else { return };
        // A replica is never done: whatever it ended by, it is wanted again.
        let service = job.is_service();
        let done = why == Some(ExitReason::Done) && !service;
        let Some(segment_id) = job.placed.get(&task.index).map(|p| p.segment) else { return };
        if job.exits.insert(task.index, Exit { attempt, done }).is_some() {
            return;
        }
        match why {
            Some(ExitReason::Done | ExitReason::Error) if service => {
                // At once, unless it goes on ending soon after its starts. That
                // is its own fault, and no machine's.
                let ran = job.placed.get(&task.index).and_then(|p| p.running);
                if ran.is_some_and(|at| now.saturating_duration_since(at) >= STABLE_REPLICA_RUN) {
                    job.failed_on.clear();
                    job.failures = 0;
                } else {
                    job.failed(id, now);
                }
                tracing::info!(task = %task, machine = id, ?why, failures = job.failures, "a replica ended");
            }
            Some(ExitReason::Done) => {
                job.failed_on.clear();
                job.failures = 0;
            }
            Some(ExitReason::Error) => {
                job.failed(id, now);
                tracing::info!(task = %task, machine = id, "a task failed");
                let failed_on_one_machine = job.failed_on.len() < 2;
                let machines: Vec<String> = job.failed_on.iter().cloned().collect();
                for name in machines {
                    if let Some(machine) = self.machines.get_mut(name.as_str()) {
                        if failed_on_one_machine {
                            machine.failed_jobs.insert(task.job.clone());
                        } else {
                            // It fails elsewhere too: the job's fault.
                            machine.failed_jobs.remove(&task.job);
                        }
                    }
                }
                self.wakeups.fleet = true;
            }
            Some(ExitReason::Full | ExitReason::InUse | ExitReason::NoSuch) => {
                tracing::info!(task = %task, machine = id, ?why, "a start was refused");
                if let Some(Job::Open(job)) = self.jobs.get_mut(&task.job) {
                    job.not_before = Some(now + Duration::from_secs(1));
                }
            }
            _ => {}
        }
        self.free(task);
        // What runs where a record of the first layout says so ends in a segment.
        let segment = if segment_id.segment.is_some() { Some(segment_id) } else { self.assign_segment(id) };
        self.note_end(&task.job, segment.unwrap_or(segment_id), now);
    }

    /// Ends everything on a machine whose release was answered: it is gone.
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

    /// The cloud takes a machine soon: tasks that can't finish before are moved.
    fn handle_reclaim_notice(&mut self, id: &Arc<str>, now: Instant) {
        let Some(machine) = self.machines.get(id) else { return };
        let Some(taken_at) = machine.taken_at else { return };
        let left = taken_at.saturating_duration_since(now);
        tracing::info!(machine = &**id, ?left, tasks = machine.tasks.len(), "the cloud takes a machine back");
        for task in machine.tasks.clone() {
            let Some(job) = self.open_job(&task.job).filter(|j| !j.is_service()) else { continue };
            let Some(placed) = job.placed.get(&task.index) else { continue };
            let ran = placed.running.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
            if job.spec.estimate_s - ran > left.as_secs_f64() {
                self.ask_for_end(&task, Stop::Notice, left, now);
            }
        }
        self.wakeups.place = true;
        self.wakeups.fleet = true;
    }

    /// Replicas have no end to reach before their machine goes: they serve as
    /// long as can be, and move in the last moment. Left alone, their machine
    /// would have to be missed, and proven gone, first.
    pub(super) fn stop_replicas_before_reclaim(&mut self, now: Instant) {
        let soon = |m: &&Machine| m.taken_at.is_some_and(|at| at <= now + REPLICA_STOP_LEAD_TIME);
        let held = |m: &&Machine| self.is_holder(m.shard);
        let leaving: Vec<TaskId> =
            self.machines.values().filter(soon).filter(held).flat_map(|m| m.tasks.iter().cloned()).collect();
        for task in leaving {
            if self.open_job(&task.job).is_some_and(|j| j.is_service()) {
                self.stop(&task, Stop::Notice, now);
            }
        }
    }

    /// The difference between what the records want of a machine and what it
    /// last reported. `clear` is only told in the answer to a report: it is the
    /// one command that must not be overtaken by a repeated start.
    fn pending_commands(&self, id: &str, in_reply: bool, now: Instant) -> Vec<Command> {
        let Some(machine) = self.machines.get(id) else { return Vec::new() };
        let Some(shard_lease) = self.role.leased_shards.get(&machine.shard).copied() else {
            return Vec::new();
        };
        let synced = machine.synced(shard_lease.epoch);
        let mut commands = Vec::new();
        for (task, report) in &machine.reported {
            let committed = self
                .open_job(&task.job)
                .and_then(|j| j.placed.get(&task.index))
                .filter(|p| p.committed && *p.machine == *id && p.attempt == report.attempt);
            match (committed, report.state) {
                (None, TaskState::Exited) if in_reply && synced && !machine.commanding => {
                    commands.push(Command::Clear { task: report.task.clone(), attempt: report.attempt });
                }
                (None, TaskState::Exited) => {}
                (None, _) => commands.push(Command::Kill {
                    task: report.task.clone(),
                    attempt: report.attempt,
                    grace_s: 0.0,
                }),
                (Some(placed), state) if state != TaskState::Exited => {
                    // A second `kill` would end a save that is under way: only a
                    // cancellation does that.
                    let saves = state == TaskState::Saving;
                    if let Some(stop) = placed.stop.filter(|stop| !saves || *stop == Stop::Withdrawn) {
                        let grace = if stop == Stop::Withdrawn { Duration::ZERO } else { placed.grace };
                        commands.push(Command::Kill {
                            task: report.task.clone(),
                            attempt: report.attempt,
                            grace_s: grace.as_secs_f64(),
                        });
                    }
                }
                _ => {}
            }
        }
        // Whoever has been out of contact for longer may have missed cancellations
        // that users were told of: it goes on answering, but it begins nothing.
        let may_start = self.contact_age(now).is_some_and(|age| age <= self.options.node_lease);
        for task in machine.tasks.iter().filter(|_| may_start) {
            let Some(job) = self.open_job(&task.job) else { continue };
            let Some(placed) = job.placed.get(&task.index) else { continue };
            let here = placed.committed && *placed.machine == *id && placed.session == machine.session;
            // Under another attempt it is still to be cleared there first.
            let still_reported = machine.reported.contains_key(task);
            if here && placed.stop.is_none() && !still_reported && !job.exits.contains_key(&task.index) {
                commands.push(Command::Start { task: task.to_string(), attempt: placed.attempt });
            }
        }
        commands.truncate(MAX_COMMANDS_PER_MESSAGE);
        commands
    }

    fn record_sent_commands(&mut self, id: &str, commands: &[Command], token: u64) {
        for command in commands {
            let Command::Start { task, .. } = command else { continue };
            let Some(task) = TaskId::parse(task) else { continue };
            let mut image = None;
            if let Some(job) = self.open_job_mut(&task.job) {
                image.clone_from(&job.requirements.image);
                if let Some(placed) = job.placed.get_mut(&task.index) {
                    placed.sent = token;
                }
            }
            if let (Some(image), Some(machine)) = (image, self.machines.get_mut(id)) {
                machine.note_image(image, false);
            }
        }
    }

    /// Direct commands that a machine should receive now, with its address.
    pub fn next_direct_commands(&mut self, id: &str, now: Instant) -> Option<(String, DirectCommands)> {
        let machine = self.machines.get(id)?;
        let shard_lease = self.active_lease(machine.shard, now)?;
        let cannot_receive = machine.session == 0 || machine.commanding || machine.releasing;
        if cannot_receive || machine.command_after.is_some_and(|at| at > now) {
            return None;
        }
        let commands = self.pending_commands(id, false, now);
        let machine = self.machines.get_mut(id)?;
        // Without commands a message still brings the present token to the
        // worker, so that its tasks are known and it can take work soon.
        let token_outdated = !machine.synced(shard_lease.epoch);
        if commands.is_empty() && !token_outdated {
            return None;
        }
        let address = machine.address.clone()?;
        machine.commanding = true;
        let (token, session) = (machine.token(shard_lease.epoch), machine.session);
        self.record_sent_commands(id, &commands, token);
        Some((address, DirectCommands { token, session, commands }))
    }

    /// Notes what became of direct commands: answered, with the worker's report
    /// if it could be read; certainly not delivered; or unknown.
    pub fn direct_commands_finished(
        &mut self,
        id: &str,
        sent: &DirectCommands,
        outcome: CommandOutcome<'_>,
        now: Instant,
    ) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let Some(shard_lease) = self.role.leased_shards.get(&machine.shard).copied() else { return };
        if !machine.is_present(sent.token, shard_lease.epoch) {
            // Sent before the shard was lost, or taken up anew.
            return;
        }
        machine.commanding = false;
        match outcome {
            CommandOutcome::Answered(report) => {
                // Refused for a newer token: whoever holds that is in command.
                machine.command_after = (report.token > sent.token).then(|| now + Duration::from_secs(1));
                if report.machine == *id {
                    self.apply_heartbeat(report, now);
                }
            }
            CommandOutcome::NotDelivered => machine.command_after = Some(now + Duration::from_secs(1)),
            CommandOutcome::Unknown => {
                // They may be executed much later, also after the task has moved
                // or was cleared: a higher token makes them void.
                machine.raise_token();
                machine.command_after = Some(now + Duration::from_secs(1));
                tracing::debug!(machine = id, "outcome of commands unknown, token raised");
            }
        }
        self.wakeups.command.insert(id.into());
    }
}

/// What became of direct commands.
#[derive(Debug, Clone, Copy)]
pub enum CommandOutcome<'a> {
    /// The worker answered.
    Answered(&'a Heartbeat),
    /// They certainly never left.
    NotDelivered,
    /// Nobody knows.
    Unknown,
}

#[cfg(test)]
mod tests;
