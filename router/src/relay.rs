//! Relay of event streams. Only complete events are forwarded, so that a stream that breaks off can
//! be resumed on another server.

use std::{io, time::Duration};

use clementinearch_policy::{routes::RouteKind, time::Millis};
use futures::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::{
    body::{Bytes, Frame, Incoming},
    http::response,
};
use tokio::sync::mpsc;

use crate::{
    active_request::{ActiveRequest, Reply},
    attempt::{
        AttemptResponse, CRASHES_SERVERS, FIRST_EVENT_OVERDUE, NEXT_EVENT_OVERDUE, SERVER_REFUSES,
        SERVER_SILENT, attempt_timeout, exceeds_idle_timeout, is_framed, record_abandoned,
        record_break, unreachable_reason,
    },
    connections::Connection,
    crash_check::has_ended,
    dialect::{EventReader, ResponseHead},
    hooks::{AttemptEnd, CallEnd},
    in_flight::InFlight,
    peer_source::PeerSource,
    refusal::Refusal,
    stream_head::is_usable_stream_head,
};

/// How often a waiting stream checks its time limits and the server.
const POLL_PERIOD: Duration = Duration::from_millis(150);

/// Gap between two events, as a multiple of the gap objective, after which a stream is resumed on
/// another server.
pub(crate) const MAX_GAP_OBJECTIVES: f64 = 3.0;

/// Number of frames that are buffered for a slow caller.
const FRAME_BUFFER: usize = 8;

/// The next step of a stream.
pub(crate) enum StreamStep {
    /// One or more complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The stream broke off or its server stopped sending, for this reason.
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
    /// Whether the stream continues after events of an earlier attempt.
    is_resumed: bool,
    /// Whether the end of the body is told by its framing rather than by that of the connection.
    is_framed: bool,
    has_ended: bool,
    /// When the last event arrived; before the first one, when the request was sent.
    last_event: Millis,
}

impl EventSource {
    /// Splits a response into its status and headers and its event stream.
    pub(crate) fn new(response: AttemptResponse, is_resumed: bool) -> (response::Parts, Self) {
        let source = Self {
            body: response.body,
            reader: response.reader,
            connection: Some(response.connection),
            in_flight: response.in_flight,
            head: response.head,
            is_resumed,
            is_framed: is_framed(&response.parts),
            has_ended: false,
            last_event: response.sent_at,
        };
        (response.parts, source)
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
            let frame = tokio::time::timeout(wait, self.body.frame()).await;
            let now = state.now();
            match frame {
                Ok(Some(Ok(frame))) => {
                    self.in_flight.server().record_contact(now);
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
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
                        return StreamStep::Events(events);
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
                Err(_) => {
                    if let Some(why) = self.stall_reason(request, now).await {
                        return self.end_or_broken(request, why);
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

    /// Returns the reason to leave this server if the stream has stalled for too long.
    async fn stall_reason(&self, request: &ActiveRequest, now: Millis) -> Option<&'static str> {
        let (state, call) = (&request.state, &request.call);
        if exceeds_idle_timeout(call, self.last_event, now) {
            return Some(SERVER_SILENT);
        }
        if call.head.route.kind != (RouteKind::Stream { resumable: true })
            || !request.may_abandon_attempt(now)
        {
            return None;
        }
        let waited = now.since(self.last_event);
        if self.reader.event_count() == 0 {
            let limit = attempt_timeout(state, call);
            if limit.is_some_and(|limit| waited >= limit) {
                return Some(FIRST_EVENT_OVERDUE);
            }
        } else if waited >= call.head.route.gap_objective.mul_f64(MAX_GAP_OBJECTIVES) {
            return Some(NEXT_EVENT_OVERDUE);
        }
        let server = self.in_flight.server();
        let silent_since = server.last_contact().max(self.last_event);
        unreachable_reason(state, server, silent_since).await
    }
}

/// Where the events of a stream come from.
pub(crate) enum Source {
    /// A backend server.
    Server(Box<EventSource>),
    /// Another entry host, to which the request was forwarded.
    Peer(Box<PeerSource>),
}

impl Source {
    async fn next(&mut self, request: &ActiveRequest) -> StreamStep {
        match self {
            Self::Server(source) => source.next(request).await,
            Self::Peer(source) => source.next(request).await,
        }
    }

    fn last_id(&self) -> Option<u64> {
        match self {
            Self::Server(source) => source.last_id(),
            Self::Peer(source) => source.last_id(),
        }
    }

    fn event_count(&self) -> u64 {
        match self {
            Self::Server(source) => source.event_count(),
            Self::Peer(source) => source.event_count(),
        }
    }

    fn final_events(&mut self) -> Bytes {
        match self {
            Self::Server(source) => source.final_events(),
            Self::Peer(_) => Bytes::new(),
        }
    }
}

/// The reason why a stream cannot be completed.
struct StreamFailure {
    /// Cause, for logs and metrics.
    why: &'static str,
    /// Refusal for the caller, if the dialect has an event for it.
    refusal: Refusal,
}

/// A stream that is being forwarded to the caller.
pub(crate) struct Relay {
    request: ActiveRequest,
    source: Source,
    /// Events that arrived before the relay was created.
    first: Option<Bytes>,
    /// Whether the outcome of the request is recorded.
    is_recorded: bool,
}

impl Relay {
    /// Creates a relay of the `first` events, followed by the rest of `source`.
    pub(crate) fn new(request: ActiveRequest, source: Source, first: Bytes) -> Self {
        Self {
            request,
            source,
            first: Some(first),
            is_recorded: false,
        }
    }

    /// Returns the frames of the response body. A stream that cannot be completed ends with the
    /// dialect's error event or, if there is none, with an error that closes the connection.
    pub(crate) fn into_frames(self) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
        futures::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
                Ok(None) => {
                    relay.request.end("complete", relay.source.event_count());
                    None
                }
                Err(failure) => {
                    let frame = relay.error_frame(&failure);
                    relay.finish_failed(failure).await;
                    Some((frame, None))
                }
            }
        })
    }

