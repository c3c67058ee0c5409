//! Exhaustive state exploration of the hand-over of one job among three cells: a home cell
//! and two host cells.
//!
//! The exploration tries every order of events, up to a bounded number of offers:
//!
//! - Messages are lost, repeated, delayed and reordered: each message ever sent may arrive
//!   at any later time and any number of times.
//! - Transactions commit late or never.
//! - Leaders fail and are replaced at every step. A leader keeps no state but its committed
//!   records, so a new leader behaves like the old one would.
//!
//! In every state the rules of [`Model::violated_rule`] must hold, and the job must still
//! be able to end.
//!
//! To show that the exploration is able to find faults, a second test injects known faults
//! one at a time; the exploration has to detect each of them.

#![allow(clippy::unwrap_used)]

use dapplecroft_federation::home::compute_watermark;
use dapplecroft_federation::host::{HostRecords, is_prunable, on_request};
use dapplecroft_federation::{
    AwayRecord, CellId, Epoch, HomeStep, HostStep, HostedJob, Origin, Outcome, RefusalRecord,
    TransferRequest, TransferState, WatermarkRecord,
};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Number of cells that the job may be offered to.
const HOST_CELLS: usize = 2;
/// Largest number of offers in one sequence of events. With three offers there are 882,786
/// states, none of which violates a rule, but exploring them takes too long for every test
/// run.
const MAX_OFFERS: u64 = 2;
/// The exploration fails if it reaches more states than this.
const MAX_STATES: usize = 3_000_000;

/// A fault that is injected into the hand-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// The home cell makes the job open again after a timeout, without a refusal.
    ReopenAfterTimeout,
    /// The host cell answers a refusal without committing a refusal record.
    RefusalNotCommitted,
    /// The host cell deletes refusal records before the watermark has passed them.
    RefusalPrunedEarly,
    /// The home cell ends a cancelled job before the host cell has committed the
    /// cancellation.
    CancellationConfirmedWithoutCommit,
    /// The watermark passes an offer whose transaction may still commit. This exploration
    /// found the fault in the first draft of the hand-over.
    WatermarkPassesInFlightOffer,
    /// The host cell deletes final job records before the watermark has passed them.
    FinalRecordPrunedEarly,
}

/// The home cell's record of the job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum HomeRecord {
    Open,
    Away { cell: usize, epoch: u64, cancelling: bool },
    Ended { done: bool },
}

/// A transaction of the home cell that may still commit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum HomeTransaction {
    StartJob,
    SetRecord(HomeRecord),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum HostJobState {
    Open,
    Cancelled,
    Done,
}

/// A transaction of a host cell that may still commit; with the epoch of the transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum HostTransaction {
    Accept(u64),
    Refuse(u64),
    Return(u64),
    Cancel,
}

/// A host cell: its records, whether the job runs on its machines, and its transactions in
/// flight. Those are conditional on the records being unchanged, so any commit makes the
/// others fail.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct HostCell {
    job: Option<(u64, HostJobState)>,
    refused_epoch: Option<u64>,
    watermark: u64,
    running: bool,
    has_started: bool,
    in_flight: BTreeSet<HostTransaction>,
}

/// One state of the exploration: the records and running jobs of all cells, their
/// transactions in flight, and all messages that were ever sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Model {
    home: HomeRecord,
    home_running: bool,
    home_has_started: bool,
    home_in_flight: BTreeSet<HomeTransaction>,
    next_epoch: u64,
    hosts: [HostCell; HOST_CELLS],
    /// All requests that were ever sent, with host cell and epoch.
    requests: BTreeSet<(usize, u64, TransferRequest)>,
    /// All answers that were ever sent, with host cell and epoch.
    answers: BTreeSet<(usize, u64, TransferState)>,
    /// All watermarks that were ever sent, with host cell.
    watermarks: BTreeSet<(usize, u64)>,
    /// How often the job completed, in any cell.
    completions: u8,
}

fn home_cell_id() -> CellId {
    CellId::new("a", 1)
}

