//! The key-value service that the product keeps its state in, and its host list.
//!
//! [`Store`] is the border that tests replace; [`HttpStore`] speaks to the
//! platform over HTTP. The protocols on top of it need nothing but a [`Store`]:
//! [`write_edit`] for configuration, [`acquire_claim`] and [`settle_claim`] for calls
//! that must not be repeated, [`write_ledger_page`] for bills, [`Lease`] for
//! who gives orders.

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
    Changes, CommitOutcome, Freshness, ItemChange, KeyStore, KeyStorePurpose, Page, StoredItem,
    Transaction,
};
pub use leases::{HeldLease, Lease};
pub use ledger::{PageWriteOutcome, write_ledger_page};
pub use store::{HostSource, Purpose, PutOutcome, Store, StoreError, Versioned};
