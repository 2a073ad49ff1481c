//! What hosts learn from each other beside membership and configuration.

use std::sync::Arc;

use crate::{shared::cascades::Cascades, shared::quality::Quality, shared::trials::Trials};

/// See the module.
pub(crate) struct Shared {
    pub(crate) trials: Arc<Trials>,
    pub(crate) quality: Quality,
    pub(crate) cascades: Cascades,
}
