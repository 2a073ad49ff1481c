//! Evaluation of responses: for the error rate of a version, the latency of a server and a route,
//! and the choice of a larger model.

use std::time::Duration;

use clementinearch_policy::{
    rollout_evidence::Outcome,
    sizing::{DEFAULT_ACCEPTED_CONFIDENCE, SizingQuery, next_size},
    time::{Millis, nearest_span},
};

use crate::{
    active_request::ActiveRequest, attempt::AttemptResponse, call::ModelChoice,
    decision_log::Severity, server::Server,
};

/// Used fraction of the retry budget above which no response of a small model is discarded for a
/// larger one; the rest is left for failures.
const MAX_BUDGET_USED_TO_ESCALATE: f64 = 0.8;

/// Multiple of both the mean and the expected latency above which a response counts as an error of
/// its version.
const SLOW_FACTOR: f64 = 4.0;

/// Latency up to which a response never counts as slow by [`SLOW_FACTOR`], as a fraction of the
/// latency objective and at most.
const MIN_SLOW_OBJECTIVES: f64 = 0.25;
const MAX_UNCRITICAL_LATENCY: Duration = Duration::from_millis(400);

/// Multiple of the service's usual time between events above which a stream counts as an error of its
/// version. Unlike the time to the first event, that time hardly depends on prompt and queue.
const SLOW_GAP_FACTOR: f64 = 2.0;

/// The same multiple above which a stream is very slow.
const VERY_SLOW_GAP_FACTOR: f64 = 4.0;

/// Shortest time between events that is told apart, seconds.
const MIN_GAP_S: f64 = 0.001;

/// Number of gaps between events after which a stream's pace is judged.
const JUDGED_GAPS: u64 = 10;

/// Least number of gaps by which a stream that has ended is judged. In a shorter stream, events that
/// happen to arrive together or apart hide its pace.
const MIN_GAPS: u64 = 6;

/// Streams of a model size and load before a rollout from which the usual time between events is
/// known.
const MIN_USUAL_GAPS: u64 = 4;

/// Number of classes of a server's load, each of which reaches to twice the running requests of the
/// one before.
const LOAD_CLASSES: usize = 12;

/// Key of the usual time between events of a model size on a server that runs so many requests: it
/// grows with them, so that a slow version on idle servers is not measured by a busy old one.
fn usual_gap_key(size: usize, running: f64) -> usize {
    let class = (running.max(0.0) + 1.0).log2() as usize;
    size * LOAD_CLASSES + class.min(LOAD_CLASSES - 1)
}

impl ActiveRequest {
    /// Counts a response without a stream, or a failure, for its version and, unless it is a
    /// failure, for its server's latency and the route's mean latency.
    pub(crate) fn record_response(
        &mut self,
        server: &Server,
        is_failure: bool,
        sent_at: Millis,
        now: Millis,
    ) {
        if is_failure {
            self.count(server, Outcome::Failure, now);
            return;
        }
        let latency = now.since(sent_at);
        self.count(server, Outcome::Success, now);
        self.count_latency_pace(server, latency, now);
        self.record_latency(server, latency);
    }

    /// Records the latency of a stream's first event. A stream that starts in time is counted for its
    /// version once its pace is known.
    pub(crate) fn record_first_event(&mut self, server: &Server, sent_at: Millis, now: Millis) {
        let latency = now.since(sent_at);
        self.count(server, Outcome::Success, now);
        self.is_pace_due = true;
        if self.is_slow(latency) {
            self.count_pace(server, Outcome::Slow, now);
        }
        self.record_latency(server, latency);
    }

    /// Judges the pace of a stream, after a number of events or at its end, and counts the stream
    /// for its version. Streams too short for that are left out, unless the service has no others.
    pub(crate) fn record_pace(
        &mut self,
        server: &Server,
        events: u64,
        has_ended: bool,
        now: Millis,
    ) {
        let gaps = events.saturating_sub(1);
        if !self.is_pace_due || (gaps < JUDGED_GAPS && !has_ended) {
            return;
        }
        self.is_pace_due = false;
        let service = &self.call.service;
        let gap_logs = &self.state.event_gap_logs;
        let key = usual_gap_key(self.size, server.load(now).running);
        // Servers with less load are the next best measure.
        let mut keys = (self.size * LOAD_CLASSES..=key).rev();
        let mean_log = keys.find_map(|key| gap_logs.get(service, key));
        let Some(first) = self.first_event_at.filter(|_| gaps >= MIN_GAPS) else {
            if mean_log.is_none() {
                self.count_pace(server, Outcome::InTime, now);
            }
            return;
        };
        let gap_s = now.since(first).as_secs_f64() / gaps as f64;
        let log = gap_s.max(MIN_GAP_S).ln();
        if self.may_set_usual_gap(server, key) {
            gap_logs.record(service, key, log);
        }
        let usual = mean_log.unwrap_or(log);
        let outcome = if log > usual + VERY_SLOW_GAP_FACTOR.ln() {
            Outcome::VerySlow
        } else if log > usual + SLOW_GAP_FACTOR.ln() {
            Outcome::Slow
        } else {
            Outcome::InTime
        };
        self.count_pace(server, outcome, now);
    }

