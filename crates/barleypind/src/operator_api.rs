//! The HTTP interface for operators.

use std::sync::{Arc, PoisonError};

use config::{Change, Edit, Entry, EntryKind, EntryName};
use gate::call;
use gate::operator::{
    Backlog, Condition, Health, History, Host as HostStatus, Refusal, Rollout, Snapshot, State,
    Status, millis,
};
use gate::problem::{Problem, Reason};
use http::{Method, Request, Response};
use kernel::{HostName, Incarnation};
use wire::Member;

use crate::caller_api;
use crate::context::Context;
use crate::event::Event;
use crate::metrics;
use crate::reply;
use crate::service::{configure, fleet};

/// The default and the maximum number of entries in a history response.
const HISTORY_LIMITS: (usize, usize) = (20, 500);

/// Serves a request of an operator.
pub(crate) async fn serve(cx: Arc<Context>, request: Request) -> Response {
    let path = request.path().to_owned();
    if request.method == Method::Get && matches!(path.as_str(), "/healthz" | "/readyz" | "/metrics")
    {
        return caller_api::probe(&cx, &path).await;
    }
    cx.host.metrics.call(metrics::CallKind::Operator);
    if let Err(problem) = authenticate(&cx, &request) {
        return reply::refuse(&cx.host, &problem);
    }
    match route(&cx, &path, request).await {
        Ok(response) => response,
        Err(refusal) => {
            cx.host.metrics.refused(refusal.problem.reason);
            let json = serde_json::to_string(&refusal).unwrap_or_default();
            let problem = &refusal.problem;
            reply::document(problem.status, problem.retry_after_seconds(), json)
        }
    }
}

fn authenticate(cx: &Context, request: &Request) -> Result<(), Problem> {
    let key = call::bearer(request.headers.get("authorization"))?;
    if cx.host.secrets.is_operator(key) {
        return Ok(());
    }
    cx.host
        .log
        .emit(Event::BadKey, &[("path", &request.path())]);
    Err(Problem::not_run(
        Reason::Unauthorized,
        "authorization: the key is not the operators' key",
    ))
}

async fn route(cx: &Arc<Context>, path: &str, request: Request) -> Result<Response, Refusal> {
    let segments: Vec<String> = path
        .split('/')
        .skip(1)
        .map(|it| percent_decode(it).unwrap_or_else(|| it.to_owned()))
        .collect();
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    match (request.method, segments.as_slice()) {
        (Method::Get, ["operator", "v1", "document"]) => Ok(document(cx)),
        (Method::Get, ["operator", "v1", "history"]) => history(cx, &request).await,
        (Method::Get, ["operator", "v1", "status"]) => status(cx).await,
        (Method::Post, ["operator", "v1", "hosts", name, "drain"]) => drain(cx, name).await,
        (Method::Put | Method::Delete, ["operator", "v1", kind, name]) => {
            match EntryKind::from_plural(kind) {
                Some(kind) => change(cx, EntryName::new(kind, name), request).await,
                None => Err(caller_api::not_found(&request).into()),
            }
        }
        _ => Err(caller_api::not_found(&request).into()),
    }
}

fn document(cx: &Context) -> Response {
    let snapshot = cx.host.current_config.get();
    Response::json(
        http::Status::Ok,
        &Snapshot {
            revision: snapshot.revision(),
            document: snapshot.document.clone(),
        },
    )
}

async fn history(cx: &Context, request: &Request) -> Result<Response, Refusal> {
    let limit = match request.query("limit") {
        None => HISTORY_LIMITS.0,
        Some(text) => text
            .parse()
            .ok()
            .filter(|it| (1..=HISTORY_LIMITS.1).contains(it))
            .ok_or_else(|| {
                Problem::not_run(
                    Reason::BadRequest,
                    format!(
                        "limit: expected a whole number from 1 to {}",
                        HISTORY_LIMITS.1
                    ),
                )
            })?,
    };
    let entries = configure::history(cx, limit).await?;
    Ok(Response::json(http::Status::Ok, &History { entries }))
}

