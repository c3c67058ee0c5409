//! Check of placement constraints: the zones that a job's tasks run in and their spread.

use super::{Inner, InvariantChecker, PlacementConstraint, job_of};

impl Inner {
    /// Returns the violation if a task that starts on this machine breaks its job's
    /// placement constraint. The job's other tasks count wherever they run, including on
    /// machines that the controllers cannot reach.
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
    /// Sets the placement constraint of a job's tasks.
    pub fn bind(&self, id: &str, bound: PlacementConstraint) {
        self.inner.lock().unwrap().constraints.insert(id.into(), bound);
    }

    /// Records a machine's zone.
    pub fn zone(&self, machine: &str, zone: &str) {
        self.inner.lock().unwrap().machine_zones.insert(machine.into(), zone.into());
    }
}
