//! A controller loses the network, which resets its connections, while the state service answers slowly.

use crate::controllers::{CONTROLLERS, Controllers, Failed};
use crate::http_io::{call, connect, exchange};
use crate::platform::{UploadedJob, World};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long the controller has no network.
const CUT: Duration = Duration::from_secs(5);
/// How long the state service takes to answer while it is slow.
const SLOW: Duration = Duration::from_millis(1000);
/// The early users begin to ask within this time, as they do when a nightly batch has been submitted.
const EARLY_SPREAD: Duration = Duration::from_millis(400);
/// `forgotten`: every poll fails for this long while most others are answered.
const FORGOTTEN: Duration = Duration::from_secs(90);
const POLL: Duration = Duration::from_secs(5);
const POLL_WAIT: Duration = Duration::from_secs(2);
/// Users that ask from the beginning, each on a connection of its own, and users that come back later.
const EARLY_USERS: usize = 870;
const LATER_USERS: usize = 12;
const LONG: Duration = Duration::from_secs(600);

struct Node {
    address: SocketAddr,
    /// Open connections of users.
    open: AtomicUsize,
    healthy: AtomicBool,
}

/// The load balancer: chooses a node for each new connection, as the protocol says.
struct LoadBalancer {
    nodes: Vec<Node>,
    world: Arc<World>,
}

impl LoadBalancer {
    /// Probes a node once a second. Unhealthy after two failures in a row; healthy again after two successes
    /// in a row and 3 s.
    async fn probe(self: Arc<Self>, n: usize) {
        let (mut good, mut bad, mut since) = (0, 0, Instant::now());
        loop {
            let started = Instant::now();
            let node = &self.nodes[n];
            let up = call(node.address, "GET", "/up", "", Duration::from_secs(1)).await;
            if up.is_some_and(|a| a.status == 200) {
                (good, bad) = (good + 1, 0);
            } else {
                (good, bad) = (0, bad + 1);
            }
            let healthy = node.healthy.load(Ordering::Relaxed);
            if healthy && bad >= 2 || !healthy && good >= 2 && since.elapsed() >= Duration::from_secs(3) {
                node.healthy.store(!healthy, Ordering::Relaxed);
                since = Instant::now();
                self.world
                    .record
                    .log(format!("LB     crofter-{n} is {}", if healthy { "unhealthy" } else { "healthy" }));
            }
            sleep(Duration::from_secs(1).saturating_sub(started.elapsed())).await;
        }
    }

    async fn connect(&self) -> Option<(usize, TcpStream)> {
        let mut tried = Vec::new();
        for _ in 0..3 {
            let open = |n: &usize| self.nodes[*n].open.load(Ordering::Relaxed);
            let usable = |n: &usize| self.nodes[*n].healthy.load(Ordering::Relaxed) && !tried.contains(n);
            let n = (0..self.nodes.len()).filter(usable).min_by_key(open)?;
            self.nodes[n].open.fetch_add(1, Ordering::Relaxed);
            match connect(self.nodes[n].address).await {
                Ok(stream) => return Some((n, stream)),
                Err(_) => self.nodes[n].open.fetch_sub(1, Ordering::Relaxed),
            };
            tried.push(n);
        }
        None
    }
}

/// One poll: who asked, about what, when, at which node, and the status (0: no response).
struct Poll {
    job: String,
    at: Instant,
    node: Option<usize>,
    status: u16,
}

type Polls = Arc<Mutex<Vec<Poll>>>;

/// A user, who polls about every 5 s and waits 2 s for a response. The connection stays open until a response
/// is missing or the node ends it.
async fn user(balancer: Arc<LoadBalancer>, job: String, polls: Polls, first: Duration) {
    sleep(first).await;
    let mut connection: Option<(usize, TcpStream)> = None;
    loop {
        let at = Instant::now();
        if connection.is_none() {
            connection = balancer.connect().await;
        }
        let node = connection.as_ref().map(|(n, _)| *n);
        let mut status = 0;
        let mut keep = false;
        if let Some((_, stream)) = &connection {
            let path = format!("/v2/runs/{job}");
            if let Ok(Ok(answer)) = timeout(POLL_WAIT, exchange(stream, "GET", &path, "")).await {
                status = answer.status;
                keep = !answer.closes;
            }
        }
        if !keep && let Some((n, _)) = connection.take() {
            balancer.nodes[n].open.fetch_sub(1, Ordering::Relaxed);
        }
        polls.lock().unwrap().push(Poll { job: job.clone(), at, node, status });
        sleep(POLL.saturating_sub(at.elapsed())).await;
    }
}

