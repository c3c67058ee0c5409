//! Where the tasks of a job may run: zones and spread.

use super::{Inner, InvariantChecker, PlacementConstraint, job_of};

impl Inner {
    /// What is wrong with where a task starts, given the job's other tasks, those on
    /// machines that nobody reaches too.
    pub(super) fn placement_violation(&self, task: &str, machine: &str) -> Option<String> {
        let constraint = self.constraints.get(job_of(task))?;
        let zone_of = |machine: &str| self.machine_zones.get(machine).cloned().unwrap_or_default();
        let zone = zone_of(machine);
        let others: Vec<String> = self
            .placements
            .iter()
            .filter(|(t, _)| *t != task && job_of(t) == job_of(task))
            .map(|(_, m)| zone_of(m))
            .collect();
        let same_zone_count = others.iter().filter(|z| **z == zone).count();
        let violated = constraint.zone.as_ref().is_some_and(|z| *z != zone)
            || (constraint.same_place && same_zone_count < others.len())
            || constraint.apart.is_some_and(|tasks| same_zone_count + 1 > tasks.div_ceil(2));
        violated.then(|| format!("wrong_place: {task} starts in {zone}, others are in {others:?}"))
    }
}

impl InvariantChecker {
    /// A job's tasks may be there alone.
    pub fn bind(&self, id: &str, bound: PlacementConstraint) {
        self.inner.lock().unwrap().constraints.insert(id.into(), bound);
    }

    /// A machine is in a zone.
    pub fn zone(&self, machine: &str, zone: &str) {
        self.inner.lock().unwrap().machine_zones.insert(machine.into(), zone.into());
    }
}
