use super::*;
use std::sync::atomic::AtomicUsize;

#[tokio::test]
async fn what_else_is_ready_goes_between_rounds_however_many_wait() {
    let gate = Arc::new(Gate::default());
    let served = Arc::new(AtomicUsize::new(0));
    for _ in 0..500 {
        let (gate, served) = (gate.clone(), served.clone());
        tokio::spawn(async move {
            let turn = Arc::default();
            std::future::poll_fn(|cx| gate.poll_turn(cx, &turn)).await;
            served.fetch_add(1, Ordering::Relaxed);
        });
    }
    let rounds = gate.clone();
    tokio::spawn(async move { rounds.run().await });
    // What a renewal of a lease needs: a few steps, each behind what was
    // ready before it. In each step, not all of the five hundred go.
    tokio::task::yield_now().await;
    let mut before = served.load(Ordering::Relaxed);
    let mut steps = 0;
    while before < 500 {
        tokio::task::yield_now().await;
        let after = served.load(Ordering::Relaxed);
        assert!(after - before <= 2 * ROUND, "{} at one step", after - before);
        before = after;
        steps += 1;
        assert!(steps < 500, "nobody waits for ever");
    }
}
