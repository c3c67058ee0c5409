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
