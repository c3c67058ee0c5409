use super::*;
use serde_json::json;

#[test]
fn keys_are_parsed_back() {
    for (key, parsed) in [
        (SegmentId::whole(3).key(), Key::Segment(SegmentId::whole(3))),
        (SegmentId::new(3, 14).key(), Key::Segment(SegmentId::new(3, 14))),
        (job_key("run-1"), Key::Job("run-1")),
        (completed_tasks_key("run-1", 2), Key::CompletedTasks("run-1", 2)),
        (shard_key(12), Key::Shard(12)),
        (drain_key(12), Key::Drain(12)),
        (group_key("dc-7-1.2"), Key::MachineGroup("dc-7-1.2")),
        (known_layout_key("c-0"), Key::KnownLayout("c-0")),
        (liveness_key("c-0"), Key::Liveness("c-0")),
        (catalog_key(1), Key::Catalog(Some(1))),
    ] {
        assert_eq!(Key::parse(&key), Some(parsed));
    }
    assert_eq!(Key::parse("dc/x/1"), None);
    assert_eq!(Key::parse("dc/b/x"), None);
    assert_eq!(Key::parse("dc/q/1"), None);
}

#[test]
fn stored_size_assumes_escaped_non_ascii_characters() {
    assert_eq!(stored_size(&json!("ab")), 4);
    assert_eq!(stored_size(&json!("é")), 8);
}

// Moves were stored as arrays before `DrainMove` had named fields, and other
// processes still read that form.
#[test]
fn drain_moves_are_stored_as_arrays() {
    let moved = DrainMove { job: "run-1".into(), index: 3, attempt: 2, destination: "i-9".into() };
    let record = DrainRecord { machine: "i-1".into(), for_job: "run-2".into(), moves: vec![moved] };
    let stored = serde_json::json!({"machine": "i-1", "for_job": "run-2", "moves": [["run-1", 3, 2, "i-9"]]});
    assert_eq!(serde_json::to_value(&record).unwrap(), stored);
    assert_eq!(serde_json::from_value::<DrainRecord>(stored).unwrap(), record);
}

// The Rust names of some stages differ from the stored ones, which other processes
// and older records use.
#[test]
fn job_stages_keep_their_stored_names() {
    for (stage, stored) in [
        (JobStage::Open, "open"),
        (JobStage::Done, "done"),
        (JobStage::Cancelled, "withdrawn"),
        (JobStage::Away, "away"),
        (JobStage::Hosted, "visiting"),
    ] {
        assert_eq!(serde_json::to_value(stage).unwrap(), json!(stored));
        assert_eq!(serde_json::from_value::<JobStage>(json!(stored)).unwrap(), stage);
    }
}
