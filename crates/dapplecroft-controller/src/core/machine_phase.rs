//! The fate of machines in own shards: which are probed, which are given up, and
//! which are returned because nothing needs them.

use super::{Core, FleetActions};
use crate::machines::{Machine, MachinePhase};
use dapplecroft_sched::TaskRequirements;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What is paid for a machine at least.
const MIN_PAID: Duration = Duration::from_secs(60);

/// Probes on their way at a time: a holder that takes up hundreds of machines
/// must not ask all at once.
const MAX_PROBES: usize = 32;
/// The same for machines that have fallen silent: most will not answer, and what
/// ran on them waits for that.
const MAX_SILENT_PROBES: usize = 128;
/// Most workers of a shard that is taken up come by themselves so soon; the
/// others are asked then.
const TAKE_UP: Duration = Duration::from_millis(1500);

/// A machine is taken not to come up after so many usual boot times and a margin.
const BOOT_FACTOR: u32 = 3;
const BOOT_MARGIN: Duration = Duration::from_secs(10);
/// A worker that has been silent for so many report intervals is probed.
const PROBE_AFTER: f64 = 1.4;
/// One that has been silent for so many, and has not answered a probe, is silent.
const SILENT_AFTER: f64 = 1.9;
/// The same where replicas run. What serves users is missed soonest: it is asked
/// between reports.
const REPLICA_PROBE_AFTER: f64 = 0.6;
const REPLICA_SILENT_AFTER: f64 = 0.9;
/// Margin on the lease of a worker that hears nothing.
const LEASE_MARGIN: f64 = 1.1;
/// A machine takes no more work once tasks of so many jobs failed on it alone.
const MOST_FAILED_JOBS: usize = 2;

/// Idle machines of which work waits: what each task needs, and how many tasks.
type WantedRequirements = Vec<(Arc<TaskRequirements>, i64)>;

/// What the fates of all machines are decided by.
struct PhaseRules {
    now: Instant,
    heartbeat_interval: Duration,
    lease: Duration,
    boot_times: BTreeMap<String, Duration>,
    idle_times: BTreeMap<(String, bool), Duration>,
    idle_return: Option<Duration>,
    with_replicas: BTreeSet<Arc<str>>,
    surplus: BTreeSet<Arc<str>>,
    standby: BTreeSet<Arc<str>>,
}

impl PhaseRules {
    fn age(&self, machine: &Machine) -> Duration {
        self.now.saturating_duration_since(machine.since)
    }

    fn silence(&self, machine: &Machine) -> Duration {
        machine.heard.map_or(self.age(machine), |at| self.now.saturating_duration_since(at))
    }

    /// Gives up a machine that has not come up for much longer than usual.
    fn judge_boot(&self, machine: &mut Machine) {
        let boot = self.boot_times.get(&machine.machine_type).copied().unwrap_or(self.heartbeat_interval);
        let age = self.age(machine);
        if machine.phase == MachinePhase::Active && age > boot * BOOT_FACTOR + BOOT_MARGIN {
            tracing::info!(machine = &*machine.id, ?age, "a machine did not come up");
            machine.phase = MachinePhase::Lost;
        }
    }

    /// Whether a machine is to be asked for its status now.
    fn wants_probe(&self, machine: &Machine) -> bool {
        let taken_up = machine.heard.is_none() && machine.missed_probes == 0 && self.age(machine) > TAKE_UP;
        let patience =
            if self.with_replicas.contains(&machine.id) { REPLICA_PROBE_AFTER } else { PROBE_AFTER };
        let overdue = self.silence(machine) > self.heartbeat_interval.mul_f64(patience);
        (taken_up || overdue) && !machine.probing && !machine.releasing
    }

    /// Gives up a machine whose reports arrive and which nothing reaches: its
    /// worker has ended its tasks for want of an answer, and it is of no more use.
    fn judge_deaf(&self, machine: &mut Machine) {
        let deaf = machine.deaf_since.is_some_and(|at| self.now.saturating_duration_since(at) > self.lease);
        if deaf && machine.phase != MachinePhase::Lost {
            tracing::info!(machine = &*machine.id, "a machine that reports and hears nothing is given up");
            machine.phase = MachinePhase::Lost;
        }
    }

    /// Whether others are to be asked about a machine.
    fn is_silent(&self, machine: &Machine) -> bool {
        let limit =
            if self.with_replicas.contains(&machine.id) { REPLICA_SILENT_AFTER } else { SILENT_AFTER };
        let overdue = self.silence(machine) > self.heartbeat_interval.mul_f64(limit);
        overdue && machine.missed_probes >= 1 && machine.phase != MachinePhase::Lost
    }

