//! Status of admission control, for operators.

use crate::core::Core;
use dapplecroft_wire::peer::{AdmissionReply, ControllerCredit, DemandReply, TeamAdmission};
use std::collections::BTreeMap;
use std::time::Instant;

impl Core {
    /// Status of admission control, including the demand of the controllers that replied.
    pub fn admission_status(
        &mut self,
        replies: &BTreeMap<String, DemandReply>,
        now: Instant,
    ) -> AdmissionReply {
        let leads = self.grants_credit(now);
        let in_force = self.admission_in_force;
        let unreadable = self.unreadable_records;
        let Some(credit) = &self.credit else { return AdmissionReply::default() };
        let ledger = &credit.ledger;
        let policy = credit.policy();
        AdmissionReply {
            known: true,
            in_force,
            leads,
            limit: policy.map_or(0, |policy| policy.limit),
            outstanding: ledger.outstanding_work(),
            jobs: ledger.outstanding_jobs(),
            max_jobs: policy.map_or(0, |policy| policy.max_jobs),
            credit: ledger.outstanding_credit(),
            controllers: self.controller_credit(replies),
            teams: self.team_admission(replies),
            unreadable,
        }
    }

    /// Credit and submission counters of each controller.
    fn controller_credit(&self, replies: &BTreeMap<String, DemandReply>) -> Vec<ControllerCredit> {
        let Some(credit) = &self.credit else { return Vec::new() };
        let to_controller_credit =
            |(host, epoch): (&String, &dapplecroft_admission::EpochRecord)| ControllerCredit {
                host: host.clone(),
                epoch: epoch.epoch,
                live: self.live_controllers.get(host).is_some_and(|live| live.identity == epoch.identity),
                credit: credit.ledger.unspent(host).values().sum(),
                stuck: replies.get(host).map_or(0, |reply| reply.stuck),
                accepted: replies.get(host).map_or(0, |reply| reply.accepted),
                refused: replies.get(host).map_or(0, |reply| reply.refused),
            };
        credit.ledger.epochs().map(to_controller_credit).collect()
    }

    /// Weight, outstanding work and waiting work of each team.
    fn team_admission(&self, replies: &BTreeMap<String, DemandReply>) -> Vec<TeamAdmission> {
        let Some(credit) = &self.credit else { return Vec::new() };
        let mut teams: BTreeMap<&str, TeamAdmission> = BTreeMap::new();
        let weights = credit.policy().map(|policy| &policy.weights);
        for (team, weight) in weights.into_iter().flatten() {
            let entry = teams.entry(team).or_default();
            (entry.team, entry.weight) = (team.clone(), *weight);
        }
        for (bucket, work) in credit.ledger.outstanding_by_bucket() {
            if let Some(entry) = teams.get_mut(bucket.team()) {
                entry.outstanding += work;
            }
        }
        for wants in replies.values().flat_map(|reply| &reply.buckets) {
            let bucket = dapplecroft_admission::Bucket::from(wants.bucket.as_str());
            if let Some(entry) = teams.get_mut(bucket.team()) {
                let sketch = dapplecroft_admission::demand::Sketch::from_parts(
                    &wants.hashes,
                    &wants.charges,
                    wants.cut,
                );
                entry.waiting = entry.waiting.saturating_add(sketch.work());
            }
        }
        teams.into_values().collect()
    }
}
