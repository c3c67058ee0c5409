//! The state service refuses one controller alone and answers slowly, while many jobs are submitted. The
//! controller passes its users' requests to another one, and gives each up after a while.

use crate::users::{Balancer, Connection, Polls, exchange, poll_job};
use crate::world::{FERRY_MEMORY_MB, FERRY_STATE, Layout, Record, World, host, job};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Jobs each of which has one user.
const WATCHED: usize = 24;
/// Users who ask about one further job.
const OTHERS: usize = 876;
/// How long the state service takes to answer meanwhile.
/// Submissions per second, and how long the trouble lasts.
const RATE: f64 = 40.0;
const TROUBLE: Duration = Duration::from_secs(30);
/// How long the state service takes to answer meanwhile.
const SLOW: Duration = Duration::from_millis(300);
/// When connections between controllers are first reset, and how often.
const FIRST_RESET: Duration = Duration::from_secs(6);
const RESET_PAUSE: Duration = Duration::from_millis(1500);
/// From when on they are reset more often, and how often then.
const MORE_RESETS: Duration = Duration::from_secs(20);
const SHORT_PAUSE: Duration = Duration::from_millis(1000);
/// After the troubles, a job about which no question is answered for so long counts as forgotten.
const FORGOTTEN: Duration = Duration::from_secs(75);

