//! Settings of a cell that belongs to a federation, and their validation.

use crate::messages::CellId;
use ipnet::IpNet;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Longest accepted cell name. Names are limited because they are part of keys in the
/// state service.
pub const MAX_CELL_NAME_BYTES: usize = 63;

/// Validated settings for another cell of the federation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCell {
    /// Name of the cell.
    pub name: String,
    /// Addresses at which the cell's controllers accept requests of other cells.
    pub endpoints: Vec<SocketAddr>,
    /// Networks from which the cell's controllers may connect.
    pub networks: Vec<IpNet>,
}

/// Validated federation settings of this cell.
#[derive(Debug, Clone, PartialEq)]
pub struct FederationSettings {
    /// Name and incarnation of this cell.
    pub cell: CellId,
    /// Address at which this controller accepts requests of other cells.
    pub listen: SocketAddr,
    /// The other cells of the federation.
    pub peers: Vec<PeerCell>,
    /// Whether this cell offers jobs to other cells. If not, jobs that are already away
    /// are still followed until they end or are returned.
    pub offers_jobs: bool,
    /// How long a job has to wait for capacity before it is offered to another cell.
    pub spill_after: Duration,
    /// How long a hosted job may wait without any of its tasks having started before it is
    /// returned to its home cell.
    pub return_after: Duration,
    /// How long a job is not offered again to a cell that refused it.
    pub refusal_pause: Duration,
    /// Age from which on another cell's summary is no longer used.
    pub summary_max_age: Duration,
    /// Largest share of the CPUs of all machines that are up which the hosted jobs together
    /// may request. The rest is reserved for this cell's own jobs.
    pub hosted_jobs_share: f64,
}

/// Reason for rejecting the settings. Each message names the offending value.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A cell name is empty, too long or contains a character that is not allowed.
    #[error(
        "federation.{field}: {name:?} must be 1 to {MAX_CELL_NAME_BYTES} letters, digits, dots or hyphens"
    )]
    InvalidCellName {
        /// Path of the setting below `federation`.
        field: &'static str,
        /// The rejected name.
        name: String,
    },
    /// The incarnation is missing or 0.
    #[error("federation.incarnation: must be at least 1")]
    MissingIncarnation,
    /// Two peers have the same name.
    #[error("federation.peers: {0} is named twice")]
    DuplicatePeer(String),
    /// This cell is listed as its own peer.
    #[error("federation.peers: {0} is this cell itself")]
    PeerIsThisCell(String),
    /// A value is not an IP address with a port.
    #[error("federation.{field}: {value:?} is not an IP address with a port")]
    InvalidAddress {
        /// Path of the setting below `federation`.
        field: &'static str,
        /// The rejected value.
        value: String,
    },
    /// A peer has no endpoints.
    #[error("federation.peers: {0} has no endpoints")]
    NoEndpoints(String),
    /// A value is not a network in CIDR notation.
    #[error("federation.peers.networks: {0:?} is not a network such as 10.1.0.0/16")]
    InvalidNetwork(String),
    /// A peer has no networks from which it may connect.
    #[error("federation.peers: {0} has no networks")]
    NoNetworks(String),
    /// The networks of two peers overlap, so the source address of a connection would not
    /// tell which of them connects.
    #[error("federation.peers.networks: {0} of {1} and {2} of {3} overlap")]
    OverlappingNetworks(IpNet, String, IpNet, String),
    /// An endpoint of a peer lies outside that peer's networks.
    #[error("federation.peers: the endpoint {0} of {1} is in none of its networks")]
    EndpointOutsideNetworks(SocketAddr, String),
    /// A number is outside its allowed range.
    #[error("federation.{field}: must be from {min} to {max}, is {value}")]
    OutOfRange {
        /// Path of the setting below `federation`.
        field: &'static str,
        /// Lowest allowed value.
        min: f64,
        /// Highest allowed value.
        max: f64,
        /// The rejected value.
        value: f64,
    },
}

/// Settings for another cell, before validation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawPeerSettings {
    /// See [`PeerCell::name`].
    pub name: String,
    /// See [`PeerCell::endpoints`]. Each is an IP address with a port.
    pub endpoints: Vec<String>,
    /// See [`PeerCell::networks`]. Each is in CIDR notation, such as `10.1.0.0/16`.
    pub networks: Vec<String>,
}

/// Federation settings before validation. Times are in seconds; fields that are `None` get
/// defaults.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawFederationSettings {
    /// Name of this cell.
    pub cell: String,
    /// Incarnation of this cell's records, at least 1. See [`CellId::incarnation`].
    pub incarnation: u64,
    /// See [`FederationSettings::listen`].
    pub listen: String,
    /// See [`FederationSettings::peers`].
    pub peers: Vec<RawPeerSettings>,
    /// See [`FederationSettings::offers_jobs`].
    pub offers: Option<bool>,
    /// See [`FederationSettings::spill_after`].
    pub spill_after_s: Option<f64>,
    /// See [`FederationSettings::return_after`].
    pub return_after_s: Option<f64>,
    /// See [`FederationSettings::refusal_pause`].
    pub refusal_pause_s: Option<f64>,
    /// See [`FederationSettings::summary_max_age`].
    pub summary_fresh_s: Option<f64>,
    /// See [`FederationSettings::hosted_jobs_share`].
    pub visitors_share: Option<f64>,
}

