//! One controller: its scheduling core behind a lock, its clients of other systems, and its request
//! handling.

use crate::cells::CellClient;
use crate::core::{Core, HeartbeatOutcome, Wakeups};
use crate::options::Options;
use crate::peers::Peers;
use bytes::Bytes;
use dapplecroft_cloud::CloudClient;
use dapplecroft_federation::PeerSummaries;
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

/// Settings and dependencies of a controller.
pub struct NodeConfig {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The operators' settings.
    pub options: Options,
    /// The identity of this process; different at every start.
    pub identity: String,
    /// Transport for HTTP requests to the state service, the cloud and the workers.
    pub transport: Arc<dyn Transport>,
    /// Client of the other controllers of this cell.
    pub peers: Arc<dyn Peers>,
    /// Client of the other cells of the federation.
    pub cells: Arc<dyn CellClient>,
    /// Source of the time of day.
    pub wall_clock: fn() -> SystemTime,
    /// Seed of the random numbers, such as the delay before standing for election.
    pub seed: u64,
}

/// Response to an HTTP request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header in seconds.
    pub retry_after: Option<u32>,
}

impl Reply {
    pub(crate) fn json<T: Serialize>(status: u16, body: &T) -> Reply {
        Reply { status, body: serde_json::to_vec(body).unwrap_or_default(), retry_after: None }
    }

    pub(crate) fn problem(status: u16, error: &str) -> Reply {
        Reply::json(status, &ErrorBody { error: error.to_string() })
    }

    pub(crate) fn unavailable(error: &str, retry_after: u32) -> Reply {
        Reply { retry_after: Some(retry_after), ..Reply::problem(503, error) }
    }
}

/// A request to check with the state service whether a key still has a version.
pub(crate) struct VersionCheck {
    pub key: String,
    pub version: u64,
    pub reply: oneshot::Sender<VersionCheckResult>,
}

/// Result of a version check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VersionCheckResult {
    /// The key had this version when the state service was asked.
    Confirmed,
    /// The key had another version; its record has been read again.
    Refreshed,
    /// The state service did not answer.
    Unavailable,
}

/// One controller.
pub struct Node {
    pub(crate) settings: Arc<Settings>,
    pub(crate) options: Options,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) peers: Arc<dyn Peers>,
    pub(crate) cells: Arc<dyn CellClient>,
    pub(crate) state: Arc<StateClient>,
    pub(crate) cloud: CloudClient,
    pub(crate) committer: Committer,
    pub(crate) wall_clock: fn() -> SystemTime,
    pub(crate) seed: u64,
    core: Mutex<Core>,
    background_tasks: Mutex<JoinSet<()>>,
    pub(crate) version_checks: Mutex<Vec<VersionCheck>>,
    pub(crate) wake_version_checks: Notify,
    pub(crate) wake_place: Notify,
    pub(crate) wake_flush: Notify,
    pub(crate) wake_command: Notify,
    pub(crate) wake_role: Notify,
    pub(crate) wake_heartbeat: Notify,
    pub(crate) wake_fleet: Notify,
    pub(crate) wake_federation: Notify,
    pub(crate) wake_admission: Notify,
    pub(crate) wake_shutdown: Notify,
    pub(crate) machines_to_command: Mutex<BTreeSet<Arc<str>>>,
    pub(crate) active_user_requests: AtomicUsize,
    /// Index of the peer to which users' requests are forwarded while only this controller has lost contact
    /// with the state service.
    pub(crate) forwarding_peer: Mutex<Option<usize>>,
    /// Whether this controller has lost the state service and knows no peer that still reaches it.
    pub(crate) shared_outage: AtomicBool,
    /// Writes per second that this controller lends to the leader, and until when.
    pub(crate) lent_write_rate: Mutex<Option<(f64, Instant)>>,
    /// Writes per second that other controllers lend to this one, and until when.
    pub(crate) borrowed_write_rate: Mutex<Option<(f64, Instant)>>,
    pub(crate) peer_probe_running: AtomicBool,
    /// Number of silent machines that peers have been asked to probe so far; determines which ones are
    /// next.
    pub(crate) peer_probe_count: AtomicUsize,
    /// Summaries that other cells have sent of their state.
    pub(crate) summaries: Mutex<PeerSummaries>,
    /// Number of requests from other cells that are being handled.
    pub(crate) active_cell_requests: AtomicUsize,
    /// When the last lease renewal that the state service answered was sent.
    pub(crate) lease_renewed_at: Mutex<Option<Instant>>,
    /// The time as of which the record replica is known to contain everything that had been committed.
    pub(crate) caught_up_as_of: tokio::sync::Mutex<Option<Instant>>,
    /// Number of refusals that wait for the record replica to catch up.
    pub(crate) refusals_awaiting_catch_up: Mutex<usize>,
    /// Random numbers for answers to users, such as the time after which to retry.
    pub(crate) rng: Mutex<StdRng>,
}

/// The monotonic clock; tests pause and advance it.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Maximum number of atomic updates waiting to be committed; further ones are refused.
const MAX_WAITING_UPDATES: usize = 1000;

