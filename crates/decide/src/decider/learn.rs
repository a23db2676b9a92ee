//! Learning from outcomes, ratings and other hosts' evidence.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::Decider;
use crate::attempt::{Attempt, Progress};
use crate::directory::Target;
use crate::event::{Quality, Rating};
use crate::histogram::Bucket;
use crate::knowledge::{ClassIndex, ResponseKind};
use crate::monitor::{ConfidenceObservation, Monitor, Order, RatingObservation};
use crate::outcome::{Answer, Denial, Outcome};
use crate::policy::State;
use crate::response_stats::StepPosition;
use crate::samples::Sample;
use crate::{Action, key};

/// Number of responses from which the baseline of a version's confidence is known.
const MIN_BASELINE_RESPONSES: f64 = 100.0;
/// Number of ratings from which the baseline of a version's quality is known.
const MIN_BASELINE_RATINGS: f64 = 40.0;
/// Lowest expected share of bad ratings for a version without a quality baseline, so that it is
/// quarantined only if most of its responses are bad.
const MIN_BAD_RATE_WITHOUT_BASELINE: f64 = 0.5;

/// A number of responses with the same properties.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedResponses {
    pub(super) sample: Sample,
    pub(super) count: f64,
    pub(super) order: Order,
}

/// A number of ratings of responses with the same properties.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedRatings {
    pub(super) sample: Sample,
    pub(super) good: f64,
    pub(super) bad: f64,
}

