//! Leases of machine shards: which the leader gives to whom, and what a holder
//! does when it gains or loses one.

use super::{Core, reindex};
use crate::jobs::Job;
use crate::records::{self, ShardRecord};
use dapplecroft_wire::state::{Change, Condition, Transaction};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// A lease of a shard of machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardLease {
    /// Its epoch.
    pub epoch: u64,
    /// Version of the shard's record.
    pub version: u64,
}

/// A shard that the leader leases to a controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The shard.
    pub shard: u32,
    /// The record.
    pub record: ShardRecord,
    /// The version that it replaces.
    pub version: u64,
}

impl Core {
    /// All shards that exist: those with a record, and those that machines name.
    pub(super) fn shard_numbers(&self) -> Vec<u32> {
        let mut numbers: Vec<u32> = self.shards.keys().copied().collect();
        numbers.extend(self.groups.values().map(|g| g.record.shard));
        numbers.push(0);
        numbers.sort_unstable();
        numbers.dedup();
        numbers
    }

    /// How many machines each shard has.
    pub(super) fn shard_sizes(&self) -> BTreeMap<u32, usize> {
        let mut sizes = BTreeMap::new();
        for group in self.groups.values() {
            *sizes.entry(group.record.shard).or_default() += group.record.machines.len();
        }
        sizes
    }

    /// The leases that the leader should give now: shards whose holder is gone
    /// go to the least loaded controllers, and one shard at a time moves from
    /// the most to the least loaded if that evens them out. The leader's own
    /// work grows with the number of shards, so it holds fewer of many.
    pub fn wanted_leases(&self, now: Instant) -> Vec<LeaseGrant> {
        let Some(leadership) = self.role.leadership.filter(|l| *l <= self.applied_revision) else {
            return Vec::new();
        };
        let numbers = self.shard_numbers();
        let sizes = self.shard_sizes();
        let size = |shard: &u32| sizes.get(shard).copied().unwrap_or(0);
        let own_work = (numbers.len() - 1) * self.shard_machines() / 8;
        let mut load: BTreeMap<&str, usize> = self
            .live_controllers
            .iter()
            .map(|(host, l)| (host.as_str(), if l.identity == self.identity { own_work } else { 0 }))
            .collect();
        let mut vacant = Vec::new();
        let mut held: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for shard in &numbers {
            let holder = self.shards.get(shard).map(|(b, _)| b).filter(|b| {
                self.live_controllers.get(&b.host).is_some_and(|live| live.identity == b.identity)
            });
            match holder {
                Some(holder) => {
                    *load.entry(holder.host.as_str()).or_default() += size(shard);
                    held.entry(holder.host.as_str()).or_default().push(*shard);
                }
                None => vacant.push(*shard),
            }
        }
        let leader =
            self.live_controllers.iter().find(|(_, l)| l.identity == self.identity).map(|(h, _)| h.as_str());
        // One that has just come up gets no more than its part: after a restart
        // of all, the first would else take everything, drown in its workers'
        // reports and lose its lease again; the others come up just after it.
        let part = numbers.len().div_ceil(self.settings.params.nodes.max(1) as usize);
        let settled = |host: &str| {
            let since = self.controller_live_since.get(host);
            since.is_some_and(|at| now.saturating_duration_since(*at) >= self.options.node_lease * 2)
        };
        let mut counts: BTreeMap<&str, usize> = held.iter().map(|(host, b)| (*host, b.len())).collect();
        let least = |load: &BTreeMap<&str, usize>, counts: &BTreeMap<&str, usize>| {
            load.iter()
                .filter(|(host, _)| settled(host) || counts.get(*host).is_none_or(|n| *n < part))
                .min_by_key(|(host, n)| (**n, Some(**host) != leader))
                .map(|(host, n)| (host.to_string(), *n))
        };
        let mut leases = Vec::new();
        vacant.sort_by_key(|b| std::cmp::Reverse(size(b)));
        for shard in vacant {
            let Some((host, _)) = least(&load, &counts) else { break };
            if let Some((name, n)) = load.iter_mut().find(|(name, _)| **name == host) {
                *counts.entry(name).or_default() += 1;
                // An empty shard will not stay empty.
                *n += size(&shard).max(self.shard_machines() / 2);
            }
            leases.extend(self.lease(shard, &host, leadership));
        }
        if leases.is_empty()
            && let Some((to, low)) = least(&load, &counts)
            && let Some((from, high)) = load.iter().max_by_key(|(_, n)| **n)
        {
            // It helps only if the lesser load stays the lesser one.
            let moved = held
                .get(from)
                .into_iter()
                .flatten()
                .filter(|b| size(b) > 0 && low + size(b) * 2 <= *high)
                .max_by_key(|b| size(b));
            leases.extend(moved.and_then(|shard| self.lease(*shard, &to, leadership)));
        }
        leases
    }

    fn lease(&self, shard: u32, host: &str, leadership: u64) -> Option<LeaseGrant> {
        let live = self.live_controllers.get(host)?;
        let (old, version) = self.shards.get(&shard).map_or((0, 0), |(b, v)| (b.epoch, *v));
        // The epoch comes from a revision of the state service, and only grows.
        let epoch = (old + 1).max(leadership);
        let record = ShardRecord { host: host.to_string(), identity: live.identity.clone(), epoch };
        Some(LeaseGrant { shard, record, version })
    }

