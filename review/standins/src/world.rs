//! A small deployment on loopback: controllers as real processes, and the project's stand-ins
//! (`dapplecroft-fakes`) of the state service, the cloud and the workers behind free ports.

use crate::proxy::Proxy;
use async_trait::async_trait;
use dapplecroft_fakes::{FakeCloud, FakeState, Handler, InvariantChecker, Net, WorkerTiming};
use dapplecroft_net::{Request, Response, SocketLimiter, TcpTransport, Transport};
use http::Method;
use poem::listener::{Acceptor, Listener, TcpListener};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Most machines that the cloud may ever rent out in a test.
const MACHINES: u16 = 40;

/// What a test writes into `record.txt`: a line per event, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.start.elapsed().as_secs_f64());
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        self.line(text);
    }
}

/// Limits of the state service.
#[derive(Clone, Copy)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: u32,
}

/// Those of mekong-ferry-freight.
pub const FERRY_STATE: StateLimits = StateLimits { rps: 150.0, write_rps: 30.0, value_kb: 16.0, txn_ops: 24 };
pub const FERRY_MEMORY_MB: f64 = 136.0;

/// Settings of a test's deployment.
#[derive(Clone)]
pub struct Layout {
    pub controllers: usize,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    /// What the settings say of the state service.
    pub state: StateLimits,
    /// Memory of a controller in MB, as the settings say.
    pub mem_mb: f64,
    pub machines: usize,
    /// How long a machine takes to fetch an image.
    pub fetch: Duration,
    /// How long the tasks of single jobs run; others run 10 s.
    pub runs: BTreeMap<String, Duration>,
}

/// Loopback addresses of the workers, by machine number. A machine has no address of its own in the
/// project's stand-ins, but a name (`w:i-000001`).
static WORKER_PORTS: OnceLock<Vec<u16>> = OnceLock::new();

/// Replaces the stand-ins' names of workers by their loopback addresses.
fn outward(text: &str) -> String {
    let ports = WORKER_PORTS.get().expect("the workers are served");
    let mut out = String::new();
    let mut rest = text;
    while let Some(at) = rest.find("w:i-") {
        let number = rest.get(at + 4..at + 10).and_then(|digits| digits.parse::<usize>().ok());
        out += &rest[..at];
        match number.and_then(|n| ports.get(n - 1)) {
            Some(port) => {
                out += &format!("127.0.0.1:{port}");
                rest = &rest[at + 10..];
            }
            None => {
                out += "w:i-";
                rest = &rest[at + 4..];
            }
        }
    }
    out + rest
}

pub fn request(address: &str, method: Method, path: &str, body: Vec<u8>, timeout: Duration) -> Request {
    Request {
        address: address.into(),
        method,
        path: path.into(),
        body: body.into(),
        timeout,
        to_worker: false,
    }
}

/// Passes a report of a worker on to a real controller.
struct ToController {
    transport: Arc<dyn Transport>,
    address: String,
}

#[async_trait]
impl Handler for ToController {
    async fn handle(&self, _: &str, method: Method, path: &str, body: &[u8]) -> Response {
        let body = outward(&String::from_utf8_lossy(body)).into_bytes();
        let sent =
            self.transport.send(request(&self.address, method, path, body, Duration::from_secs(5))).await;
        sent.unwrap_or(Response { status: 503, body: Default::default() })
    }
}

/// Serves an address of the stand-ins' network at a free port; requests count as sent by `host`.
async fn serve(net: &Arc<Net>, inside: &str, host: &str) -> u16 {
    let transport = net.port(host);
    let inside = inside.to_string();
    let endpoint = poem::endpoint::make(move |mut received: poem::Request| {
        let (transport, inside) = (transport.clone(), inside.clone());
        async move {
            let path = received.original_uri().path_and_query().map_or("/".into(), |p| p.to_string());
            let method = received.method().clone();
            let body = received.take_body().into_vec().await?;
            // A watch may be answered late.
            let inner = request(&inside, method, &path, body, Duration::from_secs(90));
            let (status, body) = match transport.send(inner).await {
                Ok(answer) => (answer.status, outward(&String::from_utf8_lossy(&answer.body))),
                Err(_) => (503, "{}".into()),
            };
            let status = http::StatusCode::from_u16(status).unwrap();
            Ok::<_, poem::Error>(
                poem::Response::builder().status(status).content_type("application/json").body(body),
            )
        }
    });
    let acceptor = TcpListener::bind(("127.0.0.1", 0)).into_acceptor().await.expect("a free port");
    let port = acceptor.local_addr()[0].as_socket_addr().expect("an address").port();
    tokio::spawn(async move {
        let _ = poem::Server::new_with_acceptor(acceptor).run(endpoint).await;
    });
    port
}

