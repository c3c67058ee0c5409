use super::*;
use dapplecroft_net::Request;

/// A transport on which the response to every request exceeds the size limit.
struct OversizedResponses;

#[async_trait::async_trait]
impl Transport for OversizedResponses {
    async fn send(&self, _: Request) -> Result<Response, TransportError> {
        Err(TransportError::ResponseTooLarge)
    }
}

// The changes that accumulate while a process is cut off arrive in one watch response of any size. If that
// response exceeds the limit, repeating the watch from the same revision would fail forever.
#[tokio::test]
async fn an_oversized_watch_response_requires_a_relist() {
    let client = StateClient::new(Arc::new(OversizedResponses), "10.2.0.1:2379".into(), 100.0, 10.0);
    let watched = client.watch("dc/", 7, Duration::from_secs(1)).await;
    assert_eq!(watched, Outcome::Done(WatchResult::RelistRequired));
    assert!(
        matches!(client.get("dc/leader").await, Outcome::Unknown(_)),
        "for other requests an oversized response is an unknown outcome"
    );
}