    /// Returns the same frames, but ends the request if the caller reads nothing for
    /// `stall_timeout`.
    pub(crate) fn into_buffered_frames(
        self,
        stall_timeout: Duration,
    ) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
        let (tx, mut rx) = mpsc::channel(FRAME_BUFFER);
        tokio::spawn(async move {
            let mut frames = std::pin::pin!(self.into_frames());
            loop {
                let next = tokio::select! {
                    next = frames.next() => next,
                    () = tx.closed() => None,
                };
                let Some(frame) = next else {
                    return;
                };
                // Dropping the frames ends the request of a caller that stalled or disconnected.
                let sent = tokio::time::timeout(stall_timeout, tx.send(frame)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
        });
        futures::stream::poll_fn(move |cx| rx.poll_recv(cx))
    }

    /// Collects all events, for a caller that wants a single response.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the stream cannot be completed.
    pub(crate) async fn collect(mut self) -> Result<Bytes, Refusal> {
        let mut all = Vec::new();
        loop {
            match self.next().await {
                Ok(Some(events)) => all.extend_from_slice(&events),
                Ok(None) => {
                    self.request.end("complete", self.source.event_count());
                    return Ok(all.into());
                }
                Err(failure) => {
                    let refusal = failure.refusal.clone();
                    self.finish_failed(failure).await;
                    return Err(refusal);
                }
            }
        }
    }

    fn error_frame(&self, failure: &StreamFailure) -> io::Result<Frame<Bytes>> {
        let request = &self.request;
        let event = request
            .state
            .dialect
            .error_event(&failure.refusal, &request.call);
        event
            .map(Frame::data)
            .ok_or_else(|| io::Error::other(failure.why))
    }

    async fn finish_failed(&mut self, failure: StreamFailure) {
        self.request
            .record_outcome(CallEnd::Failed { may_have_run: true })
            .await;
        self.request.end(failure.why, self.source.event_count());
    }

    async fn next(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Ok(Some(first));
        }
        loop {
            let step = self.source.next(&self.request).await;
            let has_ended = matches!(step, StreamStep::End);
            if let Source::Server(source) = &self.source
                && (has_ended || matches!(step, StreamStep::Events(_)))
            {
                let server = source.in_flight().server();
                let events = source.event_count();
                let now = self.request.state.now();
                self.request.record_pace(server, events, has_ended, now);
            }
            match step {
                StreamStep::Events(events) => return Ok(Some(events)),
                StreamStep::End if self.is_recorded => return Ok(None),
                StreamStep::End => {
                    self.request.record_outcome(CallEnd::Streamed).await;
                    self.is_recorded = true;
                    let closing = self.source.final_events();
                    if !closing.is_empty() {
                        return Ok(Some(closing));
                    }
                }
                StreamStep::DeadlinePassed => {
                    return Err(StreamFailure {
                        why: "time limit passed",
                        refusal: Refusal::DeadlinePassed,
                    });
                }
                StreamStep::Broken(why) => self.resume(why).await?,
            }
        }
    }

    /// Resumes the stream after the last complete event, on another server.
    async fn resume(&mut self, why: &'static str) -> Result<(), StreamFailure> {
        let after = self.source.last_id();
        self.request.is_pace_due = false;
        match &self.source {
            Source::Server(source) => self.request.record_broken_stream(source, why).await,
            Source::Peer(source) => self.request.log_broken_relay(source, why),
        }
        if self.request.call.head.route.kind != (RouteKind::Stream { resumable: true }) {
            let refusal = Refusal::MayHaveRun { reason: why };
            return Err(StreamFailure { why, refusal });
        }
        loop {
            let response = match self.request.next_response(after).await {
                Ok(Reply::Server(response)) => *response,
                Ok(Reply::Peer(response)) if self.request.is_usable_peer_head(&response) => {
                    self.source = Source::Peer(Box::new(PeerSource::new(response, after)));
                    return Ok(());
                }
                Ok(Reply::Peer(response)) if response.parts.status.is_success() => {
                    self.request.reject_peer_head(&response);
                    continue;
                }
                Ok(Reply::Peer(_)) => {
                    let refusal = Refusal::MayHaveRun { reason: why };
                    return Err(StreamFailure { why, refusal });
                }
                Err(refusal) => return Err(StreamFailure { why, refusal }),
            };
            if !is_usable_stream_head(&response) {
                self.request.reject_stream_head(&response);
                continue;
            }
            // Dropping the old source closes its connection and so cancels the old attempt.
            let (_, source) = EventSource::new(response, true);
            self.source = Source::Server(Box::new(source));
            return Ok(());
        }
    }
}

impl ActiveRequest {
    /// Logs that a stream from a peer broke off.
    pub(crate) fn log_broken_relay(&self, source: &PeerSource, why: &str) {
        let events = [("events", source.event_count() as f64)];
        self.log_step("stream_broken", &source.peer().to_string(), why, &events);
    }

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
            _ => record_break(&self.state, &self.call, in_flight, now).await,
        }
    }
}
