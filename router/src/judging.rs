//! What answers say: of versions, of servers and of the usual latency; and whether a larger model is
//! to answer instead.

use std::time::Duration;

use clementinearch_policy::{
    sizing::{DEFAULT_ACCEPTED_CONFIDENCE, SizingQuery, next_size},
    time::Millis,
};

use crate::{attempt::Answer, call::ModelChoice, decision_log::Weight, run::Run, server::Server};

/// Part of the repeat budget that dropped answers of small models may use.
const ESCALATION_PART: f64 = 0.8;

/// Answers that take this many times longer than usual, and than their prompt was expected to take,
/// speak against a version.
const SLOW_FACTOR: f64 = 4.0;

/// Latencies below which slowness is not judged.
const SLOW_FLOOR: Duration = Duration::from_millis(400);

impl Run {
    /// Counts an answer for its version and the usual latency.
    pub(crate) fn judge(&self, server: &Server, is_bad: bool, sent_at: Millis, now: Millis) {
        let route = &self.call.head.route.name;
        let latency = now.since(sent_at);
        let usual = self.state.mean_latency(route, self.size);
        let expected = self.expected();
        let is_slow = usual.is_some_and(|usual| {
            latency > SLOW_FLOOR && latency > usual.max(expected).mul_f64(SLOW_FACTOR)
        });
        let service = &self.call.service;
        let version = &server.entry.version;
        // Slowness counts for both versions alike: load slows both.
        self.state
            .rollouts
            .record_answer(service, version, is_bad || is_slow);
        if is_bad {
            return;
        }
        if let Some(usual) = usual {
            server.note_latency(latency.as_secs_f64() / usual.as_secs_f64().max(0.001));
        }
        let target = self.state.rollouts.target_in_progress(service);
        if target.is_none_or(|target| target != *version) {
            self.state.record_latency(route, self.size, latency);
        }
    }

    /// Part of the objective that a size needs to read the prompt.
    fn reading_part(&self, size: usize) -> f64 {
        let prompt = self.call.head.prompt.as_ref();
        let tokens = prompt.map_or(0.0, |prompt| f64::from(prompt.tokens));
        let ms = tokens * self.state.ms_per_token(&self.call.service, size);
        let objective_ms = self.call.head.route.objective.as_secs_f64() * 1_000.0;
        ms / objective_ms.max(1.0)
    }

    fn accepted_confidence(&self) -> u8 {
        let by_priority = &self.state.settings.accepted_confidence;
        let rank = usize::from(self.call.head.route.priority);
        let named = by_priority.get(rank).or(by_priority.last());
        named.copied().unwrap_or(DEFAULT_ACCEPTED_CONFIDENCE)
    }

    /// The size that is to answer instead, if the model's own opinion of its answer is too low.
    pub(crate) fn larger_size(&mut self, answer: &Answer) -> Option<usize> {
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
        let confidence = answer.head.confidence;
        let elapsed = self.call.elapsed_part(now);
        let expected = self.reading_part(query.sizes.saturating_sub(1));
        let size = next_size(&query, self.size, confidence, elapsed, expected)?;
        let used = self
            .state
            .with_retry_budget(&self.call.service, now, |budget, bound, hosts| {
                budget.used_fraction(bound, hosts, now)
            });
        if used > ESCALATION_PART {
            return None;
        }
        self.log(
            Weight::Detail,
            "escalated",
            &answer.in_flight.server().entry.name,
            "the model's own opinion is low",
            &[("confidence", f64::from(confidence.unwrap_or_default()))],
        );
        Some(size)
    }
}
