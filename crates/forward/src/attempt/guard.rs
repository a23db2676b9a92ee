//! Reports the end of an attempt, also when it is cancelled.

use std::sync::Arc;
use std::time::Duration;

use kernel::RequestId;
use route::{Ending, Fingerprint, InFlight, Pace, PartId, Placement, RequestRate, Withheld};
use telemetry::{AttemptReport, ConnectionOrigin, NoConnection};

use crate::serve::Progress;
use crate::{Dialect, Node};

/// Reports and cancels the attempt if it is dropped because the caller disconnected.
pub(super) struct AttemptGuard<'a, D: Dialect> {
    pub(super) node: &'a Node<D>,
    pub(super) id: &'a RequestId,
    pub(super) fingerprint: Fingerprint,
    pub(super) parts: Arc<[PartId]>,
    pub(super) placement: &'a Placement,
    pub(super) progress: &'a Progress,
    pub(super) number: u32,
    pub(super) began: Duration,
    pub(super) time_left: Duration,
    pub(super) config_version: Option<u64>,
    pub(super) details: AttemptDetails,
    pub(super) in_flight: Option<InFlight>,
}

/// Details of the connection and the response, for the attempt's report.
#[derive(Debug, Default)]
pub(super) struct AttemptDetails {
    pub(super) status: Option<u16>,
    pub(super) confidence: Option<u8>,
    pub(super) is_leaving: Option<bool>,
    /// The limit that the endpoint was known to state when the request was sent.
    pub(super) rate_limit: Option<RequestRate>,
    pub(super) withheld: Option<Withheld>,
    /// The pace that the response reported.
    pub(super) pace: Option<Pace>,
    /// The endpoint's slowness, if it was known when the request was sent.
    pub(super) slowness: Option<f64>,
    /// Set when the exchange with the endpoint ends; `None` if the attempt is dropped.
    pub(super) last_event: Option<u64>,
    pub(super) connection: Option<ConnectionOrigin>,
    pub(super) no_connection: Option<NoConnection>,
    /// How long the attempt waited for a connection to become free, if it did.
    pub(super) connection_wait: Option<Duration>,
    pub(super) strays: u32,
}

impl<D: Dialect> AttemptGuard<'_, D> {
    /// Reports the end of the attempt and returns the router's handle to it, or `None` if
    /// it was reported before.
    pub(super) fn finish(&mut self, ending: Ending) -> Option<InFlight> {
        let in_flight = self.in_flight.take()?;
        let took = self.node.now().saturating_sub(self.began);
        self.progress.record_attempt(self.placement, ending, took);
        self.node.recorder.record_attempt(&AttemptReport {
            id: self.id,
            fingerprint: self.fingerprint,
            parts: &self.parts,
            number: self.number,
            placement: self.placement,
            ending,
            took,
            time_left: self.time_left,
            config_version: self.config_version,
            confidence: self.details.confidence,
            is_leaving: self.details.is_leaving,
            rate_limit: self.details.rate_limit,
            withheld: self.details.withheld,
            pace: self.details.pace,
            slowness: self.details.slowness,
            last_event: self.details.last_event,
            status: self.details.status,
            connection: self.details.connection,
            no_connection: self.details.no_connection,
            connection_wait: self.details.connection_wait,
            strays: self.details.strays,
        });
        Some(in_flight)
    }
}

impl<D: Dialect> Drop for AttemptGuard<'_, D> {
    fn drop(&mut self) {
        if let Some(in_flight) = self.finish(Ending::Cancelled) {
            let now = self.node.now();
            self.node.router().cancel_attempt(now, in_flight);
        }
    }
}
