//! The event stream of one attempt, split into complete events and watched for silence.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{memory_shares::BodyOwner, routes::RouteKind, time::Millis};
use futures::future::{BoxFuture, FutureExt};
use http_body_util::BodyExt;
use hyper::{
    body::{Bytes, Frame, Incoming},
    http::response,
};

use crate::{
    active_request::ActiveRequest,
    attempt::{
        AttemptResponse, CRASHES_SERVERS, FIRST_EVENT_OVERDUE, NEXT_EVENT_OVERDUE, SERVER_REFUSES,
        SERVER_SILENT, attempt_timeout, exceeds_idle_timeout, is_framed, record_abandoned,
        record_break, unreachable_reason,
    },
    body_buffer::BodyError,
    body_memory::BodyMemory,
    call::Call,
    connections::Connection,
    crash_check::has_ended,
    dialect::{EventReader, ResponseHead},
    handover::{Holder, HolderId, Sign, record_left},
    hooks::AttemptEnd,
    host_state::HostState,
    in_flight::InFlight,
    pending_events::PendingEvents,
};

/// How often a waiting stream checks its time limits and the server.
const POLL_PERIOD: Duration = Duration::from_millis(150);

/// Gap between two events, as a multiple of the gap objective, after which another server is looked
/// for.
pub(crate) const MAX_GAP_OBJECTIVES: f64 = 3.0;

/// The next step of a stream.
pub(crate) enum StreamStep {
    /// One or more complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The server is silent or late, for this reason. It may still go on.
    Stalled(&'static str),
    /// The stream broke off or was given up, for this reason.
    Broken(&'static str),
    /// The deadline passed.
    DeadlinePassed,
}

/// The event stream of one attempt.
pub(crate) struct EventSource {
    body: Incoming,
    reader: Box<dyn EventReader>,
    connection: Option<Connection>,
    in_flight: InFlight,
    head: ResponseHead,
    pending: PendingEvents,
    /// Whether the stream continues after events of an earlier attempt.
    is_resumed: bool,
    /// Whether the end of the body is told by its framing rather than by that of the connection.
    is_framed: bool,
    has_ended: bool,
    sent_at: Millis,
    /// When the last event arrived; before the first one, when the request was sent.
    last_event: Millis,
    /// What came while another server was looked for.
    arrived: Option<Option<hyper::Result<Frame<Bytes>>>>,
    /// Whether a stall is recorded.
    is_stall_recorded: bool,
}

impl EventSource {
    /// Splits a response into its status and headers and its event stream.
    pub(crate) fn new(
        response: AttemptResponse,
        memory: &Arc<BodyMemory>,
        is_resumed: bool,
    ) -> (response::Parts, Self) {
        let entry = &response.in_flight.server().entry;
        let owner = BodyOwner::Server {
            service: entry.service.clone(),
            server: entry.name.clone(),
        };
        let source = Self {
            pending: PendingEvents::new(memory, owner),
            body: response.body,
            reader: response.reader,
            connection: Some(response.connection),
            in_flight: response.in_flight,
            head: response.head,
            is_resumed,
            is_framed: is_framed(&response.parts),
            has_ended: false,
            sent_at: response.sent_at,
            last_event: response.sent_at,
            arrived: None,
            is_stall_recorded: false,
        };
        (response.parts, source)
    }

    /// When the request was sent.
    pub(crate) fn sent_at(&self) -> Millis {
        self.sent_at
    }

    /// Id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.reader.last_id()
    }

    /// Number of complete events so far.
    pub(crate) fn event_count(&self) -> u64 {
        self.reader.event_count()
    }

    /// Returns the events that were held back until the outcome is recorded.
    pub(crate) fn final_events(&mut self) -> Bytes {
        self.reader.final_events()
    }

    /// The attempt as it is counted on its server.
    pub(crate) fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// Waits until events are complete, or the stream ends, breaks off or exceeds a time limit.
    pub(crate) async fn next(&mut self, request: &ActiveRequest) -> StreamStep {
        let (state, call) = (&request.state, &request.call);
        loop {
            if self.has_ended {
                return StreamStep::End;
            }
            if let Some(failure) = self.reader.failure() {
                return self.end_or_broken(request, failure.reason());
            }
            let now = state.now();
            if now >= call.deadline {
                return StreamStep::DeadlinePassed;
            }
            let wait = POLL_PERIOD.min(call.remaining(now));
            let frame = match self.arrived.take() {
                Some(frame) => Ok(frame),
                None => tokio::time::timeout(wait, self.body.frame()).await,
            };
            let now = state.now();
            match frame {
                Ok(Some(Ok(frame))) => {
                    self.in_flight.server().record_contact(now);
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Err(why) = self.pending.push(data.len()) {
                        return self.end_or_broken(request, why);
                    }
                    let events = match self.reader.push(&data) {
                        Ok(events) => events,
                        Err(e) => return self.end_or_broken(request, e.reason()),
                    };
                    if self.reader.has_ended() {
                        self.end(request);
                    }
                    if !events.is_empty() {
                        self.last_event = now;
                        if let Some(began_at) = self.in_flight.record_events(now) {
                            state.record_part_answer(call, began_at);
                        }
                        self.in_flight.finish_prefill();
                        return StreamStep::Events(self.pending.complete(events));
                    }
                }
                Ok(Some(Err(_))) => return self.end_or_broken(request, "stream broke off"),
                Ok(None) if !self.reader.is_complete(true) => {
                    return StreamStep::Broken("stream ended within an event");
                }
                Ok(None) if self.is_without_events() => {
                    return StreamStep::Broken("stream without events");
                }
                Ok(None) if self.has_server_ended().await => {
                    return StreamStep::Broken(SERVER_REFUSES);
                }
                Ok(None) => {
                    if let Some(connection) = self.connection.take() {
                        request.keep_connection(
                            self.in_flight.server(),
                            connection,
                            &self.head,
                            now,
                        );
                    }
                    self.end(request);
                }
                Err(_) if self.event_count() == 0 && state.has_blocked_part(call) => {
                    return StreamStep::Broken(CRASHES_SERVERS);
                }
                Err(_) if exceeds_idle_timeout(state, call, self.last_event) => {
                    return self.end_or_broken(request, SERVER_SILENT);
                }
                Err(_) => {
                    if let Some(why) = self.stall_reason(request, now).await {
                        return self.end_or_stalled(request, why);
                    }
                }
            }
        }
    }

    /// Whether the body ended without any event, so that the caller would get an empty response.
    fn is_without_events(&self) -> bool {
        self.reader.event_count() == 0 && !self.is_resumed && !self.reader.is_complete(false)
    }

    /// Whether the body ended with its connection because the server has ended. Its kernel closes the
    /// connection as if the response were complete.
    async fn has_server_ended(&self) -> bool {
        !self.is_framed && has_ended(self.in_flight.server()).await
    }

    /// Marks the stream as complete and records the attempt.
    fn end(&mut self, request: &ActiveRequest) {
        self.has_ended = true;
        request.record_attempt(self.in_flight.attempt_target(), AttemptEnd::Whole);
        // The end of a connection alone does not show that the server has survived the response.
        if self.is_framed || self.in_flight.is_answering() {
            let began_at = self.in_flight.first_event_at();
            self.in_flight.finish();
            request.record_success(began_at.unwrap_or_else(|| request.state.now()));
        }
    }

    /// Handles a break of the stream, which counts as its end if the response is complete already.
    fn end_or_broken(&mut self, request: &ActiveRequest, why: &'static str) -> StreamStep {
        if !self.reader.is_complete(false) {
            return StreamStep::Broken(why);
        }
        self.end(request);
        StreamStep::End
    }

    /// Handles a stall of the stream, which counts as its end if the response is complete already.
    fn end_or_stalled(&mut self, request: &ActiveRequest, why: &'static str) -> StreamStep {
        if !self.reader.is_complete(false) {
            return StreamStep::Stalled(why);
        }
        self.end(request);
        StreamStep::End
    }

    /// Records that the server is silent or late, once.
    pub(crate) async fn record_stall(&mut self, request: &ActiveRequest, why: &'static str) {
        if std::mem::replace(&mut self.is_stall_recorded, true) {
            return;
        }
        let (state, call) = (&request.state, &request.call);
        record_abandoned(state, call, &self.in_flight, why, state.now()).await;
    }

    /// Records the cause of the end of a stream that broke off while it was handed over.
    pub(crate) async fn record_gone(&self, state: &HostState, call: &Call) {
        record_break(state, call, &self.in_flight, state.now()).await;
    }

    /// Returns the reason to look for another server if the stream has stalled for too long.
    async fn stall_reason(&mut self, request: &ActiveRequest, now: Millis) -> Option<&'static str> {
        let (state, call) = (&request.state, &request.call);
        if call.head.route.kind != (RouteKind::Stream { resumable: true })
            || !request.may_abandon_attempt(now)
        {
            return None;
        }
        let waited = state.ran_since(self.last_event);
        if self.reader.event_count() == 0 {
            let limit = attempt_timeout(state, call);
            if limit.is_some_and(|limit| waited >= limit) {
                return Some(FIRST_EVENT_OVERDUE);
            }
        } else if waited >= call.head.route.gap_objective.mul_f64(MAX_GAP_OBJECTIVES) {
            return Some(NEXT_EVENT_OVERDUE);
        }
        let server = self.in_flight.server().clone();
        let silent_since = server.last_contact().max(self.last_event);
        tokio::select! {
            biased;
            frame = self.body.frame() => {
                self.arrived = Some(frame);
                None
            }
            why = unreachable_reason(state, &server, silent_since) => why,
        }
    }
}

