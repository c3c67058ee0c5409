//! Decides which credit the leader grants and revokes. Each round yields one plan, computed from the
//! records and from the demand that the controllers reported.
//!
//! A team's level is the sum of its outstanding work, its unspent credit and its recently accepted
//! work, divided by its weight. New credit raises the lowest level first ([`crate::max_min`]).
//! Counting outstanding work keeps a team with long jobs from filling the limit; counting recently
//! accepted work keeps a team with short jobs from being accepted more than its share.

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

/// The policy's limit is updated only if it changes by more than this fraction, so that not every
/// machine that starts or stops costs a write.
const LIMIT_CHANGE_THRESHOLD: f64 = 0.125;
/// While no submission is refused, one over this number of the headroom is granted as shared credit,
/// divided equally among the controllers. A controller's part is topped up once more than half of
/// it is spent.
const SHARED_CREDIT_DIVISOR: u64 = 4;
/// Critical and urgent jobs get up to this fraction of their team's credit before other jobs get any.
const URGENT_FRACTION: f64 = 0.8;

/// What the leader knows about a live controller.
#[derive(Debug, Clone, Default)]
pub struct ControllerView {
    /// Name of the controller.
    pub host: String,
    /// Identity of the controller's process.
    pub identity: String,
    /// Jobs that the controller recently refused, by bucket.
    pub demand: BTreeMap<Bucket, BucketDemand>,
    /// Credit that the controller has set aside for submissions with an unknown outcome.
    pub unsettled_credit: u64,
}

/// The input of a plan besides the records.
#[derive(Debug)]
pub struct PlannerInput<'a> {
    /// The operators' settings, validated.
    pub admission: &'a AdmissionConfig,
    /// The live controllers.
    pub controllers: Vec<ControllerView>,
    /// The leader's term, which is a revision of the state service. New epochs are never lower than
    /// it, so a new epoch can't repeat the number of an epoch whose record could not be read.
    pub term: u64,
    /// Whether every live controller supports admission control.
    pub all_support_admission: bool,
    /// Number of processors of the machines that are up.
    pub cpus_up: f64,
    /// The current time of the monotonic clock.
    pub now: Instant,
    /// The current Unix time, in seconds.
    pub unix_time_s: f64,
    /// Maximum size of a record, in bytes.
    pub max_value_bytes: usize,
    /// Maximum number of changes in a transaction.
    pub max_changes: usize,
}

/// The records to commit in one transaction; empty if nothing has to change.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// New policy record.
    pub policy: Option<PolicyRecord>,
    /// New epoch records, by controller name.
    pub epochs: BTreeMap<String, EpochRecord>,
    /// Changed grant pages, by page number.
    pub pages: BTreeMap<u32, GrantPage>,
    /// New reservations record.
    pub reservations: Option<ReservationsRecord>,
}

impl Plan {
    /// Number of records that the plan changes.
    pub fn change_count(&self) -> usize {
        let single = usize::from(self.policy.is_some()) + usize::from(self.reservations.is_some());
        single + self.epochs.len() + self.pages.len()
    }

    /// Whether the plan changes no record.
    pub fn is_empty(&self) -> bool {
        self.change_count() == 0
    }
}

/// Credit to be added, by controller and bucket.
type Grants = BTreeMap<String, BTreeMap<Bucket, u64>>;

/// The leader's state between rounds. None of it needs to survive a change of leader: a new leader
/// starts with an empty planner.
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
    /// Discards all state; called at the beginning of a term.
    pub fn reset(&mut self) {
        *self = Planner::default();
    }

    /// Computes the changes for this round.
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
            // This plan ends these controllers' epochs; they get no credit in the same round.
            grants.retain(|host, _| !plan.epochs.contains_key(host));
        }
        if plan.reservations.is_none() {
            plan.reservations = self.pending_reservations.without_expired(ledger, input.now);
        }
        let spare = input.max_changes.saturating_sub(plan.change_count());
        plan.pages = pages::changed_pages(ledger, &plan.epochs, &grants, input.max_value_bytes, spare);
        plan
    }

    /// The epoch records to write: for controllers whose process changed, that have idle credit
    /// while others refuse jobs, that may have unknown credit, or that are gone.
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
        // Ending the epoch of a controller that is gone makes its unspent credit available again.
        let live: BTreeSet<&String> = input.controllers.iter().map(|controller| &controller.host).collect();
        for (host, record) in ledger.epochs() {
            let no_unknown_credit = !ledger.may_have_unknown_credit(host);
            if !(live.contains(host) || record.identity.is_empty() && no_unknown_credit) {
                epochs.insert(host.clone(), next_epoch(host, ""));
            }
        }
        // The transaction must also have room for the policy, one grant page and the reservations.
        while epochs.len() > input.max_changes.saturating_sub(3).max(1) {
            epochs.pop_last();
        }
        epochs
    }

    /// Divides the headroom among teams, then among each team's buckets, then among the controllers
    /// that refused jobs of the bucket. Returns the reservations record if it changes.
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
        // Starved teams come first, then the teams with the lowest level. The order matters because
        // shares are rounded up to whole jobs while headroom remains.
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

