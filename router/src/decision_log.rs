//! Structured log lines on standard output: one for each decision, bounded, never blocking.
//!
//! Lines go through a bounded channel to a thread that writes them in batches. What does not fit
//! is counted and left out; details of requests that end well are left out first.

use std::{
    io::Write,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, Sender, bounded};
use serde::Serialize;

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 4_096;

/// Pause between two batches: fewer wake-ups than one for each line.
const BATCH_PERIOD: Duration = Duration::from_millis(200);

/// Part of a second's lines after which only important ones are written.
const DETAIL_DIVISOR: u64 = 2;

/// How much a line matters when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Severity {
    /// A request that goes well.
    Detail,
    /// A refusal, a failure, or a change of what the process believes.
    Important,
}

/// A decision, as it is written.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Decision<'a> {
    /// Steady milliseconds since the start of the process.
    pub(crate) ms: u64,
    /// What was decided.
    pub(crate) event: &'a str,
    /// The request's id.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub(crate) id: &'a str,
    /// The route.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub(crate) route: &'a str,
    /// The backend server.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub(crate) server: &'a str,
    /// Why, or the outcome.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub(crate) why: &'a str,
    /// Numbers that decided it, by name.
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    pub(crate) inputs: &'a [(&'a str, f64)],
}

/// The log of one host.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    tx: Sender<String>,
    lines_per_s: u64,
    second: AtomicU64,
    lines_in_second: AtomicU64,
    dropped_lines: AtomicU64,
}

impl DecisionLog {
    /// Starts the writer.
    ///
    /// # Errors
    ///
    /// Returns an error if its thread cannot be started.
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

    /// Writes a decision, unless there are too many.
    pub(crate) fn write(&self, severity: Severity, decision: &Decision<'_>) {
        if !self.has_room(severity, decision.ms) {
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

    fn has_room(&self, severity: Severity, ms: u64) -> bool {
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
        // A full queue is counted with the next line.
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
        // Nobody reads the log: the router goes on without it.
        if std::io::stdout().write_all(batch.as_bytes()).is_err() {
            return;
        }
        thread::sleep(BATCH_PERIOD);
    }
}
