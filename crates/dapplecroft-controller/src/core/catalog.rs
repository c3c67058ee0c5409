//! The catalog of machine types: its records, the machines that can be rented, how long idle
//! machines are kept, and the machines that are held ready for services.

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

/// Number of catalog records that is assumed when their size is checked. Every record contains
/// the actual number, which is known only after the split and is expected to have no more
/// digits.
const ASSUMED_CATALOG_PAGES: u32 = 1000;

impl Core {
    /// Replaces the catalog. Returns whether its records are missing or outdated. A change of
    /// prices alone does not make them outdated, since prices change all the time.
    pub fn set_catalog(&mut self, catalog: Catalog) -> bool {
        let without_prices = |catalog: &Catalog| {
            let mut catalog = catalog.clone();
            for machine_type in &mut catalog.machine_types {
                (machine_type.price, machine_type.spot_price) = (0.0, 0.0);
            }
            catalog
        };
        let changed = self.catalog.as_ref().is_none_or(|old| without_prices(old) != without_prices(&catalog));
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

    /// Returns the updates of those catalog records that differ from the stored ones. In the
    /// legacy layout this is one record, which all versions of the program can read; otherwise
    /// the catalog is split so that each record fits into a value.
    pub fn catalog_updates(&self, catalog: &Catalog) -> Vec<AtomicUpdate> {
        let set = |key: String, value| {
            let conditions = vec![Condition { key: key.clone(), version: self.version(&key) }];
            AtomicUpdate { conditions, changes: vec![Change::Set { key, value, lease: None }] }
        };
        if self.uses_legacy_layout() {
            return vec![set(records::CATALOG_KEY.into(), to_value(catalog))];
        }
        let pages = catalog_pages(&catalog.machine_types, self.limits().value);
        let numbered = (0..).zip(pages);
        let changed = numbered.filter(|(number, page)| self.catalog_pages.get(number) != Some(page));
        changed.map(|(number, page)| set(records::catalog_key(number), to_value(&page))).collect()
    }

    /// Kinds of machine that can be rented now: every machine type in each of its zones, as
    /// on-demand and as spot machine, except kinds that the cloud has recently refused.
    pub(super) fn rental_offers(&self, now: Instant) -> Vec<MachineOffer> {
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

    /// Usual boot time of a machine type, limited to between one second and one hour; one
    /// minute if the type is unknown.
    pub(super) fn boot_time(&self, machine_type: &str) -> Duration {
        let machine_type =
            self.catalog.as_ref().and_then(|c| c.machine_types.iter().find(|t| t.name == machine_type));
        Duration::from_secs_f64(machine_type.map_or(60.0, |t| t.boot_s.clamp(1.0, 3600.0)))
    }

    /// How long idle machines are kept before they are released, by machine type and whether
    /// they are spot machines: two boot times for the kind with the lowest price per CPU, and
    /// proportionally less for more expensive kinds.
    pub(super) fn idle_retention_times(&self) -> BTreeMap<(String, bool), Duration> {
        let Some(catalog) = &self.catalog else { return BTreeMap::new() };
        let prices_per_cpu: Vec<((String, bool), f64, f64)> = catalog
            .machine_types
            .iter()
            .flat_map(|t| [(t, false, t.price), (t, true, t.spot_price)])
            .filter(|(t, _, price)| t.cpus > 0.0 && *price > 0.0)
            .map(|(t, spot, price)| ((t.name.clone(), spot), price / t.cpus, t.boot_s))
            .collect();
        let lowest_price = prices_per_cpu.iter().map(|(_, price, _)| *price).fold(f64::INFINITY, f64::min);
        prices_per_cpu
            .into_iter()
            .map(|(kind, price, boot_s)| {
                let seconds = (boot_s * 2.0 * lowest_price / price).clamp(1.0, 3600.0);
                (kind, Duration::from_secs_f64(seconds))
            })
            .collect()
    }

    /// Machines that run at least one service replica.
    pub(super) fn service_replica_machines(&self) -> BTreeSet<Arc<str>> {
        let services =
            self.open_jobs.iter().filter_map(|id| self.open_job(id)).filter(|job| job.is_service());
        services
            .flat_map(|job| job.placed.values().filter(|p| p.committed).map(|p| p.machine.clone()))
            .collect()
    }

    /// Number of on-demand (non-spot) machines to hold ready for services that may be submitted.
    /// Services must start within seconds, and no machine boots that quickly.
    pub(super) fn standby_target(&self) -> usize {
        let services_expected = self.settings.expects_services() && !self.uses_legacy_layout();
        if services_expected { self.options.standby_machines } else { 0 }
    }

    /// Machines that are held ready for services: the first active on-demand ones in the order
    /// of their ids, so that every controller selects the same machines.
    pub(super) fn standby_machine_ids(&self) -> BTreeSet<Arc<str>> {
        let mut ids: Vec<&Arc<str>> = self
            .machines
            .values()
            .filter(|m| !m.spot && m.group.is_some() && m.phase == MachinePhase::Active && !m.given_up)
            .map(|m| &m.id)
            .collect();
        ids.sort_unstable();
        ids.into_iter().take(self.standby_target()).cloned().collect()
    }

    /// Returns the kind and the number of machines to rent so that enough are held ready for
    /// services; `None` if enough exist or are on their way. It selects the on-demand kind with
    /// the shortest sum of the boot time and the time to fetch one gigabyte of an image.
    pub(super) fn standby_scale_out(&self, offers: &[MachineOffer]) -> Option<ScaleOutRequest> {
        let on_demand_count = |capacity: &PendingCapacity| if capacity.spot { 0 } else { capacity.count };
        let existing: i64 = self.pending_capacity().iter().map(on_demand_count).sum();
        let missing = (self.standby_target() as i64 - existing).max(0) as u32;
        let catalog = self.catalog.as_ref()?;
        let fetch_s_per_gb = |name: &str| {
            let machine_type = catalog.machine_types.iter().find(|t| t.name == name);
            1.0 / machine_type.map_or(0.0, |t| t.fetch_gb_per_s).max(0.001)
        };
        let on_demand = offers.iter().enumerate().filter(|(_, o)| !o.spot);
        let fastest = on_demand.min_by(|(_, a), (_, b)| {
            let ready_s = |o: &MachineOffer| o.boot_s + fetch_s_per_gb(&o.machine_type);
            ready_s(a).total_cmp(&ready_s(b))
        });
        fastest.filter(|_| missing > 0).map(|(offer, _)| ScaleOutRequest { offer, count: missing })
    }
}

/// Splits machine types into records that each fit into a value of `limit` bytes. A type that
/// is too large for a record of its own is left out.
fn catalog_pages(machine_types: &[MachineType], limit: usize) -> Vec<CatalogPage> {
    let fits = |machine_types: &[MachineType]| {
        let page = CatalogPage { total: ASSUMED_CATALOG_PAGES, machine_types: machine_types.to_vec() };
        stored_size(&to_value(&page)) <= limit
    };
    let mut pages: Vec<Vec<MachineType>> = Vec::new();
    for machine_type in machine_types.iter().filter(|m| fits(std::slice::from_ref(m))) {
        match pages.last_mut() {
            Some(last) if fits(&[last.as_slice(), std::slice::from_ref(machine_type)].concat()) => {
                last.push(machine_type.clone());
            }
            _ => pages.push(vec![machine_type.clone()]),
        }
    }
    let total = pages.len() as u32;
    pages.into_iter().map(|machine_types| CatalogPage { total, machine_types }).collect()
}

#[cfg(test)]
mod tests;
