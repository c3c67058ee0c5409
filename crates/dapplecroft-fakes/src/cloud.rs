//! An in-memory cloud provider: it rents machines, boots them with a worker
//! agent and takes them back. Tests can make machines fail to boot or disappear,
//! and make the cloud run out of capacity or have an outage.

use crate::invariants::InvariantChecker;
use crate::net::{Handler, Net, Query};
use crate::worker::{FakeWorker, WorkerTiming};
use async_trait::async_trait;
use dapplecroft_net::Response;
use dapplecroft_wire::cloud::{MachineNames, RentRequest};
use http::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Maximum number of machines on one page of the list of rented machines.
const MAX_LISTED: usize = 500;

/// A machine that was rented at some time, whether or not it still exists.
struct RentedMachine {
    machine_type: String,
    zone: String,
    spot: bool,
    rented_at: Instant,
    /// When the machine was released or disappeared; `None` while it exists.
    removed_at: Option<Instant>,
    /// The machine's worker agent, from the end of the boot until the machine is removed.
    worker: Option<Arc<FakeWorker>>,
}

#[derive(Default)]
struct Inner {
    machines: BTreeMap<String, RentedMachine>,
    /// Machines rented for each request ID, so that a repeated request gets the same
    /// machines instead of new ones.
    machines_by_request: BTreeMap<String, Vec<String>>,
    last_machine_number: u64,
    /// Maximum number of machines that exist at the same time.
    capacity: usize,
    /// Numbers of the machines that never boot.
    never_booting: Vec<u64>,
    /// Added to `list_lag` on request of a test.
    extra_list_lag: Duration,
    outage: bool,
    boot_time_override: Option<Duration>,
    /// Zones that offer machines besides `z`.
    extra_zones: Vec<String>,
}

/// A cloud that rents machines of one type, `m` (16 CPUs, 64 GB), in zone `z`.
pub struct FakeCloud {
    inner: Mutex<Inner>,
    net: Arc<Net>,
    checker: Arc<InvariantChecker>,
    /// Name and address of each controller, for the worker agents.
    controllers: Vec<(String, String)>,
    timing: WorkerTiming,
    /// How far the list of machines lags behind the true state.
    list_lag: Duration,
    default_boot_time: Duration,
    weak_self: Weak<FakeCloud>,
}

fn json_response(status: u16, body: Value) -> Response {
    Response { status, body: body.to_string().into_bytes().into() }
}

impl FakeCloud {
    /// Creates a cloud that can rent out up to `capacity` machines at the same time.
    /// The worker agents report to the controllers in `nodes` (name and address).
    pub fn new(
        net: &Arc<Net>,
        referee: &Arc<InvariantChecker>,
        nodes: &[(String, String)],
        timing: WorkerTiming,
        capacity: usize,
    ) -> Arc<FakeCloud> {
        Arc::new_cyclic(|weak_self| FakeCloud {
            inner: Mutex::new(Inner { capacity, ..Inner::default() }),
            net: net.clone(),
            checker: referee.clone(),
            controllers: nodes.to_vec(),
            timing,
            list_lag: Duration::from_secs(6),
            default_boot_time: Duration::from_secs(5),
            weak_self: weak_self.clone(),
        })
    }

    /// Makes the `n`-th rented machine (counted from 1) never boot.
    pub fn never_up(&self, n: u64) {
        self.inner.lock().unwrap().never_booting.push(n);
    }

    /// Sets the capacity from now on. Machines beyond it keep running, but none are
    /// rented until the number is below it again.
    pub fn shrink(&self, capacity: usize) {
        self.inner.lock().unwrap().capacity = capacity;
    }

    /// Sets the boot time of machines rented from now on.
    pub fn boots_within(&self, time: Duration) {
        self.inner.lock().unwrap().boot_time_override = Some(time);
    }

    /// Adds zones to the catalog, besides `z`.
    pub fn add_zones(&self, zones: &[&str]) {
        self.inner.lock().unwrap().extra_zones.extend(zones.iter().map(|z| z.to_string()));
    }

    /// Returns a machine's zone.
    pub fn zone(&self, id: &str) -> String {
        self.inner.lock().unwrap().machines[id].zone.clone()
    }

    /// Makes the list of machines lag by this much more than it does by default.
    pub fn older_lists(&self, by: Duration) {
        self.inner.lock().unwrap().extra_list_lag = by;
    }

    /// Begins or ends an outage, during which every request is answered with status 503.
    pub fn outage(&self, on: bool) {
        self.inner.lock().unwrap().outage = on;
    }

    /// Returns the names of the machines that currently exist, booted or not.
    pub fn machines(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        inner.machines.iter().filter(|(_, m)| m.removed_at.is_none()).map(|(id, _)| id.clone()).collect()
    }

    /// Returns how many machines have been rented in total, removed ones included.
    pub fn rented(&self) -> usize {
        self.inner.lock().unwrap().machines.len()
    }

    /// Whether a machine has booted and still exists.
    pub fn has_worker(&self, id: &str) -> bool {
        self.inner.lock().unwrap().machines.get(id).is_some_and(|m| m.worker.is_some())
    }

    /// Returns a machine's worker agent; panics unless the machine has booted and still exists.
    pub fn worker(&self, id: &str) -> Arc<FakeWorker> {
        self.inner.lock().unwrap().machines[id].worker.clone().unwrap()
    }

