//! Short stories of what goes wrong, against in-memory stand-ins on a stopped
//! clock. A referee watches over the rules in each.

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
mod gap;
mod large_fleet;
mod late;
mod limits;
mod overload;
mod overload_hour;
mod restarts;
mod service_goals;
mod services;
mod shards;
mod storms;
mod upgrade;
mod users;
mod zones;
