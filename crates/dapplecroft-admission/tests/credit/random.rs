//! Long random histories of a larger cell, in which the leaders grant by the real planner.

use crate::world::{Controller, Key, Record, World, host};
use dapplecroft_admission::demand::job_hash;
use dapplecroft_admission::settings::{Platform, PlatformTeam};
use dapplecroft_admission::{
    AdmissionConfig, BucketDemand, ControllerView, Planner, PlannerInput, RawAdmissionConfig,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::{Duration, Instant};

const LIMIT: u64 = 60;
const CONTROLLERS: usize = 3;
const LEADERS: usize = 2;

#[derive(Debug, Clone)]
enum Event {
    Submit { controller: usize, job: u8, charge: u64 },
    Deliver { index: usize, answered: bool, resent: bool },
    GiveUp { index: usize },
    SyncController { controller: usize },
    SyncLeader { leader: usize },
    Restart { controller: usize },
    Elect { leader: usize },
    Plan { leader: usize, wanted: u64, after_s: u64 },
    Finish { job: u8 },
}

fn event() -> impl Strategy<Value = Event> {
    let (controller, leader) = (0..CONTROLLERS, 0..LEADERS);
    prop_oneof![
        8 => (controller.clone(), 0u8..60, 1u64..8)
            .prop_map(|(controller, job, charge)| Event::Submit { controller, job, charge }),
        10 => (0usize..50, any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(index, answered, resent)| Event::Deliver { index, answered, resent }),
        2 => (0usize..50).prop_map(|index| Event::GiveUp { index }),
        6 => controller.clone().prop_map(|controller| Event::SyncController { controller }),
        6 => leader.clone().prop_map(|leader| Event::SyncLeader { leader }),
        1 => controller.prop_map(|controller| Event::Restart { controller }),
        1 => leader.clone().prop_map(|leader| Event::Elect { leader }),
        6 => (leader, prop_oneof![Just(0u64), 1u64..40], 0u64..40)
            .prop_map(|(leader, wanted, after_s)| Event::Plan { leader, wanted, after_s }),
        3 => (0u8..60).prop_map(|job| Event::Finish { job }),
    ]
}

fn admission() -> AdmissionConfig {
    let team = PlatformTeam { name: "team".into(), guaranteed_cpus: 1.0 };
    let platform = Platform { teams: vec![team], classes: ["class".to_string()].into() };
    let raw = RawAdmissionConfig { limit_cpu_s: Some(LIMIT), ..RawAdmissionConfig::default() };
    raw.resolve(&platform).expect("the settings are valid")
}

struct TestRun {
    world: World,
    planners: Vec<Planner>,
    admission: AdmissionConfig,
    now: Instant,
}

impl TestRun {
    fn new() -> TestRun {
        TestRun {
            world: World::new(LIMIT, CONTROLLERS, LEADERS),
            planners: (0..LEADERS).map(|_| Planner::default()).collect(),
            admission: admission(),
            now: Instant::now(),
        }
    }

    fn controller_views(&self, wanted: u64) -> Vec<ControllerView> {
        let view = |controller_index: usize| {
            let mut demand = BucketDemand::default();
            (0..wanted).for_each(|job| demand.sketch.add(job_hash(&format!("run-{job}")), 3));
            let buckets =
                if wanted > 0 { [(crate::world::bucket(), demand)].into() } else { Default::default() };
            let identity = self.world.controllers[controller_index].identity.clone();
            ControllerView { host: host(controller_index), identity, demand: buckets, unsettled_credit: 0 }
        };
        (0..CONTROLLERS).map(view).collect()
    }

    fn plan(&mut self, leader_index: usize, wanted: u64) {
        let input = PlannerInput {
            admission: &self.admission,
            controllers: self.controller_views(wanted),
            term: 0,
            all_support_admission: true,
            cpus_up: 0.0,
            now: self.now,
            unix_time_s: 0.0,
            // So small that each controller needs a grant page of its own.
            max_value_bytes: 110,
            max_changes: 4,
        };
        let plan = self.planners[leader_index].plan(&self.world.leaders[leader_index].ledger, &input);
        let epochs = plan.epochs.into_iter().map(|(host, record)| (Key::Epoch(host), Record::Epoch(record)));
        let pages = plan.pages.into_iter().map(|(page, record)| (Key::Page(page), Record::Page(record)));
        let changes: Vec<(Key, Record)> = epochs.chain(pages).collect();
        if !changes.is_empty() {
            self.world.submit_leader_transaction(leader_index, changes);
        }
    }

    fn apply(&mut self, event: &Event) {
        let count = self.world.in_flight.len();
        match *event {
            Event::Submit { controller, job, charge } => {
                self.world.submit(controller, &format!("run-{job}"), charge);
            }
            Event::Deliver { index, answered, resent } if count > 0 => {
                self.world.deliver(index % count, answered, resent);
            }
            Event::GiveUp { index } if count > 0 => self.world.give_up(index % count),
            Event::Deliver { .. } | Event::GiveUp { .. } => {}
            Event::SyncController { controller } => self.world.sync_controller(controller),
            Event::SyncLeader { leader } => self.world.sync_leader(leader),
            Event::Restart { controller } => self.world.restart(controller),
            Event::Elect { leader } => {
                self.world.elect(leader);
                self.planners[leader].reset();
            }
            Event::Plan { leader, wanted, after_s } => {
                self.now += Duration::from_secs(after_s);
                if self.world.leader_condition(leader).is_some() {
                    self.plan(leader, wanted);
                }
            }
            Event::Finish { job } => self.world.finish(&format!("run-{job}")),
        }
        self.world.check_limit();
    }

    /// Brings the cell to rest: delivers all transactions, ends all jobs, and lets leader 0 run
    /// several rounds with all copies up to date.
    fn settle(&mut self) {
        while !self.world.in_flight.is_empty() {
            self.world.deliver(0, self.world.in_flight[0].is_from_leader(), false);
        }
        (0..60).for_each(|job| self.world.finish(&format!("run-{job}")));
        self.world.elect(0);
        for _ in 0..6 {
            self.world.sync_leader(0);
            (0..CONTROLLERS).for_each(|controller_index| self.world.sync_controller(controller_index));
            self.now += Duration::from_secs(60);
            self.plan(0, 40);
            while !self.world.in_flight.is_empty() {
                self.world.deliver(0, true, false);
            }
            self.world.check_limit();
        }
        (0..CONTROLLERS).for_each(|controller_index| self.world.sync_controller(controller_index));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(29),
        ..ProptestConfig::default()
    })]

    /// Guards against histories of failures in which the limit is exceeded, and against credit that
    /// stays lost after the failures are over.
    #[test]
    fn limit_holds_and_no_credit_is_lost(events in prop::collection::vec(event(), 50..400)) {
        let mut run = TestRun::new();
        run.world.elect(0);
        for event in &events {
            run.apply(event);
        }
        run.settle();
        // Whatever happened, at least half of the limit can be spent in the end.
        let available = |controller: &Controller| controller.spender.available(&crate::world::bucket());
        let free: u64 = run.world.controllers.iter().map(available).sum();
        prop_assert!(free >= LIMIT / 2, "{free} of {LIMIT}");
    }
}
