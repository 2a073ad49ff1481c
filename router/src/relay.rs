//! Relays a stream of events, whole event by whole event, and goes on at another server if its
//! server breaks it off.

use std::{io, time::Duration};

use clementinearch_policy::{routes::Kind, server_health::Sign, time::Millis};
use futures::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::{
    body::{Bytes, Frame, Incoming},
    http::response,
};
use tokio::sync::mpsc;

use crate::{
    active_request::ActiveRequest,
    attempt::{
        AttemptResponse, attempt_timeout, exceeds_idle_timeout, is_unreachable, record_break,
        record_server_outcome,
    },
    connections::Connection,
    dialect::{EventReader, ResponseHead},
    hooks::{AttemptOutcome, CallOutcome},
    refusal::Refusal,
    server::InFlight,
};

/// How often a stream that waits looks whether its server still speaks.
const POLL_PERIOD: Duration = Duration::from_millis(150);

/// Pause of one stream, in pauses of the objective, after which it goes on elsewhere.
const MAX_GAP_OBJECTIVES: f64 = 3.0;

/// Frames that wait for a slow caller.
const FRAME_BUFFER: usize = 8;

/// What a stream brings next.
pub(crate) enum StreamStep {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// It broke off, or the server fell silent.
    Broken(&'static str),
    /// The deadline passed.
    DeadlinePassed,
}

/// Events of one run on one server.
pub(crate) struct EventSource {
    body: Incoming,
    reader: Box<dyn EventReader>,
    connection: Option<Connection>,
    in_flight: InFlight,
    head: ResponseHead,
    is_resumed: bool,
    has_ended: bool,
    /// When the last event came, or the request was sent.
    last_event: Millis,
}

impl EventSource {
    /// The head of an answer, and its events, which go on after earlier ones if `is_resumed`.
    pub(crate) fn new(answer: AttemptResponse, is_resumed: bool) -> (response::Parts, Self) {
        let source = Self {
            body: answer.body,
            reader: answer.reader,
            connection: Some(answer.connection),
            in_flight: answer.in_flight,
            head: answer.head,
            is_resumed,
            has_ended: false,
            last_event: answer.sent_at,
        };
        (answer.parts, source)
    }

    /// Id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.reader.last_id()
    }

    /// Whole events so far.
    pub(crate) fn event_count(&self) -> u64 {
        self.reader.event_count()
    }

    /// Events that were held back until the request is accounted for.
    pub(crate) fn final_events(&mut self) -> Bytes {
        self.reader.final_events()
    }

    /// The request as it counts on its server.
    pub(crate) fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// Waits for whole events, the end or a break.
    pub(crate) async fn next(&mut self, run: &ActiveRequest) -> StreamStep {
        let (board, call) = (&run.board, &run.call);
        loop {
            if self.has_ended {
                return StreamStep::End;
            }
            let now = board.now();
            if now >= call.deadline {
                return StreamStep::DeadlinePassed;
            }
            let look = POLL_PERIOD.min(call.remaining(now));
            let frame = tokio::time::timeout(look, self.body.frame()).await;
            let now = board.now();
            match frame {
                Ok(Some(Ok(frame))) => {
                    self.in_flight.server().record_contact(now);
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let events = match self.reader.push(&data) {
                        Ok(events) => events,
                        Err(bad) => return self.broken(run, bad.reason()),
                    };
                    if self.reader.has_ended() {
                        self.end(run);
                    }
                    if !events.is_empty() {
                        self.last_event = now;
                        self.in_flight.finish_prefill();
                        return StreamStep::Events(events);
                    }
                }
                Ok(Some(Err(_))) => return self.broken(run, "stream broke off"),
                Ok(None) if !self.reader.is_complete(true) => {
                    return StreamStep::Broken("stream ended within an event");
                }
                Ok(None) if self.is_without_events() => {
                    return StreamStep::Broken("stream without events");
                }
                Ok(None) => {
                    if let Some(connection) = self.connection.take() {
                        run.keep_connection(self.in_flight.server(), connection, &self.head, now);
                    }
                    self.end(run);
                }
                Err(_) => {
                    if let Some(why) = self.stall_reason(run, now).await {
                        return self.broken(run, why);
                    }
                }
            }
        }
    }

    /// Whether a clean end now would leave the caller with nothing at all.
    fn is_without_events(&self) -> bool {
        self.reader.event_count() == 0 && !self.is_resumed && !self.reader.is_complete(false)
    }

    /// The stream is complete.
    fn end(&mut self, run: &ActiveRequest) {
        self.has_ended = true;
        run.record_attempt(self.in_flight.attempt_target(), AttemptOutcome::Whole);
    }

    /// The stream broke, unless what came proves the answer whole.
    fn broken(&mut self, run: &ActiveRequest, why: &'static str) -> StreamStep {
        if !self.reader.is_complete(false) {
            return StreamStep::Broken(why);
        }
        self.end(run);
        StreamStep::End
    }

