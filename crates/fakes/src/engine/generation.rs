//! Generation of the response to one attempt, at the version's speed.

use std::io;
use std::time::Duration;

use async_std::task;
use futures::SinkExt;
use futures::channel::mpsc;
use kernel::Money;
use rand::RngExt;
use serde_json::{Value, json};

use crate::call::Call;
use crate::engine::prompt::Prompt;
use crate::engine::{Engine, Execution, ExecutionState};
use crate::mark::Mark;
use crate::response::Response;
use crate::rng;
use crate::settings::GroundTruth;
use crate::slots::Slot;

type Events = mpsc::Sender<io::Result<Vec<u8>>>;

/// Reported confidence of a good response, before noise, if `GroundTruth::confidence` is 1.
const CONFIDENCE_IF_GOOD: f64 = 0.9;
/// Reported confidence of a bad response, before noise, if `GroundTruth::confidence` is 1.
const CONFIDENCE_IF_BAD: f64 = 0.2;
/// Width of the range of noise added to a confidence.
const CONFIDENCE_NOISE: f64 = 0.2;

/// A running attempt, which holds a slot.
pub(crate) struct Generation {
    engine: Engine,
    slot: Option<Slot>,
    idx: usize,
    attempt: String,
    chunks: Vec<String>,
    truth: GroundTruth,
    prompt_tokens: u64,
    confidence: f64,
    first_chunk_delay: Duration,
    drawn: DrawnFaults,
}

/// The faults drawn for this attempt.
#[derive(Clone, Copy, Debug)]
struct DrawnFaults {
    fails: bool,
    cut_after: Option<usize>,
    duplicate: bool,
    reorder: bool,
}

impl Generation {
    /// Draws the attempt's quality and faults and adds it to the engine's records.
    pub(crate) fn new(engine: Engine, slot: Slot, call: &Call, prompt: &Prompt) -> Self {
        let shared = &engine.shared;
        let truth = shared.truth.get(&prompt.model).cloned().unwrap_or_default();
        let request = call.header("x-request-id").to_owned();
        let attempt = call.header("x-attempt-id").to_owned();
        let mut rng = rng::keyed(shared.seed, &(&request, &attempt, &prompt.model));
        let (faults, cached) = shared.with(|it| (it.faults.clone(), it.cache.insert(prompt)));
        let bad_share = faults.bad.get(&prompt.model).copied().unwrap_or(0.0);
        let good_by_quality = rng.random::<f64>() < truth.good_probability(&prompt.class);
        let good = rng.random::<f64>() >= bad_share && good_by_quality;
        let drawn = DrawnFaults {
            fails: rng.random::<f64>() < faults.errors,
            cut_after: (rng.random::<f64>() < faults.cut)
                .then(|| usize::try_from(faults.cut_after).unwrap_or(usize::MAX)),
            duplicate: rng.random::<f64>() < faults.duplicate,
            reorder: rng.random::<f64>() < faults.reorder,
        };
        let confidence_if_known = if good {
            CONFIDENCE_IF_GOOD
        } else {
            CONFIDENCE_IF_BAD
        };
        let confidence_if_unknown = truth.good_probability(&prompt.class);
        let noise = (rng.random::<f64>() - 0.5) * CONFIDENCE_NOISE;
        let confidence = (confidence_if_unknown
            + truth.confidence * (confidence_if_known - confidence_if_unknown)
            + noise)
            .clamp(0.0, 1.0);
        let mark = Mark {
            request: request.clone(),
            attempt: attempt.clone(),
            version: prompt.model.clone(),
            call: prompt.call_name(),
            good,
        };
        let prompt_tokens = prompt.tokens();
        let uncached = prompt_tokens - cached;
        let first_chunk_delay = Duration::from_millis(faults.delay_ms)
            + Duration::from_micros(truth.prompt_us.saturating_mul(uncached));
        let execution = Execution {
            request,
            attempt: attempt.clone(),
            call: mark.call.clone(),
            version: prompt.model.clone(),
            class: prompt.class.clone(),
            good,
            started_ms: shared.wall_ms(),
            prompt_tokens,
            cached_tokens: cached,
            completion_tokens: 0,
            cost_microcents: 0,
            end: ExecutionState::Running,
        };
        let idx = shared.with(|it| {
            it.executions.push(execution);
            it.executions.len() - 1
        });
        let words = truth.words.min(prompt.max_tokens.unwrap_or(u64::MAX));
        Self {
            chunks: chunks(&mark, words),
            slot: Some(slot),
            idx,
            attempt,
            truth,
            prompt_tokens,
            confidence,
            first_chunk_delay,
            drawn,
            engine,
        }
    }

