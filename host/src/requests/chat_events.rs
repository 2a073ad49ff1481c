//! Event streams of chat completions: filters the chunks of an attempt so that the caller gets each
//! token once and in order, and assembles the response to a request that is not streamed.

use std::sync::Arc;

use clementinearch_border::{AnswerChoice, ChatAnswer, ChatChunk, ChatMessage, Usage};
use clementinearch_policy::event_stream::{EventBuffer, StreamError};
use clementinearch_router::EventReader;
use eventsource_stream::Eventsource;
use futures::{FutureExt, StreamExt};
use hyper::body::Bytes;

use crate::requests::chat::ChatCall;

/// Data of the event that ends a stream.
const END_MARKER: &str = "[DONE]";

/// Formats a server-sent event.
fn encode_event(data: &str) -> String {
    format!("data: {data}\n\n")
}

fn encode_chunk(chunk: &ChatChunk) -> String {
    encode_event(&serde_json::to_string(chunk).unwrap_or_default())
}

/// Parses complete server-sent events and returns their data.
fn parse_events(events: Vec<u8>) -> Result<Vec<String>, StreamError> {
    let bytes = futures::stream::iter([Ok::<_, std::io::Error>(events)]);
    let read = bytes
        .eventsource()
        .map(|event| event.map(|event| event.data));
    let read = read.collect::<Vec<_>>().now_or_never().unwrap_or_default();
    let read: Result<Vec<String>, _> = read.into_iter().collect();
    read.map_err(|_| StreamError::Unreadable)
}

/// Reader of one attempt's event stream.
pub(crate) struct ChunkReader {
    chat: Arc<ChatCall>,
    /// Id that the engine echoes in each chunk.
    attempt_id: String,
    buffer: EventBuffer,
    /// Position of the next token to relay, counted from zero over all attempts.
    next_position: u32,
    /// Whether tokens of an earlier attempt were relayed.
    is_resumed: bool,
    /// Number of chunks accepted from this attempt.
    chunks: u64,
    /// The chunk with the finish reason, held back until the bill is recorded.
    last_chunk: Option<ChatChunk>,
    has_ended: bool,
    /// Why the stream cannot be relayed beyond the chunks before.
    failure: Option<StreamError>,
}

/// How a chunk is handled.
enum ChunkAction {
    Relay,
    /// Ignored, for this reason.
    Drop(&'static str),
    /// Tokens before this chunk are missing or its place is unknown, so the attempt fails.
    Misplaced,
}

impl ChunkReader {
    /// Creates a reader for the attempt with this id, which begins with the token at `position`.
    pub(crate) fn new(chat: Arc<ChatCall>, attempt_id: String, position: u32) -> Self {
        Self {
            chat,
            attempt_id,
            buffer: EventBuffer::default(),
            next_position: position,
            is_resumed: position > 0,
            chunks: 0,
            last_chunk: None,
            has_ended: false,
            failure: None,
        }
    }

    fn classify(&self, chunk: &ChatChunk) -> ChunkAction {
        if chunk.id != self.attempt_id {
            return ChunkAction::Drop("crossed");
        }
        match chunk.position {
            Some(position) if position < self.next_position => ChunkAction::Drop("doubled"),
            Some(position) if position > self.next_position => ChunkAction::Misplaced,
            // The engine may have begun anew.
            None if self.is_resumed => ChunkAction::Misplaced,
            _ => ChunkAction::Relay,
        }
    }

    /// Processes the data of one event. Returns the event for the caller, if one is to be relayed
    /// now.
    ///
    /// # Errors
    ///
    /// Returns an error if the data is malformed, a token is missing, or the end marker comes before
    /// the last chunk.
    fn process(&mut self, data: &str) -> Result<Option<String>, StreamError> {
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
        match self.classify(&chunk) {
            ChunkAction::Drop(reason) => {
                metrics::counter!("clementinearch_chunks_dropped_total", "reason" => reason)
                    .increment(1);
                return Ok(None);
            }
            ChunkAction::Misplaced => return Err(StreamError::OutOfOrder),
            ChunkAction::Relay => {}
        }
        self.next_position += 1;
        self.chunks += 1;
        chunk.id = self.chat.request_id.simple();
        chunk.model = self.chat.label.to_string();
        let mut choices = chunk.choices.iter();
        let is_last = choices.any(|choice| choice.finish_reason.is_some());
        let usage = chunk.usage.clone().filter(|_| is_last);
        self.chat.record_progress(self.next_position, usage);
        if is_last {
            self.last_chunk = Some(chunk);
            return Ok(None);
        }
        Ok(Some(encode_chunk(&chunk)))
    }
}

impl EventReader for ChunkReader {
    fn push(&mut self, bytes: &[u8]) -> Result<Bytes, StreamError> {
        if let Some(failure) = self.failure {
            return Err(failure);
        }
        let events = self.buffer.push(bytes)?;
        let mut relayed = String::new();
        for data in parse_events(events)? {
            if self.has_ended {
                break;
            }
            match self.process(&data) {
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

    fn failure(&self) -> Option<StreamError> {
        self.failure
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
        // After the last chunk the response is complete, even if the end marker was lost.
        self.last_chunk.is_some()
    }

    fn final_events(&mut self) -> Bytes {
        let last = self
            .last_chunk
            .as_ref()
            .map(encode_chunk)
            .unwrap_or_default();
        (last + &encode_event(END_MARKER)).into()
    }
}

/// Assembles the response to a request that is not streamed from the events relayed for it.
pub(crate) fn assemble_response(chat: &ChatCall, events: Bytes) -> ChatAnswer {
    let mut content = String::new();
    let mut usage = Usage {
        prompt_tokens: 0,
        completion_tokens: 0,
    };
    let mut finish_reason = "stop".to_owned();
    let events = parse_events(events.to_vec()).unwrap_or_default();
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
        id: chat.request_id.simple(),
        model: chat.label.to_string(),
        choices: vec![AnswerChoice {
            index: 0,
            message,
            finish_reason,
        }],
        usage,
    }
}
