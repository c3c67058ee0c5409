//! Bin packing: best fit on the dominant resource share.

use crate::Resources;
use std::cmp::{Ordering, Reverse};

/// A machine as placement, preemption and repacking see it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineSnapshot {
    /// The machine's name.
    pub name: String,
    /// Its machine type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot or preemptible instance.
    pub spot: bool,
    /// What it has.
    pub capacity: Resources,
    /// What the tasks placed on it have booked.
    pub booked: Resources,
    /// Whether new tasks may be placed on it.
    pub schedulable: bool,
}

impl MachineSnapshot {
    /// What is left: the capacity less what is booked; negative in a resource
    /// that is overbooked.
    pub fn room(&self) -> Resources {
        self.capacity - self.booked
    }

    /// The dominant share of the capacity that is booked, as a fraction.
    pub fn dominant_share(&self) -> f64 {
        self.booked.dominant_share_of(&self.capacity)
    }
}

/// What a task requires of its machine: resources, and which kinds of machine
/// are allowed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskRequirements {
    /// Resources that it books.
    pub resources: Resources,
    /// Allowed machine types; `None`: any.
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None`: any.
    pub zone: Option<String>,
    /// Whether a spot or preemptible instance will do.
    pub spot_allowed: bool,
    /// The image that the task runs, if any.
    pub image: Option<String>,
}

impl TaskRequirements {
    /// Whether a machine of this type, zone and kind is allowed at all, whatever
    /// it has free.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot_allowed || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self.machine_types.as_ref().is_none_or(|t| t.iter().any(|n| n == machine_type))
    }

    /// Whether the task is allowed on `machine` and fits into what is left there now.
    pub fn fits(&self, machine: &MachineSnapshot) -> bool {
        self.allows(&machine.machine_type, &machine.zone, machine.spot)
            && self.resources.fits(&machine.room())
    }
}

/// Steps of the share within which machines count as equally full, so that the
/// image decides between them.
const SHARE_BUCKETS: f64 = 4.0;

/// The per-machine cap of [`best_fit`]: none.
const NO_PER_MACHINE_CAP: i64 = i64::MAX;

/// Whether a machine holds an image. The greater value is the better one for
/// placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ImagePresence {
    /// No.
    No,
    /// It is being fetched.
    Fetching,
    /// Yes, or none is needed.
    Yes,
}

/// A machine that is allowed for a job, as best fit sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// What it has.
    pub capacity: Resources,
    /// What is booked on it.
    pub booked: Resources,
    /// Whether it has the job's image.
    pub image: ImagePresence,
    /// Whether it has shown itself to be slow or faulty: taken only last.
    pub unreliable: bool,
    /// For replicas: whether one of the same service is there.
    pub has_service_replica: bool,
    /// For replicas: how quickly it fetches images, the greater the faster; else 0.
    pub image_fetch_mb_per_s: u32,
}

/// How well a candidate fits. The best one is the greatest, fields compared in
/// the scores in which they stand here.
#[derive(Debug, Clone, Copy)]
struct FitScore {
    /// Not slow or faulty.
    reliable: bool,
    /// The dominant share with the task, in [`SHARE_BUCKETS`] of the machine.
    share_bucket: i64,
    /// For replicas: no other one of the service is there.
    no_service_replica: bool,
    /// Whether it has the image.
    image: ImagePresence,
    /// How quickly it would fetch it.
    image_fetch_mb_per_s: u32,
    /// The dominant share with the task.
    share: f64,
    /// The candidate; of equal ones the first is the best.
    candidate_index: Reverse<usize>,
}

impl FitScore {
    fn new(index: usize, candidate: &Candidate, required: &Resources) -> FitScore {
        let share = (candidate.booked + *required).dominant_share_of(&candidate.capacity);
        FitScore {
            reliable: !candidate.unreliable,
            share_bucket: (share * SHARE_BUCKETS) as i64,
            no_service_replica: !candidate.has_service_replica,
            image: candidate.image,
            image_fetch_mb_per_s: candidate.image_fetch_mb_per_s,
            share,
            candidate_index: Reverse(index),
        }
    }

    /// The better score is the greater.
    fn compare(&self, other: &FitScore) -> Ordering {
        let coarse = |s: &FitScore| {
            (s.reliable, s.share_bucket, s.no_service_replica, s.image, s.image_fetch_mb_per_s)
        };
        coarse(self)
            .cmp(&coarse(other))
            .then(self.share.total_cmp(&other.share))
            .then(self.candidate_index.cmp(&other.candidate_index))
    }
}

/// Best fit on the dominant share for `count` equal tasks: each goes onto the
/// machine whose share becomes the highest. Among about equally full ones, one
/// that has the image is taken, or fetches it already. Filling a machine makes
/// it fuller, so it stays the best until nothing more fits: one pass over the
/// candidates serves all tasks.
///
/// Returns `(index into candidates, number of tasks)` pairs, best machine first,
/// with no more than `count` tasks in all; fewer if room runs out, and none if
/// `count` is 0 or the task fits nowhere.
pub fn best_fit(candidates: &[Candidate], required: &Resources, count: i64) -> Vec<(usize, i64)> {
    best_fit_capped(candidates, required, count, NO_PER_MACHINE_CAP)
}

/// As [`best_fit`], with no more than `max_per_machine` tasks (and at least one)
/// on each machine, so that the loss of one machine does not take all of them.
pub fn best_fit_capped(
    candidates: &[Candidate],
    required: &Resources,
    count: i64,
    max_per_machine: i64,
) -> Vec<(usize, i64)> {
    let mut scores: Vec<FitScore> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| required.fits(&(candidate.capacity - candidate.booked)))
        .map(|(index, candidate)| FitScore::new(index, candidate, required))
        .collect();
    let best_first = |a: &FitScore, b: &FitScore| b.compare(a);
    // Only as many machines as there are tasks can be needed, so selecting the
    // best `count` spares sorting all candidates of a large fleet.
    let max_machines = usize::try_from(count.max(0)).unwrap_or(usize::MAX);
    if max_machines == 0 {
        return Vec::new();
    }
    if scores.len() > max_machines {
        scores.select_nth_unstable_by(max_machines - 1, best_first);
        scores.truncate(max_machines);
    }
    scores.sort_unstable_by(best_first);
    let mut remaining = count;
    let mut placements = Vec::new();
    for FitScore { candidate_index: Reverse(index), .. } in scores {
        if remaining <= 0 {
            break;
        }
        let candidate = &candidates[index];
        let tasks_here = required
            .copies_that_fit(&(candidate.capacity - candidate.booked))
            .min(max_per_machine)
            .clamp(1, remaining);
        placements.push((index, tasks_here));
        remaining -= tasks_here;
    }
    placements
}

#[cfg(test)]
pub(crate) mod tests;
