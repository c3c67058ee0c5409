//! Operators' own settings with their defaults.

use dapplecroft_admission::RawAdmission;
use dapplecroft_federation::FederationSettings;
use std::time::Duration;

/// What operators may tune, beyond what the platform hands over.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// How long the leader's and the nodes' keys outlive their process.
    pub node_lease: Duration,
    /// Longest time that a shard lease is good for without a confirmation.
    pub shard_lease: Duration,
    /// Interval between drains.
    pub drain_every: Duration,
    /// Machines up to this dominant share may be drained.
    pub drain_trigger: f64,
    /// Window over which the highest share caps what a drain fills.
    pub drain_window: Duration,
    /// Whether waiting work may displace running work of lower rank.
    pub preempt: bool,
    /// Work that has run longer is not displaced.
    pub preempt_limit: Duration,
    /// How long a machine stays idle before it is returned; unset: by
    /// its boot time and price.
    pub idle_return: Option<Duration>,
    /// Whether to rent the cheapest machines that do, or those that are up
    /// soonest. The platform's settings do not say which the users want.
    pub thrift: bool,
    /// Machines of a shard; unset: as many as the limit of a value lets one
    /// record describe.
    pub shard_machines: Option<usize>,
    /// Ordinary machines that are kept up for services to come, where the aims
    /// name any.
    pub standby_machines: usize,
    /// Users' requests worked on at a time; more get 503.
    pub max_requests: usize,
    /// The federation of cells that this one belongs to, if any.
    pub federation: Option<FederationSettings>,
    /// Admission control; unset: every submission that can run is accepted.
    pub admission: Option<RawAdmission>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            node_lease: Duration::from_secs(4),
            shard_lease: Duration::from_secs(30),
            drain_every: Duration::from_secs(10),
            drain_trigger: 0.5,
            drain_window: Duration::from_secs(10),
            preempt: true,
            preempt_limit: Duration::from_secs(60),
            idle_return: None,
            thrift: true,
            shard_machines: None,
            standby_machines: 6,
            max_requests: 256,
            federation: None,
            admission: None,
        }
    }
}
