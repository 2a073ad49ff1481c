//! Stand-in for a model engine.
//!
//! It simulates continuous batching, a prefix cache, delayed load reports, priorities, fencing
//! numbers, and streams that can be resumed or cancelled. Tests switch on faults.

use std::{
    collections::BTreeMap,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use clementinearch_border::{ChatChoice, ChatChunk, ChatDelta, ChatRequest, LoadReport, Usage};
use clementinearch_policy::names::{FastSet, stable_hash};
use http_body_util::{BodyExt, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Frame, Incoming},
};
use parking_lot::Mutex;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::sleep,
};

use crate::serve::{self, StandinResponse, header, query, text};

/// Text in a prompt that makes an engine crash when it runs the request.
pub const CRASH_MARK: &str = "[[crash]]";

/// Number of tokens of an answer whose request has no `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Versions loaded at the start, as `model@version`.
    pub versions: Vec<String>,
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Time between two tokens of an answer.
    pub token_interval: Duration,
    /// Time to process a prompt whose first line is not in the prefix cache.
    pub prefill_time: Duration,
    /// Minimum age of the load that is reported, as real reports lag behind.
    pub report_lag: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
}

impl EngineConfig {
    /// Returns settings with these versions loaded and 16 slots.
    pub fn new(versions: &[&str]) -> Self {
        Self {
            versions: versions
                .iter()
                .map(|version| (*version).to_owned())
                .collect(),
            slots: 16,
            token_interval: Duration::from_millis(5),
            prefill_time: Duration::from_millis(5),
            report_lag: Duration::from_millis(200),
            checks_fencing: true,
        }
    }
}

/// Faults that a test switches on through `/test/faults`.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Breaks the connection of each stream after this many tokens.
    cut_after: Option<u64>,
    /// Ends each stream after this many tokens without an error, but also without `[DONE]`.
    end_after: Option<u64>,
    /// Sends a chunk of another attempt before each chunk.
    crossed: bool,
    /// Sends each chunk twice.
    doubled: bool,
    /// Reports that the engine is leaving, and refuses new requests.
    leaving: bool,
    /// Reports that the engine is leaving, but accepts new requests.
    announces: bool,
    /// Accepts requests but sends no tokens.
    stalled: bool,
}

/// Requests that wait for a slot, by priority and ticket.
type Waiting = BTreeMap<(u64, u64), oneshot::Sender<()>>;

/// Mutable state of an engine.
#[derive(Default)]
struct State {
    running: u32,
    waiting: Waiting,
    last_ticket: u64,
    cached_prefixes: FastSet<u64>,
    /// Load measurements, oldest first: time, running and queued requests.
    measurements: Vec<(Instant, u32, u32)>,
    /// Highest fencing number of the orders so far.
    fence: u64,
    /// Loaded versions.
    versions: Vec<String>,
    faults: Faults,
    /// Starts and ends of attempts and executed orders, for tests.
    log: Vec<String>,
}

/// A model engine.
pub struct Engine {
    config: EngineConfig,
    state: Mutex<State>,
    /// Called when a request crashes the engine.
    crash: Box<dyn Fn() + Send + Sync>,
}

/// A slot in the batch, which is freed on drop.
struct Slot(Arc<Engine>);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.running -= 1;
        self.0.admit(&mut state);
    }
}

impl Engine {
    /// Creates an engine that calls `crash` when it runs a request with [`CRASH_MARK`] in its prompt.
    pub fn new(config: EngineConfig, crash: impl Fn() + Send + Sync + 'static) -> Arc<Self> {
        let state = State {
            versions: config.versions.clone(),
            ..State::default()
        };
        Arc::new(Self {
            config,
            state: Mutex::new(state),
            crash: Box::new(crash),
        })
    }

