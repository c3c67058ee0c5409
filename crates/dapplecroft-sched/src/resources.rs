//! Resource vectors: the CPUs, GPUs and memory that a task requires or a machine
//! provides, as integers in thousandths of a unit.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};

/// CPUs, GPUs and memory in thousandths. They are integers so that adding a task
/// and subtracting it again gives exactly the original amount, without rounding
/// errors.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Thousandths of a CPU.
    pub cpus: i64,
    /// Thousandths of a GPU.
    pub gpus: i64,
    /// Thousandths of a gigabyte.
    pub memory: i64,
}

/// Factor from CPUs, GPUs or gigabytes to the stored thousandths.
const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

fn thousandths(x: f64) -> i64 {
    (x * THOUSANDTHS_PER_UNIT).round() as i64
}

impl Resources {
    /// Converts CPUs, GPUs and gigabytes of memory to thousandths, rounded to the
    /// nearest.
    pub fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources { cpus: thousandths(cpus), gpus: thousandths(gpus), memory: thousandths(memory_gb) }
    }

    /// Whether `self` is at most `room` in every resource.
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    /// The dominant share: the largest fraction that `self` takes of any single
    /// resource of `whole`. A resource that `self` does not use counts as 0.0; one
    /// that `self` uses and `whole` lacks counts as infinity.
    pub fn dominant_share_of(&self, whole: &Resources) -> f64 {
        let part = |a: i64, b: i64| match (a, b) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (a, b) => a as f64 / b as f64,
        };
        part(self.cpus, whole.cpus).max(part(self.gpus, whole.gpus)).max(part(self.memory, whole.memory))
    }

    /// How many copies of `self` fit into `room` together. Returns 0 if `self` is
    /// empty or `room` is negative in a required resource.
    pub fn copies_that_fit(&self, room: &Resources) -> i64 {
        [(self.cpus, room.cpus), (self.gpus, room.gpus), (self.memory, room.memory)]
            .into_iter()
            .filter(|(required, _)| *required > 0)
            .map(|(required, have)| (have / required).max(0))
            .min()
            .unwrap_or(0)
    }

    /// `self` multiplied by `n` in every resource.
    pub fn times(&self, n: i64) -> Resources {
        Resources { cpus: self.cpus * n, gpus: self.gpus * n, memory: self.memory * n }
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory: self.memory + other.memory,
        }
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory: self.memory - other.memory,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}

impl Sum for Resources {
    fn sum<I: Iterator<Item = Resources>>(iter: I) -> Resources {
        iter.fold(Resources::default(), Add::add)
    }
}
