//! Serves one request: admission, attempts and the final report.

use std::cell::{Cell, OnceCell, RefCell};
use std::fmt::{Display, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use framing::request;
use kernel::RequestId;
use route::config::{Customer, Route};
use route::reach::State;
use route::{Call, Denial, Ending, Failure, Fingerprint, IncomingRequest, Next, Placement};
use telemetry::{AttemptSummary, Event, Outcome, RelayResult, RequestReport, Value};

use crate::attempt::{Attempt, AttemptOutcome};
use crate::caller::Request;
use crate::relay::{Relay, RelayOutcome};
use crate::response_writer::{LocalResponse, ResponseWriter};
use crate::{Dialect, Node, Phase, RequestFields, probe, reach};

/// The response is incomplete and can't be completed; the connection must be closed.
#[derive(Debug)]
pub(crate) struct ResponseAborted;

pub(crate) async fn serve<D: Dialect>(
    node: &Rc<Node<D>>,
    request: &Request,
    mut response: ResponseWriter,
) -> Result<(), ResponseAborted> {
    let request_fields = node.dialect.parse_request(&request.head);
    let Some(id) = request_fields.id.clone() else {
        response.send_local(LocalResponse::of(400)).await;
        return Ok(());
    };
    response.request_id = Some((node.dialect.request_id_field(), id.as_str().to_owned()));
    let record = RequestRecord::new(node, request.arrived, &id);
    node.wait_until_configured().await;
    let mut call = match admit(node, request, &request_fields, &id) {
        Ok(call) => call,
        Err(outcome) => {
            if let Outcome::Denied(Denial::Quarantined { fingerprint, .. }) = outcome {
                record.progress.fingerprint.set(Some(fingerprint));
            }
            let local = local_response(outcome);
            response.send_local(local).await;
            record.end(outcome, local.status);
            return Ok(());
        }
    };
    if call.route.is_stream() && !request.head.supports_chunked {
        // Without chunked encoding the end of the connection marks the end of a stream, and
        // the caller can't tell a truncated stream from a complete one.
        response.send_local(LocalResponse::of(505)).await;
        record.end(Outcome::Rejected, response.status);
        return Ok(());
    }
    record.progress.fingerprint.set(Some(call.fingerprint));
    // This is the only place that sets the route.
    let _ = record
        .progress
        .route
        .set((call.route.clone(), call.customer.clone()));
    let outcome = run_attempts(&record, request, &request_fields, &mut call, &mut response).await;
    let result = match outcome {
        Outcome::Failed(_) if call.has_started() => Err(ResponseAborted),
        Outcome::CallerGone => Err(ResponseAborted),
        _ => Ok(()),
    };
    record.end(outcome, response.status);
    result
}

/// Denies a request whose body wasn't read.
pub(crate) async fn deny<D: Dialect>(
    node: &Rc<Node<D>>,
    head: &request::Head,
    denial: Denial,
    mut response: ResponseWriter,
) {
    let local = LocalResponse::from(denial);
    let Some(id) = node.dialect.parse_request(head).id else {
        return response.send_local(local).await;
    };
    response.request_id = Some((node.dialect.request_id_field(), id.as_str().to_owned()));
    let record = RequestRecord::new(node, node.now(), &id);
    response.send_local(local).await;
    record.end(Outcome::Denied(denial), local.status);
}

/// Returns the response to a request that wasn't admitted. [`admit`] returns only
/// [`Outcome::Denied`].
fn local_response(outcome: Outcome) -> LocalResponse {
    match outcome {
        Outcome::Denied(denial) => denial.into(),
        Outcome::Failed(failure) => failure.into(),
        Outcome::Answered | Outcome::Rejected | Outcome::CallerGone => LocalResponse::of(400),
    }
}

fn admit<D: Dialect>(
    node: &Node<D>,
    request: &Request,
    request_fields: &RequestFields,
    id: &RequestId,
) -> Result<Call, Outcome> {
    let host = request.head.fields.text("host").unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let host = host.to_ascii_lowercase();
    let arrival = IncomingRequest {
        id: id.as_str(),
        host: &host,
        path: request.head.path(),
        body: &request.body,
        key: request_fields.key.as_deref(),
        timeout: request_fields.timeout,
        profile: request_fields.profile.clone(),
        model_choice: request_fields.model_choice,
        relayed: request_fields.relayed,
    };
    let call = node
        .router()
        .admit(request.arrived, arrival)
        .map_err(Outcome::Denied)?;
    match node.phase() {
        Phase::Draining { end } if call.deadline > end => Err(Outcome::Denied(Denial::Stopping)),
        _ => Ok(call),
    }
}

async fn run_attempts<D: Dialect>(
    record: &RequestRecord<'_, D>,
    request: &Request,
    request_fields: &RequestFields,
    call: &mut Call,
    response: &mut ResponseWriter,
) -> Outcome {
    let node = record.node;
    let mut last_event = request_fields.last_event;
    loop {
        let relayed = relay(record, request, call, response, &mut last_event).await;
        if let Some(outcome) = relayed {
            return outcome;
        }
        let now = node.now();
        // A caller that resumes a stream has received part of it, possibly from another host.
        if last_event.is_none() {
            let checked = node.router().check_capacity(now, call);
            if let Err(failure) = checked {
                return send_failure(call, response, failure).await;
            }
        }
        let Some(placement) = node.router().place(now, call) else {
            let failure = node.router().unplaced_failure(now, call);
            return send_failure(call, response, failure).await;
        };
        let attempt = Attempt {
            node,
            request,
            id: record.id,
            placement: &placement,
            progress: &record.progress,
            last_event: &mut last_event,
        };
        let result = attempt.run(call, response).await;
        match result {
            AttemptOutcome::Delivered => return Outcome::Answered,
            AttemptOutcome::CallerGone => return Outcome::CallerGone,
            AttemptOutcome::Ended {
                in_flight,
                ending,
                error_response,
            } => {
                let next = node
                    .router()
                    .end_attempt(node.now(), call, *in_flight, ending);
                report_ejections(node);
                probe::spawn_probes(node);
                reach::spawn_checks(node);
                match (next, error_response) {
                    (Next::Again, _) => node.recorder.metrics().retry(ending),
                    // `Failure::Passed` without an error response that may be forwarded is
                    // answered with a 502 by `send_failure`.
                    (Next::Fail(Failure::Passed), Some(whole)) => {
                        return match response
                            .send_buffered(&node.dialect, &whole, node.timeouts.write)
                            .await
                        {
                            Ok(()) => Outcome::Failed(Failure::Passed),
                            Err(_) => Outcome::CallerGone,
                        };
                    }
                    (Next::Fail(failure), _) => return send_failure(call, response, failure).await,
                }
            }
        }
    }
}

/// Forwards the request through other hosts if this one reaches no endpoint. Returns `None` if it
/// does, or knows no other host to ask.
async fn relay<D: Dialect>(
    record: &RequestRecord<'_, D>,
    request: &Request,
    call: &mut Call,
    response: &mut ResponseWriter,
    last_event: &mut Option<u64>,
) -> Option<Outcome> {
    let node = record.node;
    let mut longest = Duration::ZERO;
    loop {
        let Some(host) = node.router().next_relay(call) else {
            if !call.was_relayed() || node.router().reach() == State::Reachable {
                return None;
            }
            let failure = node.router().unrelayed_failure(node.now(), call, longest);
            return Some(send_failure(call, response, failure).await);
        };
        // No attempt ends while requests are forwarded, so the checks start here as well.
        reach::spawn_checks(node);
        let relay = Relay {
            node,
            request,
            id: record.id,
            progress: &record.progress,
            last_event,
        };
        match relay.run(host, call, response).await {
            RelayOutcome::Delivered => return Some(Outcome::Answered),
            RelayOutcome::CallerGone => return Some(Outcome::CallerGone),
            RelayOutcome::NotRun { retry_after } => longest = longest.max(retry_after),
            RelayOutcome::Failed(Failure::Passed) => {
                return Some(Outcome::Failed(Failure::Passed));
            }
            RelayOutcome::Failed(failure) => {
                return Some(send_failure(call, response, failure).await);
            }
        }
    }
}

/// Logs and counts the endpoints that were ejected since the last call.
fn report_ejections<D: Dialect>(node: &Node<D>) {
    let ejected = node.router().take_ejected();
    for (id, reason) in ejected {
        node.recorder.metrics().ejection(reason);
        node.recorder.log_event(
            Event::EndpointResting,
            &[
                ("endpoint", Value::Text(&id)),
                ("reason", Value::Text(&reason)),
            ],
        );
    }
}

async fn send_failure(call: &Call, response: &mut ResponseWriter, failure: Failure) -> Outcome {
    // Once a stream has started, only closing the connection can signal the failure.
    if !call.has_started() {
        response.send_local(failure.into()).await;
    }
    Outcome::Failed(failure)
}

/// Reports the end of a request, also when the future that serves it is dropped because
/// the caller disconnected.
struct RequestRecord<'a, D: Dialect> {
    node: &'a Rc<Node<D>>,
    id: &'a RequestId,
    arrived: Duration,
    progress: Progress,
    ended: Cell<bool>,
}

