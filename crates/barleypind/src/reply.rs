//! Responses to callers and operators.

use gate::problem::{self, Problem};
use http::{Body, Response, Status};

use crate::event::Event;
use crate::host::Host;

/// Names of response headers, as in `docs/PROTOCOLS.md`.
pub(crate) mod header {
    pub(crate) const REQUEST: &str = "barleypin-request";
    pub(crate) const VERSION: &str = "barleypin-version";
    pub(crate) const COST: &str = "barleypin-cost-microcents";
    pub(crate) const ATTEMPTS: &str = "barleypin-attempts";
    pub(crate) const SESSION: &str = "barleypin-session";
    pub(crate) const SESSION_MOVED: &str = "barleypin-session-moved";
    pub(crate) const HOST: &str = "barleypin-host";
    pub(crate) const REVISION: &str = "barleypin-revision";
}

/// Returns the response of a refusal, which it counts and logs.
pub(crate) fn refuse(host: &Host, problem: &Problem) -> Response {
    host.metrics.refused(problem.reason);
    host.log.emit(
        Event::Refused,
        &[
            ("reason", &problem.reason),
            ("request", &problem.request),
            ("detail", &problem.detail),
        ],
    );
    document(
        problem.status,
        problem.retry_after_seconds(),
        problem.to_json(),
    )
    .header(header::HOST, host.settings.host.name.as_str())
}

/// Returns a problem document as a response.
pub(crate) fn document(status: u16, retry_after: Option<u64>, json: String) -> Response {
    let mut response = Response::new(status_of(status))
        .header("content-type", problem::MEDIA_TYPE)
        .body(Body::bytes(json));
    if let Some(seconds) = retry_after {
        response.headers.set("retry-after", seconds.to_string());
    }
    response
}

/// Returns serialized JSON as a response.
pub(crate) fn json(text: String) -> Response {
    Response::new(Status::Ok)
        .header("content-type", "application/json")
        .body(Body::bytes(text))
}

/// Returns the status with this number, or 500 for an unknown one.
pub(crate) fn status_of(status: u16) -> Status {
    Status::try_from(status).unwrap_or(Status::InternalServerError)
}
