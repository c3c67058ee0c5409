//! The users' interface.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// How urgent a job is; the order is that of precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Before all others.
    Critical,
    /// Urgent.
    Urgent,
    /// Ordinary.
    Normal,
    /// When nothing else needs the room.
    Low,
}

/// A job as its user submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id, chosen by the user.
    pub id: String,
    /// The class of jobs it belongs to.
    #[serde(rename = "lane")]
    pub class: String,
    /// The team it counts against.
    #[serde(rename = "crew")]
    pub team: String,
    /// [`SWEEP`] or [`SERVICE`].
    #[serde(rename = "form")]
    pub kind: String,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "shares")]
    pub tasks: u32,
    /// CPUs per task.
    pub cpus: f64,
    /// GPUs per task.
    pub gpus: f64,
    /// Memory per task.
    pub memory_gb: f64,
    /// Image that a machine needs first.
    #[serde(rename = "bundle", default, skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Its size.
    #[serde(default)]
    pub image_gb: f64,
    /// Allowed machine types.
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "same_place", default)]
    pub one_zone: bool,
    /// At most half of the tasks in one zone.
    #[serde(rename = "apart", default)]
    pub spread: bool,
    /// Whether spot machines are allowed.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "reckon_s")]
    pub estimate_s: f64,
    /// Interval between checkpoints, 0 for none.
    #[serde(rename = "mark_s", default)]
    pub checkpoint_s: f64,
    /// Time needed to save.
    #[serde(rename = "stow_s", default)]
    pub save_s: f64,
    /// When the job should be complete, measured from its submission.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// A job's state as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// All tasks completed.
    Done,
    /// Cancelled by its user.
    Withdrawn,
}

/// Answer about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    pub id: String,
    /// Its state.
    pub stage: Stage,
    /// Completed tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Running tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// Body of an answer that is not a success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What was wrong, in a few words.
    pub error: String,
}

/// The most tasks that a job may have.
pub const MAX_TASKS: u64 = 100_000;

/// The form of jobs whose tasks each run to completion.
pub const SWEEP: &str = "sweep";
/// The form of jobs whose tasks, their replicas, run until they are withdrawn.
pub const SERVICE: &str = "service";

/// Whether `id` has the form that every job id has: `run-` and digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("run-")
        .is_some_and(|rest| (1..=40).contains(&rest.len()) && rest.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Whether its tasks are replicas that run until the job is withdrawn.
    pub fn is_service(&self) -> bool {
        self.kind == SERVICE
    }

    /// Reads a submission and checks every field, so that what is wrong can be
    /// told to the user in a few words. Only what may be null may be missing:
    /// allowed types, zone and deadline.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        let value: Value = serde_json::from_slice(body).map_err(|_| "not JSON".to_string())?;
        let Value::Object(fields) = value else { return Err("not an object".into()) };
        let id = text(&fields, "id")?;
        if !valid_id(&id) {
            return Err("id: wrong form".into());
        }
        let kind = text(&fields, "form")?;
        if kind != SWEEP && kind != SERVICE {
            return Err("form: unknown".into());
        }
        let priority = serde_json::from_value(Value::String(text(&fields, "rank")?))
            .map_err(|_| "rank: unknown".to_string())?;
        let tasks = match fields.get("shares").and_then(Value::as_u64) {
            Some(n) if (1..=MAX_TASKS).contains(&n) => n as u32,
            _ => return Err("shares: not a count from 1 to 100000".into()),
        };
        let types = match fields.get("hulls") {
            None | Some(Value::Null) => None,
            Some(Value::Array(names)) => Some(
                names
                    .iter()
                    .map(|n| n.as_str().map(str::to_string).ok_or_else(|| "hulls: not names".to_string()))
                    .collect::<Result<Vec<_>, _>>()?,
            ),
            Some(_) => return Err("hulls: not a list".into()),
        };
        let cpus = amount(&fields, "cpus")?;
        let gpus = amount(&fields, "gpus")?;
        let memory_gb = amount(&fields, "memory_gb")?;
        if cpus + gpus + memory_gb <= 0.0 {
            return Err("a task takes nothing".into());
        }
        Ok(JobSpec {
            id,
            class: text(&fields, "lane")?,
            team: text(&fields, "crew")?,
            kind,
            priority,
            tasks,
            cpus,
            gpus,
            memory_gb,
            image: Some(text(&fields, "bundle")?),
            image_gb: amount(&fields, "image_gb")?,
            types,
            zone: optional_text(&fields, "yard")?,
            one_zone: flag(&fields, "same_place")?,
            spread: flag(&fields, "apart")?,
            spot: flag(&fields, "loaners")?,
            estimate_s: amount(&fields, "reckon_s")?,
            checkpoint_s: amount(&fields, "mark_s")?,
            save_s: amount(&fields, "stow_s")?,
            deadline_s: optional_amount(&fields, "due_s")?,
        })
    }
}

fn optional_text(fields: &Map<String, Value>, name: &str) -> Result<Option<String>, String> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(s)) if !s.is_empty() && s.len() <= 200 => Ok(Some(s.clone())),
        Some(_) => Err(format!("{name}: not a name")),
    }
}

fn text(fields: &Map<String, Value>, name: &str) -> Result<String, String> {
    optional_text(fields, name)?.ok_or_else(|| format!("{name}: missing"))
}

fn optional_amount(fields: &Map<String, Value>, name: &str) -> Result<Option<f64>, String> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_f64() {
            Some(x) if x.is_finite() && x >= 0.0 => Ok(Some(x)),
            _ => Err(format!("{name}: not an amount")),
        },
    }
}

fn amount(fields: &Map<String, Value>, name: &str) -> Result<f64, String> {
    optional_amount(fields, name)?.ok_or_else(|| format!("{name}: missing"))
}

fn flag(fields: &Map<String, Value>, name: &str) -> Result<bool, String> {
    match fields.get(name) {
        None | Some(Value::Null) => Err(format!("{name}: missing")),
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => Err(format!("{name}: not true or false")),
    }
}

#[cfg(test)]
mod tests;
