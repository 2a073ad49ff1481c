//! Relays a stream of events, whole event by whole event, and goes on at another server if its
//! server breaks it off.

use std::{io, time::Duration};

use clementinearch_policy::{routes::RouteKind, server_health::AttemptOutcome, time::Millis};
use futures::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::{
    body::{Bytes, Frame, Incoming},
    http::response,
};
use tokio::sync::mpsc;

use crate::{
    attempt::{Answer, is_dark, is_silent_for_too_long, note_break, note_outcome, patience},
    connections::Connection,
    control::{AttemptEnd, CallEnd},
    dialect::{AnswerHead, EventReader},
    refusal::Refusal,
    run::Run,
    server::InFlight,
};

/// How often a stream that waits looks whether its server still speaks.
const LOOK_PERIOD: Duration = Duration::from_millis(150);

/// Pause of one stream, in pauses of the objective, after which it goes on elsewhere.
const PAUSES_BORNE: f64 = 3.0;

/// Frames that wait for a slow caller.
const FRAMES_AHEAD: usize = 8;

/// What a stream brings next.
pub(crate) enum Next {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// It broke off, or the server fell silent.
    Broken(&'static str),
    /// The deadline passed.
    OutOfTime,
}

/// Events of one run on one server.
pub(crate) struct EventSource {
    body: Incoming,
    reader: Box<dyn EventReader>,
    connection: Option<Connection>,
    in_flight: InFlight,
    head: AnswerHead,
    is_resumed: bool,
    has_ended: bool,
    /// When the last event came, or the request was sent.
    last_event: Millis,
}

impl EventSource {
    /// The head of an answer, and its events, which go on after earlier ones if `is_resumed`.
    pub(crate) fn new(answer: Answer, is_resumed: bool) -> (response::Parts, Self) {
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
    pub(crate) fn events(&self) -> u64 {
        self.reader.events()
    }

    /// Events that were held back until the request is accounted for.
    pub(crate) fn closing(&mut self) -> Bytes {
        self.reader.closing()
    }

    /// The request as it counts on its server.
    pub(crate) fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// Waits for whole events, the end or a break.
    pub(crate) async fn next(&mut self, run: &Run) -> Next {
        let (state, call) = (&run.state, &run.call);
        loop {
            if self.has_ended {
                return Next::End;
            }
            let now = state.now();
            if now >= call.deadline {
                return Next::OutOfTime;
            }
            let look = LOOK_PERIOD.min(call.remaining(now));
            let frame = tokio::time::timeout(look, self.body.frame()).await;
            let now = state.now();
            match frame {
                Ok(Some(Ok(frame))) => {
                    self.in_flight.server().note_heard(now);
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
                        self.in_flight.note_read();
                        return Next::Events(events);
                    }
                }
                Ok(Some(Err(_))) => return self.broken(run, "stream broke off"),
                Ok(None) if !self.reader.is_whole(true) => {
                    return Next::Broken("stream ended within an event");
                }
                Ok(None) if self.is_without_events() => {
                    return Next::Broken("stream without events");
                }
                Ok(None) => {
                    if let Some(connection) = self.connection.take() {
                        run.keep_connection(self.in_flight.server(), connection, &self.head, now);
                    }
                    self.end(run);
                }
                Err(_) => {
                    if let Some(why) = self.stall(run, now).await {
                        return self.broken(run, why);
                    }
                }
            }
        }
    }

    /// Whether a clean end now would leave the caller with nothing at all.
    fn is_without_events(&self) -> bool {
        self.reader.events() == 0 && !self.is_resumed && !self.reader.is_whole(false)
    }

    /// The stream is complete.
    fn end(&mut self, run: &Run) {
        self.has_ended = true;
        run.note_attempt(self.in_flight.at(), AttemptEnd::Whole);
    }

    /// The stream broke, unless what came proves the answer whole.
    fn broken(&mut self, run: &Run, why: &'static str) -> Next {
        if !self.reader.is_whole(false) {
            return Next::Broken(why);
        }
        self.end(run);
        Next::End
    }

    /// Why the stream is to go on elsewhere, if it has paused for too long.
    async fn stall(&self, run: &Run, now: Millis) -> Option<&'static str> {
        let (state, call) = (&run.state, &run.call);
        if is_silent_for_too_long(call, self.last_event, now) {
            return Some("server silent");
        }
        if call.head.route.kind != (RouteKind::Stream { resumable: true }) || !run.may_give_up(now)
        {
            return None;
        }
        let waited = now.since(self.last_event);
        if self.reader.events() == 0 {
            let is_overdue = patience(state, call).is_some_and(|patience| waited >= patience);
            if is_overdue {
                return Some("first event overdue");
            }
        } else if waited >= call.head.route.gap_objective.mul_f64(PAUSES_BORNE) {
            return Some("next event overdue");
        }
        let server = self.in_flight.server();
        let quiet_since = server.last_heard().max(self.last_event);
        is_dark(state, server, quiet_since)
            .await
            .then_some("server silent")
    }
}

