//! How many machines of which kind to rent for work that fits nowhere.

use crate::{Amounts, Need, Slot, best_fit};
use std::collections::BTreeMap;

/// Tasks of one job that wait for a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// What each needs.
    pub need: Need,
    /// How many.
    pub count: i64,
}

/// A kind of machine that can be asked for.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// What it has.
    pub capacity: Amounts,
    /// Price per hour now.
    pub price: f64,
    /// Usual boot time in seconds.
    pub boot_s: f64,
}

/// Machines to rent.
#[derive(Debug, Clone, PartialEq)]
pub struct Rental {
    /// Index of the offer.
    pub offer: usize,
    /// How many.
    pub count: u32,
}

/// The offer for `count` tasks of this need: the cheapest per task if thrift is
/// asked for, else the one that is up soonest and serves most.
pub fn cheapest_offer(offers: &[Offer], need: &Need, count: i64, thrift: bool) -> Option<usize> {
    let mut best: Option<(usize, (f64, f64))> = None;
    for (index, offer) in offers.iter().enumerate() {
        if !need.allows(&offer.machine_type, &offer.zone, offer.spot) {
            continue;
        }
        let fit = need.amounts.times_in(&offer.capacity).min(count.max(1));
        if fit < 1 {
            continue;
        }
        let per_task = offer.price / fit as f64;
        let key = if thrift { (per_task, offer.boot_s) } else { (offer.boot_s, per_task) };
        if best.as_ref().is_none_or(|(_, b)| key < *b) {
            best = Some((index, key));
        }
    }
    best.map(|(index, _)| index)
}

/// Packs the demands onto the machines that are still booting, and returns what
/// to rent for the rest. `offers` are those not backed off from.
pub fn plan_rentals(
    demands: &[Demand],
    booting: Vec<Slot>,
    offers: &[Offer],
    thrift: bool,
    most: u32,
) -> Vec<Rental> {
    let mut slots = booting;
    let mut order: Vec<&Demand> = demands.iter().collect();
    order.sort_by_key(|d| {
        std::cmp::Reverse((d.need.amounts.cpus, d.need.amounts.gpus, d.need.amounts.memory))
    });
    let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
    let mut total = 0;
    for demand in order {
        let mut left = demand.count;
        while left > 0 {
            if let Some(index) = best_fit(&slots, &demand.need, |_| true) {
                let slot = &mut slots[index];
                let n = demand.need.amounts.times_in(&slot.room()).clamp(1, left);
                slot.booked += demand.need.amounts.times(n);
                left -= n;
                continue;
            }
            if total >= most {
                break;
            }
            let Some(index) = cheapest_offer(offers, &demand.need, left, thrift) else { break };
            let offer = &offers[index];
            slots.push(Slot {
                machine: String::new(),
                machine_type: offer.machine_type.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                capacity: offer.capacity,
                booked: Amounts::default(),
                images: BTreeMap::new(),
                open: true,
                doubtful: false,
            });
            *counts.entry(index).or_default() += 1;
            total += 1;
        }
    }
    counts.into_iter().map(|(offer, count)| Rental { offer, count }).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::place::tests::{need, slot};

    fn offer(name: &str, cpus: f64, price: f64, boot_s: f64) -> Offer {
        Offer {
            machine_type: name.into(),
            zone: "z".into(),
            spot: false,
            capacity: Amounts::new(cpus, 0.0, cpus * 4.0),
            price,
            boot_s,
        }
    }

    #[test]
    fn booting_machines_are_filled_before_more_are_rented() {
        let demands = [Demand { need: need(4.0), count: 6 }];
        let offers = [offer("small", 16.0, 1.0, 50.0), offer("big", 32.0, 2.5, 20.0)];
        let plan = plan_rentals(&demands, vec![slot("boots", 16.0, 0.0)], &offers, true, 50);
        assert_eq!(plan, [Rental { offer: 0, count: 1 }]);
        let none = plan_rentals(&demands, vec![slot("boots", 32.0, 0.0)], &offers, true, 50);
        assert!(none.is_empty());
    }

    #[test]
    fn without_thrift_the_machine_that_is_up_first_is_taken() {
        let demands = [Demand { need: need(4.0), count: 6 }];
        let offers = [offer("small", 16.0, 1.0, 50.0), offer("big", 32.0, 2.5, 20.0)];
        assert_eq!(plan_rentals(&demands, vec![], &offers, false, 50), [Rental { offer: 1, count: 1 }]);
        let too_big = [Demand { need: need(64.0), count: 1 }];
        assert!(plan_rentals(&too_big, vec![], &offers, false, 50).is_empty());
    }
}
