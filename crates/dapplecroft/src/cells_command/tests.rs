//! Operators' tools parse these lines, so their wording must not change unnoticed.

use super::*;
use dapplecroft_wire::peer::{AwayJob, OtherCell};

#[test]
fn summary_and_away_jobs_have_one_line_per_cell_and_job() {
    let other = |name: &str, incarnation, away_jobs| OtherCell {
        name: name.into(),
        incarnation,
        heard_ms_ago: 1500,
        away_jobs,
        visiting_jobs: 2,
        kept_records: 3,
    };
    let away = AwayJob {
        job: "run-7".into(),
        cell: "b".into(),
        incarnation: 4,
        epoch: 99,
        cancelling: true,
        heard: String::new(),
    };
    let reply = CellsReply {
        cell: "a".into(),
        incarnation: 1,
        leads: true,
        offers: false,
        others: vec![other("b", 4, 1), other("c", 0, 0)],
        away: vec![away],
    };
    let lines: Vec<String> = format_summary(&reply).lines().map(str::to_string).collect();
    assert_eq!(lines[0], "a#1: this controller leads; it offers no jobs");
    assert!(lines[1].starts_with("b: #4, heard 1.5 s ago; 1 of our jobs are away there"), "{}", lines[1]);
    assert!(lines[2].starts_with("c: not heard;"), "{}", lines[2]);
    assert_eq!(format_away_jobs(&reply), "run-7 at b#4 by transfer 99: not heard of, to be cancelled\n");
}
