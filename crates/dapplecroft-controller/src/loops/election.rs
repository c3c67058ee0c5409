//! Liveness, the election of the leader, and the leases of shards.

use crate::core::Core;
use crate::node::{Node, lock, now};
use crate::records::{self, LeaderRecord, LivenessRecord};
use dapplecroft_net::Outcome;
use dapplecroft_state::TransactionResult;
use dapplecroft_wire::state::{Change, Condition, Transaction};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

fn value<T: Serialize>(record: &T) -> serde_json::Value {
    serde_json::to_value(record).unwrap_or_default()
}

impl Node {
    /// Renews this node's lease and has its role confirmed, again and again.
    /// Nothing else is done in this loop: on a busy node every wait takes long,
    /// and the lease must not end of that.
    pub(crate) async fn beat_loop(self: Arc<Self>) {
        let heartbeat_interval = self.options.node_lease / 4;
        while !self.with(|core| core.loaded) {
            let _ = timeout(heartbeat_interval / 4, self.wake_heartbeat.notified()).await;
        }
        loop {
            let begun = now();
            let ok = self.touch().await;
            let pause = if ok { heartbeat_interval } else { heartbeat_interval / 4 };
            let left = pause.saturating_sub(now().saturating_duration_since(begun));
            let _ = timeout(left.max(heartbeat_interval / 20), self.wake_heartbeat.notified()).await;
        }
    }

    /// Stands for election when there is no leader, takes up what was won or
    /// leased, and as leader leases shards.
    pub(crate) async fn role_loop(self: Arc<Self>) {
        let mut random = StdRng::seed_from_u64(self.seed);
        let heartbeat_interval = self.options.node_lease / 4;
        loop {
            if self.with(|core| core.loaded) {
                self.stand(&mut random).await;
                self.settle_layout().await;
                self.take_up().await;
                self.lease_shards().await;
            }
            let _ = timeout(heartbeat_interval, self.wake_role.notified()).await;
        }
    }

    /// Renews the lease, or gets one with this node's liveness key on it.
    async fn touch(&self) -> bool {
        let sent = now();
        let Some(lease) = self.with(|core| core.role.lease_id) else {
            return self.enter().await;
        };
        let (touched, ()) = tokio::join!(self.state.renew_lease(lease), self.confirm());
        match touched {
            Outcome::Done(true) => {
                *lock(&self.touched) = Some(sent);
                self.set_rates();
                // A late write of an earlier process of this node may have taken
                // the place of this one's entry.
                let own = self.with(|core| {
                    core.live_controllers
                        .get(&self.settings.host_name)
                        .is_some_and(|l| l.identity == core.identity)
                });
                own || self.announce(lease).await
            }
            Outcome::Done(false) => {
                tracing::info!("lease ended");
                self.with(|core| {
                    core.role.lease_id = None;
                    core.step_down("lease ended", now());
                });
                false
            }
            Outcome::Refused(error) | Outcome::Unknown(error) => {
                tracing::debug!(error, "lease not renewed");
                false
            }
        }
    }

    async fn enter(&self) -> bool {
        if self.with(|core| core.role.abstains_until.is_some_and(|until| now() < until)) {
            return false;
        }
        let host = &self.settings.host_name;
        // A key of the same name belongs to a process that this one replaces:
        // there is one at a time, so it has ended and its lease can go at once.
        let before = self.with(|core| {
            core.live_controllers.get(host).filter(|l| l.identity != core.identity).map(|l| l.lease)
        });
        if let Some(lease) = before {
            tracing::info!("ending the lease of this node's earlier process");
            let _ = self.state.revoke_lease(lease).await;
        }
        let Outcome::Done(lease) = self.state.grant_lease(self.options.node_lease).await else {
            return false;
        };
        if self.announce(lease).await {
            return true;
        }
        let _ = self.state.revoke_lease(lease).await;
        false
    }

    /// Writes this process's entry on its lease.
    async fn announce(&self, lease: u64) -> bool {
        let identity = self.with(|core| core.identity.clone());
        let admission = self.options.admission.is_some();
        let record = LivenessRecord { identity, lease, layout: records::NEWEST_LAYOUT, admission };
        let key = records::liveness_key(&self.settings.host_name);
        let change = Change::Set { key, value: value(&record), lease: Some(lease) };
        let transaction = Transaction { conditions: Vec::new(), changes: vec![change] };
        let outcome = self.state.transact(&transaction, true).await;
        let Outcome::Done(TransactionResult::Committed(revision)) = outcome else { return false };
        *lock(&self.touched) = Some(now());
        self.with(|core| {
            core.role.lease_id = Some(lease);
            core.apply_changes(&transaction.changes, revision, now());
        });
        self.wake_role.notify_one();
        true
    }

