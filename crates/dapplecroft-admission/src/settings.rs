//! The operators' settings of admission control, and their validation.

use garde::Validate;
use std::collections::{BTreeMap, BTreeSet};

/// Default of `work_off_s`: the limit is the work that the cell's processors can do in this time.
const DEFAULT_WORK_OFF_S: f64 = 300.0;
/// Default maximum number of outstanding jobs.
const DEFAULT_MAX_JOBS: u64 = 20_000;
/// Default maximum charge of a job, as a fraction of the limit.
const DEFAULT_MAX_CHARGE_FRACTION: f64 = 0.25;
/// Default floor of a team. A team with demand is first brought up to this fraction of the limit, in
/// outstanding work and credit, before the rest is divided by weight.
const DEFAULT_FLOOR: f64 = 0.01;
/// Upper bound of the sum of all default floors, as a fraction of the limit.
const DEFAULT_FLOORS_TOTAL: f64 = 0.25;

/// The configured share of a class within its team.
#[derive(Debug, Clone, Default, PartialEq, Validate)]
pub struct RawClass {
    /// Name of the class.
    #[garde(length(min = 1, max = 80))]
    pub name: String,
    /// Weight of the class within the team.
    #[garde(custom(positive))]
    pub weight: f64,
}

/// The configured share of a team.
#[derive(Debug, Clone, Default, PartialEq, Validate)]
pub struct RawTeam {
    /// Name of the team.
    #[garde(length(min = 1, max = 80))]
    pub name: String,
    /// Weight of the team. If unset, the number of its guaranteed processors, or 1 if it has none.
    #[garde(inner(custom(positive)))]
    pub weight: Option<f64>,
    /// Fraction of the limit up to which the team's demand is served before the rest is divided by
    /// weight.
    #[garde(inner(range(min = 0.0, max = 1.0)))]
    pub floor: Option<f64>,
    /// Weights of the team's classes; classes that are not listed have weight 1.
    #[garde(dive)]
    pub classes: Vec<RawClass>,
}

/// The settings as operators write them, before validation. The names of the fields appear in
/// error messages.
#[derive(Debug, Clone, Default, PartialEq, Validate)]
pub struct RawAdmissionConfig {
    /// The limit, expressed as the time in which the cell's processors could do all outstanding
    /// work, in seconds.
    #[garde(inner(range(min = 1.0, max = 86_400.0)))]
    pub work_off_s: Option<f64>,
    /// The limit in processor-seconds; an alternative to `work_off_s`.
    #[garde(inner(range(min = 1)))]
    pub limit_cpu_s: Option<u64>,
    /// Minimum number of processors from which the limit is computed, however few are up. If
    /// unset, the sum of the teams' guaranteed processors.
    #[garde(inner(custom(positive)))]
    pub least_cpus: Option<f64>,
    /// Maximum number of outstanding jobs.
    #[garde(inner(range(min = 1)))]
    pub max_jobs: Option<u64>,
    /// Maximum charge of a job, in processor-seconds.
    #[garde(inner(range(min = 1)))]
    pub largest_job_cpu_s: Option<u64>,
    /// Shares of teams; teams that are not listed get the defaults.
    #[garde(dive)]
    pub teams: Vec<RawTeam>,
}

fn positive(value: &f64, _: &()) -> garde::Result {
    let valid = value.is_finite() && *value > 0.0;
    if valid { Ok(()) } else { Err(garde::Error::new(format!("must be positive and finite, is {value}"))) }
}

