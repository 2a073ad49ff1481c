//! Event stream of a request that was forwarded to another entry host.

use std::{net::SocketAddr, time::Duration};

use clementinearch_policy::{event_stream::EventSplitter, time::Millis};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{
    active_request::ActiveRequest,
    attempt::NEXT_EVENT_OVERDUE,
    connections::Connection,
    forwarding::{PeerResponse, is_unreachable},
    relay::{MAX_GAP_OBJECTIVES, StreamStep},
};

/// How often a waiting stream checks its time limits and the peer.
const POLL_PERIOD: Duration = Duration::from_millis(150);

/// The event stream of a peer, which forwards only complete events itself.
pub(crate) struct PeerSource {
    body: Incoming,
    reader: EventSplitter,
    /// Connection on which the body arrives; dropping it cancels the request at the peer.
    _connection: Connection,
    peer: SocketAddr,
    /// Whether the stream continues after events of an earlier attempt.
    is_resumed: bool,
    /// When bytes last came.
    last_contact: Option<Millis>,
}

impl PeerSource {
    /// Reads the stream of a response that goes on after the event `resume_after`.
    pub(crate) fn new(response: PeerResponse, resume_after: Option<u64>) -> Self {
        Self {
            body: response.body,
            reader: EventSplitter::new(resume_after),
            _connection: response.connection,
            peer: response.peer,
            is_resumed: resume_after.is_some(),
            last_contact: None,
        }
    }

    /// Address of the peer.
    pub(crate) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.reader.last_id()
    }

    /// Number of complete events so far.
    pub(crate) fn event_count(&self) -> u64 {
        self.reader.events()
    }

    /// Waits until events are complete, or the stream ends, breaks off or exceeds a time limit.
    pub(crate) async fn next(&mut self, request: &ActiveRequest) -> StreamStep {
        let (state, call) = (&request.state, &request.call);
        loop {
            if let Some(failure) = self.reader.failure() {
                return StreamStep::Broken(failure.reason());
            }
            let now = state.now();
            if now >= call.deadline {
                return StreamStep::DeadlinePassed;
            }
            let last_contact = *self.last_contact.get_or_insert(now);
            let wait = POLL_PERIOD.min(call.remaining(now));
            let frame = tokio::time::timeout(wait, self.body.frame()).await;
            let now = state.now();
            match frame {
                Ok(Some(Ok(frame))) => {
                    self.last_contact = Some(now);
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    match self.reader.push(&data) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => return StreamStep::Events(events.into()),
                        Err(e) => return StreamStep::Broken(e.reason()),
                    }
                }
                Ok(Some(Err(_))) => return StreamStep::Broken("peer broke off"),
                Ok(None) if !self.reader.is_at_boundary() => {
                    return StreamStep::Broken("stream ended within an event");
                }
                Ok(None) if self.event_count() == 0 && !self.is_resumed => {
                    return StreamStep::Broken("stream without events");
                }
                Ok(None) => return StreamStep::End,
                Err(_) if !call.head.route.kind.may_retry() => {}
                Err(_) => {
                    let limit = call.head.route.gap_objective.mul_f64(MAX_GAP_OBJECTIVES);
                    if self.event_count() > 0 && now.since(last_contact) >= limit {
                        return StreamStep::Broken(NEXT_EVENT_OVERDUE);
                    }
                    if is_unreachable(self.peer, last_contact, now).await {
                        return StreamStep::Broken("peer silent");
                    }
                }
            }
        }
    }
}
