//! Test harness: controllers (three by default) with an in-memory state service, cloud, network and
//! workers, and a checker that records violated invariants.

use async_trait::async_trait;
use dapplecroft_controller::{
    CellClient, NoCellClient, Node, NodeConfig, Options, PeerService, Peers, Reply,
};
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

/// Address of the state service.
pub const STATE: &str = "10.2.0.1:2379";
/// Address of the cloud.
pub const CLOUD: &str = "10.2.0.2:8443";
/// Time within which every task of a cancelled job must have stopped.
pub const CANCEL_DEADLINE: Duration = Duration::from_secs(47);
/// Number of controllers unless a test asks for another.
const DEFAULT_NODES: usize = 3;

/// Controller processes that are running, by host name.
pub type RunningNodes = Arc<Mutex<BTreeMap<String, Arc<Node>>>>;

/// Serves a controller's HTTP API on the in-memory network.
struct NodeEndpoint(Arc<Node>);

#[async_trait]
impl Handler for NodeEndpoint {
    async fn handle(&self, _: &str, method: Method, path: &str, body: &[u8]) -> Response {
        let reply = self.0.handle(&method, path, body.to_vec().into()).await;
        Response { status: reply.status, body: reply.body.into() }
    }
}

/// Host names of controllers that cannot exchange messages with any other controller.
type IsolatedHosts = Arc<Mutex<BTreeSet<String>>>;

/// Connects one controller to its peers by direct calls.
struct FakePeers {
    running: RunningNodes,
    isolated: IsolatedHosts,
    host: String,
}

impl FakePeers {
    /// The peer's service, unless the peer is down or either side is isolated.
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

/// A cluster under test.
pub struct Cluster {
    pub net: Arc<Net>,
    pub state: Arc<FakeState>,
    pub cloud: Arc<FakeCloud>,
    pub checker: Arc<InvariantChecker>,
    /// Operators' options of controllers that have no entry in `options_by_node`.
    pub options: Options,
    /// Number of controllers, running or not.
    pub nodes: usize,
    running: RunningNodes,
    /// Connection to other cells, given to each controller that starts.
    pub cells: Mutex<Arc<dyn CellClient>>,
    /// Controllers that are cut off from all other controllers.
    pub isolated: IsolatedHosts,
    /// Main loops of the running controllers, by host name.
    run_handles: Mutex<BTreeMap<String, JoinHandle<()>>>,
    /// Number of controller processes started so far; gives each its identity and seed.
    processes_started: Mutex<u64>,
    /// Deviations from the usual settings; see [`settings`].
    overrides: Value,
    /// Operators' options of single controllers, in place of `options`.
    pub options_by_node: Mutex<BTreeMap<usize, Options>>,
}

/// Prefix of the records in which controllers publish the newest record layout that they support. Only
/// the new version writes these records, so a controller that is kept from writing its record looks like
/// one of the first version to the others.
pub const LAYOUT_MARK_PREFIX: &str = "dc/v/";

/// Host name of controller `n`.
pub fn host(n: usize) -> String {
    format!("crofter-{n}")
}

/// Address at which controller `n` serves workers and users.
pub fn address(n: usize) -> String {
    format!("10.0.0.{}:8080", n + 1)
}

fn fixed_wall_time() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000)
}

/// Settings of controller `n`. `overrides` holds the announced limits of the state service
/// (`facts.state.next`) and may have these keys: `teams` replaces the teams and removes the announced limits,
/// `objectives` replaces the objectives, `now` replaces current limits of the state service.
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
        // The overrides hold no limits of the state service in this case.
        text["facts"]["teams"] = json!(teams);
        text["facts"]["state"]["next"] = Value::Null;
    }
    if overrides["objectives"].is_array() {
        text["facts"]["objectives"] = overrides["objectives"].clone();
    }
    if let Some(now) = overrides["now"].as_object() {
        // Current limits of the state service, where they differ from the usual.
        for (name, value) in now {
            text["facts"]["state"][name] = value.clone();
        }
    }
    Settings::parse(&text.to_string()).unwrap()
}

impl Cluster {
    /// Starts three controllers, with a cloud of at most `capacity` machines, and waits for a leader.
    pub async fn start(capacity: usize) -> Cluster {
        Cluster::with_options(capacity, |_| {}, Options::default()).await
    }

