use super::*;
use crate::core::Holding;
use crate::jobs::Job;
use crate::options::Options;
use crate::records::{LoadRecord, Span};
use dapplecroft_wire::settings::Settings;
use dapplecroft_wire::workers::ExitReason;
use serde_json::json;

fn core() -> Core {
    let text = json!({"host_name": "c-0", "listen": "10.0.0.1:1", "back": "10.0.0.1:2",
        "external": {"cloud": "10.0.0.2:1", "state": "10.0.0.2:2"},
        "facts": {"nodes": 1, "teams": [{"name": "t"}],
            "workers": {"report_s": 3.0, "lease_s": 27.0, "cancel_s": 47.0},
            "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 8.0}}});
    let settings = Settings::parse(&text.to_string()).unwrap();
    Core::new(settings.into(), Options::default(), "p".into())
}

// A storm (seed 504): a task was proposed while its part was being committed, and
// taken back from the block meanwhile. Its proposal stayed: it could not be committed,
// kept the task from being admitted elsewhere, and on a quiet block nothing ever came
// to it again.
#[test]
fn what_is_taken_back_while_its_part_is_on_its_way_can_be_admitted_elsewhere() {
    for end in [UnitEnd::NotMade, UnitEnd::Committed(13)] {
        let now = Instant::now();
        let mut core = core();
        let job = |to: serde_json::Value| {
            json!({"stage": "open", "tasks": 2, "to": to, "spec": {"id": "run-1", "lane": "c", "crew": "t",
                "form": "sweep", "rank": "normal", "shares": 2, "cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0,
                "reckon_s": 10.0}})
        };
        core.apply("dc/j/run-1", Some(job(json!({"0": [[0, 1]]}))), 5, now);
        core.role.holdings.insert(0, Holding { epoch: 1, version: 1 });
        let part = PartId::new(0, 0);
        let placed = Placed {
            attempt: 1,
            machine: "i-1".into(),
            home: part,
            session: 1,
            committed: false,
            since: now,
            running: None,
            sent: 0,
            stop: None,
            freed: false,
        };
        let task = TaskId { job: "run-1".into(), index: 1 };
        let Some(Job::Open(open)) = core.jobs.get_mut("run-1") else { panic!("not open") };
        open.placed.insert(1, placed.clone());
        core.book(&task, &placed.machine, 0, now);
        let subject = Subject::Part(part);
        core.on_way.insert(subject.clone(), 7);
        core.apply("dc/j/run-1", Some(job(json!({"0": [[0, 0]]}))), 12, now);
        assert!(core.open_job("run-1").unwrap().placed.contains_key(&1), "it may be in the unit");
        let unit = Unit::default();
        let unit =
            WorkUnit { subject, unit, urgent: false, number: 7, proposals: Vec::new(), absorbed: None };
        core.unit_ended(&unit, end, now);
        let job = core.open_job("run-1").unwrap();
        assert!(job.placed.is_empty() && job.unadmitted.contains(1), "{end:?}");
        assert!(core.machines["i-1"].tasks.is_empty());
    }
}

// A part that another takes in was dropped. A copy of the transaction that had begun
// it, without an answer and carried out late, would have found it as it was before,
// not there, and brought back tasks that had ended or moved meanwhile.
#[test]
fn a_part_that_was_taken_in_never_looks_as_if_it_had_not_begun() {
    let now = Instant::now();
    let mut core = core();
    core.apply("dc/format", Some(json!({"layout": 2})), 1, now);
    let spec = |id: &str| {
        json!({"stage": "open", "tasks": 2, "to": {"0": [[0, 1]]}, "spec": {"id": id, "lane": "c", "crew": "t",
            "form": "sweep", "rank": "normal", "shares": 2, "cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0,
            "reckon_s": 10.0}})
    };
    core.apply("dc/j/run-1", Some(spec("run-1")), 2, now);
    core.apply("dc/j/run-2", Some(spec("run-2")), 3, now);
    let span = |job: &str, machine: &str, index: u32| {
        let record = LoadRecord {
            jobs: vec![job.into()],
            machines: [(
                machine.into(),
                vec![Span { job: 0, first: index, last: index, attempt: 1, session: 1 }],
            )]
            .into(),
            ..LoadRecord::default()
        };
        serde_json::to_value(record).unwrap()
    };
    let (one, other) = (PartId::new(0, 0), PartId::new(0, 1));
    core.apply(&one.key(), Some(span("run-1", "i-1", 0)), 4, now);
    core.apply(&other.key(), Some(span("run-2", "i-2", 0)), 5, now);
    core.role.holdings.insert(0, Holding { epoch: 1, version: 1 });
    core.learn_parts(0);
    // A task of the first part has ended.
    core.end(&TaskId { job: "run-1".into(), index: 0 }, 1, Some(ExitReason::Done), "i-1", now);
    let unit = core.next_unit(true, false, now).unwrap();
    assert_eq!((&unit.subject, unit.absorbed), (&Subject::Part(one), Some(other)));
    let left = unit.unit.changes.iter().find(|c| c.key() == other.key()).unwrap();
    assert!(matches!(left, Change::Set { .. }), "{left:?}");
    core.unit_ended(&unit, UnitEnd::Committed(9), now);
    assert_eq!(core.version(&other.key()), 9);
    assert_eq!(core.open_job("run-2").unwrap().placed[&0].home, one);
    assert!(core.copy_faults().is_empty(), "{:?}", core.copy_faults());
    // Its number is free, it is taken in only once, and what begins it again names
    // the version that it has.
    assert!(!core.part_numbers(0).contains(&1));
    core.end(&TaskId { job: "run-2".into(), index: 0 }, 1, None, "i-2", now);
    let unit = core.next_unit(true, false, now).unwrap();
    assert_eq!((&unit.subject, unit.absorbed), (&Subject::Part(one), None));
    core.unit_ended(&unit, UnitEnd::Committed(10), now);
    core.machines.get_mut("i-2").unwrap().part = Some(1);
    core.apply(&one.key(), Some(json!({})), 11, now);
    let Some(Job::Open(open)) = core.jobs.get_mut("run-2") else { panic!("not open") };
    let placed = Placed {
        attempt: 2,
        machine: "i-2".into(),
        home: other,
        session: 1,
        committed: false,
        since: now,
        running: None,
        sent: 0,
        stop: None,
        freed: false,
    };
    open.placed.insert(1, placed);
    core.book(&TaskId { job: "run-2".into(), index: 1 }, &"i-2".into(), 0, now);
    let (unit, proposals) = core.part_unit(other).unwrap();
    assert_eq!(proposals.len(), 1);
    assert!(unit.conditions.contains(&Condition { key: other.key(), version: 9 }), "{:?}", unit.conditions);
}
