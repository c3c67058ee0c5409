//! Bin packing of tasks onto machines: best fit by dominant resource share.

use crate::Resources;
use std::cmp::{Ordering, Reverse};

/// A machine's state at one moment, as used by preemption and repacking.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineSnapshot {
    /// Name of the machine.
    pub name: String,
    /// Name of the machine's type in the cloud's catalog.
    pub machine_type: String,
    /// Zone in which the machine runs.
    pub zone: String,
    /// Whether the machine is a spot (preemptible) instance.
    pub spot: bool,
    /// Total resources of the machine.
    pub capacity: Resources,
    /// Resources booked by the tasks that are placed on the machine.
    pub booked: Resources,
    /// Whether new tasks may be placed on the machine.
    pub schedulable: bool,
}

impl MachineSnapshot {
    /// Free resources: capacity minus booked resources. Negative in a resource that
    /// is overbooked.
    pub fn room(&self) -> Resources {
        self.capacity - self.booked
    }

    /// Dominant share of the booked resources in the machine's capacity.
    pub fn dominant_share(&self) -> f64 {
        self.booked.dominant_share_of(&self.capacity)
    }
}

/// What a task requires of its machine: resources, and constraints on the
/// machine's type, zone and kind.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskRequirements {
    /// Resources that the task books on its machine.
    pub resources: Resources,
    /// Names of the allowed machine types; `None` allows any.
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows any.
    pub zone: Option<String>,
    /// Whether the task may run on a spot (preemptible) instance.
    pub spot_allowed: bool,
    /// Name of the image that the task runs, if any.
    pub image: Option<String>,
}

impl TaskRequirements {
    /// Whether the constraints allow a machine of this type, zone and kind,
    /// regardless of its resources.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot_allowed || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self.machine_types.as_ref().is_none_or(|t| t.iter().any(|n| n == machine_type))
    }

    /// Whether the constraints allow `machine` and the task fits into its free
    /// resources.
    pub fn fits(&self, machine: &MachineSnapshot) -> bool {
        self.allows(&machine.machine_type, &machine.zone, machine.spot)
            && self.resources.fits(&machine.room())
    }
}

/// Number of equal buckets into which dominant shares are divided. Machines in
/// the same bucket count as equally full, so that the presence of the image
/// decides between them.
const SHARE_BUCKETS: f64 = 4.0;

/// Cap on tasks per machine that [`best_fit`] passes on: no cap.
const NO_PER_MACHINE_CAP: i64 = i64::MAX;

/// Whether a machine has an image locally. Greater values are better for
/// placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ImagePresence {
    /// The machine neither has the image nor fetches it.
    No,
    /// The machine is fetching the image.
    Fetching,
    /// The machine has the image, or the task needs none.
    Yes,
}

/// A machine on which a job's tasks are allowed, as input to [`best_fit`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Total resources of the machine.
    pub capacity: Resources,
    /// Resources that are booked on the machine.
    pub booked: Resources,
    /// Whether the machine has the job's image.
    pub image: ImagePresence,
    /// Whether the machine has proved slow or faulty; such machines are used last.
    pub unreliable: bool,
    /// For service replicas: whether the machine already runs a replica of the same
    /// service. False for other tasks.
    pub has_service_replica: bool,
    /// For service replicas: rate at which the machine fetches images, in megabytes
    /// per second. 0 for other tasks.
    pub image_fetch_mb_per_s: u32,
}

/// How well a candidate fits; the greatest score is the best. Fields are compared
/// in the order of their declaration.
#[derive(Debug, Clone, Copy)]
struct FitScore {
    /// Whether the machine is not known to be slow or faulty.
    reliable: bool,
    /// Bucket of `share`, see [`SHARE_BUCKETS`].
    share_bucket: i64,
    /// Whether the machine runs no replica of the same service yet.
    no_service_replica: bool,
    /// Whether the machine has the task's image.
    image: ImagePresence,
    /// Rate at which the machine fetches images; set for service replicas only.
    image_fetch_mb_per_s: u32,
    /// Dominant share of the machine's booked resources with one more task.
    share: f64,
    /// Index of the candidate; among equal candidates the first one is the best.
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

    /// Compares two scores; the better one is the greater.
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

/// Best fit by dominant share for `count` equal tasks: each task goes onto the
/// machine whose dominant share becomes the highest. Among about equally full
/// machines, one that has the image is preferred, then one that is fetching it.
/// Placing a task makes the machine fuller, so that machine stays the best until no
/// further task fits; one pass over the candidates therefore places all tasks.
///
/// Returns `(index into candidates, number of tasks)` pairs, best machine first,
/// with at most `count` tasks in total. There are fewer tasks if the candidates
/// lack room, and none if `count` is 0 or the task fits on no candidate.
pub fn best_fit(candidates: &[Candidate], required: &Resources, count: i64) -> Vec<(usize, i64)> {
    best_fit_capped(candidates, required, count, NO_PER_MACHINE_CAP)
}

/// Like [`best_fit`], with at most `max_per_machine` tasks on each machine, so that
/// the failure of one machine does not take down all of them. A cap below 1 counts
/// as 1.
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
    // Each chosen machine takes at least one task, so at most `count` machines are
    // needed. Selecting these first avoids sorting all candidates of a large fleet.
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
