//! The account of what a listener's connections hold, shared by its connections.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use clementinearch_policy::{
    connection_bounds::{
        Activity, ConnectionLimits, Connections, ListenerLimits, open_files_limit,
    },
    names::FastMap,
    time::Millis,
};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{clock::Clock, settings::Limits};

/// Descriptors that a process is taken to have if its limit cannot be read: the usual default.
const DEFAULT_DESCRIPTORS: u64 = 1_024;

/// Least time between two reports of a listener, so that a crowd of connections adds few log lines.
const REPORT_PERIOD: Duration = Duration::from_secs(5);

/// Accounts of a host's listeners.
#[derive(Debug)]
pub(crate) struct ListenerAccounts {
    pub(crate) callers: Arc<ConnectionAccount>,
    pub(crate) readiness: Arc<ConnectionAccount>,
    pub(crate) operators: Arc<ConnectionAccount>,
    pub(crate) peers: Arc<ConnectionAccount>,
}

impl ListenerAccounts {
    /// Creates accounts with the bounds of a host with these limits.
    pub(crate) fn new(limits: &Limits) -> Self {
        let descriptors = limits.descriptors.unwrap_or_else(own_descriptors);
        let bounds =
            ListenerLimits::new(limits.memory_bytes, descriptors, limits.caller_connections);
        Self {
            callers: ConnectionAccount::new("callers", bounds.callers),
            readiness: ConnectionAccount::new("readiness", bounds.readiness),
            operators: ConnectionAccount::new("operators", bounds.operators),
            peers: ConnectionAccount::new("peers", bounds.peers),
        }
    }

    /// Returns all accounts.
    pub(crate) fn all(&self) -> [&Arc<ConnectionAccount>; 4] {
        [&self.callers, &self.readiness, &self.operators, &self.peers]
    }
}

fn own_descriptors() -> u64 {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    open_files_limit(&limits).unwrap_or(DEFAULT_DESCRIPTORS)
}

/// Account of the connections of one listener.
#[derive(Debug)]
pub struct ConnectionAccount {
    listener: &'static str,
    clock: Clock,
    next_id: AtomicU64,
    inner: Mutex<Inner>,
    /// Connections that were told to close and have not done so.
    closing: AtomicUsize,
    /// Connections closed or refused since the last report.
    closed: AtomicUsize,
    /// Failures to accept since the last report.
    failures: AtomicUsize,
    last_report_ms: AtomicU64,
}

#[derive(Debug)]
struct Inner {
    connections: Connections,
    /// Signals by which connections are told to close.
    closers: FastMap<u64, Arc<Notify>>,
}

/// What happened to a listener's connections since its last report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionReport {
    pub(crate) listener: &'static str,
    /// Connections closed or refused to keep the bounds.
    pub(crate) closed: usize,
    /// Failures to accept a connection.
    pub(crate) failures: usize,
    /// Connections that are open.
    pub(crate) open: usize,
}

impl ConnectionAccount {
    /// Creates an account with these bounds. The listener's name is a label of metrics.
    pub(crate) fn new(listener: &'static str, limits: ConnectionLimits) -> Arc<Self> {
        Arc::new(Self {
            listener,
            clock: Clock::new(),
            next_id: AtomicU64::new(0),
            inner: Mutex::new(Inner {
                connections: Connections::new(limits),
                closers: FastMap::default(),
            }),
            closing: AtomicUsize::new(0),
            closed: AtomicUsize::new(0),
            failures: AtomicUsize::new(0),
            last_report_ms: AtomicU64::new(0),
        })
    }

    /// Creates the account of the peers' connections of a host with these limits.
    pub fn of_peers(limits: &Limits) -> Arc<Self> {
        ListenerAccounts::new(limits).peers
    }

    /// Adds a connection, for which another one may be told to close. Returns `None` if it has to be
    /// refused, since all others are at work.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Arc<OpenConnection>> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let closer: Arc<Notify> = Arc::default();
        let mut inner = self.inner.lock();
        let closed = inner.connections.open(id, self.clock.now());
        self.tell_closed(&mut inner, closed);
        if closed == Some(id) {
            return None;
        }
        inner.closers.insert(id, closer.clone());
        drop(inner);
        Some(Arc::new(OpenConnection {
            account: self.clone(),
            id,
            closer,
            is_blocked: AtomicBool::new(false),
            working: AtomicUsize::new(0),
            has_request: AtomicBool::new(false),
            head_bytes: AtomicUsize::new(0),
            flushed: Notify::new(),
        }))
    }

    /// Records a failure to accept, and closes a connection, since descriptors are the usual cause.
    pub(crate) fn record_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
        let mut inner = self.inner.lock();
        let closed = inner.connections.close_stalest();
        self.tell_closed(&mut inner, closed);
    }

    /// Returns a report if one is due and something happened.
    pub(crate) fn take_report(&self) -> Option<ConnectionReport> {
        let now = self.clock.now();
        let last = Millis(self.last_report_ms.load(Ordering::Relaxed));
        let has_news = self.closed.load(Ordering::Relaxed) + self.failures.load(Ordering::Relaxed);
        if has_news == 0 || now.since(last) < REPORT_PERIOD {
            return None;
        }
        self.last_report_ms.store(now.0, Ordering::Relaxed);
        Some(ConnectionReport {
            listener: self.listener,
            closed: self.closed.swap(0, Ordering::Relaxed),
            failures: self.failures.swap(0, Ordering::Relaxed),
            open: self.count(),
        })
    }

    /// Whether connections were told to close and have not done so.
    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed) > 0
    }

    /// Name of the listener.
    pub(crate) fn listener(&self) -> &'static str {
        self.listener
    }

    /// Whether there is no room for another connection.
    pub(crate) fn is_full(&self) -> bool {
        self.inner.lock().connections.is_full()
    }

    /// Number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.inner.lock().connections.count()
    }

    /// Bytes of incomplete and pipelined requests.
    pub(crate) fn head_bytes(&self) -> usize {
        self.inner.lock().connections.head_bytes()
    }

    fn tell_closed(&self, inner: &mut Inner, closed: Option<u64>) {
        let Some(id) = closed else {
            return;
        };
        self.closed.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("clementinearch_connections_closed_total", "listener" => self.listener)
            .increment(1);
        if let Some(closer) = inner.closers.remove(&id) {
            self.closing.fetch_add(1, Ordering::Relaxed);
            closer.notify_one();
        }
    }
}

