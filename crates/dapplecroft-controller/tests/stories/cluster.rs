//! Three controllers with a state service, a cloud and workers, in memory.

use async_trait::async_trait;
use dapplecroft_controller::{Cells, NoCells, Node, NodeConfig, Options, PeerService, Peers, Reply};
use dapplecroft_fakes::{
    Action, FakeCloud, FakeState, Handler, InvariantChecker, Net, Rule, Told, WorkerTiming,
};
use dapplecroft_net::Response;
use dapplecroft_wire::peer::{DemandReply, ForwardRequest, RoomReply, SightReply};
use dapplecroft_wire::settings::{Peer, Settings};
use http::Method;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

pub const STATE: &str = "10.2.0.1:2379";
pub const CLOUD: &str = "10.2.0.2:8443";
pub const CANCEL_DEADLINE: Duration = Duration::from_secs(47);
/// Controllers of most stories.
const DEFAULT_NODES: usize = 3;

pub type RunningNodes = Arc<Mutex<BTreeMap<String, Arc<Node>>>>;

struct NodeEndpoint(Arc<Node>);

#[async_trait]
impl Handler for NodeEndpoint {
    async fn handle(&self, _: &str, method: Method, path: &str, body: &[u8]) -> Response {
        let reply = self.0.handle(&method, path, body.to_vec().into()).await;
        Response { status: reply.status, body: reply.body.into() }
    }
}

/// Controllers that the others can't reach, and that reach no other.
type IsolatedHosts = Arc<Mutex<BTreeSet<String>>>;

struct FakePeers {
    running: RunningNodes,
    isolated: IsolatedHosts,
    host: String,
}

impl FakePeers {
    fn reachable_service(&self, peer: &Peer) -> Option<PeerService> {
        let isolated = self.isolated.lock().unwrap();
        if isolated.contains(&self.host) || isolated.contains(&peer.host_name) {
            return None;
        }
        self.running.lock().unwrap().get(&peer.host_name).cloned().map(PeerService)
    }
}

#[async_trait]
impl Peers for FakePeers {
    async fn probe(&self, peer: &Peer, addresses: Vec<String>) -> Option<Vec<String>> {
        Some(self.reachable_service(peer)?.probe_workers(addresses).await)
    }
    async fn controller_status(&self, peer: &Peer) -> Option<SightReply> {
        Some(self.reachable_service(peer)?.local_status())
    }
    async fn freed_room(&self, peer: &Peer) -> Option<RoomReply> {
        Some(self.reachable_service(peer)?.local_freed_room())
    }
    async fn forward(&self, peer: &Peer, request: ForwardRequest) -> Option<Reply> {
        self.reachable_service(peer)?.answer_forwarded_request(request).await
    }
    async fn demand(&self, peer: &Peer) -> Option<DemandReply> {
        Some(self.reachable_service(peer)?.local_demand())
    }
}

pub struct Cluster {
    pub net: Arc<Net>,
    pub state: Arc<FakeState>,
    pub cloud: Arc<FakeCloud>,
    pub checker: Arc<InvariantChecker>,
    pub options: Options,
    /// How many controllers there are.
    pub nodes: usize,
    running: RunningNodes,
    /// How other cells are reached.
    pub cells: Mutex<Arc<dyn Cells>>,
    /// Controllers cut off from all others.
    pub isolated: IsolatedHosts,
    run_handles: Mutex<BTreeMap<String, JoinHandle<()>>>,
    processes_started: Mutex<u64>,
    overrides: Value,
    /// Operators' settings of single controllers that differ from those of the others.
    pub options_by_node: Mutex<BTreeMap<usize, Options>>,
}

/// What only processes of the new version write: the mark that they know the
/// second layout. One that can't is to all others like one of the first.
pub const LAYOUT_MARK_PREFIX: &str = "dc/v/";

pub fn host(n: usize) -> String {
    format!("crofter-{n}")
}

pub fn address(n: usize) -> String {
    format!("10.0.0.{}:8080", n + 1)
}

fn fixed_wall_time() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000)
}

