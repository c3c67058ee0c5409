//! In-memory stand-ins for tests: a network with fault rules, the
//! consensus-backed key-value store, a cloud with its worker agents, and an
//! invariant checker over what happened. They run on tokio's paused clock, so
//! simulated time passes without real waiting.
#![allow(clippy::unwrap_used)]

mod cloud;
mod invariants;
mod net;
mod state;
mod worker;

pub use cloud::FakeCloud;
pub use invariants::{InvariantChecker, PlacementConstraint, Stay, Told};
pub use net::{Action, Handler, Net, Rule};
pub use state::{FakeState, Limits, Refusals};
pub use worker::{FakeWorker, Saves, WorkerTiming};