/// Why a stream cannot be completed.
struct Uncompleted {
    /// What broke it, for the log.
    why: &'static str,
    /// What the caller is told, if its dialect has words for it.
    refusal: Refusal,
}

/// A stream on its way to the caller.
pub(crate) struct Relay {
    run: Run,
    source: EventSource,
    first: Option<Bytes>,
    is_settled: bool,
}

impl Relay {
    /// Relays `first`, then the rest of `source`.
    pub(crate) fn new(run: Run, source: EventSource, first: Bytes) -> Self {
        Self {
            run,
            source,
            first: Some(first),
            is_settled: false,
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
                    relay.run.end("complete", relay.source.events());
                    None
                }
                Err(uncompleted) => {
                    let frame = relay.broken_frame(&uncompleted);
                    relay.end_broken(uncompleted).await;
                    Some((frame, None))
                }
            }
        })
    }

    /// The same, for a caller that may not take nothing for longer than `stall`.
    pub(crate) fn into_pumped_frames(
        self,
        stall: Duration,
    ) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
        let (tx, mut rx) = mpsc::channel(FRAMES_AHEAD);
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
                    self.run.end("complete", self.source.events());
                    return Ok(all.into());
                }
                Err(uncompleted) => {
                    let refusal = uncompleted.refusal.clone();
                    self.end_broken(uncompleted).await;
                    return Err(refusal);
                }
            }
        }
    }

    fn broken_frame(&self, uncompleted: &Uncompleted) -> io::Result<Frame<Bytes>> {
        let run = &self.run;
        let event = run
            .state
            .dialect
            .broken_event(&uncompleted.refusal, &run.call);
        event
            .map(Frame::data)
            .ok_or_else(|| io::Error::other(uncompleted.why))
    }

    async fn end_broken(&mut self, uncompleted: Uncompleted) {
        self.run
            .settle(CallEnd::Failed { may_have_run: true })
            .await;
        self.run.end(uncompleted.why, self.source.events());
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Uncompleted> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Ok(Some(first));
        }
        loop {
            match self.source.next(&self.run).await {
                Next::Events(events) => return Ok(Some(events)),
                Next::End if self.is_settled => return Ok(None),
                Next::End => {
                    self.run.settle(CallEnd::Streamed).await;
                    self.is_settled = true;
                    let closing = self.source.closing();
                    if !closing.is_empty() {
                        return Ok(Some(closing));
                    }
                }
                Next::OutOfTime => {
                    return Err(Uncompleted {
                        why: "time limit passed",
                        refusal: Refusal::OutOfTime,
                    });
                }
                Next::Broken(why) => self.resume(why).await?,
            }
        }
    }

    /// Goes on after the last whole event at another server.
    async fn resume(&mut self, why: &'static str) -> Result<(), Uncompleted> {
        let after = self.source.last_id();
        self.run.note_broken_stream(&self.source, why).await;
        if self.run.call.head.route.kind != (RouteKind::Stream { resumable: true }) {
            let refusal = Refusal::MayHaveRun { reason: why };
            return Err(Uncompleted { why, refusal });
        }
        loop {
            let answer = match self.run.next_answer(after).await {
                Ok(answer) => answer,
                Err(refusal) => return Err(Uncompleted { why, refusal }),
            };
            if answer.parts.status.is_success() && !answer.head.is_encoded {
                // The old run ends here: its connection closes with it.
                (_, self.source) = EventSource::new(answer, true);
                return Ok(());
            }
            let server = answer.in_flight.server();
            note_outcome(
                &self.run.state,
                server,
                AttemptOutcome::Failed,
                self.run.state.now(),
            );
        }
    }
}

impl Run {
    /// Notes that a server broke a stream off.
    pub(crate) async fn note_broken_stream(&mut self, source: &EventSource, why: &'static str) {
        let in_flight = source.in_flight();
        let server = in_flight.server();
        let now = self.state.now();
        self.note_attempt(in_flight.at(), AttemptEnd::Broken);
        self.log_step(
            "stream_broken",
            &server.entry.name,
            why,
            &[("events", source.events() as f64)],
        );
        match why {
            "server silent" => note_outcome(&self.state, server, AttemptOutcome::Unreachable, now),
            "first event overdue" => note_outcome(&self.state, server, AttemptOutcome::Failed, now),
            "next event overdue" => {}
            _ => note_break(&self.state, &self.call, in_flight, now).await,
        }
    }
}
