//! The phases of the machines in the shards that this controller holds: which machines
//! are probed, which are given up as lost, and which are returned to the cloud because no
//! task needs them.

use super::{Core, FleetActions};
use crate::machines::{Machine, MachinePhase};
use dapplecroft_sched::TaskRequirements;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The cloud bills a machine for at least this time.
const MIN_BILLED_TIME: Duration = Duration::from_secs(60);

/// Maximum number of probes in flight to machines that have not sent a heartbeat yet. A
/// controller that acquires shards with hundreds of machines must not probe all at once.
const MAX_CONCURRENT_PROBES: usize = 32;
/// Maximum number of probes in flight to machines that have stopped sending heartbeats. The
/// limit is higher because most of these probes time out, and the tasks of the machines cannot be
/// restarted before that.
const MAX_CONCURRENT_SILENT_PROBES: usize = 128;
/// After a controller acquires a shard, most workers report on their own within this
/// time; the others are probed then.
const SHARD_HANDOVER_PROBE_DELAY: Duration = Duration::from_millis(1500);

/// A machine that has not come up after this many usual boot times, plus the margin below,
/// is given up.
const BOOT_TIMEOUT_FACTOR: u32 = 3;
const BOOT_TIMEOUT_MARGIN: Duration = Duration::from_secs(10);
/// A worker is probed after this many heartbeat intervals without a heartbeat.
const PROBE_AFTER_INTERVALS: f64 = 1.4;
/// A worker counts as silent after this many heartbeat intervals without a heartbeat, if
/// it has not answered a probe either.
const SILENT_AFTER_INTERVALS: f64 = 1.9;
/// [`PROBE_AFTER_INTERVALS`] for machines that run service replicas. Replicas serve users, so an
/// outage has to be found soonest: their workers are probed even between two heartbeats.
const REPLICA_PROBE_AFTER_INTERVALS: f64 = 0.6;
/// [`SILENT_AFTER_INTERVALS`] for machines that run service replicas.
const REPLICA_SILENT_AFTER_INTERVALS: f64 = 0.9;
/// Safety factor on the lease after which a worker that receives no answers has ended its tasks.
const LEASE_MARGIN_FACTOR: f64 = 1.1;
/// A machine is quarantined once tasks of this many jobs have failed on it that failed on
/// no other machine.
const QUARANTINE_FAILED_JOBS: usize = 2;

/// Waiting tasks that idle machines are kept for: requirements of a task, and how many
/// tasks have them.
type WaitingDemand = Vec<(Arc<TaskRequirements>, i64)>;

/// The inputs by which the phases of all machines are decided.
struct PhaseRules {
    now: Instant,
    heartbeat_interval: Duration,
    /// Time after which a worker without answers has ended its tasks, margin included.
    lease: Duration,
    boot_times: BTreeMap<String, Duration>,
    /// How long idle machines are kept, by machine type and whether they are spot.
    idle_times: BTreeMap<(String, bool), Duration>,
    /// The operator's setting for the time that idle machines are kept, if any.
    idle_return: Option<Duration>,
    /// Machines that run service replicas.
    service_machines: BTreeSet<Arc<str>>,
    /// Idle machines beyond the reserve.
    surplus: BTreeSet<Arc<str>>,
    /// Machines that are kept running so that service replicas can start at once.
    standby: BTreeSet<Arc<str>>,
}

impl PhaseRules {
    /// Time since this process learned of the machine or acquired its shard.
    fn age(&self, machine: &Machine) -> Duration {
        self.now.saturating_duration_since(machine.known_since)
    }

    /// Time since the last heartbeat, or the machine's age if there was none.
    fn time_since_heartbeat(&self, machine: &Machine) -> Duration {
        machine.last_heartbeat.map_or(self.age(machine), |at| self.now.saturating_duration_since(at))
    }

    /// Gives up a machine that takes much longer to boot than usual.
    fn give_up_if_boot_overdue(&self, machine: &mut Machine) {
        let boot = self.boot_times.get(&machine.machine_type).copied().unwrap_or(self.heartbeat_interval);
        let age = self.age(machine);
        if machine.phase == MachinePhase::Active && age > boot * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN {
            tracing::info!(machine = &*machine.id, ?age, "machine did not boot in time; giving it up");
            machine.phase = MachinePhase::Lost;
        }
    }

