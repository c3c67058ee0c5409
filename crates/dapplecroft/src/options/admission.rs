//! Parses the `admission` section of the operators' settings.

use super::message_fields::{f64_field, message_field, message_list, string_field, u64_field};
use dapplecroft_admission::settings::{RawClass, RawTeam};
use dapplecroft_admission::{RawAdmissionConfig, SettingsError};
use prost_reflect::DynamicMessage;

/// Reads one class. A missing weight becomes 0, which [`RawAdmissionConfig::check`] rejects.
fn parse_class(message: &DynamicMessage) -> RawClass {
    RawClass { name: string_field(message, "name"), weight: f64_field(message, "weight").unwrap_or(0.0) }
}

fn parse_team(message: &DynamicMessage) -> RawTeam {
    RawTeam {
        name: string_field(message, "name"),
        weight: f64_field(message, "weight"),
        floor: f64_field(message, "floor"),
        classes: message_list(message, "classes").iter().map(parse_class).collect(),
    }
}

/// Returns the admission settings, or `None` if there is no such section. Checks only what can be checked
/// without the platform's settings.
pub(super) fn parse_admission(options: &DynamicMessage) -> Result<Option<RawAdmissionConfig>, SettingsError> {
    let Some(message) = message_field(options, "admission") else { return Ok(None) };
    let raw = RawAdmissionConfig {
        work_off_s: f64_field(&message, "work_off_s"),
        limit_cpu_s: u64_field(&message, "limit_cpu_s"),
        least_cpus: f64_field(&message, "least_cpus"),
        max_jobs: u64_field(&message, "max_jobs"),
        largest_job_cpu_s: u64_field(&message, "largest_job_cpu_s"),
        teams: message_list(&message, "teams").iter().map(parse_team).collect(),
    };
    raw.check()?;
    Ok(Some(raw))
}
