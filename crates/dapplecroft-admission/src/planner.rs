//! What the leader grants, and takes back: one plan a round, from the records and from
//! what the controllers told of their demand.
//!
//! A team's level is what it has outstanding, its credit, and what it was accepted
//! lately, over its weight. Whatever room there is raises the lowest level first
//! ([`crate::max_min`]). Outstanding work keeps a team whose work is slow from filling
//! the limit; recently accepted work keeps one whose work is quick from being
//! accepted more than its share.

use crate::demand::BucketDemand;
use crate::ledger::Ledger;
use crate::max_min::{Claim, max_min_shares};
use crate::records::{Bucket, EpochRecord, GrantPage, PolicyRecord, ReservationsRecord};
use crate::settings::{AdmissionConfig, TeamShare};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

mod idle_credit;
mod pages;
mod pending_reservations;
mod starvation;

/// The policy's limit is changed only by more than this part of it, so that machines
/// that come and go do not cost a change each.
const LIMIT_CHANGE_THRESHOLD: f64 = 0.125;
/// While nothing is refused, this part of the room is kept as credit that any job may
/// draw on; it is topped up once half of it is spent.
const SHARED_CREDIT_DIVISOR: u64 = 4;
/// Urgent classes get up to this part of what their team gets before the others.
const URGENT_FRACTION: f64 = 0.8;

/// A controller, as the leader sees it.
#[derive(Debug, Clone, Default)]
pub struct ControllerView {
    /// Its name.
    pub host: String,
    /// The identity of its process.
    pub identity: String,
    /// What it refused lately.
    pub demand: BTreeMap<Bucket, BucketDemand>,
    /// Credit that it has set aside for submissions of which nothing is known.
    pub unsettled_credit: u64,
}

/// What a plan rests on besides the records.
#[derive(Debug)]
pub struct PlannerInput<'a> {
    /// The operators' settings.
    pub admission: &'a AdmissionConfig,
    /// Live controllers.
    pub controllers: Vec<ControllerView>,
    /// The leader's term, a revision of the state service: epochs are no lower, so none is
    /// that of a record which could not be read.
    pub term: u64,
    /// Whether every live controller knows of admission.
    pub all_support_admission: bool,
    /// Processors that are up.
    pub cpus_up: f64,
    /// The steady clock.
    pub now: Instant,
    /// Seconds since 1970.
    pub unix_time_s: f64,
    /// Bytes that a record may have.
    pub max_value_bytes: usize,
    /// Changes that a transaction may have.
    pub max_changes: usize,
}

/// What is to be committed in one transaction; nothing if all is as wanted.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// The policy.
    pub policy: Option<PolicyRecord>,
    /// Controllers' epochs.
    pub epochs: BTreeMap<String, EpochRecord>,
    /// Pages of grants.
    pub pages: BTreeMap<u32, GrantPage>,
    /// What is kept for single jobs.
    pub reservations: Option<ReservationsRecord>,
}

impl Plan {
    /// How many records it changes.
    pub fn change_count(&self) -> usize {
        let single = usize::from(self.policy.is_some()) + usize::from(self.reservations.is_some());
        single + self.epochs.len() + self.pages.len()
    }

    /// Whether nothing is to be done.
    pub fn is_empty(&self) -> bool {
        self.change_count() == 0
    }
}

/// Credit to be added, by controller and bucket.
type Grants = BTreeMap<String, BTreeMap<Bucket, u64>>;

/// The leader's memory between rounds. It holds nothing that must last: a new leader
/// begins with none.
#[derive(Debug, Default)]
pub struct Planner {
    idle_credit: idle_credit::IdleCreditTracker,
    pending_reservations: pending_reservations::PendingReservations,
    starvation: starvation::StarvationTracker,
}

fn floor_to_cpu_seconds(work: f64) -> u64 {
    work.max(0.0).floor() as u64
}

impl Planner {
    /// Forgets everything, at the beginning of a term.
    pub fn reset(&mut self) {
        *self = Planner::default();
    }

