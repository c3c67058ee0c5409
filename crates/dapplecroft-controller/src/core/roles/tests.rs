use super::*;
use crate::options::Options;
use dapplecroft_wire::settings::Settings;
use serde_json::json;

// After a cut, a replaced leader found its own key in its copy, which had
// not caught up, and took its role up again for a moment.
#[test]
fn a_replaced_leader_acts_by_its_own_old_key_no_more() {
    let text = json!({"host_name": "c-0", "listen": "10.0.0.1:1", "back": "10.0.0.1:2",
        "external": {"cloud": "10.0.0.2:1", "state": "10.0.0.2:2"},
        "facts": {"nodes": 1, "teams": [], "workers": {"report_s": 3.0, "lease_s": 27.0, "cancel_s": 47.0},
            "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 8.0}}});
    let settings = Settings::parse(&text.to_string()).unwrap();
    let now = Instant::now();
    let mut core = Core::new(settings.into(), Options::default(), "p".into());
    core.followed = 5;
    core.lead(5);
    core.begin_to_lead(now);
    core.confirmed(now, 5);
    assert!(core.leads(now));
    core.role_lost(records::LEADER, now);
    // The copy says still that the key is its own.
    core.lead(5);
    core.begin_to_lead(now);
    assert!(!core.leads(now));
}
