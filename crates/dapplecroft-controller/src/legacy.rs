//! Records in the first layout, which the first version of the program reads and
//! writes. Other controllers may still run that version until the cluster switches
//! to the second layout.
//!
//! Records of the first layout are read at any time, and written as long as any
//! member may run the first version. The `migration` module of [`crate::core`]
//! replaces them with records of the second layout. Once no first-layout records are
//! left anywhere, this module can be deleted and `serde_json::from_value` used instead.
//!
//! The first version treats unknown data as follows. It logs unknown keys and leaves
//! them alone. It ignores unknown fields and loses them when it writes the record
//! again. A value that lacks a field or has an unknown variant is logged as
//! unreadable and ignored.

use crate::ranges::Ranges;
use crate::records::{GroupRecord, JobRecord, JobStage, MachineRecord, SegmentRecord, TaskSpan};
use dapplecroft_wire::users::JobSpec;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Error, Value};
use std::collections::BTreeMap;

/// A set of task indices as inclusive bounds, the first layout's form of [`Ranges`].
type RangeBounds = Vec<(u32, u32)>;

/// First-layout form of a [`JobRecord`].
#[derive(Serialize, Deserialize)]
struct LegacyJob {
    stage: JobStage,
    tasks: u32,
    #[serde(rename = "to", default, skip_serializing_if = "BTreeMap::is_empty")]
    allocated: BTreeMap<u32, RangeBounds>,
    #[serde(rename = "folded", default, skip_serializing_if = "Vec::is_empty")]
    legacy_done: RangeBounds,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(rename = "at", default)]
    submitted_at: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spec: Option<JobSpec>,
}

/// First-layout form of a [`SegmentRecord`], which covers a whole shard.
#[derive(Serialize, Deserialize)]
struct LegacySegment {
    #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
    jobs: Vec<String>,
    /// Spans of tasks on each machine, each as the numbers of a [`TaskSpan`] in the order
    /// of its fields. Numbers at the end that have their usual values are left out.
    #[serde(rename = "m", default, skip_serializing_if = "BTreeMap::is_empty")]
    machines: BTreeMap<String, Vec<Vec<u64>>>,
    #[serde(rename = "d", default, skip_serializing_if = "BTreeMap::is_empty")]
    done: BTreeMap<String, RangeBounds>,
    #[serde(rename = "t", default, skip_serializing_if = "BTreeMap::is_empty")]
    last_attempts: BTreeMap<String, BTreeMap<u32, u64>>,
}

/// First-layout form of a [`GroupRecord`].
#[derive(Serialize, Deserialize)]
struct LegacyGroup {
    #[serde(rename = "block")]
    shard: u32,
    #[serde(rename = "type")]
    machine_type: String,
    zone: String,
    spot: bool,
    machines: BTreeMap<String, LegacyMachine>,
}

/// First-layout form of a [`MachineRecord`].
#[derive(Serialize, Deserialize)]
struct LegacyMachine {
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    address: Option<String>,
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    given_up: bool,
}

/// Reads a record of either layout. A value that has `first_layout_field`, a field that
/// only the first layout has, is read in the first layout and converted.
fn read_either_layout<L: DeserializeOwned, R: DeserializeOwned>(
    value: Value,
    first_layout_field: &str,
    convert: impl Fn(L) -> R,
) -> Result<R, Error> {
    if value.get(first_layout_field).is_some() {
        serde_json::from_value(value).map(convert)
    } else {
        serde_json::from_value(value)
    }
}

fn to_bounds(ranges: &Ranges) -> RangeBounds {
    ranges.bounds().to_vec()
}

/// Reads a job's record of either layout.
pub fn read_job(value: Value) -> Result<JobRecord, Error> {
    read_either_layout(value, "stage", |old: LegacyJob| JobRecord {
        stage: old.stage,
        tasks: old.tasks,
        allocated: old
            .allocated
            .into_iter()
            .map(|(shard, tasks)| (shard, Ranges::from_bounds(tasks)))
            .collect(),
        legacy_done: Ranges::from_bounds(old.legacy_done),
        done: old.done,
        submitted_at: old.submitted_at,
        spec: old.spec,
        away: None,
        origin: None,
        credit: None,
    })
}

