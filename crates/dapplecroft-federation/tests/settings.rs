//! Validation of the federation settings: each invalid setting must be rejected with an
//! error message that names the setting or its value.

#![allow(clippy::unwrap_used)]

use dapplecroft_federation::settings::{FederationSettings, RawFederationSettings, RawPeerSettings};

fn peer(name: &str, network: &str) -> RawPeerSettings {
    let host = network.split('/').next().unwrap().replace(".0/", ".9/");
    RawPeerSettings {
        name: name.into(),
        endpoints: vec![format!("{}:8090", host.replace(".0.0", ".0.9"))],
        networks: vec![network.into()],
    }
}

fn valid_settings() -> RawFederationSettings {
    RawFederationSettings {
        cell: "cell-a.example.org".into(),
        incarnation: 1,
        listen: "127.0.1.1:8090".into(),
        peers: vec![peer("cell-b.example.org", "10.2.0.0/16"), peer("cell-c.example.org", "10.3.0.0/16")],
        ..RawFederationSettings::default()
    }
}

fn error_after(change: impl FnOnce(&mut RawFederationSettings)) -> String {
    let mut raw = valid_settings();
    change(&mut raw);
    FederationSettings::validate(&raw).unwrap_err().to_string()
}

#[test]
fn valid_settings_are_accepted_and_get_defaults() {
    let federation = FederationSettings::validate(&valid_settings()).unwrap();
    assert_eq!(federation.spill_after.as_secs(), 20);
    assert!(federation.offers_jobs);
    let b = federation.peer("cell-b.example.org").unwrap();
    assert!(b.may_connect("10.2.7.1".parse().unwrap()) && !b.may_connect("10.3.7.1".parse().unwrap()));
}

#[test]
fn each_invalid_setting_is_rejected_with_its_name_or_value() {
    assert!(error_after(|raw| raw.incarnation = 0).contains("incarnation"));
    assert!(error_after(|raw| raw.cell = "a b".into()).contains("\"a b\""));
    assert!(error_after(|raw| raw.listen = "somewhere".into()).contains("listen: \"somewhere\""));
    assert!(error_after(|raw| raw.peers[1].name = "cell-b.example.org".into()).contains("named twice"));
    assert!(error_after(|raw| raw.peers[0].name = raw.cell.clone()).contains("this cell itself"));
    assert!(error_after(|raw| raw.peers[0].endpoints.clear()).contains("no endpoints"));
    assert!(error_after(|raw| raw.peers[0].networks = vec!["10.2.0.0/40".into()]).contains("10.2.0.0/40"));
    assert!(error_after(|raw| raw.peers[0].networks.clear()).contains("no networks"));
    assert!(error_after(|raw| raw.peers[0].networks = vec!["10.9.0.0/16".into()]).contains("in none of its"));
    assert!(error_after(|raw| raw.peers[1].networks.push("10.2.8.0/24".into())).contains("overlap"));
    assert_eq!(
        error_after(|raw| raw.spill_after_s = Some(-1.0)),
        "federation.spill_after_s: must be from 1 to 3600, is -1"
    );
    assert!(error_after(|raw| raw.visitors_share = Some(f64::NAN)).contains("visitors_share"));
}
