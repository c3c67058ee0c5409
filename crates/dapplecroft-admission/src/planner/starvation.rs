//! Detects teams that have demand but have been granted nothing for a long time. A team with a large
//! burst of accepted work keeps a high level until that work has completed and decayed; a starved
//! team is nevertheless granted a job from time to time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A team with demand is granted a job at least this often, as long as there is headroom.
const STARVATION_THRESHOLD: Duration = Duration::from_secs(25);

/// Tracks since when each team with demand has been granted nothing.
#[derive(Debug, Default)]
pub(super) struct StarvationTracker {
    waiting_since: BTreeMap<String, Instant>,
}

impl StarvationTracker {
    /// Sets the teams that currently have demand.
    pub(super) fn set_requesting_teams(&mut self, teams: &[&str], now: Instant) {
        self.waiting_since.retain(|team, _| teams.contains(&team.as_str()));
        for team in teams {
            self.waiting_since.entry(team.to_string()).or_insert(now);
        }
    }

    /// Whether a team with demand has been granted nothing for [`STARVATION_THRESHOLD`].
    pub(super) fn is_starved(&self, team: &str, now: Instant) -> bool {
        self.waiting_since.get(team).is_some_and(|waiting_since| {
            now.saturating_duration_since(*waiting_since) >= STARVATION_THRESHOLD
        })
    }

    /// Records that a team was granted credit.
    pub(super) fn record_grant(&mut self, team: &str, now: Instant) {
        if let Some(waiting_since) = self.waiting_since.get_mut(team) {
            *waiting_since = now;
        }
    }
}
