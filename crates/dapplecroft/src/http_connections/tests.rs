use super::*;
use std::sync::atomic::AtomicUsize;

#[tokio::test]
async fn other_ready_tasks_run_between_rounds_of_connection_reads() {
    let throttle = Arc::new(ReadThrottle::default());
    let served = Arc::new(AtomicUsize::new(0));
    for _ in 0..500 {
        let (throttle, served) = (throttle.clone(), served.clone());
        tokio::spawn(async move {
            let turn = Arc::default();
            std::future::poll_fn(|cx| throttle.poll_turn(cx, &turn)).await;
            served.fetch_add(1, Ordering::Relaxed);
        });
    }
    let rounds = throttle.clone();
    tokio::spawn(async move { rounds.run().await });
    // What a renewal of a lease needs: a few steps, each behind what was
    // ready before it. In each step, not all of the five hundred go.
    tokio::task::yield_now().await;
    let mut before = served.load(Ordering::Relaxed);
    let mut steps = 0;
    while before < 500 {
        tokio::task::yield_now().await;
        let after = served.load(Ordering::Relaxed);
        assert!(after - before <= 2 * TURNS_PER_ROUND, "{} at one step", after - before);
        before = after;
        steps += 1;
        assert!(steps < 500, "nobody waits for ever");
    }
}
