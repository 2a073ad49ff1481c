//! The native API of an entry host: chat completions and service calls of callers, and the requests
//! to model engines and plain services.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    answer_id::AnswerId,
    routes::{Route, RouteKind, RoutingTable},
};
use clementinearch_router::{
    AttemptContext, Call, CallHead, Dialect, EventReader, ModelChoice, Refusal as RouterRefusal,
    ResponseBody, ResponseHead, Verdict,
};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Bytes,
    header::{CONNECTION, CONTENT_ENCODING, CONTENT_TYPE, HOST, HeaderName, HeaderValue},
    http::{request, response},
};

use crate::{
    clock,
    refusal::{Refusal, json_response},
    requests::callers::App,
    requests::chat::ChatCall,
    requests::chat_events::{ChunkReader, assemble_response},
    requests::request_head::{RequestHead, next_position, read_target, route},
    requests::services::ServiceCall,
    telemetry::Span,
};

/// Retry delay while this host has no configuration.
const NOT_READY_RETRY: Duration = Duration::from_secs(2);

/// Retry delay when no server could take the request.
const NO_SERVER_RETRY: Duration = Duration::from_secs(2);

/// Translates between callers and backend servers, as the data path asks for it.
pub(crate) struct NativeDialect {
    app: Arc<App>,
    /// Route of a request until its body has been read, which determines the actual route.
    placeholder_route: Arc<Route>,
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    // Ids and names were validated on input; a value that is not a legal header value is omitted.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

impl NativeDialect {
    /// Creates the dialect of the host with state `app`.
    pub(crate) fn new(app: Arc<App>) -> Self {
        let placeholder_route = route("unread", RouteKind::NonIdempotent, 1, Duration::ZERO);
        Self {
            app,
            placeholder_route,
        }
    }

    /// Authenticates a request and starts its span.
    fn read_head(&self, head: &request::Parts) -> Result<RequestHead, Refusal> {
        if self.app.state.config_in_force().is_none() {
            let message = "this host has no configuration yet";
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message);
            return Err(refusal.with_retry_after(NOT_READY_RETRY));
        }
        let caller = self.app.authenticate(&head.headers)?;
        let span = Span::start_server("request", &head.headers);
        span.set("http.route", head.uri.path().to_owned());
        Ok(RequestHead {
            caller,
            target: read_target(head)?,
            headers: head.headers.clone(),
            received_at: clock::now(),
            span,
        })
    }

    /// Maps a refusal of the data path to status, code and message of this API.
    fn translate(&self, refusal: &RouterRefusal, head: Option<&CallHead>) -> Refusal {
        let is_chat = head.is_some_and(|head| head.dialect_data::<ChatCall>().is_some());
        let not_run = |status, code, message: String| Refusal::not_run(status, code, message);
        let text = refusal.to_string();
        let (timeout, unavailable) = (StatusCode::GATEWAY_TIMEOUT, StatusCode::SERVICE_UNAVAILABLE);
        let deadline_message = "the deadline passed before the response was complete".to_owned();
        match refusal {
            RouterRefusal::Custom(custom) => Refusal::from(custom.clone()),
            RouterRefusal::NotReady => {
                not_run(unavailable, "not_ready", text).with_retry_after(NOT_READY_RETRY)
            }
            RouterRefusal::NoRoute => not_run(StatusCode::NOT_FOUND, "no_such_path", text),
            RouterRefusal::UnknownKey => not_run(StatusCode::UNAUTHORIZED, "unauthorized", text),
            RouterRefusal::BadRequest { reason } => Refusal::bad_request("broken_body", *reason),
            RouterRefusal::BodyTooLarge => {
                let largest = self.app.state.settings.max_body_bytes;
                let message = format!("the request body is larger than {largest} bytes");
                not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
            }
            RouterRefusal::SlowBody => {
                let message = "the request body was not received in time".to_owned();
                not_run(StatusCode::REQUEST_TIMEOUT, "slow_body", message)
            }
            RouterRefusal::NotRun { .. } => {
                not_run(unavailable, "no_server", text).with_retry_after(NO_SERVER_RETRY)
            }
            RouterRefusal::DeadlineBeforeRun { .. } => {
                not_run(timeout, "deadline_exceeded", deadline_message)
            }
            RouterRefusal::MayHaveRun { .. } if is_chat => {
                Refusal::may_have_run(unavailable, "no_server", text)
                    .with_retry_after(NO_SERVER_RETRY)
            }
            RouterRefusal::MayHaveRun { .. } => {
                Refusal::may_have_run(StatusCode::BAD_GATEWAY, "no_answer", text)
            }
            RouterRefusal::DeadlinePassed => {
                Refusal::may_have_run(timeout, "deadline_exceeded", deadline_message)
            }
        }
    }
}

