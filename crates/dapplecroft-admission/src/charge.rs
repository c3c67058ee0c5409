//! How much credit a job takes: the processor-seconds that it keeps others from using,
//! by its owner's estimate.

/// What a machine type offers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineShape {
    /// Processors.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Gigabytes of memory.
    pub memory_gb: f64,
}

/// What a job asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Footprint {
    /// Tasks.
    pub tasks: u32,
    /// Of each task.
    pub each: MachineShape,
    /// The owner's estimate of a task's run time, in seconds.
    pub estimate_s: f64,
}

/// The part of a machine that a task books: its dominant share. `None`: it does not fit.
fn dominant_share(task: &MachineShape, machine: &MachineShape) -> Option<f64> {
    let share = |need: f64, offered: f64| match need {
        need if need <= 0.0 => 0.0,
        _ if offered <= 0.0 => f64::INFINITY,
        need => need / offered,
    };
    let shares = [
        share(task.cpus, machine.cpus),
        share(task.gpus, machine.gpus),
        share(task.memory_gb, machine.memory_gb),
    ];
    let dominant = shares.into_iter().fold(0.0, f64::max);
    (dominant <= 1.0).then_some(dominant)
}

/// The processors that a task keeps others from using, on the type that suits it best.
fn booked_cpus<'a>(task: &MachineShape, machines: impl Iterator<Item = &'a MachineShape>) -> f64 {
    let booked = machines.filter_map(|machine| Some(dominant_share(task, machine)? * machine.cpus));
    booked.min_by(f64::total_cmp).unwrap_or(task.cpus).max(task.cpus)
}

/// The processor-seconds that a job is charged, from `least` to `largest`.
pub fn charge<'a>(
    job: &Footprint,
    machines: impl Iterator<Item = &'a MachineShape>,
    least: u64,
    largest: u64,
) -> u64 {
    let work = f64::from(job.tasks) * booked_cpus(&job.each, machines) * job.estimate_s.max(0.0);
    // A float beyond the range of an integer becomes its greatest value.
    (work.ceil() as u64).max(least).min(largest.max(least))
}
