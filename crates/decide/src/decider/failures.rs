//! Attribution of failures to versions.

use std::time::Duration;

use super::Decider;
use crate::attempt::{Attempt, Occupancy};
use crate::directory::Target;
use crate::outcome::Outcome;
use crate::{Action, endpoint, key};

/// A failure that the version may have caused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    at: Duration,
    pub(super) version: key::Version,
    class: key::Class,
    endpoint_id: endpoint::Id,
}

impl Decider {
    pub(super) fn learn_from_failure(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        version: key::Version,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if outcome == Outcome::TimedOut && !self.had_ample_time(attempt) {
            return;
        }
        let Some(endpoint_id) = self.directory.get(attempt.replica).map(|it| it.id) else {
            return;
        };
        let Some(class) = self.requests.get(attempt.request).map(|it| it.class) else {
            return;
        };
        let failure = Failure {
            at: now,
            version,
            class: self.knowledge.class_key(class),
            endpoint_id,
        };
        if outcome == Outcome::Cut {
            // An endpoint that crashes truncates all its responses, which isn't the version's
            // fault. The crash becomes known only later.
            self.cut_responses.push_back(failure);
        } else {
            self.record_version_failure(now, &failure, actions);
        }
    }

    /// Counts truncated responses against their versions if the endpoint is still live after a
    /// delay, so that a crash of the endpoint isn't attributed to the version.
    pub(super) fn settle_cut_responses(&mut self, now: Duration, actions: &mut Vec<Action>) {
        const ENDPOINT_LOSS_DELAY: Duration = Duration::from_secs(5);
        while let Some(cut) = self.cut_responses.front().copied()
            && now >= cut.at + ENDPOINT_LOSS_DELAY
        {
            self.cut_responses.pop_front();
            if self.directory.is_live(cut.endpoint_id) {
                self.record_version_failure(now, &cut, actions);
            }
        }
    }

    fn record_version_failure(
        &mut self,
        now: Duration,
        failure: &Failure,
        actions: &mut Vec<Action>,
    ) {
        let version = failure.version;
        let endpoints = self.directory.len(Target::Version(version));
        let normal = self.health.failure_baseline(version, endpoints);
        self.observe_version(now, version, actions, |it| {
            it.record_failures(now, normal, 1.0, &[Some(failure.endpoint_id)]);
        });
        if let Some(entry) = self.policy.versions.get(version.index()) {
            self.outbox
                .record_failure(&entry.id, failure.class, failure.endpoint_id);
        }
    }

    /// Returns whether the endpoint was known to have free capacity and the attempt's timeout was
    /// at least `AMPLE_TIME_FACTOR` times the usual duration (any timeout if that is unknown). A
    /// timeout at a full endpoint, or shortly before the deadline, is caused by overload and not
    /// by the version.
    fn had_ample_time(&self, attempt: &Attempt) -> bool {
        const AMPLE_TIME_FACTOR: u32 = 4;
        let usual = self.expected_latency(attempt.request, attempt.target);
        attempt.occupancy == Occupancy::Free && attempt.timeout >= usual * AMPLE_TIME_FACTOR
    }
}