impl Dialect for NativeDialect {
    fn request_id<'a>(&self, head: &'a request::Parts) -> Option<&'a str> {
        let id = head.headers.get("x-request-id");
        let id = id.or_else(|| head.headers.get("idempotency-key"));
        id.and_then(|value| value.to_str().ok())
    }

    fn read_call(
        &self,
        head: &request::Parts,
        _table: &RoutingTable,
    ) -> Result<CallHead, RouterRefusal> {
        let request_head = self.read_head(head).map_err(RouterRefusal::from)?;
        Ok(CallHead {
            id: "".into(),
            route: self.placeholder_route.clone(),
            account: None,
            session: None,
            caller_timeout: None,
            prompt: None,
            model: ModelChoice::Caller,
            resume_after: None,
            server_idle_timeout: None,
            buffers_stream: false,
            headers: HeaderMap::new(),
            dialect_data: Some(Arc::new(request_head)),
        })
    }

    fn attempt_headers(&self, attempt: &AttemptContext<'_>) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&attempt.address.to_string()) {
            headers.insert(HOST, host);
        }
        let head = &attempt.call.head;
        let own_headers = match (
            head.dialect_data::<ChatCall>(),
            head.dialect_data::<ServiceCall>(),
        ) {
            (Some(chat), _) => chat.attempt_headers(attempt),
            (_, Some(call)) => call.attempt_headers(attempt),
            _ => Vec::new(),
        };
        for (name, value) in own_headers {
            insert(&mut headers, name, &value);
        }
        headers
    }

    fn has_response_ids(&self) -> bool {
        false
    }

    fn read_response(&self, head: &response::Parts, call: &Call) -> ResponseHead {
        let is_chat = call.head.dialect_data::<ChatCall>().is_some();
        let verdict = if is_chat {
            read_engine_status(head.status)
        } else {
            Verdict::Answered
        };
        let connection = head.headers.get(CONNECTION);
        ResponseHead {
            id: AnswerId::Absent,
            verdict,
            is_signed: true,
            // Bodies of service calls are passed on without being read.
            is_encoded: is_chat && head.headers.contains_key(CONTENT_ENCODING),
            is_closing: connection.is_some_and(|value| value == "close"),
            ..ResponseHead::default()
        }
    }

    fn response_headers(&self, _headers: HeaderMap, call: &Call) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(chat) = call.head.dialect_data::<ChatCall>() {
            insert(&mut headers, "content-type", "text/event-stream");
            insert_caller_headers(&mut headers, &chat);
        } else {
            insert(&mut headers, "content-type", "application/json");
            insert(&mut headers, "x-request-id", &call.head.id);
        }
        headers
    }

    fn refusal_response(
        &self,
        refusal: &RouterRefusal,
        head: Option<&CallHead>,
    ) -> Response<ResponseBody> {
        let mut response = self.translate(refusal, head).response();
        if let Some(chat) = head.and_then(CallHead::dialect_data::<ChatCall>) {
            insert_caller_headers(response.headers_mut(), &chat);
        }
        response
    }

    fn event_reader(&self, attempt: &AttemptContext<'_>) -> Option<Box<dyn EventReader>> {
        let chat = attempt.call.head.dialect_data::<ChatCall>()?;
        let attempt_id = chat.attempt_id(attempt.number);
        let position = next_position(attempt);
        Some(Box::new(ChunkReader::new(chat, attempt_id, position)))
    }

    fn error_event(&self, refusal: &RouterRefusal, call: &Call) -> Option<Bytes> {
        // The stream ends without the end marker, by which the caller sees that it is incomplete.
        let body = self.translate(refusal, Some(&call.head)).body();
        let json = serde_json::to_string(&body).unwrap_or_default();
        Some(Bytes::from(format!("event: error\ndata: {json}\n\n")))
    }

    fn buffered_response(&self, events: Bytes, call: &Call) -> Response<ResponseBody> {
        let Some(chat) = call.head.dialect_data::<ChatCall>() else {
            return json_response(StatusCode::OK, events);
        };
        let answer = assemble_response(&chat, events);
        let json = serde_json::to_string(&answer).unwrap_or_default();
        let mut response = json_response(StatusCode::OK, json);
        insert_caller_headers(response.headers_mut(), &chat);
        response
    }

    fn promises_not_run(&self, status: StatusCode) -> bool {
        status == StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Maps an engine's status to what it says about the request.
fn read_engine_status(status: StatusCode) -> Verdict {
    match status {
        StatusCode::OK => Verdict::Answered,
        StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Verdict::NotRun
        }
        status if status.is_client_error() => {
            let message = format!("the model engine responded with {status}");
            Verdict::Rejected(Refusal::not_run(status, "rejected_by_engine", message).into())
        }
        _ => Verdict::Failed,
    }
}

/// Adds the headers that identify the request, the model version and the session to a response.
fn insert_caller_headers(headers: &mut HeaderMap, chat: &ChatCall) {
    insert(headers, "x-request-id", &chat.request_id.simple());
    insert(headers, "x-model-version", &chat.label);
    if let Some(token) = &chat.session_token {
        insert(headers, "x-session-token", token);
    }
    if let Some(label) = &chat.cascade {
        insert(headers, "x-cascade", label);
    }
}
