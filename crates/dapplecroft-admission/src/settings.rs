//! What operators set of admission, checked.

use garde::Validate;
use std::collections::{BTreeMap, BTreeSet};

/// The time in which outstanding work could be worked off, in seconds.
const DEFAULT_WORK_OFF_S: f64 = 300.0;
/// The most outstanding jobs.
const DEFAULT_MAX_JOBS: u64 = 20_000;
/// A job is charged at most this part of the limit.
const DEFAULT_MAX_CHARGE_FRACTION: f64 = 0.25;
/// The part of the limit that is kept for a team which wants it, before weights count; all
/// such parts together come to no more than the other.
const DEFAULT_FLOOR: f64 = 0.01;
const DEFAULT_FLOORS_TOTAL: f64 = 0.25;

/// The share of a class within its team.
#[derive(Debug, Clone, Default, PartialEq, Validate)]
pub struct RawClass {
    /// Its name.
    #[garde(length(min = 1, max = 80))]
    pub name: String,
    /// Its weight.
    #[garde(custom(positive))]
    pub weight: f64,
}

/// The share of a team.
#[derive(Debug, Clone, Default, PartialEq, Validate)]
pub struct RawTeam {
    /// Its name.
    #[garde(length(min = 1, max = 80))]
    pub name: String,
    /// Its weight; unset: its guaranteed processors, or 1.
    #[garde(inner(custom(positive)))]
    pub weight: Option<f64>,
    /// The part of the limit that is kept for it when it wants it.
    #[garde(inner(range(min = 0.0, max = 1.0)))]
    pub floor: Option<f64>,
    /// Its classes; others have weight 1.
    #[garde(dive)]
    pub classes: Vec<RawClass>,
}

/// The settings, as operators write them.
#[derive(Debug, Clone, Default, PartialEq, Validate)]
pub struct RawAdmissionConfig {
    /// The limit as the time to work off what is outstanding, in seconds.
    #[garde(inner(range(min = 1.0, max = 86_400.0)))]
    pub work_off_s: Option<f64>,
    /// The limit in processor-seconds, instead.
    #[garde(inner(range(min = 1)))]
    pub limit_cpu_s: Option<u64>,
    /// The least processors that the limit is reckoned with.
    #[garde(inner(custom(positive)))]
    pub least_cpus: Option<f64>,
    /// The most outstanding jobs.
    #[garde(inner(range(min = 1)))]
    pub max_jobs: Option<u64>,
    /// The most that a job is charged, in processor-seconds.
    #[garde(inner(range(min = 1)))]
    pub largest_job_cpu_s: Option<u64>,
    /// Shares; teams that are not named have the defaults.
    #[garde(dive)]
    pub teams: Vec<RawTeam>,
}

fn positive(value: &f64, _: &()) -> garde::Result {
    let valid = value.is_finite() && *value > 0.0;
    if valid { Ok(()) } else { Err(garde::Error::new(format!("must be positive and finite, is {value}"))) }
}

/// Why settings are not accepted; each names the value.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A value lies outside what its field allows.
    #[error("admission.{0}")]
    InvalidValue(String),
    /// A team or a class is named twice.
    #[error("admission.teams: {0:?} is named twice")]
    DuplicateName(String),
    /// A team that the platform does not know.
    #[error("admission.teams: there is no team {0:?}")]
    UnknownTeam(String),
    /// A class that no aim names.
    #[error("admission.teams: no aim names the class {0:?}")]
    UnknownClass(String),
    /// The floors are more than the whole.
    #[error("admission.teams: floors come to {0}, more than 1")]
    FloorsAboveOne(f64),
    /// Both forms of the limit are set.
    #[error("admission: set work_off_s or limit_cpu_s, not both")]
    ConflictingLimits,
    /// There is nothing to reckon the limit with.
    #[error("admission.least_cpus: must be set where no team has guaranteed processors")]
    NoCapacity,
    /// The limit does not take the largest job.
    #[error("admission.largest_job_cpu_s: {max_charge} is more than the limit of {limit}")]
    MaxChargeAboveLimit {
        /// What was set.
        max_charge: u64,
        /// The limit.
        limit: u64,
    },
    /// The limit does not keep a team's guaranteed processors busy for a second.
    #[error("admission: the limit of {limit} is below the guarantee of {team}, {guarantee} CPUs")]
    LimitBelowGuarantee {
        /// The limit.
        limit: u64,
        /// The team.
        team: String,
        /// Its guarantee.
        guarantee: f64,
    },
}

/// A team, as the platform's settings have it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformTeam {
    /// Its name.
    pub name: String,
    /// Its guaranteed processors.
    pub guaranteed_cpus: f64,
}

/// What the platform's settings say that admission depends on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Platform {
    /// The teams.
    pub teams: Vec<PlatformTeam>,
    /// The classes that the users' aims name.
    pub classes: BTreeSet<String>,
}

/// A team's share.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamShare {
    /// Weight.
    pub weight: f64,
    /// The part of the limit that is kept for it when it wants it.
    pub floor: f64,
    /// Weights of its classes; others have 1.
    pub classes: BTreeMap<String, f64>,
}

/// How the limit is set.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LimitRule {
    /// As so many seconds' work of the processors there are.
    WorkOffTime(f64),
    /// As so many processor-seconds.
    Absolute(u64),
}

/// The settings, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    limit: LimitRule,
    least_cpus: f64,
    /// The most outstanding jobs.
    pub max_jobs: u64,
    max_charge_override: Option<u64>,
    /// By team.
    pub teams: BTreeMap<String, TeamShare>,
}

