//! The start of a call: parsing and admission.

use std::sync::Arc;

use async_std::task;
use config::WhenStale;
use decide::policy::{Policy, RetryPolicy};
use decide::{Arrival, arrival, key};
use futures::channel::oneshot;
use futures::future::{Either, select};
use futures::pin_mut;
use gate::chat::{Limits, Message};
use gate::problem::{Problem, Reason};
use gate::session::Token;
use http::{Body, Disconnect, Request, Response};
use kernel::{ProfileName, ServiceName};
use ledger::{Event, Fingerprint};

use super::caller::Caller;
use super::run::Run;
use super::work::{self, Chat, Plain, Work};
use super::{Call, forward, reason, replay};
use crate::context::Context;
use crate::host::Host;
use crate::reply;
use crate::service::ledger::Admission;

/// Length in bytes of the prompt prefix whose hash selects endpoints that have it cached.
const PREFIX_BYTES: usize = 2048;
/// Average length of a token in bytes.
const BYTES_PER_TOKEN: usize = 4;

/// Serves a chat completion.
pub(crate) async fn chat(cx: Arc<Context>, call: Call, request: Request) -> Response {
    let disconnect = request.disconnect.clone();
    let original = forward::OriginalRequest::of(&request);
    let body = match read_body(&cx.host, &call, request.body).await {
        Ok(body) => body,
        Err(problem) => return reply::refuse(&cx.host, &problem),
    };
    match parse_chat(&cx.host, &call, &body) {
        Ok(chat) => start(cx, call, Work::Chat(chat), original, body, disconnect).await,
        Err(problem) => {
            let problem = problem.of_request(call.request.as_str());
            reply::refuse(&cx.host, &problem)
        }
    }
}

/// Serves a call to a plain service. `target` is the part of the request target after the
/// service's name.
pub(crate) async fn plain(
    cx: Arc<Context>,
    call: Call,
    service: ServiceName,
    target: String,
    request: Request,
) -> Response {
    let disconnect = request.disconnect.clone();
    let original = forward::OriginalRequest::of(&request);
    let (method, headers) = (request.method, work::forwarded_headers(&request.headers));
    let body = match read_body(&cx.host, &call, request.body).await {
        Ok(body) => body,
        Err(problem) => return reply::refuse(&cx.host, &problem),
    };
    let snapshot = cx.host.current_config.get();
    let Some(known) = snapshot.document.services.get(&service) else {
        let problem = call.refusal(
            Reason::UnknownService,
            format!("no service `{service}` is configured"),
        );
        return reply::refuse(&cx.host, &problem);
    };
    let path = target.split('?').next().unwrap_or_default();
    let route = known.route(method.as_ref(), path);
    let retry_policy = route.map_or(RetryPolicy::AtMostOnce, |it| {
        crate::policy::retry_policy(it.retry_policy)
    });
    let mut call = call;
    if let Some(route) = route {
        call.headers.priority.get_or_insert(route.priority);
    }
    let work = Work::Plain(Plain {
        service,
        method,
        target,
        headers,
        body: body.clone().into(),
        retry_policy,
    });
    start(cx, call, work, original, body, disconnect).await
}

/// Returns a refusal if this host has had no recent proof that its configuration is the newest
/// and the profile's `when_stale` setting refuses such calls.
pub(crate) fn stale_refusal(host: &Host, call: &Call, profile: &ProfileName) -> Option<Problem> {
    let bound = host.settings.freshness.bound;
    let age = host.current_config.proof_age(host.now());
    if age.is_some_and(|age| age <= bound) {
        return None;
    }
    let snapshot = host.current_config.get();
    let refused = match snapshot.document.profiles.get(profile)?.when_stale {
        WhenStale::Serve => false,
        WhenStale::RefuseAlone => host.last_contact.age(host.now()) > bound,
        WhenStale::Refuse => true,
    };
    refused.then(|| {
        call.refusal(
            Reason::Stale,
            "this host has had no proof for too long that its configuration is the newest",
        )
        .retry_after(Some(host.settings.freshness.poll))
    })
}

