//! Admission control: decides which job submissions a cell accepts under overload, when users
//! ask for more work than the cell can run.
//!
//! The leader grants *credit* (processor-seconds) to the controllers. A controller accepts a
//! job only by spending credit in the transaction that creates the job's record. The sum of
//! outstanding work and unspent credit therefore never exceeds the limit of the policy in force.
//!
//! This crate does no I/O and reads no clock: callers pass in records, messages and the time.
//!
//! - [`records`]: the records of admission control in the state service.
//! - [`charge`]: how much credit a job costs.
//! - [`ledger`]: outstanding work and credit, derived from the records.
//! - [`spender`]: how much credit one controller process may still spend.
//! - [`demand`]: the refused jobs of each bucket, counted in bounded memory.
//! - [`max_min`]: weighted max-min fair shares.
//! - [`planner`]: which credit the leader grants and revokes.
//! - [`retry`]: the `Retry-After` hint for refused submissions.
//! - [`settings`]: the operators' settings and their validation.

pub mod charge;
pub mod demand;
pub mod ledger;
pub mod max_min;
pub mod planner;
pub mod records;
pub mod retry;
pub mod settings;
pub mod spender;

pub use charge::{JobResources, ResourceAmounts, compute_charge};
pub use demand::{BucketDemand, DemandTracker};
pub use ledger::{JobCharge, Ledger};
pub use planner::{ControllerView, Plan, Planner, PlannerInput};
pub use records::{Bucket, CreditTag, EpochRecord, GrantPage, HostGrant, PolicyRecord, ReservationsRecord};
pub use settings::{AdmissionConfig, RawAdmissionConfig, SettingsError};
pub use spender::{Refusal, Settlement, Spender, Spending};