pub async fn run(world: &Arc<World>, all: &mut Controllers, trouble: bool) -> Result<(), Failed> {
    let nodes = (0..CONTROLLERS).map(|n| Node {
        address: all.address(n),
        open: AtomicUsize::new(0),
        healthy: AtomicBool::new(true),
    });
    let balancer = Arc::new(LoadBalancer { nodes: nodes.collect(), world: world.clone() });
    (0..CONTROLLERS).for_each(|n| drop(tokio::spawn(balancer.clone().probe(n))));
    let jobs: Vec<String> = (1..=LATER_USERS).map(|n| format!("run-{n:06}")).collect();
    for id in &jobs {
        all.submit(id, 1, UploadedJob { cpus: 0.5, run: LONG, first_run_fails: false }).await?;
    }
    // Users who ask from the beginning; they also ask about jobs that nobody has submitted.
    let early: Polls = Arc::default();
    for n in 0..EARLY_USERS {
        let first = EARLY_SPREAD.mul_f64(n as f64 / EARLY_USERS as f64);
        tokio::spawn(user(balancer.clone(), format!("run-{:06}", 500_000 + n), early.clone(), first));
    }
    let began = Instant::now();
    sleep_until(began + Duration::from_secs(3)).await;
    let answered = |p: &Poll| p.status == 200 || p.status == 404;
    {
        let early = early.lock().unwrap();
        let good = early.iter().filter(|p| answered(p)).count();
        world.record.log(format!("CASE   {good} of {} polls answered so far", early.len()));
        if good * 10 < early.len() * 9 {
            return Err("the users are not served to begin with".into());
        }
    }
    // The controller that loses the network is not the leader.
    let leader = world.state.value("dc/leader").and_then(|r| r["host"].as_str().map(str::to_string));
    let cut = (0..CONTROLLERS).find(|n| Some(format!("crofter-{n}")) != leader).ok_or("no leader")?;
    let opened = balancer.nodes[cut].open.load(Ordering::Relaxed);
    world.record.log(format!("CASE   {opened} users are connected to crofter-{cut}"));
    if trouble {
        world.state.slow("controller", SLOW);
        world.record.log(format!("STATE  answers slowly from now on: {SLOW:?}"));
    }
    // Just after the users have asked the next time.
    sleep_until(began + POLL + EARLY_SPREAD + Duration::from_millis(200)).await;
    if trouble {
        all.links[cut].cut(true);
        world.record.log(format!("NET    crofter-{cut} loses the network, and its connections are reset"));
    }
    sleep(CUT).await;
    if trouble {
        all.links[cut].cut(false);
        world.state.slow("controller", Duration::ZERO);
        world.record.log(format!(
            "NET    crofter-{cut} has the network again, and the state service answers quickly"
        ));
    }
    // The trouble is over. Users who submitted jobs come back and ask about them.
    all.until("all controllers are in service", 10, || async {
        balancer.nodes.iter().all(|n| n.healthy.load(Ordering::Relaxed))
    })
    .await?;
    sleep(Duration::from_millis(500)).await;
    let over = Instant::now();
    world.record.log("CASE   all controllers are in service again; users with jobs come back");
    let later: Polls = Arc::default();
    for id in &jobs {
        tokio::spawn(user(balancer.clone(), id.clone(), later.clone(), Duration::ZERO));
    }
    sleep(FORGOTTEN + Duration::from_millis(2500)).await;
    let (early, later) = (early.lock().unwrap(), later.lock().unwrap());
    let since: Vec<&Poll> = early.iter().chain(later.iter()).filter(|p| p.at >= over).collect();
    for n in 0..CONTROLLERS {
        let own: Vec<&&Poll> = since.iter().filter(|p| p.node == Some(n)).collect();
        let count = |status: u16| own.iter().filter(|p| p.status == status).count();
        world.record.log(format!(
            "CASE   crofter-{n}: {} polls since then; 200: {}, 404: {}, 503: {}, no response: {}",
            own.len(),
            count(200),
            count(404),
            count(503),
            count(0)
        ));
    }
    for id in &jobs {
        let (own, others): (Vec<&&Poll>, Vec<&&Poll>) = since.iter().partition(|p| p.job == *id);
        let statuses: Vec<String> = own.iter().map(|p| format!("{}@{:?}", p.status, p.node)).collect();
        world.record.log(format!("USER   {id}: {}", statuses.join(" ")));
        let spell = own.last().map_or(Duration::ZERO, |p| p.at - own[0].at);
        let most = others.iter().filter(|p| answered(p)).count() * 2 > others.len();
        if spell >= FORGOTTEN && most && own.iter().all(|p| !answered(p)) {
            let text = format!(
                "forgotten: every poll for {id} failed for {:.1} s while most others were answered",
                spell.as_secs_f64()
            );
            world.record.log(format!("BROKEN {text}"));
            world.broken.lock().unwrap().push(text);
        }
    }
    Ok(())
}
