//! Relay of event streams. Only complete events are forwarded, so that a stream that breaks off can
//! be resumed on another server.

use std::{io, time::Duration};

use clementinearch_policy::{memory_shares::BodyOwner, routes::RouteKind};
use futures::{Stream, StreamExt};
use hyper::body::{Bytes, Frame};
use tokio::sync::mpsc;

use crate::{
    active_request::{ActiveRequest, Reply},
    body_buffer::BodyError,
    body_memory::HeldBytes,
    event_source::{EventSource, StreamStep},
    handover::Handover,
    hooks::CallEnd,
    peer_source::PeerSource,
    pipeline::MAX_RESPONSE_BYTES,
    refusal::Refusal,
    stream_head::is_usable_stream_head,
    stream_source::Source,
};

/// Number of frames that are buffered for a slow caller.
const FRAME_BUFFER: usize = 8;

/// The reason why a stream cannot be completed.
struct StreamFailure {
    /// Cause, for logs and metrics.
    why: &'static str,
    /// Refusal for the caller, if the dialect has an event for it.
    refusal: Refusal,
}

impl StreamFailure {
    fn may_have_run(why: &'static str) -> Self {
        let refusal = Refusal::MayHaveRun { reason: why };
        Self { why, refusal }
    }
}

/// Checks that there is room for all events of a response so far.
fn check_size(events: &Vec<u8>, held: &mut HeldBytes) -> Result<(), BodyError> {
    if events.len() > MAX_RESPONSE_BYTES {
        return Err(BodyError::TooLarge);
    }
    if !held.resize(events.capacity()) {
        return Err(BodyError::NoMemory);
    }
    Ok(())
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
        let (state, service) = (&self.request.state, self.request.call.service.clone());
        let mut held = state.body_memory.begin(BodyOwner::Server {
            service,
            server: "".into(),
        });
        let mut all = Vec::new();
        loop {
            let failure = match self.next().await {
                Ok(Some(events)) => {
                    all.extend_from_slice(&events);
                    match check_size(&all, &mut held) {
                        Ok(()) => continue,
                        Err(e) => StreamFailure::may_have_run(e.reason()),
                    }
                }
                Ok(None) => {
                    self.request.end("complete", self.source.event_count());
                    return Ok(held.into_bytes(all));
                }
                Err(failure) => failure,
            };
            let refusal = failure.refusal.clone();
            self.finish_failed(failure).await;
            return Err(refusal);
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
                StreamStep::Stalled(why) => self.hand_over(why).await?,
                StreamStep::Broken(why) => self.resume(why).await?,
            }
        }
    }

    /// Looks for another server to go on after the last complete event, while the one that stalled
    /// keeps the stream.
    async fn hand_over(&mut self, why: &'static str) -> Result<(), StreamFailure> {
        let after = self.source.last_id();
        if let Source::Server(source) = &mut self.source {
            source.record_stall(&self.request, why).await;
        }
        let holder = self.source.holder();
        match self.request.hand_over(holder, after, why).await {
            Handover::Kept => Ok(()),
            Handover::Taken { reply, is_gone } => {
                self.request.is_pace_due = false;
                let source = match reply {
                    Reply::Server(response) => {
                        let memory = &self.request.state.body_memory;
                        let (_, source) = EventSource::new(*response, memory, true);
                        Source::Server(Box::new(source))
                    }
                    Reply::Peer(response) => {
                        Source::Peer(Box::new(PeerSource::new(response, &self.request, after)))
                    }
                };
                let left = std::mem::replace(&mut self.source, source);
                if let Source::Server(left) = left
                    && is_gone
                {
                    let (state, call) = (self.request.state.clone(), self.request.call.clone());
                    tokio::spawn(async move { left.record_gone(&state, &call).await });
                }
                Ok(())
            }
            Handover::Failed { refusal, is_gone } => {
                if let Source::Server(left) = &self.source
                    && is_gone
                {
                    left.record_gone(&self.request.state, &self.request.call)
                        .await;
                }
                Err(StreamFailure { why, refusal })
            }
        }
    }

    /// Resumes the stream after the last complete event, on another server.
    async fn resume(&mut self, why: &'static str) -> Result<(), StreamFailure> {
        let after = self.source.last_id();
        self.request.is_pace_due = false;
        self.request.record_broken_source(&self.source, why).await;
        if self.request.call.head.route.kind != (RouteKind::Stream { resumable: true }) {
            return Err(StreamFailure::may_have_run(why));
        }
        loop {
            let response = match self.request.next_response(after).await {
                Ok(Reply::Server(response)) => *response,
                Ok(Reply::Peer(response)) if self.request.is_usable_peer_head(&response) => {
                    let source = PeerSource::new(response, &self.request, after);
                    self.source = Source::Peer(Box::new(source));
                    return Ok(());
                }
                Ok(Reply::Peer(response)) if response.parts.status.is_success() => {
                    self.request.reject_peer_head(&response);
                    continue;
                }
                Ok(Reply::Peer(_)) => return Err(StreamFailure::may_have_run(why)),
                Err(refusal) => return Err(StreamFailure { why, refusal }),
            };
            if !is_usable_stream_head(&response) {
                self.request.reject_stream_head(&response);
                continue;
            }
            // Dropping the old source closes its connection and so cancels the old attempt.
            let (_, source) = EventSource::new(response, &self.request.state.body_memory, true);
            self.source = Source::Server(Box::new(source));
            return Ok(());
        }
    }
}

impl ActiveRequest {
    /// Records that a stream broke off.
    pub(crate) async fn record_broken_source(&mut self, source: &Source, why: &'static str) {
        match source {
            Source::Server(source) => self.record_broken_stream(source, why).await,
            Source::Peer(source) => self.log_broken_relay(source, why),
        }
    }

    /// Logs that a stream from a peer broke off.
    fn log_broken_relay(&self, source: &PeerSource, why: &str) {
        let events = [("events", source.event_count() as f64)];
        self.log_step("stream_broken", &source.peer().to_string(), why, &events);
    }
}
