//! The true quality of each version. Of the routers, only the oracle reads it.

mod accuracy;
mod confidence;
mod response;
mod version;

use std::time::Duration;

pub(crate) use accuracy::Accuracy;
pub(crate) use confidence::ConfidenceDistribution;
pub(crate) use response::Response;
pub(crate) use version::{VersionIdx, VersionSpec};

use crate::{
    arrival::Arrival,
    keyed_rng::{KeyedRng, Purpose},
    scenario::{FailureMode, Fault, Scenario},
    workload::World,
};

/// The quality of each version over the course of a scenario.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroundTruth<'a> {
    pub(crate) world: &'a World,
    pub(crate) scenario: &'a Scenario,
    pub(crate) keyed_rng: KeyedRng,
}

/// The effect of the active faults on a version. Of several faults, the last one that the scenario
/// lists determines the share, and the last [`Fault::Bad`] the failure mode.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Degradation {
    /// The share of responses that are bad because of the fault.
    pub(crate) share: f64,
    pub(crate) failure_mode: FailureMode,
}

impl GroundTruth<'_> {
    /// Returns the response of `version` to a request that starts to run at `now`.
    pub(crate) fn response(
        &self,
        arrival: &Arrival,
        version: VersionIdx,
        now: Duration,
    ) -> Response {
        let (request, other) = (arrival.idx, version.idx());
        let degradation = self.degradation(version, now);
        let faulted = self.keyed_rng.draw(Purpose::Fault, request, other) < degradation.share;
        let accuracy = self.world.version(version).accuracy(arrival.class);
        let able =
            self.keyed_rng.draw(Purpose::Quality, request, other) < accuracy.at(arrival.hard);
        let good = able && !faulted;
        let looks_good = good || (faulted && degradation.failure_mode == FailureMode::Confident);
        let draw = self.keyed_rng.draw(Purpose::Confidence, request, other);
        Response {
            good,
            confidence: self
                .world
                .version(version)
                .confidence
                .quantile(looks_good, draw),
            harmed: able && faulted,
            error: faulted && degradation.failure_mode == FailureMode::Error,
        }
    }

    /// Returns the effect of the faults that are active at `now` on `version`.
    pub(crate) fn degradation(&self, version: VersionIdx, now: Duration) -> Degradation {
        let mut degradation = Degradation {
            share: 0.0,
            failure_mode: FailureMode::Plain,
        };
        for event in self.scenario.active(now) {
            match event.fault {
                Fault::Bad {
                    version: bad,
                    share,
                    failure_mode,
                } if bad == version => {
                    degradation = Degradation {
                        share,
                        failure_mode,
                    }
                }
                Fault::Drift {
                    version: drifting,
                    loss,
                } if drifting == version => {
                    let passed = now.saturating_sub(event.at).as_secs_f64();
                    let length = event.until.saturating_sub(event.at).as_secs_f64();
                    degradation.share = loss * passed / length;
                }
                _ => {}
            }
        }
        degradation
    }
}
