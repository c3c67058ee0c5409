use super::*;

// A single node serves the whole fleet: inbound connections, requests to workers and the reserved sockets
// together must stay within the process's socket limit.
#[test]
fn inbound_connections_are_shed_before_the_socket_limit() {
    // The largest fleet, with the smallest socket limit of any site.
    let sockets = SocketLimiter::new(2500);
    let workers: Vec<SocketPermit> = (0..1850).map(|_| sockets.try_accept().unwrap()).collect();
    assert!(!sockets.inbound_scarce(), "workers' connections stay open between heartbeats");
    assert!(sockets.outbound_scarce(), "connections to workers are closed after each command");
    let mut users: Vec<SocketPermit> = std::iter::from_fn(|| sockets.try_accept()).take(5000).collect();
    let all = workers.len() + users.len() + sockets.max_worker_requests() + RESERVED_SOCKETS;
    assert!(users.len() > 200 && sockets.inbound_scarce() && all <= 2500, "{all}");
    assert_eq!(sockets.take_shed_count(), 1);
    users.pop();
    assert!(sockets.try_accept().is_some(), "a closed connection frees its socket");
    drop((workers, users));
    assert_eq!(sockets.open_count(), 0);
}

// Guards against a node at its socket limit that can no longer renew leases or send commands. Four of five
// controllers with 1,000 sockets each have stopped; users and 480 workers (1.5 times the site's machines)
// connect to the remaining one.
#[test]
fn sockets_stay_free_for_lease_renewals_and_worker_requests() {
    let sockets = SocketLimiter::new(1000);
    let workers: Vec<SocketPermit> = (0..480).map_while(|_| sockets.try_accept()).collect();
    assert_eq!(workers.len(), 480, "every worker can connect");
    let users: Vec<SocketPermit> = std::iter::from_fn(|| sockets.try_accept()).take(5000).collect();
    assert!(users.len() < 5000 && sockets.take_shed_count() > 0, "further connections are shed");
    assert!(
        sockets.inbound_scarce() && sockets.outbound_scarce(),
        "connections are closed after each response"
    );
    let left = 1000 - sockets.open_count();
    assert!(left >= sockets.max_worker_requests() + RESERVED_SOCKETS, "{left}");
    // A connection that is closed after its response frees a socket for the next heartbeat.
    drop(users);
    assert!(sockets.try_accept().is_some());
}

// Two of three controllers have stopped, and 4,000 workers report to the remaining one, which has only 3,000
// sockets. Closing connections after each response lets every worker connect within two heartbeat intervals.
#[test]
fn more_workers_than_sockets_are_answered_within_two_reports() {
    let sockets = SocketLimiter::new(3000);
    let (mut waiting, mut answered) = (4000, 0);
    let mut rounds = 0;
    while waiting > 0 {
        let connected: Vec<SocketPermit> = (0..waiting).map_while(|_| sockets.try_accept()).collect();
        assert!(
            sockets.inbound_scarce() || connected.len() == waiting,
            "connections are closed after each response"
        );
        waiting -= connected.len();
        answered += connected.len();
        rounds += 1;
    }
    assert_eq!((answered, rounds), (4000, 2), "within two heartbeat intervals");
    assert!(sockets.take_shed_count() > 0);
}
