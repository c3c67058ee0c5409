//! Whom a job is offered to.

#![allow(clippy::unwrap_used)]

use dapplecroft_federation::summary::{Room, Summary, SummaryBook, Wish};
use dapplecroft_federation::{CellId, Epoch};
use dapplecroft_sched::{Resources, TaskRequirements};
use std::sync::Arc;
use std::time::{Duration, Instant};

const FRESH: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_secs(30);
const MACHINE: Resources = Resources { cpus: 16_000, gpus: 0, memory: 64_000 };

fn summary(cell: &str, incarnation: u64, free_cpus: i64, machines: i64) -> Summary {
    let free = Resources { cpus: free_cpus * 1000, ..MACHINE };
    let room = Room {
        machine_type: "m".into(),
        zone: "z".into(),
        spot: true,
        free,
        capacity: MACHINE,
        count: machines,
    };
    Summary {
        cell: CellId::new(cell, incarnation),
        up: vec![room],
        rentable: Vec::new(),
        backlog_cpus: 0,
        welcome_cpus: 1_000_000,
    }
}

fn wish(tasks: u32, cpus: i64) -> Wish {
    let resources = Resources { cpus: cpus * 1000, gpus: 0, memory: cpus * 1000 };
    Wish {
        requirements: TaskRequirements { resources, spot_allowed: true, ..TaskRequirements::default() },
        tasks,
    }
}

fn with(change: impl FnOnce(&mut TaskRequirements)) -> Wish {
    let mut wish = wish(1, 1);
    change(&mut wish.requirements);
    wish
}

struct Book {
    book: SummaryBook,
    now: Instant,
    job: Arc<str>,
}

impl Book {
    fn of(summaries: &[Summary]) -> Book {
        let now = Instant::now();
        let mut book = SummaryBook::default();
        summaries.iter().for_each(|s| book.note(s.clone(), now));
        Book { book, now, job: "run-1".into() }
    }

    fn choose(&self, wish: &Wish, later: u64) -> Option<String> {
        let now = self.now + Duration::from_secs(later);
        self.book.choose(&self.job, wish, FRESH, PAUSE, now).map(|cell| cell.name)
    }
}

#[test]
fn the_cell_that_becomes_the_fullest_is_chosen_and_small_rooms_only_if_no_cell_has_all() {
    let book = Book::of(&[summary("idle", 1, 16, 10), summary("fuller", 1, 8, 10), summary("tiny", 1, 8, 1)]);
    assert_eq!(book.choose(&wish(10, 8), 0).unwrap(), "fuller");
    assert_eq!(book.choose(&wish(20, 8), 0).unwrap(), "idle");
    assert_eq!(book.choose(&wish(100, 8), 0).unwrap(), "idle", "it begins most of it");
    assert_eq!(book.choose(&wish(1, 32), 0), None, "no machine is that large");
}

#[test]
fn what_a_job_does_not_allow_is_no_room() {
    let book = Book::of(&[summary("b", 1, 16, 4)]);
    assert_eq!(book.choose(&with(|requirements| requirements.spot_allowed = false), 0), None);
    assert_eq!(book.choose(&with(|requirements| requirements.zone = Some("y".into())), 0), None);
    assert_eq!(
        book.choose(&with(|requirements| requirements.machine_types = Some(vec!["n".into()])), 0),
        None
    );
    assert!(
        book.choose(&with(|requirements| requirements.machine_types = Some(vec!["m".into()])), 0).is_some()
    );
}

#[test]
fn stale_summaries_busy_cells_and_recent_refusals_are_passed_over() {
    let busy = Summary { backlog_cpus: 1, ..summary("busy", 1, 16, 10) };
    let full = Summary { welcome_cpus: 10, ..summary("full", 1, 16, 10) };
    let mut book = Book::of(&[busy, full, summary("b", 1, 16, 1)]);
    assert_eq!(book.choose(&wish(1, 1), 5).unwrap(), "b");
    assert_eq!(book.choose(&wish(1, 1), 6), None, "all are stale");
    book.book.note_refusal(&book.job, "b", book.now);
    assert_eq!(book.choose(&wish(1, 1), 1), None);
    let later = book.now + PAUSE;
    book.book.note(summary("b", 1, 16, 1), later);
    assert_eq!(book.choose(&wish(1, 1), PAUSE.as_secs()).unwrap(), "b");
    book.book.forget_refusals(PAUSE, later);
}

#[test]
fn a_summary_of_an_earlier_incarnation_does_not_replace_a_later_one() {
    let mut book = Book::of(&[summary("b", 2, 16, 1)]);
    book.book.note(summary("b", 1, 16, 9), book.now + Duration::from_secs(1));
    assert_eq!(book.choose(&wish(9, 16), 1).as_deref(), Some("b"), "it begins one of nine");
    let chosen = book.book.choose(&book.job, &wish(1, 1), FRESH, PAUSE, book.now).unwrap();
    assert_eq!(chosen, CellId::new("b", 2));
}

#[test]
fn a_burst_of_offers_is_not_all_sent_to_the_same_room() {
    let mut book = Book::of(&[summary("b", 1, 16, 2), summary("c", 1, 16, 3)]);
    let all = wish(2, 16);
    let mut chosen = Vec::new();
    while let Some(cell) = book.choose(&all, 0) {
        book.book.note_offer(&cell, &all);
        chosen.push(cell);
        assert!(chosen.len() < 9);
    }
    assert_eq!(chosen, ["b", "c", "c"], "the last one begins one of two");
}

#[test]
fn epochs_grow_with_terms_and_counters_and_have_limits() {
    assert!(Epoch::of(1, 5).unwrap() < Epoch::of(1, 6).unwrap());
    assert!(Epoch::of(1, 999_999).unwrap() < Epoch::of(2, 0).unwrap());
    assert_eq!(Epoch::of(1, 1 << 20), None);
    assert_eq!(Epoch::of(1 << 44, 0), None);
}
