//! What a host's data path has peers told soon.

use serde::{Deserialize, Serialize};

use crate::rollouts::SessionVersion;

/// Something that peers are to be told soon.
#[derive(Clone, Debug)]
pub(crate) enum GossipEvent {
    /// A prompt was sent.
    Prefill(Prefill),
    /// A session's request ran.
    Session(SessionVersion),
}

/// A prompt that a host sent to a server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Prefill {
    /// Hash of the server's name.
    #[serde(rename = "s")]
    pub(crate) server: u64,
    /// Expected time to read it, milliseconds.
    #[serde(rename = "t")]
    pub(crate) ms: u32,
    /// Size of the model.
    #[serde(rename = "z")]
    pub(crate) size: usize,
    /// Parts of the prompt that other requests share.
    #[serde(rename = "p")]
    pub(crate) shared: Vec<u64>,
}
