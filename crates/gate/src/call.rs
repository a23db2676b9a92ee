//! Request headers that any call may carry.

use std::sync::Arc;
use std::time::Duration;

use config::Priority;

use crate::problem::{Problem, Reason};

/// The name of the header that carries the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The name of the header that carries a [`crate::ticket::Ticket`].
pub const TICKET: &str = "barleypin-ticket";
/// The name of the header that carries a [`crate::session::Token`].
pub const SESSION: &str = "barleypin-session";
/// The name of the header that limits the call's duration, in milliseconds from arrival.
pub const DEADLINE: &str = "barleypin-deadline-ms";
/// The name of the header that states the [`Priority`].
pub const PRIORITY: &str = "barleypin-priority";

/// The name of the header by which a host proves to another that it forwards a
/// call, see [`crate::ticket::forwarding_proof`].
pub const VIA: &str = "barleypin-via";

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// The parsed headers of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    /// The caller's idempotency key.
    pub key: Option<Arc<str>>,
    /// The ticket, not yet verified.
    pub ticket: Option<String>,
    /// The session token, not yet verified.
    pub session: Option<String>,
    /// The caller's time limit for the call, from its arrival.
    pub deadline: Option<Duration>,
    /// The priority, if the caller sets one.
    pub priority: Option<Priority>,
}

impl Headers {
    /// Parses the headers, looking each one up with `get`.
    ///
    /// # Errors
    /// Returns a 400 problem that names the invalid header and the accepted values.
    pub fn parse<'a>(get: impl Fn(&str) -> Option<&'a str>) -> Result<Self, Problem> {
        Ok(Self {
            key: get(IDEMPOTENCY_KEY)
                .map(parse_idempotency_key)
                .transpose()?,
            ticket: get(TICKET).map(str::to_owned),
            session: get(SESSION).map(str::to_owned),
            deadline: get(DEADLINE).map(parse_deadline).transpose()?,
            priority: get(PRIORITY).map(parse_priority).transpose()?,
        })
    }
}

/// Returns the key in an `authorization: Bearer` header.
///
/// # Errors
/// Returns a 401 problem if the header is missing, has another scheme or an empty key.
pub fn bearer(authorization: Option<&str>) -> Result<&str, Problem> {
    authorization
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, key)| key.trim())
        .filter(|key| !key.is_empty())
        .ok_or_else(|| {
            Problem::not_run(
                Reason::Unauthorized,
                "authorization: expected `Bearer <key>`",
            )
        })
}

fn parse_idempotency_key(text: &str) -> Result<Arc<str>, Problem> {
    let is_valid = text.len() <= MAX_IDEMPOTENCY_KEY_BYTES
        && !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'/' | b'%'));
    if is_valid {
        Ok(text.into())
    } else {
        Err(invalid_header(
            IDEMPOTENCY_KEY,
            "expected 1 to 128 visible ASCII characters other than `/`",
        ))
    }
}

fn parse_deadline(text: &str) -> Result<Duration, Problem> {
    text.parse()
        .ok()
        .map(Duration::from_millis)
        .filter(|deadline| !deadline.is_zero() && *deadline <= MAX_DEADLINE)
        .ok_or_else(|| invalid_header(DEADLINE, "expected whole milliseconds from 1 to 3600000"))
}

fn parse_priority(text: &str) -> Result<Priority, Problem> {
    match text {
        "urgent" => Ok(Priority::Urgent),
        "interactive" => Ok(Priority::Interactive),
        "batch" => Ok(Priority::Batch),
        _ => Err(invalid_header(
            PRIORITY,
            "expected `urgent`, `interactive` or `batch`",
        )),
    }
}

fn invalid_header(header: &str, expected: &str) -> Problem {
    Problem::not_run(Reason::BadRequest, format!("{header}: {expected}"))
}
