use super::*;

fn idle(id: &str, cpus: i64, price_per_cpu: f64, since: Instant) -> IdleMachine {
    IdleMachine { id: id.into(), cpus, price_per_cpu, since }
}

// Guards against keeping idle machines that no work is expected for: when submissions
// ended for the day, 6,000 idle CPUs were kept for two boot times although no job had
// arrived for a minute.
#[test]
fn idle_machines_beyond_the_reserve_are_surplus_most_expensive_first() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let machines = || vec![idle("a", 16, 1.0, later), idle("b", 16, 1.0, start), idle("c", 64, 3.0, later)];
    let names = |reserve| {
        select_surplus(machines(), reserve).into_iter().map(|id| id.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(names(0), ["a", "b", "c"]);
    assert_eq!(names(16), ["b", "c"]);
    assert_eq!(names(20), ["c"]);
    // Without the most expensive machine less than the reserve would be left; without
    // both cheaper ones it is still covered.
    assert_eq!(names(40), ["a", "b"]);
    assert!(names(96).is_empty());
}

#[test]
fn short_jobs_count_for_their_run_time_and_old_arrivals_not_at_all() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let (window, short, long) = (Duration::from_secs(60), Duration::from_secs(15), Duration::from_secs(600));
    let mut arrivals = RecentArrivals::default();
    arrivals.record(4000, long, start);
    arrivals.record(8000, short, at(50));
    assert_eq!(arrivals.average_busy_cpus(window, at(60)), 4000 + 2000);
    assert_eq!(arrivals.average_busy_cpus(window, at(61)), 2000);
    assert_eq!(arrivals.average_busy_cpus(window, at(200)), 0);
}
