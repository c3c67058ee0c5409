//! An in-memory worker agent: it sends heartbeats with status, holds a lease
//! and an agent epoch, runs tasks with checkpoints, and can hang, restart or
//! be destroyed on demand.

use crate::invariants::InvariantChecker;
use crate::net::Net;
use dapplecroft_net::Transport;
use dapplecroft_wire::workers::{ExitReason, TaskState};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

mod handler;
mod heartbeat;
mod tasks;

/// How long after its lease ends the agent drops its tasks: the lease counts
/// as expired only once its time has fully passed.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(1);

/// Timing of a worker agent and of the tasks it runs.
#[derive(Debug, Clone)]
pub struct WorkerTiming {
    /// Interval between heartbeats.
    pub report: Duration,
    /// Lease: how long the agent keeps its tasks without an answered heartbeat.
    pub lease: Duration,
    /// How long pulling a task's image takes.
    pub fetch: Duration,
    /// How long a task of a job runs; jobs not named run for 10 s.
    pub runs: BTreeMap<String, Duration>,
    /// Jobs whose tasks fail.
    pub fails: Vec<String>,
    /// Whether task n of a job that is named runs for 2n + 0.5 times as long, so
    /// that they end far apart.
    pub per_task: bool,
    /// Checkpoint policy by job; tasks of jobs not named never checkpoint.
    pub saves: BTreeMap<String, Saves>,
    /// Checkpointed progress by task; shared by all machines, as durable
    /// storage would be.
    pub saved: Arc<Mutex<BTreeMap<String, Duration>>>,
}

/// How a job's tasks write checkpoints.
#[derive(Debug, Clone, Copy)]
pub struct Saves {
    /// Progress between two periodic checkpoints.
    pub interval: Duration,
    /// How long a final checkpoint takes when the task is stopped.
    pub time: Duration,
}

struct Task {
    attempt: u64,
    state: TaskState,
    exit_reason: Option<ExitReason>,
    runner: Option<JoinHandle<()>>,
    /// Since when it runs, and the progress that it began with.
    running_since: Option<(Instant, Duration)>,
    checkpointed: Option<bool>,
}

struct Inner {
    tasks: BTreeMap<String, Task>,
    epoch: u64,
    sequence: u64,
    fencing_token: u64,
    lease_renewed_at: Instant,
    preemption_at: Option<Instant>,
    heartbeat_target: usize,
    destroyed: bool,
    /// Until when the machine hangs.
    hung_until: Option<Instant>,
    /// For how long it has been made to hang so far, in all.
    hung_total: Duration,
}

