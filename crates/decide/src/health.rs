//! Fault detection across all versions.

use crate::monitor::{FailureBaseline, FaultScope, Monitor};
use crate::{Policy, key};

/// The number of outcomes that a version needs to serve as a reference for others.
const MIN_REFERENCE_OUTCOMES: f64 = 20.0;

/// The monitors of all versions.
///
/// Each version is compared with the others: failures or bad quality that affect
/// many versions at once need stronger evidence to be attributed to one of them,
/// and slowness of many versions isn't attributed to any.
#[derive(Debug, Default)]
pub(crate) struct Health {
    monitors: Vec<Monitor>,
    quarantined: usize,
}

impl Health {
    /// Remaps the monitors to the keys of a new policy.
    pub(crate) fn configure(&mut self, policy: &Policy, old_keys: &[Option<key::Version>]) {
        let mut old = std::mem::take(&mut self.monitors);
        for old_key in old_keys.iter().take(policy.versions.len()) {
            let known = old_key.and_then(|it| old.get_mut(it.index()));
            self.monitors
                .push(known.map(std::mem::take).unwrap_or_default());
        }
        self.count_quarantined();
    }

    pub(crate) fn get(&self, version: key::Version) -> Option<&Monitor> {
        self.monitors.get(version.index())
    }

    pub(crate) fn get_mut(&mut self, version: key::Version) -> Option<&mut Monitor> {
        self.monitors.get_mut(version.index())
    }

    /// Returns whether any version is quarantined.
    pub(crate) fn has_quarantined(&self) -> bool {
        self.quarantined > 0
    }

    /// Recounts the quarantined versions after a verdict changed.
    pub(crate) fn count_quarantined(&mut self) {
        let quarantined = self.monitors.iter().filter(|it| it.is_quarantined());
        self.quarantined = quarantined.count();
    }

    pub(crate) fn is_quarantined(&self, version: key::Version) -> bool {
        self.get(version).is_some_and(Monitor::is_quarantined)
    }

    /// Returns the expected failure rate of `version`: twice the mean rate of the
    /// other versions, within fixed bounds.
    pub(crate) fn failure_baseline(
        &self,
        version: key::Version,
        endpoints: usize,
    ) -> FailureBaseline {
        let others = self.others(version);
        let (sum, number) = others.fold((0.0, 0.0), |(sum, number), it| {
            (sum + it.failure_rate(), number + 1.0)
        });
        let others = if number > 0.0 { sum / number } else { 0.0 };
        FailureBaseline {
            failure_rate: (2.0 * others).clamp(0.01, 0.5),
            endpoints,
        }
    }

    /// Returns the scope of a suspected quality fault of `version`: shared if at
    /// least half of the other versions are suspected of failures or bad quality too.
    pub(crate) fn quality_scope(&self, version: key::Version) -> FaultScope {
        self.scope(version, Monitor::is_suspect)
    }

    /// Returns the scope of a suspected latency fault of `version`: shared if at
    /// least half of the other versions have become slow too, as happens under general
    /// overload.
    pub(crate) fn latency_scope(&self, version: key::Version) -> FaultScope {
        self.scope(version, Monitor::is_slow)
    }

    /// Returns the scope of a fault by the number of other versions for which `suspect`
    /// is true. Quarantined versions and those with few outcomes don't count.
    fn scope(&self, version: key::Version, suspect: impl Fn(&Monitor) -> bool) -> FaultScope {
        let others = self.others(version).count();
        let suspects = self.others(version).filter(|it| suspect(it)).count();
        if suspects > 0 && 2 * suspects >= others {
            FaultScope::Shared
        } else {
            FaultScope::OneVersion
        }
    }

    fn others(&self, version: key::Version) -> impl Iterator<Item = &Monitor> {
        let others = self.monitors.iter().enumerate();
        others
            .filter(move |(at, it)| {
                *at != version.index()
                    && !it.is_quarantined()
                    && it.outcomes() >= MIN_REFERENCE_OUTCOMES
            })
            .map(|(_, it)| it)
    }
}
