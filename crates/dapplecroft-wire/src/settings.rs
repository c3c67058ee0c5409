//! The settings file that the platform hands over (JSON).

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// A controller's settings. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// This node's name.
    pub host_name: String,
    /// This node's zone.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Where users, workers and health checks connect.
    pub listen: SocketAddr,
    /// Where the other controllers connect.
    #[serde(rename = "back")]
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "members", default)]
    pub peers: Vec<Peer>,
    /// Outside systems.
    #[serde(rename = "external")]
    pub services: Services,
    /// What is known of the deployment.
    #[serde(rename = "facts")]
    pub params: Params,
}

/// Another controller.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Peer {
    /// Its name.
    pub host_name: String,
    /// Where it listens for controllers.
    pub endpoint: SocketAddr,
}

/// Addresses of outside systems.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Services {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// What is known of the deployment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Params {
    /// Number of controllers.
    pub nodes: u32,
    /// Teams.
    pub teams: Vec<Team>,
    /// The users' aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The workers' timing.
    pub workers: WorkerParams,
    /// The state service's limits.
    pub state: StateParams,
    /// The cloud's limits.
    pub cloud: CloudParams,
    /// What this process may use.
    #[serde(default)]
    pub quota: Quota,
}

/// A team with its guarantee and its limit; 0 means none.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// CPUs guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// CPUs at most.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// GPUs at most.
    #[serde(default)]
    pub gpus_max: f64,
}

/// One aim of the users.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Objective {
    /// `deadline`, `wait`, `finished`, `guarantee`, `price`, `useful`, `makespan` and others.
    pub kind: String,
    /// The class of jobs that it is about.
    #[serde(default)]
    pub class: Option<String>,
    /// The time it allows.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For `up`: the time that a replica has to come up.
    #[serde(default)]
    pub after_s: Option<f64>,
}

/// The workers' timing, in seconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WorkerParams {
    /// Usual interval between reports.
    pub report_s: f64,
    /// How long a worker goes on without an answer.
    pub lease_s: f64,
    /// How long a cancelled task may remain.
    pub cancel_s: f64,
}

/// The state service's limits.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StateParams {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Largest value.
    pub value_kb: f64,
    /// Most changes of a transaction.
    pub txn_ops: usize,
    /// What it will be some day, without notice; what is not named stays.
    #[serde(default)]
    pub next: Option<FutureStateLimits>,
}

/// Limits that the state service will have from some moment on.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct FutureStateLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Puts and deletes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Most changes of a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Sizes that the state service takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeLimits {
    /// Bytes of a value.
    pub value: usize,
    /// Changes of a transaction; conditions are four times as many.
    pub changes: usize,
}

impl StateParams {
    /// What it takes now.
    pub fn current_limits(&self) -> SizeLimits {
        SizeLimits { value: (self.value_kb * 1024.0) as usize, changes: self.txn_ops }
    }

    /// What it takes now and will take later on: the smaller of both.
    pub fn lowest_limits(&self) -> SizeLimits {
        let (now, next) = (self.current_limits(), self.next.clone().unwrap_or_default());
        let value = next.value_kb.map_or(now.value, |kb| (kb * 1024.0) as usize);
        SizeLimits {
            value: value.min(now.value),
            changes: next.txn_ops.unwrap_or(now.changes).min(now.changes),
        }
    }

    /// Requests and changes a second, now and (`next`) some day.
    pub fn rates(&self, next: bool) -> (f64, f64) {
        let future = self.next.clone().filter(|_| next).unwrap_or_default();
        (
            future.rps.map_or(self.rps, |r| r.min(self.rps)),
            future.write_rps.map_or(self.write_rps, |r| r.min(self.write_rps)),
        )
    }
}

/// What this process may use of its machine.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Quota {
    /// Sockets that it may have open.
    pub max_connections: usize,
}

impl Default for Quota {
    fn default() -> Self {
        // What processes usually may have where nothing is said.
        Quota { max_connections: 1024 }
    }
}

/// The cloud's limits.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudParams {
    /// Requests per second.
    pub rps: f64,
    /// How late its lists are.
    pub list_lag_s: f64,
}

/// The least that a value must hold: the longest description of a job that is
/// still taken, with room for what is noted of it.
const MIN_VALUE_KB: f64 = 1.0;
/// The least number of changes that a transaction must take.
const MIN_TRANSACTION_CHANGES: f64 = 2.0;

/// Time by which a holder stops before workers' leases would reach past a
/// cancellation's limit: the drift of two steady clocks over the limit, the
/// state service's tolerance and a generous step of a starved process.
const STATE_CONTACT_MARGIN: Duration = Duration::from_millis(1500);

impl Settings {
    /// Reads and checks a settings file; the error is one line naming the field.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let settings: Settings = serde_json::from_str(text).map_err(|e| e.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        let p = &self.params;
        if self.host_name.is_empty() {
            return Err("host_name: empty".into());
        }
        if self.peers.iter().any(|m| m.host_name == self.host_name) {
            return Err("members: names this node itself".into());
        }
        if p.nodes == 0 {
            return Err("facts.nodes: must be at least 1".into());
        }
        for (name, value) in [
            ("facts.workers.report_s", p.workers.report_s),
            ("facts.workers.lease_s", p.workers.lease_s),
            ("facts.workers.cancel_s", p.workers.cancel_s),
            ("facts.state.rps", p.state.rps),
            ("facts.state.write_rps", p.state.write_rps),
            ("facts.state.value_kb", p.state.value_kb),
            ("facts.cloud.rps", p.cloud.rps),
        ] {
            if !(value.is_finite() && value > 0.0 && value < 1e9) {
                return Err(format!("{name}: must be above 0, is {value}"));
            }
        }
        if !(p.cloud.list_lag_s >= 0.0 && p.cloud.list_lag_s < 1e6) {
            return Err("facts.cloud.list_lag_s: must not be negative".into());
        }
        if p.state.txn_ops < 4 {
            return Err("facts.state.txn_ops: must be at least 4".into());
        }
        let next = p.state.next.clone().unwrap_or_default();
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
        for team in &p.teams {
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

    /// How long a holder may answer workers after its last confirmed contact
    /// with the state service: a worker that it answers last keeps its tasks
    /// for a further `lease_s`, and a cancellation that this node has not heard
    /// of must have ended them within `cancel_s`.
    pub fn contact_limit(&self) -> Duration {
        let w = &self.params.workers;
        let drift = w.cancel_s * 0.002;
        Duration::try_from_secs_f64(w.cancel_s - w.lease_s - drift)
            .unwrap_or(Duration::ZERO)
            .saturating_sub(STATE_CONTACT_MARGIN)
    }

    /// The workers' reporting interval.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.params.workers.report_s)
    }

    /// Whether the users' aims name services that have to be up.
    pub fn expects_services(&self) -> bool {
        self.params.objectives.iter().any(|o| o.kind == "up")
    }

    /// The strictest time within which jobs of `class` should be finished.
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
