//! The state of one request from admission to its end: attempts, retry limits, log lines and
//! metrics.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    crash_suspects::ContentStatus,
    sizing::{SizingQuery, first_size},
    time::{Millis, nearest_span},
};

use crate::{
    attempt::{AttemptResponse, CRASHES_SERVERS},
    call::{Call, ModelChoice},
    connections::Connection,
    decision_log::Severity,
    dialect::ResponseHead,
    forwarding::PeerResponse,
    handover::{HolderId, SentClock},
    hooks::{AttemptEnd, CallEnd, RequestContext, ServerQuery},
    host_state::HostState,
    refusal::Refusal,
    request_metrics::{self, Phase},
    server::{AttemptTarget, Permit, Server},
    server_selection::ChosenServer,
};

/// Retry delay for the caller after no server took a call without a stream.
const PLAIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Retry delay for the caller after no engine took a stream.
const STREAM_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Retry delay for the caller of a request whose content is blocked.
const CRASHING_REQUEST_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Reason of a refusal while all servers of the service name limits or rest.
const SERVERS_LIMITED: &str = "servers at their limits";

/// Fraction of the latency objective for which a request waits for a place at brittle servers.
const PLACE_WAIT: f64 = 0.25;

/// How often a request that waits looks for a place.
const PLACE_POLL_PERIOD: Duration = Duration::from_millis(5);

/// Time for which a stream is presumed to occupy a slot.
const STREAM_SLOT_TIME: Duration = Duration::from_secs(1);

/// Least time for which a call without a stream is presumed to occupy a slot.
const MIN_SLOT_TIME: Duration = Duration::from_millis(5);

/// A response to the request whose head has arrived.
pub(crate) enum Reply {
    /// The response of a backend server.
    Server(Box<AttemptResponse>),
    /// The response of another entry host, to which the request was forwarded.
    Peer(PeerResponse),
}

/// A request in progress. Dropping it before [`end`](Self::end) counts as a disconnect of the
/// caller.
pub(crate) struct ActiveRequest {
    pub(crate) state: Arc<HostState>,
    pub(crate) call: Arc<Call>,
    /// Hashes of the names of servers that were already tried.
    pub(crate) tried: Vec<u64>,
    /// Number of attempts that ran or may have run on their server.
    pub(crate) executions: u32,
    /// Number of attempts.
    pub(crate) sends: u32,
    /// Number of attempts during the current hand-over that were not sent.
    pub(crate) unsent: u32,
    /// Whether an attempt arrived at a server, so that the next one is a retry.
    pub(crate) has_arrived: bool,
    /// Whether the request is counted in the retry budget of this or the forwarding host.
    pub(crate) is_counted: bool,
    pub(crate) may_have_run: bool,
    /// Current model size, as an index into the route's sizes.
    pub(crate) size: usize,
    has_ended: bool,
    /// Admission permit, held until the end of the request.
    permit: Option<Permit>,
    pub(crate) first_sent_at: Option<Millis>,
    /// When the first event of the response arrived.
    pub(crate) first_event_at: Option<Millis>,
    /// Whether the current stream still has to be counted for its version.
    pub(crate) is_pace_due: bool,
    pub(crate) last: LastAttempt,
    /// Servers and peers that have the request while others are looked for.
    pub(crate) holders: Vec<HolderId>,
    /// When the request left for the server of the current attempt.
    pub(crate) sent: SentClock,
    /// Whether a retry was taken from the budget for an attempt that has not been sent.
    pub(crate) has_unsent_retry: bool,
    /// Time before which the current server keeps the request, as none other could be had.
    pub(crate) no_handover_before: Millis,
}

/// The last attempt, for logs and metrics.
#[derive(Clone, Default)]
pub(crate) struct LastAttempt {
    /// Expected wait before the prefill, milliseconds.
    pub(crate) pending_ms: f64,
    /// Expected prefill time, milliseconds.
    pub(crate) prefill_ms: f64,
    /// Estimated requests on the server.
    pub(crate) running: f64,
    pub(crate) sent_at: Millis,
    pub(crate) server: Option<Arc<Server>>,
}

impl ActiveRequest {
    /// Creates the state of a request before its first attempt.
    pub(crate) fn new(state: Arc<HostState>, call: Call) -> Self {
        let sizing = SizingQuery {
            sizes: call.head.route.sizes.len(),
            attempts_left: call.head.route.max_attempts,
            is_resumed: call.head.resume_after.is_some(),
            accepted_confidence: 0,
        };
        let forwarded = call.forwarded.as_ref();
        Self {
            size: forwarded.map_or_else(|| first_size(&sizing), |earlier| earlier.size),
            executions: forwarded.map_or(0, |earlier| earlier.executions),
            has_arrived: forwarded.is_some_and(|earlier| earlier.has_arrived),
            is_counted: forwarded.is_some_and(|earlier| earlier.is_counted),
            may_have_run: forwarded.is_some_and(|earlier| earlier.may_have_run),
            state,
            call: Arc::new(call),
            tried: Vec::new(),
            sends: 0,
            unsent: 0,
            has_ended: false,
            permit: None,
            first_sent_at: None,
            first_event_at: None,
            is_pace_due: false,
            last: LastAttempt::default(),
            holders: Vec::new(),
            sent: SentClock::default(),
            has_unsent_retry: false,
            no_handover_before: Millis::default(),
        }
    }

