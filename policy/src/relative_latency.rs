//! Moving average of a server's latency, relative to what is usual on its routes.

/// Weight of the latest response.
const LATEST_WEIGHT: f64 = 0.2;

/// Resolution of the clock, milliseconds. Shorter latencies can't be told apart.
const RESOLUTION_MS: f64 = 1.0;

/// Step to which ratios are rounded: smaller differences are noise.
const RATIO_STEP: f64 = 0.125;

/// Smallest and largest ratio that counts.
const MIN_RATIO: f64 = 0.5;
const MAX_RATIO: f64 = 20.0;

/// Moving average of a server's latency as a multiple of the mean latency of the route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelativeLatency {
    average: Option<f64>,
}

impl RelativeLatency {
    /// Records the latency of a response on a route with the given mean, both in milliseconds.
    pub fn record(&mut self, latency_ms: f64, mean_ms: f64) {
        let ratio = latency_ms.max(RESOLUTION_MS) / mean_ms.max(RESOLUTION_MS);
        let average = self.average.get_or_insert(ratio);
        *average += LATEST_WEIGHT * (ratio - *average);
    }

    /// Returns the ratio; 1.0 before the first response.
    pub fn ratio(&self) -> f64 {
        let average = self.average.unwrap_or(1.0);
        let rounded = (average / RATIO_STEP).round() * RATIO_STEP;
        rounded.clamp(MIN_RATIO, MAX_RATIO)
    }
}
