//! What the state service holds of admission. All of it but the tag of a job is written
//! by the leader alone, on condition of its key.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// What credit is granted for: the jobs of one class of one team, those of high rank
/// apart from the others; or, while nothing is refused, any job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bucket(String);

/// The name of the bucket that any job may draw on.
const SHARED_BUCKET_NAME: &str = "*";
/// What follows the name of a bucket of critical and urgent jobs.
const URGENT_SUFFIX: char = '!';
/// The class that jobs of unlisted classes are counted under.
pub const UNLISTED_CLASS: &str = "";

impl Bucket {
    /// The bucket of a team's class.
    pub fn new(team: &str, class: &str, urgent: bool) -> Bucket {
        let suffix = if urgent { String::from(URGENT_SUFFIX) } else { String::new() };
        Bucket(format!("{team}/{class}{suffix}"))
    }

    /// The bucket that any job may draw on.
    pub fn shared() -> Bucket {
        Bucket(SHARED_BUCKET_NAME.to_string())
    }

    /// Whether any job may draw on it.
    pub fn is_shared(&self) -> bool {
        self.0 == SHARED_BUCKET_NAME
    }

    /// The team; the shared bucket has none.
    pub fn team(&self) -> &str {
        self.0.split_once('/').map_or("", |(team, _)| team)
    }

    /// The class.
    pub fn class(&self) -> &str {
        let class = self.0.split_once('/').map_or("", |(_, class)| class);
        class.strip_suffix(URGENT_SUFFIX).unwrap_or(class)
    }

    /// Whether its jobs are critical or urgent.
    pub fn is_urgent(&self) -> bool {
        self.0.ends_with(URGENT_SUFFIX)
    }

    /// Its name, as it is stored.
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

/// What is in force for all controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyRecord {
    /// Whether a submission needs credit. Not before every live controller has announced
    /// that it knows of it.
    #[serde(rename = "on")]
    pub in_force: bool,
    /// The most work that may be outstanding, in processor-seconds.
    #[serde(rename = "l")]
    pub limit: u64,
    /// The most jobs that may be outstanding.
    #[serde(rename = "j")]
    pub max_jobs: u64,
    /// The most that a job is charged, in processor-seconds.
    #[serde(rename = "m")]
    pub max_charge: u64,
    /// The teams' weights.
    #[serde(rename = "w", default)]
    pub weights: BTreeMap<String, f64>,
}

/// Which process may spend a controller's credit. A submission is bound to the version
/// of this record, so none is carried out under an epoch that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The identity of the process; empty: none, the controller is gone.
    #[serde(rename = "i")]
    pub identity: String,
    /// Grows with every change of the process, and whenever unspent credit is taken back.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// The least that a job is charged in this epoch, in processor-seconds: it bounds how
    /// many jobs the credit of the epoch is good for.
    #[serde(rename = "m")]
    pub min_charge: u64,
}

/// How much a controller may spend in an epoch, from its beginning: these ceilings only
/// rise, so a new grant does not outdate submissions that are on their way.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostGrant {
    /// The epoch.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Processor-seconds by bucket.
    #[serde(rename = "c", default)]
    pub ceilings: BTreeMap<Bucket, u64>,
}

/// The grants of some controllers. Controllers share a page as long as it fits a value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantPage {
    /// By the controller's name.
    pub hosts: BTreeMap<String, HostGrant>,
}

/// Credit that is kept for one job, wherever it is submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The job's bucket.
    #[serde(rename = "b")]
    pub bucket: Bucket,
    /// Processor-seconds.
    #[serde(rename = "w")]
    pub charge: u64,
}

/// All reservations, by job. A submission that spends one is bound to the version of
/// this record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReservationsRecord {
    /// By the job's id.
    pub jobs: BTreeMap<String, Reservation>,
}

/// What an accepted job was charged, and to which grant; a part of the job's record for
/// ever, so that what an epoch has spent can always be told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredTag", into = "StoredTag")]
pub struct CreditTag {
    /// The controller whose grant was spent; empty: a reservation for the job.
    pub host: String,
    /// The epoch of the grant.
    pub epoch: u64,
    /// The bucket.
    pub bucket: Bucket,
    /// Processor-seconds.
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
