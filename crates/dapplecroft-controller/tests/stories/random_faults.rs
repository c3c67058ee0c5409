//! Random combinations of faults, derived from a seed. The invariants must hold throughout, and every job
//! must end once the faults are over.

use crate::cluster::{CANCEL_DEADLINE, CLOUD, Cluster, STATE, address, host, job, pause};
use dapplecroft_controller::Options;
use dapplecroft_fakes::{Action, Rule, WorkerTiming};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Number of steps with faults in the run of one seed.
const STEPS_PER_SEED: usize = 110;

/// A cluster under random faults, and what has been done to it so far.
struct RandomFaults {
    cluster: Cluster,
    random: StdRng,
    /// Ids of the jobs that were accepted.
    jobs: Vec<String>,
    /// Number in the next job's id. It advances with each submission, because one that failed may still have
    /// been accepted.
    next_id: usize,
    /// Jobs whose cancellation was confirmed.
    cancelled: BTreeSet<String>,
    /// Controllers that are down, and the step at which each is restarted.
    stopped_nodes: Vec<(usize, usize)>,
    /// Step at which the latest outage of the state service ends.
    outage_end_step: usize,
}

impl RandomFaults {
    async fn start(seed: u64) -> RandomFaults {
        let mut random = StdRng::seed_from_u64(seed);
        let shard = [None, Some(1), Some(2)][random.random_range(0..3)];
        let options = Options { shard_machines: shard, ..Options::default() };
        let runs = |timing: &mut WorkerTiming| {
            for k in 0..200 {
                timing.runs.insert(format!("run-{k}"), Duration::from_secs([2, 9, 25, 60][k % 4]));
            }
        };
        let cluster = Cluster::with_options(6, runs, options).await;
        let (jobs, next_id, cancelled, stopped_nodes) = Default::default();
        RandomFaults { cluster, random, jobs, next_id, cancelled, stopped_nodes, outage_end_step: 0 }
    }

    fn random_running_node(&mut self) -> usize {
        let running: Vec<usize> = (0..3).filter(|n| self.cluster.is_up(*n)).collect();
        running[self.random.random_range(0..running.len())]
    }

    /// Submits a random job at a random controller, once.
    async fn submit(&mut self) {
        let k = self.next_id;
        self.next_id += 1;
        let (id, team) = (format!("run-{k}"), ["free", "tight"][self.random.random_range(0..2)]);
        let cpus = [1.0, 4.0, 8.0, 16.0][self.random.random_range(0..4)];
        let rank = ["low", "normal", "normal", "urgent"][self.random.random_range(0..4)];
        let mut body = job(&id, team, self.random.random_range(1..5), cpus, rank);
        if self.random.random_bool(0.2) {
            body["same_place"] = true.into();
        }
        self.cluster.checker.job(&id, team, cpus);
        let n = self.random_running_node();
        if matches!(self.cluster.submit_once(n, &id, &body).await.0, 200 | 201) {
            self.jobs.push(id);
        }
    }

