//! Compares the fleet that the waiting tasks need with the machines that exist, and plans the
//! rentals, releases, probes and record updates that make up the difference.

use super::{Core, GroupUpdate};
use crate::machines::{Machine, MachinePhase};
use crate::records::{GroupRecord, MachineRecord};
use dapplecroft_cloud::MAX_MACHINES_PER_RENTAL;
use dapplecroft_sched::{PendingCapacity, Resources, plan_scale_out};
use dapplecroft_wire::cloud::{ListedMachine, RentRequest};
use dapplecroft_wire::workers::Heartbeat;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Rent requests that may always be in flight, even if the cloud accepts fewer per second.
const MIN_CONCURRENT_RENT_REQUESTS: usize = 4;
/// Backoff after the cloud first has no capacity for a kind of machine. It doubles with
/// each further refusal in a row that brought no machine, up to `CAPACITY_BACKOFF_MAX`.
const CAPACITY_BACKOFF_INITIAL: Duration = Duration::from_secs(5);
const CAPACITY_BACKOFF_MAX: Duration = Duration::from_secs(30);

/// How long released machines are remembered, so that late heartbeats and outdated machine
/// lists do not bring them back. Neither can be late by nearly as much.
const RELEASED_MACHINE_RETENTION: Duration = Duration::from_secs(3600);

/// Maximum number of silent machines about which the peers are asked in one request.
pub const MAX_CONSULTED_MACHINES: usize = 128;

/// A kind of machine for which the cloud has capacity or not, independently of other kinds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct MachineKind {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// The last refusal of a kind of machine for lack of capacity.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityRefusal {
    /// Time before which no machine of that kind is requested again.
    pub retry_at: Instant,
    /// Number of refusals in a row that brought no machine at all.
    consecutive_empty: u32,
}

/// The leader's in-memory state of the fleet and the cloud.
#[derive(Debug, Default)]
pub(super) struct FleetState {
    /// When this process, as leader, started to manage the fleet.
    started_at: Option<Instant>,
    /// Number of request names that have been given out.
    request_count: u64,
    /// Rent requests in flight by name, with the shard that gets their machines.
    pending_rentals: BTreeMap<String, (RentRequest, u32)>,
    pub(super) capacity_refusals: HashMap<MachineKind, CapacityRefusal>,
    /// Machines whose release the cloud has confirmed and that a group record still names.
    released_in_records: BTreeSet<Arc<str>>,
    /// Machines that send heartbeats or are on the cloud's list but that no record names.
    unrecorded_machines: BTreeMap<Arc<str>, Machine>,
    /// When an update of the workers' addresses in the group records was last prepared.
    pub(super) addresses_updated_at: Option<Instant>,
}

impl FleetState {
    /// Whether the leader has started to manage the fleet.
    pub(super) fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Marks the leader's management of the fleet as started.
    pub(super) fn start(&mut self, now: Instant) {
        self.started_at = Some(now);
    }

    /// Next number for the name of a request; unique within this process.
    pub(super) fn next_request_number(&mut self) -> u64 {
        self.request_count += 1;
        self.request_count
    }
}

/// The actions that one comparison of the fleet calls for.
#[derive(Debug, Default)]
pub struct FleetActions {
    /// Rent requests to send to the cloud.
    pub rent: Vec<RentRequest>,
    /// Machines to release.
    pub release: Vec<Arc<str>>,
    /// Workers to probe for their status: machine and address.
    pub probe: Vec<(Arc<str>, String)>,
    /// Silent machines about which peers should be asked: name and address.
    pub silent: Vec<(Arc<str>, String)>,
    /// Number of machines without a recent heartbeat, whether peers are asked about
    /// them or not.
    pub silent_count: usize,
    /// Updates of group records to commit.
    pub group_updates: Vec<GroupUpdate>,
}