/// Returns a job's record in the first layout.
pub fn write_job(job: &JobRecord) -> Value {
    to_value(&LegacyJob {
        stage: job.stage,
        tasks: job.tasks,
        allocated: job.allocated.iter().map(|(shard, tasks)| (*shard, to_bounds(tasks))).collect(),
        legacy_done: to_bounds(&job.legacy_done),
        done: job.done,
        submitted_at: job.submitted_at,
        spec: job.spec.clone(),
    })
}

/// Reads a first-layout record of the task placements in a whole shard.
pub fn read_segment(value: Value) -> Result<SegmentRecord, Error> {
    let old: LegacySegment = serde_json::from_value(value)?;
    let mut machines = BTreeMap::new();
    for (machine, spans) in old.machines {
        let spans: Option<Vec<TaskSpan>> = spans.iter().map(|s| read_span(s)).collect();
        let spans = spans.ok_or_else(|| serde::de::Error::custom("malformed tasks of a machine"))?;
        machines.insert(machine, spans);
    }
    Ok(SegmentRecord {
        jobs: old.jobs,
        machines,
        done: old.done.into_iter().map(|(id, p)| (id, Ranges::from_bounds(p))).collect(),
        last_attempts: old.last_attempts,
    })
}

/// Returns the record of the task placements in a whole shard in the first layout.
pub fn write_segment(segment: &SegmentRecord) -> Value {
    let spans = |spans: &Vec<TaskSpan>| spans.iter().map(write_span).collect();
    to_value(&LegacySegment {
        jobs: segment.jobs.clone(),
        machines: segment.machines.iter().map(|(m, s)| (m.clone(), spans(s))).collect(),
        done: segment.done.iter().map(|(id, r)| (id.clone(), to_bounds(r))).collect(),
        last_attempts: segment.last_attempts.clone(),
    })
}

fn read_span(numbers: &[u64]) -> Option<TaskSpan> {
    let small = |n: u64| u32::try_from(n).ok();
    let (job, first) = (*numbers.first()?, *numbers.get(1)?);
    Some(TaskSpan {
        job: small(job)?,
        first: small(first)?,
        last: small(numbers.get(2).copied().unwrap_or(first))?,
        attempt: numbers.get(3).copied().unwrap_or(1),
        session: numbers.get(4).copied().unwrap_or(1),
    })
}

/// Writes a span as a list of numbers, leaving out those at the end that have their
/// usual values.
fn write_span(span: &TaskSpan) -> Vec<u64> {
    let all = [u64::from(span.job), u64::from(span.first), u64::from(span.last), span.attempt, span.session];
    let length = match (span.last == span.first, span.attempt, span.session) {
        (_, _, session) if session != 1 => 5,
        (_, attempt, _) if attempt != 1 => 4,
        (false, _, _) => 3,
        _ => 2,
    };
    all[..length].to_vec()
}

/// Reads the record of a group of machines of either layout.
pub fn read_group(value: Value) -> Result<GroupRecord, Error> {
    read_either_layout(value, "block", |old: LegacyGroup| GroupRecord {
        shard: old.shard,
        machine_type: old.machine_type,
        zone: old.zone,
        spot: old.spot,
        machines: old
            .machines
            .into_iter()
            .map(|(id, m)| (id, MachineRecord { address: m.address, given_up: m.given_up }))
            .collect(),
    })
}

/// Returns the record of a group of machines in the first layout.
pub fn write_group(group: &GroupRecord) -> Value {
    let machine = |m: &MachineRecord| LegacyMachine { address: m.address.clone(), given_up: m.given_up };
    to_value(&LegacyGroup {
        shard: group.shard,
        machine_type: group.machine_type.clone(),
        zone: group.zone.clone(),
        spot: group.spot,
        machines: group.machines.iter().map(|(id, m)| (id.clone(), machine(m))).collect(),
    })
}

fn to_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}

#[cfg(test)]
mod tests;
