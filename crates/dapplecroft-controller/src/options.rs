//! The operators' settings and their defaults.

use dapplecroft_admission::RawAdmissionConfig;
use dapplecroft_federation::FederationSettings;
use std::time::Duration;

/// What operators may tune, in addition to the platform's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Time to live of the state service's lease on the leader key and on each controller's liveness key:
    /// how long the keys remain after their process has died.
    pub node_lease: Duration,
    /// How long a shard's holder may act on its lease without a confirmation from the state service.
    pub shard_lease: Duration,
    /// Minimum time between two drains. A drain moves tasks off a machine to make room for waiting ones;
    /// tasks that have been placed for longer than this are not moved.
    pub drain_interval: Duration,
    /// Only machines whose booked dominant share (the highest of its CPU, GPU and memory shares) is at most
    /// this may be drained.
    pub drain_max_share: f64,
    /// A drain fills no machine beyond the highest dominant share seen on any machine during this time.
    pub drain_window: Duration,
    /// Whether waiting tasks may preempt running tasks of lower rank.
    pub preempt: bool,
    /// A task is not preempted if more machine time than this would be lost (for a task without
    /// checkpoints: the time since it was placed). There is no limit if the waiting task belongs to a
    /// service.
    pub max_preempted_loss: Duration,
    /// How long a machine may be idle before it is released; if unset, this depends on its boot time
    /// and price.
    pub idle_release_after: Option<Duration>,
    /// Whether to rent the cheapest suitable machines (`true`) or those that boot soonest. The platform's
    /// settings do not say which of the two users want.
    pub prefer_cheapest_machines: bool,
    /// Maximum number of machines in a shard; if unset, as many as one record can describe within the state
    /// service's limit on the size of a value.
    pub shard_machines: Option<usize>,
    /// Number of on-demand (not spot) machines kept ready for future services, if the objectives name any
    /// services.
    pub standby_machines: usize,
    /// Maximum number of users' requests handled at the same time; further ones get status 503.
    pub max_requests: usize,
    /// The federation that this cell belongs to, if any.
    pub federation: Option<FederationSettings>,
    /// Admission control; if unset, every submission that can run is accepted.
    pub admission: Option<RawAdmissionConfig>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            node_lease: Duration::from_secs(4),
            shard_lease: Duration::from_secs(30),
            drain_interval: Duration::from_secs(10),
            drain_max_share: 0.5,
            drain_window: Duration::from_secs(10),
            preempt: true,
            max_preempted_loss: Duration::from_secs(60),
            idle_release_after: None,
            prefer_cheapest_machines: true,
            shard_machines: None,
            standby_machines: 6,
            max_requests: 256,
            federation: None,
            admission: None,
        }
    }
}
