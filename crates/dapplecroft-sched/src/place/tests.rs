use super::*;

pub(crate) fn slot(name: &str, cpus: f64, booked: f64) -> Slot {
    Slot {
        machine: name.into(),
        machine_type: "m".into(),
        zone: "z".into(),
        spot: false,
        capacity: Resources::new(cpus, 0.0, cpus * 4.0),
        booked: Resources::new(booked, 0.0, booked),
        open: true,
    }
}

pub(crate) fn requirements(cpus: f64) -> TaskRequirements {
    TaskRequirements { resources: Resources::new(cpus, 0.0, cpus), spot: true, ..TaskRequirements::default() }
}

fn candidate(cpus: f64, booked: f64) -> Candidate {
    let slot = slot("c", cpus, booked);
    Candidate {
        capacity: slot.capacity,
        booked: slot.booked,
        image: ImagePresence::No,
        doubtful: false,
        sibling: false,
        fetch: 0,
    }
}

#[test]
fn the_fullest_machine_that_still_fits_is_filled_first() {
    let machines = [candidate(16.0, 0.0), candidate(16.0, 8.0), candidate(16.0, 14.0)];
    assert_eq!(best_fit(&machines, &requirements(4.0).resources, 1), [(1, 1)]);
    assert_eq!(best_fit(&machines, &requirements(2.0).resources, 1), [(2, 1)]);
    assert_eq!(best_fit(&machines, &requirements(4.0).resources, 5), [(1, 2), (0, 3)]);
    assert!(best_fit(&machines, &requirements(17.0).resources, 1).is_empty());
    assert!(best_fit(&machines, &requirements(4.0).resources, 0).is_empty());
}

#[test]
fn the_image_decides_between_about_equally_full_machines_and_doubt_before_all() {
    let mut machines = [candidate(16.0, 4.5), candidate(16.0, 4.0)];
    machines[1].image = ImagePresence::Yes;
    assert_eq!(best_fit(&machines, &requirements(1.0).resources, 1), [(1, 1)]);
    machines[1].doubtful = true;
    assert_eq!(best_fit(&machines, &requirements(1.0).resources, 1), [(0, 1)]);
}

#[test]
fn types_zones_and_spot_are_respected() {
    let mut spot = slot("a", 16.0, 8.0);
    spot.spot = true;
    let mut task = requirements(4.0);
    assert!(task.fits(&spot));
    task.spot = false;
    assert!(!task.fits(&spot) && task.fits(&slot("b", 16.0, 0.0)));
    task.types = Some(vec!["other".into()]);
    assert!(!task.fits(&slot("b", 16.0, 0.0)));
}