impl Holder for EventSource {
    fn id(&self) -> HolderId {
        HolderId::Server(self.in_flight.server().name_hash)
    }

    fn name(&self) -> String {
        self.in_flight.server().entry.name.to_string()
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
                Some(None) if self.reader.is_complete(true) => Sign::GoesOn,
                _ if self.reader.is_complete(false) => Sign::GoesOn,
                _ => Sign::Gone,
            }
        }
        .boxed()
    }

    fn leave(&mut self, state: &HostState, call: &Call, why: &'static str) {
        self.connection = None;
        let events = self.event_count();
        let in_flight = &mut self.in_flight;
        record_left(state, call, in_flight, "stream_broken", why, events);
    }
}

impl ActiveRequest {
    /// Records that a stream broke off, and its cause against the server.
    pub(crate) async fn record_broken_stream(&mut self, source: &EventSource, why: &'static str) {
        let in_flight = source.in_flight();
        let server = in_flight.server();
        let now = self.state.now();
        self.record_attempt(in_flight.attempt_target(), AttemptEnd::Broken);
        self.log_step(
            "stream_broken",
            &server.entry.name,
            why,
            &[("events", source.event_count() as f64)],
        );
        match why {
            CRASHES_SERVERS | SERVER_SILENT | SERVER_REFUSES | FIRST_EVENT_OVERDUE
            | NEXT_EVENT_OVERDUE => {
                record_abandoned(&self.state, &self.call, in_flight, why, now).await;
            }
            _ if why == BodyError::NoMemory.reason() => {}
            _ => record_break(&self.state, &self.call, in_flight, now).await,
        }
    }
}
