//! Guards the mapping of the settings file to options: wrong defaults, a dropped setting, or an invalid value
//! that is accepted or reported without the name of its field.

use super::*;

#[test]
fn settings_in_the_file_apply_and_others_keep_their_defaults() {
    let options = parse("# a note\ndrain_trigger: 0.25 preempt: false\nidle_return_s: 30").unwrap();
    assert_eq!(options.drain_max_share, 0.25);
    assert!(!options.preempt);
    assert_eq!(options.idle_release_after, Some(Duration::from_secs(30)));
    assert_eq!(options.node_lease, Options::default().node_lease);
}

#[test]
fn invalid_settings_are_rejected_with_the_name_of_the_field() {
    assert_eq!(
        parse("drain_trigger: 1.5").unwrap_err().to_string(),
        "drain_trigger: must be from 0 to 1, is 1.5"
    );
    assert!(parse("drain_triger: 1").unwrap_err().to_string().contains("drain_triger"));
    assert!(parse("node_lease_s: nan").is_err());
}

/// An upper bound below the size of real fleets would reject valid settings.
#[test]
fn machine_counts_of_large_fleets_are_accepted() {
    let options = parse("block_machines: 4000 standby_machines: 4000").unwrap();
    assert_eq!((options.shard_machines, options.standby_machines), (Some(4000), 4000));
    assert_eq!(
        parse("block_machines: 0").unwrap_err().to_string(),
        "block_machines: must be from 1 to 1000000, is 0"
    );
}

/// The example file in `deploy/` must stay valid when the schema or the checks change.
#[test]
fn federation_example_file_is_accepted() {
    let options = parse(include_str!("../../../../deploy/federation.textproto")).unwrap();
    let federation = options.federation.unwrap();
    assert_eq!(federation.cell.to_string(), "cell-a.example.org#1");
    assert_eq!((federation.peers.len(), federation.peers[1].endpoints.len()), (2, 3));
    assert!(federation.offers_jobs);
    assert_eq!(parse("").unwrap().federation, None);
}

#[test]
fn invalid_federation_settings_are_rejected_with_the_name_of_the_field() {
    let error = parse("federation { cell: \"a\" listen: \"127.0.0.1:1\" }").unwrap_err();
    assert_eq!(error.to_string(), "federation.incarnation: must be at least 1");
    let peer = "peers { name: \"a\" endpoints: \"10.0.0.1:1\" networks: \"10.0.0.0/8\" }";
    let text = format!("federation {{ cell: \"a\" incarnation: 1 listen: \"127.0.0.1:1\" {peer} }}");
    assert_eq!(parse(&text).unwrap_err().to_string(), "federation.peers: a is this cell itself");
}

/// The example file in `deploy/` must stay valid when the schema or the checks change.
#[test]
fn admission_example_file_is_accepted() {
    let options = parse(include_str!("../../../../deploy/admission.textproto")).unwrap();
    assert!(options.admission.is_some());
    assert_eq!(parse("").unwrap().admission, None);
}

#[test]
fn invalid_admission_settings_are_rejected_with_the_reason() {
    let error = |text: &str| parse(text).unwrap_err().to_string();
    let weight = error("admission { teams { name: \"a\" weight: 0 } }");
    assert!(weight.contains("weight") && weight.contains("is 0"), "{weight}");
    assert!(error("admission { teams { name: \"a\" weight: inf } }").contains("weight"));
    let missing = error("admission { teams { name: \"a\" classes { name: \"b\" } } }");
    assert!(missing.contains("weight"), "{missing}");
    assert!(error("admission { teams { name: \"a\" } teams { name: \"a\" } }").contains("named twice"));
    assert!(error("admission { limit_cpu_s: 5 work_off_s: 5 }").contains("not both"));
}

/// `dapplecroft check` prints the effective settings; a setting that is missing or misprinted there would
/// parse to other options.
#[test]
fn printed_effective_settings_parse_to_the_same_options() {
    for text in ["", include_str!("../../../../deploy/admission.textproto")] {
        let printed = effective_settings(text).unwrap();
        assert_eq!(parse(&printed).unwrap(), parse(text).unwrap(), "{printed}");
        assert_eq!(effective_settings(&printed).unwrap(), printed);
    }
}