    /// Requests the cancellation of a random job at a random controller.
    async fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let id = self.jobs[self.random.random_range(0..self.jobs.len())].clone();
        let n = self.random_running_node();
        if self.cluster.cancel_once(n, &id).await.1 == "withdrawn" {
            self.cancelled.insert(id);
        }
    }

    /// Injects a random fault, or sometimes ends one.
    fn inject_fault(&mut self, step: usize) {
        let cluster = &self.cluster;
        let random = &mut self.random;
        let times = random.random_range(1..6);
        let n = random.random_range(0..3);
        let machines = cluster.cloud.machines();
        let machine = machines.get(random.random_range(0..machines.len().max(1))).cloned();
        match random.random_range(0..11) {
            0 => cluster.net.rule(Rule::all(&host(n), STATE, Action::Hold).path("/multi").times(times)),
            1 => cluster.net.rule(Rule::all(&host(n), STATE, Action::LoseAnswer).path("/multi").times(times)),
            2 => cluster.net.rule(Rule::all("", &address(n), Action::Copy).path("/hello").times(times * 2)),
            3 => cluster.net.rule(Rule::all("", CLOUD, Action::LoseAnswer).path("/rentals").times(times)),
            4 => cluster.net.rule(Rule::all("", "", Action::Hold).path("/do").times(times)),
            5 if self.stopped_nodes.len() < 3 => {
                if cluster.is_up(n) {
                    cluster.kill_node(n);
                    self.stopped_nodes.push((n, step + random.random_range(1..6)));
                }
            }
            6 => {
                if let Some(machine) = machine.filter(|m| cluster.cloud.has_worker(m)) {
                    cluster.cloud.worker(&machine).hang(Duration::from_secs(random.random_range(2..40)));
                }
            }
            7 => {
                // The machine receives no answers and no commands for some messages.
                if let Some(machine) = machine {
                    cluster.net.rule(Rule::all(&machine, "", Action::LoseAnswer).times(times * 2));
                    cluster.net.rule(Rule::all("", &format!("w:{machine}"), Action::Drop).times(times * 2));
                }
            }
            8 => {
                if let Some(machine) = machine {
                    cluster.net.rule(Rule::all(&machine, "", Action::Drop).times(times * 2));
                }
            }
            9 if self.outage_end_step < step => {
                self.outage_end_step = step + random.random_range(2..14);
                cluster.state.outage(true);
            }
            10 => {
                if let Some(machine) = machine {
                    cluster.cloud.take(&machine);
                }
            }
            _ => cluster.state.bar(&host(n), random.random_bool(0.5)),
        }
    }

    async fn step(&mut self, step: usize) {
        if step.is_multiple_of(5) {
            self.submit().await;
        }
        if step % 7 == 3 {
            self.cancel().await;
        }
        if step.is_multiple_of(2) {
            self.inject_fault(step);
        }
        if step % 6 == 5 {
            // Held messages arrive late: all of them at their receivers, or the heartbeats at every node.
            let everywhere: Vec<String> = (0..3).map(address).collect();
            if self.random.random_bool(0.5) {
                self.cluster.net.deliver().await;
            } else {
                self.cluster.net.deliver_hellos_to(&everywhere).await;
            }
        }
        for (n, _) in self.stopped_nodes.extract_if(.., |(_, at)| *at <= step) {
            self.cluster.start_node(n);
        }
        if self.outage_end_step == step {
            self.cluster.state.outage(false);
        }
        pause(self.random.random_range(0.2..1.8)).await;
        assert_eq!(self.cluster.checker.broken(), Vec::<String>::new(), "at step {step}");
    }

    /// Ends all faults and asserts that every accepted job ends within 900 s.
    async fn end(mut self) {
        for (n, _) in std::mem::take(&mut self.stopped_nodes) {
            self.cluster.start_node(n);
        }
        self.cluster.state.outage(false);
        (0..3).for_each(|n| self.cluster.state.bar(&host(n), false));
        self.cluster.net.clear_rules();
        self.cluster.net.deliver().await;
        self.cluster.checker.calm();
        let end = Instant::now() + Duration::from_secs(900);
        loop {
            let mut open = Vec::new();
            for id in &self.jobs {
                let stage = if self.cancelled.contains(id) { "withdrawn" } else { "done" };
                let (status, answer) = self.cluster.job_status(0, id).await;
                if status != 200 || answer["stage"] != stage {
                    open.push(format!("{id}: {status} {answer}"));
                }
            }
            assert_eq!(self.cluster.checker.neglected(), Vec::<String>::new(), "{open:?}");
            if open.is_empty() {
                break;
            }
            assert!(Instant::now() < end, "{open:?}");
            pause(0.5).await;
        }
        pause(CANCEL_DEADLINE.as_secs_f64()).await;
        self.cluster.assert_invariants_hold();
    }
}

/// Runs the random faults of each seed, and asserts that each run had jobs, cancellations and delayed, copied
/// and lost messages. `rules` apply from the beginning, before those of the random faults.
async fn run_seeds(seeds: std::ops::Range<u64>, rules: &[Rule]) {
    for seed in seeds {
        let mut run = RandomFaults::start(seed).await;
        rules.iter().for_each(|rule| run.cluster.net.rule(rule.clone()));
        for step in 0..STEPS_PER_SEED {
            run.step(step).await;
        }
        assert!(run.jobs.len() > 5 && run.cancelled.len() > 1, "seed {seed}");
        let happened = [Action::Hold, Action::LoseAnswer, Action::Copy].map(|a| run.cluster.net.matched(a));
        assert!(happened.iter().all(|n| *n > 0), "seed {seed}: {happened:?}");
        eprintln!("seed {seed}: {} jobs, {happened:?}", run.jobs.len());
        run.end().await;
    }
}

// Guards against violations that only a combination of faults causes: network faults, killed
// controllers, lost and hanging machines, and outages of the state service.
#[tokio::test(start_paused = true)]
async fn invariants_hold_and_all_jobs_end_under_random_faults() {
    run_seeds(0..12, &[]).await;
}

// Guards against commands that are not harmless when they arrive again: a copy of every message of direct
// commands arrives late, also after its sender has ended.
#[tokio::test(start_paused = true)]
async fn invariants_hold_when_all_direct_commands_arrive_again() {
    run_seeds(0..6, &[Rule::all("", "", Action::Copy).path("/do")]).await;
}
