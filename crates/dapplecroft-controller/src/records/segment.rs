//! Segment records: the task placements on some machines of a shard. They are
//! stored in a compact text form, because the state service limits the size of a
//! value and a shard may run thousands of tasks.

use crate::ranges::Ranges;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

/// Task placements on some machines of a shard, written only by the shard's
/// holder. A record covers all jobs, so that the number of writes depends on the
/// number of machines and the interval between writes, and not on the number of jobs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SegmentRecord {
    /// Ids of jobs; the spans refer to them by position.
    pub jobs: Vec<String>,
    /// Tasks on each machine. For a machine that is listed here, even without tasks,
    /// this record takes precedence over a record of the first layout.
    pub machines: BTreeMap<String, Vec<TaskSpan>>,
    /// Completed tasks of jobs that are still open. Several segments may list the same
    /// job.
    pub done: BTreeMap<String, Ranges>,
    /// Last attempt numbers of tasks that are neither completed nor on a machine, by
    /// job and task index. If several segments list a task, the highest number counts.
    pub last_attempts: BTreeMap<String, BTreeMap<u32, u64>>,
}

/// Consecutive tasks of one job on one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSpan {
    /// Position of the job in [`SegmentRecord::jobs`].
    pub job: u32,
    /// Index of the first task.
    pub first: u32,
    /// Index of the last task, inclusive; usually equal to `first`.
    pub last: u32,
    /// Attempt number of the tasks; usually 1.
    pub attempt: u64,
    /// Session of the worker in which the tasks were placed; usually 1.
    pub session: u64,
}

/// Stored form of a [`SegmentRecord`].
///
/// Job ids are stored without their prefix, separated by spaces. `3:7-20*2@4/0a`
/// stands for tasks 7 to 20 of the fourth job, attempt 2, placed in session 4 of the
/// worker. The hexadecimal digits after the slash are a bit set, lowest bit first, of
/// the tasks in that range that have completed, four tasks to a digit. Tasks that
/// were placed together therefore take little space until all of them have ended, in
/// whatever order they end.
///
/// Machines are sorted by name. Each entry starts with a letter that says how many
/// leading characters its name shares with the previous one (`a` for none):
/// `ai-000231=0:3;h45=1:7` lists the machines `i-000231` and `i-000245`.
#[derive(Default, Serialize, Deserialize)]
struct StoredSegment {
    #[serde(rename = "j", default, skip_serializing_if = "String::is_empty")]
    jobs: String,
    #[serde(rename = "m", default, skip_serializing_if = "String::is_empty")]
    machines: String,
    /// Machines whose names contain characters that have a meaning in `machines`.
    #[serde(rename = "o", default, skip_serializing_if = "BTreeMap::is_empty")]
    others: BTreeMap<String, String>,
    /// Completed tasks by position of the job, such as `3:0-5,7`.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    done: String,
    /// Last attempts by position of the job, such as `3:0-5*1,7*2`.
    #[serde(rename = "t", default, skip_serializing_if = "String::is_empty")]
    last_attempts: String,
}

/// Prefix of all job ids, omitted in the stored form.
const JOB_ID_PREFIX: &str = "run-";
/// Largest distance from the last task of a span to the first task of the next one for
/// both to be stored as one group, given that all tasks between them have completed.
const MAX_COMPLETED_GAP: u32 = 48;

/// Spans of one job on one machine that are stored together, because all tasks between
/// them have completed.
struct SpanGroup<'a> {
    /// Range from the first to the last task of the group.
    span: TaskSpan,
    /// The tasks that still run.
    running: &'a [TaskSpan],
}

impl SpanGroup<'_> {
    fn write(&self, to: &mut String) {
        let span = &self.span;
        let _ = write!(to, "{}{}:{}", if to.is_empty() { "" } else { " " }, span.job, span.first);
        if span.last != span.first {
            let _ = write!(to, "-{}", span.last);
        }
        if span.attempt != 1 {
            let _ = write!(to, "*{}", span.attempt);
        }
        if span.session != 1 {
            let _ = write!(to, "@{}", span.session);
        }
        if self.running.len() > 1 {
            let mut digits = vec![0u32; ((span.last - span.first) / 4 + 1) as usize];
            for pair in self.running.windows(2) {
                for i in pair[0].last + 1..pair[1].first {
                    digits[((i - span.first) / 4) as usize] |= 1 << ((i - span.first) % 4);
                }
            }
            to.push('/');
            to.extend(digits.iter().filter_map(|d| char::from_digit(*d, 16)));
        }
    }
}

