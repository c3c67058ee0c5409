//! Parses the `federation` section of the operators' settings, which describes this cell and its peer cells.

use super::message_fields::{
    bool_field, f64_field, message_field, message_list, string_field, string_list, u64_field,
};
use dapplecroft_federation::FederationSettings;
use dapplecroft_federation::settings::{RawFederationSettings, RawPeerSettings, SettingsError};
use prost_reflect::DynamicMessage;

fn parse_peer(message: &DynamicMessage) -> RawPeerSettings {
    RawPeerSettings {
        name: string_field(message, "name"),
        endpoints: string_list(message, "endpoints"),
        networks: string_list(message, "networks"),
    }
}

/// Returns the checked federation settings, or `None` if there is no such section.
pub(super) fn parse_federation(
    options: &DynamicMessage,
) -> Result<Option<FederationSettings>, SettingsError> {
    let Some(message) = message_field(options, "federation") else { return Ok(None) };
    let raw = RawFederationSettings {
        cell: string_field(&message, "cell"),
        incarnation: u64_field(&message, "incarnation").unwrap_or(0),
        listen: string_field(&message, "listen"),
        peers: message_list(&message, "peers").iter().map(parse_peer).collect(),
        offers: bool_field(&message, "offers"),
        spill_after_s: f64_field(&message, "spill_after_s"),
        return_after_s: f64_field(&message, "return_after_s"),
        refusal_pause_s: f64_field(&message, "refusal_pause_s"),
        summary_fresh_s: f64_field(&message, "summary_fresh_s"),
        visitors_share: f64_field(&message, "visitors_share"),
    };
    FederationSettings::validate(&raw).map(Some)
}