    /// Removes a machine without notice, as when it fails or the cloud preempts it.
    pub fn take(&self, id: &str) {
        self.remove_machines(&[id.to_string()]);
    }

    /// Removes machines and destroys their worker agents; machines that are already
    /// removed or unknown are ignored.
    fn remove_machines(&self, ids: &[String]) {
        let mut inner = self.inner.lock().unwrap();
        for id in ids {
            if let Some(machine) = inner.machines.get_mut(id) {
                machine.removed_at.get_or_insert(Instant::now());
                self.checker.machine(id, None);
                if let Some(worker) = machine.worker.take() {
                    worker.destroy();
                }
            }
        }
    }

    /// Rents the requested number of machines, or as many as the capacity allows.
    fn rent_machines(&self, request: &RentRequest) -> Response {
        let mut inner = self.inner.lock().unwrap();
        if let Some(ids) = inner.machines_by_request.get(&request.request) {
            return json_response(200, json!({"holdings": ids}));
        }
        let used = inner.machines.values().filter(|m| m.removed_at.is_none()).count();
        let count = (request.count as usize).min(inner.capacity.saturating_sub(used));
        if count == 0 {
            return json_response(503, json!({"error": "no capacity"}));
        }
        let mut ids = Vec::new();
        for _ in 0..count {
            inner.last_machine_number += 1;
            let number = inner.last_machine_number;
            let id = format!("i-{number:06}");
            let rented = RentedMachine {
                machine_type: request.machine_type.clone(),
                zone: request.zone.clone(),
                spot: request.spot,
                rented_at: Instant::now(),
                removed_at: None,
                worker: None,
            };
            inner.machines.insert(id.clone(), rented);
            if !inner.never_booting.contains(&number) {
                let (cloud, id) = (self.weak_self.upgrade().unwrap(), id.clone());
                tokio::spawn(async move { cloud.boot_machine(&id).await });
            }
            ids.push(id);
        }
        inner.machines_by_request.insert(request.request.clone(), ids.clone());
        json_response(200, json!({"holdings": ids}))
    }

    /// Waits for the boot time, then starts the machine's worker agent if the machine
    /// still exists.
    async fn boot_machine(&self, id: &str) {
        let boot_time = self.inner.lock().unwrap().boot_time_override.unwrap_or(self.default_boot_time);
        sleep(boot_time).await;
        let mut inner = self.inner.lock().unwrap();
        let Some(machine) = inner.machines.get_mut(id).filter(|m| m.removed_at.is_none()) else { return };
        let worker = FakeWorker::start(
            &self.net,
            &self.checker,
            &self.controllers,
            &self.timing,
            id,
            &machine.machine_type,
            &machine.zone,
            machine.spot,
        );
        self.checker.zone(id, &machine.zone);
        machine.worker = Some(worker);
        self.checker.machine(id, Some(16.0));
    }

    /// Zones that the catalog offers.
    fn zones(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        std::iter::once("z".to_string()).chain(inner.extra_zones.iter().cloned()).collect()
    }

    /// Returns one page of the rented machines as they were `list_lag` ago: the machines
    /// whose names sort after `from`, at most as many as the protocol allows per page.
    fn list_machines(&self, path: &str) -> Response {
        let inner = self.inner.lock().unwrap();
        let Some(at) = Instant::now().checked_sub(self.list_lag + inner.extra_list_lag) else {
            return json_response(200, json!({"holdings": [], "truncated": false}));
        };
        let query = Query::new(path);
        let from = query.text("from");
        let limit = usize::try_from(query.number("limit")).unwrap_or(MAX_LISTED).clamp(1, MAX_LISTED);
        let mut listed = inner.machines.iter().filter(|(id, m)| {
            **id > from && m.rented_at <= at && m.removed_at.is_none_or(|removed_at| removed_at > at)
        });
        let page: Vec<Value> = listed
            .by_ref()
            .take(limit)
            .map(|(id, m)| {
                json!({"id": id, "address": format!("w:{id}"), "hull": m.machine_type, "yard": m.zone,
                    "loaners": m.spot, "stage": "running", "held_s": (at - m.rented_at).as_secs_f64()})
            })
            .collect();
        json_response(200, json!({"holdings": page, "truncated": listed.next().is_some()}))
    }
}

#[async_trait]
impl Handler for FakeCloud {
    async fn handle(&self, _: &str, _: Method, path: &str, body: &[u8]) -> Response {
        sleep(Duration::from_millis(50)).await;
        if self.inner.lock().unwrap().outage {
            return json_response(503, json!({"error": "trouble"}));
        }
        match path {
            "/catalog" => json_response(
                200,
                json!({"hulls": [{"name": "m", "cpus": 16.0, "gpus": 0, "memory_gb": 64.0, "local_gb": 50,
                    "pull_gb_per_s": 1.0, "price": 1.0, "market_price": 0.3, "boot_s": 5, "yards": self.zones()}]}),
            ),
            "/rentals" => match serde_json::from_slice::<RentRequest>(body) {
                Ok(request) => self.rent_machines(&request),
                Err(_) => json_response(400, json!({"error": "malformed"})),
            },
            "/rentals/release" => match serde_json::from_slice::<MachineNames>(body) {
                Ok(names) => {
                    self.remove_machines(&names.machines);
                    json_response(200, json!({}))
                }
                Err(_) => json_response(400, json!({"error": "malformed"})),
            },
            _ => self.list_machines(path),
        }
    }
}
