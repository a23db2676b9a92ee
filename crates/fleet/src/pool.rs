//! Evidence that waits to be sent on.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::{Delta, Topic};

use crate::rendezvous::weight;

/// Into how many groups the topics fall. A group has one relay in each data
/// centre and its homes, so the groups share the work out among the hosts,
/// while one frame carries all topics of a group.
pub(crate) const GROUPS: usize = 24;

/// The group of a topic; all request classes of a version share one.
pub(crate) fn group_of(topic: &Topic) -> usize {
    let key = match topic {
        Topic::Version { version, .. } => version.as_str(),
        Topic::Customer(customer) => customer.as_str(),
    };
    let [byte, ..] = weight("topic", 0_u8, key).to_le_bytes();
    usize::from(byte) % GROUPS
}

/// Counts on their way, by group.
#[derive(Default)]
pub(crate) struct Pool {
    batches: BTreeMap<usize, Batch>,
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
            batch.is_urgent |= delta.is_urgent;
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

    /// Takes everything once some batch has waited long enough.
    pub(crate) fn take_all_if_due(&mut self, now: Duration, pace: Pace) -> Vec<Delta> {
        if self.deadline(pace).is_none_or(|it| it > now) {
            return Vec::new();
        }
        let batches = std::mem::take(&mut self.batches).into_values();
        batches.flat_map(|it| it.deltas.into_values()).collect()
    }

    /// Takes the batches that have waited long enough.
    pub(crate) fn take_due(&mut self, now: Duration, pace: Pace) -> Vec<(usize, Vec<Delta>)> {
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
    /// What was sent before counting began anew.
    sent_before: BTreeMap<Topic, Delta>,
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
            take_out(&mut self.sent_before, delta);
            take_out(&mut self.sent, delta);
        }
        deltas.retain(|it| !it.is_empty());
        deltas
    }

    /// Forgets what hasn't come back since this was last called, as it got lost
    /// on the way.
    pub(crate) fn forget(&mut self) {
        self.sent_before = std::mem::take(&mut self.sent);
    }
}

/// Takes what was sent out of `delta`, and what `delta` brings back out of
/// what was sent.
fn take_out(sent: &mut BTreeMap<Topic, Delta>, delta: &mut Delta) {
    let Some(own) = sent.get_mut(&delta.topic) else {
        return;
    };
    let all = delta.clone();
    delta.subtract(own);
    own.subtract(&all);
    if own.is_empty() {
        sent.remove(&delta.topic);
    }
}
