//! Stand-ins of the platform for the review's scripts: its store, runners of services, clients and
//! the supervisor of entry hosts. They use the standard library alone.

use std::{
    collections::{BTreeMap, VecDeque},
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start of the script.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
        })
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

// ------------------------------------------------------------------------------------------ JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(rows) => rows
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len()
        && (bytes[*at].is_ascii_whitespace() || matches!(bytes[*at], b',' | b':'))
    {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Json {
    skip(bytes, at);
    match bytes.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at) {
                    Some(b'"') => {
                        let key = parse_text(bytes, at);
                        rows.push((key, parse_value(bytes, at)));
                    }
                    _ => {
                        *at += 1;
                        return Json::Table(rows);
                    }
                }
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at) {
                    None | Some(b']') => {
                        *at += 1;
                        return Json::List(list);
                    }
                    _ => list.push(parse_value(bytes, at)),
                }
            }
        }
        Some(b'"') => Json::Text(parse_text(bytes, at)),
        Some(_) => {
            let begin = *at;
            while *at < bytes.len() && !matches!(bytes[*at], b',' | b'}' | b']') {
                *at += 1;
            }
            let word = String::from_utf8_lossy(&bytes[begin..*at])
                .trim()
                .to_owned();
            match word.as_str() {
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                _ => word.parse().map_or(Json::Null, Json::Number),
            }
        }
        None => Json::Null,
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> String {
    *at += 1;
    let mut out = Vec::new();
    while let Some(byte) = bytes.get(*at) {
        *at += 1;
        match byte {
            b'"' => break,
            b'\\' => {
                let escaped = bytes.get(*at).copied().unwrap_or(b'"');
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'u' => *at += 4,
                    other => out.push(other),
                }
            }
            other => out.push(*other),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(BASE64[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(value) = BASE64.iter().position(|it| *it == byte) else {
            continue;
        };
        word = (word << 6) | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}

// ------------------------------------------------------------------------------------------ HTTP

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |it| it.1);
        let rows = query.split('&').filter_map(|row| row.split_once('='));
        let found = rows.filter(|row| row.0 == name).map(|row| unescape(row.1));
        found.last().unwrap_or_default()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|row| row.0 == name);
    found.map_or("", |row| &row.1)
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(size.trim().split(';').next().unwrap_or(""), 16)
                .map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length: usize = find(headers, "content-length").parse().unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a request; an error at the end of the channel.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let (first, headers) = read_headers(reader)?;
    let mut words = first.split(' ');
    let mut request = Request {
        method: words.next().unwrap_or("").to_owned(),
        target: words.next().unwrap_or("").to_owned(),
        headers,
        body: Vec::new(),
    };
    request.body = read_body(reader, &request.headers)?;
    Ok(request)
}

/// Serves each channel of a listener in a thread of its own.
pub fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Send + Sync + 'static) {
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || each(stream));
        }
    });
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the channel ended before a whole head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub is_whole: bool,
    /// Whether the channel could be established.
    pub is_connected: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|row| row.0 == name)
    }
}

/// Reads an answer from a channel, as far as it comes.
pub fn read_answer(reader: &mut impl BufRead) -> Answer {
    let mut answer = Answer::default();
    let Ok((first, headers)) = read_headers(reader) else {
        return answer;
    };
    answer.status = first
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    answer.headers = headers;
    if let Ok(body) = read_body(reader, &answer.headers) {
        answer.body = body;
        answer.is_whole = true;
    }
    answer
}

/// Sends the bytes of a request on a new channel and reads the answer.
pub fn ask(address: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    answer.is_connected = true;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    if stream.write_all(request).is_err() {
        return answer;
    }
    let answer = read_answer(&mut BufReader::new(stream));
    Answer {
        is_connected: true,
        ..answer
    }
}

/// The bytes of a client's request.
pub fn request_bytes(
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u64,
    extra: &str,
    body: &str,
) -> Vec<u8> {
    let length = if method == "GET" && body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{extra}{length}\r\n{body}"
    )
    .into_bytes()
}

// --------------------------------------------------------------------------------------- network

/// An unused 127.x.y.0/24 network.
#[derive(Clone, Copy, Debug)]
pub struct Network(u8, u8);

