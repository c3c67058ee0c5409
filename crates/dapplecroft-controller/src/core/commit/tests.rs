use super::*;
use crate::core::ShardLease;
use crate::core::testing::{core, job_record, proposed_placement};
use crate::jobs::Job;
use crate::records::{SegmentRecord, TaskSpan};
use dapplecroft_wire::workers::ExitReason;
use serde_json::json;

// Guards against a proposal that is never withdrawn. The leader revokes a task's allocation while
// a commit of the segment in which the task is proposed is in flight. The proposal could not be
// committed any more, kept the task from being allocated elsewhere, and on a quiet shard nothing
// withdrew it later (storm test, seed 504).
#[test]
fn task_revoked_during_a_segment_commit_can_be_allocated_elsewhere() {
    for end in [CommitOutcome::NotCommitted, CommitOutcome::Committed(13)] {
        let now = Instant::now();
        let mut core = core();
        let job = |allocated| job_record("run-1", 2, allocated);
        core.apply("dc/j/run-1", Some(job(json!({"0": [[0, 1]]}))), 5, now);
        core.role.leased_shards.insert(0, ShardLease { epoch: 1, version: 1 });
        let segment = SegmentId::new(0, 0);
        let placed = proposed_placement("i-1", segment, 1, now);
        let task = TaskId { job: "run-1".into(), index: 1 };
        let Some(Job::Open(open)) = core.jobs.get_mut("run-1") else { panic!("not open") };
        open.placed.insert(1, placed.clone());
        core.add_task_to_machine(&task, &placed.machine, 0, now);
        let target = CommitTarget::Segment(segment);
        core.commit_queue.mark_in_flight(target.clone(), 7);
        core.apply("dc/j/run-1", Some(job(json!({"0": [[0, 0]]}))), 12, now);
        assert!(
            core.open_job("run-1").unwrap().placed.contains_key(&1),
            "the proposal may be in the commit in flight"
        );
        let update = AtomicUpdate::default();
        let commit = PendingCommit {
            target,
            update,
            urgent: false,
            sequence_number: 7,
            proposals: Vec::new(),
            merged_segment: None,
        };
        core.finish_commit(&commit, end, now);
        let job = core.open_job("run-1").unwrap();
        assert!(job.placed.is_empty() && job.unallocated.contains(1), "{end:?}");
        assert!(core.machines["i-1"].tasks.is_empty());
    }
}

// Guards against a delayed copy of the update that created a segment. When a merged segment's
// record was deleted, such a copy, unanswered and carried out late, found its condition (the key
// does not exist) true again and brought back tasks that had ended or moved meanwhile.
#[test]
fn merged_segment_record_is_emptied_and_never_deleted() {
    let now = Instant::now();
    let mut core = core();
    core.apply("dc/format", Some(json!({"layout": 2})), 1, now);
    let job = |id: &str| job_record(id, 2, json!({"0": [[0, 1]]}));
    core.apply("dc/j/run-1", Some(job("run-1")), 2, now);
    core.apply("dc/j/run-2", Some(job("run-2")), 3, now);
    let span = |job: &str, machine: &str, index: u32| {
        let record = SegmentRecord {
            jobs: vec![job.into()],
            machines: [(
                machine.into(),
                vec![TaskSpan { job: 0, first: index, last: index, attempt: 1, session: 1 }],
            )]
            .into(),
            ..SegmentRecord::default()
        };
        serde_json::to_value(record).unwrap()
    };
    let (one, other) = (SegmentId::new(0, 0), SegmentId::new(0, 1));
    core.apply(&one.key(), Some(span("run-1", "i-1", 0)), 4, now);
    core.apply(&other.key(), Some(span("run-2", "i-2", 0)), 5, now);
    core.role.leased_shards.insert(0, ShardLease { epoch: 1, version: 1 });
    core.load_machine_segments(0);
    core.record_task_exit(&TaskId { job: "run-1".into(), index: 0 }, 1, Some(ExitReason::Done), "i-1", now);
    let commit = core.next_commit(true, false, now).unwrap();
    assert_eq!((&commit.target, commit.merged_segment), (&CommitTarget::Segment(one), Some(other)));
    let left = commit.update.changes.iter().find(|c| c.key() == other.key()).unwrap();
    assert!(matches!(left, Change::Set { .. }), "{left:?}");
    core.finish_commit(&commit, CommitOutcome::Committed(9), now);
    assert_eq!(core.version(&other.key()), 9);
    assert_eq!(core.open_job("run-2").unwrap().placed[&0].segment, one);
    assert!(core.replica_inconsistencies().is_empty(), "{:?}", core.replica_inconsistencies());
    // The merged segment's number is free again, the segment is not merged a second time, and the
    // update that uses it again has its present version as a condition.
    assert!(!core.segment_numbers(0).contains(&1));
    core.record_task_exit(&TaskId { job: "run-2".into(), index: 0 }, 1, None, "i-2", now);
    let commit = core.next_commit(true, false, now).unwrap();
    assert_eq!((&commit.target, commit.merged_segment), (&CommitTarget::Segment(one), None));
    core.finish_commit(&commit, CommitOutcome::Committed(10), now);
    core.machines.get_mut("i-2").unwrap().segment = Some(1);
    core.apply(&one.key(), Some(json!({})), 11, now);
    let Some(Job::Open(open)) = core.jobs.get_mut("run-2") else { panic!("not open") };
    let placed = proposed_placement("i-2", other, 2, now);
    open.placed.insert(1, placed);
    core.add_task_to_machine(&TaskId { job: "run-2".into(), index: 1 }, &"i-2".into(), 0, now);
    let (update, proposals) = core.segment_update(other).unwrap();
    assert_eq!(proposals.len(), 1);
    assert!(
        update.conditions.contains(&Condition { key: other.key(), version: 9 }),
        "{:?}",
        update.conditions
    );
}

// Guards against an endless loop. A segment of a shard whose lease was lost was still queued: it
// was merged with another segment, had nothing to commit, and undoing the merge queued the other
// segment, which did the same. One simulated day took over 400 s of CPU time.
#[test]
fn segments_of_a_shard_that_is_not_leased_do_not_queue_each_other() {
    let now = Instant::now();
    let mut core = core();
    core.apply("dc/format", Some(json!({"layout": 2})), 1, now);
    let job = |id: &str| job_record(id, 2, json!({"0": [[0, 1]]}));
    core.apply("dc/j/run-1", Some(job("run-1")), 2, now);
    core.apply("dc/j/run-2", Some(job("run-2")), 3, now);
    let record = |job: &str, machine: &str| {
        let span = TaskSpan { job: 0, first: 0, last: 0, attempt: 1, session: 1 };
        let machines = [(machine.into(), vec![span])].into();
        serde_json::to_value(SegmentRecord { jobs: vec![job.into()], machines, ..SegmentRecord::default() })
            .unwrap()
    };
    let (one, other) = (SegmentId::new(0, 0), SegmentId::new(0, 1));
    core.apply(&one.key(), Some(record("run-1", "i-1")), 4, now);
    core.apply(&other.key(), Some(record("run-2", "i-2")), 5, now);
    // This process leases another shard, so it still builds commits.
    core.role.leased_shards.insert(1, ShardLease { epoch: 1, version: 1 });
    let next = NextTarget { target: CommitTarget::Segment(one), urgent: false };
    assert!(core.build_commit(next, now).is_none());
    assert_eq!(core.commit_queue.backlog(), 0, "nothing is queued again");
    assert!(!core.is_being_merged(other));
}
