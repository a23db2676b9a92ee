//! Learning from outcomes, ratings and other hosts' evidence.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::Decider;
use crate::attempt::{Attempt, Progress};
use crate::belief::Turn;
use crate::directory::Target;
use crate::event::{Quality, Rating};
use crate::knowledge::{ClassIndex, Kind};
use crate::monitor::{Confidence, Monitor, Order, Ratings};
use crate::outcome::{Answer, Denial, Outcome};
use crate::policy::State;
use crate::samples::Sample;
use crate::tally::Bucket;
use crate::{Action, key};

/// Number of responses from which the baseline of a version's confidence is known.
const ANSWERS: f64 = 100.0;
/// Number of ratings from which the baseline of a version's quality is known.
const RATINGS: f64 = 40.0;
/// Lowest expected share of bad ratings for a version without a quality baseline, so that it is
/// quarantined only if most of its responses are bad.
const UNKNOWN_BAD: f64 = 0.5;

/// A number of responses with the same properties.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seen {
    pub(super) sample: Sample,
    pub(super) count: f64,
    pub(super) order: Order,
}

/// A number of ratings of responses with the same properties.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rated {
    pub(super) sample: Sample,
    pub(super) good: f64,
    pub(super) bad: f64,
}

impl Decider {
    /// Records the outcome of an attempt.
    pub(super) fn learn(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pool) = self.pools.get_mut(attempt.target) {
            pool.departed(now);
        }
        self.learn_of_replica(now, attempt, outcome);
        let Target::Version(version) = attempt.target else {
            if outcome == Outcome::Served {
                self.learn_seconds(now, attempt);
            }
            return;
        };
        match outcome {
            Outcome::Answered(answer) => self.learn_answer(now, attempt, version, answer, actions),
            Outcome::Failed | Outcome::Cut | Outcome::TimedOut => {
                self.learn_failure(now, attempt, version, outcome, actions);
            }
            // The request didn't run, so the outcome isn't evidence about the version.
            Outcome::NotSent | Outcome::Denied(_) | Outcome::Served => {}
        }
    }

    /// Requests a rating of a response, depending on the value of a further rating.
    pub(super) fn sample(
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
        let kind = Kind {
            version,
            class: request.class,
            turn: turn(attempt, request.kept.is_some()),
        };
        let class = self.knowledge.class_key(request.class);
        let Some(entry) = self.policy.versions.get(version.index()) else {
            return;
        };
        let insists = attempt.step.is_probe()
            || matches!(entry.state, State::Trial(_))
            || self.health.get(version).is_some_and(Monitor::is_suspect);
        let most = self.tuning.sample_rate;
        let known = self.knowledge.ratings(version, kind.class) >= 4.0 * RATINGS;
        let sparing = known && self.random.random::<f64>() >= self.tuning.sample_share;
        let wanted = if sparing {
            false
        } else if insists {
            self.sampler.insists(now, most)
        } else {
            let value = self.knowledge.value_of_rating(now, kind);
            self.sampler.wants(now, value, most, &mut self.random)
        };
        if !wanted {
            return;
        }
        let sample = Sample {
            bucket: Bucket::from(answer.confidence),
            turn: kind.turn,
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
    pub(super) fn rated(&mut self, now: Duration, rating: &Rating, actions: &mut Vec<Action>) {
        let Some(version) = self.policy.version(&rating.version) else {
            return;
        };
        let Some(sample) = self.samples.take(rating.request, &rating.version) else {
            return;
        };
        self.sampler.returned(now);
        self.outbox
            .rated(&rating.version, rating.class, sample, rating.verdict);
        let class = self.knowledge.class(rating.class);
        let (good, bad) = match rating.verdict {
            Quality::Good => (1.0, 0.0),
            Quality::Bad => (0.0, 1.0),
        };
        let rated = Rated { sample, good, bad };
        self.learn_rating(now, version, class, rated, actions);
    }

    fn learn_of_replica(&mut self, now: Duration, attempt: &Attempt, outcome: Outcome) {
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
            Outcome::Answered(_) | Outcome::Served => replica.succeeded(),
            Outcome::Denied(_) => replica.overloaded(now),
            Outcome::NotSent | Outcome::Failed | Outcome::TimedOut | Outcome::Cut => {
                replica.failed(now);
            }
        }
    }

    fn learn_seconds(&mut self, now: Duration, attempt: &Attempt) {
        let seconds = now.saturating_sub(attempt.sent).as_secs_f64();
        if let Some(pool) = self.pools.get_mut(attempt.target) {
            pool.answered(seconds);
            if attempt.progress == Progress::Sent {
                pool.first_byte(seconds);
            }
        }
    }

    fn learn_answer(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        version: key::Version,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        self.learn_seconds(now, attempt);
        let Some(request) = self.requests.get(attempt.request) else {
            return;
        };
        let class = request.class;
        let sample = Sample {
            bucket: Bucket::from(answer.confidence),
            turn: turn(attempt, request.kept.is_some()),
            at: Some(now),
        };
        let took = now.saturating_sub(attempt.sent);
        self.learn_pace(now, attempt, version, answer, actions);
        let tokens = answer.completion_tokens;
        self.knowledge
            .measured(version, class, f64::from(tokens), took.as_secs_f64());
        if let Some(entry) = self.policy.versions.get(version.index()) {
            let key = self.knowledge.class_key(class);
            self.outbox.answered(&entry.id, key, sample);
            self.outbox.measured(&entry.id, key, tokens, took);
        }
        let seen = Seen {
            sample,
            count: 1.0,
            order: Order::Known,
        };
        self.learn_answers(now, version, class, seen, actions);
    }

    /// Records the time per token, which unlike the time to the first token doesn't grow with the
    /// queue of a full engine.
    fn learn_pace(
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
        let pace = now.saturating_sub(first).as_secs_f64() / tokens;
        let usual = self.knowledge.pace(version, pace);
        if let Some(usual) = usual {
            let scope = self.health.latency_scope(version);
            let ratio = pace.max(1e-6) / usual.max(1e-6);
            self.judge(now, version, actions, |it| it.took(now, scope, ratio));
        }
    }

    pub(super) fn learn_answers(
        &mut self,
        now: Duration,
        version: key::Version,
        class: ClassIndex,
        seen: Seen,
        actions: &mut Vec<Action>,
    ) {
        let Seen { sample, count, .. } = seen;
        let endpoints = self.directory.len(Target::Version(version));
        let normal = self.health.normal(version, endpoints);
        self.judge(now, version, actions, |it| it.answered(now, normal, count));
        let kind = Kind {
            version,
            class,
            turn: sample.turn,
        };
        if let Some(baseline) = self.baseline(kind) {
            let confidence = Confidence {
                bucket: sample.bucket,
                normal: self.knowledge.spread(baseline),
                bad: self.knowledge.bad_spread(baseline.version),
                answers: self.knowledge.answers(baseline),
                scope: self.health.quality_scope(version),
                order: seen.order,
            };
            self.judge(now, version, actions, |it| {
                it.confident(now, &confidence, count);
            });
        }
        if self.is_usual(version) {
            self.knowledge.answered(kind, sample.bucket, count);
        }
    }

    pub(super) fn learn_rating(
        &mut self,
        now: Duration,
        version: key::Version,
        class: ClassIndex,
        rated: Rated,
        actions: &mut Vec<Action>,
    ) {
        let Rated { sample, good, bad } = rated;
        let scope = self.health.quality_scope(version);
        let normal = self.usually_bad(version, class, sample);
        let seen = Ratings {
            good,
            bad,
            normal,
            scope,
            answered: sample.at,
        };
        self.judge(now, version, actions, |it| it.rated(now, &seen));
        let kind = Kind {
            version,
            class,
            turn: sample.turn,
        };
        if self.is_usual(version) {
            self.knowledge.rated(kind, sample.bucket, good, bad);
        }
    }

    /// Returns whether observations of the version become part of its baseline. Those of a
    /// quarantined version don't: its probes would make bad results the norm and end the quarantine.
    fn is_usual(&self, version: key::Version) -> bool {
        !self.health.is_quarantined(version)
    }

    /// Returns the kind of responses to compare with: that of the version itself, or that of the
    /// version it replaces if it has too few responses.
    fn baseline(&self, kind: Kind) -> Option<Kind> {
        let known = |it: &Kind| self.knowledge.answers(*it) >= ANSWERS;
        if known(&kind) {
            return Some(kind);
        }
        let version = self.replaced(kind.version)?;
        Some(Kind { version, ..kind }).filter(known)
    }

    fn replaced(&self, version: key::Version) -> Option<key::Version> {
        let mut rollouts = self.policy.rollouts.iter();
        rollouts.find(|it| it.version == version)?.replaces
    }

    /// Returns the expected share of bad ratings for such a response.
    fn usually_bad(&self, version: key::Version, class: ClassIndex, sample: Sample) -> f64 {
        let kind = |version| Kind {
            version,
            class,
            turn: sample.turn,
        };
        let known = |it: &key::Version| self.knowledge.ratings(*it, class) >= RATINGS;
        let baseline = Some(version)
            .filter(known)
            .or_else(|| self.replaced(version).filter(known));
        let of = |it| self.knowledge.rated_bad(kind(it), sample.bucket);
        match baseline {
            Some(it) => of(it),
            None => of(version).max(UNKNOWN_BAD),
        }
    }

    /// Passes the version's monitor to `observe`, and handles a change of the verdict.
    pub(super) fn judge(
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
        self.told.retain(|it| it.version != version);
        let policy = Arc::clone(&self.policy);
        if version.index() < policy.versions.len() {
            // Requests that wait for the version may now need another one.
            self.drain(now, Target::Version(version), actions);
        }
    }
}

/// Returns whether a response comes from the first version tried, or after the response of another
/// version had too low confidence.
fn turn(attempt: &Attempt, kept: bool) -> Turn {
    if kept && !attempt.step.is_probe() {
        Turn::Later
    } else {
        Turn::First
    }
}
