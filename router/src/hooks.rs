//! Hooks by which an embedding process decides whether a request may run, which server gets it and
//! what is recorded of it. The default methods are the router's own decisions.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{crash_suspects::ContentStatus, time::Millis};
use futures::future::{BoxFuture, ready};
use hyper::{Response, StatusCode, body::Bytes};

use crate::{
    call::Call,
    host_state::HostState,
    refusal::Refusal,
    response_body::ResponseBody,
    server::{AttemptTarget, Permit, Server},
    server_selection::{ChosenServer, choose},
};

/// The request that a hook decides on, with the state of the host.
#[derive(Clone, Copy)]
pub struct RequestContext<'a> {
    pub(crate) state: &'a HostState,
    /// The request.
    pub call: &'a Call,
    /// The current time.
    pub now: Millis,
}

/// What is known when a server is chosen for an attempt.
pub struct ServerQuery<'a> {
    /// The request and the current time.
    pub context: RequestContext<'a>,
    /// Model size to use, as an index into the route's sizes.
    pub size: usize,
    /// Hashes of the names of servers that were already tried.
    pub(crate) tried: &'a [u64],
}

impl ServerQuery<'_> {
    /// Whether an earlier attempt went to this server.
    pub fn was_tried(&self, server: &Server) -> bool {
        self.tried.contains(&server.name_hash)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response was complete.
    Whole,
    /// The request did not run on the server.
    NotRun,
    /// The server failed, broke off the response or stopped sending.
    Broken,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum CallEnd<'a> {
    /// A response that is not a stream is complete and about to be forwarded.
    Answered {
        /// Status of the response.
        status: StatusCode,
        /// Complete body of the response.
        body: &'a Bytes,
    },
    /// A stream is complete; its final events are about to be forwarded.
    Streamed,
    /// The request ends without a complete response.
    Failed {
        /// Whether a server may have run it.
        may_have_run: bool,
    },
}

/// Decisions and call-backs in the course of a request.
pub trait RequestHooks: Send + Sync {
    /// Completes a request once its body has arrived. Returns a response if no backend server is
    /// needed.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request cannot be served.
    fn prepare<'a>(
        &'a self,
        _call: &'a mut Call,
    ) -> BoxFuture<'a, Result<Option<Response<ResponseBody>>, Refusal>> {
        Box::pin(ready(Ok(None)))
    }

    /// Waits until the request is admitted. The permit is held until the request ends.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is not admitted.
    fn admit<'a>(&'a self, _call: &'a Call) -> BoxFuture<'a, Result<Option<Permit>, Refusal>> {
        Box::pin(ready(Ok(None)))
    }

    /// Checks before each attempt that the request may still run.
    ///
    /// # Errors
    ///
    /// Returns a refusal if it may not.
    fn check_before_attempt(&self, _call: &Call) -> Result<(), Refusal> {
        Ok(())
    }

    /// Chooses the server for an attempt. Returns `None` if no server is eligible.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request must not go to any server.
    fn choose<'a>(
        &'a self,
        query: ServerQuery<'a>,
    ) -> BoxFuture<'a, Result<Option<ChosenServer>, Refusal>> {
        let RequestContext { state, call, now } = query.context;
        let chosen = choose(state, call, query.size, query.tried, now);
        Box::pin(ready(Ok(chosen)))
    }

    /// Returns whether the request's content is suspected of crashing servers or blocked.
    fn suspect_status(&self, context: RequestContext<'_>) -> ContentStatus {
        let evidence = context.state.crash_evidence.lock();
        evidence.status(context.call.content_hash, context.now)
    }

    /// Records that a server crashed at `context.now`, or shortly after, while it had the request.
    fn record_crash(&self, context: RequestContext<'_>, server: AttemptTarget<'_>) {
        let RequestContext { state, call, now } = context;
        state.record_crash(call.content_hash, server, now);
    }

    /// Records a complete and successful response, which shows that the content crashes no server.
    fn record_success(&self, context: RequestContext<'_>) {
        let RequestContext { state, call, now } = context;
        let mut evidence = state.crash_evidence.lock();
        evidence.record_completion(call.content_hash, now);
    }

    /// Delay before a second check whether a server that broke off a connection has crashed; `None`
    /// if one check is enough.
    fn crash_recheck_delay(&self) -> Option<Duration> {
        None
    }

    /// Records how an attempt ended.
    fn record_attempt(&self, _call: &Call, _server: AttemptTarget<'_>, _outcome: AttemptEnd) {}

    /// Stores what must outlive the request, such as a bill or a claim's result, before the caller
    /// gets the end of the response.
    fn record_outcome<'a>(&'a self, _call: &'a Call, _outcome: CallEnd<'a>) -> BoxFuture<'a, ()> {
        Box::pin(ready(()))
    }

    /// Records that the caller disconnected before the end of the response.
    fn record_disconnect(&self, _call: &Arc<Call>) {}
}

/// Hooks of a standalone router: all defaults.
#[derive(Clone, Copy, Debug, Default)]
pub struct DefaultHooks;

impl RequestHooks for DefaultHooks {}
