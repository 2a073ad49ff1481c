//! Cuts a byte stream into whole events, so that a stream that breaks off can go on at another
//! server after the last whole one.

use derive_more::{Display, Error};

/// Largest event that is held until it is whole, bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Bytes of events that are not whole yet, and the id of the last whole one.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
    events: u64,
}

/// Why a stream cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum StreamError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[display("an event is too large")]
    EventTooLarge,
    /// An event does not come after the one before, such as that of a run that began anew.
    #[display("an event is out of order")]
    OutOfOrder,
    /// An event is not what the dialect expects.
    #[display("an event cannot be read")]
    Unreadable,
}

impl StreamError {
    /// The same as text for logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::EventTooLarge => "an event is too large",
            Self::OutOfOrder => "an event is out of order",
            Self::Unreadable => "an event cannot be read",
        }
    }
}

impl EventSplitter {
    /// Starts after the event with the id `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Takes in bytes. Returns the whole events among all bytes so far that were not returned yet.
    ///
    /// # Errors
    ///
    /// Returns an error if an event grows beyond its bound or is out of order.
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
        let whole = std::mem::replace(&mut self.pending, rest);
        self.note_ids(&whole)?;
        Ok(whole)
    }

    fn note_ids(&mut self, events: &[u8]) -> Result<(), StreamError> {
        let mut has_fields = false;
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.events += u64::from(has_fields);
                has_fields = false;
                continue;
            }
            has_fields = true;
            let Some(value) = line.strip_prefix(b"id:") else {
                continue;
            };
            let text = std::str::from_utf8(value).unwrap_or_default().trim();
            let Ok(id) = text.parse::<u64>() else {
                continue;
            };
            if self.last_id.is_some_and(|last| id <= last) {
                return Err(StreamError::OutOfOrder);
            }
            self.last_id = Some(id);
        }
        Ok(())
    }

    /// Id of the last whole event, or the one that the stream began after.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whole events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the bytes so far end with a whole event.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Where the last whole event ends: behind a blank line.
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
