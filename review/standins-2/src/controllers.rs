//! The project's own program, started as the deploy file says, one process a controller.

use crate::http_io::{Answer, call, serve};
use crate::platform::{Cloud, LEASE, LIST_LAG, REPORT, StateService, UploadedJob, World};
use crate::proxy::{self, Link};
use serde_json::{Value, json};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::sleep;

pub const CONTROLLERS: usize = 3;
pub const CANCEL_S: f64 = 47.0;

/// A case that could not run.
pub type Failed = String;

pub struct Controllers {
    pub world: Arc<World>,
    pub cloud: Arc<Cloud>,
    /// Each controller's link to the network.
    pub links: Vec<Arc<Link>>,
    run: Vec<String>,
    root: PathBuf,
    folder: PathBuf,
    children: Vec<Option<Child>>,
    starts: usize,
}

/// A port that is free now, below those that the system gives to outgoing connections.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(std::process::id().wrapping_mul(37));
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + (n % 20_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Controllers {
    /// Starts the platform's stand-ins and all controllers, and waits until these are in service.
    pub async fn start_all(
        world: &Arc<World>,
        root: &Path,
        folder: &Path,
        machines: usize,
    ) -> Result<Controllers, Failed> {
        let state = serve(Arc::new(StateService(world.clone()))).await;
        let the_cloud = Cloud::new(world, machines);
        let cloud = serve(the_cloud.clone()).await;
        let listen: Vec<SocketAddr> = (0..CONTROLLERS).map(|_| free_address()).collect();
        let back: Vec<SocketAddr> = (0..CONTROLLERS).map(|_| free_address()).collect();
        let host = |n: usize| format!("crofter-{n}");
        let links: Vec<Arc<Link>> = (0..CONTROLLERS).map(|_| Link::new()).collect();
        let mut front = Vec::new();
        for n in 0..CONTROLLERS {
            front.push((host(n), proxy::open(listen[n], vec![links[n].clone()]).await));
            let mut members: Vec<Value> = Vec::new();
            for m in (0..CONTROLLERS).filter(|m| *m != n) {
                let endpoint = proxy::open(back[m], vec![links[n].clone(), links[m].clone()]).await;
                members.push(json!({"host_name": host(m), "domain": "a", "endpoint": endpoint.to_string()}));
            }
            let state = proxy::open(state, vec![links[n].clone()]).await;
            let cloud = proxy::open(cloud, vec![links[n].clone()]).await;
            let settings = json!({
                "host_name": host(n), "domain": "a", "listen": listen[n].to_string(), "back": back[n].to_string(),
                "members": members,
                "external": {"cloud": cloud.to_string(), "state": state.to_string()},
                "facts": {"nodes": CONTROLLERS, "zones": ["a", "b"],
                    "teams": [{"name": "routing", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
                    "objectives": [],
                    "workers": {"report_s": REPORT.as_secs_f64(), "lease_s": LEASE.as_secs_f64(),
                        "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": CANCEL_S},
                    "state": {"rps": 120.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 12},
                    "cloud": {"rps": 5.0, "list_lag_s": LIST_LAG.as_secs_f64()},
                    "quota": {"cores": 0.08, "mem_mb": 200.0, "max_connections": 3000},
                    "clock_off_ms": 1000.0}
            });
            let path = folder.join(format!("settings-{n}.json"));
            std::fs::write(path, settings.to_string()).map_err(|e| e.to_string())?;
        }
        *world.controllers.lock().unwrap() = front;
        let deploy = std::fs::read_to_string(root.join("deploy/service.toml")).map_err(|e| e.to_string())?;
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or("no run line in deploy/service.toml")?.split(' ').map(str::to_string).collect();
        let mut all = Controllers {
            world: world.clone(),
            cloud: the_cloud,
            links,
            run,
            root: root.into(),
            folder: folder.into(),
            children: (0..CONTROLLERS).map(|_| None).collect(),
            starts: 0,
        };
        for n in 0..CONTROLLERS {
            all.start(n)?;
        }
        for n in 0..CONTROLLERS {
            all.until(&format!("crofter-{n} is in service"), 25, || async {
                all.call(n, "GET", "/up", "").await.is_some_and(|a| a.status == 200)
            })
            .await?;
        }
        Ok(all)
    }

    pub fn address(&self, n: usize) -> SocketAddr {
        self.world.controllers.lock().unwrap()[n].1
    }

    pub fn start(&mut self, n: usize) -> Result<(), Failed> {
        self.starts += 1;
        let log = File::create(self.folder.join(format!("{:02}-crofter-{n}.log", self.starts)));
        let child = Command::new(self.root.join(&self.run[0]))
            .args(&self.run[1..])
            .arg(self.folder.join(format!("settings-{n}.json")))
            .env("LOG_LEVEL", "info")
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_err(|e| e.to_string())?)
            .spawn()
            .map_err(|e| e.to_string())?;
        self.world.record.log(format!("NODE   crofter-{n} is started"));
        // The calling script ends what this process could not end.
        let pids = self.folder.join("pids");
        let known = std::fs::read_to_string(&pids).unwrap_or_default();
        std::fs::write(pids, format!("{known}{}\n", child.id())).map_err(|e| e.to_string())?;
        self.children[n] = Some(child);
        Ok(())
    }

    /// Ends a controller without a signal that it could notice.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.world.record.log(format!("NODE   crofter-{n} is killed"));
        }
    }

    /// Whether a controller has ended by itself.
    pub fn ended(&mut self, n: usize) -> bool {
        self.children[n].as_mut().is_some_and(|c| c.try_wait().is_ok_and(|s| s.is_some()))
    }

    pub async fn call(&self, n: usize, method: &str, path: &str, body: &str) -> Option<Answer> {
        call(self.address(n), method, path, body, Duration::from_secs(5)).await
    }

    /// Submits a job, with retries as a user would make them; also uploads its description.
    pub async fn submit(&self, id: &str, tasks: u32, job: UploadedJob) -> Result<(), Failed> {
        self.submit_as(id, tasks, job, json!({})).await
    }

    /// Like `submit`, with some fields of the submission changed.
    pub async fn submit_as(
        &self,
        id: &str,
        tasks: u32,
        job: UploadedJob,
        fields: Value,
    ) -> Result<(), Failed> {
        let mut body = json!({"id": id, "lane": "roster-build", "crew": "routing", "form": "sweep", "rank": "normal",
            "shares": tasks, "cpus": job.cpus, "gpus": 0.0, "memory_gb": 1.0, "bundle": "img", "image_gb": 0.5,
            "hulls": null, "yard": null, "same_place": false, "apart": false, "loaners": false,
            "reckon_s": job.run.as_secs_f64(), "mark_s": 0.0, "stow_s": 0.0, "due_s": null});
        for (name, value) in fields.as_object().into_iter().flatten() {
            body[name] = value.clone();
        }
        self.world.jobs.lock().unwrap().insert(id.into(), job);
        for attempt in 0..20 {
            let answer = self.call(attempt % CONTROLLERS, "POST", "/v2/runs", &body.to_string()).await;
            let text = answer.as_ref().map(|a| format!("{} {}", a.status, a.body));
            self.world.record.log(format!("USER   submits {id}: {text:?}"));
            if answer.is_some_and(|a| a.status == 200 || a.status == 201) {
                return Ok(());
            }
            sleep(Duration::from_secs(1)).await;
        }
        Err(format!("{id} is not accepted"))
    }

    /// Waits for something that has to happen before the case can go on.
    pub async fn until<F: Future<Output = bool>>(
        &self,
        what: &str,
        seconds: u64,
        mut ready: impl FnMut() -> F,
    ) -> Result<(), Failed> {
        for _ in 0..seconds * 5 {
            if ready().await {
                return Ok(());
            }
            sleep(Duration::from_millis(200)).await;
        }
        Err(format!("not within {seconds} s: {what}"))
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..CONTROLLERS).for_each(|n| self.kill(n));
    }
}
