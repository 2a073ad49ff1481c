//! What the hosts of a zone or of the fleet keep together: sessions, bills, trials, counts.

pub(crate) mod backlog;
pub(crate) mod cascades;
pub(crate) mod ledger;
pub(crate) mod quality;
pub(crate) mod sessions;
pub(crate) mod state;
pub(crate) mod trials;
