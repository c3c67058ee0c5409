//! Background tasks that talk to the cloud (machine types, machine lists, rentals and releases)
//! and check on silent machines.

use crate::core::{GroupUpdate, MAX_CONSULTED_MACHINES};
use crate::node::{Node, now};
use dapplecroft_cloud::{MAX_MACHINES_PER_RELEASE, RentOutcome};
use dapplecroft_net::Outcome;
use dapplecroft_state::UpdateResult;
use dapplecroft_wire::cloud::{Catalog, RentRequest};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Maximum time between two runs of the fleet step.
const FLEET_STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Pause before a failed request is repeated, and between runs of the cloud loop.
const RETRY_DELAY: Duration = Duration::from_secs(1);
const CATALOG_REFRESH_INTERVAL: Duration = Duration::from_secs(20);
const LIST_REFRESH_INTERVAL: Duration = Duration::from_secs(4);
/// How long a controller that was cut off from its workers stays out of leader elections.
const ELECTION_ABSTENTION: Duration = Duration::from_secs(15);

impl Node {
    /// Runs the fleet step at regular intervals and when woken, and carries out its actions.
    pub(crate) async fn fleet_loop(self: Arc<Self>) {
        loop {
            let _ = timeout(FLEET_STEP_INTERVAL, self.wake_fleet.notified()).await;
            let actions = self.with(|core| core.fleet_step(now()));
            for request in actions.rent {
                let node = self.clone();
                self.spawn(async move { node.rent(request).await });
            }
            for ids in actions.release.chunks(MAX_MACHINES_PER_RELEASE) {
                let (node, ids) = (self.clone(), ids.to_vec());
                self.spawn(async move { node.release(ids).await });
            }
            for (id, address) in actions.probe {
                let node = self.clone();
                self.spawn(async move { node.probe(id, address).await });
            }
            for update in actions.group_updates {
                let node = self.clone();
                self.spawn(async move { node.commit_group_update(update).await });
            }
            if !actions.silent.is_empty() && !self.peer_probe_running.swap(true, Ordering::Relaxed) {
                let node = self.clone();
                self.spawn(async move {
                    node.consult_peers(actions.silent, actions.silent_count).await;
                    node.peer_probe_running.store(false, Ordering::Relaxed);
                });
            }
            // Wake-ups that arrive in quick succession cause only one step.
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn leads(&self) -> bool {
        self.with(|core| core.role.leader_key_version.is_some())
    }

    /// Repeats a rent request under the same name until its outcome is certain. If this
    /// process loses the leadership before that, the next leader finds the rented machines in
    /// the cloud's list.
    async fn rent(&self, request: RentRequest) {
        while self.leads() {
            match self.cloud.rent(&request).await {
                Outcome::Done(RentOutcome::Machines(machines)) => {
                    return self.with(|core| core.rent_completed(&request, &machines, now()));
                }
                Outcome::Done(RentOutcome::NoCapacity) => {
                    return self.with(|core| core.rent_completed(&request, &[], now()));
                }
                Outcome::Refused(error) | Outcome::Unknown(error) => {
                    tracing::debug!(error, "rent request failed; retrying");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        self.with(|core| core.rent_abandoned(&request));
    }

    /// Repeats a release request until the cloud has confirmed it or this process no longer
    /// leads.
    async fn release(&self, ids: Vec<Arc<str>>) {
        let names: Vec<String> = ids.iter().map(|id| id.to_string()).collect();
        while self.leads() {
            match self.cloud.release(&names).await {
                Outcome::Done(()) => return self.with(|core| core.release_completed(&ids, now())),
                Outcome::Refused(error) | Outcome::Unknown(error) => {
                    tracing::debug!(error, "release request failed; retrying");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        self.with(|core| core.release_failed(&ids));
    }

    /// Commits the update of a group record. After a conflict the failed keys are read again,
    /// and a later fleet step plans the update anew.
    async fn commit_group_update(&self, group: GroupUpdate) {
        match self.committer.commit(group.update.clone()).await {
            UpdateResult::Committed(revision) => {
                self.with(|core| core.apply_changes(&group.update.changes, revision, now()));
            }
            UpdateResult::Conflict(failed) => {
                for key in failed {
                    self.refresh(&key, || true).await;
                }
            }
            UpdateResult::Refused(_) | UpdateResult::Unknown(_) => sleep(RETRY_DELAY).await,
        }
        self.with(|core| core.finish_group_write(&group.name));
    }

    /// Asks a worker for its status and applies the answer like a heartbeat.
    async fn probe(&self, id: Arc<str>, address: String) {
        let heartbeat = self.fetch_worker_status(&address).await;
        self.with(|core| match heartbeat {
            Some(heartbeat) if *heartbeat.machine == *id => {
                core.probe_answered(&id);
                core.apply_heartbeat(&heartbeat, now());
            }
            _ => core.probe_missed(&id),
        });
    }

    /// Asks the peers whether they reach the silent machines. If they reach machines that
    /// this node does not, this node is cut off: it steps down and releases nothing. Only
    /// machines that no peer reaches are given up.
    ///
    /// Each call asks about at most [`MAX_CONSULTED_MACHINES`] machines, the next call about
    /// others. That sample and the number of silent machines show whether this node is cut
    /// off, long before each silent machine has been probed.
    async fn consult_peers(&self, mut silent: Vec<(Arc<str>, String)>, silent_count: usize) {
        let turn = self.peer_probe_count.fetch_add(MAX_CONSULTED_MACHINES, Ordering::Relaxed);
        let begin = turn % silent.len().max(1);
        silent.rotate_left(begin);
        silent.truncate(MAX_CONSULTED_MACHINES);
        let addresses: Vec<String> =
            silent.iter().map(|(_, a)| a.clone()).filter(|a| !a.is_empty()).collect();
        let mut reached = std::collections::HashSet::new();
        let mut answers = 0;
        // All peers are asked at once: the tasks of the silent machines wait for the answer.
        let mut probes = JoinSet::new();
        for peer in &self.settings.peers {
            let (peers, peer, addresses) = (self.peers.clone(), peer.clone(), addresses.clone());
            probes.spawn(async move { peers.probe(&peer, addresses).await });
        }
        for addresses in probes.join_all().await.into_iter().flatten() {
            answers += 1;
            reached.extend(addresses);
        }
        let all = self.with(|core| core.booted_machine_count());
        let mostly_silent = silent_count * 2 > all && all > 2;
        if reached.len() * 2 > silent.len() && mostly_silent {
            tracing::info!(
                quiet = silent_count,
                all,
                asked = silent.len(),
                reached = reached.len(),
                "peers reach the workers that this node cannot reach; stepping down"
            );
            let lease = self.with(|core| {
                core.step_down("cut off from the workers", now());
                core.role.abstains_until = Some(now() + ELECTION_ABSTENTION);
                core.role.lease_id.take()
            });
            if let Some(lease) = lease {
                let _ = self.state.revoke_lease(lease).await;
            }
            return;
        }
        if answers == 0 && mostly_silent {
            tracing::info!(quiet = silent_count, all, "most machines are silent and no peer has answered");
            sleep(RETRY_DELAY * 2).await;
            return;
        }
        let given_up: Vec<Arc<str>> =
            silent.into_iter().filter(|(_, a)| !reached.contains(a)).map(|(id, _)| id).collect();
        if !given_up.is_empty() {
            tracing::info!(machines = ?given_up, "giving up silent machines that no peer reaches");
            self.with(|core| core.mark_lost(&given_up));
        }
    }

    /// Keeps the catalog of machine types and the cloud's list of machines up to date.
    pub(crate) async fn cloud_loop(self: Arc<Self>) {
        let mut catalog_at = now();
        let mut list_at = now();
        loop {
            let known = self.with(|core| core.catalog.is_some());
            // Controllers that do not lead need only the machine types, and read those from
            // the records. They ask the cloud only while they know none.
            if (self.leads() || !known) && now() >= catalog_at {
                let ok = self.refresh_catalog().await;
                catalog_at = now() + if ok { CATALOG_REFRESH_INTERVAL } else { RETRY_DELAY * 2 };
            }
            if self.leads() && now() >= list_at {
                if let Outcome::Done(list) = self.cloud.list_machines().await {
                    self.with(|core| core.apply_machine_list(&list, now()));
                }
                list_at = now() + LIST_REFRESH_INTERVAL;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Reads the catalog from the cloud and stores it in the records. Returns `false` if that
    /// has to be repeated soon.
    async fn refresh_catalog(&self) -> bool {
        let catalog: Catalog = match self.cloud.catalog().await {
            Outcome::Done(catalog) if !catalog.machine_types.is_empty() => catalog,
            _ => return false,
        };
        // The catalog is stored so that a controller that restarts during a cloud outage
        // still has it.
        let updates = self.with(|core| {
            let behind = core.set_catalog(catalog.clone());
            if behind { core.catalog_updates(&catalog) } else { Vec::new() }
        });
        let mut all = true;
        for update in updates {
            match self.committer.commit(update.clone()).await {
                UpdateResult::Committed(revision) => {
                    self.with(|core| core.apply_changes(&update.changes, revision, now()));
                }
                UpdateResult::Conflict(_) => {}
                UpdateResult::Refused(_) | UpdateResult::Unknown(_) => all = false,
            }
        }
        all
    }
}