/// Submits a job as users do: for up to 60 s, with 5 s for each response and 1 s before each retry.
async fn submit(balancer: Arc<Balancer>, id: String, accepted: Arc<AtomicUsize>) {
    let body = job(&id, "free", 1, 0.5).to_string();
    let mut connection: Option<Connection> = None;
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(60) {
        if connection.is_none() {
            connection = balancer.connect().await;
        }
        if let Some(open) = connection.as_mut() {
            match timeout(Duration::from_secs(5), open.exchange("POST", "/v2/runs", &body)).await {
                Ok(Some((200 | 201, ..))) => {
                    accepted.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                Ok(Some((_, _, true))) => {}
                _ => connection = None,
            }
        }
        sleep(Duration::from_secs(1)).await;
    }
}

pub async fn run(trouble: bool) -> i32 {
    let record = Record::create(&std::env::var("RECORD").unwrap_or("record.txt".into()));
    let mut runs = BTreeMap::from([("run-000001".to_string(), Duration::from_secs(900))]);
    let watched: Vec<String> = (0..WATCHED).map(|n| format!("run-{:06}", 100 + n)).collect();
    runs.extend(watched.iter().map(|id| (id.clone(), Duration::from_secs(900))));
    let layout = Layout {
        controllers: 3,
        report_s: 3.0,
        lease_s: 32.0,
        cancel_s: 62.0,
        state: FERRY_STATE,
        mem_mb: FERRY_MEMORY_MB,
        machines: 28,
        fetch: Duration::from_millis(500),
        runs,
    };
    let world = World::new(layout, record.clone()).await;
    (0..2).for_each(|n| world.start(n));
    let balancer = Balancer::start(&world.listen, &record);
    for id in watched.iter().chain([&"run-000001".to_string()]) {
        if !world.submit(&job(id, "free", 1, 0.5), 1).await {
            world.kill_all();
            return 2;
        }
    }
    let cancelled = world
        .call(
            0,
            http::Method::POST,
            "/v2/runs/run-000001/withdraw",
            &serde_json::Value::Null,
            Duration::from_secs(5),
        )
        .await;
    record.line(&format!("run-000001 is cancelled: {cancelled:?}"));
    let (polls, stop) = (Arc::new(Polls::default()), Arc::new(AtomicBool::new(false)));
    let mut answered: BTreeMap<String, Arc<Polls>> = BTreeMap::new();
    for n in 0..WATCHED + OTHERS {
        let first = Duration::from_secs_f64(2.0 * n as f64 / (WATCHED + OTHERS) as f64);
        let (id, own) = match watched.get(n) {
            Some(id) => (id.clone(), answered.entry(id.clone()).or_default().clone()),
            None => ("run-000001".into(), polls.clone()),
        };
        tokio::spawn(poll_job(balancer.clone(), id, first, own, stop.clone()));
    }
    sleep(Duration::from_millis(2000)).await;
    world.start(2);
    sleep(Duration::from_millis(2500)).await;
    let accepted = Arc::new(AtomicUsize::new(0));
    let sent = Arc::new(AtomicUsize::new(0));
    let submitting = Arc::new(AtomicBool::new(true));
    let (own, own_sent, own_accepted, on) =
        (balancer.clone(), sent.clone(), accepted.clone(), submitting.clone());
    tokio::spawn(async move {
        while on.load(Ordering::Relaxed) {
            let id = format!("run-{}", 10000 + own_sent.fetch_add(1, Ordering::Relaxed));
            tokio::spawn(submit(own.clone(), id, own_accepted.clone()));
            sleep(Duration::from_secs_f64(1.0 / RATE)).await;
        }
    });
    record.say("many jobs are submitted");
    if !trouble {
        sleep(TROUBLE).await;
    } else {
        let alone = 2;
        record.say(&format!("the state service answers slowly, and refuses {} alone", host(alone)));
        (0..3).for_each(|n| world.state.slow(&host(n), SLOW));
        world.state.bar(&host(alone), true);
        let begin = Instant::now();
        sleep(FIRST_RESET).await;
        while begin.elapsed() < TROUBLE {
            for to in (0..3).filter(|to| *to != alone) {
                world.links[&(alone, to)].reset();
            }
            record.line(&format!("connections of {} to other controllers are reset", host(alone)));
            sleep(if begin.elapsed() < MORE_RESETS { RESET_PAUSE } else { SHORT_PAUSE }).await;
        }
        world.state.bar(&host(alone), false);
        (0..3).for_each(|n| world.state.slow(&host(n), Duration::ZERO));
        sleep(Duration::from_secs(2)).await;
    }
    submitting.store(false, Ordering::Relaxed);
    record.say(&format!(
        "troubles are over; {} jobs submitted, {} accepted so far",
        sent.load(Ordering::Relaxed),
        accepted.load(Ordering::Relaxed)
    ));
    let calm = Instant::now();
    let count = |polls: &Polls| (polls.sent.load(Ordering::Relaxed), polls.answered.load(Ordering::Relaxed));
    let before: Vec<_> = answered.values().map(|p| count(p)).collect();
    while calm.elapsed() < FORGOTTEN {
        sleep(Duration::from_secs(5)).await;
        for n in 0..3 {
            let ask = async {
                let mut stream = TcpStream::connect(("127.0.0.1", world.listen[n])).await.ok()?;
                let up = exchange(&mut stream, "GET", "/up", "").await?;
                let poll = exchange(&mut stream, "GET", "/v2/runs/run-000100", "").await?;
                Some((up.0, poll.0, poll.1))
            };
            record.line(&format!("{}: {:?}", host(n), timeout(Duration::from_secs(2), ask).await));
        }
    }
    let mut forgotten = 0;
    for ((id, own), (sent, heard)) in answered.iter().zip(before) {
        let (all, good) = count(own);
        record.line(&format!(
            "{id}: {} polls since the troubles ended, {} answered",
            all - sent,
            good - heard
        ));
        if good == heard && all - sent >= 10 {
            forgotten += 1;
            record.line(&format!("forgotten: {id}"));
        }
    }
    stop.store(true, Ordering::Relaxed);
    record.say(&format!("{forgotten} of {WATCHED} jobs forgotten; all other polls: {:?}", count(&polls)));
    world
        .take_ended()
        .iter()
        .for_each(|(n, how)| record.say(&format!("{} has ended by itself: {how}", host(*n))));
    world.kill_all();
    i32::from(forgotten > 0)
}