    /// Why the stream is to go on elsewhere, if it has paused for too long.
    async fn stall_reason(&self, run: &ActiveRequest, now: Millis) -> Option<&'static str> {
        let (board, call) = (&run.board, &run.call);
        if exceeds_idle_timeout(call, self.last_event, now) {
            return Some("server silent");
        }
        if call.head.route.kind != (Kind::Stream { resumable: true })
            || !run.may_abandon_attempt(now)
        {
            return None;
        }
        let waited = now.since(self.last_event);
        if self.reader.event_count() == 0 {
            let is_overdue = attempt_timeout(board, call)
                .is_some_and(|attempt_timeout| waited >= attempt_timeout);
            if is_overdue {
                return Some("first event overdue");
            }
        } else if waited >= call.head.route.gap_objective.mul_f64(MAX_GAP_OBJECTIVES) {
            return Some("next event overdue");
        }
        let server = self.in_flight.server();
        let quiet_since = server.last_contact().max(self.last_event);
        is_unreachable(board, server, quiet_since)
            .await
            .then_some("server silent")
    }
}

/// Why a stream cannot be completed.
struct StreamFailure {
    /// What broke it, for the log.
    why: &'static str,
    /// What the caller is told, if its dialect has words for it.
    refusal: Refusal,
}

/// A stream on its way to the caller.
pub(crate) struct Relay {
    run: ActiveRequest,
    source: EventSource,
    first: Option<Bytes>,
    is_recorded: bool,
}

impl Relay {
    /// Relays `first`, then the rest of `source`.
    pub(crate) fn new(run: ActiveRequest, source: EventSource, first: Bytes) -> Self {
        Self {
            run,
            source,
            first: Some(first),
            is_recorded: false,
        }
    }

    /// The frames of the caller's answer; without a last event of the dialect's own, an error breaks
    /// it visibly off.
    pub(crate) fn into_frames(self) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
        futures::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
                Ok(None) => {
                    relay.run.end("complete", relay.source.event_count());
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

    /// The same, for a caller that may not take nothing for longer than `stall_reason`.
    pub(crate) fn into_buffered_frames(
        self,
        stall: Duration,
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
                // A caller that takes nothing, or left, ends the request with the frames.
                let sent = tokio::time::timeout(stall, tx.send(frame)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
        });
        futures::stream::poll_fn(move |cx| rx.poll_recv(cx))
    }

    /// All events, for a caller that takes them as one answer.
    ///
    /// # Errors
    ///
    /// Returns why the answer is not whole.
    pub(crate) async fn collect(mut self) -> Result<Bytes, Refusal> {
        let mut all = Vec::new();
        loop {
            match self.next().await {
                Ok(Some(events)) => all.extend_from_slice(&events),
                Ok(None) => {
                    self.run.end("complete", self.source.event_count());
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
        let run = &self.run;
        let event = run.board.dialect.error_event(&failure.refusal, &run.call);
        event
            .map(Frame::data)
            .ok_or_else(|| io::Error::other(failure.why))
    }

    async fn finish_failed(&mut self, failure: StreamFailure) {
        self.run
            .record_outcome(CallOutcome::Failed { may_have_run: true })
            .await;
        self.run.end(failure.why, self.source.event_count());
    }

    async fn next(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Ok(Some(first));
        }
        loop {
            match self.source.next(&self.run).await {
                StreamStep::Events(events) => return Ok(Some(events)),
                StreamStep::End if self.is_recorded => return Ok(None),
                StreamStep::End => {
                    self.run.record_outcome(CallOutcome::Streamed).await;
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

    /// Goes on after the last whole event at another server.
    async fn resume(&mut self, why: &'static str) -> Result<(), StreamFailure> {
        let after = self.source.last_id();
        self.run.record_broken_stream(&self.source, why).await;
        if self.run.call.head.route.kind != (Kind::Stream { resumable: true }) {
            let refusal = Refusal::MayHaveRun { reason: why };
            return Err(StreamFailure { why, refusal });
        }
        loop {
            let answer = match self.run.next_response(after).await {
                Ok(answer) => answer,
                Err(refusal) => return Err(StreamFailure { why, refusal }),
            };
            if answer.parts.status.is_success() && !answer.head.is_encoded {
                // The old run ends here: its connection closes with it.
                (_, self.source) = EventSource::new(answer, true);
                return Ok(());
            }
            let server = answer.in_flight.server();
            record_server_outcome(&self.run.board, server, Sign::Failed, self.run.board.now());
        }
    }
}

impl ActiveRequest {
    /// Notes that a server broke a stream off.
    pub(crate) async fn record_broken_stream(&mut self, source: &EventSource, why: &'static str) {
        let in_flight = source.in_flight();
        let server = in_flight.server();
        let now = self.board.now();
        self.record_attempt(in_flight.attempt_target(), AttemptOutcome::Broken);
        self.log_step(
            "stream_broken",
            &server.entry.name,
            why,
            &[("events", source.event_count() as f64)],
        );
        match why {
            "server silent" => record_server_outcome(&self.board, server, Sign::Unreachable, now),
            "first event overdue" => record_server_outcome(&self.board, server, Sign::Failed, now),
            "next event overdue" => {}
            _ => record_break(&self.board, &self.call, in_flight, now).await,
        }
    }
}
