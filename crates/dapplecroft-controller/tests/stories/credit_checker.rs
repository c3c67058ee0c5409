//! Checks admission control from the state service's own history, sharing no code with
//! what it checks.

use dapplecroft_fakes::FakeState;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A job's tag: controller, epoch, bucket, charge.
type Tag = (String, u64, String, u64);

#[derive(Debug, Default)]
struct Cell {
    limit: u64,
    in_force: bool,
    /// Live controllers that know nothing of admission control: nothing binds them.
    strangers: BTreeSet<String>,
    /// By controller.
    epochs: BTreeMap<String, u64>,
    /// By controller, epoch and bucket.
    ceilings: BTreeMap<(String, u64, String), u64>,
    reservations: BTreeMap<String, u64>,
    /// By controller, epoch and bucket.
    spent: BTreeMap<(String, u64, String), u64>,
    /// Every job that was ever accepted, and its tag.
    jobs: BTreeMap<String, Option<Tag>>,
    open: BTreeMap<String, u64>,
}

/// What the history comes to.
#[derive(Debug, Default)]
pub struct Verdict {
    /// What was against the rules.
    pub faults: Vec<String>,
    /// The most that was outstanding and out as credit at any revision, over the limit
    /// then.
    pub fullest: f64,
    /// The last revision at which nine tenths of the limit were in use.
    pub last_full: u64,
    /// The last revision.
    pub revision: u64,
    /// Outstanding work at the end.
    pub outstanding: u64,
    /// Credit that can be spent at the end.
    pub credit: u64,
    /// The limit at the end.
    pub limit: u64,
    /// How many jobs were accepted.
    pub accepted: usize,
}

fn tag_of(record: &Value) -> Option<Tag> {
    let tag = record.get("cr")?;
    let text = |n: usize| tag[n].as_str().map(str::to_string);
    Some((text(0)?, tag[1].as_u64()?, text(2)?, tag[3].as_u64()?))
}

impl Cell {
    fn spent(&self, host: &str, epoch: u64, bucket: &str) -> u64 {
        self.spent.get(&(host.into(), epoch, bucket.into())).copied().unwrap_or(0)
    }

    fn ceiling(&self, host: &str, epoch: u64, bucket: &str) -> u64 {
        self.ceilings.get(&(host.into(), epoch, bucket.into())).copied().unwrap_or(0)
    }

    /// What was granted once within an epoch may be spent, whatever became of the record.
    fn apply_page(&mut self, page: &Value) {
        for (host, grant) in page.as_object().into_iter().flatten() {
            let epoch = grant["e"].as_u64().unwrap_or(0);
            for (bucket, ceiling) in grant["c"].as_object().into_iter().flatten() {
                let known = self.ceilings.entry((host.clone(), epoch, bucket.clone())).or_default();
                *known = ceiling.as_u64().unwrap_or(0).max(*known);
            }
        }
    }

    fn credit(&self) -> u64 {
        let current = |(host, epoch, _): &&(String, u64, String)| self.epochs.get(host) == Some(epoch);
        let granted = self.ceilings.iter().filter(|(key, _)| current(key));
        let left = granted
            .map(|((host, epoch, bucket), ceiling)| ceiling.saturating_sub(self.spent(host, *epoch, bucket)));
        let kept = self.reservations.iter().filter(|(id, _)| !self.jobs.contains_key(*id));
        left.sum::<u64>() + kept.map(|(_, charge)| charge).sum::<u64>()
    }

    fn demands_credit(&self) -> bool {
        self.in_force && self.strangers.is_empty()
    }

    fn outstanding(&self) -> u64 {
        self.open.values().sum()
    }