/// Groups the spans of a machine between which all tasks have completed.
/// `all_done(job, first, last)` tells whether a range of tasks has completed.
fn group_spans<'a>(spans: &'a [TaskSpan], all_done: impl Fn(u32, u32, u32) -> bool) -> Vec<SpanGroup<'a>> {
    let mut groups: Vec<(usize, usize)> = Vec::new();
    for (n, span) in spans.iter().enumerate() {
        let joins = n.checked_sub(1).map(|before| &spans[before]).is_some_and(|previous| {
            (previous.job, previous.attempt, previous.session) == (span.job, span.attempt, span.session)
                && previous.last < span.first
                && span.first - previous.last <= MAX_COMPLETED_GAP
                && (previous.last + 1 == span.first || all_done(span.job, previous.last + 1, span.first - 1))
        });
        match groups.last_mut().filter(|_| joins) {
            Some((_, end)) => *end = n + 1,
            None => groups.push((n, n + 1)),
        }
    }
    let group = |(from, to): (usize, usize)| {
        let running = &spans[from..to];
        SpanGroup { span: TaskSpan { last: running[running.len() - 1].last, ..running[0] }, running }
    };
    groups.into_iter().map(group).collect()
}

/// Parses a group of spans into the spans that still run and the indices of the
/// completed tasks.
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

/// Whether a machine's name has only characters without a meaning in
/// [`StoredSegment::machines`].
fn is_plain(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:/".contains(&b))
}

/// Splits `text` at `mark` into the text before the mark and the number after it,
/// which is 1 if there is no mark.
fn split_suffix_number(text: &str, mark: char) -> Option<(&str, u64)> {
    match text.split_once(mark) {
        Some((before, number)) => Some((before, number.parse().ok()?)),
        None => Some((text, 1)),
    }
}

/// Parses a list of items between separators. Returns `None` if any item is malformed.
fn parse_list<T>(text: &str, separator: char, parse: impl Fn(&str) -> Option<T>) -> Option<Vec<T>> {
    text.split(separator).filter(|item| !item.is_empty()).map(parse).collect()
}

fn parse_bounds(text: &str) -> Option<(u32, u32)> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let (first, last) = (first.parse().ok()?, last.parse().ok()?);
    (first <= last).then_some((first, last))
}

fn write_range(to: &mut String, first: u32, last: u32) {
    let _ = write!(to, "{first}");
    if first != last {
        let _ = write!(to, "-{last}");
    }
}

/// Writes last attempts, with consecutive tasks of the same attempt number as one
/// range.
fn write_attempts(to: &mut String, last_attempts: &BTreeMap<u32, u64>) {
    let mut runs: Vec<(u32, u32, u64)> = Vec::new();
    for (index, attempt) in last_attempts {
        match runs.last_mut() {
            Some((_, last, n)) if *last + 1 == *index && n == attempt => *last = *index,
            _ => runs.push((*index, *index, *attempt)),
        }
    }
    for (n, (first, last, attempt)) in runs.into_iter().enumerate() {
        if n > 0 {
            to.push(',');
        }
        write_range(to, first, last);
        let _ = write!(to, "*{attempt}");
    }
}

fn parse_attempts(text: &str) -> Option<BTreeMap<u32, u64>> {
    let parse_run = |text: &str| {
        let (tasks, attempt) = text.split_once('*')?;
        Some((parse_bounds(tasks)?, attempt.parse::<u64>().ok()?))
    };
    let runs = parse_list(text, ',', parse_run)?;
    Some(
        runs.into_iter()
            .flat_map(|((first, last), attempt)| (first..=last).map(move |i| (i, attempt)))
            .collect(),
    )
}

impl SegmentRecord {
    /// Returns the groups of spans on each machine, and the completed tasks that are not
    /// already stored within one of these groups.
    fn group_for_storage(&self) -> (BTreeMap<&String, Vec<SpanGroup<'_>>>, BTreeMap<&String, Ranges>) {
        let mut separate_done: BTreeMap<&String, Ranges> =
            self.done.iter().map(|(id, r)| (id, r.clone())).collect();
        let all_done = |job: u32, first: u32, last: u32| {
            let done = self.jobs.get(job as usize).and_then(|id| self.done.get(id));
            done.is_some_and(|ranges| ranges.contains_all(first, last))
        };
        let mut machines = BTreeMap::new();
        for (machine, spans) in &self.machines {
            let groups = group_spans(spans, all_done);
            for pair in groups.iter().flat_map(|g| g.running.windows(2)) {
                if let Some(done) =
                    self.jobs.get(pair[0].job as usize).and_then(|id| separate_done.get_mut(id))
                {
                    let between =
                        Ranges::from_bounds(vec![(pair[0].last + 1, pair[1].first.saturating_sub(1))]);
                    *done = done.difference(&between);
                }
            }
            machines.insert(machine, groups);
        }
        separate_done.retain(|_, r| !r.is_empty());
        (machines, separate_done)
    }

    /// Number of tasks, completed ones included, in each group of spans that is stored
    /// together.
    pub fn group_sizes(&self) -> Vec<u32> {
        let (machines, _) = self.group_for_storage();
        machines.values().flatten().map(|g| g.span.last - g.span.first + 1).collect()
    }
}

