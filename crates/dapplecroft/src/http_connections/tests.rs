use super::*;
use std::sync::atomic::AtomicUsize;

/// If all waiting connections were read as soon as they are ready, a lease renewal would wait behind all of
/// them at each of its steps. So with 500 waiting, each step of another task may see only a few rounds' turns
/// granted, and yet all 500 must get theirs.
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
    // Each `yield_now` stands for one step of a lease renewal: it resumes after the tasks that were ready
    // before it have run.
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
