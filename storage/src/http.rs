//! HTTP client of the platform's key-value service and host list.

use std::{
    io::{self, Read},
    net::SocketAddr,
    time::Duration,
};

use clementinearch_border::HostEntry;
use clementinearch_policy::addresses::check_address;
use oxhttp::{
    Client,
    model::{Body, Method, Request, Response, StatusCode, header::HeaderValue},
};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    key_store::UnreadableItem,
    store::{HostSource, ListedHosts, Purpose, PutOutcome, Store, StoreError, Versioned},
};

/// Header that carries the version of a key.
const VERSION_HEADER: &str = "x-version";

/// Largest response that is read, bytes.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Time allowed for the response to a watch after its waiting time has passed.
const WATCH_GRACE: Duration = Duration::from_secs(1);

/// [`Store`] and [`HostSource`] over HTTP, with a new connection for each call.
pub struct HttpStore {
    address: SocketAddr,
    caller: String,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a client that sends `caller` as its name and times out after two seconds.
    pub fn new(address: SocketAddr, caller: &str) -> Self {
        const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
        Self {
            address,
            caller: caller.to_owned(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sets the time limit of each step of a call; a watch has its waiting time plus one second.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn call(
        &self,
        method: Method,
        path: &str,
        body: String,
        purpose: Purpose,
        timeout: Duration,
    ) -> Result<Response<Body>, StoreError> {
        metrics::counter!("clementinearch_store_calls_total", "purpose" => purpose.to_string())
            .increment(1);
        let invalid_request = |e: &dyn std::fmt::Display| StoreError::Refused {
            reason: e.to_string(),
        };
        let caller = HeaderValue::from_str(&self.caller).map_err(|e| invalid_request(&e))?;
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("x-caller", caller)
            .header("x-purpose", purpose.to_string())
            .body(Body::from(body))
            .map_err(|e| invalid_request(&e))?;
        let response = Client::new().with_global_timeout(timeout).request(req);
        response.map_err(|e| transport_error(&e))
    }
}

/// Classifies a transport error: only a refused connection proves that the call had no effect.
fn transport_error(e: &io::Error) -> StoreError {
    match e.kind() {
        io::ErrorKind::ConnectionRefused => StoreError::NotReached {
            reason: e.to_string(),
        },
        _ => StoreError::Unknown {
            reason: e.to_string(),
        },
    }
}

/// Reads the body of a response as text.
fn read_text(response: Response<Body>) -> io::Result<String> {
    let mut text = String::new();
    let mut body = response.into_body().take(MAX_RESPONSE_BYTES + 1);
    body.read_to_string(&mut text)?;
    if text.len() as u64 > MAX_RESPONSE_BYTES {
        return Err(io::Error::other("response too large"));
    }
    Ok(text)
}

/// Reads the value and the version of a response.
fn read_value(response: Response<Body>) -> Result<Versioned, StoreError> {
    let version = response
        .headers()
        .get(VERSION_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let version = version.ok_or_else(|| StoreError::Unknown {
        reason: "response has no valid version header".to_owned(),
    })?;
    let value = read_text(response).map_err(|e| transport_error(&e))?;
    Ok(Versioned { version, value })
}

/// Converts a response with an unexpected status into an error.
fn status_error(response: Response<Body>) -> StoreError {
    let status = response.status();
    let text = read_text(response).unwrap_or_default();
    let reason = format!("{status}: {text}");
    match status {
        StatusCode::SERVICE_UNAVAILABLE => StoreError::NotReached { reason },
        _ if status.is_server_error() => StoreError::Unknown { reason },
        _ => StoreError::Refused { reason },
    }
}

/// Reads a response that may have no value.
fn read_optional(response: Response<Body>) -> Result<Option<Versioned>, StoreError> {
    match response.status() {
        StatusCode::OK => read_value(response).map(Some),
        StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => Ok(None),
        _ => Err(status_error(response)),
    }
}

impl Store for HttpStore {
    fn get(&self, key: &str, purpose: Purpose) -> Result<Option<Versioned>, StoreError> {
        let path = format!("/kv/{key}");
        read_optional(self.call(Method::GET, &path, String::new(), purpose, self.timeout)?)
    }

    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
        purpose: Purpose,
    ) -> Result<Option<Versioned>, StoreError> {
        let path = format!("/kv/{key}?after={after}&wait_ms={}", wait.as_millis());
        let timeout = wait + WATCH_GRACE;
        read_optional(self.call(Method::GET, &path, String::new(), purpose, timeout)?)
    }

    fn put(
        &self,
        key: &str,
        expected: u64,
        value: &str,
        ttl: Option<Duration>,
        purpose: Purpose,
    ) -> Result<PutOutcome, StoreError> {
        let mut path = format!("/kv/{key}?version={expected}");
        if let Some(ttl) = ttl {
            path.push_str(&format!("&ttl_ms={}", ttl.as_millis()));
        }
        let response = self.call(Method::PUT, &path, value.to_owned(), purpose, self.timeout)?;
        match response.status() {
            StatusCode::OK => read_value(response).map(|written| PutOutcome::Written {
                version: written.version,
            }),
            StatusCode::CONFLICT => {
                read_value(response).map(|found| PutOutcome::Conflict(Some(found)))
            }
            StatusCode::NOT_FOUND => Ok(PutOutcome::Conflict(None)),
            _ => Err(status_error(response)),
        }
    }
}

/// The host list, whose entries are read one by one, so that one that cannot be read leaves the
/// others.
#[derive(Deserialize)]
struct RawHostList<'a> {
    #[serde(borrow)]
    hosts: Vec<&'a RawValue>,
}

/// What is needed of an entry that cannot be read.
#[derive(Deserialize)]
struct NamedEntry {
    name: String,
}

fn read_hosts(text: &str) -> serde_json::Result<ListedHosts> {
    let list: RawHostList<'_> = serde_json::from_str(text)?;
    let mut listed = ListedHosts::default();
    for entry in list.hosts {
        match read_host(entry) {
            Ok(host) => listed.hosts.push(host),
            Err(why) => {
                let named = serde_json::from_str(entry.get());
                let key = named.map_or_else(|_| String::new(), |entry: NamedEntry| entry.name);
                listed.unreadable.push(UnreadableItem { key, why });
            }
        }
    }
    Ok(listed)
}

fn read_host(entry: &RawValue) -> Result<HostEntry, String> {
    let host: HostEntry = serde_json::from_str(entry.get()).map_err(|e| e.to_string())?;
    let address = host.address.parse();
    let address = address.map_err(|_| format!("address {} is not one", host.address))?;
    check_address(address)?;
    Ok(host)
}

impl HostSource for HttpStore {
    fn hosts(&self) -> Result<ListedHosts, StoreError> {
        let response = self.call(
            Method::GET,
            "/hosts",
            String::new(),
            Purpose::Config,
            self.timeout,
        )?;
        if response.status() != StatusCode::OK {
            return Err(status_error(response));
        }
        let text = read_text(response).map_err(|e| transport_error(&e))?;
        read_hosts(&text).map_err(|e| StoreError::Refused {
            reason: format!("malformed host list: {e}"),
        })
    }
}