fn check_cell_name(field: &'static str, name: &str) -> Result<(), SettingsError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '.' || c == '-';
    let valid = (1..=MAX_CELL_NAME_BYTES).contains(&name.len()) && name.chars().all(allowed);
    if valid { Ok(()) } else { Err(SettingsError::InvalidCellName { field, name: name.to_string() }) }
}

fn parse_address(field: &'static str, value: &str) -> Result<SocketAddr, SettingsError> {
    value.parse().map_err(|_| SettingsError::InvalidAddress { field, value: value.to_string() })
}

fn check_range(field: &'static str, value: f64, min: f64, max: f64) -> Result<f64, SettingsError> {
    if (min..=max).contains(&value) {
        Ok(value)
    } else {
        Err(SettingsError::OutOfRange { field, min, max, value })
    }
}

fn parse_duration(
    field: &'static str,
    value: Option<f64>,
    default: f64,
    min: f64,
    max: f64,
) -> Result<Duration, SettingsError> {
    check_range(field, value.unwrap_or(default), min, max).map(Duration::from_secs_f64)
}

impl PeerCell {
    fn validate(raw: &RawPeerSettings) -> Result<PeerCell, SettingsError> {
        check_cell_name("peers.name", &raw.name)?;
        let endpoints: Vec<SocketAddr> = raw
            .endpoints
            .iter()
            .map(|text| parse_address("peers.endpoints", text))
            .collect::<Result<_, _>>()?;
        let networks: Vec<IpNet> = raw
            .networks
            .iter()
            .map(|text| text.parse().map_err(|_| SettingsError::InvalidNetwork(text.clone())))
            .collect::<Result<_, _>>()?;
        if endpoints.is_empty() {
            return Err(SettingsError::NoEndpoints(raw.name.clone()));
        }
        if networks.is_empty() {
            return Err(SettingsError::NoNetworks(raw.name.clone()));
        }
        let peer = PeerCell { name: raw.name.clone(), endpoints, networks };
        match peer.endpoints.iter().find(|endpoint| !peer.may_connect(endpoint.ip())) {
            Some(endpoint) => Err(SettingsError::EndpointOutsideNetworks(*endpoint, peer.name.clone())),
            None => Ok(peer),
        }
    }

    /// Whether the cell's controllers may connect from the address `from`.
    pub fn may_connect(&self, from: IpAddr) -> bool {
        self.networks.iter().any(|network| network.contains(&from))
    }
}

fn find_overlap(peers: &[PeerCell]) -> Option<SettingsError> {
    for (n, one) in peers.iter().enumerate() {
        for other in &peers[n + 1..] {
            for a in &one.networks {
                for b in &other.networks {
                    if a.contains(b) || b.contains(a) {
                        return Some(SettingsError::OverlappingNetworks(
                            *a,
                            one.name.clone(),
                            *b,
                            other.name.clone(),
                        ));
                    }
                }
            }
        }
    }
    None
}

impl FederationSettings {
    /// Validates `raw` and fills in defaults.
    pub fn validate(raw: &RawFederationSettings) -> Result<FederationSettings, SettingsError> {
        check_cell_name("cell", &raw.cell)?;
        if raw.incarnation == 0 {
            return Err(SettingsError::MissingIncarnation);
        }
        let peers: Vec<PeerCell> = raw.peers.iter().map(PeerCell::validate).collect::<Result<_, _>>()?;
        let mut names = BTreeSet::new();
        for peer in &peers {
            if peer.name == raw.cell {
                return Err(SettingsError::PeerIsThisCell(peer.name.clone()));
            }
            if !names.insert(&peer.name) {
                return Err(SettingsError::DuplicatePeer(peer.name.clone()));
            }
        }
        if let Some(error) = find_overlap(&peers) {
            return Err(error);
        }
        Ok(FederationSettings {
            cell: CellId::new(&raw.cell, raw.incarnation),
            listen: parse_address("listen", &raw.listen)?,
            offers_jobs: raw.offers.unwrap_or(true),
            spill_after: parse_duration("spill_after_s", raw.spill_after_s, 20.0, 1.0, 3600.0)?,
            return_after: parse_duration("return_after_s", raw.return_after_s, 60.0, 5.0, 3600.0)?,
            refusal_pause: parse_duration("refusal_pause_s", raw.refusal_pause_s, 30.0, 1.0, 3600.0)?,
            summary_max_age: parse_duration("summary_fresh_s", raw.summary_fresh_s, 6.0, 2.0, 60.0)?,
            hosted_jobs_share: check_range("visitors_share", raw.visitors_share.unwrap_or(0.5), 0.0, 1.0)?,
            peers,
        })
    }

    /// The peer with this name, if it is listed.
    pub fn peer(&self, name: &str) -> Option<&PeerCell> {
        self.peers.iter().find(|peer| peer.name == name)
    }
}
