//! The wanted fleet, and what is to be done about the difference.

use super::{Core, GroupUpdate};
use crate::machines::{Machine, MachinePhase};
use crate::records::{GroupRecord, MemberRecord};
use dapplecroft_cloud::MAX_RENT;
use dapplecroft_sched::{PendingCapacity, Resources, plan_scale_out};
use dapplecroft_wire::cloud::{ListedMachine, RentRequest};
use dapplecroft_wire::workers::Heartbeat;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// ScaleOutRequest requests that may be on their way at a time even if the cloud takes
/// fewer a second.
const MIN_RENTING: usize = 4;
/// Pause after the first refusal of a kind of machine, doubled by each further
/// one up to the longest.
const REFUSED_PAUSE: Duration = Duration::from_secs(5);
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// How long released machines are remembered, so that late messages and lists
/// don't bring them back; far longer than either can be late.
const REMEMBER_GONE: Duration = Duration::from_secs(3600);

/// Silent machines about which the others are asked at a time.
pub const MAX_CONSULTED: usize = 128;
/// A kind of machine that the cloud may have or not have at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct MachineKind {
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

/// A refusal of a kind of machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refusal {
    /// It is not asked for again before.
    pub until: Instant,
    /// How often in a row nothing at all was to be had.
    times: u32,
}

/// What the leader remembers of the cloud.
#[derive(Debug, Default)]
pub(super) struct FleetState {
    began: Option<Instant>,
    requests: u64,
    renting: BTreeMap<String, (RentRequest, u32)>,
    pub(super) refused: HashMap<MachineKind, Refusal>,
    /// Machines whose release was answered and that a record still names.
    released: BTreeSet<Arc<str>>,
    /// Machines that report and that no record names.
    found: BTreeMap<Arc<str>, Machine>,
    pub(super) addresses_at: Option<Instant>,
}

impl FleetState {
    /// Whether the leader has begun its work.
    pub(super) fn ready(&self) -> bool {
        self.began.is_some()
    }

    pub(super) fn begin(&mut self, now: Instant) {
        self.began = Some(now);
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.requests += 1;
        self.requests
    }
}

/// What the fleet needs done.
#[derive(Debug, Default)]
pub struct FleetActions {
    /// ScaleOutRequest requests to send.
    pub rent: Vec<RentRequest>,
    /// Machines to release.
    pub release: Vec<Arc<str>>,
    /// Workers to ask for their status: machine and address.
    pub probe: Vec<(Arc<str>, String)>,
    /// Silent machines: name and address. Others should be asked about them.
    pub silent: Vec<(Arc<str>, String)>,
    /// How many machines are silent, asked about or not.
    pub quiet: usize,
    /// Records to write.
    pub records: Vec<GroupUpdate>,
}

impl Core {
    /// Compares the wanted fleet with the known one.
    pub fn fleet_step(&mut self, now: Instant) -> FleetActions {
        let mut actions = FleetActions::default();
        if !self.loaded || !self.has_role() || !self.in_contact(now) {
            return actions;
        }
        self.move_replicas(now);
        self.released_machines.retain(|_, at| now.saturating_duration_since(*at) < REMEMBER_GONE);
        let due = self.judge_machines(&mut actions, now);
        self.prove_released(now);
        // The cloud checks no token: a leader that may have been replaced leaves
        // machines alone, well before it stops answering workers.
        let age = self.contact_age(now);
        let mut give_up = BTreeSet::new();
        if self.leads(now) && age.is_some_and(|a| a <= self.options.node_lease) {
            self.releases(due, &mut actions);
            self.take_in_found();
            self.rentals(&mut actions, now);
        } else if !self.leads(now) {
            give_up = due;
        }
        let machines = &self.machines;
        self.fleet.released.retain(|id| machines.get(id).is_some_and(|m| m.group.is_some()));
        let released = self.fleet.released.clone();
        actions.records = self.group_updates(&give_up, &released, now);
        actions
    }

    /// What is to be released: what is due in the leader's own shards, and what
    /// other holders have given up or the cloud says has stopped.
    fn releases(&mut self, due: BTreeSet<Arc<str>>, actions: &mut FleetActions) {
        let leased_shards = &self.role.leased_shards;
        for machine in self.machines.values_mut() {
            let wanted = due.contains(&machine.id)
                || machine.given_up
                || (machine.phase == MachinePhase::Lost && !leased_shards.contains_key(&machine.shard));
            let waits = machine.releasing || machine.group.is_none();
            if wanted && !waits && !self.fleet.released.contains(&machine.id) {
                machine.releasing = true;
                tracing::info!(machine = &*machine.id, fate = ?machine.phase, "releasing a machine");
                actions.release.push(machine.id.clone());
            }
        }
    }

    fn take_in_found(&mut self) {
        let found = std::mem::take(&mut self.fleet.found);
        let unknown: Vec<Machine> = found
            .into_values()
            .filter(|m| !self.is_grouped(&m.id) && !self.released_machines.contains_key(&m.id))
            .collect();
        if !unknown.is_empty() {
            tracing::info!(machines = unknown.len(), "machines that nobody expected are taken in");
            self.adopt_machines(unknown);
        }
    }

