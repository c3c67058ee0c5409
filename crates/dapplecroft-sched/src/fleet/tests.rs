use super::*;
use crate::place::tests::requirements;

fn offer(name: &str, cpus: f64, price: f64, boot_s: f64) -> MachineOffer {
    MachineOffer {
        machine_type: name.into(),
        zone: "z".into(),
        spot: false,
        capacity: Resources::new(cpus, 0.0, cpus * 4.0),
        price,
        boot_s,
    }
}

#[test]
fn booting_machines_are_filled_before_scaling_out() {
    let demands = [Demand { requirements: requirements(4.0), count: 6, prefer_fastest_boot: false }];
    let offers = [offer("small", 16.0, 1.0, 50.0), offer("big", 32.0, 2.5, 20.0)];
    let boots = |cpus: f64, count| {
        let room = Resources::new(cpus, 0.0, cpus * 4.0);
        vec![PendingCapacity { machine_type: "m".into(), zone: "z".into(), spot: false, room, count }]
    };
    let plan = plan_scale_out(&demands, boots(16.0, 1), &offers, true, 50);
    assert_eq!(plan, [ScaleOutRequest { offer: 0, count: 1 }]);
    assert!(plan_scale_out(&demands, boots(32.0, 1), &offers, true, 50).is_empty());
    assert!(plan_scale_out(&demands, boots(16.0, 2), &offers, true, 50).is_empty());
}

#[test]
fn a_thousand_machines_are_planned_by_machine_type() {
    let many = [
        Demand { requirements: requirements(4.0), count: 4001, prefer_fastest_boot: false },
        Demand { requirements: requirements(2.0), count: 2, prefer_fastest_boot: false },
    ];
    let offers = [offer("small", 16.0, 1.0, 50.0)];
    assert_eq!(
        plan_scale_out(&many, vec![], &offers, true, 5000),
        [ScaleOutRequest { offer: 0, count: 1001 }]
    );
    assert_eq!(plan_scale_out(&many, vec![], &offers, true, 70), [ScaleOutRequest { offer: 0, count: 70 }]);
}

#[test]
fn without_cost_preference_the_machine_that_boots_first_is_taken() {
    let demands = [Demand { requirements: requirements(4.0), count: 6, prefer_fastest_boot: false }];
    let offers = [offer("small", 16.0, 1.0, 50.0), offer("big", 32.0, 2.5, 20.0)];
    assert_eq!(
        plan_scale_out(&demands, vec![], &offers, false, 50),
        [ScaleOutRequest { offer: 1, count: 1 }]
    );
    let too_big = [Demand { requirements: requirements(64.0), count: 1, prefer_fastest_boot: false }];
    assert!(plan_scale_out(&too_big, vec![], &offers, false, 50).is_empty());
}
