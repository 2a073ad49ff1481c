//! The request as the data path sees it, independent of the dialect of callers and servers.

use std::{any::Any, sync::Arc, time::Duration};

use clementinearch_policy::{
    names::Name,
    routes::{Account, Route},
    time::Millis,
};
use hyper::{
    HeaderMap, Method,
    body::Bytes,
    http::{
        request,
        uri::{PathAndQuery, Uri},
    },
};

use crate::{
    decision_log::{Decision, Severity},
    forwarding::ForwardedState,
    host_state::HostState,
};

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id that equal parts have in common.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The size of a request to a model engine, and the parts of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt, tokens.
    pub tokens: u32,
    /// Maximum length of the answer, tokens.
    pub max_answer_tokens: u32,
    /// The caller's estimate of the answer's length, tokens.
    pub answer_hint: Option<u32>,
}

impl Prompt {
    /// Returns the ids of the parts that other requests may share: all but the last.
    pub(crate) fn shared_parts(&self) -> impl Iterator<Item = u64> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.id)
    }

    /// Returns the total length of the shared parts, tokens.
    pub(crate) fn shared_tokens(&self) -> f64 {
        let shared = self.parts.len().saturating_sub(1);
        let tokens = self.parts[..shared].iter();
        tokens.map(|part| f64::from(part.tokens)).sum()
    }

    /// Returns the id of the last shared part, by which requests with the same shared prefix are
    /// sent to the same servers. A prompt of one part has that part's id.
    pub fn shared_prefix(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2);
        let part = self.parts.get(shared.unwrap_or(0));
        part.map(|part| part.id)
    }
}

/// The side that chooses the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelChoice {
    /// The caller named a model, or the service runs none.
    Caller,
    /// The router chooses one of the route's model sizes.
    Router,
}

/// The head of a caller's request, as parsed by the dialect.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// The caller's id of this request.
    pub id: Name,
    /// The route whose host and path the request matches.
    pub route: Arc<Route>,
    /// The client account; `None` if the route is anonymous.
    pub account: Option<Arc<Account>>,
    /// Hash of the session id, if the request has one.
    pub session: Option<u64>,
    /// How long the caller waits for the response.
    pub caller_timeout: Option<Duration>,
    /// The prompt, if the request goes to a model engine.
    pub prompt: Option<Prompt>,
    /// Which side chooses the model.
    pub model: ModelChoice,
    /// Id of the last event that the caller got from an earlier, interrupted stream.
    pub resume_after: Option<u64>,
    /// Longest time without bytes from the server, whether or not the request can be retried.
    pub server_idle_timeout: Option<Duration>,
    /// Whether the caller gets the events of a stream as a single response.
    pub buffers_stream: bool,
    /// Headers to forward unchanged.
    pub headers: HeaderMap,
    /// Data that the dialect attaches to the request.
    pub dialect_data: Option<Arc<dyn Any + Send + Sync>>,
}

impl CallHead {
    /// Returns the dialect's data if it is a `T`.
    pub fn dialect_data<T: Any + Send + Sync>(&self) -> Option<Arc<T>> {
        self.dialect_data.clone()?.downcast().ok()
    }
}

/// A complete request with everything that its attempts need.
#[derive(Clone, Debug)]
pub struct Call {
    /// Head of the request, as parsed by the dialect.
    pub head: CallHead,
    /// Method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub target: Uri,
    /// Body, forwarded unchanged.
    pub body: Bytes,
    /// Name of the service that the route selects.
    pub service: Name,
    /// When the head of the request was read.
    pub arrived: Millis,
    /// When the caller's or the route's time limit ends, whichever is earlier.
    pub deadline: Millis,
    /// Hash of account and content: equal for the same content under different request ids.
    pub content_hash: u64,
    /// Head of the request as it came, to forward it to another entry host.
    pub(crate) received: Arc<request::Parts>,
    /// What another entry host did about the request before it forwarded it to this one.
    pub(crate) forwarded: Option<ForwardedState>,
}

impl Call {
    /// Takes over what another entry host has done about the request.
    pub(crate) fn with_forwarded(mut self, forwarded: ForwardedState) -> Self {
        let remaining = Duration::from_millis(forwarded.remaining_ms);
        self.deadline = self.deadline.min(self.arrived.after(remaining));
        self.arrived = self.arrived.before(Duration::from_millis(forwarded.age_ms));
        self.head.resume_after = forwarded.resume_after;
        self.forwarded = Some(forwarded);
        self
    }

    /// Logs a decision about the request.
    pub(crate) fn log(
        &self,
        state: &HostState,
        severity: Severity,
        event: &str,
        server: &str,
        why: &str,
        inputs: &[(&str, f64)],
    ) {
        let decision = Decision {
            ms: state.now().0,
            event,
            id: &self.head.id,
            route: &self.head.route.name,
            server,
            why,
            inputs,
            ..Decision::default()
        };
        state.log.write(severity, &decision);
    }

    /// Logs a step of the request that deserves attention.
    pub(crate) fn log_step(
        &self,
        state: &HostState,
        event: &str,
        server: &str,
        why: &str,
        inputs: &[(&str, f64)],
    ) {
        self.log(state, Severity::Important, event, server, why, inputs);
    }

    /// Returns the priority of the account, or else of the route; zero is the highest.
    pub fn priority(&self) -> u8 {
        let account = self.head.account.as_ref();
        let account_priority = account.and_then(|account| account.priority);
        account_priority.unwrap_or(self.head.route.priority)
    }

    /// Returns the time from `now` to the deadline.
    pub fn remaining(&self, now: Millis) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the time since arrival as a fraction of the latency objective.
    pub(crate) fn elapsed_fraction(&self, now: Millis) -> f64 {
        let objective = self.head.route.objective.as_secs_f64().max(0.001);
        now.since(self.arrived).as_secs_f64() / objective
    }

    /// Returns the hash that assigns the request to a version during a rollout: the session's if
    /// there is one, so that a session stays on one version, else the request id's.
    pub(crate) fn rollout_hash(&self) -> u64 {
        self.head
            .session
            .unwrap_or_else(|| hash_bytes(self.head.id.as_bytes()))
    }
}

/// Returns a request target in origin form: path and query without scheme and authority.
pub(crate) fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")))
}

/// Hashes bytes to the same value on all hosts. Not collision-resistant, so it must not key maps
/// with untrusted input.
pub(crate) fn hash_bytes(bytes: &[u8]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = clementinearch_policy::names::FastHasher::default();
    hasher.write(bytes);
    clementinearch_policy::placement::affinity_rank(hasher.finish(), 0)
}
