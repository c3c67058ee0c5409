//! Checks admission control by a replay of the state service's history. Shares no code with the
//! controllers, so that a fault in theirs is not repeated here.

use dapplecroft_fakes::FakeState;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Credit that a job's record names: controller, epoch of its credit, bucket (team and class), charge in
/// CPU-seconds. The controller is empty if the job spent a reservation.
type CreditTag = (String, u64, String, u64);

/// Admission control as of one revision of the state service.
#[derive(Debug, Default)]
struct AdmissionState {
    /// Limit of the policy record, in CPU-seconds.
    limit: u64,
    /// Whether the policy record requires credit for submissions.
    policy_requires_credit: bool,
    /// Live controllers without admission control. They accept jobs without credit, so none is
    /// required while there are any.
    controllers_without_admission: BTreeSet<String>,
    /// Current epoch of each controller's credit.
    epochs: BTreeMap<String, u64>,
    /// Cumulative credit granted, by controller, epoch and bucket.
    granted_totals: BTreeMap<(String, u64, String), u64>,
    /// Credit reserved for single large jobs, by job.
    reservations: BTreeMap<String, u64>,
    /// Credit spent on accepted jobs, by controller, epoch and bucket.
    spent: BTreeMap<(String, u64, String), u64>,
    /// Every job that was ever accepted, with its credit tag.
    accepted_jobs: BTreeMap<String, Option<CreditTag>>,
    /// Charges of the accepted jobs that have not ended, by job.
    open_charges: BTreeMap<String, u64>,
}

/// Result of the check of a history.
#[derive(Debug, Default)]
pub struct CheckResult {
    /// Violations of the rules of admission control.
    pub violations: Vec<String>,
    /// Highest ratio of outstanding work and unspent credit together to the limit, at any revision
    /// with credit required.
    pub peak_use: f64,
    /// Last revision at which at least nine tenths of the limit were in use.
    pub last_full_revision: u64,
    /// Last revision of the history.
    pub last_revision: u64,
    /// Charges of accepted jobs that had not ended at the last revision.
    pub outstanding: u64,
    /// Credit that controllers could still spend at the last revision.
    pub unspent_credit: u64,
    /// Limit at the last revision.
    pub limit: u64,
    /// Number of jobs accepted in the whole history.
    pub accepted: usize,
}

fn tag_of(record: &Value) -> Option<CreditTag> {
    let tag = record.get("cr")?;
    let text = |n: usize| tag[n].as_str().map(str::to_string);
    Some((text(0)?, tag[1].as_u64()?, text(2)?, tag[3].as_u64()?))
}

impl AdmissionState {
    fn spent(&self, host: &str, epoch: u64, bucket: &str) -> u64 {
        self.spent.get(&(host.into(), epoch, bucket.into())).copied().unwrap_or(0)
    }

    fn granted_total(&self, host: &str, epoch: u64, bucket: &str) -> u64 {
        self.granted_totals.get(&(host.into(), epoch, bucket.into())).copied().unwrap_or(0)
    }

    /// Takes over the totals of a grant record. Within an epoch the highest total counts, because a
    /// controller may still spend a grant that the record no longer shows.
    fn apply_grants(&mut self, record: &Value) {
        for (host, grant) in record.as_object().into_iter().flatten() {
            let epoch = grant["e"].as_u64().unwrap_or(0);
            for (bucket, total) in grant["c"].as_object().into_iter().flatten() {
                let known = self.granted_totals.entry((host.clone(), epoch, bucket.clone())).or_default();
                *known = total.as_u64().unwrap_or(0).max(*known);
            }
        }
    }

    /// Granted credit of current epochs that is not spent, and reservations whose jobs are not accepted.
    fn unspent_credit(&self) -> u64 {
        let current = |(host, epoch, _): &&(String, u64, String)| self.epochs.get(host) == Some(epoch);
        let granted = self.granted_totals.iter().filter(|(key, _)| current(key));
        let left = granted
            .map(|((host, epoch, bucket), total)| total.saturating_sub(self.spent(host, *epoch, bucket)));
        let reserved = self.reservations.iter().filter(|(id, _)| !self.accepted_jobs.contains_key(*id));
        left.sum::<u64>() + reserved.map(|(_, charge)| charge).sum::<u64>()
    }

    /// Whether a job without credit would break the rules.
    fn requires_credit(&self) -> bool {
        self.policy_requires_credit && self.controllers_without_admission.is_empty()
    }

    fn outstanding(&self) -> u64 {
        self.open_charges.values().sum()
    }

