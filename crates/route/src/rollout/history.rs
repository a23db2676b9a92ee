//! The roll-outs of a service that later orders replaced.

use kernel::Release;
use serde::{Deserialize, Serialize};

use super::{Order, Verdict};
use crate::Revision;

/// The maximum number of replaced roll-outs kept per service.
const MAX_REPLACED: usize = 8;

/// A roll-out that a later order replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replaced {
    /// The release that was rolled out.
    pub release: Release,
    /// The revision of its order.
    pub revision: Revision,
    /// Its last known verdict.
    pub verdict: Verdict,
}

/// The roll-outs of a service that later orders replaced.
///
/// Without it, a release that was withdrawn would count as the old one as soon as the next order
/// arrives, and its endpoints, which may take requests for some time yet, would get some.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// Newest first.
    replaced: Vec<Replaced>,
}

impl Replaced {
    /// Returns the roll-out of an order that a later one replaced.
    pub(crate) fn of(order: &Order, verdict: Verdict) -> Self {
        Self {
            release: order.release.clone(),
            revision: order.revision,
            verdict,
        }
    }
}

impl History {
    /// Adds a replaced roll-out, or the verdict of one that is known without. Returns whether that
    /// is new.
    pub(crate) fn add(&mut self, new: Replaced) -> bool {
        let same = |it: &&mut Replaced| (&it.release, it.revision) == (&new.release, new.revision);
        if let Some(known) = self.replaced.iter_mut().find(same) {
            let is_new = known.verdict == Verdict::Running && new.verdict != Verdict::Running;
            if is_new {
                known.verdict = new.verdict;
            }
            return is_new;
        }
        let at = self
            .replaced
            .partition_point(|it| it.revision > new.revision);
        if at >= MAX_REPLACED {
            return false;
        }
        self.replaced.insert(at, new);
        self.replaced.truncate(MAX_REPLACED);
        true
    }

    /// Records a verdict that was written for this release at `written`.
    pub(crate) fn record_verdict(
        &mut self,
        release: &Release,
        verdict: Verdict,
        written: Revision,
    ) {
        let of_order = |it: &&mut Replaced| it.release == *release && it.revision < written;
        let newest = self.replaced.iter_mut().find(of_order);
        if let Some(it) = newest.filter(|it| it.verdict == Verdict::Running) {
            it.verdict = verdict;
        }
    }

    /// Returns whether a release was withdrawn and not rolled out again since.
    pub(crate) fn is_withdrawn(&self, release: &Release) -> bool {
        let newest = self.replaced.iter().find(|it| it.release == *release);
        newest.is_some_and(|it| it.verdict == Verdict::Reverted)
    }

    /// Returns whether an order is a replaced one that reappeared because the store was restored
    /// from an older copy, which lacks the order that replaced it.
    pub(crate) fn has_restored(&self, order: &Order) -> bool {
        self.replaced.iter().any(|it| {
            let is_same =
                it.release == order.release && it.revision.version == order.revision.version;
            is_same && it.revision.era < order.revision.era
        })
    }

    /// Returns the roll-outs that other hosts must know of: the last one of each release that was
    /// ever withdrawn.
    pub(crate) fn withdrawals(&self) -> Vec<Replaced> {
        let is_last = |(nr, it): &(usize, &Replaced)| {
            let newer = &self.replaced[..*nr];
            newer.iter().all(|newer| newer.release != it.release)
        };
        let was_withdrawn = |release: &Release| {
            let mut all = self.replaced.iter();
            all.any(|it| it.release == *release && it.verdict == Verdict::Reverted)
        };
        let last = self.replaced.iter().enumerate().filter(is_last);
        last.map(|(_, it)| it)
            .filter(|it| was_withdrawn(&it.release))
            .cloned()
            .collect()
    }
}
