//! `clemctl explain`.

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
    cause::{Told, cause},
    error::{EXIT_NOT_IN_FORCE, Error},
};

/// How a request ended that nobody need explain.
const ENDED_WELL: &str = "complete";

/// Events that concern what a host believed while a request ran.
const BELIEFS: [&str; 9] = [
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

/// Time before a request's first line, in milliseconds, from which beliefs are told.
const BELIEFS_BEFORE_MS: u64 = 2_000;

/// A line of a host's log.
struct Line {
    source: String,
    /// First word before the object, such as a collector's time.
    time: String,
    ms: u64,
    event: String,
    value: Value,
}

impl Line {
    /// Reads a line; what stands before the object, such as a collector's time, is passed over.
    fn read(source: &str, text: &str) -> Option<Self> {
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

    fn text(&self, field: &str) -> &str {
        self.value[field].as_str().unwrap_or_default()
    }

    /// Whether a collector took the line in at `since` or later; numbers are compared as such.
    fn is_since(&self, since: &str) -> bool {
        match (self.time.parse::<f64>(), since.parse::<f64>()) {
            (Ok(time), Ok(since)) => time >= since,
            _ => self.time.as_str() >= since,
        }
    }

    fn told(&self) -> Told<'_> {
        Told {
            event: &self.event,
            id: self.text("id"),
            server: self.text("server"),
            why: self.text("why"),
        }
    }

    /// Whether the line is about a request: some beliefs name it elsewhere.
    fn names(&self, id: &str) -> bool {
        ["id", "server", "why"]
            .iter()
            .any(|field| self.text(field) == id)
    }

    fn print(&self, since: u64) {
        let inputs = self.value["inputs"].as_array().cloned().unwrap_or_default();
        let inputs: Vec<String> = inputs
            .iter()
            .map(|pair| format!("{}={}", pair[0].as_str().unwrap_or_default(), pair[1]))
            .collect();
        println!(
            "{:>8} ms  {:<18} {:<16} {}  {}",
            self.ms as i64 - since as i64,
            self.event,
            self.text("server"),
            self.text("why"),
            inputs.join(" ")
        );
    }
}

impl Explain {
    /// Tells the story of a request, or counts how requests ended; exit code 1 if nothing was found.
    pub(crate) fn run(self) -> Result<ExitCode, Error> {
        let mut lines = read_all(&self.logs)?;
        if let Some(since) = &self.since {
            lines.retain(|line| line.is_since(since));
        }
        let found = match (&self.id, &self.why) {
            (Some(id), _) => tell(&lines, id),
            (None, Some(why)) => list(&lines, why),
            (None, None) => count(&lines),
        };
        if found {
            return Ok(ExitCode::SUCCESS);
        }
        eprintln!("clemctl: no line tells of it");
        if self.id.is_some() {
            tell_starts(&lines);
        }
        Ok(ExitCode::from(EXIT_NOT_IN_FORCE))
    }
}

fn read_all(logs: &[PathBuf]) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for path in logs {
        let text = read(path).map_err(|source| Error::Read {
            path: path.clone(),
            source,
        })?;
        let source = path.display().to_string();
        lines.extend(text.lines().filter_map(|line| Line::read(&source, line)));
    }
    Ok(lines)
}

fn read(path: &Path) -> io::Result<String> {
    if path == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    fs::read_to_string(path)
}

/// The lines of one host that tell a request's story, in their order.
fn story<'a>(lines: &'a [Line], host: &str, id: &str) -> Vec<&'a Line> {
    let of_host = || lines.iter().filter(|line| line.source == host);
    let own = || of_host().filter(|line| line.names(id));
    let first = own().map(|line| line.ms).min().unwrap_or_default();
    let last = own().map(|line| line.ms).max().unwrap_or_default();
    let around = first.saturating_sub(BELIEFS_BEFORE_MS)..=last;
    let is_told = |line: &&Line| {
        let is_belief = BELIEFS.contains(&line.event.as_str()) && around.contains(&line.ms);
        line.names(id) || is_belief
    };
    let mut story: Vec<&Line> = of_host().filter(is_told).collect();
    story.sort_by_key(|line| line.ms);
    story
}

/// Prints which hosts started, since a host that ends takes the lines of its requests along.
fn tell_starts(lines: &[Line]) {
    println!("cause: it reached no host, or its host ended before its end; hosts that started:");
    for line in lines.iter().filter(|line| line.event == "started") {
        println!("{:>12}  {}", line.time, line.source);
    }
}

fn cause_in(story: &[&Line], id: &str) -> String {
    let told: Vec<Told<'_>> = story.iter().map(|line| line.told()).collect();
    cause(&told, id)
}

/// Prints a request's lines by host, with what the host came to believe meanwhile, and the cause.
fn tell(lines: &[Line], id: &str) -> bool {
    let named = lines.iter().filter(|line| line.names(id));
    let hosts: BTreeSet<&str> = named.map(|line| line.source.as_str()).collect();
    for host in &hosts {
        println!("{host}");
        let story = story(lines, host, id);
        let own = story.iter().find(|line| line.names(id));
        let since = own.map_or(0, |line| line.ms);
        for line in &story {
            line.print(since);
        }
        println!("cause: {}", cause_in(&story, id));
    }
    !hosts.is_empty()
}

/// Whether the line ends a request that somebody may ask about.
fn is_failure(line: &Line) -> bool {
    matches!(line.event.as_str(), "ended" | "request_refused") && line.text("why") != ENDED_WELL
}

/// Prints how many requests ended in each way, by route.
fn count(lines: &[Line]) -> bool {
    let mut endings: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for line in lines.iter().filter(|line| is_failure(line)) {
        *endings
            .entry((line.text("why"), line.text("route")))
            .or_default() += 1;
    }
    let mut rows: Vec<(&(&str, &str), &u64)> = endings.iter().collect();
    rows.sort_by(|left, right| right.1.cmp(left.1));
    for ((why, route), requests) in &rows {
        println!("{requests:>7}  {route:<16} {why}");
    }
    !rows.is_empty()
}

/// Prints the requests that ended in a way that contains `why`, each with its host and cause.
fn list(lines: &[Line], why: &str) -> bool {
    let wanted = |line: &&Line| is_failure(line) && line.text("why").contains(why);
    let mut found = false;
    for line in lines.iter().filter(wanted) {
        let id = match line.text("id") {
            "" => line.text("server"),
            id => id,
        };
        let cause = cause_in(&story(lines, &line.source, id), id);
        println!("{:>12}  {:<24} {id}  {cause}", line.time, line.source);
        found = true;
    }
    found
}
