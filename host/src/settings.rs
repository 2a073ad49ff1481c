//! Settings of an entry host, read from TOML. All findings are reported at once.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use clementinearch_policy::{
    connection_bounds::CONNECTION_COUNTS,
    findings::Findings,
    names::Name,
    toml_reader::{Table, read_document},
};

use crate::error::Error;

/// Format of the logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

/// Settings of one entry host.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Name of this host, unique in the fleet.
    pub(crate) name: Name,
    /// Availability zone of this host.
    pub(crate) zone: Name,
    /// Listening address for callers.
    pub(crate) callers: SocketAddr,
    /// Listening address for other entry hosts.
    pub(crate) peers: SocketAddr,
    /// Address announced to other entry hosts, by default the one in `peers`.
    pub(crate) advertised_peers: SocketAddr,
    /// Listening address for operators, readiness probes and metrics.
    pub(crate) admin: SocketAddr,
    /// Peer addresses to contact while the platform's host list is unavailable.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Address of the platform's key-value service and host list.
    pub(crate) store: SocketAddr,
    /// Timeout of a call to the store.
    pub(crate) store_timeout: Duration,
    /// Key that signs session tokens, the same on all entry hosts.
    pub(crate) session_secret: Name,
    /// Pools whose servers check request ids. Calls to them need no claim, so they also work while
    /// the store is unavailable.
    pub(crate) pools_checking_ids: Vec<Name>,
    /// Pools whose servers refuse load orders with an outdated fencing number.
    pub(crate) pools_checking_fencing: Vec<Name>,
    /// Duration of a pool's lease, after which another host may acquire it if it was not refreshed.
    pub(crate) order_lease: Duration,
    /// Time between two gossip rounds.
    pub(crate) gossip_period: Duration,
    /// Time since the last confirmation of the configuration after which versions in rollout are no
    /// longer served.
    pub(crate) view_lifetime: Duration,
    /// Time between two checks for bills that are due to be written.
    pub(crate) ledger_period: Duration,
    /// Time within which the load balancer notices that this host is not ready.
    pub(crate) drain_notice: Duration,
    /// Longest wait for running requests during graceful shutdown.
    pub(crate) drain_limit: Duration,
    /// Largest request body, bytes.
    pub(crate) max_body_bytes: u64,
    /// Memory of the process, MB.
    pub(crate) memory_mb: u64,
    /// Descriptors of the process; `None` for its own limit of open files.
    pub(crate) descriptors: Option<u64>,
    /// Most connections of callers; `None` for what the memory allows.
    pub(crate) caller_connections: Option<u64>,
    /// Time limit for a caller to send the head of its request, to send the body, and to resume
    /// reading a stalled stream.
    pub(crate) caller_timeout: Duration,
    /// Longest pause in a model engine's stream before it counts as broken.
    pub(crate) token_timeout: Duration,
    /// Time limit of a request without a deadline of its own.
    pub(crate) default_deadline: Duration,
    /// Format of the logs.
    pub(crate) log_format: LogFormat,
    /// Whether spans of traces are written to standard output.
    pub(crate) export_traces: bool,
}

/// Memory that a process is taken to have unless its settings say otherwise, MB.
const DEFAULT_MEMORY_MB: u64 = 512;

