//! How what runs on some machines of a shard is written, as briefly as can be:
//! a value has a limit, and a shard may have thousands of tasks.

use crate::ranges::Ranges;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

/// What runs on some machines of a shard; written by its holder alone. One
/// record for all jobs, so that what its holder writes follows the machines and
/// the time between two writes, and not the number of jobs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SegmentRecord {
    /// Names of jobs, to which spans refer by position.
    pub jobs: Vec<String>,
    /// Tasks on each machine. One that is named speaks for that machine, also
    /// with nothing on it, whatever a record of the first layout says.
    pub machines: BTreeMap<String, Vec<TaskSpan>>,
    /// Completed tasks of jobs that are not over. Several records may have them.
    pub done: BTreeMap<String, Ranges>,
    /// Last attempts of tasks that are neither done nor on a machine; of
    /// several, the highest counts.
    pub last_attempts: BTreeMap<String, BTreeMap<u32, u64>>,
}

/// Neighbouring tasks of a job on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSpan {
    /// The job's position among the record's names.
    pub job: u32,
    /// The first task.
    pub first: u32,
    /// The last task; usually the first.
    pub last: u32,
    /// Their attempt; usually 1.
    pub attempt: u64,
    /// The worker's session that they were placed in; usually 1.
    pub session: u64,
}

/// How a record of what runs is written. Jobs are named by the digits of their
/// ids. `3:7-20*2@4/0a` are the tasks 7 to 20 of the fourth job, attempt 2, in
/// the worker's session 4; behind the stroke are those of them that have
/// completed meanwhile, four to a digit. So what is placed together takes little
/// room until all of it has ended, in whatever order. Machines come in the order
/// of their names, each with a letter for how much of the last name it begins
/// with: `ai-000231=0:3;h45=1:7` are `i-000231` and `i-000245`.
#[derive(Default, Serialize, Deserialize)]
struct StoredSegment {
    #[serde(rename = "j", default, skip_serializing_if = "String::is_empty")]
    jobs: String,
    #[serde(rename = "m", default, skip_serializing_if = "String::is_empty")]
    machines: String,
    /// Those whose names have other signs than most.
    #[serde(rename = "o", default, skip_serializing_if = "BTreeMap::is_empty")]
    others: BTreeMap<String, String>,
    /// `3:0-5,7`.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    done: String,
    /// `3:0-5*1,7*2`.
    #[serde(rename = "t", default, skip_serializing_if = "String::is_empty")]
    last_attempts: String,
}

/// What ids of jobs begin with.
const JOB_ID_PREFIX: &str = "run-";
/// Neighbours are written together across so many that have completed.
const MAX_COMPLETED_GAP: u32 = 48;

/// Neighbouring tasks with what has completed between them.
struct SpanGroup<'a> {
    span: TaskSpan,
    parts: &'a [TaskSpan],
}

impl SpanGroup<'_> {
    fn write(&self, to: &mut String) {
        let s = &self.span;
        let _ = write!(to, "{}{}:{}", if to.is_empty() { "" } else { " " }, s.job, s.first);
        if s.last != s.first {
            let _ = write!(to, "-{}", s.last);
        }
        if s.attempt != 1 {
            let _ = write!(to, "*{}", s.attempt);
        }
        if s.session != 1 {
            let _ = write!(to, "@{}", s.session);
        }
        if self.parts.len() > 1 {
            let mut digits = vec![0u32; ((s.last - s.first) / 4 + 1) as usize];
            for pair in self.parts.windows(2) {
                for i in pair[0].last + 1..pair[1].first {
                    digits[((i - s.first) / 4) as usize] |= 1 << ((i - s.first) % 4);
                }
            }
            to.push('/');
            to.extend(digits.iter().filter_map(|d| char::from_digit(*d, 16)));
        }
    }
}

/// Joins spans of a machine where all between them has completed.
fn group_spans<'a>(spans: &'a [TaskSpan], done: impl Fn(u32, u32, u32) -> bool) -> Vec<SpanGroup<'a>> {
    let mut groups: Vec<(usize, usize)> = Vec::new();
    for (n, s) in spans.iter().enumerate() {
        let joins = n.checked_sub(1).map(|before| &spans[before]).is_some_and(|b| {
            (b.job, b.attempt, b.session) == (s.job, s.attempt, s.session)
                && b.last < s.first
                && s.first - b.last <= MAX_COMPLETED_GAP
                && (b.last + 1 == s.first || done(s.job, b.last + 1, s.first - 1))
        });
        match groups.last_mut().filter(|_| joins) {
            Some((_, end)) => *end = n + 1,
            None => groups.push((n, n + 1)),
        }
    }
    let group = |(from, to): (usize, usize)| {
        let parts = &spans[from..to];
        SpanGroup { span: TaskSpan { last: parts[parts.len() - 1].last, ..parts[0] }, parts }
    };
    groups.into_iter().map(group).collect()
}

