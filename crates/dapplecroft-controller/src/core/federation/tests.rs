use crate::core::Core;
use crate::core::testing::{core, job_record, proposed_placement};
use crate::jobs::Job;
use crate::records::SegmentId;
use dapplecroft_federation::settings::{FederationSettings, RawFederationSettings, RawPeerSettings};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Returns the core of cell a's leader, which hosts job `run-1` of its peer cell b.
fn core_hosting_job(allocated: Value) -> Core {
    let peer = RawPeerSettings {
        name: "b".into(),
        endpoints: vec!["10.2.0.1:1".into()],
        networks: vec!["10.2.0.0/16".into()],
    };
    let raw = RawFederationSettings {
        cell: "a".into(),
        incarnation: 1,
        listen: "10.1.0.1:1".into(),
        peers: vec![peer],
        ..RawFederationSettings::default()
    };
    let mut core = core();
    core.options.federation = Some(FederationSettings::validate(&raw).unwrap());
    core.active_layout = 2;
    core.role.leader_key_version = Some(1);
    core.apply("dc/j/run-1", Some(hosted_job_value(allocated)), 5, Instant::now());
    core.advance_applied_revision(10);
    core
}

/// Stored record of the hosted job, with the given allocation of tasks to shards.
fn hosted_job_value(allocated: Value) -> Value {
    let spec = job_record("run-1", 2, json!({}))["spec"].clone();
    json!({"s": "visiting", "n": 2, "to": allocated, "at": 0.0, "spec": spec, "or": {"c": "b", "i": 1, "e": 7}})
}

// Guards against a job that runs in two cells. A shard holder's placement is conditional on
// the job's record but does not change it. A placement committed just before the job was
// returned would go unnoticed, and the task would run on while the home cell starts the job
// again.
#[test]
fn hosted_job_is_returned_only_after_the_replica_has_applied_the_revoked_allocations() {
    let later = Instant::now() + Duration::from_secs(100);
    let mut core = core_hosting_job(json!({"0": "0-1"}));
    assert!(core.job_return_updates(9, later).is_empty(), "a shard holder may be placing an allocated task");
    core.revoke_allocations_for_returns(later);
    let job = core.open_job("run-1").unwrap();
    assert!(job.revoking.contains_key(&0) && job.backoff_until.is_some_and(|at| at > later));
    core.apply("dc/j/run-1", Some(hosted_job_value(json!({}))), 12, later);
    assert!(
        core.job_return_updates(9, later).is_empty(),
        "the replica may not show a placement made before the revocation yet"
    );
    core.advance_applied_revision(12);
    let updates = core.job_return_updates(9, later);
    assert_eq!(updates.len(), 1);
    let bound = updates[0].conditions.iter().any(|c| c.key == "dc/j/run-1" && c.version == 12);
    assert!(bound, "{:?}", updates[0].conditions);
}

#[test]
fn hosted_job_with_a_placed_task_is_not_returned() {
    let later = Instant::now() + Duration::from_secs(100);
    let mut core = core_hosting_job(json!({}));
    let Some(Job::Open(open)) = core.jobs.get_mut("run-1") else { panic!("not open") };
    open.placed.insert(0, proposed_placement("i-1", SegmentId::new(0, 0), 1, later));
    core.revoke_allocations_for_returns(later);
    assert!(core.job_return_updates(9, later).is_empty());
}