fn settings(n: usize, nodes: usize, overrides: &Value) -> Settings {
    let peers: Vec<Value> = (0..nodes)
        .filter(|m| *m != n)
        .map(|m| json!({"host_name": host(m), "domain": "z", "endpoint": format!("10.0.0.{}:8081", m + 1)}))
        .collect();
    let text = json!({
        "host_name": host(n), "domain": "z", "listen": address(n), "back": format!("10.0.0.{}:8081", n + 1),
        "members": peers, "external": {"cloud": CLOUD, "state": STATE}, "unknown": true,
        "facts": {"nodes": nodes, "zones": ["z"],
            "teams": [{"name": "free"}, {"name": "tight", "cpus": 8.0, "cpus_max": 16.0}],
            "objectives": [],
            "workers": {"report_s": 3.0, "lease_s": 27.0, "cancel_s": CANCEL_DEADLINE.as_secs_f64()},
            "state": {"rps": 120.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 12, "next": overrides},
            "cloud": {"rps": 5.0, "list_lag_s": 6.0}}
    });
    let mut text = text;
    if let Some(teams) = overrides["teams"].as_array() {
        // Other teams, and nothing about the state service.
        text["facts"]["teams"] = json!(teams);
        text["facts"]["state"]["next"] = Value::Null;
    }
    if overrides["objectives"].is_array() {
        text["facts"]["objectives"] = overrides["objectives"].clone();
    }
    if let Some(now) = overrides["now"].as_object() {
        // What it takes at first, if that is not the usual.
        for (name, value) in now {
            text["facts"]["state"][name] = value.clone();
        }
    }
    Settings::parse(&text.to_string()).unwrap()
}

impl Cluster {
    /// Three controllers with room for so many machines, up and with a leader.
    pub async fn start(capacity: usize) -> Cluster {
        Cluster::with_options(capacity, |_| {}, Options::default()).await
    }

    pub async fn with_options(
        capacity: usize,
        adjust: impl FnOnce(&mut WorkerTiming),
        options: Options,
    ) -> Cluster {
        Cluster::with_overrides(capacity, adjust, options, Value::Null, |_| {}).await
    }

