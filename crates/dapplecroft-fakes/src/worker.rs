//! An in-memory worker agent: it sends heartbeats, loses its tasks when its lease
//! expires, and simulates running tasks with checkpoints. Tests can make its
//! machine hang, restart, receive a preemption notice or be destroyed.

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

/// How long after the end of its lease the agent checks for expiry. The lease
/// counts as expired only once more than its full time has passed.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(1);

/// Timing of a worker agent and of the tasks it runs.
#[derive(Debug, Clone)]
pub struct WorkerTiming {
    /// Interval between heartbeats.
    pub report: Duration,
    /// Duration of the agent's lease: how long it keeps its tasks after it sent the
    /// last heartbeat that was answered.
    pub lease: Duration,
    /// How long it takes to pull a task's image.
    pub fetch: Duration,
    /// How long each task runs, by job; tasks of other jobs run for 10 s.
    pub runs: BTreeMap<String, Duration>,
    /// Jobs whose tasks exit with an error shortly after their start.
    pub fails: Vec<String>,
    /// Whether task n of a job in `runs` runs for 2n + 0.5 times the job's run time, so
    /// that the job's tasks exit far apart in time.
    pub per_task: bool,
    /// Checkpoint policy, by job; tasks of other jobs never write checkpoints.
    pub saves: BTreeMap<String, Saves>,
    /// Progress stored in each task's last checkpoint, by task. All machines share it,
    /// as they would share durable storage.
    pub saved: Arc<Mutex<BTreeMap<String, Duration>>>,
}

/// How a job's tasks write checkpoints.
#[derive(Debug, Clone, Copy)]
pub struct Saves {
    /// Run time between two periodic checkpoints.
    pub interval: Duration,
    /// How long the final checkpoint of a task that is stopped takes. It is written
    /// only if the task's grace period is at least this long.
    pub time: Duration,
}

/// A task on the machine, from its start command until it is cleared after its exit.
struct Task {
    attempt: u64,
    state: TaskState,
    exit_reason: Option<ExitReason>,
    /// The tokio task that simulates the run or the final checkpoint.
    runner: Option<JoinHandle<()>>,
    /// When a task with checkpoints started to run, and the progress that it resumed from.
    running_since: Option<(Instant, Duration)>,
    /// `Some(true)` once the final checkpoint is written.
    checkpointed: Option<bool>,
}

struct Inner {
    tasks: BTreeMap<String, Task>,
    /// Number of the agent's session: it increases when the machine restarts and when
    /// the lease expires.
    epoch: u64,
    /// Number of the last report.
    sequence: u64,
    /// The highest fencing token accepted from a controller; commands with a lower one
    /// are rejected.
    fencing_token: u64,
    lease_renewed_at: Instant,
    /// When the cloud has announced to preempt the machine.
    preemption_at: Option<Instant>,
    /// Index of the controller that heartbeats are sent to.
    heartbeat_target: usize,
    destroyed: bool,
    /// When the machine stops hanging; in the past or `None` if it does not hang.
    hung_until: Option<Instant>,
    /// Sum of the durations that the machine was made to hang for so far.
    hung_total: Duration,
}

/// An in-memory worker agent on one machine.
pub struct FakeWorker {
    /// The machine's name.
    pub machine: String,
    /// Address that the agent listens on.
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
    /// Wakes the heartbeat loop to send the next heartbeat early.
    status_changed: Notify,
    weak_self: Weak<FakeWorker>,
    background_tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl FakeWorker {
    /// Starts an agent that sends heartbeats to one of the controllers (given by name
    /// and address) and registers it at its address in the network.
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

    /// Destroys the machine: the agent stops and all its tasks are gone.
    pub fn destroy(&self) {
        self.net.remove(&self.address);
        self.background_tasks.lock().unwrap().drain(..).for_each(|runner| runner.abort());
        let mut inner = self.inner.lock().unwrap();
        inner.destroyed = true;
        self.drop_all_tasks(&mut inner);
    }

    /// Restarts the machine without any downtime: its tasks are gone and the agent
    /// begins a new session.
    pub fn blink(&self) {
        let mut inner = self.inner.lock().unwrap();
        self.drop_all_tasks(&mut inner);
        inner.epoch += 1;
        inner.lease_renewed_at = Instant::now();
        self.status_changed.notify_one();
    }

    /// Makes the machine hang for a time. Its tasks then continue where they stopped,
    /// unless the lease has expired by then. Requests that arrive meanwhile are handled
    /// when the machine resumes.
    pub fn hang(&self, time: Duration) {
        let mut inner = self.inner.lock().unwrap();
        inner.hung_until = Some(Instant::now() + time);
        inner.hung_total += time;
    }

    /// Waits until the machine no longer hangs.
    async fn wait_while_hung(&self) {
        loop {
            let hung_until = self.inner.lock().unwrap().hung_until;
            match hung_until.filter(|until| *until > Instant::now()) {
                Some(until) => sleep_until(until).await,
                None => return,
            }
        }
    }

    /// Waits until the machine has run for this long, not counting the time it hangs.
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

    /// Gives the machine a spot preemption notice: the cloud will preempt it in this
    /// many seconds. The agent only reports the notice; the machine is not removed.
    pub fn notice(&self, seconds: f64) {
        self.inner.lock().unwrap().preemption_at = Some(Instant::now() + Duration::from_secs_f64(seconds));
        self.status_changed.notify_one();
    }

    /// Returns the number of the agent's current session.
    pub fn session(&self) -> u64 {
        self.inner.lock().unwrap().epoch
    }

    /// Returns the highest fencing token that the agent has accepted.
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

    /// If the lease has expired, drops all tasks and begins a new session.
    fn expire_lease_if_due(&self) {
        let mut inner = self.inner.lock().unwrap();
        if inner.lease_renewed_at.elapsed() > self.timing.lease {
            self.drop_all_tasks(&mut inner);
            inner.epoch += 1;
            inner.lease_renewed_at = Instant::now();
        }
    }

    /// Drops the tasks as soon as the lease expires, without waiting for a heartbeat or
    /// a command.
    async fn lease_expiry_loop(&self) {
        loop {
            let end = self.inner.lock().unwrap().lease_renewed_at + self.timing.lease + LEASE_EXPIRY_MARGIN;
            sleep_until(end).await;
            self.expire_lease_if_due();
        }
    }
}