/// The policy that should be in force, if it differs from the current one.
fn desired_policy_change(ledger: &Ledger, input: &PlannerInput) -> Option<PolicyRecord> {
    let current = ledger.policy().map(|(record, _)| record);
    let limit = input.admission.limit(input.cpus_up);
    let within_threshold = |current: &PolicyRecord| {
        current.limit.abs_diff(limit) as f64 <= current.limit as f64 * LIMIT_CHANGE_THRESHOLD
    };
    let limit = current.filter(|current| within_threshold(current)).map_or(limit, |current| current.limit);
    let teams = input.admission.teams.iter();
    // Submissions need credit only once every controller has been granted some; otherwise
    // controllers without credit would refuse everything.
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

/// How much more credit may be granted, in processor-seconds, without exceeding the limits on work
/// and on jobs. Zero while a controller may have been granted credit by a page that can't be
/// read, because that amount is unknown.
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

/// The demand reported by all controllers, by bucket.
fn merged_demand(input: &PlannerInput) -> BTreeMap<Bucket, BucketDemand> {
    let mut all: BTreeMap<Bucket, BucketDemand> = BTreeMap::new();
    for (bucket, demand) in input.controllers.iter().flat_map(|controller| &controller.demand) {
        all.entry(bucket.clone()).or_default().merge(demand);
    }
    all
}

/// The unspent credit of all controllers, by bucket.
fn unspent_by_bucket(ledger: &Ledger) -> BTreeMap<Bucket, u64> {
    let mut all = BTreeMap::new();
    for (host, _) in ledger.epochs() {
        for (bucket, left) in ledger.unspent(host) {
            *all.entry(bucket).or_default() += left;
        }
    }
    all
}

/// Requested work by bucket: the demand that unspent credit does not cover, or what a pending
/// reservation of the bucket still lacks if that is more.
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

/// What each bucket already holds.
struct Holdings {
    /// Outstanding work, unspent credit and reservations, by bucket.
    held: BTreeMap<Bucket, f64>,
    /// Recently accepted work, by bucket.
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

    /// The team's level before division by its weight.
    fn level_of_team(&self, team: &str) -> f64 {
        self.of_team(team) + Holdings::sum(&self.recent, team)
    }

    /// The bucket's level before division by its class's weight.
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

/// Computes the credit that a team gets regardless of its level.
struct Floors<'a> {
    limit: u64,
    starvation: &'a starvation::StarvationTracker,
    now: Instant,
}

impl Floors<'_> {
    /// What a team that holds `held` lacks to its floor, which is `fraction` of the limit; at most
    /// what the team requested. A starved team gets at least one processor-second, which is later
    /// rounded up to a whole job.
    fn floor_shortfall(&self, team: &str, fraction: f64, held: f64, requested: f64) -> f64 {
        let minimum = if self.starvation.is_starved(team, self.now) { 1.0 } else { 0.0 };
        (fraction * self.limit as f64 - held).max(minimum).min(requested)
    }
}

/// Each team's share of the headroom: first what the team lacks to its floor, then the rest by
/// level. The shares are in the order of `teams`.
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

/// Each bucket's share of `team_grant`: first the buckets of critical and urgent jobs, up to
/// [`URGENT_FRACTION`], then all of the team's buckets by level.
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

/// Divides a bucket's grant among the controllers that refused jobs of the bucket, in multiples of
/// the bucket's average charge: controllers with less credit than one job's charge could not accept
/// any job. Returns how much was granted, at most `available`.
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
    // Each controller's credit, including what it holds, is rounded down to whole average charges.
    // The tuples are (held, added, controller).
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
    // The remainder goes to the controllers that need the least for one more whole charge.
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

/// Tops up each controller's shared credit; called while no submission is refused.
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
    // Unspent shared credit can't be moved between controllers, so only the headroom is divided.
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
