//! A request in flight on a backend server, and what its response has shown so far.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::time::{Millis, nearest_span};

use crate::{
    call::Call,
    host_state::HostState,
    server::{AttemptTarget, Permit, Server},
    unfinished_attempts::UnfinishedAttempt,
};

/// Time for which events arrive on a response before its begin counts as survived. A server that
/// crashes as it begins to write sends nothing for so long.
pub(crate) const ANSWERING_SPAN: Duration = Duration::from_millis(250);

/// A request in flight, counted on its server until it is dropped.
pub(crate) struct InFlight {
    server: Arc<Server>,
    /// Set while the request is on trial as a suspect.
    trial: Option<Permit>,
    /// The request, once it has been sent and until its response is complete, and the host's state.
    unfinished: Option<(Arc<HostState>, Arc<Call>)>,
    /// Prompt tokens that are not expected in the server's prefix cache.
    uncached_tokens: f64,
    /// Expected prefill time that is still counted on the server, milliseconds.
    prefill_ms: f64,
    /// When the first event of the response arrived.
    first_event_at: Option<Millis>,
    /// Whether events have arrived for [`ANSWERING_SPAN`].
    is_answering: bool,
    /// Whether the request is no longer counted.
    has_ended: bool,
}

impl InFlight {
    /// Counts a request with `uncached_tokens` to prefill, each of which takes `ms_per_token`.
    pub(crate) fn new(
        server: Arc<Server>,
        uncached_tokens: f64,
        ms_per_token: f64,
        now: Millis,
    ) -> Self {
        let prefill_ms = uncached_tokens * ms_per_token;
        server.begin_request(prefill_ms, now);
        Self {
            server,
            trial: None,
            unfinished: None,
            uncached_tokens,
            prefill_ms,
            first_event_at: None,
            is_answering: false,
            has_ended: false,
        }
    }

    /// Makes the attempt the trial of a suspect request if `trial` is set.
    pub(crate) fn with_trial(mut self, trial: Option<Permit>) -> Self {
        self.trial = trial;
        self
    }

    /// Whether the attempt is the trial of a suspect request.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Counts the attempt as unfinished from now on: the request is about to be sent.
    pub(crate) fn track(&mut self, state: Arc<HostState>, call: Arc<Call>) {
        self.unfinished = Some((state, call));
    }

    /// Counts the attempt as finished: its response is complete, or the server has not run it.
    pub(crate) fn finish(&mut self) {
        self.unfinished = None;
    }

    /// Describes the server as the target of this attempt.
    pub(crate) fn attempt_target(&self) -> AttemptTarget<'_> {
        self.server.attempt_target(self.is_trial())
    }

    /// The server that the request is counted on.
    pub(crate) fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Prompt tokens that were not expected in the server's prefix cache.
    pub(crate) fn uncached_tokens(&self) -> f64 {
        self.uncached_tokens
    }

    /// Remaining expected prefill time.
    pub(crate) fn expected_prefill(&self) -> Duration {
        nearest_span(self.prefill_ms / 1_000.0)
    }

    /// Records that events of the response arrived. Returns when the first one did, once the server
    /// has shown that it survives the begin of this response.
    pub(crate) fn record_events(&mut self, now: Millis) -> Option<Millis> {
        let first = *self.first_event_at.get_or_insert(now);
        let is_news = !self.is_answering && now.since(first) >= ANSWERING_SPAN;
        self.is_answering |= is_news;
        is_news.then_some(first)
    }

    /// When the first event of the response arrived.
    pub(crate) fn first_event_at(&self) -> Option<Millis> {
        self.first_event_at
    }

    /// Whether the server has survived the begin of the response.
    pub(crate) fn is_answering(&self) -> bool {
        self.is_answering
    }

    /// Stops counting the request, whose connection is closed. Later calls have no effect.
    pub(crate) fn leave(&mut self) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        self.finish_prefill();
        self.server.end_request();
        if let Some((state, call)) = self.unfinished.take() {
            self.server.pace.record_abandoned(state.now());
            state.unfinished_attempts.add(UnfinishedAttempt {
                server: self.server.clone(),
                call,
                is_trial: self.is_trial(),
                is_answering: self.is_answering,
                ended_at: state.now(),
            });
        }
    }

    /// Stops counting the request's prefill time, as its first event has arrived or it has ended.
    pub(crate) fn finish_prefill(&mut self) {
        let prefill_ms = std::mem::take(&mut self.prefill_ms);
        self.server.end_prefill(prefill_ms);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.leave();
    }
}
