//! In-memory test doubles: a network with fault injection rules, the
//! consensus-backed key-value store (the state service), a cloud provider with
//! its worker agents, and a checker of the scheduler's invariants. They run on
//! tokio's paused clock, so simulated time passes without real waiting.
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
