//! Leases of machine shards: how the leader assigns shards to controllers, and what a
//! controller does when it gains or loses a lease.

use super::{Core, update_free_cpu_index};
use crate::jobs::Job;
use crate::records::{self, ShardRecord};
use dapplecroft_wire::state::{Change, Condition, Transaction};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// A lease of a shard that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardLease {
    /// Epoch of the lease, which grows with every new lease of the shard.
    pub epoch: u64,
    /// Version of the shard's record in the state service.
    pub version: u64,
}

/// A lease that the leader is about to grant to a controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Number of the shard.
    pub shard: u32,
    /// The shard's new record, which names the new holder.
    pub record: ShardRecord,
    /// Version of the shard's record that the new one replaces; 0 if there is none.
    pub version: u64,
}

impl Core {
    /// Numbers of all shards: shard 0, those with a record, and those that groups of
    /// machines belong to.
    pub(super) fn shard_numbers(&self) -> Vec<u32> {
        let mut numbers: Vec<u32> = self.shards.keys().copied().collect();
        numbers.extend(self.groups.values().map(|g| g.record.shard));
        numbers.push(0);
        numbers.sort_unstable();
        numbers.dedup();
        numbers
    }

    /// Number of machines by shard.
    pub(super) fn shard_sizes(&self) -> BTreeMap<u32, usize> {
        let mut sizes = BTreeMap::new();
        for group in self.groups.values() {
            *sizes.entry(group.record.shard).or_default() += group.record.machines.len();
        }
        sizes
    }

