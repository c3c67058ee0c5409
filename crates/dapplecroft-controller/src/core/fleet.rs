//! The wanted fleet, and what is to be done about the difference.

use super::Core;
use crate::machines::{Fate, Machine};
use crate::records::{self, MachineRecord};
use dapplecroft_cloud::MAX_RENT;
use dapplecroft_sched::{Amounts, Offer, Slot, plan_rentals};
use dapplecroft_state::Unit;
use dapplecroft_wire::cloud::{Catalog, ListedMachine, RentRequest};
use dapplecroft_wire::state::{Change, Condition};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Rental requests on their way at a time.
const MAX_RENTING: usize = 4;
/// Pause after the first refusal of a kind of machine, doubled by each further
/// one up to the longest.
const REFUSED_PAUSE: Duration = Duration::from_secs(5);
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// How long released machines are remembered, so that late messages and lists
/// don't bring them back; far longer than either can be late.
const REMEMBER_GONE: Duration = Duration::from_secs(3600);

/// What is paid for a machine at least.
const MIN_PAID: Duration = Duration::from_secs(60);

type Kind = (String, String, bool);

/// What the leader remembers of the cloud.
#[derive(Debug, Default)]
pub(super) struct FleetState {
    pub(super) began: Option<Instant>,
    requests: u64,
    renting: BTreeMap<String, RentRequest>,
    refused: HashMap<Kind, (Instant, u32)>,
}

/// What the fleet needs done.
#[derive(Debug, Default)]
pub struct FleetActions {
    /// Rental requests to send.
    pub rent: Vec<RentRequest>,
    /// Machines to release.
    pub release: Vec<String>,
    /// Workers to ask for their status: machine and address.
    pub probe: Vec<(String, String)>,
    /// Silent machines: name and address. Others should be asked about them.
    pub silent: Vec<(String, String)>,
    /// Records to write.
    pub records: Vec<(String, Unit)>,
}

impl Core {
    /// Takes over the machine types; returns whether the record of them is
    /// behind. Prices move all the time and are not recorded for that alone.
    pub fn take_catalog(&mut self, catalog: Catalog) -> bool {
        let plain = |c: &Catalog| {
            let mut c = c.clone();
            for hull in &mut c.hulls {
                (hull.price, hull.spot_price) = (0.0, 0.0);
            }
            c
        };
        let changed = self.catalog.as_ref().is_none_or(|old| plain(old) != plain(&catalog));
        let unrecorded = self.version(records::CATALOG) == 0;
        self.catalog = Some(catalog);
        self.wakes.place = true;
        changed || unrecorded
    }

    fn offers(&self, now: Instant) -> Vec<Offer> {
        let Some(catalog) = &self.catalog else { return Vec::new() };
        let mut offers = Vec::new();
        for hull in &catalog.hulls {
            for zone in &hull.zones {
                for spot in [false, true] {
                    let kind = (hull.name.clone(), zone.clone(), spot);
                    if self.fleet.refused.get(&kind).is_some_and(|(until, _)| *until > now) {
                        continue;
                    }
                    offers.push(Offer {
                        machine_type: hull.name.clone(),
                        zone: zone.clone(),
                        spot,
                        capacity: Amounts::new(hull.cpus, hull.gpus, hull.memory_gb),
                        price: if spot { hull.spot_price } else { hull.price },
                        boot_s: hull.boot_s,
                    });
                }
            }
        }
        offers
    }

    fn boot_time(&self, machine_type: &str) -> Duration {
        let hull = self.catalog.as_ref().and_then(|c| c.hulls.iter().find(|h| h.name == machine_type));
        Duration::from_secs_f64(hull.map_or(60.0, |h| h.boot_s.clamp(1.0, 3600.0)))
    }

