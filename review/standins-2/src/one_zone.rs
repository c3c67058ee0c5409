//! A service whose replicas belong in one zone loses a machine, while another zone has room.

use crate::controllers::{Controllers, Failed};
use crate::platform::{UploadedJob, World};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const GONE_FOR: Duration = Duration::from_secs(90);
const LONG: Duration = Duration::from_secs(600);

pub async fn run(world: &Arc<World>, all: &mut Controllers, trouble: bool) -> Result<(), Failed> {
    // Two replicas, each on a machine of its own, in the same zone.
    let replica = UploadedJob { cpus: 6.0, run: LONG, first_run_fails: false };
    let fields = json!({"form": "service", "rank": "critical", "same_place": true, "reckon_s": 0.0});
    all.submit_as("run-000001", 2, replica, fields).await?;
    let names = ["run-000001/0", "run-000001/1"];
    all.until("both replicas run", 30, || async { names.iter().all(|n| !world.machines_of(n).is_empty()) })
        .await?;
    let machine = world.machines_of(names[1])[0].0.clone();
    let zone = world.workers.lock().unwrap()[&machine].zone.clone();
    // A machine in the other zone, with room.
    let other = if zone == "a" { "b" } else { "a" };
    let small = UploadedJob { cpus: 1.0, run: LONG, first_run_fails: false };
    all.submit_as("run-000002", 1, small, json!({"yard": other})).await?;
    all.until("the other zone has a machine", 30, || async { !world.machines_of("run-000002/0").is_empty() })
        .await?;
    sleep(Duration::from_secs(1)).await;
    world.record.log(format!(
        "CASE   the replicas are in zone {zone}; {:?} have this room: {:?}",
        other,
        world.free_cpus()
    ));
    if trouble {
        all.cloud.take(&machine);
    }
    let began = Instant::now();
    let mut gone = Duration::ZERO;
    while began.elapsed() < GONE_FOR + Duration::from_secs(1) {
        sleep(Duration::from_secs(1)).await;
        let on: Vec<_> = names.iter().map(|n| world.machines_of(n)).collect();
        gone = if on.iter().any(Vec::is_empty) { began.elapsed() } else { Duration::ZERO };
        if gone.is_zero() && trouble {
            break;
        }
        if began.elapsed().as_secs().is_multiple_of(10) {
            world.record.log(format!("CASE   the replicas are on {on:?}; room: {:?}", world.free_cpus()));
        }
    }
    if gone >= GONE_FOR {
        let text =
            format!("replica not run again: one of two is on no machine for {:.0} s", gone.as_secs_f64());
        world.record.log(format!("BROKEN {text}"));
        world.broken.lock().unwrap().push(text);
    }
    Ok(())
}
