//! Fleet sizing: how many machines of which type, on-demand or spot, to start for
//! tasks that fit on no running machine.

use crate::{Resources, TaskRequirements};
use std::collections::BTreeMap;

/// Equal tasks of one job that wait for a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Requirements of each task.
    pub requirements: TaskRequirements,
    /// Number of tasks.
    pub count: i64,
    /// Whether to choose the machine that boots fastest, even where the cheapest one
    /// is preferred for other tasks.
    pub prefer_fastest_boot: bool,
}

/// A kind of machine that can be rented from the cloud.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineOffer {
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone in which the machine starts.
    pub zone: String,
    /// Whether the machine is a spot (preemptible) instance.
    pub spot: bool,
    /// Total resources of one machine.
    pub capacity: Resources,
    /// Current price of one machine per hour.
    pub price: f64,
    /// Typical boot time, in seconds.
    pub boot_s: f64,
}

/// A scale-out request: machines of one offer to start.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleOutRequest {
    /// Index of the offer in the `offers` given to [`plan_scale_out`].
    pub offer: usize,
    /// Number of machines to start.
    pub count: u32,
}

/// Selects the offer to rent for `count` tasks with these requirements: with
/// `prefer_cheapest` the one with the lowest price per task, else the one that boots
/// fastest; the other criterion breaks ties.
/// Returns an index into `offers`, or `None` if no offer is allowed for the tasks
/// and large enough for one of them.
pub fn select_offer(
    offers: &[MachineOffer],
    requirements: &TaskRequirements,
    count: i64,
    prefer_cheapest: bool,
) -> Option<usize> {
    let mut best: Option<(usize, (f64, f64))> = None;
    for (index, offer) in offers.iter().enumerate() {
        if !requirements.allows(&offer.machine_type, &offer.zone, offer.spot) {
            continue;
        }
        let tasks_per_machine = requirements.resources.copies_that_fit(&offer.capacity).min(count.max(1));
        if tasks_per_machine < 1 {
            continue;
        }
        let price_per_task = offer.price / tasks_per_machine as f64;
        let key =
            if prefer_cheapest { (price_per_task, offer.boot_s) } else { (offer.boot_s, price_per_task) };
        if best.as_ref().is_none_or(|(_, best_key)| key < *best_key) {
            best = Some((index, key));
        }
    }
    best.map(|(index, _)| index)
}

/// A group of equal machines that are not up yet, with the resources that planned
/// tasks leave free on each.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingCapacity {
    /// Name of the machines' type.
    pub machine_type: String,
    /// Zone of the machines.
    pub zone: String,
    /// Whether the machines are spot (preemptible) instances.
    pub spot: bool,
    /// Free resources on each machine.
    pub room: Resources,
    /// Number of machines in the group.
    pub count: i64,
}

/// Packs the demands, largest tasks first, onto the machines that are still booting
/// and plans a scale-out for the remaining tasks: at most `max_machines` machines in
/// total, with one [`ScaleOutRequest`] per offer, in the order of the offers.
/// `offers` must not contain kinds of machines that are in backoff after the cloud
/// refused them. Equal machines are handled as one group with a count, so that the
/// cost grows with the number of demands and not with the size of the fleet.
pub fn plan_scale_out(
    demands: &[Demand],
    booting: Vec<PendingCapacity>,
    offers: &[MachineOffer],
    prefer_cheapest: bool,
    max_machines: u32,
) -> Vec<ScaleOutRequest> {
    let mut pending = booting;
    let mut demands_by_size: Vec<&Demand> = demands.iter().collect();
    demands_by_size.sort_by_key(|d| {
        std::cmp::Reverse((
            d.requirements.resources.cpus,
            d.requirements.resources.gpus,
            d.requirements.resources.memory,
        ))
    });
    let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
    let mut planned_machines = 0;
    for demand in demands_by_size {
        let requirements = &demand.requirements;
        let mut unplaced = pack_onto_pending_machines(&mut pending, requirements, demand.count);
        while unplaced > 0 && planned_machines < max_machines {
            let Some(index) =
                select_offer(offers, requirements, unplaced, prefer_cheapest && !demand.prefer_fastest_boot)
            else {
                break;
            };
            let offer = &offers[index];
            let tasks_per_machine = requirements.resources.copies_that_fit(&offer.capacity).max(1);
            // Only machines that the tasks fill are planned together. A last machine
            // that stays partly empty is planned by itself in the next iteration, so
            // that its exact free room is available to the smaller demands that follow.
            let new_machines =
                (unplaced / tasks_per_machine).max(1).min(i64::from(max_machines - planned_machines));
            let tasks_packed = (new_machines * tasks_per_machine).min(unplaced);
            *counts.entry(index).or_default() += new_machines as u32;
            planned_machines += new_machines as u32;
            unplaced -= tasks_packed;
            let unused_task_slots = new_machines * tasks_per_machine - tasks_packed;
            if unused_task_slots > 0 || requirements.resources.times(tasks_per_machine) != offer.capacity {
                pending.push(PendingCapacity {
                    machine_type: offer.machine_type.clone(),
                    zone: offer.zone.clone(),
                    spot: offer.spot,
                    room: offer.capacity
                        - requirements.resources.times(if new_machines == 1 {
                            tasks_packed
                        } else {
                            tasks_per_machine
                        }),
                    count: new_machines,
                });
            }
        }
    }
    counts.into_iter().map(|(offer, count)| ScaleOutRequest { offer, count }).collect()
}

/// Packs up to `count` tasks onto the pending machines, those with the least free
/// room first, and returns how many tasks did not fit.
fn pack_onto_pending_machines(
    pending: &mut Vec<PendingCapacity>,
    requirements: &TaskRequirements,
    count: i64,
) -> i64 {
    let mut groups_by_room: Vec<usize> = (0..pending.len())
        .filter(|&group| {
            let machines = &pending[group];
            machines.count > 0
                && requirements.allows(&machines.machine_type, &machines.zone, machines.spot)
                && requirements.resources.fits(&machines.room)
        })
        .collect();
    groups_by_room.sort_by_key(|&group| (pending[group].room.cpus, pending[group].room.memory, group));
    let mut remaining = count;
    for group in groups_by_room {
        if remaining <= 0 {
            break;
        }
        let per_machine = requirements.resources.copies_that_fit(&pending[group].room).max(1);
        let full_machines = (remaining / per_machine).min(pending[group].count);
        let on_partial_machine =
            if full_machines < pending[group].count { remaining - full_machines * per_machine } else { 0 };
        let (room, original) = (pending[group].room, pending[group].clone());
        pending[group].count -= full_machines + i64::from(on_partial_machine > 0);
        remaining -= full_machines * per_machine + on_partial_machine;
        if full_machines > 0 {
            pending.push(PendingCapacity {
                room: room - requirements.resources.times(per_machine),
                count: full_machines,
                ..original.clone()
            });
        }
        if on_partial_machine > 0 {
            pending.push(PendingCapacity {
                room: room - requirements.resources.times(on_partial_machine),
                count: 1,
                ..original
            });
        }
    }
    remaining
}

#[cfg(test)]
mod tests;
