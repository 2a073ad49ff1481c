//! What callers ask for, as their requests' heads tell it.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    names::{Name, digest_hex},
    routes::{Kind, Route},
    time::Millis,
};
use clementinearch_router::AttemptOrder;
use hyper::{HeaderMap, Method, StatusCode, http::request};

use crate::{refusal::Refusal, requests::callers::Caller, telemetry::Span};

/// Longest time of a request; its own deadline comes first.
const LONGEST: Duration = Duration::from_secs(24 * 3600);

/// What a caller asks for.
pub(crate) enum Target {
    /// An answer of a model.
    Chat,
    /// The models of its plan.
    Models,
    /// A call to a plain service.
    Service(ServiceTarget),
}

/// A request whose body has not come yet.
pub(crate) struct RequestHead {
    pub(crate) caller: Caller,
    pub(crate) target: Target,
    pub(crate) headers: HeaderMap,
    /// When the head was read, by the clock that deadlines are told by.
    pub(crate) received_at: Millis,
    pub(crate) span: Span,
}

/// A plain service, and the path and query towards it.
pub(crate) struct ServiceTarget {
    method: Method,
    pub(crate) service: Name,
    pub(crate) path: String,
}

impl ServiceTarget {
    /// Reads `SERVICE/PATH` behind the prefix of service calls.
    ///
    /// # Errors
    ///
    /// Returns an error if no service is named.
    pub(crate) fn new(method: Method, target: &str, query: Option<&str>) -> Result<Self, Refusal> {
        let (service, path) = target.split_once('/').unwrap_or((target, ""));
        if service.is_empty() {
            let message = "a service call goes to /services/NAME/PATH";
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

    /// Whether the call may be sent twice.
    pub(crate) fn is_read(&self) -> bool {
        self.method == Method::GET || self.method == Method::HEAD
    }

    /// Tells calls apart that use the same id.
    pub(crate) fn digest(&self, body: &[u8]) -> String {
        let head = format!("{} {} {}\n", self.method, self.service, self.path);
        digest_hex(&[head.as_bytes(), body].concat())
    }
}

/// Reads what a request asks for.
///
/// # Errors
///
/// Returns an error if nothing is served there.
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

/// A route of the path for one kind of request.
pub(crate) fn route(name: &str, kind: Kind, max_attempts: u32, patience: Duration) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: "".into(),
        prefix: "/".into(),
        kind,
        timeout: LONGEST,
        objective: patience,
        gap_objective: patience,
        priority: 0,
        max_attempts,
        is_anonymous: false,
        sizes: Vec::new(),
        targets: Vec::new(),
    })
}

/// Position of the first token that an attempt is to generate.
pub(crate) fn next_position(order: &AttemptOrder<'_>) -> u32 {
    let next = order.resume_after.map_or(0, |last| last + 1);
    u32::try_from(next).unwrap_or(u32::MAX)
}
