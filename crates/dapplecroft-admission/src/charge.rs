//! How much credit a job takes: the processor-seconds that it keeps others from using,
//! by its owner's estimate.

/// What a machine type offers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceAmounts {
    /// Processors.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Gigabytes of memory.
    pub memory_gb: f64,
}

/// What a job asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobResources {
    /// Tasks.
    pub task_count: u32,
    /// Of each task.
    pub per_task: ResourceAmounts,
    /// The owner's estimate of a task's run time, in seconds.
    pub estimate_s: f64,
}

/// The part of a machine that a task books: its dominant share. `None`: it does not fit.
fn dominant_share(task: &ResourceAmounts, machine: &ResourceAmounts) -> Option<f64> {
    let share_of = |need: f64, offered: f64| match need {
        need if need <= 0.0 => 0.0,
        _ if offered <= 0.0 => f64::INFINITY,
        need => need / offered,
    };
    let shares = [
        share_of(task.cpus, machine.cpus),
        share_of(task.gpus, machine.gpus),
        share_of(task.memory_gb, machine.memory_gb),
    ];
    let dominant = shares.into_iter().fold(0.0, f64::max);
    (dominant <= 1.0).then_some(dominant)
}

/// The processors that a task keeps others from using, on the type that suits it best.
fn effective_cpus<'a>(task: &ResourceAmounts, machines: impl Iterator<Item = &'a ResourceAmounts>) -> f64 {
    let effective = machines.filter_map(|machine| Some(dominant_share(task, machine)? * machine.cpus));
    effective.min_by(f64::total_cmp).unwrap_or(task.cpus).max(task.cpus)
}

/// The processor-seconds that a job is charged, from `min_charge` to `max_charge`.
pub fn compute_charge<'a>(
    job: &JobResources,
    machines: impl Iterator<Item = &'a ResourceAmounts>,
    min_charge: u64,
    max_charge: u64,
) -> u64 {
    let work = f64::from(job.task_count) * effective_cpus(&job.per_task, machines) * job.estimate_s.max(0.0);
    // A float beyond the range of an integer becomes its greatest value.
    (work.ceil() as u64).max(min_charge).min(max_charge.max(min_charge))
}