    /// The next plan.
    pub fn plan(&mut self, ledger: &Ledger, input: &PlannerInput) -> Plan {
        let mut plan = Plan { policy: desired_policy_change(ledger, input), ..Plan::default() };
        let policy = plan.policy.as_ref().or(ledger.policy().map(|(record, _)| record));
        let Some(policy) = policy.cloned() else { return plan };
        if !input.all_support_admission {
            return plan;
        }
        let demand = merged_demand(input);
        plan.epochs = self.epoch_changes(ledger, input, &policy, !demand.is_empty());
        let headroom = headroom(ledger, &policy);
        let mut grants = Grants::new();
        if demand.is_empty() {
            self.pending_reservations.clear();
            top_up_shared_credit(ledger, input, &plan, headroom, &mut grants);
        } else {
            plan.reservations = self.grant_demand(ledger, input, &policy, &demand, headroom, &mut grants);
            // Of an epoch that ends with this plan, nothing could be spent.
            grants.retain(|host, _| !plan.epochs.contains_key(host));
        }
        if plan.reservations.is_none() {
            plan.reservations = self.pending_reservations.without_expired(ledger, input.now);
        }
        let spare = input.max_changes.saturating_sub(plan.change_count());
        plan.pages = pages::changed_pages(ledger, &plan.epochs, &grants, input.max_value_bytes, spare);
        plan
    }

    fn epoch_changes(
        &mut self,
        ledger: &Ledger,
        input: &PlannerInput,
        policy: &PolicyRecord,
        has_demand: bool,
    ) -> BTreeMap<String, EpochRecord> {
        let min_charge = input.admission.min_charge(policy.limit);
        let next_epoch = |host: &str, identity: &str| {
            let last = ledger.epoch(host).map_or(0, |(record, _)| record.epoch);
            let epoch = input.term.max(last + 1);
            EpochRecord { identity: identity.to_string(), epoch, min_charge }
        };
        let mut epochs = BTreeMap::new();
        for controller in &input.controllers {
            let (host, identity) = (&controller.host, &controller.identity);
            let current = ledger.epoch(host).map(|(record, _)| record);
            let same_process = current.is_some_and(|record| record.identity == *identity);
            let has_idle_credit = same_process
                && has_demand
                && self.idle_credit.should_revoke(ledger, controller, policy.limit, input.now);
            if !same_process || has_idle_credit || ledger.may_have_unknown_credit(host) {
                epochs.insert(host.clone(), next_epoch(host, identity));
            }
        }
        // The credit of a controller that is gone comes back with the end of its epoch.
        let live: BTreeSet<&String> = input.controllers.iter().map(|controller| &controller.host).collect();
        for (host, record) in ledger.epochs() {
            let no_unknown_credit = !ledger.may_have_unknown_credit(host);
            if !(live.contains(host) || record.identity.is_empty() && no_unknown_credit) {
                epochs.insert(host.clone(), next_epoch(host, ""));
            }
        }
        // Room for the policy, a page of grants and the reservations.
        while epochs.len() > input.max_changes.saturating_sub(3).max(1) {
            epochs.pop_last();
        }
        epochs
    }

    /// Divides the room among teams, their classes, and the controllers that were asked.
    fn grant_demand(
        &mut self,
        ledger: &Ledger,
        input: &PlannerInput,
        policy: &PolicyRecord,
        demand: &BTreeMap<Bucket, BucketDemand>,
        headroom: u64,
        grants: &mut Grants,
    ) -> Option<ReservationsRecord> {
        self.pending_reservations.select_jobs(ledger, demand, policy, input.now);
        let headroom = headroom.saturating_sub(self.pending_reservations.accumulated_total());
        let unspent = unspent_by_bucket(ledger);
        let requested = requested_by_bucket(demand, &unspent, &self.pending_reservations.shortfalls());
        let holdings = Holdings::new(ledger, &unspent, input.unix_time_s);
        let mut teams: Vec<&str> = distinct_teams(&requested);
        let level = |team: &&str| holdings.level_of_team(team) / share_of(input.admission, team).weight;
        teams.sort_by(|a, b| level(a).total_cmp(&level(b)));
        self.starvation.set_requesting_teams(&teams, input.now);
        // Who has waited long first, then the lowest level: shares are rounded up to whole
        // jobs while there is room.
        teams.sort_by_key(|team| !self.starvation.is_starved(team, input.now));
        let floors = Floors { limit: policy.limit, starvation: &self.starvation, now: input.now };
        let shares = team_shares(&teams, &requested, &holdings, input.admission, &floors, headroom);
        let mut left = headroom;
        for (team, granted) in teams.into_iter().zip(shares) {
            let accumulated = self.pending_reservations.accumulate(team, granted.min(left as f64));
            left = left.saturating_sub(floor_to_cpu_seconds(accumulated.ceil()));
            let share = share_of(input.admission, team);
            let before = left;
            for (bucket, work) in class_shares(team, &requested, &holdings, &share, granted - accumulated) {
                left -=
                    distribute_to_controllers(ledger, input, &bucket, &demand[&bucket], work, left, grants);
            }
            if left < before {
                self.starvation.record_grant(team, input.now);
            }
        }
        self.pending_reservations.convert_to_reservations(ledger, policy, input)
    }
}