/// Reads neighbouring tasks: those that run, and those that have completed.
fn parse_span_group(text: &str) -> Option<(Vec<TaskSpan>, Vec<u32>)> {
    let (text, digits) = text.split_once('/').unwrap_or((text, ""));
    let (text, session) = split_suffix_number(text, '@')?;
    let (text, attempt) = split_suffix_number(text, '*')?;
    let (job, tasks) = text.split_once(':')?;
    let (first, last) = tasks.split_once('-').unwrap_or((tasks, tasks));
    let span = TaskSpan {
        job: job.parse().ok()?,
        first: first.parse().ok()?,
        last: last.parse().ok()?,
        attempt,
        session,
    };
    if span.first > span.last || digits.len() as u64 > u64::from(span.last - span.first) / 4 + 1 {
        return None;
    }
    let mut done = Vec::new();
    for (n, digit) in digits.chars().enumerate() {
        let bits = digit.to_digit(16)?;
        done.extend((0..4).filter(|b| bits & (1 << b) != 0).map(|b| span.first + n as u32 * 4 + b));
    }
    if done.last().is_some_and(|i| *i > span.last) {
        return None;
    }
    let mut spans = Vec::new();
    let mut from = span.first;
    for i in &done {
        if *i > from {
            spans.push(TaskSpan { first: from, last: i - 1, ..span });
        }
        from = i + 1;
    }
    if from <= span.last {
        spans.push(TaskSpan { first: from, ..span });
    }
    Some((spans, done))
}

/// Whether a machine's name has no sign that a record is written with.
fn is_plain(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:/".contains(&b))
}

/// A number behind a mark, 1 if there is none, and what is before it.
fn split_suffix_number(text: &str, mark: char) -> Option<(&str, u64)> {
    match text.split_once(mark) {
        Some((before, number)) => Some((before, number.parse().ok()?)),
        None => Some((text, 1)),
    }
}

fn parse_list<T>(text: &str, mark: char, read: impl Fn(&str) -> Option<T>) -> Option<Vec<T>> {
    text.split(mark).filter(|w| !w.is_empty()).map(read).collect()
}

fn parse_bounds(text: &str) -> Option<(u32, u32)> {
    let (a, b) = text.split_once('-').unwrap_or((text, text));
    let (a, b) = (a.parse().ok()?, b.parse().ok()?);
    (a <= b).then_some((a, b))
}

fn write_range(to: &mut String, a: u32, b: u32) {
    let _ = write!(to, "{a}");
    if a != b {
        let _ = write!(to, "-{b}");
    }
}

/// Last attempts, neighbours with the same one together.
fn write_attempts(to: &mut String, tries: &BTreeMap<u32, u64>) {
    let mut runs: Vec<(u32, u32, u64)> = Vec::new();
    for (index, attempt) in tries {
        match runs.last_mut() {
            Some((_, last, n)) if *last + 1 == *index && n == attempt => *last = *index,
            _ => runs.push((*index, *index, *attempt)),
        }
    }
    for (n, (a, b, attempt)) in runs.into_iter().enumerate() {
        if n > 0 {
            to.push(',');
        }
        write_range(to, a, b);
        let _ = write!(to, "*{attempt}");
    }
}

fn parse_attempts(text: &str) -> Option<BTreeMap<u32, u64>> {
    let one = |w: &str| {
        let (tasks, attempt) = w.split_once('*')?;
        Some((parse_bounds(tasks)?, attempt.parse::<u64>().ok()?))
    };
    let runs = parse_list(text, ',', one)?;
    Some(runs.into_iter().flat_map(|((a, b), n)| (a..=b).map(move |i| (i, n))).collect())
}

impl SegmentRecord {
    /// The groups of neighbours on each machine, and what is left of the
    /// completed tasks when those between neighbours are written with them.
    fn group_for_storage(&self) -> (BTreeMap<&String, Vec<SpanGroup<'_>>>, BTreeMap<&String, Ranges>) {
        let mut left: BTreeMap<&String, Ranges> = self.done.iter().map(|(id, r)| (id, r.clone())).collect();
        let done = |job: u32, a: u32, b: u32| {
            let ranges = self.jobs.get(job as usize).and_then(|id| self.done.get(id));
            ranges.is_some_and(|r| r.contains_all(a, b))
        };
        let mut machines = BTreeMap::new();
        for (machine, spans) in &self.machines {
            let own = group_spans(spans, done);
            for pair in own.iter().flat_map(|g| g.parts.windows(2)) {
                if let Some(left) = self.jobs.get(pair[0].job as usize).and_then(|id| left.get_mut(id)) {
                    let between =
                        Ranges::from_bounds(vec![(pair[0].last + 1, pair[1].first.saturating_sub(1))]);
                    *left = left.difference(&between);
                }
            }
            machines.insert(machine, own);
        }
        left.retain(|_, r| !r.is_empty());
        (machines, left)
    }

    /// The sizes of the groups of neighbours that the record is written with.
    pub fn group_sizes(&self) -> Vec<u32> {
        let (machines, _) = self.group_for_storage();
        machines.values().flatten().map(|g| g.span.last - g.span.first + 1).collect()
    }
}

