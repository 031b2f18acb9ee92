//! `POST /v1/chat/completions`, with and without streaming.

use std::{collections::VecDeque, str::FromStr, sync::Arc, time::Duration};

use base::stable_hash;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use web::{
    HeaderMap, Incoming, Request, Response, StatusCode,
    body::{Body, Writer, channel},
    header_value, reply, sse,
};
use wire::{engine::Resident, header};

use super::{batch::BatchEntry, state::Engine};
use crate::server::{self, Refused};

/// Chunks buffered for a slow reader before generation waits.
const STREAM_BUFFER: usize = 4;

/// Tokens of an answer if the request names no `max_tokens`.
const DEFAULT_TOKENS: usize = 16;

/// Bytes of a prompt that are its head, the key of the prefix cache.
const HEAD_BYTES: usize = 256;

#[derive(Deserialize)]
struct Chat {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<usize>,
    priority: Option<i64>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

/// Returns the prompt that an engine derives from the contents of the messages.
#[must_use]
pub fn prompt_of(contents: &[&str]) -> String {
    contents.join("\n")
}

/// Returns token `i` of the answer to `prompt` by `model`.
#[must_use]
pub fn token(model: &str, prompt: &str, i: usize) -> String {
    let at = (i as u64).to_le_bytes();
    let hash = stable_hash(&[model.as_bytes(), prompt.as_bytes(), &at]);
    format!("{:04x} ", hash & 0xffff)
}

/// Returns the full answer of `n` tokens to `prompt` by `model`.
#[must_use]
pub fn tokens(model: &str, prompt: &str, n: usize) -> String {
    (0..n).map(|i| token(model, prompt, i)).collect()
}

/// Time from the beginning of a run to the crash that it causes.
const CRASH_DELAY: Duration = Duration::from_millis(50);

/// Exit status of an engine that a request crashed.
const CRASHED: i32 = 70;

/// A completion in progress; it counts as cancelled if it is dropped before its end.
struct Completion {
    engine: Arc<Engine>,
    resident: Resident,
    place: BatchEntry,
    model: String,
    prompt: String,
    tokens: std::ops::Range<usize>,
    cut: Option<usize>,
    prefill: Duration,
    end_signals: [CancellationToken; 2],
    finished: bool,
}

pub(crate) async fn answer(engine: Arc<Engine>, req: Request<Incoming>) -> Response<Body> {
    let headers = req.headers().clone();
    let chat: Chat = match server::body(req).await {
        Ok(chat) => chat,
        Err(refused) => return refused.answer(),
    };
    let delay = engine.state().faults.delay;
    if !delay.is_zero() {
        sleep(delay).await;
    }
    let run = match start(&engine, &chat, &headers) {
        Ok(run) => run,
        Err(refused) => {
            engine.state().stats.refused += 1;
            return refused.answer();
        }
    };
    let crash_on = engine.config.crash_on.as_ref();
    if crash_on.is_some_and(|text| run.prompt.contains(text)) {
        tokio::spawn(async {
            sleep(CRASH_DELAY).await;
            std::process::exit(CRASHED);
        });
    }
    let stalled = engine.state().faults.stalled;
    stalled.before_head().await;
    let named = engine.named_resident(&run.resident);
    let from = run.tokens.start.to_string();
    let mut resp = match chat.stream {
        true => stream(run),
        false => full_answer(run).await,
    };
    let out = resp.headers_mut();
    out.insert(header::ADAPTER, header_value(named.adapter.as_str()));
    out.insert(header::RESUME_FROM, header_value(&from));
    out.insert(header::VERSION, header_value(&named.version.to_string()));
    resp
}

fn start(engine: &Arc<Engine>, chat: &Chat, headers: &HeaderMap) -> Result<Completion, Refused> {
    let refuse = |status, why: &str| Err(Refused::new(status, why));
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let Ok(resident) = Resident::from_str(&chat.model) else {
        return refuse(
            StatusCode::BAD_REQUEST,
            "the model must have the form adapter@version",
        );
    };
    let contents: Vec<&str> = chat.messages.iter().map(|m| m.content.as_str()).collect();
    let prompt = prompt_of(&contents);
    let (present, _) = engine.batch.counts();
    let mut state = engine.state();
    let Some(held) = state.resident.get_mut(&resident) else {
        return refuse(StatusCode::NOT_FOUND, "the adapter is not loaded");
    };
    if present as usize >= engine.config.batch + engine.config.waiting {
        return refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "the queue of waiting requests is full",
        );
    }
    held.running += 1;
    let unloaded = held.unloaded.clone();
    state.stats.started += 1;
    if let Some(key) = text(header::IDEMPOTENCY_KEY) {
        *state.stats.executions.entry(key.to_owned()).or_default() += 1;
    }
    if let Some(trace) = text(header::TRACEPARENT) {
        state.stats.traces.push(trace.to_owned());
    }
    let cut = (chat.stream && state.faults.cuts > 0).then_some(state.faults.cut_after);
    state.faults.cuts -= u32::from(cut.is_some());
    let head = text(header::PREFIX).and_then(|raw| u64::from_str_radix(raw, 16).ok());
    let head = head.unwrap_or_else(|| hash_head(&prompt));
    let cached = keep_head(&mut state.cached, head, engine.config.cache);
    let ending = state.ending.clone();
    drop(state);
    let urgent = text(header::PRIORITY).and_then(|raw| raw.parse().ok());
    let from = text(header::RESUME_FROM).and_then(|raw| raw.parse().ok());
    let n = chat.max_tokens.unwrap_or(DEFAULT_TOKENS);
    Ok(Completion {
        engine: Arc::clone(engine),
        place: engine
            .batch
            .join(chat.priority.or(urgent).unwrap_or_default()),
        resident,
        model: chat.model.clone(),
        prompt,
        tokens: from.unwrap_or(0)..n,
        cut,
        prefill: if cached {
            Duration::ZERO
        } else {
            engine.config.prefill
        },
        end_signals: [unloaded, ending],
        finished: false,
    })
}

