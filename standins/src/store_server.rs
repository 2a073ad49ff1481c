//! HTTP server for a [`MemoryStore`].

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use clementinearch_border::HostList;
use clementinearch_storage::{HostSource, Purpose, PutOutcome, Store, StoreError, Versioned};
use oxhttp::{
    ListeningServer, Server,
    model::{Body, Method, Request, Response, StatusCode},
};

use crate::memory_store::{Faults, MemoryStore};

/// Serves `store` at `address`.
///
/// Calls: `GET /kv/KEY[?after=V&wait_ms=N]`, `PUT /kv/KEY?version=V[&ttl_ms=N]`, `GET|PUT /hosts`.
/// Calls for tests: `PUT /test/overwrite/KEY`, `GET /test/counts`, `GET /test/dump/PREFIX` and
/// `PUT /test/faults?down=0|1&delay_ms=N&lose_answers=N&down_after_lost=0|1&stale=0|1`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn serve(store: Arc<MemoryStore>, address: SocketAddr) -> io::Result<ListeningServer> {
    serve_with_partition(store, address, Arc::default())
}

/// Serves `store` at `address`, but responds to every call with `503 Service Unavailable` while
/// `is_partitioned` is set.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn serve_with_partition(
    store: Arc<MemoryStore>,
    address: SocketAddr,
    is_partitioned: Arc<AtomicBool>,
) -> io::Result<ListeningServer> {
    let server = Server::new(move |req| {
        if is_partitioned.load(Ordering::Relaxed) {
            return status(StatusCode::SERVICE_UNAVAILABLE, "cut off");
        }
        respond(&store, req)
    });
    server.bind(address).spawn()
}

fn respond(store: &MemoryStore, req: &mut Request<Body>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let body = std::mem::take(req.body_mut())
        .to_string()
        .unwrap_or_default();
    let is_put = req.method() == Method::PUT;
    if let Some(test) = path.strip_prefix("/test/") {
        return respond_to_test(store, req, test, &body);
    }
    let header = |name: &str| {
        let value = req
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or("unknown").to_owned()
    };
    store.count(&header("x-caller"), &header("x-purpose"));
    match path.strip_prefix("/kv/") {
        Some(key) if is_put => respond_to_put(store, req, key, &body),
        Some(key) => respond_to_get(store, req, key),
        None if path == "/hosts" => respond_to_hosts(store, is_put, &body),
        None => status(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Returns a number from the query; `None` if it is absent or malformed.
fn query(req: &Request<Body>, name: &str) -> Option<u64> {
    let pairs = req.uri().query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    value.parse().ok()
}

fn respond_to_put(
    store: &MemoryStore,
    req: &Request<Body>,
    key: &str,
    body: &str,
) -> Response<Body> {
    let expected = query(req, "version").unwrap_or(0);
    let ttl = query(req, "ttl_ms").map(Duration::from_millis);
    match store.put(key, expected, body, ttl, Purpose::Config) {
        Ok(PutOutcome::Written { version }) => versioned(
            StatusCode::OK,
            Versioned {
                version,
                value: String::new(),
            },
        ),
        Ok(PutOutcome::Conflict(Some(found))) => versioned(StatusCode::CONFLICT, found),
        Ok(PutOutcome::Conflict(None)) => status(StatusCode::NOT_FOUND, "no such key"),
        Err(e) => failure(&e),
    }
}

fn respond_to_get(store: &MemoryStore, req: &Request<Body>, key: &str) -> Response<Body> {
    let found = match (query(req, "after"), query(req, "wait_ms")) {
        (Some(after), Some(wait)) => {
            store.watch(key, after, Duration::from_millis(wait), Purpose::Config)
        }
        _ => store.get(key, Purpose::Config),
    };
    match found {
        Ok(Some(found)) => versioned(StatusCode::OK, found),
        Ok(None) => status(StatusCode::NOT_FOUND, ""),
        Err(e) => failure(&e),
    }
}

fn respond_to_hosts(store: &MemoryStore, is_put: bool, body: &str) -> Response<Body> {
    if is_put {
        return match serde_json::from_str(body) {
            Ok(hosts) => {
                store.set_hosts(hosts);
                status(StatusCode::OK, "")
            }
            Err(e) => status(StatusCode::BAD_REQUEST, &e.to_string()),
        };
    }
    match store.hosts() {
        Ok(hosts) => {
            let list = HostList { hosts: hosts.hosts };
            let list = serde_json::to_string(&list).unwrap_or_default();
            status(StatusCode::OK, &store.hosts_text().unwrap_or(list))
        }
        Err(e) => failure(&e),
    }
}

fn respond_to_test(
    store: &MemoryStore,
    req: &Request<Body>,
    path: &str,
    body: &str,
) -> Response<Body> {
    match path.split_once('/').unwrap_or((path, "")) {
        ("faults", _) => {
            store.set_faults(Faults {
                down: query(req, "down") == Some(1),
                delay: Duration::from_millis(query(req, "delay_ms").unwrap_or(0)),
                lose_answers: query(req, "lose_answers").unwrap_or(0) as u32,
                down_after_lost: query(req, "down_after_lost") == Some(1),
                stale: query(req, "stale") == Some(1),
            });
            status(StatusCode::OK, "")
        }
        ("overwrite", key) => {
            store.overwrite(key, body);
            status(StatusCode::OK, "")
        }
        ("counts", _) => {
            let counts = store.counts();
            let lines: Vec<String> = counts
                .iter()
                .map(|((caller, purpose), n)| format!("{caller} {purpose} {n}\n"))
                .collect();
            status(StatusCode::OK, &lines.concat())
        }
        ("dump", prefix) => status(
            StatusCode::OK,
            &serde_json::to_string(&store.dump(prefix)).unwrap_or_default(),
        ),
        _ => status(StatusCode::NOT_FOUND, "no such test call"),
    }
}

/// Builds a response with a value and its version.
fn versioned(code: StatusCode, found: Versioned) -> Response<Body> {
    let mut response = status(code, &found.value);
    response
        .headers_mut()
        .insert("x-version", found.version.into());
    response
}

fn status(code: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(Body::from(text.to_owned()));
    *response.status_mut() = code;
    response
}

/// Builds the response to a failed call. Its status shows whether the call may have taken effect.
fn failure(e: &StoreError) -> Response<Body> {
    let code = match e {
        StoreError::NotReached { .. } => StatusCode::SERVICE_UNAVAILABLE,
        StoreError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        StoreError::Refused { .. } => StatusCode::PAYLOAD_TOO_LARGE,
    };
    status(code, &e.to_string())
}
