//! The platform: state service (the project's stand-in), a cloud, and workers that follow the protocol.

use crate::http_io::{Serves, call, serve};
use async_trait::async_trait;
use dapplecroft_fakes::{FakeState, Handler};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

pub const REPORT: Duration = Duration::from_secs(3);
pub const LEASE: Duration = Duration::from_secs(27);
pub const LIST_LAG: Duration = Duration::from_secs(8);
pub const MACHINE_CPUS: f64 = 8.0;
const BOOT: Duration = Duration::from_millis(1500);
const FETCH: Duration = Duration::from_millis(500);

/// `record.txt`: what was sent, answered and run, with the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        Record { file: Mutex::new(File::create(path).expect("record.txt")), start: Instant::now() }
    }

    pub fn log(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

/// What a user has uploaded about a job.
#[derive(Debug, Clone)]
pub struct UploadedJob {
    pub cpus: f64,
    pub run: Duration,
    /// Whether the first run of each of its tasks fails, as on a faulty machine.
    pub first_run_fails: bool,
}

/// Everything that the stand-ins share.
pub struct World {
    pub record: Record,
    pub state: Arc<FakeState>,
    pub jobs: Mutex<BTreeMap<String, UploadedJob>>,
    /// Name and address of each controller.
    pub controllers: Mutex<Vec<(String, SocketAddr)>>,
    pub workers: Mutex<BTreeMap<String, Arc<Worker>>>,
    /// Machine that each task is on, from when it has its image until it is gone from there.
    on: Mutex<BTreeMap<(String, String), u64>>,
    /// Tasks whose first run has failed.
    failed_once: Mutex<Vec<String>>,
    /// Broken rules.
    pub broken: Mutex<Vec<String>>,
}

impl World {
    pub fn new(record: &Path) -> Arc<World> {
        Arc::new(World {
            record: Record::new(record),
            state: FakeState::new(),
            jobs: Mutex::default(),
            controllers: Mutex::default(),
            workers: Mutex::default(),
            on: Mutex::default(),
            failed_once: Mutex::default(),
            broken: Mutex::default(),
        })
    }

    /// Machines on which a task is now, each with the attempt.
    pub fn machines_of(&self, share: &str) -> Vec<(String, u64)> {
        let on = self.on.lock().unwrap();
        on.iter().filter(|((s, _), _)| s == share).map(|((_, m), attempt)| (m.clone(), *attempt)).collect()
    }

    /// Machines that are up, each with the CPUs that no task takes there.
    pub fn free_cpus(&self) -> Vec<(String, f64)> {
        let workers = self.workers.lock().unwrap();
        workers.iter().map(|(name, worker)| (name.clone(), worker.free_cpus())).collect()
    }

    fn started(&self, share: &str, attempt: u64, machine: &str) {
        let others = self.machines_of(share);
        self.record.log(format!("RUN    {share} try {attempt} starts on {machine}"));
        self.on.lock().unwrap().insert((share.into(), machine.into()), attempt);
        for (other, its_attempt) in others {
            if other != machine {
                let text = format!(
                    "ran_twice: {share} try {attempt} starts on {machine} while try {its_attempt} is on {other}"
                );
                self.record.log(format!("BROKEN {text}"));
                self.broken.lock().unwrap().push(text);
            }
        }
    }

    fn left(&self, share: &str, attempt: u64, machine: &str, why: &str) {
        if self.on.lock().unwrap().remove(&(share.into(), machine.into())).is_some() {
            self.record.log(format!("RUN    {share} try {attempt} leaves {machine}: {why}"));
        }
    }
}

/// The state service at a port.
pub struct StateService(pub Arc<World>);

#[async_trait]
impl Serves for StateService {
    async fn answer(&self, method: &str, path: &str, body: Vec<u8>) -> (u16, String) {
        let method = http::Method::from_bytes(method.as_bytes()).expect("a method");
        let answer = self.0.state.handle("controller", method, path, &body).await;
        (answer.status, String::from_utf8_lossy(&answer.body).into_owned())
    }
}

struct Rented {
    spot: bool,
    zone: String,
    at: Instant,
    gone: Option<Instant>,
    address: Option<SocketAddr>,
}

/// The cloud: one machine type `m`.
pub struct Cloud {
    world: Arc<World>,
    capacity: usize,
    machines: Mutex<BTreeMap<String, Rented>>,
    charters: Mutex<BTreeMap<String, Vec<String>>>,
    this: std::sync::Weak<Cloud>,
}

impl Cloud {
    pub fn new(world: &Arc<World>, capacity: usize) -> Arc<Cloud> {
        Arc::new_cyclic(|this| Cloud {
            world: world.clone(),
            capacity,
            machines: Mutex::default(),
            charters: Mutex::default(),
            this: this.clone(),
        })
    }

    fn rent(&self, request: &Value) -> (u16, String) {
        let (Some(charter), Some(count)) = (request["charter"].as_str(), request["count"].as_u64()) else {
            return (400, "{}".into());
        };
        if let Some(names) = self.charters.lock().unwrap().get(charter) {
            return (200, json!({"holdings": names}).to_string());
        }
        let mut machines = self.machines.lock().unwrap();
        let used = machines.values().filter(|m| m.gone.is_none()).count();
        let count = (count as usize).min(self.capacity.saturating_sub(used));
        if count == 0 {
            return (503, json!({"error": "no capacity"}).to_string());
        }
        let (spot, zone) = (request["loaners"] == true, request["yard"].as_str().unwrap_or_default());
        let mut names = Vec::new();
        for _ in 0..count {
            let name = format!("i-{:06}", machines.len() + 1);
            let rented = Rented { spot, zone: zone.into(), at: Instant::now(), gone: None, address: None };
            machines.insert(name.clone(), rented);
            let cloud = self.this.upgrade().expect("the cloud lives");
            let (machine, zone) = (name.clone(), zone.to_string());
            tokio::spawn(async move { cloud.boot(machine, spot, zone).await });
            names.push(name);
        }
        self.world.record.log(format!("CLOUD  {charter} rents {names:?} in zone {zone}"));
        self.charters.lock().unwrap().insert(charter.into(), names.clone());
        (200, json!({"holdings": names}).to_string())
    }

    async fn boot(&self, name: String, spot: bool, zone: String) {
        sleep(BOOT).await;
        let worker = Worker::new(&self.world, &name, spot, zone);
        let address = serve(Arc::new(WorkerPort(worker.clone()))).await;
        *worker.address.lock().unwrap() = Some(address);
        {
            let mut machines = self.machines.lock().unwrap();
            let Some(machine) = machines.get_mut(&name).filter(|m| m.gone.is_none()) else { return };
            machine.address = Some(address);
        }
        self.world.workers.lock().unwrap().insert(name.clone(), worker.clone());
        self.world.record.log(format!("CLOUD  {name} is up"));
        tokio::spawn(worker.run());
    }

    fn release(&self, request: &Value) -> (u16, String) {
        for name in request["holdings"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if let Some(machine) = self.machines.lock().unwrap().get_mut(name) {
                machine.gone.get_or_insert(Instant::now());
            }
            if let Some(worker) = self.world.workers.lock().unwrap().remove(name) {
                worker.destroy();
            }
            self.world.record.log(format!("CLOUD  {name} is released"));
        }
        (200, "{}".into())
    }

    /// Takes a machine with all that is on it, with no notice.
    pub fn take(&self, name: &str) {
        if let Some(machine) = self.machines.lock().unwrap().get_mut(name) {
            machine.gone.get_or_insert(Instant::now());
        }
        if let Some(worker) = self.world.workers.lock().unwrap().remove(name) {
            worker.destroy();
        }
        self.world.record.log(format!("CLOUD  {name} is taken"));
    }

    fn list(&self, path: &str) -> (u16, String) {
        let query = |name: &str| {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=').map(str::to_string))
        };
        let from = query("from").unwrap_or_default();
        let limit = query("limit").and_then(|l| l.parse().ok()).unwrap_or(500usize).min(500);
        let Some(at) = Instant::now().checked_sub(LIST_LAG) else {
            return (200, json!({"holdings": [], "truncated": false}).to_string());
        };
        let machines = self.machines.lock().unwrap();
        let listed: Vec<Value> = machines
            .iter()
            .filter(|(name, m)| **name > from && m.at <= at && m.gone.is_none_or(|gone| gone > at))
            .map(|(name, m)| {
                let stage = if m.address.is_some() { "running" } else { "starting" };
                json!({"id": name, "address": m.address.map(|a| a.to_string()).unwrap_or_default(), "hull": "m",
                    "yard": m.zone, "loaners": m.spot, "stage": stage, "held_s": (at - m.at).as_secs_f64()})
            })
            .collect();
        let truncated = listed.len() > limit;
        (200, json!({"holdings": listed[..listed.len().min(limit)], "truncated": truncated}).to_string())
    }
}

#[async_trait]
impl Serves for Cloud {
    async fn answer(&self, _: &str, path: &str, body: Vec<u8>) -> (u16, String) {
        let request: Value = serde_json::from_slice(&body).unwrap_or_default();
        match path {
            "/catalog" => (
                200,
                json!({"hulls": [{"name": "m", "cpus": MACHINE_CPUS, "gpus": 0, "memory_gb": 64.0, "local_gb": 50,
                    "pull_gb_per_s": 1.0, "price": 1.0, "market_price": 0.3, "boot_s": 2, "yards": ["a", "b"]}]})
                .to_string(),
            ),
            "/rentals" => self.rent(&request),
            "/rentals/release" => self.release(&request),
            _ => self.list(path),
        }
    }
}

struct Task {
    stage: &'static str,
    cause: Option<&'static str>,
    runner: Option<JoinHandle<()>>,
}

struct Inner {
    tenure: u64,
    tally: u64,
    warrant: u64,
    lease_from: Instant,
    /// By task and attempt.
    tasks: BTreeMap<(String, u64), Task>,
    node: usize,
    destroyed: bool,
}

/// A worker, as the section "Workers -> controller nodes" describes it.
pub struct Worker {
    world: Arc<World>,
    pub machine: String,
    spot: bool,
    pub zone: String,
    pub address: Mutex<Option<SocketAddr>>,
    inner: Mutex<Inner>,
    changed: Notify,
    /// Every `/do` that arrived and was executed.
    pub commands: Mutex<Vec<String>>,
    this: std::sync::Weak<Worker>,
}

impl Worker {
    fn new(world: &Arc<World>, machine: &str, spot: bool, zone: String) -> Arc<Worker> {
        Arc::new_cyclic(|this| Worker {
            world: world.clone(),
            machine: machine.into(),
            spot,
            zone: zone.clone(),
            address: Mutex::default(),
            inner: Mutex::new(Inner {
                tenure: 1,
                tally: 0,
                warrant: 0,
                lease_from: Instant::now(),
                tasks: BTreeMap::new(),
                node: 0,
                destroyed: false,
            }),
            changed: Notify::new(),
            commands: Mutex::default(),
            this: this.clone(),
        })
    }

    /// Index of the controller that the worker reports to.
    pub fn node(&self) -> usize {
        self.inner.lock().unwrap().node
    }

    /// Whether the worker lists an attempt of a task.
    pub fn lists(&self, share: &str, attempt: u64) -> bool {
        self.inner.lock().unwrap().tasks.contains_key(&(share.into(), attempt))
    }

    /// CPUs that no task takes.
    fn free_cpus(&self) -> f64 {
        let inner = self.inner.lock().unwrap();
        let jobs = self.world.jobs.lock().unwrap();
        let here = inner.tasks.iter().filter(|(_, t)| t.stage != "exited");
        let cpus = |share: &str| jobs.get(share.split('/').next()?).map(|j| j.cpus);
        MACHINE_CPUS - here.filter_map(|((share, _), _)| cpus(share)).sum::<f64>()
    }

    fn destroy(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.destroyed = true;
        self.drop_tasks(&mut inner, "the machine is gone");
    }

    fn drop_tasks(&self, inner: &mut Inner, why: &str) {
        for ((share, attempt), task) in std::mem::take(&mut inner.tasks) {
            if let Some(runner) = task.runner {
                runner.abort();
            }
            self.world.left(&share, attempt, &self.machine, why);
        }
    }

    fn expire_lease(&self, inner: &mut Inner) {
        if inner.lease_from.elapsed() > LEASE {
            self.drop_tasks(inner, "the lease has ended");
            inner.tenure += 1;
            inner.lease_from = Instant::now();
            self.world.record.log(format!("WORKER {} begins session {}", self.machine, inner.tenure));
        }
    }

    fn report(&self, inner: &mut Inner) -> Value {
        inner.tally += 1;
        let shares: Vec<Value> = inner
            .tasks
            .iter()
            .map(|((share, attempt), t)| json!({"share": share, "try": attempt, "stage": t.stage, "cause": t.cause}))
            .collect();
        let address = self.address.lock().unwrap().expect("the worker listens").to_string();
        json!({"holding": self.machine, "address": address, "hull": "m", "yard": self.zone, "loaners": self.spot,
            "tenure": inner.tenure, "tally": inner.tally, "warrant": inner.warrant, "recall_s": null,
            "shares": shares})
    }

    fn execute(&self, inner: &mut Inner, orders: &Value) {
        for order in orders.as_array().into_iter().flatten() {
            let share = order["share"].as_str().unwrap_or_default().to_string();
            let key = (share.clone(), order["try"].as_u64().unwrap_or(0));
            match order["verb"].as_str().unwrap_or_default() {
                "start" if !inner.tasks.contains_key(&key) => {
                    let task = self.start(inner, &share, key.1);
                    inner.tasks.insert(key, task);
                    self.changed.notify_one();
                }
                "kill" => {
                    if let Some(task) = inner.tasks.get_mut(&key).filter(|t| t.stage != "exited") {
                        task.runner.take().into_iter().for_each(|runner| runner.abort());
                        (task.stage, task.cause) = ("exited", Some("stopped"));
                        self.world.left(&share, key.1, &self.machine, "stopped");
                        self.changed.notify_one();
                    }
                }
                "clear" if inner.tasks.get(&key).is_some_and(|t| t.stage == "exited") => {
                    inner.tasks.remove(&key);
                    self.world.record.log(format!("WORKER {} clears {share} try {}", self.machine, key.1));
                    self.changed.notify_one();
                }
                _ => {}
            }
        }
    }

    fn start(&self, inner: &Inner, share: &str, attempt: u64) -> Task {
        let refused = |cause| Task { stage: "exited", cause: Some(cause), runner: None };
        let jobs = self.world.jobs.lock().unwrap();
        let job_of = |share: &str| jobs.get(share.split('/').next().unwrap_or_default()).cloned();
        let Some(job) = job_of(share) else { return refused("no_such") };
        let here = inner.tasks.iter().filter(|(_, t)| t.stage != "exited");
        if here.clone().any(|((s, _), _)| s == share) {
            return refused("in_use");
        }
        let used: f64 = here.filter_map(|((s, _), _)| Some(job_of(s)?.cpus)).sum();
        if used + job.cpus > MACHINE_CPUS + 1e-9 {
            return refused("full");
        }
        let (worker, share) = (self.this.upgrade().expect("the worker lives"), share.to_string());
        let runner = tokio::spawn(async move {
            sleep(FETCH).await;
            worker.set_stage(&share, attempt, "running", None);
            worker.world.started(&share, attempt, &worker.machine);
            let fails = job.first_run_fails && {
                let mut failed = worker.world.failed_once.lock().unwrap();
                let first = !failed.contains(&share);
                failed.push(share.clone());
                first
            };
            sleep(if fails { Duration::from_secs(1) } else { job.run }).await;
            let cause = if fails { "error" } else { "done" };
            worker.world.left(&share, attempt, &worker.machine, cause);
            worker.set_stage(&share, attempt, "exited", Some(cause));
        });
        Task { stage: "pulling", cause: None, runner: Some(runner) }
    }

    fn set_stage(&self, share: &str, attempt: u64, stage: &'static str, cause: Option<&'static str>) {
        if let Some(task) = self.inner.lock().unwrap().tasks.get_mut(&(share.to_string(), attempt)) {
            (task.stage, task.cause) = (stage, cause);
            self.changed.notify_one();
        }
    }

    /// Reports at intervals and when something changes, half a second apart at least.
    async fn run(self: Arc<Worker>) {
        let expiry = self.clone();
        tokio::spawn(async move {
            loop {
                let end = expiry.inner.lock().unwrap().lease_from + LEASE + Duration::from_millis(1);
                sleep_until(end).await;
                let mut inner = expiry.inner.lock().unwrap();
                if inner.destroyed {
                    return;
                }
                expiry.expire_lease(&mut inner);
            }
        });
        loop {
            let (sent, tenure, node, report) = {
                let mut inner = self.inner.lock().unwrap();
                if inner.destroyed {
                    return;
                }
                self.expire_lease(&mut inner);
                (Instant::now(), inner.tenure, inner.node, self.report(&mut inner).to_string())
            };
            let controllers = self.world.controllers.lock().unwrap().clone();
            let (_, address) = &controllers[node % controllers.len()];
            let answer = call(*address, "POST", "/hello", &report, Duration::from_secs(4)).await;
            let mut next = (node + 1) % controllers.len();
            let mut pause = Duration::from_secs(1);
            match answer {
                Some(answer) if answer.status == 200 => {
                    (next, pause) = (node, Duration::from_millis(500));
                    let body = answer.json();
                    let mut inner = self.inner.lock().unwrap();
                    let warrant = body["warrant"].as_u64().unwrap_or(0);
                    self.expire_lease(&mut inner);
                    if warrant >= inner.warrant && warrant > 0 && tenure == inner.tenure && !inner.destroyed {
                        if warrant > inner.warrant {
                            self.changed.notify_one();
                        }
                        (inner.warrant, inner.lease_from) = (warrant, sent);
                        self.execute(&mut inner, &body["orders"]);
                    }
                }
                Some(answer) if answer.status == 421 => {
                    let steward = answer.json()["steward"].as_str().map(str::to_string);
                    let named = controllers.iter().position(|(name, _)| Some(name) == steward.as_ref());
                    if let Some(named) = named.filter(|n| *n != node) {
                        (next, pause) = (named, Duration::from_millis(300));
                        self.changed.notify_one();
                    }
                }
                _ => {}
            }
            if next != node {
                self.changed.notify_one();
            }
            self.inner.lock().unwrap().node = next;
            sleep(pause).await;
            let _ = timeout(REPORT.saturating_sub(pause), self.changed.notified()).await;
        }
    }
}

/// A worker's own address: `/do` and `/status`.
struct WorkerPort(Arc<Worker>);

#[async_trait]
impl Serves for WorkerPort {
    async fn answer(&self, method: &str, path: &str, body: Vec<u8>) -> (u16, String) {
        let worker = &self.0;
        let mut inner = worker.inner.lock().unwrap();
        if inner.destroyed {
            // The address belongs to nobody any more.
            return (404, "{}".into());
        }
        worker.expire_lease(&mut inner);
        if (method, path) != ("POST", "/do") {
            return (200, worker.report(&mut inner).to_string());
        }
        let request: Value = serde_json::from_slice(&body).unwrap_or_default();
        let (Some(warrant), Some(tenure)) = (request["warrant"].as_u64(), request["tenure"].as_u64()) else {
            return (400, "{}".into());
        };
        let status = if warrant < inner.warrant || tenure != inner.tenure { 409 } else { 200 };
        let text = String::from_utf8_lossy(&body).into_owned();
        worker.world.record.log(format!("DO     to {}: {status} {text}", worker.machine));
        if status == 200 {
            if warrant > inner.warrant {
                worker.changed.notify_one();
            }
            inner.warrant = warrant;
            worker.execute(&mut inner, &request["orders"]);
            worker.commands.lock().unwrap().push(text);
        }
        (status, worker.report(&mut inner).to_string())
    }
}
