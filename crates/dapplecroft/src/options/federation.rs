//! The part of the operators' settings that is about other cells.

use dapplecroft_federation::Federation;
use dapplecroft_federation::settings::{RawFederation, RawPeer, SettingsError};
use prost_reflect::{DynamicMessage, Value};

fn text(message: &DynamicMessage, field: &str) -> String {
    let value = message.get_field_by_name(field);
    value.and_then(|value| value.as_str().map(str::to_string)).unwrap_or_default()
}

fn texts(message: &DynamicMessage, field: &str) -> Vec<String> {
    let value = message.get_field_by_name(field);
    let list = value.as_ref().and_then(|value| value.as_list()).unwrap_or_default();
    list.iter().filter_map(|value| value.as_str().map(str::to_string)).collect()
}

fn seconds(message: &DynamicMessage, field: &str) -> Option<f64> {
    if !message.has_field_by_name(field) {
        return None;
    }
    message.get_field_by_name(field).and_then(|value| value.as_f64())
}

fn flag(message: &DynamicMessage, field: &str) -> Option<bool> {
    if !message.has_field_by_name(field) {
        return None;
    }
    message.get_field_by_name(field).and_then(|value| value.as_bool())
}

fn peers(message: &DynamicMessage) -> Vec<RawPeer> {
    let value = message.get_field_by_name("peers");
    let list = value.as_ref().and_then(|value| value.as_list()).unwrap_or_default();
    let messages = list.iter().filter_map(Value::as_message);
    let peer = |peer: &DynamicMessage| RawPeer {
        name: text(peer, "name"),
        endpoints: texts(peer, "endpoints"),
        networks: texts(peer, "networks"),
    };
    messages.map(peer).collect()
}

/// Reads and checks the federation, if there is one.
pub(super) fn read(options: &DynamicMessage) -> Result<Option<Federation>, SettingsError> {
    if !options.has_field_by_name("federation") {
        return Ok(None);
    }
    let value = options.get_field_by_name("federation");
    let Some(message) = value.as_ref().and_then(|value| value.as_message()) else { return Ok(None) };
    let incarnation = message.get_field_by_name("incarnation").and_then(|value| value.as_u64());
    let raw = RawFederation {
        cell: text(message, "cell"),
        incarnation: incarnation.unwrap_or(0),
        listen: text(message, "listen"),
        peers: peers(message),
        offers: flag(message, "offers"),
        spill_after_s: seconds(message, "spill_after_s"),
        return_after_s: seconds(message, "return_after_s"),
        refusal_pause_s: seconds(message, "refusal_pause_s"),
        summary_fresh_s: seconds(message, "summary_fresh_s"),
        visitors_share: seconds(message, "visitors_share"),
    };
    Federation::check(&raw).map(Some)
}
