//! The usual intervals between the events of streams.

use std::collections::HashMap;
use std::time::Duration;

use kernel::{ModelName, ServiceName};

use super::Directory;
use crate::endpoint::Key;

/// The decay constant of the moving average, in intervals. About a hundred streams, so that it
/// follows a load that slows all endpoints alike.
const WINDOW_INTERVALS: f64 = 4_000.0;

/// The usual interval between events, by service and model.
#[derive(Clone, Debug, Default)]
pub(super) struct EventIntervals(HashMap<(ServiceName, ModelName), Mean>);

/// A moving geometric mean.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    logarithm: f64,
    weight: f64,
}

/// The events of a stream that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    /// The number of intervals between its events.
    pub(crate) intervals: u32,
    /// The seconds from its start to its last event, at the usual pace of the endpoint's machine.
    pub(crate) seconds: f64,
}

impl Mean {
    fn record(&mut self, logarithm: f64, weight: f64) {
        let decay = WINDOW_INTERVALS / (WINDOW_INTERVALS + weight);
        self.weight = self.weight * decay + weight;
        self.logarithm += (logarithm - self.logarithm) * weight / self.weight;
    }
}

impl Directory {
    /// Records a stream of an endpoint, to learn the endpoint's speed relative to the others.
    pub(crate) fn record_stream(
        &mut self,
        now: Duration,
        key: Key,
        model: &ModelName,
        stream: Stream,
    ) {
        /// The least mean interval in seconds. Events that come in one piece have no interval.
        const MIN_INTERVAL: f64 = 1e-6;
        let Some(it) = self.endpoints.get_mut(key) else {
            return;
        };
        let weight = f64::from(stream.intervals);
        let interval = stream.seconds / weight;
        if !interval.is_finite() || interval < MIN_INTERVAL {
            return;
        }
        let logarithm = interval.ln();
        let mean_key = (it.entry.service.clone(), model.clone());
        let mean = self.event_intervals.0.entry(mean_key).or_default();
        mean.record(logarithm, weight);
        let ratio = (logarithm - mean.logarithm).exp();
        it.speed.record(now, stream.intervals, ratio);
    }
}
