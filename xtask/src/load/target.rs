//! What is put under load: the engine's stand-in itself, or a host before it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use futures::future::join_all;
use http::{Body, Client, Options, Repeat, Request};
use serde_json::json;

use crate::load::measure::Measure;
use crate::load::pace::Pace;
use crate::load::setup::{ENGINE, KEY, STREAM, WHOLE, profile_of};
use crate::site::Site;

const BODY_LIMIT: usize = 1 << 20;
/// The last two events of a stream carry no token.
const CLOSING_EVENTS: u64 = 2;

/// The kind of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// Short answers in one piece.
    Whole,
    /// Streams.
    Stream,
}

/// A target and how it is spoken to.
#[derive(Clone)]
pub(crate) struct Target {
    client: Client,
    address: SocketAddr,
    path: Path,
    numbers: Arc<AtomicU64>,
}

#[derive(Clone, Copy)]
enum Path {
    Direct,
    Host,
}

/// Each answer's latency and tokens; none without a whole answer.
type Answered = Option<(Duration, u64)>;

impl Target {
    /// The engine's stand-in.
    pub(crate) fn direct(site: &Site) -> Self {
        Self::new(site, site.stand_ins.address(ENGINE), Path::Direct)
    }

    /// The first host.
    pub(crate) fn host(site: &Site) -> Self {
        Self::new(site, site.entries[0].callers, Path::Host)
    }

    fn new(site: &Site, address: SocketAddr, path: Path) -> Self {
        Self {
            client: site.client.clone(),
            address,
            path,
            numbers: Arc::default(),
        }
    }

    /// Puts the target under load and adds what it measures.
    pub(crate) async fn run(
        &self,
        work: Work,
        per_second: u32,
        length: Duration,
        measure: &mut Measure,
    ) {
        let start = Instant::now();
        let mut tasks = Vec::new();
        for due in Pace::new(per_second, length) {
            let due = start + due;
            let wait = due.saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                task::sleep(wait).await;
            }
            let target = self.clone();
            tasks.push(task::spawn(async move { target.ask(work, due).await }));
        }
        for answered in join_all(tasks).await {
            match answered {
                Some((latency, tokens)) => measure.answer(latency, tokens),
                None => measure.failed += 1,
            }
        }
        measure.length += start.elapsed();
    }

    async fn ask(&self, work: Work, due: Instant) -> Answered {
        let options = Options {
            repeat: Repeat::Idempotent,
            ..Options::default()
        };
        let request = self.request(work);
        let res = self.client.send(self.address, request, &options).await;
        let res = res.ok().filter(|it| it.status.is_success())?;
        let tokens = match work {
            Work::Whole => res.body.collect(BODY_LIMIT).await.map(|_| 0).ok()?,
            Work::Stream => tokens(res.body).await?,
        };
        Some((due.elapsed(), tokens))
    }

    fn request(&self, work: Work) -> Request {
        let version = match work {
            Work::Whole => WHOLE,
            Work::Stream => STREAM,
        };
        let model = match self.path {
            Path::Direct => version.to_owned(),
            Path::Host => profile_of(version),
        };
        let number = self.numbers.fetch_add(1, Ordering::Relaxed).to_string();
        let request = Request::post(
            "/v1/chat/completions",
            &json!({
                "model": model,
                "messages": [{"role": "user", "content": "Era of this clip? One word."}],
                "stream": work == Work::Stream,
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

/// Reads a stream to its end and counts its tokens; none when it is cut.
async fn tokens(mut body: Body) -> Option<u64> {
    let mut events = 0;
    let mut end = Vec::new();
    while let Some(piece) = body.piece().await.ok()? {
        events += piece.windows(6).filter(|it| it == b"data: ").count() as u64;
        end = piece;
    }
    end.ends_with(b"[DONE]\n\n")
        .then(|| events.saturating_sub(CLOSING_EVENTS))
}