    fn accept(&mut self, id: &str, record: &Value, faults: &mut Vec<String>) {
        let tag = tag_of(record);
        match &tag {
            None if self.demands_credit() => faults.push(format!("{id} was accepted without credit")),
            Some((host, epoch, ..)) if !host.is_empty() && self.epochs.get(host) != Some(epoch) => {
                faults.push(format!("{id} spent credit of {host} of epoch {epoch}, which had ended"));
            }
            Some((host, _, _, charge)) if host.is_empty() && self.reservations.get(id) != Some(charge) => {
                faults.push(format!("{id} spent a reservation that there is not"));
            }
            _ => {}
        }
        self.jobs.insert(id.to_string(), tag.clone());
        if let Some((host, epoch, bucket, charge)) = tag.filter(|tag| !tag.0.is_empty()) {
            *self.spent.entry((host.clone(), epoch, bucket.clone())).or_default() += charge;
            let (spent, ceiling) = (self.spent(&host, epoch, &bucket), self.ceiling(&host, epoch, &bucket));
            if spent > ceiling {
                faults.push(format!("{host} spent {spent} of {ceiling} for {bucket} with {id}"));
            }
        }
    }

    fn apply_job(&mut self, id: &str, value: Option<&Value>, faults: &mut Vec<String>) {
        let Some(record) = value else {
            faults.push(format!("{id} is gone"));
            return;
        };
        if !self.jobs.contains_key(id) {
            self.accept(id, record, faults);
        }
        let tag = tag_of(record);
        if tag != self.jobs[id] {
            faults.push(format!("the tag of {id} changed"));
        }
        if record.get("spec").is_some() {
            self.open.insert(id.to_string(), tag.map_or(0, |tag| tag.3));
        } else {
            self.open.remove(id);
        }
    }

    fn apply(&mut self, key: &str, value: Option<&Value>, faults: &mut Vec<String>) {
        let record = value.cloned().unwrap_or_default();
        if let Some(id) = key.strip_prefix("dc/j/") {
            self.apply_job(id, value, faults);
        } else if let Some(host) = key.strip_prefix("dc/a/e/") {
            let epoch = record["e"].as_u64().unwrap_or(0);
            if self.epochs.get(host).is_some_and(|last| *last >= epoch) {
                faults.push(format!("the epoch of {host} fell to {epoch}"));
            }
            self.epochs.insert(host.to_string(), epoch);
        } else if let Some(host) = key.strip_prefix("dc/n/") {
            let stranger = value.is_some() && record["admission"] != true;
            let _ = if stranger { self.strangers.insert(host.into()) } else { self.strangers.remove(host) };
        } else if key.starts_with("dc/a/g/") {
            self.apply_page(&record);
        } else if key == "dc/a/p" {
            self.limit = record["l"].as_u64().unwrap_or(0);
            self.in_force = record["on"].as_bool().unwrap_or(false);
        } else if key == "dc/a/s" {
            let jobs = record.as_object().into_iter().flatten();
            self.reservations =
                jobs.map(|(id, kept)| (id.clone(), kept["w"].as_u64().unwrap_or(0))).collect();
        }
    }
}

/// Replays the history. At every revision, what is outstanding and out as credit stays
/// within the limit; where the limit has fallen below it, it does not grow.
pub fn check(state: &FakeState) -> Verdict {
    let history = state.history("dc/");
    let mut cell = Cell::default();
    let mut verdict = Verdict::default();
    let mut before = 0;
    let mut at = 0;
    while at < history.len() {
        let revision = history[at].0;
        while at < history.len() && history[at].0 == revision {
            let (_, key, value) = &history[at];
            cell.apply(key, value.as_ref(), &mut verdict.faults);
            at += 1;
        }
        let total = cell.outstanding() + cell.credit();
        if cell.demands_credit() && total > cell.limit && total > before {
            verdict.faults.push(format!("{total} of {} at revision {revision}", cell.limit));
        }
        if cell.demands_credit() && cell.limit > 0 {
            verdict.fullest = verdict.fullest.max(total as f64 / cell.limit as f64);
        }
        if cell.limit > 0 && total * 10 >= cell.limit * 9 {
            verdict.last_full = revision;
        }
        verdict.revision = revision;
        before = total;
    }
    verdict.outstanding = cell.outstanding();
    verdict.credit = cell.credit();
    verdict.limit = cell.limit;
    verdict.accepted = cell.jobs.len();
    verdict
}
