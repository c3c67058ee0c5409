//! The machine types: what can be rented, how long idle machines are kept, and
//! what is kept up for services.

use super::Core;
use super::fleet::MachineKind;
use super::layout::to_value;
use super::record_replica::CatalogPage;
use crate::machines::MachinePhase;
use crate::records::{self, stored_size};
use dapplecroft_sched::{MachineOffer, PendingCapacity, Resources, ScaleOutRequest};
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::cloud::{Catalog, MachineType};
use dapplecroft_wire::state::{Change, Condition};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Records of machine types are sized as if there were so many of them.
const MOST_CATALOG_SEGMENTS: u32 = 1000;

impl Core {
    /// Takes over the machine types; returns whether the record of them is
    /// behind. Prices move all the time and are not recorded for that alone.
    pub fn take_catalog(&mut self, catalog: Catalog) -> bool {
        let plain = |c: &Catalog| {
            let mut c = c.clone();
            for machine_type in &mut c.machine_types {
                (machine_type.price, machine_type.spot_price) = (0.0, 0.0);
            }
            c
        };
        let changed = self.catalog.as_ref().is_none_or(|old| plain(old) != plain(&catalog));
        let recorded = match self.recorded_catalog() {
            Some(_) => true,
            None => self.version(records::CATALOG_KEY) > 0,
        };
        let unrecorded = !recorded;
        self.catalog = Some(catalog);
        self.set_machine_capacities();
        self.wakeups.place = true;
        changed || unrecorded
    }

