//! Operators' own settings, in protobuf text format.

mod federation;

use dapplecroft_controller::Options;
use dapplecroft_federation::SettingsError;
use prost_reflect::{DescriptorPool, DynamicMessage, Value};
use std::time::Duration;

/// Why a file of operators' settings is not accepted.
#[derive(Debug, thiserror::Error)]
pub enum OptionsError {
    /// It is not in protobuf text format, or names an unknown field.
    #[error("{0}")]
    Text(String),
    /// The federation can't be as it is set.
    #[error(transparent)]
    Federation(#[from] SettingsError),
    /// A value lies outside what its field allows.
    #[error("{field}: must be from {least} to {most}, is {value}")]
    Range {
        /// The field.
        field: &'static str,
        /// The least value that is allowed.
        least: f64,
        /// The greatest value that is allowed.
        most: f64,
        /// The value found.
        value: f64,
    },
}

/// The greatest number of machines that a setting may name: far above any fleet.
const MAX_MACHINES: f64 = 1_000_000.0;

const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/options.bin"));

/// Reads and checks operators' settings; what is not set keeps its default.
pub fn parse(text: &str) -> Result<Options, OptionsError> {
    let bad = |e: &dyn std::fmt::Display| OptionsError::Text(e.to_string());
    let pool = DescriptorPool::decode(DESCRIPTORS).map_err(|e| bad(&e))?;
    let descriptor = pool
        .get_message_by_name("dapplecroft.options.v1.Options")
        .ok_or_else(|| OptionsError::Text("no description of the settings".into()))?;
    let message = DynamicMessage::parse_text_format(descriptor, text).map_err(|e| bad(&e))?;
    let number = |field: &'static str, least: f64, most: f64| match message.get_field_by_name(field) {
        Some(value) if message.has_field_by_name(field) => {
            let value = match *value {
                Value::F64(x) => x,
                Value::U32(x) => f64::from(x),
                _ => f64::NAN,
            };
            if (least..=most).contains(&value) {
                Ok(Some(value))
            } else {
                Err(OptionsError::Range { field, least, most, value })
            }
        }
        _ => Ok(None),
    };
    let seconds =
        |field, least, most| number(field, least, most).map(|value| value.map(Duration::from_secs_f64));
    let mut options = Options::default();
    let set = |target: &mut Duration, value: Option<Duration>| {
        if let Some(value) = value {
            *target = value;
        }
    };
    set(&mut options.node_lease, seconds("node_lease_s", 1.0, 60.0)?);
    set(&mut options.block_lease, seconds("block_lease_s", 2.0, 600.0)?);
    set(&mut options.drain_every, seconds("drain_every_s", 1.0, 3600.0)?);
    set(&mut options.drain_window, seconds("drain_window_s", 1.0, 3600.0)?);
    set(&mut options.preempt_limit, seconds("preempt_limit_s", 0.0, 86400.0)?);
    options.idle_return = seconds("idle_return_s", 1.0, 86400.0)?;
    options.drain_trigger = number("drain_trigger", 0.0, 1.0)?.unwrap_or(options.drain_trigger);
    if let Some(most) = number("max_requests", 1.0, 10000.0)? {
        options.max_requests = most as usize;
    }
    if let Some(machines) = number("block_machines", 1.0, MAX_MACHINES)? {
        options.block_machines = Some(machines as usize);
    }
    if let Some(machines) = number("standby_machines", 0.0, MAX_MACHINES)? {
        options.standby_machines = machines as usize;
    }
    let flag = |field: &str, default: bool| match message.get_field_by_name(field).as_deref() {
        Some(Value::Bool(value)) if message.has_field_by_name(field) => *value,
        _ => default,
    };
    options.federation = federation::read(&message)?;
    options.preempt = flag("preempt", options.preempt);
    options.thrift = flag("thrift", options.thrift);
    Ok(options)
}

#[cfg(test)]
mod tests;
