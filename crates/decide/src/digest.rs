//! Snapshots of a host's statistics, which initialize those of a host that starts.

use crate::evidence::{BUCKETS, ClassRequests, Evidence, Item};
use crate::histogram::Bucket;
use crate::knowledge::{ClassIndex, Knowledge, ResponseKind};
use crate::number::{float, floor};
use crate::response_stats::{ResponseStats, StepPosition};
use crate::{Policy, key};

/// The [`Knowledge::revision`] from which a host ignores digests. By then it relies on what it has
/// seen itself.
const DIGEST_REVISION_LIMIT: u64 = 200;
/// The weight of the means of a digest item, in responses: the number of times that
/// they are recorded.
const MEAN_WEIGHT: u32 = 10;

impl Knowledge {
    /// Returns the statistics as evidence that another host can apply.
    pub(crate) fn digest(&self, policy: &Policy) -> Evidence {
        let mut evidence = Evidence::default();
        for (class, key, free, pinned) in self.request_counts() {
            evidence.turns.push(ClassRequests {
                class: key,
                free: rounded_count(free),
                pinned: rounded_count(pinned),
            });
            for (at, entry) in policy.versions.iter().enumerate() {
                let stats = self.stats(key::Version::at(at), class);
                let item = stats.map(|it| build_item(it, entry.id.clone(), key));
                evidence.items.extend(item.filter(|it| !is_empty(it)));
            }
        }
        evidence
    }

    /// Applies another host's digest. Ignored once this host has learned enough (see
    /// [`DIGEST_REVISION_LIMIT`]): observations that the other host already sent as
    /// evidence would be counted twice.
    pub(crate) fn apply_digest(&mut self, policy: &Policy, digest: &Evidence) {
        if self.revision() >= DIGEST_REVISION_LIMIT {
            return;
        }
        for it in &digest.turns {
            let class = self.class_index(it.class);
            self.traffic_mut(class).add_report(it.free, it.pinned);
        }
        for item in &digest.items {
            if let Some(version) = policy.version(&item.version) {
                let class = self.class_index(item.class);
                self.apply_digest_item(version, class, item);
            }
        }
    }

    fn apply_digest_item(&mut self, version: key::Version, class: ClassIndex, item: &Item) {
        for bucket in Bucket::all() {
            let at = bucket.index();
            for (position, answered, good, bad) in [
                (StepPosition::First, item.answered, item.good, item.bad),
                (
                    StepPosition::Later,
                    item.later_answered,
                    item.later_good,
                    item.later_bad,
                ),
            ] {
                let kind = ResponseKind {
                    version,
                    class,
                    position,
                };
                let [answered, good, bad] = [answered, good, bad].map(|it| f64::from(it[at]));
                self.record_responses(kind, bucket, answered);
                self.record_ratings(kind, bucket, good, bad);
            }
        }
        let responses = item.answered.iter().chain(&item.later_answered);
        let responses = f64::from(responses.sum::<u32>()).max(1.0);
        for _ in 0..MEAN_WEIGHT {
            let tokens = float(item.completion_tokens) / responses;
            let seconds = float(item.latency_ms) / 1000.0 / responses;
            self.record_measurement(version, class, tokens, seconds);
        }
    }
}

fn build_item(stats: &ResponseStats, version: kernel::VersionId, class: key::Class) -> Item {
    let (first, later) = (&stats.first.histogram, &stats.later.histogram);
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
        completion_tokens: total(stats.completion.value(1)),
        latency_ms: total(stats.latency.value(1).map(|it| it * 1000.0)),
    }
}

fn is_empty(item: &Item) -> bool {
    let responses = item.answered.iter().chain(&item.later_answered);
    responses.sum::<u32>() == 0
}

fn rounded_count(value: f64) -> u32 {
    u32::try_from(floor(value + 0.5)).unwrap_or(u32::MAX)
}
