//! Task progress and checkpoints: how much machine time is lost if a task is
//! stopped.

use std::time::Duration;

/// When a task saves checkpoints, and how long saving takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckpointPolicy {
    /// Run time between the periodic checkpoints that the task saves by itself.
    pub interval: Duration,
    /// Time that the task needs to save a checkpoint when it is stopped.
    pub save_time: Duration,
}

/// How long a task has been on its machine, and how it saves its progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskProgress {
    /// Time since the task was placed on the machine.
    pub age: Duration,
    /// Time since the task was first seen running; `None` while its image is still
    /// missing.
    pub run_time: Option<Duration>,
    /// How the task saves checkpoints; `None` if it saves none.
    pub checkpoint_policy: Option<CheckpointPolicy>,
    /// Whether this is the task's first attempt, so that it started from the
    /// beginning and not from a checkpoint of an earlier attempt.
    pub first_attempt: bool,
}

impl TaskProgress {
    /// Upper bound of the run time since the last checkpoint; `None` if the task is
    /// not running yet or saves no checkpoints. For a task that resumed from a
    /// checkpoint, the phase of its checkpoint interval is unknown, so the bound is a
    /// whole interval.
    fn max_unsaved(&self) -> Option<Duration> {
        let (running, checkpoints) = (self.run_time?, self.checkpoint_policy?);
        let interval = checkpoints.interval.as_nanos().max(1);
        let since_interval = Duration::from_nanos((running.as_nanos() % interval) as u64);
        let at_most = if self.first_attempt { since_interval } else { checkpoints.interval };
        Some(at_most.min(running))
    }

    /// Grace period for saving a checkpoint if the task is stopped now. `None` if the
    /// task can't save, or if running the unsaved part again takes no longer than
    /// saving it.
    pub fn checkpoint_grace(&self) -> Option<Duration> {
        let save_time = self.checkpoint_policy?.save_time;
        (self.max_unsaved()? > save_time).then_some(save_time)
    }

    /// Machine time that is lost if the task is stopped now: the time that its image
    /// took to fetch, since another machine may have to fetch it again, plus either
    /// the time to save a checkpoint or the unsaved run time. Without checkpoints, all
    /// time since the placement is lost.
    pub fn lost_if_stopped(&self) -> Duration {
        let (Some(running), Some(unsaved)) = (self.run_time, self.max_unsaved()) else { return self.age };
        let fetching = self.age.saturating_sub(running);
        fetching + self.checkpoint_grace().unwrap_or(unsaved)
    }
}

#[cfg(test)]
mod tests;
