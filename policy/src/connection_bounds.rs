//! Bounds on the connections that a listener holds, and the order in which they are closed when
//! there are too many.

use std::{collections::BTreeSet, ops::RangeInclusive};

use crate::{names::FastMap, time::Millis};

/// Memory that a connection is taken to need besides bodies and long heads, bytes: its task, a read
/// buffer and the responses that are being written. 21 KB were measured for a silent one.
pub const CONNECTION_BYTES: usize = 24 << 10;

/// Part of a host's memory for the connections of callers. With 88 MB there is room for 596, and
/// well-behaved callers keep some hundred.
const CALLERS_MEMORY_DIVISOR: u64 = 6;

/// Part of a host's memory for heads that are longer than [`CONNECTION_BYTES`] covers, and the same
/// for the connections of peers.
const HEADS_MEMORY_DIVISOR: u64 = 16;
const PEERS_MEMORY_DIVISOR: u64 = 16;

/// Parts of a process's descriptors for the connections of callers, of peers, and of readiness probes
/// and operators each. At least a quarter is left for servers, the store and files.
const CALLERS_DESCRIPTORS_DIVISOR: u64 = 2;
const PEERS_DESCRIPTORS_DIVISOR: u64 = 8;
const OTHERS_DESCRIPTORS_DIVISOR: u64 = 16;

/// Most connections of peers: the largest fleet has 320 hosts.
const MAX_PEERS: u64 = 1_024;

/// Most connections of readiness probes, and of operators.
const MAX_READINESS: u64 = 64;
const MAX_OPERATORS: u64 = 32;

/// Least bounds that a small memory gives: some connections, and two of the largest heads.
const MIN_CONNECTIONS: u64 = 64;
const MIN_HEAD_BYTES: usize = 128 << 10;

/// Numbers of descriptors and of callers' connections that settings may name: a host cannot work with
/// fewer.
pub const CONNECTION_COUNTS: RangeInclusive<u64> = 16..=1 << 20;

/// Part of a listener's connections that is kept for new ones, whose first request has not been
/// accepted yet; the rest is kept for those that have had one.
const NEW_DIVISOR: usize = 4;

/// Bounds of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Most connections.
    pub connections: usize,
    /// Most bytes of heads and pipelined requests of all connections together.
    pub head_bytes: usize,
}

/// Bounds of all listeners of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Callers.
    pub callers: ConnectionLimits,
    /// Readiness probes.
    pub readiness: ConnectionLimits,
    /// Operators.
    pub operators: ConnectionLimits,
    /// Other entry hosts.
    pub peers: ConnectionLimits,
}

impl ListenerLimits {
    /// Returns the bounds of a host with this memory, bytes, and this many descriptors. `callers`
    /// replaces the bound on callers' connections that the memory gives.
    pub fn new(memory: u64, descriptors: u64, callers: Option<u64>) -> Self {
        let connection = CONNECTION_BYTES as u64;
        let head_bytes = ((memory / HEADS_MEMORY_DIVISOR) as usize).max(MIN_HEAD_BYTES);
        let limits = |most: u64, divisor: u64| ConnectionLimits {
            connections: most.min(descriptors / divisor).max(1) as usize,
            head_bytes,
        };
        let callers =
            callers.unwrap_or((memory / CALLERS_MEMORY_DIVISOR / connection).max(MIN_CONNECTIONS));
        let peers = (memory / PEERS_MEMORY_DIVISOR / connection).clamp(MIN_CONNECTIONS, MAX_PEERS);
        Self {
            callers: limits(callers, CALLERS_DESCRIPTORS_DIVISOR),
            readiness: limits(MAX_READINESS, OTHERS_DESCRIPTORS_DIVISOR),
            operators: limits(MAX_OPERATORS, OTHERS_DESCRIPTORS_DIVISOR),
            peers: limits(peers, PEERS_DESCRIPTORS_DIVISOR),
        }
    }
}

/// Returns the soft limit of open files in the text of `/proc/PID/limits`; `None` if there is none.
pub fn open_files_limit(limits: &str) -> Option<u64> {
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Activity {
    /// It waits for a request or a part of one, or for its client to read a response that is
    /// complete.
    Waiting,
    /// A request of it is being served.
    Working,
    /// A request of it is being served, and its client does not read.
    Unread,
}

/// Order in which connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Waits, and has had no accepted request.
    New,
    /// Waits, and has had one.
    Known,
    Unread,
    Working,
}

/// A connection that is held.
#[derive(Clone, Copy, Debug)]
struct Held {
    activity: Activity,
    /// Since when it does this.
    since: Millis,
    is_known: bool,
    head_bytes: usize,
}

impl Held {
    fn class(&self) -> Class {
        match self.activity {
            Activity::Working => Class::Working,
            Activity::Unread => Class::Unread,
            Activity::Waiting if self.is_known => Class::Known,
            Activity::Waiting => Class::New,
        }
    }
}