/// The progress of a request, for its final report.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    route: OnceCell<(Arc<Route>, Option<Arc<Customer>>)>,
    fingerprint: Cell<Option<Fingerprint>>,
    pub(crate) attempts: Cell<u32>,
    /// The time at which writing an endpoint's response to the caller began.
    pub(crate) first_byte: Cell<Option<Duration>>,
    /// The longest time between two parts of the response that came from the same attempt.
    pub(crate) max_pause: Cell<Option<Duration>>,
    /// The number of events of a stream that were passed to the response writer.
    pub(crate) events: Cell<u64>,
    /// The endpoint, ending and duration in milliseconds of each attempt, for the report.
    trail: RefCell<String>,
    attempt_summary: Cell<AttemptSummary>,
}

impl Progress {
    /// Appends a finished attempt to `trail`.
    pub(crate) fn record_attempt(&self, placement: &Placement, ending: Ending, took: Duration) {
        self.extend_trail(&placement.id, &ending, took);
        if AttemptSummary::from(ending) == AttemptSummary::SomeFailed {
            self.attempt_summary.set(AttemptSummary::SomeFailed);
        }
    }

    /// Appends the forwarding through another host to `trail`.
    pub(crate) fn record_relay(&self, host: SocketAddr, result: RelayResult, took: Duration) {
        self.extend_trail(&host, &result, took);
        self.attempt_summary.set(AttemptSummary::SomeFailed);
    }

