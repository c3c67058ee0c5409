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
use crate::max_min::{Claim, share};
use crate::records::{Bucket, EpochRecord, GrantPage, PolicyRecord, ReservationsRecord};
use crate::settings::{Admission, TeamShare};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

mod idle;
mod pages;
mod saving;
mod waiting;

/// The policy's limit is changed only by more than this part of it, so that machines
/// that come and go do not cost a change each.
const LIMIT_STEP: f64 = 0.125;
/// While nothing is refused, this part of the room is kept as credit that any job may
/// draw on; it is topped up once half of it is spent.
const SHARED_PART: u64 = 4;
/// Urgent classes get up to this part of what their team gets before the others.
const URGENT_PART: f64 = 0.8;

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
    pub stuck: u64,
}

/// What a plan rests on besides the records.
#[derive(Debug)]
pub struct PlannerInput<'a> {
    /// The operators' settings.
    pub admission: &'a Admission,
    /// Live controllers.
    pub controllers: Vec<ControllerView>,
    /// The leader's term, a revision of the state service: epochs are no lower, so none is
    /// that of a record which could not be read.
    pub term: u64,
    /// Whether every live controller knows of admission.
    pub all_know: bool,
    /// Processors that are up.
    pub cpus_up: f64,
    /// The steady clock.
    pub now: Instant,
    /// Seconds since 1970.
    pub wall: f64,
    /// Bytes that a record may have.
    pub max_value: usize,
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
    pub fn changes(&self) -> usize {
        let single = usize::from(self.policy.is_some()) + usize::from(self.reservations.is_some());
        single + self.epochs.len() + self.pages.len()
    }

    /// Whether nothing is to be done.
    pub fn is_empty(&self) -> bool {
        self.changes() == 0
    }
}

/// Credit to be added, by controller and bucket.
type Grants = BTreeMap<String, BTreeMap<Bucket, u64>>;

/// The leader's memory between rounds. It holds nothing that must last: a new leader
/// begins with none.
#[derive(Debug, Default)]
pub struct Planner {
    idle: idle::IdleWatch,
    savings: saving::Savings,
    waiting: waiting::WaitingTeams,
}

fn as_units(work: f64) -> u64 {
    work.max(0.0).floor() as u64
}

impl Planner {
    /// Forgets everything, at the beginning of a term.
    pub fn reset(&mut self) {
        *self = Planner::default();
    }

    /// The next plan.
    pub fn plan(&mut self, ledger: &Ledger, input: &PlannerInput) -> Plan {
        let mut plan = Plan { policy: wanted_policy(ledger, input), ..Plan::default() };
        let policy = plan.policy.as_ref().or(ledger.policy().map(|(record, _)| record));
        let Some(policy) = policy.cloned() else { return plan };
        if !input.all_know {
            return plan;
        }
        let demand = merged_demand(input);
        plan.epochs = self.wanted_epochs(ledger, input, &policy, !demand.is_empty());
        let room = room(ledger, &policy);
        let mut grants = Grants::new();
        if demand.is_empty() {
            self.savings.clear();
            top_up_shared(ledger, input, &plan, room, &mut grants);
        } else {
            plan.reservations = self.grant_demand(ledger, input, &policy, &demand, room, &mut grants);
            // Of an epoch that ends with this plan, nothing could be spent.
            grants.retain(|host, _| !plan.epochs.contains_key(host));
        }
        if plan.reservations.is_none() {
            plan.reservations = self.savings.without_expired(ledger, input.now);
        }
        let spare = input.max_changes.saturating_sub(plan.changes());
        plan.pages = pages::with_grants(ledger, &plan.epochs, &grants, input.max_value, spare);
        plan
    }

