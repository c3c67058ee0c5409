use super::*;
use serde_json::json;

// Values that the first version of the program wrote; see `fixtures/README.md`.
const FIRST_VERSION_VALUES: &str = include_str!("../../fixtures/first-layout.json");

#[test]
fn first_version_records_are_read_and_written_back_unchanged() {
    let written: BTreeMap<String, Value> = serde_json::from_str(FIRST_VERSION_VALUES).unwrap();
    let mut seen = [0; 3];
    for (key, value) in written {
        let (again, kind) = match key.split('/').nth(1) {
            Some("j") => (write_job(&read_job(value.clone()).unwrap()), 0),
            Some("p") => (write_segment(&read_segment(value.clone()).unwrap()), 1),
            Some("m") => (write_group(&read_group(value.clone()).unwrap()), 2),
            _ => continue,
        };
        assert_eq!(again, value, "{key}");
        seen[kind] += 1;
    }
    assert!(seen.iter().all(|n| *n > 1), "{seen:?}");
}

#[test]
fn first_version_cannot_read_second_layout_job_records() {
    let old = json!({"stage": "open", "tasks": 4, "to": {"0": [[0, 3]]}, "at": 5.0});
    let record = read_job(old.clone()).unwrap();
    assert_eq!(record.allocated[&0].len(), 4);
    let new = serde_json::to_value(&record).unwrap();
    assert_eq!(new, json!({"s": "open", "n": 4, "to": {"0": "0-3"}, "at": 5.0}));
    assert!(serde_json::from_value::<LegacyJob>(new.clone()).is_err());
    assert_eq!(read_job(new).unwrap(), record);
}

// The stored name of `legacy_done` is `folded`. None of the values in the fixture has
// this field, so that a rename of the stored name once went unnoticed.
#[test]
fn completed_tasks_keep_their_stored_name() {
    let old = json!({"stage": "open", "tasks": 4, "folded": [[0, 1]], "at": 5.0});
    let record = read_job(old.clone()).unwrap();
    assert_eq!(record.legacy_done.len(), 2);
    assert_eq!(write_job(&record), old);
}

#[test]
fn first_layout_spans_omit_usual_values_at_the_end() {
    for text in ["[3,7]", "[3,7,9]", "[3,7,7,2]", "[3,7,9,1,4]"] {
        let numbers: Vec<u64> = serde_json::from_str(text).unwrap();
        assert_eq!(write_span(&read_span(&numbers).unwrap()), numbers);
    }
    assert!(read_segment(json!({"m": {"i-1": [[3]]}})).is_err());
    assert!(read_segment(json!({"m": {"i-1": [[3, 4294967296u64]]}})).is_err());
}
