//! The memory that a host has for bodies which it holds until they are complete or written.

use std::sync::Arc;

use clementinearch_policy::memory_shares::{BodyOwner, MemoryShares};
use hyper::body::Bytes;
use parking_lot::Mutex;

/// Memory for bodies, shared by all requests of a host.
#[derive(Debug)]
pub(crate) struct BodyMemory(Mutex<MemoryShares>);

/// Bytes that are held for one body, given back when this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    memory: Arc<BodyMemory>,
    owner: BodyOwner,
    bytes: usize,
}

impl BodyMemory {
    /// Creates memory for `limit` bytes.
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self(Mutex::new(MemoryShares::new(limit))))
    }

    /// Size of the largest body of `owner` that the host could hold, bytes.
    pub(crate) fn largest_body(&self, owner: &BodyOwner) -> usize {
        self.0.lock().largest_body(owner)
    }

    /// Begins a body of `owner`, for which nothing is held yet.
    pub(crate) fn begin(self: &Arc<Self>, owner: BodyOwner) -> HeldBytes {
        HeldBytes {
            memory: self.clone(),
            owner,
            bytes: 0,
        }
    }

    /// Bytes of all bodies.
    pub(crate) fn held(&self) -> usize {
        self.0.lock().held()
    }

    /// The owners that hold most, with their bytes, largest first.
    pub(crate) fn largest(&self, count: usize) -> Vec<(BodyOwner, usize)> {
        self.0.lock().largest(count)
    }
}

impl HeldBytes {
    /// Whether nothing is held.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Holds `bytes` from now on. Returns whether there is room for them; if not, nothing changes.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let mut shares = self.memory.0.lock();
        if bytes <= self.bytes {
            shares.give_back(&self.owner, self.bytes - bytes);
        } else if !shares.take(&self.owner, self.bytes, bytes - self.bytes) {
            return false;
        }
        self.bytes = bytes;
        true
    }

    /// Returns `buf` as bytes that stay held until the last copy of them is dropped.
    pub(crate) fn into_bytes(self, buf: impl Into<Bytes>) -> Bytes {
        let buf = buf.into();
        Bytes::from_owner(HeldBuffer { buf, _held: self })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.0.lock().give_back(&self.owner, self.bytes);
        }
    }
}

/// A buffer with the bytes that are held for it.
struct HeldBuffer {
    buf: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