/// A connection in the account of its listener, until this is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    account: Arc<ConnectionAccount>,
    id: u64,
    closer: Arc<Notify>,
    /// Whether the client has not read what was written.
    is_blocked: AtomicBool,
    /// Number of requests that are being served; one connection of a peer may have several.
    working: AtomicUsize,
    /// Whether the head of a request has been read whose response is not begun.
    has_request: AtomicBool,
    /// Bytes read since the last request began.
    head_bytes: AtomicUsize,
    /// Notified when the client has read what was written.
    flushed: Notify,
}

impl OpenConnection {
    /// Waits until the connection has to be closed.
    pub async fn wait_until_closed(&self) {
        self.closer.notified().await;
    }

    /// Whether more may be read. It may not while connections that were told to close hold heads for
    /// which there is no room; their tasks are due to run then.
    pub(crate) fn may_read(&self) -> bool {
        !self.account.is_closing()
            || self.has_request.load(Ordering::Relaxed)
            || self.account.inner.lock().connections.may_read_heads()
    }

    /// Records bytes that were read, for which another connection may be told to close.
    pub(crate) fn record_read(&self, bytes: usize) {
        // Bodies are held within the memory for bodies.
        if self.has_request.load(Ordering::Relaxed) {
            return;
        }
        let all = self.head_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.set_head_bytes(all);
    }

    /// Records whether bytes wait for the client to read.
    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        if self.is_blocked.swap(is_blocked, Ordering::Relaxed) == is_blocked {
            return;
        }
        if !is_blocked {
            self.flushed.notify_one();
        }
        if self.working.load(Ordering::Relaxed) > 0 {
            self.set_activity(self.working_activity(), false);
        }
    }

    /// Waits until the client has read the responses before, so that no more of them pile up. The
    /// request's head is read by then.
    pub(crate) async fn begin_request(&self) {
        while self.is_blocked.load(Ordering::Relaxed) {
            self.flushed.notified().await;
        }
        self.has_request.store(true, Ordering::Relaxed);
        self.head_bytes.store(0, Ordering::Relaxed);
        self.set_head_bytes(0);
        // From here on the time that the connection was idle before does not count, so that a caller
        // whose body is arriving is not cut off before idle ones. The body has a time limit.
        self.set_activity(Activity::Waiting, false);
    }

    /// Records that the response to a request begins, so that what comes next is another request.
    pub(crate) fn end_request(&self) {
        self.has_request.store(false, Ordering::Relaxed);
    }

    /// Records that a complete, accepted request is served from now on, until the result is dropped.
    pub fn begin_work(self: &Arc<Self>) -> Work {
        self.working.fetch_add(1, Ordering::Relaxed);
        self.set_activity(self.working_activity(), true);
        Work(self.clone())
    }

    fn working_activity(&self) -> Activity {
        if self.is_blocked.load(Ordering::Relaxed) {
            Activity::Unread
        } else {
            Activity::Working
        }
    }

    fn set_activity(&self, activity: Activity, is_accepted: bool) {
        let now = self.account.clock.now();
        let mut inner = self.account.inner.lock();
        inner
            .connections
            .set_activity(self.id, activity, is_accepted, now);
    }

    fn set_head_bytes(&self, bytes: usize) {
        let mut inner = self.account.inner.lock();
        let closed = inner.connections.set_head_bytes(self.id, bytes);
        self.account.tell_closed(&mut inner, closed);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut inner = self.account.inner.lock();
        inner.connections.close(self.id);
        if inner.closers.remove(&self.id).is_none() {
            self.account.closing.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// A request that is being served, until its response is written or given up.
#[derive(Debug)]
pub struct Work(Arc<OpenConnection>);

impl Drop for Work {
    fn drop(&mut self) {
        if self.0.working.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.set_activity(Activity::Waiting, false);
        }
    }
}
