//! `clemctl explain`: finds out from decision logs how requests ended.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    io::{self, Read},
    path::{Path, PathBuf},
    process::ExitCode,
};

use serde_json::Value;

use super::Explain;
use crate::{
    cause::{LoggedEvent, infer_cause},
    error::{EXIT_NEGATIVE, Error},
};

/// Outcome of a successful request.
const SUCCESS_OUTCOME: &str = "complete";

/// Events that record a state change of the host, a server, the store or the routing; they are shown
/// with the requests that they may have affected.
const STATE_EVENTS: [&str; 9] = [
    "store_lost",
    "stopping",
    "routing_in_force",
    "server_left_alone",
    "server_crashed",
    "server_draining",
    "server_gone",
    "zone_out_of_reach",
    "rollout_status",
];

/// Time before a request's first line from which state changes are shown, milliseconds.
const STATE_EVENTS_LEAD_MS: u64 = 2_000;

/// A line of a host's decision log.
struct Line {
    /// Name of the host: the last word between the time and the JSON object, or the path of the log
    /// file if there is none.
    source: String,
    /// First word before the JSON object, such as a log collector's timestamp; may be empty.
    time: String,
    /// Monotonic time since the start of the host's process, milliseconds.
    ms: u64,
    event: String,
    value: Value,
}

impl Line {
    /// Parses a line, which may begin with a log collector's timestamp and host name; returns `None`
    /// if it holds no log event.
    fn parse(source: &str, text: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let value: Value = serde_json::from_str(&text[begin..]).ok()?;
        let mut words = text[..begin].split_whitespace();
        let time = words.next().unwrap_or_default().to_owned();
        Some(Self {
            source: words.next_back().unwrap_or(source).to_owned(),
            time,
            ms: value["ms"].as_u64()?,
            event: value["event"].as_str()?.to_owned(),
            value,
        })
    }

    /// Returns a text field; empty if it is absent.
    fn text(&self, field: &str) -> &str {
        self.value[field].as_str().unwrap_or_default()
    }

    /// Whether the line's time is `since` or later. The two are compared as numbers if both are
    /// numbers, otherwise as texts.
    fn is_since(&self, since: &str) -> bool {
        match (self.time.parse::<f64>(), since.parse::<f64>()) {
            (Ok(time), Ok(since)) => time >= since,
            _ => self.time.as_str() >= since,
        }
    }

    fn logged_event(&self) -> LoggedEvent<'_> {
        LoggedEvent {
            event: &self.event,
            id: self.text("id"),
            server: self.text("server"),
            why: self.text("why"),
        }
    }

    /// Whether the line concerns request `id`. A refusal has the id in its `server` field, a server
    /// crash in its `why` field.
    fn concerns(&self, id: &str) -> bool {
        ["id", "server", "why"]
            .iter()
            .any(|field| self.text(field) == id)
    }

    /// Prints the line with its time relative to `origin_ms`.
    fn print(&self, origin_ms: u64) {
        let inputs = self.value["inputs"].as_array().cloned().unwrap_or_default();
        let inputs: Vec<String> = inputs
            .iter()
            .map(|pair| format!("{}={}", pair[0].as_str().unwrap_or_default(), pair[1]))
            .collect();
        println!(
            "{:>8} ms  {:<18} {:<16} {}  {}",
            self.ms as i64 - origin_ms as i64,
            self.event,
            self.text("server"),
            self.text("why"),
            inputs.join(" ")
        );
    }
}

impl Explain {
    /// Explains one request, lists the failures of one outcome, or counts all failures. The exit code
    /// is 1 if no line matches.
    pub(crate) fn run(self) -> Result<ExitCode, Error> {
        let mut lines = read_lines(&self.logs)?;
        if let Some(since) = &self.since {
            lines.retain(|line| line.is_since(since));
        }
        let found = match (&self.id, &self.why) {
            (Some(id), _) => print_request(&lines, id),
            (None, Some(why)) => print_failures(&lines, why),
            (None, None) => print_failure_counts(&lines),
        };
        if found {
            return Ok(ExitCode::SUCCESS);
        }
        eprintln!("clemctl: no matching log line");
        if self.id.is_some() {
            print_started_hosts(&lines);
        }
        Ok(ExitCode::from(EXIT_NEGATIVE))
    }
}