fn host_cell_id(cell: usize) -> CellId {
    CellId::new(["b", "c"][cell], 1)
}

impl HostCell {
    fn records(&self) -> HostRecords {
        let job = self.job.map_or(HostedJob::Absent, |(epoch, state)| HostedJob::Present {
            origin: Origin { cell: home_cell_id(), epoch: Epoch(epoch) },
            state: match state {
                HostJobState::Open => TransferState::Accepted { done: 0, running: 0 },
                HostJobState::Cancelled => TransferState::Withdrawn { done: 0 },
                HostJobState::Done => TransferState::Done { done: 1 },
            },
        });
        HostRecords {
            job,
            refusal: self.refused_epoch.map(|epoch| RefusalRecord { epoch: Epoch(epoch) }),
            watermark: self.watermark_record(),
        }
    }

    fn watermark_record(&self) -> WatermarkRecord {
        WatermarkRecord { incarnation: 1, epoch: Epoch(self.watermark) }
    }

    fn commit(&mut self, transaction: HostTransaction) {
        match transaction {
            HostTransaction::Accept(epoch) => self.job = Some((epoch, HostJobState::Open)),
            HostTransaction::Refuse(epoch) => self.refused_epoch = Some(epoch),
            HostTransaction::Return(epoch) => {
                self.job = None;
                self.refused_epoch = Some(epoch);
            }
            HostTransaction::Cancel => {
                self.job = self.job.map(|(epoch, _)| (epoch, HostJobState::Cancelled));
                self.running = false;
            }
        }
        self.in_flight.clear();
    }

    /// The states that the host cell can reach without a message: commits, starts and ends
    /// of the job, returns, and deletions of records.
    fn host_transitions(&self, fault: InjectedFault) -> Vec<HostCell> {
        let mut next = Vec::new();
        for transaction in &self.in_flight {
            let mut after = self.clone();
            after.commit(*transaction);
            next.push(after);
        }
        if let Some((epoch, HostJobState::Open)) = self.job {
            if self.running {
                let mut after = self.clone();
                after.job = Some((epoch, HostJobState::Done));
                after.running = false;
                after.in_flight.clear();
                next.push(after);
            } else {
                let mut after = self.clone();
                (after.running, after.has_started) = (true, true);
                // Before the first start the cell commits an allocation of machines on the
                // job record, which makes a concurrent return fail.
                after.in_flight.clear();
                next.push(after);
            }
            if !self.has_started {
                let mut after = self.clone();
                after.in_flight.insert(HostTransaction::Return(epoch));
                next.push(after);
            }
        }
        let prune_early = fault == InjectedFault::RefusalPrunedEarly;
        if let Some(epoch) = self.refused_epoch
            && (prune_early || is_prunable(Epoch(epoch), 1, &self.watermark_record()))
        {
            next.push(HostCell { refused_epoch: None, in_flight: BTreeSet::new(), ..self.clone() });
        }
        if let Some((epoch, HostJobState::Done | HostJobState::Cancelled)) = self.job
            && (fault == InjectedFault::FinalRecordPrunedEarly
                || is_prunable(Epoch(epoch), 1, &self.watermark_record()))
        {
            next.push(HostCell { job: None, has_started: false, in_flight: BTreeSet::new(), ..self.clone() });
        }
        next
    }
}

impl Model {
    fn initial() -> Model {
        Model {
            home: HomeRecord::Open,
            home_running: false,
            home_has_started: false,
            home_in_flight: BTreeSet::new(),
            next_epoch: 1,
            hosts: Default::default(),
            requests: BTreeSet::new(),
            answers: BTreeSet::new(),
            watermarks: BTreeSet::new(),
            completions: 0,
        }
    }

