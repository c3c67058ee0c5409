use super::*;
use tokio::time::sleep;

#[tokio::test(start_paused = true)]
async fn a_broken_end_of_a_day_is_caught() {
    let referee = InvariantChecker::new(Duration::from_secs(47));
    for id in ["run-1", "run-2", "run-3", "run-4"] {
        referee.job(id, if id == "run-1" { "a" } else { "b" }, 1.0);
        referee.accepted(id);
    }
    referee.started("run-1/0", 1, "m");
    referee.cancelled("run-2");
    referee.calm();
    assert_eq!(referee.day_ends(), ["unserved: 0 of 2 jobs of b"]);
    sleep(Duration::from_secs(76)).await;
    referee.answered("run-1");
    referee.answered("run-3");
    assert_eq!(referee.day_ends()[..2], ["forgotten: run-2", "forgotten: run-4"]);
    sleep(Duration::from_secs(200)).await;
    referee.started("run-4/0", 1, "m");
    let ends = referee.day_ends();
    assert!(ends.contains(&"late: run-3 did not begin in time".to_string()), "{ends:?}");
    assert!(ends.contains(&"late: run-4 did not begin in time".to_string()), "{ends:?}");
    assert!(!ends.iter().any(|e| e.contains("run-1")), "{ends:?}");
}

#[tokio::test(start_paused = true)]
async fn a_service_that_is_lost_or_called_done_is_caught() {
    let referee = InvariantChecker::new(Duration::from_secs(10));
    referee.limit("a", 4.0);
    referee.service("run-1", "a", 2.0, 2);
    referee.told("run-1", "running", 0);
    referee.started("run-1/0", 1, "m");
    assert_eq!(referee.missing(), ["run-1/1"]);
    assert!(referee.lost(Duration::from_secs(5)).is_empty());
    referee.calm();
    sleep(Duration::from_secs(6)).await;
    assert_eq!(referee.lost(Duration::from_secs(5)), ["run-1/1"]);
    referee.started("run-1/1", 1, "m");
    assert!(referee.lost(Duration::ZERO).is_empty() && referee.broken().is_empty());
    referee.started("run-1/2", 1, "m");
    referee.told("run-1", "done", 0);
    referee.told("run-1", "running", 1);
    let broken = referee.broken().join("; ");
    assert!(broken.contains("quota") && broken.matches("not_done").count() == 2, "{broken}");
    referee.cancelled("run-1");
    assert!(referee.missing().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_broken_rule_is_caught() {
    let referee = InvariantChecker::new(Duration::from_secs(10));
    referee.limit("a", 2.0);
    referee.job("run-1", "a", 2.0);
    referee.started("run-1/0", 1, "m");
    assert!(referee.broken().is_empty());
    referee.started("run-1/0", 2, "n");
    referee.started("run-1/1", 1, "n");
    referee.cancelled("run-1");
    sleep(Duration::from_secs(11)).await;
    let broken = referee.broken().join("; ");
    for rule in ["ran_twice", "quota", "ran_cancelled"] {
        assert!(broken.contains(rule), "{rule}: {broken}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_older_answer_after_a_newer_one_is_caught() {
    let referee = InvariantChecker::new(Duration::from_secs(10));
    let asked = referee.known("run-1");
    referee.heard("run-1", &asked, 201, "queued");
    // Sent before the job was accepted, answered after: no fault.
    referee.heard("run-1", &asked, 404, "");
    referee.heard("run-1", &referee.known("run-1"), 503, "");
    referee.heard("run-1", &referee.known("run-1"), 200, "running");
    assert!(referee.broken().is_empty());
    referee.heard("run-1", &referee.known("run-1"), 404, "");
    assert_eq!(referee.broken().len(), 1);
    let asked = referee.known("run-1");
    referee.heard("run-1", &asked, 200, "withdrawn");
    referee.heard("run-1", &asked, 200, "running");
    assert_eq!(referee.broken().len(), 1, "asked before it was withdrawn");
    referee.heard("run-1", &referee.known("run-1"), 200, "running");
    assert_eq!(referee.broken().len(), 2);
    // Two final answers, whoever asked first.
    referee.heard("run-1", &asked, 200, "done");
    assert_eq!(referee.broken().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn a_job_that_waits_while_there_is_room_is_caught() {
    let referee = InvariantChecker::new(Duration::from_secs(10));
    referee.limit("a", 4.0);
    referee.machine("m", Some(8.0));
    for (id, team, cpus) in
        [("run-1", "a", 4.0), ("run-2", "a", 4.0), ("run-3", "b", 5.0), ("run-4", "b", 9.0)]
    {
        referee.job(id, team, cpus);
        referee.accepted(id);
    }
    referee.started("run-1/0", 1, "m");
    referee.calm();
    assert!(referee.neglected().is_empty());
    sleep(Duration::from_secs(91)).await;
    // run-2: its team is at its limit; run-3 and run-4: no machine has room.
    assert!(referee.neglected().is_empty());
    referee.ended("run-1/0", "m");
    assert!(referee.neglected().is_empty());
    sleep(Duration::from_secs(91)).await;
    let mut neglected = referee.neglected();
    neglected.sort();
    assert_eq!(neglected, ["run-2", "run-3"]);
    referee.cancelled("run-3");
    referee.machine("m", None);
    assert!(referee.neglected().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_start_after_a_confirmed_cancellation_is_counted() {
    let referee = InvariantChecker::new(Duration::from_secs(10));
    referee.started("run-1/0", 1, "m");
    referee.cancelled("run-1");
    assert!(referee.late_starts().is_empty());
    referee.started("run-1/1", 1, "m");
    assert_eq!(referee.late_starts(), ["run-1/1 starts on m"]);
    assert!(referee.broken().is_empty(), "it may have been on its way");
}

#[tokio::test(start_paused = true)]
async fn a_start_in_a_wrong_place_is_caught() {
    let referee = InvariantChecker::new(Duration::from_secs(10));
    for (machine, zone) in [("m", "a"), ("n", "b"), ("o", "b")] {
        referee.zone(machine, zone);
    }
    referee.bind("run-1", PlacementConstraint { zone: Some("a".into()), ..PlacementConstraint::default() });
    referee.bind("run-2", PlacementConstraint { same_place: true, ..PlacementConstraint::default() });
    referee.bind("run-3", PlacementConstraint { apart: Some(3), ..PlacementConstraint::default() });
    referee.started("run-1/0", 1, "m");
    referee.started("run-2/0", 1, "n");
    referee.started("run-2/1", 1, "o");
    referee.started("run-3/0", 1, "n");
    referee.started("run-3/1", 1, "o");
    assert!(referee.broken().is_empty());
    referee.started("run-1/1", 1, "n");
    referee.started("run-2/2", 1, "m");
    referee.started("run-3/2", 1, "n");
    let broken = referee.broken();
    assert!(broken.len() == 3 && broken.iter().all(|b| b.starts_with("wrong_place")), "{broken:?}");
}
