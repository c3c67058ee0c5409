//! Many jobs are submitted at once while two of the three controllers have crashed. When all of it is over,
//! the accepted jobs are left waiting.

use crate::users::{Balancer, Connection};
use crate::world::{FERRY_MEMORY_MB, FERRY_STATE, Layout, Record, World, host, job};
use dapplecroft_fakes::Limits;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// A job whose tasks leave 2 of the 16 processors of each machine free.
const FIRST: &str = "run-000001";
const MACHINES: u32 = 4;
const MACHINE_CPUS: f64 = 16.0;
const FIRST_CPUS: f64 = 14.0;
/// The jobs that are submitted at once: one task each.
const JOBS: usize = 500;
const JOB_CPUS: f64 = 0.1;
/// The same without the trouble: so many a second.
const CALM_RATE: f64 = 25.0;
/// When a controller that has ended is started again.
const BACK_AFTER: Duration = Duration::from_secs(6);
/// Once the troubles are over, no job is left waiting for so long while a machine that fits has room.
const BOUND: Duration = Duration::from_secs(90);

/// Submits a job as users do: for up to 60 s, with 5 s for each response and 1 s before each retry.
async fn submit(balancer: Arc<Balancer>, id: String, world: Arc<World>, requests: Arc<AtomicUsize>) -> bool {
    let body = job(&id, "free", 1, JOB_CPUS).to_string();
    let mut connection: Option<Connection> = None;
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(60) {
        if connection.is_none() {
            connection = balancer.connect().await;
        }
        if let Some(open) = connection.as_mut() {
            requests.fetch_add(1, Ordering::Relaxed);
            match timeout(Duration::from_secs(5), open.exchange("POST", "/v2/runs", &body)).await {
                Ok(Some((200 | 201, ..))) => {
                    world.checker.accepted(&id);
                    return true;
                }
                Ok(Some((_, _, true))) => {}
                _ => connection = None,
            }
        }
        sleep(Duration::from_secs(1)).await;
    }
    false
}

/// Processors that are free on each machine with a worker, by what runs there.
fn free(world: &World) -> BTreeMap<String, f64> {
    let mut free: BTreeMap<String, f64> = BTreeMap::new();
    for machine in world.cloud.machines().into_iter().filter(|m| world.cloud.has_worker(m)) {
        free.insert(machine, MACHINE_CPUS);
    }
    for (task, machine) in world.checker.on() {
        let cpus = if task.starts_with(&format!("{FIRST}/")) { FIRST_CPUS } else { JOB_CPUS };
        if let Some(left) = free.get_mut(&machine) {
            *left -= cpus;
        }
    }
    free
}

pub async fn run(trouble: bool) -> i32 {
    let record = Record::create(&std::env::var("RECORD").unwrap_or("record.txt".into()));
    let mut runs = BTreeMap::from([(FIRST.to_string(), Duration::from_secs(900))]);
    runs.extend((0..JOBS).map(|n| (format!("run-{}", 10000 + n), Duration::from_secs(3))));
    let layout = Layout {
        controllers: 3,
        report_s: 3.0,
        lease_s: 32.0,
        cancel_s: 62.0,
        state: FERRY_STATE,
        mem_mb: FERRY_MEMORY_MB,
        machines: MACHINES as usize,
        fetch: Duration::from_millis(300),
        runs,
    };
    let world = World::new(layout, record.clone()).await;
    // The limits of the state service that the settings name.
    world.state.limit(Limits { value: 16 * 1024, changes: 24, rate: 30.0 });
    world.cloud.boots_within(Duration::from_millis(1500));
    (0..3).for_each(|n| world.start(n));
    let balancer = Balancer::start(&world.listen, &record);
    let mut first = job(FIRST, "free", MACHINES, FIRST_CPUS);
    first["reckon_s"] = 900.0.into();
    if !world.submit(&first, 0).await {
        world.kill_all();
        return 2;
    }
    let begin = Instant::now();
    while world.checker.on().len() < MACHINES as usize {
        if begin.elapsed() > Duration::from_secs(12) {
            record.say("the first job does not run");
            world.kill_all();
            return 2;
        }
        sleep(Duration::from_millis(50)).await;
    }
    record.say(&format!("{FIRST} runs; free processors: {:?}", free(&world)));
    let Some(leader) = world.leader() else { return 2 };
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    if trouble {
        others.iter().for_each(|n| world.kill(*n));
        let (world, others) = (world.clone(), others.clone());
        tokio::spawn(async move {
            sleep(BACK_AFTER).await;
            others.iter().for_each(|n| world.start(*n));
        });
    }
    let requests = Arc::new(AtomicUsize::new(0));
    let mut users = Vec::new();
    let begin = Instant::now();
    for n in 0..JOBS {
        if !trouble {
            let due = Duration::from_secs_f64(n as f64 / CALM_RATE);
            sleep(due.saturating_sub(begin.elapsed())).await;
        }
        let id = format!("run-{}", 10000 + n);
        users.push((id.clone(), tokio::spawn(submit(balancer.clone(), id, world.clone(), requests.clone()))));
    }
    record.say(&format!("{JOBS} jobs are submitted; {} leads", host(leader)));
    let mut accepted = Vec::new();
    for (id, user) in users {
        if user.await.unwrap_or(false) {
            accepted.push(id);
        }
    }
    record.say(&format!(
        "{} of {JOBS} jobs are accepted after {} requests; the troubles are over",
        accepted.len(),
        requests.load(Ordering::Relaxed)
    ));
    let calm = Instant::now();
    // The least that is free on the machine with the most room, from now on.
    let mut room = f64::INFINITY;
    let waiting = || accepted.iter().filter(|id| world.checker.starts(&format!("{id}/0")) == 0).count();
    while calm.elapsed() < BOUND {
        sleep(Duration::from_secs(1)).await;
        let most = free(&world).into_values().fold(0.0, f64::max);
        room = room.min(most);
        record.line(&format!(
            "{} jobs accepted and not begun; most free processors on a machine: {most:.1}; changes asked of the state service so far: {}",
            waiting(),
            world.state.changes()
        ));
        if waiting() == 0 {
            break;
        }
    }
    let left = if room >= JOB_CPUS { waiting() } else { 0 };
    for n in 0..3 {
        let path = format!("/v2/runs/{}", accepted.last().cloned().unwrap_or_default());
        let answer =
            world.call(n, http::Method::GET, &path, &serde_json::Value::Null, Duration::from_secs(2)).await;
        record.line(&format!("{} {path}: {answer:?}", host(n)));
    }
    world
        .take_ended()
        .iter()
        .for_each(|(n, how)| record.say(&format!("{} has ended by itself: {how}", host(*n))));
    world.kill_all();
    record.say(&format!(
        "{left} jobs were left waiting for {:.0} s while a machine had at least {room:.1} processors free",
        calm.elapsed().as_secs_f64()
    ));
    i32::from(left > 0)
}
