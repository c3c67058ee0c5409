//! Status of the exchange with other cells, for operators.

use crate::node::{Node, lock, now};
use dapplecroft_federation::FederationSettings;
use dapplecroft_wire::peer::{CellsReply, OtherCell};

impl Node {
    /// Returns what this controller knows of the other cells and of the jobs handed over to and
    /// from them.
    pub fn cells_status(&self) -> CellsReply {
        let Some(federation) = &self.options.federation else { return CellsReply::default() };
        CellsReply {
            cell: federation.cell.name.clone(),
            incarnation: federation.cell.incarnation,
            leads: self.with(|core| core.may_act_for_cell(now())),
            offers: federation.offers_jobs,
            others: self.other_cells(federation),
            away: self.with(|core| core.away_job_statuses()),
        }
    }

    fn other_cells(&self, federation: &FederationSettings) -> Vec<OtherCell> {
        let saturating_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let cell_status = |name: &str| {
            let heard = lock(&self.summaries)
                .latest_cell_and_age(name, now())
                .map(|(cell, age)| (cell.incarnation, age));
            let (incarnation, age) = heard.unwrap_or_default();
            let (away, hosted, retained) = self.with(|core| {
                (core.away_job_count(name), core.hosted_job_count(name), core.retained_record_count(name))
            });
            OtherCell {
                name: name.to_string(),
                incarnation,
                heard_ms_ago: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                away_jobs: saturating_u32(away),
                visiting_jobs: saturating_u32(hosted),
                kept_records: saturating_u32(retained),
            }
        };
        federation.peers.iter().map(|peer| cell_status(&peer.name)).collect()
    }
}