    /// Three controllers that all pass for the first version until they are
    /// upgraded, with a state service that will have smaller limits.
    pub async fn before_upgrade(
        capacity: usize,
        adjust: impl FnOnce(&mut WorkerTiming),
        options: Options,
    ) -> Cluster {
        let overrides = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0});
        Cluster::with_overrides(capacity, adjust, options, overrides, Cluster::simulate_first_version).await
    }

    /// Makes all controllers pass for the first version.
    pub fn simulate_first_version(&self) {
        for n in 0..self.nodes {
            self.net.rule(Rule::all(&host(n), STATE, Action::Refuse).path("/multi").body(LAYOUT_MARK_PREFIX));
        }
    }

    /// A controller's process ends and comes back with the new version.
    pub async fn upgrade(&self, n: usize, after: f64) {
        self.kill_node(n);
        self.net.remove_rules(&host(n), LAYOUT_MARK_PREFIX);
        pause(after).await;
        self.start_node(n);
    }

    /// Whether the switch to the second layout is made.
    pub fn is_switched(&self) -> bool {
        self.state.value("dc/format").is_some()
    }

    pub async fn with_overrides(
        capacity: usize,
        adjust: impl FnOnce(&mut WorkerTiming),
        options: Options,
        overrides: Value,
        prepare: impl FnOnce(&Cluster),
    ) -> Cluster {
        Cluster::with_nodes(DEFAULT_NODES, capacity, adjust, options, overrides, prepare).await
    }

    /// The same with so many controllers.
    pub async fn with_nodes(
        size: usize,
        capacity: usize,
        adjust: impl FnOnce(&mut WorkerTiming),
        options: Options,
        overrides: Value,
        prepare: impl FnOnce(&Cluster),
    ) -> Cluster {
        let (net, state, checker) = (Net::new(), FakeState::new(), InvariantChecker::new(CANCEL_DEADLINE));
        checker.limit("tight", 16.0);
        let nodes: Vec<(String, String)> = (0..size).map(|n| (host(n), address(n))).collect();
        let mut timing = WorkerTiming {
            report: Duration::from_secs(3),
            lease: Duration::from_secs(27),
            fetch: Duration::from_millis(500),
            runs: BTreeMap::new(),
            fails: Vec::new(),
            per_task: false,
            saves: BTreeMap::new(),
            saved: Arc::default(),
        };
        adjust(&mut timing);
        let cloud = FakeCloud::new(&net, &checker, &nodes, timing, capacity);
        net.serve(STATE, state.clone());
        net.serve(CLOUD, cloud.clone());
        let cluster = Cluster {
            net,
            state,
            cloud,
            checker,
            options,
            nodes: size,
            running: Arc::default(),
            cells: Mutex::new(Arc::new(NoCells)),
            isolated: Arc::default(),
            run_handles: Mutex::default(),
            options_by_node: Mutex::default(),
            processes_started: Mutex::default(),
            overrides,
        };
        prepare(&cluster);
        for n in 0..size {
            cluster.start_node(n);
        }
        cluster.until("a leader", || cluster.leader().is_some()).await;
        cluster
    }

    pub fn start_node(&self, n: usize) {
        let identity = {
            let mut processes_started = self.processes_started.lock().unwrap();
            *processes_started += 1;
            *processes_started
        };
        let own = self.options_by_node.lock().unwrap().get(&n).cloned();
        let node = Node::new(NodeConfig {
            settings: Arc::new(settings(n, self.nodes, &self.overrides)),
            options: own.unwrap_or_else(|| self.options.clone()),
            identity: format!("process-{identity}"),
            transport: self.net.port(&host(n)),
            cells: self.cells.lock().unwrap().clone(),
            peers: Arc::new(FakePeers {
                running: self.running.clone(),
                isolated: self.isolated.clone(),
                host: host(n),
            }),
            wall_clock: fixed_wall_time,
            seed: identity,
        });
        self.net.serve(&address(n), Arc::new(NodeEndpoint(node.clone())));
        self.running.lock().unwrap().insert(host(n), node.clone());
        let work = tokio::spawn(async move { node.run().await });
        self.run_handles.lock().unwrap().insert(host(n), work);
    }

    pub fn kill_node(&self, n: usize) {
        self.net.remove(&address(n));
        if let Some(work) = self.run_handles.lock().unwrap().remove(&host(n)) {
            work.abort();
        }
        if let Some(node) = self.running.lock().unwrap().remove(&host(n)) {
            node.kill();
        }
    }

    /// The controllers' processes that are there, now and later.
    pub fn running_nodes(&self) -> RunningNodes {
        self.running.clone()
    }

    pub fn node(&self, n: usize) -> Arc<Node> {
        self.running.lock().unwrap()[&host(n)].clone()
    }

    /// The node that holds the shard, by its own belief and the records.
    pub fn leader(&self) -> Option<usize> {
        let record = self.state.value("dc/leader")?;
        let n = (0..self.nodes).find(|n| record["host"] == host(*n))?;
        let node = self.running.lock().unwrap().get(&host(n)).cloned()?;
        node.with(|core| core.leads(Instant::now().into_std())).then_some(n)
    }

    pub async fn call(&self, n: usize, method: Method, path: &str, body: &Value) -> (u16, Value) {
        let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
        let reply = self.node(n).handle(&method, path, body.into()).await;
        (reply.status, serde_json::from_slice(&reply.body).unwrap_or_default())
    }

    /// Submits at any node until it is accepted.
    pub async fn submit(&self, id: &str, team: &str, tasks: u32, cpus: f64, rank: &str) {
        self.checker.job(id, team, cpus);
        self.submit_body(id, &job(id, team, tasks, cpus, rank)).await;
    }

    /// Submits at one node until it is accepted.
    pub async fn submit_at(&self, n: usize, id: &str, team: &str, tasks: u32, cpus: f64) {
        self.checker.job(id, team, cpus);
        let body = job(id, team, tasks, cpus, "normal");
        for _ in 0..60 {
            let (status, stage) = self.submit_once(n, id, &body).await;
            if status == 201 || status == 200 {
                return;
            }
            assert_eq!(status, 503, "{stage}");
            sleep(Duration::from_secs(1)).await;
        }
        panic!("{id} is not accepted");
    }

    /// The same for a service.
    pub async fn submit_service(&self, id: &str, team: &str, replicas: u32, cpus: f64) {
        self.checker.service(id, team, cpus, replicas);
        self.submit_body(id, &service(id, team, replicas, cpus)).await;
    }

    pub async fn submit_body(&self, id: &str, body: &Value) {
        for attempt in 0..60 {
            let node = attempt % self.nodes;
            if self.is_up(node) {
                let (status, stage) = self.submit_once(node, id, body).await;
                if status == 201 || status == 200 {
                    return;
                }
                assert_eq!(status, 503, "{stage}");
            }
            sleep(Duration::from_secs(1)).await;
        }
        panic!("{id} is not accepted");
    }

    /// Waits until all replicas of all services run.
    pub async fn until_all_replicas_run(&self) {
        self.until("all replicas run", || self.checker.missing().is_empty()).await;
    }

    pub async fn cancel(&self, n: usize, id: &str) {
        for _ in 0..60 {
            let (status, stage) = self.cancel_once(n, id).await;
            if status == 200 {
                assert_eq!(stage, "withdrawn");
                return;
            }
            assert_eq!(status, 503, "{stage}");
            sleep(Duration::from_secs(1)).await;
        }
        panic!("{id} is not withdrawn");
    }

    /// Asks once for a job to be withdrawn: the answer's status and stage.
    pub async fn cancel_once(&self, n: usize, id: &str) -> (u16, String) {
        let before = self.checker.known(id);
        let path = format!("/v2/runs/{id}/withdraw");
        let (status, answer) = self.call(n, Method::POST, &path, &Value::Null).await;
        let stage = answer["stage"].as_str().unwrap_or_default().to_string();
        self.checker.heard(id, &before, status, &stage);
        if stage == "withdrawn" {
            self.checker.cancelled(id);
        }
        (status, stage)
    }

    /// Submits once at a node: the answer's status and stage.
    pub async fn submit_once(&self, n: usize, id: &str, body: &Value) -> (u16, String) {
        let before = self.checker.known(id);
        let (status, answer) = self.call(n, Method::POST, "/v2/runs", body).await;
        let stage = answer["stage"].as_str().unwrap_or_default().to_string();
        self.checker.heard(id, &before, status, &stage);
        if status == 201 || status == 200 {
            self.checker.accepted(id);
        }
        if status == 201
            && let Some(why) = rejection_reason(body)
        {
            self.checker.note(format!("accepted: {id}, {why}"));
        }
        (status, stage)
    }

    /// Asks about a job at all nodes at the same time, twice each; those that are
    /// not up have no answer.
    pub async fn job_status_everywhere(&self, id: &str) -> Vec<(u16, Value)> {
        let ask = |n| async move {
            match self.is_up(n) {
                true => Some(self.job_status(n, id).await),
                false => None,
            }
        };
        let (a, b, c, d, e, f) = tokio::join!(ask(0), ask(1), ask(2), ask(0), ask(1), ask(2));
        [a, b, c, d, e, f].into_iter().flatten().collect()
    }

    /// What users have been told of a job at most.
    pub fn reported_stage(&self, id: &str) -> String {
        match self.checker.known(id) {
            Told::Final(stage) => stage,
            told => format!("{told:?}"),
        }
    }

    /// Whether a controller's process is there.
    pub fn is_up(&self, n: usize) -> bool {
        self.running.lock().unwrap().contains_key(&host(n))
    }

    pub async fn job_status(&self, n: usize, id: &str) -> (u16, Value) {
        let before = self.checker.known(id);
        let answer = self.call(n, Method::GET, &format!("/v2/runs/{id}"), &Value::Null).await;
        self.checker.heard(id, &before, answer.0, answer.1["stage"].as_str().unwrap_or_default());
        if answer.0 == 200 {
            self.checker.answered(id);
            let stage = answer.1["stage"].as_str().unwrap_or_default();
            self.checker.told(id, stage, answer.1["done"].as_u64().unwrap_or(0));
        }
        answer
    }

    /// All troubles are over: within 75 s every controller answers about every
    /// job, and no job is forgotten.
    pub async fn assert_recovers(&self, jobs: &[&str]) {
        self.net.clear_rules();
        self.checker.calm();
        let end = Instant::now() + Duration::from_secs(75);
        for id in jobs {
            for n in 0..self.nodes {
                while self.job_status(n, id).await.0 != 200 {
                    assert!(Instant::now() < end, "{id} is not answered by {n}");
                    sleep(Duration::from_millis(500)).await;
                }
            }
        }
        let end = end + Duration::from_secs(20);
        while Instant::now() < end {
            assert_eq!(self.checker.neglected(), Vec::<String>::new());
            sleep(Duration::from_secs(1)).await;
        }
        assert_eq!(self.checker.day_ends(), Vec::<String>::new());
        self.assert_invariants_hold();
    }

    /// Controllers that hold shards now, by the records.
    pub fn shard_holders(&self) -> BTreeMap<String, String> {
        let held = |key: String| Some((key.clone(), self.state.value(&key)?["host"].as_str()?.to_string()));
        self.state.keys("dc/b/").into_iter().filter_map(held).collect()
    }

    /// How many records of machines name one.
    pub fn machine_records_naming(&self, machine: &str) -> usize {
        let named = |key: &String| self.state.value(key).is_some_and(|v| v.to_string().contains(machine));
        self.state.keys("dc/m/").iter().filter(|key| named(key)).count()
    }

    /// The number of a controller by its name.
    pub fn node_number(&self, name: &str) -> usize {
        (0..self.nodes).find(|n| host(*n) == name).unwrap()
    }

    /// Waits for a job's stage as any running node tells it.
    pub async fn until_stage(&self, id: &str, stage: &str) {
        let end = Instant::now() + Duration::from_secs(300);
        loop {
            let n = (0..self.nodes).find(|n| self.running.lock().unwrap().contains_key(&host(*n)));
            if let Some(n) = n {
                let (_, answer) = self.job_status(n, id).await;
                if answer["stage"] == stage {
                    return;
                }
                if Instant::now() >= end {
                    let leader = self.leader().unwrap();
                    self.node(leader).with(|core| {
                        eprintln!("{:#?}", core.machines);
                        eprintln!("{:#?}", core.jobs.get(id));
                    });
                }
                assert!(Instant::now() < end, "{id} is not {stage} but {answer}");
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    pub async fn until(&self, what: &str, done: impl Fn() -> bool) {
        let end = Instant::now() + Duration::from_secs(300);
        while !done() {
            assert!(Instant::now() < end, "never: {what}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until so many tasks run.
    pub async fn until_running(&self, tasks: usize) {
        self.until("tasks run", || self.checker.on().len() == tasks).await;
    }

    pub fn assert_invariants_hold(&self) {
        for (host, node) in self.running.lock().unwrap().iter() {
            assert_eq!(node.with(|core| core.replica_inconsistencies()), Vec::<String>::new(), "{host}");
        }
        assert_eq!(self.checker.broken(), Vec::<String>::new());
    }
}

/// Why a job must not be accepted, if it must not: a field is missing that may not be
/// null, or no machine that there is has room for a task.
pub fn rejection_reason(body: &Value) -> Option<String> {
    let whole = job("run-0", "free", 1, 1.0, "low");
    let fields = whole.as_object()?.keys().filter(|f| !["hulls", "yard", "due_s"].contains(&f.as_str()));
    let missing: Vec<&String> = fields.filter(|f| body[f.as_str()].is_null()).collect();
    if !missing.is_empty() {
        return Some(format!("without {missing:?}"));
    }
    let over = |field: &str, most: f64| body[field].as_f64().is_some_and(|x| x > most);
    let fits_none = over("cpus", 16.0) || over("gpus", 0.0) || over("memory_gb", 64.0);
    let unknown = !["free", "tight"].contains(&body["crew"].as_str()?);
    (fits_none || unknown).then(|| "which can never run".into())
}

pub fn job(id: &str, team: &str, tasks: u32, cpus: f64, rank: &str) -> Value {
    json!({"id": id, "lane": "c", "crew": team, "form": "sweep", "rank": rank, "shares": tasks,
        "cpus": cpus, "gpus": 0.0, "memory_gb": cpus, "bundle": "img", "image_gb": 1.0, "hulls": null,
        "yard": null, "same_place": false, "apart": false, "loaners": true, "reckon_s": 10.0,
        "mark_s": 0.0, "stow_s": 0.0, "due_s": null})
}

pub fn service(id: &str, team: &str, replicas: u32, cpus: f64) -> Value {
    let mut body = job(id, team, replicas, cpus, "critical");
    body["form"] = json!("service");
    body["reckon_s"] = json!(0.0);
    body["loaners"] = json!(false);
    body
}

pub async fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds)).await;
}
