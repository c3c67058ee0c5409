//! The JSON settings file that the platform provides to each controller.

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a controller. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of this node.
    pub host_name: String,
    /// Zone of this node.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Address to listen on for users, workers and health checks.
    pub listen: SocketAddr,
    /// Address to listen on for the other controllers.
    #[serde(rename = "back")]
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "members", default)]
    pub peers: Vec<Peer>,
    /// Addresses of external systems.
    #[serde(rename = "external")]
    pub services: Services,
    /// Parameters of the deployment.
    #[serde(rename = "facts")]
    pub params: Params,
}

/// Another controller.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Peer {
    /// Name of the controller's node.
    pub host_name: String,
    /// Address at which the controller listens for other controllers.
    pub endpoint: SocketAddr,
}

/// Addresses of external systems.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Services {
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
}

/// Parameters of the deployment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Params {
    /// Number of controllers.
    pub nodes: u32,
    /// Teams and their quotas.
    pub teams: Vec<Team>,
    /// Service-level objectives of the users.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing parameters of the workers.
    pub workers: WorkerParams,
    /// Limits of the state service.
    pub state: StateParams,
    /// Limits of the cloud.
    pub cloud: CloudParams,
    /// Resource limits of this process.
    #[serde(default)]
    pub quota: Quota,
}

/// A team with its guaranteed quota and its quota limit; 0 means that there is none.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed quota of CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Quota limit of CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed quota of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Quota limit of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Objective {
    /// Kind of objective: `deadline`, `wait`, `finished`, `guarantee`, `price`, `useful`, `makespan` and
    /// others.
    pub kind: String,
    /// Class of jobs to which the objective applies.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which the objective must be met, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For kind `up`: time that a service replica may take to start, in seconds.
    #[serde(default)]
    pub after_s: Option<f64>,
}

/// Timing parameters of the workers, in seconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WorkerParams {
    /// Usual interval between heartbeats.
    pub report_s: f64,
    /// Time for which a worker keeps its tasks without a response to its heartbeats.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must have ended.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StateParams {
    /// Requests per second.
    pub rps: f64,
    /// Changes (puts and deletes) per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Limits that the service may switch to at any time, without notice; absent limits stay the same.
    #[serde(default)]
    pub next: Option<FutureStateLimits>,
}

/// Limits that the state service will switch to at an unknown time; `None` means that the limit stays the
/// same.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct FutureStateLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes (puts and deletes) per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Size limits of the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeLimits {
    /// Maximum size of a value, in bytes.
    pub value: usize,
    /// Maximum number of changes in a transaction; a transaction may have four times as many conditions.
    pub changes: usize,
}

impl StateParams {
    /// Size limits that apply now.
    pub fn current_limits(&self) -> SizeLimits {
        SizeLimits { value: (self.value_kb * 1024.0) as usize, changes: self.txn_ops }
    }

    /// Size limits that hold both now and after the announced change: the lower of the two for each limit.
    pub fn lowest_limits(&self) -> SizeLimits {
        let (now, next) = (self.current_limits(), self.next.clone().unwrap_or_default());
        let value = next.value_kb.map_or(now.value, |kb| (kb * 1024.0) as usize);
        SizeLimits {
            value: value.min(now.value),
            changes: next.txn_ops.unwrap_or(now.changes).min(now.changes),
        }
    }

    /// Maximum requests and changes per second. With `next`, the rates that hold after the announced change,
    /// if these are lower than the current ones.
    pub fn rates(&self, next: bool) -> (f64, f64) {
        let future = self.next.clone().filter(|_| next).unwrap_or_default();
        (
            future.rps.map_or(self.rps, |r| r.min(self.rps)),
            future.write_rps.map_or(self.write_rps, |r| r.min(self.write_rps)),
        )
    }
}

/// Resource limits of this process on its machine.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Quota {
    /// Maximum number of sockets that the process may have open.
    pub max_connections: usize,
}

