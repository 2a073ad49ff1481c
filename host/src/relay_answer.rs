//! Relays one attempt of a chat request from a model engine: only chunks of its own attempt,
//! each once, in order, up to the end marker.

use std::time::Duration;

use clementinearch_border::{ChatChunk, Usage};
use clementinearch_policy::names::Name;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use hyper::{Method, StatusCode, body::Bytes};
use tokio::{sync::mpsc, time::timeout};

use crate::{refusal::Refusal, servers::Server, upstream};

/// What the relay tells the caller's side.
#[derive(Debug)]
pub(crate) enum Event {
    /// The next chunk of the answer.
    Chunk(ChatChunk),
    /// The answer is whole.
    Done,
    /// The answer will not be whole.
    Failed(Refusal),
}

/// How far the answer of a request came, over all its attempts.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Whether a server was chosen, so that the work may have been run.
    pub(crate) was_sent: bool,
    /// Position of the next token to relay.
    pub(crate) next_position: u32,
    /// The engine's account of the tokens, from the last chunk.
    pub(crate) usage: Option<Usage>,
    /// The last chunk, held back until the bill is kept.
    pub(crate) last_chunk: Option<ChatChunk>,
}

/// How an attempt ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The end marker came.
    Done,
    /// No byte was sent.
    NotSent,
    /// The server refused the request before running it.
    Refused(StatusCode),
    /// The server found the request itself wrong.
    Rejected(StatusCode),
    /// The connection broke or fell silent.
    Broken,
    /// The caller went away or stopped reading.
    CallerGone,
}

/// One attempt of a chat request.
pub(crate) struct Attempt<'a> {
    /// Id that the engine echoes in each chunk.
    pub(crate) id: &'a str,
    /// Request id, which the caller sees in each chunk.
    pub(crate) request_id: &'a str,
    /// `model@version`, which the caller sees in each chunk.
    pub(crate) version: &'a Name,
    /// Body for the engine.
    pub(crate) body: Bytes,
    /// Headers for the engine.
    pub(crate) headers: Vec<(&'a str, String)>,
    /// Longest silence before the stream counts as broken.
    pub(crate) token_timeout: Duration,
    /// Longest time that the caller may take no chunk.
    pub(crate) caller_timeout: Duration,
}

const CHAT_PATH: &str = "/v1/chat/completions";
const END_MARKER: &str = "[DONE]";

/// Runs one attempt on `server` and relays its chunks to `tx`.
pub(crate) async fn run(
    server: &Server,
    attempt: Attempt<'_>,
    progress: &mut Progress,
    tx: &mpsc::Sender<Event>,
) -> AttemptEnd {
    let Ok(connection) = upstream::connect(server.address).await else {
        return AttemptEnd::NotSent;
    };
    let mut headers = attempt.headers;
    headers.push(("x-attempt-id", attempt.id.to_owned()));
    headers.push(("x-resume-from", progress.next_position.to_string()));
    let req = upstream::request(
        Method::POST,
        server.address,
        CHAT_PATH,
        &headers,
        attempt.body,
    );
    let Ok(req) = req else {
        return AttemptEnd::Rejected(StatusCode::BAD_REQUEST);
    };
    let answer = tokio::select! {
        answer = timeout(attempt.token_timeout, connection.send(req)) => answer,
        () = tx.closed() => return AttemptEnd::CallerGone,
    };
    let Ok(Ok(answer)) = answer else {
        return AttemptEnd::Broken;
    };
    match answer.status() {
        StatusCode::OK => {}
        status @ (StatusCode::NOT_FOUND
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE) => {
            return AttemptEnd::Refused(status);
        }
        status if status.is_client_error() => return AttemptEnd::Rejected(status),
        _ => return AttemptEnd::Broken,
    }
    let (body, guard) = answer.into_stream();
    let mut events = body.eventsource();
    let end = loop {
        let event = tokio::select! {
            event = timeout(attempt.token_timeout, events.next()) => event,
            () = tx.closed() => break AttemptEnd::CallerGone,
        };
        let Ok(Some(Ok(event))) = event else {
            break AttemptEnd::Broken;
        };
        if event.data == END_MARKER {
            let is_whole = progress.last_chunk.is_some();
            break if is_whole {
                AttemptEnd::Done
            } else {
                AttemptEnd::Broken
            };
        }
        let Ok(mut chunk) = serde_json::from_str::<ChatChunk>(&event.data) else {
            break AttemptEnd::Broken;
        };
        match judge(&chunk, attempt.id, progress.next_position) {
            Verdict::Drop(reason) => {
                metrics::counter!("clementinearch_chunks_dropped_total", "reason" => reason)
                    .increment(1);
                continue;
            }
            Verdict::Gap => break AttemptEnd::Broken,
            Verdict::Relay => {}
        }
        progress.next_position += 1;
        chunk.id = attempt.request_id.to_owned();
        chunk.model = attempt.version.to_string();
        let is_last = chunk
            .choices
            .iter()
            .any(|choice| choice.finish_reason.is_some());
        if is_last {
            progress.usage = chunk.usage.clone();
            progress.last_chunk = Some(chunk);
            continue;
        }
        let sent = timeout(attempt.caller_timeout, tx.send(Event::Chunk(chunk))).await;
        if !matches!(sent, Ok(Ok(()))) {
            break AttemptEnd::CallerGone;
        }
    };
    drop(guard);
    // The last chunk proves the answer whole even if the end marker behind it was lost.
    if end == AttemptEnd::Broken && progress.last_chunk.is_some() {
        return AttemptEnd::Done;
    }
    end
}

enum Verdict {
    Relay,
    Drop(&'static str),
    Gap,
}

fn judge(chunk: &ChatChunk, attempt_id: &str, expected_position: u32) -> Verdict {
    if chunk.id != attempt_id {
        return Verdict::Drop("crossed");
    }
    match chunk.position {
        Some(position) if position < expected_position => Verdict::Drop("doubled"),
        Some(position) if position > expected_position => Verdict::Gap,
        _ => Verdict::Relay,
    }
}

impl AttemptEnd {
    /// Label of a counter.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotSent => "not_sent",
            Self::Refused(_) => "refused",
            Self::Rejected(_) => "rejected",
            Self::Broken => "broken",
            Self::CallerGone => "caller_gone",
        }
    }
}