    /// Serves until the listener fails.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        serve::serve(listener, self, handle).await;
    }

    /// Admits waiting requests to free slots, and measures the load.
    fn admit(&self, state: &mut State) {
        while state.running < self.config.slots {
            let Some((_, waiter)) = state.waiting.pop_first() else {
                break;
            };
            if waiter.send(()).is_ok() {
                state.running += 1;
            }
        }
        let now = Instant::now();
        let queued = state.waiting.len() as u32;
        state.measurements.push((now, state.running, queued));
        // Measurements before the newest reportable one are no longer needed.
        let is_reportable = |it: &(Instant, u32, u32)| now - it.0 >= self.config.report_lag;
        let newest = state
            .measurements
            .iter()
            .rposition(is_reportable)
            .unwrap_or(0);
        state.measurements.drain(..newest);
    }

    /// Waits for a slot in the batch; requests with a lower `priority` number are admitted first.
    async fn enter(self: &Arc<Self>, priority: u64) -> io::Result<Slot> {
        let (tx, rx) = oneshot::channel();
        {
            let mut state = self.state.lock();
            state.last_ticket += 1;
            let ticket = state.last_ticket;
            state.waiting.insert((priority, ticket), tx);
            self.admit(&mut state);
        }
        rx.await.map_err(io::Error::other)?;
        Ok(Slot(self.clone()))
    }

    /// Returns the newest load that is at least [`EngineConfig::report_lag`] old.
    fn load_report(&self) -> LoadReport {
        let state = self.state.lock();
        let now = Instant::now();
        let is_reportable = |it: &&(Instant, u32, u32)| now - it.0 >= self.config.report_lag;
        let newest = state.measurements.iter().rev().find(is_reportable);
        let (running, queued) = newest.map_or((0, 0), |it| (it.1, it.2));
        LoadReport {
            versions: state.versions.clone(),
            running,
            queued,
            slots: self.config.slots,
            leaving: state.faults.leaving || state.faults.announces,
        }
    }

    fn log(&self, line: String) {
        self.state.lock().log.push(line);
    }
}

/// Returns token `index` of the answer of `version` to `prompt`, which is the same on every engine.
pub fn token(version: &str, prompt: &str, index: u32) -> String {
    let hash = stable_hash(&[version, prompt, &index.to_string()]);
    format!("{:04x} ", hash & 0xffff)
}

/// Returns the first `tokens` tokens of the answer of `version` to `prompt`, joined.
pub fn whole_answer(version: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| token(version, prompt, index))
        .collect()
}

/// Returns the prompt of a request: the contents of its messages, joined by line breaks.
pub fn prompt_of(req: &ChatRequest) -> String {
    let contents: Vec<&str> = req
        .messages
        .iter()
        .map(|message| message.content.as_str())
        .collect();
    contents.join("\n")
}

async fn handle(engine: Arc<Engine>, req: Request<Incoming>) -> io::Result<StandinResponse> {
    match req.uri().path() {
        "/load" => Ok(text(
            StatusCode::OK,
            serde_json::to_string(&engine.load_report())?,
        )),
        "/orders" => Ok(execute_order(&engine, &req)),
        "/test/log" => Ok(text(StatusCode::OK, engine.state.lock().log.join("\n"))),
        "/test/faults" => {
            engine.state.lock().faults = Faults {
                cut_after: query(&req, "cut_after"),
                end_after: query(&req, "end_after"),
                crossed: query(&req, "crossed") == Some(1),
                doubled: query(&req, "doubled") == Some(1),
                leaving: query(&req, "leaving") == Some(1),
                announces: query(&req, "announces") == Some(1),
                stalled: query(&req, "stalled") == Some(1),
            };
            Ok(text(StatusCode::OK, ""))
        }
        "/v1/chat/completions" => chat(engine, req).await,
        _ => Ok(text(StatusCode::NOT_FOUND, "no such path")),
    }
}

/// Executes an order to load or unload a version: `POST /orders?fence=N&load=0|1`, with the version
/// in the header `x-version-name`.
fn execute_order(engine: &Engine, req: &Request<Incoming>) -> StandinResponse {
    let fence = query(req, "fence").unwrap_or(0);
    let version = header(req, "x-version-name");
    let mut state = engine.state.lock();
    if engine.config.checks_fencing && fence < state.fence {
        return text(StatusCode::PRECONDITION_FAILED, "old fencing number");
    }
    state.fence = state.fence.max(fence);
    state.versions.retain(|loaded| *loaded != version);
    if query(req, "load") == Some(1) {
        state.versions.push(version.clone());
    }
    state.log.push(format!("order {fence} {version}"));
    text(StatusCode::OK, "")
}

