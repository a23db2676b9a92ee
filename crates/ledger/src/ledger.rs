//! The ledger itself.

use std::time::Duration;

use kernel::{DataCentre, Incarnation};

use crate::{Action, Counters, End, Event, Run, Safety, Serial, Status, Tuning};

/// The state of at-most-once execution and billing on one host.
#[derive(Debug)]
pub struct Ledger {
    me: Incarnation,
    data_centre: DataCentre,
    tuning: Tuning,
    next: Serial,
}

impl Ledger {
    /// A ledger that holds nothing.
    #[must_use]
    pub fn new(me: Incarnation, data_centre: DataCentre, tuning: Tuning) -> Self {
        Self {
            me,
            data_centre,
            tuning,
            next: Serial(1),
        }
    }

    /// The number that goes into a ticket minted now.
    #[must_use]
    pub fn floor(&self) -> Serial {
        self.next
    }

    /// What it holds and has counted.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            me: self.me,
            held: 0,
            held_bound: self.tuning.held_records,
            copies: 0,
            keys: 0,
            outcome_bytes: 0,
            counters: Counters::default(),
        }
    }

    /// The data centre whose loss the copies are made for.
    #[must_use]
    pub fn data_centre(&self) -> &DataCentre {
        &self.data_centre
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, _now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(arrival) => actions.push(Action::Permit {
                request: arrival.request,
            }),
            Event::Finished { request, end } => actions.push(match end {
                End::Answered { .. } => Action::Release {
                    request,
                    safety: Safety::SingleCopy,
                },
                End::Unanswered => Action::Close {
                    request,
                    run: Run::Unknown,
                },
            }),
            Event::Drain => actions.push(Action::Drained),
            Event::Renew { me } => self.me = me,
            _ => {}
        }
    }
}