/// Keeps the head of a prompt in a cache of `most`, and returns whether it was there.
fn keep_head(heads: &mut VecDeque<u64>, head: u64, most: usize) -> bool {
    let cached = heads.contains(&head);
    if !cached {
        heads.push_back(head);
    }
    if heads.len() > most {
        heads.pop_front();
    }
    cached
}

fn hash_head(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    stable_hash(&[&bytes[..bytes.len().min(HEAD_BYTES)]])
}

fn stream(run: Completion) -> Response<Body> {
    let (writer, body) = channel(STREAM_BUFFER);
    tokio::spawn(async move {
        let end_signals = run.end_signals.clone();
        tokio::select! {
            complete = write(run, &writer) => if !complete { return },
            () = writer.gone() => return,
            () = end_signals[0].cancelled() => return,
            () = end_signals[1].cancelled() => return,
        }
        // The caller may have disconnected before the last chunk arrived.
        let _ = writer.end().await;
    });
    let mut resp = Response::new(body);
    let kind = header_value("text/event-stream");
    resp.headers_mut().insert("content-type", kind);
    resp
}

/// Writes the stream; returns whether it is complete.
async fn write(mut run: Completion, writer: &Writer) -> bool {
    let first = json!({"role": "assistant", "content": ""});
    if writer.piece(run.chunk(&first, None)).await.is_err() {
        return false;
    }
    run.prefill().await;
    for i in run.tokens.clone() {
        if run.cut == Some(i - run.tokens.start) {
            return false;
        }
        run.wait_token().await;
        let delta = json!({"content": token(&run.model, &run.prompt, i)});
        if writer.piece(run.chunk(&delta, None)).await.is_err() {
            return false;
        }
    }
    let last = run.chunk(&json!({}), Some("stop"));
    let done = bytes::Bytes::from_static(sse::DONE_EVENT);
    let complete = writer.piece(last).await.is_ok() && writer.piece(done).await.is_ok();
    run.finished = complete;
    complete
}

async fn full_answer(mut run: Completion) -> Response<Body> {
    let end_signals = run.end_signals.clone();
    let generated = async {
        run.prefill().await;
        for _ in run.tokens.clone() {
            run.wait_token().await;
        }
        run.finished = true;
        let text: String = run
            .tokens
            .clone()
            .map(|i| token(&run.model, &run.prompt, i))
            .collect();
        let message = json!({"role": "assistant", "content": text});
        let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
        json!({"object": "chat.completion", "model": run.model, "choices": [choice],
            "usage": {"completion_tokens": run.tokens.len()}})
    };
    let body: Value = tokio::select! {
        body = generated => body,
        () = end_signals[0].cancelled() => return aborted(),
        () = end_signals[1].cancelled() => return aborted(),
    };
    reply::json(StatusCode::OK, &body)
}

fn aborted() -> Response<Body> {
    let body = json!({"error": {"message": "the engine aborted the completion", "type": "broken"}});
    reply::json(StatusCode::INTERNAL_SERVER_ERROR, &body)
}

impl Engine {
    /// Returns the adapter version that the answer names: the one that it ran on, or the next
    /// one if the fault `wrong-adapter` is set.
    fn named_resident(&self, actual: &Resident) -> Resident {
        let mut named = actual.clone();
        let mut state = self.state();
        if state.faults.wrong_adapter > 0 {
            state.faults.wrong_adapter -= 1;
            named.version = named.version.next();
        }
        named
    }
}

impl Completion {
    fn chunk(&self, delta: &Value, finish: Option<&str>) -> bytes::Bytes {
        let choice = json!({"index": 0, "delta": delta, "finish_reason": finish});
        let chunk = json!({"object": "chat.completion.chunk", "model": self.model,
            "choices": [choice]});
        sse::data(&chunk.to_string())
    }

    async fn prefill(&mut self) {
        self.place.turn().await;
        if !self.prefill.is_zero() {
            sleep(self.prefill).await;
        }
    }

    async fn wait_token(&mut self) {
        self.place.turn().await;
        let stalled = self.engine.state().faults.stalled;
        stalled.before_body().await;
        sleep(self.engine.config.token_time).await;
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        if let Some(held) = state.resident.get_mut(&self.resident) {
            held.running = held.running.saturating_sub(1);
        }
        if self.finished {
            state.stats.finished += 1;
        } else {
            state.stats.cancelled += 1;
        }
    }
}