impl Network {
    pub fn reserve() -> (Self, TcpListener) {
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_nanos() as u64
            ^ (u64::from(std::process::id()) << 20);
        for attempt in 0..200u64 {
            let mixed = (seed + attempt).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
            let network = Self(64 + (mixed % 60) as u8, 1 + (mixed / 64 % 250) as u8);
            if let Ok(listener) = TcpListener::bind(network.at(1, 2380)) {
                return (network, listener);
            }
        }
        panic!("no free network");
    }

    pub fn ip(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, number))
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(number), port)
    }
}

// ----------------------------------------------------------------------------------------- store

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Event {
    key: String,
    /// None if the item was removed.
    item: Option<Item>,
    revision: u64,
}

#[derive(Clone, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    history: VecDeque<Event>,
    /// Changes up to this revision are no longer in the history.
    forgotten_to: u64,
    revision: u64,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
}

#[derive(Default)]
struct StoreState {
    content: Content,
    copy: Option<Content>,
    era: u64,
    is_away: bool,
    next_lease: u64,
}

/// The platform's store.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    pub calls: AtomicU64,
}

const HISTORY_EVENTS: usize = 100_000;

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            calls: AtomicU64::new(0),
        });
        store.state.lock().unwrap().content.revision = 100;
        store.state.lock().unwrap().content.forgotten_to = 100;
        store.state.lock().unwrap().era = 1;
        let of = store.clone();
        serve(listener, move |stream| of.serve_channel(&stream));
        let of = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                of.end_leases();
            }
        });
        store
    }

    /// Writes an item as the operator or a runner does; its revision is the ack. None while the store
    /// is away.
    pub fn put(&self, key: &str, value: &str) -> Option<u64> {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return None;
        }
        let revision = write(&mut state.content, key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
        Some(revision)
    }

    pub fn remove(&self, key: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return false;
        }
        delete(&mut state.content, key);
        self.changed.notify_all();
        true
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let item = state.content.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().content.revision
    }

    pub fn era(&self) -> u64 {
        self.state.lock().unwrap().era
    }

    /// Takes the copy from which a drill restores the store.
    pub fn take_copy(&self) {
        let mut state = self.state.lock().unwrap();
        state.copy = Some(state.content.clone());
    }

    /// The store goes away: channels end, calls get no answer and have no effect.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// The store comes back from the copy, in its next era.
    pub fn come_back_from_copy(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(copy) = state.copy.take() {
            state.content = copy;
        }
        state.era += 1;
        state.is_away = false;
        self.changed.notify_all();
    }

    /// The store comes back with all that it had.
    pub fn come_back(&self) {
        self.state.lock().unwrap().is_away = false;
        self.changed.notify_all();
    }

    fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state
            .content
            .leases
            .iter()
            .filter(|it| it.1.1 <= now)
            .map(|it| *it.0)
            .collect();
        for lease in ended {
            state.content.leases.remove(&lease);
            let keys: Vec<String> = state
                .content
                .items
                .iter()
                .filter(|it| it.1.lease == lease)
                .map(|it| it.0.clone())
                .collect();
            for key in keys {
                delete(&mut state.content, &key);
            }
            self.changed.notify_all();
        }
    }

    fn serve_channel(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            self.calls.fetch_add(1, Ordering::Relaxed);
            let Some((status, body)) = self.respond(&request) else {
                // A channel on which a response is lost returns nothing further.
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            let era = self.era();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut out = stream;
            if out
                .write_all(head.as_bytes())
                .and_then(|()| out.write_all(body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    /// None if the store gives no answer.
    fn respond(&self, request: &Request) -> Option<(u16, String)> {
        if self.state.lock().unwrap().is_away {
            return None;
        }
        let path = request.path();
        match (request.method.as_str(), path) {
            ("GET", "/v1/kv-key") => Some(self.read_key(&request.query("key"))),
            ("GET", "/v1/kv-range") => {
                Some(self.read_range(&request.query("pathPrefix"), &request.query("after")))
            }
            ("GET", "/v1/kv-watch") => {
                let after = request.query("after").parse().unwrap_or(0);
                let wait = request.query("waitMs").parse().unwrap_or(0);
                self.watch(
                    &request.query("pathPrefix"),
                    after,
                    Duration::from_millis(wait),
                )
            }
            ("POST", "/v1/kv-txn") => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                Some(self.transact(&Json::parse(&body)))
            }
            ("POST", "/v1/kv-lease") => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let ttl_ms = Json::parse(&body)
                    .get("ttlMs")
                    .number()
                    .clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = 70_000 + state.next_lease;
                state
                    .content
                    .leases
                    .insert(lease, (ttl, Instant::now() + ttl));
                Some((200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}")))
            }
            ("POST", _) if path.starts_with("/v1/kv-keep/") => {
                let lease = path["/v1/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.content.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        Some((200, format!("{{\"ttlMs\":{}}}", ttl.as_millis())))
                    }
                    None => Some((404, "{}".to_owned())),
                }
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn read_key(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.content.items.get(key) {
            Some(item) => {
                let row = item_row(key, item);
                let row = row.trim_end_matches('}');
                (
                    200,
                    format!("{row},\"storeRevision\":{}}}", state.content.revision),
                )
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> (u16, String) {
        const PAGE: usize = 500;
        let state = self.state.lock().unwrap();
        let wanted = state
            .content
            .items
            .iter()
            .filter(|it| it.0.starts_with(prefix) && it.0.as_str() > after);
        let rows: Vec<String> = wanted
            .take(PAGE + 1)
            .map(|it| item_row(it.0, it.1))
            .collect();
        let is_truncated = rows.len() > PAGE;
        let rows = rows[..rows.len().min(PAGE)].join(",");
        let revision = state.content.revision;
        (
            200,
            format!(
                "{{\"items\":[{rows}],\"truncated\":{is_truncated},\"storeRevision\":{revision}}}"
            ),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let end = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = self.state.lock().unwrap();
        loop {
            if state.is_away {
                return None;
            }
            if after < state.content.forgotten_to || after > state.content.revision {
                // History that is no longer there, or a revision that the store doesn't have.
                return Some((410, "{}".to_owned()));
            }
            let of_prefix =
                |event: &&Event| event.revision > after && event.key.starts_with(prefix);
            let events: Vec<String> = state
                .content
                .history
                .iter()
                .filter(of_prefix)
                .map(event_row)
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let revision = state.content.revision;
                return Some((
                    200,
                    format!(
                        "{{\"events\":[{}],\"storeRevision\":{revision}}}",
                        events.join(",")
                    ),
                ));
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        for row in body.get("expectedRevision").list() {
            let key = row.get("key").text();
            let revision = state.content.items.get(key).map_or(0, |item| item.revision);
            if revision != row.get("revision").number() {
                let rows: Vec<String> = body
                    .get("expectedRevision")
                    .list()
                    .iter()
                    .filter_map(|row| {
                        let key = row.get("key").text();
                        state.content.items.get(key).map(|item| item_row(key, item))
                    })
                    .collect();
                return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
            }
        }
        for row in body.get("writes").list() {
            let key = row.get("key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            let lease = row.get("lease").number();
            if lease != 0 && !state.content.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for row in body.get("writes").list() {
            let value = from_base64(row.get("value").text());
            write(
                &mut state.content,
                row.get("key").text(),
                value,
                row.get("lease").number(),
            );
        }
        for key in body.get("remove").list() {
            delete(&mut state.content, key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.content.revision))
    }
}

fn item_row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn event_row(event: &Event) -> String {
    match &event.item {
        Some(item) => item_row(&event.key, item),
        None => format!(
            "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
            quote(&event.key),
            event.revision
        ),
    }
}

fn record(content: &mut Content, event: Event) {
    content.history.push_back(event);
    if content.history.len() > HISTORY_EVENTS
        && let Some(event) = content.history.pop_front()
    {
        content.forgotten_to = event.revision;
    }
}

fn write(content: &mut Content, key: &str, value: Vec<u8>, lease: u64) -> u64 {
    content.revision += 1;
    let revision = content.revision;
    let created = content.items.get(key).map_or(revision, |item| item.created);
    let item = Item {
        value,
        revision,
        created,
        lease,
    };
    content.items.insert(key.to_owned(), item.clone());
    record(
        content,
        Event {
            key: key.to_owned(),
            item: Some(item),
            revision,
        },
    );
    revision
}

fn delete(content: &mut Content, key: &str) {
    if content.items.remove(key).is_some() {
        content.revision += 1;
        let revision = content.revision;
        record(
            content,
            Event {
                key: key.to_owned(),
                item: None,
                revision,
            },
        );
    }
}

// --------------------------------------------------------------------------------------- runners

/// A request as a runner got it.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub runner: String,
    pub service: String,
    pub id: String,
    pub path: String,
    pub tenant: String,
}

/// How a runner treats a request that is meant for it. It may write to the channel; what it returns
/// says whether the channel is kept.
pub type Work = dyn Fn(&Runner, &Request, &TcpStream) -> bool + Send + Sync;

pub struct Runner {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub born: AtomicU64,
    pub state: Mutex<&'static str>,
    pub is_beating: AtomicBool,
    pub active: AtomicUsize,
    pub record: Arc<Record>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    sequence: AtomicU64,
    work: Box<Work>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Runner {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
        (id, service, version, zone): (&str, &str, &str, &str),
        slots: u32,
        address: SocketAddr,
        work: impl Fn(&Runner, &Request, &TcpStream) -> bool + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a runner's address is free");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: zone.to_owned(),
            slots,
            address,
            born: AtomicU64::new(unix_ms()),
            state: Mutex::new("ready"),
            is_beating: AtomicBool::new(true),
            active: AtomicUsize::new(0),
            record: record.clone(),
            runs: runs.clone(),
            sequence: AtomicU64::new(0),
            work: Box::new(work),
        });
        let of = runner.clone();
        serve(listener, move |stream| of.serve_channel(&stream));
        let (of, store) = (runner.clone(), store.clone());
        thread::spawn(move || {
            loop {
                of.beat(&store);
                thread::sleep(HEARTBEAT);
            }
        });
        runner
    }

    /// Writes the runner's entry once, as every heartbeat does.
    pub fn beat(&self, store: &Store) {
        if !self.is_beating.load(Ordering::Relaxed) {
            return;
        }
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"{}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.version,
            self.slots,
            self.state.lock().unwrap(),
            self.born.load(Ordering::Relaxed)
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn serve_channel(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            if request.path() == "/health" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                let mut out = stream;
                if out.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != self.id {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                let mut out = stream;
                if out.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !(self.work)(self, &request, stream) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Notes that the runner begins to work on a request.
    pub fn begin(&self, request: &Request) {
        let run = Run {
            at_ms: self.record.ms(),
            runner: self.id.clone(),
            service: self.service.clone(),
            id: request.header("attempt-id").to_owned(),
            path: request.target.clone(),
            tenant: request.header("tenant").to_owned(),
        };
        self.record.line(&format!(
            "run      {} {} at {} ({}) for tenant {}",
            run.id, run.path, run.runner, run.service, run.tenant
        ));
        self.runs.lock().unwrap().push(run);
        self.active.fetch_add(1, Ordering::Relaxed);
    }

    pub fn end(&self) {
        self.active.fetch_sub(1, Ordering::Relaxed);
    }

    /// Headers of an answer to a request, without its length.
    pub fn head(&self, request: &Request, status: &str) -> String {
        let id = request.header("attempt-id");
        format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Seal: {}.{id}\r\nServer-Load: {},0,{}\r\nKeep-Alive: timeout=15\r\n",
            self.id,
            self.active.load(Ordering::Relaxed),
            self.slots
        )
    }
}

/// Work of a plain service: each request takes `work`, and its answer names runner and service.
pub fn plain_work(work: Duration) -> impl Fn(&Runner, &Request, &TcpStream) -> bool + Send + Sync {
    move |runner, request, stream| {
        runner.begin(request);
        thread::sleep(work);
        runner.end();
        let body = format!("{} {}", runner.service, runner.id);
        let head = runner.head(request, "200 OK");
        let answer = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        let mut out = stream;
        out.write_all(answer.as_bytes()).is_ok()
    }
}

// ----------------------------------------------------------------------------------------- hosts

/// An entry host as a process of its own.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

impl Host {
    /// Fills in the project's template of a host's settings. The bounds are those of the small sites.
    pub fn new(
        folder: &Folder,
        network: Network,
        number: u8,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> Self {
        let ip = network.ip(10 + number);
        let host = Self {
            name: name.to_owned(),
            front: SocketAddr::new(ip, 8227),
            readiness: SocketAddr::new(ip, 8220),
            control: SocketAddr::new(ip, 8229),
            peers: SocketAddr::new(ip, 7340),
            settings: folder.0.join(format!("{name}.toml")),
            log: folder.0.join(format!("{name}.log")),
            child: None,
        };
        let template = fs::read_to_string("deploy/settings.toml").expect("the settings' template");
        let values = [
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", host.front.to_string()),
            ("listen.readiness", host.readiness.to_string()),
            ("listen.control", host.control.to_string()),
            ("ip", ip.to_string()),
            ("internalPorts.0", "7340".to_owned()),
            ("platform.address", store.to_string()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.retryBudgetRatio", "0.9".to_owned()),
            ("bounds.retryBudgetSlack", "54".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.sessionS", "5".to_owned()),
            ("bounds.exposureShare", "0.15".to_owned()),
        ];
        let mut text = template;
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        fs::write(&host.settings, text).expect("the settings can be written");
        host
    }

    /// Changes the settings file, as the platform does when the settings change.
    pub fn set(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).expect("the settings can be read");
        assert!(text.contains(from), "the settings have no {from}");
        fs::write(&self.settings, text.replace(from, to)).expect("the settings can be written");
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/clementinearch")
            .args(["route", "--settings"])
            .arg(&self.settings)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("CLEMENTINEARCH_SETTINGS", &self.settings)
            .env("CLEMENTINEARCH_LINK_MBPS", "1000.0")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(e) => {
                eprintln!("cannot start the host: {e}");
                std::process::exit(2);
            }
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([format!("-{name}"), self.pid().to_string()])
            .status();
    }

    /// Whether the process has ended, and with what.
    pub fn has_ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: node\r\n\r\n";
        ask(self.readiness, request, Duration::from_secs(1)).status == 200
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// What the host tells operators.
    pub fn status(&self) -> String {
        let request = b"GET /status HTTP/1.1\r\nHost: node\r\n\r\n";
        let answer = ask(self.control, request, Duration::from_secs(1));
        String::from_utf8_lossy(&answer.body).into_owned()
    }

    /// Resident memory of the process, kB.
    pub fn resident_kb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or("");
        line.split_whitespace()
            .nth(1)
            .and_then(|it| it.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Part of a core that a machine of the small sites has, and the time in which it is counted.
const PROCESSOR_SHARE: f64 = 0.25;
const CAP_PERIOD: Duration = Duration::from_millis(100);

/// Caps a process's use of the processor for as long as it runs: it runs at full speed until its share
/// of a tenth of a second is used up, and then not at all for the rest of it.
pub fn cap_processor(pid: u32) {
    let signal = move |name: &str| {
        let _ = Command::new("kill")
            .args([format!("-{name}"), pid.to_string()])
            .stderr(Stdio::null())
            .status();
    };
    let share = CAP_PERIOD.mul_f64(PROCESSOR_SHARE).as_nanos() as u64;
    thread::spawn(move || {
        while fs::metadata(format!("/proc/{pid}")).is_ok() {
            let began = Instant::now();
            let before = processor_ns(pid);
            let mut is_stopped = false;
            while began.elapsed() < CAP_PERIOD {
                if !is_stopped && processor_ns(pid).saturating_sub(before) > share {
                    signal("STOP");
                    is_stopped = true;
                }
                sleep_ms(2);
            }
            if is_stopped {
                signal("CONT");
            }
        }
    });
}

/// Processor time that the threads of a process have used, nanoseconds.
fn processor_ns(pid: u32) -> u64 {
    let threads = fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let used = threads.filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    used.sum()
}

/// Waits until `is_done`; returns whether that was in time.
pub fn wait_until(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_done() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Whether the script plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
