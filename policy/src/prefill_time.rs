//! Estimate of a service's prefill time per prompt token, for each model size.
//!
//! The estimate tracks a low quantile of the observed times of long prompts, which excludes the
//! time spent in queues.

use std::time::Duration;

/// Uncached prompt tokens below which other costs dominate the observed time.
const MIN_TOKENS: f64 = 1_500.0;

/// Quantile of the observed times that the estimate tracks.
const QUANTILE: f64 = 0.25;

/// Scale of the relative change that one observation makes.
const STEP: f64 = 0.08;

/// Initial estimate for the smallest size, milliseconds per token.
const INITIAL_SMALLEST_MS: f64 = 0.004;

/// Initial estimate for the largest size, milliseconds per token.
const INITIAL_LARGEST_MS: f64 = 0.035;

/// Prefill time per token, for each model size of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillTime {
    ms_per_token: Vec<f64>,
}

impl PrefillTime {
    /// Creates initial estimates for `sizes` sizes, smallest first.
    pub fn new(sizes: usize) -> Self {
        let steps = sizes.saturating_sub(1).max(1) as f64;
        let initial = |size: usize| {
            let fraction = size as f64 / steps;
            INITIAL_SMALLEST_MS * (INITIAL_LARGEST_MS / INITIAL_SMALLEST_MS).powf(fraction)
        };
        Self {
            ms_per_token: (0..sizes.max(1)).map(initial).collect(),
        }
    }

    /// Returns the estimate for a size, in milliseconds per token.
    pub fn ms_per_token(&self, size: usize) -> f64 {
        let last = self
            .ms_per_token
            .last()
            .copied()
            .unwrap_or(INITIAL_LARGEST_MS);
        self.ms_per_token.get(size).copied().unwrap_or(last)
    }

    /// Records the time to the first event for a prompt with `uncached_tokens` tokens to prefill.
    pub fn record(&mut self, size: usize, uncached_tokens: f64, latency: Duration) {
        if uncached_tokens < MIN_TOKENS {
            return;
        }
        let observed = latency.as_secs_f64() * 1_000.0 / uncached_tokens;
        if let Some(estimate) = self.ms_per_token.get_mut(size) {
            let step = if observed < *estimate {
                -(1.0 - QUANTILE)
            } else {
                QUANTILE
            };
            *estimate *= 1.0 + STEP * step;
        }
    }
}
