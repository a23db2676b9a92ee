//! A simulation of candidates for one lease, its row, and two endpoints that take orders.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use kernel::Incarnation;
use ledger::lease::{Action, Denied, Endpoint, Event, Fencing, Lease, Row, Tuning, Written};
use ledger::table::{Expect, Unavailable};
use proptest::prelude::*;

const TABLE: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_secs(1);
/// Response time of a slow table, which applies writes at once.
const SLOW: Duration = Duration::from_secs(6);
const LATE: Duration = Duration::from_secs(3);
const READ_BACK: Duration = Duration::from_millis(100);
/// Interval between the checks for two holders.
const WATCH: Duration = Duration::from_millis(20);

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
enum Happening {
    Event(usize, Event),
    Write(usize, Expect, Row),
    LateWrite(Expect, Row),
}

/// A simulation of candidates for one lease, its row, and two endpoints that take orders.
#[derive(Debug, Default)]
pub(super) struct Site {
    now: Duration,
    queue: BTreeMap<(Duration, u64), Happening>,
    order: u64,
    pub(super) candidates: Vec<Candidate>,
    row: Option<(u64, Row)>,
    versions: u64,
    pub(super) out: bool,
    /// The table applies writes at once and responds after `SLOW`.
    pub(super) slow: bool,
    pub(super) lose: u32,
    pub(super) late: u32,
    pub(super) trace: String,
    /// The highest fencing number that the checking endpoint has received.
    newest: Fencing,
    seen: Fencing,
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

impl Site {
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

    fn at(&mut self, after: Duration, happening: Happening) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), happening);
    }

    /// The time on a candidate's clock.
    fn clock(&self, idx: usize) -> Duration {
        self.now.mul_f64(self.candidates[idx].rate)
    }

    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|it| it.key().0 <= end) {
            let ((at, _), happening) = entry.remove_entry();
            self.now = self.now.max(at);
            match happening {
                Happening::Event(idx, event) => self.feed(idx, event),
                Happening::Write(idx, expect, row) => self.write(idx, expect, row),
                Happening::LateWrite(expect, row) => {
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
                let result = if self.out {
                    Err(Unavailable)
                } else {
                    Ok(self.row.clone())
                };
                let after = if self.slow { SLOW } else { 2 * TABLE };
                self.at(after, Happening::Event(idx, Event::Read(result)));
            }
            Action::Write { expect, row } => self.at(TABLE, Happening::Write(idx, expect, row)),
            Action::ReadBack => {
                self.say(idx, "reads back");
                self.at(READ_BACK, Happening::Event(idx, Event::ReadBack));
            }
            Action::Lost => self.say(idx, "loses the lease"),
            Action::Wake { at } => {
                let at = at.div_f64(self.candidates[idx].rate);
                let after = at.saturating_sub(self.now) + Duration::from_micros(1);
                self.at(after, Happening::Event(idx, Event::Tick));
            }
        }
    }

    fn write(&mut self, idx: usize, expect: Expect, row: Row) {
        let (result, after) = if self.out {
            (Written::NotApplied, TABLE)
        } else if self.late > 0 {
            self.late -= 1;
            self.at(LATE, Happening::LateWrite(expect, row));
            (Written::Unknown, PATIENCE)
        } else if self.lose > 0 {
            self.lose -= 1;
            self.apply(expect, row);
            (Written::Unknown, PATIENCE)
        } else {
            let after = if self.slow { SLOW } else { TABLE };
            (self.apply(expect, row), after)
        };
        self.at(after, Happening::Event(idx, Event::Written(result)));
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

    fn ask(&self, idx: usize, endpoint: Endpoint) -> Result<Fencing, Denied> {
        let candidate = &self.candidates[idx];
        candidate.lease.order(self.clock(idx), endpoint)
    }

    /// Sends an order to both endpoints.
    pub(super) fn order(&mut self, name: &str) {
        let idx = self.idx(name);
        for endpoint in [Endpoint::Checks, Endpoint::Ignores] {
            match self.ask(idx, endpoint) {
                Ok(fencing) => self.execute(idx, endpoint, fencing),
                Err(denied) => self.say(
                    idx,
                    &format!("may not order where it {endpoint:?}: {denied}"),
                ),
            }
        }
    }

    fn execute(&mut self, idx: usize, endpoint: Endpoint, fencing: Fencing) {
        if endpoint == Endpoint::Checks && fencing < self.newest {
            return self.say(idx, &format!("is refused with {fencing} where it Checks"));
        }
        self.newest = self.newest.max(fencing);
        self.say(idx, &format!("orders with {fencing} where it {endpoint:?}"));
    }

    /// Decides on an order without sending it.
    pub(super) fn decide(&mut self, name: &str) {
        let idx = self.idx(name);
        self.candidates[idx].decided = self.ask(idx, Endpoint::Ignores).ok();
    }

    /// Sends the order that was decided on.
    pub(super) fn deliver(&mut self, name: &str) {
        let idx = self.idx(name);
        let Some(fencing) = self.candidates[idx].decided.take() else {
            return self.say(idx, "has decided nothing");
        };
        self.execute(idx, Endpoint::Checks, fencing);
        self.execute(idx, Endpoint::Ignores, fencing);
    }

    /// The candidates that may issue orders now. A frozen host counts, because it may resume at any
    /// moment.
    pub(super) fn holders(&self) -> Vec<(usize, Fencing)> {
        (0..self.candidates.len())
            .filter_map(|idx| Some((idx, self.ask(idx, Endpoint::Checks).ok()?)))
            .collect()
    }

    /// Advances the time and checks at short intervals that there is at most one holder and that
    /// its fencing number doesn't fall.
    pub(super) fn watch(&mut self, span: Duration) -> Result<(), TestCaseError> {
        let end = self.now + span;
        while self.now < end {
            self.run(WATCH);
            let holders = self.holders();
            prop_assert!(holders.len() <= 1, "{holders:?} at {:?}", self.now);
            if let Some((_, fencing)) = holders.first() {
                prop_assert!(*fencing >= self.seen, "{fencing} after {}", self.seen);
                self.seen = *fencing;
            }
        }
        Ok(())
    }

    fn say(&mut self, idx: usize, what: &str) {
        let name = &self.candidates[idx].name;
        let _ = writeln!(self.trace, "{name} {what}");
    }
}
