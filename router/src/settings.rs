//! Settings of an entry host, read from TOML with all findings reported at once.

use std::{net::SocketAddr, time::Duration};

use clementinearch_policy::{
    connection_bounds::CONNECTION_COUNTS,
    findings::Findings,
    names::{FastMap, Name},
    retry_budget::RetryLimit,
    time::span_from_millis,
    toml_reader::{Table, read_document},
};

/// Bytes of a megabyte.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Memory that a process is taken to have unless it is told, bytes.
const DEFAULT_MEMORY_BYTES: u64 = 128_000_000;

/// Shortest window in which retries are counted.
const MIN_RETRY_WINDOW: Duration = Duration::from_secs(1);

/// Least share of a service's requests that a new version gets: without any it could not be judged.
const MIN_EXPOSURE: f64 = 0.01;

/// Addresses that the host listens on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Requests of callers, over HTTP.
    pub callers: SocketAddr,
    /// Readiness probes of the load balancer.
    pub readiness: SocketAddr,
    /// Other entry hosts, over TCP and UDP.
    pub peers: SocketAddr,
    /// Metrics and status for operators.
    pub admin: SocketAddr,
}

impl Listen {
    /// Returns all addresses.
    pub(crate) fn all(&self) -> [SocketAddr; 4] {
        [self.callers, self.readiness, self.peers, self.admin]
    }
}

/// Limits of the host.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest duration of a graceful shutdown.
    pub grace: Duration,
    /// Most log lines per second; details of successful requests are dropped above half of it.
    pub log_lines_per_s: u64,
    /// Time between two reads of changes from the store, before jitter.
    pub view_period: Duration,
    /// Time between two reports to peers.
    pub gossip_period: Duration,
    /// Rate of the host's link, Mbit/s, if it is known.
    pub link_mbps: Option<f64>,
    /// Memory of the process, bytes.
    pub memory_bytes: u64,
    /// Descriptors of the process; `None` for its own limit of open files.
    pub descriptors: Option<u64>,
    /// Time after which an evacuated zone gets no more requests; `None` if zones are not evacuated.
    pub evacuation: Option<Duration>,
    /// Most connections of callers; `None` for what the memory allows.
    pub caller_connections: Option<u64>,
    /// Whether servers that start or recover get their requests in a slow start.
    pub ramp_up: bool,
}

/// Bounds that hold for the whole fleet.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Retries that the hosts of the fleet may send together.
    pub retries: RetryLimit,
    /// Longest pause between two requests of a session.
    pub session_timeout: Duration,
    /// Largest share of a service's requests within the time limit of a rollout that a bad version
    /// may get, from 0 to 1.
    pub max_exposure: f64,
    /// Requests that such a version may get beyond that share.
    pub exposure_slack: f64,
}

/// Settings of one entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host, unique in the fleet.
    pub name: Name,
    /// Availability zone of this host.
    pub zone: Name,
    /// Where it listens.
    pub listen: Listen,
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Limits of the host.
    pub limits: Limits,
    /// Bounds that hold for the whole fleet.
    pub bounds: Bounds,
    /// Least confidence, from 0 to 100, at which a small model's answer is forwarded, by priority.
    pub accepted_confidence: Vec<u8>,
    /// Region of each zone. A zone without one is in no region.
    pub regions: FastMap<Name, Name>,
}

impl Settings {
    /// Sets the rate of the host's link, Mbit/s, unless the file names one. An empty text names none.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    pub fn with_link_rate(mut self, text: &str) -> Result<Self, String> {
        if self.limits.link_mbps.is_none() && !text.is_empty() {
            self.limits.link_mbps = Some(parse_rate(text)?);
        }
        Ok(self)
    }

    /// Sets the memory of the process from a text in MB. An empty text leaves the file's setting, or
    /// the default.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    pub fn with_memory(mut self, text: &str) -> Result<Self, String> {
        if !text.is_empty()
            && let Some(bytes) = memory_bytes(parse_non_negative(text)?)
        {
            self.limits.memory_bytes = bytes;
        }
        Ok(self)
    }

    /// Sets the time after which an evacuated zone gets no more requests, from a text in
    /// milliseconds, unless the file names one. An empty text names none.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    pub fn with_evacuation(mut self, text: &str) -> Result<Self, String> {
        if self.limits.evacuation.is_none() && !text.is_empty() {
            self.limits.evacuation = Some(parse_millis(text)?);
        }
        Ok(self)
    }

    /// Adds regions of zones from a JSON object of texts by zone, for zones that the file names none
    /// for. An empty text, or `null` of a template whose source has none, names none.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    pub fn with_regions(mut self, text: &str) -> Result<Self, String> {
        if !text.trim().is_empty() {
            let regions: Option<FastMap<Name, Name>> =
                serde_json::from_str(text).map_err(|e| format!("`{text}`: {e}"))?;
            for (zone, region) in regions.unwrap_or_default() {
                self.regions.entry(zone).or_insert(region);
            }
        }
        Ok(self)
    }

    /// Parses and checks settings in TOML; `source` names the file in findings. A figure without a
    /// value, which a template leaves where its source has none, counts as absent.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its line.
    pub fn parse(source: &str, text: &str) -> Result<Self, Findings> {
        let text = without_empty_figures(text);
        read_document(source, &text, |table| Self {
            name: table.required_name("name"),
            zone: table.required_name("zone"),
            listen: table.table("listen", |listen| Listen {
                callers: address(listen, "callers"),
                readiness: address(listen, "readiness"),
                peers: address(listen, "peers"),
                admin: address(listen, "admin"),
            }),
            store: table.table("store", |store| address(store, "address")),
            limits: table.table("limits", read_limits),
            bounds: table.table("bounds", read_bounds),
            accepted_confidence: table.table("sizing", |sizing| {
                sizing.list("accepted_confidence", parse_confidence)
            }),
            regions: table.table("regions", |regions| {
                regions.names_by_key().into_iter().collect()
            }),
        })
    }
}

