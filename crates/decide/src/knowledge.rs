//! Statistics of all versions by request class, and forecasts from them.

use std::time::Duration;

use kernel::Money;

use crate::class_traffic::ClassTraffic;
use crate::confidence_model::{ConfidenceModel, Fit};
use crate::evidence::BUCKETS;
use crate::forecast::Forecast;
use crate::histogram::{Bucket, ConfidenceHistogram};
use crate::meter::Mean;
use crate::number::{count, float};
use crate::response_stats::{ResponseStats, StepPosition};
use crate::rollout_controller::Comparison;
use crate::version_stats::VersionStats;
use crate::{Policy, key};

/// The maximum number of classes; further ones share the default class.
const MAX_CLASSES: usize = 32;
/// The weight, in ratings, of the distributions over all versions as the prior of
/// one version's distributions.
const VERSION_PRIOR_WEIGHT: f64 = 60.0;
/// The weight, in ratings, of the built-in prior for the distributions over all
/// versions.
const OVERALL_PRIOR_WEIGHT: f64 = 30.0;
/// The number of prompt tokens, and of completion tokens, to assume of a request
/// before any were counted.
const DEFAULT_TOKENS: f64 = 256.0;

/// Statistics of all versions by request class.
#[derive(Debug)]
pub(crate) struct Knowledge {
    classes: Vec<ClassTraffic>,
    versions: Vec<VersionStats>,
    /// Ratings of all versions together.
    all_ratings: ConfidenceHistogram,
    prior: ConfidenceModel,
    /// The confidence distributions estimated from `all_ratings`.
    general: ConfidenceModel,
    /// Increases with each record of responses or ratings and each policy, to detect
    /// outdated plans.
    revision: u64,
}

/// The index of a class in `Knowledge::classes` and `VersionStats::classes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ClassIndex(pub(crate) usize);

/// The version, class and cascade position that a response belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseKind {
    pub(crate) version: key::Version,
    pub(crate) class: ClassIndex,
    pub(crate) position: StepPosition,
}

impl Knowledge {
    /// Creates an instance with priors only; `noise` is the prior fraction of wrong
    /// ratings.
    pub(crate) fn new(noise: f64) -> Self {
        let prior = ConfidenceModel::prior(noise);
        Self {
            classes: Vec::new(),
            versions: Vec::new(),
            all_ratings: ConfidenceHistogram::default(),
            prior,
            general: prior,
            revision: 0,
        }
    }

    /// Remaps the statistics to the keys of a new policy. `old_keys` has the previous
    /// key of each version, if there was one.
    pub(crate) fn configure(&mut self, policy: &Policy, old_keys: &[Option<key::Version>]) {
        let mut old: Vec<_> = self.versions.drain(..).map(Some).collect();
        let reference_cost = |it: &crate::policy::Version| it.cost(1_000_000, 1_000_000);
        let mut prices: Vec<Money> = policy.versions.iter().map(reference_cost).collect();
        prices.sort_unstable();
        prices.dedup();
        let top = count(prices.len().saturating_sub(1)).max(1.0);
        for (version, old_key) in policy.versions.iter().zip(old_keys) {
            let known = old_key.and_then(|it| old.get_mut(it.index())?.take());
            let mut it = known.unwrap_or_else(|| VersionStats::new(self.general));
            it.price_rank = count(prices.partition_point(|it| *it < reference_cost(version))) / top;
            self.versions.push(it);
        }
        self.revision += 1;
    }

    /// Returns the index of a class, adding it if the table isn't full; otherwise
    /// the default class.
    pub(crate) fn class_index(&mut self, key: key::Class) -> ClassIndex {
        if let Some(at) = self.classes.iter().position(|it| it.key == key) {
            return ClassIndex(at);
        }
        if self.classes.is_empty() && key != key::Class::default() {
            self.class_index(key::Class::default());
        }
        if self.classes.len() == MAX_CLASSES {
            return ClassIndex(0);
        }
        self.classes.push(ClassTraffic::new(key));
        ClassIndex(self.classes.len() - 1)
    }

