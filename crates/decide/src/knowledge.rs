//! What this host has learned of all versions in all classes.

use kernel::Money;

use crate::belief::{Belief, Bucket, Turn};
use crate::evidence::BUCKETS;
use crate::forecast::Forecast;
use crate::meter::Mean;
use crate::number::{count, float};
use crate::pilot::Comparison;
use crate::{Policy, key};

/// Classes that are told apart; further ones count as the first.
const CLASSES: usize = 32;
/// How many answers the prior distribution of confidence is worth.
const SPREAD_WEIGHT: f64 = 6.0;
/// How many ratings in a bucket its prior is worth.
const CURVE_WEIGHT: f64 = 3.0;
/// How many ratings the prior for later turns is worth.
const LATER_WEIGHT: f64 = 8.0;
/// How much more often an answer is bad where another's was rejected, before
/// any rating tells.
const LATER_ODDS: f64 = 1.6;
/// Completion and prompt tokens of a request, before any answer tells.
const TOKENS: f64 = 256.0;

/// What this host has learned of all versions in all classes.
#[derive(Debug, Default)]
pub(crate) struct Knowledge {
    classes: Vec<Class>,
    versions: Vec<Version>,
    /// Over all versions: how often an answer of a bucket is good.
    curve: Belief,
    /// Rises with what is learned, so that old plans are known as such.
    changes: u64,
}

#[derive(Clone, Copy, Debug)]
struct Class {
    key: key::Class,
    prompt: Mean,
    completion: Mean,
}

#[derive(Clone, Debug, Default)]
struct Version {
    /// Where its price stands among all: 0 is the cheapest, 1 the dearest.
    rank: f64,
    overall: Belief,
    classes: Vec<Belief>,
}

/// A class's place in the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ClassIndex(pub(crate) usize);

impl Knowledge {
    /// Keeps what is known under the new policy's keys; `moved` gives the old
    /// key of each version that there was before.
    pub(crate) fn configure(&mut self, policy: &Policy, moved: &[Option<key::Version>]) {
        let mut old = std::mem::take(&mut self.versions);
        let price = |it: &crate::policy::Version| it.cost(1_000_000, 1_000_000);
        let mut prices: Vec<Money> = policy.versions.iter().map(price).collect();
        prices.sort_unstable();
        prices.dedup();
        let top = count(prices.len().saturating_sub(1)).max(1.0);
        for (version, was) in policy.versions.iter().zip(moved) {
            let known = was.and_then(|it| old.get_mut(it.index()));
            let mut it = known.map(std::mem::take).unwrap_or_default();
            it.rank = count(prices.partition_point(|it| *it < price(version))) / top;
            self.versions.push(it);
        }
        self.changes += 1;
    }

    /// The class's place; a new one gets one as long as there is room.
    pub(crate) fn class(&mut self, key: key::Class) -> ClassIndex {
        if let Some(at) = self.classes.iter().position(|it| it.key == key) {
            return ClassIndex(at);
        }
        if self.classes.is_empty() && key != key::Class::default() {
            self.class(key::Class::default());
        }
        if self.classes.len() == CLASSES {
            return ClassIndex(0);
        }
        self.classes.push(Class {
            key,
            prompt: Mean::default(),
            completion: Mean::default(),
        });
        ClassIndex(self.classes.len() - 1)
    }

    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn arrived(&mut self, class: ClassIndex, prompt_tokens: u32) {
        self.classes[class.0].prompt.add(f64::from(prompt_tokens));
    }

    /// Whole answers; those of later turns don't tell how confidence spreads
    /// over requests as they come.
    pub(crate) fn answered(
        &mut self,
        version: key::Version,
        class: ClassIndex,
        bucket: Bucket,
        answers: f64,
    ) {
        self.changes += 1;
        if let Some(it) = self.versions.get_mut(version.index()) {
            it.overall.answered(bucket, answers);
            it.class(class).answered(bucket, answers);
        }
    }

    /// Tokens and seconds of an answer.
    pub(crate) fn measured(
        &mut self,
        version: key::Version,
        class: ClassIndex,
        completion: f64,
        seconds: f64,
    ) {
        self.classes[class.0].completion.add(completion);
        if let Some(it) = self.versions.get_mut(version.index()) {
            it.overall.measured(completion, seconds);
            it.class(class).measured(completion, seconds);
        }
    }