    /// A placement on a machine that no group has is proven over: machines are
    /// recorded before anything is placed on them, and leave their group only
    /// once their release was answered. It counts once the copy of the records
    /// has caught up with the placement.
    fn prove_released(&mut self, now: Instant) {
        let orphans: Vec<Arc<str>> = self
            .machines
            .values()
            .filter(|m| m.group.is_none() && self.role.leased_shards.contains_key(&m.shard))
            .filter(|m| self.segments_of(m.shard).all(|(_, l)| l.version <= self.applied_revision))
            .map(|m| m.id.clone())
            .collect();
        for id in orphans {
            self.machine_gone(&id, now);
            self.forget_machine(&id);
        }
    }

    /// Gives up on machines that nobody reaches: they are released, and what is
    /// on them runs elsewhere once that is answered.
    pub fn mark_lost(&mut self, ids: &[Arc<str>]) {
        for id in ids {
            // One that has answered meanwhile is spared.
            if let Some(machine) = self.machines.get_mut(id)
                && machine.missed_probes >= 1
            {
                machine.phase = MachinePhase::Lost;
            }
        }
        self.wakeups.fleet = true;
    }

    /// How many machines of own shards have come up.
    pub fn heard_machines(&self) -> usize {
        let own = self.machines.values().filter(|m| self.is_holder(m.shard));
        own.filter(|m| m.heard.is_some() || m.address.is_some()).count()
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

    /// All machines that take or will take work, and what is on its way, counted
    /// by kind and room. Those that are up count too: a machine that has just
    /// come up gets its tasks in the next round, and nothing must be rented for
    /// them meanwhile.
    pub(super) fn coming(&self) -> Vec<PendingCapacity> {
        let mut kinds: BTreeMap<(&str, &str, bool, i64, i64, i64), i64> = BTreeMap::new();
        for machine in self.machines.values() {
            let lost = machine.phase != MachinePhase::Active
                || machine.given_up
                || machine.group.is_none()
                || machine.taken_at.is_some()
                || machine.missed_probes > 0;
            if lost || machine.capacity.cpus == 0 {
                continue;
            }
            let room = machine.room();
            let key =
                (&*machine.machine_type, &*machine.zone, machine.spot, room.cpus, room.gpus, room.memory);
            *kinds.entry(key).or_default() += 1;
        }
        let mut rooms: Vec<PendingCapacity> = kinds
            .into_iter()
            .map(|((machine_type, zone, spot, cpus, gpus, memory), count)| PendingCapacity {
                machine_type: machine_type.to_string(),
                zone: zone.to_string(),
                spot,
                room: Resources { cpus, gpus, memory },
                count,
            })
            .collect();
        let asked = self
            .fleet
            .renting
            .values()
            .map(|(r, _)| (r.machine_type.clone(), r.zone.clone(), r.spot, i64::from(r.count)));
        let uncommitted = self.groups.values().filter(|g| g.version == 0).map(|g| {
            let r = &g.record;
            (r.machine_type.clone(), r.zone.clone(), r.spot, r.machines.len() as i64)
        });
        for (machine_type, zone, spot, count) in asked.chain(uncommitted) {
            let room = self.capacity(&machine_type).unwrap_or_default();
            rooms.push(PendingCapacity { machine_type, zone, spot, room, count });
        }
        rooms
    }

    fn rentals(&mut self, actions: &mut FleetActions, now: Instant) {
        let Some(leadership) = self.role.leadership else { return };
        let most = (self.settings.params.cloud.rps.ceil() as usize).max(MIN_RENTING);
        if (self.unplaced.is_empty() && self.standby_target() == 0) || self.fleet.renting.len() >= most {
            return;
        }
        let thrift = self.options.thrift;
        let offers = self.rental_offers(now);
        let machines = MAX_RENT * (most - self.fleet.renting.len()) as u32;
        let mut plan = plan_scale_out(&self.unplaced, self.coming(), &offers, thrift, machines);
        if !plan.iter().any(|r| !offers[r.offer].spot) {
            plan.extend(self.standby_scale_out(&offers));
        }
        let mut taken: BTreeMap<u32, usize> = BTreeMap::new();
        for (request, shard) in self.fleet.renting.values() {
            *taken.entry(*shard).or_default() += request.count as usize;
        }
        for rental in plan {
            let offer = &offers[rental.offer];
            let mut left = rental.count;
            while left > 0 && self.fleet.renting.len() < most {
                let (shard, space) = self.shard_with_room(&taken);
                let count = left.min(MAX_RENT).min(space.max(1) as u32);
                left -= count;
                *taken.entry(shard).or_default() += count as usize;
                // The name is unique without a write of its own: the version of
                // the leader's key, committed before, belongs to this
                // leadership alone.
                let request = RentRequest {
                    request: format!("dc-{leadership}-{}", self.fleet.next_number()),
                    machine_type: offer.machine_type.clone(),
                    zone: offer.zone.clone(),
                    spot: offer.spot,
                    count,
                };
                tracing::info!(
                    machine_type = request.machine_type,
                    spot = request.spot,
                    count,
                    block = shard,
                    "renting machines"
                );
                self.fleet.renting.insert(request.request.clone(), (request.clone(), shard));
                actions.rent.push(request);
            }
        }
    }

    /// Notes the machines that a request brought; none: there is no capacity.
    pub fn rented(&mut self, request: &RentRequest, machines: &[String], now: Instant) {
        let Some((_, shard)) = self.fleet.renting.remove(&request.request) else { return };
        let kind = MachineKind {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        };
        let pausing = self.fleet.refused.get(&kind).is_some_and(|refusal| refusal.until > now);
        if machines.len() < request.count as usize && pausing {
            // Asked before an earlier refusal was known, it says nothing new: the
            // pause must not double with each of several requests at a time.
            tracing::debug!(
                machine_type = kind.machine_type,
                spot = kind.spot,
                got = machines.len(),
                "refused as well"
            );
        } else if machines.len() < request.count as usize {
            let times = self.fleet.refused.get(&kind).map_or(0, |refusal| refusal.times);
            let pause = (REFUSED_PAUSE * 2u32.pow(times.min(4))).min(LONGEST_PAUSE);
            tracing::info!(
                machine_type = kind.machine_type,
                spot = kind.spot,
                got = machines.len(),
                ?pause,
                "no more capacity"
            );
            let times = if machines.is_empty() { times + 1 } else { 0 };
            self.fleet.refused.insert(kind, Refusal { until: now + pause, times });
        } else {
            self.fleet.refused.remove(&kind);
        }
        let machines: BTreeMap<String, MemberRecord> = machines
            .iter()
            .filter(|id| !self.released_machines.contains_key(id.as_str()) && !self.is_grouped(id))
            .map(|id| (id.clone(), MemberRecord::default()))
            .collect();
        if !machines.is_empty() {
            let (machine_type, zone) = (request.machine_type.clone(), request.zone.clone());
            let record = GroupRecord { shard, machine_type, zone, spot: request.spot, machines };
            self.new_group(&request.request, record);
        }
        self.wakeups.fleet = true;
    }

    /// Notes that a request will not be carried out by this process any more.
    pub fn rent_dropped(&mut self, request: &RentRequest) {
        self.fleet.renting.remove(&request.request);
    }

    /// Notes a machine that reports and that no record names.
    pub(super) fn found(&mut self, report: &Heartbeat, now: Instant) {
        let id: Arc<str> = report.machine.as_str().into();
        let mut machine = Machine::new(&id, 0, now);
        machine.machine_type.clone_from(&report.machine_type);
        machine.zone.clone_from(&report.zone);
        machine.spot = report.spot;
        machine.address = Some(report.address.clone());
        self.fleet.found.insert(id, machine);
        self.wakeups.fleet = true;
    }

    /// Takes over a list of machines; it lags, and may be older than the last.
    pub fn listed(&mut self, list: &[ListedMachine], now: Instant) {
        if !self.leads(now) {
            return;
        }
        let lag = Duration::from_secs_f64(self.settings.params.cloud.list_lag_s);
        // Before that, a list may still show what an earlier leader released.
        let settled = self.fleet.began.is_some_and(|at| now.saturating_duration_since(at) > lag * 2);
        for listed in list {
            if self.released_machines.contains_key(listed.id.as_str()) {
                continue;
            }
            match self.machines.get_mut(listed.id.as_str()).filter(|m| m.group.is_some()) {
                Some(machine) if listed.state == "failed" && machine.phase != MachinePhase::Lost => {
                    tracing::info!(machine = &*machine.id, "a machine stopped on its own");
                    machine.phase = MachinePhase::Lost;
                    self.wakeups.fleet = true;
                }
                Some(_) => {}
                None if settled => {
                    let id: Arc<str> = listed.id.as_str().into();
                    let mut machine = Machine::new(&id, 0, now);
                    machine.machine_type.clone_from(&listed.machine_type);
                    machine.zone.clone_from(&listed.zone);
                    machine.spot = listed.spot;
                    self.fleet.found.insert(id, machine);
                }
                None => {}
            }
        }
    }

    /// Notes machines whose release was answered: they are gone with all that
    /// was on them. Other holders learn it from the machines' records.
    pub fn released(&mut self, ids: &[Arc<str>], now: Instant) {
        for id in ids {
            self.fleet.released.insert(id.clone());
            self.machine_gone(id, now);
        }
        self.wakeups.fleet = true;
    }

    /// Notes that a release was not carried out; it is tried again.
    pub fn release_failed(&mut self, ids: &[Arc<str>]) {
        for id in ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.releasing = false;
            }
        }
    }
}
