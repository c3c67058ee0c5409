//! Commands to workers: which ones bring a machine to what the records ask of it, and what is known of
//! those that were sent directly.

use super::Core;
use crate::jobs::{StopReason, TaskId};
use dapplecroft_wire::workers::{Command, DirectCommands, Heartbeat, TaskState};
use std::time::{Duration, Instant};

/// Maximum number of commands in one message, so that a message stays far below the maximum line length.
const MAX_COMMANDS_PER_MESSAGE: usize = 200;

impl Core {
    /// Commands that bring a machine from what it last reported to what the records ask of it. `clear` is
    /// only sent in the reply to a heartbeat, which is never executed late.
    pub(super) fn pending_commands(&self, id: &str, channel: CommandChannel, now: Instant) -> Vec<Command> {
        let Some(machine) = self.machines.get(id) else { return Vec::new() };
        let Some(shard_lease) = self.role.leased_shards.get(&machine.shard).copied() else {
            return Vec::new();
        };
        let may_clear = channel == CommandChannel::Reply
            && machine.is_synced(shard_lease.epoch)
            && !machine.command_in_flight;
        let mut commands = Vec::new();
        for (task, status) in &machine.reported {
            let committed = self
                .open_job(&task.job)
                .and_then(|j| j.placed.get(&task.index))
                .filter(|p| p.committed && *p.machine == *id && p.attempt == status.attempt);
            match (committed, status.state) {
                (None, TaskState::Exited) if may_clear => {
                    commands.push(Command::Clear { task: status.task.clone(), attempt: status.attempt });
                }
                (None, TaskState::Exited) => {}
                (None, _) => commands.push(Command::Kill {
                    task: status.task.clone(),
                    attempt: status.attempt,
                    grace_s: 0.0,
                }),
                (Some(placed), state) if state != TaskState::Exited => {
                    // A second `kill` would interrupt the task's checkpoint. Only a cancellation may do
                    // that.
                    let saves = state == TaskState::Saving;
                    if let Some(stop) =
                        placed.stop_reason.filter(|stop| !saves || *stop == StopReason::JobCancelled)
                    {
                        let grace =
                            if stop == StopReason::JobCancelled { Duration::ZERO } else { placed.grace };
                        commands.push(Command::Kill {
                            task: status.task.clone(),
                            attempt: status.attempt,
                            grace_s: grace.as_secs_f64(),
                        });
                    }
                }
                _ => {}
            }
        }
        // A controller that has been out of contact with the state service for longer than this may have
        // missed cancellations that were already confirmed to users. It keeps answering its workers, but it
        // starts no tasks.
        let may_start = self.contact_age(now).is_some_and(|age| age <= self.options.node_lease);
        for task in machine.tasks.iter().filter(|_| may_start) {
            let Some(job) = self.open_job(&task.job) else { continue };
            let Some(placed) = job.placed.get(&task.index) else { continue };
            let here = placed.committed && *placed.machine == *id && placed.session == machine.session;
            // If the worker still lists an earlier attempt, that one must be cleared first.
            let still_reported = machine.reported.contains_key(task);
            if here
                && placed.stop_reason.is_none()
                && !still_reported
                && !job.uncommitted_exits.contains_key(&task.index)
            {
                commands.push(Command::Start { task: task.to_string(), attempt: placed.attempt });
            }
        }
        commands.truncate(MAX_COMMANDS_PER_MESSAGE);
        commands
    }

    /// Raises the fencing token of a machine's worker if the reply carries a `clear` and commands have been
    /// sent directly with the present token. After a `clear` the worker no longer knows the attempt, so a
    /// late copy of its `start` would start it again. The reply brings the new token together with the
    /// `clear`, so no copy is executed after it.
    pub(super) fn void_copies_before_clear(&mut self, id: &str, commands: &[Command]) {
        if !commands.iter().any(|command| matches!(command, Command::Clear { .. })) {
            return;
        }
        let Some(machine) = self.machines.get_mut(id) else { return };
        if machine.fencing.void_answered_commands() && !machine.fencing.may_send_direct_commands() {
            tracing::info!(
                machine = id,
                "fencing tokens of this epoch are nearly used up; commands go out in replies only"
            );
        }
    }

