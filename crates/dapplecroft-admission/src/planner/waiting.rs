//! Teams that want something and have been granted nothing for long. A team that was
//! accepted much at once has a high level until that has been worked off and forgotten;
//! until then it gets a job now and then all the same.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A team that wants something is granted a job at least this often, if there is room.
const LONG: Duration = Duration::from_secs(25);

/// Since when each team that wants something has been granted nothing.
#[derive(Debug, Default)]
pub(super) struct WaitingTeams {
    since: BTreeMap<String, Instant>,
}

impl WaitingTeams {
    /// Takes over which teams want something now.
    pub(super) fn keep(&mut self, teams: &[&str], now: Instant) {
        self.since.retain(|team, _| teams.contains(&team.as_str()));
        for team in teams {
            self.since.entry(team.to_string()).or_insert(now);
        }
    }

    /// Whether a team has waited long.
    pub(super) fn is_long(&self, team: &str, now: Instant) -> bool {
        self.since.get(team).is_some_and(|since| now.saturating_duration_since(*since) >= LONG)
    }

    /// Notes that a team was granted something.
    pub(super) fn served(&mut self, team: &str, now: Instant) {
        if let Some(since) = self.since.get_mut(team) {
            *since = now;
        }
    }
}
