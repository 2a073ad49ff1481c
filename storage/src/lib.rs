//! Access to the platform's key-value stores and host list, and the protocols built on them.
//!
//! [`Store`] is the trait that tests implement in memory; [`HttpStore`] implements it over HTTP.
//! The protocols need only a [`Store`]: [`write_edit`] changes the configuration,
//! [`acquire_claim`] and [`settle_claim`] run a call at most once, [`write_ledger_page`] records
//! bills, and [`Lease`] elects the host that sends orders to model engines. [`KeyStore`] is the
//! trait of a second kind of store, with prefix reads and transactions.

mod claims;
mod edits;
mod http;
mod key_store;
mod leases;
mod ledger;
mod store;

pub use claims::{Claim, ClaimError, ClaimOutcome, acquire_claim, settle_claim};
pub use edits::{EditError, EditOutcome, ItemWrite, read_head, write_edit};
pub use http::HttpStore;
pub use key_store::{
    Changes, CommitOutcome, Freshness, ItemChange, KeyStore, KeyStorePurpose, MAX_REVISION, Page,
    StorePosition, StoredItem, Transaction, UnreadableItem, check_revision,
};
pub use leases::{HeldLease, Lease};
pub use ledger::{PageWriteOutcome, write_ledger_page};
pub use store::{HostSource, ListedHosts, Purpose, PutOutcome, Store, StoreError, Versioned};
