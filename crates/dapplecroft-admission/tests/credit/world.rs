//! A state service with conditional transactions, controllers that spend credit, and
//! leaders that grant it, each with a copy that may lag behind.

use dapplecroft_admission::{
    Bucket, CreditTag, EpochRecord, GrantPage, HostGrant, JobCharge, Ledger, PolicyRecord, Settlement,
    Spender, Spending,
};
use std::collections::BTreeMap;

/// The page of grants of the explored case.
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
    Job { tag: CreditTag, over: bool },
}

/// Who hears how a transaction ended.
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
    /// Whether its origin still waits for the outcome.
    pub awaited: bool,
}

impl Transaction {
    /// Whether a leader sent it, which tries until it hears the outcome.
    pub fn is_from_leader(&self) -> bool {
        matches!(self.origin, Origin::Leader(_))
    }
}

#[derive(Debug, Clone)]
pub struct Controller {
    pub identity: String,
    pub spender: Spender,
    pub followed: u64,
}

#[derive(Debug, Clone, Default)]
pub struct Leader {
    pub term: Option<u64>,
    pub ledger: Ledger,
    pub followed: u64,
}

#[derive(Debug, Clone)]
pub struct World {
    pub limit: u64,
    keys: BTreeMap<Key, (Record, u64)>,
    log: Vec<(u64, Key, Record)>,
    pub in_flight: Vec<Transaction>,
    pub controllers: Vec<Controller>,
    pub leaders: Vec<Leader>,
    processes: u64,
}

