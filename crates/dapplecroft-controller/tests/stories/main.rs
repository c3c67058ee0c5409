//! Scenario tests of failures, against in-memory fakes of the state service, the cloud and the
//! workers on a paused clock. An invariant checker (`Cluster::checker`) observes every scenario.

#![allow(clippy::unwrap_used)]

mod admission;
mod answers;
mod cells;
mod checkpoints;
mod cluster;
mod combined_faults;
mod credit_checker;
mod failures;
mod federation;
mod five_controllers;
mod fleet;
mod large_fleet;
mod late_messages;
mod limits;
mod overload;
mod overload_hour;
mod random_faults;
mod refused_holder;
mod restarts;
mod service_goals;
mod services;
mod shards;
mod upgrade;
mod users;
mod zones;
