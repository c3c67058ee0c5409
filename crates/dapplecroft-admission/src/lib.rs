//! Admission control: which submissions a cell accepts when more is asked for than can
//! be done.
//!
//! Everything here is pure: records, messages and the time are passed in. The leader
//! grants *credit* to the controllers; a controller accepts a job only by spending some,
//! in the transaction that creates the job's record. Outstanding work and credit
//! together never exceed the limit of the policy in force.
//!
//! - [`records`]: what the state service holds.
//! - [`charge`]: how much credit a job takes.
//! - [`ledger`]: outstanding work and credit, by the records.
//! - [`spender`]: what one controller may still accept.
//! - [`demand`]: who asks for how much, in bounded memory.
//! - [`max_min`]: weighted max-min fair shares.
//! - [`planner`]: what the leader grants, and takes back.
//! - [`retry`]: when a refused user should come back.
//! - [`settings`]: what operators set, checked.

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
