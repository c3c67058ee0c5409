use super::*;

#[test]
fn inbound_connections_are_shed_before_the_socket_limit() {
    // As many workers as may ever be, at the smallest limit of a site.
    let sockets = SocketLimiter::new(2500);
    let workers: Vec<SocketPermit> = (0..1850).map(|_| sockets.try_accept().unwrap()).collect();
    assert!(!sockets.inbound_scarce(), "workers can stay connected");
    assert!(sockets.outbound_scarce(), "and commands leave no idle connections");
    let mut users: Vec<SocketPermit> = std::iter::from_fn(|| sockets.try_accept()).take(5000).collect();
    let all = workers.len() + users.len() + sockets.max_worker_requests() + RESERVED_SOCKETS;
    assert!(users.len() > 200 && sockets.inbound_scarce() && all <= 2500, "{all}");
    assert_eq!(sockets.take_shed_count(), 1);
    users.pop();
    assert!(sockets.try_accept().is_some(), "what ends makes room");
    drop((workers, users));
    assert_eq!(sockets.open_count(), 0);
}

// Five controllers with 1,000 sockets each; four have ended, and the workers of half
// as many machines again as the site has report to the one that is left, with users.
#[test]
fn sockets_stay_free_for_lease_renewals_and_worker_requests() {
    let sockets = SocketLimiter::new(1000);
    let workers: Vec<SocketPermit> = (0..480).map_while(|_| sockets.try_accept()).collect();
    assert_eq!(workers.len(), 480, "every worker is answered");
    let users: Vec<SocketPermit> = std::iter::from_fn(|| sockets.try_accept()).take(5000).collect();
    assert!(users.len() < 5000 && sockets.take_shed_count() > 0, "the others are turned away");
    assert!(sockets.inbound_scarce() && sockets.outbound_scarce(), "no connection idles");
    let left = 1000 - sockets.open_count();
    assert!(left >= sockets.max_worker_requests() + RESERVED_SOCKETS, "{left}");
    // A connection that ends with its answer makes room for the next report.
    drop(users);
    assert!(sockets.try_accept().is_some());
}

// Two of three controllers have ended, and 4,000 workers report to the one that is
// left, which has fewer sockets than that: each has its turn between two reports.
#[test]
fn more_workers_than_sockets_are_answered_within_two_reports() {
    let sockets = SocketLimiter::new(3000);
    let (mut waiting, mut answered) = (4000, 0);
    let mut rounds = 0;
    while waiting > 0 {
        let connected: Vec<SocketPermit> = (0..waiting).map_while(|_| sockets.try_accept()).collect();
        assert!(sockets.inbound_scarce() || connected.len() == waiting, "connections end with their answers");
        waiting -= connected.len();
        answered += connected.len();
        rounds += 1;
    }
    assert_eq!((answered, rounds), (4000, 2), "within two reports");
    assert!(sockets.take_shed_count() > 0);
}