/// The policy that ought to be in force, if it is another one.
fn desired_policy_change(ledger: &Ledger, input: &PlannerInput) -> Option<PolicyRecord> {
    let current = ledger.policy().map(|(record, _)| record);
    let limit = input.admission.limit(input.cpus_up);
    let within_threshold = |current: &PolicyRecord| {
        current.limit.abs_diff(limit) as f64 <= current.limit as f64 * LIMIT_CHANGE_THRESHOLD
    };
    let limit = current.filter(|current| within_threshold(current)).map_or(limit, |current| current.limit);
    let teams = input.admission.teams.iter();
    // Credit is demanded once all have some.
    let has_credit = |controller: &ControllerView| {
        let has_own_epoch =
            ledger.epoch(&controller.host).is_some_and(|(record, _)| record.identity == controller.identity);
        has_own_epoch && ledger.grant(&controller.host).is_some()
    };
    let already_in_force = current.is_some_and(|current| current.in_force);
    let ready = already_in_force || !input.controllers.is_empty() && input.controllers.iter().all(has_credit);
    let desired = PolicyRecord {
        in_force: input.all_support_admission && ready,
        limit,
        max_jobs: input.admission.max_jobs,
        max_charge: input.admission.max_charge(limit),
        weights: teams.map(|(team, share)| (team.clone(), share.weight)).collect(),
    };
    (current != Some(&desired)).then_some(desired)
}

/// How much more credit may go out.
pub fn headroom(ledger: &Ledger, policy: &PolicyRecord) -> u64 {
    if ledger.epochs().any(|(host, _)| ledger.may_have_unknown_credit(host)) {
        return 0;
    }
    let work =
        policy.limit.saturating_sub(ledger.outstanding_work()).saturating_sub(ledger.outstanding_credit());
    let jobs = policy
        .max_jobs
        .saturating_sub(ledger.outstanding_jobs())
        .saturating_sub(ledger.jobs_covered_by_credit());
    let min_charge = ledger.epochs().map(|(_, record)| record.min_charge).min().unwrap_or(1);
    work.min(jobs.saturating_mul(min_charge))
}

fn merged_demand(input: &PlannerInput) -> BTreeMap<Bucket, BucketDemand> {
    let mut all: BTreeMap<Bucket, BucketDemand> = BTreeMap::new();
    for (bucket, demand) in input.controllers.iter().flat_map(|controller| &controller.demand) {
        all.entry(bucket.clone()).or_default().merge(demand);
    }
    all
}

fn unspent_by_bucket(ledger: &Ledger) -> BTreeMap<Bucket, u64> {
    let mut all = BTreeMap::new();
    for (host, _) in ledger.epochs() {
        for (bucket, left) in ledger.unspent(host) {
            *all.entry(bucket).or_default() += left;
        }
    }
    all
}

/// Work that is asked for by bucket, beyond the credit that is out for it and beyond the
/// jobs that are saved up for; what is missing for those counts as asked for too.
fn requested_by_bucket(
    demand: &BTreeMap<Bucket, BucketDemand>,
    unspent: &BTreeMap<Bucket, u64>,
    shortfalls: &BTreeMap<Bucket, u64>,
) -> BTreeMap<Bucket, f64> {
    let amount_of =
        |amounts: &BTreeMap<Bucket, u64>, bucket: &Bucket| amounts.get(bucket).copied().unwrap_or(0);
    let requested = |bucket: &Bucket, demand: &BucketDemand| {
        let uncovered = demand.sketch.work().saturating_sub(amount_of(unspent, bucket));
        uncovered.max(amount_of(shortfalls, bucket)) as f64
    };
    demand.iter().map(|(bucket, demand)| (bucket.clone(), requested(bucket, demand))).collect()
}

/// What teams and classes hold already.
struct Holdings {
    /// Outstanding work and credit.
    held: BTreeMap<Bucket, f64>,
    /// Work that was accepted lately.
    recent: BTreeMap<Bucket, f64>,
}

