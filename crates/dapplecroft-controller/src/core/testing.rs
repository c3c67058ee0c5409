//! Fixtures shared by the tests of the core.

use super::Core;
use crate::jobs::Placement;
use crate::options::Options;
use crate::records::SegmentId;
use dapplecroft_wire::settings::Settings;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Returns the core of a controller with one team `t` and no records.
pub(super) fn core() -> Core {
    let settings = json!({"host_name": "c-0", "listen": "10.0.0.1:1", "back": "10.0.0.1:2",
        "external": {"cloud": "10.0.0.2:1", "state": "10.0.0.2:2"},
        "facts": {"nodes": 1, "teams": [{"name": "t"}],
            "workers": {"report_s": 3.0, "lease_s": 27.0, "cancel_s": 47.0},
            "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 8.0}}});
    let settings = Settings::parse(&settings.to_string()).unwrap();
    Core::new(settings.into(), Options::default(), "p".into())
}

/// Returns the record of an open job in the first layout. Each task needs one CPU; `allocated` maps
/// shard numbers to the ranges of tasks that are allocated to them.
pub(super) fn job_record(id: &str, tasks: u32, allocated: Value) -> Value {
    json!({"stage": "open", "tasks": tasks, "to": allocated, "spec": {"id": id, "lane": "c", "crew": "t",
        "form": "sweep", "rank": "normal", "shares": tasks, "cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0,
        "reckon_s": 10.0}})
}

/// Returns a placement on a machine that is proposed in a segment and not committed.
pub(super) fn proposed_placement(
    machine: &str,
    segment: SegmentId,
    attempt: u64,
    since: Instant,
) -> Placement {
    Placement {
        attempt,
        machine: machine.into(),
        segment,
        session: 1,
        committed: false,
        learned_at: since,
        running_since: None,
        start_token: 0,
        stop_reason: None,
        grace: Duration::ZERO,
        resources_freed: false,
    }
}
