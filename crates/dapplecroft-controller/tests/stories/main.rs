//! Short stories of what goes wrong, against in-memory stand-ins on a stopped
//! clock. A referee watches over the rules in each.

#![allow(clippy::unwrap_used)]

mod blocks;
mod checkpoints;
mod cluster;
mod ends;
mod failures;
mod five;
mod fleet;
mod gap;
mod late;
mod limits;
mod looks;
mod meetings;
mod restarts;
mod services;
mod storms;
mod upgrade;
mod users;
mod zones;
