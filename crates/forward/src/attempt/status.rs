//! The status that an endpoint reports in the head of a response.

use framing::response;
use route::InFlight;
use telemetry::{Event, Value};

use super::Attempt;
use super::guard::AttemptGuard;
use crate::{Dialect, ResponseFields};

impl<D: Dialect> Attempt<'_, D> {
    /// Tells the router the load, shutdown, pause, brittleness and rate limit that a response reports.
    pub(super) fn record_status(
        &self,
        head: &response::Head,
        fields: &ResponseFields,
        guard: &mut AttemptGuard<'_, D>,
    ) {
        let now = self.node.now();
        guard.details.status = Some(head.status);
        guard.details.confidence = fields.confidence;
        guard.details.is_leaving = Some(fields.is_leaving);
        self.record_load(head, fields, guard);
        if fields.is_leaving {
            self.report_leaving(guard);
        }
        if let (Some(pause), Some(in_flight)) = (fields.retry_after, &guard.in_flight) {
            self.node.router().record_pause(now, in_flight, pause);
        }
        if let (Some(max_refusals), Some(in_flight)) = (fields.max_refusals, &guard.in_flight) {
            self.report_brittle(max_refusals, in_flight);
        }
        self.report_rate_limit(head, fields, guard);
    }

    /// Records the load that the response reports, or counts why it can't be used. A 421 comes
    /// from another endpoint, and so does its load.
    fn record_load(
        &self,
        head: &response::Head,
        fields: &ResponseFields,
        guard: &mut AttemptGuard<'_, D>,
    ) {
        let now = self.node.now();
        match fields.load {
            Some(Ok(load)) if head.status != 421 => {
                guard.details.pace = load.pace;
                if let Some(in_flight) = &mut guard.in_flight {
                    self.node.router().record_load(now, in_flight, load);
                }
            }
            Some(Err(err)) => self.node.recorder.metrics().load_error(err),
            Some(Ok(_)) | None => {}
        }
    }

    /// Marks the endpoint's service as brittle, as the response says.
    fn report_brittle(&self, max_refusals: u64, in_flight: &InFlight) {
        let now = self.node.now();
        if self.node.router().record_brittle(now, in_flight) {
            self.node.recorder.log_event(
                Event::EndpointBrittle,
                &[
                    ("endpoint", Value::Text(&self.placement.id)),
                    ("refusals_per_second", Value::Count(max_refusals)),
                ],
            );
        }
    }

    /// Marks the endpoint as leaving, as its response says, so that it gets no new requests.
    fn report_leaving(&self, guard: &AttemptGuard<'_, D>) {
        let Some(in_flight) = &guard.in_flight else {
            return;
        };
        if self.node.router().record_leaving(in_flight) {
            let endpoint = ("endpoint", Value::Text(&self.placement.id));
            self.node.recorder.log_event(
                Event::EndpointLeaving,
                &[endpoint, ("told_by", Value::Text(&"its answer"))],
            );
        }
    }

    /// Records the limit that the response states, or that a response which the endpoint signed
    /// states none. A 421 comes from another endpoint.
    fn report_rate_limit(
        &self,
        head: &response::Head,
        fields: &ResponseFields,
        guard: &AttemptGuard<'_, D>,
    ) {
        let Some(in_flight) = guard.in_flight.as_ref().filter(|_| head.status != 421) else {
            return;
        };
        let is_whole_status = fields.is_signed && head.is_success();
        if fields.rate_limit.is_none() && !is_whole_status {
            return;
        }
        let now = self.node.now();
        let change = self
            .node
            .router()
            .record_rate_limit(now, in_flight, fields.rate_limit);
        if let Some(change) = change {
            let recorder = &self.node.recorder;
            recorder.log_rate_limit(&self.placement.id, change, "its answer");
        }
    }
}
