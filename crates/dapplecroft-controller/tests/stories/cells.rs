//! Three federated cells, each with its own controllers, state service, cloud and workers, and the
//! network links between them.

use crate::cluster::{Cluster, RunningNodes, job};
use async_trait::async_trait;
use dapplecroft_controller::{CellClient, ExchangeError, Options};
use dapplecroft_fakes::{Stay, WorkerTiming};
use dapplecroft_federation::settings::{RawFederationSettings, RawPeerSettings};
use dapplecroft_federation::{FederationSettings, PeerCell};
use dapplecroft_wire::cells::{ExchangeReply, ExchangeRequest};
use http::Method;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Names of the cells, by cell number.
pub const CELL_NAMES: [&str; 3] = ["cell-a.example.org", "cell-b.example.org", "cell-c.example.org"];
/// Time after which a request without a reply fails.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Default)]
struct LinkState {
    /// Running controllers of each cell, by name of the cell.
    controllers: BTreeMap<String, RunningNodes>,
    /// Directions (from, to) in which all messages are lost.
    cut_links: BTreeSet<(usize, usize)>,
    /// Number of replies still to be lost, by (asking cell, answering cell).
    lost_replies: BTreeMap<(usize, usize), usize>,
    /// Delay of requests, by (asking cell, answering cell).
    delays: BTreeMap<(usize, usize), Duration>,
    /// Whether every request is delivered twice and recorded for a later redelivery.
    duplicates_requests: bool,
    /// Recorded requests: asking cell, answering cell, request.
    recorded_requests: Vec<(usize, usize, ExchangeRequest)>,
}

/// The network between cells, with faults that tests inject.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<LinkState>>);

/// Client with which the controllers of one cell send requests to other cells.
struct LinkedCellClient {
    links: Links,
    cell: usize,
}

/// Number of the cell with this name.
fn cell_index(name: &str) -> usize {
    CELL_NAMES.iter().position(|own| *own == name).unwrap()
}

/// Source address of the connections from a cell's controllers.
pub fn source_address(cell: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 100 + cell as u8, 0, 1))
}

impl Links {
    fn with_state<R>(&self, work: impl FnOnce(&mut LinkState) -> R) -> R {
        work(&mut self.0.lock().unwrap())
    }

    /// Loses all messages from one cell to another, both requests and replies.
    pub fn cut(&self, from: usize, to: usize) {
        self.with_state(|state| state.cut_links.insert((from, to)));
    }

    /// Removes all cuts, losses and delays.
    pub fn heal(&self) {
        self.with_state(|state| {
            state.cut_links.clear();
            state.lost_replies.clear();
            state.delays.clear();
        });
    }

    /// Loses the next `count` replies to requests that cell `from` sends to cell `to`.
    pub fn lose_answers(&self, from: usize, to: usize, count: usize) {
        self.with_state(|state| state.lost_replies.insert((from, to), count));
    }

    /// Delays requests from one cell to another.
    pub fn delay(&self, from: usize, to: usize, by: Duration) {
        self.with_state(|state| state.delays.insert((from, to), by));
    }

    /// Delivers every request twice from now on, and records a copy.
    pub fn duplicate_requests(&self) {
        self.with_state(|state| state.duplicates_requests = true);
    }

    /// Delivers all recorded requests again, the latest first, and discards the replies. Returns
    /// their number.
    pub async fn redeliver_recorded(&self) -> usize {
        let recorded = self.with_state(|state| std::mem::take(&mut state.recorded_requests));
        let count = recorded.len();
        for (from, to, request) in recorded.into_iter().rev() {
            let _ = self.deliver(from, to, request).await;
        }
        count
    }

