//! State that hosts exchange by gossip, beside membership and configuration.

use std::sync::Arc;

use crate::{shared::cascades::Cascades, shared::quality::QualityMonitor, shared::trials::Trials};

/// The parts of the shared state, each of which merges what peers send.
pub(crate) struct SharedState {
    pub(crate) trials: Arc<Trials>,
    pub(crate) quality: QualityMonitor,
    pub(crate) cascades: Cascades,
}
