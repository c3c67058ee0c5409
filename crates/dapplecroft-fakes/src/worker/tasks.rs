//! The worker's tasks: orders carried out, and each task's run from fetch to exit.

use super::{FakeWorker, Inner, Saves, Task};
use dapplecroft_wire::workers::{ExitReason, Order, TaskState};
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl FakeWorker {
    pub(super) fn execute(&self, inner: &mut Inner, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.begin(inner, task, *attempt),
                Order::Kill { task, attempt, grace_s } => {
                    if let Some(t) = inner.tasks.get_mut(task)
                        && t.attempt == *attempt
                        && t.state != TaskState::Exited
                    {
                        self.kill(task, t, Duration::from_secs_f64(*grace_s));
                    }
                }
                Order::Clear { task, attempt } => {
                    let exited = inner
                        .tasks
                        .get(task)
                        .is_some_and(|t| t.attempt == *attempt && t.state == TaskState::Exited);
                    if exited {
                        inner.tasks.remove(task);
                    }
                }
            }
        }
    }

    /// Ends a task, or has it save first if it is given the time for that.
    fn kill(&self, name: &str, task: &mut Task, grace: Duration) {
        let saves = self.saves(name).filter(|saves| grace >= saves.time);
        if task.state == TaskState::Saving && grace > Duration::ZERO {
            return;
        }
        if let Some(work) = task.work.take() {
            work.abort();
        }
        self.changed.notify_one();
        if let (Some(saves), Some((since, before)), TaskState::Running) = (saves, task.began, task.state) {
            let (me, name, attempt) = (self.own.upgrade().unwrap(), name.to_string(), task.attempt);
            let progress = before + since.elapsed();
            task.state = TaskState::Saving;
            task.work = Some(tokio::spawn(async move { me.save(name, attempt, saves, progress).await }));
            return;
        }
        task.state = TaskState::Exited;
        task.why = Some(ExitReason::Stopped);
        self.referee.ended(name, &self.machine);
    }

    async fn save(&self, name: String, attempt: u64, saves: Saves, progress: Duration) {
        sleep(saves.time).await;
        self.awake().await;
        self.timing.saved.lock().unwrap().insert(name.clone(), progress);
        self.referee.ended(&name, &self.machine);
        let mut inner = self.inner.lock().unwrap();
        if let Some(task) = inner.tasks.get_mut(&name).filter(|t| t.attempt == attempt) {
            task.saved = Some(true);
        }
        drop(inner);
        self.set(&name, attempt, TaskState::Exited, Some(ExitReason::Stopped));
    }

    fn saves(&self, name: &str) -> Option<Saves> {
        let (job, _) = name.rsplit_once('/')?;
        self.timing.saves.get(job).copied()
    }

    /// Runs a task to its end from what was saved of it, saving by itself.
    async fn run_saving(&self, name: &str, attempt: u64, saves: Saves, total: Duration) {
        let mut progress = self.timing.saved.lock().unwrap().get(name).copied().unwrap_or_default();
        if let Some(task) = self.inner.lock().unwrap().tasks.get_mut(name).filter(|t| t.attempt == attempt) {
            task.began = Some((Instant::now(), progress));
        }
        while progress < total {
            let step = saves.interval.min(total - progress);
            self.run_for(step).await;
            progress += step;
            self.timing.saved.lock().unwrap().insert(name.to_string(), progress);
        }
    }

    fn begin(&self, inner: &mut Inner, name: &str, attempt: u64) {
        if let Some(old) = inner.tasks.get(name) {
            if old.attempt != attempt {
                self.referee.note(format!("{name} started on {} with another attempt", self.machine));
            }
            return;
        }
        let (me, task) = (self.own.upgrade().unwrap(), name.to_string());
        let work = tokio::spawn(async move { me.work(task, attempt).await });
        let task = Task {
            attempt,
            state: TaskState::Fetching,
            why: None,
            work: Some(work),
            began: None,
            saved: None,
        };
        inner.tasks.insert(name.into(), task);
        self.changed.notify_one();
    }

    async fn work(&self, name: String, attempt: u64) {
        self.run_for(self.timing.fetch).await;
        let job = name.rsplit_once('/').unwrap().0.to_string();
        self.set(&name, attempt, TaskState::Running, None);
        self.referee.started(&name, attempt, &self.machine);
        if self.timing.fails.contains(&job) {
            sleep(Duration::from_millis(200)).await;
            self.referee.ended(&name, &self.machine);
            self.set(&name, attempt, TaskState::Exited, Some(ExitReason::Error));
            return;
        }
        let named = self.timing.runs.get(&job).copied();
        let usual = named.unwrap_or(Duration::from_secs(10));
        let index: u32 = name.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        let total =
            if self.timing.per_task && named.is_some() { usual / 2 + usual * 2 * index } else { usual };
        match self.saves(&name) {
            Some(saves) => self.run_saving(&name, attempt, saves, total).await,
            None => self.run_for(total).await,
        }
        self.referee.ended(&name, &self.machine);
        self.set(&name, attempt, TaskState::Exited, Some(ExitReason::Done));
    }

    fn set(&self, name: &str, attempt: u64, state: TaskState, why: Option<ExitReason>) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(task) = inner.tasks.get_mut(name).filter(|t| t.attempt == attempt) {
            task.state = state;
            task.why = why;
            self.changed.notify_one();
        }
    }
}
