//! Serving of a request: attempts on backend servers until one response is complete or no further
//! attempt is possible.

use std::sync::Arc;

use clementinearch_policy::{memory_shares::BodyOwner, server_health::AttemptOutcome};
use http_body_util::StreamBody;
use hyper::{
    Response, StatusCode,
    body::{Bytes, Incoming},
    http::response,
};

use crate::{
    active_request::{ActiveRequest, Reply},
    attempt::{AttemptResponse, is_framed, record_break, record_failure},
    body_buffer::{BodyError, BodyLimit, read_held_body},
    call::Call,
    event_source::EventSource,
    forwarding::PeerResponse,
    health_tracking::record_server_outcome,
    hooks::{AttemptEnd, CallEnd},
    host_state::HostState,
    peer_source::PeerSource,
    refusal::Refusal,
    relay::Relay,
    response_body::{ResponseBody, full_body},
    stream_begin::Begin,
    stream_head::is_usable_stream_head,
    stream_source::Source,
};

/// Maximum size of a response that is buffered until it is complete, bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Maximum size of a response that reports a failure, bytes. It holds a message at most.
const MAX_FAILURE_BYTES: usize = 256 << 10;

/// A response that was received to its end.
struct CompleteResponse {
    parts: response::Parts,
    body: Bytes,
}

/// Serves a request from admission to its response.
pub(crate) async fn serve(state: Arc<HostState>, call: Call) -> Response<ResponseBody> {
    let dialect = state.dialect.clone();
    let mut request = ActiveRequest::new(state, call);
    let call = request.call.clone();
    let response = match request.admit().await {
        Err(refusal) => Err(refusal),
        Ok(()) if call.head.route.kind.is_stream() => request.serve_stream().await,
        Ok(()) => {
            let response = request.serve_plain().await;
            if response.is_ok() {
                request.end("complete", 0);
            }
            response
        }
    };
    response.unwrap_or_else(|refusal| dialect.refusal_response(&refusal, Some(&call.head)))
}

impl ActiveRequest {
    /// Serves a call whose response is buffered until it is complete.
    async fn serve_plain(&mut self) -> Result<Response<ResponseBody>, Refusal> {
        let mut failure = None;
        loop {
            let response = match self.next_response(self.call.head.resume_after).await {
                Ok(Reply::Server(response)) => *response,
                Ok(Reply::Peer(response)) => match self.read_peer_response(response).await {
                    Some(response) => return Ok(response),
                    None if self.call.head.route.kind.may_retry() => continue,
                    None => {
                        let reason = "answer broke off";
                        return Err(self.finish_refused(Refusal::MayHaveRun { reason }).await);
                    }
                },
                Err(refusal) => return self.forward_failure(failure, refusal).await,
            };
            let sent_at = response.sent_at;
            let server = response.in_flight.server().clone();
            let Some(complete) = self.read_complete(response).await else {
                if self.call.head.route.kind.may_retry() {
                    continue;
                }
                let reason = "answer broke off";
                return Err(self.finish_refused(Refusal::MayHaveRun { reason }).await);
            };
            let now = self.state.now();
            let status = complete.parts.status;
            let is_failure = status.is_server_error();
            self.record_response(&server, is_failure, sent_at, now);
            let outcome = if is_failure {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Good
            };
            record_server_outcome(&self.state, &server, outcome, now);
            if self.state.dialect.promises_not_run(status) {
                // To the caller this status would mean that the request did not run, which the
                // server has not proved.
                self.log_step("answer_unproved", &server.entry.name, status.as_str(), &[]);
                if !self.call.head.route.kind.may_retry() {
                    let reason = "server refused without proof that nothing ran";
                    return Err(self.finish_refused(Refusal::MayHaveRun { reason }).await);
                }
                continue;
            }
            if is_failure {
                self.log_step("server_failed", &server.entry.name, status.as_str(), &[]);
            }
            if is_failure && self.call.head.route.kind.may_retry() {
                failure = Some(complete);
                continue;
            }
            return Ok(self.forward(complete).await);
        }
    }

