//! The controller: leader election, leases of machine shards, the reconciliation
//! loops, workers' sessions and the users' API.
//!
//! [`Node`] is one controller process. It does all its communication through a
//! [`Transport`] and [`Peers`], so that tests can run whole clusters in memory.
//!
//! [`Transport`]: dapplecroft_net::Transport

mod admission;
pub mod cells;
pub mod core;
pub mod fencing;
pub mod jobs;
pub mod legacy;
mod loops;
pub mod machines;
mod node;
mod options;
mod peers;
pub mod ranges;
pub mod records;
mod users;

pub use admission::resolve_admission;
pub use cells::{CellClient, ExchangeError, NoCellClient};
pub use node::{Node, NodeConfig, Reply};
pub use options::Options;
pub use peers::{NoPeers, PeerService, Peers};
