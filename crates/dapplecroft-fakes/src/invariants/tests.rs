use super::*;
use tokio::time::sleep;

/// The checks at the end of a test run must report a job whose queries all failed after the
/// faults, a job that started too late or never, and a team with less than half of its jobs
/// started. They must not report a job that started and was answered in time.
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

/// A service replica that stays away after the end of the faults and a service that users
/// are told is done must be reported, and the quota check must count replicas.
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

/// A task that starts while it still runs on another machine, a team above its quota limit
/// and a task that outlives the cancellation's grace period must each be reported.
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

/// A response that says less than users had been told when the query was sent must be
/// reported. A query sent earlier may be overtaken by a newer response, and an error status
/// says nothing about the job.
#[tokio::test(start_paused = true)]
async fn a_status_that_goes_back_is_reported() {
    let checker = InvariantChecker::new(Duration::from_secs(10));
    let known_when_asked = checker.known("run-1");
    checker.heard("run-1", &known_when_asked, 201, "queued");
    // The query was sent before the job was accepted, so 404 is a correct response.
    checker.heard("run-1", &known_when_asked, 404, "");
    checker.heard("run-1", &checker.known("run-1"), 503, "");
    checker.heard("run-1", &checker.known("run-1"), 200, "running");
    assert!(checker.broken().is_empty());
    checker.heard("run-1", &checker.known("run-1"), 404, "");
    assert_eq!(checker.broken().len(), 1);
    let known_when_asked = checker.known("run-1");
    checker.heard("run-1", &known_when_asked, 200, "withdrawn");
    checker.heard("run-1", &known_when_asked, 200, "running");
    assert_eq!(checker.broken().len(), 1, "the query was sent before the job was cancelled");
    checker.heard("run-1", &checker.known("run-1"), 200, "running");
    assert_eq!(checker.broken().len(), 2);
    // Two different final stages are a violation whichever query was sent first.
    checker.heard("run-1", &known_when_asked, 200, "done");
    assert_eq!(checker.broken().len(), 3);
}

/// A job must be reported only if it waited for the whole time while a machine had room and
/// its team was below the quota limit.
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
    // run-2 waits because its team is at its quota limit, run-3 and run-4 because no
    // machine has room for them.
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

/// A task start after the cancellation was confirmed is listed as late but is not a violation
/// within the grace period, since the start command may have been in flight.
#[tokio::test(start_paused = true)]
async fn a_start_after_a_confirmed_cancellation_is_a_late_start() {
    let checker = InvariantChecker::new(Duration::from_secs(10));
    checker.started("run-1/0", 1, "m");
    checker.cancelled("run-1");
    assert!(checker.late_starts().is_empty());
    checker.started("run-1/1", 1, "m");
    assert_eq!(checker.late_starts(), ["run-1/1 starts on m"]);
    assert!(checker.broken().is_empty(), "the start command may have been in flight");
}

/// Starts that break a fixed zone, the one-zone rule or the spread over zones must each be
/// reported, and starts that comply must not.
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
