//! Faults as dated events, read from a small language; see `docs/scenarios.md`.

mod fault;
mod parse;

use std::time::Duration;

pub(crate) use fault::{Fault, Manner};

use crate::Error;

/// The scenarios that ship with the experiment, by name and text.
const SHIPPED: [(&str, &str); 16] = [
    ("calm", include_str!("../scenarios/calm.txt")),
    ("settled", include_str!("../scenarios/settled.txt")),
    ("turns_bad", include_str!("../scenarios/turns_bad.txt")),
    ("fifth_bad", include_str!("../scenarios/fifth_bad.txt")),
    (
        "bad_confident",
        include_str!("../scenarios/bad_confident.txt"),
    ),
    ("errors", include_str!("../scenarios/errors.txt")),
    ("drifts", include_str!("../scenarios/drifts.txt")),
    (
        "pool_runs_out",
        include_str!("../scenarios/pool_runs_out.txt"),
    ),
    (
        "ratings_late",
        include_str!("../scenarios/ratings_late.txt"),
    ),
    ("ratings_out", include_str!("../scenarios/ratings_out.txt")),
    ("load_stale", include_str!("../scenarios/load_stale.txt")),
    ("flood", include_str!("../scenarios/flood.txt")),
    ("rollout_cut", include_str!("../scenarios/rollout_cut.txt")),
    ("host_lost", include_str!("../scenarios/host_lost.txt")),
    ("overload", include_str!("../scenarios/overload.txt")),
    ("withdrawn", include_str!("../scenarios/withdrawn.txt")),
];

/// A course of dated faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is about, in a sentence.
    pub about: String,
    pub(crate) duration: Duration,
    pub(crate) events: Vec<Event>,
}

/// One dated fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Event {
    pub(crate) at: Duration,
    pub(crate) until: Duration,
    pub(crate) fault: Fault,
}

impl Scenario {
    /// Reads a scenario's text.
    ///
    /// # Errors
    /// Names the line that isn't understood and what is accepted there.
    pub fn parse(name: &str, text: &str) -> Result<Self, Error> {
        parse::scenario(name, text)
    }

    /// The names of the shipped scenarios, in the order in which they are run.
    pub fn names() -> impl Iterator<Item = &'static str> {
        SHIPPED.iter().map(|(name, _)| *name)
    }

    /// The shipped scenario of this name.
    ///
    /// # Errors
    /// No scenario has the name, or its text isn't understood.
    pub fn shipped(name: &str) -> Result<Self, Error> {
        let found = SHIPPED.iter().find(|(known, _)| *known == name);
        let Some((name, text)) = found else {
            let known = Self::names().map(str::to_owned).collect();
            return Err(Error::UnknownScenario(name.to_owned(), known));
        };
        Self::parse(name, text)
    }

    /// The same scenario on a clock that runs `by` times as fast, for tests.
    pub(crate) fn shortened(mut self, by: u32) -> Self {
        self.duration /= by;
        for it in &mut self.events {
            it.at /= by;
            it.until /= by;
        }
        self
    }

    /// The faults in force at `now`.
    pub(crate) fn active(&self, now: Duration) -> impl Iterator<Item = &Event> {
        self.events
            .iter()
            .filter(move |it| it.at <= now && now < it.until)
    }
}
