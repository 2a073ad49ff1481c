//! One request on its way: what it may still do, its attempts, and what is told of it.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    crash_suspects::ContentStatus,
    names::Name,
    sizing::{SizingQuery, first_size},
    time::Millis,
};

use crate::{
    attempt::{Answer, AttemptQuery, Attempted, NOT_REACHED},
    call::{Call, ModelChoice},
    choice::Choice,
    connections::Connection,
    control::{Asking, AttemptEnd, CallEnd, Choosing},
    decision_log::{Decision, Weight},
    dialect::AnswerHead,
    host_state::HostState,
    measures::{self, Phase},
    refusal::Refusal,
    server::{AttemptAt, Permit, Server},
};

/// Sends of one request, refused ones included.
const MAX_SENDS: u32 = 6;

/// Time below which another attempt is not worth its place.
const LEAST_TIME: Duration = Duration::from_millis(20);

/// When to come back after no server took a plain call.
const PLAIN_RETRY: Duration = Duration::from_millis(250);

/// When to come back after no engine took a stream.
const STREAM_RETRY: Duration = Duration::from_millis(600);

/// When to come back with a request that crashed servers.
const CONVICTED_RETRY: Duration = Duration::from_secs(60);

/// One request on its way.
pub(crate) struct Run {
    pub(crate) state: Arc<HostState>,
    pub(crate) call: Arc<Call>,
    pub(crate) tried: Vec<u64>,
    /// Servers that began, or may have begun, to run the request.
    runs: u32,
    sends: u32,
    may_have_run: bool,
    pub(crate) size: usize,
    has_ended: bool,
    /// The place that the request holds until its end.
    permit: Option<Permit>,
    first_sent: Option<Millis>,
    pub(crate) first_event: Option<Millis>,
    /// What was expected of the last attempt, for the log.
    pending_ms: f64,
    reading_ms: f64,
    running: f64,
    last_sent: Millis,
    /// Server of the last attempt.
    last_server: Name,
}

impl Run {
    /// A request that was not sent yet.
    pub(crate) fn new(state: Arc<HostState>, call: Call) -> Self {
        let sizing = SizingQuery {
            sizes: call.head.route.sizes.len(),
            attempts_left: call.head.route.max_attempts,
            is_resumed: call.head.resume_after.is_some(),
            accepted_confidence: 0,
        };
        Self {
            size: first_size(&sizing),
            state,
            call: Arc::new(call),
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            may_have_run: false,
            has_ended: false,
            permit: None,
            first_sent: None,
            first_event: None,
            pending_ms: 0.0,
            reading_ms: 0.0,
            running: 0.0,
            last_sent: Millis::default(),
            last_server: "".into(),
        }
    }

    /// Writes a step of the request.
    pub(crate) fn log_step(&self, event: &str, server: &str, why: &str, inputs: &[(&str, f64)]) {
        self.log(Weight::Important, event, server, why, inputs);
    }

    /// Writes a line about the request.
    pub(crate) fn log(
        &self,
        weight: Weight,
        event: &str,
        server: &str,
        why: &str,
        inputs: &[(&str, f64)],
    ) {
        let decision = Decision {
            ms: self.state.now().0,
            event,
            id: &self.call.head.id,
            route: &self.call.head.route.name,
            server,
            why,
            inputs,
        };
        self.state.log.write(weight, &decision);
    }

