//! The wanted fleet, and what is to be done about the difference.

use super::{Core, GroupUnit};
use crate::machines::{Fate, Machine};
use crate::records::{GroupRecord, MemberRecord};
use dapplecroft_cloud::MAX_RENT;
use dapplecroft_sched::{Amounts, Need, Rooms, plan_rentals};
use dapplecroft_wire::cloud::{ListedMachine, RentRequest};
use dapplecroft_wire::workers::Report;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Rental requests that may be on their way at a time even if the cloud takes
/// fewer a second.
const MIN_RENTING: usize = 4;
/// Pause after the first refusal of a kind of machine, doubled by each further
/// one up to the longest.
const REFUSED_PAUSE: Duration = Duration::from_secs(5);
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// How long released machines are remembered, so that late messages and lists
/// don't bring them back; far longer than either can be late.
const REMEMBER_GONE: Duration = Duration::from_secs(3600);

/// What is paid for a machine at least.
const MIN_PAID: Duration = Duration::from_secs(60);

/// Probes on their way at a time: a holder that takes up hundreds of machines
/// must not ask all at once.
const MAX_PROBES: usize = 32;
/// The same for machines that have fallen silent: most will not answer, and what
/// ran on them waits for that.
const MAX_SILENT_PROBES: usize = 128;
/// Silent machines about which the others are asked at a time.
pub const MAX_CONSULTED: usize = 128;
/// Most workers of a block that is taken up come by themselves so soon; the
/// others are asked then.
const TAKE_UP: Duration = Duration::from_millis(1500);

type Kind = (String, String, bool);

/// What the leader remembers of the cloud.
#[derive(Debug, Default)]
pub(super) struct FleetState {
    began: Option<Instant>,
    requests: u64,
    renting: BTreeMap<String, (RentRequest, u32)>,
    pub(super) refused: HashMap<Kind, (Instant, u32)>,
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
    /// Rental requests to send.
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
    pub records: Vec<GroupUnit>,
}

impl Core {
    /// Compares the wanted fleet with the known one.
    pub fn fleet_step(&mut self, now: Instant) -> FleetActions {
        let mut actions = FleetActions::default();
        if !self.loaded || !self.has_role() || !self.in_contact(now) {
            return actions;
        }
        self.move_replicas(now);
        self.gone.retain(|_, at| now.saturating_duration_since(*at) < REMEMBER_GONE);
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
        actions.records = self.group_units(&give_up, &released, now);
        actions
    }

    /// What is to be released: what is due in the leader's own blocks, and what
    /// other holders have given up or the cloud says has stopped.
    fn releases(&mut self, due: BTreeSet<Arc<str>>, actions: &mut FleetActions) {
        let holdings = &self.role.holdings;
        for machine in self.machines.values_mut() {
            let wanted = due.contains(&machine.id)
                || machine.given_up
                || (machine.fate == Fate::Lost && !holdings.contains_key(&machine.block));
            let waits = machine.releasing || machine.group.is_none();
            if wanted && !waits && !self.fleet.released.contains(&machine.id) {
                machine.releasing = true;
                tracing::info!(machine = &*machine.id, fate = ?machine.fate, "releasing a machine");
                actions.release.push(machine.id.clone());
            }
        }
    }