fn check_names<'a>(names: impl Iterator<Item = &'a String>) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(SettingsError::DuplicateName(name.clone()));
        }
    }
    Ok(())
}

impl RawAdmissionConfig {
    /// Checks what can be checked without the platform's settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.validate().map_err(|report| {
            let first = report.iter().next();
            SettingsError::InvalidValue(
                first.map_or_else(String::new, |(path, error)| format!("{path}: {error}")),
            )
        })?;
        if self.work_off_s.is_some() && self.limit_cpu_s.is_some() {
            return Err(SettingsError::ConflictingLimits);
        }
        check_names(self.teams.iter().map(|team| &team.name))?;
        for team in &self.teams {
            check_names(team.classes.iter().map(|class| &class.name))?;
        }
        let floors: f64 = self.teams.iter().filter_map(|team| team.floor).sum();
        if floors > 1.0 { Err(SettingsError::FloorsAboveOne(floors)) } else { Ok(()) }
    }

    /// The settings in force on a platform.
    pub fn resolve(&self, platform: &Platform) -> Result<AdmissionConfig, SettingsError> {
        self.check()?;
        self.check_teams_and_classes(platform)?;
        let guaranteed: f64 = platform.teams.iter().map(|team| team.guaranteed_cpus).sum();
        let least_cpus = self.least_cpus.unwrap_or(guaranteed);
        let limit = match self.limit_cpu_s {
            Some(limit) => LimitRule::Absolute(limit),
            None if least_cpus <= 0.0 => return Err(SettingsError::NoCapacity),
            None => LimitRule::WorkOffTime(self.work_off_s.unwrap_or(DEFAULT_WORK_OFF_S)),
        };
        let team_count = platform.teams.len();
        let share = |team: &PlatformTeam| (team.name.clone(), self.share_of(team, team_count));
        let teams = platform.teams.iter().map(share).collect();
        let max_jobs = self.max_jobs.unwrap_or(DEFAULT_MAX_JOBS);
        let admission = AdmissionConfig {
            limit,
            least_cpus,
            max_jobs,
            max_charge_override: self.largest_job_cpu_s,
            teams,
        };
        admission.check_limit(platform)?;
        Ok(admission)
    }

    fn check_teams_and_classes(&self, platform: &Platform) -> Result<(), SettingsError> {
        for team in &self.teams {
            if !platform.teams.iter().any(|known| known.name == team.name) {
                return Err(SettingsError::UnknownTeam(team.name.clone()));
            }
            let unknown = team.classes.iter().find(|class| !platform.classes.contains(&class.name));
            if let Some(class) = unknown {
                return Err(SettingsError::UnknownClass(class.name.clone()));
            }
        }
        Ok(())
    }

    fn share_of(&self, team: &PlatformTeam, team_count: usize) -> TeamShare {
        let raw = self.teams.iter().find(|raw| raw.name == team.name);
        let guaranteed = if team.guaranteed_cpus > 0.0 { team.guaranteed_cpus } else { 1.0 };
        let classes = raw.map(|raw| raw.classes.as_slice()).unwrap_or_default();
        let configured_floors: f64 = self.teams.iter().filter_map(|raw| raw.floor).sum();
        let spare = (1.0 - configured_floors).clamp(0.0, DEFAULT_FLOORS_TOTAL);
        TeamShare {
            weight: raw.and_then(|raw| raw.weight).unwrap_or(guaranteed),
            floor: raw.and_then(|raw| raw.floor).unwrap_or(DEFAULT_FLOOR.min(spare / team_count as f64)),
            classes: classes.iter().map(|class| (class.name.clone(), class.weight)).collect(),
        }
    }
}

impl AdmissionConfig {
    /// The limit with so many processors up, in processor-seconds.
    pub fn limit(&self, cpus_up: f64) -> u64 {
        match self.limit {
            LimitRule::Absolute(limit) => limit,
            LimitRule::WorkOffTime(seconds) => (cpus_up.max(self.least_cpus) * seconds) as u64,
        }
    }

    /// The processors that a limit stands for.
    pub fn cpus_for_limit(&self, limit: u64) -> f64 {
        match self.limit {
            LimitRule::WorkOffTime(seconds) => limit as f64 / seconds,
            LimitRule::Absolute(_) => self.least_cpus,
        }
    }

    /// The most that a job is charged under a limit.
    pub fn max_charge(&self, limit: u64) -> u64 {
        self.max_charge_override
            .unwrap_or((limit as f64 * DEFAULT_MAX_CHARGE_FRACTION) as u64)
            .clamp(1, limit.max(1))
    }

    /// The least that a job is charged under a limit: so many jobs use it up.
    pub fn min_charge(&self, limit: u64) -> u64 {
        (limit / self.max_jobs.max(1)).max(1)
    }

    fn check_limit(&self, platform: &Platform) -> Result<(), SettingsError> {
        let limit = self.limit(0.0);
        if let Some(max_charge) = self.max_charge_override.filter(|max_charge| *max_charge > limit) {
            return Err(SettingsError::MaxChargeAboveLimit { max_charge, limit });
        }
        match platform.teams.iter().find(|team| team.guaranteed_cpus > limit as f64) {
            Some(team) => Err(SettingsError::LimitBelowGuarantee {
                limit,
                team: team.name.clone(),
                guarantee: team.guaranteed_cpus,
            }),
            None => Ok(()),
        }
    }
}