async fn change(cx: &Arc<Context>, name: EntryName, request: Request) -> Result<Response, Refusal> {
    let condition = Condition::parse(|header| request.headers.get(header))?;
    let edit = if request.method == Method::Delete {
        Edit::remove(name)
    } else {
        let limit = cx.host.settings.limits.max_body_bytes;
        let body = request.body.collect(limit).await.map_err(|err| {
            let reason = match err {
                http::Error::TooLarge { .. } => Reason::TooLarge,
                _ => Reason::BadRequest,
            };
            Problem::not_run(reason, format!("body: {err}"))
        })?;
        let entry = Entry::from_json(name.kind(), &body)
            .map_err(|err| Problem::not_run(Reason::BadRequest, format!("body: {err}")))?;
        Edit::put(name, entry)
            .ok_or_else(|| Problem::not_run(Reason::BadRequest, "body: is of another kind"))?
    };
    let change = Change {
        id: condition.change,
        base: condition.read_at,
        author: condition.author,
        mode: condition.mode,
        edit,
    };
    let accepted = configure::commit(cx, &change).await?;
    Ok(Response::json(http::Status::Ok, &accepted))
}

async fn drain(cx: &Context, name: &str) -> Result<Response, Refusal> {
    let members = members(cx).await;
    let host = HostName::from(name);
    let Some(member) = members.into_iter().find(|it| it.identity.host == host) else {
        return Err(
            Problem::not_run(Reason::NotFound, format!("no host `{name}` is known")).into(),
        );
    };
    if member.identity.incarnation == cx.host.incarnation() {
        crate::service::drain::begin(&cx.host);
    } else {
        fleet::send_event(cx, ::fleet::Event::Drain(member.identity));
    }
    Ok(Response::new(http::Status::Accepted))
}

async fn status(cx: &Context) -> Result<Response, Refusal> {
    let now = cx.host.now();
    let snapshot = cx.host.current_config.get();
    let mut hosts: Vec<HostStatus> = members(cx)
        .await
        .iter()
        .map(|it| host_status(cx, it))
        .collect();
    if hosts.is_empty() {
        return Err(Problem::not_run(Reason::Leaving, "this host is shutting down").into());
    }
    let mut host = hosts.remove(0);
    host.revision = snapshot.revision();
    host.proof_age_ms = cx
        .host
        .current_config
        .proof_age(now)
        .map_or(u64::MAX, millis);
    host.load = cx.host.open_calls() as u64;
    let ledger_status = cx.ledger_handle.status();
    let oldest = cx
        .backlog
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .oldest(now);
    let endpoints = cx.endpoints.live();
    let status = Status {
        host,
        peers: hosts,
        versions: snapshot
            .document
            .versions
            .iter()
            .map(|(id, version)| Health {
                version: id.clone(),
                state: version.state.to_string(),
                verdict: cx.verdicts.description(id),
                endpoints: u32::try_from(endpoints.iter().filter(|it| it.has_loaded(id)).count())
                    .unwrap_or(u32::MAX),
            })
            .collect(),
        rollouts: snapshot
            .document
            .rollouts
            .iter()
            .map(|(id, rollout)| Rollout {
                version: id.clone(),
                state: rollout.state.to_string(),
                step: u32::try_from(rollout.step).unwrap_or(u32::MAX),
                steps: u32::try_from(rollout.steps.len()).unwrap_or(u32::MAX),
                holder: None,
            })
            .collect(),
        backlog: Backlog {
            own: ledger_status.held as u64,
            held: ledger_status.copies as u64,
            oldest_ms: millis(oldest),
        },
    };
    Ok(Response::json(http::Status::Ok, &status))
}

pub(crate) async fn members(cx: &Context) -> Vec<Member> {
    let Some(fleet) = cx.host.registry.find::<fleet::Fleet>() else {
        return Vec::new();
    };
    fleet.ask(fleet::Message::Members).await.unwrap_or_default()
}

fn host_status(cx: &Context, member: &Member) -> HostStatus {
    let incarnation: Incarnation = member.identity.incarnation;
    HostStatus {
        name: member.identity.host.clone(),
        incarnation,
        address: member.address.to_string(),
        data_centre: member.data_centre.clone(),
        state: match member.state {
            wire::State::Alive if incarnation == cx.host.incarnation() => local_state(cx),
            wire::State::Alive => State::Live,
            wire::State::Leaving => State::Leaving,
            wire::State::Suspect | wire::State::Unreachable | wire::State::Dead => State::Suspect,
        },
        revision: kernel::Revision(0),
        proof_age_ms: u64::MAX,
        load: 0,
    }
}

fn local_state(cx: &Context) -> State {
    match cx.host.phase() {
        crate::host::Phase::Leaving => State::Leaving,
        _ => State::Live,
    }
}

/// Decodes percent-encoded text. Returns `None` if the encoding is invalid or the result isn't
/// UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let high = char::from(rest.next()?).to_digit(16)?;
            let low = char::from(rest.next()?).to_digit(16)?;
            bytes.push(u8::try_from(high << 4 | low).ok()?);
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8(bytes).ok()
}
