use super::*;

#[test]
fn a_node_that_serves_all_workers_sheds_before_its_limit() {
    // As many workers as may ever be, at the smallest limit of a site.
    let sockets = Sockets::new(2500);
    let workers: Vec<Socket> = (0..1850).map(|_| sockets.open().unwrap()).collect();
    assert!(!sockets.scarce(), "workers can stay connected");
    assert!(sockets.scarce_out(), "and commands leave no idle connections");
    let mut users: Vec<Socket> = std::iter::from_fn(|| sockets.open()).take(5000).collect();
    let all = workers.len() + users.len() + sockets.most_out() + KEPT;
    assert!(users.len() > 200 && sockets.scarce() && all <= 2500, "{all}");
    assert_eq!(sockets.take_shed(), 1);
    users.pop();
    assert!(sockets.open().is_some(), "what ends makes room");
    drop((workers, users));
    assert_eq!(sockets.count(), 0);
}

// Five controllers with 1,000 sockets each; four have ended, and the workers of half
// as many machines again as the site has report to the one that is left, with users.
#[test]
fn at_the_limit_there_is_room_left_for_renewals_and_for_requests_to_workers() {
    let sockets = Sockets::new(1000);
    let workers: Vec<Socket> = (0..480).map_while(|_| sockets.open()).collect();
    assert_eq!(workers.len(), 480, "every worker is answered");
    let users: Vec<Socket> = std::iter::from_fn(|| sockets.open()).take(5000).collect();
    assert!(users.len() < 5000 && sockets.take_shed() > 0, "the others are turned away");
    assert!(sockets.scarce() && sockets.scarce_out(), "no connection idles");
    let left = 1000 - sockets.count();
    assert!(left >= sockets.most_out() + KEPT, "{left}");
    // A connection that ends with its answer makes room for the next report.
    drop(users);
    assert!(sockets.open().is_some());
}

// Two of three controllers have ended, and 4,000 workers report to the one that is
// left, which has fewer sockets than that: each has its turn between two reports.
#[test]
fn more_workers_than_sockets_are_answered_in_turn() {
    let sockets = Sockets::new(3000);
    let (mut waiting, mut answered) = (4000, 0);
    let mut rounds = 0;
    while waiting > 0 {
        let connected: Vec<Socket> = (0..waiting).map_while(|_| sockets.open()).collect();
        assert!(sockets.scarce() || connected.len() == waiting, "connections end with their answers");
        waiting -= connected.len();
        answered += connected.len();
        rounds += 1;
    }
    assert_eq!((answered, rounds), (4000, 2), "within two reports");
    assert!(sockets.take_shed() > 0);
}
