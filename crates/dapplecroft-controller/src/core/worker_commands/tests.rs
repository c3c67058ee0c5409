use super::*;
use crate::core::ShardLease;
use crate::core::testing::{core, job_record, proposed_placement};
use crate::jobs::{Job, Placement};
use crate::records::SegmentId;
use dapplecroft_wire::workers::TaskStatus;
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
        assert_eq!(core.pending_commands("i-1", true, now), [], "{stop:?}");
    }
    let core = core_with_saving_task(StopReason::JobCancelled, now);
    let kill = Command::Kill { task: "run-1/0".into(), attempt: 1, grace_s: 0.0 };
    assert_eq!(core.pending_commands("i-1", true, now), [kill]);
}
