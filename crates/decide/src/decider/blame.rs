//! Which failures are held against a version.

use std::time::Duration;

use super::Decider;
use crate::attempt::{Attempt, Fill};
use crate::directory::Target;
use crate::outcome::Outcome;
use crate::{Action, endpoint, key};

/// A failure that may be a version's fault.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    at: Duration,
    pub(super) version: key::Version,
    class: key::Class,
    place: endpoint::Id,
}

impl Decider {
    pub(super) fn learn_failure(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        version: key::Version,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if outcome == Outcome::TimedOut && !self.had_plenty(attempt) {
            return;
        }
        let Some(place) = self.directory.get(attempt.replica).map(|it| it.id) else {
            return;
        };
        let Some(class) = self.requests.get(attempt.request).map(|it| it.class) else {
            return;
        };
        let failure = Failure {
            at: now,
            version,
            class: self.knowledge.class_key(class),
            place,
        };
        if outcome == Outcome::Cut {
            // A dying endpoint cuts all its answers; it is only known to be gone
            // a little later.
            self.cuts.push_back(failure);
        } else {
            self.blame(now, &failure, actions);
        }
    }

    /// Blames versions for the answers that were cut at endpoints that live on.
    pub(super) fn settle_cuts(&mut self, now: Duration, actions: &mut Vec<Action>) {
        const NEWS: Duration = Duration::from_secs(5);
        while let Some(cut) = self.cuts.front().copied()
            && now >= cut.at + NEWS
        {
            self.cuts.pop_front();
            if self.directory.is_live(cut.place) {
                self.blame(now, &cut, actions);
            }
        }
    }

    fn blame(&mut self, now: Duration, failure: &Failure, actions: &mut Vec<Action>) {
        let version = failure.version;
        let endpoints = self.directory.len(Target::Version(version));
        let normal = self.health.normal(version, endpoints);
        self.judge(now, version, actions, |it| {
            it.failed(now, normal, 1.0, &[Some(failure.place)]);
        });
        if let Some(entry) = self.policy.versions.get(version.index()) {
            self.outbox.failed(&entry.id, failure.class, failure.place);
        }
    }

    /// Whether an attempt had a free endpoint and far more time than it should
    /// need. One that waited in a full engine, or was sent shortly before its
    /// deadline, tells of overload and not of the version.
    fn had_plenty(&self, attempt: &Attempt) -> bool {
        const PLENTY: u32 = 4;
        let usual = self.latency(attempt.request, attempt.target);
        attempt.fill == Fill::Free && attempt.timeout >= usual * PLENTY
    }
}
