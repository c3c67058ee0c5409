//! A simulated cell: a state service with conditional transactions, controllers that spend credit,
//! and leaders that grant it. Controllers and leaders each have a copy of the records that may be
//! stale.

use dapplecroft_admission::{
    Bucket, CreditTag, EpochRecord, GrantPage, HostGrant, JobCharge, Ledger, PolicyRecord, Settlement,
    Spender, Spending,
};
use std::collections::BTreeMap;

/// Number of the only grant page in the exhaustive exploration.
pub const PAGE: u32 = 0;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Leader,
    Epoch(String),
    Page(u32),
    Job(String),
}

#[derive(Debug, Clone)]
pub enum Record {
    Leader,
    Epoch(EpochRecord),
    Page(GrantPage),
    Job { tag: CreditTag, finished: bool },
}

/// Who sent a transaction and learns its outcome.
#[derive(Debug, Clone)]
pub enum Origin {
    Submission { host: usize, identity: String, job: String, spending: Spending },
    Leader(usize),
}

#[derive(Debug, Clone)]
pub struct Transaction {
    pub conditions: Vec<(Key, u64)>,
    pub changes: Vec<(Key, Record)>,
    pub origin: Origin,
    /// Whether the origin still waits for the outcome.
    pub awaited: bool,
}

impl Transaction {
    /// Whether a leader sent the transaction. Leaders retry until they learn the outcome.
    pub fn is_from_leader(&self) -> bool {
        matches!(self.origin, Origin::Leader(_))
    }
}

#[derive(Debug, Clone)]
pub struct Controller {
    pub identity: String,
    pub spender: Spender,
    pub applied_revision: u64,
}

#[derive(Debug, Clone, Default)]
pub struct Leader {
    pub term: Option<u64>,
    pub ledger: Ledger,
    pub applied_revision: u64,
}

#[derive(Debug, Clone)]
pub struct World {
    pub limit: u64,
    /// Current records of the state service and their versions.
    keys: BTreeMap<Key, (Record, u64)>,
    /// All committed changes with their revisions.
    log: Vec<(u64, Key, Record)>,
    pub in_flight: Vec<Transaction>,
    pub controllers: Vec<Controller>,
    pub leaders: Vec<Leader>,
    processes_started: u64,
}

pub fn host(controller_index: usize) -> String {
    format!("crofter-{controller_index}")
}

pub fn bucket() -> Bucket {
    Bucket::new("team", "class", false)
}

impl World {
    pub fn new(limit: u64, controllers: usize, leaders: usize) -> World {
        let mut world = World {
            limit,
            keys: BTreeMap::new(),
            log: Vec::new(),
            in_flight: Vec::new(),
            controllers: Vec::new(),
            leaders: Vec::new(),
            processes_started: 0,
        };
        for controller_index in 0..controllers {
            let controller = world.start_process(controller_index);
            world.controllers.push(controller);
        }
        let policy = PolicyRecord {
            in_force: true,
            limit,
            max_jobs: 1000,
            max_charge: limit,
            weights: BTreeMap::new(),
        };
        for _ in 0..leaders {
            let mut leader = Leader::default();
            leader.ledger.apply_policy(Some(policy.clone()), 1);
            world.leaders.push(leader);
        }
        world
    }

    fn start_process(&mut self, controller_index: usize) -> Controller {
        self.processes_started += 1;
        let identity = format!("process-{}", self.processes_started);
        Controller {
            spender: Spender::new(&host(controller_index), &identity),
            identity,
            applied_revision: 0,
        }
    }

    pub fn version(&self, key: &Key) -> u64 {
        self.keys.get(key).map_or(0, |(_, version)| *version)
    }

    fn revision(&self) -> u64 {
        self.log.last().map_or(0, |(revision, _, _)| *revision)
    }

    /// Replaces a controller's process by a new one whose copy is up to date.
    pub fn restart(&mut self, controller_index: usize) {
        self.controllers[controller_index] = self.start_process(controller_index);
        self.sync_controller(controller_index);
    }

    /// Applies all committed changes to a controller's copy.
    pub fn sync_controller(&mut self, controller_index: usize) {
        let controller = &mut self.controllers[controller_index];
        for (revision, key, record) in
            self.log.iter().filter(|(revision, _, _)| *revision > controller.applied_revision)
        {
            match record {
                Record::Epoch(epoch) if *key == Key::Epoch(host(controller_index)) => {
                    controller.spender.apply_epoch(Some(epoch), *revision);
                }
                Record::Page(page) => {
                    if let Some(grant) = page.hosts.get(&host(controller_index)) {
                        controller.spender.apply_grant(grant);
                    }
                }
                Record::Job { tag, .. } => {
                    if let Key::Job(job) = key {
                        controller.spender.observe_job(job, Some(tag));
                    }
                }
                _ => {}
            }
        }
        controller.applied_revision = self.log.last().map_or(0, |(revision, _, _)| *revision);
        // A grant may have been committed before the controller applied the epoch record.
        for (record, _) in self.keys.values() {
            if let Record::Page(page) = record
                && let Some(grant) = page.hosts.get(&host(controller_index))
            {
                self.controllers[controller_index].spender.apply_grant(grant);
            }
        }
    }