    /// Writes the end of the request, once.
    pub(crate) fn end(&mut self, why: &str, events: u64) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let now = self.state.now();
        let weight = if why == "complete" {
            Weight::Detail
        } else {
            Weight::Important
        };
        let first = self.first_event.unwrap_or(now);
        let prompt = self.call.head.prompt.as_ref();
        let inputs = [
            ("total_ms", now.since(self.call.arrived).as_millis() as f64),
            (
                "first_ms",
                first.since(self.call.arrived).as_millis() as f64,
            ),
            ("sends", f64::from(self.sends)),
            ("runs", f64::from(self.runs)),
            ("events", events as f64),
            ("pending_ms", self.pending_ms.round()),
            ("reading_ms", self.reading_ms.round()),
            ("running", self.running),
            ("attempt_ms", first.since(self.last_sent).as_millis() as f64),
            ("size", self.size as f64),
            (
                "prompt_tokens",
                f64::from(prompt.map_or(0, |prompt| prompt.tokens)),
            ),
        ];
        self.log(weight, "ended", &self.last_server, why, &inputs);
        metrics::counter!("clementinearch_requests_total", "outcome" => why.to_owned())
            .increment(1);
        self.note_times(now);
    }

    fn note_times(&self, now: Millis) {
        let route = &self.call.head.route;
        let arrived = self.call.arrived;
        let note = |phase, span| self.state.measures.note(&route.name, phase, span);
        note(Phase::Whole, now.since(arrived));
        if let Some(sent) = self.first_sent {
            note(Phase::Wait, sent.since(arrived));
            let answered = self.first_event.unwrap_or(now);
            note(Phase::Answer, answered.since(self.last_sent));
        }
        if let Some(first) = self.first_event {
            note(Phase::FirstEvent, first.since(arrived));
        }
    }

    /// Waits until the request may run.
    pub(crate) async fn admit(&mut self) -> Result<(), Refusal> {
        let remaining = self.call.remaining(self.state.now());
        let (state, call) = (self.state.clone(), self.call.clone());
        let admitted = tokio::time::timeout(remaining, state.control.admit(&call)).await;
        match admitted.unwrap_or_else(|_| Err(self.out_of_time())) {
            Ok(permit) => {
                self.permit = permit;
                Ok(())
            }
            Err(refusal) => Err(self.refused(refusal).await),
        }
    }

    /// Has what must be kept of the request kept.
    pub(crate) async fn settle(&self, end: CallEnd<'_>) {
        self.state.control.settle(&self.call, end).await;
    }

    /// Takes in how an attempt ended.
    pub(crate) fn note_attempt(&self, at: AttemptAt<'_>, end: AttemptEnd) {
        self.state.control.note_attempt(&self.call, at, end);
    }

    /// Keeps a connection whose answer came to its end, unless the server closes it.
    pub(crate) fn keep_connection(
        &self,
        server: &Server,
        mut connection: Connection,
        head: &AnswerHead,
        now: Millis,
    ) {
        if head.is_closing {
            return;
        }
        connection.set_idle(head.keep_alive, now);
        let most = self.state.max_idle_connections(&self.call.service);
        server.keep_connection(connection, most);
    }

    /// Ends the request without an answer of a server.
    pub(crate) async fn refused(&mut self, refusal: Refusal) -> Refusal {
        let may_have_run = self.may_have_run;
        self.settle(CallEnd::Failed { may_have_run }).await;
        measures::count_refusal(&refusal);
        self.end(&refusal.to_string(), 0);
        refusal
    }

    /// Servers that may still run the request.
    pub(crate) fn attempts_left(&self) -> u32 {
        self.call.head.route.max_attempts.saturating_sub(self.runs)
    }

    /// Whether time and sends are left for one more attempt.
    fn has_attempt_left(&self, now: Millis) -> bool {
        self.attempts_left() > 0 && self.sends < MAX_SENDS && self.call.remaining(now) >= LEAST_TIME
    }

    /// Whether one more attempt would be allowed beside the one under way.
    pub(crate) fn may_give_up(&self, now: Millis) -> bool {
        self.attempts_left() > 0
            && self.sends < MAX_SENDS
            && self
                .state
                .with_retry_budget(&self.call.service, now, |budget, bound, hosts| {
                    budget.has_room(bound, hosts, now)
                })
    }

    /// Takes the right to one more attempt.
    fn may_try_again(&mut self, now: Millis) -> bool {
        self.has_attempt_left(now)
            && self
                .state
                .with_retry_budget(&self.call.service, now, |budget, bound, hosts| {
                    budget.try_take(bound, hosts, now)
                })
    }

    fn count_first(&self, now: Millis) {
        self.state
            .with_retry_budget(&self.call.service, now, |budget, bound, _| {
                budget.record_first_attempt(bound, now);
            });
    }

    /// An attempt never reached its server: it is no repeat there.
    fn give_back(&self, now: Millis) {
        if self.sends > 1 {
            self.state
                .with_retry_budget(&self.call.service, now, |budget, bound, _| {
                    budget.refund(bound, now);
                });
        }
    }

    fn give_up(&self, reason: &'static str) -> Refusal {
        if self.may_have_run {
            return Refusal::MayHaveRun { reason };
        }
        Refusal::not_run(reason, self.retry_after())
    }

    fn retry_after(&self) -> Duration {
        if self.call.head.route.kind.is_stream() {
            STREAM_RETRY
        } else {
            PLAIN_RETRY
        }
    }

    async fn choose(&self, now: Millis) -> Result<Option<Choice>, Refusal> {
        let choosing = Choosing {
            asking: self.asking(now),
            size: self.size,
            tried: &self.tried,
        };
        let chosen = self.state.control.choose(choosing).await;
        chosen.map_err(|refusal| self.told_truly(refusal))
    }

    fn asking(&self, now: Millis) -> Asking<'_> {
        Asking {
            state: &self.state,
            call: &self.call,
            now,
        }
    }

    fn out_of_time(&self) -> Refusal {
        if self.runs > 0 || self.may_have_run {
            Refusal::OutOfTime
        } else {
            Refusal::Late {
                retry_after: self.retry_after(),
            }
        }
    }

    /// The same refusal, true for a request that a server may have run meanwhile.
    fn told_truly(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.after_a_run()
        } else {
            refusal
        }
    }

    /// The head of the next answer that is this request's own.
    pub(crate) async fn next_answer(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Answer, Refusal> {
        loop {
            let now = self.state.now();
            if now >= self.call.deadline {
                return Err(self.out_of_time());
            }
            self.check_content(now)?;
            let may_run = self.state.control.recheck(&self.call);
            may_run.map_err(|refusal| self.told_truly(refusal))?;
            if self.sends == 0 {
                self.count_first(now);
            } else if !self.may_try_again(now) {
                return Err(self.give_up("no attempt left"));
            }
            let mut chosen = self.choose(now).await?;
            if chosen.is_none() && self.may_have_run {
                // Every server was asked and one lost its answer: it may do better this time.
                self.tried.clear();
                chosen = self.choose(now).await?;
            }
            let Some(choice) = chosen else {
                return Err(self.give_up("no server left"));
            };
            self.pending_ms = choice.pending_ms;
            self.reading_ms = choice.in_flight.reading().as_secs_f64() * 1_000.0;
            self.running = choice.running;
            let in_flight = choice.in_flight;
            let server = in_flight.server().clone();
            let at = server.at(in_flight.is_trial());
            self.sends += 1;
            self.first_sent.get_or_insert(now);
            self.last_sent = now;
            self.tried.push(server.hash);
            self.last_server = server.entry.name.clone();
            let query = AttemptQuery {
                state: &self.state,
                call: &self.call,
                model: self.model(),
                resume_after,
                number: self.sends - 1,
                pending: Duration::from_secs_f64(self.pending_ms / 1_000.0),
                may_give_up: &|now| self.attempts_left() > 1 && self.may_give_up(now),
            };
            match query.run(in_flight).await {
                Attempted::Answered(answer) => {
                    measures::count_attempt("answered");
                    self.runs += 1;
                    self.may_have_run = true;
                    return Ok(*answer);
                }
                Attempted::NotRun { why } => {
                    measures::count_attempt(why);
                    if why == NOT_REACHED {
                        self.give_back(now);
                    }
                    self.note_attempt(at, AttemptEnd::NotRun);
                    self.log_step("attempt_not_run", &server.entry.name, why, &[]);
                }
                Attempted::Lost { why } => {
                    measures::count_attempt(why);
                    self.runs += 1;
                    self.may_have_run = true;
                    self.note_attempt(at, AttemptEnd::Broken);
                    self.log_step("attempt_lost", &server.entry.name, why, &[]);
                    if !self.call.head.route.kind.may_retry() {
                        return Err(Refusal::MayHaveRun { reason: why });
                    }
                }
                Attempted::Rejected(refusal) => {
                    measures::count_attempt("rejected");
                    return Err(self.told_truly(refusal));
                }
                Attempted::OutOfTime => {
                    measures::count_attempt("time limit passed");
                    self.may_have_run = true;
                    return Err(Refusal::OutOfTime);
                }
            }
        }
    }

    /// Time that the last attempt was expected to take to its first event.
    pub(crate) fn expected(&self) -> Duration {
        Duration::from_secs_f64((self.pending_ms + self.reading_ms) / 1_000.0)
    }

    fn model(&self) -> Option<&str> {
        if self.call.head.model == ModelChoice::Caller {
            return None;
        }
        let sizes = &self.call.head.route.sizes;
        sizes.get(self.size).map(|name| &**name)
    }

    /// Refuses contents that crashed servers.
    fn check_content(&self, now: Millis) -> Result<(), Refusal> {
        match self.state.control.standing(self.asking(now)) {
            ContentStatus::Blocked(_) if self.may_have_run => Err(Refusal::MayHaveRun {
                reason: "the request crashes servers",
            }),
            ContentStatus::Blocked(_) => Err(Refusal::not_run(
                "the request crashes servers",
                CONVICTED_RETRY,
            )),
            ContentStatus::Clear | ContentStatus::Suspect => Ok(()),
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.has_ended {
            // Dropped before its end: the caller closed its connection.
            self.state.control.note_caller_left(&self.call);
            self.end("caller left", 0);
        }
    }
}
