//! A worker in memory.

use crate::net::{Handler, Net};
use crate::referee::Referee;
use async_trait::async_trait;
use dapplecroft_net::{Request, Response, Transport};
use dapplecroft_wire::workers::{
    DirectOrders, ExitReason, Order, Orders, Redirect, Report, TaskReport, TaskState,
};
use http::Method;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How a worker behaves in time.
#[derive(Debug, Clone)]
pub struct WorkerTiming {
    /// Interval between reports.
    pub report: Duration,
    /// How long it goes on without an answer.
    pub lease: Duration,
    /// How long an image takes.
    pub fetch: Duration,
    /// How long a task of a job runs; jobs not named run for 10 s.
    pub runs: BTreeMap<String, Duration>,
    /// Jobs whose tasks fail.
    pub fails: Vec<String>,
    /// Whether task n of a job that is named runs for 2n + 0.5 times as long, so
    /// that they end far apart.
    pub per_task: bool,
    /// How tasks of jobs save their progress; jobs not named never do.
    pub saves: BTreeMap<String, Saves>,
    /// Progress that was saved, by task. It is outside of all machines.
    pub saved: Arc<Mutex<BTreeMap<String, Duration>>>,
}

/// How a job's tasks save their progress.
#[derive(Debug, Clone, Copy)]
pub struct Saves {
    /// Interval of progress after which they save by themselves.
    pub interval: Duration,
    /// How long it takes to save when they are stopped.
    pub time: Duration,
}

struct Task {
    attempt: u64,
    state: TaskState,
    why: Option<ExitReason>,
    work: Option<JoinHandle<()>>,
    /// Since when it runs, and the progress that it began with.
    began: Option<(Instant, Duration)>,
    saved: Option<bool>,
}

struct Inner {
    tasks: BTreeMap<String, Task>,
    session: u64,
    sequence: u64,
    token: u64,
    renewed: Instant,
    notice: Option<Instant>,
    reports_to: usize,
    dead: bool,
    /// Until when the machine hangs.
    hangs: Option<Instant>,
    /// For how long it has been made to hang so far, in all.
    hung: Duration,
}

/// A worker.
pub struct FakeWorker {
    /// The machine's name.
    pub machine: String,
    /// Where it listens.
    pub address: String,
    machine_type: String,
    zone: String,
    spot: bool,
    timing: WorkerTiming,
    nodes: Vec<(String, String)>,
    port: Arc<dyn Transport>,
    net: Arc<Net>,
    referee: Arc<Referee>,
    inner: Mutex<Inner>,
    changed: Notify,
    own: Weak<FakeWorker>,
    reporting: Mutex<Vec<JoinHandle<()>>>,
}

