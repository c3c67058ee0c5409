use crate::core::Core;
use crate::core::testing::{core, job_record, proposed};
use crate::jobs::Job;
use crate::records::SegmentId;
use dapplecroft_federation::settings::{FederationSettings, RawFederationSettings, RawPeerSettings};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// A leader of a cell with one peer, and a job of that which is here.
fn visited(allocated: Value) -> Core {
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
    core.format = 2;
    core.role.leadership = Some(1);
    core.apply("dc/j/run-1", Some(visiting(allocated)), 5, Instant::now());
    core.caught_up(10);
    core
}

fn visiting(allocated: Value) -> Value {
    let spec = job_record("run-1", 2, json!({}))["spec"].clone();
    json!({"s": "visiting", "n": 2, "to": allocated, "at": 0.0, "spec": spec, "or": {"c": "b", "i": 1, "e": 7}})
}

// A placement is bound to the job's record and leaves it as it is: a holder's could have
// been committed just before the job was given back, and would have run on while its home
// cell started the job again.
#[test]
fn a_job_is_given_back_only_once_nothing_of_it_is_allocated_and_that_is_caught_up_with() {
    let later = Instant::now() + Duration::from_secs(100);
    let mut core = visited(json!({"0": "0-1"}));
    assert!(core.return_updates(9, later).is_empty(), "a holder may be placing it");
    core.prepare_returns(later);
    let job = core.open_job("run-1").unwrap();
    assert!(job.revoking.contains_key(&0) && job.not_before.is_some_and(|at| at > later));
    core.apply("dc/j/run-1", Some(visiting(json!({}))), 12, later);
    assert!(core.return_updates(9, later).is_empty(), "what was placed before may not be known yet");
    core.caught_up(12);
    let updates = core.return_updates(9, later);
    assert_eq!(updates.len(), 1);
    let bound = updates[0].conditions.iter().any(|c| c.key == "dc/j/run-1" && c.version == 12);
    assert!(bound, "{:?}", updates[0].conditions);
}

#[test]
fn a_job_of_which_something_was_placed_stays() {
    let later = Instant::now() + Duration::from_secs(100);
    let mut core = visited(json!({}));
    let Some(Job::Open(open)) = core.jobs.get_mut("run-1") else { panic!("not open") };
    open.placed.insert(0, proposed("i-1", SegmentId::new(0, 0), 1, later));
    core.prepare_returns(later);
    assert!(core.return_updates(9, later).is_empty());
}
