//! The HTTP interface for callers: authentication and routing of their calls.

use std::sync::Arc;

use futures::FutureExt;
use gate::call::{self, Headers};
use gate::hosts::{Answer, Host as Listed};
use gate::operator::millis;
use gate::problem::{Problem, Reason};
use gate::ticket::Ticket;
use http::{Method, Request, Response, Status};
use kernel::{DataCentre, ServiceName};

use crate::call::{Call, run_without_ledger};
use crate::context::Context;
use crate::event::Event;
use crate::gauges;
use crate::host::Phase;
use crate::metrics::CallKind;
use crate::reply;
use crate::service::fleet;

/// Validity of a ticket beyond the time for which callers keep the response that contains it, so
/// that a call sent at the last moment can still be retried.
const TICKET_VALIDITY_MARGIN: std::time::Duration = std::time::Duration::from_mins(5);

/// Serves a request of a caller.
pub(crate) async fn serve(cx: Arc<Context>, request: Request) -> Response {
    let path = request.path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (request.method, segments.as_slice()) {
        (Method::Get, ["healthz" | "readyz" | "metrics"]) => probe(&cx, &path).await,
        (Method::Get, ["v1", "hosts"]) => hosts(&cx, &request).await,
        (Method::Post, ["v1", "chat", "completions"]) => {
            match accept_call(&cx, &request, CallKind::Chat) {
                Ok(call) => crate::call::chat(cx, call, request).boxed().await,
                Err(problem) => reply::refuse(&cx.host, &problem),
            }
        }
        (_, ["services", name, ..]) => {
            let (name, target) = (ServiceName::from(*name), service_target(&request.target));
            match accept_call(&cx, &request, CallKind::Service) {
                Ok(call) => {
                    crate::call::plain(cx, call, name, target, request)
                        .boxed()
                        .await
                }
                Err(problem) => reply::refuse(&cx.host, &problem),
            }
        }
        _ => reply::refuse(&cx.host, &not_found(&request)),
    }
}

/// Serves health checks and metrics, which need no key.
pub(crate) async fn probe(cx: &Context, path: &str) -> Response {
    match path {
        "/metrics" => {
            gauges::update(cx).await;
            Response::text(Status::Ok, cx.host.metrics.text())
        }
        "/readyz" => match cx.host.phase() {
            Phase::Ready => Response::text(Status::Ok, "ready\n"),
            Phase::Starting => Response::text(
                Status::ServiceUnavailable,
                "starting: no configuration yet\n",
            ),
            Phase::Leaving => Response::text(Status::ServiceUnavailable, "leaving\n"),
        },
        _ => Response::text(Status::Ok, "alive\n"),
    }
}

pub(crate) fn not_found(request: &Request) -> Problem {
    Problem::not_run(
        Reason::NotFound,
        format!(
            "{} {}: there is no such call",
            request.method,
            request.path()
        ),
    )
}

/// Authenticates a call, parses its headers and counts it as open. Refuses it if this host has
/// too many open calls.
fn accept_call(cx: &Context, request: &Request, kind: CallKind) -> Result<Call, Problem> {
    let arrived = cx.host.now();
    cx.host.metrics.call(kind);
    let customer = authenticate(cx, request)?;
    let headers = Headers::parse(|name| request.headers.get(name))?;
    let Some(open) = cx.host.try_open_call() else {
        return Err(Problem::new(
            Reason::Overloaded,
            run_without_ledger(headers.key.as_deref()),
            "this host has its greatest number of calls open; use another one",
        ));
    };
    let (number, request) = cx.host.next_request();
    Ok(Call {
        number,
        request,
        customer,
        headers,
        arrived,
        open: Some(open),
    })
}

fn authenticate(cx: &Context, request: &Request) -> Result<kernel::Customer, Problem> {
    let key = call::bearer(request.headers.get("authorization"))?;
    let run = run_without_ledger(request.headers.get(call::IDEMPOTENCY_KEY));
    if cx.host.phase() == Phase::Starting {
        return Err(Problem::new(
            Reason::NotReady,
            run,
            "this host has no configuration yet; use another one",
        ));
    }
    let snapshot = cx.host.current_config.get();
    snapshot.customer(key).cloned().ok_or_else(|| {
        cx.host
            .log
            .emit(Event::BadKey, &[("path", &request.path())]);
        Problem::new(
            Reason::Unauthorized,
            run,
            "authorization: the key belongs to no customer",
        )
    })
}

async fn hosts(cx: &Arc<Context>, request: &Request) -> Response {
    cx.host.metrics.call(CallKind::Hosts);
    if let Err(problem) = authenticate(cx, request) {
        return reply::refuse(&cx.host, &problem);
    }
    let data_centre = request.query("data_centre").map_or_else(
        || cx.host.settings.host.data_centre.clone(),
        DataCentre::from,
    );
    let Some(fleet) = cx.host.registry.find::<fleet::Fleet>() else {
        return reply::refuse(&cx.host, &leaving_problem());
    };
    let members = fleet
        .ask(|reply| fleet::Message::Handout(data_centre, reply))
        .await;
    let Some(members) = members else {
        return reply::refuse(&cx.host, &leaving_problem());
    };
    let keep = cx.host.settings.limits.hosts_keep;
    let ticket = Ticket {
        incarnation: cx.host.incarnation(),
        host: cx.host.settings.host.name.clone(),
        expiry: cx.host.clock.wall() + keep + TICKET_VALIDITY_MARGIN,
        floor: cx.ledger_handle.floor().0,
    };
    let answer = Answer {
        hosts: members
            .into_iter()
            .map(|it| Listed {
                name: it.identity.host,
                address: it.address.to_string(),
                data_centre: it.data_centre,
            })
            .collect(),
        keep_ms: millis(keep),
        ticket: ticket.seal(&cx.host.secrets.ticket),
    };
    Response::json(Status::Ok, &answer)
        .header(reply::header::HOST, cx.host.settings.host.name.as_str())
}

fn leaving_problem() -> Problem {
    Problem::not_run(
        Reason::Leaving,
        "this host is shutting down; use another one",
    )
}

/// Returns the path and query after `/services/{name}`, starting with `/`.
fn service_target(target: &str) -> String {
    let rest = target.splitn(4, '/').nth(3).unwrap_or_default();
    let query = if rest.is_empty() {
        target.split_once('?').map(|(_, query)| query)
    } else {
        None
    };
    match query {
        Some(query) => format!("/?{query}"),
        None => format!("/{rest}"),
    }
}