    /// The records of the machine types that differ from what is recorded: one
    /// that any version reads, or as many as it takes for each to fit a value.
    pub fn catalog_updates(&self, catalog: &Catalog) -> Vec<AtomicUpdate> {
        let set = |key: String, value| {
            let conditions = vec![Condition { key: key.clone(), version: self.version(&key) }];
            AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] }
        };
        if self.uses_legacy_layout() {
            return vec![set(records::CATALOG_KEY.into(), to_value(catalog))];
        }
        let segments = catalog_segments(&catalog.machine_types, self.limits().value);
        let numbered = (0..).zip(segments);
        let changed = numbered.filter(|(number, segment)| self.catalog_pages.get(number) != Some(segment));
        changed.map(|(number, segment)| set(records::catalog_key(number), to_value(&segment))).collect()
    }

    pub(super) fn offers(&self, now: Instant) -> Vec<MachineOffer> {
        let Some(catalog) = &self.catalog else { return Vec::new() };
        let mut offers = Vec::new();
        for machine_type in &catalog.machine_types {
            for zone in &machine_type.zones {
                for spot in [false, true] {
                    let kind =
                        MachineKind { machine_type: machine_type.name.clone(), zone: zone.clone(), spot };
                    if self.fleet.capacity_refusals.get(&kind).is_some_and(|refusal| refusal.retry_at > now) {
                        continue;
                    }
                    offers.push(MachineOffer {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                        capacity: Resources::new(
                            machine_type.cpus,
                            machine_type.gpus,
                            machine_type.memory_gb,
                        ),
                        price: if spot { machine_type.spot_price } else { machine_type.price },
                        boot_s: machine_type.boot_s,
                    });
                }
            }
        }
        offers
    }

    pub(super) fn boot_time(&self, machine_type: &str) -> Duration {
        let machine_type =
            self.catalog.as_ref().and_then(|c| c.machine_types.iter().find(|h| h.name == machine_type));
        Duration::from_secs_f64(machine_type.map_or(60.0, |h| h.boot_s.clamp(1.0, 3600.0)))
    }

    /// How long idle machines are kept by type and kind: two boot times for what
    /// is cheapest per CPU, and proportionally less for what costs more.
    pub(super) fn idle_times(&self) -> BTreeMap<(String, bool), Duration> {
        let Some(catalog) = &self.catalog else { return BTreeMap::new() };
        let rates: Vec<((String, bool), f64, f64)> = catalog
            .machine_types
            .iter()
            .flat_map(|t| [(t, false, t.price), (t, true, t.spot_price)])
            .filter(|(t, _, price)| t.cpus > 0.0 && *price > 0.0)
            .map(|(t, spot, price)| ((t.name.clone(), spot), price / t.cpus, t.boot_s))
            .collect();
        let lowest = rates.iter().map(|(_, rate, _)| *rate).fold(f64::INFINITY, f64::min);
        rates
            .into_iter()
            .map(|(kind, rate, boot_s)| {
                let seconds = (boot_s * 2.0 * lowest / rate).clamp(1.0, 3600.0);
                (kind, Duration::from_secs_f64(seconds))
            })
            .collect()
    }

    /// Machines on which replicas of services are.
    pub(super) fn replica_machines(&self) -> BTreeSet<Arc<str>> {
        let jobs = self.open_jobs.iter().filter_map(|id| self.open_job(id)).filter(|j| j.is_service());
        jobs.flat_map(|j| j.placed.values().filter(|p| p.committed).map(|p| p.machine.clone())).collect()
    }

    /// How many ordinary machines are kept up for services: they must start
    /// within seconds, and no machine boots as quickly.
    pub(super) fn standby(&self) -> usize {
        let expected = self.settings.expects_services() && !self.uses_legacy_layout();
        if expected { self.options.standby_machines } else { 0 }
    }

    /// The machines that are kept for that: the same ones at every node.
    pub(super) fn standby_machines(&self) -> BTreeSet<Arc<str>> {
        let mut names: Vec<&Arc<str>> = self
            .machines
            .values()
            .filter(|m| !m.spot && m.group.is_some() && m.phase == MachinePhase::Active && !m.given_up)
            .map(|m| &m.id)
            .collect();
        names.sort_unstable();
        names.into_iter().take(self.standby()).cloned().collect()
    }

    /// The kind of machine to rent for services to come, and how many: the one
    /// that is up soonest and has an image soonest.
    pub(super) fn standby_rental(&self, offers: &[MachineOffer]) -> Option<ScaleOutRequest> {
        let ordinary = |r: &PendingCapacity| if r.spot { 0 } else { r.count };
        let there: i64 = self.pending_capacity().iter().map(ordinary).sum();
        let missing = (self.standby() as i64 - there).max(0) as u32;
        let catalog = self.catalog.as_ref()?;
        let fetch = |name: &str| {
            let machine_type = catalog.machine_types.iter().find(|h| h.name == name);
            1.0 / machine_type.map_or(0.0, |h| h.fetch_gb_per_s).max(0.001)
        };
        let ordinary = offers.iter().enumerate().filter(|(_, o)| !o.spot);
        let best = ordinary.min_by(|(_, a), (_, b)| {
            let soon = |o: &MachineOffer| o.boot_s + fetch(&o.machine_type);
            soon(a).total_cmp(&soon(b))
        });
        best.filter(|_| missing > 0).map(|(offer, _)| ScaleOutRequest { offer, count: missing })
    }
}

/// Splits machine types into records that each fit a value of `limit` bytes. A
/// type that fits none by itself is left out.
fn catalog_segments(machine_types: &[MachineType], limit: usize) -> Vec<CatalogPage> {
    let fits = |machine_types: &[MachineType]| {
        let segment = CatalogPage { total: MOST_CATALOG_SEGMENTS, machine_types: machine_types.to_vec() };
        stored_size(&to_value(&segment)) <= limit
    };
    let mut segments: Vec<Vec<MachineType>> = Vec::new();
    for machine_type in machine_types.iter().filter(|m| fits(std::slice::from_ref(m))) {
        match segments.last_mut() {
            Some(last) if fits(&[last.as_slice(), std::slice::from_ref(machine_type)].concat()) => {
                last.push(machine_type.clone());
            }
            _ => segments.push(vec![machine_type.clone()]),
        }
    }
    let total = segments.len() as u32;
    segments.into_iter().map(|machine_types| CatalogPage { total, machine_types }).collect()
}

#[cfg(test)]
mod tests;
