//! Evidence and verdicts from other hosts.

use std::time::Duration;

use kernel::VersionId;

use super::Decider;
use super::learn::{ObservedRatings, ObservedResponses};
use crate::action::Verdict;
use crate::directory::Target;
use crate::evidence::{Evidence, Item};
use crate::histogram::Bucket;
use crate::knowledge::ClassIndex;
use crate::monitor::Order;
use crate::number::float;
use crate::response_stats::StepPosition;
use crate::samples::Sample;
use crate::{Action, key};

/// Number of outcomes, here or published by other hosts, from which a host uses only its own verdict
/// on a version.
const MIN_VERDICT_OUTCOMES: f64 = 50.0;

impl Decider {
    /// Applies evidence from another host.
    pub(super) fn apply_evidence(
        &mut self,
        now: Duration,
        evidence: &Evidence,
        actions: &mut Vec<Action>,
    ) {
        for it in &evidence.turns {
            let class = self.knowledge.class_index(it.class);
            let known = self.knowledge.traffic_mut(class);
            known.record_requests(now, it.free, it.pinned);
        }
        for item in &evidence.items {
            if let Some(version) = self.policy.version(&item.version) {
                self.apply_item(now, version, item, actions);
            }
        }
    }

    /// Adopts another host's verdict if this host knows too few outcomes of the version to judge it,
    /// so that a new host doesn't send callers' requests to a version known to be bad.
    pub(super) fn apply_verdict(
        &mut self,
        now: Duration,
        version: &VersionId,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        let Some(version) = self.policy.version(version) else {
            return;
        };
        self.observe_version(now, version, actions, |it| {
            if it.outcomes() < MIN_VERDICT_OUTCOMES {
                it.adopt(now, verdict);
            }
        });
    }

    pub(super) fn apply_item(
        &mut self,
        now: Duration,
        version: key::Version,
        item: &Item,
        actions: &mut Vec<Action>,
    ) {
        let class = self.knowledge.class_index(item.class);
        for bucket in Bucket::all() {
            let at = bucket.index();
            let [first, later] = samples_by_position(bucket);
            for (sample, count) in [(first, item.answered[at]), (later, item.later_answered[at])] {
                if count > 0 {
                    let count = f64::from(count);
                    let seen = ObservedResponses {
                        sample,
                        count,
                        order: Order::Unknown,
                    };
                    self.learn_from_responses(now, version, class, seen, actions);
                }
            }
        }
        let scope = self.health.quality_scope(version);
        self.observe_version(now, version, actions, |it| it.end_batch(now, scope));
        for bucket in Bucket::all() {
            let at = bucket.index();
            let [first, later] = samples_by_position(bucket);
            for (sample, good, bad) in [
                (first, item.good[at], item.bad[at]),
                (later, item.later_good[at], item.later_bad[at]),
            ] {
                if good + bad > 0 {
                    let rated = ObservedRatings {
                        sample,
                        good: f64::from(good),
                        bad: f64::from(bad),
                    };
                    self.learn_from_ratings(now, version, class, rated, actions);
                }
            }
        }
        self.apply_item_outcomes(now, version, class, item, actions);
    }

    pub(super) fn apply_item_outcomes(
        &mut self,
        now: Duration,
        version: key::Version,
        class: ClassIndex,
        item: &Item,
        actions: &mut Vec<Action>,
    ) {
        let endpoints = self.directory.len(Target::Version(version));
        let normal = self.health.failure_baseline(version, endpoints);
        let failed = f64::from(item.failed);
        self.observe_version(now, version, actions, |it| {
            if failed > 0.0 {
                it.record_failures(now, normal, failed, &item.failed_at);
            }
        });
        let answers = item
            .answered
            .iter()
            .chain(&item.later_answered)
            .sum::<u32>();
        if answers > 0 {
            let answers = f64::from(answers);
            let tokens = float(item.completion_tokens) / answers;
            let seconds = float(item.latency_ms) / 1000.0 / answers;
            self.knowledge
                .record_measurement(version, class, tokens, seconds);
        }
    }
}

/// Returns samples for another host's responses in a bucket, of first and of later steps.
fn samples_by_position(bucket: Bucket) -> [Sample; 2] {
    [StepPosition::First, StepPosition::Later].map(|position| Sample {
        bucket,
        position,
        at: None,
    })
}
