//! Evidence to be published to other hosts.

use std::time::Duration;

use kernel::VersionId;

use crate::event::Quality;
use crate::evidence::{BUCKETS, ClassRequests, Evidence, Item};
use crate::response_stats::StepPosition;
use crate::samples::Sample;
use crate::{endpoint, key};

/// Interval between publications if no evidence is urgent.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Evidence that hasn't been published yet, aggregated by version and class.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    items: Vec<Item>,
    turns: Vec<ClassRequests>,
    urgency: Urgency,
    published: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Urgency {
    #[default]
    Routine,
    /// There is a failure or a bad rating, which other hosts should learn of at once.
    Immediate,
}

impl Outbox {
    pub(crate) fn record_arrival(&mut self, class: key::Class, pinned: u32) {
        let at = self.turns.iter().position(|it| it.class == class);
        let at = at.unwrap_or_else(|| {
            self.turns.push(ClassRequests {
                class,
                free: 0,
                pinned: 0,
            });
            self.turns.len() - 1
        });
        self.turns[at].pinned += pinned;
        self.turns[at].free += 1 - pinned;
    }

    pub(crate) fn record_response(
        &mut self,
        version: &VersionId,
        class: key::Class,
        sample: Sample,
    ) {
        let it = self.item(version, class);
        match sample.position {
            StepPosition::First => it.answered[sample.bucket.index()] += 1,
            StepPosition::Later => it.later_answered[sample.bucket.index()] += 1,
        }
    }

    pub(crate) fn record_measurement(
        &mut self,
        version: &VersionId,
        class: key::Class,
        tokens: u32,
        latency: Duration,
    ) {
        let it = self.item(version, class);
        it.completion_tokens += u64::from(tokens);
        it.latency_ms += u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
    }

    pub(crate) fn record_failure(
        &mut self,
        version: &VersionId,
        class: key::Class,
        at: endpoint::Id,
    ) {
        let it = self.item(version, class);
        it.failed += 1;
        let [first, second] = &mut it.failed_at;
        match *first {
            None => *first = Some(at),
            Some(known) if known != at => *second = Some(at),
            Some(_) => {}
        }
        self.urgency = Urgency::Immediate;
    }

    pub(crate) fn record_rating(
        &mut self,
        version: &VersionId,
        class: key::Class,
        sample: Sample,
        quality: Quality,
    ) {
        let it = self.item(version, class);
        let counts = match (sample.position, quality) {
            (StepPosition::First, Quality::Good) => &mut it.good,
            (StepPosition::First, Quality::Bad) => &mut it.bad,
            (StepPosition::Later, Quality::Good) => &mut it.later_good,
            (StepPosition::Later, Quality::Bad) => &mut it.later_bad,
        };
        counts[sample.bucket.index()] += 1;
        if quality == Quality::Bad {
            self.urgency = Urgency::Immediate;
        }
    }

    /// Takes the evidence if its publication is due.
    pub(crate) fn take_due(&mut self, now: Duration) -> Option<Evidence> {
        let due = now.saturating_sub(self.published) >= PUBLISH_INTERVAL
            || self.urgency == Urgency::Immediate;
        if (self.items.is_empty() && self.turns.is_empty()) || !due {
            return None;
        }
        self.published = now;
        self.urgency = Urgency::Routine;
        Some(Evidence {
            items: std::mem::take(&mut self.items),
            turns: std::mem::take(&mut self.turns),
        })
    }

    fn item(&mut self, version: &VersionId, class: key::Class) -> &mut Item {
        let known = |it: &Item| it.class == class && it.version == *version;
        let at = self.items.iter().position(known).unwrap_or_else(|| {
            self.items.push(Item {
                version: version.clone(),
                class,
                answered: [0; BUCKETS],
                failed: 0,
                failed_at: [None; 2],
                good: [0; BUCKETS],
                bad: [0; BUCKETS],
                later_answered: [0; BUCKETS],
                later_good: [0; BUCKETS],
                later_bad: [0; BUCKETS],
                completion_tokens: 0,
                latency_ms: 0,
            });
            self.items.len() - 1
        });
        &mut self.items[at]
    }
}
