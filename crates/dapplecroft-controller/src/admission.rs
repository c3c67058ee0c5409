//! Resolves the admission control settings for this platform, reports the status of admission
//! control, and settles credit spent by submissions.

use crate::node::{Node, now};
use crate::options::Options;
use dapplecroft_admission::settings::{Platform, PlatformTeam};
use dapplecroft_admission::{AdmissionConfig, SettingsError, Settlement, Spending};
use dapplecroft_state::UpdateResult;
use dapplecroft_wire::peer::AdmissionReply;
use dapplecroft_wire::settings::{Params, Settings};
use std::collections::BTreeSet;

/// The job classes that the platform's objectives name.
pub(crate) fn objective_classes(params: &Params) -> BTreeSet<String> {
    params.objectives.iter().filter_map(|objective| objective.class.clone()).collect()
}

/// Resolves the operators' admission settings against the platform's teams and classes. `None`
/// if they do not enable admission control: every submission that can run is then accepted.
pub fn resolve_admission(
    settings: &Settings,
    options: &Options,
) -> Result<Option<AdmissionConfig>, SettingsError> {
    let params = &settings.params;
    let to_platform_team = |team: &dapplecroft_wire::settings::Team| PlatformTeam {
        name: team.name.clone(),
        guaranteed_cpus: team.cpus,
    };
    let platform = Platform {
        teams: params.teams.iter().map(to_platform_team).collect(),
        classes: objective_classes(params),
    };
    options.admission.as_ref().map(|raw| raw.resolve(&platform)).transpose()
}

impl Node {
    /// Status of admission control as this controller knows it; the leader knows most.
    pub async fn admission_status(&self) -> AdmissionReply {
        let replies = self.collect_demand().await;
        self.with(|core| core.admission_status(&replies, now()))
    }
}

/// Credit set aside for a submission; settled on drop. If it is dropped before
/// [`PendingSpending::settle`] is called, for example because the request was cancelled, the
/// outcome counts as unknown.
pub(crate) struct PendingSpending<'a> {
    node: &'a Node,
    id: String,
    spending: Spending,
    settlement: Settlement,
}

impl<'a> PendingSpending<'a> {
    pub(crate) fn new(node: &'a Node, id: &str, spending: Spending) -> Self {
        PendingSpending { node, id: id.to_string(), spending, settlement: Settlement::Unknown }
    }

    /// Settles the credit according to the commit's result.
    pub(crate) fn settle(mut self, result: &UpdateResult) {
        self.settlement = match result {
            UpdateResult::Committed(_) => Settlement::Committed,
            UpdateResult::Conflict(_) | UpdateResult::Refused(_) => Settlement::NotCommitted,
            UpdateResult::Unknown(_) => Settlement::Unknown,
        };
    }
}

impl Drop for PendingSpending<'_> {
    fn drop(&mut self) {
        self.node.with(|core| core.settle_spending(&self.id, &self.spending, self.settlement));
    }
}
