//! The worker agent's tasks: executes the controllers' commands and simulates each
//! task from the pull of its image to its exit.

use super::{FakeWorker, Inner, Saves, Task};
use dapplecroft_wire::workers::{Command, ExitReason, TaskState};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a task of a job in [`WorkerTiming::fails`](super::WorkerTiming::fails) runs
/// before it exits with an error.
const FAILING_TASK_RUNTIME: Duration = Duration::from_millis(200);
/// How long a task runs if its job is not in [`WorkerTiming::runs`](super::WorkerTiming::runs).
const DEFAULT_TASK_RUNTIME: Duration = Duration::from_secs(10);

impl FakeWorker {
    pub(super) fn execute_commands(&self, inner: &mut Inner, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start_task(inner, task, *attempt),
                Command::Kill { task, attempt, grace_s } => {
                    if let Some(t) = inner.tasks.get_mut(task)
                        && t.attempt == *attempt
                        && t.state != TaskState::Exited
                    {
                        self.stop_task(task, t, Duration::from_secs_f64(*grace_s));
                    }
                }
                Command::Clear { task, attempt } => {
                    let has_exited = inner
                        .tasks
                        .get(task)
                        .is_some_and(|t| t.attempt == *attempt && t.state == TaskState::Exited);
                    if has_exited {
                        inner.tasks.remove(task);
                    }
                }
            }
        }
    }

    /// Stops a task. A running task with a checkpoint policy first writes a final
    /// checkpoint if the grace period is long enough. While it does, only a stop
    /// without a grace period ends it at once; others are ignored.
    fn stop_task(&self, name: &str, task: &mut Task, grace: Duration) {
        let saves = self.checkpoint_policy(name).filter(|saves| grace >= saves.time);
        if task.state == TaskState::Saving && grace > Duration::ZERO {
            return;
        }
        if let Some(runner) = task.runner.take() {
            runner.abort();
        }
        self.status_changed.notify_one();
        if let (Some(saves), Some((since, before)), TaskState::Running) =
            (saves, task.running_since, task.state)
        {
            let (worker, name, attempt) = (self.weak_self.upgrade().unwrap(), name.to_string(), task.attempt);
            let progress = before + since.elapsed();
            task.state = TaskState::Saving;
            task.runner = Some(tokio::spawn(async move {
                worker.checkpoint_and_exit(name, attempt, saves, progress).await
            }));
            return;
        }
        task.state = TaskState::Exited;
        task.exit_reason = Some(ExitReason::Stopped);
        self.checker.ended(name, &self.machine);
    }

    /// Writes the final checkpoint of a task that is stopped, then ends the task.
    async fn checkpoint_and_exit(&self, name: String, attempt: u64, saves: Saves, progress: Duration) {
        sleep(saves.time).await;
        self.wait_while_hung().await;
        self.timing.saved.lock().unwrap().insert(name.clone(), progress);
        self.checker.ended(&name, &self.machine);
        let mut inner = self.inner.lock().unwrap();
        if let Some(task) = inner.tasks.get_mut(&name).filter(|t| t.attempt == attempt) {
            task.checkpointed = Some(true);
        }
        drop(inner);
        self.set_task_state(&name, attempt, TaskState::Exited, Some(ExitReason::Stopped));
    }

    fn checkpoint_policy(&self, name: &str) -> Option<Saves> {
        let (job, _) = name.rsplit_once('/')?;
        self.timing.saves.get(job).copied()
    }

    /// Runs a task from its last checkpoint to completion, with periodic checkpoints.
    async fn run_with_checkpoints(&self, name: &str, attempt: u64, saves: Saves, runtime: Duration) {
        let mut progress = self.timing.saved.lock().unwrap().get(name).copied().unwrap_or_default();
        if let Some(task) = self.inner.lock().unwrap().tasks.get_mut(name).filter(|t| t.attempt == attempt) {
            task.running_since = Some((Instant::now(), progress));
        }
        while progress < runtime {
            let step = saves.interval.min(runtime - progress);
            self.run_for(step).await;
            progress += step;
            self.timing.saved.lock().unwrap().insert(name.to_string(), progress);
        }
    }

    /// Starts a task unless it is already on the machine; another attempt of a task that
    /// is still there is a violation.
    fn start_task(&self, inner: &mut Inner, name: &str, attempt: u64) {
        if let Some(existing) = inner.tasks.get(name) {
            if existing.attempt != attempt {
                self.checker.note(format!("{name} started on {} with another attempt", self.machine));
            }
            return;
        }
        let (worker, task) = (self.weak_self.upgrade().unwrap(), name.to_string());
        let runner = tokio::spawn(async move { worker.run_task(task, attempt).await });
        let task = Task {
            attempt,
            state: TaskState::Fetching,
            exit_reason: None,
            runner: Some(runner),
            running_since: None,
            checkpointed: None,
        };
        inner.tasks.insert(name.into(), task);
        self.status_changed.notify_one();
    }

    /// Simulates one attempt of a task: pulls the image, runs, and exits.
    async fn run_task(&self, name: String, attempt: u64) {
        self.run_for(self.timing.fetch).await;
        let job = name.rsplit_once('/').unwrap().0.to_string();
        self.set_task_state(&name, attempt, TaskState::Running, None);
        self.checker.started(&name, attempt, &self.machine);
        if self.timing.fails.contains(&job) {
            sleep(FAILING_TASK_RUNTIME).await;
            self.checker.ended(&name, &self.machine);
            self.set_task_state(&name, attempt, TaskState::Exited, Some(ExitReason::Error));
            return;
        }
        let own_runtime = self.timing.runs.get(&job).copied();
        let base_runtime = own_runtime.unwrap_or(DEFAULT_TASK_RUNTIME);
        let index: u32 = name.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        let runtime = if self.timing.per_task && own_runtime.is_some() {
            base_runtime / 2 + base_runtime * 2 * index
        } else {
            base_runtime
        };
        match self.checkpoint_policy(&name) {
            Some(saves) => self.run_with_checkpoints(&name, attempt, saves, runtime).await,
            None => self.run_for(runtime).await,
        }
        self.checker.ended(&name, &self.machine);
        self.set_task_state(&name, attempt, TaskState::Exited, Some(ExitReason::Done));
    }

    fn set_task_state(&self, name: &str, attempt: u64, state: TaskState, why: Option<ExitReason>) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(task) = inner.tasks.get_mut(name).filter(|t| t.attempt == attempt) {
            task.state = state;
            task.exit_reason = why;
            self.status_changed.notify_one();
        }
    }
}
