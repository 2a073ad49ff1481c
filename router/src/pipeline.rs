//! The path of one request: attempts on backend servers until an answer is whole or cannot be.

use std::sync::Arc;

use clementinearch_policy::server_health::AttemptOutcome;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::{Response, StatusCode, body::Bytes, http::response};

use crate::{
    answer_body::{AnswerBody, full_body},
    attempt::{Answer, note_break, note_outcome},
    call::Call,
    control::{AttemptEnd, CallEnd},
    host_state::HostState,
    refusal::Refusal,
    relay::{EventSource, Next, Relay},
    run::Run,
};

/// Largest answer of a plain service that is held until it is whole, bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// An answer that came to its end.
struct WholeAnswer {
    parts: response::Parts,
    body: Bytes,
}

/// Serves a request.
pub(crate) async fn serve(state: Arc<HostState>, call: Call) -> Response<AnswerBody> {
    let dialect = state.dialect.clone();
    let mut run = Run::new(state, call);
    let call = run.call.clone();
    let answer = match run.admit().await {
        Err(refusal) => Err(refusal),
        Ok(()) if call.head.route.kind.is_stream() => run.serve_stream().await,
        Ok(()) => {
            let answer = run.serve_plain().await;
            if answer.is_ok() {
                run.end("complete", 0);
            }
            answer
        }
    };
    answer.unwrap_or_else(|refusal| dialect.refuse(&refusal, Some(&call.head)))
}

impl Run {
    /// A call whose answer is held until it is whole.
    async fn serve_plain(&mut self) -> Result<Response<AnswerBody>, Refusal> {
        let mut failure = None;
        loop {
            let answer = match self.next_answer(self.call.head.resume_after).await {
                Ok(answer) => answer,
                Err(refusal) => return self.pass_on_failure(failure, refusal).await,
            };
            let sent_at = answer.sent_at;
            let server = answer.in_flight.server().clone();
            let Some(whole) = self.read_whole(answer).await else {
                if self.call.head.route.kind.may_retry() {
                    continue;
                }
                let reason = "answer broke off";
                return Err(self.refused(Refusal::MayHaveRun { reason }).await);
            };
            let now = self.state.now();
            let status = whole.parts.status;
            let is_bad = status.is_server_error();
            self.judge(&server, is_bad, sent_at, now);
            let sign = if is_bad {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Good
            };
            note_outcome(&self.state, &server, sign, now);
            if self.state.dialect.promises_not_run(status) {
                // The server did not prove it, so the caller must not be promised it.
                self.log_step("answer_unproved", &server.entry.name, status.as_str(), &[]);
                if !self.call.head.route.kind.may_retry() {
                    let reason = "server refused without proof that nothing ran";
                    return Err(self.refused(Refusal::MayHaveRun { reason }).await);
                }
                continue;
            }
            if is_bad {
                self.log_step("server_failed", &server.entry.name, status.as_str(), &[]);
            }
            if is_bad && self.call.head.route.kind.may_retry() {
                failure = Some(whole);
                continue;
            }
            return Ok(self.pass_on(whole).await);
        }
    }

    /// The last failure of a server, which the caller gets if there is nothing better.
    async fn pass_on_failure(
        &mut self,
        failure: Option<WholeAnswer>,
        refusal: Refusal,
    ) -> Result<Response<AnswerBody>, Refusal> {
        match failure {
            Some(failure) => {
                let answer = self.pass_on(failure).await;
                self.end("failure of the server passed on", 0);
                Ok(answer)
            }
            None => Err(self.refused(refusal).await),
        }
    }

    /// The answer for the caller, once what must be kept of the request is kept.
    async fn pass_on(&self, whole: WholeAnswer) -> Response<AnswerBody> {
        self.settle(CallEnd::Answered {
            status: whole.parts.status,
            body: &whole.body,
        })
        .await;
        let mut answer = Response::new(full_body(whole.body));
        *answer.status_mut() = whole.parts.status;
        let headers = whole.parts.headers;
        *answer.headers_mut() = self.state.dialect.answer_headers(headers, &self.call);
        answer
    }