    /// Logs a step of the request that deserves attention.
    pub(crate) fn log_step(&self, event: &str, server: &str, why: &str, inputs: &[(&str, f64)]) {
        self.log(Severity::Important, event, server, why, inputs);
    }

    /// Logs a decision about the request.
    pub(crate) fn log(
        &self,
        severity: Severity,
        event: &str,
        server: &str,
        why: &str,
        inputs: &[(&str, f64)],
    ) {
        self.call
            .log(&self.state, severity, event, server, why, inputs);
    }

    /// Logs and counts the end of the request; later calls have no effect.
    pub(crate) fn end(&mut self, why: &str, events: u64) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let now = self.state.now();
        let severity = if why == "complete" {
            Severity::Detail
        } else {
            Severity::Important
        };
        let first = self.first_event_at.unwrap_or(now);
        let prompt = self.call.head.prompt.as_ref();
        let inputs = [
            ("total_ms", now.since(self.call.arrived).as_millis() as f64),
            (
                "first_ms",
                first.since(self.call.arrived).as_millis() as f64,
            ),
            ("sends", f64::from(self.sends)),
            ("runs", f64::from(self.executions)),
            ("events", events as f64),
            ("pending_ms", self.last.pending_ms.round()),
            ("reading_ms", self.last.prefill_ms.round()),
            ("running", self.last.running),
            (
                "attempt_ms",
                first.since(self.last.sent_at).as_millis() as f64,
            ),
            ("size", self.size as f64),
            (
                "prompt_tokens",
                f64::from(prompt.map_or(0, |prompt| prompt.tokens)),
            ),
        ];
        let server = self.last.server.as_deref();
        let server_name = server.map_or("", |server| &server.entry.name);
        self.log(severity, "ended", server_name, why, &inputs);
        if let Some(server) = server {
            // A session goes on from the end of its last request.
            self.state
                .record_session(&self.call, &server.entry.version, now);
        }
        metrics::counter!("clementinearch_requests_total", "outcome" => why.to_owned())
            .increment(1);
        self.record_latencies(now);
    }

    fn record_latencies(&self, now: Millis) {
        let route = &self.call.head.route;
        let arrived = self.call.arrived;
        let record = |phase, span| self.state.request_metrics.record(&route.name, phase, span);
        record(Phase::Whole, now.since(arrived));
        if let Some(sent) = self.first_sent_at {
            record(Phase::Wait, sent.since(arrived));
            let responded = self.first_event_at.unwrap_or(now);
            record(Phase::Answer, responded.since(self.last.sent_at));
        }
        if let Some(first) = self.first_event_at {
            record(Phase::FirstEvent, first.since(arrived));
        }
    }

    /// Waits for admission, at most until the deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal with which the request has ended.
    pub(crate) async fn admit(&mut self) -> Result<(), Refusal> {
        let remaining = self.call.remaining(self.state.now());
        let (state, call) = (self.state.clone(), self.call.clone());
        let admitted = tokio::time::timeout(remaining, state.hooks.admit(&call)).await;
        match admitted.unwrap_or_else(|_| Err(self.deadline_refusal())) {
            Ok(permit) => {
                self.permit = permit;
                Ok(())
            }
            Err(refusal) => Err(self.finish_refused(refusal).await),
        }
    }

    /// Passes the outcome of the request to the hooks.
    pub(crate) async fn record_outcome(&self, outcome: CallEnd<'_>) {
        self.state.hooks.record_outcome(&self.call, outcome).await;
    }

    /// Passes the outcome of an attempt to the hooks.
    pub(crate) fn record_attempt(&self, target: AttemptTarget<'_>, outcome: AttemptEnd) {
        self.state.hooks.record_attempt(&self.call, target, outcome);
    }

    /// Records a complete and successful response, which began at `began_at`: it shows that neither
    /// the content nor a part of the prompt crashes servers.
    pub(crate) fn record_success(&self, began_at: Millis) {
        let context = self.context(self.state.now());
        self.state.hooks.record_success(context);
        self.state.record_part_answer(&self.call, began_at);
    }

    /// Keeps a connection for reuse after a complete response, unless the server closes it.
    pub(crate) fn keep_connection(
        &self,
        server: &Server,
        mut connection: Connection,
        head: &ResponseHead,
        now: Millis,
    ) {
        if head.is_closing || !self.state.dialect.has_response_ids() {
            return;
        }
        connection.set_idle(head.keep_alive, now);
        let max_idle = self.state.max_idle_connections(&self.call.service);
        server.keep_idle_connection(connection, max_idle);
    }

    /// Ends the request with a refusal, which it returns.
    pub(crate) async fn finish_refused(&mut self, refusal: Refusal) -> Refusal {
        let may_have_run = self.may_have_run;
        self.record_outcome(CallEnd::Failed { may_have_run }).await;
        request_metrics::count_refusal(&refusal);
        self.end(&refusal.to_string(), 0);
        refusal
    }

    /// Builds the refusal for when no further attempt is possible.
    pub(crate) fn refusal_after_attempts(&self, reason: &'static str) -> Refusal {
        if self.may_have_run {
            return Refusal::MayHaveRun { reason };
        }
        Refusal::not_run(reason, self.retry_after())
    }

    /// Builds the refusal for when no server is eligible.
    pub(crate) fn refusal_without_server(&self, now: Millis) -> Refusal {
        let return_delay = if self.may_have_run {
            None
        } else {
            self.state.return_delay(&self.call, self.slot_time(), now)
        };
        match return_delay {
            Some(delay) => Refusal::not_run(SERVERS_LIMITED, delay),
            None => self.refusal_after_attempts("no server left"),
        }
    }

    /// Time for which a request of this route is presumed to occupy a slot of its server.
    fn slot_time(&self) -> Duration {
        let route = &self.call.head.route;
        if route.kind.is_stream() {
            return STREAM_SLOT_TIME;
        }
        let latency_ms = self.state.latencies_ms.largest(&route.name);
        nearest_span(latency_ms / 1_000.0).max(MIN_SLOT_TIME)
    }

    fn retry_after(&self) -> Duration {
        if self.call.head.route.kind.is_stream() {
            STREAM_RETRY_AFTER
        } else {
            PLAIN_RETRY_AFTER
        }
    }

    pub(crate) async fn choose(&self, now: Millis) -> Result<Option<ChosenServer>, Refusal> {
        let query = ServerQuery {
            context: self.context(now),
            size: self.size,
            tried: &self.tried,
        };
        let chosen = self.state.hooks.choose(query).await;
        chosen.map_err(|refusal| self.with_execution(refusal))
    }

    /// Waits a little for a place at servers that must hardly turn requests away. Returns `None` if
    /// none gets free, or there are no such servers.
    pub(crate) async fn wait_for_place(&self) -> Result<Option<ChosenServer>, Refusal> {
        let objective = self.call.head.route.objective;
        let limit = self.call.arrived.after(objective.mul_f64(PLACE_WAIT));
        loop {
            let now = self.state.now();
            let is_over = now >= limit.min(self.call.deadline);
            if is_over || !self.state.has_places(&self.call, now) {
                return Ok(None);
            }
            tokio::time::sleep(PLACE_POLL_PERIOD).await;
            let chosen = self.choose(self.state.now()).await?;
            if chosen.is_some() {
                return Ok(chosen);
            }
        }
    }

    fn context(&self, now: Millis) -> RequestContext<'_> {
        RequestContext {
            state: &self.state,
            call: &self.call,
            now,
        }
    }

    pub(crate) fn deadline_refusal(&self) -> Refusal {
        if self.executions > 0 || self.may_have_run {
            Refusal::DeadlinePassed
        } else {
            Refusal::DeadlineBeforeRun {
                retry_after: self.retry_after(),
            }
        }
    }

    /// Corrects a refusal that claims "not run" if an earlier attempt may have run.
    pub(crate) fn with_execution(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.into_may_have_run()
        } else {
            refusal
        }
    }

    /// Time from sending to the first event that was expected of the last attempt.
    pub(crate) fn expected_latency(&self) -> Duration {
        nearest_span((self.last.pending_ms + self.last.prefill_ms) / 1_000.0)
    }

    pub(crate) fn model(&self) -> Option<&str> {
        if self.call.head.model == ModelChoice::Caller {
            return None;
        }
        let sizes = &self.call.head.route.sizes;
        sizes.get(self.size).map(|name| &**name)
    }

    /// Refuses a request whose content or part of its prompt is blocked because it crashed servers.
    pub(crate) fn check_crash_suspicion(&self, now: Millis) -> Result<(), Refusal> {
        let status = self.state.hooks.suspect_status(self.context(now));
        let is_blocked =
            matches!(status, ContentStatus::Blocked(_)) || self.state.has_blocked_part(&self.call);
        if !is_blocked {
            return Ok(());
        }
        Err(if self.may_have_run {
            Refusal::MayHaveRun {
                reason: CRASHES_SERVERS,
            }
        } else {
            Refusal::not_run(CRASHES_SERVERS, CRASHING_REQUEST_RETRY_AFTER)
        })
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if !self.has_ended {
            // The future was dropped because the caller closed its connection, or it panicked.
            self.state.hooks.record_disconnect(&self.call);
            let why = if std::thread::panicking() {
                "internal failure"
            } else {
                "caller left"
            };
            self.end(why, 0);
        }
    }
}
