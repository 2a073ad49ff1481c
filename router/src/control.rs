//! What whoever runs the data path decides about a request: whether it may run, where, and what is
//! kept of it. The defaults are the path's own decisions.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{crash_suspects::ContentStatus, time::Millis};
use futures::future::{BoxFuture, ready};
use hyper::{Response, StatusCode, body::Bytes};

use crate::{
    answer_body::AnswerBody,
    call::Call,
    choice::{Choice, choose},
    host_state::HostState,
    refusal::Refusal,
    server::{AttemptAt, Permit, Server},
};

/// A request that is decided about, with what the host knows.
#[derive(Clone, Copy)]
pub struct Asking<'a> {
    pub(crate) state: &'a HostState,
    /// The request.
    pub call: &'a Call,
    /// The present time.
    pub now: Millis,
}

/// A server is to be chosen for an attempt.
pub struct Choosing<'a> {
    /// The request.
    pub asking: Asking<'a>,
    /// Size of the route's models.
    pub size: usize,
    pub(crate) tried: &'a [u64],
}

impl Choosing<'_> {
    /// Whether the server was asked already.
    pub fn was_tried(&self, server: &Server) -> bool {
        self.tried.contains(&server.hash)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer was whole.
    Whole,
    /// The request did not run there.
    NotRun,
    /// The server failed, broke the answer off or fell silent.
    Broken,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum CallEnd<'a> {
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
pub trait Control: Send + Sync {
    /// Completes a request whose body has come. Returns the answer if no server is needed.
    ///
    /// # Errors
    ///
    /// Returns why the request cannot be served.
    fn prepare<'a>(
        &'a self,
        _call: &'a mut Call,
    ) -> BoxFuture<'a, Result<Option<Response<AnswerBody>>, Refusal>> {
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
    fn recheck(&self, _call: &Call) -> Result<(), Refusal> {
        Ok(())
    }

    /// The server for an attempt; none if no server may take the request.
    ///
    /// # Errors
    ///
    /// Returns why no server is to take it.
    fn choose<'a>(
        &'a self,
        choosing: Choosing<'a>,
    ) -> BoxFuture<'a, Result<Option<Choice>, Refusal>> {
        let Asking { state, call, now } = choosing.asking;
        let chosen = choose(state, call, choosing.size, choosing.tried, now);
        Box::pin(ready(Ok(chosen)))
    }

    /// How the request's content stands.
    fn standing(&self, asking: Asking<'_>) -> ContentStatus {
        let suspects = asking.state.suspects.lock();
        suspects.status(asking.call.content, asking.now)
    }

    /// Takes in that a server crashed under the request.
    fn note_crash(&self, asking: Asking<'_>, _server: AttemptAt<'_>) {
        let Asking { state, call, now } = asking;
        let mut suspects = state.suspects.lock();
        let was_suspect = suspects.status(call.content, now) == ContentStatus::Suspect;
        suspects.record_crash(call.content, was_suspect, now);
    }

    /// Pause before a server that broke off is looked at a second time, if one look is not enough.
    fn second_look(&self) -> Option<Duration> {
        None
    }

    /// Takes in how an attempt ended.
    fn note_attempt(&self, _call: &Call, _server: AttemptAt<'_>, _end: AttemptEnd) {}

    /// Keeps what must be kept of a request before its end is told to the caller.
    fn settle<'a>(&'a self, _call: &'a Call, _end: CallEnd<'a>) -> BoxFuture<'a, ()> {
        Box::pin(ready(()))
    }

    /// Takes in that the caller left before the end.
    fn note_caller_left(&self, _call: &Arc<Call>) {}
}

/// The path's own decisions.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnControl;

impl Control for OwnControl {}