    /// Like [`Cluster::start`], with other timing of the workers and other options.
    pub async fn with_options(
        capacity: usize,
        adjust: impl FnOnce(&mut WorkerTiming),
        options: Options,
    ) -> Cluster {
        Cluster::with_overrides(capacity, adjust, options, Value::Null, |_| {}).await
    }

    /// Starts three controllers that look like the first version until [`Cluster::upgrade`], and announces
    /// smaller limits of the state service.
    pub async fn before_upgrade(
        capacity: usize,
        adjust: impl FnOnce(&mut WorkerTiming),
        options: Options,
    ) -> Cluster {
        let overrides = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0});
        Cluster::with_overrides(capacity, adjust, options, overrides, Cluster::simulate_first_version).await
    }

    /// Makes all controllers look like the first version: none can publish the layout that it supports.
    pub fn simulate_first_version(&self) {
        for n in 0..self.nodes {
            self.net.rule(Rule::all(&host(n), STATE, Action::Refuse).path("/multi").body(LAYOUT_MARK_PREFIX));
        }
    }

    /// Kills controller `n` and starts it as the new version `after` seconds later.
    pub async fn upgrade(&self, n: usize, after: f64) {
        self.kill_node(n);
        self.net.remove_rules(&host(n), LAYOUT_MARK_PREFIX);
        pause(after).await;
        self.start_node(n);
    }

    /// Whether the records have been switched to the second layout.
    pub fn is_switched(&self) -> bool {
        self.state.value("dc/format").is_some()
    }

    /// Like [`Cluster::with_options`], with deviating settings. `prepare` runs before the first controller
    /// starts.
    pub async fn with_overrides(
        capacity: usize,
        adjust: impl FnOnce(&mut WorkerTiming),
        options: Options,
        overrides: Value,
        prepare: impl FnOnce(&Cluster),
    ) -> Cluster {
        Cluster::with_nodes(DEFAULT_NODES, capacity, adjust, options, overrides, prepare).await
    }

    /// Like [`Cluster::with_overrides`], with `size` controllers.
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
            cells: Mutex::new(Arc::new(NoCellClient)),
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

    /// Starts controller `n` as a new process.
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

    /// Kills the process of controller `n`, if it runs.
    pub fn kill_node(&self, n: usize) {
        self.net.remove(&address(n));
        if let Some(work) = self.run_handles.lock().unwrap().remove(&host(n)) {
            work.abort();
        }
        if let Some(node) = self.running.lock().unwrap().remove(&host(n)) {
            node.kill();
        }
    }

    /// Handle on the running controllers; it follows later starts and kills.
    pub fn running_nodes(&self) -> RunningNodes {
        self.running.clone()
    }

    pub fn node(&self, n: usize) -> Arc<Node> {
        self.running.lock().unwrap()[&host(n)].clone()
    }

    /// The controller that is leader both by the record in the state service and by its own view.
    pub fn leader(&self) -> Option<usize> {
        let record = self.state.value("dc/leader")?;
        let n = (0..self.nodes).find(|n| record["host"] == host(*n))?;
        let node = self.running.lock().unwrap().get(&host(n)).cloned()?;
        node.with(|core| core.leads(Instant::now().into_std())).then_some(n)
    }

    /// Sends a request to controller `n` and returns the status and body of its answer.
    pub async fn call(&self, n: usize, method: Method, path: &str, body: &Value) -> (u16, Value) {
        let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
        let reply = self.node(n).handle(&method, path, body.into()).await;
        (reply.status, serde_json::from_slice(&reply.body).unwrap_or_default())
    }

    /// Submits a batch job, trying one controller after the other until it is accepted.
    pub async fn submit(&self, id: &str, team: &str, tasks: u32, cpus: f64, rank: &str) {
        self.checker.job(id, team, cpus);
        self.submit_body(id, &job(id, team, tasks, cpus, rank)).await;
    }

    /// Submits a batch job at controller `n` until it is accepted.
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
        panic!("{id} was not accepted within 60 attempts");
    }

    /// Submits a service, trying one controller after the other until it is accepted.
    pub async fn submit_service(&self, id: &str, team: &str, replicas: u32, cpus: f64) {
        self.checker.service(id, team, cpus, replicas);
        self.submit_body(id, &service(id, team, replicas, cpus)).await;
    }

    /// Submits a request body, trying one controller after the other until it is accepted.
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
        panic!("{id} was not accepted within 60 attempts");
    }

    /// Waits until all service replicas run.
    pub async fn until_all_replicas_run(&self) {
        self.until("all replicas run", || self.checker.missing().is_empty()).await;
    }

    /// Cancels a job at controller `n`, repeating the request until it is accepted.
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
        panic!("{id} was not cancelled within 60 attempts");
    }

    /// Requests once that a job be cancelled and returns the answer's status and stage.
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

    /// Submits once at controller `n` and returns the answer's status and stage.
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

    /// Queries a job's status at controllers 0 to 2 at the same time, twice each. Controllers that are down
    /// give no answer.
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

    /// The furthest stage of a job that any user has been told.
    pub fn reported_stage(&self, id: &str) -> String {
        match self.checker.known(id) {
            Told::Final(stage) => stage,
            told => format!("{told:?}"),
        }
    }

    /// Whether the process of controller `n` runs.
    pub fn is_up(&self, n: usize) -> bool {
        self.running.lock().unwrap().contains_key(&host(n))
    }

    /// Queries a job's status at controller `n`; the checker compares it with earlier answers.
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

    /// Ends all network faults and asserts that the cluster recovers: every controller answers status queries
    /// for every job within 75 s, until 95 s no job that could run is left waiting for too long, and the
    /// checker's final checks pass.
    pub async fn assert_recovers(&self, jobs: &[&str]) {
        self.net.clear_rules();
        self.checker.calm();
        let end = Instant::now() + Duration::from_secs(75);
        for id in jobs {
            for n in 0..self.nodes {
                while self.job_status(n, id).await.0 != 200 {
                    assert!(Instant::now() < end, "controller {n} does not answer status queries for {id}");
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

    /// Host name of the holder of each leased shard, by the key of the shard's record.
    pub fn shard_holders(&self) -> BTreeMap<String, String> {
        let held = |key: String| Some((key.clone(), self.state.value(&key)?["host"].as_str()?.to_string()));
        self.state.keys("dc/b/").into_iter().filter_map(held).collect()
    }

    /// Number of machine group records that contain a machine.
    pub fn machine_records_naming(&self, machine: &str) -> usize {
        let named = |key: &String| self.state.value(key).is_some_and(|v| v.to_string().contains(machine));
        self.state.keys("dc/m/").iter().filter(|key| named(key)).count()
    }

    /// Number of the controller with a host name.
    pub fn node_number(&self, name: &str) -> usize {
        (0..self.nodes).find(|n| host(*n) == name).unwrap()
    }

    /// Waits until the first running controller reports a stage for a job.
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
                assert!(Instant::now() < end, "{id} has not reached stage {stage}: {answer}");
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Waits until a condition holds; fails after 300 s.
    pub async fn until(&self, what: &str, done: impl Fn() -> bool) {
        let end = Instant::now() + Duration::from_secs(300);
        while !done() {
            assert!(Instant::now() < end, "condition not met within 300 s: {what}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until exactly `tasks` tasks run.
    pub async fn until_running(&self, tasks: usize) {
        self.until("tasks run", || self.checker.on().len() == tasks).await;
    }

    /// Asserts that no invariant has been violated and that each controller's replica of the records is
    /// consistent.
    pub fn assert_invariants_hold(&self) {
        for (host, node) in self.running.lock().unwrap().iter() {
            assert_eq!(node.with(|core| core.replica_inconsistencies()), Vec::<String>::new(), "{host}");
        }
        assert_eq!(self.checker.broken(), Vec::<String>::new());
    }
}

/// Why controllers must reject a job, if they must: a required field is missing, its team is unknown, or
/// no machine type is large enough for one of its tasks.
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

/// Request body that submits a batch job; `rank` is its priority class.
pub fn job(id: &str, team: &str, tasks: u32, cpus: f64, rank: &str) -> Value {
    json!({"id": id, "lane": "c", "crew": team, "form": "sweep", "rank": rank, "shares": tasks,
        "cpus": cpus, "gpus": 0.0, "memory_gb": cpus, "bundle": "img", "image_gb": 1.0, "hulls": null,
        "yard": null, "same_place": false, "apart": false, "loaners": true, "reckon_s": 10.0,
        "mark_s": 0.0, "stow_s": 0.0, "due_s": null})
}

/// Request body that submits a service.
pub fn service(id: &str, team: &str, replicas: u32, cpus: f64) -> Value {
    let mut body = job(id, team, replicas, cpus, "critical");
    body["form"] = json!("service");
    body["reckon_s"] = json!(0.0);
    body["loaners"] = json!(false);
    body
}

/// Lets simulated time pass.
pub async fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds)).await;
}
