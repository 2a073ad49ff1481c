//! In-memory stand-in for the platform's key-value service and host list, with injected faults.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use clementinearch_border::HostList;
use clementinearch_policy::names::FastMap;
use clementinearch_storage::{
    HostSource, ListedHosts, Purpose, PutOutcome, Store, StoreError, Versioned,
};
use parking_lot::{Condvar, Mutex};

/// Maximum size of a value, bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Faults that a test switches on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Calls fail without taking effect.
    pub down: bool,
    /// Delay of `get` and `put`. A `put` takes effect before the delay, a `get` after it.
    pub delay: Duration,
    /// Number of writes, starting with the next one, that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Whether a write whose response is lost also sets `down`.
    pub down_after_lost: bool,
    /// Whether reads return the previous value of a key, if there is one.
    pub stale: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    current: Versioned,
    previous: Option<Versioned>,
    expires: Option<Instant>,
}

/// Number of calls by caller and purpose.
pub type CallCounts = BTreeMap<(String, String), u64>;

#[derive(Default)]
struct State {
    entries: FastMap<String, Entry>,
    /// Last version of each expired key, so that no version is reused.
    versions: FastMap<String, u64>,
    hosts: Option<HostList>,
    /// Text that the service gives instead of the host list.
    hosts_text: Option<String>,
    faults: Faults,
    counts: CallCounts,
}

/// Key-value service and host list, shared by reference or `Arc`.
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Condvar,
}

impl MemoryStore {
    /// Creates an empty store without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the set of active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
        self.changed.notify_all();
    }

    /// Returns the active faults.
    pub fn faults(&self) -> Faults {
        self.state.lock().faults.clone()
    }

    /// Makes the service give this text instead of the host list, until the list is set again.
    pub fn set_hosts_text(&self, text: String) {
        self.state.lock().hosts_text = Some(text);
    }

    /// Returns the text that the service gives instead of the host list.
    pub(crate) fn hosts_text(&self) -> Option<String> {
        self.state.lock().hosts_text.clone()
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: HostList) {
        let mut state = self.state.lock();
        state.hosts = Some(hosts);
        state.hosts_text = None;
    }

    /// Counts a call; a watch counts as one call, however long it waits.
    pub fn count(&self, caller: &str, purpose: &str) {
        let key = (caller.to_owned(), purpose.to_owned());
        *self.state.lock().counts.entry(key).or_default() += 1;
    }

    /// Returns the calls counted so far.
    pub fn counts(&self) -> CallCounts {
        self.state.lock().counts.clone()
    }

    /// Returns the keys that begin with `prefix` and their values, sorted and unaffected by faults.
    pub fn dump(&self, prefix: &str) -> Vec<(String, String)> {
        let state = self.state.lock();
        let found = state
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let mut values: Vec<_> = found
            .map(|(key, entry)| (key.clone(), entry.current.value.clone()))
            .collect();
        values.sort();
        values
    }

    /// Writes a key without compare-and-swap, as an operator might do by mistake.
    pub fn overwrite(&self, key: &str, value: &str) {
        let mut state = self.state.lock();
        state.write(key, value, None);
        self.changed.notify_all();
    }

    fn check_faults(&self) -> Result<(), StoreError> {
        if self.faults().down {
            return Err(StoreError::NotReached {
                reason: "stand-in is down".to_owned(),
            });
        }
        Ok(())
    }

    /// Waits for the injected delay.
    fn wait_for_delay(&self) {
        let delay = self.faults().delay;
        if delay > Duration::ZERO {
            std::thread::sleep(delay);
        }
    }
}

impl State {
    /// Returns the entry of `key`, after removing it if it has expired.
    fn live_entry(&mut self, key: &str) -> Option<&Entry> {
        let expired = self
            .entries
            .get(key)
            .is_some_and(|entry| entry.expires.is_some_and(|at| at <= Instant::now()));
        if expired && let Some(entry) = self.entries.remove(key) {
            self.versions.insert(key.to_owned(), entry.current.version);
        }
        self.entries.get(key)
    }

    /// Writes `value` unconditionally; returns the new version.
    fn write(&mut self, key: &str, value: &str, ttl: Option<Duration>) -> u64 {
        let previous = self.live_entry(key).map(|entry| entry.current.clone());
        let last = previous.as_ref().map(|previous| previous.version);
        let version = 1 + last
            .or_else(|| self.versions.get(key).copied())
            .unwrap_or(0);
        let current = Versioned {
            version,
            value: value.to_owned(),
        };
        let expires = ttl.map(|ttl| Instant::now() + ttl);
        self.entries.insert(
            key.to_owned(),
            Entry {
                current,
                previous,
                expires,
            },
        );
        version
    }
}

impl Store for MemoryStore {
    fn get(&self, key: &str, _: Purpose) -> Result<Option<Versioned>, StoreError> {
        self.check_faults()?;
        self.wait_for_delay();
        let mut state = self.state.lock();
        let stale = state.faults.stale;
        let entry = state.live_entry(key);
        Ok(entry.map(|entry| match &entry.previous {
            Some(previous) if stale => previous.clone(),
            _ => entry.current.clone(),
        }))
    }

    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
        _: Purpose,
    ) -> Result<Option<Versioned>, StoreError> {
        self.check_faults()?;
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock();
        loop {
            if state.faults.down {
                return Err(StoreError::NotReached {
                    reason: "stand-in is down".to_owned(),
                });
            }
            if let Some(entry) = state.live_entry(key)
                && entry.current.version > after
            {
                return Ok(Some(entry.current.clone()));
            }
            if self.changed.wait_until(&mut state, deadline).timed_out() {
                return Ok(None);
            }
        }
    }

    fn put(
        &self,
        key: &str,
        expected: u64,
        value: &str,
        ttl: Option<Duration>,
        _: Purpose,
    ) -> Result<PutOutcome, StoreError> {
        self.check_faults()?;
        if value.len() > MAX_VALUE_BYTES {
            let reason = format!("value of {} bytes is over {MAX_VALUE_BYTES}", value.len());
            return Err(StoreError::Refused { reason });
        }
        let mut state = self.state.lock();
        let found = state.live_entry(key).map(|entry| entry.current.clone());
        let version = found.as_ref().map_or(0, |found| found.version);
        if version != expected {
            return Ok(PutOutcome::Conflict(found));
        }
        let version = state.write(key, value, ttl);
        self.changed.notify_all();
        let is_lost = state.faults.lose_answers > 0;
        if is_lost {
            state.faults.lose_answers -= 1;
            state.faults.down |= state.faults.down_after_lost;
        }
        drop(state);
        self.wait_for_delay();
        if is_lost {
            return Err(StoreError::Unknown {
                reason: "stand-in lost the answer".to_owned(),
            });
        }
        Ok(PutOutcome::Written { version })
    }
}

impl HostSource for MemoryStore {
    fn hosts(&self) -> Result<ListedHosts, StoreError> {
        self.check_faults()?;
        let hosts = self.state.lock().hosts.clone();
        Ok(ListedHosts {
            hosts: hosts.map(|list| list.hosts).unwrap_or_default(),
            unreadable: Vec::new(),
        })
    }
}
