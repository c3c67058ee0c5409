//! How things stand between cells, for operators.

use crate::node::{Node, lock, now};
use dapplecroft_federation::FederationSettings;
use dapplecroft_wire::peer::{CellsReply, OtherCell};

impl Node {
    /// What this node knows of other cells and of the jobs passed to and from them.
    pub fn cells_status(&self) -> CellsReply {
        let Some(federation) = &self.options.federation else { return CellsReply::default() };
        CellsReply {
            cell: federation.cell.name.clone(),
            incarnation: federation.cell.incarnation,
            leads: self.with(|core| core.leads_federation(now())),
            offers: federation.offers_jobs,
            others: self.other_cells(federation),
            away: self.with(|core| core.away_list()),
        }
    }

    fn other_cells(&self, federation: &FederationSettings) -> Vec<OtherCell> {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let status = |name: &str| {
            let heard = lock(&self.summaries)
                .latest_cell_and_age(name, now())
                .map(|(cell, age)| (cell.incarnation, age));
            let (incarnation, age) = heard.unwrap_or_default();
            let (away, visiting, kept) =
                self.with(|core| (core.away_at(name), core.visiting_from(name), core.kept_records_of(name)));
            OtherCell {
                name: name.to_string(),
                incarnation,
                heard_ms_ago: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                away_jobs: count(away),
                visiting_jobs: count(visiting),
                kept_records: count(kept),
            }
        };
        federation.peers.iter().map(|peer| status(&peer.name)).collect()
    }
}
