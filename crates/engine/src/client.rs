//! The client.

use http::{Options, Repeat, Request, Response, Status};
use serde::Deserialize;

use crate::chat::{Whole, Wire};
use crate::failure::{Reply, read};
use crate::{Answer, Attempt, Call, Chat, Endpoint, Failure, Load, Order, Receipt, Stream, Why};

/// The greatest answer that is read into memory, in bytes.
const MAX_ANSWER: usize = 32 * 1024 * 1024;
const MAX_REPORT: usize = 1024 * 1024;

/// Headers that speak for an entry host and that a caller can't set.
const OWN_HEADERS: [&str; 4] = [
    "x-request-id",
    "x-attempt-id",
    "x-priority",
    "x-incarnation",
];
/// What a caller says to this system only. A service that got the customer's
/// key could act in the customer's name.
const CALLER_KEY: &str = "authorization";
const CALLER_PREFIX: &str = "barleypin-";

/// The client of engines and plain services. Clones share connections.
#[derive(Clone)]
pub struct Client {
    http: http::Client,
}

impl Client {
    /// A client over `http`.
    #[must_use]
    pub fn new(http: http::Client) -> Self {
        Self { http }
    }

    /// Asks an engine for a streamed answer; returns when its head has come.
    ///
    /// # Errors
    /// [`Failure`]; only [`Failure::NotSent`] and [`Failure::Refused`] prove
    /// that nothing ran.
    pub async fn stream(
        &self,
        to: &Endpoint,
        attempt: &Attempt,
        chat: &Chat,
        options: &Options,
    ) -> Result<Stream, Failure> {
        let response = self.complete(to, attempt, chat, true, options).await?;
        Ok(Stream::new(response.body, attempt.name()))
    }

    /// Asks an engine for an answer in one piece.
    ///
    /// # Errors
    /// As [`Client::stream`], and [`Failure::Cut`] when the answer isn't whole
    /// or isn't this attempt's.
    pub async fn chat(
        &self,
        to: &Endpoint,
        attempt: &Attempt,
        chat: &Chat,
        options: &Options,
    ) -> Result<Answer, Failure> {
        let response = self.complete(to, attempt, chat, false, options).await?;
        let mut body = response.body;
        let whole: Whole = body.drain_json(MAX_ANSWER).await?;
        whole.into_answer(&attempt.name()).map_err(|it| {
            body.give_up();
            Failure::Cut(Why::Content(it))
        })
    }

    async fn complete(
        &self,
        to: &Endpoint,
        attempt: &Attempt,
        chat: &Chat,
        stream: bool,
        options: &Options,
    ) -> Result<Response, Failure> {
        let wire = Wire { chat, stream };
        let request = attempt.mark(to, Request::post("/v1/chat/completions", &wire));
        let response = self.http.send(to.address, request, options).await?;
        if response.status == Status::Ok {
            return Ok(response);
        }
        Err(explain(response).await)
    }

    /// Passes a call on to a plain service. Whatever the service answers is
    /// the answer, also an error of its own.
    ///
    /// # Errors
    /// [`Failure`]; only [`Failure::NotSent`] and [`Failure::Refused`] prove
    /// that nothing ran.
    pub async fn call(
        &self,
        to: &Endpoint,
        attempt: &Attempt,
        call: Call,
        options: &Options,
    ) -> Result<Response, Failure> {
        let mut request = Request::new(call.method, call.target).body(call.body);
        request.headers = call
            .headers
            .iter()
            .filter(|(name, _)| is_passed_on(name))
            .map(|(name, value)| (name.to_owned(), value))
            .collect();
        let request = attempt.mark(to, request);
        let response = self.http.send(to.address, request, options).await?;
        match read(response).await? {
            Reply::Refusal(code) => Err(Failure::Refused(code)),
            Reply::Answer(response) => Ok(response),
        }
    }

    /// Reads an endpoint's load report.
    ///
    /// # Errors
    /// [`Failure`] when there is none.
    pub async fn load(&self, to: &Endpoint, options: &Options) -> Result<Load, Failure> {
        let options = idempotent(options);
        let request = Request::get("/v1/load");
        let response = self.http.send(to.address, request, &options).await?;
        if response.status != Status::Ok {
            return Err(Failure::MayHaveRun(Why::Status(response.status.into())));
        }
        Ok(response.body.parse(MAX_REPORT).await?)
    }

    /// Gives an engine an order.
    ///
    /// # Errors
    /// [`Failure`] when the engine didn't say what becomes of it; the order
    /// may be given again.
    pub async fn order(
        &self,
        to: &Endpoint,
        order: &Order,
        options: &Options,
    ) -> Result<Receipt, Failure> {
        let request =
            Request::post("/v1/orders", order).header("x-incarnation", to.incarnation.to_string());
        let options = idempotent(options);
        let response = self.http.send(to.address, request, &options).await?;
        match response.status {
            Status::Ok | Status::Accepted => {
                drain(response).await;
                Ok(Receipt::Taken)
            }
            Status::Conflict => stale_fencing(response).await,
            _ => Err(explain(response).await),
        }
    }

    /// Tells an endpoint that nobody waits for an attempt any more.
    ///
    /// # Errors
    /// [`Failure`] when it may not have heard; it is safe to ignore, the
    /// endpoint then works in vain.
    pub async fn cancel(
        &self,
        to: &Endpoint,
        attempt: &Attempt,
        options: &Options,
    ) -> Result<(), Failure> {
        let target = format!("/v1/attempts/{}", attempt.name());
        let request = Request::new(http::Method::Delete, target)
            .header("x-incarnation", to.incarnation.to_string());
        let options = idempotent(options);
        let response = self.http.send(to.address, request, &options).await?;
        match response.status {
            // An attempt that it doesn't know doesn't run either.
            status if status.is_success() || status == Status::NotFound => {
                drain(response).await;
                Ok(())
            }
            _ => Err(explain(response).await),
        }
    }
}

/// The failure that an answer other than the call's success stands for.
async fn explain(response: Response) -> Failure {
    let status = response.status.into();
    match read(response).await {
        Ok(Reply::Refusal(code)) => Failure::Refused(code),
        // A refusal that broke off may have been any answer.
        Ok(Reply::Answer(_)) | Err(_) => Failure::MayHaveRun(Why::Status(status)),
    }
}

/// Only its own code makes a conflict mean that the lease has passed on.
async fn stale_fencing(response: Response) -> Result<Receipt, Failure> {
    #[derive(Deserialize)]
    struct Conflict {
        error: Reason,
    }
    #[derive(Deserialize)]
    struct Reason {
        code: String,
    }
    let status = response.status.into();
    match response.body.parse::<Conflict>(MAX_REPORT).await {
        Ok(conflict) if conflict.error.code == "stale_fencing" => Ok(Receipt::StaleFencing),
        Ok(_) | Err(http::Error::Json { .. }) => Err(Failure::MayHaveRun(Why::Status(status))),
        Err(err) => Err(err.into()),
    }
}

/// Reads what is left of an answer that said all by its status, so that the
/// connection can be used again.
async fn drain(response: Response) {
    let _ = response.body.collect(MAX_REPORT).await;
}

fn is_passed_on(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    !OWN_HEADERS.contains(&name.as_str()) && name != CALLER_KEY && !name.starts_with(CALLER_PREFIX)
}

fn idempotent(options: &Options) -> Options {
    Options {
        repeat: Repeat::Idempotent,
        ..*options
    }
}
