//! What the processors of a holder's machines are used for, for the log: where
//! paid time goes that no task runs in.

use super::Core;
use crate::jobs::TaskId;
use crate::machines::Machine;
use std::time::Instant;

/// Whole processors by what they are used for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CapacityUsage {
    /// Of machines whose workers have not reported yet.
    pub booting: i64,
    /// Of machines that take no more work.
    pub closed: i64,
    /// Free on machines that take work.
    pub free: i64,
    /// Of tasks whose placement is not committed yet.
    pub committing: i64,
    /// Of tasks that have not been seen running yet: they wait for their start
    /// command or their image.
    pub fetching: i64,
    /// Of running tasks.
    pub running: i64,
    /// Of running tasks that are being stopped.
    pub stopping: i64,
}

impl CapacityUsage {
    fn add_task(&mut self, core: &Core, task: &TaskId) {
        let Some(job) = core.open_job(&task.job) else { return };
        let Some(placed) = job.placed.get(&task.index).filter(|p| !p.resources_freed) else { return };
        let use_of = match placed {
            p if !p.committed => &mut self.committing,
            p if p.running_since.is_none() => &mut self.fetching,
            p if p.stop_reason.is_some() => &mut self.stopping,
            _ => &mut self.running,
        };
        *use_of += job.requirements.resources.cpus;
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
    /// What the processors of own shards' machines are used for now.
    pub(super) fn capacity_usage(&self, now: Instant) -> CapacityUsage {
        let silence = self.silence();
        let mut usage = CapacityUsage::default();
        for machine in self.machines.values() {
            let Some(lease) = self.role.leased_shards.get(&machine.shard) else { continue };
            usage.add_machine(self, machine, machine.accepts_tasks(lease.epoch, silence, now));
        }
        usage.in_whole_cpus()
    }
}
