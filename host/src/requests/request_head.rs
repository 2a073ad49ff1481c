//! Request heads: the target that method and path name, and the route for its attempts.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    names::{Name, digest_hex},
    routes::{Route, RouteKind},
    time::Millis,
};
use clementinearch_router::AttemptContext;
use hyper::{HeaderMap, Method, StatusCode, http::request};

use crate::{refusal::Refusal, requests::callers::Caller, telemetry::Span};

/// Timeout of every route. A request normally ends sooner, by its own deadline.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// Target of a request.
pub(crate) enum Target {
    /// A chat completion.
    Chat,
    /// The list of models that the caller's plan allows.
    Models,
    /// A call to a plain service.
    Service(ServiceTarget),
}

/// Head of an authenticated request, read before its body.
pub(crate) struct RequestHead {
    pub(crate) caller: Caller,
    pub(crate) target: Target,
    pub(crate) headers: HeaderMap,
    /// Wall-clock time at which the head was read, for comparison with the deadline.
    pub(crate) received_at: Millis,
    pub(crate) span: Span,
}

/// Plain service that a request calls.
pub(crate) struct ServiceTarget {
    method: Method,
    pub(crate) service: Name,
    /// Path and query as sent to the service.
    pub(crate) path: String,
}

impl ServiceTarget {
    /// Parses `SERVICE/PATH`, the part of the path that follows `/services/`.
    ///
    /// # Errors
    ///
    /// Returns a refusal with status 404 if the service's name is empty.
    pub(crate) fn new(method: Method, target: &str, query: Option<&str>) -> Result<Self, Refusal> {
        let (service, path) = target.split_once('/').unwrap_or((target, ""));
        if service.is_empty() {
            let message = "no service in the path: expected /services/NAME/PATH";
            return Err(Refusal::not_run(
                StatusCode::NOT_FOUND,
                "no_such_path",
                message,
            ));
        }
        let query = query.map(|query| format!("?{query}")).unwrap_or_default();
        Ok(Self {
            method,
            service: service.into(),
            path: format!("/{path}{query}"),
        })
    }

    /// Whether the method is GET or HEAD, which may be sent more than once.
    pub(crate) fn is_read(&self) -> bool {
        self.method == Method::GET || self.method == Method::HEAD
    }

    /// Computes a digest of method, target and body, which shows whether an id is reused for a
    /// different call.
    pub(crate) fn digest(&self, body: &[u8]) -> String {
        let head = format!("{} {} {}\n", self.method, self.service, self.path);
        digest_hex(&[head.as_bytes(), body].concat())
    }
}

/// Reads the target from a request's method and path.
///
/// # Errors
///
/// Returns a refusal with status 404 if nothing is served at the path.
pub(crate) fn read_target(head: &request::Parts) -> Result<Target, Refusal> {
    let path = head.uri.path();
    if head.method == Method::POST && path == "/v1/chat/completions" {
        return Ok(Target::Chat);
    }
    if head.method == Method::GET && path == "/v1/models" {
        return Ok(Target::Models);
    }
    if let Some(target) = path.strip_prefix("/services/") {
        let method = head.method.clone();
        return ServiceTarget::new(method, target, head.uri.query()).map(Target::Service);
    }
    Err(Refusal::not_run(
        StatusCode::NOT_FOUND,
        "no_such_path",
        format!("nothing is served at {path}"),
    ))
}

/// Builds the data path's route for one kind of request. `latency_target` applies to the first event
/// or the complete response, and to the gap between events.
pub(crate) fn route(
    name: &str,
    kind: RouteKind,
    max_attempts: u32,
    latency_target: Duration,
) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: "".into(),
        prefix: "/".into(),
        kind,
        timeout: ROUTE_TIMEOUT,
        objective: latency_target,
        gap_objective: latency_target,
        priority: 0,
        max_attempts,
        is_anonymous: false,
        sizes: Vec::new(),
        allowed_regions: Vec::new(),
        targets: Vec::new(),
    })
}

/// Returns the position of the first token that an attempt has to generate, counted from zero.
pub(crate) fn next_position(attempt: &AttemptContext<'_>) -> u32 {
    let next = attempt
        .resume_after
        .map_or(0, |last| last.saturating_add(1));
    u32::try_from(next).unwrap_or(u32::MAX)
}
