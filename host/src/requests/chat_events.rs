//! Events of chat completions: chunks of the attempt itself, each once and in order, up to the end
//! marker; and the whole answer made of them.

use std::sync::Arc;

use clementinearch_border::{AnswerChoice, ChatAnswer, ChatChunk, ChatMessage, Usage};
use clementinearch_policy::event_stream::{EventSplitter, StreamError};
use clementinearch_router::EventReader;
use eventsource_stream::Eventsource;
use futures::{FutureExt, StreamExt};
use hyper::body::Bytes;

use crate::requests::chat::ChatJob;

const END_MARKER: &str = "[DONE]";

/// A server-sent event.
fn sse(data: &str) -> String {
    format!("data: {data}\n\n")
}

fn encode(chunk: &ChatChunk) -> String {
    sse(&serde_json::to_string(chunk).unwrap_or_default())
}

/// Data of whole events.
fn read_events(events: Vec<u8>) -> Result<Vec<String>, StreamError> {
    let bytes = futures::stream::iter([Ok::<_, std::io::Error>(events)]);
    let read = bytes
        .eventsource()
        .map(|event| event.map(|event| event.data));
    let read = read.collect::<Vec<_>>().now_or_never().unwrap_or_default();
    let read: Result<Vec<String>, _> = read.into_iter().collect();
    read.map_err(|_| StreamError::Unreadable)
}

/// Reads the chunks of one attempt.
pub(crate) struct ChunkReader {
    job: Arc<ChatJob>,
    /// Id that the engine echoes in each chunk.
    attempt_id: String,
    cutter: EventSplitter,
    /// Position of the next token to relay.
    next_position: u32,
    chunks: u64,
    /// The last chunk, held back until the bill is kept.
    last_chunk: Option<ChatChunk>,
    has_ended: bool,
    /// Told once the chunks before it are relayed.
    failure: Option<StreamError>,
}

enum Verdict {
    Relay,
    Drop(&'static str),
    Gap,
}

impl ChunkReader {
    /// Reads the attempt with this id, whose first token is the one at `position`.
    pub(crate) fn new(job: Arc<ChatJob>, attempt_id: String, position: u32) -> Self {
        Self {
            job,
            attempt_id,
            cutter: EventSplitter::default(),
            next_position: position,
            chunks: 0,
            last_chunk: None,
            has_ended: false,
            failure: None,
        }
    }

    fn judge(&self, chunk: &ChatChunk) -> Verdict {
        if chunk.id != self.attempt_id {
            return Verdict::Drop("crossed");
        }
        match chunk.position {
            Some(position) if position < self.next_position => Verdict::Drop("doubled"),
            Some(position) if position > self.next_position => Verdict::Gap,
            _ => Verdict::Relay,
        }
    }

    /// Takes in one event. Returns its text for the caller.
    fn take(&mut self, data: &str) -> Result<Option<String>, StreamError> {
        if data == END_MARKER {
            self.has_ended = self.last_chunk.is_some();
            return if self.has_ended {
                Ok(None)
            } else {
                Err(StreamError::Unreadable)
            };
        }
        let mut chunk: ChatChunk =
            serde_json::from_str(data).map_err(|_| StreamError::Unreadable)?;
        match self.judge(&chunk) {
            Verdict::Drop(reason) => {
                metrics::counter!("clementinearch_chunks_dropped_total", "reason" => reason)
                    .increment(1);
                return Ok(None);
            }
            Verdict::Gap => return Err(StreamError::OutOfOrder),
            Verdict::Relay => {}
        }
        self.next_position += 1;
        self.chunks += 1;
        chunk.id = self.job.request_id.simple();
        chunk.model = self.job.label.to_string();
        let mut choices = chunk.choices.iter();
        let is_last = choices.any(|choice| choice.finish_reason.is_some());
        let usage = chunk.usage.clone().filter(|_| is_last);
        self.job.note_progress(self.next_position, usage);
        if is_last {
            self.last_chunk = Some(chunk);
            return Ok(None);
        }
        Ok(Some(encode(&chunk)))
    }
}

impl EventReader for ChunkReader {
    fn push(&mut self, bytes: &[u8]) -> Result<Bytes, StreamError> {
        if let Some(failure) = self.failure {
            return Err(failure);
        }
        let events = self.cutter.push(bytes)?;
        let mut relayed = String::new();
        for data in read_events(events)? {
            if self.has_ended {
                break;
            }
            match self.take(&data) {
                Ok(text) => relayed.push_str(&text.unwrap_or_default()),
                Err(failure) if relayed.is_empty() => return Err(failure),
                Err(failure) => {
                    self.failure = Some(failure);
                    break;
                }
            }
        }
        Ok(relayed.into())
    }

    fn last_id(&self) -> Option<u64> {
        self.next_position.checked_sub(1).map(u64::from)
    }

    fn event_count(&self) -> u64 {
        self.chunks
    }

    fn has_ended(&self) -> bool {
        self.has_ended
    }

    fn is_complete(&self, _is_clean: bool) -> bool {
        // The last chunk proves the answer whole even if the end marker behind it was lost.
        self.last_chunk.is_some()
    }

    fn final_events(&mut self) -> Bytes {
        let last = self.last_chunk.as_ref().map(encode).unwrap_or_default();
        (last + &sse(END_MARKER)).into()
    }
}

/// The whole answer that relayed events make.
pub(crate) fn whole_answer(job: &ChatJob, events: Bytes) -> ChatAnswer {
    let mut content = String::new();
    let mut usage = Usage {
        prompt_tokens: 0,
        completion_tokens: 0,
    };
    let mut finish_reason = "stop".to_owned();
    let events = read_events(events.to_vec()).unwrap_or_default();
    let chunks = events
        .iter()
        .filter_map(|data| serde_json::from_str::<ChatChunk>(data).ok());
    for chunk in chunks {
        for choice in chunk.choices {
            content.push_str(&choice.delta.content);
            finish_reason = choice.finish_reason.unwrap_or(finish_reason);
        }
        usage = chunk.usage.unwrap_or(usage);
    }
    let message = ChatMessage {
        role: "assistant".to_owned(),
        content,
    };
    ChatAnswer {
        id: job.request_id.simple(),
        model: job.label.to_string(),
        choices: vec![AnswerChoice {
            index: 0,
            message,
            finish_reason,
        }],
        usage,
    }
}
