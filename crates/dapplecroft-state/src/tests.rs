use super::*;
use dapplecroft_net::Request;

/// Answers every request with an answer that is too large to be taken.
struct Flood;

#[async_trait::async_trait]
impl Transport for Flood {
    async fn send(&self, _: Request) -> Result<Response, Failure> {
        Err(Failure::TooLarge)
    }
}

// Changes that gather while a process hears nothing come in one answer, whatever its
// size. Asked again from the same revision, it would have been refused for ever.
#[tokio::test]
async fn a_watch_with_too_much_to_tell_has_the_keys_read_again() {
    let client = StateClient::new(Arc::new(Flood), "10.2.0.1:2379".into(), 100.0, 10.0);
    let watched = client.follow("dc/", 7, Duration::from_secs(1)).await;
    assert_eq!(watched, Outcome::Done(Watched::TooOld));
    assert!(
        matches!(client.get("dc/leader").await, Outcome::Unknown(_)),
        "nothing is known of other requests"
    );
}
