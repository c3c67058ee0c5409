//! What operators set for a cell that belongs to a federation, checked.

use crate::messages::CellId;
use ipnet::IpNet;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The longest name of a cell: it is a part of keys.
pub const MAX_CELL_NAME_BYTES: usize = 63;

/// Another cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCell {
    /// Its name.
    pub name: String,
    /// Where its controllers listen for other cells.
    pub endpoints: Vec<SocketAddr>,
    /// Networks that its controllers may connect from.
    pub networks: Vec<IpNet>,
}

/// What a cell is, and whom it passes jobs to.
#[derive(Debug, Clone, PartialEq)]
pub struct FederationSettings {
    /// This cell.
    pub cell: CellId,
    /// Where this controller listens for other cells.
    pub listen: SocketAddr,
    /// The others.
    pub peers: Vec<PeerCell>,
    /// Whether jobs are offered. If not, what is away still comes home.
    pub offers_jobs: bool,
    /// A job is offered only after it has waited for so long.
    pub spill_after: Duration,
    /// A job of another cell of which nothing has started is given back after so long.
    pub return_after: Duration,
    /// A cell that has refused a job is not offered it again for so long.
    pub refusal_pause: Duration,
    /// A summary older than this is not used.
    pub summary_max_age: Duration,
    /// The part of the processors of all machines that are up that other cells' jobs may
    /// ask for together: the rest is kept for this cell's own work.
    pub hosted_jobs_share: f64,
}

/// Why settings are not accepted; each names the value.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A name of a cell that can't be one.
    #[error(
        "federation.{field}: {name:?} must be 1 to {MAX_CELL_NAME_BYTES} letters, digits, dots or hyphens"
    )]
    InvalidCellName {
        /// The field.
        field: &'static str,
        /// The name.
        name: String,
    },
    /// There is no incarnation.
    #[error("federation.incarnation: must be at least 1")]
    MissingIncarnation,
    /// A cell is named twice.
    #[error("federation.peers: {0} is named twice")]
    DuplicatePeer(String),
    /// A cell is its own peer.
    #[error("federation.peers: {0} is this cell itself")]
    PeerIsThisCell(String),
    /// Something is no address.
    #[error("federation.{field}: {value:?} is no address with a port")]
    InvalidAddress {
        /// The field.
        field: &'static str,
        /// What was given.
        value: String,
    },
    /// A cell has no address.
    #[error("federation.peers: {0} has no endpoints")]
    NoEndpoints(String),
    /// Something is no network.
    #[error("federation.peers.networks: {0:?} is no network")]
    InvalidNetwork(String),
    /// A cell has no network to connect from.
    #[error("federation.peers: {0} has no networks")]
    NoNetworks(String),
    /// Two cells' networks overlap: a connection would not tell them apart.
    #[error("federation.peers.networks: {0} of {1} and {2} of {3} overlap")]
    OverlappingNetworks(IpNet, String, IpNet, String),
    /// An endpoint is in none of its cell's networks.
    #[error("federation.peers: the endpoint {0} of {1} is in none of its networks")]
    EndpointOutsideNetworks(SocketAddr, String),
    /// A number is out of range.
    #[error("federation.{field}: must be from {min} to {max}, is {value}")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// The least value.
        min: f64,
        /// The greatest value.
        max: f64,
        /// What was given.
        value: f64,
    },
}

/// Another cell, as operators write it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawPeerSettings {
    /// Its name.
    pub name: String,
    /// `host:port`, by IP number.
    pub endpoints: Vec<String>,
    /// Networks, such as `10.1.0.0/16`.
    pub networks: Vec<String>,
}

/// The settings, as operators write them; times in seconds, unset ones have defaults.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawFederationSettings {
    /// This cell's name.
    pub cell: String,
    /// Which life of its records.
    pub incarnation: u64,
    /// Where this controller listens for other cells.
    pub listen: String,
    /// The others.
    pub peers: Vec<RawPeerSettings>,
    /// Whether jobs are offered.
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
    let good = (1..=MAX_CELL_NAME_BYTES).contains(&name.len()) && name.chars().all(allowed);
    if good { Ok(()) } else { Err(SettingsError::InvalidCellName { field, name: name.to_string() }) }
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

    /// Whether a controller of this cell may connect from an address.
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
    /// Checks settings; the error names the value that is wrong.
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

    /// A peer by its name.
    pub fn peer(&self, name: &str) -> Option<&PeerCell> {
        self.peers.iter().find(|peer| peer.name == name)
    }
}