    fn with(&self, change: impl FnOnce(&mut Model)) -> Model {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn commit_home_record(&mut self, record: HomeRecord) {
        if matches!(record, HomeRecord::Ended { .. }) {
            self.home_running = false;
        }
        self.home = record;
        self.home_in_flight.clear();
    }

    fn away_record(&self) -> Option<(usize, AwayRecord)> {
        match self.home {
            HomeRecord::Away { cell, epoch, cancelling } => {
                let record = AwayRecord { cell: host_cell_id(cell), epoch: Epoch(epoch), cancelling };
                Some((cell, record))
            }
            _ => None,
        }
    }

    fn home_transitions(&self, fault: InjectedFault, next: &mut Vec<Model>) {
        for transaction in &self.home_in_flight {
            next.push(self.with(|model| match transaction {
                HomeTransaction::StartJob => {
                    model.home_in_flight.clear();
                    (model.home_running, model.home_has_started) = (true, true);
                }
                HomeTransaction::SetRecord(record) => model.commit_home_record(record.clone()),
            }));
        }
        if self.home == HomeRecord::Open {
            if self.home_running {
                next.push(self.with(|model| {
                    model.completions += 1;
                    model.commit_home_record(HomeRecord::Ended { done: true });
                }));
            } else {
                next.push(self.with(|model| {
                    model.home_in_flight.insert(HomeTransaction::StartJob);
                }));
            }
            if !self.home_has_started && self.next_epoch <= MAX_OFFERS {
                for cell in 0..HOST_CELLS {
                    next.push(self.with(|model| {
                        let offered = AwayRecord::for_offer(host_cell_id(cell), Epoch(model.next_epoch));
                        let record =
                            HomeRecord::Away { cell, epoch: offered.epoch.0, cancelling: offered.cancelling };
                        model.home_in_flight.insert(HomeTransaction::SetRecord(record));
                        model.next_epoch += 1;
                    }));
                }
            }
            next.push(self.with(|model| model.commit_home_record(HomeRecord::Ended { done: false })));
        }
        if let HomeRecord::Away { cell, epoch, cancelling: false } = self.home {
            next.push(
                self.with(|model| {
                    model.commit_home_record(HomeRecord::Away { cell, epoch, cancelling: true })
                }),
            );
        }
        if fault == InjectedFault::ReopenAfterTimeout && matches!(self.home, HomeRecord::Away { .. }) {
            next.push(self.with(|model| {
                model.home_in_flight.insert(HomeTransaction::SetRecord(HomeRecord::Open));
            }));
        }
        if fault == InjectedFault::CancellationConfirmedWithoutCommit
            && matches!(self.home, HomeRecord::Away { cancelling: true, .. })
        {
            next.push(self.with(|model| model.commit_home_record(HomeRecord::Ended { done: false })));
        }
    }

    fn message_transitions(&self, fault: InjectedFault, next: &mut Vec<Model>) {
        if let Some((cell, record)) = self.away_record() {
            // Polls are left out: a poll changes no records, and an offer gets every
            // answer that a poll would get.
            next.push(self.with(|model| {
                model.requests.insert((cell, record.epoch.0, record.next_request(true)));
            }));
            for (from, epoch, state) in self.answers.iter().copied() {
                let new_record = match record.on_answer(&host_cell_id(from), Epoch(epoch), state) {
                    HomeStep::Wait => continue,
                    HomeStep::Reopen => HomeRecord::Open,
                    HomeStep::End { outcome, .. } => HomeRecord::Ended { done: outcome == Outcome::Done },
                };
                next.push(self.with(|model| {
                    model.home_in_flight.insert(HomeTransaction::SetRecord(new_record));
                }));
            }
        }
        for cell in 0..HOST_CELLS {
            let away = self.away_record().filter(|(at, _)| *at == cell).map(|(_, record)| record.epoch);
            let in_flight_offers = self.home_in_flight.iter().filter_map(|transaction| match transaction {
                HomeTransaction::SetRecord(HomeRecord::Away { epoch, .. }) => Some(Epoch(*epoch)),
                _ => None,
            });
            let in_flight_offers =
                in_flight_offers.filter(|_| fault != InjectedFault::WatermarkPassesInFlightOffer);
            let outstanding = away.into_iter().chain(in_flight_offers);
            let watermark = compute_watermark(outstanding, Epoch(self.next_epoch)).0;
            next.push(self.with(|model| {
                model.watermarks.insert((cell, watermark));
            }));
        }
        for (cell, epoch) in self.watermarks.iter().copied() {
            let advanced = self.hosts[cell].watermark_record().advanced_to(1, Epoch(epoch));
            if let Some(record) = advanced {
                next.push(self.with(|model| {
                    model.hosts[cell].watermark = record.epoch.0;
                    model.hosts[cell].in_flight.clear();
                }));
            }
        }
        for (cell, epoch, request) in self.requests.iter().copied() {
            for can_accept in [true, false] {
                next.push(self.with(|model| model.deliver_request(cell, epoch, request, can_accept, fault)));
            }
        }
    }

    fn deliver_request(
        &mut self,
        cell: usize,
        epoch: u64,
        request: TransferRequest,
        can_accept: bool,
        fault: InjectedFault,
    ) {
        let records = self.hosts[cell].records();
        let transaction = match on_request(&records, &home_cell_id(), Epoch(epoch), request, can_accept) {
            // The home cell does nothing on these answers, so they are not sent.
            HostStep::Answer(TransferState::Accepted { .. } | TransferState::Unknown) => return,
            HostStep::Answer(state) => {
                self.answers.insert((cell, epoch, state));
                return;
            }
            HostStep::OutdatedSender => return,
            HostStep::Refuse if fault == InjectedFault::RefusalNotCommitted => {
                self.answers.insert((cell, epoch, TransferState::Refused));
                return;
            }
            HostStep::Accept => HostTransaction::Accept(epoch),
            HostStep::Refuse => HostTransaction::Refuse(epoch),
            HostStep::Cancel => HostTransaction::Cancel,
        };
        self.hosts[cell].in_flight.insert(transaction);
    }

    /// The smaller of this state and the same state with the two host cells swapped. The
    /// host cells behave alike, so only one of the two states needs to be explored.
    fn canonical(self) -> Model {
        let other = |cell: usize| 1 - cell;
        let mut swapped = self.clone();
        swapped.hosts.swap(0, 1);
        let swap = |record: &HomeRecord| match *record {
            HomeRecord::Away { cell, epoch, cancelling } => {
                HomeRecord::Away { cell: other(cell), epoch, cancelling }
            }
            ref same => same.clone(),
        };
        swapped.home = swap(&self.home);
        swapped.home_in_flight = self
            .home_in_flight
            .iter()
            .map(|transaction| match transaction {
                HomeTransaction::StartJob => HomeTransaction::StartJob,
                HomeTransaction::SetRecord(record) => HomeTransaction::SetRecord(swap(record)),
            })
            .collect();
        swapped.requests =
            self.requests.iter().map(|(cell, epoch, request)| (other(*cell), *epoch, *request)).collect();
        swapped.answers =
            self.answers.iter().map(|(cell, epoch, state)| (other(*cell), *epoch, *state)).collect();
        swapped.watermarks = self.watermarks.iter().map(|(cell, epoch)| (other(*cell), *epoch)).collect();
        self.min(swapped)
    }

    fn successors(&self, fault: InjectedFault) -> Vec<Model> {
        let mut next = Vec::new();
        self.home_transitions(fault, &mut next);
        self.message_transitions(fault, &mut next);
        for cell in 0..HOST_CELLS {
            for after in self.hosts[cell].host_transitions(fault) {
                let completed = self.hosts[cell].running
                    && !after.running
                    && matches!(after.job, Some((_, HostJobState::Done)));
                next.push(self.with(|model| {
                    model.completions += u8::from(completed);
                    model.hosts[cell] = after;
                }));
            }
        }
        next.into_iter().map(Model::canonical).collect()
    }

    /// The rule that this state violates, if any.
    fn violated_rule(&self) -> Option<&'static str> {
        let running = usize::from(self.home_running) + self.hosts.iter().filter(|host| host.running).count();
        if running > 1 {
            return Some("the job runs in two cells at once");
        }
        if self.completions > 1 {
            return Some("the job completed twice");
        }
        match self.home {
            HomeRecord::Ended { .. } if running > 0 => {
                Some("the job still runs after the home cell recorded its end")
            }
            HomeRecord::Ended { done: true } if self.completions == 0 => {
                Some("the home cell recorded the job as done, but it has not completed")
            }
            HomeRecord::Open if self.completions > 0 => {
                Some("the job completed, but the home cell has it open")
            }
            _ => None,
        }
    }
}