impl Node {
    /// Creates a controller; [`Node::run`] starts it.
    pub fn new(config: NodeConfig) -> Arc<Node> {
        let settings = config.settings;
        let params = &settings.params;
        let nodes = f64::from(params.nodes);
        // The rate limits are those of the service, for all controllers together. Each controller gets an
        // equal part; what one leaves unused absorbs bursts of the others.
        let state = StateClient::new(
            config.transport.clone(),
            settings.services.state.to_string(),
            params.state.rps / nodes,
            (params.state.write_rps / nodes).max(2.0),
        );
        let cloud = CloudClient::new(
            config.transport.clone(),
            settings.services.cloud.to_string(),
            params.cloud.rps * 0.8,
        );
        Arc::new(Node {
            committer: Committer::new(params.state.txn_ops, MAX_WAITING_UPDATES),
            core: Mutex::new(Core::new(settings.clone(), config.options.clone(), config.identity)),
            settings,
            options: config.options,
            transport: config.transport,
            peers: config.peers,
            cells: config.cells,
            state: Arc::new(state),
            cloud,
            wall_clock: config.wall_clock,
            seed: config.seed,
            background_tasks: Mutex::default(),
            version_checks: Mutex::default(),
            wake_version_checks: Notify::new(),
            wake_place: Notify::new(),
            wake_flush: Notify::new(),
            wake_command: Notify::new(),
            wake_role: Notify::new(),
            wake_heartbeat: Notify::new(),
            wake_fleet: Notify::new(),
            wake_federation: Notify::new(),
            wake_admission: Notify::new(),
            wake_shutdown: Notify::new(),
            machines_to_command: Mutex::default(),
            active_user_requests: AtomicUsize::new(0),
            forwarding_peer: Mutex::default(),
            shared_outage: AtomicBool::new(false),
            lent_write_rate: Mutex::default(),
            borrowed_write_rate: Mutex::default(),
            peer_probe_running: AtomicBool::new(false),
            peer_probe_count: AtomicUsize::new(0),
            summaries: Mutex::default(),
            active_cell_requests: AtomicUsize::new(0),
            lease_renewed_at: Mutex::default(),
            caught_up_as_of: tokio::sync::Mutex::default(),
            refusals_awaiting_catch_up: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(config.seed)),
        })
    }

    /// Runs `work` on the locked core, then wakes the loops that have something to do. The lock is never
    /// held across an `await`.
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
            self.wake_shutdown.notify_one();
        }
        if !wakeups.command.is_empty() {
            lock(&self.machines_to_command).extend(wakeups.command);
            self.wake_command.notify_one();
        }
    }

    /// The time of day in seconds since 1970. Correctness must not depend on it.
    pub(crate) fn wall_seconds(&self) -> f64 {
        (self.wall_clock)().duration_since(SystemTime::UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
    }

    /// Starts a background task that is aborted by [`Node::kill`].
    pub(crate) fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let mut background_tasks = lock(&self.background_tasks);
        while background_tasks.try_join_next().is_some() {}
        background_tasks.spawn(work);
    }

    /// Why this process must exit, if it must.
    pub fn shutdown_reason(&self) -> Option<String> {
        self.with(|core| core.shutdown_reason.clone())
    }

    /// Aborts all background tasks at once, as the end of the process would.
    pub fn kill(&self) {
        lock(&self.background_tasks).abort_all();
    }

    /// Answers an HTTP request from a user, a worker or a health check.
    pub async fn handle(self: &Arc<Self>, method: &Method, path: &str, body: Bytes) -> Reply {
        match (method, path) {
            (&Method::GET, "/up") => self.health_reply(),
            (&Method::POST, "/hello") => self.handle_heartbeat(&body),
            _ => self.handle_user_request(method, path, body).await,
        }
    }

    /// The refusal of a request that cannot be handled whatever its body says, so that the body need not be
    /// read. After a restart all workers report at once, and again every few seconds until the records have
    /// been loaded.
    pub fn reject_without_reading(&self, path: &str) -> Option<Reply> {
        (path == "/hello" && !self.with(|core| core.loaded)).then(|| Reply::unavailable("not ready", 1))
    }

    /// Answers a health check. A controller that has not loaded the records is reported as not ready, so
    /// that requests go to the others. In an outage of the state service that all controllers share it
    /// stays in service: users would wait longer for its return to service than the refusals cost them
    /// meanwhile.
    fn health_reply(&self) -> Reply {
        let ready = self.with(|core| core.loaded && core.can_accept_submissions())
            || self.shared_outage.load(Ordering::Relaxed);
        if ready {
            Reply::json(200, &serde_json::json!({"up": true}))
        } else {
            Reply::unavailable("not ready", 1)
        }
    }

    fn handle_heartbeat(&self, body: &[u8]) -> Reply {
        // The tasks make up most of a heartbeat; they are parsed only if they are needed.
        if let Ok(head) = serde_json::from_slice::<HeartbeatHead>(body)
            && let Some(answer) = self.with(|core| core.reject_or_redirect(&head, now()))
        {
            return heartbeat_reply(answer);
        }
        let heartbeat: Heartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::warn!(%error, "heartbeat could not be parsed");
                return Reply::problem(400, "unreadable report");
            }
        };
        heartbeat_reply(self.with(|core| core.handle_heartbeat(&heartbeat, now())))
    }
}

fn heartbeat_reply(answer: HeartbeatOutcome) -> Reply {
    match answer {
        HeartbeatOutcome::Reply(commands) => Reply::json(200, &commands),
        HeartbeatOutcome::Redirect(report_to) => Reply::json(421, &Redirect { report_to }),
        HeartbeatOutcome::Unavailable => Reply::unavailable("holder unknown", 1),
    }
}

/// Locks a mutex, even if another thread panicked while holding it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