/// Starts the streamed response to a chat request.
async fn chat(engine: Arc<Engine>, req: Request<Incoming>) -> io::Result<StandinResponse> {
    let attempt = header(&req, "x-attempt-id");
    let resume_from: u32 = header(&req, "x-resume-from").parse().unwrap_or(0);
    let priority: u64 = header(&req, "x-priority").parse().unwrap_or(1);
    let body = req
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    let chat: ChatRequest = match serde_json::from_slice(&body) {
        Ok(chat) => chat,
        Err(e) => return Ok(text(StatusCode::BAD_REQUEST, e.to_string())),
    };
    let faults = engine.state.lock().faults;
    if faults.leaving {
        return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "leaving"));
    }
    if !engine.state.lock().versions.contains(&chat.model) {
        return Ok(text(StatusCode::NOT_FOUND, "version not loaded"));
    }
    engine.log(format!("start {attempt} {} from {resume_from}", chat.model));
    let (tx, mut rx) = mpsc::channel(4);
    tokio::spawn(async move {
        let outcome = generate(&engine, &chat, &attempt, resume_from, priority, faults, &tx).await;
        engine.log(format!(
            "{} {attempt} {}",
            if outcome.is_ok() { "end" } else { "cancel" },
            chat.model
        ));
    });
    let stream = body_stream(move |cx| rx.poll_recv(cx));
    let body: UnsyncBoxBody<Bytes, io::Error> = StreamBody::new(stream).boxed_unsync();
    let mut response = Response::new(body);
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("text/event-stream"),
    );
    Ok(response)
}

/// A frame of the streamed body, or the error that breaks the connection.
type BodyFrame = io::Result<Frame<Bytes>>;

fn body_stream(
    poll: impl FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<BodyFrame>> + Unpin,
) -> impl futures::Stream<Item = BodyFrame> {
    futures::stream::poll_fn(poll)
}

/// Sends the tokens of an answer from index `resume_from`. Returns an error if the client
/// disconnected or a fault ended the stream.
async fn generate(
    engine: &Arc<Engine>,
    chat: &ChatRequest,
    attempt: &str,
    resume_from: u32,
    priority: u64,
    faults: Faults,
    tx: &mpsc::Sender<BodyFrame>,
) -> Result<(), ()> {
    let slot = tokio::select! {
        slot = engine.enter(priority) => slot.map_err(drop)?,
        () = tx.closed() => return Err(()),
    };
    let prompt = prompt_of(chat);
    if prompt.contains(CRASH_MARK) {
        (engine.crash)();
    }
    let prefix = stable_hash(&[&chat.model, prompt.split('\n').next().unwrap_or_default()]);
    if engine.state.lock().cached_prefixes.insert(prefix) {
        sleep(engine.config.prefill_time).await;
    }
    if faults.stalled {
        tx.closed().await;
        return Err(());
    }
    let tokens = chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    for (sent, index) in (0u64..).zip(resume_from..tokens) {
        sleep(engine.config.token_interval).await;
        if faults.cut_after == Some(sent) {
            let _ = tx
                .send(Err(io::Error::other(
                    "connection broken by an injected fault",
                )))
                .await;
            return Err(());
        }
        if faults.end_after == Some(sent) {
            return Err(());
        }
        if faults.crossed {
            let crossed = chunk_frame(
                "0-other-attempt",
                &chat.model,
                index,
                "crossed ".to_owned(),
                None,
            );
            tx.send(Ok(crossed)).await.map_err(drop)?;
        }
        let is_last = index + 1 == tokens;
        let usage = Usage {
            prompt_tokens: prompt.split_whitespace().count() as u32,
            completion_tokens: tokens,
        };
        let content = token(&chat.model, &prompt, index);
        let frame = chunk_frame(
            attempt,
            &chat.model,
            index,
            content,
            is_last.then_some(usage),
        );
        let copies = if faults.doubled { 2 } else { 1 };
        for _ in 0..copies {
            let frame = Frame::data(frame.data_ref().cloned().unwrap_or_default());
            tx.send(Ok(frame)).await.map_err(drop)?;
        }
    }
    drop(slot);
    tx.send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))))
        .await
        .map_err(drop)
}

/// Returns a chat chunk as a server-sent event.
fn chunk_frame(
    attempt: &str,
    model: &str,
    position: u32,
    content: String,
    usage: Option<Usage>,
) -> Frame<Bytes> {
    let finish_reason = usage.is_some().then(|| "stop".to_owned());
    let choice = ChatChoice {
        index: 0,
        delta: ChatDelta { content },
        finish_reason,
    };
    let chunk = ChatChunk {
        id: attempt.to_owned(),
        model: model.to_owned(),
        choices: vec![choice],
        position: Some(position),
        usage,
    };
    let json = serde_json::to_string(&chunk).unwrap_or_default();
    Frame::data(Bytes::from(format!("data: {json}\n\n")))
}
