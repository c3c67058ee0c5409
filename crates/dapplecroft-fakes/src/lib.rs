//! In-memory stand-ins of a network, the state service, the cloud and its
//! workers, on tokio's stopped clock. For tests alone.
#![allow(clippy::unwrap_used)]

mod cloud;
mod invariants;
mod net;
mod state;
mod worker;

pub use cloud::FakeCloud;
pub use invariants::{Bound, Referee, Stay, Told};
pub use net::{Action, Handler, Net, Rule};
pub use state::{FakeState, Limits, Refusals};
pub use worker::{FakeWorker, Saves, WorkerTiming};