    /// Decides whether a machine is returned: tasks of several jobs failed on it,
    /// or nothing has needed it for long. Renting it again would cost its boot
    /// time, so it is kept a while, the dearer the shorter; and a machine is paid
    /// for a minute in any case.
    fn judge_use(&self, machine: &mut Machine, wanted: &mut WantedRequirements) {
        if machine.phase != MachinePhase::Active {
            return;
        }
        let kind = (machine.machine_type.clone(), machine.spot);
        let usual = self.idle_times.get(&kind).copied().unwrap_or(self.heartbeat_interval);
        let paid = MIN_PAID.saturating_sub(self.age(machine));
        let keep = self.idle_return.unwrap_or(usual).max(paid);
        // What is idle beyond what may come soon is not worth its price.
        let keep = if self.surplus.contains(&machine.id) { paid } else { keep };
        let idle = machine.idle_since.is_some_and(|at| self.now.saturating_duration_since(at) > keep);
        let unused = idle && !take_wanted(machine, wanted) && !self.standby.contains(&machine.id);
        if machine.failed_jobs.len() >= MOST_FAILED_JOBS {
            tracing::info!(machine = &*machine.id, "tasks of several jobs failed: quarantined");
            machine.phase = MachinePhase::Returning;
        } else if unused && machine.heard.is_some() && machine.taken_at.is_none() {
            machine.phase = MachinePhase::Returning;
        }
    }
}

/// Whether work waits that an idle machine would do for; what it takes of that
/// keeps no other machine.
fn take_wanted(machine: &Machine, wanted: &mut WantedRequirements) -> bool {
    let found = wanted.iter_mut().find(|(requirements, count)| {
        *count > 0
            && requirements.allows(&machine.machine_type, &machine.zone, machine.spot)
            && requirements.resources.fits(&machine.capacity)
    });
    let Some((requirements, count)) = found else { return false };
    *count -= requirements.resources.times_in(&machine.capacity);
    true
}

impl Core {
    /// Decides the fate of each machine of own shards, and which are to be
    /// probed; returns those that are due to be released.
    pub(super) fn judge_machines(&mut self, actions: &mut FleetActions, now: Instant) -> BTreeSet<Arc<str>> {
        let surplus = self.surplus_machines(now);
        let rules = self.phase_rules(surplus, now);
        let mut wanted = self.wanted_requirements();
        let leased = &self.role.leased_shards;
        let own = |m: &Machine| m.group.is_some() && leased.contains_key(&m.shard);
        let mut probes = self.machines.values().filter(|m| own(m) && m.probing).count();
        let mut due = BTreeSet::new();
        for machine in self.machines.values_mut().filter(|m| own(m)) {
            if machine.tasks.is_empty() && machine.idle_since.is_none() {
                machine.idle_since = Some(now);
            }
            if machine.heard.is_none() && machine.address.is_none() {
                rules.judge_boot(machine);
            } else {
                judge_contact(&rules, machine, actions, &mut probes);
            }
            rules.judge_use(machine, &mut wanted);
            let empty = machine.tasks.is_empty();
            let over =
                machine.phase == MachinePhase::Lost || (machine.phase == MachinePhase::Returning && empty);
            if over && !machine.given_up {
                due.insert(machine.id.clone());
            }
        }
        due
    }

    fn phase_rules(&self, surplus: BTreeSet<Arc<str>>, now: Instant) -> PhaseRules {
        let machine_types = self.catalog.iter().flat_map(|catalog| &catalog.machine_types);
        PhaseRules {
            now,
            heartbeat_interval: self.settings.heartbeat_interval(),
            lease: Duration::from_secs_f64(self.settings.params.workers.lease_s * LEASE_MARGIN),
            boot_times: machine_types.map(|m| (m.name.clone(), self.boot_time(&m.name))).collect(),
            idle_times: self.idle_retention_times(),
            idle_return: self.options.idle_return,
            with_replicas: self.service_replica_machines(),
            surplus,
            standby: self.standby_machine_ids(),
        }
    }

    /// What work waits that may start as far as its team's limit goes, and how
    /// much: as many idle machines as it needs are not returned, however long
    /// they have been idle.
    fn wanted_requirements(&self) -> WantedRequirements {
        let mut task_requirements: WantedRequirements = Vec::new();
        for job in self.waiting.iter().filter_map(|id| self.open_job(id)) {
            let headroom =
                self.teams.get(&job.spec.team).map_or(0, |b| b.headroom(&job.requirements.resources));
            let allocated: i64 = job.waiting.values().map(|r| i64::from(r.len())).sum();
            let count = allocated + i64::from(job.unallocated.len()).min(headroom);
            if count == 0 || job.failures > 0 {
                continue;
            }
            match task_requirements.iter_mut().find(|(requirements, _)| **requirements == *job.requirements) {
                Some((_, total)) => *total += count,
                None => task_requirements.push((job.requirements.clone(), count)),
            }
        }
        task_requirements
    }
}

/// Decides what is asked of and about a machine that has come up.
fn judge_contact(rules: &PhaseRules, machine: &mut Machine, actions: &mut FleetActions, probes: &mut usize) {
    let most_probes = if machine.heard.is_some() { MAX_SILENT_PROBES } else { MAX_PROBES };
    if let Some(address) = &machine.address
        && rules.wants_probe(machine)
        && *probes < most_probes
    {
        actions.probe.push((machine.id.clone(), address.clone()));
        machine.probing = true;
        *probes += 1;
    }
    rules.judge_deaf(machine);
    actions.quiet += usize::from(rules.silence(machine) > rules.heartbeat_interval.mul_f64(SILENT_AFTER));
    if rules.is_silent(machine) {
        actions.silent.push((machine.id.clone(), machine.address.clone().unwrap_or_default()));
    }
}
