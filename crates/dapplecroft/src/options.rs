//! Parses the operators' settings file: protobuf text format, with the schema in `proto/options.proto`.

mod admission;
mod federation;
mod message_fields;

use dapplecroft_admission::SettingsError as AdmissionSettingsError;
use dapplecroft_controller::Options;
use dapplecroft_federation::SettingsError as FederationSettingsError;
use prost_reflect::text_format::FormatOptions;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor, Value};
use std::time::Duration;

/// Why a file of operators' settings is not accepted.
#[derive(Debug, thiserror::Error)]
pub enum OptionsError {
    /// The file is not in protobuf text format, or sets an unknown field.
    #[error("{0}")]
    Text(String),
    /// The settings in `federation` are invalid.
    #[error(transparent)]
    Federation(#[from] FederationSettingsError),
    /// The settings in `admission` are invalid.
    #[error(transparent)]
    Admission(#[from] AdmissionSettingsError),
    /// The value of a field is out of range.
    #[error("{field}: must be from {min} to {max}, is {value}")]
    Range {
        /// Name of the field.
        field: &'static str,
        /// Smallest allowed value.
        min: f64,
        /// Largest allowed value.
        max: f64,
        /// Value in the file.
        value: f64,
    },
}

/// Upper bound of settings that are a number of machines; far above the size of any fleet.
const MAX_MACHINES: f64 = 1_000_000.0;

/// The compiled schema, written by `build.rs`.
const DESCRIPTOR_SET: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/options.bin"));

fn options_descriptor() -> Result<MessageDescriptor, OptionsError> {
    let pool =
        DescriptorPool::decode(DESCRIPTOR_SET).map_err(|error| OptionsError::Text(error.to_string()))?;
    pool.get_message_by_name("dapplecroft.options.v1.Options")
        .ok_or_else(|| OptionsError::Text("no description of the settings".into()))
}

fn parse_message(text: &str) -> Result<DynamicMessage, OptionsError> {
    DynamicMessage::parse_text_format(options_descriptor()?, text)
        .map_err(|error| OptionsError::Text(error.to_string()))
}

/// Returns the number in `field`, or `None` if the field is not set. A number outside `min` to `max` is an
/// error, and so is NaN.
fn number_in_range(
    settings: &DynamicMessage,
    field: &'static str,
    min: f64,
    max: f64,
) -> Result<Option<f64>, OptionsError> {
    if !settings.has_field_by_name(field) {
        return Ok(None);
    }
    let value = match settings.get_field_by_name(field).as_deref() {
        Some(Value::F64(value)) => *value,
        Some(Value::U32(value)) => f64::from(*value),
        _ => f64::NAN,
    };
    if (min..=max).contains(&value) {
        Ok(Some(value))
    } else {
        Err(OptionsError::Range { field, min, max, value })
    }
}

/// Parses and checks a settings file; settings that are not in it keep their defaults.
pub fn parse(text: &str) -> Result<Options, OptionsError> {
    let settings = parse_message(text)?;
    let number = |field, min, max| number_in_range(&settings, field, min, max);
    let seconds = |field, min, max| number(field, min, max).map(|value| value.map(Duration::from_secs_f64));
    let mut options = Options::default();
    let set_duration = |target: &mut Duration, value: Option<Duration>| {
        if let Some(value) = value {
            *target = value;
        }
    };
    set_duration(&mut options.node_lease, seconds("node_lease_s", 1.0, 60.0)?);
    set_duration(&mut options.shard_lease, seconds("block_lease_s", 2.0, 600.0)?);
    set_duration(&mut options.drain_interval, seconds("drain_every_s", 1.0, 3600.0)?);
    set_duration(&mut options.drain_window, seconds("drain_window_s", 1.0, 3600.0)?);
    set_duration(&mut options.max_preempted_loss, seconds("preempt_limit_s", 0.0, 86400.0)?);
    options.idle_release_after = seconds("idle_return_s", 1.0, 86400.0)?;
    options.drain_max_share = number("drain_trigger", 0.0, 1.0)?.unwrap_or(options.drain_max_share);
    if let Some(max_requests) = number("max_requests", 1.0, 10000.0)? {
        options.max_requests = max_requests as usize;
    }
    if let Some(machines) = number("block_machines", 1.0, MAX_MACHINES)? {
        options.shard_machines = Some(machines as usize);
    }
    if let Some(machines) = number("standby_machines", 0.0, MAX_MACHINES)? {
        options.standby_machines = machines as usize;
    }
    options.preempt = message_fields::bool_field(&settings, "preempt").unwrap_or(options.preempt);
    options.prefer_cheapest_machines =
        message_fields::bool_field(&settings, "thrift").unwrap_or(options.prefer_cheapest_machines);
    options.federation = federation::parse_federation(&settings)?;
    options.admission = admission::parse_admission(&settings)?;
    Ok(options)
}

/// Returns the settings in effect with a settings file, in text format. Top-level settings that are not in
/// the file appear with their defaults, unless the default depends on the platform's settings.
pub fn effective_settings(text: &str) -> Result<String, OptionsError> {
    let options = parse(text)?;
    let mut settings = parse_message(text)?;
    let seconds = |duration: Duration| Some(Value::F64(duration.as_secs_f64()));
    let count = |number: usize| u32::try_from(number).ok().map(Value::U32);
    let fields = [
        ("node_lease_s", seconds(options.node_lease)),
        ("block_lease_s", seconds(options.shard_lease)),
        ("drain_every_s", seconds(options.drain_interval)),
        ("drain_trigger", Some(Value::F64(options.drain_max_share))),
        ("drain_window_s", seconds(options.drain_window)),
        ("preempt", Some(Value::Bool(options.preempt))),
        ("preempt_limit_s", seconds(options.max_preempted_loss)),
        ("idle_return_s", options.idle_release_after.and_then(seconds)),
        ("max_requests", count(options.max_requests)),
        ("thrift", Some(Value::Bool(options.prefer_cheapest_machines))),
        ("block_machines", options.shard_machines.and_then(count)),
        ("standby_machines", count(options.standby_machines)),
    ];
    for (name, value) in fields {
        if let Some(value) = value {
            settings.set_field_by_name(name, value);
        }
    }
    Ok(settings.to_text_format_with_options(&FormatOptions::new().pretty(true)))
}

#[cfg(test)]
mod tests;
