//! One record that isn't in the table yet.

use std::time::Duration;

use kernel::{Incarnation, RequestId};

use crate::cx::Cx;
use crate::packed::Packed;
use crate::{Outcome, Record, Serial};

/// One record that isn't in the table yet.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) record: Packed,
    pub(crate) lane: Lane,
    pub(crate) phase: Phase,
    pub(crate) since: Duration,
    pub(crate) waiting: Vec<Waiting>,
    copies: Vec<Copied>,
}

/// How a record gets into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    /// In the next batch of this incarnation.
    Batch,
    /// By itself, under the home that its key names.
    Single(Incarnation),
}

/// How far a record is that gets into the table by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nothing was done.
    New,
    /// It is its home's own, taken over while the home seems to be gone. If
    /// the home turns out to live, it still has the record: it must not adopt
    /// it a second time.
    Inherited,
    /// Its home was asked to adopt it.
    Offered,
    /// No batch of its home has its key, and none ever will.
    Absent,
}

/// What waits for a record to be safe.
#[derive(Debug)]
pub(crate) enum Waiting {
    /// The end of the answer that it bills.
    Answer(RequestId),
    /// A repeat that gets the same answer.
    Repeat(RequestId, Outcome),
    /// The host at which the work ran, and its number of the record.
    Adopter(Incarnation, Serial),
}

#[derive(Clone, Copy, Debug)]
struct Copied {
    to: Incarnation,
    confirmed: bool,
}

impl Lane {
    pub(crate) fn of(cx: &Cx, record: &Record) -> Self {
        let home = record.key.home;
        if cx.shared.decides(home) {
            Self::Batch
        } else {
            Self::Single(home)
        }
    }
}

impl Held {
    pub(crate) fn new(record: &Record, lane: Lane, waiting: Vec<Waiting>, since: Duration) -> Self {
        Self {
            record: Packed::new(record),
            lane,
            phase: if record.is_homes_own() {
                Phase::Inherited
            } else {
                Phase::New
            },
            since,
            waiting,
            copies: Vec::new(),
        }
    }

    /// How many other hosts hold it for sure.
    pub(crate) fn confirmed(&self) -> usize {
        self.copies.iter().filter(|it| it.confirmed).count()
    }

    /// The hosts that hold it for sure.
    pub(crate) fn holders(&self) -> Vec<Incarnation> {
        self.copies
            .iter()
            .filter(|it| it.confirmed)
            .map(|it| it.to)
            .collect()
    }

    /// The hosts that may hold it.
    pub(crate) fn receivers(&self) -> impl Iterator<Item = Incarnation> {
        self.copies.iter().map(|it| it.to)
    }

    pub(crate) fn sent(&mut self, to: Incarnation) {
        if self.copies.iter().all(|it| it.to != to) {
            self.copies.push(Copied {
                to,
                confirmed: false,
            });
        }
    }

    pub(crate) fn confirm(&mut self, from: Incarnation) {
        for copy in &mut self.copies {
            copy.confirmed |= copy.to == from;
        }
    }

    /// Forgets the hosts that may hold it and aren't counted on; gives them.
    pub(crate) fn forsake(&mut self) -> Vec<Incarnation> {
        let (kept, forsaken) = self.copies.iter().partition(|it| it.confirmed);
        self.copies = kept;
        let forsaken: Vec<Copied> = forsaken;
        forsaken.into_iter().map(|it| it.to).collect()
    }

    /// Whether `holder` is counted on to hold it.
    pub(crate) fn counts_on(&self, holder: Incarnation) -> bool {
        self.copies.iter().any(|it| it.confirmed && it.to == holder)
    }

    /// Counts on no host any more that `keeps` doesn't name.
    pub(crate) fn lose(&mut self, keeps: impl Fn(Incarnation) -> bool) {
        for copy in &mut self.copies {
            copy.confirmed &= keeps(copy.to);
        }
    }
}
