//! A late copy of a message of a controller that has ended reaches a worker.

use crate::controllers::{Controllers, Failed};
use crate::http_io::call;
use crate::platform::{UploadedJob, World};
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// A controller is back about this long after its end.
const BACK_AFTER: Duration = Duration::from_secs(3);
const LONG: Duration = Duration::from_secs(600);

fn starts(message: &str, share: &str, attempt: u64) -> bool {
    let message: Value = serde_json::from_str(message).unwrap_or_default();
    let orders = message["orders"].as_array().cloned().unwrap_or_default();
    orders.iter().any(|o| o["verb"] == "start" && o["share"] == share && o["try"] == attempt)
}

pub async fn run(world: &Arc<World>, all: &mut Controllers, trouble: bool) -> Result<(), Failed> {
    // Two machines, each with room for a few small tasks.
    all.submit("run-000001", 2, UploadedJob { cpus: 5.0, run: LONG, first_run_fails: false }).await?;
    all.until("two machines work", 30, || async {
        (0..2).all(|n| !world.machines_of(&format!("run-000001/{n}")).is_empty())
    })
    .await?;
    // A task fails on its first machine, and runs on the other one.
    let mut found = None;
    for n in 2..6 {
        let (id, share) = (format!("run-{n:06}"), format!("run-{n:06}/0"));
        all.submit(&id, 1, UploadedJob { cpus: 0.5, run: LONG, first_run_fails: true }).await?;
        all.until("the second attempt runs", 30, || async {
            world.machines_of(&share).iter().any(|(_, attempt)| *attempt == 2)
        })
        .await?;
        let workers: Vec<_> = world.workers.lock().unwrap().values().cloned().collect();
        all.until("the first attempt is cleared", 15, || async {
            workers.iter().all(|w| !w.lists(&share, 1))
        })
        .await?;
        let second = world.machines_of(&share).into_iter().next().map(|(m, _)| m).unwrap_or_default();
        found = workers.into_iter().find_map(|worker| {
            let sent = worker.commands.lock().unwrap().iter().find(|m| starts(m, &share, 1)).cloned()?;
            (worker.machine != second).then_some((worker, sent, share.clone()))
        });
        if found.is_some() {
            break;
        }
    }
    let Some((worker, message, share)) = found else {
        return Err("no start was sent to a worker's own address".into());
    };
    world.record.log(format!(
        "CASE   {share} failed on {}, was cleared there and runs on {:?}",
        worker.machine,
        world.machines_of(&share)
    ));
    if trouble {
        let holder = worker.node();
        all.kill(holder);
        sleep(Duration::from_secs(1)).await;
        let address = worker.address.lock().unwrap().ok_or("no address")?;
        world.record.log(format!(
            "COPY   of an old message of crofter-{holder} arrives at {}: {message}",
            worker.machine
        ));
        let answer = call(address, "POST", "/do", &message, Duration::from_secs(4)).await;
        world.record.log(format!("COPY   answered {:?}", answer.map(|a| a.status)));
        sleep(BACK_AFTER - Duration::from_secs(1)).await;
        all.start(holder)?;
    }
    sleep(Duration::from_secs(20)).await;
    world.record.log(format!("CASE   at the end {share} is on {:?}", world.machines_of(&share)));
    Ok(())
}