    /// Whether the pace of a stream from the server counts as usual for `key`. During a rollout the mean
    /// stands still: if it followed an old version in trouble, a slow new one would look usual.
    fn may_set_usual_gap(&self, server: &Server, key: usize) -> bool {
        let service = &self.call.service;
        match self.state.rollouts.target_in_progress(service) {
            Some(target) if target == server.entry.version => false,
            Some(_) => self.state.event_gap_logs.count(service, key) < MIN_USUAL_GAPS,
            None => true,
        }
    }

    /// Counts the pace of a response for the version that gave it, for the old and the new version
    /// alike, since load slows both.
    fn count_pace(&mut self, server: &Server, outcome: Outcome, now: Millis) {
        self.is_pace_due = false;
        self.count(server, outcome, now);
    }

    fn count_latency_pace(&mut self, server: &Server, latency: Duration, now: Millis) {
        let outcome = if self.is_slow(latency) {
            Outcome::Slow
        } else {
            Outcome::InTime
        };
        self.count_pace(server, outcome, now);
    }

    fn count(&self, server: &Server, outcome: Outcome, now: Millis) {
        self.state.count_outcome(&self.call, server, outcome, now);
    }

    /// Whether a latency is several times longer than both usual and expected.
    fn is_slow(&self, latency: Duration) -> bool {
        let route = &self.call.head.route;
        let uncritical = route.objective.mul_f64(MIN_SLOW_OBJECTIVES);
        let mean_ms = self.state.latencies_ms.get(&route.name, self.size);
        mean_ms.is_some_and(|mean_ms| {
            let mean = nearest_span(mean_ms / 1_000.0);
            latency > uncritical.min(MAX_UNCRITICAL_LATENCY)
                && latency > mean.max(self.expected_latency()).mul_f64(SLOW_FACTOR)
        })
    }

    fn record_latency(&self, server: &Server, latency: Duration) {
        let route = &self.call.head.route.name;
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        self.state.record_ramp_latency(
            server,
            latency_ms,
            self.usual_latency_ms(),
            self.state.now(),
        );
        if let Some(mean_ms) = self.state.latencies_ms.get(route, self.size) {
            server.record_latency(latency_ms, mean_ms);
        }
        if !self.is_on_target(server) {
            self.state.latencies_ms.record(route, self.size, latency_ms);
        }
    }

    /// Time to the first event or the complete response that is usual and expected, milliseconds, as
    /// far as it is known.
    fn usual_latency_ms(&self) -> Option<f64> {
        let route = &self.call.head.route.name;
        let mean_ms = self.state.latencies_ms.get(route, self.size)?;
        Some(mean_ms.max(self.expected_latency().as_secs_f64() * 1_000.0))
    }

    /// Whether the server runs the target version of a rollout in progress, whose responses must not
    /// shift what they are compared with.
    fn is_on_target(&self, server: &Server) -> bool {
        let target = self.state.rollouts.target_in_progress(&self.call.service);
        target.is_some_and(|target| target == server.entry.version)
    }

    /// Expected prefill time on a model size, as a fraction of the latency objective.
    fn prefill_fraction(&self, size: usize) -> f64 {
        let prompt = self.call.head.prompt.as_ref();
        let tokens = prompt.map_or(0.0, |prompt| f64::from(prompt.tokens));
        let ms = tokens * self.state.ms_per_token(&self.call.service, size);
        let objective_ms = self.call.head.route.objective.as_secs_f64() * 1_000.0;
        ms / objective_ms.max(1.0)
    }

    /// Confidence, from 0 to 100, from which a smaller model's answer is forwarded. The last
    /// setting also applies to lower priorities.
    fn accepted_confidence(&self) -> u8 {
        let by_priority = &self.state.settings.accepted_confidence;
        let priority = usize::from(self.call.head.route.priority);
        let configured = by_priority.get(priority).or(by_priority.last());
        configured.copied().unwrap_or(DEFAULT_ACCEPTED_CONFIDENCE)
    }

    /// Returns the larger model size to use instead if the model's confidence in its answer is too
    /// low and retry budget and time allow another attempt.
    pub(crate) fn larger_size(&mut self, response: &AttemptResponse) -> Option<usize> {
        if self.call.head.model == ModelChoice::Caller {
            return None;
        }
        let now = self.state.now();
        let query = SizingQuery {
            sizes: self.call.head.route.sizes.len(),
            attempts_left: self.attempts_left(),
            is_resumed: self.call.head.resume_after.is_some(),
            accepted_confidence: self.accepted_confidence(),
        };
        let confidence = response.head.confidence;
        let elapsed = self.call.elapsed_fraction(now);
        let expected = self.prefill_fraction(query.sizes.saturating_sub(1));
        let size = next_size(&query, self.size, confidence, elapsed, expected)?;
        let used = self
            .state
            .with_retry_budget(&self.call.service, now, |budget, limit, hosts| {
                budget.used_fraction(limit, hosts, now)
            });
        if used > MAX_BUDGET_USED_TO_ESCALATE {
            return None;
        }
        self.log(
            Severity::Detail,
            "escalated",
            &response.in_flight.server().entry.name,
            "the model's own opinion is low",
            &[("confidence", f64::from(confidence.unwrap_or_default()))],
        );
        Some(size)
    }
}