/// The connections of one listener.
#[derive(Clone, Debug)]
pub struct Connections {
    limits: ConnectionLimits,
    held: FastMap<u64, Held>,
    /// The same, in the order in which they are closed.
    order: BTreeSet<(Class, Millis, u64)>,
    /// Number of connections of class `New`.
    new: usize,
    head_bytes: usize,
    /// Bytes of heads of connections that are to be closed, until they are.
    closing: FastMap<u64, usize>,
    closing_bytes: usize,
}

impl Connections {
    /// Creates the account of a listener without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            held: FastMap::default(),
            order: BTreeSet::new(),
            new: 0,
            head_bytes: 0,
            closing: FastMap::default(),
            closing_bytes: 0,
        }
    }

    /// Adds connection `id`, which must not be held yet. Returns the connection to close for it, which
    /// is removed; it is `id` itself if all others are at work.
    pub fn open(&mut self, id: u64, now: Millis) -> Option<u64> {
        let victim = if self.held.len() < self.limits.connections {
            None
        } else {
            let victim = self.stalest(|_| true);
            if victim.is_none() {
                return Some(id);
            }
            victim
        };
        if let Some(victim) = victim {
            self.begin_close(victim);
        }
        let held = Held {
            activity: Activity::Waiting,
            since: now,
            is_known: false,
            head_bytes: 0,
        };
        self.insert(id, held);
        victim
    }

    /// Records what a connection does from `now` on. One that works is known from then on if its
    /// request `is_accepted`.
    pub fn set_activity(&mut self, id: u64, activity: Activity, is_accepted: bool, now: Millis) {
        self.update(id, |held| {
            held.activity = activity;
            held.since = now;
            held.is_known |= is_accepted;
        });
    }

    /// Records the bytes of a connection's incomplete or pipelined requests. Returns the connection to
    /// close if the bound on all of them is exceeded, which is removed.
    pub fn set_head_bytes(&mut self, id: u64, bytes: usize) -> Option<u64> {
        self.update(id, |held| held.head_bytes = bytes);
        let victim = (self.head_bytes > self.limits.head_bytes)
            .then(|| self.stalest(|held| held.head_bytes > 0))
            .flatten()?;
        self.begin_close(victim);
        Some(victim)
    }

    /// Removes the connection that is closed first, if any may be, and returns it.
    pub fn close_stalest(&mut self) -> Option<u64> {
        let victim = self.stalest(|_| true)?;
        self.begin_close(victim);
        Some(victim)
    }

    /// Removes a connection that is closed.
    pub fn close(&mut self, id: u64) {
        self.remove(id);
        self.closing_bytes -= self.closing.remove(&id).unwrap_or(0);
    }

    /// Whether more of a head may be read now. If not, connections that are to be closed still hold
    /// heads, which together with the others exceed the bound.
    pub fn may_read_heads(&self) -> bool {
        self.closing_bytes == 0 || self.head_bytes + self.closing_bytes <= self.limits.head_bytes
    }

    /// Removes a connection that is to be closed. Its head counts until [`Self::close`].
    fn begin_close(&mut self, id: u64) {
        if let Some(held) = self.remove(id).filter(|held| held.head_bytes > 0) {
            self.closing.insert(id, held.head_bytes);
            self.closing_bytes += held.head_bytes;
        }
    }

    /// Whether there is no room for another connection.
    pub fn is_full(&self) -> bool {
        self.held.len() >= self.limits.connections
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.held.len()
    }

    /// Bytes of incomplete and pipelined requests.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Returns the connection that is closed first of those that `is_candidate` selects: the one that
    /// has waited longest, of the new ones unless these are within their share. Connections at work are
    /// never closed.
    fn stalest(&self, is_candidate: impl Fn(&Held) -> bool) -> Option<u64> {
        let reserved = (self.limits.connections / NEW_DIVISOR).max(1);
        let first_of = |class: Class| {
            let begin = (class, Millis::default(), 0);
            let end = (class, Millis(u64::MAX), u64::MAX);
            let mut ids = self.order.range(begin..=end).map(|(_, _, id)| *id);
            ids.find(|id| self.held.get(id).is_some_and(&is_candidate))
        };
        let (first, second) = if self.new > reserved {
            (Class::New, Class::Known)
        } else {
            (Class::Known, Class::New)
        };
        first_of(first)
            .or_else(|| first_of(second))
            .or_else(|| first_of(Class::Unread))
    }

    fn update(&mut self, id: u64, change: impl FnOnce(&mut Held)) {
        if let Some(mut held) = self.remove(id) {
            change(&mut held);
            self.insert(id, held);
        }
    }

    fn insert(&mut self, id: u64, held: Held) {
        self.order.insert((held.class(), held.since, id));
        self.new += usize::from(held.class() == Class::New);
        self.head_bytes += held.head_bytes;
        self.held.insert(id, held);
    }

    fn remove(&mut self, id: u64) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.order.remove(&(held.class(), held.since, id));
        self.new -= usize::from(held.class() == Class::New);
        self.head_bytes -= held.head_bytes;
        Some(held)
    }
}
