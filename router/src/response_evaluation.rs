//! Evaluation of responses: for the error rate of a version, the latency of a server and a route,
//! and the choice of a larger model.

use std::time::Duration;

use clementinearch_policy::{
    sizing::{DEFAULT_ACCEPTED_CONFIDENCE, SizingQuery, next_size},
    time::Millis,
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

/// Latency up to which a response never counts as slow.
const MIN_SLOW_LATENCY: Duration = Duration::from_millis(400);

impl ActiveRequest {
    /// Counts a response for its version and, unless it is a failure, for its server's latency and
    /// the route's mean latency.
    pub(crate) fn record_response(
        &self,
        server: &Server,
        is_failure: bool,
        sent_at: Millis,
        now: Millis,
    ) {
        let route = &self.call.head.route.name;
        let latency = now.since(sent_at);
        let mean = self.state.mean_latency(route, self.size);
        let expected = self.expected_latency();
        let is_slow = mean.is_some_and(|mean| {
            latency > MIN_SLOW_LATENCY && latency > mean.max(expected).mul_f64(SLOW_FACTOR)
        });
        let service = &self.call.service;
        let version = &server.entry.version;
        // Slow responses count for the old and the new version alike, since load slows both.
        self.state
            .rollouts
            .count_response(service, version, is_failure || is_slow);
        if is_failure {
            return;
        }
        if let Some(mean) = mean {
            server.record_latency(latency.as_secs_f64() / mean.as_secs_f64().max(0.001));
        }
        let target = self.state.rollouts.target_in_progress(service);
        // Responses of a version in rollout do not shift the latency it is compared with.
        if target.is_none_or(|target| target != *version) {
            self.state.record_latency(route, self.size, latency);
        }
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
