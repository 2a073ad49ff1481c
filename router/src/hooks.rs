//! What whoever runs the data path decides about a request: whether it may run, where, and what is
//! kept of it. The defaults are the path's own decisions.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{suspect::Standing, time::Millis};
use futures::future::{BoxFuture, ready};
use hyper::{Response, StatusCode, body::Bytes};

use crate::{
    board::Board,
    call::Call,
    refusal::Refusal,
    response_body::ResponseBody,
    server::{AttemptTarget, Permit, Server},
    server_selection::{ChosenServer, choose},
};

/// A request that is decided about, with what the host knows.
#[derive(Clone, Copy)]
pub struct RequestContext<'a> {
    pub(crate) board: &'a Board,
    /// The request.
    pub call: &'a Call,
    /// The present time.
    pub now: Millis,
}

/// A server is to be chosen for an attempt.
pub struct ServerQuery<'a> {
    /// The request.
    pub context: RequestContext<'a>,
    /// Size of the route's models.
    pub size: usize,
    pub(crate) tried: &'a [u64],
}

impl ServerQuery<'_> {
    /// Whether the server was asked already.
    pub fn was_tried(&self, server: &Server) -> bool {
        self.tried.contains(&server.name_hash)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer was whole.
    Whole,
    /// The request did not run there.
    NotRun,
    /// The server failed, broke the answer off or fell silent.
    Broken,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum CallOutcome<'a> {
    /// A plain answer is whole and about to be passed on.
    Answered {
        /// Its status.
        status: StatusCode,
        /// Its body.
        body: &'a Bytes,
    },
    /// A stream is whole; its closing events are about to be passed on.
    Streamed,
    /// It ends without a whole answer.
    Failed {
        /// Whether a server may have run it.
        may_have_run: bool,
    },
}

/// Decisions about requests.
pub trait RequestHooks: Send + Sync {
    /// Completes a request whose body has come. Returns the answer if no server is needed.
    ///
    /// # Errors
    ///
    /// Returns why the request cannot be served.
    fn prepare<'a>(
        &'a self,
        _call: &'a mut Call,
    ) -> BoxFuture<'a, Result<Option<Response<ResponseBody>>, Refusal>> {
        Box::pin(ready(Ok(None)))
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// Returns why it is refused.
    fn admit<'a>(&'a self, _call: &'a Call) -> BoxFuture<'a, Result<Option<Permit>, Refusal>> {
        Box::pin(ready(Ok(None)))
    }

    /// Checks before each attempt that the request may still run.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    fn check_before_attempt(&self, _call: &Call) -> Result<(), Refusal> {
        Ok(())
    }

    /// The server for an attempt; none if no server may take the request.
    ///
    /// # Errors
    ///
    /// Returns why no server is to take it.
    fn choose<'a>(
        &'a self,
        query: ServerQuery<'a>,
    ) -> BoxFuture<'a, Result<Option<ChosenServer>, Refusal>> {
        let RequestContext { board, call, now } = query.context;
        let chosen = choose(board, call, query.size, query.tried, now);
        Box::pin(ready(Ok(chosen)))
    }

    /// How the request's content stands.
    fn suspect_status(&self, context: RequestContext<'_>) -> Standing {
        let suspects = context.board.suspects.lock();
        suspects.standing(context.call.content_hash, context.now)
    }

    /// Takes in that a server crashed under the request.
    fn record_crash(&self, context: RequestContext<'_>, _server: AttemptTarget<'_>) {
        let RequestContext { board, call, now } = context;
        let mut suspects = board.suspects.lock();
        let was_suspect = suspects.standing(call.content_hash, now) == Standing::Suspect;
        suspects.note_crash(call.content_hash, was_suspect, now);
    }

    /// Pause before a server that broke off is looked at a second time, if one look is not enough.
    fn crash_recheck_delay(&self) -> Option<Duration> {
        None
    }

    /// Takes in how an attempt ended.
    fn record_attempt(&self, _call: &Call, _server: AttemptTarget<'_>, _end: AttemptOutcome) {}

    /// Keeps what must be kept of a request before its end is told to the caller.
    fn record_outcome<'a>(&'a self, _call: &'a Call, _end: CallOutcome<'a>) -> BoxFuture<'a, ()> {
        Box::pin(ready(()))
    }

    /// Takes in that the caller left before the end.
    fn record_disconnect(&self, _call: &Arc<Call>) {}
}

/// The path's own decisions.
#[derive(Clone, Copy, Debug, Default)]
pub struct DefaultHooks;

impl RequestHooks for DefaultHooks {}
