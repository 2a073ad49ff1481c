//! Compact rows on the load of servers, as hosts send them to each other.
//!
//! Rows are packed into base64 text, since datagrams are JSON: 90 rows take 1.4 KB, where JSON
//! numbers would take 4 KB.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};

/// Number of the row format, the first byte of packed rows. Rows of other formats are skipped.
const FORMAT: u8 = 1;

/// Length of a row, bytes.
const ROW_BYTES: usize = 12;

/// Largest number of running or waiting requests in a row. It is larger than any server.
pub const MAX_REQUESTS: u32 = 4_000;

/// Longest time until prompts are prefilled in a row.
pub const MAX_PENDING: Duration = Duration::from_secs(60);

/// Largest duration of work relative to normal, percent.
pub const MAX_SLOWDOWN: u32 = 1_000;

/// Unit of the duration of work in a row, percent.
const SLOWDOWN_STEP: u32 = 10;

/// Number of durations of work in a row, none included. They share a byte with the outcome, so that
/// longer ones count as 840 percent.
const SLOWDOWNS: u8 = 85;

/// Unit of ages in a row, milliseconds.
const AGE_STEP_MS: u64 = 10;

/// Age in a row that stands for no figure.
const NO_FIGURE: u8 = u8::MAX;

/// Outcomes of responses in a row.
const NO_OUTCOME: u8 = 0;
const SUCCESS: u8 = 1;
const FAILURE: u8 = 2;

/// Number of bits of the numbers of requests.
const REQUEST_BITS: u32 = 12;

/// The load that a server named in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Duration of work relative to normal, percent; none if the server does not name it.
    pub slowdown: Option<u32>,
    /// Whether the response was a failure of the server; none if it did not run the request.
    pub has_failed: Option<bool>,
}

/// What one host tells others of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadRow {
    /// Part of the hash of the server's name, as [`server_key`] returns it.
    pub server: u32,
    /// The server's newest load, and the age of the response that named it.
    pub load: Option<(ServerLoad, Duration)>,
    /// Time until the prompts that were sent there are prefilled, and the age of that estimate: the
    /// time is counted from now, but was estimated earlier.
    pub pending: Option<(Duration, Duration)>,
}

/// Returns the part of the hash of a server's name that stands for the server in rows. Among 90
/// servers, two have the same part with a probability of 1 in a million.
pub fn server_key(name_hash: u64) -> u32 {
    name_hash as u32
}

/// Packs rows into text.
pub fn pack(rows: &[LoadRow]) -> String {
    let mut buf = Vec::with_capacity(1 + rows.len() * ROW_BYTES);
    buf.push(FORMAT);
    for row in rows {
        pack_row(row, &mut buf);
    }
    STANDARD_NO_PAD.encode(buf)
}

fn pack_row(row: &LoadRow, buf: &mut Vec<u8>) {
    let (load, load_age) = row.load.map_or((None, NO_FIGURE), |(load, age)| {
        let is_sane = load.running <= MAX_REQUESTS && load.waiting <= MAX_REQUESTS;
        (Some(load), if is_sane { pack_age(age) } else { NO_FIGURE })
    });
    let (running, waiting, slowdown) = load.map_or((0, 0, 0), |load| {
        let steps = load.slowdown.map_or(0, |it| it.min(MAX_SLOWDOWN));
        let steps = (steps.div_ceil(SLOWDOWN_STEP) as u8).min(SLOWDOWNS - 1);
        let bounded = |number: u32| number.min(MAX_REQUESTS);
        (bounded(load.running), bounded(load.waiting), steps)
    });
    let outcome = match load.and_then(|load| load.has_failed) {
        None => NO_OUTCOME,
        Some(false) => SUCCESS,
        Some(true) => FAILURE,
    };
    let (pending, pending_age) = row.pending.map_or((0, NO_FIGURE), |(span, age)| {
        (span.min(MAX_PENDING).as_millis() as u16, pack_age(age))
    });
    let requests = running | waiting << REQUEST_BITS;
    buf.extend(row.server.to_le_bytes());
    buf.extend(&requests.to_le_bytes()[..3]);
    buf.extend(pending.to_le_bytes());
    buf.extend([outcome * SLOWDOWNS + slowdown, load_age, pending_age]);
}

/// Rounds an age up, with one step more for the way: a row that is passed on never gets younger, so
/// that a host does not take its own report for a newer one when it comes back.
fn pack_age(age: Duration) -> u8 {
    let steps = (age.as_millis() as u64).div_ceil(AGE_STEP_MS) + 1;
    steps.min(u64::from(NO_FIGURE)) as u8
}

/// Unpacks rows. Odd rows are left out, and rows of another format all.
pub fn unpack(text: &str) -> Vec<LoadRow> {
    let Ok(bytes) = STANDARD_NO_PAD.decode(text) else {
        return Vec::new();
    };
    match bytes.split_first() {
        Some((&FORMAT, rows)) => rows
            .as_chunks::<ROW_BYTES>()
            .0
            .iter()
            .filter_map(unpack_row)
            .collect(),
        _ => Vec::new(),
    }
}

fn unpack_row(row: &[u8; ROW_BYTES]) -> Option<LoadRow> {
    let [
        a,
        b,
        c,
        d,
        low,
        middle,
        high,
        ms_low,
        ms_high,
        work,
        load_age,
        pending_age,
    ] = *row;
    let requests = u32::from_le_bytes([low, middle, high, 0]);
    let (outcome, slowdown) = (work / SLOWDOWNS, work % SLOWDOWNS);
    let slowdown = u32::from(slowdown) * SLOWDOWN_STEP;
    let load = ServerLoad {
        running: requests & ((1 << REQUEST_BITS) - 1),
        waiting: requests >> REQUEST_BITS,
        slowdown: Some(slowdown).filter(|it| *it != 0),
        has_failed: (outcome != NO_OUTCOME).then_some(outcome == FAILURE),
    };
    let pending = Duration::from_millis(u64::from(u16::from_le_bytes([ms_low, ms_high])));
    let is_sane = load.running <= MAX_REQUESTS
        && load.waiting <= MAX_REQUESTS
        && load.slowdown.is_none_or(|it| it <= MAX_SLOWDOWN)
        && outcome <= FAILURE
        && pending <= MAX_PENDING;
    let age = |steps: u8| {
        (steps != NO_FIGURE).then(|| Duration::from_millis(u64::from(steps) * AGE_STEP_MS))
    };
    let row = LoadRow {
        server: u32::from_le_bytes([a, b, c, d]),
        load: age(load_age).map(|age| (load, age)),
        pending: age(pending_age).map(|age| (pending, age)),
    };
    (is_sane && (row.load.is_some() || row.pending.is_some())).then_some(row)
}
