//! A simulation of candidates for one lease, its row, and two endpoints that take orders.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use kernel::Incarnation;
use ledger::lease::{Action, Denied, Event, Fencing, FencingCheck, Lease, Row, Tuning, Written};
use ledger::table::{Expect, Unavailable};
use proptest::prelude::*;

const TABLE_DELAY: Duration = Duration::from_millis(5);
const TIMEOUT: Duration = Duration::from_secs(1);
/// Response time of a slow table, which applies writes at once.
const SLOW_RESPONSE: Duration = Duration::from_secs(6);
const LATE_WRITE_DELAY: Duration = Duration::from_secs(3);
const READ_BACK_TIME: Duration = Duration::from_millis(100);
/// Interval between the checks for two holders.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A candidate for the lease. Its clock may run fast or slow.
#[derive(Debug)]
pub(super) struct Candidate {
    name: String,
    lease: Lease,
    rate: f64,
    frozen: bool,
    inbox: Vec<Event>,
    /// An order that was decided and not sent yet.
    decided: Option<Fencing>,
}

#[derive(Clone, Debug)]
enum Scheduled {
    Event(usize, Event),
    Write(usize, Expect, Row),
    LateWrite(Expect, Row),
}

/// The state of the simulation, and the faults to inject.
#[derive(Debug, Default)]
pub(super) struct Simulation {
    now: Duration,
    queue: BTreeMap<(Duration, u64), Scheduled>,
    sequence: u64,
    pub(super) candidates: Vec<Candidate>,
    row: Option<(u64, Row)>,
    versions: u64,
    pub(super) unavailable: bool,
    /// The table applies writes at once and responds after `SLOW_RESPONSE`.
    pub(super) slow: bool,
    pub(super) lost_responses: u32,
    pub(super) late_writes: u32,
    pub(super) trace: String,
    /// The highest fencing number that either endpoint has received.
    highest_fencing: Fencing,
    /// The fencing number of the holder at the last check.
    last_fencing: Fencing,
}

impl Candidate {
    pub(super) fn new(name: &str, idx: usize, rate: f64) -> Self {
        let me = Incarnation(idx as u64 + 1);
        Self {
            name: name.to_owned(),
            lease: Lease::new(me, Tuning::default()),
            rate,
            frozen: false,
            inbox: Vec::new(),
            decided: None,
        }
    }
}

impl Simulation {
    pub(super) fn add(&mut self, candidate: Candidate) {
        self.candidates.push(candidate);
        self.feed(self.candidates.len() - 1, Event::Tick);
    }

    fn idx(&self, name: &str) -> usize {
        let mut candidates = self.candidates.iter();
        candidates
            .position(|it| it.name == name)
            .expect("the candidate exists")
    }

    fn schedule(&mut self, after: Duration, scheduled: Scheduled) {
        self.sequence += 1;
        self.queue
            .insert((self.now + after, self.sequence), scheduled);
    }

