//! Choice of the cell that a job is offered to, and the order of epochs.

#![allow(clippy::unwrap_used)]

use dapplecroft_federation::summary::{JobDemand, MachinePool, PeerSummaries, Summary};
use dapplecroft_federation::{CellId, Epoch};
use dapplecroft_sched::{Resources, TaskRequirements};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SUMMARY_MAX_AGE: Duration = Duration::from_secs(6);
const REFUSAL_PAUSE: Duration = Duration::from_secs(30);
const MACHINE: Resources = Resources { cpus: 16_000, gpus: 0, memory: 64_000 };

fn summary(cell: &str, incarnation: u64, free_cpus: i64, machines: i64) -> Summary {
    let free = Resources { cpus: free_cpus * 1000, ..MACHINE };
    let pool = MachinePool {
        machine_type: "m".into(),
        zone: "z".into(),
        spot: true,
        free,
        capacity: MACHINE,
        count: machines,
    };
    Summary {
        cell: CellId::new(cell, incarnation),
        up: vec![pool],
        rentable: Vec::new(),
        backlog_cpus: 0,
        hosting_headroom_cpus: 1_000_000,
    }
}

fn demand(tasks: u32, cpus: i64) -> JobDemand {
    let resources = Resources { cpus: cpus * 1000, gpus: 0, memory: cpus * 1000 };
    JobDemand {
        requirements: TaskRequirements { resources, spot_allowed: true, ..TaskRequirements::default() },
        tasks,
    }
}

fn demand_with(change: impl FnOnce(&mut TaskRequirements)) -> JobDemand {
    let mut demand = demand(1, 1);
    change(&mut demand.requirements);
    demand
}

struct Fixture {
    summaries: PeerSummaries,
    now: Instant,
    job: Arc<str>,
}

impl Fixture {
    fn of(summaries: &[Summary]) -> Fixture {
        let now = Instant::now();
        let mut peer_summaries = PeerSummaries::default();
        summaries.iter().for_each(|summary| peer_summaries.record_summary(summary.clone(), now));
        Fixture { summaries: peer_summaries, now, job: "run-1".into() }
    }

    fn choose(&self, demand: &JobDemand, after_s: u64) -> Option<String> {
        let now = self.now + Duration::from_secs(after_s);
        self.summaries
            .choose_cell(&self.job, demand, SUMMARY_MAX_AGE, REFUSAL_PAUSE, now)
            .map(|cell| cell.name)
    }
}

// The cell whose machines become the fullest is chosen. A cell that cannot start all tasks
// at once is chosen only if no cell can.
#[test]
fn the_best_fitting_cell_is_chosen_or_else_the_one_that_starts_most_tasks() {
    let fixture =
        Fixture::of(&[summary("idle", 1, 16, 10), summary("fuller", 1, 8, 10), summary("tiny", 1, 8, 1)]);
    assert_eq!(fixture.choose(&demand(10, 8), 0).unwrap(), "fuller");
    assert_eq!(fixture.choose(&demand(20, 8), 0).unwrap(), "idle");
    assert_eq!(fixture.choose(&demand(100, 8), 0).unwrap(), "idle", "idle can start the most tasks");
    assert_eq!(fixture.choose(&demand(1, 32), 0), None, "no machine is that large");
}

#[test]
fn machines_that_the_job_does_not_allow_are_ignored() {
    let fixture = Fixture::of(&[summary("b", 1, 16, 4)]);
    assert_eq!(fixture.choose(&demand_with(|requirements| requirements.spot_allowed = false), 0), None);
    assert_eq!(fixture.choose(&demand_with(|requirements| requirements.zone = Some("y".into())), 0), None);
    assert_eq!(
        fixture.choose(&demand_with(|requirements| requirements.machine_types = Some(vec!["n".into()])), 0),
        None
    );
    assert!(
        fixture
            .choose(&demand_with(|requirements| requirements.machine_types = Some(vec!["m".into()])), 0)
            .is_some()
    );
}

#[test]
fn stale_summaries_backlogged_cells_and_recent_refusals_are_skipped() {
    let busy = Summary { backlog_cpus: 1, ..summary("busy", 1, 16, 10) };
    let full = Summary { hosting_headroom_cpus: 10, ..summary("full", 1, 16, 10) };
    let mut fixture = Fixture::of(&[busy, full, summary("b", 1, 16, 1)]);
    assert_eq!(fixture.choose(&demand(1, 1), 5).unwrap(), "b");
    assert_eq!(fixture.choose(&demand(1, 1), 6), None, "all are stale");
    fixture.summaries.record_refusal(&fixture.job, "b", fixture.now);
    assert_eq!(fixture.choose(&demand(1, 1), 1), None);
    let after_pause = fixture.now + REFUSAL_PAUSE;
    fixture.summaries.record_summary(summary("b", 1, 16, 1), after_pause);
    assert_eq!(fixture.choose(&demand(1, 1), REFUSAL_PAUSE.as_secs()).unwrap(), "b");
    fixture.summaries.expire_refusals(REFUSAL_PAUSE, after_pause);
}

// A reply of an earlier incarnation can arrive late. It must not replace the summary of the
// cell's current incarnation, even if it was requested later.
#[test]
fn a_summary_of_an_earlier_incarnation_does_not_replace_a_later_one() {
    let mut fixture = Fixture::of(&[summary("b", 2, 16, 1)]);
    fixture.summaries.record_summary(summary("b", 1, 16, 9), fixture.now + Duration::from_secs(1));
    assert_eq!(
        fixture.choose(&demand(9, 16), 1).as_deref(),
        Some("b"),
        "the cell can start one of nine tasks"
    );
    let chosen = fixture
        .summaries
        .choose_cell(&fixture.job, &demand(1, 1), SUMMARY_MAX_AGE, REFUSAL_PAUSE, fixture.now)
        .unwrap();
    assert_eq!(chosen, CellId::new("b", 2));
}

// Without deducting offers, all jobs that wait at the same time would be offered to the
// same cell, on the same free machines, until its next summary arrives.
#[test]
fn capacity_that_was_already_offered_is_not_counted_again() {
    let mut fixture = Fixture::of(&[summary("b", 1, 16, 2), summary("c", 1, 16, 3)]);
    let demand = demand(2, 16);
    let mut chosen = Vec::new();
    while let Some(cell) = fixture.choose(&demand, 0) {
        fixture.summaries.deduct_offer(&cell, &demand);
        chosen.push(cell);
        assert!(chosen.len() < 9);
    }
    assert_eq!(chosen, ["b", "c", "c"], "for the last offer, the cell can start one of two tasks");
}

#[test]
fn epochs_are_ordered_by_term_then_counter_and_reject_overflow() {
    assert!(Epoch::from_parts(1, 5).unwrap() < Epoch::from_parts(1, 6).unwrap());
    assert!(Epoch::from_parts(1, 999_999).unwrap() < Epoch::from_parts(2, 0).unwrap());
    assert_eq!(Epoch::from_parts(1, 1 << 20), None);
    assert_eq!(Epoch::from_parts(1 << 44, 0), None);
}
