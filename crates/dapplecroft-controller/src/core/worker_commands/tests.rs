use super::*;
use crate::core::HeartbeatOutcome;
use crate::core::ShardLease;
use crate::core::testing::{core, job_record, proposed_placement};
use crate::jobs::{Job, Placement};
use crate::records::SegmentId;
use dapplecroft_wire::workers::{ExitReason, HeartbeatReply, TaskStatus};
use serde_json::json;

/// A core that holds the shard of a machine whose only task is saving a checkpoint and has been asked to
/// stop.
fn core_with_saving_task(stop: StopReason, now: Instant) -> Core {
    let mut core = core();
    core.apply("dc/j/run-1", Some(job_record("run-1", 1, json!({"0": [[0, 0]]}))), 5, now);
    core.role.leased_shards.insert(0, ShardLease { epoch: 1, version: 1 });
    let task = TaskId { job: "run-1".into(), index: 0 };
    let placed = Placement {
        committed: true,
        stop_reason: Some(stop),
        grace: Duration::from_secs(3),
        ..proposed_placement("i-1", SegmentId::new(0, 0), 1, now)
    };
    let Some(Job::Open(job)) = core.jobs.get_mut("run-1") else { panic!("not open") };
    job.placed.insert(0, placed);
    core.add_task_to_machine(&task, &"i-1".into(), 0, now);
    let machine = core.machines.get_mut("i-1").unwrap();
    machine.session = 1;
    machine.seen_token = machine.token(1);
    machine.reclaim_at = Some(now);
    let status =
        TaskStatus { task: "run-1/0".into(), attempt: 1, state: TaskState::Saving, why: None, saved: None };
    machine.reported.insert(task, status);
    core
}

// Guards against a second `kill` that interrupts a checkpoint: the time left before a reclaim shrank to
// zero while the task was saving, and a repeated command without grace time ended the save.
#[test]
fn only_a_cancellation_interrupts_a_task_that_is_saving() {
    let now = Instant::now();
    for stop in [StopReason::ReclaimNotice, StopReason::Preempted, StopReason::Drained] {
        let core = core_with_saving_task(stop, now);
        assert_eq!(core.pending_commands("i-1", CommandChannel::Reply, now), [], "{stop:?}");
    }
    let core = core_with_saving_task(StopReason::JobCancelled, now);
    let kill = Command::Kill { task: "run-1/0".into(), attempt: 1, grace_s: 0.0 };
    assert_eq!(core.pending_commands("i-1", CommandChannel::Reply, now), [kill]);
}

/// Session of the workers in these tests.
const SESSION: u64 = 1;

/// A heartbeat of machine `i-1`, with the status of task `run-1/0` if the worker lists it.
fn heartbeat(sequence: u64, token: u64, task: Option<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "i-1".into(),
        address: "10.1.0.1:1".into(),
        machine_type: "g8".into(),
        zone: "z".into(),
        spot: false,
        session: SESSION,
        sequence,
        token,
        notice_s: None,
        tasks: task.into_iter().collect(),
    }
}

/// The status of the first attempt of `run-1/0` after it has failed.
fn failed_task() -> TaskStatus {
    let why = Some(ExitReason::Error);
    TaskStatus { task: "run-1/0".into(), attempt: 1, state: TaskState::Exited, why, saved: None }
}

/// A core in contact that holds the shard of machine `i-1`, whose worker lists the attempt that failed. The end
/// of the attempt is recorded: no placement is left.
fn core_with_recorded_failure(now: Instant) -> Core {
    let mut core = core_with_saving_task(StopReason::Preempted, now);
    core.loaded = true;
    core.role.last_confirmation_sent = Some(now);
    let Some(Job::Open(job)) = core.jobs.get_mut("run-1") else { panic!("not open") };
    job.placed.clear();
    let machine = core.machines.get_mut("i-1").unwrap();
    machine.tasks.clear();
    machine.group = Some("g".into());
    core
}

/// The reply to a heartbeat that lists the failed attempt.
fn reply_to_failure(core: &mut Core, sequence: u64, token: u64, now: Instant) -> HeartbeatReply {
    match core.handle_heartbeat(&heartbeat(sequence, token, Some(failed_task())), now) {
        HeartbeatOutcome::Reply(reply) => reply,
        other => panic!("{other:?}"),
    }
}

// Guards against a `clear` that leaves copies of an answered `start` valid: the reply that carries it must bring
// a higher token, once for all attempts that were started with the same token, and no message of its own.
#[test]
fn a_reply_with_clear_raises_the_token_if_commands_were_sent_directly() {
    let now = Instant::now();
    let mut core = core_with_recorded_failure(now);
    let machine = core.machines.get_mut("i-1").unwrap();
    let started = machine.token(1);
    machine.fencing.record_direct_commands();
    let clear = Command::Clear { task: "run-1/0".into(), attempt: 1 };

    let reply = reply_to_failure(&mut core, 1, started, now);
    assert_eq!((reply.token, reply.commands), (started + 1, vec![clear.clone()]));
    assert!(core.machines["i-1"].is_synced(1), "no task could be placed until the next heartbeat");
    assert_eq!(core.next_direct_commands("i-1", now), None);
    // The reply was lost. The token is above that of the `start` already.
    let reply = reply_to_failure(&mut core, 2, started, now);
    assert_eq!((reply.token, reply.commands), (started + 1, vec![clear]));
}

// Guards against tokens that are used up for nothing: replies are never executed late, so commands that they
// carried need not be voided.
#[test]
fn a_reply_with_clear_keeps_the_token_if_no_command_was_sent_directly() {
    let now = Instant::now();
    let mut core = core_with_recorded_failure(now);
    let machine = core.machines.get_mut("i-1").unwrap();
    machine.fencing.reset();
    let token = machine.token(1);
    let reply = reply_to_failure(&mut core, 1, token, now);
    assert_eq!((reply.token, reply.commands.len()), (token, 1));
}

// Guards against a `clear` that overtakes direct commands which are still on their way.
#[test]
fn no_clear_is_sent_while_direct_commands_are_in_flight() {
    let now = Instant::now();
    let mut core = core_with_recorded_failure(now);
    let machine = core.machines.get_mut("i-1").unwrap();
    machine.command_in_flight = true;
    machine.fencing.record_direct_commands();
    let token = machine.token(1);
    let reply = reply_to_failure(&mut core, 1, token, now);
    assert_eq!((reply.token, reply.commands), (token, vec![]));
}

// Guards against taking a missing entry as proof: the token was raised in a reply that the worker may not have
// received, so a start with the token that it has seen may still be on its way.
#[test]
fn a_stopped_task_that_is_not_listed_is_gone_only_once_the_worker_has_seen_a_higher_token() {
    let now = Instant::now();
    let mut core = core_with_saving_task(StopReason::Preempted, now);
    let task = TaskId { job: "run-1".into(), index: 0 };
    let machine = core.machines.get_mut("i-1").unwrap();
    let started = machine.token(1);
    machine.fencing.record_direct_commands();
    machine.fencing.void_answered_commands();
    let Some(Job::Open(job)) = core.jobs.get_mut("run-1") else { panic!("not open") };
    job.placed.get_mut(&0).unwrap().start_token = started;

    let exited = |core: &Core| core.open_job(&task.job).unwrap().uncommitted_exits.contains_key(&0);
    core.apply_heartbeat(&heartbeat(1, started, None), now);
    assert!(!exited(&core));
    assert!(!core.machines["i-1"].is_synced(1));
    let raised = core.machines["i-1"].token(1);
    core.apply_heartbeat(&heartbeat(2, raised, None), now);
    assert!(exited(&core));
}
