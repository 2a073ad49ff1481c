//! Events on the data path that a host gossips to its peers without waiting for its next report.

use std::time::Duration;

use clementinearch_policy::shared_load::LONG_PREFILL;
use serde::{Deserialize, Serialize};

use crate::rollouts::SessionVersion;

/// An event for peers.
#[derive(Clone, Debug)]
pub(crate) enum GossipEvent {
    /// A server was sent a prompt.
    Prefill(Prefill),
    /// A peer of another zone sent a server a long prompt, and peers of the own zone are to be told.
    RelayedPrefill(Prefill),
    /// There is news of prompt parts that may crash servers.
    PartEvidence(Vec<u64>),
    /// What the host reports about itself has changed, and peers need it at once.
    Report,
    /// A request of a session was sent to a server.
    Session(SessionVersion),
}

/// The prefill of a prompt that a host sent to a server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Prefill {
    /// Hash of the server's name.
    #[serde(rename = "s")]
    pub(crate) server: u64,
    /// Expected duration, milliseconds.
    #[serde(rename = "t")]
    pub(crate) ms: u32,
    /// Index of the model among the route's sizes.
    #[serde(rename = "z")]
    pub(crate) size: usize,
    /// Ids of the prompt parts that other requests may share.
    #[serde(rename = "p")]
    pub(crate) shared: Vec<u64>,
    /// Whether the receiver tells the other hosts of its zone.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) is_to_relay: bool,
}

/// Largest datagram of prefills, bytes. Larger ones are sent in fragments, and lost if one is.
pub(crate) const MAX_PREFILLS_BYTES: usize = 1_400;

/// Most shared parts that peers are told of a prompt, from its beginning, so that it fits into a
/// datagram.
pub(crate) const MAX_SHARED_PARTS: usize = 60;

/// Length of the text around the rows of a datagram, bytes.
const FRAME_BYTES: usize = r#"{"Readings":[]}"#.len();

/// Splits prefills into pieces that each fit into a datagram.
pub(crate) fn datagram_pieces(prefills: &[Prefill]) -> impl Iterator<Item = &[Prefill]> {
    let mut length = FRAME_BYTES + prefills.first().map_or(0, Prefill::max_length);
    prefills.chunk_by(move |_, next| {
        let fits = length + next.max_length() <= MAX_PREFILLS_BYTES;
        let before = if fits { length } else { FRAME_BYTES };
        length = before + next.max_length();
        fits
    })
}

impl Prefill {
    /// Largest length of the row in a datagram with the comma after it, bytes.
    fn max_length(&self) -> usize {
        const NUMBER: usize = "18446744073709551615,".len();
        const FIELDS: usize = r#"{"s":"t":4294967295,"z":"p":[],"r":true},"#.len() + 2 * NUMBER;
        FIELDS + self.shared.len() * NUMBER
    }

    /// Whether all hosts are told of the prompt at once.
    pub(crate) fn is_long(&self) -> bool {
        Duration::from_millis(u64::from(self.ms)) >= LONG_PREFILL
    }

    /// Returns the event for the host that tells another zone. Prompt parts are left out: few of its
    /// requests go to servers of this zone.
    pub(crate) fn to_relay(&self) -> Self {
        Self {
            shared: Vec::new(),
            is_to_relay: true,
            ..self.clone()
        }
    }
}
