//! The controller's own lease, leader election, shard leases, and contact with the state service.

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

fn to_json<T: Serialize>(record: &T) -> serde_json::Value {
    serde_json::to_value(record).unwrap_or_default()
}

impl Node {
    /// Renews this controller's lease and confirms its roles periodically. This loop does
    /// nothing else: on a busy node every await can take long, and such a delay must not let
    /// the lease expire.
    pub(crate) async fn lease_renewal_loop(self: Arc<Self>) {
        let heartbeat_interval = self.options.node_lease / 4;
        while !self.with(|core| core.loaded) {
            let _ = timeout(heartbeat_interval / 4, self.wake_heartbeat.notified()).await;
        }
        loop {
            let started_at = now();
            let ok = self.renew_lease().await;
            let pause = if ok { heartbeat_interval } else { heartbeat_interval / 4 };
            let left = pause.saturating_sub(now().saturating_duration_since(started_at));
            let _ = timeout(left.max(heartbeat_interval / 20), self.wake_heartbeat.notified()).await;
        }
    }

    /// Runs for leader when there is none, starts acting on newly won leadership and newly
    /// leased shards, and as leader leases shards to controllers.
    pub(crate) async fn role_loop(self: Arc<Self>) {
        let mut random = StdRng::seed_from_u64(self.seed);
        let heartbeat_interval = self.options.node_lease / 4;
        loop {
            if self.with(|core| core.loaded) {
                self.run_for_leader(&mut random).await;
                self.advance_layout().await;
                self.assume_roles().await;
                self.lease_shards().await;
            }
            let _ = timeout(heartbeat_interval, self.wake_role.notified()).await;
        }
    }

    /// Renews this controller's lease, or acquires one if it has none. Returns whether the lease
    /// is valid and this process's live record is attached to it.
    async fn renew_lease(&self) -> bool {
        let sent_at = now();
        let Some(lease) = self.with(|core| core.role.lease_id) else {
            return self.acquire_lease().await;
        };
        let (touched, ()) = tokio::join!(self.state.renew_lease(lease), self.confirm_roles());
        match touched {
            Outcome::Done(true) => {
                *lock(&self.lease_renewed_at) = Some(sent_at);
                self.set_rates();
                // A delayed write by an earlier process on this host may have overwritten this
                // process's live record.
                let has_own_record = self.with(|core| {
                    core.live_controllers
                        .get(&self.settings.host_name)
                        .is_some_and(|l| l.identity == core.identity)
                });
                has_own_record || self.write_live_record(lease).await
            }
            Outcome::Done(false) => {
                tracing::info!("this controller's lease has expired");
                self.with(|core| {
                    core.role.lease_id = None;
                    core.step_down("lease ended", now());
                });
                false
            }
            Outcome::Refused(error) | Outcome::Unknown(error) => {
                tracing::debug!(error, "the lease could not be renewed");
                false
            }
        }
    }

    /// Gets a new lease and writes this process's live record with it. Revokes the lease again
    /// if the record cannot be written.
    async fn acquire_lease(&self) -> bool {
        if self.with(|core| core.role.abstains_until.is_some_and(|until| now() < until)) {
            return false;
        }
        let host = &self.settings.host_name;
        // A live record under this host name with another identity belongs to the process that
        // this one replaces. Only one process runs per host, so the earlier one has exited and
        // its lease can be revoked at once.
        let earlier_lease = self.with(|core| {
            core.live_controllers.get(host).filter(|l| l.identity != core.identity).map(|l| l.lease)
        });
        if let Some(lease) = earlier_lease {
            tracing::info!("revoking the lease of the earlier process on this host");
            let _ = self.state.revoke_lease(lease).await;
        }
        let Outcome::Done(lease) = self.state.grant_lease(self.options.node_lease).await else {
            return false;
        };
        if self.write_live_record(lease).await {
            return true;
        }
        let _ = self.state.revoke_lease(lease).await;
        false
    }

    /// Writes this process's live record, attached to its lease so that the record disappears
    /// when the lease expires.
    async fn write_live_record(&self, lease: u64) -> bool {
        let identity = self.with(|core| core.identity.clone());
        let admission = self.options.admission.is_some();
        let record = LivenessRecord { identity, lease, layout: records::NEWEST_LAYOUT, admission };
        let key = records::liveness_key(&self.settings.host_name);
        let change = Change::Set { key, value: to_json(&record), lease: Some(lease) };
        let transaction = Transaction { conditions: Vec::new(), changes: vec![change] };
        let outcome = self.state.transact(&transaction, true).await;
        let Outcome::Done(TransactionResult::Committed(revision)) = outcome else { return false };
        *lock(&self.lease_renewed_at) = Some(now());
        self.with(|core| {
            core.role.lease_id = Some(lease);
            core.apply_changes(&transaction.changes, revision, now());
        });
        self.wake_role.notify_one();
        true
    }

