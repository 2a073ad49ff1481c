//! A model engine: continuous batching, prefix cache, lagging load reports, priorities,
//! resume and cancel, fencing numbers, and the faults of the real ones.

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

use crate::serve::{self, Answer, header, query, text};

/// Marks a request that crashes each engine that runs it.
pub const CRASH_MARK: &str = "[[crash]]";

/// Tokens of an answer whose request names no bound.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// How one engine behaves.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Loaded versions as `model@version`.
    pub versions: Vec<String>,
    /// Requests that the batch holds.
    pub slots: u32,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Time to read a prompt whose prefix is not cached.
    pub prefill_time: Duration,
    /// Age of the load that a report tells.
    pub report_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl EngineConfig {
    /// An engine of 16 slots that has these versions loaded.
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

/// Faults that a test switches on.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Cuts each stream after this many tokens of its own.
    cut_after: Option<u64>,
    /// Ends each stream cleanly, but without end marker, after this many tokens.
    end_after: Option<u64>,
    /// Sends a chunk of another attempt before each own one.
    crossed: bool,
    /// Sends each chunk twice.
    doubled: bool,
    /// Says that it leaves, and refuses new work.
    leaving: bool,
    /// Says that it leaves, and would take new work.
    announces: bool,
    /// Accepts requests and says nothing.
    stalled: bool,
}

type Waiting = BTreeMap<(u64, u64), oneshot::Sender<()>>;

#[derive(Default)]
struct Batch {
    running: u32,
    waiting: Waiting,
    next_ticket: u64,
    cached_prefixes: FastSet<u64>,
    reports: Vec<(Instant, u32, u32)>,
    fence: u64,
    versions: Vec<String>,
    faults: Faults,
    log: Vec<String>,
}

/// One engine.
pub struct Engine {
    config: EngineConfig,
    batch: Mutex<Batch>,
    crash: Box<dyn Fn() + Send + Sync>,
}

/// A place in the batch, given back on drop.
struct Slot(Arc<Engine>);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut batch = self.0.batch.lock();
        batch.running -= 1;
        self.0.admit(&mut batch);
    }
}

impl Engine {
    /// An engine that calls `crash` when it runs a marked request.
    pub fn new(config: EngineConfig, crash: impl Fn() + Send + Sync + 'static) -> Arc<Self> {
        let batch = Batch {
            versions: config.versions.clone(),
            ..Batch::default()
        };
        Arc::new(Self {
            config,
            batch: Mutex::new(batch),
            crash: Box::new(crash),
        })
    }

    /// Serves until the listener fails.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        serve::serve(listener, self, handle).await;
    }

    fn admit(&self, batch: &mut Batch) {
        while batch.running < self.config.slots {
            let Some((_, waiter)) = batch.waiting.pop_first() else {
                break;
            };
            if waiter.send(()).is_ok() {
                batch.running += 1;
            }
        }
        let now = Instant::now();
        let queued = batch.waiting.len() as u32;
        batch.reports.push((now, batch.running, queued));
        // Keep the newest report that is old enough to be told, and all after it.
        let old_enough = |report: &(Instant, u32, u32)| now - report.0 >= self.config.report_lag;
        let told = batch.reports.iter().rposition(old_enough).unwrap_or(0);
        batch.reports.drain(..told);
    }

    /// Waits for a place in the batch; a lower `priority` number goes first.
    async fn enter(self: &Arc<Self>, priority: u64) -> io::Result<Slot> {
        let (tx, rx) = oneshot::channel();
        {
            let mut batch = self.batch.lock();
            batch.next_ticket += 1;
            let ticket = batch.next_ticket;
            batch.waiting.insert((priority, ticket), tx);
            self.admit(&mut batch);
        }
        rx.await.map_err(io::Error::other)?;
        Ok(Slot(self.clone()))
    }

    fn report(&self) -> LoadReport {
        let batch = self.batch.lock();
        let now = Instant::now();
        let old_enough = |report: &&(Instant, u32, u32)| now - report.0 >= self.config.report_lag;
        let told = batch.reports.iter().rev().find(old_enough);
        let (running, queued) = told.map_or((0, 0), |report| (report.1, report.2));
        LoadReport {
            versions: batch.versions.clone(),
            running,
            queued,
            slots: self.config.slots,
            leaving: batch.faults.leaving || batch.faults.announces,
        }
    }

    fn log(&self, line: String) {
        self.batch.lock().log.push(line);
    }
}

