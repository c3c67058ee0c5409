//! The service has run for two days. All controllers crash, and come back.

use crate::users::Balancer;
use crate::world::{Layout, Record, StateLimits, World, host, job};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

const CONTROLLERS: usize = 5;
/// Memory of a controller; one that holds more is killed and started again.
const MEMORY_MB: f64 = 72.0;
/// When a controller that has ended is started again.
const BACK_AFTER: Duration = Duration::from_secs(8);
/// Jobs finished in 50.5 hours at 26.4 a minute.
const FINISHED: u64 = 80_000;
/// After the troubles, a job about which no question is answered for so long counts as forgotten.
const FORGOTTEN: Duration = Duration::from_secs(75);
/// Some of the finished jobs, and one that runs.
const ASKED: [&str; 4] = ["run-000001", "run-000002", "run-100000", "run-179999"];

/// The platform: starts controllers again after their end, and ends those that hold too much memory.
async fn platform(world: Arc<World>, ends: Arc<AtomicUsize>, highest: Arc<Mutex<BTreeMap<usize, f64>>>) {
    let mut back: BTreeMap<usize, Instant> = BTreeMap::new();
    loop {
        sleep(Duration::from_millis(50)).await;
        for (n, mb) in world.memory_mb() {
            let mut highest = highest.lock().unwrap();
            let most = highest.entry(n).or_default();
            *most = most.max(mb);
            if mb > MEMORY_MB {
                world.record.say(&format!("{} holds {mb:.1} MB and is killed for memory", host(n)));
                world.kill(n);
                ends.fetch_add(1, Ordering::Relaxed);
                back.insert(n, Instant::now() + BACK_AFTER);
            }
        }
        for (n, how) in world.take_ended() {
            world.record.say(&format!("{} has ended by itself: {how}", host(n)));
            ends.fetch_add(1, Ordering::Relaxed);
            back.insert(n, Instant::now() + BACK_AFTER);
        }
        back.retain(|n, at| {
            let due = Instant::now() >= *at;
            if due {
                world.start(*n);
            }
            !due
        });
    }
}

/// Asks about a job through the load balancer, as users do.
async fn poll(balancer: &Arc<Balancer>, id: &str) -> Option<(u16, String)> {
    let ask = async {
        let mut connection = balancer.connect().await?;
        connection.exchange("GET", &format!("/v2/runs/{id}"), "").await
    };
    timeout(Duration::from_secs(2), ask).await.ok().flatten().map(|(status, body, _)| (status, body))
}

pub async fn run(trouble: bool) -> i32 {
    let record = Record::create(&std::env::var("RECORD").unwrap_or("record.txt".into()));
    let layout = Layout {
        controllers: CONTROLLERS,
        report_s: 2.0,
        lease_s: 14.0,
        cancel_s: 44.0,
        state: StateLimits { rps: 150.0, write_rps: 60.0, value_kb: 8.0, txn_ops: 16 },
        mem_mb: MEMORY_MB,
        machines: 8,
        fetch: Duration::from_millis(300),
        runs: BTreeMap::from([
            ("run-000001".to_string(), Duration::from_secs(1)),
            ("run-000002".to_string(), Duration::from_secs(900)),
        ]),
    };
    let world = World::new(layout, record.clone()).await;
    world.cloud.boots_within(Duration::from_millis(1500));
    (0..CONTROLLERS).for_each(|n| world.start(n));
    let (ends, highest) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(BTreeMap::new())));
    tokio::spawn(platform(world.clone(), ends.clone(), highest.clone()));
    let balancer = Balancer::start(&world.listen, &record);
    for id in ["run-000001", "run-000002"] {
        if !world.submit(&job(id, "free", 4, 1.0), 0).await {
            world.kill_all();
            return 2;
        }
    }
    let begin = Instant::now();
    let done = |value: Option<serde_json::Value>| value.filter(|v| v["s"] == "done");
    let finished = loop {
        if let Some(value) = done(world.state.value("dc/j/run-000001")) {
            break value;
        }
        if begin.elapsed() > Duration::from_secs(20) {
            record.say("the first job does not end");
            world.kill_all();
            return 2;
        }
        sleep(Duration::from_millis(100)).await;
    };
    record.say(&format!("run-000001 is done; what the controllers keep of it: {finished}"));
    // Two days pass: the controllers keep the same of each of the jobs that finish meanwhile.
    for k in 0..FINISHED {
        world.state.put(&format!("dc/j/run-{:06}", 100_000 + k), finished.clone());
        if k % 100 == 99 {
            sleep(Duration::from_millis(20)).await;
        }
    }
    sleep(Duration::from_secs(2)).await;
    record
        .say(&format!("{FINISHED} jobs have finished; memory held at most: {:.1?}", highest.lock().unwrap()));
    for id in ASKED {
        record.say(&format!("{id}: {:?}", poll(&balancer, id).await));
    }
    if trouble {
        record.say("all controllers crash");
        world.kill_all();
        sleep(BACK_AFTER).await;
        (0..CONTROLLERS).for_each(|n| world.start(n));
        record.say("all controllers are back; the troubles are over");
    }
    let calm = Instant::now();
    let mut answered: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    while calm.elapsed() < FORGOTTEN {
        for id in ASKED {
            let answer = poll(&balancer, id).await;
            record.line(&format!("{id}: {answer:?}"));
            let counts = answered.entry(id).or_default();
            counts.0 += 1;
            counts.1 += usize::from(answer.is_some_and(|(status, _)| status == 200));
        }
        sleep(Duration::from_secs(5)).await;
    }
    let forgotten = answered.values().filter(|(_, answered)| *answered == 0).count();
    record.say(&format!("polls and answers since the troubles ended: {answered:?}"));
    record.say(&format!(
        "{forgotten} of {} jobs forgotten; controllers ended {} times; memory held at most: {:.1?}",
        ASKED.len(),
        ends.load(Ordering::Relaxed),
        highest.lock().unwrap()
    ));
    world.kill_all();
    i32::from(forgotten > 0 || ends.load(Ordering::Relaxed) > 0)
}