/// A port that nobody has just now, below those that outgoing connections get: nobody takes it before the
/// controller does.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let _ = NEXT.compare_exchange(
        0,
        12000 + (std::process::id() * 97 % 16000) as u16,
        Ordering::Relaxed,
        Ordering::Relaxed,
    );
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        if std::net::TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub fn host(n: usize) -> String {
    format!("crofter-{n}")
}

pub struct World {
    pub layout: Layout,
    pub state: Arc<FakeState>,
    pub cloud: Arc<FakeCloud>,
    pub checker: Arc<InvariantChecker>,
    pub transport: Arc<dyn Transport>,
    pub record: Arc<Record>,
    pub listen: Vec<u16>,
    back: Vec<u16>,
    /// The links between controllers: from, to.
    pub links: BTreeMap<(usize, usize), Arc<Proxy>>,
    state_ports: Vec<u16>,
    cloud_port: u16,
    root: PathBuf,
    /// The `run` line of the deploy file.
    run: String,
    directory: PathBuf,
    processes: Mutex<BTreeMap<usize, Child>>,
    starts: Mutex<usize>,
}

impl World {
    /// Serves the stand-ins. The controllers are started by [`World::start`].
    pub async fn new(layout: Layout, record: Arc<Record>) -> Arc<World> {
        let root = PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository"));
        let run = std::env::var("RUN").expect("RUN is the deploy file's command");
        let directory = PathBuf::from(std::env::var("WORK_DIR").expect("WORK_DIR names a folder"));
        let cancel = Duration::from_secs_f64(layout.cancel_s);
        let (net, state, checker) = (Net::new(), FakeState::new(), InvariantChecker::new(cancel));
        let transport: Arc<dyn Transport> = Arc::new(TcpTransport::new(SocketLimiter::new(2000)));
        let listen: Vec<u16> = (0..layout.controllers).map(|_| free_port()).collect();
        let back: Vec<u16> = (0..layout.controllers).map(|_| free_port()).collect();
        let address = |n: usize| format!("127.0.0.1:{}", listen[n]);
        let nodes: Vec<(String, String)> = (0..layout.controllers).map(|n| (host(n), address(n))).collect();
        let timing = WorkerTiming {
            report: Duration::from_secs_f64(layout.report_s),
            lease: Duration::from_secs_f64(layout.lease_s),
            fetch: layout.fetch,
            runs: layout.runs.clone(),
            fails: Vec::new(),
            per_task: false,
            saves: BTreeMap::new(),
            saved: Arc::default(),
        };
        let cloud = FakeCloud::new(&net, &checker, &nodes, timing, layout.machines);
        net.serve("state", state.clone());
        net.serve("cloud", cloud.clone());
        for n in 0..layout.controllers {
            net.serve(
                &address(n),
                Arc::new(ToController { transport: transport.clone(), address: address(n) }),
            );
        }
        let mut ports = Vec::new();
        for n in 1..=MACHINES {
            ports.push(serve(&net, &format!("w:i-{n:06}"), "controllers").await);
        }
        let _ = WORKER_PORTS.set(ports);
        let mut state_ports = Vec::new();
        for n in 0..layout.controllers {
            state_ports.push(serve(&net, "state", &host(n)).await);
        }
        let mut links = BTreeMap::new();
        for from in 0..layout.controllers {
            for to in (0..layout.controllers).filter(|to| *to != from) {
                links.insert((from, to), Proxy::start(back[to]).await);
            }
        }
        let cloud_port = serve(&net, "cloud", "controllers").await;
        Arc::new(World {
            layout,
            state,
            cloud,
            checker,
            transport,
            record,
            listen,
            back,
            links,
            state_ports,
            cloud_port,
            root,
            run,
            directory,
            processes: Mutex::default(),
            starts: Mutex::default(),
        })
    }

    pub fn address(&self, n: usize) -> String {
        format!("127.0.0.1:{}", self.listen[n])
    }

