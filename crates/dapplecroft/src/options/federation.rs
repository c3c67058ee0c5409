//! The part of the operators' settings that is about other cells.

use super::message::{flag, float, messages, nested, number, text, texts};
use dapplecroft_federation::FederationSettings;
use dapplecroft_federation::settings::{RawFederationSettings, RawPeerSettings, SettingsError};
use prost_reflect::DynamicMessage;

fn peer(message: &DynamicMessage) -> RawPeerSettings {
    RawPeerSettings {
        name: text(message, "name"),
        endpoints: texts(message, "endpoints"),
        networks: texts(message, "networks"),
    }
}

/// Reads and checks the federation, if there is one.
pub(super) fn read(options: &DynamicMessage) -> Result<Option<FederationSettings>, SettingsError> {
    let Some(message) = nested(options, "federation") else { return Ok(None) };
    let raw = RawFederationSettings {
        cell: text(&message, "cell"),
        incarnation: number(&message, "incarnation").unwrap_or(0),
        listen: text(&message, "listen"),
        peers: messages(&message, "peers").iter().map(peer).collect(),
        offers: flag(&message, "offers"),
        spill_after_s: float(&message, "spill_after_s"),
        return_after_s: float(&message, "return_after_s"),
        refusal_pause_s: float(&message, "refusal_pause_s"),
        summary_fresh_s: float(&message, "summary_fresh_s"),
        visitors_share: float(&message, "visitors_share"),
    };
    FederationSettings::validate(&raw).map(Some)
}