fn read_lines(logs: &[PathBuf]) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for path in logs {
        let text = read_log(path).map_err(|source| Error::Read {
            path: path.clone(),
            source,
        })?;
        let source = path.display().to_string();
        lines.extend(text.lines().filter_map(|line| Line::parse(&source, line)));
    }
    Ok(lines)
}

/// Reads a log file; `-` stands for standard input.
fn read_log(path: &Path) -> io::Result<String> {
    if path == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    fs::read_to_string(path)
}

/// Returns the lines of `host` that concern request `id`, and the state changes shortly before and
/// during the request, ordered by time.
fn relevant_lines<'a>(lines: &'a [Line], host: &str, id: &str) -> Vec<&'a Line> {
    let host_lines = || lines.iter().filter(|line| line.source == host);
    let own = || host_lines().filter(|line| line.concerns(id));
    let first = own().map(|line| line.ms).min().unwrap_or_default();
    let last = own().map(|line| line.ms).max().unwrap_or_default();
    let window = first.saturating_sub(STATE_EVENTS_LEAD_MS)..=last;
    let is_relevant = |line: &&Line| {
        let is_state_change =
            STATE_EVENTS.contains(&line.event.as_str()) && window.contains(&line.ms);
        line.concerns(id) || is_state_change
    };
    let mut relevant: Vec<&Line> = host_lines().filter(is_relevant).collect();
    relevant.sort_by_key(|line| line.ms);
    relevant
}

/// Prints the hosts that started. A host that crashes loses the lines that it had not yet written,
/// so a later start may explain a missing request.
fn print_started_hosts(lines: &[Line]) {
    println!(
        "cause: the request reached no host, or its host's process ended first; hosts that started:"
    );
    for line in lines.iter().filter(|line| line.event == "started") {
        println!("{:>12}  {}", line.time, line.source);
    }
}

fn cause_in(lines: &[&Line], id: &str) -> String {
    let events: Vec<LoggedEvent<'_>> = lines.iter().map(|line| line.logged_event()).collect();
    infer_cause(&events, id)
}

/// Prints, for each host that logged request `id`, the relevant lines and the cause of failure.
/// Returns whether there is any.
fn print_request(lines: &[Line], id: &str) -> bool {
    let named = lines.iter().filter(|line| line.concerns(id));
    let hosts: BTreeSet<&str> = named.map(|line| line.source.as_str()).collect();
    for host in &hosts {
        println!("{host}");
        let relevant = relevant_lines(lines, host, id);
        let own = relevant.iter().find(|line| line.concerns(id));
        let origin_ms = own.map_or(0, |line| line.ms);
        for line in &relevant {
            line.print(origin_ms);
        }
        println!("cause: {}", cause_in(&relevant, id));
    }
    !hosts.is_empty()
}

/// Whether the line records the end of an unsuccessful request.
fn is_failure(line: &Line) -> bool {
    matches!(line.event.as_str(), "ended" | "request_refused")
        && line.text("why") != SUCCESS_OUTCOME
}

/// Prints the number of failures by outcome and route, largest first; returns whether there are any.
fn print_failure_counts(lines: &[Line]) -> bool {
    let mut counts: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for line in lines.iter().filter(|line| is_failure(line)) {
        *counts
            .entry((line.text("why"), line.text("route")))
            .or_default() += 1;
    }
    let mut rows: Vec<(&(&str, &str), &u64)> = counts.iter().collect();
    rows.sort_by(|left, right| right.1.cmp(left.1));
    for ((why, route), requests) in &rows {
        println!("{requests:>7}  {route:<16} {why}");
    }
    !rows.is_empty()
}

/// Prints the failures whose outcome contains `why`, each with its time, host, request id and cause;
/// returns whether there are any.
fn print_failures(lines: &[Line], why: &str) -> bool {
    let is_listed = |line: &&Line| is_failure(line) && line.text("why").contains(why);
    let mut found = false;
    for line in lines.iter().filter(is_listed) {
        let id = match line.text("id") {
            "" => line.text("server"),
            id => id,
        };
        let cause = cause_in(&relevant_lines(lines, &line.source, id), id);
        println!("{:>12}  {:<24} {id}  {cause}", line.time, line.source);
        found = true;
    }
    found
}