    /// Records for the tasks to be started with which token that is.
    pub(super) fn record_sent_commands(
        &mut self,
        id: &str,
        commands: &[Command],
        token: u64,
        channel: CommandChannel,
    ) {
        if !commands.is_empty() {
            tracing::debug!(machine = id, token, ?channel, ?commands, "commands sent");
        }
        for command in commands {
            let Command::Start { task, .. } = command else { continue };
            let Some(task) = TaskId::parse(task) else { continue };
            let mut image = None;
            if let Some(job) = self.open_job_mut(&task.job) {
                image.clone_from(&job.requirements.image);
                if let Some(placed) = job.placed.get_mut(&task.index) {
                    placed.start_token = token;
                }
            }
            if let (Some(image), Some(machine)) = (image, self.machines.get_mut(id)) {
                machine.record_image(image, false);
            }
        }
    }

    /// Direct commands to send to a machine now, with its worker's address. `None` if there is nothing to
    /// send, or the machine cannot be commanded yet.
    pub fn next_direct_commands(&mut self, id: &str, now: Instant) -> Option<(String, DirectCommands)> {
        let machine = self.machines.get(id)?;
        let shard_lease = self.active_lease(machine.shard, now)?;
        let cannot_receive = machine.session == 0 || machine.command_in_flight || machine.release_in_flight;
        if cannot_receive || machine.commands_paused_until.is_some_and(|at| at > now) {
            return None;
        }
        let commands = if machine.fencing.may_send_direct_commands() {
            self.pending_commands(id, CommandChannel::Direct, now)
        } else {
            Vec::new()
        };
        let machine = self.machines.get_mut(id)?;
        // A message without commands still brings the current token to the worker. Its next report then
        // counts as proof of its tasks, and it can be given work sooner.
        let token_outdated = !machine.is_synced(shard_lease.epoch);
        if commands.is_empty() && !token_outdated {
            return None;
        }
        let address = machine.address.clone()?;
        machine.command_in_flight = true;
        if !commands.is_empty() {
            machine.fencing.record_direct_commands();
        }
        let (token, session) = (machine.token(shard_lease.epoch), machine.session);
        self.record_sent_commands(id, &commands, token, CommandChannel::Direct);
        Some((address, DirectCommands { token, session, commands }))
    }

    /// Records the outcome of direct commands that were sent to a machine.
    pub fn direct_commands_finished(
        &mut self,
        id: &str,
        sent: &DirectCommands,
        outcome: CommandOutcome<'_>,
        now: Instant,
    ) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let Some(shard_lease) = self.role.leased_shards.get(&machine.shard).copied() else { return };
        if !machine.fencing.is_token_since_reset(sent.token, shard_lease.epoch) {
            // The commands were sent before this process lost the shard or acquired it again.
            return;
        }
        machine.command_in_flight = false;
        match outcome {
            CommandOutcome::Answered(heartbeat) => {
                // The worker has seen a newer token and refused: whoever holds that token commands it.
                machine.commands_paused_until =
                    (heartbeat.token > sent.token).then(|| now + Duration::from_secs(1));
                if heartbeat.machine == *id {
                    self.apply_heartbeat(heartbeat, now);
                }
            }
            CommandOutcome::NotDelivered => {
                machine.commands_paused_until = Some(now + Duration::from_secs(1))
            }
            CommandOutcome::Unknown => {
                // The worker may execute the commands much later, even after the task has moved or was
                // cleared. A higher token makes them void.
                machine.fencing.void_commands();
                machine.commands_paused_until = Some(now + Duration::from_secs(1));
                tracing::debug!(machine = id, "outcome of direct commands unknown; fencing token raised");
            }
        }
        self.wakeups.command.insert(id.into());
    }
}

/// How commands reach a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CommandChannel {
    /// In the reply to a heartbeat. The worker drops late replies, so these commands are never executed
    /// late or twice.
    Reply,
    /// In a request of their own. Late copies of it are executed as long as token and session match.
    Direct,
}

/// Outcome of sending direct commands.
#[derive(Debug, Clone, Copy)]
pub enum CommandOutcome<'a> {
    /// The worker answered with its report.
    Answered(&'a Heartbeat),
    /// The commands were certainly not delivered.
    NotDelivered,
    /// The commands may or may not have been delivered.
    Unknown,
}

#[cfg(test)]
mod tests;
