//! Watches over the rules: what runs where, and whether it may.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Default)]
struct Inner {
    on: BTreeMap<String, String>,
    jobs: HashMap<String, (String, f64)>,
    limits: HashMap<String, f64>,
    cancelled: HashMap<String, Instant>,
    attempts: HashMap<(String, u64), String>,
    starts: HashMap<String, usize>,
    broken: Vec<String>,
    accepted: BTreeMap<String, Instant>,
    answered: HashMap<String, Instant>,
    began: HashMap<String, Instant>,
    calm: Option<Instant>,
    services: BTreeMap<String, u32>,
    missing: HashMap<String, Instant>,
    late_starts: Vec<String>,
    told: HashMap<String, Told>,
    machines: BTreeMap<String, f64>,
    zones: HashMap<String, String>,
    bounds: HashMap<String, Bound>,
    neglected: HashMap<String, Instant>,
    history: Vec<Stay>,
}

/// A task on a machine, from when it starts until it has left.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stay {
    /// The task.
    pub task: String,
    /// The machine.
    pub machine: String,
    /// When it started.
    pub from: Instant,
    /// When it left; `None`: it is there.
    pub until: Option<Instant>,
}

/// Where the tasks of a job may be.
#[derive(Debug, Clone, Default)]
pub struct Bound {
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All in one zone.
    pub same_place: bool,
    /// Of so many tasks at most half, rounded up, in one zone.
    pub apart: Option<usize>,
}

/// What users have been told of a job at most; later answers may not be older.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Told {
    /// Nothing yet.
    #[default]
    Nothing,
    /// That it is accepted.
    Accepted,
    /// That it is done, or withdrawn.
    Final(String),
}

/// A job about which no question is answered for so long after the end of all
/// troubles is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(75);
/// A job that has not begun waits no longer than this while there is room.
const NEGLECTED_AFTER: Duration = Duration::from_secs(90);
/// Even the largest jobs must begin within this time.
const BEGIN_WITHIN: Duration = Duration::from_secs(240);

/// Watches over the rules.
#[derive(Default)]
pub struct Referee {
    inner: Mutex<Inner>,
    cancel_after: Mutex<Duration>,
}

impl Inner {
    /// What is wrong with where a task starts, given the job's other tasks, those on
    /// machines that nobody reaches too.
    fn misplaced(&self, task: &str, machine: &str) -> Option<String> {
        let bound = self.bounds.get(job_of(task))?;
        let zone_of = |machine: &str| self.zones.get(machine).cloned().unwrap_or_default();
        let zone = zone_of(machine);
        let others: Vec<String> = self
            .on
            .iter()
            .filter(|(t, _)| *t != task && job_of(t) == job_of(task))
            .map(|(_, m)| zone_of(m))
            .collect();
        let here = others.iter().filter(|z| **z == zone).count();
        let wrong = bound.zone.as_ref().is_some_and(|z| *z != zone)
            || (bound.same_place && here < others.len())
            || bound.apart.is_some_and(|tasks| here + 1 > tasks.div_ceil(2));
        wrong.then(|| format!("wrong_place: {task} starts in {zone}, others are in {others:?}"))
    }
}

fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |(job, _)| job)
}

impl Referee {
    /// A referee that lets cancelled tasks stay this long.
    pub fn new(cancel_after: Duration) -> Arc<Referee> {
        let referee = Referee::default();
        *referee.cancel_after.lock().unwrap() = cancel_after;
        Arc::new(referee)
    }

    /// Makes a team's limit known.
    pub fn limit(&self, team: &str, cpus: f64) {
        self.inner.lock().unwrap().limits.insert(team.into(), cpus);
    }

    /// Makes a job known.
    pub fn job(&self, id: &str, team: &str, cpus: f64) {
        self.inner.lock().unwrap().jobs.insert(id.into(), (team.into(), cpus));
    }

    /// Makes a service known that has so many replicas.
    pub fn service(&self, id: &str, team: &str, cpus: f64, replicas: u32) {
        self.job(id, team, cpus);
        self.inner.lock().unwrap().services.insert(id.into(), replicas);
    }

    /// A user was told a job's stage, and how many tasks are done.
    pub fn told(&self, id: &str, stage: &str, done: u64) {
        let mut inner = self.inner.lock().unwrap();
        if inner.services.contains_key(id) && (stage == "done" || done > 0) {
            inner.broken.push(format!("not_done: the service {id} is told to be {stage}, {done} done"));
        }
    }

    /// Replicas that do not run now, of services that are not cancelled.
    pub fn missing(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let open = inner.services.iter().filter(|(id, _)| !inner.cancelled.contains_key(*id));
        let all = open.flat_map(|(id, n)| (0..*n).map(move |i| format!("{id}/{i}")));
        all.filter(|task| !inner.on.contains_key(task)).collect()
    }

