use super::*;

fn job(id: &str) -> CommitTarget {
    CommitTarget::Job(id.into())
}

fn segment(number: u32) -> CommitTarget {
    CommitTarget::Segment(SegmentId::new(0, number))
}

#[test]
fn job_completions_go_first_and_task_exits_are_batched() {
    let start = Instant::now();
    let mut queue = CommitQueue::default();
    queue.defer_exit(SegmentId::new(0, 3), start);
    queue.push(segment(1), false);
    queue.push(segment(2), true);
    queue.push_job_completion(job("run-1"));
    let flat = |_: &CommitQueue, _: &CommitTarget, urgent: bool| if urgent { 8.0 } else { 1.0 };
    let mut order = Vec::new();
    while let Some(next) = queue.next_by_score(false, flat, start) {
        order.push((next.target, next.urgent));
    }
    assert_eq!(order, [(job("run-1"), true), (segment(2), true), (segment(1), false)]);
    let later = start + DEFERRED_EXITS_DELAY;
    assert_eq!(queue.next_by_score(true, flat, later), None);
    assert_eq!(queue.next_by_score(false, flat, later), Some(NextTarget::normal(segment(3))));
}

// Guards against starvation: with urgent work always first, urgent segments that were queued again
// and again kept large allocations of other work waiting for ever.
#[test]
fn higher_score_precedes_urgent_work_and_negative_score_is_skipped() {
    let now = Instant::now();
    let mut queue = CommitQueue::default();
    queue.push(segment(1), true);
    queue.push(job("run-1"), false);
    let score = |_: &CommitQueue, target: &CommitTarget, _: bool| match target {
        CommitTarget::Job(_) => 100.0,
        _ => 8.0,
    };
    assert_eq!(queue.next_by_score(true, score, now).unwrap().target, segment(1));
    queue.push(segment(1), true);
    assert_eq!(queue.next_by_score(false, score, now).unwrap().target, job("run-1"));
    assert_eq!(queue.next_by_score(false, |_, _, _| -1.0, now), None);
    assert_eq!(queue.backlog(), 1);
}

#[test]
fn one_commit_of_a_target_is_in_flight_at_a_time() {
    let mut queue = CommitQueue::default();
    let sequence_number = queue.next_sequence_number();
    queue.mark_in_flight(segment(1), sequence_number);
    assert!(queue.is_in_flight(&segment(1)) && queue.is_shard_in_flight(0) && !queue.is_shard_in_flight(1));
    queue.requeue_after_commit(segment(1));
    queue.block_on(segment(1), segment(2));
    // A commit with another sequence number does not clear the one in flight.
    queue.clear_in_flight(&segment(1), sequence_number + 1);
    assert!(queue.is_in_flight(&segment(1)));
    queue.clear_in_flight(&segment(1), sequence_number);
    assert!(!queue.is_in_flight(&segment(1)));
    assert!(queue.release_blocked(&segment(1)));
    assert_eq!(queue.backlog(), 2);
    assert!(!queue.release_blocked(&segment(1)));
}
