//! Forwarding of calls to their home, the only host that may run them.

use std::sync::Arc;

use gate::call;
use gate::problem::{Problem, Reason, Run};
use gate::ticket;
use http::{Body, Headers, Method, Options, Request, Response};
use kernel::Incarnation;
use ledger::{Event, ForwardResult, Via};

use super::Call;
use crate::context::Context;
use crate::host::Host;
use crate::reply;
use crate::service::fleet;

/// The method, target and headers of a call as sent by its caller.
pub(crate) struct OriginalRequest {
    pub(crate) method: Method,
    pub(crate) target: String,
    headers: Headers,
}

impl OriginalRequest {
    pub(crate) fn of(request: &Request) -> Self {
        Self {
            method: request.method,
            target: request.target.clone(),
            headers: request.headers.clone(),
        }
    }

    /// Returns whether the call comes from a caller or was forwarded by another host, which
    /// proves this by the keyed hash of the ticket. Callers don't have its key.
    pub(crate) fn via(&self, host: &Host) -> Via {
        let ticket = self.headers.get(call::TICKET).unwrap_or_default();
        match self.headers.get(call::VIA) {
            Some(proof) if ticket::is_forwarding_proof(&host.secrets.ticket, ticket, proof) => {
                Via::Peer
            }
            _ => Via::Caller,
        }
    }
}

/// Forwards the call to its home and returns the home's response.
pub(crate) async fn relay(
    cx: Arc<Context>,
    call: Call,
    original: OriginalRequest,
    body: Vec<u8>,
    home: Incarnation,
) -> Response {
    let response = send_to_home(&cx, original, body, home).await;
    let end = match &response {
        Ok(_) => ForwardResult::Relayed,
        Err(_) => ForwardResult::Failed,
    };
    let request = call.request.clone();
    cx.ledger_handle.handle(Event::Forwarded { request, end });
    response.unwrap_or_else(|run| {
        let problem = Problem::new(
            Reason::HolderGone,
            run,
            "the host that alone may run this key does not answer",
        );
        reply::refuse(&cx.host, &problem.of_request(call.request.as_str()))
    })
}

async fn send_to_home(
    cx: &Context,
    original: OriginalRequest,
    body: Vec<u8>,
    home: Incarnation,
) -> Result<Response, Run> {
    let fleet = cx.host.registry.find::<fleet::Fleet>();
    let fleet = fleet.ok_or(Run::NotRun)?;
    let member = fleet
        .ask(|reply| fleet::Message::Find(home, reply))
        .await
        .flatten()
        .ok_or(Run::NotRun)?;
    let mut request = Request::new(original.method, original.target).body(Body::bytes(body));
    for (name, value) in original
        .headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
    {
        request.headers.append(name.to_owned(), value);
    }
    let ticket = original.headers.get(call::TICKET).unwrap_or_default();
    let proof = ticket::forwarding_proof(&cx.host.secrets.ticket, ticket);
    request.headers.set(call::VIA, proof);
    let options = Options {
        connect: cx.host.settings.http.connect,
        total: cx.host.settings.host.drain_limit,
        first_byte: cx.host.settings.host.drain_limit,
        retry_policy: http::RetryPolicy::Never,
    };
    cx.host
        .http
        .send(member.address, request, &options)
        .await
        .map_err(|err| match err {
            http::Error::NotSent(_) => Run::NotRun,
            _ => Run::Unknown,
        })
}

/// Returns whether a header is part of the call rather than of the caller's connection.
fn is_forwarded(name: &str) -> bool {
    const CONNECTION_HEADERS: [&str; 6] = [
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "transfer-encoding",
        "expect",
    ];
    !CONNECTION_HEADERS
        .iter()
        .any(|it| it.eq_ignore_ascii_case(name))
}
