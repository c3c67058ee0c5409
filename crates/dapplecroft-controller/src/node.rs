//! One controller: the core behind a lock, its clients, and request handling.

use crate::cells::Cells;
use crate::core::{Core, HeartbeatOutcome, Wakeups};
use crate::options::Options;
use crate::peers::Peers;
use bytes::Bytes;
use dapplecroft_cloud::CloudClient;
use dapplecroft_federation::SummaryBook;
use dapplecroft_net::Transport;
use dapplecroft_state::{Committer, StateClient};
use dapplecroft_wire::settings::Settings;
use dapplecroft_wire::users::ErrorBody;
use dapplecroft_wire::workers::{Heartbeat, HeartbeatHead, Redirect};
use http::Method;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use std::collections::BTreeSet;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinSet;

/// What a controller is put together from.
pub struct Parts {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The operators' settings.
    pub options: Options,
    /// The identity of this process: another one at every start.
    pub identity: String,
    /// Carries requests to outside systems.
    pub transport: Arc<dyn Transport>,
    /// The other controllers.
    pub peers: Arc<dyn Peers>,
    /// Other cells.
    pub cells: Arc<dyn Cells>,
    /// The time of day.
    pub wall: fn() -> SystemTime,
    /// Seed of what little chance there is (who stands for election when).
    pub seed: u64,
}

/// An answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// JSON body.
    pub body: Vec<u8>,
    /// Value of `Retry-After`.
    pub retry_after: Option<u32>,
}

impl Reply {
    pub(crate) fn json<T: Serialize>(status: u16, body: &T) -> Reply {
        Reply { status, body: serde_json::to_vec(body).unwrap_or_default(), retry_after: None }
    }

    pub(crate) fn problem(status: u16, error: &str) -> Reply {
        Reply::json(status, &ErrorBody { error: error.to_string() })
    }

    pub(crate) fn busy(error: &str, retry_after: u32) -> Reply {
        Reply { retry_after: Some(retry_after), ..Reply::problem(503, error) }
    }
}

/// A question whether a key still has a version, and where the answer goes.
pub(crate) struct Question {
    pub key: String,
    pub version: u64,
    pub reply: oneshot::Sender<Answered>,
}

/// What became of a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answered {
    /// It was so when asked.
    Confirmed,
    /// It was not, and has been read again.
    Renewed,
    /// The state service could not be asked.
    Unavailable,
}

/// One controller.
pub struct Node {
    pub(crate) settings: Arc<Settings>,
    pub(crate) options: Options,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) peers: Arc<dyn Peers>,
    pub(crate) cells: Arc<dyn Cells>,
    pub(crate) state: Arc<StateClient>,
    pub(crate) cloud: CloudClient,
    pub(crate) committer: Committer,
    pub(crate) wall: fn() -> SystemTime,
    pub(crate) seed: u64,
    core: Mutex<Core>,
    tasks: Mutex<JoinSet<()>>,
    pub(crate) questions: Mutex<Vec<Question>>,
    pub(crate) wake_questions: Notify,
    pub(crate) wake_place: Notify,
    pub(crate) wake_flush: Notify,
    pub(crate) wake_command: Notify,
    pub(crate) wake_role: Notify,
    pub(crate) wake_heartbeat: Notify,
    pub(crate) wake_fleet: Notify,
    pub(crate) wake_federation: Notify,
    pub(crate) wake_admission: Notify,
    pub(crate) wake_end: Notify,
    pub(crate) to_command: Mutex<BTreeSet<Arc<str>>>,
    pub(crate) requests: AtomicUsize,
    /// The peer that answers users for this node, while this node alone is out
    /// of contact with the state service.
    pub(crate) helper: Mutex<Option<usize>>,
    /// Whether nobody is known to reach the state service.
    pub(crate) shared_outage: AtomicBool,
    /// Changes a second left to the leader, and until when.
    pub(crate) lent: Mutex<Option<(f64, Instant)>>,
    /// Changes a second that other nodes leave to this one, and until when.
    pub(crate) borrowed: Mutex<Option<(f64, Instant)>>,
    pub(crate) consulting: AtomicBool,
    /// How many silent machines the others were asked about so far.
    pub(crate) consulted: AtomicUsize,
    /// What other cells have told of themselves.
    pub(crate) summaries: Mutex<SummaryBook>,
    /// How many requests of other cells are being worked on.
    pub(crate) exchanging: AtomicUsize,
    /// When the state service last answered this node's lease renewal.
    pub(crate) touched: Mutex<Option<Instant>>,
    /// Since when the copy of the records is known to show all that was committed.
    pub(crate) caught_up_since: tokio::sync::Mutex<Option<Instant>>,
    /// How many refusals wait for that.
    pub(crate) catching_up: Mutex<usize>,
    /// What little chance there is in answers to users.
    pub(crate) random: Mutex<StdRng>,
}

/// The steady clock; tests stop and move it.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Units waiting to be committed beyond which new ones are refused.
const MAX_WAITING_UNITS: usize = 1000;

