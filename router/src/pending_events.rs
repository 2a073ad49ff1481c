//! Memory for the events of one stream: those that are incomplete, and those that a slow caller has
//! not taken in yet.

use std::sync::Arc;

use clementinearch_policy::{
    event_stream::{MAX_EVENT_BYTES, StreamError},
    memory_shares::BodyOwner,
};
use hyper::body::Bytes;

use crate::{
    body_buffer::{BodyError, MIN_PIECE_BYTES},
    body_memory::{BodyMemory, HeldBytes},
};

/// Size up to which events are not counted, bytes: nearly all events are as small as one token.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// Counts the bytes of a stream from the end of its last complete event on.
pub(crate) struct PendingEvents {
    memory: Arc<BodyMemory>,
    owner: BodyOwner,
    held: HeldBytes,
    /// Size since the last complete event as it counts towards the limits, bytes.
    counted: usize,
}

impl PendingEvents {
    /// Counts the stream of `owner`, of which nothing has come yet.
    pub(crate) fn new(memory: &Arc<BodyMemory>, owner: BodyOwner) -> Self {
        Self {
            memory: memory.clone(),
            held: memory.begin(owner.clone()),
            owner,
            counted: 0,
        }
    }

    /// Counts a piece of `bytes` that has come.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot be relayed further.
    pub(crate) fn push(&mut self, bytes: usize) -> Result<(), &'static str> {
        let counted = self.counted + bytes.max(MIN_PIECE_BYTES);
        // The events before an incomplete one may have come in the same piece.
        if self.counted > MAX_EVENT_BYTES {
            return Err(StreamError::EventTooLarge.reason());
        }
        if counted > UNCOUNTED_BYTES && !self.held.resize(counted) {
            return Err(BodyError::NoMemory.reason());
        }
        self.counted = counted;
        Ok(())
    }

    /// Returns complete events as bytes that stay held until the caller has got them.
    pub(crate) fn complete(&mut self, events: Bytes) -> Bytes {
        self.counted = 0;
        if self.held.is_empty() {
            return events;
        }
        let next = self.memory.begin(self.owner.clone());
        let mut held = std::mem::replace(&mut self.held, next);
        // They were counted with the piece that completed them, so that this only gives back.
        held.resize(events.len());
        held.into_bytes(events)
    }
}
