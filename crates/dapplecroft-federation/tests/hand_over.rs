//! The hand-over of one job among three cells, explored exhaustively.
//!
//! Every order of events is tried, up to a bounded number of offers: messages are lost,
//! repeated, late and out of order (whatever was ever sent may arrive at any later time,
//! any number of times), transactions are carried out late, and leaders end and are
//! replaced at every step (a leader keeps nothing but its records, so a new one is the
//! same as an old one that goes on). The rules are checked in every state, and that from
//! every state the job can still come to its end.
//!
//! Known faults are put in one at a time: the exploration has to find each.

#![allow(clippy::unwrap_used)]

use dapplecroft_federation::home::watermark;
use dapplecroft_federation::visitor::{Known, is_prunable, on_request};
use dapplecroft_federation::{
    AwayRecord, CellId, Epoch, HomeStep, Origin, Outcome, RefusalRecord, TransferRequest, TransferState,
    Visit, VisitorStep, WatermarkRecord,
};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Cells that the job may be offered to.
const CELLS: usize = 2;
/// Offers that are made at most, in all. With three there are 882,786 states, none of which
/// breaks a rule; that takes too long for every run.
const OFFERS: u64 = 2;
/// More states than this are too many to explore.
const MAX_STATES: usize = 3_000_000;

