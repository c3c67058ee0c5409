//! Breakdown of what the CPUs of a shard holder's machines are used for. It is logged
//! to show where rented machine time is spent without running tasks.

use super::Core;
use crate::jobs::TaskId;
use crate::machines::Machine;
use std::time::Instant;

/// Numbers of CPUs by what they are used for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CapacityUsage {
    /// CPUs of machines whose workers have not sent a heartbeat yet.
    pub booting: i64,
    /// Free CPUs on machines that accept no new tasks.
    pub closed: i64,
    /// Free CPUs on machines that accept new tasks.
    pub free: i64,
    /// CPUs of tasks whose placement is not committed yet.
    pub committing: i64,
    /// CPUs of tasks that have not been reported running yet: they wait for their start
    /// command or for their image.
    pub fetching: i64,
    /// CPUs of running tasks that are not being stopped.
    pub running: i64,
    /// CPUs of running tasks that are being stopped.
    pub stopping: i64,
}

impl CapacityUsage {
    fn add_task(&mut self, core: &Core, task: &TaskId) {
        let Some(job) = core.open_job(&task.job) else { return };
        let Some(placed) = job.placed.get(&task.index).filter(|p| !p.resources_freed) else { return };
        let counter = match placed {
            p if !p.committed => &mut self.committing,
            p if p.running_since.is_none() => &mut self.fetching,
            p if p.stop_reason.is_some() => &mut self.stopping,
            _ => &mut self.running,
        };
        *counter += job.requirements.resources.cpus;
    }

    fn add_machine(&mut self, core: &Core, machine: &Machine, open: bool) {
        if machine.last_heartbeat.is_none() {
            self.booting += machine.capacity.cpus;
            return;
        }
        let free = if open { &mut self.free } else { &mut self.closed };
        *free += machine.free_resources().cpus;
        for task in &machine.tasks {
            self.add_task(core, task);
        }
    }

    fn in_whole_cpus(self) -> CapacityUsage {
        let whole = |thousandths: i64| thousandths / 1000;
        CapacityUsage {
            booting: whole(self.booting),
            closed: whole(self.closed),
            free: whole(self.free),
            committing: whole(self.committing),
            fetching: whole(self.fetching),
            running: whole(self.running),
            stopping: whole(self.stopping),
        }
    }
}

impl Core {
    /// Numbers of CPUs in this controller's shards by what they are used for now.
    pub(super) fn capacity_usage(&self, now: Instant) -> CapacityUsage {
        let max_heartbeat_age = self.max_heartbeat_age();
        let mut usage = CapacityUsage::default();
        for machine in self.machines.values() {
            let Some(lease) = self.role.leased_shards.get(&machine.shard) else { continue };
            usage.add_machine(self, machine, machine.accepts_tasks(lease.epoch, max_heartbeat_age, now));
        }
        usage.in_whole_cpus()
    }
}