impl Core {
    /// Updates the phases of the machines in the leased shards and returns the actions to
    /// take. Only the leader rents and releases machines.
    pub fn fleet_step(&mut self, now: Instant) -> FleetActions {
        let mut actions = FleetActions::default();
        if !self.loaded || !self.has_role() || !self.in_contact(now) {
            return actions;
        }
        self.stop_replicas_before_reclaim(now);
        self.released_machines
            .retain(|_, at| now.saturating_duration_since(*at) < RELEASED_MACHINE_RETENTION);
        let due = self.update_machine_phases(&mut actions, now);
        self.clear_orphaned_machines(now);
        // The cloud checks no fencing token, so a leader that may have been replaced must
        // not rent or release. It stops well before it stops answering workers.
        let age = self.contact_age(now);
        let mut give_up = BTreeSet::new();
        if self.leads(now) && age.is_some_and(|a| a <= self.options.node_lease) {
            self.plan_releases(due, &mut actions);
            self.adopt_unrecorded_machines();
            self.plan_rentals(&mut actions, now);
        } else if !self.leads(now) {
            give_up = due;
        }
        let machines = &self.machines;
        self.fleet.released_in_records.retain(|id| machines.get(id).is_some_and(|m| m.group.is_some()));
        let released = self.fleet.released_in_records.clone();
        actions.group_updates = self.group_updates(&give_up, &released, now);
        actions
    }

    /// Plans the release of the machines that are due in the leader's own shards, that
    /// other shard holders have given up, or that the cloud reports as failed.
    fn plan_releases(&mut self, due: BTreeSet<Arc<str>>, actions: &mut FleetActions) {
        let leased_shards = &self.role.leased_shards;
        for machine in self.machines.values_mut() {
            let wanted = due.contains(&machine.id)
                || machine.given_up
                || (machine.phase == MachinePhase::Lost && !leased_shards.contains_key(&machine.shard));
            let not_now = machine.release_in_flight || machine.group.is_none();
            if wanted && !not_now && !self.fleet.released_in_records.contains(&machine.id) {
                machine.release_in_flight = true;
                tracing::info!(machine = &*machine.id, fate = ?machine.phase, "releasing a machine");
                actions.release.push(machine.id.clone());
            }
        }
    }

    /// Adds the machines that no record names to the leader's groups.
    fn adopt_unrecorded_machines(&mut self) {
        let found = std::mem::take(&mut self.fleet.unrecorded_machines);
        let unknown: Vec<Machine> = found
            .into_values()
            .filter(|m| !self.is_grouped(&m.id) && !self.released_machines.contains_key(&m.id))
            .collect();
        if !unknown.is_empty() {
            tracing::info!(machines = unknown.len(), "adopting machines that no group record names");
            self.adopt_machines(unknown);
        }
    }

    /// Ends the placements on machines that no group record names, and forgets those
    /// machines. Such a machine is certainly gone: machines are recorded before a task is
    /// placed on them, and leave their group only once the cloud has confirmed their
    /// release. This holds once the record replica has caught up with the placements.
    fn clear_orphaned_machines(&mut self, now: Instant) {
        let orphans: Vec<Arc<str>> = self
            .machines
            .values()
            .filter(|m| m.group.is_none() && self.role.leased_shards.contains_key(&m.shard))
            .filter(|m| {
                self.segments_of(m.shard).all(|(_, segment)| segment.version <= self.applied_revision)
            })
            .map(|m| m.id.clone())
            .collect();
        for id in orphans {
            self.machine_released(&id, now);
            self.forget_machine(&id);
        }
    }

    /// Gives up machines that no controller reaches. They are released, and their tasks
    /// run elsewhere once the cloud has confirmed the release.
    pub fn mark_lost(&mut self, ids: &[Arc<str>]) {
        for id in ids {
            // A machine that has answered a probe meanwhile is kept.
            if let Some(machine) = self.machines.get_mut(id)
                && machine.missed_probes >= 1
            {
                machine.phase = MachinePhase::Lost;
            }
        }
        self.wakeups.fleet = true;
    }

    /// Number of machines in the leased shards that have come up.
    pub fn booted_machine_count(&self) -> usize {
        let own = self.machines.values().filter(|m| self.is_holder(m.shard));
        own.filter(|m| m.last_heartbeat.is_some() || m.address.is_some()).count()
    }

