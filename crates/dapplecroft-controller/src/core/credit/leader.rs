//! Updates of credit records: grants, which the leader commits, and the suspension of the
//! requirement for credit, which any controller commits while another one does not support
//! admission control.

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

/// A change that writes a record.
fn set_record<T: Serialize>(key: String, record: &T) -> Change {
    let value = serde_json::to_value(record).unwrap_or_default();
    Change::Set { key, value, lease: None }
}

fn to_wants(bucket: &str, demand: &BucketDemand) -> BucketWants {
    let (hashes, charges, cut) = demand.sketch.to_parts();
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
    /// The demand that this controller recently refused, for the leader.
    pub fn own_demand(&mut self, now: Instant) -> DemandReply {
        let identity = self.identity.clone();
        let Some(credit) = &mut self.credit else { return DemandReply::default() };
        let buckets = credit.demand.current_demand(now);
        DemandReply {
            identity,
            buckets: buckets.iter().map(|(bucket, demand)| to_wants(bucket.name(), demand)).collect(),
            stuck: credit.spender.unsettled_credit(),
            accepted: credit.accepted,
            refused: credit.refused,
        }
    }

    /// Whether this process grants credit: it is the leader, admission control is enabled, and
    /// the legacy record layout is no longer in use.
    pub fn grants_credit(&self, now: Instant) -> bool {
        self.credit.is_some() && !self.uses_legacy_layout() && self.leads(now)
    }

    /// The update of credit records that the leader should commit, given the demand of the
    /// controllers that replied; `None` if nothing changes.
    pub fn credit_update(
        &mut self,
        replies: &BTreeMap<String, DemandReply>,
        wall_clock_s: f64,
        now: Instant,
    ) -> Option<AtomicUpdate> {
        let leader = self.leader_condition()?;
        let admission = self.credit.as_ref()?.admission.clone();
        let input = PlannerInput {
            admission: &admission,
            controllers: self.controller_views(replies),
            term: leader.version,
            all_support_admission: self.live_controllers.values().all(|live| live.admission),
            cpus_up: self.cpus_up(),
            now,
            unix_time_s: wall_clock_s,
            max_value_bytes: self.limits().value,
            max_changes: self.limits().changes,
        };
        let credit = self.credit.as_mut()?;
        let plan = credit.planner.plan(&credit.ledger, &input);
        (!plan.is_empty()).then(|| self.plan_update(leader, plan))
    }

    /// The update that carries out a plan, conditional on leadership and on unchanged records.
    fn plan_update(&self, leader: dapplecroft_wire::state::Condition, plan: Plan) -> AtomicUpdate {
        let mut changes = Vec::new();
        changes.extend(plan.policy.map(|policy| set_record(records::ADMISSION_POLICY_KEY.into(), &policy)));
        changes.extend(
            plan.epochs.iter().map(|(host, epoch)| set_record(records::admission_epoch_key(host), epoch)),
        );
        changes
            .extend(plan.pages.iter().map(|(page, grants)| set_record(records::grants_key(*page), grants)));
        changes.extend(plan.reservations.map(|kept| set_record(records::RESERVATIONS_KEY.into(), &kept)));
        let mut conditions = vec![leader];
        conditions.extend(changes.iter().map(|change| self.unchanged_condition(change.key().to_string())));
        AtomicUpdate { conditions, changes }
    }

    /// The live controllers with their demand, as input for the planner.
    fn controller_views(&self, replies: &BTreeMap<String, DemandReply>) -> Vec<ControllerView> {
        let view = |(host, live): (&String, &records::LivenessRecord)| {
            // A reply from an earlier process on the host does not describe the current one.
            let reply = replies.get(host).filter(|reply| reply.identity == live.identity);
            let wants = reply.map(|reply| reply.buckets.as_slice()).unwrap_or_default();
            ControllerView {
                host: host.clone(),
                identity: live.identity.clone(),
                demand: wants.iter().map(|w| (w.bucket.as_str().into(), from_wants(w))).collect(),
                unsettled_credit: reply.map_or(0, |reply| reply.stuck),
            }
        };
        self.live_controllers.iter().map(view).collect()
    }

    /// Total CPUs of the machines that accept tasks.
    fn cpus_up(&self) -> f64 {
        let open_machines = self.machines.values().filter(|machine| machine.likely_accepts_tasks());
        open_machines.map(|machine| machine.capacity.cpus).sum::<i64>() as f64 / 1000.0
    }

    /// Resets the planner at the start of a term: discards plans of this process's earlier terms.
    pub(in crate::core) fn reset_credit_planner(&mut self) {
        self.with_credit(|credit| credit.planner.reset());
    }

    /// The update by which any controller suspends the requirement for credit while a live
    /// controller does not support admission control. Such a controller would accept everything
    /// that the others refuse or, as leader, would never grant credit.
    pub fn suspension_update(&self) -> Option<AtomicUpdate> {
        let unaware_host =
            self.live_controllers.iter().find(|(_, live)| !live.admission).map(|(host, _)| host)?;
        let (policy, _) = self.credit.as_ref()?.ledger.policy().filter(|(policy, _)| policy.in_force)?;
        let suspended = PolicyRecord { in_force: false, ..policy.clone() };
        let change = set_record(records::ADMISSION_POLICY_KEY.into(), &suspended);
        let conditions = vec![
            self.unchanged_condition(records::ADMISSION_POLICY_KEY.into()),
            self.unchanged_condition(records::liveness_key(unaware_host)),
        ];
        Some(AtomicUpdate { conditions, changes: vec![change] })
    }
}