    /// Leaves this process's mark that it knows the new layout and, as leader,
    /// makes the switch to it once all members have left theirs.
    async fn settle_layout(&self) {
        for step in [Core::supported_layout_transaction, Core::layout_switch_transaction] {
            let ready = |core: &mut Core| core.role.lease_id.and_then(|_| step(core));
            let Some(transaction) = self.with(ready) else { continue };
            match self.state.transact(&transaction, true).await {
                Outcome::Done(TransactionResult::Committed(revision)) => {
                    self.with(|core| core.apply_changes(&transaction.changes, revision, now()));
                    self.set_rates();
                }
                Outcome::Done(TransactionResult::Conflict(failed)) => {
                    for key in failed {
                        self.refresh(&key, || true).await;
                    }
                }
                // If it is carried out all the same, the records say so.
                Outcome::Refused(_) | Outcome::Unknown(_) => {}
            }
        }
    }

    /// Stands for election if there is no leader.
    async fn stand(&self, random: &mut StdRng) {
        let vacant = |core: &mut Core| {
            (core.leader.is_none() && core.role.lease_id.is_some()).then_some(core.role.lease_id).flatten()
        };
        let own = self.with(|core| {
            let (leader, version) = core.leader.as_ref()?;
            let unused = core.role.leader_key_version.is_none() && core.role.lease_id.is_some();
            (unused && leader.identity == core.identity).then_some(*version)
        });
        if let Some(version) = own {
            tracing::info!(term = version, "elected leader");
            self.with(|core| core.lead(version));
            self.set_rates();
            return;
        }
        if self.with(vacant).is_none() {
            return;
        }
        // Not all at once: whoever is first saves the others the attempt.
        sleep(Duration::from_millis(random.random_range(0..80))).await;
        let Some(lease) = self.with(vacant) else { return };
        let identity = self.with(|core| core.identity.clone());
        let record = LeaderRecord { host: self.settings.host_name.clone(), identity };
        let transaction = Transaction {
            conditions: vec![Condition { key: records::LEADER_KEY.into(), version: 0 }],
            changes: vec![Change::Set {
                key: records::LEADER_KEY.into(),
                value: value(&record),
                lease: Some(lease),
            }],
        };
        match self.state.transact(&transaction, true).await {
            Outcome::Done(TransactionResult::Committed(revision)) => {
                tracing::info!(term = revision, "elected leader");
                self.with(|core| {
                    core.apply_changes(&transaction.changes, revision, now());
                    core.lead(revision);
                });
                self.set_rates();
            }
            Outcome::Done(TransactionResult::Conflict(_)) => {
                self.refresh(records::LEADER_KEY, || true).await;
            }
            // If it is carried out all the same, now or late, the key shows up
            // as this process's own.
            Outcome::Refused(_) | Outcome::Unknown(_) => {
                sleep(Duration::from_millis(200)).await;
            }
        }
    }

    /// Takes up what was won or leased to this process, once its copy of the
    /// records has caught up, and has it confirmed at once.
    async fn take_up(&self) {
        let changed = self.with(|core| {
            let before = (core.role.leased_shards.len(), core.leads(now()));
            core.begin_to_lead(now());
            core.take_leased_shards(now());
            core.role.last_confirmation_sent.is_none() && core.has_role()
                || before != (core.role.leased_shards.len(), core.leads(now()))
        });
        if changed {
            self.set_rates();
            self.confirm().await;
        }
    }

    /// As leader, leases shards that nobody holds, and evens out the others.
    async fn lease_shards(&self) {
        let (leases, transaction) = self.with(|core| {
            let leases = core.plan_leases(now());
            let transaction = core.lease_transaction(&leases);
            (leases, transaction)
        });
        let Some(transaction) = transaction else { return };
        match self.state.transact(&transaction, true).await {
            Outcome::Done(TransactionResult::Committed(revision)) => {
                let given: Vec<(u32, &str)> =
                    leases.iter().map(|l| (l.shard, l.record.host.as_str())).collect();
                tracing::info!(?given, "blocks leased");
                self.with(|core| core.apply_changes(&transaction.changes, revision, now()));
                self.wake_role.notify_one();
            }
            Outcome::Done(TransactionResult::Conflict(failed)) => {
                for key in failed {
                    self.refresh(&key, || true).await;
                }
            }
            // If it is carried out all the same, the records say so.
            Outcome::Refused(_) | Outcome::Unknown(_) => sleep(Duration::from_millis(200)).await,
        }
    }

