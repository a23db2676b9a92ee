//! The end of a run: billing, and then the end of the response to the caller.

use std::sync::Arc;

use decide::Refusal;
use gate::chat::{Answer, Extra, Usage};
use gate::problem::{Problem, Reason, Run as RunState};
use gate::session::Token;
use http::{Headers, Response};
use kernel::{AttemptId, Money, VersionId};
use ledger::{Charge, Outcome};

use super::{Dispatched, Ending, Run};
use crate::call::attempt::{CompleteResponse, PlainResponse};
use crate::call::work::{Chat, Work};
use crate::call::{caller, reason};
use crate::event::Event;
use crate::reply::{self, header};
use crate::service::decide::Delivery;
use crate::service::ledger::Closing;

/// Headers of a plain service's response that this host's server writes itself.
const CONNECTION_HEADERS: [&str; 6] = [
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "transfer-encoding",
    "trailer",
];

impl Run {
    pub(super) async fn settle(mut self, ending: Ending) {
        let took = self.cx.host.now().saturating_sub(self.call.arrived);
        let kind = self.kind();
        let open = self.call.open.take();
        let host = Arc::clone(&self.cx.host);
        match ending {
            Ending::Delivered(delivery) => self.deliver(delivery).await,
            Ending::Refused(refusal) => self.refuse(refusal).await,
            Ending::RefusedLocally(problem) => self.stop(problem).await,
            Ending::Disconnected => {
                self.cx.decider.cancelled(self.call.number);
                self.cx
                    .host
                    .log
                    .emit(Event::CallerGone, &[("request", &self.call.request)]);
                self.close().await;
            }
        }
        host.metrics.call_ended(kind, took);
        drop(open);
    }

    async fn refuse(mut self, refusal: Refusal) {
        let run = self.close().await;
        let problem = reason::from_decider_refusal(refusal, run);
        self.send_refusal(problem).await;
    }

    async fn stop(mut self, problem: Problem) {
        let run = self.close().await;
        let problem = Problem::new(problem.reason, run, problem.detail);
        self.send_refusal(problem).await;
    }

    async fn send_refusal(mut self, problem: Problem) {
        let problem = problem.of_request(self.call.request.as_str());
        if self.relayed.is_some() {
            self.cx.host.log.emit(
                Event::AnswerCut,
                &[("request", &self.call.request), ("reason", &problem.reason)],
            );
        }
        let headers = self.headers();
        let caller = std::mem::replace(&mut self.caller, caller::Caller::Disconnected);
        caller.refuse(&self.cx.host, &problem, &headers).await;
    }

    /// Reports to the ledger that the call has no response, and returns the execution state for
    /// the refusal.
    async fn close(&mut self) -> RunState {
        let request = self.call.request.clone();
        let closing = self
            .cx
            .ledger_handle
            .finish(request, ledger::End::Unanswered)
            .await;
        match closing {
            Some(Closing::Close(run)) => reason::run_state(run),
            Some(Closing::Release(_)) | None => RunState::Unknown,
        }
    }

    async fn deliver(mut self, delivery: Delivery) {
        let relayed_other = self.relayed.is_some_and(|it| it != delivery.attempt);
        let response = self
            .position(delivery.attempt)
            .and_then(|index| Some((index, self.dispatched[index].response.take()?)));
        let Some((index, response)) = response.filter(|_| !relayed_other) else {
            // This call doesn't have the response of the attempt named by the decider, or has
            // relayed another one's. Send an error, never bytes of another attempt.
            let problem = Problem::new(
                Reason::AnswerCut,
                RunState::Unknown,
                "the answer can't be completed",
            );
            return self.stop(problem).await;
        };
        match response {
            CompleteResponse::Chat(answer) => self.deliver_chat(delivery, index, answer).await,
            CompleteResponse::Plain(plain) => self.deliver_plain(delivery, plain).await,
        }
    }

    async fn deliver_chat(mut self, delivery: Delivery, index: usize, answer: engine::Answer) {
        let version = delivery
            .version
            .clone()
            .unwrap_or_else(|| VersionId::from("unknown@0"));
        let usage = Usage {
            prompt_tokens: answer.usage.prompt_tokens,
            completion_tokens: answer.usage.completion_tokens,
            total_tokens: answer.usage.prompt_tokens + answer.usage.completion_tokens,
        };
        let extra = Extra {
            version,
            cost_microcents: delivery.cost,
            attempts: delivery.attempts,
            request: self.call.request.to_string(),
        };
        let streams = self.work.streams();
        if streams && self.relayed.is_none() {
            // The response can't be replaced any more, so its text needn't wait for the ledger;
            // only its end does.
            self.begin_stream(index);
            self.relayed = Some(delivery.attempt);
            self.caller.relay(&answer.content).await;
        }
        let complete = Answer::new(
            self.created(),
            answer.content,
            &answer.finish_reason,
            usage,
            extra.clone(),
        );
        let outcome = self.stored_outcome(200, "application/json", || Some(complete.to_json()));
        self.bill(&delivery, usage, outcome).await;
        self.log_answered(&delivery);
        let host = Arc::clone(&self.cx.host);
        host.metrics.answered(
            usage.prompt_tokens,
            usage.completion_tokens,
            delivery.cost.0,
        );
        if streams {
            return self.caller.end(&answer.finish_reason, usage, &extra).await;
        }
        let mut response = reply::json(complete.to_json());
        caller::add_headers(&mut response, &self.session_headers(index));
        caller::add_headers(&mut response, &cost_headers(&delivery));
        self.caller.respond(response);
    }

