//! The part of the operators' settings that is about admission control.

use super::message::{float, messages, nested, number, text};
use dapplecroft_admission::settings::{RawClass, RawTeam};
use dapplecroft_admission::{RawAdmissionConfig, SettingsError};
use prost_reflect::DynamicMessage;

fn class(message: &DynamicMessage) -> RawClass {
    RawClass { name: text(message, "name"), weight: float(message, "weight").unwrap_or(0.0) }
}

fn team(message: &DynamicMessage) -> RawTeam {
    RawTeam {
        name: text(message, "name"),
        weight: float(message, "weight"),
        floor: float(message, "floor"),
        classes: messages(message, "classes").iter().map(class).collect(),
    }
}

/// Reads what is set of admission control, if anything, and checks what can be checked
/// without the platform's settings.
pub(super) fn read(options: &DynamicMessage) -> Result<Option<RawAdmissionConfig>, SettingsError> {
    let Some(message) = nested(options, "admission") else { return Ok(None) };
    let raw = RawAdmissionConfig {
        work_off_s: float(&message, "work_off_s"),
        limit_cpu_s: number(&message, "limit_cpu_s"),
        least_cpus: float(&message, "least_cpus"),
        max_jobs: number(&message, "max_jobs"),
        largest_job_cpu_s: number(&message, "largest_job_cpu_s"),
        teams: messages(&message, "teams").iter().map(team).collect(),
    };
    raw.check()?;
    Ok(Some(raw))
}