impl FakeWorker {
    /// Starts a worker that reports to these nodes (name and address).
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        net: &Arc<Net>,
        referee: &Arc<Referee>,
        nodes: &[(String, String)],
        timing: &WorkerTiming,
        machine: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) -> Arc<FakeWorker> {
        let address = format!("w:{machine}");
        let worker = Arc::new_cyclic(|own| FakeWorker {
            machine: machine.into(),
            address: address.clone(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            timing: timing.clone(),
            nodes: nodes.to_vec(),
            port: net.port(machine),
            net: net.clone(),
            referee: referee.clone(),
            inner: Mutex::new(Inner {
                tasks: BTreeMap::new(),
                session: 1,
                sequence: 0,
                token: 0,
                renewed: Instant::now(),
                notice: None,
                reports_to: 0,
                dead: false,
                hangs: None,
                hung: Duration::ZERO,
            }),
            changed: Notify::new(),
            own: own.clone(),
            reporting: Mutex::default(),
        });
        net.serve(&address, worker.clone());
        let reporter = worker.clone();
        let watch = worker.clone();
        *worker.reporting.lock().unwrap() = vec![
            tokio::spawn(async move { reporter.report_loop().await }),
            tokio::spawn(async move { watch.lease_loop().await }),
        ];
        worker
    }

    /// The machine and all that is on it are gone.
    pub fn destroy(&self) {
        self.net.remove(&self.address);
        self.reporting.lock().unwrap().drain(..).for_each(|work| work.abort());
        let mut inner = self.inner.lock().unwrap();
        inner.dead = true;
        self.forget_tasks(&mut inner);
    }

    /// The machine stops and is back at once: its tasks are gone, and its worker
    /// begins another session.
    pub fn blink(&self) {
        let mut inner = self.inner.lock().unwrap();
        self.forget_tasks(&mut inner);
        inner.session += 1;
        inner.renewed = Instant::now();
        self.changed.notify_one();
    }

    /// The machine hangs for so long and then goes on where it was, unless its
    /// lease has ended by then. What arrives meanwhile is taken up afterwards.
    pub fn hang(&self, time: Duration) {
        let mut inner = self.inner.lock().unwrap();
        inner.hangs = Some(Instant::now() + time);
        inner.hung += time;
    }

    /// Waits while the machine hangs.
    async fn awake(&self) {
        loop {
            let hangs = self.inner.lock().unwrap().hangs;
            match hangs.filter(|until| *until > Instant::now()) {
                Some(until) => sleep_until(until).await,
                None => return,
            }
        }
    }

    /// Runs for so long, not counting what the machine hangs.
    async fn run_for(&self, time: Duration) {
        let hung = || self.inner.lock().unwrap().hung;
        let mut counted = hung();
        sleep(time).await;
        self.awake().await;
        while hung() > counted {
            let more = hung() - counted;
            counted += more;
            sleep(more).await;
            self.awake().await;
        }
    }

    /// The cloud takes it in so many seconds.
    pub fn notice(&self, seconds: f64) {
        self.inner.lock().unwrap().notice = Some(Instant::now() + Duration::from_secs_f64(seconds));
        self.changed.notify_one();
    }

    /// The worker's session.
    pub fn session(&self) -> u64 {
        self.inner.lock().unwrap().session
    }

    /// The highest token that it has seen.
    pub fn token(&self) -> u64 {
        self.inner.lock().unwrap().token
    }

    fn forget_tasks(&self, inner: &mut Inner) {
        for (name, task) in std::mem::take(&mut inner.tasks) {
            if let Some(work) = task.work {
                work.abort();
            }
            self.referee.ended(&name, &self.machine);
        }
    }

    fn check_lease(&self) {
        let mut inner = self.inner.lock().unwrap();
        if inner.renewed.elapsed() > self.timing.lease {
            self.forget_tasks(&mut inner);
            inner.session += 1;
            inner.renewed = Instant::now();
        }
    }

    /// Ends its tasks at the very moment at which its lease ends.
    async fn lease_loop(&self) {
        loop {
            let end = self.inner.lock().unwrap().renewed + self.timing.lease + Duration::from_millis(1);
            sleep_until(end).await;
            self.check_lease();
        }
    }

    /// A report as of now.
    pub fn report(&self) -> Report {
        let mut inner = self.inner.lock().unwrap();
        inner.sequence += 1;
        Report {
            machine: self.machine.clone(),
            address: self.address.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: inner.session,
            sequence: inner.sequence,
            token: inner.token,
            notice_s: inner.notice.map(|at| at.saturating_duration_since(Instant::now()).as_secs_f64()),
            tasks: inner
                .tasks
                .iter()
                .map(|(name, t)| TaskReport {
                    task: name.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why,
                    saved: t.saved,
                })
                .collect(),
        }
    }

    async fn report_loop(&self) {
        loop {
            let _ = timeout(self.timing.report, self.changed.notified()).await;
            sleep(Duration::from_millis(300)).await;
            self.awake().await;
            self.check_lease();
            let sent = Instant::now();
            let report = self.report();
            let reports_to = self.inner.lock().unwrap().reports_to;
            let (_, address) = &self.nodes[reports_to % self.nodes.len()];
            let request = Request {
                address: address.clone(),
                method: Method::POST,
                path: "/hello".into(),
                body: serde_json::to_vec(&report).unwrap().into(),
                timeout: Duration::from_secs(4),
                one_of_many: false,
            };
            let answer = self.port.send(request).await;
            self.awake().await;
            // If it hung meanwhile, an answer as late as that counts for nothing.
            let answer = answer.ok().filter(|_| sent.elapsed() < Duration::from_secs(4));
            self.check_lease();
            match answer {
                Some(r) if r.status == 200 => {
                    let orders: Orders = serde_json::from_slice(&r.body).unwrap();
                    let mut inner = self.inner.lock().unwrap();
                    if orders.token >= inner.token && report.session == inner.session {
                        if orders.token > inner.token {
                            self.changed.notify_one();
                        }
                        inner.token = orders.token;
                        inner.renewed = sent;
                        self.execute(&mut inner, &orders.orders);
                    }
                }
                Some(r) if r.status == 421 => {
                    let redirect: Redirect = serde_json::from_slice(&r.body).unwrap_or_default();
                    let named = redirect
                        .report_to
                        .and_then(|host| self.nodes.iter().position(|(name, _)| *name == host));
                    match named.filter(|n| *n != reports_to) {
                        Some(n) => {
                            self.inner.lock().unwrap().reports_to = n;
                            self.changed.notify_one();
                        }
                        None => self.next_node(reports_to).await,
                    }
                }
                _ => self.next_node(reports_to).await,
            }
        }
    }

    async fn next_node(&self, reports_to: usize) {
        sleep(Duration::from_secs(1)).await;
        self.inner.lock().unwrap().reports_to = (reports_to + 1) % self.nodes.len();
        self.changed.notify_one();
    }

    fn execute(&self, inner: &mut Inner, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.begin(inner, task, *attempt),
                Order::Kill { task, attempt, grace_s } => {
                    if let Some(t) = inner.tasks.get_mut(task)
                        && t.attempt == *attempt
                        && t.state != TaskState::Exited
                    {
                        self.kill(task, t, Duration::from_secs_f64(*grace_s));
                    }
                }
                Order::Clear { task, attempt } => {
                    let exited = inner
                        .tasks
                        .get(task)
                        .is_some_and(|t| t.attempt == *attempt && t.state == TaskState::Exited);
                    if exited {
                        inner.tasks.remove(task);
                    }
                }
            }
        }
    }

    /// Ends a task, or has it save first if it is given the time for that.
    fn kill(&self, name: &str, task: &mut Task, grace: Duration) {
        let saves = self.saves(name).filter(|saves| grace >= saves.time);
        if task.state == TaskState::Saving && grace > Duration::ZERO {
            return;
        }
        if let Some(work) = task.work.take() {
            work.abort();
        }
        self.changed.notify_one();
        if let (Some(saves), Some((since, before)), TaskState::Running) = (saves, task.began, task.state) {
            let (me, name, attempt) = (self.own.upgrade().unwrap(), name.to_string(), task.attempt);
            let progress = before + since.elapsed();
            task.state = TaskState::Saving;
            task.work = Some(tokio::spawn(async move { me.save(name, attempt, saves, progress).await }));
            return;
        }
        task.state = TaskState::Exited;
        task.why = Some(ExitReason::Stopped);
        self.referee.ended(name, &self.machine);
    }

    async fn save(&self, name: String, attempt: u64, saves: Saves, progress: Duration) {
        sleep(saves.time).await;
        self.awake().await;
        self.timing.saved.lock().unwrap().insert(name.clone(), progress);
        self.referee.ended(&name, &self.machine);
        let mut inner = self.inner.lock().unwrap();
        if let Some(task) = inner.tasks.get_mut(&name).filter(|t| t.attempt == attempt) {
            task.saved = Some(true);
        }
        drop(inner);
        self.set(&name, attempt, TaskState::Exited, Some(ExitReason::Stopped));
    }

    fn saves(&self, name: &str) -> Option<Saves> {
        let (job, _) = name.rsplit_once('/')?;
        self.timing.saves.get(job).copied()
    }

    /// Runs a task to its end from what was saved of it, saving by itself.
    async fn run_saving(&self, name: &str, attempt: u64, saves: Saves, total: Duration) {
        let mut progress = self.timing.saved.lock().unwrap().get(name).copied().unwrap_or_default();
        if let Some(task) = self.inner.lock().unwrap().tasks.get_mut(name).filter(|t| t.attempt == attempt) {
            task.began = Some((Instant::now(), progress));
        }
        while progress < total {
            let step = saves.interval.min(total - progress);
            self.run_for(step).await;
            progress += step;
            self.timing.saved.lock().unwrap().insert(name.to_string(), progress);
        }
    }

    fn begin(&self, inner: &mut Inner, name: &str, attempt: u64) {
        if let Some(old) = inner.tasks.get(name) {
            if old.attempt != attempt {
                self.referee.note(format!("{name} started on {} with another attempt", self.machine));
            }
            return;
        }
        let (me, task) = (self.own.upgrade().unwrap(), name.to_string());
        let work = tokio::spawn(async move { me.work(task, attempt).await });
        let task = Task {
            attempt,
            state: TaskState::Fetching,
            why: None,
            work: Some(work),
            began: None,
            saved: None,
        };
        inner.tasks.insert(name.into(), task);
        self.changed.notify_one();
    }

    async fn work(&self, name: String, attempt: u64) {
        self.run_for(self.timing.fetch).await;
        let job = name.rsplit_once('/').unwrap().0.to_string();
        self.set(&name, attempt, TaskState::Running, None);
        self.referee.started(&name, attempt, &self.machine);
        if self.timing.fails.contains(&job) {
            sleep(Duration::from_millis(200)).await;
            self.referee.ended(&name, &self.machine);
            self.set(&name, attempt, TaskState::Exited, Some(ExitReason::Error));
            return;
        }
        let named = self.timing.runs.get(&job).copied();
        let usual = named.unwrap_or(Duration::from_secs(10));
        let index: u32 = name.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        let total =
            if self.timing.per_task && named.is_some() { usual / 2 + usual * 2 * index } else { usual };
        match self.saves(&name) {
            Some(saves) => self.run_saving(&name, attempt, saves, total).await,
            None => self.run_for(total).await,
        }
        self.referee.ended(&name, &self.machine);
        self.set(&name, attempt, TaskState::Exited, Some(ExitReason::Done));
    }

    fn set(&self, name: &str, attempt: u64, state: TaskState, why: Option<ExitReason>) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(task) = inner.tasks.get_mut(name).filter(|t| t.attempt == attempt) {
            task.state = state;
            task.why = why;
            self.changed.notify_one();
        }
    }
}

