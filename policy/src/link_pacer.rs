//! What a host may send to its peers on its own link.
//!
//! What a host sends faster than its link takes waits there, and everything that it sends afterwards
//! waits behind it: new connections, callers' streams, reports. Large answers are therefore sent
//! one after the other, in pieces, at a part of the link's rate. An answer that would wait too long
//! for its turn is not begun.

use std::time::Duration;

use crate::time::Millis;

/// Largest piece of an answer that is sent at once, bytes. On a link of 10 Mbit/s it takes 7 ms.
pub const PIECE_BYTES: usize = 8 << 10;

/// Largest answer that does not wait for a turn, bytes: all peers of a zone may want it at once.
pub const SMALL_ANSWER_BYTES: usize = 2 << 10;

/// Part of the link's rate that large answers take.
pub const LINK_SHARE: f64 = 0.5;

/// Part of the link's rate that reports to peers take.
pub const GOSSIP_LINK_SHARE: f64 = 0.3;

/// Most datagrams about events that a host sends in a second, averaged over batches.
const EVENT_DATAGRAMS_PER_S: u32 = 600;

/// Bytes per millisecond in one Mbit/s.
const BYTES_PER_MS_AND_MBPS: f64 = 125.0;

/// Longest wait for a turn. An asker with a link of its own is served elsewhere sooner.
pub const MAX_TURN_WAIT: Duration = Duration::from_millis(800);

/// Returns the time that `bytes` take on the given part of a link with this rate, Mbit/s; zero if
/// the rate is not known.
pub fn send_time(bytes: usize, share: f64, link_mbps: Option<f64>) -> Duration {
    let Some(mbps) = link_mbps.filter(|mbps| *mbps > 0.0) else {
        return Duration::ZERO;
    };
    let ms = bytes as f64 / (mbps * BYTES_PER_MS_AND_MBPS * share);
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(MAX_TURN_WAIT)
}

/// Returns the time from a batch of events to the next one, by the datagrams that were sent.
pub fn event_batch_time(datagrams: usize) -> Duration {
    Duration::from_secs(1) * datagrams as u32 / EVENT_DATAGRAMS_PER_S
}

/// Gives out turns on a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkPacer {
    /// Rate of large answers, bytes per millisecond; none if the rate of the link is not known.
    bytes_per_ms: Option<f64>,
    /// When the last turn ends, milliseconds.
    free_at_ms: f64,
}

/// The turn of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    begin_ms: f64,
    ms_per_piece: f64,
    bytes: usize,
}

impl LinkPacer {
    /// Creates the pacer of a link with this rate, Mbit/s. Without a rate nothing waits.
    pub fn new(link_mbps: Option<f64>) -> Self {
        let rate = link_mbps.map(|mbps| mbps * BYTES_PER_MS_AND_MBPS * LINK_SHARE);
        Self {
            bytes_per_ms: rate.filter(|rate| *rate > 0.0),
            free_at_ms: 0.0,
        }
    }

    /// Takes the next turn for an answer of `bytes`. Returns `None`, and takes none, if it would
    /// begin later than [`MAX_TURN_WAIT`] from `now`.
    pub fn take_turn(&mut self, bytes: usize, now: Millis) -> Option<Turn> {
        let now_ms = now.0 as f64;
        let Some(rate) = self.bytes_per_ms else {
            return Some(Turn {
                begin_ms: now_ms,
                ms_per_piece: 0.0,
                bytes,
            });
        };
        let free_at_ms = self.free_at_ms.max(now_ms);
        let begin_ms = if bytes <= SMALL_ANSWER_BYTES {
            now_ms
        } else {
            free_at_ms
        };
        if begin_ms - now_ms > MAX_TURN_WAIT.as_secs_f64() * 1_000.0 {
            return None;
        }
        self.free_at_ms = free_at_ms + bytes as f64 / rate;
        Some(Turn {
            begin_ms,
            ms_per_piece: PIECE_BYTES as f64 / rate,
            bytes,
        })
    }
}

impl Turn {
    /// When the piece with this number, from zero, may be sent.
    pub fn due(&self, piece: usize) -> Millis {
        Millis((self.begin_ms + self.ms_per_piece * piece as f64).ceil() as u64)
    }

    /// Returns the turn with later times for the pieces after `piece`, which was sent at `now`.
    pub fn delayed(mut self, piece: usize, now: Millis) -> Self {
        let late_ms = now.0 as f64 - (self.begin_ms + self.ms_per_piece * piece as f64);
        self.begin_ms += late_ms.max(0.0);
        self
    }

    /// When the last piece may be sent.
    pub fn end(&self) -> Millis {
        self.due(self.bytes.saturating_sub(1) / PIECE_BYTES)
    }
}
