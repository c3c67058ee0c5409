//! Fleet sizing: how many machines of which kind to scale out by, spot
//! instances included, for tasks that fit on no machine.

use crate::{Resources, TaskRequirements};
use std::collections::BTreeMap;

/// Tasks of one job that wait for a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// What each needs.
    pub requirements: TaskRequirements,
    /// How many tasks.
    pub count: i64,
    /// Whether they can't wait for the cheapest machine: the one that is up
    /// soonest is taken.
    pub fastest: bool,
}

/// A kind of machine that the cloud can start.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
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
pub fn cheapest_offer(
    offers: &[Offer],
    requirements: &TaskRequirements,
    count: i64,
    prefer_cheapest: bool,
) -> Option<usize> {
    let mut best: Option<(usize, (f64, f64))> = None;
    for (index, offer) in offers.iter().enumerate() {
        if !requirements.allows(&offer.machine_type, &offer.zone, offer.spot) {
            continue;
        }
        let fit = requirements.resources.times_in(&offer.capacity).min(count.max(1));
        if fit < 1 {
            continue;
        }
        let per_task = offer.price / fit as f64;
        let key = if prefer_cheapest { (per_task, offer.boot_s) } else { (offer.boot_s, per_task) };
        if best.as_ref().is_none_or(|(_, b)| key < *b) {
            best = Some((index, key));
        }
    }
    best.map(|(index, _)| index)
}

/// Equal machines that are still booting and so take no work yet, with the room
/// left on each.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingCapacity {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether they are spot or preemptible instances.
    pub spot: bool,
    /// Room left on each.
    pub room: Resources,
    /// How many machines there are.
    pub count: i64,
}

/// Packs the demands, largest first, onto the machines that are still booting,
/// and plans a scale-out for the rest: no more than `max_machines` machines in
/// all, one [`ScaleOutRequest`] per offer, in the order of the offers. `offers` are those
/// not backed off from. Equal machines are counted, not listed, so that the work
/// grows with the demands and not with the fleet.
pub fn plan_scale_out(
    demands: &[Demand],
    booting: Vec<PendingCapacity>,
    offers: &[Offer],
    prefer_cheapest: bool,
    max_machines: u32,
) -> Vec<ScaleOutRequest> {
    let mut pending = booting;
    let mut order: Vec<&Demand> = demands.iter().collect();
    order.sort_by_key(|d| {
        std::cmp::Reverse((
            d.requirements.resources.cpus,
            d.requirements.resources.gpus,
            d.requirements.resources.memory,
        ))
    });
    let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
    let mut planned = 0;
    for demand in order {
        let requirements = &demand.requirements;
        let mut left = pack_onto_pending_machines(&mut pending, requirements, demand.count);
        while left > 0 && planned < max_machines {
            let Some(index) = cheapest_offer(offers, requirements, left, prefer_cheapest && !demand.fastest)
            else {
                break;
            };
            let offer = &offers[index];
            let each = requirements.resources.times_in(&offer.capacity).max(1);
            // A last machine that would stay partly empty is planned by itself, so
            // that its leftover room is kept for the smaller demands that follow.
            let full = (left / each).max(1).min(i64::from(max_machines - planned));
            let here = (full * each).min(left);
            *counts.entry(index).or_default() += full as u32;
            planned += full as u32;
            left -= here;
            let rest = full * each - here;
            if rest > 0 || requirements.resources.times(each) != offer.capacity {
                pending.push(PendingCapacity {
                    machine_type: offer.machine_type.clone(),
                    zone: offer.zone.clone(),
                    spot: offer.spot,
                    room: offer.capacity - requirements.resources.times(if full == 1 { here } else { each }),
                    count: full,
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
    let mut order: Vec<usize> = (0..pending.len())
        .filter(|&group| {
            let machines = &pending[group];
            machines.count > 0
                && requirements.allows(&machines.machine_type, &machines.zone, machines.spot)
                && requirements.resources.fits(&machines.room)
        })
        .collect();
    order.sort_by_key(|&group| (pending[group].room.cpus, pending[group].room.memory, group));
    let mut remaining = count;
    for group in order {
        if remaining <= 0 {
            break;
        }
        let per_machine = requirements.resources.times_in(&pending[group].room).max(1);
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
