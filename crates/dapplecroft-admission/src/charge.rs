//! How much credit a job costs: the processor-seconds that the job makes unavailable to other
//! jobs, computed from the run time that its owner estimated.

/// Amounts of resources: what a machine type offers, or what a task requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceAmounts {
    /// Number of processors.
    pub cpus: f64,
    /// Number of graphics processors.
    pub gpus: f64,
    /// Memory, in gigabytes.
    pub memory_gb: f64,
}

/// The resources that a job requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobResources {
    /// Number of tasks.
    pub task_count: u32,
    /// Resources of each task.
    pub per_task: ResourceAmounts,
    /// The owner's estimate of one task's run time, in seconds.
    pub estimate_s: f64,
}

/// The task's dominant share of a machine: the largest fraction that it takes of any of the
/// machine's resources. `None` if the task does not fit on the machine.
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

/// The number of processors that a task makes unavailable to other tasks, on the machine type
/// where that number is lowest: its dominant share times the machine's processors.
fn effective_cpus<'a>(task: &ResourceAmounts, machines: impl Iterator<Item = &'a ResourceAmounts>) -> f64 {
    let effective = machines.filter_map(|machine| Some(dominant_share(task, machine)? * machine.cpus));
    effective.min_by(f64::total_cmp).unwrap_or(task.cpus).max(task.cpus)
}

/// The processor-seconds that a job is charged, clamped to `min_charge..=max_charge`.
pub fn compute_charge<'a>(
    job: &JobResources,
    machines: impl Iterator<Item = &'a ResourceAmounts>,
    min_charge: u64,
    max_charge: u64,
) -> u64 {
    let work = f64::from(job.task_count) * effective_cpus(&job.per_task, machines) * job.estimate_s.max(0.0);
    // The cast saturates: a value beyond the range of `u64` becomes `u64::MAX`.
    (work.ceil() as u64).max(min_charge).min(max_charge.max(min_charge))
}
