//! The rules by which cells (clusters) hand whole jobs over to each other: which cell a
//! job is offered to, and the protocol of the hand-over.
//!
//! This crate performs no I/O and reads no clock. Callers pass in records, messages and
//! the time, and get back the next record, the answer to a message, or the chosen cell.
//! The controller commits the records to its state service and transports the messages;
//! every decision about a hand-over is made here.
//!
//! - [`home`]: the side of the home cell, which the job was submitted to and which stays
//!   responsible for it.
//! - [`host`]: the side of the host cell, which runs a job for its home cell.
//! - [`messages`]: the requests and answers that the two sides exchange about a job.
//! - [`summary`]: the cells' reports of free capacity, and the choice among the cells.
//! - [`settings`]: validation of the federation's settings.

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
