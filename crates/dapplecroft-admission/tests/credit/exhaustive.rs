//! Exhaustive exploration of a small cell: two controllers, two leaders, and a limit of two jobs.

use crate::world::{World, host};
use dapplecroft_admission::planner::headroom;
use std::collections::HashSet;

const LIMIT: u64 = 2;
const JOBS: [&str; 3] = ["run-1", "run-2", "run-3"];
/// Maximum number of transactions in flight at the same time.
const MAX_IN_FLIGHT: usize = 2;
/// Number of steps that are explored from each initial state.
const MAX_STEPS: usize = 5;

type Step = Box<dyn Fn(&mut World)>;

/// Adds the steps that the leaders can take next.
fn leader_steps(world: &World, steps: &mut Vec<Step>) {
    for leader in 0..world.leaders.len() {
        steps.push(Box::new(move |world| world.sync_leader(leader)));
        if world.leader_condition(leader).is_none() || world.in_flight.len() >= MAX_IN_FLIGHT {
            continue;
        }
        let ledger = &world.leaders[leader].ledger;
        let policy = ledger.policy().map(|(policy, _)| policy.clone());
        let headroom = policy.map_or(0, |policy| headroom(ledger, &policy));
        for index in 0..world.controllers.len() {
            if ledger.epoch(&host(index)).is_some() && headroom > 0 {
                steps.push(Box::new(move |world| world.grant(leader, index, headroom)));
            }
            steps.push(Box::new(move |world| world.end_epoch(leader, index)));
        }
    }
}

/// All steps that can be taken next.
fn steps(world: &World) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    leader_steps(world, &mut steps);
    steps.push(Box::new(|world| world.elect(1)));
    for index in 0..world.controllers.len() {
        steps.push(Box::new(move |world| world.sync_controller(index)));
        if world.in_flight.len() < MAX_IN_FLIGHT {
            steps.extend(
                JOBS.map(|job| Box::new(move |world: &mut World| world.submit(index, job, 1)) as Step),
            );
        }
    }
    steps.push(Box::new(|world| world.restart(0)));
    steps.push(Box::new(|world| world.finish(JOBS[0])));
    for index in 0..world.in_flight.len() {
        steps.push(Box::new(move |world| world.deliver(index, true, false)));
        steps.push(Box::new(move |world| world.deliver(index, false, false)));
        if world.in_flight[index].awaited {
            steps.push(Box::new(move |world| world.give_up(index)));
        }
    }
    steps
}

/// A cell in which controller 0 has been granted the whole limit and has submitted a job that costs
/// half of it. `spent` says whether that transaction has committed or is still in flight.
fn world_with_first_submission(spent: bool) -> World {
    let mut world = World::new(LIMIT, 2, 2);
    world.elect(0);
    world.sync_leader(0);
    for index in 0..2 {
        world.end_epoch(0, index);
        world.deliver(0, true, false);
        world.sync_leader(0);
    }
    world.grant(0, 0, LIMIT);
    world.deliver(0, true, false);
    world.sync_leader(0);
    world.sync_controller(0);
    world.submit(0, JOBS[0], 1);
    if spent {
        world.deliver(0, true, false);
    }
    world.check_limit();
    world
}

/// Guards against an order of crashes, elections, stale copies, and lost or late transactions in
/// which outstanding work and credit together exceed the limit.
#[test]
fn outstanding_work_and_credit_stay_within_the_limit_in_every_event_order() {
    let mut seen: HashSet<u64> = HashSet::new();
    let mut frontier = vec![world_with_first_submission(false), world_with_first_submission(true)];
    for _ in 0..MAX_STEPS {
        let mut next = Vec::new();
        for world in frontier {
            for step in steps(&world) {
                let mut after = world.clone();
                step(&mut after);
                if seen.insert(hash_of(&after.fingerprint())) {
                    after.check_limit();
                    next.push(after);
                }
            }
        }
        frontier = next;
    }
    println!("{} states", seen.len());
    assert!(seen.len() > 10_000, "{} states", seen.len());
}

fn hash_of(text: &str) -> u64 {
    dapplecroft_admission::demand::job_hash(text)
}
