//! A record that isn't in the table yet.

use std::time::Duration;

use kernel::{Incarnation, RequestId};

use crate::context::Context;
use crate::encoded_record::EncodedRecord;
use crate::{Outcome, Record, Serial};

/// A record that isn't in the table yet.
#[derive(Debug)]
pub(crate) struct PendingRecord {
    pub(crate) encoded: EncodedRecord,
    pub(crate) write_path: WritePath,
    pub(crate) phase: SettlementPhase,
    pub(crate) added_at: Duration,
    pub(crate) waiting: Vec<Waiter>,
    copies: Vec<CopyState>,
}

/// The way in which a record is written to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WritePath {
    /// In the next batch of this incarnation.
    Batch,
    /// By itself, under the home of its key.
    Single(Incarnation),
}

/// The settlement phase of a record that is written by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SettlementPhase {
    /// Nothing was done yet.
    Pending,
    /// The record was made by its home. Unless this process is the home, the record was taken over
    /// because the home seemed to be gone. If the home is alive it still has the record, so the
    /// record must not be offered to it for adoption.
    Inherited,
    /// The home was asked to adopt it.
    Offered,
    /// No batch of the home contains the key, and none ever will.
    NotBilled,
}

/// Someone who waits until a record is safe.
#[derive(Debug)]
pub(crate) enum Waiter {
    /// A caller whose response the record bills.
    Response(RequestId),
    /// A retry that gets the same response.
    Retry(RequestId, Outcome),
    /// The host that offers the record, and its serial there.
    Offerer(Incarnation, Serial),
}

#[derive(Clone, Copy, Debug)]
struct CopyState {
    to: Incarnation,
    confirmed: bool,
}

impl WritePath {
    pub(crate) fn of(cx: &Context, record: &Record) -> Self {
        let home = record.key.home;
        if cx.shared.decides(home) {
            Self::Batch
        } else {
            Self::Single(home)
        }
    }
}

impl PendingRecord {
    pub(crate) fn new(
        record: &Record,
        write_path: WritePath,
        waiting: Vec<Waiter>,
        added_at: Duration,
    ) -> Self {
        Self {
            encoded: EncodedRecord::new(record),
            write_path,
            phase: if record.is_homes_own() {
                SettlementPhase::Inherited
            } else {
                SettlementPhase::Pending
            },
            added_at,
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

    pub(crate) fn add_receiver(&mut self, to: Incarnation) {
        if self.copies.iter().all(|it| it.to != to) {
            self.copies.push(CopyState {
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
    pub(crate) fn take_unconfirmed(&mut self) -> Vec<Incarnation> {
        let (kept, unconfirmed) = self.copies.iter().partition(|it| it.confirmed);
        self.copies = kept;
        let unconfirmed: Vec<CopyState> = unconfirmed;
        unconfirmed.into_iter().map(|it| it.to).collect()
    }

    /// Whether `holder` confirmed a copy.
    pub(crate) fn is_confirmed_by(&self, holder: Incarnation) -> bool {
        self.copies.iter().any(|it| it.confirmed && it.to == holder)
    }

    /// Clears the confirmation of each host for which `keeps` is false.
    pub(crate) fn retain_confirmations(&mut self, keeps: impl Fn(Incarnation) -> bool) {
        for copy in &mut self.copies {
            copy.confirmed &= keeps(copy.to);
        }
    }
}