    fn wanted_epochs(
        &mut self,
        ledger: &Ledger,
        input: &PlannerInput,
        policy: &PolicyRecord,
        wanted: bool,
    ) -> BTreeMap<String, EpochRecord> {
        let least = input.admission.least(policy.limit);
        let next = |host: &str, identity: &str| {
            let last = ledger.epoch(host).map_or(0, |(record, _)| record.epoch);
            let epoch = input.term.max(last + 1);
            EpochRecord { identity: identity.to_string(), epoch, least }
        };
        let mut epochs = BTreeMap::new();
        for controller in &input.controllers {
            let (host, identity) = (&controller.host, &controller.identity);
            let known = ledger.epoch(host).map(|(record, _)| record);
            let same = known.is_some_and(|record| record.identity == *identity);
            let idle = same && wanted && self.idle.is_idle(ledger, controller, policy.limit, input.now);
            if !same || idle || ledger.may_have_untold_credit(host) {
                epochs.insert(host.clone(), next(host, identity));
            }
        }
        // The credit of a controller that is gone comes back with the end of its epoch.
        let live: BTreeSet<&String> = input.controllers.iter().map(|controller| &controller.host).collect();
        for (host, record) in ledger.epochs() {
            let told = !ledger.may_have_untold_credit(host);
            if !(live.contains(host) || record.identity.is_empty() && told) {
                epochs.insert(host.clone(), next(host, ""));
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
        room: u64,
        grants: &mut Grants,
    ) -> Option<ReservationsRecord> {
        self.savings.choose(ledger, demand, policy, input.now);
        let room = room.saturating_sub(self.savings.saved());
        let unspent = unspent_by_bucket(ledger);
        let wants = wanted_by_bucket(demand, &unspent, &self.savings.missing());
        let holdings = Holdings::new(ledger, &unspent, input.wall);
        let mut teams: Vec<&str> = distinct_teams(&wants);
        let level = |team: &&str| holdings.level_of_team(team) / share_of(input.admission, team).weight;
        teams.sort_by(|a, b| level(a).total_cmp(&level(b)));
        self.waiting.keep(&teams, input.now);
        // Who has waited long first, then the lowest level: shares are rounded up to whole
        // jobs while there is room.
        teams.sort_by_key(|team| !self.waiting.is_long(team, input.now));
        let floors = Floors { limit: policy.limit, waiting: &self.waiting, now: input.now };
        let shares = team_shares(&teams, &wants, &holdings, input.admission, &floors, room);
        let mut left = room;
        for (team, granted) in teams.into_iter().zip(shares) {
            let saved = self.savings.save(team, granted.min(left as f64));
            left = left.saturating_sub(as_units(saved.ceil()));
            let share = share_of(input.admission, team);
            let before = left;
            for (bucket, work) in class_shares(team, &wants, &holdings, &share, granted - saved) {
                left -= spread(ledger, input, &bucket, &demand[&bucket], work, left, grants);
            }
            if left < before {
                self.waiting.served(team, input.now);
            }
        }
        self.savings.reserve(ledger, policy, input)
    }
}

/// The policy that ought to be in force, if it is another one.
fn wanted_policy(ledger: &Ledger, input: &PlannerInput) -> Option<PolicyRecord> {
    let known = ledger.policy().map(|(record, _)| record);
    let limit = input.admission.limit(input.cpus_up);
    let near = |known: &PolicyRecord| known.limit.abs_diff(limit) as f64 <= known.limit as f64 * LIMIT_STEP;
    let limit = known.filter(|known| near(known)).map_or(limit, |known| known.limit);
    let shares = input.admission.teams.iter();
    // Credit is demanded once all have some.
    let has_credit = |controller: &ControllerView| {
        let own =
            ledger.epoch(&controller.host).is_some_and(|(record, _)| record.identity == controller.identity);
        own && ledger.grant(&controller.host).is_some()
    };
    let begun = known.is_some_and(|known| known.in_force);
    let ready = begun || !input.controllers.is_empty() && input.controllers.iter().all(has_credit);
    let wanted = PolicyRecord {
        in_force: input.all_know && ready,
        limit,
        jobs: input.admission.max_jobs,
        largest: input.admission.largest(limit),
        weights: shares.map(|(team, share)| (team.clone(), share.weight)).collect(),
    };
    (known != Some(&wanted)).then_some(wanted)
}

/// How much more credit may go out.
pub fn room(ledger: &Ledger, policy: &PolicyRecord) -> u64 {
    if ledger.epochs().any(|(host, _)| ledger.may_have_untold_credit(host)) {
        return 0;
    }
    let work = policy.limit.saturating_sub(ledger.outstanding()).saturating_sub(ledger.credit());
    let jobs = policy.jobs.saturating_sub(ledger.outstanding_jobs()).saturating_sub(ledger.credit_jobs());
    let least = ledger.epochs().map(|(_, record)| record.least).min().unwrap_or(1);
    work.min(jobs.saturating_mul(least))
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
fn wanted_by_bucket(
    demand: &BTreeMap<Bucket, BucketDemand>,
    unspent: &BTreeMap<Bucket, u64>,
    missing: &BTreeMap<Bucket, u64>,
) -> BTreeMap<Bucket, f64> {
    let of = |amounts: &BTreeMap<Bucket, u64>, bucket: &Bucket| amounts.get(bucket).copied().unwrap_or(0);
    let wanted = |bucket: &Bucket, demand: &BucketDemand| {
        let small = demand.sketch.work().saturating_sub(of(unspent, bucket));
        small.max(of(missing, bucket)) as f64
    };
    demand.iter().map(|(bucket, demand)| (bucket.clone(), wanted(bucket, demand))).collect()
}

/// What teams and classes hold already.
struct Holdings {
    /// Outstanding work and credit.
    held: BTreeMap<Bucket, f64>,
    /// Work that was accepted lately.
    recent: BTreeMap<Bucket, f64>,
}

impl Holdings {
    fn new(ledger: &Ledger, unspent: &BTreeMap<Bucket, u64>, wall: f64) -> Holdings {
        let mut held: BTreeMap<Bucket, f64> = BTreeMap::new();
        for (bucket, work) in ledger.outstanding_by_bucket().iter().chain(unspent) {
            *held.entry(bucket.clone()).or_default() += *work as f64;
        }
        for reservation in ledger.reservations().0.jobs.values() {
            *held.entry(reservation.bucket.clone()).or_default() += reservation.charge as f64;
        }
        Holdings { held, recent: ledger.recent(wall) }
    }

    fn sum<'a>(amounts: &'a BTreeMap<Bucket, f64>, team: &str) -> f64 {
        let own = |(bucket, _): &(&'a Bucket, &'a f64)| bucket.team() == team;
        amounts.iter().filter(own).map(|(_, work)| work).sum()
    }

    fn of_team(&self, team: &str) -> f64 {
        Holdings::sum(&self.held, team)
    }

    fn level_of_team(&self, team: &str) -> f64 {
        self.of_team(team) + Holdings::sum(&self.recent, team)
    }

    fn level_of(&self, bucket: &Bucket) -> f64 {
        let of = |amounts: &BTreeMap<Bucket, f64>| amounts.get(bucket).copied().unwrap_or(0.0);
        of(&self.held) + of(&self.recent)
    }
}

fn distinct_teams(wants: &BTreeMap<Bucket, f64>) -> Vec<&str> {
    let teams: BTreeSet<&str> = wants.keys().map(Bucket::team).collect();
    teams.into_iter().collect()
}

fn share_of(admission: &Admission, team: &str) -> TeamShare {
    let default = TeamShare { weight: 1.0, floor: 0.0, classes: BTreeMap::new() };
    admission.teams.get(team).cloned().unwrap_or(default)
}

/// What teams have whatever their level.
struct Floors<'a> {
    limit: u64,
    waiting: &'a waiting::WaitingTeams,
    now: Instant,
}

impl Floors<'_> {
    /// What is missing of a team's floor, of which it holds a part. One that has waited
    /// long gets a little, which is rounded up to a job.
    fn missing(&self, team: &str, part: f64, held: f64, wanted: f64) -> f64 {
        let least = if self.waiting.is_long(team, self.now) { 1.0 } else { 0.0 };
        (part * self.limit as f64 - held).max(least).min(wanted)
    }
}

