//! Checkpoint progress: how much machine time stopping a task would lose.

use std::time::Duration;

/// How a task saves checkpoints of its progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckpointPolicy {
    /// Run time after which it saves a checkpoint by itself.
    pub interval: Duration,
    /// Time that it takes to save a checkpoint when it is stopped.
    pub save_time: Duration,
}

/// How far a task has come on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskProgress {
    /// Time since it was placed there.
    pub age: Duration,
    /// Time since it was first seen running; none: it has still no image.
    pub run_time: Option<Duration>,
    /// How it saves checkpoints; `None`: it does not.
    pub checkpoint_policy: Option<CheckpointPolicy>,
    /// Whether it began anew there, rather than from an earlier checkpoint.
    pub first_attempt: bool,
}

impl TaskProgress {
    /// Run time since the last checkpoint, at most: `None` if nothing of it can be
    /// kept. A task that began from a checkpoint may have saved at any point of
    /// the interval.
    fn max_unsaved(&self) -> Option<Duration> {
        let (running, checkpoints) = (self.run_time?, self.checkpoint_policy?);
        let interval = checkpoints.interval.as_nanos().max(1);
        let since_interval = Duration::from_nanos((running.as_nanos() % interval) as u64);
        let at_most = if self.first_attempt { since_interval } else { checkpoints.interval };
        Some(at_most.min(running))
    }

    /// Time that the task is to be given to save when it is stopped now; none if
    /// saving would take longer than what it could keep took to run, or if it
    /// can't save.
    pub fn checkpoint_grace(&self) -> Option<Duration> {
        let save_time = self.checkpoint_policy?.save_time;
        (self.max_unsaved()? > save_time).then_some(save_time)
    }

    /// Machine time that is lost with a stop: the wait for its image, which may
    /// have to be fetched again elsewhere, and the progress that is not saved or
    /// the time that saving it takes. Without checkpoints that is all since it was
    /// placed.
    pub fn lost_if_stopped(&self) -> Duration {
        let (Some(running), Some(unsaved)) = (self.run_time, self.max_unsaved()) else { return self.age };
        let fetching = self.age.saturating_sub(running);
        fetching + self.checkpoint_grace().unwrap_or(unsaved)
    }
}

#[cfg(test)]
mod tests;