    /// Replicas that have been missing for longer than this, all troubles being
    /// over; to be asked again and again.
    pub fn lost(&self, longer_than: Duration) -> Vec<String> {
        let missing = self.missing();
        let mut inner = self.inner.lock().unwrap();
        let calm = inner.calm.unwrap_or_else(Instant::now);
        inner.missing.retain(|task, _| missing.contains(task));
        for task in &missing {
            inner.missing.entry(task.clone()).or_insert_with(Instant::now);
        }
        let lost = |at: &Instant| (*at).max(calm).elapsed() > longer_than;
        inner.missing.iter().filter(|(_, at)| lost(at)).map(|(task, _)| task.clone()).collect()
    }

    /// What users have been told of a job so far; to be asked before a question
    /// is sent, and handed to [`Referee::heard`] with its answer.
    pub fn known(&self, id: &str) -> Told {
        self.inner.lock().unwrap().told.get(id).cloned().unwrap_or_default()
    }

    /// A user heard this of a job, in answer to a question that was sent when so
    /// much was known: nobody may say less, and nothing else once it is final.
    pub fn heard(&self, id: &str, before: &Told, status: u16, stage: &str) {
        let now = match (status, stage) {
            (200 | 201, "done" | "withdrawn") => Told::Final(stage.into()),
            (200 | 201, _) => Told::Accepted,
            (404, _) => Told::Nothing,
            _ => return,
        };
        let mut inner = self.inner.lock().unwrap();
        let older = match before {
            Told::Nothing => false,
            Told::Accepted => now == Told::Nothing,
            Told::Final(_) => now != *before,
        };
        if older {
            inner.broken.push(format!("went_back: {id} is told to be {now:?} after {before:?}"));
        }
        let known = inner.told.entry(id.into()).or_default();
        match (&known, &now) {
            (Told::Final(old), Told::Final(new)) if old != new => {
                let what = format!("went_back: {id} is told to be {new} and {old}");
                inner.broken.push(what);
            }
            (Told::Final(_), _) | (Told::Accepted, Told::Nothing) => {}
            _ => *known = now,
        }
    }

    /// A job's tasks may be there alone.
    pub fn bind(&self, id: &str, bound: Bound) {
        self.inner.lock().unwrap().bounds.insert(id.into(), bound);
    }

    /// A machine is in a zone.
    pub fn zone(&self, machine: &str, zone: &str) {
        self.inner.lock().unwrap().zones.insert(machine.into(), zone.into());
    }

    /// A machine is up that has so many processors, or (`None`) is gone.
    pub fn machine(&self, id: &str, cpus: Option<f64>) {
        let mut inner = self.inner.lock().unwrap();
        match cpus {
            Some(cpus) => inner.machines.insert(id.into(), cpus),
            None => inner.machines.remove(id),
        };
    }

    /// Jobs that have not begun and have waited for too long, all troubles being
    /// over, while some machine had room for a task all that time and their team
    /// was under its limit; to be asked again and again.
    pub fn neglected(&self) -> Vec<String> {
        let mut inner = self.inner.lock().unwrap();
        let mut free = inner.machines.clone();
        let mut used: HashMap<String, f64> = HashMap::new();
        for (task, machine) in &inner.on {
            let Some((team, cpus)) = inner.jobs.get(job_of(task)) else { continue };
            *free.entry(machine.clone()).or_default() -= cpus;
            *used.entry(team.clone()).or_default() += cpus;
        }
        let most = free.into_values().fold(0.0, f64::max);
        let waits = |id: &&String| {
            let Some((team, cpus)) = inner.jobs.get(*id) else { return false };
            let under = inner
                .limits
                .get(team)
                .is_none_or(|limit| used.get(team).copied().unwrap_or(0.0) + cpus <= limit + 1e-9);
            !inner.began.contains_key(*id) && !inner.cancelled.contains_key(*id) && under && *cpus <= most
        };
        let waiting: Vec<String> = inner.accepted.keys().filter(waits).cloned().collect();
        let Some(calm) = inner.calm else { return Vec::new() };
        inner.neglected.retain(|id, _| waiting.contains(id));
        for id in waiting {
            inner.neglected.entry(id).or_insert_with(Instant::now);
        }
        let long = |at: &Instant| (*at).max(calm).elapsed() > NEGLECTED_AFTER;
        inner.neglected.iter().filter(|(_, at)| long(at)).map(|(id, _)| id.clone()).collect()
    }

    /// A user was told that a job is cancelled.
    pub fn cancelled(&self, id: &str) {
        self.inner.lock().unwrap().cancelled.insert(id.into(), Instant::now());
    }

    /// A user was told that a job is accepted.
    pub fn accepted(&self, id: &str) {
        self.inner.lock().unwrap().accepted.entry(id.into()).or_insert_with(Instant::now);
    }

    /// A user's question about a job was answered with what is known of it.
    pub fn answered(&self, id: &str) {
        self.inner.lock().unwrap().answered.insert(id.into(), Instant::now());
    }

    /// All troubles are over.
    pub fn calm(&self) {
        self.inner.lock().unwrap().calm = Some(Instant::now());
    }