const DAY_MS: u64 = 24 * 3600 * 1000;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or with all findings in it.
    pub(crate) fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&path.display().to_string(), &text).map_err(Error::Settings)
    }

    /// Parses and checks settings in TOML; `source` is the file named in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its line.
    pub(crate) fn parse(source: &str, text: &str) -> Result<Self, Findings> {
        read_document(source, text, |table| {
            let (callers, peers, advertised_peers, admin) = table.table("listen", |listen| {
                let peers = address(listen, "peers");
                let advertised = listen
                    .parsed("advertised_peers", parse_address)
                    .unwrap_or(peers);
                (
                    address(listen, "callers"),
                    peers,
                    advertised,
                    address(listen, "admin"),
                )
            });
            let (store, store_timeout) = table.table("store", |store| {
                (
                    address(store, "address"),
                    store.millis("timeout_ms", 1..=60_000, Duration::from_secs(2)),
                )
            });
            let (pools_checking_ids, pools_checking_fencing) = table.table("pools", |pools| {
                (
                    pools.names("checking_request_ids"),
                    pools.names("checking_fencing_numbers"),
                )
            });
            let limits = table.table("limits", Limits::read);
            let (log_format, export_traces) = table.table("telemetry", |telemetry| {
                let format = telemetry.parsed("log_format", parse_log_format);
                (
                    format.unwrap_or(LogFormat::Text),
                    telemetry.flag("export_traces", false),
                )
            });
            Self {
                name: table.required_name("name"),
                zone: table.required_name("zone"),
                callers,
                peers,
                advertised_peers,
                admin,
                seeds: table.list("seeds", parse_address),
                store,
                store_timeout,
                session_secret: table
                    .required("session_secret", parse_secret)
                    .unwrap_or_else(|| "".into()),
                pools_checking_ids,
                pools_checking_fencing,
                order_lease: limits.order_lease,
                gossip_period: limits.gossip_period,
                view_lifetime: limits.view_lifetime,
                ledger_period: limits.ledger_period,
                drain_notice: limits.drain_notice,
                drain_limit: limits.drain_limit,
                max_body_bytes: limits.max_body_bytes,
                memory_mb: limits.memory_mb,
                descriptors: limits.descriptors,
                caller_connections: limits.caller_connections,
                caller_timeout: limits.caller_timeout,
                token_timeout: limits.token_timeout,
                default_deadline: limits.default_deadline,
                log_format,
                export_traces,
            }
        })
    }
}

/// Values of the `[limits]` table.
struct Limits {
    order_lease: Duration,
    gossip_period: Duration,
    view_lifetime: Duration,
    ledger_period: Duration,
    drain_notice: Duration,
    drain_limit: Duration,
    max_body_bytes: u64,
    memory_mb: u64,
    descriptors: Option<u64>,
    caller_connections: Option<u64>,
    caller_timeout: Duration,
    token_timeout: Duration,
    default_deadline: Duration,
}

impl Limits {
    fn read(table: &mut Table<'_>) -> Self {
        Self {
            order_lease: table.millis("order_lease_ms", 100..=600_000, Duration::from_secs(10)),
            gossip_period: table.millis("gossip_period_ms", 10..=60_000, Duration::from_secs(1)),
            view_lifetime: table.millis("view_lifetime_ms", 100..=DAY_MS, Duration::from_secs(30)),
            ledger_period: table.millis("ledger_period_ms", 10..=600_000, Duration::from_secs(30)),
            drain_notice: table.millis("drain_notice_ms", 0..=600_000, Duration::from_secs(5)),
            drain_limit: table.millis("drain_limit_ms", 0..=DAY_MS, Duration::from_secs(600)),
            max_body_bytes: table.number("max_body_bytes", 1..=1 << 30, 1 << 20),
            memory_mb: table.number("memory_mb", 1..=1 << 20, DEFAULT_MEMORY_MB),
            descriptors: table.optional_number("descriptors", CONNECTION_COUNTS),
            caller_connections: table.optional_number("caller_connections", CONNECTION_COUNTS),
            caller_timeout: table.millis(
                "caller_timeout_ms",
                10..=600_000,
                Duration::from_secs(10),
            ),
            token_timeout: table.millis("token_timeout_ms", 10..=600_000, Duration::from_secs(10)),
            default_deadline: table.millis(
                "default_deadline_ms",
                10..=DAY_MS,
                Duration::from_secs(300),
            ),
        }
    }
}

fn address(table: &mut Table<'_>, key: &str) -> SocketAddr {
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    table.required(key, parse_address).unwrap_or(unset)
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not an IP address and port"))
}

fn parse_secret(text: &str) -> Result<Name, String> {
    const MIN_SECRET_BYTES: usize = 16;
    if text.len() < MIN_SECRET_BYTES {
        // The message leaves the text out because it is a secret.
        return Err(format!("needs at least {MIN_SECRET_BYTES} bytes"));
    }
    Ok(text.into())
}

fn parse_log_format(text: &str) -> Result<LogFormat, String> {
    match text {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err(format!("`{text}` is neither text nor json")),
    }
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
