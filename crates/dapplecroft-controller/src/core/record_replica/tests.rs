use super::*;
use crate::core::testing::{core, job_record, proposed_placement};
use dapplecroft_wire::state::WatchEvent;
use serde_json::json;

fn job() -> Value {
    job_record("run-1", 4, json!({"0": [[0, 3]]}))
}

fn segment() -> Value {
    json!({"j": ["run-1"], "m": {"i-1": [[0, 1, 2]]}, "d": {"run-1": [[0, 0]]}})
}

fn assert_known(core: &Core) {
    let job = core.open_job("run-1").unwrap();
    assert_eq!(job.placed.keys().copied().collect::<Vec<_>>(), [1, 2]);
    assert_eq!(job.done.iter().collect::<Vec<_>>(), [0]);
    assert_eq!(job.waiting[&0].iter().collect::<Vec<_>>(), [3]);
    assert_eq!(core.machines["i-1"].tasks.len(), 2);
}

#[test]
fn running_tasks_are_known_whichever_record_arrives_first() {
    let now = Instant::now();
    let mut one = core();
    one.apply("dc/p/0", Some(segment()), 9, now);
    one.apply("dc/j/run-1", Some(job()), 5, now);
    assert_known(&one);
    // The same changes from a watch, which returns them in no particular order.
    let mut two = core();
    let set = |key: &str, data: Value, version| WatchEvent {
        set: Some(key.into()),
        drop: None,
        data: Some(data),
        version,
    };
    let log = vec![set("dc/p/0", segment(), 9), set("dc/j/run-1", job(), 10)];
    two.apply_watch(WatchResponse { revision: 10, log }, now);
    assert_known(&two);
}

#[test]
fn committed_placement_takes_its_session_from_the_record() {
    let now = Instant::now();
    let mut core = core();
    core.apply("dc/j/run-1", Some(job()), 5, now);
    let Some(Job::Open(open)) = core.jobs.get_mut("run-1") else { panic!("not open") };
    open.placed.insert(1, proposed_placement("i-1", SegmentId::whole(0), 1, now));
    core.apply("dc/p/0", Some(json!({"j": ["run-1"], "m": {"i-1": [[0, 1, 1, 1, 2]]}})), 9, now);
    let placed = &core.open_job("run-1").unwrap().placed[&1];
    assert_eq!((placed.committed, placed.session), (true, 2));
}

// Guards against tasks that run twice. After a network partition, a conflict made the controller
// read the newest record of one shard by itself; then the watch returned older records of another
// shard, from which the task had moved, and these hid its present placement (ten tasks ran twice).
#[test]
fn older_record_of_another_shard_does_not_hide_a_moved_task() {
    let now = Instant::now();
    let mut core = core();
    let mut allocated = job();
    allocated["to"] = json!({"0": [[1, 3]], "8": [[0, 0]]});
    core.apply("dc/j/run-1", Some(allocated), 200, now);
    // The task has moved from shard 0 to shard 8.
    core.apply("dc/p/8", Some(json!({"j": ["run-1"], "m": {"i-8": [[0, 0, 0, 2]]}})), 210, now);
    let set = |data: Value, version| WatchEvent {
        set: Some("dc/p/0".into()),
        drop: None,
        data: Some(data),
        version,
    };
    let there = json!({"j": ["run-1"], "m": {"i-1": [[0, 0, 0]]}});
    core.apply_watch(WatchResponse { revision: 150, log: vec![set(there, 150)] }, now);
    let at =
        |core: &Core| core.open_job("run-1").unwrap().placed.get(&0).map(|p| (p.segment.shard, p.attempt));
    assert_eq!(at(&core), Some((8, 2)));
    assert!(core.machines.get("i-1").is_none_or(|m| m.tasks.is_empty()));
    let gone = json!({"t": {"run-1": {"0": 1}}});
    core.apply_watch(WatchResponse { revision: 220, log: vec![set(gone, 190)] }, now);
    assert_eq!(at(&core), Some((8, 2)));
    assert_eq!(core.open_job("run-1").unwrap().waiting_in(8), 0);
    assert_eq!(core.machines["i-8"].tasks.len(), 1);
}