impl Default for Quota {
    fn default() -> Self {
        // The usual default limit of open files per process, which includes sockets.
        Quota { max_connections: 1024 }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudParams {
    /// Requests per second.
    pub rps: f64,
    /// Time by which the cloud's machine list lags behind its actual state, in seconds.
    pub list_lag_s: f64,
}

/// Lower bound for the maximum size of a value: a value must hold the longest job specification that is
/// accepted, with space for the data that the controller stores with it.
const MIN_VALUE_KB: f64 = 1.0;
/// Lower bound for the maximum number of changes in a transaction.
const MIN_TRANSACTION_CHANGES: f64 = 2.0;

/// Safety margin in [`Settings::contact_limit`]: a shard holder stops responding to workers this long before
/// their leases could outlast the time limit of a cancellation. It covers the drift between two monotonic
/// clocks, the tolerance of the state service and a long scheduling delay of a process that gets little CPU
/// time.
const STATE_CONTACT_MARGIN: Duration = Duration::from_millis(1500);

impl Settings {
    /// Parses and validates a settings file; the error is a single line that names the field.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let settings: Settings = serde_json::from_str(text).map_err(|e| e.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        let params = &self.params;
        if self.host_name.is_empty() {
            return Err("host_name: empty".into());
        }
        if self.peers.iter().any(|m| m.host_name == self.host_name) {
            return Err("members: names this node itself".into());
        }
        if params.nodes == 0 {
            return Err("facts.nodes: must be at least 1".into());
        }
        for (name, value) in [
            ("facts.workers.report_s", params.workers.report_s),
            ("facts.workers.lease_s", params.workers.lease_s),
            ("facts.workers.cancel_s", params.workers.cancel_s),
            ("facts.state.rps", params.state.rps),
            ("facts.state.write_rps", params.state.write_rps),
            ("facts.state.value_kb", params.state.value_kb),
            ("facts.cloud.rps", params.cloud.rps),
        ] {
            if !(value.is_finite() && value > 0.0 && value < 1e9) {
                return Err(format!("{name}: must be above 0, is {value}"));
            }
        }
        if !(params.cloud.list_lag_s >= 0.0 && params.cloud.list_lag_s < 1e6) {
            return Err("facts.cloud.list_lag_s: must not be negative".into());
        }
        if params.state.txn_ops < 4 {
            return Err("facts.state.txn_ops: must be at least 4".into());
        }
        let next = params.state.next.clone().unwrap_or_default();
        for (name, value, minimum) in [
            ("facts.state.next.rps", next.rps, 1.0),
            ("facts.state.next.write_rps", next.write_rps, 1.0),
            ("facts.state.next.value_kb", next.value_kb, MIN_VALUE_KB),
            ("facts.state.next.txn_ops", next.txn_ops.map(|n| n as f64), MIN_TRANSACTION_CHANGES),
        ] {
            if let Some(value) = value
                && !(value.is_finite() && value >= minimum && value < 1e9)
            {
                return Err(format!("{name}: must be at least {minimum}, is {value}"));
            }
        }
        if self.contact_limit() < Duration::from_secs(1) {
            return Err("facts.workers.cancel_s: leaves no time beyond lease_s".into());
        }
        for team in &params.teams {
            for (name, value) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                if !(value.is_finite() && value >= 0.0) {
                    return Err(format!("facts.teams.{}.{name}: must not be negative", team.name));
                }
            }
        }
        Ok(())
    }

    /// How long a shard holder may respond to workers after its last confirmed contact with the state
    /// service. A worker keeps its tasks for `lease_s` after the last response, and a cancellation that the
    /// holder has not seen must end the tasks within `cancel_s`; hence the difference of the two, less clock
    /// drift and a margin.
    pub fn contact_limit(&self) -> Duration {
        let workers = &self.params.workers;
        let drift = workers.cancel_s * 0.002;
        Duration::try_from_secs_f64(workers.cancel_s - workers.lease_s - drift)
            .unwrap_or(Duration::ZERO)
            .saturating_sub(STATE_CONTACT_MARGIN)
    }

    /// Interval between a worker's heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.params.workers.report_s)
    }

    /// Whether an objective requires services to be up.
    pub fn expects_services(&self) -> bool {
        self.params.objectives.iter().any(|o| o.kind == "up")
    }

    /// Shortest time, in seconds, within which an objective requires jobs of `class` to be finished.
    pub fn finished_within(&self, class: &str) -> Option<f64> {
        let objectives = self.params.objectives.iter();
        objectives
            .filter(|o| o.kind == "finished" && o.class.as_deref() == Some(class))
            .filter_map(|o| o.within_s)
            .min_by(f64::total_cmp)
    }
}

#[cfg(test)]
mod tests;