impl Serialize for SegmentRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut jobs = self.jobs.clone();
        let mut positions: BTreeMap<String, u32> =
            jobs.iter().enumerate().map(|(n, id)| (id.clone(), n as u32)).collect();
        // Jobs without tasks on these machines, which only have completed tasks or last
        // attempts, are listed after the others.
        let mut position = |id: &String| {
            *positions.entry(id.clone()).or_insert_with(|| {
                jobs.push(id.clone());
                jobs.len() as u32 - 1
            })
        };
        let (groups, separate_done) = self.group_for_storage();
        let mut stored = StoredSegment::default();
        let separator = |to: &str| if to.is_empty() { "" } else { " " };
        for (id, done) in separate_done {
            let _ = write!(stored.done, "{}{}:", separator(&stored.done), position(id));
            done.write_text(&mut stored.done);
        }
        for (id, attempts) in &self.last_attempts {
            let _ = write!(stored.last_attempts, "{}{}:", separator(&stored.last_attempts), position(id));
            write_attempts(&mut stored.last_attempts, attempts);
        }
        let mut previous = "";
        for (machine, groups) in groups {
            let mut text = String::new();
            groups.iter().for_each(|g| g.write(&mut text));
            if is_plain(machine) {
                let shared =
                    machine.bytes().zip(previous.bytes()).take_while(|(a, b)| a == b).count().min(25);
                let mark = char::from(b'a' + shared as u8);
                let separator = if previous.is_empty() { "" } else { ";" };
                let _ = write!(stored.machines, "{separator}{mark}{}={text}", &machine[shared..]);
                previous = machine;
            } else {
                stored.others.insert(machine.clone(), text);
            }
        }
        for id in &jobs {
            let _ = write!(
                stored.jobs,
                "{}{}",
                separator(&stored.jobs),
                id.strip_prefix(JOB_ID_PREFIX).unwrap_or(id)
            );
        }
        stored.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for SegmentRecord {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let stored = StoredSegment::deserialize(deserializer)?;
        parse_stored_segment(&stored).map_err(D::Error::custom)
    }
}

fn parse_stored_segment(stored: &StoredSegment) -> Result<SegmentRecord, &'static str> {
    let jobs: Vec<String> =
        stored.jobs.split(' ').filter(|w| !w.is_empty()).map(|w| format!("{JOB_ID_PREFIX}{w}")).collect();
    let job_id = |n: &str| n.parse::<usize>().ok().and_then(|n| jobs.get(n)).cloned();
    let parse_entry = |text: &str| {
        let (position, rest) = text.split_once(':')?;
        Some((job_id(position)?, rest.to_string()))
    };
    let mut record = SegmentRecord::default();
    for (id, text) in
        parse_list(&stored.done, ' ', parse_entry).ok_or("completed tasks of an unlisted job")?
    {
        record.done.insert(id, text.parse()?);
    }
    for (id, text) in
        parse_list(&stored.last_attempts, ' ', parse_entry).ok_or("last attempts of an unlisted job")?
    {
        record.last_attempts.insert(id, parse_attempts(&text).ok_or("malformed last attempts")?);
    }
    let mut machines: Vec<(String, &str)> = Vec::new();
    for entry in stored.machines.split(';').filter(|e| !e.is_empty()) {
        let (name, text) = entry.split_once('=').ok_or("machine entry without '='")?;
        let mark = name
            .bytes()
            .next()
            .filter(u8::is_ascii_lowercase)
            .ok_or("machine entry without the length of the shared prefix")?;
        let previous = machines.last().map_or("", |(m, _)| m);
        let shared = previous
            .get(..usize::from(mark - b'a'))
            .ok_or("shared prefix is longer than the previous machine's name")?;
        machines.push((format!("{shared}{}", &name[1..]), text));
    }
    machines.extend(stored.others.iter().map(|(m, text)| (m.clone(), text.as_str())));
    for (machine, text) in machines {
        let mut spans = Vec::new();
        for (running, done) in
            parse_list(text, ' ', parse_span_group).ok_or("malformed tasks of a machine")?
        {
            let job =
                running.first().map(|s| s.job as usize).ok_or("group of spans without a running task")?;
            let id = jobs.get(job).ok_or("task of an unlisted job")?;
            if !done.is_empty() {
                let job_done = record.done.entry(id.clone()).or_default();
                *job_done = job_done.union(&Ranges::from_ascending(done));
            }
            spans.extend(running);
        }
        record.machines.insert(machine, spans);
    }
    record.jobs = jobs;
    Ok(record)
}

impl Ranges {
    /// Appends the set in the form `0-3,7`.
    fn write_text(&self, to: &mut String) {
        for (n, (first, last)) in self.bounds().iter().enumerate() {
            if n > 0 {
                to.push(',');
            }
            write_range(to, *first, *last);
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
        parse_list(text, ',', parse_bounds).map(Ranges::from_bounds).ok_or("malformed ranges")
    }
}

impl<'de> Deserialize<'de> for Ranges {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

#[cfg(test)]
mod tests;
