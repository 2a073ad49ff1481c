//! Splitter of a byte stream into complete server-sent events, so that a stream that breaks off can
//! resume on another server after the last complete event.

use derive_more::{Display, Error};

/// Largest event that is buffered until it is complete, bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splitter of a byte stream into complete events, whatever they hold.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    pending: Vec<u8>,
}

/// Splitter of a stream of numbered events, of which each is relayed once and in order.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: EventBuffer,
    last_id: Option<u64>,
    events: u64,
    /// Comments before the first event.
    comments: Vec<u8>,
    /// Why the bytes after the events that were returned cannot be relayed.
    failure: Option<StreamError>,
}

/// Reason why a stream cannot be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum StreamError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[display("an event is too large")]
    EventTooLarge,
    /// The id of an event is not above the previous one, as after a server restarted the response.
    #[display("an event is out of order")]
    OutOfOrder,
    /// An event has no id, or none that can be read, as the text of an error.
    #[display("an event has no number")]
    Unnumbered,
    /// An event does not have the format that the dialect expects.
    #[display("an event cannot be read")]
    Unreadable,
}

impl StreamError {
    /// Returns the reason as text for logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::EventTooLarge => "an event is too large",
            Self::OutOfOrder => "an event is out of order",
            Self::Unnumbered => "an event has no number",
            Self::Unreadable => "an event cannot be read",
        }
    }
}

impl EventBuffer {
    /// Adds bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Fails if an event exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, StreamError> {
        let scan_from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.pending, scan_from) else {
            if self.pending.len() > MAX_EVENT_BYTES {
                return Err(StreamError::EventTooLarge);
            }
            return Ok(Vec::new());
        };
        let rest = self.pending.split_off(end);
        Ok(std::mem::replace(&mut self.pending, rest))
    }

    /// Returns whether the bytes so far end with a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }
}

impl EventSplitter {
    /// Creates a splitter for a stream that begins after the event with the id `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds bytes to the buffer and returns the events that are now complete, up to the first one that
    /// cannot be relayed. Comments go with the events, at first with the first one.
    ///
    /// # Errors
    ///
    /// Fails if an event or the comments before the first one exceed [`MAX_EVENT_BYTES`], or an event
    /// has no id or is out of order, and no event comes before it.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, StreamError> {
        if let Some(failure) = self.failure {
            return Err(failure);
        }
        let mut complete = self.buffer.push(bytes)?;
        complete.truncate(self.record_events(&complete));
        match self.failure {
            Some(failure) if complete.is_empty() || self.events == 0 => Err(failure),
            _ if self.events == 0 => self.hold_comments(&complete),
            _ => {
                complete.splice(..0, self.comments.drain(..));
                Ok(complete)
            }
        }
    }

    /// Holds comments back until the first event, since a body that holds nothing else is no stream.
    fn hold_comments(&mut self, comments: &[u8]) -> Result<Vec<u8>, StreamError> {
        self.comments.extend_from_slice(comments);
        if self.comments.len() > MAX_EVENT_BYTES {
            return Err(StreamError::EventTooLarge);
        }
        Ok(Vec::new())
    }

    /// Records events up to the first one that cannot be relayed. Returns the number of their bytes.
    fn record_events(&mut self, events: &[u8]) -> usize {
        let mut begin = 0;
        let mut end = 0;
        for line in events.split_inclusive(|byte| *byte == b'\n') {
            end += line.len();
            if !without_line_end(line).is_empty() {
                continue;
            }
            if let Err(failure) = self.record_event(&events[begin..end]) {
                self.failure = Some(failure);
                return begin;
            }
            begin = end;
        }
        begin
    }

    /// Counts an event and checks that its id is above the previous one.
    fn record_event(&mut self, event: &[u8]) -> Result<(), StreamError> {
        let Some(id) = read_id(event)? else {
            return Ok(());
        };
        if self.last_id.is_some_and(|last| id <= last) {
            return Err(StreamError::OutOfOrder);
        }
        self.last_id = Some(id);
        self.events += 1;
        Ok(())
    }

    /// Returns why no further event can be relayed, once those before were returned.
    pub fn failure(&self) -> Option<StreamError> {
        self.failure
    }

    /// Returns the id of the last complete event, else the one that the stream began after.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the bytes so far end with a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_at_boundary()
    }
}

/// Returns the id of an event, or `None` if there is no event: only comments or the time after which
/// a caller reconnects.
fn read_id(event: &[u8]) -> Result<Option<u64>, StreamError> {
    let mut id = None;
    let mut has_fields = false;
    for line in event.split(|byte| *byte == b'\n').map(without_line_end) {
        if line.is_empty() || line.starts_with(b":") || line.starts_with(b"retry:") {
            continue;
        }
        has_fields = true;
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        let text = std::str::from_utf8(value).unwrap_or_default().trim();
        let number = text.parse().map_err(|_| StreamError::Unnumbered)?;
        // Two ids are two events that were cut and joined.
        if id.replace(number).is_some() {
            return Err(StreamError::Unnumbered);
        }
    }
    if has_fields && id.is_none() {
        return Err(StreamError::Unnumbered);
    }
    Ok(id)
}

fn without_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Returns the end of the last complete event, which is after a blank line.
///
/// `scan_from` is the index from which the bytes have not been searched yet.
fn last_event_end(bytes: &[u8], scan_from: usize) -> Option<usize> {
    let mut end = bytes.len();
    while end > scan_from + 1 {
        if bytes[end - 1] == b'\n' {
            let before = &bytes[..end - 1];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(end);
            }
        }
        end -= 1;
    }
    None
}
