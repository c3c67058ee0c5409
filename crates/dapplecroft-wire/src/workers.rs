//! HTTP interface between workers and controllers.

use serde::{Deserialize, Serialize};

/// A worker's heartbeat: the body of `POST /hello`, and the worker's response to `POST /do` and `GET
/// /status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "holding")]
    pub machine: String,
    /// Address at which the worker listens.
    #[serde(default)]
    pub address: String,
    /// Machine type.
    #[serde(rename = "hull", default)]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard", default)]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Number of the worker's session: one lease period of the worker.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Sequence number of the heartbeat, counted since the worker's start.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "warrant", default)]
    pub token: u64,
    /// Seconds until the cloud reclaims the machine, if it has announced this.
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "shares", default)]
    pub tasks: Vec<TaskStatus>,
}

/// The fields of a [`Heartbeat`] that decide whether it can be accepted. The other fields are not decoded.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct HeartbeatHead {
    /// Name of the machine.
    #[serde(rename = "holding")]
    pub machine: String,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "warrant", default)]
    pub token: u64,
}

/// State of one task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Job id and task index, such as `run-000412/3`.
    #[serde(rename = "share")]
    pub task: String,
    /// Number of the task's attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why the task exited, if it has.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitReason>,
    /// Whether a stopped task saved its progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The machine is fetching the task's image.
    #[serde(rename = "pulling")]
    Fetching,
    /// The task runs.
    Running,
    /// The task was told to stop and is saving its progress.
    Saving,
    /// The task has exited.
    Exited,
    /// A state that this version does not know; the task is treated as present on the machine.
    #[serde(other)]
    Other,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// The task completed.
    Done,
    /// The task was stopped by a command.
    Stopped,
    /// The task failed.
    Error,
    /// The start was refused: the machine has no room for the task.
    Full,
    /// The start was refused: another attempt of the task is on the machine.
    InUse,
    /// The start was refused: the worker does not know the task.
    NoSuch,
    /// A reason that this version does not know.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Command {
    /// Starts an attempt of a task.
    Start {
        /// Job id and task index.
        #[serde(rename = "share")]
        task: String,
        /// Number of the task's attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops an attempt of a task.
    Kill {
        /// Job id and task index.
        #[serde(rename = "share")]
        task: String,
        /// Number of the task's attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that the task may take to save its progress.
        #[serde(rename = "respite_s")]
        grace_s: f64,
    },
    /// Removes an exited task from the worker's heartbeats.
    Clear {
        /// Job id and task index.
        #[serde(rename = "share")]
        task: String,
        /// Number of the task's attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to an accepted heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Fencing token of the controller that sends the commands; the worker rejects lower ones.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// Commands, to be executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of `POST /do`: commands sent to a worker without waiting for its next heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the controller that sends the commands; the worker rejects lower ones.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// Worker session for which the commands are meant.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Commands, to be executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of a response with status 421, which refers a worker to another controller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Controller to which the worker must send its heartbeats, if known.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