async fn start(
    cx: Arc<Context>,
    call: Call,
    work: Work,
    original: forward::OriginalRequest,
    body: Vec<u8>,
    disconnect: Disconnect,
) -> Response {
    let arrival = match ledger_arrival(&cx.host, &call, &work, &original, &body) {
        Ok(arrival) => arrival,
        Err(problem) => return reply::refuse(&cx.host, &problem),
    };
    let Some(admission) = admit(&cx, arrival, &disconnect).await else {
        let problem = call.refusal(Reason::Leaving, "the call was dropped by its host");
        return reply::refuse(&cx.host, &problem);
    };
    match admission {
        Admission::Permit => run_permitted(cx, call, work, disconnect).await,
        Admission::Replay(outcome) => replay::response(&cx.host, &call, &work, &outcome),
        Admission::Forward(home) => forward::relay(cx, call, original, body, home).await,
        Admission::Refuse(refusal) => {
            let problem = reason::from_ledger_refusal(refusal).of_request(call.request.as_str());
            reply::refuse(&cx.host, &problem)
        }
    }
}

async fn admit(
    cx: &Arc<Context>,
    arrival: ledger::Arrival,
    disconnect: &Disconnect,
) -> Option<Admission> {
    let request = arrival.request.clone();
    let admitted = cx.ledger_handle.admit(arrival);
    let disconnected = disconnect.wait();
    pin_mut!(admitted, disconnected);
    match select(admitted, disconnected).await {
        Either::Left((admission, _)) => admission,
        Either::Right(_) => {
            cx.ledger_handle.handle(Event::Cancelled { request });
            None
        }
    }
}

async fn run_permitted(
    cx: Arc<Context>,
    call: Call,
    work: Work,
    disconnect: Disconnect,
) -> Response {
    let arrived = cx
        .decider
        .arrive(|policy| decider_arrival(policy, &call, &work));
    let directives = match arrived {
        Ok(directives) => directives,
        Err(problem) => {
            let request = call.request.clone();
            cx.ledger_handle
                .finish(request, ledger::End::Unanswered)
                .await;
            return reply::refuse(&cx.host, &problem);
        }
    };
    let host = Arc::clone(&cx.host);
    let request = call.request.clone();
    let (head, response) = oneshot::channel();
    let run = Run::new(cx, call, work, Caller::Waiting(head), directives);
    task::spawn(run.run(disconnect));
    response.await.unwrap_or_else(|_| {
        // The caller disconnected, so nobody receives this.
        let problem = Problem::new(
            Reason::AnswerCut,
            gate::problem::Run::Unknown,
            "the caller left before its answer",
        );
        let problem = problem.of_request(request.as_str());
        reply::document(problem.status, None, problem.to_json())
            .header(reply::header::HOST, host.settings.host.name.as_str())
    })
}

async fn read_body(host: &Host, call: &Call, body: Body) -> Result<Vec<u8>, Problem> {
    let limit = host.settings.limits.max_body_bytes;
    body.collect(limit).await.map_err(|err| match err {
        // `not_run` is true even if the key was used before, since it wasn't used with this body.
        http::Error::TooLarge { limit } => Problem::not_run(
            Reason::TooLarge,
            format!("body: more than the {limit} bytes that are accepted"),
        )
        .of_request(call.request.as_str()),
        err => call.refusal(Reason::BadRequest, format!("body: {err}")),
    })
}

fn parse_chat(host: &Host, call: &Call, body: &[u8]) -> Result<Chat, Problem> {
    let limits = Limits {
        content: host.settings.limits.max_body_bytes,
        ..Limits::default()
    };
    let request = gate::chat::Request::parse(body, &limits)?;
    let snapshot = host.current_config.get();
    let Some(profile) = snapshot.document.profiles.get(&request.profile) else {
        return Err(call.refusal(
            Reason::UnknownProfile,
            format!("model: no profile `{}` is configured", request.profile),
        ));
    };
    if profile.allowed(&call.customer).is_none() {
        return Err(call.refusal(
            Reason::NotAllowed,
            format!(
                "model: customer `{}` may not use profile `{}`",
                call.customer, request.profile
            ),
        ));
    }
    let max_tokens = request.max_tokens.unwrap_or(profile.max_tokens);
    if max_tokens > profile.max_tokens {
        return Err(call.refusal(
            Reason::BadRequest,
            format!(
                "max_tokens: profile `{}` accepts at most {}",
                request.profile, profile.max_tokens
            ),
        ));
    }
    if let Some(problem) = stale_refusal(host, call, &request.profile) {
        return Err(problem);
    }
    let pin = call
        .headers
        .session
        .as_deref()
        .map(|text| {
            Token::open(
                &host.secrets.session,
                text,
                &call.customer,
                &request.profile,
            )
        })
        .transpose()?
        .map(|token| token.version);
    Ok(Chat {
        prompt: prompt(&request.messages),
        messages: Arc::new(serde_json::to_value(&request.messages).unwrap_or_default()),
        profile: request.profile,
        mode: request.mode,
        max_tokens,
        class: request.class,
        retry_policy: crate::policy::retry_policy(profile.retry_policy),
        pin,
    })
}

