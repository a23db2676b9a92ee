//! The client.

use http::{Options, Repeat, Request, Response, Status};

use crate::chat::{Whole, Wire};
use crate::failure::refusal;
use crate::{
    Answer, Attempt, Call, Chat, Endpoint, Failure, Fault, Load, Order, Receipt, Stream, Why,
};

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
        let whole: Whole = response.body.parse(MAX_ANSWER).await?;
        whole
            .into_answer(&attempt.name())
            .map_err(|it| Failure::Cut(Why::Content(it)))
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
        Err(match refusal(response).await {
            Ok(code) => Failure::Refused(code),
            Err(response) => Failure::MayHaveRun(Why::Status(response.status.into())),
        })
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
        request.headers = call.headers;
        for name in OWN_HEADERS {
            request.headers.remove(name);
        }
        let request = attempt.mark(to, request);
        let response = self.http.send(to.address, request, options).await?;
        match refusal(response).await {
            Ok(code) => Err(Failure::Refused(code)),
            Err(response) => Ok(response),
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
            status if status.is_success() => Ok(Receipt::Taken),
            Status::Conflict => Ok(Receipt::StaleFencing),
            _ => Err(match refusal(response).await {
                Ok(code) => Failure::Refused(code),
                Err(response) => Failure::MayHaveRun(Why::Status(response.status.into())),
            }),
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
        let status = response.status;
        match response.body.collect(MAX_REPORT).await {
            Ok(_) if status.is_success() || status == Status::NotFound => Ok(()),
            Ok(_) => Err(Failure::MayHaveRun(Why::Status(status.into()))),
            Err(http::Error::TooLarge { .. }) => Err(Failure::Cut(Why::Content(Fault::TooLarge))),
            Err(err) => Err(err.into()),
        }
    }
}

fn idempotent(options: &Options) -> Options {
    Options {
        repeat: Repeat::Idempotent,
        ..*options
    }
}
