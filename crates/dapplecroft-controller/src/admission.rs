//! Admission control on this platform, and how it stands, for operators.

use crate::node::{Node, now};
use crate::options::Options;
use dapplecroft_admission::settings::{Platform, PlatformTeam};
use dapplecroft_admission::{AdmissionConfig, SettingsError, Settlement, Spending};
use dapplecroft_state::UpdateResult;
use dapplecroft_wire::peer::AdmissionReply;
use dapplecroft_wire::settings::{Params, Settings};
use std::collections::BTreeSet;

/// The classes that the users' aims name.
pub(crate) fn known_classes(params: &Params) -> BTreeSet<String> {
    params.objectives.iter().filter_map(|objective| objective.class.clone()).collect()
}

/// What of admission is in force on a platform; none: every submission that can run is
/// accepted.
pub fn resolve_admission(
    settings: &Settings,
    options: &Options,
) -> Result<Option<AdmissionConfig>, SettingsError> {
    let params = &settings.params;
    let team = |team: &dapplecroft_wire::settings::Team| PlatformTeam {
        name: team.name.clone(),
        guaranteed_cpus: team.cpus,
    };
    let platform =
        Platform { teams: params.teams.iter().map(team).collect(), classes: known_classes(params) };
    options.admission.as_ref().map(|raw| raw.resolve(&platform)).transpose()
}

impl Node {
    /// What this node knows of admission; its leader knows most.
    pub async fn admission_status(&self) -> AdmissionReply {
        let replies = self.ask_demand().await;
        self.with(|core| core.admission_status(&replies, now()))
    }
}

/// Credit that a submission has set aside. If nobody waits for its outcome any more, that
/// is unknown.
pub(crate) struct OpenSpending<'a> {
    node: &'a Node,
    id: String,
    spending: Spending,
    settlement: Settlement,
}

impl<'a> OpenSpending<'a> {
    pub(crate) fn new(node: &'a Node, id: &str, spending: Spending) -> Self {
        OpenSpending { node, id: id.to_string(), spending, settlement: Settlement::Unknown }
    }

    pub(crate) fn settle(mut self, result: &UpdateResult) {
        self.settlement = match result {
            UpdateResult::Committed(_) => Settlement::Committed,
            UpdateResult::Conflict(_) | UpdateResult::Refused(_) => Settlement::NotCommitted,
            UpdateResult::Unknown(_) => Settlement::Unknown,
        };
    }
}

impl Drop for OpenSpending<'_> {
    fn drop(&mut self) {
        self.node.with(|core| core.settle_spending(&self.id, &self.spending, self.settlement));
    }
}