    /// The time on a candidate's clock.
    fn clock(&self, idx: usize) -> Duration {
        self.now.mul_f64(self.candidates[idx].rate)
    }

    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|it| it.key().0 <= end) {
            let ((at, _), scheduled) = entry.remove_entry();
            self.now = self.now.max(at);
            match scheduled {
                Scheduled::Event(idx, event) => self.feed(idx, event),
                Scheduled::Write(idx, expect, row) => self.write(idx, expect, row),
                Scheduled::LateWrite(expect, row) => {
                    self.apply(expect, row);
                }
            }
        }
        self.now = end;
    }

    fn feed(&mut self, idx: usize, event: Event) {
        if self.candidates[idx].frozen {
            self.candidates[idx].inbox.push(event);
            return;
        }
        let now = self.clock(idx);
        let mut actions = Vec::new();
        self.candidates[idx].lease.handle(now, event, &mut actions);
        for action in actions {
            self.perform(idx, action);
        }
    }

    fn perform(&mut self, idx: usize, action: Action) {
        match action {
            Action::Read => {
                let result = if self.unavailable {
                    Err(Unavailable)
                } else {
                    Ok(self.row.clone())
                };
                let after = if self.slow {
                    SLOW_RESPONSE
                } else {
                    2 * TABLE_DELAY
                };
                self.schedule(after, Scheduled::Event(idx, Event::Read(result)));
            }
            Action::Write { expect, row } => {
                self.schedule(TABLE_DELAY, Scheduled::Write(idx, expect, row));
            }
            Action::ReadBack => {
                self.log(idx, "reads back");
                self.schedule(READ_BACK_TIME, Scheduled::Event(idx, Event::ReadBack));
            }
            Action::Lost => self.log(idx, "loses the lease"),
            Action::Wake { at } => {
                let at = at.div_f64(self.candidates[idx].rate);
                let after = at.saturating_sub(self.now) + Duration::from_micros(1);
                self.schedule(after, Scheduled::Event(idx, Event::Tick));
            }
        }
    }

    fn write(&mut self, idx: usize, expect: Expect, row: Row) {
        let (result, after) = if self.unavailable {
            (Written::NotApplied, TABLE_DELAY)
        } else if self.late_writes > 0 {
            self.late_writes -= 1;
            self.schedule(LATE_WRITE_DELAY, Scheduled::LateWrite(expect, row));
            (Written::Unknown, TIMEOUT)
        } else if self.lost_responses > 0 {
            self.lost_responses -= 1;
            self.apply(expect, row);
            (Written::Unknown, TIMEOUT)
        } else {
            let after = if self.slow {
                SLOW_RESPONSE
            } else {
                TABLE_DELAY
            };
            (self.apply(expect, row), after)
        };
        self.schedule(after, Scheduled::Event(idx, Event::Written(result)));
    }

    fn apply(&mut self, expect: Expect, row: Row) -> Written {
        let version = self.row.as_ref().map(|(version, _)| *version);
        let holds = match expect {
            Expect::Absent => version.is_none(),
            Expect::Version(expected) => version == Some(expected),
        };
        if !holds {
            return Written::Failed;
        }
        self.versions += 1;
        self.row = Some((self.versions, row));
        Written::Applied {
            version: self.versions,
        }
    }

    pub(super) fn freeze(&mut self, name: &str) {
        let idx = self.idx(name);
        self.candidates[idx].frozen = true;
    }

    pub(super) fn thaw(&mut self, name: &str) {
        let idx = self.idx(name);
        self.candidates[idx].frozen = false;
        for event in std::mem::take(&mut self.candidates[idx].inbox) {
            self.feed(idx, event);
        }
    }

    pub(super) fn resign(&mut self, name: &str) {
        self.feed(self.idx(name), Event::Resign);
    }

    fn check_order(&self, idx: usize, check: FencingCheck) -> Result<Fencing, Denied> {
        let candidate = &self.candidates[idx];
        candidate.lease.order(self.clock(idx), check)
    }

    /// Sends an order to both endpoints.
    pub(super) fn order(&mut self, name: &str) {
        let idx = self.idx(name);
        for check in [FencingCheck::Checks, FencingCheck::Ignores] {
            match self.check_order(idx, check) {
                Ok(fencing) => self.execute(idx, check, fencing),
                Err(denied) => {
                    self.log(idx, &format!("may not order where it {check:?}: {denied}"));
                }
            }
        }
    }

    fn execute(&mut self, idx: usize, check: FencingCheck, fencing: Fencing) {
        if check == FencingCheck::Checks && fencing < self.highest_fencing {
            return self.log(idx, &format!("is refused with {fencing} where it Checks"));
        }
        self.highest_fencing = self.highest_fencing.max(fencing);
        self.log(idx, &format!("orders with {fencing} where it {check:?}"));
    }

    /// Decides on an order without sending it.
    pub(super) fn decide(&mut self, name: &str) {
        let idx = self.idx(name);
        self.candidates[idx].decided = self.check_order(idx, FencingCheck::Ignores).ok();
    }

    /// Sends the order that was decided on.
    pub(super) fn deliver(&mut self, name: &str) {
        let idx = self.idx(name);
        let Some(fencing) = self.candidates[idx].decided.take() else {
            return self.log(idx, "has decided nothing");
        };
        self.execute(idx, FencingCheck::Checks, fencing);
        self.execute(idx, FencingCheck::Ignores, fencing);
    }

    /// The candidates that may issue orders now. A frozen host counts, because it may resume at any
    /// moment.
    pub(super) fn holders(&self) -> Vec<(usize, Fencing)> {
        (0..self.candidates.len())
            .filter_map(|idx| Some((idx, self.check_order(idx, FencingCheck::Checks).ok()?)))
            .collect()
    }

    /// Advances the time and checks at short intervals that there is at most one holder and that
    /// its fencing number doesn't fall.
    pub(super) fn run_checked(&mut self, span: Duration) -> Result<(), TestCaseError> {
        let end = self.now + span;
        while self.now < end {
            self.run(CHECK_INTERVAL);
            let holders = self.holders();
            prop_assert!(holders.len() <= 1, "{holders:?} at {:?}", self.now);
            if let Some((_, fencing)) = holders.first() {
                prop_assert!(
                    *fencing >= self.last_fencing,
                    "{fencing} after {}",
                    self.last_fencing
                );
                self.last_fencing = *fencing;
            }
        }
        Ok(())
    }

    fn log(&mut self, idx: usize, what: &str) {
        let name = &self.candidates[idx].name;
        let _ = writeln!(self.trace, "{name} {what}");
    }
}
