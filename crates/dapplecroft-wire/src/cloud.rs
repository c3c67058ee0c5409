//! The cloud's interface.

use serde::{Deserialize, Serialize};

/// Answer to `GET /catalog`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// All machine types on offer.
    #[serde(rename = "hulls")]
    pub machine_types: Vec<MachineType>,
}

/// One machine type.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The type's name.
    pub name: String,
    /// CPUs of one machine.
    pub cpus: f64,
    /// GPUs of one machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of one machine.
    pub memory_gb: f64,
    /// Room for cached images.
    #[serde(default, rename = "local_gb")]
    pub cache_gb: f64,
    /// Rate at which images are fetched.
    #[serde(default, rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an ordinary machine.
    #[serde(default)]
    pub price: f64,
    /// Price per hour of a spot machine.
    #[serde(default, rename = "market_price")]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones that offer the type.
    #[serde(default, rename = "yards")]
    pub zones: Vec<String>,
}

/// `POST /rentals`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request; never used for two different requests.
    #[serde(rename = "charter")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many, at most 50.
    pub count: u32,
}

/// Answer to `POST /rentals`, and the body of `POST /rentals/release`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of machines.
    #[serde(rename = "holdings")]
    pub machines: Vec<String>,
}

/// Answer to `GET /rentals`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines in order of their names.
    #[serde(rename = "holdings")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow.
    #[serde(default)]
    pub truncated: bool,
}

/// A machine as the cloud lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    pub id: String,
    /// Where its worker listens.
    #[serde(default)]
    pub address: String,
    /// Its type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(default, rename = "loaners")]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    #[serde(rename = "stage")]
    pub state: String,
    /// Time since the rental request, when the list was made.
    #[serde(default)]
    pub held_s: f64,
}
