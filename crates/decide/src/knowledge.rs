//! What this host has learned of all versions in all classes.

use std::time::Duration;

use kernel::Money;

use crate::belief::{Belief, Turn};
use crate::class::Class;
use crate::evidence::BUCKETS;
use crate::forecast::Forecast;
use crate::meter::Mean;
use crate::number::{count, float};
use crate::pilot::Comparison;
use crate::record::Record;
use crate::shape::{Fit, Shape};
use crate::tally::{Bucket, Tally};
use crate::{Policy, key};

/// Classes that are told apart; further ones count as the first.
const CLASSES: usize = 32;
/// How many ratings the general shape of confidence is worth to a version.
const SHAPE_WEIGHT: f64 = 60.0;
/// How many ratings the usual shape is worth before any came.
const GENERAL_WEIGHT: f64 = 30.0;
/// Completion and prompt tokens of a request, before any answer tells.
const TOKENS: f64 = 256.0;

/// What this host has learned of all versions in all classes.
#[derive(Debug)]
pub(crate) struct Knowledge {
    classes: Vec<Class>,
    versions: Vec<Record>,
    /// Ratings of all versions together, and the shape that they show.
    all: Tally,
    prior: Shape,
    general: Shape,
    /// Rises with what is learned, so that old plans are known as such.
    changes: u64,
}

/// A class's place in the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ClassIndex(pub(crate) usize);

/// Which answers are spoken of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) version: key::Version,
    pub(crate) class: ClassIndex,
    pub(crate) turn: Turn,
}

impl Knowledge {
    /// Nothing but priors; `noise` is the share of ratings that are wrong.
    pub(crate) fn new(noise: f64) -> Self {
        let prior = Shape::prior(noise);
        Self {
            classes: Vec::new(),
            versions: Vec::new(),
            all: Tally::default(),
            prior,
            general: prior,
            changes: 0,
        }
    }