/// What each team gets of the room: first what is missing of its floor, then by level.
fn team_shares(
    teams: &[&str],
    wants: &BTreeMap<Bucket, f64>,
    holdings: &Holdings,
    admission: &Admission,
    floors: &Floors,
    room: u64,
) -> Vec<f64> {
    let wanted = |team: &str| {
        let own = wants.iter().filter(|(bucket, _)| bucket.team() == team);
        own.map(|(_, work)| work).sum::<f64>()
    };
    let missing: Vec<Claim> = teams
        .iter()
        .map(|team| {
            let part = share_of(admission, team).floor;
            let wanted = floors.missing(team, part, holdings.of_team(team), wanted(team));
            Claim { weight: 1.0, held: 0.0, wanted }
        })
        .collect();
    let first = share(room as f64, &missing);
    let left = room as f64 - first.iter().sum::<f64>();
    let claims: Vec<Claim> = teams
        .iter()
        .zip(&first)
        .map(|(team, first)| Claim {
            weight: share_of(admission, team).weight,
            held: holdings.level_of_team(team) + first,
            wanted: (wanted(team) - first).max(0.0),
        })
        .collect();
    share(left, &claims).into_iter().zip(first).map(|(more, first)| more + first).collect()
}

/// What each class of a team gets: urgent ones first, up to a part, then all by level.
fn class_shares(
    team: &str,
    wants: &BTreeMap<Bucket, f64>,
    holdings: &Holdings,
    team_share: &TeamShare,
    room: f64,
) -> Vec<(Bucket, f64)> {
    let own: Vec<(&Bucket, f64)> = wants
        .iter()
        .filter(|(bucket, _)| bucket.team() == team)
        .map(|(bucket, work)| (bucket, *work))
        .collect();
    let claim = |bucket: &Bucket, given: f64, wanted: f64| Claim {
        weight: team_share.classes.get(bucket.class()).copied().unwrap_or(1.0),
        held: holdings.level_of(bucket) + given,
        wanted: (wanted - given).max(0.0),
    };
    let urgent: Vec<Claim> = own
        .iter()
        .map(|(bucket, work)| claim(bucket, 0.0, if bucket.is_urgent() { *work } else { 0.0 }))
        .collect();
    let first = share(room * URGENT_PART, &urgent);
    let rest: Vec<Claim> =
        own.iter().zip(&first).map(|((bucket, work), first)| claim(bucket, *first, *work)).collect();
    let second = share(room - first.iter().sum::<f64>(), &rest);
    let sums = first.into_iter().zip(second).map(|(a, b)| a + b);
    own.into_iter().zip(sums).map(|((bucket, _), work)| (bucket.clone(), work)).collect()
}

