//! How long the engines of a service take to read a prompt token, for each model size.
//!
//! Learned as a low quantile of what long prompts took: what waiting adds stays out of it.

use std::time::Duration;

/// Prompt tokens below which other costs hide the pace.
const LEAST_TOKENS: f64 = 1_500.0;

/// The quantile that is followed.
const QUANTILE: f64 = 0.25;

/// Part of the estimate by which one observation moves it.
const STEP: f64 = 0.08;

/// Milliseconds a token that the smallest size is taken for before anything is known.
const FIRST_SMALLEST: f64 = 0.004;

/// The same for the largest size.
const FIRST_LARGEST: f64 = 0.035;

/// Milliseconds a token, for each size.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillTime {
    ms_per_token: Vec<f64>,
}

impl PrefillTime {
    /// A first guess for `sizes` sizes, smallest first.
    pub fn new(sizes: usize) -> Self {
        let steps = sizes.saturating_sub(1).max(1) as f64;
        let guess = |size: usize| {
            let part = size as f64 / steps;
            FIRST_SMALLEST * (FIRST_LARGEST / FIRST_SMALLEST).powf(part)
        };
        Self {
            ms_per_token: (0..sizes.max(1)).map(guess).collect(),
        }
    }

    /// Milliseconds a token of a size.
    pub fn ms_per_token(&self, size: usize) -> f64 {
        let last = self.ms_per_token.last().copied().unwrap_or(FIRST_LARGEST);
        self.ms_per_token.get(size).copied().unwrap_or(last)
    }

    /// Takes in the time to the first event of a prompt of which `unread_tokens` had to be read.
    pub fn record(&mut self, size: usize, unread_tokens: f64, latency: Duration) {
        if unread_tokens < LEAST_TOKENS {
            return;
        }
        let seen = latency.as_secs_f64() * 1_000.0 / unread_tokens;
        if let Some(pace) = self.ms_per_token.get_mut(size) {
            let step = if seen < *pace {
                -(1.0 - QUANTILE)
            } else {
                QUANTILE
            };
            *pace *= 1.0 + STEP * step;
        }
    }
}