/// An in-memory worker agent on one machine.
pub struct FakeWorker {
    /// The machine's name.
    pub machine: String,
    /// Where it listens.
    pub address: String,
    machine_type: String,
    zone: String,
    spot: bool,
    timing: WorkerTiming,
    controllers: Vec<(String, String)>,
    transport: Arc<dyn Transport>,
    net: Arc<Net>,
    checker: Arc<InvariantChecker>,
    inner: Mutex<Inner>,
    status_changed: Notify,
    weak_self: Weak<FakeWorker>,
    background_tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl FakeWorker {
    /// Starts an agent that sends heartbeats to these controllers (name and
    /// address), serving its address on the network.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        net: &Arc<Net>,
        checker: &Arc<InvariantChecker>,
        controllers: &[(String, String)],
        timing: &WorkerTiming,
        machine: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) -> Arc<FakeWorker> {
        let address = format!("w:{machine}");
        let worker = Arc::new_cyclic(|weak_self| FakeWorker {
            machine: machine.into(),
            address: address.clone(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            timing: timing.clone(),
            controllers: controllers.to_vec(),
            transport: net.port(machine),
            net: net.clone(),
            checker: checker.clone(),
            inner: Mutex::new(Inner {
                tasks: BTreeMap::new(),
                epoch: 1,
                sequence: 0,
                fencing_token: 0,
                lease_renewed_at: Instant::now(),
                preemption_at: None,
                heartbeat_target: 0,
                destroyed: false,
                hung_until: None,
                hung_total: Duration::ZERO,
            }),
            status_changed: Notify::new(),
            weak_self: weak_self.clone(),
            background_tasks: Mutex::default(),
        });
        net.serve(&address, worker.clone());
        let heartbeat_sender = worker.clone();
        let lease_watcher = worker.clone();
        *worker.background_tasks.lock().unwrap() = vec![
            tokio::spawn(async move { heartbeat_sender.heartbeat_loop().await }),
            tokio::spawn(async move { lease_watcher.lease_expiry_loop().await }),
        ];
        worker
    }

    /// The machine and all its tasks are gone; the agent stops.
    pub fn destroy(&self) {
        self.net.remove(&self.address);
        self.background_tasks.lock().unwrap().drain(..).for_each(|runner| runner.abort());
        let mut inner = self.inner.lock().unwrap();
        inner.destroyed = true;
        self.drop_all_tasks(&mut inner);
    }

    /// The machine restarts at once: its tasks are gone and the agent begins a
    /// new epoch.
    pub fn blink(&self) {
        let mut inner = self.inner.lock().unwrap();
        self.drop_all_tasks(&mut inner);
        inner.epoch += 1;
        inner.lease_renewed_at = Instant::now();
        self.status_changed.notify_one();
    }

    /// The machine hangs for so long and then goes on where it was, unless its
    /// lease has ended by then. What arrives meanwhile is taken up afterwards.
    pub fn hang(&self, time: Duration) {
        let mut inner = self.inner.lock().unwrap();
        inner.hung_until = Some(Instant::now() + time);
        inner.hung_total += time;
    }

    /// Waits while the machine hangs.
    async fn wait_while_hung(&self) {
        loop {
            let hung_until = self.inner.lock().unwrap().hung_until;
            match hung_until.filter(|until| *until > Instant::now()) {
                Some(until) => sleep_until(until).await,
                None => return,
            }
        }
    }

    /// Runs for so long, not counting what the machine hangs.
    async fn run_for(&self, time: Duration) {
        let hung = || self.inner.lock().unwrap().hung_total;
        let mut hung_total_counted = hung();
        sleep(time).await;
        self.wait_while_hung().await;
        while hung() > hung_total_counted {
            let newly_hung = hung() - hung_total_counted;
            hung_total_counted += newly_hung;
            sleep(newly_hung).await;
            self.wait_while_hung().await;
        }
    }

    /// The cloud preempts the machine in so many seconds (spot notice).
    pub fn notice(&self, seconds: f64) {
        self.inner.lock().unwrap().preemption_at = Some(Instant::now() + Duration::from_secs_f64(seconds));
        self.status_changed.notify_one();
    }

    /// The agent's epoch (incarnation).
    pub fn session(&self) -> u64 {
        self.inner.lock().unwrap().epoch
    }

    /// The highest fencing token that the agent has accepted.
    pub fn token(&self) -> u64 {
        self.inner.lock().unwrap().fencing_token
    }

    fn drop_all_tasks(&self, inner: &mut Inner) {
        for (name, task) in std::mem::take(&mut inner.tasks) {
            if let Some(runner) = task.runner {
                runner.abort();
            }
            self.checker.ended(&name, &self.machine);
        }
    }

    fn expire_lease_if_due(&self) {
        let mut inner = self.inner.lock().unwrap();
        if inner.lease_renewed_at.elapsed() > self.timing.lease {
            self.drop_all_tasks(&mut inner);
            inner.epoch += 1;
            inner.lease_renewed_at = Instant::now();
        }
    }

    /// Ends its tasks at the very moment at which its lease ends.
    async fn lease_expiry_loop(&self) {
        loop {
            let end = self.inner.lock().unwrap().lease_renewed_at + self.timing.lease + LEASE_EXPIRY_MARGIN;
            sleep_until(end).await;
            self.expire_lease_if_due();
        }
    }
}