#[async_trait]
impl Handler for FakeWorker {
    async fn handle(&self, _: &str, method: Method, path: &str, body: &[u8]) -> Response {
        let orders = (method == Method::POST && path == "/do").then(|| body.to_vec());
        if self.inner.lock().unwrap().hangs.is_none_or(|until| until <= Instant::now()) {
            return self.answer(orders);
        }
        // What reaches a machine that hangs is carried out when it goes on,
        // whether anybody still waits for the answer or not.
        let Some(me) = self.own.upgrade() else { return self.answer(orders) };
        let later = tokio::spawn(async move {
            me.awake().await;
            me.answer(orders)
        });
        later.await.unwrap()
    }
}

impl FakeWorker {
    fn answer(&self, orders: Option<Vec<u8>>) -> Response {
        self.check_lease();
        let mut status = 200;
        if let Some(body) = orders {
            let Ok(orders) = serde_json::from_slice::<DirectOrders>(&body) else {
                return Response { status: 400, body: json!({}).to_string().into_bytes().into() };
            };
            let mut inner = self.inner.lock().unwrap();
            if inner.dead || orders.token < inner.token || orders.session != inner.session {
                status = 409;
            } else {
                if orders.token > inner.token {
                    self.changed.notify_one();
                }
                inner.token = orders.token;
                self.execute(&mut inner, &orders.orders);
            }
        }
        Response { status, body: serde_json::to_vec(&self.report()).unwrap().into() }
    }
}
