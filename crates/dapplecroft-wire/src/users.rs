//! HTTP interface for users, who submit and cancel jobs.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Priority of a job. The derived order puts higher priorities first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Goes before all other jobs.
    Critical,
    /// Goes before normal and low jobs.
    Urgent,
    /// Priority of ordinary jobs.
    Normal,
    /// Runs only when no other job needs the resources.
    Low,
}

/// Specification of a job, as submitted by its user.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id, chosen by the user.
    pub id: String,
    /// Class of jobs that the job belongs to.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team whose quota the job is charged to.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job: [`SWEEP`] or [`SERVICE`].
    #[serde(rename = "form")]
    pub kind: String,
    /// Priority of the job.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks of the job.
    #[serde(rename = "shares")]
    pub tasks: u32,
    /// CPUs that each task needs.
    pub cpus: f64,
    /// GPUs that each task needs.
    pub gpus: f64,
    /// Memory that each task needs, in gigabytes.
    pub memory_gb: f64,
    /// Image that a machine must fetch before it can run a task.
    #[serde(rename = "bundle", default, skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Size of the image, in gigabytes.
    #[serde(default)]
    pub image_gb: f64,
    /// Allowed machine types; `None` allows every type.
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows every zone.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "same_place", default)]
    pub one_zone: bool,
    /// Whether at most half of the tasks may run in the same zone.
    #[serde(rename = "apart", default)]
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "reckon_s")]
    pub estimate_s: f64,
    /// Interval between a task's checkpoints, in seconds; 0 if it makes none.
    #[serde(rename = "mark_s", default)]
    pub checkpoint_s: f64,
    /// Time that a task needs to save its progress, in seconds.
    #[serde(rename = "stow_s", default)]
    pub save_s: f64,
    /// Time from submission within which the job should be complete, in seconds.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// State of a job, as shown to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No task of the job runs.
    Queued,
    /// At least one task runs.
    Running,
    /// All tasks completed.
    Done,
    /// The user cancelled the job.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Response to a request about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job.
    pub id: String,
    /// State of the job.
    pub stage: Stage,
    /// Number of completed tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of running tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// Body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Short description of the error.
    pub error: String,
}

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;

/// Kind of jobs whose tasks each run to completion.
pub const SWEEP: &str = "sweep";
/// Kind of jobs whose tasks are service replicas, which run until the job is cancelled.
pub const SERVICE: &str = "service";

/// Whether `id` is a valid job id: `run-` followed by 1 to 40 digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("run-")
        .is_some_and(|rest| (1..=40).contains(&rest.len()) && rest.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Whether the job's tasks are service replicas, which run until the job is cancelled.
    pub fn is_service(&self) -> bool {
        self.kind == SERVICE
    }

    /// Parses a submission and validates every field; the error is a short text for the user that names the
    /// invalid field. Only nullable fields may be missing: allowed machine types, zone and deadline.
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