impl Node {
    /// Puts a controller together; [`Node::run`] sets it going.
    pub fn new(parts: Parts) -> Arc<Node> {
        let settings = parts.settings;
        let params = &settings.params;
        let nodes = f64::from(params.nodes);
        // The limits are the service's, for all nodes together; what one node
        // leaves unused of its part absorbs the others' bursts.
        let state = StateClient::new(
            parts.transport.clone(),
            settings.services.state.to_string(),
            params.state.rps / nodes,
            (params.state.write_rps / nodes).max(2.0),
        );
        let cloud = CloudClient::new(
            parts.transport.clone(),
            settings.services.cloud.to_string(),
            params.cloud.rps * 0.8,
        );
        Arc::new(Node {
            committer: Committer::new(params.state.txn_ops, MAX_WAITING_UNITS),
            core: Mutex::new(Core::new(settings.clone(), parts.options.clone(), parts.identity)),
            settings,
            options: parts.options,
            transport: parts.transport,
            peers: parts.peers,
            cells: parts.cells,
            state: Arc::new(state),
            cloud,
            wall: parts.wall,
            seed: parts.seed,
            tasks: Mutex::default(),
            questions: Mutex::default(),
            wake_questions: Notify::new(),
            wake_place: Notify::new(),
            wake_flush: Notify::new(),
            wake_command: Notify::new(),
            wake_role: Notify::new(),
            wake_heartbeat: Notify::new(),
            wake_fleet: Notify::new(),
            wake_federation: Notify::new(),
            wake_admission: Notify::new(),
            wake_end: Notify::new(),
            to_command: Mutex::default(),
            requests: AtomicUsize::new(0),
            helper: Mutex::default(),
            shared_outage: AtomicBool::new(false),
            lent: Mutex::default(),
            borrowed: Mutex::default(),
            consulting: AtomicBool::new(false),
            consulted: AtomicUsize::new(0),
            summaries: Mutex::default(),
            exchanging: AtomicUsize::new(0),
            touched: Mutex::default(),
            caught_up_since: tokio::sync::Mutex::default(),
            catching_up: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(parts.seed)),
        })
    }

    /// Works with the core, and wakes the loops that have something to do then.
    /// The lock is never held across a wait.
    pub fn with<R>(&self, work: impl FnOnce(&mut Core) -> R) -> R {
        let (result, wakeups) = {
            let mut core = lock(&self.core);
            let result = work(&mut core);
            (result, core.take_wakeups())
        };
        self.wake(wakeups);
        result
    }

    fn wake(&self, wakeups: Wakeups) {
        if wakeups.place {
            self.wake_place.notify_one();
        }
        if wakeups.commit {
            self.wake_flush.notify_one();
        }
        if wakeups.role {
            self.wake_role.notify_one();
            self.wake_admission.notify_one();
        }
        if wakeups.fleet {
            self.wake_fleet.notify_one();
        }
        if wakeups.federation {
            self.wake_federation.notify_waiters();
        }
        if wakeups.shutdown {
            self.wake_end.notify_one();
        }
        if !wakeups.command.is_empty() {
            lock(&self.to_command).extend(wakeups.command);
            self.wake_command.notify_one();
        }
    }

    /// The time of day in seconds since 1970. Nothing that must hold rests on it.
    pub(crate) fn wall_seconds(&self) -> f64 {
        (self.wall)().duration_since(SystemTime::UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
    }

    /// Starts a piece of work that ends with the process.
    pub(crate) fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(work);
    }

    /// Why this process must end, if it must.
    pub fn ended(&self) -> Option<String> {
        self.with(|core| core.shutdown_reason.clone())
    }

    /// Ends all work at once, as the end of the process would.
    pub fn kill(&self) {
        lock(&self.tasks).abort_all();
    }

    /// Answers a request to the address that users, workers and health checks use.
    pub async fn handle(self: &Arc<Self>, method: &Method, path: &str, body: Bytes) -> Reply {
        match (method, path) {
            (&Method::GET, "/up") => self.up(),
            (&Method::POST, "/hello") => self.handle_heartbeat(&body),
            _ => self.user_request(method, path, body).await,
        }
    }

    /// The answer to a request that can't be taken whatever it says, so that
    /// nothing of it need be read: after a restart all workers report at once,
    /// and again every few seconds until the records are known.
    pub fn refuse_unread(&self, path: &str) -> Option<Reply> {
        (path == "/hello" && !self.with(|core| core.loaded)).then(|| Reply::busy("not ready", 1))
    }

    /// A node that has not read the records yet is of no use while others are,
    /// but in an outage that all share it stays in service: coming back costs
    /// users longer than the refusals that they get meanwhile.
    fn up(&self) -> Reply {
        let ready =
            self.with(|core| core.loaded && core.may_accept()) || self.shared_outage.load(Ordering::Relaxed);
        if ready { Reply::json(200, &serde_json::json!({"up": true})) } else { Reply::busy("not ready", 1) }
    }

    fn handle_heartbeat(&self, body: &[u8]) -> Reply {
        // Most of a report is its tasks: they are read only if they are needed.
        if let Ok(head) = serde_json::from_slice::<HeartbeatHead>(body)
            && let Some(answer) = self.with(|core| core.not_taken(&head, now()))
        {
            return answer_heartbeat(answer);
        }
        let report: Heartbeat = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(error) => {
                tracing::warn!(%error, "an unreadable report");
                return Reply::problem(400, "unreadable report");
            }
        };
        answer_heartbeat(self.with(|core| core.handle_heartbeat(&report, now())))
    }
}

fn answer_heartbeat(answer: HeartbeatOutcome) -> Reply {
    match answer {
        HeartbeatOutcome::Reply(commands) => Reply::json(200, &commands),
        HeartbeatOutcome::Redirect(report_to) => Reply::json(421, &Redirect { report_to }),
        HeartbeatOutcome::Unavailable => Reply::busy("holder unknown", 1),
    }
}

/// A lock that a panic elsewhere does not spoil.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
