//! One request on its way: what it may still do, its attempts, and what is told of it.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    names::Name,
    sizing::{SizingQuery, first_size},
    suspect::Standing,
    time::Millis,
};

use crate::{
    attempt::{Attempt, AttemptResponse, AttemptResult, NOT_REACHED},
    board::Board,
    call::{Call, ModelChoice},
    connections::Connection,
    decision_log::{Decision, Severity},
    dialect::ResponseHead,
    hooks::{AttemptOutcome, CallOutcome, RequestContext, ServerQuery},
    refusal::Refusal,
    request_metrics::{self, Phase},
    server::{AttemptTarget, Permit, Server},
    server_selection::ChosenServer,
};

/// Sends of one request, refused ones included.
const MAX_SENDS: u32 = 6;

/// Time below which another attempt is not worth its place.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// When to come back after no server took a plain call.
const PLAIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// When to come back after no engine took a stream.
const STREAM_RETRY_AFTER: Duration = Duration::from_millis(600);

/// When to come back with a request that crashed servers.
const CRASHING_REQUEST_RETRY_AFTER: Duration = Duration::from_secs(60);

/// One request on its way.
pub(crate) struct ActiveRequest {
    pub(crate) board: Arc<Board>,
    pub(crate) call: Arc<Call>,
    pub(crate) tried: Vec<u64>,
    /// Servers that began, or may have begun, to run the request.
    executions: u32,
    sends: u32,
    may_have_run: bool,
    pub(crate) size: usize,
    has_ended: bool,
    /// The place that the request holds until its end.
    permit: Option<Permit>,
    first_sent_at: Option<Millis>,
    pub(crate) first_event_at: Option<Millis>,
    /// What was expected of the last attempt, for the log.
    pending_ms: f64,
    prefill_ms: f64,
    running: f64,
    last_sent_at: Millis,
    /// Server of the last attempt.
    last_server_name: Name,
}

impl ActiveRequest {
    /// A request that was not sent yet.
    pub(crate) fn new(board: Arc<Board>, call: Call) -> Self {
        let sizing = SizingQuery {
            sizes: call.head.route.sizes.len(),
            attempts_left: call.head.route.max_attempts,
            is_resumed: call.head.resume_after.is_some(),
            accepted: 0,
        };
        Self {
            size: first_size(&sizing),
            board,
            call: Arc::new(call),
            tried: Vec::new(),
            executions: 0,
            sends: 0,
            may_have_run: false,
            has_ended: false,
            permit: None,
            first_sent_at: None,
            first_event_at: None,
            pending_ms: 0.0,
            prefill_ms: 0.0,
            running: 0.0,
            last_sent_at: Millis::default(),
            last_server_name: "".into(),
        }
    }

    /// Writes a step of the request.
    pub(crate) fn log_step(&self, event: &str, server: &str, why: &str, inputs: &[(&str, f64)]) {
        self.log(Severity::Important, event, server, why, inputs);
    }

    /// Writes a line about the request.
    pub(crate) fn log(
        &self,
        severity: Severity,
        event: &str,
        server: &str,
        why: &str,
        inputs: &[(&str, f64)],
    ) {
        let decision = Decision {
            ms: self.board.now().0,
            event,
            id: &self.call.head.id,
            route: &self.call.head.route.name,
            server,
            why,
            inputs,
        };
        self.board.log.write(severity, &decision);
    }