    /// Writes the response as server-sent events.
    pub(crate) async fn stream(mut self, mut events: Events) {
        task::sleep(self.first_chunk_delay).await;
        if self.drawn.fails {
            let _ = events.send(Err(connection_reset())).await;
            return self.finish(0, ExecutionState::Failed);
        }
        for idx in self.chunk_order() {
            if self.drawn.cut_after == Some(idx) {
                let _ = events.send(Err(connection_reset())).await;
                return self.finish(idx, ExecutionState::Cut);
            }
            self.delay_chunk(idx).await;
            if self.is_cancelled() {
                return self.finish(idx, ExecutionState::Cancelled);
            }
            if events.send(Ok(event(&self.chunk(idx)))).await.is_err() {
                return self.finish(idx, ExecutionState::Disconnected);
            }
        }
        let tokens = self.chunks.len();
        let last = event(&self.last_chunk());
        let done = b"data: [DONE]\n\n".to_vec();
        // The record is complete before the entry host can see the end of the response.
        self.finish(tokens, ExecutionState::Complete);
        let _ = events.send(Ok(last)).await;
        let _ = events.send(Ok(done)).await;
    }

    /// Returns the response as one JSON object, or the failure that was drawn for this attempt; a
    /// cancelled attempt gets no response.
    pub(crate) async fn respond(mut self) -> Response {
        task::sleep(self.first_chunk_delay).await;
        let tokens = self.chunks.len();
        let token_time = Duration::from_micros(self.truth.token_us);
        task::sleep(token_time * u32::try_from(tokens).unwrap_or(u32::MAX)).await;
        if self.is_cancelled() {
            self.finish(tokens, ExecutionState::Cancelled);
            return Response::Lost;
        }
        if self.drawn.fails {
            self.finish(tokens, ExecutionState::Failed);
            return Response::error(500, "failed");
        }
        if self.drawn.cut_after.is_some() {
            self.finish(tokens, ExecutionState::Cut);
            return Response::Lost;
        }
        let mut body = self.last_chunk();
        body["choices"] = json!([{
            "index": 0,
            "message": {"role": "assistant", "content": self.chunks.concat()},
            "finish_reason": "stop",
        }]);
        self.finish(tokens, ExecutionState::Complete);
        Response::ok(&body)
    }

    /// Returns the indices of the chunks in the order of sending, with the faults drawn for this
    /// attempt.
    fn chunk_order(&self) -> Vec<usize> {
        let mut order: Vec<_> = (0..self.chunks.len()).collect();
        if self.drawn.reorder && order.len() > 2 {
            order.swap(1, 2);
        }
        if self.drawn.duplicate && order.len() > 1 {
            order.insert(2, order[1]);
        }
        order
    }

    async fn delay_chunk(&self, idx: usize) {
        if idx > 0 && self.truth.token_us > 0 {
            task::sleep(Duration::from_micros(self.truth.token_us)).await;
        }
    }

    fn chunk(&self, idx: usize) -> Value {
        json!({
            "id": self.attempt,
            "object": "chat.completion.chunk",
            "index": idx,
            "choices": [{"index": 0, "delta": {"content": self.chunks[idx]}}],
        })
    }

    fn last_chunk(&self) -> Value {
        json!({
            "id": self.attempt,
            "object": "chat.completion.chunk",
            "index": self.chunks.len(),
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "finish_reason": "stop",
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.chunks.len(),
            },
            "confidence": self.confidence,
        })
    }

    fn is_cancelled(&self) -> bool {
        self.engine
            .shared
            .with(|it| it.executions[self.idx].end == ExecutionState::Cancelled)
    }

    fn finish(&mut self, tokens: usize, end: ExecutionState) {
        let completion_tokens = tokens as u64;
        let cost = Money(self.truth.price_prompt).per_million(self.prompt_tokens)
            + Money(self.truth.price_completion).per_million(completion_tokens);
        self.engine.shared.with(|it| {
            let execution = &mut it.executions[self.idx];
            execution.completion_tokens = completion_tokens;
            execution.cost_microcents = cost.0;
            execution.end = end;
        });
        self.slot = None;
        self.engine.record_load();
    }
}

fn chunks(mark: &Mark, words: u64) -> Vec<String> {
    let mut chunks = vec![mark.text()];
    chunks.extend((1..=words).map(|it| format!(" w{it}")));
    let words = chunks.len() - 1;
    chunks.push(Mark::end(&mark.attempt, words));
    chunks
}

fn event(chunk: &Value) -> Vec<u8> {
    format!("data: {chunk}\n\n").into_bytes()
}

fn connection_reset() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionReset,
        "closed by an injected fault",
    )
}
