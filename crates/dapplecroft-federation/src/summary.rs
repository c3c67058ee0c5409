//! What cells tell of their free room, and the choice of a cell for a job.
//!
//! A summary is a hint: nothing that must hold rests on it. A wrong one costs a refused
//! offer, which costs each side a change of its state service.

use crate::messages::CellId;
use dapplecroft_sched::{Resources, TaskRequirements};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Equal machines of a cell with equal room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Room {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// What is free on each.
    pub free: Resources,
    /// What each has.
    pub capacity: Resources,
    /// How many there are.
    pub count: i64,
}

/// What a cell's leader tells of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The cell.
    pub cell: CellId,
    /// Machines that are up and take work.
    pub up: Vec<Room>,
    /// Kinds of machine that could still be rented, as far as is known.
    pub rentable: Vec<Room>,
    /// CPUs of tasks that wait there for room, in thousandths.
    pub backlog_cpus: i64,
    /// CPUs that it would still take of other cells' jobs, in thousandths.
    pub welcome_cpus: i64,
}

/// What a job asks for, as far as the choice of a cell goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Wish {
    /// What each task needs.
    pub requirements: TaskRequirements,
    /// How many tasks there are.
    pub tasks: u32,
}

impl Wish {
    fn allows(&self, room: &Room) -> bool {
        self.requirements.allows(&room.machine_type, &room.zone, room.spot)
    }

    fn tasks_in(&self, rooms: &[Room]) -> i64 {
        let allowed = rooms.iter().filter(|room| self.allows(room));
        allowed.map(|room| self.requirements.resources.copies_that_fit(&room.free) * room.count).sum()
    }

    fn all(&self) -> Resources {
        self.requirements.resources.times(i64::from(self.tasks))
    }
}

/// How well a cell fits a job; the greatest is the best.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Fit {
    /// Whether all tasks can begin at once.
    whole: bool,
    /// Best fit on the dominant share: how full the machines that are up and may be
    /// used become. Where not all tasks begin at once, how many do.
    fullness: f64,
}

/// What is known of other cells.
#[derive(Debug, Default)]
pub struct SummaryBook {
    summaries: BTreeMap<String, (Summary, Instant)>,
    /// When each cell last refused which job.
    refusals: HashMap<(Arc<str>, String), Instant>,
}

impl SummaryBook {
    /// Takes note of a summary. It counts from when it was *asked* for.
    pub fn note(&mut self, summary: Summary, asked: Instant) {
        let known = self.summaries.get(&summary.cell.name);
        let older =
            known.is_some_and(|(old, at)| (old.cell.incarnation, *at) > (summary.cell.incarnation, asked));
        if !older {
            self.summaries.insert(summary.cell.name.clone(), (summary, asked));
        }
    }

    /// A cell as it last told of itself, and how long ago it was asked for that.
    pub fn heard(&self, cell: &str, now: Instant) -> Option<(&CellId, Duration)> {
        let (summary, asked) = self.summaries.get(cell)?;
        Some((&summary.cell, now.saturating_duration_since(*asked)))
    }

    /// Takes note that a cell has refused a job.
    pub fn note_refusal(&mut self, job: &Arc<str>, cell: &str, now: Instant) {
        self.refusals.insert((job.clone(), cell.to_string()), now);
    }

    /// Forgets refusals that count no more.
    pub fn forget_refusals(&mut self, pause: Duration, now: Instant) {
        self.refusals.retain(|_, at| now.saturating_duration_since(*at) < pause);
    }

    /// Takes off what has been offered to a cell since its summary: it does not know of
    /// it yet.
    pub fn note_offer(&mut self, cell: &str, wish: &Wish) {
        let Some((summary, _)) = self.summaries.get_mut(cell) else { return };
        summary.welcome_cpus -= wish.all().cpus;
        let mut left = i64::from(wish.tasks);
        let mut split = Vec::new();
        for room in summary.up.iter_mut().filter(|room| wish.allows(room)) {
            let each = wish.requirements.resources.copies_that_fit(&room.free);
            if each == 0 || left <= 0 {
                continue;
            }
            let machines = ((left + each - 1) / each).min(room.count);
            room.count -= machines;
            left -= machines * each;
            split.push(Room { free: Resources::default(), count: machines, ..room.clone() });
        }
        summary.up.extend(split);
    }

    /// The cell that a job is best offered to, if any: among those that have told of
    /// themselves within `fresh` and have not refused it within `pause`, the one that can
    /// begin all of it and becomes the fullest by it; else the one that can begin most.
    pub fn choose(
        &self,
        job: &Arc<str>,
        wish: &Wish,
        fresh: Duration,
        pause: Duration,
        now: Instant,
    ) -> Option<CellId> {
        let recent = |at: &Instant, within| now.saturating_duration_since(*at) < within;
        let refused = |cell: &str| {
            let at = self.refusals.get(&(job.clone(), cell.to_string()));
            at.is_some_and(|at| recent(at, pause))
        };
        let fits = self
            .summaries
            .values()
            .filter(|(summary, asked)| recent(asked, fresh) && !refused(&summary.cell.name))
            .filter_map(|(summary, _)| Some((fit(summary, wish)?, &summary.cell)));
        let best = fits.max_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
        best.map(|(_, cell)| cell.clone())
    }
}

/// How well a cell fits a job; `None`: it has no room, or work of its own that waits.
fn fit(summary: &Summary, wish: &Wish) -> Option<Fit> {
    if summary.backlog_cpus > 0 || summary.welcome_cpus < wish.all().cpus {
        return None;
    }
    let tasks = i64::from(wish.tasks);
    let begins = wish.tasks_in(&summary.up).min(tasks);
    if begins == 0 && wish.tasks_in(&summary.rentable) == 0 {
        return None;
    }
    if begins < tasks {
        return Some(Fit { whole: false, fullness: begins as f64 / tasks as f64 });
    }
    let mut capacity = Resources::default();
    let mut booked = wish.all();
    for room in summary.up.iter().filter(|room| wish.allows(room)) {
        capacity += room.capacity.times(room.count);
        booked += (room.capacity - room.free).times(room.count);
    }
    Some(Fit { whole: true, fullness: booked.dominant_share_of(&capacity) })
}
