//! Exchange of store views between hosts over HTTP.
//!
//! One host of each zone, the relay, reads the store for the others; a host that is cut off from
//! the store asks any peer with a newer view.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use clementinearch_storage::MAX_REVISION;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, StatusCode,
    body::{Bytes, Incoming},
};
use parking_lot::Mutex;
use tokio::{net::TcpListener, time::timeout};

use crate::{
    connections::{Connection, SendOutcome, connect},
    forwarding,
    host_state::HostState,
    internal_http::{self, InternalResponse, with_status},
    view::{RevisionRange, ViewDelta},
};

/// Longest that a request waits for changes; hosts that read from a relay notice within it that the
/// relay lost the store.
const CHANGES_WAIT: Duration = Duration::from_millis(700);

/// Time beyond `CHANGES_WAIT` that a peer's response may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest response that is read, bytes; applies both before and after decompression.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Header with the revision up to which the sender's view is complete.
const STORE_REVISION_HEADER: &str = "store-revision";

/// Header with the time since the store last answered the sender, milliseconds.
const STORE_AGE_MS_HEADER: &str = "store-age-ms";

/// Number of compressed responses that are cached: peers are at most a few changes behind.
const MAX_CACHED_RESPONSES: usize = 4;

/// Longest wait for a peer's next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Path prefix for changes; the revision after which they are wanted follows.
const CHANGES_PATH: &str = "/changes/";

/// Changes read from a peer, with the age and revision of its view.
pub(crate) struct PeerView {
    /// Changes, or all items.
    pub(crate) delta: ViewDelta,
    /// Revision up to which the peer's view is complete.
    pub(crate) store_revision: u64,
    /// Time since the store last answered the peer.
    pub(crate) age: Duration,
}

/// Cache of compressed responses, each shared by all peers that are equally far behind.
/// Uncompressed, a large configuration would saturate the link of a small host.
#[derive(Default)]
struct ResponseCache {
    /// Deltas by range, oldest first.
    compressed: Mutex<Vec<(RevisionRange, Bytes)>>,
}

impl ResponseCache {
    /// Returns the compressed changes after a revision, and the revision up to which the view is
    /// complete.
    fn after(&self, state: &HostState, after: u64) -> io::Result<(Bytes, u64)> {
        let mut compressed = self.compressed.lock();
        let view = state.view.lock();
        let range = view.range_after(after);
        let store_revision = view.store_revision();
        if let Some((_, body)) = compressed.iter().find(|(of, _)| *of == range) {
            return Ok((body.clone(), store_revision));
        }
        let delta = view.delta(range);
        drop(view);
        let body = compress(&delta)?;
        if compressed.len() >= MAX_CACHED_RESPONSES {
            compressed.remove(0);
        }
        compressed.push((range, body.clone()));
        Ok((body, store_revision))
    }
}

fn compress(delta: &ViewDelta) -> io::Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(delta)?)?;
    Ok(encoder.finish()?.into())
}

fn decompress(body: &[u8]) -> io::Result<ViewDelta> {
    let mut json = Vec::new();
    ZlibDecoder::new(body)
        .take(MAX_RESPONSE_BYTES as u64)
        .read_to_end(&mut json)?;
    Ok(serde_json::from_slice(&json)?)
}

/// Serves peers until the process ends: this host's view, and requests that they forward.
pub(crate) async fn serve(state: Arc<HostState>, listener: Arc<TcpListener>) {
    let cache = Arc::new(ResponseCache::default());
    let respond = move |req: Request<Incoming>| {
        let (state, cache) = (state.clone(), cache.clone());
        async move {
            if forwarding::is_forwarded(&req) {
                return forwarding::serve(state, req).await;
            }
            respond(&state, &cache, req.uri().path()).await
        }
    };
    internal_http::serve(&listener, IDLE_TIMEOUT, respond).await;
}

async fn respond(state: &HostState, cache: &ResponseCache, path: &str) -> InternalResponse {
    let after = path
        .strip_prefix(CHANGES_PATH)
        .and_then(|revision| revision.parse().ok());
    let Some(after) = after else {
        return with_status(StatusCode::NOT_FOUND, Bytes::new());
    };
    state.wait_for_change(after, CHANGES_WAIT).await;
    let Ok((body, store_revision)) = cache.after(state, after) else {
        return with_status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
    };
    let age = state.now().since(state.last_store_contact());
    let mut response = with_status(StatusCode::OK, body);
    let headers = response.headers_mut();
    headers.insert(STORE_REVISION_HEADER, store_revision.into());
    headers.insert(STORE_AGE_MS_HEADER, (age.as_millis() as u64).into());
    response
}

/// Client for peers' views that keeps one connection open.
#[derive(Debug, Default)]
pub(crate) struct PeerClient {
    connection: Option<(SocketAddr, Connection)>,
}

impl PeerClient {
    /// Reads the changes after `revision` from `peer`, which waits up to `CHANGES_WAIT` for one.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached, does not answer in time or sends a
    /// response that cannot be read.
    pub(crate) async fn changes(
        &mut self,
        peer: SocketAddr,
        revision: u64,
    ) -> io::Result<PeerView> {
        let kept = self.connection.take().filter(|kept| kept.0 == peer);
        let limit = CHANGES_WAIT + RESPONSE_TIMEOUT;
        let read = timeout(limit, read(kept.map(|kept| kept.1), peer, revision)).await;
        let (view, connection) = read.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        self.connection = Some((peer, connection));
        Ok(view)
    }
}

async fn read(
    kept: Option<Connection>,
    peer: SocketAddr,
    revision: u64,
) -> io::Result<(PeerView, Connection)> {
    let mut connection = match kept {
        Some(connection) if connection.is_open() => connection,
        _ => connect(peer).await?,
    };
    let req = Request::get(format!("{CHANGES_PATH}{revision}"))
        .header(hyper::header::HOST, peer.to_string())
        .body(Full::default())
        .map_err(io::Error::other)?;
    let SendOutcome::Response(response) = connection.send(req).await else {
        return Err(io::ErrorKind::ConnectionReset.into());
    };
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(io::Error::other)?;
    let view = PeerView {
        delta: decompress(&body.to_bytes())?,
        store_revision: parse_header(&parts.headers, STORE_REVISION_HEADER, MAX_REVISION)?,
        age: Duration::from_millis(parse_header(&parts.headers, STORE_AGE_MS_HEADER, u64::MAX)?),
    };
    Ok((view, connection))
}

fn parse_header(headers: &HeaderMap, name: &str, max: u64) -> io::Result<u64> {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .filter(|number| *number <= max)
        .ok_or_else(|| io::Error::other(format!("the peer's response has no valid {name} header")))
}