    fn take_in_found(&mut self) {
        let found = std::mem::take(&mut self.fleet.found);
        let unknown: Vec<Machine> = found
            .into_values()
            .filter(|m| !self.is_grouped(&m.id) && !self.gone.contains_key(&m.id))
            .collect();
        if !unknown.is_empty() {
            tracing::info!(machines = unknown.len(), "machines that nobody expected are taken in");
            self.adopt(unknown);
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
            .filter(|m| m.group.is_none() && self.role.holdings.contains_key(&m.block))
            .filter(|m| self.loads_of(m.block).all(|(_, l)| l.version <= self.followed))
            .map(|m| m.id.clone())
            .collect();
        for id in orphans {
            self.machine_gone(&id, now);
            self.forget_machine(&id);
        }
    }

    /// What work waits that may start as far as its team's limit goes, and how
    /// much: as many idle machines as it needs are not returned, however long
    /// they have been idle.
    fn wanted_needs(&self) -> Vec<(Arc<Need>, i64)> {
        let mut needs: Vec<(Arc<Need>, i64)> = Vec::new();
        for job in self.waiting.iter().filter_map(|id| self.open_job(id)) {
            let headroom = self.teams.get(&job.spec.team).map_or(0, |b| b.headroom(&job.need.amounts));
            let admitted: i64 = job.waiting.values().map(|r| i64::from(r.len())).sum();
            let count = admitted + i64::from(job.unadmitted.len()).min(headroom);
            if count == 0 || job.failures > 0 {
                continue;
            }
            match needs.iter_mut().find(|(n, _)| **n == *job.need) {
                Some((_, total)) => *total += count,
                None => needs.push((job.need.clone(), count)),
            }
        }
        needs
    }

    /// Decides the fate of each machine of own blocks, and which are to be
    /// probed; returns those that are due to be released.
    fn judge_machines(&mut self, actions: &mut FleetActions, now: Instant) -> BTreeSet<Arc<str>> {
        let report = self.settings.report_every();
        let lease = Duration::from_secs_f64(self.settings.params.workers.lease_s * 1.1);
        let hulls = self.catalog.iter().flat_map(|c| &c.hulls);
        let boots: BTreeMap<String, Duration> =
            hulls.map(|h| (h.name.clone(), self.boot_time(&h.name))).collect();
        let idle = self.idle_times();
        let replicas = self.replica_machines();
        let standby = self.standby_machines();
        let mut wanted = self.wanted_needs();
        let holdings = &self.role.holdings;
        let own = |m: &Machine| m.group.is_some() && holdings.contains_key(&m.block);
        let mut probes = self.machines.values().filter(|m| own(m) && m.probing).count();
        let mut all_due = BTreeSet::new();
        for machine in self.machines.values_mut().filter(|m| own(m)) {
            if machine.tasks.is_empty() && machine.idle_since.is_none() {
                machine.idle_since = Some(now);
            }
            let age = now.saturating_duration_since(machine.since);
            let silence = machine.heard.map_or(age, |at| now.saturating_duration_since(at));
            if machine.heard.is_none() && machine.address.is_none() {
                let boot = boots.get(&machine.machine_type).copied().unwrap_or(report);
                if machine.fate == Fate::Keep && age > boot * 3 + Duration::from_secs(10) {
                    tracing::info!(machine = &*machine.id, ?age, "a machine did not come up");
                    machine.fate = Fate::Lost;
                }
            } else {
                let eager = machine.heard.is_none() && machine.missed_probes == 0 && age > TAKE_UP;
                // What serves users is missed soonest: it is asked between reports.
                let serves = replicas.contains(&machine.id);
                let (patience, limit) = if serves { (0.6, 0.9) } else { (1.4, 1.9) };
                let ask = eager || silence > report.mul_f64(patience);
                if let Some(address) = &machine.address
                    && ask
                    && !machine.probing
                    && !machine.releasing
                    && probes < if machine.heard.is_some() { MAX_SILENT_PROBES } else { MAX_PROBES }
                {
                    machine.probing = true;
                    probes += 1;
                    actions.probe.push((machine.id.clone(), address.clone()));
                }
                // Its reports arrive, but nothing reaches it: its worker has ended
                // its tasks for want of an answer, and it is of no more use.
                let deaf = machine.deaf_since.is_some_and(|at| now.saturating_duration_since(at) > lease);
                if deaf && machine.fate != Fate::Lost {
                    tracing::info!(
                        machine = &*machine.id,
                        "a machine that reports and hears nothing is given up"
                    );
                    machine.fate = Fate::Lost;
                }
                actions.quiet += usize::from(silence > report.mul_f64(1.9));
                if silence > report.mul_f64(limit) && machine.missed_probes >= 1 && machine.fate != Fate::Lost
                {
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
                let idle = machine.idle_since.is_some_and(|at| now.saturating_duration_since(at) > keep);
                let wanted = idle
                    && wanted.iter_mut().any(|(need, count)| {
                        let fits = *count > 0
                            && need.allows(&machine.machine_type, &machine.zone, machine.spot)
                            && need.amounts.fits(&machine.capacity);
                        if fits {
                            *count -= need.amounts.times_in(&machine.capacity);
                        }
                        fits
                    });
                let unused = idle && !wanted && !standby.contains(&machine.id);
                if machine.failed_jobs.len() >= 2 {
                    tracing::info!(machine = &*machine.id, "tasks of several jobs failed: quarantined");
                    machine.fate = Fate::Returning;
                } else if unused && machine.heard.is_some() && machine.taken_at.is_none() {
                    machine.fate = Fate::Returning;
                }
            }
            let empty = machine.tasks.is_empty();
            let due = machine.fate == Fate::Lost || (machine.fate == Fate::Returning && empty);
            if due && !machine.given_up {
                all_due.insert(machine.id.clone());
            }
        }
        all_due
    }

    /// Gives up on machines that nobody reaches: they are released, and what is
    /// on them runs elsewhere once that is answered.
    pub fn condemn(&mut self, ids: &[Arc<str>]) {
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

    /// How many machines of own blocks have come up.
    pub fn heard_machines(&self) -> usize {
        let own = self.machines.values().filter(|m| self.is_holder(m.block));
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
    pub(super) fn coming(&self) -> Vec<Rooms> {
        let mut kinds: BTreeMap<(&str, &str, bool, i64, i64, i64), i64> = BTreeMap::new();
        for machine in self.machines.values() {
            let lost = machine.fate != Fate::Keep
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
        let mut rooms: Vec<Rooms> = kinds
            .into_iter()
            .map(|((machine_type, zone, spot, cpus, gpus, memory), count)| Rooms {
                machine_type: machine_type.to_string(),
                zone: zone.to_string(),
                spot,
                room: Amounts { cpus, gpus, memory },
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
            rooms.push(Rooms { machine_type, zone, spot, room, count });
        }
        rooms
    }

    fn rentals(&mut self, actions: &mut FleetActions, now: Instant) {
        let Some(leadership) = self.role.leadership else { return };
        let most = (self.settings.params.cloud.rps.ceil() as usize).max(MIN_RENTING);
        if (self.unplaced.is_empty() && self.standby() == 0) || self.fleet.renting.len() >= most {
            return;
        }
        let thrift = self.options.thrift;
        let offers = self.offers(now);
        let machines = MAX_RENT * (most - self.fleet.renting.len()) as u32;
        let mut plan = plan_rentals(&self.unplaced, self.coming(), &offers, thrift, machines);
        if !plan.iter().any(|r| !offers[r.offer].spot) {
            plan.extend(self.standby_rental(&offers));
        }
        let mut taken: BTreeMap<u32, usize> = BTreeMap::new();
        for (request, block) in self.fleet.renting.values() {
            *taken.entry(*block).or_default() += request.count as usize;
        }
        for rental in plan {
            let offer = &offers[rental.offer];
            let mut left = rental.count;
            while left > 0 && self.fleet.renting.len() < most {
                let (block, space) = self.block_with_room(&taken);
                let count = left.min(MAX_RENT).min(space.max(1) as u32);
                left -= count;
                *taken.entry(block).or_default() += count as usize;
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
                    block,
                    "renting machines"
                );
                self.fleet.renting.insert(request.request.clone(), (request.clone(), block));
                actions.rent.push(request);
            }
        }
    }

    /// Notes the machines that a request brought; none: there is no capacity.
    pub fn rented(&mut self, request: &RentRequest, machines: &[String], now: Instant) {
        let Some((_, block)) = self.fleet.renting.remove(&request.request) else { return };
        let kind = (request.machine_type.clone(), request.zone.clone(), request.spot);
        let pausing = self.fleet.refused.get(&kind).is_some_and(|(until, _)| *until > now);
        if machines.len() < request.count as usize && pausing {
            // Asked before an earlier refusal was known, it says nothing new: the
            // pause must not double with each of several requests at a time.
            tracing::debug!(machine_type = kind.0, spot = kind.2, got = machines.len(), "refused as well");
        } else if machines.len() < request.count as usize {
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
        let machines: BTreeMap<String, MemberRecord> = machines
            .iter()
            .filter(|id| !self.gone.contains_key(id.as_str()) && !self.is_grouped(id))
            .map(|id| (id.clone(), MemberRecord::default()))
            .collect();
        if !machines.is_empty() {
            let (machine_type, zone) = (request.machine_type.clone(), request.zone.clone());
            let record = GroupRecord { block, machine_type, zone, spot: request.spot, machines };
            self.new_group(&request.request, record);
        }
        self.wakes.fleet = true;
    }

    /// Notes that a request will not be carried out by this process any more.
    pub fn rent_dropped(&mut self, request: &RentRequest) {
        self.fleet.renting.remove(&request.request);
    }

    /// Notes a machine that reports and that no record names.
    pub(super) fn found(&mut self, report: &Report, now: Instant) {
        let id: Arc<str> = report.machine.as_str().into();
        let mut machine = Machine::new(&id, 0, now);
        machine.machine_type.clone_from(&report.machine_type);
        machine.zone.clone_from(&report.zone);
        machine.spot = report.spot;
        machine.address = Some(report.address.clone());
        self.fleet.found.insert(id, machine);
        self.wakes.fleet = true;
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
            if self.gone.contains_key(listed.id.as_str()) {
                continue;
            }
            match self.machines.get_mut(listed.id.as_str()).filter(|m| m.group.is_some()) {
                Some(machine) if listed.state == "failed" && machine.fate != Fate::Lost => {
                    tracing::info!(machine = &*machine.id, "a machine stopped on its own");
                    machine.fate = Fate::Lost;
                    self.wakes.fleet = true;
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
        self.wakes.fleet = true;
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
