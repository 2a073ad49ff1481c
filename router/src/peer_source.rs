//! Event stream of a request that was forwarded to another entry host.

use std::{net::SocketAddr, time::Duration};

use clementinearch_policy::{event_stream::EventSplitter, memory_shares::BodyOwner, time::Millis};
use futures::future::{BoxFuture, FutureExt};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Frame, Incoming};

use crate::{
    active_request::ActiveRequest,
    attempt::NEXT_EVENT_OVERDUE,
    call::Call,
    connections::Connection,
    event_source::{MAX_GAP_OBJECTIVES, StreamStep},
    forwarding::{PEER_SILENT, PeerResponse, is_unreachable},
    handover::{Holder, HolderId, Sign},
    host_state::HostState,
    pending_events::PendingEvents,
};

/// How often a waiting stream checks its time limits and the peer.
const POLL_PERIOD: Duration = Duration::from_millis(150);

/// The event stream of a peer, which forwards only complete events itself.
pub(crate) struct PeerSource {
    body: Incoming,
    reader: EventSplitter,
    pending: PendingEvents,
    /// Connection on which the body arrives; dropping it cancels the request at the peer.
    connection: Option<Connection>,
    peer: SocketAddr,
    /// Whether the stream continues after events of an earlier attempt.
    is_resumed: bool,
    /// What came while another host or server was looked for.
    arrived: Option<Option<hyper::Result<Frame<Bytes>>>>,
    /// When bytes last came.
    last_contact: Option<Millis>,
}

impl PeerSource {
    /// Reads the stream of a response to `request` that goes on after the event `resume_after`.
    pub(crate) fn new(
        response: PeerResponse,
        request: &ActiveRequest,
        resume_after: Option<u64>,
    ) -> Self {
        let owner = BodyOwner::Server {
            service: request.call.service.clone(),
            server: response.peer.to_string().into(),
        };
        Self {
            pending: PendingEvents::new(&request.state.body_memory, owner),
            body: response.body,
            reader: EventSplitter::new(resume_after),
            connection: Some(response.connection),
            peer: response.peer,
            is_resumed: resume_after.is_some(),
            arrived: None,
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

    /// Whether the stream is complete if its body ends now.
    fn is_complete(&self) -> bool {
        self.reader.is_at_boundary() && (self.event_count() > 0 || self.is_resumed)
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
            let frame = match self.arrived.take() {
                Some(frame) => Ok(frame),
                None => tokio::time::timeout(wait, self.body.frame()).await,
            };
            let now = state.now();
            match frame {
                Ok(Some(Ok(frame))) => {
                    self.last_contact = Some(now);
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Err(why) = self.pending.push(data.len()) {
                        return StreamStep::Broken(why);
                    }
                    match self.reader.push(&data) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => {
                            return StreamStep::Events(self.pending.complete(events.into()));
                        }
                        Err(e) => return StreamStep::Broken(e.reason()),
                    }
                }
                Ok(Some(Err(_))) => return StreamStep::Broken("peer broke off"),
                Ok(None) if !self.reader.is_at_boundary() => {
                    return StreamStep::Broken("stream ended within an event");
                }
                Ok(None) if self.is_complete() => return StreamStep::End,
                Ok(None) => return StreamStep::Broken("stream without events"),
                Err(_) if !request.may_hand_over(now) => {}
                Err(_) => {
                    let limit = call.head.route.gap_objective.mul_f64(MAX_GAP_OBJECTIVES);
                    if self.event_count() > 0 && state.ran_since(last_contact) >= limit {
                        return StreamStep::Stalled(NEXT_EVENT_OVERDUE);
                    }
                    tokio::select! {
                        biased;
                        frame = self.body.frame() => self.arrived = Some(frame),
                        is_unreachable = is_unreachable(state, self.peer, last_contact) => {
                            if is_unreachable {
                                return StreamStep::Stalled(PEER_SILENT);
                            }
                        }
                    }
                }
            }
        }
    }
}

impl Holder for PeerSource {
    fn id(&self) -> HolderId {
        HolderId::Peer(self.peer)
    }

    fn name(&self) -> String {
        self.peer.to_string()
    }

    fn events(&self) -> u64 {
        self.event_count()
    }

    fn sign(&mut self) -> BoxFuture<'_, Sign> {
        async {
            if self.arrived.is_none() {
                self.arrived = Some(self.body.frame().await);
            }
            match &self.arrived {
                Some(Some(Ok(_))) => Sign::GoesOn,
                Some(None) if self.is_complete() => Sign::GoesOn,
                _ => Sign::Gone,
            }
        }
        .boxed()
    }

    fn leave(&mut self, state: &HostState, call: &Call, why: &'static str) {
        self.connection = None;
        let events = [("events", self.event_count() as f64)];
        call.log_step(state, "stream_broken", &self.name(), why, &events);
    }
}