pub fn host(n: usize) -> String {
    format!("crofter-{n}")
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
            processes: 0,
        };
        for n in 0..controllers {
            let controller = world.process(n);
            world.controllers.push(controller);
        }
        let policy =
            PolicyRecord { in_force: true, limit, jobs: 1000, largest: limit, weights: BTreeMap::new() };
        for _ in 0..leaders {
            let mut leader = Leader::default();
            leader.ledger.apply_policy(Some(policy.clone()), 1);
            world.leaders.push(leader);
        }
        world
    }

    fn process(&mut self, n: usize) -> Controller {
        self.processes += 1;
        let identity = format!("process-{}", self.processes);
        Controller { spender: Spender::new(&host(n), &identity), identity, followed: 0 }
    }

    pub fn version(&self, key: &Key) -> u64 {
        self.keys.get(key).map_or(0, |(_, version)| *version)
    }

    fn revision(&self) -> u64 {
        self.log.last().map_or(0, |(revision, _, _)| *revision)
    }

    /// A controller's process ends, and another begins with what is committed.
    pub fn restart(&mut self, n: usize) {
        self.controllers[n] = self.process(n);
        self.follow(n);
    }

    /// A controller's copy catches up.
    pub fn follow(&mut self, n: usize) {
        let controller = &mut self.controllers[n];
        for (revision, key, record) in self.log.iter().filter(|(r, _, _)| *r > controller.followed) {
            match record {
                Record::Epoch(epoch) if *key == Key::Epoch(host(n)) => {
                    controller.spender.apply_epoch(Some(epoch), *revision);
                }
                Record::Page(page) => {
                    if let Some(grant) = page.hosts.get(&host(n)) {
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
        controller.followed = self.log.last().map_or(0, |(revision, _, _)| *revision);
        // A page may have been written before the epoch was seen.
        for (record, _) in self.keys.values() {
            if let Record::Page(page) = record
                && let Some(grant) = page.hosts.get(&host(n))
            {
                self.controllers[n].spender.apply_grant(grant);
            }
        }
    }

    /// A leader's copy catches up.
    pub fn leader_follows(&mut self, l: usize) {
        let revision = self.revision();
        let leader = &mut self.leaders[l];
        for (revision, key, record) in self.log.iter().filter(|(r, _, _)| *r > leader.followed) {
            match (key, record) {
                (Key::Epoch(host), Record::Epoch(epoch)) => {
                    leader.ledger.apply_epoch(host, Some(epoch.clone()), *revision);
                }
                (Key::Page(page), Record::Page(record)) => {
                    leader.ledger.apply_page(*page, Some(record.clone()), *revision);
                }
                (Key::Job(job), Record::Job { tag, over }) => {
                    let charge = JobCharge {
                        bucket: tag.bucket.clone(),
                        charge: tag.charge,
                        tag: Some(tag.clone()),
                        over: *over,
                        accepted_at: 0.0,
                    };
                    leader.ledger.apply_job(job, &charge);
                }
                _ => {}
            }
        }
        leader.followed = revision;
        leader.ledger.followed(revision);
    }

    /// A leader is elected, whatever the others believe.
    pub fn elect(&mut self, l: usize) {
        for transaction in &mut self.in_flight {
            // What it had on its way in an earlier term is void.
            transaction.awaited &= !matches!(transaction.origin, Origin::Leader(other) if other == l);
        }
        let revision = self.commit(vec![(Key::Leader, Record::Leader)]);
        self.leaders[l].term = Some(revision);
    }

    /// What binds a leader's transaction to its term, if it may grant.
    pub fn leader_condition(&self, l: usize) -> Option<(Key, u64)> {
        let leader = &self.leaders[l];
        let term = leader.term.filter(|term| *term <= leader.followed)?;
        (!self.waits(l)).then_some((Key::Leader, term))
    }

    /// Whether a transaction of a leader is not settled: until then it grants nothing else.
    fn waits(&self, l: usize) -> bool {
        let own = |origin: &Origin| matches!(origin, Origin::Leader(other) if *other == l);
        self.in_flight.iter().any(|transaction| transaction.awaited && own(&transaction.origin))
    }

    /// What a leader's copy says the versions of keys are.
    fn leader_version(&self, l: usize, key: &Key) -> u64 {
        let seen = self.log.iter().filter(|(r, k, _)| *r <= self.leaders[l].followed && k == key);
        seen.map(|(revision, _, _)| *revision).max().unwrap_or(0)
    }

    pub fn leader_commits(&mut self, l: usize, changes: Vec<(Key, Record)>) {
        let Some(leader) = self.leader_condition(l) else { return };
        let mut conditions = vec![leader];
        conditions.extend(changes.iter().map(|(key, _)| (key.clone(), self.leader_version(l, key))));
        self.in_flight.push(Transaction { conditions, changes, origin: Origin::Leader(l), awaited: true });
    }

    /// Gives a controller so much more.
    pub fn grant(&mut self, l: usize, n: usize, work: u64) {
        let ledger = &self.leaders[l].ledger;
        let Some((epoch, _)) = ledger.epoch(&host(n)) else { return };
        let mut page = ledger.pages().get(&PAGE).map(|(page, _)| page.clone()).unwrap_or_default();
        let mut ceilings = ledger.ceilings(&host(n));
        *ceilings.entry(bucket()).or_default() += work;
        page.hosts.insert(host(n), HostGrant { epoch: epoch.epoch, ceilings });
        self.leader_commits(l, vec![(Key::Page(PAGE), Record::Page(page))]);
    }

    /// Ends a controller's epoch, for whatever process it has now.
    pub fn end_epoch(&mut self, l: usize, n: usize) {
        let epoch = self.leaders[l].ledger.epoch(&host(n)).map_or(0, |(record, _)| record.epoch) + 1;
        let record = EpochRecord { identity: self.controllers[n].identity.clone(), epoch, least: 1 };
        self.leader_commits(l, vec![(Key::Epoch(host(n)), Record::Epoch(record))]);
    }

    /// A user submits a job at a controller.
    pub fn submit(&mut self, n: usize, job: &str, charge: u64) {
        let controller = &mut self.controllers[n];
        let Ok(spending) = controller.spender.spend(job, &bucket(), charge) else { return };
        let identity = controller.identity.clone();
        let conditions = vec![(Key::Job(job.into()), 0), (Key::Epoch(host(n)), spending.epoch_version)];
        let record = Record::Job { tag: spending.tag.clone(), over: false };
        let origin = Origin::Submission { host: n, identity, job: job.into(), spending };
        let changes = vec![(Key::Job(job.into()), record)];
        self.in_flight.push(Transaction { conditions, changes, origin, awaited: true });
    }

    /// All tasks of a job complete.
    pub fn finish(&mut self, job: &str) {
        let key = Key::Job(job.into());
        if let Some((Record::Job { tag, over: false }, _)) = self.keys.get(&key).cloned() {
            self.commit(vec![(key, Record::Job { tag, over: true })]);
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

    /// A transaction reaches the state service; its origin hears of it unless it has
    /// given up, or the answer is lost.
    pub fn deliver(&mut self, n: usize, heard: bool, again: bool) {
        let transaction = self.in_flight[n].clone();
        if again {
            self.in_flight[n].awaited = false;
        } else {
            self.in_flight.remove(n);
        }
        if let Origin::Leader(_) = transaction.origin
            && transaction.awaited
            && !heard
        {
            // Its outcome is unknown: it is tried again.
            self.in_flight.push(transaction.clone());
        }
        let holds = transaction.conditions.iter().all(|(key, version)| self.version(key) == *version);
        if holds {
            self.commit(transaction.changes.clone());
        }
        if transaction.awaited {
            let settlement = match (heard, holds) {
                (false, _) => Settlement::Unknown,
                (true, true) => Settlement::Committed,
                (true, false) => Settlement::NotMade,
            };
            self.settle(&transaction.origin, settlement);
        }
    }

    /// A transaction's origin gives up waiting; it may yet be carried out.
    pub fn give_up(&mut self, n: usize) {
        let origin = self.in_flight[n].origin.clone();
        if matches!(origin, Origin::Submission { .. }) && std::mem::take(&mut self.in_flight[n].awaited) {
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

    /// Outstanding work and credit, by the keys alone.
    pub fn committed(&self) -> u64 {
        let jobs = self.keys.values().filter_map(|(record, _)| match record {
            Record::Job { tag, over } => Some((tag, *over)),
            _ => None,
        });
        let outstanding: u64 = jobs.clone().filter(|(_, over)| !over).map(|(tag, _)| tag.charge).sum();
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
        for (bucket, ceiling) in pages.filter(|grant| grant.epoch == epoch).flat_map(|g| &g.ceilings) {
            let known: &mut u64 = ceilings.entry(bucket.clone()).or_default();
            *known = (*known).max(*ceiling);
        }
        ceilings
    }

    pub fn check(&self) {
        let committed = self.committed();
        assert!(committed <= self.limit, "{committed} of {}: {self:#?}", self.limit);
    }

    /// What decides what can come next, for the exploration.
    pub fn fingerprint(&self) -> String {
        format!("{:?}{:?}{:?}{:?}", self.keys, self.in_flight, self.controllers, self.leaders)
    }
}