    async fn deliver_plain(mut self, delivery: Delivery, plain: PlainResponse) {
        let media_type = plain.headers.get("content-type").unwrap_or_default();
        let outcome = self.stored_outcome(plain.status.into(), media_type, || {
            String::from_utf8(plain.body.clone()).ok()
        });
        self.bill(&delivery, Usage::default(), outcome).await;
        self.log_answered(&delivery);
        let mut response = Response::new(plain.status).body(http::Body::bytes(plain.body));
        let is_connection_header = |name: &str| {
            CONNECTION_HEADERS
                .iter()
                .any(|it| it.eq_ignore_ascii_case(name))
        };
        for (name, value) in plain
            .headers
            .iter()
            .filter(|(name, _)| !is_connection_header(name))
        {
            response.headers.append(name.to_owned(), value);
        }
        caller::add_headers(&mut response, &self.headers());
        caller::add_headers(&mut response, &cost_headers(&delivery));
        self.caller.respond(response);
    }

    /// Bills the response and waits until its end may be sent.
    ///
    /// Guards against a host that is killed between the end of a response and its billing. The end
    /// of a stream, or all of an unstreamed response, waits until another host or the table has
    /// the record, or until neither has responded in time.
    async fn bill(&mut self, delivery: &Delivery, usage: Usage, outcome: Option<Outcome>) {
        let charge = Charge {
            profile: self.work.profile().cloned(),
            versions: self.versions(),
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            money: delivery.cost,
            revision: self.revision(delivery.attempt),
        };
        let request = self.call.request.clone();
        let end = ledger::End::Answered { outcome, charge };
        self.cx.ledger_handle.finish(request, end).await;
    }

    /// Returns the response in the form stored for retries of the call's key. Returns `None`
    /// without a key, or if the body can't be stored because it isn't UTF-8.
    fn stored_outcome(
        &self,
        status: u16,
        media_type: &str,
        body: impl FnOnce() -> Option<String>,
    ) -> Option<Outcome> {
        self.call.headers.key.as_ref()?;
        Some(Outcome {
            status,
            media_type: media_type.into(),
            body: body()?.into(),
        })
    }

    fn versions(&self) -> Vec<VersionId> {
        self.dispatched
            .iter()
            .filter(|it| it.first_byte_received || it.response.is_some())
            .filter_map(|it| it.dispatch.version.clone())
            .collect()
    }

    fn revision(&self, attempt: AttemptId) -> kernel::Revision {
        self.position(attempt).map_or(kernel::Revision(0), |index| {
            self.dispatched[index].dispatch.revision
        })
    }

    fn log_answered(&self, delivery: &Delivery) {
        self.cx.host.log.emit(
            Event::Answered,
            &[
                ("request", &self.call.request),
                ("attempts", &delivery.attempts),
                ("cost", &delivery.cost),
            ],
        );
    }

    pub(super) fn begin_stream(&mut self, index: usize) {
        if !matches!(self.caller, caller::Caller::Waiting(_)) {
            return;
        }
        let headers = self.session_headers(index);
        let version = self.dispatched[index].dispatch.version.clone();
        let version = version.unwrap_or_else(|| VersionId::from("unknown@0"));
        let created = self.created();
        self.caller
            .begin(self.call.request.as_str(), created, version, &headers);
    }

    fn created(&self) -> u64 {
        self.cx.host.clock.wall().as_secs()
    }

    /// Returns the headers that every response has.
    fn headers(&self) -> Headers {
        let host = &self.cx.host;
        [
            (header::REQUEST, self.call.request.to_string()),
            (header::HOST, host.settings.host.name.to_string()),
            (
                header::REVISION,
                host.current_config.get().revision().to_string(),
            ),
        ]
        .into_iter()
        .collect()
    }

    /// Returns the headers of a chat completion's response, with the session token.
    fn session_headers(&self, index: usize) -> Headers {
        let mut headers = self.headers();
        let Dispatched { dispatch, .. } = &self.dispatched[index];
        headers.set(header::REVISION, dispatch.revision.to_string());
        if let (Work::Chat(chat), Some(version)) = (&self.work, &dispatch.version) {
            headers.set(header::VERSION, version.as_str());
            headers.set(header::SESSION, self.token(chat, version));
        }
        if let Some(session_move) = self.session_move(index) {
            headers.set(header::SESSION_MOVED, session_move);
        }
        headers
    }

    fn token(&self, chat: &Chat, version: &VersionId) -> String {
        let host = &self.cx.host;
        Token {
            customer: self.call.customer.clone(),
            profile: chat.profile.clone(),
            version: version.clone(),
            issued: host.clock.wall(),
        }
        .seal(&host.secrets.session)
    }
}

fn cost_headers(delivery: &Delivery) -> Headers {
    let Money(cost) = delivery.cost;
    [
        (header::COST, cost.to_string()),
        (header::ATTEMPTS, delivery.attempts.to_string()),
    ]
    .into_iter()
    .collect()
}
