//! Teams that want something and have been granted nothing for long. A team that was
//! accepted much at once has a high level until that has been worked off and forgotten;
//! until then it gets a job now and then all the same.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A team that wants something is granted a job at least this often, if there is room.
const STARVATION_THRESHOLD: Duration = Duration::from_secs(25);

/// Since when each team that wants something has been granted nothing.
#[derive(Debug, Default)]
pub(super) struct StarvationTracker {
    waiting_since: BTreeMap<String, Instant>,
}

impl StarvationTracker {
    /// Takes over which teams want something now.
    pub(super) fn set_requesting_teams(&mut self, teams: &[&str], now: Instant) {
        self.waiting_since.retain(|team, _| teams.contains(&team.as_str()));
        for team in teams {
            self.waiting_since.entry(team.to_string()).or_insert(now);
        }
    }

    /// Whether a team has waited long.
    pub(super) fn is_starved(&self, team: &str, now: Instant) -> bool {
        self.waiting_since.get(team).is_some_and(|waiting_since| {
            now.saturating_duration_since(*waiting_since) >= STARVATION_THRESHOLD
        })
    }

    /// Notes that a team was granted something.
    pub(super) fn record_grant(&mut self, team: &str, now: Instant) {
        if let Some(waiting_since) = self.waiting_since.get_mut(team) {
            *waiting_since = now;
        }
    }
}