    /// Applies all committed changes to a leader's copy.
    pub fn sync_leader(&mut self, leader_index: usize) {
        let revision = self.revision();
        let leader = &mut self.leaders[leader_index];
        for (revision, key, record) in
            self.log.iter().filter(|(revision, _, _)| *revision > leader.applied_revision)
        {
            match (key, record) {
                (Key::Epoch(host), Record::Epoch(epoch)) => {
                    leader.ledger.apply_epoch(host, Some(epoch.clone()), *revision);
                }
                (Key::Page(page), Record::Page(record)) => {
                    leader.ledger.apply_page(*page, Some(record.clone()), *revision);
                }
                (Key::Job(job), Record::Job { tag, finished }) => {
                    let charge = JobCharge {
                        bucket: tag.bucket.clone(),
                        charge: tag.charge,
                        tag: Some(tag.clone()),
                        finished: *finished,
                        accepted_at: 0.0,
                    };
                    leader.ledger.apply_job(job, &charge);
                }
                _ => {}
            }
        }
        leader.applied_revision = revision;
        leader.ledger.set_applied_revision(revision);
    }

    /// Elects a leader; the other leaders may still believe that they lead.
    pub fn elect(&mut self, leader_index: usize) {
        for transaction in &mut self.in_flight {
            // The new leader no longer waits for its own transactions of an earlier term.
            transaction.awaited &=
                !matches!(transaction.origin, Origin::Leader(other) if other == leader_index);
        }
        let revision = self.commit(vec![(Key::Leader, Record::Leader)]);
        self.leaders[leader_index].term = Some(revision);
    }

    /// The condition that makes a leader's transaction fail once its term is over. `None` if the
    /// leader may not grant now: it was never elected, its copy is older than its term, or it waits
    /// for a transaction.
    pub fn leader_condition(&self, leader_index: usize) -> Option<(Key, u64)> {
        let leader = &self.leaders[leader_index];
        let term = leader.term.filter(|term| *term <= leader.applied_revision)?;
        (!self.has_unsettled_transaction(leader_index)).then_some((Key::Leader, term))
    }

    /// Whether a leader still waits for the outcome of a transaction; meanwhile it grants nothing.
    fn has_unsettled_transaction(&self, leader_index: usize) -> bool {
        let own = |origin: &Origin| matches!(origin, Origin::Leader(other) if *other == leader_index);
        self.in_flight.iter().any(|transaction| transaction.awaited && own(&transaction.origin))
    }

    /// The version of a key according to a leader's copy.
    fn leader_version(&self, leader_index: usize, key: &Key) -> u64 {
        let seen = self.log.iter().filter(|(revision, changed, _)| {
            *revision <= self.leaders[leader_index].applied_revision && changed == key
        });
        seen.map(|(revision, _, _)| *revision).max().unwrap_or(0)
    }

    pub fn submit_leader_transaction(&mut self, leader_index: usize, changes: Vec<(Key, Record)>) {
        let Some(leader) = self.leader_condition(leader_index) else { return };
        let mut conditions = vec![leader];
        conditions
            .extend(changes.iter().map(|(key, _)| (key.clone(), self.leader_version(leader_index, key))));
        self.in_flight.push(Transaction {
            conditions,
            changes,
            origin: Origin::Leader(leader_index),
            awaited: true,
        });
    }

    /// Raises a controller's ceiling by `work`.
    pub fn grant(&mut self, leader_index: usize, controller_index: usize, work: u64) {
        let ledger = &self.leaders[leader_index].ledger;
        let Some((epoch, _)) = ledger.epoch(&host(controller_index)) else { return };
        let mut page = ledger.pages().get(&PAGE).map(|(page, _)| page.clone()).unwrap_or_default();
        let mut ceilings = ledger.ceilings(&host(controller_index));
        *ceilings.entry(bucket()).or_default() += work;
        page.hosts.insert(host(controller_index), HostGrant { epoch: epoch.epoch, ceilings });
        self.submit_leader_transaction(leader_index, vec![(Key::Page(PAGE), Record::Page(page))]);
    }

    /// Starts a new epoch for the process that a controller has now, which ends the current one.
    pub fn end_epoch(&mut self, leader_index: usize, controller_index: usize) {
        let epoch = self.leaders[leader_index]
            .ledger
            .epoch(&host(controller_index))
            .map_or(0, |(record, _)| record.epoch)
            + 1;
        let record = EpochRecord {
            identity: self.controllers[controller_index].identity.clone(),
            epoch,
            min_charge: 1,
        };
        self.submit_leader_transaction(
            leader_index,
            vec![(Key::Epoch(host(controller_index)), Record::Epoch(record))],
        );
    }