    /// Reads the response of a peer to its end, for the caller to get as it is. Returns `None` if it
    /// breaks off, is too large or is incomplete at the deadline.
    async fn read_peer_response(
        &mut self,
        response: PeerResponse,
    ) -> Option<Response<ResponseBody>> {
        let parts = response.parts;
        let peer = response.peer.to_string();
        let body = match self.read_body(&parts, response.body, &peer).await {
            Ok(body) => body,
            Err(e) => {
                let why = e.map_or("time limit passed", BodyError::reason);
                self.log_step("answer_broken", &peer, why, &[]);
                return None;
            }
        };
        let is_success = parts.status.is_success();
        let forwarded = self.forward(CompleteResponse { parts, body }).await;
        let why = if is_success {
            "complete"
        } else {
            "failure of the peer passed on"
        };
        self.end(why, 0);
        Some(forwarded)
    }

    /// Ends the request with the last failure response of a server, or with `refusal` if there is
    /// none.
    async fn forward_failure(
        &mut self,
        failure: Option<CompleteResponse>,
        refusal: Refusal,
    ) -> Result<Response<ResponseBody>, Refusal> {
        match failure {
            Some(failure) => {
                let response = self.forward(failure).await;
                self.end("failure of the server passed on", 0);
                Ok(response)
            }
            None => Err(self.finish_refused(refusal).await),
        }
    }

    /// Records the outcome of the request, then builds the response to the caller.
    async fn forward(&self, complete: CompleteResponse) -> Response<ResponseBody> {
        self.record_outcome(CallEnd::Answered {
            status: complete.parts.status,
            body: &complete.body,
        })
        .await;
        let mut response = Response::new(full_body(complete.body));
        *response.status_mut() = complete.parts.status;
        let headers = complete.parts.headers;
        *response.headers_mut() = self.state.dialect.response_headers(headers, &self.call);
        response
    }

    /// Reads the body of a response from the server or peer `server` within the limits of its size.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete body, or nothing if it is incomplete at the deadline.
    async fn read_body(
        &self,
        parts: &response::Parts,
        body: Incoming,
        server: &str,
    ) -> Result<Bytes, Option<BodyError>> {
        let max_bytes = if parts.status.is_success() {
            MAX_RESPONSE_BYTES
        } else {
            MAX_FAILURE_BYTES
        };
        let owner = BodyOwner::Server {
            service: self.call.service.clone(),
            server: server.into(),
        };
        let limit = BodyLimit::of_response(max_bytes);
        let read = read_held_body(body, limit, &self.state.body_memory, owner);
        let remaining = self.call.remaining(self.state.now());
        match tokio::time::timeout(remaining, read).await {
            Ok(read) => read.map_err(Some),
            Err(_) => Err(None),
        }
    }

    /// Reads a response to its end. Returns `None` if it breaks off, is too large, is not the
    /// server's own or is incomplete at the deadline.
    async fn read_complete(&mut self, mut response: AttemptResponse) -> Option<CompleteResponse> {
        let server = response.in_flight.server().clone();
        let now = self.state.now();
        let parts = response.parts;
        let is_own = !parts.status.is_success() || response.head.is_signed;
        if !is_own || response.head.is_encoded {
            self.log_step("answer_spoiled", &server.entry.name, "not its own", &[]);
            record_server_outcome(&self.state, &server, AttemptOutcome::Failed, now);
            return None;
        }
        let read = self
            .read_body(&parts, response.body, &server.entry.name)
            .await;
        let now = self.state.now();
        match read {
            Ok(body) => {
                server.record_contact(now);
                self.record_attempt(response.in_flight.attempt_target(), AttemptEnd::Whole);
                // The end of a connection alone does not show that the server has survived.
                if is_framed(&parts) {
                    response.in_flight.finish();
                    if parts.status.is_success() {
                        self.record_success(now);
                    }
                }
                self.keep_connection(&server, response.connection, &response.head, now);
                Some(CompleteResponse { parts, body })
            }
            Err(Some(e)) => {
                let held = self.state.body_memory.held() as f64;
                let inputs = [("held_bytes", held)];
                self.log_step("answer_broken", &server.entry.name, e.reason(), &inputs);
                metrics::counter!("clementinearch_answers_broken_total", "service" => self.call.service.to_string(), "why" => e.reason()).increment(1);
                self.record_attempt(response.in_flight.attempt_target(), AttemptEnd::Broken);
                match e {
                    BodyError::BrokeOff => {
                        record_break(&self.state, &self.call, &response.in_flight, now).await;
                    }
                    BodyError::TooLarge => record_failure(&self.state, &self.call, &server, now),
                    BodyError::NoMemory => {}
                }
                None
            }
            Err(None) => None,
        }
    }

