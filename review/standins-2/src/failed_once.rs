//! A task fails once, on the only machine that has room for it.

use crate::controllers::{Controllers, Failed};
use crate::platform::{UploadedJob, World};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// No job is left waiting for this long while a machine that fits has room.
const LEFT_WAITING: Duration = Duration::from_secs(90);
const LONG: Duration = Duration::from_secs(600);

pub async fn run(world: &Arc<World>, all: &mut Controllers, trouble: bool) -> Result<(), Failed> {
    // One machine, with room for more.
    all.submit("run-000001", 1, UploadedJob { cpus: 4.0, run: LONG, first_run_fails: false }).await?;
    all.until("a machine works", 30, || async { !world.machines_of("run-000001/0").is_empty() }).await?;
    // A job of one task, which needs 5 s.
    let job = UploadedJob { cpus: 1.0, run: Duration::from_secs(5), first_run_fails: trouble };
    all.submit("run-000002", 1, job).await?;
    all.until("the task is on a machine", 20, || async { !world.machines_of("run-000002/0").is_empty() })
        .await?;
    all.until("the task has left it", 20, || async { world.machines_of("run-000002/0").is_empty() }).await?;
    let left = Instant::now();
    world.record.log("CASE   the task has left its machine");
    loop {
        let answer = all.call(0, "GET", "/v2/runs/run-000002", "").await;
        let text = answer.as_ref().map(|a| format!("{} {}", a.status, a.body)).unwrap_or_default();
        let on = world.machines_of("run-000002/0");
        world.record.log(format!("USER   asks about run-000002: {text}; it is on {on:?}"));
        if !on.is_empty() || answer.is_some_and(|a| a.json()["stage"] == "done") {
            return Ok(());
        }
        if left.elapsed() > LEFT_WAITING {
            break;
        }
        sleep(Duration::from_secs(5)).await;
    }
    // The machine's room, by what the workers themselves run.
    for (name, free) in world.free_cpus() {
        world.record.log(format!("CASE   {name} is up and has room for {free} CPUs"));
        if free >= 1.0 {
            let text = format!(
                "left waiting: run-000002 waits for {:.0} s while {name} has room",
                left.elapsed().as_secs_f64()
            );
            world.record.log(format!("BROKEN {text}"));
            world.broken.lock().unwrap().push(text);
        }
    }
    Ok(())
}
