use super::*;
use serde_json::{Value, json};

fn valid_settings() -> Value {
    json!({"host_name": "c-0", "listen": "10.0.0.1:1", "back": "10.0.0.1:2", "members": [],
        "external": {"cloud": "10.0.0.2:1", "state": "10.0.0.2:2"}, "later": 1,
        "facts": {"nodes": 1, "teams": [{"name": "t"}],
            "objectives": [{"kind": "finished", "class": "a", "within_s": 80.0},
                {"kind": "finished", "class": "a", "within_s": 70.0}],
            "workers": {"report_s": 3.0, "lease_s": 27.0, "cancel_s": 47.0},
            "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 8.0}}})
}

#[test]
fn settings_are_parsed_and_the_contact_limit_is_derived() {
    let settings = Settings::parse(&valid_settings().to_string()).unwrap();
    assert_eq!(settings.finished_within("a"), Some(70.0));
    assert_eq!(settings.finished_within("b"), None);
    let limit = settings.contact_limit();
    assert!(limit < Duration::from_secs(20) && limit > Duration::from_secs(15));
}

#[test]
fn only_lower_future_limits_take_effect() {
    let limits = |next: Value| {
        let mut settings = valid_settings();
        settings["facts"]["state"]["next"] = next;
        Settings::parse(&settings.to_string())
            .map(|s| (s.params.state.lowest_limits(), s.params.state.rates(true)))
    };
    let unchanged = (SizeLimits { value: 8192, changes: 12 }, (100.0, 20.0));
    assert_eq!(limits(Value::Null), Ok(unchanged));
    assert_eq!(limits(json!({})), Ok(unchanged));
    assert_eq!(limits(json!({"value_kb": 64.0, "txn_ops": 99, "write_rps": 50.0})), Ok(unchanged));
    let smaller = (SizeLimits { value: 2048, changes: 4 }, (100.0, 18.0));
    assert_eq!(limits(json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0, "new": 1})), Ok(smaller));
    for (field, value) in
        [("value_kb", json!(0)), ("value_kb", json!(0.5)), ("txn_ops", json!(1)), ("write_rps", json!(-3.0))]
    {
        let error = limits(json!({field: value})).unwrap_err();
        assert!(error.starts_with(&format!("facts.state.next.{field}")), "{error}");
    }
}

#[test]
fn the_error_names_the_missing_or_invalid_setting() {
    for (path, value, named) in [
        ("/facts/workers/lease_s", json!(-1.0), "facts.workers.lease_s"),
        ("/facts/workers/cancel_s", json!(27.0), "facts.workers.cancel_s"),
        ("/facts/state/txn_ops", json!(1), "facts.state.txn_ops"),
        ("/facts/nodes", json!(0), "facts.nodes"),
        ("/host_name", json!(""), "host_name"),
        ("/facts/teams/0/cpus_max", json!(-2.0), "facts.teams.t.cpus_max"),
    ] {
        let mut settings = valid_settings();
        *settings.pointer_mut(path).unwrap_or(&mut json!(null)) = value.clone();
        if settings.pointer(path).is_none() {
            settings["facts"]["teams"][0]["cpus_max"] = value;
        }
        let error = Settings::parse(&settings.to_string()).unwrap_err();
        assert!(error.starts_with(named), "{path}: {error}");
    }
    let mut settings = valid_settings();
    settings.as_object_mut().unwrap().remove("listen");
    assert!(Settings::parse(&settings.to_string()).unwrap_err().contains("listen"));
}
