//! The controller: election, the lease of machines, the loops that bring what
//! is to what is wanted, workers' sessions and the users' interface.
//!
//! [`Node`] is one controller. It talks through a [`Transport`] and [`Peers`],
//! so that tests run whole clusters in memory.
//!
//! [`Transport`]: dapplecroft_net::Transport

mod admission;
pub mod cells;
pub mod core;
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
pub use node::{Node, Parts, Reply};
pub use options::Options;
pub use peers::{NoPeers, PeerService, Peers};
