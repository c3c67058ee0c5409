//! Leadership, and how long this process may act without a confirmation.

use super::{CommitTarget, Core, fleet};
use crate::jobs::Job;
use crate::records;
use dapplecroft_wire::state::Condition;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl Core {
    /// The generation of this process's role: another one each time it was given up.
    pub fn generation(&self) -> u64 {
        self.role.generation
    }

    /// Notes a confirmation that was asked for by a generation of its role: that of
    /// an earlier one does not count.
    pub fn confirmed_for(&mut self, generation: u64, sent: Instant, revision: u64) {
        if generation == self.role.generation {
            self.confirmed(sent, revision);
        }
    }

    /// Notes a confirmation of this node's role: sent when, at which revision.
    /// It counts once all changes up to that revision are known, so that a
    /// holder in contact has heard of every cancellation before it.
    pub fn confirmed(&mut self, sent: Instant, revision: u64) {
        if revision <= self.applied_revision {
            self.role.contact = self.role.contact.max(Some(sent));
        } else if self.role.pending.len() < 64 {
            self.role.pending.push_back((sent, revision));
        }
    }

    /// The conditions that confirm this process's role: the leader's key and
    /// its shards are unchanged.
    pub fn role_conditions(&self) -> Vec<Condition> {
        let leader = self.role.leadership.map(|version| Condition { key: records::LEADER.into(), version });
        let shards = self.role.leased_shards.iter();
        leader
            .into_iter()
            .chain(shards.map(|(n, h)| Condition { key: records::shard_key(*n), version: h.version }))
            .collect()
    }

    /// Takes note that a key of this process's role is no longer what it was.
    pub fn role_lost(&mut self, key: &str, now: Instant) {
        match records::Key::parse(key) {
            Some(records::Key::Leader) => {
                self.resign("replaced", now);
                // The copy may still have this process's own key, and it would
                // take up its old role by that: not before a confirmation.
                self.forget_contact();
            }
            Some(records::Key::Shard(shard)) => self.lose_shard(shard, "leased to another", now),
            _ => {}
        }
    }

    /// Takes note of having become leader.
    pub fn lead(&mut self, version: u64) {
        self.role.leadership = Some(version);
        self.federation.begin_term();
        self.fleet = fleet::FleetState::default();
        self.groups.retain(|_, g| g.version > 0);
        self.wakeups.role = true;
    }

    /// As leader, begins its work once all that earlier leaders committed is
    /// known: nothing of theirs can be committed any more, since every such
    /// commit names their key's version.
    pub fn begin_to_lead(&mut self, now: Instant) {
        let ready = self.role.leadership.is_some_and(|l| l <= self.applied_revision);
        if ready && !self.fleet.ready() {
            self.fleet.begin(now);
            self.reset_credit_planner();
            let open: Vec<Arc<str>> = self.open.iter().cloned().collect();
            for id in open {
                self.finish_if_over(&id);
            }
            self.wakeups.place = true;
            self.wakeups.fleet = true;
        }
    }

    /// Gives up leadership. Shards stay with their holder: the next leader
    /// finds them in their records.
    pub fn resign(&mut self, why: &str, _now: Instant) {
        if self.role.leadership.take().is_some() {
            tracing::info!(why, "no longer leader");
        }
        self.wakeups.role = true;
        // Allocations that are on their way are settled by their commits, which
        // name the leader's key; the others are void.
        let jobs: Vec<Arc<str>> = self.open.iter().cloned().collect();
        for id in jobs {
            let Some(Job::Open(job)) = self.jobs.get_mut(&id) else { continue };
            let decided = !(job.allocating.is_empty() && job.revoking.is_empty());
            if decided && !self.commits.is_in_flight(&CommitTarget::Job(id.clone())) {
                job.allocating.clear();
                job.revoking.clear();
                self.rederive(&id);
                self.drop_unallocated(&id);
            }
        }
        self.fleet = fleet::FleetState::default();
        self.groups.retain(|_, g| g.version > 0);
        self.unplaced.clear();
    }

    /// Gives up everything that hangs on this process's lease.
    pub fn step_down(&mut self, why: &str, now: Instant) {
        self.resign(why, now);
        let shards: Vec<u32> = self.role.leased_shards.keys().copied().collect();
        for shard in shards {
            self.lose_shard(shard, why, now);
        }
        self.forget_contact();
    }

    fn forget_contact(&mut self) {
        self.role.contact = None;
        self.role.pending.clear();
        self.role.generation += 1;
    }

    /// The longest time that this process acts without a confirmation: its
    /// leases' term, or less if a cancellation that it has not heard of asks
    /// for it.
    pub fn contact_limit(&self) -> Duration {
        self.settings.contact_limit().min(self.options.shard_lease)
    }

    /// How long ago the request was sent that last confirmed this process's role.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.role.contact.map(|at| now.saturating_duration_since(at))
    }

    /// Whether this process may act under its leases now.
    pub fn in_contact(&self, now: Instant) -> bool {
        self.contact_age(now).is_some_and(|age| age <= self.contact_limit())
    }

    /// Whether this process leads, knows what its predecessors did, and may act.
    pub fn leads(&self, now: Instant) -> bool {
        self.role.leadership.is_some() && self.fleet.ready() && self.in_contact(now)
    }

    /// The leader's node, if it is another one and up.
    pub fn leader_host(&self) -> Option<&str> {
        let (leader, _) = self.leader.as_ref()?;
        let live = self.live_controllers.get(&leader.host).is_some_and(|l| l.identity == leader.identity);
        (live && leader.identity != self.identity).then_some(leader.host.as_str())
    }

    /// Whether this process is leader or holder.
    pub fn has_role(&self) -> bool {
        self.role.leadership.is_some() || !self.role.leased_shards.is_empty()
    }

    /// This node's part of the state service's writes: users write at every
    /// node, the leader a little more, and placements go with the shards.
    pub fn write_share(&self) -> f64 {
        let nodes = f64::from(self.settings.params.nodes.max(1));
        let sizes = self.shard_sizes();
        let all: usize = sizes.values().sum();
        let own: usize = self.role.leased_shards.keys().filter_map(|b| sizes.get(b)).sum();
        let machines = match all {
            0 => f64::from(u8::from(self.role.leadership.is_some())),
            _ => own as f64 / all as f64,
        };
        // Many small tasks take more changes than a few large ones.
        let bytes = |mine: bool| -> usize {
            let of = self.segments.iter().filter(|(id, _)| !mine || self.is_holder(id.shard));
            of.map(|(_, l)| l.size).sum()
        };
        let held = match bytes(false) {
            0 => machines,
            all => (machines + bytes(true) as f64 / all as f64) / 2.0,
        };
        0.24 / nodes + 0.22 * f64::from(u8::from(self.role.leadership.is_some())) + 0.54 * held
    }
}

#[cfg(test)]
mod tests;