struct Exploration {
    states: usize,
    violations: BTreeSet<&'static str>,
    /// Number of states from which the job can no longer end.
    stuck: usize,
    /// The states on a shortest path to the first violation.
    trace: Vec<Model>,
}

/// A shortest path from the initial state to state number `to`. The first predecessor of
/// each state is the one from which the breadth-first search reached it.
fn shortest_path(state_numbers: &HashMap<Model, usize>, predecessors: &[Vec<u32>], to: usize) -> Vec<Model> {
    let mut path = vec![to];
    while let Some(first) = path.last().and_then(|n| predecessors[*n].first()) {
        path.push(*first as usize);
    }
    path.reverse();
    let states: HashMap<usize, &Model> = state_numbers.iter().map(|(model, n)| (*n, model)).collect();
    path.iter().map(|n| states[n].clone()).collect()
}

fn explore(fault: InjectedFault) -> Exploration {
    let mut state_numbers: HashMap<Model, usize> = HashMap::new();
    let mut predecessors: Vec<Vec<u32>> = Vec::new();
    let mut ended: Vec<usize> = Vec::new();
    let mut queue = VecDeque::new();
    let mut violations = BTreeSet::new();
    let mut first_violation = None;
    state_numbers.insert(Model::initial(), 0);
    predecessors.push(Vec::new());
    queue.push_back(Model::initial());
    while let Some(model) = queue.pop_front() {
        let number = state_numbers[&model];
        if let Some(rule) = model.violated_rule() {
            if violations.is_empty() {
                first_violation = Some(number);
            }
            violations.insert(rule);
            // States after a violation are not explored: they show no further faults.
            continue;
        }
        if matches!(model.home, HomeRecord::Ended { .. }) {
            ended.push(number);
        }
        for successor in model.successors(fault) {
            let new_number = state_numbers.len();
            let successor_number = *state_numbers.entry(successor.clone()).or_insert(new_number);
            if successor_number == new_number {
                predecessors.push(Vec::new());
                queue.push_back(successor);
            }
            predecessors[successor_number].push(number as u32);
        }
        assert!(state_numbers.len() <= MAX_STATES, "too many states");
        if fault != InjectedFault::None && !violations.is_empty() {
            break;
        }
    }
    let mut can_end = vec![false; predecessors.len()];
    while let Some(number) = ended.pop() {
        if !std::mem::replace(&mut can_end[number], true) {
            ended.extend(predecessors[number].iter().map(|n| *n as usize));
        }
    }
    let stuck = can_end.iter().filter(|can_end| !**can_end).count();
    let trace = first_violation
        .map(|number| shortest_path(&state_numbers, &predecessors, number))
        .unwrap_or_default();
    Exploration { states: state_numbers.len(), violations, stuck, trace }
}

#[test]
fn no_order_of_events_breaks_a_rule_or_loses_the_job() {
    let explored = explore(InjectedFault::None);
    println!("{} states", explored.states);
    assert_eq!(explored.violations, BTreeSet::new(), "{:#?}", explored.trace);
    assert_eq!(explored.stuck, 0, "states from which the job can no longer end");
}

#[test]
fn each_injected_fault_is_detected() {
    for fault in [
        InjectedFault::ReopenAfterTimeout,
        InjectedFault::RefusalNotCommitted,
        InjectedFault::RefusalPrunedEarly,
        InjectedFault::CancellationConfirmedWithoutCommit,
        InjectedFault::WatermarkPassesInFlightOffer,
        InjectedFault::FinalRecordPrunedEarly,
    ] {
        let explored = explore(fault);
        println!("{fault:?}: {:?} after {} states", explored.violations, explored.states);
        assert!(!explored.violations.is_empty(), "{fault:?} is not detected");
    }
}
