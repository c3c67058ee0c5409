//! The state service's interface.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Answer to a listing.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Keys in order.
    pub items: Vec<Item>,
    /// Whether more follow.
    #[serde(default)]
    pub truncated: bool,
    /// The service's revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction; version 0 means that the key must not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The version that it must have.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Set {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// Its value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease that it hangs on, if any.
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
    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Set { key, .. } | Change::Drop { key } => key,
        }
    }
}

/// `POST /multi`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Changes, made together or not at all.
    #[serde(rename = "then", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

/// Answer to a transaction, and to reading a key that does not exist.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// The keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
    /// The service's revision.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
}

/// Answer to a new lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantResponse {
    /// The lease's number.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// Answer to a watch.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which every change is in the answer.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes.
    #[serde(default)]
    pub log: Vec<WatchEvent>,
}

/// One change seen by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key, if it was written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub set: Option<String>,
    /// The key, if it was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drop: Option<String>,
    /// The value written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<Value>,
    /// The revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}
