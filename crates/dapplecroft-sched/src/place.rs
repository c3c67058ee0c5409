//! Best fit on the dominant share.

use crate::Amounts;
use std::cmp::Reverse;

/// A machine as placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Slot {
    /// The machine's name.
    pub machine: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// What it has.
    pub capacity: Amounts,
    /// What is booked on it.
    pub booked: Amounts,
    /// Whether tasks may be placed on it.
    pub open: bool,
}

impl Slot {
    /// What is left.
    pub fn room(&self) -> Amounts {
        self.capacity - self.booked
    }

    /// The dominant booked share.
    pub fn share(&self) -> f64 {
        self.booked.share_of(&self.capacity)
    }
}

/// What a task needs of its machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Need {
    /// Resources.
    pub amounts: Amounts,
    /// Allowed machine types.
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// Whether a spot machine will do.
    pub spot: bool,
    /// Image.
    pub image: Option<String>,
}

impl Need {
    /// Whether the kind of machine is allowed at all.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self.types.as_ref().is_none_or(|t| t.iter().any(|n| n == machine_type))
    }

    /// Whether a task fits on a slot now.
    pub fn fits(&self, slot: &Slot) -> bool {
        self.allows(&slot.machine_type, &slot.zone, slot.spot) && self.amounts.fits(&slot.room())
    }
}

/// Steps of the share within which machines count as equally full, so that the
/// image decides between them.
const SHARE_STEPS: f64 = 4.0;

/// Whether a machine has an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HasImage {
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
    pub capacity: Amounts,
    /// What is booked on it.
    pub booked: Amounts,
    /// Whether it has the job's image.
    pub image: HasImage,
    /// Whether it has shown itself to be slow or faulty: taken only last.
    pub doubtful: bool,
    /// For replicas: whether one of the same service is there.
    pub sibling: bool,
    /// For replicas: how quickly it fetches images; else 0.
    pub fetch: u32,
}

/// What is compared: not doubtful, the step of the share, no sibling, the image
/// and how quickly it would be there, the share, the first.
type Fit = (bool, i64, (bool, HasImage, u32), f64, Reverse<usize>);

/// Best fit on the dominant share for `count` equal tasks: each goes onto the
/// machine whose share becomes the highest. Among about equally full ones, one
/// that has the image is taken, or fetches it already. Filling a machine makes
/// it fuller, so it stays the best until nothing more fits: one pass over the
/// candidates serves all tasks. Returns candidates with numbers of tasks.
pub fn best_fit(candidates: &[Candidate], need: &Amounts, count: i64) -> Vec<(usize, i64)> {
    best_fit_of(candidates, need, count, i64::MAX)
}

/// The same with no more than so many tasks on each machine, for what should
/// not all be lost with one.
pub fn best_fit_of(candidates: &[Candidate], need: &Amounts, count: i64, each: i64) -> Vec<(usize, i64)> {
    let mut order: Vec<Fit> = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| need.fits(&(c.capacity - c.booked)))
        .map(|(index, c)| {
            let share = (c.booked + *need).share_of(&c.capacity);
            let tie = (!c.sibling, c.image, c.fetch);
            (!c.doubtful, (share * SHARE_STEPS) as i64, tie, share, Reverse(index))
        })
        .collect();
    let better = |a: &Fit, b: &Fit| {
        (b.0, b.1, b.2).cmp(&(a.0, a.1, a.2)).then(b.3.total_cmp(&a.3)).then(b.4.cmp(&a.4))
    };
    // Only as many machines as there are tasks can be needed.
    let most = usize::try_from(count.max(0)).unwrap_or(usize::MAX);
    if most == 0 {
        return Vec::new();
    }
    if order.len() > most {
        order.select_nth_unstable_by(most - 1, better);
        order.truncate(most);
    }
    order.sort_unstable_by(better);
    let mut left = count;
    let mut chosen = Vec::new();
    for (_, _, _, _, Reverse(index)) in order {
        if left <= 0 {
            break;
        }
        let c = &candidates[index];
        let n = need.times_in(&(c.capacity - c.booked)).min(each).clamp(1, left);
        chosen.push((index, n));
        left -= n;
    }
    chosen
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub(crate) fn slot(name: &str, cpus: f64, booked: f64) -> Slot {
        Slot {
            machine: name.into(),
            machine_type: "m".into(),
            zone: "z".into(),
            spot: false,
            capacity: Amounts::new(cpus, 0.0, cpus * 4.0),
            booked: Amounts::new(booked, 0.0, booked),
            open: true,
        }
    }

    pub(crate) fn need(cpus: f64) -> Need {
        Need { amounts: Amounts::new(cpus, 0.0, cpus), spot: true, ..Need::default() }
    }

    fn candidate(cpus: f64, booked: f64) -> Candidate {
        let slot = slot("c", cpus, booked);
        Candidate {
            capacity: slot.capacity,
            booked: slot.booked,
            image: HasImage::No,
            doubtful: false,
            sibling: false,
            fetch: 0,
        }
    }

    #[test]
    fn the_fullest_machine_that_still_fits_is_filled_first() {
        let machines = [candidate(16.0, 0.0), candidate(16.0, 8.0), candidate(16.0, 14.0)];
        assert_eq!(best_fit(&machines, &need(4.0).amounts, 1), [(1, 1)]);
        assert_eq!(best_fit(&machines, &need(2.0).amounts, 1), [(2, 1)]);
        assert_eq!(best_fit(&machines, &need(4.0).amounts, 5), [(1, 2), (0, 3)]);
        assert!(best_fit(&machines, &need(17.0).amounts, 1).is_empty());
        assert!(best_fit(&machines, &need(4.0).amounts, 0).is_empty());
    }

    #[test]
    fn the_image_decides_between_about_equally_full_machines_and_doubt_before_all() {
        let mut machines = [candidate(16.0, 4.5), candidate(16.0, 4.0)];
        machines[1].image = HasImage::Yes;
        assert_eq!(best_fit(&machines, &need(1.0).amounts, 1), [(1, 1)]);
        machines[1].doubtful = true;
        assert_eq!(best_fit(&machines, &need(1.0).amounts, 1), [(0, 1)]);
    }

    #[test]
    fn types_zones_and_spot_are_respected() {
        let mut spot = slot("a", 16.0, 8.0);
        spot.spot = true;
        let mut task = need(4.0);
        assert!(task.fits(&spot));
        task.spot = false;
        assert!(!task.fits(&spot) && task.fits(&slot("b", 16.0, 0.0)));
        task.types = Some(vec!["other".into()]);
        assert!(!task.fits(&slot("b", 16.0, 0.0)));
    }
}
