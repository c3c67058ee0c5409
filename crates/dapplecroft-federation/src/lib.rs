//! Cells that pass whole jobs to each other: who may be offered a job, and the
//! hand-over itself.
//!
//! Everything here is pure. Records, messages and the time are passed in, and what
//! comes out is the next record, the answer to a message, or a choice. The controller
//! commits records in its own state service and carries messages; it decides nothing
//! about a hand-over by itself.
//!
//! - [`home`]: the cell that answers for a job for ever.
//! - [`host`]: the cell that runs a job for another one.
//! - [`summary`]: what cells tell of their free room, and the choice among them.
//! - [`settings`]: what operators set, checked.

pub mod home;
pub mod host;
pub mod messages;
pub mod settings;
pub mod summary;

pub use home::{AwayRecord, HomeStep};
pub use host::{HostStep, HostedJob, Origin, RefusalRecord, WatermarkRecord};
pub use messages::{CellId, Epoch, Outcome, TransferRequest, TransferState};
pub use settings::{FederationSettings, PeerCell, SettingsError};
pub use summary::{MachinePool, PeerSummaries, Summary};
