//! Settings that can't be meant are refused with one line that names the value.

#![allow(clippy::unwrap_used)]

use dapplecroft_federation::settings::{Federation, RawFederation, RawPeer};

fn peer(name: &str, network: &str) -> RawPeer {
    let host = network.split('/').next().unwrap().replace(".0/", ".9/");
    RawPeer {
        name: name.into(),
        endpoints: vec![format!("{}:8090", host.replace(".0.0", ".0.9"))],
        networks: vec![network.into()],
    }
}

fn good() -> RawFederation {
    RawFederation {
        cell: "cell-a.example.org".into(),
        incarnation: 1,
        listen: "127.0.1.1:8090".into(),
        peers: vec![peer("cell-b.example.org", "10.2.0.0/16"), peer("cell-c.example.org", "10.3.0.0/16")],
        ..RawFederation::default()
    }
}

fn refused(change: impl FnOnce(&mut RawFederation)) -> String {
    let mut raw = good();
    change(&mut raw);
    Federation::check(&raw).unwrap_err().to_string()
}

#[test]
fn good_settings_are_taken_with_their_defaults() {
    let federation = Federation::check(&good()).unwrap();
    assert_eq!(federation.spill_after.as_secs(), 20);
    assert!(federation.offers);
    let b = federation.peer("cell-b.example.org").unwrap();
    assert!(b.may_connect("10.2.7.1".parse().unwrap()) && !b.may_connect("10.3.7.1".parse().unwrap()));
}

#[test]
fn each_impossible_setting_is_named() {
    assert!(refused(|raw| raw.incarnation = 0).contains("incarnation"));
    assert!(refused(|raw| raw.cell = "a b".into()).contains("\"a b\""));
    assert!(refused(|raw| raw.listen = "somewhere".into()).contains("listen: \"somewhere\""));
    assert!(refused(|raw| raw.peers[1].name = "cell-b.example.org".into()).contains("named twice"));
    assert!(refused(|raw| raw.peers[0].name = raw.cell.clone()).contains("this cell itself"));
    assert!(refused(|raw| raw.peers[0].endpoints.clear()).contains("no endpoints"));
    assert!(refused(|raw| raw.peers[0].networks = vec!["10.2.0.0/40".into()]).contains("10.2.0.0/40"));
    assert!(refused(|raw| raw.peers[0].networks.clear()).contains("no networks"));
    assert!(refused(|raw| raw.peers[0].networks = vec!["10.9.0.0/16".into()]).contains("in none of its"));
    assert!(refused(|raw| raw.peers[1].networks.push("10.2.8.0/24".into())).contains("overlap"));
    assert_eq!(
        refused(|raw| raw.spill_after_s = Some(-1.0)),
        "federation.spill_after_s: must be from 1 to 3600, is -1"
    );
    assert!(refused(|raw| raw.visitors_share = Some(f64::NAN)).contains("visitors_share"));
}
