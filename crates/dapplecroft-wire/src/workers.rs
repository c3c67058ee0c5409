//! The workers' interface.

use serde::{Deserialize, Serialize};

/// A worker's report: the body of `POST /hello`, and what a worker answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "holding")]
    pub machine: String,
    /// Where the worker listens.
    #[serde(default)]
    pub address: String,
    /// The machine's type.
    #[serde(rename = "hull", default)]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "yard", default)]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Number of the worker's session.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Number of the message within the worker's life.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "warrant", default)]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "shares", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What of a report says whether it can be taken: its other fields are passed
/// over unread.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct HeartbeatHead {
    /// The machine's name.
    #[serde(rename = "holding")]
    pub machine: String,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "warrant", default)]
    pub token: u64,
}

/// One task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Job and index, as `run-000412/3`.
    #[serde(rename = "share")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Where it stands.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why it exited.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitReason>,
    /// Whether a stopped task saved its progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// Where a task on a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Runs.
    Running,
    /// Was told to stop and is saving.
    Saving,
    /// Ended.
    Exited,
    /// A state that this version does not know; treated as present.
    #[serde(other)]
    Other,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    Error,
    /// Refused: the machine has no room.
    Full,
    /// Refused: the task is there with another attempt.
    InUse,
    /// Refused: unknown to the worker.
    NoSuch,
    /// A reason that this version does not know.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Command {
    /// Starts a task.
    Start {
        /// The task.
        #[serde(rename = "share")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    Kill {
        /// The task.
        #[serde(rename = "share")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that the task may take to save.
        #[serde(rename = "respite_s")]
        grace_s: f64,
    },
    /// Removes an exited task from the reports.
    Clear {
        /// The task.
        #[serde(rename = "share")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to an accepted report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The fencing token.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// `POST /do`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The fencing token.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// The session that the commands are meant for.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of a 421.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// The node to report to.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