    /// Delivers a request from a source address to a cell's controllers, one after the other, until
    /// one replies other than that it does not lead.
    pub async fn deliver_from(
        &self,
        address: IpAddr,
        to: usize,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, ExchangeError> {
        let running = self.with_state(|state| state.controllers.get(CELL_NAMES[to]).cloned());
        let nodes: Vec<_> =
            running.map(|r| r.lock().unwrap().values().cloned().collect()).unwrap_or_default();
        let mut last_error = ExchangeError::Unreachable;
        for node in nodes {
            match node.answer_exchange(address, request.clone()).await {
                Err(ExchangeError::NotLeader) => last_error = ExchangeError::NotLeader,
                answer => return answer,
            }
        }
        Err(last_error)
    }

    async fn deliver(
        &self,
        from: usize,
        to: usize,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, ExchangeError> {
        self.deliver_from(source_address(from), to, request).await
    }
}

#[async_trait]
impl CellClient for LinkedCellClient {
    async fn exchange(
        &self,
        peer: &PeerCell,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, ExchangeError> {
        let (from, to) = (self.cell, cell_index(&peer.name));
        let (cut, duplicates_requests, delay) = self.links.with_state(|state| {
            if state.duplicates_requests {
                state.recorded_requests.push((from, to, request.clone()));
            }
            let delay = state.delays.get(&(from, to)).copied().unwrap_or(Duration::from_millis(1));
            (state.cut_links.contains(&(from, to)), state.duplicates_requests, delay)
        });
        sleep(delay).await;
        if cut {
            sleep(REQUEST_TIMEOUT).await;
            return Err(ExchangeError::Unreachable);
        }
        if duplicates_requests {
            let _ = self.links.deliver(from, to, request.clone()).await;
        }
        let answer = self.links.deliver(from, to, request).await;
        let lost = self.links.with_state(|state| {
            let left = state.lost_replies.get_mut(&(from, to)).filter(|left| **left > 0);
            let lost = left.map(|left| *left -= 1).is_some();
            lost || state.cut_links.contains(&(to, from))
        });
        if lost {
            sleep(REQUEST_TIMEOUT).await;
            return Err(ExchangeError::Unreachable);
        }
        sleep(Duration::from_millis(1)).await;
        answer
    }
}

/// Three federated cells and the links between them.
pub struct ThreeCells {
    /// The cells, by cell number.
    pub clusters: Vec<Cluster>,
    pub links: Links,
    /// Home cell of each accepted job that [`ThreeCells::until_all_jobs_ended`] waits for.
    accepted: Mutex<BTreeMap<String, usize>>,
}

/// Federation settings of a cell, with the other cells as peers; `adjust` may change them.
fn federation(cell: usize, adjust: &dyn Fn(usize, &mut RawFederationSettings)) -> FederationSettings {
    let others = (0..CELL_NAMES.len()).filter(|other| *other != cell);
    let peer = |other: usize| RawPeerSettings {
        name: CELL_NAMES[other].into(),
        endpoints: vec![format!("{}:8090", source_address(other))],
        networks: vec![format!("10.{}.0.0/16", 100 + other)],
    };
    let mut raw = RawFederationSettings {
        cell: CELL_NAMES[cell].into(),
        incarnation: 1,
        listen: "0.0.0.0:8090".into(),
        peers: others.map(peer).collect(),
        spill_after_s: Some(4.0),
        return_after_s: Some(20.0),
        refusal_pause_s: Some(10.0),
        ..RawFederationSettings::default()
    };
    adjust(cell, &mut raw);
    FederationSettings::validate(&raw).unwrap()
}

/// Stops all controllers and machines, because some tests start several sets of cells on one clock.
impl Drop for ThreeCells {
    fn drop(&mut self) {
        for cluster in &self.clusters {
            (0..cluster.nodes).for_each(|n| cluster.kill_node(n));
            cluster.cloud.machines().iter().for_each(|id| cluster.cloud.take(id));
        }
    }
}

impl ThreeCells {
    /// Starts cells whose clouds have this many machines of 16 CPUs each. Tasks of the listed jobs
    /// run for the given seconds.
    pub async fn start(machines: [usize; 3], run_times_s: &[(&str, u64)]) -> ThreeCells {
        ThreeCells::start_adjusted(machines, run_times_s, &|_, _| {}).await
    }

    /// Like [`ThreeCells::start`], with changes to the federation settings of each cell.
    pub async fn start_adjusted(
        machines: [usize; 3],
        run_times_s: &[(&str, u64)],
        adjust: &dyn Fn(usize, &mut RawFederationSettings),
    ) -> ThreeCells {
        let links = Links::default();
        let mut clusters = Vec::new();
        for (cell, capacity) in machines.into_iter().enumerate() {
            let options = Options { federation: Some(federation(cell, adjust)), ..Options::default() };
            let timing = |t: &mut WorkerTiming| {
                for (id, seconds) in run_times_s {
                    t.runs.insert(id.to_string(), Duration::from_secs(*seconds));
                }
            };
            let client = LinkedCellClient { links: links.clone(), cell };
            let prepare = |c: &Cluster| {
                *c.cells.lock().unwrap() = Arc::new(client);
                links
                    .with_state(|state| state.controllers.insert(CELL_NAMES[cell].into(), c.running_nodes()));
            };
            clusters.push(Cluster::with_overrides(capacity, timing, options, Value::Null, prepare).await);
        }
        ThreeCells { clusters, links, accepted: Mutex::default() }
    }

    /// Submits a job to a cell until it is accepted. Registers the job with the invariant checkers
    /// of all cells.
    pub async fn submit(&self, cell: usize, id: &str, tasks: u32, cpus: f64) {
        for cluster in &self.clusters {
            cluster.checker.job(id, "free", cpus);
        }
        self.clusters[cell].submit_body(id, &job(id, "free", tasks, cpus, "normal")).await;
        self.accepted.lock().unwrap().insert(id.into(), cell);
    }

    /// Fills a cell with a job and waits until its tasks run; [`ThreeCells::until_all_jobs_ended`]
    /// does not wait for its end.
    pub async fn fill(&self, cell: usize, id: &str, tasks: u32, cpus: f64) {
        self.submit(cell, id, tasks, cpus).await;
        self.accepted.lock().unwrap().remove(id);
        let running = || self.clusters[cell].checker.on().keys().filter(|task| task.starts_with(id)).count();
        self.until("the cell is full", || running() == tasks as usize).await;
    }

    /// Requests the cancellation of a job from a cell until a controller confirms it. Returns the
    /// final stage.
    pub async fn cancel(&self, cell: usize, id: &str) -> String {
        let end = Instant::now() + Duration::from_secs(200);
        loop {
            let n = (0..3).find(|n| self.clusters[cell].is_up(*n)).unwrap_or(0);
            if self.clusters[cell].is_up(n) {
                let (status, stage) = self.clusters[cell].cancel_once(n, id).await;
                if status == 200 {
                    if stage == "withdrawn" {
                        self.clusters.iter().for_each(|c| c.checker.cancelled(id));
                    }
                    return stage;
                }
                assert_eq!(status, 503, "{id}");
            }
            assert!(Instant::now() < end, "{id} is not cancelled");
            sleep(Duration::from_millis(500)).await;
        }
    }

    /// Stage of the job's record in a cell, if the cell has one.
    pub fn recorded_stage(&self, cell: usize, id: &str) -> Option<String> {
        let value = self.clusters[cell].state.value(&format!("dc/j/{id}"))?;
        value["s"].as_str().map(str::to_string)
    }

    /// Host cell of a job: the cell other than its home cell that has a record of it.
    pub fn host_cell(&self, home: usize, id: &str) -> Option<usize> {
        (0..3).find(|cell| *cell != home && self.recorded_stage(*cell, id).is_some())
    }

    /// Waits until the condition holds; fails after 300 s.
    pub async fn until(&self, what: &str, done: impl Fn() -> bool) {
        let end = Instant::now() + Duration::from_secs(300);
        while !done() {
            assert!(Instant::now() < end, "timed out waiting: {what}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills all controllers of a cell.
    pub fn kill_controllers(&self, cell: usize) {
        (0..3).for_each(|n| self.clusters[cell].kill_node(n));
    }

    /// Starts those controllers of a cell that are not running.
    pub fn start_missing_controllers(&self, cell: usize) {
        (0..3).filter(|n| !self.clusters[cell].is_up(*n)).for_each(|n| self.clusters[cell].start_node(n));
    }

    /// Kills a cell's leader. Returns the number of that controller.
    pub fn kill_leader(&self, cell: usize) -> usize {
        let leader = self.clusters[cell].leader().unwrap();
        self.clusters[cell].kill_node(leader);
        leader
    }

    /// Waits until the home cell of every accepted job reports it as done or cancelled.
    pub async fn until_all_jobs_ended(&self) {
        let accepted = self.accepted.lock().unwrap().clone();
        let end = Instant::now() + Duration::from_secs(450);
        for (id, home) in accepted {
            loop {
                let path = format!("/v2/runs/{id}");
                let n = (0..3).find(|n| self.clusters[home].is_up(*n)).unwrap();
                let (status, answer) = self.clusters[home].call(n, Method::GET, &path, &Value::Null).await;
                if status == 200
                    && ["done", "withdrawn"].contains(&answer["stage"].as_str().unwrap_or_default())
                {
                    break;
                }
                assert!(status == 200 || status == 503, "{id}: {status}");
                assert!(Instant::now() < end, "{id} has not ended: {answer}");
                sleep(Duration::from_millis(500)).await;
            }
        }
    }

    /// Checks the invariants of each cell (among them that every task of a completed job was
    /// completed and did not run again), and that no job had tasks in two cells at the same time.
    pub fn assert_rules_kept(&self) {
        for cluster in &self.clusters {
            cluster.assert_invariants_hold();
        }
        assert_eq!(self.overlapping_stays(), Vec::<String>::new());
    }

    /// Runs of tasks of one job that overlapped in time in two cells.
    pub fn overlapping_stays(&self) -> Vec<String> {
        let mut stays: BTreeMap<String, Vec<(usize, Stay)>> = BTreeMap::new();
        for (cell, cluster) in self.clusters.iter().enumerate() {
            for stay in cluster.checker.history() {
                let job = stay.task.split('/').next().unwrap_or_default().to_string();
                stays.entry(job).or_default().push((cell, stay));
            }
        }
        let mut found = Vec::new();
        for (job, own) in stays {
            for (n, (cell, stay)) in own.iter().enumerate() {
                for (other_cell, other) in &own[n + 1..] {
                    let ends = |s: &Stay| s.until.unwrap_or_else(|| Instant::now() + REQUEST_TIMEOUT);
                    if cell != other_cell && stay.from < ends(other) && other.from < ends(stay) {
                        found.push(format!(
                            "{job}: {} in {cell} and {} in {other_cell}",
                            stay.task, other.task
                        ));
                    }
                }
            }
        }
        found
    }

    /// How often a task was started, in all cells together.
    pub fn start_count(&self, task: &str) -> usize {
        self.clusters.iter().map(|c| c.checker.starts(task)).sum()
    }
}
