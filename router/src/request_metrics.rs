//! Prometheus metrics of requests: counters, and latency histograms by route and phase.

use std::time::Duration;

use clementinearch_policy::names::{FastMap, Name};
use metrics::Histogram;
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use parking_lot::Mutex;

use crate::{forwarding::Forwarding, refusal::Refusal};

/// Upper bounds of the histogram buckets, seconds: from one hop within a zone to the longest time
/// limit of a route.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 20.0,
];

/// Maximum number of routes with their own histograms, which bounds the memory. Further routes
/// share the label [`OTHER_ROUTE`].
const MAX_ROUTES: usize = 40;

/// Label of routes beyond [`MAX_ROUTES`].
const OTHER_ROUTE: &str = "other";

/// A phase of a request that has its own histograms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// From the request's head to the first attempt.
    Wait,
    /// Connecting to a server.
    Connect,
    /// From the last attempt to the first event, or to the complete response of a call without a
    /// stream.
    Answer,
    /// From the request's head to the first event.
    FirstEvent,
    /// From the request's head to its end.
    Whole,
}

impl Phase {
    fn label(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::Connect => "connect",
            Self::Answer => "answer",
            Self::FirstEvent => "first_event",
            Self::Whole => "whole",
        }
    }
}

/// The latency histograms of one host.
#[derive(Default)]
pub(crate) struct RequestMetrics {
    histograms: Mutex<FastMap<(Name, Phase), Histogram>>,
    /// Routes with their own histograms.
    routes: Mutex<Vec<Name>>,
}

impl RequestMetrics {
    /// Records the duration of a phase of a request on `route`.
    pub(crate) fn record(&self, route: &Name, phase: Phase, span: Duration) {
        let route = self.label(route);
        let mut histograms = self.histograms.lock();
        let histogram = histograms.entry((route.clone(), phase)).or_insert_with(|| {
            metrics::histogram!(
                "clementinearch_request_seconds",
                "route" => route.to_string(),
                "phase" => phase.label()
            )
        });
        histogram.record(span.as_secs_f64());
    }

    /// Returns the route label: the route's name, or [`OTHER_ROUTE`] once the limit is reached.
    fn label(&self, route: &Name) -> Name {
        let mut routes = self.routes.lock();
        if routes.contains(route) {
            return route.clone();
        }
        if routes.len() >= MAX_ROUTES {
            return OTHER_ROUTE.into();
        }
        routes.push(route.clone());
        route.clone()
    }
}

/// Installs the global metrics recorder. The caller must run the handle's `run_upkeep` every few
/// seconds.
///
/// # Errors
///
/// Returns an error if a recorder is installed already.
pub fn install_metrics() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_S)?
        .install_recorder()
}

/// Counts a refused request by reason.
pub(crate) fn count_refusal(refusal: &Refusal) {
    metrics::counter!("clementinearch_refusals_total", "reason" => refusal.to_string())
        .increment(1);
}

/// Counts an attempt by the way it ended.
pub(crate) fn count_attempt(end: &'static str) {
    metrics::counter!("clementinearch_attempts_total", "end" => end).increment(1);
}

/// Counts a request that was forwarded to a peer.
pub(crate) fn count_forwarding(outcome: &Forwarding) {
    metrics::counter!("clementinearch_forwarded_total", "outcome" => outcome.label()).increment(1);
}
