//! Targets of the load: the engine's stand-in, or a host in front of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use futures::future::join_all;
use gate::problem::Problem;
use http::{Body, Client, Options, Request, RetryPolicy};
use serde_json::json;

use crate::load::constant_rate::ConstantRate;
use crate::load::measurement::Measurement;
use crate::load::setup::{
    ENGINE, KEY, STREAM_DURATION, STREAMING_VERSION, UNARY_VERSION, profile_of,
};
use crate::site::Site;

const BODY_LIMIT: usize = 1 << 20;
/// Prefix of a server-sent event. All but the last two events of a stream carry text.
const EVENT_PREFIX: &[u8; 6] = b"data: ";

/// The kind of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadKind {
    /// Short responses without streaming.
    Unary,
    /// Streamed responses.
    Streaming,
}

impl LoadKind {
    /// Returns the duration of the ramp-up, after which as many requests end as start.
    fn ramp(self) -> Duration {
        match self {
            Self::Unary => Duration::ZERO,
            Self::Streaming => STREAM_DURATION,
        }
    }
}

/// A target with its client and counters.
#[derive(Clone)]
pub(crate) struct Target {
    client: Client,
    address: SocketAddr,
    path: Path,
    next_number: Arc<AtomicU64>,
    token_count: Arc<AtomicU64>,
}

#[derive(Clone, Copy)]
enum Path {
    Direct,
    Host,
}

/// The latency of a complete response, or the reason why there is none.
type LatencyResult = Result<Duration, String>;

impl Target {
    /// Returns the engine's stand-in as the target.
    pub(crate) fn direct(site: &Site) -> Self {
        Self::new(site, site.stand_ins.address(ENGINE), Path::Direct)
    }

    /// Returns the first host as the target.
    pub(crate) fn host(site: &Site) -> Self {
        Self::new(site, site.entry_hosts[0].callers, Path::Host)
    }

    fn new(site: &Site, address: SocketAddr, path: Path) -> Self {
        Self {
            client: site.client.clone(),
            address,
            path,
            next_number: Arc::default(),
            token_count: Arc::default(),
        }
    }

    /// Runs a load and adds its results to `measurement`. Tokens count only after the ramp-up.
    pub(crate) async fn run(
        &self,
        load_kind: LoadKind,
        per_second: u32,
        length: Duration,
        measurement: &mut Measurement,
    ) {
        let ramp = load_kind.ramp();
        let start = Instant::now();
        let mut tokens_before = None;
        let mut tasks = Vec::new();
        for due in ConstantRate::new(per_second, ramp + length) {
            let now = self.token_count.load(Ordering::Relaxed);
            if due >= ramp && tokens_before.is_none() {
                tokens_before = Some((now, Instant::now()));
            }
            let due = start + due;
            let wait = due.saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                task::sleep(wait).await;
            }
            let target = self.clone();
            tasks.push(task::spawn(async move {
                target.send_request(load_kind, due).await
            }));
        }
        if let Some((before, since)) = tokens_before {
            measurement.tokens += self.token_count.load(Ordering::Relaxed) - before;
            measurement.steady_time += since.elapsed();
        }
        for result in join_all(tasks).await {
            match result {
                Ok(latency) => measurement.record_response(latency),
                Err(reason) => measurement.record_failure(reason),
            }
        }
        measurement.elapsed += start.elapsed();
    }

    async fn send_request(&self, load_kind: LoadKind, due: Instant) -> LatencyResult {
        let options = Options {
            retry_policy: RetryPolicy::Idempotent,
            ..Options::default()
        };
        let request = self.request(load_kind);
        let res = self.client.send(self.address, request, &options).await;
        let res = res.map_err(|err| err.to_string())?;
        if !res.status.is_success() {
            return Err(refusal_reason(res.body).await);
        }
        match load_kind {
            LoadKind::Unary => drop(
                res.body
                    .collect(BODY_LIMIT)
                    .await
                    .map_err(|err| err.to_string())?,
            ),
            LoadKind::Streaming => self.read_stream(res.body).await?,
        }
        Ok(due.elapsed())
    }

    /// Reads a stream to its end and adds its events, including the two without text, to the token
    /// count. An event whose prefix is split between two pieces is not counted.
    async fn read_stream(&self, mut body: Body) -> Result<(), String> {
        let mut end = Vec::new();
        while let Some(piece) = body.piece().await.map_err(|err| err.to_string())? {
            let events = piece
                .windows(EVENT_PREFIX.len())
                .filter(|it| it == EVENT_PREFIX)
                .count();
            self.token_count.fetch_add(events as u64, Ordering::Relaxed);
            end = piece;
        }
        if end.ends_with(b"[DONE]\n\n") {
            Ok(())
        } else {
            Err("the stream ended without [DONE]".to_owned())
        }
    }

    fn request(&self, load_kind: LoadKind) -> Request {
        let version = match load_kind {
            LoadKind::Unary => UNARY_VERSION,
            LoadKind::Streaming => STREAMING_VERSION,
        };
        let model = match self.path {
            Path::Direct => version.to_owned(),
            Path::Host => profile_of(version),
        };
        let number = self.next_number.fetch_add(1, Ordering::Relaxed).to_string();
        let request = Request::post(
            "/v1/chat/completions",
            &json!({
                "model": model,
                "messages": [{"role": "user", "content": "Era of this clip? One word."}],
                "stream": load_kind == LoadKind::Streaming,
                "max_tokens": 256,
            }),
        );
        match self.path {
            Path::Direct => request
                .header("x-request-id", format!("direct-{number}"))
                .header("x-attempt-id", number),
            Path::Host => request.header("authorization", format!("Bearer {KEY}")),
        }
    }
}

async fn refusal_reason(body: Body) -> String {
    match body.parse::<Problem>(BODY_LIMIT).await {
        Ok(problem) => problem.reason.to_string(),
        Err(err) => err.to_string(),
    }
}