impl Holdings {
    fn new(ledger: &Ledger, unspent: &BTreeMap<Bucket, u64>, unix_time_s: f64) -> Holdings {
        let mut held: BTreeMap<Bucket, f64> = BTreeMap::new();
        for (bucket, work) in ledger.outstanding_by_bucket().iter().chain(unspent) {
            *held.entry(bucket.clone()).or_default() += *work as f64;
        }
        for reservation in ledger.reservations().0.jobs.values() {
            *held.entry(reservation.bucket.clone()).or_default() += reservation.charge as f64;
        }
        Holdings { held, recent: ledger.recent_work(unix_time_s) }
    }

    fn sum<'a>(amounts: &'a BTreeMap<Bucket, f64>, team: &str) -> f64 {
        let of_this_team = |(bucket, _): &(&'a Bucket, &'a f64)| bucket.team() == team;
        amounts.iter().filter(of_this_team).map(|(_, work)| work).sum()
    }

    fn of_team(&self, team: &str) -> f64 {
        Holdings::sum(&self.held, team)
    }

    fn level_of_team(&self, team: &str) -> f64 {
        self.of_team(team) + Holdings::sum(&self.recent, team)
    }

    fn level_of(&self, bucket: &Bucket) -> f64 {
        let amount_of = |amounts: &BTreeMap<Bucket, f64>| amounts.get(bucket).copied().unwrap_or(0.0);
        amount_of(&self.held) + amount_of(&self.recent)
    }
}

fn distinct_teams(requested: &BTreeMap<Bucket, f64>) -> Vec<&str> {
    let teams: BTreeSet<&str> = requested.keys().map(Bucket::team).collect();
    teams.into_iter().collect()
}

fn share_of(admission: &AdmissionConfig, team: &str) -> TeamShare {
    let default = TeamShare { weight: 1.0, floor: 0.0, classes: BTreeMap::new() };
    admission.teams.get(team).cloned().unwrap_or(default)
}

/// What teams have whatever their level.
struct Floors<'a> {
    limit: u64,
    starvation: &'a starvation::StarvationTracker,
    now: Instant,
}

impl Floors<'_> {
    /// What is missing of a team's floor, of which it holds a part. One that has waited
    /// long gets a little, which is rounded up to a job.
    fn floor_shortfall(&self, team: &str, fraction: f64, held: f64, requested: f64) -> f64 {
        let minimum = if self.starvation.is_starved(team, self.now) { 1.0 } else { 0.0 };
        (fraction * self.limit as f64 - held).max(minimum).min(requested)
    }
}

/// What each team gets of the room: first what is missing of its floor, then by level.
fn team_shares(
    teams: &[&str],
    requested: &BTreeMap<Bucket, f64>,
    holdings: &Holdings,
    admission: &AdmissionConfig,
    floors: &Floors,
    headroom: u64,
) -> Vec<f64> {
    let requested_by = |team: &str| {
        let own_buckets = requested.iter().filter(|(bucket, _)| bucket.team() == team);
        own_buckets.map(|(_, work)| work).sum::<f64>()
    };
    let floor_claims: Vec<Claim> = teams
        .iter()
        .map(|team| {
            let fraction = share_of(admission, team).floor;
            let requested =
                floors.floor_shortfall(team, fraction, holdings.of_team(team), requested_by(team));
            Claim { weight: 1.0, held: 0.0, requested }
        })
        .collect();
    let first = max_min_shares(headroom as f64, &floor_claims);
    let left = headroom as f64 - first.iter().sum::<f64>();
    let claims: Vec<Claim> = teams
        .iter()
        .zip(&first)
        .map(|(team, first)| Claim {
            weight: share_of(admission, team).weight,
            held: holdings.level_of_team(team) + first,
            requested: (requested_by(team) - first).max(0.0),
        })
        .collect();
    max_min_shares(left, &claims).into_iter().zip(first).map(|(more, first)| more + first).collect()
}

/// What each class of a team gets: urgent ones first, up to a part, then all by level.
fn class_shares(
    team: &str,
    requests: &BTreeMap<Bucket, f64>,
    holdings: &Holdings,
    team_share: &TeamShare,
    team_grant: f64,
) -> Vec<(Bucket, f64)> {
    let own_buckets: Vec<(&Bucket, f64)> = requests
        .iter()
        .filter(|(bucket, _)| bucket.team() == team)
        .map(|(bucket, work)| (bucket, *work))
        .collect();
    let claim = |bucket: &Bucket, granted: f64, requested: f64| Claim {
        weight: team_share.classes.get(bucket.class()).copied().unwrap_or(1.0),
        held: holdings.level_of(bucket) + granted,
        requested: (requested - granted).max(0.0),
    };
    let urgent: Vec<Claim> = own_buckets
        .iter()
        .map(|(bucket, work)| claim(bucket, 0.0, if bucket.is_urgent() { *work } else { 0.0 }))
        .collect();
    let first = max_min_shares(team_grant * URGENT_FRACTION, &urgent);
    let rest: Vec<Claim> =
        own_buckets.iter().zip(&first).map(|((bucket, work), first)| claim(bucket, *first, *work)).collect();
    let second = max_min_shares(team_grant - first.iter().sum::<f64>(), &rest);
    let sums = first.into_iter().zip(second).map(|(a, b)| a + b);
    own_buckets.into_iter().zip(sums).map(|((bucket, _), work)| (bucket.clone(), work)).collect()
}