/// A fault put into the hand-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The home cell takes the job back after a timeout.
    ReopenAfterSilence,
    /// The visited cell refuses without a record of it.
    RefusalNotCommitted,
    /// Refusals are dropped before the home cell has finished.
    RefusalPrunedEarly,
    /// A cancellation is confirmed before the visited cell has committed it.
    CancelledWithoutProof,
    /// The watermark passes an offer whose transaction may still be carried out. (The
    /// first draft of the hand-over had this fault; this exploration found it.)
    WatermarkPassesUnsettledOffer,
    /// Final records are dropped as soon as the home cell has asked.
    ResultPrunedEarly,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum HomeRecord {
    Open,
    Away { cell: usize, epoch: u64, cancelling: bool },
    Over { done: bool },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum HomeChange {
    Start,
    Set(HomeRecord),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum JobState {
    Open,
    Withdrawn,
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum VisitorChange {
    Accept(u64),
    Refuse(u64),
    Return(u64),
    Withdraw,
}

/// A visited cell: its records, what its machines do, and transactions on their way.
/// These are bound to its records as they are, so any commit voids the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Visitor {
    job: Option<(u64, JobState)>,
    refused: Option<u64>,
    watermark: u64,
    runs: bool,
    ever_ran: bool,
    on_way: BTreeSet<VisitorChange>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct World {
    home: HomeRecord,
    home_runs: bool,
    home_ran: bool,
    home_on_way: BTreeSet<HomeChange>,
    next_epoch: u64,
    visitors: [Visitor; CELLS],
    requests: BTreeSet<(usize, u64, TransferRequest)>,
    answers: BTreeSet<(usize, u64, TransferState)>,
    watermarks: BTreeSet<(usize, u64)>,
    /// How often the job was run to its end, anywhere.
    completions: u8,
}

fn home_cell() -> CellId {
    CellId::new("a", 1)
}

fn visited(cell: usize) -> CellId {
    CellId::new(["b", "c"][cell], 1)
}

impl Visitor {
    fn known(&self) -> Known {
        let job = self.job.map_or(Visit::Absent, |(epoch, state)| Visit::Present {
            origin: Origin { cell: home_cell(), epoch: Epoch(epoch) },
            state: match state {
                JobState::Open => TransferState::Accepted { done: 0, running: 0 },
                JobState::Withdrawn => TransferState::Withdrawn { done: 0 },
                JobState::Done => TransferState::Done { done: 1 },
            },
        });
        Known {
            job,
            refused: self.refused.map(|epoch| RefusalRecord { epoch: Epoch(epoch) }),
            watermark: self.watermark_record(),
        }
    }

    fn watermark_record(&self) -> WatermarkRecord {
        WatermarkRecord { incarnation: 1, epoch: Epoch(self.watermark) }
    }

    fn commit(&mut self, change: VisitorChange) {
        match change {
            VisitorChange::Accept(epoch) => self.job = Some((epoch, JobState::Open)),
            VisitorChange::Refuse(epoch) => self.refused = Some(epoch),
            VisitorChange::Return(epoch) => {
                self.job = None;
                self.refused = Some(epoch);
            }
            VisitorChange::Withdraw => {
                self.job = self.job.map(|(epoch, _)| (epoch, JobState::Withdrawn));
                self.runs = false;
            }
        }
        self.on_way.clear();
    }

    /// What it may do by itself.
    fn own_steps(&self, fault: Fault) -> Vec<Visitor> {
        let mut next = Vec::new();
        for change in &self.on_way {
            let mut after = self.clone();
            after.commit(*change);
            next.push(after);
        }
        if let Some((epoch, JobState::Open)) = self.job {
            if self.runs {
                let mut after = self.clone();
                after.job = Some((epoch, JobState::Done));
                after.runs = false;
                after.on_way.clear();
                next.push(after);
            } else {
                let mut after = self.clone();
                (after.runs, after.ever_ran) = (true, true);
                // The first start rests on an allocation, which is committed on the job's
                // record, as a return is.
                after.on_way.clear();
                next.push(after);
            }
            if !self.ever_ran {
                let mut after = self.clone();
                after.on_way.insert(VisitorChange::Return(epoch));
                next.push(after);
            }
        }
        let early = fault == Fault::RefusalPrunedEarly;
        if let Some(epoch) = self.refused
            && (early || is_prunable(Epoch(epoch), 1, &self.watermark_record()))
        {
            next.push(Visitor { refused: None, on_way: BTreeSet::new(), ..self.clone() });
        }
        if let Some((epoch, JobState::Done | JobState::Withdrawn)) = self.job
            && (fault == Fault::ResultPrunedEarly || is_prunable(Epoch(epoch), 1, &self.watermark_record()))
        {
            next.push(Visitor { job: None, ever_ran: false, on_way: BTreeSet::new(), ..self.clone() });
        }
        next
    }
}

impl World {
    fn start() -> World {
        World {
            home: HomeRecord::Open,
            home_runs: false,
            home_ran: false,
            home_on_way: BTreeSet::new(),
            next_epoch: 1,
            visitors: Default::default(),
            requests: BTreeSet::new(),
            answers: BTreeSet::new(),
            watermarks: BTreeSet::new(),
            completions: 0,
        }
    }

    fn with(&self, change: impl FnOnce(&mut World)) -> World {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn set_home(&mut self, record: HomeRecord) {
        if matches!(record, HomeRecord::Over { .. }) {
            self.home_runs = false;
        }
        self.home = record;
        self.home_on_way.clear();
    }

    fn away(&self) -> Option<(usize, AwayRecord)> {
        match self.home {
            HomeRecord::Away { cell, epoch, cancelling } => {
                let record = AwayRecord { cell: visited(cell), epoch: Epoch(epoch), cancelling };
                Some((cell, record))
            }
            _ => None,
        }
    }

    fn home_steps(&self, fault: Fault, next: &mut Vec<World>) {
        for change in &self.home_on_way {
            next.push(self.with(|w| match change {
                HomeChange::Start => {
                    w.home_on_way.clear();
                    (w.home_runs, w.home_ran) = (true, true);
                }
                HomeChange::Set(record) => w.set_home(record.clone()),
            }));
        }
        if self.home == HomeRecord::Open {
            if self.home_runs {
                next.push(self.with(|w| {
                    w.completions += 1;
                    w.set_home(HomeRecord::Over { done: true });
                }));
            } else {
                next.push(self.with(|w| {
                    w.home_on_way.insert(HomeChange::Start);
                }));
            }
            if !self.home_ran && self.next_epoch <= OFFERS {
                for cell in 0..CELLS {
                    next.push(self.with(|w| {
                        let offered = AwayRecord::offered(visited(cell), Epoch(w.next_epoch));
                        let record =
                            HomeRecord::Away { cell, epoch: offered.epoch.0, cancelling: offered.cancelling };
                        w.home_on_way.insert(HomeChange::Set(record));
                        w.next_epoch += 1;
                    }));
                }
            }
            next.push(self.with(|w| w.set_home(HomeRecord::Over { done: false })));
        }
        if let HomeRecord::Away { cell, epoch, cancelling: false } = self.home {
            next.push(self.with(|w| w.set_home(HomeRecord::Away { cell, epoch, cancelling: true })));
        }
        if fault == Fault::ReopenAfterSilence && matches!(self.home, HomeRecord::Away { .. }) {
            next.push(self.with(|w| {
                w.home_on_way.insert(HomeChange::Set(HomeRecord::Open));
            }));
        }
        if fault == Fault::CancelledWithoutProof
            && matches!(self.home, HomeRecord::Away { cancelling: true, .. })
        {
            next.push(self.with(|w| w.set_home(HomeRecord::Over { done: false })));
        }
    }

    fn messages(&self, fault: Fault, next: &mut Vec<World>) {
        if let Some((cell, record)) = self.away() {
            // A poll is left out: it changes nothing, and an offer gets any answer that
            // it gets.
            next.push(self.with(|w| {
                w.requests.insert((cell, record.epoch.0, record.request(true)));
            }));
            for (from, epoch, state) in self.answers.iter().copied() {
                let change = match record.on_answer(&visited(from), Epoch(epoch), state) {
                    HomeStep::Wait => continue,
                    HomeStep::Reopen => HomeRecord::Open,
                    HomeStep::End { outcome, .. } => HomeRecord::Over { done: outcome == Outcome::Done },
                };
                next.push(self.with(|w| {
                    w.home_on_way.insert(HomeChange::Set(change));
                }));
            }
        }
        for cell in 0..CELLS {
            let away = self.away().filter(|(at, _)| *at == cell).map(|(_, record)| record.epoch);
            let unsettled = self.home_on_way.iter().filter_map(|change| match change {
                HomeChange::Set(HomeRecord::Away { epoch, .. }) => Some(Epoch(*epoch)),
                _ => None,
            });
            let unsettled = unsettled.filter(|_| fault != Fault::WatermarkPassesUnsettledOffer);
            let outstanding = away.into_iter().chain(unsettled);
            let mark = watermark(outstanding, Epoch(self.next_epoch)).0;
            next.push(self.with(|w| {
                w.watermarks.insert((cell, mark));
            }));
        }
        for (cell, epoch) in self.watermarks.iter().copied() {
            let raised = self.visitors[cell].watermark_record().raised(1, Epoch(epoch));
            if let Some(record) = raised {
                next.push(self.with(|w| {
                    w.visitors[cell].watermark = record.epoch.0;
                    w.visitors[cell].on_way.clear();
                }));
            }
        }
        for (cell, epoch, request) in self.requests.iter().copied() {
            for room in [true, false] {
                next.push(self.with(|w| w.deliver(cell, epoch, request, room, fault)));
            }
        }
    }

    fn deliver(&mut self, cell: usize, epoch: u64, request: TransferRequest, room: bool, fault: Fault) {
        let known = self.visitors[cell].known();
        let change = match on_request(&known, &home_cell(), Epoch(epoch), request, room) {
            // The home cell only waits on these.
            VisitorStep::Answer(TransferState::Accepted { .. } | TransferState::Unknown) => return,
            VisitorStep::Answer(state) => {
                self.answers.insert((cell, epoch, state));
                return;
            }
            VisitorStep::OutdatedSender => return,
            VisitorStep::Refuse if fault == Fault::RefusalNotCommitted => {
                self.answers.insert((cell, epoch, TransferState::Refused));
                return;
            }
            VisitorStep::Accept => VisitorChange::Accept(epoch),
            VisitorStep::Refuse => VisitorChange::Refuse(epoch),
            VisitorStep::Withdraw => VisitorChange::Withdraw,
        };
        self.visitors[cell].on_way.insert(change);
    }

    /// The same world with the cells in the other order: nothing tells them apart, so
    /// only one of both has to be explored.
    fn canonical(self) -> World {
        let other = |cell: usize| 1 - cell;
        let mut swapped = self.clone();
        swapped.visitors.swap(0, 1);
        let swap = |record: &HomeRecord| match *record {
            HomeRecord::Away { cell, epoch, cancelling } => {
                HomeRecord::Away { cell: other(cell), epoch, cancelling }
            }
            ref same => same.clone(),
        };
        swapped.home = swap(&self.home);
        swapped.home_on_way = self
            .home_on_way
            .iter()
            .map(|change| match change {
                HomeChange::Start => HomeChange::Start,
                HomeChange::Set(record) => HomeChange::Set(swap(record)),
            })
            .collect();
        swapped.requests = self.requests.iter().map(|(c, e, r)| (other(*c), *e, *r)).collect();
        swapped.answers = self.answers.iter().map(|(c, e, s)| (other(*c), *e, *s)).collect();
        swapped.watermarks = self.watermarks.iter().map(|(c, e)| (other(*c), *e)).collect();
        self.min(swapped)
    }

    fn next(&self, fault: Fault) -> Vec<World> {
        let mut next = Vec::new();
        self.home_steps(fault, &mut next);
        self.messages(fault, &mut next);
        for cell in 0..CELLS {
            for after in self.visitors[cell].own_steps(fault) {
                let completed =
                    self.visitors[cell].runs && !after.runs && matches!(after.job, Some((_, JobState::Done)));
                next.push(self.with(|w| {
                    w.completions += u8::from(completed);
                    w.visitors[cell] = after;
                }));
            }
        }
        next.into_iter().map(World::canonical).collect()
    }

    /// Which rule is broken here, if any.
    fn broken(&self) -> Option<&'static str> {
        let running = usize::from(self.home_runs) + self.visitors.iter().filter(|v| v.runs).count();
        if running > 1 {
            return Some("it runs in two cells at once");
        }
        if self.completions > 1 {
            return Some("it was run to its end twice");
        }
        match self.home {
            HomeRecord::Over { .. } if running > 0 => Some("it runs after its end was told"),
            HomeRecord::Over { done: true } if self.completions == 0 => {
                Some("it is told to be done and is not")
            }
            HomeRecord::Open if self.completions > 0 => Some("its end is lost"),
            _ => None,
        }
    }
}

struct Explored {
    states: usize,
    broken: BTreeSet<&'static str>,
    /// States from which the job can't come to its end any more.
    stuck: usize,
    /// The shortest way to the first broken rule.
    trace: Vec<World>,
}

/// The shortest way to a state, from which the others were first reached.
fn trace(numbers: &HashMap<World, usize>, before: &[Vec<u32>], to: usize) -> Vec<World> {
    let mut way = vec![to];
    while let Some(first) = way.last().and_then(|n| before[*n].first()) {
        way.push(*first as usize);
    }
    way.reverse();
    let worlds: HashMap<usize, &World> = numbers.iter().map(|(world, n)| (*n, world)).collect();
    way.iter().map(|n| worlds[n].clone()).collect()
}

fn explore(fault: Fault) -> Explored {
    let mut numbers: HashMap<World, usize> = HashMap::new();
    let mut before: Vec<Vec<u32>> = Vec::new();
    let mut over: Vec<usize> = Vec::new();
    let mut queue = VecDeque::new();
    let mut broken = BTreeSet::new();
    let mut first = None;
    numbers.insert(World::start(), 0);
    before.push(Vec::new());
    queue.push_back(World::start());
    while let Some(world) = queue.pop_front() {
        let number = numbers[&world];
        if let Some(rule) = world.broken() {
            if broken.is_empty() {
                first = Some(number);
            }
            broken.insert(rule);
            // What follows from a broken rule says nothing.
            continue;
        }
        if matches!(world.home, HomeRecord::Over { .. }) {
            over.push(number);
        }
        for next in world.next(fault) {
            let fresh = numbers.len();
            let known = *numbers.entry(next.clone()).or_insert(fresh);
            if known == fresh {
                before.push(Vec::new());
                queue.push_back(next);
            }
            before[known].push(number as u32);
        }
        assert!(numbers.len() <= MAX_STATES, "too many states");
        if fault != Fault::None && !broken.is_empty() {
            break;
        }
    }
    let mut ends = vec![false; before.len()];
    while let Some(number) = over.pop() {
        if !std::mem::replace(&mut ends[number], true) {
            over.extend(before[number].iter().map(|n| *n as usize));
        }
    }
    let stuck = ends.iter().filter(|end| !**end).count();
    let trace = first.map(|number| trace(&numbers, &before, number)).unwrap_or_default();
    Explored { states: numbers.len(), broken, stuck, trace }
}

#[test]
fn no_order_of_events_breaks_a_rule_or_loses_the_job() {
    let explored = explore(Fault::None);
    println!("{} states", explored.states);
    assert_eq!(explored.broken, BTreeSet::new(), "{:#?}", explored.trace);
    assert_eq!(explored.stuck, 0, "states from which there is no way to the end");
}

#[test]
fn known_faults_are_found() {
    for fault in [
        Fault::ReopenAfterSilence,
        Fault::RefusalNotCommitted,
        Fault::RefusalPrunedEarly,
        Fault::CancelledWithoutProof,
        Fault::WatermarkPassesUnsettledOffer,
        Fault::ResultPrunedEarly,
    ] {
        let explored = explore(fault);
        println!("{fault:?}: {:?} after {} states", explored.broken, explored.states);
        assert!(!explored.broken.is_empty(), "{fault:?} is not found");
    }
}