impl Serialize for SegmentRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut jobs = self.jobs.clone();
        let mut known: BTreeMap<String, u32> =
            jobs.iter().enumerate().map(|(n, id)| (id.clone(), n as u32)).collect();
        // What only has completed tasks or attempts is named behind the others.
        let mut position = |id: &String| {
            *known.entry(id.clone()).or_insert_with(|| {
                jobs.push(id.clone());
                jobs.len() as u32 - 1
            })
        };
        let (groups, left) = self.group_for_storage();
        let mut written = StoredSegment::default();
        let space = |to: &str| if to.is_empty() { "" } else { " " };
        for (id, done) in left {
            let _ = write!(written.done, "{}{}:", space(&written.done), position(id));
            done.write_text(&mut written.done);
        }
        for (id, own) in &self.last_attempts {
            let _ = write!(written.last_attempts, "{}{}:", space(&written.last_attempts), position(id));
            write_attempts(&mut written.last_attempts, own);
        }
        let mut last = "";
        for (machine, groups) in groups {
            let mut text = String::new();
            groups.iter().for_each(|g| g.write(&mut text));
            if is_plain(machine) {
                let same = machine.bytes().zip(last.bytes()).take_while(|(a, b)| a == b).count().min(25);
                let mark = char::from(b'a' + same as u8);
                let stop = if last.is_empty() { "" } else { ";" };
                let _ = write!(written.machines, "{stop}{mark}{}={text}", &machine[same..]);
                last = machine;
            } else {
                written.others.insert(machine.clone(), text);
            }
        }
        for id in &jobs {
            let _ = write!(
                written.jobs,
                "{}{}",
                space(&written.jobs),
                id.strip_prefix(JOB_ID_PREFIX).unwrap_or(id)
            );
        }
        written.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for SegmentRecord {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let written = StoredSegment::deserialize(deserializer)?;
        parse_stored_segment(&written).map_err(D::Error::custom)
    }
}

fn parse_stored_segment(written: &StoredSegment) -> Result<SegmentRecord, &'static str> {
    let jobs: Vec<String> =
        written.jobs.split(' ').filter(|w| !w.is_empty()).map(|w| format!("{JOB_ID_PREFIX}{w}")).collect();
    let name = |n: &str| n.parse::<usize>().ok().and_then(|n| jobs.get(n)).cloned();
    let of = |w: &str| {
        let (n, rest) = w.split_once(':')?;
        Some((name(n)?, rest.to_string()))
    };
    let mut record = SegmentRecord::default();
    for (id, text) in parse_list(&written.done, ' ', of).ok_or("completed tasks of no job")? {
        record.done.insert(id, text.parse()?);
    }
    for (id, text) in parse_list(&written.last_attempts, ' ', of).ok_or("attempts of no job")? {
        record.last_attempts.insert(id, parse_attempts(&text).ok_or("unreadable attempts")?);
    }
    let mut machines: Vec<(String, &str)> = Vec::new();
    for entry in written.machines.split(';').filter(|e| !e.is_empty()) {
        let (name, text) = entry.split_once('=').ok_or("a machine without tasks")?;
        let mark = name.bytes().next().filter(u8::is_ascii_lowercase).ok_or("a machine without a name")?;
        let last = machines.last().map_or("", |(m, _)| m);
        let same = last.get(..usize::from(mark - b'a')).ok_or("a machine with half a name")?;
        machines.push((format!("{same}{}", &name[1..]), text));
    }
    machines.extend(written.others.iter().map(|(m, text)| (m.clone(), text.as_str())));
    for (machine, text) in machines {
        let mut spans = Vec::new();
        for (own, done) in parse_list(text, ' ', parse_span_group).ok_or("unreadable tasks")? {
            let job = own.first().map(|s| s.job as usize).ok_or("tasks that have all ended")?;
            let id = jobs.get(job).ok_or("a task of a job without a name")?;
            if !done.is_empty() {
                let all = record.done.entry(id.clone()).or_default();
                *all = all.union(&Ranges::from_ascending(done));
            }
            spans.extend(own);
        }
        record.machines.insert(machine, spans);
    }
    record.jobs = jobs;
    Ok(record)
}

impl Ranges {
    /// `0-3,7`.
    fn write_text(&self, to: &mut String) {
        for (n, (a, b)) in self.bounds().iter().enumerate() {
            if n > 0 {
                to.push(',');
            }
            write_range(to, *a, *b);
        }
    }
}

impl Serialize for Ranges {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut text = String::new();
        self.write_text(&mut text);
        serializer.serialize_str(&text)
    }
}

impl FromStr for Ranges {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Ranges, &'static str> {
        parse_list(text, ',', parse_bounds).map(Ranges::from_bounds).ok_or("unreadable numbers")
    }
}

impl<'de> Deserialize<'de> for Ranges {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

#[cfg(test)]
mod tests;
