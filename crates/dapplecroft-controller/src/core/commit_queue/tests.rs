use super::*;

fn job(id: &str) -> CommitTarget {
    CommitTarget::Job(id.into())
}

fn segment(number: u32) -> CommitTarget {
    CommitTarget::Segment(SegmentId::new(0, number))
}

#[test]
fn ends_of_jobs_go_first_and_ends_of_tasks_wait_for_others() {
    let start = Instant::now();
    let mut queue = CommitQueue::default();
    queue.defer_end(SegmentId::new(0, 3), start);
    queue.push(segment(1), false);
    queue.push(segment(2), true);
    queue.push_job_end(job("run-1"));
    let flat = |_: &CommitQueue, _: &CommitTarget, urgent: bool| if urgent { 8.0 } else { 1.0 };
    let mut order = Vec::new();
    while let Some(next) = queue.next_scarce(false, flat, start) {
        order.push((next.target, next.urgent));
    }
    assert_eq!(order, [(job("run-1"), true), (segment(2), true), (segment(1), false)]);
    let later = start + DEFERRED_ENDS_DELAY;
    assert_eq!(queue.next_scarce(true, flat, later), None);
    assert_eq!(queue.next_scarce(false, flat, later), Some(NextTarget::normal(segment(3))));
}

// Urgent segments that came and came once kept large allocations back for ever.
#[test]
fn a_higher_score_goes_before_urgent_work_and_a_negative_one_has_no_turn() {
    let now = Instant::now();
    let mut queue = CommitQueue::default();
    queue.push(segment(1), true);
    queue.push(job("run-1"), false);
    let score = |_: &CommitQueue, target: &CommitTarget, _: bool| match target {
        CommitTarget::Job(_) => 100.0,
        _ => 8.0,
    };
    assert_eq!(queue.next_scarce(true, score, now).unwrap().target, segment(1));
    queue.push(segment(1), true);
    assert_eq!(queue.next_scarce(false, score, now).unwrap().target, job("run-1"));
    assert_eq!(queue.next_scarce(false, |_, _, _| -1.0, now), None);
    assert_eq!(queue.backlog(), 1);
}

#[test]
fn one_commit_of_a_target_is_in_flight_at_a_time() {
    let mut queue = CommitQueue::default();
    let number = queue.next_number();
    queue.begin(segment(1), number);
    assert!(queue.is_in_flight(&segment(1)) && queue.is_shard_in_flight(0) && !queue.is_shard_in_flight(1));
    queue.recheck_later(segment(1));
    queue.block_on(segment(1), segment(2));
    // The end of an earlier unit ends no later one.
    queue.end(&segment(1), number + 1);
    assert!(queue.is_in_flight(&segment(1)));
    queue.end(&segment(1), number);
    assert!(!queue.is_in_flight(&segment(1)));
    assert!(queue.release_blocked(&segment(1)));
    assert_eq!(queue.backlog(), 2);
    assert!(!queue.release_blocked(&segment(1)));
}
