use super::*;

fn idle(id: &str, cpus: i64, price_per_cpu: f64, since: Instant) -> Idle {
    Idle { id: id.into(), cpus, price_per_cpu, since }
}

// At the end of a day 6,000 idle processors were kept for two boot times, though
// nothing had come for a minute (incident 2905 of mekong-cold-chain).
#[test]
fn idle_machines_beyond_what_may_come_are_surplus_the_dearest_first() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let machines = || vec![idle("a", 16, 1.0, later), idle("b", 16, 1.0, start), idle("c", 64, 3.0, later)];
    let names =
        |reserve| surplus_of(machines(), reserve).into_iter().map(|id| id.to_string()).collect::<Vec<_>>();
    assert_eq!(names(0), ["a", "b", "c"]);
    assert_eq!(names(16), ["b", "c"]);
    assert_eq!(names(20), ["c"]);
    // The dearest is needed, and the cheaper ones are not.
    assert_eq!(names(40), ["a", "b"]);
    assert!(names(96).is_empty());
}

#[test]
fn short_work_keeps_few_processors_busy_and_what_came_long_ago_none() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let (window, short, long) = (Duration::from_secs(60), Duration::from_secs(15), Duration::from_secs(600));
    let mut arrivals = Arrivals::default();
    arrivals.note(4000, long, start);
    arrivals.note(8000, short, at(50));
    assert_eq!(arrivals.keep_busy(window, at(60)), 4000 + 2000);
    assert_eq!(arrivals.keep_busy(window, at(61)), 2000);
    assert_eq!(arrivals.keep_busy(window, at(200)), 0);
}