#[test]
fn cancelled_job_keeps_its_quota_usage_until_earlier_changes_are_applied() {
    let now = Instant::now();
    let mut core = core();
    core.apply_watch(WatchResponse { revision: 5, log: Vec::new() }, now);
    core.apply("dc/j/run-1", Some(job()), 5, now);
    let used = |core: &Core| core.teams.get("t").map_or(0, |b| b.used.cpus);
    assert_eq!(used(&core), 4000);
    // The cancellation is applied before the placements that were committed earlier.
    let mut withdrawn = job();
    withdrawn["stage"] = json!("withdrawn");
    core.apply("dc/j/run-1", Some(withdrawn), 12, now);
    assert_eq!(used(&core), 4000);
    let log = vec![WatchEvent { set: Some("dc/p/0".into()), drop: None, data: Some(segment()), version: 9 }];
    core.apply_watch(WatchResponse { revision: 12, log }, now);
    assert_eq!(used(&core), 2000);
}

// Guards against a cancelled job that becomes final while one of its tasks runs and counts against
// no team. The leader had revoked a task's allocation to a shard just as the task was placed
// there; a controller that had read the job's record by itself, and did not know the placement
// yet, made the cancelled job final.
#[test]
fn cancelled_job_becomes_final_only_after_earlier_changes_are_applied() {
    let now = Instant::now();
    let mut core = core();
    core.apply_watch(WatchResponse { revision: 5, log: Vec::new() }, now);
    core.apply("dc/j/run-1", Some(job()), 5, now);
    let mut taken_back = job();
    taken_back["to"] = json!({});
    core.apply("dc/j/run-1", Some(taken_back.clone()), 12, now);
    let is_final = |core: &Core| core.cancelled_job_record("run-1").unwrap().0.spec.is_none();
    assert!(!is_final(&core), "a placement at 9 may not be known yet");
    let log = vec![WatchEvent { set: Some("dc/p/0".into()), drop: None, data: Some(segment()), version: 9 }];
    core.apply_watch(WatchResponse { revision: 12, log }, now);
    assert!(!core.open_job("run-1").unwrap().placed.is_empty() && !is_final(&core));
    // The same without that placement: the job becomes final.
    let mut core = self::core();
    core.apply("dc/j/run-1", Some(taken_back), 12, now);
    core.apply_watch(WatchResponse { revision: 12, log: Vec::new() }, now);
    assert!(is_final(&core));
}

// Guards against usage above a team's quota: a revoked allocation was available to the team's
// other jobs at once, although the task could have been placed just before the revocation.
#[test]
fn revoked_allocation_keeps_its_quota_usage_until_earlier_changes_are_applied() {
    let now = Instant::now();
    let used = |core: &Core| core.teams.get("t").map_or(0, |b| b.used.cpus);
    for placed in [false, true] {
        let mut core = core();
        core.apply_watch(WatchResponse { revision: 5, log: Vec::new() }, now);
        core.apply("dc/j/run-1", Some(job()), 5, now);
        let before = used(&core);
        let all = core.open_job("run-1").unwrap().record.allocated.clone();
        let Some(Job::Open(open)) = core.jobs.get_mut("run-1") else { panic!("not open") };
        open.revoking = all;
        let mut taken_back = job();
        taken_back["to"] = json!({});
        core.apply("dc/j/run-1", Some(taken_back), 12, now);
        assert_eq!(used(&core), before, "the usage stays until revision 12 is applied");
        let set = WatchEvent { set: Some("dc/p/0".into()), drop: None, data: Some(segment()), version: 9 };
        let log = if placed { vec![set] } else { Vec::new() };
        core.apply_watch(WatchResponse { revision: 12, log }, now);
        let runs = core.open_job("run-1").unwrap().placed.len() as i64;
        assert_eq!((runs > 0, used(&core)), (placed, runs * 1000));
    }
}
