//! Batches of evidence that wait to be sent.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::{Delta, Topic};

use crate::rendezvous::weight;

/// The number of groups into which topics are hashed. Each group has one relay
/// per data centre and its own home hosts, which spreads the work over the hosts.
/// A group's topics are batched and sent together.
pub(crate) const GROUPS: usize = 24;

/// Returns the group of a topic; all request classes of a version share one.
pub(crate) fn group_of(topic: &Topic) -> usize {
    let key = match topic {
        Topic::Version { version, .. } => version.as_str(),
        Topic::Customer(customer) => customer.as_str(),
    };
    let [byte, ..] = weight("topic", 0_u8, key).to_le_bytes();
    usize::from(byte) % GROUPS
}

/// Evidence to be sent, batched by topic group.
#[derive(Default)]
pub(crate) struct Pool {
    batches: BTreeMap<usize, Batch>,
}

struct Batch {
    started_at: Duration,
    is_urgent: bool,
    deltas: BTreeMap<Topic, Delta>,
}

/// The delays after which a batch is sent.
#[derive(Clone, Copy)]
pub(crate) struct BatchDelays {
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
                    started_at: now,
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

    pub(crate) fn deadline(&self, delays: BatchDelays) -> Option<Duration> {
        self.batches.values().map(|it| it.due_at(delays)).min()
    }

    /// Takes all batches as soon as one of them is due.
    pub(crate) fn take_all_if_due(&mut self, now: Duration, delays: BatchDelays) -> Vec<Delta> {
        if self.deadline(delays).is_none_or(|it| it > now) {
            return Vec::new();
        }
        let batches = std::mem::take(&mut self.batches).into_values();
        batches.flat_map(|it| it.deltas.into_values()).collect()
    }

    /// Takes the batches that are due.
    pub(crate) fn take_due(
        &mut self,
        now: Duration,
        delays: BatchDelays,
    ) -> Vec<(usize, Vec<Delta>)> {
        let due: Vec<_> = self
            .batches
            .iter()
            .filter(|(_, it)| it.due_at(delays) <= now)
            .map(|(group, _)| *group)
            .collect();
        due.into_iter()
            .filter_map(|group| Some((group, self.batches.remove(&group)?)))
            .map(|(group, batch)| (group, batch.deltas.into_values().collect()))
            .collect()
    }
}

impl Batch {
    fn due_at(&self, delays: BatchDelays) -> Duration {
        let wait = if self.is_urgent {
            delays.urgent
        } else {
            delays.usual
        };
        self.started_at + wait
    }
}

/// Evidence that this host sent and has not yet received back in the fleet's
/// totals.
///
/// It is subtracted from those totals, so that this host doesn't count its own
/// evidence twice.
#[derive(Default)]
pub(crate) struct OwnContributions {
    /// Evidence sent since the last call of [`Self::forget`].
    current: BTreeMap<Topic, Delta>,
    /// Evidence sent between the last two calls of [`Self::forget`].
    previous: BTreeMap<Topic, Delta>,
}

impl OwnContributions {
    pub(crate) fn add(&mut self, deltas: &[Delta]) {
        for delta in deltas {
            self.current
                .entry(delta.topic.clone())
                .or_insert_with(|| Delta::new(delta.topic.clone()))
                .merge(delta);
        }
    }

    /// Subtracts this host's own evidence and returns what other hosts counted.
    pub(crate) fn subtract_own(&mut self, mut deltas: Vec<Delta>) -> Vec<Delta> {
        for delta in &mut deltas {
            cancel_common(&mut self.previous, delta);
            cancel_common(&mut self.current, delta);
        }
        deltas.retain(|it| !it.is_empty());
        deltas
    }

    /// Drops evidence that was sent before the previous call and hasn't come
    /// back; it was lost on the way.
    pub(crate) fn forget(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }
}

/// Removes from both `sent` and `delta` the counts that they have in common.
fn cancel_common(sent: &mut BTreeMap<Topic, Delta>, delta: &mut Delta) {
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