    /// Whether the machine's worker has to be asked for its status now.
    fn needs_probe(&self, machine: &Machine) -> bool {
        let not_reported = machine.last_heartbeat.is_none()
            && machine.missed_probes == 0
            && self.age(machine) > SHARD_HANDOVER_PROBE_DELAY;
        let intervals = if self.service_machines.contains(&machine.id) {
            REPLICA_PROBE_AFTER_INTERVALS
        } else {
            PROBE_AFTER_INTERVALS
        };
        let overdue = self.time_since_heartbeat(machine) > self.heartbeat_interval.mul_f64(intervals);
        (not_reported || overdue) && !machine.probe_in_flight && !machine.release_in_flight
    }

    /// Gives up a machine whose heartbeats arrive but which receives nothing: its worker
    /// has ended its tasks because its lease ran out, and can be given no new ones.
    fn give_up_if_unreachable(&self, machine: &mut Machine) {
        let unreachable =
            machine.unsynced_since.is_some_and(|at| self.now.saturating_duration_since(at) > self.lease);
        if unreachable && machine.phase != MachinePhase::Lost {
            tracing::info!(
                machine = &*machine.id,
                "machine sends heartbeats but receives nothing; giving it up"
            );
            machine.phase = MachinePhase::Lost;
        }
    }

    /// Whether the machine counts as silent, so that peers are asked whether they reach it.
    fn is_silent(&self, machine: &Machine) -> bool {
        let intervals = if self.service_machines.contains(&machine.id) {
            REPLICA_SILENT_AFTER_INTERVALS
        } else {
            SILENT_AFTER_INTERVALS
        };
        let overdue = self.time_since_heartbeat(machine) > self.heartbeat_interval.mul_f64(intervals);
        overdue && machine.missed_probes >= 1 && machine.phase != MachinePhase::Lost
    }

    /// Starts the return of a machine on which tasks of several jobs failed, or which no
    /// task has needed for long. Renting a machine again costs its boot time, so an idle
    /// one is kept for a while, the shorter the more it costs; and for at least the
    /// minute for which it is billed in any case.
    fn return_if_failing_or_unneeded(&self, machine: &mut Machine, wanted: &mut WaitingDemand) {
        if machine.phase != MachinePhase::Active {
            return;
        }
        let kind = (machine.machine_type.clone(), machine.spot);
        let usual = self.idle_times.get(&kind).copied().unwrap_or(self.heartbeat_interval);
        let paid = MIN_BILLED_TIME.saturating_sub(self.age(machine));
        let keep = self.idle_return.unwrap_or(usual).max(paid);
        // A machine beyond the load that is expected soon is not worth its price.
        let keep = if self.surplus.contains(&machine.id) { paid } else { keep };
        let idle = machine.idle_since.is_some_and(|at| self.now.saturating_duration_since(at) > keep);
        let unused = idle && !consume_demand(machine, wanted) && !self.standby.contains(&machine.id);
        if machine.failed_jobs.len() >= QUARANTINE_FAILED_JOBS {
            tracing::info!(
                machine = &*machine.id,
                "tasks of several jobs failed on a machine; quarantining it"
            );
            machine.phase = MachinePhase::Returning;
        } else if unused && machine.last_heartbeat.is_some() && machine.reclaim_at.is_none() {
            machine.phase = MachinePhase::Returning;
        }
    }
}

/// Whether an idle machine could run some of the waiting tasks. The tasks that fit on it
/// are deducted from the demand, so that no other machine is kept for them.
fn consume_demand(machine: &Machine, wanted: &mut WaitingDemand) -> bool {
    let found = wanted.iter_mut().find(|(requirements, count)| {
        *count > 0
            && requirements.allows(&machine.machine_type, &machine.zone, machine.spot)
            && requirements.resources.fits(&machine.capacity)
    });
    let Some((requirements, count)) = found else { return false };
    *count -= requirements.resources.copies_that_fit(&machine.capacity);
    true
}