/// Divides a bucket's grant among the controllers that were asked, in pieces that take a
/// job each: less than a job's charge at each of several controllers would be of no use to
/// anybody. Returns how much was given, at most `room`.
fn spread(
    ledger: &Ledger,
    input: &PlannerInput,
    bucket: &Bucket,
    demand: &BucketDemand,
    work: f64,
    room: u64,
    grants: &mut Grants,
) -> u64 {
    let piece = demand.sketch.work().div_ceil(demand.sketch.count().max(1)).max(1);
    let mut left = as_units(work).div_ceil(piece).saturating_mul(piece).min(room);
    let asked: Vec<&ControllerView> =
        input.controllers.iter().filter(|controller| controller.demand.contains_key(bucket)).collect();
    let unspent = |host: &str| ledger.unspent(host).get(bucket).copied().unwrap_or(0);
    let claims: Vec<Claim> = asked
        .iter()
        .map(|controller| Claim {
            weight: 1.0,
            held: unspent(&controller.host) as f64,
            wanted: controller.demand[bucket].sketch.work() as f64,
        })
        .collect();
    // What a controller has, up to whole pieces.
    let mut given: Vec<(u64, u64, &str)> = asked
        .iter()
        .zip(share(left as f64, &claims))
        .map(|(controller, work)| {
            let held = unspent(&controller.host);
            let whole = (held + as_units(work)) / piece * piece;
            (held, whole.saturating_sub(held), controller.host.as_str())
        })
        .collect();
    left -= given.iter().map(|(_, more, _)| more).sum::<u64>();
    // The rest goes where the least is missing for another one.
    let missing = |held: u64, more: u64| piece - (held + more) % piece;
    given.sort_by_key(|(held, more, _)| missing(*held, *more));
    for (held, more, _) in &mut given {
        let next = missing(*held, *more);
        if next <= left {
            left -= next;
            *more += next;
        }
    }
    for (_, more, host) in given.iter().filter(|(_, more, _)| *more > 0) {
        *grants.entry(host.to_string()).or_default().entry(bucket.clone()).or_default() += more;
    }
    given.iter().map(|(_, more, _)| more).sum()
}

/// While nothing is refused, each controller has credit that any job may draw on.
fn top_up_shared(ledger: &Ledger, input: &PlannerInput, plan: &Plan, room: u64, grants: &mut Grants) {
    let shared = Bucket::shared();
    let ready = |controller: &&ControllerView| {
        let next = plan.epochs.get(&controller.host);
        let epoch = next.or(ledger.epoch(&controller.host).map(|(record, _)| record));
        epoch.is_some_and(|epoch| epoch.identity == controller.identity)
    };
    let controllers: Vec<&ControllerView> = input.controllers.iter().filter(ready).collect();
    let left = |host: &str| match plan.epochs.contains_key(host) {
        true => 0,
        false => ledger.unspent(host).get(&shared).copied().unwrap_or(0),
    };
    let all: u64 = controllers.iter().map(|controller| left(&controller.host)).sum();
    let count = u64::try_from(input.controllers.len().max(1)).unwrap_or(1);
    let target = (room + all) / SHARED_PART / count;
    // What others hold of it can't be moved: only the room is divided.
    let mut room = room;
    for controller in controllers {
        let left = left(&controller.host);
        let more = target.saturating_sub(left).min(room);
        if left < target.div_ceil(2) && more > 0 {
            room -= more;
            let grant = grants.entry(controller.host.clone()).or_default();
            grant.insert(shared.clone(), more);
        }
    }
}
