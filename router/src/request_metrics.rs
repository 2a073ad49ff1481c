//! Counters, gauges and latency histograms of one host, for the operators' scrapes.

use std::time::Duration;

use clementinearch_policy::names::{FastMap, Name};
use metrics::Histogram;
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use parking_lot::Mutex;

use crate::refusal::Refusal;

/// Upper bounds of the histograms' buckets, seconds: from a hop within a zone to the longest
/// time limit of a route.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 20.0,
];

/// Routes with histograms of their own; further ones are counted as [`OTHER_ROUTE`], so that a
/// configuration with many routes does not fill the memory.
const MAX_ROUTES: usize = 40;

/// Label of routes beyond [`MAX_ROUTES`].
const OTHER_ROUTE: &str = "other";

/// A part of a request's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// From its head to the first send.
    Wait,
    /// A connection to a server.
    Connect,
    /// From the last send to the first event, or to the whole answer of a plain call.
    Answer,
    /// From its head to the first event.
    FirstEvent,
    /// From its head to its end.
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

/// Histograms by route and phase.
#[derive(Default)]
pub(crate) struct RequestMetrics {
    histograms: Mutex<FastMap<(Name, Phase), Histogram>>,
    routes: Mutex<Vec<Name>>,
}

impl RequestMetrics {
    /// Takes in how long a phase of a request on `route` took.
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

/// Installs the recorder of all metrics. Its `run_upkeep` must be called every few seconds.
///
/// # Errors
///
/// Returns an error if another recorder stands already.
pub fn install_metrics() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_S)?
        .install_recorder()
}

/// Counts a refusal by its reason.
pub(crate) fn count_refusal(refusal: &Refusal) {
    metrics::counter!("clementinearch_refusals_total", "reason" => refusal.to_string())
        .increment(1);
}

/// Counts how an attempt on a server ended.
pub(crate) fn count_attempt(end: &'static str) {
    metrics::counter!("clementinearch_attempts_total", "end" => end).increment(1);
}
