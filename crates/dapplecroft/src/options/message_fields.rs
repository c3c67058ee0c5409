//! Typed access to the fields of a dynamic protobuf message, for which no Rust type is generated. A field
//! that is not set, or has another type, reads as absent.

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

/// Value of a string field; empty if absent.
pub(super) fn string_field(message: &DynamicMessage, name: &str) -> String {
    field(message, name).and_then(|value| value.as_str().map(str::to_string)).unwrap_or_default()
}

/// Values of a repeated string field.
pub(super) fn string_list(message: &DynamicMessage, name: &str) -> Vec<String> {
    list_field(message, name).iter().filter_map(|value| value.as_str().map(str::to_string)).collect()
}

/// Value of a `double` field.
pub(super) fn f64_field(message: &DynamicMessage, name: &str) -> Option<f64> {
    field(message, name).and_then(|value| value.as_f64())
}

/// Value of a `uint64` field.
pub(super) fn u64_field(message: &DynamicMessage, name: &str) -> Option<u64> {
    field(message, name).and_then(|value| value.as_u64())
}

/// Value of a `bool` field.
pub(super) fn bool_field(message: &DynamicMessage, name: &str) -> Option<bool> {
    field(message, name).and_then(|value| value.as_bool())
}

/// Value of a nested message field.
pub(super) fn message_field(message: &DynamicMessage, name: &str) -> Option<DynamicMessage> {
    field(message, name).and_then(|value| value.as_message().cloned())
}

/// Values of a repeated message field.
pub(super) fn message_list(message: &DynamicMessage, name: &str) -> Vec<DynamicMessage> {
    list_field(message, name).iter().filter_map(|value| value.as_message().cloned()).collect()
}
