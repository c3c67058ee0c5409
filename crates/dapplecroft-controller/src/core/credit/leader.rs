//! The leader's part: what it commits of admission, and what any controller commits when
//! another one knows nothing of it.

use crate::core::Core;
use crate::records;
use dapplecroft_admission::demand::{Sketch, WaitingJob};
use dapplecroft_admission::{BucketDemand, ControllerView, Plan, PlannerInput, PolicyRecord};
use dapplecroft_state::AtomicUpdate;
use dapplecroft_wire::peer::{BucketWants, DemandReply};
use dapplecroft_wire::state::Change;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Instant;

fn set<T: Serialize>(key: String, record: &T) -> Change {
    let value = serde_json::to_value(record).unwrap_or_default();
    Change::Set { key, value, lease: None }
}

fn to_wants(bucket: &str, demand: &BucketDemand) -> BucketWants {
    let (hashes, charges, cut) = demand.sketch.parts();
    BucketWants {
        bucket: bucket.to_string(),
        hashes,
        charges,
        cut,
        largest: demand.largest.as_ref().map_or_else(String::new, |job| job.id.clone()),
        largest_charge: demand.largest.as_ref().map_or(0, |job| job.charge),
    }
}

fn from_wants(wants: &BucketWants) -> BucketDemand {
    let largest = WaitingJob { id: wants.largest.clone(), charge: wants.largest_charge };
    BucketDemand {
        sketch: Sketch::from_parts(&wants.hashes, &wants.charges, wants.cut),
        largest: (!wants.largest.is_empty()).then_some(largest),
    }
}

impl Core {
    /// What this controller refused lately, for the leader.
    pub fn own_demand(&mut self, now: Instant) -> DemandReply {
        let identity = self.identity.clone();
        let Some(credit) = &mut self.credit else { return DemandReply::default() };
        let buckets = credit.demand.demand(now);
        DemandReply {
            identity,
            buckets: buckets.iter().map(|(bucket, demand)| to_wants(bucket.name(), demand)).collect(),
            stuck: credit.spender.stuck(),
            accepted: credit.accepted,
            refused: credit.refused,
        }
    }

    /// Whether this process grants credit.
    pub fn grants_credit(&self, now: Instant) -> bool {
        self.credit.is_some() && !self.uses_legacy_layout() && self.leads(now)
    }

    /// What the leader has to commit, given what the controllers that answered wanted.
    pub fn credit_update(
        &mut self,
        replies: &BTreeMap<String, DemandReply>,
        wall: f64,
        now: Instant,
    ) -> Option<AtomicUpdate> {
        let leader = self.leader_condition()?;
        let admission = self.credit.as_ref()?.admission.clone();
        let input = PlannerInput {
            admission: &admission,
            controllers: self.controller_views(replies),
            term: leader.version,
            all_know: self.live_controllers.values().all(|live| live.admission),
            cpus_up: self.cpus_up(),
            now,
            wall,
            max_value: self.limits().value,
            max_changes: self.limits().changes,
        };
        let credit = self.credit.as_mut()?;
        let plan = credit.planner.plan(&credit.ledger, &input);
        (!plan.is_empty()).then(|| self.plan_update(leader, plan))
    }

    fn plan_update(&self, leader: dapplecroft_wire::state::Condition, plan: Plan) -> AtomicUpdate {
        let mut changes = Vec::new();
        changes.extend(plan.policy.map(|policy| set(records::ADMISSION_POLICY.into(), &policy)));
        changes.extend(plan.epochs.iter().map(|(host, epoch)| set(records::epoch_key(host), epoch)));
        changes.extend(plan.pages.iter().map(|(page, grants)| set(records::grants_key(*page), grants)));
        changes.extend(plan.reservations.map(|kept| set(records::RESERVATIONS.into(), &kept)));
        let mut conditions = vec![leader];
        conditions.extend(changes.iter().map(|change| self.unchanged_condition(change.key().to_string())));
        AtomicUpdate { conditions, changes }
    }

    fn controller_views(&self, replies: &BTreeMap<String, DemandReply>) -> Vec<ControllerView> {
        let view = |(host, live): (&String, &records::LiveRecord)| {
            // An answer of an earlier process says nothing of this one.
            let reply = replies.get(host).filter(|reply| reply.identity == live.identity);
            let wants = reply.map(|reply| reply.buckets.as_slice()).unwrap_or_default();
            ControllerView {
                host: host.clone(),
                identity: live.identity.clone(),
                demand: wants.iter().map(|w| (w.bucket.as_str().into(), from_wants(w))).collect(),
                stuck: reply.map_or(0, |reply| reply.stuck),
            }
        };
        self.live_controllers.iter().map(view).collect()
    }

    fn cpus_up(&self) -> f64 {
        let up = self.machines.values().filter(|machine| machine.seems_open());
        up.map(|machine| machine.capacity.cpus).sum::<i64>() as f64 / 1000.0
    }

    /// Forgets what an earlier term of this process had planned.
    pub(in crate::core) fn begin_granting(&mut self) {
        self.with_credit(|credit| credit.planner.reset());
    }

    /// The unit by which any controller lifts the demand for credit while a live one
    /// knows nothing of it: that one would take everything the others refuse, or, as
    /// leader, would never grant any.
    pub fn lift_update(&self) -> Option<AtomicUpdate> {
        let stranger =
            self.live_controllers.iter().find(|(_, live)| !live.admission).map(|(host, _)| host)?;
        let (policy, _) = self.credit.as_ref()?.ledger.policy().filter(|(policy, _)| policy.in_force)?;
        let lifted = PolicyRecord { in_force: false, ..policy.clone() };
        let change = set(records::ADMISSION_POLICY.into(), &lifted);
        let conditions = vec![
            self.unchanged_condition(records::ADMISSION_POLICY.into()),
            self.unchanged_condition(records::live_key(stranger)),
        ];
        Some(AtomicUpdate { conditions, changes: vec![change] })
    }
}
