//! Operators' tools parse these lines, so their wording must not change unnoticed.

use super::*;
use dapplecroft_wire::peer::{ControllerCredit, TeamAdmission};

#[test]
fn summary_has_lines_for_limit_controllers_and_teams() {
    let controller = ControllerCredit {
        host: "crofter-0".into(),
        epoch: 7,
        live: false,
        credit: 40,
        stuck: 5,
        accepted: 3,
        refused: 9,
    };
    let team = TeamAdmission { team: "vision".into(), weight: 2.0, outstanding: 60, waiting: 500 };
    let reply = AdmissionReply {
        known: true,
        in_force: true,
        leads: true,
        limit: 100,
        outstanding: 60,
        jobs: 4,
        max_jobs: 20,
        credit: 40,
        controllers: vec![controller],
        teams: vec![team],
        unreadable: 0,
    };
    let text = format_summary(&reply);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "a submission needs credit; this controller leads");
    assert!(lines[1].contains("limit 100 ") && lines[1].contains("60 outstanding in 4 jobs"), "{}", lines[1]);
    assert!(
        lines[2].starts_with("controller crofter-0 (gone): epoch 7, credit 40, of which 5"),
        "{}",
        lines[2]
    );
    assert_eq!(lines[3], "team vision: weight 2, 60 outstanding, about 500 refused lately");
}