/// Divides a bucket's grant among the controllers that were asked, in pieces that take a
/// job each: less than a job's charge at each of several controllers would be of no use to
/// anybody. Returns how much was given, at most `available`.
fn distribute_to_controllers(
    ledger: &Ledger,
    input: &PlannerInput,
    bucket: &Bucket,
    demand: &BucketDemand,
    work: f64,
    available: u64,
    grants: &mut Grants,
) -> u64 {
    let average_charge = demand.sketch.work().div_ceil(demand.sketch.count().max(1)).max(1);
    let mut left =
        floor_to_cpu_seconds(work).div_ceil(average_charge).saturating_mul(average_charge).min(available);
    let asked: Vec<&ControllerView> =
        input.controllers.iter().filter(|controller| controller.demand.contains_key(bucket)).collect();
    let unspent = |host: &str| ledger.unspent(host).get(bucket).copied().unwrap_or(0);
    let claims: Vec<Claim> = asked
        .iter()
        .map(|controller| Claim {
            weight: 1.0,
            held: unspent(&controller.host) as f64,
            requested: controller.demand[bucket].sketch.work() as f64,
        })
        .collect();
    // What a controller has, up to whole pieces.
    let mut grants_by_host: Vec<(u64, u64, &str)> = asked
        .iter()
        .zip(max_min_shares(left as f64, &claims))
        .map(|(controller, work)| {
            let held = unspent(&controller.host);
            let whole = (held + floor_to_cpu_seconds(work)) / average_charge * average_charge;
            (held, whole.saturating_sub(held), controller.host.as_str())
        })
        .collect();
    left -= grants_by_host.iter().map(|(_, more, _)| more).sum::<u64>();
    // The rest goes where the least is missing for another one.
    let missing_to_next = |held: u64, more: u64| average_charge - (held + more) % average_charge;
    grants_by_host.sort_by_key(|(held, more, _)| missing_to_next(*held, *more));
    for (held, more, _) in &mut grants_by_host {
        let next = missing_to_next(*held, *more);
        if next <= left {
            left -= next;
            *more += next;
        }
    }
    for (_, more, host) in grants_by_host.iter().filter(|(_, more, _)| *more > 0) {
        *grants.entry(host.to_string()).or_default().entry(bucket.clone()).or_default() += more;
    }
    grants_by_host.iter().map(|(_, more, _)| more).sum()
}

/// While nothing is refused, each controller has credit that any job may draw on.
fn top_up_shared_credit(
    ledger: &Ledger,
    input: &PlannerInput,
    plan: &Plan,
    headroom: u64,
    grants: &mut Grants,
) {
    let shared = Bucket::shared();
    let ready = |controller: &&ControllerView| {
        let next = plan.epochs.get(&controller.host);
        let epoch = next.or(ledger.epoch(&controller.host).map(|(record, _)| record));
        epoch.is_some_and(|epoch| epoch.identity == controller.identity)
    };
    let controllers: Vec<&ControllerView> = input.controllers.iter().filter(ready).collect();
    let unspent = |host: &str| match plan.epochs.contains_key(host) {
        true => 0,
        false => ledger.unspent(host).get(&shared).copied().unwrap_or(0),
    };
    let total_unspent: u64 = controllers.iter().map(|controller| unspent(&controller.host)).sum();
    let count = u64::try_from(input.controllers.len().max(1)).unwrap_or(1);
    let target = (headroom + total_unspent) / SHARED_CREDIT_DIVISOR / count;
    // What others hold of it can't be moved: only the room is divided.
    let mut headroom = headroom;
    for controller in controllers {
        let unspent = unspent(&controller.host);
        let more = target.saturating_sub(unspent).min(headroom);
        if unspent < target.div_ceil(2) && more > 0 {
            headroom -= more;
            let grant = grants.entry(controller.host.clone()).or_default();
            grant.insert(shared.clone(), more);
        }
    }
}
