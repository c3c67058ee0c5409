//! Team quotas: each team's guarantee and limit, and what its tasks use.

use crate::Resources;
use std::collections::BTreeMap;

/// A limit of this value means that there is none.
const NO_LIMIT: i64 = 0;

/// The headroom under no limit.
const UNLIMITED_HEADROOM: i64 = i64::MAX;

/// One team's quota: its guarantee, its limit and its use.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamQuota {
    /// Guaranteed CPUs and GPUs; memory is not counted.
    pub guarantee: Resources,
    /// Limits on CPUs and GPUs; 0 in a resource means none there.
    pub limit: Resources,
    /// What its tasks take now, those not proven gone included.
    pub used: Resources,
}

impl TeamQuota {
    /// Whether a task of this size may start without exceeding a limit.
    pub fn limit_allows(&self, task: &Resources) -> bool {
        let ok = |used: i64, more: i64, limit: i64| limit == NO_LIMIT || more == 0 || used + more <= limit;
        ok(self.used.cpus, task.cpus, self.limit.cpus) && ok(self.used.gpus, task.gpus, self.limit.gpus)
    }

    /// How many more tasks of this size the limits let start; `i64::MAX` if
    /// none binds.
    pub fn headroom(&self, task: &Resources) -> i64 {
        let part = |used: i64, more: i64, limit: i64| {
            if limit == NO_LIMIT || more == 0 { UNLIMITED_HEADROOM } else { ((limit - used) / more).max(0) }
        };
        part(self.used.cpus, task.cpus, self.limit.cpus).min(part(self.used.gpus, task.gpus, self.limit.gpus))
    }

    /// Whether `total` lies within the guarantee; false for a team without one.
    pub fn guarantee_covers(&self, total: &Resources) -> bool {
        let any = self.guarantee.cpus > 0 || self.guarantee.gpus > 0;
        any && total.cpus <= self.guarantee.cpus && total.gpus <= self.guarantee.gpus
    }

    /// Whether the team runs more than its guarantee.
    pub fn over_quota(&self) -> bool {
        self.used.cpus > self.guarantee.cpus || self.used.gpus > self.guarantee.gpus
    }
}

/// The quotas and use of all teams, by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamQuotas {
    by_name: BTreeMap<String, TeamQuota>,
}

impl TeamQuotas {
    /// TeamQuotas from `(name, guarantee, limit)`, with nothing used.
    pub fn new(teams: impl IntoIterator<Item = (String, Resources, Resources)>) -> Self {
        let by_name = teams
            .into_iter()
            .map(|(name, guarantee, limit)| {
                (name, TeamQuota { guarantee, limit, used: Resources::default() })
            })
            .collect();
        TeamQuotas { by_name }
    }

    /// A team's quota and use; `None` for a team that is not known.
    pub fn get(&self, name: &str) -> Option<&TeamQuota> {
        self.by_name.get(name)
    }

    /// Counts a task in. A team that the settings no longer name is kept too,
    /// without a guarantee, so that its running work stays counted.
    pub fn add_usage(&mut self, name: &str, task: Resources) {
        if let Some(quota) = self.by_name.get_mut(name) {
            quota.used += task;
        } else {
            self.by_name.insert(name.to_string(), TeamQuota { used: task, ..TeamQuota::default() });
        }
    }

    /// Counts a task out; a team that is not known is left alone.
    pub fn remove_usage(&mut self, name: &str, task: Resources) {
        if let Some(quota) = self.by_name.get_mut(name) {
            quota.used -= task;
        }
    }
}

#[cfg(test)]
mod tests;
