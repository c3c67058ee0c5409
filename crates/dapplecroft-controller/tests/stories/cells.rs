//! Several cells, each with its own controllers, state service, cloud and workers, and
//! the links between them.

use crate::cluster::{Cluster, Running, job};
use async_trait::async_trait;
use dapplecroft_controller::{Cells, ExchangeError, Options};
use dapplecroft_fakes::{Stay, WorkerTiming};
use dapplecroft_federation::settings::{RawFederation, RawPeer};
use dapplecroft_federation::{Federation, PeerCell};
use dapplecroft_wire::cells::{ExchangeReply, ExchangeRequest};
use http::Method;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The cells of most stories.
pub const CELL_NAMES: [&str; 3] = ["cell-a.example.org", "cell-b.example.org", "cell-c.example.org"];
/// How long a message that gets no answer is waited for.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Default)]
struct LinkState {
    controllers: BTreeMap<String, Running>,
    /// Messages from one cell to another that never arrive.
    cut_links: BTreeSet<(usize, usize)>,
    /// Answers that are lost, of requests from one cell to another.
    lost_replies: BTreeMap<(usize, usize), usize>,
    /// How long a message from one cell to another takes.
    delays: BTreeMap<(usize, usize), Duration>,
    /// Whether every request is delivered twice, and kept for later.
    duplicates_requests: bool,
    recorded_requests: Vec<(usize, usize, ExchangeRequest)>,
}

/// What connects cells.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<LinkState>>);

/// One cell's end of the links.
struct CellClient {
    links: Links,
    cell: usize,
}

fn cell_index(name: &str) -> usize {
    CELL_NAMES.iter().position(|own| *own == name).unwrap()
}

/// Where a cell's controllers connect from.
pub fn source_address(cell: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 100 + cell as u8, 0, 1))
}

impl Links {
    fn with_state<R>(&self, work: impl FnOnce(&mut LinkState) -> R) -> R {
        work(&mut self.0.lock().unwrap())
    }

    /// Nothing that one cell sends arrives at another, neither requests nor answers.
    pub fn cut(&self, from: usize, to: usize) {
        self.with_state(|state| state.cut_links.insert((from, to)));
    }

    /// All links work again.
    pub fn heal(&self) {
        self.with_state(|state| {
            state.cut_links.clear();
            state.lost_replies.clear();
            state.delays.clear();
        });
    }

    /// The next answers to one cell's requests to another are lost.
    pub fn lose_answers(&self, from: usize, to: usize, count: usize) {
        self.with_state(|state| state.lost_replies.insert((from, to), count));
    }

    /// Messages from one cell to another take so long.
    pub fn delay(&self, from: usize, to: usize, by: Duration) {
        self.with_state(|state| state.delays.insert((from, to), by));
    }

    /// Every request arrives twice from now on, and a copy is kept.
    pub fn duplicate_requests(&self) {
        self.with_state(|state| state.duplicates_requests = true);
    }

    /// Delivers all copies that were kept, the last first; nobody hears the answers.
    pub async fn redeliver_recorded(&self) -> usize {
        let recorded = self.with_state(|state| std::mem::take(&mut state.recorded_requests));
        let count = recorded.len();
        for (from, to, request) in recorded.into_iter().rev() {
            let _ = self.deliver(from, to, request).await;
        }
        count
    }

    /// A request from an address, as the cell's controllers answer it.
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
impl Cells for CellClient {
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

/// Three cells.
pub struct ThreeCells {
    pub clusters: Vec<Cluster>,
    pub links: Links,
    /// Jobs that were accepted, and the cell that accepted each.
    accepted: Mutex<BTreeMap<String, usize>>,
}

fn federation(cell: usize, adjust: &dyn Fn(usize, &mut RawFederation)) -> Federation {
    let others = (0..CELL_NAMES.len()).filter(|other| *other != cell);
    let peer = |other: usize| RawPeer {
        name: CELL_NAMES[other].into(),
        endpoints: vec![format!("{}:8090", source_address(other))],
        networks: vec![format!("10.{}.0.0/16", 100 + other)],
    };
    let mut raw = RawFederation {
        cell: CELL_NAMES[cell].into(),
        incarnation: 1,
        listen: "0.0.0.0:8090".into(),
        peers: others.map(peer).collect(),
        spill_after_s: Some(4.0),
        return_after_s: Some(20.0),
        refusal_pause_s: Some(10.0),
        ..RawFederation::default()
    };
    adjust(cell, &mut raw);
    Federation::check(&raw).unwrap()
}

/// A story may play one set of cells after the other on the same clock.
impl Drop for ThreeCells {
    fn drop(&mut self) {
        for cluster in &self.clusters {
            (0..cluster.nodes).for_each(|n| cluster.kill_node(n));
            cluster.cloud.machines().iter().for_each(|id| cluster.cloud.take(id));
        }
    }
}

impl ThreeCells {
    /// Cells with room for so many machines each (of 16 CPUs).
    pub async fn start(machines: [usize; 3], run_times_s: &[(&str, u64)]) -> ThreeCells {
        ThreeCells::start_adjusted(machines, run_times_s, &|_, _| {}).await
    }

