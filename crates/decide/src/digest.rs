//! Snapshots of a host's statistics, which initialize those of a host that starts.

use crate::belief::{Belief, Turn};
use crate::evidence::{BUCKETS, Evidence, Item, Turns};
use crate::knowledge::{ClassIndex, Kind, Knowledge};
use crate::number::{float, floor};
use crate::tally::Bucket;
use crate::{Policy, key};

/// The number of own observations from which on a host ignores digests.
const MIN_OWN_OBSERVATIONS: u64 = 200;
/// The number of responses that the means of a digest are recorded as.
const MEAN_WEIGHT: u32 = 10;

impl Knowledge {
    /// Returns the statistics as evidence that another host can apply.
    pub(crate) fn digest(&self, policy: &Policy) -> Evidence {
        let mut evidence = Evidence::default();
        for (class, key, free, pinned) in self.turns() {
            evidence.turns.push(Turns {
                class: key,
                free: rounded_count(free),
                pinned: rounded_count(pinned),
            });
            for (at, entry) in policy.versions.iter().enumerate() {
                let belief = self.belief(key::Version::at(at), class);
                let item = belief.map(|it| build_item(it, entry.id.clone(), key));
                evidence.items.extend(item.filter(|it| !is_empty(it)));
            }
        }
        evidence
    }

    /// Applies another host's digest, unless this host has enough observations:
    /// those that both hosts have would be counted twice.
    pub(crate) fn absorb(&mut self, policy: &Policy, digest: &Evidence) {
        if self.changes() >= MIN_OWN_OBSERVATIONS {
            return;
        }
        for it in &digest.turns {
            let class = self.class(it.class);
            self.class_of_mut(class).told(it.free, it.pinned);
        }
        for item in &digest.items {
            if let Some(version) = policy.version(&item.version) {
                let class = self.class(item.class);
                self.absorb_item(version, class, item);
            }
        }
    }

    fn absorb_item(&mut self, version: key::Version, class: ClassIndex, item: &Item) {
        for bucket in Bucket::all() {
            let at = bucket.index();
            for (turn, answered, good, bad) in [
                (Turn::First, item.answered, item.good, item.bad),
                (
                    Turn::Later,
                    item.later_answered,
                    item.later_good,
                    item.later_bad,
                ),
            ] {
                let kind = Kind {
                    version,
                    class,
                    turn,
                };
                let [answered, good, bad] = [answered, good, bad].map(|it| f64::from(it[at]));
                self.answered(kind, bucket, answered);
                self.rated(kind, bucket, good, bad);
            }
        }
        let responses = item.answered.iter().chain(&item.later_answered);
        let responses = f64::from(responses.sum::<u32>()).max(1.0);
        for _ in 0..MEAN_WEIGHT {
            let tokens = float(item.completion_tokens) / responses;
            let seconds = float(item.latency_ms) / 1000.0 / responses;
            self.measured(version, class, tokens, seconds);
        }
    }
}

fn build_item(belief: &Belief, version: kernel::VersionId, class: key::Class) -> Item {
    let (first, later) = (&belief.first.tally, &belief.later.tally);
    let rounded = |it: &[f64; BUCKETS]| it.map(rounded_count);
    let (answered, later_answered) = (rounded(&first.answered), rounded(&later.answered));
    let responses = answered.iter().chain(&later_answered).sum::<u32>();
    let total = |mean: Option<f64>| floor(mean.unwrap_or(0.0) * f64::from(responses));
    Item {
        version,
        class,
        answered,
        later_answered,
        failed: 0,
        failed_at: [None; 2],
        good: rounded(&first.good),
        bad: rounded(&first.bad),
        later_good: rounded(&later.good),
        later_bad: rounded(&later.bad),
        completion_tokens: total(belief.completion.value(1)),
        latency_ms: total(belief.latency.value(1).map(|it| it * 1000.0)),
    }
}

fn is_empty(item: &Item) -> bool {
    let responses = item.answered.iter().chain(&item.later_answered);
    responses.sum::<u32>() == 0
}

fn rounded_count(value: f64) -> u32 {
    u32::try_from(floor(value + 0.5)).unwrap_or(u32::MAX)
}
