//! Scenarios: timed faults, parsed from the language described in `docs/scenarios.md`.

mod fault;
mod parse;

use std::time::Duration;

pub(crate) use fault::{FailureMode, Fault};

use crate::Error;

/// The names and texts of the scenarios that ship with the experiment.
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

/// A sequence of timed faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The scenario's name.
    pub name: String,
    /// The description, in one sentence.
    pub about: String,
    pub(crate) duration: Duration,
    pub(crate) events: Vec<Event>,
}

/// A fault with its start and end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Event {
    pub(crate) at: Duration,
    pub(crate) until: Duration,
    pub(crate) fault: Fault,
}

impl Scenario {
    /// Parses a scenario.
    ///
    /// # Errors
    ///
    /// Returns an error with the number of the first invalid line and the accepted syntax.
    pub fn parse(name: &str, text: &str) -> Result<Self, Error> {
        parse::scenario(name, text)
    }

    /// Returns the names of the shipped scenarios, in the order in which they are run.
    pub fn names() -> impl Iterator<Item = &'static str> {
        SHIPPED.iter().map(|(name, _)| *name)
    }

    /// Returns the shipped scenario with this name.
    ///
    /// # Errors
    ///
    /// Returns an error if no scenario has the name, or if its text is invalid.
    pub fn shipped(name: &str) -> Result<Self, Error> {
        let found = SHIPPED.iter().find(|(known, _)| *known == name);
        let Some((name, text)) = found else {
            let known = Self::names().map(str::to_owned).collect();
            return Err(Error::UnknownScenario(name.to_owned(), known));
        };
        Self::parse(name, text)
    }

    /// Returns the scenario with its duration and the start and end of each fault divided by `by`,
    /// for tests. The delays of ratings and load reports stay.
    pub(crate) fn shortened(mut self, by: u32) -> Self {
        self.duration /= by;
        for it in &mut self.events {
            it.at /= by;
            it.until /= by;
        }
        self
    }

    /// Returns the events whose faults are active at `now`.
    pub(crate) fn active(&self, now: Duration) -> impl Iterator<Item = &Event> {
        self.events
            .iter()
            .filter(move |it| it.at <= now && now < it.until)
    }
}