    /// Called when a probe got no answer.
    pub fn probe_missed(&mut self, id: &str) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.probe_in_flight = false;
            machine.missed_probes += 1;
        }
    }

    /// Called when a probe was answered.
    pub fn probe_answered(&mut self, id: &str) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.probe_in_flight = false;
            machine.missed_probes = 0;
        }
    }

    /// Free room on all machines that take or will take tasks and on those being rented,
    /// counted by kind and room. Running machines count too: a machine that has just come
    /// up gets its tasks in the next placement round, and no other machine must be
    /// rented for those tasks meanwhile.
    pub(super) fn pending_capacity(&self) -> Vec<PendingCapacity> {
        let mut kinds: BTreeMap<(&str, &str, bool, i64, i64, i64), i64> = BTreeMap::new();
        for machine in self.machines.values() {
            let unavailable = machine.phase != MachinePhase::Active
                || machine.given_up
                || machine.group.is_none()
                || machine.reclaim_at.is_some()
                || machine.missed_probes > 0;
            if unavailable || machine.capacity.cpus == 0 {
                continue;
            }
            let room = machine.free_resources();
            let key =
                (&*machine.machine_type, &*machine.zone, machine.spot, room.cpus, room.gpus, room.memory);
            *kinds.entry(key).or_default() += 1;
        }
        let mut pending: Vec<PendingCapacity> = kinds
            .into_iter()
            .map(|((machine_type, zone, spot, cpus, gpus, memory), count)| PendingCapacity {
                machine_type: machine_type.to_string(),
                zone: zone.to_string(),
                spot,
                room: Resources { cpus, gpus, memory },
                count,
            })
            .collect();
        let requested = self
            .fleet
            .pending_rentals
            .values()
            .map(|(r, _)| (r.machine_type.clone(), r.zone.clone(), r.spot, i64::from(r.count)));
        let uncommitted = self.groups.values().filter(|g| g.version == 0).map(|g| {
            let record = &g.record;
            (record.machine_type.clone(), record.zone.clone(), record.spot, record.machines.len() as i64)
        });
        for (machine_type, zone, spot, count) in requested.chain(uncommitted) {
            let room = self.machine_type_capacity(&machine_type).unwrap_or_default();
            pending.push(PendingCapacity { machine_type, zone, spot, room, count });
        }
        pending
    }

    /// Plans rent requests for the tasks that fit on no machine, and for standby machines. Each
    /// request is for one shard with space for its machines.
    fn plan_rentals(&mut self, actions: &mut FleetActions, now: Instant) {
        let Some(leader_term) = self.role.leader_key_version else { return };
        let max_requests = (self.settings.params.cloud.rps.ceil() as usize).max(MIN_CONCURRENT_RENT_REQUESTS);
        if (self.unplaced_demand.is_empty() && self.standby_target() == 0)
            || self.fleet.pending_rentals.len() >= max_requests
        {
            return;
        }
        let prefer_cheapest = self.options.prefer_cheapest_machines;
        let offers = self.rental_offers(now);
        let machines = MAX_MACHINES_PER_RENTAL * (max_requests - self.fleet.pending_rentals.len()) as u32;
        let mut plan = plan_scale_out(
            &self.unplaced_demand,
            self.pending_capacity(),
            &offers,
            prefer_cheapest,
            machines,
        );
        if !plan.iter().any(|r| !offers[r.offer].spot) {
            plan.extend(self.standby_scale_out(&offers));
        }
        let mut taken: BTreeMap<u32, usize> = BTreeMap::new();
        for (request, shard) in self.fleet.pending_rentals.values() {
            *taken.entry(*shard).or_default() += request.count as usize;
        }
        for rental in plan {
            let offer = &offers[rental.offer];
            let mut left = rental.count;
            while left > 0 && self.fleet.pending_rentals.len() < max_requests {
                let (shard, space) = self.shard_with_room(&taken);
                let count = left.min(MAX_MACHINES_PER_RENTAL).min(space.max(1) as u32);
                left -= count;
                *taken.entry(shard).or_default() += count as usize;
                // The name is unique without a write to the state service: the version
                // of the leader's key was committed before and belongs to this
                // leadership term alone.
                let request = RentRequest {
                    request: format!("dc-{leader_term}-{}", self.fleet.next_request_number()),
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
                self.fleet.pending_rentals.insert(request.request.clone(), (request.clone(), shard));
                actions.rent.push(request);
            }
        }
    }

    /// Called when the cloud has answered a rent request. Fewer machines than requested,
    /// or none, mean that the cloud has no more capacity of that kind.
    pub fn rent_completed(&mut self, request: &RentRequest, machines: &[String], now: Instant) {
        let Some((_, shard)) = self.fleet.pending_rentals.remove(&request.request) else { return };
        let kind = MachineKind {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        };
        let already_backing_off =
            self.fleet.capacity_refusals.get(&kind).is_some_and(|refusal| refusal.retry_at > now);
        if machines.len() < request.count as usize && already_backing_off {
            // The request was sent before an earlier refusal was known, so this refusal
            // says nothing new. The backoff must not double with each of several
            // requests sent at the same time.
            tracing::debug!(
                machine_type = kind.machine_type,
                spot = kind.spot,
                got = machines.len(),
                "cloud has no more capacity; backing off already"
            );
        } else if machines.len() < request.count as usize {
            let consecutive_empty =
                self.fleet.capacity_refusals.get(&kind).map_or(0, |refusal| refusal.consecutive_empty);
            let pause =
                (CAPACITY_BACKOFF_INITIAL * 2u32.pow(consecutive_empty.min(4))).min(CAPACITY_BACKOFF_MAX);
            tracing::info!(
                machine_type = kind.machine_type,
                spot = kind.spot,
                got = machines.len(),
                ?pause,
                "cloud has no more capacity; backing off"
            );
            let consecutive_empty = if machines.is_empty() { consecutive_empty + 1 } else { 0 };
            self.fleet
                .capacity_refusals
                .insert(kind, CapacityRefusal { retry_at: now + pause, consecutive_empty });
        } else {
            self.fleet.capacity_refusals.remove(&kind);
        }
        let machines: BTreeMap<String, MachineRecord> = machines
            .iter()
            .filter(|id| !self.released_machines.contains_key(id.as_str()) && !self.is_grouped(id))
            .map(|id| (id.clone(), MachineRecord::default()))
            .collect();
        if !machines.is_empty() {
            let (machine_type, zone) = (request.machine_type.clone(), request.zone.clone());
            let record = GroupRecord { shard, machine_type, zone, spot: request.spot, machines };
            self.new_group(&request.request, record);
        }
        self.wakeups.fleet = true;
    }

    /// Called when this process stops repeating a rent request because it no longer leads.
    pub fn rent_abandoned(&mut self, request: &RentRequest) {
        self.fleet.pending_rentals.remove(&request.request);
    }

    /// Remembers a machine that sends heartbeats and that no record names.
    pub(super) fn handle_unrecorded_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let id: Arc<str> = heartbeat.machine.as_str().into();
        let mut machine = Machine::new(&id, 0, now);
        machine.machine_type.clone_from(&heartbeat.machine_type);
        machine.zone.clone_from(&heartbeat.zone);
        machine.spot = heartbeat.spot;
        machine.address = Some(heartbeat.address.clone());
        self.fleet.unrecorded_machines.insert(id, machine);
        self.wakeups.fleet = true;
    }

    /// Applies the cloud's list of machines. The list lags behind the cloud's actual state,
    /// and may be older than the previous one.
    pub fn apply_machine_list(&mut self, list: &[ListedMachine], now: Instant) {
        if !self.leads(now) {
            return;
        }
        let lag = Duration::from_secs_f64(self.settings.params.cloud.list_lag_s);
        // During the first two list lags of its term, the leader may still see machines in the list
        // that an earlier leader released.
        let settled = self.fleet.started_at.is_some_and(|at| now.saturating_duration_since(at) > lag * 2);
        for listed in list {
            if self.released_machines.contains_key(listed.id.as_str()) {
                continue;
            }
            match self.machines.get_mut(listed.id.as_str()).filter(|m| m.group.is_some()) {
                Some(machine) if listed.state == "failed" && machine.phase != MachinePhase::Lost => {
                    tracing::info!(machine = &*machine.id, "cloud reports a machine as failed");
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
                    self.fleet.unrecorded_machines.insert(id, machine);
                }
                None => {}
            }
        }
    }

    /// Called when the cloud has confirmed the release of machines: they are gone, and
    /// their tasks with them. Other shard holders learn this from the group records.
    pub fn release_completed(&mut self, ids: &[Arc<str>], now: Instant) {
        for id in ids {
            self.fleet.released_in_records.insert(id.clone());
            self.machine_released(id, now);
        }
        self.wakeups.fleet = true;
    }

    /// Called when a release was not confirmed; a later step requests it again.
    pub fn release_failed(&mut self, ids: &[Arc<str>]) {
        for id in ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.release_in_flight = false;
            }
        }
    }
}