    fn extend_trail(&self, to: &dyn Display, result: &dyn Display, took: Duration) {
        let mut trail = self.trail.borrow_mut();
        if !trail.is_empty() {
            trail.push_str(", ");
        }
        // Writing to a `String` can't fail.
        let _ = write!(trail, "{to} {result} {}", took.as_millis());
    }
}

impl<'a, D: Dialect> RequestRecord<'a, D> {
    fn new(node: &'a Rc<Node<D>>, arrived: Duration, id: &'a RequestId) -> Self {
        Self {
            node,
            id,
            arrived,
            progress: Progress::default(),
            ended: Cell::new(false),
        }
    }

    fn end(&self, outcome: Outcome, status: u16) {
        self.ended.set(true);
        let progress = &self.progress;
        let route = progress.route.get();
        let customer = route.and_then(|it| it.1.as_ref());
        let first_byte = progress.first_byte.get();
        let report = RequestReport {
            id: self.id,
            fingerprint: progress.fingerprint.get(),
            route: route.map(|it| &*it.0.name),
            customer: customer.map(|it| it.name.as_str()),
            outcome,
            status,
            time_to_first_byte: first_byte.map(|it| it.saturating_sub(self.arrived)),
            max_pause: progress.max_pause.get(),
            total: self.node.now().saturating_sub(self.arrived),
            attempts: progress.attempts.get(),
            events: progress.events.get(),
            trail: &progress.trail.borrow(),
            attempt_summary: progress.attempt_summary.get(),
            config_version: self.node.router().version(),
        };
        self.node.recorder.record_request(&report);
    }
}

impl<D: Dialect> Drop for RequestRecord<'_, D> {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.end(Outcome::CallerGone, 0);
        }
    }
}
