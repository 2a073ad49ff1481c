//! The stream of a server or of a peer.

use hyper::body::Bytes;

use crate::{
    active_request::ActiveRequest,
    call::Call,
    event_source::{EventSource, StreamStep},
    handover::Holder,
    host_state::HostState,
    peer_source::PeerSource,
};

/// Where the events of a stream come from.
pub(crate) enum Source {
    /// A backend server.
    Server(Box<EventSource>),
    /// Another entry host, to which the request was forwarded.
    Peer(Box<PeerSource>),
}

impl Source {
    /// Waits for the next step of the stream.
    pub(crate) async fn next(&mut self, request: &ActiveRequest) -> StreamStep {
        match self {
            Self::Server(source) => source.next(request).await,
            Self::Peer(source) => source.next(request).await,
        }
    }

    /// The stream as one that may be handed over.
    pub(crate) fn holder(&mut self) -> &mut dyn Holder {
        match self {
            Self::Server(source) => &mut **source,
            Self::Peer(source) => &mut **source,
        }
    }

    /// Id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        match self {
            Self::Server(source) => source.last_id(),
            Self::Peer(source) => source.last_id(),
        }
    }

    /// Number of complete events so far.
    pub(crate) fn event_count(&self) -> u64 {
        match self {
            Self::Server(source) => source.event_count(),
            Self::Peer(source) => source.event_count(),
        }
    }

    /// Returns the events that were held back until the outcome is recorded.
    pub(crate) fn final_events(&mut self) -> Bytes {
        match self {
            Self::Server(source) => source.final_events(),
            Self::Peer(_) => Bytes::new(),
        }
    }
    /// Records that a server is silent or late, once.
    pub(crate) async fn record_stall(&mut self, request: &ActiveRequest, why: &'static str) {
        if let Self::Server(source) = self {
            source.record_stall(request, why).await;
        }
    }

    /// Records the cause of the end of a stream that broke off while it was handed over.
    pub(crate) async fn record_gone(&self, state: &HostState, call: &Call) {
        if let Self::Server(source) = self {
            source.record_gone(state, call).await;
        }
    }
}
