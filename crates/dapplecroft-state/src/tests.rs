use super::*;
use dapplecroft_net::Request;

/// Answers every request with an answer that is too large to be taken.
struct OversizedResponses;

#[async_trait::async_trait]
impl Transport for OversizedResponses {
    async fn send(&self, _: Request) -> Result<Response, TransportError> {
        Err(TransportError::ResponseTooLarge)
    }
}

// Changes that gather while a process hears nothing come in one answer, whatever its
// size. Asked again from the same revision, it would have been refused for ever.
#[tokio::test]
async fn an_oversized_watch_response_requires_a_relist() {
    let client = StateClient::new(Arc::new(OversizedResponses), "10.2.0.1:2379".into(), 100.0, 10.0);
    let watched = client.watch("dc/", 7, Duration::from_secs(1)).await;
    assert_eq!(watched, Outcome::Done(WatchResult::RelistRequired));
    assert!(
        matches!(client.get("dc/leader").await, Outcome::Unknown(_)),
        "nothing is known of other requests"
    );
}
