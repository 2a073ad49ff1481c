//! The neutral request that the data path works on.

use std::{any::Any, sync::Arc, time::Duration};

use clementinearch_policy::{
    names::Name,
    routes::{Account, Route},
    time::Millis,
};
use hyper::{
    HeaderMap, Method,
    body::Bytes,
    http::uri::{PathAndQuery, Uri},
};

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: u64,
    /// Its length, tokens.
    pub tokens: u32,
}

/// What a request asks of a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in their order.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub max_answer_tokens: u32,
    /// The caller's estimate of the answer's tokens, if it gave one.
    pub answer_hint: Option<u32>,
}

impl Prompt {
    /// Parts that other requests may share: all but the last.
    pub(crate) fn shared_parts(&self) -> impl Iterator<Item = u64> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.id)
    }

    /// Tokens of those parts.
    pub(crate) fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }

    /// The longest shared beginning: the part before the request's own.
    pub fn shared_prefix(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2);
        let part = self.parts.get(shared.unwrap_or(0));
        part.map(|part| part.id)
    }
}

/// Who chooses the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelChoice {
    /// The caller named it, or the service runs no models.
    Caller,
    /// The router chooses one of the route's sizes.
    Router,
}

/// What a dialect reads from a request's head.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// The caller's id of this attempt.
    pub id: Name,
    /// The route.
    pub route: Arc<Route>,
    /// The client account, unless the route is anonymous.
    pub account: Option<Arc<Account>>,
    /// Hash of the session, if it has one.
    pub session: Option<u64>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// The prompt, if the request goes to a model engine.
    pub prompt: Option<Prompt>,
    /// Who chooses the model.
    pub model: ModelChoice,
    /// Last event that the caller has of an earlier run.
    pub resume_after: Option<u64>,
    /// Longest silence of a server within an answer, whether or not another one could go on.
    pub server_idle_timeout: Option<Duration>,
    /// Whether the caller takes a stream's events as one answer.
    pub buffers_stream: bool,
    /// Headers to pass on unchanged.
    pub headers: HeaderMap,
    /// What the dialect itself keeps of the request.
    pub dialect_data: Option<Arc<dyn Any + Send + Sync>>,
}

impl CallHead {
    /// What the dialect keeps of the request, if it is a `T`.
    pub fn dialect_data<T: Any + Send + Sync>(&self) -> Option<Arc<T>> {
        self.dialect_data.clone()?.downcast().ok()
    }
}

/// A request with everything that its attempts need.
#[derive(Clone, Debug)]
pub struct Call {
    /// What the dialect read.
    pub head: CallHead,
    /// Method, passed on unchanged.
    pub method: Method,
    /// Path and query, passed on unchanged.
    pub target: Uri,
    /// Body, passed on unchanged.
    pub body: Bytes,
    /// The service that the route chose.
    pub service: Name,
    /// When the request's head was read.
    pub arrived: Millis,
    /// When the caller or the route stops waiting.
    pub deadline: Millis,
    /// Tells contents of an account apart, whatever their ids.
    pub content_hash: u64,
}

impl Call {
    /// Rank of the request: the account's, else the route's.
    pub fn priority(&self) -> u8 {
        let account = self.head.account.as_ref();
        let own = account.and_then(|account| account.priority);
        own.unwrap_or(self.head.route.priority)
    }

    /// Time that is left at `now`.
    pub fn remaining(&self, now: Millis) -> Duration {
        self.deadline.since(now)
    }

    /// Part of the latency objective that has passed at `now`.
    pub(crate) fn elapsed_fraction(&self, now: Millis) -> f64 {
        let objective = self.head.route.objective.as_secs_f64().max(0.001);
        now.since(self.arrived).as_secs_f64() / objective
    }

    /// What spreads the request over versions: its session, else itself.
    pub(crate) fn version_hash(&self) -> u64 {
        self.head
            .session
            .unwrap_or_else(|| hash_bytes(self.head.id.as_bytes()))
    }
}

/// The target of a request in the form that is passed on.
pub(crate) fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")))
}

/// A hash that is equal on all hosts; not for untrusted keys of maps.
pub(crate) fn hash_bytes(bytes: &[u8]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = clementinearch_policy::names::FastHasher::default();
    hasher.write(bytes);
    clementinearch_policy::placement::affinity_rank(hasher.finish(), 0)
}