    /// Writes the end of the request, once.
    pub(crate) fn end(&mut self, why: &str, events: u64) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let now = self.board.now();
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
            ("pending_ms", self.pending_ms.round()),
            ("reading_ms", self.prefill_ms.round()),
            ("running", self.running),
            (
                "attempt_ms",
                first.since(self.last_sent_at).as_millis() as f64,
            ),
            ("size", self.size as f64),
            (
                "prompt_tokens",
                f64::from(prompt.map_or(0, |prompt| prompt.tokens)),
            ),
        ];
        self.log(severity, "ended", &self.last_server_name, why, &inputs);
        metrics::counter!("clementinearch_requests_total", "outcome" => why.to_owned())
            .increment(1);
        self.record_latencies(now);
    }

    fn record_latencies(&self, now: Millis) {
        let route = &self.call.head.route;
        let arrived = self.call.arrived;
        let note = |phase, span| self.board.request_metrics.record(&route.name, phase, span);
        note(Phase::Whole, now.since(arrived));
        if let Some(sent) = self.first_sent_at {
            note(Phase::Wait, sent.since(arrived));
            let answered = self.first_event_at.unwrap_or(now);
            note(Phase::Answer, answered.since(self.last_sent_at));
        }
        if let Some(first) = self.first_event_at {
            note(Phase::FirstEvent, first.since(arrived));
        }
    }

    /// Waits until the request may run.
    pub(crate) async fn admit(&mut self) -> Result<(), Refusal> {
        let remaining = self.call.remaining(self.board.now());
        let (board, call) = (self.board.clone(), self.call.clone());
        let admitted = tokio::time::timeout(remaining, board.hooks.admit(&call)).await;
        match admitted.unwrap_or_else(|_| Err(self.deadline_refusal())) {
            Ok(permit) => {
                self.permit = permit;
                Ok(())
            }
            Err(refusal) => Err(self.finish_refused(refusal).await),
        }
    }

    /// Has what must be kept of the request kept.
    pub(crate) async fn record_outcome(&self, end: CallOutcome<'_>) {
        self.board.hooks.record_outcome(&self.call, end).await;
    }

    /// Takes in how an attempt ended.
    pub(crate) fn record_attempt(&self, at: AttemptTarget<'_>, end: AttemptOutcome) {
        self.board.hooks.record_attempt(&self.call, at, end);
    }

    /// Keeps a connection whose answer came to its end, unless the server closes it.
    pub(crate) fn keep_connection(
        &self,
        server: &Server,
        mut connection: Connection,
        head: &ResponseHead,
        now: Millis,
    ) {
        if head.is_closing {
            return;
        }
        connection.set_idle(head.keep_alive, now);
        let max_idle = self.board.idle_allowed(&self.call.service);
        server.keep_idle_connection(connection, max_idle);
    }

    /// Ends the request without an answer of a server.
    pub(crate) async fn finish_refused(&mut self, refusal: Refusal) -> Refusal {
        let may_have_run = self.may_have_run;
        self.record_outcome(CallOutcome::Failed { may_have_run })
            .await;
        request_metrics::count_refusal(&refusal);
        self.end(&refusal.to_string(), 0);
        refusal
    }

    /// Servers that may still run the request.
    pub(crate) fn attempts_left(&self) -> u32 {
        self.call
            .head
            .route
            .max_attempts
            .saturating_sub(self.executions)
    }

    /// Whether time and sends are left for one more attempt.
    fn has_attempt_left(&self, now: Millis) -> bool {
        self.attempts_left() > 0
            && self.sends < MAX_SENDS
            && self.call.remaining(now) >= MIN_ATTEMPT_TIME
    }

    /// Whether one more attempt would be allowed beside the one under way.
    pub(crate) fn may_abandon_attempt(&self, now: Millis) -> bool {
        self.attempts_left() > 0
            && self.sends < MAX_SENDS
            && self
                .board
                .with_repeats(&self.call.service, now, |budget, bound, hosts| {
                    budget.has_room(bound, hosts, now)
                })
    }

    /// Takes the right to one more attempt.
    fn take_retry(&mut self, now: Millis) -> bool {
        self.has_attempt_left(now)
            && self
                .board
                .with_repeats(&self.call.service, now, |budget, bound, hosts| {
                    budget.take(bound, hosts, now)
                })
    }

    fn count_first_attempt(&self, now: Millis) {
        self.board
            .with_repeats(&self.call.service, now, |budget, bound, _| {
                budget.count_first(bound, now);
            });
    }

    /// An attempt never reached its server: it is no repeat there.
    fn return_retry(&self, now: Millis) {
        if self.sends > 1 {
            self.board
                .with_repeats(&self.call.service, now, |budget, bound, _| {
                    budget.give_back(bound, now);
                });
        }
    }

    fn refusal_after_attempts(&self, reason: &'static str) -> Refusal {
        if self.may_have_run {
            return Refusal::MayHaveRun { reason };
        }
        Refusal::not_run(reason, self.retry_after())
    }

    fn retry_after(&self) -> Duration {
        if self.call.head.route.kind.is_stream() {
            STREAM_RETRY_AFTER
        } else {
            PLAIN_RETRY_AFTER
        }
    }

    async fn choose(&self, now: Millis) -> Result<Option<ChosenServer>, Refusal> {
        let query = ServerQuery {
            context: self.context(now),
            size: self.size,
            tried: &self.tried,
        };
        let chosen = self.board.hooks.choose(query).await;
        chosen.map_err(|refusal| self.with_execution(refusal))
    }

    fn context(&self, now: Millis) -> RequestContext<'_> {
        RequestContext {
            board: &self.board,
            call: &self.call,
            now,
        }
    }

    fn deadline_refusal(&self) -> Refusal {
        if self.executions > 0 || self.may_have_run {
            Refusal::DeadlinePassed
        } else {
            Refusal::DeadlineBeforeRun {
                retry_after: self.retry_after(),
            }
        }
    }

    /// The same refusal, true for a request that a server may have run meanwhile.
    fn with_execution(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.into_may_have_run()
        } else {
            refusal
        }
    }

    /// The head of the next answer that is this request's own.
    pub(crate) async fn next_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<AttemptResponse, Refusal> {
        loop {
            let now = self.board.now();
            if now >= self.call.deadline {
                return Err(self.deadline_refusal());
            }
            self.check_crash_suspicion(now)?;
            let may_run = self.board.hooks.check_before_attempt(&self.call);
            may_run.map_err(|refusal| self.with_execution(refusal))?;
            if self.sends == 0 {
                self.count_first_attempt(now);
            } else if !self.take_retry(now) {
                return Err(self.refusal_after_attempts("no attempt left"));
            }
            let mut chosen = self.choose(now).await?;
            if chosen.is_none() && self.may_have_run {
                // Every server was asked and one lost its answer: it may do better this time.
                self.tried.clear();
                chosen = self.choose(now).await?;
            }
            let Some(chosen) = chosen else {
                return Err(self.refusal_after_attempts("no server left"));
            };
            self.pending_ms = chosen.pending_ms;
            self.prefill_ms = chosen.in_flight.expected_prefill().as_secs_f64() * 1_000.0;
            self.running = chosen.running;
            let in_flight = chosen.in_flight;
            let server = in_flight.server().clone();
            let target = server.attempt_target(in_flight.is_trial());
            self.sends += 1;
            self.first_sent_at.get_or_insert(now);
            self.last_sent_at = now;
            self.tried.push(server.name_hash);
            self.last_server_name = server.entry.name.clone();
            let query = Attempt {
                board: &self.board,
                call: &self.call,
                model: self.model(),
                resume_after,
                number: self.sends - 1,
                pending: Duration::from_secs_f64(self.pending_ms / 1_000.0),
                may_abandon_attempt: &|now| {
                    self.attempts_left() > 1 && self.may_abandon_attempt(now)
                },
            };
            match query.run(in_flight).await {
                AttemptResult::Response(answer) => {
                    request_metrics::count_attempt("answered");
                    self.executions += 1;
                    self.may_have_run = true;
                    return Ok(*answer);
                }
                AttemptResult::NotRun { why } => {
                    request_metrics::count_attempt(why);
                    if why == NOT_REACHED {
                        self.return_retry(now);
                    }
                    self.record_attempt(target, AttemptOutcome::NotRun);
                    self.log_step("attempt_not_run", &server.entry.name, why, &[]);
                }
                AttemptResult::Lost { why } => {
                    request_metrics::count_attempt(why);
                    self.executions += 1;
                    self.may_have_run = true;
                    self.record_attempt(target, AttemptOutcome::Broken);
                    self.log_step("attempt_lost", &server.entry.name, why, &[]);
                    if !self.call.head.route.kind.may_repeat() {
                        return Err(Refusal::MayHaveRun { reason: why });
                    }
                }
                AttemptResult::Rejected(refusal) => {
                    request_metrics::count_attempt("rejected");
                    return Err(self.with_execution(refusal));
                }
                AttemptResult::DeadlinePassed => {
                    request_metrics::count_attempt("time limit passed");
                    self.may_have_run = true;
                    return Err(Refusal::DeadlinePassed);
                }
            }
        }
    }

    /// Time that the last attempt was expected to take to its first event.
    pub(crate) fn expected_latency(&self) -> Duration {
        Duration::from_secs_f64((self.pending_ms + self.prefill_ms) / 1_000.0)
    }

    fn model(&self) -> Option<&str> {
        if self.call.head.model == ModelChoice::Caller {
            return None;
        }
        let sizes = &self.call.head.route.sizes;
        sizes.get(self.size).map(|name| &**name)
    }

    /// Refuses contents that crashed servers.
    fn check_crash_suspicion(&self, now: Millis) -> Result<(), Refusal> {
        match self.board.hooks.suspect_status(self.context(now)) {
            Standing::Convicted(_) if self.may_have_run => Err(Refusal::MayHaveRun {
                reason: "the request crashes servers",
            }),
            Standing::Convicted(_) => Err(Refusal::not_run(
                "the request crashes servers",
                CRASHING_REQUEST_RETRY_AFTER,
            )),
            Standing::Clear | Standing::Suspect => Ok(()),
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if !self.has_ended {
            // Dropped before its end: the caller closed its connection.
            self.board.hooks.record_disconnect(&self.call);
            self.end("caller left", 0);
        }
    }
}