/// Token `index` of the answer of `version` to `prompt`: the same on each engine.
pub fn token(version: &str, prompt: &str, index: u32) -> String {
    let hash = stable_hash(&[version, prompt, &index.to_string()]);
    format!("{:04x} ", hash & 0xffff)
}

/// The whole answer of `version` to `prompt`.
pub fn whole_answer(version: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| token(version, prompt, index))
        .collect()
}

/// The prompt of a request: the contents of its messages, a line each.
pub fn prompt_of(req: &ChatRequest) -> String {
    let contents: Vec<&str> = req
        .messages
        .iter()
        .map(|message| message.content.as_str())
        .collect();
    contents.join("\n")
}

async fn handle(engine: Arc<Engine>, req: Request<Incoming>) -> io::Result<Answer> {
    match req.uri().path() {
        "/load" => Ok(text(
            StatusCode::OK,
            serde_json::to_string(&engine.report())?,
        )),
        "/orders" => Ok(order(&engine, &req)),
        "/test/log" => Ok(text(StatusCode::OK, engine.batch.lock().log.join("\n"))),
        "/test/faults" => {
            engine.batch.lock().faults = Faults {
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

/// Loads or unloads a version: `POST /orders?fence=N&load=0|1`, header `x-version-name`.
fn order(engine: &Engine, req: &Request<Incoming>) -> Answer {
    let fence = query(req, "fence").unwrap_or(0);
    let version = header(req, "x-version-name");
    let mut batch = engine.batch.lock();
    if engine.config.checks_fencing && fence < batch.fence {
        return text(StatusCode::PRECONDITION_FAILED, "old fencing number");
    }
    batch.fence = batch.fence.max(fence);
    batch.versions.retain(|loaded| *loaded != version);
    if query(req, "load") == Some(1) {
        batch.versions.push(version.clone());
    }
    batch.log.push(format!("order {fence} {version}"));
    text(StatusCode::OK, "")
}

async fn chat(engine: Arc<Engine>, req: Request<Incoming>) -> io::Result<Answer> {
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
    let faults = engine.batch.lock().faults;
    if faults.leaving {
        return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "leaving"));
    }
    if !engine.batch.lock().versions.contains(&chat.model) {
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
    let stream = futures_stream(move |cx| rx.poll_recv(cx));
    let body: UnsyncBoxBody<Bytes, io::Error> = StreamBody::new(stream).boxed_unsync();
    let mut answer = Response::new(body);
    answer.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("text/event-stream"),
    );
    Ok(answer)
}

type Chunk = io::Result<Frame<Bytes>>;

fn futures_stream(
    poll: impl FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<Chunk>> + Unpin,
) -> impl futures::Stream<Item = Chunk> {
    futures::stream::poll_fn(poll)
}

async fn generate(
    engine: &Arc<Engine>,
    chat: &ChatRequest,
    attempt: &str,
    resume_from: u32,
    priority: u64,
    faults: Faults,
    tx: &mpsc::Sender<Chunk>,
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
    if engine.batch.lock().cached_prefixes.insert(prefix) {
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
            let _ = tx.send(Err(io::Error::other("cut by a test"))).await;
            return Err(());
        }
        if faults.end_after == Some(sent) {
            return Err(());
        }
        if faults.crossed {
            let crossed = chunk(
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
        let frame = chunk(
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

fn chunk(
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
