use super::*;
use crate::core::ShardLease;
use crate::core::testing::{core, job_record, proposed};
use crate::jobs::Job;
use crate::records::{SegmentRecord, Span};
use dapplecroft_wire::workers::ExitReason;
use serde_json::json;

// A storm (seed 504): a task was proposed while its segment was being committed, and
// taken back from the shard meanwhile. Its proposal stayed: it could not be committed,
// kept the task from being allocated elsewhere, and on a quiet shard nothing ever came
// to it again.
#[test]
fn what_is_taken_back_while_its_part_is_on_its_way_can_be_allocated_elsewhere() {
    for end in [CommitOutcome::NotCommitted, CommitOutcome::Committed(13)] {
        let now = Instant::now();
        let mut core = core();
        let job = |allocated| job_record("run-1", 2, allocated);
        core.apply("dc/j/run-1", Some(job(json!({"0": [[0, 1]]}))), 5, now);
        core.role.leased_shards.insert(0, ShardLease { epoch: 1, version: 1 });
        let segment = SegmentId::new(0, 0);
        let placed = proposed("i-1", segment, 1, now);
        let task = TaskId { job: "run-1".into(), index: 1 };
        let Some(Job::Open(open)) = core.jobs.get_mut("run-1") else { panic!("not open") };
        open.placed.insert(1, placed.clone());
        core.book(&task, &placed.machine, 0, now);
        let target = CommitTarget::Segment(segment);
        core.commits.begin(target.clone(), 7);
        core.apply("dc/j/run-1", Some(job(json!({"0": [[0, 0]]}))), 12, now);
        assert!(core.open_job("run-1").unwrap().placed.contains_key(&1), "it may be in the unit");
        let update = AtomicUpdate::default();
        let update =
            PendingCommit { target, update, urgent: false, number: 7, proposals: Vec::new(), absorbed: None };
        core.commit_ended(&update, end, now);
        let job = core.open_job("run-1").unwrap();
        assert!(job.placed.is_empty() && job.unallocated.contains(1), "{end:?}");
        assert!(core.machines["i-1"].tasks.is_empty());
    }
}

// A segment that another takes in was dropped. A copy of the transaction that had begun
// it, without an answer and carried out late, would have found it as it was before,
// not there, and brought back tasks that had ended or moved meanwhile.
#[test]
fn a_part_that_was_taken_in_never_looks_as_if_it_had_not_begun() {
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
                vec![Span { job: 0, first: index, last: index, attempt: 1, session: 1 }],
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
    core.learn_parts(0);
    // A task of the first segment has ended.
    core.record_task_exit(&TaskId { job: "run-1".into(), index: 0 }, 1, Some(ExitReason::Done), "i-1", now);
    let update = core.next_commit(true, false, now).unwrap();
    assert_eq!((&update.target, update.absorbed), (&CommitTarget::Segment(one), Some(other)));
    let left = update.update.changes.iter().find(|c| c.key() == other.key()).unwrap();
    assert!(matches!(left, Change::Set { .. }), "{left:?}");
    core.commit_ended(&update, CommitOutcome::Committed(9), now);
    assert_eq!(core.version(&other.key()), 9);
    assert_eq!(core.open_job("run-2").unwrap().placed[&0].segment, one);
    assert!(core.copy_faults().is_empty(), "{:?}", core.copy_faults());
    // Its number is free, it is taken in only once, and what begins it again names
    // the version that it has.
    assert!(!core.segment_numbers(0).contains(&1));
    core.record_task_exit(&TaskId { job: "run-2".into(), index: 0 }, 1, None, "i-2", now);
    let update = core.next_commit(true, false, now).unwrap();
    assert_eq!((&update.target, update.absorbed), (&CommitTarget::Segment(one), None));
    core.commit_ended(&update, CommitOutcome::Committed(10), now);
    core.machines.get_mut("i-2").unwrap().segment = Some(1);
    core.apply(&one.key(), Some(json!({})), 11, now);
    let Some(Job::Open(open)) = core.jobs.get_mut("run-2") else { panic!("not open") };
    let placed = proposed("i-2", other, 2, now);
    open.placed.insert(1, placed);
    core.book(&TaskId { job: "run-2".into(), index: 1 }, &"i-2".into(), 0, now);
    let (update, proposals) = core.segment_update(other).unwrap();
    assert_eq!(proposals.len(), 1);
    assert!(
        update.conditions.contains(&Condition { key: other.key(), version: 9 }),
        "{:?}",
        update.conditions
    );
}

// A day took over 400 s of processor time: a segment of a shard that had been lost was
// still queued. It took another in, had nothing to commit, and queued the other, which
// did the same, without end.
#[test]
fn segments_of_a_shard_that_is_not_leased_do_not_queue_each_other() {
    let now = Instant::now();
    let mut core = core();
    core.apply("dc/format", Some(json!({"layout": 2})), 1, now);
    let job = |id: &str| job_record(id, 2, json!({"0": [[0, 1]]}));
    core.apply("dc/j/run-1", Some(job("run-1")), 2, now);
    core.apply("dc/j/run-2", Some(job("run-2")), 3, now);
    let record = |job: &str, machine: &str| {
        let span = Span { job: 0, first: 0, last: 0, attempt: 1, session: 1 };
        let machines = [(machine.into(), vec![span])].into();
        serde_json::to_value(SegmentRecord { jobs: vec![job.into()], machines, ..SegmentRecord::default() })
            .unwrap()
    };
    let (one, other) = (SegmentId::new(0, 0), SegmentId::new(0, 1));
    core.apply(&one.key(), Some(record("run-1", "i-1")), 4, now);
    core.apply(&other.key(), Some(record("run-2", "i-2")), 5, now);
    // Another shard is leased, so this process goes on committing.
    core.role.leased_shards.insert(1, ShardLease { epoch: 1, version: 1 });
    let next = NextTarget { target: CommitTarget::Segment(one), urgent: false };
    assert!(core.pending_commit(next, now).is_none());
    assert_eq!(core.commits.backlog(), 0, "nothing is queued again");
    assert!(!core.absorbs(other));
}
