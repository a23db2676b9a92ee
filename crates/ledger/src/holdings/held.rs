//! A record that isn't in the table yet.

use std::time::Duration;

use kernel::{Incarnation, RequestId};

use crate::cx::Cx;
use crate::packed::Packed;
use crate::{Outcome, Record, Serial};

/// A record that isn't in the table yet.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) record: Packed,
    pub(crate) lane: Lane,
    pub(crate) phase: Phase,
    pub(crate) since: Duration,
    pub(crate) waiting: Vec<Waiting>,
    copies: Vec<Copied>,
}

/// The way in which a record is written to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    /// In the next batch of this incarnation.
    Batch,
    /// By itself, under the home of its key.
    Single(Incarnation),
}

/// The settlement phase of a record that is written by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nothing was done yet.
    New,
    /// The record was made by its home and taken over because the home seemed to be gone. If the
    /// home is alive it still has the record, so the record must not be offered to it for adoption.
    Inherited,
    /// The home was asked to adopt it.
    Offered,
    /// No batch of the home contains the key, and none ever will.
    Absent,
}

/// Someone who waits until a record is safe.
#[derive(Debug)]
pub(crate) enum Waiting {
    /// A caller whose response the record bills.
    Answer(RequestId),
    /// A retry that gets the same response.
    Repeat(RequestId, Outcome),
    /// The host that ran the work, and its serial of the record.
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

    /// The number of other hosts that confirmed a copy.
    pub(crate) fn confirmed(&self) -> usize {
        self.copies.iter().filter(|it| it.confirmed).count()
    }

    /// The hosts that confirmed a copy.
    pub(crate) fn holders(&self) -> Vec<Incarnation> {
        self.copies
            .iter()
            .filter(|it| it.confirmed)
            .map(|it| it.to)
            .collect()
    }

    /// The hosts to which a copy was sent.
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

    /// Removes the hosts that didn't confirm their copy, and returns them.
    pub(crate) fn forsake(&mut self) -> Vec<Incarnation> {
        let (kept, forsaken) = self.copies.iter().partition(|it| it.confirmed);
        self.copies = kept;
        let forsaken: Vec<Copied> = forsaken;
        forsaken.into_iter().map(|it| it.to).collect()
    }

    /// Whether `holder` confirmed a copy.
    pub(crate) fn counts_on(&self, holder: Incarnation) -> bool {
        self.copies.iter().any(|it| it.confirmed && it.to == holder)
    }

    /// Clears the confirmation of each host for which `keeps` is false.
    pub(crate) fn lose(&mut self, keeps: impl Fn(Incarnation) -> bool) {
        for copy in &mut self.copies {
            copy.confirmed &= keeps(copy.to);
        }
    }
}