impl Core {
    /// Updates the phase of each machine in the shards that this controller holds, and
    /// collects the probes to send. Returns the machines to be released.
    pub(super) fn update_machine_phases(
        &mut self,
        actions: &mut FleetActions,
        now: Instant,
    ) -> BTreeSet<Arc<str>> {
        let surplus = self.surplus_machines(now);
        let rules = self.phase_rules(surplus, now);
        let mut wanted = self.waiting_demand();
        let leased = &self.role.leased_shards;
        let own = |m: &Machine| m.group.is_some() && leased.contains_key(&m.shard);
        let mut probes = self.machines.values().filter(|m| own(m) && m.probe_in_flight).count();
        let mut due = BTreeSet::new();
        for machine in self.machines.values_mut().filter(|m| own(m)) {
            if machine.tasks.is_empty() && machine.idle_since.is_none() {
                machine.idle_since = Some(now);
            }
            if machine.last_heartbeat.is_none() && machine.address.is_none() {
                rules.give_up_if_boot_overdue(machine);
            } else {
                check_heartbeat(&rules, machine, actions, &mut probes);
            }
            rules.return_if_failing_or_unneeded(machine, &mut wanted);
            let empty = machine.tasks.is_empty();
            let is_due =
                machine.phase == MachinePhase::Lost || (machine.phase == MachinePhase::Returning && empty);
            if is_due && !machine.given_up {
                due.insert(machine.id.clone());
            }
        }
        due
    }

    /// Gathers the inputs for the phases of all machines.
    fn phase_rules(&self, surplus: BTreeSet<Arc<str>>, now: Instant) -> PhaseRules {
        let machine_types = self.catalog.iter().flat_map(|catalog| &catalog.machine_types);
        PhaseRules {
            now,
            heartbeat_interval: self.settings.heartbeat_interval(),
            lease: Duration::from_secs_f64(self.settings.params.workers.lease_s * LEASE_MARGIN_FACTOR),
            boot_times: machine_types.map(|m| (m.name.clone(), self.boot_time(&m.name))).collect(),
            idle_times: self.idle_retention_times(),
            idle_return: self.options.idle_release_after,
            service_machines: self.service_replica_machines(),
            surplus,
            standby: self.standby_machine_ids(),
        }
    }

    /// The waiting tasks that may start within their team's quota limit, by
    /// requirements. The idle machines that they need are not returned, however long
    /// those have been idle. Jobs that back off after failures are left out.
    fn waiting_demand(&self) -> WaitingDemand {
        let mut demand: WaitingDemand = Vec::new();
        for job in self.waiting_jobs.iter().filter_map(|id| self.open_job(id)) {
            let headroom =
                self.teams.get(&job.spec.team).map_or(0, |team| team.headroom(&job.requirements.resources));
            let allocated: i64 = job.waiting.values().map(|r| i64::from(r.len())).sum();
            let count = allocated + i64::from(job.unallocated.len()).min(headroom);
            if count == 0 || job.failures > 0 {
                continue;
            }
            match demand.iter_mut().find(|(requirements, _)| **requirements == *job.requirements) {
                Some((_, total)) => *total += count,
                None => demand.push((job.requirements.clone(), count)),
            }
        }
        demand
    }
}

/// Checks the heartbeats of a machine that has come up. Probes the machine if a heartbeat
/// is overdue, and lists it as silent if peers should be asked about it.
fn check_heartbeat(
    rules: &PhaseRules,
    machine: &mut Machine,
    actions: &mut FleetActions,
    probes: &mut usize,
) {
    let most_probes =
        if machine.last_heartbeat.is_some() { MAX_CONCURRENT_SILENT_PROBES } else { MAX_CONCURRENT_PROBES };
    if let Some(address) = &machine.address
        && rules.needs_probe(machine)
        && *probes < most_probes
    {
        actions.probe.push((machine.id.clone(), address.clone()));
        machine.probe_in_flight = true;
        *probes += 1;
    }
    rules.give_up_if_unreachable(machine);
    actions.silent_count += usize::from(
        rules.time_since_heartbeat(machine) > rules.heartbeat_interval.mul_f64(SILENT_AFTER_INTERVALS),
    );
    if rules.is_silent(machine) {
        actions.silent.push((machine.id.clone(), machine.address.clone().unwrap_or_default()));
    }
}
