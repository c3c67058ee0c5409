//! The small case, all of it: two controllers, two leaders, a limit of two jobs.

use crate::world::{World, host};
use dapplecroft_admission::planner::room;
use std::collections::HashSet;

const LIMIT: u64 = 2;
const JOBS: [&str; 3] = ["run-1", "run-2", "run-3"];
/// The most transactions that are on their way at a time.
const IN_FLIGHT: usize = 2;
/// The most steps from a cell that has granted nothing.
const DEPTH: usize = 5;

type Step = Box<dyn Fn(&mut World)>;

fn leader_steps(world: &World, steps: &mut Vec<Step>) {
    for l in 0..world.leaders.len() {
        steps.push(Box::new(move |w| w.leader_follows(l)));
        if world.leader_condition(l).is_none() || world.in_flight.len() >= IN_FLIGHT {
            continue;
        }
        let ledger = &world.leaders[l].ledger;
        let policy = ledger.policy().map(|(policy, _)| policy.clone());
        let room = policy.map_or(0, |policy| room(ledger, &policy));
        for n in 0..world.controllers.len() {
            if ledger.epoch(&host(n)).is_some() && room > 0 {
                steps.push(Box::new(move |w| w.grant(l, n, room)));
            }
            steps.push(Box::new(move |w| w.end_epoch(l, n)));
        }
    }
}

fn steps(world: &World) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    leader_steps(world, &mut steps);
    steps.push(Box::new(|w| w.elect(1)));
    for n in 0..world.controllers.len() {
        steps.push(Box::new(move |w| w.follow(n)));
        if world.in_flight.len() < IN_FLIGHT {
            steps.extend(JOBS.map(|job| Box::new(move |w: &mut World| w.submit(n, job, 1)) as Step));
        }
    }
    steps.push(Box::new(|w| w.restart(0)));
    steps.push(Box::new(|w| w.finish(JOBS[0])));
    for n in 0..world.in_flight.len() {
        steps.push(Box::new(move |w| w.deliver(n, true, false)));
        steps.push(Box::new(move |w| w.deliver(n, false, false)));
        if world.in_flight[n].awaited {
            steps.push(Box::new(move |w| w.give_up(n)));
        }
    }
    steps
}

/// A cell in which one controller has all credit, and has spent half of it or is about to.
fn begun(spent: bool) -> World {
    let mut world = World::new(LIMIT, 2, 2);
    world.elect(0);
    world.leader_follows(0);
    for n in 0..2 {
        world.end_epoch(0, n);
        world.deliver(0, true, false);
        world.leader_follows(0);
    }
    world.grant(0, 0, LIMIT);
    world.deliver(0, true, false);
    world.leader_follows(0);
    world.follow(0);
    world.submit(0, JOBS[0], 1);
    if spent {
        world.deliver(0, true, false);
    }
    world.check();
    world
}

#[test]
fn the_limit_holds_in_every_order_of_events() {
    let mut seen: HashSet<u64> = HashSet::new();
    let mut frontier = vec![begun(false), begun(true)];
    for _ in 0..DEPTH {
        let mut next = Vec::new();
        for world in frontier {
            for step in steps(&world) {
                let mut after = world.clone();
                step(&mut after);
                if seen.insert(xxhash(&after.fingerprint())) {
                    after.check();
                    next.push(after);
                }
            }
        }
        frontier = next;
    }
    println!("{} states", seen.len());
    assert!(seen.len() > 10_000, "{} states", seen.len());
}

fn xxhash(text: &str) -> u64 {
    dapplecroft_admission::demand::job_hash(text)
}
