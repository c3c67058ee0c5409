//! Leadership and shard leases of this process, and how long it may act on them without a confirmation
//! from the state service.

use super::{CommitTarget, Core, fleet};
use crate::jobs::Job;
use crate::records;
use dapplecroft_wire::state::Condition;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl Core {
    /// The generation of this process's role; it increases each time the role is given up.
    pub fn role_generation(&self) -> u64 {
        self.role.generation
    }

    /// Records a confirmation that was requested in a given generation of the role. It is ignored if the
    /// role has been given up since.
    pub fn confirm_role_for_generation(&mut self, generation: u64, sent: Instant, revision: u64) {
        if generation == self.role.generation {
            self.confirm_role(sent, revision);
        }
    }

    /// Records a confirmation of this process's role: when the request was sent, and the revision at which
    /// the state service confirmed it. It counts only once the record replica has applied all changes up to
    /// that revision, so that the replica of a shard holder in contact contains every cancellation
    /// committed before.
    pub fn confirm_role(&mut self, sent: Instant, revision: u64) {
        if revision <= self.applied_revision {
            self.role.last_confirmation_sent = self.role.last_confirmation_sent.max(Some(sent));
        } else if self.role.unapplied_confirmations.len() < 64 {
            self.role.unapplied_confirmations.push_back((sent, revision));
        }
    }

    /// The conditions that confirm this process's role: its leader key and its shards' records are
    /// unchanged.
    pub fn role_conditions(&self) -> Vec<Condition> {
        let leader = self
            .role
            .leader_key_version
            .map(|version| Condition { key: records::LEADER_KEY.into(), version });
        let shards = self.role.leased_shards.iter();
        leader
            .into_iter()
            .chain(shards.map(|(n, h)| Condition { key: records::shard_key(*n), version: h.version }))
            .collect()
    }

    /// Gives up the part of this process's role that depends on `key`, after the state service reported
    /// that the key has changed.
    pub fn role_lost(&mut self, key: &str, now: Instant) {
        match records::Key::parse(key) {
            Some(records::Key::Leader) => {
                self.resign("replaced", now);
                // The record replica may lag behind and still show this process's own leader key, by which
                // it would become leader again. Without a new confirmation it must not act on that.
                self.clear_confirmations();
            }
            Some(records::Key::Shard(shard)) => self.lose_shard(shard, "leased to another controller", now),
            _ => {}
        }
    }

    /// Records that this process has become leader; `version` is the version of its leader key.
    pub fn become_leader(&mut self, version: u64) {
        self.role.leader_key_version = Some(version);
        self.federation.begin_term();
        self.fleet = fleet::FleetState::default();
        self.groups.retain(|_, g| g.version > 0);
        self.wakeups.role = true;
    }

    /// Starts the leader's work once the record replica has applied everything that earlier leaders
    /// committed. They can commit nothing more, since each of their commits is conditional on the version
    /// of their own leader key.
    pub fn start_leading_when_caught_up(&mut self, now: Instant) {
        let ready = self.role.leader_key_version.is_some_and(|l| l <= self.applied_revision);
        if ready && !self.fleet.has_started() {
            self.fleet.start(now);
            self.reset_credit_planner();
            let open: Vec<Arc<str>> = self.open_jobs.iter().cloned().collect();
            for id in open {
                self.commit_if_finished(&id);
            }
            self.wakeups.place = true;
            self.wakeups.fleet = true;
        }
    }

    /// Gives up leadership. Shard leases stay with their holders; the next leader reads them from the
    /// shards' records.
    pub fn resign(&mut self, why: &str, _now: Instant) {
        if self.role.leader_key_version.take().is_some() {
            tracing::info!(why, "no longer leader");
        }
        self.wakeups.role = true;
        // An allocation whose commit is in flight is settled by that commit, which is conditional on the
        // leader key. The others are dropped.
        let jobs: Vec<Arc<str>> = self.open_jobs.iter().cloned().collect();
        for id in jobs {
            let Some(Job::Open(job)) = self.jobs.get_mut(&id) else { continue };
            let has_pending_decision = !(job.allocating.is_empty() && job.revoking.is_empty());
            if has_pending_decision && !self.commit_queue.is_in_flight(&CommitTarget::Job(id.clone())) {
                job.allocating.clear();
                job.revoking.clear();
                self.refresh_job(&id);
                self.withdraw_unallocated_proposals(&id);
            }
        }
        self.fleet = fleet::FleetState::default();
        self.groups.retain(|_, g| g.version > 0);
        self.unplaced_demand.clear();
    }

    /// Gives up leadership and all shards.
    pub fn step_down(&mut self, why: &str, now: Instant) {
        self.resign(why, now);
        let shards: Vec<u32> = self.role.leased_shards.keys().copied().collect();
        for shard in shards {
            self.lose_shard(shard, why, now);
        }
        self.clear_confirmations();
    }

    fn clear_confirmations(&mut self) {
        self.role.last_confirmation_sent = None;
        self.role.unapplied_confirmations.clear();
        self.role.generation += 1;
    }

    /// How long this process may act without a confirmation: the term of its shard leases, or less if
    /// that is needed to end tasks in time after a cancellation that is not in its replica yet.
    pub fn contact_limit(&self) -> Duration {
        self.settings.contact_limit().min(self.options.shard_lease)
    }

    /// Time since the request was sent that last confirmed this process's role; `None` if it is
    /// unconfirmed.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.role.last_confirmation_sent.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the last confirmation is recent enough for this process to act on its leases.
    pub fn in_contact(&self, now: Instant) -> bool {
        self.contact_age(now).is_some_and(|age| age <= self.contact_limit())
    }

    /// Whether this process is leader, has applied what earlier leaders committed, and is in contact.
    pub fn leads(&self, now: Instant) -> bool {
        self.role.leader_key_version.is_some() && self.fleet.has_started() && self.in_contact(now)
    }

    /// The leader's host, if the leader is another process and alive.
    pub fn leader_host(&self) -> Option<&str> {
        let (leader, _) = self.leader.as_ref()?;
        let live = self.live_controllers.get(&leader.host).is_some_and(|l| l.identity == leader.identity);
        (live && leader.identity != self.identity).then_some(leader.host.as_str())
    }

    /// Whether this process is leader or holds a shard.
    pub fn has_role(&self) -> bool {
        self.role.leader_key_version.is_some() || !self.role.leased_shards.is_empty()
    }

    /// This controller's share of the state service's write rate. Users' requests cause writes at every
    /// controller, the leader writes a little more, and placements are written by the shards' holders.
    pub fn write_share(&self) -> f64 {
        let nodes = f64::from(self.settings.params.nodes.max(1));
        let sizes = self.shard_sizes();
        let total: usize = sizes.values().sum();
        let own: usize = self.role.leased_shards.keys().filter_map(|shard| sizes.get(shard)).sum();
        let machine_share = match total {
            0 => f64::from(u8::from(self.role.leader_key_version.is_some())),
            _ => own as f64 / total as f64,
        };
        // Many small tasks cause more writes than a few large ones, so the size of the segments counts
        // as much as the number of machines.
        let bytes = |held_only: bool| -> usize {
            let segments = self.segments.iter().filter(|(id, _)| !held_only || self.is_holder(id.shard));
            segments.map(|(_, segment)| segment.size_bytes).sum()
        };
        let placement_share = match bytes(false) {
            0 => machine_share,
            total => (machine_share + bytes(true) as f64 / total as f64) / 2.0,
        };
        0.24 / nodes
            + 0.22 * f64::from(u8::from(self.role.leader_key_version.is_some()))
            + 0.54 * placement_share
    }
}

#[cfg(test)]
mod tests;