    /// The transaction that gives leases, as many as one holds.
    pub fn lease_transaction(&self, leases: &[LeaseGrant]) -> Option<Transaction> {
        let leadership = self.role.leadership?;
        let mut conditions = vec![Condition { key: records::LEADER_KEY.into(), version: leadership }];
        let mut changes = Vec::new();
        for lease in leases.iter().take(self.limits().changes) {
            let key = records::shard_key(lease.shard);
            conditions.push(Condition { key: key.clone(), version: lease.version });
            let value = serde_json::to_value(&lease.record).ok()?;
            changes.push(Change::Set { key, value, lease: None });
        }
        (!changes.is_empty()).then_some(Transaction { conditions, changes })
    }

    /// Takes up the shards that were leased to this process, once its copy of
    /// the records has caught up with the lease: what earlier holders committed
    /// is known then, and nothing of theirs can be committed any more, since
    /// every such commit names the shard's version.
    pub fn take_leased_shards(&mut self, now: Instant) {
        if self.role.lease.is_none() {
            // It has just stepped down: the leader sees nobody behind these shards.
            return;
        }
        let taken: Vec<(u32, ShardLease)> = self
            .shards
            .iter()
            .filter(|(n, (b, version))| {
                b.identity == self.identity
                    && *version <= self.applied_revision
                    && !self.role.leased_shards.contains_key(n)
            })
            .map(|(n, (b, version))| (*n, ShardLease { epoch: b.epoch, version: *version }))
            .collect();
        if taken.is_empty() {
            return;
        }
        tracing::info!(blocks = ?taken.iter().map(|(n, h)| (*n, h.epoch)).collect::<Vec<_>>(), "blocks taken up");
        for (shard, shard_lease) in taken {
            self.hold(shard, shard_lease, now);
        }
    }

    /// Takes note of holding a shard, and forgets what was believed of its
    /// machines: only what they tell this holder counts.
    fn hold(&mut self, shard: u32, shard_lease: ShardLease, now: Instant) {
        self.role.leased_shards.insert(shard, shard_lease);
        self.learn_parts(shard);
        let mut jobs: Vec<Arc<str>> = Vec::new();
        for machine in self.machines.values_mut().filter(|m| m.shard == shard) {
            machine.forget_worker_state(now);
            jobs.extend(machine.tasks.iter().map(|t| t.job.clone()));
        }
        jobs.sort_unstable();
        jobs.dedup();
        for id in jobs {
            let Some(Job::Open(job)) = self.jobs.get_mut(&id) else { continue };
            for placed in job.placed.values_mut().filter(|p| p.segment.shard == shard) {
                placed.start_token = 0;
                placed.running_since = None;
                placed.learned_at = now;
            }
        }
        self.plan_migration(shard, now);
        self.wakeups.place = true;
        self.wakeups.flush = true;
        self.wakeups.fleet = true;
    }

    /// Takes note of having lost a shard. Proposals that are on their way are
    /// settled by their commits, which name the shard's version; the others are
    /// void, and what its workers proved is proven again to the next holder.
    pub(super) fn lose_shard(&mut self, shard: u32, why: &str, now: Instant) {
        if self.role.leased_shards.remove(&shard).is_none() {
            return;
        }
        tracing::info!(block = shard, why, "block lost");
        let jobs: Vec<Arc<str>> = self.open.iter().cloned().collect();
        for id in jobs {
            let Some(Job::Open(job)) = self.jobs.get_mut(&id) else { continue };
            let resources = job.requirements.resources;
            for p in job.placed.values_mut().filter(|p| p.segment.shard == shard && p.resources_freed) {
                p.resources_freed = false;
                if let Some(machine) = self.machines.get_mut(&p.machine) {
                    let before = machine.free_resources().cpus;
                    machine.booked += resources;
                    reindex(&mut self.machines_by_free_cpus, machine, before);
                }
            }
            let placed = &job.placed;
            job.uncommitted_exits.retain(|i, _| placed.get(i).is_none_or(|p| p.segment.shard != shard));
        }
        self.drop_proposals_in(shard);
        self.commits.drop_deferred_ends_of(shard);
        self.inherited.retain(|id, _| id.shard != shard);
        self.pending.retain(|id, _| id.shard != shard);
        let machines = &self.machines;
        self.unexpected_tasks.retain(|_, on| machines.get(on).is_none_or(|m| m.shard != shard));
        for machine in self.machines.values_mut().filter(|m| m.shard == shard) {
            machine.forget_worker_state(now);
        }
        let empty: Vec<Arc<str>> = self
            .machines
            .values()
            .filter(|m| m.shard == shard && m.group.is_none() && m.tasks.is_empty())
            .map(|m| m.id.clone())
            .collect();
        empty.into_iter().for_each(|id| self.forget_machine(&id));
    }

    /// A holding under which this process may act now.
    pub fn active_lease(&self, shard: u32, now: Instant) -> Option<ShardLease> {
        self.role.leased_shards.get(&shard).copied().filter(|_| self.in_contact(now))
    }

    /// Whether this process holds a shard, in contact or not.
    pub fn is_holder(&self, shard: u32) -> bool {
        self.role.leased_shards.contains_key(&shard)
    }

    /// The node, other than this one, that workers of a shard should report to.
    pub fn holder_host(&self, shard: u32) -> Option<&str> {
        let (shard, _) = self.shards.get(&shard)?;
        let live = self.live_controllers.get(&shard.host).is_some_and(|l| l.identity == shard.identity);
        (live && shard.identity != self.identity).then_some(shard.host.as_str())
    }
}
