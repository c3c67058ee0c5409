use super::*;
use serde_json::json;

#[test]
fn segment_records_are_stored_compactly_and_read_back() {
    let span = |first, last, attempt, session| TaskSpan { job: 0, first, last, attempt, session };
    let mut record = SegmentRecord { jobs: vec!["run-01".into()], ..SegmentRecord::default() };
    let spans = vec![span(7, 7, 1, 1), span(8, 9, 2, 1), span(10, 10, 1, 4), span(11, 12, 3, 5)];
    record.machines.insert("i-1".into(), spans);
    record.machines.insert("i-2".into(), Vec::new());
    // All tasks between the first three spans have completed, so that they form one
    // group. Task 32 has not, which keeps the last span apart.
    let spans = vec![span(20, 21, 1, 1), span(23, 23, 1, 1), span(26, 30, 1, 1), span(33, 33, 1, 1)];
    record.machines.insert("i-3".into(), spans);
    record.machines.insert("i 4".into(), vec![span(50, 50, 1, 1)]);
    record.done.insert("run-01".into(), Ranges::from_ascending([19, 22, 24, 25, 31]));
    record.done.insert("run-2".into(), Ranges::from_ascending([0, 1, 2, 5]));
    record.last_attempts.insert("run-01".into(), BTreeMap::from([(3, 2), (4, 9), (5, 9), (6, 9)]));
    record.last_attempts.insert("run-3".into(), BTreeMap::from([(0, 1)]));
    let value = serde_json::to_value(&record).unwrap();
    let expected = json!({"j": "01 2 3",
        "m": "ai-1=0:7 0:8-9*2 0:10@4 0:11-12*3@5;c2=;c3=0:20-30/430 0:33", "o": {"i 4": "0:50"},
        "d": "0:19,31 1:0-2,5", "t": "0:3*2,4-6*9 2:0*1"});
    assert_eq!(value, expected);
    assert_eq!(record.group_sizes(), [1, 1, 2, 1, 2, 11, 1]);
    let read: SegmentRecord = serde_json::from_value(value).unwrap();
    assert_eq!(
        (read.machines, read.done, read.last_attempts),
        (record.machines, record.done, record.last_attempts)
    );
    for bad in [
        json!({"m": "ai-1=0:1"}),
        json!({"j": "1", "m": "ai-1=0:9-7"}),
        json!({"j": "1", "m": "ai-1=0:x"}),
        json!({"j": "1", "m": "ai-1=0:1-2/8"}),
        json!({"j": "1", "m": "ai-1=0:1-2/3"}),
        json!({"j": "1", "m": "ai-1=0:1-2/00"}),
        json!({"j": "1", "d": "0:5-2"}),
        json!({"j": "1", "t": "0:5"}),
        json!({"d": "0:5"}),
        json!({"j": "1", "m": "bi-1=0:5"}),
        json!({"j": "1", "m": "ai-1"}),
        json!({"j": "1", "m": "=0:5"}),
    ] {
        assert!(serde_json::from_value::<SegmentRecord>(bad.clone()).is_err(), "{bad}");
    }
}

#[test]
fn any_set_of_completed_tasks_on_a_machine_is_read_back() {
    // Tries every subset of nine tasks that were placed together.
    for bits in 0..512u32 {
        let mut record = SegmentRecord { jobs: vec!["run-1".into()], ..SegmentRecord::default() };
        let running = Ranges::from_ascending((0..9).filter(|i| bits & (1 << i) == 0));
        let done = Ranges::from_ascending((0..9).filter(|i| bits & (1 << i) != 0));
        let spans = running.bounds().iter().map(|(first, last)| TaskSpan {
            job: 0,
            first: *first,
            last: *last,
            attempt: 1,
            session: 1,
        });
        record.machines.insert("i-1".into(), spans.collect());
        if !done.is_empty() {
            record.done.insert("run-1".into(), done);
        }
        let value = serde_json::to_value(&record).unwrap();
        assert!(value.to_string().len() <= 48, "{value}");
        let read: SegmentRecord = serde_json::from_value(value).unwrap();
        assert_eq!(read, record);
    }
}
