//! The path of one request: attempts on backend servers until an answer is whole or cannot be.

use std::sync::Arc;

use clementinearch_policy::server_health::Sign;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::{Response, StatusCode, body::Bytes, http::response};

use crate::{
    active_request::ActiveRequest,
    attempt::{AttemptResponse, record_break, record_server_outcome},
    board::Board,
    call::Call,
    hooks::{AttemptOutcome, CallOutcome},
    refusal::Refusal,
    relay::{EventSource, Relay, StreamStep},
    response_body::{ResponseBody, full_body},
};

/// Largest answer of a plain service that is held until it is whole, bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// An answer that came to its end.
struct CompleteResponse {
    parts: response::Parts,
    body: Bytes,
}

/// Serves a request.
pub(crate) async fn serve(board: Arc<Board>, call: Call) -> Response<ResponseBody> {
    let dialect = board.dialect.clone();
    let mut run = ActiveRequest::new(board, call);
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
    answer.unwrap_or_else(|refusal| dialect.refusal_response(&refusal, Some(&call.head)))
}

impl ActiveRequest {
    /// A call whose answer is held until it is whole.
    async fn serve_plain(&mut self) -> Result<Response<ResponseBody>, Refusal> {
        let mut failure = None;
        loop {
            let answer = match self.next_response(self.call.head.resume_after).await {
                Ok(answer) => answer,
                Err(refusal) => return self.forward_failure(failure, refusal).await,
            };
            let sent_at = answer.sent_at;
            let server = answer.in_flight.server().clone();
            let Some(whole) = self.read_complete(answer).await else {
                if self.call.head.route.kind.may_repeat() {
                    continue;
                }
                let reason = "answer broke off";
                return Err(self.finish_refused(Refusal::MayHaveRun { reason }).await);
            };
            let now = self.board.now();
            let status = whole.parts.status;
            let is_bad = status.is_server_error();
            self.record_response(&server, is_bad, sent_at, now);
            let sign = if is_bad { Sign::Failed } else { Sign::Good };
            record_server_outcome(&self.board, &server, sign, now);
            if self.board.dialect.promises_not_run(status) {
                // The server did not prove it, so the caller must not be promised it.
                self.log_step("answer_unproved", &server.entry.name, status.as_str(), &[]);
                if !self.call.head.route.kind.may_repeat() {
                    let reason = "server refused without proof that nothing ran";
                    return Err(self.finish_refused(Refusal::MayHaveRun { reason }).await);
                }
                continue;
            }
            if is_bad {
                self.log_step("server_failed", &server.entry.name, status.as_str(), &[]);
            }
            if is_bad && self.call.head.route.kind.may_repeat() {
                failure = Some(whole);
                continue;
            }
            return Ok(self.forward(whole).await);
        }
    }

    /// The last failure of a server, which the caller gets if there is nothing better.
    async fn forward_failure(
        &mut self,
        failure: Option<CompleteResponse>,
        refusal: Refusal,
    ) -> Result<Response<ResponseBody>, Refusal> {
        match failure {
            Some(failure) => {
                let answer = self.forward(failure).await;
                self.end("failure of the server passed on", 0);
                Ok(answer)
            }
            None => Err(self.finish_refused(refusal).await),
        }
    }

    /// The answer for the caller, once what must be kept of the request is kept.
    async fn forward(&self, whole: CompleteResponse) -> Response<ResponseBody> {
        self.record_outcome(CallOutcome::Answered {
            status: whole.parts.status,
            body: &whole.body,
        })
        .await;
        let mut answer = Response::new(full_body(whole.body));
        *answer.status_mut() = whole.parts.status;
        let headers = whole.parts.headers;
        *answer.headers_mut() = self.board.dialect.response_headers(headers, &self.call);
        answer
    }

