//! HTTP interface of the cloud that rents machines.

use serde::{Deserialize, Serialize};

/// Response to `GET /catalog`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// All machine types on offer.
    #[serde(rename = "hulls")]
    pub machine_types: Vec<MachineType>,
}

/// A machine type on offer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the machine type.
    pub name: String,
    /// Number of CPUs of one machine.
    pub cpus: f64,
    /// Number of GPUs of one machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of one machine, in gigabytes.
    pub memory_gb: f64,
    /// Size of the machine's image cache, in gigabytes.
    #[serde(default, rename = "local_gb")]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images.
    #[serde(default, rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an ordinary machine.
    #[serde(default)]
    pub price: f64,
    /// Price per hour of a spot machine.
    #[serde(default, rename = "market_price")]
    pub spot_price: f64,
    /// Usual boot time, in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones in which the machine type is offered.
    #[serde(default, rename = "yards")]
    pub zones: Vec<String>,
}

/// Body of `POST /rentals`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request, which makes it idempotent; must not be used for two different requests.
    #[serde(rename = "charter")]
    pub request: String,
    /// Machine type to rent.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone in which to rent the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to rent spot machines rather than ordinary ones.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines, at most 50.
    pub count: u32,
}

/// Response to `POST /rentals`, and the body of `POST /rentals/release`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "holdings")]
    pub machines: Vec<String>,
}

/// Response to `GET /rentals`: one page of the machine list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines, ordered by name.
    #[serde(rename = "holdings")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more machines after this page.
    #[serde(default)]
    pub truncated: bool,
}

/// An entry of the cloud's machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    pub id: String,
    /// Address at which the machine's worker listens.
    #[serde(default)]
    pub address: String,
    /// Machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(default, rename = "loaners")]
    pub spot: bool,
    /// State of the machine: `starting`, `running` or `failed`.
    #[serde(rename = "stage")]
    pub state: String,
    /// Seconds from the rental request until the list was generated.
    #[serde(default)]
    pub held_s: f64,
}