    /// Keeps what is known under the new policy's keys; `moved` gives the old
    /// key of each version that there was before.
    pub(crate) fn configure(&mut self, policy: &Policy, moved: &[Option<key::Version>]) {
        let mut old: Vec<_> = self.versions.drain(..).map(Some).collect();
        let price = |it: &crate::policy::Version| it.cost(1_000_000, 1_000_000);
        let mut prices: Vec<Money> = policy.versions.iter().map(price).collect();
        prices.sort_unstable();
        prices.dedup();
        let top = count(prices.len().saturating_sub(1)).max(1.0);
        for (version, was) in policy.versions.iter().zip(moved) {
            let known = was.and_then(|it| old.get_mut(it.index())?.take());
            let mut it = known.unwrap_or_else(|| Record::new(self.general));
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
        self.classes.push(Class::new(key));
        ClassIndex(self.classes.len() - 1)
    }

    /// The class that stands at a place.
    pub(crate) fn class_key(&self, class: ClassIndex) -> key::Class {
        let it = self.classes.get(class.0);
        it.map_or_else(key::Class::default, |it| it.key)
    }

    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn arrived(&mut self, class: ClassIndex, prompt_tokens: u32) {
        self.classes[class.0].prompt.add(f64::from(prompt_tokens));
    }

    /// Each class with its requests without and with a version.
    pub(crate) fn turns(&self) -> impl Iterator<Item = (ClassIndex, key::Class, f64, f64)> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(at, it)| (ClassIndex(at), it.key, it.free, it.pinned))
    }

    /// What is known of a class.
    pub(crate) fn class_of(&self, class: ClassIndex) -> &Class {
        &self.classes[class.0]
    }

    /// The same, to be told more.
    pub(crate) fn class_of_mut(&mut self, class: ClassIndex) -> &mut Class {
        &mut self.classes[class.0]
    }

    /// An answer to a request of the class was paid for.
    pub(crate) fn spent(&mut self, now: Duration, class: ClassIndex, cost: Money) {
        self.classes[class.0].spending.add(now, float(cost.0));
    }

    /// How much a rating of such an answer would help, on a scale of its own:
    /// more where more is spent and where less is known.
    pub(crate) fn value_of_rating(&self, now: Duration, kind: Kind) -> f64 {
        let spending = self.classes[kind.class.0].spending.rate(now);
        let it = self.versions.get(kind.version.index());
        let fit = it.map(|it| it.known(kind));
        let doubt = fit.map_or(0.0, |it| it.variance() / (it.weight + 1.0));
        spending.sqrt() * doubt
    }

    /// Whole answers came.
    pub(crate) fn answered(&mut self, kind: Kind, bucket: Bucket, answers: f64) {
        self.changes += 1;
        if let Some(it) = self.versions.get_mut(kind.version.index()) {
            it.overall.view_mut(kind.turn).answered(bucket, answers);
            it.class_mut(kind.class)
                .view_mut(kind.turn)
                .answered(bucket, answers);
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
            it.class_mut(class).measured(completion, seconds);
        }
    }

    /// Ratings came.
    pub(crate) fn rated(&mut self, kind: Kind, bucket: Bucket, good: f64, bad: f64) {
        self.changes += 1;
        self.all.rated(bucket, good, bad);
        let prior = self.prior.denoised(&self.all);
        self.general = prior.learned(&self.all, GENERAL_WEIGHT);
        if let Some(it) = self.versions.get_mut(kind.version.index()) {
            it.all.rated(bucket, good, bad);
            it.shape = self.general.learned(&it.all, SHAPE_WEIGHT);
            it.overall.view_mut(kind.turn).rated(bucket, good, bad);
            it.class_mut(kind.class)
                .view_mut(kind.turn)
                .rated(bucket, good, bad);
        }
    }

    /// Takes the seconds between two tokens of an answer and returns how long they
    /// were before, as a rule.
    pub(crate) fn pace(&mut self, version: key::Version, seconds: f64) -> Option<f64> {
        let it = self.versions.get_mut(version.index())?;
        let usual = it.pace.value(20);
        it.pace.add(seconds);
        usual
    }

    /// How long an answer takes, in seconds.
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

    /// How the confidence of such answers spreads over the buckets.
    pub(crate) fn spread(&self, kind: Kind) -> [f64; BUCKETS] {
        let it = self.versions.get(kind.version.index());
        it.map_or([0.0; BUCKETS], |it| it.spread(kind))
    }

    /// How the confidence of bad answers spreads over the buckets.
    pub(crate) fn bad_spread(&self, version: key::Version) -> [f64; BUCKETS] {
        let it = self.versions.get(version.index());
        *it.map_or(&self.general, |it| &it.shape).bad()
    }

    /// The chance that such an answer is rated bad.
    pub(crate) fn rated_bad(&self, kind: Kind, bucket: Bucket) -> f64 {
        let it = self.versions.get(kind.version.index());
        it.map_or(0.5, |it| {
            let chance = it.shape.chance(it.known(kind).share, bucket.index());
            it.shape.rated_bad(chance)
        })
    }

    /// Ratings of the version in the class, of first and later turns.
    pub(crate) fn ratings(&self, version: key::Version, class: ClassIndex) -> f64 {
        let both = |it: &Belief| it.first.tally.ratings() + it.later.tally.ratings();
        self.belief(version, class).map_or(0.0, both)
    }

    /// Answers of one kind.
    pub(crate) fn answers(&self, kind: Kind) -> f64 {
        let belief = self.belief(kind.version, kind.class);
        belief.map_or(0.0, |it| it.view(kind.turn).tally.answers())
    }

    /// How one version's ratings compare with another's over all classes.
    pub(crate) fn compare(&self, version: key::Version, with: key::Version) -> Comparison {
        let one = self.overall(version);
        let other = self.overall(with);
        Comparison {
            difference: one.share - other.share,
            error: (one.variance() + other.variance()).sqrt(),
        }
    }

    /// What to expect of a version in a class.
    pub(crate) fn forecast(
        &mut self,
        policy: &Policy,
        version: key::Version,
        class: ClassIndex,
    ) -> Forecast {
        let entry = &policy.versions[version.index()];
        let prompt = self.classes.get(class.0).and_then(|it| it.prompt.value(1));
        let (completion, _) = self.completion(version, class);
        let cost = price(entry.prompt_price) * prompt.unwrap_or(TOKENS)
            + price(entry.completion_price) * completion;
        let ratings = self.ratings(version, class);
        let it = &mut self.versions[version.index()];
        it.class_mut(class);
        Forecast {
            version,
            cost,
            first: it.curve(class, Turn::First),
            later: it.curve(class, Turn::Later),
            ratings,
        }
    }

    fn overall(&self, version: key::Version) -> Fit {
        let it = &self.versions[version.index()];
        let tally = &it.overall.first.tally;
        let (good, bad) = (tally.goods(), tally.bads());
        Fit {
            share: (it.shape.truly_good(good, bad) + 1.0) / (good + bad + 2.0),
            weight: good + bad + 2.0,
        }
    }

    pub(crate) fn belief(&self, version: key::Version, class: ClassIndex) -> Option<&Belief> {
        self.versions.get(version.index())?.classes.get(class.0)
    }
}

/// Microcents a token.
fn price(per_million: Money) -> f64 {
    float(per_million.0) / 1e6
}