    pub(crate) fn rated(
        &mut self,
        version: key::Version,
        class: ClassIndex,
        bucket: Bucket,
        turn: Turn,
        good: f64,
        bad: f64,
    ) {
        self.changes += 1;
        self.curve.rated(bucket, Turn::First, good, bad);
        if let Some(it) = self.versions.get_mut(version.index()) {
            it.overall.rated(bucket, turn, good, bad);
            it.class(class).rated(bucket, turn, good, bad);
        }
    }

    /// How long an answer takes and how long few take, in seconds.
    pub(crate) fn latency(&self, version: key::Version, class: ClassIndex) -> Option<Mean> {
        let it = self.versions.get(version.index())?;
        let own = it.classes.get(class.0).map(|it| it.latency);
        own.filter(|it| it.value(5).is_some())
            .or(Some(it.overall.latency))
    }

    /// The completion tokens to expect, and a number that few answers exceed.
    pub(crate) fn completion(&self, version: key::Version, class: ClassIndex) -> (f64, f64) {
        let own = self.belief(version, class).map(|it| it.completion);
        let shared = self.classes.get(class.0).map(|it| it.completion);
        let known = own.filter(|it| it.value(5).is_some()).or(shared);
        let mean = known.and_then(|it| it.value(1)).unwrap_or(TOKENS);
        let high = known.and_then(|it| it.high(5)).unwrap_or(2.0 * mean);
        (mean, high)
    }

    /// How the version's confidence spreads over the buckets.
    pub(crate) fn spread(&self, version: key::Version, class: ClassIndex) -> [f64; BUCKETS] {
        let Some(it) = self.versions.get(version.index()) else {
            return [0.0; BUCKETS];
        };
        let prior = blend(&it.overall.answered, &prior_spread(it.rank), SPREAD_WEIGHT);
        match it.classes.get(class.0) {
            Some(own) => blend(&own.answered, &prior, SPREAD_WEIGHT),
            None => prior,
        }
    }

    /// How the confidence of bad answers spreads over the buckets.
    pub(crate) fn bad_spread(&self, version: key::Version) -> [f64; BUCKETS] {
        let all = blend(&self.curve.bad, &prior_spread(0.0), 16.0);
        match self.versions.get(version.index()) {
            Some(it) => blend(&it.overall.bad, &all, 10.0),
            None => all,
        }
    }

    /// The chance that an answer of this bucket is good, and how many ratings say so.
    pub(crate) fn chance(
        &self,
        version: key::Version,
        class: ClassIndex,
        bucket: Bucket,
    ) -> Chance {
        let at = bucket.index();
        let general = Chance::prior(0.2 + 0.75 * bucket.middle(), 2.0);
        let general = general.seen(self.curve.good[at], self.curve.bad[at]);
        let Some(it) = self.versions.get(version.index()) else {
            return general;
        };
        let overall = Chance::prior(general.mean(), CURVE_WEIGHT);
        let overall = overall.seen(it.overall.good[at], it.overall.bad[at]);
        let own = Chance::prior(overall.mean(), CURVE_WEIGHT.min(overall.weight()));
        match it.classes.get(class.0) {
            Some(belief) => own.seen(belief.good[at], belief.bad[at]),
            None => own,
        }
    }

    /// Ratings of the version in the class.
    pub(crate) fn ratings(&self, version: key::Version, class: ClassIndex) -> f64 {
        self.belief(version, class).map_or(0.0, Belief::ratings)
    }

    /// Answers of the version in the class.
    pub(crate) fn answers(&self, version: key::Version, class: ClassIndex) -> f64 {
        self.belief(version, class).map_or(0.0, Belief::answers)
    }

    /// The class that stands at a place.
    pub(crate) fn class_key(&self, class: ClassIndex) -> key::Class {
        self.classes
            .get(class.0)
            .map_or_else(key::Class::default, |it| it.key)
    }

    /// The share of good answers after another version's was rejected.
    pub(crate) fn later(&self, version: key::Version, class: ClassIndex) -> f64 {
        let spread = self.spread(version, class);
        let share = |it: Bucket| spread[it.index()] * self.chance(version, class, it).mean();
        let quality = Bucket::all().map(share).sum();
        self.later_chance(version, class, quality).mean()
    }

