//! Structured log on standard output, one JSON line per decision, that never blocks a request.
//!
//! Lines go through a bounded channel to a thread that writes them in batches. Lines over the rate
//! limit or the capacity of the channel are dropped and counted; details of successful requests are
//! dropped first.

use std::{
    io::Write,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, Sender, bounded};
use serde::Serialize;

/// Capacity of the channel to the writer, lines.
const QUEUE_LINES: usize = 4_096;

/// Pause between two batches, which saves wake-ups of the writer.
const BATCH_PERIOD: Duration = Duration::from_millis(200);

/// Divisor of the rate limit for lines of [`Severity::Detail`].
const DETAIL_DIVISOR: u64 = 2;

/// The severity of a line, which decides what is dropped above the rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Severity {
    /// A step of a successful request.
    Detail,
    /// A refusal, a failure, or a change in the state of a server, the store or the configuration.
    Important,
}

/// One line of the log; empty fields are omitted.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Decision<'a> {
    /// Reading of the host's monotonic [`Clock`](crate::clock::Clock), milliseconds.
    pub(crate) ms: u64,
    /// Name of the event, by which tools select lines.
    pub(crate) event: &'a str,
    /// Id of the request.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub(crate) id: &'a str,
    /// Name of the route.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub(crate) route: &'a str,
    /// Name of the backend server, or of another subject of the event.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub(crate) server: &'a str,
    /// Reason or outcome.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub(crate) why: &'a str,
    /// Hash of the request's account and content, in hexadecimal.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub(crate) content: &'a str,
    /// Ids of the prompt parts that the decision is about, in hexadecimal and separated by commas.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub(crate) parts: &'a str,
    /// Numbers on which the decision is based, by name.
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    pub(crate) inputs: &'a [(&'a str, f64)],
}

/// The log of one host, with a rate limit.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    tx: Sender<String>,
    /// Rate limit, lines per second.
    lines_per_s: u64,
    /// The second that `lines_in_second` counts.
    second: AtomicU64,
    lines_in_second: AtomicU64,
    /// Lines dropped since the last report.
    dropped_lines: AtomicU64,
}

impl DecisionLog {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(crate) fn start(lines_per_s: u64) -> std::io::Result<Self> {
        let (tx, rx) = bounded(QUEUE_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_batches(&rx))?;
        Ok(Self {
            tx,
            lines_per_s,
            second: AtomicU64::new(0),
            lines_in_second: AtomicU64::new(0),
            dropped_lines: AtomicU64::new(0),
        })
    }

    /// Queues a line for writing, or drops it if the rate limit or the channel's capacity is
    /// exceeded.
    pub(crate) fn write(&self, severity: Severity, decision: &Decision<'_>) {
        if !self.is_within_rate(severity, decision.ms) {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let Ok(line) = serde_json::to_string(decision) else {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return;
        };
        if self.tx.try_send(line).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a line at `ms`. Returns whether the rate limit allows it.
    fn is_within_rate(&self, severity: Severity, ms: u64) -> bool {
        let second = ms / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines_in_second.store(0, Ordering::Relaxed);
            self.report_dropped_lines(ms);
        }
        let lines = self.lines_in_second.fetch_add(1, Ordering::Relaxed);
        match severity {
            Severity::Important => lines < self.lines_per_s,
            Severity::Detail => lines < self.lines_per_s / DETAIL_DIVISOR,
        }
    }

    fn report_dropped_lines(&self, ms: u64) {
        let lines = self.dropped_lines.swap(0, Ordering::Relaxed);
        if lines == 0 {
            return;
        }
        metrics::counter!("clementinearch_log_lines_left_out_total").increment(lines);
        let line = format!("{{\"ms\":{ms},\"event\":\"log_lines_left_out\",\"lines\":{lines}}}");
        // If the channel is full, the count is reported with the next line.
        if self.tx.try_send(line).is_err() {
            self.dropped_lines.fetch_add(lines, Ordering::Relaxed);
        }
    }
}

fn write_batches(rx: &Receiver<String>) {
    while let Ok(first) = rx.recv() {
        let mut batch = first;
        batch.push('\n');
        for line in rx.try_iter() {
            batch.push_str(&line);
            batch.push('\n');
        }
        // Standard output is closed: the router runs on without a log.
        if std::io::stdout().write_all(batch.as_bytes()).is_err() {
            return;
        }
        thread::sleep(BATCH_PERIOD);
    }
}