    /// Records that this process supports the new record layout and, as leader, switches the
    /// cluster to that layout once all members have recorded their support.
    async fn advance_layout(&self) {
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
                // If the transaction was committed after all, the watch delivers its changes.
                Outcome::Refused(_) | Outcome::Unknown(_) => {}
            }
        }
    }

    /// Tries to become leader if there is none. Also starts a term when the leader record names
    /// this process although it does not act as leader yet.
    async fn run_for_leader(&self, random: &mut StdRng) {
        let lease_if_leaderless = |core: &mut Core| {
            (core.leader.is_none() && core.role.lease_id.is_some()).then_some(core.role.lease_id).flatten()
        };
        let own_version = self.with(|core| {
            let (leader, version) = core.leader.as_ref()?;
            let not_leading = core.role.leader_key_version.is_none() && core.role.lease_id.is_some();
            (not_leading && leader.identity == core.identity).then_some(*version)
        });
        if let Some(version) = own_version {
            tracing::info!(term = version, "elected leader");
            self.with(|core| core.become_leader(version));
            self.set_rates();
            return;
        }
        if self.with(lease_if_leaderless).is_none() {
            return;
        }
        // A random delay spreads the candidates: the first one to win saves the others a request.
        sleep(Duration::from_millis(random.random_range(0..80))).await;
        let Some(lease) = self.with(lease_if_leaderless) else { return };
        let identity = self.with(|core| core.identity.clone());
        let record = LeaderRecord { host: self.settings.host_name.clone(), identity };
        let transaction = Transaction {
            conditions: vec![Condition { key: records::LEADER_KEY.into(), version: 0 }],
            changes: vec![Change::Set {
                key: records::LEADER_KEY.into(),
                value: to_json(&record),
                lease: Some(lease),
            }],
        };
        match self.state.transact(&transaction, true).await {
            Outcome::Done(TransactionResult::Committed(revision)) => {
                tracing::info!(term = revision, "elected leader");
                self.with(|core| {
                    core.apply_changes(&transaction.changes, revision, now());
                    core.become_leader(revision);
                });
                self.set_rates();
            }
            Outcome::Done(TransactionResult::Conflict(_)) => {
                self.refresh(records::LEADER_KEY, || true).await;
            }
            // If the transaction was or will be committed after all, the watch delivers a leader
            // record with this process's identity, which is handled above.
            Outcome::Refused(_) | Outcome::Unknown(_) => {
                sleep(Duration::from_millis(200)).await;
            }
        }
    }

    /// Starts acting as leader or shard holder for roles that this process has obtained, once
    /// its replica of the records has caught up with them, and confirms the roles at once.
    async fn assume_roles(&self) {
        let changed = self.with(|core| {
            let before = (core.role.leased_shards.len(), core.leads(now()));
            core.start_leading_when_caught_up(now());
            core.take_leased_shards(now());
            core.role.last_confirmation_sent.is_none() && core.has_role()
                || before != (core.role.leased_shards.len(), core.leads(now()))
        });
        if changed {
            self.set_rates();
            self.confirm_roles().await;
        }
    }

    /// As leader, leases shards without a holder and rebalances the others among controllers.
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
                tracing::info!(?given, "shards leased");
                self.with(|core| core.apply_changes(&transaction.changes, revision, now()));
                self.wake_role.notify_one();
            }
            Outcome::Done(TransactionResult::Conflict(failed)) => {
                for key in failed {
                    self.refresh(&key, || true).await;
                }
            }
            // If the transaction was committed after all, the watch delivers its changes.
            Outcome::Refused(_) | Outcome::Unknown(_) => sleep(Duration::from_millis(200)).await,
        }
    }

    /// Confirms with the state service that this process still is the leader and still holds its
    /// shards. Gives up each role whose key has changed.
    async fn confirm_roles(&self) {
        let (conditions, generation) = self.with(|core| (core.role_conditions(), core.role_generation()));
        let sent_at: Instant = now();
        let max_conditions = 4 * self.with(|core| core.limits().changes);
        let mut confirmed = None;
        for part in conditions.chunks(max_conditions) {
            let transaction = Transaction { conditions: part.to_vec(), changes: Vec::new() };
            match self.state.transact(&transaction, true).await {
                Outcome::Done(TransactionResult::Committed(revision)) => {
                    confirmed = confirmed.max(Some(revision))
                }
                Outcome::Done(TransactionResult::Conflict(failed)) => {
                    tracing::info!(?failed, "this process has lost leadership or a shard lease");
                    self.with(|core| failed.iter().for_each(|key| core.role_lost(key, now())));
                    for key in failed {
                        self.refresh(&key, || true).await;
                    }
                    self.wake_role.notify_one();
                    return;
                }
                Outcome::Refused(error) | Outcome::Unknown(error) => {
                    tracing::debug!(error, "leadership and shard leases could not be confirmed");
                    return;
                }
            }
        }
        if let Some(revision) = confirmed {
            self.with(|core| core.confirm_role_for_generation(generation, sent_at, revision));
        }
    }

    /// Sets the rates of requests and changes that this controller may send to the state
    /// service: its share of the service's limits, minus what it has lent to the leader, plus
    /// what it has borrowed from other controllers. The share of changes depends on the shards
    /// that it holds, because placements are written by the shard's holder; submissions are
    /// written by whichever controller receives them.
    pub(crate) fn set_rates(&self) {
        let params = &self.settings.params;
        let (share, legacy_layout, limits) =
            self.with(|core| (core.write_share(), core.uses_legacy_layout(), core.limits()));
        self.committer.set_max_changes(limits.changes);
        // The state service switches to its next, lower limits without notice. The first
        // request that it refuses for exceeding them is the signal.
        self.state.set_expect_lower_limits(!legacy_layout && params.state.next.is_some());
        let (rps, writes) = params.state.rates(self.state.lower_limits_detected());
        let rps = rps / f64::from(params.nodes.max(1));
        let (lent, borrowed) = self.lent_and_borrowed_rates();
        self.state.set_rates(rps, (writes * share * 0.94 - lent).max(2.0) + borrowed);
    }

    /// This controller's own share of record changes per second, without lent and borrowed ones.
    pub(crate) fn own_write_rate(&self) -> f64 {
        let (_, writes) = self.settings.params.state.rates(self.state.lower_limits_detected());
        writes * self.with(|core| core.write_share()) * 0.94
    }

    /// Detects whether this controller has lost contact with the state service. If a peer is
    /// still in contact, that peer answers this controller's users; otherwise the outage counts
    /// as shared by all controllers.
    pub(crate) async fn state_health_loop(self: Arc<Self>) {
        let heartbeat_interval = self.options.node_lease / 4;
        loop {
            sleep(heartbeat_interval / 2).await;
            let state_age = self.lease_renewal_age();
            let loaded = self.with(|core| core.loaded);
            let contact_lost = !loaded || state_age.is_none_or(|a| a > heartbeat_interval.mul_f64(1.6));
            let helper = if contact_lost {
                self.peer_with_state_contact(state_age, heartbeat_interval).await
            } else {
                None
            };
            self.shared_outage.store(contact_lost && helper.is_none(), Ordering::Relaxed);
            let previous_helper = std::mem::replace(&mut *lock(&self.forwarding_peer), helper);
            if previous_helper.is_some() != helper.is_some() {
                tracing::info!(
                    alone = helper.is_some(),
                    "changed whether this controller alone has lost contact with the state service"
                );
            }
        }
    }

    /// Index of the ready peer with the most recent contact with the state service, if that
    /// contact is less than two heartbeat intervals old and more than one heartbeat interval more
    /// recent than this controller's own. The margin is needed because in a shared outage
    /// controllers lose contact at about, but not exactly, the same time.
    async fn peer_with_state_contact(
        &self,
        state_age: Option<Duration>,
        heartbeat_interval: Duration,
    ) -> Option<usize> {
        let requests = self.settings.peers.iter().map(|peer| {
            let (peers, peer) = (self.peers.clone(), peer.clone());
            tokio::spawn(async move { peers.controller_status(&peer).await })
        });
        let max_age =
            state_age.unwrap_or(Duration::MAX).saturating_sub(heartbeat_interval).min(heartbeat_interval * 2);
        let mut freshest = None;
        for (n, request) in requests.collect::<Vec<_>>().into_iter().enumerate() {
            if let Ok(Some(reply)) = request.await
                && reply.ready
                && u128::from(reply.state_age_ms) < max_age.as_millis()
            {
                let candidate = (reply.state_age_ms, n);
                freshest = Some(freshest.map_or(candidate, |best: (u64, usize)| best.min(candidate)));
            }
        }
        freshest.map(|(_, n)| n)
    }
}