    /// How one version's ratings compare with another's over all classes.
    pub(crate) fn compare(&self, version: key::Version, with: key::Version) -> Comparison {
        let one = self.overall(version);
        let other = self.overall(with);
        Comparison {
            difference: one.mean() - other.mean(),
            error: (one.variance() + other.variance()).sqrt(),
        }
    }

    /// What to expect of a version in a class.
    pub(crate) fn forecast(
        &self,
        policy: &Policy,
        version: key::Version,
        class: ClassIndex,
    ) -> Forecast {
        let entry = &policy.versions[version.index()];
        let prompt = self.classes.get(class.0).and_then(|it| it.prompt.value(1));
        let (completion, _) = self.completion(version, class);
        let spread = self.spread(version, class);
        let mut it = Forecast {
            version,
            cost: price(entry.prompt_price) * prompt.unwrap_or(TOKENS)
                + price(entry.completion_price) * completion,
            pass: [0.0; BUCKETS + 1],
            good: [0.0; BUCKETS + 1],
            variance: [0.0; BUCKETS + 1],
            later: 0.0,
            later_variance: 0.0,
            ratings: self.ratings(version, class),
        };
        for bucket in Bucket::all().rev() {
            let chance = self.chance(version, class, bucket);
            let at = bucket.index();
            let share = spread[at];
            it.pass[at] = it.pass[at + 1] + share;
            it.good[at] = it.good[at + 1] + share * chance.mean();
            it.variance[at] = it.variance[at + 1] + share * share * chance.variance();
        }
        let later = self.later_chance(version, class, it.good[0]);
        it.later = later.mean();
        it.later_variance = later.variance();
        it
    }

    fn later_chance(&self, version: key::Version, class: ClassIndex, quality: f64) -> Chance {
        let worse = (1.0 - LATER_ODDS * (1.0 - quality)).max(0.0);
        let seen = self.belief(version, class);
        Chance::prior(worse, LATER_WEIGHT).seen(
            seen.map_or(0.0, |it| it.later_good),
            seen.map_or(0.0, |it| it.later_bad),
        )
    }

    fn overall(&self, version: key::Version) -> Chance {
        let it = self.versions.get(version.index()).map(|it| it.overall);
        let it = it.unwrap_or_default();
        Chance::prior(0.5, 2.0).seen(it.good.iter().sum(), it.bad.iter().sum())
    }

    fn belief(&self, version: key::Version, class: ClassIndex) -> Option<&Belief> {
        self.versions.get(version.index())?.classes.get(class.0)
    }
}

impl Version {
    fn class(&mut self, class: ClassIndex) -> &mut Belief {
        if self.classes.len() <= class.0 {
            self.classes.resize_with(class.0 + 1, Belief::default);
        }
        &mut self.classes[class.0]
    }
}

/// A Beta distribution over a chance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chance {
    good: f64,
    bad: f64,
}

impl Chance {
    fn prior(mean: f64, weight: f64) -> Self {
        let mean = mean.clamp(0.02, 0.98);
        Self {
            good: mean * weight,
            bad: (1.0 - mean) * weight,
        }
    }

    fn seen(self, good: f64, bad: f64) -> Self {
        Self {
            good: self.good + good,
            bad: self.bad + bad,
        }
    }

    fn weight(self) -> f64 {
        self.good + self.bad
    }

    pub(crate) fn mean(self) -> f64 {
        self.good / self.weight()
    }

    fn variance(self) -> f64 {
        let mean = self.mean();
        mean * (1.0 - mean) / (self.weight() + 1.0)
    }
}

/// Before any answer: the dearer the version, the surer its answers.
fn prior_spread(rank: f64) -> [f64; BUCKETS] {
    let centre = 0.55 + 0.35 * rank;
    let mut it = [0.0; BUCKETS];
    for bucket in Bucket::all() {
        let far = (bucket.middle() - centre) / 0.25;
        it[bucket.index()] = (-far * far).exp();
    }
    blend(&it, &[0.0; BUCKETS], 0.0)
}

/// The shares of `counts`, with `prior` shares worth `weight` counts.
fn blend(counts: &[f64; BUCKETS], prior: &[f64; BUCKETS], weight: f64) -> [f64; BUCKETS] {
    let total = counts.iter().sum::<f64>() + weight;
    std::array::from_fn(|at| (counts[at] + weight * prior[at]) / total)
}

/// Microcents a token.
fn price(per_million: Money) -> f64 {
    float(per_million.0) / 1e6
}
