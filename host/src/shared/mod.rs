//! State that entry hosts share, within a zone or across the fleet: sessions, bills, trials of
//! suspect requests, and the counts that decide about rollouts and cascades.

pub(crate) mod backlog;
pub(crate) mod cascades;
pub(crate) mod ledger;
pub(crate) mod quality;
pub(crate) mod sessions;
pub(crate) mod state;
pub(crate) mod trials;
