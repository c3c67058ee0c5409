//! The cloud: machine types, lists, rentals, releases, and silent machines.

use crate::core::{GroupUpdate, MAX_CONSULTED};
use crate::node::{Node, now};
use dapplecroft_cloud::{MAX_RELEASE, Rented};
use dapplecroft_net::Outcome;
use dapplecroft_state::UpdateResult;
use dapplecroft_wire::cloud::{Catalog, RentRequest};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const STEP: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_secs(1);
const CATALOG_EVERY: Duration = Duration::from_secs(20);
const LIST_EVERY: Duration = Duration::from_secs(4);
/// How long a node that was cut from its workers stays out of elections.
const ABSTAIN: Duration = Duration::from_secs(15);

impl Node {
    /// Works off the difference between the wanted fleet and the known one.
    pub(crate) async fn fleet_loop(self: Arc<Self>) {
        loop {
            let _ = timeout(STEP, self.wake_fleet.notified()).await;
            let actions = self.with(|core| core.fleet_step(now()));
            for request in actions.rent {
                let node = self.clone();
                self.spawn(async move { node.rent(request).await });
            }
            for ids in actions.release.chunks(MAX_RELEASE) {
                let (node, ids) = (self.clone(), ids.to_vec());
                self.spawn(async move { node.release(ids).await });
            }
            for (id, address) in actions.probe {
                let node = self.clone();
                self.spawn(async move { node.probe(id, address).await });
            }
            for update in actions.records {
                let node = self.clone();
                self.spawn(async move { node.record(update).await });
            }
            if !actions.silent.is_empty() && !self.consulting.swap(true, Ordering::Relaxed) {
                let node = self.clone();
                self.spawn(async move {
                    node.consult(actions.silent, actions.quiet).await;
                    node.consulting.store(false, Ordering::Relaxed);
                });
            }
            // Several reasons to look again make one look.
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn leads(&self) -> bool {
        self.with(|core| core.role.leadership.is_some())
    }

    /// Repeats a request under its name until its outcome is certain. If this
    /// process loses its role before, what was rented turns up in the list.
    async fn rent(&self, request: RentRequest) {
        while self.leads() {
            match self.cloud.rent(&request).await {
                Outcome::Done(Rented::Machines(machines)) => {
                    return self.with(|core| core.rented(&request, &machines, now()));
                }
                Outcome::Done(Rented::NoCapacity) => {
                    return self.with(|core| core.rented(&request, &[], now()));
                }
                Outcome::Refused(error) | Outcome::Unknown(error) => {
                    tracing::debug!(error, "rental not answered");
                    sleep(PAUSE).await;
                }
            }
        }
        self.with(|core| core.rent_dropped(&request));
    }

    async fn release(&self, ids: Vec<Arc<str>>) {
        let names: Vec<String> = ids.iter().map(|id| id.to_string()).collect();
        while self.leads() {
            match self.cloud.release(&names).await {
                Outcome::Done(()) => return self.with(|core| core.released(&ids, now())),
                Outcome::Refused(error) | Outcome::Unknown(error) => {
                    tracing::debug!(error, "release not answered");
                    sleep(PAUSE).await;
                }
            }
        }
        self.with(|core| core.release_failed(&ids));
    }

    async fn record(&self, group: GroupUpdate) {
        match self.committer.commit(group.update.clone()).await {
            UpdateResult::Committed(revision) => {
                self.with(|core| core.apply_changes(&group.update.changes, revision, now()));
            }
            UpdateResult::Conflict(failed) => {
                for key in failed {
                    self.refresh(&key, || true).await;
                }
            }
            UpdateResult::Refused(_) | UpdateResult::Unknown(_) => sleep(PAUSE).await,
        }
        self.with(|core| core.finish_group_write(&group.name));
    }

    async fn probe(&self, id: Arc<str>, address: String) {
        let report = self.ask_status(&address).await;
        self.with(|core| match report {
            Some(report) if *report.machine == *id => {
                core.probe_answered(&id);
                core.apply_heartbeat(&report, now());
            }
            _ => core.probe_missed(&id),
        });
    }

    /// Asks the other nodes about silent machines. If they reach what this node
    /// does not, this node is cut off: it gives up its role and releases
    /// nothing. Only what nobody reaches is given up.
    ///
    /// A few are asked about at a time, others the next time; whether this node
    /// is cut off is told by them and by how many are quiet at all, long before
    /// each has been probed.
    async fn consult(&self, mut silent: Vec<(Arc<str>, String)>, quiet: usize) {
        let turn = self.consulted.fetch_add(MAX_CONSULTED, Ordering::Relaxed);
        let begin = turn % silent.len().max(1);
        silent.rotate_left(begin);
        silent.truncate(MAX_CONSULTED);
        let addresses: Vec<String> =
            silent.iter().map(|(_, a)| a.clone()).filter(|a| !a.is_empty()).collect();
        let mut reached = std::collections::HashSet::new();
        let mut answers = 0;
        // All at once: every moment counts for what ran there.
        let mut probes = JoinSet::new();
        for peer in &self.settings.peers {
            let (peers, peer, addresses) = (self.peers.clone(), peer.clone(), addresses.clone());
            probes.spawn(async move { peers.probe(&peer, addresses).await });
        }
        for addresses in probes.join_all().await.into_iter().flatten() {
            answers += 1;
            reached.extend(addresses);
        }
        let all = self.with(|core| core.heard_machines());
        let most = quiet * 2 > all && all > 2;
        if reached.len() * 2 > silent.len() && most {
            tracing::info!(
                quiet,
                all,
                asked = silent.len(),
                reached = reached.len(),
                "others reach the workers that this node does not"
            );
            let lease = self.with(|core| {
                core.step_down("cut off from the workers", now());
                core.role.abstains = Some(now() + ABSTAIN);
                core.role.lease.take()
            });
            if let Some(lease) = lease {
                let _ = self.state.revoke(lease).await;
            }
            return;
        }
        if answers == 0 && most {
            tracing::info!(quiet, all, "most machines are silent and nobody can be asked");
            sleep(PAUSE * 2).await;
            return;
        }
        let given_up: Vec<Arc<str>> =
            silent.into_iter().filter(|(_, a)| !reached.contains(a)).map(|(id, _)| id).collect();
        if !given_up.is_empty() {
            tracing::info!(machines = ?given_up, "silent machines are given up");
            self.with(|core| core.mark_lost(&given_up));
        }
    }

    /// Keeps the machine types and the list of machines up to date.
    pub(crate) async fn cloud_loop(self: Arc<Self>) {
        let mut catalog_at = now();
        let mut list_at = now();
        loop {
            let known = self.with(|core| core.catalog.is_some());
            // Others only need the types, and have them from the records.
            if (self.leads() || !known) && now() >= catalog_at {
                let ok = self.read_catalog().await;
                catalog_at = now() + if ok { CATALOG_EVERY } else { PAUSE * 2 };
            }
            if self.leads() && now() >= list_at {
                if let Outcome::Done(list) = self.cloud.machines().await {
                    self.with(|core| core.listed(&list, now()));
                }
                list_at = now() + LIST_EVERY;
            }
            sleep(PAUSE).await;
        }
    }

    async fn read_catalog(&self) -> bool {
        let catalog: Catalog = match self.cloud.catalog().await {
            Outcome::Done(catalog) if !catalog.machine_types.is_empty() => catalog,
            _ => return false,
        };
        // Kept so that a restart during an outage of the cloud still knows.
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