fn prompt(messages: &[Message]) -> Arc<str> {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.content);
        text.push('\n');
    }
    text.into()
}

/// Returns the call in the ledger's form.
fn ledger_arrival(
    host: &Host,
    call: &Call,
    work: &Work,
    original: &forward::OriginalRequest,
    body: &[u8],
) -> Result<ledger::Arrival, Problem> {
    let ticket = call
        .ticket(host)
        .map_err(|problem| problem.of_request(call.request.as_str()))?;
    Ok(ledger::Arrival {
        request: call.request.clone(),
        customer: call.customer.clone(),
        key: call.headers.key.clone(),
        ticket,
        fingerprint: fingerprint(original, body),
        retry_policy: match work.retry_policy() {
            RetryPolicy::Idempotent => ledger::RetryPolicy::Idempotent,
            RetryPolicy::AtMostOnce => ledger::RetryPolicy::AtMostOnce,
        },
        via: original.via(host),
    })
}

fn fingerprint(original: &forward::OriginalRequest, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(original.method.as_ref().as_bytes());
    hasher.update(b" ");
    hasher.update(original.target.as_bytes());
    hasher.update(b"\n");
    hasher.update(body);
    Fingerprint(hash_to_u64(hasher.finalize().as_bytes()))
}

/// Returns the call in the decider's form, with the keys of `policy`.
fn decider_arrival(policy: &Policy, call: &Call, work: &Work) -> Result<Arrival, Problem> {
    let customer = policy.customer(&call.customer).ok_or_else(|| {
        call.refusal(
            Reason::Unauthorized,
            "the customer is not configured any more",
        )
    })?;
    let work = match work {
        Work::Chat(chat) => arrival::Work::Chat(chat_arrival(policy, call, chat)?),
        Work::Plain(plain) => arrival::Work::Call(arrival::Call {
            service: policy.service(&plain.service).ok_or_else(|| {
                call.refusal(
                    Reason::UnknownService,
                    "the service is not configured any more",
                )
            })?,
            retry_policy: Some(plain.retry_policy),
        }),
    };
    Ok(Arrival {
        request: call.number,
        customer,
        work,
        priority: call.headers.priority.map(crate::policy::priority),
        deadline: call.headers.deadline.map(|it| call.arrived + it),
    })
}

fn chat_arrival(policy: &Policy, call: &Call, chat: &Chat) -> Result<arrival::Chat, Problem> {
    let profile = policy.profile(&chat.profile).ok_or_else(|| {
        call.refusal(
            Reason::UnknownProfile,
            "the profile is not configured any more",
        )
    })?;
    let pin = chat.pin.as_ref().map(|it| match policy.version(it) {
        Some(version) => arrival::Pin::Version(version),
        None => arrival::Pin::Gone,
    });
    Ok(arrival::Chat {
        profile,
        class: key::Class::named(&chat.class),
        prompt_tokens: u32::try_from(chat.prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX),
        max_tokens: chat.max_tokens,
        prefix: prefix(&chat.prompt),
        pin,
    })
}

fn prefix(prompt: &str) -> u64 {
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    hash_to_u64(blake3::hash(start).as_bytes()).max(1)
}

fn hash_to_u64(hash: &[u8; 32]) -> u64 {
    u64::from_le_bytes([
        hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7],
    ])
}
