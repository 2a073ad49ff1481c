//! Setup of logs and metrics, and spans for traces.

use flexi_logger::{Logger, LoggerHandle};
use hyper::HeaderMap;
use metrics_exporter_prometheus::PrometheusHandle;
use opentelemetry::{
    Context, KeyValue, global,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::{SpanKind, TraceContextExt, Tracer},
};
use opentelemetry_sdk::{propagation::TraceContextPropagator, trace::SdkTracerProvider};
use parking_lot::Mutex;

use crate::{
    error::Error,
    settings::{LogFormat, Settings},
};

/// Handles of logs, metrics and traces. Dropping it flushes and ends the export of traces.
pub(crate) struct Telemetry {
    /// Renders the metrics for a scrape.
    pub(crate) metrics: PrometheusHandle,
    _logger: LoggerHandle,
    traces: Option<SdkTracerProvider>,
}

impl Drop for Telemetry {
    fn drop(&mut self) {
        if let Some(traces) = &self.traces {
            let _ = traces.shutdown();
        }
    }
}

/// Sets up logs, metrics and, if the settings enable it, the export of traces.
///
/// # Errors
///
/// Returns an error if the logger or the metrics recorder can't be installed.
pub(crate) fn start(settings: &Settings) -> Result<Telemetry, Error> {
    let failed = |e: &dyn std::fmt::Display| Error::Telemetry(e.to_string());
    let logger = Logger::try_with_env_or_str("info").map_err(|e| failed(&e))?;
    let logger = match settings.log_format {
        LogFormat::Text => logger.format(flexi_logger::detailed_format),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    };
    let logger = logger.log_to_stderr().start().map_err(|e| failed(&e))?;
    let metrics = clementinearch_router::install_metrics().map_err(|e| failed(&e))?;
    let traces = settings.export_traces.then(|| {
        let exporter = opentelemetry_stdout::SpanExporter::default();
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .build();
        global::set_tracer_provider(provider.clone());
        provider
    });
    Ok(Telemetry {
        metrics,
        _logger: logger,
        traces,
    })
}

/// A span of a trace. It ends when its last clone is dropped.
#[derive(Clone)]
pub(crate) struct Span(Context);

struct Headers<'a>(&'a HeaderMap);

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(|name| name.as_str()).collect()
    }
}

#[derive(Default)]
struct TraceHeaders(Vec<(&'static str, String)>);

impl Injector for TraceHeaders {
    fn set(&mut self, key: &str, value: String) {
        match key {
            "traceparent" => self.0.push(("traceparent", value)),
            "tracestate" if !value.is_empty() => self.0.push(("tracestate", value)),
            _ => {}
        }
    }
}

const TRACER: &str = "clementinearch";

impl Span {
    /// Starts the span of a caller's request, as a child of the span in the request's W3C trace
    /// context headers.
    pub(crate) fn start_server(name: &'static str, headers: &HeaderMap) -> Self {
        let parent = TraceContextPropagator::new().extract(&Headers(headers));
        Self::start(name, SpanKind::Server, &parent)
    }

    fn start(name: &'static str, kind: SpanKind, parent: &Context) -> Self {
        let tracer = global::tracer(TRACER);
        let span = tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&tracer, parent);
        Self(parent.with_span(span))
    }

    /// Starts a child span for a call to another process.
    pub(crate) fn child(&self, name: &'static str) -> Self {
        Self::start(name, SpanKind::Client, &self.0)
    }

    /// Sets an attribute of the span.
    pub(crate) fn set(&self, key: &'static str, value: String) {
        self.0.span().set_attribute(KeyValue::new(key, value));
    }

    /// Returns the W3C trace context headers that make spans of the called process children of this
    /// one.
    pub(crate) fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = TraceHeaders::default();
        TraceContextPropagator::new().inject_context(&self.0, &mut headers);
        headers.0
    }
}

/// Spans of a request's attempts, of which one runs at a time.
pub(crate) struct AttemptSpans {
    request: Span,
    name: &'static str,
    current: Mutex<Option<Span>>,
}

impl AttemptSpans {
    /// Prepares the spans of attempts, which will be children of `request` with the name `name`.
    pub(crate) fn new(request: Span, name: &'static str) -> Self {
        Self {
            request,
            name,
            current: Mutex::default(),
        }
    }

    /// Starts the span of an attempt on `server`. Returns the trace context headers to send to it.
    pub(crate) fn begin(&self, server: &str) -> Vec<(&'static str, String)> {
        let span = self.request.child(self.name);
        span.set("server", server.to_owned());
        let headers = span.headers();
        *self.current.lock() = Some(span);
        headers
    }

    /// Returns the span of the current attempt, which ends when the result is dropped.
    pub(crate) fn end(&self) -> Option<Span> {
        self.current.lock().take()
    }
}
