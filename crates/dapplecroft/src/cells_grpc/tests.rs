use super::*;

/// The caller treats each error differently. If two of them were sent as the same status, it could not tell,
/// for example, an outdated incarnation from a wrong cell.
#[test]
fn exchange_errors_survive_the_conversion_to_a_grpc_status_and_back() {
    for error in [
        ExchangeError::Unreachable,
        ExchangeError::NotLeader,
        ExchangeError::UnsupportedVersion,
        ExchangeError::UnknownSender,
        ExchangeError::WrongReceiver,
        ExchangeError::OutdatedSender,
        ExchangeError::Busy,
    ] {
        assert_eq!(from_status(&to_status(&error)), error);
    }
    let malformed = from_status(&to_status(&ExchangeError::Malformed("no cell".into())));
    assert!(matches!(malformed, ExchangeError::Malformed(_)));
}

/// Only a cell's leader answers exchanges, so trying the endpoints in a fixed order would waste requests on
/// the others every time.
#[test]
fn endpoint_that_last_answered_as_leader_is_tried_first() {
    let endpoints: Vec<SocketAddr> =
        ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"].iter().map(|text| text.parse().unwrap()).collect();
    let peer = PeerCell { name: "b".into(), endpoints: endpoints.clone(), networks: Vec::new() };
    let cells = GrpcCells::default();
    assert_eq!(cells.endpoints(&peer), endpoints);
    cells.remember_leader(&peer, endpoints[2]);
    assert_eq!(cells.endpoints(&peer)[0], endpoints[2]);
}