    /// Records the acceptance of a job; reports one without credit, with credit of an ended epoch,
    /// without a matching reservation, or beyond the granted total.
    fn accept(&mut self, id: &str, record: &Value, violations: &mut Vec<String>) {
        let tag = tag_of(record);
        match &tag {
            None if self.requires_credit() => violations.push(format!("{id} was accepted without credit")),
            Some((host, epoch, ..)) if !host.is_empty() && self.epochs.get(host) != Some(epoch) => {
                violations.push(format!("{id} spent credit of {host} from epoch {epoch}, which had ended"));
            }
            Some((host, _, _, charge)) if host.is_empty() && self.reservations.get(id) != Some(charge) => {
                violations.push(format!("{id} spent a reservation that does not exist"));
            }
            _ => {}
        }
        self.accepted_jobs.insert(id.to_string(), tag.clone());
        if let Some((host, epoch, bucket, charge)) = tag.filter(|tag| !tag.0.is_empty()) {
            *self.spent.entry((host.clone(), epoch, bucket.clone())).or_default() += charge;
            let (spent, granted) =
                (self.spent(&host, epoch, &bucket), self.granted_total(&host, epoch, &bucket));
            if spent > granted {
                violations.push(format!("{host} spent {spent} of {granted} granted for {bucket} with {id}"));
            }
        }
    }

    fn apply_job(&mut self, id: &str, value: Option<&Value>, violations: &mut Vec<String>) {
        let Some(record) = value else {
            violations.push(format!("the record of {id} was deleted"));
            return;
        };
        if !self.accepted_jobs.contains_key(id) {
            self.accept(id, record, violations);
        }
        let tag = tag_of(record);
        if tag != self.accepted_jobs[id] {
            violations.push(format!("the credit tag of {id} changed"));
        }
        if record.get("spec").is_some() {
            self.open_charges.insert(id.to_string(), tag.map_or(0, |tag| tag.3));
        } else {
            self.open_charges.remove(id);
        }
    }

    fn apply(&mut self, key: &str, value: Option<&Value>, violations: &mut Vec<String>) {
        let record = value.cloned().unwrap_or_default();
        if let Some(id) = key.strip_prefix("dc/j/") {
            self.apply_job(id, value, violations);
        } else if let Some(host) = key.strip_prefix("dc/a/e/") {
            let epoch = record["e"].as_u64().unwrap_or(0);
            if self.epochs.get(host).is_some_and(|last| *last >= epoch) {
                violations.push(format!("the credit epoch of {host} did not rise: {epoch}"));
            }
            self.epochs.insert(host.to_string(), epoch);
        } else if let Some(host) = key.strip_prefix("dc/n/") {
            let without_admission = value.is_some() && record["admission"] != true;
            let _ = if without_admission {
                self.controllers_without_admission.insert(host.into())
            } else {
                self.controllers_without_admission.remove(host)
            };
        } else if key.starts_with("dc/a/g/") {
            self.apply_grants(&record);
        } else if key == "dc/a/p" {
            self.limit = record["l"].as_u64().unwrap_or(0);
            self.policy_requires_credit = record["on"].as_bool().unwrap_or(false);
        } else if key == "dc/a/s" {
            let jobs = record.as_object().into_iter().flatten();
            self.reservations =
                jobs.map(|(id, reserved)| (id.clone(), reserved["w"].as_u64().unwrap_or(0))).collect();
        }
    }
}

/// Replays the history. At every revision with credit required, outstanding work and unspent credit
/// together must be within the limit; if the limit has been lowered below them, they must not grow.
pub fn check_history(state: &FakeState) -> CheckResult {
    let history = state.history("dc/");
    let mut admission = AdmissionState::default();
    let mut result = CheckResult::default();
    let mut previous_total = 0;
    let mut next = 0;
    while next < history.len() {
        let revision = history[next].0;
        while next < history.len() && history[next].0 == revision {
            let (_, key, value) = &history[next];
            admission.apply(key, value.as_ref(), &mut result.violations);
            next += 1;
        }
        let total = admission.outstanding() + admission.unspent_credit();
        if admission.requires_credit() && total > admission.limit && total > previous_total {
            result
                .violations
                .push(format!("{total} in use of a limit of {} at revision {revision}", admission.limit));
        }
        if admission.requires_credit() && admission.limit > 0 {
            result.peak_use = result.peak_use.max(total as f64 / admission.limit as f64);
        }
        if admission.limit > 0 && total * 10 >= admission.limit * 9 {
            result.last_full_revision = revision;
        }
        result.last_revision = revision;
        previous_total = total;
    }
    result.outstanding = admission.outstanding();
    result.unspent_credit = admission.unspent_credit();
    result.limit = admission.limit;
    result.accepted = admission.accepted_jobs.len();
    result
}
