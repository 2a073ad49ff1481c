//! Reading of bodies to their end, within a limit of size and the memory of the host.
//!
//! Pieces are copied into one buffer. If they were kept as they come, a body in chunks of one byte
//! would take many times its size.

use std::sync::Arc;

use clementinearch_policy::memory_shares::BodyOwner;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};

use crate::body_memory::{BodyMemory, HeldBytes};

/// Bytes that a piece of a response counts as at least: the work for a piece hardly depends on its
/// size, so a body of very small ones is limited by their number.
pub(crate) const MIN_PIECE_BYTES: usize = 64;

/// Size of the first allocation for a body, bytes.
const MIN_CAPACITY: usize = 512;

/// The reason why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// It is larger than its limit, or comes in too many pieces.
    #[display("too large")]
    TooLarge,
    /// The host has no memory left for it.
    #[display("no memory left")]
    NoMemory,
    /// It broke off.
    #[display("broke off")]
    BrokeOff,
}

impl BodyError {
    /// Returns the reason as text for logs.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::TooLarge => "too large",
            Self::NoMemory => "no memory left",
            Self::BrokeOff => "broke off",
        }
    }
}

/// Limit of a body's size.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimit {
    max_bytes: usize,
    min_piece_bytes: usize,
}

impl BodyLimit {
    /// Limits a caller's body to `max_bytes`, in whatever pieces it comes.
    pub(crate) fn of_request(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            min_piece_bytes: 0,
        }
    }

    /// Limits the body of a response to `max_bytes`, and to the number of pieces that are worth it.
    pub fn of_response(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            min_piece_bytes: MIN_PIECE_BYTES,
        }
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Returns why there is no complete body.
pub async fn read_body<B>(body: B, limit: BodyLimit) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
{
    let mut buffer = BodyBuffer::new(limit);
    buffer.fill(body, None).await?;
    Ok(buffer.buf.into())
}

/// Reads a body of `owner` to its end, into memory that stays held until the last copy is dropped.
///
/// # Errors
///
/// Returns why there is no complete body.
pub(crate) async fn read_held_body<B>(
    body: B,
    mut limit: BodyLimit,
    memory: &Arc<BodyMemory>,
    owner: BodyOwner,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
{
    limit.max_bytes = limit.max_bytes.min(memory.largest_body(&owner));
    let mut held = memory.begin(owner);
    let mut buffer = BodyBuffer::new(limit);
    buffer.fill(body, Some(&mut held)).await?;
    Ok(held.into_bytes(buffer.buf))
}

/// The part of a body that has come.
struct BodyBuffer {
    buf: Vec<u8>,
    limit: BodyLimit,
    /// Size as it counts towards the limit, bytes.
    counted: usize,
}

impl BodyBuffer {
    fn new(limit: BodyLimit) -> Self {
        Self {
            buf: Vec::new(),
            limit,
            counted: 0,
        }
    }

    async fn fill<B>(&mut self, body: B, mut held: Option<&mut HeldBytes>) -> Result<(), BodyError>
    where
        B: Body<Data = Bytes>,
    {
        let mut body = std::pin::pin!(body);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::BrokeOff)?;
            if let Ok(piece) = frame.into_data() {
                self.push(&piece, held.as_deref_mut())?;
            }
        }
        Ok(())
    }

    fn push(&mut self, piece: &[u8], held: Option<&mut HeldBytes>) -> Result<(), BodyError> {
        self.counted += piece.len().max(self.limit.min_piece_bytes);
        if self.counted > self.limit.max_bytes {
            return Err(BodyError::TooLarge);
        }
        let needed = self.buf.len() + piece.len();
        if needed > self.buf.capacity() {
            let doubled = (self.buf.capacity() * 2).max(MIN_CAPACITY);
            let capacity = doubled.min(self.limit.max_bytes).max(needed);
            if held.is_some_and(|held| !held.resize(capacity)) {
                return Err(BodyError::NoMemory);
            }
            self.buf.reserve_exact(capacity - self.buf.len());
        }
        self.buf.extend_from_slice(piece);
        Ok(())
    }
}
