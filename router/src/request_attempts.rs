//! Attempts of a request at backend servers, one after the other.

use clementinearch_policy::time::{Millis, nearest_span};

use crate::{
    active_request::{ActiveRequest, LastAttempt, Reply},
    attempt::{Attempt, AttemptResult, NOT_REACHED, SERVER_LEAVES, SERVER_RESTS},
    cold_servers::SERVER_COLD,
    evacuations::ZONE_EVACUATED,
    handover::{Handover, HolderId},
    hooks::AttemptEnd,
    refusal::Refusal,
    request_metrics,
    residency::NO_SERVER_IN_REGIONS,
    sent_attempt::{SentAttempt, Waited},
    server_selection::ChosenServer,
    view_reads::VIEW_OUTDATED,
};

/// What a request got from an attempt, or while that attempt was handed over.
enum Got {
    Result(AttemptResult),
    Reply(Reply),
}

impl ActiveRequest {
    /// Makes attempts until one gets a response to this request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no further attempt is possible or the request must not be sent again.
    pub(crate) async fn next_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Reply, Refusal> {
        loop {
            self.state.wait_for_view(self.call.deadline).await;
            let now = self.state.now();
            if now >= self.call.deadline {
                return Err(self.deadline_refusal());
            }
            self.check_crash_suspicion(now)?;
            let may_run = self.state.hooks.check_before_attempt(&self.call);
            may_run.map_err(|refusal| self.with_execution(refusal))?;
            if self.may_have_run && !self.call.head.route.kind.may_retry() {
                return Err(self.refusal_after_attempts("answer broke off"));
            }
            if let Some(reason) = self.state.exclusion_reason(&self.call) {
                return Err(self.refusal_after_attempts(reason));
            }
            if self.state.has_lost_servers() {
                return self.forward_to_peer(resume_after).await;
            }
            let is_retry = self.sends > 0 || self.has_arrived;
            if !is_retry {
                self.count_first_attempt(now);
            } else if !self.take_retry(now) {
                return Err(self.refusal_after_attempts("no attempt left"));
            }
            self.has_unsent_retry = is_retry;
            let chosen = self.choose_next(now).await?;
            let now = self.state.now();
            let in_flight = chosen.in_flight;
            let server = in_flight.server().clone();
            let target = server.attempt_target(in_flight.is_trial());
            self.last = LastAttempt {
                pending_ms: chosen.pending_ms,
                prefill_ms: in_flight.expected_prefill().as_secs_f64() * 1_000.0,
                running: chosen.running,
                sent_at: now,
                server: Some(server.clone()),
            };
            self.sends += 1;
            self.first_sent_at.get_or_insert(now);
            self.tried.push(server.name_hash);
            let attempt = Attempt {
                state: self.state.clone(),
                call: self.call.clone(),
                model: self.model().map(Into::into),
                resume_after,
                number: self.sends - 1,
                pending: nearest_span(self.last.pending_ms / 1_000.0),
                needs_new_connection: !self.holders.is_empty(),
            };
            let got = match attempt.send(in_flight).await {
                Ok(sent) => self.wait_for_response(sent, resume_after).await?,
                Err(why) => Got::Result(AttemptResult::NotRun { why }),
            };
            let result = match got {
                Got::Result(result) => result,
                Got::Reply(reply) => return Ok(reply),
            };
            self.has_unsent_retry = false;
            match result {
                AttemptResult::Response(response) => {
                    request_metrics::count_attempt("answered");
                    return Ok(Reply::Server(response));
                }
                AttemptResult::NotRun { why } => {
                    self.sent.clear();
                    request_metrics::count_attempt(why);
                    if !matches!(
                        why,
                        NOT_REACHED
                            | SERVER_LEAVES
                            | SERVER_RESTS
                            | SERVER_COLD
                            | VIEW_OUTDATED
                            | NO_SERVER_IN_REGIONS
                            | ZONE_EVACUATED
                    ) {
                        self.has_arrived = true;
                    } else {
                        self.unsent += 1;
                        if is_retry {
                            self.return_retry(now);
                        }
                    }
                    self.record_attempt(target, AttemptEnd::NotRun);
                    self.log_step("attempt_not_run", &server.entry.name, why, &[]);
                }
                AttemptResult::Lost { why } => {
                    request_metrics::count_attempt(why);
                    self.sent.clear();
                    self.record_attempt(target, AttemptEnd::Broken);
                    self.log_step("attempt_lost", &server.entry.name, why, &[]);
                    if !self.call.head.route.kind.may_retry() {
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

    /// Chooses the server of the next attempt.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no server is eligible or the request must not be sent to any.
    async fn choose_next(&mut self, now: Millis) -> Result<ChosenServer, Refusal> {
        let mut chosen = self.choose(now).await?;
        if chosen.is_none() && self.may_have_run {
            // All servers were tried, and at least one lost its response: try them again.
            self.tried.clear();
            self.tried
                .extend(self.holders.iter().filter_map(HolderId::server));
            chosen = self.choose(now).await?;
        }
        if chosen.is_none() {
            chosen = self.wait_for_place().await?;
        }
        let is_holder = |chosen: &ChosenServer| {
            let server = chosen.in_flight.server().name_hash;
            self.holders.contains(&HolderId::Server(server))
        };
        let other = chosen.filter(|chosen| !is_holder(chosen));
        if other.is_none() && std::mem::take(&mut self.has_unsent_retry) {
            self.return_retry(now);
        }
        other.ok_or_else(|| self.refusal_without_server(self.state.now()))
    }

    /// Waits for the head of the response of an attempt. If its server is silent or late, others are
    /// tried meanwhile.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the server was left and no other has answered.
    async fn wait_for_response(
        &mut self,
        mut sent: SentAttempt,
        resume_after: Option<u64>,
    ) -> Result<Got, Refusal> {
        self.sent.set(sent.sent_at());
        self.has_unsent_retry = false;
        let mut is_counted = false;
        loop {
            // Until it is counted, this attempt is one of those left.
            let needed = u32::from(!is_counted);
            let may_leave = |now| self.attempts_left() > needed && self.may_abandon_attempt(now);
            let result = match sent.wait(&may_leave).await {
                Waited::Arrived => {
                    if sent.has_broken() {
                        // Nobody has the request while the cause of the break is looked for.
                        if !std::mem::replace(&mut is_counted, true) {
                            self.count_execution();
                        }
                        self.sent.clear();
                    }
                    sent.read().await
                }
                Waited::GivenUp(why) => {
                    sent.record_stall(why).await;
                    AttemptResult::Lost { why }
                }
                Waited::DeadlinePassed => AttemptResult::DeadlinePassed,
                Waited::Stalled(why) => {
                    if !std::mem::replace(&mut is_counted, true) {
                        self.count_execution();
                    }
                    sent.record_stall(why).await;
                    match self.hand_over(&mut sent, resume_after, why).await {
                        Handover::Kept => continue,
                        Handover::Taken { reply, is_gone } => {
                            record_gone(sent, is_gone);
                            return Ok(Got::Reply(reply));
                        }
                        Handover::Failed { refusal, is_gone } => {
                            record_gone(sent, is_gone);
                            return Err(refusal);
                        }
                    }
                }
            };
            let has_run = matches!(
                result,
                AttemptResult::Response(_) | AttemptResult::Lost { .. }
            );
            if has_run && !is_counted {
                self.count_execution();
            }
            return Ok(Got::Result(result));
        }
    }

    /// Counts an attempt that has run or may have run.
    pub(crate) fn count_execution(&mut self) {
        self.executions += 1;
        self.has_arrived = true;
        self.may_have_run = true;
    }
}

/// Records the end of an attempt that broke off while it was handed over.
fn record_gone(sent: SentAttempt, is_gone: bool) {
    if is_gone {
        tokio::spawn(sent.read());
    }
}