    /// What is checked at the end of a day: jobs about which nothing was
    /// answered since the troubles ended, jobs that began too late or not at
    /// all, and teams of which less than half was begun.
    pub fn day_ends(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let mut broken = Vec::new();
        let mut teams: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (id, at) in &inner.accepted {
            if let Some(calm) = inner.calm
                && calm.elapsed() > FORGOTTEN_AFTER
                && inner.answered.get(id).is_none_or(|at| *at < calm)
            {
                broken.push(format!("forgotten: {id}"));
            }
            if inner.cancelled.contains_key(id) {
                continue;
            }
            let began = inner.began.get(id);
            if began.map_or(at.elapsed(), |b| *b - *at) > BEGIN_WITHIN {
                broken.push(format!("late: {id} did not begin in time"));
            }
            if let Some((team, _)) = inner.jobs.get(id) {
                let served = teams.entry(team).or_default();
                served.0 += usize::from(began.is_some());
                served.1 += 1;
            }
        }
        for (team, (begun, all)) in teams {
            if begun * 2 < all {
                broken.push(format!("unserved: {begun} of {all} jobs of {team}"));
            }
        }
        broken
    }

    /// Something went wrong.
    pub fn note(&self, what: String) {
        self.inner.lock().unwrap().broken.push(what);
    }

    /// A task starts on a machine.
    pub fn started(&self, task: &str, attempt: u64, machine: &str) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(other) = inner.on.get(task) {
            let note = format!("ran_twice: {task} starts on {machine} while on {other}");
            inner.broken.push(note);
        }
        if let Some(at) = inner.cancelled.get(job_of(task))
            && at.elapsed() > *self.cancel_after.lock().unwrap()
        {
            inner.broken.push(format!("ran_cancelled: {task} starts on {machine}"));
        }
        if inner.cancelled.contains_key(job_of(task)) {
            inner.late_starts.push(format!("{task} starts on {machine}"));
        }
        if let Some(note) = inner.misplaced(task, machine) {
            inner.broken.push(note);
        }
        let key = (task.to_string(), attempt);
        if let Some(other) = inner.attempts.insert(key, machine.into()) {
            inner.broken.push(format!("attempt {attempt} of {task} ran on {other} and on {machine}"));
        }
        inner.on.insert(task.into(), machine.into());
        let (task_name, machine_name) = (task.to_string(), machine.to_string());
        inner.history.push(Stay {
            task: task_name,
            machine: machine_name,
            from: Instant::now(),
            until: None,
        });
        inner.began.entry(job_of(task).into()).or_insert_with(Instant::now);
        *inner.starts.entry(task.into()).or_default() += 1;
        let team = inner.jobs.get(job_of(task)).map(|(team, _)| team.clone());
        if let Some(team) = team {
            let jobs = &inner.jobs;
            let used: f64 = inner
                .on
                .keys()
                .filter_map(|t| jobs.get(job_of(t)))
                .filter(|j| j.0 == team)
                .map(|j| j.1)
                .sum();
            if inner.limits.get(&team).is_some_and(|limit| used > limit + 1e-9) {
                inner.broken.push(format!("quota: {team} uses {used}"));
            }
        }
    }

    /// Tasks that started after their user was told that the job is cancelled. No
    /// rule is broken by one whose command was on its way, if it is gone in time.
    pub fn late_starts(&self) -> Vec<String> {
        self.inner.lock().unwrap().late_starts.clone()
    }

    /// A task has left its machine.
    pub fn ended(&self, task: &str, machine: &str) {
        let mut inner = self.inner.lock().unwrap();
        if inner.on.get(task).is_some_and(|m| m == machine) {
            inner.on.remove(task);
        }
        let stays = inner.history.iter_mut().rev();
        let mut open = stays.filter(|s| s.until.is_none() && s.task == task && s.machine == machine);
        if let Some(stay) = open.next() {
            stay.until = Some(Instant::now());
        }
    }

    /// Every stay of a task on a machine, in the order of their starts.
    pub fn history(&self) -> Vec<Stay> {
        self.inner.lock().unwrap().history.clone()
    }

    /// Where tasks are now.
    pub fn on(&self) -> BTreeMap<String, String> {
        self.inner.lock().unwrap().on.clone()
    }

    /// How often a task was started.
    pub fn starts(&self, task: &str) -> usize {
        self.inner.lock().unwrap().starts.get(task).copied().unwrap_or(0)
    }

    /// Rules broken so far, cancelled tasks that are still there included.
    pub fn broken(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let mut broken = inner.broken.clone();
        let limit = *self.cancel_after.lock().unwrap();
        for (task, machine) in &inner.on {
            if inner.cancelled.get(job_of(task)).is_some_and(|at| at.elapsed() > limit) {
                broken.push(format!("ran_cancelled: {task} is on {machine}"));
            }
        }
        broken
    }
}

#[cfg(test)]
mod tests;
