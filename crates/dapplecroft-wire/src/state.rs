//! HTTP interface of the state service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value and version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value of the key.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision at which the key was last changed.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Response to a list request: one page of keys.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Items, ordered by key.
    pub items: Vec<Item>,
    /// Whether there are more items after this page.
    #[serde(default)]
    pub truncated: bool,
    /// Revision of the service at the time of the response.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction; version 0 means that the key must not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Version that the key must have.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Set {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// New value of the key.
        #[serde(rename = "data")]
        value: Value,
        /// Lease that the key is attached to, if any; the key is removed when the lease ends.
        #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Drop {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Change {
    /// Key that is written or removed.
    pub fn key(&self) -> &str {
        match self {
            Change::Set { key, .. } | Change::Drop { key } => key,
        }
    }
}

/// Body of `POST /multi`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold for the changes to be made.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Changes that are made together or not at all.
    #[serde(rename = "then", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

/// Response to a transaction, and to a read of a key that does not exist.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision of the service at the time of the response.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
}

/// Response to a lease request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantResponse {
    /// Number of the new lease.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// Response to a watch request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the response contains every change.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes since the requested revision.
    #[serde(default)]
    pub log: Vec<WatchEvent>,
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was written; absent if the change removed a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub set: Option<String>,
    /// Key that was removed; absent if the change wrote a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drop: Option<String>,
    /// Value that was written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}
