//! The records of admission control in the state service. Only the leader writes them, in
//! transactions conditional on the leader key, with two exceptions: the controller that accepts a
//! job writes the credit tag into the job's record, and any controller may clear
//! [`PolicyRecord::in_force`] when a live controller does not support admission control.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A pool of credit. Either it is for the jobs of one class of one team, with critical and urgent
/// jobs in a bucket of their own, or it is the shared bucket, from which any job may be charged
/// and which is filled while no submission is being refused.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bucket(String);

/// The stored name of the shared bucket.
const SHARED_BUCKET_NAME: &str = "*";
/// Suffix of the stored name of a bucket for critical and urgent jobs.
const URGENT_SUFFIX: char = '!';
/// The class under which jobs are counted whose own class no objective in the settings names.
pub const UNLISTED_CLASS: &str = "";

impl Bucket {
    /// The bucket of a team's class; `urgent` selects the one for critical and urgent jobs.
    pub fn new(team: &str, class: &str, urgent: bool) -> Bucket {
        let suffix = if urgent { String::from(URGENT_SUFFIX) } else { String::new() };
        Bucket(format!("{team}/{class}{suffix}"))
    }

    /// The shared bucket, from which any job may be charged.
    pub fn shared() -> Bucket {
        Bucket(SHARED_BUCKET_NAME.to_string())
    }

    /// Whether this is the shared bucket.
    pub fn is_shared(&self) -> bool {
        self.0 == SHARED_BUCKET_NAME
    }

    /// The bucket's team; empty for the shared bucket.
    pub fn team(&self) -> &str {
        self.0.split_once('/').map_or("", |(team, _)| team)
    }

    /// The class of the bucket's jobs; empty for the shared bucket.
    pub fn class(&self) -> &str {
        let class = self.0.split_once('/').map_or("", |(_, class)| class);
        class.strip_suffix(URGENT_SUFFIX).unwrap_or(class)
    }

    /// Whether the bucket is for critical and urgent jobs.
    pub fn is_urgent(&self) -> bool {
        self.0.ends_with(URGENT_SUFFIX)
    }

    /// The bucket's name as it is stored.
    pub fn name(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Bucket {
    fn from(name: &str) -> Bucket {
        Bucket(name.to_string())
    }
}

impl fmt::Display for Bucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The admission policy that all controllers follow.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyRecord {
    /// Whether a submission needs credit. Set only once every live controller has announced that
    /// it supports admission control.
    #[serde(rename = "on")]
    pub in_force: bool,
    /// Upper bound of outstanding work plus unspent credit, in processor-seconds.
    #[serde(rename = "l")]
    pub limit: u64,
    /// Maximum number of outstanding jobs.
    #[serde(rename = "j")]
    pub max_jobs: u64,
    /// Maximum charge of a job, in processor-seconds.
    #[serde(rename = "m")]
    pub max_charge: u64,
    /// Weight of each team, by name.
    #[serde(rename = "w", default)]
    pub weights: BTreeMap<String, f64>,
}

/// Names the process that may spend a controller's credit. The transaction of each submission is
/// conditional on the version of this record, so none can commit under an epoch that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Identity of the controller process; empty if the controller is gone and nobody may spend.
    #[serde(rename = "i")]
    pub identity: String,
    /// Epoch number. It grows when another process takes over, and whenever the leader revokes
    /// unspent credit.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Minimum charge of a job in this epoch, in processor-seconds. It bounds how many jobs can be
    /// accepted with the epoch's credit.
    #[serde(rename = "m")]
    pub min_charge: u64,
}

/// How much a controller may spend in total since the beginning of an epoch. The ceilings only
/// rise within an epoch, so a new grant does not invalidate submissions that are in flight.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostGrant {
    /// Epoch in which the ceilings apply.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Total that may be spent in the epoch, in processor-seconds, by bucket.
    #[serde(rename = "c", default)]
    pub ceilings: BTreeMap<Bucket, u64>,
}

/// The grants of several controllers. Controllers share a page as long as the record fits the
/// maximum size of a value in the state service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantPage {
    /// Grants by controller name.
    pub hosts: BTreeMap<String, HostGrant>,
}

/// Credit that is reserved for one job; whichever controller receives the job may spend it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Bucket of the job.
    #[serde(rename = "b")]
    pub bucket: Bucket,
    /// Reserved credit, in processor-seconds.
    #[serde(rename = "w")]
    pub charge: u64,
}

/// All reservations. A submission that spends one is conditional on the version of this record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReservationsRecord {
    /// Reservations by job id.
    pub jobs: BTreeMap<String, Reservation>,
}

/// What an accepted job was charged, and against which grant. The tag stays in the job's record
/// for ever, so that the credit spent in an epoch can always be recomputed from the records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredTag", into = "StoredTag")]
pub struct CreditTag {
    /// Name of the controller whose grant was spent; empty if a reservation was spent.
    pub host: String,
    /// Epoch of the grant.
    pub epoch: u64,
    /// Bucket that was charged.
    pub bucket: Bucket,
    /// Amount charged, in processor-seconds.
    pub charge: u64,
}

type StoredTag = (String, u64, Bucket, u64);

impl From<StoredTag> for CreditTag {
    fn from((host, epoch, bucket, charge): StoredTag) -> Self {
        CreditTag { host, epoch, bucket, charge }
    }
}

impl From<CreditTag> for StoredTag {
    fn from(tag: CreditTag) -> Self {
        (tag.host, tag.epoch, tag.bucket, tag.charge)
    }
}
