//! State that entry hosts share, within a zone or across the fleet: sessions, bills, trials of
//! suspect requests, and the counts by which versions are halted and cascades choose.

pub(crate) mod announcements;
pub(crate) mod backlog;
pub(crate) mod cascades;
pub(crate) mod ledger;
pub(crate) mod quality;
pub(crate) mod sessions;
pub(crate) mod state;
pub(crate) mod trials;