    /// The leases that the leader should grant now. Shards whose holder is gone go to
    /// the least loaded controllers. If there are none, one shard moves from the most to
    /// the least loaded controller if that evens out their loads. The leader's other
    /// work grows with the number of shards and counts as load, so that the leader holds
    /// fewer shards when there are many.
    pub fn plan_leases(&self, now: Instant) -> Vec<LeaseGrant> {
        let Some(leader_term) = self.role.leader_key_version.filter(|l| *l <= self.applied_revision) else {
            return Vec::new();
        };
        let shards = self.shard_numbers();
        let sizes = self.shard_sizes();
        let size = |shard: &u32| sizes.get(shard).copied().unwrap_or(0);
        let leader_load = (shards.len() - 1) * self.max_shard_machines() / 8;
        let mut load: BTreeMap<&str, usize> = self
            .live_controllers
            .iter()
            .map(|(host, l)| (host.as_str(), if l.identity == self.identity { leader_load } else { 0 }))
            .collect();
        let mut vacant = Vec::new();
        let mut held: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for shard in &shards {
            let holder = self.shards.get(shard).map(|(record, _)| record).filter(|record| {
                self.live_controllers.get(&record.host).is_some_and(|live| live.identity == record.identity)
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
        // A controller that has just started gets no more than its fair share of the
        // shards. When all controllers restart, the first one up would otherwise get all
        // shards, be overloaded by the workers' heartbeats and lose its own lease, while
        // the other controllers come up only moments later.
        let fair_share = shards.len().div_ceil(self.settings.params.nodes.max(1) as usize);
        let is_settled = |host: &str| {
            let since = self.controller_live_since.get(host);
            since.is_some_and(|at| now.saturating_duration_since(*at) >= self.options.node_lease * 2)
        };
        let mut counts: BTreeMap<&str, usize> =
            held.iter().map(|(host, shards)| (*host, shards.len())).collect();
        let least_loaded = |load: &BTreeMap<&str, usize>, counts: &BTreeMap<&str, usize>| {
            load.iter()
                .filter(|(host, _)| is_settled(host) || counts.get(*host).is_none_or(|n| *n < fair_share))
                .min_by_key(|(host, n)| (**n, Some(**host) != leader))
                .map(|(host, n)| (host.to_string(), *n))
        };
        let mut leases = Vec::new();
        vacant.sort_by_key(|shard| std::cmp::Reverse(size(shard)));
        for shard in vacant {
            let Some((host, _)) = least_loaded(&load, &counts) else { break };
            if let Some((name, n)) = load.iter_mut().find(|(name, _)| **name == host) {
                *counts.entry(name).or_default() += 1;
                // Count an empty shard as half full, since machines will join it.
                *n += size(&shard).max(self.max_shard_machines() / 2);
            }
            leases.extend(self.lease_grant(shard, &host, leader_term));
        }
        if leases.is_empty()
            && let Some((to, low)) = least_loaded(&load, &counts)
            && let Some((from, high)) = load.iter().max_by_key(|(_, n)| **n)
        {
            // Move a shard only if its new holder's load does not exceed the remaining
            // load of the old one; otherwise shards would move back and forth.
            let moved = held
                .get(from)
                .into_iter()
                .flatten()
                .filter(|shard| size(shard) > 0 && low + size(shard) * 2 <= *high)
                .max_by_key(|shard| size(shard));
            leases.extend(moved.and_then(|shard| self.lease_grant(*shard, &to, leader_term)));
        }
        leases
    }

    fn lease_grant(&self, shard: u32, host: &str, leader_term: u64) -> Option<LeaseGrant> {
        let live = self.live_controllers.get(host)?;
        let (old, version) =
            self.shards.get(&shard).map_or((0, 0), |(record, version)| (record.epoch, *version));
        // The leader's term is a revision of the state service, so epochs only grow, even
        // if a shard's record is missing.
        let epoch = (old + 1).max(leader_term);
        let record = ShardRecord { host: host.to_string(), identity: live.identity.clone(), epoch };
        Some(LeaseGrant { shard, record, version })
    }

    /// The transaction that grants the first of these leases, as many as fit into it.
    pub fn lease_transaction(&self, leases: &[LeaseGrant]) -> Option<Transaction> {
        let leader_term = self.role.leader_key_version?;
        let mut conditions = vec![Condition { key: records::LEADER_KEY.into(), version: leader_term }];
        let mut changes = Vec::new();
        for lease in leases.iter().take(self.limits().changes) {
            let key = records::shard_key(lease.shard);
            conditions.push(Condition { key: key.clone(), version: lease.version });
            let value = serde_json::to_value(&lease.record).ok()?;
            changes.push(Change::Set { key, value, lease: None });
        }
        (!changes.is_empty()).then_some(Transaction { conditions, changes })
    }

    /// Becomes holder of the shards that were leased to this process, as soon as its
    /// replica of the records has caught up with the lease. Everything that earlier
    /// holders committed is known by then, and they can commit nothing more, since each
    /// of their commits is conditional on the shard's former version.
    pub fn take_leased_shards(&mut self, now: Instant) {
        if self.role.lease_id.is_none() {
            // This process has just stepped down, so the leader counts these shards as
            // having no live holder.
            return;
        }
        let taken: Vec<(u32, ShardLease)> = self
            .shards
            .iter()
            .filter(|(n, (record, version))| {
                record.identity == self.identity
                    && *version <= self.applied_revision
                    && !self.role.leased_shards.contains_key(n)
            })
            .map(|(n, (record, version))| (*n, ShardLease { epoch: record.epoch, version: *version }))
            .collect();
        if taken.is_empty() {
            return;
        }
        tracing::info!(blocks = ?taken.iter().map(|(n, h)| (*n, h.epoch)).collect::<Vec<_>>(), "shard leases taken over");
        for (shard, shard_lease) in taken {
            self.start_holding(shard, shard_lease, now);
        }
    }

    /// Starts to hold a shard. What this process knew of the state of its machines is
    /// reset, since only heartbeats to the new holder count.
    fn start_holding(&mut self, shard: u32, shard_lease: ShardLease, now: Instant) {
        self.role.leased_shards.insert(shard, shard_lease);
        self.load_machine_segments(shard);
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
        self.wakeups.commit = true;
        self.wakeups.fleet = true;
    }

    /// Stops holding a shard. Proposed placements with a commit in flight are resolved by
    /// its outcome, since the commit is conditional on the shard's version. Other
    /// proposals are dropped, and so are exits that are not committed: the workers report
    /// them again to the next holder.
    pub(super) fn lose_shard(&mut self, shard: u32, why: &str, now: Instant) {
        if self.role.leased_shards.remove(&shard).is_none() {
            return;
        }
        tracing::info!(block = shard, why, "shard lease lost");
        let jobs: Vec<Arc<str>> = self.open_jobs.iter().cloned().collect();
        for id in jobs {
            let Some(Job::Open(job)) = self.jobs.get_mut(&id) else { continue };
            let resources = job.requirements.resources;
            for p in job.placed.values_mut().filter(|p| p.segment.shard == shard && p.resources_freed) {
                p.resources_freed = false;
                if let Some(machine) = self.machines.get_mut(&p.machine) {
                    let before = machine.free_resources().cpus;
                    machine.booked += resources;
                    update_free_cpu_index(&mut self.machines_by_free_cpus, machine, before);
                }
            }
            let placed = &job.placed;
            job.uncommitted_exits.retain(|i, _| placed.get(i).is_none_or(|p| p.segment.shard != shard));
        }
        self.withdraw_shard_proposals(shard);
        self.commit_queue.drop_deferred_exits(shard);
        self.inherited_history.retain(|id, _| id.shard != shard);
        self.proposed_bytes.retain(|id, _| id.shard != shard);
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

    /// The lease of a shard, if this process holds it and may act on it now: its role must
    /// have been confirmed recently by the state service.
    pub fn active_lease(&self, shard: u32, now: Instant) -> Option<ShardLease> {
        self.role.leased_shards.get(&shard).copied().filter(|_| self.in_contact(now))
    }

    /// Whether this process holds a shard, even if it may not act on the lease now.
    pub fn is_holder(&self, shard: u32) -> bool {
        self.role.leased_shards.contains_key(&shard)
    }

    /// Host of the live controller, other than this one, that holds a shard and should
    /// get the heartbeats of its workers.
    pub fn remote_holder_host(&self, shard: u32) -> Option<&str> {
        let (record, _) = self.shards.get(&shard)?;
        let live = self.live_controllers.get(&record.host).is_some_and(|l| l.identity == record.identity);
        (live && record.identity != self.identity).then_some(record.host.as_str())
    }
}
