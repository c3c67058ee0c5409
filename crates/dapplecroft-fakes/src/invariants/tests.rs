use super::*;
use tokio::time::sleep;

#[tokio::test(start_paused = true)]
async fn day_ends_reports_forgotten_late_and_unserved_jobs() {
    let checker = InvariantChecker::new(Duration::from_secs(47));
    for id in ["run-1", "run-2", "run-3", "run-4"] {
        checker.job(id, if id == "run-1" { "a" } else { "b" }, 1.0);
        checker.accepted(id);
    }
    checker.started("run-1/0", 1, "m");
    checker.cancelled("run-2");
    checker.calm();
    assert_eq!(checker.day_ends(), ["unserved: 0 of 2 jobs of b"]);
    sleep(Duration::from_secs(76)).await;
    checker.answered("run-1");
    checker.answered("run-3");
    assert_eq!(checker.day_ends()[..2], ["forgotten: run-2", "forgotten: run-4"]);
    sleep(Duration::from_secs(200)).await;
    checker.started("run-4/0", 1, "m");
    let ends = checker.day_ends();
    assert!(ends.contains(&"late: run-3 did not begin in time".to_string()), "{ends:?}");
    assert!(ends.contains(&"late: run-4 did not begin in time".to_string()), "{ends:?}");
    assert!(!ends.iter().any(|e| e.contains("run-1")), "{ends:?}");
}

#[tokio::test(start_paused = true)]
async fn missing_replicas_and_services_called_done_are_reported() {
    let checker = InvariantChecker::new(Duration::from_secs(10));
    checker.limit("a", 4.0);
    checker.service("run-1", "a", 2.0, 2);
    checker.told("run-1", "running", 0);
    checker.started("run-1/0", 1, "m");
    assert_eq!(checker.missing(), ["run-1/1"]);
    assert!(checker.lost(Duration::from_secs(5)).is_empty());
    checker.calm();
    sleep(Duration::from_secs(6)).await;
    assert_eq!(checker.lost(Duration::from_secs(5)), ["run-1/1"]);
    checker.started("run-1/1", 1, "m");
    assert!(checker.lost(Duration::ZERO).is_empty() && checker.broken().is_empty());
    checker.started("run-1/2", 1, "m");
    checker.told("run-1", "done", 0);
    checker.told("run-1", "running", 1);
    let broken = checker.broken().join("; ");
    assert!(broken.contains("quota") && broken.matches("not_done").count() == 2, "{broken}");
    checker.cancelled("run-1");
    assert!(checker.missing().is_empty());
}

#[tokio::test(start_paused = true)]
async fn double_run_quota_and_cancellation_violations_are_reported() {
    let checker = InvariantChecker::new(Duration::from_secs(10));
    checker.limit("a", 2.0);
    checker.job("run-1", "a", 2.0);
    checker.started("run-1/0", 1, "m");
    assert!(checker.broken().is_empty());
    checker.started("run-1/0", 2, "n");
    checker.started("run-1/1", 1, "n");
    checker.cancelled("run-1");
    sleep(Duration::from_secs(11)).await;
    let broken = checker.broken().join("; ");
    for violation in ["ran_twice", "quota", "ran_cancelled"] {
        assert!(broken.contains(violation), "{violation}: {broken}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_status_that_goes_back_is_reported() {
    let checker = InvariantChecker::new(Duration::from_secs(10));
    let known_when_asked = checker.known("run-1");
    checker.heard("run-1", &known_when_asked, 201, "queued");
    // Sent before the job was accepted, answered after: no fault.
    checker.heard("run-1", &known_when_asked, 404, "");
    checker.heard("run-1", &checker.known("run-1"), 503, "");
    checker.heard("run-1", &checker.known("run-1"), 200, "running");
    assert!(checker.broken().is_empty());
    checker.heard("run-1", &checker.known("run-1"), 404, "");
    assert_eq!(checker.broken().len(), 1);
    let known_when_asked = checker.known("run-1");
    checker.heard("run-1", &known_when_asked, 200, "withdrawn");
    checker.heard("run-1", &known_when_asked, 200, "running");
    assert_eq!(checker.broken().len(), 1, "asked before it was withdrawn");
    checker.heard("run-1", &checker.known("run-1"), 200, "running");
    assert_eq!(checker.broken().len(), 2);
    // Two final answers, whoever asked first.
    checker.heard("run-1", &known_when_asked, 200, "done");
    assert_eq!(checker.broken().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn a_job_that_waits_despite_free_capacity_is_reported() {
    let checker = InvariantChecker::new(Duration::from_secs(10));
    checker.limit("a", 4.0);
    checker.machine("m", Some(8.0));
    for (id, team, cpus) in
        [("run-1", "a", 4.0), ("run-2", "a", 4.0), ("run-3", "b", 5.0), ("run-4", "b", 9.0)]
    {
        checker.job(id, team, cpus);
        checker.accepted(id);
    }
    checker.started("run-1/0", 1, "m");
    checker.calm();
    assert!(checker.neglected().is_empty());
    sleep(Duration::from_secs(91)).await;
    // run-2: its team is at its limit; run-3 and run-4: no machine has room.
    assert!(checker.neglected().is_empty());
    checker.ended("run-1/0", "m");
    assert!(checker.neglected().is_empty());
    sleep(Duration::from_secs(91)).await;
    let mut neglected = checker.neglected();
    neglected.sort();
    assert_eq!(neglected, ["run-2", "run-3"]);
    checker.cancelled("run-3");
    checker.machine("m", None);
    assert!(checker.neglected().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_start_after_a_confirmed_cancellation_is_a_late_start() {
    let checker = InvariantChecker::new(Duration::from_secs(10));
    checker.started("run-1/0", 1, "m");
    checker.cancelled("run-1");
    assert!(checker.late_starts().is_empty());
    checker.started("run-1/1", 1, "m");
    assert_eq!(checker.late_starts(), ["run-1/1 starts on m"]);
    assert!(checker.broken().is_empty(), "it may have been on its way");
}

#[tokio::test(start_paused = true)]
async fn a_start_that_violates_a_placement_constraint_is_reported() {
    let checker = InvariantChecker::new(Duration::from_secs(10));
    for (machine, zone) in [("m", "a"), ("n", "b"), ("o", "b")] {
        checker.zone(machine, zone);
    }
    checker.bind("run-1", PlacementConstraint { zone: Some("a".into()), ..PlacementConstraint::default() });
    checker.bind("run-2", PlacementConstraint { same_place: true, ..PlacementConstraint::default() });
    checker.bind("run-3", PlacementConstraint { apart: Some(3), ..PlacementConstraint::default() });
    checker.started("run-1/0", 1, "m");
    checker.started("run-2/0", 1, "n");
    checker.started("run-2/1", 1, "o");
    checker.started("run-3/0", 1, "n");
    checker.started("run-3/1", 1, "o");
    assert!(checker.broken().is_empty());
    checker.started("run-1/1", 1, "n");
    checker.started("run-2/2", 1, "m");
    checker.started("run-3/2", 1, "n");
    let broken = checker.broken();
    assert!(broken.len() == 3 && broken.iter().all(|b| b.starts_with("wrong_place")), "{broken:?}");
}