    /// Serves a request whose response is a stream of events.
    async fn serve_stream(mut self: ActiveRequest) -> Result<Response<ResponseBody>, Refusal> {
        let mut failure = None;
        let resume_after = self.call.head.resume_after;
        let mut taken = None;
        loop {
            let reply = match taken.take() {
                Some(reply) => Ok(reply),
                None => self.next_response(resume_after).await,
            };
            let response = match reply {
                Ok(Reply::Server(response)) => *response,
                Ok(Reply::Peer(response)) if self.is_usable_peer_head(&response) => {
                    let parts = response.parts.clone();
                    let source = PeerSource::new(response, &self, resume_after);
                    let source = Source::Peer(Box::new(source));
                    match self.begin_stream(source, resume_after).await {
                        Begin::Stream(source, first) => {
                            return self.relay(parts, source, first).await;
                        }
                        Begin::Taken(reply) => taken = Some(reply),
                        Begin::Failed(refusal) => {
                            return self.forward_failure(failure, refusal).await;
                        }
                        Begin::Broken => {}
                    }
                    continue;
                }
                Ok(Reply::Peer(response)) if response.parts.status.is_success() => {
                    self.reject_peer_head(&response);
                    continue;
                }
                Ok(Reply::Peer(response)) => match self.read_peer_response(response).await {
                    Some(response) => return Ok(response),
                    None => continue,
                },
                Err(refusal) => return self.forward_failure(failure, refusal).await,
            };
            let status = response.parts.status;
            if !status.is_success() {
                if let Some(read) = self.read_failure(response, status).await {
                    failure = Some(read);
                }
                continue;
            }
            if !is_usable_stream_head(&response) {
                self.reject_stream_head(&response);
                continue;
            }
            if let Some(size) = self.larger_size(&response) {
                self.size = size;
                self.tried.clear();
                continue;
            }
            let (parts, source) =
                EventSource::new(response, &self.state.body_memory, resume_after.is_some());
            let source = Source::Server(Box::new(source));
            match self.begin_stream(source, resume_after).await {
                Begin::Stream(source, first) => return self.relay(parts, source, first).await,
                Begin::Taken(reply) => taken = Some(reply),
                Begin::Failed(refusal) => return self.forward_failure(failure, refusal).await,
                Begin::Broken => {}
            }
        }
    }

    /// Starts to forward a stream, or collects it for a caller that wants a single response.
    async fn relay(
        self,
        parts: response::Parts,
        source: Source,
        first: Bytes,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (state, call) = (self.state.clone(), self.call.clone());
        let headers = state.dialect.response_headers(parts.headers, &call);
        let relay = Relay::new(self, source, first);
        if call.head.buffers_stream {
            let events = relay.collect().await?;
            return Ok(state.dialect.buffered_response(events, &call));
        }
        let stall_timeout = state.table().and_then(|table| table.limits.stall_timeout);
        let body = match stall_timeout {
            Some(limit) => ResponseBody::new(StreamBody::new(relay.into_buffered_frames(limit))),
            None => ResponseBody::new(StreamBody::new(relay.into_frames())),
        };
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = headers;
        Ok(response)
    }

    /// Reads an unsuccessful response on a stream route. Returns it if it may be forwarded.
    async fn read_failure(
        &mut self,
        response: AttemptResponse,
        status: StatusCode,
    ) -> Option<CompleteResponse> {
        let server = response.in_flight.server().clone();
        let sent_at = response.sent_at;
        let complete = self.read_complete(response).await?;
        let now = self.state.now();
        self.record_response(&server, true, sent_at, now);
        record_server_outcome(&self.state, &server, AttemptOutcome::Failed, now);
        self.log_step("server_failed", &server.entry.name, status.as_str(), &[]);
        (!self.state.dialect.promises_not_run(status)).then_some(complete)
    }
}