/// Why settings are rejected. Each message names the setting at fault.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A value is outside the range that its field allows.
    #[error("admission.{0}")]
    InvalidValue(String),
    /// A team or a class is listed twice.
    #[error("admission.teams: {0:?} is named twice")]
    DuplicateName(String),
    /// A listed team does not exist in the platform's settings.
    #[error("admission.teams: there is no team {0:?}")]
    UnknownTeam(String),
    /// A listed class is not named by any objective in the platform's settings.
    #[error("admission.teams: no objective names the class {0:?}")]
    UnknownClass(String),
    /// The teams' floors add up to more than the whole limit.
    #[error("admission.teams: the floors add up to {0}, which is more than 1")]
    FloorsAboveOne(f64),
    /// Both `work_off_s` and `limit_cpu_s` are set.
    #[error("admission: set work_off_s or limit_cpu_s, not both")]
    ConflictingLimits,
    /// The limit can't be computed: `least_cpus` is not set, and no team has guaranteed processors
    /// that could be used instead.
    #[error("admission.least_cpus: must be set when no team has guaranteed processors")]
    NoCapacity,
    /// The configured maximum charge of a job exceeds the limit, so such a job could never be
    /// accepted.
    #[error("admission.largest_job_cpu_s: {max_charge} is more than the limit of {limit}")]
    MaxChargeAboveLimit {
        /// Configured maximum charge, in processor-seconds.
        max_charge: u64,
        /// The limit, in processor-seconds.
        limit: u64,
    },
    /// The limit is less work than a team's guaranteed processors do in one second.
    #[error("admission: the limit of {limit} is below the guarantee of {team}, {guarantee} CPUs")]
    LimitBelowGuarantee {
        /// The limit, in processor-seconds.
        limit: u64,
        /// Name of the team.
        team: String,
        /// Number of the team's guaranteed processors.
        guarantee: f64,
    },
}

/// A team according to the platform's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformTeam {
    /// Name of the team.
    pub name: String,
    /// Number of the team's guaranteed processors.
    pub guaranteed_cpus: f64,
}

/// The part of the platform's settings on which admission control depends.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Platform {
    /// All teams.
    pub teams: Vec<PlatformTeam>,
    /// The classes that the objectives name.
    pub classes: BTreeSet<String>,
}

/// The validated share of a team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamShare {
    /// Weight of the team in the division of credit.
    pub weight: f64,
    /// Fraction of the limit up to which the team's demand is served before the rest is divided by
    /// weight.
    pub floor: f64,
    /// Weights of the team's classes; classes that are not listed have weight 1.
    pub classes: BTreeMap<String, f64>,
}

/// How the limit is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LimitRule {
    /// The work that the processors that are up can do in this many seconds.
    WorkOffTime(f64),
    /// A fixed number of processor-seconds.
    Absolute(u64),
}

/// The validated settings of admission control.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    limit: LimitRule,
    least_cpus: f64,
    /// Maximum number of outstanding jobs.
    pub max_jobs: u64,
    /// Maximum charge of a job in processor-seconds, if configured.
    max_charge_override: Option<u64>,
    /// Shares by team name.
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
    /// Validates what can be validated without the platform's settings.
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

    /// Validates the settings against a platform's settings and fills in the defaults.
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
    /// The limit in processor-seconds when `cpus_up` processors are up.
    pub fn limit(&self, cpus_up: f64) -> u64 {
        match self.limit {
            LimitRule::Absolute(limit) => limit,
            LimitRule::WorkOffTime(seconds) => (cpus_up.max(self.least_cpus) * seconds) as u64,
        }
    }

    /// The number of processors from which a limit was computed; for a fixed limit, the minimum
    /// number of processors.
    pub fn cpus_for_limit(&self, limit: u64) -> f64 {
        match self.limit {
            LimitRule::WorkOffTime(seconds) => limit as f64 / seconds,
            LimitRule::Absolute(_) => self.least_cpus,
        }
    }

    /// Maximum charge of a job under a limit, in processor-seconds.
    pub fn max_charge(&self, limit: u64) -> u64 {
        self.max_charge_override
            .unwrap_or((limit as f64 * DEFAULT_MAX_CHARGE_FRACTION) as u64)
            .clamp(1, limit.max(1))
    }

    /// Minimum charge of a job under a limit, in processor-seconds: `max_jobs` jobs of this charge
    /// use up the limit.
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