    /// A user submits a job at a controller.
    pub fn submit(&mut self, controller_index: usize, job: &str, charge: u64) {
        let controller = &mut self.controllers[controller_index];
        let Ok(spending) = controller.spender.spend(job, &bucket(), charge) else { return };
        let identity = controller.identity.clone();
        let conditions =
            vec![(Key::Job(job.into()), 0), (Key::Epoch(host(controller_index)), spending.epoch_version)];
        let record = Record::Job { tag: spending.tag.clone(), finished: false };
        let origin = Origin::Submission { host: controller_index, identity, job: job.into(), spending };
        let changes = vec![(Key::Job(job.into()), record)];
        self.in_flight.push(Transaction { conditions, changes, origin, awaited: true });
    }

    /// Ends a job.
    pub fn finish(&mut self, job: &str) {
        let key = Key::Job(job.into());
        if let Some((Record::Job { tag, finished: false }, _)) = self.keys.get(&key).cloned() {
            self.commit(vec![(key, Record::Job { tag, finished: true })]);
        }
    }

    fn commit(&mut self, changes: Vec<(Key, Record)>) -> u64 {
        let revision = self.revision() + 1;
        for (key, record) in changes {
            self.log.push((revision, key.clone(), record.clone()));
            self.keys.insert(key, (record, revision));
        }
        revision
    }

    /// Delivers a transaction to the state service. The origin learns the outcome if it still waits
    /// and the response is not lost (`answered`). With `resent`, a copy of the transaction stays in
    /// flight and may be delivered again.
    pub fn deliver(&mut self, transaction_index: usize, answered: bool, resent: bool) {
        let transaction = self.in_flight[transaction_index].clone();
        if resent {
            self.in_flight[transaction_index].awaited = false;
        } else {
            self.in_flight.remove(transaction_index);
        }
        if let Origin::Leader(_) = transaction.origin
            && transaction.awaited
            && !answered
        {
            // The leader does not know the outcome and sends the transaction again.
            self.in_flight.push(transaction.clone());
        }
        let conditions_hold =
            transaction.conditions.iter().all(|(key, version)| self.version(key) == *version);
        if conditions_hold {
            self.commit(transaction.changes.clone());
        }
        if transaction.awaited {
            let settlement = match (answered, conditions_hold) {
                (false, _) => Settlement::Unknown,
                (true, true) => Settlement::Committed,
                (true, false) => Settlement::NotCommitted,
            };
            self.settle(&transaction.origin, settlement);
        }
    }

    /// Lets a submission's origin stop waiting; the transaction stays in flight and may still commit.
    pub fn give_up(&mut self, transaction_index: usize) {
        let origin = self.in_flight[transaction_index].origin.clone();
        if matches!(origin, Origin::Submission { .. })
            && std::mem::take(&mut self.in_flight[transaction_index].awaited)
        {
            self.settle(&origin, Settlement::Unknown);
        }
    }

    fn settle(&mut self, origin: &Origin, settlement: Settlement) {
        if let Origin::Submission { host, identity, job, spending } = origin
            && self.controllers[*host].identity == *identity
        {
            self.controllers[*host].spender.settle(job, spending, settlement);
        }
    }

    /// Outstanding work and unspent credit according to the state service's keys. Also checks that no
    /// controller has spent more than its ceiling.
    pub fn committed_total(&self) -> u64 {
        let jobs = self.keys.values().filter_map(|(record, _)| match record {
            Record::Job { tag, finished } => Some((tag, *finished)),
            _ => None,
        });
        let outstanding: u64 =
            jobs.clone().filter(|(_, finished)| !finished).map(|(tag, _)| tag.charge).sum();
        let mut credit = 0;
        for (key, (record, _)) in &self.keys {
            let (Key::Epoch(host), Record::Epoch(epoch)) = (key, record) else { continue };
            for (bucket, ceiling) in &self.ceilings(host, epoch.epoch) {
                let own =
                    |tag: &CreditTag| tag.host == *host && tag.epoch == epoch.epoch && tag.bucket == *bucket;
                let spent: u64 = jobs.clone().filter(|(tag, _)| own(tag)).map(|(tag, _)| tag.charge).sum();
                assert!(spent <= *ceiling, "{host} spent {spent} of {ceiling}");
                credit += ceiling - spent;
            }
        }
        outstanding + credit
    }

    fn ceilings(&self, host: &str, epoch: u64) -> BTreeMap<Bucket, u64> {
        let pages = self.keys.values().filter_map(|(record, _)| match record {
            Record::Page(page) => page.hosts.get(host),
            _ => None,
        });
        let mut ceilings = BTreeMap::new();
        for (bucket, ceiling) in pages.filter(|grant| grant.epoch == epoch).flat_map(|grant| &grant.ceilings)
        {
            let known: &mut u64 = ceilings.entry(bucket.clone()).or_default();
            *known = (*known).max(*ceiling);
        }
        ceilings
    }

    /// Checks that outstanding work and credit stay within the limit.
    pub fn check_limit(&self) {
        let committed_total = self.committed_total();
        assert!(committed_total <= self.limit, "{committed_total} of {}: {self:#?}", self.limit);
    }

    /// The whole state as text, by which the exploration recognizes states that it has seen.
    pub fn fingerprint(&self) -> String {
        format!("{:?}{:?}{:?}{:?}", self.keys, self.in_flight, self.controllers, self.leaders)
    }
}