    /// Reads an answer to its end; none if it broke off or is not the server's own.
    async fn read_whole(&mut self, answer: Answer) -> Option<WholeAnswer> {
        let server = answer.in_flight.server().clone();
        let parts = answer.parts;
        let body = Limited::new(answer.body, MAX_ANSWER_BYTES);
        let remaining = self.call.remaining(self.state.now());
        let read = tokio::time::timeout(remaining, body.collect()).await;
        let now = self.state.now();
        let is_own = !parts.status.is_success() || answer.head.is_signed;
        match read {
            Ok(Ok(body)) if is_own && !answer.head.is_encoded => {
                server.note_heard(now);
                self.note_attempt(answer.in_flight.at(), AttemptEnd::Whole);
                self.keep_connection(&server, answer.connection, &answer.head, now);
                Some(WholeAnswer {
                    parts,
                    body: body.to_bytes(),
                })
            }
            Ok(Ok(_)) => {
                self.log_step("answer_spoiled", &server.entry.name, "not its own", &[]);
                note_outcome(&self.state, &server, AttemptOutcome::Failed, now);
                None
            }
            Ok(Err(_)) => {
                self.log_step("answer_broken", &server.entry.name, "broke off", &[]);
                self.note_attempt(answer.in_flight.at(), AttemptEnd::Broken);
                note_break(&self.state, &self.call, &answer.in_flight, now).await;
                None
            }
            Err(_) => None,
        }
    }

    /// A request whose answer is a stream of events.
    async fn serve_stream(mut self: Run) -> Result<Response<AnswerBody>, Refusal> {
        let mut failure = None;
        let resume_after = self.call.head.resume_after;
        loop {
            let answer = match self.next_answer(resume_after).await {
                Ok(answer) => answer,
                Err(refusal) => return self.pass_on_failure(failure, refusal).await,
            };
            let status = answer.parts.status;
            if !status.is_success() {
                if let Some(read) = self.read_failure(answer, status).await {
                    failure = Some(read);
                }
                continue;
            }
            if answer.head.is_encoded || !answer.head.is_signed {
                let server = answer.in_flight.server();
                note_outcome(
                    &self.state,
                    server,
                    AttemptOutcome::Failed,
                    self.state.now(),
                );
                continue;
            }
            if let Some(size) = self.larger_size(&answer) {
                self.size = size;
                self.tried.clear();
                continue;
            }
            let sent_at = answer.sent_at;
            let (parts, mut source) = EventSource::new(answer, resume_after.is_some());
            match source.next(&self).await {
                Next::Events(first) => {
                    let now = self.state.now();
                    self.first_event = Some(now);
                    let server = source.in_flight().server().clone();
                    self.judge(&server, false, sent_at, now);
                    self.state.record_prefill(
                        &self.call.service,
                        self.call.head.route.sizes.len(),
                        self.size,
                        source.in_flight().unread_tokens(),
                        now.since(sent_at),
                    );
                    note_outcome(&self.state, &server, AttemptOutcome::Good, now);
                    return self.relay(parts, source, first).await;
                }
                Next::End => return self.relay(parts, source, Bytes::new()).await,
                Next::Broken(why) => self.note_broken_stream(&source, why).await,
                Next::OutOfTime => {
                    let refusal = Refusal::OutOfTime;
                    return self.pass_on_failure(failure, refusal).await;
                }
            }
        }
    }

    async fn relay(
        self,
        parts: response::Parts,
        source: EventSource,
        first: Bytes,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let (state, call) = (self.state.clone(), self.call.clone());
        let headers = state.dialect.answer_headers(parts.headers, &call);
        let relay = Relay::new(self, source, first);
        if call.head.takes_whole {
            let events = relay.collect().await?;
            return Ok(state.dialect.whole_answer(events, &call));
        }
        let stall = state.table().and_then(|table| table.limits.stall_timeout);
        let body = match stall {
            Some(stall) => AnswerBody::new(StreamBody::new(relay.into_pumped_frames(stall))),
            None => AnswerBody::new(StreamBody::new(relay.into_frames())),
        };
        let mut answer = Response::new(body);
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = headers;
        Ok(answer)
    }

    /// A server's failure on a stream's route.
    async fn read_failure(&mut self, answer: Answer, status: StatusCode) -> Option<WholeAnswer> {
        let server = answer.in_flight.server().clone();
        let sent_at = answer.sent_at;
        let whole = self.read_whole(answer).await?;
        let now = self.state.now();
        self.judge(&server, true, sent_at, now);
        note_outcome(&self.state, &server, AttemptOutcome::Failed, now);
        self.log_step("server_failed", &server.entry.name, status.as_str(), &[]);
        (!self.state.dialect.promises_not_run(status)).then_some(whole)
    }
}
