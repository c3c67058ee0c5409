//! Two troubles at a time.

use crate::cluster::{Cluster, host, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use std::time::Duration;

fn long(jobs: &'static [&'static str]) -> impl FnOnce(&mut WorkerTiming) {
    move |timing| {
        for job in jobs {
            timing.runs.insert(job.to_string(), Duration::from_secs(300));
        }
    }
}

// A controller that is alone takes up its own blocks again after its lease has
// ended, under the epoch that they had. The counters of its workers' tokens began
// anew then, and starts from before were valid under them.
#[tokio::test(start_paused = true)]
async fn starts_from_before_a_lease_ended_are_void_when_the_same_process_goes_on() {
    let c = Cluster::with(1, long(&["run-1", "run-2"]), Options::default()).await;
    let alone = c.leader().unwrap();
    (0..3).filter(|n| *n != alone).for_each(|n| c.kill_node(n));
    c.submit_at(alone, "run-1", "tight", 1, 4.0).await;
    c.until_running(1).await;
    pause(4.0).await;
    let machine = c.referee.on()["run-1/0"].clone();
    let epoch = c.state.value("dc/b/0").unwrap()["epoch"].clone();
    // The machine's reports are heard; answers and starts do not reach it.
    c.net.rule(Rule::all("", &format!("w:{machine}"), Action::Hold).path("/do").body("start"));
    c.net.rule(Rule::all(&machine, "", Action::LoseAnswer));
    c.submit_at(alone, "run-2", "tight", 1, 4.0).await;
    c.until("some starts are held", || c.net.held() >= 3).await;
    c.state.bar(&host(alone), true);
    pause(5.0).await;
    c.state.bar(&host(alone), false);
    c.until("it leads again", || c.leader() == Some(alone)).await;
    assert_eq!(c.state.value("dc/b/0").unwrap()["epoch"], epoch, "the block was not leased anew");
    c.withdraw(alone, "run-2").await;
    c.until("nothing of it is left, by proof", || {
        c.state.value("dc/j/run-2").is_some_and(|v| v.get("spec").is_none())
    })
    .await;
    let codes = c.net.deliver().await;
    assert!(codes.len() >= 3 && codes.iter().all(|code| *code == 409), "{codes:?}");
    pause(5.0).await;
    assert_eq!(c.referee.late_starts(), Vec::<String>::new());
    c.assert_rules_kept();
}

// A job whose tasks have to be in one zone, or apart, stayed with the block that
// it was admitted to although nothing of it ran any more and other machines idled.
#[tokio::test(start_paused = true)]
async fn a_job_bound_to_zones_that_lost_its_machine_goes_where_there_is_room() {
    for constraint in ["same_place", "apart"] {
        let options = Options { block_machines: Some(1), ..Options::default() };
        let c = Cluster::with(2, long(&["run-1"]), options).await;
        let mut body = job("run-1", "free", 1, 16.0, "normal");
        body[constraint] = true.into();
        c.hand_in("run-1", &body).await;
        c.until_running(1).await;
        let machine = c.referee.on()["run-1/0"].clone();
        // Another machine comes up and idles; no third is to be had.
        c.submit("run-2", "free", 1, 16.0, "normal").await;
        c.until_stage("run-2", "done").await;
        c.cloud.shrink(1);
        c.cloud.take(&machine);
        c.until("it is proven gone", || !c.state.keys("dc/m/").is_empty() && c.groups_with(&machine) == 0)
            .await;
        pause(25.0).await;
        assert_eq!(c.referee.starts("run-1/0"), 2, "{constraint}");
        c.assert_rules_kept();
    }
}
