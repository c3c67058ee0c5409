//! Long random histories of a larger cell, with the leader's real plans.

use crate::world::{Key, Record, World, host};
use dapplecroft_admission::demand::job_hash;
use dapplecroft_admission::settings::{Platform, PlatformTeam};
use dapplecroft_admission::{Admission, BucketDemand, ControllerView, Planner, PlannerInput, RawAdmission};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::{Duration, Instant};

const LIMIT: u64 = 60;
const CONTROLLERS: usize = 3;
const LEADERS: usize = 2;

#[derive(Debug, Clone)]
enum Event {
    Submit { controller: usize, job: u8, charge: u64 },
    Deliver { index: usize, heard: bool, again: bool },
    GiveUp { index: usize },
    Follow { controller: usize },
    LeaderFollows { leader: usize },
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
            .prop_map(|(index, heard, again)| Event::Deliver { index, heard, again }),
        2 => (0usize..50).prop_map(|index| Event::GiveUp { index }),
        6 => controller.clone().prop_map(|controller| Event::Follow { controller }),
        6 => leader.clone().prop_map(|leader| Event::LeaderFollows { leader }),
        1 => controller.prop_map(|controller| Event::Restart { controller }),
        1 => leader.clone().prop_map(|leader| Event::Elect { leader }),
        6 => (leader, prop_oneof![Just(0u64), 1u64..40], 0u64..40)
            .prop_map(|(leader, wanted, after_s)| Event::Plan { leader, wanted, after_s }),
        3 => (0u8..60).prop_map(|job| Event::Finish { job }),
    ]
}

fn admission() -> Admission {
    let team = PlatformTeam { name: "team".into(), guaranteed_cpus: 1.0 };
    let platform = Platform { teams: vec![team], classes: ["class".to_string()].into() };
    let raw = RawAdmission { limit_cpu_s: Some(LIMIT), ..RawAdmission::default() };
    raw.resolve(&platform).expect("settings that can be")
}

struct Run {
    world: World,
    planners: Vec<Planner>,
    admission: Admission,
    now: Instant,
}

impl Run {
    fn new() -> Run {
        Run {
            world: World::new(LIMIT, CONTROLLERS, LEADERS),
            planners: (0..LEADERS).map(|_| Planner::default()).collect(),
            admission: admission(),
            now: Instant::now(),
        }
    }

    fn views(&self, wanted: u64) -> Vec<ControllerView> {
        let view = |n: usize| {
            let mut demand = BucketDemand::default();
            (0..wanted).for_each(|job| demand.sketch.add(job_hash(&format!("run-{job}")), 3));
            let buckets =
                if wanted > 0 { [(crate::world::bucket(), demand)].into() } else { Default::default() };
            let identity = self.world.controllers[n].identity.clone();
            ControllerView { host: host(n), identity, demand: buckets, stuck: 0 }
        };
        (0..CONTROLLERS).map(view).collect()
    }

    fn plan(&mut self, l: usize, wanted: u64) {
        let input = PlannerInput {
            admission: &self.admission,
            controllers: self.views(wanted),
            term: 0,
            all_know: true,
            cpus_up: 0.0,
            now: self.now,
            wall: 0.0,
            // So little that each controller has a page of its own.
            max_value: 110,
            max_changes: 4,
        };
        let plan = self.planners[l].plan(&self.world.leaders[l].ledger, &input);
        let epochs = plan.epochs.into_iter().map(|(host, record)| (Key::Epoch(host), Record::Epoch(record)));
        let pages = plan.pages.into_iter().map(|(page, record)| (Key::Page(page), Record::Page(record)));
        let changes: Vec<(Key, Record)> = epochs.chain(pages).collect();
        if !changes.is_empty() {
            self.world.leader_commits(l, changes);
        }
    }

    fn take(&mut self, event: &Event) {
        let count = self.world.in_flight.len();
        match *event {
            Event::Submit { controller, job, charge } => {
                self.world.submit(controller, &format!("run-{job}"), charge);
            }
            Event::Deliver { index, heard, again } if count > 0 => {
                self.world.deliver(index % count, heard, again);
            }
            Event::GiveUp { index } if count > 0 => self.world.give_up(index % count),
            Event::Deliver { .. } | Event::GiveUp { .. } => {}
            Event::Follow { controller } => self.world.follow(controller),
            Event::LeaderFollows { leader } => self.world.leader_follows(leader),
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
        self.world.check();
    }

    /// Everything settles: nothing is on its way, all copies catch up, all jobs end.
    fn settle(&mut self) {
        while !self.world.in_flight.is_empty() {
            self.world.deliver(0, self.world.in_flight[0].is_from_leader(), false);
        }
        (0..60).for_each(|job| self.world.finish(&format!("run-{job}")));
        self.world.elect(0);
        for _ in 0..6 {
            self.world.leader_follows(0);
            (0..CONTROLLERS).for_each(|n| self.world.follow(n));
            self.now += Duration::from_secs(60);
            self.plan(0, 40);
            while !self.world.in_flight.is_empty() {
                self.world.deliver(0, true, false);
            }
            self.world.check();
        }
        (0..CONTROLLERS).for_each(|n| self.world.follow(n));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(29),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_limit_holds_and_no_credit_is_lost(events in prop::collection::vec(event(), 50..400)) {
        let mut run = Run::new();
        run.world.elect(0);
        for event in &events {
            run.take(event);
        }
        run.settle();
        // Whatever happened, nearly all of the limit can be spent in the end.
        let free: u64 = run.world.controllers.iter().map(|c| c.spender.available(&crate::world::bucket())).sum();
        prop_assert!(free >= LIMIT / 2, "{free} of {LIMIT}");
    }
}
