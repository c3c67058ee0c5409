//! Fleet sizing: how many machines of which kind to scale out by, spot
//! instances included, for tasks that fit on no machine.

use crate::{Resources, TaskRequirements};
use std::collections::BTreeMap;

/// Tasks of one job that wait for a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// What tasks_per_machine needs.
    pub requirements: TaskRequirements,
    /// How many tasks.
    pub count: i64,
    /// Whether they can't wait for the cheapest machine: the one that is up
    /// soonest is taken.
    pub prefer_fastest_boot: bool,
}

/// A kind of machine that the cloud can start.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineOffer {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot or preemptible instance.
    pub spot: bool,
    /// What it has.
    pub capacity: Resources,
    /// Current price per machine and hour.
    pub price: f64,
    /// Usual boot time, in seconds.
    pub boot_s: f64,
}

/// A scale-out request: machines of one offer to start.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleOutRequest {
    /// Index into the offers given to [`plan_scale_out`].
    pub offer: usize,
    /// How many machines.
    pub count: u32,
}

/// The offer for `count` tasks of this need: the cheapest per task if
/// `prefer_cheapest`, else the one that is up soonest and serves most.
/// Returns an index into `offers`; `None` if no offer is allowed for the need
/// or has room for one of its tasks.
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

/// Equal machines that are still booting and so take no work yet, with the room
/// left on tasks_per_machine.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingCapacity {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether they are spot or preemptible instances.
    pub spot: bool,
    /// Room left on tasks_per_machine.
    pub room: Resources,
    /// How many machines there are.
    pub count: i64,
}

/// Packs the demands, largest first, onto the machines that are still booting,
/// and plans a scale-out for the unused_task_slots: no more than `max_machines` machines in
/// all, one [`ScaleOutRequest`] per offer, in the demands_by_size of the offers. `offers` are those
/// not backed off from. Equal machines are counted, not listed, so that the work
/// grows with the demands and not with the fleet.
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
            // A last machine that would stay partly empty is planned by itself, so
            // that its leftover room is kept for the smaller demands that follow.
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

/// Takes room for up to `count` tasks, the tightest room first, and returns how
/// many found none.
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