    /// How long idle machines are kept by type and kind: two boot times for what
    /// is cheapest per CPU, and proportionally less for what costs more.
    fn idle_times(&self) -> BTreeMap<(String, bool), Duration> {
        let Some(catalog) = &self.catalog else { return BTreeMap::new() };
        let rates: Vec<((String, bool), f64, f64)> = catalog
            .hulls
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

    /// Compares the wanted fleet with the known one.
    pub fn fleet_step(&mut self, now: Instant) -> FleetActions {
        let mut actions = FleetActions::default();
        // The cloud checks no token: a leader that may have been replaced leaves
        // machines alone, well before it stops answering workers.
        let age = self.role.contact.map(|at| now.saturating_duration_since(at));
        if self.holding(now).is_none() || age.is_none_or(|a| a > self.options.node_lease) {
            return actions;
        }
        self.gone.retain(|_, at| now.saturating_duration_since(*at) < REMEMBER_GONE);
        self.judge_machines(&mut actions, now);
        self.rentals(&mut actions, now);
        actions.records = self.machine_records();
        actions
    }

    /// Decides each machine's fate, and which are to be probed or released.
    fn judge_machines(&mut self, actions: &mut FleetActions, now: Instant) {
        let report = self.settings.report_every();
        let boots: BTreeMap<String, Duration> = self
            .machines
            .values()
            .map(|m| (m.machine_type.clone(), self.boot_time(&m.machine_type)))
            .collect();
        let idle = self.idle_times();
        for machine in self.machines.values_mut() {
            if machine.tasks.is_empty() && machine.idle_since.is_none() {
                machine.idle_since = Some(now);
            }
            let age = now.saturating_duration_since(machine.since);
            let silence = machine.heard.map_or(age, |at| now.saturating_duration_since(at));
            if machine.heard.is_none() && machine.address.is_none() {
                let boot = boots.get(&machine.machine_type).copied().unwrap_or(report);
                if machine.fate == Fate::Keep && age > boot * 3 + Duration::from_secs(10) {
                    tracing::info!(machine = machine.id, ?age, "a machine did not come up");
                    machine.fate = Fate::Lost;
                }
            } else {
                let eager = machine.heard.is_none() && machine.missed_probes == 0;
                let ask = eager || silence > report.mul_f64(1.4);
                if let Some(address) = &machine.address
                    && ask
                    && !machine.probing
                    && !machine.releasing
                {
                    machine.probing = true;
                    actions.probe.push((machine.id.clone(), address.clone()));
                }
                if silence > report.mul_f64(1.9) && machine.missed_probes >= 1 && machine.fate != Fate::Lost {
                    let address = machine.address.clone().unwrap_or_default();
                    actions.silent.push((machine.id.clone(), address));
                }
            }
            if machine.fate == Fate::Keep {
                // Renting it again would cost its boot time, so it is kept a
                // while, the dearer the shorter; and a machine is paid for a
                // minute in any case.
                let kind = (machine.machine_type.clone(), machine.spot);
                let usual = idle.get(&kind).copied().unwrap_or(report);
                let keep = self.options.idle_return.unwrap_or(usual).max(MIN_PAID.saturating_sub(age));
                let unused = machine.idle_since.is_some_and(|at| now.saturating_duration_since(at) > keep);
                if machine.failed_jobs.len() >= 2 {
                    tracing::info!(machine = machine.id, "tasks of several jobs failed: quarantined");
                    machine.fate = Fate::Returning;
                } else if unused && machine.heard.is_some() && machine.taken_at.is_none() {
                    machine.fate = Fate::Returning;
                }
            }
            let empty = machine.tasks.is_empty();
            let due = machine.fate == Fate::Lost || (machine.fate == Fate::Returning && empty);
            if due && !machine.releasing {
                machine.releasing = true;
                tracing::info!(machine = machine.id, fate = ?machine.fate, "releasing a machine");
                actions.release.push(machine.id.clone());
            }
        }
    }

    /// Gives up on machines that nobody reaches: they are released, and what is
    /// on them runs elsewhere once that is answered.
    pub fn condemn(&mut self, ids: &[String]) {
        for id in ids {
            // One that has answered meanwhile is spared.
            if let Some(machine) = self.machines.get_mut(id)
                && machine.missed_probes >= 1
            {
                machine.fate = Fate::Lost;
            }
        }
        self.wakes.fleet = true;
    }

    /// How many machines were ever heard by this holder.
    pub fn heard_machines(&self) -> usize {
        self.machines.values().filter(|m| m.heard.is_some() || m.address.is_some()).count()
    }

    /// Notes the end of a probe without an answer.
    pub fn probe_missed(&mut self, id: &str) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.probing = false;
            machine.missed_probes += 1;
        }
    }

    /// Notes the end of a probe with an answer.
    pub fn probe_answered(&mut self, id: &str) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.probing = false;
            machine.missed_probes = 0;
        }
    }

    /// All machines that take or will take work, and what is on its way. Those
    /// that are up count too: a machine that has just come up gets its tasks in
    /// the next round, and nothing must be rented for them meanwhile.
    fn coming(&self) -> Vec<Slot> {
        let mut slots: Vec<Slot> = self
            .machines
            .values()
            .filter(|m| m.fate == Fate::Keep && m.taken_at.is_none() && m.missed_probes == 0)
            .filter_map(|m| self.slot(m, true))
            .collect();
        for request in self.fleet.renting.values() {
            for _ in 0..request.count {
                slots.push(Slot {
                    machine: String::new(),
                    machine_type: request.machine_type.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                    capacity: self.capacity(&request.machine_type).unwrap_or_default(),
                    booked: Amounts::default(),
                    images: BTreeMap::new(),
                    open: true,
                    doubtful: false,
                });
            }
        }
        slots
    }

    fn rentals(&mut self, actions: &mut FleetActions, now: Instant) {
        let Some(leadership) = self.role.leadership else { return };
        if self.unplaced.is_empty() || self.fleet.renting.len() >= MAX_RENTING {
            return;
        }
        let thrift = self.options.thrift;
        let offers = self.offers(now);
        let plan = plan_rentals(&self.unplaced, self.coming(), &offers, thrift, MAX_RENT);
        for rental in plan.into_iter().take(MAX_RENTING - self.fleet.renting.len()) {
            let offer = &offers[rental.offer];
            self.fleet.requests += 1;
            // The name is unique without a write of its own: the version of the
            // leader's key, committed before, belongs to this leadership alone.
            let request = RentRequest {
                request: format!("dc-{leadership}-{}", self.fleet.requests),
                machine_type: offer.machine_type.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                count: rental.count.min(MAX_RENT),
            };
            tracing::info!(
                machine_type = request.machine_type,
                spot = request.spot,
                count = request.count,
                "renting machines"
            );
            self.fleet.renting.insert(request.request.clone(), request.clone());
            actions.rent.push(request);
        }
    }

    /// Notes the machines that a request brought; none: there is no capacity.
    pub fn rented(&mut self, request: &RentRequest, machines: &[String], now: Instant) {
        self.fleet.renting.remove(&request.request);
        let kind = (request.machine_type.clone(), request.zone.clone(), request.spot);
        if machines.len() < request.count as usize {
            let (_, times) = self.fleet.refused.get(&kind).copied().unwrap_or((now, 0));
            let pause = (REFUSED_PAUSE * 2u32.pow(times.min(4))).min(LONGEST_PAUSE);
            tracing::info!(
                machine_type = kind.0,
                spot = kind.2,
                got = machines.len(),
                ?pause,
                "no more capacity"
            );
            let times = if machines.is_empty() { times + 1 } else { 0 };
            self.fleet.refused.insert(kind, (now + pause, times));
        } else {
            self.fleet.refused.remove(&kind);
        }
        if self.role.holding.is_none() {
            return;
        }
        for id in machines.iter().filter(|id| !self.gone.contains_key(*id)) {
            self.machines
                .entry(id.clone())
                .or_insert_with(|| Machine::new(id, &request.machine_type, &request.zone, request.spot, now));
        }
        self.wakes.fleet = true;
    }

    /// Notes that a request will not be carried out by this process any more.
    pub fn rent_dropped(&mut self, request: &RentRequest) {
        self.fleet.renting.remove(&request.request);
    }

    /// Takes over a list of machines; it lags, and may be older than the last.
    pub fn listed(&mut self, list: &[ListedMachine], now: Instant) {
        if self.role.holding.is_none() {
            return;
        }
        let lag = Duration::from_secs_f64(self.settings.params.cloud.list_lag_s);
        // Before that, a list may still show what an earlier leader released.
        let settled = self.fleet.began.is_some_and(|at| now.saturating_duration_since(at) > lag * 2);
        for listed in list {
            if self.gone.contains_key(&listed.id) {
                continue;
            }
            match self.machines.get_mut(&listed.id) {
                Some(machine) => {
                    if machine.machine_type.is_empty() {
                        machine.machine_type.clone_from(&listed.machine_type);
                        machine.zone.clone_from(&listed.zone);
                        machine.spot = listed.spot;
                    }
                    if listed.state == "failed" && machine.fate != Fate::Lost {
                        tracing::info!(machine = machine.id, "a machine stopped on its own");
                        machine.fate = Fate::Lost;
                        self.wakes.fleet = true;
                    }
                }
                None if settled => {
                    tracing::info!(machine = listed.id, "a listed machine that nobody expected is taken in");
                    let machine =
                        Machine::new(&listed.id, &listed.machine_type, &listed.zone, listed.spot, now);
                    self.machines.insert(listed.id.clone(), machine);
                }
                None => {}
            }
        }
    }

    /// Notes machines whose release was answered: they are gone with all that
    /// was on them.
    pub fn released(&mut self, ids: &[String], now: Instant) {
        for id in ids {
            self.machine_gone(id, now);
        }
    }

    /// Notes that a release was not carried out; it is tried again.
    pub fn release_failed(&mut self, ids: &[String]) {
        for id in ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.releasing = false;
            }
        }
    }

    /// Records of machines that are behind.
    fn machine_records(&mut self) -> Vec<(String, Unit)> {
        let Some(conditions) = self.role_conditions() else { return Vec::new() };
        let mut units = Vec::new();
        let mut forgotten = Vec::new();
        for machine in self.machines.values_mut().filter(|m| !m.recording) {
            let key = records::machine_key(&machine.id);
            let gone = self.gone.contains_key(&machine.id);
            if gone && !machine.tasks.is_empty() {
                // The record outlives the placements on the machine.
                continue;
            }
            let change = if gone && machine.recorded.is_some() {
                Change::Drop { key }
            } else if gone {
                forgotten.push(machine.id.clone());
                continue;
            } else {
                let known = machine.recorded.is_some_and(|(_, address)| address || machine.address.is_none());
                if known || machine.machine_type.is_empty() {
                    continue;
                }
                let record = MachineRecord {
                    machine_type: machine.machine_type.clone(),
                    zone: machine.zone.clone(),
                    spot: machine.spot,
                    address: machine.address.clone(),
                };
                let Ok(value) = serde_json::to_value(&record) else { continue };
                Change::Set { key, value, lease: None }
            };
            machine.recording = true;
            let conditions: Vec<Condition> = conditions.clone();
            units.push((machine.id.clone(), Unit { conditions, changes: vec![change] }));
        }
        for id in forgotten {
            self.machines.remove(&id);
        }
        units
    }

    /// Notes the end of writing a machine's record.
    pub fn recorded(&mut self, id: &str) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.recording = false;
        }
    }
}