impl Decider {
    /// Records the outcome of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pool) = self.pools.get_mut(attempt.target) {
            pool.record_departure(now);
        }
        self.update_replica(now, attempt, outcome);
        let Target::Version(version) = attempt.target else {
            if outcome == Outcome::Served {
                self.record_duration(now, attempt);
            }
            return;
        };
        match outcome {
            Outcome::Answered(answer) => {
                self.learn_from_response(now, attempt, version, answer, actions);
            }
            Outcome::Failed | Outcome::Cut | Outcome::TimedOut => {
                self.learn_from_failure(now, attempt, version, outcome, actions);
            }
            // The request didn't run (`Served` occurs only for plain services), so the outcome
            // isn't evidence about the version.
            Outcome::NotSent | Outcome::Denied(_) | Outcome::Served => {}
        }
    }

    /// Requests a rating of the response if the sampler admits it, depending on its rate limit and
    /// on the value of a further rating. For responses of probes, explorations, versions on trial
    /// and suspect versions, only the rate limit counts. Once the version and class have enough
    /// ratings, a random share of the responses isn't considered.
    pub(super) fn request_rating(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let version = attempt.step.version;
        let Some(request) = self.requests.get(attempt.request) else {
            return;
        };
        let kind = ResponseKind {
            version,
            class: request.class,
            position: position(attempt, request.fallback.is_some()),
        };
        let class = self.knowledge.class_key(request.class);
        let Some(entry) = self.policy.versions.get(version.index()) else {
            return;
        };
        let has_priority = attempt.step.is_probe()
            || matches!(entry.state, State::Trial(_))
            || self.health.get(version).is_some_and(Monitor::is_suspect);
        let max_rate = self.tuning.sample_rate;
        let known = self.knowledge.ratings(version, kind.class) >= 4.0 * MIN_BASELINE_RATINGS;
        let skipped = known && self.rng.random::<f64>() >= self.tuning.sample_share;
        let wanted = if skipped {
            false
        } else if has_priority {
            self.sampler.admits_any(now, max_rate)
        } else {
            let value = self.knowledge.rating_value(now, kind);
            self.sampler.admits(now, value, max_rate, &mut self.rng)
        };
        if !wanted {
            return;
        }
        let sample = Sample {
            bucket: Bucket::from(answer.confidence),
            position: kind.position,
            at: Some(now),
        };
        self.samples.insert(request.id, &entry.id, sample);
        actions.push(Action::Sample {
            request: request.id,
            attempt: attempt.id,
            version,
            class,
        });
    }

    /// Applies a rating of a response that this host has sampled.
    pub(super) fn apply_rating(
        &mut self,
        now: Duration,
        rating: &Rating,
        actions: &mut Vec<Action>,
    ) {
        let Some(version) = self.policy.version(&rating.version) else {
            return;
        };
        let Some(sample) = self.samples.take(rating.request, &rating.version) else {
            return;
        };
        self.sampler.record_rating(now);
        self.outbox
            .record_rating(&rating.version, rating.class, sample, rating.quality);
        let class = self.knowledge.class_index(rating.class);
        let (good, bad) = match rating.quality {
            Quality::Good => (1.0, 0.0),
            Quality::Bad => (0.0, 1.0),
        };
        let rated = ObservedRatings { sample, good, bad };
        self.learn_from_ratings(now, version, class, rated, actions);
    }

    fn update_replica(&mut self, now: Duration, attempt: &Attempt, outcome: Outcome) {
        let key = attempt.replica;
        match outcome {
            Outcome::Denied(Denial::Leaving | Denial::WrongIncarnation) => {
                return self.directory.leave(key);
            }
            Outcome::Denied(Denial::NotLoaded) => {
                let version = attempt.step.version;
                if let Some(entry) = self.policy.versions.get(version.index()) {
                    let id = entry.id.clone();
                    self.directory.unload(key, version, &id);
                }
                return;
            }
            _ => {}
        }
        let Some(replica) = self.directory.get_mut(key) else {
            return;
        };
        match outcome {
            Outcome::Answered(_) | Outcome::Served => replica.record_success(),
            Outcome::Denied(_) => replica.record_overload(now),
            Outcome::NotSent | Outcome::Failed | Outcome::TimedOut | Outcome::Cut => {
                replica.record_failure(now);
            }
        }
    }

    fn record_duration(&mut self, now: Duration, attempt: &Attempt) {
        let seconds = now.saturating_sub(attempt.sent_at).as_secs_f64();
        if let Some(pool) = self.pools.get_mut(attempt.target) {
            pool.record_duration(seconds);
            if attempt.progress == Progress::Sent {
                pool.record_first_byte(seconds);
            }
        }
    }

    fn learn_from_response(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        version: key::Version,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        self.record_duration(now, attempt);
        let Some(request) = self.requests.get(attempt.request) else {
            return;
        };
        let class = request.class;
        let sample = Sample {
            bucket: Bucket::from(answer.confidence),
            position: position(attempt, request.fallback.is_some()),
            at: Some(now),
        };
        let took = now.saturating_sub(attempt.sent_at);
        self.learn_token_time(now, attempt, version, answer, actions);
        let tokens = answer.completion_tokens;
        self.knowledge
            .record_measurement(version, class, f64::from(tokens), took.as_secs_f64());
        if let Some(entry) = self.policy.versions.get(version.index()) {
            let key = self.knowledge.class_key(class);
            self.outbox.record_response(&entry.id, key, sample);
            self.outbox.record_measurement(&entry.id, key, tokens, took);
        }
        let seen = ObservedResponses {
            sample,
            count: 1.0,
            order: Order::Known,
        };
        self.learn_from_responses(now, version, class, seen, actions);
    }

    /// Records the time per token, which unlike the time to the first token doesn't grow with the
    /// queue of a full engine.
    fn learn_token_time(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        version: key::Version,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Progress::Started(first) = attempt.progress else {
            return;
        };
        let tokens = f64::from(answer.completion_tokens.max(1));
        let token_time = now.saturating_sub(first).as_secs_f64() / tokens;
        let usual = self.knowledge.record_token_time(version, token_time);
        if let Some(usual) = usual {
            let scope = self.health.latency_scope(version);
            let ratio = token_time.max(1e-6) / usual.max(1e-6);
            self.observe_version(now, version, actions, |it| {
                it.record_token_time(now, scope, ratio);
            });
        }
    }

    pub(super) fn learn_from_responses(
        &mut self,
        now: Duration,
        version: key::Version,
        class: ClassIndex,
        seen: ObservedResponses,
        actions: &mut Vec<Action>,
    ) {
        let ObservedResponses { sample, count, .. } = seen;
        let endpoints = self.directory.len(Target::Version(version));
        let normal = self.health.failure_baseline(version, endpoints);
        self.observe_version(now, version, actions, |it| {
            it.record_responses(now, normal, count);
        });
        let kind = ResponseKind {
            version,
            class,
            position: sample.position,
        };
        if let Some(baseline) = self.baseline(kind) {
            let confidence = ConfidenceObservation {
                bucket: sample.bucket,
                normal: self.knowledge.confidence_distribution(baseline),
                bad: self.knowledge.bad_confidence_distribution(baseline.version),
                responses: self.knowledge.responses(baseline),
                scope: self.health.quality_scope(version),
                order: seen.order,
            };
            self.observe_version(now, version, actions, |it| {
                it.record_confidence(now, &confidence, count);
            });
        }
        if self.feeds_baseline(version) {
            self.knowledge.record_responses(kind, sample.bucket, count);
        }
    }

    pub(super) fn learn_from_ratings(
        &mut self,
        now: Duration,
        version: key::Version,
        class: ClassIndex,
        rated: ObservedRatings,
        actions: &mut Vec<Action>,
    ) {
        let ObservedRatings { sample, good, bad } = rated;
        let scope = self.health.quality_scope(version);
        let normal = self.expected_bad_rate(version, class, sample);
        let seen = RatingObservation {
            good,
            bad,
            normal,
            scope,
            answered: sample.at,
        };
        self.observe_version(now, version, actions, |it| it.record_ratings(now, &seen));
        let kind = ResponseKind {
            version,
            class,
            position: sample.position,
        };
        if self.feeds_baseline(version) {
            self.knowledge
                .record_ratings(kind, sample.bucket, good, bad);
        }
    }

    /// Returns whether the confidence and ratings of the version's responses become part of its
    /// baseline. Those of a quarantined version don't: its probes would make bad results the norm
    /// and end the quarantine. Its latencies and token counts are recorded regardless.
    fn feeds_baseline(&self, version: key::Version) -> bool {
        !self.health.is_quarantined(version)
    }

    /// Returns the kind of responses to compare with: that of the version itself, or that of the
    /// version it replaces if it has too few responses.
    fn baseline(&self, kind: ResponseKind) -> Option<ResponseKind> {
        let known = |it: &ResponseKind| self.knowledge.responses(*it) >= MIN_BASELINE_RESPONSES;
        if known(&kind) {
            return Some(kind);
        }
        let version = self.replaced(kind.version)?;
        Some(ResponseKind { version, ..kind }).filter(known)
    }

    fn replaced(&self, version: key::Version) -> Option<key::Version> {
        let mut rollouts = self.policy.rollouts.iter();
        rollouts.find(|it| it.version == version)?.replaces
    }

    /// Returns the expected share of bad ratings for a response with the properties of `sample`.
    fn expected_bad_rate(&self, version: key::Version, class: ClassIndex, sample: Sample) -> f64 {
        let kind = |version| ResponseKind {
            version,
            class,
            position: sample.position,
        };
        let known = |it: &key::Version| self.knowledge.ratings(*it, class) >= MIN_BASELINE_RATINGS;
        let baseline = Some(version)
            .filter(known)
            .or_else(|| self.replaced(version).filter(known));
        let of = |it| self.knowledge.bad_rating_chance(kind(it), sample.bucket);
        match baseline {
            Some(it) => of(it),
            None => of(version).max(MIN_BAD_RATE_WITHOUT_BASELINE),
        }
    }

    /// Passes the version's monitor to `observe`, and handles a change of the verdict.
    pub(super) fn observe_version(
        &mut self,
        now: Duration,
        version: key::Version,
        actions: &mut Vec<Action>,
        observe: impl FnOnce(&mut Monitor),
    ) {
        let Some(monitor) = self.health.get_mut(version) else {
            return;
        };
        let before = monitor.verdict();
        observe(monitor);
        let verdict = monitor.verdict();
        if verdict == before {
            return;
        }
        actions.push(Action::Version { version, verdict });
        self.health.count_quarantined();
        self.plans.invalidate();
        self.reported_last_resorts
            .retain(|it| it.version != version);
        let policy = Arc::clone(&self.policy);
        if version.index() < policy.versions.len() {
            // Requests that wait for the version may now need another one.
            self.drain(now, Target::Version(version), actions);
        }
    }
}

/// Returns `Later` if another response was kept as fallback before this one, unless this is the
/// response of a probe or exploration.
fn position(attempt: &Attempt, has_fallback: bool) -> StepPosition {
    if has_fallback && !attempt.step.is_probe() {
        StepPosition::Later
    } else {
        StepPosition::First
    }
}