    /// Reads an answer to its end; none if it broke off or is not the server's own.
    async fn read_complete(&mut self, answer: AttemptResponse) -> Option<CompleteResponse> {
        let server = answer.in_flight.server().clone();
        let parts = answer.parts;
        let body = Limited::new(answer.body, MAX_RESPONSE_BYTES);
        let remaining = self.call.remaining(self.board.now());
        let read = tokio::time::timeout(remaining, body.collect()).await;
        let now = self.board.now();
        let is_own = !parts.status.is_success() || answer.head.is_signed;
        match read {
            Ok(Ok(body)) if is_own && !answer.head.is_encoded => {
                server.record_contact(now);
                self.record_attempt(answer.in_flight.attempt_target(), AttemptOutcome::Whole);
                self.keep_connection(&server, answer.connection, &answer.head, now);
                Some(CompleteResponse {
                    parts,
                    body: body.to_bytes(),
                })
            }
            Ok(Ok(_)) => {
                self.log_step("answer_spoiled", &server.entry.name, "not its own", &[]);
                record_server_outcome(&self.board, &server, Sign::Failed, now);
                None
            }
            Ok(Err(_)) => {
                self.log_step("answer_broken", &server.entry.name, "broke off", &[]);
                self.record_attempt(answer.in_flight.attempt_target(), AttemptOutcome::Broken);
                record_break(&self.board, &self.call, &answer.in_flight, now).await;
                None
            }
            Err(_) => None,
        }
    }

    /// A request whose answer is a stream of events.
    async fn serve_stream(mut self: ActiveRequest) -> Result<Response<ResponseBody>, Refusal> {
        let mut failure = None;
        let resume_after = self.call.head.resume_after;
        loop {
            let answer = match self.next_response(resume_after).await {
                Ok(answer) => answer,
                Err(refusal) => return self.forward_failure(failure, refusal).await,
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
                record_server_outcome(&self.board, server, Sign::Failed, self.board.now());
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
                StreamStep::Events(first) => {
                    let now = self.board.now();
                    self.first_event_at = Some(now);
                    let server = source.in_flight().server().clone();
                    self.record_response(&server, false, sent_at, now);
                    self.board.note_reading(
                        &self.call.service,
                        self.call.head.route.sizes.len(),
                        self.size,
                        source.in_flight().uncached_tokens(),
                        now.since(sent_at),
                    );
                    record_server_outcome(&self.board, &server, Sign::Good, now);
                    return self.relay(parts, source, first).await;
                }
                StreamStep::End => return self.relay(parts, source, Bytes::new()).await,
                StreamStep::Broken(why) => self.record_broken_stream(&source, why).await,
                StreamStep::DeadlinePassed => {
                    let refusal = Refusal::DeadlinePassed;
                    return self.forward_failure(failure, refusal).await;
                }
            }
        }
    }

    async fn relay(
        self,
        parts: response::Parts,
        source: EventSource,
        first: Bytes,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (board, call) = (self.board.clone(), self.call.clone());
        let headers = board.dialect.response_headers(parts.headers, &call);
        let relay = Relay::new(self, source, first);
        if call.head.buffers_stream {
            let events = relay.collect().await?;
            return Ok(board.dialect.buffered_response(events, &call));
        }
        let stall = board.table().and_then(|table| table.limits.stall_timeout);
        let body = match stall {
            Some(stall) => ResponseBody::new(StreamBody::new(relay.into_buffered_frames(stall))),
            None => ResponseBody::new(StreamBody::new(relay.into_frames())),
        };
        let mut answer = Response::new(body);
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = headers;
        Ok(answer)
    }

    /// A server's failure on a stream's route.
    async fn read_failure(
        &mut self,
        answer: AttemptResponse,
        status: StatusCode,
    ) -> Option<CompleteResponse> {
        let server = answer.in_flight.server().clone();
        let sent_at = answer.sent_at;
        let whole = self.read_complete(answer).await?;
        let now = self.board.now();
        self.record_response(&server, true, sent_at, now);
        record_server_outcome(&self.board, &server, Sign::Failed, now);
        self.log_step("server_failed", &server.entry.name, status.as_str(), &[]);
        (!self.board.dialect.promises_not_run(status)).then_some(whole)
    }
}