    /// Returns the key of the class at an index.
    pub(crate) fn class_key(&self, class: ClassIndex) -> key::Class {
        let it = self.classes.get(class.0);
        it.map_or_else(key::Class::default, |it| it.key)
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn record_arrival(&mut self, class: ClassIndex, prompt_tokens: u32) {
        self.classes[class.0].prompt.add(f64::from(prompt_tokens));
    }

    /// Returns each class with its numbers of requests without and with a version
    /// pinned by the session.
    pub(crate) fn request_counts(
        &self,
    ) -> impl Iterator<Item = (ClassIndex, key::Class, f64, f64)> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(at, it)| (ClassIndex(at), it.key, it.free, it.pinned))
    }

    /// Returns the statistics of a class.
    pub(crate) fn traffic(&self, class: ClassIndex) -> &ClassTraffic {
        &self.classes[class.0]
    }

    /// Returns the statistics of a class for update.
    pub(crate) fn traffic_mut(&mut self, class: ClassIndex) -> &mut ClassTraffic {
        &mut self.classes[class.0]
    }

    /// Records the cost of a response.
    pub(crate) fn record_cost(&mut self, now: Duration, class: ClassIndex, cost: Money) {
        self.classes[class.0].spending.add(now, float(cost.0));
    }

    /// Returns the value of a rating of a response of this kind, in arbitrary units. It
    /// grows with the spending of the class and the uncertainty of the estimate.
    pub(crate) fn rating_value(&self, now: Duration, kind: ResponseKind) -> f64 {
        let spending = self.classes[kind.class.0].spending.rate(now);
        let it = self.versions.get(kind.version.index());
        let fit = it.map(|it| it.cached_fit(kind));
        let uncertainty = fit.map_or(0.0, |it| it.variance() / (it.weight + 1.0));
        spending.sqrt() * uncertainty
    }

    /// Records complete responses.
    pub(crate) fn record_responses(&mut self, kind: ResponseKind, bucket: Bucket, responses: f64) {
        self.revision += 1;
        if let Some(it) = self.versions.get_mut(kind.version.index()) {
            it.overall
                .step_mut(kind.position)
                .record_responses(bucket, responses);
            it.class_mut(kind.class)
                .step_mut(kind.position)
                .record_responses(bucket, responses);
        }
    }

    /// Records the completion tokens and latency of a response.
    pub(crate) fn record_measurement(
        &mut self,
        version: key::Version,
        class: ClassIndex,
        completion: f64,
        seconds: f64,
    ) {
        self.classes[class.0].completion.add(completion);
        if let Some(it) = self.versions.get_mut(version.index()) {
            it.overall.record_measurement(completion, seconds);
            it.class_mut(class).record_measurement(completion, seconds);
        }
    }

    /// Records ratings and updates the confidence distributions.
    pub(crate) fn record_ratings(
        &mut self,
        kind: ResponseKind,
        bucket: Bucket,
        good: f64,
        bad: f64,
    ) {
        self.revision += 1;
        self.all_ratings.record_ratings(bucket, good, bad);
        let prior = self.prior.with_noise_from(&self.all_ratings);
        self.general = prior.updated(&self.all_ratings, OVERALL_PRIOR_WEIGHT);
        if let Some(it) = self.versions.get_mut(kind.version.index()) {
            it.all_ratings.record_ratings(bucket, good, bad);
            it.model = self.general.updated(&it.all_ratings, VERSION_PRIOR_WEIGHT);
            it.overall
                .step_mut(kind.position)
                .record_ratings(bucket, good, bad);
            it.class_mut(kind.class)
                .step_mut(kind.position)
                .record_ratings(bucket, good, bad);
        }
    }

    /// Records the seconds per token of a response and returns the previous mean,
    /// if it is based on enough responses.
    pub(crate) fn record_token_time(&mut self, version: key::Version, seconds: f64) -> Option<f64> {
        let it = self.versions.get_mut(version.index())?;
        let usual = it.token_time.value(20);
        it.token_time.add(seconds);
        usual
    }

    /// Returns the response latency in seconds: that of the class if it has enough
    /// samples, else that of the version.
    pub(crate) fn latency(&self, version: key::Version, class: ClassIndex) -> Option<Mean> {
        let it = self.versions.get(version.index())?;
        let own = it.classes.get(class.0).map(|it| it.latency);
        own.filter(|it| it.value(5).is_some())
            .or(Some(it.overall.latency))
    }

    /// Returns the expected number of completion tokens and a high estimate.
    pub(crate) fn completion(&self, version: key::Version, class: ClassIndex) -> (f64, f64) {
        let own = self.stats(version, class).map(|it| it.completion);
        let shared = self.classes.get(class.0).map(|it| it.completion);
        let known = own.filter(|it| it.value(5).is_some()).or(shared);
        let mean = known.and_then(|it| it.value(1)).unwrap_or(DEFAULT_TOKENS);
        let high = known.and_then(|it| it.high(5)).unwrap_or(2.0 * mean);
        (mean, high)
    }

    /// Returns the distribution of responses of this kind over the confidence buckets.
    pub(crate) fn confidence_distribution(&self, kind: ResponseKind) -> [f64; BUCKETS] {
        let it = self.versions.get(kind.version.index());
        it.map_or([0.0; BUCKETS], |it| it.confidence_distribution(kind))
    }

    /// Returns the distribution of bad responses over the confidence buckets.
    pub(crate) fn bad_confidence_distribution(&self, version: key::Version) -> [f64; BUCKETS] {
        let it = self.versions.get(version.index());
        *it.map_or(&self.general, |it| &it.model).bad_distribution()
    }

    /// Returns the probability that a response of this kind and bucket is rated bad.
    pub(crate) fn bad_rating_chance(&self, kind: ResponseKind, bucket: Bucket) -> f64 {
        let it = self.versions.get(kind.version.index());
        it.map_or(0.5, |it| {
            let chance = it.model.chance(it.cached_fit(kind).share, bucket.index());
            it.model.bad_rating_chance(chance)
        })
    }

    /// Returns the decayed number of ratings of the version in the class, over all
    /// cascade steps.
    pub(crate) fn ratings(&self, version: key::Version, class: ClassIndex) -> f64 {
        let both = |it: &ResponseStats| it.first.histogram.ratings() + it.later.histogram.ratings();
        self.stats(version, class).map_or(0.0, both)
    }

    /// Returns the decayed number of responses of this kind.
    pub(crate) fn responses(&self, kind: ResponseKind) -> f64 {
        let stats = self.stats(kind.version, kind.class);
        stats.map_or(0.0, |it| it.step(kind.position).histogram.responses())
    }

    /// Compares the quality of two versions over all classes, at the first step of a
    /// cascade.
    pub(crate) fn compare(&self, version: key::Version, with: key::Version) -> Comparison {
        let one = self.overall_quality(version);
        let other = self.overall_quality(with);
        Comparison {
            difference: one.share - other.share,
            error: (one.variance() + other.variance()).sqrt(),
        }
    }

    /// Forecasts the cost and quality of a version in a class.
    pub(crate) fn forecast(
        &mut self,
        policy: &Policy,
        version: key::Version,
        class: ClassIndex,
    ) -> Forecast {
        let entry = &policy.versions[version.index()];
        let prompt = self.classes.get(class.0).and_then(|it| it.prompt.value(1));
        let (completion, _) = self.completion(version, class);
        let cost = price_per_token(entry.prompt_price) * prompt.unwrap_or(DEFAULT_TOKENS)
            + price_per_token(entry.completion_price) * completion;
        let ratings = self.ratings(version, class);
        let it = &mut self.versions[version.index()];
        it.class_mut(class);
        Forecast {
            version,
            cost,
            first: it.curve(class, StepPosition::First),
            later: it.curve(class, StepPosition::Later),
            ratings,
        }
    }

    fn overall_quality(&self, version: key::Version) -> Fit {
        let it = &self.versions[version.index()];
        let histogram = &it.overall.first.histogram;
        let (good, bad) = (histogram.good_ratings(), histogram.bad_ratings());
        Fit {
            share: (it.model.truly_good(good, bad) + 1.0) / (good + bad + 2.0),
            weight: good + bad + 2.0,
        }
    }

    pub(crate) fn stats(&self, version: key::Version, class: ClassIndex) -> Option<&ResponseStats> {
        self.versions.get(version.index())?.classes.get(class.0)
    }
}

/// Returns the price in microcents per token.
fn price_per_token(per_million: Money) -> f64 {
    float(per_million.0) / 1e6
}
