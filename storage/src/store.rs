//! Interface of the platform's key-value service and host list.

use std::time::Duration;

use clementinearch_border::HostEntry;
use derive_more::{Display, Error};

use crate::key_store::UnreadableItem;

/// A value and its version, for compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Version of the key, starting at one.
    pub version: u64,
    /// Text stored under the key.
    pub value: String,
}

/// Purpose of a [`Store`] call, by which calls are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum Purpose {
    /// Reading the configuration and the host list.
    #[display("config")]
    Config,
    /// Claims of calls that must run at most once.
    #[display("claim")]
    Claim,
    /// Ledger pages with bills.
    #[display("ledger")]
    Ledger,
    /// Leases for sending orders to model engines.
    #[display("orders")]
    Orders,
    /// Calls of the operators' command, `clemctl`.
    #[display("operator")]
    Operator,
}

/// Result of a compare-and-swap that the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The version matched and the value was written.
    Written {
        /// New version of the key.
        version: u64,
    },
    /// The key has another version, and nothing was written. Holds the current value, if the key
    /// exists.
    Conflict(Option<Versioned>),
}

/// Failure of a store call.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The store was unreachable or unavailable; the call had no effect.
    #[display("store not reached: {reason}")]
    NotReached {
        /// Cause.
        reason: String,
    },
    /// The call may have taken effect.
    #[display("no usable response from the store, the call may have taken effect: {reason}")]
    Unknown {
        /// Cause.
        reason: String,
    },
    /// The store rejected the call, or the call was invalid; it had no effect.
    #[display("store refused the call: {reason}")]
    Refused {
        /// Cause.
        reason: String,
    },
}

/// Key-value service with compare-and-swap, expiry of keys and watches.
pub trait Store: Send + Sync {
    /// Reads `key`; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if there is no usable response.
    fn get(&self, key: &str, purpose: Purpose) -> Result<Option<Versioned>, StoreError>;

    /// Waits up to `wait` for a version of `key` above `after`; returns `None` if none appears.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if there is no usable response.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
        purpose: Purpose,
    ) -> Result<Option<Versioned>, StoreError>;

    /// Writes `value` if `key` has version `expected`; zero means that the key must not exist.
    /// With `ttl`, the service deletes the key after that time unless it is written again.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`], whose variant shows whether the write may have taken effect.
    fn put(
        &self,
        key: &str,
        expected: u64,
        value: &str,
        ttl: Option<Duration>,
        purpose: Purpose,
    ) -> Result<PutOutcome, StoreError>;
}

/// Entries of the platform's host list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListedHosts {
    /// Entries that can be read.
    pub hosts: Vec<HostEntry>,
    /// The others, by their names.
    pub unreadable: Vec<UnreadableItem>,
}

/// Source of the platform's host list, which lags behind the actual state.
pub trait HostSource: Send + Sync {
    /// Reads the current list.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if there is no usable response.
    fn hosts(&self) -> Result<ListedHosts, StoreError>;
}