    /// As leader or holder, asks whether all that is still this process's.
    async fn confirm(&self) {
        let (conditions, generation) = self.with(|core| (core.role_conditions(), core.generation()));
        let sent: Instant = now();
        let most = 4 * self.with(|core| core.limits().changes);
        let mut confirmed = None;
        for part in conditions.chunks(most) {
            let transaction = Transaction { conditions: part.to_vec(), changes: Vec::new() };
            match self.state.transact(&transaction, true).await {
                Outcome::Done(TransactionResult::Committed(revision)) => {
                    confirmed = confirmed.max(Some(revision))
                }
                Outcome::Done(TransactionResult::Conflict(failed)) => {
                    tracing::info!(?failed, "not this process's any more");
                    self.with(|core| failed.iter().for_each(|key| core.role_lost(key, now())));
                    for key in failed {
                        self.refresh(&key, || true).await;
                    }
                    self.wake_role.notify_one();
                    return;
                }
                Outcome::Refused(error) | Outcome::Unknown(error) => {
                    tracing::debug!(error, "role not confirmed");
                    return;
                }
            }
        }
        if let Some(revision) = confirmed {
            self.with(|core| core.confirmed_for(generation, sent, revision));
        }
    }

    /// Placements go with the shards; all nodes write what users ask of them.
    pub(crate) fn set_rates(&self) {
        let params = &self.settings.params;
        let (share, mixed, limits) =
            self.with(|core| (core.write_share(), core.uses_legacy_layout(), core.limits()));
        self.committer.set_max_changes(limits.changes);
        // The next limits come without notice: the first refusal tells of them.
        self.state.set_expect_lower_limits(!mixed && params.state.next.is_some());
        let (rps, writes) = params.state.rates(self.state.lower_limits_detected());
        let rps = rps / f64::from(params.nodes.max(1));
        let (lent, borrowed) = self.loans();
        self.state.set_rates(rps, (writes * share * 0.94 - lent).max(2.0) + borrowed);
    }

    /// Changes a second that are this node's own.
    pub(crate) fn own_write_rate(&self) -> f64 {
        let (_, writes) = self.settings.params.state.rates(self.state.lower_limits_detected());
        writes * self.with(|core| core.write_share()) * 0.94
    }

    /// Watches whether this node has lost the state service, and whether it is
    /// alone in that: then a peer answers its users.
    pub(crate) async fn health_loop(self: Arc<Self>) {
        let heartbeat_interval = self.options.node_lease / 4;
        loop {
            sleep(heartbeat_interval / 2).await;
            let age = self.state_age();
            let loaded = self.with(|core| core.loaded);
            let lost = !loaded || age.is_none_or(|a| a > heartbeat_interval.mul_f64(1.6));
            let fresh = if lost { self.fresh_peer(age, heartbeat_interval).await } else { None };
            self.shared_outage.store(lost && fresh.is_none(), Ordering::Relaxed);
            let before = std::mem::replace(&mut *lock(&self.helper), fresh);
            if before.is_some() != fresh.is_some() {
                tracing::info!(alone = fresh.is_some(), "whether this node alone has lost the state service");
            }
        }
    }

    /// A peer that has been in contact with the state service since this node
    /// was: in an outage that all share, nodes notice at about the same time.
    async fn fresh_peer(&self, age: Option<Duration>, heartbeat_interval: Duration) -> Option<usize> {
        let sights = self.settings.peers.iter().map(|peer| {
            let (peers, peer) = (self.peers.clone(), peer.clone());
            tokio::spawn(async move { peers.sight(&peer).await })
        });
        let limit =
            age.unwrap_or(Duration::MAX).saturating_sub(heartbeat_interval).min(heartbeat_interval * 2);
        let mut best = None;
        for (n, sight) in sights.collect::<Vec<_>>().into_iter().enumerate() {
            if let Ok(Some(sight)) = sight.await
                && sight.ready
                && u128::from(sight.state_age_ms) < limit.as_millis()
            {
                let seen = (sight.state_age_ms, n);
                best = Some(best.map_or(seen, |b: (u64, usize)| b.min(seen)));
            }
        }
        best.map(|(_, n)| n)
    }
}