    pub async fn start_adjusted(
        machines: [usize; 3],
        run_times_s: &[(&str, u64)],
        adjust: &dyn Fn(usize, &mut RawFederation),
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
            let client = CellClient { links: links.clone(), cell };
            let prepare = |c: &Cluster| {
                *c.cells.lock().unwrap() = Arc::new(client);
                links.with_state(|state| state.controllers.insert(CELL_NAMES[cell].into(), c.running()));
            };
            clusters.push(Cluster::custom(capacity, timing, options, Value::Null, prepare).await);
        }
        ThreeCells { clusters, links, accepted: Mutex::default() }
    }

    /// Submits at a cell until it is accepted; every cell's referee knows the job.
    pub async fn submit(&self, cell: usize, id: &str, tasks: u32, cpus: f64) {
        for cluster in &self.clusters {
            cluster.referee.job(id, "free", cpus);
        }
        self.clusters[cell].hand_in(id, &job(id, "free", tasks, cpus, "normal")).await;
        self.accepted.lock().unwrap().insert(id.into(), cell);
    }

    /// Fills a cell with work that is not waited for.
    pub async fn fill(&self, cell: usize, id: &str, tasks: u32, cpus: f64) {
        self.submit(cell, id, tasks, cpus).await;
        self.accepted.lock().unwrap().remove(id);
        let running = || self.clusters[cell].referee.on().keys().filter(|task| task.starts_with(id)).count();
        self.until("the cell is full", || running() == tasks as usize).await;
    }

    /// Cancels at a cell until that is confirmed.
    pub async fn cancel(&self, cell: usize, id: &str) -> String {
        let end = Instant::now() + Duration::from_secs(200);
        loop {
            let n = (0..3).find(|n| self.clusters[cell].is_up(*n)).unwrap_or(0);
            if self.clusters[cell].is_up(n) {
                let (status, stage) = self.clusters[cell].ask_withdraw(n, id).await;
                if status == 200 {
                    if stage == "withdrawn" {
                        self.clusters.iter().for_each(|c| c.referee.cancelled(id));
                    }
                    return stage;
                }
                assert_eq!(status, 503, "{id}");
            }
            assert!(Instant::now() < end, "{id} is not cancelled");
            sleep(Duration::from_millis(500)).await;
        }
    }

    /// The stage that a job's record has in a cell, if there is one.
    pub fn recorded_stage(&self, cell: usize, id: &str) -> Option<String> {
        let value = self.clusters[cell].state.value(&format!("dc/j/{id}"))?;
        value["s"].as_str().map(str::to_string)
    }

    /// The cell, other than its home, in whose records a job is.
    pub fn host_cell(&self, home: usize, id: &str) -> Option<usize> {
        (0..3).find(|cell| *cell != home && self.recorded_stage(*cell, id).is_some())
    }

    pub async fn until(&self, what: &str, done: impl Fn() -> bool) {
        let end = Instant::now() + Duration::from_secs(300);
        while !done() {
            assert!(Instant::now() < end, "never: {what}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends all controllers of a cell.
    pub fn kill_controllers(&self, cell: usize) {
        (0..3).for_each(|n| self.clusters[cell].kill_node(n));
    }

    /// Starts those controllers of a cell that are not there.
    pub fn start_missing_controllers(&self, cell: usize) {
        (0..3).filter(|n| !self.clusters[cell].is_up(*n)).for_each(|n| self.clusters[cell].start_node(n));
    }

    /// Ends a cell's leader; returns which controller that was.
    pub fn kill_leader(&self, cell: usize) -> usize {
        let leader = self.clusters[cell].leader().unwrap();
        self.clusters[cell].kill_node(leader);
        leader
    }

    /// Waits until every accepted job is over for its user, and nothing is left over.
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
                assert!(Instant::now() < end, "{id} does not end: {answer}");
                sleep(Duration::from_millis(500)).await;
            }
        }
    }

    /// Checks the histories of all cells together: the rules of each, no job in two cells
    /// at once, every task of a job that is done was completed, and none ran again after
    /// that.
    pub fn assert_rules_kept(&self) {
        for cluster in &self.clusters {
            cluster.assert_rules_kept();
        }
        assert_eq!(self.overlapping_stays(), Vec::<String>::new());
    }

    /// Stays of one job in two cells that overlap.
    pub fn overlapping_stays(&self) -> Vec<String> {
        let mut stays: BTreeMap<String, Vec<(usize, Stay)>> = BTreeMap::new();
        for (cell, cluster) in self.clusters.iter().enumerate() {
            for stay in cluster.referee.history() {
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

    /// How often a job's tasks were started, in all cells.
    pub fn start_count(&self, task: &str) -> usize {
        self.clusters.iter().map(|c| c.referee.starts(task)).sum()
    }
}
