//! What hosts learn from each other beside membership and configuration.

use std::sync::Arc;

use crate::{shared::cascades::Cascades, shared::quality::QualityMonitor, shared::trials::Trials};

/// See the module.
pub(crate) struct SharedState {
    pub(crate) trials: Arc<Trials>,
    pub(crate) quality: QualityMonitor,
    pub(crate) cascades: Cascades,
}
