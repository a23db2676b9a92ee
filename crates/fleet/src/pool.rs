//! Evidence that waits to be sent on.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::{Delta, Topic};

use crate::rendezvous::weight;

/// Into how many groups the topics fall. A group has one relay in each data
/// centre and its homes, so the groups share the work out among the hosts,
/// while one frame carries all topics of a group.
pub(crate) const GROUPS: u64 = 16;

/// The group of a topic; all request classes of a version share one.
pub(crate) fn group_of(topic: &Topic) -> u64 {
    let key = match topic {
        Topic::Version { version, .. } => version.as_str(),
        Topic::Customer(customer) => customer.as_str(),
    };
    weight("topic", 0_u8, key) % GROUPS
}

/// Counts on their way, by group.
#[derive(Default)]
pub(crate) struct Pool {
    batches: BTreeMap<u64, Batch>,
}

struct Batch {
    since: Duration,
    is_urgent: bool,
    deltas: BTreeMap<Topic, Delta>,
}

/// How long a batch waits.
#[derive(Clone, Copy)]
pub(crate) struct Pace {
    pub(crate) urgent: Duration,
    pub(crate) usual: Duration,
}

impl Pool {
    pub(crate) fn add(&mut self, now: Duration, deltas: &[Delta]) {
        for delta in deltas.iter().filter(|it| !it.is_empty()) {
            let batch = self
                .batches
                .entry(group_of(&delta.topic))
                .or_insert_with(|| Batch {
                    since: now,
                    is_urgent: false,
                    deltas: BTreeMap::new(),
                });
            batch.is_urgent |= delta.is_urgent();
            batch
                .deltas
                .entry(delta.topic.clone())
                .or_insert_with(|| Delta::new(delta.topic.clone()))
                .merge(delta);
        }
    }

    pub(crate) fn deadline(&self, pace: Pace) -> Option<Duration> {
        self.batches.values().map(|it| it.due(pace)).min()
    }

    /// Takes the batches that have waited long enough.
    pub(crate) fn take_due(&mut self, now: Duration, pace: Pace) -> Vec<(u64, Vec<Delta>)> {
        let due: Vec<_> = self
            .batches
            .iter()
            .filter(|(_, it)| it.due(pace) <= now)
            .map(|(group, _)| *group)
            .collect();
        due.into_iter()
            .filter_map(|group| Some((group, self.batches.remove(&group)?)))
            .map(|(group, batch)| (group, batch.deltas.into_values().collect()))
            .collect()
    }
}

impl Batch {
    fn due(&self, pace: Pace) -> Duration {
        let wait = if self.is_urgent {
            pace.urgent
        } else {
            pace.usual
        };
        self.since + wait
    }
}

/// What this host has sent and not yet got back in the counts of all.
///
/// Without it a host would count its own evidence twice: when it saw it, and
/// when the fleet's counts bring it back.
#[derive(Default)]
pub(crate) struct Returning {
    sent: BTreeMap<Topic, Delta>,
}

impl Returning {
    pub(crate) fn add(&mut self, deltas: &[Delta]) {
        for delta in deltas {
            self.sent
                .entry(delta.topic.clone())
                .or_insert_with(|| Delta::new(delta.topic.clone()))
                .merge(delta);
        }
    }

    /// Leaves what others counted.
    pub(crate) fn without_own(&mut self, mut deltas: Vec<Delta>) -> Vec<Delta> {
        for delta in &mut deltas {
            let Some(own) = self.sent.get_mut(&delta.topic) else {
                continue;
            };
            let all = delta.clone();
            delta.subtract(own);
            own.subtract(&all);
            if own.is_empty() {
                self.sent.remove(&delta.topic);
            }
        }
        deltas.retain(|it| !it.is_empty());
        deltas
    }

    /// Forgets what got lost on the way.
    pub(crate) fn clear(&mut self) {
        self.sent.clear();
    }
}
