//! Fields of messages that are known by their description alone.

use prost_reflect::{DynamicMessage, Value};

fn field(message: &DynamicMessage, name: &str) -> Option<Value> {
    let is_set = message.has_field_by_name(name);
    is_set.then(|| message.get_field_by_name(name).map(|value| value.into_owned())).flatten()
}

fn list_field(message: &DynamicMessage, name: &str) -> Vec<Value> {
    match field(message, name) {
        Some(Value::List(values)) => values,
        _ => Vec::new(),
    }
}

/// A text; empty if it is not set.
pub(super) fn string_field(message: &DynamicMessage, name: &str) -> String {
    field(message, name).and_then(|value| value.as_str().map(str::to_string)).unwrap_or_default()
}

/// A list of texts.
pub(super) fn string_list(message: &DynamicMessage, name: &str) -> Vec<String> {
    list_field(message, name).iter().filter_map(|value| value.as_str().map(str::to_string)).collect()
}

/// A number with a fraction.
pub(super) fn f64_field(message: &DynamicMessage, name: &str) -> Option<f64> {
    field(message, name).and_then(|value| value.as_f64())
}

/// A whole number.
pub(super) fn u64_field(message: &DynamicMessage, name: &str) -> Option<u64> {
    field(message, name).and_then(|value| value.as_u64())
}

/// Whether something holds.
pub(super) fn bool_field(message: &DynamicMessage, name: &str) -> Option<bool> {
    field(message, name).and_then(|value| value.as_bool())
}

/// A message within a message.
pub(super) fn message_field(message: &DynamicMessage, name: &str) -> Option<DynamicMessage> {
    field(message, name).and_then(|value| value.as_message().cloned())
}

/// A list of messages.
pub(super) fn message_list(message: &DynamicMessage, name: &str) -> Vec<DynamicMessage> {
    list_field(message, name).iter().filter_map(|value| value.as_message().cloned()).collect()
}