/// Figures that a template fills in without quotes.
const PLAIN_FIGURES: [&str; 3] = ["grace_s", "repeat_slack", "repeat_window_s"];

/// Returns the text with an empty line for each figure that has no value, which is no TOML.
fn without_empty_figures(text: &str) -> String {
    let is_empty = |line: &str| {
        let (key, value) = line.split_once('=')?;
        Some(PLAIN_FIGURES.contains(&key.trim()) && value.trim().is_empty())
    };
    let lines = text.lines().map(|line| match is_empty(line) {
        Some(true) => "",
        _ => line,
    });
    lines.flat_map(|line| [line, "\n"]).collect()
}

fn read_limits(table: &mut Table<'_>) -> Limits {
    const DEFAULT_GRACE: Duration = Duration::from_secs(8);
    const DEFAULT_LOG_LINES_PER_S: u64 = 200;
    let memory = table.figure("memory_mb").and_then(memory_bytes);
    Limits {
        grace: table.seconds("grace_s").unwrap_or(DEFAULT_GRACE),
        log_lines_per_s: table.number("log_lines_per_s", 1..=1_000_000, DEFAULT_LOG_LINES_PER_S),
        view_period: table.millis("view_period_ms", 10..=60_000, Duration::from_millis(700)),
        gossip_period: table.millis("gossip_period_ms", 10..=60_000, Duration::from_millis(500)),
        link_mbps: table.parsed("link_mbps", parse_rate),
        memory_bytes: memory.unwrap_or(DEFAULT_MEMORY_BYTES),
        descriptors: table.optional_number("descriptors", CONNECTION_COUNTS),
        evacuation: table.parsed("evacuation_ms", parse_millis),
        caller_connections: table.optional_number("caller_connections", CONNECTION_COUNTS),
        ramp_up: table.flag("ramp_up", false),
    }
}

fn read_bounds(table: &mut Table<'_>) -> Bounds {
    const DEFAULT_RETRY_RATIO: f64 = 0.2;
    const DEFAULT_RETRY_SLACK: f64 = 10.0;
    const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
    const DEFAULT_SESSION: Duration = Duration::from_secs(5);
    const DEFAULT_EXPOSURE: f64 = 0.15;
    let exposure = table.figure("rollout_exposure").unwrap_or(DEFAULT_EXPOSURE);
    let window = table.seconds("repeat_window_s");
    let window = window.unwrap_or(DEFAULT_RETRY_WINDOW);
    Bounds {
        retries: RetryLimit {
            ratio: table.figure("repeat_ratio").unwrap_or(DEFAULT_RETRY_RATIO),
            slack: table.figure("repeat_slack").unwrap_or(DEFAULT_RETRY_SLACK),
            window: window.max(MIN_RETRY_WINDOW),
        },
        session_timeout: table.seconds("session_s").unwrap_or(DEFAULT_SESSION),
        max_exposure: exposure.clamp(MIN_EXPOSURE, 1.0),
        exposure_slack: table
            .figure("rollout_exposure_requests")
            .unwrap_or_default(),
    }
}

/// Returns the bytes of a number of MB; `None` if it is zero.
fn memory_bytes(mb: f64) -> Option<u64> {
    (mb > 0.0).then_some((mb * BYTES_PER_MB) as u64)
}

fn parse_confidence(text: &str) -> Result<u8, String> {
    match text.parse() {
        Ok(confidence) if confidence <= 100 => Ok(confidence),
        _ => Err(format!("`{text}` is not a whole number from 0 to 100")),
    }
}

fn parse_rate(text: &str) -> Result<f64, String> {
    match parse_non_negative(text) {
        Ok(rate) if rate > 0.0 => Ok(rate),
        _ => Err(format!("`{text}` is not a rate above 0")),
    }
}

fn parse_millis(text: &str) -> Result<Duration, String> {
    span_from_millis(parse_non_negative(text)?).map_err(|e| e.to_string())
}

fn parse_non_negative(text: &str) -> Result<f64, String> {
    let value: f64 = text
        .parse()
        .map_err(|_| format!("`{text}` is not a number"))?;
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(format!("`{text}` is not a non-negative number"))
    }
}

fn address(table: &mut Table<'_>, key: &str) -> SocketAddr {
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    let parse = |text: &str| {
        text.parse::<SocketAddr>()
            .map_err(|_| format!("`{text}` is not an IP address and port"))
    };
    table.required(key, parse).unwrap_or(unset)
}
