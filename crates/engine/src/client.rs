//! The client of engines and plain services.

use http::{Options, Request, Response, RetryPolicy, Status};
use serde::Deserialize;

use crate::chat::{RequestBody, UnstreamedResponse};
use crate::failure::{Reply, classify};
use crate::{
    Answer, Attempt, Call, Chat, Endpoint, Failure, FailureCause, Load, Order, Receipt, Stream,
};

/// The maximum size of a chat response that isn't streamed, in bytes.
const MAX_CHAT_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// The maximum size of a load report, a conflict or a discarded body, in bytes.
const MAX_SHORT_RESPONSE_BYTES: usize = 1024 * 1024;

/// Headers that only an entry host may set. They are removed from callers' requests.
const RESERVED_HEADERS: [&str; 4] = [
    "x-request-id",
    "x-attempt-id",
    "x-priority",
    "x-incarnation",
];
/// The header with the customer's key. It isn't forwarded, because a service that
/// receives the key could impersonate the customer.
const API_KEY_HEADER: &str = "authorization";
/// The prefix of headers that are meant for this system only and aren't forwarded.
const PRIVATE_HEADER_PREFIX: &str = "barleypin-";

/// A client of engines and plain services. Clones share their connections.
#[derive(Clone)]
pub struct Client {
    http: http::Client,
}

impl Client {
    /// Creates a client that sends its requests with `http`.
    #[must_use]
    pub fn new(http: http::Client) -> Self {
        Self { http }
    }

    /// Requests a streamed response from an engine. Returns once the response head has arrived.
    ///
    /// # Errors
    /// Returns a [`Failure`]. Only [`Failure::NotSent`] and [`Failure::Refused`]
    /// prove that nothing ran.
    pub async fn stream(
        &self,
        to: &Endpoint,
        attempt: &Attempt,
        chat: &Chat,
        options: &Options,
    ) -> Result<Stream, Failure> {
        let response = self.send_chat(to, attempt, chat, true, options).await?;
        Ok(Stream::new(response.body, attempt.wire_id()))
    }

    /// Requests a response from an engine without streaming.
    ///
    /// # Errors
    /// As [`Client::stream`], and [`Failure::Cut`] if the response is incomplete,
    /// invalid, or belongs to another attempt.
    pub async fn chat(
        &self,
        to: &Endpoint,
        attempt: &Attempt,
        chat: &Chat,
        options: &Options,
    ) -> Result<Answer, Failure> {
        let response = self.send_chat(to, attempt, chat, false, options).await?;
        let mut body = response.body;
        let unstreamed: UnstreamedResponse = body.read_json(MAX_CHAT_RESPONSE_BYTES).await?;
        unstreamed.into_answer(&attempt.wire_id()).map_err(|it| {
            body.discard_connection();
            Failure::Cut(FailureCause::Content(it))
        })
    }

    async fn send_chat(
        &self,
        to: &Endpoint,
        attempt: &Attempt,
        chat: &Chat,
        stream: bool,
        options: &Options,
    ) -> Result<Response, Failure> {
        let request_body = RequestBody { chat, stream };
        let request = attempt.add_headers(to, Request::post("/v1/chat/completions", &request_body));
        let response = self.http.send(to.address, request, options).await?;
        if response.status == Status::Ok {
            return Ok(response);
        }
        Err(into_failure(response).await)
    }

    /// Forwards a call to a plain service. An error response of the service is
    /// returned like any other response.
    ///
    /// # Errors
    /// Returns a [`Failure`]. Only [`Failure::NotSent`] and [`Failure::Refused`]
    /// prove that nothing ran.
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
            .filter(|(name, _)| is_forwarded(name))
            .map(|(name, value)| (name.to_owned(), value))
            .collect();
        let request = attempt.add_headers(to, request);
        let response = self.http.send(to.address, request, options).await?;
        match classify(response).await? {
            Reply::Refusal(code) => Err(Failure::Refused(code)),
            Reply::Other(response) => Ok(response),
        }
    }

    /// Reads an endpoint's load report.
    ///
    /// # Errors
    /// Returns a [`Failure`] if the endpoint returns no valid report.
    pub async fn load(&self, to: &Endpoint, options: &Options) -> Result<Load, Failure> {
        let options = idempotent(options);
        let request = Request::get("/v1/load");
        let response = self.http.send(to.address, request, &options).await?;
        if response.status != Status::Ok {
            return Err(Failure::MayHaveRun(FailureCause::Status(
                response.status.into(),
            )));
        }
        Ok(response.body.parse(MAX_SHORT_RESPONSE_BYTES).await?)
    }

    /// Sends an order to an engine.
    ///
    /// # Errors
    /// Returns a [`Failure`] if the engine neither accepted the order nor reported a
    /// stale fencing token. The order can be sent again.
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
                discard_body(response).await;
                Ok(Receipt::Taken)
            }
            Status::Conflict => read_conflict(response).await,
            _ => Err(into_failure(response).await),
        }
    }

    /// Cancels an attempt on an endpoint.
    ///
    /// # Errors
    /// Returns a [`Failure`] if the endpoint neither confirms the cancellation nor reports
    /// that the attempt is unknown. The failure can be ignored: at worst, the endpoint
    /// completes work whose result is unused.
    pub async fn cancel(
        &self,
        to: &Endpoint,
        attempt: &Attempt,
        options: &Options,
    ) -> Result<(), Failure> {
        let target = format!("/v1/attempts/{}", attempt.wire_id());
        let request = Request::new(http::Method::Delete, target)
            .header("x-incarnation", to.incarnation.to_string());
        let options = idempotent(options);
        let response = self.http.send(to.address, request, &options).await?;
        match response.status {
            // An attempt that is unknown to the endpoint isn't running there.
            status if status.is_success() || status == Status::NotFound => {
                discard_body(response).await;
                Ok(())
            }
            _ => Err(into_failure(response).await),
        }
    }
}

/// Converts an unsuccessful response to a failure.
async fn into_failure(response: Response) -> Failure {
    let status = response.status.into();
    match classify(response).await {
        Ok(Reply::Refusal(code)) => Failure::Refused(code),
        // An incomplete refusal could have been any other response.
        Ok(Reply::Other(_)) | Err(_) => Failure::MayHaveRun(FailureCause::Status(status)),
    }
}

/// Parses the body of a conflict. Only the code `stale_fencing` shows that the
/// lease is no longer valid.
async fn read_conflict(response: Response) -> Result<Receipt, Failure> {
    #[derive(Deserialize)]
    struct Conflict {
        error: Reason,
    }
    #[derive(Deserialize)]
    struct Reason {
        code: String,
    }
    let status = response.status.into();
    match response
        .body
        .parse::<Conflict>(MAX_SHORT_RESPONSE_BYTES)
        .await
    {
        Ok(conflict) if conflict.error.code == "stale_fencing" => Ok(Receipt::StaleFencing),
        Ok(_) | Err(http::Error::Json { .. }) => {
            Err(Failure::MayHaveRun(FailureCause::Status(status)))
        }
        Err(err) => Err(err.into()),
    }
}

/// Reads and discards the response body, so that the connection can be reused.
async fn discard_body(response: Response) {
    let _ = response.body.collect(MAX_SHORT_RESPONSE_BYTES).await;
}

fn is_forwarded(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    !RESERVED_HEADERS.contains(&name.as_str())
        && name != API_KEY_HEADER
        && !name.starts_with(PRIVATE_HEADER_PREFIX)
}

fn idempotent(options: &Options) -> Options {
    Options {
        retry_policy: RetryPolicy::Idempotent,
        ..*options
    }
}
