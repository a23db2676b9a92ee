//! The end of a run: billing, and then the end of the response to the caller.

use std::sync::Arc;

use decide::Refusal;
use gate::chat::{Answer, Extra, Usage};
use gate::problem::{Problem, Reason, Run as Ran};
use gate::session::Token;
use http::{Headers, Response};
use kernel::{AttemptId, Money, VersionId};
use ledger::{Charge, Outcome};

use super::{Dispatched, Ending, Run};
use crate::call::attempt::{Plain, Product};
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
            Ending::Stopped(problem) => self.stop(problem).await,
            Ending::Gone => {
                self.cx.decide.cancelled(self.call.number);
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
        let problem = reason::decided(refusal, run);
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
        let caller = std::mem::replace(&mut self.caller, caller::Caller::Gone);
        caller.refuse(&self.cx.host, &problem, &headers).await;
    }

    /// Reports to the ledger that the call has no response, and returns the execution state for
    /// the refusal.
    async fn close(&mut self) -> Ran {
        let request = self.call.request.clone();
        let closing = self.cx.books.finish(request, ledger::End::Unanswered).await;
        match closing {
            Some(Closing::Close(run)) => reason::ran(run),
            Some(Closing::Release(_)) | None => Ran::Unknown,
        }
    }

    async fn deliver(mut self, delivery: Delivery) {
        let foreign = self.relayed.is_some_and(|it| it != delivery.attempt);
        let product = self
            .position(delivery.attempt)
            .and_then(|at| Some((at, self.dispatched[at].product.take()?)));
        let Some((at, product)) = product.filter(|_| !foreign) else {
            // This call doesn't have the response of the attempt named by the decider, or has
            // relayed another one's. Send an error, never bytes of another attempt.
            let problem = Problem::new(
                Reason::AnswerCut,
                Ran::Unknown,
                "the answer can't be completed",
            );
            return self.stop(problem).await;
        };
        match product {
            Product::Chat(answer) => self.deliver_chat(delivery, at, answer).await,
            Product::Plain(plain) => self.deliver_plain(delivery, plain).await,
        }
    }

    async fn deliver_chat(mut self, delivery: Delivery, at: usize, answer: engine::Answer) {
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
            self.begin_stream(at);
            self.relayed = Some(delivery.attempt);
            self.caller.relay(&answer.content).await;
        }
        let whole = Answer::new(
            self.created(),
            answer.content,
            &answer.finish_reason,
            usage,
            extra.clone(),
        );
        let outcome = self.kept(200, "application/json", || Some(whole.to_json()));
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
        let mut response = reply::json(whole.to_json());
        caller::add(&mut response, &self.session_headers(at));
        caller::add(&mut response, &cost_headers(&delivery));
        self.caller.answer(response);
    }

    async fn deliver_plain(mut self, delivery: Delivery, plain: Plain) {
        let media_type = plain.headers.get("content-type").unwrap_or_default();
        let outcome = self.kept(plain.status.into(), media_type, || {
            String::from_utf8(plain.body.clone()).ok()
        });
        self.bill(&delivery, Usage::default(), outcome).await;
        self.log_answered(&delivery);
        let mut response = Response::new(plain.status).body(http::Body::bytes(plain.body));
        let own = |name: &str| {
            CONNECTION_HEADERS
                .iter()
                .any(|it| it.eq_ignore_ascii_case(name))
        };
        for (name, value) in plain.headers.iter().filter(|(name, _)| !own(name)) {
            response.headers.append(name.to_owned(), value);
        }
        caller::add(&mut response, &self.headers());
        caller::add(&mut response, &cost_headers(&delivery));
        self.caller.answer(response);
    }

    /// Bills the response and waits until its end may be sent.
    ///
    /// Guards against a host that is killed between the end of a response and its billing. The
    /// end mark waits until another host or the table has the record, or until neither has
    /// responded in time.
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
        self.cx.books.finish(request, end).await;
    }

    /// Returns the response in the form stored for retries of the call's key, or `None` without a
    /// key.
    fn kept(
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
            .filter(|it| it.begun || it.product.is_some())
            .filter_map(|it| it.dispatch.version.clone())
            .collect()
    }

    fn revision(&self, attempt: AttemptId) -> kernel::Revision {
        self.position(attempt).map_or(kernel::Revision(0), |at| {
            self.dispatched[at].dispatch.revision
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

    pub(super) fn begin_stream(&mut self, at: usize) {
        if !matches!(self.caller, caller::Caller::Waiting(_)) {
            return;
        }
        let headers = self.session_headers(at);
        let version = self.dispatched[at].dispatch.version.clone();
        let version = version.unwrap_or_else(|| VersionId::from("unknown@0"));
        let created = self.created();
        self.caller
            .begin(self.call.request.as_str(), created, version, &headers);
    }

    fn created(&self) -> u64 {
        self.cx.host.clock.wall().as_secs()
    }

    /// Returns the headers of every response.
    fn headers(&self) -> Headers {
        let host = &self.cx.host;
        [
            (header::REQUEST, self.call.request.to_string()),
            (header::HOST, host.settings.host.name.to_string()),
            (header::REVISION, host.current.get().revision().to_string()),
        ]
        .into_iter()
        .collect()
    }

    /// Returns the headers of a chat completion's response, with the session token.
    fn session_headers(&self, at: usize) -> Headers {
        let mut headers = self.headers();
        let Dispatched { dispatch, .. } = &self.dispatched[at];
        headers.set(header::REVISION, dispatch.revision.to_string());
        if let (Work::Chat(chat), Some(version)) = (&self.work, &dispatch.version) {
            headers.set(header::VERSION, version.as_str());
            headers.set(header::SESSION, self.token(chat, version));
        }
        if let Some(moved) = self.moved(at) {
            headers.set(header::SESSION_MOVED, moved);
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
