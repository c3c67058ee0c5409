//! Hand-overs of several jobs under long random sequences of events, with many more offers
//! than `hand_over.rs` can explore exhaustively. Messages are lost, repeated, delayed and
//! reordered, and host cells delete the records that the watermark allows them to delete.
//! Guards against a job that runs twice, whose end is lost, or that stays away for ever.

#![allow(clippy::unwrap_used)]

use dapplecroft_federation::home::compute_watermark;
use dapplecroft_federation::host::{HostRecords, is_prunable, on_request};
use dapplecroft_federation::{
    AwayRecord, CellId, Epoch, HomeStep, HostStep, HostedJob, Origin, Outcome, RefusalRecord,
    TransferRequest, TransferState, WatermarkRecord,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const JOBS: usize = 3;
const HOST_CELLS: usize = 2;

#[derive(Debug, Clone)]
enum Event {
    Offer {
        job: usize,
        cell: usize,
    },
    StartAtHome(usize),
    EndAtHome(usize),
    Cancel(usize),
    /// The home cell sends the host cell of a job all requests that it could send now.
    SendRequests(usize),
    /// One of all requests that were ever sent arrives, possibly not for the first time:
    /// request number `pick` modulo their count.
    DeliverRequest {
        pick: usize,
        can_accept: bool,
    },
    /// One of all answers that were ever sent arrives, chosen in the same way.
    DeliverAnswer(usize),
    /// The home cell's current watermark reaches a host cell.
    RaiseWatermark(usize),
    StartAtHost {
        job: usize,
        cell: usize,
    },
    EndAtHost {
        job: usize,
        cell: usize,
    },
    ReturnFromHost {
        job: usize,
        cell: usize,
    },
    PruneAtHost {
        job: usize,
        cell: usize,
    },
}

fn any_event() -> impl Strategy<Value = Event> {
    let (job, cell) = (0..JOBS, 0..HOST_CELLS);
    prop_oneof![
        2 => (job.clone(), cell.clone()).prop_map(|(job, cell)| Event::Offer { job, cell }),
        1 => job.clone().prop_map(Event::StartAtHome),
        1 => job.clone().prop_map(Event::EndAtHome),
        1 => job.clone().prop_map(Event::Cancel),
        4 => job.clone().prop_map(Event::SendRequests),
        8 => (any::<usize>(), any::<bool>()).prop_map(|(pick, can_accept)| {
            Event::DeliverRequest { pick, can_accept }
        }),
        8 => any::<usize>().prop_map(Event::DeliverAnswer),
        2 => cell.clone().prop_map(Event::RaiseWatermark),
        2 => (job.clone(), cell.clone()).prop_map(|(job, cell)| Event::StartAtHost { job, cell }),
        2 => (job.clone(), cell.clone()).prop_map(|(job, cell)| Event::EndAtHost { job, cell }),
        3 => (job.clone(), cell.clone()).prop_map(|(job, cell)| Event::ReturnFromHost { job, cell }),
        3 => (job, cell).prop_map(|(job, cell)| Event::PruneAtHost { job, cell }),
    ]
}

#[derive(Debug, Clone, PartialEq)]
enum HomeJob {
    Open,
    Away(AwayRecord),
    Ended(Outcome),
}

#[derive(Debug, Clone, Default)]
struct HostJob {
    job: Option<(Epoch, TransferState)>,
    refusal: Option<RefusalRecord>,
    running: bool,
    has_started: bool,
}

/// Records and running jobs of all cells, and all messages that were ever sent.
#[derive(Debug)]
struct Model {
    home: Vec<HomeJob>,
    home_running: Vec<bool>,
    home_has_started: Vec<bool>,
    next_epoch: u64,
    /// State of each job in each host cell, by host cell and job.
    host_jobs: Vec<Vec<HostJob>>,
    watermarks: Vec<WatermarkRecord>,
    /// All requests that were ever sent, with host cell and job.
    requests: Vec<(usize, usize, Epoch, TransferRequest)>,
    /// All answers that were ever sent, with host cell and job.
    answers: Vec<(usize, usize, Epoch, TransferState)>,
    completions: Vec<u32>,
}

fn host_cell_id(cell: usize) -> CellId {
    CellId::new(["b", "c"][cell], 1)
}

impl Model {
    fn new() -> Model {
        Model {
            home: vec![HomeJob::Open; JOBS],
            home_running: vec![false; JOBS],
            home_has_started: vec![false; JOBS],
            next_epoch: 1,
            host_jobs: vec![vec![HostJob::default(); JOBS]; HOST_CELLS],
            watermarks: vec![WatermarkRecord { incarnation: 1, epoch: Epoch(0) }; HOST_CELLS],
            requests: Vec::new(),
            answers: Vec::new(),
            completions: vec![0; JOBS],
        }
    }

    fn away_record(&self, job: usize) -> Option<(usize, AwayRecord)> {
        let HomeJob::Away(record) = &self.home[job] else { return None };
        let cell = (0..HOST_CELLS).find(|cell| host_cell_id(*cell) == record.cell)?;
        Some((cell, record.clone()))
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Offer { job, cell } => {
                if self.home[job] == HomeJob::Open && !self.home_has_started[job] {
                    self.home[job] =
                        HomeJob::Away(AwayRecord::for_offer(host_cell_id(cell), Epoch(self.next_epoch)));
                    self.next_epoch += 1;
                }
            }
            Event::StartAtHome(job) => {
                if self.home[job] == HomeJob::Open {
                    (self.home_running[job], self.home_has_started[job]) = (true, true);
                }
            }
            Event::EndAtHome(job) => {
                if self.home_running[job] {
                    self.home_running[job] = false;
                    self.completions[job] += 1;
                    self.home[job] = HomeJob::Ended(Outcome::Done);
                }
            }
            Event::Cancel(job) => match &self.home[job] {
                HomeJob::Open => {
                    self.home_running[job] = false;
                    self.home[job] = HomeJob::Ended(Outcome::Cancelled);
                }
                HomeJob::Away(away) => self.home[job] = HomeJob::Away(away.with_cancellation_requested()),
                HomeJob::Ended(_) => {}
            },
            Event::SendRequests(job) => {
                if let Some((cell, record)) = self.away_record(job) {
                    for unknown in [true, false] {
                        self.requests.push((cell, job, record.epoch, record.next_request(unknown)));
                    }
                }
            }
            Event::DeliverRequest { pick, can_accept } => {
                if !self.requests.is_empty() {
                    let request = self.requests[pick % self.requests.len()];
                    self.deliver_request(request, can_accept);
                }
            }
            Event::DeliverAnswer(pick) => {
                if !self.answers.is_empty() {
                    let (cell, job, epoch, state) = self.answers[pick % self.answers.len()];
                    if let Some((_, record)) = self.away_record(job) {
                        match record.on_answer(&host_cell_id(cell), epoch, state) {
                            HomeStep::Wait => {}
                            HomeStep::Reopen => self.home[job] = HomeJob::Open,
                            HomeStep::End { outcome, .. } => self.home[job] = HomeJob::Ended(outcome),
                        }
                    }
                }
            }
            Event::RaiseWatermark(cell) => {
                let all = (0..JOBS).filter_map(|job| self.away_record(job));
                let away = all.filter(|(at, _)| *at == cell).map(|(_, record)| record.epoch);
                let watermark = compute_watermark(away.collect::<Vec<_>>(), Epoch(self.next_epoch));
                if let Some(advanced) = self.watermarks[cell].advanced_to(1, watermark) {
                    self.watermarks[cell] = advanced;
                }
            }
            Event::StartAtHost { job, cell }
            | Event::EndAtHost { job, cell }
            | Event::ReturnFromHost { job, cell }
            | Event::PruneAtHost { job, cell } => self.apply_at_host(event, job, cell),
        }
    }

    /// Applies an event of a host cell that needs no message.
    fn apply_at_host(&mut self, event: &Event, job: usize, cell: usize) {
        let watermark = self.watermarks[cell];
        let host_job = &mut self.host_jobs[cell][job];
        match event {
            Event::StartAtHost { .. } => {
                if matches!(host_job.job, Some((_, TransferState::Accepted { .. }))) {
                    (host_job.running, host_job.has_started) = (true, true);
                }
            }
            Event::EndAtHost { .. } if host_job.running => {
                host_job.running = false;
                host_job.job = host_job.job.map(|(epoch, _)| (epoch, TransferState::Done { done: 1 }));
                self.completions[job] += 1;
            }
            Event::ReturnFromHost { .. } => {
                if let Some((epoch, TransferState::Accepted { .. })) = host_job.job
                    && !host_job.has_started
                {
                    host_job.job = None;
                    host_job.refusal = Some(RefusalRecord { epoch });
                }
            }
            Event::PruneAtHost { .. } => {
                if host_job.refusal.is_some_and(|refusal| is_prunable(refusal.epoch, 1, &watermark)) {
                    host_job.refusal = None;
                }
                if let Some((epoch, TransferState::Done { .. } | TransferState::Withdrawn { .. })) =
                    host_job.job
                    && is_prunable(epoch, 1, &watermark)
                {
                    (host_job.job, host_job.has_started) = (None, false);
                }
            }
            _ => {}
        }
    }

    fn deliver_request(&mut self, request: (usize, usize, Epoch, TransferRequest), can_accept: bool) {
        let (cell, job, epoch, kind) = request;
        let home = CellId::new("a", 1);
        let host_job = &mut self.host_jobs[cell][job];
        let origin = |epoch| Origin { cell: home.clone(), epoch };
        let records = HostRecords {
            job: host_job.job.map_or(HostedJob::Absent, |(epoch, state)| HostedJob::Present {
                origin: origin(epoch),
                state,
            }),
            refusal: host_job.refusal,
            watermark: self.watermarks[cell],
        };
        let answer = match on_request(&records, &home, epoch, kind, can_accept) {
            HostStep::Answer(state) => state,
            HostStep::OutdatedSender => return,
            HostStep::Accept => {
                host_job.job = Some((epoch, TransferState::Accepted { done: 0, running: 0 }));
                TransferState::Accepted { done: 0, running: 0 }
            }
            HostStep::Refuse => {
                host_job.refusal = Some(RefusalRecord { epoch });
                TransferState::Refused
            }
            HostStep::Cancel => {
                host_job.running = false;
                host_job.job = Some((epoch, TransferState::Withdrawn { done: 0 }));
                TransferState::Withdrawn { done: 0 }
            }
        };
        self.answers.push((cell, job, epoch, answer));
    }

    fn violated_rule(&self) -> Option<String> {
        for job in 0..JOBS {
            let running = usize::from(self.home_running[job])
                + self.host_jobs.iter().filter(|cell| cell[job].running).count();
            let ended = matches!(self.home[job], HomeJob::Ended(_));
            if running > 1 || self.completions[job] > 1 || (ended && running > 0) {
                return Some(format!("job {job}: {running} running, {} completions", self.completions[job]));
            }
            if self.home[job] == HomeJob::Ended(Outcome::Done) && self.completions[job] == 0 {
                return Some(format!("job {job} is recorded as done, but has not completed"));
            }
            if self.home[job] == HomeJob::Open && self.completions[job] > 0 {
                return Some(format!("job {job} has completed, but the home cell has it open"));
            }
        }
        None
    }

    /// Lets all faults end: jobs that are away run to their end, and the home cell asks the
    /// host cells about them until none should be away.
    fn settle(&mut self) {
        for _ in 0..4 {
            for job in 0..JOBS {
                for cell in 0..HOST_CELLS {
                    self.apply(&Event::StartAtHost { job, cell });
                    self.apply(&Event::EndAtHost { job, cell });
                }
                if let Some((cell, record)) = self.away_record(job) {
                    let request = record.next_request(true);
                    self.deliver_request((cell, job, record.epoch, request), true);
                    let last = self.answers.len().wrapping_sub(1);
                    self.apply(&Event::DeliverAnswer(last));
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(24),
        ..ProptestConfig::default()
    })]

    #[test]
    fn long_random_runs_violate_no_rule_and_leave_no_job_away(
        events in prop::collection::vec(any_event(), 1..400),
    ) {
        let mut model = Model::new();
        for event in &events {
            model.apply(event);
            prop_assert_eq!(model.violated_rule(), None);
        }
        model.settle();
        prop_assert_eq!(model.violated_rule(), None);
        let still_away = model.home.iter().filter(|record| matches!(record, HomeJob::Away(_))).count();
        prop_assert_eq!(still_away, 0, "jobs are still away after the cells settled");
    }
}