    fn settings(&self, n: usize) -> String {
        let members: Vec<Value> = (0..self.layout.controllers)
            .filter(|m| *m != n)
            .map(|m| json!({"host_name": host(m), "domain": "z", "endpoint": format!("127.0.0.1:{}", self.links[&(n, m)].port)}))
            .collect();
        json!({
            "host_name": host(n), "domain": "z", "listen": self.address(n),
            "back": format!("127.0.0.1:{}", self.back[n]),
            "members": members,
            "external": {"cloud": format!("127.0.0.1:{}", self.cloud_port),
                "state": format!("127.0.0.1:{}", self.state_ports[n])},
            "facts": {"nodes": self.layout.controllers, "zones": ["z"],
                "teams": [
                    {"name": "free", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
                    {"name": "tight", "cpus": 8.0, "cpus_max": 16.0, "gpus": 0.0, "gpus_max": 0.0}],
                "objectives": [],
                "workers": {"report_s": self.layout.report_s, "lease_s": self.layout.lease_s,
                    "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": self.layout.cancel_s},
                "state": {"rps": self.layout.state.rps, "write_rps": self.layout.state.write_rps,
                    "value_kb": self.layout.state.value_kb, "txn_ops": self.layout.state.txn_ops},
                "cloud": {"rps": 10.0, "list_lag_s": 6.0},
                "quota": {"cores": 0.064, "mem_mb": self.layout.mem_mb, "max_connections": 3000},
                "clock_off_ms": 1000.0}
        })
        .to_string()
    }

    /// Starts a controller with the `run` line of the deploy file.
    pub fn start(&self, n: usize) {
        let mut starts = self.starts.lock().unwrap();
        *starts += 1;
        let config = self.directory.join(format!("settings-{n}.json"));
        std::fs::write(&config, self.settings(n)).unwrap();
        let log = File::create(self.directory.join(format!("{:02}-{}.log", *starts, host(n)))).unwrap();
        let mut run = self.run.split_whitespace();
        let child = Command::new(self.root.join(run.next().expect("a command")))
            .args(run)
            .arg(&config)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.record.line(&format!("{} starts", host(n)));
        // The runner's script ends what is left if this process is ended from outside.
        let pids = self.directory.join("pids");
        let mut pids = std::fs::OpenOptions::new().create(true).append(true).open(pids).unwrap();
        let _ = writeln!(pids, "{}", child.id());
        self.processes.lock().unwrap().insert(n, child);
    }

    pub fn kill(&self, n: usize) {
        if let Some(mut child) = self.processes.lock().unwrap().remove(&n) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} killed", host(n)));
        }
    }

    pub fn kill_all(&self) {
        (0..self.layout.controllers).for_each(|n| self.kill(n));
    }

    /// Memory in MB that each controller holds by itself: without the pages of its program file.
    pub fn memory_mb(&self) -> BTreeMap<usize, f64> {
        let processes = self.processes.lock().unwrap();
        let held = processes.iter().filter_map(|(n, child)| {
            let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
            let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"))?;
            let kb: f64 = line.split_whitespace().next()?.parse().ok()?;
            Some((*n, kb / 1024.0))
        });
        held.collect()
    }

    /// Controllers that have ended by themselves, with how.
    pub fn take_ended(&self) -> Vec<(usize, String)> {
        let mut processes = self.processes.lock().unwrap();
        let ended =
            processes.iter_mut().filter_map(|(n, child)| Some((*n, child.try_wait().ok().flatten()?)));
        let ended: Vec<(usize, String)> = ended.map(|(n, status)| (n, status.to_string())).collect();
        ended.iter().for_each(|(n, _)| {
            processes.remove(n);
        });
        ended
    }

    pub fn leader(&self) -> Option<usize> {
        let record = self.state.value("dc/leader")?;
        (0..self.layout.controllers).find(|n| record["host"] == host(*n))
    }

    pub async fn call(
        &self,
        n: usize,
        method: Method,
        path: &str,
        body: &Value,
        limit: Duration,
    ) -> (u16, Value) {
        let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
        match self.transport.send(request(&self.address(n), method, path, body, limit)).await {
            Ok(answer) => (answer.status, serde_json::from_slice(&answer.body).unwrap_or_default()),
            Err(_) => (0, Value::Null),
        }
    }

    /// Submits a job as users do, until it is accepted; false if it is not within 60 s.
    pub async fn submit(&self, body: &Value, n: usize) -> bool {
        let id = body["id"].as_str().unwrap();
        self.checker.job(id, body["crew"].as_str().unwrap(), body["cpus"].as_f64().unwrap());
        let end = tokio::time::Instant::now() + Duration::from_secs(60);
        while tokio::time::Instant::now() < end {
            let (status, answer) = self.call(n, Method::POST, "/v2/runs", body, Duration::from_secs(5)).await;
            if status == 200 || status == 201 {
                self.record.line(&format!("submit {id} at {}: {status} {answer}", host(n)));
                self.checker.accepted(id);
                return true;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        self.record.line(&format!("{id} is not accepted"));
        false
    }
}

/// A job's submission.
pub fn job(id: &str, team: &str, tasks: u32, cpus: f64) -> Value {
    json!({"id": id, "lane": "customs-check", "crew": team, "form": "sweep", "rank": "normal", "shares": tasks,
        "cpus": cpus, "gpus": 0.0, "memory_gb": 2.0, "bundle": "img", "image_gb": 1.0, "hulls": null,
        "yard": null, "same_place": false, "apart": false, "loaners": true, "reckon_s": 20.0,
        "mark_s": 0.0, "stow_s": 0.0, "due_s": null})
}
