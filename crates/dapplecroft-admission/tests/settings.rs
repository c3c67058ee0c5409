//! Validation of the operators' settings: defaults, and error messages that name the setting at
//! fault.

use dapplecroft_admission::settings::{Platform, PlatformTeam, RawClass, RawTeam};
use dapplecroft_admission::{RawAdmissionConfig, SettingsError};

fn platform() -> Platform {
    let team = |name: &str, cpus| PlatformTeam { name: name.into(), guaranteed_cpus: cpus };
    Platform { teams: vec![team("a", 100.0), team("b", 300.0)], classes: ["night".to_string()].into() }
}

fn team(name: &str, weight: f64) -> RawTeam {
    RawTeam { name: name.into(), weight: Some(weight), ..RawTeam::default() }
}

fn error_of(raw: RawAdmissionConfig) -> String {
    raw.resolve(&platform()).map_or_else(|error| error.to_string(), |_| String::from("accepted"))
}

/// Without any settings, the limit and the weights follow from the teams' guaranteed processors, and
/// the limit grows with the processors that are up.
#[test]
fn defaults_derive_from_the_platform() {
    let admission = RawAdmissionConfig::default().resolve(&platform()).unwrap();
    assert_eq!(admission.limit(0.0), 400 * 300);
    assert_eq!(admission.limit(1000.0), 1000 * 300);
    assert_eq!(admission.teams["b"].weight, 300.0);
    assert!(admission.max_charge(admission.limit(0.0)) <= admission.limit(0.0));
}

/// Guards against invalid settings that are accepted, or rejected with a message from which the
/// operator can't tell which setting is wrong.
#[test]
fn invalid_settings_name_the_offending_value() {
    let with = |teams: Vec<RawTeam>| RawAdmissionConfig { teams, ..RawAdmissionConfig::default() };
    for weight in [0.0, -1.0, f64::INFINITY, f64::NAN] {
        let message = error_of(with(vec![team("a", weight)]));
        assert!(message.contains("weight") && message.contains("positive"), "{message}");
    }
    assert!(error_of(with(vec![team("a", 1.0), team("a", 2.0)])).contains("\"a\" is named twice"));
    assert!(error_of(with(vec![team("c", 1.0)])).contains("no team \"c\""));
    let class = |name: &str, weight| RawClass { name: name.into(), weight };
    let classes = |classes| with(vec![RawTeam { classes, ..team("a", 1.0) }]);
    assert!(error_of(classes(vec![class("noon", 1.0)])).contains("\"noon\""));
    assert!(error_of(classes(vec![class("night", 0.0)])).contains("weight"));
    assert!(error_of(classes(vec![class("night", 1.0), class("night", 1.0)])).contains("named twice"));
    let floor = |name: &str| RawTeam { floor: Some(0.6), ..team(name, 1.0) };
    assert!(error_of(with(vec![floor("a"), floor("b")])).contains("1.2"));
}

/// Guards against limits under which a guaranteed team or a job with the maximum charge could never
/// be served, and against settings from which no single limit follows.
#[test]
fn limit_must_cover_guarantees_and_the_largest_charge() {
    let limit = |limit| RawAdmissionConfig { limit_cpu_s: Some(limit), ..RawAdmissionConfig::default() };
    assert!(error_of(limit(200)).contains("guarantee of b"));
    let above_limit = RawAdmissionConfig { largest_job_cpu_s: Some(5000), ..limit(1000) };
    assert_eq!(
        above_limit.resolve(&platform()),
        Err(SettingsError::MaxChargeAboveLimit { max_charge: 5000, limit: 1000 })
    );
    let both = RawAdmissionConfig { work_off_s: Some(60.0), ..limit(1000) };
    assert_eq!(both.resolve(&platform()), Err(SettingsError::ConflictingLimits));
    assert!(error_of(limit(0)).contains("limit_cpu_s"));
    let empty =
        Platform { teams: vec![PlatformTeam { name: "a".into(), guaranteed_cpus: 0.0 }], ..platform() };
    assert_eq!(RawAdmissionConfig::default().resolve(&empty), Err(SettingsError::NoCapacity));
}
