//! Best fit on the dominant share.

use crate::Amounts;
use std::collections::BTreeMap;

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
    /// Images that it has or fetches; `true` once there.
    pub images: BTreeMap<String, bool>,
    /// Whether tasks may be placed on it.
    pub open: bool,
    /// Whether it has shown itself to be slow or faulty: taken only last.
    pub doubtful: bool,
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

/// The slot on which a task fits best: the one whose dominant share becomes the
/// highest. Among about equally full ones, one that has the image is taken, or
/// fetches it already. `zone_ok` tells which zones the job's other tasks allow.
pub fn best_fit(slots: &[Slot], need: &Need, zone_ok: impl Fn(&str) -> bool) -> Option<usize> {
    let mut best: Option<(usize, (bool, i64, u8, f64))> = None;
    for (index, slot) in slots.iter().enumerate() {
        if !slot.open || !need.fits(slot) || !zone_ok(&slot.zone) {
            continue;
        }
        let share = (slot.booked + need.amounts).share_of(&slot.capacity);
        let image = match need.image.as_ref().map(|i| slot.images.get(i)) {
            None | Some(Some(true)) => 2,
            Some(Some(false)) => 1,
            Some(None) => 0,
        };
        let key = (!slot.doubtful, (share * SHARE_STEPS) as i64, image, share);
        if best.as_ref().is_none_or(|(_, b)| key > *b) {
            best = Some((index, key));
        }
    }
    best.map(|(index, _)| index)
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
            images: BTreeMap::new(),
            open: true,
            doubtful: false,
        }
    }

    pub(crate) fn need(cpus: f64) -> Need {
        Need { amounts: Amounts::new(cpus, 0.0, cpus), spot: true, ..Need::default() }
    }

    #[test]
    fn the_fullest_machine_that_still_fits_is_taken() {
        let slots = [slot("a", 16.0, 0.0), slot("b", 16.0, 8.0), slot("c", 16.0, 14.0)];
        assert_eq!(best_fit(&slots, &need(4.0), |_| true), Some(1));
        assert_eq!(best_fit(&slots, &need(2.0), |_| true), Some(2));
        assert_eq!(best_fit(&slots, &need(17.0), |_| true), None);
    }

    #[test]
    fn the_image_decides_between_about_equally_full_machines() {
        let mut slots = [slot("a", 16.0, 4.5), slot("b", 16.0, 4.0)];
        slots[1].images.insert("i".into(), true);
        let mut task = need(1.0);
        task.image = Some("i".into());
        assert_eq!(best_fit(&slots, &task, |_| true), Some(1));
    }

    #[test]
    fn types_zones_and_spot_are_respected() {
        let mut spot = slot("a", 16.0, 8.0);
        spot.spot = true;
        let slots = [spot, slot("b", 16.0, 0.0)];
        let mut task = need(4.0);
        task.spot = false;
        assert_eq!(best_fit(&slots, &task, |_| true), Some(1));
        task.types = Some(vec!["other".into()]);
        assert_eq!(best_fit(&slots, &task, |_| true), None);
        assert_eq!(best_fit(&slots, &need(4.0), |_| false), None);
    }
}
