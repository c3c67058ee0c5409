use super::*;

pub(crate) fn machine(name: &str, cpus: f64, booked: f64) -> MachineSnapshot {
    MachineSnapshot {
        name: name.into(),
        machine_type: "m".into(),
        zone: "z".into(),
        spot: false,
        capacity: Resources::new(cpus, 0.0, cpus * 4.0),
        booked: Resources::new(booked, 0.0, booked),
        schedulable: true,
    }
}

pub(crate) fn requirements(cpus: f64) -> TaskRequirements {
    TaskRequirements {
        resources: Resources::new(cpus, 0.0, cpus),
        spot_allowed: true,
        ..TaskRequirements::default()
    }
}

fn candidate(cpus: f64, booked: f64) -> Candidate {
    let machine = machine("c", cpus, booked);
    Candidate {
        capacity: machine.capacity,
        booked: machine.booked,
        image: ImagePresence::No,
        unreliable: false,
        has_service_replica: false,
        image_fetch_mb_per_s: 0,
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
fn image_presence_breaks_ties_but_reliability_comes_first() {
    let mut machines = [candidate(16.0, 4.5), candidate(16.0, 4.0)];
    machines[1].image = ImagePresence::Yes;
    assert_eq!(best_fit(&machines, &requirements(1.0).resources, 1), [(1, 1)]);
    machines[1].unreliable = true;
    assert_eq!(best_fit(&machines, &requirements(1.0).resources, 1), [(0, 1)]);
}

#[test]
fn types_zones_and_spot_are_respected() {
    let mut spot = machine("a", 16.0, 8.0);
    spot.spot = true;
    let mut task = requirements(4.0);
    assert!(task.fits(&spot));
    task.spot_allowed = false;
    assert!(!task.fits(&spot) && task.fits(&machine("b", 16.0, 0.0)));
    task.machine_types = Some(vec!["other".into()]);
    assert!(!task.fits(&machine("b", 16.0, 0.0)));
}
