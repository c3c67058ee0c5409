//! Team quotas: each team's guaranteed quota, its quota limit and its usage.

use crate::Resources;
use std::collections::BTreeMap;

/// Value of a quota limit that means "unlimited".
const NO_LIMIT: i64 = 0;

/// Headroom that [`TeamQuota::headroom`] reports when no limit applies.
const UNLIMITED_HEADROOM: i64 = i64::MAX;

/// One team's guaranteed quota, quota limit and current usage.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamQuota {
    /// Guaranteed CPUs and GPUs; memory is not part of the quota.
    pub guarantee: Resources,
    /// Limits on CPUs and GPUs; 0 means that the resource is not limited.
    pub limit: Resources,
    /// Resources that the team's tasks use now. Tasks that may still be running
    /// count until they are known to have left their machines.
    pub used: Resources,
}

impl TeamQuota {
    /// Whether starting `task` keeps the team's usage within its limits.
    pub fn limit_allows(&self, task: &Resources) -> bool {
        let allows =
            |used: i64, more: i64, limit: i64| limit == NO_LIMIT || more == 0 || used + more <= limit;
        allows(self.used.cpus, task.cpus, self.limit.cpus)
            && allows(self.used.gpus, task.gpus, self.limit.gpus)
    }

    /// How many more tasks of this size may start within the team's limits;
    /// `i64::MAX` if no limit applies.
    pub fn headroom(&self, task: &Resources) -> i64 {
        let part = |used: i64, more: i64, limit: i64| {
            if limit == NO_LIMIT || more == 0 { UNLIMITED_HEADROOM } else { ((limit - used) / more).max(0) }
        };
        part(self.used.cpus, task.cpus, self.limit.cpus).min(part(self.used.gpus, task.gpus, self.limit.gpus))
    }

    /// Whether `total` lies within the team's guaranteed quota; always false for a
    /// team without a guarantee.
    pub fn guarantee_covers(&self, total: &Resources) -> bool {
        let any = self.guarantee.cpus > 0 || self.guarantee.gpus > 0;
        any && total.cpus <= self.guarantee.cpus && total.gpus <= self.guarantee.gpus
    }

    /// Whether the team uses more than its guaranteed quota.
    pub fn over_quota(&self) -> bool {
        self.used.cpus > self.guarantee.cpus || self.used.gpus > self.guarantee.gpus
    }
}

/// Quotas and usage of all teams, by team name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamQuotas {
    by_name: BTreeMap<String, TeamQuota>,
}

impl TeamQuotas {
    /// Creates the teams from `(name, guarantee, limit)` with zero usage.
    pub fn new(teams: impl IntoIterator<Item = (String, Resources, Resources)>) -> Self {
        let by_name = teams
            .into_iter()
            .map(|(name, guarantee, limit)| {
                (name, TeamQuota { guarantee, limit, used: Resources::default() })
            })
            .collect();
        TeamQuotas { by_name }
    }

    /// A team's quota and usage; `None` if the team is unknown.
    pub fn get(&self, name: &str) -> Option<&TeamQuota> {
        self.by_name.get(name)
    }

    /// Adds a task to the team's usage. A team that is no longer in the settings
    /// gets an entry without guarantee or limit, so that its running tasks stay
    /// counted.
    pub fn add_usage(&mut self, name: &str, task: Resources) {
        if let Some(quota) = self.by_name.get_mut(name) {
            quota.used += task;
        } else {
            self.by_name.insert(name.to_string(), TeamQuota { used: task, ..TeamQuota::default() });
        }
    }

    /// Subtracts a task from the team's usage; does nothing if the team is unknown.
    pub fn remove_usage(&mut self, name: &str, task: Resources) {
        if let Some(quota) = self.by_name.get_mut(name) {
            quota.used -= task;
        }
    }
}

#[cfg(test)]
mod tests;
